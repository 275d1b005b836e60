"""Metrics of transactions, pushed to a collector in statsd or influx lines.

Counters are summed until the flush, gauges are sampled at the flush, and each served request gets a timer.
Lines are sent in batches, when one is full or at the flush; a batch that cannot be sent at once is dropped
and counted.
"""

import os
import socket
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from barleybarrow import interface as face
from brackenusher.config.operators import FiguresSettings
from brackenusher.core.admission import Request
from brackenusher.core.transaction import Answer, Refused, Served, Transaction
from brackenusher.runtime.driver import Address, open_udp_socket
from brackenusher.runtime.outlet import Channel, LineWriter, write_all, write_stderr
from brackenusher.runtime.timers import Timers

QUEUE_BYTES = 96 * 1024  # waiting to be written
MAX_TAG_CHARACTERS = 64  # of a tag's value
NO_TENANT = -1
TagKey = tuple[int, int]  # indexes of class and tenant
Sample = tuple[str, int, str, list[tuple[str, str]]]  # name, value, statsd type, tags


class Statsd:
    """Statsd lines with tags."""

    @staticmethod
    def tags(pairs: list[tuple[str, str]]) -> str:
        replacements = str.maketrans("|,:#@\n\r", "_______")
        return ",".join(
            f"{name}:{value.translate(replacements)[:MAX_TAG_CHARACTERS]}" for name, value in pairs
        )

    @staticmethod
    def line(name: str, value: int | str, kind: str, tags: str) -> str:
        return f"{name}:{value}|{kind}|#{tags}\n" if tags else f"{name}:{value}|{kind}\n"


class Influx:
    """Influx line protocol, which has no metric types."""

    @staticmethod
    def tags(pairs: list[tuple[str, str]]) -> str:
        replacements = str.maketrans({"\\": "_", "\n": "_", "\r": "_", ",": "\\,", " ": "\\ ", "=": "\\="})
        return "".join(
            f",{name}={value[:MAX_TAG_CHARACTERS].translate(replacements)}" for name, value in pairs
        )

    @staticmethod
    def line(name: str, value: int | str, kind: str, tags: str) -> str:
        return f"{name}{tags} value={value}\n"


class UdpSink:
    """Sends batches to a collector over UDP without blocking."""

    def __init__(self, address: Address) -> None:
        self.address, self.dropped = address, 0
        self.sock: socket.socket | None = None

    def put(self, batch: bytes) -> None:
        try:
            self.send(batch)
        except ConnectionRefusedError:  # ICMP port unreachable, caused by the previous batch
            self.dropped += 1
            try:
                self.send(batch)
            except OSError:
                self.dropped += 1
        except OSError:
            self.dropped += 1

    def send(self, batch: bytes) -> None:
        if self.sock is None:
            self.sock = open_udp_socket(self.address)
        self.sock.send(batch)


