"""Bounded search: no violation in the production code, and one for each injected bug."""

import unittest
from collections.abc import Callable
from typing import Any

from barleybarrow.agreement_messages import AskVote
from barleybarrow.consensus.config_node import ConfigNode
from barleybarrow.consensus.configuration_state import ConfigurationState
from barleybarrow.consensus.paced_agreement import PacedRaftNode
from tests.fleet.config_search import Bounds, Search, State, ViolationError
from tests.fleet.test_config_planted import EarlyCommitOneDisk

STATES = 10  # per start; `python -m tests.fleet.play_config_search` visits more
PLANTED_STATES = 30  # within which each injected bug has to be found
THREE = ["a", "b", "c", "d"]
FIVE = ["a", "b", "c", "d", "e", "f"]


def quiet(search: Search, voters: int, bounds: Bounds) -> State:
    """A healthy group with no messages in transit."""
    return search.first(search.names[:voters], bounds)


def order_under_way(search: Search, voters: int, bounds: Bounds) -> State:
    """The leader has proposed an order that no follower has received."""
    state = quiet(search, voters, bounds)
    leader = leader_of(state)
    search.order(state, leader)
    state.orders_sent += 1
    return state


def lagging(search: Search, voters: int, bounds: Bounds) -> State:
    """The last follower missed two orders; the leader has compacted its log since."""
    search.max_log_entries = 2
    state = quiet(search, voters, bounds)
    late = next(name for name in reversed(search.names[:voters]) if name != leader_of(state))
    for _ in range(2):
        search.order(state, leader_of(state))
        state.orders_sent += 1
        for pair in [pair for pair in state.wires if late in pair]:
            del state.wires[pair]
        search.settle_without(state, late)
    return state


def replaced(search: Search, voters: int, bounds: Bounds) -> State:
    """A voter is gone for good and an empty machine has joined: two membership changes are due."""
    state = quiet(search, voters, bounds)
    gone = next(name for name in reversed(search.names[:voters]) if name != leader_of(state))
    search.stop(state, gone)
    search.join(state, search.names[voters])
    state.now += 1600.0
    search.act(state, leader_of(state), Search.wait_out)
    return state


def leaving(search: Search, voters: int, bounds: Bounds) -> State:
    """A voter shuts down as planned while a standby has caught up."""
    state = quiet(search, voters, bounds)
    search.join(state, search.names[voters])
    search.settle(state)
    goes = next(name for name in search.names[:voters] if name != leader_of(state))
    search.act(state, goes, lambda node, now: node.leave(now))
    return state


def leader_of(state: State) -> str:
    """The current leader."""
    return next(name for name, member in state.members.items() if member.node.is_leader)


Start = Callable[[Search, int, Bounds], State]
STARTS: tuple[Start, ...] = (quiet, order_under_way, lagging, replaced, leaving)


class SearchTest(unittest.TestCase):
    """The production node."""

    def search(self, names: list[str], tolerated: int, bounds: Bounds) -> None:
        for start in STARTS:
            with self.subTest(start=start.__name__):
                search = Search(names, tolerated)
                search.run(start(search, len(names) - 1, bounds))

    def test_three_voters(self) -> None:
        self.search(THREE, 1, Bounds(states=STATES))

    def test_five_voters(self) -> None:
        self.search(FIVE, 2, Bounds(states=3, wipes=2))


class NeverBarred(ConfigNode):
    """Votes and counts for the quorum with an empty store at the address of a voter."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.agreement.barred = False

    def hear_voters(self, voters: list[str], index: int) -> None:
        super().hear_voters(voters, index)
        if self.agreement.last == 0 and self.name in voters:
            self.agreement.voters = list(voters)
            self.agreement.update_role()


class AnyLogAgreement(PacedRaftNode):
    """Votes for any candidate, whatever its log contains."""

    def asked(self, now: float, sender: str, request: AskVote) -> None:
        longest = AskVote(request.term, 2**50, request.term, request.probe, request.leadership_transfer)
        super().asked(now, sender, longest)


class VotesForAnyLog(ConfigNode):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.agreement.__class__ = AnyLogAgreement

    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.agreement.__class__ = AnyLogAgreement


class MinorityAgreement(PacedRaftNode):
    """A single vote wins an election."""

    @property
    def majority(self) -> int:
        return 1


class ElectsItself(VotesForAnyLog):
    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.agreement.__class__ = MinorityAgreement


class SameTermAgreement(MinorityAgreement):
    """Campaigns without raising its term."""

    def hard(self, term: int, vote: str) -> None:
        super().hard(self.term if vote == self.name else term, vote)


class StandsInAnOldTerm(VotesForAnyLog):
    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.agreement.__class__ = SameTermAgreement


class SnapshotForgetsOrders(ConfigNode):
    """Loses the accepted orders when its state is restored."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.state.__class__ = ForgetfulState


class ForgetfulState(ConfigurationState):
    """Loses the accepted orders when restored from a snapshot."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.taken.clear()


class PlantedTest(unittest.TestCase):
    """Each injected bug violates an invariant, and the search finds it."""

    def found(self, node_class: type[ConfigNode], start: Start, expected: str) -> None:
        search = Search(THREE, 1, node_class)
        with self.assertRaisesRegex(ViolationError, expected):
            search.run(start(search, 3, Bounds(states=PLANTED_STATES)))

    def test_one_disk_for_a_majority(self) -> None:
        self.found(EarlyCommitOneDisk, quiet, "without acknowledged")

    def test_a_vote_by_an_empty_store(self) -> None:
        self.found(NeverBarred, lagging, "without acknowledged")

    def test_a_vote_for_a_shorter_log(self) -> None:
        self.found(VotesForAnyLog, lagging, "without acknowledged")

    def test_a_minority_that_elects(self) -> None:
        self.found(ElectsItself, quiet, "committed twice")

    def test_an_election_without_a_new_term(self) -> None:
        self.found(StandsInAnOldTerm, quiet, "two leaders")

    def test_a_snapshot_that_forgets_orders(self) -> None:
        self.found(SnapshotForgetsOrders, lagging, "acknowledged|refused")


if __name__ == "__main__":
    unittest.main()
