"""Bounded byte pipes from one peer to another, and the memory budget that they share.

Independent of sockets and protocols. The writer stops while a pipe is full, the reader waits while it is
empty, and each wakes the other. A pipe ends once: complete, broken off by its writer, or given up by its
reader.
"""

from collections.abc import Callable
from enum import Enum

MIN_WINDOW_BYTES = 16 * 1024  # of each pipe, for any number of pipes
MAX_WINDOW_BYTES = 128 * 1024  # of each pipe
MAX_REPLAYABLE_BYTES = 1024 * 1024  # of a body that is buffered completely, so that it can be sent again


def no_op() -> None:
    """Default callback: there is nobody to wake."""


class PipeBudget:
    """Memory budget of request and response bodies beyond the minimum that each may always use."""

    def __init__(self, total: int) -> None:
        self.total_bytes, self.buffered_body_bytes, self.open_pipes = total, 0, 0
        self.broken_pipes = self.opened_pipes = 0  # since the start

    def may_buffer(self, size: int) -> bool:
        """Whether a body that has grown to `size` bytes may be buffered completely."""
        return size <= MAX_REPLAYABLE_BYTES and self.buffered_body_bytes + size <= self.total_bytes // 2

    @property
    def window_bytes(self) -> int:
        """The number of bytes that each pipe may hold now."""
        return min(max(self.total_bytes // 2 // max(self.open_pipes, 1), MIN_WINDOW_BYTES), MAX_WINDOW_BYTES)


class PipeEnd(Enum):
    """How a pipe ended."""

    WHOLE = "whole"
    BROKEN = "broken"  # its writer failed
    GIVEN_UP = "given up"  # its reader is gone


class Pipe:
    """One request or response body in transit."""

    __slots__ = (
        "budget",
        "chunks",
        "held_bytes",
        "received_bytes",
        "complete",
        "broken",
        "closed",
        "end",
        "on_end",
        "wake_reader",
        "wake_writer",
    )

    def __init__(self, budget: PipeBudget) -> None:
        self.budget = budget
        self.chunks: list[bytes] = []
        self.held_bytes = self.received_bytes = 0  # bytes held now, and bytes written so far
        self.complete = self.broken = self.closed = False
        self.end: PipeEnd | None = None
        self.on_end: list[Callable[[PipeEnd], None]] = []  # called once with the way it ended
        self.wake_reader: Callable[[], None] = no_op
        self.wake_writer: Callable[[], None] = no_op
        budget.open_pipes += 1
        budget.opened_pipes += 1

    # Writer's side

    @property
    def full(self) -> bool:
        return self.held_bytes >= self.budget.window_bytes

    def write(self, chunk: bytes) -> None:
        if not self.closed:
            self.chunks.append(chunk)
            self.held_bytes += len(chunk)
            self.received_bytes += len(chunk)
            self.wake_reader()

    def finish(self) -> None:
        """End the pipe as complete."""
        self.complete = True
        self.wake_reader()

    def fail(self) -> None:
        """End the pipe as incomplete."""
        if not self.complete and not self.broken:
            self.broken = True
            self.wake_reader()

    # Reader's side

    @property
    def exhausted(self) -> bool:
        """Whether nothing is left to read and nothing more will follow."""
        return not self.chunks and (self.complete or self.broken)

    def read(self) -> bytes:
        """Take all bytes held."""
        data = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self.chunks, self.held_bytes = [], 0
        self.wake_writer()
        return data

    def close(self, end: PipeEnd = PipeEnd.GIVEN_UP) -> None:
        """End the reader's side: it is gone, or has read everything. Only the first call counts."""
        if self.end is not None:
            return
        self.end, self.closed, self.chunks, self.held_bytes = end, True, [], 0
        self.budget.open_pipes -= 1
        self.budget.broken_pipes += end is not PipeEnd.WHOLE
        self.wake_writer()
        for callback in self.on_end:
            callback(end)
