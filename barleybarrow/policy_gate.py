"""One proxy's side of the replicated policy: the rules it enforces, and whether it may admit requests at all.

A state machine without I/O: its input is messages, time and confirmations of storage; its output is what to
store, send and probe. It combines consensus (`barleybarrow.agreement`) with the rollout of policy versions
(`barleybarrow.rollout`). Invariant: no request is admitted under rules that another proxy may already have
replaced by conflicting ones. The design is described in docs/design/policy.md.
"""

from dataclasses import dataclass
from math import inf
from random import Random

from msgspec import Struct, msgpack

from barleybarrow.agreement import RaftNode, Role
from barleybarrow.agreement_messages import AppendResponse, Entry, Message, Ready, Snapshot
from barleybarrow.policy import PolicyError, Rules, parse_policy, stricter
from barleybarrow.rollout import (
    IN_FORCE,
    JOINT,
    WITHDRAWN,
    Command,
    Join,
    MemberReport,
    RolloutDriver,
    RolloutState,
    Step,
)

READ_INTERVAL_MS = 200.0  # between reads of the commit index while this proxy is not caught up
LEASE_RENEWAL_INTERVAL_MS = 300.0  # between reads of the commit index that renew the lease
JOIN_RETRY_INTERVAL_MS = 500.0
ROLLOUT_CHECK_INTERVAL_MS = 50.0  # while the leader has a change in progress
INVITE_INTERVAL_MS = 1000.0  # between invitations to the roster: a member's settings may list former voters
STALL_THRESHOLD_MS = 1000.0  # a longer gap between clock readings means that this process was stalled
# After a stall, a proxy without leases that reaches no leader resumes after this time: it has acknowledged no
# change meanwhile, so none can have come into force.
RESUME_TIMEOUT_MS = 2000.0
LEASE_MS = 3000.0  # milliseconds from sending a read until its reply no longer permits admission
MAX_CLOCK_RATE_RATIO = 1.05  # bound on the ratio of the rates of two monotonic clocks over a lease
MAX_LOG_ENTRIES = 500  # a longer log is compacted into a snapshot
MAX_PENDING_READS = 32  # limit of pending reads


class FollowerReport(Struct, array_like=True, frozen=True):
    """A follower's report to the leader, sent with each reply to an append."""

    applied: int  # log index
    rejected_version: int = 0  # a proposed version that it cannot enforce; 0 for none
    reason: str = ""
    durable: bool = False  # it has a store and may vote


@dataclass
class Status:
    """The state shown to operators."""

    name: str
    role: str
    leader: str
    term: int
    voters: list[str]
    electorate: list[str]  # voters requested by administrators; empty if never requested
    roster: list[str]
    force: int
    pending: int
    phase: str
    missing: list[str]
    behind: dict[str, int]  # by member: its applied index; only on the leader
    agreed: int
    applied: int
    admits: bool
    why: str
    lease_left: float  # milliseconds; infinite without leases


