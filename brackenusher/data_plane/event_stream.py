"""Splits a `text/event-stream` body into complete events, without changing them. Does no I/O."""

import re
from typing import NamedTuple

EVENT_END = re.compile(rb"\n\r?\n")
ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# What may follow the last event: blank lines and comments. Lines may end with CRLF, LF or CR.
LINES_BETWEEN_EVENTS = re.compile(rb"(?:(?::[^\r\n]*)?(?:\r\n|\n|\r(?!\n)))*")
BLANK_LINE_OF_CR = b"\r\r"
MAX_EVENT_BYTES = 1024 * 1024  # an incomplete event is buffered; no engine sends one as large


class StreamEvent(NamedTuple):
    """One event: its bytes including the blank line at its end, and its id if it has one."""

    data: bytes
    id: str | None


class EventTooLargeError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`; the stream has to be treated as broken off."""


class EventSplitter:
    """Splits a byte stream into events; buffers an incomplete one until its end arrives."""

    def __init__(self) -> None:
        self._remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that these bytes complete. Raises EventTooLargeError."""
        pending = self._remainder + data if self._remainder else data
        events = []
        start = 0
        for match in EVENT_END.finditer(pending):
            event_bytes = pending[start : match.end()]
            start = match.end()
            id_match = ID_LINE.search(event_bytes)
            events.append(StreamEvent(event_bytes, id_match.group(1).decode("latin-1") if id_match else None))
        self._remainder = pending[start:]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return events

    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._remainder

    def ends_inside_event(self) -> bool:
        """Whether the last event lacks the blank line that ends it (HTML standard, 9.2.6: it is no event)."""
        last_blank_line = self._remainder.rfind(BLANK_LINE_OF_CR)
        start = 0 if last_blank_line < 0 else last_blank_line + len(BLANK_LINE_OF_CR)
        return LINES_BETWEEN_EVENTS.fullmatch(self._remainder, start) is None


class StreamPosition:
    """The client's position in a stream, which tells what to forward when another server resumes it."""

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id  # of the last event forwarded, or from the client's Last-Event-ID
        self._ids_sequential = False

    def advance(self, event_id: str | None) -> None:
        """Record that an event was forwarded."""
        if event_id is None:
            return
        previous_id, current_id = numeric_id(self.last_id), numeric_id(event_id)
        self._ids_sequential = previous_id is not None and current_id == previous_id + 1
        self.last_id = event_id

    def is_duplicate(self, event_id: str | None) -> bool:
        """Whether the client already has this event."""
        previous_id, current_id = numeric_id(self.last_id), numeric_id(event_id)
        return previous_id is not None and current_id is not None and current_id <= previous_id

    def is_gap(self, event_id: str | None) -> bool:
        """Whether events are missing before this one; known only while ids increase by one."""
        previous_id, current_id = numeric_id(self.last_id), numeric_id(event_id)
        return (
            self._ids_sequential
            and previous_id is not None
            and current_id is not None
            and current_id > previous_id + 1
        )


def numeric_id(event_id: str | None) -> int | None:
    """An event's id as an integer, or None."""
    return int(event_id) if event_id is not None and event_id.isascii() and event_id.isdigit() else None
