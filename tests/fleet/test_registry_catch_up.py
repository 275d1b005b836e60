"""Guard against acknowledged drains that are forgotten where losses in the core overlap.

A drain is on the disks of a majority. One of these disks is lost, the rest of the majority goes dark, and a
voter that missed the drain returns: a majority is connected, and nobody in it knows of the drain.
"""

import asyncio
import random
import unittest
from unittest import mock

from barleybarrow.replication.catch_up import (
    INCOMPLETE_GRACE_RATIO,
    MAX_HEARTBEAT_DELAY_MS,
    CatchUp,
    Coverage,
)
from barleybarrow.replication.feed_view import FeedView
from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.replication.silence import silence_timeout_ms
from brackenusher.control_plane.final_records import FinalRecords
from tests.fleet.feed_fakes import FakeStore, FakeWriter
from tests.fleet.feed_schedules import run_schedule
from tests.fleet.feed_world import CONTACT_S, HEARTBEAT_MS, FeedSimulation, simulated
from tests.fleet.test_feed_parts import FeedHarness, make_record
from tests.fleet.virtual_time import run_virtual

COMPLETE, INCOMPLETE, NOT_STATED = Coverage.COMPLETE, Coverage.INCOMPLETE, Coverage.NOT_STATED
MAX_INCOMPLETE_MS = MAX_HEARTBEAT_DELAY_MS + silence_timeout_ms(HEARTBEAT_MS)
GRACE_MS = INCOMPLETE_GRACE_RATIO * CONTACT_S * 1000.0
RESTART_S = 0.3
STEP_S = 0.05
SOAK_SEEDS = (4, 7, 8)  # schedules that show the failure without the coverage


class OverlappingLosses:
    """A server deregisters, and then no voter that runs knows of it; two others of its service run on."""

    def __init__(self, simulation: FeedSimulation) -> None:
        self.simulation = simulation
        self.behind, self.dark, self.empty = simulation.voters

    async def play(self) -> None:
        """Until the empty voter has started again."""
        simulation = self.simulation
        await asyncio.sleep(2.0)
        self.others = [simulation.start_server("s0") for _ in range(2)]
        self.gone = simulation.start_server("s0")
        await asyncio.sleep(4.0)
        simulation.network.stall(self.behind, 2.3)
        await asyncio.sleep(2.2)
        self.gone.crash()
        assert await simulation.call(self.empty, "deregister", self.gone.id)
        simulation.lose_disk(self.empty)
        simulation.kill_control(self.dark, silent=True)
        await asyncio.sleep(RESTART_S)
        simulation.start_control(self.empty)

    async def late_heartbeat(self) -> None:
        """A heartbeat that the server sent before it ended arrives now."""
        late = self.gone.record()
        late.state = InstanceState.READY
        await self.simulation.call(self.behind, "heartbeat", late)

    def offered(self) -> set[str]:
        """The servers that some proxy offers."""
        return set().union(*self._offered_by_each())

    def offered_everywhere(self) -> set[str]:
        """The servers that all proxies offer."""
        return set.intersection(*self._offered_by_each())

    def _offered_by_each(self) -> list[set[str]]:
        servers = (self.gone, *self.others)
        return [{s.id for s in servers if proxy.offers(s.id)} for proxy in self.simulation.proxies.values()]

    def other_ids(self) -> set[str]:
        """The servers that run."""
        return {server.id for server in self.others}


