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
    Appended,
    Entry,
    Install,
    Kind,
    Message,
    Ready,
    Snapshot,
    Submit,
    TimeoutNow,
)
from barleybarrow.consensus.configuration_state import (
    Command,
    ConfigurationState,
    Order,
    Witness,
    order_digest,
)
from barleybarrow.consensus.durable_state import DurableState, encode_image, encode_record
from barleybarrow.consensus.order_queue import OrderQueue
from barleybarrow.consensus.paced_agreement import LOST_MS, PacedAgreement
from barleybarrow.consensus.voter_selection import (
    ControlProcess,
    choose_voters,
    eligible,
    next_change,
    target_voters,
)

GATHER_MS = 600.0  # on a first start all machines start within 300 ms of one another
GATHER_LONGEST_MS = 1500.0  # with fewer machines than wanted; the first order is due 4 s after the start
GATHER_ANYWAY_MS = 6000.0  # until then, do not form a group that could be lost as a whole by tolerated losses
QUIET_MS = 200.0  # all seeds are connected and nobody new appeared for this long: no more are expected
ANNOUNCE_MS = 250.0
WITNESS_MS = 400.0
INVITE_MS = 1000.0  # to processes that do not follow the leader yet
CHANGE_MS = 200.0
FRESH_MS = 700.0  # a standby heard within this time is alive: it responds every 300 ms
CONFIRM_AGAIN_MS = 500.0
RESTARTED_MS = (300.0, 700.0)  # after a restart: connecting takes up to 200 ms
LINKED_MS = (60.0, 300.0)  # once a majority is connected: a leader would have sent within 20 ms
HAND_OVER_MS = 500.0  # after starting a leadership transfer, a leader advances no orders for this long
ASK_MS = 300.0  # of a learner that looks for a leader among the known voters
LONGEST_SLEEP_MS = 200.0  # well below the pause threshold, so that a pause is detected
PAUSE_MS = 500.0  # a process that was not scheduled for this long has missed messages meanwhile
LEAVING = b"leaving"  # note of a voter that shuts down as planned: it is replaced if a standby exists
MAX_LOG_BYTES = 256 * 1024  # a longer log is compacted into a snapshot
SNAPSHOT_SHARE = 2  # the log may be this many times as long: else large snapshots are written too often
MAX_LOG_ENTRIES = 512

