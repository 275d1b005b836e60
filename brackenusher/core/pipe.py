"""Bytes on their way from one peer to another, with a bound, and the budget that all of them share.

Neither knows a socket or a protocol. Who writes stops while a pipe is full, who reads waits while it is
empty; each is woken by the other. A pipe ends once: whole, broken by its writer, or given up by its reader.
"""

from collections.abc import Callable
from enum import Enum

MIN_WINDOW_BYTES = 16 * 1024  # bytes that each pipe may hold, however many there are
MAX_WINDOW_BYTES = 128 * 1024  # bytes that a pipe holds at most
MAX_REPLAYABLE_BYTES = 1024 * 1024  # bytes of a body that are kept at most, so that it can be sent again


def nothing() -> None:
    """Nobody is to be woken."""


class Budget:
    """Bytes that bodies and answers may hold in memory beyond what is always kept of each."""

    def __init__(self, total: int) -> None:
        self.total_bytes, self.kept, self.pipes = total, 0, 0
        self.broken_pipes = self.opened_pipes = 0  # pipes that did not end whole, and all that there were

    def may_keep(self, size: int) -> bool:
        """Whether a body that grew to `size` bytes may be kept whole."""
        return size <= MAX_REPLAYABLE_BYTES and self.kept + size <= self.total_bytes // 2

    @property
    def window_bytes(self) -> int:
        """How many bytes each pipe may hold just now."""
        return min(max(self.total_bytes // 2 // max(self.pipes, 1), MIN_WINDOW_BYTES), MAX_WINDOW_BYTES)


class End(Enum):
    """How a pipe ended."""

    WHOLE = "whole"
    BROKEN = "broken"  # its writer cannot go on
    GIVEN_UP = "given up"  # its reader has gone


class Pipe:
    """One body or answer."""

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
        self.held_bytes = self.came = 0  # bytes that are held, and all that came
        self.whole = self.broken = self.closed = False
        self.end: End | None = None
        self.tell: list[Callable[[End], None]] = []  # told once how it ended
        self.to_reader: Callable[[], None] = nothing
        self.to_writer: Callable[[], None] = nothing
        budget.pipes += 1
        budget.opened_pipes += 1

    # for who writes

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
        """Nothing more comes: it is whole."""
        self.whole = True
        self.to_reader()

    def fail(self) -> None:
        """Nothing more comes, and it is not whole."""
        if not self.whole and not self.broken:
            self.broken = True
            self.to_reader()

    # for who reads

    @property
    def over(self) -> bool:
        """Whether nothing is left to be read, nor will come."""
        return not self.parts and (self.whole or self.broken)

    def take(self) -> bytes:
        """All that is held."""
        data = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        self.parts, self.held_bytes = [], 0
        self.to_writer()
        return data

    def stop(self, end: End = End.GIVEN_UP) -> None:
        """The reader is done with it: it went, or all was passed on. Only the first word counts."""
        if self.end is not None:
            return
        self.end, self.closed, self.parts, self.held_bytes = end, True, [], 0
        self.budget.pipes -= 1
        self.budget.broken_pipes += end is not End.WHOLE
        self.to_writer()
        for callback in self.tell:
            callback(end)
