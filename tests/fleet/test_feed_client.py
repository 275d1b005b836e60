"""A proxy's feed client against faulty sources: malformed data, silence, gaps, outdated members."""

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
from brackenusher.cluster.config_pieces import encode_update
from tests.fleet.fake_links import FakeNetwork
from tests.fleet.feed_world import FeedSimulation, ProxyProcess, make_configuration
from tests.fleet.virtual_time import run_virtual

NAMES = ("10.0.0.1:7000", "10.0.0.2:7000")


class ScriptedSource:
    """A control process scripted by the test."""

    def __init__(self, network: FakeNetwork, world: FeedSimulation, address: str) -> None:
        self.links: Any = network.add_process(world.hello(address, "control"))
        self.received: list[betterproto.Message] = []
        self.on_request: Callable[[str, betterproto.Message], None] = lambda peer, message: None
        for kind in (messages.FeedSubscribe, messages.ConfigFetch):
            self.links.on_message(kind, self._handle)

    def _handle(self, peer: str, message: betterproto.Message) -> None:
        self.received.append(message)
        self.on_request(peer, message)

    def count(self, kind: type) -> int:
        return sum(isinstance(message, kind) for message in self.received)

    def send_list(self, peer: str, settled: bool = True) -> None:
        for shard in range(SHARD_COUNT):
            self.links.send(peer, messages.InstanceChanges(shard, 1, 0, True, settled, []))


class Harness:
    """One proxy and two scripted sources."""

    def __init__(self) -> None:
        self.world = FeedSimulation(random.Random(1), control_count=0, voter_count=0, proxy_count=0)
        self.network = self.world.network = FakeNetwork(self.world.rng)
        self.sources = [ScriptedSource(self.network, self.world, name) for name in NAMES]
        self.world.voters = list(NAMES)
        self.proxy: ProxyProcess = self.world.start_proxy("10.1.0.1:7001")


def with_harness(
    test: Callable[["FeedClientTest", Harness], Awaitable[None]],
) -> Callable[["FeedClientTest"], None]:
    """Run a test with its own harness, in virtual time."""

    def run(self: "FeedClientTest") -> None:
        async def run_test() -> None:
            harness = Harness()
            await test(self, harness)
            self.assertEqual(harness.network.errors, [])

        run_virtual(run_test())

    return run


class FeedClientTest(unittest.TestCase):
    """Tests of the feed client with scripted sources."""

    @with_harness
    async def test_unanswered_subscription_is_repeated(self, harness: Harness) -> None:
        await asyncio.sleep(8.0)
        self.assertGreaterEqual(harness.sources[0].count(messages.FeedSubscribe), 2)
        harness.sources[0].on_request = lambda peer, message: harness.sources[0].send_list(peer)
        await asyncio.sleep(4.0)
        known = harness.sources[0].count(messages.FeedSubscribe)
        await asyncio.sleep(10.0)
        self.assertEqual(harness.sources[0].count(messages.FeedSubscribe), known)

    @with_harness
    async def test_malformed_configuration_is_rejected_and_next_source_asked(self, harness: Harness) -> None:
        bad = [b"", b"bytes", zlib.compress(b"{}"), zlib.compress(b'{"generation":"x"}'), b"x" * 100]

        def bad_piece(peer: str, message: betterproto.Message) -> None:
            if isinstance(message, messages.FeedSubscribe):
                harness.sources[0].links.send(peer, messages.ConfigOffer(9, True))
            else:
                harness.sources[0].links.send(peer, messages.ConfigPiece(0, 9, bad[len(bad) % 5]))
                bad.append(bad.pop(0))

        harness.sources[0].on_request = bad_piece
        await asyncio.sleep(4.0)
        self.assertEqual(harness.proxy.client.version, 0)
        self.assertLess(harness.sources[0].count(messages.ConfigFetch), 8)
        piece = messages.ConfigPiece(0, 9, encode_update(make_configuration(9)))
        harness.sources[1].on_request = lambda peer, message: harness.sources[1].links.send(peer, piece)
        harness.sources[1].links.send(harness.proxy.address, messages.ConfigOffer(9, False))
        await asyncio.sleep(4.0)
        self.assertEqual(harness.proxy.client.version, 9)

    @with_harness
    async def test_older_configuration_and_mismatched_delta_are_ignored(self, harness: Harness) -> None:
        source, proxy = harness.sources[0], harness.proxy
        await asyncio.sleep(1.0)
        send = source.links.send
        send(proxy.address, messages.ConfigPiece(0, 9, encode_update(make_configuration(9))))
        await asyncio.sleep(0.1)
        send(proxy.address, messages.ConfigPiece(0, 5, encode_update(make_configuration(5))))
        delta = zlib.compress(msgspec.json.encode({"base_generation": 4, "generation": 12}))
        send(proxy.address, messages.ConfigPiece(4, 12, delta))
        await asyncio.sleep(0.1)
        self.assertEqual([version for _, version in proxy.versions], [9])

    @with_harness
    async def test_changes_without_snapshot_cause_resubscription(self, harness: Harness) -> None:
        await asyncio.sleep(1.0)
        known = harness.sources[0].count(messages.FeedSubscribe)
        harness.sources[0].links.send(
            harness.proxy.address, messages.InstanceChanges(3, 77, 5, False, True, [])
        )
        await asyncio.sleep(0.5)
        self.assertEqual(harness.sources[0].count(messages.FeedSubscribe), known + 1)

    @with_harness
    async def test_ready_without_control_after_timeout(self, harness: Harness) -> None:
        await asyncio.sleep(1.0)
        harness.sources[0].links.send(
            harness.proxy.address, messages.ConfigPiece(0, 9, encode_update(make_configuration(9)))
        )
        await asyncio.sleep(1.0)
        self.assertFalse(harness.proxy.client.ready)
        await asyncio.sleep(3.0)
        self.assertTrue(harness.proxy.client.ready)

    @with_harness
    async def test_members_with_older_index_are_ignored(self, harness: Harness) -> None:
        await asyncio.sleep(1.0)
        for index, voters in ((5, list(NAMES)), (4, ["10.0.0.9:7000"])):
            harness.sources[0].links.send(harness.proxy.address, messages.Members([], voters, index, ""))
        await asyncio.sleep(1.0)
        self.assertEqual(harness.proxy.client.voters, list(NAMES))


if __name__ == "__main__":
    unittest.main()
