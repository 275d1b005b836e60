"""A keyed state of which several hold copies: what each holds, how two merge, what one lacks of another.

Values only: no I/O, no clock. Each write is one event of one origin, its dot (origin, number); an entry names
the dots of its key that it knew of and supersedes (dotted version vectors: Preguiça and others, 2010). A copy
says how far it has heard of each origin (its vector); what that covers and the copy does not hold is gone
(Bieniusa and others, "An optimized conflict-free replicated set", 2012), so that nothing rises from the dead.
Deltas are what a vector does not cover (Almeida, Shoker, Baquero 2018).
"""

import hashlib
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from itertools import islice
from typing import Annotated

from msgspec import Meta, Struct, msgpack

RANGES = 256  # of keys, each with a print of its own
MOST_ENTRIES = 20_000
MOST_BYTES = 16 * 1024 * 1024  # of keys and values
MOST_ORIGINS = 512  # lives of keepers that have written
MOST_REMOVED = 5_000  # removals that are kept for who is behind; beyond, the oldest go first
LONGEST_KEY, LONGEST_VALUE = 160, 4096

Origin = Annotated[str, Meta(min_length=1, max_length=80)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
Vector = dict[Origin, Number]
Dot = tuple[str, int]


class Entry(Struct, array_like=True, frozen=True, gc=False):
    """One write. Without a value it is a removal. It holds no cycles: the collector need not look at it."""

    key: Annotated[str, Meta(min_length=1, max_length=LONGEST_KEY)]
    origin: Origin
    number: Annotated[int, Meta(ge=1, le=2**53)]
    over: Vector  # dots of this key that it supersedes, all of an origin up to a number
    value: Annotated[bytes, Meta(max_length=LONGEST_VALUE)] | None

    @property
    def dot(self) -> Dot:
        return self.origin, self.number

    @property
    def size(self) -> int:
        return len(self.key) + len(self.value or b"") + 32 * len(self.over) + 64


class Taken(Enum):
    """What became of an entry that came."""

    NEWS = "news"
    OLD = "old"  # it is held, or superseded
    DIFFERS = "differs"  # the same dot is held with something else: one of the two is damaged
    ROOM = "room"


def covers(vector: Mapping[str, int], dot: Dot) -> bool:
    return vector.get(dot[0], 0) >= dot[1]


def within(one: Mapping[str, int], other: Mapping[str, int]) -> bool:
    """Whether all that one vector covers is covered by the other."""
    return all(other.get(origin, 0) >= number for origin, number in one.items())


def join(one: Vector, other: Mapping[str, int]) -> None:
    """Have the first cover what either does."""
    for origin, number in other.items():
        if number > one.get(origin, 0):
            one[origin] = number


def print_of(entry: Entry) -> int:
    return int.from_bytes(hashlib.blake2b(msgpack.encode(entry), digest_size=8).digest(), "big")


def range_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0]


