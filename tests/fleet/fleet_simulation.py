"""Replicas of the configuration shard on emulated machines, disks and links, in virtual time, from one seed.

The shipped machine (`ConfigNode`) and store (`SlotStore`) run whole; this file does what their driver, the
network and the operating system would do. Times are milliseconds.
"""

import json
import random
from collections.abc import Callable, Generator
from itertools import count
from math import inf
from typing import Any

from barleybarrow.consensus.config_node import ConfigNode, NodeOptions, Work
from barleybarrow.consensus.configuration_state import OUTCOME_UNKNOWN, OrderOutcome, OrderStatus
from barleybarrow.consensus.durable_state import decode_state
from barleybarrow.consensus.voter_selection import ControlProcess
from brackenusher.storage.files import StorageError
from brackenusher.storage.slot_store import SlotStore
from tests.fleet.config_oracle import Call, History, SentOrder
from tests.fleet.emulated_disk import EmulatedDisk, PowerLossError
from tests.fleet.emulated_machine import EventQueue, Machine, Session

SILENCE_MS = 1600.0  # until a cut that says nothing is noticed
CONNECT_MS = 150.0  # between two tries for a link
GOSSIP_MS = 1000.0
RETRY_MS = 200.0  # after a refusal of the disk
STALL_MS = 350.0  # after which a leader gives the lead away
CHECK_MS = 5.0  # of one document
CALL_MS = 1000.0  # an operator's patience with one process
DISKS_MS = ((0.5, 3.0), (0.5, 3.0), (5.0, 30.0))  # one is drawn for a day
DELAYS_MS = ((0.5, 5.0), (0.5, 5.0), (5.0, 50.0))
SHORT_LOG = 12  # entries

Step = tuple[str, Any]
Story = Generator[Step, Any, None]


