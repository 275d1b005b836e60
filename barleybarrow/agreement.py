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
    Install,
    Kind,
    Message,
    Read,
    ReadUpTo,
    Ready,
    Snapshot,
    Submit,
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
        if self.role is Role.LEADER:
            return min(self.beats_at, self.checks_at)
        return self.stands_at

    def tick(self, now: float) -> None:
        if self.role is Role.LEADER:
            if now >= self.checks_at:
                self.check(now)
            if self.role is Role.LEADER and now >= self.beats_at:
                self.beat(now)
                self.confirm()
        elif now >= self.stands_at:
            self.stands_at = now + self.patience()
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
            self.spread(now)
            return index
        if self.leader and kind == Kind.DATA:
            self.send(self.leader, Submit(data))
        else:
            self.counts["no_leader"] += 1
        return 0

    def stored(self, now: float, ready: Ready) -> None:
        """Report that everything in `ready` is on disk."""
        if self.term_of(ready.last) == ready.last_term:  # otherwise those entries have been overwritten since
            self.stored_to = max(self.stored_to, ready.last)
        if self.role is Role.LEADER:
            self.advance(now)

    # Membership changes

    def may_change(self) -> bool:
        """Whether a membership change may start.

        Only one may be in progress, and an entry of the current term must have been committed before.
        """
        since = range(self.commit + 1, self.last + 1)
        on_way = any(self.entries[i - self.snapshot.index - 1].kind == Kind.VOTERS for i in since)
        return not on_way and self.term_of(self.commit) == self.term

    def change_voters(self, now: float, voters: list[str]) -> bool:
        """Add or remove a single voter if this process is the leader. Thesis, 4.1."""
        if len(set(voters) ^ set(self.voters)) != 1 or not voters:
            return False
        return self.propose(now, msgpack.encode(voters), Kind.VOTERS) > 0

    # Messages

    def receive(self, now: float, sender: str, m: Message) -> None:
        """Handle a message; the transport has authenticated the sender."""
        if isinstance(m, AskVote):
            self.asked(now, sender, m)
        elif isinstance(m, Vote):
            self.voted(now, sender, m)
        elif isinstance(m, Append | Install):
            self.led(now, sender, m)
        elif isinstance(m, Appended):
            self.appended(now, sender, m)
        elif isinstance(m, Read):
            if self.role is Role.LEADER:
                self.question(now, sender, m.token)
        elif isinstance(m, ReadUpTo):
            self.reads.append((m.token, m.index))
        elif isinstance(m, TimeoutNow):
            able = self.role is Role.FOLLOWER and not self.barred
            if able and m.term == self.term and sender == self.leader:
                self.stand(now, probe=False, transfer=True)
        elif self.role is Role.LEADER:
            self.propose(now, m.data)

    def led(self, now: float, sender: str, m: Append | Install) -> None:
        if m.term < self.term:
            self.send(sender, Appended(self.term, False, self.last, 0))
            return
        if m.term > self.term or self.role in (Role.PROBING, Role.CANDIDATE) or self.leader != sender:
            self.follow(now, m.term, sender)
        self.heard_at = now
        self.stands_at = now + self.patience()
        if isinstance(m, Install):
            index = self.install(m.snapshot)
        else:
            index = self.match_up(m)
            if index < 0:
                hint = min(self.last, m.before - 1)
                self.send(sender, Appended(self.term, False, max(hint, self.commit), m.round, self.note))
                return
            self.commit = max(self.commit, min(m.commit, index))
        round_ = 0 if self.barred else m.round
        self.send(sender, Appended(self.term, True, index, round_, self.note, not self.barred))

    def tell(self) -> None:
        """Send the current note to the leader now instead of with the next append response."""
        if self.leader and self.leader != self.name:
            self.send(self.leader, Appended(self.term, True, self.applied, 0, self.note, not self.barred))
