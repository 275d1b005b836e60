"""The virtual server: the clients' side of HTTP, one state machine for each connection."""

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import unquote

import h11

from barleybarrow import interface as face
from barleybarrow.interface import Effect
from brackenusher.flow import LONGEST_BODY, Message
from brackenusher.transaction import Answer, Refused, Served

LONGEST_HEAD = 16 * 1024
READY = b"/health/ready"
ONCE = frozenset(  # headers that are read here or there: a second one could be read otherwise by the next
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"idempotency-key",
        b"req-id",
        b"req-kind",
        b"req-owner",
        b"req-deadline",
        b"req-retry",
        b"req-extra",
    )
)
ID = re.compile(rb"[!-~]{1,256}\Z")  # an id or a key that can be passed on
SPAN = re.compile(rb"([0-9]{1,9}(?:\.[0-9]{1,9})?)([mu])\Z")
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


@dataclass(slots=True)
class Request:
    """A request that may be taken."""

    name: bytes
    klass: int
    span: float
    tenant: int
    repeated: bool
    message: Message


@dataclass(slots=True)
class Rejection:
    """An answer that needs no decision; `fatal` where the rest of the stream cannot be read."""

    status: int
    text: str
    headers: tuple[tuple[bytes, bytes], ...] = ()
    fatal: bool = False


class Front:
    """What every connection's machine needs to know: the classes and the tenants by name."""

    def __init__(self, settings: face.Settings) -> None:
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.methods = [b"GET" if c.effect is Effect.SAFE else b"POST" for c in settings.classes]
        self.deadlines = [c.deadline for c in settings.classes]
        self.tenants = {name.encode(): i for i, name in enumerate(settings.tenants)}

    def read(self, head: h11.Request, body: bytes) -> Request | Rejection:
        """Translate a whole request, or say what is wrong with it."""
        path = bytes(head.target).partition(b"?")[0]
        name = path[1:].partition(b"/")[0]
        klass = self.classes.get(name)
        if klass is None and b"%" in name:
            klass = self.classes.get(unquote(name).encode())
        if klass is None or path[:1] != b"/":
            return Rejection(404, "no such class")
        if head.method != self.methods[klass]:
            return Rejection(405, "wrong method for the class", ((b"allow", self.methods[klass]),))
        fields = dict(head.headers)  # none that counts is there twice
        kind = fields.get(b"req-kind")
        if kind is not None and self.classes.get(kind) != klass:
            return Rejection(404 if kind not in self.classes else 400, "Req-Kind is not the path's class")
        if not ID.match(fields.get(b"req-id", b"")):
            return Rejection(400, "Req-Id is missing or cannot be passed on")
        if self.methods[klass] == b"GET" and body:
            return Rejection(400, "no body is expected")
        if self.methods[klass] == b"POST" and not ID.match(fields.get(b"idempotency-key", b"")):
            return Rejection(400, "Idempotency-Key is missing or cannot be passed on")
        owner, tenant = fields.get(b"req-owner"), 0
        if owner is not None and self.tenants:
            tenant = self.tenants.get(owner, -1)
            if tenant < 0:
                return Rejection(400, "Req-Owner is unknown")
        span = self.deadlines[klass]
        if b"req-deadline" in fields:
            match = SPAN.match(fields[b"req-deadline"])
            if match is None:
                return Rejection(400, "Req-Deadline cannot be read")
            span = min(span, float(match[1]) / (1.0 if match[2] == b"m" else 1000.0))
        message = Message(bytes(head.method), bytes(head.target), list(head.headers), body)
        return Request(fields[b"req-id"], klass, span, tenant, fields.get(b"req-retry") == b"1", message)


