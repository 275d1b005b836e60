"""What a stub calls: it makes an order of a request, and a call of the order."""

from collections.abc import Callable, Sequence
from typing import Any

import grpc
import grpc.aio

from barleybarrow.interface import Effect
from brackenusher.fronts.rpc.calls import CALLS, Call, CallOwner
from brackenusher.fronts.rpc.sub_channel import Order


class MultiCallable:
    """What a stub calls."""

    def __init__(
        self,
        channel: CallOwner,
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
