"""State stored by an acceptor of the limits: rosters, promises of the lease, and drained buckets."""

import asyncio
import random
import unittest
from collections.abc import Callable
from dataclasses import replace

from barleybarrow.documents import QuotaUnit
from barleybarrow.limits import bounds, credit_ledger, floors, lent, messages, spans, warden_lease
from barleybarrow.limits.limits import Limits
from brackenusher.control_plane.shares_driver import SharesDriver
from brackenusher.storage.files import StorageError
from brackenusher.storage.slot_store import LoadedState
from tests.fleet.limits_support import TOKEN_BOUNDS, FakeLinks, make_tenant, single_node
from tests.fleet.virtual_time import VirtualTimeLoop


class MemoryStore:
    """A store of one snapshot whose next writes may fail."""

    def __init__(self, snapshot: bytes | None = None) -> None:
        self.snapshot, self.failures_left = snapshot, 0

    def load(self) -> LoadedState:
        return LoadedState(self.snapshot)

    def replace(self, snapshot: bytes) -> None:
        if self.failures_left:
            self.failures_left -= 1
            raise StorageError("the disk is full")
        self.snapshot = snapshot


class DirectWriter:
    """Runs work at once, on the event loop."""

    def submit(self, work: Callable[[], None]) -> "asyncio.Future[None]":
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        try:
            done.set_result(work())
        except StorageError as error:
            done.set_exception(error)
        return done


class AcceptorStorageTests(unittest.TestCase):
    """A control process with a disk, as an acceptor."""

    def run_acceptor(self, store: MemoryStore, bootstrap: bool) -> Limits:
        loop = VirtualTimeLoop()
        try:
            return loop.run_until_complete(self.run_driver(loop, store, bootstrap))
        finally:
            loop.close()

    async def run_driver(self, loop: VirtualTimeLoop, store: MemoryStore, bootstrap: bool) -> Limits:
        limits = Limits("c", [], random.Random(1), 0.0, TOKEN_BOUNDS, is_proxy=False, bootstrap=bootstrap)
        driver = SharesDriver(
            limits,
            FakeLinks("c", {}),  # type: ignore[arg-type]
            lambda: loop.time() * 1000.0,
            store,  # type: ignore[arg-type]
            DirectWriter(),  # type: ignore[arg-type]
        )
        driver.start()
        driver.set_voters(["c"], 1)
        await asyncio.sleep(8.0)
        driver.stop()
        return limits

    def test_rosters_are_stored_and_restored(self) -> None:
        store = MemoryStore()
        self.run_acceptor(store, bootstrap=True)
        assert store.snapshot is not None
        stored = messages.decode_acceptor_state(store.snapshot)
        self.assertTrue(stored.known)
        self.assertGreaterEqual(stored.version, 1)
        later = self.run_acceptor(store, bootstrap=False)
        self.assertTrue(later.credit_machine.acceptor_state.known)
        self.assertGreaterEqual(later.credit_machine.acceptor_state.version, stored.version)

    def test_failed_write_is_retried(self) -> None:
        store = MemoryStore()
        store.failures_left = 2
        with self.assertLogs("brackenusher.control_plane.shares_driver", "WARNING"):
            self.run_acceptor(store, bootstrap=True)
        self.assertIsNotNone(store.snapshot)

    def test_empty_disk_after_the_first_start_is_not_a_known_roster(self) -> None:
        store = MemoryStore()
        limits = self.run_acceptor(store, bootstrap=False)
        self.assertFalse(limits.credit_machine.acceptor_state.known)


