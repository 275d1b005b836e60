"""Raft messages, log entries and the output of the state machine: typed values without logic.

Messages are msgpack arrays: a new field is only ever added at the end, with a default.
"""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta, Struct

Number = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=0, max_length=64)]


class Kind:
    """Type of a log entry's data."""

    NOTHING, DATA, VOTERS = range(3)


class Entry(Struct, array_like=True, frozen=True):
    term: Number
    kind: Annotated[int, Meta(ge=0, le=2)]
    data: bytes = b""


class Snapshot(Struct, array_like=True, frozen=True):
    """Application state as of an index, and the voters at that index."""

    index: Number
    term: Number
    voters: list[Name]
    data: bytes


class AskVote(Struct, array_like=True, frozen=True, tag=1):
    term: Number
    last: Number
    last_term: Number
    probe: bool  # pre-vote: no term is raised and no vote is cast
    transfer: bool = False  # leadership transfer: granted even by voters that still hear the leader


class Vote(Struct, array_like=True, frozen=True, tag=2):
    term: Number
    granted: bool
    probe: bool


class Append(Struct, array_like=True, frozen=True, tag=3):
    term: Number
    before: Number  # index of the entry before `entries`
    before_term: Number
    entries: list[Entry]
    commit: Number
    round: Number  # the leader's heartbeat round, which confirms reads


class Appended(Struct, array_like=True, frozen=True, tag=4):
    term: Number
    good: bool
    index: Number  # last matching index; after a mismatch, a hint where the leader might retry
    round: Number
    note: bytes = b""  # opaque data from the driver for the leader
    counts: bool = True  # False from a process whose store may have lost what it acknowledged


class Install(Struct, array_like=True, frozen=True, tag=5):
    term: Number
    snapshot: Snapshot
    round: Number


class Read(Struct, array_like=True, frozen=True, tag=6):
    """Asks the presumed leader for a confirmed commit index."""

    token: Number


class ReadUpTo(Struct, array_like=True, frozen=True, tag=7):
    token: Number
    index: Number


class Submit(Struct, array_like=True, frozen=True, tag=8):
    """A proposal forwarded to the leader. It may be lost or duplicated, so its data must be idempotent."""

    data: bytes


class TimeoutNow(Struct, array_like=True, frozen=True, tag=9):
    """Campaign at once: the leader of this term transfers leadership. Thesis, 3.10."""

    term: Number


Message = AskVote | Vote | Append | Appended | Install | Read | ReadUpTo | Submit | TimeoutNow


@dataclass(slots=True)
class Ready:
    """Work for the driver, in this order: persist, send, apply, then report the persistence back."""

    hard: tuple[int, str] | None = None  # term and vote
    snapshot: Snapshot | None = None  # replaces everything persisted before
    first: int = 0  # index of the first of `entries`, which replace the stored ones from there on
    entries: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    apply: list[tuple[int, Entry]] = field(default_factory=list)
    last: int = 0  # last index that is on disk once this has been persisted
    last_term: int = 0
