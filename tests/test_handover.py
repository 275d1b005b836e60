"""Handover: packet encoding, descriptor split, warm state, and upgrades of running processes."""

import contextlib
import os
import random
import signal
import socket
import threading
import time

import pytest
from helpers import (
    LONG_DEADLINES,
    DiscoveryAgent,
    Program,
    Proxy,
    TurnServer,
    host,
    read_request,
    submit_request,
    until,
)
from hypothesis import given
from hypothesis import strategies as st

from barleybarrow import warm_state
from barleybarrow.descriptor_split import split_descriptors
from brackenusher.handover import messages
from brackenusher.handover.old import socket_path


@given(st.integers(2, 2000), st.integers(0, 2000), st.booleans())
def test_two_processes_never_have_more_than_one(total, held, stopping):
    # guards against two processes that together hold more descriptors than the proxy may
    old, new = split_descriptors(total, held, stopping)
    assert old + new == total and old >= min(held, total) and new >= 0
    assert stopping or old >= total // 2


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"nonsense",
        b"[1]",
        b'[2,"hello",null]',
        b'[1,"nothing",null]',
        b"{}",
        b"\xff\x00",
        b"[1,[],null]",
    ],
)
def test_malformed_packet_is_rejected(data):
    with pytest.raises(messages.HandoverMessageError):
        messages.decode(data)


def test_packets_round_trip_and_lists_are_split():
    assert messages.decode(messages.encode(messages.PacketKind.DESCRIPTOR_USAGE, {"clients": 3})) == (
        messages.PacketKind.DESCRIPTOR_USAGE,
        {"clients": 3},
    )
    packets = list(
        messages.encode_list(messages.PacketKind.SERVER_LIST, [{"host": f"s{n}"} for n in range(150)])
    )
    assert [len(messages.decode(packet)[1]) for packet in packets] == [64, 64, 22]


def test_new_process_keeps_the_warm_state_of_the_old_one():
    # guards against a new process without warm state: it must rank the backends as the old one does
    old, new = Proxy(kinds=["plain"]), Proxy(seed=2, kinds=["plain"])
    old.warm_up(60, {"a": 90.0, "c": 12.0})
    new.now = old.now
    restored = warm_state.import_entries(new.brain, warm_state.export_entries(old.brain), new.now)
    assert restored == len(warm_state.export_entries(old.brain))
    assert [b.name for _, _, b in new.brain.idle.orders[0]] == [
        b.name for _, _, b in old.brain.idle.orders[0]
    ]
    assert new.backend(new.arrive()) == "c"
    assert new.brain.pool.limit_sum == pytest.approx(sum(b.limit for b in new.brain.live))


def test_unusable_warm_state_entries_are_skipped():
    # guards against one bad entry that spoils the others or leaves the balancer partly updated
    old, new = Proxy(kinds=["plain"]), Proxy(backends=("a", "b"), kinds=["plain"])
    old.warm_up()
    entries = warm_state.export_entries(old.brain)
    backend = next(e for e in entries if e["of"] == "backend" and e["backend"] == "a")
    bad = [{**backend, "mean": float("nan")}, {**backend, "lost": [0.5]}, {"of": "all"}, {}, {"of": "moon"}]
    before = new.brain.fleet.mean
    assert warm_state.import_entries(new.brain, bad, new.now) == 0
    assert new.brain.fleet.mean == before
    # one backend is unknown to the new process
    assert warm_state.import_entries(new.brain, entries, new.now) == len(entries) - 1


def test_no_socket_path_without_a_usable_tmpdir():
    assert socket_path("n0", {}) is None and socket_path("n0", {"TMPDIR": "/" + "x" * 120}) is None
    assert socket_path("n/0 é", {"TMPDIR": "/tmp/x"}).name == "handover-n-0-é"


class RequestLoad:
    """Client threads, half with a persistent connection, half with a new connection per request."""

    def __init__(self, program, clients=4):
        self.program, self.running, self.errors, self.statuses = program, True, [], []
        self.number = 0
        self.threads = [
            threading.Thread(target=self.run_client, args=(n % 2 == 0, n)) for n in range(clients)
        ]
        for thread in self.threads:
            thread.start()

    def run_client(self, persistent, index):
        sock, number = None, 0
        while self.running:
            number += 1
            try:
                sock = sock or self.program.connect()
                status, headers, _ = self.program.ask(submit_request(index * 100000 + number), sock)
                self.statuses.append(status)
                if not persistent or headers.get("connection") == "close":
                    sock = sock.close()
            except Exception as error:
                self.errors.append(repr(error))
                sock = None
            time.sleep(random.Random(number).random() * 0.01)
        if sock:
            sock.close()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


