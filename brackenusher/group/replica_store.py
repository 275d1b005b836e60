"""Durable state of an acceptor of the replicated state: entries by key, version vectors, and the origin."""

from hashlib import blake2b

from msgspec import DecodeError, msgpack

from barleybarrow.replica import Ready, StoredReplica
from barleybarrow.version_vectors import Entry
from brackenusher.group.database import DatabaseDamagedError, DatabaseFile
from brackenusher.runtime.points import failpoint

ENTRIES_DECODER = msgpack.Decoder(list[Entry])


def sum_of(key: str, data: bytes) -> bytes:
    return blake2b(key.encode() + b"\0" + data, digest_size=8).digest()


class ReplicaStore(DatabaseFile):
    """The file of an acceptor."""

    NAME = "replica.db"
    TABLES = ("CREATE TABLE IF NOT EXISTS slots (key TEXT PRIMARY KEY, data BLOB, sum BLOB)",)

    def load(self) -> StoredReplica:
        """Raises DatabaseDamagedError."""
        facts, stored = self.read_facts(), StoredReplica()
        try:
            if "kept" in facts:
                stored = msgpack.decode(facts["kept"], type=StoredReplica)
            for key, data, stored_checksum in self.db.execute("SELECT key, data, sum FROM slots"):
                if sum_of(key, data) != stored_checksum:
                    raise DatabaseDamagedError(f"the entries of {key}")
                stored.entries += ENTRIES_DECODER.decode(data)
        except (DecodeError, ValueError, TypeError) as error:
            raise DatabaseDamagedError(str(error)) from error
        return stored

    def keep(self, ready: Ready) -> None:
        """Stores the output of the state machine atomically. Raises OSError, sqlite3.Error."""
        failpoint("before-keep")
        with self.transaction():
            deleted = [(key,) for key, slot in ready.entries_by_key.items() if not slot]
            rows = [(key, msgpack.encode(slot)) for key, slot in ready.entries_by_key.items() if slot]
            self.db.executemany("DELETE FROM slots WHERE key = ?", deleted)
            self.db.executemany(
                "INSERT OR REPLACE INTO slots VALUES (?, ?, ?)",
                [(key, data, sum_of(key, data)) for key, data in rows],
            )
            if ready.metadata is not None:
                self.put_fact("kept", msgpack.encode(ready.metadata))
                self.put_fact("form", self.FORMAT_VERSION)
        failpoint("after-keep")
