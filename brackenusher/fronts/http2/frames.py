"""The gate before the library: bytes are cut into frames, counted and checked before anything is kept.

It holds back what the library would take too kindly: frames that only cost, header blocks without end, a
frame whose length alone shows that it is wrong. It never holds more than one frame and the bytes of one read,
and knows neither streams nor time limits; it is told the time for its counting alone.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from h2.errors import ErrorCodes

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HEAD = 9  # bytes of a frame's head
LONGEST_FRAME = 16 * 1024  # bytes of payload: the least that a receiver must take, and the most we ask for
MOST_CONTINUED = 32  # CONTINUATION frames of one header block
END_STREAM = ACK = 0x1
END_HEADERS, PADDED, PRIORITY = 0x4, 0x8, 0x20
STEP = 1024  # bytes: a window opened by less is counted as a frame that only costs


class Kind(IntEnum):
    """Types of frames: RFC 9113 6, and RFC 9218 7.1 for the last."""

    DATA = 0
    HEADERS = 1
    PRIORITY = 2
    RST_STREAM = 3
    SETTINGS = 4
    PUSH_PROMISE = 5
    PING = 6
    GOAWAY = 7
    WINDOW_UPDATE = 8
    CONTINUATION = 9
    PRIORITY_UPDATE = 16


# exact lengths of payloads; a PRIORITY of another length is its stream's fault alone (6.3)
LENGTHS = {Kind.RST_STREAM: 4, Kind.PING: 8, Kind.WINDOW_UPDATE: 4}
ON_STREAMS = frozenset((Kind.DATA, Kind.HEADERS, Kind.PRIORITY, Kind.RST_STREAM, Kind.CONTINUATION))
ON_CONNECTION = frozenset((Kind.SETTINGS, Kind.PING, Kind.GOAWAY, Kind.PRIORITY_UPDATE))
KNOWN = frozenset(Kind)
COSTLY = frozenset((Kind.PRIORITY, Kind.RST_STREAM, Kind.PING, Kind.CONTINUATION, Kind.PRIORITY_UPDATE))
# settings that may matter to one who answers: header table, window, frame size
KEPT_SETTINGS = frozenset((1, 2, 3, 4, 5, 6))
MOST_TABLE = 4096  # bytes of our encoder's table, whatever the client allows: RFC 7541 lets us use less


class Http2Error(Exception):
    """The connection must end (RFC 9113 5.4.1)."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why)
        self.code, self.why = code, why


@dataclass(slots=True)
class Frame:
    """A whole frame, checked as far as that needs no streams."""

    kind: int
    flags: int
    stream: int
    payload: bytes

    def serialize(self) -> bytes:
        head = len(self.payload).to_bytes(3, "big") + bytes((self.kind, self.flags))
        return head + self.stream.to_bytes(4, "big") + self.payload


def protocol(condition: bool, why: str) -> None:
    if not condition:
        raise Http2Error(ErrorCodes.PROTOCOL_ERROR, why)


def sized(condition: bool, why: str) -> None:
    if not condition:
        raise Http2Error(ErrorCodes.FRAME_SIZE_ERROR, why)


