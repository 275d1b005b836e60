"""Enforces the rules of a policy: admission, excluded servers, reuse of connections.

Which rules are in force is decided elsewhere. They are enforced before their application is reported.
"""

from dataclasses import replace

from barleybarrow.budget import ClientRetryBudget
from barleybarrow.policy import Rules, stricter_bound
from barleybarrow.rate_limiter import ZERO_RATE_WAIT_MS, RateLimiter, RateLimiterSettings
from brackenusher.core.admission import Request, rate_limit_key
from brackenusher.core.transaction import Transactions
from brackenusher.upstream.listing import Host
from brackenusher.upstream.pool import Pool

FULL_WAIT = 200.0  # while a tenant's share is in use: about the duration of its requests
REPEAT_WAIT = 1000.0  # while the retry budget is exhausted: only first attempts refill it


class Acting:
    """The rules in force, enforced in one proxy."""

    def __init__(self, transactions: Transactions, pool: Pool) -> None:
        self.transactions, self.pool = transactions, pool
        self.rules, self.rate_limiter = Rules(), RateLimiter(RateLimiterSettings())
        self.budget: ClientRetryBudget | None = None
        self.configured_connections = (
            pool.planner.settings
        )  # the operators' file applies where it is stricter
        self.counts = {"door": 0, "shares": 0, "repeats": 0}
        pool.exclusions.append(self.excludes)

    def excludes(self, host: Host) -> bool:
        return host.name in self.rules.servers or host.cell in self.rules.blocks

    def ask(self, key: str, request: Request, now: float) -> float:
        """Returns 0 if the tenant's request is admitted, otherwise the milliseconds to wait.

        Checks that charge a budget come last, so that a denied request is charged nowhere.
        """
        rules = self.rules
        if key in rules.shares and self.open_requests(key) >= rules.shares[key]:
            return self.deny("shares", FULL_WAIT if rules.shares[key] else ZERO_RATE_WAIT_MS)
        if self.budget is not None and request.is_retry and self.budget.exhausted:
            return self.deny("repeats", REPEAT_WAIT if self.budget.limit.ratio else ZERO_RATE_WAIT_MS)
        if key in rules.tenants and (wait := self.rate_limiter.acquire(key, now)):
            return self.deny("door", wait)
        if self.budget is not None:
            self.budget.record(request.is_retry)
        return 0.0

    def open_requests(self, key: str) -> int:
        """Counts a tenant's unanswered requests; not kept as a counter, as few tenants have a share."""
        return sum(
            not t.closed and rate_limit_key(t.message.owner) == key for t in self.transactions.open.values()
        )

    def deny(self, cause: str, wait: float) -> float:
        self.counts[cause] += 1
        return wait

    def act(self, rules: Rules) -> None:
        """Replaces the rules in force."""
        before, self.rules = self.rules, rules
        if rules.tenants != before.tenants:
            buckets = self.rate_limiter.buckets
            self.rate_limiter = RateLimiter(RateLimiterSettings(tenants=rules.tenants))
            for key, bucket in buckets.items():
                if key in rules.tenants:
                    bucket.limit = rules.tenants[key]
                    bucket.tokens = min(bucket.tokens, float(bucket.limit.burst))
                    self.rate_limiter.buckets[key] = bucket
        if rules.repeats is None:
            self.budget = None
        elif self.budget is None:
            self.budget = ClientRetryBudget(rules.repeats)
        else:
            self.budget.set_limit(rules.repeats)
        base = self.configured_connections
        self.pool.planner.settings = replace(
            base,
            max_age_ms=stricter_bound(base.max_age_ms, rules.age),
            max_requests=int(stricter_bound(base.max_requests, rules.requests)),
        )
        if (rules.servers, rules.blocks) != (before.servers, before.blocks):
            self.transactions.post(self.pool.reevaluate())
