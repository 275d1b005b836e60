"""A replica that was down catches up under continuous changes, also over a link of low bandwidth."""

import random
import unittest

from tests.fleet.config_oracle import TAKEN
from tests.fleet.emulated_machine import Machine
from tests.fleet.fleet_simulation import World
from tests.fleet.test_config_scenarios import leader, order, started, voters

BYTES_PER_MS = 600.0  # about 5 Mbit/s
CHANGE_MS = 80.0


def large(tenants: int) -> list[dict[str, object]]:
    """A document that compresses badly: all names and keys differ."""
    rng = random.Random(1)
    keys = [[f"{rng.getrandbits(80):x}" for _ in range(2)] for _ in range(tenants)]
    return [{"Name": f"t{i * 7919:x}", "Keys": keys[i]} for i in range(tenants)]


def follower(world: World) -> Machine:
    """A voter that is not the leader."""
    leading = leader(world)
    assert leading is not None
    return world.machines[next(name for name in voters(world) if name != leading.name)]


def behind(world: World, machine: Machine) -> int:
    """Number of versions by which a replica lags behind the leader."""
    leading = leader(world)
    assert leading is not None and leading.node is not None and machine.node is not None
    return leading.node.state.version - machine.node.state.version


def keep_changing(world: World, version: int) -> None:
    """Submit a small patch to the leader every 80 ms from now on."""

    def change() -> None:
        leading = leader(world)
        if leading is not None and leading.node is not None:
            base = leading.node.state.version
            item = f'{{"Name": "r{base % 7}", "Order": {base}}}'
            body = f'{{"Generation": {base + 1}, "Upsert": {{"Routes": [{item}]}}}}'.encode()
            leading.node.submit(world.now, "patch", base, body, 0)
            world.pump(leading)
        world.at(CHANGE_MS, change)

    world.at(CHANGE_MS, change)


class CatchUpTest(unittest.TestCase):
    """Changes continue during all tests."""

    def caught_up(self, machine: Machine, world: World, within_ms: float) -> float:
        """Wait until a replica lags by no more than the changes in progress; returns how long that took."""
        began = world.now
        while machine.node is None or machine.node.agreement.barred or behind(world, machine) > 3:
            world.run_until(world.now + 20.0)
            self.assertLess(world.now - began, within_ms, f"{machine.name} never caught up")
        return world.now - began

    def day(self, seed: int, tenants: int, log_entries: int) -> tuple[World, Machine]:
        """A group whose document, of the given size, changes every 80 ms, and one of its followers."""
        world = started(seed)
        self.assertEqual(order(world, "10.0.1.1:7680", 0, 3, large(tenants)).status, TAKEN)
        for machine in world.machines.values():
            if machine.node is not None:
                machine.node.max_log_entries = log_entries
        keep_changing(world, 3)
        return world, follower(world)

    def test_a_lost_disk_over_a_narrow_link(self) -> None:
        """Sending the snapshot takes longer than an election timeout, and newer ones are made meanwhile."""
        for log_entries in (512, 12):
            with self.subTest(log_entries=log_entries):
                world, machine = self.day(1, 15_000, 12)
                world.run_until(world.now + 1500.0)
                leading = leader(world)
                assert leading is not None and leading.node is not None
                size = len(leading.node.agreement.snapshot.data)
                self.assertGreater(size / BYTES_PER_MS, 600.0, "the snapshot is too small for this test")
                leading.node.max_log_entries = log_entries
                world.kill(machine, power=True)
                machine.disk.wipe()
                machine.bytes_per_ms = BYTES_PER_MS
                world.run_until(world.now + 500.0)
                world.start(machine)
                self.caught_up(machine, world, 20_000.0)

    def test_a_lag_over_two_compactions_and_a_change_of_voters(self) -> None:
        for seed in range(4):
            world, machine = self.day(seed, 50, 12)
            leading = leader(world)
            assert leading is not None
            world.kill(machine, power=True)
            fresh = world.add_machine("10.0.2.1:7680", machine.zone, counts=True)
            world.start(fresh)
            world.run_until(world.now + 4000.0)
            self.assertIn(fresh.name, voters(world))
            self.assertNotIn(machine.name, voters(world))
            first = leader(world)
            assert first is not None and first.node is not None
            self.assertGreater(first.node.agreement.snapshot.index, 24)
            world.start(machine)
            self.caught_up(machine, world, 4000.0)

    def test_an_empty_machine_after_five_hundred_changes(self) -> None:
        world, machine = self.day(1, 100, 512)
        world.run_until(world.now + 500 * CHANGE_MS)
        world.kill(machine, power=True)
        machine.disk.wipe()
        world.run_until(world.now + 300.0)
        world.start(machine)
        self.assertLess(self.caught_up(machine, world, 4000.0), 2000.0)

    def test_a_restarted_member_never_leads_with_old_state(self) -> None:
        for seed in range(4):
            world, machine = self.day(seed, 50, 12)
            world.kill(machine)
            world.run_until(world.now + 3000.0)
            leading = leader(world)
            assert leading is not None and leading.node is not None
            known = leading.node.state.version
            world.start(machine)
            world.kill(leading)
            world.run_until(world.now + 3000.0)
            new = leader(world)
            assert new is not None and new.node is not None
            self.assertGreaterEqual(new.node.state.version, known)


if __name__ == "__main__":
    unittest.main()
