"""A log that a few voters agree on and any number of learners follow: Raft, without I/O.

Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), with pre-vote,
check-quorum, learners and the read index of Ongaro's thesis (2014). It must never let two leaders of one term
have votes of a majority, and never count as agreed what a majority has not on disk: whatever it wants
stored and sent comes in one `Ready`, which is stored first, sent then, and applied last.

Its parts, each on top of the one before: `agreement_log` (what stands where), `agreement_replication` (the
others' logs), `agreement_reads` (reads of a moment) and `agreement_elections`; here are time, messages and
voters.

| role | what it does | leaves it |
| --- | --- | --- |
| LEARNER | follows, never stands or votes | a change of voters names it |
| FOLLOWER | follows a leader, grants votes | silence for an election's span: PROBING |
| PROBING | asks whether it would be elected, without raising the term | a majority says so: CANDIDATE |
| CANDIDATE | asks for votes in a new term | a majority: LEADER; a greater term: FOLLOWER |
| LEADER | appends, counts, beats | a greater term, or no majority heard for an election's span: FOLLOWER |
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
    """One process's part."""

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

    # What whoever drives it calls

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
                for name in self.voters:  # whoever leads has to know that there is one more
                    if name != self.name:
                        self.send(name, Appended(self.term, False, self.last, 0, self.note, False))
            else:
                self.stand(now, probe=True)

    def propose(self, now: float, data: bytes, kind: int = Kind.DATA) -> int:
        """Append, where this process leads: the index; else pass it on to who does, and 0."""
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
        """What that one wanted stored is on disk."""
        if self.term_of(ready.last) == ready.last_term:  # else other entries stand there since
            self.stored_to = max(self.stored_to, ready.last)
        if self.role is Role.LEADER:
            self.advance(now)

    # Changes of voters

    def may_change(self) -> bool:
        """One change of voters at a time, and none before something of this term is agreed on."""
        since = range(self.commit + 1, self.last + 1)
        on_way = any(self.entries[i - self.snapshot.index - 1].kind == Kind.VOTERS for i in since)
        return not on_way and self.term_of(self.commit) == self.term

    def change_voters(self, now: float, voters: list[str]) -> bool:
        """Take one voter in or out, where this process leads. Thesis, 4.1."""
        if len(set(voters) ^ set(self.voters)) != 1 or not voters:
            return False
        return self.propose(now, msgpack.encode(voters), Kind.VOTERS) > 0

    # Messages

    def receive(self, now: float, sender: str, m: Message) -> None:
        """Take a message from another process, which is who it says."""
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
        """Have the leader hear at once what was noted since; it would else with its next word's answer."""
        if self.leader and self.leader != self.name:
            self.send(self.leader, Appended(self.term, True, self.applied, 0, self.note, not self.barred))
