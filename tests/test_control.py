"""Control address: its HTTP parser, the lifecycle, and the whole program when called there."""

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
from brackenusher.fronts.control.driver import MAX_CONNECTIONS
from brackenusher.fronts.control.machine import ControlProtocol


def send_in_chunks(data, size):
    """Feed a request in chunks; returns the status, the number of calls carried out, and whether it ended."""
    done = []
    call = ControlProtocol({b"/-/do": (b"POST", lambda: done.append(1) or (200, b"done\n"))})
    for start in range(0, len(data), size):
        call.receive(data[start : start + size])
    return call.out.split(b"\r\n")[0].partition(b" ")[2][:3], len(done), call.input_ended


HEAD = b"POST /-/do HTTP/1.1\r\nHost: x\r\n"
CALLS = [
    (HEAD + b"\r\n", (b"200", 1, False)),
    (HEAD + b"Content-Length: 4\r\n\r\nGET ", (b"200", 1, False)),
    (HEAD + b"\r\n" + HEAD + b"\r\n", (b"200", 1, False)),  # one call per connection
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
def test_call_does_not_depend_on_its_segmentation(data, expected, size):
    # guards against a call parsed from a body, or carried out before it is complete
    assert send_in_chunks(data, size) == expected


def test_lifecycle_follows_its_table():
    # guards against a repeated request that restarts a drain, and against resuming during shutdown
    lifecycle = Lifecycle()
    assert not lifecycle.ready and lifecycle.drain(0.0) and lifecycle.stage is Stage.DRAINING
    lifecycle.resume()
    assert lifecycle.ready and lifecycle.drain(1000.0) and lifecycle.drain(2000.0)
    assert not lifecycle.closes_after_answer(1000.0 + MAX_ACCEPT_MS - 1) and lifecycle.closes_after_answer(
        1000.0 + MAX_ACCEPT_MS
    )
    assert not lifecycle.closes_idle(1000.0 + IDLE_CLOSE_DELAY_MS - 1) and lifecycle.closes_idle(
        1000.0 + IDLE_CLOSE_DELAY_MS
    )
    assert lifecycle.update(1000.0 + IDLE_CLOSE_DELAY_MS, 1) is Stage.DRAINING
    assert lifecycle.update(1000.0 + DRAIN_SETTLED_MS, 1) is Stage.DRAINED
    lifecycle.begin_shutdown()
    assert not lifecycle.drain(9000.0) and not lifecycle.resume() and lifecycle.stage is Stage.SHUTTING_DOWN


def test_invalid_control_address_fails_the_start_with_one_line(tmp_path):
    done = command("serve", GW_CONFIG=write_config(tmp_path, control="here"))
    assert done.returncode == 2 and "control" in done.stderr and done.stderr.count("\n") == 1
    done = command("check-config", GW_CONFIG=write_config(tmp_path), GW_CONTROL="here:x")
    assert done.returncode == 2 and "control" in done.stderr


def test_metrics_count_each_request_once_by_its_outcome(tmp_path):
    # guards against metrics without requests in flight, refused requests, or classes without requests
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


def test_stalled_callers_do_not_block_the_control_address(tmp_path):
    # guards against incomplete calls that use up the capacity for complete ones
    with Program(tmp_path, TurnServer(), control=True) as program, contextlib.ExitStack() as stack:
        callers = []
        for _ in range(3 * MAX_CONNECTIONS):
            callers.append(stack.enter_context(socket.create_connection(("127.0.0.1", program.control))))
            callers[-1].sendall(b"GET /-/re")
        with contextlib.suppress(ConnectionResetError):
            assert callers[0].recv(100) == b""  # the oldest connection was evicted
        assert program.call("GET", "/-/ready")[0] == 200
        assert program.call("DELETE", "/-/ready")[0] == 405


def test_drain_closes_every_connection_and_resume_restores_service(tmp_path):
    # guards against a drain that aborts a request, leaves a connection open, or cannot be undone
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


def test_list_change_during_a_drain_takes_effect_after_it(tmp_path):
    # guards against a drained process that ignores discovery and then sends to servers that are gone
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


def test_shutdown_overrides_a_drain_and_refuses_resume(tmp_path):
    # guards against a resume that directs clients to a process that is shutting down
    with Program(tmp_path, TurnServer(), control=True) as program:
        with program.connect() as sock:
            program.ask(read_request(1), sock)
            program.call("POST", "/-/drain")
            program.process.send_signal(signal.SIGTERM)
            until(lambda: "stopping" in program.log, "the end's beginning")
            assert program.call("POST", "/-/resume")[0] == program.call("POST", "/-/drain")[0] == 409
        assert program.process.wait(timeout=10) == 0
