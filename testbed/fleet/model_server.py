"""An emulated model server on a socket: the engine model of the testbed in real time, behind HTTP/1.1.

It registers by heartbeats and says that it drains before it ends.
"""

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import h11

from testbed.engines.clock import Clock, Timer
from testbed.engines.engine import Engine, EngineFigures, Job
from testbed.fleet.http_calls import ANSWER_FAILURES, READ_BYTES, HttpCall, call

HEARTBEAT_S = 0.4
CALL_TIMEOUT_S = 1.0  # a server goes on to the next control process after a second of silence
LEAVE_TRIES = 6
DEFAULT_PRIORITY = 5
PLAIN_BODY = b"x" * 800
HEALTH_PATH = "/health"
REPORT_PATH = "/-/report"
EVENT_TEXT = "t" * 100


class LoopClock(Clock):
    """The clock of an engine in real time: milliseconds of the event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> float:  # type: ignore[override]
        """Milliseconds, monotonic."""
        return self._loop.time() * 1000.0

    def at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call back at a time, or soon if that has passed."""
        timer = Timer(callback)
        self._loop.call_at(when / 1000.0, self._fire, timer)
        return timer

    @staticmethod
    def _fire(timer: Timer) -> None:
        if not timer.cancelled:
            timer.callback()


class NotExecutedError(Exception):
    """The server rejects a request that it has not run."""


