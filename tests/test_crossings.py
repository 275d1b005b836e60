"""Narrow moments on real sockets: an event that comes between two others. Each is forced, not awaited."""

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
from brackenusher.runtime.loop import READ, Loop
from testbed.sockets.ports import free_port
from testbed.standins import read_message

UNSAFE = {**SETTINGS["classes"][1], "repeat": "single_shot"}
UNSAFE_SETTINGS = {"classes": [SETTINGS["classes"][0], UNSAFE]}


def unsafe_request(number=1, body=b"move", extra=""):
    """A request of a class that is unsafe to repeat: it has no key."""
    key = b"Idempotency-Key: key%d\r\n" % number
    return submit_request(number, body, extra).replace(key, b"")


def names(server):
    return [headers["req-id"] for _, headers, _ in server.requests]


# settings


def test_a_request_that_is_unsafe_to_repeat_needs_no_key_and_is_sent_once(tmp_path):
    # guards against asking a key of a class whose clients have none: nothing of it was ever served
    def fail(server, message):
        return response(500, b"no") if message[1]["req-id"] == "id2" else response(200, b"board")

    with Program(tmp_path, TurnServer(fail), settings=UNSAFE_SETTINGS) as program:
        assert program.ask(unsafe_request(1))[::2] == (200, b"board")
        assert program.ask(unsafe_request(2))[0] == 502
        assert program.ask(submit_request(3))[::2] == (200, b"board")
        requests = [headers for _, headers, _ in program.servers[0].requests]
        assert [each["req-id"] for each in requests] == ["id1", "id2", "id3"]
        assert ["idempotency-key" in each for each in requests] == [False, False, True]


# answers in pieces


class Ending(TurnServer):
    """Gives a long answer that does not say how long it is: its last byte and its end when it is told to."""

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


def test_a_long_answer_that_ends_while_the_client_takes_the_last_of_it_gets_its_end(tmp_path, monkeypatch):
    # guards against an answer without its last chunk: the client waits on, and is cut off as an idle one
    write, full = clients.write, []

    def take_nothing(sock, data):
        return data if full else write(sock, data)

    monkeypatch.setattr(clients, "write", take_nothing)
    server = Ending(os.urandom(100_000))
    with Stepped(tmp_path, server) as stepped, stepped.connect() as sock:
        sock.sendall(read_request())
        transactions = stepped.daemon.transactions
        stepped.turn_until(lambda: transactions.taken and not transactions.open, "the answer's begin")
        pipe = next(iter(stepped.daemon.http1.links)).answer.content.rest
        stepped.turn_until(lambda: pipe.came == 99_999 and not pipe.parts, "the first pieces")
        full.append(True)
        server.last.set()
        stepped.turn_until(lambda: pipe.came == 100_000 and not pipe.parts, "the last piece")
        server.end.set()
        stepped.turn_until(lambda: pipe.whole, "the end")
        full.clear()
        assert stepped.hear(sock)[::2] == (200, server.body)


@pytest.mark.parametrize("moment", ["hurry", "expired"])
def test_a_reset_in_the_moment_of_a_limit_is_no_end_and_leaves_no_pipe(tmp_path, moment):
    # guards against a part that is served as the whole, as a peek takes the reset from the read after it, and
    # against a budget that shrinks for good; the request goes elsewhere, as nobody had anything of it
    reset = threading.Event()

    def breaking(server, message):
        sock = server.connections[-1]
        sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nboa")
        reset.wait(20)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        raise ConnectionError  # with no orderly end before

    server, other = TurnServer(breaking), TurnServer()
    agent = DiscoveryAgent([host("s0", server)])
    with Stepped(tmp_path, server, agent=agent, known=False) as stepped, stepped.connect() as sock:
        stepped.turn_until(lambda: agent.watchers, "the watch")
        sock.sendall(read_request())
        stepped.turn_until(lambda: stepped.daemon.upstream.written, "the attempt")
        agent.tell([host("s1", other)])
        link = next(iter(stepped.daemon.transactions.open.values())).attempts[0].carriage
        stepped.turn_until(lambda: link.flow.begun and "s1" in stepped.daemon.pool.members, "its begin")
        poll = select.poll()
        poll.register(link.sock, select.POLLHUP)
        reset.set()
        until(lambda: poll.poll(0), "the reset")
        link.upstream.loop.deadlines.remove(link.stall)
        getattr(link, moment)()
        assert (link.flow.rest is not None) == (moment == "hurry")
        assert stepped.hear(sock)[::2] == (200, b"board")
        assert stepped.daemon.upstream.budget.pipes == 0
        other.close()


