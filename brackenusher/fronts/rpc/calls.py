"""Call objects of `BalancedChannel`: a transaction until it is answered, then the library's call."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable, Generator, Sequence
from typing import Any, Protocol

import grpc
import grpc.aio

from brackenusher.core.message import Content
from brackenusher.core.transaction import Answer, Failed, Refused, Served
from brackenusher.fronts.rpc.config import MethodRule, RpcConfig
from brackenusher.fronts.rpc.host import PendingCall
from brackenusher.fronts.rpc.picture import TargetState
from brackenusher.fronts.rpc.statuses import PUSHBACK_METADATA
from brackenusher.fronts.rpc.sub_channel import EOF, CallSpec, Code, Metadata, ResponseStream, UnaryResponse

LOCALLY_CANCELLED = "Locally cancelled by application!"  # grpcio's text


class CallRefused(grpc.aio.AioRpcError):
    """The call was refused and not executed: UNAVAILABLE; it may be retried after `retry_after` ms."""

    def __init__(self, retry_after: float, details: str) -> None:
        trailing = Metadata((PUSHBACK_METADATA, str(math.ceil(retry_after))))
        super().__init__(Code.UNAVAILABLE, Metadata(), trailing, details, "refused by the caller's plug-in")
        self.retry_after = retry_after

    def __reduce__(self) -> Any:
        return type(self), (self.retry_after, self.details())


def make_error(code: grpc.StatusCode, details: str) -> grpc.aio.AioRpcError:
    return grpc.aio.AioRpcError(code, Metadata(), Metadata(), details, "made by the caller's plug-in")


class ParentChannel(Protocol):
    """What calls need of their channel."""

    open_calls: "dict[int, Call]"

    @property
    def config(self) -> RpcConfig: ...

    @property
    def picture(self) -> TargetState: ...

    def open(self) -> None:
        """Acquire the target's state, if not done yet."""

    def remove_call(self, call: "Call") -> None:
        """Remove a finished call."""

    def tenant_index(self, method: MethodRule, metadata: Sequence[tuple[str, Any]]) -> int:
        """Index of a call's tenant; -1 if it is not in the settings."""


class Call(grpc.aio.Call):
    """Base class of the four kinds of calls."""

    def __init__(
        self, channel: ParentChannel, spec: CallSpec, deserializer: Callable[[bytes], Any] | None
    ) -> None:
        self.channel, self.spec, self.deserializer = channel, spec, deserializer
        self.runner = channel.picture.host
        self.answered: asyncio.Future[None] = self.runner.loop.create_future()
        self.library_call: Any = None  # the library's call, once there is an answer
        self.error: grpc.aio.AioRpcError | None = None
        self.cancelled_locally = False
        self.pending: PendingCall | None = None

    def start(self, method: MethodRule | None, timeout: float | None, fault: str) -> None:
        """Start the transaction, or fail the call at once if it is invalid."""
        runner = self.runner
        if method is None or fault:
            path = self.spec.path
            code = Code.INVALID_ARGUMENT if method else Code.UNIMPLEMENTED
            self.fail(make_error(code, fault or f"{path} is not in the table of methods"))
            return
        timeout_ms = runner.settings.classes[method.klass].deadline
        if timeout is not None:
            timeout_ms = min(timeout_ms, timeout * 1000.0)
        tenant = self.channel.tenant_index(method, self.spec.metadata)
        if tenant < 0:
            self.fail(make_error(Code.INVALID_ARGUMENT, f"{method.tenant}: the tenant is unknown"))
            return
        self.channel.open_calls[id(self)] = self
        self.add_done_callback(self.channel.remove_call)
        self.pending = runner.start_call(method.klass, timeout_ms, self.spec, self.on_answer, tenant)

    def on_answer(self, answer: Answer) -> None:
        """Handle the final answer of the transaction."""
        if isinstance(answer, Served):
            self.on_served(answer.content)
        elif isinstance(answer, Refused):
            self.fail(CallRefused(answer.retry_after, "refused: no server could take it in its time"))
        else:
            self.fail(self.spec.last_error or self.no_status_error(answer))

    def on_served(self, content: Content) -> None:
        assert isinstance(content, UnaryResponse | ResponseStream)
        self.library_call = content.library_call
        if isinstance(content, UnaryResponse) and content.error is not None:
            self.fail(content.error)
        else:
            self.mark_answered()

    def no_status_error(self, _: Failed) -> grpc.aio.AioRpcError:
        """The error if no server returned a status."""
        return make_error(Code.DEADLINE_EXCEEDED, "failed: no server answered in time; it may have run")

    def fail(self, error: grpc.aio.AioRpcError) -> None:
        self.error = error
        self.mark_answered()

    def mark_answered(self) -> None:
        if not self.answered.done():
            self.answered.set_result(None)

    async def wait_answered(self) -> None:
        """Wait for the answer of the transaction; cancelling the wait cancels the call."""
        try:
            await self.answered
        except asyncio.CancelledError:
            self.cancel()
            raise

    async def observe_answered(self) -> None:
        """Wait for the answer of the transaction; cancelling the wait does not affect the call."""
        await asyncio.wait([self.answered])

    # grpc.aio.RpcContext and grpc.aio.Call

    def cancelled(self) -> bool:
        return self.cancelled_locally or bool(self.library_call is not None and self.library_call.cancelled())

    def done(self) -> bool:
        return (
            self.cancelled_locally
            or self.error is not None
            or (self.library_call is not None and self.library_call_done())
        )

    def library_call_done(self) -> bool:
        """Whether the library's call is over."""
        return bool(self.library_call.done())

    def time_remaining(self) -> float | None:
        if self.spec.caller_deadline is None:
            return None
        return max(0.0, self.spec.caller_deadline - self.runner.clock()) / 1000.0

    def cancel(self) -> bool:
        if self.cancelled_locally or self.error is not None:
            return False
        if self.library_call is not None:
            return bool(self.library_call.cancel())
        self.cancelled_locally = True
        if self.pending is not None:
            self.runner.cancel_call(self.pending)
        if not self.answered.done():
            self.answered.cancel()
        return True

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        def settled(_: Any) -> None:
            if self.library_call is None or self.error is not None or self.library_call_done():
                callback(self)
            else:
                self.library_call.add_done_callback(lambda _: callback(self))

        self.answered.add_done_callback(settled)

    async def initial_metadata(self) -> Any:
        await self.observe_answered()
        if self.library_call is not None:
            return await self.library_call.initial_metadata()
        return (self.error and self.error.initial_metadata()) or Metadata()

    async def trailing_metadata(self) -> Any:
        await self.observe_answered()
        if self.error is not None:
            return self.error.trailing_metadata() or Metadata()
        return Metadata() if self.library_call is None else await self.library_call.trailing_metadata()

    async def code(self) -> grpc.StatusCode:
        await self.observe_answered()
        if self.error is not None:
            return self.error.code()
        if self.library_call is None:
            return Code.CANCELLED
        return await self.library_call.code()

    async def details(self) -> str:
        await self.observe_answered()
        if self.error is not None:
            return self.error.details() or ""
        return LOCALLY_CANCELLED if self.library_call is None else await self.library_call.details()

    async def wait_for_connection(self) -> None:
        await self.wait_answered()
        if self.error is not None:
            raise self.error


