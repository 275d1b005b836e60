"""Proposal and acceptance of view changes by Paxos.

Safety: a view comes into being only if a majority of the members of the view before have accepted it.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from barleybarrow.view_links import (
    ACTIVE_INTERVAL_PERIODS,
    ANSWER_VALIDITY_PERIODS,
    CONTACT_WINDOW_PERIODS,
    REPORT_VALIDITY_PERIODS,
    UNSTABLE_MISSED_PINGS,
)
from barleybarrow.view_messages import (
    MAX_REPORTED_MEMBERS,
    Accept,
    Accepted,
    AgreementMessage,
    Decided,
    Prepare,
    Promise,
)
from barleybarrow.view_updates import MAX_PAYLOAD_BYTES, ViewUpdates
from barleybarrow.views import (
    ALIVE,
    HIGH_WATERMARK,
    LEFT,
    MAX_MEMBERS,
    SUSPECT,
    Address,
    GroupMember,
    Peer,
    Report,
    ViewChange,
    decide_removals,
)

# Times are in protocol periods.
RANK_DELAY_PERIODS = 1.5  # per reachable member before this one by name
SUSPICION_DELAY_PERIODS = 0.7  # before a round starts, since most suspicions are refuted
UNSETTLED_TIMEOUT_PERIODS = 8.0  # how long reports between the thresholds are waited for
ROUND_DEFERENCE_PERIODS = 1.5  # how long a process leaves the initiative to another proposer
ROUND_TIMEOUT_PERIODS = 4.0  # without a majority
BACKOFF_RANGE_PERIODS = 1.0, 3.0  # random, after a higher round was seen
MAX_PROBED_JOINERS = 12  # in one message

Ballot = tuple[int, str]  # (round, name of the proposer)
NO_BALLOT: Ballot = (0, "")


class Stage(Enum):
    IDLE = "idle"
    POLLING = "polling"
    ACCEPTING = "accepting"


@dataclass(slots=True)
class ProposerState:
    """State of this process in its role as proposer."""

    stage: Stage = Stage.IDLE
    ballot: Ballot = NO_BALLOT
    change: ViewChange | None = None
    began_at: float = -inf
    backoff_until: float = -inf
    majority_heard_at: float = -inf  # last time that a majority had answered recently


class ViewRounds(ViewUpdates):
    """Proposer and acceptor of view changes: one instance of Paxos for each view number."""

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
        super().__init__(name, epoch, address, peers, period, rng, now)
        self.reset_round()

    def reset_round(self) -> None:
        """Reset the state that belongs to one view number."""
        self.promised: Ballot = NO_BALLOT
        self.accepted: tuple[Ballot, ViewChange] | None = None
        self.promises: dict[Address, tuple[float, str, Promise]] = {}
        self.accepted_by: set[str] = set()
        self.proposer = ProposerState()
        self.change_needed_since: float | None = None
        self.unsettled_since: float | None = None  # since when reports have been between the thresholds
        self.vote: tuple[str, float] = ("", -inf)

    def ended_members(self) -> list[str]:
        """Members whose epoch has ended: they have left, or a later epoch of theirs is known."""
        view, ended = self.view, []
        assert view is not None
        for member in view.members:
            peer = self.peers.get(member.name)
            if peer is not None and member.name != self.name:
                if (peer.epoch > member.epoch and peer.verified) or (
                    peer.epoch == member.epoch and peer.state == LEFT
                ):
                    ended.append(member.name)
        return ended

    def is_unrecoverable(self, now: float) -> bool:
        """Whether the view can never change again, as far as this process can tell.

        Either the epochs of too many members have ended. Or, for a long time, the reachable members have been
        too few while together with restarted ones they are a majority of the names: then the silent members
        can't form a majority without them either.
        """
        view, ended = self.view, self.ended_members()
        assert view is not None
        if len(view.members) - len(ended) < view.majority:
            return True
        if (
            not ended
            or self.change_needed_since is None
            or now - self.change_needed_since < 2 * UNSETTLED_TIMEOUT_PERIODS * self.period
        ):
            return False
        contact_since = now - CONTACT_WINDOW_PERIODS * self.period
        reachable = {
            member.name for member in view.members if self.link(member.name).answered_at >= contact_since
        }
        return len(reachable - set(ended)) + 1 < view.majority <= len(reachable) + 1

    def joiners(self, now: float) -> list[GroupMember]:
        """Verified processes that can be added to the view."""
        view, joiners = self.view, []
        for peer in self.peers.values():
            if (
                peer.state != ALIVE
                or not peer.verified
                or (view is not None and view.has_epoch(peer.name, peer.epoch))
            ):
                continue
            if self.is_superseded(peer):
                continue
            stamp = self.peer_stamps.get(peer.name)
            if stamp is None or stamp[0].group or stamp[1] != peer.epoch:
                continue  # it has a group of its own, or has not learned yet that its epoch has ended
            if peer.name in self.removed and peer.epoch <= self.removed[peer.name][1]:
                continue
            link = self.links.get(peer.name)
            if link is not None and link.missed_pings < UNSTABLE_MISSED_PINGS:
                joiners.append(GroupMember(peer.name, peer.epoch, *peer.address))
        return joiners

    def propose(self, now: float) -> bool:
        """Drive the proposer; returns whether a change of the view is needed."""
        view, proposer = self.view, self.proposer
        assert view is not None
        suspected_before = now - SUSPICION_DELAY_PERIODS * self.period
        suspected = [
            peer.name
            for peer in self.peers.values()
            if peer.state == SUSPECT
            and peer.state_since <= suspected_before
            and view.has_epoch(peer.name, peer.epoch)
        ]
        joiners = self.joiners(now)
        if not (suspected or joiners or self.ended_members()):
            self.change_needed_since, self.proposer.stage = None, Stage.IDLE
            return False
        if self.change_needed_since is None:
            self.change_needed_since = now
        if proposer.stage is Stage.IDLE:
            waited = now - self.change_needed_since >= min(self.rank(), 8) * RANK_DELAY_PERIODS * self.period
            round_in_progress = now - self.round_seen_at < ROUND_DEFERENCE_PERIODS * self.period
            if waited and not round_in_progress and now >= proposer.backoff_until and not self.disconnected:
                self.start_round(now)
            return True
        if proposer.stage is Stage.ACCEPTING:
            if now - proposer.began_at > ROUND_TIMEOUT_PERIODS * self.period:
                self.back_off(now)
            else:
                assert proposer.change is not None
                self.broadcast(Accept(proposer.ballot[0], proposer.change), self.accepted_by)
            return True
        if (
            self.disconnected
            or now - max(proposer.began_at, proposer.majority_heard_at) > ROUND_TIMEOUT_PERIODS * self.period
        ):
            self.back_off(now)  # no majority has answered
            return True
        is_overdue = now - proposer.began_at > 2 * UNSETTLED_TIMEOUT_PERIODS * self.period
        # A round that has made no progress for long sends its requests less often.
        if not is_overdue or self.rng.random() < ACTIVE_INTERVAL_PERIODS / 2:
            self.send_prepares(now, joiners)
        self.evaluate_promises(now, joiners)
        return True

    def start_round(self, now: float) -> None:
        """Start a round as proposer."""
        highest = max(self.promised[0], self.proposer.ballot[0])
        self.proposer = ProposerState(Stage.POLLING, (highest + 1, self.name), None, now)
        self.promised = self.proposer.ballot
        self.promises.clear()
        self.send_prepares(now, self.joiners(now))

    def send_prepares(self, now: float, joiners: list[GroupMember]) -> None:
        self.round_seen_at = now
        to_probe = [joiner.name for joiner in joiners if joiner.name in self.removed][:MAX_PROBED_JOINERS]
        for name in to_probe:
            self.requested_probes[name] = now + ANSWER_VALIDITY_PERIODS * self.period
        self.broadcast(Prepare(self.proposer.ballot[0], to_probe))
        self.promises[self.address] = (
            now,
            self.name,
            self.make_promise(
                now, self.proposer.ballot, self.proposer.ballot >= self.promised, self.promised[0]
            ),
        )

    def broadcast(self, body: AgreementMessage, exclude: Collection[str] = ()) -> None:
        assert self.view is not None
        for member in self.view.members:
            if member.name != self.name and member.name not in exclude:
                self.enqueue(member.address, body)

    def back_off(self, now: float, highest: int = 0) -> None:
        """Abandon the round and wait for a random time."""
        shortest, longest = BACKOFF_RANGE_PERIODS
        until = now + self.rng.uniform(shortest, longest) * self.period
        ballot = max(self.proposer.ballot, (highest, ""))
        self.proposer = ProposerState(Stage.IDLE, ballot, backoff_until=until)

    def evaluate_promises(self, now: float, joiners: list[GroupMember]) -> None:
        """Choose a change and ask for its acceptance, once a majority has promised recently."""
        view, proposer = self.view, self.proposer
        assert view is not None
        fresh = {
            name: promise
            for received_at, name, promise in self.promises.values()
            if promise.granted
            and promise.round == proposer.ballot[0]
            and now - received_at <= REPORT_VALIDITY_PERIODS * self.period
        }
        if len(fresh) < view.majority:
            return
        proposer.majority_heard_at = now
        accepted = [promise.accepted for promise in fresh.values() if promise.accepted is not None]
        if accepted:
            change: ViewChange | None = max(accepted, key=lambda entry: (entry[0], entry[1]))[2]
        else:
            change = self.choose_change(now, fresh, joiners)
        if change is not None:
            proposer.stage, proposer.change, proposer.began_at = Stage.ACCEPTING, change, now
            self.accepted_by = {self.name}
            self.accepted = proposer.ballot, change
            self.broadcast(Accept(proposer.ballot[0], change))
            self.count_acceptances(now)

    def choose_change(
        self, now: float, fresh: Mapping[str, Promise], joiners: list[GroupMember]
    ) -> ViewChange | None:
        """The change that reports and joiners ask for, if it keeps a majority of the view; else None."""
        view = self.view
        assert view is not None
        names = [member.name for member in view.members]
        reports = {
            reporter: Report(
                frozenset(names[index] for index in promise.down if index < len(names)),
                frozenset(names[index] for index in promise.doubtful if index < len(names)),
                frozenset(promise.reached),
            )
            for reporter, promise in fresh.items()
        }
        ended = set(self.ended_members())
        removed, settled = decide_removals(view, ended, reports)
        if settled:
            self.unsettled_since = None
        elif self.unsettled_since is None:
            self.unsettled_since = now
        waiting = (
            self.unsettled_since is not None
            and now - self.unsettled_since < UNSETTLED_TIMEOUT_PERIODS * self.period
        )
        if waiting or len([name for name in fresh if name not in removed]) < view.majority:
            removed = ended  # certain without any reports
        if self.name in removed or len([name for name in fresh if name not in removed]) < view.majority:
            return None
        added, room = list[GroupMember](), MAX_PAYLOAD_BYTES - 3 * sum(len(name) for name in removed)
        for joiner in joiners:
            room -= len(joiner.name) + len(joiner.host) + 16
            full = len(view.members) - len(removed) + len(added) >= MAX_MEMBERS
            if room < 0 or full or (joiner.name in view.by_name and joiner.name not in removed):
                continue
            if joiner.name not in self.removed or self.is_vouched_for(now, joiner.name, removed, reports):
                added.append(joiner)
        added.sort(key=lambda joiner: joiner.name)
        return ViewChange(sorted(removed), added) if removed or added else None

    def is_vouched_for(
        self, now: float, name: str, removed: Collection[str], reports: Mapping[str, Report]
    ) -> bool:
        """Whether enough future observers of a removed member have had its answers for long enough."""
        assert self.view is not None
        observers = [
            observer
            for observer in self.view.observers(name)
            if observer not in removed and observer in reports
        ]
        vouching = sum(name in reports[observer].reached for observer in observers)
        return self.has_proven_link(now, name) and (
            not observers or vouching / len(observers) > HIGH_WATERMARK
        )

    def on_proposer_message(self, now: float, source: Peer, body: Prepare | Accept) -> None:
        """Handle a request of a proposer, as acceptor."""
        ballot = body.round, source.name
        granted, higher, promised_round = ballot >= self.promised, ballot > self.promised, None
        if higher and self.link(source.name).missed_pings >= UNSTABLE_MISSED_PINGS:
            # A proposer that receives no answers must not obstruct members that reach each other.
            granted, higher, promised_round = False, False, 0
        if higher:  # a repeated request, for lack of answers, delays nobody
            self.promised = ballot
            if self.proposer.stage is not Stage.IDLE and ballot > self.proposer.ballot:
                self.back_off(now, ballot[0])
            else:
                self.proposer.backoff_until = max(
                    self.proposer.backoff_until, now + BACKOFF_RANGE_PERIODS[0] * self.period
                )
        if promised_round is None:
            promised_round = self.promised[0]
        if isinstance(body, Prepare):
            if granted:
                self.round_seen_at = now
            for name in body.joiners:
                self.requested_probes[name] = now + ANSWER_VALIDITY_PERIODS * self.period
            self.enqueue(source.address, self.make_promise(now, ballot, granted, promised_round))
            return
        if granted:
            self.accepted = ballot, body.change
        self.enqueue(source.address, Accepted(body.round, granted, promised_round))

    def make_promise(self, now: float, ballot: Ballot, granted: bool, promised_round: int) -> Promise:
        view = self.view
        assert view is not None
        index_by_name = {member.name: index for index, member in enumerate(view.members)}
        down, doubtful, reached = self.link_report(now)
        if self.accepted is not None:
            return Promise(ballot[0], granted, promised_round, (*self.accepted[0], self.accepted[1]))
        return Promise(
            ballot[0],
            granted,
            promised_round,
            None,
            [index_by_name[name] for name in down][:MAX_REPORTED_MEMBERS],
            [index_by_name[name] for name in doubtful][:MAX_REPORTED_MEMBERS],
            reached[:MAX_PROBED_JOINERS],
        )

    def on_acceptor_reply(self, now: float, source: Peer, body: Promise | Accepted) -> None:
        """Handle the reply of an acceptor, as proposer."""
        proposer = self.proposer
        if proposer.stage is Stage.IDLE or body.round != proposer.ballot[0]:
            return
        if not body.granted:
            if (
                body.promised_round
            ):  # 0: the acceptor considers this process unreachable; no higher round is known
                self.back_off(now, body.promised_round)
        elif isinstance(body, Promise):
            self.promises[source.address] = now, source.name, body
            if proposer.stage is Stage.POLLING and self.view and len(self.promises) >= self.view.majority:
                self.evaluate_promises(now, self.joiners(now))
        elif proposer.stage is Stage.ACCEPTING:
            self.accepted_by.add(source.name)
            self.count_acceptances(now)

    def count_acceptances(self, now: float) -> None:
        """Announce and install the change once a majority has accepted it."""
        view, change = self.view, self.proposer.change
        assert view is not None and change is not None
        if len(self.accepted_by) >= view.majority:
            for member in view.members:
                if member.name != self.name:
                    self.enqueue(member.address, Decided(view.group, view.number + 1, change))
            self.apply_change(now, change)
            if self.view is not None:
                for joiner in change.added:
                    self.send_pages(now, joiner.name, joiner.address)
