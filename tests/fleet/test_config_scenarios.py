"""Hand-written scenarios of the configuration shard: bootstrap, elections, replacements, large documents."""

import json
import statistics
import unittest

from tests.fleet.config_oracle import ACCEPTED, Call, SentOrder
from tests.fleet.fleet_simulation import Machine, Story, World

SEED_COUNT = 12


def start_simulation(seed: int, machines: int = 3, tolerated: int = 1, diskless: int = 1) -> World:
    """A simulation whose processes start within 0.3 s."""
    simulation = World(seed, machines, tolerated, diskless)
    for machine in list(simulation.machines.values()):
        simulation.schedule(
            simulation.rng.uniform(0.0, 300.0), lambda machine=machine: simulation.start(machine, True)
        )
    return simulation


def leader(simulation: World, except_machine: Machine | None = None) -> Machine | None:
    """The current leader."""
    leaders = [
        m
        for m in simulation.machines.values()
        if m.node is not None and m.node.is_leader and m is not except_machine
    ]
    return max(leaders, key=lambda m: m.node.raft.term if m.node else 0) if leaders else None


def time_to_leader(simulation: World, except_machine: Machine | None = None) -> float:
    """Time until there is a leader."""
    started_at = simulation.now
    while leader(simulation, except_machine) is None:
        simulation.run_until(simulation.now + 5.0)
        if simulation.now - started_at > 20_000.0:
            raise TimeoutError
    return simulation.now - started_at


def voters(simulation: World) -> list[str]:
    """The voters committed by the leader."""
    current_leader = leader(simulation)
    assert current_leader is not None and current_leader.node is not None
    return current_leader.node.voters[0]


def submit_order(
    simulation: World, name: str, base_version: int, generation: int, extra: object = None
) -> Call:
    """Send an order until its outcome is known, and return the last call."""
    document = json.dumps({"Generation": generation, "Routes": [], "More": extra})
    sent_order = SentOrder(next(simulation.ids), "replace", base_version, generation, document)
    calls = list[Call]()

    def story() -> Story:
        while not calls or calls[-1].status in (0, 503):
            calls.append((yield "order", (name, sent_order)))
            yield "sleep", 20.0

    simulation.spawn(story())
    deadline = simulation.now + 15_000.0
    while (not calls or calls[-1].status in (0, 503)) and simulation.now < deadline:
        simulation.run_until(simulation.now + 10.0)
    return calls[-1]


class BootstrapTest(unittest.TestCase):
    def test_bootstrap_chooses_one_voter_in_each_zone(self) -> None:
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed, machines=6)
            simulation.run_until(3000.0)
            zones = {simulation.machines[name].zone for name in voters(simulation)}
            self.assertEqual((len(voters(simulation)), len(zones)), (3, 3))

    def test_bootstrap_chooses_five_voters_if_two_losses_are_tolerated(self) -> None:
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed, machines=7, tolerated=2)
            simulation.run_until(4000.0)
            self.assertEqual(len(voters(simulation)), 5)

    def test_a_machine_that_starts_late_becomes_a_voter(self) -> None:
        for seed in range(SEED_COUNT):
            simulation = World(seed)
            late = simulation.machines["10.0.0.3:7680"]
            for machine in simulation.machines.values():
                if machine is not late:
                    simulation.start(machine, True)
            simulation.schedule(2500.0, lambda simulation=simulation, late=late: simulation.start(late, True))  # type: ignore[misc]
            simulation.run_until(2400.0)
            self.assertEqual(len(voters(simulation)), 2)
            simulation.run_until(6000.0)
            self.assertEqual(len(voters(simulation)), 3)

    def test_one_machine_does_not_bootstrap_alone_if_one_loss_is_tolerated(self) -> None:
        simulation = World(1)
        seed = simulation.machines["10.0.0.1:7680"]
        simulation.start(seed, True)
        simulation.run_until(4000.0)
        self.assertIsNone(leader(simulation))
        for machine in simulation.machines.values():
            if machine is not seed:
                simulation.start(machine, True)
        simulation.run_until(5500.0)
        self.assertEqual(len(voters(simulation)), 3)

    def test_all_processes_vote_if_none_has_a_disk(self) -> None:
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed, machines=0, diskless=5)
            self.assertEqual(submit_order(simulation, "10.0.1.5:7680", 0, 3).status, ACCEPTED)
            self.assertLess(simulation.now, 4000.0)
            self.assertEqual(len(voters(simulation)), 5)
            old_leader = leader(simulation)
            assert old_leader is not None
            simulation.kill(old_leader)
            name = next(name for name in simulation.machines if name != old_leader.name)
            self.assertEqual(submit_order(simulation, name, 3, 4).status, ACCEPTED)

    def test_a_single_machine_survives_a_power_loss(self) -> None:
        simulation = start_simulation(1, machines=1, diskless=0)
        self.assertEqual(submit_order(simulation, "10.0.0.1:7680", 0, 3).status, ACCEPTED)
        machine = simulation.machines["10.0.0.1:7680"]
        simulation.kill(machine, power=True)
        simulation.start(machine)
        self.assertEqual(submit_order(simulation, "10.0.0.1:7680", 3, 4).status, ACCEPTED)

    def test_power_loss_of_all_machines_during_bootstrap(self) -> None:
        for seed in range(40):
            simulation = start_simulation(seed)
            simulation.run_until(simulation.rng.uniform(300.0, 1500.0))
            for machine in simulation.machines.values():
                simulation.kill(machine, power=True)
                simulation.schedule(
                    300.0, lambda simulation=simulation, machine=machine: simulation.start(machine)
                )
            with self.subTest(seed=seed):
                self.assertEqual(submit_order(simulation, "10.0.0.2:7680", 0, 3).status, ACCEPTED)


