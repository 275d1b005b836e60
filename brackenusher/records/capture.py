"""Capture: one line per request and per change of the server list, with all inputs that a replay needs.

The first words of a line are for operators: the request, the decision and its outcome. They are followed by
name=value pairs for the replay. Every event passed to the balancer has a number and its clock time, and is on
exactly one line, so that a missing line shows as a gap in the numbers.
"""

import hashlib
import os
import re
from collections import deque
from collections.abc import Mapping, Sequence
from pathlib import Path
from urllib.parse import quote

import ujson

from barleybarrow import brain, state
from barleybarrow import interface as face
from brackenusher import __version__
from brackenusher.config.operators import CaptureSettings
from brackenusher.config.platform import PlatformConfig
from brackenusher.core.admission import Request
from brackenusher.core.message import Message
from brackenusher.core.transaction import Answer, Failed, Refused, Served, Transaction
from brackenusher.runtime.outlet import LineWriter, write_all, write_stderr

QUEUE_BYTES = 256 * 1024  # waiting to be written
MAX_OPEN_REQUESTS = 1000  # requests whose line is not written yet
MAX_PENDING_EVENTS = 500  # timers or probes waiting for a line; those without one decided nothing
MAX_EVENTS_PER_LINE = 100
MAX_TEXT_BYTES = 64  # of a value sent_number by a client
PLAIN_TEXT = re.compile(rb"[A-Za-z0-9_.+=@-]{1,64}\Z")
PLAIN_WORD = rb"[A-Za-z0-9_.+=@][A-Za-z0-9_.+=@-]{0,63}"
PLAIN_COLUMNS = re.compile(rb"(?!list )%s %s k=%s %s\Z" % (PLAIN_WORD, PLAIN_WORD, PLAIN_WORD, PLAIN_WORD))
KEY_PARAMETER = re.compile(rb"[?&]k=([^&#]{0,65})")
STATE_NAMES = {face.State.LIVE: "ready", face.State.DRAINING: "draining", face.State.GONE: "gone"}
OUTCOME_NAMES = {outcome: outcome.value for outcome in face.Outcome}
RESULT_NAMES = {Served: "served", Refused: "refused", Failed: "failed", type(None): "left"}
HEADER_PREFIX = "# "
FORMAT_VERSION = 1  # version of the line format


def escape(text: bytes | None, safe: str = "") -> str:
    """Client text, escaped so that it cannot end or forge a line, and cut at 64 bytes; "-" if absent."""
    if not text:
        return "-" if text is None else "%"
    if PLAIN_TEXT.match(text) and text not in (b"-", b"list"):
        return text.decode()
    escaped = quote(text[:MAX_TEXT_BYTES], safe=safe).replace("~", "%7E")
    if escaped in ("-", "list"):
        escaped = "".join(f"%{byte:02X}" for byte in text)
    return escaped + "~" * (len(text) > MAX_TEXT_BYTES)


def source_digest() -> str:
    """A digest of the balancer's source code, to recognize another version of it."""
    texts = [Path(str(module.__file__)).read_bytes() for module in (brain, state)]
    # knowledge.py weighs the evidence of other proxies
    texts.append(Path(str(brain.__file__)).with_name("knowledge.py").read_bytes())
    return hashlib.sha256(b"".join(texts)).hexdigest()[:16]


def request_columns(id_text: bytes, class_name: str, message: Message) -> str:
    """The columns of a line that describe the request."""
    key = KEY_PARAMETER.search(message.target)
    if key and message.owner and message.deadline:
        plain_columns = b"%s %s k=%s %s" % (id_text, message.owner, key[1], message.deadline)
        if PLAIN_COLUMNS.match(plain_columns):  # fast path for nearly all requests: one match for all columns
            request_id, _, remaining_columns = plain_columns.decode().partition(" ")
            return f"{request_id} {class_name} {remaining_columns}"
    escaped_key = escape(key[1], "%/") if key else "-"
    return (
        f"{escape(id_text)} {class_name} {escape(message.owner)} k={escaped_key} {escape(message.deadline)}"
    )


