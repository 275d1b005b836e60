"""Stand-in turn servers on loopback, over gRPC and over HTTP, with one model of behaviour behind both."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from typing import Any
from urllib.parse import urlsplit

import h11

from examples.rpc.model import DECLINED, FAILED, SERVED, SILENT, Model
from examples.rpc.turns import SERVICE

CLASSES = {"ReadBoard": "board-read", "SubmitTurn": "turn-submit", "WatchBoard": "board-read"}
LONG = 3600.0  # seconds that a silent server keeps a request


def clock() -> float:
    return time.monotonic() * 1000.0


class Standin:
    """What both kinds share: the model, its clock, and notes of what came."""

    def __init__(self, model: Model, now: Callable[[], float] = clock) -> None:
        self.model, self.now = model, now
        self.seen: list[tuple[str, dict[str, str]]] = []  # class, and metadata or headers
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def behave(self, klass: str) -> str:
        """Do as the model says and tell how it ended."""
        verdict, at = self.model.ask(self.now(), klass)
        await asyncio.sleep(LONG if verdict == SILENT else max(0.0, at - self.now()) / 1000.0)
        return verdict


class GrpcStandin(Standin):
    """A gRPC server of `turns.py`'s service."""

    async def start(self, port: int = 0) -> "GrpcStandin":
        import grpc
        import grpc.aio

        self.codes = grpc.StatusCode
        self.server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
        handlers = {
            "ReadBoard": grpc.unary_unary_rpc_method_handler(self.unary("ReadBoard")),
            "SubmitTurn": grpc.unary_unary_rpc_method_handler(self.unary("SubmitTurn")),
            "WatchBoard": grpc.unary_stream_rpc_method_handler(self.watch),
            "UploadMoves": grpc.stream_unary_rpc_method_handler(self.upload),
            "Play": grpc.stream_stream_rpc_method_handler(self.play),
        }
        self.server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
        self.port = self.server.add_insecure_port(f"127.0.0.1:{port}")
        await self.server.start()
        return self

    async def stop(self, grace: float = 0.0) -> None:
        """Take nothing more (clients are sent GOAWAY), finish what is here within `grace` seconds."""
        await self.server.stop(grace)

    def note(self, name: str, context: Any) -> None:
        metadata = {k: v for k, v in context.invocation_metadata() if isinstance(v, str)}
        self.seen.append((name, metadata))

    async def judge(self, name: str, context: Any) -> None:
        """Abort where the model does not serve."""
        verdict = await self.behave(CLASSES.get(name, name))
        if verdict == DECLINED:
            await context.abort(self.codes.UNAVAILABLE, "queue full", (("srv-declined", "1"),))
        if verdict == FAILED:
            await context.abort(self.codes.INTERNAL, "out of order")

    def unary(self, name: str) -> Any:
        async def handle(request: bytes, context: Any) -> bytes:
            self.note(name, context)
            await self.judge(name, context)
            return b"board of " + request

        return handle

    async def watch(self, request: bytes, context: Any) -> AsyncIterator[bytes]:
        self.note("WatchBoard", context)
        await self.judge("WatchBoard", context)
        for number in range(3):
            yield b"move %d of " % number + request

    async def upload(self, requests: AsyncIterator[bytes], context: Any) -> bytes:
        self.note("UploadMoves", context)
        return b"+".join([request async for request in requests])

    async def play(self, requests: AsyncIterator[bytes], context: Any) -> AsyncIterator[bytes]:
        self.note("Play", context)
        async for request in requests:
            yield b"re: " + request


class HttpStandin(Standin):
    """A turn server that speaks the platform's HTTP."""

    async def start(self, port: int = 0) -> "HttpStandin":
        self.tasks: set[asyncio.Task[None]] = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            with contextlib.suppress(OSError, h11.RemoteProtocolError, asyncio.CancelledError):
                await self.talk(h11.Connection(h11.SERVER), reader, writer)
        finally:
            self.tasks.discard(task)
            writer.close()

    async def talk(
        self, machine: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request, body = None, b""
        while True:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                machine.receive_data(data)
            elif isinstance(event, h11.Request):
                request, body = event, b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                await self.answer(machine, writer, request, body)
                if machine.our_state is not h11.DONE:
                    return
                machine.start_next_cycle()
            else:
                return

    async def answer(
        self, machine: h11.Connection, writer: asyncio.StreamWriter, request: h11.Request, body: bytes
    ) -> None:
        target = urlsplit(request.target.decode())
        klass = target.path[1:].partition("/")[0]
        headers = {name.decode(): value.decode() for name, value in request.headers}
        self.seen.append((klass, headers))
        verdict = SERVED if klass == "health" else await self.behave(klass)
        status = {SERVED: 200, FAILED: 500, DECLINED: 503}[verdict]
        text = b"board of " + (body or target.query.encode()) if status == 200 else b""
        out = [("Content-Length", str(len(text)))]
        if verdict == DECLINED:
            out.append(("Srv-Declined", "1"))
        data = machine.send(h11.Response(status_code=status, headers=out))
        writer.write((data or b"") + (machine.send(h11.Data(data=text)) or b""))
        writer.write(machine.send(h11.EndOfMessage()) or b"")
        await writer.drain()
