"""Watches the control processes for the newest configuration and the server list, all voters at once.

The seeds are contacted first; they name the voters, and from then on there is a link to every voter. Each is
subscribed to, and their updates are merged. While disconnected from a majority of the voters, the proxy keeps
serving with the state it has, takes a newer configuration from a peer, and tries seeds, voters and addresses
learned from peers. No client is denied because of a configuration that may be outdated: see below.
"""

import asyncio
import logging
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import betterproto
import msgspec

from barleybarrow.consensus.voter_selection import MAX_VOTERS
from barleybarrow.documents import Configuration, ConfigurationDelta
from barleybarrow.replication import configuration_delta
from barleybarrow.replication.configuration_fetch import ConfigurationFetcher
from barleybarrow.replication.feed_view import FeedView
from barleybarrow.replication.records import InstanceRecord
from barleybarrow.replication.rendezvous import SHARD_COUNT
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.records import from_coverage_message, from_messages
from brackenusher.data_plane.peer_configuration import PeerConfiguration
from brackenusher.settings.local import LocalSettings

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
MAX_LEARNED_ADDRESSES = 16  # addresses of control processes learned from peers
READY_WITHOUT_CONTROL_MS = 4000.0  # after the start; then control counts as down
SUBSCRIPTION_TIMEOUT_MS = 3000.0  # to the complete list; a snapshot over a slow link takes a second
DISCONNECTED_TIMEOUT_MS = 1500.0  # without a majority of the voters; then all known addresses are tried
CONFIRMATION_TIMEOUT_MS = 200.0  # after the start; within it a control with a majority confirms a version
EXPIRY_CHECK_INTERVAL_MS = 60_000.0
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024  # of a configuration after decompression

CONTROL_ROLE = "control"


@dataclass(slots=True)
class Subscription:
    """Progress of a subscription: the shards that the source has sent since `at`."""

    at: float
    shards: set[int] = field(default_factory=set)


