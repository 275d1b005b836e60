"""Bugs that are planted into the limits are found by the checks of their worlds in virtual time."""

import unittest
from collections.abc import Callable
from unittest import mock

from barleybarrow.limits import (
    bounds,
    credit_client,
    credit_ledger,
    credit_machine,
    floors,
    members,
    messages,
    spans,
    warden_lease,
)
from tests.fleet.limits_schedules import LENGTH, broken, troubled_world
from tests.fleet.limits_world import Demand, World, token_tenant

BUG_SEEDS = range(60)


class PlantedBugs(unittest.TestCase):
    """Each bug is one that the design guards against; the checks of `WhateverFails` must find it."""

    def assert_found(self, patch: Callable[[], object], word: str) -> None:
        for seed in BUG_SEEDS:
            with patch():  # type: ignore[attr-defined]
                found = broken(troubled_world(seed, LENGTH))
            if found:
                self.assertIn(word, found)
                return
        self.fail("the planted bug was not found")

    def test_credit_that_never_ends(self) -> None:
        original = credit_client.CreditClient.answer

        def answer(self: credit_client.CreditClient, now: float, m: messages.CreditAnswer) -> None:
            original(self, now, m)
            self.valid_until = now + 1e9

        self.assert_found(lambda: mock.patch.object(credit_client.CreditClient, "answer", answer), "")

    def test_warden_that_writes_credit_off_too_soon(self) -> None:
        def silent(self: members.Members, now: float) -> list[str]:
            return [name for name, member in self.members.items() if now > member.answered_at + 100.0]

        self.assert_found(lambda: mock.patch.object(members.Members, "silent", silent), "held")

    def test_new_warden_that_begins_with_full_buckets(self) -> None:
        def first_level(self: credit_ledger.CreditLedger, limit: bounds.KeyLimit) -> float:
            return limit.capacity

        self.assertLessEqual(self.warden_after_warden(), 0.0)
        with mock.patch.object(credit_ledger.CreditLedger, "first_level", first_level):
            self.assertGreater(self.warden_after_warden(), 0.0)

    def warden_after_warden(self) -> float:
        """Each warden ends after a second, and much is asked of it; the excess over the bound."""
        world = World(5, [token_tenant("hot", 100_000.0, 200_000.0)])
        world.run(6000.0)
        for _ in range(12):
            burst = (world.now + 450.0, world.now + 700.0)
            world.demand(Demand("hot", 900.0, (500.0, 5000.0), start=burst[0], end=burst[1]))
            world.run(burst[1] + 350.0)
            for name in world.wardens():
                process = world.processes[name]
                assert process.machine is not None
                process.machine.resign(process.clock(world.now))
                world.flush(process)
        return world.excess("hot")

    def test_new_warden_that_raises_buckets_beside_old_credit(self) -> None:
        original = credit_ledger.CreditLedger.raise_level

        def raise_level(self, account, limit, gained):  # type: ignore[no-untyped-def]
            hidden, self.old_credit_is_over = self.old_credit_is_over, True
            original(self, account, limit, gained)
            self.old_credit_is_over = hidden

        self.lose_warden_while_credit_is_held()
        with mock.patch.object(credit_ledger.CreditLedger, "raise_level", raise_level):
            self.assertRaisesRegex(AssertionError, "spendable", self.lose_warden_while_credit_is_held)

    def lose_warden_while_credit_is_held(self) -> None:
        """Wardens are killed while proxies hold all credit that they may, and ask for little then."""
        slack = bounds.LimitBounds(quota_slack=72_000.0)
        for seed in range(8):
            world = World(10, [token_tenant("one", 400_000.0)], seed=seed, bounds=slack, durable=True)
            world.demand(Demand("one", 60.0, (2_000.0, 9_000.0), start=4_000.0, end=9_990.0))
            world.demand(Demand("one", 20.0, (100.0, 101.0), start=9_990.0))
            world.run(10_000.0)
            world.kill(world.wardens()[0])
            for step in range(100):
                world.run(10_000.0 + 20.0 * step)
                world.check()

    def test_bucket_that_fills_whatever_is_outstanding(self) -> None:
        original = credit_ledger.CreditLedger.account

        def account(self, now, key, limit):  # type: ignore[no-untyped-def]
            found = self.accounts.get(key)
            hidden = found.outstanding if found is not None else 0.0
            if found is not None:
                found.outstanding = 0.0
            found = original(self, now, key, limit)
            found.outstanding += hidden
            return found

        self.assert_found(
            lambda: mock.patch.object(credit_ledger.CreditLedger, "account", account), "spendable"
        )

    def test_proxy_that_falls_back_before_the_warden_leaves_its_base(self) -> None:
        original = credit_client.CreditClient.answer

        def answer(self: credit_client.CreditClient, now: float, m: messages.CreditAnswer) -> None:
            original(self, now, m)
            self.fall_at = min(self.fall_at, now + 300.0)

        self.assert_found(lambda: mock.patch.object(credit_client.CreditClient, "answer", answer), "lent")

    def test_base_raised_before_others_gave_it_up(self) -> None:
        def base_for(self: members.Members, member: members.Member, name: str) -> float:
            return 1.0 / len(self.members)

        self.assert_found(lambda: mock.patch.object(members.Members, "base_for", base_for), "add up")

    def test_base_raised_before_a_majority_remembers(self) -> None:
        def commit(
            self: credit_machine.CreditMachine,
            now: float,
            books: credit_machine.Term,
            plan: dict[str, float],
        ) -> None:
            books.version += 1
            books.entries = books.members.roster(plan)
            books.members.planned, books.members.raising = plan, True
            self.kept = messages.KeptRoster(True, books.version, books.entries)

        self.assert_found(lambda: mock.patch.object(credit_machine.CreditMachine, "commit", commit), "add up")

    def test_credit_without_a_bound(self) -> None:
        original = credit_ledger.CreditLedger.grant_need

        def grant_need(self, account, limit, *rest):  # type: ignore[no-untyped-def]
            hidden, account.outstanding = account.outstanding, 0.0
            result = original(self, account, limit, *rest)
            account.outstanding += hidden
            return result

        self.assert_found(
            lambda: mock.patch.object(credit_ledger.CreditLedger, "grant_need", grant_need), "outstanding"
        )

    def test_base_that_outlives_its_time(self) -> None:
        original = credit_client.CreditClient.answer

        def answer(self: credit_client.CreditClient, now: float, m: messages.CreditAnswer) -> None:
            original(self, now, m)
            self.base_until = now + 1e9

        patch = mock.patch.object(credit_client.CreditClient, "answer", answer)
        for seed in BUG_SEEDS:
            world = troubled_world(seed, LENGTH)
            world.at(6000.0, "call", "cut_off", world.proxies[0])
            try:
                with patch:
                    world.run(LENGTH + spans.BASE_LIFE)
            except AssertionError as error:
                self.assertIn("add up", str(error))
                return
        self.fail("the planted bug was not found")

    def test_fallback_bucket_that_is_full_from_the_start(self) -> None:
        def fall_back(self, now, entry, limit, cost):  # type: ignore[no-untyped-def]
            if entry.level_at < self.fall_at:
                entry.level, entry.level_at = self.base * limit.capacity, self.fall_at
            return original(self, now, entry, limit, cost)

        original = credit_client.CreditClient.fall_back
        self.assert_found(lambda: mock.patch.object(credit_client.CreditClient, "fall_back", fall_back), "")

    def test_warden_that_goes_on_after_its_lease(self) -> None:
        original = warden_lease.WardenLease.count

        def count(self: warden_lease.WardenLease, now: float) -> None:
            original(self, now)
            self.lease_end += 600.0

        self.assert_found(lambda: mock.patch.object(warden_lease.WardenLease, "count", count), "wardens")

    def test_keeper_that_forgets_its_promise_when_it_starts(self) -> None:
        original = warden_lease.WardenLease.__init__

        def init(self, *args, **kwargs):  # type: ignore[no-untyped-def]
            original(self, *args, **kwargs)
            self.promised_until = 0.0

        self.assertEqual(self.restarted_keeper(), "")
        with mock.patch.object(warden_lease.WardenLease, "__init__", init):
            self.assertIn("wardens", self.restarted_keeper())

    def test_promise_that_counts_before_it_is_stored(self) -> None:
        original = credit_machine.CreditMachine.promise_made

        def promise_made(self: credit_machine.CreditMachine, now: float, name: str, token: int) -> None:
            original(self, now, name, token)
            self.confirm_promise(now, name, token)

        self.assertEqual(self.promise_lost_with_the_power(), "")
        with mock.patch.object(credit_machine.CreditMachine, "promise_made", promise_made):
            self.assertIn("wardens", self.promise_lost_with_the_power())

    def promise_lost_with_the_power(self) -> str:
        """A second warden is elected with a witness that loses power while its disk is slow."""
        for seed in range(8):
            world = World(3, [token_tenant("under", 100_000.0)], seed=seed, durable=True)
            world.at(0.0, "check", 10.0)
            world.run(5000.0)
            first = world.wardens()[0]
            witness, second = (name for name in world.keepers if name != first)
            world.sync_ms = 30.0
            world.cut_off(first)
            while second not in world.wardens() and world.now < 9000.0:
                world.run(world.now + 1.0)
            world.kill(witness)
            world.cut_off(second)
            world.join(first)
            world.start(witness)
            try:
                world.run(world.now + 1000.0)
            except AssertionError as error:
                return str(error)
        return ""

    def test_bucket_below_its_floor_before_keepers_know(self) -> None:
        self.assertEqual(self.killed_again_and_again(), "")
        with mock.patch.object(floors.Floors, "may_drain", lambda self, key: True):
            with mock.patch.object(floors.Floors, "drain", lambda self, now, key: None):
                self.assertIn("over the bound", self.killed_again_and_again())

    def test_buckets_that_count_as_full_whatever_the_keepers_remember(self) -> None:
        with mock.patch.object(floors.Floors, "was_drained", lambda self, key: False):
            self.assertIn("over the bound", self.killed_again_and_again())

    def killed_again_and_again(self) -> str:
        """A tenant far over its limit, and all processes killed each 1.2 s, in several worlds."""
        for seed in range(4):
            world = World(8, [token_tenant("hot", 100_000.0)], seed=seed, durable=True)
            world.demand(Demand("hot", 150.0, (1000.0, 10_000.0), start=4000.0))
            world.at(0.0, "check", 20.0)
            for round_ in range(6):
                for name in [*world.keepers, *world.proxies]:
                    world.at(9000.0 + 1200.0 * round_, "call", "kill", name)
                    world.at(9100.0 + 1200.0 * round_, "call", "start", name)
            if found := broken(world):
                return found
        return ""

    def restarted_keeper(self) -> str:
        """The warden is cut off; the one keeper that it had starts again and is asked by another."""
        for seed in range(12):
            world = World(3, [token_tenant("under", 100_000.0)], seed=seed)
            world.at(0.0, "check", 10.0)
            world.run(5000.0)
            first = world.wardens()[0]
            witness, other = (name for name in world.keepers if name != first)
            world.cut_off(other)
            world.run(10_000.0)
            world.kill(witness)
            world.cut_off(first)
            world.start(witness)
            world.join(other)
            try:
                world.run(14_000.0)
            except AssertionError as error:
                return str(error)
        return ""


if __name__ == "__main__":
    unittest.main()
