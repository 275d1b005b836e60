"""Frame parser in front of h2: splits bytes into frames and checks them before anything is stored.

It rejects what h2 tolerates: floods of frames that request nothing, endless header blocks, and frames whose
length alone is invalid. It buffers at most one frame and the bytes of one read. It keeps no stream state and
no time-outs; the time is used for rate limiting alone.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from h2.errors import ErrorCodes

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
FRAME_HEADER_BYTES = 9  # length of a frame header
MAX_FRAME_BYTES = 16 * 1024  # payload bytes: the minimum and default of SETTINGS_MAX_FRAME_SIZE
MAX_CONTINUATIONS = 32  # per header block
END_STREAM = ACK = 0x1
END_HEADERS, PADDED, PRIORITY = 0x4, 0x8, 0x20
MIN_WINDOW_INCREMENT_BYTES = 1024  # smaller WINDOW_UPDATE increments are rate-limited


class FrameType(IntEnum):
    """Frame types: RFC 9113 6, and RFC 9218 7.1 for the last."""

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


# exact payload lengths; a PRIORITY of another length is a stream error only (6.3)
FIXED_LENGTHS = {FrameType.RST_STREAM: 4, FrameType.PING: 8, FrameType.WINDOW_UPDATE: 4}
STREAM_FRAMES = frozenset(
    (FrameType.DATA, FrameType.HEADERS, FrameType.PRIORITY, FrameType.RST_STREAM, FrameType.CONTINUATION)
)
CONNECTION_FRAMES = frozenset(
    (FrameType.SETTINGS, FrameType.PING, FrameType.GOAWAY, FrameType.PRIORITY_UPDATE)
)
KNOWN_TYPES = frozenset(FrameType)
RATE_LIMITED_TYPES = frozenset(
    (
        FrameType.PRIORITY,
        FrameType.RST_STREAM,
        FrameType.PING,
        FrameType.CONTINUATION,
        FrameType.PRIORITY_UPDATE,
    )
)
# settings defined by RFC 9113 6.5.2; others are ignored
KNOWN_SETTINGS = frozenset((1, 2, 3, 4, 5, 6))
MAX_ENCODER_TABLE_BYTES = 4096  # for the encoder, whatever the client allows: RFC 7541 permits less


class Http2Error(Exception):
    """Connection error (RFC 9113 5.4.1)."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason


@dataclass(slots=True)
class Frame:
    """A complete frame, checked as far as possible without stream state."""

    kind: int
    flags: int
    stream_id: int
    payload: bytes

    def serialize(self) -> bytes:
        head = len(self.payload).to_bytes(3, "big") + bytes((self.kind, self.flags))
        return head + self.stream_id.to_bytes(4, "big") + self.payload


def check_protocol(condition: bool, reason: str) -> None:
    if not condition:
        raise Http2Error(ErrorCodes.PROTOCOL_ERROR, reason)


def check_size(condition: bool, reason: str) -> None:
    if not condition:
        raise Http2Error(ErrorCodes.FRAME_SIZE_ERROR, reason)


