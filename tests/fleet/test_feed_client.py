"""A proxy's feeds against sources that misbehave: bad pieces, silence, changes out of order, old members."""

import asyncio
import random
import unittest
import zlib
from collections.abc import Awaitable, Callable
from typing import Any

import betterproto
import msgspec

from barleybarrow.replication.rendezvous import SHARD_COUNT
from brackenusher.cluster import messages
from brackenusher.cluster.config_pieces import encode_piece
from tests.fleet.fake_links import FakeNetwork
from tests.fleet.feed_world import FeedSimulation, ProxyProcess, make_configuration
from tests.fleet.virtual_time import play

NAMES = ("10.0.0.1:7000", "10.0.0.2:7000")


class Source:
    """A control process that says what a test wants."""

    def __init__(self, network: FakeNetwork, world: FeedSimulation, address: str) -> None:
        self.links: Any = network.open(world.hello(address, "control"))
        self.received: list[betterproto.Message] = []
        self.answers: Callable[[str, betterproto.Message], None] = lambda peer, message: None
        for kind in (messages.FeedSubscribe, messages.ConfigFetch):
            self.links.on_message(kind, self._take)

    def _take(self, peer: str, message: betterproto.Message) -> None:
        self.received.append(message)
        self.answers(peer, message)

    def count(self, kind: type) -> int:
        return sum(isinstance(message, kind) for message in self.received)

    def send_list(self, peer: str, settled: bool = True) -> None:
        for shard in range(SHARD_COUNT):
            self.links.send(peer, messages.InstanceChanges(shard, 1, 0, True, settled, []))


class Scene:
    """One proxy and two sources."""

    def __init__(self) -> None:
        self.world = FeedSimulation(random.Random(1), control_count=0, voter_count=0, proxy_count=0)
        self.network = self.world.network = FakeNetwork(self.world.rng)
        self.sources = [Source(self.network, self.world, name) for name in NAMES]
        self.world.voters = list(NAMES)
        self.proxy: ProxyProcess = self.world.start_proxy("10.1.0.1:7001")


def story(
    test: Callable[["FeedClientTest", Scene], Awaitable[None]],
) -> Callable[["FeedClientTest"], None]:
    """A test that is played in a scene of its own."""

    def run(self: "FeedClientTest") -> None:
        async def whole() -> None:
            scene = Scene()
            await test(self, scene)
            self.assertEqual(scene.network.errors, [])

        play(whole())

    return run


class FeedClientTest(unittest.TestCase):
    """The client alone."""

    @story
    async def test_a_subscription_without_an_answer_is_repeated(self, scene: Scene) -> None:
        await asyncio.sleep(8.0)
        self.assertGreaterEqual(scene.sources[0].count(messages.FeedSubscribe), 2)
        scene.sources[0].answers = lambda peer, message: scene.sources[0].send_list(peer)
        await asyncio.sleep(4.0)
        known = scene.sources[0].count(messages.FeedSubscribe)
        await asyncio.sleep(10.0)
        self.assertEqual(scene.sources[0].count(messages.FeedSubscribe), known)

    @story
    async def test_pieces_that_cannot_be_read_are_refused_and_the_next_source_is_asked(
        self, scene: Scene
    ) -> None:
        bad = [b"", b"bytes", zlib.compress(b"{}"), zlib.compress(b'{"generation":"x"}'), b"x" * 100]

        def bad_piece(peer: str, message: betterproto.Message) -> None:
            if isinstance(message, messages.FeedSubscribe):
                scene.sources[0].links.send(peer, messages.ConfigOffer(9, True))
            else:
                scene.sources[0].links.send(peer, messages.ConfigPiece(0, 9, bad[len(bad) % 5]))
                bad.append(bad.pop(0))

        scene.sources[0].answers = bad_piece
        await asyncio.sleep(4.0)
        self.assertEqual(scene.proxy.client.version, 0)
        self.assertLess(scene.sources[0].count(messages.ConfigFetch), 8)
        piece = messages.ConfigPiece(0, 9, encode_piece(make_configuration(9)))
        scene.sources[1].answers = lambda peer, message: scene.sources[1].links.send(peer, piece)
        scene.sources[1].links.send(scene.proxy.address, messages.ConfigOffer(9, False))
        await asyncio.sleep(4.0)
        self.assertEqual(scene.proxy.client.version, 9)

    @story
    async def test_an_older_piece_and_a_delta_from_elsewhere_change_nothing(self, scene: Scene) -> None:
        source, proxy = scene.sources[0], scene.proxy
        await asyncio.sleep(1.0)
        send = source.links.send
        send(proxy.address, messages.ConfigPiece(0, 9, encode_piece(make_configuration(9))))
        await asyncio.sleep(0.1)
        send(proxy.address, messages.ConfigPiece(0, 5, encode_piece(make_configuration(5))))
        delta = zlib.compress(msgspec.json.encode({"base_generation": 4, "generation": 12}))
        send(proxy.address, messages.ConfigPiece(4, 12, delta))
        await asyncio.sleep(0.1)
        self.assertEqual([version for _, version in proxy.versions], [9])

    @story
    async def test_changes_without_a_snapshot_lead_to_a_new_subscription(self, scene: Scene) -> None:
        await asyncio.sleep(1.0)
        known = scene.sources[0].count(messages.FeedSubscribe)
        scene.sources[0].links.send(scene.proxy.address, messages.InstanceChanges(3, 77, 5, False, True, []))
        await asyncio.sleep(0.5)
        self.assertEqual(scene.sources[0].count(messages.FeedSubscribe), known + 1)

    @story
    async def test_a_proxy_without_a_core_is_ready_with_what_it_got(self, scene: Scene) -> None:
        await asyncio.sleep(1.0)
        scene.sources[0].links.send(
            scene.proxy.address, messages.ConfigPiece(0, 9, encode_piece(make_configuration(9)))
        )
        await asyncio.sleep(1.0)
        self.assertFalse(scene.proxy.client.ready)
        await asyncio.sleep(3.0)
        self.assertTrue(scene.proxy.client.ready)

    @story
    async def test_members_of_an_older_index_are_not_followed(self, scene: Scene) -> None:
        await asyncio.sleep(1.0)
        for index, voters in ((5, list(NAMES)), (4, ["10.0.0.9:7000"])):
            scene.sources[0].links.send(scene.proxy.address, messages.Members([], voters, index, ""))
        await asyncio.sleep(1.0)
        self.assertEqual(scene.proxy.client.voters, list(NAMES))


if __name__ == "__main__":
    unittest.main()
