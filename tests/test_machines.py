"""Codecs, pool, deadlines and buffers, each without a network connection."""

import json
import socket

import pytest
from helpers import SETTINGS, host, read_request, response, submit_request

from barleybarrow.interface import ListScope, Outcome, State
from barleybarrow.settings import read_settings
from brackenusher.core.admission import Request
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Failed, Refused, Served
from brackenusher.fronts.http import RequestClassifier
from brackenusher.fronts.http1.virtual_server import Http1Protocol
from brackenusher.membership.discovery import Discovery, DiscoveryError, read_listing
from brackenusher.runtime.buffers import BufferPool
from brackenusher.upstream.flow import UpstreamCodec
from brackenusher.upstream.pool import Pool

CONF = read_settings(SETTINGS)
READ = Message(b"GET", b"/board-read?k=1", [(b"host", b"x"), (b"req-id", b"1"), (b"req-deadline", b"1400m")])


def codec_result(data, step=None):
    """The codec, and its result for a response fed in chunks of `step` bytes."""
    codec = UpstreamCodec(b"a:1")
    codec.encode_request(READ, 500.0)
    step = step or len(data)
    for i in range(0, len(data), step):
        result = codec.receive(data[i : i + step])
        if result is not None:
            return codec, result
    return codec, codec.receive(b"")


@pytest.mark.parametrize(
    ("data", "outcome"),
    [
        (response(200, b"board"), Outcome.SERVED),
        (response(500, b"oops"), Outcome.ERROR),
        (response(503, b""), Outcome.ERROR),
        (response(429, b""), Outcome.ERROR),
        (response(503, b"", "Srv-Declined: 1"), Outcome.FULL),
        (response(504, b"", "Srv-Declined: 1"), Outcome.FULL),
        (response(500, b"", "Srv-Declined: 1"), Outcome.ERROR),
        (response(200, b"x" * 65537), Outcome.ERROR),
        (b"HTTP/1.1 banana\r\n\r\n", Outcome.ERROR),
        (response(200, b"board")[:-1], Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nboa", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nboard\r\n0\r\n\r\n", Outcome.SERVED),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nboard", Outcome.SERVED),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + response(200, b"board"), Outcome.SERVED),
        (response(200, b"board") + b"HTTP/1.1 200 OK\r\n", Outcome.SERVED),
    ],
)
@pytest.mark.parametrize("step", [1, None])
def test_outcome_of_each_response(data, outcome, step):
    # guards against taking any 503 for proof of non-execution, and a truncated response for a complete one
    _, result = codec_result(data, step)
    assert result.outcome is outcome
    assert (result.served == Served(Content(b"board"))) is (outcome is Outcome.SERVED)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n\r\nboard",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nboard",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nboard",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nboard",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nboard",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 17,
        b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9000,
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000,
    ],
)
@pytest.mark.parametrize("step", [1, 4096])
def test_invalid_response_is_detected_at_once(data, step):
    # guards against waiting for an endless response: the connection stays open until the client's deadline
    codec = UpstreamCodec(b"a:1")
    codec.encode_request(READ, 500.0)
    results = [codec.receive(data[i : i + step]) for i in range(0, len(data), step)]
    assert results[-1].outcome is Outcome.ERROR and not codec.prepare_next()


@pytest.mark.parametrize(
    ("data", "again"),
    [
        (response(200, b"board"), True),
        (response(503, b"", "Srv-Declined: 1"), True),
        (response(200, b"board", "Connection: close"), False),
        (response(200, b"board") + b"stray", False),
        (b"HTTP/1.1 banana\r\n\r\n", False),
    ],
)
def test_connection_is_reused_only_between_messages(data, again):
    # guards against taking surplus bytes of one response for the response to the next request
    codec, _ = codec_result(data)
    assert codec.prepare_next() is again


def test_request_carries_deadline_and_drops_hop_by_hop_headers():
    message = Message(b"POST", b"/t", [(b"host", b"x"), (b"connection", b"close"), (b"a", b"b")], b"move")
    data = UpstreamCodec(b"a:1").encode_request(message, 812.7)
    assert b"req-deadline: 812m" in data and b"close" not in data and b"a: b" in data
    assert data.endswith(b"content-length: 4\r\n\r\nmove")


