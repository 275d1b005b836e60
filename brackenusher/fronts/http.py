"""What HTTP means here, whatever its version on the wire: which requests there are, and the statuses.

Each version's machine reads its wire into a `Message` and asks `Front` what that is.
"""

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import unquote

from barleybarrow import interface as face
from barleybarrow import tokens
from barleybarrow.interface import Effect
from brackenusher.core.admission import Bar, Request, Verdict
from brackenusher.core.message import Message
from brackenusher.core.transaction import Answer, Refused, Served

Headers = tuple[tuple[bytes, bytes], ...]
Fields = dict[bytes, bytes]  # headers by name, in lower case; none that counts was there twice

READY = b"/health/ready"
TOKEN = b"adw-token"
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
AUTHORITY = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[-A-Za-z0-9._~!$&'()*+,;=%]+)(?::[0-9]*)?\Z")  # no userinfo
SPAN = re.compile(rb"([0-9]{1,9}(?:\.[0-9]{1,9})?)([mu])\Z")
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    505: b"HTTP Version Not Supported",
}


@dataclass(slots=True)
class Rejection:
    """An answer that needs no decision; `fatal` where the rest of the stream cannot be read."""

    status: int
    text: str
    headers: Headers = ()
    fatal: bool = False


class Front:
    """What every connection's machine needs to know: the classes, and the tenants by name."""

    def __init__(self, settings: face.Settings, with_tokens: bool = False) -> None:
        self.once = ONCE | {TOKEN} if with_tokens else ONCE
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.methods = [b"GET" if c.effect is Effect.SAFE else b"POST" for c in settings.classes]
        self.keyed = [c.effect is Effect.KEYED for c in settings.classes]
        self.deadlines = [c.deadline for c in settings.classes]
        self.tenants = {name.encode(): i for i, name in enumerate(settings.tenants)}

    def fields(self, headers: Sequence[tuple[bytes, bytes]]) -> Fields | Rejection:
        """The headers by name; or which one is there twice that could be read otherwise by the next."""
        seen: Fields = {}
        for name, value in headers:
            if name in seen and name in self.once:
                return Rejection(400, f"{name.decode()} is there twice", fatal=True)
            seen[name] = value
        return seen

    def take(self, message: Message, fields: Fields, ready: Callable[[], bool]) -> Request | Rejection:
        """What a whole message is: a request for the turn servers, or something to be answered at once.

        `fields` are its headers as `fields` gave them.
        """
        if message.target.partition(b"?")[0] == READY:
            if message.method != b"GET":
                return Rejection(405, "GET only", ((b"allow", b"GET"),))
            return Rejection(200, "ready") if ready() else Rejection(503, "not ready")
        return self.read(message, fields)

    def read(self, message: Message, fields: Fields) -> Request | Rejection:
        """Translate a whole request, or say what is wrong with it."""
        path = message.target.partition(b"?")[0]
        name = path[1:].partition(b"/")[0]
        klass = self.classes.get(name)
        if klass is None and b"%" in name:
            klass = self.classes.get(unquote(name).encode())
        if klass is None or path[:1] != b"/":
            return Rejection(404, "no such class")
        if message.method != self.methods[klass]:
            return Rejection(405, "wrong method for the class", ((b"allow", self.methods[klass]),))
        kind = fields.get(b"req-kind")
        if kind is not None and self.classes.get(kind) != klass:
            return Rejection(404 if kind not in self.classes else 400, "Req-Kind is not the path's class")
        if not ID.match(fields.get(b"req-id", b"")):
            return Rejection(400, "Req-Id is missing or cannot be passed on")
        if self.methods[klass] == b"GET" and message.body:
            return Rejection(400, "no body is expected")
        if self.keyed[klass] and not ID.match(fields.get(b"idempotency-key", b"")):
            return Rejection(400, "Idempotency-Key is missing or cannot be passed on")
        owner, tenant = fields.get(b"req-owner"), 0
        message.owner, message.deadline = owner, fields.get(b"req-deadline")
        if owner is not None and self.tenants:
            tenant = self.tenants.get(owner, -1)
            if tenant < 0:
                return Rejection(400, "Req-Owner is unknown")
        span = self.deadlines[klass]
        if message.deadline is not None:
            match = SPAN.match(message.deadline)
            if match is None:
                return Rejection(400, "Req-Deadline cannot be read")
            span = min(span, float(match[1]) / (1.0 if match[2] == b"m" else 1000.0))
        repeated = fields.get(b"req-retry") == b"1"
        return Request(fields[b"req-id"], klass, span, tenant, repeated, message, fields.get(TOKEN))


def worded(verdict: Verdict) -> Rejection:
    """The answer to a request that admission turned away."""
    if verdict.bar is Bar.TOKEN:
        headers: Headers = ((b"adw-auth", verdict.why.encode()),)
        if verdict.why in (tokens.MISSING, tokens.EXPIRED):
            headers += ((b"www-authenticate", b"Adw-Token"),)
            return Rejection(401, "a valid token is needed", headers)
        return Rejection(403, "the token does not allow this", headers)
    if verdict.bar is Bar.ID:
        return Rejection(409, "Req-Id is that of an open request", fatal=True)
    headers = ((b"retry-after", seconds(verdict.retry_after)),)
    if verdict.bar is Bar.DOOR:
        return Rejection(429, "over the limit", headers)
    # at the end of the program the connection may serve on, else its descriptor is needed
    return Rejection(503, "refused", headers, fatal=verdict.bar is Bar.ROOM)


def final(answer: Answer) -> tuple[int, bytes, Headers]:
    """Status, body and headers of a final answer."""
    if isinstance(answer, Served):
        headers: Headers = ((b"content-type", answer.content.kind or b"application/octet-stream"),)
        if answer.content.coding:
            headers += ((b"content-encoding", answer.content.coding),)
        return 200, answer.content.body, headers
    if isinstance(answer, Refused):
        return 503, b"refused\n", ((b"retry-after", seconds(answer.retry_after)),)
    return 502, b"failed\n", ()


def seconds(wait: float) -> bytes:
    """Milliseconds as decimal seconds, rounded up."""
    return b"%.3f" % (math.ceil(wait) / 1000.0)
