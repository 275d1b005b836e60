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
KEPT = re.compile(rb"\btimeout=([0-9]{1,6})\b", re.IGNORECASE)  # RFC 2068, 19.7.1.1; servers still send it
MOST_INTERIM = 16  # answers of the kind 1xx ahead of the final one
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
class Reply:
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
        self.streams = False  # whether the present request's client can be given one
        self.parser = HttpResponseParser(self)
        self.promised: float | None = None  # for how many seconds the server says it keeps an idle connection
        self.usable = True  # the stream can be trusted to begin the next answer where this one ended
        self.reset()

    def reset(self) -> None:
        self.reply: Reply | None = None
        self.begun, self.interim = False, 0  # a byte of the final answer is here
        self.heads, self.come = 0, 0  # heads that began; bytes that have come of the answer
        self.rest: Pipe | None = None  # an answer that is passed on in pieces
        self.done = False  # the answer is whole, or nothing more will come of it
        self.begin()

    def begin(self) -> None:
        """Get ready for a head."""
        self.in_body, self.framed, self.closing, self.to_the_end = False, False, False, False
        self.length: int | None = None
        self.sure = True  # where the answer ends, also to one who reads its head otherwise
        self.declined: bool | None = None
        self.kind: bytes | None = None
        self.coding: bytes | None = None
        self.body, self.size = bytearray(), 0

    def request(self, message: Message, wait: float) -> bytes:
        """The bytes of a request or its first part; `wait` tells how many milliseconds the server has."""
        self.streams = message.streams and self.budget is not None
        lines = [b"%s %s HTTP/1.1" % (message.method, message.target)]
        named = False
        for name, value in message.headers:
            if name not in HOP_BY_HOP:
                lines.append(b"%s: %s" % (name, value))
                named = named or name == b"host"
        if not named:
            lines.append(b"host: " + self.authority)
        lines.append(b"req-deadline: %dm" % max(1, int(wait)))
        self.chunked = message.rest is not None and message.length is None
        if self.chunked:
            lines.append(b"transfer-encoding: chunked")
        elif message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % (message.length or len(message.body)))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.piece(message.body)

    def piece(self, data: bytes) -> bytes:
        """A part of the body, as it is written."""
        return b"%x\r\n%b\r\n" % (len(data), data) if self.chunked and data else data

    def last(self) -> bytes:
        """What is written behind the last part of the body."""
        return b"0\r\n\r\n" if self.chunked else b""

    def receive(self, data: bytes | memoryview) -> Reply | None:
        """Take bytes, b"" at the end of the stream; return what the attempt came to once that is known."""
        if not data:
            self.usable = False
            if self.rest is not None:
                self.end(whole=self.done or self.to_the_end)
            elif self.reply is None:
                self.reply = self.whole() if self.to_the_end else Reply(Outcome.RESET)
            return self.reply
        before, size = self.heads + (not self.begun), len(data)
        try:
            self.parser.feed_data(data)
            if not self.done:  # where others came before it, how much is its own is not known
                self.weigh(size if self.heads <= before else 0)
        except (HttpParserError, HttpParserUpgrade, UnreadableAnswerError):
            self.usable = False
            if self.rest is not None:
                self.end(whole=self.done)
            elif self.reply is None:
                self.reply = Reply(Outcome.ERROR)
        return self.reply

    def end(self, whole: bool) -> None:
        """Nothing more comes of an answer that is passed on in pieces."""
        if self.done:
            return
        self.done = True
        assert self.rest is not None
        if whole:
            self.rest.finish()
        else:
            self.rest.fail()

    def count(self, size: int) -> None:
        """Count what the parser told of a head; it tells of a header once that is whole."""
        self.size += size
        if self.size > LONGEST_HEAD:
            raise UnreadableAnswerError

    def weigh(self, size: int) -> None:
        """Count bytes as they come, lest what the parser does not tell of yet grows without bound."""
        self.come += size
        most = LONGEST_STREAM + (FRAMING * self.rest.came if self.rest is not None else 0)
        if self.come > (most if self.in_body else LONGEST_HEAD + SLACK):
            raise UnreadableAnswerError

    # what the parser calls

    def on_message_begin(self) -> None:
        self.begun, self.heads, self.come = True, self.heads + 1, 0
        if self.done:  # more than belongs to the answer: the next request could be given it
            raise UnreadableAnswerError

    def on_header(self, name: bytes, value: bytes) -> None:
        self.count(len(name) + len(value) + 4)  # with its colon, a space and the line's end
        if self.in_body:
            return  # a trailer
        name, value = name.lower(), value.strip(b" \t")
        if name == b"srv-declined":
            self.declined = value == b"1" and self.declined is not False  # two that differ prove nothing
        elif name == b"content-type":
            self.kind = value
        elif name == b"content-encoding":
            self.coding = value if self.coding is None else self.coding + b", " + value
        elif name == b"keep-alive":
            match = KEPT.search(value)
            self.promised = float(match[1]) if match else None
        elif name == b"connection":
            options = [option.strip(b" \t") for option in value.lower().split(b",")]
            self.closing = self.closing or b"close" in options
        elif name == b"transfer-encoding":
            if self.framed or value.lower() != b"chunked":
                raise UnreadableAnswerError  # a coding that is not undone here would be taken for the body
            self.framed = True
        elif name == b"content-length":
            self.framed, self.length = True, int(value)
            if self.length > (LONGEST_PASSED if self.streams else LONGEST_BODY):
                raise UnreadableAnswerError

    def on_headers_complete(self) -> None:
        self.in_body, status, version = True, self.parser.get_status_code(), self.parser.get_http_version()
        if status < 100 or version not in ("1.0", "1.1"):
            raise UnreadableAnswerError
        self.sure = version == "1.1" and not (self.framed and status in (204, 304))
        if status < 200:
            self.interim += 1
            if self.interim > MOST_INTERIM:
                raise UnreadableAnswerError
        elif not self.framed and status not in (204, 304):
            if not self.closing and version != "1.0":
                raise UnreadableAnswerError  # neither its length nor its end with the connection is said
            self.to_the_end = True

    def on_body(self, part: bytes) -> None:
        if self.rest is not None:
            self.rest.put(part)
            if self.rest.came > LONGEST_PASSED:
                raise UnreadableAnswerError
            return
        self.body += part
        if len(self.body) > LONGEST_BODY or (self.length or 0) > LONGEST_BODY:
            if not self.streams or self.parser.get_status_code() != 200:
                raise UnreadableAnswerError
            self.pass_on()

    def pass_on(self) -> None:
        """Pass the answer on in pieces from here on: it counts as served, and cannot be tried anew."""
        assert self.budget is not None
        self.rest = Pipe(self.budget)
        self.rest.put(bytes(self.body))
        self.body = bytearray()
        content = Content(b"", self.kind, self.coding, self.rest, self.length)
        self.reply = Reply(Outcome.SERVED, Served(content))

    def hurry(self) -> Reply | None:
        """An answer that does not say how long it is takes its time: pass on what is there, if it can be."""
        if self.reply is None and self.streams and self.body and self.length is None:
            if self.parser.get_status_code() == 200:
                self.pass_on()
        return self.reply

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            self.begun = False
            self.begin()
            return
        self.usable = self.parser.should_keep_alive() and self.sure
        if self.rest is not None:
            return self.end(whole=True)
        self.reply, self.done = self.whole(), True

    def whole(self) -> Reply:
        """Judge an answer that has come whole."""
        status = self.parser.get_status_code()
        if status == 200:
            return Reply(Outcome.SERVED, Served(Content(bytes(self.body), self.kind, self.coding)))
        if status in (503, 504) and self.declined:
            return Reply(Outcome.FULL)
        return Reply(Outcome.ERROR)

    # what the driver calls

    def renew(self) -> bool:
        """Get ready for the next attempt; False where the connection can carry none."""
        if not self.usable:
            return False
        self.reset()
        return True
