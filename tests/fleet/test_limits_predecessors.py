"""Fallback shares remembered by peers, and injected bugs that simulations of the limits detect."""

import unittest
from typing import Any
from unittest import mock

from barleybarrow.limits import credit_client, members, predecessors
from barleybarrow.limits.lent import LentShare
from barleybarrow.limits.messages import CreditReport
from barleybarrow.limits.predecessors import NO_SHARE, HeldShare, PredecessorShares
from barleybarrow.limits.spans import STORED_SHARE_LIFETIME_MS
from tests.fleet.limits_schedules import repeated_restarts, run_and_check
from tests.fleet.limits_world import LimitsSimulation, token_tenant

MUTATION_SEEDS = range(360, 420)


class PeerShareTests(unittest.TestCase):
    """Lifetimes count from the sending of a ping, on the sender's clock."""

    def test_share_of_a_peer_is_remembered_until_it_expires(self) -> None:
        shares = PredecessorShares()
        shares.record_ping_ack("p", 1000.0, HeldShare(0.25, 10_500.0), released=False)
        self.assertEqual(shares.share_of(4000.0, "p"), HeldShare(0.25, 7000.0))
        self.assertEqual(shares.share_of(11_001.0, "p"), NO_SHARE)
        self.assertEqual(shares.share_of(4000.0, "other"), NO_SHARE)

    def test_next_incarnation_without_a_share_keeps_it_remembered(self) -> None:
        shares = PredecessorShares()
        shares.record_ping_ack("p", 1000.0, HeldShare(0.25, 10_500.0), released=False)
        shares.record_ping_ack("p", 2000.0, NO_SHARE, released=False)
        self.assertEqual(shares.share_of(4000.0, "p").fraction, 0.25)
        shares.record_ping_ack("p", 3000.0, NO_SHARE, released=True)
        self.assertEqual(shares.share_of(4000.0, "p"), NO_SHARE)

    def test_share_is_released_once_no_peer_remembers_it(self) -> None:
        shares = PredecessorShares()
        shares.record_ping(1000.0, "p", False, HeldShare(0.25, 10_000.0))
        self.assertFalse(shares.is_released(2000.0))
        shares.record_ping(2000.0, "p", True, NO_SHARE)  # the reply that releases it may be lost
        self.assertFalse(shares.is_released(2000.0))
        shares.record_ping(3000.0, "p", False, NO_SHARE)
        self.assertTrue(shares.is_released(3000.0))

    def test_share_of_the_previous_incarnation_counts(self) -> None:
        shares = PredecessorShares()
        shares.record_ping(1000.0, "p", True, NO_SHARE)
        self.assertFalse(shares.is_released(2000.0))

    def test_number_of_remembered_peers_is_bounded(self) -> None:
        shares = PredecessorShares()
        for number in range(predecessors.MAX_REMEMBERED_PEERS + 10):
            shares.record_ping_ack(f"p{number}", 0.0, HeldShare(0.1, 1000.0), released=False)
        self.assertEqual(shares.share_of(1.0, "p0"), NO_SHARE)
        self.assertEqual(shares.share_of(1.0, "p20").fraction, 0.1)


class ReservedShareTests(unittest.TestCase):
    """A share is reserved for its name for as long as the next incarnation may inherit it."""

    def planned_shares(self, now: float) -> dict[str, float]:
        """The plan after the proxy that held everything has restarted, and another proxy has joined."""
        members_state = members.Members(0.0, LentShare(0.0), STORED_SHARE_LIFETIME_MS)
        members_state.complete_at = 0.0
        members_state.handle_report(0.0, "one", CreditReport(1, 1, 1, 0, 0.0, []))
        members_state.may_raise, members_state.planned_shares = True, {"one": 1.0}
        members_state.assign_share(0.0, "one", members_state.members["one"], 1)
        members_state.handle_report(100.0, "one", CreditReport(2, 1, 1, 0, 0.0, []))
        members_state.assign_share(now, "one", members_state.members["one"], 1)
        members_state.set_held_share(members_state.members["one"], 0.0)
        members_state.handle_report(now, "other", CreditReport(3, 1, 1, 0, 0.0, []))
        members_state.assign_share(now, "other", members_state.members["other"], 1)
        members_state.remove_expired(now)
        plan = members_state.plan(now)
        assert plan is not None
        return plan

    def test_share_is_reserved_while_it_may_be_inherited(self) -> None:
        self.assertEqual(self.planned_shares(1000.0)["other"], 0.0)

    def test_reservation_ends_with_the_lifetime(self) -> None:
        self.assertEqual(self.planned_shares(1.1 * STORED_SHARE_LIFETIME_MS)["other"], 0.5)

    def test_inheritance_ends_with_the_lifetime(self) -> None:
        self.assertEqual(self.inherits_after(12_000.0), [True])
        self.assertEqual(self.inherits_after(1.1 * STORED_SHARE_LIFETIME_MS), [False])

    def inherits_after(self, pause_ms: float) -> list[bool]:
        """Whether a proxy that starts this long after the loss of the credit server inherits its share."""
        sim = LimitsSimulation(6, [token_tenant("t", 100_000.0)], seed=5, durable=True)
        sim.ping_loss_rate = sim.late_ping_rate = 0.0
        sim.run(8000.0)
        for name in sim.acceptors:
            sim.kill(name)
        sim.run(8000.0 + pause_ms - 1000.0)
        sim.kill("p0")
        sim.run(8000.0 + pause_ms)
        sim.start("p0")
        sim.run(sim.now + 2500.0)
        process = sim.processes["p0"]
        assert process.limits is not None
        return [process.limits.fallback_share(process.clock_time(sim.now))[0] > 0.0]


class InjectedBugTests(unittest.TestCase):
    """Each bug is detected by a simulation with one of `MUTATION_SEEDS`, or by the named test."""

    def assert_detected(self, owner: type, name: str, bug: Any) -> None:
        for seed in MUTATION_SEEDS:
            with mock.patch.object(owner, name, bug):
                if run_and_check(repeated_restarts(seed)):
                    return
        self.fail("the injected bug was not detected")

    def assert_test_fails(self, test: str, owner: type, name: str, bug: Any) -> None:
        with mock.patch.object(owner, name, bug):
            self.assertRaises(AssertionError, getattr(ReservedShareTests(test), test))

    def test_share_of_a_restarted_proxy_given_to_another(self) -> None:
        def reserve_predecessor_share(
            self: members.Members, member: members.Member, share: float, until: float
        ) -> None:
            return

        self.assert_test_fails(
            "test_share_is_reserved_while_it_may_be_inherited",
            members.Members,
            "reserve_predecessor_share",
            reserve_predecessor_share,
        )

    def test_remembered_share_that_never_expires(self) -> None:
        def share_of(self: PredecessorShares, now: float, peer: str) -> HeldShare:
            peer_share = self._peer_shares.get(peer)
            return HeldShare(peer_share.fraction, 20_000.0) if peer_share is not None else NO_SHARE

        self.assert_test_fails(
            "test_inheritance_ends_with_the_lifetime", PredecessorShares, "share_of", share_of
        )

    def test_share_inherited_in_addition_to_an_assigned_one(self) -> None:
        def inherit_fallback_share(
            self: credit_client.CreditClient, now: float, share: float, until: float
        ) -> None:
            self.fallback_share, self.fallback_share_until = (
                self.fallback_share + share,
                max(until, self.fallback_share_until),
            )

        self.assert_detected(credit_client.CreditClient, "inherit_fallback_share", inherit_fallback_share)


if __name__ == "__main__":
    unittest.main()
