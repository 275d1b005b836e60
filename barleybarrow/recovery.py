"""Disaster recovery from the voters' stores after a majority was lost for good. No I/O.

Invariants: a store whose log is further along is never passed over, and at most one store may continue.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from msgspec import msgpack

from barleybarrow.agreement_messages import Entry, EntryKind, Ready, Snapshot
from barleybarrow.rollout import RolloutState

TERM_MARGIN = 1000  # added to the highest term seen, as lost voters may have seen later ones


@dataclass(frozen=True)
class StoreContents:
    """The contents of one voter's store."""

    name: str
    term: int
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    configured_voters: Sequence[str] = field(default=())  # from the settings, if the log names no voters

    @property
    def last_index(self) -> int:
        """The index of the last log entry."""
        return (self.snapshot.index if self.snapshot is not None else 0) + len(self.entries)

    @property
    def log_position(self) -> tuple[int, int]:
        """Term and index of the last log entry; the greater one is more up-to-date (Raft, section 5.4.1)."""
        before = self.snapshot.term if self.snapshot is not None else 0
        return (self.entries[-1].term if self.entries else before), self.last_index

    @property
    def voters(self) -> list[str]:
        """The voters according to the log."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.VOTERS:
                return msgpack.decode(entry.data, type=list[str])
        return list(self.snapshot.voters if self.snapshot is not None else self.configured_voters)

    def rollout_state(self) -> RolloutState:
        """The rollout state after applying the whole log, including uncommitted entries."""
        state = RolloutState()
        if self.snapshot is not None:
            state.load(self.snapshot.index, self.snapshot.data)
        for index, entry in enumerate(self.entries, state.applied + 1):
            state.apply(index, entry.data if entry.kind == EntryKind.DATA else b"")
        return state


@dataclass(frozen=True)
class Objection:
    """Why a recovery would be unsafe; without a claim, it cannot be overridden."""

    reason: str
    assertion: str = ""  # what the operator asserts by overriding the objection


def objections(
    mine: StoreContents,
    others: Iterable[StoreContents],
    without: Iterable[str],
    applied_indexes: Mapping[str, int],
) -> list[Objection]:
    """Objections against continuing with one store alone; `applied_indexes`: of the proxies that respond."""
    others, gone, voters = list(others), set(without), mine.voters
    remaining = [name for name in voters if name not in gone]
    found = []
    if mine.name not in voters:
        found.append(
            Objection(f"{mine.name} does not vote by its own log: {' '.join(voters) or 'nobody'} do")
        )
    if mine.name in gone:
        found.append(Objection(f"{mine.name} is itself named as gone"))
    if 2 * len(remaining) > len(voters):
        found.append(Objection(f"{' '.join(remaining)} are a majority: `policy voters --set` loses nothing"))
    for other in others:
        if other.log_position > mine.log_position:
            found.append(Objection(f"{other.name}'s store is further along: recover that one"))
    unseen = sorted(set(remaining) - {mine.name} - {o.name for o in others})
    if unseen:
        why = f"the stores of {' '.join(unseen)} were not shown (--seen)"
        found.append(Objection(why, "they hold no more than this one"))
    ahead = sorted(name for name, index in applied_indexes.items() if index > mine.last_index)
    if ahead:
        why = f"{' '.join(ahead)} applied more than this store holds ({mine.last_index})"
        found.append(Objection(why, "all of them are started anew, and what they hold beyond it is lost"))
    return found


def recovered_state(mine: StoreContents, others: Iterable[StoreContents]) -> Ready:
    """What is to be stored so that `mine` continues as the only voter."""
    term = max([mine.term, *(o.term for o in others)]) + TERM_MARGIN
    voters_entry = Entry(term, EntryKind.VOTERS, msgpack.encode([mine.name]))
    return Ready(hard_state=(term, mine.name), first_index=mine.last_index + 1, entries=[voters_entry])


def missing_versions(
    own_versions: Iterable[Mapping[str, Any]], reported_versions: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Versions reported by others that a store lacks or holds differently, one line each."""
    own_by_number = {v["number"]: v for v in own_versions}
    lines = []
    for v in reported_versions:
        own = own_by_number.get(v["number"])
        text = f"version {v['number']} by {v['who']}, {v['phase']}: {v['why'] or '-'}"
        if own is None:
            lines.append(text)
        elif own["id"] != v["id"]:
            lines.append(f"{text} (here it is another's)")
        elif own["phase"] != v["phase"]:
            lines.append(f"{text} (here {own['phase']})")
    return lines
