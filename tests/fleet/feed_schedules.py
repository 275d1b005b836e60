"""Random days of a small fleet: troubles of links, processes and disks, drawn from a seed, ending in calm."""

import asyncio
import random
from collections.abc import Coroutine

from tests.fleet.feed_oracle import breaches
from tests.fleet.feed_world import World, configuration
from tests.fleet.virtual_time import play

DAY_S = 30.0
FLEETS = ((3, 3), (5, 3), (5, 5))  # control processes, and how many of them vote
CALM_S = 16.0  # more than ContactMs, the restart of a registry, and the patience with silent servers


class Day:
    """One day: the world and what is done to it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        controls, voters = self.rng.choice(FLEETS)
        self.world = World(self.rng, control_count=controls, voter_count=voters)
        self.generation = 1
        self.down: list[str] = []

    async def play(self) -> list[str]:
        """The breaches that the oracle finds."""
        world = self.world
        world.start()
        for number in range(5):
            world.start_server(f"s{number % 2}")
        world.commit(configuration(self.generation))
        await asyncio.sleep(6.0)
        ends = world.now() + DAY_S
        while world.now() < ends:
            await asyncio.sleep(self.rng.expovariate(1 / 1.2))
            self._something()
        self._repair()
        await asyncio.sleep(CALM_S)
        return breaches(world, world.now())

    def _something(self) -> None:
        troubles = [
            self._drain,
            self._drain_silently,
            self._drain_and_kill,
            self._drain_and_kill,
            self._crash,
            self._pause,
            self._start,
            self._commit,
            self._commit,
            self._cut_core,
            self._cut_proxy,
            self._reset,
            self._kill,
            self._restart,
            self._restart,
            self._heal,
            self._heal,
            self._kill_all,
            self._disk,
            self._disk_slow,
            self._freeze,
            self._freeze,
            self._restart_proxy,
        ]
        self.rng.choice(troubles)()

    def _running(self) -> list[str]:
        return [i for i, server in self.world.servers.items() if server.running and server.ready_until > 1e9]

    def _drain(self) -> None:
        if len(self._running()) > 2:
            self.world.spawn(self.world.servers[self.rng.choice(self._running())].leave())

    def _drain_silently(self) -> None:
        if len(self._running()) > 2:
            server = self.world.servers[self.rng.choice(self._running())]
            self.world.spawn(server.drain_and_fall_silent())

    def _drain_and_kill(self) -> None:
        """The process that acknowledges a drain loses power right after."""
        if len(self._running()) > 2 and not self.down:
            server = self.world.servers[self.rng.choice(self._running())]
            leave = server.leave if self.rng.random() < 0.5 else server.drain_and_fall_silent
            self.world.spawn(self._kill_after_ack(leave()))

    async def _kill_after_ack(self, leave: Coroutine[None, None, None]) -> None:
        known = len(self.world.acks)
        leaving = asyncio.create_task(leave)
        for _ in range(800):
            await asyncio.sleep(0.002)
            if len(self.world.acks) > known:
                break
        else:
            return
        by = self.world.acks[-1].by
        if self.world.controls[by].links.alive and not self.down:
            self._end(by, silent=True)
        await leaving

    def _crash(self) -> None:
        if len(self._running()) > 2:
            self.world.servers[self.rng.choice(self._running())].crash()

    def _pause(self) -> None:
        """A server whose heartbeats do not arrive for a while."""
        self.world.servers[self.rng.choice(self._running())].pause_s = self.rng.uniform(1.0, 9.0)

    def _start(self) -> None:
        if len(self._running()) < 8:
            self.world.start_server(f"s{self.rng.randrange(2)}")

    def _commit(self) -> None:
        self.generation += self.rng.randrange(1, 4)
        self.world.commit(configuration(self.generation, self.rng.randrange(1, 7)))

    def _cut_core(self) -> None:
        one, other = self.rng.sample(sorted(self.world.controls), 2)
        self.world.trouble("core")
        self.world.network.cut(one, other)
        self._note_cuts()

    def _cut_proxy(self) -> None:
        proxy, control = self.rng.choice(list(self.world.proxies)), self.rng.choice(self.world.voters)
        self.world.trouble(proxy)
        self.world.network.cut(proxy, control)
        self._note_cuts()

    def _reset(self) -> None:
        key = self.rng.choice(sorted(self.world.network.sessions) or [("", "")])
        for name in key:
            self.world.trouble(name if name in self.world.proxies else "core")
        self.world.network.reset(*key)

    def _kill(self) -> None:
        self._end(self.rng.choice(sorted(self.world.controls)), silent=self.rng.random() < 0.5)

    def _end(self, address: str, silent: bool) -> None:
        if address not in self.down:
            self.world.trouble("core")
            self.world.kill_control(address, silent)
            self.down.append(address)

    def _restart(self) -> None:
        if self.down:
            self.world.trouble("core")
            address = self.down.pop(0)
            self.world.start_control(address)

    def _kill_all(self) -> None:
        if self.rng.random() < 0.4:
            for address in sorted(self.world.controls):
                self._end(address, silent=False)
            if self.rng.random() < 0.5:
                self._restart_proxy()

    def _heal(self) -> None:
        network = self.world.network
        if network.cuts:
            one, other = self.rng.choice(sorted(network.cuts))
            for name in (one, other):
                self.world.trouble(name if name in self.world.proxies else "core")
            network.heal(one, other)
            self._note_cuts()

    def _note_cuts(self) -> None:
        self.world.cuts.append((self.world.now(), frozenset(self.world.network.cuts)))

    def _disk(self) -> None:
        store = self.world.stores[self.rng.choice(self.world.voters)]
        store.refuses = not store.refuses

    def _disk_slow(self) -> None:
        control = self.world.controls[self.rng.choice(sorted(self.world.controls))]
        control.writer.delay_s = self.rng.choice((0.002, 0.05, 0.4, 2.0))

    def _freeze(self) -> None:
        address = self.rng.choice(sorted(self.world.controls))
        if self.world.controls[address].links.alive:
            seconds = self.rng.uniform(0.3, 6.0)
            self.world.trouble("core")
            self.world.network.freeze(address, seconds)
            asyncio.get_running_loop().call_later(seconds, self.world.trouble, "core")

    def _restart_proxy(self) -> None:
        address = self.rng.choice(list(self.world.proxies))
        self.world.network.kill(address, silent=False)
        self.world.spawn(self.world.proxies[address].client.stop())
        self.world.start_proxy(address)
        self.world.trouble(address)

    def _repair(self) -> None:
        for store in self.world.stores.values():
            store.refuses = False
        for control in self.world.controls.values():
            control.writer.delay_s = 0.002
        while self.down:
            self._restart()
        for one, other in sorted(self.world.network.cuts):
            self.world.network.heal(one, other)
        self._note_cuts()
        for whom in ("core", *self.world.proxies):
            self.world.trouble(whom)


def play_day(seed: int) -> list[str]:
    """The breaches of one day."""
    return play(Day(seed).play())
