"""Deterministic subsetting: chooses the members that one of many proxies may connect to.

Proxies with the same list of members agree without communicating. This is the subsetting by rounds of Beyer
and others, Site Reliability Engineering, 2016, chapter 20, with jump consistent hashing (Lamping and Veach, A
Fast, Minimal Memory, Consistent Hash Algorithm, 2014) instead of shuffles, so that a change moves little.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b

JUMP_HASH_MULTIPLIER = (
    2862933555777941757  # multiplier of the generator in the paper on jump consistent hashing
)
UINT64_MASK = 2**64 - 1
ROUNDS_HYSTERESIS = 0.75  # in doublings of the number of rounds: rounding needs 0.5, more avoids flapping


def jump_hash(key: int, slot_count: int) -> int:
    """The slot, from 0 to `slot_count` - 1, of a 64-bit key: one slot more moves only its share."""
    slot, next_slot = -1, 0
    while next_slot < slot_count:
        slot = next_slot
        key = (key * JUMP_HASH_MULTIPLIER + 1) & UINT64_MASK
        next_slot = int((slot + 1) * (2**31 / ((key >> 33) + 1)))
    return slot


def member_hash(name: str, round_index: int) -> int:
    """A 64-bit hash of a member's name and a round; the same on every machine and in every run."""
    return int.from_bytes(blake2b(b"%d %s" % (round_index, name.encode()), digest_size=8).digest(), "big")


class Subset:
    """The members that one proxy sees: about `size` of any list, or all of a shorter list.

    Proxies are assigned to rounds by their index, and each proxy of a round has one of its slots. Each member
    belongs to one slot of each round, so a full round gives every member one proxy. The number of rounds is a
    power of two and is kept until it is off by more than `ROUNDS_HYSTERESIS`, as changing it moves nearly all
    connections.
    """

    def __init__(self, size: int, index: int, proxies: int) -> None:
        """`size`: target number of members, at least 1; `index`: of this proxy, from 0 to `proxies` - 1."""
        if size < 1 or not 0 <= index < proxies:
            raise ValueError(
                "the size of a subset must be at least 1, and its index below the number of proxies"
            )
        self.size, self.index, self.proxies = size, index, proxies
        self.rounds = 0  # unknown before the first list
        self.membership: dict[str, bool] = {}  # by member of the last list, for `position`
        self.position = (0, 0, 0)

    def update_rounds(self, members: int) -> int:
        """The number of rounds for a list of `members` members: how many proxies see each of them."""
        log2_rounds = math.log2(max(1.0, self.proxies * self.size / max(1, members)))
        if not self.rounds or abs(log2_rounds - math.log2(self.rounds)) > ROUNDS_HYSTERESIS:
            self.rounds = min(2 ** round(log2_rounds), self.proxies)
        return self.rounds

    def choose(self, names: Iterable[str]) -> set[str]:
        """The members of a list that this proxy sees."""
        names = set(names)
        rounds = self.update_rounds(len(names))
        slot_count = math.ceil(self.proxies / rounds)
        slot, round_index = divmod(self.index, rounds)
        known = self.membership if self.position == (slot_count, slot, round_index) else {}
        self.position = slot_count, slot, round_index
        self.membership = {
            name: known[name]
            if name in known
            else jump_hash(member_hash(name, round_index), slot_count) == slot
            for name in names
        }
        return {name for name, included in self.membership.items() if included}
