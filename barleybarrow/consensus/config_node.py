"""A replica of the configuration shard, without I/O: the driver passes in time, messages and finished writes.

Output comes as one `Work` at a time: the driver persists it, sends its messages and reports back, and then
committed entries are applied. A replica must not vote or count in a quorum while its store may have lost
earlier promises. A process that starts with an empty store is therefore quarantined until it has applied a
log entry that was proposed for it after its start. A majority without this process committed that entry, so
a candidate that could win by a forgotten vote lacks it, and everything that a forgotten acknowledgement
helped to commit precedes it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import inf
from random import Random

from msgspec import DecodeError, msgpack

from barleybarrow.agreement import Role
from barleybarrow.agreement_messages import (
    AppendResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    Message,
    Proposal,
    Ready,
    Snapshot,
    TimeoutNow,
)
from barleybarrow.consensus.configuration_state import (
    Command,
    ConfigurationState,
    Order,
    RejoinMarker,
    order_digest,
)
from barleybarrow.consensus.durable_state import DurableState, encode_image, encode_record
from barleybarrow.consensus.order_queue import OrderQueue
from barleybarrow.consensus.paced_agreement import VOTER_LOST_TIMEOUT_MS, PacedRaftNode
from barleybarrow.consensus.voter_selection import (
    ControlProcess,
    choose_voters,
    eligible_processes,
    next_voter_change,
    target_voter_count,
)

BOOTSTRAP_GATHER_MS = 600.0  # on a first start all machines start within 300 ms of one another
BOOTSTRAP_PARTIAL_GATHER_MS = 1500.0  # fewer machines than wanted; the first order is due 4 s after the start
BOOTSTRAP_MAX_GATHER_MS = 6000.0  # until then, form no group that tolerated losses could wipe out as a whole
BOOTSTRAP_QUIET_MS = 200.0  # all seeds connected and nobody new for this long: no more are expected
ANNOUNCE_INTERVAL_MS = 250.0
REJOIN_REQUEST_INTERVAL_MS = 400.0
CONTACT_INTERVAL_MS = 1000.0  # between a leader's attempts to reach processes that do not follow it yet
VOTER_CHECK_INTERVAL_MS = 200.0
STANDBY_FRESH_MS = 700.0  # a standby heard within this time is alive: it responds every 300 ms
CONFIRM_RETRY_INTERVAL_MS = 500.0
RESTART_ELECTION_TIMEOUT_MS = (300.0, 700.0)  # after a restart: connecting takes up to 200 ms
CONNECTED_ELECTION_TIMEOUT_MS = (60.0, 300.0)  # majority connected: a leader would have sent within 20 ms
TRANSFER_PAUSE_MS = 500.0  # after starting a leadership transfer, a leader advances no orders for this long
LEADER_QUERY_INTERVAL_MS = 300.0  # of a learner that looks for a leader among the known voters
MAX_TICK_INTERVAL_MS = 200.0  # well below the stall threshold, so that a stall is detected
STALL_THRESHOLD_MS = 500.0  # a process that was not scheduled for this long has missed messages meanwhile
NOTE_LEAVING = b"leaving"  # note of a voter that shuts down as planned: it is replaced if a standby exists
MAX_LOG_BYTES = 256 * 1024  # a longer log is compacted into a snapshot
MAX_LOG_TO_SNAPSHOT_RATIO = 2  # a longer log is allowed, so that large snapshots are not written too often
MAX_LOG_ENTRIES = 512

NO_VOTERS: list[str] = []
MESSAGE_DECODER: msgpack.Decoder[Message] = msgpack.Decoder(Message)


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Local settings of a replica; its name and the seeds are internal addresses."""

    name: str
    zone: str
    counts_for_quorum: bool  # it has a disk and may vote
    seeds: list[str]
    bootstrap: bool
    tolerated_machines: int = 1
    tolerated_domains: int = 0  # zones, or regions if whole regions may be lost

    @property
    def tolerated(self) -> int:
        """How many voters, each in a failure domain of its own, may be lost at once."""
        return max(self.tolerated_machines, self.tolerated_domains)


@dataclass(slots=True)
class Work:
    """Work for the driver, in this order: persist, send, report back.

    `image` replaces everything persisted; otherwise `records` are appended. Both may be absent.
    """

    ready: Ready
    image: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    messages: list[tuple[str, bytes]] = field(default_factory=list)

    @property
    def has_writes(self) -> bool:
        """Whether there is anything to persist."""
        return self.image is not None or bool(self.records)