@contextlib.contextmanager
def running_process(tmp_path, *servers, **options):
    """Start an old process; yields it and a function that starts a successor."""
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
    agent = DiscoveryAgent(hosts)
    with (
        contextlib.ExitStack() as stack,
        Program(tmp_path, *servers, agent=agent, control=True, **options) as old,
    ):

        def start_successor(name="new", **more):
            folder = tmp_path / name
            folder.mkdir()
            more = {"tmpdir": tmp_path} | options | more
            program = Program(folder, *servers, agent=agent, control=True, port=old.port, **more)
            stack.callback(program.process.wait)
            stack.callback(program.process.kill)
            until(lambda: is_ready(program), "the new process to be ready")
            return program

        yield old, start_successor


def is_ready(program):
    assert program.process.poll() is None, program.log
    with contextlib.suppress(OSError):
        return program.call("GET", "/-/ready")[0] == 200
    return False


def stop_process(program):
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(timeout=10) == 0


def test_two_successive_upgrades_lose_no_request(tmp_path):
    # guards against a closed accept queue, a reset persistent connection and a handover socket that
    # the successor does not take over
    with running_process(tmp_path, TurnServer(), TurnServer()) as (old, start_successor):
        load = RequestLoad(old)
        try:
            time.sleep(0.3)
            second = start_successor("second")
            stop_process(old)
            time.sleep(0.2)
            third = start_successor("third")
            stop_process(second)
            time.sleep(0.2)
        finally:
            load.stop()
        assert load.errors == [] and set(load.statuses) == {200} and len(load.statuses) > 50
        for program in (second, third):
            assert "handover: 2 hosts" in program.log and "the old process has ended" in program.log
        keys = [headers["idempotency-key"] for s in old.servers for _, headers, _ in s.requests]
        assert len(keys) == len(set(keys))  # no turn was submitted twice
        assert third.figures()["calls"]["turn-submit"]["failure"] == 0


def test_partial_and_in_flight_requests_survive_the_old_process(tmp_path):
    # guards against a request that is aborted by the shutdown, or lost with its connection
    hold = threading.Event()

    def behave(server, message):
        if "slow" in message[0]:
            hold.wait(9)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nboard"

    with running_process(tmp_path, TurnServer(behave), settings=LONG_DEADLINES) as (
        old,
        start_successor,
    ):
        busy, idle, half = old.connect(), old.connect(), old.connect()
        for sock in (busy, idle):
            assert old.ask(read_request(1), sock)[0] == 200
        half.sendall(read_request(3)[:30])
        busy.sendall(read_request(2, "/board-read?k=slow", span="9000m"))
        until(lambda: len(old.servers[0].requests) == 3, "the slow request")
        new = start_successor()
        old.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in old.log, "the start of the shutdown")
        assert new.ask(read_request(4), idle)[0] == 200  # on a connection that the old process accepted
        assert new.figures()["calls"]["board-read"]["success"] == 1
        half.sendall(read_request(3)[30:])
        assert half.recv(1000).startswith(b"HTTP/1.1 200")
        hold.set()
        assert busy.recv(1000).startswith(b"HTTP/1.1 200")
        assert old.process.wait(timeout=10) == 0
        for number, sock in enumerate((busy, idle, half), 10):
            assert new.ask(read_request(number), sock)[0] == 200


@pytest.mark.parametrize("stopping", [False, True])
def test_old_process_serves_after_the_new_one_is_killed(tmp_path, stopping):
    # guards against a listening socket on which no process accepts connections
    with running_process(tmp_path, TurnServer()) as (old, start_successor):
        busy = old.connect()
        busy.sendall(read_request(1)[:30])  # keeps the old process from exiting
        new = start_successor()
        if stopping:
            old.process.send_signal(signal.SIGTERM)
            until(lambda: "stopping" in old.log, "the start of the shutdown")
        new.process.kill()
        until(
            lambda: "successor_gone" in old.log or "is gone from the handover" in old.log,
            "the log entry of the lost successor",
        )
        assert old.ask(read_request(2))[0] == 200
        if not stopping:
            again = start_successor("again")
            assert "handover: 1 hosts" in again.log
            stop_process(old)
            assert again.ask(read_request(3))[0] == 200


