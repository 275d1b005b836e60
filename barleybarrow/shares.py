"""A tenant's limit over all proxies: each may use a part of it, and the parts add up to one, whatever fails.

A machine without I/O. Parts are held in escrow (bounded counters: Balegas and others, 2015) and handed out by
one warden, who holds a lease from a majority of the keepers (PaxosLease: Trencseni and others, 2009). A part
is for a span that each proxy counts from its own question; who gets nothing new falls back to its own part,
one of as many as there are proxies. No request waits for any of this.

A process is one that asks (FOLLOWER); a keeper that seeks the lease or holds it is the warden:
`CreditServerLease`.
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
from barleybarrow.rate_limiter import LONGEST_KEY, Bucket, Limit, RateLimiter, RateLimiterSettings

__all__ = [
    "CreditServerHeartbeat",
    "Parts",
    "Promise",
    "Report",
    "Role",
    "LeaseRequest",
    "SharedRateLimiter",
    "Shares",
]

LEASE = 3000.0  # milliseconds that a keeper promises itself to one warden
GRANT = 2000.0  # a part counts so long, from the question
FALL = 2.5  # times GRANT more, until one falls back to its own part: others have given it up by then
REPORT, REPORT_EACH = 100.0, 5.0  # between two reports, and more for each proxy
SILENT = 3.0  # reports missed
FORGET = 10_000.0  # one that is silent for so long, and not reached, is no longer counted
TABLE = 100.0  # between two reckonings of who should have how much
FLOOR = 0.03  # of the limit, for those together that do not ask for it now
MORE = 1.25  # times its demand that one gets where there is enough
SMOOTH = 0.5  # of a rate, of what came since the last report
LEAST_RATE = 0.2  # requests a second worth a report
MOST_KEYS = 50  # in one report
MOST_RATES = 1000  # keys of which the rate is reckoned: those that are asked for most
MOST_PROXIES = 1024
MOST_SAID = 32

Key = Annotated[str, Meta(max_length=64)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]


class Report(Struct, array_like=True, frozen=True, tag=4):
    """What is asked for here, in requests a second."""

    term: UInt62
    number: UInt62
    applied: UInt62  # the last serial that came in this term
    base: Part  # what it takes for its own part
    asks: Annotated[list[tuple[Key, float]], Meta(max_length=MOST_KEYS)]


class Parts(Struct, array_like=True, frozen=True, tag=5):
    """Its answer. Keys that are not named keep what they have, until it runs out."""

    term: UInt62
    number: UInt62
    serial: UInt62
    base: Part
    parts: Annotated[list[tuple[Key, Part]], Meta(max_length=20 * MOST_KEYS)]


Message = LeaseRequest | Promise | CreditServerHeartbeat | Report | Parts


@dataclass(slots=True)
class Said:
    """A word of the warden's to a proxy."""

    serial: int
    base: float
    at: float


@dataclass(slots=True)
class Issued:
    """A part that was handed out."""

    serial: int
    part: float
    end: float
    asked: float  # when the question was put, at the earliest


@dataclass(slots=True)
class Member:
    """What the warden knows of a proxy."""

    heard_at: float = -inf
    said: list[Said] = field(default_factory=list)  # from the last that it is known to have applied
    asks: dict[str, float] = field(default_factory=dict)
    issued: dict[str, list["Issued"]] = field(default_factory=dict)  # by key, from the last it has applied


