"""Elections with pre-vote and check-quorum. Raft, 5.2; Ongaro's thesis (2014), 6.2 and 9.6.

It must never give two votes in one term, nor one by a store that may lack what it has said.
"""

from math import inf
from random import Random
from typing import Any

from barleybarrow.agreement_log import Role
from barleybarrow.agreement_messages import AskVote, Entry, Kind, Vote
from barleybarrow.agreement_reads import ReadIndex
from barleybarrow.agreement_replication import Progress

ELECTION = 600.0  # milliseconds of silence until a follower stands, and up to as much more by chance
BROKEN_LINK = (150.0, 450.0)  # milliseconds until a follower stands whose link to the leader broke
LEARNER_GONE = 30_000.0  # milliseconds of silence after which a leader forgets a learner


class Elections(ReadIndex):
    """Who leads, as far as this process knows, and whom it votes for."""

    def __init__(self, rng: Random, now: float, barred: bool, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.rng = rng
        self.heard_at = -inf
        self.barred = barred  # its store may lack what it has said: no votes, no counting, until it caught up
        self.votes: set[str] = set()
        self.stands_at = now + self.patience()
        self.beats_at = self.checks_at = now
        self.led_since = -inf

    def patience(self) -> float:
        return ELECTION + self.rng.uniform(0.0, ELECTION)

    def slept(self, now: float) -> None:
        """This process stood still: what it held for a silence of others was its own."""
        self.stands_at = now + self.patience()
        self.heard_at = -inf
        if self.role is Role.LEADER:
            self.follow(now, self.term, "")

    def trust(self) -> None:
        """What its store lacks is made up for: it votes and counts from now on.

        In this term it may have voted before, for whom it no longer knows: so for nobody but its leader, and
        where it knows of none, for nobody else.
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
            return  # one that hears no leader must not unseat one that others hear
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
        """Who would best take the lead over: the voter heard of late that holds most; "" where there
        is none.
        """
        held = [
            (p.match, name)
            for name, p in self.progress.items()
            if name in self.voters and now - p.heard_at < ELECTION
        ]
        return max(held)[1] if held else ""

    def unreachable(self, now: float, name: str) -> None:
        """The link to this process broke: where it leads, stand soon, unless it is heard of again."""
        if self.leader == name and self.role is not Role.LEADER:
            self.heard_at = -inf
            self.stands_at = min(self.stands_at, now + self.rng.uniform(*BROKEN_LINK))

    def check(self, now: float) -> None:
        """Step down where no majority was heard for an election's span; thesis, 6.2."""
        self.checks_at = now + ELECTION / 2
        heard = sum(now - self.progress[n].heard_at < ELECTION for n in self.voters if n in self.progress)
        if heard + (self.name in self.voters) < self.majority:
            self.counts["stepped_down"] += 1
            self.follow(now, self.term, "")
            return
        for name in [n for n, p in self.progress.items() if n not in self.voters]:
            if now - self.progress[name].heard_at > LEARNER_GONE:
                del self.progress[name]
