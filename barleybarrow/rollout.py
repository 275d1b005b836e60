"""How a change of policy takes hold: what is agreed on, step by step, and who brings it from step to step.

`Book` is what the log of `agreement` makes of itself, the same on all who have applied as much.
`Conductor` runs where the leader is: it never decides but by appending a step, and none before all of the
roster have taken the one before, or are known to be down since.

| phase | rules in use | next |
| --- | --- | --- |
| PROPOSED | the old | all have checked it: JOINT; one refuses it, it is withdrawn, or time is up: WITHDRAWN |
| JOINT | the stricter of old and new | all are in it: FORCE; it is withdrawn, or time is up: WITHDRAWN |
| FORCE | the new, for good until another is in force | - |
| WITHDRAWN | the old | - |
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from typing import Annotated

from msgspec import Meta, Struct, msgpack

from barleybarrow.policy import LONGEST, PolicyError, Rules, read, stricter

MOST_KEPT = 200  # versions whose text is kept; the one in force and the pending one always are
MOST_ROSTER = 1024
MOST_VOTERS = 7
ASK_AGAIN = 500.0  # milliseconds between two appendings of the same step, while it is not agreed on yet
PROOF = 500.0  # milliseconds of silence until it is looked whether one is down
CHECKED = 500.0  # until one that is silent is no longer asked whether it objects, where leases hold it back

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
PROPOSED, JOINT, FORCE, WITHDRAWN = "proposed", "joint", "in force", "withdrawn"


class Propose(Struct, array_like=True, frozen=True, tag=1):
    """`id` is the proposer's own: proposing it again does it once. `base` is what it was written against."""

    id: Annotated[str, Meta(min_length=1, max_length=64)]
    who: Annotated[str, Meta(max_length=64)]
    why: Annotated[str, Meta(max_length=500)]
    at: float  # Unix seconds on the proposer's clock: shown, and compared with nothing
    text: Annotated[str, Meta(max_length=LONGEST)]


class Step(Struct, array_like=True, frozen=True, tag=2):
    number: Number
    phase: str
    why: Annotated[str, Meta(max_length=500)] = ""


class Join(Struct, array_like=True, frozen=True, tag=3):
    """One more proxy whose taking up is waited for."""

    name: Name


class Drop(Struct, array_like=True, frozen=True, tag=4):
    name: Name
    who: Annotated[str, Meta(max_length=64)]


class Electorate(Struct, array_like=True, frozen=True, tag=5):
    """Who is to vote; whoever leads brings it about, one at a time."""

    names: Annotated[list[Name], Meta(min_length=1, max_length=MOST_VOTERS)]
    who: Annotated[str, Meta(max_length=64)]


Command = Propose | Step | Join | Drop | Electorate


class Version(Struct):
    number: int
    id: str
    who: str
    why: str
    at: float
    text: str
    phase: str
    ended: str = ""  # why it was withdrawn
    proposed_at: int = 0  # index in the log
    joint_at: int = 0


class Held(Struct):
    """A book as it is kept in a snapshot."""

    versions: list[Version]
    roster: list[str]
    force: int
    pending: int
    electorate: list[str] = []


