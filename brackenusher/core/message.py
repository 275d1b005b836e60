"""What clients ask and pool members answer: values that every front can fill. Nothing here reads a wire."""

from collections.abc import Sequence
from dataclasses import dataclass

LONGEST_BODY = 64 * 1024  # bytes, of a request or an answer: a turn or a board is far smaller


@dataclass(slots=True)
class Message:
    """A request as it is passed on; names of headers are in lower case."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    owner: bytes | None = None  # Req-Owner and Req-Deadline, as the client worded them
    deadline: bytes | None = None
    charged: tuple[str, float] | None = None  # to whose bucket at the door, and when


@dataclass(slots=True)
class Content:
    """What a pool member answered."""

    body: bytes
    kind: bytes | None = None  # of its media, and how that is coded: as Content-Type and Content-Encoding say
    coding: bytes | None = None
