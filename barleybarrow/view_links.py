"""State of the links to the other members of a view, as observed by pings; no decisions on membership."""

from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import ceil, inf
from random import Random

from barleybarrow.view_messages import AgreementMessage
from barleybarrow.views import ALIVE, SUSPECT, Address, Peer, View, ViewStamp, missed_pings_limit

# Times are in protocol periods.
ACTIVE_INTERVAL_PERIODS = 0.3  # between two checks while there is something to do
REPORT_VALIDITY_PERIODS = 1.6  # five checks
DOWN_LINK_PING_INTERVAL_PERIODS = 5.0
READMISSION_PROOF_PERIODS = 4.0  # how long a removed member has to answer before it is readmitted
ANSWER_VALIDITY_PERIODS = 3.0  # how long an answer shows that a joiner is reachable
SELF_CHECK_TIMEOUT_PERIODS = 3.0  # until a majority must have answered; plus one per MEMBERS_PER_EXTRA_PERIOD
MEMBERS_PER_EXTRA_PERIOD = 50
CONTACT_WINDOW_PERIODS = 5.0  # how long an answer counts as contact; plus one per MEMBERS_PER_EXTRA_PERIOD
UNSTABLE_MISSED_PINGS = 3  # consecutive; a joiner then has to restart its proof
LONG_DISCONNECT_PERIODS = 10.0  # after which a disconnected process sends fewer pings at a time
SELF_CHECK_FAILURES, PROBE_HISTORY_LENGTH = 2, 4  # a self-check starts if so many of the last probes failed
MAX_PINGS_PER_CHECK = 16  # so that the end of a pause causes no burst
JOINER_PINGERS = 2  # the first so many reachable members by name ping unknown processes
MAX_OUTBOX = 512  # messages


@dataclass(slots=True)
class Link:
    """State of the link to another process, as observed by pings. Times are on the local clock."""

    missed_pings: int = 0  # consecutive
    answered_at: float = -inf
    answering_since: float = inf  # first of the latest consecutive answers
    heard_at: float = -inf
    pinged_at: float = -inf
    view_requested_at: float = -inf
    updates_sent_at: float = -inf
    resend_interval: float = 0.0
    updates_sent_for: tuple[int, int] = (0, 0)  # the peer's view (group, number) at the last send


