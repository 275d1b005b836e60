"""Linearizable reads by read index: the commit index at the time of a request. Ongaro's thesis (2014), 6.4.

The leader answers once a heartbeat round that began after the request was confirmed by a majority. There are
no lease reads: clocks are not compared, so a leader's own belief that it leads is not enough.
"""

from dataclasses import dataclass
from typing import Any

from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import Read, ReadUpTo
from barleybarrow.agreement_replication import Replication

GATHER = 5.0  # requests within this time share a heartbeat round
MOST_READS = 64


@dataclass(slots=True)
class Question:
    """A read that waits for a majority to confirm the leader's round."""

    asker: str
    token: int
    index: int
    round: int


class ReadIndex(Replication):
    """Read requests of this process and of others."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.leader = ""
        self.questions: list[Question] = []
        self.reads: list[tuple[int, int]] = []  # (token, commit index) of answered reads

    def read(self, now: float, token: int) -> None:
        """Request the current commit index; the answer is added to the list, or never comes."""
        if self.role is Role.LEADER:
            self.question(now, self.name, token)
        elif self.leader:
            self.send(self.leader, Read(token))

    def question(self, now: float, asker: str, token: int) -> None:
        """Queue a read until a majority confirms that this process still leads. Thesis, 6.4."""
        if self.term_of(self.commit) != self.term:
            return
        if len(self.questions) >= MOST_READS:  # the requester retries
            self.counts["reads"] += 1
            return
        self.questions.append(Question(asker, token, self.commit, self.round + 1))
        if now - self.beat_at >= GATHER:
            self.beat(now)
            self.confirm()
        else:  # batched into the next round
            self.beats_at = min(self.beats_at, self.beat_at + GATHER)

    def confirm(self) -> None:
        """Answer the reads whose round a majority has confirmed."""
        rounds = sorted(self.round if n == self.name else self.round_of(n) for n in self.voters)
        sure = rounds[len(rounds) - self.majority]
        for q in [q for q in self.questions if q.round <= sure]:
            self.questions.remove(q)
            if q.asker == self.name:
                self.reads.append((q.token, q.index))
            else:
                self.send(q.asker, ReadUpTo(q.token, q.index))

    def round_of(self, name: str) -> int:
        p = self.progress.get(name)
        return p.round if p is not None else 0
