"""The ordinary path of registration and feeds, and each single trouble, in virtual time."""

import asyncio
import unittest
from unittest import mock

from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.replication.registry import Entry, Registry
from brackenusher.control_plane.confirmations import Confirmation
from brackenusher.control_plane.final_records import FinalRecords
from brackenusher.control_plane.registry_service import RegistryService
from tests.fleet.fake_links import pair
from tests.fleet.feed_world import ProxyProcess, World, configuration, story


class FeedPathsTest(unittest.TestCase):
    """Three control processes, two proxies."""

    @story
    async def test_a_server_is_offered_at_all_proxies(self, world: World) -> None:
        world.start_server("s0")
        await asyncio.sleep(2.0)
        for proxy in world.proxies.values():
            self.assertTrue(proxy.uses("i0"))

    @story
    async def test_a_proxy_is_ready_once_the_configuration_is_confirmed(self, world: World) -> None:
        proxy = next(iter(world.proxies.values()))
        await asyncio.sleep(3.5)
        self.assertFalse(proxy.client.ready)
        world.commit(configuration(5))
        await asyncio.sleep(0.5)
        self.assertEqual(proxy.client.version, 5)
        self.assertTrue(proxy.client.ready)
        world.commit(configuration(9))
        await asyncio.sleep(0.5)
        self.assertEqual([version for _, version in proxy.versions], [5, 9])

    @story
    async def test_a_drain_reaches_all_proxies_though_the_acknowledging_process_dies(
        self, world: World
    ) -> None:
        server = world.start_server("s0")
        await asyncio.sleep(3.0)
        server.crash()
        server.state = InstanceState.DRAINING
        by = world.voters[0]
        self.assertTrue(await world.call(by, "heartbeat", server.record()))
        world.kill_control(by, silent=True)
        await asyncio.sleep(0.5)
        for proxy in world.proxies.values():
            self.assertFalse(proxy.uses("i0"))

    @story
    async def test_a_crashed_server_is_not_offered_beside_another_for_long(self, world: World) -> None:
        world.start_server("s0")
        world.start_server("s0")
        await asyncio.sleep(4.0)
        world.servers["i0"].crash()
        await asyncio.sleep(6.0)
        for proxy in world.proxies.values():
            self.assertFalse(proxy.uses("i0"))
            self.assertTrue(proxy.uses("i1"))

    @story
    async def test_a_service_whose_servers_all_fall_silent_is_not_emptied(self, world: World) -> None:
        world.start_server("s0")
        world.start_server("s0")
        await asyncio.sleep(4.0)
        for server in world.servers.values():
            server.crash()
        await asyncio.sleep(8.0)
        for proxy in world.proxies.values():
            self.assertTrue(proxy.uses("i0") and proxy.uses("i1"))

    @story
    async def test_drains_outlive_the_restart_of_all_control_processes(self, world: World) -> None:
        server = world.start_server("s0")
        await asyncio.sleep(3.0)
        server.crash()
        late = server.record()
        server.state = InstanceState.DRAINING
        self.assertTrue(await world.call(world.voters[1], "heartbeat", server.record()))
        for address in world.voters:
            world.kill_control(address)
        await asyncio.sleep(0.5)
        for address in world.voters:
            world.start_control(address)
        proxy = world.start_proxy("10.1.0.9:7001")
        await asyncio.sleep(1.0)
        late.sequence += 10
        await world.call(world.voters[0], "heartbeat", late)
        newcomer = world.start_proxy("10.1.0.8:7001")
        await asyncio.sleep(2.0)
        self.assertFalse(proxy.uses("i0") or newcomer.uses("i0"))
        await asyncio.sleep(3.0)
        self.assertFalse(proxy.uses("i0") or newcomer.uses("i0"))

    def test_drains_that_newer_heartbeats_undo_are_found(self) -> None:
        def newest_wins(registry: Registry, record: InstanceRecord, now: float) -> bool:
            entry = registry.entries.get(record.id)
            if entry is not None and record.sequence > entry.heard:
                del registry.entries[record.id]
            return plain(registry, record, now)

        plain = Registry.merge
        with mock.patch.object(Registry, "merge", newest_wins), self.assertRaises(AssertionError):
            self.test_drains_outlive_the_restart_of_all_control_processes()

    def test_forgetting_what_the_disk_keeps_is_found(self) -> None:
        with mock.patch.object(FinalRecords, "load", lambda final: []), self.assertRaises(AssertionError):
            self.test_drains_outlive_the_restart_of_all_control_processes()

    @story
    async def test_nothing_is_acknowledged_without_a_majority(self, world: World) -> None:
        await asyncio.sleep(1.0)
        one, others = world.voters[0], world.voters[1:]
        for other in others:
            world.network.cut(one, other)
        server = world.start_server("s0")
        server.crash()
        self.assertFalse(await world.call(one, "heartbeat", server.record()))
        await asyncio.sleep(2.0)
        self.assertFalse(await world.call(one, "heartbeat", server.record()))
        for other in others:
            world.network.heal(one, other)
        await asyncio.sleep(1.0)
        self.assertTrue(await world.call(one, "heartbeat", server.record()))
        self.assertIn("i0", world.controls[others[0]].registry.registry.entries)

    def test_a_majority_of_one_is_found(self) -> None:
        with mock.patch.object(Confirmation, "needed", 1), self.assertRaises(AssertionError):
            self.test_nothing_is_acknowledged_without_a_majority()

    @story
    async def test_a_server_that_falls_silent_comes_back_with_its_next_heartbeat(self, world: World) -> None:
        server = world.start_server("s0")
        world.start_server("s0")
        await asyncio.sleep(3.0)
        server.pause_s = 7.0
        await asyncio.sleep(7.0)
        self.assertFalse(any(proxy.uses("i0") for proxy in world.proxies.values()))
        await asyncio.sleep(3.0)
        self.assertTrue(all(proxy.uses("i0") for proxy in world.proxies.values()))

    def test_silence_that_a_heartbeat_does_not_end_is_found(self) -> None:
        def heard(registry: Registry, entry: Entry, sequence: int, now: float) -> None:
            if entry.silent_sequence < entry.heard:
                plain(registry, entry, sequence, now)

        plain = Registry._record_heartbeat
        with mock.patch.object(Registry, "_record_heartbeat", heard), self.assertRaises(AssertionError):
            self.test_a_server_that_falls_silent_comes_back_with_its_next_heartbeat()

    @story
    async def test_processes_tell_each_other_all_when_a_link_comes_up(self, world: World) -> None:
        await asyncio.sleep(1.0)
        one, two, three = world.voters
        world.network.cut(one, three)
        world.network.cut(two, three)
        server = world.start_server("s0")
        await asyncio.sleep(3.0)
        server.crash()
        server.state = InstanceState.DRAINING
        self.assertTrue(await world.call(one, "heartbeat", server.record()))
        world.network.heal(one, three)
        await asyncio.sleep(1.0)
        self.assertIs(world.controls[three].registry.registry.entries["i0"].state, InstanceState.DRAINING)

    def test_links_that_come_up_without_an_exchange_are_found(self) -> None:
        silent = mock.patch.object(RegistryService, "_link_changed", lambda service, address, hello: None)
        with silent, self.assertRaises((AssertionError, KeyError)):
            self.test_processes_tell_each_other_all_when_a_link_comes_up()

    @story
    async def test_drains_are_not_acknowledged_where_disks_refuse(self, world: World) -> None:
        await asyncio.sleep(1.0)
        for store in world.stores.values():
            store.refuses = True
        server = world.start_server("s0")
        server.crash()
        self.assertTrue(await world.call(world.voters[0], "heartbeat", server.record()))
        server.state = InstanceState.DRAINING
        self.assertFalse(await world.call(world.voters[0], "heartbeat", server.record()))
        world.stores[world.voters[1]].refuses = False
        world.stores[world.voters[2]].refuses = False
        self.assertTrue(await world.call(world.voters[0], "heartbeat", server.record()))

    @story
    async def test_a_proxy_follows_new_voters_and_leaves_the_old_ones(self, world: World) -> None:
        world.start_server("s0")
        await asyncio.sleep(3.0)
        old, new = world.voters[0], "10.0.0.9:7000"
        world.start_control(new)
        world.voters, world.voters_index = [*world.voters[1:], new], 2
        world.start_control(old)  # what is told at the start of a link is what has changed
        for address in world.voters:
            for proxy in world.proxies.values():
                world.network.reset(*pair(address, proxy.address))
        await asyncio.sleep(3.0)
        for proxy in world.proxies.values():
            self.assertEqual(sorted(proxy.client.voters), sorted(world.voters))
            self.assertEqual(proxy.links.wanted_peers, set(world.voters))
            self.assertTrue(proxy.uses("i0"))

    @story
    async def test_a_proxy_whose_seeds_are_down_is_found_by_what_peers_tell(self, world: World) -> None:
        world.commit(configuration(3))
        links = world.network.open(world.hello("10.1.0.9:7001", "proxy"))
        proxy = ProxyProcess(world, "10.1.0.9:7001", links, ["10.0.0.77"])
        world.spawn(proxy.run())
        await asyncio.sleep(3.0)
        self.assertEqual(proxy.client.version, 0)
        proxy.client.learn(world.voters[:1])
        await asyncio.sleep(3.0)
        self.assertTrue(proxy.client.ready)
        self.assertEqual(links.wanted_peers, set(world.voters))

    @story
    async def test_a_new_server_at_an_address_silences_the_one_before(self, world: World) -> None:
        first = world.start_server("s0")
        world.start_server("s0")
        await asyncio.sleep(3.0)
        first.crash()
        following = world.start_server("s1")
        following.address = first.address
        await asyncio.sleep(0.5)
        for proxy in world.proxies.values():
            self.assertFalse(proxy.uses(first.id))
            self.assertTrue(proxy.uses(following.id) and proxy.uses("i1"))

    @story
    async def test_a_proxy_costs_little_traffic_when_nothing_changes(self, world: World) -> None:
        for number in range(30):
            world.start_server(f"s{number % 2}")
        world.commit(configuration(3))
        await asyncio.sleep(10.0)
        before = {address: control.links.sent_bytes for address, control in world.controls.items()}
        await asyncio.sleep(20.0)
        sent = sum(control.links.sent_bytes - before[a] for a, control in world.controls.items())
        self.assertLess(
            sent / 20.0, 10_000
        )  # bytes a second between three control processes, and to two proxies

    @story
    async def test_a_proxy_serves_on_and_comes_back_when_the_core_restarts(self, world: World) -> None:
        world.commit(configuration(3))
        world.start_server("s0")
        await asyncio.sleep(4.0)
        proxy = next(iter(world.proxies.values()))
        for address in world.voters:
            world.kill_control(address)
        await asyncio.sleep(5.0)
        self.assertTrue(proxy.client.ready and proxy.uses("i0"))
        for address in world.voters:
            world.start_control(address).shard.take(world.commits[-1])
        await asyncio.sleep(2.0)
        world.commit(configuration(8))
        await asyncio.sleep(2.0)
        self.assertEqual(proxy.client.version, 8)
        self.assertTrue(proxy.uses("i0"))


if __name__ == "__main__":
    unittest.main()
