"""Asynchronous writing of lines: one thread writes from bounded queues, so that the event loop never blocks.

Epoll cannot watch regular files, and standard error is shared with processes that expect it to block. A full
queue drops lines and counts them. Only the event loop's thread adds lines; each counter is changed by one
thread only.
"""

import logging
import os
import queue
import sys
import threading
from collections.abc import Callable

from brackenusher.runtime.timers import Entry, Timers

PIECE = 4096  # PIPE_BUF: writes up to this size are atomic, so that no line is split or interleaved
BATCH = 32 * 1024  # passed to the writer without delay
SPAN = 100.0  # milliseconds that a line may wait to be batched
LAST_SPAN = 0.3  # seconds that shutdown waits for unwritten lines
LOG_ROOM = 64 * 1024

# Takes chunks of whole lines; raises if none could be written, or returns how many could not.
Write = Callable[[list[bytes]], int | None]


def write_whole(fd: int, data: bytes) -> None:
    while data:
        data = data[os.write(fd, data) :]


def to_stderr(pieces: list[bytes]) -> None:
    if sys.stderr is None:  # closed at start: descriptor 2 may be another file by now
        raise OSError("no standard error")
    for piece in pieces:
        write_whole(2, piece)


class Channel:
    """A bounded queue of lines for one target."""

    def __init__(self, outlet: "Outlet", write: Write, room: int, piece: int = PIECE) -> None:
        self.outlet, self.write, self.room, self.piece = outlet, write, room, piece
        self.pieces: list[bytearray] = []
        self.size, self.count = 0, 0
        self.limit: Entry | None = None
        self.taken = self.refused = (
            0  # bytes queued, and items dropped as the queue was full; changed by the loop's thread
        )
        self.done = self.failed = (
            0  # bytes written, and items that could not be; changed by the writer's thread
        )

    @property
    def dropped(self) -> int:
        return self.refused + self.failed

    def fits(self, size: int) -> bool:
        return self.size + self.taken - self.done + size <= self.room

    def put(self, lines: bytes) -> bool:
        """Queue whole lines as one item; False, and counted, if they do not fit."""
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
        """Pass the queued lines to the writer, which then calls `before` ahead of any later lines."""
        self.outlet.deadlines.remove(self.limit)
        self.limit = None
        if self.pieces:
            self.outlet.queue.put((self, self.write, self.pieces, self.size, self.count))
            self.taken += self.size
            self.pieces, self.size, self.count = [], 0, 0
        if before is not None:
            self.outlet.queue.put((self, lambda _: before(), [], 0, 0))


class Outlet:
    """Writes to standard error and files from one daemon thread."""

    def __init__(self, deadlines: Timers, clock: Callable[[], float]) -> None:
        self.deadlines, self.clock = deadlines, clock
        self.queue: queue.SimpleQueue = queue.SimpleQueue()
        self.channels: list[Channel] = []
        self.ended = threading.Event()

    def channel(self, write: Write, room: int, piece: int = PIECE) -> Channel:
        """Open a channel; the first one starts the writer thread."""
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
            except Exception:  # a failed batch must not stop the writer
                channel.failed += count
            channel.done += size
        self.ended.set()

    def close(self) -> None:
        """Write the remaining lines; gives up after a short time, as the reader of a pipe may be stuck."""
        if self.channels:
            for channel in self.channels:
                channel.flush()
            self.queue.put(None)
            self.ended.wait(LAST_SPAN)

    def take_log(self) -> None:
        """Write the log through a channel if standard error has one: a direct write could block the loop."""
        if any(channel.write is to_stderr for channel in self.channels):
            root = logging.getLogger()
            handler = LogHandler(self.channel(to_stderr, LOG_ROOM))
            for old in [old for old in root.handlers if isinstance(old, logging.StreamHandler)]:
                handler.setFormatter(old.formatter)
                root.removeHandler(old)
            root.addHandler(handler)


class LogHandler(logging.Handler):
    """Writes log lines to a channel."""

    def __init__(self, channel: Channel) -> None:
        super().__init__()
        self.channel = channel

    def emit(self, record: logging.LogRecord) -> None:
        self.channel.put(self.format(record).encode("utf-8", "replace") + b"\n")
        self.channel.flush()
