"""One copy of the replicated state among others: who tells whom what, catch-up, acknowledged writes, audits.

A machine without I/O. It must never call a write acknowledged that a majority of the keepers has not on disk,
never say that it has caught up while something acknowledged before it asked may be missing, and never merge
in silence what differs and must not. The state itself is `version_vectors`; why it is so:
docs/design/replica.md.

| stage | what it does | leaves it |
| --- | --- | --- |
| BEHIND | asks all keepers, takes what it lacks | it covers a majority of whole copies: CAUGHT_UP |
| CAUGHT_UP | tells, takes, writes as a keeper | it stood still, or its store is an old one: BEHIND |
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from random import Random
from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.version_vectors import (
    MOST_REMOVED,
    RANGES,
    Dot,
    Entry,
    Number,
    State,
    Taken,
    Vector,
    join,
    range_of,
    within,
)

TELL = 500.0  # milliseconds between two tellings of how far one is
TELL_BEHIND = 50.0  # and while it is not caught up or has a write on its way
FAN = 3  # others that are told at a time, beside those that are waited for
MOST_ALL = 10  # a group so large is told whole
ANSWER = 100.0  # between two answers to one that is behind
PATIENCE = 2000.0  # until a pull that gives nothing is begun elsewhere
PUSH = 300.0  # between two pushes of the same write to a keeper
WRITTEN = 5000.0  # until what became of a write is unknown
AUDIT = 2000.0  # between two audits
TIDY = 5000.0
FULL = 30_000.0  # after which one without room for all there is tries again
PAUSE = 2000.0  # between two looks at the clock, after which this process stood still
MOST_PART, PART_BYTES, LOOKS = 200, 32 * 1024, 5000  # of one part
LEAST_PART = 512  # bytes, to one that reads slowly; each entry is whole
QUICK = PATIENCE / 8  # a part that comes so soon may be followed by a greater one
MOST_RANGE, MOST_IN_RANGE = 512 * 1024, 4096  # bytes and entries of a range that is told whole
SLICE = 2000  # keys looked at in one go after a whole copy has come
MOST_MESSAGES = 2000  # that wait to be sent
MOST_WRITES = 64  # on their way
MOST_OTHERS = 1024

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Run = Annotated[int, Meta(ge=0, lt=2**62)]
Entries = Annotated[list[Entry], Meta(max_length=1024)]
Prints = Annotated[list[Annotated[int, Meta(ge=0)]], Meta(max_length=RANGES)]


class Tell(Struct, array_like=True, frozen=True, tag=1):
    """How far one is. `echo` repeats what whoever is told last said of itself: so it is an answer."""

    run: Run  # of the process
    asks: Number  # how often it began to catch up
    starts: Number  # of its store; 0 where it keeps none
    echo: tuple[Run, Number]
    met: tuple[Number, Run]  # greatest start of whoever is told that is known, and which run that was
    whole: bool  # it holds all that was acknowledged to anybody through it
    vector: Vector
    pruned: Vector
    print: Annotated[int, Meta(ge=0)]
    settled: bool


class Pull(Struct, array_like=True, frozen=True, tag=2):
    """Tell me what this vector does not cover, of your changes after one; all there is where `whole`."""

    token: Run
    vector: Vector
    after: Number
    whole: bool
    most: Annotated[int, Meta(ge=LEAST_PART, le=PART_BYTES)] = PART_BYTES  # bytes of a part, but one entry


class Part(Struct, array_like=True, frozen=True, tag=3):
    """Some of it; the last part carries how far who tells is. Token 0: a write as it was made."""

    token: Run
    entries: Entries
    after: Number
    last: bool
    vector: Vector
    pruned: Vector


class AskPrints(Struct, array_like=True, frozen=True, tag=4):
    token: Run


class TellPrints(Struct, array_like=True, frozen=True, tag=5):
    token: Run
    vector: Vector
    settled: bool
    prints: Prints


class AskRange(Struct, array_like=True, frozen=True, tag=6):
    token: Run
    number: Annotated[int, Meta(ge=0, lt=RANGES)]


class TellRange(Struct, array_like=True, frozen=True, tag=7):
    token: Run
    number: Annotated[int, Meta(ge=0, lt=RANGES)]
    vector: Vector
    print: Annotated[int, Meta(ge=0)]
    entries: Annotated[list[Entry], Meta(max_length=MOST_IN_RANGE)]


Message = Tell | Pull | Part | AskPrints | TellPrints | AskRange | TellRange


class Stage(Enum):
    BEHIND = "behind"
    CAUGHT_UP = "caught up"


@dataclass
class Kept:
    """What a keeper's disk holds."""

    origin: str = ""
    whole: bool = False
    entries: list[Entry] = field(default_factory=list)
    vector: Vector = field(default_factory=dict)
    pruned: Vector = field(default_factory=dict)
    starts: int = 0  # how often the store was opened
    met: dict[str, tuple[int, int]] = field(default_factory=dict)  # by keeper: its greatest start, which run