def charge_pair(message: Message) -> str:
    """The rate limiter's pair on a request's line: when and under which key it was charged."""
    if message.rate_limit_charge is None:
        return ""
    return f" door={message.rate_limit_charge[1]!r},{quote(message.rate_limit_charge[0], safe='')}"


class FileRing:
    """A ring of files in a folder; the oldest is overwritten first."""

    def __init__(self, settings: CaptureSettings) -> None:
        folder = Path(settings.folder or ".")
        folder.mkdir(parents=True, exist_ok=True)
        self.paths = [folder / f"capture-{n}.log" for n in range(settings.files)]
        self.sequences = [self.read_sequence(path) for path in self.paths]
        self.sequence = max(self.sequences)  # files started so far, across restarts
        self.fd = -1
        self.start_next_file()

    @staticmethod
    def read_sequence(path: Path) -> int:
        """The sequence number in a file's header; 0, the oldest, if the file or its header is missing."""
        try:
            with path.open("rb") as file:
                return int(ujson.loads(file.readline(1024 * 1024)[len(HEADER_PREFIX) :])["file"])
        except (OSError, ValueError, KeyError, TypeError):
            return 0

    def start_next_file(self) -> None:
        """Start over the oldest file; called by the writer thread, except for the first time."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
        oldest = self.sequences.index(min(self.sequences))
        self.sequence += 1
        self.sequences[oldest] = self.sequence
        self.fd = os.open(self.paths[oldest], os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640)

    def write(self, chunks: list[bytes]) -> None:
        """Write whole lines; truncates the file to its former size if they cannot be written in full."""
        end = os.fstat(self.fd).st_size
        try:
            write_all(self.fd, b"".join(chunks))
        except OSError:
            os.ftruncate(self.fd, end)
            os.lseek(self.fd, end, os.SEEK_SET)
            raise


class RequestRecord:
    """A request whose line is not written yet."""

    __slots__ = (
        "transaction",
        "event_number",
        "arrived_at",
        "arrival",
        "attempts",
        "in_flight",
        "rejection",
        "by_pair",
        "left_pair",
        "closed",
        "result",
    )

    def __init__(self, transaction: Transaction, number: int, now: float, event: face.Arrived) -> None:
        self.transaction, self.event_number, self.arrived_at, self.arrival = transaction, number, now, event
        self.attempts: list[AttemptRecord] = []
        self.in_flight, self.rejection, self.by_pair, self.left_pair = 0, "", "", ""
        self.closed, self.result = False, ""

    def decision(self) -> str:
        """The final decision, as it is written on the line."""
        if self.rejection:
            return self.rejection
        if not self.attempts:
            return "hold -"
        host = self.attempts[-1].host
        for attempt in self.attempts:  # prefer the attempt that served the request
            if attempt.finished is not None and attempt.finished.outcome is face.Outcome.SERVED:
                host = attempt.host
        return "forward " + host


class AttemptRecord:
    """One attempt of a request."""

    __slots__ = ("host", "sent_number", "end_number", "ended_at", "finished")

    def __init__(self, host: str, sent_number: int) -> None:
        self.host, self.sent_number, self.end_number, self.ended_at = host, sent_number, 0, 0.0
        self.finished: face.Finished | None = None

    def pair(self) -> str:
        if self.finished is None:
            return f" try={self.host},{self.sent_number}"
        complete = ",complete" if self.finished.complete else ""
        fields = (
            f"{self.sent_number},{self.end_number},{self.ended_at!r},"
            f"{OUTCOME_NAMES[self.finished.outcome]},{self.finished.elapsed!r}"
        )
        return f" try={self.host},{fields}{complete}"


class Capture:
    """Records the events passed to the balancer and its decisions."""

    def __init__(
        self,
        settings: CaptureSettings,
        writer: LineWriter,
        transactions: Mapping[int, Transaction],
        config: PlatformConfig,
        started_at: float,
    ) -> None:
        self.transactions, self.class_names = (
            transactions,
            [quote(c.name, safe="") for c in config.settings.classes],
        )
        self.ring = FileRing(settings) if settings.folder else None
        self.channel = writer.open_channel(self.ring.write if self.ring else write_stderr, QUEUE_BYTES)
        self.file_bytes = settings.file_kb * 1024 if self.ring else 0
        self.static_header = {"capture": FORMAT_VERSION, "version": __version__, "module": source_digest()}
        self.run_header = {
            "seed": f"{config.seed:x}",
            "began": repr(started_at),
            "settings": config.raw_settings,
        }
        self.open_records: dict[int, RequestRecord] = {}
        self.escaped_hosts: dict[str, str] = {}  # escaped names, by name
        self.server_lines: dict[str, str] = {}  # the current server list: each host's line without its number
        # events without a request are written with the next line
        self.timers: deque[str] = deque(maxlen=MAX_PENDING_EVENTS)
        self.probes: deque[str] = deque(maxlen=MAX_PENDING_EVENTS)
        self.line_count = self.event_count = self.omitted_lines = 0
        self.file_sequence = self.ring.sequence if self.ring else 0
        self.free_bytes = self.file_bytes
        self.free_bytes -= self.put(self.header())

    # output

    @property
    def dropped(self) -> int:
        """The number of lines that could not be written."""
        return self.omitted_lines + self.channel.dropped

    def header(self) -> bytes:
        """The header of a file, with which it can be read without the others."""
        position = {
            "file": self.file_sequence,
            "n": self.line_count,
            "event": self.event_count,
            "dropped": self.dropped,
        }
        lines = [
            HEADER_PREFIX
            + ujson.dumps(self.static_header | position | self.run_header, escape_forward_slashes=False)
        ]
        lines += [f"{line} standing=1" for line in self.server_lines.values()]
        return ("\n".join(lines) + "\n").encode()

    def put(self, data: bytes) -> int:
        return len(data) if self.channel.put(data) else 0

    def write(self, line: str) -> None:
        """Write a line, to the next file if this one is full."""
        data, ring = f"{line} n={self.line_count + 1}\n".encode(), self.ring
        header = self.header() if ring and len(data) > self.free_bytes else b""
        self.line_count += 1
        if ring and header:
            if not self.channel.fits(len(header) + len(data)):
                self.omitted_lines += 1
                return
            self.channel.flush(ring.start_next_file)
            self.file_sequence += 1
            self.free_bytes = self.file_bytes - self.put(header)
        self.free_bytes -= self.put(data)

    def close(self) -> None:
        """Write the lines of requests that are still open."""
        for record in self.open_records.values():
            self.write_record(record)
        self.open_records.clear()

    # observer interface

    def on_answer(self, transaction: Transaction, answer: Answer | None) -> None:
        record = self.open_records.get(transaction.id)
        if record is not None:
            record.result = RESULT_NAMES[type(answer)]
            if record.closed and not record.in_flight:
                self.finish(record)

    def on_denial(self, request: Request, verdict: str) -> None:
        self.event_count += 1
        columns = request_columns(request.request_id, self.class_names[request.class_index], request.message)
        self.write(f"{columns} {verdict}{charge_pair(request.message)} event={self.event_count}")

    def on_event(self, now: float, event: face.Event, actions: Sequence[face.Action]) -> None:
        self.event_count += 1
        number = self.event_count
        if isinstance(event, face.TimerDue):
            self.timers.append(f"{number},{now!r},{event.token}")
        elif isinstance(event, face.ListChanged):
            self.record_list(number, now, event)
        elif isinstance(event, face.Probed):
            report = ",".join(f"{name}:{value!r}" for name, value in (event.report or {}).items())
            fields = (
                f"{number},{now!r},{quote(event.backend)},{OUTCOME_NAMES[event.outcome]},{event.elapsed!r}"
            )
            self.probes.append(f"{fields},{report}")
        elif isinstance(event, face.Told):
            evidence = (f"{quote(w.backend)},{w.started!r},{w.slower!r},{w.weight!r}" for w in event.hearsay)
            self.write(f"list 0 - told at={number},{now!r} told={';'.join(evidence)}")
        elif isinstance(event, face.Arrived):
            self.record_arrival(number, now, event)
        elif isinstance(event, (face.Finished, face.Left)):
            self.record_end(number, now, event)
        for action in actions:
            if isinstance(action, face.Send):
                record = self.open_records.get(action.request)
                if record is not None:
                    record.attempts.append(AttemptRecord(self.escape_host(action.backend), number))
                    record.in_flight += 1
            elif isinstance(action, face.Refuse):
                self.reject(action.request, f"refuse {action.retry_after:.3f}", number)
            elif isinstance(action, face.Fail):
                self.reject(action.request, "fail -", number)

    def reject(self, request: int, decision: str, number: int) -> None:
        """The balancer refused or failed a request."""
        record = self.open_records.get(request)
        if record is not None:
            record.rejection, record.by_pair, record.closed = decision, f" by={number}", True

    def escape_host(self, backend: str) -> str:
        """A host's name, escaped as on the lines of the server list."""
        return self.escaped_hosts.get(backend) or quote(backend)

    def record_arrival(self, number: int, now: float, event: face.Arrived) -> None:
        if len(self.open_records) >= MAX_OPEN_REQUESTS:
            self.write_record(self.open_records.pop(next(iter(self.open_records))))
        transaction = self.transactions.get(event.request)
        if transaction is not None:
            self.open_records[event.request] = RequestRecord(transaction, number, now, event)

    def record_end(self, number: int, now: float, event: face.Finished | face.Left) -> None:
        """An attempt has ended, or the client has disconnected."""
        record = self.open_records.get(event.request)
        if record is None:
            return
        if isinstance(event, face.Finished):
            attempt = record.attempts[event.attempt]
            attempt.end_number, attempt.ended_at, attempt.finished = number, now, event
            record.in_flight -= 1
            record.closed = record.closed or event.complete
        else:
            record.left_pair, record.closed = f" left={number},{now!r}", True
        if record.closed and record.result and not record.in_flight:
            self.finish(record)

    def record_list(self, number: int, now: float, event: face.ListChanged) -> None:
        """Write a line for each entry, or one for an empty list."""
        scope, entry_count = event.scope.value, len(event.entries)
        if event.scope is face.ListScope.COMPLETE:
            self.server_lines.clear()
            self.escaped_hosts.clear()
        for position, entry in enumerate(event.entries, 1):
            host = self.escaped_hosts[entry.backend] = quote(entry.backend)
            line = f"list {event.version} {host} {STATE_NAMES[entry.state]}"
            line += f" entry={entry.started!r},{entry.cell},{entry.zone},{entry.kind}"
            if entry.state is face.State.GONE:
                self.server_lines.pop(host, None)
                self.escaped_hosts.pop(entry.backend)
            else:
                self.server_lines[host] = line
            self.write(f"{line} at={number},{now!r} scope={scope} part={position}/{entry_count}")
        if not event.entries:
            self.write(f"list {event.version} - - at={number},{now!r} scope={scope} part=0/0")

    def finish(self, record: RequestRecord) -> None:
        """Write the line of a request that no further event can concern."""
        del self.open_records[record.arrival.request]
        self.write_record(record)

    def write_record(self, record: RequestRecord) -> None:
        """Write a request's line, with timers and probes since the last one."""
        event, transaction = record.arrival, record.transaction
        columns = request_columns(transaction.request_id, self.class_names[event.klass], transaction.message)
        fields = f"{event.request},{event.klass},{event.tenant},{event.repeated:d},{event.deadline!r}"
        line = (
            f"{columns} {record.decision()} {record.result or 'open'} "
            f"at={record.event_number},{record.arrived_at!r}"
        )
        if event.bound is not None:
            fields += f" bound={quote(event.bound)},{event.window_end!r}"
        line += f" req={fields}{charge_pair(transaction.message)}{record.by_pair}{record.left_pair}"
        for attempt in record.attempts:
            line += attempt.pair()
        for name, pending in (("timers", self.timers), ("probes", self.probes)):
            if pending:
                count = min(len(pending), MAX_EVENTS_PER_LINE)
                line += f" {name}={';'.join(pending.popleft() for _ in range(count))}"
        self.write(line)
