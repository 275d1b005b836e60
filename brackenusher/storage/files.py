"""The few file operations that storage needs, as one small interface, so that tests can put an
emulated disk in its place.
"""

import errno
import os
from typing import Protocol


class StorageError(Exception):
    """The disk did not do what was asked; the same call may be made again later."""


class StorageFullError(StorageError):
    """The disk has no room, or refuses writes."""


NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS})


def to_storage_error(error: OSError) -> StorageError:
    """The typed error for what the system reported."""
    error_type = StorageFullError if error.errno in NO_SPACE_ERRNOS else StorageError
    return error_type(f"{error.filename or ''}: {error.strerror or error}")


class FileSystem(Protocol):
    """Files by their path. All calls raise OSError and may wait on the disk."""

    def make_folder(self, path: str) -> None:
        """Make a folder and those above it, where absent."""

    def read(self, path: str) -> bytes | None:
        """The whole content; None where there is no such file."""

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write at an offset; makes the file where absent. Not durable before `sync`."""

    def truncate(self, path: str, size: int) -> None:
        """Set the length. Not durable before `sync`."""

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self, path: str) -> None:
        """Make names that were added to a folder or removed from it durable."""

    def close(self) -> None:
        """Release what is held open."""


class OsFileSystem:
    """The files of the operating system. Descriptors stay open, one a file."""

    def __init__(self) -> None:
        self._descriptors: dict[str, int] = {}

    def _descriptor(self, path: str) -> int:
        descriptor = self._descriptors.get(path)
        if descriptor is None:
            descriptor = self._descriptors[path] = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        return descriptor

    def make_folder(self, path: str) -> None:
        """Make a folder and those above it, where absent."""
        os.makedirs(path, exist_ok=True)

    def read(self, path: str) -> bytes | None:
        """The whole content; None where there is no such file."""
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write(self, path: str, offset: int, data: bytes) -> None:
        """Write at an offset; makes the file where absent."""
        descriptor = self._descriptor(path)
        os.lseek(descriptor, offset, os.SEEK_SET)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def truncate(self, path: str, size: int) -> None:
        """Set the length."""
        os.ftruncate(self._descriptor(path), size)

    def sync(self, path: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._descriptor(path))

    def sync_folder(self, path: str) -> None:
        """Make the names in a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close all descriptors."""
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
