"""A process must not accept responses to requests of an earlier incarnation at its address."""

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
    """The Hello of one incarnation of a process."""
    return messages.Hello(address=address, role="control", incarnation=incarnation)


def make_voter(number: int, seed: int, quarantined: bool = False) -> ConfigNode:
    """One of three voters."""
    options = NodeOptions(VOTERS[number], f"zone-{number}", True, VOTERS, bootstrap=True)
    kept = DurableState(1, "", quarantined, Snapshot(1, 0, VOTERS, b""), [])
    return ConfigNode(options, random.Random(seed), 0.0, kept)


def draining_server(simulation: FeedSimulation) -> Server:
    """A server that sends no heartbeats by itself, and whose next one reports DRAINING."""
    server = simulation.start_server("s0")
    server.crash()
    server.state = InstanceState.DRAINING
    return server


def make_leader(seed: int = 1) -> ConfigNode:
    """The leader of three voters, with its first entry sent."""
    node = make_voter(0, seed)
    node.raft.campaign(1.0, pre_vote=False)
    node.raft.receive(1.0, VOTERS[1], VoteResponse(node.raft.term, True, False))
    while node.take_ready() is not None:
        node.on_stored(1.0)
    return node


class RequestNumbersTest(unittest.TestCase):
    """Request numbers are specific to an incarnation."""

    def test_incarnations_use_disjoint_request_numbers(self) -> None:
        rng = random.Random(1)
        first_numbers = [first_request_number(hello(rng.getrandbits(53))) for _ in range(200)]
        first_numbers.sort()
        self.assertTrue(
            all(later - one > 1000 for one, later in zip(first_numbers, first_numbers[1:], strict=False))
        )
        self.assertLess(first_numbers[-1] + 1000, 2**64)

    def test_a_confirmation_for_an_earlier_incarnation_is_ignored(self) -> None:
        async def scenario() -> None:
            simulation = FeedSimulation(random.Random(1))
            simulation.start()
            await asyncio.sleep(3.0)
            entry_voter, slow_voter, other = simulation.voters
            slow_writer = simulation.controls[slow_voter].writer  # confirms long after the request
            slow_writer.delay_s, slow_writer.rng = 2.0, SimpleNamespace(uniform=lambda low, high: 1.0)  # type: ignore[assignment]
            first, second = draining_server(simulation), draining_server(simulation)
            simulation.spawn(simulation.call(entry_voter, "heartbeat", first.record()))
            await asyncio.sleep(0.1)
            simulation.kill_control(entry_voter)
            simulation.kill_control(other)
            simulation.start_control(entry_voter)
            await asyncio.sleep(1.5)
            acknowledged = await simulation.call(entry_voter, "heartbeat", second.record())
            holders = {v for v in simulation.voters if second.id in repr(simulation.stores[v].snapshot)}
            holders |= {v for v in simulation.voters if second.id in repr(simulation.stores[v].records)}
            self.assertTrue(not acknowledged or len(holders) >= 2, f"acknowledged, and held by {holders}")

        run_virtual(scenario())

    def test_a_read_response_for_an_earlier_incarnation_is_ignored(self) -> None:
        nodes = [make_voter(1, seed) for seed in (1, 2)]
        for node in nodes:
            node.raft.leader = VOTERS[0]
        answered: list[int] = []
        earlier_id = nodes[0].confirm_read(1.0, lambda: None)
        nodes[1].confirm_read(1.0, lambda: answered.append(1))
        nodes[1].receive(2.0, VOTERS[0], msgpack.encode(ReadIndexResponse(earlier_id, 0)))
        self.assertEqual(answered, [])

    def test_ping_and_report_numbers_differ_between_incarnations(self) -> None:
        one, other = (PeerMonitor("me", first_request_number(hello(n))) for n in (5, 6))
        for monitor in (one, other):
            monitor.set_members(["peer"])
        self.assertNotEqual(one.tick(0.0)[0].number, other.tick(0.0)[0].number)
        run_ids = [random.Random(seed).getrandbits(60) for seed in (1, 2)]
        clients = [CreditClient(run_id, 0.0, lambda key: None) for run_id in run_ids]
        self.assertNotEqual(clients[0].build_report(1.0).sequence, clients[1].build_report(1.0).sequence)


