"""Feeds for the data plane: a control process streams the configuration and the server list to proxies.

A proxy subscribes with the versions it has. It receives each shard of the list (the changes since its offset,
or a snapshot) and an offer of the configuration once a majority has confirmed it, then each change. The only
state kept for a subscriber is whether it had its confirmed offer: all subscribers are at the same offsets.

Membership is announced by `config_members`.
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
from brackenusher.cluster.records import to_coverage_message, to_messages
from brackenusher.control_plane.config_shard import ConfigShard
from brackenusher.control_plane.registry_service import RegistryService

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 1.0  # after it subscribers get an unconfirmed offer
CONFIRM_RETRY_INTERVAL_S = 0.3  # before the next attempt to get a majority's confirmation
UNCONFIRMED_OFFER_DELAY_S = 0.05  # without a leader: time for an election before an unconfirmed offer
PARSE_POLL_INTERVAL_S = 0.02  # between checks whether a confirmed document is parsed
COVERAGE_SHARD = 0  # the coverage is that of all shards: the changes of one tell it
EPOCH_MASK = 2**62 - 1


@dataclass(slots=True)
class Subscriber:
    """State of a process that subscribed to this source."""

    config_version: int
    confirmed: bool = False  # was sent an offer that a majority confirmed after the subscription
    offered: bool = False


@dataclass(slots=True, frozen=True)
class LogPosition:
    """A subscriber's position in the change log of one shard."""

    epoch: int
    offset: int


