"""Guard against long responses that are cut while they flow, because their server is taken for silent.

The dispatcher moves a request whose server sends nothing for too long. It has to know of bytes that are no
events, and of responses that no other server can complete, as the client already has a part of them.
"""

import asyncio
import random

from barleybarrow.limits.limits import LimitBounds, Limits
from barleybarrow.routing.actions import DispatchSettings
from barleybarrow.routing.dispatcher import Dispatcher
from brackenusher.data_plane.proxy import Proxy
from brackenusher.data_plane.server import DataPlaneServer
from tests.fleet.data_plane_support import (
    STAMP,
    ClientResponse,
    DataPlaneTest,
    ReceivedRequest,
    Script,
    ScriptedServer,
    chunk,
    request_bytes,
    response,
    stream_head,
)

TOO_LONG_S = 0.7  # beyond the silence that the test's routes allow
PIECES = 20
LONG_BODY, SHORT_BODY = b"x" * 200_000, b"x" * 20_000  # passed on as it comes, and once it is complete
EVENTS_WITHOUT_IDS = (b"data: one\n\n", b"data: two\n\n")


def evenly_paced(body: bytes, seconds: float) -> Script:
    """Script that sends a response in pieces, over this time."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        whole = response(request, body)
        size = len(whole) // PIECES + 1
        for start in range(0, len(whole), size):
            writer.write(whole[start : start + size])
            await asyncio.sleep(seconds / PIECES)

    return script


def pausing(body: bytes, pause_s: float) -> Script:
    """Script that pauses in the middle of a response."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        whole = response(request, body)
        writer.write(whole[: len(whole) // 2])
        await asyncio.sleep(pause_s)
        writer.write(whole[len(whole) // 2 :])

    return script


async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Script that never answers."""


class LongResponses(DataPlaneTest):
    """Two servers with one script, behind the real dispatcher."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        loop, rng = asyncio.get_running_loop(), random.Random(1)
        now = loop.time() * 1000.0
        dispatcher = Dispatcher(DispatchSettings(), rng, now, lambda service: True)
        self.server.close()
        self.proxy = Proxy(loop, dispatcher, Limits("proxy", [], rng, now, LimitBounds()), memory_mb=64)
        self.server = DataPlaneServer(self.proxy, max_fds=1024, feed_ready=lambda: True)
        await self.server.start("127.0.0.1:0")

    async def _fetch(self, path: str, *scripts: Script) -> tuple[ClientResponse, list[ScriptedServer]]:
        servers = await self.start_servers(*scripts)
        return await self.fetch(request_bytes(path)), servers

    def _received(self, servers: list[ScriptedServer]) -> int:
        return sum(len(server.received) for server in servers)

    async def test_response_that_flows_is_whole(self) -> None:
        for body in (LONG_BODY, SHORT_BODY):
            for path in ("/safe/x", "/unsafe/x"):
                script = evenly_paced(body, TOO_LONG_S)
                reply, servers = await self._fetch(path, script, script)
                self.assertEqual((reply.status, reply.complete, reply.body == body), (200, True, True))
                self.assertEqual(self._received(servers), 1)
                await self._stop_servers()

    async def test_pause_of_a_response_that_no_other_server_can_complete(self) -> None:
        script = pausing(LONG_BODY, TOO_LONG_S)
        reply, servers = await self._fetch("/safe/x", script, script)
        self.assertEqual((reply.complete, reply.body == LONG_BODY), (True, True))
        self.assertEqual(self._received(servers), 1)

    async def test_pause_of_a_stream_whose_events_have_no_ids(self) -> None:
        async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(EVENTS_WITHOUT_IDS[0]))
            await asyncio.sleep(TOO_LONG_S)
            writer.write(chunk(EVENTS_WITHOUT_IDS[1]) + chunk(b""))

        reply, servers = await self._fetch("/resume/x", script, script)
        self.assertEqual((reply.complete, reply.body), (True, b"".join(EVENTS_WITHOUT_IDS)))
        self.assertEqual(self._received(servers), 1)

    async def test_request_moves_from_a_server_that_sends_nothing(self) -> None:
        silences = [silent, pausing(SHORT_BODY, 100.0)]
        for script in silences:
            served = evenly_paced(SHORT_BODY, 0.0)
            for scripts in ((script, served), (served, script)):
                reply, _ = await self._fetch("/safe/x", *scripts)
                self.assertEqual((reply.status, reply.body), (200, SHORT_BODY))
                await self._stop_servers()

    async def test_response_that_breaks_midway_is_incomplete(self) -> None:
        async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\n" + request.id_line() + STAMP)
            writer.write(b"Content-Length: 300000\r\n\r\n" + LONG_BODY)
            await writer.drain()
            writer.close()

        reply, servers = await self._fetch("/safe/x", script, script)
        self.assertEqual((reply.status, reply.complete), (200, False))
        self.assertEqual(self._received(servers), 1)

    async def _stop_servers(self) -> None:
        for upstream in self.upstreams:
            await upstream.stop()
        self.upstreams.clear()