class State:
    """One copy."""

    def __init__(self, room: int = MOST_ENTRIES) -> None:
        self.room = room
        self.slots: dict[str, tuple[Entry, ...]] = {}  # by key: entries that know nothing of each other
        self.vector: Vector = {}
        self.pruned: Vector = {}  # removals that are no longer held, and what they had superseded
        self.loose: dict[str, set[int]] = {}  # by origin: held, and not covered by the vector yet
        self.prints = [0] * RANGES  # of what is held but for removals
        self.size = self.bytes = self.removed = 0
        self.changed: dict[str, None] = {}  # keys, since whoever stores or acts upon them looked
        self.counts: Counter[str] = Counter()
        self.moved = 0  # changes so far
        self.places: dict[str, int] = {}  # by key: the number of its last change
        self.feed: list[tuple[int, str]] = []  # changes in order; those of keys that changed again are stale
        self.ranges: list[dict[str, None]] = [{} for _ in range(RANGES)]  # keys of each
        self.emptied: dict[str, None] = {}  # keys that hold removals alone, the oldest first

    # What is held

    def entries(self) -> Iterator[Entry]:
        for slot in self.slots.values():
            yield from slot

    @property
    def print(self) -> int:
        found = 0
        for one in self.prints:
            found ^= one
        return found

    def settled(self) -> bool:
        """Whether all that is held is covered by the vector: then two of one vector hold the same."""
        return not self.loose

    # Changes

    def put(self, key: str, slot: Iterable[Entry]) -> None:
        """Have a key hold just these."""
        slot, before, at = tuple(slot), self.slots.get(key, ()), range_of(key)
        for entry in before:
            if entry not in slot:
                self.count(entry, at, -1)
        for entry in slot:
            if entry not in before:
                self.count(entry, at, 1)
        if slot:
            self.slots[key] = slot
            self.ranges[at][key] = None
            self.moved += 1
            self.places[key] = self.moved
            self.feed.append((self.moved, key))
        elif before:
            del self.slots[key], self.places[key], self.ranges[at][key]
        self.changed[key] = None
        self.emptied.pop(key, None)
        if slot and all(e.value is None for e in slot):
            self.emptied[key] = None
        if len(self.feed) > 1000 + 2 * len(self.places):
            self.feed = [(n, k) for n, k in self.feed if self.places.get(k) == n]

    def count(self, entry: Entry, at: int, sign: int) -> None:
        self.size += sign
        self.bytes += sign * entry.size
        if entry.value is None:
            self.removed += sign
        else:
            self.prints[at] ^= print_of(entry)
        if sign < 0 and entry.origin in self.loose:
            self.loosened(entry.origin, entry.number, False)
        elif sign > 0 and not covers(self.vector, entry.dot):
            self.loose.setdefault(entry.origin, set()).add(entry.number)

    def loosened(self, origin: str, number: int, all_up_to: bool) -> None:
        """Take a number, or all up to it, from those that the vector does not cover."""
        held = self.loose[origin]
        if not all_up_to:
            held.discard(number)
        elif max(held) <= number:
            held.clear()
        else:
            held.difference_update([n for n in held if n <= number])
        if not held:
            del self.loose[origin]

    def fits(self, entry: Entry) -> bool:
        """Whether there is room. What supersedes as much as it brings always has it."""
        held = self.slots.get(entry.key, ())
        if any(covers(entry.over, e.dot) for e in held):
            return True
        known = entry.origin in self.vector or len(self.vector) < MOST_ORIGINS
        return known and self.size < self.room and self.bytes + entry.size <= MOST_BYTES

    def take(self, entry: Entry) -> Taken:
        """Merge one entry that came from elsewhere. Order and repetition make no difference."""
        slot = self.slots.get(entry.key, ())
        for held in slot:
            if held.dot == entry.dot:
                return Taken.OLD if held == entry else Taken.DIFFERS
            if covers(held.over, entry.dot):
                return Taken.OLD
        if covers(self.vector, entry.dot):
            return Taken.OLD
        if not self.fits(entry):
            self.counts["room"] += 1
            return Taken.ROOM
        self.put(entry.key, [e for e in slot if not covers(entry.over, e.dot)] + [entry])
        self.advance(entry.origin)
        return Taken.NEWS

    def advance(self, origin: str) -> None:
        """What is held of an origin without a gap is covered."""
        number = self.vector.get(origin, 0)
        held = self.loose.get(origin, ())
        while number + 1 in held:
            number += 1
        if number > self.vector.get(origin, 0):
            self.vector[origin] = number
            self.loosened(origin, number, True)

    def write(self, origin: str, key: str, value: bytes | None) -> Entry | None:
        """A new write of this copy's own; None where there is no room, or nothing to be removed.

        It supersedes what is held, and removals of its key that are forgotten here and may be held elsewhere.
        """
        slot = self.slots.get(key, ())
        if value is None and not slot:
            return None
        over: Vector = dict(self.pruned) if not slot else {}
        for held in slot:
            join(over, held.over)
            join(over, {held.origin: held.number})
        entry = Entry(key, origin, self.vector.get(origin, 0) + 1, over, value)
        if not self.fits(entry):
            self.counts["room"] += 1
            return None
        self.put(key, [entry])
        self.advance(origin)
        return entry

    def heard(self, vector: Mapping[str, int]) -> None:
        """All that a vector covers and is not gone has come."""
        join(self.vector, vector)
        for origin in [o for o in self.loose if o in vector]:
            self.loosened(origin, self.vector[origin], True)
            if origin in self.loose:
                self.advance(origin)

    def only(self, keys: Iterable[str], seen: set[Dot], vector: Mapping[str, int]) -> int:
        """Drop of some keys what a whole copy lacked though its vector covers it: there it was superseded."""
        dropped = 0
        for key in keys:
            slot = self.slots.get(key, ())
            kept = [e for e in slot if e.dot in seen or not covers(vector, e.dot)]
            if len(kept) < len(slot):
                dropped += len(slot) - len(kept)
                self.put(key, kept)
        return dropped

    def replace(self, number: int, entries: Iterable[Entry]) -> list[Entry]:
        """Have a range hold just these; what was held and is not among them comes back."""
        wanted: dict[str, list[Entry]] = {}
        for entry in entries:
            wanted.setdefault(entry.key, []).append(entry)
        aside = []
        for key in {*self.ranges[number], *wanted}:
            now = wanted.get(key, [])
            aside += [e for e in self.slots.get(key, ()) if e not in now]
            self.put(key, now)
        return aside

    # What another lacks

    def since(
        self, vector: Mapping[str, int], after: int, most: int, most_bytes: int, looks: int
    ) -> tuple[list[Entry], int, bool]:
        """Entries that a vector does not cover, of the changes after one; up to which; whether to the end."""
        found, size = list[Entry](), 0
        first = bisect_right(self.feed, after, key=lambda item: item[0])
        for place in range(first, len(self.feed)):
            number, key = self.feed[place]
            if self.places.get(key) == number:
                for entry in self.slots[key]:
                    if not covers(vector, entry.dot):
                        found.append(entry)
                        size += entry.size
            after = number
            if len(found) >= most or size >= most_bytes or place - first >= looks:
                return found, after, place + 1 == len(self.feed)
        return found, max(after, self.moved), True

    # Removals

    def prune(self, stable: Mapping[str, int], most: int = MOST_REMOVED, looks: int = 1000) -> int:
        """Forget removals that a vector covers, as all have them, and the oldest beyond so many.

        One is kept while something that it supersedes may still come and would be taken for news.
        """
        beyond, forgotten = len(self.emptied) - most, 0
        for key in list(islice(self.emptied, looks)):
            slot = self.slots[key]
            if not all(covers(self.vector, e.dot) and within(e.over, self.vector) for e in slot):
                continue
            if beyond > forgotten or all(covers(stable, e.dot) for e in slot):
                for e in slot:
                    join(self.pruned, e.over)
                    join(self.pruned, {e.origin: e.number})
                forgotten += len(slot)
                self.put(key, [])
        return forgotten

    # As it is stored

    def load(self, entries: Iterable[Entry], vector: Vector, pruned: Vector) -> None:
        self.vector, self.pruned = dict(vector), dict(pruned)
        by_key: dict[str, list[Entry]] = {}
        for entry in entries:
            by_key.setdefault(entry.key, []).append(entry)
        for key, slot in by_key.items():
            self.put(key, slot)
        self.changed.clear()
