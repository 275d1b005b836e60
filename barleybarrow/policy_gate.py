"""One proxy under a policy that is agreed on: what it may act upon now, and whether it may admit at all.

A machine without I/O: messages, the time and what was stored go in, what is to be stored, sent and looked
at comes out. It puts `agreement`, the `Book` and the `Conductor` together and must never let a request in
under rules that somebody else may already be acting against. What it rests on: docs/design/policy.md.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from msgspec import Struct, msgpack

from barleybarrow.agreement import Agreement, Role
from barleybarrow.agreement_messages import Appended, Entry, Message, Ready, Snapshot
from barleybarrow.policy import PolicyError, Rules, read, stricter
from barleybarrow.rollout import FORCE, JOINT, WITHDRAWN, Book, Command, Conductor, Join, Step, Word

ASK = 200.0  # milliseconds between two questions up to where it is agreed, while that has to be known
RENEW = 300.0  # and while a lease has to be kept
JOIN_AGAIN = 500.0
CONDUCT = 50.0  # milliseconds between two looks at a change that is on its way here
INVITE = 1000.0  # between two words to who is on the roster and silent: its own file may name who voted once
PAUSE = 1000.0  # milliseconds between two looks at the clock, after which this process stood still
OPEN_AFTER = (
    2000.0  # where nobody can be asked after a pause: it has agreed to nothing meanwhile, so nothing holds
)
LEASE = 3000.0  # milliseconds from a question until its answer no longer lets this proxy admit
DRIFT = 1.05  # two monotonic clocks do not differ by more over a lease
KEEP_LOG = 500  # entries, after which a voter puts a snapshot in their place
MOST_QUESTIONS = 32


class Note(Struct, array_like=True, frozen=True):
    """What a follower tells the leader with each answer."""

    applied: int
    refuses: int = 0
    why: str = ""
    keeps: bool = False


@dataclass
class Status:
    """How things stand, for who asks."""

    name: str
    role: str
    leader: str
    term: int
    voters: list[str]
    electorate: list[str]  # who is to vote; empty where staff never said
    roster: list[str]
    force: int
    pending: int
    phase: str
    missing: list[str]
    behind: dict[str, int]  # by name: how far each has applied, where this process leads
    agreed: int
    applied: int
    admits: bool
    why: str
    lease_left: float  # milliseconds; infinite without leases


class PolicyGate:
    """One proxy. Times are milliseconds on its own monotonic clock."""

    def __init__(
        self,
        name: str,
        voters: list[str],
        rng: Random,
        now: float,
        fence: bool = False,
        within: float = 30_000.0,
        term: int = 0,
        vote: str = "",
        snapshot: Snapshot | None = None,
        entries: list[Entry] | None = None,
        barred: bool = False,
        keeps: bool | None = None,
    ) -> None:
        """`keeps`: whether there is a store; left out, voters have one."""
        self.name, self.fence = name, fence
        self.keeps = name in voters if keeps is None else keeps
        barred = barred or not self.keeps
        self.agreement = Agreement(name, voters, rng, now, term, vote, snapshot, entries, barred)
        self.book, self.conductor = Book(), Conductor(within)
        if snapshot is not None:
            self.book.load(snapshot.index, snapshot.data)
        self.token = rng.getrandbits(40)
        self.asked: dict[int, float] = {}  # questions, and when each was put
        self.proofs: list[tuple[float, int]] = []  # when what was asked, and up to where it was agreed then
        self.caught = self.woken = False
        self.woke_at = -inf
        self.lease_end = -inf
        self.ask_at = self.conduct_at = self.invite_at = now
        self.join_at = -inf
        self.last = now
        self.led = False
        self.told: dict[str, Word] = {}  # by name, while it leads
        self.look: list[str] = []  # whom the conductor wants looked at
        self.rules: Rules | None = Rules()
        self.changed = True  # whether the rules may be others since whoever acts upon them looked
        self.take_up()

    # Whether it may admit

    def verdict(self, now: float) -> str:
        """Why nothing may be admitted now; empty where it may. Called for each request."""
        if now - self.last > PAUSE:
            self.slept(now)
        if self.rules is None:
            return "unreadable"
        if not self.caught:
            return "behind"
        if self.fence and now >= self.lease_end:
            return "lease"
        return ""

    def slept(self, now: float) -> None:
        """This process stood still: it asks again before it admits, and before it stands for leader."""
        self.last = now
        self.woken, self.woke_at = self.caught or self.woken, now  # one that never caught up still has to
        self.caught = False
        self.proofs.clear()
        self.asked.clear()
        self.ask_at = now
        self.agreement.slept(now)

    # Time and messages

    def next(self) -> float:
        return min(self.agreement.next(), self.ask_at, self.conduct_at)

    def tick(self, now: float) -> None:
        if now - self.last > PAUSE:
            self.slept(now)
        self.last = now
        self.agreement.tick(now)
        if now >= self.ask_at:
            self.ask(now)
        if now >= self.conduct_at:
            busy = self.book.pending or self.book.electorate
            self.conduct_at = now + (CONDUCT if busy else INVITE)
            self.conduct(now)
        self.settle(now)

    def receive(self, now: float, sender: str, message: Message) -> None:
        if now - self.last > PAUSE:
            self.slept(now)
        self.agreement.receive(now, sender, message)
        if isinstance(message, Appended) and message.note:
            self.hear(now, sender, msgpack.decode(message.note, type=Note))
        self.settle(now)

    def hear(self, now: float, sender: str, note: Note) -> None:
        """Take what one has applied; an older word that was overtaken takes nothing back.

        One that starts anew has applied less for a while: it admits nothing before it has caught up.
        """
        before = self.told.get(sender)
        if sender not in self.agreement.progress or (before is not None and note.applied < before.applied):
            return
        self.told[sender] = Word(note.applied, note.refuses, note.why, note.keeps)
        if self.book.pending:
            self.conduct_at = now  # it may be the one that was waited for

    def submit(self, now: float, command: Command) -> None:
        """Have a command appended by who leads; it may get lost, and whoever wants it asks again."""
        self.agreement.propose(now, msgpack.encode(command))

    def ask(self, now: float) -> None:
        """Ask up to where it is agreed, where that has to be known."""
        if self.caught and not self.fence and not (self.agreement.barred and self.keeps):
            self.ask_at = now + RENEW
            return
        self.ask_at = now + (RENEW if self.caught else ASK)
        if len(self.asked) >= MOST_QUESTIONS:
            del self.asked[next(iter(self.asked))]
        self.token += 1
        self.asked[self.token] = now
        self.agreement.read(now, self.token)

    def settle(self, now: float) -> None:
        """Take up what came of questions, and open or close."""
        self.leads(now)
        reads, self.agreement.reads = self.agreement.reads, []
        for token, index in reads:
            at = self.asked.pop(token, None)
            if at is not None:
                self.proofs.append((at, index))
        applied = self.book.applied
        met = [at for at, index in self.proofs if index <= applied]
        if met:
            latest = max(met)
            self.proofs = [(at, index) for at, index in self.proofs if index > applied]
            if self.agreement.barred and self.keeps:
                self.agreement.trust()
                self.take_up()
            self.lease_end = max(self.lease_end, latest + LEASE)
            if not self.caught and (self.name in self.book.roster or self.woken):
                self.caught, self.woken = True, False
            elif self.name not in self.book.roster and now >= self.join_at:
                self.join_at = now + JOIN_AGAIN
                self.submit(now, Join(self.name))
        if self.woken and not self.caught and not self.fence and now - self.woke_at >= OPEN_AFTER:
            self.caught, self.woken = True, False

    def can_keep(self, now: float) -> None:
        """All that it holds is on a disk from now on; it may vote once it has asked how things stand."""
        self.keeps, self.ask_at = True, now

    # What was agreed on

    def take(self) -> Ready | None:
        """What is to be stored, sent and applied, in that order."""
        return self.agreement.take()

    def stored(self, now: float, ready: Ready) -> Snapshot | None:
        """All of it is on disk: apply what was agreed on. A snapshot to be stored, where it is time."""
        if ready.snapshot is not None:
            self.book.load(ready.snapshot.index, ready.snapshot.data)
        for index, entry in ready.apply:
            self.book.apply(index, entry.data if entry.kind == 1 else b"")
            if self.name not in self.book.roster and self.caught and not self.woken:
                self.caught = False  # somebody has taken it off the roster: it joins anew before it admits
        if ready.snapshot is not None or ready.apply:
            self.take_up()
            if self.book.pending:
                self.conduct_at = now
                self.agreement.tell()
        self.agreement.stored(now, ready)
        self.settle(now)
        if len(self.agreement.entries) > KEEP_LOG and self.book.applied == self.agreement.applied:
            return self.agreement.compact(self.book.applied, self.book.save())
        return None

    def take_up(self) -> None:
        """Act upon what the book says now, before the leader hears that it was applied."""
        rules = self.read_rules()
        if rules != self.rules:
            self.rules, self.changed = rules, True
        refuses, why = self.book.objection() or (0, "")
        keeps = self.keeps and not self.agreement.barred
        self.agreement.note = msgpack.encode(Note(self.book.applied, refuses, why[:500], keeps))

    def read_rules(self) -> Rules | None:
        """None where this release cannot read what is in force."""
        try:
            rules = read(self.book.text(self.book.force))
            v = self.book.versions.get(self.book.pending)
            if v is not None and v.phase == JOINT:
                rules = stricter(rules, read(v.text))
        except PolicyError:
            return None
        return rules

    # Where it leads

    def words(self) -> dict[str, Word]:
        own = self.book.objection() or (0, "")
        found = {self.name: Word(self.book.applied, *own, self.keeps)}
        return found | {name: word for name, word in self.told.items() if name in self.agreement.progress}

    def leads(self, now: float) -> bool:
        """Whether it leads; if anew, what it knew of others as a leader before counts no longer."""
        if self.led != (self.agreement.role is Role.LEADER):
            self.led = not self.led
            self.conduct_at = now
            if self.led:
                self.conductor.lead()
                self.told.clear()
        return self.led

    def conduct(self, now: float) -> None:
        self.look = []
        if not self.leads(now) or self.agreement.term_of(self.agreement.commit) != self.agreement.term:
            return
        waited = LEASE * DRIFT if self.fence else inf
        wants = self.conductor.conduct(now, self.book, self.words(), waited)
        for step in wants.steps:
            self.submit(now, step)
        self.look = wants.look
        if self.book.electorate:
            self.reform(now)
        if now >= self.invite_at:
            self.invite_at = now + INVITE
            for name in self.book.roster:
                if name != self.name:
                    self.agreement.invite(now, name)

    def reform(self, now: float) -> None:
        """Bring the voters a step nearer to those that staff named: who is to come first, then who is to go.

        One comes in once it keeps what it says and has applied what this process has; the leader goes last.
        """
        wanted, a, words = self.book.electorate, self.agreement, self.words()
        if not a.may_change():
            return
        come = [n for n in wanted if n not in a.voters]
        able = [n for n in come if (w := words.get(n)) and w.keeps and w.applied >= self.book.applied]
        go = sorted((n for n in a.voters if n not in wanted), key=lambda n: n == self.name)
        if able:
            a.change_voters(now, [*a.voters, able[0]])
        elif go and not come:
            a.change_voters(now, [n for n in a.voters if n != go[0]])

    def found_down(self, now: float, name: str, began: float) -> None:
        """A connection to a proxy's address, begun at a time, was refused: nobody listens there."""
        if began >= self.conductor.phase_began:
            self.conductor.found_down(now, name)

    def withdraw(self, now: float, number: int, who: str) -> None:
        self.submit(now, Step(number, WITHDRAWN, f"withdrawn by {who}"))

    def status(self, now: float) -> Status:
        a, book = self.agreement, self.book
        v = book.versions.get(book.pending)
        leads = a.role is Role.LEADER
        return Status(
            name=self.name,
            role=a.role.value,
            leader=a.leader,
            term=a.term,
            voters=a.voters,
            electorate=list(book.electorate),
            roster=list(book.roster),
            force=book.force,
            pending=book.pending,
            phase=v.phase if v is not None else FORCE,
            missing=list(self.conductor.missing) if leads and v is not None else [],
            behind={n: w.applied for n, w in self.words().items() if n in book.roster} if leads else {},
            agreed=a.commit,
            applied=book.applied,
            admits=not self.verdict(now),
            why=self.verdict(now),
            lease_left=max(0.0, self.lease_end - now) if self.fence else inf,
        )
