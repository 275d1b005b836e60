"""Metrics reporting: formats, batches and drops, on fakes and with collectors on real sockets."""

import contextlib
import re
import socket
import threading
import tracemalloc

import pytest
from helpers import SETTINGS, Program, Proxy, TurnServer, read_request, submit_request, until

from barleybarrow import interface as face
from barleybarrow.settings import read_settings
from brackenusher.config.operators import FiguresSettings, parse_operator_settings
from brackenusher.config.platform import ConfigError
from brackenusher.core.admission import Request
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Message
from brackenusher.core.transaction import Refused, Served, Transaction
from brackenusher.records.figures import FileSink, MetricsReporter
from brackenusher.records.insight import BalancerGauges
from brackenusher.runtime.outlet import LineWriter

POLICY_SETTINGS = read_settings(
    SETTINGS | {"tenants": [{"name": name} for name in ("kente-wars", "harmattan", "a b,c=d|e\\")]}
)
ENABLED = "figures.enabled = true\n"


class ReporterHarness:
    def __init__(self, **settings):
        self.now, self.deadlines, self.open, self.batches = 1000.0, Deadlines(), {}, []
        self.outlet = LineWriter(self.deadlines, lambda: self.now)
        settings = FiguresSettings(**settings)
        self.figures = MetricsReporter(
            settings, self.outlet, self.deadlines, lambda: self.now, self.open, POLICY_SETTINGS
        )

    def collect_batches(self):
        self.figures.sink = self
        return self

    dropped = 0

    def put(self, batch):
        self.batches.append(batch.decode())

    def open_request(self, number, klass=0, tenant=0, owner=b"x"):
        message = Message(b"GET", b"/", [], b"", owner)
        self.open[number] = Transaction(number, b"", message, None, klass, tenant, self.now, 0.0)

    def answer(self, number, answer, after=0.0):
        self.now += after
        transaction = self.open.pop(number)
        self.figures.on_answer(transaction, answer)

    def lines(self):
        self.deadlines.run_due(self.now + 10_000.0)
        return "".join(self.batches).splitlines()


def fill(harness):
    for n, tenant in enumerate((1, 1, 0)):
        harness.open_request(n, n % 2, tenant)
    harness.open_request(3, owner=None)
    harness.answer(0, Served(None), 211.7)
    harness.answer(1, Refused(5.0))
    harness.answer(3, None)
    for verdict in ("door 350 refused", "token forged rejected"):
        harness.figures.on_denial(Request(b"", 1, 1.0, 1, False, Message(b"", b"", owner=b"x")), verdict)
    return harness.lines()


def test_statsd_lines_have_the_documented_format():
    lines = fill(ReporterHarness().collect_batches())
    assert lines[0] == "latency_ms:212|ms|#class:board-read,tenant:harmattan"
    assert "requests:3|c|#class:turn-submit,tenant:harmattan" in lines
    assert "refused:2|c|#class:turn-submit,tenant:harmattan" in lines
    assert (
        "requests:1|c|#class:board-read,tenant:-" in lines and sum("refused" in line for line in lines) == 1
    )
    assert "inflight:1|g|#class:board-read,tenant:kente-wars" in lines
    assert "inflight:0|g|#class:board-read,tenant:harmattan" in lines and lines[-1] == "figures_dropped:0|g"


def test_influx_lines_escape_special_characters_of_names():
    harness = ReporterHarness(influx=True).collect_batches()
    assert fill(harness)[0] == "latency_ms,class=board-read,tenant=harmattan value=212"
    harness.open_request(9, tenant=2)
    harness.answer(9, Served(None), 7.0)
    assert r"latency_ms,class=board-read,tenant=a\ b\,c\=d|e_ value=7" in harness.lines()
    assert (
        ReporterHarness().collect_batches().figures.format_tags((0, 2))
        == "class:board-read,tenant:a b_c=d_e\\"
    )


def test_counters_are_reset_by_a_flush_and_gauges_are_repeated():
    harness = ReporterHarness().collect_batches()
    fill(harness)
    harness.batches.clear()
    assert not any(line.startswith(("requests", "refused", "latency")) for line in harness.lines())
    assert any(line.startswith("inflight:1") for line in harness.lines())


def test_gauges_show_capacity_and_ejected_and_cold_servers():
    proxy = Proxy([f"b{n}" for n in range(60)], proxies=40)
    for _ in range(10):
        proxy.arrive()
    proxy.finish(1, face.Outcome.CONNECT_FAILED, elapsed=1.0)
    proxy.list(face.Entry("new", face.State.LIVE, started=proxy.now), scope=face.ListScope.CHANGES)
    found = {name: value for name, value, _, _ in BalancerGauges(proxy.brain, lambda: proxy.now).samples()}
    assert found["attempts_out"] == len(proxy.sent) - 1 and found["attempts_room"] == 4
    assert found["requests_held"] == 10 - found["attempts_out"]
    assert (found["servers_listed"], found["servers_left_alone"], found["servers_cold"]) == (61, 1, 1)


def test_full_batch_is_sent_at_once_within_its_size_and_splits_no_line():
    harness = ReporterHarness(batch_bytes=256).collect_batches()
    for n in range(100):
        harness.open_request(n)
        harness.answer(n, Served(None), 1.0)
    assert len(harness.batches) > 10
    harness.lines()
    assert all(len(batch) <= 256 and batch.endswith("\n") for batch in harness.batches)
    assert sum(batch.count("latency_ms:1|") for batch in harness.batches) == 100


