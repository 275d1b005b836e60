"""Announces to the other proxies, by datagram, the requests just sent, and forwards their announcements.

Datagrams may be lost or late: the dispatcher works without them, only less accurately. `AnnouncementRelay`
decides where each one goes.
"""

import asyncio
import logging
import secrets
from collections.abc import Iterable, Sequence
from typing import Protocol, cast

from barleybarrow.routing.announcement_relay import AnnouncementRelay, ForwardingScope, OutgoingMessage
from barleybarrow.routing.announcements import Announcement, AnnouncementQueue
from brackenusher.data_plane.announcement_datagrams import decode, encode

log = logging.getLogger(__name__)

PORT_OFFSET = 2  # from the first internal port; the two before it belong to control and to the proxy's links
BATCH_DELAY_S = 0.004  # requests sent within this time share a datagram; prefill takes several times longer
RELAY_BATCH_DELAY_S = 0.020  # updates are then about 15 ms old within a zone: half of a prefill
RESTATE_INTERVAL_S = 2.0  # repeats what still holds, for lost datagrams and proxies that have just started
INITIAL_SEQUENCE_BITS = 32  # random start: a restarted process does not reuse its predecessor's numbers
ACKNOWLEDGE_INTERVAL_S = 0.1  # at most, between acknowledgements to a relay of another group that sends


class AnnouncementHandler(Protocol):
    """The dispatcher's interface for announcements; times are milliseconds."""

    announcement_queue: AnnouncementQueue

    def take_announcements(self) -> list[Announcement]:
        """Take this proxy's queued announcements."""

    def restated_announcements(self) -> list[Announcement]:
        """Announcements made earlier that still hold."""

    def receive_announcements(self, now: float, peer: str, announcements: Sequence[Announcement]) -> None:
        """Handle announcements of another proxy."""


class Announcer(asyncio.DatagramProtocol):
    """Sends and receives one proxy's announcements; `first_port` is the first of its internal ports."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: AnnouncementHandler, ip: str, first_port: int
    ) -> None:
        self._loop = loop
        self._handler = handler
        self._ip = ip
        self._port = first_port + PORT_OFFSET
        self._relay = AnnouncementRelay(ip, secrets.randbits(INITIAL_SEQUENCE_BITS))
        self._peers: set[str] = set()
        self._acknowledged_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._relay_timer: asyncio.TimerHandle | None = None
        self._restate_timer: asyncio.TimerHandle | None = None
        self.sent = self.received = self.unreadable = self.relayed = 0
        handler.announcement_queue.on_nonempty = self._schedule_flush

    async def start(self) -> None:
        """Start to listen. Raises OSError."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(self._ip, self._port))
        self._restate()

    def stop(self) -> None:
        """Close the socket and cancel all timers."""
        for timer in (self._relay_timer, self._restate_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_peers(self, zones: dict[str, str]) -> None:
        """Set the zones of all proxies by internal address ("ip:port"); this one may be among them."""
        by_ip = {address.rpartition(":")[0]: zone for address, zone in zones.items()}
        self._relay.set_proxies(by_ip)
        self._peers = set(by_ip) - {self._ip}
        self._acknowledged_at = {ip: at for ip, at in self._acknowledged_at.items() if ip in self._peers}

    def counts(self) -> dict[str, float]:
        """Datagrams sent, received and unreadable, and the number of forwarding rounds, since the start."""
        return {
            "sent": float(self.sent),
            "received": float(self.received),
            "unreadable": float(self.unreadable),
            "relayed": float(self.relayed),
        }

    def flush(self) -> None:
        """Send the queued announcements now."""
        announcements = self._handler.take_announcements()
        if announcements:
            self._announce(announcements)

    def _restate(self) -> None:
        self._announce(self._handler.restated_announcements())
        self._restate_timer = self._loop.call_later(RESTATE_INTERVAL_S, self._restate)

    def _announce(self, announcements: list[Announcement]) -> None:
        if self._transport is None or not self._peers:
            return
        self._send(self._relay.messages_for(self._now_ms(), announcements))
        self._schedule_relay()

    def _schedule_flush(self) -> None:
        self._loop.call_later(BATCH_DELAY_S, self.flush)

    def _schedule_relay(self) -> None:
        if self._relay_timer is None and self._relay.has_pending:
            self._relay_timer = self._loop.call_later(RELAY_BATCH_DELAY_S, self._forward)

    def _forward(self) -> None:
        self._relay_timer = None
        self.relayed += 1
        self._send(self._relay.take_forwards(self._now_ms()))

    def _send(self, messages: Iterable[OutgoingMessage]) -> None:
        """Send messages; consecutive ones with the same updates are encoded once."""
        encoded: list[bytes] = []
        previous: OutgoingMessage | None = None
        for message in messages:
            if (
                previous is None
                or message.updates is not previous.updates
                or message.scope is not previous.scope
            ):
                encoded = encode(message.scope, message.updates)
                previous = message
            for data in encoded:
                self._send_datagram(data, message.receiver)

    def _send_datagram(self, data: bytes, receiver: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (receiver, self._port))
            self.sent += 1

    def _acknowledge(self, sender: str) -> None:
        """Tell a relay of another group that this proxy is reachable."""
        now = self._loop.time()
        if now - self._acknowledged_at.get(sender, -ACKNOWLEDGE_INTERVAL_S) >= ACKNOWLEDGE_INTERVAL_S:
            self._acknowledged_at[sender] = now
            self._send([OutgoingMessage(sender, ForwardingScope.RECEIVER, [])])

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # asyncio's datagram transport does not derive from DatagramTransport
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        sender = addr[0]
        if sender not in self._peers:
            return
        try:
            scope, updates = decode(data)
        except ValueError as error:
            self.unreadable += 1
            log.warning("announcement ignored: peer=%s error=%s", sender, error)
            return
        self.received += 1
        now = self._now_ms()
        for update in self._relay.receive(now, sender, scope, updates):
            self._handler.receive_announcements(now, update.origin, update.announcements)
        if scope is ForwardingScope.GROUP:
            self._acknowledge(sender)
        self._schedule_relay()

    def error_received(self, exc: Exception) -> None:
        """Ignored: a peer whose port is closed will soon be removed from the list of proxies."""
