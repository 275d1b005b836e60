"""An agreement whose elections are tried again soon, and that does not answer the same refusal again at once.

A follower that asked a moment before the others missed the leader need not wait for a whole election's
span: its question raises no term. Of two that ask at once one gives way, so that votes are seldom split.
Where failure domains may be lost, an entry is agreed on only once more of them hold it.
Two replicas whose logs can't be joined (a disk that lost what it had synced) would else exchange messages
as fast as both can. It must never hold back what a replica that can follow waits for.
"""

from collections.abc import Mapping
from math import inf
from typing import Any

from barleybarrow.agreement import Agreement, Role
from barleybarrow.agreement_messages import Appended, AskVote, Vote
from barleybarrow.consensus.failure_domains import spread_index

PROBE_AGAIN_MS = (200.0, 450.0)  # after a question whether one would be elected: links answer within 100 ms
YIELD_MS = (300.0, 600.0)  # who grants another its question leaves it time to be elected
STAND_AGAIN_MS = (350.0, 800.0)  # after an election in which the votes were split
LOST_MS = 1500.0  # silence after which a voter may be replaced: longer than most restarts take
PAUSE_MS = 90.0  # the next beat, 100 ms after the one before, tries again


class PacedAgreement(Agreement):
    """Answers a follower that refuses at the same index once a beat, and elects without long waits."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        # By follower: the index of its last refusal, and when that was answered.
        self.refusals: dict[str, tuple[int, float]] = {}
        self.notes: dict[str, bytes] = {}  # by follower: its newest note
        self.domains: Mapping[str, str] = {}  # failure domain of each process ever met
        self.tolerated_domains = 0  # that may be lost at once

    def tick(self, now: float) -> None:
        """Do what is due; where that is to ask whether it would be elected, ask again soon."""
        super().tick(now)
        if self.role is Role.PROBING:
            self.stands_at = min(self.stands_at, now + self.rng.uniform(*PROBE_AGAIN_MS))

    def elected(self, now: float, probe: bool) -> None:
        """A majority has answered; where it was a question, an election follows."""
        super().elected(now, probe)
        if self.role is Role.CANDIDATE:
            self.stands_at = now + self.rng.uniform(*STAND_AGAIN_MS)

    def asked(self, now: float, sender: str, m: AskVote) -> None:
        """Somebody wants to be elected. Of two that ask at once the longer log goes on, or the lesser
        name.
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
        """Take a follower's answer; a refusal just like the one before only corrects what is known of
        its log.
        """
        self.notes[sender] = m.note
        repeated = self._repeated(now, sender, m)
        progress = self.progress.get(sender)
        if not repeated or progress is None:
            super().appended(now, sender, m)
            return
        progress.heard_at = now
        progress.next = max(1, min(m.index + 1, self.last + 1))

    def agreed_index(self, now: float, held: dict[str, int]) -> int:
        """Up to where a majority holds the log, and more failure domains than may be lost."""
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
