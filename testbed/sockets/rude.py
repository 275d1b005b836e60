"""Clients that break the protocol: what they send, and what they are owed for it."""

import asyncio
import contextlib

RUDE_S = 3.0  # an error or a close is owed to a client that breaks the protocol within this time
RUDE = (  # what clients send that break the protocol
    b"banana\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"GET /x HTTP/1.1\r\n" + b"X: y\r\n" * 4000,
    b"GET /x HTTP/1.1\r\nHost: h\r\nReq-Deadline: soon\r\n\r\n",
    b"GET /x HTT",
    b"",
)


async def ask_rudely(port: int, text: bytes, within: float) -> bytes:
    """Send a text on a connection of its own; what came back within a time in seconds, nothing for a close.

    Raises TimeoutError where neither an answer nor a close came, OSError where there was no connection.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        with contextlib.suppress(ConnectionError):  # a time-out is an OSError too, and is told
            writer.write(text)
            await writer.drain()
            return await asyncio.wait_for(reader.read(4096), within)
        return b""
    finally:
        writer.close()