# clients that have left


class MembersFirst:
    """Has a turn take one event, those of members before those of clients: these queue up as under a load."""

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
def test_nothing_is_begun_for_a_client_that_left_while_the_connection_came_up(tmp_path, ahead):
    # guards against work for nobody: the member's news come first in the turn in which the client has gone
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped:
        sock = stepped.connect()
        sock.sendall(b"".join(read_request(n) for n in range(ahead + 1)))
        stepped.turn_until(lambda: stepped.daemon.upstream.planner.opened, "the connect")
        stepped.loop.epoll = MembersFirst(stepped.loop)
        sock.close()
        stepped.turn_until(lambda: not stepped.daemon.http1.links, "the end")
        assert stepped.ask(read_request("-other"))[0] == 200
        assert names(server) == ["id-other"]
        assert not stepped.daemon.transactions.open


def test_nothing_is_begun_for_a_client_that_left_while_it_waited_for_a_server(tmp_path):
    # guards against sending on what is held for one who has gone, when a server comes free in that moment
    release = threading.Event()

    def slow(server, message):
        if message[1]["req-id"] != "id-other":
            release.wait(20)
        return response(200, b"board")

    server = TurnServer(slow)
    with Stepped(tmp_path, server) as stepped, contextlib.ExitStack() as stack:
        daemon, socks = stepped.daemon, []
        while not (daemon.transactions.balancer.any_held or len(socks) > 10):  # until one has to wait
            socks.append(stack.enter_context(stepped.connect()))
            socks[-1].sendall(read_request(len(socks)))
            stepped.turn_until(lambda: daemon.transactions.taken == len(socks))
        held = f"id{len(socks)}"
        until(lambda: len(server.requests) == len(socks) - 1, "the others")
        stepped.loop.epoll = first = MembersFirst(stepped.loop)
        poll = select.poll()
        for fd in filter(first.of_member, stepped.loop.tasks):
            poll.register(fd, select.POLLIN)
        release.set()
        until(lambda: len(poll.poll(0)) == len(socks) - 1, "the answers")
        socks[-1].close()  # and behind them, in the same turn, the end of the one who waits
        stepped.turn_until(lambda: len(daemon.http1.links) == len(socks) - 1, "the end")
        assert stepped.ask(read_request("-other"))[0] == 200
        assert held not in names(server)


def test_what_was_sent_ahead_is_waited_for_no_longer_than_its_client_waits(tmp_path):
    # guards against a full span from the moment at which its turn comes: its client has counted all the time
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


class Crossed:
    """A client's socket: what the client sends is there just before the proxy shuts or closes it."""

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
def test_a_request_that_comes_as_its_connection_is_ended_meets_no_reset(tmp_path, how, monkeypatch):
    # guards against a close over what has just come: that is a reset, which takes an unread answer with it
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped, stepped.connect() as sock:
        sock.sendall(read_request(1))
        assert stepped.hear(sock)[0] == 200
        (link,) = stepped.daemon.http1.kept
        link.task.sock = Crossed(link.sock, sock, read_request(2))
        link.sock = link.task.sock
        if how == "limit":
            link.resting and link.time(0.0)
        elif how == "draining":
            stepped.daemon.http1.drain(idle=True)
        else:
            monkeypatch.setattr(stepped.daemon.http1, "most_kept", 0)
            link.stand(stepped.daemon.http1.kept)
        stepped.turn_until(lambda: link.sock.crossed, "the end")
        stepped.turns(50)
        assert sock.recv(1) == b""  # its end, and no reset
        assert names(server) == ["id1"]


