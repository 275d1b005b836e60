"""Race conditions on real sockets: an event between two others. Each is forced, not awaited."""

import contextlib
import itertools
import json
import os
import select
import signal
import socket
import struct
import threading
import time

import pytest
from helpers import (
    SETTINGS,
    DiscoveryAgent,
    Listener,
    Program,
    Stepped,
    TurnServer,
    host,
    read_request,
    response,
    submit_request,
    until,
)
from hypothesis import given
from hypothesis import strategies as st

from brackenusher.core.deadlines import Deadlines
from brackenusher.fronts.http1 import clients
from brackenusher.membership import agent as agent_driver
from brackenusher.membership.discovery import Discovery, DiscoveryError
from brackenusher.runtime import loop as runtime
from brackenusher.runtime.loop import READ, EventLoop
from testbed.sockets.ports import free_port
from testbed.standins import read_message

UNSAFE = {**SETTINGS["classes"][1], "repeat": "single_shot"}
UNSAFE_SETTINGS = {"classes": [SETTINGS["classes"][0], UNSAFE]}


def unsafe_request(number=1, body=b"move", extra=""):
    """A request of a class that is unsafe to retry: it has no idempotency key."""
    key = b"Idempotency-Key: key%d\r\n" % number
    return submit_request(number, body, extra).replace(key, b"")


def request_ids(server):
    return [headers["req-id"] for _, headers, _ in server.requests]


# settings


def test_request_unsafe_to_retry_needs_no_key_and_is_sent_once(tmp_path):
    # requiring a key of a class whose clients have none rejected all its requests
    def fail(server, message):
        return response(500, b"no") if message[1]["req-id"] == "id2" else response(200, b"board")

    with Program(tmp_path, TurnServer(fail), settings=UNSAFE_SETTINGS) as program:
        assert program.ask(unsafe_request(1))[::2] == (200, b"board")
        assert program.ask(unsafe_request(2))[0] == 502
        assert program.ask(submit_request(3))[::2] == (200, b"board")
        requests = [headers for _, headers, _ in program.servers[0].requests]
        assert [each["req-id"] for each in requests] == ["id1", "id2", "id3"]
        assert ["idempotency-key" in each for each in requests] == [False, False, True]


# streamed responses


class StreamingServer(TurnServer):
    """Sends a long response without a length; its last byte and its end when the test says so."""

    def __init__(self, body):
        self.body, self.last, self.end = body, threading.Event(), threading.Event()
        super().__init__()

    def serve(self, sock):
        self.requests.append(read_message(sock.makefile("rb")))
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + self.body[:-1])
        self.last.wait(20)
        sock.sendall(self.body[-1:])
        self.end.wait(20)
        sock.shutdown(socket.SHUT_WR)


def test_stream_that_ends_while_its_last_chunk_is_written_is_terminated(tmp_path, monkeypatch):
    # without the final chunk the client waits on, until it is disconnected as idle
    write, full = clients.write, []

    def take_nothing(sock, data):
        return data if full else write(sock, data)

    monkeypatch.setattr(clients, "write", take_nothing)
    server = StreamingServer(os.urandom(100_000))
    with Stepped(tmp_path, server) as stepped, stepped.connect() as sock:
        sock.sendall(read_request())
        transactions = stepped.daemon.transactions
        stepped.turn_until(
            lambda: transactions.accepted_count and not transactions.open, "the answer's begin"
        )
        pipe = next(iter(stepped.daemon.http1.connections)).answer.content.body_pipe
        stepped.turn_until(lambda: pipe.received_bytes == 99_999 and not pipe.chunks, "the first pieces")
        full.append(True)
        server.last.set()
        stepped.turn_until(lambda: pipe.received_bytes == 100_000 and not pipe.chunks, "the last piece")
        server.end.set()
        stepped.turn_until(lambda: pipe.complete, "the end")
        full.clear()
        assert stepped.hear(sock)[::2] == (200, server.body)


