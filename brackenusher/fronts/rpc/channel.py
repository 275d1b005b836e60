"""`BalancedChannel`: a grpc.aio.Channel that generated stubs take unchanged, over the core's decisions.

A call is a transaction; its attempts go over sub-channels, one for each server, without the library's own
retries.
"""

import asyncio
import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from brackenusher.config.platform import ConfigError
from brackenusher.fronts.rpc import picture as pictures
from brackenusher.fronts.rpc.calls import Call, CallRefused
from brackenusher.fronts.rpc.config import Method, RpcConfig, read_config
from brackenusher.fronts.rpc.metrics import Metrics
from brackenusher.fronts.rpc.multi_callables import StreamStream, StreamUnary, UnaryStream, UnaryUnary
from brackenusher.fronts.rpc.picture import Members, Picture
from brackenusher.fronts.rpc.sub_channel import SubChannel
from brackenusher.upstream.pool import Member

PROTOCOL = "grpc"
Dial = Callable[[str], grpc.aio.Channel]
OPTIONS = (
    ("grpc.enable_retries", 0),  # no attempt that the core does not count, transparent ones included
    ("grpc.use_local_subchannel_pool", 1),  # a connection and its back-off belong to one sub-channel
    ("grpc.enable_http_proxy", 0),  # a proxy from the environment would choose servers of its own
)


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