def test_memory_stays_under_256_kb_with_a_stuck_reader(monkeypatch):
    # timers queued for a stuck reader must be bounded
    stuck = threading.Event()
    monkeypatch.setattr("brackenusher.records.figures.write_stderr", lambda pieces: stuck.wait(20.0))
    tracemalloc.start()
    try:
        harness = ReporterHarness(batch_bytes=32_768)
        for n in range(20_000):
            harness.open_request(n)
            harness.answer(n, Served(None), 1.0)
        assert tracemalloc.get_traced_memory()[1] < 256_000 and harness.figures.sink.dropped > 10
    finally:
        tracemalloc.stop()
    stuck.set()
    harness.outlet.close()


def test_file_is_appended_to_and_failed_writes_are_dropped_and_counted(tmp_path):
    for path, lost in ((str(tmp_path / "figures"), 0), ("/dev/full", 3), (str(tmp_path / "none" / "x"), 3)):
        harness = ReporterHarness(target=path, batch_bytes=256)
        for n in range(8):
            harness.open_request(n)
            harness.answer(n, Served(None), 1.0)
        harness.figures.flush()
        harness.outlet.close()
        assert harness.figures.sink.dropped == lost
    lines = (tmp_path / "figures").read_text(encoding="utf-8").splitlines()
    assert len(lines) == 8 + 3 and lines[-1] == "figures_dropped:0|g"
    assert FileSink("/dev/full").write([b"a\n", b"b\n"]) == 2


INVALID = [
    "figures.format = json",
    "figures.target = file:",
    "figures.target = udp:",
    "figures.target = udp:name:1",
]
INVALID += ["figures.target = tcp:127.0.0.1:1", "figures.target = udp:127.0.0.1:0", "figures.flush_ms = 0"]


@pytest.mark.parametrize("bad", [*INVALID, "figures.batch_bytes = 100000"])
def test_invalid_metrics_settings_are_rejected(bad):
    with pytest.raises(ConfigError) as caught:
        parse_operator_settings("f", ENABLED + bad)
    assert bad.partition(" ")[0] in str(caught.value)


def test_metrics_settings_are_parsed():
    text = ENABLED + "figures.format = influx\nfigures.target = udp:[::1]:8125\nfigures.flush_ms = 50\n"
    assert parse_operator_settings("f", text).figures == FiguresSettings(True, ("::1", 8125), 50, 1400)
    assert parse_operator_settings("f", ENABLED).figures == FiguresSettings()
    assert parse_operator_settings("f", ENABLED + "figures.target = file:/a:b").figures.target == "/a:b"


class Collector:
    """Collects lines on a UDP port."""

    def __init__(self, port=0):
        self.sock, self.lines = socket.socket(socket.AF_INET, socket.SOCK_DGRAM), []
        self.sock.bind(("127.0.0.1", port))
        self.sock.setblocking(False)

    def find(self, pattern):
        """The first line so far that matches."""
        with contextlib.suppress(BlockingIOError):
            self.lines += self.sock.recv(65536).decode().splitlines()
        return next((line for line in self.lines if re.match(pattern, line)), None)


def test_loss_of_the_collector_costs_no_requests_and_is_counted(tmp_path):
    # a refused datagram must end neither the program nor its flushes, and losses must be reported
    first = Collector()
    port = first.sock.getsockname()[1]
    text = f"{ENABLED}figures.target = udp:127.0.0.1:{port}\nfigures.flush_ms = 50\n"
    with Program(tmp_path, TurnServer(), operator=text) as program, program.connect() as client:
        assert program.ask(submit_request(1), client)[0] == 200
        tags = "#class:turn-submit,tenant:kente-wars"
        for line in (rf"latency_ms:\d+\|ms\|{tags}", rf"requests:1\|c\|{tags}"):
            until(lambda line=line: first.find(line), line)
        first.sock.close()
        for n in range(300):
            assert program.ask(read_request(n), client)[0] == 200
        second = Collector(port)
        until(lambda: second.find(r"figures_dropped:[1-9]"), "the report of dropped batches")
        assert program.ask(read_request(999), client)[0] == 200
        until(lambda: second.find("requests:1"), "the new request")
        program.process.terminate()
        assert program.process.wait(20) == 0 and "Traceback" not in program.log
        second.sock.close()


def test_metrics_capture_and_log_share_stderr_without_split_lines(tmp_path):
    text = f"{ENABLED}capture.enabled = true\nfigures.flush_ms = 50\n"
    with Program(tmp_path, TurnServer(), operator=text) as program, program.connect() as client:
        for n in range(200):
            assert program.ask(read_request(n), client)[0] == 200
        until(lambda: "inflight:0|g" in program.log, "a flush")
        program.process.terminate()
        assert program.process.wait(20) == 0
        lines = program.log.splitlines()
        assert sum(line.startswith("latency_ms:") and line.endswith("wars") for line in lines) == 200
        assert sum(line.startswith("id") and " served at=" in line for line in lines) == 200
        assert any(" stopping: " in line and line.endswith(" ms") for line in lines)


def test_nothing_is_sent_while_metrics_are_off(tmp_path):
    with Program(tmp_path, TurnServer(), operator="figures.flush_ms = 10\n") as program:
        assert program.ask(read_request())[0] == 200
        assert "latency_ms" not in program.log and "inflight" not in program.log
