"""What clients of a run have on its way: operations, their tries, and the connections that carry them."""

import asyncio
import socket
from typing import Protocol, cast

from testbed.model.arrivals import Asked
from testbed.sockets import http


class Op:
    """What a client wants done, over all its tries."""

    __slots__ = ("asked", "number", "due", "worth", "tries")

    def __init__(self, asked: Asked, number: int, due: int, worth: float) -> None:
        self.asked, self.number, self.due, self.worth, self.tries = asked, number, due, worth, 0


class Try:
    """One request of a client, under an id of its own."""

    __slots__ = ("op", "number", "proxy", "sent", "due", "conn", "limit", "leaving", "resent", "over")

    def __init__(self, op: Op, proxy: int, sent: int, due: int) -> None:
        self.op, self.number, self.proxy = op, op.tries, proxy
        self.sent, self.due = sent, due
        self.conn: Conn | None = None
        self.limit: asyncio.TimerHandle | None = None
        self.leaving: asyncio.TimerHandle | None = None
        self.resent = self.over = False


class ConnOwner(Protocol):
    """What a connection tells the load that it belongs to."""

    def answered(self, conn: "Conn", first: bytes, head: bytes, body: bytes) -> None:
        """An answer has come whole."""

    def unreadable(self, conn: "Conn") -> None:
        """What came is no answer."""

    def lost(self, conn: "Conn") -> None:
        """The connection has ended."""


class Conn(asyncio.Protocol):
    """A client's connection to a proxy; one request at a time."""

    transport: asyncio.Transport

    def __init__(self, load: ConnOwner, proxy: int) -> None:
        self.load, self.proxy, self.reader = load, proxy, http.Reader()
        self.current: Try | None = None
        self.used, self.idle_at, self.open = 0, 0.0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = cast(asyncio.Transport, transport), True  # uvloop's is of no such class
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.reader.feed(data)
        except http.UnreadableMessageError:
            self.load.unreadable(self)
            return
        for first, head, body in messages:
            self.load.answered(self, first, head, body)

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        self.load.lost(self)

    def close(self) -> None:
        if self.open:
            self.transport.abort()
