"""The world on sockets: short runs with real daemons, what both ends see, and that nothing is left behind."""

import os
import signal
import subprocess
import sys
import time

import msgspec
import psutil
import pytest
from helpers import ROOT, until

from testbed import scenario as config
from testbed.results import Breach
from testbed.sockets import http, ports
from testbed.sockets.commands import print_account
from testbed.sockets.daemons import RunError
from testbed.sockets.run import Run, play

BASE = """
name = "short"
seconds = 2.5
proxies = 2
servers = 6
[load]
rate = 60.0
[clients]
impatient = 0.0
[[classes]]
name = "read"
work_ms = 15.0
aim = 3000.0
deadline = 6000.0
[[classes]]
name = "submit"
work_ms = 15.0
aim = 3000.0
deadline = 6000.0
effect = "keyed"
window = 20000.0
[[classes]]
name = "once"
work_ms = 15.0
aim = 3000.0
deadline = 6000.0
effect = "unsafe"
"""


def test_a_reader_finds_whole_messages_however_they_come_and_gives_up_what_has_no_end():
    text = http.answer(200, b"board", b"X: y") + http.answer(503)
    reader = http.Reader()
    found = [message for n in range(len(text)) for message in reader.feed(text[n : n + 1])]
    assert [(first, body) for first, _, body in found] == [
        (b"HTTP/1.1 200 Status", b"board"),
        (b"HTTP/1.1 503 Status", b""),
    ]
    assert http.field(found[0][1], b"x") == b"y" and http.field(found[0][1], b"z") is None
    with pytest.raises(http.UnreadableMessageError):
        http.Reader().feed(b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 60_000)


def test_ports_are_free_and_not_given_twice_even_to_two_processes():
    # guards against a test that talks to the daemon of another one; both walk the same numbers, of which
    # other tests may have some
    text = "from testbed.sockets import ports; ports.NEXT = iter(range({0}, {0} + 400)); "
    text = (
        text.format(next(ports.NEXT)) + "print(*(ports.free_port() for _ in range(20)), flush=True); input()"
    )
    run = [sys.executable, "-c", text]
    pipes = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True, "cwd": ROOT}
    with subprocess.Popen(run, **pipes) as one, subprocess.Popen(run, **pipes) as two:
        given = [*one.stdout.readline().split(), *two.stdout.readline().split()]
        one.communicate("\n"), two.communicate("\n")
    assert len(given) == len(set(given)) == 40 and max(map(int, given)) < 32_768


def test_a_short_run_keeps_every_promise_and_accounts_for_every_request(capsys):
    scenario = config.parse(BASE)
    looks = []
    result = play(scenario, 1, watch=looks.append)
    asked = result.total("asked")
    parts = ("in_aim", "late", "refused", "failed", "left")
    assert result.breaches == [] and asked > 100
    assert sum(result.total(part) for part in parts) == asked and result.goodput() > 0.95
    assert result.attempts >= result.total("in_aim") and result.work_done > 0
    assert result.live and all(p.memory_mb > 5 and p.descriptors > 5 for p in result.live.processes)
    assert looks and looks[-1].fleet[0][0] == "s00000"
    print_account(result)
    assert "goodput" in capsys.readouterr().out


FAULTS = """
[[faults]]
kind = "proxy_restart"
at = 1000.0
lasts = 1000.0
proxies = [0]
size = 0.0
[[faults]]
kind = "drain"
at = 500.0
lasts = 1500.0
servers = [0]
[[faults]]
kind = "resets"
at = 0.0
lasts = 3000.0
servers = [1]
size = 0.2
[sockets]
rude = 30.0
"""


def test_a_daemon_killed_in_mid_load_is_excused_for_what_it_held_and_for_nothing_else():
    # what it had taken is its client's to repeat; what its servers ran twice would still be held against it
    kinds = ("spoilt", "surplus", "endless_head", "closes_on_write")
    wrong = "".join(
        f'[[sockets.faults]]\nkind = "{kind}"\nservers = [{n % 3 + 1}]\nsize = 0.1\n'
        for n, kind in enumerate(kinds)
    )
    hushed = "".join(
        f'[[sockets.faults]]\nkind = "{kind}"\nat = 1000.0\nlasts = 800.0\nservers = [5]\n'
        for kind in ("full_backlog", "silence")
    )
    result = play(config.parse(BASE + FAULTS + wrong + hushed), 2)
    assert result.breaches == [] and result.live is not None
    assert [p.lives for p in result.live.processes] == [2, 1]
    assert result.live.rude > 20 and result.live.rude_left == 0
    assert result.total("in_aim") > 0.4 * result.total("asked")


