"""Failure detection by peers: assignment of monitors and evaluation of their reports. No I/O; milliseconds.

Each process pings a few peers, chosen by rendezvous hashing over the members known to it, and reports whether
they are reachable to the control plane. A member is suspected once a majority of its monitors report it as
unreachable; observing and deciding are separate, as in Suresh and others, "Rapid" (USENIX ATC 2018).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from barleybarrow.replication.rendezvous import ranked

MONITORED_PEERS = 3  # peers that each process pings, and thus the average number of monitors of each
PING_INTERVAL_MS = 1000.0
MISSED_PINGS_LIMIT = 3  # consecutive unanswered pings; single datagrams may be lost
STALL_THRESHOLD_MS = 3000.0  # a longer gap between two ticks: this process was stalled and missed answers
REPORT_INTERVAL_MS = 30_000.0  # reports are repeated, so that the control plane knows who monitors whom
REPORT_TTL_MS = 75_000.0  # two repetitions missed: this monitor has changed its targets
DISCONNECTED_SUSPECT_MS = 3000.0  # a member is suspected after so long without a link to the control plane
DISCONNECTED_REMOVAL_MS = 30_000.0  # and removed after so long


@dataclass(slots=True, frozen=True)
class PingRequest:
    """A ping to send."""

    target: str
    number: int


@dataclass(slots=True, frozen=True)
class ReachabilityReport:
    """Whether a monitor can reach a peer."""

    address: str
    reachable: bool


@dataclass(slots=True)
class MonitoredPeer:
    """A peer that this process monitors."""

    pending_ping: int = 0  # number of the unanswered ping; 0: none
    missed_pings: int = 0
    last_reported: bool | None = None  # None: not reported yet
    reported_at: float = 0.0


class PeerMonitor:
    """The monitor of one process: pings its targets and reports changes."""

    def __init__(self, own: str, first_number: int = 1) -> None:
        self.own_address = own
        self.targets: dict[str, MonitoredPeer] = {}
        self.reports: list[ReachabilityReport] = []  # to be sent
        self._last_number = first_number - 1  # never reuses numbers of an earlier incarnation at this address
        self._pinged_at = float("-inf")
        self._ticked_at = float("-inf")

    def set_members(self, addresses: Iterable[str]) -> None:
        """Choose the peers to monitor after a change of the members."""
        others = [address for address in addresses if address != self.own_address]
        chosen = ranked(self.own_address, others)[:MONITORED_PEERS]
        self.targets = {address: self.targets.get(address, MonitoredPeer()) for address in chosen}

    def tick(self, now: float) -> list[PingRequest]:
        """Return the pings that are due."""
        if now - self._ticked_at > STALL_THRESHOLD_MS:
            for target in self.targets.values():
                target.pending_ping = target.missed_pings = 0
        self._ticked_at = now
        if now - self._pinged_at < PING_INTERVAL_MS:
            return []
        self._pinged_at = now
        return [self._ping(address, target, now) for address, target in self.targets.items()]

    def on_answer(self, sender: str, number: int, now: float) -> None:
        """Handle the answer of a peer to a ping."""
        target = self.targets.get(sender)
        if target is None or number != target.pending_ping:
            return
        target.pending_ping = target.missed_pings = 0
        self._report(sender, target, True, now)

    def take_reports(self) -> list[ReachabilityReport]:
        """Return and clear the reports to send."""
        reports, self.reports = self.reports, []
        return reports

    def _ping(self, address: str, target: MonitoredPeer, now: float) -> PingRequest:
        if target.pending_ping:
            target.missed_pings += 1
        if target.missed_pings >= MISSED_PINGS_LIMIT:
            self._report(address, target, False, now)
        self._last_number += 1
        target.pending_ping = self._last_number
        return PingRequest(address, self._last_number)

    def _report(self, address: str, target: MonitoredPeer, reachable: bool, now: float) -> None:
        if target.last_reported is reachable and now - target.reported_at < REPORT_INTERVAL_MS:
            return
        target.last_reported, target.reported_at = reachable, now
        self.reports.append(ReachabilityReport(address, reachable))


@dataclass(slots=True)
class Member:
    """State of one process in the member table."""

    role: str
    node_name: str
    zone: str
    incarnation: int
    connected: bool = True
    disconnected_at: float = 0.0
    reports: dict[str, tuple[bool, float]] = field(default_factory=dict)  # by monitor: (reachable, time)


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """State of one member as published to the others; `removed` marks a deletion."""

    address: str
    role: str
    node_name: str
    zone: str
    incarnation: int
    suspected: bool
    removed: bool = False


class MemberTable:
    """All members known to one control process."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self._last_published: dict[str, MemberStatus] = {}

    def on_connected(self, address: str, member: Member) -> None:
        """Handle a new link from a process; reports on the same incarnation are kept."""
        known = self.members.get(address)
        if known is not None and known.incarnation == member.incarnation:
            member.reports = known.reports
        self.members[address] = member

    def on_disconnected(self, address: str, now: float) -> None:
        """Handle the loss of a process's link."""
        member = self.members.get(address)
        if member is not None:
            member.connected, member.disconnected_at = False, now

    def on_report(self, monitor: str, report: ReachabilityReport, now: float) -> None:
        """Store a report of a monitor."""
        member = self.members.get(report.address)
        if member is not None:
            member.reports[monitor] = (report.reachable, now)

    def is_suspected(self, member: Member, now: float) -> bool:
        """Whether most monitors of a member can't reach it, or its link has been down for too long."""
        if not member.connected and now - member.disconnected_at >= DISCONNECTED_SUSPECT_MS:
            return True
        recent_reports = [reachable for reachable, at in member.reports.values() if now - at < REPORT_TTL_MS]
        return bool(recent_reports) and recent_reports.count(False) * 2 > len(recent_reports)

    def statuses(self, now: float) -> list[MemberStatus]:
        """Status of all members."""
        return [self._status(address, member, now) for address, member in self.members.items()]

    def take_changes(self, now: float) -> list[MemberStatus]:
        """Return the statuses changed since the last call, including removals."""
        self._remove_expired(now)
        current = {status.address: status for status in self.statuses(now)}
        changed = [
            status for address, status in current.items() if self._last_published.get(address) != status
        ]
        for address, status in self._last_published.items():
            if address not in current:
                changed.append(MemberStatus(address, status.role, "", "", 0, suspected=True, removed=True))
        self._last_published = current
        return changed

    def _status(self, address: str, member: Member, now: float) -> MemberStatus:
        suspected = self.is_suspected(member, now)
        return MemberStatus(
            address, member.role, member.node_name, member.zone, member.incarnation, suspected
        )

    def _remove_expired(self, now: float) -> None:
        for address, member in list(self.members.items()):
            if not member.connected and now - member.disconnected_at >= DISCONNECTED_REMOVAL_MS:
                del self.members[address]
            for monitor, (_, at) in list(member.reports.items()):
                if now - at >= REPORT_TTL_MS:
                    del member.reports[monitor]


