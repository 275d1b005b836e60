"""A log that a few voters agree on and any number of learners follow: Raft, without I/O.

Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), with pre-vote,
check-quorum, learners and the read index of Ongaro's thesis (2014). It must never let two leaders of one term
have votes of a majority, and never count as agreed what a majority has not on disk: whatever it wants
stored and sent comes in one `Ready`, which is stored first, sent then, and applied last.

| role | what it does | leaves it |
| --- | --- | --- |
| LEARNER | follows, never stands or votes | a change of voters names it |
| FOLLOWER | follows a leader, grants votes | silence for an election's span: PROBING |
| PROBING | asks whether it would be elected, without raising the term | a majority says so: CANDIDATE |
| CANDIDATE | asks for votes in a new term | a majority: LEADER; a greater term: FOLLOWER |
| LEADER | appends, counts, beats | a greater term, or no majority heard for an election's span: FOLLOWER |
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from msgspec import msgpack

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

BEAT = 100.0  # milliseconds between two words of a leader
LEARNER_BEAT = 300.0  # and where a learner lacks nothing: it stands for nothing, and asks after 600 ms
GATHER = 5.0  # milliseconds in which questions wait for one round of voters
ELECTION = 600.0  # milliseconds of silence until a follower stands, and up to as much more by chance
BROKEN_LINK = (150.0, 450.0)  # milliseconds until a follower stands whose link to the leader broke
MOST_ENTRIES = 64  # in one message
MOST_BYTES = 256 * 1024
MOST_LEARNERS = 1024
LEARNER_GONE = 30_000.0  # milliseconds of silence after which a leader forgets a learner
MOST_READS = 64
MOST_MESSAGES = 4000  # that wait to be sent


class Role(Enum):
    LEARNER = "learner"
    FOLLOWER = "follower"
    PROBING = "probing"
    CANDIDATE = "candidate"
    LEADER = "leader"


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


@dataclass(slots=True)
class Question:
    """Somebody wants to know up to where it is agreed."""

    asker: str
    token: int
    index: int
    round: int


class Agreement:
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
        self.name, self.rng = name, rng
        self.term, self.vote = term, vote
        self.snapshot = snapshot or Snapshot(0, 0, voters, b"")
        self.entries = list(entries or ())
        self.voters = self.voting()
        self.stored_to = self.last
        self.commit = self.applied = self.snapshot.index
        self.leader, self.heard_at = "", -inf
        self.barred = barred  # its store may lack what it has said: no votes, no counting, until it caught up
        self.role = Role.FOLLOWER if name in self.voters else Role.LEARNER
        self.progress: dict[str, Progress] = {}
        self.votes: set[str] = set()
        self.round = 0
        self.questions: list[Question] = []
        self.reads: list[tuple[int, int]] = []  # tokens that were answered, and up to where it is agreed
        self.ready = Ready()
        self.note = b""
        self.counts: Counter[str] = Counter()
        self.stands_at = now + self.patience()
        self.beats_at = self.checks_at = now
        self.beat_at = -inf
        self.led_since = -inf

    # The log

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term_of(self, index: int) -> int:
        """The term of an entry, or of the last one in the snapshot; -1 where it is not there."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last:
            return self.entries[index - self.snapshot.index - 1].term
        return -1

    def voting(self) -> list[str]:
        """Who votes, by the last word on it in the log, be it agreed on or not."""
        for entry in reversed(self.entries):
            if entry.kind == Kind.VOTERS:
                return msgpack.decode(entry.data, type=list[str])
        return list(self.snapshot.voters)

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def dropped(self) -> int:
        """What was left out for lack of room: messages, questions, words of learners."""
        return sum(self.counts[what] for what in ("messages", "reads", "learners"))

    def append(self, entry: Entry) -> int:
        self.place(self.last + 1, [entry])
        return self.last

    def place(self, first: int, entries: list[Entry]) -> None:
        """Have entries stand from an index on, whatever stood there."""
        del self.entries[first - self.snapshot.index - 1 :]
        self.entries += entries
        ready = self.ready
        if ready.entries and first <= ready.first + len(ready.entries):
            del ready.entries[max(0, first - ready.first) :]
            if first < ready.first:
                ready.first = first
        elif not ready.entries:
            ready.first = first
        ready.entries += entries
        self.stored_to = min(self.stored_to, first - 1)
        self.voters = self.voting()
        self.settle_role()

    def settle_role(self) -> None:
        if self.name not in self.voters and self.role is not Role.LEADER:
            self.role = Role.LEARNER
        elif self.name in self.voters and self.role is Role.LEARNER:
            self.role = Role.FOLLOWER

    def compact(self, index: int, data: bytes) -> Snapshot | None:
        """Put a snapshot in the place of what was applied, to be stored; None where it is older."""
        if not self.snapshot.index < index <= self.applied:
            return None
        voters = self.voters_at(index)
        made = Snapshot(index, self.term_of(index), voters, data)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = made
        return made

    def voters_at(self, index: int) -> list[str]:
        for i in range(index - self.snapshot.index - 1, -1, -1):
            if self.entries[i].kind == Kind.VOTERS:
                return msgpack.decode(self.entries[i].data, type=list[str])
        return list(self.snapshot.voters)

    # What whoever drives it calls

    def patience(self) -> float:
        return ELECTION + self.rng.uniform(0.0, ELECTION)

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

    def whole(self) -> Ready:
        """All that is here, for a store that is empty yet."""
        first = self.snapshot.index + 1
        return Ready((self.term, self.vote), self.snapshot, first, list(self.entries))

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

    def read(self, now: float, token: int) -> None:
        """Find out up to where it is agreed at this moment; `reads` has the answer, or nothing ever comes."""
        if self.role is Role.LEADER:
            self.question(now, self.name, token)
        elif self.leader:
            self.send(self.leader, Read(token))

    def question(self, now: float, asker: str, token: int) -> None:
        """Answered once a majority has confirmed, after this moment, that this process leads. Thesis, 6.4."""
        if self.term_of(self.commit) != self.term:
            return
        if len(self.questions) >= MOST_READS:  # whoever wants to know asks again
            self.counts["reads"] += 1
            return
        self.questions.append(Question(asker, token, self.commit, self.round + 1))
        if now - self.beat_at >= GATHER:
            self.beat(now)
            self.confirm()
        else:  # the questions of many share a round
            self.beats_at = min(self.beats_at, self.beat_at + GATHER)

    def take(self) -> Ready | None:
        """What is to be done now; None where there is nothing."""
        ready = self.ready
        ready.apply = []
        while self.applied < min(self.commit, self.last):
            self.applied += 1
            ready.apply.append((self.applied, self.entries[self.applied - self.snapshot.index - 1]))
        if not (ready.hard or ready.snapshot or ready.entries or ready.messages or ready.apply):
            return None
        ready.last, ready.last_term = self.last, self.term_of(self.last)
        self.ready = Ready()
        return ready

    def stored(self, now: float, ready: Ready) -> None:
        """What that one wanted stored is on disk."""
        if self.term_of(ready.last) == ready.last_term:  # else other entries stand there since
            self.stored_to = max(self.stored_to, ready.last)
        if self.role is Role.LEADER:
            self.advance(now)

    # Elections

    def hard(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self.ready.hard = term, vote

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

    # Leading

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

    def confirm(self) -> None:
        """Answer the questions that a majority has confirmed since."""
        rounds = sorted(self.round if n == self.name else self.round_of(n) for n in self.voters)
        sure = rounds[len(rounds) - self.majority]
        for q in [q for q in self.questions if q.round <= sure]:
            self.questions.remove(q)
            if q.asker == self.name:
                self.reads.append((q.token, q.index))
            else:
                self.send(q.asker, ReadUpTo(q.token, q.index))

    def round_of(self, name: str) -> int:
        p = self.progress.get(name)
        return p.round if p is not None else 0

    # Following

    def tell(self) -> None:
        """Have the leader hear at once what was noted since; it would else with its next word's answer."""
        if self.leader and self.leader != self.name:
            self.send(self.leader, Appended(self.term, True, self.applied, 0, self.note, not self.barred))

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

    def match_up(self, m: Append) -> int:
        """Put a leader's entries where they belong: the last index that agrees, or -1."""
        if m.before < self.snapshot.index:  # what the snapshot holds is agreed on
            skip = self.snapshot.index - m.before
            if skip >= len(m.entries):
                return max(self.snapshot.index, 0)
            before, entries = self.snapshot.index, m.entries[skip:]
        else:
            before, entries = m.before, m.entries
            if self.term_of(before) != m.before_term:
                return -1
        for i, entry in enumerate(entries):
            if self.term_of(before + 1 + i) != entry.term:
                self.place(before + 1 + i, entries[i:])
                break
        return before + len(entries)

    def install(self, snapshot: Snapshot) -> int:
        if snapshot.index <= self.commit:
            return self.commit
        if self.term_of(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.ready.snapshot, self.ready.entries = snapshot, list(self.entries)
        self.ready.first = snapshot.index + 1
        self.commit = self.applied = snapshot.index
        self.stored_to = min(self.stored_to, self.last)
        self.voters = self.voting()
        self.settle_role()
        return snapshot.index

    def send(self, to: str, message: Message) -> None:
        self.ready.messages.append((to, message))
        if len(self.ready.messages) > MOST_MESSAGES:  # the disk is slow, and every message bears to be lost
            del self.ready.messages[: MOST_MESSAGES // 2]
            self.counts["messages"] += MOST_MESSAGES // 2
