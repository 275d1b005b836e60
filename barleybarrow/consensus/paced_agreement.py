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

from barleybarrow.agreement import Agreement, Role
from barleybarrow.agreement_messages import Appended, AskVote, Vote
from barleybarrow.consensus.failure_domains import spread_index

PROBE_AGAIN_MS = (200.0, 450.0)  # a round trip takes up to 100 ms
YIELD_MS = (300.0, 600.0)  # time for a pre-candidate to be elected after this process granted its pre-vote
STAND_AGAIN_MS = (350.0, 800.0)  # after a split vote
LOST_MS = 1500.0  # a silent voter may be replaced after this time, which is longer than most restarts
PAUSE_MS = 90.0  # below the heartbeat interval of 100 ms, so that each heartbeat retries


class PacedAgreement(Agreement):
    """Retries elections early and answers a repeated refusal at most once per heartbeat."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        # By follower: the index of its last refusal, and when that was answered.
        self.refusals: dict[str, tuple[int, float]] = {}
        self.notes: dict[str, bytes] = {}  # newest note by follower
        self.domains: Mapping[str, str] = {}  # failure domain of each process ever seen
        self.tolerated_domains = 0  # that may be lost at once

    def tick(self, now: float) -> None:
        """Run the timers that are due; a pre-vote is retried early."""
        super().tick(now)
        if self.role is Role.PROBING:
            self.stands_at = min(self.stands_at, now + self.rng.uniform(*PROBE_AGAIN_MS))

    def elected(self, now: float, probe: bool) -> None:
        """Handle a majority of grants; an election that follows a pre-vote is retried early."""
        super().elected(now, probe)
        if self.role is Role.CANDIDATE:
            self.stands_at = now + self.rng.uniform(*STAND_AGAIN_MS)

    def asked(self, now: float, sender: str, m: AskVote) -> None:
        """Handle a vote request. Of two concurrent pre-candidates, the one with the longer log goes on, or
        with equal logs the smaller name.
        """
        if m.probe and self.role is Role.PROBING and self._goes_before(sender, m):
            return
        said_before = len(self.ready.messages)
        super().asked(now, sender, m)
        granted = any(
            isinstance(said, Vote) and said.granted for _, said in self.ready.messages[said_before:]
        )
        if not m.probe or not granted or self.role is Role.LEADER:
            return
        if self.role is Role.PROBING:
            self.follow(now, self.term, "")
        self.stands_at = max(self.stands_at, now + self.rng.uniform(*YIELD_MS))

    def _goes_before(self, other: str, m: AskVote) -> bool:
        own_log, other_log = (self.term_of(self.last), self.last), (m.last_term, m.last)
        return own_log > other_log or (own_log == other_log and self.name < other)

    def appended(self, now: float, sender: str, m: Appended) -> None:
        """Handle a follower's response; a repeated refusal only updates its progress, without a retry."""
        self.notes[sender] = m.note
        repeated = self._repeated(now, sender, m)
        progress = self.progress.get(sender)
        if not repeated or progress is None:
            super().appended(now, sender, m)
            return
        progress.heard_at = now
        progress.next = max(1, min(m.index + 1, self.last + 1))

    def agreed_index(self, now: float, held: dict[str, int]) -> int:
        """Last index held by a majority, and by more failure domains than may be lost."""
        agreed = super().agreed_index(now, held)
        if not self.tolerated_domains:
            return agreed
        silent = {n for n in held if n != self.name and now - self._heard_at(n) >= LOST_MS}
        return min(agreed, spread_index(held, self.domains, silent, self.tolerated_domains))

    def _heard_at(self, name: str) -> float:
        progress = self.progress.get(name)
        return progress.heard_at if progress is not None else -inf

    def _repeated(self, now: float, sender: str, m: Appended) -> bool:
        if m.good or m.term != self.term or self.role is not Role.LEADER:
            return False
        index, answered_at = self.refusals.get(sender, (-1, 0.0))
        if index == m.index and now - answered_at < PAUSE_MS:
            return True
        self.refusals[sender] = (m.index, now)
        return False
