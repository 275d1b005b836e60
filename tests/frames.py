"""Builds raw HTTP/2 frames for tests and decodes server output, without the code under test."""

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
    """A frame of any type, including ones that hyperframe refuses to build."""
    size = len(payload) if length is None else length
    return struct.pack(">I", size)[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def serialize_frame(kind, stream=0, flags=(), **fields):
    frame = kind(stream, **fields)
    for flag in flags:
        frame.flags.add(flag)
    return frame.serialize()


def block(headers):
    """A header block that does not change the HPACK table, so that test cases are independent."""
    return hpack.Encoder().encode([hpack.NeverIndexedHeaderTuple(*header) for header in headers])


def head(stream, fields=GET, end=True, end_headers=True, with_req_id=True):
    """HEADERS; `with_req_id` adds a Req-Id derived from the stream id."""
    if with_req_id:
        fields = (*fields, ("req-id", f"id{stream}"))
    flags = ["END_HEADERS"] * end_headers + ["END_STREAM"] * end
    return serialize_frame(hf.HeadersFrame, stream, flags, data=block(fields))


def body(stream, data=b"move", end=True, padding=None):
    flags = ["END_STREAM"] * end + ["PADDED"] * (padding is not None)
    return serialize_frame(
        hf.DataFrame, stream, flags, data=data, **({"pad_length": padding} if padding is not None else {})
    )


def reset(stream, code=8):
    return serialize_frame(hf.RstStreamFrame, stream, error_code=code)


def window(stream, size):
    return serialize_frame(hf.WindowUpdateFrame, stream, window_increment=size)


def ping(data=b"12345678", ack=False):
    return serialize_frame(hf.PingFrame, 0, ["ACK"] * ack, opaque_data=data)


def settings(*pairs, ack=False):
    return raw(4, int(ack), 0, b"".join(struct.pack(">HI", *pair) for pair in pairs))


def goaway(last=0, code=0):
    return serialize_frame(hf.GoAwayFrame, 0, last_stream_id=last, error_code=code)


HELLO = PREFACE + settings()


class OutputDecoder:
    """Decodes server output into one text token per frame."""

    def __init__(self):
        self.buffer, self.decoder, self.bodies = b"", hpack.Decoder(), {}

    def feed(self, data):
        self.buffer += data
        tokens = []
        while len(self.buffer) >= 9:
            frame, length = hf.Frame.parse_frame_header(memoryview(self.buffer[:9]))
            if len(self.buffer) < 9 + length:
                break
            frame.parse_body(memoryview(self.buffer[9 : 9 + length]))
            self.buffer = self.buffer[9 + length :]
            tokens += self.tokens_of(frame)
        return tokens

    def tokens_of(self, frame):
        stream_id, end = frame.stream_id, "." if "END_STREAM" in frame.flags else ""
        if isinstance(frame, hf.HeadersFrame):
            headers = dict(self.decoder.decode(frame.data))
            return [f"{stream_id}={headers[':status']}{end}"]
        if isinstance(frame, hf.DataFrame):
            self.bodies[stream_id] = self.bodies.get(stream_id, b"") + frame.data
            return [f"{stream_id}+{len(frame.data)}{end}"]
        if isinstance(frame, hf.RstStreamFrame):
            return [f"{stream_id}!{ErrorCodes(frame.error_code).name}"]
        if isinstance(frame, hf.GoAwayFrame):
            return [f"bye {frame.last_stream_id} {ErrorCodes(frame.error_code).name}"]
        if isinstance(frame, hf.PingFrame):
            data = frame.opaque_data
            return ["pong " + (data.decode() if data.isalnum() else data.hex())]
        if isinstance(frame, hf.WindowUpdateFrame):
            return [f"{stream_id}^{frame.window_increment}"]
        return ["ack"] if "ACK" in frame.flags else ["settings"]
