"""Streams of events through the data plane: passed on at once, in whole events, continued elsewhere."""

import asyncio

from barleybarrow.routing.actions import Outcome
from brackenusher.data_plane.event_stream import EventSplitter, StreamPosition
from tests.fleet.data_plane_support import (
    DataPlaneTest,
    Script,
    SeenRequest,
    chunk,
    configuration,
    event,
    rejection,
    request_bytes,
    stream_head,
)


def streams(first: int, last: int, end: bytes = chunk(b""), stamp: bytes | None = None) -> Script:
    """Events with these ids, then `end`, then a close."""

    async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        head = stream_head(request) if stamp is None else stream_head(request, stamp)
        writer.write(head + b"".join(chunk(event(number)) for number in range(first, last + 1)) + end)
        await writer.drain()
        if end != chunk(b""):
            writer.close()

    return script


def events(first: int, last: int) -> bytes:
    """Events with these ids."""
    return b"".join(event(number) for number in range(first, last + 1))


class Passing(DataPlaneTest):
    async def test_a_whole_stream_arrives_whole(self) -> None:
        await self.serve(streams(1, 3))
        reply = await self.ask(request_bytes("/stream/x"))
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertEqual(reply.body, events(1, 3))
        kinds = [entry[0] for entry in self.dispatcher.told]
        self.assertEqual(kinds[:4], ["arrived", "first_event", "event", "event"])
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.SERVED])

    async def test_each_event_is_passed_on_before_the_next_is_made(self) -> None:
        gate = asyncio.Event()

        async def slow(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request) + chunk(event(1)))
            await gate.wait()
            writer.write(chunk(event(2)) + chunk(b""))

        await self.serve(slow)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        await client.head()
        self.assertEqual(await client.chunk(), event(1))
        gate.set()
        self.assertEqual(await client.chunk(), event(2))
        self.assertEqual(await client.chunk(), b"")

    async def test_bytes_behind_the_last_event_belong_to_the_body(self) -> None:
        await self.serve(streams(1, 2, chunk(b": end\n") + chunk(b"")))
        reply = await self.ask(request_bytes("/stream/x"))
        self.assertEqual((reply.body, reply.whole), (events(1, 2) + b": end\n", True))

    async def test_a_torn_event_is_not_passed_on_and_the_answer_is_cut(self) -> None:
        await self.serve(streams(1, 2, chunk(b"id: 3\ndata: to")))
        reply = await self.ask(request_bytes("/stream/x"))
        self.assertEqual((reply.status, reply.body, reply.whole), (200, events(1, 2), False))
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM])

    async def test_a_stream_without_any_event_is_answered_with_502(self) -> None:
        await self.serve(streams(1, 0, chunk(b"id: 1\nda")))
        self.assertEqual((await self.ask(request_bytes("/stream/x"))).status, 502)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN])

    async def test_a_clients_own_place_in_a_stream_is_passed_on(self) -> None:
        (upstream,) = await self.serve(streams(5, 6))
        reply = await self.ask(request_bytes("/resume/x", extra="Last-Event-Id: 4\r\n"))
        self.assertEqual(reply.body, events(5, 6))
        self.assertEqual(upstream.seen[0].headers["last-event-id"], "4")

    async def test_a_client_that_reads_nothing_holds_its_server_up(self) -> None:
        written = 0

        async def endless(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            writer.write(stream_head(request))
            for number in range(1, 601):
                writer.write(chunk(event(number, "x" * 50_000)))
                await writer.drain()
                written += 1
            writer.write(chunk(b""))

        await self.serve(endless)
        patient = configuration()
        for route in patient.routes:
            route.timeout_ms = 600_000.0  # 30 MB take more than the usual deadline on a busy machine
        self.proxy.configure(patient)
        client = await self.client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        client.send(request_bytes("/stream/x"))
        while not written:
            await asyncio.sleep(0)
        still, before = 0, -1
        while still < 200:  # turns of the loop without progress
            still = still + 1 if written == before else 0
            before = written
            await asyncio.sleep(0)
        self.assertTrue(0 < written < 500)
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        reply = await client.reply()
        self.assertTrue(reply.whole)
        self.assertEqual(written, 600)


class Resuming(DataPlaneTest):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.dispatcher.repeat = True

    async def test_a_broken_stream_goes_on_at_the_next_server(self) -> None:
        stamp = b"X-Brackenusher-Response-Stamp: stamp-2\r\n"
        _, second = await self.serve(streams(1, 3, chunk(b"id: 4\ndata:")), streams(4, 6, stamp=stamp))
        reply = await self.ask(request_bytes("/resume/x"))
        self.assertEqual((reply.status, reply.body, reply.whole), (200, events(1, 6), True))
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1")
        self.assertEqual(second.seen[0].headers["last-event-id"], "3")
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM, Outcome.SERVED])

    async def test_a_stream_that_breaks_before_its_first_event_starts_anew(self) -> None:
        _, second = await self.serve(streams(1, 0, b""), streams(1, 2))
        reply = await self.ask(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.whole), (events(1, 2), True))
        self.assertNotIn("last-event-id", second.seen[0].headers)

    async def test_events_that_come_twice_are_passed_on_once(self) -> None:
        await self.serve(streams(1, 3, b""), streams(2, 5))
        self.assertEqual((await self.ask(request_bytes("/resume/x"))).body, events(1, 5))

    async def test_a_gap_is_never_passed_on(self) -> None:
        await self.serve(streams(1, 3, b""), streams(5, 6), streams(4, 6))
        self.assertEqual((await self.ask(request_bytes("/resume/x"))).body, events(1, 6))

    async def test_a_break_after_the_last_event_needs_only_the_end(self) -> None:
        await self.serve(streams(1, 3, b""), streams(4, 3))
        reply = await self.ask(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.whole), (events(1, 3), True))

    async def test_a_rejection_in_between_is_passed_over(self) -> None:
        async def full(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(rejection())

        await self.serve(streams(1, 2, b""), full, streams(3, 4))
        self.assertEqual((await self.ask(request_bytes("/resume/x"))).body, events(1, 4))

    async def test_without_a_further_server_the_answer_is_cut(self) -> None:
        await self.serve(streams(1, 2, b""))
        reply = await self.ask(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.whole), (events(1, 2), False))

    async def test_a_failure_in_place_of_the_rest_cuts_the_answer(self) -> None:
        async def fail(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 500 Oops\r\n" + request.id_line() + b"Content-Length: 0\r\n\r\n")

        await self.serve(streams(1, 2, b""), fail)
        reply = await self.ask(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.whole), (events(1, 2), False))

    async def test_a_stream_that_may_not_be_resumed_is_cut(self) -> None:
        _, second = await self.serve(streams(1, 2, b""), streams(3, 4))
        reply = await self.ask(request_bytes("/stream/x"))
        self.assertEqual((reply.body, reply.whole, second.seen), (events(1, 2), False, []))

    async def test_a_cut_at_each_byte_loses_and_repeats_nothing(self) -> None:
        whole = chunk(event(1)) + chunk(event(2)) + chunk(b"")

        async def rest(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            after = int(request.headers.get("last-event-id", "0"))
            body = b"".join(chunk(event(number)) for number in range(after + 1, 3))
            writer.write(stream_head(request) + body + chunk(b""))

        for length in range(len(whole)):
            await self.serve(streams(1, 0, whole[:length]), rest)
            reply = await self.ask(request_bytes("/resume/x", f"r{length}"))
            self.assertEqual((reply.body, reply.whole), (events(1, 2), True), f"cut after {length} bytes")
            for upstream in self.upstreams:
                await upstream.stop()
            self.upstreams.clear()


class Splitting(DataPlaneTest):
    def test_events_are_cut_at_any_place(self) -> None:
        body = b"versions: 2\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nrest"
        for place in range(len(body)):
            splitter = EventSplitter()
            cut = splitter.feed(body[:place]) + splitter.feed(body[place:])
            self.assertEqual(b"".join(piece.data for piece in cut) + splitter.remainder(), body)
            self.assertEqual([piece.id for piece in cut], ["1", "2", None])

    def test_ids_that_do_not_count_by_one_have_no_gaps(self) -> None:
        position = StreamPosition(None)
        for event_id in ("45", "90"):
            position.advance(event_id)
        self.assertFalse(position.is_gap("100"))
        self.assertTrue(position.is_duplicate("90"))
        self.assertFalse(position.is_duplicate("91"))
