"""Acknowledged orders survive the loss of a whole zone with its disks, where that is tolerated."""

import unittest
from unittest import mock

from barleybarrow.consensus import paced_agreement
from barleybarrow.consensus.failure_domains import domain_quorum_index
from tests.fleet.config_oracle import ACCEPTED
from tests.fleet.fleet_simulation import World
from tests.fleet.test_config_scenarios import leader, submit_order, voters

ZONES = {"a": "one", "b": "one", "c": "two", "d": "three"}
SEED_COUNT = 6


class DomainQuorumTest(unittest.TestCase):
    def test_one_zone_is_not_enough_if_one_may_be_lost(self) -> None:
        persisted = {"a": 9, "b": 8, "c": 3}
        self.assertEqual(domain_quorum_index(persisted, ZONES, (), 1), 3)
        self.assertEqual(domain_quorum_index(persisted, ZONES, (), 0), 9)

    def test_two_tolerated_losses_need_three_zones(self) -> None:
        self.assertEqual(domain_quorum_index({"a": 9, "c": 7, "d": 5}, ZONES, (), 2), 5)

    def test_a_lost_zone_is_not_waited_for(self) -> None:
        self.assertEqual(domain_quorum_index({"a": 9, "b": 8, "c": 3}, ZONES, ("c",), 1), 9)
        self.assertEqual(domain_quorum_index({"a": 9, "b": 8, "c": 3, "d": 4}, ZONES, ("c",), 1), 4)

    def test_fewer_zones_than_needed(self) -> None:
        self.assertEqual(domain_quorum_index({"a": 9, "b": 8}, ZONES, (), 1), 9)


class LostZoneTest(unittest.TestCase):
    """Two voters share a zone, as after a replacement; the third one lags when that zone is lost."""

    def is_lost_after_acknowledgement(self, seed: int, zones_tolerated: int) -> bool:
        """Whether an acknowledged order is lost together with the disks of the zone that has two voters."""
        simulation = World(seed, machines=0, tolerated=1, doors=0, tolerated_domains=zones_tolerated)
        for number, zone in enumerate(("zone-0", "zone-0", "zone-1")):
            simulation.add_machine(f"10.0.0.{number + 1}:7680", zone, counts=True)
        simulation.seeds = list(simulation.machines)
        for machine in list(simulation.machines.values()):
            simulation.start(machine, True)
        self.assertEqual(submit_order(simulation, "10.0.0.1:7680", 0, 3).status, ACCEPTED)
        self.assertEqual(len(voters(simulation)), 3)
        first = leader(simulation)
        assert first is not None
        if first.zone != "zone-0":
            return False  # the leader's own disk, in another zone, has whatever it acknowledges
        simulation.machines["10.0.0.3:7680"].extra_delay_ms = 400.0
        call = submit_order(simulation, first.name, 3, 4)
        acknowledged_early = call.status == ACCEPTED and call.ended_at - call.started_at < 400.0
        for name in ("10.0.0.1:7680", "10.0.0.2:7680"):
            simulation.kill(simulation.machines[name], power=True)
            simulation.machines[name].disk.wipe()
        survivor = simulation.machines["10.0.0.3:7680"].node
        assert survivor is not None
        known = [entry for entry in survivor.raft.entries if entry.data]
        return acknowledged_early and survivor.state.version < 4 and len(known) < 2

    def test_an_acknowledged_order_survives_the_loss_of_a_zone(self) -> None:
        self.assertEqual(
            [self.is_lost_after_acknowledgement(seed, 1) for seed in range(SEED_COUNT)], [False] * SEED_COUNT
        )

    def test_without_the_domain_rule_the_order_is_lost(self) -> None:
        self.assertTrue(any(self.is_lost_after_acknowledgement(seed, 0) for seed in range(SEED_COUNT)))

    def test_a_silent_zone_does_not_block_commits(self) -> None:
        simulation = World(1, machines=3, tolerated=1, tolerated_domains=1)
        for machine in list(simulation.machines.values()):
            simulation.start(machine, True)
        self.assertEqual(submit_order(simulation, "10.0.0.1:7680", 0, 3).status, ACCEPTED)
        simulation.kill(simulation.machines["10.0.0.3:7680"], power=True)
        self.assertEqual(submit_order(simulation, "10.0.0.1:7680", 3, 4).status, ACCEPTED)

    def test_a_rule_that_waits_for_lost_zones_blocks_commits(self) -> None:
        def wait_for_lost_zones(held: object, zones: object, silent: object, tolerated: int) -> int:
            return domain_quorum_index(held, zones, (), tolerated + 1)  # type: ignore[arg-type]

        with mock.patch.object(paced_agreement, "domain_quorum_index", wait_for_lost_zones):
            self.assertRaises(AssertionError, self.test_a_silent_zone_does_not_block_commits)


if __name__ == "__main__":
    unittest.main()
