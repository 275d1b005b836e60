"""Graceful shutdown: its schedule on a simulated clock, and the whole program under load in real time."""

import re
import signal
import socket
import threading
import time
from collections import Counter

import pytest
from helpers import (
    SETTINGS,
    DiscoveryAgent,
    Program,
    TurnServer,
    host,
    read_message,
    read_request,
    response,
    submit_request,
    until,
    write_config,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from barleybarrow.graceful_shutdown import (
    ANSWER_COST_MS,
    MAX_ACCEPT_MS,
    MIN_ACCEPT_MS,
    GracefulShutdown,
    Phase,
)

SPAN = 400.0  # milliseconds, the longest deadline here: the kill comes 1,100 ms after SIGTERM
QUICK = {
    "classes": [{**c, "slo": 300.0, "deadline": SPAN, "window": 6000.0} for c in SETTINGS["classes"]],
    "limits": SETTINGS["limits"] | {"maxRetryAfter": 9000.0},
}
KILL = (SPAN + 700.0) / 1000.0


def test_kill_time_follows_the_longest_deadline_capped_at_three_seconds():
    assert GracefulShutdown(1000.0, 1900.0, 1.0, 50.0, True).kill_at == 3600.0
    assert GracefulShutdown(1000.0, 60_000.0, 1.0, 50.0, True).kill_at == 4700.0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    share=st.floats(0.3, 1.0),
    longest=st.floats(400.0, 60_000.0),
    first=st.floats(0.0, 1.0),
    last=st.floats(0.0, 1.0),
    gaps=st.lists(st.floats(0.0, 40.0), max_size=150),
)
def test_all_is_answered_before_the_kill_whatever_stalls_there_are_within_the_share(
    share, longest, first, last, gaps
):
    """Nobody answers; the word is noticed late, and the program stands still at the worst moment."""
    stall = 100.0 * (1.0 - share)
    sent_at = 1000.0
    plan = GracefulShutdown(sent_at + first * stall, longest, share, 50.0, True)
    kill = sent_at + min(longest, 3000.0) + 700.0
    now, open_until = plan.answered_by - 700.0, []
    for gap in gaps:
        now += gap
        open_until = [end for end in open_until if end > now]
        if span := plan.time_allowed(now, longest, len(open_until)):
            assert span == longest or span >= 50.0
            open_until.append(now + span)
    clock = 0.0
    for end in sorted(open_until):  # each is given up when its time is up, one after the other
        clock = max(clock, end) + ANSWER_COST_MS
    assert clock <= plan.answered_by + ANSWER_COST_MS
    assert clock + last * stall < kill


def test_observed_stall_advances_the_end_and_phases_never_go_back():
    plan = GracefulShutdown(0.0, 1900.0, 1.0, 50.0, True)
    assert (
        plan.time_allowed(2400.0, 800.0, 0) == plan.answered_by - 2400.0
        and plan.time_allowed(10.0, 800.0, 0) == 800.0
    )
    before = plan.answered_by
    assert plan.update(2300.0, 120.0, 9, False) is Phase.DRAINING
    assert plan.answered_by == before - 240.0 and plan.time_allowed(2300.0, 800.0, 0) == 0.0
    assert plan.update(2000.0, 0.0, 9, False) is Phase.DRAINING


def test_without_clients_it_ends_once_none_can_connect_and_listeners_are_closed():
    plan = GracefulShutdown(0.0, 1900.0, 1.0, 50.0, True)
    assert plan.update(MAX_ACCEPT_MS - 1, 0.0, 0, False) is Phase.SERVING
    assert plan.update(MAX_ACCEPT_MS, 0.0, 0, False) is Phase.CLOSING
    assert plan.update(MAX_ACCEPT_MS + 10, 0.0, 2, True) is Phase.CLOSING  # they were in the accept queue
    assert plan.update(MAX_ACCEPT_MS + 20, 0.0, 0, True) is Phase.ENDED


def test_stall_past_the_end_leaves_a_step_in_which_clients_are_answered():
    # guards against a process that ends after a stall though there was time left to answer what it had taken
    plan = GracefulShutdown(0.0, 400.0, 1.0, 50.0, True)
    assert plan.update(400.0, 0.0, 3, False) is Phase.SERVING
    assert plan.update(900.0, 300.0, 3, False) is Phase.CLOSING and 900.0 > plan.ends_by
    assert plan.update(910.0, 0.0, 3, False) is Phase.ENDED


