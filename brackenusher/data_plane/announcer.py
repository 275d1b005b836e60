"""Tells the other proxies by datagram what this one has just sent where, and passes on what they tell.

A datagram may be lost or late: the dispatcher decides well without it, only less so. Nothing is answered.
"""

import asyncio
import logging
from collections.abc import Iterable, Sequence
from typing import Protocol, cast

from barleybarrow.routing.announcements import Announcement, AnnouncementBox, decode, encode

log = logging.getLogger(__name__)

PORT_OFFSET = 2  # from the first internal port: those before are the control's and the proxy's own
GATHER_S = 0.004  # sends within this time share a datagram: a prompt takes some times longer to read
MOST_AT_ONCE = 12  # announcements in a datagram: the longest names fit into one packet
MAX_DATAGRAM_BYTES = 1400


class Listener(Protocol):
    """The part of the dispatcher that takes and gives news; times are milliseconds."""

    news: AnnouncementBox

    def announcements(self) -> list[Announcement]:
        """Own news."""

    def heard(self, now: float, peer: str, announcements: Sequence[Announcement]) -> None:
        """News of another proxy."""


class Announcer(asyncio.DatagramProtocol):
    """One proxy's announcements; `first_port` is the first of its internal ports."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: Listener, ip: str, first_port: int) -> None:
        self._loop = loop
        self._listener = listener
        self._ip = ip
        self._port = first_port + PORT_OFFSET
        self._peers: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self.sent = self.received = self.unreadable = 0
        listener.news.on_first = self._schedule

    async def start(self) -> None:
        """Listen. Raises OSError."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(self._ip, self._port))

    def stop(self) -> None:
        """Tell and hear nothing more."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Take the internal addresses ("ip:port") of all proxies; this one may be among them."""
        self._peers = {address.rpartition(":")[0] for address in addresses} - {self._ip}

    def flush(self) -> None:
        """Tell what there is now."""
        news = self._listener.announcements()
        if self._transport is None or not self._peers:
            return
        for start in range(0, len(news), MOST_AT_ONCE):
            data = encode(news[start : start + MOST_AT_ONCE])
            if len(data) <= MAX_DATAGRAM_BYTES:
                self._tell(data)

    def _schedule(self) -> None:
        self._loop.call_later(GATHER_S, self.flush)

    def _tell(self, data: bytes) -> None:
        assert self._transport is not None
        for peer in self._peers:
            self._transport.sendto(data, (peer, self._port))
        self.sent += 1

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The loop's own datagram transport derives from another base than DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if addr[0] not in self._peers:
            return
        try:
            news = decode(data)
        except ValueError as error:
            self.unreadable += 1
            log.warning("announcement ignored: peer=%s error=%s", addr[0], error)
            return
        self.received += 1
        self._listener.heard(self._loop.time() * 1000.0, addr[0], news)

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed: it will be gone from the list soon."""
