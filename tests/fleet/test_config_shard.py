"""Tests of the configuration shard's driver: orders, reads, shutdowns, crashes and disk faults."""

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
Scenario = Callable[[ShardSimulation], Awaitable[None]]


class ShardTest(unittest.TestCase):
    def scenario(
        self,
        scenario: Scenario,
        counting_processes: int = 3,
        diskless_processes: int = 1,
        with_first_order: bool = True,
    ) -> None:
        """Run a scenario on a started shard, optionally with one accepted order, for five seeds."""

        async def run_seed(seed: int) -> None:
            simulation = ShardSimulation(counting_processes, diskless_processes, seed)
            await simulation.start()
            if with_first_order:
                outcome = await simulation.controls[-1].submit_replacement(5, 0)
                self.assertEqual(outcome.status, 200)
            await scenario(simulation)
            self.assertEqual(simulation.network.errors, [])

        for seed in range(5):
            with self.subTest(seed=seed):
                run_virtual(run_seed(seed))


class OrdersTest(ShardTest):
    def test_the_first_order_is_accepted_within_2_s_of_the_start(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            outcome = await simulation.controls[-1].submit_replacement(5, 0)
            self.assertEqual(outcome.status, 200)
            self.assertLess(asyncio.get_running_loop().time(), 2.0)
            self.assertEqual(len(simulation.leader().running_shard.voters()), 3)

        self.scenario(scenario, with_first_order=False)

    def test_any_process_accepts_orders_and_acknowledges_repeated_ones(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for number, control in enumerate(simulation.controls):
                outcome = await control.submit_replacement(6 + number, 5 + number)
                self.assertEqual(outcome.status, 200)
            for control in simulation.controls:
                self.assertEqual((await control.submit_replacement(6, 5)).status, 200)
                self.assertEqual((await control.submit_replacement(60, 5)).status, 412)
                self.assertEqual((await control.submit_replacement(3, 9)).status, 400)

        self.scenario(scenario)

    def test_patches_build_on_the_newest_document(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            diskless = simulation.controls[-1]
            patch = {"Generation": 8, "Upsert": {"Routes": [{"Name": "a"}, {"Name": "b"}]}}
            self.assertEqual(
                (await diskless.running_shard.submit("patch", 5, json.dumps(patch).encode(), 4.0)).status, 200
            )
            patch = {"Generation": 9, "Remove": {"Routes": ["a"]}}
            self.assertEqual(
                (await diskless.running_shard.submit("patch", 8, json.dumps(patch).encode(), 4.0)).status, 200
            )
            document = await simulation.leader().running_shard.confirmed_document(1.0)
            self.assertEqual(document, {"Generation": 9, "Routes": [{"Name": "b"}]})

        self.scenario(scenario)

    def test_invalid_orders_are_refused(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            diskless = simulation.controls[-1]
            self.assertEqual((await diskless.submit_replacement(7, 5, Invalid=True)).status, 400)
            for invalid_body in (
                b"",
                b"{",
                b"[]",
                b"{}",
                b'{"Generation": true}',
                b'{"Generation": 7.5}',
                b"\xff",
            ):
                self.assertEqual(
                    (await diskless.running_shard.submit("replace", 5, invalid_body, 4.0)).status, 400
                )
            self.assertEqual(
                (await diskless.running_shard.submit("other", 5, document_body(7), 4.0)).status, 400
            )
            self.assertEqual(
                (await diskless.running_shard.submit("replace", 5, bytes(MAX_BODY_BYTES + 1), 4.0)).status,
                413,
            )
            self.assertEqual((await diskless.submit_replacement(7, 5)).status, 200)

        self.scenario(scenario)

    def test_only_one_of_many_orders_on_one_base_version_is_accepted(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            orders = [simulation.controls[i % 4].submit_replacement(6 + i, 5) for i in range(8)]
            outcomes = [outcome.status for outcome in await asyncio.gather(*orders)]
            self.assertEqual(sorted(outcomes), [200] + [412] * 7)

        self.scenario(scenario)

    def test_one_order_sent_to_all_processes_is_acknowledged_by_all(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            outcomes = await asyncio.gather(
                *(control.submit_replacement(6, 5) for control in simulation.controls)
            )
            self.assertEqual([outcome.status for outcome in outcomes], [200] * 4)

        self.scenario(scenario)

    def test_orders_and_reads_fail_without_a_majority(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for control in simulation.controls[1:3]:
                control.kill()
            await asyncio.sleep(1.5)
            self.assertEqual((await simulation.controls[0].submit_replacement(6, 5, 1.0)).status, 503)
            self.assertIsNone(await simulation.controls[3].running_shard.confirmed_document(1.0))
            self.assertFalse(await simulation.controls[3].running_shard.confirm(0.5))

        self.scenario(scenario)

    def test_accepted_orders_are_acknowledged_again_without_a_leader(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            await asyncio.sleep(0.2)
            for control in simulation.controls[1:3]:
                control.kill()
            await asyncio.sleep(1.5)
            for control in (simulation.controls[0], simulation.controls[3]):
                self.assertEqual((await control.submit_replacement(5, 0, 0.1)).status, 200)

        self.scenario(scenario)


class FailureDomainTest(unittest.TestCase):
    def test_regions_are_the_failure_domain_where_region_loss_is_tolerated(self) -> None:
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

    def test_seed_names_are_internal_addresses(self) -> None:
        settings = LocalSettings("n", "control", "10.0.0.1", "z", internal_port_range=[7680, 7695])
        settings.seed_nodes = ["10.0.0.1:8665", "10.2.0.3:8665"]
        self.assertEqual(seed_names(settings), ["10.0.0.1:7680", "10.2.0.3:7680"])


class CommittedTest(ShardTest):
    def test_every_process_is_notified_of_each_version_once(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for generation in (7, 9, 10):
                base = {7: 5, 9: 7, 10: 9}[generation]
                self.assertEqual(
                    (await simulation.controls[0].submit_replacement(generation, base)).status, 200
                )
                await asyncio.sleep(0.2)
            for control in simulation.controls:
                self.assertEqual(control.committed_generations, [5, 7, 9, 10])
                configuration = control.running_shard.configuration()
                self.assertEqual(configuration.generation if configuration else 0, 10)
                self.assertEqual(
                    [taken["version"] for taken in control.running_shard.history()], [5, 7, 9, 10]
                )
                self.assertEqual(control.running_shard.status()["version"], 10)

        self.scenario(scenario)

    def test_a_read_at_any_process_returns_an_acknowledged_order(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for step in range(10):
                self.assertEqual(
                    (await simulation.controls[step % 4].submit_replacement(6 + step, 5 + step)).status, 200
                )
                document = await simulation.controls[(step + 1) % 4].running_shard.confirmed_document(1.0)
                self.assertEqual(document and document["Generation"], 6 + step)

        self.scenario(scenario)

    def test_a_failing_handler_does_not_stop_the_shard(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            def fail(*arguments: object) -> None:
                raise ValueError("injected")

            for control in simulation.controls:
                control.running_shard.on_committed.insert(0, fail)
                control.running_shard.on_voters.insert(0, fail)
            self.assertEqual((await simulation.controls[0].submit_replacement(7, 5)).status, 200)
            self.assertEqual((await simulation.controls[3].submit_replacement(8, 7)).status, 200)
            await asyncio.sleep(0.3)
            self.assertEqual(simulation.controls[3].committed_generations, [5, 7, 8])

        with self.assertLogs("brackenusher.control_plane.config_shard"):
            self.scenario(scenario)

    def test_voter_handlers_are_called_with_the_voters(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            reported = list[list[str]]()
            simulation.controls[3].running_shard.on_voters.append(
                lambda voters, index: reported.append(voters)
            )
            simulation.controls[3].running_shard._voters = []
            await asyncio.sleep(1.0)
            self.assertEqual(
                [sorted(voters) for voters in reported], [[c.address for c in simulation.controls[:3]]]
            )
            self.assertEqual(simulation.controls[3].running_shard.leader(), simulation.leader().address)

        self.scenario(scenario)


class FailoverTest(ShardTest):
    def test_orders_are_accepted_soon_after_a_leader_was_killed(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for version, silent, max_delay_s in ((5, False, 0.8), (6, True, 1.8)):
                old = simulation.leader()
                old.kill(silent)
                started_at = asyncio.get_running_loop().time()
                self.assertEqual(
                    (await simulation.controls[3].submit_replacement(version + 1, version)).status, 200
                )
                self.assertLess(asyncio.get_running_loop().time() - started_at, max_delay_s)
                await old.start()
                await asyncio.sleep(2.0)

        self.scenario(scenario)

    def test_a_planned_shutdown_of_the_leader_delays_orders_below_300_ms(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            old = simulation.leader()
            await old.running_shard.stop()
            started_at = asyncio.get_running_loop().time()
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)
            self.assertLess(asyncio.get_running_loop().time() - started_at, 0.3)

        self.scenario(scenario)

    def test_a_standby_replaces_a_voter_on_its_planned_shutdown(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            voters = set(simulation.leader().running_shard.voters())
            leaving = next(
                c for c in simulation.controls if c.address in voters and not c.running_shard.is_leader
            )
            started_at = asyncio.get_running_loop().time()
            await leaving.running_shard.stop()
            self.assertLess(asyncio.get_running_loop().time() - started_at, 1.4)
            remaining = set(simulation.leader().running_shard.voters())
            self.assertEqual((len(remaining), leaving.address in remaining), (3, False))

        self.scenario(scenario, counting_processes=4)

    def test_a_standby_replaces_a_leader_on_its_planned_shutdown(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            leaving = simulation.leader()
            await leaving.running_shard.stop()
            leaving.kill()
            await asyncio.sleep(0.5)
            self.assertEqual((await simulation.controls[4].submit_replacement(6, 5)).status, 200)
            remaining = set(simulation.leader().running_shard.voters())
            self.assertEqual((len(remaining), leaving.address in remaining), (3, False))

        self.scenario(scenario, counting_processes=4)

    def test_a_planned_shutdown_does_not_wait_without_a_standby(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            leaving = next(c for c in simulation.controls[:3] if not c.running_shard.is_leader)
            started_at = asyncio.get_running_loop().time()
            await leaving.running_shard.stop()
            self.assertLess(asyncio.get_running_loop().time() - started_at, 0.1)
            self.assertIn(leaving.address, simulation.leader().running_shard.voters())

        self.scenario(scenario)

    def test_a_restarted_voter_may_vote_again(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            voters = set(simulation.leader().running_shard.voters())
            leaving = next(
                c for c in simulation.controls if c.address in voters and not c.running_shard.is_leader
            )
            await leaving.running_shard.stop()
            leaving.kill()
            await leaving.start()
            await asyncio.sleep(1.0)
            other = next(
                c for c in simulation.controls[:4] if c is not leaving and not c.running_shard.is_leader
            )
            await other.running_shard.stop()
            self.assertIn(leaving.address, simulation.leader().running_shard.voters())

        self.scenario(scenario, counting_processes=4)

    def test_a_leader_replicates_its_log_before_its_planned_shutdown(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            leader = simulation.leader()
            slow = next(c for c in simulation.controls[:3] if c is not leader)
            slow.stall(0.2)
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)
            await leader.running_shard.stop()
            for control in simulation.controls[:3]:
                if control is not leader:
                    entries = control.running_shard._node.raft  # type: ignore[union-attr]
                    self.assertGreaterEqual(
                        entries.persisted_index,
                        leader.running_shard._node.raft.commit_index,  # type: ignore
                    )

        self.scenario(scenario)

    def test_accepted_orders_survive_a_crash_of_all_processes(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for control in simulation.controls:
                control.kill()
                control.disk.lose_power()
            for control in simulation.controls:
                await control.start()
            started_at = asyncio.get_running_loop().time()
            document = None
            while document is None:
                document = await simulation.controls[0].running_shard.confirmed_document(0.5)
            self.assertLess(asyncio.get_running_loop().time() - started_at, 2.0)
            self.assertEqual(document["Generation"], 5)
            self.assertEqual((await simulation.controls[1].submit_replacement(5, 0)).status, 200)
            self.assertEqual((await simulation.controls[1].submit_replacement(6, 0)).status, 412)

        self.scenario(scenario)

    def test_a_process_finds_the_leader_through_any_seed(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for seed in [f"10.0.0.{i}:8665" for i in (1, 2, 3)]:
                diskless = simulation.controls[4]
                diskless.kill()
                simulation.seeds = [seed]
                await diskless.start()
                await wait_until(
                    lambda diskless=diskless: diskless.running_shard.configuration() is not None, 1.5
                )  # type: ignore[misc]
                await asyncio.sleep(1.0)

        self.scenario(scenario, diskless_processes=2)

    def test_a_process_with_an_empty_disk_replaces_a_lost_voter(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            lost, fresh = simulation.controls[1], simulation.controls[3]
            fresh.kill()
            lost.kill(silent=True)
            fresh.counts_for_quorum = True
            await fresh.start()
            await wait_until(
                lambda: (
                    sorted(simulation.leader().running_shard.voters())[1:] == ["10.0.0.3:7680", fresh.address]
                ),
                6.0,
            )
            simulation.controls[0].kill()
            self.assertEqual((await fresh.submit_replacement(6, 5)).status, 200)

        self.scenario(scenario)


class DiskTest(ShardTest):
    def test_a_leader_with_a_stalled_disk_transfers_the_leadership(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            old = simulation.leader()
            old.stall(8.0)
            started_at = asyncio.get_running_loop().time()
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)
            self.assertLess(asyncio.get_running_loop().time() - started_at, 1.5)
            self.assertIsNot(simulation.leader(), old)

        self.scenario(scenario)

    def test_a_leader_with_a_full_disk_transfers_the_leadership(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            old = simulation.leader()
            old.disk.full = True
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)
            old.disk.full = False
            await asyncio.sleep(1.0)
            self.assertFalse(old.running_shard.status()["disk_refuses"])
            self.assertEqual(old.running_shard.document(), simulation.leader().running_shard.document())

        with self.assertLogs(STORAGE_LOG):
            self.scenario(scenario)

    def test_orders_get_503_while_all_disks_are_full(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            for control in simulation.controls:
                control.disk.full = True
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 503)
            for control in simulation.controls:
                control.disk.full = False
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)

        with self.assertLogs(STORAGE_LOG):
            self.scenario(scenario)

    def test_a_voter_that_lost_its_disk_catches_up(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            old = simulation.leader()
            old.kill()
            old.disk.wipe()
            await old.start()
            self.assertTrue(old.running_shard.status()["catching_up"])
            await wait_until(lambda: not old.running_shard.status()["catching_up"], 2.5)
            self.assertEqual(old.running_shard.document(), simulation.leader().running_shard.document())

        self.scenario(scenario)

    def test_a_wiped_voter_and_a_stale_one_elect_no_leader(self) -> None:
        async def scenario(simulation: ShardSimulation) -> None:
            leader = simulation.leader()
            stale, wiped = [c for c in simulation.controls[:3] if c is not leader]
            stale.kill()
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)
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
            self.assertEqual((await simulation.controls[3].submit_replacement(6, 5)).status, 200)
            self.assertEqual((await simulation.controls[3].submit_replacement(7, 5)).status, 412)

        self.scenario(scenario)
