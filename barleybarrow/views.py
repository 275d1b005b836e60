"""Membership views as values: the members, changes to them, and evaluation of failure reports.

No I/O, no timers, no clock: reports of members go in, a decision comes out. `view_agreement` collects the
reports and has a majority agree on the outcome. Observers and the two thresholds follow Suresh and others,
"Stable and Consistent Membership at Scale with Rapid" (USENIX ATC 2018).
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from hashlib import blake2b
from typing import Annotated, Protocol

from msgspec import Meta, Struct

Address = tuple[str, int]

ALIVE, SUSPECT, DEAD, LEFT = range(4)
# Rings order the members by hash; in each, the next followers of a member are its observers.
RING_COUNT, FOLLOWERS_PER_RING = 3, 3
# With 30% of datagrams lost, seven of nine observers are wrong at the same time once in 10**8 checks.
MAX_OBSERVERS = RING_COUNT * FOLLOWERS_PER_RING
# Shares of the remaining observers that have reported: above the high watermark a member is removed, above
# the low one the decision waits for further reports.
HIGH_WATERMARK = 2 / 3
LOW_WATERMARK = 1 / 3
# Consecutive unanswered pings; more in small groups, where few observers can be wrong at the same time.
MISSED_PINGS_LIMIT, SMALL_GROUP_MISSED_PINGS_LIMIT = 5, 8
SMALL_GROUP_MEMBERS = 5
MAX_MEMBERS = 1024

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(max_length=45)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]


class Peer(Protocol):
    """State of another process as known locally, whether or not it is a member.

    The epoch is a start time that tells the runs of a process apart; it may decrease if the clock went back.
    """

    name: str
    address: Address
    epoch: int
    state: int
    state_since: float  # time of the last change of `state`
    verified: bool  # this epoch has answered a nonce sent by this process


class GroupMember(Struct, array_like=True, frozen=True):
    """One member: one epoch of a named process, and its address."""

    name: Name
    epoch: NonNegativeInt
    host: Host
    port: Port

    @property
    def address(self) -> Address:
        return self.host, self.port


class ViewChange(Struct, array_like=True, frozen=True):
    """Difference between two consecutive views."""

    removed: Annotated[list[Name], Meta(max_length=MAX_MEMBERS)]
    added: Annotated[list[GroupMember], Meta(max_length=MAX_MEMBERS)]


class ViewStamp(Struct, array_like=True, frozen=True):
    """Summary of the sender's view, carried in each datagram; `group` is 0 if the sender has no view."""

    group: NonNegativeInt = 0
    number: NonNegativeInt = 0
    size: NonNegativeInt = 0
    disconnected: bool = True


@dataclass(frozen=True)
class View:
    """The members, sorted by name. `group` identifies the group, `number` orders its views."""

    group: int
    number: int
    members: tuple[GroupMember, ...]
    by_name: Mapping[str, GroupMember] = field(init=False, repr=False, compare=False)
    rings: list[tuple[list[str], dict[str, int]]] = field(
        init=False, repr=False, compare=False, default_factory=list
    )

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {member.name: member for member in self.members})

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    def has_epoch(self, name: str, epoch: int) -> bool:
        member = self.by_name.get(name)
        return member is not None and member.epoch == epoch

    def apply(self, change: ViewChange) -> "View":
        removed = set(change.removed)
        members = {member.name: member for member in self.members if member.name not in removed}
        members.update((member.name, member) for member in change.added)
        return View(self.group, self.number + 1, tuple(members[name] for name in sorted(members)))

    def observers(self, subject: str) -> tuple[str, ...]:
        """Names of the members that report on a member: its followers in each ring."""
        return self.neighbors(subject, range(1, FOLLOWERS_PER_RING + 1))

    def subjects(self, observer: str) -> tuple[str, ...]:
        """The members that a member reports on."""
        return self.neighbors(observer, range(-FOLLOWERS_PER_RING, 0))

    def neighbors(self, name: str, offsets: range) -> tuple[str, ...]:
        """Members at these offsets in any ring; in a small group, or for a non-member, the others by name."""
        size = len(self.members)
        if size <= MAX_OBSERVERS + 1 or name not in self.by_name:
            return tuple(member.name for member in self.members if member.name != name)[
                : size if size <= MAX_OBSERVERS + 1 else MAX_OBSERVERS
            ]
        if not self.rings:
            for salt in range(RING_COUNT):
                ring = sorted(self.by_name, key=partial(ring_position, salt=salt))
                self.rings.append((ring, {ring_name: index for index, ring_name in enumerate(ring)}))
        names: dict[str, None] = {}
        for ring, positions in self.rings:
            position = positions[name]
            names.update((ring[(position + offset) % size], None) for offset in offsets)
        return tuple(names)


def ring_position(name: str, salt: int) -> bytes:
    """Sort key of a name in a ring; a hash, since a linear checksum would order all rings alike."""
    return blake2b(name.encode(), digest_size=8, salt=bytes((salt,))).digest()


def missed_pings_limit(size: int) -> int:
    """Number of consecutive unanswered pings after which a link is down."""
    return MISSED_PINGS_LIMIT if size > SMALL_GROUP_MEMBERS else SMALL_GROUP_MISSED_PINGS_LIMIT


@dataclass(frozen=True)
class Report:
    """Report of one member on the members that it observes."""

    down: frozenset[str]  # the last pings were all unanswered
    doubtful: frozenset[str] = frozenset()  # some pings were unanswered; being checked
    reached: frozenset[str] = frozenset()  # those of the joiners in question that answer


def accusing_share(
    view: View, subject: str, remaining: Collection[str], reports: Mapping[str, Report], confirmed_only: bool
) -> float:
    """Share of a member's observers that report it down; 0 if less than half of them have reported."""
    observers = [observer for observer in view.observers(subject) if observer in remaining]
    received = [reports[observer] for observer in observers if observer in reports]
    if not received or 2 * len(received) < len(observers):
        return 0.0
    accusers = sum(
        subject in report.down or (not confirmed_only and subject in report.doubtful) for report in received
    )
    return accusers / len(received)


def decide_removals(view: View, ended: Iterable[str], reports: Mapping[str, Report]) -> tuple[set[str], bool]:
    """Names to remove according to the reports, and whether no member is left between the thresholds.

    The most accused member is removed first, and its own reports are then ignored. So a member that receives
    nothing, and therefore accuses everybody, is removed alone; and a zone that is cut off, whose members
    report each other as up, is removed as a whole.
    """
    remaining = {member.name for member in view.members} - set(ended)
    accused = {name for report in reports.values() for name in (*report.down, *report.doubtful)} & remaining
    while accused:
        shares = {name: accusing_share(view, name, remaining, reports, True) for name in accused}
        worst = max(sorted(shares), key=shares.__getitem__)
        if shares[worst] <= HIGH_WATERMARK:
            break
        remaining.discard(worst)
        accused.discard(worst)
    settled = all(accusing_share(view, name, remaining, reports, False) <= LOW_WATERMARK for name in accused)
    return set(view.by_name) - remaining, settled
