"""Policies that take the module's place behind its own interface, by name."""

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from testbed.policies.rivals import AllKnowing, LeastInFlight, PeakEwma, Prequal, RoundRobin, UniformRandom
from testbed.policies.view import Make, Policy, View

__all__ = ["BOUND", "PROBING", "POLICIES", "Make", "Policy", "View"]


def module(settings: face.Settings, seed: int, now: float, view: View | None = None) -> Policy:
    """The module that ships."""
    return Balancer(settings, seed, now)


POLICIES: dict[str, Make] = {
    "module": module,
    "random": UniformRandom,
    "round_robin": RoundRobin,
    "least": LeastInFlight,
    "peak_ewma": PeakEwma,
    "prequal": Prequal,
    "all_knowing": AllKnowing,
}
BOUND = "all_knowing"  # no rival, but what a choice can reach
PROBING = frozenset({"prequal"})  # cannot work without probes that tell of a server's load
