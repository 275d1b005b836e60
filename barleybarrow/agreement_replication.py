"""Log replication from the leader, and the rule for advancing the commit index.

Raft, 5.3 and 5.4: followers get entries from the last matching index on, or a snapshot. An index is
committed once a majority has it on disk and its entry is of the leader's own term. Copies acknowledged by an
earlier incarnation of a follower must never be counted, since its disk may be gone.
"""

from dataclasses import dataclass
from math import inf
from typing import Any

from barleybarrow.agreement_log import ReplicatedLog, Role
from barleybarrow.agreement_messages import AppendEntries, AppendResponse, Entry, InstallSnapshot

HEARTBEAT_INTERVAL_MS = 100.0
LEARNER_HEARTBEAT_INTERVAL_MS = (
    300.0  # to learners that are up to date: they do not campaign, and query only after 600 ms
)
MAX_APPEND_ENTRIES = 64
MAX_APPEND_BYTES = 256 * 1024
MAX_FOLLOWERS = 1024


@dataclass(slots=True)
class Progress:
    """What the leader knows about a follower's log."""

    next_index: int
    match_index: int = 0
    received_index: int = 0  # last index it acknowledged, whether that counts for a quorum or not
    last_heard_at: float = -inf
    last_sent_at: float = -inf
    acked_round: int = 0
    min_valid_round: int = 0  # responses to earlier rounds come from a previous incarnation and prove no copy


class Replication(ReplicatedLog):
    """The leader's side of replication, with the progress of each follower."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.progress: dict[str, Progress] = {}
        self.round = 0  # of the newest broadcast
        self.heartbeat_due_at = self.last_heartbeat_at = -inf

    # Implemented by subclasses

    def become_follower(self, now: float, term: int, leader: str) -> None:
        """Become a follower of `leader` ("" if unknown) in a term that is not below the current one."""
        raise NotImplementedError

    def answer_confirmed_reads(self) -> None:
        """Answer the reads that a majority of voters has confirmed."""
        raise NotImplementedError

    # Sending to followers

    def broadcast_heartbeat(self, now: float, to_all: bool = False) -> None:
        """Start a round: send to all voters, and to learners that are behind or due a heartbeat."""
        self.heartbeat_due_at, self.last_heartbeat_at = now + HEARTBEAT_INTERVAL_MS, now
        self.round += 1
        for name in self.voters:
            if name != self.name and name not in self.progress:
                self.progress[name] = Progress(self.last_index + 1)
        for name, p in self.progress.items():
            idle = (
                p.received_index >= self.last_index and now - p.last_sent_at < LEARNER_HEARTBEAT_INTERVAL_MS
            )
            if to_all or name in self.voters or not idle:
                self.replicate_to(now, name, p)

    def add_follower(self, now: float, name: str) -> None:
        """Start replicating to a process that may have restarted and know no leader."""
        if self.role is Role.LEADER and name not in self.progress and len(self.progress) < MAX_FOLLOWERS:
            self.progress[name] = Progress(self.last_index + 1)
            self.replicate_to(now, name, self.progress[name])

    def replicate_new_entries(self, now: float) -> None:
        """Send to all followers that have not been sent the whole log."""
        for name, p in self.progress.items():
            if p.next_index <= self.last_index:
                self.replicate_to(now, name, p)

    def replicate_to(self, now: float, name: str, progress: Progress) -> None:
        """Send a follower the snapshot or entries it is missing, or an empty heartbeat."""
        progress.last_sent_at = now
        if progress.next_index <= self.snapshot.index:
            self.send(name, InstallSnapshot(self.term, self.snapshot, self.round))
            progress.next_index = self.snapshot.index + 1
            return
        batch, batch_bytes = list[Entry](), 0
        for entry in self.entries[progress.next_index - self.snapshot.index - 1 :][:MAX_APPEND_ENTRIES]:
            batch_bytes += len(entry.data)
            if batch and batch_bytes > MAX_APPEND_BYTES:
                break
            batch.append(entry)
        prev_index = progress.next_index - 1
        self.send(
            name,
            AppendEntries(
                self.term, prev_index, self.term_at(prev_index), batch, self.commit_index, self.round
            ),
        )
        progress.next_index += len(batch)

    # Responses of followers

    def handle_append_response(self, now: float, sender: str, response: AppendResponse) -> None:
        """Update a follower's progress, commit what a majority has, and send what the follower needs next."""
        if response.term > self.term:
            self.become_follower(now, response.term, "")
            return
        if self.role is not Role.LEADER:
            return
        progress = self.progress.get(sender)
        if progress is None:
            if len(self.progress) >= MAX_FOLLOWERS:
                self.counters["learners"] += 1
                return
            progress = self.progress[sender] = Progress(max(1, min(response.index, self.last_index) + 1))
            progress.last_heard_at = now
            self.replicate_to(now, sender, progress)
        if response.term < self.term:
            return
        progress.last_heard_at, progress.acked_round = now, max(progress.acked_round, response.round)
        if response.success:
            if not response.counts_for_commit:
                progress.match_index = 0
            elif response.round >= progress.min_valid_round:
                progress.match_index = max(progress.match_index, response.index)
            progress.received_index = max(progress.received_index, response.index)
            progress.next_index = max(progress.next_index, response.index + 1)
            self.advance_commit(now)
            if progress.next_index <= self.last_index:
                self.replicate_to(now, sender, progress)
        else:
            progress.next_index = max(1, min(response.index + 1, self.last_index + 1))
            progress.match_index = 0 if response.index < progress.match_index else progress.match_index
            progress.received_index = min(progress.received_index, response.index)
            self.replicate_to(now, sender, progress)
        self.answer_confirmed_reads()

    def advance_commit(self, now: float) -> None:
        """Commit what a majority has on disk, provided the last entry is of this term; Raft, 5.4.2."""
        index = self.quorum_index(now, {n: self.persisted_index_of(n) for n in self.voters})
        if index > self.commit_index and self.term_at(index) == self.term:
            self.commit_index = index
            self.broadcast_heartbeat(now, to_all=True)
            if self.name not in self.voters and self.term_at(self.commit_index) == self.term:
                self.become_follower(now, self.term, "")  # its own removal is committed now

    def persisted_index_of(self, name: str) -> int:
        """Last index that a voter is known to have on disk."""
        return self.persisted_index if name == self.name else self.match_index_of(name)

    def quorum_index(self, now: float, persisted_indexes: dict[str, int]) -> int:
        """Last index held by a majority, given the last index on the disk of each voter."""
        return sorted(persisted_indexes.values())[len(persisted_indexes) - self.majority]

    def on_peer_restart(self, name: str) -> None:
        """Discard what a previous incarnation of a follower acknowledged: its disk may be gone."""
        progress = self.progress.get(name)
        if progress is not None:
            self.round += 1
            progress.match_index, progress.min_valid_round = 0, self.round

    def match_index_of(self, name: str) -> int:
        """Last index that a follower is known to have on disk."""
        progress = self.progress.get(name)
        return progress.match_index if progress is not None else 0
