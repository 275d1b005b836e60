"""What a voter must not forget: term, vote, log and snapshot, in a file that outlives a loss of power.

SQLite in write-ahead mode, synced at each commit, on a thread of its own, so that the loop never waits. Each
row carries a check sum; a file that does not hold together is set aside and its owner begins without a vote.
"""

import hashlib
import os
import queue
import socket
import sqlite3
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import DecodeError, msgpack

from barleybarrow.agreement import Entry, Ready, Snapshot
from brackenusher.runtime.points import disk, reach

FORM = 1  # of the file; another form gets another number
NAME = "agreement.db"
MOST_JOBS = 1024


class Damaged(Exception):
    """The file does not hold together; the text says where."""


@dataclass
class Kept:
    """What was stored."""

    term: int = 0
    vote: str = ""
    lives: int = 0  # how often this store was opened
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    met: dict[str, int] = field(default_factory=dict)  # by name, the greatest `lives` that one has shown


def check(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


class Store:
    """One file in a folder, for one thread: the store's own, once it runs."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, NAME)
        self.db = self.open()

    def open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=1.0)
        try:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute("CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value BLOB, sum BLOB)")
            db.execute(
                "CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, "
                "data BLOB, sum BLOB)"
            )
        except sqlite3.Error:
            db.close()
            raise
        return db

    def load(self) -> Kept:
        """Raises Damaged."""
        try:
            if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise Damaged("the file's own check fails")
            return self.read()
        except (sqlite3.Error, DecodeError, ValueError, TypeError) as error:
            raise Damaged(str(error)) from error

    def read(self) -> Kept:
        facts = {}
        for name, value, found in self.db.execute("SELECT name, value, sum FROM facts"):
            if check(name, value) != found:
                raise Damaged(f"the check sum of {name}")
            facts[name] = msgpack.decode(value)
        if facts.get("form", FORM) != FORM:
            raise Damaged(f"form {facts['form']}, and this release reads {FORM}")
        kept = Kept(facts.get("term", 0), facts.get("vote", ""), facts.get("lives", 0))
        kept.met = {str(k): int(v) for k, v in facts.get("met", {}).items()}
        if "snapshot" in facts:
            kept.snapshot = msgpack.decode(facts["snapshot"], type=Snapshot)
        place = kept.snapshot.index if kept.snapshot is not None else 0
        for at, term, kind, data, found in self.db.execute(
            "SELECT place, term, kind, data, sum FROM log WHERE place > ? ORDER BY place", (place,)
        ):
            place += 1
            if at != place or check(at, term, kind, data) != found:
                raise Damaged(f"entry {at} of the log")
            kept.entries.append(Entry(term, kind, data))
        return kept

    def set_aside(self) -> str:
        """Put a damaged file where nobody reads it, and begin an empty one. Raises OSError, sqlite3.Error."""
        self.db.close()
        aside = self.path + ".damaged"
        for end in ("-wal", "-shm"):
            if os.path.exists(self.path + end):
                os.replace(self.path + end, aside + end)
        os.replace(self.path, aside)
        self.db = self.open()
        return aside

    def fact(self, name: str, value: object) -> None:
        data = msgpack.encode(value)
        row = (name, data, check(name, data))
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", row)

    def facts(self, **values: object) -> None:
        """Make some facts durable. Raises OSError, sqlite3.Error."""
        disk()
        self.db.execute("BEGIN IMMEDIATE")
        try:
            for name, value in values.items():
                self.fact(name, value)
            self.fact("form", FORM)
            self.db.execute("COMMIT")
        except BaseException:
            self.undo()
            raise

    def undo(self) -> None:
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")

    def keep(self, ready: Ready) -> None:
        """Make durable what the machine wants kept, all of it or nothing. Raises OSError, sqlite3.Error."""
        reach("before-store")
        disk()
        self.db.execute("BEGIN IMMEDIATE")
        try:
            if ready.hard is not None:
                self.fact("term", ready.hard[0])
                self.fact("vote", ready.hard[1])
            if ready.snapshot is not None:
                self.fact("snapshot", msgpack.encode(ready.snapshot))
                self.db.execute("DELETE FROM log")
            if ready.entries:
                self.db.execute("DELETE FROM log WHERE place >= ?", (ready.first,))
                rows = [
                    (at, e.term, e.kind, e.data, check(at, e.term, e.kind, e.data))
                    for at, e in enumerate(ready.entries, ready.first)
                ]
                self.db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)
            self.db.execute("COMMIT")
        except BaseException:
            self.undo()
            raise
        reach("after-store")

    def compact(self, snapshot: Snapshot) -> None:
        """Put a snapshot in the place of what came up to it. Raises OSError, sqlite3.Error."""
        disk()
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.fact("snapshot", msgpack.encode(snapshot))
            self.db.execute("DELETE FROM log WHERE place <= ?", (snapshot.index,))
            self.db.execute("COMMIT")
        except BaseException:
            self.undo()
            raise


Job = tuple[Callable[[], None], Callable[[str], None]]


class Worker:
    """The store's thread. A job is done there; how it went is told on the loop's thread, in order."""

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self.done: queue.SimpleQueue[tuple[Callable[[str], None], str]] = queue.SimpleQueue()
        self.ours, self.theirs = socket.socketpair()
        self.ours.setblocking(False)
        self.theirs.setblocking(False)
        self.waiting = 0
        threading.Thread(target=self.run, name="store", daemon=True).start()

    def put(self, job: Callable[[], None], then: Callable[[str], None]) -> None:
        """`then` is told why it failed, or nothing."""
        self.waiting += 1
        self.jobs.put((job, then))

    def run(self) -> None:
        while (item := self.jobs.get()) is not None:
            job, then = item
            why = ""
            try:
                job()
            except (OSError, sqlite3.Error) as error:
                why = str(error) or type(error).__name__
            self.done.put((then, why))
            try:
                self.theirs.send(b"x")
            except OSError:  # full: the loop has news waiting already; or closed
                pass

    def finish(self) -> None:
        """Called by the loop's thread where `ours` can be read."""
        try:
            self.ours.recv(4096)
        except BlockingIOError:
            pass
        while not self.done.empty():
            then, why = self.done.get()
            self.waiting -= 1
            then(why)

    def close(self) -> None:
        self.jobs.put(None)