class PolicyGate:
    """One proxy. Times are milliseconds on its own monotonic clock."""

    def __init__(
        self,
        name: str,
        voters: list[str],
        rng: Random,
        now: float,
        fence: bool = False,
        timeout_ms: float = 30_000.0,
        term: int = 0,
        vote: str = "",
        snapshot: Snapshot | None = None,
        entries: list[Entry] | None = None,
        quarantined: bool = False,
        durable: bool | None = None,
    ) -> None:
        """`durable`: whether this proxy has a store; None: if it is one of the voters."""
        self.name, self.fence = name, fence
        self.durable = name in voters if durable is None else durable
        quarantined = quarantined or not self.durable
        self.raft = RaftNode(name, voters, rng, now, term, vote, snapshot, entries, quarantined)
        self.rollout_state, self.rollout_driver = RolloutState(), RolloutDriver(timeout_ms)
        if snapshot is not None:
            self.rollout_state.load(snapshot.index, snapshot.data)
        self.last_read_token = rng.getrandbits(40)
        self.read_sent_at: dict[int, float] = {}  # by read token
        # Results of reads that are not applied yet: when the read was sent, and the commit index.
        self.pending_proofs: list[tuple[float, int]] = []
        self.caught_up = self.resuming = False
        self.resumed_at = -inf
        self.lease_expires_at = -inf
        self.next_read_at = self.next_rollout_check_at = self.next_invite_at = now
        self.next_join_at = -inf
        self.last_active_at = now
        self.was_leader = False
        self.reports: dict[str, MemberReport] = {}  # by name, on the leader
        self.probe_targets: list[str] = []  # members to probe for being down
        self.rules: Rules | None = Rules()
        self.rules_changed = True  # the rules may have changed since the driver last read them
        self.refresh_rules()

    # Admission

    def admission_refusal(self, now: float) -> str:
        """Why no request may be admitted now; empty if requests may be admitted. Called for each request."""
        if now - self.last_active_at > STALL_THRESHOLD_MS:
            self.on_stall(now)
        if self.rules is None:
            return "unreadable"
        if not self.caught_up:
            return "behind"
        if self.fence and now >= self.lease_expires_at:
            return "lease"
        return ""

    def on_stall(self, now: float) -> None:
        """After a stall, confirm the state before admitting requests or standing for election."""
        self.last_active_at = now
        # A proxy that had not caught up before the stall must still do so.
        self.resuming, self.resumed_at = self.caught_up or self.resuming, now
        self.caught_up = False
        self.pending_proofs.clear()
        self.read_sent_at.clear()
        self.next_read_at = now
        self.raft.on_stall(now)

    # Timers and messages

    def next_wakeup(self) -> float:
        """When `tick` has to be called next."""
        return min(self.raft.next_wakeup(), self.next_read_at, self.next_rollout_check_at)

    def tick(self, now: float) -> None:
        if now - self.last_active_at > STALL_THRESHOLD_MS:
            self.on_stall(now)
        self.last_active_at = now
        self.raft.tick(now)
        if now >= self.next_read_at:
            self.request_read(now)
        if now >= self.next_rollout_check_at:
            busy = self.rollout_state.pending or self.rollout_state.electorate
            self.next_rollout_check_at = now + (ROLLOUT_CHECK_INTERVAL_MS if busy else INVITE_INTERVAL_MS)
            self.advance_rollout(now)
        self.process_reads(now)

    def receive(self, now: float, sender: str, message: Message) -> None:
        if now - self.last_active_at > STALL_THRESHOLD_MS:
            self.on_stall(now)
        self.raft.receive(now, sender, message)
        if isinstance(message, AppendResponse) and message.note:
            self.on_report(now, sender, msgpack.decode(message.note, type=FollowerReport))
        self.process_reads(now)

    def on_report(self, now: float, sender: str, report: FollowerReport) -> None:
        """Record a member's applied index; an older report that arrives late is ignored.

        A restarted member has applied less for a while, which is safe to ignore: it admits no requests before
        it has caught up.
        """
        before = self.reports.get(sender)
        if sender not in self.raft.progress or (before is not None and report.applied < before.applied):
            return
        self.reports[sender] = MemberReport(
            report.applied, report.rejected_version, report.reason, report.durable
        )
        if self.rollout_state.pending:
            self.next_rollout_check_at = now  # the rollout may be waiting for this report

    def submit(self, now: float, command: Command) -> None:
        """Forward a command to the leader. It may be lost; the caller has to retry."""
        self.raft.propose(now, msgpack.encode(command))

    def request_read(self, now: float) -> None:
        """Request the commit index from the leader, if it is needed."""
        if self.caught_up and not self.fence and not (self.raft.quarantined and self.durable):
            self.next_read_at = now + LEASE_RENEWAL_INTERVAL_MS
            return
        self.next_read_at = now + (LEASE_RENEWAL_INTERVAL_MS if self.caught_up else READ_INTERVAL_MS)
        if len(self.read_sent_at) >= MAX_PENDING_READS:
            del self.read_sent_at[next(iter(self.read_sent_at))]
        self.last_read_token += 1
        self.read_sent_at[self.last_read_token] = now
        self.raft.request_read(now, self.last_read_token)

    def process_reads(self, now: float) -> None:
        """Process the results of reads, which renew the lease and complete the catch-up."""
        self.check_leadership(now)
        reads, self.raft.answered_reads = self.raft.answered_reads, []
        for token, index in reads:
            sent_at = self.read_sent_at.pop(token, None)
            if sent_at is not None:
                self.pending_proofs.append((sent_at, index))
        applied = self.rollout_state.applied
        proven_times = [at for at, index in self.pending_proofs if index <= applied]
        if proven_times:
            latest = max(proven_times)
            self.pending_proofs = [(at, index) for at, index in self.pending_proofs if index > applied]
            if self.raft.quarantined and self.durable:
                self.raft.end_quarantine()
                self.refresh_rules()
            self.lease_expires_at = max(self.lease_expires_at, latest + LEASE_MS)
            if not self.caught_up and (self.name in self.rollout_state.roster or self.resuming):
                self.caught_up, self.resuming = True, False
            elif self.name not in self.rollout_state.roster and now >= self.next_join_at:
                self.next_join_at = now + JOIN_RETRY_INTERVAL_MS
                self.submit(now, Join(self.name))
        if (
            self.resuming
            and not self.caught_up
            and not self.fence
            and now - self.resumed_at >= RESUME_TIMEOUT_MS
        ):
            self.caught_up, self.resuming = True, False

    def on_store_ready(self, now: float) -> None:
        """The state is on disk from now on; this proxy may vote after its next successful read."""
        self.durable, self.next_read_at = True, now

    # Committed entries

    def take_ready(self) -> Ready | None:
        """What is to be stored, sent and applied, in that order; None if nothing."""
        return self.raft.take_ready()

    def on_stored(self, now: float, ready: Ready) -> Snapshot | None:
        """Apply the committed entries after all of `ready` is on disk; returns a snapshot if one is due."""
        if ready.snapshot is not None:
            self.rollout_state.load(ready.snapshot.index, ready.snapshot.data)
        for index, entry in ready.committed_entries:
            self.rollout_state.apply(index, entry.data if entry.kind == 1 else b"")
            if self.name not in self.rollout_state.roster and self.caught_up and not self.resuming:
                self.caught_up = False  # removed from the roster: must join again first
        if ready.snapshot is not None or ready.committed_entries:
            self.refresh_rules()
            if self.rollout_state.pending:
                self.next_rollout_check_at = now
                self.raft.send_note()
        self.raft.on_stored(now, ready)
        self.process_reads(now)
        if len(self.raft.entries) > MAX_LOG_ENTRIES and self.rollout_state.applied == self.raft.applied_index:
            return self.raft.compact(self.rollout_state.applied, self.rollout_state.save())
        return None

    def refresh_rules(self) -> None:
        """Enforce the current rules, before reporting to the leader that they were applied."""
        rules = self.effective_rules()
        if rules != self.rules:
            self.rules, self.rules_changed = rules, True
        rejected_version, reason = self.rollout_state.rejection() or (0, "")
        durable = self.durable and not self.raft.quarantined
        self.raft.note = msgpack.encode(
            FollowerReport(self.rollout_state.applied, rejected_version, reason[:500], durable)
        )

    def effective_rules(self) -> Rules | None:
        """The rules to enforce; None if this release cannot parse them."""
        try:
            rules = parse_policy(self.rollout_state.text(self.rollout_state.force))
            version = self.rollout_state.versions.get(self.rollout_state.pending)
            if version is not None and version.phase == JOINT:
                rules = stricter(rules, parse_policy(version.text))
        except PolicyError:
            return None
        return rules

    # Leader

    def member_reports(self) -> dict[str, MemberReport]:
        """The latest reports of all current members, including this one."""
        own_rejection = self.rollout_state.rejection() or (0, "")
        reports = {self.name: MemberReport(self.rollout_state.applied, *own_rejection, self.durable)}
        return reports | {name: report for name, report in self.reports.items() if name in self.raft.progress}

    def check_leadership(self, now: float) -> bool:
        """Whether this process leads. A new leader discards the reports of its earlier terms."""
        if self.was_leader != (self.raft.role is Role.LEADER):
            self.was_leader = not self.was_leader
            self.next_rollout_check_at = now
            if self.was_leader:
                self.rollout_driver.on_elected()
                self.reports.clear()
        return self.was_leader

    def advance_rollout(self, now: float) -> None:
        """On the leader, take the due steps of the rollout and of a change of voters."""
        self.probe_targets = []
        if not self.check_leadership(now) or self.raft.term_at(self.raft.commit_index) != self.raft.term:
            return
        lease_wait_ms = LEASE_MS * MAX_CLOCK_RATE_RATIO if self.fence else inf
        actions = self.rollout_driver.next_actions(
            now, self.rollout_state, self.member_reports(), lease_wait_ms
        )
        for step in actions.steps:
            self.submit(now, step)
        self.probe_targets = actions.probe_targets
        if self.rollout_state.electorate:
            self.advance_electorate(now)
        if now >= self.next_invite_at:
            self.next_invite_at = now + INVITE_INTERVAL_MS
            for name in self.rollout_state.roster:
                if name != self.name:
                    self.raft.add_follower(now, name)

    def advance_electorate(self, now: float) -> None:
        """Take one step towards the voters that administrators requested: additions first, then removals.

        A member is added once it has a store and has applied as much as this process; the leader is removed
        last.
        """
        wanted, raft, reports = self.rollout_state.electorate, self.raft, self.member_reports()
        if not raft.may_change_voters():
            return
        joining = [n for n in wanted if n not in raft.voters]
        ready = [
            n
            for n in joining
            if (r := reports.get(n)) and r.durable and r.applied >= self.rollout_state.applied
        ]
        leaving = sorted((n for n in raft.voters if n not in wanted), key=lambda n: n == self.name)
        if ready:
            raft.change_voters(now, [*raft.voters, ready[0]])
        elif leaving and not joining:
            raft.change_voters(now, [n for n in raft.voters if n != leaving[0]])

    def on_connection_refused(self, now: float, name: str, connect_started_at: float) -> None:
        """Note that a connection to a member's address was refused: no process is listening there."""
        if connect_started_at >= self.rollout_driver.phase_started_at:
            self.rollout_driver.mark_down(now, name)

    def withdraw(self, now: float, number: int, who: str) -> None:
        self.submit(now, Step(number, WITHDRAWN, f"withdrawn by {who}"))

    def status(self, now: float) -> Status:
        raft, rollout_state = self.raft, self.rollout_state
        version = rollout_state.versions.get(rollout_state.pending)
        is_leader = raft.role is Role.LEADER
        return Status(
            name=self.name,
            role=raft.role.value,
            leader=raft.leader,
            term=raft.term,
            voters=raft.voters,
            electorate=list(rollout_state.electorate),
            roster=list(rollout_state.roster),
            force=rollout_state.force,
            pending=rollout_state.pending,
            phase=version.phase if version is not None else IN_FORCE,
            missing=list(self.rollout_driver.missing) if is_leader and version is not None else [],
            behind={n: r.applied for n, r in self.member_reports().items() if n in rollout_state.roster}
            if is_leader
            else {},
            agreed=raft.commit_index,
            applied=rollout_state.applied,
            admits=not self.admission_refusal(now),
            why=self.admission_refusal(now),
            lease_left=max(0.0, self.lease_expires_at - now) if self.fence else inf,
        )
