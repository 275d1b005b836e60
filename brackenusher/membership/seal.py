"""Authenticates messages between proxies by HMAC-SHA256 under a key with an id. No I/O.

A sealed message is ``bk``, a byte for the format version, a byte for the length of the key id, the id, 32
bytes of MAC, and the body, which is not encrypted. The MAC covers the purpose, the version, the id and the
body, so that a message sealed for one purpose isn't accepted for another.
"""

import hashlib
import hmac
from collections.abc import Mapping

MAGIC = b"bk"
FORMAT_VERSION = 1  # of all messages between proxies
MAC_BYTES = 32
DATAGRAM, FRAME = b"datagram", b"frame"


class SealError(ValueError):
    """The message is rejected; the text is the name of a counter: garbage, form, key or mac."""


def compute_mac(key: bytes, purpose: bytes, kid: bytes, body: bytes | memoryview) -> bytes:
    return hmac.digest(key, b"%s\0%d\0%s\0" % (purpose, FORMAT_VERSION, kid) + body, hashlib.sha256)


def seal(key: bytes, kid: str, purpose: bytes, body: bytes) -> bytes:
    name = kid.encode()
    return MAGIC + bytes((FORMAT_VERSION, len(name))) + name + compute_mac(key, purpose, name, body) + body


def unseal(keys: Mapping[str, bytes], purpose: bytes, data: bytes) -> bytes:
    """Verify the MAC and return the body, which is not parsed before. Raises SealError."""
    if len(data) < 4 or data[:2] != MAGIC:
        raise SealError("garbage")
    if data[2] != FORMAT_VERSION:
        raise SealError("form")
    begin = 4 + data[3]
    if len(data) < begin + MAC_BYTES:
        raise SealError("garbage")
    kid, body = data[4:begin], data[begin + MAC_BYTES :]
    key = keys.get(kid.decode("ascii", "replace"))
    if key is None:
        raise SealError("key")
    if not hmac.compare_digest(compute_mac(key, purpose, kid, body), data[begin : begin + MAC_BYTES]):
        raise SealError("mac")
    return body


def overhead(kid: str) -> int:
    """Return the number of bytes that sealing adds."""
    return 4 + len(kid) + MAC_BYTES
