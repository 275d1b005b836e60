"""Random schedules for a small fleet: faults of links, processes and disks from a seed, then repair."""

import asyncio
import random
from collections.abc import Coroutine

from tests.fleet.feed_oracle import all_breaches
from tests.fleet.feed_world import FeedSimulation, make_configuration
from tests.fleet.virtual_time import run_virtual

SCHEDULE_S = 30.0
FLEETS = ((3, 3), (5, 3), (5, 5))  # (control processes, voters among them)
SETTLE_S = 16.0  # more than ContactMs, the restart of a registry, and the timeout for silent servers


class RandomSchedule:
    """One simulation, and the faults injected into it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        controls, voters = self.rng.choice(FLEETS)
        self.simulation = FeedSimulation(self.rng, control_count=controls, voter_count=voters)
        self.generation = 1
        self.stopped_controls: list[str] = []

    async def run(self) -> list[str]:
        """Run the schedule; returns the breaches that the oracle finds."""
        simulation = self.simulation
        simulation.start()
        for number in range(5):
            simulation.start_server(f"s{number % 2}")
        simulation.commit(make_configuration(self.generation))
        await asyncio.sleep(6.0)
        end = simulation.now() + SCHEDULE_S
        while simulation.now() < end:
            await asyncio.sleep(self.rng.expovariate(1 / 1.2))
            self._random_fault()
        self._repair()
        await asyncio.sleep(SETTLE_S)
        return all_breaches(simulation, simulation.now())

    def _random_fault(self) -> None:
        faults = [
            self._drain,
            self._drain_and_crash_server,
            self._drain_and_kill,
            self._drain_and_kill,
            self._crash_server,
            self._pause_server,
            self._start_server,
            self._commit,
            self._commit,
            self._cut_controls,
            self._cut_proxy,
            self._reset_link,
            self._kill_random_control,
            self._restart_control,
            self._restart_control,
            self._heal_cut,
            self._heal_cut,
            self._kill_all_controls,
            self._toggle_disk_refusal,
            self._change_disk_delay,
            self._freeze_control,
            self._freeze_control,
            self._restart_proxy,
        ]
        self.rng.choice(faults)()

    def _running_servers(self) -> list[str]:
        return [
            instance_id
            for instance_id, server in self.simulation.servers.items()
            if server.running and server.ready_until > 1e9
        ]

    def _drain(self) -> None:
        if len(self._running_servers()) > 2:
            self.simulation.spawn(
                self.simulation.servers[self.rng.choice(self._running_servers())].drain_and_deregister()
            )

    def _drain_and_crash_server(self) -> None:
        if len(self._running_servers()) > 2:
            server = self.simulation.servers[self.rng.choice(self._running_servers())]
            self.simulation.spawn(server.drain_and_crash())

    def _drain_and_kill(self) -> None:
        """The control process that acknowledges a drain loses power right afterwards."""
        if len(self._running_servers()) > 2 and not self.stopped_controls:
            server = self.simulation.servers[self.rng.choice(self._running_servers())]
            drain = server.drain_and_deregister if self.rng.random() < 0.5 else server.drain_and_crash
            self.simulation.spawn(self._kill_after_ack(drain()))

    async def _kill_after_ack(self, drain: Coroutine[None, None, None]) -> None:
        acknowledged = len(self.simulation.acknowledgements)
        drain_task = asyncio.create_task(drain)
        for _ in range(800):
            await asyncio.sleep(0.002)
            if len(self.simulation.acknowledgements) > acknowledged:
                break
        else:
            return
        by = self.simulation.acknowledgements[-1].by
        if self.simulation.controls[by].links.alive and not self.stopped_controls:
            self._kill_control(by, silent=True)
        await drain_task

    def _crash_server(self) -> None:
        if len(self._running_servers()) > 2:
            self.simulation.servers[self.rng.choice(self._running_servers())].crash()

    def _pause_server(self) -> None:
        """A server sends no heartbeats for a while."""
        self.simulation.servers[self.rng.choice(self._running_servers())].pause_s = self.rng.uniform(1.0, 9.0)

    def _start_server(self) -> None:
        if len(self._running_servers()) < 8:
            self.simulation.start_server(f"s{self.rng.randrange(2)}")

    def _commit(self) -> None:
        self.generation += self.rng.randrange(1, 4)
        self.simulation.commit(make_configuration(self.generation, self.rng.randrange(1, 7)))

    def _cut_controls(self) -> None:
        one, other = self.rng.sample(sorted(self.simulation.controls), 2)
        self.simulation.note_disruption("core")
        self.simulation.network.partition(one, other)
        self._record_cuts()

    def _cut_proxy(self) -> None:
        proxy, control = (
            self.rng.choice(list(self.simulation.proxies)),
            self.rng.choice(self.simulation.voters),
        )
        self.simulation.note_disruption(proxy)
        self.simulation.network.partition(proxy, control)
        self._record_cuts()

    def _reset_link(self) -> None:
        key = self.rng.choice(sorted(self.simulation.network.sessions) or [("", "")])
        for name in key:
            self.simulation.note_disruption(name if name in self.simulation.proxies else "core")
        self.simulation.network.reset(*key)

    def _kill_random_control(self) -> None:
        self._kill_control(self.rng.choice(sorted(self.simulation.controls)), silent=self.rng.random() < 0.5)

    def _kill_control(self, address: str, silent: bool) -> None:
        if address not in self.stopped_controls:
            self.simulation.note_disruption("core")
            self.simulation.kill_control(address, silent)
            self.stopped_controls.append(address)

    def _restart_control(self) -> None:
        if self.stopped_controls:
            self.simulation.note_disruption("core")
            address = self.stopped_controls.pop(0)
            self.simulation.start_control(address)

    def _kill_all_controls(self) -> None:
        if self.rng.random() < 0.4:
            for address in sorted(self.simulation.controls):
                self._kill_control(address, silent=False)
            if self.rng.random() < 0.5:
                self._restart_proxy()

    def _heal_cut(self) -> None:
        network = self.simulation.network
        if network.partitions:
            one, other = self.rng.choice(sorted(network.partitions))
            for name in (one, other):
                self.simulation.note_disruption(name if name in self.simulation.proxies else "core")
            network.heal(one, other)
            self._record_cuts()

    def _record_cuts(self) -> None:
        self.simulation.cut_history.append(
            (self.simulation.now(), frozenset(self.simulation.network.partitions))
        )

    def _toggle_disk_refusal(self) -> None:
        store = self.simulation.stores[self.rng.choice(self.simulation.voters)]
        store.refuses = not store.refuses

    def _change_disk_delay(self) -> None:
        control = self.simulation.controls[self.rng.choice(sorted(self.simulation.controls))]
        control.writer.delay_s = self.rng.choice((0.002, 0.05, 0.4, 2.0))

    def _freeze_control(self) -> None:
        address = self.rng.choice(sorted(self.simulation.controls))
        if self.simulation.controls[address].links.alive:
            seconds = self.rng.uniform(0.3, 6.0)
            self.simulation.note_disruption("core")
            self.simulation.network.stall(address, seconds)
            asyncio.get_running_loop().call_later(seconds, self.simulation.note_disruption, "core")

    def _restart_proxy(self) -> None:
        address = self.rng.choice(list(self.simulation.proxies))
        self.simulation.network.kill(address, silent=False)
        self.simulation.spawn(self.simulation.proxies[address].client.stop())
        self.simulation.start_proxy(address)
        self.simulation.note_disruption(address)

    def _repair(self) -> None:
        for store in self.simulation.stores.values():
            store.refuses = False
        for control in self.simulation.controls.values():
            control.writer.delay_s = 0.002
        while self.stopped_controls:
            self._restart_control()
        for one, other in sorted(self.simulation.network.partitions):
            self.simulation.network.heal(one, other)
        self._record_cuts()
        for target in ("core", *self.simulation.proxies):
            self.simulation.note_disruption(target)


def run_schedule(seed: int) -> list[str]:
    """Breaches of the schedule with this seed."""
    return run_virtual(RandomSchedule(seed).run())
