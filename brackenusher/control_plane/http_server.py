"""A small HTTP/1.1 server on h11 for the Control and Ready addresses. It never decides what an answer says.

Everything a caller can do is bounded: connections, the size of a head and of a body, the time for a head, for
the next piece of a body, between requests, and for taking the answer. Requests on one connection are answered
in order (pipelining included). A handler that raises is answered with 500.
"""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11

log = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
USER_TIMEOUT_MS = 10_000  # a caller behind a cut says nothing: unacknowledged bytes end its connection
TEXT = "text/plain; charset=utf-8"
JSON = "application/json"


@dataclass(slots=True)
class HttpRequest:
    """One whole request. Names of headers are in lower case; of headers that came twice the last holds."""

    method: str
    target: str  # as sent, with the query
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(slots=True)
class HttpResponse:
    """One whole answer; the length is added."""

    status: int
    body: bytes = b""
    content_type: str = JSON
    headers: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class HttpBounds:
    """What a caller may use; times are seconds."""

    connections: int = 128  # of the 340 descriptors that the smallest machines leave; links need their share
    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024  # several times the largest configuration that is expected
    head_timeout_s: float = 5.0
    body_silence_s: float = 5.0
    idle_timeout_s: float = (
        30.0  # servers call every second or so; a connection that rests longer is left over
    )
    write_timeout_s: float = 10.0
    linger_s: float = 1.0  # for unread bytes before a close: closing over them resets, and loses the answer
    drain_s: float = 2.0  # for running requests when the server stops


