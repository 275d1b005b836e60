"""Guards against work that goes on for clients that have left, wherever their request is held meanwhile.

A client that closes its socket sends a FIN; that is all the proxy sees until it writes to that client.
"""

import asyncio
from collections.abc import Callable
from unittest import mock

from barleybarrow.documents import Tenant
from brackenusher.data_plane.front_connection import MAX_PIPELINED_BYTES
from brackenusher.data_plane.server import SWEEP_INTERVAL_S
from tests.fleet.data_plane_support import (
    TEST_TIMEOUT_S,
    DataPlaneTest,
    RawClient,
    ReceivedRequest,
    chunk,
    event,
    hello,
    not_executed_response,
    request_bytes,
    response,
    stream_head,
)

STOPPABLE = ("safe", "stream", "resume")  # routes on which a server's work ends with its client
ALL_ROUTES = (*STOPPABLE, "unsafe")
MAX_WORK_AFTER_END_S = 0.5  # for which servers may still work for a client that has left


class Gate:
    """A server that holds each request until it is opened, then answers with what `reply` returns."""

    def __init__(self, reply: Callable[[ReceivedRequest], bytes]) -> None:
        self.opened = asyncio.Event()
        self._reply = reply

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await self.opened.wait()
        writer.write(self._reply(request))


async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send no response."""


async def one_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send the head and one event, and nothing more."""
    writer.write(stream_head(request) + chunk(event(1)))


class ClientsThatLeft(DataPlaneTest):
    """Each test closes a client while its request is held in one place; the clock stands still meanwhile."""

    async def _end_noticed(self) -> None:
        """Wait until the proxy has seen the end of each client with a request in flight."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while any(exchange.client_end is None for exchange in self.proxy._exchanges.values()):
                await asyncio.sleep(0)

    async def _leave(self, client: RawClient) -> None:
        client.close()
        await self._end_noticed()

    async def test_silent_server_stops_work(self) -> None:
        (upstream,) = await self.start_servers(silent)
        for path in STOPPABLE:
            with self.subTest(path=path):
                upstream.request_arrived.clear()
                upstream.connection_ended.clear()
                client = await self.client()
                client.send(request_bytes(f"/{path}/x", request_id=path))
                await upstream.request_arrived.wait()
                await self._leave(client)
                self.assertEqual(self.proxy.in_flight(), 0)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await upstream.connection_ended.wait()

    async def test_server_that_pauses_midway_through_a_stream_stops_work(self) -> None:
        (upstream,) = await self.start_servers(one_event)
        for path in ("stream", "resume"):
            with self.subTest(path=path):
                upstream.connection_ended.clear()
                client = await self.client()
                client.send(request_bytes(f"/{path}/x", request_id=path))
                await client.response_head()
                await client.chunk()
                await self._leave(client)
                self.assertEqual(self.proxy.in_flight(), 0)
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    await upstream.connection_ended.wait()

    async def test_rejected_request_is_not_sent_again(self) -> None:
        for path in ALL_ROUTES:
            with self.subTest(path=path):
                gate = Gate(lambda request: not_executed_response())
                await self._stop_servers()
                first, second = await self.start_servers(gate, hello)
                client = await self.client()
                client.send(request_bytes(f"/{path}/x", request_id=path))
                await first.request_arrived.wait()
                await self._leave(client)
                gate.opened.set()
                await self._no_request_in_flight()
                self.assertEqual(second.received, [])

    async def test_request_that_waits_for_its_quota_is_not_sent(self) -> None:
        verdicts: list[asyncio.Future[bool]] = []

        def ask(tenant: Tenant, cost: float) -> asyncio.Future[bool]:
            verdicts.append(asyncio.get_running_loop().create_future())
            return verdicts[-1]

        self.proxy._check_quota = ask
        (upstream,) = await self.start_servers(hello, tenants=[Tenant("t", ["key"])])
        for path in ALL_ROUTES:
            with self.subTest(path=path):
                client = await self.client()
                client.send(request_bytes(f"/{path}/x", request_id=path, extra="Api-Key: key\r\n"))
                while not self.proxy.in_flight():
                    await asyncio.sleep(0)
                await self._leave(client)
                if not verdicts[-1].done():
                    verdicts[-1].set_result(True)
                await self._no_request_in_flight()
                self.assertEqual(upstream.received, [])

    async def test_request_that_waits_for_a_connection_is_not_sent(self) -> None:
        await self.start_servers(hello)
        for path in ALL_ROUTES:
            with self.subTest(path=path), mock.patch.object(self.proxy.pool, "acquire") as acquire:
                client = await self.client()
                client.send(request_bytes(f"/{path}/x", request_id=path))
                while not acquire.called:
                    await asyncio.sleep(0)
                await self._leave(client)
                if path == "unsafe":  # a client that has only half-closed waits for its answer
                    self.advance(MAX_WORK_AFTER_END_S)
                    await asyncio.sleep(0.001)
                self.assertTrue(acquire.call_args[0][1].cancelled)
                self.assertEqual(self.proxy.in_flight(), 0)

    async def test_client_with_many_pipelined_bytes_is_noticed(self) -> None:
        (upstream,) = await self.start_servers(silent)
        for end in (RawClient.close, RawClient.reset):
            with self.subTest(end=end.__name__):
                upstream.request_arrived.clear()
                client = await self.client()
                client.send(request_bytes("/safe/x", request_id=end.__name__))
                await upstream.request_arrived.wait()
                client.send(b"x" * (MAX_PIPELINED_BYTES + 1))
                await client.writer.drain()
                (connection,) = (c for c in self.proxy.client_connections if not c.idle)
                while len(connection._http.trailing_data[0]) <= MAX_PIPELINED_BYTES:
                    await asyncio.sleep(0)
                end(client)
                for _ in range(int(MAX_WORK_AFTER_END_S / SWEEP_INTERVAL_S)):
                    self.advance(SWEEP_INTERVAL_S)
                    await asyncio.sleep(0.01)  # the socket's end arrives in real time
                self.assertEqual(self.proxy.in_flight(), 0)

    async def test_unsafe_request_that_may_run_is_answered_after_a_half_close(self) -> None:
        # its work can't be done again, and a client that has only half-closed waits for its answer
        gate = Gate(lambda request: response(request, b"late"))
        (upstream,) = await self.start_servers(gate)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        await upstream.request_arrived.wait()
        client.writer.write_eof()
        await self._end_noticed()
        gate.opened.set()
        reply = await client.response()
        self.assertEqual((reply.status, reply.body, reply.headers["connection"]), (200, b"late", "close"))

    async def test_half_closed_client_learns_that_its_request_has_ended(self) -> None:
        (upstream,) = await self.start_servers(silent)
        for path, status in (("safe", 503), ("resume", 503), ("stream", 502)):
            with self.subTest(path=path):
                upstream.request_arrived.clear()
                client = await self.client()
                client.send(request_bytes(f"/{path}/x", request_id=path))
                await upstream.request_arrived.wait()
                client.writer.write_eof()
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    reply = await client.response()
                self.assertEqual((reply.status, reply.headers["connection"]), (status, "close"))

    async def _no_request_in_flight(self) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while self.proxy.in_flight():
                await asyncio.sleep(0)
            for _ in range(20):  # a request that was sent on reaches its server
                await asyncio.sleep(0.001)

    async def _stop_servers(self) -> None:
        for upstream in self.upstreams:
            await upstream.stop()
        self.upstreams.clear()
