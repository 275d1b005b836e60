"""Durable state of a voter: term, vote, log and snapshot."""

from dataclasses import dataclass, field
from typing import Any

from msgspec import DecodeError, msgpack

from barleybarrow.agreement_messages import Entry, Ready, Snapshot
from barleybarrow.incarnations import Incarnation
from brackenusher.group.database import DatabaseDamagedError, DatabaseFile, checksum
from brackenusher.runtime.points import failpoint


@dataclass
class StoredState:
    """Contents of the store."""

    term: int = 0
    vote: str = ""
    lives: int = 0  # how often the store was opened
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    met: dict[str, Incarnation] = field(default_factory=dict)


class Store(DatabaseFile):
    """The file of a voter."""

    NAME = "agreement.db"
    TABLES = (
        "CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, "
        "data BLOB, sum BLOB)",
    )

    def load(self) -> StoredState:
        """Raises DatabaseDamagedError."""
        facts = self.read_facts()
        try:
            return self.decode(facts)
        except (DecodeError, ValueError, TypeError) as error:
            raise DatabaseDamagedError(str(error)) from error

    def decode(self, facts: dict[str, Any]) -> StoredState:
        stored = StoredState(facts.get("term", 0), facts.get("vote", ""), facts.get("lives", 0))
        for name, incarnation in facts.get("met", {}).items():
            stored.met[str(name)] = (
                Incarnation(*incarnation) if isinstance(incarnation, list) else Incarnation(int(incarnation))
            )
        if "snapshot" in facts:
            stored.snapshot = msgpack.decode(facts["snapshot"], type=Snapshot)
        index = stored.snapshot.index if stored.snapshot is not None else 0
        for at, term, kind, data, stored_checksum in self.db.execute(
            "SELECT place, term, kind, data, sum FROM log WHERE place > ? ORDER BY place", (index,)
        ):
            index += 1
            if at != index or checksum(at, term, kind, data) != stored_checksum:
                raise DatabaseDamagedError(f"entry {at} of the log")
            stored.entries.append(Entry(term, kind, data))
        return stored

    def keep(self, ready: Ready) -> None:
        """Stores the output of the state machine atomically. Raises OSError, sqlite3.Error."""
        failpoint("before-store")
        with self.transaction():
            if ready.hard_state is not None:
                self.put_fact("term", ready.hard_state[0])
                self.put_fact("vote", ready.hard_state[1])
            if ready.snapshot is not None:
                self.put_fact("snapshot", msgpack.encode(ready.snapshot))
                self.db.execute("DELETE FROM log")
            if ready.entries:
                self.db.execute("DELETE FROM log WHERE place >= ?", (ready.first_index,))
                rows = [
                    (at, e.term, e.kind, e.data, checksum(at, e.term, e.kind, e.data))
                    for at, e in enumerate(ready.entries, ready.first_index)
                ]
                self.db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)
        failpoint("after-store")

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the log up to a snapshot with it. Raises OSError, sqlite3.Error."""
        with self.transaction():
            self.put_fact("snapshot", msgpack.encode(snapshot))
            self.db.execute("DELETE FROM log WHERE place <= ?", (snapshot.index,))
