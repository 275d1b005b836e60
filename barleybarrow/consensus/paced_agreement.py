"""Raft with fast election retries, commits across failure domains, and rate-limited answers to refusals.

A pre-vote raises no term, so one that came a moment before the others missed the leader is repeated without
waiting for a whole election timeout. Of two concurrent pre-candidates one yields, so that split votes are
rare. If whole failure domains may be lost, an entry is committed only once more domains than that have it.
Two replicas whose logs cannot be reconciled, because a disk lost synced data, would otherwise exchange
appends and refusals as fast as they can. The limit must never delay a replica that is able to follow.
"""

from collections.abc import Mapping
from math import inf
from typing import Any

from barleybarrow.agreement import RaftNode, Role
from barleybarrow.agreement_messages import AppendResponse, RequestVote, VoteResponse
from barleybarrow.consensus.failure_domains import domain_quorum_index

PRE_VOTE_RETRY_MS = (200.0, 450.0)  # a round trip takes up to 100 ms
GRANT_BACKOFF_MS = (300.0, 600.0)  # after granting a pre-vote: time for the other process to be elected
ELECTION_RETRY_MS = (350.0, 800.0)  # after a split vote
VOTER_LOST_TIMEOUT_MS = 1500.0  # silence after which a voter may be replaced: longer than most restarts
REFUSAL_RETRY_INTERVAL_MS = 90.0  # below the heartbeat interval of 100 ms, so that each heartbeat retries


class PacedRaftNode(RaftNode):
    """Retries elections early and answers a repeated refusal at most once per heartbeat."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        # By follower: the index of its last refusal, and when that was answered.
        self.last_refusals: dict[str, tuple[int, float]] = {}
        self.notes: dict[str, bytes] = {}  # newest note by follower
        self.domains: Mapping[str, str] = {}  # failure domain of each process ever seen
        self.tolerated_domains = 0  # that may be lost at once

    def tick(self, now: float) -> None:
        """Run the timers that are due; a pre-vote is retried early."""
        super().tick(now)
        if self.role is Role.PRE_CANDIDATE:
            self.election_due_at = min(self.election_due_at, now + self.rng.uniform(*PRE_VOTE_RETRY_MS))

    def on_vote_majority(self, now: float, pre_vote: bool) -> None:
        """Handle a majority of grants; an election that follows a pre-vote is retried early."""
        super().on_vote_majority(now, pre_vote)
        if self.role is Role.CANDIDATE:
            self.election_due_at = now + self.rng.uniform(*ELECTION_RETRY_MS)

    def handle_vote_request(self, now: float, sender: str, request: RequestVote) -> None:
        """Handle a vote request. Of two concurrent pre-candidates, the one with the longer log goes on, or
        with equal logs the smaller name.
        """
        if request.pre_vote and self.role is Role.PRE_CANDIDATE and self._has_priority_over(sender, request):
            return
        sent_before = len(self.ready.messages)
        super().handle_vote_request(now, sender, request)
        granted = any(
            isinstance(message, VoteResponse) and message.granted
            for _, message in self.ready.messages[sent_before:]
        )
        if not request.pre_vote or not granted or self.role is Role.LEADER:
            return
        if self.role is Role.PRE_CANDIDATE:
            self.become_follower(now, self.term, "")
        self.election_due_at = max(self.election_due_at, now + self.rng.uniform(*GRANT_BACKOFF_MS))

    def _has_priority_over(self, other: str, request: RequestVote) -> bool:
        own_log, other_log = (
            (self.term_at(self.last_index), self.last_index),
            (request.last_term, request.last_index),
        )
        return own_log > other_log or (own_log == other_log and self.name < other)

    def handle_append_response(self, now: float, sender: str, response: AppendResponse) -> None:
        """Handle a follower's response; a repeated refusal only updates its progress, without a retry."""
        self.notes[sender] = response.note
        repeated = self._is_repeated_refusal(now, sender, response)
        progress = self.progress.get(sender)
        if not repeated or progress is None:
            super().handle_append_response(now, sender, response)
            return
        progress.last_heard_at = now
        progress.next_index = max(1, min(response.index + 1, self.last_index + 1))

    def quorum_index(self, now: float, persisted_indexes: dict[str, int]) -> int:
        """Last index held by a majority, and by more failure domains than may be lost."""
        majority_index = super().quorum_index(now, persisted_indexes)
        if not self.tolerated_domains:
            return majority_index
        silent = {
            n
            for n in persisted_indexes
            if n != self.name and now - self._last_heard_at(n) >= VOTER_LOST_TIMEOUT_MS
        }
        return min(
            majority_index,
            domain_quorum_index(persisted_indexes, self.domains, silent, self.tolerated_domains),
        )

    def _last_heard_at(self, name: str) -> float:
        progress = self.progress.get(name)
        return progress.last_heard_at if progress is not None else -inf

    def _is_repeated_refusal(self, now: float, sender: str, response: AppendResponse) -> bool:
        if response.success or response.term != self.term or self.role is not Role.LEADER:
            return False
        index, answered_at = self.last_refusals.get(sender, (-1, 0.0))
        if index == response.index and now - answered_at < REFUSAL_RETRY_INTERVAL_MS:
            return True
        self.last_refusals[sender] = (response.index, now)
        return False
