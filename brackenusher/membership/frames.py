"""What proxies tell each other, in bytes: evidence, and the frames that a starting proxy asks for it with.

A frame is four bytes of length, greatest first, and a sealed body of at most 1 MiB. A question carries a
random number, which its answer repeats, so that an old answer counts for nothing. It knows no socket.
"""

from collections.abc import Iterable, Mapping
from dataclasses import fields
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from barleybarrow.knowledge import Evidence, InvalidEvidenceError
from brackenusher.membership.seal import FRAME, SealError, seal, unseal

MOST_FRAME = 1024 * 1024  # bytes: 1,024 pieces of evidence are some 100 KB
MOST_TOLD = 1024  # pieces of evidence in an answer: to make one takes some 10 ms, in which nothing is served
LONGEST_RECORD = 1024  # bytes of one piece of evidence; usual are 120

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Nonce = Annotated[int, Meta(ge=0)]
Record = Annotated[bytes, Meta(max_length=LONGEST_RECORD)]


class FrameError(ValueError):
    """What came is no frame, or none that was asked for."""


class Piece(Struct, array_like=True, frozen=True):
    """Evidence with its age in milliseconds in place of a clock time; what a later form adds is skipped."""

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
    """A question for what is known."""

    nonce: Nonce
    most: Annotated[int, Meta(ge=0)] = MOST_TOLD


class Told(Struct, array_like=True, frozen=True, tag="told"):
    """Its answer."""

    nonce: Nonce
    name: Name
    epoch: Number
    records: Annotated[list[Record], Meta(max_length=MOST_TOLD)] = []


class Who(Struct, array_like=True, frozen=True, tag="who"):
    """A question for who belongs, and how things stand."""

    nonce: Nonce


class Line(Struct, array_like=True, frozen=True):
    """One member or newcomer, as the one that tells sees it. Spans are in milliseconds."""

    name: Name
    life: Number
    host: str
    port: int
    belongs: bool
    state: int
    way: str  # of the link: "both", "in" (heard, not answered), "none", "new" (not tried yet)
    answered: float  # since its last answer; below zero where there was none


class Members(Struct, array_like=True, frozen=True, tag="members"):
    """Its answer."""

    nonce: Nonce
    name: Name
    life: Number
    group: Number
    number: Number
    cut_off: bool
    dazed: bool
    flaps: int
    lines: Annotated[list[Line], Meta(max_length=2048)] = []
    counts: dict[str, int] = {}


class Open(Struct, array_like=True, frozen=True, tag="open"):
    """The beginning of a stream: who opens it, how often its store was opened (0: none), which run."""

    name: Name
    lives: Number
    run: Number = 0


class Opened(Struct, array_like=True, frozen=True, tag="opened"):
    """Its answer: a number that each frame repeats, and the greatest count known of the opener."""

    number: bytes
    lives: Number


class Wish(Struct, array_like=True, frozen=True, tag="wish"):
    """What staff want of a group's policy."""

    nonce: Nonce
    verb: str
    number: Number = 0
    id: str = ""
    who: str = ""
    why: str = ""
    at: float = 0.0
    text: str = ""


class Granted(Struct, array_like=True, frozen=True, tag="granted"):
    """What came of it: JSON, or why not."""

    nonce: Nonce
    good: bool
    body: bytes


Frame = Asked | Told | Who | Members | Open | Opened | Wish | Granted
ENCODER = msgspec.msgpack.Encoder()
PIECES = msgspec.msgpack.Decoder(Piece)
FRAMES = msgspec.msgpack.Decoder(Frame)
AFTER_SERIAL = [f.name for f in fields(Evidence)][6:]  # those that stand in a piece as they are


def encode(e: Evidence, now: float) -> bytes:
    rest = (getattr(e, name) for name in AFTER_SERIAL)
    piece = Piece(e.backend, e.born, e.origin, e.epoch, e.serial, max(0.0, now - e.at), *rest)
    return ENCODER.encode(piece)


def decode(record: bytes, now: float) -> Evidence:
    """Raises InvalidEvidenceError where it is no evidence; what it says is checked where it is merged."""
    if len(record) > LONGEST_RECORD:
        raise InvalidEvidenceError("too long")
    try:
        p = PIECES.decode(record)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidEvidenceError("no evidence") from error
    rest = (getattr(p, name) for name in AFTER_SERIAL)
    return Evidence(p.backend, p.born, p.origin, p.epoch, p.serial, now - p.age, *rest)


def pack(message: Frame, key: bytes, kid: str) -> bytes:
    """A frame, length and all."""
    body = seal(key, kid, FRAME, ENCODER.encode(message))
    return len(body).to_bytes(4, "big") + body


def unpack(keys: Mapping[str, bytes], body: bytes) -> Frame:
    """Raises FrameError."""
    try:
        return FRAMES.decode(unseal(keys, FRAME, body))
    except (SealError, msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameError(str(error)) from error


class Reader:
    """Fed the bytes of a connection; gives its one frame. It never holds more than is allowed."""

    def __init__(self, most: int = MOST_FRAME) -> None:
        self.most, self.buffer = most, bytearray()

    def feed(self, data: bytes | memoryview) -> bytes | None:
        """The body once it is there whole. Raises FrameError where it is too long, or more follows it."""
        self.buffer += data[: self.most + 5 - len(self.buffer)]
        if len(self.buffer) < 4:
            return None
        length = int.from_bytes(self.buffer[:4], "big")
        if length > self.most:
            raise FrameError(f"a frame of {length} bytes")
        if len(self.buffer) > 4 + length:
            raise FrameError("more than one frame")
        return bytes(self.buffer[4:]) if len(self.buffer) == 4 + length else None


def worth_most(held: Iterable[Evidence], now: float, most: int = MOST_TOLD) -> list[Evidence]:
    """Of all that is held, what tells a starting proxy most: what is far from usual, sure and new."""
    ranked = sorted(
        held, key=lambda e: (abs(e.slower) + e.failing + 0.01) * e.remaining_weight(now), reverse=True
    )
    return ranked[:most]
