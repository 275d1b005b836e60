"""The pool of backend members from discovery's list, and the connections to each of them."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, Protocol

from barleybarrow import interface as face
from barleybarrow.connection_records import (
    CloseReason,
    ConnectionSettings,
    PooledConnection,
    ServerConnections,
)
from barleybarrow.connections import Planner
from barleybarrow.subsets import Subset
from brackenusher.upstream.listing import Host, Listing

DEFAULT_MAX_CONNECTIONS = 1024  # until the driver sets the limit
STATES = {"ready": face.State.LIVE, "draining": face.State.DRAINING, "gone": face.State.GONE}


class Connection(Protocol):
    """An open connection to a member."""

    member: "Member"
    held: PooledConnection

    def assign(self, attempt: Any) -> None: ...
    def close(self, cause: CloseReason) -> None: ...


class Member:
    """A backend on the list; connections to a removed one still refer to it. Fleets have thousands."""

    __slots__ = ("name", "address", "born_ms", "left_at", "line", "host")

    def __init__(self, host: Host, line: ServerConnections) -> None:
        self.name, self.address, self.born_ms = host.name, host.address, host.born_ms
        self.host = host  # its latest entry
        self.left_at: float | None = None  # when this proxy learned that it drains or is gone
        self.line = line  # the connections to its present process

    def close_idle(self) -> None:
        """Close its idle connections."""
        for held in list(self.line.idle):
            held.link.close(CloseReason.LEFT)


class NamePositions:
    """Indexes of names; names missing from the settings get the next free indexes."""

    def __init__(self, names: list[str]) -> None:
        self.positions = {name: i for i, name in enumerate(names)}

    def position(self, name: str) -> int:
        return self.positions.setdefault(name, len(self.positions))


class Pool:
    """The members by name."""

    def __init__(
        self,
        settings: face.Settings,
        clock: Callable[[], float],
        unix_offset: float,
        connections: ConnectionSettings | None = None,
        seed: int = 0,
        subset: Subset | None = None,
    ) -> None:
        self.subset = subset
        self.listed: dict[str, Host] = {}  # the whole list, if this proxy uses a subset
        self.clock, self.unix_offset = clock, unix_offset
        self.planner = Planner(
            connections or ConnectionSettings(),
            DEFAULT_MAX_CONNECTIONS,
            seed,
            settings.conn_idle,
            settings.cold,
            settings.proxies,
        )
        self.drain_grace = settings.drain_grace
        self.zones, self.kinds = NamePositions(settings.zones), NamePositions(settings.kinds)
        self.members: dict[str, Member] = {}
        self.has_list = False  # whether a list has been applied
        self.exclusions: list[Callable[[Host], bool]] = []  # whether administrators have taken one out of use
        self.seq = 0

    @property
    def size(self) -> int:
        """The number of members on the list, including draining ones."""
        return len(self.listed if self.subset is not None else self.members)

    @property
    def hosts(self) -> list[Host]:
        """The latest list."""
        if self.subset is not None:
            return list(self.listed.values())
        return [member.host for member in self.members.values()]

    def apply(self, listing: Listing) -> face.ListChanged:
        """Apply a list, and return the event for the policy."""
        self.has_list, self.seq = True, listing.seq
        if self.subset is not None:
            listing = self.select_subset(listing, self.subset)
        entries = [self.update_member(host) for host in listing.hosts if host.health in STATES]
        if listing.whole:
            listed_names = {entry.backend for entry in entries}
            for name in [name for name in self.members if name not in listed_names]:
                self.mark_leaving(self.members.pop(name))
        scope = face.ListScope.COMPLETE if listing.whole else face.ListScope.CHANGES
        return face.ListChanged(scope, entries, listing.seq)

    def select_subset(self, listing: Listing, subset: Subset) -> Listing:
        """Reduce a list to this proxy's subset, which the list may change."""
        if listing.whole:
            self.listed = {}
        for host in listing.hosts:
            if host.health == "gone":
                self.listed.pop(host.name, None)
            elif host.health in STATES:
                self.listed[host.name] = host
        chosen = subset.choose(self.listed)
        if listing.whole:
            return Listing(listing.seq, True, [self.listed[name] for name in self.listed if name in chosen])
        listed_names = {host.name for host in listing.hosts}
        hosts = [host for host in listing.hosts if host.name in chosen or host.name in self.members]
        hosts += [
            self.listed[name] for name in self.listed if name in chosen - listed_names - set(self.members)
        ]
        hosts = [host if host.name in chosen else replace(host, health="gone") for host in hosts]
        dropped = [name for name in self.members if name not in chosen and name not in listed_names]
        return Listing(
            listing.seq, False, hosts + [replace(self.listed[name], health="gone") for name in dropped]
        )

    def update_member(self, host: Host) -> face.Entry:
        """Add or update a member."""
        member = self.members.get(host.name)
        if member is None:
            member = Member(host, self.add_line(host))
            self.members[host.name] = member
        member.host = host
        if (member.address, member.born_ms) != (host.address, host.born_ms):
            self.drop_connections(member)  # the connections lead to a process that no longer exists
            member.address, member.born_ms = host.address, host.born_ms
        health = host.health
        if health == "ready" and self.exclusions and any(excludes(host) for excludes in self.exclusions):
            health = "draining"  # for the policy, until administrators put it back into use
        if health == "ready":
            member.left_at = None
            if member.line.removed:
                member.line = self.add_line(host)
        else:
            self.mark_leaving(member)
            if health == "gone":
                del self.members[host.name]
        return face.Entry(
            host.name,
            STATES[health],
            self.policy_time(host.born_ms),
            host.cell,
            self.zones.position(host.zone),
            self.kinds.position(host.kind),
        )

    def reevaluate(self, names: Iterable[str] | None = None) -> face.ListChanged:
        """Update some or all members after administrators have taken some out of use or put them back."""
        members = [self.members[name] for name in (names if names is not None else list(self.members))]
        return face.ListChanged(
            face.ListScope.CHANGES, [self.update_member(m.host) for m in members], self.seq
        )

    def mark_leaving(self, member: Member) -> None:
        if member.left_at is None:
            member.left_at = self.clock()
        self.drop_connections(member)

    def add_line(self, host: Host) -> ServerConnections:
        return self.planner.add_server(host.name, self.clock(), self.policy_time(host.born_ms))

    def drop_connections(self, member: Member) -> None:
        """Close the connections to the member's present process; requests in flight finish first."""
        for held in self.planner.remove_server(member.line):
            held.link.close(CloseReason.LEFT)

    def policy_time(self, born_ms: float) -> float:
        """Convert Unix time to the policy's clock; 0, for long ago, stays 0."""
        return born_ms - self.unix_offset if born_ms else 0.0

    def may_send(self, member: Member) -> bool:
        """Whether new requests may still be written to a member."""
        return member.left_at is None or self.clock() - member.left_at < self.drain_grace

    def take_idle(self, member: Member, safe: bool) -> Connection | None:
        """Take an idle connection; None if a new one is to be opened."""
        held = self.planner.acquire(member.line, self.clock(), safe)
        return held.link if held is not None else None

    def evict_idle(self) -> bool:
        """Close an idle connection to stay within the limit; False if there is none."""
        held = self.planner.eviction_candidate()
        if held is None:
            return False
        held.link.close(CloseReason.ROOM)
        return True
