"""Marks of staff: a server or block out of use, a tenant stopped, each with who, why and for how long.

Where two marks of one thing knew nothing of each other the safer stands: out of use, stopped. Both are shown
until somebody resolves them. Nothing here waits or does I/O.
"""

import re
from collections.abc import Iterable
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, ValidationError, msgpack

from barleybarrow.version_vectors import Entry, State

KINDS = ("server", "block", "tenant")
NAME = re.compile(r"^[A-Za-z0-9._:@\-]{1,128}$")
LONGEST_S = 30 * 86_400.0
NEXT_S = 5.0  # seconds that the next keeper waits longer to clear what is over
MOST_AT_ONCE = 16


class MarkError(ValueError):
    """One line that names what is wrong."""


class Mark(Struct, array_like=True, frozen=True):
    """A mark as it is stored. `at` is the Unix time on its writer's clock: shown, compared with nothing."""

    who: Annotated[str, Meta(max_length=64)]
    why: Annotated[str, Meta(max_length=500)]
    for_s: Annotated[float, Meta(ge=0.0, le=LONGEST_S)] = 0.0  # 0 until it is cleared
    at: float = 0.0


def key_of(kind: str, name: str) -> str:
    """Raises MarkError."""
    if kind not in KINDS:
        raise MarkError(f"{kind}: must be one of {', '.join(KINDS)}")
    if not NAME.match(name) or (kind == "block" and not name.isdigit()):
        raise MarkError(f"{kind} {name!r}: is no name of one")
    return f"{kind} {name}"


def read(entry: Entry) -> Mark | None:
    """None for a removal, and for what this release cannot read: that counts as a mark all the same."""
    if entry.value is None:
        return None
    try:
        return msgpack.decode(entry.value, type=Mark)
    except (DecodeError, ValidationError):
        return Mark("?", "this release cannot read it")


def in_conflict(slot: Iterable[Entry]) -> bool:
    """Whether several words that knew nothing of each other stand, one of them a mark."""
    slot = list(slot)
    return len(slot) > 1 and any(e.value is not None for e in slot)


class Effect:
    """What the marks of a state mean, kept up with its changes: what gets nothing."""

    def __init__(self) -> None:
        self.held: dict[str, set[str]] = {kind: set() for kind in KINDS}
        self.servers, self.tenants = self.held["server"], self.held["tenant"]
        self.blocks: set[int] = set()
        self.conflicts: set[str] = set()

    def follow(self, state: State, keys: Iterable[str]) -> list[tuple[str, str]]:
        """Look at keys that have changed; kind and name of what is out of use now, or no longer."""
        moved = []
        for key in keys:
            kind, _, name = key.partition(" ")
            if kind not in self.held:
                continue  # of a later release
            slot = state.slots.get(key, ())
            marked, held = any(e.value is not None for e in slot), self.held[kind]
            if marked != (name in held):
                moved.append((kind, name))
                (held.add if marked else held.discard)(name)
                if kind == "block" and name.isdigit():
                    (self.blocks.add if marked else self.blocks.discard)(int(name))
            (self.conflicts.add if in_conflict(slot) else self.conflicts.discard)(key)
        return moved


class Lapses:
    """When marks for a span are over: counted by each keeper from when it first held them.

    A mark stands at least so long, on no other clock than a keeper's own; longer where all keepers were down.
    The first keeper in order clears it, the others one after the other where it does not.
    """

    def __init__(self, rank: int) -> None:
        self.rank = rank  # among the keepers; below zero for none
        self.ends: dict[str, tuple[tuple[str, int], float]] = {}  # by key: the mark's dot, and its end

    def follow(self, now: float, state: State, keys: Iterable[str]) -> None:
        if self.rank < 0:
            return
        for key in keys:
            marks = [(e.dot, m.for_s) for e in state.slots.get(key, ()) if (m := read(e)) is not None]
            if len(marks) != 1 or not marks[0][1]:  # one in conflict is for staff to resolve
                self.ends.pop(key, None)
            elif self.ends.get(key, (None, 0.0))[0] != marks[0][0]:
                self.ends[key] = marks[0][0], now + (marks[0][1] + NEXT_S * self.rank) * 1000.0

    def due(self, now: float) -> list[str]:
        """Keys whose mark is over; asked for again each time until it is gone."""
        return [key for key, (_, end) in self.ends.items() if end <= now][:MOST_AT_ONCE]
