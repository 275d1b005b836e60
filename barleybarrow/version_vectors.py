"""A replicated key-value state: its contents, merging of entries, and deltas between replicas.

Pure data structure without I/O or clock. Each write is one event of one origin, identified by its dot
(origin, number); an entry names the dots of its key that its writer knew of and that it supersedes (dotted
version vectors: Preguiça and others, 2010). A replica's vector says which events of each origin it has
received; an event that is covered by the vector but not held was superseded (Bieniusa and others, "An
optimized conflict-free replicated set", 2012), so superseded entries do not reappear. A delta is what another
replica's vector does not cover (Almeida, Shoker, Baquero 2018).
"""

import hashlib
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from itertools import islice
from typing import Annotated

from msgspec import Meta, Struct, msgpack

RANGE_COUNT = 256  # number of key ranges, each with a digest of its own
MAX_ENTRIES = 20_000
MAX_STATE_BYTES = 16 * 1024 * 1024  # of keys and values
MAX_ORIGINS = 512  # limit of origins: incarnations of keepers that have written
MAX_TOMBSTONES = 5_000  # keys kept as tombstones for replicas that are behind; the oldest are pruned first
MAX_KEY_LENGTH, MAX_VALUE_BYTES = 160, 4096

Origin = Annotated[str, Meta(min_length=1, max_length=80)]
EventNumber = Annotated[int, Meta(ge=0, le=2**53)]
Vector = dict[Origin, EventNumber]
Dot = tuple[str, int]


class Entry(Struct, array_like=True, frozen=True, gc=False):
    """One write; without a value, a tombstone. `gc=False`: an entry cannot be part of a reference cycle."""

    key: Annotated[str, Meta(min_length=1, max_length=MAX_KEY_LENGTH)]
    origin: Origin
    number: Annotated[int, Meta(ge=1, le=2**53)]
    supersedes: Vector  # dots of this key that it supersedes: by origin, all numbers up to this one
    value: Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)] | None

    @property
    def dot(self) -> Dot:
        return self.origin, self.number

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        return len(self.key) + len(self.value or b"") + 32 * len(self.supersedes) + 64


class MergeResult(Enum):
    """The outcome of merging an entry."""

    APPLIED = "news"
    OLD = "old"  # already held, or superseded
    MISMATCH = "differs"  # the same dot is held with other contents: one of the two is corrupted
    FULL = "room"  # rejected: no room


def covers(vector: Mapping[str, int], dot: Dot) -> bool:
    return vector.get(dot[0], 0) >= dot[1]


def is_covered(vector: Mapping[str, int], other: Mapping[str, int]) -> bool:
    """Whether `other` covers every event that `vector` covers."""
    return all(other.get(origin, 0) >= number for origin, number in vector.items())


def merge_vector(vector: Vector, other: Mapping[str, int]) -> None:
    """Extend `vector` to cover what `other` covers as well."""
    for origin, number in other.items():
        if number > vector.get(origin, 0):
            vector[origin] = number


def digest_of(entry: Entry) -> int:
    return int.from_bytes(hashlib.blake2b(msgpack.encode(entry), digest_size=8).digest(), "big")