class LostDiskTest(unittest.TestCase):
    """A restarted voter may have lost entries that it acknowledged."""

    def test_acknowledgements_of_an_earlier_incarnation_do_not_count(self) -> None:
        node = make_leader()
        raft = node.raft
        node.link_up(2.0, ControlProcess(VOTERS[1], "zone-1", True, incarnation=1))
        raft.append(Entry(raft.term, EntryKind.DATA))
        last = raft.last_index
        raft.receive(3.0, VOTERS[1], AppendResponse(raft.term, True, last, raft.round))
        self.assertEqual(raft.match_index_of(VOTERS[1]), last)
        node.link_up(4.0, ControlProcess(VOTERS[1], "zone-1", True, incarnation=2))
        self.assertEqual(raft.match_index_of(VOTERS[1]), 0)
        delayed = AppendResponse(raft.term, True, last, raft.round - 1)
        raft.receive(4.0, VOTERS[1], delayed)
        self.assertEqual(raft.match_index_of(VOTERS[1]), 0, "a delayed response of the earlier incarnation")
        raft.receive(5.0, VOTERS[1], AppendResponse(raft.term, True, last, raft.round))
        self.assertEqual(raft.match_index_of(VOTERS[1]), last)

    def test_a_voter_whose_quarantine_ended_grants_no_vote_in_that_term(self) -> None:
        raft = make_voter(1, 3, quarantined=True).raft
        raft.become_follower(1.0, 7, "")
        raft.end_quarantine()
        self.assertIs(raft.role, Role.FOLLOWER)
        raft.take_ready()
        raft.receive(5000.0, VOTERS[2], RequestVote(7, 100, 7, False))
        ready = raft.take_ready()
        votes = [m for _, m in ready.messages if isinstance(m, VoteResponse)] if ready else []
        self.assertEqual([vote.granted for vote in votes], [False])


class LinksOfIncarnationsTest(unittest.TestCase):
    """Connections of a peer's earlier incarnation are closed on the Hello of the next."""

    def test_messages_of_an_earlier_incarnation_are_dropped(self) -> None:
        async def scenario() -> None:
            links = Links(hello(1, free_address()))
            received_versions: list[int] = []
            links.on_message(messages.ConfigFetch, lambda peer, m: received_versions.append(m.have_version))
            await links.start()
            host, port = links.own.address.split(":")
            peer = "10.9.9.9:1"
            streams = []
            for incarnation in (1, 2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_frame(hello(incarnation, peer)))
                await wait_until(lambda n=incarnation: links.connected().get(peer, hello(0)).incarnation == n)
                streams.append((reader, writer))
            for number, (_, writer) in enumerate(streams):
                writer.write(encode_frame(messages.ConfigFetch(have_version=number + 1)))
            await wait_until(lambda: 2 in received_versions)
            self.assertEqual(received_versions, [2])
            links.send(peer, messages.ConfigFetch(have_version=9))
            frames = FrameDecoder()
            received: list[object] = []
            while not any(isinstance(m, messages.ConfigFetch) for m in received):
                received += frames.feed(await asyncio.wait_for(streams[1][0].read(4096), 5.0))
            for _, writer in streams:
                writer.close()
            await links.stop()

        asyncio.run(scenario())

    def test_another_connection_of_the_same_incarnation_is_kept(self) -> None:
        async def scenario() -> None:
            links = Links(hello(1, free_address()))
            received_versions: list[int] = []
            links.on_message(messages.ConfigFetch, lambda peer, m: received_versions.append(m.have_version))
            await links.start()
            host, port = links.own.address.split(":")
            writers = []
            for number in (1, 2):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode_frame(hello(7, "10.9.9.9:1")))
                writer.write(encode_frame(messages.ConfigFetch(have_version=number)))
                await wait_until(lambda n=number: n in received_versions)
                writers.append(writer)
            writers[0].write(encode_frame(messages.ConfigFetch(have_version=3)))
            await wait_until(lambda: 3 in received_versions)
            for writer in writers:
                writer.close()
            await links.stop()

        asyncio.run(scenario())


async def wait_until(condition: object, seconds: float = 5.0) -> None:
    """Wait until a condition on data from a socket holds."""
    deadline = asyncio.get_running_loop().time() + seconds
    while not condition():  # type: ignore[operator]
        if asyncio.get_running_loop().time() > deadline:
            raise TimeoutError
        await asyncio.sleep(0.005)


class InjectedBugsTest(unittest.TestCase):
    """The tests above find incarnations that use the same request numbers."""

    def test_request_numbers_that_restart_are_found(self) -> None:
        case = RequestNumbersTest("test_a_confirmation_for_an_earlier_incarnation_is_ignored")
        with mock.patch("brackenusher.control_plane.registry_service.first_request_number", lambda own: 1):
            self.assertRaises(AssertionError, case.test_a_confirmation_for_an_earlier_incarnation_is_ignored)


if __name__ == "__main__":
    unittest.main()
