"""Random simulations of the whole `ConfigShard` driver, checked by the oracle on the operators' calls."""

import asyncio
import json
import random
import unittest
from itertools import count

from tests.fleet.config_oracle import TAKEN, Call, History, Oracle, SentOrder
from tests.fleet.shard_world import Control, ShardWorld
from tests.fleet.virtual_time import play

HISTORIES = 10
TROUBLE_S = 6.0
CONTACT_S = 3.0
ACK_S = 4.0


class Day:
    """Operators and faults generated from one seed, on production drivers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = ShardWorld(3, 2, seed)
        self.history = History()
        self.numbers = count(1)
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()

    async def play(self) -> list[str]:
        """Run the simulation and return all problems found by the oracle."""
        await self.world.start()
        await self.order(0)
        operators = [asyncio.ensure_future(self.operate()) for _ in range(2)]
        while self.loop.time() - self.began < TROUBLE_S:
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            await self.fault()
        await asyncio.gather(*operators)
        await asyncio.sleep(CONTACT_S)
        await self.calm()
        problems = Oracle(self.history, json.loads).judge()
        return problems + [repr(error) for error in self.world.network.errors]

    def up(self) -> list[Control]:
        """The running processes."""
        return [control for control in self.world.controls if control.shard is not None]

    def newest(self) -> int:
        """The newest version that any answer has returned."""
        taken = [call for call in self.history.calls if call.status == TAKEN]
        orders = [call.order.generation for call in taken if call.order is not None]
        return max([*orders, *(call.document["Generation"] for call in taken if call.document)], default=0)

    async def operate(self) -> None:
        """Read, change the configuration, and sometimes repeat accepted orders."""
        while self.loop.time() - self.began < TROUBLE_S:
            await self.read(self.rng.choice(self.world.controls), 0.7)
            await self.order(self.newest())
            taken = [c.order for c in self.history.calls if c.order and c.status == TAKEN]
            if taken and self.rng.random() < 0.3:
                await self.send(self.rng.choice(taken[-4:]), 3)
            await asyncio.sleep(self.rng.uniform(0.01, 0.4))

    async def order(self, base: int) -> SentOrder:
        """Create an order and send it until its outcome is known."""
        number, generation = next(self.numbers), base + self.rng.randint(1, 3)
        items = [{"Name": f"route-{self.rng.randrange(5)}", "Order": number}]
        if base and self.rng.random() < 0.5:
            kind, change = "patch", {"Generation": generation, "Upsert": {"Routes": items}}
        else:
            kind, change = "replace", {"Generation": generation, "Routes": items}
        order = SentOrder(number, kind, base, generation, json.dumps(change))
        await self.send(order, 8)
        return order

    async def send(self, order: SentOrder, tries: int) -> None:
        """Send an order to random processes until its outcome is known."""
        for _ in range(tries):
            control = self.rng.choice(self.world.controls)
            call = Call("order", control.address, self.loop.time() * 1000.0, order)
            self.history.calls.append(call)
            if control.shard is not None:
                shard, body = control.shard, order.change.encode()
                outcome = await shard.submit(order.kind, order.base, body, self.rng.choice([0.2, 0.9]))
                if control.shard is shard:  # otherwise the process that would answer is gone
                    call.status = int(outcome.status)
            call.ended = self.loop.time() * 1000.0
            if call.status == TAKEN or 400 <= call.status < 500:
                return
            await asyncio.sleep(0.1)

    async def read(self, control: Control, timeout_s: float) -> Call:
        """Read the newest document at one process."""
        call = Call("read", control.address, self.loop.time() * 1000.0)
        self.history.calls.append(call)
        shard = control.shard
        if shard is not None:
            document = await shard.confirmed_document(timeout_s)
            if control.shard is shard and document is not None:
                call.status, call.document = TAKEN, json.loads(json.dumps(document))
        call.ended = self.loop.time() * 1000.0
        return call

    async def fault(self) -> None:
        """Inject a random fault, which ends by itself after a while."""
        control = self.rng.choice(self.up() or self.world.controls)
        lasts = self.rng.uniform(0.2, 2.5)
        kind = self.rng.choice(["kill", "power", "stop", "cut", "stall", "full", "reset", "all"])
        if kind == "all":
            for each in self.up():
                self.kill(each, power=True, lasts=self.rng.uniform(0.1, 1.0))
        elif kind in ("kill", "power") and control.shard is not None:
            self.kill(control, kind == "power", lasts)
        elif kind == "stop" and control.shard is not None:
            shard = control.shard
            await shard.stop()
            if control.shard is shard:
                self.kill(control, False, lasts)
        elif kind == "stall" and control.writers:
            control.stall(lasts)
        elif kind == "full":
            control.disk.full = True
            self.loop.call_later(lasts, setattr, control.disk, "full", False)
        else:
            self.trouble_links(control, kind, lasts)

    def trouble_links(self, control: Control, kind: str, lasts: float) -> None:
        """Partition a process from some others, or reset its links."""
        for other in self.world.controls:
            if other is control or self.rng.random() < 0.4:
                continue
            if kind == "cut":
                self.world.network.cut(control.address, other.address)
                self.loop.call_later(lasts, self.world.network.heal, control.address, other.address)
            else:
                self.world.network.reset(control.address, other.address)

    def kill(self, control: Control, power: bool, lasts: float) -> None:
        """Kill a process and restart it after a while."""
        control.kill(silent=power)
        if power:
            control.disk.lose_power()

        async def back() -> None:
            await asyncio.sleep(lasts)
            if control.shard is None:
                await control.start()

        self.back = asyncio.ensure_future(back())

    async def calm(self) -> None:
        """After the last fault: an order is accepted in time, and every process answers a read."""
        began = self.loop.time()
        while not any(c.status == TAKEN and c.began >= began * 1000.0 for c in self.history.calls if c.order):
            await self.read(self.world.controls[0], 1.0)
            await self.order(self.newest())
            if self.loop.time() - began > ACK_S:
                self.history.overdue.append("no order was accepted after the last fault")
                break
        for control in self.world.controls:
            if (await self.read(control, 1.0)).status != TAKEN:
                self.history.overdue.append(f"{control.address} answered no read after the last fault")


class DriverHistoriesTest(unittest.TestCase):
    def test_the_oracle_finds_nothing(self) -> None:
        async def day(seed: int) -> list[str]:
            return await Day(seed).play()

        with self.assertLogs("brackenusher.control_plane.config_storage"):
            for seed in range(HISTORIES):
                with self.subTest(seed=seed):
                    self.assertEqual(play(day(seed)), [])
