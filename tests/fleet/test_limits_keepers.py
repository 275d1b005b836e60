"""What a keeper of the limits remembers: rosters, promises of the lease, and which buckets are drained."""

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
from brackenusher.storage.slot_store import Loaded
from tests.fleet.limits_support import TOKEN_BOUNDS, FakeLinks, make_tenant, single_node
from tests.fleet.virtual_time import VirtualLoop


class MemoryStore:
    """A store of one snapshot that may refuse to write."""

    def __init__(self, snapshot: bytes | None = None) -> None:
        self.snapshot, self.failures_left = snapshot, 0

    def load(self) -> Loaded:
        return Loaded(self.snapshot)

    def replace(self, snapshot: bytes) -> None:
        if self.failures_left:
            self.failures_left -= 1
            raise StorageError("the disk is full")
        self.snapshot = snapshot


class DirectWriter:
    """Does the work at once, on the loop."""

    def submit(self, work: Callable[[], None]) -> "asyncio.Future[None]":
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        try:
            done.set_result(work())
        except StorageError as error:
            done.set_exception(error)
        return done


class AcceptorStorageTests(unittest.TestCase):
    """A control process with a disk."""

    def run_acceptor(self, store: MemoryStore, fresh: bool) -> Limits:
        loop = VirtualLoop()
        try:
            return loop.run_until_complete(self.acceptor(loop, store, fresh))
        finally:
            loop.close()

    async def acceptor(self, loop: VirtualLoop, store: MemoryStore, fresh: bool) -> Limits:
        limits = Limits("c", [], random.Random(1), 0.0, TOKEN_BOUNDS, asks=False, fresh=fresh)
        driver = SharesDriver(
            limits,
            FakeLinks("c", {}),  # type: ignore[arg-type]
            lambda: loop.time() * 1000.0,
            store,  # type: ignore[arg-type]
            DirectWriter(),  # type: ignore[arg-type]
        )
        driver.start()
        driver.voters_changed(["c"], 1)
        await asyncio.sleep(8.0)
        driver.stop()
        return limits

    def test_rosters_are_stored_and_read_back(self) -> None:
        store = MemoryStore()
        self.run_acceptor(store, fresh=True)
        assert store.snapshot is not None
        stored = messages.decode_acceptor_state(store.snapshot)
        self.assertTrue(stored.known)
        self.assertGreaterEqual(stored.version, 1)
        later = self.run_acceptor(store, fresh=False)
        self.assertTrue(later.machine.acceptor_state.known)
        self.assertGreaterEqual(later.machine.acceptor_state.version, stored.version)

    def test_a_disk_that_refuses_writes_is_tried_again(self) -> None:
        store = MemoryStore()
        store.failures_left = 2
        with self.assertLogs("brackenusher.control_plane.shares_driver", "WARNING"):
            self.run_acceptor(store, fresh=True)
        self.assertIsNotNone(store.snapshot)

    def test_an_empty_disk_after_the_first_start_knows_nothing(self) -> None:
        store = MemoryStore()
        limits = self.run_acceptor(store, fresh=False)
        self.assertFalse(limits.machine.acceptor_state.known)


class BucketFloorTests(unittest.TestCase):
    """What the keepers remember of buckets, and where a new term's buckets begin."""

    def ledger(self, drained: messages.DrainedKeys) -> tuple[credit_ledger.CreditLedger, bounds.KeyLimit]:
        limit = bounds.quota_limit(make_tenant("one", 100_000.0, unit=QuotaUnit.TOKENS), TOKEN_BOUNDS)
        assert limit is not None
        fraction = lent.LentShare(0.0)
        fraction.set_unassigned(0.0, 1.0)
        ledger = credit_ledger.CreditLedger(fraction, lambda key: limit)
        ledger.set_initial_drained(drained)
        return ledger, limit

    def test_raised_to_the_floor_as_far_as_old_credit_leaves_room(self) -> None:
        ledger, limit = self.ledger(messages.DrainedKeys(False))
        floor = floors.FLOOR_SHARE * limit.capacity
        before = ledger.refreshed_account(0.0, "k", limit).level
        self.assertAlmostEqual(before, min(floor, limit.capacity - limit.credit))
        later = ledger.refreshed_account(
            1e9, "k", limit
        ).level  # the rate adds no more than there is room for
        self.assertAlmostEqual(later, limit.capacity - limit.credit)
        ledger.prior_credit_expired = True
        self.assertGreaterEqual(ledger.refreshed_account(1e9, "k", limit).level, floor)

    def test_all_of_the_floor_is_paid_once_old_credit_is_over(self) -> None:
        ledger, limit = self.ledger(messages.DrainedKeys(False))
        limit = replace(limit, credit=0.9 * limit.capacity)
        before = ledger.refreshed_account(0.0, "k", limit).level
        self.assertAlmostEqual(before, 0.1 * limit.capacity)
        ledger.prior_credit_expired = True
        self.assertAlmostEqual(
            ledger.refreshed_account(0.0, "k", limit).level, floors.FLOOR_SHARE * limit.capacity
        )

    def test_proxies_that_were_not_heard_yet_leave_no_room(self) -> None:
        ledger, limit = self.ledger(messages.DrainedKeys(False))
        ledger.lent_share.set_unassigned(0.0, 0.3)
        self.assertLessEqual(ledger.refreshed_account(0.0, "k", limit).level, 0.0)
        ledger.lent_share.set_unassigned(0.0, 1.0)
        self.assertGreater(ledger.refreshed_account(0.0, "k", limit).level, 0.0)

    def test_a_need_waits_while_old_credit_leaves_no_room_for_it(self) -> None:
        ledger, limit = self.ledger(messages.DrainedKeys(False))
        ledger.limit_of = lambda key: limit
        limit = replace(limit, credit=limit.capacity)
        ledger.floors.drains_unchecked = True  # the keepers need not be asked
        item = messages.EntryReport("k", 1, 0.0, 0.0, 0.2 * limit.capacity, 0.2 * limit.capacity, 0.0)
        first = ledger.handle_entry_report(0.0, "p", item, 1000.0)
        assert first is not None
        self.assertTrue(first.awaiting_reports)
        ledger.prior_credit_expired = True
        then = ledger.handle_entry_report(10.0, "p", item, 1000.0)
        assert then is not None
        self.assertGreaterEqual(then.granted, item.needed)

    def test_never_raised_where_it_may_have_been_drained(self) -> None:
        for drained in (messages.DrainedKeys(True), messages.DrainedKeys(False, ["k"])):
            ledger, limit = self.ledger(drained)
            ledger.prior_credit_expired = True
            self.assertLessEqual(ledger.refreshed_account(0.0, "k", limit).level, 0.0)

    def test_a_key_stays_drained_for_a_while_after_it_is_full_again(self) -> None:
        known = floors.BucketFloors()
        known.mark_drained(0.0, "k")
        self.assertFalse(known.may_drain("k"))
        self.assertEqual(known.propose(), messages.DrainedKeys(False, ["k"]))
        known.confirm()
        self.assertTrue(known.may_drain("k"))
        known.mark_refilled(floors.MIN_DRAINED_MS - 1.0, "k")
        self.assertFalse(known.has_changes)
        known.mark_refilled(floors.MIN_DRAINED_MS, "k")
        self.assertTrue(known.has_changes)
        self.assertFalse(known.may_drain("k"))

    def test_too_many_keys_are_all_keys(self) -> None:
        known = floors.BucketFloors()
        for number in range(messages.MAX_DRAINED_KEYS + 1):
            known.mark_drained(0.0, str(number))
        self.assertEqual(known.propose(), messages.DrainedKeys(True))


