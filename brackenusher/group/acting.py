"""Acts upon the rules of a policy: what may come in, which servers are out, how long connections are used.

It is told which rules hold and decides nothing of them. Whoever is told must have acted before anybody hears
that the rules were taken up.
"""

from dataclasses import replace

from barleybarrow.budget import ClientRetryBudget
from barleybarrow.policy import Rules, stricter_bound
from barleybarrow.rate_limiter import ZERO_RATE_WAIT_MS, RateLimiter, RateLimiterSettings
from brackenusher.core.admission import Request, name_of
from brackenusher.core.transaction import Transactions
from brackenusher.upstream.listing import Host
from brackenusher.upstream.pool import Pool

FULL_WAIT = 200.0  # milliseconds named where a tenant's share is in hand: about what its requests take
REPEAT_WAIT = 1000.0  # and where no repeat is paid for: first tries have to come meanwhile


class Acting:
    """The rules of now, at work in one proxy."""

    def __init__(self, transactions: Transactions, pool: Pool) -> None:
        self.transactions, self.pool = transactions, pool
        self.rules, self.door = Rules(), RateLimiter(RateLimiterSettings())
        self.budget: ClientRetryBudget | None = None
        self.connections = pool.planner.settings  # what the operators' file says, be it stricter
        self.counts = {"door": 0, "shares": 0, "repeats": 0}  # turned away
        pool.bars.append(self.bars)

    def bars(self, host: Host) -> bool:
        return host.name in self.rules.servers or host.cell in self.rules.blocks

    def ask(self, key: str, request: Request, now: float) -> float:
        """Whether a tenant's request may come in: 0, or how many milliseconds to wait.

        What takes something from a budget comes last, so that what is turned away is charged nowhere.
        """
        rules = self.rules
        if key in rules.shares and self.in_hand(key) >= rules.shares[key]:
            return self.turned_away("shares", FULL_WAIT if rules.shares[key] else ZERO_RATE_WAIT_MS)
        if self.budget is not None and request.repeated and self.budget.exhausted:
            return self.turned_away("repeats", REPEAT_WAIT if self.budget.limit.ratio else ZERO_RATE_WAIT_MS)
        if key in rules.tenants and (wait := self.door.acquire(key, now)):
            return self.turned_away("door", wait)
        if self.budget is not None:
            self.budget.record(request.repeated)
        return 0.0

    def in_hand(self, key: str) -> int:
        """Requests of a tenant that are not answered yet; counted anew, as few tenants have a share."""
        return sum(not t.over and name_of(t.message.owner) == key for t in self.transactions.open.values())

    def turned_away(self, by: str, wait: float) -> float:
        self.counts[by] += 1
        return wait

    def act(self, rules: Rules) -> None:
        """Go by these from now on."""
        before, self.rules = self.rules, rules
        if rules.tenants != before.tenants:
            held = self.door.buckets
            self.door = RateLimiter(RateLimiterSettings(tenants=rules.tenants))
            for key, bucket in held.items():
                if key in rules.tenants:
                    bucket.limit = rules.tenants[key]
                    bucket.tokens = min(bucket.tokens, float(bucket.limit.burst))
                    self.door.buckets[key] = bucket
        if rules.repeats is None:
            self.budget = None
        elif self.budget is None:
            self.budget = ClientRetryBudget(rules.repeats)
        else:
            self.budget.set_limit(rules.repeats)
        base = self.connections
        self.pool.planner.settings = replace(
            base,
            max_age_ms=stricter_bound(base.max_age_ms, rules.age),
            max_requests=int(stricter_bound(base.max_requests, rules.requests)),
        )
        if (rules.servers, rules.blocks) != (before.servers, before.blocks):
            self.transactions.post(self.pool.look_again())
