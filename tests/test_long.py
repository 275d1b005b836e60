"""Long bodies and answers: pipes, the machines of both sides, and the real program between slow peers."""

import contextlib
import hashlib
import os
import socket
import threading
import time

import psutil
import pytest
from helpers import SETTINGS, Listener, Program, read_request, submit_request, until
from hypothesis import given
from hypothesis import strategies as st

from barleybarrow.interface import Outcome
from barleybarrow.settings import read_settings
from brackenusher.core.admission import Request
from brackenusher.core.message import LONGEST_BODY, Message
from brackenusher.core.pipe import MAX_REPLAYABLE_BYTES, MIN_WINDOW_BYTES, Budget, End, Pipe
from brackenusher.fronts.http import Front, Rejection
from brackenusher.fronts.http1.virtual_server import VirtualServer
from brackenusher.upstream.flow import Flow

MB = 1024 * 1024
BIG = os.urandom(1024) * 3 * 1024  # three MB


@given(st.lists(st.binary(max_size=50), max_size=20), st.integers(1, 7))
def test_a_pipe_gives_what_it_got_and_ends_once(parts, every):
    # guards against bytes lost, doubled or out of order, and a pipe that is counted twice
    budget, got, ends = Budget(MB), b"", []
    pipe = Pipe(budget)
    pipe.tell.append(ends.append)
    for number, part in enumerate(parts):
        pipe.put(part)
        if number % every == 0:
            got += pipe.take()
    pipe.finish()
    got += pipe.take()
    assert got == b"".join(parts) and pipe.over and pipe.held_bytes == 0
    pipe.stop(End.WHOLE)
    pipe.stop()
    assert ends == [End.WHOLE] and budget.pipes == 0


def test_the_budget_leaves_each_pipe_a_buffer_and_keeps_no_more_than_it_has():
    budget = Budget(4 * MB)
    pipes = [Pipe(budget) for _ in range(1000)]
    assert budget.window_bytes == MIN_WINDOW_BYTES and not pipes[0].full
    assert budget.may_keep(MAX_REPLAYABLE_BYTES) and not budget.may_keep(MAX_REPLAYABLE_BYTES + 1)
    budget.kept = 2 * MB
    assert not budget.may_keep(1)


def head(extra):
    return submit_request().replace(b"Content-Length: 4\r\n", extra).removesuffix(b"move")


def chunked(body, size=50000):
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nTrailer: x\r\n\r\n"


def hear(data, size, budget):
    """Feed a client's bytes; what the machine made of them, and the body."""
    machine = VirtualServer(Front(read_settings(SETTINGS)), lambda: True, budget)
    body, item = b"", None
    for at in range(0, len(data), size):
        machine.receive(data[at : at + size])
        item = item or machine.next()
        if isinstance(item, Request) and item.message.rest is not None:
            body += item.message.rest.take()
    if isinstance(item, Rejection):
        return item.status, b"", True
    whole = item.message.rest is None or item.message.rest.whole
    return "taken", item.message.body + body, whole


SMALL = Budget(LONGEST_BODY)
LONG = BIG[: 3 * LONGEST_BODY]


@pytest.mark.parametrize("size", [1, 1000, 16384, MB])
@pytest.mark.parametrize("budget", [SMALL, Budget(64 * MB)], ids=["passed on", "kept"])
@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (head(b"Content-Length: %d\r\n" % len(LONG)) + LONG, ("taken", LONG, True)),
        (head(b"Transfer-Encoding: chunked\r\n") + chunked(LONG), ("taken", LONG, True)),
        (head(b"Content-Length: 33554433\r\n") + LONG, (413, b"", True)),
        (read_request(extra=f"Content-Length: {len(LONG)}\r\n") + LONG, (400, b"", True)),
    ],
    ids=["length", "chunks", "too long", "of a read"],
)
def test_a_long_body_comes_to_the_same_however_it_is_cut(data, expected, budget, size):
    assert hear(data, size, budget) == expected


def answer(extra, body):
    return b"HTTP/1.1 200 OK\r\n" + extra + b"\r\n" + body


