"""What a replica of the configuration shard keeps on its disk, as bytes: one image, and records that
follow it.
"""

from dataclasses import dataclass, field

from msgspec import DecodeError, Struct, msgpack

from barleybarrow.agreement import Agreement
from barleybarrow.agreement_messages import Entry, Ready, Snapshot

FORMAT = 1


class StoredImage(Struct, array_like=True):
    """All that a replica must not forget. `barred`: it may have made promises that this store does not
    know.
    """

    format: int
    term: int
    vote: str
    barred: bool
    snapshot: Snapshot
    entries: list[Entry]


class StoredRecord(Struct, array_like=True):
    """A change: term and vote from now on, and entries that stand from an index on in the place of others."""

    term: int
    vote: str
    first: int
    entries: list[Entry]


@dataclass(slots=True)
class DurableState:
    """What was read back."""

    term: int = 0
    vote: str = ""
    barred: bool = False
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, [], b""))
    entries: list[Entry] = field(default_factory=list)


class DurableStateError(Exception):
    """The stored bytes are not of this format: another release wrote them, or they are damaged."""


def encode_image(agreement: Agreement) -> bytes:
    """All that an agreement holds."""
    a = agreement
    return msgpack.encode(StoredImage(FORMAT, a.term, a.vote, a.barred, a.snapshot, a.entries))


def encode_record(agreement: Agreement, ready: Ready) -> bytes:
    """What is to be kept of a `Ready` without a snapshot."""
    term, vote = ready.hard or (agreement.term, agreement.vote)
    return msgpack.encode(StoredRecord(term, vote, ready.first, ready.entries))


def decode_state(image: bytes, records: list[bytes]) -> DurableState:
    """The state that an image and the records behind it make. Raises DurableStateError."""
    try:
        stored = msgpack.decode(image, type=StoredImage)
        if stored.format != FORMAT:
            raise DurableStateError(f"format {stored.format} is not {FORMAT}")
        state = DurableState(stored.term, stored.vote, stored.barred, stored.snapshot, stored.entries)
        for record in records:
            add_record(state, msgpack.decode(record, type=StoredRecord))
    except DecodeError as error:
        raise DurableStateError(str(error)) from error
    return state


def add_record(state: DurableState, record: StoredRecord) -> None:
    """Take one record in. Raises DurableStateError where entries before it are missing."""
    state.term, state.vote = record.term, record.vote
    if not record.entries:
        return
    kept = record.first - state.snapshot.index - 1
    if not 0 <= kept <= len(state.entries):
        raise DurableStateError(f"entries from {record.first} on don't join the {len(state.entries)} before")
    state.entries[kept:] = record.entries