class MergedMemberLists:
    """Union of the member lists that a process receives from several control processes.

    The first message of a control process after its link came up is its full list, later ones are changes.
    A newly started control process lists few members at first, so its list doesn't replace that of another.
    """

    def __init__(self) -> None:
        self._lists: dict[str, dict[str, MemberStatus]] = {}
        self._awaiting_full_list: set[str] = set()

    def on_connected(self, source: str) -> None:
        """Handle a new link to a control process: its next message is its full list."""
        self._awaiting_full_list.add(source)

    def apply_update(self, source: str, statuses: Iterable[MemberStatus]) -> None:
        """Apply the full list of a control process, or changes to it."""
        members = self._lists.setdefault(source, {})
        if source in self._awaiting_full_list:
            self._awaiting_full_list.discard(source)
            members.clear()
        for status in statuses:
            if status.removed:
                members.pop(status.address, None)
            else:
                members[status.address] = status

    def retain_sources(self, sources: Iterable[str]) -> None:
        """Drop the lists of all other sources, which are no longer updated."""
        retained = set(sources)
        if retained & self._lists.keys():
            self._lists = {source: members for source, members in self._lists.items() if source in retained}

    def members(self) -> dict[str, MemberStatus]:
        """All members by address; one is suspected only if every source that lists it suspects it."""
        merged: dict[str, MemberStatus] = {}
        for member_list in self._lists.values():
            for address, status in member_list.items():
                other = merged.get(address)
                if other is None or other.suspected:
                    merged[address] = status
        return merged
