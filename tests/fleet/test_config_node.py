"""A single replica: what it must persist before sending, when it may vote, and how voters are selected."""

import unittest
from random import Random

from msgspec import msgpack

from barleybarrow.agreement_messages import Message, RequestVote, TimeoutNow, VoteResponse
from barleybarrow.consensus.config_node import ConfigNode, NodeOptions, Work
from barleybarrow.consensus.durable_state import DurableState, decode_state
from barleybarrow.consensus.paced_agreement import PacedRaftNode
from barleybarrow.consensus.voter_selection import (
    ControlProcess,
    choose_voters,
    eligible_processes,
    next_voter_change,
    target_voter_count,
)

VOTERS = ["a", "b", "c"]


class FakeStore:
    """In-memory store of the node under test."""

    def __init__(self) -> None:
        self.image = b""
        self.records: list[bytes] = []

    def persist(self, work: Work) -> None:
        if work.image is not None:
            self.image, self.records = work.image, []
        self.records += work.records

    def read(self) -> DurableState:
        return decode_state(self.image, self.records)


def voter(persisted: DurableState | None, bootstrap: bool = False) -> ConfigNode:
    """The node of the voter "a"."""
    return ConfigNode(NodeOptions("a", "zone", True, VOTERS, bootstrap), Random(1), 0.0, persisted)


def bootstrapped_state() -> DurableState:
    """Persistent state of a voter that has just learned the initial voters."""
    node = voter(None, bootstrap=True)
    node.raft = PacedRaftNode("a", VOTERS, Random(1), 0.0)
    return DurableState(snapshot=node.raft.snapshot)


def deliver(node: ConfigNode, sender: str, message: Message, now: float) -> None:
    """Deliver a message to a node."""
    node.receive(now, sender, msgpack.encode(message))


def vote_responses(work: Work | None) -> list[tuple[str, bool]]:
    """The vote responses in a work: recipient, and whether the vote was granted."""
    messages = [(to, msgpack.decode(data, type=Message)) for to, data in work.messages] if work else []
    return [(to, message.granted) for to, message in messages if isinstance(message, VoteResponse)]


class VotesTest(unittest.TestCase):
    def test_a_vote_is_stored_in_the_work_that_sends_it(self) -> None:
        node, store = voter(bootstrapped_state()), FakeStore()
        deliver(node, "b", RequestVote(5, 0, 0, False), 10.0)
        work = node.take_ready()
        assert work is not None
        self.assertEqual(vote_responses(work), [("b", True)])
        self.assertTrue(work.has_writes)
        store.image = msgpack.encode(("unused",))
        record = work.records[0]
        self.assertEqual(msgpack.decode(record)[:2], [5, "b"])

    def test_a_restarted_voter_does_not_vote_twice_in_a_term(self) -> None:
        first, store = voter(None, bootstrap=True), FakeStore()
        work = first.take_ready()
        assert work is not None
        store.persist(work)
        first.on_stored(0.0)
        state = bootstrapped_state()
        again = voter(state)
        deliver(again, "b", RequestVote(5, 0, 0, False), 10.0)
        work = again.take_ready()
        assert work is not None
        state.term, state.vote = msgpack.decode(work.records[0])[:2]
        restarted = voter(state)
        deliver(restarted, "c", RequestVote(5, 0, 0, False), 2000.0)
        self.assertEqual(vote_responses(restarted.take_ready()), [("c", False)])
        deliver(restarted, "c", RequestVote(6, 0, 0, False), 2001.0)

    def test_no_further_work_before_the_previous_one_is_persisted(self) -> None:
        node = voter(bootstrapped_state())
        deliver(node, "b", RequestVote(5, 0, 0, False), 10.0)
        self.assertIsNotNone(node.take_ready())
        deliver(node, "c", RequestVote(6, 0, 0, False), 20.0)
        self.assertIsNone(node.take_ready())
        node.on_stored(30.0)
        self.assertEqual(vote_responses(node.take_ready()), [("c", True)])


class EmptyStoreTest(unittest.TestCase):
    def test_a_first_start_is_recorded_so_that_an_empty_store_means_lost_data(self) -> None:
        node, store = voter(None, bootstrap=True), FakeStore()
        work = node.take_ready()
        assert work is not None and work.image is not None
        store.persist(work)
        self.assertFalse(voter(store.read()).raft.quarantined)

    def test_a_lost_store_stays_quarantined_after_restarts(self) -> None:
        node, store = voter(None), FakeStore()
        self.assertTrue(node.raft.quarantined)
        work = node.take_ready()
        assert work is not None
        store.persist(work)
        self.assertTrue(voter(store.read()).raft.quarantined)

    def test_a_quarantined_voter_does_not_vote(self) -> None:
        state = bootstrapped_state()
        state.quarantined = True
        node = voter(state)
        deliver(node, "b", RequestVote(5, 9, 4, False), 10.0)
        deliver(node, "b", RequestVote(5, 9, 4, True), 11.0)
        self.assertEqual(vote_responses(node.take_ready()), [])

    def test_a_lost_store_does_not_bootstrap_the_shard(self) -> None:
        node = voter(None)
        for step in range(100):
            node.link_up(step * 100.0, ControlProcess("b", "zone", True))
            node.tick(step * 100.0)
            if node.take_ready() is not None:
                node.on_stored(step * 100.0)
        self.assertEqual((node.raft.voters, node.raft.last_index), ([], 0))


