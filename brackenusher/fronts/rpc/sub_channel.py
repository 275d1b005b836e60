"""The line to one server under `BalancedChannel`: a channel of the library, and what goes over it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import grpc
import grpc.aio

from barleybarrow.interface import Outcome
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Attempt, Served
from brackenusher.fronts.rpc.host import Host
from brackenusher.fronts.rpc.lines import Trip
from brackenusher.fronts.rpc.statuses import PREVIOUS, judge

Code = grpc.StatusCode
Metadata = grpc.aio.Metadata
EOF = grpc.aio.EOF
HEALTH = "/grpc.health.v1.Health/Check"  # the health checking protocol of gRPC, with the empty service name
SERVING = b"\x08\x01"  # HealthCheckResponse{status: SERVING}
REPORT = "srv-stats"  # trailing metadata of a health check: the load report, as name=value,name=value
MOST_METHODS = 256  # multi-callables kept for each sub-channel; stubs made anew for each call have new ones


@dataclass(slots=True, eq=False)
class Order(Message):
    """What a call asks for; the message of its transaction."""

    kind: str = ""  # the channel's method that makes the multi-callable
    path: str = ""
    request: Any = None  # bytes; for streams of requests, what the caller gave, or None if it writes
    metadata: tuple[tuple[str, Any], ...] = ()
    credentials: grpc.CallCredentials | None = None
    compression: grpc.Compression | None = None
    until: float | None = None  # clock time in milliseconds at which the caller gives up
    serializer: Callable[[Any], bytes] | None = None
    deserializer: Callable[[bytes], Any] | None = None
    said: grpc.aio.AioRpcError | None = None  # by the last attempt that failed


@dataclass(slots=True, eq=False)
class Reply(Content):
    """A unary answer: its bytes, or the status that is the answer; the sub-channel's call has the rest."""

    call: Any = None
    error: grpc.aio.AioRpcError | None = None


@dataclass(slots=True, eq=False)
class Stream(Content):
    """A stream that belongs to the caller from here on, and the message that made it so."""

    call: Any = None
    first: Any = None
    has_first: bool = False


class SubChannel:
    """The line to one server: a channel of the library."""

    def __init__(self, host: Host, channel: grpc.aio.Channel) -> None:
        self.host = host
        self.channel: grpc.aio.Channel | None = channel  # none once it is closed
        self.methods: dict[tuple[Any, ...], Any] = {}

    def ready(self) -> bool:
        return self.channel is not None and self.channel.get_state() is grpc.ChannelConnectivity.READY

    def open_channel(self) -> grpc.aio.Channel:
        """The channel; raises UsageError once the line is closed, as the library's own channel does."""
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

    def method(self, order: Order) -> Any:
        key = order.kind, order.path, order.serializer, order.deserializer
        method = self.methods.get(key)
        if method is None:
            if len(self.methods) >= MOST_METHODS:
                self.methods.clear()
            make = getattr(self.open_channel(), order.kind)
            method = self.methods[key] = make(order.path, order.serializer, order.deserializer)
        return method

    def call(self, attempt: Attempt, order: Order, left: float | None) -> Any:
        """Start a call; `left` in milliseconds."""
        metadata = order.metadata
        if attempt.number:
            metadata += ((PREVIOUS, str(attempt.number)),)
        return self.method(order)(
            order.request,
            timeout=None if left is None else max(left, 0.0) / 1000.0,
            metadata=Metadata(*metadata),
            credentials=order.credentials,
            compression=order.compression,
        )

    async def exchange(self, attempt: Attempt, trip: Trip, left: float) -> tuple[Outcome, Served | None]:
        order = attempt.message
        assert isinstance(order, Order)
        if order.kind == "unary_unary":
            return await self.unary(attempt, trip, order, left)
        until = None if order.until is None else order.until - self.host.clock()
        call = self.call(attempt, order, until)
        trip.written = True
        if order.kind == "unary_stream":
            return await self.server_stream(attempt, trip, order, call)
        self.belong(attempt, trip, Stream(b"", call=call))  # messages that are gone cannot be sent again
        return await self.outcome(call, attempt, order), None

    async def unary(
        self, attempt: Attempt, trip: Trip, order: Order, left: float
    ) -> tuple[Outcome, Served | None]:
        call = self.call(attempt, order, left)
        trip.written = True
        try:
            body = await call
        except grpc.aio.AioRpcError as error:
            outcome = self.judge(error.code(), error.details(), error.trailing_metadata(), attempt)
            if outcome is Outcome.SERVED:
                return outcome, Served(Reply(b"", call=call, error=error))
            order.said = error
            return outcome, None
        return Outcome.SERVED, Served(Reply(body, call=call))

    async def server_stream(
        self, attempt: Attempt, trip: Trip, order: Order, call: Any
    ) -> tuple[Outcome, Served | None]:
        try:
            first = await call.read()
        except grpc.aio.AioRpcError as error:
            outcome = self.judge(error.code(), error.details(), error.trailing_metadata(), attempt)
            if outcome is Outcome.SERVED:
                return outcome, Served(Reply(b"", call=call, error=error))
            order.said = error
            return outcome, None
        except asyncio.CancelledError:
            call.cancel()
            raise
        if first is EOF:
            return Outcome.SERVED, Served(Stream(b"", call=call))
        self.belong(attempt, trip, Stream(b"", call=call, first=first, has_first=True))
        return await self.outcome(call, attempt, order), None

    def belong(self, attempt: Attempt, trip: Trip, stream: Stream) -> None:
        """The attempt is the caller's from here on: no time limit of ours, and no other attempt."""
        self.host.deadlines.remove(trip.expiry)
        if not self.host.began(attempt, stream):
            stream.call.cancel()

    async def outcome(self, call: Any, attempt: Attempt, order: Order) -> Outcome:
        """How a stream that belongs to the caller ended."""
        try:
            code = await call.code()
        except asyncio.CancelledError:
            call.cancel()
            raise
        if code is Code.CANCELLED and call.cancelled():
            return Outcome.CANCELLED
        outcome = self.judge(code, await call.details(), await call.trailing_metadata(), attempt)
        if order.until is not None and code is Code.DEADLINE_EXCEEDED and self.host.clock() >= order.until:
            return Outcome.CANCELLED  # the caller's own limit, which says nothing of the server
        return Outcome.ERROR if outcome is Outcome.FULL else outcome

    def judge(self, code: grpc.StatusCode, details: str | None, trailing: Any, attempt: Attempt) -> Outcome:
        time_up = self.host.clock() >= attempt.deadline - 1.0  # a library's timers are a millisecond coarse
        return judge(code, details, trailing, time_up, broken=not self.ready())

    async def probe(self) -> tuple[Outcome, dict[str, float] | None]:
        from brackenusher.upstream.connections import read_report  # needs epoll; most sites have no probes

        call = self.open_channel().unary_unary(HEALTH)(b"")
        try:
            body = await call
        except grpc.aio.AioRpcError as error:
            return (Outcome.RESET if error.code() is Code.UNAVAILABLE else Outcome.ERROR), None
        report = None
        for name, value in await call.trailing_metadata():
            if name == REPORT:
                report = read_report(value.encode() if isinstance(value, str) else value)
        return (Outcome.SERVED if body[:2] == SERVING else Outcome.ERROR), report

    async def close(self) -> None:
        """Close the channel and let go of it.

        Whoever still knows the line must not keep the library alive: its threads end with the last of its
        objects, and a child forked before that waits for them for ever when it collects its garbage.
        """
        channel, self.channel = self.channel, None
        self.methods.clear()
        if channel is not None:
            await channel.close()
