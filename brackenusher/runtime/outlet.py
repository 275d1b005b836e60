"""The one way out for lines: a bounded outlet whose only thread writes, so that the loop never waits.

Epoll cannot watch a regular file, and standard error is shared with others who must not find it non-blocking.
What is full drops and counts. Only the loop's thread puts lines in; each counter is changed by one thread.
"""

import logging
import os
import queue
import sys
import threading
from collections.abc import Callable

from brackenusher.runtime.timers import Entry, Timers

PIECE = 4096  # a pipe takes so much in one go or not at all: no line is cut, or mixed with somebody else's
BATCH = 32 * 1024  # handed over at once
SPAN = 100.0  # milliseconds that a line waits for others at most
LAST_SPAN = 0.3  # seconds that the program's end waits for what is not written yet
LOG_ROOM = 64 * 1024

# takes whole lines in pieces; raises where none can be written, or returns how many could not
Write = Callable[[list[bytes]], int | None]


def write_whole(fd: int, data: bytes) -> None:
    while data:
        data = data[os.write(fd, data) :]


def to_stderr(pieces: list[bytes]) -> None:
    if sys.stderr is None:  # closed from the start: the number may be anybody's now
        raise OSError("no standard error")
    for piece in pieces:
        write_whole(2, piece)


class Channel:
    """A bounded share of the outlet, toward one target."""

    def __init__(self, outlet: "Outlet", write: Write, room: int, piece: int = PIECE) -> None:
        self.outlet, self.write, self.room, self.piece = outlet, write, room, piece
        self.pieces: list[bytearray] = []
        self.size, self.count = 0, 0
        self.limit: Entry | None = None
        self.taken = self.refused = 0  # bytes, and items for which there was no room: the loop's thread
        self.done = self.failed = 0  # bytes, and items that could not be written: the writer's

    @property
    def dropped(self) -> int:
        return self.refused + self.failed

    def fits(self, size: int) -> bool:
        return self.size + self.taken - self.done + size <= self.room

    def put(self, lines: bytes) -> bool:
        """Take whole lines as one item; False, and counted, where there is no room."""
        if not self.fits(len(lines)):
            self.refused += 1
            return False
        if self.pieces and len(self.pieces[-1]) + len(lines) <= self.piece:
            self.pieces[-1] += lines
        else:
            self.pieces.append(bytearray(lines))
        self.size += len(lines)
        self.count += 1
        if self.size >= BATCH:
            self.flush()
        elif self.limit is None:
            self.limit = self.outlet.deadlines.add(self.outlet.clock() + SPAN, self.flush)
        return True

    def flush(self, before: Callable[[], None] | None = None) -> None:
        """Hand over what is here; `before` is called by the writer ahead of what comes after it."""
        self.outlet.deadlines.remove(self.limit)
        self.limit = None
        if self.pieces:
            self.outlet.queue.put((self, self.write, self.pieces, self.size, self.count))
            self.taken += self.size
            self.pieces, self.size, self.count = [], 0, 0
        if before is not None:
            self.outlet.queue.put((self, lambda _: before(), [], 0, 0))


class Outlet:
    """Serves standard error and files with one daemon thread."""

    def __init__(self, deadlines: Timers, clock: Callable[[], float]) -> None:
        self.deadlines, self.clock = deadlines, clock
        self.queue: queue.SimpleQueue = queue.SimpleQueue()
        self.channels: list[Channel] = []
        self.ended = threading.Event()

    def channel(self, write: Write, room: int, piece: int = PIECE) -> Channel:
        """Open a channel; the first one starts the thread."""
        if not self.channels:
            threading.Thread(target=self.run, name="outlet", daemon=True).start()
        channel = Channel(self, write, room, piece)
        self.channels.append(channel)
        return channel

    def run(self) -> None:
        while (item := self.queue.get()) is not None:
            channel, write, pieces, size, count = item
            try:
                channel.failed += write(pieces) or 0
            except Exception:  # whatever it was, the next batch has its own chance
                channel.failed += count
            channel.done += size
        self.ended.set()

    def close(self) -> None:
        """Have the rest written, but wait no longer than a moment: a reader may be stuck."""
        if self.channels:
            for channel in self.channels:
                channel.flush()
            self.queue.put(None)
            self.ended.wait(LAST_SPAN)

    def take_log(self) -> None:
        """Lead the log through here: beside what else fills standard error it could block the loop."""
        if any(channel.write is to_stderr for channel in self.channels):
            root = logging.getLogger()
            handler = LogHandler(self.channel(to_stderr, LOG_ROOM))
            for old in [old for old in root.handlers if isinstance(old, logging.StreamHandler)]:
                handler.setFormatter(old.formatter)
                root.removeHandler(old)
            root.addHandler(handler)


class LogHandler(logging.Handler):
    """Puts the log's lines into a channel."""

    def __init__(self, channel: Channel) -> None:
        super().__init__()
        self.channel = channel

    def emit(self, record: logging.LogRecord) -> None:
        self.channel.put(self.format(record).encode("utf-8", "replace") + b"\n")
        self.channel.flush()
