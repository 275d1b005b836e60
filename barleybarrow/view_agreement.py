"""How a group agrees on its views: a state machine told of answers, silences and messages, and the time.

It must never let a view come about that a majority of the one before has not accepted, and never say that
it is in touch while it is not. One instance of Paxos (Lamport, "The Part-Time Parliament", 1998) decides each
number; the members of a view are its acceptors, so that a restarted process, a later life, is none.
The table of stages and the reasons for the constants are in `docs/design/membership.md`.

Its layers, the lowest first: `view_links`, `view_updates`, `view_rounds`, and the founding of groups here.
"""

from collections.abc import Collection, Mapping
from math import inf
from random import Random

from barleybarrow.view_links import STEP
from barleybarrow.view_messages import Accept, Body, Over, Page, Poll, Say, Told, Want
from barleybarrow.view_rounds import GIVEN_UP, Stage, Turn, ViewRounds
from barleybarrow.view_updates import FORGOTTEN, ROOM
from barleybarrow.views import Address, Belongs, Known, Stamp, View

# All spans are parts of the period.
QUIET = 1.0  # and while there is nothing
FOUND, FOUND_LATE = 2.0, 8.0  # without word of a group; late for who is no seed
ASIDE = 30.0  # one that was taken out gives nobody its vote so long
VOTED = 10.0  # a seed's vote holds


class ViewAgreement(ViewRounds):
    """One process's part: told of answers, silences, messages, time; founds a group if there is none."""

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
        super().__init__(name, life, address, known, period, rng, now)
        self.founder = not seeds or address in seeds
        self.seats = {*seeds} if self.founder and seeds else {*seeds, address}

    def slept(self, now: float) -> None:
        """This process stood still: it is cut off until it has heard otherwise."""
        self.sounding, self.cut_off = now, True
        self.turn = Turn()
        self.says.clear()
        for link in self.links.values():
            link.missed = 0
        self.hasten(now)

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
