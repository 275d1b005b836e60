"""One HTTP/1.1 call on a connection of its own, as clients, servers and operators of the testbed make it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

READ_BYTES = 64 * 1024
ANSWER_FAILURES = (OSError, TimeoutError, h11.ProtocolError, EOFError)  # what a call may raise


@dataclass(slots=True)
class HttpAnswer:
    """A whole answer; names of headers are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """What is to be asked. `on_data` gets each piece of the body as it comes."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    on_data: Callable[[bytes], None] | None = None


async def call(address: str, request: HttpCall, timeout_s: float) -> HttpAnswer:
    """Make a call at "ip:port". Raises OSError, TimeoutError, EOFError, h11.ProtocolError."""
    async with asyncio.timeout(timeout_s):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            return await _exchange(reader, writer, request, address)
        finally:
            writer.close()


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: HttpCall, address: str
) -> HttpAnswer:
    connection = h11.Connection(h11.CLIENT)
    headers = {"Host": address, **request.headers, "Content-Length": str(len(request.body))}
    head = h11.Request(method=request.method, target=request.target, headers=list(headers.items()))
    writer.write(connection.send(head) or b"")
    writer.write(connection.send(h11.Data(request.body)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")
    answer = HttpAnswer(0)
    pieces: list[bytes] = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        elif isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
            if request.on_data is not None:
                request.on_data(pieces[-1])
        elif isinstance(event, h11.EndOfMessage):
            answer.body = b"".join(pieces)
            return answer
        elif isinstance(event, h11.ConnectionClosed):
            raise EOFError("the connection ended before the answer")
