"""Client connections: headers, framing, pipelining, disconnects, deadlines and idle timeouts."""

import asyncio

from barleybarrow.documents import ClientLimits
from barleybarrow.routing.actions import Outcome
from tests.fleet.data_plane_support import (
    HOST,
    TEST_TIMEOUT_S,
    DataPlaneTest,
    ReceivedRequest,
    chunk,
    configuration,
    event,
    request_bytes,
    response,
    stream_head,
)


async def hello(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with a greeting and the request's body."""
    writer.write(response(request, b"hello " + request.body))


class GatedServer:
    """A server that responds once it is opened."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await self.opened.wait()
        writer.write(response(request, b"late"))


async def silent(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send no response."""


class HopByHopHeaders(DataPlaneTest):
    async def test_hop_by_hop_request_headers_are_not_forwarded(self) -> None:
        (upstream,) = await self.start_servers(hello)
        extra = (
            "Connection: X-Mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\nUpgrade: h2c\r\nX-Other: 2\r\n"
        )
        await self.fetch(request_bytes(extra=extra))
        seen = upstream.received[0].headers
        self.assertEqual(seen["x-other"], "2")
        for name in ("connection", "x-mine", "te", "upgrade", "keep-alive"):
            self.assertNotIn(name, seen)

    async def test_server_gets_remaining_deadline(self) -> None:
        (upstream,) = await self.start_servers(hello)
        await self.fetch(request_bytes(extra="X-Brackenusher-Deadline-Ms: 2000\r\n"))
        left = int(upstream.received[0].headers["x-brackenusher-deadline-ms"])
        self.assertTrue(0 < left <= 2000)

    async def test_hop_by_hop_response_headers_are_not_forwarded(self) -> None:
        async def last(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"bye", extra=b"Connection: close\r\nKeep-Alive: timeout=77\r\n"))

        (upstream,) = await self.start_servers(last)
        client = await self.client()
        for number in (1, 2):
            client.send(request_bytes(request_id=f"r{number}"))
            reply = await client.response()
            self.assertEqual((reply.body, reply.headers.get("connection")), (b"bye", None))
            self.assertNotIn("keep-alive", reply.headers)
        self.assertEqual(upstream.connections, 2)

    async def test_response_to_head_has_length_and_no_body(self) -> None:
        async def head_only(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(response(request, b"hello")[:-5])

        await self.start_servers(head_only)
        client = await self.client()
        for number in (1, 2):
            client.send(request_bytes(request_id=f"r{number}", method="HEAD"))
            reply = await client.response_head()
            self.assertEqual((reply.status, reply.headers["content-length"]), (200, "5"))


class Framing(DataPlaneTest):
    async def test_pipelined_requests_get_responses_in_order(self) -> None:
        (upstream,) = await self.start_servers(hello)
        client = await self.client()
        client.send(b"".join(request_bytes(request_id=f"r{n}", body=b"%d" % n) for n in range(5)))
        bodies = [(await client.response()).body for _ in range(5)]
        self.assertEqual(bodies, [b"hello %d" % n for n in range(5)])
        self.assertEqual([seen.body for seen in upstream.received], [b"%d" % n for n in range(5)])

    async def test_expect_100_continue_gets_100(self) -> None:
        await self.start_servers(hello)
        client = await self.client()
        whole = request_bytes(body=b"abc", extra="Expect: 100-continue\r\n")
        client.send(whole[:-3])
        self.assertEqual((await client.response_head()).status, 100)
        client.send(whole[-3:])
        self.assertEqual((await client.response()).body, b"hello abc")

    async def test_expect_100_continue_on_unrouted_path_gets_404_at_once(self) -> None:
        await self.start_servers(hello)
        client = await self.client()
        client.send(request_bytes("/elsewhere/x", body=b"abc", extra="Expect: 100-continue\r\n")[:-3])
        reply = await client.response()
        self.assertEqual((reply.status, reply.headers["connection"]), (404, "close"))

    async def test_request_sent_byte_by_byte_arrives_complete(self) -> None:
        (upstream,) = await self.start_servers(hello)
        client = await self.client()
        for byte in request_bytes(body=b"abc"):
            client.send(bytes((byte,)))
            await client.writer.drain()
            await asyncio.sleep(0)
        self.assertEqual((await client.response()).body, b"hello abc")
        self.assertEqual(upstream.received[0].body, b"abc")

    async def test_malformed_request_gets_400(self) -> None:
        (upstream,) = await self.start_servers(hello)
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
            self.assertEqual((await self.fetch(data)).status, 400, data)
        self.assertEqual(upstream.received, [])

    async def test_unknown_transfer_coding_gets_501(self) -> None:
        await self.start_servers(hello)
        data = f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".encode()
        self.assertEqual((await self.fetch(data)).status, 501)


class ClientDisconnects(DataPlaneTest):
    async def test_client_reset_cancels_upstream_request(self) -> None:
        (upstream,) = await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        await upstream.request_arrived.wait()
        client.reset()
        await upstream.connection_ended.wait()
        self.assertEqual(self.proxy.in_flight(), 0)
        self.assertIn(("abandoned",), self.dispatcher.calls)

    async def test_client_close_cancels_upstream_stream(self) -> None:
        async def endless(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(stream_head(request))
            for number in range(1, 1_000_000):
                writer.write(chunk(event(number)))
                await writer.drain()

        (upstream,) = await self.start_servers(endless)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        await client.response_head()
        client.close()
        await upstream.connection_ended.wait()
        self.assertEqual(self.proxy.in_flight(), 0)

    async def test_half_closed_client_gets_response(self) -> None:
        gate = GatedServer()
        (upstream,) = await self.start_servers(gate)
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        client.writer.write_eof()
        await upstream.request_arrived.wait()
        gate.opened.set()
        reply = await client.response()
        self.assertEqual((reply.body, reply.headers["connection"]), (b"late", "close"))
        self.assertEqual(await client.reader.read(), b"")

    async def test_half_closed_client_of_silent_stream_is_given_up_at_once(self) -> None:
        (upstream,) = await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes("/stream/x"))
        await upstream.request_arrived.wait()
        client.writer.write_eof()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await upstream.connection_ended.wait()
        self.assertEqual(self.proxy.in_flight(), 0)
        self.assertIn(("abandoned",), self.dispatcher.calls)


class ClientEnds(DataPlaneTest):
    """What operators can see of clients that end before their answer."""

    async def test_sign_and_remaining_time_of_each_client_end_are_reported(self) -> None:
        observed: list[str] = []
        self.proxy.observe_client_end = lambda sign, seconds: observed.append(sign)
        (upstream,) = await self.start_servers(silent)
        with self.assertLogs("brackenusher.data_plane.proxy", "INFO") as logs:
            for sign in ("half_closed", "disconnected"):
                upstream.request_arrived.clear()
                client = await self.client()
                client.send(request_bytes("/unsafe/x", request_id=sign))
                await upstream.request_arrived.wait()
                if sign == "half_closed":
                    client.writer.write_eof()
                    await self._client_end_noticed()
                    self.advance(4.1)
                else:
                    client.reset()
                while self.proxy.in_flight():
                    await asyncio.sleep(0)
        self.assertEqual(observed, ["half_closed", "disconnected"])
        self.assertRegex(logs.output[0], "request=half_closed sign=half_closed age_ms=[0-9]+ in_flight_ms=4")
        self.assertRegex(
            logs.output[1], "request=disconnected sign=disconnected age_ms=[0-9]+ in_flight_ms=0$"
        )

    async def test_client_that_gets_its_whole_answer_has_not_ended(self) -> None:
        observed: list[str] = []
        self.proxy.observe_client_end = lambda sign, seconds: observed.append(sign)
        await self.start_servers(hello)
        client = await self.client()
        client.send(request_bytes("/safe/x"))
        await client.response()
        client.close()
        while self.proxy.client_connections:
            await asyncio.sleep(0)
        self.assertEqual(observed, [])

    async def _client_end_noticed(self) -> None:
        while not any(exchange.client_end for exchange in self.proxy._exchanges.values()):
            await asyncio.sleep(0)


class Deadlines(DataPlaneTest):
    async def test_sent_request_gets_504_at_deadline(self) -> None:
        (upstream,) = await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 1500\r\n"))
        await upstream.request_arrived.wait()
        self.advance(1.6)
        self.assertEqual((await client.response()).status, 504)
        self.assertEqual(self.dispatcher.outcomes(), [Outcome.TIMED_OUT])
        await upstream.connection_ended.wait()

    async def test_route_timeout_limits_longer_deadline(self) -> None:
        (upstream,) = await self.start_servers(silent)
        client = await self.client()
        client.send(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 60000\r\n"))
        await upstream.request_arrived.wait()
        self.advance(4.1)
        self.assertEqual((await client.response()).status, 504)

    async def test_unsent_request_gets_503_at_deadline(self) -> None:
        await self.start_servers()
        self.dispatcher._send_to_next = lambda request_id: []  # type: ignore[method-assign]
        client = await self.client()
        client.send(request_bytes("/unsafe/x"))
        while not self.proxy.in_flight():
            await asyncio.sleep(0)
        self.advance(4.1)
        reply = await client.response()
        self.assertEqual(reply.status, 503)
        self.assertIn("retry-after", reply.headers)

    async def test_request_with_zero_deadline_gets_503_unsent(self) -> None:
        (upstream,) = await self.start_servers(hello)
        reply = await self.fetch(request_bytes("/unsafe/x", extra="X-Brackenusher-Deadline-Ms: 0\r\n"))
        self.assertEqual((reply.status, upstream.received), (503, []))


class IdleClients(DataPlaneTest):
    LIMITS = ClientLimits(header_timeout_ms=3000, idle_timeout_ms=15000)

    async def test_idle_timeout_is_advertised_and_applied(self) -> None:
        await self.start_servers(hello)
        self.proxy.configure(configuration(limits=self.LIMITS))
        client = await self.client()
        client.send(request_bytes())
        self.assertEqual((await client.response()).headers["keep-alive"], "timeout=15")
        self.advance(14)
        client.send(request_bytes(request_id="r2"))
        self.assertEqual((await client.response()).status, 200)
        self.advance(15.1)
        self.assertEqual(await client.reader.read(), b"")

    async def test_incomplete_head_gets_408(self) -> None:
        self.proxy.configure(configuration(limits=self.LIMITS))
        client = await self.client()
        client.send(b"GET /safe/x HTTP/1.1\r\nHo")
        await self._until_head_started()
        self.advance(3.1)
        reply = await client.response()
        self.assertEqual((reply.status, reply.headers["connection"]), (408, "close"))

    async def _until_head_started(self) -> None:
        while not self.proxy.client_connections or all(front.idle for front in self.proxy.client_connections):
            await asyncio.sleep(0)
