"""What clients do on their connections: framing, pipelining, leaving, waiting, and being late."""

import asyncio

from barleybarrow.documents import ClientLimits
from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    HOST,
    DataPlaneTest,
    SeenRequest,
    answer,
    chunk,
    configuration,
    event,
    request_bytes,
    stream_head,
)


async def hello(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """A proper answer."""
    writer.write(answer(request, b"hello " + request.body))


class Gate:
    """A server that answers once it is opened."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def __call__(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        await self.opened.wait()
        writer.write(answer(request, b"late"))


async def silent(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """No answer."""


class Headers(DataPlaneTest):
    async def test_headers_of_one_connection_stay_on_it(self) -> None:
        (upstream,) = await self.serve(hello)
        extra = (
            "Connection: X-Mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nX-Other: 2\r\n"
        )
        await self.ask(request_bytes(extra=extra))
        seen = upstream.seen[0].headers
        self.assertEqual(seen["x-other"], "2")
        for name in ("connection", "x-mine", "te", "upgrade", "keep-alive"):
            self.assertNotIn(name, seen)

    async def test_the_server_is_told_what_is_left_of_the_deadline(self) -> None:
        (upstream,) = await self.serve(hello)
        await self.ask(request_bytes(extra="X-Brackenusher-Deadline-Ms: 2000\r\n"))
        left = int(upstream.seen[0].headers["x-brackenusher-deadline-ms"])
        self.assertTrue(0 < left <= 2000)

    async def test_a_servers_own_connection_headers_are_not_passed_on(self) -> None:
        async def last(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"bye", extra=b"Connection: close\r\nKeep-Alive: timeout=77\r\n"))

        (upstream,) = await self.serve(last)
        client = await self.client()
        for number in (1, 2):
            client.send(request_bytes(request_id=f"r{number}"))
            reply = await client.reply()
            self.assertEqual((reply.body, reply.headers.get("connection")), (b"bye", None))
            self.assertNotIn("keep-alive", reply.headers)
        self.assertEqual(upstream.connections, 2)

    async def test_an_answer_to_head_has_a_length_and_no_body(self) -> None:
        async def head_only(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request, b"hello")[:-5])

        await self.serve(head_only)
        client = await self.client()
        for number in (1, 2):
            client.send(request_bytes(request_id=f"r{number}", method="HEAD"))
            reply = await client.head()
            self.assertEqual((reply.status, reply.headers["content-length"]), (200, "5"))


class Framing(DataPlaneTest):
    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        (upstream,) = await self.serve(hello)
        client = await self.client()
        client.send(b"".join(request_bytes(request_id=f"r{n}", body=b"%d" % n) for n in range(5)))
        bodies = [(await client.reply()).body for _ in range(5)]
        self.assertEqual(bodies, [b"hello %d" % n for n in range(5)])
        self.assertEqual([seen.body for seen in upstream.seen], [b"%d" % n for n in range(5)])

    async def test_a_client_that_waits_for_100_continue_is_told_to_go_on(self) -> None:
        await self.serve(hello)
        client = await self.client()
        whole = request_bytes(body=b"abc", extra="Expect: 100-continue\r\n")
        client.send(whole[:-3])
        self.assertEqual((await client.head()).status, 100)
        client.send(whole[-3:])
        self.assertEqual((await client.reply()).body, b"hello abc")

    async def test_a_client_that_waits_in_vain_is_refused_without_its_body(self) -> None:
        await self.serve(hello)
        client = await self.client()
        client.send(request_bytes("/elsewhere/x", body=b"abc", extra="Expect: 100-continue\r\n")[:-3])
        reply = await client.reply()
        self.assertEqual((reply.status, reply.headers["connection"]), (404, "close"))

    async def test_a_request_in_single_bytes_arrives_whole(self) -> None:
        (upstream,) = await self.serve(hello)
        client = await self.client()
        for byte in request_bytes(body=b"abc"):
            client.send(bytes((byte,)))
            await client.writer.drain()
            await asyncio.sleep(0)
        self.assertEqual((await client.reply()).body, b"hello abc")
        self.assertEqual(upstream.seen[0].body, b"abc")

    async def test_what_is_not_proper_is_answered_with_400(self) -> None:
        (upstream,) = await self.serve(hello)
        improper = (
            b"nonsense\r\n\r\n",
            b"GET /safe/x HTTP/1.1\r\n\r\n",
            b"GET /safe/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost : a\r\n\r\n",
            b"POST /safe/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST /safe/x HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        )
        for data in improper:
            self.assertEqual((await self.ask(data)).status, 400, data)
        self.assertEqual(upstream.seen, [])

    async def test_an_unknown_coding_is_answered_with_501(self) -> None:
        await self.serve(hello)
        data = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".encode()
        self.assertEqual((await self.ask(data)).status, 501)


class Leaving(DataPlaneTest):
    async def test_a_client_that_resets_frees_its_server(self) -> None:
        (upstream,) = await self.serve(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        await upstream.arrived.wait()
        client.reset()
        await upstream.ended.wait()
        self.assertEqual(self.proxy.in_flight(), 0)
        self.assertIn(("abandoned",), self.dispatcher.told)

    async def test_a_client_that_closes_under_a_stream_frees_its_server(self) -> None:
        async def endless(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request))
            for number in range(1, 1_000_000):
                writer.write(chunk(event(number)))
                await writer.drain()

        (upstream,) = await self.serve(endless)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        await client.head()
        client.close()
        await upstream.ended.wait()
        self.assertEqual(self.proxy.in_flight(), 0)

    async def test_a_client_that_half_closes_gets_its_answer(self) -> None:
        gate = Gate()
        (upstream,) = await self.serve(gate)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        client.writer.write_eof()
        await upstream.arrived.wait()
        gate.opened.set()
        reply = await client.reply()
        self.assertEqual((reply.body, reply.headers["connection"]), (b"late", "close"))
        self.assertEqual(await client.reader.read(), b"")

    async def test_a_client_that_half_closed_has_given_a_silent_stream_up_at_a_known_time(self) -> None:
        (upstream,) = await self.serve(silent)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        client.writer.write_eof()
        await upstream.arrived.wait()
        self.advance(1.9)
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertEqual(self.proxy.in_flight(), 1)
        self.advance(0.2)
        await upstream.ended.wait()
        self.assertEqual(self.proxy.in_flight(), 0)
        self.assertIn(("abandoned",), self.dispatcher.told)


class Deadlines(DataPlaneTest):
    async def test_a_request_that_was_sent_is_answered_with_504_at_its_deadline(self) -> None:
        (upstream,) = await self.serve(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 1500\r\n"))
        await upstream.arrived.wait()
        self.advance(1.6)
        self.assertEqual((await client.reply()).status, 504)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.TIMED_OUT])
        await upstream.ended.wait()

    async def test_the_routes_timeout_holds_too(self) -> None:
        (upstream,) = await self.serve(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 60000\r\n"))
        await upstream.arrived.wait()
        self.advance(4.1)
        self.assertEqual((await client.reply()).status, 504)

    async def test_a_request_that_was_never_sent_is_answered_with_503(self) -> None:
        await self.serve()
        self.dispatcher._next = lambda request_id: []  # type: ignore[method-assign]
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        while not self.proxy.in_flight():
            await asyncio.sleep(0)
        self.advance(4.1)
        reply = await client.reply()
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)

    async def test_a_request_without_any_time_is_refused_and_never_sent(self) -> None:
        (upstream,) = await self.serve(hello)
        reply = await self.ask(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 0\r\n"))
        self.assertEqual((reply.status, upstream.seen), (503, []))


class Resting(DataPlaneTest):
    LIMITS = ClientLimits(header_timeout_ms=3000, idle_timeout_ms=15000)

    async def test_the_idle_time_is_told_and_held(self) -> None:
        await self.serve(hello)
        self.proxy.configure(configuration(limits=self.LIMITS))
        client = await self.client()
        client.send(request_bytes())
        self.assertEqual((await client.reply()).headers["keep-alive"], "timeout=15")
        self.advance(14)
        client.send(request_bytes(request_id="r2"))
        self.assertEqual((await client.reply()).status, 200)
        self.advance(15.1)
        self.assertEqual(await client.reader.read(), b"")

    async def test_a_head_that_does_not_come_is_answered_with_408(self) -> None:
        self.proxy.configure(configuration(limits=self.LIMITS))
        client = await self.client()
        client.send(b"GET /safe/x HTTP/1.1\r\nHo")
        await self._until_bytes_came()
        self.advance(3.1)
        reply = await client.reply()
        self.assertEqual((reply.status, reply.headers["connection"]), (408, "close"))

    async def _until_bytes_came(self) -> None:
        while not self.proxy.client_connections or all(front.idle for front in self.proxy.client_connections):
            await asyncio.sleep(0)
