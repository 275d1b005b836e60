"""Model servers, the operator and clients, as PROTOCOL.md describes them, and the record of a run."""

import asyncio
import itertools
import json
import random
import signal
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from review.harness.fleet import Fleet, Machine
from review.harness.http import FAILURES, Answer, Connection, call, connect, encode_request, read_head

HOST = "ficu95.example"
HEARTBEAT_S = 1.2


class Record:
    """Writes `record.txt`: one event a line, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began = time.monotonic()
        self.run_at: dict[str, float] = {}  # by request: when a server last began to work on it

    def write(self, text: str) -> None:
        """One line."""
        self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """One line, shown as well."""
        self.write(text)
        print(text, flush=True)


class Server:
    """A server of one service. `behave(request, writer)` may answer in place of the sound answer."""

    numbers = itertools.count(1)

    def __init__(
        self, fleet: Fleet, service: str, record: Record, work_s: float = 0.02, slots: int = 48
    ) -> None:
        self.fleet, self.service, self.record = fleet, service, record
        self.work_s, self.slots = work_s, slots
        self.id = f"i-{next(Server.numbers):04x}{random.randrange(1 << 16):04x}"
        self.zone = fleet.machines[next(Server.numbers) % len(fleet.machines)].zone
        self.state = "ready"
        self.ran: list[str] = []  # ids of the requests that it began to work on
        self.behave: Callable[[Request, asyncio.StreamWriter], Any] | None = None
        self.reads_on: Callable[[Request], bool] | None = None
        self.sequence = 0
        self.acknowledged = asyncio.Event()
        self.idle_timeout_s = 15
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and register."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self._listener.sockets[0].getsockname()[1]
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """End without a word."""
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def end_beats(self) -> None:
        """Send no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
            await asyncio.gather(self._beats, return_exceptions=True)

    def heartbeat(self) -> bytes:
        """The body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
             "Generation": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
             "Stage": "dual", "Models": [{"Name": "m", "Generation": 1, "Adapters": []}],
             "Sequence": self.sequence}
        ).encode()  # fmt: skip

    async def tell(self, verb: str, body: bytes, controls: list[tuple[str, int]] | None = None) -> bool:
        """Call each control process in turn until one acknowledges."""
        for control in controls or random.sample(self.fleet.controls(), len(self.fleet.controls())):
            headers = {"Content-Type": "application/json"}
            answer = await call(control, "POST", f"/-/Instances.{verb}/{self.id}", headers, body, 1.0)
            if answer.status // 100 == 2:
                return True
        return False

    async def _beat(self) -> None:
        while True:
            if await self.tell("Heartbeat", self.heartbeat()):
                self.acknowledged.set()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                request = Request(*await read_head(reader))
                request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
                await self._answer(request, writer)
                await writer.drain()
        except (*FAILURES, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: "Request", writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("x-brackenusher-expect-instance", self.id)
        if expected != self.id or not request.id:
            writer.write(
                whole_answer(
                    421 if request.id else 400, request.id, {"X-Brackenusher-Not-Executed": "1"}, b""
                )
            )
            return
        self.ran.append(request.id)
        self.record.run_at[request.id] = time.monotonic()
        self.record.write(f"run id={request.id} server={self.id} {request.target}")
        if self.behave is not None and await self.behave(request, writer):
            return
        await asyncio.sleep(self.work_s)
        stamp = {"X-Brackenusher-Response-Stamp": f"{self.id}.{len(self.ran)}"}
        if request.streams:
            head = {**stamp, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
            writer.write(head_bytes(200, request.id, head))
            for number in (1, 2):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(0.01)
            writer.write(b"0\r\n\r\n")
        else:
            stamp["Keep-Alive"] = f"timeout={self.idle_timeout_s}"
            writer.write(whole_answer(200, request.id, stamp, body_of(request.id)))


class Request:
    """A request as a server got it."""

    def __init__(self, first: str, headers: dict[str, str]) -> None:
        self.method, self.target = first.split(" ")[:2]
        self.headers = headers
        self.body = b""
        self.id = headers.get("x-brackenusher-request-id", "")

    @property
    def streams(self) -> bool:
        """Whether its route is one of streams."""
        return self.target.startswith("/lohu930/")


def event(number: int) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: {'t' * 200}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """One chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def body_of(request_id: str) -> bytes:
    """The whole body that a server makes for a request."""
    return (f"banner of {request_id} " * 40).encode()[:800]


def head_bytes(status: int, request_id: str, headers: dict[str, str]) -> bytes:
    """The head of an answer."""
    fields = {"X-Brackenusher-Request-Id": request_id, **headers}
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole_answer(status: int, request_id: str, headers: dict[str, str], body: bytes) -> bytes:
    """A sound answer with its length."""
    return head_bytes(status, request_id, {**headers, "Content-Length": str(len(body))}) + body


# The operator

