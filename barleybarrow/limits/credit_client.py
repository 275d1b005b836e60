"""A proxy's side of the shared limits: credit that the warden granted, and what is used without one.

A request is admitted from credit at hand; where there is too little it waits for some milliseconds until
the warden has answered. A proxy that had no answer for `FALL` uses its base: a fixed part of each limit
that nobody else uses meanwhile. No I/O; told the time in milliseconds.
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

MAX_PENDING_PER_KEY = 64  # requests of one key that wait at a proxy
PREFETCH_REQUESTS = 1.5  # mean costs of a request that a proxy holds beside what it needs
PREFETCH_SPAN_S = (
    1.0  # of its use that a proxy holds beside what it needs: for as long as a warden is missing
)
MIN_PREFETCHED_REQUESTS = 0.5  # of a request: with more left over, the warden grants credit ahead of need
MEAN_COST_WEIGHT = 0.1  # weight of the newest request in the mean cost
RATE_SMOOTHING_MS = 1000.0  # over which the rate of use is smoothed
PREFETCH_IDLE_TIMEOUT_MS = 2000.0  # milliseconds since its last request that an entry wants credit at hand
FIRST_SEQUENCE_RANGE = 2**40  # where the numbers of a life's reports begin: far apart for any two lives
MAX_UNANSWERED_REPORTS = 64  # reports that may still be answered


class Verdict(Enum):
    """What became of a request."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    PENDING = "pending"  # the warden is asked


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for credit."""

    ticket: int
    cost: float
    deadline: float
    first_reported_in: int = 0  # number of the report that first named it; 0: none


@dataclass(slots=True)
class CreditEntry:
    """What this proxy holds of one key."""

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
    ask_again_at: float = inf  # when a need that was put off is to be reported again
    last_request_at: float = -inf  # the newest request
    mean_cost: float = 0.0
    rate_per_s: float = 0.0  # a second
    unreported_demand: float = 0.0  # since the newest report
    report_soon: bool = False  # the warden is to hear soon what is spent
    has_prefetched: bool = False  # the warden grants credit ahead of need
    fallback_level: float = 0.0  # of the fallback bucket
    fallback_level_at: float = -inf

    @property
    def credit(self) -> float:
        """Granted and neither spent nor returned."""
        return self.granted - self.spent - self.returned


@dataclass(slots=True)
class SentReport:
    """A report that may still be answered."""

    sent_at: float
    items: list[tuple[CreditEntry, int, float, float]]  # entry, its number, spent, returned


class CreditClient:
    """All entries of one proxy."""

    def __init__(self, incarnation: int, now: float, limit_of: Callable[[str], KeyLimit | None]) -> None:
        self.incarnation, self.limit_of = incarnation, limit_of
        self.term = 0  # 0: no warden is known
        self.sequence = (
            incarnation % FIRST_SEQUENCE_RANGE
        )  # answers to an earlier life at this address are none to this one
        self.applied_sequence = 0
        self.fallback_share, self.fallback_share_until = 0.0, -inf
        self.fallback_at = now + spans.FALLBACK_DELAY_MS
        self.was_answered = False  # a warden has answered this process
        self.credit_valid_until = -inf
        self.entries: dict[str, CreditEntry] = {}
        self.entries_by_number: dict[int, CreditEntry] = {}
        self.dirty: dict[int, CreditEntry] = {}  # by number: what the warden has not heard yet
        self.last_entry_number = 0
        self.sent_reports: dict[int, SentReport] = {}
        self.last_report_at = -inf
        self.early_report_at = (
            now  # something is to be reported then, before the next report that is due anyway
        )
        self.decisions: list[tuple[int, bool]] = []  # tickets and whether they were admitted
        self.pending_count = 0
        self.next_timeout_at = inf  # when the longest wait ends

    # Requests

    def acquire(self, now: float, key: str, limit: KeyLimit, cost: float, ticket: int | None) -> Verdict:
        """Take a request's cost. Without a ticket it does not wait: what would wait is refused."""
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
        """Have an entry reported within so many milliseconds, at most with the next report that is due."""
        self.dirty[entry.number] = entry
        self.early_report_at = min(self.early_report_at, now + within_ms)

    def spend(self, now: float, entry: CreditEntry, cost: float) -> bool:
        """Take a cost from credit at hand."""
        if now < entry.carried_until and entry.carried >= cost:
            entry.carried -= cost
            return True
        if now >= self.credit_valid_until or entry.credit < cost:
            return False
        entry.spent += cost
        soon = entry.report_soon or (entry.has_prefetched and entry.credit < entry.mean_cost)
        self.mark_dirty(now, entry, spans.EARLY_REPORT_DELAY_MS if soon else self.idle_report_interval)
        return True

    def spend_fallback(self, now: float, entry: CreditEntry, limit: KeyLimit, cost: float) -> bool:
        """Take a cost from this proxy's own part of the limit.

        Its bucket begins empty each time that the proxy falls out of touch, and fills from then on.
        """
        share = self.fallback_share if now < self.fallback_share_until else 0.0
        if entry.fallback_level_at < self.fallback_at:
            entry.fallback_level, entry.fallback_level_at = 0.0, self.fallback_at
        gained = share * limit.rate * (now - entry.fallback_level_at) / 1000.0
        entry.fallback_level, entry.fallback_level_at = (
            min(entry.fallback_level + gained, share * limit.capacity),
            now,
        )
        if entry.fallback_level < cost:
            return False
        entry.fallback_level -= cost
        return True

    def cancel(self, ticket: int) -> None:
        """A request that waits has gone; its credit stays for the next."""
        for entry in self.entries.values():
            for request in entry.pending:
                if request.ticket == ticket:
                    entry.pending.remove(request)
                    self.pending_count -= 1
                    return

    # Credit ends

    def expire_credit(self, now: float) -> None:
        """Credit is void once its time is over: entries begin anew, under other numbers."""
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
        """Another term: credit of the one before may be spent until its time is over."""
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
        """Between two reports of a proxy that has nothing to say."""
        proxies = 1.0 / self.fallback_share if self.fallback_share > 0.0 else spans.DEFAULT_PROXY_COUNT
        return min(
            spans.MAX_REPORT_INTERVAL_MS,
            spans.MIN_REPORT_INTERVAL_MS + spans.REPORT_INTERVAL_PER_PROXY_MS * proxies,
        )

    @property
    def next_report_at(self) -> float:
        """When the next report is due."""
        due = self.last_report_at + (
            spans.NEED_REPORT_INTERVAL_MS if self.pending_count else self.idle_report_interval
        )
        return max(self.last_report_at + spans.MIN_REPORT_GAP_MS, min(self.early_report_at, due))

    def report(self, now: float) -> CreditReport:
        """What the warden is to hear now."""
        if now >= self.fallback_share_until:
            self.fallback_share = 0.0
        span = min(RATE_SMOOTHING_MS, max(1.0, now - self.last_report_at))
        self.sequence += 1
        items, sent = [], []
        for entry in list(self.dirty.values())[:MAX_REPORT_ITEMS]:
            weight = span / RATE_SMOOTHING_MS
            entry.rate_per_s += weight * (entry.unreported_demand * 1000.0 / span - entry.rate_per_s)
            entry.unreported_demand = 0.0
            items.append(self.build_entry_report(now, entry))
            sent.append((entry, entry.number, entry.spent, entry.returned))
        self.sent_reports[self.sequence] = SentReport(now, sent)
        if not self.was_answered:  # a warden may count on it that this process uses no base for so long
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
        """Take up what the process before this one held, at the same address, until the same moment.

        Only as long as no warden has answered this process: then its word counts.
        """
        if not self.was_answered and now < until:
            self.fallback_share, self.fallback_share_until = share, until

    def build_final_report(self, now: float, released: bool) -> CreditReport:
        """The last report of a process that ends: from now on it admits nothing."""
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
        """Credit that a proxy would have at hand."""
        return PREFETCH_REQUESTS * entry.mean_cost + PREFETCH_SPAN_S * entry.rate_per_s

    def handle_reply(self, now: float, reply: CreditReply) -> None:
        """Take the warden's answer."""
        report = self.sent_reports.pop(reply.sequence, None)
        if report is None or reply.term != self.term:
            return
        if now >= self.credit_valid_until > -inf:
            self.expire_credit(now)
        self.credit_valid_until = max(self.credit_valid_until, report.sent_at + spans.CREDIT_LIFETIME_MS)
        is_newest, self.was_answered = reply.sequence > self.applied_sequence, True
        if is_newest:
            if self.applied_sequence == 0:
                self.early_report_at = (
                    now  # the warden uses this proxy's base once it knows that it was heard
                )
            self.applied_sequence, self.fallback_at = reply.sequence, now + spans.FALLBACK_DELAY_MS
            self.fallback_share, self.fallback_share_until = (
                reply.fallback_share,
                report.sent_at + reply.share_lifetime_ms,
            )
        for entry, number, spent, returned in report.items:
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
        """Admit what waits as far as there is credit; refuse what the warden does not grant."""
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
        """When there is something to do."""
        return min(self.next_report_at, self.next_timeout_at) if has_credit_server else self.next_timeout_at

    def tick(self, now: float) -> None:
        """End waits and what has lapsed; `report` is the owner's call."""
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
        """Give back credit that nobody uses, and forget entries that nobody uses."""
        for entry in list(self.entries.values()):
            idle_ms = now - entry.last_request_at
            if entry.pending or idle_ms < spans.IDLE_CREDIT_TIMEOUT_MS:
                continue
            if entry.credit > 0.0 and now < self.credit_valid_until:
                entry.returned += entry.credit
                self.mark_dirty(now, entry, spans.EARLY_REPORT_DELAY_MS)
            elif idle_ms > spans.IDLE_ENTRY_TIMEOUT_MS and entry.number not in self.dirty:
                del self.entries[entry.key], self.entries_by_number[entry.number]
