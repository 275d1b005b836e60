"""The virtual server: the clients' side of HTTP, one state machine for each connection."""

from collections import deque
from collections.abc import Callable, Sequence, Set
from dataclasses import replace
from typing import NoReturn

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from brackenusher.core.admission import Request
from brackenusher.core.message import LONGEST_BODY, LONGEST_PASSED, Content, Message
from brackenusher.core.pipe import Budget, Pipe
from brackenusher.core.transaction import Answer, Served
from brackenusher.fronts.http import AUTHORITY, REASONS, Fields, Front, Headers, Rejection, final
from brackenusher.upstream.flow import FRAMING, LONGEST_HEAD, LONGEST_STREAM, SLACK, UnreadableAnswerError

MOST_AHEAD = 16  # requests that a client may send ahead of the answer it waits for
USUAL = frozenset((b"keep-alive", b"close"))  # options of Connection that name no header


def nominated(headers: Sequence[tuple[bytes, bytes]], seen: Fields) -> Set[bytes]:
    """Names of headers that concern this hop alone, as Connection says (RFC 9110 7.6.1)."""
    if len(seen) == len(headers) and seen.get(b"connection", b"close").lower() in USUAL:
        return frozenset()
    values = [value for name, value in headers if name == b"connection"]
    return {option.strip(b" \t").lower() for value in values for option in value.split(b",")}


def judge(seen: Fields, version: str, longest: int = LONGEST_BODY) -> Rejection | None:
    """Say what is wrong with a head, where the rest of the stream cannot be trusted after it."""
    if version not in ("1.0", "1.1"):
        return Rejection(505, "HTTP/1.1 is spoken here", fatal=True)
    if version == "1.1" and b"host" not in seen:
        return Rejection(400, "Host is missing", fatal=True)
    if seen.get(b"host") and not AUTHORITY.match(seen[b"host"]):
        return Rejection(400, "Host cannot be read", fatal=True)
    if b"transfer-encoding" in seen:
        if b"content-length" in seen:  # which of them counts? another request may hide in the body
            return Rejection(400, "Content-Length and Transfer-Encoding exclude each other", fatal=True)
        if seen[b"transfer-encoding"].lower() != b"chunked" or version == "1.0":
            return Rejection(501, "Transfer-Encoding is not known", fatal=True)
    if int(seen.get(b"content-length", b"0")) > longest:
        return Rejection(413, "the body is too large", fatal=True)
    return None


def origin_form(
    target: bytes, headers: list[tuple[bytes, bytes]]
) -> tuple[bytes, list[tuple[bytes, bytes]]] | Rejection:
    """Put a target in absolute form into origin form; its authority takes the place of Host (RFC 9112 3.2.2).

    Other forms are for proxies of another kind, and a fragment is never sent (RFC 9112 3.2).
    """
    if b"#" in target:
        return Rejection(400, "a target has no fragment")
    if target[:1] == b"/":
        return target, headers
    scheme, _, rest = target.partition(b"://")
    authority = rest.partition(b"/")[0].partition(b"?")[0]
    if scheme.lower() != b"http" or not AUTHORITY.match(authority):
        return Rejection(400, "the target's form is not served here")
    path = rest[len(authority) :]
    others = [(name, value) for name, value in headers if name != b"host"]
    return path if path[:1] == b"/" else b"/" + path, [(b"host", authority), *others]


