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
from brackenusher.config.platform import Config
from brackenusher.core.admission import Request
from brackenusher.core.message import Message
from brackenusher.core.transaction import Answer, Failed, Refused, Served, Transaction
from brackenusher.runtime.outlet import Outlet, write_all, write_stderr

ROOM = 256 * 1024  # bytes waiting to be written
MOST_OPEN = 1000  # requests whose line is not written yet
MOST_WAITING = 500  # timers and probes waiting for the next line; while none is written, they decide nothing
MOST_ON_A_LINE = 100
LONGEST_TEXT = 64  # of a value chosen by a client
PLAIN = re.compile(rb"[A-Za-z0-9_.+=@-]{1,64}\Z")
WORD = rb"[A-Za-z0-9_.+=@][A-Za-z0-9_.+=@-]{0,63}"
ALL_PLAIN = re.compile(rb"(?!list )%s %s k=%s %s\Z" % (WORD, WORD, WORD, WORD))
KEY = re.compile(rb"[?&]k=([^&#]{0,65})")
HEALTH = {face.State.LIVE: "ready", face.State.DRAINING: "draining", face.State.GONE: "gone"}
OUTCOMES = {outcome: outcome.value for outcome in face.Outcome}
ANSWERS = {Served: "served", Refused: "refused", Failed: "failed", type(None): "left"}
HEAD = "# "
FORM = 1  # version of the line format


def escape(text: bytes | None, safe: str = "") -> str:
    """Client text, escaped so that it cannot end or forge a line, and cut at 64 bytes; "-" if absent."""
    if not text:
        return "-" if text is None else "%"
    if PLAIN.match(text) and text not in (b"-", b"list"):
        return text.decode()
    cut = quote(text[:LONGEST_TEXT], safe=safe).replace("~", "%7E")
    if cut in ("-", "list"):
        cut = "".join(f"%{byte:02X}" for byte in text)
    return cut + "~" * (len(text) > LONGEST_TEXT)


def module_digest() -> str:
    """A digest of the balancer's source code, to recognize another version of it."""
    texts = [Path(str(part.__file__)).read_bytes() for part in (brain, state)]
    texts.append(
        Path(str(brain.__file__)).with_name("knowledge.py").read_bytes()
    )  # weighs the evidence of other proxies
    return hashlib.sha256(b"".join(texts)).hexdigest()[:16]


def columns(name: bytes, klass: str, message: Message) -> str:
    """The columns of a line that describe the request."""
    key = KEY.search(message.target)
    if key and message.owner and message.deadline:
        words = b"%s %s k=%s %s" % (name, message.owner, key[1], message.deadline)
        if ALL_PLAIN.match(words):  # fast path of nearly all requests: one match instead of one per column
            plain, _, rest = words.decode().partition(" ")
            return f"{plain} {klass} {rest}"
    about = escape(key[1], "%/") if key else "-"
    return f"{escape(name)} {klass} {escape(message.owner)} k={about} {escape(message.deadline)}"


def charged(message: Message) -> str:
    """The rate limiter's pair on a request's line: when and under which key it was charged."""
    if message.charged is None:
        return ""
    return f" door={message.charged[1]!r},{quote(message.charged[0], safe='')}"


