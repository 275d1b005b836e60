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

DRIFT = 1.05  # upper bound of the rate difference of two monotonic clocks
RENEWALS_PER_LEASE = 5  # some may be lost without a request being rejected
MIN_RENEWAL_INTERVAL_MS, MAX_RENEWAL_INTERVAL_MS = 50.0, 1000.0


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Every version acknowledged before a point in time is at most `version`."""

    version: int
    at: float  # on the holder's monotonic clock; -inf: no confirmation yet

    def age(self, now: float) -> float:
        return now - self.at


UNKNOWN = Confirmation(0, -inf)


class RevocationLease:
    """The lease of one process; `revoke_ms` is the setting `RevokeMs`."""

    def __init__(self, revoke_ms: float) -> None:
        self.span_ms = revoke_ms / DRIFT
        self.renewal_ms = min(
            MAX_RENEWAL_INTERVAL_MS, max(MIN_RENEWAL_INTERVAL_MS, self.span_ms / RENEWALS_PER_LEASE)
        )
        self.held = UNKNOWN  # newest one whose version is in force here
        self._applied_version = 0
        self._pending = UNKNOWN  # newest one whose version is not in force here yet

    def took(self, version: int) -> None:
        """Handle that a version has come into force in this process."""
        self._applied_version = max(self._applied_version, version)
        if self._pending.version <= self._applied_version:
            self._keep_newest(self._pending)
            self._pending = UNKNOWN

    def confirmed(self, version: int, asked_at: float, age_ms: float) -> None:
        """Handle the answer to a request sent at that local time: a confirmation and its age."""
        confirmation = Confirmation(version, asked_at - max(0.0, age_ms))
        if version <= self._applied_version:
            self._keep_newest(confirmation)
        elif confirmation.at > self._pending.at:
            self._pending = confirmation

    def holds(self, now: float) -> bool:
        """Whether a request received by now may use its API key."""
        return self.held.age(now) <= self.span_ms

    def to_tell(self, now: float) -> Confirmation | None:
        """The confirmation to pass on to peers; None if it has expired."""
        return self.held if self.holds(now) else None

    def _keep_newest(self, confirmation: Confirmation) -> None:
        if confirmation.at > self.held.at:
            self.held = confirmation
