"""A budget for what clients ask again: repeats are paid by first tries, so that a fault cannot feed itself.

A retry budget as Finagle has it, without its clock: each first try earns a part of a repeat, up to a burst.
"""

from dataclasses import dataclass

ROUNDING_TOLERANCE = 1e-9  # of a repeat


@dataclass(frozen=True)
class Repeats:
    """`part`: repeats that a first try earns, 0 to 10. `burst`: most saved up, and there at first."""

    part: float
    burst: int


class Budget:
    """What is left for repeats at one proxy."""

    def __init__(self, limit: Repeats) -> None:
        self.limit, self.level = limit, float(limit.burst)

    def change(self, limit: Repeats) -> None:
        """Go by another limit; what was saved up beyond it is lost, and nothing is given."""
        self.limit, self.level = limit, min(self.level, float(limit.burst))

    @property
    def empty(self) -> bool:
        """Whether no repeat is paid for; what rounding may take from one does not count."""
        return self.level < 1.0 - ROUNDING_TOLERANCE

    def charge(self, repeated: bool) -> None:
        """A request was let in: a first try earns, a repeat costs one."""
        earned = -1.0 if repeated else self.limit.part
        self.level = min(max(self.level + earned, 0.0), float(self.limit.burst))