@dataclass(slots=True)
class Ready:
    """What is to be done: store the keys and facts, then send, then tell who waits."""

    changed: list[str] = field(default_factory=list)  # keys, for who acts upon them
    keys: dict[str, list[Entry]] = field(default_factory=dict)
    facts: Kept | None = None  # without the entries
    messages: list[tuple[str, Message]] = field(default_factory=list)
    done: list[tuple[int, bool]] = field(default_factory=list)  # writes: acknowledged, or unknown


@dataclass(slots=True)
class Other:
    """What is known of another copy."""

    run: int = 0
    asks: int = 0
    vector: Vector = field(default_factory=dict)
    pruned: Vector = field(default_factory=dict)
    whole: bool = False
    answers: bool = False  # it has heard of this run of ours
    heard_at: float = -inf
    told_at: float = -inf
    pushed_at: float = -inf
    most: int = PART_BYTES  # of a part that is asked for
    after: int = 0  # its changes that have come
    after_run: int = 0


@dataclass(slots=True)
class Pulling:
    """What is being taken from another."""

    source: str
    token: int
    whole: bool
    at: float  # when the last of it came
    seen: set[Dot] = field(default_factory=set)
    room: bool = True


@dataclass(slots=True)
class Leftover:
    """What is to be gone through once a whole copy has come."""

    keys: list[str]
    seen: set[Dot]
    vector: Vector
    place: int = 0


@dataclass(slots=True)
class Write:
    """A write that waits for a majority of keepers."""

    token: int
    entry: Entry
    began: float


@dataclass(slots=True)
class Audit:
    """Keepers' prints, while it is found out where copies of one vector differ."""

    token: int
    began: float
    told: dict[str, TellPrints] = field(default_factory=dict)
    wanted: dict[int, int] = field(default_factory=dict)  # by range: its print at a majority


