"""Guard against streams without a length that a crash tears, and that clients get as complete.

Such a response ends with its connection, in the same way whether its server is done or has crashed. Only an
event without the blank line at its end shows the difference; a response that is whole stays whole.
"""

import asyncio
import unittest

from barleybarrow.routing.actions import Outcome
from brackenusher.data_plane.event_stream import EventSplitter
from tests.fleet.data_plane_support import (
    STAMP,
    TEST_TIMEOUT_S,
    DataPlaneTest,
    ReceivedRequest,
    Script,
    chunk,
    event,
    request_bytes,
    stream_head,
)

EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
TORN_EVENT = b"id: 3\ndata: to"
LONG_BODY = b"x" * (24 * 1024 * 1024)  # exceeds the buffers between server, proxy and client


def ended_by_close(body: bytes, fields: bytes = EVENT_STREAM, status: bytes = b"200 OK") -> Script:
    """Script whose response has no length and ends with its connection, as a killed process leaves it."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = b"HTTP/1.1 " + status + b"\r\n" + request.id_line() + STAMP + fields + b"\r\n"
        for part in (head, body):
            writer.write(part)
            await writer.drain()
        writer.close()

    return script


def whole_rest(request_events: bytes) -> Script:
    """Script that sends these events with a proper end."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_head(request) + chunk(request_events) + chunk(b""))

    return script


class TornStreams(DataPlaneTest):
    async def test_torn_stream_is_incomplete(self) -> None:
        await self.start_servers(ended_by_close(event(1) + event(2) + TORN_EVENT))
        reply = await self.fetch(request_bytes("/stream/x"))
        self.assertEqual((reply.status, reply.body, reply.complete), (200, event(1) + event(2), False))
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM])

    async def test_torn_stream_is_resumed_where_the_route_allows(self) -> None:
        self.dispatcher.retry_broken = True
        _, second = await self.start_servers(
            ended_by_close(event(1) + event(2) + TORN_EVENT), whole_rest(event(3) + event(4))
        )
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.body, reply.complete), (b"".join(map(event, range(1, 5))), True))
        self.assertEqual(second.received[0].headers["last-event-id"], "2")

    async def test_torn_rest_of_a_resumed_stream_is_incomplete(self) -> None:
        self.dispatcher.retry_broken = True
        for rest, forwarded in ((TORN_EVENT, event(1) + event(2)), (event(3) + b"id: 4\n", b"")):
            self.dispatcher.calls.clear()
            await self.start_servers(ended_by_close(event(1) + event(2) + TORN_EVENT), ended_by_close(rest))
            reply = await self.fetch(request_bytes("/resume/x"))
            self.assertEqual(reply.complete, False)
            self.assertEqual(reply.body, forwarded or event(1) + event(2) + event(3))
            self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM, Outcome.BROKEN_STREAM])

    async def test_stream_torn_in_its_first_event_gets_502(self) -> None:
        await self.start_servers(ended_by_close(b"id: 1\nda"))
        self.assertEqual((await self.fetch(request_bytes("/stream/x"))).status, 502)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN])

    async def test_stream_torn_in_its_first_event_is_sent_again_where_the_route_allows(self) -> None:
        self.dispatcher.retry_broken = True
        await self.start_servers(ended_by_close(b"id: 1\nda"), whole_rest(event(1) + event(2)))
        reply = await self.fetch(request_bytes("/resume/x"))
        self.assertEqual((reply.status, reply.body, reply.complete), (200, event(1) + event(2), True))

    async def test_stream_cut_at_each_byte_is_complete_only_between_events(self) -> None:
        body = event(1) + b"id: 2\r\ndata: two\r\n\r\n"
        whole = {0, len(event(1)), len(body)}
        for length in range(len(body) + 1):
            await self.start_servers(ended_by_close(body[:length]))
            reply = await self.fetch(request_bytes("/stream/x"))
            looks_complete = reply.status == 200 and reply.complete
            self.assertEqual(looks_complete, length in whole, f"{length} bytes: {body[:length]!r}")


