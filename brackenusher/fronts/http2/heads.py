"""What a header list of HTTP/2 says (RFC 9113 8): a message, or what makes it malformed.

What passes here goes on over HTTP/1.1, so nothing may pass that could be read there as two things.
"""

import re
from dataclasses import dataclass

from brackenusher.core.message import LONGEST_BODY, Message
from brackenusher.fronts.http import AUTHORITY, Fields, Front, Headers, Rejection

PSEUDO = frozenset((b":method", b":scheme", b":authority", b":path"))
HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"transfer-encoding", b"upgrade"))
NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9a-z]+\Z")  # a token, in lower case (8.2.1)
VALUE = re.compile(
    rb"(?:[!-~\x80-\xff](?:[ \t!-~\x80-\xff]*[!-~\x80-\xff])?)?\Z"
)  # no blanks round it (8.2.1)
METHOD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(rb"(?:/[!-~]*|\*)\Z")
URGENCY = re.compile(rb"(?:^|[,\s])u=([0-7])(?=$|[,;\s])")
USUAL_URGENCY = 3  # RFC 9218 4.1


@dataclass(slots=True)
class Head:
    """A request's head, once it is well formed."""

    message: Message
    fields: Fields
    length: int | None  # as Content-Length says
    waits: bool  # for leave to send the body
    urgency: int


def urgency(field: bytes, usual: int = USUAL_URGENCY) -> int:
    """The urgency of a Priority field, 0 (first) to 7; what cannot be read changes nothing."""
    found = URGENCY.findall(field)
    return int(found[-1]) if found else usual


def malformed(text: str) -> Rejection:
    return Rejection(400, text, fatal=True)


def read_head(headers: Headers, front: Front, most: int) -> Head | Rejection:
    """Read the header list of a request; `most` is how many bytes of it are taken."""
    if sum(len(name) + len(value) + 32 for name, value in headers) > most:  # as RFC 9113 6.5.2 counts
        return Rejection(431, "the head is too large")
    pseudo: dict[bytes, bytes] = {}
    rest: list[tuple[bytes, bytes]] = []
    crumbs: list[bytes] = []
    for name, value in headers:
        if not VALUE.match(value):
            return malformed("a header's value cannot be passed on")
        if name[:1] == b":":
            if rest or crumbs or name in pseudo or name not in PSEUDO:
                return malformed("a pseudo-header is out of place")
            pseudo[name] = value
        elif not NAME.match(name) or name in HOP or name == b"te" and value != b"trailers":
            return malformed("a header has no place in HTTP/2")
        elif name == b"cookie":  # may be cut into several (8.2.3)
            crumbs.append(value)
        else:
            rest.append((name, value))
    if crumbs:
        rest.append((b"cookie", b"; ".join(crumbs)))
    fields = front.fields(rest)
    if isinstance(fields, Rejection):
        return fields
    wrong = judge(pseudo, fields)
    if wrong is not None:
        return wrong
    length, waits = None, False
    if b"content-length" in fields:
        if not re.fullmatch(rb"[0-9]{1,18}", fields[b"content-length"]):
            return malformed("Content-Length cannot be read")
        length = int(fields[b"content-length"])
        if length > LONGEST_BODY:
            return Rejection(413, "the body is too large")
    if b"expect" in fields:
        waits = fields[b"expect"].lower() == b"100-continue"
    if b":authority" in pseudo and b"host" not in fields:
        rest.insert(0, (b"host", pseudo[b":authority"]))
    message = Message(pseudo[b":method"], pseudo[b":path"], rest)
    return Head(message, fields, length, waits, urgency(fields.get(b"priority", b"")))


def judge(pseudo: Fields, fields: Fields) -> Rejection | None:
    """What is wrong with the pseudo-headers (8.3.1)."""
    method = pseudo.get(b":method", b"")
    if method == b"CONNECT":
        return Rejection(405, "no tunnels are made here", ((b"allow", b"GET, POST"),))
    if not METHOD.match(method) or b":scheme" not in pseudo or b":path" not in pseudo:
        return malformed("a pseudo-header is missing")
    if pseudo[b":scheme"].lower() not in (b"http", b"https"):  # who ends TLS before us may say https
        return Rejection(400, "the scheme is not served here")
    if not TARGET.match(pseudo[b":path"]) or b"#" in pseudo[b":path"]:
        return malformed("the path cannot be read")
    host = fields.get(b"host", pseudo.get(b":authority"))
    if host is None or not AUTHORITY.match(host):
        return malformed("the authority is missing or cannot be read")
    if pseudo.get(b":authority", host).lower() != host.lower():
        return malformed("Host is not the authority")
    return None


def read_trailers(headers: Headers) -> Rejection | None:
    """What is wrong with trailers, which nobody needs otherwise."""
    for name, value in headers:
        if not NAME.match(name) or name in HOP or not VALUE.match(value):
            return malformed("a trailer cannot be passed on")
    return None
