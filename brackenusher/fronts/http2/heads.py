"""Validation of HTTP/2 header lists (RFC 9113 8) and their conversion to messages.

Requests are forwarded over HTTP/1.1, so nothing may pass that is ambiguous there (request smuggling).
"""

import re
from dataclasses import dataclass

from brackenusher.core.message import MAX_BUFFERED_BODY_BYTES, Message
from brackenusher.fronts.http import AUTHORITY_PATTERN, HeaderMap, Headers, Rejection, RequestClassifier

PSEUDO_HEADERS = frozenset((b":method", b":scheme", b":authority", b":path"))
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade")
)
NAME_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9a-z]+\Z")  # a lower-case token (8.2.1)
# no leading or trailing whitespace (8.2.1)
VALUE_PATTERN = re.compile(rb"(?:[!-~\x80-\xff](?:[ \t!-~\x80-\xff]*[!-~\x80-\xff])?)?\Z")
METHOD_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET_PATTERN = re.compile(rb"(?:/[!-~]*|\*)\Z")
URGENCY_PATTERN = re.compile(rb"(?:^|[,\s])u=([0-7])(?=$|[,;\s])")
DEFAULT_URGENCY = 3  # RFC 9218 4.1


@dataclass(slots=True)
class RequestHead:
    """A well-formed request head."""

    message: Message
    header_map: HeaderMap
    content_length: int | None  # from Content-Length
    expects_continue: bool  # the client expects 100 Continue
    urgency: int


def parse_urgency(field: bytes, default: int = DEFAULT_URGENCY) -> int:
    """Urgency in a Priority field, 0 (highest) to 7; the default if it cannot be parsed."""
    found = URGENCY_PATTERN.findall(field)
    return int(found[-1]) if found else default


def malformed(text: str) -> Rejection:
    return Rejection(400, text, fatal=True)


def parse_head(headers: Headers, classifier: RequestClassifier, max_bytes: int) -> RequestHead | Rejection:
    """Parse the header list of a request of at most `max_bytes`."""
    # size as defined by RFC 9113 6.5.2
    if sum(len(name) + len(value) + 32 for name, value in headers) > max_bytes:
        return Rejection(431, "the head is too large")
    pseudo: dict[bytes, bytes] = {}
    regular: list[tuple[bytes, bytes]] = []
    cookie_parts: list[bytes] = []
    for name, value in headers:
        if not VALUE_PATTERN.match(value):
            return malformed("a header's value cannot be passed on")
        if name[:1] == b":":
            if regular or cookie_parts or name in pseudo or name not in PSEUDO_HEADERS:
                return malformed("a pseudo-header is out of place")
            pseudo[name] = value
        elif (
            not NAME_PATTERN.match(name)
            or name in CONNECTION_HEADERS
            or name == b"te"
            and value != b"trailers"
        ):
            return malformed("a header has no place in HTTP/2")
        elif name == b"cookie":  # may be split into several (8.2.3)
            cookie_parts.append(value)
        else:
            regular.append((name, value))
    if cookie_parts:
        regular.append((b"cookie", b"; ".join(cookie_parts)))
    header_map = classifier.index_headers(regular)
    if isinstance(header_map, Rejection):
        return header_map
    rejection = check_pseudo_headers(pseudo, header_map)
    if rejection is not None:
        return rejection
    content_length, expects_continue = None, False
    if b"content-length" in header_map:
        if not re.fullmatch(rb"[0-9]{1,18}", header_map[b"content-length"]):
            return malformed("Content-Length cannot be read")
        content_length = int(header_map[b"content-length"])
        if content_length > MAX_BUFFERED_BODY_BYTES:
            return Rejection(413, "the body is too large")
    if b"expect" in header_map:
        expects_continue = header_map[b"expect"].lower() == b"100-continue"
    if b":authority" in pseudo and b"host" not in header_map:
        regular.insert(0, (b"host", pseudo[b":authority"]))
    message = Message(pseudo[b":method"], pseudo[b":path"], regular)
    return RequestHead(
        message, header_map, content_length, expects_continue, parse_urgency(header_map.get(b"priority", b""))
    )


def check_pseudo_headers(pseudo: HeaderMap, header_map: HeaderMap) -> Rejection | None:
    """Check the pseudo-headers (8.3.1)."""
    method = pseudo.get(b":method", b"")
    if method == b"CONNECT":
        return Rejection(405, "no tunnels are made here", ((b"allow", b"GET, POST"),))
    if not METHOD_PATTERN.match(method) or b":scheme" not in pseudo or b":path" not in pseudo:
        return malformed("a pseudo-header is missing")
    if pseudo[b":scheme"].lower() not in (b"http", b"https"):  # a TLS terminator in front may say https
        return Rejection(400, "the scheme is not served here")
    if not TARGET_PATTERN.match(pseudo[b":path"]) or b"#" in pseudo[b":path"]:
        return malformed("the path cannot be read")
    host = header_map.get(b"host", pseudo.get(b":authority"))
    if host is None or not AUTHORITY_PATTERN.match(host):
        return malformed("the authority is missing or cannot be read")
    if pseudo.get(b":authority", host).lower() != host.lower():
        return malformed("Host is not the authority")
    return None


def check_trailers(headers: Headers) -> Rejection | None:
    """Check trailers, which are dropped otherwise."""
    for name, value in headers:
        if not NAME_PATTERN.match(name) or name in CONNECTION_HEADERS or not VALUE_PATTERN.match(value):
            return malformed("a trailer cannot be passed on")
    return None