@pytest.mark.parametrize("moment", ["stream_or_wait", "deadline_reached"])
def test_reset_at_the_moment_of_a_timeout_is_no_end_of_stream_and_leaks_no_pipe(tmp_path, moment):
    # A peek consumed the reset before the read, so that a truncated response was served as complete, and its
    # share of the budget was never returned. The request must be retried, as its client has received nothing.
    reset = threading.Event()

    def breaking(server, message):
        sock = server.connections[-1]
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nboa")
        reset.wait(20)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        raise ConnectionError  # without an orderly shutdown before it

    server, other = TurnServer(breaking), TurnServer()
    agent = DiscoveryAgent([host("s0", server)])
    with Stepped(tmp_path, server, agent=agent, known=False) as stepped, stepped.connect() as sock:
        stepped.turn_until(lambda: agent.watchers, "the watch")
        sock.sendall(read_request())
        stepped.turn_until(lambda: stepped.daemon.upstream.written_attempts, "the attempt")
        agent.tell([host("s1", other)])
        link = next(iter(stepped.daemon.transactions.open.values())).attempts[0].link
        stepped.turn_until(
            lambda: link.codec.response_started and "s1" in stepped.daemon.pool.members, "its begin"
        )
        poll = select.poll()
        poll.register(link.sock, select.POLLHUP)
        reset.set()
        until(lambda: poll.poll(0), "the reset")
        link.upstream.loop.timers.remove(link.stall_timer)
        getattr(link, moment)()
        assert (link.codec.body_pipe is not None) == (moment == "stream_or_wait")
        assert stepped.hear(sock)[::2] == (200, b"board")
        assert stepped.daemon.upstream.budget.open_pipes == 0
        other.close()


# disconnected clients


class MemberEventsFirst:
    """Polls one event per iteration, members' before clients', so that these queue up as under load."""

    def __init__(self, loop):
        self.loop, self.epoll = loop, loop.epoll
        self.register, self.modify, self.unregister = (
            self.epoll.register,
            self.epoll.modify,
            self.epoll.unregister,
        )

    def poll(self, wait, most):
        return sorted(self.epoll.poll(wait, most), key=lambda news: not self.of_member(news[0]))[:1]

    def of_member(self, fd):
        return fd in self.loop.tasks and "ServerLink" in self.loop.tasks[fd].coroutine.__qualname__


@pytest.mark.parametrize("ahead", [0, 1, 40])
def test_no_attempt_starts_for_a_client_that_left_during_the_connect(tmp_path, ahead):
    # wasted work: the member's event precedes the client's disconnect in the same iteration
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped:
        sock = stepped.connect()
        sock.sendall(b"".join(read_request(n) for n in range(ahead + 1)))
        stepped.turn_until(lambda: stepped.daemon.upstream.planner.opened, "the connect")
        stepped.loop.epoll = MemberEventsFirst(stepped.loop)
        sock.close()
        stepped.turn_until(lambda: not stepped.daemon.http1.connections, "the end")
        assert stepped.ask(read_request("-other"))[0] == 200
        assert request_ids(server) == ["id-other"]
        assert not stepped.daemon.transactions.open


def test_no_attempt_starts_for_a_client_that_left_while_queued(tmp_path):
    # a server that became free in that moment got the queued request of a client that had left
    release = threading.Event()

    def slow(server, message):
        if message[1]["req-id"] != "id-other":
            release.wait(20)
        return response(200, b"board")

    server = TurnServer(slow)
    with Stepped(tmp_path, server) as stepped, contextlib.ExitStack() as stack:
        daemon, socks = stepped.daemon, []
        while not (daemon.transactions.balancer.any_held or len(socks) > 10):  # until a request is queued
            socks.append(stack.enter_context(stepped.connect()))
            socks[-1].sendall(read_request(len(socks)))
            stepped.turn_until(lambda: daemon.transactions.accepted_count == len(socks))
        held = f"id{len(socks)}"
        until(lambda: len(server.requests) == len(socks) - 1, "the others")
        stepped.loop.epoll = first = MemberEventsFirst(stepped.loop)
        poll = select.poll()
        for fd in filter(first.of_member, stepped.loop.tasks):
            poll.register(fd, select.POLLIN)
        release.set()
        until(lambda: len(poll.poll(0)) == len(socks) - 1, "the answers")
        socks[-1].close()  # its event comes after theirs, in the same iteration
        stepped.turn_until(lambda: len(daemon.http1.connections) == len(socks) - 1, "the end")
        assert stepped.ask(read_request("-other"))[0] == 200
        assert held not in request_ids(server)


