"""The head of a client's request: its size limit, its deadline, and what is wrong with it. Does no I/O."""

from dataclasses import dataclass

import h11

from barleybarrow.documents import ClientLimits, Configuration, Route, Tenant
from brackenusher.data_plane.headers import Header, RequestMetadata

REQUEST_LINE_ALLOWANCE_BYTES = 8 * 1024  # in addition to MaxHeaderBytes, which may refer to the fields alone
DEFAULT_HEAD_BYTES = 64 * 1024  # until a configuration sets MaxHeaderBytes


@dataclass(slots=True)
class RequestHead:
    """A request's head, and what the handler resolved for it."""

    method: bytes
    target: bytes
    headers: list[Header]
    metadata: RequestMetadata
    arrived_at: float  # seconds on the loop's clock
    configuration: Configuration | None = None  # that the route and the tenant are from
    route: Route | None = None
    tenant: Tenant | None = None


@dataclass(slots=True)
class LocalReply:
    """A response made by the proxy itself."""

    status: int
    reason: str
    retry_after_ms: float | None = None


def max_head_bytes(limits: ClientLimits) -> int:
    """The size limit of a request's head including its request line."""
    if not limits.max_header_bytes:
        return DEFAULT_HEAD_BYTES
    return limits.max_header_bytes + REQUEST_LINE_ALLOWANCE_BYTES


def head_error(request: h11.Request, metadata: RequestMetadata, limits: ClientLimits) -> LocalReply | None:
    """The error reply to a malformed or too large request, or None."""
    if metadata.chunked and metadata.content_length is not None:
        return LocalReply(400, "both Content-Length and Transfer-Encoding")
    if metadata.chunked and request.http_version < b"1.1":
        return LocalReply(400, "Transfer-Encoding in HTTP/1.0")
    if metadata.has_duplicate_id:
        return LocalReply(400, "more than one X-Brackenusher-Request-Id")
    if request.method == b"CONNECT":
        return LocalReply(400, "CONNECT is not served")
    size = len(request.target) + sum(len(name) + len(value) + 4 for name, value in request.headers)
    if size > max_head_bytes(limits):
        return LocalReply(431, "the head exceeds MaxHeaderBytes")
    limit = limits.max_body_bytes
    if limit and metadata.content_length is not None and metadata.content_length > limit:
        return LocalReply(413, "the body exceeds MaxBodyBytes")
    return None


def response_deadline(head: RequestHead) -> float:
    """When the response to a request with a route is due, in seconds on the loop's clock."""
    assert head.route is not None
    timeout_ms = head.route.timeout_ms
    if head.metadata.deadline_ms is not None:
        timeout_ms = min(timeout_ms, head.metadata.deadline_ms)
    return head.arrived_at + timeout_ms / 1000.0
