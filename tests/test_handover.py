"""Replacing the process: what passes, who has which descriptors, and processes that follow each other."""

import contextlib
import os
import random
import signal
import socket
import threading
import time

import pytest
from helpers import (
    SETTINGS,
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
from brackenusher.handover.old import path_for


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
def test_a_packet_that_cannot_be_used_is_garbled(data):
    with pytest.raises(messages.HandoverMessageError):
        messages.read(data)


def test_a_packet_says_what_was_put_in():
    assert messages.read(messages.word(messages.Kind.HELD, {"clients": 3})) == (
        messages.Kind.HELD,
        {"clients": 3},
    )
    packets = list(messages.worded(messages.Kind.LIST, [{"host": f"s{n}"} for n in range(150)]))
    assert [len(messages.read(packet)[1]) for packet in packets] == [64, 64, 22]


def test_what_a_module_learned_goes_on_in_the_next():
    # guards against a new process that starts blind: it must prefer and avoid what the old one does
    old, new = Proxy(kinds=["plain"]), Proxy(seed=2, kinds=["plain"])
    old.warm_up(60, {"a": 90.0, "c": 12.0})
    new.now = old.now
    taken = warm_state.import_entries(new.brain, warm_state.export_entries(old.brain), new.now)
    assert taken == len(warm_state.export_entries(old.brain))
    assert [b.name for _, _, b in new.brain.idle.orders[0]] == [
        b.name for _, _, b in old.brain.idle.orders[0]
    ]
    assert new.backend(new.arrive()) == "c"
    assert new.brain.pool.limit_sum == pytest.approx(sum(b.limit for b in new.brain.live))


def test_what_cannot_be_taken_over_is_left_aside():
    # guards against one bad entry that spoils the rest, or a module that it leaves half set
    old, new = Proxy(kinds=["plain"]), Proxy(backends=("a", "b"), kinds=["plain"])
    old.warm_up()
    entries = warm_state.export_entries(old.brain)
    backend = next(e for e in entries if e["of"] == "backend" and e["backend"] == "a")
    bad = [{**backend, "mean": float("nan")}, {**backend, "lost": [0.5]}, {"of": "all"}, {}, {"of": "moon"}]
    before = new.brain.fleet.mean
    assert warm_state.import_entries(new.brain, bad, new.now) == 0
    assert new.brain.fleet.mean == before
    assert (
        warm_state.import_entries(new.brain, entries, new.now) == len(entries) - 1
    )  # the backend that is not listed here


def test_no_meeting_place_without_a_usable_folder():
    assert path_for("n0", {}) is None and path_for("n0", {"TMPDIR": "/" + "x" * 120}) is None
    assert path_for("n/0 é", {"TMPDIR": "/tmp/x"}).name == "handover-n-0-é"


class Load:
    """Clients that ask one after the other on kept connections, and on a new one each; what went wrong."""

    def __init__(self, program, clients=4):
        self.program, self.running, self.faults, self.answers = program, True, [], []
        self.number = 0
        self.threads = [threading.Thread(target=self.ask, args=(n % 2 == 0, n)) for n in range(clients)]
        for thread in self.threads:
            thread.start()

    def ask(self, keep, n):
        sock, count = None, 0
        while self.running:
            count += 1
            try:
                sock = sock or self.program.connect()
                status, headers, _ = self.program.ask(submit_request(n * 100000 + count), sock)
                self.answers.append(status)
                if not keep or headers.get("connection") == "close":
                    sock = sock.close()
            except Exception as error:
                self.faults.append(repr(error))
                sock = None
            time.sleep(random.Random(count).random() * 0.01)
        if sock:
            sock.close()

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


PATIENT = [
    {**c, "slo": 8000.0, "deadline": 9000.0} for c in SETTINGS["classes"]
]  # for what is held on purpose


@contextlib.contextmanager
def succession(tmp_path, *servers, **options):
    """An old process and what starts new ones in its place."""
    hosts = [host(f"s{n}", server) for n, server in enumerate(servers)]
    agent = DiscoveryAgent(hosts)
    with (
        contextlib.ExitStack() as stack,
        Program(tmp_path, *servers, agent=agent, control=True, **options) as old,
    ):

        def follow(name="new", **more):
            folder = tmp_path / name
            folder.mkdir()
            more = {"tmpdir": tmp_path} | options | more
            program = Program(folder, *servers, agent=agent, control=True, port=old.port, **more)
            stack.callback(program.process.wait)
            stack.callback(program.process.kill)
            until(lambda: says_yes(program), "the new process's yes")
            return program

        yield old, follow


def says_yes(program):
    assert program.process.poll() is None, program.log
    with contextlib.suppress(OSError):
        return program.call("GET", "/-/ready")[0] == 200
    return False


def end(program):
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(timeout=10) == 0


def test_two_upgrades_in_a_row_cost_no_request(tmp_path):
    # guards against a queue that is closed, a kept connection that is cut, and a name nobody takes over
    with succession(tmp_path, TurnServer(), TurnServer()) as (old, follow):
        load = Load(old)
        try:
            time.sleep(0.3)
            second = follow("second")
            end(old)
            time.sleep(0.2)
            third = follow("third")
            end(second)
            time.sleep(0.2)
        finally:
            load.stop()
        assert load.faults == [] and set(load.answers) == {200} and len(load.answers) > 50
        for program in (second, third):
            assert "handover: 2 hosts" in program.log and "the old process has ended" in program.log
        keys = [headers["idempotency-key"] for s in old.servers for _, headers, _ in s.requests]
        assert len(keys) == len(set(keys))  # no move was written twice
        assert third.figures()["calls"]["turn-submit"]["failure"] == 0


def test_unread_bytes_and_requests_in_hand_outlive_the_old_process(tmp_path):
    # guards against a request that is cut off by the end, or lost with the connection it stands on
    hold = threading.Event()

    def behave(server, message):
        if "slow" in message[0]:
            hold.wait(9)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nboard"

    with succession(tmp_path, TurnServer(behave), settings={"classes": PATIENT}) as (old, follow):
        busy, idle, half = old.connect(), old.connect(), old.connect()
        for sock in (busy, idle):
            assert old.ask(read_request(1), sock)[0] == 200
        half.sendall(read_request(3)[:30])
        busy.sendall(read_request(2, "/board-read?k=slow", span="9000m"))
        until(lambda: len(old.servers[0].requests) == 3, "the slow request")
        new = follow()
        old.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in old.log, "the end's beginning")
        assert new.ask(read_request(4), idle)[0] == 200  # on the connection that the old one accepted
        assert new.figures()["calls"]["board-read"]["success"] == 1
        half.sendall(read_request(3)[30:])
        assert half.recv(1000).startswith(b"HTTP/1.1 200")
        hold.set()
        assert busy.recv(1000).startswith(b"HTTP/1.1 200")
        assert old.process.wait(timeout=10) == 0
        for number, sock in enumerate((busy, idle, half), 10):
            assert new.ask(read_request(number), sock)[0] == 200


