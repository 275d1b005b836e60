"""Virtual time: what is to happen when, in order; the same for every world that is played so."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventQueue:
    """Calls things at their times; `now` is in whatever unit the world counts."""

    def __init__(self) -> None:
        self.now = 0.0
        self.serial = 0
        self.heap: list[tuple[float, int, Callable[[Any], None], Any]] = []

    def at(self, when: float, call: Callable[[Any], None], what: Any) -> None:
        self.serial += 1
        heappush(self.heap, (when, self.serial, call, what))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, call, what = heappop(self.heap)
            call(what)
        self.now = until
