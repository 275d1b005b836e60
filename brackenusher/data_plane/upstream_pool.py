"""Connections to the servers, by server id: reused while idle, bounded, closed before the server does it.

A new connection is dear to the server, so a free one is always taken first.
An address may pass to another server; a connection never does: it belongs to one server id.
"""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from brackenusher.data_plane.upstream_connection import UpstreamConnection

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3  # longer than round trips; a dropped opening packet comes again only after 1 s
DEFAULT_CONNECTIONS = 64  # for each server, where the configuration states no MaxConnections
LEAST_CONNECTIONS = 4  # to each server, however many proxies there are: most of them have fewer at a time
LEAST_KEPT_SHARE = 2.0  # connections; with a smaller share, idle ones are kept for SHORT_REST_S only
SHORT_REST_S = 1.0
SETTLE_S = 0.002  # a server over its limit resets right after accepting; seen so soon, nothing was sent
USED_IN_TURN = 4  # so many connections to a server are used in turn, so that none expires; more may


class ConnectionTaker(Protocol):
    """Who waits for a connection; is told exactly one of the two, unless it says that it is `cancelled`."""

    cancelled: bool

    def connection_ready(self, connection: UpstreamConnection) -> None:
        """The connection is the taker's."""

    def connection_failed(self) -> None:
        """There is none; nothing was sent."""


@dataclass(slots=True)
class ServerConnections:
    """The connections to one server."""

    server_id: str
    address: str
    limit: int = 1
    keeps_idle: bool = True  # False: in a large fleet idle connections of all proxies would fill the server
    idle: list[UpstreamConnection] = field(default_factory=list)
    open: set[UpstreamConnection] = field(default_factory=set)
    connecting: int = 0
    waiting: deque[ConnectionTaker] = field(default_factory=deque)
    listed: bool = True  # False: no longer in the server list; connections end with their answers


class UpstreamPool:
    """The connections of this process to all servers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._servers: dict[str, ServerConnections] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0  # connections opened since the start

    def list_server(self, server_id: str, address: str, share: float) -> None:
        """A server is listed, or this process's share of the connections that it accepts has changed."""
        server = self._servers.get(server_id)
        if server is None or server.address != address:
            self.unlist_server(server_id)
            server = self._servers[server_id] = ServerConnections(server_id, address)
        server.limit = max(LEAST_CONNECTIONS, int(share))
        server.keeps_idle = share >= LEAST_KEPT_SHARE
        server.listed = True

    def unlist_server(self, server_id: str) -> None:
        """A server is gone: what is idle is closed, who waits is told, what is under way goes on."""
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        server.listed = False
        for connection in list(server.idle):
            connection.close()
        waiting, server.waiting = server.waiting, deque()
        for taker in waiting:
            if not taker.cancelled:
                taker.connection_failed()

    def send_nothing_more(self, server_id: str) -> None:
        """A server drains: who still waits for a connection to it is told that there is none."""
        server = self._servers.get(server_id)
        taker = self._next_waiting(server) if server is not None else None
        while server is not None and taker is not None:
            taker.connection_failed()
            taker = self._next_waiting(server)

    def acquire(self, server_id: str, taker: ConnectionTaker) -> None:
        """Give the taker a connection: now if one is idle, else as soon as one is free or new."""
        server = self._servers.get(server_id)
        if server is None:
            taker.connection_failed()
            return
        connection = self._take_idle(server)
        if connection is not None:
            self._hand_over(server, connection, taker)
            return
        server.waiting.append(taker)
        self._connect_for_waiting(server)

    def close_expired(self) -> None:
        """Close the idle connections whose time is over; called a few times a second."""
        now = self._loop.time()
        for server in list(self._servers.values()):
            for connection in [idle for idle in server.idle if idle.idle_until <= now]:
                connection.close()

    def close_all(self) -> None:
        """End every connection, also those under way."""
        for server in list(self._servers.values()):
            for connection in list(server.open):
                connection.close()
        for task in list(self._tasks):
            task.cancel()

    def counts(self) -> tuple[int, int]:
        """How many connections are open, and how many of them idle."""
        servers = self._servers.values()
        return sum(len(server.open) for server in servers), sum(len(server.idle) for server in servers)

    def _take_idle(self, server: ServerConnections) -> UpstreamConnection | None:
        now = self._loop.time()
        while server.idle:
            in_turn = len(server.open) <= USED_IN_TURN
            connection = server.idle.pop(0 if in_turn else -1)
            if connection.idle_until > now and not connection.has_unread():
                return connection
            connection.close()
        return None

    def _connect_for_waiting(self, server: ServerConnections) -> None:
        wanted = sum(1 for taker in server.waiting if not taker.cancelled)
        while server.connecting < wanted and len(server.open) + server.connecting < server.limit:
            server.connecting += 1
            task = self._loop.create_task(self._connect(server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self, server: ServerConnections) -> None:
        host, _, port = server.address.rpartition(":")
        connection = UpstreamConnection(
            server.server_id,
            on_idle=lambda idle: self._released(server, idle),
            on_closed=lambda closed: self._forget(server, closed),
            clock=self._loop.time,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: connection, host, int(port))
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            server.connecting -= 1
            log.info(
                "no connection to server %s at %s: %s", server.server_id, server.address, error or "timeout"
            )
            self._connecting_failed(server)
            return
        self.opened += 1
        if not server.listed:
            server.connecting -= 1
            connection.close()
            return
        server.open.add(connection)
        await asyncio.sleep(SETTLE_S)
        server.connecting -= 1
        if connection.closed:
            self._connecting_failed(server)
        else:
            self._released(server, connection)

    def _connecting_failed(self, server: ServerConnections) -> None:
        taker = self._next_waiting(server)
        while taker is not None:
            taker.connection_failed()
            taker = None if server.open else self._next_waiting(server)  # nobody waits for one out of reach
        self._connect_for_waiting(server)

    def _released(self, server: ServerConnections, connection: UpstreamConnection) -> None:
        if not server.listed or len(server.open) > server.limit:
            connection.close()
            return
        taker = self._next_waiting(server)
        if taker is None:
            self._rest(server, connection)
        else:
            self._hand_over(server, connection, taker)

    def _hand_over(
        self, server: ServerConnections, connection: UpstreamConnection, taker: ConnectionTaker
    ) -> None:
        taker.connection_ready(connection)
        if not connection.busy and not connection.closed:  # the taker had no use for it any more
            self._rest(server, connection)

    def _rest(self, server: ServerConnections, connection: UpstreamConnection) -> None:
        if not connection.used:
            connection.idle_until = self._loop.time() + connection.unused_idle_s()
        if not server.keeps_idle:
            connection.idle_until = min(connection.idle_until, self._loop.time() + SHORT_REST_S)
        server.idle.append(connection)

    def _next_waiting(self, server: ServerConnections) -> ConnectionTaker | None:
        while server.waiting:
            taker = server.waiting.popleft()
            if not taker.cancelled:
                return taker
        return None

    def _forget(self, server: ServerConnections, connection: UpstreamConnection) -> None:
        server.open.discard(connection)
        if connection in server.idle:
            server.idle.remove(connection)
        if server.listed and server.waiting:
            self._connect_for_waiting(server)
