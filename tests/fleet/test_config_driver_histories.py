"""Random simulations of the whole `ConfigShard` driver, checked by the oracle on the operators' calls."""

import asyncio
import json
import random
import unittest
from itertools import count

from tests.fleet.config_oracle import ACCEPTED, Call, ConsistencyChecker, History, SentOrder
from tests.fleet.shard_world import ControlHarness, ShardSimulation
from tests.fleet.virtual_time import run_virtual

SEED_COUNT = 10
FAULTS_S = 6.0
RECOVERY_S = 3.0
ACK_DEADLINE_S = 4.0


class DriverSimulationRun:
    """Operators and faults generated from one seed, on production drivers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = ShardSimulation(3, 2, seed)
        self.history = History()
        self.order_numbers = count(1)
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()

    async def run(self) -> list[str]:
        """Run the simulation and return all problems found by the oracle."""
        await self.simulation.start()
        await self.submit_new_order(0)
        operators = [asyncio.ensure_future(self.operate()) for _ in range(2)]
        while self.loop.time() - self.started_at < FAULTS_S:
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            await self.inject_fault()
        await asyncio.gather(*operators)
        await asyncio.sleep(RECOVERY_S)
        await self.check_recovered()
        problems = ConsistencyChecker(self.history, json.loads).check()
        return problems + [repr(error) for error in self.simulation.network.errors]

    def running(self) -> list[ControlHarness]:
        """The running processes."""
        return [control for control in self.simulation.controls if control.shard is not None]

    def newest_version(self) -> int:
        """The newest version that any answer has returned."""
        accepted = [call for call in self.history.calls if call.status == ACCEPTED]
        orders = [call.order.generation for call in accepted if call.order is not None]
        return max([*orders, *(call.document["Generation"] for call in accepted if call.document)], default=0)

    async def operate(self) -> None:
        """Read, change the configuration, and sometimes repeat accepted orders."""
        while self.loop.time() - self.started_at < FAULTS_S:
            await self.read(self.rng.choice(self.simulation.controls), 0.7)
            await self.submit_new_order(self.newest_version())
            accepted = [c.order for c in self.history.calls if c.order and c.status == ACCEPTED]
            if accepted and self.rng.random() < 0.3:
                await self.send(self.rng.choice(accepted[-4:]), 3)
            await asyncio.sleep(self.rng.uniform(0.01, 0.4))

    async def submit_new_order(self, base_version: int) -> SentOrder:
        """Create an order and send it until its outcome is known."""
        number, generation = next(self.order_numbers), base_version + self.rng.randint(1, 3)
        items = [{"Name": f"route-{self.rng.randrange(5)}", "Order": number}]
        if base_version and self.rng.random() < 0.5:
            kind, change = "patch", {"Generation": generation, "Upsert": {"Routes": items}}
        else:
            kind, change = "replace", {"Generation": generation, "Routes": items}
        order = SentOrder(number, kind, base_version, generation, json.dumps(change))
        await self.send(order, 8)
        return order

    async def send(self, order: SentOrder, max_attempts: int) -> None:
        """Send an order to random processes until its outcome is known."""
        for _ in range(max_attempts):
            control = self.rng.choice(self.simulation.controls)
            call = Call("order", control.address, self.loop.time() * 1000.0, order)
            self.history.calls.append(call)
            if control.shard is not None:
                shard, body = control.shard, order.change.encode()
                outcome = await shard.submit(
                    order.kind, order.base_version, body, self.rng.choice([0.2, 0.9])
                )
                if control.shard is shard:  # otherwise the process that would answer is gone
                    call.status = int(outcome.status)
            call.ended_at = self.loop.time() * 1000.0
            if call.status == ACCEPTED or 400 <= call.status < 500:
                return
            await asyncio.sleep(0.1)

    async def read(self, control: ControlHarness, timeout_s: float) -> Call:
        """Read the newest document at one process."""
        call = Call("read", control.address, self.loop.time() * 1000.0)
        self.history.calls.append(call)
        shard = control.shard
        if shard is not None:
            document = await shard.confirmed_document(timeout_s)
            if control.shard is shard and document is not None:
                call.status, call.document = ACCEPTED, json.loads(json.dumps(document))
        call.ended_at = self.loop.time() * 1000.0
        return call

    async def inject_fault(self) -> None:
        """Inject a random fault, which ends by itself after a while."""
        control = self.rng.choice(self.running() or self.simulation.controls)
        duration_s = self.rng.uniform(0.2, 2.5)
        kind = self.rng.choice(["kill", "power", "stop", "cut", "stall", "full", "reset", "all"])
        if kind == "all":
            for each in self.running():
                self.kill(each, power=True, downtime_s=self.rng.uniform(0.1, 1.0))
        elif kind in ("kill", "power") and control.shard is not None:
            self.kill(control, kind == "power", duration_s)
        elif kind == "stop" and control.shard is not None:
            shard = control.shard
            await shard.stop()
            if control.shard is shard:
                self.kill(control, False, duration_s)
        elif kind == "stall" and control.writers:
            control.stall(duration_s)
        elif kind == "full":
            control.disk.full = True
            self.loop.call_later(duration_s, setattr, control.disk, "full", False)
        else:
            self.disturb_links(control, kind, duration_s)

    def disturb_links(self, control: ControlHarness, kind: str, duration_s: float) -> None:
        """Partition a process from some others, or reset its links."""
        for other in self.simulation.controls:
            if other is control or self.rng.random() < 0.4:
                continue
            if kind == "cut":
                self.simulation.network.partition(control.address, other.address)
                self.loop.call_later(duration_s, self.simulation.network.heal, control.address, other.address)
            else:
                self.simulation.network.reset(control.address, other.address)

    def kill(self, control: ControlHarness, power: bool, downtime_s: float) -> None:
        """Kill a process and restart it after a while."""
        control.kill(silent=power)
        if power:
            control.disk.lose_power()

        async def restart() -> None:
            await asyncio.sleep(downtime_s)
            if control.shard is None:
                await control.start()

        self.restart_task = asyncio.ensure_future(restart())

    async def check_recovered(self) -> None:
        """After the last fault: an order is accepted in time, and every process answers a read."""
        started_at = self.loop.time()
        while not any(
            c.status == ACCEPTED and c.started_at >= started_at * 1000.0
            for c in self.history.calls
            if c.order
        ):
            await self.read(self.simulation.controls[0], 1.0)
            await self.submit_new_order(self.newest_version())
            if self.loop.time() - started_at > ACK_DEADLINE_S:
                self.history.missed_deadlines.append("no order was accepted after the last fault")
                break
        for control in self.simulation.controls:
            if (await self.read(control, 1.0)).status != ACCEPTED:
                self.history.missed_deadlines.append(
                    f"{control.address} answered no read after the last fault"
                )


class DriverHistoriesTest(unittest.TestCase):
    def test_histories_are_consistent(self) -> None:
        async def run(seed: int) -> list[str]:
            return await DriverSimulationRun(seed).run()

        with self.assertLogs("brackenusher.control_plane.config_storage"):
            for seed in range(SEED_COUNT):
                with self.subTest(seed=seed):
                    self.assertEqual(run_virtual(run(seed)), [])
