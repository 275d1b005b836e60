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


def nothing() -> None:
    """Default callback: there is nobody to wake."""


class Budget:
    """Memory budget of request and response bodies beyond the minimum that each may always use."""

    def __init__(self, total: int) -> None:
        self.total_bytes, self.kept, self.pipes = total, 0, 0
        self.broken_pipes = self.opened_pipes = 0  # since the start

    def may_keep(self, size: int) -> bool:
        """Whether a body that has grown to `size` bytes may be buffered completely."""
        return size <= MAX_REPLAYABLE_BYTES and self.kept + size <= self.total_bytes // 2

    @property
    def window_bytes(self) -> int:
        """The number of bytes that each pipe may hold now."""
        return min(max(self.total_bytes // 2 // max(self.pipes, 1), MIN_WINDOW_BYTES), MAX_WINDOW_BYTES)


class End(Enum):
    """How a pipe ended."""

    WHOLE = "whole"
    BROKEN = "broken"  # its writer failed
    GIVEN_UP = "given up"  # its reader is gone


class Pipe:
    """One request or response body in transit."""

    __slots__ = (
        "budget",
        "parts",
        "held_bytes",
        "came",
        "whole",
        "broken",
        "closed",
        "end",
        "tell",
        "to_reader",
        "to_writer",
    )

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.parts: list[bytes] = []
        self.held_bytes = self.came = 0  # bytes held now, and bytes written so far
        self.whole = self.broken = self.closed = False
        self.end: End | None = None
        self.tell: list[Callable[[End], None]] = []  # called once with the way it ended
        self.to_reader: Callable[[], None] = nothing
        self.to_writer: Callable[[], None] = nothing
        budget.pipes += 1
        budget.opened_pipes += 1

    # Writer's side

    @property
    def full(self) -> bool:
        return self.held_bytes >= self.budget.window_bytes

    def put(self, chunk: bytes) -> None:
        if not self.closed:
            self.parts.append(chunk)
            self.held_bytes += len(chunk)
            self.came += len(chunk)
            self.to_reader()

    def finish(self) -> None:
        """End the pipe as complete."""
        self.whole = True
        self.to_reader()

    def fail(self) -> None:
        """End the pipe as incomplete."""
        if not self.whole and not self.broken:
            self.broken = True
            self.to_reader()

    # Reader's side

    @property
    def over(self) -> bool:
        """Whether nothing is left to read and nothing more will follow."""
        return not self.parts and (self.whole or self.broken)

    def take(self) -> bytes:
        """Take all bytes held."""
        data = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        self.parts, self.held_bytes = [], 0
        self.to_writer()
        return data

    def stop(self, end: End = End.GIVEN_UP) -> None:
        """End the reader's side: it is gone, or has read everything. Only the first call counts."""
        if self.end is not None:
            return
        self.end, self.closed, self.parts, self.held_bytes = end, True, [], 0
        self.budget.pipes -= 1
        self.budget.broken_pipes += end is not End.WHOLE
        self.to_writer()
        for callback in self.tell:
            callback(end)
