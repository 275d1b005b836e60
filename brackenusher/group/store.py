"""What a voter must not forget: term, vote, log and snapshot."""

from dataclasses import dataclass, field
from typing import Any

from msgspec import DecodeError, msgpack

from barleybarrow.agreement_messages import Entry, Ready, Snapshot
from barleybarrow.incarnations import Incarnation
from brackenusher.group.database import DatabaseDamagedError, File, check
from brackenusher.runtime.points import failpoint


@dataclass
class Kept:
    """What was stored."""

    term: int = 0
    vote: str = ""
    lives: int = 0  # how often this store was opened
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    met: dict[str, Incarnation] = field(default_factory=dict)


class Store(File):
    """A voter's file."""

    NAME = "agreement.db"
    TABLES = (
        "CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, "
        "data BLOB, sum BLOB)",
    )

    def load(self) -> Kept:
        """Raises DatabaseDamagedError."""
        facts = self.whole()
        try:
            return self.read(facts)
        except (DecodeError, ValueError, TypeError) as error:
            raise DatabaseDamagedError(str(error)) from error

    def read(self, facts: dict[str, Any]) -> Kept:
        kept = Kept(facts.get("term", 0), facts.get("vote", ""), facts.get("lives", 0))
        for name, life in facts.get("met", {}).items():
            kept.met[str(name)] = Incarnation(*life) if isinstance(life, list) else Incarnation(int(life))
        if "snapshot" in facts:
            kept.snapshot = msgpack.decode(facts["snapshot"], type=Snapshot)
        place = kept.snapshot.index if kept.snapshot is not None else 0
        for at, term, kind, data, found in self.db.execute(
            "SELECT place, term, kind, data, sum FROM log WHERE place > ? ORDER BY place", (place,)
        ):
            place += 1
            if at != place or check(at, term, kind, data) != found:
                raise DatabaseDamagedError(f"entry {at} of the log")
            kept.entries.append(Entry(term, kind, data))
        return kept

    def keep(self, ready: Ready) -> None:
        """Make durable what the machine wants kept, all of it or nothing. Raises OSError, sqlite3.Error."""
        failpoint("before-store")
        with self.durably():
            if ready.hard_state is not None:
                self.fact("term", ready.hard_state[0])
                self.fact("vote", ready.hard_state[1])
            if ready.snapshot is not None:
                self.fact("snapshot", msgpack.encode(ready.snapshot))
                self.db.execute("DELETE FROM log")
            if ready.entries:
                self.db.execute("DELETE FROM log WHERE place >= ?", (ready.first_index,))
                rows = [
                    (at, e.term, e.kind, e.data, check(at, e.term, e.kind, e.data))
                    for at, e in enumerate(ready.entries, ready.first_index)
                ]
                self.db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)
        failpoint("after-store")

    def compact(self, snapshot: Snapshot) -> None:
        """Put a snapshot in the place of what came up to it. Raises OSError, sqlite3.Error."""
        with self.durably():
            self.fact("snapshot", msgpack.encode(snapshot))
            self.db.execute("DELETE FROM log WHERE place <= ?", (snapshot.index,))
