"""What peers remember of a proxy's base, and bugs planted there that the worlds of the limits find."""

import unittest
from typing import Any
from unittest import mock

from barleybarrow.limits import credit_client, members, predecessors
from barleybarrow.limits.lent import LentFraction
from barleybarrow.limits.messages import CreditReport
from barleybarrow.limits.predecessors import NO_BASE, HeldBase, PredecessorBases
from barleybarrow.limits.spans import BASE_LIFE_STORED
from tests.fleet.limits_schedules import broken, coming_and_going
from tests.fleet.limits_world import World, token_tenant

BUG_SEEDS = range(360, 420)


class RememberedTest(unittest.TestCase):
    """Times count from the question, on the asking side's clock."""

    def test_what_a_peer_held_is_told_for_the_rest_of_its_time(self) -> None:
        bases = PredecessorBases()
        bases.told("p", 1000.0, HeldBase(0.25, 10_500.0), released=False)
        self.assertEqual(bases.remembered(4000.0, "p"), HeldBase(0.25, 7000.0))
        self.assertEqual(bases.remembered(11_001.0, "p"), NO_BASE)
        self.assertEqual(bases.remembered(4000.0, "other"), NO_BASE)

    def test_a_next_life_that_holds_nothing_yet_leaves_it(self) -> None:
        bases = PredecessorBases()
        bases.told("p", 1000.0, HeldBase(0.25, 10_500.0), released=False)
        bases.told("p", 2000.0, NO_BASE, released=False)
        self.assertEqual(bases.remembered(4000.0, "p").part, 0.25)
        bases.told("p", 3000.0, NO_BASE, released=True)
        self.assertEqual(bases.remembered(4000.0, "p"), NO_BASE)

    def test_released_once_no_peer_remembers(self) -> None:
        bases = PredecessorBases()
        bases.pinged(1000.0, "p", False, HeldBase(0.25, 10_000.0))
        self.assertFalse(bases.is_released(2000.0))
        bases.pinged(2000.0, "p", True, NO_BASE)  # the answer that gives it up may be lost
        self.assertFalse(bases.is_released(2000.0))
        bases.pinged(3000.0, "p", False, NO_BASE)
        self.assertTrue(bases.is_released(3000.0))

    def test_what_peers_remember_of_the_life_before_counts(self) -> None:
        bases = PredecessorBases()
        bases.pinged(1000.0, "p", True, NO_BASE)
        self.assertFalse(bases.is_released(2000.0))

    def test_memory_is_bounded(self) -> None:
        bases = PredecessorBases()
        for number in range(predecessors.MOST_REMEMBERED + 10):
            bases.told(f"p{number}", 0.0, HeldBase(0.1, 1000.0), released=False)
        self.assertEqual(bases.remembered(1.0, "p0"), NO_BASE)
        self.assertEqual(bases.remembered(1.0, "p20").part, 0.1)


class ReservedTest(unittest.TestCase):
    """What a name held is given to nobody else for as long as its next process may take it up."""

    def planned(self, now: float) -> dict[str, float]:
        """The plan after the holder of all has started anew, and another proxy has come."""
        books = members.Members(0.0, LentFraction(0.0), BASE_LIFE_STORED)
        books.known_at = 0.0
        books.hear(0.0, "one", CreditReport(1, 1, 1, 0, 0.0, []))
        books.raising, books.planned = True, {"one": 1.0}
        books.tell(0.0, "one", books.members["one"], 1)
        books.hear(100.0, "one", CreditReport(2, 1, 1, 0, 0.0, []))
        books.tell(now, "one", books.members["one"], 1)
        books.set_held(books.members["one"], 0.0)
        books.hear(now, "other", CreditReport(3, 1, 1, 0, 0.0, []))
        books.tell(now, "other", books.members["other"], 1)
        books.forget(now)
        plan = books.plan(now)
        assert plan is not None
        return plan

    def test_while_it_may_be_taken_up(self) -> None:
        self.assertEqual(self.planned(1000.0)["other"], 0.0)

    def test_not_for_longer(self) -> None:
        self.assertEqual(self.planned(1.1 * BASE_LIFE_STORED)["other"], 0.5)

    def test_the_world_ends_it_in_time(self) -> None:
        self.assertEqual(self.taken_up_after(12_000.0), [True])
        self.assertEqual(self.taken_up_after(1.1 * BASE_LIFE_STORED), [False])

    def taken_up_after(self, pause: float) -> list[bool]:
        """Whether a proxy that starts so long after the last warden takes up what it held."""
        world = World(6, [token_tenant("t", 100_000.0)], seed=5, durable=True)
        world.ping_loss = world.late_pings = 0.0
        world.run(8000.0)
        for name in world.keepers:
            world.kill(name)
        world.run(8000.0 + pause - 1000.0)
        world.kill("p0")
        world.run(8000.0 + pause)
        world.start("p0")
        world.run(world.now + 2500.0)
        process = world.processes["p0"]
        assert process.machine is not None
        return [process.machine.base(process.clock(world.now))[0] > 0.0]


class PlantedTest(unittest.TestCase):
    """Each is found within the histories of `BUG_SEEDS`."""

    def assert_found(self, owner: type, name: str, bug: Any) -> None:
        for seed in BUG_SEEDS:
            with mock.patch.object(owner, name, bug):
                if broken(coming_and_going(seed)):
                    return
        self.fail("the planted bug was not found")

    def assert_test_fails(self, test: str, owner: type, name: str, bug: Any) -> None:
        with mock.patch.object(owner, name, bug):
            self.assertRaises(AssertionError, getattr(ReservedTest(test), test))

    def test_a_warden_that_gives_the_part_of_a_restarted_proxy_away(self) -> None:
        def keep_floor(self: members.Members, member: members.Member, floor: float, until: float) -> None:
            return

        self.assert_test_fails("test_while_it_may_be_taken_up", members.Members, "keep_floor", keep_floor)

    def test_memory_that_outlives_its_time(self) -> None:
        def remembered(self: PredecessorBases, now: float, peer: str) -> HeldBase:
            known = self._remembered.get(peer)
            return HeldBase(known.part, 20_000.0) if known is not None else NO_BASE

        self.assert_test_fails("test_the_world_ends_it_in_time", PredecessorBases, "remembered", remembered)

    def test_taken_up_beside_what_a_warden_gave(self) -> None:
        def inherit(self: credit_client.CreditClient, now: float, base: float, until: float) -> None:
            self.base, self.base_until = self.base + base, max(until, self.base_until)

        self.assert_found(credit_client.CreditClient, "inherit", inherit)


if __name__ == "__main__":
    unittest.main()
