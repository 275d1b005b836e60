"""Membership: pings between peers by datagram, reports to the control plane, and its view of all members.

Runs in every process. Control processes learn of members by their links, bring the reports of monitors
together and tell each member what has changed. Pings carry the addresses of the voters, so that a process
that comes back while its seeds are down finds control again. They carry the version of the configuration in
force, so that it knows of a newer one than control may have left.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from itertools import count
from typing import cast

import betterproto

from barleybarrow.consensus.voter_selection import MAX_VOTERS
from barleybarrow.replication.monitoring import (
    Member,
    MemberStatus,
    MemberTable,
    MergedMemberLists,
    PeerMonitor,
    ReachabilityReport,
)
from barleybarrow.replication.rendezvous import ranked
from brackenusher.cluster import messages
from brackenusher.cluster.base_exchange import BaseExchange
from brackenusher.cluster.frames import FrameError, FrameReader, encode_frame
from brackenusher.cluster.key_leases import KeyLease
from brackenusher.cluster.links import Links, split_address
from brackenusher.cluster.lives import first_number
from brackenusher.settings.local import LocalSettings

log = logging.getLogger(__name__)

CONTROL = "control"
PROXY = "proxy"
TELL_PERIOD_MS = 1000.0  # between two looks of a control process at what has changed
TELLERS = 2  # control processes that tell one member: one may be cut off
MAX_DATAGRAM_BYTES = 1400  # pings are far shorter
MOST_ASKED = 64  # pings whose answers are waited for
EXTRA_NUMBERS = 1 << 10  # beside those of regular pings, which come once a second


class Monitor(asyncio.DatagramProtocol):
    """The part of one process in membership. Times are milliseconds of the loop's clock."""

    def __init__(self, settings: LocalSettings, links: Links, rng: random.Random) -> None:
        self.members: dict[str, messages.MemberView] = {}  # as told by control, by internal address
        self.on_members: list[Callable[[list[messages.MemberView]], None]] = []  # all, at each change
        self.on_controls: list[Callable[[list[str]], None]] = []  # voters that a peer's ping names
        self.on_version: list[Callable[[str, int], None]] = []  # a peer, and what it has in force
        self.own_version: Callable[[], int] = lambda: 0  # of the configuration in force here
        self.bases: BaseExchange | None = None  # of a proxy
        self.key_lease: KeyLease | None = None  # of a proxy
        self._numbers = count(first_number(links.own) + EXTRA_NUMBERS)
        self._asked: dict[int, float] = {}  # when pings were sent that may still be answered, by number
        self._links = links
        self._own = links.own.address
        self._is_control = links.own.role == CONTROL
        self._loop = asyncio.get_running_loop()
        self._pings = PeerMonitor(self._own, first_number(links.own))
        self._table = MemberTable()
        self._told = MergedMemberLists()
        if self._is_control:
            self._table.on_connected(self._own, _member(links.own))
        self._voters: list[str] = []
        self._voters_index = -1
        self._told_at = self._now() - rng.random() * TELL_PERIOD_MS
        self._transport: asyncio.DatagramTransport | None = None
        links.on_message(messages.Members, self._take_members)
        links.on_message(messages.MemberViews, self._take_views)
        links.on_message(messages.PeerReport, self._take_report)
        links.on_change(self._link_changed)

    async def start(self) -> None:
        """Listen for pings at the internal address. Raises OSError."""
        host, port = split_address(self._own)
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    async def stop(self) -> None:
        """Listen no more."""
        if self._transport is not None:
            self._transport.close()

    def tick(self) -> None:
        """Do what is due; call it every 100 ms or more often."""
        now = self._now()
        for order in self._pings.tick(now):
            self._ping(order.target, order.number, now)
        for report in self._pings.take_reports():
            self._report(report, now)
        if self._is_control and now - self._told_at >= TELL_PERIOD_MS:
            self._told_at = now
            self._tell_changes(now)

    def _ping(self, target: str, number: int, now: float) -> None:
        ping = messages.Ping(number, self._own, self._voters[:MAX_VOTERS], self.own_version())
        if self.bases is not None:
            self.bases.fill_ping(ping, target, now)
        self._asked[number] = now
        while len(self._asked) > MOST_ASKED:
            del self._asked[next(iter(self._asked))]
        self._send(target, ping)

    def proxies(self) -> int:
        """How many proxies run, as far as known; this one counts."""
        running = {a for a, view in self.members.items() if view.role == PROXY and not view.suspected}
        if not self._is_control:
            running.add(self._own)
        return len(running)

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The loop's own datagram transport derives from another base than DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            for message in FrameReader().feed(data):
                self._take_datagram(message)
        except FrameError as error:
            log.warning("datagram ignored: sender=%s error=%s", addr, error)

    def error_received(self, exc: Exception) -> None:
        """A port is closed: the ping has no answer, which is noticed anyway."""

    def _take_datagram(self, message: betterproto.Message) -> None:
        if isinstance(message, messages.Ping):
            self._answer(message)
            self._hear_of_controls(message.controls)
            self._hear_of_version(message.sender, message.config_version)
        elif isinstance(message, messages.PingAck):
            now = self._now()
            self._pings.on_answer(message.sender, message.number, now)
            self._hear_of_version(message.sender, message.config_version)
            asked_at = self._asked.pop(message.number, None)
            if self.bases is not None and asked_at is not None:
                self.bases.answered(message, asked_at, now)
            if self.key_lease is not None and asked_at is not None:
                self.key_lease.peer_answered(message, asked_at)

    def _answer(self, ping: messages.Ping) -> None:
        now = self._now()
        answer = messages.PingAck(ping.number, self._own, self.own_version())
        if self.bases is not None:
            self.bases.fill_answer(answer, ping, now)
        if self.key_lease is not None:
            self.key_lease.fill_answer(answer)
        self._send(ping.sender, answer)
        if self.bases is not None and self.bases.wants_answer(ping, now):
            self._ping(ping.sender, next(self._numbers), now)

    def _send(self, address: str, message: betterproto.Message) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(encode_frame(message), split_address(address))
        except (OSError, ValueError) as error:
            log.warning("datagram not sent: peer=%s error=%s", address, error)

    def _hear_of_controls(self, addresses: list[str]) -> None:
        if not addresses:
            return
        for handler in self.on_controls:
            handler(list(addresses))
        if self._is_control and not self._control_peers():
            for address in addresses:
                self._links.connect(address)

    def _hear_of_version(self, peer: str, version: int) -> None:
        if version:
            for handler in self.on_version:
                handler(peer, version)

    # Reports and views

    def _control_peers(self) -> list[str]:
        return [a for a, hello in self._links.connected().items() if hello.role == CONTROL and a != self._own]

    def _report(self, report: ReachabilityReport, now: float) -> None:
        if self._is_control:
            self._table.on_report(self._own, report, now)
        message = messages.PeerReport(address=report.address, reachable=report.reachable)
        for peer in self._control_peers():
            self._links.send(peer, message)

    def _take_report(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.PeerReport)
        self._table.on_report(sender, ReachabilityReport(message.address, message.reachable), self._now())

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        if not self._is_control:
            if hello is not None:
                self._told.on_connected(address)
            return
        if hello is None:
            self._table.on_disconnected(address, self._now())
            return
        self._table.on_connected(address, _member(hello))
        if self._tells(address):
            self._send_views(address, self._table.statuses(self._now()))

    def _tell_changes(self, now: float) -> None:
        changed = self._table.take_changes(now)
        if not changed:
            return
        for address in self._links.connected():
            if self._tells(address):
                self._send_views(address, changed)
        self._use({view.address: view for view in self._table.statuses(now)})

    def _tells(self, address: str) -> bool:
        """Whether it is this control process that tells a member: each is told by few."""
        return not self._voters or self._own in self._tellers(address)

    def _tellers(self, address: str) -> list[str]:
        return ranked(address, self._voters)[:TELLERS]

    def _send_views(self, address: str, views: list[MemberStatus]) -> None:
        self._links.send(address, messages.MemberViews([to_message(view) for view in views]))

    def _take_views(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.MemberViews)
        if not self._is_control:
            self._told.apply_update(sender, [from_message(view) for view in message.members])
            if self._voters:
                self._told.retain_sources(self._tellers(self._own))
            self._use(self._told.members())

    def _use(self, members: dict[str, MemberStatus]) -> None:
        self.members = {address: to_message(view) for address, view in members.items()}
        self._pings.set_members(members)
        for handler in self.on_members:
            handler(list(self.members.values()))

    def _take_members(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.Members)
        if message.voters and message.voters_index > self._voters_index:
            self._voters, self._voters_index = list(message.voters), message.voters_index

    def _now(self) -> float:
        return self._loop.time() * 1000.0


def _member(hello: messages.Hello) -> Member:
    return Member(hello.role, hello.node_name, hello.zone, hello.incarnation)


def to_message(view: MemberStatus) -> messages.MemberView:
    """A view as a message; a removed member has no incarnation."""
    return messages.MemberView(
        address=view.address,
        role=view.role,
        node_name=view.node_name,
        zone=view.zone,
        incarnation=0 if view.removed else view.incarnation,
        suspected=view.suspected,
    )


def from_message(message: messages.MemberView) -> MemberStatus:
    """A message as a view."""
    return MemberStatus(
        address=message.address,
        role=message.role,
        node_name=message.node_name,
        zone=message.zone,
        incarnation=message.incarnation,
        suspected=message.suspected,
        removed=message.incarnation == 0,
    )
