"""Simulation of proxies that hold leases on API keys, with faults of links, clocks and processes.

Each committed version revokes the keys of the previous one. So a request violates `StrictRevocation` if it
ran under a version although a newer one was acknowledged more than `RevokeMs` before the request was sent.
The oracle reads the histories of commits and of forwarded requests; it knows nothing of leases.
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
from tests.fleet.feed_oracle import is_connected
from tests.fleet.feed_world import Control, FeedSimulation, ProxyProcess, make_configuration
from tests.fleet.virtual_time import run_virtual

REVOKE_MS = 3000.0
PING_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.02
WARM_UP_DURATION_S = 8.0
FAULT_DURATION_S = 25.0
QUIET_DURATION_S = 10.0
MIN_CLOCK_RATE, MAX_CLOCK_RATE = 1 / 1.02, 1.02  # two clocks differ by less than the allowed drift
MAX_PING_DELAY_S = 4.0  # of one datagram
PING_LOSS_RATE = 0.2
LATE_DATAGRAM_RATE = 0.2


@dataclass
class ForwardedRequest:
    """A request that a proxy forwarded to a server."""

    proxy: str
    sent_at: float
    version: int


@dataclass
class LeaseSimulation(FeedSimulation):
    """A simulated fleet whose proxies hold key leases."""

    strict: bool = True
    ping_loss_rate: float = PING_LOSS_RATE
    late_datagram_rate: float = LATE_DATAGRAM_RATE
    forwarded: list[ForwardedRequest] = field(default_factory=list)
    refused_while_connected: list[str] = field(default_factory=list)
    left_without_lease: list[str] = field(default_factory=list)  # proxies without a lease at the end
    leases: dict[str, KeyLease] = field(default_factory=dict)
    confirmations: dict[str, VersionConfirmations] = field(default_factory=dict)

    def clock(self) -> Callable[[], float]:
        """A monotonic clock with a rate and an origin of its own."""
        rate, offset = self.rng.uniform(MIN_CLOCK_RATE, MAX_CLOCK_RATE), self.rng.uniform(0.0, 1e7)
        return lambda: offset + rate * self.now_ms()

    def start_control(self, address: str, bootstrap: bool = False) -> Control:
        control = super().start_control(address, bootstrap)
        shard: Any = control.shard
        self.confirmations[address] = VersionConfirmations(control.links, shard, self.clock())
        return control

    def start_proxy(self, address: str) -> ProxyProcess:
        proxy = super().start_proxy(address)
        bounds = Bounds(strict_revocation=self.strict, revoke_ms=REVOKE_MS)
        lease = self.leases[address] = KeyLease(bounds, proxy.links, self.clock())
        configured = proxy.on_configuration

        def apply_configuration(value: Any) -> None:
            configured(value)
            lease.on_applied(value.generation)

        proxy.client._on_configuration = apply_configuration
        self.spawn(self._keep_lease(proxy, lease))
        self.spawn(self._ping_peers(proxy, lease))
        return proxy

    def frozen_for_s(self, address: str) -> float:
        """Remaining time for which a process is paused."""
        return max(0.0, self.network.processes[address].stalled_until - self.now())

    async def _keep_lease(self, proxy: ProxyProcess, lease: KeyLease) -> None:
        while proxy.links.alive:
            await asyncio.sleep(TICK_INTERVAL_S + self.frozen_for_s(proxy.address))
            lease.tick(proxy.client.sources)

    async def _ping_peers(self, proxy: ProxyProcess, lease: KeyLease) -> None:
        while proxy.links.alive:
            await asyncio.sleep(PING_INTERVAL_S + self.frozen_for_s(proxy.address))
            for peer in list(self.proxies):
                if peer != proxy.address and self.rng.random() > self.ping_loss_rate:
                    self.spawn(self._ping(proxy, lease, peer))

    async def _ping(self, proxy: ProxyProcess, lease: KeyLease, peer: str) -> None:
        sent_at = lease._now()
        if not await self._deliver_datagram(proxy.address, peer):
            return
        answer = messages.PingAck()
        self.leases[peer].fill_ping_ack(answer)
        if await self._deliver_datagram(peer, proxy.address) and proxy.links.alive:
            proxy.client.record_peer_version(peer, self.proxies[peer].client.version)
            lease.on_ping_ack(answer, sent_at)

    async def _deliver_datagram(self, sender: str, receiver: str) -> bool:
        """Delay a datagram; returns whether it arrives."""
        is_late = self.rng.random() < self.late_datagram_rate
        await asyncio.sleep(self.rng.uniform(0.001, MAX_PING_DELAY_S if is_late else 0.02))
        await asyncio.sleep(self.frozen_for_s(receiver))
        cut = tuple(sorted((sender, receiver))) in self.network.partitions
        return not cut and self.network.processes[receiver].alive

    async def send_requests(self, ends_at: float) -> None:
        """Send requests to proxies chosen at random."""
        while self.now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(1.0 / REQUEST_INTERVAL_S))
            self.spawn(self._request(self.rng.choice(sorted(self.proxies))))

    async def _request(self, address: str) -> None:
        sent_at = self.now()
        await asyncio.sleep(self.rng.uniform(0.001, 0.01))
        await asyncio.sleep(self.frozen_for_s(address))
        proxy, lease = self.proxies[address], self.leases[address]
        if not proxy.links.alive or not proxy.client.version:
            return
        if lease.is_valid:
            self.forwarded.append(ForwardedRequest(address, sent_at, proxy.client.version))
        elif proxy.client.ready and is_connected(self, proxy, self.now()):
            self.refused_while_connected.append(f"REFUSED: at {address}, {self.now():.2f}")

    def find_revoked(self) -> list[str]:
        """Requests that ran although their key had been revoked for longer than RevokeMs."""
        violations = []
        for request in self.forwarded:
            newer_commits = [at for at, version in self.commit_times if version > request.version]
            if newer_commits and request.sent_at > newer_commits[0] + REVOKE_MS / 1000.0:
                late_s = request.sent_at - newer_commits[0]
                violations.append(f"REVOKED: {request.version} at {request.proxy}, {late_s:.2f} s after")
        return violations


class LeaseFaultRun:
    """A run with faults drawn from a seed, and a quiet period at the end."""

    def __init__(self, seed: int, strict: bool = True) -> None:
        self.rng = random.Random(seed)
        self.sim = LeaseSimulation(self.rng, proxy_count=3, strict=strict)
        self.generation = 1
        self.stopped: list[str] = []

    async def run(self) -> LeaseSimulation:
        """Run it; returns the simulation."""
        sim = self.sim
        sim.start()
        sim.commit(make_configuration(self.generation))
        await asyncio.sleep(WARM_UP_DURATION_S)
        ends_at = sim.now() + FAULT_DURATION_S
        sim.spawn(sim.send_requests(ends_at + QUIET_DURATION_S))
        while sim.now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(1.0))
            self.rng.choice(
                (
                    self._commit,
                    self._cut_links,
                    self._cut_links,
                    self._heal,
                    self._freeze,
                    self._kill_or_restart,
                )
            )()
        self._repair_all()
        await asyncio.sleep(QUIET_DURATION_S)
        sim.left_without_lease = [
            f"ENDED: {address}" for address, lease in sim.leases.items() if not lease.is_valid
        ]
        return sim

    def _commit(self) -> None:
        self.generation += self.rng.randrange(1, 4)
        self.sim.commit(make_configuration(self.generation))

    def _cut_links(self) -> None:
        """Cut a proxy from some or all control processes, or cut the link between any two processes."""
        processes = [*self.sim.controls, *self.sim.proxies]
        if self.rng.random() < 0.5:
            proxy = self.rng.choice(sorted(self.sim.proxies))
            for voter in self.rng.sample(self.sim.voters, self.rng.randrange(1, 4)):
                self._cut_pair(proxy, voter)
        else:
            self._cut_pair(*self.rng.sample(sorted(processes), 2))

    def _cut_pair(self, a: str, b: str) -> None:
        for name in (a, b):
            self.sim.note_disruption(name if name in self.sim.proxies else "core")
        self.sim.network.partition(a, b)
        self.sim.cut_history.append((self.sim.now(), frozenset(self.sim.network.partitions)))

    def _heal(self) -> None:
        if self.sim.network.partitions:
            self._heal_pair(*self.rng.choice(sorted(self.sim.network.partitions)))

    def _heal_pair(self, a: str, b: str) -> None:
        for name in (a, b):
            self.sim.note_disruption(name if name in self.sim.proxies else "core")
        self.sim.network.heal(a, b)
        self.sim.cut_history.append((self.sim.now(), frozenset(self.sim.network.partitions)))

    def _freeze(self) -> None:
        address = self.rng.choice(sorted([*self.sim.controls, *self.sim.proxies]))
        if self.sim.network.processes[address].alive:
            component = address if address in self.sim.proxies else "core"
            seconds = self.rng.uniform(0.3, 8.0)
            self.sim.note_disruption(component)
            self.sim.network.stall(address, seconds)
            asyncio.get_running_loop().call_later(seconds, self.sim.note_disruption, component)

    def _kill_or_restart(self) -> None:
        """Kill a control process, or restart the one that was killed before."""
        self.sim.note_disruption("core")
        if self.stopped:
            self.sim.start_control(self.stopped.pop())
        else:
            address = self.rng.choice(sorted(self.sim.controls))
            self.sim.kill_control(address, silent=self.rng.random() < 0.5)
            self.stopped.append(address)

    def _repair_all(self) -> None:
        for a, b in sorted(self.sim.network.partitions):
            self._heal_pair(a, b)
        if self.stopped:
            self.sim.start_control(self.stopped.pop())
        for component in ("core", *self.sim.proxies):
            self.sim.note_disruption(component)


def run_lease_faults(seed: int, strict: bool = True) -> LeaseSimulation:
    """Run one schedule of faults; returns the simulation."""
    return run_virtual(LeaseFaultRun(seed, strict).run())
