"""Guard against requests that are never answered because their response cannot be framed as its head states.

A server may state two lengths that do not fit. Its chunks then frame the body (RFC 9112, 6.3); a length that
is passed on would frame the client's response otherwise than it is sent.
"""

import asyncio

from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    STAMP,
    TEST_TIMEOUT_S,
    ClientResponse,
    DataPlaneTest,
    ReceivedRequest,
    Script,
    chunk,
    event,
    request_bytes,
)

CHUNKS_STATED = b"Transfer-Encoding: chunked\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
RELAYED_BODY = b"y" * 200_000  # exceeds what is buffered until it is complete
WRONG_LENGTHS = (0, 1, 99, 1_000_000)


def length_stated(length: int) -> bytes:
    """A Content-Length header."""
    return b"Content-Length: %d\r\n" % length


def head_with(request: ReceivedRequest, fields: bytes) -> bytes:
    """The head of a successful response with these fields."""
    return b"HTTP/1.1 200 OK\r\n" + request.id_line() + STAMP + fields + b"\r\n"


def chunked(body: bytes, fields: bytes) -> Script:
    """Script that sends a body in one chunk, with a proper end, and keeps the connection."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head_with(request, fields + CHUNKS_STATED) + chunk(body) + chunk(b""))

    return script


def sized(body: bytes, stated: int) -> Script:
    """Script that sends a stream with a stated length; where the body is shorter, it is broken off."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(head_with(request, EVENT_STREAM + length_stated(stated)) + body)
        await writer.drain()
        if len(body) < stated:
            writer.close()

    return script


async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Script that never answers."""


class TwoLengths(DataPlaneTest):
    """Responses with a length and chunks: the request was never answered where the two differ."""

    async def _assert_answered(self, script: Script, body: bytes, path: str) -> None:
        await self.start_servers(script)
        reply = await self.fetch(request_bytes(path))
        self.assertEqual((reply.status, reply.complete, reply.body == body), (200, True, True))
        self.assertEqual(self.dispatcher.outcomes()[-1], Outcome.SERVED)
        self.assertEqual(self.proxy.in_flight(), 0)

    async def test_plain_response(self) -> None:
        for length in (*WRONG_LENGTHS, len(b"hello")):
            for path in ("/safe/x", "/unsafe/x"):
                await self._assert_answered(chunked(b"hello", length_stated(length)), b"hello", path)

    async def test_stream(self) -> None:
        body = event(1) + event(2)
        for length in (*WRONG_LENGTHS, len(body)):
            for path in ("/stream/x", "/resume/x"):
                script = chunked(body, EVENT_STREAM + length_stated(length))
                await self._assert_answered(script, body, path)

    async def test_long_response(self) -> None:
        for length in WRONG_LENGTHS:
            script = chunked(RELAYED_BODY, length_stated(length))
            await self._assert_answered(script, RELAYED_BODY, "/unsafe/x")

    async def test_empty_response(self) -> None:
        await self._assert_answered(chunked(b"", length_stated(7)), b"", "/safe/x")

    async def test_client_of_http_1_0(self) -> None:
        await self.start_servers(chunked(b"hello", length_stated(7)))
        client = await self.client()
        client.send(request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            received = await client.reader.read(-1)
        self.assertTrue(received.endswith(b"\r\n\r\nhello"), received)

    async def test_request_for_the_head_alone(self) -> None:
        async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(head_with(request, length_stated(7) + CHUNKS_STATED))

        await self.start_servers(script)
        client = await self.client()
        client.send(request_bytes(method="HEAD"))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            self.assertEqual((await client.response_head()).status, 200)
        await self.until(lambda: self.proxy.in_flight() == 0)

    async def test_connection_of_such_a_response_is_not_reused(self) -> None:
        (upstream,) = await self.start_servers(chunked(b"hello", length_stated(7)))
        for number in range(3):
            await self.fetch(request_bytes(request_id=f"a{number}"))
        self.assertEqual([request.connection for request in upstream.received], [1, 2, 3])

    async def test_two_different_lengths_get_502(self) -> None:
        async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(head_with(request, length_stated(5) + length_stated(7)) + b"hello")

        await self.start_servers(script)
        self.assertEqual((await self.fetch(request_bytes())).status, 502)


class LengthOfAResumedStream(DataPlaneTest):
    """Streams whose first server stated a length, and that another server continued with other bytes."""

    async def _resume(self, first: bytes, stated: int, rest: bytes) -> ClientResponse:
        self.dispatcher.retry_broken = True
        await self.start_servers(sized(first, stated), sized(rest, len(rest)))
        return await self.fetch(request_bytes("/resume/x"))

    async def test_rest_of_any_length_completes_the_stream(self) -> None:
        body = event(1) + event(2) + event(3)
        for stated in (len(body) - 1, len(body), len(body) + 9, 1_000_000):
            reply = await self._resume(event(1), stated, event(2) + event(3))
            self.assertEqual((reply.status, reply.body, reply.complete), (200, body, True), stated)
            self.assertEqual(self.proxy.in_flight(), 0)

    async def test_stated_length_of_other_streams_is_passed_on(self) -> None:
        body = event(1) + event(2)
        await self.start_servers(sized(body, len(body)))
        reply = await self.fetch(request_bytes("/stream/x"))
        self.assertEqual((reply.headers["content-length"], reply.body), (str(len(body)), body))


class ResponseThatFitsNoFraming(DataPlaneTest):
    """Whatever cannot be sent as its head states ends the client's connection, and the request with it."""

    async def test_client_sees_the_end_and_the_request_is_over(self) -> None:
        for body in (b"x", b"x" * 20):
            await self.start_servers(silent)
            client = await self.client()
            client.send(request_bytes())
            await self.until(lambda: self.proxy.in_flight() == 1)
            (connection,) = [c for c in self.proxy.client_connections if not c.idle]
            connection.send_response(200, [(b"content-length", b"10")], body)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                self.assertEqual(await client.reader.read(-1), b"")
            await self.until(lambda: self.proxy.in_flight() == 0)

    async def test_relayed_response(self) -> None:
        await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes())
        await self.until(lambda: self.proxy.in_flight() == 1)
        (connection,) = self.proxy.client_connections
        connection.send_head(200, [(b"content-length", b"10")])
        connection.send_body(b"x" * 8)
        connection.send_body(b"x" * 8)
        connection.send_end()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            received = await client.reader.read(-1)
        self.assertTrue(received.endswith(b"\r\n\r\n" + b"x" * 8), received)
        await self.until(lambda: self.proxy.in_flight() == 0)
