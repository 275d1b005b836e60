"""A proxy's side of the shared limits: granted credit, and the fallback without a credit server.

A request is admitted from credit held locally; if that is too little, it waits some milliseconds for the
reply of the credit server. A proxy without a reply for `FALLBACK_DELAY_MS` uses its fallback share: a fixed
share of each limit that nobody else uses meanwhile. No I/O; times are monotonic milliseconds.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from barleybarrow.limits import spans
from barleybarrow.limits.bounds import KeyLimit
from barleybarrow.limits.messages import (
    MAX_REPORT_ITEMS,
    CreditReply,
    CreditReport,
    EntryReport,
    Grant,
    compact_number,
)

MAX_PENDING_PER_KEY = 64
PREFETCH_REQUESTS = 1.5  # mean request costs to hold beyond pending requests
PREFETCH_SPAN_S = 1.0  # of demand to hold beyond pending requests: covers the election of a credit server
MIN_PREFETCHED_REQUESTS = 0.5  # of a mean request: credit left above this was granted ahead of need
MEAN_COST_WEIGHT = 0.1  # of the newest request
RATE_SMOOTHING_MS = 1000.0
PREFETCH_IDLE_TIMEOUT_MS = 2000.0  # since the newest request of a key
FIRST_SEQUENCE_RANGE = 2**40  # first sequence numbers of any two incarnations are far apart
MAX_UNANSWERED_REPORTS = 64


class Verdict(Enum):
    """Decision on a request."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    PENDING = "pending"  # awaits a reply of the credit server


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for credit."""

    ticket: int
    cost: float
    deadline: float
    first_reported_in: int = 0  # sequence number of a report; 0: none yet


@dataclass(slots=True)
class CreditEntry:
    """Credit and fallback bucket of one key at this proxy."""

    key: str
    number: int
    opened_at: float
    granted: float = 0.0
    spent: float = 0.0
    returned: float = 0.0
    carried: float = 0.0  # credit of an earlier term
    carried_until: float = -inf
    pending: deque[PendingRequest] = field(default_factory=deque)
    blocked_until: float = -inf
    ask_again_at: float = inf  # when an ungranted need is to be reported again
    last_request_at: float = -inf
    mean_cost: float = 0.0
    rate_per_s: float = 0.0
    unreported_demand: float = 0.0
    report_soon: bool = False  # the credit server asked for early reports
    has_prefetched: bool = False  # the credit server grants credit ahead of need
    fallback_level: float = 0.0
    fallback_level_at: float = -inf

    @property
    def credit(self) -> float:
        """Granted and neither spent nor returned."""
        return self.granted - self.spent - self.returned


@dataclass(slots=True)
class SentReport:
    """A report that awaits its reply."""

    sent_at: float
    items: list[tuple[CreditEntry, int, float, float]]  # entry, its number, spent, returned


class CreditClient:
    """All entries of one proxy."""

    def __init__(self, incarnation: int, now: float, limit_of: Callable[[str], KeyLimit | None]) -> None:
        self.incarnation, self.limit_of = incarnation, limit_of
        self.term = 0  # 0: no known credit server
        # Replies to an earlier incarnation at this address must not match a report of this one.
        self.sequence = incarnation % FIRST_SEQUENCE_RANGE
        self.applied_sequence = 0
        self.fallback_share, self.fallback_share_until = 0.0, -inf
        self.fallback_at = now + spans.FALLBACK_DELAY_MS
        self.was_answered = False
        self.credit_valid_until = -inf
        self.entries: dict[str, CreditEntry] = {}
        self.entries_by_number: dict[int, CreditEntry] = {}
        self.dirty: dict[int, CreditEntry] = {}  # by number: to be reported
        self.last_entry_number = 0
        self.sent_reports: dict[int, SentReport] = {}
        self.last_report_at = -inf
        self.early_report_at = now  # time of a report that is needed before the next regular one
        self.decisions: list[tuple[int, bool]] = []  # ticket, admitted
        self.pending_count = 0
        self.next_timeout_at = inf

    # Requests

    def acquire(self, now: float, key: str, limit: KeyLimit, cost: float, ticket: int | None) -> Verdict:
        """Take a request's cost; a request without a ticket is refused where it would have to wait."""
        if now >= self.credit_valid_until > -inf:
            self.expire_credit(now)
        entry = self.entries.get(key) or self.open_entry(now, key)
        entry.last_request_at = now
        entry.unreported_demand += cost
        entry.mean_cost += (cost - entry.mean_cost) * (MEAN_COST_WEIGHT if entry.mean_cost else 1.0)
        if not entry.pending and self.spend(now, entry, cost):
            return Verdict.ADMITTED
        if now >= self.fallback_at:
            return Verdict.ADMITTED if self.spend_fallback(now, entry, limit, cost) else Verdict.REFUSED
        if now < entry.blocked_until or len(entry.pending) >= MAX_PENDING_PER_KEY:
            return Verdict.REFUSED
        if ticket is None:
            self.mark_dirty(now, entry, spans.MIN_REPORT_GAP_MS)
            return Verdict.REFUSED
        entry.pending.append(PendingRequest(ticket, cost, now + spans.CREDIT_WAIT_TIMEOUT_MS))
        self.pending_count += 1
        self.next_timeout_at = min(self.next_timeout_at, now + spans.CREDIT_WAIT_TIMEOUT_MS)
        self.mark_dirty(now, entry, 0.0)
        return Verdict.PENDING

    def open_entry(self, now: float, key: str) -> CreditEntry:
        self.last_entry_number += 1
        entry = CreditEntry(key, self.last_entry_number, now)
        self.entries[key] = self.entries_by_number[entry.number] = entry
        return entry

    def mark_dirty(self, now: float, entry: CreditEntry, within_ms: float) -> None:
        """Have an entry reported within this time, or with the next regular report if that is earlier."""
        self.dirty[entry.number] = entry
        self.early_report_at = min(self.early_report_at, now + within_ms)

    def spend(self, now: float, entry: CreditEntry, cost: float) -> bool:
        """Take a cost from credit held locally."""
        if now < entry.carried_until and entry.carried >= cost:
            entry.carried -= cost
            return True
        if now >= self.credit_valid_until or entry.credit < cost:
            return False
        entry.spent += cost
        report_early = entry.report_soon or (entry.has_prefetched and entry.credit < entry.mean_cost)
        self.mark_dirty(
            now, entry, spans.EARLY_REPORT_DELAY_MS if report_early else self.idle_report_interval
        )
        return True

    def spend_fallback(self, now: float, entry: CreditEntry, limit: KeyLimit, cost: float) -> bool:
        """Take a cost from this proxy's fallback share of the limit.

        The fallback bucket starts empty each time that the proxy is disconnected.
        """
        share = self.fallback_share if now < self.fallback_share_until else 0.0
        if entry.fallback_level_at < self.fallback_at:
            entry.fallback_level, entry.fallback_level_at = 0.0, self.fallback_at
        gain = share * limit.rate * (now - entry.fallback_level_at) / 1000.0
        entry.fallback_level, entry.fallback_level_at = (
            min(entry.fallback_level + gain, share * limit.capacity),
            now,
        )
        if entry.fallback_level < cost:
            return False
        entry.fallback_level -= cost
        return True

    def cancel(self, ticket: int) -> None:
        """Remove a pending request; its credit stays for the next one."""
        for entry in self.entries.values():
            for request in entry.pending:
                if request.ticket == ticket:
                    entry.pending.remove(request)
                    self.pending_count -= 1
                    return

    # Expiry of credit

    def expire_credit(self, now: float) -> None:
        """Drop credit whose lifetime is over: all entries restart under new numbers."""
        self.credit_valid_until = -inf
        for entry in self.entries.values():
            self.renumber(entry)

    def renumber(self, entry: CreditEntry) -> None:
        del self.entries_by_number[entry.number]
        self.last_entry_number += 1
        if self.dirty.pop(entry.number, None) is not None or entry.pending:
            self.dirty[self.last_entry_number] = entry
        entry.number = self.last_entry_number
        self.entries_by_number[entry.number] = entry
        entry.granted = entry.spent = entry.returned = 0.0

    def on_credit_server_changed(self, now: float, term: int) -> None:
        """Begin a term; credit of the previous term may be spent until it expires."""
        self.term, self.applied_sequence = term, 0
        self.sent_reports.clear()
        for entry in self.entries.values():
            if now < self.credit_valid_until and entry.credit > 0.0:
                carried = entry.carried if now < entry.carried_until else 0.0
                until = (
                    min(self.credit_valid_until, entry.carried_until) if carried else self.credit_valid_until
                )
                entry.carried, entry.carried_until = carried + entry.credit, until
            self.renumber(entry)
        self.credit_valid_until = -inf
        self.early_report_at = now

    # Reports

    @property
    def idle_report_interval(self) -> float:
        """Milliseconds between two reports without a pending request."""
        proxies = 1.0 / self.fallback_share if self.fallback_share > 0.0 else spans.DEFAULT_PROXY_COUNT
        return min(
            spans.MAX_REPORT_INTERVAL_MS,
            spans.MIN_REPORT_INTERVAL_MS + spans.REPORT_INTERVAL_PER_PROXY_MS * proxies,
        )

    @property
    def next_report_at(self) -> float:
        """Time of the next report."""
        regular_at = self.last_report_at + (
            spans.NEED_REPORT_INTERVAL_MS if self.pending_count else self.idle_report_interval
        )
        return max(self.last_report_at + spans.MIN_REPORT_GAP_MS, min(self.early_report_at, regular_at))

    def build_report(self, now: float) -> CreditReport:
        """Build a report of all changed entries, up to `MAX_REPORT_ITEMS`."""
        if now >= self.fallback_share_until:
            self.fallback_share = 0.0
        span_ms = min(RATE_SMOOTHING_MS, max(1.0, now - self.last_report_at))
        self.sequence += 1
        items, sent = [], []
        for entry in list(self.dirty.values())[:MAX_REPORT_ITEMS]:
            weight = span_ms / RATE_SMOOTHING_MS
            entry.rate_per_s += weight * (entry.unreported_demand * 1000.0 / span_ms - entry.rate_per_s)
            entry.unreported_demand = 0.0
            items.append(self.build_entry_report(now, entry))
            sent.append((entry, entry.number, entry.spent, entry.returned))
        self.sent_reports[self.sequence] = SentReport(now, sent)
        if not self.was_answered:  # the credit server may use this share for that long
            self.fallback_at = max(self.fallback_at, now + spans.FALLBACK_DELAY_MS)
        while len(self.sent_reports) > MAX_UNANSWERED_REPORTS:
            del self.sent_reports[next(iter(self.sent_reports))]
        self.last_report_at = now
        self.early_report_at = (
            now + spans.NEED_REPORT_INTERVAL_MS if len(self.dirty) > MAX_REPORT_ITEMS else inf
        )
        return CreditReport(
            self.incarnation, self.term, self.sequence, self.applied_sequence, self.fallback_share, items
        )

    def inherit_fallback_share(self, now: float, share: float, until: float) -> None:
        """Take over the share of the previous incarnation at this address, with the same expiry.

        Ignored once a credit server has replied to this process, as that reply is authoritative.
        """
        if not self.was_answered and now < until:
            self.fallback_share, self.fallback_share_until = share, until

    def build_final_report(self, now: float, released: bool) -> CreditReport:
        """Build the final report of a process that shuts down; from now on it admits nothing."""
        self.sequence += 1
        self.fallback_share, self.fallback_share_until, self.credit_valid_until, self.fallback_at = (
            0.0,
            -inf,
            -inf,
            now,
        )
        for entry in self.entries.values():
            entry.carried_until = -inf
        return CreditReport(
            self.incarnation, self.term, self.sequence, self.applied_sequence, 0.0, [], True, released
        )

    def build_entry_report(self, now: float, entry: CreditEntry) -> EntryReport:
        needed = first_cost = 0.0
        entry.ask_again_at = inf
        for request in entry.pending:
            request.first_reported_in = request.first_reported_in or self.sequence
            first_cost = first_cost or request.cost
            needed += request.cost
        prefetch_target = 0.0
        if now - entry.last_request_at < PREFETCH_IDLE_TIMEOUT_MS:
            prefetch_target = needed + self.prefetch_amount(entry)
        first_cost = first_cost or int(entry.mean_cost)
        spent, returned = compact_number(entry.spent), compact_number(entry.returned)
        return EntryReport(
            entry.key,
            entry.number,
            spent,
            returned,
            compact_number(needed),
            compact_number(first_cost),
            int(prefetch_target),
        )

    def prefetch_amount(self, entry: CreditEntry) -> float:
        """Credit to hold beyond pending requests."""
        return PREFETCH_REQUESTS * entry.mean_cost + PREFETCH_SPAN_S * entry.rate_per_s

    def handle_reply(self, now: float, reply: CreditReply) -> None:
        """Apply a reply of the credit server."""
        sent = self.sent_reports.pop(reply.sequence, None)
        if sent is None or reply.term != self.term:
            return
        if now >= self.credit_valid_until > -inf:
            self.expire_credit(now)
        self.credit_valid_until = max(self.credit_valid_until, sent.sent_at + spans.CREDIT_LIFETIME_MS)
        is_newest, self.was_answered = reply.sequence > self.applied_sequence, True
        if is_newest:
            if self.applied_sequence == 0:
                self.early_report_at = now  # the server uses this proxy's share once its reply is confirmed
            self.applied_sequence, self.fallback_at = reply.sequence, now + spans.FALLBACK_DELAY_MS
            self.fallback_share, self.fallback_share_until = (
                reply.fallback_share,
                sent.sent_at + reply.share_lifetime_ms,
            )
        for entry, number, spent, returned in sent.items:
            if (entry.number, entry.spent, entry.returned) == (number, spent, returned) and not entry.pending:
                self.dirty.pop(number, None)
        for grant in reply.grants:
            granted_entry = self.entries_by_number.get(grant.entry_number)
            if granted_entry is not None:
                granted_entry.granted = max(granted_entry.granted, grant.granted)
                granted_entry.report_soon = grant.report_soon
                self.resolve_pending(now, granted_entry, grant, reply.sequence if is_newest else 0)
                granted_entry.has_prefetched = (
                    granted_entry.credit >= MIN_PREFETCHED_REQUESTS * granted_entry.mean_cost
                )

    def resolve_pending(self, now: float, entry: CreditEntry, grant: Grant, sequence: int) -> None:
        """Admit pending requests as far as there is credit; refuse those that were not granted."""
        while entry.pending and self.spend(now, entry, entry.pending[0].cost):
            self.decide_first(entry, True)
        if not entry.pending or grant.wait_ms <= 0.0:
            return
        if grant.awaiting_reports:
            entry.ask_again_at = now + grant.wait_ms
            self.early_report_at = min(self.early_report_at, entry.ask_again_at)
            return
        entry.blocked_until = now + min(spans.MAX_BLOCK_MS, max(spans.MIN_BLOCK_MS, grant.wait_ms))
        while entry.pending and 0 < entry.pending[0].first_reported_in <= sequence:
            self.decide_first(entry, False)

    def decide_first(self, entry: CreditEntry, admitted: bool) -> None:
        self.decisions.append((entry.pending.popleft().ticket, admitted))
        self.pending_count -= 1

    # Time

    def next_wakeup(self, has_credit_server: bool) -> float:
        """Time of the next action."""
        return min(self.next_report_at, self.next_timeout_at) if has_credit_server else self.next_timeout_at

    def tick(self, now: float) -> None:
        """Expire credit and pending requests; the owner sends the reports."""
        if now >= self.credit_valid_until > -inf:
            self.expire_credit(now)
        if now >= self.next_timeout_at:
            self.next_timeout_at = inf
            for entry in self.entries.values():
                while entry.pending and now >= entry.pending[0].deadline:
                    self.decide_first(entry, self.decide_expired(now, entry))
                if entry.pending:
                    self.next_timeout_at = min(self.next_timeout_at, entry.pending[0].deadline)

    def decide_expired(self, now: float, entry: CreditEntry) -> bool:
        limit = self.limit_of(entry.key)
        if limit is None:
            return True
        return now >= self.fallback_at and self.spend_fallback(now, entry, limit, entry.pending[0].cost)

    def cleanup(self, now: float) -> None:
        """Return credit of idle entries, and remove entries that were idle for longer."""
        for entry in list(self.entries.values()):
            idle_ms = now - entry.last_request_at
            if entry.pending or idle_ms < spans.IDLE_CREDIT_TIMEOUT_MS:
                continue
            if entry.credit > 0.0 and now < self.credit_valid_until:
                entry.returned += entry.credit
                self.mark_dirty(now, entry, spans.EARLY_REPORT_DELAY_MS)
            elif idle_ms > spans.IDLE_ENTRY_TIMEOUT_MS and entry.number not in self.dirty:
                del self.entries[entry.key], self.entries_by_number[entry.number]
