"""The feeds of a proxy: the newest configuration and the list of servers, from all voters at once.

The seeds are asked first; they name the voters, and from then on links are kept to every voter. Each is
subscribed to and tailed; what they tell is merged. While most voters are out of touch, the proxy serves on
with what it has, takes a newer configuration from a peer, and tries seeds, voters and addresses heard from
peers. Nobody is denied by a configuration that may be old: see `current`.
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
from brackenusher.cluster.records import from_messages
from brackenusher.data_plane.peer_configuration import PeerConfiguration
from brackenusher.settings.local import LocalSettings

log = logging.getLogger(__name__)

TICK_S = 0.1
MAX_LEARNT = 16  # addresses of control processes that peers told
READY_WITHOUT_CORE_MS = 4000.0  # then what is known is served with: the core is down
ANSWER_MS = 3000.0  # for the whole list after a subscription; a snapshot over a narrow link takes a second
ALONE_MS = 1500.0  # without most voters in touch; then all known addresses are tried
CONFIRMED_MS = 200.0  # after its start a proxy has a confirmed version, where control has a majority
FORGET_CHECK_MS = 60_000.0
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024  # of a configuration after decompression; more is not one

CONTROL = "control"


@dataclass(slots=True)
class Subscription:
    """What a source has answered to a subscription."""

    at: float
    shards: set[int] = field(default_factory=set)


class FeedClient:
    """Follows the control processes. Times of `now` are milliseconds of a monotonic clock."""

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
        self._learnt: dict[str, None] = {}  # control processes heard of, newest last
        self._wanted: set[str] = set()
        self._subscribed: dict[str, Subscription] = {}
        self._had_settled = False
        self._peers = PeerConfiguration(links)
        self._started_at = self._in_touch_at = self._forgot_at = self._now()
        self._delivery_due = False
        self._task: asyncio.Task[None] | None = None
        links.on_message(messages.Members, self._take_members)
        links.on_message(messages.ConfigOffer, self._take_offer)
        links.on_message(messages.ConfigPiece, self._take_piece)
        links.on_message(messages.InstanceChanges, self._take_changes)
        links.on_change(self._link_changed)

    async def start(self) -> None:
        """Connect, and follow from now on."""
        for address, hello in self._links.connected().items():
            self._link_changed(address, hello)
        self.tick()
        self._task = asyncio.get_running_loop().create_task(self._keep_ticking())

    async def stop(self) -> None:
        """End the task of this client; links stay."""
        if self._task is not None:
            self._task.cancel()

    @property
    def version(self) -> int:
        """The version of the configuration in force here; 0: none."""
        return self._fetch.version

    @property
    def sources(self) -> list[str]:
        """The control processes that are followed now."""
        return list(self._subscribed)

    @property
    def ready(self) -> bool:
        """Whether a confirmed configuration and a settled list are here, or the core is down."""
        if self._configuration is None:
            return False
        if self._fetch.confirmed and (self._view.settled or self._had_settled):
            self._had_settled = True
            return True
        now = self._now()
        return now - self._started_at >= READY_WITHOUT_CORE_MS and self.version >= self._peers.newest(now)

    @property
    def current(self) -> bool:
        """Whether the configuration in force here is surely the newest, but for changes of the last seconds.

        A majority confirmed it once, and most voters were in touch within `ContactMs`: each committed version
        is on the disk of one of them at least, which offers it as soon as it knows of the commit.
        """
        in_touch = self._now() - self._in_touch_at <= self._settings.bounds.contact_ms
        return self._fetch.confirmed and in_touch

    def hear_of_version(self, peer: str, version: int) -> None:
        """A peer's ping tells which version it has in force."""
        self._peers.heard(peer, version, self._now())

    def learn(self, addresses: Iterable[str]) -> None:
        """Internal addresses of control processes that a peer told."""
        for address in addresses:
            self._learnt.pop(address, None)
            self._learnt[address] = None
        while len(self._learnt) > MAX_LEARNT:
            del self._learnt[next(iter(self._learnt))]

    def configure(self, settings: LocalSettings) -> None:
        """The settings file has changed."""
        self._settings = settings

    def tick(self) -> None:
        """Do what is due; call it about every `TICK_S`."""
        now = self._now()
        self._keep_links(now)
        self._ask_again(now)
        self._ask(now)
        self._peers.tick(now, wanted=self._wants_peers(now))
        if now - self._forgot_at >= FORGET_CHECK_MS:
            self._forgot_at = now
            self._view.expire(now)
            self._deliver_soon()

    def _wants_peers(self, now: float) -> bool:
        """Whether a newer version of a peer is better than waiting for control."""
        waits_for_control = not self._fetch.confirmed and now - self._started_at > CONFIRMED_MS
        return waits_for_control or now - self._in_touch_at > ALONE_MS

    # Links

    def _seeds(self) -> list[str]:
        port = self._settings.control_internal_port
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in self._settings.seed_nodes]

    def _keep_links(self, now: float) -> None:
        connected = self._links.connected()
        if sum(voter in connected for voter in self.voters) * 2 > len(self.voters):
            self._in_touch_at = now
        wanted = set(self.voters[:MAX_VOTERS])
        if not self.voters:
            wanted.update(self._seeds(), self._learnt)
        elif now - self._in_touch_at > ALONE_MS:
            wanted.update(self._seeds(), self._learnt)
        wanted.discard(self._links.own.address)
        for address in sorted(wanted - self._wanted):
            self._links.connect(address)
        for address in sorted(self._wanted - wanted):
            self._links.disconnect(address)
            self._forget_source(address, now)
        self._wanted = wanted
        for address in sorted(wanted.intersection(connected).difference(self._subscribed)):
            self._subscribe(address)

    def _forget_source(self, address: str, now: float) -> None:
        self._subscribed.pop(address, None)
        self._fetch.on_disconnected(address)
        self._view.remove_source(address, now)
        self._deliver_soon()

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        now = self._now()
        self._subscribed.pop(address, None)
        self._fetch.on_disconnected(address)
        if hello is None:
            self._view.on_disconnected(address, now)
            self._deliver_soon()
        elif hello.role == CONTROL and address in self._wanted:
            self._subscribe(address)

    def _subscribe(self, address: str) -> None:
        """Ask a source for all that is missing here."""
        offsets = []
        for shard in range(SHARD_COUNT):
            position = self._view.position(address, shard)
            if position is not None:
                offsets.append(messages.ShardOffset(shard, position[0], position[1]))
        if self._links.send(address, messages.FeedSubscribe(self.version, offsets)):
            self._subscribed[address] = Subscription(self._now())
            self._view.on_connected(address, self._now())

    def _ask_again(self, now: float) -> None:
        """Subscribe anew where a source has not answered in full."""
        for address, subscription in list(self._subscribed.items()):
            unanswered = len(subscription.shards) < SHARD_COUNT
            if unanswered and now - subscription.at >= ANSWER_MS:
                log.warning(
                    "subscription not answered: source=%s shards=%d", address, len(subscription.shards)
                )
                self._subscribe(address)

    def _take_members(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.Members)
        self.learn(hello.address for hello in message.controls)
        if not message.voters or message.voters_index <= self._voters_index:
            return
        self._voters_index = message.voters_index
        self.voters = list(message.voters)
        log.info("voters: index=%d voters=%s", self._voters_index, ",".join(self.voters))
        self._keep_links(self._now())
        for handler in self.on_voters:
            handler(self.voters)

    # The configuration

    def _take_offer(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigOffer)
        if sender in self._subscribed:
            self._fetch.on_offer(sender, message.version, message.confirmed)
            self._ask(self._now())

    def _ask(self, now: float) -> None:
        source = self._fetch.next_source(now)
        if source is not None:
            self._links.send(source, messages.ConfigFetch(have_version=self.version))

    def _take_piece(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigPiece)
        if message.version <= self.version:
            return
        try:
            configuration = self._read_piece(message)
        except (zlib.error, msgspec.MsgspecError, configuration_delta.DeltaMismatchError) as error:
            log.warning("configuration not taken: source=%s error=%s", sender, error)
            return  # the next source is asked as if nothing had come: a bad one costs little
        self._configuration = configuration
        self._peers.taken(configuration)
        self._fetch.on_applied(message.version)
        log.info("configuration in force: version=%d source=%s", message.version, sender)
        self._on_configuration(configuration)
        self._ask(self._now())

    def _read_piece(self, message: messages.ConfigPiece) -> Configuration:
        inflater = zlib.decompressobj()
        document = inflater.decompress(message.document, MAX_DOCUMENT_BYTES)
        if message.base_version == 0:
            return msgspec.json.decode(document, type=Configuration)
        delta = msgspec.json.decode(document, type=ConfigurationDelta)
        if self._configuration is None:
            raise configuration_delta.DeltaMismatchError("there is nothing here that the delta could change")
        return configuration_delta.apply(self._configuration, delta)

    # The list of servers

    def _take_changes(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.InstanceChanges)
        subscription = self._subscribed.get(sender)
        if subscription is None:
            return
        subscription.shards.add(message.shard)
        taken = self._view.apply_update(
            sender,
            message.shard,
            (message.epoch, message.offset),
            from_messages(message.records),
            snapshot=message.snapshot,
            settled=message.settled,
            now=self._now(),
        )
        if not taken:
            self._view.remove_source(sender, self._now())
            self._subscribe(sender)
        self._deliver_soon()

    def _deliver_soon(self) -> None:
        if self._view.changed_services and not self._delivery_due:
            self._delivery_due = True
            asyncio.get_running_loop().call_soon(self._deliver)

    def _deliver(self) -> None:
        """Hand over the list of each service in which something changed."""
        self._delivery_due = False
        changed, self._view.changed_services = self._view.changed_services, set()
        now = self._now()
        for service in sorted(changed - {""}):
            self._on_servers(service, self._view.offered_records(service, now))

    async def _keep_ticking(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()
