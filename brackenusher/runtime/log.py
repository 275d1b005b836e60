"""The daemon's log: one event name and named fields for each thing that happens, whatever the format.

As text a line is worded for people, and the formatting is the standard library's own; as logfmt or JSON it
carries the same event and fields for programs. structlog is imported only where one of those two is asked
for.
"""

import logging
from collections.abc import MutableMapping
from typing import Any

FORMATS = ("text", "logfmt", "json")
TEXT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
LONGEST = 1000  # characters of a field: what comes from outside must not swell the log
UNNAMED = "note"  # the event of a line that a library logged in its own words


class LogFormatError(ValueError):
    """The format cannot be had."""


def say(log: logging.Logger, level: int, event: str, text: str, /, **fields: Any) -> None:
    """Log that something happened. `text` words it and names fields as `%(name)s`.

    The event is a name in lower case with underscores, the same wherever the thing happens.
    """
    if log.isEnabledFor(level):
        log.log(level, text, *((fields,) if fields else ()), extra={"event": event}, stacklevel=2)


def fault(log: logging.Logger, event: str, text: str, /, **fields: Any) -> None:
    """Log an exception that is being handled, with its trace."""
    if log.isEnabledFor(logging.ERROR):
        arguments = (fields,) if fields else ()
        log.log(logging.ERROR, text, *arguments, exc_info=True, extra={"event": event}, stacklevel=2)


def plain(value: object) -> Any:
    if isinstance(value, bool | int | float) or value is None:
        return value
    return str(value)[:LONGEST]


def take_form(form: str) -> None:
    """Have every line written in a format from now on. Raises LogFormatError without structlog."""
    if form == "text":
        return
    try:
        from structlog import processors, stdlib
    except ImportError as error:
        raise LogFormatError(f"{form} needs structlog: pip install 'brackenusher[log]'") from error

    def word(_: Any, __: str, given: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        record: logging.LogRecord = given["_record"]
        event, fields = getattr(record, "event", None), given["positional_args"]
        if event is None:  # a library's own words
            event, fields = UNNAMED, {"text": given["event"]}
        line = {"timestamp": given["timestamp"], "level": record.levelname.lower(), "logger": record.name}
        line["event"] = event
        line |= {name: plain(value) for name, value in fields.items()} if fields else {}
        if "exception" in given:
            line["exception"] = given["exception"]
        return line

    render = processors.JSONRenderer() if form == "json" else processors.LogfmtRenderer(bool_as_flag=False)
    formatter = stdlib.ProcessorFormatter(
        foreign_pre_chain=[processors.TimeStamper(fmt="iso", utc=True), processors.format_exc_info],
        processors=[word, render],
        pass_foreign_args=True,
    )
    for handler in logging.getLogger().handlers:
        handler.setFormatter(formatter)
