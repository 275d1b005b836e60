"""HTTP/1.1 server side as a sans-I/O state machine, one for each client connection."""

from collections import deque
from collections.abc import Callable, Sequence, Set
from dataclasses import replace
from typing import NoReturn

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from brackenusher.core.admission import Request
from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES, Content, Message
from brackenusher.core.pipe import Pipe, PipeBudget
from brackenusher.core.transaction import Answer, Served
from brackenusher.fronts.http import (
    AUTHORITY_PATTERN,
    REASON_PHRASES,
    HeaderMap,
    Headers,
    Rejection,
    RequestClassifier,
    final_response,
)
from brackenusher.upstream.flow import (
    CHUNK_OVERHEAD_BYTES,
    HEAD_SLACK_BYTES,
    MAX_HEAD_BYTES,
    MAX_MESSAGE_BYTES,
    InvalidResponseError,
)

MAX_PIPELINED_REQUESTS = 16  # pipelined requests that are parsed ahead
# Connection options that are not header names
PLAIN_CONNECTION_OPTIONS = frozenset((b"keep-alive", b"close"))


def connection_headers(headers: Sequence[tuple[bytes, bytes]], header_map: HeaderMap) -> Set[bytes]:
    """Names of the hop-by-hop headers that Connection lists (RFC 9110 7.6.1)."""
    if (
        len(header_map) == len(headers)
        and header_map.get(b"connection", b"close").lower() in PLAIN_CONNECTION_OPTIONS
    ):
        return frozenset()
    values = [value for name, value in headers if name == b"connection"]
    return {option.strip(b" \t").lower() for value in values for option in value.split(b",")}


def check_head(
    header_map: HeaderMap, version: str, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES
) -> Rejection | None:
    """Check a request head for faults after which the rest of the stream cannot be trusted."""
    if version not in ("1.0", "1.1"):
        return Rejection(505, "HTTP/1.1 is spoken here", fatal=True)
    if version == "1.1" and b"host" not in header_map:
        return Rejection(400, "Host is missing", fatal=True)
    if header_map.get(b"host") and not AUTHORITY_PATTERN.match(header_map[b"host"]):
        return Rejection(400, "Host cannot be read", fatal=True)
    if b"transfer-encoding" in header_map:
        if b"content-length" in header_map:  # request smuggling
            return Rejection(400, "Content-Length and Transfer-Encoding exclude each other", fatal=True)
        if header_map[b"transfer-encoding"].lower() != b"chunked" or version == "1.0":
            return Rejection(501, "Transfer-Encoding is not known", fatal=True)
    if int(header_map.get(b"content-length", b"0")) > max_body_bytes:
        return Rejection(413, "the body is too large", fatal=True)
    return None


def origin_form(
    target: bytes, headers: list[tuple[bytes, bytes]]
) -> tuple[bytes, list[tuple[bytes, bytes]]] | Rejection:
    """Convert an absolute-form target to origin form; its authority replaces Host (RFC 9112 3.2.2).

    Other forms are for forward proxies, and a fragment is never sent (RFC 9112 3.2).
    """
    if b"#" in target:
        return Rejection(400, "a target has no fragment")
    if target[:1] == b"/":
        return target, headers
    scheme, _, rest = target.partition(b"://")
    authority = rest.partition(b"/")[0].partition(b"?")[0]
    if scheme.lower() != b"http" or not AUTHORITY_PATTERN.match(authority):
        return Rejection(400, "the target's form is not served here")
    path = rest[len(authority) :]
    others = [(name, value) for name, value in headers if name != b"host"]
    return path if path[:1] == b"/" else b"/" + path, [(b"host", authority), *others]