def test_request_that_usually_takes_too_long_is_not_started():
    plan = GracefulShutdown(0.0, 1900.0, 1.0, 50.0, True)
    for _ in range(50):
        plan.record_duration(400.0)
    assert plan.time_allowed(plan.answered_by - 190.0, 800.0, 0) == 0.0
    assert plan.time_allowed(plan.answered_by - 210.0, 800.0, 0) == pytest.approx(210.0)


def test_connections_are_kept_free_only_late_and_with_enough_of_them():
    plan = GracefulShutdown(0.0, 1900.0, 1.0, 50.0, True)
    assert not plan.is_short_of_connections(MIN_ACCEPT_MS - 1, 0, 30) and plan.is_short_of_connections(
        MIN_ACCEPT_MS, 3, 28
    )
    assert not plan.is_short_of_connections(MIN_ACCEPT_MS, 4, 27) and not plan.is_short_of_connections(
        MIN_ACCEPT_MS, 0, 6
    )
    assert not GracefulShutdown(0.0, 1900.0, 1.0, 50.0, False).is_short_of_connections(MIN_ACCEPT_MS, 0, 30)


class Caller(threading.Thread):
    """A client that sends requests until connects are refused, on one connection or a new one for each.

    As the platform's clients do, it resends a request if its connection closes before any byte of an answer.
    """

    count = 0

    def __init__(self, program, began, fresh):
        super().__init__(daemon=True)
        self.program, self.began, self.fresh = program, began, fresh
        self.answers, self.unanswered, self.truncated = (
            [],
            [],
            [],
        )  # (id, status, seconds since the signal); ids
        self.start()

    def run(self):
        sock = None
        while True:
            Caller.count += 1
            number = Caller.count * 1000 + id(self) % 1000
            sock, status = self.ask(sock, number)
            if status == "refused":
                return
            if status:
                self.answers.append((f"id{number}", status, time.monotonic() - self.began.at))

    def ask(self, sock, number):
        """Send one request, and again on a new connection if necessary."""
        file = None
        for _ in range(20):
            try:
                sock = sock or self.program.connect()
            except OSError:
                return None, "refused"
            try:
                sock.sendall(read_request(number, span=f"{SPAN:.0f}m"))
                file = sock.makefile("rb")
                message = read_message(file)
            except OSError:
                message = None
            except ValueError:  # a truncated answer
                self.truncated.append(f"id{number}")
                return None, ""
            if message:
                status, headers, body = int(message[0].split()[1]), message[1], message[2]
                if len(body) < int(headers["content-length"]):
                    self.truncated.append(f"id{number}")
                if self.fresh or headers.get("connection") == "close":
                    sock.close()
                    sock = None
                return sock, status
            sock.close()
            sock = None
            self.unanswered.append(f"id{number}")
        return None, ""


class SignalTime:
    at = 0.0


def wait_for_end(program, began, kill):
    """Wait for the program to end, or kill it when the platform would; returns its exit code."""
    try:
        return program.process.wait(began + kill - time.monotonic())
    except Exception:
        program.process.kill()
        return program.process.wait()


def shut_down_under_load(tmp_path, behave):
    """Run load, then send SIGTERM; returns the exit code, the answers and the log of the program."""
    began = SignalTime()
    with Program(tmp_path, *(TurnServer(behave) for _ in range(4)), settings=QUICK) as program:
        began.at = time.monotonic()
        callers = [Caller(program, began, fresh=n < 3) for n in range(7)]
        until(lambda: sum(len(c.answers) for c in callers) > 20, "the load")
        began.at = time.monotonic()
        program.process.terminate()
        code = wait_for_end(program, began.at, KILL)
        for caller in callers:
            caller.join(20)
            assert not caller.is_alive()
        seen = {message[1]["req-id"] for server in program.servers for message in server.requests}
        log = program.log
    answers = [answer for c in callers for answer in c.answers]
    # each request that reached a server got exactly one complete answer
    assert not [name for c in callers for name in c.truncated]
    assert seen <= {name for name, _, _ in answers}
    assert max(Counter(name for name, _, _ in answers).values()) == 1
    assert "failed on" not in log
    return code, answers, log


def quick(server, message):
    return response(200, b"board")


def slow(server, message):
    time.sleep(0.7 * SPAN / 1000.0)
    return response(200, b"board")


def silent(server, message):
    time.sleep(5)


