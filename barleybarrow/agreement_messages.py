"""What replicas of the agreement machine say to each other, and what one wants done: typed values, no logic.

Messages are msgpack arrays; fields are only ever added at their end, with a default.
"""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta, Struct

Number = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=0, max_length=64)]


class Kind:
    """What an entry holds."""

    NOTHING, DATA, VOTERS = range(3)


class Entry(Struct, array_like=True, frozen=True):
    term: Number
    kind: Annotated[int, Meta(ge=0, le=2)]
    data: bytes = b""


class Snapshot(Struct, array_like=True, frozen=True):
    """All that was applied up to an index, and who voted then."""

    index: Number
    term: Number
    voters: list[Name]
    data: bytes


class AskVote(Struct, array_like=True, frozen=True, tag=1):
    term: Number
    last: Number
    last_term: Number
    probe: bool  # whether it would: no term is raised, no vote is given
    transfer: bool = False  # its leader has asked it to stand: those who hear that leader vote as well


class Vote(Struct, array_like=True, frozen=True, tag=2):
    term: Number
    granted: bool
    probe: bool


class Append(Struct, array_like=True, frozen=True, tag=3):
    term: Number
    before: Number  # index of the entry before these
    before_term: Number
    entries: list[Entry]
    commit: Number
    round: Number  # the leader's count of its words, for reads


class Appended(Struct, array_like=True, frozen=True, tag=4):
    term: Number
    good: bool
    index: Number  # the last that agrees; where not good, where the leader might try
    round: Number
    note: bytes = b""  # what whoever drives the machine wants the leader to know
    counts: bool = True  # not of one that may have said more than it remembers


class Install(Struct, array_like=True, frozen=True, tag=5):
    term: Number
    snapshot: Snapshot
    round: Number


class Read(Struct, array_like=True, frozen=True, tag=6):
    """Up to where is it agreed? Asked of who is taken for the leader."""

    token: Number


class ReadUpTo(Struct, array_like=True, frozen=True, tag=7):
    token: Number
    index: Number


class Submit(Struct, array_like=True, frozen=True, tag=8):
    """Append this, leader; it may get lost, and come twice: what is in it must bear that."""

    data: bytes


class TimeoutNow(Struct, array_like=True, frozen=True, tag=9):
    """Stand at once: the leader of this term gives the lead away. Thesis, 3.10."""

    term: Number


Message = AskVote | Vote | Append | Appended | Install | Read | ReadUpTo | Submit | TimeoutNow


@dataclass(slots=True)
class Ready:
    """What is to be done, in this order: store, send, apply; then `stored` is called."""

    hard: tuple[int, str] | None = None  # term and vote
    snapshot: Snapshot | None = None  # takes the place of all before
    first: int = 0  # entries from this index on take the place of what is there
    entries: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    apply: list[tuple[int, Entry]] = field(default_factory=list)
    last: int = 0  # index up to which all is stored by then
    last_term: int = 0
