"""Who monitors whom, and what the reports of monitors say of a member. No I/O; times are milliseconds.

Each process pings a few peers, chosen by rendezvous hashing over the members that it was told of, and reports
what it sees to the control plane. A member counts as suspected once a majority of its monitors say so;
observers and decision are apart, as in Suresh and others, "Rapid" (USENIX ATC 2018).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from barleybarrow.replication.rendezvous import ranked

TARGETS = 3  # peers that each process pings, and so on average the monitors of each
PING_PERIOD_MS = 1000.0
MISSES = 3  # pings in a row without an answer: datagrams get lost now and then
FROZEN_MS = 3000.0  # between two looks: this process stood still, and the answers missed are its own fault
REPORT_PERIOD_MS = 30_000.0  # each report is repeated, so that control knows who monitors whom
REPORT_KEPT_MS = 75_000.0  # two repetitions missed: this monitor has other targets now
UNLINKED_MS = 3000.0  # a member without a link to control for so long is suspected
REMOVED_MS = 30_000.0  # and removed


@dataclass(slots=True, frozen=True)
class PingOrder:
    """A ping to send."""

    target: str
    number: int


@dataclass(slots=True, frozen=True)
class Report:
    """What a monitor sees of a peer."""

    address: str
    reachable: bool


@dataclass(slots=True)
class Target:
    """A peer that this process monitors."""

    number: int = 0  # of the ping that waits for its answer; 0: none
    misses: int = 0
    reachable: bool | None = None  # as last reported
    reported_at: float = 0.0


class PeerMonitor:
    """Pings and reports of one process."""

    def __init__(self, own: str, first_number: int = 1) -> None:
        self.own = own
        self.targets: dict[str, Target] = {}
        self.reports: list[Report] = []  # to be taken and sent
        self._number = first_number - 1  # numbers of an earlier life at this address are never used again
        self._pinged_at = float("-inf")
        self._looked_at = float("-inf")

    def set_members(self, addresses: Iterable[str]) -> None:
        """The members have changed: choose whom to monitor."""
        others = [address for address in addresses if address != self.own]
        chosen = ranked(self.own, others)[:TARGETS]
        self.targets = {address: self.targets.get(address, Target()) for address in chosen}

    def tick(self, now: float) -> list[PingOrder]:
        """The pings that are due."""
        if now - self._looked_at > FROZEN_MS:
            for target in self.targets.values():
                target.number = target.misses = 0
        self._looked_at = now
        if now - self._pinged_at < PING_PERIOD_MS:
            return []
        self._pinged_at = now
        return [self._ping(address, target, now) for address, target in self.targets.items()]

    def answered(self, sender: str, number: int, now: float) -> None:
        """A peer has answered a ping."""
        target = self.targets.get(sender)
        if target is None or number != target.number:
            return
        target.number = target.misses = 0
        self._report(sender, target, True, now)

    def take_reports(self) -> list[Report]:
        """What has to be reported since the last call."""
        reports, self.reports = self.reports, []
        return reports

    def _ping(self, address: str, target: Target, now: float) -> PingOrder:
        if target.number:
            target.misses += 1
        if target.misses >= MISSES:
            self._report(address, target, False, now)
        self._number += 1
        target.number = self._number
        return PingOrder(address, self._number)

    def _report(self, address: str, target: Target, reachable: bool, now: float) -> None:
        if target.reachable is reachable and now - target.reported_at < REPORT_PERIOD_MS:
            return
        target.reachable, target.reported_at = reachable, now
        self.reports.append(Report(address, reachable))


@dataclass(slots=True)
class Member:
    """One process as the control plane sees it."""

    role: str
    node_name: str
    zone: str
    incarnation: int
    linked: bool = True
    unlinked_at: float = 0.0
    reports: dict[str, tuple[bool, float]] = field(default_factory=dict)  # by monitor: reachable, when


@dataclass(slots=True, frozen=True)
class View:
    """What members are told of one member; `removed` ones are gone."""

    address: str
    role: str
    node_name: str
    zone: str
    incarnation: int
    suspected: bool
    removed: bool = False


class MemberTable:
    """All members as one control process knows them."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self._told: dict[str, View] = {}

    def linked(self, address: str, member: Member) -> None:
        """A process has a link to this one."""
        known = self.members.get(address)
        if known is not None and known.incarnation == member.incarnation:
            member.reports = known.reports
        self.members[address] = member

    def unlinked(self, address: str, now: float) -> None:
        """The link of a process is gone."""
        member = self.members.get(address)
        if member is not None:
            member.linked, member.unlinked_at = False, now

    def reported(self, monitor: str, report: Report, now: float) -> None:
        """A monitor tells what it sees of a peer."""
        member = self.members.get(report.address)
        if member is not None:
            member.reports[monitor] = (report.reachable, now)

    def suspected(self, member: Member, now: float) -> bool:
        """Whether a majority of its monitors can't reach a member, or it has long had no link."""
        if not member.linked and now - member.unlinked_at >= UNLINKED_MS:
            return True
        words = [reachable for reachable, at in member.reports.values() if now - at < REPORT_KEPT_MS]
        return bool(words) and words.count(False) * 2 > len(words)

    def views(self, now: float) -> list[View]:
        """All members."""
        return [self._view(address, member, now) for address, member in self.members.items()]

    def changes(self, now: float) -> list[View]:
        """What changed since the last call."""
        self._remove_lost(now)
        current = {view.address: view for view in self.views(now)}
        changed = [view for address, view in current.items() if self._told.get(address) != view]
        for address, view in self._told.items():
            if address not in current:
                changed.append(View(address, view.role, "", "", 0, suspected=True, removed=True))
        self._told = current
        return changed

    def _view(self, address: str, member: Member, now: float) -> View:
        suspected = self.suspected(member, now)
        return View(address, member.role, member.node_name, member.zone, member.incarnation, suspected)

    def _remove_lost(self, now: float) -> None:
        for address, member in list(self.members.items()):
            if not member.linked and now - member.unlinked_at >= REMOVED_MS:
                del self.members[address]
            for monitor, (_, at) in list(member.reports.items()):
                if now - at >= REPORT_KEPT_MS:
                    del member.reports[monitor]


class ToldMembers:
    """The members as several control processes tell them to one: who any of them lists belongs.

    The first message of a control process after its link came up is its whole list, the others are changes.
    A control process that starts lists few at first, so none replaces what another tells.
    """

    def __init__(self) -> None:
        self._lists: dict[str, dict[str, View]] = {}
        self._expects_all: set[str] = set()

    def linked(self, teller: str) -> None:
        """The link of a control process came up: its next message is its whole list."""
        self._expects_all.add(teller)

    def told(self, teller: str, views: Iterable[View]) -> None:
        """A control process tells its whole list, or changes of it."""
        known = self._lists.setdefault(teller, {})
        if teller in self._expects_all:
            self._expects_all.discard(teller)
            known.clear()
        for view in views:
            if view.removed:
                known.pop(view.address, None)
            else:
                known[view.address] = view

    def keep_tellers(self, tellers: Iterable[str]) -> None:
        """Drop the lists of others: they tell this process no more, and what they told grows old."""
        kept = set(tellers)
        if kept & self._lists.keys():
            self._lists = {teller: known for teller, known in self._lists.items() if teller in kept}

    def members(self) -> dict[str, View]:
        """All members by address; suspected are those that nobody lists without suspicion."""
        joined: dict[str, View] = {}
        for known in self._lists.values():
            for address, view in known.items():
                other = joined.get(address)
                if other is None or other.suspected:
                    joined[address] = view
        return joined
