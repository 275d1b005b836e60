"""Capture and replay: the lines, the thread that writes them, and replays of captures of the real program."""

import re
import resource
import signal
import subprocess
import threading
import time
import tracemalloc

import pytest
from helpers import (
    SETTINGS,
    WAIT,
    Program,
    TurnServer,
    command,
    host,
    read_request,
    response,
    submit_request,
    until,
)

from barleybarrow import interface as face
from barleybarrow.interface import ListScope, Outcome, State
from barleybarrow.settings import read_settings
from brackenusher.config.operators import CaptureSettings, parse_operator_settings
from brackenusher.config.platform import PlatformConfig
from brackenusher.core.admission import Request
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Message
from brackenusher.core.transaction import Refused, Served, Transaction
from brackenusher.records.capture import Capture, FileRing
from brackenusher.records.replay import LINE_PATTERN
from brackenusher.runtime.outlet import LineWriter

CONFIG = PlatformConfig("n0", ("", 0), ("", 0), 255, 256, {}, read_settings(SETTINGS), SETTINGS)
ENABLED = "capture.enabled = true\n"


class CaptureHarness:
    """A capture with a fake clock and events from no real balancer."""

    def __init__(self, **settings):
        self.now, self.deadlines = 1000.0, Deadlines()
        self.outlet = LineWriter(self.deadlines, lambda: self.now)
        self.open = {}
        self.capture = Capture(CaptureSettings(**settings), self.outlet, self.open, CONFIG, 1000.0)

    def emit(self, event, *actions):
        self.now += 0.1
        self.capture.on_event(self.now, event, actions)

    def arrive(self, number, name=b"id", message=None, backend="s0"):
        message = message or Message(b"GET", b"/board-read?k=m1", [], b"", b"kente-wars", b"1400m")
        transaction = Transaction(number, name, message, None, 0, 0, self.now, self.now + 1390.0)
        self.open[number] = transaction
        self.emit(face.Arrived(number, 0, self.now + 1390.0), face.Send(number, backend))
        return transaction

    def serve(self, number, **wording):
        self.capture.on_answer(self.arrive(number, **wording), Served(None))
        self.emit(face.Finished(number, 0, Outcome.SERVED, 20.5, True))

    def list(self, *names, state=State.LIVE):
        entries = [face.Entry(name, state) for name in names]
        self.emit(face.ListChanged(ListScope.CHANGES, entries, 43))

    def queued_lines(self):
        """The lines not passed to the writer yet."""
        return b"".join(self.capture.channel.chunks).decode().splitlines()

    def close(self):
        self.capture.close()
        self.outlet.close()


def capture_lines(text):
    """The lines of a capture, without headers and other output."""
    return [line for line in text.splitlines() if LINE_PATTERN.match(line)]


def test_lines_begin_with_request_decision_and_outcome():
    harness = CaptureHarness()
    harness.list("s-5be2a07c", state=State.DRAINING)
    harness.serve(1, name=b"9b1f03aa5c7e2d41", backend="s-5be2a07c")
    refused = harness.arrive(2)
    harness.emit(face.Finished(2, 0, Outcome.FULL, 1.0, False), face.Refuse(2, 312.5531))
    harness.capture.on_answer(refused, Refused(312.5531))
    message = Message(b"GET", b"/board-read", [], b"", None, None, ("", 5.0))
    harness.capture.on_denial(Request(b"x", 0, 1.0, 0, False, message), "door 350 refused")
    lines = harness.queued_lines()[1:]
    assert lines[0].startswith("list 43 s-5be2a07c draining ")
    assert lines[1].startswith("9b1f03aa5c7e2d41 board-read kente-wars k=m1 1400m forward s-5be2a07c served ")
    assert lines[2].startswith("id board-read kente-wars k=m1 1400m refuse 312.553 refused ")
    assert lines[3].startswith("x board-read - k=- - door 350 refused ")
    assert all(LINE_PATTERN.match(line) for line in lines)
    harness.close()


HOSTILE_TEXTS = [b"list", b"#", b"-", b"%", b"~", b"x" * 300, b"a\nlist", b"a b", b"k=v", b"\xff\r\x00", b""]


