"""How a change of a view is proposed and accepted.

It must never let a view come about that a majority of the one before has not accepted.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from barleybarrow.view_links import FRESH, LATELY, SHAKY, STEP, TOUCH
from barleybarrow.view_messages import REPORTED, Accept, Body, Poll, Say, Told, Took
from barleybarrow.view_updates import ROOM, ViewUpdates
from barleybarrow.views import (
    ALIVE,
    HIGH,
    LEFT,
    MOST_MEMBERS,
    SUSPECT,
    Address,
    Belongs,
    Change,
    Known,
    Report,
    settle,
)

# All spans are parts of the period.
RANK = 1.5  # for each that stands before me in the order of names, I wait so long
DOUBTED = 0.7  # a suspicion is waited on so long before members are asked: most are refuted
PATIENCE = 8.0  # reports that stand between the thresholds are waited for so long
POLLED = 1.5  # one that was asked by another leaves it to that one so long
GIVEN_UP = 4.0  # an acceptance that finds no majority
BACKED_OFF = 1.0, 3.0  # after a higher round was seen; drawn by chance between them
ASKED = 12  # newcomers asked about at once

Ballot = tuple[int, str]  # the round, and the name of who began it
NO_BALLOT: Ballot = (0, "")


class Stage(Enum):
    IDLE = "idle"
    POLLING = "polling"
    ACCEPTING = "accepting"


@dataclass(slots=True)
class Turn:
    """What this process does as one that proposes."""

    stage: Stage = Stage.IDLE
    ballot: Ballot = NO_BALLOT
    change: Change | None = None
    began: float = -inf
    rest_until: float = -inf
    heard_at: float = -inf  # a majority, last


class ViewRounds(ViewUpdates):
    """Proposes changes of the view and accepts them: Paxos, one instance for each number of the view."""

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
        super().__init__(name, life, address, known, period, rng, now)
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
