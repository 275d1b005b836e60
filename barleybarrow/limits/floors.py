"""Tracks which buckets may be below their floor; a majority of the acceptors stores it before any of them is.

A new credit server knows no bucket levels, only that each bucket was at its floor or above, unless the
acceptors have stored its key as drained; so buckets start at their floors. A credit server may therefore
take a bucket below its floor only once a majority has stored the key as drained, and reports to them when
the bucket is well above its floor again. No I/O; times are milliseconds.
"""

from collections.abc import Collection

from barleybarrow.limits.messages import MAX_DRAINED_KEYS, DrainedKeys

FLOOR_SHARE = 0.25  # of the capacity: less than what an idle key has left beside all credit (`CREDIT_SHARE`)
REFILLED_SHARE = 0.33  # of the capacity: above it a bucket is no longer drained
MIN_DRAINED_MS = 3000.0  # that a key stays drained, as each change is a write on all acceptors
ALL_DRAINED_LENT_SHARE = 0.5  # with a smaller share lent, all buckets may be below their floor


class BucketFloors:
    """The drained keys of one term, as known to the credit server and as stored by the acceptors."""

    def __init__(self) -> None:
        self.initially_drained = DrainedKeys()  # as stored at the start of the term
        self.all_drained = False
        self.drained_since: dict[str, float] = {}
        self.acked = DrainedKeys(False)  # stored by a majority
        self.proposed: DrainedKeys | None = None  # sent to the acceptors
        self.has_changes = False  # to be proposed
        # The acceptors could not say which keys were drained: all count as drained in this term.
        self.drains_unchecked = False

    def was_initially_drained(self, key: str) -> bool:
        """Whether the bucket of a key may have been below its floor at the start of the term."""
        return self.initially_drained.all_keys or key in self.initially_drained.keys

    def may_drain(self, key: str) -> bool:
        """Whether the bucket of a key may be taken below its floor now."""
        if self.drains_unchecked:
            return True
        if key not in self.drained_since and not self.all_drained:
            return False
        return self.acked.all_keys or key in self.acked.keys

    def mark_drained(self, now: float, key: str) -> None:
        """Mark a key whose bucket is needed below its floor, or is there already."""
        if key not in self.drained_since:
            self.drained_since[key] = now
            self.has_changes = True

    def mark_refilled(self, now: float, key: str) -> None:
        """Unmark a key whose bucket is well above its floor, after `MIN_DRAINED_MS`."""
        if key in self.drained_since and now - self.drained_since[key] >= MIN_DRAINED_MS:
            del self.drained_since[key]
            self.has_changes = True

    def forget(self, keys: Collection[str]) -> None:
        """Unmark unused keys with full buckets."""
        for key in keys:
            if self.drained_since.pop(key, None) is not None:
                self.has_changes = True

    def set_lent_share(self, share: float) -> None:
        """Set the share of every limit that is lent to the credit server."""
        if (share < ALL_DRAINED_LENT_SHARE) != self.all_drained:
            self.all_drained = not self.all_drained
            self.has_changes = True

    def propose(self) -> DrainedKeys:
        """The drained keys that the acceptors are to store from now on."""
        self.has_changes = False
        all_keys = self.all_drained or self.drains_unchecked or len(self.drained_since) > MAX_DRAINED_KEYS
        self.proposed = DrainedKeys(True) if all_keys else DrainedKeys(False, sorted(self.drained_since))
        return self.proposed

    def confirm(self) -> None:
        """Record that a majority of the acceptors has stored the proposed keys."""
        if self.proposed is not None:
            self.acked, self.proposed = self.proposed, None