class VirtualServer:
    """One client connection; it is fed bytes and knows no socket."""

    def __init__(self, front: Front, ready: Callable[[], bool], budget: Budget | None = None) -> None:
        self.front, self.ready = front, ready
        self.budget = budget  # for what is passed on in pieces; none: nothing is
        self.longest = LONGEST_BODY if budget is None else LONGEST_PASSED
        self.upload: Pipe | None = (
            None  # the rest of a body that comes in while its request is served already
        )
        self.kept, self.body_come = 0, 0  # bytes on the budget; bytes of the present body that have come
        self.parser = HttpRequestParser(self)
        # with each, whether the connection can go on after it, and its version
        self.items: deque[tuple[Request | Rejection, bool, str]] = deque()
        self.of = "1.1"  # the version of the request that is being answered
        self.chunked = False  # the answer that is being written in pieces
        self.coming = self.in_body = False  # a request has begun to come in; its head is whole
        self.target, self.body, self.size = b"", bytearray(), 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.fields: Fields = {}  # the headers by name
        self.method, self.version = b"", ""
        self.begun, self.come = 0, 0  # requests that began to come in; bytes of the one that comes in
        self.rejection: Rejection | None = None  # why the stream cannot be read any further
        self.goes_on = True  # whether the connection can, after what is being answered
        self.ended = self.last = False  # the client sends no more; this answer ends the connection

    def receive(self, data: bytes | memoryview) -> None:
        """Take bytes, b"" at the end of the stream."""
        if not data:
            self.ended = True  # to be known also where the stream cannot be read any further
            if self.coming:
                self.reject_stream(Rejection(400, "the stream ends inside a request", fatal=True))
        if self.ended or self.rejection is not None:
            return
        before, size = self.begun + (not self.coming), len(data)
        try:
            while data:
                data = self.feed(data)
            if self.coming:  # where others came before it, how much is its own is not known
                self.weigh(size if self.begun <= before else 0)
        except (HttpParserError, UnreadableAnswerError) as error:
            self.reject_stream(self.rejection or Rejection(400, str(error), fatal=True))

    def feed(self, data: bytes | memoryview) -> bytes | memoryview:
        """Hand bytes to the parser, and return those that it left.

        It ends a message at its head where that offers to go on in another protocol. Nobody speaks one
        here, so the offer is ignored (RFC 9110 7.8) and the body read, by a parser that has not seen it.
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
        self.rejection, self.coming = rejection, False
        self.items.append((rejection, False, self.version))
        if self.upload is not None:
            self.upload.fail()

    def count(self, size: int) -> None:
        """Count what the parser told of a head; it tells of a header once that is whole."""
        self.size += size
        if self.size > LONGEST_HEAD:
            self.spoilt(Rejection(431, "the head is too large", fatal=True))

    def weigh(self, size: int) -> None:
        """Count bytes as they come, lest what the parser does not tell of yet grows without bound."""
        self.come += size
        if not self.in_body and self.come > LONGEST_HEAD + SLACK:
            self.spoilt(Rejection(431, "the head is too large", fatal=True))
        if self.come > LONGEST_STREAM + FRAMING * self.body_come:
            self.spoilt(Rejection(413, "the body's framing is too large", fatal=True))

    def spoilt(self, rejection: Rejection) -> NoReturn:
        """Have the parser stop where it is."""
        self.rejection = rejection
        raise UnreadableAnswerError

    # what the parser calls

    def on_message_begin(self) -> None:
        self.coming, self.in_body = True, False
        self.target, self.headers, self.body, self.size = b"", [], bytearray(), 0
        self.begun, self.come, self.body_come = self.begun + 1, 0, 0

    def on_url(self, part: bytes) -> None:
        self.target += part
        self.count(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_body:  # else a trailer, which nobody needs
            self.headers.append((name.lower(), value.strip(b" \t")))
        self.count(len(name) + len(value) + 4)  # with its colon, a space and the line's end

    def on_headers_complete(self) -> None:
        self.in_body = True
        self.method, self.version = self.parser.get_method(), self.parser.get_http_version()
        if self.method == b"CONNECT":  # what comes after it may be in any language
            allow: Headers = ((b"allow", b"GET, POST"),)
            self.spoilt(Rejection(405, "no tunnels are made here", allow, fatal=True))
        fields = self.front.fields(self.headers)
        if isinstance(fields, Rejection):
            self.spoilt(fields)
        rejection = judge(fields, self.version, self.longest)
        if rejection is not None:
            self.spoilt(rejection)
        self.fields = fields
        if names := nominated(self.headers, fields):
            if not self.front.once.isdisjoint(names):
                self.spoilt(Rejection(400, "Connection names a header of more than one hop", fatal=True))
            self.headers = [header for header in self.headers if header[0] not in names]

    def on_body(self, part: bytes) -> None:
        self.body_come += len(part)
        if self.body_come > self.longest:
            self.spoilt(Rejection(413, "the body is too large", fatal=True))
        if self.upload is not None:
            self.upload.put(part)
            return
        self.body += part
        if self.budget is not None and self.body_come > LONGEST_BODY and not self.keep(len(part)):
            self.pass_on(self.budget)

    def keep(self, size: int) -> bool:
        """Put what came of a body on the budget; False where it can be kept no further."""
        assert self.budget is not None
        if not self.budget.may_keep(self.body_come):
            return False
        self.kept += size
        self.budget.kept += size
        return True

    def forget(self) -> None:
        """Nothing of what came is needed any more."""
        if self.budget is not None:
            self.budget.kept -= self.kept
            self.kept = 0

    def pass_on(self, budget: Budget) -> None:
        """A body is too long to be kept: its request is served from now on, and the rest follows."""
        item = self.whole()
        if isinstance(item, Rejection):
            self.spoilt(replace(item, fatal=True))
        self.upload = item.message.rest = Pipe(budget)
        length = self.fields.get(b"content-length")
        item.message.length = int(length) if length is not None else None
        self.body = bytearray()
        self.items.append((item, self.parser.should_keep_alive() and self.version == "1.1", self.version))

    def on_message_complete(self) -> None:
        if self.parser.should_upgrade():
            return  # it is not: see feed
        self.coming = False
        if self.upload is not None:
            self.upload.finish()
            self.upload = None
            return
        goes_on = self.parser.should_keep_alive() and self.version == "1.1"
        item = self.whole()
        if self.method == b"HEAD" and isinstance(item, Rejection):
            item = replace(item, text="")  # the client would take a body for the next answer
        self.items.append((item, goes_on, self.version))

    def whole(self) -> Request | Rejection:
        """What a request that has come whole is to be answered with, or that it may be taken."""
        read = origin_form(self.target, self.headers)
        if isinstance(read, Rejection):
            return read
        message = Message(self.method, *read, bytes(self.body), streams=self.budget is not None)
        return self.front.take(message, self.fields, self.ready)

    # what the driver calls

    @property
    def between(self) -> bool:
        """Whether no request has begun to come in."""
        return not self.coming and not self.items

    @property
    def full(self) -> bool:
        """Whether so much came ahead of its turn that nothing more is to be read."""
        return len(self.items) >= MOST_AHEAD or self.upload is not None and self.upload.full

    def next(self) -> Request | Rejection | None:
        """The next request or what is to be answered in its place, None until more bytes come."""
        if self.items:
            item, self.goes_on, self.of = self.items.popleft()
            return item
        self.last = self.last or self.ended
        return None

    def go_on(self) -> bytes:
        """What to send to a client that waits for leave to send its body."""
        if not self.coming or not self.in_body or self.version != "1.1":
            return b""
        waits = [header for header in self.headers if header[0] == b"expect"]
        self.headers = [header for header in self.headers if header[0] != b"expect"]
        if all(value.lower() != b"100-continue" for _, value in waits):
            return b""
        return b"HTTP/1.1 100 Continue\r\n\r\n"

    def answer(self, answer: Answer, last: bool) -> bytes:
        """The bytes of a final answer; `last` where the connection is to end after it."""
        return self.respond(*final(answer), last)

    def reject(self, rejection: Rejection, last: bool) -> bytes:
        """The bytes of an answer that took no decision."""
        body = rejection.text.encode() + b"\n" if rejection.text else b""
        return self.respond(rejection.status, body, rejection.headers, last or rejection.fatal)

    def begin(self, content: Content, last: bool) -> bytes:
        """The head of an answer that follows in pieces."""
        status, _, headers = final(Served(content))
        self.chunked = content.length is None and self.of == "1.1"
        if self.chunked:
            headers += ((b"transfer-encoding", b"chunked"),)
        elif content.length is not None:
            headers += ((b"content-length", b"%d" % content.length),)
        else:  # it goes on to the end of the connection
            last = True
        return self.head(status, headers, last)

    def piece(self, data: bytes) -> bytes:
        """A part of such an answer, as it is written."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def end(self) -> bytes:
        """What is written behind the last part."""
        return b"0\r\n\r\n" if self.chunked else b""

    def respond(self, status: int, body: bytes, headers: Sequence[tuple[bytes, bytes]], last: bool) -> bytes:
        return self.head(status, (*headers, (b"content-length", b"%d" % len(body))), last) + body

    def head(self, status: int, headers: Sequence[tuple[bytes, bytes]], last: bool) -> bytes:
        unread = self.upload is not None  # an answer that comes before the body has come
        self.last = last or self.ended or not self.goes_on or unread
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
        lines += [b"%s: %s" % header for header in headers]
        if self.last:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"
