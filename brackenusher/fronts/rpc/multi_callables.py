"""The multi-callables of `BalancedChannel`, which generated stubs invoke to start calls."""

from collections.abc import Callable, Sequence
from typing import Any

import grpc
import grpc.aio

from barleybarrow.interface import Effect
from brackenusher.fronts.rpc.calls import CALL_TYPES, Call, ParentChannel
from brackenusher.fronts.rpc.sub_channel import CallSpec


class MultiCallable:
    """Starts calls of one method."""

    def __init__(
        self,
        channel: ParentChannel,
        kind: str,
        path: str,
        serializer: Callable[[Any], bytes] | None,
        deserializer: Callable[[bytes], Any] | None,
    ) -> None:
        self.channel, self.kind, self.path = channel, kind, path
        self.serializer, self.deserializer = serializer, deserializer
        self.method = channel.config.method(path)

    def start_call(
        self,
        request: Any,
        timeout: float | None,
        metadata: Any,
        credentials: grpc.CallCredentials | None,
        compression: grpc.Compression | None,
    ) -> Call:
        channel = self.channel
        channel.open()
        metadata_pairs = tuple(metadata or ())
        deadline = None if timeout is None else channel.picture.host.clock() + timeout * 1000.0
        spec = CallSpec(
            b"POST",
            self.path.encode(),
            kind=self.kind,
            path=self.path,
            request=request,
            metadata=metadata_pairs,
            credentials=credentials,
            compression=compression,
            caller_deadline=deadline,
        )
        if self.kind in ("unary_unary", "unary_stream") and self.serializer is not None:
            spec.request = self.serializer(request)  # serialized once for all attempts
        if self.kind.startswith("stream"):
            spec.serializer = self.serializer
        if self.kind != "unary_unary":
            spec.deserializer = self.deserializer
        call: Call = CALL_TYPES[self.kind](channel, spec, self.deserializer)
        call.start(self.method, timeout, self.key_error(metadata_pairs))
        return call

    def key_error(self, metadata: Sequence[tuple[str, Any]]) -> str:
        """The fault in the metadata of a keyed call, or an empty string."""
        method = self.method
        if method is None or method.effect is not Effect.KEYED:
            return ""
        keys = [value for name, value in metadata if name.lower() == method.key]
        if len(keys) != 1 or not keys[0]:
            return f"{method.key}: one key is needed in the metadata of {self.path}"
        return ""


class UnaryRequestMultiCallable(MultiCallable):
    """Multi-callable for a single request message."""

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
        """Start a call; `timeout` in seconds. `wait_for_ready` is ignored: the policy decides what waits."""
        return self.start_call(request, timeout, metadata, credentials, compression)


class StreamRequestMultiCallable(MultiCallable):
    """Multi-callable for a stream of request messages; without an iterator, the caller writes them."""

    def __call__(
        self,
        request_iterator: Any = None,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: grpc.CallCredentials | None = None,
        wait_for_ready: bool | None = None,
        compression: grpc.Compression | None = None,
    ) -> Any:
        """Start a call; see `UnaryRequestMultiCallable`."""
        return self.start_call(request_iterator, timeout, metadata, credentials, compression)


class UnaryUnary(UnaryRequestMultiCallable, grpc.aio.UnaryUnaryMultiCallable):
    pass


class UnaryStream(UnaryRequestMultiCallable, grpc.aio.UnaryStreamMultiCallable):
    pass


class StreamUnary(StreamRequestMultiCallable, grpc.aio.StreamUnaryMultiCallable):
    pass


class StreamStream(StreamRequestMultiCallable, grpc.aio.StreamStreamMultiCallable):
    pass