class UnaryResponseCall(Call):
    """Calls with a single response message."""

    async def message(self) -> Any:
        raise NotImplementedError

    def __await__(self) -> Generator[Any, None, Any]:
        return self.message().__await__()


class StreamResponseCall(Call):
    """Calls with a response stream; as in the library, `async for` and `read` cannot be mixed."""

    first_message: Any = None
    has_first_message = False
    read_style = ""

    def on_served(self, content: Content) -> None:
        if isinstance(content, ResponseStream):
            self.first_message, self.has_first_message = content.first_message, content.has_first_message
        super().on_served(content)

    def check_read_style(self, style: str) -> None:
        if self.read_style not in ("", style):
            raise grpc.aio.UsageError("The iterator and read/write APIs may not be mixed on a single RPC.")
        self.read_style = style

    async def next_message(self) -> Any:
        await self.wait_answered()
        if self.error is not None:
            raise self.error
        if self.has_first_message:
            message, self.first_message, self.has_first_message = self.first_message, None, False
            return message
        return await self.library_call.read()

    async def read(self) -> Any:
        self.check_read_style("read")
        return await self.next_message()

    async def iterate_messages(self) -> AsyncIterator[Any]:
        while (message := await self.next_message()) is not EOF:
            yield message

    def __aiter__(self) -> AsyncIterator[Any]:
        self.check_read_style("iterate")
        return self.iterate_messages()


class StreamRequestCall(Call):
    """Calls with a request stream: it is written to the selected server and not retried elsewhere."""

    def check_writable(self) -> None:
        if self.spec.request is not None:
            raise grpc.aio.UsageError("The iterator and read/write APIs may not be mixed on a single RPC.")

    async def write(self, request: Any) -> None:
        self.check_writable()
        await self.wait_answered()
        if self.error is not None:
            raise self.error
        await self.library_call.write(request)

    async def done_writing(self) -> None:
        self.check_writable()
        await self.wait_answered()
        if self.error is None:
            await self.library_call.done_writing()


class UnaryUnaryCall(UnaryResponseCall, grpc.aio.UnaryUnaryCall):
    """A unary call; it may be attempted on several servers."""

    body = b""

    async def code(self) -> grpc.StatusCode:
        await self.observe_answered()
        if self.error is not None:
            return self.error.code()
        return Code.CANCELLED if self.library_call is None else Code.OK

    def on_served(self, content: Content) -> None:
        if isinstance(content, UnaryResponse):
            self.body = content.body
        super().on_served(content)

    def library_call_done(self) -> bool:
        return True

    async def message(self) -> Any:
        await self.wait_answered()
        if self.error is not None:
            raise self.error
        if self.deserializer is None:
            return self.body
        try:
            return self.deserializer(self.body)
        except Exception as error:
            raise make_error(Code.INTERNAL, f"the answer cannot be deserialized: {error}") from error


class UnaryStreamCall(StreamResponseCall, grpc.aio.UnaryStreamCall):
    """A call with a response stream; it may be retried until its first message is received."""


class StreamUnaryCall(StreamRequestCall, UnaryResponseCall, grpc.aio.StreamUnaryCall):
    """A call with a request stream."""

    async def message(self) -> Any:
        await self.wait_answered()
        if self.error is not None:
            raise self.error
        return await self.library_call


class StreamStreamCall(StreamRequestCall, StreamResponseCall, grpc.aio.StreamStreamCall):
    """A call with request and response streams."""


CALL_TYPES: dict[str, Any] = {
    "unary_unary": UnaryUnaryCall,
    "unary_stream": UnaryStreamCall,
    "stream_unary": StreamUnaryCall,
    "stream_stream": StreamStreamCall,
}
