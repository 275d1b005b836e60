"""Acknowledged orders survive the loss of a whole zone with its disks, where that is tolerated."""

import unittest
from unittest import mock

from barleybarrow.consensus import paced_agreement
from barleybarrow.consensus.failure_domains import domain_quorum_index
from tests.fleet.config_oracle import TAKEN
from tests.fleet.fleet_simulation import World
from tests.fleet.test_config_scenarios import leader, order, voters

ZONES = {"a": "one", "b": "one", "c": "two", "d": "three"}
SEEDS = 6


class SpreadTest(unittest.TestCase):
    def test_one_zone_is_not_enough_where_one_may_be_lost(self) -> None:
        held = {"a": 9, "b": 8, "c": 3}
        self.assertEqual(domain_quorum_index(held, ZONES, (), 1), 3)
        self.assertEqual(domain_quorum_index(held, ZONES, (), 0), 9)

    def test_two_losses_need_three_zones(self) -> None:
        self.assertEqual(domain_quorum_index({"a": 9, "c": 7, "d": 5}, ZONES, (), 2), 5)

    def test_a_zone_that_is_lost_already_is_not_waited_for(self) -> None:
        self.assertEqual(domain_quorum_index({"a": 9, "b": 8, "c": 3}, ZONES, ("c",), 1), 9)
        self.assertEqual(domain_quorum_index({"a": 9, "b": 8, "c": 3, "d": 4}, ZONES, ("c",), 1), 4)

    def test_fewer_zones_than_may_be_lost(self) -> None:
        self.assertEqual(domain_quorum_index({"a": 9, "b": 8}, ZONES, (), 1), 9)


class LostZoneTest(unittest.TestCase):
    """Two voters share a zone, as after a replacement; the third one lags when that zone is lost."""

    def lost_after_acknowledgement(self, seed: int, zones_tolerated: int) -> bool:
        """Whether an acknowledged order is lost together with the disks of the zone that has two voters."""
        world = World(seed, machines=0, tolerated=1, doors=0, tolerated_domains=zones_tolerated)
        for number, zone in enumerate(("zone-0", "zone-0", "zone-1")):
            world.add_machine(f"10.0.0.{number + 1}:7680", zone, counts=True)
        world.seeds = list(world.machines)
        for machine in list(world.machines.values()):
            world.start(machine, True)
        self.assertEqual(order(world, "10.0.0.1:7680", 0, 3).status, TAKEN)
        self.assertEqual(len(voters(world)), 3)
        first = leader(world)
        assert first is not None
        if first.zone != "zone-0":
            return False  # the leader's own disk, in another zone, has whatever it acknowledges
        world.machines["10.0.0.3:7680"].slow_link = 400.0
        call = order(world, first.name, 3, 4)
        at_once = call.status == TAKEN and call.ended - call.began < 400.0
        for name in ("10.0.0.1:7680", "10.0.0.2:7680"):
            world.kill(world.machines[name], power=True)
            world.machines[name].disk.wipe()
        left = world.machines["10.0.0.3:7680"].node
        assert left is not None
        known = [entry for entry in left.agreement.entries if entry.data]
        return at_once and left.state.version < 4 and len(known) < 2

    def test_an_acknowledged_order_is_held_outside_the_zone(self) -> None:
        self.assertEqual([self.lost_after_acknowledgement(seed, 1) for seed in range(SEEDS)], [False] * SEEDS)

    def test_without_the_rule_it_is_lost(self) -> None:
        self.assertTrue(any(self.lost_after_acknowledgement(seed, 0) for seed in range(SEEDS)))

    def test_a_silent_zone_does_not_stop_the_others(self) -> None:
        world = World(1, machines=3, tolerated=1, tolerated_domains=1)
        for machine in list(world.machines.values()):
            world.start(machine, True)
        self.assertEqual(order(world, "10.0.0.1:7680", 0, 3).status, TAKEN)
        world.kill(world.machines["10.0.0.3:7680"], power=True)
        self.assertEqual(order(world, "10.0.0.1:7680", 3, 4).status, TAKEN)

    def test_a_rule_that_waits_for_lost_zones_is_found(self) -> None:
        def waits(held: object, zones: object, silent: object, tolerated: int) -> int:
            return domain_quorum_index(held, zones, (), tolerated + 1)  # type: ignore[arg-type]

        with mock.patch.object(paced_agreement, "domain_quorum_index", waits):
            self.assertRaises(AssertionError, self.test_a_silent_zone_does_not_stop_the_others)


if __name__ == "__main__":
    unittest.main()
