"""Tests of the HTTP server: requests and responses, each limit in virtual time, and one run on sockets."""

import asyncio
import logging
import random
import re
import unittest
from collections import Counter
from typing import Any, cast

from brackenusher.control_plane.http_server import (
    TEXT_TYPE,
    HttpBounds,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from tests.fleet.virtual_time import run_virtual

LIMITS = HttpBounds(connections=2, head_bytes=1000, body_bytes=100)
GET = b"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"


class MemoryWriter:
    """An in-memory replacement for `asyncio.StreamWriter`."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.ended = ""  # "closed" or "aborted"
        self.transport = self
        self.not_reading = False  # the peer does not read
        self.resumed = asyncio.Event()

    def write(self, data: bytes) -> None:
        self.data += data

    def write_eof(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return len(self.data) if self.not_reading else 0

    async def drain(self) -> None:
        if self.not_reading:
            await self.resumed.wait()

    def release(self) -> None:
        self.not_reading = False
        self.resumed.set()

    def close(self) -> None:
        self.ended = "closed"

    def abort(self) -> None:
        self.ended = "aborted"

    def get_extra_info(self, name: str) -> None:
        return None


class Caller:
    """A client connection, the server task that serves it, and the bytes received."""

    def __init__(self, server: HttpServer) -> None:
        self.reader = asyncio.StreamReader()
        self.writer = MemoryWriter()
        writer = cast(asyncio.StreamWriter, self.writer)
        self.task = asyncio.get_running_loop().create_task(server.serve_connection(self.reader, writer))

    def send(self, data: bytes) -> None:
        self.reader.feed_data(data)

    async def run(self, data: bytes, eof: bool = True) -> bytes:
        """Send, and wait until the server closes the connection; returns all bytes received."""
        self.send(data)
        if eof:
            self.reader.feed_eof()
        await self.task
        return bytes(self.writer.data)

    async def settle(self) -> None:
        """Run the event loop until only timers are pending."""
        for _ in range(20):
            await asyncio.sleep(0)

    def statuses(self) -> list[bytes]:
        """The status codes of all responses; no body in these tests looks like a head."""
        return re.findall(rb"HTTP/1\.1 (\d{3}) ", self.writer.data)


class EchoHandler:
    """Echoes the target and the body's length; can be made to wait or to fail."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.release: asyncio.Event | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        if request.path == "/fail":
            raise ValueError("told to")
        if self.release is not None:
            await self.release.wait()
        return HttpResponse(200, b"%s %d" % (request.target.encode(), len(request.body)), TEXT_TYPE)


class ServerTest(unittest.TestCase):
    """Base class: a server with an echo handler."""

    def setUp(self) -> None:
        self.echo = EchoHandler()
        self.server = HttpServer("127.0.0.1", 0, self.echo.handle, LIMITS)

    def answer(self, data: bytes, eof: bool = True) -> bytes:
        """All bytes received on a connection for these bytes."""

        async def scenario() -> bytes:
            return await Caller(self.server).run(data, eof)

        return run_virtual(scenario())


class RequestsTest(ServerTest):
    """Requests within the limits."""

    def test_a_request_is_passed_to_the_handler(self) -> None:
        data = self.answer(POST.replace(b"Host: h", b"Host: h\r\nX-One: a b"))
        self.assertTrue(data.startswith(b"HTTP/1.1 200 OK\r\n"), data)
        self.assertTrue(data.endswith(b"\r\n\r\n/a 5"), data)
        (request,) = self.echo.requests
        self.assertEqual((request.method, request.path, request.body), ("POST", "/a", b"hello"))
        self.assertEqual(request.headers["x-one"], "a b")

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        data = self.answer(GET + POST + GET)
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3)
        self.assertEqual([r.method for r in self.echo.requests], ["GET", "POST", "GET"])

    def test_requests_in_single_bytes(self) -> None:
        async def scenario() -> None:
            caller = Caller(self.server)
            for index in range(len(POST)):
                caller.send(POST[index : index + 1])
                await caller.settle()
            self.assertEqual(caller.statuses(), [b"200"])
            self.assertEqual(await caller.run(POST), bytes(caller.writer.data))

        run_virtual(scenario())
        self.assertEqual([r.body for r in self.echo.requests], [b"hello", b"hello"])

    def test_chunked_body(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertIn(b"/a 7", self.answer(head + b"5\r\nhello\r\n2\r\nyo\r\n0\r\n\r\n"))

    def test_a_response_to_head_has_a_length_and_no_body(self) -> None:
        data = self.answer(GET.replace(b"GET", b"HEAD") + GET)
        self.assertIn(b"Content-Length: 8", data)
        self.assertEqual(data.count(b"/a?b=c 0"), 1)

    def test_100_continue_is_sent_before_the_body(self) -> None:
        async def scenario() -> None:
            caller = Caller(self.server)
            caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
            await caller.settle()
            self.assertEqual(caller.statuses(), [b"100"])
            await caller.run(b"hello")
            self.assertEqual(caller.statuses(), [b"100", b"200"])

        run_virtual(scenario())

    def test_a_connection_is_closed_at_the_clients_request(self) -> None:
        for data in (GET.replace(b"Host: h", b"Host: h\r\nConnection: close"), b"GET /a HTTP/1.0\r\n\r\n"):
            answer = self.answer(data + GET, eof=False)
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 1)
            self.assertIn(b"Connection: close", answer)

    def test_a_failing_handler_gives_500_and_keeps_the_connection(self) -> None:
        with self.assertLogs("brackenusher.control_plane.http_server", "ERROR"):
            data = self.answer(GET.replace(b"/a", b"/fail") + GET)
        self.assertIn(b"HTTP/1.1 500", data)
        self.assertIn(b"HTTP/1.1 200", data)
        self.assertNotIn(b"told to", data)


