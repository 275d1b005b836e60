"""HTTP/1.1 as far as the testbed's own ends need it: whole messages with a length, read from bytes.

It is no reader for the open net: an end that meets anything else gives the connection up.
"""

import re

LONGEST = 256 * 1024  # bytes of a message; beyond, the connection is given up
LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*(\d{1,9})[ \t]*\r\n", re.IGNORECASE)


class UnreadableMessageError(ValueError):
    """What came is no message that can be read here."""


class Reader:
    """Cuts a stream of bytes into messages: (first line, head with its line ends, body)."""

    def __init__(self) -> None:
        self.bytes = bytearray()

    def feed(self, data: bytes) -> list[tuple[bytes, bytes, bytes]]:
        """Take bytes; return the messages that are whole by now."""
        self.bytes += data
        found: list[tuple[bytes, bytes, bytes]] = []
        while self.bytes:
            end = self.bytes.find(b"\r\n\r\n")
            if end < 0:
                if len(self.bytes) > LONGEST:
                    raise UnreadableMessageError("a head without end")
                break
            head = bytes(self.bytes[: end + 4])
            length = LENGTH.search(head)
            size = int(length[1]) if length else 0
            if size > LONGEST:
                raise UnreadableMessageError("a body too large")
            if len(self.bytes) < end + 4 + size:
                break
            first, _, rest = head.partition(b"\r\n")
            body = bytes(self.bytes[end + 4 : end + 4 + size])
            del self.bytes[: end + 4 + size]
            found.append((first, b"\r\n" + rest, body))
        return found


def field(head: bytes, name: bytes) -> bytes | None:
    """The value of a header, by its name in lower case."""
    at = head.lower().find(b"\r\n" + name + b":")
    if at < 0:
        return None
    begin = at + len(name) + 3
    return head[begin : head.index(b"\r\n", begin)].strip()


def answer(status: int, body: bytes = b"", *headers: bytes) -> bytes:
    """The bytes of an answer with a length."""
    lines = [b"HTTP/1.1 %d Status" % status, *headers, b"content-length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