class Http1Protocol:
    """Protocol state of one client connection; it is fed bytes and does no I/O."""

    def __init__(
        self, classifier: RequestClassifier, is_ready: Callable[[], bool], budget: PipeBudget | None = None
    ) -> None:
        self.classifier, self.is_ready = classifier, is_ready
        self.budget = budget  # for streamed bodies; None disables streaming
        self.max_body_bytes = MAX_BUFFERED_BODY_BYTES if budget is None else MAX_STREAMED_BODY_BYTES
        # receives the rest of a body whose request is already being forwarded
        self.upload: Pipe | None = None
        # bytes charged to the budget; bytes received of the current body
        self.budgeted_bytes, self.body_received = 0, 0
        self.parser = HttpRequestParser(self)
        # each with whether the connection can be kept alive after it, and its HTTP version
        self.pending: deque[tuple[Request | Rejection, bool, str]] = deque()
        self.response_version = "1.1"  # HTTP version of the request being answered
        self.chunked = False  # whether the streamed response uses chunked coding
        self.receiving = self.in_body = False  # a request is being received; its head is complete
        self.target, self.body, self.head_size = b"", bytearray(), 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_map: HeaderMap = {}  # headers by name
        self.method, self.version = b"", ""
        # requests begun so far; bytes received of the current one
        self.request_count, self.request_bytes = 0, 0
        self.rejection: Rejection | None = None  # why the stream cannot be parsed any further
        self.keep_alive = True  # whether the connection stays open after the current response
        # end of input; the current response closes the connection
        self.input_ended = self.closes_connection = False

    def receive(self, data: bytes | memoryview) -> None:
        """Feed bytes, b"" at the end of the stream."""
        if not data:
            self.input_ended = True  # recorded even after a fatal parse error
            if self.receiving:
                self.reject_stream(Rejection(400, "the stream ends inside a request", fatal=True))
        if self.input_ended or self.rejection is not None:
            return
        count_before, size = self.request_count + (not self.receiving), len(data)
        try:
            while data:
                data = self.feed_parser(data)
            if self.receiving:  # after an earlier request in the same data, its own share is unknown
                self.check_request_size(size if self.request_count <= count_before else 0)
        except (HttpParserError, InvalidResponseError) as error:
            self.reject_stream(self.rejection or Rejection(400, str(error), fatal=True))

    def feed_parser(self, data: bytes | memoryview) -> bytes | memoryview:
        """Feed bytes to the parser and return those that it did not consume.

        The parser ends a message after its head if that has an Upgrade header. No other protocol is
        supported, so the header is ignored (RFC 9110 7.8): a new parser gets the head without it, and reads
        the body.
        """
        try:
            self.parser.feed_data(data)
            return b""
        except HttpParserUpgrade as upgrade:
            lines = [b"%s %s HTTP/%s" % (self.method, self.target, self.version.encode())]
            lines += [b"%s: %s" % header for header in self.headers if header[0] != b"upgrade"]
            self.parser = HttpRequestParser(self)
            self.parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")
            return data[upgrade.args[0] :]

    def reject_stream(self, rejection: Rejection) -> None:
        self.rejection, self.receiving = rejection, False
        self.pending.append((rejection, False, self.version))
        if self.upload is not None:
            self.upload.fail()

    def count_head_bytes(self, size: int) -> None:
        """Count the bytes of a head as parsed; the parser reports a header only once it is complete."""
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            self.abort_parsing(Rejection(431, "the head is too large", fatal=True))

    def check_request_size(self, size: int) -> None:
        """Count bytes as received, so that data which the parser buffers unreported is bounded."""
        self.request_bytes += size
        if not self.in_body and self.request_bytes > MAX_HEAD_BYTES + HEAD_SLACK_BYTES:
            self.abort_parsing(Rejection(431, "the head is too large", fatal=True))
        if self.request_bytes > MAX_MESSAGE_BYTES + CHUNK_OVERHEAD_BYTES * self.body_received:
            self.abort_parsing(Rejection(413, "the body's framing is too large", fatal=True))

    def abort_parsing(self, rejection: Rejection) -> NoReturn:
        """Abort parsing from within a parser callback."""
        self.rejection = rejection
        raise InvalidResponseError

    # callbacks of the parser

    def on_message_begin(self) -> None:
        self.receiving, self.in_body = True, False
        self.target, self.headers, self.body, self.head_size = b"", [], bytearray(), 0
        self.request_count, self.request_bytes, self.body_received = self.request_count + 1, 0, 0

    def on_url(self, part: bytes) -> None:
        self.target += part
        self.count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_body:  # else a trailer, which is dropped
            self.headers.append((name.lower(), value.strip(b" \t")))
        self.count_head_bytes(len(name) + len(value) + 4)  # with ": " and CRLF

    def on_headers_complete(self) -> None:
        self.in_body = True
        self.method, self.version = self.parser.get_method(), self.parser.get_http_version()
        if self.method == b"CONNECT":  # what follows may be in any protocol
            allow: Headers = ((b"allow", b"GET, POST"),)
            self.abort_parsing(Rejection(405, "no tunnels are made here", allow, fatal=True))
        header_map = self.classifier.index_headers(self.headers)
        if isinstance(header_map, Rejection):
            self.abort_parsing(header_map)
        rejection = check_head(header_map, self.version, self.max_body_bytes)
        if rejection is not None:
            self.abort_parsing(rejection)
        self.header_map = header_map
        if names := connection_headers(self.headers, header_map):
            if not self.classifier.single_value_headers.isdisjoint(names):
                self.abort_parsing(
                    Rejection(400, "Connection names a header of more than one hop", fatal=True)
                )
            self.headers = [header for header in self.headers if header[0] not in names]

    def on_body(self, part: bytes) -> None:
        self.body_received += len(part)
        if self.body_received > self.max_body_bytes:
            self.abort_parsing(Rejection(413, "the body is too large", fatal=True))
        if self.upload is not None:
            self.upload.write(part)
            return
        self.body += part
        if (
            self.budget is not None
            and self.body_received > MAX_BUFFERED_BODY_BYTES
            and not self.charge_budget(len(part))
        ):
            self.begin_upload(self.budget)

    def charge_budget(self, size: int) -> bool:
        """Charge received body bytes to the budget; False if no more may be buffered."""
        assert self.budget is not None
        if not self.budget.may_buffer(self.body_received):
            return False
        self.budgeted_bytes += size
        self.budget.buffered_body_bytes += size
        return True

    def release_budget(self) -> None:
        """Return the charged bytes to the budget."""
        if self.budget is not None:
            self.budget.buffered_body_bytes -= self.budgeted_bytes
            self.budgeted_bytes = 0

    def begin_upload(self, budget: PipeBudget) -> None:
        """Forward the request now and stream the rest of its body, which is too long to buffer."""
        item = self.complete_request()
        if isinstance(item, Rejection):
            self.abort_parsing(replace(item, fatal=True))
        self.upload = item.message.body_pipe = Pipe(budget)
        length = self.header_map.get(b"content-length")
        item.message.length = int(length) if length is not None else None
        self.body = bytearray()
        self.pending.append((item, self.parser.should_keep_alive() and self.version == "1.1", self.version))

    def on_message_complete(self) -> None:
        if self.parser.should_upgrade():
            return  # Upgrade is ignored, see `feed_parser`
        self.receiving = False
        if self.upload is not None:
            self.upload.finish()
            self.upload = None
            return
        keep_alive = self.parser.should_keep_alive() and self.version == "1.1"
        item = self.complete_request()
        if self.method == b"HEAD" and isinstance(item, Rejection):
            item = replace(item, text="")  # the client would parse a body as the next response
        self.pending.append((item, keep_alive, self.version))

    def complete_request(self) -> Request | Rejection:
        """Classify the completely received request: accept it, or reject it with the reason."""
        origin = origin_form(self.target, self.headers)
        if isinstance(origin, Rejection):
            return origin
        message = Message(self.method, *origin, bytes(self.body), accepts_stream=self.budget is not None)
        return self.classifier.classify(message, self.header_map, self.is_ready)

    # called by the connection driver

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or pending."""
        return not self.receiving and not self.pending

    @property
    def read_paused(self) -> bool:
        """Whether reading is paused, as enough pipelined requests or body bytes are buffered."""
        return len(self.pending) >= MAX_PIPELINED_REQUESTS or self.upload is not None and self.upload.full

    def next_request(self) -> Request | Rejection | None:
        """The next request, or the rejection to send in its place; None until more bytes arrive."""
        if self.pending:
            item, self.keep_alive, self.response_version = self.pending.popleft()
            return item
        self.closes_connection = self.closes_connection or self.input_ended
        return None

    def continue_response(self) -> bytes:
        """The interim response for a client that expects 100 Continue."""
        if not self.receiving or not self.in_body or self.version != "1.1":
            return b""
        expectations = [header for header in self.headers if header[0] == b"expect"]
        self.headers = [header for header in self.headers if header[0] != b"expect"]
        if all(value.lower() != b"100-continue" for _, value in expectations):
            return b""
        return b"HTTP/1.1 100 Continue\r\n\r\n"

    def encode_answer(self, answer: Answer, close: bool) -> bytes:
        """Encode a final answer; `close` announces the end of the connection."""
        return self.encode_response(*final_response(answer), close)

    def encode_rejection(self, rejection: Rejection, close: bool) -> bytes:
        """Encode a rejection."""
        body = rejection.text.encode() + b"\n" if rejection.text else b""
        return self.encode_response(rejection.status, body, rejection.headers, close or rejection.fatal)

    def encode_response_start(self, content: Content, close: bool) -> bytes:
        """Encode the head of a streamed response."""
        status, _, headers = final_response(Served(content))
        self.chunked = content.length is None and self.response_version == "1.1"
        if self.chunked:
            headers += ((b"transfer-encoding", b"chunked"),)
        elif content.length is not None:
            headers += ((b"content-length", b"%d" % content.length),)
        else:  # delimited by the end of the connection
            close = True
        return self.encode_head(status, headers, close)

    def encode_chunk(self, data: bytes) -> bytes:
        """Encode a part of a streamed response."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def encode_response_end(self) -> bytes:
        """Encode the end of a streamed response."""
        return b"0\r\n\r\n" if self.chunked else b""

    def encode_response(
        self, status: int, body: bytes, headers: Sequence[tuple[bytes, bytes]], close: bool
    ) -> bytes:
        return self.encode_head(status, (*headers, (b"content-length", b"%d" % len(body))), close) + body

    def encode_head(self, status: int, headers: Sequence[tuple[bytes, bytes]], close: bool) -> bytes:
        upload_unfinished = self.upload is not None  # the response precedes the end of the request body
        self.closes_connection = close or self.input_ended or not self.keep_alive or upload_unfinished
        lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES[status])]
        lines += [b"%s: %s" % header for header in headers]
        if self.closes_connection:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"