class Shares(CreditServerLease):
    """One proxy's part. Times are milliseconds on its own monotonic clock."""

    def __init__(
        self,
        name: str,
        keepers: list[str],
        rng: Random,
        now: float,
        proxies: int,
        rate_of: Callable[[str], float],
    ) -> None:
        super().__init__(name, keepers, rng, now, LeaseTimes(lease_ms=LEASE))
        self.rate_of = rate_of
        self.base = self.first_base = 1.0 / max(1, proxies)
        # as one that asks
        self.number = 0
        self.sent: dict[int, float] = {}
        self.applied, self.applied_at = 0, -inf  # the last word that came, and when it was asked for
        self.grants: dict[str, tuple[float, float]] = {}  # part, until
        self.asked: Counter[str] = Counter()
        self.rates: dict[str, float] = {}
        self.report_at, self.reported_at = now, now
        # as the warden
        self.grants_from = inf
        self.table_at = -inf
        self.serial = 0
        self.members: dict[str, Member] = {}
        self.targets: dict[str, dict[str, float]] = {}
        self.counted: dict[str, dict[str, float]] = {}  # by key and proxy: what it may be using
        self.totals: dict[str, float] = {}  # their sums

    # What the door asks

    def part(self, key: str, now: float) -> float:
        """The part of a limit that may be used here now."""
        held = self.grants.get(key)
        if held is None:
            return self.base
        part, until = held
        if now < until:
            return part
        if now < until + FALL * GRANT:
            return min(part, self.base)
        del self.grants[key]
        return self.base

    # Time

    def next(self) -> float:
        return min(self.report_at, self.next_lease_wakeup())

    def tick(self, now: float) -> None:
        self.tick_lease(now)
        if now >= self.report_at:
            self.report(now)

    def on_stepped_down(self, now: float) -> None:
        self.members.clear()
        self.targets.clear()
        self.totals.clear()

    def on_elected(self, now: float) -> None:
        self.applied, self.serial = 0, 0
        # by then nothing counts that another has handed out
        self.grants_from = now + GRANT * MAX_CLOCK_RATE_RATIO
        self.members.clear()
        self.targets.clear()
        self.totals.clear()

    def on_credit_server_changed(self, now: float) -> None:
        self.applied = 0
        self.sent.clear()
        self.report_at = now

    def receive(self, now: float, sender: str, m: Message) -> None:
        if isinstance(m, Report):
            if self.role is Role.CREDIT_SERVER and now < self.lease_expires_at and m.term == self.term:
                self.outgoing.append((sender, self.answer(now, sender, m)))
        elif isinstance(m, Parts):
            if sender == self.credit_server:
                self.parts(now, m)
        else:
            self.receive_lease_message(now, sender, m)

    # As one that asks

    def report(self, now: float) -> None:
        """Tell the warden what is asked for here."""
        span = max(1.0, now - self.reported_at) / 1000.0
        self.reported_at = now
        self.report_at = now + REPORT + REPORT_EACH * (len(self.reachable) + 1)
        for key in {*self.rates, *(key for key, _ in self.asked.most_common(MOST_RATES))}:
            rate = SMOOTH * self.asked[key] / span + (1 - SMOOTH) * self.rates.get(key, 0.0)
            self.rates[key] = rate
            if rate < LEAST_RATE:
                del self.rates[key]
        self.asked.clear()
        for key in [k for k, (_, until) in self.grants.items() if now >= until + FALL * GRANT]:
            del self.grants[key]
        if not self.credit_server:
            return
        self.number += 1
        self.sent[self.number] = now
        while len(self.sent) > 32:
            del self.sent[next(iter(self.sent))]
        top = sorted(self.rates.items(), key=lambda item: -item[1])[:MOST_KEYS]
        asked = Report(self.term, self.number, self.applied, self.base, [(k, round(r, 2)) for k, r in top])
        if self.credit_server == self.name:
            self.parts(now, self.answer(now, self.name, asked))
        else:
            self.outgoing.append((self.credit_server, asked))

    def parts(self, now: float, m: Parts) -> None:
        at = self.sent.pop(m.number, None)
        if at is None or m.term != self.term or m.serial <= self.applied or at < self.applied_at:
            return  # not to a question of ours, or to an earlier one than the last that was answered
        self.applied, self.applied_at, self.base = m.serial, at, m.base
        for key, part in m.parts:
            self.grants[key] = part, at + GRANT

    # As the warden

    def member(self, name: str) -> Member:
        found = self.members.get(name)
        if found is None:
            if len(self.members) >= MOST_PROXIES:
                del self.members[min(self.members, key=lambda n: self.members[n].heard_at)]
            found = self.members[name] = Member()
            found.said.append(Said(0, max(self.first_base, 1.0 / len(self.members)), -inf))
        return found

    def reserve(self, member: Member, key: str, now: float) -> float:
        """The most that a proxy may be using, until what is handed out now is over."""
        base = max(said.base for said in member.said)
        held = member.issued.get(key, [])
        if all(i.end <= now for i in held):
            member.issued.pop(key, None)
            return base
        most = max(i.part if i.end > now else min(i.part, base) for i in held)
        # back to its own part, if it hears no more
        falls = held[0].asked + (1.0 + FALL) * GRANT / MAX_CLOCK_RATE_RATIO
        return max(most, base) if now >= falls - GRANT * MAX_CLOCK_RATE_RATIO else most

    def heard(self, member: Member, m: Report) -> float:
        """It has applied a word: what it was told before counts no longer. When that word was said."""
        applied = next((said for said in member.said if said.serial == m.applied), None)
        if applied is None:
            member.said[0].base = max(member.said[0].base, m.base)
            return -inf
        member.said = [said for said in member.said if said.serial >= m.applied]
        for key, held in member.issued.items():
            if any(i.serial == m.applied for i in held):
                member.issued[key] = [i for i in held if i.serial >= m.applied]
        return applied.at

    def reckon(self, now: float) -> None:
        """Who should have how much of each limit."""
        self.table_at = now + TABLE
        every = REPORT + REPORT_EACH * (len(self.reachable) + 1)
        for name in {*self.reachable, self.name}:
            self.member(name)
        for name, m in list(self.members.items()):
            if name not in self.reachable and name != self.name and now - m.heard_at > FORGET:
                del self.members[name]
        asked = {key for m in self.members.values() for key in m.asks}
        for m in self.members.values():  # of keys that nobody asks for any more, nothing is kept
            for key in [k for k in m.issued if k not in asked]:
                self.reserve(m, key, now)
        self.targets = {key: self.target(now, key, every) for key in sorted(asked)[: 20 * MOST_KEYS]}
        self.counted = {
            key: {name: self.reserve(m, key, now) for name, m in self.members.items()} for key in self.targets
        }
        self.totals = {key: sum(parts.values()) for key, parts in self.counted.items()}

    def target(self, now: float, key: str, every: float) -> dict[str, float]:
        near = {n: m for n, m in self.members.items() if now - m.heard_at <= SILENT * every + 200.0}
        if not near:
            return {}
        there = max(
            0.0, 1.0 - sum(self.reserve(m, key, now) for n, m in self.members.items() if n not in near)
        )
        floor = FLOOR * there / len(near)
        rate = max(self.rate_of(key), 1e-9)
        wants = {n: max(0.0, MORE * m.asks.get(key, 0.0) / rate) for n, m in near.items()}
        found, left = dict.fromkeys(near, floor), there * (1.0 - FLOOR)
        total = sum(wants.values())
        if total <= 0.0:
            return dict.fromkeys(near, there / len(near))
        if total <= left:
            for n, want in wants.items():
                found[n] += want * left / total
            return found
        open_ = sorted(n for n, want in wants.items() if want > 0.0)
        while open_:  # each gets what it wants, or as much as anybody
            fair = left / len(open_)
            sated = [n for n in open_ if wants[n] <= fair]
            for n in sated or open_:
                got = min(wants[n], fair)
                found[n] += got
                left -= got
            open_ = [n for n in open_ if n not in sated] if sated else []
        return found

    def answer(self, now: float, sender: str, m: Report) -> Parts:
        """Hand out what is free. What one is to have less counts as given up only once it has heard."""
        if now >= self.table_at:
            self.reckon(now)
        member = self.member(sender)
        member.heard_at, member.asks = now, dict(m.asks)
        asked = self.heard(member, m)
        base = 1.0 / max(1, len(self.members))
        self.serial += 1
        found: list[tuple[str, float]] = []
        if now >= self.grants_from:
            for key, targets in self.targets.items():
                before = self.reserve(member, key, now)
                others = self.totals[key] - self.counted[key].get(sender, 0.0)
                part = min(targets.get(sender, base), max(0.0, 1.0 - others))
                found.append((key, part))
                unheard = Issued(0, before, inf, -inf)  # what it has until it applies another
                issued = member.issued.setdefault(key, [unheard])
                issued.append(Issued(self.serial, part, now + GRANT * MAX_CLOCK_RATE_RATIO, asked))
                if len(issued) > MOST_SAID:  # it hears nothing
                    one, other = issued[:2]
                    one.part, one.end = max(one.part, other.part), max(one.end, other.end)
                    del issued[1]
                self.counted[key][sender] = max(before, part)
                self.totals[key] = others + max(before, part)
        member.said.append(Said(self.serial, base, now))
        if len(member.said) > MOST_SAID:
            oldest, then = member.said[:2]
            member.said[:2] = [Said(then.serial, max(oldest.base, then.base), then.at)]
        return Parts(self.term, m.number, self.serial, base, found)


class SharedRateLimiter(RateLimiter):
    """Rate limits of tenants that count over all proxies."""

    def __init__(self, settings: RateLimiterSettings) -> None:
        super().__init__(settings)
        self.shares: Shares | None = None
        self.parts: dict[str, float] = {}

    def ask(self, key: str, now: float) -> float:
        key = key[:LONGEST_KEY]
        shares, bucket = self.shares, self.buckets.get(key)
        if shares is not None and not self.settings.by_address:
            shares.asked[key] += 1
            part = shares.part(key, now)
            if bucket is None or self.parts.get(key) != part:
                whole = self.limit(key)
                limit = Limit(whole.rate * part, max(1.0, whole.burst * part))
                self.parts[key] = part
                if bucket is None:
                    if len(self.buckets) >= self.settings.table:
                        self.parts.pop(self.buckets.popitem(last=False)[0], None)
                    self.buckets[key] = Bucket(limit, now)
                else:
                    bucket.refill(now)
                    bucket.limit, bucket.level = limit, min(bucket.level, limit.burst)
        return super().ask(key, now)
