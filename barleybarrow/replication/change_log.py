"""The log of changes of one shard, compacted: per record only its newest change stays. No I/O.

A reader names the epoch and offset at which it stopped and gets the ids that have changed since.
"""

from collections.abc import Iterable


class ChangeLog:
    """Offsets of the newest change of each id, in order."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.offset = 0
        self._changed: dict[str, int] = {}  # in the order of the offsets

    def record(self, ids: Iterable[str]) -> None:
        """Note a change of each of these."""
        for instance_id in ids:
            self.offset += 1
            self._changed.pop(instance_id, None)
            self._changed[instance_id] = self.offset

    def restart(self, ids: Iterable[str]) -> None:
        """Begin a new epoch with these ids, since some are gone: readers of the old one need a snapshot."""
        self.epoch += 1
        self.offset = 0
        self._changed.clear()
        self.record(ids)

    def since(self, epoch: int, offset: int) -> list[str] | None:
        """The ids that changed after an offset, oldest change first; None: the reader needs a snapshot."""
        if epoch != self.epoch or offset > self.offset:
            return None
        newer: list[str] = []
        for instance_id, at in reversed(self._changed.items()):
            if at <= offset:
                break
            newer.append(instance_id)
        newer.reverse()
        return newer
