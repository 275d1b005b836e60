"""One replica of the shared state: anti-entropy between replicas, catch-up, acknowledged writes and audits.

A state machine without I/O. Keepers are the replicas with durable storage (the `replica.keepers` setting);
the others hold the state in memory only. Invariants: a write is acknowledged only once a majority of the
keepers has it on disk; a replica reports that it has caught up only if it holds everything acknowledged
before it began to catch up; and replicas that must be equal but differ are detected, never merged silently.
The state itself is in `version_vectors`; the design is described in docs/design/replica.md.

| stage | behaviour | transition |
| --- | --- | --- |
| BEHIND | queries all keepers and pulls missing entries | covers a majority of complete replicas: CAUGHT_UP |
| CAUGHT_UP | sends and merges updates; keepers accept writes | process stalled, or store is stale: BEHIND |
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from random import Random
from typing import Annotated

from msgspec import Meta, Struct

from barleybarrow.version_vectors import (
    MAX_TOMBSTONES,
    RANGE_COUNT,
    Dot,
    Entry,
    EventNumber,
    MergeResult,
    Vector,
    VersionedState,
    is_covered,
    merge_vector,
    range_of,
)

STATUS_INTERVAL_MS = 500.0
BUSY_STATUS_INTERVAL_MS = 50.0  # while catching up or while a write is pending
GOSSIP_FANOUT = 3  # random peers per status round in large groups; a busy replica adds all keepers
MAX_BROADCAST_PEERS = 10  # up to this many peers, each status round goes to all of them
MIN_REPLY_INTERVAL_MS = 100.0  # between status replies to a peer that is behind
PULL_TIMEOUT_MS = 2000.0  # a pull that makes no progress is abandoned and restarted from another peer
PUSH_RETRY_INTERVAL_MS = 300.0  # between pushes of the same write to a keeper
WRITE_TIMEOUT_MS = 5000.0  # milliseconds until the outcome of an unacknowledged write is reported as unknown
AUDIT_INTERVAL_MS = 2000.0
PRUNE_INTERVAL_MS = 5000.0
FULL_RETRY_BACKOFF_MS = 30_000.0  # until a replica that ran out of room pulls again
STALL_THRESHOLD_MS = 2000.0  # a longer gap between clock readings means that this process was stalled
MAX_CHUNK_ENTRIES, MAX_CHUNK_BYTES, MAX_CHUNK_SCAN = 200, 32 * 1024, 5000  # scan: change log items
MIN_CHUNK_BYTES = 512  # for slow readers; an entry is never split
FAST_CHUNK_MS = PULL_TIMEOUT_MS / 8  # a chunk that arrives within this time doubles the next chunk's size
MAX_RANGE_BYTES, MAX_RANGE_ENTRIES = 512 * 1024, 4096  # a range must fit into one message: bytes and entries
CLEANUP_BATCH_KEYS = 2000  # keys examined per tick after a full copy has been received
MAX_QUEUED_MESSAGES = 2000  # limit of messages queued for sending
MAX_PENDING_WRITES = 64  # limit of writes awaiting acknowledgement
MAX_PEERS = 1024  # limit of peers whose status is kept

Name = Annotated[str, Meta(min_length=1, max_length=64)]
RunId = Annotated[int, Meta(ge=0, lt=2**62)]
Entries = Annotated[list[Entry], Meta(max_length=1024)]
Digests = Annotated[list[Annotated[int, Meta(ge=0)]], Meta(max_length=RANGE_COUNT)]


class ReplicaStatus(Struct, array_like=True, frozen=True, tag=1):
    """The sender's progress.

    `echo` repeats the run and catch-up round that the recipient last reported, which lets the recipient tell
    a reply to its current round from an older status.
    """

    run_id: RunId  # identifies the sender's process
    catch_up_round: EventNumber  # how many times the sender has begun to catch up
    store_opens: EventNumber  # how many times the sender's store was opened; 0 without a store
    echo: tuple[RunId, EventNumber]
    # The highest store open count known of the recipient, and the run that reported it.
    last_open: tuple[EventNumber, RunId]
    complete: bool  # the sender holds every write that was acknowledged with its vote
    vector: Vector
    pruned: Vector
    digest: Annotated[int, Meta(ge=0)]
    gapless: bool  # everything the sender holds is covered by its vector


class PullRequest(Struct, array_like=True, frozen=True, tag=2):
    """Asks for the entries not covered by `vector` among the recipient's changes after `after`.

    With `full`, asks for a full copy.
    """

    token: RunId
    vector: Vector
    after: EventNumber
    full: bool
    # Limit of a chunk's size; a chunk carries at least one entry, even a larger one.
    max_bytes: Annotated[int, Meta(ge=MIN_CHUNK_BYTES, le=MAX_CHUNK_BYTES)] = MAX_CHUNK_BYTES


class EntryChunk(Struct, array_like=True, frozen=True, tag=3):
    """Entries in reply to a `PullRequest`; the last chunk carries the sender's vectors.

    Token 0 marks a push: a new write that nobody requested.
    """

    token: RunId
    entries: Entries
    after: EventNumber
    last: bool
    vector: Vector
    pruned: Vector


class DigestRequest(Struct, array_like=True, frozen=True, tag=4):
    """Asks a keeper for its digests of all key ranges."""

    token: RunId


class DigestReply(Struct, array_like=True, frozen=True, tag=5):
    """One digest per key range, valid for `vector`."""

    token: RunId
    vector: Vector
    gapless: bool
    digests: Digests


class RangeRequest(Struct, array_like=True, frozen=True, tag=6):
    """Asks for all entries of one key range."""

    token: RunId
    index: Annotated[int, Meta(ge=0, lt=RANGE_COUNT)]


class RangeReply(Struct, array_like=True, frozen=True, tag=7):
    """All entries of one key range, with its digest and the vector for which both are valid."""

    token: RunId
    index: Annotated[int, Meta(ge=0, lt=RANGE_COUNT)]
    vector: Vector
    digest: Annotated[int, Meta(ge=0)]
    entries: Annotated[list[Entry], Meta(max_length=MAX_RANGE_ENTRIES)]


Message = ReplicaStatus | PullRequest | EntryChunk | DigestRequest | DigestReply | RangeRequest | RangeReply


class Stage(Enum):
    """Whether this replica has caught up with a majority of the keepers."""

    BEHIND = "behind"
    CAUGHT_UP = "caught up"


@dataclass
class StoredReplica:
    """The durable state of a keeper."""

    origin: str = ""  # identifies this store as a source of writes
    complete: bool = False  # holds every write that was acknowledged with this keeper's vote
    entries: list[Entry] = field(default_factory=list)
    vector: Vector = field(default_factory=dict)
    pruned: Vector = field(default_factory=dict)
    store_opens: int = 0  # how many times the store was opened
    # By keeper: the highest store open count that it reported, and the run that reported it.
    peer_opens: dict[str, tuple[int, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Ready:
    """Work for the driver, in this order: store, send the messages, report the results of writes."""

    changed_keys: list[str] = field(default_factory=list)  # changed keys, for the consumers of the state
    entries_by_key: dict[str, list[Entry]] = field(default_factory=dict)  # entries to store, by key
    metadata: StoredReplica | None = None  # metadata to store; its entries are left empty
    messages: list[tuple[str, Message]] = field(default_factory=list)
    # Token; True: acknowledged, False: unknown.
    write_results: list[tuple[int, bool]] = field(default_factory=list)


@dataclass(slots=True)
class Peer:
    """The last reported status of another replica, and the progress of pulls from it."""

    run_id: int = 0
    catch_up_round: int = 0
    vector: Vector = field(default_factory=dict)
    pruned: Vector = field(default_factory=dict)
    complete: bool = False
    echoed_run: bool = False  # it has echoed this replica's run and current catch-up round
    last_heard_at: float = -inf
    status_sent_at: float = -inf
    last_push_at: float = -inf
    chunk_bytes: int = MAX_CHUNK_BYTES  # size limit of the next chunk requested
    pull_offset: int = 0  # position in its change log up to which changes were received
    pull_offset_run: int = 0


@dataclass(slots=True)
class ActivePull:
    """A pull in progress."""

    source: str
    token: int
    full: bool
    last_chunk_at: float  # when the last chunk arrived, at first when the pull started
    seen_dots: set[Dot] = field(default_factory=set)  # received so far, in a full copy
    has_room: bool = True


@dataclass(slots=True)
class FullCopyCleanup:
    """Keys still to be examined after a full copy was received: entries absent from it are dropped."""

    keys: list[str]
    seen_dots: set[Dot]
    vector: Vector
    position: int = 0


@dataclass(slots=True)
class PendingWrite:
    """A write that awaits acknowledgement by a majority of the keepers."""

    token: int
    entry: Entry
    started_at: float


@dataclass(slots=True)
class Audit:
    """The keepers' digests, collected to find the ranges in which replicas with equal vectors differ."""

    token: int
    started_at: float
    replies: dict[str, DigestReply] = field(default_factory=dict)
    majority_digests: dict[int, int] = field(default_factory=dict)  # by range index


