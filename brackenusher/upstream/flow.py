"""HTTP/1.1 client codec of a connection to a pool member, which carries one attempt after another."""

import re
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from barleybarrow.interface import Outcome
from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES, Content, Message
from brackenusher.core.pipe import Pipe, PipeBudget
from brackenusher.core.transaction import Served

MAX_HEAD_BYTES = 16 * 1024
HEAD_SLACK_BYTES = 2 * 1024  # of a head beyond the bytes that the parser reports: spaces, the status line
# bytes on the wire: a body in chunks of one byte is six times as long
MAX_MESSAGE_BYTES = 8 * MAX_BUFFERED_BODY_BYTES
CHUNK_OVERHEAD_BYTES = 6  # bytes of chunk framing per body byte, at most, with chunks of one byte
# RFC 2068, 19.7.1.1; servers still send it.
KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout=([0-9]{1,6})\b", re.IGNORECASE)
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"req-deadline",
    )
)


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt."""

    outcome: Outcome
    served: Served | None = None


class InvalidResponseError(Exception):
    """Raised in a parser callback: the response is invalid or exceeds a limit."""


class UpstreamCodec:
    """Client side of HTTP/1.1 on one connection; is fed bytes and does no I/O."""

    def __init__(self, authority: bytes, budget: PipeBudget | None = None) -> None:
        self.chunked = False  # whether the present request's body is sent in chunks
        self.authority = authority  # for a request without Host, which HTTP/1.0 allows
        self.budget = budget  # None: responses are not streamed
        self.may_stream = False  # whether the present response may be streamed to the client
        self.parser = HttpResponseParser(self)
        self.keep_alive_s: float | None = None  # idle timeout stated by the server, in seconds
        self.reusable = True  # whether the next response is certain to begin where this one ends
        self.reset()

    def reset(self) -> None:
        self.result: AttemptResult | None = None
        self.response_started, self.interim_responses = False, 0  # a byte of the final response has arrived
        self.heads_started, self.received_bytes = 0, 0  # heads started; bytes of the present message
        self.body_pipe: Pipe | None = None  # the body, if it is streamed
        self.ended = False  # the response is complete, or nothing more will follow
        self.begin_head()

    def begin_head(self) -> None:
        """Prepare for the next response head."""
        self.in_body, self.has_framing, self.connection_close, self.until_close = False, False, False, False
        self.length: int | None = None
        self.framing_certain = True  # all parsers agree on where the response ends
        self.declined: bool | None = None
        self.content_type: bytes | None = None
        self.content_encoding: bytes | None = None
        self.body, self.head_bytes = bytearray(), 0

    def encode_request(self, message: Message, timeout_ms: float) -> bytes:
        """Encode a request up to its streamed body; `timeout_ms` is the server's deadline."""
        self.may_stream = message.accepts_stream and self.budget is not None
        lines = [b"%s %s HTTP/1.1" % (message.method, message.target)]
        has_host = False
        for name, value in message.headers:
            if name not in HOP_BY_HOP:
                lines.append(b"%s: %s" % (name, value))
                has_host = has_host or name == b"host"
        if not has_host:
            lines.append(b"host: " + self.authority)
        lines.append(b"req-deadline: %dm" % max(1, int(timeout_ms)))
        self.chunked = message.body_pipe is not None and message.length is None
        if self.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % (message.length or len(message.body)))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.encode_body(message.body)

    def encode_body(self, data: bytes) -> bytes:
        """Encode a chunk of the body."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def encode_end(self) -> bytes:
        """Encode the end of the body."""
        return b"0\r\n\r\n" if self.chunked else b""

    def receive(self, data: bytes | memoryview) -> AttemptResult | None:
        """Parse bytes, b"" at the end of the stream; return the attempt's result once it is known."""
        if not data:
            self.reusable = False
            if self.body_pipe is not None:
                self.end_stream(complete=self.ended or self.until_close)
            elif self.result is None:
                self.result = self.complete_result() if self.until_close else AttemptResult(Outcome.RESET)
            return self.result
        heads_before, size = self.heads_started + (not self.response_started), len(data)
        try:
            self.parser.feed_data(data)
            if not self.ended:  # if another head preceded, the size of this one is unknown
                self.count_received_bytes(size if self.heads_started <= heads_before else 0)
        except (HttpParserError, HttpParserUpgrade, InvalidResponseError):
            self.reusable = False
            if self.body_pipe is not None:
                self.end_stream(complete=self.ended)
            elif self.result is None:
                self.result = AttemptResult(Outcome.ERROR)
        return self.result

    def end_stream(self, complete: bool) -> None:
        """End the pipe of a streamed response."""
        if self.ended:
            return
        self.ended = True
        assert self.body_pipe is not None
        if complete:
            self.body_pipe.finish()
        else:
            self.body_pipe.fail()

    def count_head_bytes(self, size: int) -> None:
        """Limit the head by the bytes of the headers that the parser has reported."""
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError

    def count_received_bytes(self, size: int) -> None:
        """Limit the message by its raw bytes, which include what the parser has not reported yet."""
        self.received_bytes += size
        limit = MAX_MESSAGE_BYTES + (
            CHUNK_OVERHEAD_BYTES * self.body_pipe.received_bytes if self.body_pipe is not None else 0
        )
        if self.received_bytes > (limit if self.in_body else MAX_HEAD_BYTES + HEAD_SLACK_BYTES):
            raise InvalidResponseError

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        self.response_started, self.heads_started, self.received_bytes = True, self.heads_started + 1, 0
        if self.ended:  # surplus data, which could be taken for the next response
            raise InvalidResponseError

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_head_bytes(len(name) + len(value) + 4)  # with the colon, a space and the end of line
        if self.in_body:
            return  # a trailer field
        name, value = name.lower(), value.strip(b" \t")
        if name == b"srv-declined":
            self.declined = value == b"1" and self.declined is not False  # two that differ are no proof
        elif name == b"content-type":
            self.content_type = value
        elif name == b"content-encoding":
            self.content_encoding = (
                value if self.content_encoding is None else self.content_encoding + b", " + value
            )
        elif name == b"keep-alive":
            match = KEEP_ALIVE_TIMEOUT.search(value)
            self.keep_alive_s = float(match[1]) if match else None
        elif name == b"connection":
            options = [option.strip(b" \t") for option in value.lower().split(b",")]
            self.connection_close = self.connection_close or b"close" in options
        elif name == b"transfer-encoding":
            if self.has_framing or value.lower() != b"chunked":
                raise InvalidResponseError  # a coding that is not decoded here would be taken for the body
            self.has_framing = True
        elif name == b"content-length":
            self.has_framing, self.length = True, int(value)
            if self.length > (MAX_STREAMED_BODY_BYTES if self.may_stream else MAX_BUFFERED_BODY_BYTES):
                raise InvalidResponseError

    def on_headers_complete(self) -> None:
        self.in_body, status, version = True, self.parser.get_status_code(), self.parser.get_http_version()
        if status < 100 or version not in ("1.0", "1.1"):
            raise InvalidResponseError
        self.framing_certain = version == "1.1" and not (self.has_framing and status in (204, 304))
        if status < 200:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise InvalidResponseError
        elif not self.has_framing and status not in (204, 304):
            if not self.connection_close and version != "1.0":
                raise InvalidResponseError  # neither a length nor a close delimits the body
            self.until_close = True

    def on_body(self, chunk: bytes) -> None:
        if self.body_pipe is not None:
            self.body_pipe.write(chunk)
            if self.body_pipe.received_bytes > MAX_STREAMED_BODY_BYTES:
                raise InvalidResponseError
            return
        self.body += chunk
        if len(self.body) > MAX_BUFFERED_BODY_BYTES or (self.length or 0) > MAX_BUFFERED_BODY_BYTES:
            if not self.may_stream or self.parser.get_status_code() != 200:
                raise InvalidResponseError
            self.start_streaming()

    def start_streaming(self) -> None:
        """Stream the response from here on: it counts as served and can no longer be retried."""
        assert self.budget is not None
        self.body_pipe = Pipe(self.budget)
        self.body_pipe.write(bytes(self.body))
        self.body = bytearray()
        content = Content(b"", self.content_type, self.content_encoding, self.body_pipe, self.length)
        self.result = AttemptResult(Outcome.SERVED, Served(content))

    def stream_if_possible(self) -> AttemptResult | None:
        """Start to stream a slow response of unknown length, if possible."""
        if self.result is None and self.may_stream and self.body and self.length is None:
            if self.parser.get_status_code() == 200:
                self.start_streaming()
        return self.result

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self.response_started = False
            self.begin_head()
            return
        self.reusable = self.parser.should_keep_alive() and self.framing_certain
        if self.body_pipe is not None:
            return self.end_stream(complete=True)
        self.result, self.ended = self.complete_result(), True

    def complete_result(self) -> AttemptResult:
        """The result of a complete response."""
        status = self.parser.get_status_code()
        if status == 200:
            return AttemptResult(
                Outcome.SERVED, Served(Content(bytes(self.body), self.content_type, self.content_encoding))
            )
        if status in (503, 504) and self.declined:
            return AttemptResult(Outcome.FULL)
        return AttemptResult(Outcome.ERROR)

    # Called by the driver

    def prepare_next(self) -> bool:
        """Prepare for the next attempt; False if the connection cannot be reused."""
        if not self.reusable:
            return False
        self.reset()
        return True
