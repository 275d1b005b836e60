"""Connections to servers: used again, bounded, closed in time, and never handed to the wrong server."""

import asyncio
import socket
import struct
from unittest import mock

from barleybarrow.documents import Configuration
from barleybarrow.routing.actions import Outcome, ServerInfo
from brackenusher.data_plane.upstream_connection import UpstreamConnection
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    SeenRequest,
    answer,
    configuration,
    hello,
    request_bytes,
)


class Gate:
    """Answers each request once opened."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def __call__(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await self.opened.wait()
        writer.write(answer(request, b"hello"))


def with_connections(number: int) -> Configuration:
    """A configuration whose servers accept so many connections."""
    document = configuration()
    document.generation = 8
    document.services[0].max_connections = number
    return document


class Bounds(DataPlaneTest):
    async def test_no_more_connections_than_the_share_are_opened(self) -> None:
        gate = Gate()
        (upstream,) = await self.serve(gate)
        self.proxy.configure(with_connections(12))
        self.proxy.set_proxy_count(2)
        clients = [await self.client() for _ in range(8)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/unsafe/x", f"r{number}"))
        while self.proxy.in_flight() < 8 or len(upstream.seen) < 6:
            await asyncio.sleep(0)
        gate.opened.set()
        self.assertEqual([(await client.reply()).status for client in clients], [200] * 8)
        self.assertEqual((upstream.connections, len(upstream.seen)), (6, 8))

    async def test_in_a_large_fleet_idle_connections_are_not_kept(self) -> None:
        (upstream,) = await self.serve(hello)
        self.proxy.set_proxy_count(100)
        self.assertEqual((await self.ask(request_bytes())).status, 200)
        self.advance(1.3)
        await upstream.ended.wait()
        self.assertEqual(self.proxy.pool.counts(), (0, 0))

    async def test_who_waits_for_a_server_that_drains_is_sent_elsewhere(self) -> None:
        gate = Gate()
        first, second = await self.serve(gate, hello)
        self.proxy.configure(with_connections(4))
        clients = [await self.client() for _ in range(5)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/unsafe/x", f"r{number}"))
            while self.proxy.in_flight() < number + 1 or len(first.seen) < min(number + 1, 4):
                await asyncio.sleep(0)
        servers = [
            ServerInfo("s0", await_address(first), state="draining"),
            ServerInfo("s1", await_address(second)),
        ]
        self.proxy.set_servers("app", servers)
        self.assertEqual((await clients[4].reply()).status, 200)
        gate.opened.set()
        self.assertEqual([(await client.reply()).status for client in clients[:4]], [200] * 4)
        self.assertEqual((len(first.seen), len(second.seen)), (4, 1))

    async def test_who_waits_for_a_server_that_goes_is_sent_elsewhere(self) -> None:
        gate = Gate()
        first, second = await self.serve(gate, hello)
        self.proxy.configure(with_connections(4))
        clients = [await self.client() for _ in range(5)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/unsafe/x", f"r{number}"))
            while self.proxy.in_flight() < number + 1 or len(first.seen) < min(number + 1, 4):
                await asyncio.sleep(0)
        address = await_address(second)
        self.proxy.set_servers("app", [ServerInfo("s2", address), ServerInfo("s1", address)])
        self.assertEqual((await clients[4].reply()).status, 200)
        gate.opened.set()
        self.assertEqual([(await client.reply()).status for client in clients[:4]], [200] * 4)
        self.assertEqual((len(first.seen), len(second.seen)), (4, 1))
        self.assertEqual(self.proxy.pool.counts()[0], 1)

    async def test_a_new_server_at_an_old_address_gets_a_new_connection(self) -> None:
        (upstream,) = await self.serve(hello)
        await self.ask(request_bytes())
        self.proxy.set_servers("app", [ServerInfo("s9", await_address(upstream))])
        await self.ask(request_bytes(request_id="r2"))
        self.assertEqual(upstream.connections, 2)
        self.assertEqual(upstream.seen[1].headers["x-brackenusher-expect-instance"], "s9")


class Idle(DataPlaneTest):
    async def test_an_idle_connection_is_closed_before_the_server_does_it(self) -> None:
        async def stating(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"hello", extra=b"Keep-Alive: timeout=10\r\n"))

        (upstream,) = await self.serve(stating)
        await self.ask(request_bytes())
        self.advance(8.5)
        await self.ask(request_bytes(request_id="r2"))
        self.assertEqual(upstream.connections, 1)
        self.advance(9.5)
        await upstream.ended.wait()
        self.assertEqual(self.proxy.pool.counts(), (0, 0))

    async def test_a_connection_that_the_server_closed_is_not_used(self) -> None:
        async def closing(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"hello"))
            await writer.drain()
            writer.close()

        (upstream,) = await self.serve(closing)
        for number in range(3):
            reply = await self.ask(request_bytes("/unsafe/x", f"r{number}"))
            self.assertEqual(reply.status, 200)
        self.assertEqual(upstream.connections, 3)

    async def test_a_close_under_a_request_on_a_used_connection_is_no_proof(self) -> None:
        async def once(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            if request.headers["x-brackenusher-request-id"] == "r1":
                writer.write(answer(request, b"hello"))
            else:
                writer.close()

        self.dispatcher.repeat = True
        first, second = await self.serve(once, hello)
        self.assertEqual((await self.ask(request_bytes("/unsafe/x", "r1"))).status, 200)
        self.assertEqual((await self.ask(request_bytes("/unsafe/x", "r2"))).status, 502)
        self.assertEqual((await self.ask(request_bytes("/safe/x", "r3"))).status, 200)
        self.assertEqual(self.dispatcher.outcomes().count(Outcome.BROKEN), 2)
        self.assertEqual(len(second.seen), 1)


class Resets(DataPlaneTest):
    async def test_a_reset_before_the_last_byte_was_written_is_no_proof(self) -> None:
        """A server may begin to work before it has read a whole body."""
        self.dispatcher.repeat = True
        _, second = await self.serve(hello, hello)

        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        listener = await asyncio.start_server(reset, "127.0.0.1", 0, limit=4096)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        self.proxy.set_servers("app", [ServerInfo("full", address), ServerInfo("s1", await_address(second))])
        reply = await self.ask(request_bytes("/unsafe/x", body=b"x" * 15_000_000))
        self.assertEqual((reply.status, second.seen), (502, []))
        self.assertNotIn(("connection_failed", "full"), self.dispatcher.told)
        reply = await self.ask(request_bytes("/safe/x", "r2", body=b"x" * 15_000_000))
        listener.close()
        self.assertEqual((reply.status, len(second.seen[0].body)), (200, 15_000_000))

    async def test_a_write_that_the_kernel_refuses_is_proof(self) -> None:
        first, second = await self.serve(hello, hello)
        self.assertEqual((await self.ask(request_bytes("/unsafe/x", "r1"))).status, 200)
        used = next(server for server in self.proxy.pool._servers.values() if server.idle)
        (connection,) = used.idle
        transport = connection._transport
        assert transport is not None
        transport.get_extra_info("socket").shutdown(socket.SHUT_WR)  # as after a reset that was not read yet
        with mock.patch.object(UpstreamConnection, "has_unread", lambda self: False):
            reply = await self.ask(request_bytes("/unsafe/x", "r2"))
        self.assertEqual(reply.status, 200)
        self.assertEqual(len(first.seen) + len(second.seen), 2)

    async def test_a_server_that_resets_new_connections_is_proved_not_to_have_run(self) -> None:
        _, second = await self.serve(hello, hello)
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, reset_next, listener)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.proxy.set_servers("app", [ServerInfo("full", address), ServerInfo("s1", await_address(second))])
        reply = await self.ask(request_bytes("/unsafe/x"))
        loop.remove_reader(listener)
        listener.close()
        self.assertEqual(reply.status, 200)
        self.assertIn(("connection_failed", "full"), self.dispatcher.told)


def reset_next(listener: socket.socket) -> None:
    """Accept a connection and reset it."""
    accepted, _ = listener.accept()
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


def await_address(upstream: object) -> str:
    """The address of a scripted server that has started."""
    server = upstream._server  # type: ignore[attr-defined]
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
