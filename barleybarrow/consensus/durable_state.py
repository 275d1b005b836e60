"""On-disk format of a replica of the configuration shard: an image, and records appended to it."""

from dataclasses import dataclass, field

from msgspec import DecodeError, Struct, msgpack

from barleybarrow.agreement import RaftNode
from barleybarrow.agreement_messages import Entry, Ready, Snapshot

FORMAT_VERSION = 1


class StoredImage(Struct, array_like=True):
    """Full persistent state of a replica. If quarantined, earlier promises may be missing from it."""

    format: int
    term: int
    vote: str
    quarantined: bool
    snapshot: Snapshot
    entries: list[Entry]


class StoredRecord(Struct, array_like=True):
    """A change: the new term and vote, and entries that replace the log from `first_index` on."""

    term: int
    vote: str
    first_index: int
    entries: list[Entry]


@dataclass(slots=True)
class DurableState:
    """The persistent state after loading the image and its records."""

    term: int = 0
    vote: str = ""
    quarantined: bool = False
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, [], b""))
    entries: list[Entry] = field(default_factory=list)


class DurableStateError(Exception):
    """The stored bytes are corrupt, or in the format of another release."""


def encode_image(raft: RaftNode) -> bytes:
    """Encode the full Raft state."""
    state = raft
    return msgpack.encode(
        StoredImage(FORMAT_VERSION, state.term, state.vote, state.quarantined, state.snapshot, state.entries)
    )


def encode_record(raft: RaftNode, ready: Ready) -> bytes:
    """Encode the hard state and entries of a `Ready` that has no snapshot."""
    term, vote = ready.hard_state or (raft.term, raft.vote)
    return msgpack.encode(StoredRecord(term, vote, ready.first_index, ready.entries))


def decode_state(image: bytes, records: list[bytes]) -> DurableState:
    """Decode an image and the records after it. Raises DurableStateError."""
    try:
        stored = msgpack.decode(image, type=StoredImage)
        if stored.format != FORMAT_VERSION:
            raise DurableStateError(f"format {stored.format} is not {FORMAT_VERSION}")
        state = DurableState(stored.term, stored.vote, stored.quarantined, stored.snapshot, stored.entries)
        for record in records:
            apply_record(state, msgpack.decode(record, type=StoredRecord))
    except DecodeError as error:
        raise DurableStateError(str(error)) from error
    return state


def apply_record(state: DurableState, record: StoredRecord) -> None:
    """Apply one record. Raises DurableStateError if entries before it are missing."""
    state.term, state.vote = record.term, record.vote
    if not record.entries:
        return
    retained = record.first_index - state.snapshot.index - 1
    if not 0 <= retained <= len(state.entries):
        raise DurableStateError(
            f"log gap: record at index {record.first_index} after {len(state.entries)} entries"
        )
    state.entries[retained:] = record.entries
