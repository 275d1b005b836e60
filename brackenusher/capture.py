"""Capture: one line for each change of the list and for each request, with all that a replay needs.

A line's first words are the operators': what came, what was decided, what came of it. After them stand
name=value pairs for the replay. Every event that the module is told has a number, its clock time and a place
on exactly one line, so that a missing line shows as a gap in the numbers.
"""

import hashlib
import os
import re
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

import ujson

from barleybarrow import brain
from barleybarrow import interface as face
from brackenusher import __version__
from brackenusher.flow import Message
from brackenusher.outlet import Outlet, to_stderr, write_whole
from brackenusher.transaction import Answer, Failed, Refused, Served, Transaction
from brackenusher.virtual_server import Request

ROOM = 256 * 1024  # bytes that wait to be written
MOST_OPEN = 1000  # requests whose line is not finished
MOST_WAITING = 500  # timers and probes that wait for a line; where none comes, they decided on nothing
MOST_ON_A_LINE = 100
LONGEST_TEXT = 64  # of what a client words
PLAIN = re.compile(rb"[A-Za-z0-9_.+=@-]{1,64}\Z")
KEY = re.compile(rb"[?&]k=([^&#]{0,65})")
HEALTH = {face.State.LIVE: "ready", face.State.DRAINING: "draining", face.State.GONE: "gone"}
OUTCOMES = {outcome: outcome.value for outcome in face.Outcome}
ANSWERS = {Served: "served", Refused: "refused", Failed: "failed", type(None): "left"}
HEAD = "# "
FORM = 1  # of the lines; another form gets another number


@dataclass(frozen=True)
class CaptureSettings:
    """Where the records go: without a folder, to standard error."""

    folder: str | None = None
    files: int = 8
    file_kb: int = 512


def escape(text: bytes | None, safe: str = "") -> str:
    """Words of a client that can neither end a line nor pass for another one, cut at 64 bytes; - for none."""
    if not text:
        return "-" if text is None else "%"
    if PLAIN.match(text) and text not in (b"-", b"list"):
        return text.decode()
    cut = quote(text[:LONGEST_TEXT], safe=safe).replace("~", "%7E")
    if cut in ("-", "list"):
        cut = "".join(f"%{byte:02X}" for byte in text)
    return cut + "~" * (len(text) > LONGEST_TEXT)


def module_digest() -> str:
    """Tells one text of the module from another."""
    return hashlib.sha256(Path(brain.__file__).read_bytes()).hexdigest()[:16]


def columns(name: bytes, klass: str, message: Message) -> str:
    """The request's part of its line."""
    key = KEY.search(message.target)
    about = escape(key[1], "%/") if key else "-"
    owner, span = escape(message.owner), escape(message.deadline)
    return f"{escape(name)} {klass} {owner} k={about} {span}"


def charged(message: Message) -> str:
    """The door's part of a request's line."""
    if message.charged is None:
        return ""
    return f" door={message.charged[1]!r},{quote(message.charged[0], safe='')}"