@pytest.mark.parametrize("text", HOSTILE_TEXTS)
def test_client_text_cannot_forge_or_inflate_a_line(text):
    # ids, keys and owners are chosen by clients: unescaped, they could add lines to the capture
    harness = CaptureHarness()
    message = Message(b"GET", b"/board-read?k=" + text, [], b"", text, text)
    harness.serve(1, name=text, message=message)
    harness.capture.on_denial(Request(text, 0, 1.0, 0, False, message), "token forged rejected")
    lines = harness.queued_lines()[1:]
    assert [LINE_PATTERN.match(line)["words"].split()[5] for line in lines] == ["forward", "token"]
    assert all(len(line) < 1200 and line.isascii() for line in lines)
    assert not any(line.startswith(("list ", "#", "- ")) for line in lines)
    harness.close()


def test_ring_keeps_its_size_splits_no_line_and_resumes_at_the_oldest_file(tmp_path):
    # a restart must overwrite the oldest file, not the newest lines of the previous process
    ring = {"folder": str(tmp_path), "files": 3, "file_kb": 16}
    harness = CaptureHarness(**ring)
    harness.list("s0", "s1")
    for n in range(1500):
        harness.serve(n)
        if n % 100 == 0:  # lines beyond the queue's capacity would be dropped, as intended
            until(lambda: harness.capture.channel.fits(200_000), "the writer")
    harness.close()
    files = sorted(tmp_path.iterdir())
    texts = [path.read_text(encoding="utf-8") for path in files]
    newest = max(files, key=lambda path: path.stat().st_mtime_ns)  # may have just been started
    found = [(path.name, path.stat().st_size, path.stat().st_mtime_ns) for path in files]
    assert len(files) == 3 and all(path.stat().st_size <= 16_384 for path in files)
    assert all(path.stat().st_size > 12_000 for path in files if path != newest), (
        found,
        harness.capture.dropped,
    )
    for text in texts:
        first, second, third, *rest = text.splitlines()
        assert first.startswith("# {") and text.endswith("\n")
        assert (
            "standing=1" in second
            and "standing=1" in third
            and all(LINE_PATTERN.match(line) for line in rest)
        )
    numbers = sorted(int(line.rpartition("n=")[2]) for text in texts for line in capture_lines(text))
    assert numbers == list(range(numbers[0], 1503)) and harness.capture.dropped == 0
    ages = [FileRing.read_sequence(path) for path in files]
    again = CaptureHarness(**ring)
    again.serve(1)
    again.close()
    changed = [n for n in range(3) if files[n].read_text(encoding="utf-8") != texts[n]]
    assert changed == [ages.index(min(ages))] and FileRing.read_sequence(files[changed[0]]) == max(ages) + 1
    wider = FileRing(CaptureSettings(**(ring | {"files": 4})))  # the new file first, then the oldest one
    wider.start_next_file()
    assert [wider.sequences.index(age) for age in (wider.sequence - 1, wider.sequence)] == [
        3,
        ages.index(sorted(ages)[1]),
    ]


def test_full_disk_drops_whole_batches_and_counts_them(tmp_path):
    harness = CaptureHarness(folder=str(tmp_path))
    harness.capture.channel.flush()
    until(lambda: harness.capture.channel.written_bytes, "the head")
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    handler = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    try:
        resource.setrlimit(resource.RLIMIT_FSIZE, (5000, before[1]))
        for n in range(40):
            harness.serve(n)
        harness.close()
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)
        signal.signal(signal.SIGXFSZ, handler)
    text = (tmp_path / "capture-0.log").read_text(encoding="utf-8")
    assert harness.capture.dropped == 40 and text.count("\n") == 1 and text.endswith("\n")


