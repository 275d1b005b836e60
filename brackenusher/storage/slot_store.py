"""Durable state of bounded size: two slot files written alternately, each a snapshot followed by a short log.

`replace` writes a snapshot to the inactive slot, which becomes the active one with its sync. `append` adds
records after the snapshot. On load the slot with the highest generation and an intact snapshot is used; its
log ends before the first record that is not intact. The state therefore survives a loss of power at any
moment, and no file is ever renamed or removed.

Layout of a slot: magic, generation, length and checksum of the snapshot, header checksum, the snapshot; then
records of length, checksum and data. The checksum of a record is chained to the previous one, and the first
one to that of the header, so that records left over from an earlier use of the file are never accepted.

Not thread-safe: one caller at a time, on one thread (see `writer`). All calls block on the disk.
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
HEADER = struct.Struct(">4sQIII")  # magic, generation, snapshot length, snapshot checksum, checksum of these
RECORD = struct.Struct(">II")  # length, chained checksum
SLOT_SUFFIXES = ("a", "b")


@dataclass(slots=True)
class LoadedState:
    """The contents of a store when it was loaded."""

    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    damaged: bool = False  # there are files, but no intact slot: the state is lost


@dataclass(slots=True)
class Slot:
    """The contents of one slot file."""

    generation: int
    snapshot: bytes
    records: list[bytes]
    end: int  # offset after the last intact record
    checksum: int
    size: int


def encode_header(generation: int, snapshot: bytes) -> bytes:
    """Encodes the header of a slot."""
    fields = HEADER.pack(MAGIC, generation, len(snapshot), zlib.crc32(snapshot), 0)[:-4]
    return fields + struct.pack(">I", zlib.crc32(fields))


def read_slot(data: bytes) -> Slot | None:
    """Decodes a slot file; None if its snapshot is not intact."""
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
        length, expected_checksum = RECORD.unpack_from(data, slot.end)
        record = data[slot.end + RECORD.size : slot.end + RECORD.size + length]
        if len(record) < length or record_checksum(record, slot.checksum) != expected_checksum:
            break
        slot.records.append(record)
        slot.end += RECORD.size + length
        slot.checksum = expected_checksum
    return slot


def record_checksum(record: bytes, previous: int) -> int:
    """Returns the checksum of a record that follows one with the checksum `previous`."""
    return zlib.crc32(record, zlib.crc32(len(record).to_bytes(4, "big"), previous))


class SlotStore:
    """The state stored under one name in a directory."""

    def __init__(self, folder: str, name: str, files: FileSystem | None = None) -> None:
        self.folder = folder
        self.files: FileSystem = files if files is not None else OsFileSystem()
        self.paths = [os.path.join(folder, f"{name}.{slot}") for slot in SLOT_SUFFIXES]
        self.generation = 0
        self.current: int | None = None  # index of the active slot
        self.end = 0  # offset of the next record in the active slot
        self.checksum = 0
        self.tail_dirty = False  # a failed write may have left bytes after `end`
        self.suspect_path = ""  # slot of a failed `replace`: may be intact and newer than the active one

    @property
    def slot_bytes(self) -> int:
        """The length of the active slot: header, snapshot and log."""
        return self.end

    def load(self) -> LoadedState:
        """Returns the stored state once it is durable. Raises StorageError.

        Writes nothing, so that it succeeds on a full disk. Syncs the active slot, because the caller relies
        on data that a killed process may have written without a sync. Has to be called first, and again if it
        fails.
        """
        try:
            contents = [self.files.read(path) for path in self.paths]
            slots = [read_slot(data) if data else None for data in contents]
            valid = [(slot.generation, i) for i, slot in enumerate(slots) if slot is not None]
            if not valid:
                return LoadedState(damaged=any(data for data in contents))
            self.generation, self.current = max(valid)
            slot = slots[self.current]
            assert slot is not None
            self.end, self.checksum = slot.end, slot.checksum
            self.tail_dirty = slot.size > slot.end  # a torn tail: the first append truncates it
            self.files.sync(self.paths[self.current])
        except OSError as error:
            raise to_storage_error(error) from error
        return LoadedState(slot.snapshot, slot.records)

    def append(self, records: list[bytes]) -> None:
        """Appends records and makes them durable. Raises StorageError.

        If power is lost meanwhile, a prefix of the records may survive. After an error none of them is part
        of the state; the same or other records may be appended later.
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
            if self.tail_dirty:
                self._truncate_tail()
            self.tail_dirty = True
            self.files.write(path, self.end, data)
            self.files.sync(path)
        except OSError as error:
            raise to_storage_error(error) from error
        self.tail_dirty = False
        self.end += len(data)
        self.checksum = checksum

    def replace(self, snapshot: bytes) -> None:
        """Replaces the stored state by a snapshot and makes it durable. Raises StorageError.

        After an error the previous state is still the current one.
        """
        slot_index = 0 if self.current is None else 1 - self.current
        header = encode_header(self.generation + 1, snapshot)
        path = self.suspect_path = self.paths[slot_index]
        try:
            self.files.make_folder(self.folder)
            self.files.truncate(path, 0)
            self.files.write(path, 0, header + snapshot)
            self.files.sync(path)
            self.files.sync_folder(self.folder)
        except OSError as error:
            self.generation += 1  # a failed write may still reach the disk: never reuse its generation
            raise to_storage_error(error) from error
        self.generation += 1
        self.current, self.tail_dirty, self.suspect_path = slot_index, False, ""
        self.end = len(header) + len(snapshot)
        self.checksum = zlib.crc32(header[:-4])

    def _truncate_tail(self) -> None:
        """Truncates the active slot after the last intact record."""
        assert self.current is not None
        path = self.paths[self.current]
        self.files.truncate(path, self.end)
        self.files.sync(path)
        self.tail_dirty = False

    def _truncate_suspect(self) -> None:
        """Empties the slot of a failed `replace`, which could otherwise supersede records appended now."""
        self.files.truncate(self.suspect_path, 0)
        self.files.sync(self.suspect_path)
        self.suspect_path = ""

    def close(self) -> None:
        """Closes the files."""
        self.files.close()


__all__ = ["LoadedState", "SlotStore", "StorageError", "StorageFullError"]