class FeedClient:
    """Watches the control processes. Times of `now` are milliseconds of a monotonic clock."""

    def __init__(
        self,
        settings: LocalSettings,
        links: Links,
        on_configuration: Callable[[Configuration], None],
        on_servers: Callable[[str, list[InstanceRecord]], None],
        now: Callable[[], float] | None = None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.voters: list[str] = []
        self.on_voters: list[Callable[[list[str]], None]] = []
        self._settings = settings
        self._links = links
        self._on_configuration = on_configuration
        self._on_servers = on_servers
        self._now = now or (lambda: loop.time() * 1000.0)
        self._view = FeedView()
        self._fetch = ConfigurationFetcher()
        self._configuration: Configuration | None = None
        self._voters_index = -1
        self._learned_addresses: dict[str, None] = {}  # of control processes, newest last
        self._linked_addresses: set[str] = set()
        self._subscribed: dict[str, Subscription] = {}
        self._had_settled = False
        self._peer_configuration = PeerConfiguration(links)
        self._started_at = self._majority_seen_at = self._expiry_checked_at = self._now()
        self._delivery_due = False
        self._task: asyncio.Task[None] | None = None
        links.on_message(messages.Members, self._handle_members)
        links.on_message(messages.ConfigOffer, self._handle_offer)
        links.on_message(messages.ConfigPiece, self._handle_piece)
        links.on_message(messages.InstanceChanges, self._handle_changes)
        links.on_change(self._handle_link_change)

    async def start(self) -> None:
        """Connect and start the periodic work."""
        for address, hello in self._links.connected().items():
            self._handle_link_change(address, hello)
        self.tick()
        self._task = asyncio.get_running_loop().create_task(self._run_ticks())

    async def stop(self) -> None:
        """Stop the periodic work; links stay."""
        if self._task is not None:
            self._task.cancel()

    @property
    def version(self) -> int:
        """The version of the configuration in force here; 0 if there is none."""
        return self._fetch.version

    @property
    def sources(self) -> list[str]:
        """The control processes subscribed to."""
        return list(self._subscribed)

    @property
    def ready(self) -> bool:
        """Whether there is a confirmed configuration and a settled server list, or control is down."""
        if self._configuration is None:
            return False
        if self._fetch.confirmed and (self._view.settled or self._had_settled):
            self._had_settled = True
            return True
        now = self._now()
        return (
            now - self._started_at >= READY_WITHOUT_CONTROL_MS
            and self.version >= self._peer_configuration.newest_version(now)
        )

    @property
    def is_current(self) -> bool:
        """Whether the configuration in force here is known to be the newest, except for the last seconds.

        A majority confirmed it once, and a majority of the voters was connected within `ContactMs`: at least
        one of them has each committed version on disk, and offers it as soon as it learns of the commit.
        """
        majority_connected = self._now() - self._majority_seen_at <= self._settings.bounds.contact_ms
        return self._fetch.confirmed and majority_connected

    def record_peer_version(self, peer: str, version: int) -> None:
        """Record the version that a peer has in force, from its ping."""
        self._peer_configuration.record_version(peer, version, self._now())

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Add internal addresses of control processes learned from a peer."""
        for address in addresses:
            self._learned_addresses.pop(address, None)
            self._learned_addresses[address] = None
        while len(self._learned_addresses) > MAX_LEARNED_ADDRESSES:
            del self._learned_addresses[next(iter(self._learned_addresses))]

    def configure(self, settings: LocalSettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def tick(self) -> None:
        """Do the periodic work; called every `TICK_INTERVAL_S`."""
        now = self._now()
        self._update_links(now)
        self._resubscribe_incomplete(now)
        self._request_configuration(now)
        self._peer_configuration.tick(now, wanted=self._may_ask_peers(now))
        if now - self._expiry_checked_at >= EXPIRY_CHECK_INTERVAL_MS:
            self._expiry_checked_at = now
            self._view.expire(now)
            self._schedule_delivery()

    def _may_ask_peers(self, now: float) -> bool:
        """Whether to take a newer version from a peer rather than wait for control."""
        confirmation_overdue = not self._fetch.confirmed and now - self._started_at > CONFIRMATION_TIMEOUT_MS
        return confirmation_overdue or now - self._majority_seen_at > DISCONNECTED_TIMEOUT_MS

    # Links

    def _seed_addresses(self) -> list[str]:
        port = self._settings.control_internal_port
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in self._settings.seed_nodes]

    def _update_links(self, now: float) -> None:
        connected = self._links.connected()
        if sum(voter in connected for voter in self.voters) * 2 > len(self.voters):
            self._majority_seen_at = now
        addresses = set(self.voters[:MAX_VOTERS])
        if not self.voters:
            addresses.update(self._seed_addresses(), self._learned_addresses)
        elif now - self._majority_seen_at > DISCONNECTED_TIMEOUT_MS:
            addresses.update(self._seed_addresses(), self._learned_addresses)
        addresses.discard(self._links.own.address)
        for address in sorted(addresses - self._linked_addresses):
            self._links.connect(address)
        for address in sorted(self._linked_addresses - addresses):
            self._links.disconnect(address)
            self._drop_source(address, now)
        self._linked_addresses = addresses
        for address in sorted(addresses.intersection(connected).difference(self._subscribed)):
            self._subscribe(address)

    def _drop_source(self, address: str, now: float) -> None:
        self._subscribed.pop(address, None)
        self._fetch.on_disconnected(address)
        self._view.remove_source(address, now)
        self._schedule_delivery()

    def _handle_link_change(self, address: str, hello: messages.Hello | None) -> None:
        now = self._now()
        self._subscribed.pop(address, None)
        self._fetch.on_disconnected(address)
        if hello is None:
            self._view.on_disconnected(address, now)
            self._schedule_delivery()
        elif hello.role == CONTROL_ROLE and address in self._linked_addresses:
            self._subscribe(address)

    def _subscribe(self, address: str) -> None:
        """Ask a source for everything that is missing here."""
        offsets = []
        for shard in range(SHARD_COUNT):
            position = self._view.position(address, shard)
            if position is not None:
                offsets.append(messages.ShardOffset(shard, position[0], position[1]))
        if self._links.send(address, messages.FeedSubscribe(self.version, offsets)):
            self._subscribed[address] = Subscription(self._now())
            self._view.on_connected(address, self._now())

    def _resubscribe_incomplete(self, now: float) -> None:
        """Subscribe again where a source has not sent all shards in time."""
        for address, subscription in list(self._subscribed.items()):
            incomplete = len(subscription.shards) < SHARD_COUNT
            if incomplete and now - subscription.at >= SUBSCRIPTION_TIMEOUT_MS:
                log.warning("subscription timed out: source=%s shards=%d", address, len(subscription.shards))
                self._subscribe(address)

    def _handle_members(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.Members)
        self.add_control_addresses(hello.address for hello in message.controls)
        if not message.voters or message.voters_index <= self._voters_index:
            return
        self._voters_index = message.voters_index
        self.voters = list(message.voters)
        log.info("voters: index=%d voters=%s", self._voters_index, ",".join(self.voters))
        self._update_links(self._now())
        for handler in self.on_voters:
            handler(self.voters)

    # The configuration

    def _handle_offer(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigOffer)
        if sender in self._subscribed:
            self._fetch.on_offer(sender, message.version, message.confirmed)
            self._request_configuration(self._now())

    def _request_configuration(self, now: float) -> None:
        source = self._fetch.next_source(now)
        if source is not None:
            self._links.send(source, messages.ConfigFetch(have_version=self.version))

    def _handle_piece(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigPiece)
        if message.version <= self.version:
            return
        try:
            configuration = self._decode_piece(message)
        except (zlib.error, msgspec.MsgspecError, configuration_delta.DeltaMismatchError) as error:
            log.warning("configuration not taken: source=%s error=%s", sender, error)
            return  # the fetch times out and another source is asked
        self._configuration = configuration
        self._peer_configuration.configuration_applied(configuration)
        self._fetch.on_applied(message.version)
        log.info("configuration in force: version=%d source=%s", message.version, sender)
        self._on_configuration(configuration)
        self._request_configuration(self._now())

    def _decode_piece(self, message: messages.ConfigPiece) -> Configuration:
        inflater = zlib.decompressobj()
        document = inflater.decompress(message.document, MAX_DOCUMENT_BYTES)
        if message.base_version == 0:
            return msgspec.json.decode(document, type=Configuration)
        delta = msgspec.json.decode(document, type=ConfigurationDelta)
        if self._configuration is None:
            raise configuration_delta.DeltaMismatchError("delta without a base configuration")
        return configuration_delta.apply(self._configuration, delta)

    # The server list

    def _handle_changes(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.InstanceChanges)
        subscription = self._subscribed.get(sender)
        if subscription is None:
            return
        subscription.shards.add(message.shard)
        accepted = self._view.apply_update(
            sender,
            message.shard,
            (message.epoch, message.offset),
            from_messages(message.records),
            snapshot=message.snapshot,
            settled=message.settled,
            coverage=from_coverage_message(message.coverage),
            now=self._now(),
        )
        if not accepted:
            self._view.remove_source(sender, self._now())
            self._subscribe(sender)
        self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        if self._view.changed_services and not self._delivery_due:
            self._delivery_due = True
            asyncio.get_running_loop().call_soon(self._deliver)

    def _deliver(self) -> None:
        """Deliver the server list of each changed service."""
        self._delivery_due = False
        changed, self._view.changed_services = self._view.changed_services, set()
        now = self._now()
        for service in sorted(changed - {""}):
            self._on_servers(service, self._view.offered_records(service, now))

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()