class Ring:
    """The files of a folder, written one after the other; the oldest is overwritten first."""

    def __init__(self, settings: CaptureSettings) -> None:
        folder = Path(settings.folder)
        folder.mkdir(parents=True, exist_ok=True)
        self.paths = [folder / f"capture-{n}.log" for n in range(settings.files)]
        counts = [self.count(path) for path in self.paths]
        self.file = max(counts) + 1  # counts the files ever begun, over restarts too
        self.at = counts.index(min(counts))
        self.fd = -1
        self.open()

    @staticmethod
    def count(path: Path) -> int:
        """What a file's head says of its age; one that is not there, or has no head, is the oldest."""
        try:
            with path.open("rb") as file:
                return int(ujson.loads(file.readline(1024 * 1024)[len(HEAD) :])["file"])
        except (OSError, ValueError, KeyError, TypeError):
            return 0

    def open(self) -> None:
        self.fd = os.open(self.paths[self.at], os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o640)

    def next(self) -> None:
        """Go on to the file that is the oldest now; called by the writer."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
        self.at = (self.at + 1) % len(self.paths)
        self.open()

    def write(self, pieces: list[bytes]) -> None:
        """Write whole lines, or nothing of what could not be written whole."""
        end = os.fstat(self.fd).st_size
        try:
            write_whole(self.fd, b"".join(pieces))
        except OSError:
            os.ftruncate(self.fd, end)
            os.lseek(self.fd, end, os.SEEK_SET)
            raise


class Record:
    """A request's line as it comes about."""

    __slots__ = ("columns", "notes", "tries", "ends", "out", "final", "closed", "answer")

    def __init__(self, columns: str, notes: str) -> None:
        self.columns, self.notes = columns, notes
        self.tries: list[str] = []  # host and number of the event on which it was chosen
        self.ends: dict[int, str] = {}
        self.out, self.final, self.closed, self.answer = 0, "", False, ""

    def words(self) -> str:
        """The decision and the outcome."""
        if self.final:
            decision = self.final
        else:  # the one that served it; else the last
            host = next((self.tries[n] for n, end in self.ends.items() if ",served," in end), None)
            host = host or (self.tries[-1] if self.tries else None)
            decision = "forward " + host.partition(",")[0] if host else "hold -"
        return f"{decision} {self.answer or 'open'}"


