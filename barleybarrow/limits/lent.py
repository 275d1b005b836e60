"""The part of every limit that the warden may hand out: what proxies in touch lend it, and what nobody holds.

Each proxy holds a base, a fixed part of every limit. While it is in touch it does not use its base, and the
warden does. The sum of all bases and of what is free is one. No I/O; told the time in milliseconds.
"""

import heapq


class LentFraction:
    """A fraction that changes over time, and its integral since the warden's term began."""

    def __init__(self, now: float) -> None:
        self.at = now
        self.integral = 0.0  # of the fraction over milliseconds
        self.free = 0.0
        self.lent: dict[str, tuple[float, float]] = {}  # base, until
        self.sum = 0.0
        self.ends: list[tuple[float, str]] = []

    @property
    def value(self) -> float:
        """The fraction now; at most 1."""
        return min(1.0, self.free + self.sum)

    def advance(self, now: float) -> None:
        """Integrate up to now; loans end at their own time."""
        while self.ends and self.ends[0][0] <= now:
            end, name = heapq.heappop(self.ends)
            loan = self.lent.get(name)
            if loan is not None and loan[1] <= end:
                self.integrate(max(self.at, end))
                del self.lent[name]
                self.sum = sum(base for base, _ in self.lent.values())
        self.integrate(now)

    def integrate(self, now: float) -> None:
        if now > self.at:
            self.integral += self.value * (now - self.at)
            self.at = now

    def lend(self, now: float, name: str, base: float, until: float) -> None:
        """A proxy does not use its base until then."""
        self.advance(now)
        old = self.lent.get(name)
        if until <= now or (old is not None and until <= old[1] and base == old[0]):
            return
        until = max(until, old[1]) if old is not None else until
        self.lent[name] = base, until
        self.sum += base - (old[0] if old is not None else 0.0)
        heapq.heappush(self.ends, (until, name))

    def drop(self, now: float, name: str) -> None:
        """A proxy lends nothing any more."""
        self.advance(now)
        if self.lent.pop(name, None) is not None:
            self.sum = sum(base for base, _ in self.lent.values())

    def set_free(self, now: float, free: float) -> None:
        """So much of every limit is nobody's base."""
        self.advance(now)
        self.free = free