def test_request_without_host_gets_host_of_member():
    # HTTP/1.0 clients need not send Host; the attempt failed before it was written
    assert b"host: a:1\r\n" in UpstreamCodec(b"a:1").encode_request(Message(b"GET", b"/r"), 5.0)


def make_server():
    return Http1Protocol(RequestClassifier(CONF), lambda: True)


@pytest.mark.parametrize("data", [read_request(), submit_request(body=b"a move")])
def test_request_in_single_bytes_parses_like_a_complete_one(data):
    # guards against accepting an incomplete request
    whole, bytewise = make_server(), make_server()
    whole.receive(data)
    for i in range(len(data)):
        assert bytewise.next_request() is None
        bytewise.receive(data[i : i + 1])
    item = whole.next_request()
    assert isinstance(item, Request) and bytewise.next_request() == item


def test_pipelined_request_waits_for_previous_response():
    server = make_server()
    server.receive(read_request(1) + read_request(2))
    assert dict(server.next_request().message.headers)[b"req-id"] == b"id1"
    assert not server.is_idle
    server.encode_answer(Failed(), False)
    assert dict(server.next_request().message.headers)[b"req-id"] == b"id2" and server.is_idle


def test_pipelined_requests_are_bounded():
    # guards against one client filling the memory with pipelined requests
    server = make_server()
    server.receive(read_request() * 16)
    assert server.read_paused
    server.next_request()
    assert not server.read_paused


@pytest.mark.parametrize(("text", "span"), [("480m", 480.0), ("480000u", 480.0), ("0.5m", 0.5)])
def test_deadline_units(text, span):
    server = make_server()
    server.receive(read_request(span=text))
    assert server.next_request().timeout_ms == span


def test_retry_after_is_in_decimal_seconds():
    server = make_server()
    server.receive(read_request())
    server.next_request()
    data = server.encode_answer(Refused(299.2), True)
    assert data.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.300\r\n" in data
    assert b"connection: close\r\n" in data and server.closes_connection


def test_truncated_request_is_not_accepted():
    server = make_server()
    server.receive(submit_request()[:-2])
    assert server.next_request() is None
    server.receive(b"")
    server.encode_rejection(server.next_request(), False)
    assert server.closes_connection


