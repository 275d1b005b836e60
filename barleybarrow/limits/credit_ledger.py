"""Ledger of the credit server: a token bucket for each key, and the credit granted from it to each proxy.

Why the bound holds in every window, with R (rate), capacity and debt of `barleybarrow.limits.bounds`, and L,
the share of each limit that is lent to the credit server: proxies spend from t1 to t2 what was granted in
that time less what was returned, plus what was outstanding at t1 less what is outstanding at t2. The bucket
gains R L a second and loses what is granted; no grant takes it below -debt, and bucket + outstanding never
exceeds L times the capacity. So

    spent(t1, t2) <= R integral(L) + (bucket + outstanding)(t1) - (bucket + outstanding)(t2)
                  <= R integral(L) + L(t1) capacity + debt

`outstanding` covers all credit that a proxy may still spend: it only falls when a proxy reports credit as
spent or returned, or when the credit has expired on every clock. Proxies without a credit server spend from
R (1 - L) and their fallback buckets (`credit_client`).

A new credit server knows no bucket levels: each bucket starts at -debt. If the acceptors have not stored the
key as drained (`floors`), the bucket was at its floor or above, and the difference to the floor is refilled;
the previous credit server could have granted as much. Credit granted by that server may still be spent, in
an unknown amount: until it has expired, the largest possible amount (`max_credit`) counts as outstanding
whenever a bucket is raised, by its rate or by that refill.

No I/O; times are milliseconds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import floor

from barleybarrow.limits import spans
from barleybarrow.limits.bounds import KeyLimit
from barleybarrow.limits.floors import FLOOR_SHARE, REFILLED_SHARE, BucketFloors
from barleybarrow.limits.lent import LentShare
from barleybarrow.limits.messages import DrainedKeys, EntryReport, Grant, compact_number

PREFETCH_CREDIT_SHARE = 0.95  # of the credit that may be outstanding
UNKNOWN_KEY_WAIT_MS = 50.0  # until a proxy asks again for a key that the credit server does not know yet
DRAIN_ACK_WAIT_MS = 8.0  # until the acceptors will have stored that a bucket is drained
REPORT_WAIT_MS = 25.0  # until other proxies will have reported spent credit
REPORT_SOON_CREDIT_SHARE = 0.4  # of the credit that may be outstanding; above it proxies report early
CONTENTION_SHARE = 0.5  # of a round in which every proxy with the key is granted one request
LARGEST_COST_LIFETIME_MS = 8000.0
MAX_LARGEST_COST_SHARE = 0.6  # of the capacity: larger requests do not wait for a higher level
CLEANUP_BATCH_SIZE = 300  # accounts
MIN_LENT_SHARE = 0.01  # with a smaller share lent, the computed wait would be meaningless


@dataclass(slots=True)
class ProxyEntry:
    """Credit of one key at one proxy, as known to the credit server."""

    number: int
    granted: float
    spent: float
    returned: float
    last_report_at: float

    @property
    def outstanding(self) -> float:
        return self.granted - self.spent - self.returned


@dataclass(slots=True)
class KeyAccount:
    """The bucket of one key and its outstanding credit."""

    level: float
    lent_integral: float  # integral of the lent share at the time of the level
    outstanding: float = 0.0
    pending_refill: float = 0.0  # added to the level as soon as there is room
    largest_cost: float = 0.0  # of the recent requests
    largest_cost_at: float = 0.0
    entries: dict[str, ProxyEntry] = field(default_factory=dict)  # by proxy
    # Credit of replaced entries: amount, expiry.
    orphaned_credit: list[tuple[float, float]] = field(default_factory=list)


class CreditLedger:
    """All accounts of one term. `limit_of` returns the limit of a key, None if it has none."""

    def __init__(self, lent_share: LentShare, limit_of: Callable[[str], KeyLimit | None]) -> None:
        self.lent_share, self.limit_of = lent_share, limit_of
        self.no_prior_grants = False  # no earlier term has granted credit
        self.floors = BucketFloors()
        self.prior_credit_expired = False  # credit of the previous term is spent or has expired
        self.accounts: dict[str, KeyAccount] = {}
        self.keys_by_proxy: dict[str, set[str]] = {}  # keys of current and earlier entries
        self.cleanup_queue: list[str] = []

    def initial_level(self, limit: KeyLimit) -> float:
        """Level of a bucket at the start of the term."""
        return limit.capacity if self.no_prior_grants else -limit.debt

    def refreshed_account(self, now: float, key: str, limit: KeyLimit) -> KeyAccount:
        """The account of a key, with its bucket refilled up to now."""
        self.lent_share.advance(now)
        account = self.accounts.get(key)
        if account is None:
            account = self.accounts[key] = KeyAccount(self.initial_level(limit), 0.0)
            self.set_pending_refill(key, account, limit)
        if account.orphaned_credit:
            self.expire_orphaned(now, account)
        gain = limit.rate * (self.lent_share.integral - account.lent_integral) / 1000.0
        account.lent_integral = self.lent_share.integral
        self.refill(account, limit, gain)
        return account

    def refill(self, account: KeyAccount, limit: KeyLimit, gain: float) -> None:
        """Add the gain and the pending refill, as far as outstanding credit leaves room."""
        max_level = limit.capacity * self.lent_share.value - account.outstanding
        room = (
            max_level if self.no_prior_grants or self.prior_credit_expired else max_level - limit.max_credit
        )
        raised = max(account.level, min(room, account.level + gain))
        refilled = max(0.0, min(account.pending_refill, room - raised))
        account.pending_refill -= refilled
        account.level = min(max_level, raised + refilled)

    def set_pending_refill(self, key: str, account: KeyAccount, limit: KeyLimit) -> None:
        """Have a bucket raised to its floor if it was not below it at the start of the term."""
        if not self.no_prior_grants and not self.floors.was_initially_drained(key):
            account.pending_refill = FLOOR_SHARE * limit.capacity - self.initial_level(limit)

    def set_initial_drained(self, drained: DrainedKeys) -> None:
        """Apply the acceptors' stored record of the buckets drained at the start of the term."""
        self.floors.initially_drained = drained
        for key, account in self.accounts.items():
            limit = self.limit_of(key)
            if limit is not None and not account.pending_refill:
                self.set_pending_refill(key, account, limit)

    def expire_orphaned(self, now: float, account: KeyAccount) -> None:
        account.outstanding -= sum(amount for amount, until in account.orphaned_credit if until <= now)
        account.orphaned_credit = [
            (amount, until) for amount, until in account.orphaned_credit if until > now
        ]

    # Reports

    def handle_entry_report(
        self, now: float, name: str, report: EntryReport, credit_expires_at: float
    ) -> Grant | None:
        """Record a proxy's report of one entry, and grant what it needs.

        `credit_expires_at` is the expiry of all credit granted to the proxy up to now.
        """
        limit = self.limit_of(report.key)
        if limit is None:
            return Grant(report.entry_number, report.spent + report.returned, UNKNOWN_KEY_WAIT_MS, True)
        account = self.refreshed_account(now, report.key, limit)
        entry = self.record_report(now, account, name, report, credit_expires_at)
        if entry is None:
            return None
        self.keys_by_proxy.setdefault(name, set()).add(report.key)
        self.track_largest_cost(now, account, report)
        min_level = self.min_level_for(now, account, limit, entry, report)
        wait_ms, awaiting_reports = self.grant_needed(account, limit, entry, report, min_level)
        if wait_ms <= 0.0:
            self.grant_prefetch(account, limit, entry, report, min_level)
        report_soon = account.outstanding > REPORT_SOON_CREDIT_SHARE * limit.max_credit
        return Grant(
            entry.number, compact_number(entry.granted), round(wait_ms), awaiting_reports, report_soon
        )

    def record_report(
        self, now: float, account: KeyAccount, name: str, report: EntryReport, credit_expires_at: float
    ) -> ProxyEntry | None:
        entry = account.entries.get(name)
        if entry is not None and report.entry_number < entry.number:
            return None  # the proxy has replaced this entry since
        if entry is None or report.entry_number > entry.number:
            if entry is not None and entry.outstanding > 0.0:
                account.orphaned_credit.append((entry.outstanding, credit_expires_at))
            total = report.spent + report.returned
            entry = account.entries[name] = ProxyEntry(
                report.entry_number, total, report.spent, report.returned, now
            )
            return entry
        spent, returned = max(entry.spent, report.spent), max(entry.returned, report.returned)
        account.outstanding -= spent - entry.spent + returned - entry.returned
        account.level += returned - entry.returned
        entry.spent, entry.returned, entry.last_report_at = spent, returned, now
        return entry

    def track_largest_cost(self, now: float, account: KeyAccount, report: EntryReport) -> None:
        """Track the largest recent request.

        All requests wait for the level that it needs, so that large ones are admitted as often as small ones.
        """
        if report.needed <= 0.0:
            return
        if (
            report.first_cost >= account.largest_cost
            or now - account.largest_cost_at > LARGEST_COST_LIFETIME_MS
        ):
            account.largest_cost, account.largest_cost_at = report.first_cost, now

    def min_level_for(
        self, now: float, account: KeyAccount, limit: KeyLimit, entry: ProxyEntry, report: EntryReport
    ) -> float:
        """Lowest level that a grant may leave; requests to mark the key drained if the need goes below."""
        if self.floors.may_drain(report.key):
            return -limit.debt
        min_level = FLOOR_SHARE * limit.capacity - account.pending_refill
        if account.level - (report.needed - entry.outstanding) < min_level:
            self.floors.mark_drained(now, report.key)
        return min_level

    def grant_needed(
        self, account: KeyAccount, limit: KeyLimit, entry: ProxyEntry, report: EntryReport, min_level: float
    ) -> tuple[float, bool]:
        """Grant credit for pending requests.

        Returns the wait for the rest in milliseconds, and whether it awaits reports of other proxies.
        """
        held_credit = entry.outstanding
        shortfall = report.needed - held_credit
        if shortfall <= 0.0:
            return 0.0, False
        min_grant = max(0.0, report.first_cost - held_credit)
        start_level = max(
            0.0, min(account.largest_cost, MAX_LARGEST_COST_SHARE * limit.capacity) - limit.debt
        )
        available = account.level + limit.debt if account.level > start_level else 0.0
        above_floor = max(0.0, account.level - min_level)
        room = limit.max_credit * self.lent_share.value - account.outstanding
        amount = float(floor(min(shortfall, available, room, above_floor)))
        if amount >= min_grant:
            self.add_grant(account, entry, amount)
            if amount >= shortfall:
                return 0.0, False
        if available >= min_grant and above_floor < min_grant:
            return DRAIN_ACK_WAIT_MS, True
        if (available >= min_grant and room < min_grant) or account.pending_refill > 0.0:
            return REPORT_WAIT_MS, True
        return self.rate_wait_ms(account, limit, report.first_cost), False

    def rate_wait_ms(self, account: KeyAccount, limit: KeyLimit, cost: float) -> float:
        """Milliseconds until the rate may have refilled enough for this cost."""
        rate = limit.rate * max(MIN_LENT_SHARE, self.lent_share.value)
        missing = max(0.0, cost - limit.debt - account.level, -account.level)
        turn_cost = CONTENTION_SHARE * len(account.entries) * cost
        return max(1.0, 1000.0 * (missing + turn_cost) / rate)

    def grant_prefetch(
        self, account: KeyAccount, limit: KeyLimit, entry: ProxyEntry, report: EntryReport, min_level: float
    ) -> None:
        """Grant credit ahead of need, while the bucket is above its reserve."""
        held_credit = entry.outstanding
        shortfall = report.prefetch_target - held_credit
        if shortfall <= 0.0 or account.level < limit.reserve:
            return
        max_credit = limit.max_credit * self.lent_share.value
        max_outstanding = min(PREFETCH_CREDIT_SHARE * max_credit, max_credit - limit.max_request_cost)
        fair_share = max_outstanding / max(1, len(account.entries)) - held_credit
        available = min(account.level, account.level - min_level)
        amount = float(floor(min(shortfall, fair_share, max_outstanding - account.outstanding, available)))
        if amount >= max(1.0, floor(report.first_cost)):
            self.add_grant(account, entry, amount)

    def add_grant(self, account: KeyAccount, entry: ProxyEntry, amount: float) -> None:
        account.level -= amount
        account.outstanding += amount
        entry.granted += amount

    # Lost proxies and cleanup

    def write_off(self, name: str) -> None:
        """Write off all credit of a proxy, as spent or expired."""
        for key in self.keys_by_proxy.pop(name, ()):
            account = self.accounts.get(key)
            entry = account.entries.pop(name, None) if account is not None else None
            if account is not None and entry is not None:
                account.outstanding -= entry.outstanding

    def cleanup(self, now: float) -> None:
        """Remove unused entries and accounts with full buckets, one batch of accounts a call."""
        if not self.cleanup_queue:
            self.cleanup_queue = list(self.accounts)
        for key in self.cleanup_queue[-CLEANUP_BATCH_SIZE:]:
            if key in self.accounts:
                self.cleanup_account(now, key, self.accounts[key])
        del self.cleanup_queue[-CLEANUP_BATCH_SIZE:]

    def cleanup_account(self, now: float, key: str, account: KeyAccount) -> None:
        limit = self.limit_of(key)
        if limit is not None:
            self.refreshed_account(now, key, limit)
            self.update_drained(now, key, account, limit)
        for name, entry in list(account.entries.items()):
            if now - entry.last_report_at > spans.IDLE_ENTRY_TIMEOUT_MS:
                account.outstanding -= entry.outstanding
                del account.entries[name]
                self.keys_by_proxy.get(name, set()).discard(key)
        is_full = limit is None or account.level >= limit.capacity
        if is_full and not account.entries and not account.orphaned_credit:
            del self.accounts[key]
            self.floors.forget([key])

    def update_drained(self, now: float, key: str, account: KeyAccount, limit: KeyLimit) -> None:
        """Mark a bucket as drained if it is below its floor, and as refilled if well above it."""
        if account.level >= REFILLED_SHARE * limit.capacity:
            self.floors.mark_refilled(now, key)
        elif account.level + account.pending_refill < FLOOR_SHARE * limit.capacity:
            self.floors.mark_drained(now, key)
