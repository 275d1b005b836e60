"""Upstream connection pool: reuse, limits, timely close, and no connection for the wrong server."""

import asyncio
import socket
import struct
from unittest import mock

from barleybarrow.documents import Configuration
from barleybarrow.routing.actions import Outcome, ServerInfo
from brackenusher.data_plane.upstream_connection import UpstreamConnection
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    ReceivedRequest,
    configuration,
    hello,
    request_bytes,
    response,
)


class GatedServer:
    """A server that responds once it is opened."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await self.opened.wait()
        writer.write(response(request, b"hello"))


def with_connections(number: int) -> Configuration:
    """A configuration with this limit of connections per server."""
    document = configuration()
    document.generation = 8
    document.services[0].max_connections = number
    return document


class ConnectionLimits(DataPlaneTest):
    async def test_connections_stay_within_share(self) -> None:
        gate = GatedServer()
        (upstream,) = await self.start_servers(gate)
        self.proxy.configure(with_connections(12))
        self.proxy.set_proxy_count(2)
        clients = [await self.client() for _ in range(8)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/unsafe/x", f"r{number}"))
        while self.proxy.in_flight() < 8 or len(upstream.received) < 6:
            await asyncio.sleep(0)
        gate.opened.set()
        self.assertEqual([(await client.response()).status for client in clients], [200] * 8)
        self.assertEqual((upstream.connections, len(upstream.received)), (6, 8))

    async def test_idle_connections_are_closed_in_large_fleet(self) -> None:
        (upstream,) = await self.start_servers(hello)
        self.proxy.set_proxy_count(100)
        self.assertEqual((await self.fetch(request_bytes())).status, 200)
        self.advance(1.3)
        await upstream.connection_ended.wait()
        self.assertEqual(self.proxy.pool.counts(), (0, 0))

    async def test_waiters_of_draining_server_go_to_another(self) -> None:
        gate = GatedServer()
        first, second = await self.start_servers(gate, hello)
        self.proxy.configure(with_connections(4))
        clients = [await self.client() for _ in range(5)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/unsafe/x", f"r{number}"))
            while self.proxy.in_flight() < number + 1 or len(first.received) < min(number + 1, 4):
                await asyncio.sleep(0)
        servers = [
            ServerInfo("s0", address_of(first), state="draining"),
            ServerInfo("s1", address_of(second)),
        ]
        self.proxy.set_servers("app", servers)
        self.assertEqual((await clients[4].response()).status, 200)
        gate.opened.set()
        self.assertEqual([(await client.response()).status for client in clients[:4]], [200] * 4)
        self.assertEqual((len(first.received), len(second.received)), (4, 1))

    async def test_waiters_of_removed_server_go_to_another(self) -> None:
        gate = GatedServer()
        first, second = await self.start_servers(gate, hello)
        self.proxy.configure(with_connections(4))
        clients = [await self.client() for _ in range(5)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/unsafe/x", f"r{number}"))
            while self.proxy.in_flight() < number + 1 or len(first.received) < min(number + 1, 4):
                await asyncio.sleep(0)
        address = address_of(second)
        self.proxy.set_servers("app", [ServerInfo("s2", address), ServerInfo("s1", address)])
        self.assertEqual((await clients[4].response()).status, 200)
        gate.opened.set()
        self.assertEqual([(await client.response()).status for client in clients[:4]], [200] * 4)
        self.assertEqual((len(first.received), len(second.received)), (4, 1))
        self.assertEqual(self.proxy.pool.counts()[0], 1)

    async def test_reassigned_address_gets_new_connection(self) -> None:
        (upstream,) = await self.start_servers(hello)
        await self.fetch(request_bytes())
        self.proxy.set_servers("app", [ServerInfo("s9", address_of(upstream))])
        await self.fetch(request_bytes(request_id="r2"))
        self.assertEqual(upstream.connections, 2)
        self.assertEqual(upstream.received[1].headers["x-brackenusher-expect-instance"], "s9")


class IdleConnections(DataPlaneTest):
    async def test_idle_connection_is_closed_before_server_timeout(self) -> None:
        async def stating(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"hello", extra=b"Keep-Alive: timeout=10\r\n"))

        (upstream,) = await self.start_servers(stating)
        await self.fetch(request_bytes())
        self.advance(8.5)
        await self.fetch(request_bytes(request_id="r2"))
        self.assertEqual(upstream.connections, 1)
        self.advance(9.5)
        await upstream.connection_ended.wait()
        self.assertEqual(self.proxy.pool.counts(), (0, 0))

    async def test_connection_closed_by_server_is_not_reused(self) -> None:
        async def closing(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"hello"))
            await writer.drain()
            writer.close()

        (upstream,) = await self.start_servers(closing)
        for number in range(3):
            reply = await self.fetch(request_bytes("/unsafe/x", f"r{number}"))
            self.assertEqual(reply.status, 200)
        self.assertEqual(upstream.connections, 3)

    async def test_close_of_reused_connection_does_not_prove_not_executed(self) -> None:
        async def once(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if request.headers["x-brackenusher-request-id"] == "r1":
                writer.write(response(request, b"hello"))
            else:
                writer.close()

        self.dispatcher.retry_broken = True
        first, second = await self.start_servers(once, hello)
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x", "r1"))).status, 200)
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x", "r2"))).status, 502)
        self.assertEqual((await self.fetch(request_bytes("/safe/x", "r3"))).status, 200)
        self.assertEqual(self.dispatcher.outcomes().count(Outcome.BROKEN), 2)
        self.assertEqual(len(second.received), 1)


class Resets(DataPlaneTest):
    async def test_reset_during_body_does_not_prove_not_executed(self) -> None:
        """A server may start to execute a request before it has read the whole body."""
        self.dispatcher.retry_broken = True
        _, second = await self.start_servers(hello, hello)

        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        listener = await asyncio.start_server(reset, "127.0.0.1", 0, limit=4096)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        self.proxy.set_servers("app", [ServerInfo("full", address), ServerInfo("s1", address_of(second))])
        reply = await self.fetch(request_bytes("/unsafe/x", body=b"x" * 15_000_000))
        self.assertEqual((reply.status, second.received), (502, []))
        self.assertNotIn(("connection_failed", "full"), self.dispatcher.calls)
        reply = await self.fetch(request_bytes("/safe/x", "r2", body=b"x" * 15_000_000))
        listener.close()
        self.assertEqual((reply.status, len(second.received[0].body)), (200, 15_000_000))

    async def test_failed_write_proves_not_executed(self) -> None:
        first, second = await self.start_servers(hello, hello)
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x", "r1"))).status, 200)
        used = next(server for server in self.proxy.pool._servers.values() if server.idle)
        (connection,) = used.idle
        transport = connection._transport
        assert transport is not None
        transport.get_extra_info("socket").shutdown(
            socket.SHUT_WR
        )  # as after a reset that has not been read yet
        with mock.patch.object(UpstreamConnection, "has_unread", lambda self: False):
            reply = await self.fetch(request_bytes("/unsafe/x", "r2"))
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(first.received) + len(second.received), 2)

    async def test_reset_on_accept_proves_not_executed(self) -> None:
        _, second = await self.start_servers(hello, hello)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, reset_next, listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.proxy.set_servers("app", [ServerInfo("full", address), ServerInfo("s1", address_of(second))])
        reply = await self.fetch(request_bytes("/unsafe/x"))
        loop.remove_reader(listener)
        listener.close()
        self.assertEqual(reply.status, 200)
        self.assertIn(("connection_failed", "full"), self.dispatcher.calls)


def reset_next(listener: socket.socket) -> None:
    """Accept a connection and reset it."""
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


def address_of(upstream: object) -> str:
    """The address of a scripted server that has started."""
    server = upstream._server  # type: ignore[attr-defined]
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
