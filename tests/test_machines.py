"""The machines that are fed bytes, the pool, the deadlines and the buffers: each without a socket."""

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
from brackenusher.fronts.http import Front
from brackenusher.fronts.http1.virtual_server import VirtualServer
from brackenusher.membership.discovery import Discovery, DiscoveryError, read_listing
from brackenusher.runtime.buffers import Buffers
from brackenusher.upstream.flow import Flow
from brackenusher.upstream.pool import Pool

CONF = read_settings(SETTINGS)
READ = Message(b"GET", b"/board-read?k=1", [(b"host", b"x"), (b"req-id", b"1"), (b"req-deadline", b"1400m")])


def flow_reply(data, step=None):
    """What a flow makes of an answer, fed in pieces of `step` bytes."""
    flow = Flow(b"a:1")
    flow.request(READ, 500.0)
    step = step or len(data)
    for i in range(0, len(data), step):
        reply = flow.receive(data[i : i + step])
        if reply is not None:
            return flow, reply
    return flow, flow.receive(b"")


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
def test_what_an_answer_means(data, outcome, step):
    # guards against taking an undeclined 503 for proof that nothing ran, and a cut-off answer for a whole one
    _, reply = flow_reply(data, step)
    assert reply.outcome is outcome
    assert (reply.served == Served(Content(b"board"))) is (outcome is Outcome.SERVED)


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
def test_an_answer_that_can_come_to_nothing_is_known_as_spoilt_at_once(data, step):
    # guards against waiting for what never ends: the connection stays open, and the client's time goes by
    flow = Flow(b"a:1")
    flow.request(READ, 500.0)
    replies = [flow.receive(data[i : i + step]) for i in range(0, len(data), step)]
    assert replies[-1].outcome is Outcome.ERROR and not flow.renew()


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
def test_a_connection_is_used_again_only_where_it_stands_between_messages(data, again):
    # guards against taking stray bytes of one answer for the answer to the next request
    flow, _ = flow_reply(data)
    assert flow.renew() is again


def test_a_flow_says_how_long_the_proxy_will_wait_and_drops_what_concerned_one_hop():
    message = Message(b"POST", b"/t", [(b"host", b"x"), (b"connection", b"close"), (b"a", b"b")], b"move")
    data = Flow(b"a:1").request(message, 812.7)
    assert b"req-deadline: 812m" in data and b"close" not in data and b"a: b" in data
    assert data.endswith(b"content-length: 4\r\n\r\nmove")


def test_a_request_that_names_no_host_gets_the_members():
    # guards against HTTP/1.0 clients, who need not name one: the attempt failed before it was written
    assert b"host: a:1\r\n" in Flow(b"a:1").request(Message(b"GET", b"/r"), 5.0)


def front():
    return VirtualServer(Front(CONF), lambda: True)


@pytest.mark.parametrize("data", [read_request(), submit_request(body=b"a move")])
def test_a_dribbled_request_is_the_same_as_a_whole_one(data):
    # guards against acting on part of a request
    whole, dribbled = front(), front()
    whole.receive(data)
    for i in range(len(data)):
        assert dribbled.next() is None
        dribbled.receive(data[i : i + 1])
    item = whole.next()
    assert isinstance(item, Request) and dribbled.next() == item


def test_a_request_sent_ahead_waits_for_the_answer_to_the_one_before():
    machine = front()
    machine.receive(read_request(1) + read_request(2))
    assert dict(machine.next().message.headers)[b"req-id"] == b"id1"
    assert not machine.between
    machine.answer(Failed(), False)
    assert dict(machine.next().message.headers)[b"req-id"] == b"id2" and machine.between


def test_only_so_many_requests_are_read_ahead():
    # guards against one client's stream filling the memory
    machine = front()
    machine.receive(read_request() * 16)
    assert machine.full
    machine.next()
    assert not machine.full


@pytest.mark.parametrize(("text", "span"), [("480m", 480.0), ("480000u", 480.0), ("0.5m", 0.5)])
def test_the_units_of_a_deadline(text, span):
    machine = front()
    machine.receive(read_request(span=text))
    assert machine.next().span == span


def test_the_advice_when_to_come_back_is_in_decimal_seconds():
    machine = front()
    machine.receive(read_request())
    machine.next()
    data = machine.answer(Refused(299.2), True)
    assert data.startswith(b"HTTP/1.1 503 ") and b"retry-after: 0.300\r\n" in data
    assert b"connection: close\r\n" in data and machine.last


def test_a_stream_that_ends_inside_a_request_takes_nothing():
    machine = front()
    machine.receive(submit_request()[:-2])
    assert machine.next() is None
    machine.receive(b"")
    machine.reject(machine.next(), False)
    assert machine.last


LIST = {"seq": 41, "whole": True, "hosts": []}


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_discovery_fetches_the_list_then_watches_from_there(step):
    change = json.dumps({"seq": 43, "whole": False, "hosts": []}).encode() + b"\n"
    data = response(200, json.dumps(LIST).encode()) + b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += chunk(b"\n") + chunk(change[:9]) + chunk(change[9:] + b"\n" + change)
    machine, seqs, sent = Discovery("a:1", None), [], b""
    assert machine.start().startswith(b"GET /registry/instances HTTP/1.1\r\n")
    for i in range(0, len(data), step):
        listings, call = machine.receive(data[i : i + step])
        seqs += [listing.seq for listing in listings]
        sent += call
    assert seqs == [41, 43, 43] and machine.seq == 43
    assert sent.startswith(b"GET /registry/instances?watch=1&from=41 HTTP/1.1\r\n")