class Capture:
    """Looks on, and writes down what the module was told and what it decided."""

    def __init__(
        self,
        settings: CaptureSettings,
        outlet: Outlet,
        conf: face.Settings,
        worded: dict[str, Any],
        seed: int,
        began: float,
    ) -> None:
        self.classes = [quote(c.name, safe="") for c in conf.classes]
        self.ring = Ring(settings) if settings.folder else None
        self.channel = outlet.channel(self.ring.write if self.ring else to_stderr, ROOM)
        self.most = settings.file_kb * 1024 if self.ring else 0
        self.base = {"capture": FORM, "version": __version__, "module": module_digest()}
        self.tail = {"seed": f"{seed:x}", "began": repr(began), "settings": worded}
        self.open: dict[int, Record] = {}
        self.standing: dict[str, str] = {}  # the list as it stands: each host's line, less its number
        self.timers: deque[str] = deque(maxlen=MOST_WAITING)  # what is no request's waits for a line
        self.probes: deque[str] = deque(maxlen=MOST_WAITING)
        self.serial = self.event = self.left_out = 0
        self.file = self.ring.file if self.ring else 0
        self.space = self.most
        self.space -= self.put(self.head())

    # writing

    @property
    def dropped(self) -> int:
        """Records that could not be written."""
        return self.left_out + self.channel.dropped

    def head(self) -> bytes:
        """What a file begins with, so that it can be read without the others."""
        facts = {"file": self.file, "n": self.serial, "event": self.event, "dropped": self.dropped}
        lines = [HEAD + ujson.dumps(self.base | facts | self.tail, escape_forward_slashes=False)]
        lines += [f"{line} standing=1" for line in self.standing.values()]
        return ("\n".join(lines) + "\n").encode()

    def put(self, data: bytes) -> int:
        return len(data) if self.channel.put(data) else 0

    def write(self, line: str) -> None:
        """Write a record, on the next file if this one has no space for it."""
        data = f"{line} n={self.serial + 1}\n".encode()
        head = self.head() if self.ring and len(data) > self.space else b""
        self.serial += 1
        if head:
            if not self.channel.fits(len(head) + len(data)):
                self.left_out += 1
                return
            self.channel.flush(self.ring.next)
            self.file += 1
            self.space = self.most - self.put(head)
        self.space -= self.put(data)

    def close(self) -> None:
        """Write down what is open still."""
        for record in self.open.values():
            self.emit(record)
        self.open.clear()

    # observing

    def arrived(self, transaction: Transaction) -> None:
        if len(self.open) >= MOST_OPEN:
            self.emit(self.open.pop(next(iter(self.open))))
        message, klass = transaction.message, self.classes[transaction.klass]
        self.open[transaction.id] = Record(columns(transaction.name, klass, message), charged(message))

    def answered(self, transaction: Transaction, answer: Answer | None) -> None:
        record = self.open.get(transaction.id)
        if record is not None:
            record.answer = ANSWERS[type(answer)]
            self.settle(transaction.id, record)

    def turned_away(self, request: Request, verdict: str) -> None:
        self.event += 1
        words = columns(request.name, self.classes[request.klass], request.message)
        self.write(f"{words} {verdict}{charged(request.message)} event={self.event}")

    def handled(self, now: float, event: face.Event, actions: Sequence[face.Action]) -> None:
        self.event += 1
        number, kind = self.event, type(event)
        record = self.open.get(getattr(event, "request", -1))
        if kind is face.TimerDue:
            self.timers.append(f"{number},{now!r},{event.token}")
        elif kind is face.ListChanged:
            self.listed(number, now, event)
        elif kind is face.Probed:
            report = ",".join(f"{name}:{value!r}" for name, value in (event.report or {}).items())
            about = f"{number},{now!r},{quote(event.backend)},{OUTCOMES[event.outcome]},{event.elapsed!r}"
            self.probes.append(f"{about},{report}")
        elif record is None:
            pass
        elif kind is face.Finished:
            done = "" if not event.complete else ",complete"
            record.out -= 1
            record.ends[event.attempt] = f"{number},{now!r},{OUTCOMES[event.outcome]},{event.elapsed!r}{done}"
            record.closed = record.closed or event.complete
        elif kind is face.Arrived:
            about = f"{event.klass},{event.tenant},{event.repeated:d},{event.deadline!r}"
            record.notes = f" at={number},{now!r} req={event.request},{about}{record.notes}"
        elif kind is face.Left:
            record.closed = True
            record.notes += f" left={number},{now!r}"
        for action in actions:
            self.acted(number, action)
        if record is not None:
            self.settle(event.request, record)

    def acted(self, number: int, action: face.Action) -> None:
        """Note what the module decided on some request."""
        kind = type(action)
        if kind is face.Send:
            record = self.open.get(action.request)
            if record is not None:
                record.tries.append(f"{quote(action.backend)},{number}")
                record.out += 1
        elif kind is face.Refuse or kind is face.Fail:
            record = self.open.get(action.request)
            if record is not None:
                record.final = f"refuse {action.retry_after:.3f}" if kind is face.Refuse else "fail -"
                record.notes += f" by={number}"
                record.closed = True

    def listed(self, number: int, now: float, event: face.ListChanged) -> None:
        """A line for each entry; one for a list without any."""
        scope, many = event.scope.value, len(event.entries)
        if event.scope is face.ListScope.COMPLETE:
            self.standing.clear()
        for place, entry in enumerate(event.entries, 1):
            host = quote(entry.backend)
            line = f"list {event.version} {host} {HEALTH[entry.state]}"
            line += f" entry={entry.started!r},{entry.cell},{entry.zone},{entry.kind}"
            if entry.state is face.State.GONE:
                self.standing.pop(host, None)
            else:
                self.standing[host] = line
            self.write(f"{line} at={number},{now!r} scope={scope} part={place}/{many}")
        if not event.entries:
            self.write(f"list {event.version} - - at={number},{now!r} scope={scope} part=0/0")

    def settle(self, request: int, record: Record) -> None:
        """Write a line once nothing more can come for it."""
        if record.closed and record.answer and not record.out:
            del self.open[request]
            self.emit(record)

    def emit(self, record: Record) -> None:
        """Write a request's line, with what happened since the last one."""
        line = f"{record.columns} {record.words()}{record.notes}"
        for n, tried in enumerate(record.tries):
            line += f" try={tried},{record.ends[n]}" if n in record.ends else f" try={tried}"
        for name, waiting in (("timers", self.timers), ("probes", self.probes)):
            if waiting:
                count = min(len(waiting), MOST_ON_A_LINE)
                line += f" {name}={';'.join(waiting.popleft() for _ in range(count))}"
        self.write(line)