class Allowance:
    """A token bucket: so many a second, and twice as many in one go. Times are in milliseconds."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.most = rate / 1000.0, 2.0 * rate
        self.left, self.at = self.most, now

    def take(self, now: float) -> bool:
        self.left = min(self.most, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True

    def earn(self, count: float) -> None:
        self.left = min(self.most, self.left + count)


class Gate:
    """Cuts a client's bytes into frames. `rate` is how many frames a second may cost and ask nothing."""

    def __init__(self, rate: float, longest_block: int, now: float) -> None:
        self.allowance, self.longest_block = Allowance(rate, now), longest_block
        self.buffer = bytearray()
        self.greeted = self.settled = False  # the preface is here; and the SETTINGS that must follow it
        self.block = 0  # the stream whose header block is not whole
        self.size = self.count = 0  # bytes and CONTINUATION frames of that block

    @property
    def between(self) -> bool:
        """Whether neither a frame nor a header block has begun and is not whole."""
        return not self.buffer and not self.block and self.greeted

    def feed(self, data: bytes | memoryview, now: float) -> Iterator[Frame]:
        """Take bytes and give the frames that are whole; `Http2Error` where the stream cannot go on."""
        self.buffer += data
        if not self.greeted:
            have = min(len(self.buffer), len(PREFACE))
            protocol(self.buffer[:have] == PREFACE[:have], "no HTTP/2 preface")
            if have < len(PREFACE):
                return
            del self.buffer[:have]
            self.greeted = True
        start, buffer = 0, self.buffer
        try:
            while len(buffer) - start >= HEAD:
                length = int.from_bytes(buffer[start : start + 3], "big")
                kind, flags = buffer[start + 3], buffer[start + 4]
                stream = int.from_bytes(buffer[start + 5 : start + HEAD], "big") & 0x7FFFFFFF
                self.weigh(kind, flags, stream, length)
                end = start + HEAD + length
                if len(buffer) < end:
                    return
                frame = Frame(kind, flags, stream, bytes(buffer[start + HEAD : end]))
                start = end
                if self.costs(frame) and not self.allowance.take(now):
                    raise Http2Error(ErrorCodes.ENHANCE_YOUR_CALM, "too many frames that ask for nothing")
                yield from self.check(frame)
        finally:
            del buffer[:start]

    def weigh(self, kind: int, flags: int, stream: int, length: int) -> None:
        """What a frame's head alone shows; called again when more of the frame is here."""
        sized(length <= LONGEST_FRAME, "a frame is too long")
        if not self.settled:
            protocol(kind == Kind.SETTINGS and not flags & ACK, "SETTINGS must come first")
        if self.block:
            protocol(kind == Kind.CONTINUATION and stream == self.block, "a header block is interrupted")
        elif kind == Kind.CONTINUATION:
            protocol(False, "a CONTINUATION continues nothing")
        if kind in ON_STREAMS:
            protocol(stream != 0, "a frame of a stream names none")
        elif kind in ON_CONNECTION:
            protocol(stream == 0, "a frame of the connection names a stream")
        protocol(kind != Kind.PUSH_PROMISE, "clients do not push")
        if kind in LENGTHS:
            sized(length == LENGTHS[Kind(kind)], "a frame has the wrong length")
        elif kind == Kind.SETTINGS:
            sized(length == 0 if flags & ACK else length % 6 == 0, "a SETTINGS has the wrong length")
        elif kind == Kind.GOAWAY:
            sized(length >= 8, "a GOAWAY is too short")
        elif kind == Kind.PRIORITY_UPDATE:
            sized(length >= 4, "a PRIORITY_UPDATE is too short")

    def costs(self, frame: Frame) -> bool:
        """Whether a frame makes work and asks for nothing."""
        kind = frame.kind
        if kind == Kind.HEADERS:
            return False
        if kind == Kind.DATA:
            hollow = 1 + frame.payload[0] if frame.flags & PADDED and frame.payload else 0
            return len(frame.payload) <= hollow and not frame.flags & END_STREAM
        if kind == Kind.WINDOW_UPDATE:
            return int.from_bytes(frame.payload, "big") & 0x7FFFFFFF < STEP
        return kind in COSTLY or kind == Kind.SETTINGS or kind not in KNOWN

    def check(self, frame: Frame) -> Iterator[Frame]:
        """Give on what the library is to see, put into its plainest form."""
        kind = frame.kind
        if kind == Kind.HEADERS:
            self.strip(frame)
            if not frame.flags & END_HEADERS:
                self.block, self.size, self.count = frame.stream, len(frame.payload), 0
        elif kind == Kind.CONTINUATION:
            self.size, self.count = self.size + len(frame.payload), self.count + 1
            if self.size > self.longest_block or self.count > MOST_CONTINUED:
                raise Http2Error(ErrorCodes.ENHANCE_YOUR_CALM, "a header block does not end")
            if frame.flags & END_HEADERS:
                self.block = 0
        elif kind == Kind.SETTINGS:
            self.settled = True
            frame.payload = plain(frame.payload)
        elif kind == Kind.WINDOW_UPDATE:  # the reserved bit is none of the library's business (6.9)
            frame.payload = bytes((frame.payload[0] & 0x7F,)) + frame.payload[1:]
        elif kind == Kind.PING and frame.flags & ACK:
            return  # we send none
        elif kind not in KNOWN:
            return  # RFC 9113 4.1
        yield frame

    def strip(self, frame: Frame) -> None:
        """Take padding and the priority of old off a HEADERS frame (RFC 9113 5.3.2)."""
        payload, padding = frame.payload, 0
        if frame.flags & PADDED:
            sized(bool(payload), "a HEADERS is too short")
            padding, payload = payload[0], payload[1:]
        if frame.flags & PRIORITY:
            sized(len(payload) >= 5, "a HEADERS is too short")
            payload = payload[5:]
        protocol(padding <= len(payload), "there is more padding than frame")
        frame.payload = payload[: len(payload) - padding]
        frame.flags &= ~(PADDED | PRIORITY)


def plain(settings: bytes) -> bytes:
    """The settings that count, lest a client have us remember 65,536 unknown ones."""
    kept = bytearray()
    for start in range(0, len(settings), 6):
        name = int.from_bytes(settings[start : start + 2], "big")
        value = int.from_bytes(settings[start + 2 : start + 6], "big")
        if name == 1:
            value = min(value, MOST_TABLE)
        if name in KEPT_SETTINGS:
            kept += name.to_bytes(2, "big") + value.to_bytes(4, "big")
    return bytes(kept)
