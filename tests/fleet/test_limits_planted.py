"""Bugs injected into the shared limits are detected by the checks of their simulations."""

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
from tests.fleet.limits_schedules import SIMULATION_MS, random_faults, run_and_check
from tests.fleet.limits_world import Demand, LimitsSimulation, token_tenant

MUTATION_SEEDS = range(60)


class InjectedBugTests(unittest.TestCase):
    """Each bug is one that the design guards against; the checks of a simulation must detect it."""

    def assert_detected(self, patch: Callable[[], object], expected_text: str) -> None:
        for seed in MUTATION_SEEDS:
            with patch():  # type: ignore[attr-defined]
                problem = run_and_check(random_faults(seed, SIMULATION_MS))
            if problem:
                self.assertIn(expected_text, problem)
                return
        self.fail("the injected bug was not detected")

    def test_credit_that_never_expires(self) -> None:
        original = credit_client.CreditClient.handle_reply

        def handle_reply(self: credit_client.CreditClient, now: float, reply: messages.CreditReply) -> None:
            original(self, now, reply)
            self.credit_valid_until = now + 1e9

        self.assert_detected(
            lambda: mock.patch.object(credit_client.CreditClient, "handle_reply", handle_reply), ""
        )

    def test_credit_written_off_too_early(self) -> None:
        def take_expired(self: members.Members, now: float) -> list[str]:
            return [name for name, member in self.members.items() if now > member.last_reply_at + 100.0]

        self.assert_detected(lambda: mock.patch.object(members.Members, "take_expired", take_expired), "held")

    def test_new_credit_server_starts_with_full_buckets(self) -> None:
        def initial_level(self: credit_ledger.CreditLedger, limit: bounds.KeyLimit) -> float:
            return limit.capacity

        self.assertLessEqual(self.excess_over_successive_servers(), 0.0)
        with mock.patch.object(credit_ledger.CreditLedger, "initial_level", initial_level):
            self.assertGreater(self.excess_over_successive_servers(), 0.0)

    def excess_over_successive_servers(self) -> float:
        """Excess over the bound while each credit server resigns after a second under high load."""
        sim = LimitsSimulation(5, [token_tenant("hot", 100_000.0, 200_000.0)])
        sim.run(6000.0)
        for _ in range(12):
            burst = (sim.now + 450.0, sim.now + 700.0)
            sim.add_demand(Demand("hot", 900.0, (500.0, 5000.0), starts_at=burst[0], ends_at=burst[1]))
            sim.run(burst[1] + 350.0)
            for name in sim.credit_servers():
                process = sim.processes[name]
                assert process.limits is not None
                process.limits.resign(process.clock_time(sim.now))
                sim.flush(process)
        return sim.excess_share("hot")

    def test_buckets_refilled_without_room_for_prior_credit(self) -> None:
        original = credit_ledger.CreditLedger.refill

        def refill(self, account, limit, gain):  # type: ignore[no-untyped-def]
            saved, self.prior_credit_expired = self.prior_credit_expired, True
            original(self, account, limit, gain)
            self.prior_credit_expired = saved

        self.kill_servers_while_credit_is_held()
        with mock.patch.object(credit_ledger.CreditLedger, "refill", refill):
            self.assertRaisesRegex(AssertionError, "spendable", self.kill_servers_while_credit_is_held)

    def kill_servers_while_credit_is_held(self) -> None:
        """Kill credit servers while proxies hold the maximum of credit and then ask for little."""
        limit_bounds = bounds.LimitBounds(quota_slack=72_000.0)
        for seed in range(8):
            sim = LimitsSimulation(
                10, [token_tenant("one", 400_000.0)], seed=seed, bounds=limit_bounds, durable=True
            )
            sim.add_demand(Demand("one", 60.0, (2_000.0, 9_000.0), starts_at=4_000.0, ends_at=9_990.0))
            sim.add_demand(Demand("one", 20.0, (100.0, 101.0), starts_at=9_990.0))
            sim.run(10_000.0)
            sim.kill(sim.credit_servers()[0])
            for step in range(100):
                sim.run(10_000.0 + 20.0 * step)
                sim.check_invariants()

    def test_bucket_refilled_regardless_of_outstanding_credit(self) -> None:
        original = credit_ledger.CreditLedger.refreshed_account

        def refreshed_account(self, now, key, limit):  # type: ignore[no-untyped-def]
            account = self.accounts.get(key)
            saved = account.outstanding if account is not None else 0.0
            if account is not None:
                account.outstanding = 0.0
            account = original(self, now, key, limit)
            account.outstanding += saved
            return account

        self.assert_detected(
            lambda: mock.patch.object(credit_ledger.CreditLedger, "refreshed_account", refreshed_account),
            "spendable",
        )

    def test_fallback_while_the_credit_server_uses_the_share(self) -> None:
        original = credit_client.CreditClient.handle_reply

        def handle_reply(self: credit_client.CreditClient, now: float, reply: messages.CreditReply) -> None:
            original(self, now, reply)
            self.fallback_at = min(self.fallback_at, now + 300.0)

        self.assert_detected(
            lambda: mock.patch.object(credit_client.CreditClient, "handle_reply", handle_reply), "lent"
        )

    def test_share_raised_before_others_released_it(self) -> None:
        def share_for(self: members.Members, member: members.Member, name: str) -> float:
            return 1.0 / len(self.members)

        self.assert_detected(lambda: mock.patch.object(members.Members, "share_for", share_for), "add up")

    def test_share_raised_before_a_majority_stored_it(self) -> None:
        def propose_roster(
            self: credit_machine.CreditMachine,
            now: float,
            term_state: credit_machine.TermState,
            plan: dict[str, float],
        ) -> None:
            term_state.version += 1
            term_state.entries = term_state.members.roster(plan)
            term_state.members.planned_shares, term_state.members.may_raise = plan, True
            self.acceptor_state = messages.AcceptorState(True, term_state.version, term_state.entries)

        self.assert_detected(
            lambda: mock.patch.object(credit_machine.CreditMachine, "propose_roster", propose_roster),
            "add up",
        )

    def test_outstanding_credit_without_a_bound(self) -> None:
        original = credit_ledger.CreditLedger.grant_needed

        def grant_needed(self, account, limit, *rest):  # type: ignore[no-untyped-def]
            saved, account.outstanding = account.outstanding, 0.0
            result = original(self, account, limit, *rest)
            account.outstanding += saved
            return result

        self.assert_detected(
            lambda: mock.patch.object(credit_ledger.CreditLedger, "grant_needed", grant_needed), "outstanding"
        )

    def test_fallback_share_that_never_expires(self) -> None:
        original = credit_client.CreditClient.handle_reply

        def handle_reply(self: credit_client.CreditClient, now: float, reply: messages.CreditReply) -> None:
            original(self, now, reply)
            self.fallback_share_until = now + 1e9

        patch = mock.patch.object(credit_client.CreditClient, "handle_reply", handle_reply)
        for seed in MUTATION_SEEDS:
            sim = random_faults(seed, SIMULATION_MS)
            sim.schedule(6000.0, "call", "cut_off", sim.proxies[0])
            try:
                with patch:
                    sim.run(SIMULATION_MS + spans.SHARE_LIFETIME_MS)
            except AssertionError as error:
                self.assertIn("add up", str(error))
                return
        self.fail("the injected bug was not detected")

    def test_fallback_bucket_that_starts_full(self) -> None:
        def spend_fallback(self, now, entry, limit, cost):  # type: ignore[no-untyped-def]
            if entry.fallback_level_at < self.fallback_at:
                entry.fallback_level, entry.fallback_level_at = (
                    self.fallback_share * limit.capacity,
                    self.fallback_at,
                )
            return original(self, now, entry, limit, cost)

        original = credit_client.CreditClient.spend_fallback
        self.assert_detected(
            lambda: mock.patch.object(credit_client.CreditClient, "spend_fallback", spend_fallback), ""
        )

    def test_credit_server_continues_after_its_lease(self) -> None:
        original = warden_lease.CreditServerLease.count_promises

        def count_promises(self: warden_lease.CreditServerLease, now: float) -> None:
            original(self, now)
            self.lease_expires_at += 600.0

        self.assert_detected(
            lambda: mock.patch.object(warden_lease.CreditServerLease, "count_promises", count_promises),
            "credit servers",
        )

    def test_restarted_acceptor_forgets_its_promise(self) -> None:
        original = warden_lease.CreditServerLease.__init__

        def init(self, *args, **kwargs):  # type: ignore[no-untyped-def]
            original(self, *args, **kwargs)
            self.promised_until = 0.0

        self.assertEqual(self.problem_after_acceptor_restart(), "")
        with mock.patch.object(warden_lease.CreditServerLease, "__init__", init):
            self.assertIn("credit servers", self.problem_after_acceptor_restart())

    def test_promise_confirmed_before_it_is_stored(self) -> None:
        original = credit_machine.CreditMachine.on_promise

        def on_promise(self: credit_machine.CreditMachine, now: float, name: str, ballot: int) -> None:
            original(self, now, name, ballot)
            self.confirm_promise(now, name, ballot)

        self.assertEqual(self.problem_after_lost_promise(), "")
        with mock.patch.object(credit_machine.CreditMachine, "on_promise", on_promise):
            self.assertIn("credit servers", self.problem_after_lost_promise())

    def problem_after_lost_promise(self) -> str:
        """Elect a second credit server by an acceptor that loses power before its slow disk has synced."""
        for seed in range(8):
            sim = LimitsSimulation(3, [token_tenant("under", 100_000.0)], seed=seed, durable=True)
            sim.schedule(0.0, "check", 10.0)
            sim.run(5000.0)
            first = sim.credit_servers()[0]
            witness, second = (name for name in sim.acceptors if name != first)
            sim.sync_ms = 30.0
            sim.cut_off(first)
            while second not in sim.credit_servers() and sim.now < 9000.0:
                sim.run(sim.now + 1.0)
            sim.kill(witness)
            sim.cut_off(second)
            sim.reconnect(first)
            sim.start(witness)
            try:
                sim.run(sim.now + 1000.0)
            except AssertionError as error:
                return str(error)
        return ""

    def test_bucket_drained_before_acceptors_stored_it(self) -> None:
        self.assertEqual(self.problem_after_repeated_kills(), "")
        with mock.patch.object(floors.BucketFloors, "may_drain", lambda self, key: True):
            with mock.patch.object(floors.BucketFloors, "mark_drained", lambda self, now, key: None):
                self.assertIn("over the bound", self.problem_after_repeated_kills())

    def test_drained_buckets_refilled_to_their_floor(self) -> None:
        with mock.patch.object(floors.BucketFloors, "was_initially_drained", lambda self, key: False):
            self.assertIn("over the bound", self.problem_after_repeated_kills())

    def problem_after_repeated_kills(self) -> str:
        """Kill all processes every 1.2 s, with a tenant far over its limit, for several seeds."""
        for seed in range(4):
            sim = LimitsSimulation(8, [token_tenant("hot", 100_000.0)], seed=seed, durable=True)
            sim.add_demand(Demand("hot", 150.0, (1000.0, 10_000.0), starts_at=4000.0))
            sim.schedule(0.0, "check", 20.0)
            for round_ in range(6):
                for name in [*sim.acceptors, *sim.proxies]:
                    sim.schedule(9000.0 + 1200.0 * round_, "call", "kill", name)
                    sim.schedule(9100.0 + 1200.0 * round_, "call", "start", name)
            if problem := run_and_check(sim):
                return problem
        return ""

    def problem_after_acceptor_restart(self) -> str:
        """Disconnect the credit server; its only other acceptor restarts and gets a request of another."""
        for seed in range(12):
            sim = LimitsSimulation(3, [token_tenant("under", 100_000.0)], seed=seed)
            sim.schedule(0.0, "check", 10.0)
            sim.run(5000.0)
            first = sim.credit_servers()[0]
            witness, other = (name for name in sim.acceptors if name != first)
            sim.cut_off(other)
            sim.run(10_000.0)
            sim.kill(witness)
            sim.cut_off(first)
            sim.start(witness)
            sim.reconnect(other)
            try:
                sim.run(14_000.0)
            except AssertionError as error:
                return str(error)
        return ""


if __name__ == "__main__":
    unittest.main()
