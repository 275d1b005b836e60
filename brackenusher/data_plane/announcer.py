"""Tells the other proxies by datagram what this one has just sent where, and passes on what they tell.

A datagram may be lost or late: the dispatcher decides well without it, only less so. Where each one goes is
decided by `AnnouncementRelay`.
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

PORT_OFFSET = 2  # from the first internal port: those before are the control's and the proxy's own
GATHER_S = 0.004  # sends within this time share a datagram: a prompt takes some times longer to read
RELAY_GATHER_S = 0.020  # a message is then some 15 ms old in its zone: half of what a prompt takes to read
RESTATE_S = 2.0  # announcements are lost now and then, and proxies come and go: what lasts is told again
SEQUENCE_BITS = 32  # of the first sequence number: a process that starts anew repeats none of the last one's
ACKNOWLEDGE_S = 0.1  # a relay of another group hears from this one at least so often while it sends


class Listener(Protocol):
    """The part of the dispatcher that takes and gives announcements; times are milliseconds."""

    announcement_queue: AnnouncementQueue

    def take_announcements(self) -> list[Announcement]:
        """Own announcements."""

    def restated_announcements(self) -> list[Announcement]:
        """What was told before and still holds."""

    def receive_announcements(self, now: float, peer: str, announcements: Sequence[Announcement]) -> None:
        """Announcements of another proxy."""


class Announcer(asyncio.DatagramProtocol):
    """One proxy's announcements; `first_port` is the first of its internal ports."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: Listener, ip: str, first_port: int) -> None:
        self._loop = loop
        self._listener = listener
        self._ip = ip
        self._port = first_port + PORT_OFFSET
        self._relay = AnnouncementRelay(ip, secrets.randbits(SEQUENCE_BITS))
        self._peers: set[str] = set()
        self._acknowledged_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._relay_timer: asyncio.TimerHandle | None = None
        self._restate_timer: asyncio.TimerHandle | None = None
        self.sent = self.received = self.unreadable = self.relayed = 0
        listener.announcement_queue.on_nonempty = self._schedule

    async def start(self) -> None:
        """Listen. Raises OSError."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(self._ip, self._port))
        self._restate()

    def stop(self) -> None:
        """Tell and hear nothing more."""
        for timer in (self._relay_timer, self._restate_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_peers(self, zones: dict[str, str]) -> None:
        """Take the zones of all proxies by internal address ("ip:port"); this one may be among them."""
        by_ip = {address.rpartition(":")[0]: zone for address, zone in zones.items()}
        self._relay.set_proxies(by_ip)
        self._peers = set(by_ip) - {self._ip}
        self._acknowledged_at = {ip: at for ip, at in self._acknowledged_at.items() if ip in self._peers}

    def counts(self) -> dict[str, float]:
        """Datagrams sent, received and unreadable, and how often news was passed on, since the start."""
        return {
            "sent": float(self.sent),
            "received": float(self.received),
            "unreadable": float(self.unreadable),
            "relayed": float(self.relayed),
        }

    def flush(self) -> None:
        """Tell what there is now."""
        announcements = self._listener.take_announcements()
        if announcements:
            self._tell(announcements)

    def _restate(self) -> None:
        self._tell(self._listener.restated_announcements())
        self._restate_timer = self._loop.call_later(RESTATE_S, self._restate)

    def _tell(self, announcements: list[Announcement]) -> None:
        if self._transport is None or not self._peers:
            return
        self._send(self._relay.messages_for(self._now_ms(), announcements))
        self._schedule_relay()

    def _schedule(self) -> None:
        self._loop.call_later(GATHER_S, self.flush)

    def _schedule_relay(self) -> None:
        if self._relay_timer is None and self._relay.has_pending:
            self._relay_timer = self._loop.call_later(RELAY_GATHER_S, self._pass_on)

    def _pass_on(self) -> None:
        self._relay_timer = None
        self.relayed += 1
        self._send(self._relay.take_forwards(self._now_ms()))

    def _send(self, messages: Iterable[OutgoingMessage]) -> None:
        """Send messages; those with the same updates in a row are encoded once."""
        encoded: list[bytes] = []
        before: OutgoingMessage | None = None
        for message in messages:
            if before is None or message.updates is not before.updates or message.scope is not before.scope:
                encoded = encode(message.scope, message.updates)
                before = message
            for data in encoded:
                self._send_datagram(data, message.receiver)

    def _send_datagram(self, data: bytes, receiver: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (receiver, self._port))
            self.sent += 1

    def _acknowledge(self, sender: str) -> None:
        """Let a relay of another group know that this one is there."""
        now = self._loop.time()
        if now - self._acknowledged_at.get(sender, -ACKNOWLEDGE_S) >= ACKNOWLEDGE_S:
            self._acknowledged_at[sender] = now
            self._send([OutgoingMessage(sender, ForwardingScope.RECEIVER, [])])

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The loop's own datagram transport derives from another base than DatagramTransport.
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
        for told in self._relay.receive(now, sender, scope, updates):
            self._listener.receive_announcements(now, told.origin, told.announcements)
        if scope is ForwardingScope.GROUP:
            self._acknowledge(sender)
        self._schedule_relay()

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed: it will be gone from the list soon."""
