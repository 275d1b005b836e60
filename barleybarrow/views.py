"""Views of a group as values: who belongs, what a change makes of it, and whom reports speak against.

Nothing here waits, sends or looks at a clock. What members say of each other goes in, a decision comes out;
`view_agreement` brings the reports together and has a majority agree. Observers and two thresholds follow
Suresh and others, "Stable and Consistent Membership at Scale with Rapid" (USENIX ATC 2018).
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from hashlib import blake2b
from typing import Annotated, Protocol

from msgspec import Meta, Struct

Address = tuple[str, int]

ALIVE, SUSPECT, DEAD, LEFT = range(4)
RINGS, EACH = 3, 3  # orders of the members by hash, and how many followers in each watch a member
OBSERVERS = RINGS * EACH  # with 30% of datagrams lost, seven of nine err together once in 10**8 checks
HIGH = 2 / 3  # of those that stay and have reported: more than so many, and the member goes
LOW = 1 / 3  # more than so many, and all wait for the rest of the reports
TRIES, MORE_TRIES = 5, 8  # pings in a row without an answer; more where few observers can err together
FEW = 5  # observers
MOST_MEMBERS = 1024

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(max_length=45)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Number = Annotated[int, Meta(ge=0, le=2**53)]


class Known(Protocol):
    """What is known of another process, whether it belongs or not."""

    name: str
    address: Address
    epoch: int
    state: int
    since: float  # when it came into that state
    proved: bool  # this life has answered a nonce of ours


class Belongs(Struct, array_like=True, frozen=True):
    """One member: a life of a name, at an address."""

    name: Name
    life: Number
    host: Host
    port: Port

    @property
    def address(self) -> Address:
        return self.host, self.port


class Change(Struct, array_like=True, frozen=True):
    """What makes one view of the one before."""

    left: Annotated[list[Name], Meta(max_length=MOST_MEMBERS)]
    came: Annotated[list[Belongs], Meta(max_length=MOST_MEMBERS)]


class Stamp(Struct, array_like=True, frozen=True):
    """What every datagram says of its sender's view; `group` 0 where it has none."""

    group: Number = 0
    number: Number = 0
    size: Number = 0
    cut_off: bool = True


@dataclass(frozen=True)
class View:
    """Who belongs, in order of names. `group` tells groups apart, `number` orders the views of one."""

    group: int
    number: int
    members: tuple[Belongs, ...]
    by_name: Mapping[str, Belongs] = field(init=False, repr=False, compare=False)
    rings: list[tuple[list[str], dict[str, int]]] = field(
        init=False, repr=False, compare=False, default_factory=list
    )

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {m.name: m for m in self.members})

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def has(self, name: str, life: int) -> bool:
        m = self.by_name.get(name)
        return m is not None and m.life == life

    def after(self, change: Change) -> "View":
        gone = set(change.left)
        kept = {m.name: m for m in self.members if m.name not in gone}
        kept.update((m.name, m) for m in change.came)
        return View(self.group, self.number + 1, tuple(kept[name] for name in sorted(kept)))

    def observers(self, subject: str) -> tuple[str, ...]:
        """Who reports on a member, the same to all who hold this view: its followers in each ring."""
        return self.around(subject, range(1, EACH + 1))

    def subjects(self, observer: str) -> tuple[str, ...]:
        """Whom a member reports on."""
        return self.around(observer, range(-EACH, 0))

    def around(self, name: str, steps: range) -> tuple[str, ...]:
        size = len(self.members)
        if size <= OBSERVERS + 1 or name not in self.by_name:
            return tuple(m.name for m in self.members if m.name != name)[
                : size if size <= OBSERVERS + 1 else OBSERVERS
            ]
        if not self.rings:
            for salt in range(RINGS):
                ring = sorted(self.by_name, key=partial(place, salt=salt))
                self.rings.append((ring, {n: i for i, n in enumerate(ring)}))
        found: dict[str, None] = {}
        for ring, places in self.rings:
            at = places[name]
            found.update((ring[(at + step) % size], None) for step in steps)
        return tuple(found)


def place(name: str, salt: int) -> bytes:
    """Where a name stands in a ring. A linear check sum would order all rings alike."""
    return blake2b(name.encode(), digest_size=8, salt=bytes((salt,))).digest()


def tries(size: int) -> int:
    """How many pings in a row have to stay unanswered until a link counts as down."""
    return TRIES if size > FEW else MORE_TRIES


@dataclass(frozen=True)
class Report:
    """What one member says of those it watches."""

    down: frozenset[str]  # no ping is answered
    doubtful: frozenset[str] = frozenset()  # some were not, and it is being found out
    reached: frozenset[str] = frozenset()  # of the newcomers asked about, those that answer


def share(
    view: View, subject: str, staying: Collection[str], reports: Mapping[str, Report], sure: bool
) -> float:
    """Which part of a member's observers speaks against it; 0 where too few of them were heard."""
    watching = [o for o in view.observers(subject) if o in staying]
    heard = [reports[o] for o in watching if o in reports]
    if not heard or 2 * len(heard) < len(watching):
        return 0.0
    against = sum(subject in r.down or (not sure and subject in r.doubtful) for r in heard)
    return against / len(heard)


def settle(view: View, gone: Iterable[str], reports: Mapping[str, Report]) -> tuple[set[str], bool]:
    """Whom reports remove, and whether nothing is left in doubt.

    The one most spoken against goes first and its own reports with it, so that one deaf member, which has a
    word against everybody, and a whole zone, whose members vouch for each other, go each as one.
    """
    staying = {m.name for m in view.members} - set(gone)
    accused = {name for r in reports.values() for name in (*r.down, *r.doubtful)} & staying
    while accused:
        shares = {name: share(view, name, staying, reports, True) for name in accused}
        worst = max(sorted(shares), key=shares.__getitem__)
        if shares[worst] <= HIGH:
            break
        staying.discard(worst)
        accused.discard(worst)
    settled = all(share(view, name, staying, reports, False) <= LOW for name in accused)
    return set(view.by_name) - staying, settled
