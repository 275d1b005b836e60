"""Feeds of the data plane in a control process: the newest configuration and the list of servers.

A proxy subscribes with what it has. It gets each shard of the list (what changed since its offset, or a
snapshot) and an offer of the configuration once a majority has confirmed it; then changes as they come. Of a
subscriber nothing is kept but whether it had its confirmed offer: all subscribers are at the same offsets.

Who the members are is told by `config_members`.
"""

import asyncio
import logging
from dataclasses import dataclass

import betterproto

from barleybarrow.documents import Configuration
from barleybarrow.replication.change_log import ChangeLog
from barleybarrow.replication.records import InstanceRecord
from barleybarrow.replication.rendezvous import SHARD_COUNT
from brackenusher.cluster import messages
from brackenusher.cluster.config_pieces import ConfigUpdates
from brackenusher.cluster.links import Links
from brackenusher.cluster.records import to_messages
from brackenusher.control_plane.config_shard import ConfigShard
from brackenusher.control_plane.registry_service import RegistryService

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 1.0  # then subscribers get an unconfirmed offer
CONFIRM_PAUSE_S = 0.3  # before the next try to have a majority confirm
OFFER_SOON_S = 0.05  # without a leader: it may be elected by then; else the offer is not confirmed
TYPED_FORM_PERIOD_S = 0.02  # between two looks whether a confirmed document has its typed form
EPOCH_MASK = 2**62 - 1


@dataclass(slots=True)
class Subscriber:
    """A process that follows this source."""

    config_version: int
    confirmed: bool = False  # it had the offer of a version that a majority confirmed after its subscription
    offered: bool = False


@dataclass(slots=True, frozen=True)
class Position:
    """Where a reader of one shard is."""

    epoch: int
    offset: int


