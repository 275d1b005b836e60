"""Limits of one process: API keys, costs, quotas, messages, the retry budget, and the event-loop driver."""

import asyncio
import random
import unittest

from barleybarrow.documents import QuotaUnit, Service, Tenant
from barleybarrow.limits import bounds, credit_ledger, lent, messages
from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.limits import Limits, Verdict
from barleybarrow.limits.retries import RetryBudget
from barleybarrow.limits.tenants import TenantTable, request_cost
from brackenusher.cluster.limits_driver import LimitsDriver
from tests.fleet.limits_support import TOKEN_BOUNDS, FakeLinks, make_tenant, single_node
from tests.fleet.virtual_time import VirtualTimeLoop


class ApiKeyTests(unittest.TestCase):
    def test_each_key_of_a_tenant_authenticates(self) -> None:
        limits, _ = single_node([make_tenant("one"), make_tenant("two")])
        for key, name in (("one-1", "one"), ("one-2", "one"), ("two-2", "two")):
            found = limits.authenticate(key)
            assert found is not None
            self.assertEqual(found.name, name)

    def test_unknown_and_missing_keys_are_rejected(self) -> None:
        limits, _ = single_node([make_tenant("one")])
        for key in (None, "", "one", "one-3"):
            self.assertIsNone(limits.authenticate(key))

    def test_keys_follow_the_configuration(self) -> None:
        limits, now = single_node([make_tenant("one"), make_tenant("two")])
        limits.configure(now, [Tenant("one", ["fresh"])], [])
        self.assertIsNone(limits.authenticate("one-1"))
        self.assertIsNone(limits.authenticate("two-1"))
        self.assertIsNotNone(limits.authenticate("fresh"))

    def test_only_changed_quotas_are_reported(self) -> None:
        table = TenantTable()
        table.replace([make_tenant("one", 5.0), make_tenant("two", 5.0), make_tenant("three", 5.0)])
        changed = table.replace(
            [make_tenant("one", 5.0, priority=1), make_tenant("two", 6.0), make_tenant("four", 1.0)]
        )
        self.assertEqual(changed, {"two", "three", "four"})


class RequestCostTests(unittest.TestCase):
    def test_requests_count_one(self) -> None:
        self.assertEqual(request_cost(make_tenant("one", 5.0), "100,20"), 1.0)

    def test_tokens_count_prompt_and_output(self) -> None:
        tenant = make_tenant("one", 5.0, unit=QuotaUnit.TOKENS, plain_tokens=200)
        for value, cost in (("1460,80", 1540.0), ("1460, 80", 1540.0), ("0,0", 0.0)):
            self.assertEqual(request_cost(tenant, value), cost)
        malformed: list[str | None] = [None, "", "12", "a,b", "1,2,3", "-5,1"]
        for text in malformed:
            self.assertEqual(request_cost(tenant, text), 200.0, text)


class QuotaTests(unittest.TestCase):
    def test_tenant_without_a_quota_is_unlimited(self) -> None:
        limits, now = single_node([make_tenant("one")])
        self.assertTrue(all(limits.admit(now, make_tenant("one"), 1e9) for _ in range(100)))

    def test_tenant_missing_from_the_configuration_is_unlimited(self) -> None:
        limits, now = single_node([])
        self.assertTrue(limits.admit(now, make_tenant("one", 5.0), 1.0))

    def test_pending_request_is_decided_once(self) -> None:
        tenant = make_tenant("one", 10_000.0, unit=QuotaUnit.TOKENS)
        limits, now = single_node([tenant])
        self.assertIs(limits.decide(now, tenant, 9000.0, 7), Verdict.PENDING)
        for _ in range(5):
            now += 3.0
            limits.tick(now)
        self.assertEqual(limits.take_decisions(), [(7, True)])
        self.assertEqual(limits.take_decisions(), [])

    def test_cancelled_request_is_not_decided(self) -> None:
        tenant = make_tenant("one", 10_000.0, unit=QuotaUnit.TOKENS)
        limits, now = single_node([tenant])
        limits.decide(now, tenant, 9000.0, 7)
        limits.cancel(7)
        limits.tick(now + 1000.0)
        self.assertEqual(limits.take_decisions(), [])

    def test_credit_of_one_unit_is_not_spent_in_another(self) -> None:
        tenant = make_tenant("one", 1000.0, unit=QuotaUnit.TOKENS)
        limits, now = single_node([tenant])
        for _ in range(100):
            now += 3.0
            limits.tick(now)
            limits.admit(now, tenant, 10.0)
        assert limits.client is not None
        self.assertGreater(limits.client.entries["tokens:one"].credit, 1.0)
        request_tenant = make_tenant("one", 5.0)
        limits.configure(now, [request_tenant], [])
        self.assertFalse(limits.admit(now, request_tenant, 1.0))

    def test_retry_after_of_a_refusal_is_bounded(self) -> None:
        tenant = make_tenant("one", 100.0)
        limits, now = single_node([tenant])
        refused = 0
        for _ in range(2000):
            now += 1.0
            limits.tick(now)
            refused += limits.decide(now, tenant, 1.0, None) is Verdict.REFUSED
        self.assertGreater(refused, 1000)
        self.assertGreaterEqual(limits.retry_after_ms(tenant, 1.0), 300.0)
        self.assertLessEqual(limits.retry_after_ms(tenant, 1.0), 5000.0)

    def test_wait_without_a_credit_server_is_bounded(self) -> None:
        tenant = make_tenant("one", 100.0)
        limits = Limits("p", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS)
        limits.configure(0.0, [tenant], [])
        self.assertIs(limits.decide(0.0, tenant, 1.0, 1), Verdict.PENDING)
        self.assertLessEqual(limits.next_wakeup(), 150.0)
        limits.tick(150.0)
        self.assertEqual(limits.take_decisions(), [(1, False)])
        self.assertIs(limits.decide(2000.0, tenant, 1.0, 2), Verdict.REFUSED)  # it never had a fallback share


