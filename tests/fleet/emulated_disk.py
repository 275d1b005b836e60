"""An in-memory `FileSystem` that can lose power, fill up, and fail at numbered operations."""

import errno
import random
from dataclasses import dataclass, field


class PowerLossError(BaseException):
    """Power was lost during this operation; the caller is terminated."""


@dataclass
class PendingOperation:
    """An unsynced operation on a file."""

    offset: int
    data: bytes | None  # None: the file is truncated or extended to `offset`


def apply_operation(content: bytearray, operation: PendingOperation) -> None:
    """Apply an operation to the bytes of a file."""
    if operation.data is None:
        del content[operation.offset :]
        content.extend(bytes(operation.offset - len(content)))
        return
    content.extend(bytes(max(0, operation.offset - len(content))))
    content[operation.offset : operation.offset + len(operation.data)] = operation.data


@dataclass
class EmulatedFile:
    """Contents as seen by a process, contents that survive a power loss, and the operations in between."""

    current: bytearray = field(default_factory=bytearray)
    durable: bytearray | None = None  # None: the file itself was never synced
    unsynced: list[PendingOperation] = field(default_factory=list)


class EmulatedDisk:
    """Files by path. Modifying calls are numbered, so that faults can be injected at a given operation."""

    def __init__(self, rng: random.Random, capacity: int = 2**40) -> None:
        self.rng, self.capacity = rng, capacity
        self.files: dict[str, EmulatedFile] = {}
        self.operations = 0
        self.power_loss_at = 0  # number of the operation during which power is lost; 0: never
        self.errno_at: dict[int, int] = {}  # errno by operation number
        self.full = False
        self.sync_count = 0

    def make_folder(self, path: str) -> None:
        """Folders always exist."""

    def read(self, path: str) -> bytes | None:
        """Contents as seen by a process."""
        file = self.files.get(path)
        return None if file is None else bytes(file.current)

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write; if the disk fills up, a part of the data may be written."""
        power_lost = self._next_operation()
        file = self.files.setdefault(path, EmulatedFile())
        grows = offset + len(data) - len(file.current)
        if self.full or (grows > 0 and self.used_bytes() + grows > self.capacity):
            part = data[: self.rng.randrange(len(data) + 1)] if not self.full else b""
            self._apply(file, PendingOperation(offset, part))
            raise OSError(errno.ENOSPC, "no space left on device", path)
        self._apply(file, PendingOperation(offset, data))
        if power_lost:
            raise PowerLossError

    def truncate(self, path: str, size: int) -> None:
        """Set the length."""
        power_lost = self._next_operation()
        if self.full and size > len(self.files.setdefault(path, EmulatedFile()).current):
            raise OSError(errno.ENOSPC, "no space left on device", path)
        self._apply(self.files.setdefault(path, EmulatedFile()), PendingOperation(size, None))
        if power_lost:
            raise PowerLossError

    def sync(self, path: str) -> None:
        """Make a file durable."""
        if self._next_operation():
            raise PowerLossError
        self.sync_count += 1
        file = self.files[path]
        file.durable, file.unsynced = bytearray(file.current), []

    def sync_folder(self, path: str) -> None:
        """Only injects faults: files are never renamed or removed here."""
        if self._next_operation():
            raise PowerLossError

    def close(self) -> None:
        """No handles to close."""

    def used_bytes(self) -> int:
        """Bytes in all files."""
        return sum(len(file.current) for file in self.files.values())

    def lose_power(self) -> None:
        """Keep, drop or tear each operation since a file's last sync; some power losses drop them all."""
        drop_all = self.rng.random() < 0.3
        for path, file in list(self.files.items()):
            if file.durable is None and (drop_all or self.rng.random() < 0.5):
                del self.files[path]
                continue
            content = bytearray(file.durable or b"")
            for operation in file.unsynced:
                surviving = self._survivor(operation)
                if surviving is not None and not drop_all:
                    apply_operation(content, surviving)
            self.files[path] = EmulatedFile(bytearray(content), bytearray(content))
        self.power_loss_at = 0

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.files.clear()

    def _survivor(self, operation: PendingOperation) -> PendingOperation | None:
        draw = self.rng.random()
        if draw < 0.35:
            return None
        if draw < 0.65 or not operation.data:
            return operation
        return PendingOperation(operation.offset, operation.data[: self.rng.randrange(len(operation.data))])

    def _next_operation(self) -> bool:
        self.operations += 1
        if self.operations in self.errno_at:
            raise OSError(self.errno_at[self.operations], "refused")
        return self.operations == self.power_loss_at

    def _apply(self, file: EmulatedFile, operation: PendingOperation) -> None:
        apply_operation(file.current, operation)
        file.unsynced.append(operation)
