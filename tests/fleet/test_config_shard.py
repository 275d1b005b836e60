"""The driver of the configuration shard: orders, reads, the end of processes and trouble with disks."""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

from barleybarrow.consensus.configuration_state import MAX_BODY_BYTES
from barleybarrow.consensus.voter_selection import ControlProcess
from brackenusher.cluster import messages
from brackenusher.control_plane.config_members import control_process, failure_domain, seed_names
from brackenusher.settings.local import LocalSettings
from tests.fleet.shard_world import ShardSimulation, document_body, wait_until
from tests.fleet.virtual_time import run_virtual

STORAGE_LOG = "brackenusher.control_plane.config_storage"
Story = Callable[[ShardSimulation], Awaitable[None]]


class ShardTest(unittest.TestCase):
    def story(self, story: Story, counting: int = 3, doors: int = 1, first: bool = True) -> None:
        """Play a story after the first start, for a few seeds."""

        async def whole(seed: int) -> None:
            world = ShardSimulation(counting, doors, seed)
            await world.start()
            if first:
                outcome = await world.controls[-1].submit_replacement(5, 0)
                self.assertEqual(outcome.status, 200)
            await story(world)
            self.assertEqual(world.network.errors, [])

        for seed in range(5):
            with self.subTest(seed=seed):
                run_virtual(whole(seed))