class BoundsTests(unittest.TestCase):
    def test_quota_shares_stay_within_the_bound(self) -> None:
        for unit in QuotaUnit:
            for rate in (0.5, 10.0, 18_000.0, 1e6):
                for burst in (0.0, rate, 3.0 * rate):
                    for slack in (0.0, 20.0, 72_000.0):
                        limit_bounds = LimitBounds(quota_slack=slack)
                        tenant = Tenant("one", [], None, unit, 0, rate, burst)
                        limit = bounds.quota_limit(tenant, limit_bounds)
                        assert limit is not None
                        steady = rate * limit_bounds.quota_window_s + burst
                        used = limit.capacity - burst + limit.debt
                        self.assertLessEqual(used, 0.951 * (steady * limit_bounds.quota_overshoot + slack))

    def test_retry_budget_shares_stay_within_the_bound(self) -> None:
        limit_bounds = LimitBounds()
        limit = bounds.retry_limit(limit_bounds)
        used = limit.rate * limit_bounds.retry_window_s + limit.capacity + limit.debt
        self.assertLessEqual(used, 0.951 * limit_bounds.retry_budget_min)


class CreditLedgerTests(unittest.TestCase):
    KEY_LIMIT = bounds.KeyLimit(100.0, 100.0, 0.0, 80.0, 1.0, 25.0)

    def make_ledger(self) -> credit_ledger.CreditLedger:
        lent_share = lent.LentShare(0.0)
        lent_share.set_unassigned(0.0, 1.0)
        ledger = credit_ledger.CreditLedger(lent_share, lambda key: self.KEY_LIMIT)
        ledger.no_prior_grants = True
        return ledger

    def report_entry(
        self, ledger: credit_ledger.CreditLedger, *item: float, now: float = 0.0
    ) -> messages.Grant | None:
        return ledger.handle_entry_report(now, "p", messages.EntryReport("k", *item), 1e9)  # type: ignore[arg-type]

    def test_repeated_report_of_a_need_is_granted_once(self) -> None:
        ledger = self.make_ledger()
        for _ in range(3):
            grant = self.report_entry(ledger, 1, 0.0, 0.0, 30.0, 10.0, 0.0)
            assert grant is not None
            self.assertEqual(grant.granted, 30.0)
        self.assertEqual(ledger.accounts["k"].level, 70.0)

    def test_repeated_report_of_a_return_is_refunded_once(self) -> None:
        ledger = self.make_ledger()
        self.report_entry(ledger, 1, 0.0, 0.0, 30.0, 10.0, 0.0)
        for _ in range(3):
            self.report_entry(ledger, 1, 10.0, 20.0, 0.0, 0.0, 0.0)
        self.assertEqual(ledger.accounts["k"].level, 90.0)
        self.assertEqual(ledger.accounts["k"].outstanding, 0.0)

    def test_late_reports_change_nothing(self) -> None:
        ledger = self.make_ledger()
        self.report_entry(ledger, 1, 0.0, 0.0, 30.0, 10.0, 0.0)
        self.report_entry(ledger, 1, 20.0, 0.0, 0.0, 0.0, 0.0)
        self.report_entry(ledger, 1, 5.0, 0.0, 0.0, 0.0, 0.0)
        self.assertEqual(ledger.accounts["k"].outstanding, 10.0)
        self.report_entry(ledger, 2, 0.0, 0.0, 0.0, 0.0, 0.0)
        self.assertIsNone(self.report_entry(ledger, 1, 30.0, 0.0, 0.0, 0.0, 0.0))

    def test_credit_of_a_replaced_entry_counts_until_it_expires(self) -> None:
        ledger = self.make_ledger()
        ledger.handle_entry_report(0.0, "p", messages.EntryReport("k", 1, 0.0, 0.0, 30.0, 10.0, 0.0), 500.0)
        ledger.handle_entry_report(0.0, "p", messages.EntryReport("k", 2, 0.0, 0.0, 0.0, 0.0, 0.0), 500.0)
        self.assertEqual(ledger.refreshed_account(499.0, "k", self.KEY_LIMIT).outstanding, 30.0)
        self.assertEqual(ledger.refreshed_account(500.0, "k", self.KEY_LIMIT).outstanding, 0.0)