class FeedSource:
    """The feeds of one control process."""

    def __init__(self, links: Links, config_shard: ConfigShard, registry: RegistryService) -> None:
        self.subscribers: dict[str, Subscriber] = {}
        self.statuses: dict[str, messages.ProxyStatus] = {}  # by address: the last status each proxy reported
        self._links = links
        self._config_shard = config_shard
        self._registry = registry
        epoch = links.own.incarnation & EPOCH_MASK
        self._logs = [ChangeLog(epoch) for _ in range(SHARD_COUNT)]
        # By shard: the position of all subscribers.
        self._sent_positions = [LogPosition(epoch, 0) for _ in range(SHARD_COUNT)]
        self._dirty_shards: set[int] = set()
        self._flush_scheduled = False
        self._config_deltas = ConfigUpdates()
        self._confirm_task: asyncio.Task[None] | None = None
        self._fill_logs()
        registry.on_change.append(self._registry_changed)
        registry.on_settled.append(self._registry_settled)
        registry.on_coverage.append(self._coverage_changed)
        config_shard.on_committed.append(self._on_committed)
        configuration = config_shard.configuration()
        if configuration is not None:
            self._on_committed(configuration)
        links.on_message(messages.FeedSubscribe, self._on_subscribe)
        links.on_message(messages.ConfigFetch, self._on_fetch)
        links.on_message(messages.ProxyStatus, self._on_status)
        links.on_change(self._link_changed)

    async def stop(self) -> None:
        """Cancel a confirmation in progress."""
        if self._confirm_task is not None:
            self._confirm_task.cancel()

    # Subscriptions

    def _on_subscribe(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.FeedSubscribe)
        self._flush()  # keeps all subscribers at the same offsets
        subscriber = self.subscribers[sender] = Subscriber(message.config_version)
        offsets = {offset.shard: offset for offset in message.offsets}
        for shard in range(SHARD_COUNT):
            self._links.send(sender, self._changes_since_offset(shard, offsets.get(shard)))
        self._start_confirming()
        if self._config_shard.is_leaderless:
            asyncio.get_running_loop().call_later(
                UNCONFIRMED_OFFER_DELAY_S, self._offer_unconfirmed, sender, subscriber
            )

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        # Also on a new link: messages on the previous one may be lost, so the peer has to subscribe again.
        self.subscribers.pop(address, None)
        if hello is None:
            self.statuses.pop(address, None)

    def _on_status(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ProxyStatus)
        self.statuses[sender] = message

    # The server list

    def _fill_logs(self) -> None:
        for shard in range(SHARD_COUNT):
            self._logs[shard].record(self._registry.registry.ids_in_shard(shard))
            self._sent_positions[shard] = LogPosition(self._logs[shard].epoch, self._logs[shard].offset)

    def _registry_changed(self, shard: int, records: list[InstanceRecord]) -> None:
        """Log the changed records; an empty list means that records expired: start a new epoch."""
        if records:
            self._logs[shard].record(record.id for record in records)
        else:
            self._logs[shard].start_epoch(self._registry.registry.ids_in_shard(shard))
        self._mark_dirty(shard)

    def _registry_settled(self) -> None:
        for shard in range(SHARD_COUNT):
            self._mark_dirty(shard)

    def _coverage_changed(self) -> None:
        self._mark_dirty(COVERAGE_SHARD)

    def _mark_dirty(self, shard: int) -> None:
        self._dirty_shards.add(shard)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Send the changes since the last flush to all subscribers."""
        self._flush_scheduled = False
        dirty, self._dirty_shards = self._dirty_shards, set()
        for shard in sorted(dirty):
            changes = self._changes_since(shard, self._sent_positions[shard])
            self._sent_positions[shard] = LogPosition(changes.epoch, changes.offset)
            self._send_to_subscribers(changes)

    def _send_to_subscribers(self, message: betterproto.Message) -> None:
        for address in self.subscribers:
            self._links.send(address, message)

    def _changes_since_offset(
        self, shard: int, offset: messages.ShardOffset | None
    ) -> messages.InstanceChanges:
        return self._changes_since(
            shard, None if offset is None else LogPosition(offset.epoch, offset.offset)
        )

    def _changes_since(self, shard: int, position: LogPosition | None) -> messages.InstanceChanges:
        """The changes after a position, or a snapshot if the log does not reach back to it."""
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
            coverage=to_coverage_message(self._registry.coverage),
        )

    # The configuration

    def _on_committed(self, configuration: Configuration) -> None:
        if not self._config_deltas.add(configuration):
            return
        offer = messages.ConfigOffer(version=self._config_deltas.version, confirmed=False)
        self._send_to_subscribers(offer)

    def _on_fetch(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigFetch)
        piece = self._config_deltas.update_from(message.have_version)
        if piece is not None:
            self._links.send(sender, piece)

    def _start_confirming(self) -> None:
        if self._confirm_task is None or self._confirm_task.done():
            self._confirm_task = asyncio.get_running_loop().create_task(self._confirm_subscribers())

    async def _confirm_subscribers(self) -> None:
        """Request confirmations by a majority until every subscriber has had a confirmed offer."""
        while waiting := self._unconfirmed_subscribers():
            confirmed = await self._confirm()
            self._send_offer(waiting, confirmed)
            if not confirmed:
                await asyncio.sleep(CONFIRM_RETRY_INTERVAL_S)

    async def _confirm(self) -> bool:
        """Whether the version offered here is the newest one committed by a majority."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIRM_TIMEOUT_S
        if not await self._config_shard.confirm(CONFIRM_TIMEOUT_S):
            return False
        document = self._config_shard.document()
        version = 0 if document is None else int(document.get("Generation", 0))
        while self._config_deltas.version < version and loop.time() < deadline:
            await asyncio.sleep(PARSE_POLL_INTERVAL_S)  # it is being parsed on a thread
        return self._config_deltas.version >= version

    def _offer_unconfirmed(self, address: str, subscriber: Subscriber) -> None:
        """Without a leader no confirmation comes; a proxy that has no configuration can use this one."""
        if self._config_shard.is_leaderless and not subscriber.offered:
            self._send_offer({address: subscriber}, confirmed=False)

    def _unconfirmed_subscribers(self) -> dict[str, Subscriber]:
        return {a: subscriber for a, subscriber in self.subscribers.items() if not subscriber.confirmed}

    def _send_offer(self, waiting: dict[str, Subscriber], confirmed: bool) -> None:
        """Offer the current version to these subscribers, except those that have subscribed again since."""
        offer = messages.ConfigOffer(version=self._config_deltas.version, confirmed=confirmed)
        for address, subscriber in waiting.items():
            if self.subscribers.get(address) is subscriber and (confirmed or not subscriber.offered):
                subscriber.confirmed, subscriber.offered = confirmed, True
                self._links.send(address, offer)
