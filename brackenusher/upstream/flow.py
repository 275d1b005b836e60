"""The server-side flow on the wire: one attempt after another on a connection to a pool member."""

import re
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from barleybarrow.interface import Outcome
from brackenusher.core.message import LONGEST_BODY, LONGEST_PASSED, Content, Message
from brackenusher.core.pipe import Budget, Pipe
from brackenusher.core.transaction import Served

LONGEST_HEAD = 16 * 1024
SLACK = 2 * 1024  # bytes of a head beyond those that are counted: spaces, its first line
LONGEST_STREAM = 8 * LONGEST_BODY  # bytes of a message: a body in chunks of one byte takes six times its own
FRAMING = 6  # bytes of framing that a byte in a chunk of its own takes
KEEP_ALIVE_TIMEOUT = re.compile(
    rb"\btimeout=([0-9]{1,6})\b", re.IGNORECASE
)  # RFC 2068, 19.7.1.1; servers still send it
MAX_INTERIM_RESPONSES = 16  # answers of the kind 1xx ahead of the final one
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
    """What an attempt came to."""

    outcome: Outcome
    served: Served | None = None


class UnreadableAnswerError(Exception):
    """Raised to the parser: what follows is not to be read."""


class Flow:
    """The client's side of HTTP on one connection; it is fed bytes and knows no socket."""

    def __init__(self, authority: bytes, budget: Budget | None = None) -> None:
        self.chunked = False  # the present request's body
        self.authority = authority  # for a request that names no host, as HTTP/1.0 allows
        self.budget = budget  # none: no answer is passed on in pieces
        self.may_stream = False  # whether the present request's client can be given one
        self.parser = HttpResponseParser(self)
        self.keep_alive_s: float | None = (
            None  # for how many seconds the server says it keeps an idle connection
        )
        self.reusable = True  # the stream can be trusted to begin the next answer where this one ended
        self.reset()

    def reset(self) -> None:
        self.result: AttemptResult | None = None
        self.begun, self.interim_responses = False, 0  # a byte of the final answer is here
        self.heads_started, self.received_bytes = 0, 0  # heads that began; bytes that have come of the answer
        self.rest: Pipe | None = None  # an answer that is passed on in pieces
        self.ended = False  # the answer is whole, or nothing more will come of it
        self.begin_head()

    def begin_head(self) -> None:
        """Get ready for a head."""
        self.in_body, self.has_framing, self.connection_close, self.until_close = False, False, False, False
        self.length: int | None = None
        self.framing_certain = True  # where the answer ends, also to one who reads its head otherwise
        self.declined: bool | None = None
        self.content_type: bytes | None = None
        self.content_encoding: bytes | None = None
        self.body, self.head_bytes = bytearray(), 0

    def request(self, message: Message, timeout_ms: float) -> bytes:
        """The bytes of a request or its first part; `wait` tells how many milliseconds the server has."""
        self.may_stream = message.streams and self.budget is not None
        lines = [b"%s %s HTTP/1.1" % (message.method, message.target)]
        has_host = False
        for name, value in message.headers:
            if name not in HOP_BY_HOP:
                lines.append(b"%s: %s" % (name, value))
                has_host = has_host or name == b"host"
        if not has_host:
            lines.append(b"host: " + self.authority)
        lines.append(b"req-deadline: %dm" % max(1, int(timeout_ms)))
        self.chunked = message.rest is not None and message.length is None
        if self.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % (message.length or len(message.body)))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.encode_body(message.body)

    def encode_body(self, data: bytes) -> bytes:
        """A part of the body, as it is written."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def encode_end(self) -> bytes:
        """What is written behind the last part of the body."""
        return b"0\r\n\r\n" if self.chunked else b""

    def receive(self, data: bytes | memoryview) -> AttemptResult | None:
        """Take bytes, b"" at the end of the stream; return what the attempt came to once that is known."""
        if not data:
            self.reusable = False
            if self.rest is not None:
                self.end_stream(complete=self.ended or self.until_close)
            elif self.result is None:
                self.result = self.complete_result() if self.until_close else AttemptResult(Outcome.RESET)
            return self.result
        heads_before, size = self.heads_started + (not self.begun), len(data)
        try:
            self.parser.feed_data(data)
            if not self.ended:  # where others came before it, how much is its own is not known
                self.count_received_bytes(size if self.heads_started <= heads_before else 0)
        except (HttpParserError, HttpParserUpgrade, UnreadableAnswerError):
            self.reusable = False
            if self.rest is not None:
                self.end_stream(complete=self.ended)
            elif self.result is None:
                self.result = AttemptResult(Outcome.ERROR)
        return self.result

    def end_stream(self, complete: bool) -> None:
        """Nothing more comes of an answer that is passed on in pieces."""
        if self.ended:
            return
        self.ended = True
        assert self.rest is not None
        if complete:
            self.rest.finish()
        else:
            self.rest.fail()

    def count_head_bytes(self, size: int) -> None:
        """Count what the parser told of a head; it tells of a header once that is whole."""
        self.head_bytes += size
        if self.head_bytes > LONGEST_HEAD:
            raise UnreadableAnswerError

    def count_received_bytes(self, size: int) -> None:
        """Count bytes as they come, lest what the parser does not tell of yet grows without bound."""
        self.received_bytes += size
        limit = LONGEST_STREAM + (FRAMING * self.rest.came if self.rest is not None else 0)
        if self.received_bytes > (limit if self.in_body else LONGEST_HEAD + SLACK):
            raise UnreadableAnswerError

    # what the parser calls

    def on_message_begin(self) -> None:
        self.begun, self.heads_started, self.received_bytes = True, self.heads_started + 1, 0
        if self.ended:  # more than belongs to the answer: the next request could be given it
            raise UnreadableAnswerError

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count_head_bytes(len(name) + len(value) + 4)  # with its colon, a space and the line's end
        if self.in_body:
            return  # a trailer
        name, value = name.lower(), value.strip(b" \t")
        if name == b"srv-declined":
            self.declined = value == b"1" and self.declined is not False  # two that differ prove nothing
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
                raise UnreadableAnswerError  # a coding that is not undone here would be taken for the body
            self.has_framing = True
        elif name == b"content-length":
            self.has_framing, self.length = True, int(value)
            if self.length > (LONGEST_PASSED if self.may_stream else LONGEST_BODY):
                raise UnreadableAnswerError

    def on_headers_complete(self) -> None:
        self.in_body, status, version = True, self.parser.get_status_code(), self.parser.get_http_version()
        if status < 100 or version not in ("1.0", "1.1"):
            raise UnreadableAnswerError
        self.framing_certain = version == "1.1" and not (self.has_framing and status in (204, 304))
        if status < 200:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise UnreadableAnswerError
        elif not self.has_framing and status not in (204, 304):
            if not self.connection_close and version != "1.0":
                raise UnreadableAnswerError  # neither its length nor its end with the connection is said
            self.until_close = True

    def on_body(self, chunk: bytes) -> None:
        if self.rest is not None:
            self.rest.put(chunk)
            if self.rest.came > LONGEST_PASSED:
                raise UnreadableAnswerError
            return
        self.body += chunk
        if len(self.body) > LONGEST_BODY or (self.length or 0) > LONGEST_BODY:
            if not self.may_stream or self.parser.get_status_code() != 200:
                raise UnreadableAnswerError
            self.start_streaming()

    def start_streaming(self) -> None:
        """Pass the answer on in pieces from here on: it counts as served, and cannot be tried anew."""
        assert self.budget is not None
        self.rest = Pipe(self.budget)
        self.rest.put(bytes(self.body))
        self.body = bytearray()
        content = Content(b"", self.content_type, self.content_encoding, self.rest, self.length)
        self.result = AttemptResult(Outcome.SERVED, Served(content))

    def stream_if_possible(self) -> AttemptResult | None:
        """An answer that does not say how long it is takes its time: pass on what is there, if it can be."""
        if self.result is None and self.may_stream and self.body and self.length is None:
            if self.parser.get_status_code() == 200:
                self.start_streaming()
        return self.result

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self.begun = False
            self.begin_head()
            return
        self.reusable = self.parser.should_keep_alive() and self.framing_certain
        if self.rest is not None:
            return self.end_stream(complete=True)
        self.result, self.ended = self.complete_result(), True

    def complete_result(self) -> AttemptResult:
        """Judge an answer that has come whole."""
        status = self.parser.get_status_code()
        if status == 200:
            return AttemptResult(
                Outcome.SERVED, Served(Content(bytes(self.body), self.content_type, self.content_encoding))
            )
        if status in (503, 504) and self.declined:
            return AttemptResult(Outcome.FULL)
        return AttemptResult(Outcome.ERROR)

    # what the driver calls

    def renew(self) -> bool:
        """Get ready for the next attempt; False where the connection can carry none."""
        if not self.reusable:
            return False
        self.reset()
        return True