class LentShareTests(unittest.TestCase):
    def test_integral_counts_loans_until_their_end(self) -> None:
        lent_share = lent.LentShare(0.0)
        lent_share.set_unassigned(0.0, 0.25)
        lent_share.lend(0.0, "p", 0.5, 100.0)
        lent_share.lend(50.0, "p", 0.5, 200.0)
        lent_share.advance(1000.0)
        self.assertAlmostEqual(lent_share.integral, 0.25 * 1000.0 + 0.5 * 200.0)
        self.assertAlmostEqual(lent_share.value, 0.25)

    def test_lent_share_is_at_most_one(self) -> None:
        lent_share = lent.LentShare(0.0)
        lent_share.set_unassigned(0.0, 0.8)
        lent_share.lend(0.0, "p", 0.5, 100.0)
        self.assertEqual(lent_share.value, 1.0)


class MessageTests(unittest.TestCase):
    def test_round_trip(self) -> None:
        item = messages.EntryReport("quota:one", 3, 10.0, 0.0, 5.0, 5.0, 7.0)
        report = messages.CreditReport(1, 2, 3, 4, 0.5, [item])
        self.assertEqual(messages.decode(messages.encode(report)), report)

    def test_malformed_messages_are_dropped(self) -> None:
        limits, now = single_node([])
        for payload in (b"", b"\xff\xfe", b"\x93\x01\x02\x03", bytes(50), b"\x96\x06\xff\x00\x00\x00\x90"):
            limits.receive(now, "x", payload)
        self.assertEqual(limits.outbox(), [])


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_limited_by_own_requests(self) -> None:
        budget = RetryBudget(LimitBounds(retry_budget_ratio=0.2))
        for at in range(100):
            budget.record_request(float(at), "s")
        taken = sum(budget.try_take(100.0, "s") for _ in range(100))
        self.assertEqual(taken, 15)
        self.assertFalse(budget.try_take(5000.0, "s"))
        self.assertFalse(budget.try_take(20_000.0, "s"))

    def test_minimum_retry_budget_is_granted_as_credit(self) -> None:
        limits, now = single_node([])
        taken = 0
        for _ in range(3000):
            now += 3.0
            limits.tick(now)
            taken += limits.may_retry(now, "s")
        self.assertGreater(taken, 25)
        self.assertLessEqual(taken, 60)

    def test_unknown_service_has_no_retry_budget(self) -> None:
        limits, now = single_node([])
        self.assertFalse(limits.may_retry(now, "other"))


class LimitsDriverTests(unittest.TestCase):
    def test_driver_waits_for_the_credit_server(self) -> None:
        loop = VirtualTimeLoop()
        try:
            loop.run_until_complete(self.run_proxy_and_credit_server(loop))
        finally:
            loop.close()

    async def run_proxy_and_credit_server(self, loop: VirtualTimeLoop) -> None:
        tenant = make_tenant("one", 20_000.0, unit=QuotaUnit.TOKENS)
        network: dict[str, FakeLinks] = {}
        drivers = {}
        for name in ("c", "p"):
            limits = Limits(
                name, ["c"], random.Random(1), 0.0, TOKEN_BOUNDS, is_proxy=name == "p", bootstrap=True
            )
            limits.configure(0.0, [tenant], [Service("s")])
            links = FakeLinks(name, network)
            drivers[name] = LimitsDriver(limits, links, lambda: loop.time() * 1000.0)  # type: ignore[arg-type]
        for driver in drivers.values():
            driver.start()
        await asyncio.sleep(5.0)
        proxy = drivers["p"]
        self.assertTrue(proxy.limits.is_connected)
        verdict = proxy.admit(tenant, 9000.0)
        assert isinstance(verdict, asyncio.Future)
        self.assertTrue(await verdict)
        requests = [proxy.admit(tenant, 9000.0) for _ in range(20)]
        results = []
        for request in requests:
            results.append(await request if isinstance(request, asyncio.Future) else request)
        self.assertIn(True, results)
        self.assertIn(False, results)
        await asyncio.sleep(3.0)
        cancelled = proxy.admit(tenant, 9000.0)
        assert isinstance(cancelled, asyncio.Future)
        cancelled.cancel()
        await asyncio.sleep(1.0)
        self.assertEqual(proxy._pending, {})
        for driver in drivers.values():
            driver.stop()


if __name__ == "__main__":
    unittest.main()
