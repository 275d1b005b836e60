"""Calls as generated stubs know them: a transaction until it is answered, then the library's call."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable, Generator, Sequence
from typing import Any, Protocol

import grpc
import grpc.aio

from brackenusher.core.message import Content
from brackenusher.core.transaction import Answer, Failed, Refused, Served
from brackenusher.fronts.rpc.config import Method, RpcConfig
from brackenusher.fronts.rpc.host import Ticket
from brackenusher.fronts.rpc.picture import Picture
from brackenusher.fronts.rpc.statuses import PUSHBACK
from brackenusher.fronts.rpc.sub_channel import EOF, Code, Metadata, Order, Reply, Stream

LOCALLY_CANCELLED = "Locally cancelled by application!"  # as grpcio words it


class CallRefused(grpc.aio.AioRpcError):
    """The call was refused and never ran: UNAVAILABLE, and coming back is harmless after `retry_after` ms."""

    def __init__(self, retry_after: float, details: str) -> None:
        trailing = Metadata((PUSHBACK, str(math.ceil(retry_after))))
        super().__init__(Code.UNAVAILABLE, Metadata(), trailing, details, "refused by the caller's plug-in")
        self.retry_after = retry_after

    def __reduce__(self) -> Any:
        return type(self), (self.retry_after, self.details())


def failure(code: grpc.StatusCode, details: str) -> grpc.aio.AioRpcError:
    return grpc.aio.AioRpcError(code, Metadata(), Metadata(), details, "made by the caller's plug-in")


class CallOwner(Protocol):
    """What calls ask of the channel that they are made on."""

    calls: "dict[int, Call]"

    @property
    def config(self) -> RpcConfig: ...

    @property
    def picture(self) -> Picture: ...

    def open(self) -> None:
        """Enter the picture of the target, if that was not done yet."""

    def forget(self, call: "Call") -> None:
        """The call is over."""

    def tenant(self, method: Method, metadata: Sequence[tuple[str, Any]]) -> int:
        """The index of a call's tenant; -1 for one that the settings lack."""


class Call(grpc.aio.Call):
    """What the four kinds of calls share: a transaction until it is answered, then the library's call."""

    def __init__(self, channel: CallOwner, order: Order, decode: Callable[[bytes], Any] | None) -> None:
        self.channel, self.order, self.decode = channel, order, decode
        self.host = channel.picture.host
        self.chosen: asyncio.Future[None] = self.host.loop.create_future()
        self.under: Any = None  # the library's call
        self.error: grpc.aio.AioRpcError | None = None
        self.given_up = False
        self.ticket: Ticket | None = None

    def begin(self, method: Method | None, timeout: float | None, wrong: str) -> None:
        """Hand the call to the core, or end it at once where it cannot be taken."""
        host = self.host
        if method is None or wrong:
            path = self.order.path
            code = Code.INVALID_ARGUMENT if method else Code.UNIMPLEMENTED
            self.fail(failure(code, wrong or f"{path} is not in the table of methods"))
            return
        span = host.settings.classes[method.klass].deadline
        if timeout is not None:
            span = min(span, timeout * 1000.0)
        tenant = self.channel.tenant(method, self.order.metadata)
        if tenant < 0:
            self.fail(failure(Code.INVALID_ARGUMENT, f"{method.tenant}: the tenant is unknown"))
            return
        self.channel.calls[id(self)] = self
        self.add_done_callback(self.channel.forget)
        self.ticket = host.arrive(method.klass, span, self.order, self.answer, tenant)

    def answer(self, answer: Answer) -> None:
        """The core's final answer."""
        if isinstance(answer, Served):
            self.served(answer.content)
        elif isinstance(answer, Refused):
            self.fail(CallRefused(answer.retry_after, "refused: no server could take it in its time"))
        else:
            self.fail(self.order.said or self.unsaid(answer))

    def served(self, content: Content) -> None:
        assert isinstance(content, Reply | Stream)
        self.under = content.call
        if isinstance(content, Reply) and content.error is not None:
            self.fail(content.error)
        else:
            self.settle()

    def unsaid(self, _: Failed) -> grpc.aio.AioRpcError:
        """No server said anything."""
        return failure(Code.DEADLINE_EXCEEDED, "failed: no server answered in time; it may have run")

    def fail(self, error: grpc.aio.AioRpcError) -> None:
        self.error = error
        self.settle()

    def settle(self) -> None:
        if not self.chosen.done():
            self.chosen.set_result(None)

    async def choice(self) -> None:
        """Wait until it is known what became of the call; giving up the wait gives up the call."""
        try:
            await self.chosen
        except asyncio.CancelledError:
            self.cancel()
            raise

    async def peek(self) -> None:
        """Wait for the same, but without a say in it."""
        await asyncio.wait([self.chosen])

    # grpc.aio.RpcContext and grpc.aio.Call

    def cancelled(self) -> bool:
        return self.given_up or bool(self.under is not None and self.under.cancelled())

    def done(self) -> bool:
        return self.given_up or self.error is not None or (self.under is not None and self.ended())

    def ended(self) -> bool:
        """Whether the library's call is over."""
        return bool(self.under.done())

    def time_remaining(self) -> float | None:
        if self.order.until is None:
            return None
        return max(0.0, self.order.until - self.host.clock()) / 1000.0

    def cancel(self) -> bool:
        if self.given_up or self.error is not None:
            return False
        if self.under is not None:
            return bool(self.under.cancel())
        self.given_up = True
        if self.ticket is not None:
            self.host.leave(self.ticket)
        if not self.chosen.done():
            self.chosen.cancel()
        return True

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        def settled(_: Any) -> None:
            if self.under is None or self.error is not None or self.ended():
                callback(self)
            else:
                self.under.add_done_callback(lambda _: callback(self))

        self.chosen.add_done_callback(settled)

    async def initial_metadata(self) -> Any:
        await self.peek()
        if self.under is not None:
            return await self.under.initial_metadata()
        return (self.error and self.error.initial_metadata()) or Metadata()

    async def trailing_metadata(self) -> Any:
        await self.peek()
        if self.error is not None:
            return self.error.trailing_metadata() or Metadata()
        return Metadata() if self.under is None else await self.under.trailing_metadata()

    async def code(self) -> grpc.StatusCode:
        await self.peek()
        if self.error is not None:
            return self.error.code()
        if self.under is None:
            return Code.CANCELLED
        return await self.under.code()

    async def details(self) -> str:
        await self.peek()
        if self.error is not None:
            return self.error.details() or ""
        return LOCALLY_CANCELLED if self.under is None else await self.under.details()

    async def wait_for_connection(self) -> None:
        await self.choice()
        if self.error is not None:
            raise self.error


