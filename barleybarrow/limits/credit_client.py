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
from barleybarrow.limits.messages import MOST_ITEMS, CreditAnswer, CreditReport, Grant, Item, whole

MOST_WAITING = 64  # requests of one key that wait at a proxy
WANT_COSTS = 1.5  # mean costs of a request that a proxy holds beside what it needs
WANT_SPAN_S = 1.0  # of its use that a proxy holds beside what it needs: for as long as a warden is missing
LOW = 0.5  # of a request: with more left over, the warden grants credit ahead of need
SMOOTH = 0.1  # weight of the newest request in the mean cost
RATE_SPAN_MS = 1000.0  # over which the rate of use is smoothed
WANTED_FOR = 2000.0  # milliseconds since its last request that an entry wants credit at hand
NUMBERS = 2**40  # where the numbers of a life's reports begin: far apart for any two lives
MOST_SENT = 64  # reports that may still be answered


class Verdict(Enum):
    """What became of a request."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    PENDING = "pending"  # the warden is asked


@dataclass(slots=True)
class Waiting:
    """A request that waits for credit."""

    ticket: int
    cost: float
    until: float
    reported: int = 0  # number of the report that first named it; 0: none


@dataclass(slots=True)
class Entry:
    """What this proxy holds of one key."""

    key: str
    number: int
    opened_at: float
    granted: float = 0.0
    spent: float = 0.0
    returned: float = 0.0
    carried: float = 0.0  # credit of an earlier term
    carried_until: float = -inf
    waiting: deque[Waiting] = field(default_factory=deque)
    blocked_until: float = -inf
    ask_at: float = inf  # when a need that was put off is to be reported again
    asked_at: float = -inf  # the newest request
    mean_cost: float = 0.0
    rate: float = 0.0  # a second
    demand: float = 0.0  # since the newest report
    hurry: bool = False  # the warden is to hear soon what is spent
    ahead: bool = False  # the warden grants credit ahead of need
    level: float = 0.0  # of the fallback bucket
    level_at: float = -inf

    @property
    def credit(self) -> float:
        """Granted and neither spent nor returned."""
        return self.granted - self.spent - self.returned


@dataclass(slots=True)
class Sent:
    """A report that may still be answered."""

    at: float
    items: list[tuple[Entry, int, float, float]]  # entry, its number, spent, returned


class CreditClient:
    """All entries of one proxy."""

    def __init__(self, run: int, now: float, limit_of: Callable[[str], KeyLimit | None]) -> None:
        self.run, self.limit_of = run, limit_of
        self.term = 0  # 0: no warden is known
        self.number = run % NUMBERS  # answers to an earlier life at this address are none to this one
        self.applied = 0
        self.base, self.base_until = 0.0, -inf
        self.fall_at = now + spans.FALL
        self.answered = False  # a warden has answered this process
        self.valid_until = -inf
        self.entries: dict[str, Entry] = {}
        self.by_number: dict[int, Entry] = {}
        self.dirty: dict[int, Entry] = {}  # by number: what the warden has not heard yet
        self.last_entry = 0
        self.sent: dict[int, Sent] = {}
        self.reported_at = -inf
        self.soon_at = now  # something is to be reported then, before the next report that is due anyway
        self.settled: list[tuple[int, bool]] = []  # tickets and whether they were admitted
        self.waiting = 0
        self.expire_at = inf  # when the longest wait ends

    # Requests

    def take(self, now: float, key: str, limit: KeyLimit, cost: float, ticket: int | None) -> Verdict:
        """Take a request's cost. Without a ticket it does not wait: what would wait is refused."""
        if now >= self.valid_until > -inf:
            self.lapse(now)
        entry = self.entries.get(key) or self.open(now, key)
        entry.asked_at = now
        entry.demand += cost
        entry.mean_cost += (cost - entry.mean_cost) * (SMOOTH if entry.mean_cost else 1.0)
        if not entry.waiting and self.spend(now, entry, cost):
            return Verdict.ADMITTED
        if now >= self.fall_at:
            return Verdict.ADMITTED if self.fall_back(now, entry, limit, cost) else Verdict.REFUSED
        if now < entry.blocked_until or len(entry.waiting) >= MOST_WAITING:
            return Verdict.REFUSED
        if ticket is None:
            self.mark(now, entry, spans.URGENT_GAP)
            return Verdict.REFUSED
        entry.waiting.append(Waiting(ticket, cost, now + spans.PATIENCE))
        self.waiting += 1
        self.expire_at = min(self.expire_at, now + spans.PATIENCE)
        self.mark(now, entry, 0.0)
        return Verdict.PENDING

    def open(self, now: float, key: str) -> Entry:
        self.last_entry += 1
        entry = Entry(key, self.last_entry, now)
        self.entries[key] = self.by_number[entry.number] = entry
        return entry

    def mark(self, now: float, entry: Entry, within: float) -> None:
        """Have an entry reported within so many milliseconds, at most with the next report that is due."""
        self.dirty[entry.number] = entry
        self.soon_at = min(self.soon_at, now + within)

    def spend(self, now: float, entry: Entry, cost: float) -> bool:
        """Take a cost from credit at hand."""
        if now < entry.carried_until and entry.carried >= cost:
            entry.carried -= cost
            return True
        if now >= self.valid_until or entry.credit < cost:
            return False
        entry.spent += cost
        soon = entry.hurry or (entry.ahead and entry.credit < entry.mean_cost)
        self.mark(now, entry, spans.SOON if soon else self.pause)
        return True

    def fall_back(self, now: float, entry: Entry, limit: KeyLimit, cost: float) -> bool:
        """Take a cost from this proxy's own part of the limit.

        Its bucket begins empty each time that the proxy falls out of touch, and fills from then on.
        """
        base = self.base if now < self.base_until else 0.0
        if entry.level_at < self.fall_at:
            entry.level, entry.level_at = 0.0, self.fall_at
        gained = base * limit.rate * (now - entry.level_at) / 1000.0
        entry.level, entry.level_at = min(entry.level + gained, base * limit.capacity), now
        if entry.level < cost:
            return False
        entry.level -= cost
        return True

    def cancel(self, ticket: int) -> None:
        """A request that waits has gone; its credit stays for the next."""
        for entry in self.entries.values():
            for waiting in entry.waiting:
                if waiting.ticket == ticket:
                    entry.waiting.remove(waiting)
                    self.waiting -= 1
                    return

    # Credit ends

    def lapse(self, now: float) -> None:
        """Credit is void once its time is over: entries begin anew, under other numbers."""
        self.valid_until = -inf
        for entry in self.entries.values():
            self.renumber(entry)

    def renumber(self, entry: Entry) -> None:
        del self.by_number[entry.number]
        self.last_entry += 1
        if self.dirty.pop(entry.number, None) is not None or entry.waiting:
            self.dirty[self.last_entry] = entry
        entry.number = self.last_entry
        self.by_number[entry.number] = entry
        entry.granted = entry.spent = entry.returned = 0.0

    def warden_changed(self, now: float, term: int) -> None:
        """Another term: credit of the one before may be spent until its time is over."""
        self.term, self.applied = term, 0
        self.sent.clear()
        for entry in self.entries.values():
            if now < self.valid_until and entry.credit > 0.0:
                alive = entry.carried if now < entry.carried_until else 0.0
                until = min(self.valid_until, entry.carried_until) if alive else self.valid_until
                entry.carried, entry.carried_until = alive + entry.credit, until
            self.renumber(entry)
        self.valid_until = -inf
        self.soon_at = now

    # Reports

    @property
    def pause(self) -> float:
        """Between two reports of a proxy that has nothing to say."""
        proxies = 1.0 / self.base if self.base > 0.0 else spans.EXPECTED_PROXIES
        return min(spans.REPORT_MOST, spans.REPORT_LEAST + spans.REPORT_EACH * proxies)

    @property
    def report_at(self) -> float:
        """When the next report is due."""
        due = self.reported_at + (spans.REPEAT if self.waiting else self.pause)
        return max(self.reported_at + spans.URGENT_GAP, min(self.soon_at, due))

    def report(self, now: float) -> CreditReport:
        """What the warden is to hear now."""
        if now >= self.base_until:
            self.base = 0.0
        span = min(RATE_SPAN_MS, max(1.0, now - self.reported_at))
        self.number += 1
        items, sent = [], []
        for entry in list(self.dirty.values())[:MOST_ITEMS]:
            weight = span / RATE_SPAN_MS
            entry.rate += weight * (entry.demand * 1000.0 / span - entry.rate)
            entry.demand = 0.0
            items.append(self.item(now, entry))
            sent.append((entry, entry.number, entry.spent, entry.returned))
        self.sent[self.number] = Sent(now, sent)
        if not self.answered:  # a warden may count on it that this process uses no base for so long
            self.fall_at = max(self.fall_at, now + spans.FALL)
        while len(self.sent) > MOST_SENT:
            del self.sent[next(iter(self.sent))]
        self.reported_at = now
        self.soon_at = now + spans.REPEAT if len(self.dirty) > MOST_ITEMS else inf
        return CreditReport(self.run, self.term, self.number, self.applied, self.base, items)

    def inherit(self, now: float, base: float, until: float) -> None:
        """Take up what the process before this one held, at the same address, until the same moment.

        Only as long as no warden has answered this process: then its word counts.
        """
        if not self.answered and now < until:
            self.base, self.base_until = base, until

    def leave(self, now: float, released: bool) -> CreditReport:
        """The last report of a process that ends: from now on it admits nothing."""
        self.number += 1
        self.base, self.base_until, self.valid_until, self.fall_at = 0.0, -inf, -inf, now
        for entry in self.entries.values():
            entry.carried_until = -inf
        return CreditReport(self.run, self.term, self.number, self.applied, 0.0, [], True, released)

    def item(self, now: float, entry: Entry) -> Item:
        need = first = 0.0
        entry.ask_at = inf
        for waiting in entry.waiting:
            waiting.reported = waiting.reported or self.number
            first = first or waiting.cost
            need += waiting.cost
        want = 0.0
        if now - entry.asked_at < WANTED_FOR:
            want = need + self.wanted(entry)
        first = first or int(entry.mean_cost)
        spent, returned = whole(entry.spent), whole(entry.returned)
        return Item(entry.key, entry.number, spent, returned, whole(need), whole(first), int(want))

    def wanted(self, entry: Entry) -> float:
        """Credit that a proxy would have at hand."""
        return WANT_COSTS * entry.mean_cost + WANT_SPAN_S * entry.rate

    def answer(self, now: float, m: CreditAnswer) -> None:
        """Take the warden's answer."""
        sent = self.sent.pop(m.number, None)
        if sent is None or m.term != self.term:
            return
        if now >= self.valid_until > -inf:
            self.lapse(now)
        self.valid_until = max(self.valid_until, sent.at + spans.CREDIT_LIFE)
        newest, self.answered = m.number > self.applied, True
        if newest:
            if self.applied == 0:
                self.soon_at = now  # the warden uses this proxy's base once it knows that it was heard
            self.applied, self.fall_at = m.number, now + spans.FALL
            self.base, self.base_until = m.base, sent.at + m.base_life
        for entry, number, spent, returned in sent.items:
            if (entry.number, entry.spent, entry.returned) == (number, spent, returned) and not entry.waiting:
                self.dirty.pop(number, None)
        for grant in m.grants:
            entry_ = self.by_number.get(grant.entry)
            if entry_ is not None:
                entry_.granted = max(entry_.granted, grant.granted)
                entry_.hurry = grant.hurry
                self.resolve(now, entry_, grant, m.number if newest else 0)
                entry_.ahead = entry_.credit >= LOW * entry_.mean_cost

    def resolve(self, now: float, entry: Entry, grant: Grant, number: int) -> None:
        """Admit what waits as far as there is credit; refuse what the warden does not grant."""
        while entry.waiting and self.spend(now, entry, entry.waiting[0].cost):
            self.settle(entry, True)
        if not entry.waiting or grant.wait_ms <= 0.0:
            return
        if grant.settling:
            entry.ask_at = now + grant.wait_ms
            self.soon_at = min(self.soon_at, entry.ask_at)
            return
        entry.blocked_until = now + min(spans.BLOCK_MOST, max(spans.BLOCK_LEAST, grant.wait_ms))
        while entry.waiting and 0 < entry.waiting[0].reported <= number:
            self.settle(entry, False)

    def settle(self, entry: Entry, admitted: bool) -> None:
        self.settled.append((entry.waiting.popleft().ticket, admitted))
        self.waiting -= 1

    # Time

    def next(self, has_warden: bool) -> float:
        """When there is something to do."""
        return min(self.report_at, self.expire_at) if has_warden else self.expire_at

    def tick(self, now: float) -> None:
        """End waits and what has lapsed; `report` is the owner's call."""
        if now >= self.valid_until > -inf:
            self.lapse(now)
        if now >= self.expire_at:
            self.expire_at = inf
            for entry in self.entries.values():
                while entry.waiting and now >= entry.waiting[0].until:
                    self.settle(entry, self.last_chance(now, entry))
                if entry.waiting:
                    self.expire_at = min(self.expire_at, entry.waiting[0].until)

    def last_chance(self, now: float, entry: Entry) -> bool:
        limit = self.limit_of(entry.key)
        if limit is None:
            return True
        return now >= self.fall_at and self.fall_back(now, entry, limit, entry.waiting[0].cost)

    def clean(self, now: float) -> None:
        """Give back credit that nobody uses, and forget entries that nobody uses."""
        for entry in list(self.entries.values()):
            idle = now - entry.asked_at
            if entry.waiting or idle < spans.IDLE_RETURN:
                continue
            if entry.credit > 0.0 and now < self.valid_until:
                entry.returned += entry.credit
                self.mark(now, entry, spans.SOON)
            elif idle > spans.IDLE_DROP and entry.number not in self.dirty:
                del self.entries[entry.key], self.by_number[entry.number]