class LimitsTest(ServerTest):
    """Requests over the limits, and invalid ones."""

    def time_to_close(self, data: bytes) -> tuple[float, bytes]:
        """Time until the server closes a connection that sends no more, and the bytes received."""

        async def scenario() -> tuple[float, bytes]:
            answer = await Caller(self.server).run(data, eof=False)
            return asyncio.get_running_loop().time(), answer

        return run_virtual(scenario())

    def test_idle_connections_are_closed(self) -> None:
        self.assertEqual(self.time_to_close(b""), (LIMITS.idle_timeout_s, b""))
        ended, answer = self.time_to_close(GET)
        self.assertEqual((ended, answer.count(b"HTTP/1.1")), (LIMITS.idle_timeout_s, 1))

    def test_truncated_heads(self) -> None:
        for data in (GET[:10], GET + GET[:10]):
            ended, answer = self.time_to_close(data)
            self.assertEqual(ended, LIMITS.head_timeout_s + LIMITS.linger_s)
            self.assertIn(b"HTTP/1.1 408", answer)

    def test_slow_heads(self) -> None:
        async def scenario() -> float:
            caller = Caller(self.server)
            while not caller.task.done():
                caller.send(b"x")
                await asyncio.sleep(1.0)
            return asyncio.get_running_loop().time()

        self.assertLessEqual(run_virtual(scenario()), LIMITS.head_timeout_s + LIMITS.linger_s + 1.0)

    def test_truncated_bodies(self) -> None:
        ended, answer = self.time_to_close(POST[:-1])
        self.assertEqual(ended, LIMITS.body_read_timeout_s + LIMITS.linger_s)
        self.assertIn(b"HTTP/1.1 408", answer)
        self.assertEqual(self.echo.requests, [])

    def test_clients_that_close_during_a_request(self) -> None:
        for data in (POST[:-1], POST[:20], GET + POST[:-1]):
            answer = self.answer(data)
            self.assertEqual(answer.count(b"HTTP/1.1"), data.count(GET))
        self.assertEqual([r.method for r in self.echo.requests], ["GET"])

    def test_large_heads(self) -> None:
        data = self.answer(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2000, eof=False)
        self.assertIn(b"HTTP/1.1 431", data)

    def test_large_bodies(self) -> None:
        declared = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"
        chunked = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for data in (declared, chunked + b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n"):
            answer = self.answer(data + GET)
            self.assertEqual(answer.count(b"HTTP/1.1"), 1)
            self.assertIn(b"HTTP/1.1 413", answer)
        self.assertEqual(self.echo.requests, [])

    def test_a_body_at_the_limit(self) -> None:
        data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
        self.assertIn(b"/a 100", self.answer(data))

    def test_invalid_requests(self) -> None:
        bodies = b"Content-Length: 5\r\nTransfer-Encoding: chunked"
        for data in (
            b"\x16\x03\x01 junk\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            POST.replace(b"Content-Length: 5", bodies),
        ):
            with self.subTest(data):
                answer = self.answer(data)
                self.assertIn(answer[:12], (b"HTTP/1.1 400", b"HTTP/1.1 501"), answer)
        self.assertEqual(self.echo.requests, [])

    def test_clients_that_do_not_read_the_response(self) -> None:
        async def scenario() -> None:
            caller = Caller(self.server)
            caller.writer.not_reading = True
            await caller.run(GET, eof=False)
            self.assertEqual(asyncio.get_running_loop().time(), LIMITS.write_timeout_s)
            self.assertEqual(caller.writer.ended, "aborted")

        run_virtual(scenario())

    def test_too_many_connections(self) -> None:
        async def scenario() -> None:
            self.echo.release = asyncio.Event()
            callers = [Caller(self.server) for _ in range(2)]
            for caller in callers:
                caller.send(GET)
            await callers[0].settle()
            refused = Caller(self.server)
            await refused.task
            self.assertEqual((refused.writer.ended, self.server.rejected_connections), ("aborted", 1))
            self.echo.release.set()
            await callers[0].settle()
            self.assertEqual([caller.statuses() for caller in callers], [[b"200"], [b"200"]])

        run_virtual(scenario())

    def test_a_new_connection_replaces_the_longest_idle_one(self) -> None:
        async def scenario() -> None:
            callers = [Caller(self.server) for _ in range(2)]
            await asyncio.sleep(1)
            callers[0].send(GET)
            await asyncio.sleep(1)
            late = Caller(self.server)
            self.assertIn(b"200", await late.run(GET))
            self.assertEqual([caller.task.done() for caller in callers], [False, True])
            self.assertEqual(self.server.rejected_connections, 0)

        run_virtual(scenario())


class RandomBytesTest(ServerTest):
    """Random bytes in random chunks: responses are complete, and no exception is raised."""

    FRAGMENTS = (
        *(
            GET,
            POST,
            GET[:20],
            POST[:-2],
            b"\r\n",
            b"\r\n\r\n",
            b"\0",
            b"\xff" * 5,
            b"x" * 1200,
            b" HTTP/1.1\r\n",
        ),
        *(b"Content-Length: 7\r\n", b"Content-Length: -1\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n"),
        *(b"5\r\nhello\r\n", b"0\r\n\r\n", b"fffffffff\r\n", b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"),
        *(b"Expect: 100-continue\r\n", b"POST /fail HTTP/1.1\r\nHost: h\r\n", b"Connection: close\r\n"),
        b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
    )

    def test_random_bytes(self) -> None:
        logging.disable(logging.ERROR)  # the failing handler logs errors
        self.addCleanup(logging.disable, logging.NOTSET)
        statuses: Counter[bytes] = Counter()
        for seed in range(500):
            statuses.update(run_virtual(self.scenario(random.Random(seed), f"seed {seed}")))
        self.assertLessEqual({b"200", b"400", b"408", b"413", b"431", b"500"}, set(statuses))

    async def scenario(self, rng: random.Random, seed: str) -> list[bytes]:
        caller = Caller(self.server)
        data = b"".join(rng.choices(self.FRAGMENTS, k=rng.randint(1, 6)))
        while data and not caller.task.done():
            size = rng.randint(1, len(data))
            caller.send(data[:size])
            data = data[size:]
            await caller.settle()
        if rng.random() < 0.5:
            caller.reader.feed_eof()
        await caller.task
        self.assertIn(caller.writer.ended, ("closed", "aborted"), seed)
        statuses = caller.statuses()
        self.assertLessEqual(sum(status != b"100" for status in statuses), 8, seed)
        return statuses


class StopTest(ServerTest):
    """Shutdown of the server."""

    def test_stopping_closes_idle_connections_and_finishes_requests(self) -> None:
        async def scenario() -> None:
            idle = Caller(self.server)
            await idle.settle()
            self.echo.release = asyncio.Event()
            busy = Caller(self.server)
            busy.send(GET + GET)
            await busy.settle()
            stopping = asyncio.get_running_loop().create_task(self.server.stop())
            await busy.settle()
            self.assertTrue(idle.task.done())
            self.assertFalse(stopping.done())
            self.echo.release.set()
            await stopping
            self.assertEqual(busy.statuses(), [b"200"])
            self.assertIn(b"Connection: close", busy.writer.data)
            refused = Caller(self.server)
            await refused.task
            self.assertEqual(refused.writer.ended, "aborted")

        run_virtual(scenario())

    def test_truncated_requests_abort_the_connection(self) -> None:
        async def scenario() -> list[str]:
            complete, truncated = Caller(self.server), Caller(self.server)
            await complete.run(GET)
            await truncated.run(POST[:-1])
            return [complete.writer.ended, truncated.writer.ended]

        self.assertEqual(run_virtual(scenario()), ["closed", "aborted"])

    def test_stopping_during_a_slow_response(self) -> None:
        async def scenario() -> float:
            slow = Caller(self.server)
            slow.writer.not_reading = True
            slow.send(GET + GET)
            await slow.settle()
            stopping = asyncio.get_running_loop().create_task(self.server.stop())
            await slow.settle()
            slow.writer.release()
            await stopping
            self.assertEqual(slow.statuses(), [b"200"])
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(scenario()), 0.0)

    def test_stopping_a_server_that_was_not_started(self) -> None:
        run_virtual(self.server.stop())

    def test_stopping_waits_a_limited_time_for_a_handler(self) -> None:
        async def scenario() -> float:
            self.echo.release = asyncio.Event()
            busy = Caller(self.server)
            busy.send(GET)
            await busy.settle()
            await self.server.stop()
            await busy.settle()
            self.assertEqual(busy.writer.ended, "aborted")
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(scenario()), LIMITS.drain_s)


class SocketsTest(unittest.TestCase):
    """The server on loopback sockets."""

    def test_requests_on_sockets(self) -> None:
        async def scenario() -> Any:
            echo = EchoHandler()
            server = HttpServer("127.0.0.1", 0, echo.handle)
            await server.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(GET + POST)
            first = await reader.readuntil(b"/a?b=c 0")
            second = await reader.readuntil(b"/a 5")
            await server.stop()
            self.assertEqual(await reader.read(), b"")
            with self.assertRaises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", server.port)
            writer.close()
            return first, second

        first, second = asyncio.run(asyncio.wait_for(scenario(), 10))
        self.assertIn(b"HTTP/1.1 200 OK", first)
        self.assertIn(b"HTTP/1.1 200 OK", second)
