"""The share of every limit that the credit server may grant: lent by connected proxies, or unassigned.

Each proxy holds a fallback share of every limit. While connected it lends that share to the credit server
and does not use it. All fallback shares and the unassigned share add up to one. No I/O; times are
milliseconds.
"""

import heapq


class LentShare:
    """The lent share over time, and its integral since the start of the term."""

    def __init__(self, now: float) -> None:
        self.integrated_until = now
        self.integral = 0.0  # of the share over milliseconds
        self.unassigned = 0.0
        self.loans: dict[str, tuple[float, float]] = {}  # share, end
        self.loan_sum = 0.0
        self.loan_ends: list[tuple[float, str]] = []

    @property
    def value(self) -> float:
        """The share now; at most 1."""
        return min(1.0, self.unassigned + self.loan_sum)

    def advance(self, now: float) -> None:
        """Integrate up to now; each loan counts until its own end."""
        while self.loan_ends and self.loan_ends[0][0] <= now:
            ends_at, name = heapq.heappop(self.loan_ends)
            loan = self.loans.get(name)
            if loan is not None and loan[1] <= ends_at:
                self.integrate(max(self.integrated_until, ends_at))
                del self.loans[name]
                self.loan_sum = sum(share for share, _ in self.loans.values())
        self.integrate(now)

    def integrate(self, now: float) -> None:
        if now > self.integrated_until:
            self.integral += self.value * (now - self.integrated_until)
            self.integrated_until = now

    def lend(self, now: float, name: str, share: float, until: float) -> None:
        """Lend a proxy's share, which it does not use until then."""
        self.advance(now)
        old_loan = self.loans.get(name)
        if until <= now or (old_loan is not None and until <= old_loan[1] and share == old_loan[0]):
            return
        until = max(until, old_loan[1]) if old_loan is not None else until
        self.loans[name] = share, until
        self.loan_sum += share - (old_loan[0] if old_loan is not None else 0.0)
        heapq.heappush(self.loan_ends, (until, name))

    def end_loan(self, now: float, name: str) -> None:
        """End the loan of a proxy at once."""
        self.advance(now)
        if self.loans.pop(name, None) is not None:
            self.loan_sum = sum(share for share, _ in self.loans.values())

    def set_unassigned(self, now: float, share: float) -> None:
        """Set the share of every limit that is assigned to no proxy."""
        self.advance(now)
        self.unassigned = share
