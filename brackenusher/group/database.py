"""Crash-safe SQLite files in write-ahead mode, synced at each commit, and the thread that writes them.

Each row carries a checksum; a corrupt file is set aside and its owner starts with an empty one. All access is
on a dedicated thread, so that the event loop never blocks.
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
    """The file is corrupt; the text says where."""


def checksum(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


class DatabaseFile:
    """One database file, used from one thread: the worker's, once that runs."""

    NAME = ""
    FORMAT_VERSION = 1  # changes with every incompatible change of the format
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

    def read_facts(self) -> dict[str, Any]:
        """Checks the file and returns its facts. Raises DatabaseDamagedError."""
        try:
            if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise DatabaseDamagedError("the file's own check fails")
            facts = {}
            for name, value, stored_checksum in self.db.execute("SELECT name, value, sum FROM facts"):
                if checksum(name, value) != stored_checksum:
                    raise DatabaseDamagedError(f"the check sum of {name}")
                facts[name] = msgpack.decode(value)
        except (sqlite3.Error, DecodeError, ValueError, TypeError) as error:
            raise DatabaseDamagedError(str(error)) from error
        if facts.get("form", self.FORMAT_VERSION) != self.FORMAT_VERSION:
            raise DatabaseDamagedError(f"form {facts['form']}, and this release reads {self.FORMAT_VERSION}")
        return facts

    def set_aside(self) -> str:
        """Renames a corrupt file and creates an empty one. Raises OSError, sqlite3.Error."""
        self.db.close()
        damaged_path = self.path + ".damaged"
        for suffix in ("-wal", "-shm"):
            if os.path.exists(self.path + suffix):
                os.replace(self.path + suffix, damaged_path + suffix)
        os.replace(self.path, damaged_path)
        self.db = self.open()
        return damaged_path

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        """Makes the statements of the block durable atomically. Raises OSError, sqlite3.Error."""
        disk_failpoint()
        self.db.execute("BEGIN IMMEDIATE")
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def put_fact(self, name: str, value: object) -> None:
        data = msgpack.encode(value)
        row = (name, data, checksum(name, data))
        self.db.execute("INSERT OR REPLACE INTO facts VALUES (?, ?, ?)", row)

    def facts(self, **values: object) -> None:
        """Stores facts durably, by name. Raises OSError, sqlite3.Error."""
        with self.transaction():
            for name, value in values.items():
                self.put_fact(name, value)
            self.put_fact("form", self.FORMAT_VERSION)


FileT = TypeVar("FileT", bound=DatabaseFile)
ContentsT = TypeVar("ContentsT")


def opened(
    file_type: type[FileT], load: Callable[[FileT], ContentsT], folder: str, section: str
) -> tuple[FileT, ContentsT | None]:
    """Opens a file and returns its contents; None if it was corrupt and set aside. Raises ValueError."""
    try:
        os.makedirs(folder, exist_ok=True)
        try:
            file = file_type(folder)
        except sqlite3.DatabaseError as error:
            why, path = str(error), os.path.join(folder, file_type.NAME)
            for suffix in ("", "-wal", "-shm"):
                if os.path.exists(path + suffix):
                    os.replace(path + suffix, path + ".damaged" + suffix)
            file, damaged_path = file_type(folder), path + ".damaged"
        else:
            try:
                return file, load(file)
            except DatabaseDamagedError as error:
                why, damaged_path = str(error), file.set_aside()
    except (OSError, sqlite3.Error) as error:
        raise ValueError(f"{section}.folder: {folder}: {error}") from error
    text = "%(what)s: %(file)s does not hold together (%(why)s): set aside as %(aside)s"
    log_event(
        log, logging.ERROR, "store_damaged", text, what=section, file=file.path, why=why, aside=damaged_path
    )
    return file, None


Job = tuple[Callable[[], None], Callable[[str], None]]


class Worker:
    """The store's thread; results of its jobs are delivered on the event loop's thread, in order."""

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[Job | None] = queue.SimpleQueue()
        self.completed: queue.SimpleQueue[tuple[Callable[[str], None], str]] = queue.SimpleQueue()
        self.loop_socket, self.thread_socket = socket.socketpair()
        self.loop_socket.setblocking(False)
        self.thread_socket.setblocking(False)
        self.pending_jobs = 0
        threading.Thread(target=self.run_jobs, name="store", daemon=True).start()

    def submit(self, job: Callable[[], None], then: Callable[[str], None]) -> None:
        """Queues a job; `then` gets the reason of a failure, or an empty string."""
        self.pending_jobs += 1
        self.jobs.put((job, then))

    def run_jobs(self) -> None:
        while (item := self.jobs.get()) is not None:
            job, then = item
            why = ""
            try:
                job()
            except (OSError, sqlite3.Error) as error:
                why = str(error) or type(error).__name__
            self.completed.put((then, why))
            try:
                self.thread_socket.send(b"x")
            except OSError:  # full, so the loop will be woken anyway; or closed
                pass

    def run_callbacks(self) -> None:
        """Called by the event loop when `loop_socket` is readable."""
        try:
            self.loop_socket.recv(4096)
        except BlockingIOError:
            pass
        while not self.completed.empty():
            then, why = self.completed.get()
            self.pending_jobs -= 1
            then(why)

    def close(self) -> None:
        self.jobs.put(None)