class Replica:
    """One replica. Times are milliseconds on its own monotonic clock."""

    def __init__(
        self,
        name: str,
        keepers: list[str],
        rng: Random,
        now: float,
        stored: StoredReplica | None = None,
        max_entries: int | None = None,
    ) -> None:
        self.name, self.keepers, self.rng = name, keepers, rng
        self.is_keeper = name in keepers
        self.state = VersionedState(max_entries) if max_entries else VersionedState()
        self.max_tombstones = MAX_TOMBSTONES
        self.run_id = rng.getrandbits(62) | 1
        self.origin, self.complete, self.catch_up_round = "", False, 1
        self.store_opens, self.peer_opens = 0, dict[str, tuple[int, int]]()
        self.metadata_changed = self.is_keeper
        if stored is not None:
            self.origin, self.complete = stored.origin, stored.complete
            self.store_opens, self.peer_opens = stored.store_opens + 1, dict(stored.peer_opens)
            self.state.load(stored.entries, stored.vector, stored.pruned)
        if self.is_keeper and not self.origin:
            self.new_origin()
        self.stage = Stage.BEHIND
        self.covered_peers: set[str] = set()  # keepers fully covered in this catch-up round
        self.peers: dict[str, Peer] = {}
        self.reachable: list[str] = []  # names of reachable peers, maintained by the driver
        self.active_pull: ActivePull | None = None
        self.cleanup: FullCopyCleanup | None = None
        # Requests, sent at once: they depend on nothing unstored.
        self.immediate_messages: list[tuple[str, Message]] = []
        self.pending_writes: dict[int, PendingWrite] = {}
        self.audit: Audit | None = None
        self.last_audit_at = -inf
        self.has_diverged = False  # replicas with equal vectors differ and the audit has not resolved it yet
        self.replaced_entries: list[Entry] = []  # entries replaced by an audit, for the driver to log
        self.ready = Ready()
        self.next_status_at = self.next_prune_at = now
        self.last_active_at, self.pull_backoff_until = now, -inf
        self.counts: Counter[str] = Counter()

    @property
    def dropped(self) -> int:
        """The number of messages, peers and oversized ranges dropped because of limits."""
        return sum(self.counts[what] for what in ("messages", "others", "ranges"))

    def new_origin(self) -> None:
        """Choose a new origin: event numbers of an earlier one may have been used already."""
        self.origin = f"{self.name}~{self.rng.getrandbits(40):010x}"
        self.metadata_changed = True

    def on_stale_store(self, known_opens: int) -> None:
        """Treat the store as empty: peers know of a later open or of writes that it does not hold."""
        self.counts["store_old"] += 1
        self.store_opens = known_opens + 1
        self.new_origin()
        self.complete = False
        self.start_catch_up()

    @property
    def majority(self) -> int:
        return len(self.keepers) // 2 + 1

    def peer_state(self, name: str) -> Peer:
        peer = self.peers.get(name)
        if peer is None:
            if len(self.peers) >= MAX_PEERS:
                del self.peers[min(self.peers, key=lambda n: self.peers[n].last_heard_at)]
                self.counts["others"] += 1
            peer = self.peers[name] = Peer()
        return peer

    # Timers

    def next_wakeup(self) -> float:
        """When `tick` has to be called next."""
        due_times = [self.next_status_at, self.next_prune_at]
        if self.cleanup is not None:
            due_times.append(self.last_active_at)
        return min(due_times)

    def tick(self, now: float) -> None:
        self.check_for_stall(now)
        if self.stage is Stage.BEHIND and self.keepers == [self.name]:
            self.mark_caught_up()  # a single keeper has no peers to catch up with
        if self.cleanup is not None:
            self.continue_cleanup()
        if self.active_pull is not None and now - self.active_pull.last_chunk_at > PULL_TIMEOUT_MS:
            self.counts["pulls_given_up"] += 1
            source = self.peer_state(self.active_pull.source)
            source.chunk_bytes = max(MIN_CHUNK_BYTES, source.chunk_bytes // 4)
            self.active_pull = None
        for write in [w for w in self.pending_writes.values() if now - w.started_at > WRITE_TIMEOUT_MS]:
            del self.pending_writes[write.token]
            self.ready.write_results.append((write.token, False))
        if now >= self.next_status_at:
            self.send_statuses(now)
        if now >= self.next_prune_at:
            self.next_prune_at = now + PRUNE_INTERVAL_MS
            self.prune_removals(now)

    def check_for_stall(self, now: float) -> None:
        """After a stall of this process, begin a new catch-up round."""
        if now - self.last_active_at > STALL_THRESHOLD_MS:  # its state may be outdated by now
            self.counts["slept"] += 1
            self.start_catch_up()
            self.active_pull = None
            self.next_status_at = now
        self.last_active_at = now

    def start_catch_up(self) -> None:
        """Begin a new catch-up round; replies to earlier rounds no longer count."""
        self.stage = Stage.BEHIND
        self.covered_peers.clear()
        self.catch_up_round += 1
        for peer in self.peers.values():
            peer.echoed_run = False

    def send_statuses(self, now: float) -> None:
        """Send this replica's status to some or all peers, and push pending writes again."""
        busy = self.stage is Stage.BEHIND or bool(self.pending_writes)
        self.next_status_at = now + (BUSY_STATUS_INTERVAL_MS if busy else STATUS_INTERVAL_MS)
        targets = set(self.reachable)
        if len(targets) > MAX_BROADCAST_PEERS:
            targets = set(self.rng.sample(sorted(targets), GOSSIP_FANOUT))
        if busy:
            targets.update(k for k in self.keepers if k != self.name and k in self.reachable)
        for name in sorted(targets):
            self.send_status(now, name)
        for write in self.pending_writes.values():
            for name in self.keepers_without(write):
                peer = self.peer_state(name)
                if now - peer.last_push_at >= PUSH_RETRY_INTERVAL_MS:
                    peer.last_push_at = now
                    self.send(name, EntryChunk(0, [write.entry], 0, False, {}, {}))

    def send_status(self, now: float, name: str) -> None:
        peer, state = self.peer_state(name), self.state
        peer.status_sent_at = now
        echo, last_open = (peer.run_id, peer.catch_up_round), self.peer_opens.get(name, (0, 0))
        status = ReplicaStatus(
            self.run_id,
            self.catch_up_round,
            self.store_opens,
            echo,
            last_open,
            self.complete,
            dict(state.vector),
            dict(state.pruned),
            state.digest,
            state.is_gapless(),
        )
        self.send(name, status)

    def prune_removals(self, now: float) -> None:
        """Discard tombstones that all keepers and reachable peers hold."""
        if not self.state.tombstone_keys or self.stage is Stage.BEHIND:
            return
        stable = dict(self.state.vector)
        peers = [o for n, o in self.peers.items() if n in self.reachable or n in self.keepers]
        for peer in peers:
            stable = {o: min(n, peer.vector.get(o, 0)) for o, n in stable.items()}
        self.state.prune(stable if peers else {}, self.max_tombstones)
        self.metadata_changed = True

    def continue_cleanup(self) -> None:
        """After a full copy was received, drop the entries that it did not hold, one batch at a time."""
        cleanup = self.cleanup
        assert cleanup is not None
        keys = cleanup.keys[cleanup.position : cleanup.position + CLEANUP_BATCH_KEYS]
        cleanup.position += CLEANUP_BATCH_KEYS
        self.counts["dropped"] += self.state.drop_absent(keys, cleanup.seen_dots, cleanup.vector)
        if cleanup.position >= len(cleanup.keys):
            self.cleanup = None
            self.state.advance_vector(cleanup.vector)
            self.metadata_changed = True

    # Writes

    def write_refusal(self) -> str:
        """Why writes are refused at present; empty if they are accepted."""
        if not self.is_keeper:
            return f"keeps nothing: ask one of {' '.join(self.keepers)}"
        if self.stage is Stage.BEHIND:
            return "has not caught up with a majority of the keepers"
        if len(self.pending_writes) >= MAX_PENDING_WRITES:
            return "too many writes are on their way"
        return ""

    def write(self, now: float, token: int, key: str, value: bytes | None) -> bool:
        """Start a write, whose result is reported in `Ready`. False if there is nothing to do or no room."""
        entry = self.state.write(self.origin, key, value)
        if entry is None:
            return False
        self.metadata_changed = True
        self.pending_writes[token] = PendingWrite(token, entry, now)
        for name in self.reachable:
            self.peer_state(name).last_push_at = now
            self.send(name, EntryChunk(0, [entry], 0, False, {}, {}))
        self.next_status_at = min(self.next_status_at, now + BUSY_STATUS_INTERVAL_MS)
        self.complete_writes()
        return True

    def keepers_without(self, write: PendingWrite) -> list[str]:
        """Keepers that have not reported that they hold the write."""
        dot = {write.entry.origin: write.entry.number}
        return [k for k in self.keepers if k != self.name and not is_covered(dot, self.peer_state(k).vector)]

    def complete_writes(self) -> None:
        """Acknowledge the writes that a majority of the keepers holds."""
        for write in list(self.pending_writes.values()):
            if len(self.keepers) - len(self.keepers_without(write)) >= self.majority:
                del self.pending_writes[write.token]
                self.ready.write_results.append((write.token, True))

    # Messages

    def send(self, to: str, message: Message) -> None:
        self.ready.messages.append((to, message))
        # The disk is slow; peers retry what they still need.
        if len(self.ready.messages) > MAX_QUEUED_MESSAGES:
            del self.ready.messages[: MAX_QUEUED_MESSAGES // 2]
            self.counts["messages"] += MAX_QUEUED_MESSAGES // 2

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message from an authenticated peer."""
        self.check_for_stall(now)
        if isinstance(message, ReplicaStatus):
            self.on_status(now, sender, message)
        elif isinstance(message, PullRequest):
            self.on_pull_request(sender, message)
        elif isinstance(message, EntryChunk):
            self.on_chunk(now, sender, message)
        elif isinstance(message, DigestRequest):
            state = self.state
            if self.complete:
                digest_reply = DigestReply(
                    message.token, dict(state.vector), state.is_gapless(), list(state.digests)
                )
                self.send(sender, digest_reply)
        elif isinstance(message, DigestReply):
            self.on_digests(now, sender, message)
        elif isinstance(message, RangeRequest):
            state = self.state
            entries = [e for key in state.range_keys[message.index] for e in state.slots[key]]
            if len(entries) > MAX_RANGE_ENTRIES or sum(e.size for e in entries) > MAX_RANGE_BYTES:
                self.counts["ranges"] += 1  # stays unrepaired at the requester, which reports the difference
            else:
                range_reply = RangeReply(
                    message.token, message.index, dict(state.vector), state.digests[message.index], entries
                )
                self.send(sender, range_reply)
        else:
            self.on_range(message)

    def on_status(self, now: float, sender: str, status: ReplicaStatus) -> None:
        peer, state = self.peer_state(sender), self.state
        if peer.run_id != status.run_id:
            peer.run_id, peer.echoed_run = status.run_id, False
        peer.catch_up_round = status.catch_up_round
        if sender in self.keepers and status.store_opens > self.peer_opens.get(sender, (0, 0))[0]:
            self.peer_opens[sender] = status.store_opens, status.run_id
            self.metadata_changed = True
        peer.last_heard_at, peer.vector, peer.pruned, peer.complete = (
            now,
            dict(status.vector),
            dict(status.pruned),
            status.complete,
        )
        peer.echoed_run = peer.echoed_run or status.echo == (self.run_id, self.catch_up_round)
        newer_open_known = status.last_open[0] > self.store_opens or (
            status.last_open[0] == self.store_opens and status.last_open[1] not in (0, self.run_id)
        )
        if self.is_keeper and (
            newer_open_known or status.vector.get(self.origin, 0) > state.vector.get(self.origin, 0)
        ):
            self.on_stale_store(max(status.last_open[0], self.store_opens))
        if is_covered(status.vector, state.vector):
            self.record_covered(sender)
            equal = is_covered(state.vector, status.vector)
            if not equal and now - peer.status_sent_at >= MIN_REPLY_INTERVAL_MS:
                self.send_status(now, sender)
            elif equal and status.gapless and state.is_gapless() and self.cleanup is None:
                if status.digest == state.digest:
                    self.has_diverged = self.has_diverged and sender not in self.keepers
                else:
                    self.start_audit(now)
            if (
                status.echo != (self.run_id, self.catch_up_round)
                and now - peer.status_sent_at >= MIN_REPLY_INTERVAL_MS
            ):
                self.send_status(now, sender)  # echoes the peer's run and catch-up round
        elif self.active_pull is None and self.cleanup is None and now >= self.pull_backoff_until:
            self.start_pull(now, sender)
        self.complete_writes()

    def record_covered(self, name: str) -> None:
        """Note that this replica holds everything that a keeper holds, which may complete the catch-up."""
        peer = self.peer_state(name)
        if self.stage is Stage.CAUGHT_UP or name not in self.keepers or not peer.echoed_run:
            return
        self.covered_peers.add(name)
        complete = sum(self.peers[n].complete for n in self.covered_peers) + (
            self.is_keeper and self.complete
        )
        if complete >= self.majority or len(self.covered_peers) + self.is_keeper == len(self.keepers):
            # From a majority of complete replicas, or from all keepers when the group is first started.
            self.mark_caught_up()

    def mark_caught_up(self) -> None:
        self.stage = Stage.CAUGHT_UP
        if self.is_keeper and not self.complete:
            self.complete, self.metadata_changed = True, True

    # Pulling missing entries

    def start_pull(self, now: float, name: str) -> None:
        """Pull a delta, or a full copy if the peer has discarded tombstones that are not covered here."""
        peer = self.peer_state(name)
        full = not is_covered(peer.pruned, self.state.vector)
        if full or peer.pull_offset_run != peer.run_id:
            peer.pull_offset, peer.pull_offset_run = 0, peer.run_id
        self.active_pull = ActivePull(name, self.rng.getrandbits(62) | 1, full, now)
        self.counts["whole_copies"] += full
        self.request_next_chunk()

    def request_next_chunk(self) -> None:
        pull = self.active_pull
        assert pull is not None
        vector = {} if pull.full else dict(self.state.vector)
        source = self.peer_state(pull.source)
        self.immediate_messages.append(
            (pull.source, PullRequest(pull.token, vector, source.pull_offset, pull.full, source.chunk_bytes))
        )

    def on_pull_request(self, sender: str, request: PullRequest) -> None:
        vector = {} if request.full else request.vector
        entries, after, last = self.state.changes_since(
            vector, request.after, MAX_CHUNK_ENTRIES, request.max_bytes, MAX_CHUNK_SCAN
        )
        vectors = (dict(self.state.vector), dict(self.state.pruned)) if last else ({}, {})
        self.send(sender, EntryChunk(request.token, entries, after, last, *vectors))

    def on_chunk(self, now: float, sender: str, chunk: EntryChunk) -> None:
        """Merge a chunk of a pull, or a pushed write."""
        pull = self.active_pull
        if chunk.token and (pull is None or pull.token != chunk.token or pull.source != sender):
            self.counts["late_parts"] += 1
            for entry in chunk.entries:  # still valid, and costly to resend over a slow link
                self.merge_entry(now, entry)
            return
        for entry in chunk.entries:
            self.merge_entry(now, entry)
        if not chunk.token:
            self.metadata_changed = True
            self.send_status(now, sender)  # confirms the write; sent only after it is on disk
            return
        assert pull is not None
        source = self.peer_state(sender)
        if now - pull.last_chunk_at < FAST_CHUNK_MS:
            source.chunk_bytes = min(MAX_CHUNK_BYTES, 2 * source.chunk_bytes)
        pull.last_chunk_at, source.pull_offset = now, chunk.after
        if pull.full:
            pull.seen_dots.update(e.dot for e in chunk.entries)
        if not chunk.last:
            self.request_next_chunk()
            return
        self.active_pull = None
        self.metadata_changed = True
        if not pull.has_room:  # incomplete, so the source's vector must not be adopted
            self.counts["behind_for_room"] += 1
            self.pull_backoff_until = now + FULL_RETRY_BACKOFF_MS
            self.peer_state(sender).pull_offset = 0
        elif pull.full:
            self.cleanup = FullCopyCleanup(list(self.state.slots), pull.seen_dots, chunk.vector)
            merge_vector(self.state.pruned, chunk.pruned)
        elif is_covered(chunk.pruned, self.state.vector):
            self.state.advance_vector(chunk.vector)
        else:  # the source has discarded tombstones during the pull
            self.start_pull(now, sender)

    def merge_entry(self, now: float, entry: Entry) -> None:
        result = self.state.merge(entry)
        self.counts[f"entries_{result.value}"] += 1
        if result is MergeResult.MISMATCH:
            self.start_audit(now)
        elif result is MergeResult.FULL and self.active_pull is not None:
            self.active_pull.has_room = False

    # Audits

    def start_audit(self, now: float) -> None:
        """Replicas with equal vectors differ: request the digests of all ranges from all keepers."""
        self.has_diverged = True
        if now - self.last_audit_at < AUDIT_INTERVAL_MS or self.stage is Stage.BEHIND:
            return
        self.last_audit_at = now
        self.counts["audits"] += 1
        self.audit = Audit(self.rng.getrandbits(62) | 1, now)
        for name in self.keepers:
            if name != self.name and name in self.reachable:
                self.immediate_messages.append((name, DigestRequest(self.audit.token)))

    def on_digests(self, now: float, sender: str, reply: DigestReply) -> None:
        """Collect digests; request each range for which a majority of the keepers has another digest."""
        audit, state = self.audit, self.state
        if (
            audit is None
            or audit.token != reply.token
            or sender not in self.keepers
            or audit.majority_digests
        ):
            return
        if (
            reply.vector != state.vector
            or not reply.gapless
            or not state.is_gapless()
            or len(reply.digests) != RANGE_COUNT
        ):
            return
        audit.replies[sender] = reply
        replies = list(audit.replies.values())
        for index in range(RANGE_COUNT):
            votes = Counter(r.digests[index] for r in replies)
            if self.is_keeper:
                votes[state.digests[index]] += 1
            digest, vote_count = votes.most_common(1)[0]
            if vote_count >= self.majority and digest != state.digests[index]:
                audit.majority_digests[index] = digest
                holder = next(n for n, r in audit.replies.items() if r.digests[index] == digest)
                self.immediate_messages.append((holder, RangeRequest(audit.token, index)))

    def on_range(self, reply: RangeReply) -> None:
        """Replace a range by the entries of the majority, if the vectors are still equal."""
        audit, state = self.audit, self.state
        if audit is None or audit.token != reply.token or reply.index not in audit.majority_digests:
            return
        if reply.digest != audit.majority_digests[reply.index] or reply.vector != state.vector:
            return
        received = VersionedState(self.state.max_entries)
        received.load(reply.entries, {}, {})
        if received.digests[reply.index] != reply.digest or any(
            range_of(e.key) != reply.index for e in reply.entries
        ):
            return
        replaced = state.replace_range(reply.index, reply.entries)
        self.replaced_entries += replaced[: 64 - len(self.replaced_entries)]
        self.counts["set_aside"] += len(replaced)
        self.metadata_changed = True

    # Output

    def take_ready(self) -> Ready | None:
        """The work that has accumulated since the last call; None if there is none."""
        ready, state = self.ready, self.state
        ready.changed_keys, state.changed_keys = list(state.changed_keys), {}
        if self.is_keeper:
            for key in ready.changed_keys:
                ready.entries_by_key[key] = list(state.slots.get(key, ()))
            if self.metadata_changed or ready.entries_by_key:
                vectors = dict(state.vector), dict(state.pruned)
                ready.metadata = StoredReplica(
                    self.origin, self.complete, [], *vectors, self.store_opens, dict(self.peer_opens)
                )
        if not (ready.changed_keys or ready.metadata or ready.messages or ready.write_results):
            return None
        self.metadata_changed = False
        self.ready = Ready()
        return ready
