"""The interface of timers that the runtime needs; `core.deadlines` implements it."""

from collections.abc import Callable
from typing import Protocol

Entry = tuple[float, int, Callable[[], None]]  # due time in milliseconds, tie breaker, callback


class Timers(Protocol):
    """Calls actions when they are due, in milliseconds of the loop's clock."""

    def add(self, when: float, action: Callable[[], None]) -> Entry: ...
    def remove(self, entry: Entry | None) -> None: ...
    def next(self) -> float | None: ...
    def sweep(self, now: float) -> None: ...
