"""Log replication from the leader, and the rule for advancing the commit index.

Raft, 5.3 and 5.4: followers get entries from the last matching index on, or a snapshot. An index is
committed once a majority has it on disk and its entry is of the leader's own term. Copies acknowledged by an
earlier incarnation of a follower must never be counted, since its disk may be gone.
"""

from dataclasses import dataclass
from math import inf
from typing import Any

from barleybarrow.agreement_log import ReplicatedLog, Role
from barleybarrow.agreement_messages import Append, Appended, Entry, Install

BEAT = 100.0
LEARNER_BEAT = 300.0  # to learners that are up to date: they do not campaign, and query only after 600 ms
MOST_ENTRIES = 64
MOST_BYTES = 256 * 1024
MOST_LEARNERS = 1024


@dataclass(slots=True)
class Progress:
    """What the leader knows about a follower's log."""

    next: int
    match: int = 0
    has: int = 0  # last index it acknowledged, also if that acknowledgement does not count for a quorum
    heard_at: float = -inf
    sent_at: float = -inf
    round: int = 0
    fence: int = 0  # responses to earlier rounds come from a previous incarnation and prove no copy


class Replication(ReplicatedLog):
    """The leader's side of replication, with the progress of each follower."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.progress: dict[str, Progress] = {}
        self.round = 0  # of the newest broadcast
        self.beats_at = self.beat_at = -inf

    # Implemented by subclasses

    def follow(self, now: float, term: int, leader: str) -> None:
        """Become a follower of `leader` ("" if unknown) in a term that is not below the current one."""
        raise NotImplementedError

    def confirm(self) -> None:
        """Answer the reads that a majority of voters has confirmed."""
        raise NotImplementedError

    # Sending to followers

    def beat(self, now: float, everybody: bool = False) -> None:
        """Start a round: send to all voters, and to learners that are behind or due a heartbeat."""
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
        """Start replicating to a process that may have restarted and know no leader."""
        if self.role is Role.LEADER and name not in self.progress and len(self.progress) < MOST_LEARNERS:
            self.progress[name] = Progress(self.last + 1)
            self.inform(now, name, self.progress[name])

    def spread(self, now: float) -> None:
        for name, p in self.progress.items():
            if p.next <= self.last:
                self.inform(now, name, p)

    def inform(self, now: float, name: str, p: Progress) -> None:
        """Send a follower the snapshot or entries it is missing, or an empty heartbeat."""
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

    # Responses of followers

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
        """Commit what a majority has on disk, provided the last entry is of this term; Raft, 5.4.2."""
        index = self.agreed_index(now, {n: self.held_by(n) for n in self.voters})
        if index > self.commit and self.term_of(index) == self.term:
            self.commit = index
            self.beat(now, everybody=True)
            if self.name not in self.voters and self.term_of(self.commit) == self.term:
                self.follow(now, self.term, "")  # its own removal is committed now

    def held_by(self, name: str) -> int:
        """Last index that a voter is known to have on disk."""
        return self.stored_to if name == self.name else self.match(name)

    def agreed_index(self, now: float, held: dict[str, int]) -> int:
        """Last index held by a majority, given the last index on the disk of each voter."""
        return sorted(held.values())[len(held) - self.majority]

    def restarted(self, name: str) -> None:
        """Discard what a previous incarnation of a follower acknowledged: its disk may be gone."""
        p = self.progress.get(name)
        if p is not None:
            self.round += 1
            p.match, p.fence = 0, self.round

    def match(self, name: str) -> int:
        p = self.progress.get(name)
        return p.match if p is not None else 0
