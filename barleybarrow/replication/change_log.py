"""Compacted change log of one shard: only the latest change of each record is kept. No I/O.

A reader resumes from an epoch and offset and receives the ids that have changed since.
"""

from collections.abc import Iterable


class ChangeLog:
    """Offset of the latest change of each id, in ascending order of offsets."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.offset = 0
        self._last_offsets: dict[str, int] = {}  # ascending; `record` moves an id to the end

    def record(self, ids: Iterable[str]) -> None:
        """Append a change of each id."""
        for instance_id in ids:
            self.offset += 1
            self._last_offsets.pop(instance_id, None)
            self._last_offsets[instance_id] = self.offset

    def start_epoch(self, ids: Iterable[str]) -> None:
        """Start a new epoch with these ids after others were removed; its readers need a snapshot first."""
        self.epoch += 1
        self.offset = 0
        self._last_offsets.clear()
        self.record(ids)

    def since(self, epoch: int, offset: int) -> list[str] | None:
        """Ids changed after the offset, oldest change first; None if the reader needs a snapshot."""
        if epoch != self.epoch or offset > self.offset:
            return None
        newer: list[str] = []
        for instance_id, change_offset in reversed(self._last_offsets.items()):
            if change_offset <= offset:
                break
            newer.append(instance_id)
        newer.reverse()
        return newer