class LeadershipTransferTest(unittest.TestCase):
    def leader(self) -> ConfigNode:
        node = voter(bootstrapped_state())
        node.raft.campaign(1000.0, pre_vote=False)
        node.take_ready()
        node.on_stored(1000.0)
        deliver(node, "b", VoteResponse(1, True, False), 1001.0)
        self.assertTrue(node.is_leader)
        return node

    def test_leadership_is_transferred_to_a_recently_heard_voter(self) -> None:
        node = self.leader()
        outgoing = node.transfer_leadership(1100.0)
        self.assertEqual(len(outgoing), 1)
        self.assertIn(outgoing[0][0], ("b", "c"))
        self.assertEqual(msgpack.decode(outgoing[0][1], type=Message), TimeoutNow(1))

    def test_a_follower_transfers_no_leadership(self) -> None:
        self.assertEqual(voter(bootstrapped_state()).transfer_leadership(0.0), [])

    def test_a_voter_votes_for_the_target_of_a_leadership_transfer(self) -> None:
        node = self.leader()
        node.take_ready()
        node.on_stored(1010.0)
        log = node.raft
        deliver(node, "b", RequestVote(2, log.last_index, 1, False, True), 1020.0)
        self.assertEqual(vote_responses(node.take_ready()), [("b", True)])
        self.assertFalse(node.is_leader)

    def test_a_quarantined_voter_does_not_campaign_on_a_leadership_transfer(self) -> None:
        state = bootstrapped_state()
        state.quarantined = True
        node = voter(state)
        node.raft.leader = "b"
        deliver(node, "b", TimeoutNow(0), 10.0)
        self.assertEqual(node.raft.term, 0)


def processes(*zones: str, counts_for_quorum: bool = True) -> list[ControlProcess]:
    """One process for each given zone."""
    return [ControlProcess(f"p{i}", zone, counts_for_quorum) for i, zone in enumerate(zones)]


class VoterSelectionTest(unittest.TestCase):
    def test_voters_are_chosen_round_robin_over_zones_seeds_first(self) -> None:
        found = processes("x", "x", "x", "y", "y", "z")
        self.assertEqual(choose_voters(found, ["p1"], 3), ["p1", "p3", "p5"])
        self.assertEqual(choose_voters(found, [], 5), ["p0", "p3", "p5", "p1", "p4"])
        self.assertEqual(choose_voters(found[:2], [], 3), ["p0", "p1"])

    def test_target_voter_count(self) -> None:
        self.assertEqual([target_voter_count(f, True) for f in (0, 1, 2, 3, 4, 9)], [3, 3, 5, 7, 9, 9])
        self.assertEqual(target_voter_count(1, False), 9)

    def test_only_processes_that_count_for_the_quorum_are_eligible_if_any(self) -> None:
        counting, others = processes("x"), processes("y", counts_for_quorum=False)
        self.assertEqual(eligible_processes(counting + others), counting)
        self.assertEqual(eligible_processes(others), others)

    def change(self, voters: str, reachable: str, standbys: str, target: int = 3) -> list[str] | None:
        waiting = [ControlProcess(name, "zone", True) for name in standbys]
        return next_voter_change("a", list(voters), target, set(reachable), waiting, {})

    def test_a_standby_is_added_before_a_lost_voter_is_removed(self) -> None:
        self.assertEqual(self.change("abc", "abd", "d"), list("abcd"))
        self.assertEqual(self.change("abcd", "abd", ""), list("abd"))
        self.assertIsNone(self.change("abd", "abd", ""))

    def test_no_membership_change_without_need(self) -> None:
        self.assertIsNone(self.change("abc", "abcd", "d"))
        self.assertIsNone(self.change("abc", "ab", ""))

    def test_missing_voters_are_replaced(self) -> None:
        self.assertEqual(self.change("ab", "abc", "c"), list("abc"))
        self.assertEqual(self.change("a", "ab", "b"), list("ab"))

    def test_no_change_that_could_not_be_committed(self) -> None:
        self.assertIsNone(self.change("abcde", "abf", "f", target=5))
        self.assertIsNone(self.change("abcd", "a", ""))
        self.assertIsNone(self.change("abcdef", "ab", "", target=5))

    def test_voters_are_rebalanced_over_zones_after_recovery(self) -> None:
        zones = {"a": "x", "b": "x", "c": "z", "d": "y", "e": "z"}
        back = [ControlProcess("e", "z", True), ControlProcess("d", "y", True)]
        self.assertEqual(next_voter_change("a", list("abc"), 3, set("abcde"), back, zones), list("abcd"))
        self.assertEqual(next_voter_change("a", list("abcd"), 3, set("abcde"), back[:1], zones), list("acd"))
        self.assertIsNone(next_voter_change("a", list("acd"), 3, set("abcde"), back[:1], zones))

    def test_surplus_voters_are_removed_from_the_fullest_zone_but_not_the_leader(self) -> None:
        zones = {"a": "x", "b": "y", "c": "z", "d": "z"}
        self.assertEqual(next_voter_change("d", list("abcd"), 3, set("abcd"), [], zones), list("abd"))
        self.assertEqual(next_voter_change("a", list("abcd"), 3, set("abcd"), [], zones), list("abc"))
