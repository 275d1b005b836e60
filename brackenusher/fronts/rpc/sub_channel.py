"""The connection to one server under `BalancedChannel`: a grpc.aio channel and the calls over it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import grpc
import grpc.aio

from barleybarrow.interface import Outcome
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Attempt, Served
from brackenusher.fronts.rpc.host import TransactionRunner
from brackenusher.fronts.rpc.lines import InFlightAttempt
from brackenusher.fronts.rpc.statuses import PREVIOUS_ATTEMPTS_METADATA, classify_status

Code = grpc.StatusCode
Metadata = grpc.aio.Metadata
EOF = grpc.aio.EOF
# gRPC health checking protocol, with the empty service name
HEALTH_CHECK_PATH = "/grpc.health.v1.Health/Check"
SERVING_RESPONSE = b"\x08\x01"  # HealthCheckResponse{status: SERVING}
# trailing metadata of a health check with the load report: name=value,name=value
LOAD_REPORT_METADATA = "srv-stats"
MAX_MULTI_CALLABLES = 256  # cached per sub-channel; a stub created per call has new ones each time


@dataclass(slots=True, eq=False)
class CallSpec(Message):
    """A call's request and options; the message of its transaction."""

    kind: str = ""  # name of the channel method that creates the multi-callable
    path: str = ""
    request: Any = None  # bytes; for request streams, the caller's iterator, or None if it writes
    metadata: tuple[tuple[str, Any], ...] = ()
    credentials: grpc.CallCredentials | None = None
    compression: grpc.Compression | None = None
    caller_deadline: float | None = None  # the caller's deadline, clock time in milliseconds
    serializer: Callable[[Any], bytes] | None = None
    deserializer: Callable[[bytes], Any] | None = None
    last_error: grpc.aio.AioRpcError | None = None  # error of the last failed attempt


@dataclass(slots=True, eq=False)
class UnaryResponse(Content):
    """A unary response: its bytes or an error status; the sub-channel's call has the rest."""

    library_call: Any = None
    error: grpc.aio.AioRpcError | None = None


@dataclass(slots=True, eq=False)
class ResponseStream(Content):
    """A stream handed to the caller, with its first message if that was read already."""

    library_call: Any = None
    first_message: Any = None
    has_first_message: bool = False


