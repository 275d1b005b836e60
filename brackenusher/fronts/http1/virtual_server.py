"""The virtual server: the clients' side of HTTP, one state machine for each connection."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import NoReturn

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from brackenusher.core.admission import Request
from brackenusher.core.message import LONGEST_BODY, Message
from brackenusher.core.transaction import Answer
from brackenusher.fronts.http import REASONS, Fields, Front, Rejection, final
from brackenusher.upstream.flow import LONGEST_HEAD, Spoilt

MOST_AHEAD = 16  # requests that a client may send ahead of the answer it waits for


def judge(seen: Fields, version: str) -> Rejection | None:
    """Say what is wrong with a head, where the rest of the stream cannot be trusted after it."""
    if version not in ("1.0", "1.1"):
        return Rejection(505, "HTTP/1.1 is spoken here", fatal=True)
    if version == "1.1" and b"host" not in seen:
        return Rejection(400, "Host is missing", fatal=True)
    if b"transfer-encoding" in seen:
        if b"content-length" in seen:  # which of them counts? another request may hide in the body
            return Rejection(400, "Content-Length and Transfer-Encoding exclude each other", fatal=True)
        if seen[b"transfer-encoding"].lower() != b"chunked" or version == "1.0":
            return Rejection(501, "Transfer-Encoding is not known", fatal=True)
    if int(seen.get(b"content-length", b"0")) > LONGEST_BODY:
        return Rejection(413, "the body is too large", fatal=True)
    return None


class VirtualServer:
    """One client connection; it is fed bytes and knows no socket."""

    def __init__(self, front: Front, ready: Callable[[], bool]) -> None:
        self.front, self.ready = front, ready
        self.parser = HttpRequestParser(self)
        self.items: deque[tuple[Request | Rejection, bool]] = deque()  # and whether the connection goes on
        self.coming = self.in_body = False  # a request has begun to come in; its head is whole
        self.target, self.body, self.size = b"", bytearray(), 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.fields: Fields = {}  # the headers by name
        self.rejection: Rejection | None = None  # why the stream cannot be read any further
        self.goes_on = True  # whether the connection can, after what is being answered
        self.ended = self.last = False  # the client sends no more; this answer ends the connection

    def receive(self, data: bytes | memoryview) -> None:
        """Take bytes, b"" at the end of the stream."""
        if self.ended or self.rejection is not None:
            return
        self.ended = not data
        if self.ended:
            if self.coming:
                self.reject_stream(Rejection(400, "the stream ends inside a request", fatal=True))
            return
        try:
            self.parser.feed_data(data)
            if self.coming and not self.in_body:
                self.count(len(data))
        except HttpParserUpgrade:  # the request counts, what comes after it is in no known language
            self.rejection = Rejection(400, "no other protocol is spoken here", fatal=True)
        except (HttpParserError, Spoilt) as error:
            self.reject_stream(self.rejection or Rejection(400, str(error), fatal=True))

    def reject_stream(self, rejection: Rejection) -> None:
        self.rejection, self.coming = rejection, False
        self.items.append((rejection, False))

    def count(self, size: int) -> None:
        self.size += size
        if self.size > LONGEST_HEAD:
            self.spoilt(Rejection(431, "the head is too large", fatal=True))

    def spoilt(self, rejection: Rejection) -> NoReturn:
        """Have the parser stop where it is."""
        self.rejection = rejection
        raise Spoilt

    # what the parser calls

    def on_message_begin(self) -> None:
        self.coming, self.in_body = True, False
        self.target, self.headers, self.body, self.size = b"", [], bytearray(), 0

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_body:  # else a trailer, which nobody needs
            self.headers.append((name.lower(), value.strip()))
        self.count(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.in_body = True
        fields = self.front.fields(self.headers)
        if isinstance(fields, Rejection):
            self.spoilt(fields)
        rejection = judge(fields, self.parser.get_http_version())
        if rejection is not None:
            self.spoilt(rejection)
        self.fields = fields

    def on_body(self, part: bytes) -> None:
        self.body += part
        if len(self.body) > LONGEST_BODY:
            self.spoilt(Rejection(413, "the body is too large", fatal=True))

    def on_message_complete(self) -> None:
        self.coming = False
        goes_on = self.parser.should_keep_alive() and self.parser.get_http_version() == "1.1"
        message = Message(self.parser.get_method(), self.target, self.headers, bytes(self.body))
        self.items.append((self.front.take(message, self.fields, self.ready), goes_on))

    # what the driver calls

    @property
    def between(self) -> bool:
        """Whether no request has begun to come in."""
        return not self.coming and not self.items

    @property
    def full(self) -> bool:
        """Whether so much came ahead of its turn that nothing more is to be read."""
        return len(self.items) >= MOST_AHEAD

    def next(self) -> Request | Rejection | None:
        """The next request or what is to be answered in its place, None until more bytes come."""
        if self.items:
            item, self.goes_on = self.items.popleft()
            return item
        self.last = self.last or self.ended
        return None

    def go_on(self) -> bytes:
        """What to send to a client that waits for leave to send its body."""
        if not self.coming or not self.in_body or (b"expect", b"100-continue") not in self.headers:
            return b""
        self.headers.remove((b"expect", b"100-continue"))
        return b"HTTP/1.1 100 Continue\r\n\r\n"

    def answer(self, answer: Answer, last: bool) -> bytes:
        """The bytes of a final answer; `last` where the connection is to end after it."""
        return self.respond(*final(answer), last)

    def reject(self, rejection: Rejection, last: bool) -> bytes:
        """The bytes of an answer that took no decision."""
        body = rejection.text.encode() + b"\n"
        return self.respond(rejection.status, body, rejection.headers, last or rejection.fatal)

    def respond(self, status: int, body: bytes, headers: Sequence[tuple[bytes, bytes]], last: bool) -> bytes:
        self.last = last or self.ended or not self.goes_on
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
        lines += [b"%s: %s" % header for header in headers]
        lines.append(b"content-length: %d" % len(body))
        if self.last:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
