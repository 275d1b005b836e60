"""Readiness and graceful shutdown: requests in flight are finished, the platform has time to notice."""

import asyncio

from tests.fleet.data_plane_support import (
    DataPlaneTest,
    ReceivedRequest,
    configuration,
    hello,
    request_bytes,
    response,
)

GRACE_S = 8.0


class Readiness(DataPlaneTest):
    async def test_ready_requires_feed_and_configuration(self) -> None:
        self.assertFalse(self.server.is_ready())
        self.proxy.configure(configuration())
        self.assertTrue(self.server.is_ready())

    async def test_older_configuration_is_ignored(self) -> None:
        self.proxy.configure(configuration())
        older = configuration()
        older.generation, older.routes = 6, []
        self.proxy.configure(older)
        self.assertEqual(len(self.proxy.configuration.routes if self.proxy.configuration else []), 5)


class GracefulShutdown(DataPlaneTest):
    async def test_serves_until_platform_has_noticed(self) -> None:
        await self.start_servers(hello)
        ending = asyncio.ensure_future(self.server.shut_down(GRACE_S))
        await asyncio.sleep(0)
        self.assertFalse(self.server.is_ready())
        reply = await self.fetch(request_bytes())
        self.assertEqual((reply.status, reply.headers["connection"]), (200, "close"))
        self.advance(2.6)
        await ending

    async def test_requests_in_flight_are_finished(self) -> None:
        gate = asyncio.Event()

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(response(request, b"late"))

        (upstream,) = await self.start_servers(slow)
        client, idle = await self.client(), await self.client()
        client.send(request_bytes("/unsafe/x"))
        await upstream.request_arrived.wait()
        ending = asyncio.ensure_future(self.server.shut_down(GRACE_S))
        await asyncio.sleep(0)
        self.advance(2.6)
        self.assertEqual(await idle.reader.read(), b"")
        self.assertFalse(ending.done())
        gate.set()
        self.assertEqual((await client.response()).body, b"late")
        await ending

    async def test_unfinished_request_gets_502(self) -> None:
        async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            pass

        (upstream,) = await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 60000\r\n"))
        await upstream.request_arrived.wait()
        ending = asyncio.ensure_future(self.server.shut_down(1.0))
        await asyncio.sleep(0)
        self.advance(1.0)
        self.assertEqual((await client.response()).status, 502)
        await ending