@pytest.mark.parametrize("told", [False, True])
def test_a_new_process_that_dies_leaves_the_old_one_serving(tmp_path, told):
    # guards against a door that stands open and nobody behind it
    with succession(tmp_path, TurnServer()) as (old, follow):
        busy = old.connect()
        busy.sendall(read_request(1)[:30])  # keeps the old process from ending
        new = follow()
        if told:
            old.process.send_signal(signal.SIGTERM)
            until(lambda: "stopping" in old.log, "the end's beginning")
        new.process.kill()
        until(lambda: "successor_gone" in old.log or "is gone from the handover" in old.log, "the word of it")
        assert old.ask(read_request(2))[0] == 200
        if not told:
            again = follow("again")
            assert "handover: 1 hosts" in again.log
            end(old)
            assert again.ask(read_request(3))[0] == 200


def test_a_second_upgrade_may_come_while_the_first_old_process_still_ends(tmp_path):
    # guards against connections that are lost on their way through a process that is itself to end
    hold = threading.Event()

    def behave(server, message):
        if "slow" in message[0]:
            hold.wait(9)
        return b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nboard"

    with succession(tmp_path, TurnServer(behave), settings={"classes": PATIENT}) as (first, follow):
        kept, slow = first.connect(), first.connect()
        assert first.ask(read_request(1), kept)[0] == 200
        slow.sendall(read_request(2, "/board-read?k=slow", span="9000m"))
        until(lambda: len(first.servers[0].requests) == 2, "the slow request")
        second = follow("second")
        first.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in first.log, "the end's beginning")
        third = follow("third")
        second.process.send_signal(signal.SIGTERM)
        until(lambda: "stopping" in second.log, "the end's beginning")
        hold.set()
        assert slow.recv(1000).startswith(b"HTTP/1.1 200")
        assert first.process.wait(timeout=10) == second.process.wait(timeout=10) == 0
        for number, sock in enumerate((kept, slow), 10):
            assert third.ask(read_request(number), sock)[0] == 200