class FeedSource:
    """The feeds of one control process."""

    def __init__(self, links: Links, config_shard: ConfigShard, registry: RegistryService) -> None:
        self.subscribers: dict[str, Subscriber] = {}
        self.statuses: dict[str, messages.ProxyStatus] = {}  # what each proxy last said of itself
        self._links = links
        self._config_shard = config_shard
        self._registry = registry
        epoch = links.own.incarnation & EPOCH_MASK
        self._logs = [ChangeLog(epoch) for _ in range(SHARD_COUNT)]
        self._flushed = [Position(epoch, 0) for _ in range(SHARD_COUNT)]  # where all subscribers are
        self._dirty: set[int] = set()
        self._flush_due = False
        self._pieces = ConfigUpdates()
        self._confirming: asyncio.Task[None] | None = None
        self._fill_logs()
        registry.on_change.append(self._registry_changed)
        registry.on_settled.append(self._registry_settled)
        config_shard.on_committed.append(self._committed)
        configuration = config_shard.configuration()
        if configuration is not None:
            self._committed(configuration)
        links.on_message(messages.FeedSubscribe, self._subscribe)
        links.on_message(messages.ConfigFetch, self._fetch)
        links.on_message(messages.ProxyStatus, self._take_status)
        links.on_change(self._link_changed)

    async def stop(self) -> None:
        """Confirm no more."""
        if self._confirming is not None:
            self._confirming.cancel()

    # Subscriptions

    def _subscribe(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.FeedSubscribe)
        self._flush()  # so that all subscribers are at the same offsets
        subscriber = self.subscribers[sender] = Subscriber(message.config_version)
        offsets = {offset.shard: offset for offset in message.offsets}
        for shard in range(SHARD_COUNT):
            self._links.send(sender, self._resume(shard, offsets.get(shard)))
        self._start_confirming()
        if self._config_shard.is_leaderless:
            asyncio.get_running_loop().call_later(OFFER_SOON_S, self._offer_unconfirmed, sender, subscriber)

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        # A new link, too: what went over the one before may be lost, so the peer has to subscribe again.
        self.subscribers.pop(address, None)
        if hello is None:
            self.statuses.pop(address, None)

    def _take_status(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ProxyStatus)
        self.statuses[sender] = message

    # The list of servers

    def _fill_logs(self) -> None:
        for shard in range(SHARD_COUNT):
            self._logs[shard].record(self._registry.registry.ids_in_shard(shard))
            self._flushed[shard] = Position(self._logs[shard].epoch, self._logs[shard].offset)

    def _registry_changed(self, shard: int, records: list[InstanceRecord]) -> None:
        """No records: some were forgotten, and the shard begins anew."""
        if records:
            self._logs[shard].record(record.id for record in records)
        else:
            self._logs[shard].start_epoch(self._registry.registry.ids_in_shard(shard))
        self._mark_dirty(shard)

    def _registry_settled(self) -> None:
        for shard in range(SHARD_COUNT):
            self._mark_dirty(shard)

    def _mark_dirty(self, shard: int) -> None:
        self._dirty.add(shard)
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Send what changed since the last flush to all subscribers."""
        self._flush_due = False
        dirty, self._dirty = self._dirty, set()
        for shard in sorted(dirty):
            changes = self._changes(shard, self._flushed[shard])
            self._flushed[shard] = Position(changes.epoch, changes.offset)
            self._tell_all(changes)

    def _tell_all(self, message: betterproto.Message) -> None:
        for address in self.subscribers:
            self._links.send(address, message)

    def _resume(self, shard: int, offset: messages.ShardOffset | None) -> messages.InstanceChanges:
        return self._changes(shard, None if offset is None else Position(offset.epoch, offset.offset))

    def _changes(self, shard: int, position: Position | None) -> messages.InstanceChanges:
        """What a reader at this position lacks."""
        change_log = self._logs[shard]
        ids = None if position is None else change_log.since(position.epoch, position.offset)
        records = self._registry.feed_records(shard, ids)
        return messages.InstanceChanges(
            shard=shard,
            epoch=change_log.epoch,
            offset=change_log.offset,
            snapshot=ids is None,
            settled=self._registry.settled,
            records=to_messages(records),
        )

    # The configuration

    def _committed(self, configuration: Configuration) -> None:
        if not self._pieces.add(configuration):
            return
        offer = messages.ConfigOffer(version=self._pieces.version, confirmed=False)
        self._tell_all(offer)

    def _fetch(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigFetch)
        piece = self._pieces.update_from(message.have_version)
        if piece is not None:
            self._links.send(sender, piece)

    def _start_confirming(self) -> None:
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.get_running_loop().create_task(self._confirm_all())

    async def _confirm_all(self) -> None:
        """Have a majority confirm the version here, until every subscriber has its confirmed offer."""
        while waiting := self._unconfirmed():
            confirmed = await self._confirm()
            self._offer(waiting, confirmed)
            if not confirmed:
                await asyncio.sleep(CONFIRM_PAUSE_S)

    async def _confirm(self) -> bool:
        """Whether the version that is offered here is as new as a majority says now."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + CONFIRM_TIMEOUT_S
        if not await self._config_shard.confirm(CONFIRM_TIMEOUT_S):
            return False
        document = self._config_shard.document()
        version = 0 if document is None else int(document.get("Generation", 0))
        while self._pieces.version < version and loop.time() < ends:
            await asyncio.sleep(TYPED_FORM_PERIOD_S)  # it is being read, on a thread
        return self._pieces.version >= version

    def _offer_unconfirmed(self, address: str, subscriber: Subscriber) -> None:
        """Nobody will confirm it soon: a proxy that has nothing serves with what is here meanwhile."""
        if self._config_shard.is_leaderless and not subscriber.offered:
            self._offer({address: subscriber}, confirmed=False)

    def _unconfirmed(self) -> dict[str, Subscriber]:
        return {a: subscriber for a, subscriber in self.subscribers.items() if not subscriber.confirmed}

    def _offer(self, waiting: dict[str, Subscriber], confirmed: bool) -> None:
        """Offer the version here to those that subscribed before it was confirmed, or not."""
        offer = messages.ConfigOffer(version=self._pieces.version, confirmed=confirmed)
        for address, subscriber in waiting.items():
            if self.subscribers.get(address) is subscriber and (confirmed or not subscriber.offered):
                subscriber.confirmed, subscriber.offered = confirmed, True
                self._links.send(address, offer)
