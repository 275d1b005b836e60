"""A small HTTP/1.1 server on h11 for the Control and Ready addresses.

All that a client uses is limited: connections, the sizes of a head and a body, and the times for a head, the
next bytes of a body, between requests and for reading the response. Requests on one connection are answered
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
TCP_USER_TIMEOUT_MS = 10_000  # closes connections with unacknowledged bytes, as to clients behind a partition
TEXT_TYPE = "text/plain; charset=utf-8"
JSON_TYPE = "application/json"


@dataclass(slots=True)
class HttpRequest:
    """A complete request. Header names are in lower case; of a repeated header the last value is kept."""

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
    """A complete response; Content-Length is added when it is sent."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class HttpBounds:
    """Limits for clients; times are seconds."""

    connections: int = 128  # of the 340 descriptors available on the smallest machines; links need the others
    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024  # several times the largest expected configuration
    head_timeout_s: float = 5.0
    body_read_timeout_s: float = 5.0
    # Servers call about once a second; a connection idle for longer is abandoned.
    idle_timeout_s: float = 30.0
    write_timeout_s: float = 10.0
    # For reading leftover bytes before a close, which would else reset and lose the response.
    linger_s: float = 1.0
    drain_s: float = 2.0  # for requests in progress when the server stops


REASON_PHRASES = {  # not http.HTTPStatus: importing the module http takes 5 ms
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


class _RequestError(Exception):
    """An invalid request, answered without the handler; the connection is closed after the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class HttpServer:
    """Listens at an address and passes each request to the handler."""

    def __init__(self, host: str, port: int, handler: Handler, limits: HttpBounds | None = None) -> None:
        self.host, self.port, self.handler = host, port, handler
        self.limits = limits or HttpBounds()
        self.rejected_connections = 0  # connections over the limit
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._stopping = False

    async def start(self) -> None:
        """Listen; for port 0, `port` is set to the one chosen. Raises OSError if the address is in use."""
        self._server = await asyncio.start_server(
            self.serve_connection, self.host, self.port, limit=READ_BYTES, reuse_address=True, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Accept no more connections, wait up to `drain_s` for requests in progress, then close all."""
        self._stopping = True
        if self._server is not None:
            self._server.close()
        tasks = []
        for connection in list(self._connections):
            connection.stop()
            tasks.append(connection.task)
        if tasks:
            _, running = await asyncio.wait(tasks, timeout=self.limits.drain_s)
            for task in running:
                task.cancel()

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve an accepted connection until it is closed."""
        if self._stopping or not self._admit_connection():
            self.rejected_connections += 1
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        connection = _Connection(reader, writer, self.handler, self.limits, task)
        self._connections.add(connection)
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)
            writer.transport.abort() if connection.is_broken else writer.close()

    def _admit_connection(self) -> bool:
        """Whether one more connection is allowed; at the limit, closes the longest idle one."""
        if len(self._connections) < self.limits.connections:
            return True
        idle = [connection for connection in self._connections if connection.idle]
        if not idle:
            return False
        longest_idle = min(idle, key=lambda connection: connection.idle_since)
        self._connections.discard(longest_idle)
        longest_idle.stop()
        return True


class _Connection:
    """One client connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: HttpBounds,
        task: "asyncio.Task[None]",
    ) -> None:
        self.reader, self.writer, self.handler, self.limits, self.task = reader, writer, handler, limits, task
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.head_bytes)
        self.is_broken = False  # nothing more can be sent; the connection is to be aborted
        self.idle = True  # no part of a request has arrived
        self.idle_since = asyncio.get_running_loop().time()
        self._closing = False
        _set_socket_options(writer)

    def stop(self) -> None:
        """Close after the request in progress, or at once if there is none."""
        self._closing = True
        if self.idle:
            self.task.cancel()

    async def serve(self) -> None:
        """Answer requests until the client or a limit ends the connection."""
        try:
            while await self._serve_one():
                self.protocol.start_next_cycle()
        except _RequestError as error:
            await self._send_error(error)
        except (OSError, TimeoutError, asyncio.CancelledError):
            self.is_broken = True

    async def _serve_one(self) -> bool:
        """Serve one request; False if the connection is to be closed."""
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
            return HttpResponse(500, b"internal error\n", TEXT_TYPE)

    # Reading

    async def _read_head(self) -> h11.Request | None:
        """The next head; None if the client closed, was idle for too long, or the server stops."""
        if self._closing:
            return None
        self.idle, self.idle_since = True, asyncio.get_running_loop().time()
        event = self._next_event()
        if event is h11.NEED_DATA and not self.protocol.trailing_data[0]:
            try:
                async with asyncio.timeout(self.limits.idle_timeout_s):
                    await self._receive()
            except TimeoutError:
                return None
            event = self._next_event()
        self.idle = False
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head()
        return event if isinstance(event, h11.Request) else None

    async def _read_rest_of_head(self) -> object:
        event: object = h11.NEED_DATA
        try:
            async with asyncio.timeout(self.limits.head_timeout_s):
                while event is h11.NEED_DATA:
                    await self._receive()
                    event = self._next_event()
        except TimeoutError:
            raise _RequestError(408, "the head of the request did not come in time") from None
        return event

    async def _read_body(self, head: h11.Request) -> bytes:
        headers = dict(head.headers)
        if b"content-length" in headers and b"transfer-encoding" in headers:
            raise _RequestError(400, "the body has both a length and a transfer encoding")
        if int(headers.get(b"content-length", b"0")) > self.limits.body_bytes:
            raise _RequestError(413, f"the body is over {self.limits.body_bytes} bytes")
        if self.protocol.they_are_waiting_for_100_continue:
            continue_response = self.protocol.send(h11.InformationalResponse(status_code=100, headers=[]))
            self.writer.write(continue_response or b"")
        chunks: list[bytes] = []
        size = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive_body()
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.body_bytes:
                    raise _RequestError(413, f"the body is over {self.limits.body_bytes} bytes")
                chunks.append(bytes(event.data))
            else:
                return b"".join(chunks)  # the only other event here is h11.EndOfMessage

    async def _receive_body(self) -> None:
        try:
            async with asyncio.timeout(self.limits.body_read_timeout_s):
                await self._receive()
        except TimeoutError:
            raise _RequestError(408, "the body of the request did not come in time") from None

    async def _receive(self) -> None:
        data = await self.reader.read(READ_BYTES)
        if not data and not self.idle:
            raise ConnectionResetError(
                "client closed the connection during a request"
            )  # no response is possible
        self.protocol.receive_data(data)

    def _next_event(self) -> object:
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise _RequestError(error.error_status_hint, str(error)) from error

    # Writing

    async def _send(self, response: HttpResponse, head_only: bool) -> None:
        headers = [("Content-Length", str(len(response.body))), ("Content-Type", response.content_type)]
        if self._closing:
            headers.append(("Connection", "close"))
        head = h11.Response(
            status_code=response.status,
            headers=headers + response.headers,
            reason=REASON_PHRASES.get(response.status, b""),
        )
        data = self.protocol.send(head) or b""
        if response.body and not head_only:
            data += self.protocol.send(h11.Data(data=response.body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size() > 0:
            async with asyncio.timeout(self.limits.write_timeout_s):
                await self.writer.drain()

    async def _send_error(self, error: _RequestError) -> None:
        """Answer an invalid request, and close the connection without losing the response."""
        self._closing = True
        response = HttpResponse(error.status, f"{error.reason}\n".encode(), TEXT_TYPE)
        try:
            await self._send(response, head_only=False)
            self.writer.write_eof()
            async with asyncio.timeout(self.limits.linger_s):
                while await self.reader.read(READ_BYTES):
                    pass
        except (OSError, TimeoutError):
            self.is_broken = True


def _set_socket_options(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    except OSError:
        pass  # the timeouts end a dead connection as well