def test_timeout_of_a_pipelined_request_counts_from_its_arrival(tmp_path):
    # it must not start when the request's turn comes, as its client has waited since sending it
    def slow(server, message):
        if message[1]["req-id"] == "id1":
            time.sleep(0.5)
        return response(200, b"board")

    server, patient = TurnServer(slow), {**SETTINGS["classes"][0], "slo": 1400.0}
    with Stepped(tmp_path, server, settings={"classes": [patient]}) as stepped, stepped.connect() as sock:
        sent = time.monotonic()
        sock.sendall(read_request(1) + read_request(2))
        stepped.turn_until(lambda: len(server.requests) == 2, "the second")
        waited = (time.monotonic() - sent) * 1000
        told = [int(headers["req-deadline"][:-1]) for _, headers, _ in server.requests]
        assert told[0] > 1300 and told[1] <= 1400 - 500 and told[1] > 1400 - waited - 200


# closing a connection


class CrossingSocket:
    """A client's socket on which a request arrives just before the proxy shuts it down or closes it."""

    def __init__(self, sock, client, data):
        self.sock, self.client, self.data, self.crossed = sock, client, data, False

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def cross(self):
        if not self.crossed:
            self.crossed = True
            self.client.send(self.data)
            until(lambda: readable(self.sock), "the request")

    def shutdown(self, how):
        self.cross()
        self.sock.shutdown(how)

    def close(self):
        self.cross()
        self.sock.close()


@pytest.mark.parametrize("how", ["limit", "draining", "most kept"])
def test_request_that_crosses_a_close_causes_no_reset(tmp_path, how, monkeypatch):
    # closing with unread input sends a reset, which can destroy a response that the client has not read
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped, stepped.connect() as sock:
        sock.sendall(read_request(1))
        assert stepped.hear(sock)[0] == 200
        (link,) = stepped.daemon.http1.idle
        link.task.sock = CrossingSocket(link.sock, sock, read_request(2))
        link.sock = link.task.sock
        if how == "limit":
            link.is_idle and link.set_timer(0.0)
        elif how == "draining":
            stepped.daemon.http1.drain(idle=True)
        else:
            monkeypatch.setattr(stepped.daemon.http1, "max_idle", 0)
            link.move_to_group(stepped.daemon.http1.idle)
        stepped.turn_until(lambda: link.sock.crossed, "the end")
        stepped.turns(50)
        assert sock.recv(1) == b""  # end of stream, not a reset
        assert request_ids(server) == ["id1"]


# shutdown and reload


