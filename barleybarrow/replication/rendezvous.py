"""Rendezvous hashing (Thaler and Ravishankar, 1998): who is responsible for a key.

All processes that know the same names come to the same answer; a member more or less moves its own keys only.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

SERVICES_CACHED = 4096  # far more than a configuration has
SHARDS = 16  # parts of the registry; enough to spread owners over seven voters


def digest(text: str) -> int:
    """64 bits of a text; the same on every machine and in every run."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=SERVICES_CACHED)
def shard_of(service: str) -> int:
    """The shard that a service belongs to."""
    return digest(service) % SHARDS


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """The names in the order of their weight for this key, heaviest first."""
    return sorted(set(names), key=lambda name: (digest(f"{key} {name}"), name), reverse=True)


def replica_group(shard: int, voters: Iterable[str], tolerated: int) -> list[str]:
    """The 2F+1 voters that hold a shard, first choice for its owner first."""
    return ranked(f"shard {shard}", voters)[: 2 * tolerated + 1]
