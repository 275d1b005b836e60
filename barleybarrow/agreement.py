"""Raft without I/O: a log replicated to a small set of voters and any number of learners.

Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), with pre-vote,
check-quorum, learners and the read index of Ongaro's thesis (2014). Two invariants must hold: a term has at
most one leader elected by a majority, and an entry is committed only once a majority has it on disk. All
output is therefore collected in one `Ready`, which the caller persists first, then sends, then applies.

The modules build on one another: `agreement_log` (log and hard state), `agreement_replication` (followers'
logs), `agreement_reads` (linearizable reads) and `agreement_elections`. This module adds the clock, message
dispatch and membership changes.

| role | what it does | when it leaves the role |
| --- | --- | --- |
| learner | follows; never campaigns or votes | it is added to the voters |
| follower | follows a leader, grants votes | election timeout: starts a pre-vote |
| pre-candidate | requests pre-votes without raising the term | majority: candidate |
| candidate | requests votes in a new term | majority: leader; higher term: follower |
| leader | appends, commits, sends heartbeats | higher term, or no quorum heard for a timeout: follower |
"""

from random import Random

from msgspec import msgpack

from barleybarrow.agreement_elections import ELECTION_TIMEOUT_MS, Elections
from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    Message,
    Proposal,
    ReadIndexRequest,
    ReadIndexResponse,
    Ready,
    RequestVote,
    Snapshot,
    TimeoutNow,
    VoteResponse,
)
from barleybarrow.agreement_reads import MAX_PENDING_READS
from barleybarrow.agreement_replication import Progress

__all__ = ["ELECTION_TIMEOUT_MS", "MAX_PENDING_READS", "RaftNode", "Progress", "Role"]


class RaftNode(Elections):
    """The Raft state machine of one process."""

    def __init__(
        self,
        name: str,
        voters: list[str],
        rng: Random,
        now: float,
        term: int = 0,
        vote: str = "",
        snapshot: Snapshot | None = None,
        entries: list[Entry] | None = None,
        quarantined: bool = False,
    ) -> None:
        super().__init__(rng, now, quarantined, name, voters, term, vote, snapshot, entries)
        self.note = b""

    # Called by the driver

    def next_wakeup(self) -> float:
        """When `tick` is due."""
        if self.role is Role.LEADER:
            return min(self.heartbeat_due_at, self.quorum_check_due_at)
        return self.election_due_at

    def tick(self, now: float) -> None:
        """Run the timers that are due: heartbeats and the quorum check, or the election timeout."""
        if self.role is Role.LEADER:
            if now >= self.quorum_check_due_at:
                self.check_quorum(now)
            if self.role is Role.LEADER and now >= self.heartbeat_due_at:
                self.broadcast_heartbeat(now)
                self.answer_confirmed_reads()
        elif now >= self.election_due_at:
            self.election_due_at = now + self.random_election_timeout()
            if self.role is Role.LEARNER or self.quarantined:
                self.leader = ""
                for name in self.voters:  # the leader adds a learner once it hears from it
                    if name != self.name:
                        self.send(
                            name, AppendResponse(self.term, False, self.last_index, 0, self.note, False)
                        )
            else:
                self.campaign(now, pre_vote=True)

    def propose(self, now: float, data: bytes, kind: int = EntryKind.DATA) -> int:
        """Append an entry and return its index; a follower forwards data to the leader and returns 0."""
        if self.role is Role.LEADER:
            if kind == EntryKind.VOTERS and not self.may_change_voters():
                return 0
            index = self.append(Entry(self.term, kind, data))
            self.replicate_new_entries(now)
            return index
        if self.leader and kind == EntryKind.DATA:
            self.send(self.leader, Proposal(data))
        else:
            self.counters["no_leader"] += 1
        return 0

    def on_stored(self, now: float, ready: Ready) -> None:
        """Report that everything in `ready` is on disk."""
        # If the terms differ, those entries have been overwritten since.
        if self.term_at(ready.last_index) == ready.last_term:
            self.persisted_index = max(self.persisted_index, ready.last_index)
        if self.role is Role.LEADER:
            self.advance_commit(now)

    # Membership changes

    def may_change_voters(self) -> bool:
        """Whether a membership change may start.

        Only one may be in progress, and an entry of the current term must have been committed before.
        """
        uncommitted = range(self.commit_index + 1, self.last_index + 1)
        change_pending = any(
            self.entries[i - self.snapshot.index - 1].kind == EntryKind.VOTERS for i in uncommitted
        )
        return not change_pending and self.term_at(self.commit_index) == self.term

    def change_voters(self, now: float, voters: list[str]) -> bool:
        """Add or remove a single voter if this process is the leader. Thesis, 4.1."""
        if len(set(voters) ^ set(self.voters)) != 1 or not voters:
            return False
        return self.propose(now, msgpack.encode(voters), EntryKind.VOTERS) > 0

    # Messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message; the transport has authenticated the sender."""
        if isinstance(message, RequestVote):
            self.handle_vote_request(now, sender, message)
        elif isinstance(message, VoteResponse):
            self.handle_vote_response(now, sender, message)
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self.handle_append(now, sender, message)
        elif isinstance(message, AppendResponse):
            self.handle_append_response(now, sender, message)
        elif isinstance(message, ReadIndexRequest):
            if self.role is Role.LEADER:
                self.enqueue_read(now, sender, message.token)
        elif isinstance(message, ReadIndexResponse):
            self.answered_reads.append((message.token, message.index))
        elif isinstance(message, TimeoutNow):
            may_campaign = self.role is Role.FOLLOWER and not self.quarantined
            if may_campaign and message.term == self.term and sender == self.leader:
                self.campaign(now, pre_vote=False, leadership_transfer=True)
        elif self.role is Role.LEADER:
            self.propose(now, message.data)

    def handle_append(self, now: float, sender: str, message: AppendEntries | InstallSnapshot) -> None:
        """Handle entries, a heartbeat or a snapshot from a leader."""
        if message.term < self.term:
            self.send(sender, AppendResponse(self.term, False, self.last_index, 0))
            return
        if (
            message.term > self.term
            or self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            or self.leader != sender
        ):
            self.become_follower(now, message.term, sender)
        self.leader_heard_at = now
        self.election_due_at = now + self.random_election_timeout()
        if isinstance(message, InstallSnapshot):
            index = self.install_snapshot(message.snapshot)
        else:
            index = self.try_append(message)
            if index < 0:
                hint = min(self.last_index, message.prev_index - 1)
                self.send(
                    sender,
                    AppendResponse(self.term, False, max(hint, self.commit_index), message.round, self.note),
                )
                return
            self.commit_index = max(self.commit_index, min(message.commit_index, index))
        acked_round = 0 if self.quarantined else message.round
        self.send(
            sender, AppendResponse(self.term, True, index, acked_round, self.note, not self.quarantined)
        )

    def send_note(self) -> None:
        """Send the current note to the leader now instead of with the next append response."""
        if self.leader and self.leader != self.name:
            self.send(
                self.leader,
                AppendResponse(self.term, True, self.applied_index, 0, self.note, not self.quarantined),
            )
