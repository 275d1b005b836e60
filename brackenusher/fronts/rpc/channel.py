"""`BalancedChannel`: a grpc.aio.Channel that generated stubs take unchanged, over the core's decisions.

A call is a transaction; its attempts go over sub-channels, one for each server, without the library's own
retries.
"""

import asyncio
import math
import os
from collections.abc import AsyncIterator, Callable, Generator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from barleybarrow.interface import Effect, Outcome
from brackenusher.config.platform import ConfigError
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Answer, Attempt, Failed, Refused, Served
from brackenusher.fronts.rpc import picture as pictures
from brackenusher.fronts.rpc.config import Method, RpcConfig, read_config
from brackenusher.fronts.rpc.host import Host, Ticket
from brackenusher.fronts.rpc.lines import Trip
from brackenusher.fronts.rpc.metrics import Metrics
from brackenusher.fronts.rpc.picture import Members, Picture
from brackenusher.fronts.rpc.statuses import PREVIOUS, PUSHBACK, judge
from brackenusher.upstream.pool import Member

PROTOCOL = "grpc"
Code = grpc.StatusCode
Metadata = grpc.aio.Metadata
EOF = grpc.aio.EOF
Dial = Callable[[str], grpc.aio.Channel]

OPTIONS = (
    ("grpc.enable_retries", 0),  # no attempt that the core does not count, transparent ones included
    ("grpc.use_local_subchannel_pool", 1),  # a connection and its back-off belong to one sub-channel
    ("grpc.enable_http_proxy", 0),  # a proxy from the environment would choose servers of its own
)
HEALTH = "/grpc.health.v1.Health/Check"  # the health checking protocol of gRPC, with the empty service name
SERVING = b"\x08\x01"  # HealthCheckResponse{status: SERVING}
REPORT = "srv-stats"  # trailing metadata of a health check: the load report, as name=value,name=value
LOCALLY_CANCELLED = "Locally cancelled by application!"  # as grpcio words it
MOST_METHODS = 256  # multi-callables kept for each sub-channel; stubs made anew for each call have new ones


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


class Call(grpc.aio.Call):
    """What the four kinds of calls share: a transaction until it is answered, then the library's call."""

    def __init__(
        self, channel: "BalancedChannel", order: Order, decode: Callable[[bytes], Any] | None
    ) -> None:
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


class MultiCallable:
    """What a stub calls."""

    def __init__(
        self,
        channel: "BalancedChannel",
        kind: str,
        path: str,
        serializer: Callable[[Any], bytes] | None,
        deserializer: Callable[[bytes], Any] | None,
    ) -> None:
        self.channel, self.kind, self.path = channel, kind, path
        self.serializer, self.deserializer = serializer, deserializer
        self.method = channel.config.method(path)

    def make(
        self,
        request: Any,
        timeout: float | None,
        metadata: Any,
        credentials: grpc.CallCredentials | None,
        compression: grpc.Compression | None,
    ) -> Call:
        channel = self.channel
        channel.open()
        pairs = tuple(metadata or ())
        until = None if timeout is None else channel.picture.host.clock() + timeout * 1000.0
        order = Order(
            b"POST",
            self.path.encode(),
            kind=self.kind,
            path=self.path,
            request=request,
            metadata=pairs,
            credentials=credentials,
            compression=compression,
            until=until,
        )
        if self.kind in ("unary_unary", "unary_stream") and self.serializer is not None:
            order.request = self.serializer(request)  # once, for all attempts
        if self.kind.startswith("stream"):
            order.serializer = self.serializer
        if self.kind != "unary_unary":
            order.deserializer = self.deserializer
        call: Call = CALLS[self.kind](channel, order, self.deserializer)
        call.begin(self.method, timeout, self.lacks(pairs))
        return call

    def lacks(self, metadata: Sequence[tuple[str, Any]]) -> str:
        """What is wrong with a keyed call's metadata; nothing as a rule."""
        method = self.method
        if method is None or method.effect is not Effect.KEYED:
            return ""
        keys = [value for name, value in metadata if name.lower() == method.key]
        if len(keys) != 1 or not keys[0]:
            return f"{method.key}: one key is needed in the metadata of {self.path}"
        return ""


class UnaryRequest(MultiCallable):
    """What a stub calls with one message."""

    def __call__(
        self,
        request: Any,
        *,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: grpc.CallCredentials | None = None,
        wait_for_ready: bool | None = None,
        compression: grpc.Compression | None = None,
    ) -> Any:
        """Start a call; `timeout` in seconds. `wait_for_ready` means nothing: the core decides what waits."""
        return self.make(request, timeout, metadata, credentials, compression)


class StreamRequest(MultiCallable):
    """What a stub calls with a stream of messages, or with none where it writes them."""

    def __call__(
        self,
        request_iterator: Any = None,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: grpc.CallCredentials | None = None,
        wait_for_ready: bool | None = None,
        compression: grpc.Compression | None = None,
    ) -> Any:
        """Start a call; see `UnaryRequest`."""
        return self.make(request_iterator, timeout, metadata, credentials, compression)


class UnaryUnary(UnaryRequest, grpc.aio.UnaryUnaryMultiCallable):
    pass


class UnaryStream(UnaryRequest, grpc.aio.UnaryStreamMultiCallable):
    pass


class StreamUnary(StreamRequest, grpc.aio.StreamUnaryMultiCallable):
    pass


class StreamStream(StreamRequest, grpc.aio.StreamStreamMultiCallable):
    pass


