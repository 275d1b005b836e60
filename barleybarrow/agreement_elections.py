"""Elections with pre-vote and check-quorum. Raft, 5.2; Ongaro's thesis (2014), 6.2 and 9.6.

A process must never cast two votes in one term, nor any while its store may lack an earlier vote.
"""

from math import inf
from random import Random
from typing import Any

from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import AskVote, Entry, Kind, Vote
from barleybarrow.agreement_reads import ReadIndex
from barleybarrow.agreement_replication import Progress

ELECTION = 600.0  # plus a random extra of up to the same length
BROKEN_LINK = (150.0, 450.0)  # shorter election timeout after the link to the leader broke
LEARNER_GONE = 30_000.0  # the leader drops a learner that has been silent for this long


class Elections(ReadIndex):
    """Leader election of one process."""

    def __init__(self, rng: Random, now: float, barred: bool, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.rng = rng
        self.heard_at = -inf
        self.barred = barred  # the store may have lost promises: no votes, and no part in a quorum
        self.votes: set[str] = set()
        self.stands_at = now + self.patience()
        self.beats_at = self.checks_at = now
        self.led_since = -inf

    def patience(self) -> float:
        return ELECTION + self.rng.uniform(0.0, ELECTION)

    def slept(self, now: float) -> None:
        """Restart the timers after this process was paused: it cannot tell who was silent meanwhile."""
        self.stands_at = now + self.patience()
        self.heard_at = -inf
        if self.role is Role.LEADER:
            self.follow(now, self.term, "")

    def trust(self) -> None:
        """Vote and count in quorums again, now that the log holds all that was lost.

        The vote this process may have cast in the current term is unknown, so it records one for the leader
        or, if no leader is known, for itself: no other candidate of this term can get a second vote.
        """
        self.barred = False
        if not self.vote:
            self.hard(self.term, self.leader or self.name)

    def follow(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.hard(term, "")
        self.role = Role.FOLLOWER if self.name in self.voters else Role.LEARNER
        self.leader = leader
        self.votes.clear()
        self.questions.clear()
        self.progress.clear()
        self.stands_at = now + self.patience()

    def stand(self, now: float, probe: bool, transfer: bool = False) -> None:
        self.leader = ""
        self.votes = {self.name}
        if probe:
            self.role = Role.PROBING
        else:
            self.role = Role.CANDIDATE
            self.hard(self.term + 1, self.name)
        if len(self.votes) >= self.majority:
            self.elected(now, probe)
            return
        ask = AskVote(self.term + probe, self.last, self.term_of(self.last), probe, transfer)
        for name in self.voters:
            if name != self.name:
                self.send(name, ask)

    def elected(self, now: float, probe: bool) -> None:
        if probe:
            self.stand(now, probe=False)
            return
        self.role, self.leader, self.led_since = Role.LEADER, self.name, now
        self.progress = {name: Progress(self.last + 1) for name in self.voters if name != self.name}
        for p in self.progress.values():
            p.heard_at = now
        self.checks_at = now + ELECTION
        self.append(Entry(self.term, Kind.NOTHING))
        self.counts["led"] += 1
        self.beat(now)

    def asked(self, now: float, sender: str, m: AskVote) -> None:
        up_to_date = (m.last_term, m.last) >= (self.term_of(self.last), self.last)
        led = now - self.heard_at < ELECTION or self.role is Role.LEADER
        if self.barred or self.name not in self.voters:
            return
        if m.probe:
            granted = up_to_date and m.term > self.term and not led
            self.send(sender, Vote(m.term if granted else self.term, granted, True))
            return
        if led and m.term > self.term and not m.transfer:
            return  # a process that cannot hear the leader must not depose one that this process hears
        if m.term > self.term:
            self.follow(now, m.term, "")
        granted = m.term == self.term and up_to_date and self.vote in ("", sender)
        if granted:
            self.hard(self.term, sender)
            self.stands_at = now + self.patience()
        self.send(sender, Vote(self.term, granted, False))

    def voted(self, now: float, sender: str, m: Vote) -> None:
        if m.probe:
            if self.role is Role.PROBING and m.term == self.term + 1 and m.granted:
                self.votes.add(sender)
            elif not m.granted and m.term > self.term:
                self.follow(now, m.term, "")
                return
        elif m.term > self.term:
            self.follow(now, m.term, "")
            return
        elif self.role is Role.CANDIDATE and m.term == self.term and m.granted:
            self.votes.add(sender)
        if self.role in (Role.PROBING, Role.CANDIDATE) and len(self.votes & {*self.voters}) >= self.majority:
            self.elected(now, self.role is Role.PROBING)

    def successor(self, now: float) -> str:
        """The recently heard voter with the longest matching log, to transfer leadership to; "" if none."""
        held = [
            (p.match, name)
            for name, p in self.progress.items()
            if name in self.voters and now - p.heard_at < ELECTION
        ]
        return max(held)[1] if held else ""

    def unreachable(self, now: float, name: str) -> None:
        """Shorten the election timeout if the broken link leads to the leader."""
        if self.leader == name and self.role is not Role.LEADER:
            self.heard_at = -inf
            self.stands_at = min(self.stands_at, now + self.rng.uniform(*BROKEN_LINK))

    def check(self, now: float) -> None:
        """Step down if no majority was heard within an election timeout; thesis, 6.2."""
        self.checks_at = now + ELECTION / 2
        heard = sum(now - self.progress[n].heard_at < ELECTION for n in self.voters if n in self.progress)
        if heard + (self.name in self.voters) < self.majority:
            self.counts["stepped_down"] += 1
            self.follow(now, self.term, "")
            return
        for name in [n for n, p in self.progress.items() if n not in self.voters]:
            if now - self.progress[name].heard_at > LEARNER_GONE:
                del self.progress[name]
