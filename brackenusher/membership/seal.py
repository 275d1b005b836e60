"""Seals what passes between proxies: HMAC-SHA256 under a key with an id. Told everything, it does no I/O.

A sealed text is ``bk``, a byte for the form, a byte for the length of the key's id, the id, 32 bytes of MAC,
and the body, which stays readable. The MAC covers a word for the purpose, the id and the body, so that what
was sealed for one purpose passes for nothing else.
"""

import hashlib
import hmac
from collections.abc import Mapping

MAGIC = b"bk"
FORM = 1  # of everything that proxies send each other; another form gets another number
MAC = 32  # bytes of HMAC-SHA256
DATAGRAM, FRAME = b"datagram", b"frame"


class SealError(ValueError):
    """What came does not count; the text is one word for a counter: garbage, form, key or mac."""


def mac(key: bytes, purpose: bytes, kid: bytes, body: bytes | memoryview) -> bytes:
    return hmac.digest(key, b"%s\0%d\0%s\0" % (purpose, FORM, kid) + body, hashlib.sha256)


def seal(key: bytes, kid: str, purpose: bytes, body: bytes) -> bytes:
    name = kid.encode()
    return MAGIC + bytes((FORM, len(name))) + name + mac(key, purpose, name, body) + body


def unseal(keys: Mapping[str, bytes], purpose: bytes, data: bytes) -> bytes:
    """The body; raises SealError. Nothing of it has been looked at before the MAC has held."""
    if len(data) < 4 or data[:2] != MAGIC:
        raise SealError("garbage")
    if data[2] != FORM:
        raise SealError("form")
    begin = 4 + data[3]
    if len(data) < begin + MAC:
        raise SealError("garbage")
    kid, body = data[4:begin], data[begin + MAC :]
    key = keys.get(kid.decode("ascii", "replace"))
    if key is None:
        raise SealError("key")
    if not hmac.compare_digest(mac(key, purpose, kid, body), data[begin : begin + MAC]):
        raise SealError("mac")
    return body


def overhead(kid: str) -> int:
    """Bytes that a seal adds."""
    return 4 + len(kid) + MAC