# shutdown and reload


@pytest.mark.parametrize("event", ["stop", "stop twice", "reload", "bad file"])
@pytest.mark.parametrize("step", range(7))
def test_a_signal_between_any_two_steps_of_a_request_changes_nothing_for_it(tmp_path, step, event):
    # guards against a request that is read and not answered, or answered twice, as the end or a file comes
    first, second = threading.Event(), threading.Event()

    def failing(server, message):
        first.wait(20)
        return response(500, b"no")

    def serving(server, message):
        second.wait(20)
        return response(200, b"board")

    servers = TurnServer(failing), TurnServer(serving)
    agent = DiscoveryAgent([host("s0", servers[0])])  # the other comes while the first attempt is out
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
            lambda: stepped.turn_until(lambda: daemon.http1.links, "the connection"),
            lambda: (sock.sendall(data[:40]), stepped.turn_until(lambda: daemon.http1.partial, "the head")),
            lambda: (sock.sendall(data[40:-2]), stepped.turns(5)),
            lambda: (sock.sendall(data[-2:]), stepped.turn_until(lambda: servers[0].requests, "the attempt")),
            lambda: stepped.agent.tell([host("s1", servers[1])]),
            lambda: (first.set(), stepped.turn_until(lambda: servers[1].requests, "the repeat")),
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
        assert daemon.transactions.taken == 1 and not daemon.transactions.open
        sock.close()


def test_a_bad_file_at_a_reload_is_one_line_and_the_old_settings_stay(tmp_path, caplog):
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


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_begun(tmp_path):
    # guards against a move that runs twice: who dropped its repeats drops them no longer
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
        time.sleep(0.35)  # the window passes, and no turn is taken
        assert stepped.hear(sock)[0] in (502, 503)
        assert sum(len(server.requests) for server in servers) == 1


def test_an_answer_that_came_in_time_counts_though_nobody_had_read_it_at_the_limit(tmp_path):
    # guards against an attempt given up, and one that may have run sent again, for want of a turn
    server = TurnServer()
    with Stepped(tmp_path, server) as stepped, stepped.connect() as sock:
        sock.sendall(read_request())
        stepped.turn_until(lambda: stepped.daemon.upstream.written, "the attempt")
        (attempt,) = next(iter(stepped.daemon.transactions.open.values())).attempts
        link = attempt.carriage
        until(lambda: readable(link.sock), "the answer")
        link.expired()
        assert stepped.hear(sock)[::2] == (200, b"board") and len(server.requests) == 1


# the loop


def test_news_of_a_closed_connection_are_not_given_to_the_next_with_its_descriptor():
    # guards against a connect taken for done, or a client taken for gone, on what another one's peer did
    loop, got = Loop(Deadlines()), []
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
    loop.turn()
    assert not got
    theirs[2].send(b"x")
    loop.turn()
    assert got == [READ]


# the start


@pytest.mark.parametrize("moment", ["starting", "listening", "accepted", "half a request", "asked"])
def test_a_process_killed_at_any_moment_is_ready_again_soon_and_serves(tmp_path, moment):
    # guards against a start that hangs on what the one before left: its address, its list, its clients
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
    """Versions of the lists that a watch tells, fed in pieces until it breaks."""
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


def a_watch(lines, end):
    """The bytes of a watch that tells so many changes, and ends or is spoilt in some way."""
    texts = [json.dumps({"seq": n, "whole": False, "hosts": []}).encode() + b"\n" for n in range(lines)]
    return HEAD + b"".join(chunk(text) for text in texts) + end


@given(st.integers(0, 4), st.sampled_from(ENDS), st.lists(st.integers(0, 300), max_size=6))
def test_whatever_way_a_watch_ends_and_is_cut_what_came_before_counts_once(lines, end, cuts):
    data = a_watch(lines, end)
    assert [listing.seq for listing in heard(data, [cut for cut in cuts if cut < len(data)])] == [
        *range(lines)
    ]