class OverlappingLossesTest(unittest.TestCase):
    async def assert_gone_is_not_offered(self, losses: OverlappingLosses, seconds: float) -> None:
        for step in range(int(seconds / STEP_S)):
            if step % 20 == 0:
                await losses.late_heartbeat()
            self.assertNotIn(losses.gone.id, losses.offered())
            await asyncio.sleep(STEP_S)

    @simulated
    async def test_forgotten_server_gets_no_requests_once_the_core_is_stable(
        self, simulation: FeedSimulation
    ) -> None:
        losses = OverlappingLosses(simulation)
        await losses.play()
        await asyncio.sleep(CONTACT_S)
        await self.assert_gone_is_not_offered(losses, 6.0)

    @simulated
    async def test_other_servers_are_back_soon_after_the_dark_voter(self, simulation: FeedSimulation) -> None:
        losses = OverlappingLosses(simulation)
        await losses.play()
        await asyncio.sleep(CONTACT_S)
        simulation.start_control(losses.dark)
        await asyncio.sleep(1.5)
        self.assertEqual(losses.offered_everywhere(), losses.other_ids())
        await self.assert_gone_is_not_offered(losses, 10.0)
        self.assertEqual(losses.offered_everywhere(), losses.other_ids())

    @simulated
    async def test_service_goes_on_where_the_dark_voter_never_returns(
        self, simulation: FeedSimulation
    ) -> None:
        losses = OverlappingLosses(simulation)
        await losses.play()
        await asyncio.sleep(MAX_INCOMPLETE_MS / 1000.0 + 3.0)
        self.assertEqual(losses.offered_everywhere(), losses.other_ids())

    @simulated
    async def test_one_lost_disk_stops_no_service(self, simulation: FeedSimulation) -> None:
        losses = OverlappingLosses(simulation)
        await asyncio.sleep(2.0)
        losses.gone = simulation.start_server("s0")
        losses.others = [simulation.start_server("s0")]
        await asyncio.sleep(4.0)
        simulation.lose_disk(losses.empty)
        for step in range(200):
            if step == 20:
                simulation.start_control(losses.empty)
            self.assertEqual(len(losses.offered_everywhere()), 2)
            await asyncio.sleep(STEP_S)
        self.assertIs(simulation.controls[losses.empty].registry.coverage, COMPLETE)

    @simulated
    async def test_voter_that_restarts_before_it_has_caught_up_stays_incomplete(
        self, simulation: FeedSimulation
    ) -> None:
        losses = OverlappingLosses(simulation)
        await losses.play()
        await asyncio.sleep(1.0)
        drained = simulation.start_server("s1")
        drained.crash()
        await simulation.call(losses.behind, "deregister", drained.id)
        await asyncio.sleep(1.0)
        self.assertIsNotNone(simulation.stores[losses.empty].snapshot)
        simulation.kill_control(losses.empty)
        simulation.start_control(losses.empty)
        await asyncio.sleep(CONTACT_S)
        await self.assert_gone_is_not_offered(losses, 3.0)

    def test_schedules_find_a_list_that_is_never_withheld(self) -> None:
        never = mock.patch.object(CatchUp, "tick", lambda *_: NOT_STATED)
        with never:
            breaches = [breach for seed in SOAK_SEEDS for breach in run_schedule(seed)]
        self.assertTrue(any(breach.startswith("DRAIN") for breach in breaches), breaches)