class ConfigNode:
    """A replica of the configuration, as voter or learner."""

    max_log_entries = MAX_LOG_ENTRIES

    def __init__(self, options: NodeOptions, rng: Random, now: float, persisted: DurableState | None) -> None:
        self.options, self.name, self.rng = options, options.name, rng
        self.state = ConfigurationState()
        self.applied_index = 0
        self.started_at = self.last_call_at = self.last_tick_at = self.last_discovery_at = now
        self.reachable: dict[str, ControlProcess] = {}  # connected control processes, without this one
        self.own_process = ControlProcess(options.name, options.zone, options.counts_for_quorum)
        self.zones: dict[str, str] = {options.name: options.zone}  # of every control process ever seen
        self.committed_voters: tuple[list[str], int] = (NO_VOTERS, 0)
        self.reported_voters: tuple[list[str], int] = (NO_VOTERS, 0)  # reported by others, with the log index
        self.nonce = rng.getrandbits(52)
        # Tokens of reads start at random, so that late answers to a previous incarnation match none.
        self.read_tokens = count(self.nonce)
        self.incarnations: dict[str, int] = {}  # newest of every control process ever seen
        self.read_callbacks: dict[int, Callable[[], None]] = {}  # by token
        self.unapplied_reads: list[tuple[int, int]] = []  # (index, token) of answered reads not applied yet
        self.applied_handlers: list[Callable[[], None]] = []
        self.in_flight: Work | None = None
        self.image_pending = False  # the next work has to persist a full image
        self.log_bytes = 0
        self.transfer_started_at = -inf
        self.announce_at = self.rejoin_at = self.contact_at = self.voter_check_at = self.confirm_at = now
        self.raft = self._configure_domains(self._restore_raft(now, persisted))
        min_disks = options.tolerated_machines + 1
        self.orders = OrderQueue(self.raft, self.state, min_disks, self.read_tokens)

    def _configure_domains(self, raft: PacedRaftNode) -> PacedRaftNode:
        raft.domains, raft.tolerated_domains = self.zones, self.options.tolerated_domains
        return raft

    def _restore_raft(self, now: float, persisted: DurableState | None) -> PacedRaftNode:
        if persisted is None:
            self.image_pending = True  # from now on an empty store means that its content was lost
            return PacedRaftNode(self.name, [], self.rng, now, quarantined=not self.options.bootstrap)
        snapshot = persisted.snapshot
        if snapshot.index:
            self._restore(snapshot)
        voters, entries = snapshot.voters, persisted.entries
        raft = PacedRaftNode(
            self.name,
            voters,
            self.rng,
            now,
            persisted.term,
            persisted.vote,
            snapshot,
            entries,
            persisted.quarantined,
        )
        raft.election_due_at = now + self.rng.uniform(*RESTART_ELECTION_TIMEOUT_MS)
        return raft

    # State for callers

    @property
    def is_leader(self) -> bool:
        """Whether this process believes that it is the leader."""
        return self.raft.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Name of the leader, empty if unknown."""
        return self.raft.leader if self.raft.term else ""

    @property
    def voters(self) -> tuple[list[str], int]:
        """The newest committed voters known here, and the log index of that membership."""
        return max(self.committed_voters, self.reported_voters, key=lambda voters: voters[1])

    def known_processes(self) -> list[ControlProcess]:
        """This control process and those it is connected to."""
        return [self.own_process, *self.reachable.values()]

    def next_wakeup(self, now: float) -> float:
        """Time by which `tick` has to be called."""
        due = min(self.raft.next_wakeup(), self.last_tick_at + MAX_TICK_INTERVAL_MS)
        return max(due, now + 1.0)

    # Events from the driver

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self._detect_stall(now)
        self.last_tick_at = now
        self.raft.tick(now)
        self._bootstrap(now)
        self._announce_voters(now)
        self._request_rejoin_marker(now)
        self._contact_processes(now)
        self._maintain_voters(now)
        if now >= self.confirm_at:
            self.confirm_at = now + CONFIRM_RETRY_INTERVAL_MS
            self.orders.retry_confirmations(now)
        self._advance_reads_and_orders(now)

    def receive(self, now: float, sender: str, payload: bytes) -> None:
        """Handle a message of another process; malformed ones are ignored."""
        self._detect_stall(now)
        try:
            message = MESSAGE_DECODER.decode(payload)
        except DecodeError:
            return
        if isinstance(message, Proposal) and not self._is_rejoin_marker(message.data):
            return
        self.raft.receive(now, sender, message)
        self._advance_reads_and_orders(now)

    def link_up(self, now: float, process: ControlProcess) -> None:
        """A connection to a control process was opened."""
        if process.name not in self.reachable:
            self.last_discovery_at = now
        if self.incarnations.get(process.name, process.incarnation) != process.incarnation:
            self.raft.on_peer_restart(process.name)
            self.raft.notes.pop(process.name, None)
        self.incarnations[process.name] = process.incarnation
        self.reachable[process.name] = process
        self.zones[process.name] = process.zone
        self.contact_at = self.announce_at = min(now, self.contact_at)
        if self.is_leader and process.name in self.raft.progress:
            self.raft.replicate_to(now, process.name, self.raft.progress[process.name])
        self._campaign_soon(now)

    def _campaign_soon(self, now: float) -> None:
        """Shorten the election timeout if a majority is connected and none of it has announced a leader."""
        raft = self.raft
        connected = sum(name in self.reachable for name in raft.voters)
        if not self.leader and connected + 1 >= raft.majority and self.name in raft.voters:
            raft.election_due_at = min(
                raft.election_due_at, now + self.rng.uniform(*CONNECTED_ELECTION_TIMEOUT_MS)
            )

    def link_down(self, now: float, name: str) -> None:
        """The connection to a control process broke."""
        self.reachable.pop(name, None)
        self.raft.on_link_down(now, name)

    def learn_voters(self, voters: list[str], index: int) -> None:
        """Another process reports the voters as of a log index."""
        if index > self.reported_voters[1]:
            self.reported_voters = (voters, index)

    def was_accepted(self, kind: str, base_version: int, body: bytes) -> bool:
        """Whether this exact order is known to be committed; if so, any process may acknowledge it."""
        return order_digest(kind, base_version, body) in self.state.accepted

    def submit(self, now: float, kind: str, base_version: int, body: bytes, received_at: int) -> int:
        """Submit an operator's order: returns a ticket, under which its outcome will be listed."""
        ticket = self.orders.submit(kind, base_version, body, received_at)
        self._advance_reads_and_orders(now)
        return ticket

    def on_document_checked(self, now: float, digest: bytes, error: str) -> None:
        """The driver has validated a document; `error` is empty if it is valid."""
        self.orders.on_document_checked(now, digest, error)
        self._advance_reads_and_orders(now)

    def confirm_read(self, now: float, callback: Callable[[], None]) -> int:
        """Call `callback` once everything committed by now is applied here; it may never be called."""
        token = next(self.read_tokens)
        self.read_callbacks[token] = callback
        self.raft.request_read(now, token)
        self._advance_reads_and_orders(now)
        return token

    def cancel_read(self, token: int) -> None:
        """Cancel a confirmation that nobody waits for any more."""
        self.read_callbacks.pop(token, None)

    def transfer_leadership(self, now: float) -> list[tuple[str, bytes]]:
        """Transfer leadership to the most up-to-date follower: messages to send, without persisting first."""
        successor = self.raft.choose_successor(now) if self.is_leader else ""
        if not successor:
            return []
        self.transfer_started_at = now
        return [(successor, msgpack.encode(TimeoutNow(self.raft.term)))]

    @property
    def has_replacement(self) -> bool:
        """Whether this process is a voter and a connected standby could take its place."""
        voters = self.raft.voters
        standbys = [p for p in self.reachable.values() if p.counts_for_quorum and p.name not in voters]
        return self.name in voters and bool(standbys)

    @property
    def is_replicated_elsewhere(self) -> bool:
        """Whether the whole local log is on the disks of one more other voter than may be lost at once."""
        raft = self.raft
        other_indexes = [raft.persisted_index_of(name) for name in raft.voters if name != self.name]
        needed = min(self.options.tolerated + 1, len(other_indexes))
        return sum(index >= raft.last_index for index in other_indexes) >= needed

    def request_replacement(self, now: float) -> None:
        """Planned shutdown: ask the leader to replace this voter if a standby is available."""
        self.raft.note = NOTE_LEAVING
        self.raft.send_note()
        self._advance_reads_and_orders(now)

    # Persist, send, apply

    def take_ready(self) -> Work | None:
        """The next work; None if there is none or the previous one is not completed."""
        if self.in_flight is not None:
            return None
        ready = self.raft.take_ready()
        if ready is None and not self.image_pending:
            return None
        work = Work(ready or Ready())
        if self.image_pending or work.ready.snapshot is not None:
            work.image = encode_image(self.raft)
            self.image_pending, self.log_bytes = False, 0
        elif work.ready.hard_state is not None or work.ready.entries:
            record = encode_record(self.raft, work.ready)
            work.records = [record]
            self.log_bytes += len(record)
        work.messages = [(to, msgpack.encode(message)) for to, message in work.ready.messages]
        self.in_flight = work
        return work

    def on_stored(self, now: float) -> None:
        """The current work is persisted and its messages are sent: apply committed entries."""
        work, self.in_flight = self.in_flight, None
        assert work is not None
        if work.ready.snapshot is not None and work.ready.snapshot.index > self.applied_index:
            self._restore(work.ready.snapshot)
        for index, entry in work.ready.committed_entries:
            self._apply(index, entry)
        self.raft.on_stored(now, work.ready)
        self._compact()
        self._advance_reads_and_orders(now)

    def _apply(self, index: int, entry: Entry) -> None:
        self.applied_index = index
        if entry.kind == EntryKind.VOTERS:
            self.committed_voters = (msgpack.decode(entry.data, type=list[str]), index)
        if entry.kind != EntryKind.DATA:
            return
        command = msgpack.decode(entry.data, type=Command)
        if isinstance(command, Order):
            outcome = self.state.apply(command)
            self._notify_applied()
            self.orders.on_order_applied(index, command, outcome)
        elif command == RejoinMarker(self.name, self.nonce) and self.raft.quarantined:
            self.raft.end_quarantine()
            self.image_pending = True

    def _restore(self, snapshot: Snapshot) -> None:
        self.state.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.committed_voters = (list(snapshot.voters), snapshot.index)
        self._notify_applied()

    def _notify_applied(self) -> None:
        for handler in self.applied_handlers:
            handler()

    def _compact(self) -> None:
        raft = self.raft
        max_bytes = max(MAX_LOG_BYTES, MAX_LOG_TO_SNAPSHOT_RATIO * len(raft.snapshot.data))
        oversized = self.log_bytes > max_bytes or len(raft.entries) > self.max_log_entries
        if not oversized or self.applied_index != raft.applied_index:
            return
        if raft.compact(self.applied_index, self.state.snapshot()) is not None:
            self.image_pending = True

    def _advance_reads_and_orders(self, now: float) -> None:
        """Process answered reads, run callbacks whose index is applied, and advance the orders."""
        reads, self.raft.answered_reads = self.raft.answered_reads, []
        for token, index in reads:
            if not self.orders.on_read_confirmed(token):
                self.unapplied_reads.append((index, token))
        applied_tokens = [token for index, token in self.unapplied_reads if index <= self.applied_index]
        self.unapplied_reads = [
            (index, token) for index, token in self.unapplied_reads if index > self.applied_index
        ]
        for token in applied_tokens:
            callback = self.read_callbacks.pop(token, None)
            if callback is not None:
                callback()
        if now - self.transfer_started_at >= TRANSFER_PAUSE_MS or not self.is_leader:
            self.orders.advance(now)

    def _detect_stall(self, now: float) -> None:
        if now - self.last_call_at > STALL_THRESHOLD_MS:
            self.raft.on_stall(now)
        self.last_call_at = now

    @staticmethod
    def _is_rejoin_marker(data: bytes) -> bool:
        try:
            return isinstance(msgpack.decode(data, type=Command), RejoinMarker)
        except DecodeError:
            return False

    # Bootstrap

    def _bootstrap(self, now: float) -> None:
        """On the first seed of a first start: choose the voters once enough processes are connected."""
        raft = self.raft
        is_first_seed = bool(self.options.seeds) and self.options.seeds[0] == self.name
        is_empty = raft.last_index == 0 and raft.term == 0 and not raft.voters
        if (
            not is_first_seed
            or not is_empty
            or raft.quarantined
            or self.in_flight is not None
            or self.image_pending
        ):
            return
        candidates = eligible_processes(self.known_processes())
        have_disks = any(process.counts_for_quorum for process in candidates)
        target = target_voter_count(self.options.tolerated, have_disks)
        if not self._enough_candidates(now, len(candidates), target if have_disks else inf):
            return
        voters = choose_voters(candidates, self.options.seeds, target)
        snapshot = Snapshot(1, 0, voters, b"")
        raft = PacedRaftNode(self.name, voters, self.rng, now, snapshot=snapshot)
        self.raft = self._configure_domains(raft)
        self.orders.raft = self.raft
        self._restore(snapshot)
        self.image_pending, self.announce_at = True, now

    def _enough_candidates(self, now: float, candidate_count: int, target: float) -> bool:
        waited = now - self.started_at
        if waited >= BOOTSTRAP_MAX_GATHER_MS:
            return True
        if candidate_count < target:
            return waited >= BOOTSTRAP_PARTIAL_GATHER_MS and candidate_count > self.options.tolerated_machines
        seeds_are_here = all(seed == self.name or seed in self.reachable for seed in self.options.seeds)
        return waited >= BOOTSTRAP_GATHER_MS or (
            seeds_are_here and now - self.last_discovery_at >= BOOTSTRAP_QUIET_MS
        )

    def _announce_voters(self, now: float) -> None:
        """Until there is a first leader: send the voter list to its members; the first one campaigns."""
        raft = self.raft
        if raft.last_index != 1 or raft.snapshot.term or now < self.announce_at:
            return
        if (raft.term and raft.leader) or raft.quarantined:
            return
        self.announce_at = now + ANNOUNCE_INTERVAL_MS
        for name in raft.voters:
            if name != self.name:
                raft.send(name, InstallSnapshot(0, raft.snapshot, 0))
        if raft.term == 0 and raft.voters[0] == self.name:
            raft.campaign(now, pre_vote=False, leadership_transfer=True)

    # Recovery and membership changes

    def _may_vote(self) -> bool:
        return self.own_process.counts_for_quorum or not any(
            process.counts_for_quorum for process in self.reachable.values()
        )

    def _request_rejoin_marker(self, now: float) -> None:
        """Ask the leader to commit the entry that ends this process's quarantine."""
        raft = self.raft
        if not raft.quarantined or not self.leader or now < self.rejoin_at or not self._may_vote():
            return
        self.rejoin_at = now + REJOIN_REQUEST_INTERVAL_MS
        raft.propose(now, msgpack.encode(RejoinMarker(self.name, self.nonce)))

    def _contact_processes(self, now: float) -> None:
        """As leader, replicate to all connected processes; as a learner without a leader, look for one."""
        if now < self.contact_at:
            return
        if self.is_leader:
            self.contact_at = now + CONTACT_INTERVAL_MS
            for name in self.reachable:
                self.raft.add_follower(now, name)
        elif self.raft.role is Role.LEARNER and not self.leader:
            self.contact_at = now + LEADER_QUERY_INTERVAL_MS
            query = AppendResponse(self.raft.term, False, self.raft.last_index, 0, b"", False)
            for name in self.voters[0]:
                if name in self.reachable:
                    self.raft.send(name, query)

    def _maintain_voters(self, now: float) -> None:
        """As leader, keep the target number of voters and replace lost or leaving ones."""
        raft = self.raft
        if not self.is_leader or now < self.voter_check_at or not raft.may_change_voters():
            return
        self.voter_check_at = now + VOTER_CHECK_INTERVAL_MS
        remaining = {name: p for name, p in raft.progress.items() if raft.notes.get(name) != NOTE_LEAVING}
        heard = {name for name, p in remaining.items() if now - p.last_heard_at < VOTER_LOST_TIMEOUT_MS}
        fresh = {
            name
            for name, p in remaining.items()
            if p.match_index >= raft.commit_index and now - p.last_heard_at < STANDBY_FRESH_MS
        }
        candidates = eligible_processes(self.known_processes())
        standbys = [p for p in candidates if p.name in fresh and p.name not in raft.voters]
        target = target_voter_count(self.options.tolerated, any(p.counts_for_quorum for p in candidates))
        voters = next_voter_change(self.name, raft.voters, target, heard | {self.name}, standbys, self.zones)
        if voters is not None:
            raft.change_voters(now, voters)
