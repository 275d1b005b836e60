"""Readiness, and the end of a process: what is under way is answered, the platform has time to notice."""

import asyncio

from tests.fleet.data_plane_support import (
    DataPlaneTest,
    SeenRequest,
    answer,
    configuration,
    hello,
    request_bytes,
)

GRACE_S = 8.0


class Readiness(DataPlaneTest):
    async def test_ready_with_a_feed_and_a_configuration(self) -> None:
        self.assertFalse(self.server.readiness())
        self.proxy.configure(configuration())
        self.assertTrue(self.server.readiness())

    async def test_an_older_configuration_is_not_taken(self) -> None:
        self.proxy.configure(configuration())
        older = configuration()
        older.generation, older.routes = 6, []
        self.proxy.configure(older)
        self.assertEqual(len(self.proxy.configuration.routes if self.proxy.configuration else []), 5)


class Ending(DataPlaneTest):
    async def test_it_serves_on_until_the_platform_has_noticed(self) -> None:
        await self.serve(hello)
        ending = asyncio.ensure_future(self.server.shut_down(GRACE_S))
        await asyncio.sleep(0)
        self.assertFalse(self.server.readiness())
        reply = await self.ask(request_bytes())
        self.assertEqual((reply.status, reply.headers["connection"]), (200, "close"))
        self.advance(2.6)
        await ending

    async def test_what_is_under_way_is_answered(self) -> None:
        gate = asyncio.Event()

        async def slow(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            await gate.wait()
            writer.write(answer(request, b"late"))

        (upstream,) = await self.serve(slow)
        client, idle = await self.client(), await self.client()
        client.send(request_bytes("/unsafe/x"))
        await upstream.arrived.wait()
        ending = asyncio.ensure_future(self.server.shut_down(GRACE_S))
        await asyncio.sleep(0)
        self.advance(2.6)
        self.assertEqual(await idle.reader.read(), b"")
        self.assertFalse(ending.done())
        gate.set()
        self.assertEqual((await client.reply()).body, b"late")
        await ending

    async def test_what_is_not_answered_in_time_gets_an_answer_of_our_own(self) -> None:
        async def silent(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            pass

        (upstream,) = await self.serve(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 60000\r\n"))
        await upstream.arrived.wait()
        ending = asyncio.ensure_future(self.server.shut_down(1.0))
        await asyncio.sleep(0)
        self.advance(1.0)
        self.assertEqual((await client.reply()).status, 502)
        await ending
