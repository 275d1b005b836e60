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

from barleybarrow.agreement_elections import ELECTION, Elections
from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import (
    Append,
    Appended,
    AskVote,
    Entry,
    InstallSnapshot,
    Kind,
    Message,
    Proposal,
    ReadIndexRequest,
    ReadUpTo,
    Ready,
    Snapshot,
    TimeoutNow,
    Vote,
)
from barleybarrow.agreement_reads import MOST_READS
from barleybarrow.agreement_replication import Progress

__all__ = ["ELECTION", "MOST_READS", "Agreement", "Progress", "Role"]


class Agreement(Elections):
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
        barred: bool = False,
    ) -> None:
        super().__init__(rng, now, barred, name, voters, term, vote, snapshot, entries)
        self.note = b""

    # Called by the driver

    def next(self) -> float:
        """When `tick` is due."""
        if self.role is Role.LEADER:
            return min(self.heartbeat_due_at, self.quorum_check_due_at)
        return self.stands_at

    def tick(self, now: float) -> None:
        """Run the timers that are due: heartbeats and the quorum check, or the election timeout."""
        if self.role is Role.LEADER:
            if now >= self.quorum_check_due_at:
                self.check_quorum(now)
            if self.role is Role.LEADER and now >= self.heartbeat_due_at:
                self.beat(now)
                self.answer_confirmed_reads()
        elif now >= self.stands_at:
            self.stands_at = now + self.random_election_timeout()
            if self.role is Role.LEARNER or self.barred:
                self.leader = ""
                for name in self.voters:  # the leader adds a learner once it hears from it
                    if name != self.name:
                        self.send(name, Appended(self.term, False, self.last, 0, self.note, False))
            else:
                self.stand(now, probe=True)

    def propose(self, now: float, data: bytes, kind: int = Kind.DATA) -> int:
        """Append an entry and return its index; a follower forwards data to the leader and returns 0."""
        if self.role is Role.LEADER:
            if kind == Kind.VOTERS and not self.may_change():
                return 0
            index = self.append(Entry(self.term, kind, data))
            self.replicate_new_entries(now)
            return index
        if self.leader and kind == Kind.DATA:
            self.send(self.leader, Proposal(data))
        else:
            self.counts["no_leader"] += 1
        return 0

    def stored(self, now: float, ready: Ready) -> None:
        """Report that everything in `ready` is on disk."""
        # If the terms differ, those entries have been overwritten since.
        if self.term_of(ready.last_index) == ready.last_term:
            self.stored_to = max(self.stored_to, ready.last_index)
        if self.role is Role.LEADER:
            self.advance(now)

    # Membership changes

    def may_change(self) -> bool:
        """Whether a membership change may start.

        Only one may be in progress, and an entry of the current term must have been committed before.
        """
        uncommitted = range(self.commit + 1, self.last + 1)
        change_pending = any(
            self.entries[i - self.snapshot.index - 1].kind == Kind.VOTERS for i in uncommitted
        )
        return not change_pending and self.term_of(self.commit) == self.term

    def change_voters(self, now: float, voters: list[str]) -> bool:
        """Add or remove a single voter if this process is the leader. Thesis, 4.1."""
        if len(set(voters) ^ set(self.voters)) != 1 or not voters:
            return False
        return self.propose(now, msgpack.encode(voters), Kind.VOTERS) > 0

    # Messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message; the transport has authenticated the sender."""
        if isinstance(message, AskVote):
            self.asked(now, sender, message)
        elif isinstance(message, Vote):
            self.handle_vote_response(now, sender, message)
        elif isinstance(message, Append | InstallSnapshot):
            self.handle_append(now, sender, message)
        elif isinstance(message, Appended):
            self.appended(now, sender, message)
        elif isinstance(message, ReadIndexRequest):
            if self.role is Role.LEADER:
                self.question(now, sender, message.token)
        elif isinstance(message, ReadUpTo):
            self.reads.append((message.token, message.index))
        elif isinstance(message, TimeoutNow):
            may_campaign = self.role is Role.FOLLOWER and not self.barred
            if may_campaign and message.term == self.term and sender == self.leader:
                self.stand(now, probe=False, leadership_transfer=True)
        elif self.role is Role.LEADER:
            self.propose(now, message.data)

    def handle_append(self, now: float, sender: str, message: Append | InstallSnapshot) -> None:
        """Handle entries, a heartbeat or a snapshot from a leader."""
        if message.term < self.term:
            self.send(sender, Appended(self.term, False, self.last, 0))
            return
        if (
            message.term > self.term
            or self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
            or self.leader != sender
        ):
            self.follow(now, message.term, sender)
        self.heard_at = now
        self.stands_at = now + self.random_election_timeout()
        if isinstance(message, InstallSnapshot):
            index = self.install_snapshot(message.snapshot)
        else:
            index = self.match_up(message)
            if index < 0:
                hint = min(self.last, message.before - 1)
                self.send(
                    sender, Appended(self.term, False, max(hint, self.commit), message.round, self.note)
                )
                return
            self.commit = max(self.commit, min(message.commit, index))
        acked_round = 0 if self.barred else message.round
        self.send(sender, Appended(self.term, True, index, acked_round, self.note, not self.barred))

    def tell(self) -> None:
        """Send the current note to the leader now instead of with the next append response."""
        if self.leader and self.leader != self.name:
            self.send(self.leader, Appended(self.term, True, self.applied, 0, self.note, not self.barred))
