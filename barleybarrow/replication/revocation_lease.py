"""Lease on the API keys of a proxy's configuration. No I/O; times are in milliseconds.

Used only with `StrictRevocation`: no request that is sent later than `RevokeMs` after the acknowledgement of
a version that removes its API key may run anywhere, even on a proxy that the control plane can't reach.

A `Confirmation` states that every version acknowledged before a point in time is at most the given one. It
originates from a majority (a read index of the configuration shard) and is passed on with its age. A process
that has this version in force can have missed only later acknowledgements, so its keys are valid for
`RevokeMs` from that point. The point is taken on the receiver's own clock from before it sent its request:
clocks of two machines are never compared, and delays in transit only shorten the lease.
"""

from dataclasses import dataclass
from math import inf

MAX_CLOCK_DRIFT_RATIO = 1.05  # upper bound of the rate difference of two monotonic clocks
RENEWALS_PER_LEASE = 5  # some may be lost without a request being rejected
MIN_RENEWAL_INTERVAL_MS, MAX_RENEWAL_INTERVAL_MS = 50.0, 1000.0


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Every version acknowledged before a point in time is at most `version`."""

    version: int
    as_of: float  # on the holder's monotonic clock; -inf: no confirmation yet

    def age(self, now: float) -> float:
        return now - self.as_of


NO_CONFIRMATION = Confirmation(0, -inf)


class RevocationLease:
    """The lease of one process; `revoke_ms` is the setting `RevokeMs`."""

    def __init__(self, revoke_ms: float) -> None:
        self.duration_ms = revoke_ms / MAX_CLOCK_DRIFT_RATIO
        self.renewal_interval_ms = min(
            MAX_RENEWAL_INTERVAL_MS, max(MIN_RENEWAL_INTERVAL_MS, self.duration_ms / RENEWALS_PER_LEASE)
        )
        self.current = NO_CONFIRMATION  # newest one whose version is in force here
        self._applied_version = 0
        self._pending = NO_CONFIRMATION  # newest one whose version is not in force here yet

    def on_applied(self, version: int) -> None:
        """Handle that a version has come into force in this process."""
        self._applied_version = max(self._applied_version, version)
        if self._pending.version <= self._applied_version:
            self._keep_newest(self._pending)
            self._pending = NO_CONFIRMATION

    def on_confirmation(self, version: int, requested_at: float, age_ms: float) -> None:
        """Handle the answer to a request sent at that local time: a confirmation and its age."""
        confirmation = Confirmation(version, requested_at - max(0.0, age_ms))
        if version <= self._applied_version:
            self._keep_newest(confirmation)
        elif confirmation.as_of > self._pending.as_of:
            self._pending = confirmation

    def is_valid(self, now: float) -> bool:
        """Whether a request received by now may use its API key."""
        return self.current.age(now) <= self.duration_ms

    def shareable_confirmation(self, now: float) -> Confirmation | None:
        """The confirmation to pass on to peers; None if it has expired."""
        return self.current if self.is_valid(now) else None

    def _keep_newest(self, confirmation: Confirmation) -> None:
        if confirmation.as_of > self.current.as_of:
            self.current = confirmation