class OrdersTest(ShardTest):
    def test_the_first_order_is_taken_soon_after_the_start(self) -> None:
        async def story(world: ShardSimulation) -> None:
            outcome = await world.controls[-1].submit_replacement(5, 0)
            self.assertEqual(outcome.status, 200)
            self.assertLess(asyncio.get_running_loop().time(), 2.0)
            self.assertEqual(len(world.leader().running_shard.voters()), 3)

        self.story(story, first=False)

    def test_any_process_takes_orders_and_acknowledges_them_again(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for number, control in enumerate(world.controls):
                outcome = await control.submit_replacement(6 + number, 5 + number)
                self.assertEqual(outcome.status, 200)
            for control in world.controls:
                self.assertEqual((await control.submit_replacement(6, 5)).status, 200)
                self.assertEqual((await control.submit_replacement(60, 5)).status, 412)
                self.assertEqual((await control.submit_replacement(3, 9)).status, 400)

        self.story(story)

    def test_patches_build_on_the_newest_document(self) -> None:
        async def story(world: ShardSimulation) -> None:
            door = world.controls[-1]
            patch = {"Generation": 8, "Upsert": {"Routes": [{"Name": "a"}, {"Name": "b"}]}}
            self.assertEqual(
                (await door.running_shard.submit("patch", 5, json.dumps(patch).encode(), 4.0)).status, 200
            )
            patch = {"Generation": 9, "Remove": {"Routes": ["a"]}}
            self.assertEqual(
                (await door.running_shard.submit("patch", 8, json.dumps(patch).encode(), 4.0)).status, 200
            )
            document = await world.leader().running_shard.confirmed_document(1.0)
            self.assertEqual(document, {"Generation": 9, "Routes": [{"Name": "b"}]})

        self.story(story)

    def test_what_can_never_be_taken_is_refused(self) -> None:
        async def story(world: ShardSimulation) -> None:
            door = world.controls[-1]
            self.assertEqual((await door.submit_replacement(7, 5, Invalid=True)).status, 400)
            for bad in (b"", b"{", b"[]", b"{}", b'{"Generation": true}', b'{"Generation": 7.5}', b"\xff"):
                self.assertEqual((await door.running_shard.submit("replace", 5, bad, 4.0)).status, 400)
            self.assertEqual((await door.running_shard.submit("other", 5, document_body(7), 4.0)).status, 400)
            self.assertEqual(
                (await door.running_shard.submit("replace", 5, bytes(MAX_BODY_BYTES + 1), 4.0)).status, 413
            )
            self.assertEqual((await door.submit_replacement(7, 5)).status, 200)

        self.story(story)

    def test_of_many_on_one_base_one_is_taken(self) -> None:
        async def story(world: ShardSimulation) -> None:
            orders = [world.controls[i % 4].submit_replacement(6 + i, 5) for i in range(8)]
            outcomes = [outcome.status for outcome in await asyncio.gather(*orders)]
            self.assertEqual(sorted(outcomes), [200] + [412] * 7)

        self.story(story)

    def test_one_order_at_many_processes_at_once_is_acknowledged_by_all(self) -> None:
        async def story(world: ShardSimulation) -> None:
            outcomes = await asyncio.gather(*(control.submit_replacement(6, 5) for control in world.controls))
            self.assertEqual([outcome.status for outcome in outcomes], [200] * 4)

        self.story(story)

    def test_without_a_majority_there_is_no_clear_answer(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for control in world.controls[1:3]:
                control.kill()
            await asyncio.sleep(1.5)
            self.assertEqual((await world.controls[0].submit_replacement(6, 5, 1.0)).status, 503)
            self.assertIsNone(await world.controls[3].running_shard.confirmed_document(1.0))
            self.assertFalse(await world.controls[3].running_shard.confirm(0.5))

        self.story(story)

    def test_what_was_taken_is_acknowledged_again_without_a_leader(self) -> None:
        async def story(world: ShardSimulation) -> None:
            await asyncio.sleep(0.2)
            for control in world.controls[1:3]:
                control.kill()
            await asyncio.sleep(1.5)
            for control in (world.controls[0], world.controls[3]):
                self.assertEqual((await control.submit_replacement(5, 0, 0.1)).status, 200)

        self.story(story)


class FailureDomainTest(unittest.TestCase):
    def test_regions_count_where_one_may_be_lost(self) -> None:
        settings = LocalSettings(
            "n", "control", "10.0.0.1", "east-1", zones={"east-1": "east", "west-1": "west"}
        )
        self.assertEqual(failure_domain(settings, "west-1"), "west-1")
        settings.fault_tolerance.regions = 1
        self.assertEqual(failure_domain(settings, "west-1"), "west")
        self.assertEqual(failure_domain(settings, "unknown"), "unknown")
        hello = messages.Hello(
            "10.0.0.2:7680", "control", zone="west-1", counts_for_quorum=True, has_disk=False
        )
        self.assertEqual(control_process(settings, hello), ControlProcess("10.0.0.2:7680", "west", False))

    def test_seeds_are_known_by_their_internal_addresses(self) -> None:
        settings = LocalSettings("n", "control", "10.0.0.1", "z", internal_port_range=[7680, 7695])
        settings.seed_nodes = ["10.0.0.1:8665", "10.2.0.3:8665"]
        self.assertEqual(seed_names(settings), ["10.0.0.1:7680", "10.2.0.3:7680"])


class CommittedTest(ShardTest):
    def test_every_process_is_told_of_each_version_once(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for generation in (7, 9, 10):
                base = {7: 5, 9: 7, 10: 9}[generation]
                self.assertEqual((await world.controls[0].submit_replacement(generation, base)).status, 200)
                await asyncio.sleep(0.2)
            for control in world.controls:
                self.assertEqual(control.committed_generations, [5, 7, 9, 10])
                configuration = control.running_shard.configuration()
                self.assertEqual(configuration.generation if configuration else 0, 10)
                self.assertEqual(
                    [taken["version"] for taken in control.running_shard.history()], [5, 7, 9, 10]
                )
                self.assertEqual(control.running_shard.status()["version"], 10)

        self.story(story)

    def test_a_read_after_an_acknowledgement_gives_it_anywhere(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for step in range(10):
                self.assertEqual(
                    (await world.controls[step % 4].submit_replacement(6 + step, 5 + step)).status, 200
                )
                document = await world.controls[(step + 1) % 4].running_shard.confirmed_document(1.0)
                self.assertEqual(document and document["Generation"], 6 + step)

        self.story(story)

    def test_a_handler_that_fails_stops_nothing(self) -> None:
        async def story(world: ShardSimulation) -> None:
            def fail(*arguments: object) -> None:
                raise ValueError("planted")

            for control in world.controls:
                control.running_shard.on_committed.insert(0, fail)
                control.running_shard.on_voters.insert(0, fail)
            self.assertEqual((await world.controls[0].submit_replacement(7, 5)).status, 200)
            self.assertEqual((await world.controls[3].submit_replacement(8, 7)).status, 200)
            await asyncio.sleep(0.3)
            self.assertEqual(world.controls[3].committed_generations, [5, 7, 8])

        with self.assertLogs("brackenusher.control_plane.config_shard"):
            self.story(story)

    def test_the_voters_are_told(self) -> None:
        async def story(world: ShardSimulation) -> None:
            told = list[list[str]]()
            world.controls[3].running_shard.on_voters.append(lambda voters, index: told.append(voters))
            world.controls[3].running_shard._voters = []
            await asyncio.sleep(1.0)
            self.assertEqual([sorted(voters) for voters in told], [[c.address for c in world.controls[:3]]])
            self.assertEqual(world.controls[3].running_shard.leader(), world.leader().address)

        self.story(story)


class EndsTest(ShardTest):
    def test_a_killed_leader_is_followed_soon(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for version, silent, longest in ((5, False, 0.8), (6, True, 1.8)):
                old = world.leader()
                old.kill(silent)
                began = asyncio.get_running_loop().time()
                self.assertEqual(
                    (await world.controls[3].submit_replacement(version + 1, version)).status, 200
                )
                self.assertLess(asyncio.get_running_loop().time() - began, longest)
                await old.start()
                await asyncio.sleep(2.0)

        self.story(story)

    def test_a_planned_end_of_the_leader_is_hardly_noticed(self) -> None:
        async def story(world: ShardSimulation) -> None:
            old = world.leader()
            await old.running_shard.stop()
            began = asyncio.get_running_loop().time()
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)
            self.assertLess(asyncio.get_running_loop().time() - began, 0.3)

        self.story(story)

    def test_a_voter_that_ends_as_planned_is_replaced_by_a_standby(self) -> None:
        async def story(world: ShardSimulation) -> None:
            voters = set(world.leader().running_shard.voters())
            goes = next(c for c in world.controls if c.address in voters and not c.running_shard.is_leader)
            began = asyncio.get_running_loop().time()
            await goes.running_shard.stop()
            self.assertLess(asyncio.get_running_loop().time() - began, 1.4)
            left = set(world.leader().running_shard.voters())
            self.assertEqual((len(left), goes.address in left), (3, False))

        self.story(story, counting=4)

    def test_a_leader_that_ends_as_planned_is_replaced_too(self) -> None:
        async def story(world: ShardSimulation) -> None:
            goes = world.leader()
            await goes.running_shard.stop()
            goes.kill()
            await asyncio.sleep(0.5)
            self.assertEqual((await world.controls[4].submit_replacement(6, 5)).status, 200)
            left = set(world.leader().running_shard.voters())
            self.assertEqual((len(left), goes.address in left), (3, False))

        self.story(story, counting=4)

    def test_without_a_standby_a_planned_end_waits_for_none(self) -> None:
        async def story(world: ShardSimulation) -> None:
            goes = next(c for c in world.controls[:3] if not c.running_shard.is_leader)
            began = asyncio.get_running_loop().time()
            await goes.running_shard.stop()
            self.assertLess(asyncio.get_running_loop().time() - began, 0.1)
            self.assertIn(goes.address, world.leader().running_shard.voters())

        self.story(story)

    def test_a_voter_that_comes_back_may_vote_again(self) -> None:
        async def story(world: ShardSimulation) -> None:
            voters = set(world.leader().running_shard.voters())
            goes = next(c for c in world.controls if c.address in voters and not c.running_shard.is_leader)
            await goes.running_shard.stop()
            goes.kill()
            await goes.start()
            await asyncio.sleep(1.0)
            other = next(c for c in world.controls[:4] if c is not goes and not c.running_shard.is_leader)
            await other.running_shard.stop()
            self.assertIn(goes.address, world.leader().running_shard.voters())

        self.story(story, counting=4)

    def test_a_leader_that_ends_has_others_hold_all_before(self) -> None:
        async def story(world: ShardSimulation) -> None:
            leader = world.leader()
            slow = next(c for c in world.controls[:3] if c is not leader)
            slow.stall(0.2)
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)
            await leader.running_shard.stop()
            for control in world.controls[:3]:
                if control is not leader:
                    entries = control.running_shard._node.raft  # type: ignore[union-attr]
                    self.assertGreaterEqual(
                        entries.persisted_index,
                        leader.running_shard._node.raft.commit_index,  # type: ignore
                    )

        self.story(story)

    def test_all_killed_at_once_are_back_soon_with_what_was_taken(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for control in world.controls:
                control.kill()
                control.disk.lose_power()
            for control in world.controls:
                await control.start()
            began = asyncio.get_running_loop().time()
            document = None
            while document is None:
                document = await world.controls[0].running_shard.confirmed_document(0.5)
            self.assertLess(asyncio.get_running_loop().time() - began, 2.0)
            self.assertEqual(document["Generation"], 5)
            self.assertEqual((await world.controls[1].submit_replacement(5, 0)).status, 200)
            self.assertEqual((await world.controls[1].submit_replacement(6, 0)).status, 412)

        self.story(story)

    def test_a_process_whose_seeds_do_not_lead_finds_the_leader(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for seed in [f"10.0.0.{i}:8665" for i in (1, 2, 3)]:
                door = world.controls[4]
                door.kill()
                world.seeds = [seed]
                await door.start()
                await wait_until(lambda door=door: door.running_shard.configuration() is not None, 1.5)  # type: ignore[misc]
                await asyncio.sleep(1.0)

        self.story(story, doors=2)

    def test_a_lost_voter_is_replaced_by_an_empty_machine(self) -> None:
        async def story(world: ShardSimulation) -> None:
            lost, fresh = world.controls[1], world.controls[3]
            fresh.kill()
            lost.kill(silent=True)
            fresh.counts_for_quorum = True
            await fresh.start()
            await wait_until(
                lambda: sorted(world.leader().running_shard.voters())[1:] == ["10.0.0.3:7680", fresh.address],
                6.0,
            )
            world.controls[0].kill()
            self.assertEqual((await fresh.submit_replacement(6, 5)).status, 200)

        self.story(story)


class DiskTest(ShardTest):
    def test_a_leader_whose_disk_stalls_gives_the_lead_away(self) -> None:
        async def story(world: ShardSimulation) -> None:
            old = world.leader()
            old.stall(8.0)
            began = asyncio.get_running_loop().time()
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)
            self.assertLess(asyncio.get_running_loop().time() - began, 1.5)
            self.assertIsNot(world.leader(), old)

        self.story(story)

    def test_a_leader_whose_disk_is_full_gives_the_lead_away(self) -> None:
        async def story(world: ShardSimulation) -> None:
            old = world.leader()
            old.disk.full = True
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)
            old.disk.full = False
            await asyncio.sleep(1.0)
            self.assertFalse(old.running_shard.status()["disk_refuses"])
            self.assertEqual(old.running_shard.document(), world.leader().running_shard.document())

        with self.assertLogs(STORAGE_LOG):
            self.story(story)

    def test_full_disks_everywhere_refuse_politely_and_recover(self) -> None:
        async def story(world: ShardSimulation) -> None:
            for control in world.controls:
                control.disk.full = True
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 503)
            for control in world.controls:
                control.disk.full = False
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)

        with self.assertLogs(STORAGE_LOG):
            self.story(story)

    def test_a_lost_disk_is_caught_up_before_it_counts(self) -> None:
        async def story(world: ShardSimulation) -> None:
            old = world.leader()
            old.kill()
            old.disk.wipe()
            await old.start()
            self.assertTrue(old.running_shard.status()["catching_up"])
            await wait_until(lambda: not old.running_shard.status()["catching_up"], 2.5)
            self.assertEqual(old.running_shard.document(), world.leader().running_shard.document())

        self.story(story)

    def test_an_empty_voter_and_a_stale_one_never_elect(self) -> None:
        async def story(world: ShardSimulation) -> None:
            leader = world.leader()
            stale, wiped = [c for c in world.controls[:3] if c is not leader]
            stale.kill()
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)
            leader.kill()
            wiped.kill()
            wiped.disk.wipe()
            await stale.start()
            await wiped.start()
            for _ in range(8):
                await asyncio.sleep(0.5)
                self.assertEqual((await stale.submit_replacement(7, 5, 0.1)).status, 503)
                self.assertFalse(stale.running_shard.is_leader or wiped.running_shard.is_leader)
            await leader.start()
            self.assertEqual((await world.controls[3].submit_replacement(6, 5)).status, 200)
            self.assertEqual((await world.controls[3].submit_replacement(7, 5)).status, 412)

        self.story(story)
