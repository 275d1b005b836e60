"""Structured logging of proxies and control nodes, on absl.logging: key=value lines on standard error.

The set-up function is called once at start; until then, and in tests, the standard library's loggers are
unchanged. Modules log through `logging.getLogger(__name__)` with messages of the form "what happened: key=%s
other=%d", whose keys become fields. Each event is rate limited, since writing is expensive on a small
machine; the next line of the event says how many were suppressed. Values are quoted and escaped, so that none
can break a line or add a field.
"""

import logging
import re
import time
from collections.abc import Callable
from pathlib import PurePath
from types import TracebackType

BURST_LINES = 20  # per event
LINES_PER_S = 1.0  # per event, after the burst
MAX_TRACKED_EVENTS = 256  # each with a limit of its own; all others share one
MAX_VALUE_CHARACTERS = 300
MAX_TRACE_FRAMES = 6  # innermost frames of a traceback
OTHER_EVENTS = "(other)"
LEVELS = ("debug", "info", "warning", "error")

_TEMPLATE = re.compile(
    r"(?:event=(?P<word>\w+)|(?P<event>[^=%]+?):?)(?: (?P<fields>\w+=%[a-z](?:[ ,;]+\w+=%[a-z])*))?"
)
_FIELD = re.compile(r"(\w+)=%[a-z]")
_PLAIN = re.compile(r"[!#-<>-\[\]-~]+")  # no space, quote, equals sign or backslash


def configure_logging(role: str, level: str = "info") -> None:
    """Route all logging of this process to standard error through absl.logging. `level` is one of LEVELS."""
    from absl import flags  # imported here: tests and commands do not need it
    from absl import logging as absl_logging

    flags.FLAGS.mark_as_parsed()  # absl's own flags are not used: all keep their defaults
    handler = absl_logging.get_absl_handler().python_handler
    handler.setFormatter(EventFormatter(role))
    handler.addFilter(RateLimitFilter())
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)


class EventFormatter(logging.Formatter):
    """Formats a record as one line of key=value fields."""

    def __init__(self, role: str) -> None:
        super().__init__()
        self.role = role

    def format(self, record: logging.LogRecord) -> str:
        """The line: time, level, role, module, event, then the fields of the message."""
        fields: list[tuple[str, object]] = [
            ("time", _timestamp(record.created)),
            ("level", record.levelname.lower()),
            ("role", self.role),
            ("module", record.name.removeprefix("brackenusher.")),
            *event_fields(record),
        ]
        suppressed = getattr(record, "suppressed", 0)
        if suppressed:
            fields.append(("suppressed", suppressed))
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            fields.append(("exception", f"{type(error).__name__}: {error}"))
            fields.append(("trace", _trace(record.exc_info[2])))
        return " ".join(f"{key}={quote(value)}" for key, value in fields)


def event_fields(record: logging.LogRecord) -> list[tuple[str, object]]:
    """The event and fields of a record; a message without the usual form becomes the event as a whole."""
    template, arguments = str(record.msg), record.args
    match = _TEMPLATE.fullmatch(template)
    if match is not None and isinstance(arguments, tuple):
        keys = _FIELD.findall(match["fields"] or "")
        if len(keys) == len(arguments):
            return [("event", match["word"] or match["event"]), *zip(keys, arguments, strict=True)]
    return [("event", record.getMessage())]


def quote(value: object) -> str:
    """A value as one token: truncated if too long, quoted and escaped if it is not plain."""
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if _PLAIN.fullmatch(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(c if c.isprintable() else _escape(c) for c in escaped) + '"'


def _escape(character: str) -> str:
    return character.encode("unicode_escape").decode("ascii")


def _timestamp(seconds: float) -> str:
    date = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{date}.{int(seconds * 1000) % 1000:03d}Z"


def _trace(traceback: TracebackType | None) -> str:
    frames = []
    while traceback is not None:
        name = PurePath(traceback.tb_frame.f_code.co_filename).name
        frames.append(f"{name}:{traceback.tb_lineno}")
        traceback = traceback.tb_next
    return "<".join(reversed(frames[-MAX_TRACE_FRAMES:]))


class _TokenBucket:
    """Token bucket of one event."""

    __slots__ = ("tokens", "refilled_at", "suppressed")

    def __init__(self, now: float) -> None:
        self.tokens, self.refilled_at, self.suppressed = float(BURST_LINES), now, 0

    def take(self, now: float) -> bool:
        self.tokens = min(float(BURST_LINES), self.tokens + (now - self.refilled_at) * LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class RateLimitFilter(logging.Filter):
    """Rate limits each event; its next line carries the number of suppressed ones."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self._buckets: dict[str, _TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether to write this record."""
        now = self.clock()
        key = f"{record.name} {record.msg}"
        if key not in self._buckets and len(self._buckets) >= MAX_TRACKED_EVENTS:
            key = OTHER_EVENTS
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = _TokenBucket(now)
        if not bucket.take(now):
            return False
        record.suppressed, bucket.suppressed = bucket.suppressed, 0
        return True
