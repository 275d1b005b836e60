"""Which servers a key belongs to: the same order in every process, without any talk between them.

Rendezvous hashing: losing a server moves only the keys that were its own. In a large fleet a ring of fixed
points first narrows the choice to a few neighbours, so that a decision does not look at every server.
"""

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from operator import itemgetter
from typing import Protocol, TypeVar

_first = itemgetter(0)
HASH_BITS = 64
MASK = (1 << HASH_BITS) - 1
MIX_FACTOR = 0x9E3779B97F4A7C15  # odd, 2^64 / golden ratio: spreads consecutive values over all bits
POINTS_PER_SERVER = 8  # on the ring: neighbours of a lost server share its keys, at little memory


def stable_hash(text: str) -> int:
    """A 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


def weight(key_hash: int, server_hash: int) -> int:
    """The weight of a server for a key; the greatest weight is the key's home."""
    return ((key_hash ^ server_hash) * MIX_FACTOR) & MASK


class Hashed(Protocol):
    """Something with a stable hash of its own."""

    hash: int


HashedItem = TypeVar("HashedItem", bound=Hashed)


def ranked(key_hash: int, items: Iterable[HashedItem]) -> list[HashedItem]:
    """All items, the key's home first. Spells `weight` out: this runs for each request and server."""
    weighed = [(((key_hash ^ item.hash) * MIX_FACTOR) & MASK, item) for item in items]
    weighed.sort(key=_first, reverse=True)
    return [item for _, item in weighed]


class HashRing:
    """Servers by fixed points on a circle; finds a few neighbours of a key in logarithmic time."""

    def __init__(self, server_ids: Iterable[str] = ()) -> None:
        points = [
            (stable_hash(f"{server_id}/{number}"), server_id)
            for server_id in server_ids
            for number in range(POINTS_PER_SERVER)
        ]
        points.sort()
        self._positions = [position for position, _ in points]
        self._owners = [owner for _, owner in points]

    def neighbours(self, key_hash: int, count: int) -> list[str]:
        """The first `count` distinct servers that follow the key."""
        owners, size = self._owners, len(self._owners)
        found: list[str] = []
        start = bisect_left(self._positions, key_hash)
        for step in range(size):
            owner = owners[(start + step) % size]
            if owner not in found:
                found.append(owner)
                if len(found) == count:
                    break
        return found
