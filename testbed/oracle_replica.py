"""Judges copies of the replicated state: what was acknowledged is there, what is gone stays gone, all agree.

It knows the writes that were made and which were acknowledged, and looks at the copies after quiet.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from barleybarrow.version_vectors import Dot, Entry, Vector, VersionedState, covers


@dataclass(frozen=True)
class Deed:
    """What staff had done, as they saw it; times are of their one clock."""

    began: float
    ended: float
    key: str
    marks: bool  # or clears
    acknowledged: bool


def kept(deeds: Sequence[Deed], shown: Mapping[str, Mapping[str, int]]) -> list[str]:
    """Where what proxies show at the end, after quiet, is not what staff were told; and where they differ.

    `shown`: by proxy, the marks that it shows and how many words stand of each. The last deed upon a thing
    counts where it was acknowledged and no other of it was on its way meanwhile; one that was never answered
    stays on its way for good. A mark that a keeper had not heard of when it cleared stands, as a conflict.
    """
    held = {name: frozenset(keys) for name, keys in shown.items()}
    found = [
        f"equal: {name} shows {sorted(keys)}" for name, keys in held.items() if len({*held.values()}) > 1
    ]
    for deed in deeds:
        others = [d for d in deeds if d is not deed and d.key == deed.key]
        if not deed.acknowledged or any(d.ended >= deed.began for d in others):
            continue
        for name, keys in shown.items():
            if deed.marks and deed.key not in keys:
                found.append(f"acknowledged: {name} lacks {deed.key}")
            if not deed.marks and keys.get(deed.key, 0) == 1:
                found.append(f"acknowledged: {name} holds {deed.key}")
    return found


def missing(state: VersionedState, wanted: Iterable[Entry], written: Iterable[Entry]) -> list[Entry]:
    """Writes that a copy lacks, though no later one that was made supersedes them."""
    held = {e.dot for e in state.entries()}
    by_key: dict[str, list[Entry]] = {}
    for entry in written:
        by_key.setdefault(entry.key, []).append(entry)
    found = []
    for entry in wanted:
        over = any(covers(later.supersedes, entry.dot) for later in by_key.get(entry.key, ()))
        if entry.dot not in held and not over and entry.value is not None:
            found.append(entry)
    return found


def risen(state: VersionedState, acked: Iterable[Entry]) -> list[Entry]:
    """What a copy holds though an acknowledged write has superseded it."""
    acked = list(acked)
    return [e for e in state.entries() if any(a.key == e.key and covers(a.supersedes, e.dot) for a in acked)]


def beaten(state: VersionedState, knew: Mapping[Dot, Vector]) -> list[Entry]:
    """What a copy holds beside a write of the same key whose writer had heard of it: that write wins."""
    slots = [slot for slot in state.slots.values() if len(slot) > 1]
    return [
        e
        for slot in slots
        for e in slot
        if any(covers(knew.get(w.dot, {}), e.dot) for w in slot if w is not e)
    ]


def unlike(states: Mapping[str, VersionedState]) -> list[str]:
    """Where copies differ in what is not a removal."""
    found, first = [], next(iter(states.items()), None)
    for name, state in states.items():
        assert first is not None
        mine = {(e.key, e.dot, e.value) for e in state.entries() if e.value is not None}
        other = {(e.key, e.dot, e.value) for e in first[1].entries() if e.value is not None}
        found += [f"equal: {first[0]} and {name} differ in {key}" for key, _, _ in sorted(mine ^ other)[:3]]
    return found
