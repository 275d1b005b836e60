"""Wire format between proxies: evidence, and the frames of requests and replies over TCP.

A frame is a length of four bytes, big-endian, and a sealed body of at most 1 MiB. A request carries a random
nonce which its reply repeats, so that a replayed reply is rejected. No I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import fields
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from barleybarrow.knowledge import Evidence, InvalidEvidenceError
from brackenusher.membership.seal import FRAME, SealError, seal, unseal

MOST_FRAME = 1024 * 1024  # bytes; 1,024 pieces of evidence take about 100 KB
MAX_REPLY_RECORDS = 1024  # encoding them takes about 10 ms, during which the event loop is blocked
MAX_RECORD_BYTES = 1024  # usually about 120

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Nonce = Annotated[int, Meta(ge=0)]
Record = Annotated[bytes, Meta(max_length=MAX_RECORD_BYTES)]


class FrameError(ValueError):
    """The frame is invalid, or is not a reply to the request."""


class Piece(Struct, array_like=True, frozen=True):
    """Evidence with an age in milliseconds instead of a time; later versions may append fields."""

    backend: Name
    born: float
    origin: Name
    epoch: Number
    serial: Number
    age: Annotated[float, Meta(ge=0)]
    slower: float
    weight: float
    failing: float
    limit: float
    warm: float
    answered: float
    failed: float
    silent: float


class Asked(Struct, array_like=True, frozen=True, tag="ask"):
    """Requests the evidence that a proxy holds."""

    nonce: Nonce
    max_records: Annotated[int, Meta(ge=0)] = MAX_REPLY_RECORDS


class Told(Struct, array_like=True, frozen=True, tag="told"):
    """Reply with evidence."""

    nonce: Nonce
    name: Name
    epoch: Number
    records: Annotated[list[Record], Meta(max_length=MAX_REPLY_RECORDS)] = []


class MembersRequest(Struct, array_like=True, frozen=True, tag="who"):
    """Requests the member list and the state of the group as the proxy sees it."""

    nonce: Nonce


class MemberStatus(Struct, array_like=True, frozen=True):
    """One member or joiner as the replying proxy sees it."""

    name: Name
    life: Number
    host: str
    port: int
    belongs: bool
    state: int
    link: str  # "both", "in" (receives from it, but no answers), "none", "new" (not tried yet)
    since_answer_ms: float  # below zero: it has never answered


class Members(Struct, array_like=True, frozen=True, tag="members"):
    """Reply with the member list."""

    nonce: Nonce
    name: Name
    life: Number
    group: Number
    number: Number
    cut_off: bool
    stalled: bool
    flaps: int
    lines: Annotated[list[MemberStatus], Meta(max_length=2048)] = []
    counts: dict[str, int] = {}


class Open(Struct, array_like=True, frozen=True, tag="open"):
    """Opens a stream: the sender, how often its store was opened (0: it has none), and its incarnation."""

    name: Name
    lives: Number
    run: Number = 0


class Opened(Struct, array_like=True, frozen=True, tag="opened"):
    """Accepts a stream: an id that each frame repeats, and the highest store count known of the opener."""

    number: bytes
    lives: Number


class Wish(Struct, array_like=True, frozen=True, tag="wish"):
    """An administrator's request to the group's policy."""

    nonce: Nonce
    verb: str
    number: Number = 0
    id: str = ""
    who: str = ""
    why: str = ""
    at: float = 0.0
    text: str = ""


class Granted(Struct, array_like=True, frozen=True, tag="granted"):
    """Its result: JSON, or the reason for a refusal."""

    nonce: Nonce
    good: bool
    body: bytes


Frame = Asked | Told | MembersRequest | Members | Open | Opened | Wish | Granted
ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER = msgspec.msgpack.Decoder(Piece)
FRAME_DECODER = msgspec.msgpack.Decoder(Frame)
AFTER_SERIAL = [f.name for f in fields(Evidence)][6:]  # copied unchanged into the record


def encode(e: Evidence, now: float) -> bytes:
    rest = (getattr(e, name) for name in AFTER_SERIAL)
    piece = Piece(e.backend, e.born, e.origin, e.epoch, e.serial, max(0.0, now - e.at), *rest)
    return ENCODER.encode(piece)


def decode(record: bytes, now: float) -> Evidence:
    """Raises InvalidEvidenceError if it can't be decoded; values are validated when it is merged."""
    if len(record) > MAX_RECORD_BYTES:
        raise InvalidEvidenceError(f"record of {len(record)} bytes is over {MAX_RECORD_BYTES}")
    try:
        p = RECORD_DECODER.decode(record)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEvidenceError("record can't be decoded") from error
    rest = (getattr(p, name) for name in AFTER_SERIAL)
    return Evidence(p.backend, p.born, p.origin, p.epoch, p.serial, now - p.age, *rest)


def pack(message: Frame, key: bytes, kid: str) -> bytes:
    """Seal a message and prepend its length."""
    body = seal(key, kid, FRAME, ENCODER.encode(message))
    return len(body).to_bytes(4, "big") + body


def unpack(keys: Mapping[str, bytes], body: bytes) -> Frame:
    """Verify and decode the body of a frame. Raises FrameError."""
    try:
        return FRAME_DECODER.decode(unseal(keys, FRAME, body))
    except (SealError, msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameError(str(error)) from error


class Reader:
    """Reads the single frame of a connection within a bounded buffer."""

    def __init__(self, most: int = MOST_FRAME) -> None:
        self.max_bytes, self.buffer = most, bytearray()

    def feed(self, data: bytes | memoryview) -> bytes | None:
        """Return the body once complete. Raises FrameError if it is too long or followed by more data."""
        self.buffer += data[: self.max_bytes + 5 - len(self.buffer)]
        if len(self.buffer) < 4:
            return None
        length = int.from_bytes(self.buffer[:4], "big")
        if length > self.max_bytes:
            raise FrameError(f"frame of {length} bytes is over {self.max_bytes}")
        if len(self.buffer) > 4 + length:
            raise FrameError("more than one frame")
        return bytes(self.buffer[4:]) if len(self.buffer) == 4 + length else None


def most_informative(held: Iterable[Evidence], now: float, most: int = MAX_REPLY_RECORDS) -> list[Evidence]:
    """The evidence most useful to a starting proxy: far from the median, of high weight and recent."""
    ranked = sorted(
        held, key=lambda e: (abs(e.slower) + e.failing + 0.01) * e.remaining_weight(now), reverse=True
    )
    return ranked[:most]