def frame(headers: Sequence[tuple[bytes, bytes]]) -> Rejection | None:
    """Say what is wrong with a head, where the rest of the stream cannot be trusted after it."""
    seen: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in ONCE and name in seen:
            return Rejection(400, f"{name.decode()} is there twice", fatal=True)
        seen[name] = value
    if b"content-length" in seen:
        if b"transfer-encoding" in seen:  # which of them counts? another request may hide in the body
            return Rejection(400, "Content-Length and Transfer-Encoding exclude each other", fatal=True)
        if int(seen[b"content-length"]) > LONGEST_BODY:
            return Rejection(413, "the body is too large", fatal=True)
    return None


class VirtualServer:
    """One client connection; it is fed bytes and knows no socket."""

    def __init__(self, front: Front, ready: Callable[[], bool]) -> None:
        self.front, self.ready = front, ready
        self.machine = h11.Connection(h11.SERVER, max_incomplete_event_size=LONGEST_HEAD)
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.ended = self.last = False  # the client sends no more; this answer ends the connection

    def receive(self, data) -> None:
        """Take bytes, b"" at the end of the stream."""
        if self.ended:
            return
        self.ended = not data
        self.machine.receive_data(data)

    @property
    def between(self) -> bool:
        """Whether no request has begun to come in."""
        return (
            self.machine.their_state is h11.IDLE
            and self.machine.our_state is h11.IDLE
            and not self.machine.trailing_data[0]
        )

    @property
    def waiting(self) -> int:
        """How many bytes came ahead of their turn."""
        return len(self.machine.trailing_data[0])

    def next(self) -> Request | Rejection | None:
        """The next request or what is to be answered in its place, None until more bytes come."""
        try:
            while True:
                event = self.machine.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Request):
                    self.head, self.body = event, bytearray()
                    if (rejection := frame(event.headers)) is not None:
                        return rejection
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > LONGEST_BODY:
                        return Rejection(413, "the body is too large", fatal=True)
                elif isinstance(event, h11.EndOfMessage):
                    return self.whole()
                elif isinstance(event, h11.ConnectionClosed):
                    self.last = True
                    return None
        except h11.RemoteProtocolError as error:
            self.last = True
            status = error.error_status_hint
            return Rejection(status if status in REASONS else 400, str(error), fatal=True)

    def whole(self) -> Request | Rejection:
        head = self.head
        if bytes(head.target).partition(b"?")[0] == READY:
            if head.method != b"GET":
                return Rejection(405, "GET only", ((b"allow", b"GET"),))
            return Rejection(200, "ready") if self.ready() else Rejection(503, "not ready")
        return self.front.read(head, bytes(self.body))

    def go_on(self) -> bytes:
        """What to send to a client that waits for leave to send its body."""
        if not self.machine.they_are_waiting_for_100_continue:
            return b""
        return self.machine.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue"))

    def answer(self, answer: Answer, last: bool) -> bytes:
        """The bytes of a final answer; `last` where the connection is to end after it."""
        if isinstance(answer, Served):
            kind = answer.content.kind or b"application/octet-stream"
            return self.respond(200, answer.content.body, [(b"content-type", kind)], last)
        if isinstance(answer, Refused):
            wait = b"%.3f" % (math.ceil(answer.retry_after) / 1000.0)
            return self.respond(503, b"refused\n", [(b"retry-after", wait)], last)
        return self.respond(502, b"failed\n", [], last)

    def reject(self, rejection: Rejection, last: bool) -> bytes:
        """The bytes of an answer that took no decision."""
        body = rejection.text.encode() + b"\n"
        return self.respond(rejection.status, body, list(rejection.headers), last or rejection.fatal)

    def respond(self, status: int, body: bytes, headers: list[tuple[bytes, bytes]], last: bool) -> bytes:
        machine = self.machine
        if machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.last = True
            return b""
        headers.append((b"content-length", b"%d" % len(body)))
        if last or self.ended:
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers, reason=REASONS[status])
        data = machine.send(response)
        if not (self.head is not None and self.head.method == b"HEAD"):
            data += machine.send(h11.Data(data=body))
        data += machine.send(h11.EndOfMessage())
        if machine.our_state is h11.DONE and machine.their_state is h11.DONE:
            machine.start_next_cycle()
        else:
            self.last = True
        return data