class BucketFloorTests(unittest.TestCase):
    """Drained keys stored by the acceptors, and the initial bucket levels of a new term."""

    def make_ledger(
        self, drained: messages.DrainedKeys
    ) -> tuple[credit_ledger.CreditLedger, bounds.KeyLimit]:
        limit = bounds.quota_limit(make_tenant("one", 100_000.0, unit=QuotaUnit.TOKENS), TOKEN_BOUNDS)
        assert limit is not None
        lent_share = lent.LentShare(0.0)
        lent_share.set_unassigned(0.0, 1.0)
        ledger = credit_ledger.CreditLedger(lent_share, lambda key: limit)
        ledger.set_initial_drained(drained)
        return ledger, limit

    def test_refill_to_the_floor_leaves_room_for_prior_credit(self) -> None:
        ledger, limit = self.make_ledger(messages.DrainedKeys(False))
        floor = floors.FLOOR_SHARE * limit.capacity
        before = ledger.refreshed_account(0.0, "k", limit).level
        self.assertAlmostEqual(before, min(floor, limit.capacity - limit.max_credit))
        later = ledger.refreshed_account(1e9, "k", limit).level  # the rate adds no more than the room allows
        self.assertAlmostEqual(later, limit.capacity - limit.max_credit)
        ledger.prior_credit_expired = True
        self.assertGreaterEqual(ledger.refreshed_account(1e9, "k", limit).level, floor)

    def test_refill_to_the_floor_completes_once_prior_credit_expired(self) -> None:
        ledger, limit = self.make_ledger(messages.DrainedKeys(False))
        limit = replace(limit, max_credit=0.9 * limit.capacity)
        before = ledger.refreshed_account(0.0, "k", limit).level
        self.assertAlmostEqual(before, 0.1 * limit.capacity)
        ledger.prior_credit_expired = True
        self.assertAlmostEqual(
            ledger.refreshed_account(0.0, "k", limit).level, floors.FLOOR_SHARE * limit.capacity
        )

    def test_share_not_lent_yet_leaves_no_room(self) -> None:
        ledger, limit = self.make_ledger(messages.DrainedKeys(False))
        ledger.lent_share.set_unassigned(0.0, 0.3)
        self.assertLessEqual(ledger.refreshed_account(0.0, "k", limit).level, 0.0)
        ledger.lent_share.set_unassigned(0.0, 1.0)
        self.assertGreater(ledger.refreshed_account(0.0, "k", limit).level, 0.0)

    def test_need_waits_while_prior_credit_leaves_no_room(self) -> None:
        ledger, limit = self.make_ledger(messages.DrainedKeys(False))
        ledger.limit_of = lambda key: limit
        limit = replace(limit, max_credit=limit.capacity)
        ledger.floors.drains_unchecked = True  # no confirmation of the acceptors is needed
        report = messages.EntryReport("k", 1, 0.0, 0.0, 0.2 * limit.capacity, 0.2 * limit.capacity, 0.0)
        first = ledger.handle_entry_report(0.0, "p", report, 1000.0)
        assert first is not None
        self.assertTrue(first.awaiting_reports)
        ledger.prior_credit_expired = True
        second = ledger.handle_entry_report(10.0, "p", report, 1000.0)
        assert second is not None
        self.assertGreaterEqual(second.granted, report.needed)

    def test_drained_bucket_is_not_refilled_to_the_floor(self) -> None:
        for drained in (messages.DrainedKeys(True), messages.DrainedKeys(False, ["k"])):
            ledger, limit = self.make_ledger(drained)
            ledger.prior_credit_expired = True
            self.assertLessEqual(ledger.refreshed_account(0.0, "k", limit).level, 0.0)

    def test_key_stays_drained_for_a_minimum_time(self) -> None:
        bucket_floors = floors.BucketFloors()
        bucket_floors.mark_drained(0.0, "k")
        self.assertFalse(bucket_floors.may_drain("k"))
        self.assertEqual(bucket_floors.propose(), messages.DrainedKeys(False, ["k"]))
        bucket_floors.confirm()
        self.assertTrue(bucket_floors.may_drain("k"))
        bucket_floors.mark_refilled(floors.MIN_DRAINED_MS - 1.0, "k")
        self.assertFalse(bucket_floors.has_changes)
        bucket_floors.mark_refilled(floors.MIN_DRAINED_MS, "k")
        self.assertTrue(bucket_floors.has_changes)
        self.assertFalse(bucket_floors.may_drain("k"))

    def test_too_many_drained_keys_count_as_all_keys(self) -> None:
        bucket_floors = floors.BucketFloors()
        for number in range(messages.MAX_DRAINED_KEYS + 1):
            bucket_floors.mark_drained(0.0, str(number))
        self.assertEqual(bucket_floors.propose(), messages.DrainedKeys(True))