class BalancedChannel(grpc.aio.Channel):
    """A channel to all servers of a target.

    `config`: an RpcConfig, a mapping or the path of a TOML file. `credentials`, `options`, `compression` and
    `interceptors` go to each sub-channel as to `grpc.aio.secure_channel`; an interceptor sees each attempt.
    `dial` replaces the making of sub-channels. `members`: the first list, where the caller hands it in. The
    first of a target's channels on a loop decides on `dial` and its kin and on the metrics. It opens with its
    first call or `async with`, on the loop that runs then, and is closed by `close` or by leaving the block.

    Raises ConfigError where the configuration cannot be used.
    """

    def __init__(
        self,
        config: RpcConfig | Mapping[str, Any] | str | Path,
        *,
        members: Members | None = None,
        credentials: grpc.ChannelCredentials | None = None,
        options: Sequence[tuple[str, Any]] = (),
        compression: grpc.Compression | None = None,
        interceptors: Sequence[Any] = (),
        metrics: Metrics | None = None,
        dial: Dial | None = None,
    ) -> None:
        self.config = read_config(config)
        self.metrics, self.members = metrics, members
        self.secured = credentials, (*options, *OPTIONS), compression, list(interceptors)
        self.dial = dial or self.sub_channel
        self.entered: Picture | None = None
        self.closed = False
        self.calls: dict[int, Call] = {}  # that are open, by their id()
        self.tenants = {name: i for i, name in enumerate(self.config.settings.tenants)}

    def sub_channel(self, address: str) -> grpc.aio.Channel:
        credentials, options, compression, interceptors = self.secured
        if credentials is None:
            return grpc.aio.insecure_channel(address, options, compression, interceptors)
        return grpc.aio.secure_channel(address, credentials, options, compression, interceptors)

    def line(self, picture: Picture, member: Member) -> SubChannel:
        host, port = member.address
        address = f"[{host}]:{port}" if ":" in host and not host.startswith("[") else f"{host}:{port}"
        return SubChannel(picture.host, self.dial(address))

    def forget(self, call: Call) -> None:
        self.calls.pop(id(call), None)

    def open(self) -> None:
        """Enter the picture of the target on the running loop; in a forked child, anew.

        Raises UsageError on a closed channel, RuntimeError on another loop than that of the first call.
        """
        if self.closed:
            raise grpc.aio.UsageError("Channel is closed.")
        entered = self.entered
        if entered is not None and entered.pid == os.getpid():
            if entered.loop is not asyncio.get_running_loop():
                raise RuntimeError("the channel is open on another event loop")
            return
        self.calls.clear()  # those of the parent, in a forked child
        self.entered = pictures.enter(PROTOCOL, self.config, self.line, self.metrics)
        if self.members is not None:
            self.entered.set_members(self.members)

    @property
    def picture(self) -> Picture:
        """What is known of the servers, shared with the other channels of the target."""
        self.open()
        assert self.entered is not None
        return self.entered

    def set_members(self, members: Members) -> None:
        """Hand in a list of the servers: discovery's form, whole or changes, or addresses as host:port.

        A later list of addresses is whole: what it does not name is gone. Raises ConfigError.
        """
        if self.entered is None:
            self.members = members
        else:
            self.picture.set_members(members)

    def tenant(self, method: Method, metadata: Sequence[tuple[str, Any]]) -> int:
        """The tenant's index; -1 for one that the settings lack."""
        if not method.tenant or not self.tenants:
            return 0
        names = [value for name, value in metadata if name.lower() == method.tenant]
        return self.tenants.get(names[0], -1) if names else 0

    # grpc.aio.Channel

    async def __aenter__(self) -> "BalancedChannel":
        self.open()
        return self

    async def __aexit__(self, *_: Any) -> None:
        await self.close()

    async def close(self, grace: float | None = None) -> None:
        """Take no more calls, wait `grace` seconds for those that are open, cancel the rest, close all."""
        if self.closed:
            return
        self.closed, entered = True, self.entered
        if entered is None or entered.pid != os.getpid():
            return
        if grace and self.calls:
            codes = [asyncio.ensure_future(call.code()) for call in self.calls.values()]
            _, late = await asyncio.wait(codes, timeout=grace)
            for each in late:
                each.cancel()
        for call in list(self.calls.values()):
            call.cancel()
        await pictures.leave(PROTOCOL, entered)

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """READY where some server may be sent something, CONNECTING before the first list."""
        if self.closed:
            return grpc.ChannelConnectivity.SHUTDOWN
        if self.entered is None and not try_to_connect:
            return grpc.ChannelConnectivity.IDLE
        picture = self.picture
        if picture.live:
            return grpc.ChannelConnectivity.READY
        listed = picture.host.listed
        return grpc.ChannelConnectivity.TRANSIENT_FAILURE if listed else grpc.ChannelConnectivity.CONNECTING

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        while self.get_state() is last_observed_state:
            await self.picture.changed.wait()

    async def channel_ready(self) -> None:
        while self.get_state(try_to_connect=True) is not grpc.ChannelConnectivity.READY:
            await self.picture.changed.wait()

    def unary_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> UnaryUnary:
        return UnaryUnary(self, "unary_unary", method, request_serializer, response_deserializer)

    def unary_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> UnaryStream:
        return UnaryStream(self, "unary_stream", method, request_serializer, response_deserializer)

    def stream_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> StreamUnary:
        return StreamUnary(self, "stream_unary", method, request_serializer, response_deserializer)

    def stream_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> StreamStream:
        return StreamStream(self, "stream_stream", method, request_serializer, response_deserializer)


__all__ = ["BalancedChannel", "CallRefused", "ConfigError"]
