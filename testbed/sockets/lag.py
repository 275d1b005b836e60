"""How late an event loop runs: where a process did not get its core, times prove nothing."""

import asyncio
import math
import time


class Lag:
    """Watches how late an event loop is: where a process did not get its core, times prove nothing."""

    EVERY_S, MOST_S = 0.02, 0.05  # between two looks; a look later than that marks its second

    def __init__(self, loop: asyncio.AbstractEventLoop, origin: float) -> None:
        self.loop, self.origin = loop, origin
        self.seconds: set[int] = set()
        self.due = time.monotonic() + self.EVERY_S
        loop.call_later(self.EVERY_S, self.look)

    def look(self) -> None:
        now = time.monotonic()
        if now > self.due + self.MOST_S:
            first, last = (math.floor(t - self.origin) for t in (self.due, now))
            self.seconds.update(range(first, last + 1))
        self.due = now + self.EVERY_S
        self.loop.call_later(self.EVERY_S, self.look)
