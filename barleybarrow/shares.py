"""Global rate limits of tenants: each proxy may use a share, and all shares together never exceed the limit.

A state machine without I/O. Shares are held in escrow (bounded counters: Balegas and others, 2015) and
granted by a single credit server, which holds a lease from a majority of the acceptors (PaxosLease: Trencseni
and others, 2009). A grant lasts for a fixed time from when its proxy sent the report that it answers. A proxy
that gets no new grant falls back to an equal share, one divided by the number of proxies. No request waits
for any of this.

Every process is a proxy, which reports its demand; an acceptor may also request or hold the lease, which
`barleybarrow.limits.warden_lease` implements.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.limits.warden_lease import (
    MAX_CLOCK_RATE_RATIO,
    CreditServerHeartbeat,
    CreditServerLease,
    LeaseRequest,
    LeaseTimes,
    Promise,
    Role,
    UInt62,
)
from barleybarrow.rate_limiter import MAX_KEY_LENGTH, RateLimit, RateLimiter, RateLimiterSettings, TokenBucket

__all__ = [
    "CreditServerHeartbeat",
    "ShareGrant",
    "Promise",
    "DemandReport",
    "Role",
    "LeaseRequest",
    "SharedRateLimiter",
    "LimitShares",
]

LEASE_MS = 3000.0  # how long an acceptor's promise to a credit server lasts
GRANT_MS = 2000.0  # how long a granted share lasts, from the proxy's report
# From the end of a grant to the fallback share, in units of GRANT_MS. A proxy whose fallback share exceeds
# its last grant waits for this long, by which time the other proxies have given up what it takes.
FALLBACK_DELAY_GRANTS = 2.5
REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_PROXY_MS = 100.0, 5.0  # base value, and increment per proxy
MAX_MISSED_REPORTS = 3.0  # a proxy is inactive after this many report intervals
MEMBER_TTL_MS = 10_000.0  # an unreachable proxy is forgotten after this time without a report
RECOMPUTE_INTERVAL_MS = 100.0  # between recomputations of the target shares
IDLE_POOL_RATIO = 0.03  # part of each limit divided equally, so that proxies without demand keep some
DEMAND_HEADROOM_RATIO = 1.25  # target share in relation to demand, if the limit suffices
RATE_EWMA_WEIGHT = 0.5  # weight of the rate since the last report
MIN_REPORTED_RATE_PER_S = 0.2  # lower request rates are not reported
MAX_REPORTED_KEYS = 50  # per report
MAX_TRACKED_KEYS = 1000  # request rates are tracked for the most requested keys only
MAX_PROXIES = 1024
MAX_UNCONFIRMED_REPLIES = 32  # per proxy; beyond, the oldest are merged

LimitKey = Annotated[str, Meta(max_length=64)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]


class DemandReport(Struct, array_like=True, frozen=True, tag=4):
    """A proxy's demand, in requests per second by key."""

    term: UInt62
    report_id: UInt62
    applied_sequence: UInt62  # the last grant that was applied in this term
    fallback_share: Fraction  # the fallback share that the proxy uses at present
    demand: Annotated[list[tuple[LimitKey, float]], Meta(max_length=MAX_REPORTED_KEYS)]


class ShareGrant(Struct, array_like=True, frozen=True, tag=5):
    """The reply to a `DemandReport`. Shares of keys that are not listed stay until they expire."""

    term: UInt62
    report_id: UInt62
    sequence: UInt62
    fallback_share: Fraction
    shares: Annotated[list[tuple[LimitKey, Fraction]], Meta(max_length=20 * MAX_REPORTED_KEYS)]


Message = LeaseRequest | Promise | CreditServerHeartbeat | DemandReport | ShareGrant


@dataclass(slots=True)
class SentReply:
    """A reply that the credit server has sent to a proxy."""

    sequence: int
    fallback_share: float
    sent_at: float


@dataclass(slots=True)
class IssuedShare:
    """A share granted to a proxy."""

    sequence: int
    share: float
    expires_at: float
    requested_at: float  # earliest time at which the proxy can have sent the report


@dataclass(slots=True)
class ProxyState:
    """The credit server's record of a proxy."""

    last_report_at: float = -inf
    # Both begin with the last reply that the proxy is known to have applied; `issued` for each key.
    unconfirmed: list[SentReply] = field(default_factory=list)
    demand: dict[str, float] = field(default_factory=dict)
    issued: dict[str, list["IssuedShare"]] = field(default_factory=dict)  # by key


