"""One picture of a target's servers for all channels of a loop: members, module, transactions, lines.

asyncio's objects belong to one loop; a process with two loops has two pictures, and so has a forked child.
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
from brackenusher.fronts.rpc.host import Host
from brackenusher.fronts.rpc.lines import Line, Lines
from brackenusher.fronts.rpc.metrics import Metrics, look_on, look_on_attempts
from brackenusher.fronts.rpc.watch import Watch
from brackenusher.membership.discovery import DiscoveryError, read_listing
from brackenusher.upstream.listing import Listing
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger("brackenusher.rpc")

Members = Listing | Mapping[str, Any] | Iterable[str]


class Picture:
    """What this loop knows of one target's servers."""

    def __init__(
        self,
        config: RpcConfig,
        dial: Callable[["Picture", Member], Line],
        loop: asyncio.AbstractEventLoop,
        metrics: Metrics | None = None,
    ) -> None:
        settings = config.settings
        self.config, self.loop, self.pid, self.users = config, loop, os.getpid(), 0
        self.lines = Lines(lambda member: dial(self, member), settings, loop)
        self.host = Host(settings, config.seed, loop, self.lines, config.most_open)
        clock = self.host.clock
        self.pool = Pool(settings, clock, time.time() * 1000.0 - clock())
        self.lines.host, self.lines.pool = self.host, self.pool
        self.changed = asyncio.Event()  # set, and made anew, with each list
        self.seq = 0
        if metrics is not None:
            self.host.transactions.observers = look_on(metrics, config, self.host.transactions)
            self.host.attempted = look_on_attempts(metrics, config, clock)
        self.watch: Watch | None = None
        if config.discovery is not None:
            rng = random.Random(config.seed)
            self.watch = Watch(config.discovery, self.take, self.lost, rng)
            self.lines.asked = self.watch.start

    def begin(self) -> None:
        """Start what runs by itself."""
        self.host.transactions.begin()
        if self.watch is not None:
            self.watch.start()
        if self.config.fixed:
            self.set_members(self.config.fixed)

    def set_members(self, members: Members) -> None:
        """Take a list from the caller: in discovery's form, whole or changes, or addresses as host:port.

        Raises ConfigError where it cannot be read; the list stays as it was then.
        """
        if isinstance(members, Listing):
            listing = members
        elif isinstance(members, Mapping):
            try:
                listing = read_listing(dict(members))
            except DiscoveryError as error:
                raise ConfigError(f"members: {error}") from error
        else:
            listing = plain(members, self.seq + 1)
        self.take(listing)

    def take(self, listing: Listing) -> None:
        """Apply a list and tell the module of it."""
        self.seq = listing.seq
        event = self.pool.take(listing)
        self.lines.review()
        self.host.tell(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def lost(self) -> None:
        """A call for the list failed."""
        if self.config.settings.must_ask:
            self.host.tell(face.ListChanged(face.ListScope.LOST, []))

    @property
    def live(self) -> int:
        """How many members may be sent something."""
        return sum(member.left_at is None for member in self.pool.members.values())

    async def close(self) -> None:
        if self.watch is not None:
            self.watch.close()
        self.lines.closed = True
        self.host.close()
        await self.lines.close()


def plain(addresses: Iterable[str], seq: int) -> Listing:
    """A whole list of servers that have run for long, each named by its address."""
    hosts = []
    for address in addresses:
        entry = {"host": address, "dial": address, "health": "ready"}
        hosts.append(entry)
    listing = read_listing({"seq": seq, "whole": True, "hosts": hosts})
    if len(listing.hosts) != len(hosts):
        raise ConfigError("members: host:port expected")
    return listing


class Pictures:
    """The pictures of one loop, by protocol and target; counted, the last user closes one."""

    def __init__(self) -> None:
        self.pid = os.getpid()
        self.by_key: WeakValueDictionary[tuple[str, str], Picture] = WeakValueDictionary()


# By loop, and held by their users alone, so that nothing outlives its loop; a forked child runs another loop.
_pictures: "WeakKeyDictionary[asyncio.AbstractEventLoop, Pictures]" = WeakKeyDictionary()


def enter(
    protocol: str,
    config: RpcConfig,
    dial: Callable[[Picture, Member], Line],
    metrics: Metrics | None = None,
) -> Picture:
    """The picture of a target on the running loop, made if there is none; each enter needs one leave.

    Raises ConfigError where another channel of that target was configured otherwise.
    """
    loop = asyncio.get_running_loop()
    pictures = _pictures.get(loop)
    if pictures is None or pictures.pid != os.getpid():
        pictures = _pictures[loop] = Pictures()
    key = protocol, config.target
    picture = pictures.by_key.get(key)
    if picture is None:
        picture = pictures.by_key[key] = Picture(config, dial, loop, metrics)
        picture.begin()
    elif not picture.config.same_servers(config):
        raise ConfigError(f"target: {config.target!r} is open with other settings or members")
    picture.users += 1
    return picture


async def leave(protocol: str, picture: Picture) -> None:
    """One user less; the last one closes the picture."""
    picture.users -= 1
    if picture.users == 0:
        pictures = _pictures.get(picture.loop)
        if pictures is not None:
            pictures.by_key.pop((protocol, picture.config.target), None)
        await picture.close()
