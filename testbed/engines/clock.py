"""Virtual time: callbacks in order of their time; nothing ever waits."""

from collections.abc import Callable
from heapq import heappop, heappush


class Timer:
    """A callback that may still be cancelled."""

    __slots__ = ("callback", "cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Never call it."""
        self.cancelled = True


class Clock:
    """The time of one emulated world, in milliseconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call back at a time, or now if that has passed."""
        self._serial += 1
        timer = Timer(callback)
        heappush(self._heap, (max(when, self.now), self._serial, timer))
        return timer

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call back after a span."""
        return self.at(self.now + delay_ms, callback)

    def run_until(self, end: float) -> None:
        """Call all that falls due up to a time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, timer = heappop(self._heap)
            if not timer.cancelled:
                timer.callback()
        self.now = end