class LimitShares(CreditServerLease):
    """One process's view of the shares. Times are milliseconds on its own monotonic clock."""

    def __init__(
        self,
        name: str,
        keepers: list[str],
        rng: Random,
        now: float,
        proxies: int,
        rate_of: Callable[[str], float],
    ) -> None:
        super().__init__(name, keepers, rng, now, LeaseTimes(lease_ms=LEASE_MS))
        self.rate_of = rate_of
        self.fallback_share = self.initial_share = 1.0 / max(1, proxies)
        # Proxy state
        self.last_report_id = 0
        self.report_sent_at: dict[int, float] = {}
        self.applied_sequence, self.applied_requested_at = 0, -inf  # of the last grant applied
        self.grants: dict[str, tuple[float, float]] = {}  # by key: share, expiry
        self.request_counts: Counter[str] = Counter()
        self.rates: dict[str, float] = {}
        self.next_report_at, self.last_report_at = now, now
        # Credit server state
        self.grants_allowed_at = inf
        self.next_recompute_at = -inf
        self.last_sequence = 0
        self.proxies: dict[str, ProxyState] = {}
        self.targets: dict[str, dict[str, float]] = {}
        self.reserved: dict[str, dict[str, float]] = {}  # by key and proxy: the share it may be using
        self.reserved_totals: dict[str, float] = {}  # by key

    # Queries of the rate limiter

    def share_of(self, key: str, now: float) -> float:
        """The share of a limit that this proxy may use now."""
        grant = self.grants.get(key)
        if grant is None:
            return self.fallback_share
        share, until = grant
        if now < until:
            return share
        if now < until + FALLBACK_DELAY_GRANTS * GRANT_MS:
            return min(share, self.fallback_share)
        del self.grants[key]
        return self.fallback_share

    # Timers

    def next_wakeup(self) -> float:
        """When `tick` has to be called next."""
        return min(self.next_report_at, self.next_lease_wakeup())

    def tick(self, now: float) -> None:
        self.tick_lease(now)
        if now >= self.next_report_at:
            self.send_report(now)

    def on_stepped_down(self, now: float) -> None:
        self.proxies.clear()
        self.targets.clear()
        self.reserved_totals.clear()

    def on_elected(self, now: float) -> None:
        self.applied_sequence, self.last_sequence = 0, 0
        self.grants_allowed_at = (
            now + GRANT_MS * MAX_CLOCK_RATE_RATIO
        )  # grants of earlier credit servers have expired
        self.proxies.clear()
        self.targets.clear()
        self.reserved_totals.clear()

    def on_credit_server_changed(self, now: float) -> None:
        self.applied_sequence = 0
        self.report_sent_at.clear()
        self.next_report_at = now

    def receive(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, DemandReport):
            if self.role is Role.CREDIT_SERVER and now < self.lease_expires_at and message.term == self.term:
                self.outgoing.append((sender, self.issue_grant(now, sender, message)))
        elif isinstance(message, ShareGrant):
            if sender == self.credit_server:
                self.apply_grant(now, message)
        else:
            self.receive_lease_message(now, sender, message)

    # Proxy

    def send_report(self, now: float) -> None:
        """Update the request rates and report them to the credit server."""
        elapsed_s = max(1.0, now - self.last_report_at) / 1000.0
        self.last_report_at = now
        self.next_report_at = (
            now + REPORT_INTERVAL_MS + REPORT_INTERVAL_PER_PROXY_MS * (len(self.reachable) + 1)
        )
        for key in {*self.rates, *(key for key, _ in self.request_counts.most_common(MAX_TRACKED_KEYS))}:
            rate = RATE_EWMA_WEIGHT * self.request_counts[key] / elapsed_s + (
                1 - RATE_EWMA_WEIGHT
            ) * self.rates.get(key, 0.0)
            self.rates[key] = rate
            if rate < MIN_REPORTED_RATE_PER_S:
                del self.rates[key]
        self.request_counts.clear()
        for key in [
            k for k, (_, until) in self.grants.items() if now >= until + FALLBACK_DELAY_GRANTS * GRANT_MS
        ]:
            del self.grants[key]
        if not self.credit_server:
            return
        self.last_report_id += 1
        self.report_sent_at[self.last_report_id] = now
        while len(self.report_sent_at) > 32:
            del self.report_sent_at[next(iter(self.report_sent_at))]
        top = sorted(self.rates.items(), key=lambda item: -item[1])[:MAX_REPORTED_KEYS]
        report = DemandReport(
            self.term,
            self.last_report_id,
            self.applied_sequence,
            self.fallback_share,
            [(k, round(r, 2)) for k, r in top],
        )
        if self.credit_server == self.name:
            self.apply_grant(now, self.issue_grant(now, self.name, report))
        else:
            self.outgoing.append((self.credit_server, report))

    def apply_grant(self, now: float, grant: ShareGrant) -> None:
        """Apply the grant that replies to a pending report."""
        requested_at = self.report_sent_at.pop(grant.report_id, None)
        if (
            requested_at is None
            or grant.term != self.term
            or grant.sequence <= self.applied_sequence
            or requested_at < self.applied_requested_at
        ):
            return  # no pending report of ours, or one older than the report of the last grant
        self.applied_sequence, self.applied_requested_at, self.fallback_share = (
            grant.sequence,
            requested_at,
            grant.fallback_share,
        )
        for key, share in grant.shares:
            self.grants[key] = share, requested_at + GRANT_MS

    # Credit server

    def proxy_state(self, name: str) -> ProxyState:
        """The record of a proxy, created if there is none."""
        proxy = self.proxies.get(name)
        if proxy is None:
            if len(self.proxies) >= MAX_PROXIES:
                del self.proxies[min(self.proxies, key=lambda n: self.proxies[n].last_report_at)]
            proxy = self.proxies[name] = ProxyState()
            proxy.unconfirmed.append(SentReply(0, max(self.initial_share, 1.0 / len(self.proxies)), -inf))
        return proxy

    def reserved_share(self, proxy: ProxyState, key: str, now: float) -> float:
        """An upper bound on the share that a proxy uses until a grant issued now expires."""
        fallback = max(reply.fallback_share for reply in proxy.unconfirmed)
        issued = proxy.issued.get(key, [])
        if all(i.expires_at <= now for i in issued):
            proxy.issued.pop(key, None)
            return fallback
        largest = max(i.share if i.expires_at > now else min(i.share, fallback) for i in issued)
        # When the proxy takes its fallback share if it receives no further grant.
        fallback_at = issued[0].requested_at + (1.0 + FALLBACK_DELAY_GRANTS) * GRANT_MS / MAX_CLOCK_RATE_RATIO
        return max(largest, fallback) if now >= fallback_at - GRANT_MS * MAX_CLOCK_RATE_RATIO else largest

    def confirm_applied(self, proxy: ProxyState, report: DemandReport) -> float:
        """Forget the replies before the one that the proxy has applied; returns when that one was sent."""
        applied = next((r for r in proxy.unconfirmed if r.sequence == report.applied_sequence), None)
        if applied is None:
            proxy.unconfirmed[0].fallback_share = max(
                proxy.unconfirmed[0].fallback_share, report.fallback_share
            )
            return -inf
        proxy.unconfirmed = [r for r in proxy.unconfirmed if r.sequence >= report.applied_sequence]
        for key, issued in proxy.issued.items():
            if any(i.sequence == report.applied_sequence for i in issued):
                proxy.issued[key] = [i for i in issued if i.sequence >= report.applied_sequence]
        return applied.sent_at

    def recompute_targets(self, now: float) -> None:
        """Recompute the target share of every proxy for each requested key, and what is reserved."""
        self.next_recompute_at = now + RECOMPUTE_INTERVAL_MS
        report_interval = REPORT_INTERVAL_MS + REPORT_INTERVAL_PER_PROXY_MS * (len(self.reachable) + 1)
        for name in {*self.reachable, self.name}:
            self.proxy_state(name)
        for name, proxy in list(self.proxies.items()):
            if (
                name not in self.reachable
                and name != self.name
                and now - proxy.last_report_at > MEMBER_TTL_MS
            ):
                del self.proxies[name]
        requested_keys = {key for p in self.proxies.values() for key in p.demand}
        for proxy in self.proxies.values():  # drops expired shares of keys without demand
            for key in [k for k in proxy.issued if k not in requested_keys]:
                self.reserved_share(proxy, key, now)
        self.targets = {
            key: self.target_shares(now, key, report_interval)
            for key in sorted(requested_keys)[: 20 * MAX_REPORTED_KEYS]
        }
        self.reserved = {
            key: {name: self.reserved_share(p, key, now) for name, p in self.proxies.items()}
            for key in self.targets
        }
        self.reserved_totals = {key: sum(shares.values()) for key, shares in self.reserved.items()}

    def target_shares(self, now: float, key: str, report_interval: float) -> dict[str, float]:
        """Max-min fair division of a limit among the active proxies, by demand."""
        active = {
            n: p
            for n, p in self.proxies.items()
            if now - p.last_report_at <= MAX_MISSED_REPORTS * report_interval + 200.0
        }
        if not active:
            return {}
        available = max(
            0.0,
            1.0 - sum(self.reserved_share(p, key, now) for n, p in self.proxies.items() if n not in active),
        )
        floor = IDLE_POOL_RATIO * available / len(active)
        rate = max(self.rate_of(key), 1e-9)
        wanted = {
            n: max(0.0, DEMAND_HEADROOM_RATIO * p.demand.get(key, 0.0) / rate) for n, p in active.items()
        }
        shares, remaining = dict.fromkeys(active, floor), available * (1.0 - IDLE_POOL_RATIO)
        total = sum(wanted.values())
        if total <= 0.0:
            return dict.fromkeys(active, available / len(active))
        if total <= remaining:
            for n, want in wanted.items():
                shares[n] += want * remaining / total
            return shares
        unsatisfied = sorted(n for n, want in wanted.items() if want > 0.0)
        while unsatisfied:  # max-min fairness
            equal_share = remaining / len(unsatisfied)
            satisfied = [n for n in unsatisfied if wanted[n] <= equal_share]
            for n in satisfied or unsatisfied:
                granted = min(wanted[n], equal_share)
                shares[n] += granted
                remaining -= granted
            unsatisfied = [n for n in unsatisfied if n not in satisfied] if satisfied else []
        return shares

    def issue_grant(self, now: float, sender: str, report: DemandReport) -> ShareGrant:
        """Grant what is not reserved. A reduced share is released only once its proxy has confirmed it."""
        if now >= self.next_recompute_at:
            self.recompute_targets(now)
        proxy = self.proxy_state(sender)
        proxy.last_report_at, proxy.demand = now, dict(report.demand)
        requested_at = self.confirm_applied(proxy, report)
        fallback = 1.0 / max(1, len(self.proxies))
        self.last_sequence += 1
        shares: list[tuple[str, float]] = []
        if now >= self.grants_allowed_at:
            for key, targets in self.targets.items():
                before = self.reserved_share(proxy, key, now)
                reserved_by_others = self.reserved_totals[key] - self.reserved[key].get(sender, 0.0)
                share = min(targets.get(sender, fallback), max(0.0, 1.0 - reserved_by_others))
                shares.append((key, share))
                unconfirmed = IssuedShare(0, before, inf, -inf)  # held until it applies another
                issued = proxy.issued.setdefault(key, [unconfirmed])
                issued.append(
                    IssuedShare(
                        self.last_sequence, share, now + GRANT_MS * MAX_CLOCK_RATE_RATIO, requested_at
                    )
                )
                if len(issued) > MAX_UNCONFIRMED_REPLIES:  # no confirmation arrives
                    a, b = issued[:2]
                    a.share, a.expires_at = max(a.share, b.share), max(a.expires_at, b.expires_at)
                    del issued[1]
                self.reserved[key][sender] = max(before, share)
                self.reserved_totals[key] = reserved_by_others + max(before, share)
        proxy.unconfirmed.append(SentReply(self.last_sequence, fallback, now))
        if len(proxy.unconfirmed) > MAX_UNCONFIRMED_REPLIES:
            one, two = proxy.unconfirmed[:2]
            proxy.unconfirmed[:2] = [
                SentReply(two.sequence, max(one.fallback_share, two.fallback_share), two.sent_at)
            ]
        return ShareGrant(self.term, report.report_id, self.last_sequence, fallback, shares)


class SharedRateLimiter(RateLimiter):
    """Rate limits of tenants that apply to all proxies together."""

    def __init__(self, settings: RateLimiterSettings) -> None:
        super().__init__(settings)
        self.shares: LimitShares | None = None
        self.applied_shares: dict[str, float] = {}

    def acquire(self, key: str, now: float) -> float:
        key = key[:MAX_KEY_LENGTH]
        shares, bucket = self.shares, self.buckets.get(key)
        if shares is not None and not self.settings.by_address:
            shares.request_counts[key] += 1
            share = shares.share_of(key, now)
            if bucket is None or self.applied_shares.get(key) != share:
                total = self.limit_of(key)
                limit = RateLimit(total.rate * share, max(1.0, total.burst * share))
                self.applied_shares[key] = share
                if bucket is None:
                    if len(self.buckets) >= self.settings.max_buckets:
                        self.applied_shares.pop(self.buckets.popitem(last=False)[0], None)
                    self.buckets[key] = TokenBucket(limit, now)
                else:
                    bucket.refill(now)
                    bucket.limit, bucket.tokens = limit, min(bucket.tokens, limit.burst)
        return super().acquire(key, now)
