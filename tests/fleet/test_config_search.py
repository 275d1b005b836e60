"""Bounded search: no violation in the production code, and one for each injected bug."""

import unittest
from collections.abc import Callable
from typing import Any

from barleybarrow.agreement_messages import RequestVote
from barleybarrow.consensus.config_node import ConfigNode
from barleybarrow.consensus.configuration_state import ConfigurationState
from barleybarrow.consensus.paced_agreement import PacedRaftNode
from tests.fleet.config_search import Bounds, Search, SystemState, ViolationError
from tests.fleet.test_config_planted import EarlyAcknowledgeNode

STATES_PER_START = 10  # `python -m tests.fleet.play_config_search` visits more
BUG_SEARCH_STATES = 30  # within which each injected bug has to be found
THREE_VOTERS = ["a", "b", "c", "d"]
FIVE_VOTERS = ["a", "b", "c", "d", "e", "f"]


def healthy_group(search: Search, voters: int, bounds: Bounds) -> SystemState:
    """A healthy group with no messages in transit."""
    return search.initial_state(search.names[:voters], bounds)


def order_in_progress(search: Search, voters: int, bounds: Bounds) -> SystemState:
    """The leader has proposed an order that no follower has received."""
    state = healthy_group(search, voters, bounds)
    leader = leader_name(state)
    search.submit_order(state, leader)
    state.orders_sent += 1
    return state


def lagging_follower(search: Search, voters: int, bounds: Bounds) -> SystemState:
    """The last follower missed two orders; the leader has compacted its log since."""
    search.max_log_entries = 2
    state = healthy_group(search, voters, bounds)
    laggard = next(name for name in reversed(search.names[:voters]) if name != leader_name(state))
    for _ in range(2):
        search.submit_order(state, leader_name(state))
        state.orders_sent += 1
        for pair in [pair for pair in state.in_transit if laggard in pair]:
            del state.in_transit[pair]
        search.deliver_all_except(state, laggard)
    return state


def voter_replaced(search: Search, voters: int, bounds: Bounds) -> SystemState:
    """A voter is gone for good and an empty machine has joined: two membership changes are due."""
    state = healthy_group(search, voters, bounds)
    lost = next(name for name in reversed(search.names[:voters]) if name != leader_name(state))
    search.stop_for_good(state, lost)
    search.add_machine(state, search.names[voters])
    state.now += 1600.0
    search.run_on_node(state, leader_name(state), Search.tick_after_silence)
    return state


def voter_leaving(search: Search, voters: int, bounds: Bounds) -> SystemState:
    """A voter shuts down as planned while a standby has caught up."""
    state = healthy_group(search, voters, bounds)
    search.add_machine(state, search.names[voters])
    search.deliver_all(state)
    leaver = next(name for name in search.names[:voters] if name != leader_name(state))
    search.run_on_node(state, leaver, lambda node, now: node.request_replacement(now))
    return state


def leader_name(state: SystemState) -> str:
    """The current leader."""
    return next(name for name, replica in state.replicas.items() if replica.node.is_leader)


Start = Callable[[Search, int, Bounds], SystemState]
STARTS: tuple[Start, ...] = (
    healthy_group,
    order_in_progress,
    lagging_follower,
    voter_replaced,
    voter_leaving,
)


class SearchTest(unittest.TestCase):
    """The production node."""

    def check_all_starts(self, names: list[str], tolerated: int, bounds: Bounds) -> None:
        for start in STARTS:
            with self.subTest(start=start.__name__):
                search = Search(names, tolerated)
                search.run(start(search, len(names) - 1, bounds))

    def test_no_violation_with_three_voters(self) -> None:
        self.check_all_starts(THREE_VOTERS, 1, Bounds(states=STATES_PER_START))

    def test_no_violation_with_five_voters(self) -> None:
        self.check_all_starts(FIVE_VOTERS, 2, Bounds(states=3, wipes=2))


class NeverQuarantined(ConfigNode):
    """Votes and counts for the quorum with an empty store at the address of a voter."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.raft.quarantined = False

    def learn_voters(self, voters: list[str], index: int) -> None:
        super().learn_voters(voters, index)
        if self.raft.last_index == 0 and self.name in voters:
            self.raft.voters = list(voters)
            self.raft.update_role()


class AnyLogRaft(PacedRaftNode):
    """Votes for any candidate, whatever its log contains."""

    def handle_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        longest = RequestVote(
            request.term, 2**50, request.term, request.pre_vote, request.leadership_transfer
        )
        super().handle_vote_request(now, sender, longest)


class VotesForAnyLog(ConfigNode):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.raft.__class__ = AnyLogRaft

    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.raft.__class__ = AnyLogRaft


class MinorityRaft(PacedRaftNode):
    """A single vote wins an election."""

    @property
    def majority(self) -> int:
        return 1


class ElectsItself(VotesForAnyLog):
    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.raft.__class__ = MinorityRaft


class SameTermRaft(MinorityRaft):
    """Campaigns without raising its term."""

    def set_hard_state(self, term: int, vote: str) -> None:
        super().set_hard_state(self.term if vote == self.name else term, vote)


class CampaignsInOldTerm(VotesForAnyLog):
    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.raft.__class__ = SameTermRaft


class SnapshotLosesOrders(ConfigNode):
    """Loses the accepted orders when its state is restored."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.state.__class__ = AmnesicState


class AmnesicState(ConfigurationState):
    """Loses the accepted orders when restored from a snapshot."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.accepted.clear()


class InjectedBugsTest(unittest.TestCase):
    """Each injected bug violates an invariant, and the search finds it."""

    def assert_violation(self, node_class: type[ConfigNode], start: Start, expected: str) -> None:
        search = Search(THREE_VOTERS, 1, node_class)
        with self.assertRaisesRegex(ViolationError, expected):
            search.run(start(search, 3, Bounds(states=BUG_SEARCH_STATES)))

    def test_commit_on_a_single_disk(self) -> None:
        self.assert_violation(EarlyAcknowledgeNode, healthy_group, "without acknowledged")

    def test_a_vote_with_an_empty_store(self) -> None:
        self.assert_violation(NeverQuarantined, lagging_follower, "without acknowledged")

    def test_a_vote_for_a_shorter_log(self) -> None:
        self.assert_violation(VotesForAnyLog, lagging_follower, "without acknowledged")

    def test_an_election_by_a_minority(self) -> None:
        self.assert_violation(ElectsItself, healthy_group, "committed twice")

    def test_an_election_without_a_new_term(self) -> None:
        self.assert_violation(CampaignsInOldTerm, healthy_group, "two leaders")

    def test_a_snapshot_that_loses_accepted_orders(self) -> None:
        self.assert_violation(SnapshotLosesOrders, lagging_follower, "acknowledged|refused")


if __name__ == "__main__":
    unittest.main()