class Book:
    """What was agreed on so far."""

    def __init__(self) -> None:
        self.versions: dict[int, Version] = {}
        self.by_id: dict[str, int] = {}
        self.roster: dict[str, None] = {}
        self.force = self.pending = 0  # numbers; 0 is what the operators' files say
        self.electorate: list[str] = []  # who is to vote by staff's last word; empty where there was none
        self.applied = 0
        self.refused = 0  # commands that came too late, or twice

    # From the log

    def apply(self, index: int, data: bytes) -> None:
        """Take the next entry; one that cannot be read, or no longer fits, changes nothing on anybody."""
        self.applied = index
        if not data:
            return
        try:
            command = msgpack.decode(data, type=Command)
        except ValueError:
            self.refused += 1
            return
        if isinstance(command, Propose):
            self.proposed(index, command)
        elif isinstance(command, Step):
            self.step(index, command)
        elif isinstance(command, Join):
            if command.name in self.roster or len(self.roster) < MOST_ROSTER:
                self.roster[command.name] = None
            else:
                self.refused += 1
        elif isinstance(command, Electorate):
            if len(set(command.names)) == len(command.names) and all(n in self.roster for n in command.names):
                self.electorate = list(command.names)
            else:
                self.refused += 1
        else:
            self.roster.pop(command.name, None)

    def proposed(self, index: int, p: Propose) -> None:
        if p.id in self.by_id:
            return
        number = max(self.versions, default=0) + 1
        v = Version(number, p.id, p.who, p.why, p.at, p.text, PROPOSED, proposed_at=index)
        if self.pending:
            v.phase, v.ended = WITHDRAWN, f"version {self.pending} was on its way"
        else:
            self.pending = number
        self.versions[number] = v
        self.by_id[p.id] = number
        for old in sorted(self.versions)[:-MOST_KEPT]:
            if old not in (self.force, self.pending):
                self.by_id.pop(self.versions.pop(old).id, None)

    def step(self, index: int, s: Step) -> None:
        v = self.versions.get(s.number)
        if v is None or s.number != self.pending:
            self.refused += 1
        elif s.phase == JOINT and v.phase == PROPOSED:
            v.phase, v.joint_at = JOINT, index
        elif s.phase == FORCE and v.phase == JOINT:
            v.phase, self.force, self.pending = FORCE, v.number, 0
        elif s.phase == WITHDRAWN and v.phase in (PROPOSED, JOINT):
            v.phase, v.ended, self.pending = WITHDRAWN, s.why, 0
        else:
            self.refused += 1

    # What follows from it

    def text(self, number: int) -> str:
        return self.versions[number].text if number in self.versions else ""

    def rules(self) -> Rules:
        """What a proxy that has applied so much acts upon."""
        old = rules_of(self.text(self.force))
        v = self.versions.get(self.pending)
        return stricter(old, rules_of(v.text)) if v is not None and v.phase == JOINT else old

    def objection(self) -> tuple[int, str] | None:
        """Why this process could not act upon what is proposed."""
        v = self.versions.get(self.pending)
        if v is None or v.phase != PROPOSED:
            return None
        try:
            read(v.text)
        except PolicyError as error:
            return v.number, str(error)
        return None

    def save(self) -> bytes:
        versions = list(self.versions.values())
        held = Held(versions, list(self.roster), self.force, self.pending, self.electorate)
        return msgpack.encode(held)

    def load(self, index: int, data: bytes) -> None:
        held = msgpack.decode(data, type=Held) if data else Held([], [], 0, 0)
        self.versions = {v.number: v for v in held.versions}
        self.by_id = {v.id: v.number for v in held.versions}
        self.roster = dict.fromkeys(held.roster)
        self.force, self.pending, self.applied = held.force, held.pending, index
        self.electorate = held.electorate


def rules_of(text: str) -> Rules:
    """Of a document that this process could read; else it could not have been agreed to by it."""
    try:
        return read(text)
    except PolicyError:
        return Rules()


@dataclass(frozen=True)
class Word:
    """What one proxy has said of itself last: how far it has applied, and what it objects to."""

    applied: int
    refuses: int = 0
    why: str = ""
    keeps: bool = False  # whether what it says is on a disk, and it may vote


@dataclass(frozen=True)
class Wants:
    """What the conductor wants done: steps to append, and whom to look at, whether it is down."""

    steps: list[Step]
    look: list[str]


class Conductor:
    """Brings the pending version to its end, while its process leads. Times are on its own clock."""

    def __init__(self, within: float) -> None:
        self.within = within  # milliseconds until what cannot take hold is withdrawn
        self.number = 0
        self.phase = ""
        self.began = self.phase_began = self.stepped_at = 0.0
        self.down: dict[str, float] = {}  # when each was found to be down, last
        self.missing: list[str] = []

    def lead(self) -> None:
        """This process leads from now on: what it knew of others as a leader before counts no longer."""
        self.number, self.phase = 0, ""
        self.down.clear()

    def found_down(self, now: float, name: str) -> None:
        """Its address refused a connection that was begun in this phase: whoever starts there asks first."""
        self.down[name] = now

    def conduct(self, now: float, book: Book, words: Mapping[str, Word], waited: float) -> Wants:
        """What is to be done; called often.

        `waited` is how long after a phase began here nobody who is silent can hold a lease from before it.
        """
        v = book.versions.get(book.pending)
        if v is None:
            self.number, self.missing = 0, []
            return Wants([], [])
        if v.number != self.number:
            self.number, self.began, self.phase = v.number, now, ""
        if v.phase != self.phase:
            self.phase, self.phase_began, self.stepped_at = v.phase, now, -inf
            self.down.clear()  # one that was down before may have started before this was agreed on
        index = v.proposed_at if v.phase == PROPOSED else v.joint_at
        self.missing = [
            name for name in book.roster if words.get(name, Word(0)).applied < index and name not in self.down
        ]
        refuses = [(name, w) for name, w in words.items() if w.refuses == v.number and name in book.roster]
        patience = min(waited, CHECKED) if v.phase == PROPOSED and waited < inf else waited
        step = None
        if refuses and v.phase == PROPOSED:
            name, w = min(refuses, key=lambda item: item[0])
            step = Step(v.number, WITHDRAWN, f"{name}: {w.why}"[:500])
        elif not self.missing or now - self.phase_began >= patience:
            step = Step(v.number, JOINT if v.phase == PROPOSED else FORCE)
        elif now - self.began >= self.within:
            step = Step(v.number, WITHDRAWN, ("not taken up in time by " + " ".join(self.missing))[:500])
        look = self.missing if now - self.phase_began >= PROOF else []
        if step is None or now - self.stepped_at < ASK_AGAIN:
            return Wants([], look)
        self.stepped_at = now
        return Wants([step], look)
