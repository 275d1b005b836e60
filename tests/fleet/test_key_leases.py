"""StrictRevocation: leases on API keys, by themselves, in a fleet in virtual time, and planted faults."""

import asyncio
import logging
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from barleybarrow.replication.revocation_lease import MAX_CLOCK_DRIFT_RATIO, RevocationLease
from brackenusher.cluster import key_leases, messages
from brackenusher.cluster.frames import encode_frame
from brackenusher.cluster.key_leases import KeyLease
from brackenusher.control_plane.version_confirmations import VersionConfirmations
from tests.fleet.feed_world import ProxyProcess, make_configuration
from tests.fleet.lease_world import REVOKE_MS, LeaseSimulation, run_lease_faults
from tests.fleet.virtual_time import play

DAYS = 12
MOST_DAYS = 40  # until a planted fault shows
MOST_RENEWAL_BYTES = 60  # both messages of one, without TCP's own


def story(test: Callable[[Any, LeaseSimulation], Awaitable[None]]) -> Callable[[Any], None]:
    """A test that is played in a world of its own, with one version in force."""

    def run(self: Any) -> None:
        async def whole() -> None:
            world = LeaseSimulation(random.Random(1), proxy_count=2)
            world.start()
            world.commit(make_configuration(3))
            await asyncio.sleep(3.0)
            await test(self, world)
            self.assertEqual(world.network.errors, [])

        play(whole())

    return run


class LeaseTest(unittest.TestCase):
    """The lease by itself; clocks of two processes may differ by `DRIFT`."""

    def test_it_counts_from_the_question_and_the_age_that_was_told(self) -> None:
        lease = RevocationLease(5000.0)
        lease.on_applied(7)
        lease.on_confirmation(7, requested_at=1000.0, age_ms=300.0)
        ends = 1000.0 - 300.0 + 5000.0 / MAX_CLOCK_DRIFT_RATIO
        self.assertTrue(lease.is_valid(ends - 1.0))
        self.assertFalse(lease.is_valid(ends + 1.0))

    def test_a_newer_version_than_the_one_in_force_holds_once_it_is_taken(self) -> None:
        lease = RevocationLease(5000.0)
        lease.on_applied(7)
        lease.on_confirmation(8, requested_at=1000.0, age_ms=0.0)
        self.assertFalse(lease.is_valid(1001.0))
        lease.on_applied(8)
        self.assertTrue(lease.is_valid(1001.0))

    def test_a_confirmation_of_an_older_version_holds_as_well(self) -> None:
        lease = RevocationLease(5000.0)
        lease.on_applied(9)
        lease.on_confirmation(7, requested_at=1000.0, age_ms=0.0)
        self.assertTrue(lease.is_valid(1001.0))

    def test_an_older_confirmation_takes_nothing_back(self) -> None:
        lease = RevocationLease(5000.0)
        lease.on_applied(7)
        lease.on_confirmation(7, requested_at=4000.0, age_ms=0.0)
        lease.on_confirmation(7, requested_at=1000.0, age_ms=0.0)
        self.assertEqual(lease.current.as_of, 4000.0)

    def test_what_is_too_old_is_told_to_nobody(self) -> None:
        lease = RevocationLease(5000.0)
        lease.on_applied(7)
        lease.on_confirmation(7, requested_at=0.0, age_ms=0.0)
        self.assertEqual(lease.shareable_confirmation(4000.0), lease.current)
        self.assertIsNone(lease.shareable_confirmation(4900.0))

    def test_it_is_renewed_several_times_in_a_lease_also_where_that_is_short(self) -> None:
        self.assertLess(4 * RevocationLease(300.0).renewal_interval_ms, 300.0)
        self.assertEqual(RevocationLease(60_000.0).renewal_interval_ms, 1000.0)


class FleetTest(unittest.TestCase):
    """Proxies, control processes and links in virtual time."""

    async def cut_off(self, world: LeaseSimulation, proxy: ProxyProcess) -> None:
        for address in [*world.voters, *world.proxies]:
            if address != proxy.address:
                world.network.cut(proxy.address, address)

    @story
    async def test_a_proxy_that_is_cut_off_stops_in_time_and_goes_on_afterwards(
        self, world: LeaseSimulation
    ) -> None:
        proxy, other = world.proxies.values()
        lease = world.leases[proxy.address]
        self.assertTrue(lease.holds)
        await self.cut_off(world, proxy)
        await asyncio.sleep(REVOKE_MS / 1000.0)
        self.assertFalse(lease.holds)
        self.assertTrue(world.leases[other.address].holds, "the other is in touch")
        for one, two in sorted(world.network.cuts):
            world.network.heal(one, two)
        await asyncio.sleep(2.0)
        self.assertTrue(lease.holds)

    @story
    async def test_a_peer_passes_on_what_control_told_it(self, world: LeaseSimulation) -> None:
        proxy = next(iter(world.proxies.values()))
        for voter in world.voters:
            world.network.cut(proxy.address, voter)
        await asyncio.sleep(3 * REVOKE_MS / 1000.0)
        self.assertTrue(world.leases[proxy.address].holds)

    @story
    async def test_without_a_majority_all_leases_end(self, world: LeaseSimulation) -> None:
        for voter in world.voters[1:]:
            world.kill_control(voter)
        await asyncio.sleep(REVOKE_MS / 1000.0 + 1.0)
        self.assertEqual([lease.holds for lease in world.leases.values()], [False, False])

    @story
    async def test_many_questions_are_served_by_few_reads(self, world: LeaseSimulation) -> None:
        voter = world.voters[0]
        reads = 0
        confirm = world.controls[voter].shard.confirm

        async def counted(timeout_s: float) -> bool:
            nonlocal reads
            reads += 1
            return await confirm(timeout_s)

        world.controls[voter].shard.confirm = counted  # type: ignore[method-assign]
        asked = world.confirmations[voter]
        for number in range(400):
            asked._asked(f"10.7.0.{number}:7001", messages.VersionQuestion(number + 1))
            await asyncio.sleep(0.0025)
        self.assertLessEqual(reads, 6, "a second of questions from 400 proxies")
        self.assertLessEqual(len(asked._waiting), 400)

    def test_a_renewal_costs_few_bytes(self) -> None:
        question, answer = messages.VersionQuestion(2**60), messages.VersionAnswer(2**60, 10**9, 10**4)
        sizes = [len(encode_frame(message)) for message in (question, answer)]
        self.assertLess(sum(sizes), MOST_RENEWAL_BYTES)


