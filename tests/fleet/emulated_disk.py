"""An in-memory `FileSystem` that can lose power, fill up, and fail at numbered operations."""

import errno
import random
from dataclasses import dataclass, field


class PowerLost(BaseException):
    """Power was lost during this operation; the caller is terminated."""


@dataclass
class Change:
    """An unsynced operation on a file."""

    offset: int
    data: bytes | None  # None: the file is truncated or extended to `offset`


def make_change(content: bytearray, change: Change) -> None:
    """Apply an operation to the bytes of a file."""
    if change.data is None:
        del content[change.offset :]
        content.extend(bytes(change.offset - len(content)))
        return
    content.extend(bytes(max(0, change.offset - len(content))))
    content[change.offset : change.offset + len(change.data)] = change.data


@dataclass
class EmulatedFile:
    """Contents as seen by a process, contents that survive a power loss, and the operations in between."""

    seen: bytearray = field(default_factory=bytearray)
    durable: bytearray | None = None  # None: the file itself was never synced
    unsynced: list[Change] = field(default_factory=list)


class EmulatedDisk:
    """Files by path. Modifying calls are numbered, so that faults can be injected at a given operation."""

    def __init__(self, rng: random.Random, capacity: int = 2**40) -> None:
        self.rng, self.capacity = rng, capacity
        self.files: dict[str, EmulatedFile] = {}
        self.operations = 0
        self.power_lost_at = 0  # number of the operation during which power is lost; 0: never
        self.refuse_at: dict[int, int] = {}  # errno by operation number
        self.full = False
        self.syncs = 0

    def make_folder(self, path: str) -> None:
        """Folders always exist."""

    def read(self, path: str) -> bytes | None:
        """Contents as seen by a process."""
        file = self.files.get(path)
        return None if file is None else bytes(file.seen)

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write; if the disk fills up, a part of the data may be written."""
        lost = self._begin()
        file = self.files.setdefault(path, EmulatedFile())
        grows = offset + len(data) - len(file.seen)
        if self.full or (grows > 0 and self.used() + grows > self.capacity):
            part = data[: self.rng.randrange(len(data) + 1)] if not self.full else b""
            self._change(file, Change(offset, part))
            raise OSError(errno.ENOSPC, "no space left on device", path)
        self._change(file, Change(offset, data))
        if lost:
            raise PowerLost

    def truncate(self, path: str, size: int) -> None:
        """Set the length."""
        lost = self._begin()
        if self.full and size > len(self.files.setdefault(path, EmulatedFile()).seen):
            raise OSError(errno.ENOSPC, "no space left on device", path)
        self._change(self.files.setdefault(path, EmulatedFile()), Change(size, None))
        if lost:
            raise PowerLost

    def sync(self, path: str) -> None:
        """Make a file durable."""
        if self._begin():
            raise PowerLost
        self.syncs += 1
        file = self.files[path]
        file.durable, file.unsynced = bytearray(file.seen), []

    def sync_folder(self, path: str) -> None:
        """Only injects faults: files are never renamed or removed here."""
        if self._begin():
            raise PowerLost

    def close(self) -> None:
        """No handles to close."""

    def used(self) -> int:
        """Bytes in all files."""
        return sum(len(file.seen) for file in self.files.values())

    def lose_power(self) -> None:
        """Keep, drop or tear each operation since a file's last sync; some power losses drop them all."""
        takes_all = self.rng.random() < 0.3
        for path, file in list(self.files.items()):
            if file.durable is None and (takes_all or self.rng.random() < 0.5):
                del self.files[path]
                continue
            content = bytearray(file.durable or b"")
            for change in file.unsynced:
                kept = self._torn(change)
                if kept is not None and not takes_all:
                    make_change(content, kept)
            self.files[path] = EmulatedFile(bytearray(content), bytearray(content))
        self.power_lost_at = 0

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.files.clear()

    def _torn(self, change: Change) -> Change | None:
        luck = self.rng.random()
        if luck < 0.35:
            return None
        if luck < 0.65 or not change.data:
            return change
        return Change(change.offset, change.data[: self.rng.randrange(len(change.data))])

    def _begin(self) -> bool:
        self.operations += 1
        if self.operations in self.refuse_at:
            raise OSError(self.refuse_at[self.operations], "refused")
        return self.operations == self.power_lost_at

    def _change(self, file: EmulatedFile, change: Change) -> None:
        make_change(file.seen, change)
        file.unsynced.append(change)
