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

from brackenusher.runtime.timers import Timer, Timers

ATOMIC_WRITE_BYTES = 4096  # PIPE_BUF: smaller writes are atomic, so no line is split or interleaved
FLUSH_BYTES = 32 * 1024  # a batch of this size is passed to the writer without delay
FLUSH_DELAY_MS = 100.0  # that a line may wait to be batched
CLOSE_TIMEOUT_S = 0.3  # that shutdown waits for unwritten lines
LOG_CAPACITY_BYTES = 64 * 1024

# Takes chunks of whole lines; raises if none could be written, or returns how many could not.
Write = Callable[[list[bytes]], int | None]


def write_all(fd: int, data: bytes) -> None:
    while data:
        data = data[os.write(fd, data) :]


def write_stderr(chunks: list[bytes]) -> None:
    if sys.stderr is None:  # closed at start: descriptor 2 may be another file by now
        raise OSError("no standard error")
    for chunk in chunks:
        write_all(2, chunk)


class Channel:
    """A bounded queue of lines for one target."""

    def __init__(
        self, writer: "LineWriter", write: Write, capacity_bytes: int, chunk_bytes: int = ATOMIC_WRITE_BYTES
    ) -> None:
        self.writer, self.write, self.capacity_bytes, self.chunk_bytes = (
            writer,
            write,
            capacity_bytes,
            chunk_bytes,
        )
        self.chunks: list[bytearray] = []
        self.buffered_bytes, self.item_count = 0, 0
        self.flush_timer: Timer | None = None
        # changed by the loop's thread: bytes passed to the writer, and items dropped as the queue was full
        self.submitted_bytes = self.refused_items = 0
        # changed by the writer's thread: bytes taken from the queue, and items that could not be written
        self.written_bytes = self.failed_items = 0

    @property
    def dropped(self) -> int:
        return self.refused_items + self.failed_items

    def fits(self, size: int) -> bool:
        return self.buffered_bytes + self.submitted_bytes - self.written_bytes + size <= self.capacity_bytes

    def put(self, lines: bytes) -> bool:
        """Queue whole lines as one item; False, and counted, if they do not fit."""
        if not self.fits(len(lines)):
            self.refused_items += 1
            return False
        if self.chunks and len(self.chunks[-1]) + len(lines) <= self.chunk_bytes:
            self.chunks[-1] += lines
        else:
            self.chunks.append(bytearray(lines))
        self.buffered_bytes += len(lines)
        self.item_count += 1
        if self.buffered_bytes >= FLUSH_BYTES:
            self.flush()
        elif self.flush_timer is None:
            self.flush_timer = self.writer.timers.add(self.writer.clock() + FLUSH_DELAY_MS, self.flush)
        return True

    def flush(self, then: Callable[[], None] | None = None) -> None:
        """Pass the queued lines to the writer, which calls `then` before any later lines."""
        self.writer.timers.remove(self.flush_timer)
        self.flush_timer = None
        if self.chunks:
            self.writer.queue.put((self, self.write, self.chunks, self.buffered_bytes, self.item_count))
            self.submitted_bytes += self.buffered_bytes
            self.chunks, self.buffered_bytes, self.item_count = [], 0, 0
        if then is not None:
            self.writer.queue.put((self, lambda _: then(), [], 0, 0))


class LineWriter:
    """Writes to standard error and files from one daemon thread."""

    def __init__(self, timers: Timers, clock: Callable[[], float]) -> None:
        self.timers, self.clock = timers, clock
        self.queue: queue.SimpleQueue = queue.SimpleQueue()
        self.channels: list[Channel] = []
        self.closed = threading.Event()

    def open_channel(
        self, write: Write, capacity_bytes: int, chunk_bytes: int = ATOMIC_WRITE_BYTES
    ) -> Channel:
        """Open a channel; the first one starts the writer thread."""
        if not self.channels:
            threading.Thread(target=self.run, name="outlet", daemon=True).start()
        channel = Channel(self, write, capacity_bytes, chunk_bytes)
        self.channels.append(channel)
        return channel

    def run(self) -> None:
        while (item := self.queue.get()) is not None:
            channel, write, chunks, size, count = item
            try:
                channel.failed_items += write(chunks) or 0
            except Exception:  # a failed batch must not stop the writer
                channel.failed_items += count
            channel.written_bytes += size
        self.closed.set()

    def close(self) -> None:
        """Write the remaining lines; gives up after a short time, as the reader of a pipe may be stuck."""
        if self.channels:
            for channel in self.channels:
                channel.flush()
            self.queue.put(None)
            self.closed.wait(CLOSE_TIMEOUT_S)

    def redirect_log(self) -> None:
        """Write the log through a channel if standard error has one: a direct write could block the loop."""
        if any(channel.write is write_stderr for channel in self.channels):
            root = logging.getLogger()
            handler = LogHandler(self.open_channel(write_stderr, LOG_CAPACITY_BYTES))
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
