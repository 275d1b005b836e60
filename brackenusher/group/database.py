"""A file that outlives a loss of power: SQLite in write-ahead mode, synced at each commit, and its thread.

Each row carries a check sum; a file that does not hold together is set aside, and its owner begins anew. All
work on it is done by a thread of its own, so that the loop never waits.
"""

import contextlib
import hashlib
import logging
import os
import queue
import socket
import sqlite3
import threading
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

from msgspec import DecodeError, msgpack

from brackenusher.runtime.log import log_event
from brackenusher.runtime.points import disk_failpoint

log = logging.getLogger(__name__)


class DatabaseDamagedError(Exception):
    """The file does not hold together; the text says where."""


def check(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


class File:
    """One file in a folder, for one thread: the worker's, once it runs."""

    NAME = ""
    FORM = 1  # another form gets another number
    TABLES: tuple[str, ...] = ()

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, self.NAME)
        self.db = self.open()

    def open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False, timeout=1.0)
        try:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute("CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value BLOB, sum BLOB)")
            for table in self.TABLES:
                db.execute(table)
        except sqlite3.Error:
            db.close()
            raise
        return db

    def whole(self) -> dict[str, Any]:
        """The facts, of a file that holds together. Raises DatabaseDamagedError."""
        try:
            if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise DatabaseDamagedError("the file's own check fails")
            facts = {}
            for name, value, found in self.db.execute("SELECT name, value, sum FROM facts"):
                if check(name, value) != found:
                    raise DatabaseDamagedError(f"the check sum of {name}")
                facts[name] = msgpack.decode(value)
        except (sqlite3.Error, DecodeError, ValueError, TypeError) as error:
            raise DatabaseDamagedError(str(error)) from error
        if facts.get("form", self.FORM) != self.FORM:
            raise DatabaseDamagedError(f"form {facts['form']}, and this release reads {self.FORM}")
        return facts

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

    @contextlib.contextmanager
    def durably(self) -> Iterator[None]:
        """All that is done within is on disk after it, or nothing. Raises OSError, sqlite3.Error."""
        disk_failpoint()
        self.db.execute("BEGIN IMMEDIATE")
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def fact(self, name: str, value: object) -> None:
        data = msgpack.encode(value)
        row = (name, data, check(name, data))
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", row)

    def facts(self, **values: object) -> None:
        """Make some facts durable. Raises OSError, sqlite3.Error."""
        with self.durably():
            for name, value in values.items():
                self.fact(name, value)
            self.fact("form", self.FORM)


F = TypeVar("F", bound=File)
K = TypeVar("K")


def opened(make: type[F], load: Callable[[F], K], folder: str, what: str) -> tuple[F, K | None]:
    """A file and what it holds; None where it was damaged, and is set aside. Raises ValueError."""
    try:
        os.makedirs(folder, exist_ok=True)
        try:
            file = make(folder)
        except sqlite3.DatabaseError as error:
            why, path = str(error), os.path.join(folder, make.NAME)
            for end in ("", "-wal", "-shm"):
                if os.path.exists(path + end):
                    os.replace(path + end, path + ".damaged" + end)
            file, aside = make(folder), path + ".damaged"
        else:
            try:
                return file, load(file)
            except DatabaseDamagedError as error:
                why, aside = str(error), file.set_aside()
    except (OSError, sqlite3.Error) as error:
        raise ValueError(f"{what}.folder: {folder}: {error}") from error
    text = "%(what)s: %(file)s does not hold together (%(why)s): set aside as %(aside)s"
    log_event(log, logging.ERROR, "store_damaged", text, what=what, file=file.path, why=why, aside=aside)
    return file, None


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
