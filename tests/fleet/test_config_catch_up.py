"""A replica that was down catches up under continuous changes, also over a link of low bandwidth."""

import random
import unittest

from tests.fleet.config_oracle import ACCEPTED
from tests.fleet.emulated_machine import Machine
from tests.fleet.fleet_simulation import World
from tests.fleet.test_config_scenarios import leader, start_simulation, submit_order, voters

BYTES_PER_MS = 600.0  # about 5 Mbit/s
CHANGE_INTERVAL_MS = 80.0


def incompressible_tenants(tenants: int) -> list[dict[str, object]]:
    """A document that compresses badly: all names and keys differ."""
    rng = random.Random(1)
    keys = [[f"{rng.getrandbits(80):x}" for _ in range(2)] for _ in range(tenants)]
    return [{"Name": f"t{i * 7919:x}", "Keys": keys[i]} for i in range(tenants)]


def follower(simulation: World) -> Machine:
    """A voter that is not the leader."""
    leading = leader(simulation)
    assert leading is not None
    return simulation.machines[next(name for name in voters(simulation) if name != leading.name)]


def version_lag(simulation: World, machine: Machine) -> int:
    """Number of versions by which a replica lags behind the leader."""
    leading = leader(simulation)
    assert leading is not None and leading.node is not None and machine.node is not None
    return leading.node.state.version - machine.node.state.version


def keep_changing(simulation: World, version: int) -> None:
    """Submit a small patch to the leader every 80 ms from now on."""

    def change() -> None:
        leading = leader(simulation)
        if leading is not None and leading.node is not None:
            base = leading.node.state.version
            item = f'{{"Name": "r{base % 7}", "Order": {base}}}'
            body = f'{{"Generation": {base + 1}, "Upsert": {{"Routes": [{item}]}}}}'.encode()
            leading.node.submit(simulation.now, "patch", base, body, 0)
            simulation.pump(leading)
        simulation.schedule(CHANGE_INTERVAL_MS, change)

    simulation.schedule(CHANGE_INTERVAL_MS, change)


class CatchUpTest(unittest.TestCase):
    """Changes continue during all tests."""

    def wait_until_caught_up(self, machine: Machine, simulation: World, within_ms: float) -> float:
        """Wait until a replica lags by no more than the changes in progress; returns how long that took."""
        started_at = simulation.now
        while machine.node is None or machine.node.raft.quarantined or version_lag(simulation, machine) > 3:
            simulation.run_until(simulation.now + 20.0)
            self.assertLess(simulation.now - started_at, within_ms, f"{machine.name} never caught up")
        return simulation.now - started_at

    def start_changing_group(self, seed: int, tenants: int, log_entries: int) -> tuple[World, Machine]:
        """A group whose document, of the given size, changes every 80 ms, and one of its followers."""
        simulation = start_simulation(seed)
        self.assertEqual(
            submit_order(simulation, "10.0.1.1:7680", 0, 3, incompressible_tenants(tenants)).status, ACCEPTED
        )
        for machine in simulation.machines.values():
            if machine.node is not None:
                machine.node.max_log_entries = log_entries
        keep_changing(simulation, 3)
        return simulation, follower(simulation)

    def test_a_lost_disk_is_restored_over_a_slow_link(self) -> None:
        """Sending the snapshot takes longer than an election timeout, and newer ones are made meanwhile."""
        for log_entries in (512, 12):
            with self.subTest(log_entries=log_entries):
                simulation, machine = self.start_changing_group(1, 15_000, 12)
                simulation.run_until(simulation.now + 1500.0)
                leading = leader(simulation)
                assert leading is not None and leading.node is not None
                size = len(leading.node.raft.snapshot.data)
                self.assertGreater(size / BYTES_PER_MS, 600.0, "the snapshot is too small for this test")
                leading.node.max_log_entries = log_entries
                simulation.kill(machine, power=True)
                machine.disk.wipe()
                machine.bytes_per_ms = BYTES_PER_MS
                simulation.run_until(simulation.now + 500.0)
                simulation.start(machine)
                self.wait_until_caught_up(machine, simulation, 20_000.0)

    def test_a_replica_catches_up_after_two_compactions_and_a_membership_change(self) -> None:
        for seed in range(4):
            simulation, machine = self.start_changing_group(seed, 50, 12)
            leading = leader(simulation)
            assert leading is not None
            simulation.kill(machine, power=True)
            new_machine = simulation.add_machine("10.0.2.1:7680", machine.zone, counts=True)
            simulation.start(new_machine)
            simulation.run_until(simulation.now + 4000.0)
            self.assertIn(new_machine.name, voters(simulation))
            self.assertNotIn(machine.name, voters(simulation))
            first = leader(simulation)
            assert first is not None and first.node is not None
            self.assertGreater(first.node.raft.snapshot.index, 24)
            simulation.start(machine)
            self.wait_until_caught_up(machine, simulation, 4000.0)

    def test_an_empty_machine_catches_up_after_five_hundred_changes(self) -> None:
        simulation, machine = self.start_changing_group(1, 100, 512)
        simulation.run_until(simulation.now + 500 * CHANGE_INTERVAL_MS)
        simulation.kill(machine, power=True)
        machine.disk.wipe()
        simulation.run_until(simulation.now + 300.0)
        simulation.start(machine)
        self.assertLess(self.wait_until_caught_up(machine, simulation, 4000.0), 2000.0)

    def test_a_restarted_replica_never_leads_with_stale_state(self) -> None:
        for seed in range(4):
            simulation, machine = self.start_changing_group(seed, 50, 12)
            simulation.kill(machine)
            simulation.run_until(simulation.now + 3000.0)
            leading = leader(simulation)
            assert leading is not None and leading.node is not None
            known = leading.node.state.version
            simulation.start(machine)
            simulation.kill(leading)
            simulation.run_until(simulation.now + 3000.0)
            new = leader(simulation)
            assert new is not None and new.node is not None
            self.assertGreaterEqual(new.node.state.version, known)


if __name__ == "__main__":
    unittest.main()
