"""Agreement of a group on its views: a state machine driven by ping results, messages and the time.

Safety: a view comes into being only if a majority of the view before have accepted it, and a process never
claims to be connected to a majority while it is not. One instance of Paxos (Lamport, "The Part-Time
Parliament", 1998) decides each view number. The acceptors are the members of the view; a restarted process
has a later epoch and is not one of them. The table of stages and the reasons for the constants are in
`docs/design/membership.md`.

Layers, from the lowest: `view_links`, `view_updates`, `view_rounds`, and the founding of groups here.
"""

from collections.abc import Collection, Mapping
from math import inf
from random import Random

from barleybarrow.view_links import ACTIVE_INTERVAL_PERIODS
from barleybarrow.view_messages import (
    Accept,
    AgreementMessage,
    Decided,
    EpochEnded,
    Prepare,
    Promise,
    ViewPage,
    ViewRequest,
)
from barleybarrow.view_rounds import ROUND_TIMEOUT_PERIODS, ProposerState, Stage, ViewRounds
from barleybarrow.view_updates import MAX_PAYLOAD_BYTES, REMOVAL_RETENTION_PERIODS
from barleybarrow.views import Address, GroupMember, Peer, View, ViewStamp

# Times are in protocol periods.
IDLE_INTERVAL_PERIODS = 1.0  # between two checks while there is nothing to do
# Minimum time without contact to any group before founding one; longer for processes that are not seeds.
FOUNDING_DELAY_PERIODS, NON_SEED_FOUNDING_DELAY_PERIODS = 2.0, 8.0
REMOVED_VOTE_BAN_PERIODS = 30.0  # how long a removed member votes for no founder
VOTE_VALIDITY_PERIODS = 10.0


