"""Until when a proxy may rely on the API keys of its configuration. No I/O; milliseconds.

Only for deployments with `StrictRevocation`: there, no request that is sent later than `RevokeMs` after the
acknowledgement of a version that removes its key may run anywhere, also at a proxy that control can't reach.

A `Confirmation` says: each version that was acknowledged before a moment is at most this one. It begins with
a majority's word (a read index of the configuration shard), and is passed on with its age. Whoever has that
version in force can have missed only what was acknowledged later, so its keys hold for `RevokeMs` from that
moment on. The moment counts on the receiver's own clock from before it asked: no two clocks are compared, and
delays on the way only shorten the lease.
"""

from dataclasses import dataclass
from math import inf

DRIFT = 1.05  # two monotonic clocks do not differ by more over a lease
RENEWALS = 5  # in a lease: some may be lost without a request being refused
LEAST_RENEWAL_MS, MOST_RENEWAL_MS = 50.0, 1000.0


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Each version that was acknowledged before `at` is at most `version`."""

    version: int
    at: float  # milliseconds of the holder's monotonic clock; -inf: nothing is known

    def age(self, now: float) -> float:
        """How old it is, in milliseconds."""
        return now - self.at


UNKNOWN = Confirmation(0, -inf)


class RevocationLease:
    """The lease of one process. `revoke_ms` is `RevokeMs` of the settings."""

    def __init__(self, revoke_ms: float) -> None:
        self.span_ms = revoke_ms / DRIFT
        self.renewal_ms = min(MOST_RENEWAL_MS, max(LEAST_RENEWAL_MS, self.span_ms / RENEWALS))
        self.held = UNKNOWN  # the newest whose version is in force here
        self._version = 0
        self._ahead = UNKNOWN  # the newest whose version is not in force here yet

    def took(self, version: int) -> None:
        """A version is in force here."""
        self._version = max(self._version, version)
        if self._ahead.version <= self._version:
            self._hold(self._ahead)
            self._ahead = UNKNOWN

    def confirmed(self, version: int, asked_at: float, age_ms: float) -> None:
        """Somebody answered a question sent at `asked_at` with a confirmation that was so old then."""
        confirmation = Confirmation(version, asked_at - max(0.0, age_ms))
        if version <= self._version:
            self._hold(confirmation)
        elif confirmation.at > self._ahead.at:
            self._ahead = confirmation

    def holds(self, now: float) -> bool:
        """Whether a request that was received by now may use its key."""
        return self.held.age(now) <= self.span_ms

    def to_tell(self, now: float) -> Confirmation | None:
        """What others can use of what is held here; None where it is too old for anybody."""
        return self.held if self.holds(now) else None

    def _hold(self, confirmation: Confirmation) -> None:
        if confirmation.at > self.held.at:
            self.held = confirmation
