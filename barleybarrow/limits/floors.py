"""Which buckets may be below their floor: known to a majority of the keepers before any of them is.

A new warden knows no buckets. What it does know is that the bucket of a key was at its floor or above,
unless the keepers remember that it may be drained; so it begins there. The warden of today therefore takes
a bucket below its floor only once a majority remembers that, and tells them when it is well above again. No
I/O; told the time in milliseconds.
"""

from collections.abc import Collection

from barleybarrow.limits.messages import MAX_DRAINED_KEYS, DrainedKeys

FLOOR_SHARE = 0.25  # of the capacity: what is left beside all credit (`CREDIT_SHARE`) at rest is above it
REFILLED_SHARE = 0.33  # of the capacity: above it a bucket counts as drained no longer
MIN_DRAINED_MS = 3000.0  # milliseconds that a key stays drained: each change is a write of all keepers
ALL_DRAINED_LENT_SHARE = (
    0.5  # of every limit; with less lent to the warden, all buckets may be below their floor
)


class BucketFloors:
    """The drained keys of one term, as the warden knows them and as a majority of the keepers does."""

    def __init__(self) -> None:
        self.initially_drained = DrainedKeys()  # what the keepers remembered when the term began
        self.all_drained = False
        self.drained_since: dict[str, float] = {}  # drained keys, from when on
        self.acked = DrainedKeys(False)  # remembered by a majority
        self.proposed: DrainedKeys | None = None  # on its way to the keepers
        self.has_changes = False  # there is something that the keepers are to remember
        self.drains_unchecked = (
            False  # the keepers could not say what was drained: in this term, all buckets count
        )

    def was_initially_drained(self, key: str) -> bool:
        """Whether the bucket of a key may have been below its floor when the term began."""
        return self.initially_drained.all_keys or key in self.initially_drained.keys

    def may_drain(self, key: str) -> bool:
        """Whether this key's bucket may be taken below its floor now."""
        if self.drains_unchecked:
            return True
        if key not in self.drained_since and not self.all_drained:
            return False
        return self.acked.all_keys or key in self.acked.keys

    def mark_drained(self, now: float, key: str) -> None:
        """The bucket of a key is needed below its floor, or is there already."""
        if key not in self.drained_since:
            self.drained_since[key] = now
            self.has_changes = True

    def mark_refilled(self, now: float, key: str) -> None:
        """The bucket of a key is well above its floor."""
        if key in self.drained_since and now - self.drained_since[key] >= MIN_DRAINED_MS:
            del self.drained_since[key]
            self.has_changes = True

    def forget(self, keys: Collection[str]) -> None:
        """These keys have full buckets, and nobody uses them."""
        for key in keys:
            if self.drained_since.pop(key, None) is not None:
                self.has_changes = True

    def set_lent_share(self, share: float) -> None:
        """This fraction of every limit is lent to the warden."""
        if (share < ALL_DRAINED_LENT_SHARE) != self.all_drained:
            self.all_drained = not self.all_drained
            self.has_changes = True

    def propose(self) -> DrainedKeys:
        """What keepers are to remember from now on."""
        self.has_changes = False
        all_keys = self.all_drained or self.drains_unchecked or len(self.drained_since) > MAX_DRAINED_KEYS
        self.proposed = DrainedKeys(True) if all_keys else DrainedKeys(False, sorted(self.drained_since))
        return self.proposed

    def confirm(self) -> None:
        """A majority of the keepers remembers what was pending."""
        if self.proposed is not None:
            self.acked, self.proposed = self.proposed, None
