"""Reads of a moment: up to where was it agreed when somebody asked? Ongaro's thesis (2014), 6.4.

A leader answers once a majority has confirmed, after the question, that it still leads. It must never answer
by what it believes alone: clocks are not compared.
"""

from dataclasses import dataclass
from typing import Any

from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import Read, ReadUpTo
from barleybarrow.agreement_replication import Replication

GATHER = 5.0  # milliseconds in which questions wait for one round of voters
MOST_READS = 64


@dataclass(slots=True)
class Question:
    """Somebody wants to know up to where it is agreed."""

    asker: str
    token: int
    index: int
    round: int


class ReadIndex(Replication):
    """Questions of this process and of others."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.leader = ""
        self.questions: list[Question] = []
        self.reads: list[tuple[int, int]] = []  # tokens that were answered, and up to where it is agreed

    def read(self, now: float, token: int) -> None:
        """Find out up to where it is agreed at this moment; `reads` has the answer, or nothing ever comes."""
        if self.role is Role.LEADER:
            self.question(now, self.name, token)
        elif self.leader:
            self.send(self.leader, Read(token))

    def question(self, now: float, asker: str, token: int) -> None:
        """Answered once a majority has confirmed, after this moment, that this process leads. Thesis, 6.4."""
        if self.term_of(self.commit) != self.term:
            return
        if len(self.questions) >= MOST_READS:  # whoever wants to know asks again
            self.counts["reads"] += 1
            return
        self.questions.append(Question(asker, token, self.commit, self.round + 1))
        if now - self.beat_at >= GATHER:
            self.beat(now)
            self.confirm()
        else:  # the questions of many share a round
            self.beats_at = min(self.beats_at, self.beat_at + GATHER)

    def confirm(self) -> None:
        """Answer the questions that a majority has confirmed since."""
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
