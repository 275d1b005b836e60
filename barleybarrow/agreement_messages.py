"""Raft messages, log entries and the output of the state machine: typed values without logic.

Messages are msgpack arrays: a new field is only ever added at the end, with a default.
"""

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta, Struct

Unsigned = Annotated[int, Meta(ge=0, le=2**53)]
NodeName = Annotated[str, Meta(min_length=0, max_length=64)]


class EntryKind:
    """Type of a log entry's data."""

    NOOP, DATA, VOTERS = range(3)


class Entry(Struct, array_like=True, frozen=True):
    term: Unsigned
    kind: Annotated[int, Meta(ge=0, le=2)]
    data: bytes = b""


class Snapshot(Struct, array_like=True, frozen=True):
    """Application state as of an index, and the voters at that index."""

    index: Unsigned
    term: Unsigned
    voters: list[NodeName]
    data: bytes


class RequestVote(Struct, array_like=True, frozen=True, tag=1):
    term: Unsigned
    last_index: Unsigned
    last_term: Unsigned
    pre_vote: bool  # pre-vote: no term is raised and no vote is cast
    leadership_transfer: bool = (
        False  # leadership transfer: granted even by voters that still hear the leader
    )


class VoteResponse(Struct, array_like=True, frozen=True, tag=2):
    term: Unsigned
    granted: bool
    pre_vote: bool


class AppendEntries(Struct, array_like=True, frozen=True, tag=3):
    term: Unsigned
    prev_index: Unsigned  # index of the entry before `entries`
    prev_term: Unsigned
    entries: list[Entry]
    commit_index: Unsigned
    round: Unsigned  # the leader's heartbeat round, which confirms reads


class AppendResponse(Struct, array_like=True, frozen=True, tag=4):
    term: Unsigned
    success: bool
    index: Unsigned  # last matching index; after a mismatch, a hint where the leader might retry
    round: Unsigned
    note: bytes = b""  # opaque data from the driver for the leader
    counts_for_commit: bool = True  # False from a process whose store may have lost what it acknowledged


class InstallSnapshot(Struct, array_like=True, frozen=True, tag=5):
    term: Unsigned
    snapshot: Snapshot
    round: Unsigned


class ReadIndexRequest(Struct, array_like=True, frozen=True, tag=6):
    """Asks the presumed leader for a confirmed commit index."""

    token: Unsigned


class ReadIndexResponse(Struct, array_like=True, frozen=True, tag=7):
    token: Unsigned
    index: Unsigned


class Proposal(Struct, array_like=True, frozen=True, tag=8):
    """A proposal forwarded to the leader. It may be lost or duplicated, so its data must be idempotent."""

    data: bytes


class TimeoutNow(Struct, array_like=True, frozen=True, tag=9):
    """Campaign at once: the leader of this term transfers leadership. Thesis, 3.10."""

    term: Unsigned


Message = (
    RequestVote
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | InstallSnapshot
    | ReadIndexRequest
    | ReadIndexResponse
    | Proposal
    | TimeoutNow
)


@dataclass(slots=True)
class Ready:
    """Work for the driver, in this order: persist, send, apply, then report the persistence back."""

    hard_state: tuple[int, str] | None = None  # term and vote
    snapshot: Snapshot | None = None  # replaces everything persisted before
    first_index: int = 0  # index of the first of `entries`, which replace the stored ones from there on
    entries: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    committed_entries: list[tuple[int, Entry]] = field(default_factory=list)
    last_index: int = 0  # last index that is on disk once this has been persisted
    last_term: int = 0
