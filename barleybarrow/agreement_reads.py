"""Linearizable reads by read index: the commit index at the time of a request. Ongaro's thesis (2014), 6.4.

The leader answers once a heartbeat round that began after the request was confirmed by a majority. There are
no lease reads: clocks are not compared, so a leader's own belief that it leads is not enough.
"""

from dataclasses import dataclass
from typing import Any

from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import ReadIndexRequest, ReadIndexResponse
from barleybarrow.agreement_replication import Replication

READ_BATCH_WINDOW_MS = 5.0  # requests within this time share a heartbeat round
MAX_PENDING_READS = 64


@dataclass(slots=True)
class PendingRead:
    """A read that waits for a majority to confirm the leader's round."""

    requester: str
    token: int
    index: int
    round: int


class ReadIndex(Replication):
    """Read requests of this process and of others."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.leader = ""
        self.pending_reads: list[PendingRead] = []
        self.answered_reads: list[tuple[int, int]] = []  # (token, commit index) of answered reads

    def request_read(self, now: float, token: int) -> None:
        """Request the current commit index; the answer is added to the list, or never comes."""
        if self.role is Role.LEADER:
            self.enqueue_read(now, self.name, token)
        elif self.leader:
            self.send(self.leader, ReadIndexRequest(token))

    def enqueue_read(self, now: float, requester: str, token: int) -> None:
        """Queue a read until a majority confirms that this process still leads. Thesis, 6.4."""
        if self.term_at(self.commit_index) != self.term:
            return
        if len(self.pending_reads) >= MAX_PENDING_READS:  # the requester retries
            self.counters["reads"] += 1
            return
        self.pending_reads.append(PendingRead(requester, token, self.commit_index, self.round + 1))
        if now - self.last_heartbeat_at >= READ_BATCH_WINDOW_MS:
            self.broadcast_heartbeat(now)
            self.answer_confirmed_reads()
        else:  # batched into the next round
            self.heartbeat_due_at = min(self.heartbeat_due_at, self.last_heartbeat_at + READ_BATCH_WINDOW_MS)

    def answer_confirmed_reads(self) -> None:
        """Answer the reads whose round a majority has confirmed."""
        rounds = sorted(self.round if n == self.name else self.acked_round_of(n) for n in self.voters)
        confirmed_round = rounds[len(rounds) - self.majority]
        for pending in [pending for pending in self.pending_reads if pending.round <= confirmed_round]:
            self.pending_reads.remove(pending)
            if pending.requester == self.name:
                self.answered_reads.append((pending.token, pending.index))
            else:
                self.send(pending.requester, ReadIndexResponse(pending.token, pending.index))

    def acked_round_of(self, name: str) -> int:
        progress = self.progress.get(name)
        return progress.acked_round if progress is not None else 0
