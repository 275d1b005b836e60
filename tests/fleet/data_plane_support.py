"""Shared by tests of the data plane: a scripted server, a raw client, a fake dispatcher and fake limits."""

import asyncio
import re
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from barleybarrow.documents import ClientLimits, Configuration, Route, RouteKind, Service, Tenant
from barleybarrow.routing.actions import Action, DispatchRequest, Fail, Outcome, Refuse, Send, ServerInfo
from brackenusher.data_plane.proxy import Proxy
from brackenusher.data_plane.server import DataPlaneServer

HOST = "shop.example"
STAMP = b"X-Brackenusher-Response-Stamp: stamp-1\r\n"
TEST_TIMEOUT_S = 5.0  # bound for a test that hangs


@dataclass
class ReceivedRequest:
    """A request as read by the scripted server."""

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int

    def id_line(self) -> bytes:
        """The header that echoes the request's id, or nothing if it has none."""
        request_id = self.headers.get("x-brackenusher-request-id")
        return f"X-Brackenusher-Request-Id: {request_id}\r\n".encode("latin-1") if request_id else b""


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def response(request: ReceivedRequest, body: bytes, status: str = "200 OK", extra: bytes = b"") -> bytes:
    """A complete response with stamp, id and length."""
    head = b"HTTP/1.1 " + status.encode() + b"\r\n" + request.id_line() + STAMP + extra
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


