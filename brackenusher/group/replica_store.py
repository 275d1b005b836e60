"""What a keeper must not forget of the replicated state: entries by key, vectors, and whose copy it is."""

from hashlib import blake2b

from msgspec import DecodeError, msgpack

from barleybarrow.replica import Ready, StoredReplica
from barleybarrow.version_vectors import Entry
from brackenusher.group.database import DatabaseDamagedError, File
from brackenusher.runtime.points import failpoint

ENTRIES = msgpack.Decoder(list[Entry])


def sum_of(key: str, data: bytes) -> bytes:
    return blake2b(key.encode() + b"\0" + data, digest_size=8).digest()


class ReplicaStore(File):
    """A keeper's file."""

    NAME = "replica.db"
    TABLES = ("CREATE TABLE IF NOT EXISTS slots (key TEXT PRIMARY KEY, data BLOB, sum BLOB)",)

    def load(self) -> StoredReplica:
        """Raises DatabaseDamagedError."""
        facts, kept = self.whole(), StoredReplica()
        try:
            if "kept" in facts:
                kept = msgpack.decode(facts["kept"], type=StoredReplica)
            for key, data, found in self.db.execute("SELECT key, data, sum FROM slots"):
                if sum_of(key, data) != found:
                    raise DatabaseDamagedError(f"the entries of {key}")
                kept.entries += ENTRIES.decode(data)
        except (DecodeError, ValueError, TypeError) as error:
            raise DatabaseDamagedError(str(error)) from error
        return kept

    def keep(self, ready: Ready) -> None:
        """Make durable what the machine wants kept, all of it or nothing. Raises OSError, sqlite3.Error."""
        failpoint("before-keep")
        with self.durably():
            gone = [(key,) for key, slot in ready.entries_by_key.items() if not slot]
            rows = [(key, msgpack.encode(slot)) for key, slot in ready.entries_by_key.items() if slot]
            self.db.executemany("DELETE FROM slots WHERE key = ?", gone)
            self.db.executemany(
                "INSERT OR REPLACE INTO slots VALUES (?, ?, ?)",
                [(key, data, sum_of(key, data)) for key, data in rows],
            )
            if ready.metadata is not None:
                self.fact("kept", msgpack.encode(ready.metadata))
                self.fact("form", self.FORM)
        failpoint("after-keep")