class PausedProcessesTest(unittest.TestCase):
    """Event loops that are blocked repeatedly, as on an overloaded machine."""

    RUN_INTERVAL_MS = 20.0  # between two pauses
    SAMPLE_INTERVAL_MS = 50.0

    def pause_repeatedly(self, simulation: World, machine: Machine, pause_ms: float, ends_at: float) -> None:
        """Pause a process repeatedly until a given time."""

        def pause() -> None:
            if simulation.now < ends_at:
                machine.paused_until = simulation.now + pause_ms
                simulation.schedule(pause_ms + self.RUN_INTERVAL_MS, pause)

        simulation.schedule(simulation.rng.uniform(0.0, pause_ms), pause)

    def leader_availability(self, simulation: World, period_ms: float) -> float:
        """The fraction of a period during which there is a leader."""
        samples = int(period_ms / self.SAMPLE_INTERVAL_MS)
        led_samples = 0
        for _ in range(samples):
            simulation.run_until(simulation.now + self.SAMPLE_INTERVAL_MS)
            led_samples += leader(simulation) is not None
        return led_samples / samples

    def test_a_leader_stays_available_despite_pauses_of_300_ms(self) -> None:
        availabilities = []
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed)
            simulation.run_until(4000.0)
            for machine in simulation.machines.values():
                self.pause_repeatedly(simulation, machine, 300.0, simulation.now + 12_000.0)
            availabilities.append(self.leader_availability(simulation, 12_000.0))
        self.assertGreater(statistics.mean(availabilities), 0.95)

    def test_a_leader_that_pauses_for_800_ms_is_replaced_for_good(self) -> None:
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed)
            simulation.run_until(4000.0)
            old_leader = leader(simulation)
            assert old_leader is not None
            self.pause_repeatedly(simulation, old_leader, 800.0, simulation.now + 12_000.0)
            simulation.run_until(simulation.now + 2000.0)
            self.assertGreater(self.leader_availability(simulation, 10_000.0), 0.99, f"seed {seed}")
            self.assertIsNot(leader(simulation), old_leader, f"seed {seed}")

    def test_pauses_of_800_ms_on_all_machines_leave_no_leader_until_they_end(self) -> None:
        """A known limit: a process that was paused for half a second has missed messages and steps down."""
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed)
            simulation.run_until(4000.0)
            for machine in simulation.machines.values():
                self.pause_repeatedly(simulation, machine, 800.0, simulation.now + 8000.0)
            self.assertLess(self.leader_availability(simulation, 8000.0), 0.3, f"seed {seed}")
            simulation.run_until(simulation.now + 800.0)
            self.assertLess(time_to_leader(simulation), 1500.0, f"seed {seed}")


class ElectionTest(unittest.TestCase):
    def failover_times(self, fault: str) -> list[float]:
        """Times until another process becomes leader."""
        times = list[float]()
        for seed in range(30):
            simulation = start_simulation(seed)
            simulation.run_until(4000.0)
            old_leader = leader(simulation)
            assert old_leader is not None
            if fault == "freeze":
                old_leader.paused_until = simulation.now + 9000.0
            elif fault == "stop":
                simulation.stop(old_leader)
            else:
                simulation.kill(old_leader, power=fault == "power")
            times.append(time_to_leader(simulation, except_machine=old_leader))
        return times

    def test_failover_time_after_a_kill(self) -> None:
        times = self.failover_times("kill")
        self.assertLess(max(times), 900.0)
        self.assertLess(statistics.median(times), 400.0)

    def test_failover_time_after_a_power_loss(self) -> None:
        self.assertLess(max(self.failover_times("power")), 1400.0)

    def test_failover_time_of_a_paused_leader(self) -> None:
        self.assertLess(max(self.failover_times("freeze")), 1400.0)

    def test_failover_time_after_a_planned_shutdown(self) -> None:
        self.assertLess(max(self.failover_times("stop")), 200.0)


