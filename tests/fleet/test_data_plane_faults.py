"""Faults around the data plane: no descriptors, no memory, stalled servers, and bytes at random."""

import asyncio
import errno
import random
from typing import Any

from barleybarrow.documents import ClientLimits
from barleybarrow.routing.actions import Send
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    RawClient,
    SeenRequest,
    answer,
    chunk,
    configuration,
    event,
    hello,
    request_bytes,
    stream_head,
)

MUTATIONS = 300  # of a proper message, in each of the tests with bytes at random


async def silent(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """No answer."""


class NoDescriptors(DataPlaneTest):
    async def test_a_connection_without_a_descriptor_is_proof_that_nothing_was_sent(self) -> None:
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        failures = [OSError(errno.EMFILE, "no descriptors")]

        async def failing(*arguments: Any, **options: Any) -> Any:
            if failures:
                raise failures.pop()
            return await connect(*arguments, **options)

        first, second = await self.serve(hello, hello)
        client = await self.client()
        loop.create_connection = failing  # type: ignore[method-assign]
        client.send(request_bytes("/unsafe/x"))
        self.assertEqual((await client.reply()).status, 200)
        self.assertEqual((len(first.seen), len(second.seen)), (0, 1))

    async def test_surplus_clients_cost_the_idle_ones_their_connection(self) -> None:
        await self.serve(hello)
        self.server._max_client_connections = 3
        clients = [await self.client() for _ in range(5)]
        while len(self.proxy.client_connections) < 5:
            await asyncio.sleep(0)
        self.advance(0.3)
        while len(self.proxy.client_connections) > 3:
            await asyncio.sleep(0)
        clients[-1].send(request_bytes())
        self.assertEqual((await clients[-1].reply()).status, 200)


class NoMemory(DataPlaneTest):
    async def test_bodies_beyond_the_memory_are_refused_with_503(self) -> None:
        await self.serve(silent)
        self.proxy._max_buffered_bytes = 150_000
        first = await self.client()
        first.send(request_bytes("/unsafe/x", body=b"x" * 100_000))
        while not self.proxy.in_flight():
            await asyncio.sleep(0)
        refused = await self.ask(request_bytes("/unsafe/x", "r2", body=b"x" * 100_000))
        self.assertEqual((refused.status, "retry-after" in refused.headers), (503, True))
        first.reset()
        while self.proxy.in_flight():
            await asyncio.sleep(0)
        self.assertEqual(self.proxy._buffered_bytes, 0)


class Moving(DataPlaneTest):
    async def test_a_stalled_stream_is_carried_on_elsewhere(self) -> None:
        async def stalls(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(1)))

        async def goes_on(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(2)) + chunk(b""))

        first, second = await self.serve(stalls, goes_on)
        client = await self.client()
        client.send(request_bytes("/resume/x"))
        await client.head()
        self.assertEqual(await client.chunk(), event(1))
        self.dispatcher.ticks = [Send(1, "s1")]
        self.proxy._tick()
        self.assertEqual(await client.chunk(), event(2))
        self.assertEqual(await client.chunk(), b"")
        self.assertEqual(second.seen[0].headers["last-event-id"], "1")
        await first.ended.wait()

    async def test_a_stalled_unsafe_request_is_never_moved(self) -> None:
        first, second = await self.serve(silent, hello)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        await first.arrived.wait()
        self.dispatcher.ticks = [Send(1, "s1")]
        self.proxy._tick()
        self.assertEqual((await client.reply()).status, 502)
        self.assertEqual(second.seen, [])


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Up to three bytes changed, added or taken away, or a part repeated."""
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


class BytesAtRandom(DataPlaneTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.faults: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: self.faults.append(context))

    async def _all_that_comes(self, client: RawClient) -> bytes:
        try:
            return await client.reader.read()
        except ConnectionError:
            return b""

    async def test_clients_that_say_anything(self) -> None:
        rng = random.Random(7)
        (upstream,) = await self.serve(hello)
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
            said = await self._all_that_comes(client)
            self.assertTrue(not said or said.startswith(b"HTTP/1.1 "), data)
            client.close()
        self.assertEqual(self.faults, [])
        for seen in upstream.seen:
            self.assertNotIn("transfer-encoding", seen.headers)
        self.assertEqual((await self.ask(request_bytes())).status, 200)
        self.assertEqual(self.proxy.in_flight(), 0)

    async def test_servers_that_say_anything(self) -> None:
        rng = random.Random(8)
        request = SeenRequest("", {"x-brackenusher-request-id": "a1"}, b"", 0)
        stream = stream_head(request) + chunk(event(1)) + chunk(event(2)) + chunk(b"")

        async def anything(seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(mutate(rng.choice((answer(request, b"hello"), stream)), rng))
            await writer.drain()
            writer.close()

        await self.serve(anything)
        for _ in range(MUTATIONS):
            client = await self.client()
            client.send(request_bytes("/unsafe/x", "a1", extra="Connection: close\r\n"))
            said = await self._all_that_comes(client)
            self.assertTrue(said.startswith(b"HTTP/1.1 "))
            if b" 200 " in said.split(b"\r\n", 1)[0]:
                self.assertIn(b"x-brackenusher-response-stamp", said.lower())
            client.close()
        self.assertEqual(self.faults, [])
        self.assertEqual((self.proxy.in_flight(), self.proxy.pool.counts()[0]), (0, 0))
