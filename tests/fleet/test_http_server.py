"""The HTTP server: what it reads and answers, each of its bounds in virtual time, and real sockets once."""

import asyncio
import logging
import random
import re
import unittest
from collections import Counter
from typing import Any, cast

from brackenusher.control_plane.http_server import TEXT, HttpBounds, HttpRequest, HttpResponse, HttpServer
from tests.fleet.virtual_time import run_virtual

BOUNDS = HttpBounds(connections=2, head_bytes=1000, body_bytes=100)
GET = b"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"


class MemoryWriter:
    """The writing side of a connection that exists in memory only."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.ended = ""  # "closed" or "aborted"
        self.transport = self
        self.stuck = False  # the peer takes nothing
        self.taken = asyncio.Event()

    def write(self, data: bytes) -> None:
        self.data += data

    def write_eof(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return len(self.data) if self.stuck else 0

    async def drain(self) -> None:
        if self.stuck:
            await self.taken.wait()

    def release(self) -> None:
        self.stuck = False
        self.taken.set()

    def close(self) -> None:
        self.ended = "closed"

    def abort(self) -> None:
        self.ended = "aborted"

    def get_extra_info(self, name: str) -> None:
        return None


class Caller:
    """A connection to the server, its task, and what came back."""

    def __init__(self, server: HttpServer) -> None:
        self.reader = asyncio.StreamReader()
        self.writer = MemoryWriter()
        writer = cast(asyncio.StreamWriter, self.writer)
        self.task = asyncio.get_running_loop().create_task(server.accepted(self.reader, writer))

    def send(self, data: bytes) -> None:
        self.reader.feed_data(data)

    async def run(self, data: bytes, eof: bool = True) -> bytes:
        """Send, and wait until the server has ended the connection; all that came."""
        self.send(data)
        if eof:
            self.reader.feed_eof()
        await self.task
        return bytes(self.writer.data)

    async def settle(self) -> None:
        """Until nothing happens any more without a timer."""
        for _ in range(20):
            await asyncio.sleep(0)

    def statuses(self) -> list[bytes]:
        """Of all answers; bodies here never hold what looks like a head."""
        return re.findall(rb"HTTP/1\.1 (\d{3}) ", self.writer.data)


class EchoHandler:
    """Answers what it was asked; may be told to wait or to fail."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.release: asyncio.Event | None = None

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        if request.path == "/fail":
            raise ValueError("told to")
        if self.release is not None:
            await self.release.wait()
        return HttpResponse(200, b"%s %d" % (request.target.encode(), len(request.body)), TEXT)


class ServerTest(unittest.TestCase):
    """What all these tests share."""

    def setUp(self) -> None:
        self.echo = EchoHandler()
        self.server = HttpServer("127.0.0.1", 0, self.echo.handle, BOUNDS)

    def answer(self, data: bytes, eof: bool = True) -> bytes:
        """All that one connection gives for these bytes."""

        async def story() -> bytes:
            return await Caller(self.server).run(data, eof)

        return run_virtual(story())


