"""Per-stream state, events and counters of an HTTP/2 connection, and adapters for h2; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from h2.connection import H2Connection
from hpack import Decoder, HeaderTuple

from brackenusher.core.admission import Request
from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES
from brackenusher.fronts.http import Headers
from brackenusher.fronts.http2.heads import (
    RequestHead,
)

CLOSED_STREAM_HISTORY = 1024  # closed streams whose state h2 remembers; its default of 65,536 would take 6 MB


@dataclass(slots=True)
class RequestReady:
    """A request is complete; the connection expects exactly one answer for it."""

    stream_id: int
    request: Request


@dataclass(slots=True)
class StreamAborted:
    """A stream whose request was reported ended early, by a client reset or a client error."""

    stream_id: int


class StreamState(Enum):
    RECEIVING = 1
    PROCESSING = 2
    SENDING = 3


@dataclass(slots=True)
class Counters:
    """Counters over all connections."""

    streams: int = 0
    refused: int = 0  # streams reset as not processed: stream limit, memory limit, shutdown
    reset: int = 0  # reset by clients before the response was sent
    stalled: int = 0  # responses dropped as the client did not read them in time, or for memory
    timed_out: int = 0  # requests that were not complete in time
    floods: int = 0  # connections closed for too many frames that request nothing
    errors: int = 0  # connections closed for other errors


class MemoryBudget:
    """Memory used for bodies and responses over all connections, with its limit."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used, self.peak = limit, 0, 0
        # reserved for bodies; the rest is left to new streams
        self.reserved, self.reservation_limit = 0, max(limit * 3 // 4, MAX_BUFFERED_BODY_BYTES)

    def add(self, size: int) -> None:
        self.used += size
        self.peak = max(self.peak, self.used)


@dataclass(slots=True, eq=False)
class Stream:
    """An open stream."""

    id: int
    phase_started_at: float  # when the head arrived, or when the response was ready
    urgency: int
    head: RequestHead | None = None
    state: StreamState = StreamState.RECEIVING
    input_ended: bool = False  # the client has sent END_STREAM
    body: bytearray = field(default_factory=bytearray)
    charged: int = 0  # bytes charged for it
    unreturned_window: int = 0  # bytes received and not yet returned to its window
    body_reserved: bool = False  # memory is reserved for its whole body
    reserved: int = 0  # bytes reserved for the body while it is received
    unsent: memoryview = memoryview(b"")  # the part of the response not sent yet
    malformed: bool = False  # malformed: further frames are a protocol error


class RawHeaderDecoder(Decoder):
    """Hides header lists from h2, which would close the connection for one stream's malformed head."""

    headers: Headers = ()

    def decode(self, data: bytes, raw: bool = False) -> Iterable[HeaderTuple]:
        self.headers = tuple((bytes(name), bytes(value)) for name, value in super().decode(data, raw=True))
        return []


class H2ServerConnection(H2Connection):
    MAX_CLOSED_STREAMS = CLOSED_STREAM_HISTORY