class SubChannel:
    """A connection to one server, over a grpc.aio channel."""

    def __init__(self, runner: TransactionRunner, channel: grpc.aio.Channel) -> None:
        self.runner = runner
        self.channel: grpc.aio.Channel | None = channel  # None once closed
        self.multi_callables: dict[tuple[Any, ...], Any] = {}

    def ready(self) -> bool:
        return self.channel is not None and self.channel.get_state() is grpc.ChannelConnectivity.READY

    def open_channel(self) -> grpc.aio.Channel:
        """The channel; raises UsageError once closed, as the library's own channel does."""
        if self.channel is None:
            raise grpc.aio.UsageError("Channel is closed.")
        return self.channel

    async def connect(self) -> bool:
        channel = self.open_channel()
        state = channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            await channel.wait_for_state_change(state)
            state = channel.get_state(try_to_connect=True)
            if state in (grpc.ChannelConnectivity.TRANSIENT_FAILURE, grpc.ChannelConnectivity.SHUTDOWN):
                return False
        return True

    def multi_callable(self, spec: CallSpec) -> Any:
        key = spec.kind, spec.path, spec.serializer, spec.deserializer
        multi_callable = self.multi_callables.get(key)
        if multi_callable is None:
            if len(self.multi_callables) >= MAX_MULTI_CALLABLES:
                self.multi_callables.clear()
            factory = getattr(self.open_channel(), spec.kind)
            multi_callable = self.multi_callables[key] = factory(
                spec.path, spec.serializer, spec.deserializer
            )
        return multi_callable

    def start_call(self, attempt: Attempt, spec: CallSpec, remaining_ms: float | None) -> Any:
        """Start a call; None for no deadline."""
        metadata = spec.metadata
        if attempt.number:
            metadata += ((PREVIOUS_ATTEMPTS_METADATA, str(attempt.number)),)
        return self.multi_callable(spec)(
            spec.request,
            timeout=None if remaining_ms is None else max(remaining_ms, 0.0) / 1000.0,
            metadata=Metadata(*metadata),
            credentials=spec.credentials,
            compression=spec.compression,
        )

    async def execute(
        self, attempt: Attempt, flight: InFlightAttempt, remaining_ms: float
    ) -> tuple[Outcome, Served | None]:
        spec = attempt.message
        assert isinstance(spec, CallSpec)
        if spec.kind == "unary_unary":
            return await self.execute_unary(attempt, flight, spec, remaining_ms)
        remaining_call_ms = (
            None if spec.caller_deadline is None else spec.caller_deadline - self.runner.clock()
        )
        call = self.start_call(attempt, spec, remaining_call_ms)
        flight.written = True
        if spec.kind == "unary_stream":
            return await self.execute_server_stream(attempt, flight, spec, call)
        # messages taken from the iterator cannot be sent again
        self.hand_to_caller(attempt, flight, ResponseStream(b"", library_call=call))
        return await self.stream_outcome(call, attempt, spec), None

    async def execute_unary(
        self, attempt: Attempt, flight: InFlightAttempt, spec: CallSpec, remaining_ms: float
    ) -> tuple[Outcome, Served | None]:
        call = self.start_call(attempt, spec, remaining_ms)
        flight.written = True
        try:
            body = await call
        except grpc.aio.AioRpcError as error:
            outcome = self.classify(error.code(), error.details(), error.trailing_metadata(), attempt)
            if outcome is Outcome.SERVED:
                return outcome, Served(UnaryResponse(b"", library_call=call, error=error))
            spec.last_error = error
            return outcome, None
        return Outcome.SERVED, Served(UnaryResponse(body, library_call=call))

    async def execute_server_stream(
        self, attempt: Attempt, flight: InFlightAttempt, spec: CallSpec, call: Any
    ) -> tuple[Outcome, Served | None]:
        try:
            first = await call.read()
        except grpc.aio.AioRpcError as error:
            outcome = self.classify(error.code(), error.details(), error.trailing_metadata(), attempt)
            if outcome is Outcome.SERVED:
                return outcome, Served(UnaryResponse(b"", library_call=call, error=error))
            spec.last_error = error
            return outcome, None
        except asyncio.CancelledError:
            call.cancel()
            raise
        if first is EOF:
            return Outcome.SERVED, Served(ResponseStream(b"", library_call=call))
        self.hand_to_caller(
            attempt,
            flight,
            ResponseStream(b"", library_call=call, first_message=first, has_first_message=True),
        )
        return await self.stream_outcome(call, attempt, spec), None

    def hand_to_caller(self, attempt: Attempt, flight: InFlightAttempt, stream: ResponseStream) -> None:
        """Hand the attempt to the caller: from here on no attempt deadline and no retry."""
        self.runner.deadlines.remove(flight.expiry)
        if not self.runner.stream_began(attempt, stream):
            stream.library_call.cancel()

    async def stream_outcome(self, call: Any, attempt: Attempt, spec: CallSpec) -> Outcome:
        """Wait for the end of a stream handed to the caller; returns its outcome."""
        try:
            code = await call.code()
        except asyncio.CancelledError:
            call.cancel()
            raise
        if code is Code.CANCELLED and call.cancelled():
            return Outcome.CANCELLED
        outcome = self.classify(code, await call.details(), await call.trailing_metadata(), attempt)
        if (
            spec.caller_deadline is not None
            and code is Code.DEADLINE_EXCEEDED
            and self.runner.clock() >= spec.caller_deadline
        ):
            return Outcome.CANCELLED  # the caller's own deadline, which says nothing about the server
        return Outcome.ERROR if outcome is Outcome.FULL else outcome

    def classify(
        self, code: grpc.StatusCode, details: str | None, trailing: Any, attempt: Attempt
    ) -> Outcome:
        # the library's timers have a resolution of 1 ms
        deadline_passed = self.runner.clock() >= attempt.deadline - 1.0
        return classify_status(code, details, trailing, deadline_passed, connection_lost=not self.ready())

    async def probe(self) -> tuple[Outcome, dict[str, float] | None]:
        # imported here, as it needs epoll and most sites have no probes
        from brackenusher.upstream.connections import read_report

        call = self.open_channel().unary_unary(HEALTH_CHECK_PATH)(b"")
        try:
            body = await call
        except grpc.aio.AioRpcError as error:
            return (Outcome.RESET if error.code() is Code.UNAVAILABLE else Outcome.ERROR), None
        report = None
        for name, value in await call.trailing_metadata():
            if name == LOAD_REPORT_METADATA:
                report = read_report(value.encode() if isinstance(value, str) else value)
        return (Outcome.SERVED if body[:2] == SERVING_RESPONSE else Outcome.ERROR), report

    async def close(self) -> None:
        """Close the channel and drop the reference to it.

        Remaining references to this object must not keep grpcio's objects alive: its threads end with the
        last of them, and a child forked before that waits for the threads for ever in its garbage collector.
        """
        channel, self.channel = self.channel, None
        self.multi_callables.clear()
        if channel is not None:
            await channel.close()