class ViewLinks:
    """Link state of one process, and whether it is connected to a majority of its view.

    The owner sends the messages of `out` and pings the members of `pings`.
    """

    def __init__(
        self,
        name: str,
        epoch: int,
        address: Address,
        peers: Mapping[str, Peer],
        period: float,
        rng: Random,
        now: float,
    ) -> None:
        self.name, self.epoch, self.address, self.peers = name, epoch, address, peers
        self.period, self.rng = period, rng
        self.view: View | None = None
        self.disconnected = True
        self.links: dict[str, Link] = {}
        self.outbox: list[tuple[Address, AgreementMessage]] = []
        self.pending_pings: list[str] = []
        self.counts: Counter[str] = Counter()
        self.requested_probes: dict[str, float] = {}  # joiners that others asked to probe, and until when
        self.next_check = now
        self.round_seen_at = -inf
        self.probe_failures, self.self_check_since = 0, now  # bit mask; inf: no self-check in progress

    @property
    def number(self) -> int:
        return self.view.number if self.view is not None else 0

    def stamp(self) -> ViewStamp:
        view = self.view
        if view is None:
            return ViewStamp()
        return ViewStamp(view.group, view.number, len(view.members), self.disconnected)

    def reaches(self, name: str) -> bool:
        """Whether a member is reachable in both directions and not suspected, as far as known locally."""
        if name == self.name:
            return True
        peer = self.peers.get(name)
        is_member = self.view is not None and name in self.view.by_name
        return is_member and peer is not None and peer.state == ALIVE and not self.is_down(name)

    def is_down(self, name: str) -> bool:
        link = self.links.get(name)
        size = len(self.view.members) if self.view is not None else 0
        return link is not None and link.missed_pings >= missed_pings_limit(size)

    def one_way(self, now: float) -> list[str]:
        """Members whose datagrams arrive but that do not answer pings."""
        since = now - CONTACT_WINDOW_PERIODS * self.period
        return sorted(
            name for name, link in self.links.items() if self.is_down(name) and link.heard_at > since
        )

    def link(self, name: str) -> Link:
        link = self.links.get(name)
        if link is None:
            link = self.links[name] = Link()
        return link

    def on_heard(self, now: float, name: str) -> None:
        self.link(name).heard_at = now

    def on_answer(self, now: float, name: str) -> None:
        """Handle an answer to a ping, sent by its target from the target's address."""
        link = self.link(name)
        link.answering_since = min(link.answering_since, now)
        link.missed_pings, link.answered_at, link.heard_at = 0, now, now

    def on_missed_ping(self, now: float, name: str) -> None:
        """Handle a ping that was not answered."""
        link = self.link(name)
        link.missed_pings += 1
        if link.missed_pings >= UNSTABLE_MISSED_PINGS:
            link.answering_since = inf
        self.check_soon(now)

    def on_probe_result(self, now: float, answered: bool) -> None:
        """Record whether a randomly chosen member has answered a probe, directly or indirectly."""
        self.probe_failures = (self.probe_failures << 1 | (not answered)) & (1 << PROBE_HISTORY_LENGTH) - 1
        if self.probe_failures.bit_count() >= SELF_CHECK_FAILURES and self.self_check_since == inf:
            self.self_check_since = now
            self.check_soon(now)

    def check_soon(self, now: float) -> None:
        self.next_check = min(self.next_check, now + ACTIVE_INTERVAL_PERIODS * self.period)

    def check_self(self, now: float) -> bool:
        """While this process doubts its own links, ping members until a majority has answered."""
        view = self.view
        if view is None or self.self_check_since == inf:
            return False
        extra_periods = len(view.members) / MEMBERS_PER_EXTRA_PERIOD
        since = max(self.self_check_since, now - (CONTACT_WINDOW_PERIODS + extra_periods) * self.period)
        silent = [
            member.name
            for member in view.members
            if member.name != self.name and self.link(member.name).answered_at < since
        ]
        if len(view.members) - len(silent) >= view.majority:
            self.self_check_since, self.disconnected, self.probe_failures = inf, False, 0
            return False
        if now - self.self_check_since >= (SELF_CHECK_TIMEOUT_PERIODS + extra_periods) * self.period:
            self.disconnected = True
        max_pings = MAX_PINGS_PER_CHECK
        # After a long disconnect, send just enough pings to detect its end within the contact window.
        if now - self.self_check_since > LONG_DISCONNECT_PERIODS * self.period:
            max_pings = min(
                MAX_PINGS_PER_CHECK,
                2 + ceil(view.majority * ACTIVE_INTERVAL_PERIODS / (CONTACT_WINDOW_PERIODS + extra_periods)),
            )
        if len(view.members) > 1:
            self.queue_pings(now, self.rng.sample(silent, min(max_pings, len(silent))))
        return True

    def queue_pings(self, now: float, names: Collection[str]) -> None:
        for name in names:
            if len(self.pending_pings) < MAX_PINGS_PER_CHECK and name not in self.pending_pings:
                self.link(name).pinged_at = now
                self.pending_pings.append(name)

    def ping_due_links(self, now: float) -> bool:
        """Ping suspected members that this process observes, members that missed pings, and joiners."""
        view, due = self.view, []
        assert view is not None
        watched = set(view.subjects(self.name))
        round_in_progress = now - self.round_seen_at < REPORT_VALIDITY_PERIODS * self.period
        for member in view.members:
            known, link = self.peers.get(member.name), self.links.get(member.name)
            suspect = known is not None and known.state == SUSPECT
            has_missed_pings = link is not None and link.missed_pings > 0
            if member.name == self.name or not (
                has_missed_pings or (member.name in watched and (suspect or round_in_progress))
            ):
                continue
            link = self.link(member.name)
            if not has_missed_pings and now - link.answered_at < self.period:
                continue
            reported_down = link.missed_pings >= (2 if suspect else 1) * missed_pings_limit(len(view.members))
            ping_interval = (
                DOWN_LINK_PING_INTERVAL_PERIODS if reported_down else ACTIVE_INTERVAL_PERIODS * 0.9
            )
            if now - link.pinged_at >= ping_interval * self.period:
                due.append(member.name)
        if self.rank() < JOINER_PINGERS:  # a likely proposer has to know about joiners
            for peer in self.peers.values():
                unknown_epoch = (
                    peer.state == ALIVE and not peer.verified and not view.has_epoch(peer.name, peer.epoch)
                )
                if unknown_epoch and now - self.link(peer.name).pinged_at >= self.period:
                    due.append(peer.name)
        for name in [joiner for joiner, until in self.requested_probes.items() if until < now]:
            del self.requested_probes[name]
        due += [
            joiner for joiner in self.requested_probes if now - self.link(joiner).answered_at > self.period
        ]
        self.queue_pings(
            now, due if len(due) <= MAX_PINGS_PER_CHECK else self.rng.sample(due, MAX_PINGS_PER_CHECK)
        )
        return bool(due)

    def link_report(self, now: float) -> tuple[list[str], list[str], list[str]]:
        """Members that do not answer, doubtful members, and joiners that answer reliably."""
        view = self.view
        assert view is not None
        down = [name for name in self.links if name in view.by_name and self.is_down(name)]
        # With datagram loss, one or two missed pings mean nothing.
        last_miss = missed_pings_limit(len(view.members)) - 1
        doubtful = [
            name
            for name, link in self.links.items()
            if link.missed_pings == last_miss and name in view.by_name
        ]
        reached = [name for name in self.requested_probes if self.has_proven_link(now, name)]
        return sorted(down), sorted(doubtful), reached

    def has_proven_link(self, now: float, name: str) -> bool:
        """Whether a removed member has been answering for long enough to be readmitted."""
        link = self.links.get(name)
        if (
            link is None
            or link.missed_pings >= UNSTABLE_MISSED_PINGS
            or now - link.answered_at > ANSWER_VALIDITY_PERIODS * self.period
        ):
            return False
        return now - link.answering_since >= READMISSION_PROOF_PERIODS * self.period

    def rank(self) -> int:
        """Number of reachable members before this one by name; the lower, the sooner it proposes."""
        view, before = self.view, 0
        assert view is not None
        for member in view.members:
            if member.name == self.name:
                break
            before += self.reaches(member.name)
        return before

    def enqueue(self, address: Address, body: AgreementMessage) -> None:
        if len(self.outbox) < MAX_OUTBOX:
            self.outbox.append((address, body))
        else:
            self.counts["out"] += 1
