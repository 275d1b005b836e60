"""What clients ask and pool members answer: values that every front can fill. Nothing here reads a wire."""

from collections.abc import Sequence
from dataclasses import dataclass

from brackenusher.core.pipe import Pipe

LONGEST_BODY = 64 * 1024  # bytes of a request or an answer that is passed on whole: most are far smaller
LONGEST_PASSED = 32 * 1024 * 1024  # bytes of one that is passed on in pieces


@dataclass(slots=True)
class Message:
    """A request as it is passed on; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    owner: bytes | None = None  # Req-Owner and Req-Deadline, as the client worded them
    deadline: bytes | None = None
    streams: bool = False  # whether its client can be given an answer in pieces
    rest: Pipe | None = None  # what comes of the body after `body`, in pieces
    length: int | None = None  # of the whole body, where that is known and `rest` is there
    partly_sent: bool = False  # something of `rest` was passed on: it cannot be sent again
    charged: tuple[str, float] | None = None  # to whose bucket at the door, and when


@dataclass(slots=True)
class Content:
    """What a pool member answered."""

    body: bytes
    kind: bytes | None = None  # of its media, and how that is coded: as Content-Type and Content-Encoding say
    coding: bytes | None = None
    rest: Pipe | None = None  # all of it, in pieces, where it is too long to be passed on whole
    length: int | None = None  # of that, where it is known
