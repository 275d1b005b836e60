"""Links between processes of the fleet: persistent TCP connections that carry framed messages.

A peer is identified by the address of its internal listener. Either side may open the connection; messages
are sent over the newest one. A Hello of another incarnation of a peer aborts all connections of the earlier
one, so that messages it has sent are no longer handled. A connection without data for `PEER_TIMEOUT_S` is
aborted: both sides send keep-alive frames at shorter intervals. Messages are not retried: one is written to
the socket once, or `send` returns False.
"""

import asyncio
import logging
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import betterproto

from brackenusher.cluster import messages
from brackenusher.cluster.frames import FrameDecoder, FrameError, encode_frame

log = logging.getLogger(__name__)

INITIAL_CONNECT_TIMEOUT_S = 0.2  # a machine that is booting drops the first SYN: retry soon
CONNECT_TIMEOUT_FACTOR = 1.5  # links between distant regions need more than the initial timeout
MAX_CONNECT_TIMEOUT_S = 1.0  # a partition drops the SYN; the next attempt must follow soon after it heals
INITIAL_RECONNECT_DELAY_S = 0.05  # peers that start together take some hundred milliseconds to listen
RECONNECT_DELAY_FACTOR = 1.15  # a returning peer is reached within about 1/7 of its downtime
MAX_RECONNECT_DELAY_S = 0.8  # a healed partition must be noticed well within ContactMs
KEEP_ALIVE_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.6  # three missed keep-alives
MAX_SEND_BUFFER_BYTES = 24 * 1024 * 1024  # holds a snapshot for a slow link; a slower peer is dropped
TCP_USER_TIMEOUT_MS = 2000  # a partition sends no RST: unacknowledged data ends the connection
HELLO_TIMEOUT_S = 2.0
KEEP_ALIVE_FRAME = encode_frame(messages.KeepAlive())

MessageHandler = Callable[[str, betterproto.Message], None]
ChangeHandler = Callable[[str, messages.Hello | None], None]


def split_address(address: str) -> tuple[str, int]:
    """Splits "ip:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class LinkConnection(asyncio.Protocol):
    """One TCP connection; passes messages on to its `Links`."""

    def __init__(self, links: "Links", expected_address: str = "") -> None:
        self.links = links
        self.peer_address = expected_address  # internal address of the peer; empty until its Hello arrives
        self.hello: messages.Hello | None = None
        self.transport: asyncio.Transport | None = None
        self.decoder = FrameDecoder()
        self.last_received_at = links.loop.time()
        self.aborted = False  # messages that still arrive are dropped
        self.closed = links.loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        except OSError:
            pass  # not supported here: keep-alive frames detect a dead link, too
        self.last_received_at = self.links.loop.time()
        self.links.connections.add(self)
        self.write(encode_frame(self.links.own))

    def data_received(self, data: bytes) -> None:
        self.last_received_at = self.links.loop.time()
        try:
            for message in self.decoder.feed(data):
                self.links.handle_message(self, message)
        except FrameError as error:
            log.warning("link ended: peer=%s error=%s", self.peer_address, error)
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.links.connections.discard(self)
        self.links.handle_disconnect(self)
        if not self.closed.done():
            self.closed.set_result(None)

    def write(self, frame: bytes) -> bool:
        """Writes a frame to the socket; aborts the link and returns False if the send buffer is full."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            log.warning("link ended: peer=%s error=send buffer full", self.peer_address)
            self.abort()
            return False
        self.transport.write(frame)
        return True

    def abort(self) -> None:
        self.aborted = True
        if self.transport is not None:
            self.transport.abort()


@dataclass(slots=True)
class WantedPeer:
    """A peer to which a link is kept open."""

    task: asyncio.Task[None] | None = None


@dataclass(slots=True)
class LinkCounters:
    """Counters over all links since the start of the process."""

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    frames_dropped: int = 0
    connect_attempts: int = 0
    connect_failures: int = 0
    bytes_by_message: dict[str, int] = field(default_factory=dict)