class RequestsTest(ServerTest):
    """Requests within the bounds."""

    def test_a_request_is_handed_over_whole(self) -> None:
        data = self.answer(POST.replace(b"Host: h", b"Host: h\r\nX-One: a b"))
        self.assertTrue(data.startswith(b"HTTP/1.1 200 OK\r\n"), data)
        self.assertTrue(data.endswith(b"\r\n\r\n/a 5"), data)
        (request,) = self.echo.requests
        self.assertEqual((request.method, request.path, request.body), ("POST", "/a", b"hello"))
        self.assertEqual(request.headers["x-one"], "a b")

    def test_requests_that_come_at_once_are_answered_in_order(self) -> None:
        data = self.answer(GET + POST + GET)
        self.assertEqual(data.count(b"HTTP/1.1 200"), 3)
        self.assertEqual([r.method for r in self.echo.requests], ["GET", "POST", "GET"])

    def test_bytes_that_come_one_by_one(self) -> None:
        async def story() -> None:
            caller = Caller(self.server)
            for place in range(len(POST)):
                caller.send(POST[place : place + 1])
                await caller.settle()
            self.assertEqual(caller.statuses(), [b"200"])
            self.assertEqual(await caller.run(POST), bytes(caller.writer.data))

        run_virtual(story())
        self.assertEqual([r.body for r in self.echo.requests], [b"hello", b"hello"])

    def test_chunked_body(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertIn(b"/a 7", self.answer(head + b"5\r\nhello\r\n2\r\nyo\r\n0\r\n\r\n"))

    def test_head_has_no_body_but_its_length(self) -> None:
        data = self.answer(GET.replace(b"GET", b"HEAD") + GET)
        self.assertIn(b"Content-Length: 8", data)
        self.assertEqual(data.count(b"/a?b=c 0"), 1)

    def test_continue_is_told_before_the_body(self) -> None:
        async def story() -> None:
            caller = Caller(self.server)
            caller.send(b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
            await caller.settle()
            self.assertEqual(caller.statuses(), [b"100"])
            await caller.run(b"hello")
            self.assertEqual(caller.statuses(), [b"100", b"200"])

        run_virtual(story())

    def test_a_caller_that_wants_the_end_gets_it(self) -> None:
        for data in (GET.replace(b"Host: h", b"Host: h\r\nConnection: close"), b"GET /a HTTP/1.0\r\n\r\n"):
            answer = self.answer(data + GET, eof=False)
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 1)
            self.assertIn(b"Connection: close", answer)

    def test_a_handler_that_fails_is_500_and_the_connection_goes_on(self) -> None:
        with self.assertLogs("brackenusher.control_plane.http_server", "ERROR"):
            data = self.answer(GET.replace(b"/a", b"/fail") + GET)
        self.assertIn(b"HTTP/1.1 500", data)
        self.assertIn(b"HTTP/1.1 200", data)
        self.assertNotIn(b"told to", data)


class BoundsTest(ServerTest):
    """Requests beyond the bounds."""

    def ended_after(self, data: bytes) -> tuple[float, bytes]:
        """When a connection ends on which no more comes, and what it gave."""

        async def story() -> tuple[float, bytes]:
            answer = await Caller(self.server).run(data, eof=False)
            return asyncio.get_running_loop().time(), answer

        return run_virtual(story())

    def test_silence_from_the_start_or_between_requests_ends_the_connection(self) -> None:
        self.assertEqual(self.ended_after(b""), (BOUNDS.idle_timeout_s, b""))
        ended, answer = self.ended_after(GET)
        self.assertEqual((ended, answer.count(b"HTTP/1.1")), (BOUNDS.idle_timeout_s, 1))

    def test_half_a_head(self) -> None:
        for data in (GET[:10], GET + GET[:10]):
            ended, answer = self.ended_after(data)
            self.assertEqual(ended, BOUNDS.head_timeout_s + BOUNDS.linger_s)
            self.assertIn(b"HTTP/1.1 408", answer)

    def test_a_head_that_trickles(self) -> None:
        async def story() -> float:
            caller = Caller(self.server)
            while not caller.task.done():
                caller.send(b"x")
                await asyncio.sleep(1.0)
            return asyncio.get_running_loop().time()

        self.assertLessEqual(run_virtual(story()), BOUNDS.head_timeout_s + BOUNDS.linger_s + 1.0)

    def test_half_a_body(self) -> None:
        ended, answer = self.ended_after(POST[:-1])
        self.assertEqual(ended, BOUNDS.body_silence_s + BOUNDS.linger_s)
        self.assertIn(b"HTTP/1.1 408", answer)
        self.assertEqual(self.echo.requests, [])

    def test_a_caller_that_leaves_amid_its_request(self) -> None:
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

    def test_a_body_at_the_bound(self) -> None:
        data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
        self.assertIn(b"/a 100", self.answer(data))

    def test_bytes_that_are_no_request(self) -> None:
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

    def test_a_caller_that_does_not_read(self) -> None:
        async def story() -> None:
            caller = Caller(self.server)
            caller.writer.stuck = True
            await caller.run(GET, eof=False)
            self.assertEqual(asyncio.get_running_loop().time(), BOUNDS.write_timeout_s)
            self.assertEqual(caller.writer.ended, "aborted")

        run_virtual(story())

    def test_too_many_connections(self) -> None:
        async def story() -> None:
            self.echo.release = asyncio.Event()
            callers = [Caller(self.server) for _ in range(2)]
            for caller in callers:
                caller.send(GET)
            await callers[0].settle()
            refused = Caller(self.server)
            await refused.task
            self.assertEqual((refused.writer.ended, self.server.turned_away), ("aborted", 1))
            self.echo.release.set()
            await callers[0].settle()
            self.assertEqual([caller.statuses() for caller in callers], [[b"200"], [b"200"]])

        run_virtual(story())

    def test_a_new_connection_takes_the_place_of_the_one_that_rests_the_longest(self) -> None:
        async def story() -> None:
            callers = [Caller(self.server) for _ in range(2)]
            await asyncio.sleep(1)
            callers[0].send(GET)
            await asyncio.sleep(1)
            late = Caller(self.server)
            self.assertIn(b"200", await late.run(GET))
            self.assertEqual([caller.task.done() for caller in callers], [False, True])
            self.assertEqual(self.server.turned_away, 0)

        run_virtual(story())


class OddBytesTest(ServerTest):
    """Whatever comes, in whatever pieces: answers are whole, and nothing is raised."""

    PARTS = (
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

    def test_bytes_at_random(self) -> None:
        logging.disable(logging.ERROR)  # of the handler that fails
        self.addCleanup(logging.disable, logging.NOTSET)
        statuses: Counter[bytes] = Counter()
        for seed in range(500):
            statuses.update(run_virtual(self.story(random.Random(seed), f"seed {seed}")))
        self.assertLessEqual({b"200", b"400", b"408", b"413", b"431", b"500"}, set(statuses))

    async def story(self, rng: random.Random, seed: str) -> list[bytes]:
        caller = Caller(self.server)
        data = b"".join(rng.choices(self.PARTS, k=rng.randint(1, 6)))
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
    """The end of the server."""

    def test_idle_connections_end_at_once_and_running_requests_are_answered(self) -> None:
        async def story() -> None:
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

        run_virtual(story())

    def test_how_connections_end(self) -> None:
        async def story() -> list[str]:
            whole, half = Caller(self.server), Caller(self.server)
            await whole.run(GET)
            await half.run(POST[:-1])
            return [whole.writer.ended, half.writer.ended]

        self.assertEqual(run_virtual(story()), ["closed", "aborted"])

    def test_stopping_while_an_answer_is_taken_slowly(self) -> None:
        async def story() -> float:
            slow = Caller(self.server)
            slow.writer.stuck = True
            slow.send(GET + GET)
            await slow.settle()
            stopping = asyncio.get_running_loop().create_task(self.server.stop())
            await slow.settle()
            slow.writer.release()
            await stopping
            self.assertEqual(slow.statuses(), [b"200"])
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(story()), 0.0)

    def test_stopping_what_never_started(self) -> None:
        run_virtual(self.server.stop())

    def test_a_handler_that_never_ends_holds_it_up_for_a_while_only(self) -> None:
        async def story() -> float:
            self.echo.release = asyncio.Event()
            busy = Caller(self.server)
            busy.send(GET)
            await busy.settle()
            await self.server.stop()
            await busy.settle()
            self.assertEqual(busy.writer.ended, "aborted")
            return asyncio.get_running_loop().time()

        self.assertEqual(run_virtual(story()), BOUNDS.drain_s)


class SocketsTest(unittest.TestCase):
    """The same on sockets of this machine."""

    def test_requests_on_sockets(self) -> None:
        async def story() -> Any:
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

        first, second = asyncio.run(asyncio.wait_for(story(), 10))
        self.assertIn(b"HTTP/1.1 200 OK", first)
        self.assertIn(b"HTTP/1.1 200 OK", second)
