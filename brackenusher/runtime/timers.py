"""What the runtime asks of whatever keeps the time limits; `core.deadlines` is the one that serves."""

from collections.abc import Callable
from typing import Protocol

Entry = tuple[float, int, Callable[[], None]]  # when in milliseconds, a number that breaks ties, what to call


class Timers(Protocol):
    """Calls actions at their times, in milliseconds of the loop's clock."""

    def add(self, when: float, action: Callable[[], None]) -> Entry: ...
    def remove(self, entry: Entry | None) -> None: ...
    def next(self) -> float | None: ...
    def sweep(self, now: float) -> None: ...