def test_discovery_resumes_from_the_last_version_it_holds():
    assert b"?watch=1&from=43 " in Discovery("a:1", 43).start()


@pytest.mark.parametrize(
    "data", [b"", response(500), response(200, b"{"), response(200, b"[]"), b"junk\r\n\r\n"]
)
def test_what_discovery_must_not_say_ends_the_connection(data):
    machine = Discovery("a:1", None)
    machine.start()
    with pytest.raises(DiscoveryError):
        machine.receive(data)


class Server:
    address = "127.0.0.1:9"


class FakeConnection:
    """Has carried one request; `kept` says whether it was kept for another."""

    def __init__(self, pool, member):
        self.planner, self.clock, self.member, self.closed = pool.planner, pool.clock, member, False
        self.held = self.planner.opening(member.line, self, self.clock())
        self.planner.up(self.held, self.clock())
        self.kept = self.end()

    def end(self):
        return self.planner.done(self.held, self.clock()) is None

    def close(self, cause):
        self.closed = True
        self.planner.closed(self.held, self.clock(), cause)


class Clock:
    now = 50_000.0

    def __call__(self):
        return self.now


def pool_of(*hosts, clock=None):
    pool = Pool(CONF, clock or Clock(), 1_000_000.0)
    pool.take(read_listing({"seq": 1, "whole": True, "hosts": list(hosts)}))
    return pool


def changes(pool, *hosts, whole=False):
    return pool.take(read_listing({"seq": 2, "whole": whole, "hosts": list(hosts)}))


def test_times_of_start_are_put_on_the_modules_clock_and_long_ago_stays_so():
    event = changes(pool_of(), host("a", Server, born_ms=1_040_000), host("b", Server))
    assert [(e.backend, e.started, e.state) for e in event.entries] == [
        ("a", 40_000.0, State.LIVE),
        ("b", 0.0, State.LIVE),
    ]
    assert event.scope is ListScope.CHANGES


def test_an_entry_that_cannot_be_read_costs_only_itself():
    event = changes(pool_of(), {"host": "a"}, host("b", Server), host("c", Server) | {"dial": "nowhere"})
    assert [e.backend for e in event.entries] == ["b"]


@pytest.mark.parametrize("how", ["draining", "gone", "left out"])
def test_what_was_queued_for_a_member_may_begin_only_inside_the_drain_limit(how):
    # guards against a send that waits for its connection past the limit
    clock = Clock()
    pool = pool_of(host("a", Server), clock=clock)
    member = pool.members["a"]
    idle, busy = FakeConnection(pool, member), FakeConnection(pool, member)
    assert idle.kept and pool.lend(member, True) is busy and pool.may_begin(member)
    if how == "left out":
        changes(pool, whole=True)
    else:
        changes(pool, host("a", Server, how))
    assert idle.closed and not busy.closed and not busy.end() and pool.may_begin(member)
    clock.now += 400
    changes(pool, *([] if how == "left out" else [host("a", Server, how)]))
    clock.now += 101
    assert not pool.may_begin(member)


def test_idle_connections_to_an_earlier_life_are_closed():
    # guards against a reset on a dead connection, for which the module shuns the member for seconds
    pool = pool_of(host("a", Server))
    member = pool.members["a"]
    idle, busy = FakeConnection(pool, member), FakeConnection(pool, member)
    assert pool.lend(member, True) is busy
    changes(pool, host("a", Server, born_ms=5))
    assert idle.closed and not busy.end() and pool.lend(member, True) is None


def test_a_member_that_is_ready_again_gets_connections_anew():
    # guards against a member that was said to drain and came back: nothing was kept for it any more
    pool = pool_of(host("a", Server))
    changes(pool, host("a", Server, "draining"))
    changes(pool, host("a", Server))
    member = pool.members["a"]
    assert FakeConnection(pool, member).kept and pool.lend(member, True) is not None


def test_the_idle_connection_used_last_is_lent_and_the_one_idle_longest_makes_room():
    pool = pool_of(host("a", Server))
    member = pool.members["a"]
    old, new = FakeConnection(pool, member), FakeConnection(pool, member)
    assert pool.lend(member, True) is new and pool.evict_idle() and old.closed
    assert pool.lend(member, True) is None and not pool.evict_idle()


def test_deadlines_are_swept_in_order_and_a_fault_costs_only_itself():
    deadlines, called = Deadlines(), []
    deadlines.add(2.0, lambda: called.append(2))
    deadlines.add(1.0, lambda: 1 / 0)
    removed = deadlines.add(1.5, lambda: called.append(1.5))
    deadlines.add(3.0, lambda: called.append(3))
    deadlines.remove(removed)
    deadlines.sweep(2.5)
    assert called == [2] and deadlines.next() == 3.0


def test_what_a_deadline_adds_waits_for_the_next_sweep():
    # guards against a sweep without end
    deadlines, called = Deadlines(), []

    def again():
        called.append(1)
        deadlines.add(0.0, again)

    again()
    deadlines.sweep(5.0)
    assert called == [1, 1]


def test_a_buffer_is_used_again_also_after_a_failed_read():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        buffers, got = Buffers(4), []
        with pytest.raises(BlockingIOError):
            buffers.receive(ours, got.append)
        lent = buffers.free[0]
        theirs.sendall(b"123456")
        assert buffers.receive(ours, lambda part: got.append(bytes(part))) == 4
        assert got == [b"1234"] and buffers.free[0] is lent
