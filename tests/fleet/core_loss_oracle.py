"""What may never happen while machines of the core are lost, read from histories. Times are seconds.

DRAIN: later than `DRAIN_S` after its deregistration was acknowledged, a request reaches a server by a machine
in touch.
TWICE, REFUSED: a request that may not be repeated ran twice, or was refused and ran.
RECOVER: no request is served within `RECOVER_S` after all machines are back.
"""

from collections import Counter
from dataclasses import dataclass, field

from tests.fleet.client_soak_oracle import SentRequest, ServerRun

CONTACT_S, DRAIN_S, RECOVER_S = 3.0, 2.0, 12.0
REFUSALS = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class MachineEvent:
    """A machine was stopped, frozen, started, thawed or signalled."""

    at: float
    machine: int
    is_up: bool  # from now on


@dataclass(slots=True)
class CoreLossHistory:
    """All that was done to machines and seen by servers and clients."""

    core: frozenset[int]
    events: list[MachineEvent] = field(default_factory=list)
    ended: dict[str, float] = field(
        default_factory=dict
    )  # by server: when its deregistration was acknowledged
    requests: list[SentRequest] = field(default_factory=list)
    runs: dict[str, list[ServerRun]] = field(default_factory=dict)  # by server
    recoveries: list[float | None] = field(
        default_factory=list
    )  # until served after each round; None: too long

    def is_up(self, machine: int, at: float) -> bool:
        """Whether a machine runs at a time."""
        before = [event for event in self.events if event.machine == machine and event.at <= at]
        return before[-1].is_up if before else True

    def is_in_touch(self, machine: int, at: float) -> bool:
        """Whether a machine is undisturbed and the core stable, both for `CONTACT_S`."""
        disturbed = {event.machine for event in self.events if at - CONTACT_S < event.at <= at}
        running = [number for number in self.core if self.is_up(number, at)]
        core_is_stable = not disturbed & self.core and len(running) * 2 > len(self.core)
        return core_is_stable and machine not in disturbed and self.is_up(machine, at)


def late_arrivals(history: CoreLossHistory) -> list[str]:
    """Breaches of DRAIN."""
    machines = {request.id: request.machine for request in history.requests}
    late = []
    for server, ended_at in history.ended.items():
        for run in history.runs.get(server, []):
            machine, after_s = machines[run.request_id], run.arrived_at - ended_at
            if after_s > DRAIN_S and history.is_in_touch(machine, run.arrived_at):
                late.append(
                    f"DRAIN: {server} got a request by machine {machine} {after_s:.2f} s after its end"
                )
    return late


def breaches(history: CoreLossHistory) -> list[str]:
    """The broken rules."""
    found = late_arrivals(history)
    ran = Counter(run.request_id for runs in history.runs.values() for run in runs)
    found += [f"TWICE: {request_id} ran {count} times" for request_id, count in ran.items() if count > 1]
    for request in history.requests:
        if request.status in REFUSALS and ran[request.id]:
            found.append(f"REFUSED: {request.id} got {request.status} and ran")
    found += ["RECOVER: nothing was served after all were back" for s in history.recoveries if s is None]
    return found
