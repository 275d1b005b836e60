"""How a group agrees on its views: a state machine told of answers, silences and messages, and the time.

It must never let a view come about that a majority of the one before has not accepted, and never say that
it is in touch while it is not. One instance of Paxos (Lamport, "The Part-Time Parliament", 1998) decides each
number; the members of a view are its acceptors, so that a restarted process, a later life, is none.
The table of stages and the reasons for the constants are in `docs/design/membership.md`.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from math import ceil, inf
from random import Random
from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.views import (
    ALIVE,
    DEAD,
    HIGH,
    LEFT,
    MOST_MEMBERS,
    SUSPECT,
    Address,
    Belongs,
    Change,
    Known,
    Name,
    Number,
    Report,
    Stamp,
    View,
    settle,
    tries,
)

# All spans are parts of the period.
STEP = 0.3  # between two looks while there is something to do
QUIET = 1.0  # and while there is nothing
FRESH = 1.6  # a report counts so long: five looks
REST = 5.0  # between two pings on a link that is known to be down
RANK = 1.5  # for each that stands before me in the order of names, I wait so long
DOUBTED = 0.7  # a suspicion is waited on so long before members are asked: most are refuted
PATIENCE = 8.0  # reports that stand between the thresholds are waited for so long
POLLED = 1.5  # one that was asked by another leaves it to that one so long
GIVEN_UP = 4.0  # an acceptance that finds no majority
BACKED_OFF = 1.0, 3.0  # after a higher round was seen; drawn by chance between them
PROVING = 4.0  # one that was taken out has to answer so long
LATELY = 3.0  # an answer tells of a newcomer so long
FOUND, FOUND_LATE = 2.0, 8.0  # without word of a group; late for who is no seed
ASIDE = 30.0  # one that was taken out gives nobody its vote so long
VOTED = 10.0  # a seed's vote holds
SOUNDED = 3.0  # until a majority must have answered, and one more for each MANY members
MANY = 50
TOUCH = 5.0  # an answer shows that one is in touch so long, and one more for each MANY members
YIELDING = 3.0  # in touch with a greater group until one yields
RETOLD, RETOLD_MOST = 0.3, 2.4  # between two tellings of views to one that is behind; twice as long each time
FLAP = 60.0  # one that is back sooner has flapped
FORGOTTEN = 300.0  # who was taken out is remembered so long

SHAKY = 3  # pings in a row without an answer, and a newcomer has to begin its proof anew
CUT_LONG = 10.0  # periods, after which one that is cut off asks less at once
DOUBTS, LAST = 2, 4  # own probes without an answer, of the last so many
PINGS = 16  # in one look, so that a pause ends without a burst
NEAR = 2  # so many in the order of names get to know newcomers by pinging them
ASKED = 12  # newcomers asked about at once
REPORTED = 64  # members named in one report: what fits a datagram
ROOM = 900  # bytes of a change or of a page
MOST_LOG = 64  # changes kept for who is behind; who lacks more gets pages
MOST_VIEWS = 8
MOST_OUT = 512  # messages waiting to be sent
SAID = 8  # changes sent to one that is behind, at once

Index = Annotated[int, Meta(ge=0, lt=MOST_MEMBERS)]


class Poll(Struct, array_like=True, frozen=True, tag=1):
    """Promise to take part in nothing lower, and say what you see; with group 0, vote for who founds."""

    round: Number
    ask: Annotated[list[Name], Meta(max_length=64)] = []  # newcomers that have to be tried


class Say(Struct, array_like=True, frozen=True, tag=2):
    round: Number
    granted: bool
    highest: Number  # round that was promised
    accepted: tuple[Number, Name, Change] | None = None
    down: Annotated[list[Index], Meta(max_length=REPORTED)] = []
    doubtful: Annotated[list[Index], Meta(max_length=REPORTED)] = []
    reached: Annotated[list[Name], Meta(max_length=64)] = []


class Accept(Struct, array_like=True, frozen=True, tag=3):
    round: Number
    change: Change


class Took(Struct, array_like=True, frozen=True, tag=4):
    round: Number
    granted: bool
    highest: Number


class Told(Struct, array_like=True, frozen=True, tag=5):
    """A change that was decided: it makes this number of the sender's group."""

    group: Number
    number: Number
    change: Change


