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
from brackenusher.runtime.outlet import Channel, Outlet, write_all, write_stderr
from brackenusher.runtime.timers import Timers

ROOM = 96 * 1024  # bytes waiting to be written
LONGEST_NAME = 64  # characters of a tag's value
NO_TENANT = -1
Tags = tuple[int, int]  # indexes of class and tenant
Figure = tuple[str, int, str, list[tuple[str, str]]]  # name, value, statsd type, tags


class Statsd:
    """Statsd lines with tags."""

    @staticmethod
    def tags(pairs: list[tuple[str, str]]) -> str:
        strange = str.maketrans("|,:#@\n\r", "_______")
        return ",".join(f"{name}:{value.translate(strange)[:LONGEST_NAME]}" for name, value in pairs)

    @staticmethod
    def line(name: str, value: int | str, kind: str, tags: str) -> str:
        return f"{name}:{value}|{kind}|#{tags}\n" if tags else f"{name}:{value}|{kind}\n"


class Influx:
    """Influx line protocol, which has no metric types."""

    @staticmethod
    def tags(pairs: list[tuple[str, str]]) -> str:
        strange = str.maketrans({"\\": "_", "\n": "_", "\r": "_", ",": "\\,", " ": "\\ ", "=": "\\="})
        return "".join(f",{name}={value[:LONGEST_NAME].translate(strange)}" for name, value in pairs)

    @staticmethod
    def line(name: str, value: int | str, kind: str, tags: str) -> str:
        return f"{name}{tags} value={value}\n"


class Datagrams:
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


class Appended:
    """Appends batches to a file; opening and writing do not block, whatever kind of file it is."""

    def __init__(self, path: str) -> None:
        self.path = path

    def write(self, pieces: list[bytes]) -> int:
        """Append batches; returns how many failed. Opens the file anew, as it may have been rotated."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC
        fd = os.open(self.path, flags, 0o640)
        try:
            return sum(not self.append(fd, piece) for piece in pieces)
        finally:
            os.close(fd)

    @staticmethod
    def append(fd: int, piece: bytes) -> bool:
        end = os.fstat(fd).st_size
        try:
            write_all(fd, piece)
        except OSError:
            if os.fstat(fd).st_size > end:  # remove the truncated line
                os.ftruncate(fd, end)
            return False
        return True


class Figures:
    """Counts the outcomes of transactions and sends them at intervals."""

    def __init__(
        self,
        settings: FiguresSettings,
        outlet: Outlet,
        deadlines: Timers,
        clock: Callable[[], float],
        transactions: Mapping[int, Transaction],
        conf: face.Settings,
    ) -> None:
        self.settings, self.deadlines, self.clock = settings, deadlines, clock
        self.transactions, self.conf = transactions, conf
        self.form = Influx if settings.influx else Statsd
        if isinstance(settings.target, tuple):
            self.sink: Datagrams | Channel = Datagrams(settings.target)
        else:
            write = write_stderr if settings.target is None else Appended(settings.target).write
            self.sink = outlet.channel(
                write, ROOM, chunk_bytes=0
            )  # chunks are not merged: a batch is the unit of drops
        self.requests: Counter[Tags] = Counter()
        self.refused: Counter[Tags] = Counter()
        self.seen: dict[Tags, str] = {}  # each with its formatted tags
        self.timers: dict[Tags, tuple[str, str]] = {}  # text of a timer's line before and after the value
        self.also: list[Callable[[], Iterable[Figure]]] = []  # called for further gauges at each flush
        self.batch = bytearray()
        self.due = clock() + settings.flush_ms
        self.limit = deadlines.add(self.due, self.tick)

    # observer interface

    def answered(self, transaction: Transaction, answer: Answer | None) -> None:
        key = transaction.klass, transaction.tenant if transaction.message.owner else NO_TENANT
        self.requests[key] += 1
        kind = type(answer)
        if kind is Served:
            before, after = self.timers.get(key) or self.timer(key)
            self.add(f"{before}{self.clock() - transaction.arrived:.0f}{after}".encode())
        elif kind is Refused:
            self.refused[key] += 1

    def turned_away(self, request: Request, verdict: str) -> None:
        key = request.klass, request.tenant if request.message.owner else NO_TENANT
        self.requests[key] += 1
        if verdict.endswith(" refused"):
            self.refused[key] += 1

    # output

    def tags(self, key: Tags) -> str:
        """The formatted tags; names come from the settings alone, which bounds their number."""
        if key not in self.seen:
            pairs = [("class", self.conf.classes[key[0]].name)]
            if self.conf.tenants:
                pairs.append(("tenant", self.conf.tenants[key[1]] if key[1] != NO_TENANT else "-"))
            self.seen[key] = self.form.tags(pairs)
        return self.seen[key]

    def timer(self, key: Tags) -> tuple[str, str]:
        before, _, after = self.form.line("latency_ms", "\0", "ms", self.tags(key)).partition("\0")
        self.timers[key] = before, after
        return before, after

    def add(self, line: bytes) -> None:
        if len(self.batch) + len(line) > self.settings.batch_bytes:
            self.send()
        self.batch += line

    def send(self) -> None:
        if self.batch:
            self.sink.put(bytes(self.batch))
            self.batch.clear()

    def flush(self) -> None:
        """Send counters, gauges and the remaining timers."""
        inflight = Counter(
            (t.klass, t.tenant if t.message.owner else NO_TENANT)
            for t in self.transactions.values()
            if not t.over
        )
        for name, sums in (("requests", self.requests), ("refused", self.refused)):
            for key, count in sums.items():
                self.add(self.form.line(name, count, "c", self.tags(key)).encode())
            sums.clear()
        for key in inflight:
            self.tags(key)
        for key, tags in self.seen.items():
            self.add(self.form.line("inflight", inflight[key], "g", tags).encode())
        for source in self.also:
            for name, count, kind, pairs in source():
                self.add(self.form.line(name, count, kind, self.form.tags(pairs)).encode())
        self.add(self.form.line("figures_dropped", self.sink.dropped, "g", "").encode())
        self.send()

    def tick(self) -> None:
        """Flush and schedule the next flush; a late flush delays the following ones."""
        self.due += self.settings.flush_ms
        if self.due <= self.clock():
            self.due = self.clock() + self.settings.flush_ms
        self.limit = self.deadlines.add(self.due, self.tick)
        self.flush()

    def close(self) -> None:
        self.deadlines.remove(self.limit)
        self.flush()