@pytest.mark.parametrize("event", ["stop", "stop twice", "reload", "bad file"])
@pytest.mark.parametrize("step", range(7))
def test_signal_between_any_two_steps_of_a_request_does_not_affect_it(tmp_path, step, event):
    # a shutdown or reload must not leave a request without a response, nor with two
    first, second = threading.Event(), threading.Event()

    def failing(server, message):
        first.wait(20)
        return response(500, b"no")

    def serving(server, message):
        second.wait(20)
        return response(200, b"board")

    servers = TurnServer(failing), TurnServer(serving)
    agent = DiscoveryAgent([host("s0", servers[0])])  # the other is added during the first attempt
    with Stepped(tmp_path, *servers, agent=agent, known=False) as stepped:
        daemon, pool, path = stepped.daemon, stepped.daemon.pool, tmp_path / "config.json"

        def act():
            daemon.note_signal(signal.SIGTERM, None) if "stop" in event else None
            if event == "bad file":
                path.write_text("{broken", encoding="utf-8")
            for _ in range(2 if event == "stop twice" else 1):
                daemon.stop() if "stop" in event else daemon.reload()
            stepped.turns(30)

        data, sock = submit_request(), None
        steps = [
            lambda: stepped.turn_until(lambda: pool.members and agent.watchers, "the list"),
            lambda: stepped.turn_until(lambda: daemon.http1.connections, "the connection"),
            lambda: (sock.sendall(data[:40]), stepped.turn_until(lambda: daemon.http1.receiving, "the head")),
            lambda: (sock.sendall(data[40:-2]), stepped.turns(5)),
            lambda: (sock.sendall(data[-2:]), stepped.turn_until(lambda: servers[0].requests, "the attempt")),
            lambda: stepped.agent.tell([host("s1", servers[1])]),
            lambda: (first.set(), stepped.turn_until(lambda: servers[1].requests, "the retry")),
        ]
        for number, take in enumerate(steps):
            if number == 1:
                sock = stepped.connect()
            take()
            if number == step:
                act()
        second.set()
        assert stepped.hear(sock)[::2] == (200, b"board")
        assert [len(server.requests) for server in servers] == [1, 1]
        assert daemon.transactions.accepted_count == 1 and not daemon.transactions.open
        sock.close()


def test_invalid_file_at_a_reload_is_logged_once_and_the_old_settings_stay(tmp_path, caplog):
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped:
        text = (tmp_path / "config.json").read_text(encoding="utf-8")
        for bad in ("{", text.replace('"slo": 580.0', '"slo": "soon"'), text.replace('"listen"', '"lissen"')):
            (tmp_path / "config.json").write_text(bad, encoding="utf-8")
            caplog.clear()
            stepped.daemon.reload()
            assert len(caplog.records) == 1 and caplog.records[0].levelname == "ERROR"
            assert len(caplog.records[0].getMessage().splitlines()) == 1
            assert stepped.ask(read_request())[0] == 200


# retries


def test_retry_connected_after_its_window_is_not_sent(tmp_path):
    # a move would run twice, as servers deduplicate retries only within the window
    keyed = {**SETTINGS["classes"][1], "window": 300.0}
    settings = {
        "classes": [SETTINGS["classes"][0], keyed],
        "limits": {**SETTINGS["limits"], "connectTimeout": 5000.0},
    }
    servers = [TurnServer(lambda server, message: response(500, b"no")) for _ in range(2)]
    with Stepped(tmp_path, *servers, settings=settings) as stepped, stepped.connect() as sock:
        planner = stepped.daemon.upstream.planner
        sock.sendall(submit_request())
        stepped.turn_until(lambda: planner.opened == 2, "the second connect")
        assert sum(len(server.requests) for server in servers) == 1
        time.sleep(0.35)  # the window ends without an iteration of the loop
        assert stepped.hear(sock)[0] in (502, 503)
        assert sum(len(server.requests) for server in servers) == 1


def test_response_received_in_time_but_unread_at_the_timeout_counts(tmp_path):
    # otherwise a busy loop gives up an attempt, or retries one that may have run
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped, stepped.connect() as sock:
        sock.sendall(read_request())
        stepped.turn_until(lambda: stepped.daemon.upstream.written_attempts, "the attempt")
        (attempt,) = next(iter(stepped.daemon.transactions.open.values())).attempts
        link = attempt.link
        until(lambda: readable(link.sock), "the answer")
        link.deadline_reached()
        assert stepped.hear(sock)[::2] == (200, b"board") and len(server.requests) == 1


# event loop