class Page(Struct, array_like=True, frozen=True, tag=6):
    """Part of a whole view."""

    group: Number
    number: Number
    size: Number
    members: Annotated[list[Belongs], Meta(max_length=MOST_MEMBERS)]
    gone: Annotated[list[tuple[Name, Number]], Meta(max_length=64)] = []  # lives that were taken out lately


class Want(Struct, array_like=True, frozen=True, tag=7):
    """Tell me of your view."""


class Over(Struct, array_like=True, frozen=True, tag=8):
    """This life of yours is over, or one that counts as later than yours: go on as a later one.

    It may never have heard that it belonged.
    """

    life: Number


Body = Poll | Say | Accept | Took | Told | Page | Want | Over
Ballot = tuple[int, str]
NO_BALLOT: Ballot = (0, "")


class Stage(Enum):
    IDLE = "idle"
    POLLING = "polling"
    ACCEPTING = "accepting"


@dataclass(slots=True)
class Link:
    """What pings between this process and another have shown. Times are on this one's clock."""

    missed: int = 0  # pings in a row without an answer
    answered_at: float = -inf
    up_since: float = inf  # first of the answers in a row
    heard_at: float = -inf
    pinged_at: float = -inf
    wanted_at: float = -inf
    told_at: float = -inf
    told_wait: float = 0.0
    told_for: tuple[int, int] = (0, 0)  # which view it held then


@dataclass(slots=True)
class Turn:
    """What this process does as one that proposes."""

    stage: Stage = Stage.IDLE
    ballot: Ballot = NO_BALLOT
    change: Change | None = None
    began: float = -inf
    rest_until: float = -inf
    heard_at: float = -inf  # a majority, last


