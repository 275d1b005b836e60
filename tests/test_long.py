"""Long request and response bodies: pipes, the codecs of both sides, and the proxy between slow peers."""

import contextlib
import hashlib
import os
import socket
import threading
import time

import psutil
import pytest
from helpers import LONG_DEADLINES, SETTINGS, Listener, Program, read_request, submit_request, until
from hypothesis import given
from hypothesis import strategies as st

from barleybarrow.interface import Outcome
from barleybarrow.settings import read_settings
from brackenusher.core.admission import Request
from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES, Message
from brackenusher.core.pipe import MAX_REPLAYABLE_BYTES, MIN_WINDOW_BYTES, Pipe, PipeBudget, PipeEnd
from brackenusher.fronts.http import Rejection, RequestClassifier
from brackenusher.fronts.http1.virtual_server import Http1Protocol
from brackenusher.upstream.flow import UpstreamCodec

MB = 1024 * 1024
BIG = os.urandom(1024) * 3 * 1024  # three MB


@given(st.lists(st.binary(max_size=50), max_size=20), st.integers(1, 7))
def test_pipe_preserves_bytes_and_ends_once(parts, every):
    # guards against lost, duplicated or reordered bytes, and a pipe that is counted twice
    budget, got, ends = PipeBudget(MB), b"", []
    pipe = Pipe(budget)
    pipe.on_end.append(ends.append)
    for number, part in enumerate(parts):
        pipe.write(part)
        if number % every == 0:
            got += pipe.read()
    pipe.finish()
    got += pipe.read()
    assert got == b"".join(parts) and pipe.exhausted and pipe.held_bytes == 0
    pipe.close(PipeEnd.WHOLE)
    pipe.close()
    assert ends == [PipeEnd.WHOLE] and budget.open_pipes == 0


def test_budget_guarantees_minimum_and_bounds_buffered_bodies():
    budget = PipeBudget(4 * MB)
    pipes = [Pipe(budget) for _ in range(1000)]
    assert budget.window_bytes == MIN_WINDOW_BYTES and not pipes[0].full
    assert budget.may_buffer(MAX_REPLAYABLE_BYTES) and not budget.may_buffer(MAX_REPLAYABLE_BYTES + 1)
    budget.buffered_body_bytes = 2 * MB
    assert not budget.may_buffer(1)


def head(extra):
    return submit_request().replace(b"Content-Length: 4\r\n", extra).removesuffix(b"move")


def chunked(body, size=50000):
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\nTrailer: x\r\n\r\n"


def parse_request(data, size, budget):
    """Feed a client's bytes in chunks; the result, the body, and whether it is complete."""
    server = Http1Protocol(RequestClassifier(read_settings(SETTINGS)), lambda: True, budget)
    body, item = b"", None
    for at in range(0, len(data), size):
        server.receive(data[at : at + size])
        item = item or server.next_request()
        if isinstance(item, Request) and item.message.body_pipe is not None:
            body += item.message.body_pipe.read()
    if isinstance(item, Rejection):
        return item.status, b"", True
    whole = item.message.body_pipe is None or item.message.body_pipe.complete
    return "taken", item.message.body + body, whole


SMALL_BUDGET = PipeBudget(MAX_BUFFERED_BODY_BYTES)
LONG = BIG[: 3 * MAX_BUFFERED_BODY_BYTES]


@pytest.mark.parametrize("size", [1, 1000, 16384, MB])
@pytest.mark.parametrize("budget", [SMALL_BUDGET, PipeBudget(64 * MB)], ids=["passed on", "kept"])
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
def test_long_body_is_independent_of_chunking(data, expected, budget, size):
    assert parse_request(data, size, budget) == expected


def make_response(extra, body):
    return b"HTTP/1.1 200 OK\r\n" + extra + b"\r\n" + body