def test_lists_thrown_away_at_the_end_of_a_watch_would_be_found():
    class Forgetful(Discovery):
        def receive(self, data):
            try:
                return super().receive(data)
            except DiscoveryError as error:
                raise DiscoveryError(str(error)) from error

    assert all(heard(a_watch(2, end), [], Forgetful) == [] for end in ENDS)


class Watched(Listener):
    """An agent whose watches do as a test says; a call for the whole list is answered as it should be."""

    def __init__(self, hosts, watch):
        self.hosts, self.watch, self.seq = hosts, watch, 1
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
                self.watch(self, sock)
            else:
                sock.sendall(response(200, self.listing(True, self.hosts)))


@pytest.mark.parametrize("end", [b"0\r\n\r\n", chunk(b"{spoilt\n"), b"nonsense\r\n"])
def test_a_change_that_comes_in_one_piece_with_the_end_of_its_watch_is_told(tmp_path, end):
    # guards against throwing away what was received: discovery may be down when it is asked for again
    servers = TurnServer(), TurnServer()
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]

    def watch(agent, sock):
        agent.down, agent.seq = True, 2
        change = agent.listing(False, [host("s0", servers[0], "draining")])
        sock.sendall(HEAD + chunk(change + b"\n") + end)

    with Stepped(tmp_path, *servers, agent=Watched(hosts, watch)) as stepped:
        stepped.turn_until(lambda: stepped.daemon.discovery_agent.failures, "the end of the watch")
        assert {stepped.ask(read_request(n))[0] for n in range(8)} == {200}
        assert not servers[0].requests and len(servers[1].requests) == 8


@pytest.mark.parametrize("word", [b"", b" ", b"{"])
def test_a_watch_that_ends_no_line_is_silent_whatever_bytes_come_of_it(tmp_path, word, monkeypatch):
    # guards against bytes that put the limit off for ever; and against another watch that is silent as well
    monkeypatch.setattr(agent_driver, "SILENCE", 300.0)
    servers = TurnServer(), TurnServer()
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
    stopped = threading.Event()

    def watch(agent, sock):
        sock.sendall(HEAD)
        agent.seq, agent.hosts = 2, [host("s0", servers[0], "draining"), hosts[1]]
        while not stopped.wait(0.02):
            sock.sendall(chunk(word) if word else b"")

    agent = Watched(hosts, watch)
    with Stepped(tmp_path, *servers, agent=agent) as stepped:
        began = time.monotonic()
        stepped.turn_until(lambda: stepped.daemon.pool.members["s0"].left_at, "the drain")
        assert time.monotonic() - began < 2
        assert {stepped.ask(read_request(n))[0] for n in range(4)} == {200}
        assert not servers[0].requests
        stopped.set()


def test_an_agent_that_closes_after_the_list_is_watched_all_the_same(tmp_path):
    # guards against the whole list again and again: a connection that ends in good order has told all it had
    class Closing(Watched):
        def serve(self, sock):
            message = read_message(sock.makefile("rb"))
            self.calls.append(message[0])
            if "watch=1" in message[0]:
                return self.watch(self, sock)
            sock.sendall(response(200, self.listing(True, self.hosts), "Connection: close"))
            return sock.shutdown(socket.SHUT_WR)

    server, stopped = TurnServer(), threading.Event()
    agent = Closing([host("s0", server)], lambda agent, sock: (sock.sendall(HEAD), stopped.wait(20)))
    with Stepped(tmp_path, server, agent=agent, known=False) as stepped:
        stepped.turn_until(lambda: len(agent.calls) == 2, "the watch")
        stepped.turns(300)
        assert ["from=1 " in call for call in agent.calls] == [False, True]
        stopped.set()


def test_a_word_that_came_in_time_counts_though_nobody_had_read_it_at_the_limit(tmp_path, monkeypatch):
    # guards against a call given up for want of a turn, again and again: the answer is there already
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
