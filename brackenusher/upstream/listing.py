"""A list of members, in the form that every source of members brings it to the pool."""

from dataclasses import dataclass

from brackenusher.runtime.driver import Address


@dataclass(slots=True)
class Host:
    """One entry of a list."""

    name: str
    address: Address
    zone: str
    kind: str
    cell: int
    health: str
    born_ms: float


@dataclass(slots=True)
class Listing:
    """A version of the list, or what changed since the one before."""

    seq: int
    whole: bool
    hosts: list[Host]
