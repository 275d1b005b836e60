"""Limits over all proxies in virtual time: demand at their doors, and what all admit together.

The machines are those that ship (`barleybarrow.shares`). What is used and admitted is noted for the tests.
"""

import random
from typing import Any

from barleybarrow.rate_limiter import RateLimit, RateLimiterSettings
from barleybarrow.shares import LimitShares, SharedRateLimiter
from testbed.cluster import PERIOD, Machines

LOOK = 20.0  # milliseconds between two looks at the parts in use


class Portions(Machines):
    """One tenant, `t`, with a limit over all."""

    def __init__(
        self, size: int, keepers: int, seed: int, rate: float = 200.0, burst: float = 200.0, proxies: int = 0
    ) -> None:
        super().__init__(size, seed)
        self.keepers = [f"n{i}" for i in range(keepers)]
        self.rate, self.burst, self.proxies = rate, burst, proxies or size
        self.shares: list[LimitShares] = []
        self.doors: list[SharedRateLimiter] = []
        for _ in range(size):
            self.shares.append(None)  # type: ignore[arg-type]
            self.doors.append(None)  # type: ignore[arg-type]
        self.demand = [0.0] * size  # requests a second
        self.admitted: list[tuple[float, int]] = []
        self.refused = 0
        self.used: list[tuple[float, float]] = []  # when, the sum of the parts in use
        for i in range(size):
            self.start(i)
            self.at(0.0, self.client, i)
        self.at(0.0, self.look, None)

    def begin(self, i: int) -> None:
        rng = random.Random(self.rng.random())
        door = SharedRateLimiter(RateLimiterSettings(tenant=RateLimit(self.rate, self.burst)))
        shares = LimitShares(f"n{i}", self.keepers, rng, self.clock(i), self.proxies, lambda key: self.rate)
        door.shares = shares
        self.shares[i], self.doors[i] = shares, door

    def hear(self, i: int, sender: str, message: Any) -> None:
        self.shares[i].receive(self.clock(i), sender, message)

    def act(self, i: int) -> None:
        self.shares[i].reachable = [f"n{j}" for j in range(self.size) if j != i and self.up[j]]
        self.shares[i].tick(self.clock(i))
        self.carry(i)

    def carry(self, i: int) -> None:
        out, self.shares[i].outgoing = self.shares[i].outgoing, []
        for to, message in out:
            self.send(i, int(to[1:]), message)

    def client(self, i: int) -> None:
        if self.demand[i] and self.runs(i):
            if self.doors[i].acquire("t", self.clock(i)) == 0.0:
                self.admitted.append((self.now, i))
            else:
                self.refused += 1
        span = 1000.0 / self.demand[i] if self.demand[i] else 50.0
        self.at(self.now + self.rng.uniform(0.5, 1.5) * span, self.client, i)

    def look(self, _: object) -> None:
        parts = [self.shares[i].share_of("t", self.clock(i)) for i in range(self.size) if self.runs(i)]
        self.used.append((self.now, sum(parts)))
        self.at(self.now + LOOK, self.look, None)

    def rate_between(self, first: float, last: float) -> float:
        """Requests a second that all admitted together."""
        return sum(first <= at < last for at, _ in self.admitted) / (last - first) * 1000.0

    def most_between(self, first: float, last: float) -> float:
        """The greatest sum of parts in use."""
        return max((used for at, used in self.used if first <= at < last), default=0.0)


__all__ = ["PERIOD", "Portions"]