class StoredPromiseTests(unittest.TestCase):
    """What a keeper does that starts again and has stored whom it had promised itself to."""

    def restart_acceptor(self, acceptors: list[str]) -> Limits:
        before = Limits("a", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS, asks=False)
        before.restore(0.0, None)
        before.receive(2000.0, "b", messages.encode(warden_lease.Seek(1, 1)))
        stored = before.to_store()
        assert stored is not None
        after = Limits("a", acceptors, random.Random(2), 0.0, TOKEN_BOUNDS, asks=False)
        after.restore(0.0, stored[1])
        return after

    def request_lease(self, limits: Limits, now: float, candidate: str) -> list[bool]:
        limits.receive(now, candidate, messages.encode(warden_lease.Seek(9, 1)))
        messages_sent = [messages.decode(payload) for _, payload in limits.outbox()]
        return [word.granted for word in messages_sent if isinstance(word, warden_lease.Promise)]

    def test_the_one_that_had_it_gets_it_at_once(self) -> None:
        limits = self.restart_acceptor(["a", "b", "c"])
        self.assertEqual(self.request_lease(limits, 10.0, "b"), [True])

    def test_others_wait_for_a_lease(self) -> None:
        limits = self.restart_acceptor(["a", "b", "c"])
        self.assertEqual(self.request_lease(limits, 10.0, "c"), [False])
        self.assertEqual(self.request_lease(limits, 0.9 * spans.LEASE_TIMES.lease, "c"), [False])

    def test_among_other_keepers_it_says_nothing(self) -> None:
        limits = self.restart_acceptor(["a", "b", "d"])
        self.assertEqual(self.request_lease(limits, 10.0, "b"), [False])

    def test_it_is_told_only_once_it_is_stored(self) -> None:
        limits = Limits("a", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS, asks=False)
        limits.restore(0.0, None)
        self.assertEqual(self.request_lease(limits, 2000.0, "b"), [])
        stored = limits.to_store()
        assert stored is not None
        limits.stored(2010.0, stored[0])
        found = [messages.decode(payload) for _, payload in limits.outbox()]
        self.assertEqual(found, [warden_lease.Promise(1, True)])
        self.assertIsNone(limits.to_store())


class AcceptorChangeTests(unittest.TestCase):
    def test_one_that_joins_promises_nobody_anything_for_a_lease(self) -> None:
        limits = Limits("d", ["a", "b", "c"], random.Random(1), 0.0, TOKEN_BOUNDS, asks=False)
        limits.keepers_changed(5000.0, ["a", "b", "c", "d"])
        seek = messages.encode(warden_lease.Seek(1, 1))
        lease = spans.LEASE_TIMES.lease
        limits.receive(5000.0 + 0.9 * lease, "a", seek)
        limits.receive(5000.0 + 1.1 * lease, "a", messages.encode(warden_lease.Seek(1, 2)))
        answers = [messages.decode(payload) for _, payload in limits.outbox()]
        self.assertEqual(answers, [warden_lease.Promise(1, False), warden_lease.Promise(2, True)])

    def test_a_warden_that_is_no_keeper_any_more_steps_down(self) -> None:
        limits, now = single_node([])
        self.assertIsNotNone(limits.machine.books)
        limits.keepers_changed(now, ["b", "c"])
        self.assertIsNone(limits.machine.books)


if __name__ == "__main__":
    unittest.main()