class CatchUpTest(unittest.TestCase):
    """One group of three voters; this process is "a"."""

    def setUp(self) -> None:
        self.groups = [frozenset("abc")]
        self.catch_up = CatchUp("a", HEARTBEAT_MS, CONTACT_S * 1000.0)

    def tick(self, now: float, connected: str) -> Coverage:
        return self.catch_up.tick(now, self.groups, list(connected))

    def test_complete_majority(self) -> None:
        self.catch_up.complete = True
        self.catch_up.on_pulled("b", COMPLETE)
        self.assertIs(self.tick(0.0, "b"), COMPLETE)
        self.assertIs(self.tick(0.0, ""), NOT_STATED)

    def test_majority_that_counts_an_incomplete_member(self) -> None:
        self.catch_up.complete = True
        self.catch_up.on_pulled("b", INCOMPLETE)
        self.assertIs(self.tick(0.0, "b"), NOT_STATED)
        self.assertIs(self.tick(GRACE_MS - 1.0, "b"), NOT_STATED)
        self.assertIs(self.tick(GRACE_MS, "b"), INCOMPLETE)
        self.catch_up.on_pulled("c", COMPLETE)
        self.assertIs(self.tick(2000.0, "bc"), COMPLETE)
        self.assertIs(self.tick(3000.0, "b"), NOT_STATED)  # the grace begins anew

    def test_records_of_a_majority_of_complete_members_complete_a_process(self) -> None:
        self.catch_up.on_pulled("b", COMPLETE)
        self.tick(0.0, "b")
        self.catch_up.on_link_changed("b")
        self.catch_up.on_pulled("c", INCOMPLETE)
        self.tick(0.0, "c")
        self.assertFalse(self.catch_up.complete)
        self.catch_up.on_pulled("c", COMPLETE)
        self.assertIs(self.tick(0.0, "c"), COMPLETE)
        self.assertTrue(self.catch_up.complete)

    def test_majority_of_each_group_is_needed(self) -> None:
        self.groups = [frozenset("abc"), frozenset("ade")]
        for peer in "bc":
            self.catch_up.on_pulled(peer, COMPLETE)
        self.tick(0.0, "bc")
        self.assertFalse(self.catch_up.complete)
        for peer in "de":
            self.catch_up.on_pulled(peer, COMPLETE)
        self.tick(0.0, "bcde")
        self.assertTrue(self.catch_up.complete)

    def test_nobody_waits_where_every_disk_was_lost(self) -> None:
        self.catch_up.on_pulled("b", INCOMPLETE)
        for now in (0.0, 1000.0, 10_000.0):
            self.assertIs(self.tick(now, "b"), NOT_STATED)

    def test_process_is_complete_once_all_that_it_forgot_is_silent(self) -> None:
        self.catch_up.on_pulled("b", COMPLETE)
        self.tick(0.0, "b")
        self.tick(MAX_INCOMPLETE_MS - 1.0, "b")
        self.assertFalse(self.catch_up.complete)
        self.tick(MAX_INCOMPLETE_MS, "b")
        self.assertTrue(self.catch_up.complete)

    def test_member_that_joins_begins_that_time_anew(self) -> None:
        self.groups = [frozenset("abcde")]
        for peer in "bc":
            self.catch_up.on_pulled(peer, INCOMPLETE)
        self.tick(0.0, "bc")
        self.tick(MAX_INCOMPLETE_MS - 1.0, "bcd")
        self.tick(MAX_INCOMPLETE_MS + 1.0, "bcd")
        self.assertFalse(self.catch_up.complete)
        self.tick(2 * MAX_INCOMPLETE_MS, "bcd")
        self.assertTrue(self.catch_up.complete)

    def test_process_that_knows_no_voters_states_nothing(self) -> None:
        self.groups = []
        self.catch_up.complete = True
        self.assertIs(self.tick(0.0, "b"), NOT_STATED)