def test_events_of_a_closed_socket_do_not_reach_a_new_one_with_its_descriptor():
    # a connect would seem complete, or a client gone, because of another socket's events
    loop, got = EventLoop(Deadlines()), []
    ours, theirs = zip(*(socket.socketpair() for _ in range(3)), strict=True)

    def first():
        yield READ
        fd = second_task.fd
        second_task.stop()
        again = socket.socket(fileno=os.dup2(ours[2].fileno(), fd))
        loop.spawn(third(), again)
        yield READ

    def second():
        yield READ

    def third():
        while True:
            got.append((yield READ))

    loop.spawn(first(), ours[0])
    second_task = loop.spawn(second(), ours[1])
    theirs[0].send(b"x")
    theirs[1].send(b"x")
    loop.run_once()
    assert not got
    theirs[2].send(b"x")
    loop.run_once()
    assert got == [READ]


# restart


@pytest.mark.parametrize("moment", ["starting", "listening", "accepted", "half a request", "asked"])
def test_process_killed_at_any_moment_restarts_and_serves(tmp_path, moment):
    # the start must not depend on what its predecessor left: address, server list, clients
    port, server = free_port(), TurnServer()
    first = Program(tmp_path, server, port=port)
    with contextlib.ExitStack() as stack:
        if moment != "starting":
            until(first.ready, "readiness")
        if moment not in ("starting", "listening"):
            sock = stack.enter_context(first.connect())
            sock.sendall({"half a request": read_request()[:40], "asked": read_request()}.get(moment, b""))
        first.process.kill()
        first.process.wait()
        first.agent.close()
        began = time.monotonic()
        with Program(tmp_path, server, port=port) as again:
            assert time.monotonic() - began < 10
            assert again.ask(read_request(2))[::2] == (200, b"board")


# discovery


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def heard(data, cuts, make=Discovery):
    """Versions of the lists that a watch reports, fed in chunks until it breaks."""
    machine, got = make("a:1", 1), []
    machine.start()
    pieces = [data[a:b] for a, b in itertools.pairwise([0, *sorted(cuts), len(data)])]
    for piece in filter(None, [*pieces, b"\0"]):
        try:
            got += machine.receive(piece)[0]
        except DiscoveryError as error:
            return got + list(error.listings)
    return got


ENDS = [b"0\r\n\r\n", b"5\r\n{bad\n\r\n", b"nonsense\r\n", b"5\r\n[1]\n\n\r\n", b"-1\r\n"]


def watch_bytes(lines, end):
    """The bytes of a watch with so many changes and this end, regular or corrupt."""
    texts = [json.dumps({"seq": n, "whole": False, "hosts": []}).encode() + b"\n" for n in range(lines)]
    return HEAD + b"".join(chunk(text) for text in texts) + end


@given(st.integers(0, 4), st.sampled_from(ENDS), st.lists(st.integers(0, 300), max_size=6))
def test_whatever_way_a_watch_ends_and_is_cut_what_came_before_counts_once(lines, end, cuts):
    data = watch_bytes(lines, end)
    assert [listing.seq for listing in heard(data, [cut for cut in cuts if cut < len(data)])] == [
        *range(lines)
    ]


def test_discarding_lists_at_the_end_of_a_watch_is_detected():
    class Forgetful(Discovery):
        def receive(self, data):
            try:
                return super().receive(data)
            except DiscoveryError as error:
                raise DiscoveryError(str(error)) from error

    assert all(heard(watch_bytes(2, end), [], Forgetful) == [] for end in ENDS)


class ScriptedAgent(Listener):
    """An agent whose watches are scripted by the test; calls for the full list get a regular response."""

    def __init__(self, hosts, watch):
        self.hosts, self.script, self.seq = hosts, watch, 1
        self.calls, self.down = [], False
        super().__init__()

    def listing(self, whole, hosts):
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()

    def serve(self, sock):
        file = sock.makefile("rb")
        while message := read_message(file):
            if self.down:
                return
            self.calls.append(message[0])
            if "watch=1" in message[0]:
                self.script(self, sock)
            else:
                sock.sendall(response(200, self.listing(True, self.hosts)))