class FileSink:
    """Appends batches to a file; opening and writing do not block, whatever kind of file it is."""

    def __init__(self, path: str) -> None:
        self.path = path

    def write(self, batches: list[bytes]) -> int:
        """Append batches; returns how many failed. Opens the file anew, as it may have been rotated."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC
        fd = os.open(self.path, flags, 0o640)
        try:
            return sum(not self.append(fd, batch) for batch in batches)
        finally:
            os.close(fd)

    @staticmethod
    def append(fd: int, batch: bytes) -> bool:
        end = os.fstat(fd).st_size
        try:
            write_all(fd, batch)
        except OSError:
            if os.fstat(fd).st_size > end:  # remove the truncated line
                os.ftruncate(fd, end)
            return False
        return True


class MetricsReporter:
    """Counts the outcomes of transactions and sends them at intervals."""

    def __init__(
        self,
        settings: FiguresSettings,
        writer: LineWriter,
        timers: Timers,
        clock: Callable[[], float],
        transactions: Mapping[int, Transaction],
        policy_settings: face.Settings,
    ) -> None:
        self.settings, self.timers, self.clock = settings, timers, clock
        self.transactions, self.policy_settings = transactions, policy_settings
        self.line_format = Influx if settings.influx else Statsd
        if isinstance(settings.target, tuple):
            self.sink: UdpSink | Channel = UdpSink(settings.target)
        else:
            write = write_stderr if settings.target is None else FileSink(settings.target).write
            # chunks are not merged: a batch is the unit of drops
            self.sink = writer.open_channel(write, QUEUE_BYTES, chunk_bytes=0)
        self.requests: Counter[TagKey] = Counter()
        self.refused: Counter[TagKey] = Counter()
        self.formatted_tags: dict[TagKey, str] = {}
        # text of a timer's line before and after the value
        self.timer_lines: dict[TagKey, tuple[str, str]] = {}
        self.sources: list[Callable[[], Iterable[Sample]]] = []  # called for further gauges at each flush
        self.batch = bytearray()
        self.next_flush_at = clock() + settings.flush_ms
        self.flush_timer = timers.add(self.next_flush_at, self.on_flush_timer)

    # observer interface

    def on_answer(self, transaction: Transaction, answer: Answer | None) -> None:
        key = transaction.class_index, transaction.tenant if transaction.message.owner else NO_TENANT
        self.requests[key] += 1
        kind = type(answer)
        if kind is Served:
            before, after = self.timer_lines.get(key) or self.format_timer(key)
            self.add_line(f"{before}{self.clock() - transaction.arrived:.0f}{after}".encode())
        elif kind is Refused:
            self.refused[key] += 1

    def on_denial(self, request: Request, verdict: str) -> None:
        key = request.class_index, request.tenant if request.message.owner else NO_TENANT
        self.requests[key] += 1
        if verdict.endswith(" refused"):
            self.refused[key] += 1

    # output

    def format_tags(self, key: TagKey) -> str:
        """The formatted tags; names come from the settings alone, which bounds their number."""
        if key not in self.formatted_tags:
            pairs = [("class", self.policy_settings.classes[key[0]].name)]
            if self.policy_settings.tenants:
                pairs.append(("tenant", self.policy_settings.tenants[key[1]] if key[1] != NO_TENANT else "-"))
            self.formatted_tags[key] = self.line_format.tags(pairs)
        return self.formatted_tags[key]

    def format_timer(self, key: TagKey) -> tuple[str, str]:
        before, _, after = self.line_format.line("latency_ms", "\0", "ms", self.format_tags(key)).partition(
            "\0"
        )
        self.timer_lines[key] = before, after
        return before, after

    def add_line(self, line: bytes) -> None:
        if len(self.batch) + len(line) > self.settings.batch_bytes:
            self.send_batch()
        self.batch += line

    def send_batch(self) -> None:
        if self.batch:
            self.sink.put(bytes(self.batch))
            self.batch.clear()

    def flush(self) -> None:
        """Send counters, gauges and the remaining timers."""
        inflight = Counter(
            (t.class_index, t.tenant if t.message.owner else NO_TENANT)
            for t in self.transactions.values()
            if not t.closed
        )
        for name, sums in (("requests", self.requests), ("refused", self.refused)):
            for key, count in sums.items():
                self.add_line(self.line_format.line(name, count, "c", self.format_tags(key)).encode())
            sums.clear()
        for key in inflight:
            self.format_tags(key)
        for key, tags in self.formatted_tags.items():
            self.add_line(self.line_format.line("inflight", inflight[key], "g", tags).encode())
        for source in self.sources:
            for name, count, kind, pairs in source():
                self.add_line(self.line_format.line(name, count, kind, self.line_format.tags(pairs)).encode())
        self.add_line(self.line_format.line("figures_dropped", self.sink.dropped, "g", "").encode())
        self.send_batch()

    def on_flush_timer(self) -> None:
        """Flush and schedule the next flush; a late flush delays the following ones."""
        self.next_flush_at += self.settings.flush_ms
        if self.next_flush_at <= self.clock():
            self.next_flush_at = self.clock() + self.settings.flush_ms
        self.flush_timer = self.timers.add(self.next_flush_at, self.on_flush_timer)
        self.flush()

    def close(self) -> None:
        self.timers.remove(self.flush_timer)
        self.flush()