def test_a_daemon_that_is_still_starting_at_the_end_of_a_run_ends_in_good_order():
    # guards against a SIGTERM before the process catches it, which ends it with code -15
    with Run(config.parse(BASE), 1) as run:
        run.daemons[0].stop(True)
        run.daemons[0].again()
        run.stop_all()
        assert [daemon.facts.ended for daemon in run.daemons] == ["", ""]
        assert [daemon.life.process.returncode for daemon in run.daemons] == [0, 0]


def test_both_ends_together_find_what_neither_sees_alone():
    # guards against an account that cannot fail
    with Run(config.parse(BASE), 1) as run:
        run.origin = time.monotonic() - 100.0
        klasses = run.klasses(set(range(50)))
        once = next(op for op, klass in klasses.items() if klass == 2)
        read = next(op for op, klass in klasses.items() if klass == 0)
        whole = [(1000, 0, "s00001", False)]
        load = {
            "refused": [(once, 0, 0, 2000), (read, 0, 0, 2000)],
            "unanswered": [
                (7, 0, 0, 5_000_000, 5_100_000, "broken"),
                (8, 0, 0, 5_000_000, 5_100_000, "broken first"),
                (9, 0, 1, 5_000_000, 5_100_000, "silent"),
            ],
        }
        fleet = {"attempts": {(once, 0): whole, (read, 0): whole}}
        found, excused = run.both_ends(load, fleet)
        assert [(b.promise, b.request) for b in found] == [
            ("refused_ran", once),
            ("in_time", 7),
            ("in_time", 9),
        ]
        run.daemons[0].stop(at_once=True)
        run.origin = run.daemons[0].life.stopped_at - 5.05
        found, excused = run.both_ends(load, fleet)
        assert excused == 2 and [b.request for b in found] == [once, 9]
        assert isinstance(found[0], Breach)


def processes_of(parent):
    with psutil.Process(parent).oneshot():
        return psutil.Process(parent).children(recursive=True)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])  # SIGTERM goes as SIGINT does
def test_the_demo_leaves_no_process_behind_however_it_ends(tmp_path, number):
    environ = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT), "HOME": str(tmp_path)}
    with subprocess.Popen(
        [sys.executable, "-m", "brackenusher", "demo", "--seconds", "60"],
        cwd=tmp_path,
        env=environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    ) as process:
        lines = iter(process.stdout.readline, "")
        assert any("served/s" in line for line in lines)
        children = processes_of(process.pid)
        assert len(children) >= 4
        process.send_signal(number)
        rest = process.stdout.read()
        assert process.wait(20) == (130 if number != signal.SIGKILL else -9)
        assert number == signal.SIGKILL or "stopped" in rest and "Traceback" not in rest

    def gone(child):
        return not child.is_running() or child.status() == psutil.STATUS_ZOMBIE

    until(lambda: all(gone(child) for child in children), "the end of all")


def test_the_demo_plays_to_its_end_and_says_where_its_report_lies(tmp_path):
    environ = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT), "HOME": str(tmp_path)}
    done = subprocess.run(
        [sys.executable, "-m", "brackenusher", "demo", "--seconds", "3", "--report", "page.html"],
        cwd=tmp_path,
        env=environ,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    last = done.stdout.splitlines()[-1]
    assert done.returncode == 0, done.stdout + done.stderr
    assert last == f"report: {tmp_path / 'page.html'}"
    assert "<html" in (tmp_path / "page.html").read_text(encoding="utf-8")[:200].lower()


def test_what_cannot_be_played_is_one_line():
    asks = msgspec.structs.replace(config.parse(BASE), discovery=config.Discovery(mode="ask"))
    with pytest.raises(RunError):
        Run(asks, 1)
    done = subprocess.run(
        [sys.executable, "-m", "brackenusher", "demo", "--seconds", "0"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "--seconds" in done.stderr
