"""Readiness and graceful shutdown: requests in flight are finished, the platform has time to notice."""

import asyncio

from tests.fleet.data_plane_support import (
    DataPlaneTest,
    RawClient,
    ReceivedRequest,
    ScriptedServer,
    chunk,
    configuration,
    event,
    hello,
    request_bytes,
    response,
    stream_head,
)

GRACE_S = 8.0
SHORT_GRACE_S = 3.0
AFTER_NOTICE_S = 3.2  # by then the platform sends no more clients here, and a cut is no longer excused
LONG_DEADLINE = "X-Brackenusher-Deadline-Ms: 15000\r\n"  # later than the end of any shutdown here
LONG_TIMEOUT_MS = 15_000.0


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

    async def test_cut_in_the_last_sixth_of_a_short_grace_period(self) -> None:
        """Guard against a margin at the end that takes more of a short grace period than rules excuse."""

        async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            pass

        (upstream,) = await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 60000\r\n"))
        await upstream.request_arrived.wait()
        ending = asyncio.ensure_future(self.server.shut_down(SHORT_GRACE_S))
        await asyncio.sleep(0)
        self.advance(SHORT_GRACE_S * 5 / 6 - 0.1)
        await self.until(lambda: not self.server.is_ready())
        await asyncio.sleep(0.02)
        self.assertEqual(self.proxy.in_flight(), 1)
        self.advance(0.1)
        self.assertEqual((await client.response()).status, 502)
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


class RequestsAfterTheNotice(DataPlaneTest):
    """Guard against requests that a stopping proxy takes so late that it has to cut their responses.

    Each has a deadline after the end of the shutdown, except where a test says otherwise.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.stream_may_end = asyncio.Event()
        self.ending: asyncio.Future[None] | None = None

    async def asyncTearDown(self) -> None:
        if self.ending is not None:
            self.ending.cancel()
        await super().asyncTearDown()

    async def _stream_then_hello(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        """A stream that ends when the test says so; a short response on all other routes."""
        if "/stream/" not in request.line:
            await hello(request, writer)
            return
        writer.write(stream_head(request) + chunk(event(1)))
        await self.stream_may_end.wait()
        writer.write(chunk(event(2)) + chunk(b""))

    async def _stream_begun_before_the_shutdown(self) -> tuple[ScriptedServer, RawClient]:
        """A client whose response head, sent before the shutdown, lets it keep its connection."""
        (upstream,) = await self.start_servers(self._stream_then_hello)
        for route in self.proxy.configuration.routes if self.proxy.configuration else []:
            route.timeout_ms = LONG_TIMEOUT_MS
        client = await self.client()
        client.send(request_bytes("/stream/x", "first", extra=LONG_DEADLINE))
        head = await client.response_head()
        self.assertNotIn("connection", head.headers)
        self.assertEqual(await client.chunk(), event(1))
        return upstream, client

    async def _shut_down(self, elapsed_s: float = AFTER_NOTICE_S) -> None:
        """Start the shutdown; return once it has run for so long."""
        self.ending = asyncio.ensure_future(self.server.shut_down(GRACE_S))
        await asyncio.sleep(0)
        self.advance(elapsed_s)
        if elapsed_s:
            await self.until(lambda: not self.server.listening)

    def _busy_connections(self) -> int:
        return sum(not connection.idle for connection in self.proxy.client_connections)

    async def _end_stream(self, client: RawClient) -> None:
        """Let the stream end; its client gets all of it."""
        self.stream_may_end.set()
        self.assertEqual(await client.chunk(), event(2))
        self.assertEqual(await client.chunk(), b"")

    async def test_kept_connection_closes_with_the_response(self) -> None:
        upstream, client = await self._stream_begun_before_the_shutdown()
        await self._shut_down()
        await self._end_stream(client)
        client.send(request_bytes("/safe/x", "second", extra=LONG_DEADLINE))
        self.assertEqual(await client.reader.read(), b"")
        self.assertEqual(len(upstream.received), 1)

    async def test_pipelined_request_is_refused(self) -> None:
        upstream, client = await self._stream_begun_before_the_shutdown()
        client.send(request_bytes("/unsafe/x", "second", extra=LONG_DEADLINE))
        await self._shut_down()
        await self._end_stream(client)
        reply = await client.response()
        self.assertEqual((reply.status, reply.complete), (503, True))
        self.assertEqual(reply.headers["connection"], "close")
        self.assertEqual(len(upstream.received), 1)

    async def test_request_that_ends_at_its_deadline_in_time_is_served(self) -> None:
        _, client = await self._stream_begun_before_the_shutdown()
        client.send(request_bytes("/safe/x", "second", extra="X-Brackenusher-Deadline-Ms: 2000\r\n"))
        await self._shut_down()
        await self._end_stream(client)
        reply = await client.response()
        self.assertEqual((reply.status, reply.body, reply.headers["connection"]), (200, b"hello", "close"))

    async def test_pipelined_request_is_answered_though_the_shutdown_has_begun(self) -> None:
        """Guard against a close that is announced while a later request waits: it would have no answer."""
        upstream, client = await self._stream_begun_before_the_shutdown()
        await self._shut_down(0.0)
        client.send(request_bytes("/safe/x", "second") + request_bytes("/safe/x", "third"))
        await self._end_stream(client)
        self.assertEqual((await client.response()).body, b"hello")
        self.assertEqual((await client.response()).body, b"hello")
        self.assertEqual(len(upstream.received), 3)

    async def test_body_complete_after_the_notice_is_refused(self) -> None:
        upstream, _ = await self._stream_begun_before_the_shutdown()
        client = await self.client()
        data = request_bytes("/unsafe/x", "upload", body=b"x" * 1000, extra=LONG_DEADLINE)
        client.send(data[:-1])
        await self.until(lambda: self._busy_connections() == 2)
        await self._shut_down()
        client.send(data[-1:])
        reply = await client.response()
        self.assertEqual((reply.status, reply.headers["connection"]), (503, "close"))
        self.assertEqual(len(upstream.received), 1)

    async def test_client_that_waits_for_100_continue_is_refused_at_once(self) -> None:
        upstream, _ = await self._stream_begun_before_the_shutdown()
        client = await self.client()
        expect = "Expect: 100-continue\r\n" + LONG_DEADLINE
        data = request_bytes("/unsafe/x", "upload", body=b"x" * 1000, extra=expect)
        client.send(data[:20])
        await self.until(lambda: self._busy_connections() == 2)
        await self._shut_down()
        client.send(data[20:-1000])
        self.assertEqual((await client.response()).status, 503)
        self.assertEqual(len(upstream.received), 1)

    async def test_body_complete_after_the_end_is_refused(self) -> None:
        upstream, _ = await self._stream_begun_before_the_shutdown()
        client = await self.client()
        data = request_bytes("/unsafe/x", "upload", body=b"x" * 1000)
        client.send(data[:-1])
        await self.until(lambda: self._busy_connections() == 2)
        await self._shut_down()
        self.advance(GRACE_S - AFTER_NOTICE_S - 0.6)
        await self.until(lambda: not self.proxy.in_flight())
        client.send(data[-1:])
        self.assertEqual((await client.response()).status, 503)
        self.assertEqual(len(upstream.received), 1)
