"""Structured logging of the daemon: each record has an event name and named fields, whatever the format.

The text format is the standard library's, with a message for people; logfmt and JSON carry the same event and
fields for programs. structlog is imported only for these two.
"""

import logging
from collections.abc import MutableMapping
from typing import Any

FORMATS = ("text", "logfmt", "json")
TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
MAX_FIELD_CHARACTERS = 1000  # bounds what clients and peers can add to the log
UNNAMED_EVENT = "note"  # event of records logged by libraries, which have none


class LogFormatError(ValueError):
    """The log format is not available."""


def log_event(log: logging.Logger, level: int, event: str, text: str, /, **fields: Any) -> None:
    """Log an event. `text` is the message for people and refers to fields as `%(name)s`.

    The event is in snake case, and the same wherever it occurs.
    """
    if log.isEnabledFor(level):
        log.log(level, text, *((fields,) if fields else ()), extra={"event": event}, stacklevel=2)


def log_exception(log: logging.Logger, event: str, text: str, /, **fields: Any) -> None:
    """Log the exception being handled, with its traceback."""
    if log.isEnabledFor(logging.ERROR):
        arguments = (fields,) if fields else ()
        log.log(logging.ERROR, text, *arguments, exc_info=True, extra={"event": event}, stacklevel=2)


def field_value(value: object) -> Any:
    if isinstance(value, bool | int | float) or value is None:
        return value
    return str(value)[:MAX_FIELD_CHARACTERS]


def set_format(log_format: str) -> None:
    """Write all records in this format from now on. Raises LogFormatError if structlog is missing."""
    if log_format == "text":
        return
    try:
        from structlog import processors, stdlib
    except ImportError as error:
        raise LogFormatError(f"{log_format} needs structlog: pip install 'brackenusher[log]'") from error

    def build_line(_: Any, __: str, event_dict: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        record: logging.LogRecord = event_dict["_record"]
        event, fields = getattr(record, "event", None), event_dict["positional_args"]
        if event is None:  # logged by a library
            event, fields = UNNAMED_EVENT, {"text": event_dict["event"]}
        line = {
            "timestamp": event_dict["timestamp"],
            "level": record.levelname.lower(),
            "logger": record.name,
        }
        line["event"] = event
        line |= {name: field_value(value) for name, value in fields.items()} if fields else {}
        if "exception" in event_dict:
            line["exception"] = event_dict["exception"]
        return line

    render = (
        processors.JSONRenderer() if log_format == "json" else processors.LogfmtRenderer(bool_as_flag=False)
    )
    formatter = stdlib.ProcessorFormatter(
        foreign_pre_chain=[processors.TimeStamper(fmt="iso", utc=True), processors.format_exc_info],
        processors=[build_line, render],
        pass_foreign_args=True,
    )
    for handler in logging.getLogger().handlers:
        handler.setFormatter(formatter)
