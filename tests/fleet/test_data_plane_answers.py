"""Responses of faulty servers: what the client receives, and whether the status proves non-execution."""

import asyncio

from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    STAMP,
    DataPlaneTest,
    ReceivedRequest,
    Script,
    chunk,
    hello,
    not_executed_response,
    request_bytes,
    response,
)


def close_after(data: bytes) -> Script:
    """Script that writes these bytes, with ID_LINE replaced by the echoed request id, and closes."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data.replace(b"ID_LINE", request.id_line()))
        await writer.drain()
        writer.close()

    return script


class InvalidResponses(DataPlaneTest):
    async def test_success_without_stamp_gets_502(self) -> None:
        await self.start_servers(close_after(b"HTTP/1.1 200 OK\r\nID_LINEContent-Length: 2\r\n\r\nok"))
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 502)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN])

    async def test_response_without_request_id_gets_502(self) -> None:
        await self.start_servers(close_after(b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 2\r\n\r\nok"))
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 502)

    async def test_malformed_response_gets_502(self) -> None:
        await self.start_servers(close_after(b"\x00\x01 nonsense\r\n\r\n"))
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 502)

    async def test_close_without_response_gets_502(self) -> None:
        await self.start_servers(close_after(b""))
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 502)

    async def test_interim_response_is_not_final(self) -> None:
        async def interim(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" + response(request, b"late"))

        await self.start_servers(interim)
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).body, b"late")


class Retries(DataPlaneTest):
    async def test_broken_safe_request_is_retried(self) -> None:
        self.dispatcher.retry_broken = True
        await self.start_servers(
            close_after(b"HTTP/1.1 200 OK\r\nID_LINE" + STAMP + b"Content-Length: 9\r\n\r\nhal"), hello
        )
        reply = await self.fetch(request_bytes("/safe/x"))
        self.assertEqual((reply.status, reply.body), (200, b"hello"))

    async def test_broken_unsafe_request_is_not_retried(self) -> None:
        self.dispatcher.retry_broken = True
        _, second = await self.start_servers(close_after(b""), hello)
        for path in ("/unsafe/x", "/stream/x"):
            self.assertEqual((await self.fetch(request_bytes(path))).status, 502)
        self.assertEqual(second.received, [])

    async def test_refusal_after_broken_unsafe_request_becomes_502(self) -> None:
        self.dispatcher.retry_broken = True
        await self.start_servers(
            close_after(b"")
        )  # without a second server the fake dispatcher refuses with 503
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 502)

    async def test_request_rejected_by_all_servers_gets_503(self) -> None:
        await self.start_servers(
            close_after(not_executed_response()),
            close_after(not_executed_response("421 Misdirected Request")),
        )
        reply = await self.fetch(request_bytes("/unsafe/x"))
        self.assertEqual((reply.status, reply.headers["retry-after"]), (503, "0.250"))

    async def test_unsafe_request_is_retried_after_refused_connection(self) -> None:
        first, second = await self.start_servers(hello, hello)
        await first.stop()
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 200)
        self.assertIn(("connection_failed", "s0"), self.dispatcher.calls)
        self.assertEqual(len(second.received), 1)


class UnprovenStatuses(DataPlaneTest):
    async def test_unproven_503_429_or_408_becomes_502_for_unsafe_request(self) -> None:
        for status in ("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"):
            head = b"HTTP/1.1 " + status.encode() + b"\r\nID_LINE" + STAMP + b"Content-Length: 0\r\n\r\n"
            self.dispatcher.calls.clear()
            await self.start_servers(close_after(head))
            reply = await self.fetch(request_bytes("/unsafe/x"))
            self.assertEqual(reply.status, 502)
            self.assertNotIn("x-brackenusher-response-stamp", reply.headers)

    async def test_server_500_is_forwarded_unchanged(self) -> None:
        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"oops", "500 Internal Server Error"))

        await self.start_servers(fail)
        reply = await self.fetch(request_bytes("/unsafe/x"))
        self.assertEqual((reply.status, reply.body), (500, b"oops"))
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1")
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.ERROR_STATUS])


class RequestIds(DataPlaneTest):
    async def test_server_400_to_missing_id_is_forwarded(self) -> None:
        await self.start_servers(close_after(not_executed_response("400 Bad Request")), hello)
        data = request_bytes("/unsafe/x").replace(b"X-Brackenusher-Request-Id: a1\r\n", b"")
        self.assertEqual((await self.fetch(data)).status, 400)

    async def test_duplicate_ids_get_400(self) -> None:
        (upstream,) = await self.start_servers(hello)
        reply = await self.fetch(request_bytes(extra="X-Brackenusher-Request-Id: a2\r\n"))
        self.assertEqual((reply.status, upstream.received), (400, []))


class LateResponses(DataPlaneTest):
    async def test_response_to_earlier_request_is_discarded(self) -> None:
        earlier = ReceivedRequest("", {"x-brackenusher-request-id": "earlier"}, b"", 0)

        async def extra(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(earlier, b"not yours") + response(request, b"yours"))

        (upstream,) = await self.start_servers(extra)
        for number in (1, 2):
            reply = await self.fetch(request_bytes("/unsafe/x", f"r{number}"))
            self.assertEqual((reply.status, reply.body), (200, b"yours"))
        self.assertEqual(upstream.connections, 2)

    async def test_second_response_to_earlier_request_gets_502(self) -> None:
        earlier = ReceivedRequest("", {"x-brackenusher-request-id": "earlier"}, b"", 0)
        await self.start_servers(close_after(2 * response(earlier, b"not yours")))
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).status, 502)

    async def test_connection_with_surplus_bytes_is_not_reused(self) -> None:
        async def more(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"hello") + b"HTTP/1.1 200 OK\r\n")

        (upstream,) = await self.start_servers(more)
        for number in (1, 2):
            self.assertEqual((await self.fetch(request_bytes(request_id=f"r{number}"))).body, b"hello")
        self.assertEqual(upstream.connections, 2)

    async def test_unsolicited_bytes_close_idle_connection(self) -> None:
        gate = asyncio.Event()

        async def late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"hello"))
            await gate.wait()
            writer.write(response(request, b"again"))

        (upstream,) = await self.start_servers(late)
        self.assertEqual((await self.fetch(request_bytes("/unsafe/x"))).body, b"hello")
        gate.set()
        await upstream.connection_ended.wait()
        self.assertEqual(self.proxy.pool.counts(), (0, 0))


class ResponseTruncatedAtEachByte(DataPlaneTest):
    """The server closes after each possible number of bytes of its response."""

    async def _truncate_at_each_byte(self, path: str, whole: bytes) -> None:
        for length in range(len(whole)):
            await self.start_servers(close_after(whole[:length]))
            reply = await self.fetch(request_bytes(path, "a1"))
            self.assertFalse(reply.status == 200 and reply.complete, f"{path}: {length} bytes look complete")
            self.assertIn(reply.status, (200, 502))
            for upstream in self.upstreams:
                await upstream.stop()
            self.upstreams.clear()

    async def test_body_with_content_length(self) -> None:
        id_line = b"X-Brackenusher-Request-Id: a1\r\n"
        await self._truncate_at_each_byte(
            "/unsafe/x", b"HTTP/1.1 200 OK\r\n" + id_line + STAMP + b"Content-Length: 2\r\n\r\nok"
        )

    async def test_chunked_body(self) -> None:
        id_line = b"X-Brackenusher-Request-Id: a1\r\n"
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        whole = b"HTTP/1.1 200 OK\r\n" + id_line + STAMP + framing + chunk(b"a") + chunk(b"b") + chunk(b"")
        await self._truncate_at_each_byte("/unsafe/x", whole)

    async def test_event_stream(self) -> None:
        id_line = b"X-Brackenusher-Request-Id: a1\r\n"
        framing = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        events = chunk(b"id: 1\ndata: a\n\n") + chunk(b"id: 2\ndata: b\n\n") + chunk(b"")
        await self._truncate_at_each_byte(
            "/stream/x", b"HTTP/1.1 200 OK\r\n" + id_line + STAMP + framing + events
        )

    async def test_truncated_body_over_buffer_limit_resets_client(self) -> None:
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        body = chunk(b"x" * 100_000)
        await self.start_servers(close_after(b"HTTP/1.1 200 OK\r\nID_LINE" + STAMP + framing + body))
        reply = await self.fetch(request_bytes("/safe/x"))
        self.assertEqual((reply.status, reply.complete), (200, False))
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM])

    async def test_truncated_body_over_buffer_limit_is_not_retried(self) -> None:
        self.dispatcher.retry_broken = True
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        part = close_after(b"HTTP/1.1 200 OK\r\nID_LINE" + STAMP + framing + chunk(b"x" * 100_000))
        _, second = await self.start_servers(part, hello)
        reply = await self.fetch(request_bytes("/safe/x"))
        self.assertEqual((reply.complete, second.received), (False, []))