def histories(seed: int, strict: bool = True) -> list[str]:
    """What the oracle finds on one day."""
    world = run_lease_faults(seed, strict)
    errors = [f"ERROR: {error!r}" for error in world.network.errors]
    return world.find_revoked() + world.refused_while_connected + world.left_without_lease + errors


class QuietTest(unittest.TestCase):
    """Days whose troubles would fill the log."""

    def setUp(self) -> None:
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)


class DaysTest(QuietTest):
    """Days drawn by chance: cuts, freezes, clocks of different rates, lost and late messages."""

    def test_no_key_is_used_after_its_time(self) -> None:
        for seed in range(DAYS):
            self.assertEqual(histories(seed), [], f"day {seed}")

    def test_where_the_rule_is_off_no_request_is_refused_and_nothing_is_asked(self) -> None:
        for seed in range(3):
            world = run_lease_faults(seed, strict=False)
            self.assertEqual(world.refused_while_connected + world.left_without_lease, [])
            self.assertTrue(all(not told.held.version for told in world.confirmations.values()))

    def test_the_days_are_hard_enough(self) -> None:
        """Where the rule is off, keys are used after their time: the oracle sees it."""
        self.assertTrue(any(run_lease_faults(seed, strict=False).find_revoked() for seed in range(DAYS)))


class PlantedTest(QuietTest):
    """The days find each of these faults."""

    def found(self, owner: Any, name: str, fault: Any) -> None:
        with mock.patch.object(owner, name, fault):
            shown = any(run_lease_faults(seed).find_revoked() for seed in range(MOST_DAYS))
        self.assertTrue(shown, "no day shows it")

    def test_a_lease_that_counts_from_the_answers_arrival(self) -> None:
        def confirmed(self: RevocationLease, version: int, requested_at: float, age_ms: float) -> None:
            honest(self, version, arrived_at[0], age_ms)

        honest, arrived_at = RevocationLease.on_confirmation, [0.0]
        handle_answer, peer_answered = KeyLease._handle_version_answer, KeyLease.peer_answered

        def noting(method: Any) -> Any:
            def wrapper(self: KeyLease, *arguments: Any) -> None:
                arrived_at[0] = self._now()
                method(self, *arguments)

            return wrapper

        with (
            mock.patch.object(KeyLease, "peer_answered", noting(peer_answered)),
            mock.patch.object(KeyLease, "_handle_version_answer", noting(handle_answer)),
        ):
            self.found(RevocationLease, "on_confirmation", confirmed)

    def test_a_member_that_is_behind_and_confirms_by_what_it_has(self) -> None:
        async def confirm(self: VersionConfirmations) -> None:
            with mock.patch.object(self._config_shard, "confirm", believing):
                await honest(self)

        async def believing(timeout_s: float) -> bool:
            return True

        honest = VersionConfirmations._confirm
        self.found(VersionConfirmations, "_confirm", confirm)

    def test_a_lease_that_is_kept_through_a_freeze(self) -> None:
        """The answer is worked out by the timer, and requests that come after a freeze find the old one."""
        honest_tick, honest_holds = KeyLease.tick, KeyLease.holds.fget
        assert honest_holds is not None
        last: dict[int, bool] = {}

        def tick(self: KeyLease, sources: list[str]) -> None:
            last[id(self)] = honest_holds(self)
            honest_tick(self, sources)

        with mock.patch.object(KeyLease, "tick", tick):
            self.found(KeyLease, "holds", property(lambda self: last.get(id(self), False)))

    def test_a_peer_that_leaves_the_age_out(self) -> None:
        def fields(confirmation: Any, now: float) -> tuple[int, int]:
            return confirmation.version, 1

        self.found(key_leases, "confirmation_fields", fields)

    def test_a_version_that_is_not_in_force_yet_counts(self) -> None:
        def confirmed(self: RevocationLease, version: int, requested_at: float, age_ms: float) -> None:
            honest(self, 0, requested_at, age_ms)

        honest = RevocationLease.on_confirmation
        self.found(RevocationLease, "on_confirmation", confirmed)


if __name__ == "__main__":
    unittest.main()
