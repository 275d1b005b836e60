"""Rendezvous hashing (Thaler and Ravishankar, 1998): assigns keys to members.

Processes with the same set of names compute the same assignment; adding or removing a member moves only the
keys assigned to it.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

SERVICE_CACHE_SIZE = 4096  # well above the number of services in a configuration
VOTERS_CACHE_SIZE = 64
SHARD_COUNT = 16  # of the registry; enough to spread ownership over seven voters


def digest(text: str) -> int:
    """64-bit hash of a text; unlike `hash`, the same on every machine and in every run."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=SERVICE_CACHE_SIZE)
def shard_of(service: str) -> int:
    """Shard of the registry that holds a service."""
    return digest(service) % SHARD_COUNT


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """The distinct names by descending weight for this key."""
    return sorted(set(names), key=lambda name: (digest(f"{key} {name}"), name), reverse=True)


def replica_group(shard: int, voters: Iterable[str], tolerated: int) -> list[str]:
    """The 2F+1 voters that hold a shard, in order of preference as its owner; F is `tolerated`."""
    return ranked(f"shard {shard}", voters)[: 2 * tolerated + 1]


@lru_cache(maxsize=VOTERS_CACHE_SIZE)
def distinct_replica_groups(voters: tuple[str, ...], tolerated: int) -> frozenset[frozenset[str]]:
    """The replica groups of all shards, each once."""
    return frozenset(frozenset(replica_group(shard, voters, tolerated)) for shard in range(SHARD_COUNT))