def range_of(key: str) -> int:
    """The index of the range to which a key belongs."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0]


class VersionedState:
    """One replica's copy of the state."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.slots: dict[str, tuple[Entry, ...]] = {}  # by key: concurrent entries
        self.vector: Vector = {}
        self.pruned: Vector = {}  # covers the discarded tombstones and what they superseded
        self.uncovered: dict[str, set[int]] = {}  # by origin: held events that the vector does not cover
        self.digests = [0] * RANGE_COUNT  # by range, of all entries but tombstones
        self.size = self.bytes = self.tombstone_count = 0
        self.changed_keys: dict[str, None] = {}  # since the driver last took them
        self.counts: Counter[str] = Counter()
        self.change_count = 0
        self.last_changes: dict[str, int] = {}  # by key: the number of its last change
        self.change_log: list[tuple[int, str]] = []  # in order; items of keys that changed again are stale
        self.range_keys: list[dict[str, None]] = [{} for _ in range(RANGE_COUNT)]
        self.tombstone_keys: dict[str, None] = {}  # keys that hold only tombstones, the oldest first

    # Contents

    def entries(self) -> Iterator[Entry]:
        for slot in self.slots.values():
            yield from slot

    @property
    def digest(self) -> int:
        """The digest of all entries but tombstones."""
        combined = 0
        for digest in self.digests:
            combined ^= digest
        return combined

    def is_gapless(self) -> bool:
        """Whether the vector covers all entries held; gapless replicas with equal vectors hold the same."""
        return not self.uncovered

    # Changes

    def set_slot(self, key: str, slot: Iterable[Entry]) -> None:
        """Replace the entries of a key."""
        slot, before, range_index = tuple(slot), self.slots.get(key, ()), range_of(key)
        for entry in before:
            if entry not in slot:
                self.account(entry, range_index, -1)
        for entry in slot:
            if entry not in before:
                self.account(entry, range_index, 1)
        if slot:
            self.slots[key] = slot
            self.range_keys[range_index][key] = None
            self.change_count += 1
            self.last_changes[key] = self.change_count
            self.change_log.append((self.change_count, key))
        elif before:
            del self.slots[key], self.last_changes[key], self.range_keys[range_index][key]
        self.changed_keys[key] = None
        self.tombstone_keys.pop(key, None)
        if slot and all(e.value is None for e in slot):
            self.tombstone_keys[key] = None
        if len(self.change_log) > 1000 + 2 * len(self.last_changes):
            self.change_log = [(n, k) for n, k in self.change_log if self.last_changes.get(k) == n]

    def account(self, entry: Entry, range_index: int, sign: int) -> None:
        """Update the totals and digests for an entry that is added (1) or removed (-1)."""
        self.size += sign
        self.bytes += sign * entry.size
        if entry.value is None:
            self.tombstone_count += sign
        else:
            self.digests[range_index] ^= digest_of(entry)
        if sign < 0 and entry.origin in self.uncovered:
            self.mark_covered(entry.origin, entry.number, False)
        elif sign > 0 and not covers(self.vector, entry.dot):
            self.uncovered.setdefault(entry.origin, set()).add(entry.number)

    def mark_covered(self, origin: str, number: int, all_up_to: bool) -> None:
        """Remove a number, or all numbers up to it, from those that the vector does not cover."""
        held = self.uncovered[origin]
        if not all_up_to:
            held.discard(number)
        elif max(held) <= number:
            held.clear()
        else:
            held.difference_update([n for n in held if n <= number])
        if not held:
            del self.uncovered[origin]

    def has_room(self, entry: Entry) -> bool:
        """Whether there is room for an entry; one that supersedes a held entry is always accepted."""
        held = self.slots.get(entry.key, ())
        if any(covers(entry.supersedes, e.dot) for e in held):
            return True
        known = entry.origin in self.vector or len(self.vector) < MAX_ORIGINS
        return known and self.size < self.max_entries and self.bytes + entry.size <= MAX_STATE_BYTES

    def merge(self, entry: Entry) -> MergeResult:
        """Merge an entry from another replica. Commutative and idempotent."""
        slot = self.slots.get(entry.key, ())
        for held in slot:
            if held.dot == entry.dot:
                return MergeResult.OLD if held == entry else MergeResult.MISMATCH
            if covers(held.supersedes, entry.dot):
                return MergeResult.OLD
        if covers(self.vector, entry.dot):
            return MergeResult.OLD
        if not self.has_room(entry):
            self.counts["room"] += 1
            return MergeResult.FULL
        self.set_slot(entry.key, [e for e in slot if not covers(entry.supersedes, e.dot)] + [entry])
        self.advance(entry.origin)
        return MergeResult.APPLIED

    def advance(self, origin: str) -> None:
        """Extend the vector by the held events of an origin that follow it without a gap."""
        number = self.vector.get(origin, 0)
        held = self.uncovered.get(origin, ())
        while number + 1 in held:
            number += 1
        if number > self.vector.get(origin, 0):
            self.vector[origin] = number
            self.mark_covered(origin, number, True)

    def write(self, origin: str, key: str, value: bytes | None) -> Entry | None:
        """Create a new write; None if there is no room, or nothing to remove.

        It supersedes the entries held and, if there are none, all discarded tombstones, which other replicas
        may still hold for this key.
        """
        slot = self.slots.get(key, ())
        if value is None and not slot:
            return None
        supersedes: Vector = dict(self.pruned) if not slot else {}
        for held in slot:
            merge_vector(supersedes, held.supersedes)
            merge_vector(supersedes, {held.origin: held.number})
        entry = Entry(key, origin, self.vector.get(origin, 0) + 1, supersedes, value)
        if not self.has_room(entry):
            self.counts["room"] += 1
            return None
        self.set_slot(key, [entry])
        self.advance(origin)
        return entry

    def advance_vector(self, vector: Mapping[str, int]) -> None:
        """Extend the vector after everything that `vector` covers has been received or was superseded."""
        merge_vector(self.vector, vector)
        for origin in [o for o in self.uncovered if o in vector]:
            self.mark_covered(origin, self.vector[origin], True)
            if origin in self.uncovered:
                self.advance(origin)

    def drop_absent(self, keys: Iterable[str], seen_dots: set[Dot], vector: Mapping[str, int]) -> int:
        """Drop entries that a full copy lacks although its vector covers them: they were superseded there."""
        dropped = 0
        for key in keys:
            slot = self.slots.get(key, ())
            kept = [e for e in slot if e.dot in seen_dots or not covers(vector, e.dot)]
            if len(kept) < len(slot):
                dropped += len(slot) - len(kept)
                self.set_slot(key, kept)
        return dropped

    def replace_range(self, index: int, entries: Iterable[Entry]) -> list[Entry]:
        """Replace all entries of a range; returns the entries that were dropped."""
        wanted: dict[str, list[Entry]] = {}
        for entry in entries:
            wanted.setdefault(entry.key, []).append(entry)
        replaced = []
        for key in {*self.range_keys[index], *wanted}:
            entries_now = wanted.get(key, [])
            replaced += [e for e in self.slots.get(key, ()) if e not in entries_now]
            self.set_slot(key, entries_now)
        return replaced

    # Deltas

    def changes_since(
        self, vector: Mapping[str, int], after: int, max_entries: int, max_bytes: int, max_scan: int
    ) -> tuple[list[Entry], int, bool]:
        """Entries that a vector does not cover, among the changes after `after`.

        Returns the entries, the number of the last change examined, and whether that was the last change.
        """
        entries, size = list[Entry](), 0
        first = bisect_right(self.change_log, after, key=lambda item: item[0])
        for position in range(first, len(self.change_log)):
            number, key = self.change_log[position]
            if self.last_changes.get(key) == number:
                for entry in self.slots[key]:
                    if not covers(vector, entry.dot):
                        entries.append(entry)
                        size += entry.size
            after = number
            if len(entries) >= max_entries or size >= max_bytes or position - first >= max_scan:
                return entries, after, position + 1 == len(self.change_log)
        return entries, max(after, self.change_count), True

    # Tombstones

    def prune(
        self, stable: Mapping[str, int], max_tombstones: int = MAX_TOMBSTONES, max_scan: int = 1000
    ) -> int:
        """Discard tombstones that `stable` covers, which all replicas hold, and the oldest beyond a limit.

        A tombstone is kept while an entry that it supersedes may still arrive: that would be taken for a new
        write.
        """
        excess, pruned_count = len(self.tombstone_keys) - max_tombstones, 0
        for key in list(islice(self.tombstone_keys, max_scan)):
            slot = self.slots[key]
            if not all(covers(self.vector, e.dot) and is_covered(e.supersedes, self.vector) for e in slot):
                continue
            if excess > pruned_count or all(covers(stable, e.dot) for e in slot):
                for e in slot:
                    merge_vector(self.pruned, e.supersedes)
                    merge_vector(self.pruned, {e.origin: e.number})
                pruned_count += len(slot)
                self.set_slot(key, [])
        return pruned_count

    # Loading

    def load(self, entries: Iterable[Entry], vector: Vector, pruned: Vector) -> None:
        self.vector, self.pruned = dict(vector), dict(pruned)
        by_key: dict[str, list[Entry]] = {}
        for entry in entries:
            by_key.setdefault(entry.key, []).append(entry)
        for key, slot in by_key.items():
            self.set_slot(key, slot)
        self.changed_keys.clear()
