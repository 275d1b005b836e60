"""Rendezvous hashing of keys to servers, with the same result in every process.

The loss of a server moves only its own keys. In a large fleet a hash ring first narrows the choice to a few
servers, so that a decision does not evaluate all of them.
"""

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from operator import itemgetter
from typing import Protocol, TypeVar

_weight_of_pair = itemgetter(0)
HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
MIX_FACTOR = 0x9E3779B97F4A7C15  # 2^64 / golden ratio, odd: spreads consecutive values over all bits
RING_POINTS_PER_SERVER = 8  # virtual nodes: several servers share the keys of a lost one, at little memory


def stable_hash(text: str) -> int:
    """A 64-bit hash that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


def weight(key_hash: int, server_hash: int) -> int:
    """The weight of a server for a key; the server with the greatest weight ranks first."""
    return ((key_hash ^ server_hash) * MIX_FACTOR) & HASH_MASK


class Hashed(Protocol):
    """An item with a stable hash."""

    hash: int


HashedItem = TypeVar("HashedItem", bound=Hashed)


def rank_by_weight(key_hash: int, items: Iterable[HashedItem]) -> list[HashedItem]:
    """All items, greatest weight first. Inlines the weight, as this runs per request and server."""
    weighted = [(((key_hash ^ item.hash) * MIX_FACTOR) & HASH_MASK, item) for item in items]
    weighted.sort(key=_weight_of_pair, reverse=True)
    return [item for _, item in weighted]


class HashRing:
    """Consistent hash ring of servers; finds the successors of a key in logarithmic time."""

    def __init__(self, server_ids: Iterable[str] = ()) -> None:
        points = [
            (stable_hash(f"{server_id}/{number}"), server_id)
            for server_id in server_ids
            for number in range(RING_POINTS_PER_SERVER)
        ]
        points.sort()
        self._positions = [position for position, _ in points]
        self._owners = [owner for _, owner in points]

    def successors(self, key_hash: int, count: int) -> list[str]:
        """The first `count` distinct servers after the key on the ring."""
        owners, size = self._owners, len(self._owners)
        distinct: list[str] = []
        start = bisect_left(self._positions, key_hash)
        for offset in range(size):
            owner = owners[(start + offset) % size]
            if owner not in distinct:
                distinct.append(owner)
                if len(distinct) == count:
                    break
        return distinct
