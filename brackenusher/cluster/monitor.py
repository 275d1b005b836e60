"""Membership: pings between peers over UDP, reports to the control plane, and the resulting member list.

Runs in every process. Control processes learn of members by their links, merge the reports of the monitoring
peers and send each member the changes. Pings carry the addresses of the voters, so that a process that
restarts while its seeds are down finds the control plane again. They also carry the version of the applied
configuration, so that a proxy learns of a newer version even if the control process it asks does not have it.
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
from brackenusher.cluster.base_exchange import FallbackShareExchange
from brackenusher.cluster.frames import FrameDecoder, FrameError, encode_frame
from brackenusher.cluster.key_leases import KeyLease
from brackenusher.cluster.links import Links, split_address
from brackenusher.cluster.lives import first_request_number
from brackenusher.settings.local import LocalSettings

log = logging.getLogger(__name__)

CONTROL_ROLE = "control"
PROXY_ROLE = "proxy"
MEMBER_UPDATE_INTERVAL_MS = 1000.0  # between updates that a control process sends to members
UPDATE_SENDERS_PER_MEMBER = 2  # control processes that update one member: one may be disconnected
MAX_DATAGRAM_BYTES = 1400  # pings are far smaller; larger datagrams are ignored
MAX_PENDING_PINGS = 64  # unanswered pings that are remembered
EXTRA_PING_NUMBER_OFFSET = 1 << 10  # apart from the numbers of the periodic pings, one a second


class Monitor(asyncio.DatagramProtocol):
    """Membership of one process. Times are milliseconds of the event loop's clock."""

    def __init__(self, settings: LocalSettings, links: Links, rng: random.Random) -> None:
        self.members: dict[
            str, messages.MemberView
        ] = {}  # latest list from the control plane, by internal address
        self.on_members: list[Callable[[list[messages.MemberView]], None]] = []  # get all members
        self.on_control_addresses: list[Callable[[list[str]], None]] = []  # get the voters named in a ping
        self.on_peer_version: list[Callable[[str, int], None]] = []  # get a peer and its version
        self.applied_version: Callable[[], int] = lambda: 0  # version of the configuration applied here
        self.share_exchange: FallbackShareExchange | None = None  # proxies only
        self.key_lease: KeyLease | None = None  # proxies only
        self._extra_ping_numbers = count(first_request_number(links.own) + EXTRA_PING_NUMBER_OFFSET)
        self._pending_pings: dict[int, float] = {}  # send times of unanswered pings, by number
        self._links = links
        self._own_address = links.own.address
        self._is_control = links.own.role == CONTROL_ROLE
        self._loop = asyncio.get_running_loop()
        self._peer_monitor = PeerMonitor(self._own_address, first_request_number(links.own))
        self._member_table = MemberTable()
        self._merged_lists = MergedMemberLists()
        if self._is_control:
            self._member_table.on_connected(self._own_address, _member_from_hello(links.own))
        self._voters: list[str] = []
        self._voters_index = -1
        self._updates_sent_at = self._now() - rng.random() * MEMBER_UPDATE_INTERVAL_MS
        self._transport: asyncio.DatagramTransport | None = None
        links.on_message(messages.Members, self._handle_members)
        links.on_message(messages.MemberViews, self._handle_member_views)
        links.on_message(messages.PeerReport, self._handle_peer_report)
        links.on_change(self._handle_link_change)

    async def start(self) -> None:
        """Listens for pings at the internal address. Raises OSError."""
        host, port = split_address(self._own_address)
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    async def stop(self) -> None:
        """Closes the datagram socket."""
        if self._transport is not None:
            self._transport.close()

    def tick(self) -> None:
        """Sends due pings, reports and updates; to be called at least every 100 ms."""
        now = self._now()
        for ping in self._peer_monitor.tick(now):
            self._send_ping(ping.target, ping.number, now)
        for report in self._peer_monitor.take_reports():
            self._send_report(report, now)
        if self._is_control and now - self._updates_sent_at >= MEMBER_UPDATE_INTERVAL_MS:
            self._updates_sent_at = now
            self._send_changes(now)

    def _send_ping(self, target: str, number: int, now: float) -> None:
        ping = messages.Ping(number, self._own_address, self._voters[:MAX_VOTERS], self.applied_version())
        if self.share_exchange is not None:
            self.share_exchange.fill_ping(ping, target, now)
        self._pending_pings[number] = now
        while len(self._pending_pings) > MAX_PENDING_PINGS:
            del self._pending_pings[next(iter(self._pending_pings))]
        self._send_datagram(target, ping)

    def count_proxies(self) -> int:
        """Returns the number of proxies known to run, including this process if it is one."""
        running = {a for a, view in self.members.items() if view.role == PROXY_ROLE and not view.suspected}
        if not self._is_control:
            running.add(self._own_address)
        return len(running)

    # Datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's datagram transport doesn't derive from DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            for message in FrameDecoder().feed(data):
                self._handle_datagram(message)
        except FrameError as error:
            log.warning("datagram ignored: sender=%s error=%s", addr, error)

    def error_received(self, exc: Exception) -> None:
        """Ignored: a closed port shows as an unanswered ping."""

    def _handle_datagram(self, message: betterproto.Message) -> None:
        if isinstance(message, messages.Ping):
            self._answer_ping(message)
            self._handle_control_addresses(message.controls)
            self._handle_peer_version(message.sender, message.config_version)
        elif isinstance(message, messages.PingAck):
            now = self._now()
            self._peer_monitor.on_answer(message.sender, message.number, now)
            self._handle_peer_version(message.sender, message.config_version)
            sent_at = self._pending_pings.pop(message.number, None)
            if self.share_exchange is not None and sent_at is not None:
                self.share_exchange.on_ping_ack(message, sent_at, now)
            if self.key_lease is not None and sent_at is not None:
                self.key_lease.on_ping_ack(message, sent_at)

    def _answer_ping(self, ping: messages.Ping) -> None:
        now = self._now()
        ack = messages.PingAck(ping.number, self._own_address, self.applied_version())
        if self.share_exchange is not None:
            self.share_exchange.fill_ping_ack(ack, ping, now)
        if self.key_lease is not None:
            self.key_lease.fill_ping_ack(ack)
        self._send_datagram(ping.sender, ack)
        if self.share_exchange is not None and self.share_exchange.should_ping_back(ping, now):
            self._send_ping(ping.sender, next(self._extra_ping_numbers), now)

    def _send_datagram(self, address: str, message: betterproto.Message) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(encode_frame(message), split_address(address))
        except (OSError, ValueError) as error:
            log.warning("datagram not sent: peer=%s error=%s", address, error)

    def _handle_control_addresses(self, addresses: list[str]) -> None:
        if not addresses:
            return
        for handler in self.on_control_addresses:
            handler(list(addresses))
        if self._is_control and not self._control_peers():
            for address in addresses:
                self._links.connect(address)

    def _handle_peer_version(self, peer: str, version: int) -> None:
        if version:
            for handler in self.on_peer_version:
                handler(peer, version)

    # Reports and member lists

    def _control_peers(self) -> list[str]:
        return [
            a
            for a, hello in self._links.connected().items()
            if hello.role == CONTROL_ROLE and a != self._own_address
        ]

    def _send_report(self, report: ReachabilityReport, now: float) -> None:
        if self._is_control:
            self._member_table.on_report(self._own_address, report, now)
        message = messages.PeerReport(address=report.address, reachable=report.reachable)
        for peer in self._control_peers():
            self._links.send(peer, message)

    def _handle_peer_report(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.PeerReport)
        self._member_table.on_report(
            sender, ReachabilityReport(message.address, message.reachable), self._now()
        )

    def _handle_link_change(self, address: str, hello: messages.Hello | None) -> None:
        if not self._is_control:
            if hello is not None:
                self._merged_lists.on_connected(address)
            return
        if hello is None:
            self._member_table.on_disconnected(address, self._now())
            return
        self._member_table.on_connected(address, _member_from_hello(hello))
        if self._sends_updates_to(address):
            self._send_update(address, self._member_table.statuses(self._now()))

    def _send_changes(self, now: float) -> None:
        changed_statuses = self._member_table.take_changes(now)
        if not changed_statuses:
            return
        for address in self._links.connected():
            if self._sends_updates_to(address):
                self._send_update(address, changed_statuses)
        self._set_members({view.address: view for view in self._member_table.statuses(now)})

    def _sends_updates_to(self, address: str) -> bool:
        """Whether this control process sends updates to a member: only a few do for each member."""
        return not self._voters or self._own_address in self._update_senders(address)

    def _update_senders(self, address: str) -> list[str]:
        return ranked(address, self._voters)[:UPDATE_SENDERS_PER_MEMBER]

    def _send_update(self, address: str, statuses: list[MemberStatus]) -> None:
        self._links.send(address, messages.MemberViews([to_message(view) for view in statuses]))

    def _handle_member_views(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.MemberViews)
        if not self._is_control:
            self._merged_lists.apply_update(sender, [from_message(view) for view in message.members])
            if self._voters:
                self._merged_lists.retain_sources(self._update_senders(self._own_address))
            self._set_members(self._merged_lists.members())

    def _set_members(self, members: dict[str, MemberStatus]) -> None:
        self.members = {address: to_message(view) for address, view in members.items()}
        self._peer_monitor.set_members(members)
        for handler in self.on_members:
            handler(list(self.members.values()))

    def _handle_members(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.Members)
        if message.voters and message.voters_index > self._voters_index:
            self._voters, self._voters_index = list(message.voters), message.voters_index

    def _now(self) -> float:
        return self._loop.time() * 1000.0


def _member_from_hello(hello: messages.Hello) -> Member:
    return Member(hello.role, hello.node_name, hello.zone, hello.incarnation)


def to_message(status: MemberStatus) -> messages.MemberView:
    """Encodes a member's status; incarnation 0 marks a removed member."""
    return messages.MemberView(
        address=status.address,
        role=status.role,
        node_name=status.node_name,
        zone=status.zone,
        incarnation=0 if status.removed else status.incarnation,
        suspected=status.suspected,
    )


def from_message(message: messages.MemberView) -> MemberStatus:
    """Decodes a member's status."""
    return MemberStatus(
        address=message.address,
        role=message.role,
        node_name=message.node_name,
        zone=message.zone,
        incarnation=message.incarnation,
        suspected=message.suspected,
        removed=message.incarnation == 0,
    )
