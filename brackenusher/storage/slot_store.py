"""A durable state of bounded size: two slot files written in turn, each a snapshot and a short log behind it.

`replace` writes a snapshot into the slot that is not in use; from its sync on that slot is the one in use.
`append` adds records behind the snapshot. The newest slot whose snapshot is whole holds; its log ends
before the first record that is not whole. So power may be lost at any moment, and no file is ever renamed
or removed.

Layout of a slot: magic, generation, length and checksum of the snapshot, the snapshot; then records, each its
length, its checksum and its bytes. A record's checksum goes on from the one before it, and the first from the
header's, so bytes that an earlier use of the file left behind are never taken for records.

One caller at a time, from one thread (see `writer`): every call waits on the disk.
"""

import os
import struct
import zlib
from dataclasses import dataclass, field

from brackenusher.storage.files import (
    FileSystem,
    OsFileSystem,
    StorageError,
    StorageFullError,
    to_storage_error,
)

MAGIC = b"BRKS"
HEADER = struct.Struct(
    ">4sQIII"
)  # magic, generation, length, checksum of the snapshot, checksum of all before
RECORD = struct.Struct(">II")  # length, chained checksum
SLOT_SUFFIXES = ("a", "b")


@dataclass(slots=True)
class Loaded:
    """What a store held at its start."""

    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    damaged: bool = False  # there are files, and no slot is whole: what was stored is lost


@dataclass(slots=True)
class Slot:
    """One slot file as it was read."""

    generation: int
    snapshot: bytes
    records: list[bytes]
    end: int  # offset behind the last whole record
    checksum: int
    size: int


def encode_header(generation: int, snapshot: bytes) -> bytes:
    """The bytes in front of a snapshot."""
    head = HEADER.pack(MAGIC, generation, len(snapshot), zlib.crc32(snapshot), 0)[:-4]
    return head + struct.pack(">I", zlib.crc32(head))


def read_slot(data: bytes) -> Slot | None:
    """What a slot file holds; None where its snapshot is not whole."""
    if len(data) < HEADER.size:
        return None
    magic, generation, length, snapshot_checksum, checksum = HEADER.unpack_from(data)
    if magic != MAGIC or zlib.crc32(data[: HEADER.size - 4]) != checksum:
        return None
    snapshot = data[HEADER.size : HEADER.size + length]
    if len(snapshot) < length or zlib.crc32(snapshot) != snapshot_checksum:
        return None
    slot = Slot(generation, snapshot, [], HEADER.size + length, checksum, len(data))
    while slot.end + RECORD.size <= len(data):
        length, expected = RECORD.unpack_from(data, slot.end)
        record = data[slot.end + RECORD.size : slot.end + RECORD.size + length]
        if len(record) < length or record_checksum(record, slot.checksum) != expected:
            break
        slot.records.append(record)
        slot.end += RECORD.size + length
        slot.checksum = expected
    return slot


def record_checksum(record: bytes, previous: int) -> int:
    """The checksum of a record that follows one with the checksum `before`."""
    return zlib.crc32(record, zlib.crc32(len(record).to_bytes(4, "big"), previous))


class SlotStore:
    """The state kept under one name in a folder."""

    def __init__(self, folder: str, name: str, files: FileSystem | None = None) -> None:
        self.folder = folder
        self.files: FileSystem = files if files is not None else OsFileSystem()
        self.paths = [os.path.join(folder, f"{name}.{slot}") for slot in SLOT_SUFFIXES]
        self.generation = 0
        self.current: int | None = None  # the slot in use
        self.end = 0  # where the next record goes
        self.checksum = 0
        self.dirty = False  # bytes behind `end` may be left by a write that failed
        self.suspect_path = (
            ""  # the slot of a `replace` that failed: it may be whole, and newer than the one in use
        )

    @property
    def slot_bytes(self) -> int:
        """The length of the slot in use: the snapshot and its log."""
        return self.end

    def load(self) -> Loaded:
        """What is stored, and durable. Raises StorageError.

        It writes nothing, so that it succeeds on a full disk. What a process wrote that was killed before its
        sync is synced here: whoever reads it will rely on it. Called before all else, and again where it
        failed.
        """
        try:
            contents = [self.files.read(path) for path in self.paths]
            slots = [read_slot(data) if data else None for data in contents]
            valid = [(slot.generation, i) for i, slot in enumerate(slots) if slot is not None]
            if not valid:
                return Loaded(damaged=any(data for data in contents))
            self.generation, self.current = max(valid)
            slot = slots[self.current]
            assert slot is not None
            self.end, self.checksum = slot.end, slot.checksum
            self.dirty = slot.size > slot.end  # a torn tail: the first append cuts it
            self.files.sync(self.paths[self.current])
        except OSError as error:
            raise to_storage_error(error) from error
        return Loaded(slot.snapshot, slot.records)

    def append(self, records: list[bytes]) -> None:
        """Make records durable behind what is there, all or a first part of them. Raises StorageError.

        After an error none of them counts; the same or other records may be appended later.
        """
        if self.current is None:
            raise StorageError("append before the first snapshot")
        checksum, chunks = self.checksum, list[bytes]()
        for record in records:
            checksum = record_checksum(record, checksum)
            chunks += (RECORD.pack(len(record), checksum), record)
        data, path = b"".join(chunks), self.paths[self.current]
        try:
            if self.suspect_path:
                self._truncate_suspect()
            if self.dirty:
                self._cut()
            self.dirty = True
            self.files.write(path, self.end, data)
            self.files.sync(path)
        except OSError as error:
            raise to_storage_error(error) from error
        self.dirty = False
        self.end += len(data)
        self.checksum = checksum

    def replace(self, snapshot: bytes) -> None:
        """Make a snapshot durable in the place of all that was stored. Raises StorageError.

        After an error what was stored before still holds.
        """
        target = 0 if self.current is None else 1 - self.current
        header = encode_header(self.generation + 1, snapshot)
        path = self.suspect_path = self.paths[target]
        try:
            self.files.make_folder(self.folder)
            self.files.truncate(path, 0)
            self.files.write(path, 0, header + snapshot)
            self.files.sync(path)
            self.files.sync_folder(self.folder)
        except OSError as error:
            self.generation += 1  # a failed write may still reach the disk: its number is never used again
            raise to_storage_error(error) from error
        self.generation += 1
        self.current, self.dirty, self.suspect_path = target, False, ""
        self.end = len(header) + len(snapshot)
        self.checksum = zlib.crc32(header[:-4])

    def _cut(self) -> None:
        """Take away what stands behind the last whole record."""
        assert self.current is not None
        path = self.paths[self.current]
        self.files.truncate(path, self.end)
        self.files.sync(path)
        self.dirty = False

    def _truncate_suspect(self) -> None:
        """Take away what a failed `replace` may have left: else records appended now would be lost to it."""
        self.files.truncate(self.suspect_path, 0)
        self.files.sync(self.suspect_path)
        self.suspect_path = ""

    def close(self) -> None:
        """Release the files."""
        self.files.close()


__all__ = ["Loaded", "SlotStore", "StorageError", "StorageFullError"]
