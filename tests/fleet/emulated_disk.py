"""A disk in memory that loses power, fills up and fails at numbered operations: a `FileSystem`."""

import errno
import random
from dataclasses import dataclass, field


class PowerLost(BaseException):
    """Power went at this operation: whatever the caller was doing ends here."""


@dataclass
class Change:
    """One operation on a file that is not synced yet."""

    offset: int
    data: bytes | None  # None: the length is set to `offset`


def make_change(content: bytearray, change: Change) -> None:
    """Do one operation to the bytes of a file."""
    if change.data is None:
        del content[change.offset :]
        content.extend(bytes(change.offset - len(content)))
        return
    content.extend(bytes(max(0, change.offset - len(content))))
    content[change.offset : change.offset + len(change.data)] = change.data


@dataclass
class EmulatedFile:
    """What a process sees, what would be left without power, and what is between the two."""

    seen: bytearray = field(default_factory=bytearray)
    durable: bytearray | None = None  # None: the file itself was never synced
    unsynced: list[Change] = field(default_factory=list)


class EmulatedDisk:
    """Files by path. `operations` counts the calls that change something, for the faults below."""

    def __init__(self, rng: random.Random, capacity: int = 2**40) -> None:
        self.rng, self.capacity = rng, capacity
        self.files: dict[str, EmulatedFile] = {}
        self.operations = 0
        self.power_lost_at = 0  # the number of the operation during which power goes; 0: never
        self.refuse_at: dict[int, int] = {}  # errno by the number of the operation
        self.full = False
        self.syncs = 0

    def make_folder(self, path: str) -> None:
        """Folders are always there."""

    def read(self, path: str) -> bytes | None:
        """What a process sees."""
        file = self.files.get(path)
        return None if file is None else bytes(file.seen)

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write; where the disk is full a part may be written."""
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
        """Names are never renamed or removed here."""
        if self._begin():
            raise PowerLost

    def close(self) -> None:
        """Nothing is held open."""

    def used(self) -> int:
        """Bytes in all files."""
        return sum(len(file.seen) for file in self.files.values())

    def lose_power(self) -> None:
        """Each operation since a file's last sync is kept, lost or torn; some losses take them all."""
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
        """A new, empty disk."""
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