@pytest.mark.parametrize("size", [1, 777, 16384, MB])
@pytest.mark.parametrize(
    ("data", "close", "whole"),
    [
        (answer(b"Content-Length: %d\r\n" % len(LONG), LONG), False, True),
        (answer(b"Transfer-Encoding: chunked\r\n", chunked(LONG)), False, True),
        (answer(b"Connection: close\r\n", LONG), True, True),
        (answer(b"Content-Length: %d\r\n" % (len(LONG) + 1), LONG), True, False),
        (answer(b"Transfer-Encoding: chunked\r\n", chunked(LONG)[:-5]), True, False),
        (answer(b"Transfer-Encoding: chunked\r\n", chunked(LONG)[:-17] + b"zz\r\n"), False, False),
    ],
    ids=["length", "chunks", "to the end", "short", "cut", "spoilt"],
)
def test_a_long_answer_comes_to_the_same_however_it_is_cut(data, close, whole, size):
    # guards against a cut answer that passes for whole, and one that waits for its end before it is passed on
    flow, got, pipe = Flow(b"m:1", SMALL), b"", None
    flow.request(Message(b"GET", b"/r", streams=True), 500.0)
    for at in range(0, len(data), size):
        reply = flow.receive(data[at : at + size])
        if reply is not None and pipe is None:
            assert reply.outcome is Outcome.SERVED and at < 2 * LONGEST_BODY
            pipe = reply.served.content.rest
        if pipe is not None:
            got += pipe.take()
    if close:
        flow.receive(b"")
    assert got == LONG and (pipe.whole, pipe.broken) == (whole, not whole)
    assert flow.renew() == (whole and not close)


class Server(Listener):
    """Reads requests with bodies of any framing; `serve_one` says what happens on a connection."""

    def __init__(self, serve_one):
        self.serve_one, self.bodies, self.ends = serve_one, [], []
        super().__init__()

    def serve(self, sock):
        with contextlib.closing(sock):
            self.converse(sock)
            sock.shutdown(socket.SHUT_RDWR)

    def converse(self, sock):
        file = sock.makefile("rb")
        while True:
            first = file.readline()
            if not first:
                return
            headers = {}
            while line := file.readline().strip():
                name, _, value = line.decode().partition(":")
                headers[name.lower()] = value.strip()
            digest, size = hashlib.sha256(), 0
            for part in self.parts(file, headers):
                digest.update(part)
                size += len(part)
                time.sleep(0)
            if part_is_missing(headers, size):
                self.ends.append(size)
                return
            self.bodies.append((size, digest.hexdigest()))
            if not self.serve_one(sock, headers):
                return

    def parts(self, file, headers):
        if "transfer-encoding" in headers:
            while size := int(file.readline() or b"0", 16):
                yield file.read(size)
                file.readline()
            file.readline()
        else:
            left = int(headers.get("content-length", 0))
            while left and (part := file.read1(min(left, 65536))):
                left -= len(part)
                yield part


def part_is_missing(headers, size):
    return "content-length" in headers and size < int(headers["content-length"])


def say(extra, body):
    def serve_one(sock, headers):
        sock.sendall(answer(extra, body))
        return True

    return serve_one


def read_answer(sock, pause=0.0):
    """Head and body as the client sees them, and whether it can tell that they are whole."""
    file = sock.makefile("rb")
    try:
        status = int(file.readline().split()[1])
        headers = {}
        while line := file.readline().strip():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        body, whole = b"", False
        if "transfer-encoding" in headers:
            while (line := file.readline()) and (size := int(line, 16)):
                body += file.read(size)
                file.readline()
                time.sleep(pause)
            whole = bool(line)
        else:
            left = int(headers["content-length"])
            while left and (part := file.read1(min(left, 65536))):
                body, left = body + part, left - len(part)
                time.sleep(pause)
            whole = not left
        return status, body, whole
    except ConnectionResetError:
        return status, body, False


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_long_body_and_a_long_answer_pass_through(tmp_path, framing):
    # guards against a body that is cut, spoilt or sent twice on its way
    extra, body = b"Content-Length: %d\r\n" % len(BIG), BIG
    if framing == "chunks":
        extra, body = b"Transfer-Encoding: chunked\r\n", chunked(BIG)
    with Program(tmp_path, Server(say(extra, body)), control=True) as program, program.connect() as sock:
        for number in range(2):  # both connections serve on
            sock.sendall(submit_request(number)[: submit_request(number).index(b"Content-Length")])
            sock.sendall(extra + b"Expect: 100-continue\r\n\r\n")
            assert sock.recv(1000) == b"HTTP/1.1 100 Continue\r\n\r\n"
            sock.sendall(body)
            status, got, whole = read_answer(sock)
            assert (status, whole) == (200, True) and got == BIG
        digest = hashlib.sha256(BIG).hexdigest()
        assert program.servers[0].bodies == [(len(BIG), digest)] * 2
        assert len(program.servers[0].connections) == 1
        until(lambda: program.figures()["inflight"] == 0, "the end of all")
        assert program.figures()["calls"]["turn-submit"] == {"success": 2, "busy": 0, "failure": 0}


@pytest.mark.parametrize(
    "extra", [b"Content-Length: %d\r\n" % (len(BIG) + 1), b"Transfer-Encoding: chunked\r\n"]
)
def test_an_answer_that_cannot_be_finished_is_seen_as_not_whole(tmp_path, extra):
    # guards against half a board that passes for a whole one
    body = chunked(BIG)[:-5] if b"chunked" in extra else BIG

    def cut(sock, headers):
        sock.sendall(answer(extra, body))
        return False

    with Program(tmp_path, Server(cut), control=True) as program, program.connect() as sock:
        sock.sendall(read_request())
        status, got, whole = read_answer(sock)
        assert status == 200 and not whole and len(got) > LONGEST_BODY
        until(lambda: program.figures()["calls"]["board-read"]["failure"] == 1, "the failure")
        assert len(program.servers[0].bodies) == 1  # what has begun is not tried anew


