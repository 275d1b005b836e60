"""What pings have shown of the links to the other members of a view; nothing is decided here."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import ceil, inf
from random import Random

from barleybarrow.view_messages import Body
from barleybarrow.views import ALIVE, SUSPECT, Address, Known, Stamp, View, tries

# All spans are parts of the period.
STEP = 0.3  # between two looks while there is something to do
FRESH = 1.6  # a report counts so long: five looks
REST = 5.0  # between two pings on a link that is known to be down
PROVING = 4.0  # one that was taken out has to answer so long
LATELY = 3.0  # an answer tells of a newcomer so long
SOUNDED = 3.0  # until a majority must have answered, and one more for each MANY members
MANY = 50
TOUCH = 5.0  # an answer shows that one is in touch so long, and one more for each MANY members
SHAKY = 3  # pings in a row without an answer, and a newcomer has to begin its proof anew
CUT_LONG = 10.0  # periods, after which one that is cut off asks less at once
DOUBTS, LAST = 2, 4  # own probes without an answer, of the last so many
PINGS = 16  # in one look, so that a pause ends without a burst
NEAR = 2  # so many in the order of names get to know newcomers by pinging them
MOST_OUT = 512  # messages waiting to be sent


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


class ViewLinks:
    """One process's part in its view: what it knows of the links to the others, and whether it is in touch.

    `out` is to be sent, `pings` to be pinged.
    """

    def __init__(
        self,
        name: str,
        life: int,
        address: Address,
        known: Mapping[str, Known],
        period: float,
        rng: Random,
        now: float,
    ) -> None:
        self.name, self.life, self.address, self.known = name, life, address, known
        self.period, self.rng = period, rng
        self.view: View | None = None
        self.cut_off = True
        self.links: dict[str, Link] = {}
        self.out: list[tuple[Address, Body]] = []
        self.pings: list[str] = []
        self.counts: Counter[str] = Counter()
        self.asked: dict[str, float] = {}  # newcomers whom others want tried, until when
        self.next_look = now
        self.polled_at = -inf
        self.results, self.sounding = 0, now  # inf while there is no doubt of oneself

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

    def hasten(self, now: float) -> None:
        self.next_look = min(self.next_look, now + STEP * self.period)

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

    def rank(self) -> int:
        """How many stand before this one who could do it as well."""
        view, before = self.view, 0
        assert view is not None
        for m in view.members:
            if m.name == self.name:
                break
            before += self.reaches(m.name)
        return before

    def send(self, address: Address, body: Body) -> None:
        if len(self.out) < MOST_OUT:
            self.out.append((address, body))
        else:
            self.counts["out"] += 1
