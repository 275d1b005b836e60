"""A list of members, in the form in which every discovery source passes it to the pool."""

from dataclasses import dataclass

from brackenusher.runtime.driver import Address


@dataclass(slots=True)
class Host:
    """A member in a list."""

    name: str
    address: Address
    zone: str
    kind: str
    cell: int
    health: str
    born_ms: float


@dataclass(slots=True)
class Listing:
    """A version of the list: complete, or the changes since the previous one."""

    seq: int
    whole: bool
    hosts: list[Host]
