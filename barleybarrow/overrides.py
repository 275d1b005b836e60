"""Administrators' overrides: disabled servers and blocks, and blocked tenants, with author, reason, duration.

Of concurrent entries for one target the safer wins: disabled or blocked. They are shown as a conflict until
an administrator resolves it. Nothing here blocks or does I/O.
"""

import re
from collections.abc import Iterable
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, ValidationError, msgpack

from barleybarrow.version_vectors import Entry, VersionedState

KINDS = ("server", "block", "tenant")
NAME_PATTERN = re.compile(r"^[A-Za-z0-9._:@\-]{1,128}$")
MAX_DURATION_S = 30 * 86_400.0
EXPIRY_STAGGER_S = 5.0  # extra delay per keeper before it clears an expired override
MAX_EXPIRED_PER_CALL = 16


class OverrideError(ValueError):
    """An invalid override; the message is one line that names the problem."""


class Override(Struct, array_like=True, frozen=True):
    """An override as stored. `at` is the Unix time on its writer's clock, for display only."""

    who: Annotated[str, Meta(max_length=64)]
    why: Annotated[str, Meta(max_length=500)]
    for_s: Annotated[float, Meta(ge=0.0, le=MAX_DURATION_S)] = 0.0  # 0: until it is cleared
    at: float = 0.0


def key_of(kind: str, name: str) -> str:
    """The state key of a target. Raises OverrideError."""
    if kind not in KINDS:
        raise OverrideError(f"{kind}: must be one of {', '.join(KINDS)}")
    if not NAME_PATTERN.match(name) or (kind == "block" and not name.isdigit()):
        raise OverrideError(f"{kind} {name!r}: is no name of one")
    return f"{kind} {name}"


def decode_override(entry: Entry) -> Override | None:
    """The override in an entry, None for a tombstone. An undecodable one is still in effect."""
    if entry.value is None:
        return None
    try:
        return msgpack.decode(entry.value, type=Override)
    except (DecodeError, ValidationError):
        return Override("?", "this release cannot read it")


def in_conflict(slot: Iterable[Entry]) -> bool:
    """Whether there are several concurrent entries, at least one of them an override."""
    slot = list(slot)
    return len(slot) > 1 and any(e.value is not None for e in slot)


class ActiveOverrides:
    """The servers, blocks and tenants that are overridden, kept up to date with the state's changes."""

    def __init__(self) -> None:
        self.active: dict[str, set[str]] = {kind: set() for kind in KINDS}
        self.servers, self.tenants = self.active["server"], self.active["tenant"]
        self.blocks: set[int] = set()
        self.conflicts: set[str] = set()

    def update(self, state: VersionedState, keys: Iterable[str]) -> list[tuple[str, str]]:
        """Process changed keys; returns kind and name of each target whose override was set or cleared."""
        changes = []
        for key in keys:
            kind, _, name = key.partition(" ")
            if kind not in self.active:
                continue  # a kind of a later release
            slot = state.slots.get(key, ())
            overridden, active = any(e.value is not None for e in slot), self.active[kind]
            if overridden != (name in active):
                changes.append((kind, name))
                (active.add if overridden else active.discard)(name)
                if kind == "block" and name.isdigit():
                    (self.blocks.add if overridden else self.blocks.discard)(int(name))
            (self.conflicts.add if in_conflict(slot) else self.conflicts.discard)(key)
        return changes


class OverrideExpiry:
    """Expiry of overrides that have a duration, timed by each keeper from when it first held them.

    No clocks are compared: an override lasts at least for its duration on a keeper's own clock, and longer if
    all keepers were down meanwhile. The first keeper clears it; the others follow at intervals if it does
    not.
    """

    def __init__(self, rank: int) -> None:
        self.rank = rank  # position among the keepers; negative on other proxies
        self.expirations: dict[str, tuple[tuple[str, int], float]] = {}  # by key: the override's dot, its end

    def update(self, now: float, state: VersionedState, keys: Iterable[str]) -> None:
        """Process changed keys."""
        if self.rank < 0:
            return
        for key in keys:
            overrides = [
                (e.dot, m.for_s) for e in state.slots.get(key, ()) if (m := decode_override(e)) is not None
            ]
            if len(overrides) != 1 or not overrides[0][1]:  # a conflict is left to administrators
                self.expirations.pop(key, None)
            elif self.expirations.get(key, (None, 0.0))[0] != overrides[0][0]:
                self.expirations[key] = (
                    overrides[0][0],
                    now + (overrides[0][1] + EXPIRY_STAGGER_S * self.rank) * 1000.0,
                )

    def due(self, now: float) -> list[str]:
        """Keys whose override has expired, returned by every call until it is cleared."""
        return [key for key, (_, end) in self.expirations.items() if end <= now][:MAX_EXPIRED_PER_CALL]