class StoredPromiseTests(unittest.TestCase):
    """A restarted acceptor that has stored its newest promise."""

    def restart_acceptor(self, acceptors: list[str]) -> Limits:
        before = Limits("a", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS, is_proxy=False)
        before.restore(0.0, None)
        before.receive(2000.0, "b", messages.encode(warden_lease.LeaseRequest(1, 1)))
        stored = before.to_store()
        assert stored is not None
        after = Limits("a", acceptors, random.Random(2), 0.0, TOKEN_BOUNDS, is_proxy=False)
        after.restore(0.0, stored[1])
        return after

    def request_lease(self, limits: Limits, now: float, candidate: str) -> list[bool]:
        limits.receive(now, candidate, messages.encode(warden_lease.LeaseRequest(9, 1)))
        messages_sent = [messages.decode(payload) for _, payload in limits.outbox()]
        return [message.granted for message in messages_sent if isinstance(message, warden_lease.Promise)]

    def test_holder_of_the_stored_promise_gets_it_at_once(self) -> None:
        limits = self.restart_acceptor(["a", "b", "c"])
        self.assertEqual(self.request_lease(limits, 10.0, "b"), [True])

    def test_other_candidates_wait_for_the_lease_to_expire(self) -> None:
        limits = self.restart_acceptor(["a", "b", "c"])
        self.assertEqual(self.request_lease(limits, 10.0, "c"), [False])
        self.assertEqual(self.request_lease(limits, 0.9 * spans.LEASE_TIMES.lease_ms, "c"), [False])

    def test_stored_promise_is_void_for_another_set_of_acceptors(self) -> None:
        limits = self.restart_acceptor(["a", "b", "d"])
        self.assertEqual(self.request_lease(limits, 10.0, "b"), [False])

    def test_promise_is_sent_only_once_stored(self) -> None:
        limits = Limits("a", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS, is_proxy=False)
        limits.restore(0.0, None)
        self.assertEqual(self.request_lease(limits, 2000.0, "b"), [])
        stored = limits.to_store()
        assert stored is not None
        limits.on_stored(2010.0, stored[0])
        messages_sent = [messages.decode(payload) for _, payload in limits.outbox()]
        self.assertEqual(messages_sent, [warden_lease.Promise(1, True)])
        self.assertIsNone(limits.to_store())


class AcceptorChangeTests(unittest.TestCase):
    def test_new_acceptor_makes_no_promise_for_one_lease(self) -> None:
        limits = Limits("d", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS, is_proxy=False)
        limits.set_acceptors(5000.0, ["a", "b", "c", "d"])
        request = messages.encode(warden_lease.LeaseRequest(1, 1))
        lease = spans.LEASE_TIMES.lease_ms
        limits.receive(5000.0 + 0.9 * lease, "a", request)
        limits.receive(5000.0 + 1.1 * lease, "a", messages.encode(warden_lease.LeaseRequest(1, 2)))
        replies = [messages.decode(payload) for _, payload in limits.outbox()]
        self.assertEqual(replies, [warden_lease.Promise(1, False), warden_lease.Promise(2, True)])

    def test_credit_server_steps_down_when_it_is_no_acceptor(self) -> None:
        limits, now = single_node([])
        self.assertIsNotNone(limits.credit_machine.term_state)
        limits.set_acceptors(now, ["b", "c"])
        self.assertIsNone(limits.credit_machine.term_state)


if __name__ == "__main__":
    unittest.main()
