"""How a leader brings the others' logs up to its own, and what it counts as agreed.

Raft, 5.3 and 5.4: entries from where a follower agrees, else a snapshot; agreed is what a majority holds on
disk, from an entry of the leader's own term on. It must never count a copy that an earlier life of a follower
held.
"""

from dataclasses import dataclass
from math import inf
from typing import Any

from barleybarrow.agreement_log import ReplicatedLog, Role
from barleybarrow.agreement_messages import Append, Appended, Entry, Install

BEAT = 100.0  # milliseconds between two words of a leader
LEARNER_BEAT = 300.0  # and where a learner lacks nothing: it stands for nothing, and asks after 600 ms
MOST_ENTRIES = 64  # in one message
MOST_BYTES = 256 * 1024
MOST_LEARNERS = 1024


@dataclass(slots=True)
class Progress:
    """What a leader knows of another's log."""

    next: int
    match: int = 0
    has: int = 0  # up to where it said that it agrees, be it on a disk or not
    heard_at: float = -inf
    sent_at: float = -inf
    round: int = 0
    fence: int = 0  # answers to words of earlier rounds are of a life that has ended: they prove no copy


class Replication(ReplicatedLog):
    """The leader's side of the log, and what it knows of each follower."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.progress: dict[str, Progress] = {}
        self.round = 0  # of the newest word to all
        self.beats_at = self.beat_at = -inf  # when the next is due, and when the last one was

    # What other parts do

    def follow(self, now: float, term: int, leader: str) -> None:
        """Follow a leader, or nobody, in a term that is no lesser."""
        raise NotImplementedError

    def confirm(self) -> None:
        """Followers have answered: answer the reads that a majority has confirmed since."""
        raise NotImplementedError

    # Words to followers

    def beat(self, now: float, everybody: bool = False) -> None:
        """A word to all voters, and to learners that lack something or were told nothing for a while."""
        self.beats_at, self.beat_at = now + BEAT, now
        self.round += 1
        for name in self.voters:
            if name != self.name and name not in self.progress:
                self.progress[name] = Progress(self.last + 1)
        for name, p in self.progress.items():
            waits = p.has >= self.last and now - p.sent_at < LEARNER_BEAT
            if everybody or name in self.voters or not waits:
                self.inform(now, name, p)

    def invite(self, now: float, name: str) -> None:
        """Say a word to one that may have started anew and know of no leader; an answer makes it stay."""
        if self.role is Role.LEADER and name not in self.progress and len(self.progress) < MOST_LEARNERS:
            self.progress[name] = Progress(self.last + 1)
            self.inform(now, name, self.progress[name])

    def spread(self, now: float) -> None:
        for name, p in self.progress.items():
            if p.next <= self.last:
                self.inform(now, name, p)

    def inform(self, now: float, name: str, p: Progress) -> None:
        """Send one what it lacks, or a bare word."""
        p.sent_at = now
        if p.next <= self.snapshot.index:
            self.send(name, Install(self.term, self.snapshot, self.round))
            p.next = self.snapshot.index + 1
            return
        part, size = list[Entry](), 0
        for entry in self.entries[p.next - self.snapshot.index - 1 :][:MOST_ENTRIES]:
            size += len(entry.data)
            if part and size > MOST_BYTES:
                break
            part.append(entry)
        before = p.next - 1
        self.send(name, Append(self.term, before, self.term_of(before), part, self.commit, self.round))
        p.next += len(part)

    # Their answers

    def appended(self, now: float, sender: str, m: Appended) -> None:
        if m.term > self.term:
            self.follow(now, m.term, "")
            return
        if self.role is not Role.LEADER:
            return
        p = self.progress.get(sender)
        if p is None:
            if len(self.progress) >= MOST_LEARNERS:
                self.counts["learners"] += 1
                return
            p = self.progress[sender] = Progress(max(1, min(m.index, self.last) + 1))
            p.heard_at = now
            self.inform(now, sender, p)
        if m.term < self.term:
            return
        p.heard_at, p.round = now, max(p.round, m.round)
        if m.good:
            if not m.counts:
                p.match = 0
            elif m.round >= p.fence:
                p.match = max(p.match, m.index)
            p.has = max(p.has, m.index)
            p.next = max(p.next, m.index + 1)
            self.advance(now)
            if p.next <= self.last:
                self.inform(now, sender, p)
        else:
            p.next = max(1, min(m.index + 1, self.last + 1))
            p.match = 0 if m.index < p.match else p.match
            p.has = min(p.has, m.index)
            self.inform(now, sender, p)
        self.confirm()

    def advance(self, now: float) -> None:
        """Agreed is what a majority has on disk, and only from an entry of this term on; Raft, 5.4.2."""
        index = self.agreed_index(now, {n: self.held_by(n) for n in self.voters})
        if index > self.commit and self.term_of(index) == self.term:
            self.commit = index
            self.beat(now, everybody=True)
            if self.name not in self.voters and self.term_of(self.commit) == self.term:
                self.follow(now, self.term, "")  # it has led others through its own leaving

    def held_by(self, name: str) -> int:
        """Up to where a voter is known to have the log on its disk."""
        return self.stored_to if name == self.name else self.match(name)

    def agreed_index(self, now: float, held: dict[str, int]) -> int:
        """Up to where a majority holds the log; `held`: up to where each voter does."""
        return sorted(held.values())[len(held) - self.majority]

    def restarted(self, name: str) -> None:
        """Another life of this process has greeted: what the one before held may be gone with its disk."""
        p = self.progress.get(name)
        if p is not None:
            self.round += 1
            p.match, p.fence = 0, self.round

    def match(self, name: str) -> int:
        p = self.progress.get(name)
        return p.match if p is not None else 0
