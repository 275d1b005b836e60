"""State of a target, shared by all channels of a loop: members, policy, transactions and connections.

asyncio objects belong to one loop: a process with two loops has two states, and a forked child its own.
"""

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from weakref import WeakKeyDictionary, WeakValueDictionary

from barleybarrow import interface as face
from brackenusher.config.platform import ConfigError
from brackenusher.fronts.rpc.config import RpcConfig
from brackenusher.fronts.rpc.host import TransactionRunner
from brackenusher.fronts.rpc.lines import ConnectionManager, ServerConnection
from brackenusher.fronts.rpc.metrics import Metrics, attempt_observer, transaction_observers
from brackenusher.fronts.rpc.watch import DiscoveryWatch
from brackenusher.membership.discovery import DiscoveryError, read_listing
from brackenusher.upstream.listing import Listing
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger("brackenusher.rpc")

Members = Listing | Mapping[str, Any] | Iterable[str]


class TargetState:
    """A target's servers, with the policy and the transactions that use them, on one event loop."""

    def __init__(
        self,
        config: RpcConfig,
        dial: Callable[["TargetState", Member], ServerConnection],
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics | None = None,
    ) -> None:
        settings = config.settings
        self.config, self.loop, self.pid, self.user_count = config, loop, os.getpid(), 0
        self.connection_manager = ConnectionManager(lambda member: dial(self, member), settings, loop)
        self.host = TransactionRunner(
            settings, config.seed, loop, self.connection_manager, config.max_open_calls
        )
        clock = self.host.clock
        self.pool = Pool(settings, clock, time.time() * 1000.0 - clock())
        self.connection_manager.runner, self.connection_manager.pool = self.host, self.pool
        self.list_changed = asyncio.Event()  # set and replaced with each list of servers
        self.seq = 0
        if metrics is not None:
            self.host.transactions.observers = transaction_observers(metrics, config, self.host.transactions)
            self.host.on_attempt_ended = attempt_observer(metrics, config, clock)
        self.watch: DiscoveryWatch | None = None
        if config.discovery is not None:
            rng = random.Random(config.seed)
            self.watch = DiscoveryWatch(config.discovery, self.apply, self.on_discovery_lost, rng)
            self.connection_manager.on_list_requested = self.watch.start

    def start(self) -> None:
        """Start the policy and the source of the list of servers."""
        self.host.transactions.start()
        if self.watch is not None:
            self.watch.start()
        if self.config.fixed:
            self.set_members(self.config.fixed)

    def set_members(self, members: Members) -> None:
        """Apply a list from the caller: in the format of discovery, full or changes, or host:port addresses.

        Raises ConfigError if it is malformed; the list stays unchanged then.
        """
        if isinstance(members, Listing):
            listing = members
        elif isinstance(members, Mapping):
            try:
                listing = read_listing(dict(members))
            except DiscoveryError as error:
                raise ConfigError(f"members: {error}") from error
        else:
            listing = static_listing(members, self.seq + 1)
        self.apply(listing)

    def apply(self, listing: Listing) -> None:
        """Apply a list and report it to the policy."""
        self.seq = listing.seq
        event = self.pool.apply(listing)
        self.connection_manager.close_outdated()
        self.host.update_list(event)
        previous, self.list_changed = self.list_changed, asyncio.Event()
        previous.set()

    def on_discovery_lost(self) -> None:
        """The connection to discovery failed."""
        if self.config.settings.must_ask:
            self.host.update_list(face.ListChanged(face.ListScope.LOST, []))

    @property
    def live_count(self) -> int:
        """Number of members that may be sent requests."""
        return sum(member.left_at is None for member in self.pool.members.values())

    async def close(self) -> None:
        if self.watch is not None:
            self.watch.close()
        self.connection_manager.closed = True
        self.host.close()
        await self.connection_manager.close()


def static_listing(addresses: Iterable[str], seq: int) -> Listing:
    """A full list of servers named by their addresses, none of them newly started."""
    hosts = []
    for address in addresses:
        entry = {"host": address, "dial": address, "health": "ready"}
        hosts.append(entry)
    listing = read_listing({"seq": seq, "whole": True, "hosts": hosts})
    if len(listing.hosts) != len(hosts):
        raise ConfigError("members: host:port expected")
    return listing


class LoopTargets:
    """The targets of one loop, by protocol and name; reference-counted, closed with the last user."""

    def __init__(self) -> None:
        self.pid = os.getpid()
        self.by_key: WeakValueDictionary[tuple[str, str], TargetState] = WeakValueDictionary()


# By loop and with weak values, so that nothing outlives its loop; a forked child runs another loop.
_targets_by_loop: "WeakKeyDictionary[asyncio.AbstractEventLoop, LoopTargets]" = WeakKeyDictionary()


def acquire(
    protocol: str,
    config: RpcConfig,
    dial: Callable[[TargetState, Member], ServerConnection],
    metrics: Metrics | None = None,
) -> TargetState:
    """Get or create the state of a target on the running loop; must be balanced by one release.

    Raises ConfigError if another channel of the target has a different configuration.
    """
    loop = asyncio.get_running_loop()
    targets = _targets_by_loop.get(loop)
    if targets is None or targets.pid != os.getpid():
        targets = _targets_by_loop[loop] = LoopTargets()
    key = protocol, config.target
    state = targets.by_key.get(key)
    if state is None:
        state = targets.by_key[key] = TargetState(config, dial, loop, metrics)
        state.start()
    elif not state.config.same_servers(config):
        raise ConfigError(f"target: {config.target!r} is open with other settings or members")
    state.user_count += 1
    return state


async def release(protocol: str, state: TargetState) -> None:
    """Drop a reference; the last one closes the target."""
    state.user_count -= 1
    if state.user_count == 0:
        targets = _targets_by_loop.get(state.loop)
        if targets is not None:
            targets.by_key.pop((protocol, state.config.target), None)
        await state.close()