@dataclass(slots=True)
class ServerRequest:
    """A request as the server got it; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def request_id(self) -> str:
        """The id that the client gave it."""
        return self.headers.get("x-brackenusher-request-id", "")

    def prompt_parts(self) -> tuple[tuple[str, int], ...]:
        """Parts of the prompt with their tokens."""
        text = self.headers.get("x-brackenusher-prompt-prefix", "")
        pairs = (part.split(":") for part in text.split(",") if part)
        return tuple((name, int(tokens)) for name, tokens in pairs)

    def output_tokens(self) -> int:
        """The most that it generates."""
        return int(self.headers.get("x-brackenusher-token-counts", "1,1").split(",")[1])


@dataclass(slots=True)
class ServerCounters:
    """What a server has done."""

    run: int = 0
    rejected: int = 0
    events: int = 0
    heartbeats: int = 0
    tenants: set[str] = field(default_factory=set)  # that it was told
    keys_seen: int = 0  # requests with a client's key: must stay 0


class ModelServer:
    """One emulated server: a stream where the path begins with /chat/, 800 bytes elsewhere."""

    heartbeat_s = HEARTBEAT_S

    def __init__(self, instance_id: str, service: str, controls: list[str], figures: EngineFigures) -> None:
        self.id, self.service, self.controls = instance_id, service, controls
        self.figures = figures
        self.counters = ServerCounters()
        self.running = 0
        self.state = "ready"
        self.address = ""
        self.acknowledged = asyncio.Event()
        self._sequence = itertools.count(1)
        self._next_control = 0
        self._engine = Engine(LoopClock(), figures)
        self._listener: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port and begin to register."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"
        self._beating = asyncio.get_running_loop().create_task(self._keep_beating())

    async def leave(self) -> bool:
        """Say that it drains, wait for what runs, deregister; whether both were acknowledged."""
        self._stop_beating()
        self.state = "draining"
        acknowledged = await self._insist("Heartbeat", self._heartbeat_body())
        while self.running and self._connections:
            await asyncio.wait(self._connections, timeout=0.05)
        return await self._insist("Deregister", b"{}") and acknowledged

    async def stop(self) -> None:
        """End without a word."""
        self._stop_beating()
        self._engine.crash()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def _stop_beating(self) -> None:
        if self._beating is not None:
            self._beating.cancel()

    # Registration

    async def _keep_beating(self) -> None:
        while True:
            if await self._register("Heartbeat", self._heartbeat_body()):
                self.counters.heartbeats += 1
                self.acknowledged.set()
            await asyncio.sleep(self.heartbeat_s)

    def _heartbeat_body(self) -> bytes:
        fields = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Generation": "v1",
            "Slots": self.figures.batch,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "dual",
            "Models": [{"Name": "m", "Generation": 1, "Adapters": []}],
            "Sequence": next(self._sequence),
        }
        return json.dumps(fields).encode()

    async def _insist(self, what: str, body: bytes) -> bool:
        for _ in range(LEAVE_TRIES):
            if await self._register(what, body):
                return True
        return False

    async def _register(self, what: str, body: bytes) -> bool:
        """Call one control process; the next one is called next time where it fails."""
        address = self.controls[self._next_control % len(self.controls)]
        request = HttpCall(
            "POST", f"/-/Instances.{what}/{self.id}", {"Content-Type": "application/json"}, body
        )
        with contextlib.suppress(*ANSWER_FAILURES):
            if (await call(address, request, CALL_TIMEOUT_S)).status == 200:
                return True
        self._next_control += 1
        return False

    # Requests

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        connection = h11.Connection(h11.SERVER)
        try:
            while (request := await _read_request(reader, connection)) is not None:
                await self._answer(request, connection, writer)
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass  # the caller left, or this server ends
        finally:
            self._connections.discard(task)
            writer.close()

    async def _answer(
        self, request: ServerRequest, connection: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        headers = {"X-Brackenusher-Request-Id": request.request_id}
        rejection = self._rejection(request)
        if rejection:
            self.counters.rejected += 1
            headers["X-Brackenusher-Not-Executed"] = "1"
            send_whole(connection, writer, rejection, headers, b"")
        elif request.target in (HEALTH_PATH, REPORT_PATH):
            headers["X-Brackenusher-Instance-Id"] = self.id
            send_whole(connection, writer, 200, headers, b"{}")
        else:
            await self._run(request, headers, connection, writer)
        await writer.drain()

    def _rejection(self, request: ServerRequest) -> int:
        """The status with which a request is turned away; 0: it is not."""
        if request.headers.get("x-brackenusher-expect-instance", self.id) != self.id:
            return 421
        if request.target not in (HEALTH_PATH, REPORT_PATH) and not request.request_id:
            return 400
        return 0

    async def _run(
        self,
        request: ServerRequest,
        headers: dict[str, str],
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.counters.keys_seen += "api-key" in request.headers
        self.counters.tenants.add(request.headers.get("x-brackenusher-tenant-id", ""))
        headers["X-Brackenusher-Response-Stamp"] = f"{self.id}.{self.counters.run}"
        self.running += 1
        try:
            if request.target.startswith("/chat/"):
                await self._stream(request, headers, connection, writer)
            else:
                send_whole(connection, writer, 200, headers, PLAIN_BODY)
            self.counters.run += 1
        except NotExecutedError:
            self.counters.rejected += 1
            del headers["X-Brackenusher-Response-Stamp"]
            send_whole(connection, writer, 503, headers | {"X-Brackenusher-Not-Executed": "1"}, b"")
        finally:
            self.running -= 1

    async def _stream(
        self,
        request: ServerRequest,
        headers: dict[str, str],
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        started = False
        number = 0
        async for text in self.events(request):
            if not started:
                fields = {**headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
                writer.write(
                    connection.send(h11.Response(status_code=200, headers=list(fields.items()))) or b""
                )
                started = True
            number += 1
            self.counters.events += 1
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(connection.send(h11.Data(event)) or b"")
            await writer.drain()
        writer.write(connection.send(h11.EndOfMessage()) or b"")

    async def events(self, request: ServerRequest) -> AsyncIterator[str]:
        """The data of each event as the engine makes it. Raises NotExecutedError before the first."""
        made: asyncio.Queue[bool] = asyncio.Queue()
        job = Job(
            request.prompt_parts(),
            request.output_tokens(),
            int(request.headers.get("priority", DEFAULT_PRIORITY)),
            lambda tokens, last: made.put_nowait(last),
        )
        if self._engine.submit(job) is not None:
            raise NotExecutedError
        try:
            last = False
            while not last:
                last = await made.get()
                yield EVENT_TEXT
        finally:
            self._engine.cancel(job)


async def _read_request(reader: asyncio.StreamReader, connection: h11.Connection) -> ServerRequest | None:
    """The next whole request; None where the caller closed the connection."""
    request: ServerRequest | None = None
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            request = ServerRequest(event.method.decode(), event.target.decode(), headers)
        elif isinstance(event, h11.Data):
            assert request is not None
            request.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request
        else:
            return None


def send_whole(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Write a whole answer with its length."""
    fields = {**headers, "Content-Length": str(len(body))}
    writer.write(connection.send(h11.Response(status_code=status, headers=list(fields.items()))) or b"")
    writer.write(connection.send(h11.Data(body)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")
