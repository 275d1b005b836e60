"""How views are taken up, and how whoever is behind is told of them."""

from collections.abc import Mapping
from math import inf
from random import Random

from barleybarrow.view_links import LATELY, PINGS, ViewLinks
from barleybarrow.view_messages import Over, Page, Told, Want
from barleybarrow.views import ALIVE, Address, Belongs, Change, Known, Stamp, View

# All spans are parts of the period.
YIELDING = 3.0  # in touch with a greater group until one yields
RETOLD, RETOLD_MOST = 0.3, 2.4  # between two tellings of views to one that is behind; twice as long each time
FLAP = 60.0  # one that is back sooner has flapped
FORGOTTEN = 300.0  # who was taken out is remembered so long
ROOM = 900  # bytes of a change or of a page
MOST_LOG = 64  # changes kept for who is behind; who lacks more gets pages
MOST_VIEWS = 8
SAID = 8  # changes sent to one that is behind, at once


class ViewUpdates(ViewLinks):
    """Takes up views, and tells those who are behind; `turned` are changes of the view to be looked at."""

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
        self.turned: list[tuple[int, View | None, View | None]] = []  # life, before, after
        self.flaps = 0
        self.removed: dict[str, tuple[float, int]] = {}  # who was taken out: when, and which life
        self.history: dict[int, View] = {}
        self.log: dict[int, Change] = {}
        self.stamps: dict[str, tuple[Stamp, int]] = {}  # what each said last, and in which life
        self.pages: dict[str, Belongs] = {}
        self.paged: tuple[int, int, int] = (0, 0, 0)
        self.began = now
        self.group_heard, self.barred = -inf, -inf

    def anew(self) -> None:
        """Forget what belonged to one number of the view; the layers above have more to forget."""

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
            self.send(source.address, Over(self.removed[source.name][1]))  # its clock may have gone back
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
