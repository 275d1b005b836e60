"""The file operations that storage needs, as an interface that tests implement with an emulated disk."""

import errno
import os
from typing import Protocol


class StorageError(Exception):
    """A disk operation failed; the call may be retried later."""


class StorageFullError(StorageError):
    """The disk is full or read-only."""


NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS})


def to_storage_error(error: OSError) -> StorageError:
    """Converts an OSError."""
    error_type = StorageFullError if error.errno in NO_SPACE_ERRNOS else StorageError
    return error_type(f"{error.filename or ''}: {error.strerror or error}")


class FileSystem(Protocol):
    """File operations by path. All calls may raise OSError and may block on the disk."""

    def make_folder(self, path: str) -> None:
        """Creates a directory and its parents if they don't exist."""

    def read(self, path: str) -> bytes | None:
        """Returns the content; None if there is no such file."""

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Writes at an offset; creates the file if needed. Not durable before `sync`."""

    def truncate(self, path: str, size: int) -> None:
        """Sets the length. Not durable before `sync`."""

    def sync(self, path: str) -> None:
        """Makes the content of a file durable."""

    def sync_folder(self, path: str) -> None:
        """Makes names that were added to or removed from a directory durable."""

    def close(self) -> None:
        """Closes all open files."""


class OsFileSystem:
    """Files of the operating system. Keeps one descriptor open per file."""

    def __init__(self) -> None:
        self._descriptors: dict[str, int] = {}

    def _open_descriptor(self, path: str) -> int:
        descriptor = self._descriptors.get(path)
        if descriptor is None:
            descriptor = self._descriptors[path] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        return descriptor

    def make_folder(self, path: str) -> None:
        """Creates a directory and its parents if they don't exist."""
        os.makedirs(path, exist_ok=True)

    def read(self, path: str) -> bytes | None:
        """Returns the content; None if there is no such file."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Writes at an offset; creates the file if needed."""
        descriptor = self._open_descriptor(path)
        os.lseek(descriptor, offset, os.SEEK_SET)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, path: str, size: int) -> None:
        """Sets the length."""
        os.ftruncate(self._open_descriptor(path), size)

    def sync(self, path: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._open_descriptor(path))

    def sync_folder(self, path: str) -> None:
        """Makes the names in a directory durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes all descriptors."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
