"""HTTP semantics shared by all protocol versions: request validation and the mapping of outcomes to statuses.

The state machine of each version parses bytes into a `Message`; the code here classifies the message.
"""

import math
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import unquote

from barleybarrow import interface as face
from barleybarrow import tokens
from barleybarrow.interface import Effect
from brackenusher.core.admission import Denial, DenialReason, Request
from brackenusher.core.message import Message
from brackenusher.core.transaction import Answer, Refused, Served

Headers = tuple[tuple[bytes, bytes], ...]
HeaderMap = dict[bytes, bytes]  # by lower-case name; headers that must occur once were checked for duplicates

READY_PATH = b"/health/ready"
TOKEN_HEADER = b"adw-token"
# read by this proxy or by a server: the next hop might pick another value of a duplicate
SINGLE_VALUE_HEADERS = frozenset(
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
ID_PATTERN = re.compile(rb"[!-~]{1,256}\Z")  # a request id or idempotency key that can be forwarded
# no userinfo
AUTHORITY_PATTERN = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[-A-Za-z0-9._~!$&'()*+,;=%]+)(?::[0-9]*)?\Z")
DEADLINE_PATTERN = re.compile(rb"([0-9]{1,9}(?:\.[0-9]{1,9})?)([mu])\Z")
REASON_PHRASES = {
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
    """A response produced without routing; `fatal` if the rest of the byte stream cannot be parsed."""

    status: int
    text: str
    headers: Headers = ()
    fatal: bool = False


class RequestClassifier:
    """Validates requests and maps them to the configured classes and tenants; shared by all connections."""

    def __init__(self, settings: face.Settings, with_tokens: bool = False) -> None:
        self.single_value_headers = (
            SINGLE_VALUE_HEADERS | {TOKEN_HEADER} if with_tokens else SINGLE_VALUE_HEADERS
        )
        self.class_index = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.class_methods = [b"GET" if c.effect is Effect.SAFE else b"POST" for c in settings.classes]
        self.class_is_keyed = [c.effect is Effect.KEYED for c in settings.classes]
        self.class_deadlines = [c.deadline for c in settings.classes]
        self.tenant_index = {name.encode(): i for i, name in enumerate(settings.tenants)}

    def index_headers(self, headers: Sequence[tuple[bytes, bytes]]) -> HeaderMap | Rejection:
        """Index headers by name; rejects a duplicate of a header that the next hop might read differently."""
        by_name: HeaderMap = {}
        for name, value in headers:
            if name in by_name and name in self.single_value_headers:
                return Rejection(400, f"{name.decode()} is there twice", fatal=True)
            by_name[name] = value
        return by_name

    def classify(
        self, message: Message, header_map: HeaderMap, is_ready: Callable[[], bool]
    ) -> Request | Rejection:
        """Classify a complete message: a request for the turn servers, or a response to send at once."""
        if message.target.partition(b"?")[0] == READY_PATH:
            if message.method != b"GET":
                return Rejection(405, "GET only", ((b"allow", b"GET"),))
            return Rejection(200, "ready") if is_ready() else Rejection(503, "not ready")
        return self.parse(message, header_map)

    def parse(self, message: Message, header_map: HeaderMap) -> Request | Rejection:
        """Translate a complete request, or reject it with the reason."""
        path = message.target.partition(b"?")[0]
        name = path[1:].partition(b"/")[0]
        klass = self.class_index.get(name)
        if klass is None and b"%" in name:
            klass = self.class_index.get(unquote(name).encode())
        if klass is None or path[:1] != b"/":
            return Rejection(404, "no such class")
        if message.method != self.class_methods[klass]:
            return Rejection(405, "wrong method for the class", ((b"allow", self.class_methods[klass]),))
        requested_class = header_map.get(b"req-kind")
        if requested_class is not None and self.class_index.get(requested_class) != klass:
            return Rejection(
                404 if requested_class not in self.class_index else 400, "Req-Kind is not the path's class"
            )
        if not ID_PATTERN.match(header_map.get(b"req-id", b"")):
            return Rejection(400, "Req-Id is missing or cannot be passed on")
        if self.class_methods[klass] == b"GET" and message.body:
            return Rejection(400, "no body is expected")
        if self.class_is_keyed[klass] and not ID_PATTERN.match(header_map.get(b"idempotency-key", b"")):
            return Rejection(400, "Idempotency-Key is missing or cannot be passed on")
        owner, tenant = header_map.get(b"req-owner"), 0
        message.owner, message.deadline = owner, header_map.get(b"req-deadline")
        if owner is not None and self.tenant_index:
            tenant = self.tenant_index.get(owner, -1)
            if tenant < 0:
                return Rejection(400, "Req-Owner is unknown")
        deadline_ms = self.class_deadlines[klass]
        if message.deadline is not None:
            match = DEADLINE_PATTERN.match(message.deadline)
            if match is None:
                return Rejection(400, "Req-Deadline cannot be read")
            deadline_ms = min(deadline_ms, float(match[1]) / (1.0 if match[2] == b"m" else 1000.0))
        is_retry = header_map.get(b"req-retry") == b"1"
        return Request(
            header_map[b"req-id"], klass, deadline_ms, tenant, is_retry, message, header_map.get(TOKEN_HEADER)
        )


def rejection_for(denial: Denial) -> Rejection:
    """The response to a request that admission control rejected."""
    if denial.reason is DenialReason.TOKEN:
        headers: Headers = ((b"adw-auth", denial.detail.encode()),)
        if denial.detail in (tokens.MISSING, tokens.EXPIRED):
            headers += ((b"www-authenticate", b"Adw-Token"),)
            return Rejection(401, "a valid token is needed", headers)
        return Rejection(403, "the token does not allow this", headers)
    if denial.reason is DenialReason.DUPLICATE_ID:
        return Rejection(409, "Req-Id is that of an open request", fatal=True)
    headers = ((b"retry-after", format_seconds(denial.retry_after)),)
    if denial.reason is DenialReason.RATE_LIMIT:
        return Rejection(429, "over the limit", headers)
    # fatal if descriptors are short; during shutdown the connection may continue
    return Rejection(503, "refused", headers, fatal=denial.reason is DenialReason.CONNECTION_LIMIT)


def final_response(answer: Answer) -> tuple[int, bytes, Headers]:
    """Status, body and headers for the final answer of a transaction."""
    if isinstance(answer, Served):
        headers: Headers = ((b"content-type", answer.content.content_type or b"application/octet-stream"),)
        if answer.content.content_encoding:
            headers += ((b"content-encoding", answer.content.content_encoding),)
        return 200, answer.content.body, headers
    if isinstance(answer, Refused):
        return 503, b"refused\n", ((b"retry-after", format_seconds(answer.retry_after)),)
    return 502, b"failed\n", ()


def format_seconds(wait_ms: float) -> bytes:
    """Format milliseconds as decimal seconds, rounded up to a whole millisecond."""
    return b"%.3f" % (math.ceil(wait_ms) / 1000.0)