class Replica:
    """One copy. Times are milliseconds on its own monotonic clock."""

    def __init__(
        self,
        name: str,
        keepers: list[str],
        rng: Random,
        now: float,
        kept: Kept | None = None,
        room: int | None = None,
    ) -> None:
        self.name, self.keepers, self.rng = name, keepers, rng
        self.keeps = name in keepers
        self.state = State(room) if room else State()
        self.most_removed = MOST_REMOVED
        self.run = rng.getrandbits(62) | 1
        self.origin, self.whole, self.asks = "", False, 1
        self.starts, self.met = 0, dict[str, tuple[int, int]]()
        self.facts_changed = self.keeps
        if kept is not None:
            self.origin, self.whole = kept.origin, kept.whole
            self.starts, self.met = kept.starts + 1, dict(kept.met)
            self.state.load(kept.entries, kept.vector, kept.pruned)
        if self.keeps and not self.origin:
            self.new_origin()
        self.stage = Stage.BEHIND
        self.covered: set[str] = set()  # whole keepers of whom it has all, since it asked
        self.others: dict[str, Other] = {}
        self.reach: list[str] = []  # names that may be told; whoever drives the machine keeps it up
        self.pulling: Pulling | None = None
        self.leftover: Leftover | None = None  # of a whole copy, to be gone through
        self.urgent: list[tuple[str, Message]] = []  # questions: they rest on nothing that has to be stored
        self.writes: dict[int, Write] = {}
        self.audit: Audit | None = None
        self.audited_at = -inf
        self.differs = False  # copies of one vector differ, and no majority has said yet which is right
        self.aside: list[Entry] = []  # what was replaced lately; whoever drives logs it
        self.ready = Ready()
        self.tell_at = self.tidy_at = now
        self.last, self.rest_until = now, -inf
        self.counts: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """What was left out for lack of room: messages, others that are known, ranges too large to tell."""
        return sum(self.counts[what] for what in ("messages", "others", "ranges"))

    def new_origin(self) -> None:
        self.origin = f"{self.name}~{self.rng.getrandbits(40):010x}"
        self.facts_changed = True

    def store_is_old(self, starts: int) -> None:
        """Others know of a later start, or of writes that its disk has lost: it counts as an empty one."""
        self.counts["store_old"] += 1
        self.starts = starts + 1
        self.new_origin()
        self.whole = False
        self.behind()

    @property
    def majority(self) -> int:
        return len(self.keepers) // 2 + 1

    def other(self, name: str) -> Other:
        found = self.others.get(name)
        if found is None:
            if len(self.others) >= MOST_OTHERS:
                del self.others[min(self.others, key=lambda n: self.others[n].heard_at)]
                self.counts["others"] += 1
            found = self.others[name] = Other()
        return found

    # Time

    def next(self) -> float:
        ends = [self.tell_at, self.tidy_at]
        if self.leftover is not None:
            ends.append(self.last)
        return min(ends)

    def tick(self, now: float) -> None:
        self.look(now)
        if self.stage is Stage.BEHIND and self.keepers == [self.name]:
            self.caught_up()  # the only one there is has nobody to ask
        if self.leftover is not None:
            self.go_through()
        if self.pulling is not None and now - self.pulling.at > PATIENCE:
            self.counts["pulls_given_up"] += 1
            slow = self.other(self.pulling.source)
            slow.most = max(LEAST_PART, slow.most // 4)
            self.pulling = None
        for write in [w for w in self.writes.values() if now - w.began > WRITTEN]:
            del self.writes[write.token]
            self.ready.done.append((write.token, False))
        if now >= self.tell_at:
            self.tell_some(now)
        if now >= self.tidy_at:
            self.tidy_at = now + TIDY
            self.tidy(now)

    def look(self, now: float) -> None:
        if now - self.last > PAUSE:  # it stood still: what it holds may be old by now
            self.counts["slept"] += 1
            self.behind()
            self.pulling = None
            self.tell_at = now
        self.last = now

    def behind(self) -> None:
        """Ask anew: nothing that was heard before counts."""
        self.stage = Stage.BEHIND
        self.covered.clear()
        self.asks += 1
        for other in self.others.values():
            other.answers = False

    def tell_some(self, now: float) -> None:
        busy = self.stage is Stage.BEHIND or bool(self.writes)
        self.tell_at = now + (TELL_BEHIND if busy else TELL)
        to = set(self.reach)
        if len(to) > MOST_ALL:
            to = set(self.rng.sample(sorted(to), FAN))
        if busy:
            to.update(k for k in self.keepers if k != self.name and k in self.reach)
        for name in sorted(to):
            self.tell(now, name)
        for write in self.writes.values():
            for name in self.lacking(write):
                other = self.other(name)
                if now - other.pushed_at >= PUSH:
                    other.pushed_at = now
                    self.send(name, Part(0, [write.entry], 0, False, {}, {}))

    def tell(self, now: float, name: str) -> None:
        other, state = self.other(name), self.state
        other.told_at = now
        echo, met = (other.run, other.asks), self.met.get(name, (0, 0))
        told = Tell(
            self.run,
            self.asks,
            self.starts,
            echo,
            met,
            self.whole,
            dict(state.vector),
            dict(state.pruned),
            state.print,
            state.settled(),
        )
        self.send(name, told)

    def tidy(self, now: float) -> None:
        """Forget removals that all who were heard lately have."""
        if not self.state.emptied or self.stage is Stage.BEHIND:
            return
        stable = dict(self.state.vector)
        lately = [o for n, o in self.others.items() if n in self.reach or n in self.keepers]
        for other in lately:
            stable = {o: min(n, other.vector.get(o, 0)) for o, n in stable.items()}
        self.state.prune(stable if lately else {}, self.most_removed)
        self.facts_changed = True

    def go_through(self) -> None:
        """A whole copy has come: drop what it did not hold, some at a time."""
        rest = self.leftover
        assert rest is not None
        part = rest.keys[rest.place : rest.place + SLICE]
        rest.place += SLICE
        self.counts["dropped"] += self.state.only(part, rest.seen, rest.vector)
        if rest.place >= len(rest.keys):
            self.leftover = None
            self.state.heard(rest.vector)
            self.facts_changed = True

    # Writes

    def may_write(self) -> str:
        """Why nothing may be written here now; empty where it may."""
        if not self.keeps:
            return f"keeps nothing: ask one of {' '.join(self.keepers)}"
        if self.stage is Stage.BEHIND:
            return "has not caught up with a majority of the keepers"
        if len(self.writes) >= MOST_WRITES:
            return "too many writes are on their way"
        return ""

    def write(self, now: float, token: int, key: str, value: bytes | None) -> bool:
        """Write; `Ready.done` says what became of it. False where there is nothing to do, or no room."""
        entry = self.state.write(self.origin, key, value)
        if entry is None:
            return False
        self.facts_changed = True
        self.writes[token] = Write(token, entry, now)
        for name in self.reach:
            self.other(name).pushed_at = now
            self.send(name, Part(0, [entry], 0, False, {}, {}))
        self.tell_at = min(self.tell_at, now + TELL_BEHIND)
        self.count_writes()
        return True

    def lacking(self, write: Write) -> list[str]:
        """Keepers that have not said that they hold it."""
        dot = {write.entry.origin: write.entry.number}
        return [k for k in self.keepers if k != self.name and not within(dot, self.other(k).vector)]

    def count_writes(self) -> None:
        for write in list(self.writes.values()):
            if len(self.keepers) - len(self.lacking(write)) >= self.majority:
                del self.writes[write.token]
                self.ready.done.append((write.token, True))

    # Messages

    def send(self, to: str, message: Message) -> None:
        self.ready.messages.append((to, message))
        if len(self.ready.messages) > MOST_MESSAGES:  # the disk is slow: who wants to know asks again
            del self.ready.messages[: MOST_MESSAGES // 2]
            self.counts["messages"] += MOST_MESSAGES // 2

    def receive(self, now: float, sender: str, m: Message) -> None:
        """Take a message from another process, which is who it says."""
        self.look(now)
        if isinstance(m, Tell):
            self.told(now, sender, m)
        elif isinstance(m, Pull):
            self.pulled(sender, m)
        elif isinstance(m, Part):
            self.part(now, sender, m)
        elif isinstance(m, AskPrints):
            state = self.state
            if self.whole:
                answer = TellPrints(m.token, dict(state.vector), state.settled(), list(state.prints))
                self.send(sender, answer)
        elif isinstance(m, TellPrints):
            self.prints(now, sender, m)
        elif isinstance(m, AskRange):
            state = self.state
            entries = [e for key in state.ranges[m.number] for e in state.slots[key]]
            if len(entries) > MOST_IN_RANGE or sum(e.size for e in entries) > MOST_RANGE:
                self.counts["ranges"] += 1  # it stays as it is there, and is said to differ
            else:
                told = TellRange(m.token, m.number, dict(state.vector), state.prints[m.number], entries)
                self.send(sender, told)
        else:
            self.range(m)

    def told(self, now: float, sender: str, m: Tell) -> None:
        other, mine = self.other(sender), self.state
        if other.run != m.run:
            other.run, other.answers = m.run, False
        other.asks = m.asks
        if sender in self.keepers and m.starts > self.met.get(sender, (0, 0))[0]:
            self.met[sender] = m.starts, m.run
            self.facts_changed = True
        other.heard_at, other.vector, other.pruned, other.whole = now, dict(m.vector), dict(m.pruned), m.whole
        other.answers = other.answers or m.echo == (self.run, self.asks)
        known = m.met[0] > self.starts or (m.met[0] == self.starts and m.met[1] not in (0, self.run))
        if self.keeps and (known or m.vector.get(self.origin, 0) > mine.vector.get(self.origin, 0)):
            self.store_is_old(max(m.met[0], self.starts))
        if within(m.vector, mine.vector):
            self.follow(sender)
            same = within(mine.vector, m.vector)
            if not same and now - other.told_at >= ANSWER:
                self.tell(now, sender)
            elif same and m.settled and mine.settled() and self.leftover is None:
                if m.print == mine.print:
                    self.differs = self.differs and sender not in self.keepers
                else:
                    self.look_into(now)
            if m.echo != (self.run, self.asks) and now - other.told_at >= ANSWER:
                self.tell(now, sender)  # so that it hears that we have heard of its run
        elif self.pulling is None and self.leftover is None and now >= self.rest_until:
            self.pull(now, sender)
        self.count_writes()

    def follow(self, name: str) -> None:
        """All that one has is held: whether that makes this copy one that has caught up."""
        other = self.other(name)
        if self.stage is Stage.CAUGHT_UP or name not in self.keepers or not other.answers:
            return
        self.covered.add(name)
        whole = sum(self.others[n].whole for n in self.covered) + (self.keeps and self.whole)
        if whole >= self.majority or len(self.covered) + self.keeps == len(self.keepers):
            self.caught_up()  # from a majority, or from all there are where the group begins

    def caught_up(self) -> None:
        self.stage = Stage.CAUGHT_UP
        if self.keeps and not self.whole:
            self.whole, self.facts_changed = True, True

    # What one lacks

    def pull(self, now: float, name: str) -> None:
        other = self.other(name)
        whole = not within(other.pruned, self.state.vector)
        if whole or other.after_run != other.run:
            other.after, other.after_run = 0, other.run
        self.pulling = Pulling(name, self.rng.getrandbits(62) | 1, whole, now)
        self.counts["whole_copies"] += whole
        self.ask_on()

    def ask_on(self) -> None:
        p = self.pulling
        assert p is not None
        vector = {} if p.whole else dict(self.state.vector)
        source = self.other(p.source)
        self.urgent.append((p.source, Pull(p.token, vector, source.after, p.whole, source.most)))

    def pulled(self, sender: str, m: Pull) -> None:
        vector = {} if m.whole else m.vector
        entries, after, last = self.state.since(vector, m.after, MOST_PART, m.most, LOOKS)
        mine = (dict(self.state.vector), dict(self.state.pruned)) if last else ({}, {})
        self.send(sender, Part(m.token, entries, after, last, *mine))

    def part(self, now: float, sender: str, m: Part) -> None:
        p = self.pulling
        if m.token and (p is None or p.token != m.token or p.source != sender):
            self.counts["late_parts"] += 1
            for entry in m.entries:  # true all the same: a slow link must not carry them in vain
                self.merge(now, entry)
            return
        for entry in m.entries:
            self.merge(now, entry)
        if not m.token:
            self.facts_changed = True
            self.tell(now, sender)  # that it is held; sent once it is on disk
            return
        assert p is not None
        source = self.other(sender)
        if now - p.at < QUICK:
            source.most = min(PART_BYTES, 2 * source.most)
        p.at, source.after = now, m.after
        if p.whole:
            p.seen.update(e.dot for e in m.entries)
        if not m.last:
            self.ask_on()
            return
        self.pulling = None
        self.facts_changed = True
        if not p.room:  # not all of it could be kept: it must not be said that it is
            self.counts["behind_for_room"] += 1
            self.rest_until = now + FULL
            self.other(sender).after = 0
        elif p.whole:
            self.leftover = Leftover(list(self.state.slots), p.seen, m.vector)
            join(self.state.pruned, m.pruned)
        elif within(m.pruned, self.state.vector):
            self.state.heard(m.vector)
        else:  # it has forgotten removals meanwhile
            self.pull(now, sender)

    def merge(self, now: float, entry: Entry) -> None:
        what = self.state.take(entry)
        self.counts[f"entries_{what.value}"] += 1
        if what is Taken.DIFFERS:
            self.look_into(now)
        elif what is Taken.ROOM and self.pulling is not None:
            self.pulling.room = False

    # Where copies differ that must not

    def look_into(self, now: float) -> None:
        """Two copies of one vector differ: ask all keepers for prints by range."""
        self.differs = True
        if now - self.audited_at < AUDIT or self.stage is Stage.BEHIND:
            return
        self.audited_at = now
        self.counts["audits"] += 1
        self.audit = Audit(self.rng.getrandbits(62) | 1, now)
        for name in self.keepers:
            if name != self.name and name in self.reach:
                self.urgent.append((name, AskPrints(self.audit.token)))

    def prints(self, now: float, sender: str, m: TellPrints) -> None:
        audit, state = self.audit, self.state
        if audit is None or audit.token != m.token or sender not in self.keepers or audit.wanted:
            return
        if m.vector != state.vector or not m.settled or not state.settled() or len(m.prints) != RANGES:
            return
        audit.told[sender] = m
        words = list(audit.told.values())
        for number in range(RANGES):
            said = Counter(w.prints[number] for w in words)
            if self.keeps:
                said[state.prints[number]] += 1
            value, votes = said.most_common(1)[0]
            if votes >= self.majority and value != state.prints[number]:
                audit.wanted[number] = value
                holder = next(n for n, w in audit.told.items() if w.prints[number] == value)
                self.urgent.append((holder, AskRange(audit.token, number)))

    def range(self, m: TellRange) -> None:
        audit, state = self.audit, self.state
        if audit is None or audit.token != m.token or m.number not in audit.wanted:
            return
        if m.print != audit.wanted[m.number] or m.vector != state.vector:
            return
        found = State(self.state.room)
        found.load(m.entries, {}, {})
        if found.prints[m.number] != m.print or any(range_of(e.key) != m.number for e in m.entries):
            return
        aside = state.replace(m.number, m.entries)
        self.aside += aside[: 64 - len(self.aside)]
        self.counts["set_aside"] += len(aside)
        self.facts_changed = True

    # What is to be done

    def take(self) -> Ready | None:
        """What is to be stored, sent and told, in that order; None where there is nothing."""
        ready, state = self.ready, self.state
        ready.changed, state.changed = list(state.changed), {}
        if self.keeps:
            for key in ready.changed:
                ready.keys[key] = list(state.slots.get(key, ()))
            if self.facts_changed or ready.keys:
                vectors = dict(state.vector), dict(state.pruned)
                ready.facts = Kept(self.origin, self.whole, [], *vectors, self.starts, dict(self.met))
        if not (ready.changed or ready.facts or ready.messages or ready.done):
            return None
        self.facts_changed = False
        self.ready = Ready()
        return ready
