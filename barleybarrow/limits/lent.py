"""The part of every limit that the warden may hand out: what proxies in touch lend it, and what nobody holds.

Each proxy holds a base, a fixed part of every limit. While it is in touch it does not use its base, and the
warden does. The sum of all bases and of what is free is one. No I/O; told the time in milliseconds.
"""

import heapq


class LentShare:
    """A fraction that changes over time, and its integral since the warden's term began."""

    def __init__(self, now: float) -> None:
        self.integrated_until = now
        self.integral = 0.0  # of the fraction over milliseconds
        self.unassigned = 0.0
        self.loans: dict[str, tuple[float, float]] = {}  # base, until
        self.loan_sum = 0.0
        self.loan_ends: list[tuple[float, str]] = []

    @property
    def value(self) -> float:
        """The fraction now; at most 1."""
        return min(1.0, self.unassigned + self.loan_sum)

    def advance(self, now: float) -> None:
        """Integrate up to now; loans end at their own time."""
        while self.loan_ends and self.loan_ends[0][0] <= now:
            ends_at, name = heapq.heappop(self.loan_ends)
            loan = self.loans.get(name)
            if loan is not None and loan[1] <= ends_at:
                self.integrate(max(self.integrated_until, ends_at))
                del self.loans[name]
                self.loan_sum = sum(base for base, _ in self.loans.values())
        self.integrate(now)

    def integrate(self, now: float) -> None:
        if now > self.integrated_until:
            self.integral += self.value * (now - self.integrated_until)
            self.integrated_until = now

    def lend(self, now: float, name: str, share: float, until: float) -> None:
        """A proxy does not use its base until then."""
        self.advance(now)
        old = self.loans.get(name)
        if until <= now or (old is not None and until <= old[1] and share == old[0]):
            return
        until = max(until, old[1]) if old is not None else until
        self.loans[name] = share, until
        self.loan_sum += share - (old[0] if old is not None else 0.0)
        heapq.heappush(self.loan_ends, (until, name))

    def end_loan(self, now: float, name: str) -> None:
        """A proxy lends nothing any more."""
        self.advance(now)
        if self.loans.pop(name, None) is not None:
            self.loan_sum = sum(base for base, _ in self.loans.values())

    def set_unassigned(self, now: float, share: float) -> None:
        """So much of every limit is nobody's base."""
        self.advance(now)
        self.unassigned = share