class Assembly:
    """One process's part. `out` is to be sent, `pings` to be pinged, `turned` are changes to be looked at."""

    def __init__(
        self,
        name: str,
        life: int,
        address: Address,
        seeds: Collection[Address],
        known: Mapping[str, Known],
        period: float,
        rng: Random,
        now: float,
    ) -> None:
        self.name, self.life, self.address, self.known = name, life, address, known
        self.period, self.rng = period, rng
        self.founder = not seeds or address in seeds
        self.seats = {*seeds} if self.founder and seeds else {*seeds, address}
        self.view: View | None = None
        self.cut_off = True
        self.links: dict[str, Link] = {}
        self.out: list[tuple[Address, Body]] = []
        self.pings: list[str] = []
        self.turned: list[tuple[int, View | None, View | None]] = []  # life, before, after
        self.counts: Counter[str] = Counter()
        self.flaps = 0
        self.removed: dict[str, tuple[float, int]] = {}  # who was taken out: when, and which life
        self.history: dict[int, View] = {}
        self.log: dict[int, Change] = {}
        self.stamps: dict[str, tuple[Stamp, int]] = {}  # what each said last, and in which life
        self.asked: dict[str, float] = {}  # newcomers whom others want tried, until when
        self.pages: dict[str, Belongs] = {}
        self.paged: tuple[int, int, int] = (0, 0, 0)
        self.next_look, self.began = now, now
        self.group_heard, self.barred = -inf, -inf
        self.polled_at = -inf
        self.results, self.sounding = 0, now  # inf while there is no doubt of oneself
        self.anew()

    def anew(self) -> None:
        """Forget what belonged to one number."""
        self.promised: Ballot = NO_BALLOT
        self.accepted: tuple[Ballot, Change] | None = None
        self.says: dict[Address, tuple[float, str, Say]] = {}
        self.took: set[str] = set()
        self.turn = Turn()
        self.need_since: float | None = None
        self.unsettled: float | None = None  # since when reports stand between the thresholds
        self.voted: tuple[str, float] = ("", -inf)

    # What others may rely on

    @property
    def number(self) -> int:
        return self.view.number if self.view is not None else 0

    def stamp(self) -> Stamp:
        v = self.view
        if v is None:
            return Stamp()
        return Stamp(v.group, v.number, len(v.members), self.cut_off)

    def reaches(self, name: str) -> bool:
        """Whether a member is in touch, as far as is known here: both ways, and not under suspicion."""
        if name == self.name:
            return True
        m = self.known.get(name)
        belongs = self.view is not None and name in self.view.by_name
        return belongs and m is not None and m.state == ALIVE and not self.down(name)

    def down(self, name: str) -> bool:
        link = self.links.get(name)
        size = len(self.view.members) if self.view is not None else 0
        return link is not None and link.missed >= tries(size)

    def one_way(self, now: float) -> list[str]:
        """Members that are heard but do not answer."""
        since = now - TOUCH * self.period
        return sorted(n for n, link in self.links.items() if self.down(n) and link.heard_at > since)

    # What happens

    def link(self, name: str) -> Link:
        found = self.links.get(name)
        if found is None:
            found = self.links[name] = Link()
        return found

    def heard(self, now: float, name: str) -> None:
        self.link(name).heard_at = now

    def answered(self, now: float, name: str) -> None:
        """A ping of ours was answered by whom it was for, at its address."""
        link = self.link(name)
        link.up_since = min(link.up_since, now)
        link.missed, link.answered_at, link.heard_at = 0, now, now

    def missed(self, now: float, name: str) -> None:
        """A ping of ours was not."""
        link = self.link(name)
        link.missed += 1
        if link.missed >= SHAKY:
            link.up_since = inf
        self.hasten(now)

    def probed(self, now: float, answered: bool) -> None:
        """Whether one drawn by chance has answered, on any way."""
        self.results = (self.results << 1 | (not answered)) & (1 << LAST) - 1
        if self.results.bit_count() >= DOUBTS and self.sounding == inf:
            self.sounding = now
            self.hasten(now)

    def slept(self, now: float) -> None:
        """This process stood still: it is cut off until it has heard otherwise."""
        self.sounding, self.cut_off = now, True
        self.turn = Turn()
        self.says.clear()
        for link in self.links.values():
            link.missed = 0
        self.hasten(now)

    def hasten(self, now: float) -> None:
        self.next_look = min(self.next_look, now + STEP * self.period)

    def tick(self, now: float) -> None:
        if now < self.next_look:
            return
        self.pings.clear()
        busy = self.look(now)
        self.next_look = now + (STEP if busy else QUIET) * self.period

    def look(self, now: float) -> bool:
        """Do what is due; whether there is more soon."""
        if self.view is None:
            self.found(now)
            return True
        if self.lost(now):
            self.counts["dissolved"] += 1
            self.reborn(now, founds=True)
            return True
        busy = self.sound(now)
        busy |= self.audit(now)
        busy |= self.propose(now)
        return busy

    # Am I in touch?

    def sound(self, now: float) -> bool:
        """Where there is doubt of this process itself: ask the members until a majority has answered."""
        view = self.view
        if view is None or self.sounding == inf:
            return False
        more = len(view.members) / MANY
        since = max(self.sounding, now - (TOUCH + more) * self.period)
        silent = [
            m.name for m in view.members if m.name != self.name and self.link(m.name).answered_at < since
        ]
        if len(view.members) - len(silent) >= view.majority:
            self.sounding, self.cut_off, self.results = inf, False, 0
            return False
        if now - self.sounding >= (SOUNDED + more) * self.period:
            self.cut_off = True
        most = PINGS
        if now - self.sounding > CUT_LONG * self.period:  # no more than shows the end of it within the window
            most = min(PINGS, 2 + ceil(view.majority * STEP / (TOUCH + more)))
        if len(view.members) > 1:
            self.ping(now, self.rng.sample(silent, min(most, len(silent))))
        return True

    def ping(self, now: float, names: Collection[str]) -> None:
        for name in names:
            if len(self.pings) < PINGS and name not in self.pings:
                self.link(name).pinged_at = now
                self.pings.append(name)

    def audit(self, now: float) -> bool:
        """Ping those of whom there is doubt and whom this process watches, or has had no answer from."""
        view, due = self.view, []
        assert view is not None
        watched = set(view.subjects(self.name))
        polled = now - self.polled_at < FRESH * self.period
        for m in view.members:
            known, link = self.known.get(m.name), self.links.get(m.name)
            suspect = known is not None and known.state == SUSPECT
            missed = link is not None and link.missed > 0
            if m.name == self.name or not (missed or (m.name in watched and (suspect or polled))):
                continue
            link = self.link(m.name)
            if not missed and now - link.answered_at < self.period:
                continue
            told = link.missed >= (2 if suspect else 1) * tries(len(view.members))
            rest = REST if told else STEP * 0.9
            if now - link.pinged_at >= rest * self.period:
                due.append(m.name)
        if self.rank() < NEAR:  # one that may propose has to know who is new
            for k in self.known.values():
                strange = k.state == ALIVE and not k.proved and not view.has(k.name, k.epoch)
                if strange and now - self.link(k.name).pinged_at >= self.period:
                    due.append(k.name)
        for name in [n for n, until in self.asked.items() if until < now]:
            del self.asked[name]
        due += [n for n in self.asked if now - self.link(n).answered_at > self.period]
        self.ping(now, due if len(due) <= PINGS else self.rng.sample(due, PINGS))
        return bool(due)

    def report(self, now: float) -> tuple[list[str], list[str], list[str]]:
        """Members that do not answer, those of whom there is doubt, and newcomers that do."""
        view = self.view
        assert view is not None
        down = [n for n in self.links if n in view.by_name and self.down(n)]
        least = tries(len(view.members)) - 1  # under loss one miss or two say nothing
        doubtful = [n for n, k in self.links.items() if k.missed == least and n in view.by_name]
        reached = [n for n in self.asked if self.proves(now, n)]
        return sorted(down), sorted(doubtful), reached

    def proves(self, now: float, name: str) -> bool:
        """Whether one that was taken out has answered for long enough by now."""
        link = self.links.get(name)
        if link is None or link.missed >= SHAKY or now - link.answered_at > LATELY * self.period:
            return False
        return now - link.up_since >= PROVING * self.period

    # What is to be changed

    def ended(self) -> list[str]:
        """Members whose life is over, by their own word or that of a later life of theirs."""
        view, found = self.view, []
        assert view is not None
        for m in view.members:
            k = self.known.get(m.name)
            if k is not None and m.name != self.name:
                if (k.epoch > m.life and k.proved) or (k.epoch == m.life and k.state == LEFT):
                    found.append(m.name)
        return found

    def lost(self, now: float) -> bool:
        """Whether the view can never change again, as far as this process can tell.

        Either so many lives are over; or for long now too few are in touch, while with the later lives of
        others they are a majority of its names: whoever is silent can do nothing without them either.
        """
        view, ended = self.view, self.ended()
        assert view is not None
        if len(view.members) - len(ended) < view.majority:
            return True
        if not ended or self.need_since is None or now - self.need_since < 2 * PATIENCE * self.period:
            return False
        lately = now - TOUCH * self.period
        near = {m.name for m in view.members if self.link(m.name).answered_at >= lately}
        return len(near - set(ended)) + 1 < view.majority <= len(near) + 1

    def newcomers(self, now: float) -> list[Belongs]:
        """Who has proved a life that does not belong yet."""
        view, found = self.view, []
        for k in self.known.values():
            if k.state != ALIVE or not k.proved or (view is not None and view.has(k.name, k.epoch)):
                continue
            if self.outlived(k):
                continue
            stamp = self.stamps.get(k.name)
            if stamp is None or stamp[0].group or stamp[1] != k.epoch:
                continue  # it has a group of its own, or has not learned yet that its life is over
            if k.name in self.removed and k.epoch <= self.removed[k.name][1]:
                continue
            link = self.links.get(k.name)
            if link is not None and link.missed < SHAKY:
                found.append(Belongs(k.name, k.epoch, *k.address))
        return found

    def rank(self) -> int:
        """How many stand before this one who could do it as well."""
        view, before = self.view, 0
        assert view is not None
        for m in view.members:
            if m.name == self.name:
                break
            before += self.reaches(m.name)
        return before

    def propose(self, now: float) -> bool:
        view, turn = self.view, self.turn
        assert view is not None
        late = now - DOUBTED * self.period
        doubted = [
            k.name
            for k in self.known.values()
            if k.state == SUSPECT and k.since <= late and view.has(k.name, k.epoch)
        ]
        newcomers = self.newcomers(now)
        if not (doubted or newcomers or self.ended()):
            self.need_since, self.turn.stage = None, Stage.IDLE
            return False
        if self.need_since is None:
            self.need_since = now
        if turn.stage is Stage.IDLE:
            waited = now - self.need_since >= min(self.rank(), 8) * RANK * self.period
            led = now - self.polled_at < POLLED * self.period  # somebody else is at it
            if waited and not led and now >= turn.rest_until and not self.cut_off:
                self.stand(now)
            return True
        if turn.stage is Stage.ACCEPTING:
            if now - turn.began > GIVEN_UP * self.period:
                self.rest(now)
            else:
                assert turn.change is not None
                self.broadcast(Accept(turn.ballot[0], turn.change), self.took)
            return True
        if self.cut_off or now - max(turn.began, turn.heard_at) > GIVEN_UP * self.period:
            self.rest(now)  # no majority answers
            return True
        long = now - turn.began > 2 * PATIENCE * self.period
        if not long or self.rng.random() < STEP / 2:  # nothing comes of it for long: ask less often
            self.poll(now, newcomers)
        self.weigh(now, newcomers)
        return True

    def stand(self, now: float) -> None:
        """Begin a round of one's own."""
        highest = max(self.promised[0], self.turn.ballot[0])
        self.turn = Turn(Stage.POLLING, (highest + 1, self.name), None, now)
        self.promised = self.turn.ballot
        self.says.clear()
        self.poll(now, self.newcomers(now))

    def poll(self, now: float, newcomers: list[Belongs]) -> None:
        self.polled_at = now
        ask = [b.name for b in newcomers if b.name in self.removed][:ASKED]
        for name in ask:
            self.asked[name] = now + LATELY * self.period
        self.broadcast(Poll(self.turn.ballot[0], ask))
        self.says[self.address] = (
            now,
            self.name,
            self.saying(now, self.turn.ballot, self.turn.ballot >= self.promised, self.promised[0]),
        )

    def broadcast(self, body: Body, but: Collection[str] = ()) -> None:
        assert self.view is not None
        for m in self.view.members:
            if m.name != self.name and m.name not in but:
                self.send(m.address, body)

    def send(self, address: Address, body: Body) -> None:
        if len(self.out) < MOST_OUT:
            self.out.append((address, body))
        else:
            self.counts["out"] += 1

    def rest(self, now: float, highest: int = 0) -> None:
        """Give the round up for a while."""
        least, most = BACKED_OFF
        until = now + self.rng.uniform(least, most) * self.period
        ballot = max(self.turn.ballot, (highest, ""))
        self.turn = Turn(Stage.IDLE, ballot, rest_until=until)

    def weigh(self, now: float, newcomers: list[Belongs]) -> None:
        """Decide what to propose, where enough have said what they see."""
        view, turn = self.view, self.turn
        assert view is not None
        fresh = {
            name: say
            for at, name, say in self.says.values()
            if say.granted and say.round == turn.ballot[0] and now - at <= FRESH * self.period
        }
        if len(fresh) < view.majority:
            return
        turn.heard_at = now
        held = [say.accepted for say in fresh.values() if say.accepted is not None]
        if held:
            change: Change | None = max(held, key=lambda a: (a[0], a[1]))[2]
        else:
            change = self.choose(now, fresh, newcomers)
        if change is not None:
            turn.stage, turn.change, turn.began = Stage.ACCEPTING, change, now
            self.took = {self.name}
            self.accepted = turn.ballot, change
            self.broadcast(Accept(turn.ballot[0], change))
            self.count(now)

    def choose(self, now: float, fresh: Mapping[str, Say], newcomers: list[Belongs]) -> Change | None:
        view = self.view
        assert view is not None
        names = [m.name for m in view.members]
        reports = {
            by: Report(
                frozenset(names[i] for i in say.down if i < len(names)),
                frozenset(names[i] for i in say.doubtful if i < len(names)),
                frozenset(say.reached),
            )
            for by, say in fresh.items()
        }
        ended = set(self.ended())
        out, settled = settle(view, ended, reports)
        if settled:
            self.unsettled = None
        elif self.unsettled is None:
            self.unsettled = now
        waits = self.unsettled is not None and now - self.unsettled < PATIENCE * self.period
        if waits or len([n for n in fresh if n not in out]) < view.majority:
            out = ended  # what is sure of itself needs no reports
        if self.name in out or len([n for n in fresh if n not in out]) < view.majority:
            return None
        came, room = list[Belongs](), ROOM - 3 * sum(len(n) for n in out)
        for b in newcomers:
            room -= len(b.name) + len(b.host) + 16
            full = len(view.members) - len(out) + len(came) >= MOST_MEMBERS
            if room < 0 or full or (b.name in view.by_name and b.name not in out):
                continue
            if b.name not in self.removed or self.vouched(now, b.name, out, reports):
                came.append(b)
        came.sort(key=lambda b: b.name)
        return Change(sorted(out), came) if out or came else None

    def vouched(self, now: float, name: str, out: Collection[str], reports: Mapping[str, Report]) -> bool:
        """Whether those who would watch one that was taken out have had its answers for long enough."""
        assert self.view is not None
        watching = [o for o in self.view.observers(name) if o not in out and o in reports]
        sure = sum(name in reports[o].reached for o in watching)
        return self.proves(now, name) and (not watching or sure / len(watching) > HIGH)

    # Messages

    def receive(self, now: float, source: Known, stamp: Stamp, body: Body) -> None:
        """Take a message from one whose life is proved, sent under that stamp."""
        self.hasten(now)
        if isinstance(body, Told):
            self.told(now, body)
        elif isinstance(body, Page):
            self.page(now, body)
        elif isinstance(body, Want):
            self.tell(now, source, stamp)
        elif isinstance(body, Over):
            if self.view is None and body.life >= self.life:
                self.life = body.life  # later than its own where its clock went back
                self.reborn(now)
        elif stamp.group == 0 and isinstance(body, Poll | Say):
            self.founding(now, source, body)
        elif self.view is not None and (stamp.group, stamp.number) == (self.view.group, self.view.number):
            if not self.view.has(source.name, source.epoch):
                self.counts["stranger"] += 1
            elif isinstance(body, Poll | Accept):
                self.serve(now, source, body)
            else:
                self.answer(now, source, body)

    def serve(self, now: float, source: Known, body: Poll | Accept) -> None:
        """As one that accepts."""
        ballot = body.round, source.name
        granted, higher, highest = ballot >= self.promised, ballot > self.promised, None
        if higher and self.link(source.name).missed >= SHAKY:
            # one that is deaf must not keep those from their work that hear each other
            granted, higher, highest = False, False, 0
        if higher:  # one that asks again, as it hears no answer, holds nobody up
            self.promised = ballot
            if self.turn.stage is not Stage.IDLE and ballot > self.turn.ballot:
                self.rest(now, ballot[0])
            else:
                self.turn.rest_until = max(self.turn.rest_until, now + BACKED_OFF[0] * self.period)
        if highest is None:
            highest = self.promised[0]
        if isinstance(body, Poll):
            if granted:
                self.polled_at = now
            for name in body.ask:
                self.asked[name] = now + LATELY * self.period
            self.send(source.address, self.saying(now, ballot, granted, highest))
            return
        if granted:
            self.accepted = ballot, body.change
        self.send(source.address, Took(body.round, granted, highest))

    def saying(self, now: float, ballot: Ballot, granted: bool, highest: int) -> Say:
        view = self.view
        assert view is not None
        index = {m.name: i for i, m in enumerate(view.members)}
        down, doubtful, reached = self.report(now)
        if self.accepted is not None:
            return Say(ballot[0], granted, highest, (*self.accepted[0], self.accepted[1]))
        return Say(
            ballot[0],
            granted,
            highest,
            None,
            [index[n] for n in down][:REPORTED],
            [index[n] for n in doubtful][:REPORTED],
            reached[:ASKED],
        )

    def answer(self, now: float, source: Known, body: Say | Took) -> None:
        """As the one that proposes."""
        turn = self.turn
        if turn.stage is Stage.IDLE or body.round != turn.ballot[0]:
            return
        if not body.granted:
            if body.highest:  # else it takes this one for deaf, and says nothing of another's round
                self.rest(now, body.highest)
        elif isinstance(body, Say):
            self.says[source.address] = now, source.name, body
            if turn.stage is Stage.POLLING and self.view and len(self.says) >= self.view.majority:
                self.weigh(now, self.newcomers(now))
        elif turn.stage is Stage.ACCEPTING:
            self.took.add(source.name)
            self.count(now)

    def count(self, now: float) -> None:
        """Whether a majority has accepted; then the view is there."""
        view, change = self.view, self.turn.change
        assert view is not None and change is not None
        if len(self.took) >= view.majority:
            for m in view.members:
                if m.name != self.name:
                    self.send(m.address, Told(view.group, view.number + 1, change))
            self.step(now, change)
            if self.view is not None:
                for b in change.came:
                    self.pages_to(now, b.name, b.address)

    # Views that come

    def step(self, now: float, change: Change) -> None:
        """One view further."""
        assert self.view is not None
        before = self.view
        after = before.after(change)
        self.log[after.number] = change
        if len(self.log) > MOST_LOG:
            del self.log[min(self.log)]
        self.take(now, before, after)

    def take(self, now: float, before: View | None, after: View) -> None:
        for b in after.members:
            if b.name in self.removed and (before is None or b.name not in before.by_name):
                self.flaps += now - self.removed[b.name][0] < FLAP * self.period
        for b in before.members if before is not None else ():
            if b.name not in after.by_name:
                self.removed[b.name] = now, b.life
        for name in [n for n, (at, _) in self.removed.items() if now - at > FORGOTTEN * self.period]:
            del self.removed[name]
        self.history[after.number] = after
        if len(self.history) > MOST_VIEWS:
            del self.history[min(self.history)]
        self.anew()
        if not after.has(self.name, self.life):
            self.counts["taken_out"] += 1
            self.reborn(now, before)
            return
        first = self.view is None
        self.view = after
        self.turned.append((self.life, before, after))
        for name in [n for n in self.links if n not in after.by_name and n not in self.known]:
            del self.links[name]
        if first:
            self.sounding = now if len(after.members) > 1 else inf
            self.cut_off = len(after.members) > 1
        self.next_look = now

    def reborn(self, now: float, before: View | None = None, founds: bool = False) -> None:
        """This life is over for the group: go on as another, which belongs to none yet.

        It founds none for a long while, unless the group is known to be no more: it was taken out, or has
        left a smaller one, and the others are somewhere.
        """
        self.barred = now if founds else now + FORGOTTEN * self.period
        self.turned.append((self.life, before or self.view, None))
        self.view, self.cut_off, self.sounding = None, True, now
        self.life += 1
        self.history.clear()
        self.log.clear()
        self.removed.clear()
        self.pages.clear()
        self.began, self.group_heard = now, -inf
        self.anew()
        self.next_look = now
        near = [k.name for k in self.known.values() if k.state == ALIVE and k.proved]
        self.ping(now, self.rng.sample(near, min(PINGS // 2, len(near))))

    def told(self, now: float, body: Told) -> None:
        view = self.view
        if view is not None and (body.group, body.number) == (view.group, view.number + 1):
            self.step(now, body.change)

    def page(self, now: float, body: Page) -> None:
        """Part of a whole view; taken up once it is whole, where it is later than what is held."""
        view, key = self.view, (body.group, body.number, body.size)
        if view is None or view.group == body.group:
            for name, life in body.gone:
                if name != self.name and life > self.removed.get(name, (0.0, -1))[1]:
                    self.removed[name] = now, life
        if view is not None and (body.group != view.group or body.number <= view.number):
            return
        if key != self.paged:
            if body.group == self.paged[0] and body.number < self.paged[1]:
                return
            self.paged = key
            self.pages.clear()
        self.pages.update((b.name, b) for b in body.members)
        if len(self.pages) != body.size:
            return
        found = View(body.group, body.number, tuple(self.pages[name] for name in sorted(self.pages)))
        self.paged = (0, 0, 0)
        self.pages.clear()
        self.log.clear()  # it has no gaps: who needs what is missing gets pages
        if view is None and not found.has(self.name, self.life):
            return
        self.take(now, view, found)

    def compare(self, now: float, source: Known, stamp: Stamp) -> None:
        """What a datagram of another says of its view: whoever is behind is told."""
        self.stamps[source.name] = stamp, source.epoch
        mine = self.view
        if mine is None:
            if stamp.group and not stamp.cut_off:
                self.group_heard = now
        elif stamp.group == mine.group and stamp.number > mine.number:
            link = self.link(source.name)
            if now - link.wanted_at >= RETOLD * self.period:
                link.wanted_at = now
                self.send(source.address, Want())
        elif stamp.group == mine.group and stamp.number < mine.number:
            self.tell(now, source, stamp)
        elif stamp.group == 0 and mine.has(source.name, source.epoch):
            self.tell(now, source, stamp)
        elif stamp.group == 0 and source.epoch <= self.removed.get(source.name, (0.0, -1))[1]:
            self.send(source.address, Over(source.epoch))
        elif stamp.group == 0 and self.outlived(source):
            self.send(source.address, Over(mine.by_name[source.name].life))
        elif stamp.group not in (0, mine.group):
            self.foreign(now, source, stamp)

    def outlived(self, source: Known) -> bool:
        """Whether a life that counts as later than this one belongs, as its clock went back at a restart."""
        held = self.view.by_name.get(source.name) if self.view is not None else None
        return held is not None and held.life > source.epoch

    def tell(self, now: float, source: Known, stamp: Stamp) -> None:
        """Send one that is behind what it lacks."""
        view, link = self.view, self.link(source.name)
        held = stamp.group, stamp.number
        if view is None or now - link.told_at < link.told_wait * self.period:
            return
        link.told_wait = min(2 * link.told_wait, RETOLD_MOST) if held == link.told_for else RETOLD
        link.told_at, link.told_for = now, held
        lacks = range(stamp.number + 1, view.number + 1)
        if stamp.group == view.group and lacks and lacks[0] in self.log:
            for number in lacks[:SAID]:
                self.send(source.address, Told(view.group, number, self.log[number]))
        elif stamp.group != view.group or lacks:
            self.pages_to(now, source.name, source.address)

    def pages_to(self, now: float, name: str, address: Address) -> None:
        view = self.view
        assert view is not None
        part: list[Belongs] = []
        room = ROOM
        for b in view.members:
            size = len(b.name) + len(b.host) + 16
            if size > room:
                self.send(address, Page(view.group, view.number, len(view.members), part))
                part, room = [], ROOM
            part.append(b)
            room -= size
        gone = [(n, life) for n, (_, life) in sorted(self.removed.items(), key=lambda item: -item[1][0])]
        while gone and sum(len(n) + 12 for n, _ in gone) > ROOM:
            gone.pop()
        self.send(address, Page(view.group, view.number, len(view.members), part))
        if gone:
            self.send(address, Page(view.group, view.number, len(view.members), [], gone[:64]))

    # Where there is no group yet, or more than one

    def found(self, now: float) -> None:
        """Found a group, where there is none and a majority of the seeds vote for it."""
        wait = (FOUND if self.founder else FOUND_LATE) * self.period
        if now - self.group_heard < wait or now - self.began < wait or now < self.barred:
            self.turn.stage = Stage.IDLE
            return
        if self.turn.stage is Stage.IDLE:
            if now < self.turn.rest_until or not self.votes(now, self.name):
                return
            self.turn = Turn(Stage.POLLING, (self.turn.ballot[0] + 1, self.name), None, now)
            self.says = {self.address: (now, self.name, Say(self.turn.ballot[0], True, 0))}
        elif now - self.turn.began > GIVEN_UP * self.period:
            self.rest(now)
            self.voted = "", -inf
            return
        for seat in self.seats - {self.address}:
            self.send(seat, Poll(self.turn.ballot[0]))
        self.elected(now)

    def votes(self, now: float, name: str) -> bool:
        """Whether this process votes for one to found a group; a vote holds for a while."""
        of, until = self.voted
        if of not in ("", name) and now < until:
            return False
        self.voted = name, now + VOTED * self.period
        return True

    def founding(self, now: float, source: Known, body: Poll | Say) -> None:
        if self.view is not None:
            return  # it hears from our stamp that there is a group
        if isinstance(body, Poll):
            heard = now - self.group_heard < FOUND * self.period
            heard |= now < self.barred - (FORGOTTEN - ASIDE) * self.period
            seat = source.address in self.seats or not self.founder  # a seed leaves it to the seeds
            granted = seat and not heard and (self.turn.stage is Stage.IDLE or source.name < self.name)
            if granted and self.turn.stage is not Stage.IDLE:
                self.rest(now)
                self.voted = "", -inf
            granted = granted and self.votes(now, source.name)
            self.send(source.address, Say(body.round, granted, 0))
        elif self.turn.stage is Stage.POLLING and body.round == self.turn.ballot[0] and body.granted:
            if source.address in self.seats:
                self.says[source.address] = now, source.name, body
                self.elected(now)

    def elected(self, now: float) -> None:
        if len(self.says) * 2 <= len(self.seats):
            return
        came, room = [Belongs(self.name, self.life, *self.address)], ROOM
        for b in self.newcomers(now):
            room -= len(b.name) + len(b.host) + 16
            if room >= 0:
                came.append(b)
        group = self.rng.getrandbits(32) | 1
        view = View(group, 1, tuple(sorted(came, key=lambda b: b.name)))
        self.counts["founded"] += 1
        self.take(now, None, view)
        for b in came[1:]:
            self.pages_to(now, b.name, b.address)

    def foreign(self, now: float, source: Known, stamp: Stamp) -> None:
        """Another group under the same keys: the smaller yields, or the one that has lost its majority."""
        view, link = self.view, self.link(source.name)
        assert view is not None
        self.counts["foreign"] += 1
        if stamp.cut_off or link.missed or now - link.up_since < YIELDING * self.period:
            return
        if now - link.answered_at > LATELY * self.period:
            return
        if self.cut_off or (stamp.size, stamp.group) > (len(view.members), view.group):
            self.counts["yielded"] += 1
            self.reborn(now)


__all__ = ["ALIVE", "DEAD", "LEFT", "SUSPECT", "Assembly", "Body", "Stage"]
