"""Which buckets may be below their floor: known to a majority of the keepers before any of them is.

A new warden knows no buckets. What it does know is that the bucket of a key was at its floor or above,
unless the keepers remember that it may be drained; so it begins there. The warden of today therefore takes
a bucket below its floor only once a majority remembers that, and tells them when it is well above again. No
I/O; told the time in milliseconds.
"""

from collections.abc import Collection

from barleybarrow.limits.messages import MOST_DRAINED, Drained

FLOOR_SHARE = 0.25  # of the capacity: what is left beside all credit (`CREDIT_SHARE`) at rest is above it
REFILLED_SHARE = 0.33  # of the capacity: above it a bucket counts as drained no longer
DRAINED_LEAST = 3000.0  # milliseconds that a key stays drained: each change is a write of all keepers
LEAST_LENT = 0.5  # of every limit; with less lent to the warden, all buckets may be below their floor


class Floors:
    """The drained keys of one term, as the warden knows them and as a majority of the keepers does."""

    def __init__(self) -> None:
        self.before = Drained()  # what the keepers remembered when the term began
        self.all = False
        self.since: dict[str, float] = {}  # drained keys, from when on
        self.stored = Drained(False)  # remembered by a majority
        self.pending: Drained | None = None  # on its way to the keepers
        self.changed = False  # there is something that the keepers are to remember
        self.unchecked = False  # the keepers could not say what was drained: in this term, all buckets count

    def was_drained(self, key: str) -> bool:
        """Whether the bucket of a key may have been below its floor when the term began."""
        return self.before.all or key in self.before.keys

    def may_drain(self, key: str) -> bool:
        """Whether this key's bucket may be taken below its floor now."""
        if self.unchecked:
            return True
        if key not in self.since and not self.all:
            return False
        return self.stored.all or key in self.stored.keys

    def drain(self, now: float, key: str) -> None:
        """The bucket of a key is needed below its floor, or is there already."""
        if key not in self.since:
            self.since[key] = now
            self.changed = True

    def refilled(self, now: float, key: str) -> None:
        """The bucket of a key is well above its floor."""
        if key in self.since and now - self.since[key] >= DRAINED_LEAST:
            del self.since[key]
            self.changed = True

    def forget(self, keys: Collection[str]) -> None:
        """These keys have full buckets, and nobody uses them."""
        for key in keys:
            if self.since.pop(key, None) is not None:
                self.changed = True

    def lent_changed(self, fraction: float) -> None:
        """This fraction of every limit is lent to the warden."""
        if (fraction < LEAST_LENT) != self.all:
            self.all = not self.all
            self.changed = True

    def to_remember(self) -> Drained:
        """What keepers are to remember from now on."""
        self.changed = False
        full = self.all or self.unchecked or len(self.since) > MOST_DRAINED
        self.pending = Drained(True) if full else Drained(False, sorted(self.since))
        return self.pending

    def remembered(self) -> None:
        """A majority of the keepers remembers what was pending."""
        if self.pending is not None:
            self.stored, self.pending = self.pending, None
