"""Control processes without a majority: what proxies do with the outdated configuration that they offer."""

import asyncio
import unittest
from unittest import mock

from brackenusher.cluster import messages
from brackenusher.data_plane.feed_client import FeedClient
from tests.fleet.feed_world import FeedSimulation, ProxyProcess, make_configuration, simulated

PING_S = 1.0
OLD, NEW = 8, 43
LINK_SETUP_S = 0.5  # until a newly started proxy is connected to control
MARGIN_S = 0.5


async def ping(world: FeedSimulation) -> None:
    """Fake of the monitors: tell each proxy once a second the versions in force at the others."""
    while True:
        await asyncio.sleep(PING_S)
        for proxy in world.proxies.values():
            for peer in world.proxies.values():
                if peer is not proxy and peer.links.alive and proxy.links.alive and peer.client.version:
                    proxy.client.record_peer_version(peer.address, peer.client.version)


async def start_proxy_at_lagging_voter(world: FeedSimulation) -> ProxyProcess:
    """Let one voter miss changes and silence the others, then start a proxy that reaches only that one."""
    world.spawn(ping(world))
    world.commit(make_configuration(OLD))
    await asyncio.sleep(3.0)
    behind, *others = world.voters
    for other in others:
        world.network.partition(behind, other)
    await asyncio.sleep(2.0)
    world.commit(make_configuration(NEW))
    await asyncio.sleep(1.0)
    for other in others:
        world.kill_control(other, silent=True)
    return world.start_proxy("10.1.0.9:7001")


class StaleControlTest(unittest.TestCase):
    @simulated
    async def test_restarted_proxy_takes_newer_version_from_peers(self, world: FeedSimulation) -> None:
        proxy = await start_proxy_at_lagging_voter(world)
        while not proxy.client.ready:
            await asyncio.sleep(0.05)
        self.assertEqual(proxy.client.version, NEW)
        self.assertFalse(proxy.client.is_current, "no majority has confirmed it")

    @simulated
    async def test_newer_version_arrives_with_first_ping(self, world: FeedSimulation) -> None:
        proxy = await start_proxy_at_lagging_voter(world)
        started_at = world.now()
        while not proxy.client.version:
            await asyncio.sleep(0.01)
        self.assertLess(world.now() - started_at, LINK_SETUP_S + MARGIN_S)
        while proxy.client.version < NEW:
            await asyncio.sleep(0.01)
        self.assertLess(world.now() - started_at, LINK_SETUP_S + PING_S + MARGIN_S)

    @simulated
    async def test_connected_proxy_without_leader_takes_newer_version_from_peers(
        self, world: FeedSimulation
    ) -> None:
        world.spawn(ping(world))
        world.commit(make_configuration(OLD))
        await asyncio.sleep(3.0)
        for control in world.controls.values():
            control.shard.has_majority = lambda: False  # type: ignore[method-assign]
        for peer in world.proxies.values():
            peer.client._configuration = make_configuration(NEW)
            peer.client._fetch.version = NEW
            peer.client._peer_configuration.configuration_applied(make_configuration(NEW))
        proxy = world.start_proxy("10.1.0.9:7001")
        await asyncio.sleep(LINK_SETUP_S + PING_S + MARGIN_S)
        self.assertEqual(proxy.client.version, NEW)
        self.assertTrue(set(world.voters) <= set(proxy.links.connected()), "control is connected")

    @simulated
    async def test_not_ready_with_older_version_than_peers(self, world: FeedSimulation) -> None:
        for peer in world.proxies.values():
            peer.links.message_handlers[messages.ConfigFetch].clear()
        proxy = await start_proxy_at_lagging_voter(world)
        await asyncio.sleep(8.0)
        self.assertEqual(proxy.client.version, OLD)
        self.assertFalse(proxy.client.ready)

    @simulated
    async def test_without_peers_serves_old_version_and_denies_nobody(self, world: FeedSimulation) -> None:
        proxy = await start_proxy_at_lagging_voter(world)
        for peer in world.proxies.values():
            if peer is not proxy:
                peer.links.alive = False
        await asyncio.sleep(12.0)
        self.assertEqual((proxy.client.version, proxy.client.ready), (OLD, True))
        self.assertFalse(proxy.client.is_current)

    @simulated
    async def test_disconnected_proxy_denies_nobody(self, world: FeedSimulation) -> None:
        world.commit(make_configuration(OLD))
        await asyncio.sleep(3.0)
        proxy = next(iter(world.proxies.values()))
        self.assertTrue(proxy.client.is_current)
        for voter in world.voters[:2]:
            world.network.partition(proxy.address, voter)
        await asyncio.sleep(6.0)
        self.assertFalse(proxy.client.is_current)
        for voter in world.voters[:2]:
            world.network.heal(proxy.address, voter)
        await asyncio.sleep(3.0)
        self.assertTrue(proxy.client.is_current)

    @simulated
    async def test_connected_proxy_opens_no_peer_links(self, world: FeedSimulation) -> None:
        world.spawn(ping(world))
        for version in (OLD, NEW):
            world.commit(make_configuration(version))
            await asyncio.sleep(3.0)
        for proxy in world.proxies.values():
            self.assertFalse(set(world.proxies) & proxy.links.wanted_addresses)

    @simulated
    async def test_peer_without_newer_version_does_not_reply(self, world: FeedSimulation) -> None:
        world.commit(make_configuration(NEW))
        await asyncio.sleep(3.0)
        one, other = world.proxies.values()
        heard: list[messages.ConfigPiece] = []
        one.links.on_message(messages.ConfigPiece, lambda peer, piece: heard.append(piece))
        one.links.connect(other.address)
        await asyncio.sleep(1.0)
        one.links.send(other.address, messages.ConfigFetch(have_version=NEW))
        await asyncio.sleep(0.2)
        self.assertEqual(heard, [])
        one.links.send(other.address, messages.ConfigFetch(have_version=OLD))
        await asyncio.sleep(0.2)
        self.assertEqual([piece.version for piece in heard], [NEW])


class InjectedBugTest(unittest.TestCase):
    """The tests above detect a proxy that relies on unconfirmed configurations."""

    def assert_detected(self, test: str, owner: type, name: str, bug: object) -> None:
        with mock.patch.object(owner, name, bug):
            self.assertRaises(AssertionError, getattr(StaleControlTest(test), test))

    def test_detects_ignored_peer_versions(self) -> None:
        bug = lambda self, peer, version: None  # noqa: E731
        test = "test_not_ready_with_older_version_than_peers"
        self.assert_detected(test, FeedClient, "record_peer_version", bug)

    def test_detects_denial_while_disconnected(self) -> None:
        bug = property(lambda self: self._fetch.confirmed)
        test = "test_disconnected_proxy_denies_nobody"
        self.assert_detected(test, FeedClient, "is_current", bug)

    def test_detects_denial_by_unconfirmed_version(self) -> None:
        bug = property(lambda self: True)
        test = "test_without_peers_serves_old_version_and_denies_nobody"
        self.assert_detected(test, FeedClient, "is_current", bug)


if __name__ == "__main__":
    unittest.main()