def test_slow_readers_hold_no_more_than_their_buffers(tmp_path):
    # guards against answers piled up in memory for clients that do not take them
    body = bytes(16 * MB)
    server = Server(say(b"Content-Length: %d\r\n" % len(body), body))
    with Program(tmp_path, server, control=True) as program, contextlib.ExitStack() as stack:
        before = psutil.Process(program.process.pid).memory_info().rss
        socks = [stack.enter_context(program.connect()) for _ in range(4)]
        for number, sock in enumerate(socks):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.sendall(read_request(number))
        time.sleep(1.0)
        assert psutil.Process(program.process.pid).memory_info().rss < before + 12 * MB
        assert 0 < program.figures()["inflight"] <= 4
        results = []
        threads = [threading.Thread(target=lambda s=s: results.append(read_answer(s))) for s in socks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert [(status, len(got), whole) for status, got, whole in results] == [(200, len(body), True)] * 4


def test_a_drain_waits_for_a_long_answer_to_a_slow_reader(tmp_path):
    # guards against a drain, or a resume after it, that cuts off what is being passed on
    body = bytes(4 * MB)
    server = Server(say(b"Content-Length: %d\r\n" % len(body), body))
    with Program(tmp_path, server, control=True) as program, program.connect() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.sendall(read_request())
        until(lambda: program.figures()["inflight"] == 1, "the request")
        assert program.call("POST", "/-/drain")[0] == 200
        time.sleep(1.7)
        assert program.call("POST", "/-/resume")[0] == 200
        assert read_answer(sock) == (200, body, True)
        until(lambda: program.figures()["calls"]["board-read"]["success"] == 1, "the end")


def test_a_client_that_leaves_within_its_body_runs_nothing(tmp_path):
    # guards against a body cut by its client that a turn server takes for whole
    with Program(tmp_path, Server(say(b"Content-Length: 0\r\n", b"")), control=True) as program:
        with program.connect() as sock:
            sock.sendall(head(b"Content-Length: %d\r\n" % (2 * len(BIG))) + BIG)
            until(lambda: program.figures()["inflight"] == 1, "the request")
            time.sleep(0.2)
        until(lambda: program.servers[0].ends, "the end of the attempt")
        until(lambda: program.figures()["inflight"] == 0, "the end of the request")
        assert program.servers[0].bodies == [] and program.figures()["backend_calls"] == 0


def test_a_body_too_long_to_be_kept_is_sent_once_and_refused_where_it_never_ran(tmp_path):
    # guards against a repeat with half of its body, and a failure told where trying again is harmless
    def deny(sock):
        sock.recv(100000)  # and closes, long before the body is whole
        sock.shutdown(socket.SHUT_RDWR)

    server = Server(None)
    server.serve = deny
    with Program(tmp_path, server, control=True) as program, program.connect() as sock:
        with contextlib.suppress(OSError):
            sock.sendall(head(b"Content-Length: %d\r\n" % (4 * len(BIG))) + BIG + BIG)
        assert sock.recv(1000).startswith(b"HTTP/1.1 503")


def test_an_answer_that_does_not_say_how_long_it_is_goes_on_as_it_comes(tmp_path):
    # guards against one that moves all the time, but is not whole by its aim, and is given up for that
    def drip(sock, headers):
        sock.sendall(answer(b"Transfer-Encoding: chunked\r\n", b""))
        for _ in range(20):
            sock.sendall(b"5\r\nboard\r\n")
            time.sleep(0.06)
        sock.sendall(b"0\r\n\r\n")
        return True

    with Program(tmp_path, Server(drip), control=True) as program, program.connect() as sock:
        sock.sendall(read_request(span="900m"))
        assert read_answer(sock) == (200, b"board" * 20, True)
        assert len(program.servers[0].bodies) == 1


def test_a_slow_body_has_the_time_it_takes_and_one_that_stops_has_not(tmp_path):
    # guards against 408 for a client on a slow line, and a connection held for one that has gone silent
    with Program(tmp_path, Server(say(b"Content-Length: 0\r\n", b"")), control=True) as program:
        slow, silent = program.connect(), program.connect()
        body = bytes(200 * 1024)
        for sock in (slow, silent):
            sock.sendall(head(b"Content-Length: %d\r\n" % len(body)))
        for at in range(0, len(body), 6400):  # 64 kB a second
            slow.sendall(body[at : at + 6400])
            time.sleep(0.1)
        assert slow.recv(1000).startswith(b"HTTP/1.1 200")
        assert silent.recv(1000).startswith(b"HTTP/1.1 408")