REASONS = {  # an own table: the enumeration in the module http takes 5 ms to import
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    503: b"Service Unavailable",
}

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _RefusedError(Exception):
    """A request that is answered without the handler; the connection ends after it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class HttpServer:
    """Listens at an address and hands each request to the handler."""

    def __init__(self, host: str, port: int, handler: Handler, bounds: HttpBounds | None = None) -> None:
        self.host, self.port, self.handler = host, port, handler
        self.bounds = bounds or HttpBounds()
        self.turned_away = 0  # connections over the bound
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._stopping = False

    async def start(self) -> None:
        """Listen; port 0 becomes the one that was free. Raises OSError where the address is taken."""
        self._server = await asyncio.start_server(
            self.accepted, self.host, self.port, limit=READ_BYTES, reuse_address=True, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Take no more connections, let running requests end for `drain_s`, then end all."""
        self._stopping = True
        if self._server is not None:
            self._server.close()
        tasks = []
        for connection in list(self._connections):
            connection.stop()
            tasks.append(connection.task)
        if tasks:
            _, running = await asyncio.wait(tasks, timeout=self.bounds.drain_s)
            for task in running:
                task.cancel()

    async def accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection that came, to its end."""
        if self._stopping or not self._make_room():
            self.turned_away += 1
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        connection = _Connection(reader, writer, self.handler, self.bounds, task)
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)
            writer.transport.abort() if connection.broken else writer.close()

    def _make_room(self) -> bool:
        """Whether one more connection is within the bound; ends the one that rests the longest for it."""
        if len(self._connections) < self.bounds.connections:
            return True
        resting = [connection for connection in self._connections if connection.resting]
        if not resting:
            return False
        longest = min(resting, key=lambda connection: connection.resting_since)
        self._connections.discard(longest)
        longest.stop()
        return True


class _Connection:
    """One connection of a caller."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        bounds: HttpBounds,
        task: "asyncio.Task[None]",
    ) -> None:
        self.reader, self.writer, self.handler, self.bounds, self.task = reader, writer, handler, bounds, task
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=bounds.head_bytes)
        self.broken = False  # nothing more can be sent
        self.resting = True  # no part of a request has come
        self.resting_since = asyncio.get_running_loop().time()
        self._ending = False
        _set_options(writer)

    def stop(self) -> None:
        """End after the running request; at once where none runs."""
        self._ending = True
        if self.resting:
            self.task.cancel()

    async def serve(self) -> None:
        """Answer requests until the caller or the bounds end the connection."""
        try:
            while await self._serve_one():
                self.protocol.start_next_cycle()
        except _RefusedError as refusal:
            await self._refuse(refusal)
        except (OSError, TimeoutError, asyncio.CancelledError):
            self.broken = True

    async def _serve_one(self) -> bool:
        """One request and its answer; False where the connection is to end."""
        head = await self._read_head()
        if head is None:
            return False
        body = await self._read_body(head)
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("ascii", "replace"),
            {name.decode("ascii"): value.decode("latin-1") for name, value in head.headers},
            body,
        )
        await self._send(await self._answer(request), request.method == "HEAD")
        return self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self.handler(request)
        except Exception:
            log.exception("handler failed: method=%s target=%r", request.method, request.target[:200])
            return HttpResponse(500, b"internal error\n", TEXT)

    # Reading

    async def _read_head(self) -> h11.Request | None:
        """The next head; None where the caller left, was idle for too long, or the server stops."""
        if self._ending:
            return None
        self.resting, self.resting_since = True, asyncio.get_running_loop().time()
        event = self._next_event()
        if event is h11.NEED_DATA and not self.protocol.trailing_data[0]:
            try:
                async with asyncio.timeout(self.bounds.idle_timeout_s):
                    await self._receive()
            except TimeoutError:
                return None
            event = self._next_event()
        self.resting = False
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head()
        return event if isinstance(event, h11.Request) else None

    async def _read_rest_of_head(self) -> object:
        event: object = h11.NEED_DATA
        try:
            async with asyncio.timeout(self.bounds.head_timeout_s):
                while event is h11.NEED_DATA:
                    await self._receive()
                    event = self._next_event()
        except TimeoutError:
            raise _RefusedError(408, "the head of the request did not come in time") from None
        return event

    async def _read_body(self, head: h11.Request) -> bytes:
        headers = dict(head.headers)
        if b"content-length" in headers and b"transfer-encoding" in headers:
            raise _RefusedError(400, "the body has both a length and a transfer encoding")
        if int(headers.get(b"content-length", b"0")) > self.bounds.body_bytes:
            raise _RefusedError(413, f"the body is over {self.bounds.body_bytes} bytes")
        if self.protocol.they_are_waiting_for_100_continue:
            go_on = self.protocol.send(h11.InformationalResponse(status_code=100, headers=[]))
            self.writer.write(go_on or b"")
        pieces: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive_body()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.bounds.body_bytes:
                    raise _RefusedError(413, f"the body is over {self.bounds.body_bytes} bytes")
                pieces.append(bytes(event.data))
            else:
                return b"".join(pieces)  # the only other event here is the end of the message

    async def _receive_body(self) -> None:
        try:
            async with asyncio.timeout(self.bounds.body_silence_s):
                await self._receive()
        except TimeoutError:
            raise _RefusedError(408, "the body of the request did not come in time") from None

    async def _receive(self) -> None:
        data = await self.reader.read(READ_BYTES)
        if not data and not self.resting:
            raise ConnectionResetError("the caller left amid its request")  # nobody is there for an answer
        self.protocol.receive_data(data)

    def _next_event(self) -> object:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise _RefusedError(error.error_status_hint, str(error)) from error

    # Writing

    async def _send(self, response: HttpResponse, head_only: bool) -> None:
        headers = [("Content-Length", str(len(response.body))), ("Content-Type", response.content_type)]
        if self._ending:
            headers.append(("Connection", "close"))
        head = h11.Response(
            status_code=response.status,
            headers=headers + response.headers,
            reason=REASONS.get(response.status, b""),
        )
        data = self.protocol.send(head) or b""
        if response.body and not head_only:
            data += self.protocol.send(h11.Data(data=response.body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size() > 0:
            async with asyncio.timeout(self.bounds.write_timeout_s):
                await self.writer.drain()

    async def _refuse(self, refusal: _RefusedError) -> None:
        """Answer a request that can't be read whole, and end the connection without losing the answer."""
        self._ending = True
        response = HttpResponse(refusal.status, f"{refusal.reason}\n".encode(), TEXT)
        try:
            await self._send(response, head_only=False)
            self.writer.write_eof()
            async with asyncio.timeout(self.bounds.linger_s):
                while await self.reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            self.broken = True


def _set_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    except OSError:
        pass  # the bounds on times end a dead connection as well