@pytest.mark.parametrize(("behave", "late"), [(quick, 0.6), (slow, 0.5), (silent, 0.0)])
def test_sigterm_loses_no_request_and_ends_before_the_kill(tmp_path, behave, late):
    for attempt in range(3):  # the machine may stall for longer than the margin; even then nothing is lost
        folder = tmp_path / str(attempt)
        folder.mkdir()
        code, answers, log = shut_down_under_load(folder, behave)
        if code == 0:
            break
    assert code == 0, log
    # exactly the requests that were taken or refused were answered
    taken, _, refused = map(int, re.search(r"ended: (\d+)\D+(\d+)\D+(\d+)", log).groups())
    assert len(answers) == taken + refused
    served = [at for _, status, at in answers if status == 200]
    assert not late or max(served) > late
    assert max(at for _, _, at in answers) < KILL


def test_shutdown_with_partial_pipelined_and_unread_requests(tmp_path):
    def behave(server, message):
        if "k=big" in message[0]:
            return response(200, b"x" * 60_000)
        time.sleep(0.5)
        return response(200, b"board")

    classes = [{**c, "slo": 1500.0, "deadline": 1900.0, "window": 6000.0} for c in SETTINGS["classes"]]
    with (
        Program(tmp_path, TurnServer(behave), settings=QUICK | {"classes": classes}) as program,
        program.connect() as partial,
        program.connect() as pipelined,
        program.connect() as idle,
        socket.socket() as unread,
    ):
        unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        unread.connect(("127.0.0.1", program.port))
        began = time.monotonic()
        program.process.terminate()
        until(lambda: "stopping" in program.log, "the stop")
        program.process.terminate()  # a second signal changes nothing
        partial.sendall(submit_request(7)[:-3])
        for number in range(100, 160):
            unread.sendall(read_request(number, target="/board-read?k=big"))
            if number % 10 == 0:
                time.sleep(0.01)
        time.sleep(max(0.0, began + 0.6 - time.monotonic()))
        pipelined.sendall(b"".join(read_request(number) for number in range(6)))
        file = pipelined.makefile("rb")
        answers = []
        while message := read_message(file):
            answers.append((int(message[0].split()[1]), message[1].get("connection")))
        # the last one does not announce the close if it was refused just before closing began
        ends = [end for _, end in answers]
        assert len(answers) == 6 and ends[:5] == [None] * 5 and ends[5] in (None, "close")
        # the first was served in its time, the last came too late
        assert answers[0][0] == 200 and answers[-1][0] == 503
        assert int(read_message(partial.makefile("rb"))[0].split()[1]) == 408
        assert idle.recv(1) == b""
        assert wait_for_end(program, began, 20) == 0
        assert "stopping already" in program.log and re.search("[1-3] connections left", program.log)


def test_clients_keep_free_connections_during_shutdown(tmp_path):
    release = threading.Event()

    def behave(server, message):
        if "k=wait" in message[0]:
            release.wait(20)
        return response(200, b"board")

    with Program(tmp_path, TurnServer(behave)) as program:
        socks = [program.connect() for _ in range(10)]
        assert [program.ask(read_request(n), sock)[0] for n, sock in enumerate(socks)] == [200] * 10
        began = time.monotonic()
        program.process.terminate()
        time.sleep(max(0.0, began + 0.3 - time.monotonic()))
        assert program.ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", socks[0])[0] == 503
        for n, sock in enumerate(socks):
            sock.sendall(read_request(100 + n, target="/board-read?k=wait"))
        files = [sock.makefile("rb") for sock in socks]
        release.set()
        answers = [read_message(file) for file in files]
        assert Counter(message[0].split()[1] for message in answers) == {"200": 8, "503": 2}
        for each in (*files, *socks):
            each.close()
        assert program.process.wait(20) == 0  # no client is left: it need not wait for the kill
        assert "2 refused at the end" in program.log


def test_shutdown_before_readiness_still_follows_discovery(tmp_path):
    server = TurnServer()
    with DiscoveryAgent([host("s0", server)]) as other:
        program = Program(tmp_path, agent=DiscoveryAgent([]))
        try:
            until(lambda: "serves on" in program.log, "the start")
            program.process.send_signal(signal.SIGINT)
            until(lambda: "stopping" in program.log, "the stop")
            write_config(
                tmp_path,
                listen=f"127.0.0.1:{program.port}",
                discovery=other.address,
                settings=SETTINGS,
            )
            program.process.send_signal(signal.SIGHUP)
            until(lambda: other.calls, "the call at the other place")
            assert program.process.wait(20) == 0
        finally:
            program.process.kill()
            program.process.wait()
            server.close()