class WholeResponses(DataPlaneTest):
    """Responses without a length that may not be taken for torn ones."""

    async def _assert_forwarded(self, script: Script, body: bytes, path: str = "/stream/x") -> None:
        await self.start_servers(script)
        reply = await self.fetch(request_bytes(path))
        self.assertEqual((reply.body, reply.complete), (body, True))
        self.assertIn(self.dispatcher.outcomes()[-1], (Outcome.SERVED, Outcome.ERROR_STATUS))

    async def test_streams_that_end_between_events(self) -> None:
        for end in (
            b"",
            b"\n",
            b"\r\n",
            b": bye\n",
            b": bye\r\n\r\n",
            b"id: 2\r\ndata: x\r\n\r\n",
            b"data: x\r\r",
        ):
            await self._assert_forwarded(ended_by_close(event(1) + end), event(1) + end)

    async def test_stream_whose_lines_end_with_carriage_returns(self) -> None:
        body = b"id: 1\rdata: x\r\rid: 2\rdata: y\r\r"
        await self._assert_forwarded(ended_by_close(body), body)

    async def test_bodies_that_are_no_streams(self) -> None:
        for fields in (b"Content-Type: text/plain\r\n", b""):
            await self._assert_forwarded(ended_by_close(b"data: to", fields), b"data: to", "/safe/x")
            await self._assert_forwarded(ended_by_close(b"x" * 100_000, fields), b"x" * 100_000, "/unsafe/x")

    async def test_failure_of_a_server_with_the_type_of_a_stream(self) -> None:
        failed = ended_by_close(b"data: oops", status=b"500 Internal Server Error")
        await self._assert_forwarded(failed, b"data: oops")

    async def test_encoded_stream(self) -> None:
        encoded = ended_by_close(b"\x1f\x8b\x08", EVENT_STREAM + b"Content-Encoding: gzip\r\n")
        await self._assert_forwarded(encoded, b"\x1f\x8b\x08")

    async def test_unfinished_event_of_a_response_that_states_its_end(self) -> None:
        for framing in (b"Content-Length: %d\r\n" % len(TORN_EVENT), b"Transfer-Encoding: chunked\r\n"):
            body = TORN_EVENT if b"Length" in framing else chunk(TORN_EVENT) + chunk(b"")
            await self._assert_forwarded(ended_by_close(body, EVENT_STREAM + framing), TORN_EVENT)


class ClientsOfHttp10(DataPlaneTest):
    """Guard against cut responses that look complete to clients whose responses end with the connection."""

    async def _read_all(self) -> tuple[bytes, bool]:
        """What a client reads, and whether its connection ended in the ordinary way."""
        client = await self.client()
        client.send(request_bytes("/stream/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        received = b""
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while data := await client.reader.read(1000):
                    received += data
        except ConnectionResetError:
            return received, False
        return received, True

    async def test_response_that_breaks_ends_with_a_reset(self) -> None:
        await self.start_servers(ended_by_close(event(1) + TORN_EVENT))
        received, ended = await self._read_all()
        self.assertIn(b"200 OK", received)
        self.assertFalse(ended)

    async def test_response_not_sent_by_the_end_of_the_proxy_ends_with_a_reset(self) -> None:
        await self.start_servers(ended_by_close(LONG_BODY, b"Content-Type: text/plain\r\n"))
        client = await self.client()
        client.send(request_bytes("/safe/x").replace(b"HTTP/1.1", b"HTTP/1.0"))
        await client.reader.readexactly(100)
        self.server.close()
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while await client.reader.read(1_000_000):
                    pass

    async def test_whole_response_ends_with_a_close(self) -> None:
        await self.start_servers(whole_rest(event(1) + event(2)))
        received, ended = await self._read_all()
        self.assertTrue(received.endswith(event(1) + event(2)))
        self.assertTrue(ended)


class EndsInsideEvent(unittest.TestCase):
    def test_rest_after_the_last_event(self) -> None:
        for rest, inside in (
            (b"", False),
            (b"\n", False),
            (b"\r\n", False),
            (b":\n: ping\r\n", False),
            (b"data: x\r\r", False),
            (b"data: x\r\r: bye\r", False),
            (b": pi", True),
            (b"data: x", True),
            (b"data: x\n", True),
            (b"data: x\r\n", True),
            (b"data: x\r\n\r", True),
            (b"data: x\r", True),
            (b"data: x\r\rdata: y", True),
            (b"\n" + b"\r" * 100_000 + b"x", True),
        ):
            splitter = EventSplitter()
            splitter.feed(event(1) + rest)
            self.assertEqual(splitter.ends_inside_event(), inside, rest[:30])
