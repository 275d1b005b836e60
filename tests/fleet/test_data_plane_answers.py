"""Answers of servers in trouble: what reaches the client, and what a client may conclude from it."""

import asyncio

from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    STAMP,
    DataPlaneTest,
    Script,
    SeenRequest,
    answer,
    chunk,
    hello,
    rejection,
    request_bytes,
)


def says(data: bytes) -> Script:
    """A script that writes these bytes, where ID_LINE stands for the echo of the request's id, and ends."""

    async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(data.replace(b"ID_LINE", request.id_line()))
        await writer.drain()
        writer.close()

    return script


class NotAnAnswer(DataPlaneTest):
    async def test_a_success_without_its_stamp_is_no_success(self) -> None:
        await self.serve(says(b"HTTP/1.1 200 OK\r\nID_LINEContent-Length: 2\r\n\r\nok"))
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 502)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN])

    async def test_an_answer_without_the_id_is_no_answer(self) -> None:
        await self.serve(says(b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 2\r\n\r\nok"))
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 502)

    async def test_bytes_that_are_no_answer_are_answered_with_502(self) -> None:
        await self.serve(says(b"\x00\x01 nonsense\r\n\r\n"))
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 502)

    async def test_a_close_without_an_answer_is_answered_with_502(self) -> None:
        await self.serve(says(b""))
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 502)

    async def test_an_interim_answer_is_not_the_answer(self) -> None:
        async def interim(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer(request, b"late"))

        await self.serve(interim)
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).body, b"late")


class Repeats(DataPlaneTest):
    async def test_a_broken_safe_request_is_sent_again(self) -> None:
        self.dispatcher.repeat = True
        await self.serve(says(b"HTTP/1.1 200 OK\r\nID_LINE" + STAMP + b"Content-Length: 9\r\n\r\nhal"), hello)
        reply = await self.ask(request_bytes("/safe/x"))
        self.assertEqual((reply.status, reply.body), (200, b"hello"))

    async def test_a_broken_unsafe_request_is_never_sent_again(self) -> None:
        self.dispatcher.repeat = True
        _, second = await self.serve(says(b""), hello)
        for path in ("/unsafe/x", "/stream/x"):
            self.assertEqual((await self.ask(request_bytes(path))).status, 502)
        self.assertEqual(second.seen, [])

    async def test_a_refusal_after_a_broken_unsafe_request_becomes_502(self) -> None:
        self.dispatcher.repeat = True
        await self.serve(says(b""))  # no second server: the stand-in refuses with 503
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 502)

    async def test_a_rejection_everywhere_becomes_a_refusal(self) -> None:
        await self.serve(says(rejection()), says(rejection("421 Misdirected Request")))
        reply = await self.ask(request_bytes("/unsafe/x"))
        self.assertEqual((reply.status, reply.headers["retry-after"]), (503, "0.250"))

    async def test_a_refused_connection_is_proof_that_nothing_was_sent(self) -> None:
        first, second = await self.serve(hello, hello)
        await first.stop()
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 200)
        self.assertIn(("connection_failed", "s0"), self.dispatcher.told)
        self.assertEqual(len(second.seen), 1)


class Promises(DataPlaneTest):
    async def test_a_503_without_proof_is_no_promise_to_an_unsafe_request(self) -> None:
        for status in ("503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"):
            head = b"HTTP/1.1 " + status.encode() + b"\r\nID_LINE" + STAMP + b"Content-Length: 0\r\n\r\n"
            self.dispatcher.told.clear()
            await self.serve(says(head))
            reply = await self.ask(request_bytes("/unsafe/x"))
            self.assertEqual(reply.status, 502)
            self.assertNotIn("x-brackenusher-response-stamp", reply.headers)

    async def test_a_servers_failure_is_passed_on_unchanged(self) -> None:
        async def fail(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"oops", "500 Internal Server Error"))

        await self.serve(fail)
        reply = await self.ask(request_bytes("/unsafe/x"))
        self.assertEqual((reply.status, reply.body), (500, b"oops"))
        self.assertEqual(reply.headers["x-brackenusher-response-stamp"], "stamp-1")
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.ERROR_STATUS])


class WithoutAnId(DataPlaneTest):
    async def test_the_servers_own_400_is_passed_on(self) -> None:
        await self.serve(says(rejection("400 Bad Request")), hello)
        data = request_bytes("/unsafe/x").replace(b"X-Brackenusher-Request-Id: a1\r\n", b"")
        self.assertEqual((await self.ask(data)).status, 400)

    async def test_two_ids_are_refused(self) -> None:
        (upstream,) = await self.serve(hello)
        reply = await self.ask(request_bytes(extra="X-Brackenusher-Request-Id: a2\r\n"))
        self.assertEqual((reply.status, upstream.seen), (400, []))


