"""The limits of one proxy: API keys, quotas and retry budgets that hold over all proxies together.

A machine without I/O, told the time in milliseconds. Parts of each limit come from `barleybarrow.shares`.
"""

from random import Random

import msgspec

from barleybarrow.documents import Service, Tenant
from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.retries import RetryBudget
from barleybarrow.limits.tenants import TenantTable
from barleybarrow.shares import Message, Shares

FIRST_PROXIES = 100  # assumed number of proxies until the warden has said how many there are
QUOTA_PREFIX = "quota:"
RETRY_PREFIX = "retry:"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


class LocalBucket:
    """What this proxy may still admit of one tenant's limit."""

    __slots__ = ("at", "level")

    def __init__(self, now: float) -> None:
        self.at, self.level = now, 0.0


class Limits:
    """Decides on each request: who sent it, and whether quota and retry budget allow it."""

    def __init__(self, name: str, keepers: list[str], rng: Random, now: float, bounds: LimitBounds) -> None:
        self.bounds = bounds
        self.tenants = TenantTable()
        self.retries = RetryBudget(bounds)
        self.shares = Shares(name, keepers, rng, now, FIRST_PROXIES, self._rate_of)
        self.buckets: dict[str, LocalBucket] = {}

    def configure(self, now: float, tenants: list[Tenant], services: list[Service]) -> None:
        """Take the tenants and services of a new configuration; it holds from this call on."""
        for name in self.tenants.replace(tenants):
            if name not in self.tenants.by_name:
                self.buckets.pop(name, None)
        self.retries.keep_only({service.name for service in services})

    def authenticate(self, key: str | None) -> Tenant | None:
        """The tenant that holds the key; None for a key that nobody holds."""
        return self.tenants.authenticate(key)

    def admit(self, now: float, tenant: Tenant, cost: float) -> bool:
        """Take the cost of a request from its tenant's quota; False where it allows no more."""
        if tenant.rate_per_s <= 0.0:
            return True
        key = QUOTA_PREFIX + tenant.name
        self.shares.asked[key] += cost  # type: ignore[assignment]
        part = self.shares.part(key, now)
        room = tenant.burst * part + self._room(tenant) * self.shares.base
        bucket = self.buckets.get(tenant.name)
        if bucket is None:
            bucket = self.buckets[tenant.name] = LocalBucket(now)
            bucket.level = room
        gained = tenant.rate_per_s * part * (now - bucket.at) / 1000.0
        bucket.level, bucket.at = min(bucket.level + gained, room), now
        if bucket.level < cost:
            return False
        bucket.level -= cost
        return True

    def _room(self, tenant: Tenant) -> float:
        """What the rules allow beyond rate and burst in one window, over all proxies."""
        steady = tenant.rate_per_s * self.bounds.quota_window_s + tenant.burst
        return steady * self.bounds.quota_overshoot + self.bounds.quota_slack

    def retry_after_ms(self, now: float, tenant: Tenant, cost: float) -> float:
        """How long a refused request had best wait."""
        bucket = self.buckets.get(tenant.name)
        part = self.shares.part(QUOTA_PREFIX + tenant.name, now)
        rate = tenant.rate_per_s * part / 1000.0
        if bucket is None or rate <= 0.0:
            return 1000.0
        return min(5000.0, max(50.0, (cost - bucket.level) / rate))

    def requested(self, now: float, service: str) -> None:
        """Count a client's request for a service."""
        self.retries.requested(now, service)

    def may_repeat(self, now: float, service: str) -> bool:
        """Take one arrival beyond a request's first from the retry budget; False where it is used up."""
        part = self.shares.part(RETRY_PREFIX + service, now)
        return self.retries.take(now, service, part)

    # The machine that shares the limits between processes

    def keepers_changed(self, now: float, keepers: list[str]) -> None:
        """Take another set of keepers: the voters of the configuration shard."""
        self.shares.keepers = list(keepers)

    def links_changed(self, now: float, reach: list[str]) -> None:
        """Say which processes can be reached now."""
        self.shares.reach = list(reach)

    def tick(self, now: float) -> None:
        """Do what is due."""
        self.shares.tick(now)

    def next_wakeup(self) -> float:
        """When `tick` is to be called next."""
        return self.shares.next()

    def receive(self, now: float, sender: str, payload: bytes) -> None:
        """Take a message of another process; one that can't be read is dropped."""
        try:
            message = _decode(payload)
        except msgspec.DecodeError:
            return
        self.shares.receive(now, sender, message)

    def outbox(self) -> list[tuple[str, bytes]]:
        """Messages to send, by address of the receiver; each is handed out once."""
        messages, self.shares.out = self.shares.out, []
        return [(address, _encode(message)) for address, message in messages]

    def _rate_of(self, key: str) -> float:
        tenant = self.tenants.by_name.get(key.removeprefix(QUOTA_PREFIX))
        return tenant.rate_per_s if tenant is not None else 1.0
