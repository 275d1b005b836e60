"""What the upper bound may see, and what a policy is; both are protocols, so that the world can fill them."""

from collections.abc import Callable
from typing import Protocol

from barleybarrow import interface as face


class View(Protocol):
    """The servers' true state, now, as no proxy in service could know it; servers go by their name."""

    def alive(self, server: str) -> bool:
        """Whether its process runs and answers, and this proxy reaches it."""

    def idle(self, server: str) -> int:
        """Cores that have nothing to do: one request more each would be worked on at full speed."""

    def fails(self, server: str) -> float:
        """Share of requests that it answers with an error at once, 0 to 1."""

    def free(self, server: str) -> int:
        """Slots in which a request would be worked on at once."""

    def ahead(self, server: str) -> float:
        """Milliseconds of a standard core yet to be done there, on what is in work and what waits."""

    def speed(self, server: str) -> float:
        """Standard cores' worth of work that it does now: cores, speed, warmth, crowding and faults."""

    def one_core(self, server: str) -> float:
        """The speed at which one request more would be worked on there, now, with all that is there."""

    def warmth(self, server: str) -> float:
        """Share of its full capacity that a start has brought so far, 0 to 1."""


class Policy(Protocol):
    """What a proxy asks; `barleybarrow.brain.Balancer` is one."""

    def begin(self) -> list[face.Action]:
        """Actions before the first event."""

    def handle(self, now: float, event: face.Event) -> list[face.Action]:
        """Take one event at a time in milliseconds; return the actions that it calls for."""


Make = Callable[[face.Settings, int, float, View | None], Policy]