MODELS, ROSTER = "oracle-pool", "roster-svc"
KEY, TENANT = "hwrr6x73d3zji9n73hh2", "kaje80"


def route(name: str, prefix: str, kind: str, service: str, timeout_ms: int, **more: Any) -> dict[str, Any]:
    """A route as the operator writes it."""
    return {
        "Name": name, "Hostname": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 1, "Public": False,
        "Sticky": kind == "streaming", "Resumable": False, "gap_aim_ms": 200, **more,
    }  # fmt: skip


def document(generation: int, timeout_ms: int = 2000) -> dict[str, Any]:
    """A whole configuration: verdicts as streams of two events, and roster look-ups."""
    return {
        "Generation": generation,
        "Routes": [
            route("r-verdict", "/lohu930/", "streaming", MODELS, timeout_ms),
            route("r-roster", "/pule252/", "unsafe", ROSTER, timeout_ms),
        ],
        "Services": [
            {"Name": MODELS, "HealthPath": "/health", "MaxConnections": 320, "Protocol": "h1", "Tls": False,
             "Engine": {"Slots": 48, "KvCapacityTokens": 305000, "KvTokenBytes": 131072,
                        "LinkMbps": 2100000.0, "stride": 38, "Models": [{"Name": "m"}]}},
            {"Name": ROSTER, "HealthPath": "/health", "MaxConnections": 120, "Protocol": "h1", "Tls": False},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
    }  # fmt: skip


async def order(
    controls: list[tuple[str, int]], verb: str, body: dict[str, Any], base: int, timeout_s: float
) -> Answer:
    """Send an order to one control process after the other until one gives a clear answer."""
    end = time.monotonic() + timeout_s
    answer = Answer()
    headers = {"X-Brackenusher-Base-Version": str(base), "Content-Type": "application/json"}
    while time.monotonic() < end:
        for control in controls:
            answer = await call(control, "POST", f"/-/Config.{verb}", headers, json.dumps(body).encode(), 1.0)
            if answer.status and answer.status < 500 and answer.status not in (408, 429):
                return answer
        await asyncio.sleep(0.1)
    return answer


# Clients

_request_numbers = itertools.count(random.randrange(1 << 48))


def client_request(path: str, deadline_ms: int, body: bytes = b"{}", key: str = KEY) -> tuple[str, bytes]:
    """A request's id and its bytes."""
    request_id = f"{next(_request_numbers):016x}"
    headers = {
        "Host": HOST, "X-Brackenusher-Request-Id": request_id, "X-Brackenusher-Model": "m",
        "X-Brackenusher-Token-Counts": "1460,80",
        "X-Brackenusher-Prompt-Prefix": f"5c1e07a2:800,{random.randrange(800):08x}:410,{request_id}:250",
        "X-Brackenusher-Deadline-Ms": str(deadline_ms), "Api-Key": key,
    }  # fmt: skip
    return request_id, encode_request("POST", path, headers, body)


class Client:
    """Sends one request after the other through its proxy, on a kept connection."""

    def __init__(self, name: str, machine: Machine, record: Record) -> None:
        self.name, self.machine, self.record = name, machine, record
        self._connection: Connection | None = None
        self._answered = 0  # requests on this connection so far

    async def ask(self, path: str, deadline_ms: int) -> Answer | None:
        """One request; None where no connection could be had."""
        if self._connection is None:
            self._connection = await connect(self.machine.front)
            self._answered = 0
        if self._connection is None:
            return None
        request_id, data = client_request(path, deadline_ms)
        self.record.write(f"send id={request_id} client={self.name} proxy={self.machine.number} {path}")
        answer = await self._connection.ask(data, deadline_ms / 1000.0)
        took_ms = (answer.ended_at - answer.sent_at) * 1000.0
        self.record.write(
            f"end id={request_id} status={answer.status} whole={answer.whole} {answer.how} ms={took_ms:.0f}"
        )
        answer.request_id, answer.on_kept, answer.machine = (
            request_id,
            self._answered > 0,
            self.machine.number,
        )
        self._answered += 1
        if not answer.keeps:
            self.close()
        return answer

    def close(self) -> None:
        """Close its connection."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def pick(machines: list[Machine], name: str) -> Machine:
    """The proxy of a client: by a hash, as the platform does."""
    return machines[zlib.crc32(name.encode()) % len(machines)]


BROKEN, COULD_NOT_RUN = (
    10,
    2,
)  # exit codes of a case; run.sh makes 1 of the first, as Python itself ends with 1


def main(play: Callable[[bool, Record], Any], folder: Path, trouble: bool) -> None:
    """Run a case. Its exit code: 0 if the rule held."""
    record = Record(folder / "record.txt")

    async def guarded() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return BROKEN if await play(trouble, record) else 0

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # the case could not be played
        record.say(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    record.say({0: "the rule held", BROKEN: "the rule was BROKEN"}.get(code, "no result"))
    sys.exit(code)
