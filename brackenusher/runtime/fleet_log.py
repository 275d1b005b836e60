"""Log lines of the fleet's processes, on absl.logging: one event a line, key=value, to standard error.

`set_up` is called once at start; until then, and in tests, the standard library's loggers do as they always
do. Modules log through `logging.getLogger(__name__)` with messages of the form "what happened: key=%s
other=%d": they come out as fields. Each event is bounded in its rate, since writing takes time on a small
machine; how many lines were left out is told with the next one. No value can break a line or add a field:
it is quoted and escaped.
"""

import logging
import re
import time
from collections.abc import Callable
from pathlib import PurePath
from types import TracebackType

BURST = 20  # lines of one event at once
LINES_PER_S = 1.0  # of one event, after the burst
MAX_EVENTS = 256  # tracked apart; all others share one bound
LONGEST_VALUE = 300  # characters
FRAMES_SHOWN = 6  # of a traceback, the innermost
OTHER = "(other)"
LEVELS = ("debug", "info", "warning", "error")

_TEMPLATE = re.compile(
    r"(?:event=(?P<word>\w+)|(?P<event>[^=%]+?):?)(?: (?P<fields>\w+=%[a-z](?:[ ,;]+\w+=%[a-z])*))?"
)
_FIELD = re.compile(r"(\w+)=%[a-z]")
_PLAIN = re.compile(r"[!#-<>-\[\]-~]+")  # no blank, quote, equals sign or backslash


def set_up(role: str, level: str = "info") -> None:
    """Send all log lines of this process to standard error by absl.logging. The level is one of LEVELS."""
    from absl import flags  # here: tests and commands need none of it
    from absl import logging as absl_logging

    flags.FLAGS.mark_as_parsed()  # the flags of absl are not ours: all stay as they are
    handler = absl_logging.get_absl_handler().python_handler
    handler.setFormatter(EventFormatter(role))
    handler.addFilter(RateBound())
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)


class EventFormatter(logging.Formatter):
    """A record as one line of fields."""

    def __init__(self, role: str) -> None:
        super().__init__()
        self.role = role

    def format(self, record: logging.LogRecord) -> str:
        """time, level, role, module, event, then the fields of the message."""
        fields: list[tuple[str, object]] = [
            ("time", _timestamp(record.created)),
            ("level", record.levelname.lower()),
            ("role", self.role),
            ("module", record.name.removeprefix("brackenusher.")),
            *fields_of(record),
        ]
        suppressed = getattr(record, "suppressed", 0)
        if suppressed:
            fields.append(("suppressed", suppressed))
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            fields.append(("exception", f"{type(error).__name__}: {error}"))
            fields.append(("trace", _trace(record.exc_info[2])))
        return " ".join(f"{key}={quote(value)}" for key, value in fields)


def fields_of(record: logging.LogRecord) -> list[tuple[str, object]]:
    """The event and the fields of a record, by the template of its message where that has the usual form."""
    template, arguments = str(record.msg), record.args
    match = _TEMPLATE.fullmatch(template)
    if match is not None and isinstance(arguments, tuple):
        keys = _FIELD.findall(match["fields"] or "")
        if len(keys) == len(arguments):
            return [("event", match["word"] or match["event"]), *zip(keys, arguments, strict=True)]
    return [("event", record.getMessage())]


def quote(value: object) -> str:
    """A value as one word: quoted and escaped where it is not plain already, and cut where it is long."""
    text = str(value)
    if len(text) > LONGEST_VALUE:
        text = text[:LONGEST_VALUE] + "..."
    if _PLAIN.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(c if c.isprintable() else _escape(c) for c in escaped) + '"'


def _escape(character: str) -> str:
    return character.encode("unicode_escape").decode("ascii")


def _timestamp(seconds: float) -> str:
    whole = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole}.{int(seconds * 1000) % 1000:03d}Z"


def _trace(traceback: TracebackType | None) -> str:
    frames = []
    while traceback is not None:
        name = PurePath(traceback.tb_frame.f_code.co_filename).name
        frames.append(f"{name}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return "<".join(reversed(frames[-FRAMES_SHOWN:]))


class _Allowance:
    """How many lines of one event may still be written."""

    __slots__ = ("left", "at", "suppressed")

    def __init__(self, now: float) -> None:
        self.left, self.at, self.suppressed = float(BURST), now, 0

    def take(self, now: float) -> bool:
        self.left = min(float(BURST), self.left + (now - self.at) * LINES_PER_S)
        self.at = now
        if self.left < 1.0:
            self.suppressed += 1
            return False
        self.left -= 1.0
        return True


class RateBound(logging.Filter):
    """Lets each event through at a bounded rate; the next line tells how many were left out."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self._allowances: dict[str, _Allowance] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether this record is written."""
        now = self.clock()
        key = f"{record.name} {record.msg}"
        if key not in self._allowances and len(self._allowances) >= MAX_EVENTS:
            key = OTHER
        allowance = self._allowances.get(key)
        if allowance is None:
            allowance = self._allowances[key] = _Allowance(now)
        if not allowance.take(now):
            return False
        record.suppressed, allowance.suppressed = allowance.suppressed, 0
        return True