class Odd:
    """Stands at the meeting place and speaks oddly."""

    def __init__(self, path, answer):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.bind(str(path))
        self.sock.listen(4)
        self.answer, self.kept = answer, []
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                link, _ = self.sock.accept()
                self.kept.append(link)
                if self.answer is not None:
                    link.recv(65536)
                    link.send(self.answer)


@pytest.mark.parametrize(
    "answer",
    [
        "stale",
        None,
        b"garbage",
        b'[2,"welcome",[]]',
        messages.word(messages.Kind.READY, {}),
        messages.word(messages.Kind.WELCOME, ["127.0.0.1:1"]),
    ],
)
def test_a_start_goes_on_whatever_stands_at_the_meeting_place(tmp_path, answer):
    # guards against a failed handover that stops a start
    path = path_for("n0", {"TMPDIR": str(tmp_path)})
    if answer == "stale":
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.bind(str(path))
    else:
        odd = Odd(path, answer)
    with Program(tmp_path, TurnServer(), control=True) as program:
        assert program.ask(read_request(1))[0] == 200
        assert "an ordinary start" in program.log
        until(lambda: os.stat(path).st_mode & 0o777 == 0o600, "a name that is its own")
    if answer != "stale":
        odd.sock.close()


def test_without_a_meeting_place_both_listen_at_the_address(tmp_path):
    # guards against a fallback that cannot start beside the old process
    far = "/" + "x" * 120
    with succession(tmp_path, TurnServer(), tmpdir=far) as (old, follow):
        new = follow()
        assert "no handover to a new process" in new.log
        end(old)
        assert new.ask(read_request(1))[0] == 200


@pytest.mark.parametrize("packets", [1, 2, 9])
def test_a_new_process_that_dies_before_it_serves_leaves_the_old_one_as_it_was(tmp_path, packets):
    # guards against an old process that gives its door away to one who never opened it
    with succession(tmp_path, TurnServer()) as (old, follow):
        path = path_for("n0", {"TMPDIR": str(tmp_path)})
        until(path.exists, "the meeting place")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            sock.connect(str(path))
            sock.send(messages.word(messages.Kind.HELLO))
            for _ in range(packets):
                data, fds, _, _ = socket.recv_fds(sock, 65536, 16)
                for fd in fds:
                    os.close(fd)
                if messages.read(data)[0] is messages.Kind.READY:
                    break
        until(lambda: "gone from the handover" in old.log, "the word of it")
        assert old.ask(read_request(1))[0] == 200
        new = follow()
        end(old)
        assert new.ask(read_request(2))[0] == 200


def test_a_stranger_at_the_socket_changes_nothing(tmp_path):
    # guards against a garbled word, or a second caller, that costs the old process something
    with succession(tmp_path, TurnServer()) as (old, follow):
        path = path_for("n0", {"TMPDIR": str(tmp_path)})
        until(path.exists, "the meeting place")
        for word in (b"nonsense", messages.word(messages.Kind.SERVES), b'[9,"hello",null]'):
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.connect(str(path))
                sock.send(word)
                assert sock.recv(1000) == b""
        assert old.ask(read_request(1))[0] == 200
        new = follow()
        end(old)
        assert new.ask(read_request(2))[0] == 200