class ReplacementTest(unittest.TestCase):
    def replace(self, simulation: World, lost: Machine, planned: bool) -> Machine:
        """Remove a machine for good; an empty one at a new address is started before or after that."""
        new_machine = simulation.add_machine("10.0.2.1:7680", lost.zone, counts=True)
        if planned:
            simulation.start(new_machine)
            simulation.run_until(simulation.now + 2000.0)
            self.assertNotIn(new_machine.name, voters(simulation))
        simulation.kill(lost, power=True)
        lost.removed = True
        if not planned:
            simulation.run_until(simulation.now + 1000.0)
            simulation.start(new_machine)
        simulation.run_until(simulation.now + 5000.0)
        return new_machine

    def test_a_new_machine_replaces_a_lost_voter(self) -> None:
        for seed in range(SEED_COUNT):
            for planned in (False, True):
                for number in (1, 2, 3):
                    with self.subTest(seed=seed, planned=planned, number=number):
                        simulation = start_simulation(seed)
                        simulation.run_until(3000.0)
                        lost = simulation.machines[f"10.0.0.{number}:7680"]
                        new_machine = self.replace(simulation, lost, planned)
                        self.assertIn(new_machine.name, voters(simulation))
                        self.assertNotIn(lost.name, voters(simulation))
                        self.assertEqual(len(voters(simulation)), 3)

    def test_replacing_all_seeds_one_by_one_keeps_accepted_orders(self) -> None:
        simulation = start_simulation(1)
        self.assertEqual(submit_order(simulation, "10.0.1.1:7680", 0, 3).status, ACCEPTED)
        for number in (1, 2, 3):
            lost = simulation.machines[f"10.0.0.{number}:7680"]
            new_machine = simulation.add_machine(f"10.0.2.{number}:7680", lost.zone, counts=True)
            simulation.start(new_machine)
            simulation.run_until(simulation.now + 1500.0)
            simulation.kill(lost, power=True)
            simulation.run_until(simulation.now + 5000.0)
        self.assertEqual(sorted(voters(simulation)), [f"10.0.2.{number}:7680" for number in (1, 2, 3)])
        self.assertEqual(submit_order(simulation, "10.0.1.1:7680", 0, 4).status, 412)
        self.assertEqual(submit_order(simulation, "10.0.1.1:7680", 3, 4).status, ACCEPTED)

    def test_a_partitioned_zone_regains_a_voter_after_it_heals(self) -> None:
        for seed in range(SEED_COUNT):
            simulation = start_simulation(seed, machines=6)
            simulation.run_until(3000.0)
            partitioned = [m.name for m in simulation.machines.values() if m.zone == "zone-1"]
            pairs = [
                (one, other)
                for one in partitioned
                for other in simulation.machines
                if other not in partitioned
            ]
            for one, other in pairs:
                simulation.cut(one, other, says_so=False)
            simulation.run_until(simulation.now + 6000.0)
            voter_zones = sorted(simulation.machines[name].zone for name in voters(simulation))
            self.assertEqual((len(voter_zones), "zone-1" in voter_zones), (3, False))
            for one, other in pairs:
                simulation.heal(one, other)
            simulation.run_until(simulation.now + 4000.0)
            self.assertEqual(len({simulation.machines[name].zone for name in voters(simulation)}), 3)

    def test_a_voter_that_restarts_within_a_second_is_not_replaced(self) -> None:
        simulation = start_simulation(1, machines=4)
        simulation.run_until(3000.0)
        before = sorted(voters(simulation))
        machine = simulation.machines[before[-1]]
        simulation.kill(machine)
        simulation.run_until(simulation.now + 1000.0)
        simulation.start(machine)
        simulation.run_until(simulation.now + 3000.0)
        self.assertEqual(sorted(voters(simulation)), before)


class LargeDocumentTest(unittest.TestCase):
    def test_consecutive_large_documents_cause_no_leader_change(self) -> None:
        simulation = start_simulation(2)
        extra = [{"Name": f"route-{i}", "Text": f"{i * 7919:0200d}"} for i in range(430)]
        version = 0
        simulation.run_until(2000.0)
        term = leader(simulation).node.raft.term  # type: ignore[union-attr]
        for step in range(12):
            call = submit_order(simulation, "10.0.1.1:7680", version, version + 2, extra)
            self.assertEqual(call.status, ACCEPTED)
            self.assertLess(call.ended_at - call.started_at, 300.0, f"step {step}")
            version += 2
        self.assertEqual(leader(simulation).node.raft.term, term)  # type: ignore[union-attr]

    def test_disk_use_is_bounded_by_log_compaction(self) -> None:
        simulation = start_simulation(2)
        extra = [{"Name": f"route-{i}", "Text": f"{i * 7919:020d}"} for i in range(100)]
        for version in range(150):
            self.assertEqual(
                submit_order(simulation, "10.0.1.1:7680", version, version + 1, extra).status, ACCEPTED
            )
        for machine in simulation.machines.values():
            self.assertLess(machine.disk.used_bytes(), 200_000)