class ViewAgreement(ViewRounds):
    """The state machine of one process; founds a group if there is none."""

    def __init__(
        self,
        name: str,
        epoch: int,
        address: Address,
        seeds: Collection[Address],
        peers: Mapping[str, Peer],
        period: float,
        rng: Random,
        now: float,
    ) -> None:
        super().__init__(name, epoch, address, peers, period, rng, now)
        self.acts_as_seed = not seeds or address in seeds
        self.founding_voters = {*seeds} if self.acts_as_seed and seeds else {*seeds, address}

    def on_stall(self, now: float) -> None:
        """Handle a stall of this process: it counts as disconnected until a majority has answered."""
        self.self_check_since, self.disconnected = now, True
        self.proposer = ProposerState()
        self.promises.clear()
        for link in self.links.values():
            link.missed_pings = 0
        self.check_soon(now)

    def tick(self, now: float) -> None:
        if now < self.next_check:
            return
        self.pending_pings.clear()
        busy = self.run_checks(now)
        self.next_check = now + (ACTIVE_INTERVAL_PERIODS if busy else IDLE_INTERVAL_PERIODS) * self.period

    def run_checks(self, now: float) -> bool:
        """Run the checks that are due; returns whether the next ones are due soon."""
        if self.view is None:
            self.try_to_found(now)
            return True
        if self.is_unrecoverable(now):
            self.counts["dissolved"] += 1
            self.start_new_epoch(now, may_found=True)
            return True
        busy = self.check_self(now)
        busy |= self.ping_due_links(now)
        busy |= self.propose(now)
        return busy

    def receive(self, now: float, source: Peer, stamp: ViewStamp, body: AgreementMessage) -> None:
        """Handle a message from a verified peer, with the stamp that it carried."""
        self.check_soon(now)
        if isinstance(body, Decided):
            self.on_decided(now, body)
        elif isinstance(body, ViewPage):
            self.on_page(now, body)
        elif isinstance(body, ViewRequest):
            self.send_updates(now, source, stamp)
        elif isinstance(body, EpochEnded):
            if self.view is None and body.epoch >= self.epoch:
                self.epoch = body.epoch  # higher than the own one if the local clock went back
                self.start_new_epoch(now)
        elif stamp.group == 0 and isinstance(body, Prepare | Promise):
            self.on_founding_message(now, source, body)
        elif self.view is not None and (stamp.group, stamp.number) == (self.view.group, self.view.number):
            if not self.view.has_epoch(source.name, source.epoch):
                self.counts["stranger"] += 1
            elif isinstance(body, Prepare | Accept):
                self.on_proposer_message(now, source, body)
            else:
                self.on_acceptor_reply(now, source, body)

    def try_to_found(self, now: float) -> None:
        """Found a group if none has been heard of and a majority of the seeds vote for this process."""
        wait = (
            FOUNDING_DELAY_PERIODS if self.acts_as_seed else NON_SEED_FOUNDING_DELAY_PERIODS
        ) * self.period
        if (
            now - self.group_heard_at < wait
            or now - self.epoch_began_at < wait
            or now < self.founding_barred_until
        ):
            self.proposer.stage = Stage.IDLE
            return
        if self.proposer.stage is Stage.IDLE:
            if now < self.proposer.backoff_until or not self.grant_vote(now, self.name):
                return
            self.proposer = ProposerState(Stage.POLLING, (self.proposer.ballot[0] + 1, self.name), None, now)
            self.promises = {self.address: (now, self.name, Promise(self.proposer.ballot[0], True, 0))}
        elif now - self.proposer.began_at > ROUND_TIMEOUT_PERIODS * self.period:
            self.back_off(now)
            self.vote = "", -inf
            return
        for voter in self.founding_voters - {self.address}:
            self.enqueue(voter, Prepare(self.proposer.ballot[0]))
        self.found_if_elected(now)

    def grant_vote(self, now: float, name: str) -> bool:
        """Vote for a founder unless a vote for another one is still valid; returns whether it voted."""
        voted_for, until = self.vote
        if voted_for not in ("", name) and now < until:
            return False
        self.vote = name, now + VOTE_VALIDITY_PERIODS * self.period
        return True

    def on_founding_message(self, now: float, source: Peer, body: Prepare | Promise) -> None:
        if self.view is not None:
            return  # the peer learns of the group from the stamps of this process
        if isinstance(body, Prepare):
            knows_group = now - self.group_heard_at < FOUNDING_DELAY_PERIODS * self.period
            knows_group |= (
                now
                < self.founding_barred_until
                - (REMOVAL_RETENTION_PERIODS - REMOVED_VOTE_BAN_PERIODS) * self.period
            )
            # Seeds vote for seeds only.
            may_vote_for = source.address in self.founding_voters or not self.acts_as_seed
            granted = (
                may_vote_for
                and not knows_group
                and (self.proposer.stage is Stage.IDLE or source.name < self.name)
            )
            if granted and self.proposer.stage is not Stage.IDLE:
                self.back_off(now)
                self.vote = "", -inf
            granted = granted and self.grant_vote(now, source.name)
            self.enqueue(source.address, Promise(body.round, granted, 0))
        elif self.proposer.stage is Stage.POLLING and body.round == self.proposer.ballot[0] and body.granted:
            if source.address in self.founding_voters:
                self.promises[source.address] = now, source.name, body
                self.found_if_elected(now)

    def found_if_elected(self, now: float) -> None:
        if len(self.promises) * 2 <= len(self.founding_voters):
            return
        members, room = [GroupMember(self.name, self.epoch, *self.address)], MAX_PAYLOAD_BYTES
        for member in self.joiners(now):
            room -= len(member.name) + len(member.host) + 16
            if room >= 0:
                members.append(member)
        group = self.rng.getrandbits(32) | 1
        view = View(group, 1, tuple(sorted(members, key=lambda member: member.name)))
        self.counts["founded"] += 1
        self.install(now, None, view)
        for member in members[1:]:
            self.send_pages(now, member.name, member.address)
