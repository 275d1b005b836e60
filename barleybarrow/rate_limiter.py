"""Rate limiter: one token bucket per tenant or client address. It is told the time and does no I/O."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

ZERO_RATE_WAIT_MS = 60_000.0  # milliseconds; the wait given for a rate of 0, where no wait would help
MAX_KEY_LENGTH = 64  # longer keys are truncated and may share a bucket, which bounds the memory of the table
ROUNDING_TOLERANCE = 1e-4  # of a request: rounding may leave a bucket short by this; the difference is owed


@dataclass(frozen=True)
class RateLimit:
    """The rate and burst of one bucket."""

    rate: float  # requests per second
    burst: float  # requests in a full bucket


@dataclass(frozen=True)
class RateLimiterSettings:
    """Which limit applies to which key, and how many buckets are kept at most."""

    by_address: bool = False
    tenant: RateLimit = RateLimit(200.0, 400)
    address: RateLimit = RateLimit(20.0, 40)
    tenants: Mapping[str, RateLimit] = field(default_factory=dict)
    max_buckets: int = 10_000


class TokenBucket:
    """A token bucket in units of requests; it may hold fractions of one."""

    __slots__ = ("limit", "tokens", "refilled_at")

    def __init__(self, limit: RateLimit, now: float) -> None:
        self.limit, self.tokens, self.refilled_at = limit, float(limit.burst), now

    def refill(self, now: float) -> None:
        added = self.limit.rate / 1000.0 * max(0.0, now - self.refilled_at)
        self.tokens = min(self.tokens + added, float(self.limit.burst))
        self.refilled_at = now

    def acquire(self, now: float) -> float:
        """Take one token; returns 0, or the milliseconds until one is available."""
        rate = self.limit.rate / 1000.0
        if not rate:
            return ZERO_RATE_WAIT_MS
        self.refill(now)
        if self.tokens >= 1.0 - ROUNDING_TOLERANCE:
            self.tokens -= 1.0
            return 0.0
        return float(math.ceil((1.0 - self.tokens) / rate))


class RateLimiter:
    """All buckets, in a table of bounded size with eviction of the least recently used one."""

    def __init__(self, settings: RateLimiterSettings) -> None:
        self.settings = settings
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()  # least recently used first

    def limit_of(self, key: str) -> RateLimit:
        if self.settings.by_address:
            return self.settings.address
        return self.settings.tenants.get(key, self.settings.tenant)

    def acquire(self, key: str, now: float) -> float:
        """Charge a request to its bucket: returns 0 if it is admitted, else the milliseconds to wait.

        A rejected request is not charged, but its bucket counts as used: an empty bucket must not be evicted
        while requests for it keep coming.
        """
        key = key[:MAX_KEY_LENGTH]
        bucket = self.buckets.get(key)
        if bucket is not None:
            self.buckets.move_to_end(key)
        else:
            if len(self.buckets) >= self.settings.max_buckets:
                self.buckets.popitem(last=False)
            bucket = self.buckets[key] = TokenBucket(self.limit_of(key), now)
        return bucket.acquire(now)
