"""What can be made of voters' stores once a majority is gone for good: values only, no I/O.

It must never pass over a store that is further along, and never leave two stores that may both go on.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from msgspec import msgpack

from barleybarrow.agreement_messages import Entry, Kind, Ready, Snapshot
from barleybarrow.rollout import Book

TERMS = 1000  # beyond all that were seen: whoever is gone may have seen a few more


@dataclass(frozen=True)
class Held:
    """What one voter's store holds."""

    name: str
    term: int
    snapshot: Snapshot | None
    entries: Sequence[Entry]
    named: Sequence[str] = field(default=())  # voters by the operators' file, for a log that names none

    @property
    def last(self) -> int:
        return (self.snapshot.index if self.snapshot is not None else 0) + len(self.entries)

    @property
    def reach(self) -> tuple[int, int]:
        """How far it is along: greater is further (Raft, 5.4.1)."""
        before = self.snapshot.term if self.snapshot is not None else 0
        return (self.entries[-1].term if self.entries else before), self.last

    @property
    def voters(self) -> list[str]:
        for entry in reversed(self.entries):
            if entry.kind == Kind.VOTERS:
                return msgpack.decode(entry.data, type=list[str])
        return list(self.snapshot.voters if self.snapshot is not None else self.named)

    def book(self) -> Book:
        """What its log makes, be all of it agreed on or not."""
        book = Book()
        if self.snapshot is not None:
            book.load(self.snapshot.index, self.snapshot.data)
        for index, entry in enumerate(self.entries, book.applied + 1):
            book.apply(index, entry.data if entry.kind == Kind.DATA else b"")
        return book


@dataclass(frozen=True)
class Objection:
    """Why an act would break a promise; where `claim` is empty, nothing makes it right."""

    why: str
    claim: str = ""  # what whoever does it all the same says to know


def objections(
    mine: Held, others: Iterable[Held], without: Iterable[str], applied: Mapping[str, int]
) -> list[Objection]:
    """Against one store's going on alone; `applied`: how far proxies that answer are."""
    others, gone, voters = list(others), set(without), mine.voters
    left = [name for name in voters if name not in gone]
    found = []
    if mine.name not in voters:
        found.append(
            Objection(f"{mine.name} does not vote by its own log: {' '.join(voters) or 'nobody'} do")
        )
    if mine.name in gone:
        found.append(Objection(f"{mine.name} is itself named as gone"))
    if 2 * len(left) > len(voters):
        found.append(Objection(f"{' '.join(left)} are a majority: `policy voters --set` loses nothing"))
    for other in others:
        if other.reach > mine.reach:
            found.append(Objection(f"{other.name}'s store is further along: recover that one"))
    unseen = sorted(set(left) - {mine.name} - {o.name for o in others})
    if unseen:
        why = f"the stores of {' '.join(unseen)} were not shown (--seen)"
        found.append(Objection(why, "they hold no more than this one"))
    ahead = sorted(name for name, index in applied.items() if index > mine.last)
    if ahead:
        why = f"{' '.join(ahead)} applied more than this store holds ({mine.last})"
        found.append(Objection(why, "all of them are started anew, and what they hold beyond it is lost"))
    return found


def recovered(mine: Held, others: Iterable[Held]) -> Ready:
    """What is to be stored so that one goes on as the only voter."""
    term = max([mine.term, *(o.term for o in others)]) + TERMS
    alone = Entry(term, Kind.VOTERS, msgpack.encode([mine.name]))
    return Ready(hard=(term, mine.name), first=mine.last + 1, entries=[alone])


def lacking(held: Iterable[Mapping[str, Any]], told: Iterable[Mapping[str, Any]]) -> list[str]:
    """Versions that others tell of, and one store has not, or as something else; a line each."""
    mine = {v["number"]: v for v in held}
    found = []
    for v in told:
        own = mine.get(v["number"])
        text = f"version {v['number']} by {v['who']}, {v['phase']}: {v['why'] or '-'}"
        if own is None:
            found.append(text)
        elif own["id"] != v["id"]:
            found.append(f"{text} (here it is another's)")
        elif own["phase"] != v["phase"]:
            found.append(f"{text} (here {own['phase']})")
    return found
