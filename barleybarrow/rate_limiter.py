"""Door limits: one token bucket a tenant or client address; told the time, it does no I/O."""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

CLOSED_WAIT = 60_000.0  # milliseconds named where the rate is 0: no wait would help, so one that is long
LONGEST_KEY = 64  # names that differ only beyond this share a bucket, so that a table's size is bounded
NEAR = 1e-4  # of a request: what rounding may take from a bucket that is just full enough; it is owed then


@dataclass(frozen=True)
class Limit:
    """What one bucket allows."""

    rate: float  # requests a second
    burst: float  # requests that a full bucket holds


@dataclass(frozen=True)
class RateLimiterSettings:
    """Which limit goes for whom."""

    by_address: bool = False
    tenant: Limit = Limit(200.0, 400)
    address: Limit = Limit(20.0, 40)
    tenants: Mapping[str, Limit] = field(default_factory=dict)
    table: int = 10_000


class Bucket:
    """Holds whole requests and parts of them; fills at the limit's rate."""

    __slots__ = ("limit", "level", "at")

    def __init__(self, limit: Limit, now: float) -> None:
        self.limit, self.level, self.at = limit, float(limit.burst), now

    def refill(self, now: float) -> None:
        gained = self.limit.rate / 1000.0 * max(0.0, now - self.at)
        self.level = min(self.level + gained, float(self.limit.burst))
        self.at = now

    def take(self, now: float) -> float:
        """Take a request out; 0, or how many milliseconds to wait until there is one."""
        rate = self.limit.rate / 1000.0
        if not rate:
            return CLOSED_WAIT
        self.refill(now)
        if self.level >= 1.0 - NEAR:
            self.level -= 1.0
            return 0.0
        return float(math.ceil((1.0 - self.level) / rate))


class RateLimiter:
    """All buckets; where there is no room for another, the one that was idle longest makes way."""

    def __init__(self, settings: RateLimiterSettings) -> None:
        self.settings = settings
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()  # the one that was asked last stands last

    def limit(self, key: str) -> Limit:
        if self.settings.by_address:
            return self.settings.address
        return self.settings.tenants.get(key, self.settings.tenant)

    def ask(self, key: str, now: float) -> float:
        """Charge a request to its bucket: 0 where it may come in, else the milliseconds to wait.

        What is turned away is not charged, but its bucket counts as used: while somebody keeps asking, it
        must not be forgotten that the bucket is empty.
        """
        key = key[:LONGEST_KEY]
        bucket = self.buckets.get(key)
        if bucket is not None:
            self.buckets.move_to_end(key)
        else:
            if len(self.buckets) >= self.settings.table:
                self.buckets.popitem(last=False)
            bucket = self.buckets[key] = Bucket(self.limit(key), now)
        return bucket.take(now)
