"""A control process that is cut off from its majority: what proxies do with what it still hands out."""

import asyncio
import unittest
from unittest import mock

from brackenusher.cluster import messages
from brackenusher.data_plane.feed_client import FeedClient
from tests.fleet.feed_world import ProxyProcess, World, configuration, story

PING_S = 1.0
OLD, NEW = 8, 43
LINKS_S = 0.5  # until a proxy that starts is linked to control
SOON_S = 0.5


async def ping(world: World) -> None:
    """Stands for the monitors: each proxy hears once a second what the others have in force."""
    while True:
        await asyncio.sleep(PING_S)
        for proxy in world.proxies.values():
            for peer in world.proxies.values():
                if peer is not proxy and peer.links.alive and proxy.links.alive and peer.client.version:
                    proxy.client.hear_of_version(peer.address, peer.client.version)


async def left_behind(world: World) -> ProxyProcess:
    """One voter misses changes, the others go dark; a proxy that starts then reaches that one alone."""
    world.spawn(ping(world))
    world.commit(configuration(OLD))
    await asyncio.sleep(3.0)
    behind, *others = world.voters
    for other in others:
        world.network.cut(behind, other)
    await asyncio.sleep(2.0)
    world.commit(configuration(NEW))
    await asyncio.sleep(1.0)
    for other in others:
        world.kill_control(other, silent=True)
    return world.start_proxy("10.1.0.9:7001")


class StaleTest(unittest.TestCase):
    @story
    async def test_a_proxy_that_restarts_takes_the_newer_version_of_its_peers(self, world: World) -> None:
        proxy = await left_behind(world)
        while not proxy.client.ready:
            await asyncio.sleep(0.05)
        self.assertEqual(proxy.client.version, NEW)
        self.assertFalse(proxy.client.current, "no majority has confirmed it")

    @story
    async def test_it_has_a_configuration_soon_and_that_of_its_peers_with_the_first_ping(
        self, world: World
    ) -> None:
        proxy = await left_behind(world)
        started_at = world.now()
        while not proxy.client.version:
            await asyncio.sleep(0.01)
        self.assertLess(world.now() - started_at, LINKS_S + SOON_S)
        while proxy.client.version < NEW:
            await asyncio.sleep(0.01)
        self.assertLess(world.now() - started_at, LINKS_S + PING_S + SOON_S)

    @story
    async def test_one_that_is_in_touch_without_a_leader_takes_it_from_its_peers_as_well(
        self, world: World
    ) -> None:
        world.spawn(ping(world))
        world.commit(configuration(OLD))
        await asyncio.sleep(3.0)
        for control in world.controls.values():
            control.shard.majority = lambda: False  # type: ignore[method-assign]
        for peer in world.proxies.values():
            peer.client._configuration = configuration(NEW)
            peer.client._fetch.version = NEW
            peer.client._peer_configuration.configuration_applied(configuration(NEW))
        proxy = world.start_proxy("10.1.0.9:7001")
        await asyncio.sleep(LINKS_S + PING_S + SOON_S)
        self.assertEqual(proxy.client.version, NEW)
        self.assertTrue(set(world.voters) <= set(proxy.links.connected()), "control is in touch")

    @story
    async def test_one_that_knows_of_a_newer_version_is_not_ready_with_an_older(self, world: World) -> None:
        for peer in world.proxies.values():
            peer.links.message_handlers[messages.ConfigFetch].clear()
        proxy = await left_behind(world)
        await asyncio.sleep(8.0)
        self.assertEqual(proxy.client.version, OLD)
        self.assertFalse(proxy.client.ready)

    @story
    async def test_without_peers_it_serves_what_it_got_and_denies_nobody(self, world: World) -> None:
        proxy = await left_behind(world)
        for peer in world.proxies.values():
            if peer is not proxy:
                peer.links.alive = False
        await asyncio.sleep(12.0)
        self.assertEqual((proxy.client.version, proxy.client.ready), (OLD, True))
        self.assertFalse(proxy.client.current)

    @story
    async def test_a_proxy_that_runs_denies_nobody_once_it_is_out_of_touch(self, world: World) -> None:
        world.commit(configuration(OLD))
        await asyncio.sleep(3.0)
        proxy = next(iter(world.proxies.values()))
        self.assertTrue(proxy.client.current)
        for voter in world.voters[:2]:
            world.network.cut(proxy.address, voter)
        await asyncio.sleep(6.0)
        self.assertFalse(proxy.client.current)
        for voter in world.voters[:2]:
            world.network.heal(proxy.address, voter)
        await asyncio.sleep(3.0)
        self.assertTrue(proxy.client.current)

    @story
    async def test_in_touch_no_link_to_a_peer_is_opened(self, world: World) -> None:
        world.spawn(ping(world))
        for version in (OLD, NEW):
            world.commit(configuration(version))
            await asyncio.sleep(3.0)
        for proxy in world.proxies.values():
            self.assertFalse(set(world.proxies) & proxy.links.wanted_peers)

    @story
    async def test_a_peer_that_has_nothing_newer_says_nothing(self, world: World) -> None:
        world.commit(configuration(NEW))
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


class PlantedTest(unittest.TestCase):
    """The tests above find a proxy that relies on what nobody vouches for."""

    def found(self, test: str, owner: type, name: str, bug: object) -> None:
        with mock.patch.object(owner, name, bug):
            self.assertRaises(AssertionError, getattr(StaleTest(test), test))

    def test_a_proxy_that_does_not_ask_its_peers(self) -> None:
        bug = lambda self, peer, version: None  # noqa: E731
        test = "test_one_that_knows_of_a_newer_version_is_not_ready_with_an_older"
        self.found(test, FeedClient, "hear_of_version", bug)

    def test_a_proxy_that_once_was_in_touch_and_denies_for_good(self) -> None:
        bug = property(lambda self: self._fetch.confirmed)
        test = "test_a_proxy_that_runs_denies_nobody_once_it_is_out_of_touch"
        self.found(test, FeedClient, "current", bug)

    def test_a_proxy_that_denies_by_what_nobody_confirmed(self) -> None:
        bug = property(lambda self: True)
        test = "test_without_peers_it_serves_what_it_got_and_denies_nobody"
        self.found(test, FeedClient, "current", bug)


if __name__ == "__main__":
    unittest.main()