def test_memory_stays_under_1_mb_with_a_stuck_reader_and_many_open_requests(monkeypatch):
    # queued lines, open requests and pending events must all be bounded
    stuck = threading.Event()
    monkeypatch.setattr("brackenusher.records.capture.write_stderr", lambda pieces: stuck.wait(WAIT))
    # transactions count for their owner, not for the capture
    harness, owner = CaptureHarness(), CaptureHarness()
    for n in range(6000):
        owner.arrive(n)
    harness.capture.transactions = owner.open
    tracemalloc.start()
    try:
        for n in range(6000):
            harness.emit(face.TimerDue(0))
            harness.emit(face.Arrived(n, 0, harness.now), face.Send(n, "s0"))
            if not n % 2:
                harness.capture.on_answer(owner.open[n], Served(None))
                harness.emit(face.Finished(n, 0, Outcome.SERVED, 20.5, True))
        assert tracemalloc.get_traced_memory()[1] < 1_000_000
        assert harness.capture.dropped > 1000 and len(harness.capture.open_records) <= 1000
    finally:
        tracemalloc.stop()
    began = time.monotonic()
    harness.close()  # must not wait for the stuck writer
    assert time.monotonic() - began < WAIT / 2
    stuck.set()


def test_invalid_capture_settings_are_rejected():
    capture = parse_operator_settings(
        "f", ENABLED + "capture.dir = a\ncapture.files = 2\ncapture.file_kb = 16"
    ).capture
    assert (
        capture == CaptureSettings("a", 2, 16)
        and parse_operator_settings("f", ENABLED).capture == CaptureSettings()
    )
    for bad in ("capture.files = 0", "capture.file_kb = 1", "capture.dir ="):
        with pytest.raises(ValueError, match=re.escape(bad.partition(" ")[0])):
            parse_operator_settings("f", bad)


def test_unusable_folder_ends_the_start_with_exit_code_2(tmp_path):
    (tmp_path / "file").touch()
    (tmp_path / "props").write_text(f"{ENABLED}capture.dir = {tmp_path}/file\n", encoding="utf-8")
    config = tmp_path / "config.json"
    with Program(tmp_path, TurnServer()):
        pass
    done = command("serve", "--operator", str(tmp_path / "props"), GW_CONFIG=str(config))
    assert done.returncode == 2 and "capture.dir" in done.stderr and done.stderr.count("\n") == 1


@pytest.fixture(scope="module")
def capture_of_drain(tmp_path_factory):
    """A capture of 1002 requests, some concurrent, during which the faster turn server is drained."""

    def behave(server, message):
        time.sleep(0.0 if server is quick else 0.015)  # clearly slower, even on a busy machine
        return response(200, b"board")

    tmp_path = tmp_path_factory.mktemp("drained")
    quick, slow, other = (TurnServer(behave) for _ in range(3))
    with Program(tmp_path, quick, slow, other, operator=ENABLED) as program:
        until(lambda: program.agent.watchers, "the watch")

        def ask(numbers):
            with program.connect() as sock:
                for n in numbers:
                    assert program.ask((submit_request, read_request)[n % 2](n), sock)[0] == 200

        def ask_at_once(first):
            clients = [
                threading.Thread(target=ask, args=(range(first + n, first + 500, 4),)) for n in range(4)
            ]
            for client in clients:
                client.start()
            for client in clients:
                client.join()

        ask_at_once(0)
        program.agent.tell([host("s0", quick, "draining")])
        until(lambda: "list 2 s0 draining" in program.log, "the drain")
        ask_at_once(500)
        assert program.ask(read_request(2000, "/board-read?k=%0Alist+3+s0"))[0] == 200
        with program.connect() as sock:
            program.ask(read_request(2001), sock)
        program.process.terminate()
        assert program.process.wait(WAIT) == 0
        return program.log


def run_replay(tmp_path, text, properties=""):
    (tmp_path / "captured").write_text(text, encoding="utf-8")
    (tmp_path / "props").write_text(properties, encoding="utf-8")
    return command("capture", "replay", str(tmp_path / "captured"), str(tmp_path / "props"))


def test_unchanged_capture_replays_without_differences(capture_of_drain, tmp_path):
    done = run_replay(tmp_path, capture_of_drain)
    assert (done.returncode, done.stderr) == (0, "") and "guess" not in done.stdout
    assert "# 1002 requests, 0 differing lines" in done.stdout and "another moment" not in done.stdout


