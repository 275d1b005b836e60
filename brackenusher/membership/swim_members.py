"""The members that are known to one of them, the news on its way, and the datagrams that carry it."""

import random
from collections import Counter
from collections.abc import Mapping
from heapq import nsmallest
from math import ceil, log

import msgspec

from barleybarrow.view_agreement import ViewAgreement
from barleybarrow.view_messages import AgreementMessage
from barleybarrow.views import ALIVE, LEFT, MAX_MEMBERS, SUSPECT, View
from brackenusher.membership.seal import DATAGRAM, overhead, seal
from brackenusher.membership.swim_messages import (
    MOST_UPDATES,
    PAGE,
    Address,
    Member,
    Message,
    News,
    Probe,
    Update,
    Waiting,
    usable,
)

LONGEST = 1400  # bytes of a datagram: it fits one packet on every usual link
MOST_RECORDS = 512  # opaque records that wait to be passed on
RATE, BURST = 2000.0, 400.0  # datagrams a second looked at, and at once: 1,000 members send each some 4
SPREAD = 3  # times the ln of the group: how often each piece of news is passed on
PAGES_AGAIN = 5_000.0  # milliseconds between two tellings of the whole list to one member
MOST_PAGES = 40
AT_ONCE = 32  # pieces of news that one datagram may carry


class SwimMembers:
    """The members that are known, and what is sent to them; `Swim` decides whom to ping and to suspect."""

    def __init__(
        self,
        name: str,
        address: Address,
        epoch: int,
        keys: Mapping[str, bytes],
        kid: str,
        seeds: tuple[Address, ...],
        period: float,
        rng: random.Random,
        now: float,
    ) -> None:
        self.name, self.address, self.epoch, self.keys, self.kid = name, address, epoch, keys, kid
        self.seeds_all = seeds
        self.seeds, self.period, self.rng = [s for s in seeds if s != address], period, rng
        self.incarnation = self.serial = 0
        self.members: dict[str, Member] = {}
        self.round: list[str] = []
        self.probe: Probe | None = None
        self.waiting: dict[int, Waiting] = {}
        self.news: dict[str, News] = {}
        self.records: dict[bytes, News] = {}
        self.heard: list[bytes] = []  # records that came; whoever drives this takes them
        self.changes: list[tuple[str, int]] = []  # members whose state changed, likewise
        self.counts: Counter[str] = Counter()  # what was dropped, by why
        self.next_probe, self.next_look, self.next_gossip, self.last = now, now, now, now
        self.next_list, self.list_wait, self.listed = now + period, 2 * period, 0
        self.allowance, self.allowed_at = BURST, now
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.out: list[tuple[bytes, Address]] = []
        self.left = False
        self.views: list[tuple[int, View | None]] = []  # that came to hold; whoever drives this takes them
        self.living: int | None = None  # members alive or suspect, where that is known
        self.dazed = False  # it stood still, and nobody has answered it since
        self.agreement = ViewAgreement(name, epoch, address, self.seeds_all, self.members, period, rng, now)
        self.probes = self.failures = 0  # pings of its own, and those without an answer on any way

    def alive(self) -> list[Member]:
        """Members that are not known to be gone."""
        return [m for m in self.members.values() if m.state <= SUSPECT]

    def tell(self, key: bytes, record: bytes) -> None:
        """Pass a record on; a later one of the same key takes its place."""
        if key not in self.records and len(self.records) >= MOST_RECORDS:
            oldest = max(self.records, key=lambda k: self.records[k].sent)
            del self.records[oldest]
            self.counts["records"] += 1
        self.records[key] = News(record)

    def group(self) -> int:
        if self.living is None:
            self.living = len(self.alive())
        return self.living + 1

    def changed(self, name: str, state: int) -> None:
        """Note that a member's state is another one from now on."""
        self.changes.append((name, state))
        self.living = None

    def meet(self, now: float, update: Update, known: Member | None = None) -> None:
        """Somebody new, or a new life, by hearsay: it still has to prove itself."""
        if update.state > SUSPECT:
            return
        if known is None and len(self.members) >= MAX_MEMBERS:
            self.counts["members"] += 1
        elif not usable(update) or (update.host, update.port) == self.address:
            self.counts["garbage"] += 1
        else:
            address = (update.host, update.port)
            m = Member(update.name, address, update.epoch, update.incarnation, ALIVE, now)
            self.members[m.name] = m
            if known is None:
                self.round.insert(self.rng.randrange(len(self.round) + 1), m.name)  # as the paper
            self.changed(m.name, ALIVE)
            self.note(m.update())

    def own(self) -> Update:
        state = LEFT if self.left else ALIVE
        return Update(self.name, *self.address, self.epoch, self.incarnation, state)

    def note(self, update: Update) -> None:
        """Pass an update on."""
        self.news[update.name] = News(self.encoder.encode(update))

    def page(self, now: float, m: Member) -> None:
        """Tell one that joins of all, in a few datagrams."""
        if now - m.paged_at < PAGES_AGAIN:
            return
        m.paged_at = now
        rest = [self.encoder.encode(other.update()) for other in self.alive() if other is not m]
        for _ in range(MOST_PAGES):
            if not rest:
                return
            rest = self.write(m.address, PAGE, 0, "", False, rest, [])

    def send(
        self,
        address: Address,
        kind: int,
        nonce: int,
        target: str = "",
        joins: bool = False,
        about: Update | None = None,
        news: bool = False,
    ) -> None:
        """Send a message, with as much news as fits where it will be heard, what was told least first."""
        most = SPREAD * ceil(log(self.group() + 1))
        updates = nsmallest(AT_ONCE, self.news.items() if news else (), key=lambda item: item[1].sent)
        records = nsmallest(AT_ONCE, self.records.items() if news else (), key=lambda item: item[1].sent)
        first = [self.encoder.encode(u) for u in (self.own(), about) if u is not None]
        room = LONGEST - overhead(self.kid) - 96 - len(self.name.encode()) - len(target.encode())
        room -= sum(map(len, first))
        parts: list[bytes] = []
        told: list[bytes] = []
        for name, item in updates:
            if len(item.data) > room:
                break
            room -= len(item.data)
            parts.append(item.data)
            item.sent += 1
            if item.sent >= most:
                del self.news[name]
        for key, item in records:
            if len(item.data) + 3 > room:
                break
            room -= len(item.data) + 3
            told.append(item.data)
            item.sent += 1
            if item.sent >= most:
                del self.records[key]
        self.write(address, kind, nonce, target, joins, first + parts, told)

    def write(
        self,
        address: Address,
        kind: int,
        nonce: int,
        target: str,
        joins: bool,
        updates: list[bytes],
        records: list[bytes],
        body: AgreementMessage | None = None,
    ) -> list[bytes]:
        """Seal a datagram; return the updates that did not fit."""
        room, count = LONGEST - overhead(self.kid) - 96 - len(self.name.encode()) - len(target.encode()), 0
        room -= sum(len(r) + 3 for r in records)
        for update in updates[:MOST_UPDATES]:
            room -= len(update)
            if room < 0:
                break
            count += 1
        self.serial += 1
        raw = [msgspec.Raw(update) for update in updates[:count]]
        whole = [self.name, self.epoch, self.serial, kind, nonce, target, joins, raw, records]
        whole += [self.agreement.stamp(), body] if body is not None else [self.agreement.stamp()]
        data = seal(self.keys[self.kid], self.kid, DATAGRAM, self.encoder.encode(whole))
        self.out.append((data, address))
        return updates[max(count, 1) :]

    def flush(self) -> list[tuple[bytes, Address]]:
        out, self.out = self.out, []
        return out
