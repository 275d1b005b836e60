"""Requests and responses as values, independent of the protocol of the front end."""

from collections.abc import Sequence
from dataclasses import dataclass

from brackenusher.core.pipe import Pipe

# of a request or response that is forwarded in one piece; most are far smaller
MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024  # of one that is streamed


@dataclass(slots=True)
class Message:
    """A request to be forwarded; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    owner: bytes | None = None  # Req-Owner and Req-Deadline, as the client sent them
    deadline: bytes | None = None
    accepts_stream: bool = False  # whether its client accepts a streamed response
    body_pipe: Pipe | None = None  # what follows of the body after `body`
    length: int | None = None  # of the whole body, if known and the body is streamed
    partly_sent: bool = False  # part of the streamed body was forwarded: the request cannot be sent again
    rate_limit_charge: tuple[str, float] | None = None  # key of the rate limiter's bucket, and time


@dataclass(slots=True)
class Content:
    """The content of a pool member's response."""

    body: bytes
    content_type: bytes | None = None  # Content-Type; the next one is Content-Encoding
    content_encoding: bytes | None = None
    body_pipe: Pipe | None = None  # the whole body, if it is streamed
    length: int | None = None  # of the streamed body, if known
