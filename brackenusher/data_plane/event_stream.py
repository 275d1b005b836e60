"""Whole events of a `text/event-stream` body. Events are cut out, never changed; no sockets here."""

import re
from typing import NamedTuple

END_OF_EVENT = re.compile(rb"\n\r?\n")
ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES = 1024 * 1024  # a torn event is held in memory; no engine sends one as large


class StreamEvent(NamedTuple):
    """One event: its bytes with the empty line at its end, and its id if it names one."""

    data: bytes
    id: str | None


class EventTooLargeError(Exception):
    """An event exceeds `MAX_EVENT_BYTES`; the stream has to be treated as broken."""


class EventSplitter:
    """Cuts a stream of bytes into events; keeps what is torn until the rest has come."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """The events that are whole now. Raises EventTooLargeError."""
        pending = self._rest + data if self._rest else data
        events = []
        start = 0
        for match in END_OF_EVENT.finditer(pending):
            block = pending[start : match.end()]
            start = match.end()
            found = ID_LINE.search(block)
            events.append(StreamEvent(block, found.group(1).decode("latin-1") if found else None))
        self._rest = pending[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return events

    def rest(self) -> bytes:
        """What came after the last whole event."""
        return self._rest


class StreamPosition:
    """How far a stream has reached its client, and so which events of a resumed run are still wanted."""

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id  # of the last event that was passed on, or that the client named
        self._counts_by_one = False

    def advance(self, event_id: str | None) -> None:
        """An event was passed on."""
        if event_id is None:
            return
        before, after = as_number(self.last_id), as_number(event_id)
        self._counts_by_one = before is not None and after == before + 1
        self.last_id = event_id

    def is_repeat(self, event_id: str | None) -> bool:
        """Whether the client has this event already."""
        before, after = as_number(self.last_id), as_number(event_id)
        return before is not None and after is not None and after <= before

    def is_gap(self, event_id: str | None) -> bool:
        """Whether events are missing before this one; told only where ids have counted up by one so far."""
        before, after = as_number(self.last_id), as_number(event_id)
        return self._counts_by_one and before is not None and after is not None and after > before + 1


def as_number(event_id: str | None) -> int | None:
    """An event's id as a whole number, or None."""
    return int(event_id) if event_id is not None and event_id.isascii() and event_id.isdigit() else None
