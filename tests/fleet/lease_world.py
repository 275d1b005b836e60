"""A fleet in virtual time whose proxies hold leases on API keys: links and clocks in trouble, clients too.

Each version that is committed takes away the keys of the one before, so a request breaks `StrictRevocation`
where it runs by a version though a newer one was acknowledged longer than `RevokeMs` before it was sent. The
oracle reads the histories of commits and of requests that ran; it knows nothing of leases.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from brackenusher.cluster import messages
from brackenusher.cluster.key_leases import KeyLease
from brackenusher.control_plane.version_confirmations import VersionConfirmations
from brackenusher.settings.local import Bounds
from tests.fleet.feed_oracle import in_touch
from tests.fleet.feed_world import Control, ProxyProcess, World, configuration
from tests.fleet.virtual_time import play

REVOKE_MS = 3000.0
PING_S = 1.0
TICK_S = 0.1
REQUEST_S = 0.02  # between two requests
WARM_UP_S = 8.0
DAY_S = 25.0
CALM_S = 10.0
SLOWEST, FASTEST = 1 / 1.02, 1.02  # rates of clocks: two of them differ by less than the drift allowed for
LONGEST_DELAY_S = 4.0  # of a ping's answer
LOST = 0.2  # part of the pings


@dataclass
class Ran:
    """A request that a proxy passed on to a server."""

    proxy: str
    sent_at: float
    version: int


@dataclass
class LeaseWorld(World):
    """See the module's docstring."""

    strict: bool = True
    ran: list[Ran] = field(default_factory=list)
    refused_in_touch: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)  # proxies without a lease at the end of the day
    leases: dict[str, KeyLease] = field(default_factory=dict)
    confirmations: dict[str, VersionConfirmations] = field(default_factory=dict)

    def clock(self) -> Callable[[], float]:
        """The monotonic clock of one process: a rate and a beginning of its own."""
        rate, offset = self.rng.uniform(SLOWEST, FASTEST), self.rng.uniform(0.0, 1e7)
        return lambda: offset + rate * self.now_ms()

    def start_control(self, address: str) -> Control:
        control = super().start_control(address)
        shard: Any = control.shard
        self.confirmations[address] = VersionConfirmations(control.links, shard, self.clock())
        return control

    def start_proxy(self, address: str) -> ProxyProcess:
        proxy = super().start_proxy(address)
        bounds = Bounds(strict_revocation=self.strict, revoke_ms=REVOKE_MS)
        lease = self.leases[address] = KeyLease(bounds, proxy.links, self.clock())
        configured = proxy.configured

        def take(value: Any) -> None:
            configured(value)
            lease.took(value.generation)

        proxy.client._on_configuration = take
        self.spawn(self._keep_lease(proxy, lease))
        self.spawn(self._ping_peers(proxy, lease))
        return proxy

    def frozen_s(self, address: str) -> float:
        """For how much longer a process stands still."""
        return max(0.0, self.network.processes[address].frozen_until - self.now())

    async def _keep_lease(self, proxy: ProxyProcess, lease: KeyLease) -> None:
        while proxy.links.alive:
            await asyncio.sleep(TICK_S + self.frozen_s(proxy.address))
            lease.tick(proxy.client.sources)

    async def _ping_peers(self, proxy: ProxyProcess, lease: KeyLease) -> None:
        while proxy.links.alive:
            await asyncio.sleep(PING_S + self.frozen_s(proxy.address))
            for peer in list(self.proxies):
                if peer != proxy.address and self.rng.random() > LOST:
                    self.spawn(self._ping(proxy, lease, peer))

    async def _ping(self, proxy: ProxyProcess, lease: KeyLease, peer: str) -> None:
        asked_at = lease._now()
        if not await self._travel(proxy.address, peer):
            return
        answer = messages.PingAck()
        self.leases[peer].fill_answer(answer)
        if await self._travel(peer, proxy.address) and proxy.links.alive:
            proxy.client.hear_of_version(peer, self.proxies[peer].client.version)
            lease.peer_answered(answer, asked_at)

    async def _travel(self, sender: str, receiver: str) -> bool:
        """A datagram's way; whether it arrives."""
        late = self.rng.random() < 0.2
        await asyncio.sleep(self.rng.uniform(0.001, LONGEST_DELAY_S if late else 0.02))
        await asyncio.sleep(self.frozen_s(receiver))
        cut = tuple(sorted((sender, receiver))) in self.network.cuts
        return not cut and self.network.processes[receiver].alive

    async def send_requests(self, ends: float) -> None:
        """Clients send to all proxies in turn."""
        while self.now() < ends:
            await asyncio.sleep(self.rng.expovariate(1.0 / REQUEST_S))
            self.spawn(self._request(self.rng.choice(sorted(self.proxies))))

    async def _request(self, address: str) -> None:
        sent_at = self.now()
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        await asyncio.sleep(self.frozen_s(address))
        proxy, lease = self.proxies[address], self.leases[address]
        if not proxy.links.alive or not proxy.client.version:
            return
        if lease.holds:
            self.ran.append(Ran(address, sent_at, proxy.client.version))
        elif proxy.client.ready and in_touch(self, proxy, self.now()):
            self.refused_in_touch.append(f"REFUSED: at {address}, {self.now():.2f}")

    def revoked(self) -> list[str]:
        """Requests that ran though their key had been taken away for longer than RevokeMs."""
        found = []
        for ran in self.ran:
            due = [at for at, version in self.commit_times if version > ran.version]
            if due and ran.sent_at > due[0] + REVOKE_MS / 1000.0:
                late_s = ran.sent_at - due[0]
                found.append(f"REVOKED: {ran.version} at {ran.proxy}, {late_s:.2f} s after")
        return found


