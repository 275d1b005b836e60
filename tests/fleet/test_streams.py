"""Event streams through the data plane: forwarded at once in complete events, resumed at another server."""

import asyncio

from barleybarrow.routing.actions import Outcome
from brackenusher.data_plane.event_stream import EventSplitter, StreamPosition
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    ReceivedRequest,
    Script,
    chunk,
    configuration,
    event,
    not_executed_response,
    request_bytes,
    stream_head,
)


def stream_script(first: int, last: int, end: bytes = chunk(b""), stamp: bytes | None = None) -> Script:
    """Script that sends events with these ids, then `end`, then closes."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = stream_head(request) if stamp is None else stream_head(request, stamp)
        writer.write(head + b"".join(chunk(event(number)) for number in range(first, last + 1)) + end)
        await writer.drain()
        if end != chunk(b""):
            writer.close()

    return script


def events(first: int, last: int) -> bytes:
    """Events with these ids."""
    return b"".join(event(number) for number in range(first, last + 1))


class StreamForwarding(DataPlaneTest):
    async def test_complete_stream_is_forwarded(self) -> None:
        await self.start_servers(stream_script(1, 3))
        reply = await self.fetch(request_bytes("/stream/x"))
        self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertEqual(reply.body, events(1, 3))
        kinds = [entry[0] for entry in self.dispatcher.calls]
        self.assertEqual(kinds[:4], ["arrived", "first_event", "event", "event"])
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.SERVED])

    async def test_each_event_is_forwarded_immediately(self) -> None:
        gate = asyncio.Event()

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(1)))
            await gate.wait()
            writer.write(chunk(event(2)) + chunk(b""))

        await self.start_servers(slow)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        await client.response_head()
        self.assertEqual(await client.chunk(), event(1))
        gate.set()
        self.assertEqual(await client.chunk(), event(2))
        self.assertEqual(await client.chunk(), b"")

    async def test_bytes_after_last_event_are_forwarded(self) -> None:
        await self.start_servers(stream_script(1, 2, chunk(b": end\n") + chunk(b"")))
        reply = await self.fetch(request_bytes("/stream/x"))
        self.assertEqual((reply.body, reply.complete), (events(1, 2) + b": end\n", True))

    async def test_incomplete_event_is_not_forwarded(self) -> None:
        await self.start_servers(stream_script(1, 2, chunk(b"id: 3\ndata: to")))
        reply = await self.fetch(request_bytes("/stream/x"))
        self.assertEqual((reply.status, reply.body, reply.complete), (200, events(1, 2), False))
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM])

    async def test_stream_broken_before_first_event_gets_502(self) -> None:
        await self.start_servers(stream_script(1, 0, chunk(b"id: 1\nda")))
        self.assertEqual((await self.fetch(request_bytes("/stream/x"))).status, 502)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN])

    async def test_client_last_event_id_is_forwarded(self) -> None:
        (upstream,) = await self.start_servers(stream_script(5, 6))
        reply = await self.fetch(request_bytes("/resume/x", extra="Last-Event-Id: 4\r\n"))
        self.assertEqual(reply.body, events(5, 6))
        self.assertEqual(upstream.received[0].headers["last-event-id"], "4")

    async def test_slow_client_applies_backpressure_to_server(self) -> None:
        written = 0

        async def endless(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            writer.write(stream_head(request))
            for number in range(1, 601):
                writer.write(chunk(event(number, "x" * 50_000)))
                await writer.drain()
                written += 1
            writer.write(chunk(b""))

        await self.start_servers(endless)
        long_timeouts = configuration()
        for route in long_timeouts.routes:
            route.timeout_ms = 600_000.0  # 30 MB exceed the usual deadline on a busy machine
        self.proxy.configure(long_timeouts)
        client = await self.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(request_bytes("/stream/x"))
        while not written:
            await asyncio.sleep(0)
        idle_turns, previous = 0, -1
        while idle_turns < 200:  # iterations of the loop without progress
            idle_turns = idle_turns + 1 if written == previous else 0
            previous = written
            await asyncio.sleep(0)
        self.assertTrue(0 < written < 500)
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        reply = await client.response()
        self.assertTrue(reply.complete)
        self.assertEqual(written, 600)


class StreamResumption(DataPlaneTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.dispatcher.retry_broken = True

    async def test_broken_stream_resumes_at_next_server(self) -> None:
        stamp = b"X-Brackenusher-Response-Stamp: stamp-2\r\n"
        _, second = await self.start_servers(
            stream_script(1, 3, chunk(b"id: 4\ndata:")), stream_script(4, 6, stamp=stamp)
        )
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.status, reply.body, reply.complete), (200, events(1, 6), True))
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1")
        self.assertEqual(second.received[0].headers["last-event-id"], "3")
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM, Outcome.SERVED])

    async def test_stream_broken_before_first_event_restarts(self) -> None:
        _, second = await self.start_servers(stream_script(1, 0, b""), stream_script(1, 2))
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.complete), (events(1, 2), True))
        self.assertNotIn("last-event-id", second.received[0].headers)

    async def test_duplicate_events_are_dropped(self) -> None:
        await self.start_servers(stream_script(1, 3, b""), stream_script(2, 5))
        self.assertEqual((await self.fetch(request_bytes("/resume/x"))).body, events(1, 5))

    async def test_gap_is_not_forwarded(self) -> None:
        await self.start_servers(stream_script(1, 3, b""), stream_script(5, 6), stream_script(4, 6))
        self.assertEqual((await self.fetch(request_bytes("/resume/x"))).body, events(1, 6))

    async def test_break_after_last_event_resumes_with_end_only(self) -> None:
        await self.start_servers(stream_script(1, 3, b""), stream_script(4, 3))
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.complete), (events(1, 3), True))

    async def test_rejection_during_resume_tries_next_server(self) -> None:
        async def full(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(not_executed_response())

        await self.start_servers(stream_script(1, 2, b""), full, stream_script(3, 4))
        self.assertEqual((await self.fetch(request_bytes("/resume/x"))).body, events(1, 4))

    async def test_client_is_reset_when_no_server_is_left(self) -> None:
        await self.start_servers(stream_script(1, 2, b""))
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.complete), (events(1, 2), False))

    async def test_error_during_resume_resets_client(self) -> None:
        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 500 Oops\r\n" + request.id_line() + b"Content-Length: 0\r\n\r\n")

        await self.start_servers(stream_script(1, 2, b""), fail)
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.complete), (events(1, 2), False))

    async def test_stream_not_resumable_resets_client(self) -> None:
        _, second = await self.start_servers(stream_script(1, 2, b""), stream_script(3, 4))
        reply = await self.fetch(request_bytes("/stream/x"))
        self.assertEqual((reply.body, reply.complete, second.received), (events(1, 2), False, []))

    async def test_truncation_at_each_byte_loses_and_repeats_nothing(self) -> None:
        whole = chunk(event(1)) + chunk(event(2)) + chunk(b"")

        async def rest(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            after = int(request.headers.get("last-event-id", "0"))
            body = b"".join(chunk(event(number)) for number in range(after + 1, 3))
            writer.write(stream_head(request) + body + chunk(b""))

        for length in range(len(whole)):
            await self.start_servers(stream_script(1, 0, whole[:length]), rest)
            reply = await self.fetch(request_bytes("/resume/x", f"r{length}"))
            self.assertEqual((reply.body, reply.complete), (events(1, 2), True), f"cut after {length} bytes")
            for upstream in self.upstreams:
                await upstream.stop()
            self.upstreams.clear()


class EventSplitting(DataPlaneTest):
    def test_events_are_split_at_any_chunk_boundary(self) -> None:
        body = b"versions: 2\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nrest"
        for boundary in range(len(body)):
            splitter = EventSplitter()
            events = splitter.feed(body[:boundary]) + splitter.feed(body[boundary:])
            self.assertEqual(b"".join(piece.data for piece in events) + splitter.remainder(), body)
            self.assertEqual([piece.id for piece in events], ["1", "2", None])

    def test_nonsequential_ids_have_no_gaps(self) -> None:
        position = StreamPosition(None)
        for event_id in ("45", "90"):
            position.advance(event_id)
        self.assertFalse(position.is_gap("100"))
        self.assertTrue(position.is_duplicate("90"))
        self.assertFalse(position.is_duplicate("91"))