@pytest.mark.parametrize("end", [b"0\r\n\r\n", chunk(b"{spoilt\n"), b"nonsense\r\n"])
def test_change_received_together_with_the_end_of_its_watch_is_applied(tmp_path, end):
    # it must not be discarded, as discovery may be down at the next call
    servers = TurnServer(), TurnServer()
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]

    def watch(agent, sock):
        agent.down, agent.seq = True, 2
        change = agent.listing(False, [host("s0", servers[0], "draining")])
        sock.sendall(HEAD + chunk(change + b"\n") + end)

    with Stepped(tmp_path, *servers, agent=ScriptedAgent(hosts, watch)) as stepped:
        stepped.turn_until(lambda: stepped.daemon.discovery_agent.failures, "the end of the watch")
        assert {stepped.ask(read_request(n))[0] for n in range(8)} == {200}
        assert not servers[0].requests and len(servers[1].requests) == 8


@pytest.mark.parametrize("word", [b"", b" ", b"{"])
def test_watch_without_complete_lines_times_out_as_silent(tmp_path, word, monkeypatch):
    # partial lines must not extend the timeout for ever, and the next call must not be another silent watch
    monkeypatch.setattr(agent_driver, "SILENCE", 300.0)
    servers = TurnServer(), TurnServer()
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
    stopped = threading.Event()

    def watch(agent, sock):
        sock.sendall(HEAD)
        agent.seq, agent.hosts = 2, [host("s0", servers[0], "draining"), hosts[1]]
        while not stopped.wait(0.02):
            sock.sendall(chunk(word) if word else b"")

    agent = ScriptedAgent(hosts, watch)
    with Stepped(tmp_path, *servers, agent=agent) as stepped:
        began = time.monotonic()
        stepped.turn_until(lambda: stepped.daemon.pool.members["s0"].left_at, "the drain")
        assert time.monotonic() - began < 2
        assert {stepped.ask(read_request(n))[0] for n in range(4)} == {200}
        assert not servers[0].requests
        stopped.set()


def test_watch_follows_a_list_after_which_the_agent_closed(tmp_path):
    # the full list was requested again and again, though the connection had ended regularly after it
    class Closing(ScriptedAgent):
        def serve(self, sock):
            message = read_message(sock.makefile("rb"))
            self.calls.append(message[0])
            if "watch=1" in message[0]:
                return self.script(self, sock)
            sock.sendall(response(200, self.listing(True, self.hosts), "Connection: close"))
            return sock.shutdown(socket.SHUT_WR)

    server, stopped = TurnServer(), threading.Event()
    agent = Closing([host("s0", server)], lambda agent, sock: (sock.sendall(HEAD), stopped.wait(20)))
    with Stepped(tmp_path, server, agent=agent, known=False) as stepped:
        stepped.turn_until(lambda: len(agent.calls) == 2, "the watch")
        stepped.turns(300)
        assert ["from=1 " in call for call in agent.calls] == [False, True]
        stopped.set()


def test_discovery_response_received_in_time_but_unread_at_the_timeout_counts(tmp_path, monkeypatch):
    # a busy loop abandoned call after call although the response had been received
    servers = (TurnServer(),)
    agent = DiscoveryAgent([host("s0", servers[0])])
    with Stepped(tmp_path, *servers, agent=agent, known=False) as stepped, stepped.connect() as sock:
        driver = stepped.daemon.discovery_agent
        until(lambda: readable(driver.task.sock), "the list")
        sock.sendall(read_request(target="/nowhere"))
        monkeypatch.setattr(runtime, "MAX_EVENTS_PER_ITERATION", 1)
        driver.silent()
        stepped.turn_until(lambda: stepped.daemon.pool.members or driver.failures, "the list")
        assert not driver.failures


def readable(sock):
    return select.select([sock], [], [], 0)[0]