def test_replay_without_the_drain_differs_for_that_server(capture_of_drain, tmp_path):
    kept = [
        line
        for line in capture_of_drain.splitlines(keepends=True)
        if not line.startswith("list 2 s0 draining")
    ]
    done = run_replay(tmp_path, "".join(kept))
    lines = [line for line in done.stdout.splitlines() if line.startswith("line ")]
    assert done.returncode == 1 and len(lines) > 20
    assert "replayed forward s0" in lines[0] and "recorded forward s0" not in done.stdout
    assert sum("s0" in line for line in lines) > len(lines) / 2
    assert all(line.endswith("[guess: input is missing before it]") for line in lines)
    assert re.search("# event [0-9]+ is missing", done.stdout)


def test_changed_decision_is_found_and_only_the_first_difference_is_exact(capture_of_drain, tmp_path):
    lines = capture_of_drain.splitlines(keepends=True)
    changed = [n for n, line in enumerate(lines) if " forward s1 served " in line][:2]
    for n in changed:
        lines[n] = lines[n].replace("forward s1", "forward s2").replace("try=s1", "try=s2")
    done = run_replay(tmp_path, "".join(lines))
    differences = [line for line in done.stdout.splitlines() if line.startswith("line ")]
    assert differences[0].startswith(f"line {changed[0] + 1}: ") and differences[0].endswith(
        "replayed forward s1 [exact]"
    )
    assert differences[1:] and all("follows" in line for line in differences[1:])


def test_capture_with_missing_lines_or_start_is_reported_as_a_guess(capture_of_drain, tmp_path):
    lines = capture_of_drain.splitlines(keepends=True)
    dropped = [line for line in lines if not line.startswith("id77 ")]
    assert re.search("events? .* missing", run_replay(tmp_path, "".join(dropped)).stdout)
    head = next(line for line in lines if line.startswith("# {"))
    late = [head.replace('"event":0', '"event":1000'), *lines[600:]]
    assert "the start is missing: 1000 events" in run_replay(tmp_path, "".join(late)).stdout
    for broken in ("", head.replace('"capture":1', '"capture":9')):
        assert run_replay(tmp_path, broken).returncode == 2


def test_rate_limiter_is_replayed_with_the_limits_of_the_properties(tmp_path):
    limits = "door.enabled = true\ndoor.rate.kente-wars = 0.01\ndoor.burst.kente-wars = 3\n"
    ring = f"capture.dir = {tmp_path}/ring\n"
    with Program(tmp_path, TurnServer(), operator=limits + ENABLED + ring) as program:
        secret = "Adw-Token: k2.p77.read.1.abc\r\n"
        answers = [program.ask(read_request(n, extra=secret))[0] for n in range(5)]
        program.process.terminate()
        assert answers == [200, 200, 200, 429, 429] and program.process.wait(WAIT) == 0
    text = (tmp_path / "ring" / "capture-0.log").read_text(encoding="utf-8")
    assert " door " in text and "k2.p77" not in text and "Adw" not in text
    assert run_replay(tmp_path, text, limits).returncode == 0
    assert "taken as they stand" in run_replay(tmp_path, text).stdout
    done = run_replay(tmp_path, text, limits.replace("= 3", "= 4"))
    differences = [line for line in done.stdout.splitlines() if line.startswith("line ")]
    assert len(differences) == 1 or all("follows" in line for line in differences[1:])
    assert "recorded door" in differences[0] and "replayed let in [exact]" in differences[0]


def test_stuck_reader_of_stderr_blocks_neither_requests_nor_shutdown(tmp_path):
    # a log or capture line that blocked on the full pipe would block all clients
    with Program(tmp_path, TurnServer(), operator=ENABLED, stderr=subprocess.PIPE) as program:
        with program.connect() as sock:
            for n in range(3000):
                assert program.ask(read_request(n), sock)[0] == 200
        program.process.send_signal(signal.SIGHUP)  # causes a log line
        assert program.ask(read_request(5000))[0] == 200
        program.process.terminate()
        assert program.process.wait(WAIT) == 0
        rest = program.process.stderr.read().decode()
        assert rest.endswith("\n") and capture_lines(rest)


def test_nothing_is_written_while_capture_is_off(tmp_path):
    with Program(tmp_path, TurnServer(), operator="capture.enabled = false\n") as program:
        assert program.ask(read_request())[0] == 200
        assert not capture_lines(program.log) and "# {" not in program.log