class WithheldListTest(unittest.TestCase):
    """A proxy with two sources, "a" and "b", that list a running and a draining server."""

    def setUp(self) -> None:
        self.feeds = FeedHarness("a", "b")
        for source in "ab":
            self.feeds.push(source, 0.0, make_record("i"), make_record("j", InstanceState.DRAINING))
        self.view: FeedView = self.feeds.view
        self.view.changed_services.clear()

    def state(self, source: str, coverage: Coverage) -> None:
        """A source states the coverage of its list."""
        self.view.apply_update(source, 0, (1, 0), (), snapshot=True, settled=True, now=1.0, coverage=coverage)

    def states(self) -> list[InstanceState]:
        return [record.state for record in self.view.offered_records("s", 1.0)]

    def test_servers_are_withheld_and_offered_again(self) -> None:
        self.state("a", INCOMPLETE)
        self.assertEqual(self.states(), [InstanceState.SILENT, InstanceState.DRAINING])
        self.assertEqual(self.view.changed_services, {"s"})
        self.view.changed_services.clear()
        self.state("a", COMPLETE)
        self.assertEqual(self.states(), [InstanceState.READY, InstanceState.DRAINING])
        self.assertEqual(self.view.changed_services, {"s"})

    def test_server_that_is_silent_when_the_list_is_complete_again_may_have_ended(self) -> None:
        self.state("a", INCOMPLETE)
        for source in "ab":
            self.feeds.push(source, 1.0, make_record("i", InstanceState.SILENT, 2))
        self.state("a", COMPLETE)
        self.assertEqual(self.states(), [InstanceState.DRAINING])
        self.feeds.push("a", 1.0, make_record("i", sequence=3))
        self.assertEqual(self.feeds.ready(), ["i"])

    def test_one_complete_source_is_enough(self) -> None:
        self.state("b", COMPLETE)
        self.state("a", INCOMPLETE)
        self.assertEqual(self.feeds.ready(), ["i"])
        self.view.on_disconnected("b", 2.0)
        self.assertEqual(self.feeds.ready(), [])

    def test_source_that_loses_its_majority_proves_nothing(self) -> None:
        self.state("a", INCOMPLETE)
        self.state("a", NOT_STATED)
        self.assertEqual(self.feeds.ready(), [])

    def test_last_known_list_holds_while_control_is_away(self) -> None:
        self.state("a", INCOMPLETE)
        for source in "ab":
            self.view.on_disconnected(source, 2.0)
        self.assertEqual(self.feeds.ready(), ["i"])
        self.view.on_connected("a", 3.0)
        self.assertEqual(self.feeds.ready(), [])

    def test_sources_of_an_earlier_release_state_nothing(self) -> None:
        self.state("a", NOT_STATED)
        self.assertEqual(self.feeds.ready(), ["i"])


class StoreTest(unittest.TestCase):
    """What a store tells of itself when it is read at a start."""

    def setUp(self) -> None:
        self.store = FakeStore()

    def records(self) -> FinalRecords:
        record = InstanceRecord("i", "s", "a:1", "z", "v", 4, InstanceState.GONE, 7)
        store, writer = self.store, FakeWriter(random.Random(1))
        return FinalRecords(store, writer, lambda: [record])  # type: ignore[arg-type]

    def is_intact_at_next_start(self) -> bool:
        async def load() -> bool:
            records = self.records()
            await records.load(first_start=False)
            return records.intact

        return run_virtual(load())

    def test_empty_store_is_intact_at_the_first_start_of_the_fleet_alone(self) -> None:
        async def first_start() -> bool:
            records = self.records()
            await records.load(first_start=True)
            records.mark_complete()
            await asyncio.sleep(1.0)
            return records.intact

        self.assertFalse(self.is_intact_at_next_start())
        self.assertTrue(run_virtual(first_start()))
        self.assertTrue(self.is_intact_at_next_start())
        self.store = FakeStore()
        self.assertFalse(self.is_intact_at_next_start())

    def test_store_that_is_used_again_after_a_loss_is_not_intact_until_caught_up(self) -> None:
        async def use(caught_up: bool) -> None:
            records = self.records()
            await records.load(first_start=False)
            record = InstanceRecord("j", "s", "a:1", "z", "v", 4, InstanceState.GONE, 7)
            self.assertTrue(await records.persist(record))
            if caught_up:
                records.mark_complete()
                await asyncio.sleep(1.0)

        run_virtual(use(caught_up=False))
        self.assertIsNotNone(self.store.snapshot)
        self.assertFalse(self.is_intact_at_next_start())
        run_virtual(use(caught_up=True))
        self.assertTrue(self.is_intact_at_next_start())

    def test_refused_note_is_written_again(self) -> None:
        async def refuse_and_retry() -> None:
            records = self.records()
            await records.load(first_start=True)
            self.store.refuses = True
            records.mark_complete()
            await asyncio.sleep(1.0)
            self.assertTrue(records.write_failed)
            self.store.refuses = False
            await records.persist_all()
            await asyncio.sleep(1.0)

        run_virtual(refuse_and_retry())
        self.assertTrue(self.is_intact_at_next_start())
