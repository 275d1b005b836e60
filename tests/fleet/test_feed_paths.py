"""Registration and feeds in virtual time: the normal path, and each fault by itself."""

import asyncio
import unittest
from unittest import mock

from barleybarrow.replication.records import InstanceRecord, InstanceState
from barleybarrow.replication.registry import Registry, RegistryEntry
from brackenusher.control_plane.confirmations import Confirmation
from brackenusher.control_plane.final_records import FinalRecords
from brackenusher.control_plane.registry_service import RegistryService
from tests.fleet.fake_links import address_pair
from tests.fleet.feed_world import FeedSimulation, ProxyProcess, make_configuration, simulated


class FeedPathsTest(unittest.TestCase):
    """Three control processes, two proxies."""

    @simulated
    async def test_a_new_server_is_offered_by_all_proxies(self, simulation: FeedSimulation) -> None:
        simulation.start_server("s0")
        await asyncio.sleep(2.0)
        for proxy in simulation.proxies.values():
            self.assertTrue(proxy.offers("i0"))

    @simulated
    async def test_a_proxy_is_ready_once_the_configuration_is_confirmed(
        self, simulation: FeedSimulation
    ) -> None:
        proxy = next(iter(simulation.proxies.values()))
        await asyncio.sleep(3.5)
        self.assertFalse(proxy.client.ready)
        simulation.commit(make_configuration(5))
        await asyncio.sleep(0.5)
        self.assertEqual(proxy.client.version, 5)
        self.assertTrue(proxy.client.ready)
        simulation.commit(make_configuration(9))
        await asyncio.sleep(0.5)
        self.assertEqual([version for _, version in proxy.versions], [5, 9])

    @simulated
    async def test_a_drain_reaches_all_proxies_although_the_acknowledging_process_dies(
        self, simulation: FeedSimulation
    ) -> None:
        server = simulation.start_server("s0")
        await asyncio.sleep(3.0)
        server.crash()
        server.state = InstanceState.DRAINING
        by = simulation.voters[0]
        self.assertTrue(await simulation.call(by, "heartbeat", server.record()))
        simulation.kill_control(by, silent=True)
        await asyncio.sleep(0.5)
        for proxy in simulation.proxies.values():
            self.assertFalse(proxy.offers("i0"))

    @simulated
    async def test_a_crashed_server_is_dropped_while_another_one_runs(
        self, simulation: FeedSimulation
    ) -> None:
        simulation.start_server("s0")
        simulation.start_server("s0")
        await asyncio.sleep(4.0)
        simulation.servers["i0"].crash()
        await asyncio.sleep(6.0)
        for proxy in simulation.proxies.values():
            self.assertFalse(proxy.offers("i0"))
            self.assertTrue(proxy.offers("i1"))

    @simulated
    async def test_a_service_whose_servers_all_fall_silent_keeps_them(
        self, simulation: FeedSimulation
    ) -> None:
        simulation.start_server("s0")
        simulation.start_server("s0")
        await asyncio.sleep(4.0)
        for server in simulation.servers.values():
            server.crash()
        await asyncio.sleep(8.0)
        for proxy in simulation.proxies.values():
            self.assertTrue(proxy.offers("i0") and proxy.offers("i1"))

    @simulated
    async def test_drains_survive_a_restart_of_all_control_processes(
        self, simulation: FeedSimulation
    ) -> None:
        server = simulation.start_server("s0")
        await asyncio.sleep(3.0)
        server.crash()
        late = server.record()
        server.state = InstanceState.DRAINING
        self.assertTrue(await simulation.call(simulation.voters[1], "heartbeat", server.record()))
        for address in simulation.voters:
            simulation.kill_control(address)
        await asyncio.sleep(0.5)
        for address in simulation.voters:
            simulation.start_control(address)
        proxy = simulation.start_proxy("10.1.0.9:7001")
        await asyncio.sleep(1.0)
        late.sequence += 10
        await simulation.call(simulation.voters[0], "heartbeat", late)
        later_proxy = simulation.start_proxy("10.1.0.8:7001")
        await asyncio.sleep(2.0)
        self.assertFalse(proxy.offers("i0") or later_proxy.offers("i0"))
        await asyncio.sleep(3.0)
        self.assertFalse(proxy.offers("i0") or later_proxy.offers("i0"))

    def test_drains_undone_by_newer_heartbeats_are_found(self) -> None:
        def newest_wins(registry: Registry, record: InstanceRecord, now: float) -> bool:
            entry = registry.entries.get(record.id)
            if entry is not None and record.sequence > entry.last_sequence:
                del registry.entries[record.id]
            return original(registry, record, now)

        original = Registry.merge
        with mock.patch.object(Registry, "merge", newest_wins), self.assertRaises(AssertionError):
            self.test_drains_survive_a_restart_of_all_control_processes()

    def test_ignoring_stored_drains_is_found(self) -> None:
        with mock.patch.object(FinalRecords, "load", lambda final: []), self.assertRaises(AssertionError):
            self.test_drains_survive_a_restart_of_all_control_processes()

    @simulated
    async def test_nothing_is_acknowledged_without_a_majority(self, simulation: FeedSimulation) -> None:
        await asyncio.sleep(1.0)
        one, others = simulation.voters[0], simulation.voters[1:]
        for other in others:
            simulation.network.partition(one, other)
        server = simulation.start_server("s0")
        server.crash()
        self.assertFalse(await simulation.call(one, "heartbeat", server.record()))
        await asyncio.sleep(2.0)
        self.assertFalse(await simulation.call(one, "heartbeat", server.record()))
        for other in others:
            simulation.network.heal(one, other)
        await asyncio.sleep(1.0)
        self.assertTrue(await simulation.call(one, "heartbeat", server.record()))
        self.assertIn("i0", simulation.controls[others[0]].registry.registry.entries)

    def test_acknowledging_without_a_majority_is_found(self) -> None:
        with mock.patch.object(Confirmation, "needed", 1), self.assertRaises(AssertionError):
            self.test_nothing_is_acknowledged_without_a_majority()

    @simulated
    async def test_a_silent_server_is_offered_again_after_its_next_heartbeat(
        self, simulation: FeedSimulation
    ) -> None:
        server = simulation.start_server("s0")
        simulation.start_server("s0")
        await asyncio.sleep(3.0)
        server.pause_s = 7.0
        await asyncio.sleep(7.0)
        self.assertFalse(any(proxy.offers("i0") for proxy in simulation.proxies.values()))
        await asyncio.sleep(3.0)
        self.assertTrue(all(proxy.offers("i0") for proxy in simulation.proxies.values()))

    def test_a_silence_that_heartbeats_do_not_end_is_found(self) -> None:
        def ignore_while_silent(registry: Registry, entry: RegistryEntry, sequence: int, now: float) -> None:
            if entry.silent_sequence < entry.last_sequence:
                original(registry, entry, sequence, now)

        original = Registry._record_heartbeat
        with (
            mock.patch.object(Registry, "_record_heartbeat", ignore_while_silent),
            self.assertRaises(AssertionError),
        ):
            self.test_a_silent_server_is_offered_again_after_its_next_heartbeat()

    @simulated
    async def test_registries_are_exchanged_when_a_link_comes_up(self, simulation: FeedSimulation) -> None:
        await asyncio.sleep(1.0)
        one, two, three = simulation.voters
        simulation.network.partition(one, three)
        simulation.network.partition(two, three)
        server = simulation.start_server("s0")
        await asyncio.sleep(3.0)
        server.crash()
        server.state = InstanceState.DRAINING
        self.assertTrue(await simulation.call(one, "heartbeat", server.record()))
        await asyncio.sleep(1.0)  # no renewal is due any more, whose unknown id would cause a pull as well
        simulation.network.heal(one, three)
        await asyncio.sleep(1.0)
        self.assertIs(
            simulation.controls[three].registry.registry.entries["i0"].state, InstanceState.DRAINING
        )

    def test_a_missing_exchange_on_a_new_link_is_found(self) -> None:
        no_exchange = mock.patch.object(
            RegistryService, "_link_changed", lambda service, address, hello: None
        )
        with no_exchange, self.assertRaises((AssertionError, KeyError)):
            self.test_registries_are_exchanged_when_a_link_comes_up()

    @simulated
    async def test_drains_are_not_acknowledged_while_disks_refuse_writes(
        self, simulation: FeedSimulation
    ) -> None:
        await asyncio.sleep(1.0)
        for store in simulation.stores.values():
            store.refuses = True
        server = simulation.start_server("s0")
        server.crash()
        self.assertTrue(await simulation.call(simulation.voters[0], "heartbeat", server.record()))
        server.state = InstanceState.DRAINING
        self.assertFalse(await simulation.call(simulation.voters[0], "heartbeat", server.record()))
        simulation.stores[simulation.voters[1]].refuses = False
        simulation.stores[simulation.voters[2]].refuses = False
        self.assertTrue(await simulation.call(simulation.voters[0], "heartbeat", server.record()))

    @simulated
    async def test_a_proxy_connects_to_new_voters_and_drops_old_ones(
        self, simulation: FeedSimulation
    ) -> None:
        simulation.start_server("s0")
        await asyncio.sleep(3.0)
        old, new = simulation.voters[0], "10.0.0.9:7000"
        simulation.start_control(new)
        simulation.voters, simulation.voters_index = [*simulation.voters[1:], new], 2
        simulation.start_control(old)  # a new link starts with the list of voters, which has changed
        for address in simulation.voters:
            for proxy in simulation.proxies.values():
                simulation.network.reset(*address_pair(address, proxy.address))
        await asyncio.sleep(3.0)
        for proxy in simulation.proxies.values():
            self.assertEqual(sorted(proxy.client.voters), sorted(simulation.voters))
            self.assertEqual(proxy.links.wanted_addresses, set(simulation.voters))
            self.assertTrue(proxy.offers("i0"))

    @simulated
    async def test_a_proxy_whose_seeds_are_down_learns_voters_from_peers(
        self, simulation: FeedSimulation
    ) -> None:
        simulation.commit(make_configuration(3))
        links = simulation.network.add_process(simulation.hello("10.1.0.9:7001", "proxy"))
        proxy = ProxyProcess(simulation, "10.1.0.9:7001", links, ["10.0.0.77"])
        simulation.spawn(proxy.run())
        await asyncio.sleep(3.0)
        self.assertEqual(proxy.client.version, 0)
        proxy.client.add_control_addresses(simulation.voters[:1])
        await asyncio.sleep(3.0)
        self.assertTrue(proxy.client.ready)
        self.assertEqual(links.wanted_addresses, set(simulation.voters))

    @simulated
    async def test_a_new_server_replaces_the_previous_one_at_its_address(
        self, simulation: FeedSimulation
    ) -> None:
        first = simulation.start_server("s0")
        simulation.start_server("s0")
        await asyncio.sleep(3.0)
        first.crash()
        second = simulation.start_server("s1")
        second.address = first.address
        await asyncio.sleep(0.5)
        for proxy in simulation.proxies.values():
            self.assertFalse(proxy.offers(first.id))
            self.assertTrue(proxy.offers(second.id) and proxy.offers("i1"))

    @simulated
    async def test_idle_feeds_cause_little_traffic(self, simulation: FeedSimulation) -> None:
        for number in range(30):
            simulation.start_server(f"s{number % 2}")
        simulation.commit(make_configuration(3))
        await asyncio.sleep(10.0)
        before = {address: control.links.sent_bytes for address, control in simulation.controls.items()}
        await asyncio.sleep(20.0)
        sent = sum(control.links.sent_bytes - before[a] for a, control in simulation.controls.items())
        # Bytes per second between three control processes and to two proxies.
        self.assertLess(sent / 20.0, 10_000)

    @simulated
    async def test_a_proxy_keeps_serving_through_a_restart_of_the_control_plane(
        self, simulation: FeedSimulation
    ) -> None:
        simulation.commit(make_configuration(3))
        simulation.start_server("s0")
        await asyncio.sleep(4.0)
        proxy = next(iter(simulation.proxies.values()))
        for address in simulation.voters:
            simulation.kill_control(address)
        await asyncio.sleep(5.0)
        self.assertTrue(proxy.client.ready and proxy.offers("i0"))
        for address in simulation.voters:
            simulation.start_control(address).shard.commit(simulation.commits[-1])
        await asyncio.sleep(2.0)
        simulation.commit(make_configuration(8))
        await asyncio.sleep(2.0)
        self.assertEqual(proxy.client.version, 8)
        self.assertTrue(proxy.offers("i0"))


if __name__ == "__main__":
    unittest.main()
