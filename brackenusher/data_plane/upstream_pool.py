"""Pool of connections by server id: reused while idle, limited in number, closed before the server does.

Opening a connection is expensive for the server, so an idle one is always preferred.
An address may be reassigned to another server, but a connection belongs to one server id for its lifetime.
"""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from brackenusher.data_plane.upstream_connection import UpstreamConnection

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3  # above round-trip times; a lost SYN is retransmitted only after 1 s
DEFAULT_CONNECTIONS = 64  # per server, if the configuration has no MaxConnections
MIN_CONNECTIONS = 4  # per server for any number of proxies, as most proxies use fewer at a time
MIN_SHARE_TO_KEEP_IDLE = 2.0  # connections; below it, idle ones are kept for SHORT_IDLE_TIMEOUT_S only
SHORT_IDLE_TIMEOUT_S = 1.0
ACCEPT_CHECK_DELAY_S = 0.002  # a server over its limit resets right after accepting; nothing was sent by then
ROUND_ROBIN_CONNECTIONS = 4  # up to so many per server are used in turn, so that none expires


class ConnectionWaiter(Protocol):
    """Waits for a connection; gets exactly one of the two calls unless `cancelled`."""

    cancelled: bool

    def connection_ready(self, connection: UpstreamConnection) -> None:
        """The connection now belongs to the waiter."""

    def connection_failed(self) -> None:
        """No connection could be had; nothing was sent."""


@dataclass(slots=True)
class ServerConnections:
    """The connections to one server."""

    server_id: str
    address: str
    limit: int = 1
    keeps_idle: bool = (
        True  # False: in a large fleet, idle connections of all proxies would use up the server's limit
    )
    idle: list[UpstreamConnection] = field(default_factory=list)
    open: set[UpstreamConnection] = field(default_factory=set)
    connecting: int = 0
    waiting: deque[ConnectionWaiter] = field(default_factory=deque)
    listed: bool = True  # False: removed from the server list; connections close after their response


class UpstreamPool:
    """This process's connections to all servers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._servers: dict[str, ServerConnections] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0  # connections opened since the start

    def add_server(self, server_id: str, address: str, share: float) -> None:
        """Add a server, or update this process's share of the connections that it accepts."""
        server = self._servers.get(server_id)
        if server is None or server.address != address:
            self.remove_server(server_id)
            server = self._servers[server_id] = ServerConnections(server_id, address)
        server.limit = max(MIN_CONNECTIONS, int(share))
        server.keeps_idle = share >= MIN_SHARE_TO_KEEP_IDLE
        server.listed = True

    def remove_server(self, server_id: str) -> None:
        """Remove a server: close idle connections and fail waiters; requests in flight continue."""
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        server.listed = False
        for connection in list(server.idle):
            connection.close()
        waiters, server.waiting = server.waiting, deque()
        for waiter in waiters:
            if not waiter.cancelled:
                waiter.connection_failed()

    def drain_server(self, server_id: str) -> None:
        """Fail all waiters of a server that is draining."""
        server = self._servers.get(server_id)
        waiter = self._next_waiter(server) if server is not None else None
        while server is not None and waiter is not None:
            waiter.connection_failed()
            waiter = self._next_waiter(server)

    def acquire(self, server_id: str, waiter: ConnectionWaiter) -> None:
        """Give the waiter an idle connection, or else the next one that becomes free or is opened."""
        server = self._servers.get(server_id)
        if server is None:
            waiter.connection_failed()
            return
        connection = self._take_idle(server)
        if connection is not None:
            self._hand_over(server, connection, waiter)
            return
        server.waiting.append(waiter)
        self._connect_for_waiters(server)

    def close_expired(self) -> None:
        """Close idle connections that have expired; called a few times a second."""
        now = self._loop.time()
        for server in list(self._servers.values()):
            for connection in [idle for idle in server.idle if idle.idle_until <= now]:
                connection.close()

    def close_all(self) -> None:
        """Close every connection, including those in use."""
        for server in list(self._servers.values()):
            for connection in list(server.open):
                connection.close()
        for task in list(self._tasks):
            task.cancel()

    def counts(self) -> tuple[int, int]:
        """The numbers of open connections and of idle ones among them."""
        servers = self._servers.values()
        return sum(len(server.open) for server in servers), sum(len(server.idle) for server in servers)

    def _take_idle(self, server: ServerConnections) -> UpstreamConnection | None:
        now = self._loop.time()
        while server.idle:
            round_robin = len(server.open) <= ROUND_ROBIN_CONNECTIONS
            connection = server.idle.pop(0 if round_robin else -1)
            if connection.idle_until > now and not connection.has_unread():
                return connection
            connection.close()
        return None

    def _connect_for_waiters(self, server: ServerConnections) -> None:
        waiter_count = sum(1 for waiter in server.waiting if not waiter.cancelled)
        while server.connecting < waiter_count and len(server.open) + server.connecting < server.limit:
            server.connecting += 1
            task = self._loop.create_task(self._connect(server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, server: ServerConnections) -> None:
        host, _, port = server.address.rpartition(":")
        connection = UpstreamConnection(
            server.server_id,
            on_idle=lambda idle: self._connection_released(server, idle),
            on_closed=lambda closed: self._connection_closed(server, closed),
            clock=self._loop.time,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: connection, host, int(port))
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            server.connecting -= 1
            log.info(
                "connecting to server %s at %s failed: %s",
                server.server_id,
                server.address,
                error or "timeout",
            )
            self._connect_failed(server)
            return
        self.opened += 1
        if not server.listed:
            server.connecting -= 1
            connection.close()
            return
        server.open.add(connection)
        await asyncio.sleep(ACCEPT_CHECK_DELAY_S)
        server.connecting -= 1
        if connection.closed:
            self._connect_failed(server)
        else:
            self._connection_released(server, connection)

    def _connect_failed(self, server: ServerConnections) -> None:
        waiter = self._next_waiter(server)
        while waiter is not None:
            waiter.connection_failed()
            waiter = None if server.open else self._next_waiter(server)  # without a connection, fail all
        self._connect_for_waiters(server)

    def _connection_released(self, server: ServerConnections, connection: UpstreamConnection) -> None:
        if not server.listed or len(server.open) > server.limit:
            connection.close()
            return
        waiter = self._next_waiter(server)
        if waiter is None:
            self._make_idle(server, connection)
        else:
            self._hand_over(server, connection, waiter)

    def _hand_over(
        self, server: ServerConnections, connection: UpstreamConnection, waiter: ConnectionWaiter
    ) -> None:
        waiter.connection_ready(connection)
        if not connection.busy and not connection.closed:  # the waiter no longer needs it
            self._make_idle(server, connection)

    def _make_idle(self, server: ServerConnections, connection: UpstreamConnection) -> None:
        if not connection.used:
            connection.idle_until = self._loop.time() + connection.initial_idle_s()
        if not server.keeps_idle:
            connection.idle_until = min(connection.idle_until, self._loop.time() + SHORT_IDLE_TIMEOUT_S)
        server.idle.append(connection)

    def _next_waiter(self, server: ServerConnections) -> ConnectionWaiter | None:
        while server.waiting:
            waiter = server.waiting.popleft()
            if not waiter.cancelled:
                return waiter
        return None

    def _connection_closed(self, server: ServerConnections, connection: UpstreamConnection) -> None:
        server.open.discard(connection)
        if connection in server.idle:
            server.idle.remove(connection)
        if server.listed and server.waiting:
            self._connect_for_waiters(server)
