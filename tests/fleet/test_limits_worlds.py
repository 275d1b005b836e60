"""Limits over a whole fleet in virtual time: the bounds hold in every window, whatever fails.

Who asks for less than the limit is hardly ever refused. Bugs that are planted into the machines are found
by the same checks.
"""

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
from tests.fleet.limits_world import Demand, World, token_tenant, troubled_world

LENGTH = 20_000.0
SEEDS = range(40)
BUG_SEEDS = range(60)
BIG_COST = (2000.0, 25_000.0)  # tokens of a request, least and most
LARGE_BELOW = 0.958  # of requests cost less than 0.9 of the most
MEAN_BIG_COST = 9100.0  # of costs whose logarithms are even between these


def broken(world: World) -> str:
    """What goes wrong in a troubled world; empty: nothing."""
    try:
        world.run(LENGTH)
    except AssertionError as error:
        return str(error)
    for name in world.tenants:
        if world.excess(name) > 0.0:
            return f"{name}: {world.excess(name)} over the bound"
    if world.retry_excess() > 0.0:
        return f"retries: {world.retry_excess()} over the budget"
    return ""


class WhateverFails(unittest.TestCase):
    def test_every_window_keeps_the_bounds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(broken(troubled_world(seed, LENGTH)), "")

    def test_keepers_with_disks_killed_again_and_again(self) -> None:
        for seed in range(200, 212):
            with self.subTest(seed=seed):
                world = troubled_world(seed, LENGTH, pause=3000.0, lossy=False)
                world.durable = True
                for at in (7000.0, 8300.0, 9500.0, 12_000.0):
                    for index, name in enumerate(world.keepers):
                        world.at(at, "call", "kill", name)
                        world.at(at + 300.0 + 150.0 * index, "call", "start", name)
                self.assertEqual(broken(world), "")

    def test_all_keepers_killed_at_once(self) -> None:
        for seed in range(100, 108):
            with self.subTest(seed=seed):
                world = troubled_world(seed, LENGTH, pause=4000.0, lossy=False)
                world.durable = bool(seed % 2)
                for name in world.keepers:
                    world.at(9000.0, "call", "kill", name)
                    world.at(9900.0, "call", "start", name)
                self.assertEqual(broken(world), "")

    def test_keepers_that_are_replaced(self) -> None:
        for seed in range(200, 215):
            with self.subTest(seed=seed):
                world = troubled_world(seed, LENGTH, pause=4000.0)
                for at in (7000.0, 10_000.0, 13_000.0):
                    world.at(
                        at + 500.0 * world.rng.random(), "call", "replace_keeper", f"c{at // 3000 - 2:.0f}"
                    )
                self.assertEqual(broken(world), "")


class RostersAreRepaired(unittest.TestCase):
    """What keepers remember of the proxies' bases, after some of them have missed or forgotten it."""

    def test_a_keeper_that_was_cut_off_while_a_plan_was_taken_learns_it_later(self) -> None:
        world = World(3, [token_tenant("under", 100_000.0)], seed=3, durable=True)
        world.run(3000.0)
        warden = world.wardens()[0]
        late = next(name for name in world.keepers if name != warden)
        world.cut_off(late)
        world.kill("p1")
        world.run(5000.0)
        world.start("p1")
        world.run(9000.0)
        world.join(late)
        world.run(11_000.0)
        versions = {
            name: process.machine.machine.kept.version
            for name, process in world.processes.items()
            if name in world.keepers and process.machine is not None
        }
        self.assertEqual(set(versions.values()), {max(versions.values())}, versions)
        self.assertGreater(max(versions.values()), 1)

    def test_all_that_forgot_everything_grant_whole_limits_well_within_twelve_seconds(self) -> None:
        world = World(3, [token_tenant("under", 100_000.0)], seed=4)
        world.run(4000.0)
        for name in [*world.keepers, *world.proxies]:
            world.kill(name)
        world.run(4900.0)
        for name in [*world.keepers, *world.proxies]:
            world.start(name)
        world.run(4900.0 + 11_000.0)
        self.assertGreater(world.lent(), 0.99)


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


