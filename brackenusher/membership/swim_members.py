"""Known members, the updates and records queued for gossip, and the datagrams that carry them."""

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
    GOSSIP,
    MAX_UPDATES_PER_DATAGRAM,
    Address,
    Member,
    Message,
    PendingPing,
    Probe,
    QueuedItem,
    Update,
    is_usable,
)

MAX_DATAGRAM_BYTES = 1400  # fits one packet at the usual MTU
MAX_QUEUED_RECORDS = 512
MAX_DATAGRAMS_PER_S, MAX_DATAGRAM_BURST = 2000.0, 400.0  # each of 1,000 members sends about 4 a second
RETRANSMIT_FACTOR = 3  # times ln(group size): transmissions of each update and record
MEMBER_LIST_INTERVAL_MS = 5_000.0  # between two full lists to one member
MAX_MEMBER_LIST_DATAGRAMS = 40
MAX_ITEMS_PER_DATAGRAM = 32  # updates, and as many records


class SwimMembers:
    """Known members and outgoing datagrams; `Swim` adds failure detection and the handling of messages."""

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
        self.incarnation = self.sequence = 0
        self.members: dict[str, Member] = {}
        self.round: list[str] = []
        self.probe: Probe | None = None
        self.waiting: dict[int, PendingPing] = {}
        self.news: dict[str, QueuedItem] = {}
        self.queued_records: dict[bytes, QueuedItem] = {}
        self.received_records: list[bytes] = []  # taken by the driver
        self.changes: list[tuple[str, int]] = []  # members with their new state; taken by the driver
        self.counts: Counter[str] = Counter()  # dropped items by reason
        self.next_probe, self.next_maintenance, self.next_gossip, self.last_tick_at = now, now, now, now
        self.next_list_request, self.list_request_interval, self.members_at_list_request = (
            now + period,
            2 * period,
            0,
        )
        self.allowance, self.allowed_at = MAX_DATAGRAM_BURST, now
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.outbox: list[tuple[bytes, Address]] = []
        self.has_left = False
        self.views: list[tuple[int, View | None]] = []  # epochs and views entered; taken by the driver
        self.alive_count: int | None = None  # cached; None after a change
        self.dazed = False  # stalled, and no member has answered since
        self.agreement = ViewAgreement(name, epoch, address, self.seeds_all, self.members, period, rng, now)
        self.probes = self.failures = 0  # own probes, and those without a direct or indirect answer

    def alive(self) -> list[Member]:
        """Members that are alive or suspected."""
        return [m for m in self.members.values() if m.state <= SUSPECT]

    def broadcast_record(self, key: bytes, record: bytes) -> None:
        """Queue a record for gossip; a later one of the same key replaces it."""
        if key not in self.queued_records and len(self.queued_records) >= MAX_QUEUED_RECORDS:
            oldest = max(self.queued_records, key=lambda k: self.queued_records[k].transmissions)
            del self.queued_records[oldest]
            self.counts["records"] += 1
        self.queued_records[key] = QueuedItem(record)

    def group_size(self) -> int:
        if self.alive_count is None:
            self.alive_count = len(self.alive())
        return self.alive_count + 1

    def on_state_change(self, name: str, state: int) -> None:
        """Record a member's change of state."""
        self.changes.append((name, state))
        self.alive_count = None

    def add_unverified(self, now: float, update: Update, known: Member | None = None) -> None:
        """Add a gossiped member or epoch as unverified."""
        if update.state > SUSPECT:
            return
        if known is None and len(self.members) >= MAX_MEMBERS:
            self.counts["members"] += 1
        elif not is_usable(update) or (update.host, update.port) == self.address:
            self.counts["garbage"] += 1
        else:
            address = (update.host, update.port)
            m = Member(update.name, address, update.epoch, update.incarnation, ALIVE, now)
            self.members[m.name] = m
            if known is None:
                # at a random position, as in the paper
                self.round.insert(self.rng.randrange(len(self.round) + 1), m.name)
            self.on_state_change(m.name, ALIVE)
            self.queue_update(m.update())

    def own_update(self) -> Update:
        state = LEFT if self.has_left else ALIVE
        return Update(self.name, *self.address, self.epoch, self.incarnation, state)

    def queue_update(self, update: Update) -> None:
        """Queue an update for gossip; replaces an earlier one of the same member."""
        self.news[update.name] = QueuedItem(self.encoder.encode(update))

    def send_member_list(self, now: float, m: Member) -> None:
        """Send the full member list to a joiner in several datagrams."""
        if now - m.list_sent_at < MEMBER_LIST_INTERVAL_MS:
            return
        m.list_sent_at = now
        remaining = [self.encoder.encode(other.update()) for other in self.alive() if other is not m]
        for _ in range(MAX_MEMBER_LIST_DATAGRAMS):
            if not remaining:
                return
            remaining = self.add_datagram(m.address, GOSSIP, 0, "", False, remaining, [])

    def send(
        self,
        address: Address,
        kind: int,
        nonce: int,
        target: str = "",
        wants_list: bool = False,
        about: Update | None = None,
        with_gossip: bool = False,
    ) -> None:
        """Send a message with as many queued updates and records as fit, the least transmitted first."""
        max_transmissions = RETRANSMIT_FACTOR * ceil(log(self.group_size() + 1))
        updates = nsmallest(
            MAX_ITEMS_PER_DATAGRAM,
            self.news.items() if with_gossip else (),
            key=lambda item: item[1].transmissions,
        )
        records = nsmallest(
            MAX_ITEMS_PER_DATAGRAM,
            self.queued_records.items() if with_gossip else (),
            key=lambda item: item[1].transmissions,
        )
        leading_updates = [self.encoder.encode(u) for u in (self.own_update(), about) if u is not None]
        bytes_left = (
            MAX_DATAGRAM_BYTES - overhead(self.kid) - 96 - len(self.name.encode()) - len(target.encode())
        )
        bytes_left -= sum(map(len, leading_updates))
        chosen_updates: list[bytes] = []
        chosen_records: list[bytes] = []
        for name, item in updates:
            if len(item.data) > bytes_left:
                break
            bytes_left -= len(item.data)
            chosen_updates.append(item.data)
            item.transmissions += 1
            if item.transmissions >= max_transmissions:
                del self.news[name]
        for key, item in records:
            if len(item.data) + 3 > bytes_left:
                break
            bytes_left -= len(item.data) + 3
            chosen_records.append(item.data)
            item.transmissions += 1
            if item.transmissions >= max_transmissions:
                del self.queued_records[key]
        self.add_datagram(
            address, kind, nonce, target, wants_list, leading_updates + chosen_updates, chosen_records
        )

    def add_datagram(
        self,
        address: Address,
        kind: int,
        nonce: int,
        target: str,
        wants_list: bool,
        updates: list[bytes],
        records: list[bytes],
        body: AgreementMessage | None = None,
    ) -> list[bytes]:
        """Seal a datagram and add it to the outbox; return the updates that did not fit."""
        bytes_left, count = (
            MAX_DATAGRAM_BYTES - overhead(self.kid) - 96 - len(self.name.encode()) - len(target.encode()),
            0,
        )
        bytes_left -= sum(len(r) + 3 for r in records)
        for update in updates[:MAX_UPDATES_PER_DATAGRAM]:
            bytes_left -= len(update)
            if bytes_left < 0:
                break
            count += 1
        self.sequence += 1
        raw = [msgspec.Raw(update) for update in updates[:count]]
        fields = [self.name, self.epoch, self.sequence, kind, nonce, target, wants_list, raw, records]
        fields += [self.agreement.stamp(), body] if body is not None else [self.agreement.stamp()]
        data = seal(self.keys[self.kid], self.kid, DATAGRAM, self.encoder.encode(fields))
        self.outbox.append((data, address))
        return updates[max(count, 1) :]

    def flush(self) -> list[tuple[bytes, Address]]:
        out, self.outbox = self.outbox, []
        return out