class LeaseDay:
    """A day of troubles drawn from a seed, ending in calm."""

    def __init__(self, seed: int, strict: bool = True) -> None:
        self.rng = random.Random(seed)
        self.world = LeaseWorld(self.rng, proxy_count=3, strict=strict)
        self.generation = 1
        self.down: list[str] = []

    async def play(self) -> LeaseWorld:
        """The world after the day."""
        world = self.world
        world.start()
        world.commit(configuration(self.generation))
        await asyncio.sleep(WARM_UP_S)
        ends = world.now() + DAY_S
        world.spawn(world.send_requests(ends + CALM_S))
        while world.now() < ends:
            await asyncio.sleep(self.rng.expovariate(1.0))
            self.rng.choice((self._commit, self._cut, self._cut, self._heal, self._freeze, self._kill))()
        self._repair()
        await asyncio.sleep(CALM_S)
        world.ended = [f"ENDED: {address}" for address, lease in world.leases.items() if not lease.holds]
        return world

    def _commit(self) -> None:
        self.generation += self.rng.randrange(1, 4)
        self.world.commit(configuration(self.generation))

    def _cut(self) -> None:
        """One proxy loses all of control, or some; or two of all processes lose each other."""
        everyone = [*self.world.controls, *self.world.proxies]
        if self.rng.random() < 0.5:
            proxy = self.rng.choice(sorted(self.world.proxies))
            for voter in self.rng.sample(self.world.voters, self.rng.randrange(1, 4)):
                self._cut_pair(proxy, voter)
        else:
            self._cut_pair(*self.rng.sample(sorted(everyone), 2))

    def _cut_pair(self, one: str, other: str) -> None:
        for name in (one, other):
            self.world.trouble(name if name in self.world.proxies else "core")
        self.world.network.cut(one, other)
        self.world.cuts.append((self.world.now(), frozenset(self.world.network.cuts)))

    def _heal(self) -> None:
        if self.world.network.cuts:
            self._heal_pair(*self.rng.choice(sorted(self.world.network.cuts)))

    def _heal_pair(self, one: str, other: str) -> None:
        for name in (one, other):
            self.world.trouble(name if name in self.world.proxies else "core")
        self.world.network.heal(one, other)
        self.world.cuts.append((self.world.now(), frozenset(self.world.network.cuts)))

    def _freeze(self) -> None:
        address = self.rng.choice(sorted([*self.world.controls, *self.world.proxies]))
        if self.world.network.processes[address].alive:
            whom = address if address in self.world.proxies else "core"
            seconds = self.rng.uniform(0.3, 8.0)
            self.world.trouble(whom)
            self.world.network.freeze(address, seconds)
            asyncio.get_running_loop().call_later(seconds, self.world.trouble, whom)

    def _kill(self) -> None:
        """A control process ends; the one that ended before starts again."""
        self.world.trouble("core")
        if self.down:
            self.world.start_control(self.down.pop())
        else:
            address = self.rng.choice(sorted(self.world.controls))
            self.world.kill_control(address, silent=self.rng.random() < 0.5)
            self.down.append(address)

    def _repair(self) -> None:
        for one, other in sorted(self.world.network.cuts):
            self._heal_pair(one, other)
        if self.down:
            self.world.start_control(self.down.pop())
        for whom in ("core", *self.world.proxies):
            self.world.trouble(whom)


def play_lease_day(seed: int, strict: bool = True) -> LeaseWorld:
    """The world after one day."""
    return play(LeaseDay(seed, strict).play())