class UnaryAnswer(Call):
    """Calls that are awaited for one message."""

    async def message(self) -> Any:
        raise NotImplementedError

    def __await__(self) -> Generator[Any, None, Any]:
        return self.message().__await__()


class StreamedAnswer(Call):
    """Calls whose answer is a stream; `async for` and `read` work as the library's do, and do not mix."""

    stash: Any = None
    has_stash = False
    style = ""

    def served(self, content: Content) -> None:
        if isinstance(content, Stream):
            self.stash, self.has_stash = content.first, content.has_first
        super().served(content)

    def use(self, style: str) -> None:
        if self.style not in ("", style):
            raise grpc.aio.UsageError("The iterator and read/write APIs may not be mixed on a single RPC.")
        self.style = style

    async def next_message(self) -> Any:
        await self.choice()
        if self.error is not None:
            raise self.error
        if self.has_stash:
            message, self.stash, self.has_stash = self.stash, None, False
            return message
        return await self.under.read()

    async def read(self) -> Any:
        self.use("read")
        return await self.next_message()

    async def messages(self) -> AsyncIterator[Any]:
        while (message := await self.next_message()) is not EOF:
            yield message

    def __aiter__(self) -> AsyncIterator[Any]:
        self.use("iterate")
        return self.messages()


class StreamedRequest(Call):
    """Calls whose request is a stream: it is written to the server that was chosen, and to no other."""

    def use_writes(self) -> None:
        if self.order.request is not None:
            raise grpc.aio.UsageError("The iterator and read/write APIs may not be mixed on a single RPC.")

    async def write(self, request: Any) -> None:
        self.use_writes()
        await self.choice()
        if self.error is not None:
            raise self.error
        await self.under.write(request)

    async def done_writing(self) -> None:
        self.use_writes()
        await self.choice()
        if self.error is None:
            await self.under.done_writing()


class UnaryUnaryCall(UnaryAnswer, grpc.aio.UnaryUnaryCall):
    """A call of one message each way; it may be attempted at several servers."""

    body = b""

    async def code(self) -> grpc.StatusCode:
        await self.peek()
        if self.error is not None:
            return self.error.code()
        return Code.CANCELLED if self.under is None else Code.OK

    def served(self, content: Content) -> None:
        if isinstance(content, Reply):
            self.body = content.body
        super().served(content)

    def ended(self) -> bool:
        return True

    async def message(self) -> Any:
        await self.choice()
        if self.error is not None:
            raise self.error
        if self.decode is None:
            return self.body
        try:
            return self.decode(self.body)
        except Exception as error:
            raise failure(Code.INTERNAL, f"the answer cannot be deserialized: {error}") from error


class UnaryStreamCall(StreamedAnswer, grpc.aio.UnaryStreamCall):
    """A call whose answer is a stream; it may be attempted again until its first message has come."""


class StreamUnaryCall(StreamedRequest, UnaryAnswer, grpc.aio.StreamUnaryCall):
    """A call whose request is a stream."""

    async def message(self) -> Any:
        await self.choice()
        if self.error is not None:
            raise self.error
        return await self.under


class StreamStreamCall(StreamedRequest, StreamedAnswer, grpc.aio.StreamStreamCall):
    """A call of streams both ways."""


CALLS: dict[str, Any] = {
    "unary_unary": UnaryUnaryCall,
    "unary_stream": UnaryStreamCall,
    "stream_unary": StreamUnaryCall,
    "stream_stream": StreamStreamCall,
}
