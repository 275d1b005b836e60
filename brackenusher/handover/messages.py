"""Wire format of the handover between the old process and the new one; no I/O.

Each packet is a JSON array of the protocol version, the kind and the body. By sender and kind on the wire:

    new  hello     opens the handover with the protocol version of the new process
    old  welcome   addresses of the listening sockets; the descriptors are attached in the same order
    old  list      a chunk of the list of turn servers, in the format of discovery
    old  learned   a chunk of the balancer's warm state
    old  ready     end of the initial state; the sender's announcement sequence and descriptor usage
    new  serves    the new process serves; the old one is expected to receive its stop signal soon
    old  held      current descriptor usage of the old process, and whether it is stopping
    old  clients   client connections between requests, attached as descriptors

"hello" comes first; the old process answers with "welcome" to "ready" without waiting for a reply. A packet
that cannot be decoded, is out of sequence or has another version ends the handover, never a process.
"""

from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Any

import ujson

PROTOCOL_VERSION = 1
MAX_PACKET_BYTES = 64 * 1024
MAX_ENTRIES_PER_PACKET = 64
MAX_DESCRIPTORS_PER_PACKET = 16


class PacketKind(Enum):
    """Packet kinds; the values are on the wire."""

    HELLO = "hello"
    WELCOME = "welcome"
    SERVER_LIST = "list"
    WARM_STATE = "learned"
    STATE_COMPLETE = "ready"
    SERVING = "serves"
    DESCRIPTOR_USAGE = "held"
    CLIENT_CONNECTIONS = "clients"


class HandoverMessageError(ValueError):
    """A packet that is malformed, too large, out of sequence or of another protocol version."""


def encode(kind: PacketKind, body: Any = None) -> bytes:
    """Encode a packet; raises HandoverMessageError if it exceeds the packet size limit."""
    data = ujson.dumps([PROTOCOL_VERSION, kind.value, body], escape_forward_slashes=False).encode()
    if len(data) > MAX_PACKET_BYTES:
        raise HandoverMessageError(
            f"{kind.value}: {len(data)} bytes exceed the packet limit of {MAX_PACKET_BYTES}"
        )
    return data


def decode(data: bytes) -> tuple[PacketKind, Any]:
    """Decode a packet; raises HandoverMessageError."""
    try:
        version, name, body = ujson.loads(data)
        kind = PacketKind(name)
    except (ValueError, TypeError) as error:
        raise HandoverMessageError(f"malformed packet: {error}") from error
    if version != PROTOCOL_VERSION:
        raise HandoverMessageError(
            f"protocol version mismatch: peer has {version!r}, this process {PROTOCOL_VERSION}"
        )
    return kind, body


def encode_list(kind: PacketKind, entries: Sequence[Any]) -> Iterator[bytes]:
    """Encode a list as packets of a bounded number of entries."""
    for start in range(0, len(entries), MAX_ENTRIES_PER_PACKET):
        yield encode(kind, entries[start : start + MAX_ENTRIES_PER_PACKET])