@pytest.mark.parametrize("size", [1, 777, 16384, MB])
@pytest.mark.parametrize(
    ("data", "close", "whole"),
    [
        (make_response(b"Content-Length: %d\r\n" % len(LONG), LONG), False, True),
        (make_response(b"Transfer-Encoding: chunked\r\n", chunked(LONG)), False, True),
        (make_response(b"Connection: close\r\n", LONG), True, True),
        (make_response(b"Content-Length: %d\r\n" % (len(LONG) + 1), LONG), True, False),
        (make_response(b"Transfer-Encoding: chunked\r\n", chunked(LONG)[:-5]), True, False),
        (make_response(b"Transfer-Encoding: chunked\r\n", chunked(LONG)[:-17] + b"zz\r\n"), False, False),
    ],
    ids=["length", "chunks", "to the end", "short", "cut", "spoilt"],
)
def test_long_response_is_independent_of_chunking(data, close, whole, size):
    # guards against a truncated response taken for complete, and one that is forwarded only at its end
    flow, got, pipe = UpstreamCodec(b"m:1", SMALL_BUDGET), b"", None
    flow.encode_request(Message(b"GET", b"/r", accepts_stream=True), 500.0)
    for at in range(0, len(data), size):
        reply = flow.receive(data[at : at + size])
        if reply is not None and pipe is None:
            assert reply.outcome is Outcome.SERVED and at < 2 * MAX_BUFFERED_BODY_BYTES
            pipe = reply.served.content.body_pipe
        if pipe is not None:
            got += pipe.read()
    if close:
        flow.receive(b"")
    assert got == LONG and (pipe.complete, pipe.broken) == (whole, not whole)
    assert flow.prepare_next() == (whole and not close)


class Server(Listener):
    """Reads requests with bodies of any framing; `respond` handles each of them."""

    def __init__(self, respond):
        self.respond, self.bodies, self.truncated_sizes = respond, [], []
        super().__init__()

    def serve(self, sock):
        with contextlib.closing(sock):
            self.handle_requests(sock)
            sock.shutdown(socket.SHUT_RDWR)

    def handle_requests(self, sock):
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
            for part in self.read_body(file, headers):
                digest.update(part)
                size += len(part)
                time.sleep(0)
            if is_truncated(headers, size):
                self.truncated_sizes.append(size)
                return
            self.bodies.append((size, digest.hexdigest()))
            if not self.respond(sock, headers):
                return

    def read_body(self, file, headers):
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


def is_truncated(headers, size):
    return "content-length" in headers and size < int(headers["content-length"])


def respond_with(extra, body):
    def respond(sock, headers):
        sock.sendall(make_response(extra, body))
        return True

    return respond


def read_response(sock, pause=0.0):
    """Status and body as the client sees them, and whether it can tell that the body is complete."""
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
def test_long_body_and_response_are_forwarded(tmp_path, framing):
    # guards against a body that is truncated, corrupted or sent twice
    extra, body = b"Content-Length: %d\r\n" % len(BIG), BIG
    if framing == "chunks":
        extra, body = b"Transfer-Encoding: chunked\r\n", chunked(BIG)
    with (
        Program(tmp_path, Server(respond_with(extra, body)), control=True) as program,
        program.connect() as sock,
    ):
        for number in range(2):  # both connections are reused
            sock.sendall(submit_request(number)[: submit_request(number).index(b"Content-Length")])
            sock.sendall(extra + b"Expect: 100-continue\r\n\r\n")
            assert sock.recv(1000) == b"HTTP/1.1 100 Continue\r\n\r\n"
            sock.sendall(body)
            status, got, whole = read_response(sock)
            assert (status, whole) == (200, True) and got == BIG
        digest = hashlib.sha256(BIG).hexdigest()
        assert program.servers[0].bodies == [(len(BIG), digest)] * 2
        assert len(program.servers[0].connections) == 1
        until(lambda: program.figures()["inflight"] == 0, "the end of all")
        assert program.figures()["calls"]["turn-submit"] == {"success": 2, "busy": 0, "failure": 0}


@pytest.mark.parametrize(
    "extra", [b"Content-Length: %d\r\n" % (len(BIG) + 1), b"Transfer-Encoding: chunked\r\n"]
)
def test_truncated_response_is_visible_to_client(tmp_path, extra):
    # guards against a truncated response that the client takes for complete
    body = chunked(BIG)[:-5] if b"chunked" in extra else BIG

    def cut(sock, headers):
        sock.sendall(make_response(extra, body))
        return False

    with Program(tmp_path, Server(cut), control=True) as program, program.connect() as sock:
        sock.sendall(read_request())
        status, got, whole = read_response(sock)
        assert status == 200 and not whole and len(got) > MAX_BUFFERED_BODY_BYTES
        until(lambda: program.figures()["calls"]["board-read"]["failure"] == 1, "the failure")
        assert len(program.servers[0].bodies) == 1  # a response that has started is not retried


def slow_reader(program, number):
    """A connection on which a response has begun; while none has, a new server gets few requests."""
    sock = program.connect()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.sendall(read_request(number))
    assert sock.recv(1, socket.MSG_PEEK)
    return sock