def test_second_upgrade_while_the_first_old_process_shuts_down(tmp_path):
    # guards against client connections lost in a process that itself stops before it has passed them on
    hold = threading.Event()

    def behave(server, message):
        if "slow" in message[0]:
            hold.wait(9)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nboard"

    with running_process(tmp_path, TurnServer(behave), settings=LONG_DEADLINES) as (
        first,
        start_successor,
    ):
        kept, slow = first.connect(), first.connect()
        assert first.ask(read_request(1), kept)[0] == 200
        slow.sendall(read_request(2, "/board-read?k=slow", span="9000m"))
        until(lambda: len(first.servers[0].requests) == 2, "the slow request")
        second = start_successor("second")
        first.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in first.log, "the start of the shutdown")
        third = start_successor("third")
        second.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in second.log, "the start of the shutdown")
        hold.set()
        assert slow.recv(1000).startswith(b"HTTP/1.1 200")
        assert first.process.wait(timeout=10) == second.process.wait(timeout=10) == 0
        for number, sock in enumerate((kept, slow), 10):
            assert third.ask(read_request(number), sock)[0] == 200


class FakePredecessor:
    """Listens at the handover path and sends one fixed answer, or none."""

    def __init__(self, path, answer):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.bind(str(path))
        self.sock.listen(4)
        self.answer, self.connections = answer, []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.sock.accept()
                self.connections.append(connection)
                if self.answer is not None:
                    connection.recv(65536)
                    connection.send(self.answer)


@pytest.mark.parametrize(
    "answer",
    [
        "stale",
        None,
        b"garbage",
        b'[2,"welcome",[]]',
        messages.encode(messages.PacketKind.STATE_COMPLETE, {}),
        messages.encode(messages.PacketKind.WELCOME, ["127.0.0.1:1"]),
    ],
)
def test_start_succeeds_whatever_listens_at_the_socket_path(tmp_path, answer):
    # guards against a failed handover that prevents the start
    path = socket_path("n0", {"TMPDIR": str(tmp_path)})
    if answer == "stale":
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.bind(str(path))
    else:
        predecessor = FakePredecessor(path, answer)
    with Program(tmp_path, TurnServer(), control=True) as program:
        assert program.ask(read_request(1))[0] == 200
        assert "an ordinary start" in program.log
        until(lambda: os.stat(path).st_mode & 0o777 == 0o600, "the process's own handover socket")
    if answer != "stale":
        predecessor.sock.close()


def test_both_processes_listen_without_a_handover_socket(tmp_path):
    # guards against a fallback that fails to start while the old process still listens
    far = "/" + "x" * 120
    with running_process(tmp_path, TurnServer(), tmpdir=far) as (old, start_successor):
        new = start_successor()
        assert "no handover to a new process" in new.log
        stop_process(old)
        assert new.ask(read_request(1))[0] == 200


@pytest.mark.parametrize("packets", [1, 2, 9])
def test_old_process_serves_after_the_new_one_exits_before_serving(tmp_path, packets):
    # guards against an old process that gives up its listening sockets to a process that never serves
    with running_process(tmp_path, TurnServer(), settings=LONG_DEADLINES) as (old, start_successor):
        path = socket_path("n0", {"TMPDIR": str(tmp_path)})
        until(path.exists, "the handover socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.connect(str(path))
            sock.send(messages.encode(messages.PacketKind.HELLO))
            for _ in range(packets):
                data, fds, _, _ = socket.recv_fds(sock, 65536, 16)
                for fd in fds:
                    os.close(fd)
                if messages.decode(data)[0] is messages.PacketKind.STATE_COMPLETE:
                    break
        until(lambda: "gone from the handover" in old.log, "the log entry of the lost successor")
        assert old.ask(read_request(1))[0] == 200
        new = start_successor()
        stop_process(old)
        assert new.ask(read_request(2))[0] == 200


def test_invalid_packets_leave_the_old_process_unchanged(tmp_path):
    # guards against an old process that fails on a malformed packet or a second connection
    with running_process(tmp_path, TurnServer()) as (old, start_successor):
        path = socket_path("n0", {"TMPDIR": str(tmp_path)})
        until(path.exists, "the handover socket")
        for packet in (b"nonsense", messages.encode(messages.PacketKind.SERVING), b'[9,"hello",null]'):
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.connect(str(path))
                sock.send(packet)
                assert sock.recv(1000) == b""
        assert old.ask(read_request(1))[0] == 200
        new = start_successor()
        stop_process(old)
        assert new.ask(read_request(2))[0] == 200
