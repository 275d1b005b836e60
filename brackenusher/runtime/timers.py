"""The interface of timers that the runtime needs; `core.deadlines` implements it."""

from collections.abc import Callable
from typing import Protocol

Timer = tuple[float, int, Callable[[], None]]  # due time in milliseconds, tie breaker, callback


class Timers(Protocol):
    """Calls actions when they are due, in milliseconds of the loop's clock."""

    def add(self, when: float, action: Callable[[], None]) -> Timer: ...
    def remove(self, entry: Timer | None) -> None: ...
    def next_due(self) -> float | None: ...
    def run_due(self, now: float) -> None: ...