class TokenBucket:
    """Token bucket with `rate` tokens a second and a burst of twice that. Times are in milliseconds."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.burst = rate / 1000.0, 2.0 * rate
        self.tokens, self.updated_at = self.burst, now

    def take(self, now: float) -> bool:
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def add(self, count: float) -> None:
        self.tokens = min(self.burst, self.tokens + count)


class FrameParser:
    """Splits a client's bytes into frames. `rate`: frames a second that may request nothing."""

    def __init__(self, rate: float, max_block_bytes: int, now: float) -> None:
        self.rate_limiter, self.max_block_bytes = TokenBucket(rate, now), max_block_bytes
        self.buffer = bytearray()
        # the client preface, and the SETTINGS frame that must follow it
        self.preface_received = self.settings_received = False
        self.open_block_stream = 0  # stream of the incomplete header block, 0 if none
        self.block_bytes = self.continuation_count = 0  # bytes and CONTINUATION frames of that block

    @property
    def is_between_frames(self) -> bool:
        """Whether no frame or header block is incomplete."""
        return not self.buffer and not self.open_block_stream and self.preface_received

    def feed(self, data: bytes | memoryview, now: float) -> Iterator[Frame]:
        """Feed bytes and yield complete frames. Raises Http2Error on a connection error."""
        self.buffer += data
        if not self.preface_received:
            received = min(len(self.buffer), len(PREFACE))
            check_protocol(self.buffer[:received] == PREFACE[:received], "no HTTP/2 preface")
            if received < len(PREFACE):
                return
            del self.buffer[:received]
            self.preface_received = True
        start, buffer = 0, self.buffer
        try:
            while len(buffer) - start >= FRAME_HEADER_BYTES:
                length = int.from_bytes(buffer[start : start + 3], "big")
                kind, flags = buffer[start + 3], buffer[start + 4]
                stream_id = int.from_bytes(buffer[start + 5 : start + FRAME_HEADER_BYTES], "big") & 0x7FFFFFFF
                self.check_header(kind, flags, stream_id, length)
                end = start + FRAME_HEADER_BYTES + length
                if len(buffer) < end:
                    return
                frame = Frame(kind, flags, stream_id, bytes(buffer[start + FRAME_HEADER_BYTES : end]))
                start = end
                if self.is_rate_limited(frame) and not self.rate_limiter.take(now):
                    raise Http2Error(ErrorCodes.ENHANCE_YOUR_CALM, "too many frames that ask for nothing")
                yield from self.normalize(frame)
        finally:
            del buffer[:start]

    def check_header(self, kind: int, flags: int, stream_id: int, length: int) -> None:
        """Check a frame header; called again for the same frame when more of it has arrived."""
        check_size(length <= MAX_FRAME_BYTES, "a frame is too long")
        if not self.settings_received:
            check_protocol(kind == FrameType.SETTINGS and not flags & ACK, "SETTINGS must come first")
        if self.open_block_stream:
            check_protocol(
                kind == FrameType.CONTINUATION and stream_id == self.open_block_stream,
                "a header block is interrupted",
            )
        elif kind == FrameType.CONTINUATION:
            check_protocol(False, "a CONTINUATION continues nothing")
        if kind in STREAM_FRAMES:
            check_protocol(stream_id != 0, "a frame of a stream names none")
        elif kind in CONNECTION_FRAMES:
            check_protocol(stream_id == 0, "a frame of the connection names a stream")
        check_protocol(kind != FrameType.PUSH_PROMISE, "clients do not push")
        if kind in FIXED_LENGTHS:
            check_size(length == FIXED_LENGTHS[FrameType(kind)], "a frame has the wrong length")
        elif kind == FrameType.SETTINGS:
            check_size(length == 0 if flags & ACK else length % 6 == 0, "a SETTINGS has the wrong length")
        elif kind == FrameType.GOAWAY:
            check_size(length >= 8, "a GOAWAY is too short")
        elif kind == FrameType.PRIORITY_UPDATE:
            check_size(length >= 4, "a PRIORITY_UPDATE is too short")

    def is_rate_limited(self, frame: Frame) -> bool:
        """Whether a frame is rate-limited: it makes work and requests nothing."""
        kind = frame.kind
        if kind == FrameType.HEADERS:
            return False
        if kind == FrameType.DATA:
            padding_size = 1 + frame.payload[0] if frame.flags & PADDED and frame.payload else 0
            return len(frame.payload) <= padding_size and not frame.flags & END_STREAM
        if kind == FrameType.WINDOW_UPDATE:
            return int.from_bytes(frame.payload, "big") & 0x7FFFFFFF < MIN_WINDOW_INCREMENT_BYTES
        return kind in RATE_LIMITED_TYPES or kind == FrameType.SETTINGS or kind not in KNOWN_TYPES

    def normalize(self, frame: Frame) -> Iterator[Frame]:
        """Yield the frames that h2 is to see, normalized."""
        kind = frame.kind
        if kind == FrameType.HEADERS:
            self.strip_padding(frame)
            if not frame.flags & END_HEADERS:
                self.open_block_stream, self.block_bytes, self.continuation_count = (
                    frame.stream_id,
                    len(frame.payload),
                    0,
                )
        elif kind == FrameType.CONTINUATION:
            self.block_bytes, self.continuation_count = (
                self.block_bytes + len(frame.payload),
                self.continuation_count + 1,
            )
            if self.block_bytes > self.max_block_bytes or self.continuation_count > MAX_CONTINUATIONS:
                raise Http2Error(ErrorCodes.ENHANCE_YOUR_CALM, "a header block does not end")
            if frame.flags & END_HEADERS:
                self.open_block_stream = 0
        elif kind == FrameType.SETTINGS:
            self.settings_received = True
            frame.payload = filter_settings(frame.payload)
        elif kind == FrameType.WINDOW_UPDATE:  # clear the reserved bit (6.9)
            frame.payload = bytes((frame.payload[0] & 0x7F,)) + frame.payload[1:]
        elif kind == FrameType.PING and frame.flags & ACK:
            return  # this side sends no PING
        elif kind not in KNOWN_TYPES:
            return  # unknown types are ignored (4.1)
        yield frame

    def strip_padding(self, frame: Frame) -> None:
        """Remove padding and the deprecated priority fields from a HEADERS frame (RFC 9113 5.3.2)."""
        payload, padding = frame.payload, 0
        if frame.flags & PADDED:
            check_size(bool(payload), "a HEADERS is too short")
            padding, payload = payload[0], payload[1:]
        if frame.flags & PRIORITY:
            check_size(len(payload) >= 5, "a HEADERS is too short")
            payload = payload[5:]
        check_protocol(padding <= len(payload), "there is more padding than frame")
        frame.payload = payload[: len(payload) - padding]
        frame.flags &= ~(PADDED | PRIORITY)


def filter_settings(settings: bytes) -> bytes:
    """Keep only known settings, so that a client cannot make h2 store 65,536 unknown ones."""
    kept = bytearray()
    for start in range(0, len(settings), 6):
        identifier = int.from_bytes(settings[start : start + 2], "big")
        value = int.from_bytes(settings[start + 2 : start + 6], "big")
        if identifier == 1:
            value = min(value, MAX_ENCODER_TABLE_BYTES)
        if identifier in KNOWN_SETTINGS:
            kept += identifier.to_bytes(2, "big") + value.to_bytes(4, "big")
    return bytes(kept)