async def hello(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Script that sends a valid response."""
    writer.write(response(request, b"hello"))


def not_executed_response(status: str = "503 Service Unavailable", extra: bytes = b"") -> bytes:
    """The response of a server that did not execute the request."""
    return (
        b"HTTP/1.1 "
        + status.encode()
        + b"\r\nX-Brackenusher-Not-Executed: 1\r\n"
        + extra
        + b"Content-Length: 0\r\n\r\n"
    )


def stream_head(request: ReceivedRequest, stamp: bytes = STAMP) -> bytes:
    """The head of a chunked event stream."""
    content_headers = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\n" + request.id_line() + stamp + content_headers


def event(number: int, text: str = "token") -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """A chunk of a chunked body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class ScriptedServer:
    """A server that responds to each request by a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.connections = 0
        self.connection_ended = asyncio.Event()  # set when a connection has ended
        self.request_arrived = asyncio.Event()  # set when a request has arrived
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop to listen, and cancel all connections."""
        assert self._server is not None
        self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        connection = self.connections
        try:
            while True:
                request = await read_request(reader, connection)
                self.received.append(request)
                self.request_arrived.set()
                await self.script(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.connection_ended.set()
        finally:
            self._tasks.discard(task)
            writer.close()


async def read_request(reader: asyncio.StreamReader, connection: int) -> ReceivedRequest:
    """Read one request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(head[0], headers, body, connection)


@dataclass
class ClientResponse:
    """A response as read by a client."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class RawClient:
    """A client with one connection that sends raw bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        """Write raw bytes."""
        self.writer.write(data)

    async def response_head(self) -> ClientResponse:
        """Read the head of a response."""
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return ClientResponse(int(lines[0].split()[1]), headers, b"", False)

    async def chunk(self) -> bytes:
        """Read one chunk; an empty one is the last."""
        size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
        return (await self.reader.readexactly(size + 2))[:-2]

    async def response(self) -> ClientResponse:
        """Read a response, up to where it ends or breaks off."""
        response = await self.response_head()
        try:
            if response.headers.get("transfer-encoding") == "chunked":
                while data := await self.chunk():
                    response.body += data
            else:
                response.body = await self.reader.readexactly(int(response.headers["content-length"]))
            response.complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        return response

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def request_bytes(
    path: str = "/safe/x", request_id: str = "a1", method: str = "POST", body: bytes = b"", extra: str = ""
) -> bytes:
    """A valid request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Brackenusher-Request-Id: {request_id}\r\n{extra}"
    return head.encode("latin-1") + b"Content-Length: %d\r\n\r\n" % len(body) + body


@dataclass
class FakeDispatcher:
    """Sends each request to the servers in turn and records the calls."""

    order: list[str] = field(default_factory=list)
    calls: list[tuple[object, ...]] = field(default_factory=list)
    retry_broken: bool = False  # whether a broken attempt is retried
    wakeup: float = float("inf")
    tick_actions: list[Action] = field(default_factory=list)
    _cursor: dict[int, int] = field(default_factory=dict)

    def configure(self, now: float, services: dict[str, Service], routes: list[Route]) -> None:
        """Ignored."""

    def update_servers(self, now: float, service: str, servers: list[ServerInfo]) -> None:
        """Use the servers in the order of the list."""
        self.order = [server.id for server in servers]

    def request_arrived(self, now: float, request: DispatchRequest) -> list[Action]:
        """Send to the first server."""
        self.calls.append(("arrived", request))
        return self._send_to_next(request.id)

    def connection_failed(self, now: float, request_id: int, server_id: str) -> list[Action]:
        """Send to the next server."""
        self.calls.append(("connection_failed", server_id))
        return self._send_to_next(request_id)

    def rejected(
        self, now: float, request_id: int, server_id: str, status: int, retry_after_ms: float | None
    ) -> list[Action]:
        """Send to the next server."""
        self.calls.append(("rejected", server_id, status, retry_after_ms))
        return self._send_to_next(request_id)

    def first_event(self, now: float, request_id: int, server_id: str) -> list[Action]:
        """Record the call."""
        self.calls.append(("first_event", server_id))
        return []

    def event(self, now: float, request_id: int, server_id: str, tokens: int) -> list[Action]:
        """Record the call."""
        self.calls.append(("event", server_id, tokens))
        return []

    def response_progress(self, now: float, request_id: int, server_id: str, may_move: bool) -> list[Action]:
        """Record the call."""
        self.calls.append(("progress", server_id, may_move))
        return []

    def finished(self, now: float, request_id: int, server_id: str, outcome: Outcome) -> list[Action]:
        """Send a broken attempt to the next server, or fail it."""
        self.calls.append(("finished", server_id, outcome))
        if outcome in (Outcome.SERVED, Outcome.ERROR_STATUS):
            return []
        return self._send_to_next(request_id) if self.retry_broken else [Fail(request_id, 502, "broken")]

    def request_cancelled(self, now: float, request_id: int) -> list[Action]:
        """Record the call."""
        self.calls.append(("abandoned",))
        return []

    def tick(self, now: float) -> list[Action]:
        """Return the actions set by the test."""
        actions, self.tick_actions, self.wakeup = self.tick_actions, [], float("inf")
        return actions

    def next_wakeup(self) -> float:
        """Time set by the test."""
        return self.wakeup

    def outcomes(self) -> list[object]:
        """The outcomes of finished attempts."""
        return [entry[2] for entry in self.calls if entry[0] == "finished"]

    def _send_to_next(self, request_id: int) -> list[Action]:
        index = self._cursor.get(request_id, 0)
        self._cursor[request_id] = index + 1
        if index < len(self.order):
            return [Send(request_id, self.order[index], 3)]
        return [Refuse(request_id, 503, 250.0, "no server")]


@dataclass
class FakeLimits:
    """Keys from the configuration, and one quota for all tenants."""

    keys: dict[str, Tenant] = field(default_factory=dict)
    remaining_quota: float = float("inf")
    costs: list[float] = field(default_factory=list)
    requests: list[str] = field(default_factory=list)

    def configure(self, now: float, tenants: list[Tenant], services: list[Service]) -> None:
        """Set the keys."""
        self.keys = {key: tenant for tenant in tenants for key in tenant.api_keys}

    def authenticate(self, key: str | None) -> Tenant | None:
        """Look up the key."""
        return self.keys.get(key or "")

    def admit(self, now: float, tenant: Tenant, cost: float) -> bool:
        """Admit while quota remains."""
        self.costs.append(cost)
        if self.remaining_quota < cost:
            return False
        self.remaining_quota -= cost
        return True

    def retry_after_ms(self, tenant: Tenant, cost: float) -> float:
        """A fixed time."""
        return 750.0

    def record_request(self, now: float, service: str) -> None:
        """Record the call."""
        self.requests.append(service)


def route(
    name: str, kind: str, resumable: bool = False, public: bool = False, timeout_ms: float = 4000.0
) -> Route:
    """The route /NAME/ to the service "app"."""
    return Route(
        name,
        HOST,
        f"/{name}/",
        kind,
        timeout_ms,
        200.0,
        service="app",
        max_attempts=3,
        public=public,
        resumable=resumable,
    )


def configuration(tenants: list[Tenant] | None = None, limits: ClientLimits | None = None) -> Configuration:
    """Routes /safe/, /unsafe/, /stream/, /resume/ and /public/."""
    routes = [
        route("safe", RouteKind.SAFE),
        route("unsafe", RouteKind.UNSAFE),
        route("stream", RouteKind.STREAMING),
        route("resume", RouteKind.STREAMING, resumable=True),
        route("public", RouteKind.SAFE, public=True),
    ]
    return Configuration(
        7, routes, [Service("app", max_connections=8)], limits or ClientLimits(), tenants or []
    )


class DataPlaneTest(unittest.IsolatedAsyncioTestCase):
    """Test case with a data plane on loopback; the test starts the servers."""

    async def asyncSetUp(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.limits = FakeLimits()
        loop = asyncio.get_running_loop()
        loop.set_debug(False)  # debug mode warns of the time skipped by `advance`
        self.skew_s = 0.0
        real_time = loop.time
        loop.time = lambda: real_time() + self.skew_s  # type: ignore[method-assign]
        self.proxy = Proxy(loop, self.dispatcher, self.limits, memory_mb=64)
        self.server = DataPlaneServer(self.proxy, max_fds=1024, feed_ready=lambda: True)
        await self.server.start("127.0.0.1:0")
        self.upstreams: list[ScriptedServer] = []
        self.clients: list[RawClient] = []

    async def asyncTearDown(self) -> None:
        for client in self.clients:
            client.close()
        self.server.close()
        for upstream in self.upstreams:
            await upstream.stop()

    async def start_servers(
        self, *scripts: Script, tenants: list[Tenant] | None = None
    ) -> list[ScriptedServer]:
        """Configure the data plane with a server s0, s1, … for each script."""
        infos = []
        for number, script in enumerate(scripts):
            upstream = ScriptedServer(script)
            self.upstreams.append(upstream)
            infos.append(ServerInfo(f"s{number}", await upstream.start()))
        self.proxy.configure(configuration(tenants))
        self.proxy.set_servers("app", infos)
        return self.upstreams

    def advance(self, seconds: float) -> None:
        """Advance the loop's clock; timers due by then fire at once."""
        self.skew_s += seconds

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition that other tasks bring about."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)

    async def client(self) -> RawClient:
        """Connect a new client."""
        client = RawClient(*await asyncio.open_connection("127.0.0.1", self.server.port))
        self.clients.append(client)
        return client

    async def fetch(self, data: bytes) -> ClientResponse:
        """Send one request on a new connection and read its response."""
        client = await self.client()
        client.send(data)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await client.response()


def header_names(head: bytes) -> list[str]:
    """The header names, in lower case."""
    return [match.decode().lower() for match in re.findall(rb"\r\n([^:\r\n]+):", head)]
