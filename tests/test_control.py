"""The second address: the machine, the stages, and the real program that is called there."""

import contextlib
import json
import signal
import socket
import time

import pytest
from helpers import (
    DeafServer,
    DiscoveryAgent,
    Program,
    TurnServer,
    command,
    host,
    read_request,
    submit_request,
    until,
    write_config,
)

from barleybarrow.graceful_shutdown import MAX_ACCEPT_MS
from barleybarrow.lifecycle import DRAIN_SETTLED_MS, IDLE_CLOSE_DELAY_MS, Lifecycle, Stage
from brackenusher.fronts.control.driver import MOST_CALLERS
from brackenusher.fronts.control.machine import Call


def converse(data, size):
    """Feed a conversation in pieces; returns the answer's first line and what was called for."""
    done = []
    call = Call({b"/-/do": (b"POST", lambda: done.append(1) or (200, b"done\n"))})
    for at in range(0, len(data), size):
        call.receive(data[at : at + size])
    return call.out.split(b"\r\n")[0].partition(b" ")[2][:3], len(done), call.ended


HEAD = b"POST /-/do HTTP/1.1\r\nHost: x\r\n"
CALLS = [
    (HEAD + b"\r\n", (b"200", 1, False)),
    (HEAD + b"Content-Length: 4\r\n\r\nGET ", (b"200", 1, False)),
    (HEAD + b"\r\n" + HEAD + b"\r\n", (b"200", 1, False)),  # one call to a connection
    (HEAD + b"Content-Length: 1073741824\r\n\r\nxx", (b"413", 0, False)),
    (HEAD + b"Content-Length: 8\r\n\r\nhalf", (b"", 0, False)),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\n\r\n", (b"200", 1, False)),
    (b"GET /-/do HTTP/1.1\r\nHost: x\r\n\r\n", (b"405", 0, False)),
    (b"GET /-/nothing HTTP/1.1\r\nHost: x\r\n\r\n", (b"404", 0, False)),
    (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 20000 + b"\r\n\r\n", (b"431", 0, False)),
    (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", (b"505", 0, False)),
    (b"GET \x00 HTTP/1.1\r\n\r\n", (b"400", 0, False)),
]


@pytest.mark.parametrize(("data", "expected"), CALLS)
@pytest.mark.parametrize("size", [1, 7, 1 << 20])
def test_a_call_comes_to_the_same_however_it_is_cut(data, expected, size):
    # guards against a call read from a body, or carried out before it is whole
    assert converse(data, size) == expected


def test_the_stages_follow_their_table():
    # guards against a drain that begins anew when it is asked for twice, and a way back from the end
    life = Lifecycle()
    assert not life.ready and life.drain(0.0) and life.stage is Stage.DRAINING
    life.resume()
    assert life.ready and life.drain(1000.0) and life.drain(2000.0)
    assert not life.answers_end(1000.0 + MAX_ACCEPT_MS - 1) and life.answers_end(1000.0 + MAX_ACCEPT_MS)
    assert not life.idle_end(1000.0 + IDLE_CLOSE_DELAY_MS - 1) and life.idle_end(1000.0 + IDLE_CLOSE_DELAY_MS)
    assert life.step(1000.0 + IDLE_CLOSE_DELAY_MS, 1) is Stage.DRAINING
    assert life.step(1000.0 + DRAIN_SETTLED_MS, 1) is Stage.DRAINED
    life.end()
    assert not life.drain(9000.0) and not life.resume() and life.stage is Stage.SHUTTING_DOWN


def test_a_bad_second_address_ends_the_start_with_one_line(tmp_path):
    done = command("serve", GW_CONFIG=write_config(tmp_path, control="here"))
    assert done.returncode == 2 and "control" in done.stderr and done.stderr.count("\n") == 1
    done = command("check-config", GW_CONFIG=write_config(tmp_path), GW_CONTROL="here:x")
    assert done.returncode == 2 and "control" in done.stderr


def test_the_figures_count_each_request_once_by_what_its_client_was_given(tmp_path):
    # guards against figures that leave out what is in hand, what is refused, or classes not asked for yet
    with Program(tmp_path, TurnServer(), DeafServer(), control=True) as program:
        none = {"success": 0, "busy": 0, "failure": 0}
        first = program.figures()
        assert first["calls"] == {"board-read": none, "turn-submit": none}
        assert (first["inflight"], first["hosts_listed"]) == (0, 2)
        for number in range(20):
            program.ask(read_request(number))
        with program.connect() as leaves:
            leaves.sendall(read_request(99, span="1000m"))
            time.sleep(0.05)
        program.ask(submit_request(100))
        until(lambda: program.figures()["inflight"] == 0, "the end of all")
        figures = program.figures()
        ends = sum(sum(kinds.values()) for kinds in figures["calls"].values())
        assert ends + figures["abandoned"] == 22 and figures["calls"]["turn-submit"] != none
        assert figures["backend_calls"] >= figures["calls"]["board-read"]["success"]


def test_it_answers_beside_callers_that_hold_on(tmp_path):
    # guards against callers without a whole call who take the place of those that have one
    with Program(tmp_path, TurnServer(), control=True) as program, contextlib.ExitStack() as stack:
        callers = []
        for _ in range(3 * MOST_CALLERS):
            callers.append(stack.enter_context(socket.create_connection(("127.0.0.1", program.control))))
            callers[-1].sendall(b"GET /-/re")
        with contextlib.suppress(ConnectionResetError):
            assert callers[0].recv(100) == b""  # the one that came first gave way
        assert program.call("GET", "/-/ready")[0] == 200
        assert program.call("DELETE", "/-/ready")[0] == 405


def test_a_drain_ends_every_connection_and_resume_serves_as_before(tmp_path):
    # guards against a drain that cuts a request off, leaves a connection standing, or has no way back
    with Program(tmp_path, TurnServer(), control=True) as program:
        kept, idle = program.connect(), program.connect()
        assert program.ask(read_request(1), kept)[0] == program.ask(read_request(2), idle)[0] == 200
        half = program.connect()
        half.sendall(read_request(3)[:40])
        assert program.call("POST", "/-/drain")[0] == program.call("POST", "/-/drain")[0] == 200
        assert program.call("GET", "/-/ready")[0] == 503
        assert program.ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")[0] == 503
        status, headers, _ = program.ask(read_request(4), kept)
        assert status == 200 and "connection" not in headers
        time.sleep(MAX_ACCEPT_MS / 1000.0 + 0.1)
        half.sendall(read_request(3)[40:])
        assert half.recv(65536).startswith(b"HTTP/1.1 200")
        status, headers, _ = program.ask(read_request(5), kept)
        assert (status, headers.get("connection")) == (200, "close")
        idle.settimeout(3.0)
        assert idle.recv(10) == b""
        assert program.call("POST", "/-/resume")[0] == 200
        until(program.ready, "readiness")
        with program.connect() as sock:
            for number in (6, 7):
                status, headers, _ = program.ask(read_request(number), sock)
                assert status == 200 and "connection" not in headers
        assert json.loads(program.call("GET", "/-/metrics")[2])["calls"]["board-read"]["success"] == 7


def test_a_list_that_changes_during_a_drain_counts_when_it_ends(tmp_path):
    # guards against a drained process that hears nothing more, and sends to whom it had known
    servers = TurnServer(), TurnServer()
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
    with Program(tmp_path, *servers, agent=DiscoveryAgent(hosts[:1]), control=True) as program:
        assert program.ask(read_request(1))[0] == 200
        program.call("POST", "/-/drain")
        program.agent.tell([{**hosts[0], "health": "gone"}, hosts[1]])
        until(lambda: program.call("GET", "/-/ready")[2] == b"drained\n", "the drain's end")
        assert program.figures()["hosts_listed"] == 1
        program.call("POST", "/-/resume")
        assert [program.ask(read_request(number))[0] for number in (2, 3)] == [200, 200]
        assert (len(servers[0].requests), len(servers[1].requests)) == (1, 2)


def test_the_end_goes_over_a_drain_and_leaves_no_way_back(tmp_path):
    # guards against a resume that sends clients to a process about to end
    with Program(tmp_path, TurnServer(), control=True) as program:
        with program.connect() as sock:
            program.ask(read_request(1), sock)
            program.call("POST", "/-/drain")
            program.process.send_signal(signal.SIGTERM)
            until(lambda: "stopping" in program.log, "the end's beginning")
            assert program.call("POST", "/-/resume")[0] == program.call("POST", "/-/drain")[0] == 409
        assert program.process.wait(timeout=10) == 0
