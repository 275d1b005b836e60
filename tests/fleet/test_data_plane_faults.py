"""Faults around the data plane: exhausted descriptors and memory, stalled servers, mutated messages."""

import asyncio
import errno
import random
from typing import Any

from barleybarrow.documents import ClientLimits
from barleybarrow.routing.actions import Send
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    RawClient,
    ReceivedRequest,
    chunk,
    configuration,
    event,
    hello,
    request_bytes,
    response,
    stream_head,
)

MUTATIONS = 300  # of valid messages, per test


async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send no response."""


class DescriptorExhaustion(DataPlaneTest):
    async def test_unsafe_request_is_retried_after_emfile(self) -> None:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        failures = [OSError(errno.EMFILE, "no descriptors")]

        async def failing(*arguments: Any, **options: Any) -> Any:
            if failures:
                raise failures.pop()
            return await connect(*arguments, **options)

        first, second = await self.start_servers(hello, hello)
        client = await self.client()
        loop.create_connection = failing  # type: ignore[method-assign]
        client.send(request_bytes("/unsafe/x"))
        self.assertEqual((await client.response()).status, 200)
        self.assertEqual((len(first.received), len(second.received)), (0, 1))

    async def test_idle_clients_are_closed_over_connection_limit(self) -> None:
        await self.start_servers(hello)
        self.server._max_client_connections = 3
        clients = [await self.client() for _ in range(5)]
        while len(self.proxy.client_connections) < 5:
            await asyncio.sleep(0)
        self.advance(0.3)
        while len(self.proxy.client_connections) > 3:
            await asyncio.sleep(0)
        clients[-1].send(request_bytes())
        self.assertEqual((await clients[-1].response()).status, 200)


class MemoryExhaustion(DataPlaneTest):
    async def test_bodies_over_memory_limit_get_503(self) -> None:
        await self.start_servers(silent)
        self.proxy._max_buffered_bytes = 150_000
        first = await self.client()
        first.send(request_bytes("/unsafe/x", body=b"x" * 100_000))
        while not self.proxy.in_flight():
            await asyncio.sleep(0)
        refused = await self.fetch(request_bytes("/unsafe/x", "r2", body=b"x" * 100_000))
        self.assertEqual((refused.status, "retry-after" in refused.headers), (503, True))
        first.reset()
        while self.proxy.in_flight():
            await asyncio.sleep(0)
        self.assertEqual(self.proxy._buffered_bytes, 0)


class MovedRequests(DataPlaneTest):
    async def test_stalled_stream_resumes_at_another_server(self) -> None:
        async def stalls(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(1)))

        async def goes_on(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(2)) + chunk(b""))

        first, second = await self.start_servers(stalls, goes_on)
        client = await self.client()
        client.send(request_bytes("/resume/x"))
        await client.response_head()
        self.assertEqual(await client.chunk(), event(1))
        self.dispatcher.tick_actions = [Send(1, "s1")]
        self.proxy._tick()
        self.assertEqual(await client.chunk(), event(2))
        self.assertEqual(await client.chunk(), b"")
        self.assertEqual(second.received[0].headers["last-event-id"], "1")
        await first.connection_ended.wait()

    async def test_stalled_unsafe_request_is_not_moved(self) -> None:
        first, second = await self.start_servers(silent, hello)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        await first.request_arrived.wait()
        self.dispatcher.tick_actions = [Send(1, "s1")]
        self.proxy._tick()
        self.assertEqual((await client.response()).status, 502)
        self.assertEqual(second.received, [])


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Change, insert or delete up to three bytes, or repeat a segment."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        place = rng.randrange(len(changed))
        kind = rng.randrange(4)
        if kind == 0:
            changed[place] = rng.choice(b"\r\n :;,0aZ\x00\xff\t")
        elif kind == 1:
            changed.insert(place, rng.choice(b"\r\n :;,0aZ\x00\xff\t"))
        elif kind == 2:
            del changed[place]
        else:
            end = min(len(changed), place + rng.randint(1, 40))
            changed[place:place] = changed[place:end]
    return bytes(changed)


class RandomMutations(DataPlaneTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.loop_errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: self.loop_errors.append(context)
        )

    async def _read_to_end(self, client: RawClient) -> bytes:
        try:
            return await client.reader.read()
        except ConnectionError:
            return b""

    async def test_mutated_requests(self) -> None:
        rng = random.Random(7)
        (upstream,) = await self.start_servers(hello)
        self.proxy.configure(configuration(limits=ClientLimits(4096, 4096, 1000, 1000)))
        chunked = (
            request_bytes().replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            + b"3\r\nabc\r\n0\r\n\r\n"
        )
        for _ in range(MUTATIONS):
            data = mutate(rng.choice((request_bytes(body=b"abc"), chunked)), rng)
            client = await self.client()
            client.send(data)
            client.writer.write_eof()
            said = await self._read_to_end(client)
            self.assertTrue(not said or said.startswith(b"HTTP/1.1 "), data)
            client.close()
        self.assertEqual(self.loop_errors, [])
        for seen in upstream.received:
            self.assertNotIn("transfer-encoding", seen.headers)
        self.assertEqual((await self.fetch(request_bytes())).status, 200)
        self.assertEqual(self.proxy.in_flight(), 0)

    async def test_mutated_responses(self) -> None:
        rng = random.Random(8)
        request = ReceivedRequest("", {"x-brackenusher-request-id": "a1"}, b"", 0)
        stream = stream_head(request) + chunk(event(1)) + chunk(event(2)) + chunk(b"")

        async def anything(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(mutate(rng.choice((response(request, b"hello"), stream)), rng))
            await writer.drain()
            writer.close()

        await self.start_servers(anything)
        for _ in range(MUTATIONS):
            client = await self.client()
            client.send(request_bytes("/unsafe/x", "a1", extra="Connection: close\r\n"))
            said = await self._read_to_end(client)
            self.assertTrue(said.startswith(b"HTTP/1.1 "))
            if b" 200 " in said.split(b"\r\n", 1)[0]:
                self.assertIn(b"x-brackenusher-response-stamp", said.lower())
            client.close()
        self.assertEqual(self.loop_errors, [])
        self.assertEqual((self.proxy.in_flight(), self.proxy.pool.counts()[0]), (0, 0))