class Refusals(unittest.TestCase):
    """A tenant below its limit is hardly ever refused, one above it gets its limit."""

    def world(self, proxies: int, total: float, even: bool = False) -> World:
        tenants = [token_tenant("hot", total * 0.1), token_tenant("under", total * 0.1)]
        world = World(proxies, tenants, bounds=bounds.LimitBounds(quota_slack=72_000.0))
        weights = [1.0 if even else world.rng.paretovariate(1.5) for _ in range(proxies)]
        usual = total * 0.1 / MEAN_BIG_COST
        world.demand(Demand("hot", 6.0 * usual, BIG_COST, weights, start=4000.0))
        world.demand(Demand("under", usual / 1.3, BIG_COST, weights, start=4000.0))
        return world

    def test_calm_fleets(self) -> None:
        for proxies, total in ((10, 2e6), (83, 4.6e6)):
            with self.subTest(proxies=proxies):
                world = self.world(proxies, total)
                world.run(24_000.0)
                under, hot = world.tally["under"], world.tally["hot"]
                self.assertLess(under.refused_share, 0.002)
                self.assertLess(sorted(under.waits)[int(0.99 * len(under.waits))], 15.0)
                admitted = sum(cost for _, cost in hot.admitted) / 20.0 / world.tenants["hot"].rate_per_s
                self.assertGreater(admitted, 0.98)
                self.assertLessEqual(world.excess("hot"), 0.0)

    def test_large_requests_are_admitted_as_small_ones_are(self) -> None:
        for rate in (18_000.0, 200_000.0):
            with self.subTest(rate=rate):
                world = World(
                    10, [token_tenant("hot", rate)], bounds=bounds.LimitBounds(quota_slack=72_000.0)
                )
                world.demand(Demand("hot", 5.0 * rate / MEAN_BIG_COST, BIG_COST, start=4000.0))
                world.run(64_000.0)
                tally = world.tally["hot"]
                large = 0.9 * BIG_COST[1]
                asked_large = tally.asked * (1.0 - LARGE_BELOW)
                admitted_large = sum(cost > large for _, cost in tally.admitted)
                share = len(tally.admitted) / tally.asked
                self.assertGreater(admitted_large / asked_large, 0.4 * share)

    def test_all_demand_moves_to_one_proxy(self) -> None:
        world = World(10, [token_tenant("under", 200_000.0)], bounds=bounds.LimitBounds(quota_slack=72_000.0))
        for index, name in enumerate(world.proxies[:4]):
            weights = [float(other == name) for other in world.proxies]
            start = 4000.0 + 4000.0 * index
            world.demand(Demand("under", 16.0, BIG_COST, weights, start=start, end=start + 4000.0))
        world.run(21_000.0)
        self.assertLess(world.tally["under"].refused_share, 0.01)

    def test_killed_warden(self) -> None:
        world = self.world(10, 2e6)
        world.run(10_000.0)
        first = world.wardens()[0]
        before = world.tally["under"].asked, world.tally["under"].refused
        world.kill(first)
        world.run(11_500.0)
        self.assertEqual(len(world.wardens()), 1)
        world.run(20_000.0)
        after = world.tally["under"]
        self.assertLess((after.refused - before[1]) / (after.asked - before[0]), 0.2)
        self.assertLessEqual(world.excess("hot"), 0.0)

    def test_proxies_that_are_cut_off_use_their_base(self) -> None:
        world = self.world(10, 2e6, even=True)
        world.run(10_000.0)
        before = world.tally["under"].asked, world.tally["under"].refused
        for name in world.proxies[:2]:
            world.cut_off(name)
            world.at(16_000.0, "call", "join", name)
        world.run(20_000.0)
        after = world.tally["under"]
        self.assertLess((after.refused - before[1]) / (after.asked - before[0]), 0.12)
        self.assertLessEqual(world.excess("hot"), 0.0)

    def test_stored_rosters_make_the_limits_whole_at_once(self) -> None:
        lent = {}
        for durable in (False, True):
            world = World(10, [token_tenant("under", 100_000.0)], durable=durable)
            world.run(8000.0)
            for name in [*world.keepers, *world.proxies[:3]]:
                world.kill(name)
                world.at(8900.0, "call", "start", name)
            world.run(13_000.0)
            lent[durable] = world.lent()
        self.assertLess(lent[False], 0.75)  # parts of the three may still be held by somebody
        self.assertGreater(lent[True], 0.999)

    def test_after_all_were_killed_the_same_warden_follows_at_once(self) -> None:
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                world = World(10, [token_tenant("under", 100_000.0)], seed=seed, durable=True)
                world.run(8000.0)
                before = world.wardens()
                for name in [*world.keepers, *world.proxies]:
                    world.kill(name)
                    world.at(8900.0, "call", "start", name)
                world.run(9200.0)
                self.assertEqual(world.wardens(), before)

    def test_nobody_below_the_limit_is_refused_after_all_were_killed(self) -> None:
        for rate, per_s, cost in ((436_000.0, 36.0, BIG_COST), (18_000.0, 5.0, (300.0, 5000.0))):
            with self.subTest(rate=rate):
                world = World(11, [token_tenant("under", rate)], durable=True)
                world.demand(Demand("under", per_s, cost, start=4000.0))
                world.run(10_000.0)
                for name in [*world.keepers, *world.proxies]:
                    world.kill(name)
                    world.at(11_000.0, "call", "start", name)
                world.run(11_100.0)
                before = world.tally["under"].refused
                world.run(13_000.0)
                self.assertEqual(world.tally["under"].refused, before)

    def test_lower_limit_binds_at_once(self) -> None:
        world = self.world(10, 2e6)
        world.run(10_000.0)
        world.set_tenant(token_tenant("hot", 50_000.0))
        world.run(12_000.0)
        world.tally["hot"].admitted.clear()
        world.run(24_000.0)
        self.assertLessEqual(world.excess("hot"), 0.0)

    def test_planned_end_of_proxies_gives_their_parts_back(self) -> None:
        world = self.world(10, 2e6)
        world.run(10_000.0)
        for name in world.proxies[:4]:
            process = world.processes[name]
            assert process.machine is not None
            process.machine.resign(process.clock(world.now))
            world.flush(process)
            self.assertFalse(process.machine.admit(process.clock(world.now), world.tenants["under"], 1.0))
        world.run(10_100.0)
        for name in world.proxies[:4]:
            world.kill(name)
        world.run(13_000.0)
        self.assertGreater(world.lent(), 0.999)

    def test_planned_end_of_the_warden_leaves_no_gap(self) -> None:
        world = self.world(10, 2e6)
        world.run(10_000.0)
        first = world.processes[world.wardens()[0]]
        assert first.machine is not None
        first.machine.resign(first.clock(world.now))
        world.flush(first)
        world.kill(first.name)
        world.run(10_500.0)
        self.assertEqual(len(world.wardens()), 1)


class Spans(unittest.TestCase):
    def test_they_fit_each_other(self) -> None:
        heard_late = 2.0 * spans.REPORT_MOST + spans.SOON
        self.assertLess(heard_late * warden_lease.DRIFT, spans.FALL / warden_lease.DRIFT)
        self.assertLess(spans.REPORT_MOST * 2.0, spans.CREDIT_LIFE)
        self.assertLess(spans.LEASE_TIMES.renew * 3.0, spans.LEASE_TIMES.lease)


if __name__ == "__main__":
    unittest.main()
