"""Retry budget for the clients of a proxy: first tries pay for retries, so that a fault cannot amplify.

As in Finagle, but without its clock: each first try earns a fraction of a retry, up to a burst.
"""

from dataclasses import dataclass

ROUNDING_TOLERANCE = 1e-9  # of a retry


@dataclass(frozen=True)
class ClientRetryLimit:
    """`ratio`: retries that a first try earns, 0 to 10. `burst`: bound of the balance, and its start."""

    ratio: float
    burst: int


class ClientRetryBudget:
    """Balance of retries at one proxy."""

    def __init__(self, limit: ClientRetryLimit) -> None:
        self.limit, self.level = limit, float(limit.burst)

    def set_limit(self, limit: ClientRetryLimit) -> None:
        """Change the limit; a balance beyond the new burst is lost, a lower one is not raised."""
        self.limit, self.level = limit, min(self.level, float(limit.burst))

    @property
    def exhausted(self) -> bool:
        """Whether the balance is below one retry, rounding errors aside."""
        return self.level < 1.0 - ROUNDING_TOLERANCE

    def record(self, repeated: bool) -> None:
        """Count an admitted request: a first try earns, a retry costs one."""
        change = -1.0 if repeated else self.limit.ratio
        self.level = min(max(self.level + change, 0.0), float(self.limit.burst))