class Links:
    """All links of this process. Needs a running event loop."""

    def __init__(self, own: messages.Hello, rng: random.Random | None = None) -> None:
        self.own = own
        self.loop = asyncio.get_running_loop()
        self.rng = rng or random.Random()
        self.connections: set[LinkConnection] = set()
        self.counters = LinkCounters()
        self._active: dict[str, LinkConnection] = {}
        self._wanted: dict[str, WantedPeer] = {}
        self._message_handlers: dict[type[betterproto.Message], list[MessageHandler]] = {}
        self._change_handlers: list[ChangeHandler] = []
        self._server: asyncio.Server | None = None
        self._keep_alive_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens at the own address. Raises OSError."""
        host, port = split_address(self.own.address)
        self._server = await self.loop.create_server(
            lambda: LinkConnection(self), host, port, reuse_address=True, backlog=512
        )
        self._keep_alive_task = self.loop.create_task(self._run_keep_alive())

    async def stop(self) -> None:
        """Closes all links and the listener."""
        for address in list(self._wanted):
            self.disconnect(address)
        if self._keep_alive_task is not None:
            self._keep_alive_task.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    # Interface of the owner

    def connect(self, address: str) -> None:
        """Keeps a link to this peer open until `disconnect`."""
        if address in self._wanted or address == self.own.address:
            return
        wanted = self._wanted[address] = WantedPeer()
        wanted.task = self.loop.create_task(self._keep_connected(address))

    def disconnect(self, address: str) -> None:
        """Stops keeping a link to this peer, and closes the one that was opened from this side."""
        wanted = self._wanted.pop(address, None)
        if wanted is not None and wanted.task is not None:
            wanted.task.cancel()

    def wanted_addresses(self) -> set[str]:
        """Returns the peers to which links are kept open."""
        return set(self._wanted)

    def send(self, address: str, message: betterproto.Message) -> bool:
        """Sends a message to a peer; returns False if there is no link or its send buffer is full."""
        connection = self._active.get(address)
        if connection is None:
            self.counters.frames_dropped += 1
            return False
        frame = encode_frame(message)
        self.counters.frames_sent += 1
        self.counters.bytes_sent += len(frame)
        kind = type(message).__name__
        self.counters.bytes_by_message[kind] = self.counters.bytes_by_message.get(kind, 0) + len(frame)
        return connection.write(frame)

    def connected(self) -> dict[str, messages.Hello]:
        """Returns the Hello of each connected peer, by address."""
        return {address: c.hello for address, c in self._active.items() if c.hello is not None}

    def on_message(self, kind: type[betterproto.Message], handler: MessageHandler) -> None:
        """Registers a handler for messages of a kind; it gets the address of the sender."""
        self._message_handlers.setdefault(kind, []).append(handler)

    def on_change(self, handler: ChangeHandler) -> None:
        """Registers a handler for links that come up (with the peer's Hello) or go down (with None)."""
        self._change_handlers.append(handler)

    # Events of connections

    def handle_message(self, connection: LinkConnection, message: betterproto.Message) -> None:
        self.counters.frames_received += 1
        if isinstance(message, messages.Hello):
            self._handle_hello(connection, message)
            return
        if not connection.peer_address or connection.hello is None:
            connection.abort()
            return
        if connection.aborted:
            return
        for handler in self._message_handlers.get(type(message), ()):
            try:
                handler(connection.peer_address, message)
            except Exception:
                log.exception(
                    "handler failed: kind=%s peer=%s", type(message).__name__, connection.peer_address
                )

    def _handle_hello(self, connection: LinkConnection, hello: messages.Hello) -> None:
        if connection.peer_address and hello.address != connection.peer_address:
            log.warning(
                "link ended: peer=%s error=its Hello names %s", connection.peer_address, hello.address
            )
            connection.abort()
            return
        connection.peer_address, connection.hello = hello.address, hello
        self._abort_earlier_incarnations(hello)
        self._active[hello.address] = connection
        for handler in self._change_handlers:
            handler(hello.address, hello)

    def _abort_earlier_incarnations(self, hello: messages.Hello) -> None:
        for other in list(self.connections):
            is_earlier = other.hello is not None and other.hello.incarnation != hello.incarnation
            if is_earlier and other.peer_address == hello.address:
                other.abort()

    def handle_disconnect(self, connection: LinkConnection) -> None:
        address = connection.peer_address
        if connection.hello is None or self._active.get(address) is not connection:
            return
        del self._active[address]
        for other in self.connections:
            if other.peer_address == address and other.hello is not None:
                self._active[address] = other
                return
        for handler in self._change_handlers:
            handler(address, None)

    # Background tasks

    async def _keep_connected(self, address: str) -> None:
        delay_s, timeout_s = INITIAL_RECONNECT_DELAY_S, INITIAL_CONNECT_TIMEOUT_S
        connection: LinkConnection | None = None
        try:
            while True:
                if address not in self._active:
                    connection = await self._connect_once(address, timeout_s)
                    if connection is not None:
                        delay_s, timeout_s = INITIAL_RECONNECT_DELAY_S, INITIAL_CONNECT_TIMEOUT_S
                        await connection.closed
                    else:
                        delay_s = min(delay_s * RECONNECT_DELAY_FACTOR, MAX_RECONNECT_DELAY_S)
                        timeout_s = min(timeout_s * CONNECT_TIMEOUT_FACTOR, MAX_CONNECT_TIMEOUT_S)
                await asyncio.sleep(delay_s * (0.5 + self.rng.random()))
        finally:
            if connection is not None:
                connection.abort()

    async def _connect_once(self, address: str, timeout_s: float) -> LinkConnection | None:
        host, port = split_address(address)
        self.counters.connect_attempts += 1
        try:
            _, connection = await asyncio.wait_for(
                self.loop.create_connection(lambda: LinkConnection(self, address), host, port),
                timeout_s,
            )
        except (OSError, TimeoutError):
            self.counters.connect_failures += 1
            return None
        return connection

    async def _run_keep_alive(self) -> None:
        while True:
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_S)
            now = self.loop.time()
            for connection in list(self.connections):
                if now - connection.last_received_at > PEER_TIMEOUT_S:
                    connection.abort()
                elif connection.hello is not None:
                    connection.write(KEEP_ALIVE_FRAME)