LISTING = {"seq": 41, "whole": True, "hosts": []}


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_discovery_fetches_list_then_watches_from_its_version(step):
    change = json.dumps({"seq": 43, "whole": False, "hosts": []}).encode() + b"\n"
    data = (
        response(200, json.dumps(LISTING).encode()) + b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    data += chunk(b"\n") + chunk(change[:9]) + chunk(change[9:] + b"\n" + change)
    discovery, seqs, sent = Discovery("a:1", None), [], b""
    assert discovery.start().startswith(b"GET /registry/instances HTTP/1.1\r\n")
    for i in range(0, len(data), step):
        listings, call = discovery.receive(data[i : i + step])
        seqs += [listing.seq for listing in listings]
        sent += call
    assert seqs == [41, 43, 43] and discovery.seq == 43
    assert sent.startswith(b"GET /registry/instances?watch=1&from=41 HTTP/1.1\r\n")


def test_discovery_resumes_from_its_last_version():
    assert b"?watch=1&from=43 " in Discovery("a:1", 43).start()


@pytest.mark.parametrize(
    "data", [b"", response(500), response(200, b"{"), response(200, b"[]"), b"junk\r\n\r\n"]
)
def test_invalid_discovery_response_ends_the_connection(data):
    discovery = Discovery("a:1", None)
    discovery.start()
    with pytest.raises(DiscoveryError):
        discovery.receive(data)


class Server:
    address = "127.0.0.1:9"


class FakeConnection:
    """A connection that has carried one request; `reusable` tells whether the planner kept it."""

    def __init__(self, pool, member):
        self.planner, self.clock, self.member, self.closed = pool.planner, pool.clock, member, False
        self.held = self.planner.begin_connect(member.line, self, self.clock())
        self.planner.on_connected(self.held, self.clock())
        self.reusable = self.finish_request()

    def finish_request(self):
        return self.planner.release(self.held, self.clock()) is None

    def close(self, cause):
        self.closed = True
        self.planner.on_closed(self.held, self.clock(), cause)


class Clock:
    now = 50_000.0

    def __call__(self):
        return self.now


def make_pool(*hosts, clock=None):
    pool = Pool(CONF, clock or Clock(), 1_000_000.0)
    pool.apply(read_listing({"seq": 1, "whole": True, "hosts": list(hosts)}))
    return pool


def apply_changes(pool, *hosts, whole=False):
    return pool.apply(read_listing({"seq": 2, "whole": whole, "hosts": list(hosts)}))


def test_start_times_are_converted_to_policy_clock():
    event = apply_changes(make_pool(), host("a", Server, born_ms=1_040_000), host("b", Server))
    assert [(e.backend, e.started, e.state) for e in event.entries] == [
        ("a", 40_000.0, State.LIVE),
        ("b", 0.0, State.LIVE),
    ]
    assert event.scope is ListScope.CHANGES


def test_malformed_entry_is_skipped():
    event = apply_changes(
        make_pool(), {"host": "a"}, host("b", Server), host("c", Server) | {"dial": "nowhere"}
    )
    assert [e.backend for e in event.entries] == ["b"]


@pytest.mark.parametrize("how", ["draining", "gone", "left out"])
def test_queued_requests_start_only_within_drain_grace(how):
    # guards against a request that waits for its connection beyond the drain limit
    clock = Clock()
    pool = make_pool(host("a", Server), clock=clock)
    member = pool.members["a"]
    idle, busy = FakeConnection(pool, member), FakeConnection(pool, member)
    assert idle.reusable and pool.take_idle(member, True) is busy and pool.may_send(member)
    if how == "left out":
        apply_changes(pool, whole=True)
    else:
        apply_changes(pool, host("a", Server, how))
    assert idle.closed and not busy.closed and not busy.finish_request() and pool.may_send(member)
    clock.now += 400
    apply_changes(pool, *([] if how == "left out" else [host("a", Server, how)]))
    clock.now += 101
    assert not pool.may_send(member)


def test_idle_connections_to_previous_process_are_closed():
    # guards against a reset on a dead connection, for which the policy would eject the member for seconds
    pool = make_pool(host("a", Server))
    member = pool.members["a"]
    idle, busy = FakeConnection(pool, member), FakeConnection(pool, member)
    assert pool.take_idle(member, True) is busy
    apply_changes(pool, host("a", Server, born_ms=5))
    assert idle.closed and not busy.finish_request() and pool.take_idle(member, True) is None


def test_member_ready_again_gets_new_connections():
    # guards against a member that drained and came back: none of its connections were kept any more
    pool = make_pool(host("a", Server))
    apply_changes(pool, host("a", Server, "draining"))
    apply_changes(pool, host("a", Server))
    member = pool.members["a"]
    assert FakeConnection(pool, member).reusable and pool.take_idle(member, True) is not None


def test_most_recent_idle_connection_is_used_and_oldest_evicted():
    pool = make_pool(host("a", Server))
    member = pool.members["a"]
    old, new = FakeConnection(pool, member), FakeConnection(pool, member)
    assert pool.take_idle(member, True) is new and pool.evict_idle() and old.closed
    assert pool.take_idle(member, True) is None and not pool.evict_idle()


def test_deadlines_are_called_in_order_despite_a_failure():
    deadlines, called = Deadlines(), []
    deadlines.add(2.0, lambda: called.append(2))
    deadlines.add(1.0, lambda: 1 / 0)
    removed = deadlines.add(1.5, lambda: called.append(1.5))
    deadlines.add(3.0, lambda: called.append(3))
    deadlines.remove(removed)
    deadlines.run_due(2.5)
    assert called == [2] and deadlines.next_due() == 3.0


def test_deadline_added_during_sweep_waits_for_next_sweep():
    # guards against an endless sweep
    deadlines, called = Deadlines(), []

    def again():
        called.append(1)
        deadlines.add(0.0, again)

    again()
    deadlines.run_due(5.0)
    assert called == [1, 1]


def test_buffer_is_reused_after_failed_read():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        buffers, got = BufferPool(4), []
        with pytest.raises(BlockingIOError):
            buffers.receive(ours, got.append)
        lent = buffers.free[0]
        theirs.sendall(b"123456")
        assert buffers.receive(ours, lambda part: got.append(bytes(part))) == 4
        assert got == [b"1234"] and buffers.free[0] is lent
