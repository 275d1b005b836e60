"""What passes between the old process and the new one, as packets; nothing here knows a socket.

    new  HELLO     it speaks this version
    old  WELCOME   the addresses of the listening sockets, which come with it as descriptors, in this order
    old  LIST      a part of the list of turn servers, in discovery's form
    old  LEARNED   a part of what the module knows
    old  READY     nothing more comes of these; how many descriptors it holds
    new  SERVES    the new process serves: the old one is about to be told to stop
    old  HELD      how many descriptors it holds now, and whether it stops
    old  CLIENTS   clients' connections between requests, which come with it as descriptors

HELLO comes first, and the old process sends WELCOME to READY in one go. A packet that cannot be read, that
comes out of turn or is of another version ends the handover, never a process.
"""

from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Any

import ujson

VERSION = 1
LONGEST = 64 * 1024  # bytes of a packet
PART = 64  # entries of a list in one packet
MOST_PASSED = 16  # descriptors with one packet


class Kind(Enum):
    """The kinds of packets."""

    HELLO = "hello"
    WELCOME = "welcome"
    LIST = "list"
    LEARNED = "learned"
    READY = "ready"
    SERVES = "serves"
    HELD = "held"
    CLIENTS = "clients"


class HandoverMessageError(ValueError):
    """A packet that cannot be used."""


def word(kind: Kind, body: Any = None) -> bytes:
    """A packet."""
    data = ujson.dumps([VERSION, kind.value, body], escape_forward_slashes=False).encode()
    if len(data) > LONGEST:
        raise HandoverMessageError(f"{kind.value}: {len(data)} bytes are too many for a packet")
    return data


def read(data: bytes) -> tuple[Kind, Any]:
    """Read a packet; raises HandoverMessageError."""
    try:
        version, name, body = ujson.loads(data)
        kind = Kind(name)
    except (ValueError, TypeError) as error:
        raise HandoverMessageError(f"a packet cannot be read: {error}") from error
    if version != VERSION:
        raise HandoverMessageError(f"version {version!r} is spoken there, {VERSION} here")
    return kind, body


def worded(kind: Kind, entries: Sequence[Any]) -> Iterator[bytes]:
    """A list in packets."""
    for at in range(0, len(entries), PART):
        yield word(kind, entries[at : at + PART])
