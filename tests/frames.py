"""Raw frames of HTTP/2 for the tests, and what a server said: neither goes through the code under test."""

import struct

import hpack
from h2.errors import ErrorCodes
from hyperframe import frame as hf

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
GET = (
    (":method", "GET"),
    (":scheme", "http"),
    (":authority", "service.internal"),
    (":path", "/board-read?k=m1"),
)
POST = ((":method", "POST"), *GET[1:3], (":path", "/turn-submit?k=m1"), ("idempotency-key", "key1"))


def raw(kind, flags=0, stream=0, payload=b"", length=None):
    """A frame of any kind, which hyperframe might refuse to build."""
    size = len(payload) if length is None else length
    return struct.pack(">I", size)[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def made(kind, stream=0, flags=(), **fields):
    frame = kind(stream, **fields)
    for flag in flags:
        frame.flags.add(flag)
    return frame.serialize()


def block(headers):
    """A header block that leaves the table as it is, so that cases do not hang together."""
    return hpack.Encoder().encode([hpack.NeverIndexedHeaderTuple(*header) for header in headers])


def head(stream, headers=GET, end=True, whole=True, name=True):
    """HEADERS; `name` adds a Req-Id of the stream's own."""
    if name:
        headers = (*headers, ("req-id", f"id{stream}"))
    flags = ["END_HEADERS"] * whole + ["END_STREAM"] * end
    return made(hf.HeadersFrame, stream, flags, data=block(headers))


def body(stream, data=b"move", end=True, pad=None):
    flags = ["END_STREAM"] * end + ["PADDED"] * (pad is not None)
    return made(hf.DataFrame, stream, flags, data=data, **({"pad_length": pad} if pad is not None else {}))


def reset(stream, code=8):
    return made(hf.RstStreamFrame, stream, error_code=code)


def window(stream, size):
    return made(hf.WindowUpdateFrame, stream, window_increment=size)


def ping(data=b"12345678", ack=False):
    return made(hf.PingFrame, 0, ["ACK"] * ack, opaque_data=data)


def settings(*pairs, ack=False):
    return raw(4, int(ack), 0, b"".join(struct.pack(">HI", *pair) for pair in pairs))


def goaway(last=0, code=0):
    return made(hf.GoAwayFrame, 0, last_stream_id=last, error_code=code)


HELLO = PREFACE + settings()


class Reader:
    """Reads what a server sends, frame by frame, into words."""

    def __init__(self):
        self.buffer, self.decoder, self.bodies = b"", hpack.Decoder(), {}

    def feed(self, data):
        self.buffer += data
        words = []
        while len(self.buffer) >= 9:
            frame, length = hf.Frame.parse_frame_header(memoryview(self.buffer[:9]))
            if len(self.buffer) < 9 + length:
                break
            frame.parse_body(memoryview(self.buffer[9 : 9 + length]))
            self.buffer = self.buffer[9 + length :]
            words += self.word(frame)
        return words

    def word(self, frame):
        number, end = frame.stream_id, "." if "END_STREAM" in frame.flags else ""
        if isinstance(frame, hf.HeadersFrame):
            headers = dict(self.decoder.decode(frame.data))
            return [f"{number}={headers[':status']}{end}"]
        if isinstance(frame, hf.DataFrame):
            self.bodies[number] = self.bodies.get(number, b"") + frame.data
            return [f"{number}+{len(frame.data)}{end}"]
        if isinstance(frame, hf.RstStreamFrame):
            return [f"{number}!{ErrorCodes(frame.error_code).name}"]
        if isinstance(frame, hf.GoAwayFrame):
            return [f"bye {frame.last_stream_id} {ErrorCodes(frame.error_code).name}"]
        if isinstance(frame, hf.PingFrame):
            data = frame.opaque_data
            return ["pong " + (data.decode() if data.isalnum() else data.hex())]
        if isinstance(frame, hf.WindowUpdateFrame):
            return [f"{number}^{frame.window_increment}"]
        return ["ack"] if "ACK" in frame.flags else ["settings"]
