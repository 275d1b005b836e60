"""`BalancedChannel`: a grpc.aio.Channel for generated stubs, which balances calls over a target's servers.

A call is a transaction; its attempts use sub-channels, one for each server, without the library's own
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
from brackenusher.fronts.rpc import picture as target_states
from brackenusher.fronts.rpc.calls import Call, CallRefused
from brackenusher.fronts.rpc.config import MethodRule, RpcConfig, read_config
from brackenusher.fronts.rpc.metrics import Metrics
from brackenusher.fronts.rpc.multi_callables import StreamStream, StreamUnary, UnaryStream, UnaryUnary
from brackenusher.fronts.rpc.picture import Members, TargetState
from brackenusher.fronts.rpc.sub_channel import SubChannel
from brackenusher.upstream.pool import Member

PROTOCOL = "grpc"
Dial = Callable[[str], grpc.aio.Channel]
FIXED_OPTIONS = (
    ("grpc.enable_retries", 0),  # the policy must count all attempts, transparent retries included
    ("grpc.use_local_subchannel_pool", 1),  # sub-channels share no connections and no back-off
    ("grpc.enable_http_proxy", 0),  # a proxy from the environment would bypass the policy's choice of server
)


class BalancedChannel(grpc.aio.Channel):
    """A channel to all servers of a target.

    `config`: an RpcConfig, a mapping or the path of a TOML file. `credentials`, `options`, `compression` and
    `interceptors` go to each sub-channel as to `grpc.aio.secure_channel`; an interceptor sees each attempt.
    `dial` replaces the creation of sub-channels. `members`: an initial list of servers. `dial`, the options
    for sub-channels and `metrics` are taken from the first channel of a target on a loop. A channel opens
    with its first call or `async with`, on the running loop; `close` or leaving the block closes it.

    Raises ConfigError if the configuration is invalid.
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
        self.channel_options = credentials, (*options, *FIXED_OPTIONS), compression, list(interceptors)
        self.dial = dial or self.create_sub_channel
        self.acquired: TargetState | None = None
        self.closed = False
        self.open_calls: dict[int, Call] = {}  # open calls, by id()
        self.tenant_indexes = {name: i for i, name in enumerate(self.config.settings.tenants)}

    def create_sub_channel(self, address: str) -> grpc.aio.Channel:
        credentials, options, compression, interceptors = self.channel_options
        if credentials is None:
            return grpc.aio.insecure_channel(address, options, compression, interceptors)
        return grpc.aio.secure_channel(address, credentials, options, compression, interceptors)

    def create_connection(self, state: TargetState, member: Member) -> SubChannel:
        host, port = member.address
        address = f"[{host}]:{port}" if ":" in host and not host.startswith("[") else f"{host}:{port}"
        return SubChannel(state.host, self.dial(address))

    def remove_call(self, call: Call) -> None:
        self.open_calls.pop(id(call), None)

    def open(self) -> None:
        """Acquire the target's state on the running loop; again in a forked child.

        Raises UsageError on a closed channel, RuntimeError on a loop other than that of the first call.
        """
        if self.closed:
            raise grpc.aio.UsageError("Channel is closed.")
        state = self.acquired
        if state is not None and state.pid == os.getpid():
            if state.loop is not asyncio.get_running_loop():
                raise RuntimeError("the channel is open on another event loop")
            return
        self.open_calls.clear()  # in a forked child, the parent's calls
        self.acquired = target_states.acquire(PROTOCOL, self.config, self.create_connection, self.metrics)
        if self.members is not None:
            self.acquired.set_members(self.members)

    @property
    def picture(self) -> TargetState:
        """State of the servers, shared with the other channels of the target."""
        self.open()
        assert self.acquired is not None
        return self.acquired

    def set_members(self, members: Members) -> None:
        """Set the list of servers: in the format of discovery, full or changes, or host:port addresses.

        A list of addresses replaces the previous one: servers not in it are removed. Raises ConfigError.
        """
        if self.acquired is None:
            self.members = members
        else:
            self.picture.set_members(members)

    def tenant_index(self, method: MethodRule, metadata: Sequence[tuple[str, Any]]) -> int:
        """Index of the tenant; -1 if it is not in the settings."""
        if not method.tenant or not self.tenant_indexes:
            return 0
        names = [value for name, value in metadata if name.lower() == method.tenant]
        return self.tenant_indexes.get(names[0], -1) if names else 0

    # grpc.aio.Channel

    async def __aenter__(self) -> "BalancedChannel":
        self.open()
        return self

    async def __aexit__(self, *_: Any) -> None:
        await self.close()

    async def close(self, grace: float | None = None) -> None:
        """Reject new calls, wait `grace` seconds for open ones, cancel the rest, and close."""
        if self.closed:
            return
        self.closed, state = True, self.acquired
        if state is None or state.pid != os.getpid():
            return
        if grace and self.open_calls:
            codes = [asyncio.ensure_future(call.code()) for call in self.open_calls.values()]
            _, late = await asyncio.wait(codes, timeout=grace)
            for each in late:
                each.cancel()
        for call in list(self.open_calls.values()):
            call.cancel()
        await target_states.release(PROTOCOL, state)

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """READY if any server may be sent calls, CONNECTING before the first list of servers."""
        if self.closed:
            return grpc.ChannelConnectivity.SHUTDOWN
        if self.acquired is None and not try_to_connect:
            return grpc.ChannelConnectivity.IDLE
        state = self.picture
        if state.live_count:
            return grpc.ChannelConnectivity.READY
        has_list = state.host.has_list
        return grpc.ChannelConnectivity.TRANSIENT_FAILURE if has_list else grpc.ChannelConnectivity.CONNECTING

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        while self.get_state() is last_observed_state:
            await self.picture.list_changed.wait()

    async def channel_ready(self) -> None:
        while self.get_state(try_to_connect=True) is not grpc.ChannelConnectivity.READY:
            await self.picture.list_changed.wait()

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