class LateAnswers(DataPlaneTest):
    async def test_an_extra_answer_in_the_place_of_the_next_is_read_away(self) -> None:
        earlier = SeenRequest("", {"x-brackenusher-request-id": "earlier"}, b"", 0)

        async def extra(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(earlier, b"not yours") + answer(request, b"yours"))

        (upstream,) = await self.serve(extra)
        for number in (1, 2):
            reply = await self.ask(request_bytes("/unsafe/x", f"r{number}"))
            self.assertEqual((reply.status, reply.body), (200, b"yours"))
        self.assertEqual(upstream.connections, 2)

    async def test_two_extra_answers_are_too_many(self) -> None:
        earlier = SeenRequest("", {"x-brackenusher-request-id": "earlier"}, b"", 0)
        await self.serve(says(2 * answer(earlier, b"not yours")))
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).status, 502)

    async def test_bytes_behind_a_whole_answer_end_the_connection(self) -> None:
        async def more(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"hello") + b"HTTP/1.1 200 OK\r\n")

        (upstream,) = await self.serve(more)
        for number in (1, 2):
            self.assertEqual((await self.ask(request_bytes(request_id=f"r{number}"))).body, b"hello")
        self.assertEqual(upstream.connections, 2)

    async def test_bytes_on_an_idle_connection_end_it(self) -> None:
        gate = asyncio.Event()

        async def late(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"hello"))
            await gate.wait()
            writer.write(answer(request, b"again"))

        (upstream,) = await self.serve(late)
        self.assertEqual((await self.ask(request_bytes("/unsafe/x"))).body, b"hello")
        gate.set()
        await upstream.ended.wait()
        self.assertEqual(self.proxy.pool.counts(), (0, 0))


class CutAtEachByte(DataPlaneTest):
    """A server breaks off after each number of bytes of its answer in turn."""

    async def _replies(self, path: str, whole: bytes) -> None:
        for length in range(len(whole)):
            await self.serve(says(whole[:length]))
            reply = await self.ask(request_bytes(path, "a1"))
            self.assertFalse(reply.status == 200 and reply.whole, f"{path}: {length} bytes look whole")
            self.assertIn(reply.status, (200, 502))
            for upstream in self.upstreams:
                await upstream.stop()
            self.upstreams.clear()

    async def test_a_body_with_a_length(self) -> None:
        id_line = b"X-Brackenusher-Request-Id: a1\r\n"
        await self._replies(
            "/unsafe/x", b"HTTP/1.1 200 OK\r\n" + id_line + STAMP + b"Content-Length: 2\r\n\r\nok"
        )

    async def test_a_body_in_chunks(self) -> None:
        id_line = b"X-Brackenusher-Request-Id: a1\r\n"
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        whole = b"HTTP/1.1 200 OK\r\n" + id_line + STAMP + framing + chunk(b"a") + chunk(b"b") + chunk(b"")
        await self._replies("/unsafe/x", whole)

    async def test_a_stream(self) -> None:
        id_line = b"X-Brackenusher-Request-Id: a1\r\n"
        framing = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        events = chunk(b"id: 1\ndata: a\n\n") + chunk(b"id: 2\ndata: b\n\n") + chunk(b"")
        await self._replies("/stream/x", b"HTTP/1.1 200 OK\r\n" + id_line + STAMP + framing + events)

    async def test_a_body_too_large_to_be_held(self) -> None:
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        body = chunk(b"x" * 100_000)
        await self.serve(says(b"HTTP/1.1 200 OK\r\nID_LINE" + STAMP + framing + body))
        reply = await self.ask(request_bytes("/safe/x"))
        self.assertEqual((reply.status, reply.whole), (200, False))
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.BROKEN_STREAM])

    async def test_a_large_body_that_breaks_is_not_begun_again(self) -> None:
        self.dispatcher.repeat = True
        framing = b"Transfer-Encoding: chunked\r\n\r\n"
        part = says(b"HTTP/1.1 200 OK\r\nID_LINE" + STAMP + framing + chunk(b"x" * 100_000))
        _, second = await self.serve(part, hello)
        reply = await self.ask(request_bytes("/safe/x"))
        self.assertEqual((reply.whole, second.seen), (False, []))
