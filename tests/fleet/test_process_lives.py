"""What a process asked before it died is not answered to the one that runs at its address next."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from msgspec import msgpack

from barleybarrow.agreement import Role
from barleybarrow.agreement_messages import (
    AppendResponse,
    Entry,
    EntryKind,
    ReadIndexResponse,
    RequestVote,
    Snapshot,
    VoteResponse,
)
from barleybarrow.consensus.config_node import ConfigNode, NodeOptions
from barleybarrow.consensus.durable_state import DurableState
from barleybarrow.consensus.voter_selection import ControlProcess
from barleybarrow.limits.credit_client import CreditClient
from barleybarrow.replication.monitoring import PeerMonitor
from barleybarrow.replication.records import InstanceState
from brackenusher.cluster import messages
from brackenusher.cluster.frames import FrameDecoder, encode_frame
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_request_number
from tests.fleet.feed_world import FeedSimulation, Server
from tests.fleet.test_links import free_address
from tests.fleet.virtual_time import run_virtual

VOTERS = ["10.0.0.1:7680", "10.0.0.2:7680", "10.0.0.3:7680"]


def hello(incarnation: int, address: str = "10.0.0.1:7680") -> messages.Hello:
    """The greeting of one life of a process."""
    return messages.Hello(address=address, role="control", incarnation=incarnation)


def started(number: int, seed: int, barred: bool = False) -> ConfigNode:
    """A voter of three."""
    options = NodeOptions(VOTERS[number], f"zone-{number}", True, VOTERS, bootstrap=True)
    kept = DurableState(1, "", barred, Snapshot(1, 0, VOTERS, b""), [])
    return ConfigNode(options, random.Random(seed), 0.0, kept)


def draining(world: FeedSimulation) -> Server:
    """A server whose next heartbeat says that it drains, and that sends none by itself."""
    server = world.start_server("s0")
    server.crash()
    server.state = InstanceState.DRAINING
    return server


def leading(seed: int = 1) -> ConfigNode:
    """A leader of three voters, whose first entry is on its way."""
    node = started(0, seed)
    node.raft.campaign(1.0, pre_vote=False)
    node.raft.receive(1.0, VOTERS[1], VoteResponse(node.raft.term, True, False))
    while node.take_ready() is not None:
        node.on_stored(1.0)
    return node


class NumbersTest(unittest.TestCase):
    """Numbers of questions are those of one life."""

    def test_no_two_lives_give_away_the_same_numbers(self) -> None:
        rng = random.Random(1)
        lives = [first_request_number(hello(rng.getrandbits(53))) for _ in range(200)]
        lives.sort()
        self.assertTrue(all(later - one > 1000 for one, later in zip(lives, lives[1:], strict=False)))
        self.assertLess(lives[-1] + 1000, 2**64)

    def test_a_confirmation_for_an_earlier_life_acknowledges_nothing(self) -> None:
        async def story() -> None:
            world = FeedSimulation(random.Random(1))
            world.start()
            await asyncio.sleep(3.0)
            asking, holding, other = world.voters
            slow = world.controls[holding].writer  # it answers long after it was asked
            slow.delay_s, slow.rng = 2.0, SimpleNamespace(uniform=lambda least, most: 1.0)  # type: ignore[assignment]
            first, second = draining(world), draining(world)
            world.spawn(world.call(asking, "heartbeat", first.record()))
            await asyncio.sleep(0.1)
            world.kill_control(asking)
            world.kill_control(other)
            world.start_control(asking)
            await asyncio.sleep(1.5)
            acknowledged = await world.call(asking, "heartbeat", second.record())
            held = {v for v in world.voters if second.id in repr(world.stores[v].snapshot)}
            held |= {v for v in world.voters if second.id in repr(world.stores[v].records)}
            self.assertTrue(not acknowledged or len(held) >= 2, f"acknowledged, and held by {held}")

        run_virtual(story())

    def test_a_read_of_an_earlier_life_is_no_answer_to_this_one(self) -> None:
        nodes = [started(1, seed) for seed in (1, 2)]
        for node in nodes:
            node.raft.leader = VOTERS[0]
        answered: list[int] = []
        earlier = nodes[0].confirm_read(1.0, lambda: None)
        nodes[1].confirm_read(1.0, lambda: answered.append(1))
        nodes[1].receive(2.0, VOTERS[0], msgpack.encode(ReadIndexResponse(earlier, 0)))
        self.assertEqual(answered, [])

    def test_pings_and_reports_are_numbered_anew(self) -> None:
        one, other = (PeerMonitor("me", first_request_number(hello(n))) for n in (5, 6))
        for monitor in (one, other):
            monitor.set_members(["peer"])
        self.assertNotEqual(one.tick(0.0)[0].number, other.tick(0.0)[0].number)
        runs = [random.Random(seed).getrandbits(60) for seed in (1, 2)]
        clients = [CreditClient(run, 0.0, lambda key: None) for run in runs]
        self.assertNotEqual(clients[0].build_report(1.0).sequence, clients[1].build_report(1.0).sequence)


class LostDiskTest(unittest.TestCase):
    """A voter that starts anew may have lost what it said that it holds."""

    def test_what_an_earlier_life_held_does_not_count(self) -> None:
        node = leading()
        agreement = node.raft
        node.link_up(2.0, ControlProcess(VOTERS[1], "zone-1", True, incarnation=1))
        agreement.append(Entry(agreement.term, EntryKind.DATA))
        last = agreement.last_index
        agreement.receive(3.0, VOTERS[1], AppendResponse(agreement.term, True, last, agreement.round))
        self.assertEqual(agreement.match_index_of(VOTERS[1]), last)
        node.link_up(4.0, ControlProcess(VOTERS[1], "zone-1", True, incarnation=2))
        self.assertEqual(agreement.match_index_of(VOTERS[1]), 0)
        late = AppendResponse(agreement.term, True, last, agreement.round - 1)
        agreement.receive(4.0, VOTERS[1], late)
        self.assertEqual(
            agreement.match_index_of(VOTERS[1]), 0, "an answer of the life before, under way since"
        )
        agreement.receive(5.0, VOTERS[1], AppendResponse(agreement.term, True, last, agreement.round))
        self.assertEqual(agreement.match_index_of(VOTERS[1]), last)

    def test_one_that_is_trusted_again_votes_for_no_other_in_that_term(self) -> None:
        agreement = started(1, 3, barred=True).raft
        agreement.become_follower(1.0, 7, "")
        agreement.end_quarantine()
        self.assertIs(agreement.role, Role.FOLLOWER)
        agreement.take_ready()
        agreement.receive(5000.0, VOTERS[2], RequestVote(7, 100, 7, False))
        ready = agreement.take_ready()
        said = [m for _, m in ready.messages if isinstance(m, VoteResponse)] if ready else []
        self.assertEqual([vote.granted for vote in said], [False])


class LinksOfLivesTest(unittest.TestCase):
    """Connections of a peer's earlier life end with the greeting of the next."""

    def test_messages_of_the_life_before_are_taken_no_more(self) -> None:
        async def story() -> None:
            links = Links(hello(1, free_address()))
            heard: list[int] = []
            links.on_message(messages.ConfigFetch, lambda peer, m: heard.append(m.have_version))
            await links.start()
            host, port = links.own.address.split(":")
            peer = "10.9.9.9:1"
            streams = []
            for incarnation in (1, 2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_frame(hello(incarnation, peer)))
                await until(lambda n=incarnation: links.connected().get(peer, hello(0)).incarnation == n)
                streams.append((reader, writer))
            for number, (_, writer) in enumerate(streams):
                writer.write(encode_frame(messages.ConfigFetch(have_version=number + 1)))
            await until(lambda: 2 in heard)
            self.assertEqual(heard, [2])
            links.send(peer, messages.ConfigFetch(have_version=9))
            frames = FrameDecoder()
            received: list[object] = []
            while not any(isinstance(m, messages.ConfigFetch) for m in received):
                received += frames.feed(await asyncio.wait_for(streams[1][0].read(4096), 5.0))
            for _, writer in streams:
                writer.close()
            await links.stop()

        asyncio.run(story())

    def test_another_connection_of_the_same_life_stays(self) -> None:
        async def story() -> None:
            links = Links(hello(1, free_address()))
            heard: list[int] = []
            links.on_message(messages.ConfigFetch, lambda peer, m: heard.append(m.have_version))
            await links.start()
            host, port = links.own.address.split(":")
            writers = []
            for number in (1, 2):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_frame(hello(7, "10.9.9.9:1")))
                writer.write(encode_frame(messages.ConfigFetch(have_version=number)))
                await until(lambda n=number: n in heard)
                writers.append(writer)
            writers[0].write(encode_frame(messages.ConfigFetch(have_version=3)))
            await until(lambda: 3 in heard)
            for writer in writers:
                writer.close()
            await links.stop()

        asyncio.run(story())


async def until(condition: object, seconds: float = 5.0) -> None:
    """Wait for something that comes over a socket."""
    ends = asyncio.get_running_loop().time() + seconds
    while not condition():  # type: ignore[operator]
        if asyncio.get_running_loop().time() > ends:
            raise TimeoutError
        await asyncio.sleep(0.005)


class PlantedTest(unittest.TestCase):
    """The tests above find lives that are not told apart."""

    def test_numbers_that_begin_anew_are_found(self) -> None:
        case = NumbersTest("test_a_confirmation_for_an_earlier_life_acknowledges_nothing")
        with mock.patch("brackenusher.control_plane.registry_service.first_request_number", lambda own: 1):
            self.assertRaises(
                AssertionError, case.test_a_confirmation_for_an_earlier_life_acknowledges_nothing
            )


if __name__ == "__main__":
    unittest.main()
