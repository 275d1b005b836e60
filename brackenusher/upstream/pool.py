"""The pool: discovery's list as members, and the idle connections to each of them."""

from collections.abc import Callable
from typing import Any, Protocol

from barleybarrow import interface as face
from brackenusher.runtime.driver import Address
from brackenusher.upstream.listing import Host, Listing

STATES = {"ready": face.State.LIVE, "draining": face.State.DRAINING, "gone": face.State.GONE}


class Connection(Protocol):
    """An open connection to a member."""

    member: "Member"

    def carry(self, attempt: Any) -> None: ...
    def close(self) -> None: ...
    def healthy(self) -> bool: ...


class Member:
    """A turn server on the list; flows to one that has left it keep theirs. A fleet has thousands of them."""

    __slots__ = ("name", "address", "born_ms", "left_at", "idle")

    def __init__(self, name: str, address: Address, born_ms: float) -> None:
        self.name, self.address, self.born_ms = name, address, born_ms
        self.left_at: float | None = None  # when this proxy was told that it drains or is gone
        self.idle: list[Connection] = []  # the one that was used last stands last

    def hang_up(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().close()


class Names:
    """Positions of names; those that the settings lack get the next free ones."""

    def __init__(self, names: list[str]) -> None:
        self.positions = {name: i for i, name in enumerate(names)}

    def position(self, name: str) -> int:
        return self.positions.setdefault(name, len(self.positions))


class Pool:
    """All members, by name."""

    def __init__(self, settings: face.Settings, clock: Callable[[], float], unix_offset: float) -> None:
        self.clock, self.unix_offset = clock, unix_offset
        self.drain_grace = settings.drain_grace
        self.zones, self.kinds = Names(settings.zones), Names(settings.kinds)
        self.members: dict[str, Member] = {}
        self.held = False  # a list has been taken

    def take(self, listing: Listing) -> face.ListChanged:
        """Apply a list, and word it for the module."""
        self.held = True
        entries = [self.note(host) for host in listing.hosts if host.health in STATES]
        if listing.whole:
            named = {entry.backend for entry in entries}
            for name in [name for name in self.members if name not in named]:
                self.part(self.members.pop(name))
        scope = face.ListScope.COMPLETE if listing.whole else face.ListScope.CHANGES
        return face.ListChanged(scope, entries, listing.seq)

    def note(self, host: Host) -> face.Entry:
        """Bring one member up to date."""
        member = self.members.get(host.name)
        if member is None:
            member = self.members[host.name] = Member(host.name, host.address, host.born_ms)
        if (member.address, member.born_ms) != (host.address, host.born_ms):
            member.hang_up()  # they lead to a process that is no longer there
            member.address, member.born_ms = host.address, host.born_ms
        if host.health == "ready":
            member.left_at = None
        else:
            self.part(member)
            if host.health == "gone":
                del self.members[host.name]
        return face.Entry(
            host.name,
            STATES[host.health],
            self.module_time(host.born_ms),
            host.cell,
            self.zones.position(host.zone),
            self.kinds.position(host.kind),
        )

    def part(self, member: Member) -> None:
        if member.left_at is None:
            member.left_at = self.clock()
        member.hang_up()

    def module_time(self, born_ms: float) -> float:
        """Unix time on the module's clock; 0, for long ago, stays 0."""
        return born_ms - self.unix_offset if born_ms else 0.0

    def may_begin(self, member: Member) -> bool:
        """Whether something new may still be written to a member."""
        return member.left_at is None or self.clock() - member.left_at < self.drain_grace

    def lend(self, member: Member) -> Connection | None:
        """The idle connection that was used last, if there is one that still stands."""
        while member.idle:
            connection = member.idle.pop()
            if connection.healthy():
                return connection
            connection.close()
        return None

    def give_back(self, connection: Connection) -> bool:
        """Keep a connection for the next flow, unless its member has left."""
        if connection.member.left_at is not None:
            return False
        connection.member.idle.append(connection)
        return True

    def spare(self) -> bool:
        """Close an idle connection to make room; False where there is none."""
        member = max(self.members.values(), key=lambda m: len(m.idle), default=None)
        if member is None or not member.idle:
            return False
        member.idle.pop(0).close()
        return True
