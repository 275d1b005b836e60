"""State machine of one process for the limits shared by all proxies: proxy, acceptor or credit server.

The credit server holds a lease granted by a majority of the acceptors (`warden_lease`) and answers the
reports of proxies with credit (`credit_ledger`, `members`). A proxy spends credit, or its fallback share
while it is disconnected (`credit_client`). No I/O; times are milliseconds of the process's monotonic clock.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

import msgspec

from barleybarrow.limits import spans
from barleybarrow.limits.bounds import KeyLimit
from barleybarrow.limits.credit_client import CreditClient
from barleybarrow.limits.credit_ledger import CreditLedger
from barleybarrow.limits.lent import LentShare
from barleybarrow.limits.members import Members
from barleybarrow.limits.messages import (
    AcceptorState,
    CreditReply,
    CreditReport,
    DrainedKeys,
    Message,
    RosterAck,
    RosterEntry,
    RosterReply,
    RosterRequest,
    RosterUpdate,
)
from barleybarrow.limits.warden_lease import (
    MAX_CLOCK_RATE_RATIO,
    CreditServerHeartbeat,
    CreditServerLease,
    LeaseRequest,
    Promise,
    Role,
)

CLEANUP_INTERVAL_MS = 2000.0  # between two searches for unused entries


class TermState:
    """State of the credit server in one term."""

    def __init__(self, now: float, limit_of: Callable[[str], KeyLimit | None], share_lifetime: float) -> None:
        self.lent_share = LentShare(now)
        self.members = Members(now, self.lent_share, share_lifetime)
        self.ledger = CreditLedger(self.lent_share, limit_of)
        self.replies: dict[str, RosterReply] = {}
        self.started_at = now
        self.version = 0
        self.collecting_proxies = False  # waits for the first proxies, to give them even shares
        self.is_first_roster = False  # the pending plan is the first of the whole system
        self.pending_plan: dict[str, float] | None = None  # plan that acceptors have yet to store
        self.entries: list[RosterEntry] = []
        self.drained = DrainedKeys()
        self.acked_by: set[str] = set()
        self.next_roster_send_at = now
        self.next_plan_at = now


DeferredMessage = RosterAck | RosterReply | Promise


@dataclass(frozen=True, slots=True)
class LastRosterReply:
    """The newest roster that this acceptor has sent to a new credit server."""

    recipient: str = ""
    reply: RosterReply = RosterReply(0, False, 0, [])


@dataclass(frozen=True, slots=True)
class DeferredSend:
    """A message to a credit server or candidate, held back until the state that it reports is stored."""

    recipient: str
    message: DeferredMessage
    revision: int


class CreditMachine(CreditServerLease):
    """All roles of one process.

    `is_proxy`: requests are admitted here. `bootstrap`: this is the first start of the whole system.
    """

    def __init__(
        self,
        name: str,
        acceptors: list[str],
        rng: Random,
        now: float,
        limit_of: Callable[[str], KeyLimit | None],
        is_proxy: bool = True,
        bootstrap: bool = False,
    ) -> None:
        super().__init__(name, acceptors, rng, now, spans.LEASE_TIMES)
        self.limit_of = limit_of
        self.can_serve = bootstrap  # else only once it knows the limits
        self.acceptor_state = AcceptorState(bootstrap, 0, [])
        self.durable = False  # the acceptor's state is stored before it is reported
        self.revision = 0  # of the acceptor's state: grows with each change in this incarnation
        self.stored_revision = 0
        self.promise_revision = 0  # first revision that holds the newest promise
        self.last_roster_reply = LastRosterReply()
        self.deferred_sends: list[DeferredSend] = []  # to be sent once their revision is stored
        self.client = CreditClient(self.incarnation, now, limit_of) if is_proxy else None
        self.term_state: TermState | None = None
        self.last_report_at: dict[str, float] = {}  # by proxy
        self.next_cleanup_at = now + CLEANUP_INTERVAL_MS

    def set_acceptors(self, now: float, acceptors: list[str]) -> None:
        """Replace the set of acceptors. A new one makes no promise while an older lease may be in force."""
        joining = self.name in acceptors and self.name not in self.acceptors
        self.acceptors = list(acceptors)
        if joining:
            self.promised_until = max(self.promised_until, now + self.times.lease_ms * MAX_CLOCK_RATE_RATIO)
            self.resume_lease(now)
        elif self.name not in acceptors and self.role is not Role.FOLLOWER:
            self.release_promises()
            self.step_down(now)

    def on_limits_known(self, now: float) -> None:
        """A configuration has arrived: without one a credit server could grant nothing, but others might."""
        if not self.can_serve:
            self.can_serve = True
            self.election_timer_at = min(
                self.election_timer_at, now + self.rng.uniform(0.0, spans.MAX_ELECTION_JITTER_MS)
            )

    # The lease

    def on_elected(self, now: float) -> None:
        share_lifetime = spans.STORED_SHARE_LIFETIME_MS if self.durable else spans.SHARE_LIFETIME_MS
        self.term_state = TermState(now, self.limit_of, share_lifetime)
        self.term_state.version = self.acceptor_state.version
        self.last_report_at.clear()
        self.request_rosters(now, self.term_state)
        if self.client is not None:
            self.client.on_credit_server_changed(now, self.term)

    def on_stepped_down(self, now: float) -> None:
        self.term_state = None
        self.schedule_election(now)

    def on_promise_released(self, now: float) -> None:
        if self.role is Role.FOLLOWER:
            self.credit_server_heard_at = -inf
            self.schedule_election(now)

    def resume_lease(self, now: float) -> None:
        """Request the lease at once if the previous incarnation held it, as nobody else can hold it."""
        if (
            self.role is Role.FOLLOWER
            and not self.credit_server
            and self.matches_recovered_promise(self.name)
        ):
            self.credit_server_heard_at = -inf
            self.election_timer_at = now

    def schedule_election(self, now: float) -> None:
        """Become a candidate when the promise to the lost credit server expires."""
        is_own_promise = self.promised_to == self.name or (
            not self.promised_to and self.matches_recovered_promise(self.name)
        )
        released_at = now if is_own_promise else max(now, self.promised_until)
        self.election_timer_at = released_at + self.rng.uniform(0.0, spans.MAX_ELECTION_JITTER_MS)

    def on_credit_server_changed(self, now: float) -> None:
        if self.client is not None:
            self.client.on_credit_server_changed(now, self.term)

    def heartbeat_targets(self, now: float) -> list[str]:
        acceptors = set(self.acceptors)
        return [
            name
            for name in self.reachable
            if name in acceptors or now - self.last_report_at.get(name, -inf) > spans.HEARTBEAT_SILENCE_MS
        ]

    def set_reachable(self, now: float, reachable: list[str]) -> None:
        """Handle links that came up or went down.

        A credit server sends a heartbeat to new peers; an acceptor that lost its credit server prepares to
        become a candidate.
        """
        previous, self.reachable = set(self.reachable), list(reachable)
        added = set(reachable) - previous
        if self.term_state is not None:
            self.term_state.acked_by -= added  # a peer that reconnects may have lost its stored state
        lost_credit_server = self.credit_server in previous and self.credit_server not in self.reachable
        if lost_credit_server and self.role is Role.FOLLOWER and self.name in self.acceptors:
            self.credit_server_heard_at = -inf
            self.schedule_election(now)
        if self.role is Role.CREDIT_SERVER and now < self.lease_expires_at:
            self.outgoing.extend((name, CreditServerHeartbeat(self.term)) for name in sorted(added))
        elif self.role is Role.CANDIDATE:
            self.outgoing.extend(
                (name, LeaseRequest(self.incarnation, self.ballot))
                for name in sorted(added & set(self.acceptors))
            )

    def resign(self, now: float, released: bool = False) -> None:
        """Planned shutdown: another credit server may follow, and others may use this proxy's share.

        With `released` its share is free at once, else once no new incarnation can inherit it any more.
        """
        if self.client is not None and self.credit_server and self.credit_server != self.name:
            self.outgoing.append((self.credit_server, self.client.build_final_report(now, released)))
        if self.role is Role.CREDIT_SERVER:
            self.release_promises()
            self.step_down(now)

    # Time

    def next_wakeup(self) -> float:
        """Time at which `tick` is to be called."""
        wakeup = min(self.next_lease_wakeup(), self.next_cleanup_at)
        if self.client is not None:
            wakeup = min(wakeup, self.client.next_wakeup(bool(self.credit_server)))
        if self.term_state is not None:
            wakeup = min(wakeup, self.term_state.next_plan_at)
        return wakeup

    def tick(self, now: float) -> None:
        """Run the actions that are due."""
        self.tick_lease(now)
        if self.term_state is not None and now >= self.term_state.next_plan_at:
            self.tick_term(now, self.term_state)
        if self.client is not None:
            self.client.tick(now)
            if self.credit_server and now >= self.client.next_report_at:
                self.send_report(now, self.client)
            if now >= self.next_cleanup_at:
                self.client.cleanup(now)
        if now >= self.next_cleanup_at:
            self.next_cleanup_at = now + CLEANUP_INTERVAL_MS

    def send_report(self, now: float, client: CreditClient) -> None:
        report = client.build_report(now)
        if self.credit_server != self.name:
            self.outgoing.append((self.credit_server, report))
            return
        reply = self.handle_report(now, self.name, report)
        if reply is not None:
            client.handle_reply(now, reply)

    def tick_term(self, now: float, state: TermState) -> None:
        state.next_plan_at = now + spans.PLAN_INTERVAL_MS
        for name in state.members.take_expired(now):
            state.ledger.write_off(name)
        state.members.remove_expired(now)
        if now >= state.started_at + spans.CREDIT_LIFETIME_MS:  # all connected proxies have reported by now
            state.ledger.floors.set_lent_share(state.lent_share.value)
        state.ledger.cleanup(now)
        if state.pending_plan is None:
            self.update_plan(now, state)
        elif now >= state.next_roster_send_at:
            self.send_roster(now, state)
        if state.pending_plan is None and now >= state.next_roster_send_at:
            self.resend_roster(now, state)
        if not state.members.is_complete(now):
            self.request_rosters(now, state)
            self.recover_roster(now, state)  # the set of acceptors may have changed
            reply_count = sum(name in state.replies for name in self.acceptors)
            timed_out = now >= state.started_at + spans.ROSTER_RECOVERY_TIMEOUT_MS
            state.ledger.floors.drains_unchecked |= timed_out and reply_count >= self.majority

    # The roster: as the credit server

    def request_rosters(self, now: float, state: TermState) -> None:
        if self.name not in state.replies:
            self.send_roster_reply(now, self.name, self.term)
        for name in self.acceptors:
            if name != self.name and name not in state.replies:
                self.outgoing.append((name, RosterRequest(self.term)))

    def recover_roster(self, now: float, state: TermState) -> None:
        """Adopt the newest roster of a majority that has lost no state: it bounds every proxy's share."""
        replies = [reply for name, reply in state.replies.items() if name in self.acceptors]
        state.version = max([state.version, *(reply.version for reply in replies)])
        known = [reply for reply in replies if reply.known]
        if state.members.is_complete(now) or len(known) < self.majority:
            return
        version = max(reply.version for reply in known)
        entries: dict[tuple[str, int], RosterEntry] = {}
        for reply in known:
            for entry in reply.entries if reply.version == version else []:
                known_entry = entries.get((entry.name, entry.incarnation))
                if known_entry is None or entry.fallback_share > known_entry.fallback_share:
                    entries[entry.name, entry.incarnation] = entry
        state.members.adopt_roster(now, list(entries.values()))
        drained = [reply.drained for reply in known if reply.version == version]
        state.ledger.set_initial_drained(drained[0] if version else DrainedKeys(False))
        if version == 0:
            state.collecting_proxies = True
            self.propose_roster(now, state, {})  # no earlier grants: buckets may start full

    def update_plan(self, now: float, state: TermState) -> None:
        if state.collecting_proxies and now < state.started_at + spans.INITIAL_PROXY_WAIT_MS:
            return
        plan = state.members.plan(now)
        if plan is not None:
            self.propose_roster(now, state, plan)
        else:
            self.replicate_drained_keys(now, state)

    def replicate_drained_keys(self, now: float, state: TermState) -> None:
        """Have the acceptors store at once which buckets are needed below their floors."""
        if state.ledger.floors.has_changes and state.pending_plan is None and state.members.is_complete(now):
            self.propose_roster(now, state, state.members.planned_shares)

    def propose_roster(self, now: float, state: TermState, plan: dict[str, float]) -> None:
        """Have a majority of the acceptors store a plan before any proxy learns of it."""
        state.members.may_raise = False
        state.is_first_roster = state.version == 0
        state.pending_plan, state.version = plan, state.version + 1
        state.entries = state.members.roster(plan)
        state.drained = state.ledger.floors.propose()
        state.acked_by = set()
        self.send_roster(now, state)

    def send_roster(self, now: float, state: TermState) -> None:
        state.next_roster_send_at = now + spans.ROSTER_RESEND_INTERVAL_MS
        self.accept_roster(
            now, self.name, RosterUpdate(state.version, state.entries, state.drained, self.term)
        )
        for name in self.acceptors:
            if name != self.name and name not in state.acked_by:
                self.outgoing.append(
                    (name, RosterUpdate(state.version, state.entries, state.drained, self.term))
                )

    def resend_roster(self, now: float, state: TermState) -> None:
        """Send the roster to acceptors that have not acknowledged it, including those that joined later."""
        if not state.acked_by:
            return  # no plan in this term yet
        state.next_roster_send_at = now + spans.ROSTER_RESEND_INTERVAL_MS
        for name in self.acceptors:
            if name != self.name and name not in state.acked_by:
                self.outgoing.append(
                    (name, RosterUpdate(state.version, state.entries, state.drained, self.term))
                )

    def on_roster_ack(self, now: float, state: TermState, name: str, ack: RosterAck) -> None:
        if (ack.term, ack.version) != (self.term, state.version) or name not in self.acceptors:
            return
        state.acked_by.add(name)
        if state.pending_plan is not None and len(state.acked_by) >= self.majority:
            state.members.planned_shares, state.members.may_raise = state.pending_plan, True
            state.pending_plan = None
            state.ledger.floors.confirm()
            if state.is_first_roster:
                state.ledger.no_prior_grants = True

    # The roster: as an acceptor

    def send_roster_reply(self, now: float, name: str, term: int) -> None:
        """Send the stored roster to a new credit server.

        From then on that server may drain any bucket, so all keys are stored as drained first.
        """
        stored, last_reply = self.acceptor_state, self.last_roster_reply
        if (last_reply.recipient, last_reply.reply.term, last_reply.reply.version) == (
            name,
            term,
            stored.version,
        ):
            reply = last_reply.reply  # a repeated request: the state at the start of the term
        else:
            reply = RosterReply(term, stored.known, stored.version, stored.entries, stored.drained)
            self.last_roster_reply = LastRosterReply(name, reply)
        if not stored.drained.all_keys:
            self.update_acceptor_state(msgspec.structs.replace(stored, drained=DrainedKeys()))
        self.send_when_stored(name, reply)
        self.flush_stored(now)

    def restore(self, now: float, stored: AcceptorState) -> None:
        """Restore the state stored by an earlier incarnation; called before the start."""
        self.acceptor_state, self.recovered_promise = stored, stored.promised_to
        self.can_serve = self.can_serve or stored.promised_to == self.name  # no other can be elected sooner
        if self.name in self.acceptors:
            self.resume_lease(now)

    def matches_recovered_promise(self, name: str) -> bool:
        """A stored promise is valid only while the set of acceptors is unchanged."""
        return super().matches_recovered_promise(name) and set(self.acceptor_state.acceptors) == set(
            self.acceptors
        )

    def on_promise(self, now: float, name: str, ballot: int) -> None:
        """Store a new promise before confirming it; a renewed one need not be stored again."""
        if not self.durable:
            self.confirm_promise(now, name, ballot)
            return
        if self.acceptor_state.promised_to != name or self.acceptor_state.acceptors != self.acceptors:
            self.update_acceptor_state(
                msgspec.structs.replace(self.acceptor_state, promised_to=name, acceptors=list(self.acceptors))
            )
            self.promise_revision = self.revision
        if self.stored_revision >= self.promise_revision:
            self.confirm_promise(now, name, ballot)
        else:
            self.send_when_stored(name, Promise(ballot, True))

    def accept_roster(self, now: float, credit_server: str, update: RosterUpdate) -> None:
        """Accept a roster; acknowledged once stored, where this acceptor has a disk."""
        changed = msgspec.structs.replace(
            self.acceptor_state,
            known=True,
            version=update.version,
            entries=update.entries,
            drained=update.drained,
        )
        if changed != self.acceptor_state:
            self.update_acceptor_state(changed)
        self.send_when_stored(credit_server, RosterAck(update.version, update.term))
        self.flush_stored(now)

    def update_acceptor_state(self, state: AcceptorState) -> None:
        self.acceptor_state = state
        self.revision += 1

    def send_when_stored(self, name: str, message: DeferredMessage) -> None:
        others = [
            deferred
            for deferred in self.deferred_sends
            if (deferred.recipient, type(deferred.message)) != (name, type(message))
        ]
        self.deferred_sends = [*others, DeferredSend(name, message, self.revision)]

    def flush_stored(self, now: float) -> None:
        if not self.durable or self.stored_revision >= self.revision:
            self.on_stored(now, self.revision)

    def on_stored(self, now: float, revision: int) -> None:
        """The acceptor's state is stored up to this revision."""
        self.stored_revision = max(self.stored_revision, revision)
        ready = [deferred for deferred in self.deferred_sends if deferred.revision <= revision]
        self.deferred_sends = [deferred for deferred in self.deferred_sends if deferred.revision > revision]
        for deferred in ready:
            self.send_stored(now, deferred.recipient, deferred.message)

    def send_stored(self, now: float, name: str, message: DeferredMessage) -> None:
        if isinstance(message, Promise):
            self.confirm_promise(now, name, message.ballot)
        elif name != self.name:
            self.outgoing.append((name, message))
        else:
            self.receive_roster_message(now, name, message)

    # Messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message of another process."""
        if isinstance(message, CreditReport):
            reply = self.handle_report(now, sender, message)
            if reply is not None:
                self.outgoing.append((sender, reply))
        elif isinstance(message, CreditReply):
            if sender == self.credit_server and self.client is not None:
                self.client.handle_reply(now, message)
        elif isinstance(message, RosterUpdate):
            if sender == self.promised_to and message.version >= self.acceptor_state.version:
                self.accept_roster(now, sender, message)
        elif isinstance(message, RosterRequest):
            self.send_roster_reply(now, sender, message.term)
        elif isinstance(message, RosterAck | RosterReply):
            self.receive_roster_message(now, sender, message)
        else:
            self.receive_lease_message(now, sender, message)

    def receive_roster_message(self, now: float, sender: str, message: RosterAck | RosterReply) -> None:
        state = self.term_state
        if state is None or now >= self.lease_expires_at:
            return
        if isinstance(message, RosterAck):
            self.on_roster_ack(now, state, sender, message)
        elif message.term == self.term:
            state.replies[sender] = message
            self.recover_roster(now, state)

    def handle_report(self, now: float, sender: str, report: CreditReport) -> CreditReply | None:
        """Record a proxy's report as the credit server; None for another term or an outdated report."""
        state = self.term_state
        if state is None or now >= self.lease_expires_at or report.term != self.term:
            return None
        if report.leaving:
            if state.members.handle_departure(now, sender, report.incarnation, report.released):
                state.ledger.write_off(sender)
            return None
        recorded = state.members.handle_report(now, sender, report)
        if recorded is None:
            return None
        self.last_report_at[sender] = now
        member, restarted = recorded
        if restarted:
            state.ledger.write_off(sender)
        credit_expires_at = member.last_reply_at + spans.CREDIT_LIFETIME_MS * MAX_CLOCK_RATE_RATIO
        state.ledger.prior_credit_expired = state.members.prior_credit_expired(now)
        grants = [
            state.ledger.handle_entry_report(now, sender, item, credit_expires_at) for item in report.items
        ]
        self.replicate_drained_keys(now, state)
        fallback_share = state.members.assign_share(now, sender, member, report.sequence)
        sent_grants = [grant for grant in grants if grant is not None]
        return CreditReply(
            report.term, report.sequence, fallback_share, sent_grants, self.share_lifetime(state)
        )

    def share_lifetime(self, state: TermState) -> float:
        """Lifetime of a fallback share sent now; longer if every acceptor has stored the roster."""
        if self.durable and state.acked_by.issuperset(self.acceptors):
            return spans.STORED_SHARE_LIFETIME_MS
        return spans.SHARE_LIFETIME_MS
