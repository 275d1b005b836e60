"""HTTP/1.1 as a client, a server and the operator need it, on plain streams, with the time of each answer."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

FAILURES = (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
Address = tuple[str, int]


@dataclass
class Answer:
    """What came back. `status` 0: no head; `whole`: the body was complete; `how`: how it ended."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    how: str = ""
    keeps: bool = False  # the connection may be used again
    sent_at: float = 0.0
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    request_id: str = ""
    on_kept: bool = False  # an earlier request was answered on the same connection
    machine: int = 0


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """A whole request with its length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join([*lines, f"Content-Length: {len(body)}"]) + "\r\n\r\n").encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the fields, names in lower case. Raises EOFError where nothing came."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            raise EOFError("closed") from None
        raise
    lines = raw.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.strip().lower(): value.strip() for name, _, value in fields}


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer. Raises one of FAILURES where it ends early."""
    while True:
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.status >= 200:
            break
    answer.first_byte_at = time.monotonic()
    if "chunked" in answer.headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in answer.headers:
        wanted = int(answer.headers["content-length"])
        while len(answer.body) < wanted:
            piece = await reader.read(wanted - len(answer.body))
            if not piece:
                raise EOFError("body cut")
            answer.body += piece
    else:
        while piece := await reader.read(65536):
            answer.body += piece
        answer.headers["connection"] = "close"
    answer.whole = True
    answer.keeps = answer.headers.get("connection", "").lower() != "close"


class Connection:
    """A client's connection, kept for further requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes, timeout_s: float) -> Answer:
        """Send a request and wait for its answer; `how` is "answered", "closed" or "silence"."""
        answer = Answer(sent_at=time.monotonic())
        try:
            self.writer.write(data)
            async with asyncio.timeout(timeout_s):
                await read_answer(self.reader, answer)
            answer.how = "answered"
        except TimeoutError:
            answer.how = "silence"
        except FAILURES as error:
            answer.how = f"closed: {type(error).__name__}"
        answer.ended_at = time.monotonic()
        return answer

    def close(self) -> None:
        """Close it."""
        with contextlib.suppress(OSError):
            self.writer.close()


async def connect(address: Address, timeout_s: float = 1.0) -> Connection | None:
    """A new connection, or None."""
    try:
        async with asyncio.timeout(timeout_s):
            return Connection(*await asyncio.open_connection(*address, limit=1 << 20))
    except (OSError, TimeoutError):
        return None


async def call(
    address: Address, method: str, target: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Answer:
    """One request on a connection of its own."""
    connection = await connect(address, timeout_s)
    if connection is None:
        return Answer(how="no connection")
    try:
        return await connection.ask(encode_request(method, target, {"Host": "x", **headers}, body), timeout_s)
    finally:
        connection.close()
