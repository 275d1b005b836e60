"""Which members one of many proxies sees, where not every proxy may hold a connection to every member.

Proxies that were told the same list agree without a word. This is deterministic subsetting in lots (Beyer and
others, Site Reliability Engineering, 2016, chapter 20), its shuffles replaced by jump consistent hashing
(Lamping and Veach, A Fast, Minimal Memory, Consistent Hash Algorithm, 2014), so that a change moves little.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b

STEP = 2862933555777941757  # multiplier of the generator in the paper on jump consistent hashing
MASK = 2**64 - 1
STICK = 0.75  # doublings by which the number of lots may be off: half is the least, and lists come and go


def jump(key: int, slots: int) -> int:
    """The slot, from 0 to `slots` - 1, of a 64-bit key: one slot more moves its share of the keys only."""
    slot, following = -1, 0
    while following < slots:
        slot = following
        key = (key * STEP + 1) & MASK
        following = int((slot + 1) * (2**31 / ((key >> 33) + 1)))
    return slot


def digest(name: str, lot: int) -> int:
    """64 bits of a member's name and a lot; the same on every machine and in every run."""
    return int.from_bytes(blake2b(b"%d %s" % (lot, name.encode()), digest_size=8).digest(), "big")


class Subset:
    """The members that one proxy sees: about `size` of any list, or all of a shorter one.

    Proxies are dealt into lots by their number, and each proxy of a lot has one of its slots. Each member
    belongs to one slot of each lot, so a full lot gives every member one connection. The number of lots is a
    power of two and kept until it is off by more than `STICK`: with it nearly all connections move.
    """

    def __init__(self, size: int, index: int, proxies: int) -> None:
        """`size`: members wanted, from 1; `index`: this proxy's number, from 0 to `proxies` - 1."""
        if size < 1 or not 0 <= index < proxies:
            raise ValueError("a subset needs a size from 1 on and a number below that of the proxies")
        self.size, self.index, self.proxies = size, index, proxies
        self.lots = 0  # not known before the first list
        self.belongs: dict[str, bool] = {}  # of the members of the last list, by the slots and lot of then
        self.place = (0, 0, 0)

    def settle(self, members: int) -> int:
        """The number of lots for a list of so many members: how many connections each is to get."""
        wanted = math.log2(max(1.0, self.proxies * self.size / max(1, members)))
        if not self.lots or abs(wanted - math.log2(self.lots)) > STICK:
            self.lots = min(2 ** round(wanted), self.proxies)
        return self.lots

    def choose(self, names: Iterable[str]) -> set[str]:
        """Those of a list that this proxy sees."""
        names = set(names)
        lots = self.settle(len(names))
        slots = math.ceil(self.proxies / lots)
        slot, lot = divmod(self.index, lots)
        known = self.belongs if self.place == (slots, slot, lot) else {}
        self.place = slots, slot, lot
        self.belongs = {
            name: known[name] if name in known else jump(digest(name, lot), slots) == slot for name in names
        }
        return {name for name, belongs in self.belongs.items() if belongs}