class World(EventQueue):
    """All machines and what is between them."""

    node_class: type[ConfigNode] = ConfigNode  # tests plant faults by a class of their own
    store_class: type[SlotStore] = SlotStore

    def __init__(
        self, seed: int, machines: int = 3, tolerated: int = 1, doors: int = 1, tolerated_domains: int = 0
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.ids = count(1)
        self.history = History()
        self.tolerated, self.tolerated_domains = tolerated, tolerated_domains
        self.disk_ms, self.delay_ms = self.rng.choice(DISKS_MS), self.rng.choice(DELAYS_MS)
        self.machines: dict[str, Machine] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.on_power_lost: Callable[[Machine], None] = lambda machine: None
        for i in range(machines):
            self.add_machine(f"10.0.0.{i + 1}:7680", f"zone-{i % 3}", counts=True)
        for i in range(doors):
            self.add_machine(f"10.0.1.{i + 1}:7680", f"zone-{i % 3}", counts=False)
        self.seeds = list(self.machines)[:3]
        self.schedule(CONNECT_MS, self.connect)

    # Machines

    def add_machine(self, name: str, zone: str, counts: bool) -> Machine:
        """A new, empty machine."""
        disk = EmulatedDisk(random.Random(self.rng.getrandbits(32)))
        machine = self.machines[name] = Machine(name, zone, counts, disk)
        return machine

    def start(self, machine: Machine, bootstrap: bool = False) -> None:
        """Start a process."""
        machine.incarnation += 1
        kept = None
        machine.store = None
        if machine.counts_for_quorum:
            machine.store = self.store_class("data", "configuration", machine.disk)
            try:
                loaded = machine.store.load()
            except PowerLossError:
                machine.disk.lose_power()
                self.on_power_lost(machine)
                return
            if loaded.snapshot is not None:
                kept = decode_state(loaded.snapshot, loaded.records)
        options = NodeOptions(
            machine.name,
            machine.zone,
            machine.counts_for_quorum,
            self.seeds,
            bootstrap,
            self.tolerated,
            self.tolerated_domains,
        )
        rng = random.Random(self.rng.getrandbits(32))
        machine.node = self.node_class(options, rng, self.now, kept)
        machine.node.max_log_entries = SHORT_LOG  # so that snapshots and their installation happen often
        machine.sessions, machine.waiting_orders, machine.forwarded_orders = {}, {}, {}
        machine.wanted_peers = {*self.seeds, *machine.node.voters[0]} - {machine.name}
        machine.work_in_progress, machine.tick_at = None, inf
        self.schedule_on(machine, 0.0, lambda: self.tick(machine))
        self.schedule_on(machine, self.rng.uniform(0.0, GOSSIP_MS), lambda: self.gossip(machine))

    def kill(self, machine: Machine, power: bool = False) -> None:
        """End a process, with `power` that of its machine: what it was writing may be half done."""
        if machine.node is None:
            return
        if machine.work_in_progress is not None and machine.store is not None:
            work, store = machine.work_in_progress, machine.store
            machine.disk.power_loss_at = machine.disk.operations + self.rng.randint(1, 4)
            try:
                if self.rng.random() < 0.8:
                    write(store, work)
            except (PowerLossError, StorageError):
                pass
            machine.disk.power_loss_at = 0
        if power:
            machine.disk.lose_power()
        machine.node, machine.incarnation, machine.paused_until = None, machine.incarnation + 1, 0.0
        for peer, session in list(machine.sessions.items()):
            self.end_session(machine.name, peer, session, SILENCE_MS if power else 2.0)
        machine.sessions = {}

    def stop(self, machine: Machine) -> None:
        """The planned end: the lead is handed over, then the process ends."""
        if machine.node is not None:
            self.send_all(machine, machine.node.transfer_leadership(self.now))
            self.schedule_on(machine, 100.0, lambda: self.kill(machine))

    # Links

    def connect(self) -> None:
        """Open what links are wanted and missing."""
        self.schedule(CONNECT_MS, self.connect)
        for machine in self.machines.values():
            for name in sorted(machine.wanted_peers):
                peer = self.machines.get(name)
                if machine.node is None or peer is None or peer.node is None:
                    continue
                if name in machine.sessions or machine.name in peer.sessions:
                    continue
                frozen = max(machine.paused_until, peer.paused_until) > self.now
                if not frozen and pair(machine.name, name) not in self.cuts and self.rng.random() < 0.7:
                    self.open(machine, peer)

    def open(self, one: Machine, other: Machine) -> None:
        """Open a link; both greet."""
        session = Session()
        one.sessions[other.name] = other.sessions[one.name] = session
        for here, there in ((one, other), (other, one)):
            delay = self.rng.uniform(*self.delay_ms)
            session.free_at[here.name] = self.now + delay
            self.schedule_on(here, delay, lambda here=here, there=there: self.greeted(here, there, session))

    def greeted(self, here: Machine, there: Machine, session: Session) -> None:
        """The other side's Hello has come."""
        if session.alive and here.node is not None:
            self.tell_members(here, there.name)
            here.node.link_up(
                self.now, ControlProcess(there.name, there.zone, there.counts_for_quorum, there.incarnation)
            )
            self.pump(here)

    def end_session(self, one: str, other: str, session: Session, delay: float) -> None:
        """End a connection; each side that runs notices after a while."""
        if not session.alive:
            return
        session.alive = False
        for here, there in ((one, other), (other, one)):
            machine = self.machines[here]
            self.schedule_on(
                machine, delay, lambda machine=machine, there=there: self.lost(machine, there, session)
            )

    def lost(self, machine: Machine, peer: str, session: Session) -> None:
        """A process notices that a link ended."""
        if machine.sessions.get(peer) is session and machine.node is not None:
            del machine.sessions[peer]
            if peer == machine.node.leader:
                self.give_up(machine)
            machine.node.link_down(self.now, peer)
            self.pump(machine)

    def cut(self, one: str, other: str, says_so: bool) -> None:
        """Nothing passes between two machines any more."""
        self.cuts.add(pair(one, other))
        session = self.machines[one].sessions.get(other)
        if session is not None:
            if says_so:
                self.end_session(one, other, session, 1.0)
            else:
                self.schedule(SILENCE_MS, lambda: self.end_if_cut(one, other, session))

    def end_if_cut(self, one: str, other: str, session: Session) -> None:
        """A cut that lasts ends the connection; one that healed has lost what was sent meanwhile."""
        if pair(one, other) in self.cuts or session.lossy:
            self.end_session(one, other, session, 0.0)

    def heal(self, one: str, other: str) -> None:
        """Messages pass again."""
        self.cuts.discard(pair(one, other))
        session = self.machines[one].sessions.get(other)
        if session is not None and session.lossy:
            self.end_session(one, other, session, 1.0)

    def reset(self, one: str, other: str) -> None:
        """The connection between two machines breaks once."""
        session = self.machines[one].sessions.get(other)
        if session is not None:
            self.end_session(one, other, session, 1.0)

    def send(self, sender: Machine, to: str, kind: str, *parts: Any) -> bool:
        """Hand a message to a link; messages of a link stay in order."""
        session = sender.sessions.get(to)
        if session is None:
            return False
        if pair(sender.name, to) in self.cuts:
            session.lossy = True
            return True
        slow = sender.extra_delay_ms + self.machines[to].extra_delay_ms
        due = max(self.now + self.rng.uniform(*self.delay_ms) + slow, session.free_at.get(to, 0.0))
        narrow = min(sender.bytes_per_ms, self.machines[to].bytes_per_ms)
        due += sum(len(part) for part in parts if isinstance(part, bytes)) / narrow
        session.free_at[to] = due
        receiver = self.machines[to]

        def deliver() -> None:
            if pair(sender.name, to) in self.cuts:
                session.lossy = True
            elif session.alive and receiver.sessions.get(sender.name) is session:
                self.receive(receiver, sender.name, kind, *parts)

        self.schedule_on(receiver, due - self.now, deliver)
        return True

    def send_all(self, machine: Machine, outgoing: list[tuple[str, bytes]]) -> None:
        """Send messages of the agreement."""
        for to, payload in outgoing:
            self.send(machine, to, "config", payload)

    def receive(self, machine: Machine, sender: str, kind: str, *parts: Any) -> None:
        """Take a message."""
        node = machine.node
        assert node is not None
        if kind == "config":
            node.receive(self.now, sender, parts[0])
        elif kind == "members":
            controls, voters, index = parts
            machine.wanted_peers |= {*controls, *voters} - {machine.name}
            node.learn_voters(voters, index)
        elif kind == "order":
            number, order = parts
            self.order_forwarded(machine, sender, number, order)
        elif kind == "result":
            then = machine.forwarded_orders.pop(parts[0], None)
            if then is not None:
                then(parts[1])
        self.pump(machine)

    def gossip(self, machine: Machine) -> None:
        """Tell all others who is known."""
        self.schedule_on(machine, GOSSIP_MS, lambda: self.gossip(machine))
        for name in machine.sessions:
            self.tell_members(machine, name)

    def tell_members(self, machine: Machine, to: str) -> None:
        """Tell one process who is known."""
        assert machine.node is not None
        controls = [machine.name, *machine.sessions]
        voters, index = machine.node.voters
        machine.wanted_peers |= {*voters} - {machine.name}
        self.send(machine, to, "members", controls, list(voters), index)

    # The driver of a process

    def tick(self, machine: Machine) -> None:
        """The time of a process is up."""
        assert machine.node is not None
        if self.now >= machine.tick_at - 0.01 or machine.tick_at == inf:
            machine.tick_at = inf
            machine.node.tick(self.now)
            self.pump(machine)

    def pump(self, machine: Machine) -> None:
        """Store, send and apply what the machine wants."""
        node = machine.node
        if node is None:
            return
        while machine.work_in_progress is None and (work := node.take_ready()) is not None:
            if work.has_writes and machine.store is not None:
                self.keep(machine, work)
            else:
                self.done(machine, work)
        self.tell(machine, node)
        due = node.next_wakeup(self.now)
        if due < machine.tick_at:
            machine.tick_at = due
            self.schedule_on(machine, due - self.now, lambda: self.tick(machine))

    def keep(self, machine: Machine, work: Work) -> None:
        """Begin to write."""
        machine.work_in_progress = work
        delay = self.rng.uniform(*self.disk_ms) * machine.disk_slowdown
        delay = max(delay, machine.disk_stalled_until - self.now)
        if delay >= STALL_MS:
            self.schedule_on(machine, STALL_MS, lambda: self.in_trouble(machine))
        self.schedule_on(machine, delay, lambda: self.written(machine, work))

    def written(self, machine: Machine, work: Work) -> None:
        """The disk is done, or refuses."""
        if machine.disk_stalled_until > self.now:
            self.schedule_on(
                machine, machine.disk_stalled_until - self.now, lambda: self.written(machine, work)
            )
            return
        assert machine.store is not None
        try:
            write(machine.store, work)
        except PowerLossError:
            machine.work_in_progress = None
            self.kill(machine, power=True)
            self.on_power_lost(machine)
            return
        except StorageError:
            self.in_trouble(machine)
            self.schedule_on(machine, RETRY_MS, lambda: self.written(machine, work))
            return
        machine.work_in_progress = None
        self.done(machine, work)
        self.pump(machine)

    def done(self, machine: Machine, work: Work) -> None:
        """A work is stored: send, and apply."""
        assert machine.node is not None
        self.send_all(machine, work.messages)
        machine.node.on_stored(self.now)

    def in_trouble(self, machine: Machine) -> None:
        """The disk stalls or refuses."""
        node = machine.node
        if node is not None and node.is_leader:
            self.send_all(machine, node.transfer_leadership(self.now))
            node.orders.abandon()
            self.tell(machine, node)

    def tell(self, machine: Machine, node: ConfigNode) -> None:
        """Give outcomes to those who wait, and check documents."""
        outcomes, node.orders.outcomes = node.orders.outcomes, []
        for ticket, outcome in outcomes:
            then = machine.waiting_orders.pop(ticket, None)
            if then is not None:
                then(outcome)
        checks, node.orders.check_requests = node.orders.check_requests, []
        for request in checks:
            error = "Invalid: take it out" if request.document.get("Invalid") else ""

            def checked(digest: bytes = request.digest, error: str = error) -> None:
                node.on_document_checked(self.now, digest, error)
                self.pump(machine)

            self.schedule_on(machine, CHECK_MS, checked)

    def give_up(self, machine: Machine) -> None:
        """What was passed on to a leader that is gone has no answer."""
        forwarded, machine.forwarded_orders = machine.forwarded_orders, {}
        for then in forwarded.values():
            then(OUTCOME_UNKNOWN)

    # Operators

    def order(self, machine: Machine, order: SentOrder, then: Callable[[OrderOutcome], None]) -> None:
        """One try of an order at one process."""
        node = machine.node
        if node is None:
            return
        if node.was_accepted(order.kind, order.base_version, order.change.encode()):
            then(OrderOutcome(OrderStatus.ACCEPTED))
        elif node.is_leader:
            self.take_order(machine, order, then)
        elif node.leader:
            number = next(self.ids)
            machine.forwarded_orders[number] = then
            if not self.send(machine, node.leader, "order", number, order):
                del machine.forwarded_orders[number]
                then(OUTCOME_UNKNOWN)
        else:
            then(OUTCOME_UNKNOWN)

    def order_forwarded(self, machine: Machine, sender: str, number: int, order: SentOrder) -> None:
        """Another process passes an order on."""
        assert machine.node is not None
        if machine.node.is_leader:
            self.take_order(machine, order, lambda outcome: self.answer(machine, sender, number, outcome))
        else:
            self.answer(machine, sender, number, OUTCOME_UNKNOWN)

    def answer(self, machine: Machine, to: str, number: int, outcome: OrderOutcome) -> None:
        """Tell what became of an order that was passed on."""
        self.send(machine, to, "result", number, outcome)

    def take_order(self, machine: Machine, order: SentOrder, then: Callable[[OrderOutcome], None]) -> None:
        """The leader takes an order in."""
        assert machine.node is not None
        body = order.change.encode()
        ticket = machine.node.submit(self.now, order.kind, order.base_version, body, int(self.now))
        machine.waiting_orders[ticket] = then
        self.pump(machine)

    def read(self, machine: Machine, then: Callable[[dict[str, Any] | None], None]) -> None:
        """Read the newest document at one process."""
        node = machine.node
        if node is not None:
            life = machine.incarnation
            node.confirm_read(
                self.now, lambda: then(copied(node.state.document)) if machine.incarnation == life else None
            )
            self.pump(machine)

    def spawn(self, story: Story) -> None:
        """Play an operator: a generator that yields ("sleep", ms), ("order", (name, order)) or
        ("read", name).
        """
        self.resume(story, None)

    def resume(self, story: Story, value: Any) -> None:
        """Go on with an operator's story until it waits again."""
        try:
            what, argument = story.send(value)
        except StopIteration:
            return
        if what == "sleep":
            self.schedule(argument, lambda: self.resume(story, None))
        else:
            self.call(story, what, argument)

    def call(self, story: Story, what: str, argument: Any) -> None:
        """One call of an operator; it is given up after a while."""
        name, order = argument if what == "order" else (argument, None)
        call = Call(what, name, self.now, order)
        self.history.calls.append(call)
        machine = self.machines[name]

        def finish(status: int, document: dict[str, Any] | None = None) -> None:
            if not call.ended_at:
                call.ended_at, call.status, call.document = self.now, status, document
                self.schedule(1.0, lambda: self.resume(story, call))

        self.schedule(CALL_MS, lambda: finish(0))
        if machine.paused_until > self.now:
            return
        if what == "order":
            assert order is not None
            self.order(machine, order, lambda outcome: finish(int(outcome.status)))
        else:
            self.read(machine, lambda document: finish(200, document))


def copied(document: dict[str, Any] | None) -> dict[str, Any] | None:
    """A document as it would come over the wire."""
    return json.loads(json.dumps(document)) if document is not None else None


def pair(one: str, other: str) -> tuple[str, str]:
    """Two machines, whichever comes first."""
    return (one, other) if one < other else (other, one)


def write(store: SlotStore, work: Work) -> None:
    """Make a work durable."""
    if work.image is not None:
        store.replace(work.image)
    else:
        store.append(work.records)