class Ring:
    """A ring of files in a folder; the oldest is overwritten first."""

    def __init__(self, settings: CaptureSettings) -> None:
        folder = Path(settings.folder or ".")
        folder.mkdir(parents=True, exist_ok=True)
        self.paths = [folder / f"capture-{n}.log" for n in range(settings.files)]
        self.ages = [self.count(path) for path in self.paths]
        self.file = max(self.ages)  # files started so far, across restarts
        self.fd = -1
        self.next()

    @staticmethod
    def count(path: Path) -> int:
        """The sequence number in a file's header; 0, the oldest, if the file or its header is missing."""
        try:
            with path.open("rb") as file:
                return int(ujson.loads(file.readline(1024 * 1024)[len(HEAD) :])["file"])
        except (OSError, ValueError, KeyError, TypeError):
            return 0

    def next(self) -> None:
        """Start over the oldest file; called by the writer thread, except for the first time."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
        at = self.ages.index(min(self.ages))
        self.file += 1
        self.ages[at] = self.file
        self.fd = os.open(self.paths[at], os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640)

    def write(self, pieces: list[bytes]) -> None:
        """Write whole lines; truncates the file to its former size if they cannot be written in full."""
        end = os.fstat(self.fd).st_size
        try:
            write_all(self.fd, b"".join(pieces))
        except OSError:
            os.ftruncate(self.fd, end)
            os.lseek(self.fd, end, os.SEEK_SET)
            raise


class Record:
    """A request whose line is not written yet."""

    __slots__ = (
        "transaction",
        "number",
        "now",
        "event",
        "tries",
        "out",
        "final",
        "by",
        "left",
        "closed",
        "answer",
    )

    def __init__(self, transaction: Transaction, number: int, now: float, event: face.Arrived) -> None:
        self.transaction, self.number, self.now, self.event = transaction, number, now, event
        self.tries: list[Try] = []
        self.out, self.final, self.by, self.left = 0, "", "", ""
        self.closed, self.answer = False, ""

    def decision(self) -> str:
        """The final decision, as it is written on the line."""
        if self.final:
            return self.final
        if not self.tries:
            return "hold -"
        host = self.tries[-1].host
        for attempt in self.tries:  # prefer the attempt that served the request
            if attempt.end is not None and attempt.end.outcome is face.Outcome.SERVED:
                host = attempt.host
        return "forward " + host


class Try:
    """One attempt of a request."""

    __slots__ = ("host", "chosen", "number", "now", "end")

    def __init__(self, host: str, chosen: int) -> None:
        self.host, self.chosen, self.number, self.now = host, chosen, 0, 0.0
        self.end: face.Finished | None = None

    def words(self) -> str:
        if self.end is None:
            return f" try={self.host},{self.chosen}"
        done = ",complete" if self.end.complete else ""
        about = f"{self.chosen},{self.number},{self.now!r},{OUTCOMES[self.end.outcome]},{self.end.elapsed!r}"
        return f" try={self.host},{about}{done}"


class Capture:
    """Records the events passed to the balancer and its decisions."""

    def __init__(
        self,
        settings: CaptureSettings,
        outlet: Outlet,
        transactions: Mapping[int, Transaction],
        config: Config,
        began: float,
    ) -> None:
        self.transactions, self.classes = (
            transactions,
            [quote(c.name, safe="") for c in config.settings.classes],
        )
        self.ring = Ring(settings) if settings.folder else None
        self.channel = outlet.channel(self.ring.write if self.ring else write_stderr, ROOM)
        self.most = settings.file_kb * 1024 if self.ring else 0
        self.base = {"capture": FORM, "version": __version__, "module": module_digest()}
        self.tail = {"seed": f"{config.seed:x}", "began": repr(began), "settings": config.worded}
        self.open: dict[int, Record] = {}
        self.hosts: dict[str, str] = {}  # escaped names, by name
        self.standing: dict[str, str] = {}  # the current server list: each host's line without its number
        self.timers: deque[str] = deque(maxlen=MOST_WAITING)  # events of no request go out with the next line
        self.probes: deque[str] = deque(maxlen=MOST_WAITING)
        self.serial = self.event = self.left_out = 0
        self.file = self.ring.file if self.ring else 0
        self.space = self.most
        self.space -= self.put(self.head())

    # output

    @property
    def dropped(self) -> int:
        """Records that could not be written."""
        return self.left_out + self.channel.dropped

    def head(self) -> bytes:
        """The header of a file, with which it can be read without the others."""
        facts = {"file": self.file, "n": self.serial, "event": self.event, "dropped": self.dropped}
        lines = [HEAD + ujson.dumps(self.base | facts | self.tail, escape_forward_slashes=False)]
        lines += [f"{line} standing=1" for line in self.standing.values()]
        return ("\n".join(lines) + "\n").encode()

    def put(self, data: bytes) -> int:
        return len(data) if self.channel.put(data) else 0

    def write(self, line: str) -> None:
        """Write a line, to the next file if this one is full."""
        data, ring = f"{line} n={self.serial + 1}\n".encode(), self.ring
        head = self.head() if ring and len(data) > self.space else b""
        self.serial += 1
        if ring and head:
            if not self.channel.fits(len(head) + len(data)):
                self.left_out += 1
                return
            self.channel.flush(ring.next)
            self.file += 1
            self.space = self.most - self.put(head)
        self.space -= self.put(data)

    def close(self) -> None:
        """Write the lines of requests that are still open."""
        for record in self.open.values():
            self.emit(record)
        self.open.clear()

    # observer interface

    def answered(self, transaction: Transaction, answer: Answer | None) -> None:
        record = self.open.get(transaction.id)
        if record is not None:
            record.answer = ANSWERS[type(answer)]
            if record.closed and not record.out:
                self.settle(record)

    def turned_away(self, request: Request, verdict: str) -> None:
        self.event += 1
        words = columns(request.name, self.classes[request.klass], request.message)
        self.write(f"{words} {verdict}{charged(request.message)} event={self.event}")

    def handled(self, now: float, event: face.Event, actions: Sequence[face.Action]) -> None:
        self.event += 1
        number = self.event
        if isinstance(event, face.TimerDue):
            self.timers.append(f"{number},{now!r},{event.token}")
        elif isinstance(event, face.ListChanged):
            self.listed(number, now, event)
        elif isinstance(event, face.Probed):
            report = ",".join(f"{name}:{value!r}" for name, value in (event.report or {}).items())
            about = f"{number},{now!r},{quote(event.backend)},{OUTCOMES[event.outcome]},{event.elapsed!r}"
            self.probes.append(f"{about},{report}")
        elif isinstance(event, face.Told):
            words = (f"{quote(w.backend)},{w.started!r},{w.slower!r},{w.weight!r}" for w in event.hearsay)
            self.write(f"list 0 - told at={number},{now!r} told={';'.join(words)}")
        elif isinstance(event, face.Arrived):
            self.arrived(number, now, event)
        elif isinstance(event, (face.Finished, face.Left)):
            self.changed(number, now, event)
        for action in actions:
            if isinstance(action, face.Send):
                record = self.open.get(action.request)
                if record is not None:
                    record.tries.append(Try(self.host(action.backend), number))
                    record.out += 1
            elif isinstance(action, face.Refuse):
                self.given_up(action.request, f"refuse {action.retry_after:.3f}", number)
            elif isinstance(action, face.Fail):
                self.given_up(action.request, "fail -", number)

    def given_up(self, request: int, decision: str, number: int) -> None:
        """The balancer refused or failed a request."""
        record = self.open.get(request)
        if record is not None:
            record.final, record.by, record.closed = decision, f" by={number}", True

    def host(self, backend: str) -> str:
        """A host's name, escaped as on the lines of the server list."""
        return self.hosts.get(backend) or quote(backend)

    def arrived(self, number: int, now: float, event: face.Arrived) -> None:
        if len(self.open) >= MOST_OPEN:
            self.emit(self.open.pop(next(iter(self.open))))
        transaction = self.transactions.get(event.request)
        if transaction is not None:
            self.open[event.request] = Record(transaction, number, now, event)

    def changed(self, number: int, now: float, event: face.Finished | face.Left) -> None:
        """An attempt has ended, or the client has disconnected."""
        record = self.open.get(event.request)
        if record is None:
            return
        if isinstance(event, face.Finished):
            attempt = record.tries[event.attempt]
            attempt.number, attempt.now, attempt.end = number, now, event
            record.out -= 1
            record.closed = record.closed or event.complete
        else:
            record.left, record.closed = f" left={number},{now!r}", True
        if record.closed and record.answer and not record.out:
            self.settle(record)

    def listed(self, number: int, now: float, event: face.ListChanged) -> None:
        """Write a line for each entry, or one for an empty list."""
        scope, many = event.scope.value, len(event.entries)
        if event.scope is face.ListScope.COMPLETE:
            self.standing.clear()
            self.hosts.clear()
        for place, entry in enumerate(event.entries, 1):
            host = self.hosts[entry.backend] = quote(entry.backend)
            line = f"list {event.version} {host} {HEALTH[entry.state]}"
            line += f" entry={entry.started!r},{entry.cell},{entry.zone},{entry.kind}"
            if entry.state is face.State.GONE:
                self.standing.pop(host, None)
                self.hosts.pop(entry.backend)
            else:
                self.standing[host] = line
            self.write(f"{line} at={number},{now!r} scope={scope} part={place}/{many}")
        if not event.entries:
            self.write(f"list {event.version} - - at={number},{now!r} scope={scope} part=0/0")

    def settle(self, record: Record) -> None:
        """Write the line of a request that no further event can concern."""
        del self.open[record.event.request]
        self.emit(record)

    def emit(self, record: Record) -> None:
        """Write a request's line, with timers and probes since the last one."""
        event, transaction = record.event, record.transaction
        words = columns(transaction.name, self.classes[event.klass], transaction.message)
        about = f"{event.request},{event.klass},{event.tenant},{event.repeated:d},{event.deadline!r}"
        line = f"{words} {record.decision()} {record.answer or 'open'} at={record.number},{record.now!r}"
        if event.bound is not None:
            about += f" bound={quote(event.bound)},{event.window_end!r}"
        line += f" req={about}{charged(transaction.message)}{record.by}{record.left}"
        for attempt in record.tries:
            line += attempt.words()
        for name, waiting in (("timers", self.timers), ("probes", self.probes)):
            if waiting:
                count = min(len(waiting), MOST_ON_A_LINE)
                line += f" {name}={';'.join(waiting.popleft() for _ in range(count))}"
        self.write(line)
