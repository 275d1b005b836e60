"""Checks what processes told of their views, from what was told alone: docs/design/membership.md.

It knows nothing of the machines under test: it reads who came to hold which view when, and who lived. Each
breach begins with the promise's name.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

Member = tuple[str, int]  # a name and its life


@dataclass(frozen=True)
class Held:
    """A process came to hold a view; `members` empty where its life in the group ended."""

    at: float  # periods
    by: Member
    group: int
    number: int
    members: frozenset[Member]


def breaches(history: Iterable[Held]) -> list[str]:
    """What may never happen, whatever fails."""
    found: list[str] = []
    views: dict[tuple[int, int], frozenset[Member]] = {}
    last: dict[Member, tuple[int, int]] = {}
    holders: dict[tuple[int, int], set[Member]] = {}
    for held in history:
        if not held.members:
            last.pop(held.by, None)
            continue
        key = held.group, held.number
        if views.setdefault(key, held.members) != held.members:
            odd = sorted(views[key] ^ held.members)
            found.append(f"one_sequence: view {key} is not the same at {held.by[0]}: {odd[:4]}")
        if held.by not in held.members:
            found.append(f"one_sequence: {held.by} holds view {key}, to which it does not belong")
        before = last.get(held.by)
        if before is not None and (before[0] != held.group or before[1] >= held.number):
            found.append(f"one_sequence: {held.by[0]} went from view {before} to {key}")
        last[held.by] = key
        holders.setdefault(key, set()).add(held.by)
    for (group, number), members in views.items():
        earlier = views.get((group, number - 1))
        if earlier is None:
            continue
        stay = len(earlier & members)
        if 2 * stay <= len(earlier):
            found.append(f"majority_only: view {number} of {group} keeps {stay} of {len(earlier)}")
    for group in {g for g, _ in views}:
        over: set[Member] = set()
        numbers = sorted(n for g, n in views if g == group)
        for n, after in zip(numbers, numbers[1:], strict=False):
            over |= views[group, n] - views[group, after]
            back = over & views[group, after]
            if back:
                found.append(f"no_resurrection: {sorted(back)[:3]} in view {after} of {group}")
    return found


def flaps(history: Iterable[Held], since: float, until: float) -> int:
    """How often a name came into a view again that a view before, in that time, had left out."""
    views: dict[tuple[int, int], tuple[float, frozenset[str]]] = {}
    for held in history:
        if held.members:
            key = held.group, held.number
            views.setdefault(key, (held.at, frozenset(name for name, _ in held.members)))
    count = 0
    for group in {g for g, _ in views}:
        left: set[str] = set()
        names: frozenset[str] = frozenset()
        for key in sorted(k for k in views if k[0] == group):
            at, now = views[key]
            if since <= at <= until:
                count += len(left & now)
                left = (left | names) - now
            names = now
    return count


def settled(holds: Mapping[Member, tuple[int, int, frozenset[Member]] | None], alive: set[Member]) -> str:
    """Why those that live do not hold one view of just themselves; empty where they do."""
    if not alive:
        return "settles: nobody lives"
    if any(holds.get(m) is None for m in alive):
        return f"settles: {sorted(m[0] for m in alive if holds.get(m) is None)[:5]} hold no view"
    kinds = {holds[m] for m in alive}
    if len(kinds) > 1:
        return f"settles: {len(kinds)} different views are held"
    view = next(iter(kinds))
    if view is None or view[2] != alive:
        odd = sorted((view[2] if view else set()) ^ alive)
        return f"settles: view and living differ by {odd[:4]}"
    return ""