def test_slow_readers_use_bounded_memory(tmp_path):
    # guards against responses buffered in memory for clients that do not read
    body = bytes(16 * MB)
    server = Server(respond_with(b"Content-Length: %d\r\n" % len(body), body))
    with (
        Program(tmp_path, server, settings=LONG_DEADLINES, control=True) as program,
        contextlib.ExitStack() as stack,
    ):
        before = psutil.Process(program.process.pid).memory_info().rss
        socks = [stack.enter_context(slow_reader(program, number)) for number in range(4)]
        time.sleep(1.0)
        assert psutil.Process(program.process.pid).memory_info().rss < before + 12 * MB
        assert 0 < program.figures()["inflight"] <= 4
        results = []
        threads = [threading.Thread(target=lambda s=s: results.append(read_response(s))) for s in socks]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert [(status, len(got), whole) for status, got, whole in results] == [(200, len(body), True)] * 4


def test_drain_waits_for_long_response_to_slow_reader(tmp_path):
    # guards against a drain, or a resume after it, that truncates a streamed response
    body = bytes(4 * MB)
    server = Server(respond_with(b"Content-Length: %d\r\n" % len(body), body))
    with Program(tmp_path, server, control=True) as program, program.connect() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.sendall(read_request())
        until(lambda: program.figures()["inflight"] == 1, "the request")
        assert program.call("POST", "/-/drain")[0] == 200
        time.sleep(1.7)
        assert program.call("POST", "/-/resume")[0] == 200
        assert read_response(sock) == (200, body, True)
        until(lambda: program.figures()["calls"]["board-read"]["success"] == 1, "the end")


def test_client_disconnect_within_body_executes_nothing(tmp_path):
    # guards against a body truncated by its client that a backend takes for complete
    with Program(tmp_path, Server(respond_with(b"Content-Length: 0\r\n", b"")), control=True) as program:
        with program.connect() as sock:
            sock.sendall(head(b"Content-Length: %d\r\n" % (2 * len(BIG))) + BIG)
            until(lambda: program.figures()["inflight"] == 1, "the request")
            time.sleep(0.2)
        until(lambda: program.servers[0].truncated_sizes, "the end of the attempt")
        until(lambda: program.figures()["inflight"] == 0, "the end of the request")
        assert program.servers[0].bodies == [] and program.figures()["backend_calls"] == 0


def test_unbuffered_body_is_sent_once_and_refused_if_not_executed(tmp_path):
    # guards against a retry with half of its body, and against a failure where a retry is safe
    def deny(sock):
        sock.recv(100000)  # and closes, long before the body is complete
        sock.shutdown(socket.SHUT_RDWR)

    server = Server(None)
    server.serve = deny
    with Program(tmp_path, server, control=True) as program, program.connect() as sock:
        with contextlib.suppress(OSError):
            sock.sendall(head(b"Content-Length: %d\r\n" % (4 * len(BIG))) + BIG + BIG)
        assert sock.recv(1000).startswith(b"HTTP/1.1 503")


def test_response_of_unknown_length_is_streamed(tmp_path):
    # guards against giving up a response that makes progress but is not complete within its target latency
    def drip(sock, headers):
        sock.sendall(make_response(b"Transfer-Encoding: chunked\r\n", b""))
        for _ in range(20):
            sock.sendall(b"5\r\nboard\r\n")
            time.sleep(0.06)
        sock.sendall(b"0\r\n\r\n")
        return True

    with Program(tmp_path, Server(drip), control=True) as program, program.connect() as sock:
        sock.sendall(read_request(span="900m"))
        assert read_response(sock) == (200, b"board" * 20, True)
        assert len(program.servers[0].bodies) == 1


def test_slow_body_is_accepted_and_stalled_one_times_out(tmp_path):
    # guards against 408 for a client on a slow link, and a connection kept for a silent client
    with Program(tmp_path, Server(respond_with(b"Content-Length: 0\r\n", b"")), control=True) as program:
        slow, silent = program.connect(), program.connect()
        body = bytes(200 * 1024)
        for sock in (slow, silent):
            sock.sendall(head(b"Content-Length: %d\r\n" % len(body)))
        for at in range(0, len(body), 6400):  # 64 kB a second
            slow.sendall(body[at : at + 6400])
            time.sleep(0.1)
        assert slow.recv(1000).startswith(b"HTTP/1.1 200")
        assert silent.recv(1000).startswith(b"HTTP/1.1 408")