NO_VOTERS: list[str] = []
MESSAGES: msgpack.Decoder[Message] = msgpack.Decoder(Message)


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Local settings of a replica. Names are internal addresses; `counts`: it has a disk and may vote."""

    name: str
    zone: str
    counts: bool
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
    def stores(self) -> bool:
        """Whether there is anything to persist."""
        return self.image is not None or bool(self.records)


class ConfigNode:
    """A replica of the configuration, as voter or learner."""

    max_log_entries = MAX_LOG_ENTRIES

    def __init__(self, options: NodeOptions, rng: Random, now: float, kept: DurableState | None) -> None:
        self.options, self.name, self.rng = options, options.name, rng
        self.state = ConfigurationState()
        self.applied_index = 0
        self.started_at = self.last_call = self.ticked_at = self.news_at = now
        self.reachable: dict[str, ControlProcess] = {}  # connected control processes, without this one
        self.own = ControlProcess(options.name, options.zone, options.counts)
        self.zones: dict[str, str] = {options.name: options.zone}  # of every control process ever seen
        self.committed_voters: tuple[list[str], int] = (NO_VOTERS, 0)
        self.told_voters: tuple[list[str], int] = (NO_VOTERS, 0)  # reported by others, with the log index
        self.nonce = rng.getrandbits(52)
        # Tokens of reads start at random, so that late answers to a previous incarnation match none.
        self.tokens = count(self.nonce)
        self.incarnations: dict[str, int] = {}  # newest of every control process ever seen
        self.confirmations: dict[
            int, Callable[[], None]
        ] = {}  # by token: callback once the read's index is applied
        self.awaited: list[tuple[int, int]] = []  # (index, token) of answered reads not applied yet
        self.on_applied: list[Callable[[], None]] = []
        self.in_flight: Work | None = None
        self.rewrite = False  # the next work has to persist a full image
        self.log_bytes = 0
        self.handed_over_at = -inf
        self.announce_at = self.witness_at = self.invite_at = self.change_at = self.confirm_at = now
        self.agreement = self._with_domains(self._restored(now, kept))
        least_disks = options.tolerated_machines + 1
        self.orders = OrderQueue(self.agreement, self.state, least_disks, self.tokens)

    def _with_domains(self, agreement: PacedAgreement) -> PacedAgreement:
        agreement.domains, agreement.tolerated_domains = self.zones, self.options.tolerated_domains
        return agreement

    def _restored(self, now: float, kept: DurableState | None) -> PacedAgreement:
        if kept is None:
            self.rewrite = True  # from now on an empty store means that its content was lost
            return PacedAgreement(self.name, [], self.rng, now, barred=not self.options.bootstrap)
        snapshot = kept.snapshot
        if snapshot.index:
            self._restore(snapshot)
        voters, entries = snapshot.voters, kept.entries
        agreement = PacedAgreement(
            self.name, voters, self.rng, now, kept.term, kept.vote, snapshot, entries, kept.barred
        )
        agreement.stands_at = now + self.rng.uniform(*RESTARTED_MS)
        return agreement

    # State for callers

    @property
    def is_leader(self) -> bool:
        """Whether this process believes that it is the leader."""
        return self.agreement.role is Role.LEADER

    @property
    def leader(self) -> str:
        """Name of the leader, empty if unknown."""
        return self.agreement.leader if self.agreement.term else ""

    @property
    def voters(self) -> tuple[list[str], int]:
        """The newest committed voters known here, and the log index of that membership."""
        return max(self.committed_voters, self.told_voters, key=lambda voters: voters[1])

    def known(self) -> list[ControlProcess]:
        """This control process and those it is connected to."""
        return [self.own, *self.reachable.values()]

    def next_wakeup(self, now: float) -> float:
        """Time by which `tick` has to be called."""
        due = min(self.agreement.next(), self.ticked_at + LONGEST_SLEEP_MS)
        return max(due, now + 1.0)

    # Events from the driver

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self._awake(now)
        self.ticked_at = now
        self.agreement.tick(now)
        self._form(now)
        self._announce(now)
        self._ask_for_witness(now)
        self._invite(now)
        self._change_voters(now)
        if now >= self.confirm_at:
            self.confirm_at = now + CONFIRM_AGAIN_MS
            self.orders.again(now)
        self._settle(now)

    def receive(self, now: float, sender: str, payload: bytes) -> None:
        """Handle a message of another process; malformed ones are ignored."""
        self._awake(now)
        try:
            message = MESSAGES.decode(payload)
        except DecodeError:
            return
        if isinstance(message, Submit) and not self._is_witness(message.data):
            return
        self.agreement.receive(now, sender, message)
        self._settle(now)

    def link_up(self, now: float, process: ControlProcess) -> None:
        """A connection to a control process was opened."""
        if process.name not in self.reachable:
            self.news_at = now
        if self.incarnations.get(process.name, process.incarnation) != process.incarnation:
            self.agreement.restarted(process.name)
            self.agreement.notes.pop(process.name, None)
        self.incarnations[process.name] = process.incarnation
        self.reachable[process.name] = process
        self.zones[process.name] = process.zone
        self.invite_at = self.announce_at = min(now, self.invite_at)
        if self.is_leader and process.name in self.agreement.progress:
            self.agreement.inform(now, process.name, self.agreement.progress[process.name])
        self._stand_soon(now)

    def _stand_soon(self, now: float) -> None:
        """Shorten the election timeout if a majority is connected and none of it has announced a leader."""
        agreement = self.agreement
        linked = sum(name in self.reachable for name in agreement.voters)
        if not self.leader and linked + 1 >= agreement.majority and self.name in agreement.voters:
            agreement.stands_at = min(agreement.stands_at, now + self.rng.uniform(*LINKED_MS))

    def link_down(self, now: float, name: str) -> None:
        """The connection to a control process broke."""
        self.reachable.pop(name, None)
        self.agreement.unreachable(now, name)

    def hear_voters(self, voters: list[str], index: int) -> None:
        """Another process reports the voters as of a log index."""
        if index > self.told_voters[1]:
            self.told_voters = (voters, index)

    def was_taken(self, kind: str, base_version: int, body: bytes) -> bool:
        """Whether this exact order is known to be committed; if so, any process may acknowledge it."""
        return order_digest(kind, base_version, body) in self.state.taken

    def submit(self, now: float, kind: str, base_version: int, body: bytes, received_at: int) -> int:
        """Submit an operator's order: returns a ticket, under which its outcome will be listed."""
        ticket = self.orders.submit(kind, base_version, body, received_at)
        self._settle(now)
        return ticket

    def checked(self, now: float, digest: bytes, error: str) -> None:
        """The driver has validated a document; `error` is empty if it is valid."""
        self.orders.checked(now, digest, error)
        self._settle(now)

    def confirm(self, now: float, then: Callable[[], None]) -> int:
        """Call `then` once everything committed by now is applied here; it may never be called."""
        token = next(self.tokens)
        self.confirmations[token] = then
        self.agreement.read(now, token)
        self._settle(now)
        return token

    def forget(self, token: int) -> None:
        """Cancel a confirmation that nobody waits for any more."""
        self.confirmations.pop(token, None)

    def hand_over(self, now: float) -> list[tuple[str, bytes]]:
        """Transfer leadership to the most up-to-date follower: messages to send, without persisting first."""
        successor = self.agreement.successor(now) if self.is_leader else ""
        if not successor:
            return []
        self.handed_over_at = now
        return [(successor, msgpack.encode(TimeoutNow(self.agreement.term)))]

    @property
    def may_be_replaced(self) -> bool:
        """Whether this process is a voter and a connected standby could take its place."""
        voters = self.agreement.voters
        standbys = [p for p in self.reachable.values() if p.counts and p.name not in voters]
        return self.name in voters and bool(standbys)

    @property
    def is_held_by_others(self) -> bool:
        """Whether the whole local log is on the disks of one more other voter than may be lost at once."""
        agreement = self.agreement
        others = [agreement.held_by(name) for name in agreement.voters if name != self.name]
        wanted = min(self.options.tolerated + 1, len(others))
        return sum(index >= agreement.last for index in others) >= wanted

    def leave(self, now: float) -> None:
        """Planned shutdown: ask the leader to replace this voter if a standby is available."""
        self.agreement.note = LEAVING
        self.agreement.tell()
        self._settle(now)

    # Persist, send, apply

    def take(self) -> Work | None:
        """The next work; None if there is none or the previous one is not completed."""
        if self.in_flight is not None:
            return None
        ready = self.agreement.take()
        if ready is None and not self.rewrite:
            return None
        work = Work(ready or Ready())
        if self.rewrite or work.ready.snapshot is not None:
            work.image = encode_image(self.agreement)
            self.rewrite, self.log_bytes = False, 0
        elif work.ready.hard is not None or work.ready.entries:
            record = encode_record(self.agreement, work.ready)
            work.records = [record]
            self.log_bytes += len(record)
        work.messages = [(to, msgpack.encode(message)) for to, message in work.ready.messages]
        self.in_flight = work
        return work

    def stored(self, now: float) -> None:
        """The current work is persisted and its messages are sent: apply committed entries."""
        work, self.in_flight = self.in_flight, None
        assert work is not None
        if work.ready.snapshot is not None and work.ready.snapshot.index > self.applied_index:
            self._restore(work.ready.snapshot)
        for index, entry in work.ready.apply:
            self._apply(index, entry)
        self.agreement.stored(now, work.ready)
        self._compact()
        self._settle(now)

    def _apply(self, index: int, entry: Entry) -> None:
        self.applied_index = index
        if entry.kind == Kind.VOTERS:
            self.committed_voters = (msgpack.decode(entry.data, type=list[str]), index)
        if entry.kind != Kind.DATA:
            return
        command = msgpack.decode(entry.data, type=Command)
        if isinstance(command, Order):
            outcome = self.state.apply(command)
            self._tell_applied()
            self.orders.applied(index, command, outcome)
        elif command == Witness(self.name, self.nonce) and self.agreement.barred:
            self.agreement.trust()
            self.rewrite = True

    def _restore(self, snapshot: Snapshot) -> None:
        self.state.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.committed_voters = (list(snapshot.voters), snapshot.index)
        self._tell_applied()

    def _tell_applied(self) -> None:
        for handler in self.on_applied:
            handler()

    def _compact(self) -> None:
        agreement = self.agreement
        most_bytes = max(MAX_LOG_BYTES, SNAPSHOT_SHARE * len(agreement.snapshot.data))
        full = self.log_bytes > most_bytes or len(agreement.entries) > self.max_log_entries
        if not full or self.applied_index != agreement.applied:
            return
        if agreement.compact(self.applied_index, self.state.snapshot()) is not None:
            self.rewrite = True

    def _settle(self, now: float) -> None:
        """Process answered reads, run callbacks whose index is applied, and advance the orders."""
        reads, self.agreement.reads = self.agreement.reads, []
        for token, index in reads:
            if not self.orders.confirmed(token):
                self.awaited.append((index, token))
        done = [token for index, token in self.awaited if index <= self.applied_index]
        self.awaited = [(index, token) for index, token in self.awaited if index > self.applied_index]
        for token in done:
            then = self.confirmations.pop(token, None)
            if then is not None:
                then()
        if now - self.handed_over_at >= HAND_OVER_MS or not self.is_leader:
            self.orders.advance(now)

    def _awake(self, now: float) -> None:
        if now - self.last_call > PAUSE_MS:
            self.agreement.slept(now)
        self.last_call = now

    @staticmethod
    def _is_witness(data: bytes) -> bool:
        try:
            return isinstance(msgpack.decode(data, type=Command), Witness)
        except DecodeError:
            return False

    # Bootstrap

    def _form(self, now: float) -> None:
        """On the first seed of a first start: choose the voters once enough processes are connected."""
        agreement = self.agreement
        first = bool(self.options.seeds) and self.options.seeds[0] == self.name
        blank = agreement.last == 0 and agreement.term == 0 and not agreement.voters
        if not first or not blank or agreement.barred or self.in_flight is not None or self.rewrite:
            return
        found = eligible(self.known())
        disks = any(process.counts for process in found)
        target = target_voters(self.options.tolerated, disks)
        if not self._gathered(now, len(found), target if disks else inf):
            return
        voters = choose_voters(found, self.options.seeds, target)
        snapshot = Snapshot(1, 0, voters, b"")
        agreement = PacedAgreement(self.name, voters, self.rng, now, snapshot=snapshot)
        self.agreement = self._with_domains(agreement)
        self.orders.agreement = self.agreement
        self._restore(snapshot)
        self.rewrite, self.announce_at = True, now

    def _gathered(self, now: float, found: int, target: float) -> bool:
        waited = now - self.started_at
        if waited >= GATHER_ANYWAY_MS:
            return True
        if found < target:
            return waited >= GATHER_LONGEST_MS and found > self.options.tolerated_machines
        seeds_are_here = all(seed == self.name or seed in self.reachable for seed in self.options.seeds)
        return waited >= GATHER_MS or (seeds_are_here and now - self.news_at >= QUIET_MS)

    def _announce(self, now: float) -> None:
        """Until there is a first leader: send the voter list to its members; the first one campaigns."""
        agreement = self.agreement
        if agreement.last != 1 or agreement.snapshot.term or now < self.announce_at:
            return
        if (agreement.term and agreement.leader) or agreement.barred:
            return
        self.announce_at = now + ANNOUNCE_MS
        for name in agreement.voters:
            if name != self.name:
                agreement.send(name, Install(0, agreement.snapshot, 0))
        if agreement.term == 0 and agreement.voters[0] == self.name:
            agreement.stand(now, probe=False, transfer=True)

    # Recovery and membership changes

    def _may_vote(self) -> bool:
        return self.own.counts or not any(process.counts for process in self.reachable.values())

    def _ask_for_witness(self, now: float) -> None:
        """Ask the leader to commit the entry that ends this process's quarantine."""
        agreement = self.agreement
        if not agreement.barred or not self.leader or now < self.witness_at or not self._may_vote():
            return
        self.witness_at = now + WITNESS_MS
        agreement.propose(now, msgpack.encode(Witness(self.name, self.nonce)))

    def _invite(self, now: float) -> None:
        """As leader, replicate to all connected processes; as a learner without a leader, look for one."""
        if now < self.invite_at:
            return
        if self.is_leader:
            self.invite_at = now + INVITE_MS
            for name in self.reachable:
                self.agreement.invite(now, name)
        elif self.agreement.role is Role.LEARNER and not self.leader:
            self.invite_at = now + ASK_MS
            word = Appended(self.agreement.term, False, self.agreement.last, 0, b"", False)
            for name in self.voters[0]:
                if name in self.reachable:
                    self.agreement.send(name, word)

    def _change_voters(self, now: float) -> None:
        """As leader, keep the target number of voters and replace lost or leaving ones."""
        agreement = self.agreement
        if not self.is_leader or now < self.change_at or not agreement.may_change():
            return
        self.change_at = now + CHANGE_MS
        staying = {name: p for name, p in agreement.progress.items() if agreement.notes.get(name) != LEAVING}
        heard = {name for name, p in staying.items() if now - p.heard_at < LOST_MS}
        fresh = {
            name for name, p in staying.items() if p.match >= agreement.commit and now - p.heard_at < FRESH_MS
        }
        may_vote = eligible(self.known())
        standbys = [p for p in may_vote if p.name in fresh and p.name not in agreement.voters]
        target = target_voters(self.options.tolerated, any(p.counts for p in may_vote))
        voters = next_change(self.name, agreement.voters, target, heard | {self.name}, standbys, self.zones)
        if voters is not None:
            agreement.change_voters(now, voters)
