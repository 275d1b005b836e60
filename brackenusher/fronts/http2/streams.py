"""What a connection keeps of its streams, and the events that it gives; nothing here reads or writes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from h2.connection import H2Connection
from hpack import Decoder, HeaderTuple

from brackenusher.core.admission import Request
from brackenusher.core.message import LONGEST_BODY
from brackenusher.fronts.http import Headers
from brackenusher.fronts.http2.heads import (
    Head,
)

MOST_CLOSED = 1024  # streams that h2 remembers for telling how they ended: its 65,536 would take 6 MB


@dataclass(slots=True)
class Asked:
    """A request has come whole; `Connection.answer` is to be called once."""

    stream: int
    request: Request


@dataclass(slots=True)
class Gone:
    """The client, or a fault of its own, ended a stream whose request was handed out."""

    stream: int


class State(Enum):
    COMING = 1
    ASKED = 2
    SENDING = 3


@dataclass(slots=True)
class Counts:
    """What became of streams and connections, over all connections."""

    streams: int = 0
    refused: int = 0  # streams told that they never ran: too many, no room, the end
    reset: int = 0  # by their clients, before their answer was sent; also before they were taken
    stuck: int = 0  # answers dropped, as the client did not take them in time or others needed the room
    late: int = 0  # requests that did not come whole in time
    floods: int = 0  # connections ended for what asks for nothing
    faults: int = 0  # connections ended for other errors


class Held:
    """Bytes of bodies and answers that are held, over all connections; `most` is their bound."""

    def __init__(self, most: int) -> None:
        self.most, self.size, self.peak = most, 0, 0
        self.aside, self.most_aside = (
            0,
            max(most * 3 // 4, LONGEST_BODY),
        )  # for bodies; the rest for new streams

    def add(self, size: int) -> None:
        self.size += size
        self.peak = max(self.peak, self.size)


@dataclass(slots=True, eq=False)
class Stream:
    """An open stream."""

    id: int
    since: float  # its head came; or, once it sends, its answer was there
    urgency: int
    head: Head | None = None
    state: State = State.COMING
    ended: bool = False  # the client has sent its last byte of it
    body: bytearray = field(default_factory=bytearray)
    held: int = 0  # bytes counted for it
    owed: int = 0  # bytes taken, for which its window was not opened again
    roomy: bool = False  # there is room for its whole body
    aside: int = 0  # bytes set aside for that, while it comes
    answer: memoryview = memoryview(b"")  # what is still to be sent
    fault: bool = False  # malformed: what it sends still is a protocol error


class Reader(Decoder):
    """Keeps the header list from h2, which would end the connection for one stream's malformed head."""

    block: Headers = ()

    def decode(self, data: bytes, raw: bool = False) -> Iterable[HeaderTuple]:
        self.block = tuple((bytes(name), bytes(value)) for name, value in super().decode(data, raw=True))
        return []


class Library(H2Connection):
    MAX_CLOSED_STREAMS = MOST_CLOSED
