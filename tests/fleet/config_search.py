"""Bounded model checking of the production `ConfigNode` by breadth-first search over short event sequences.

A state consists of a few nodes, their persisted data and the messages in transit. From each state every event
is tried: an election timeout at a node, a restart, a lost disk, a new order, a repeated order. Each event is
followed by every kind of delivery: all messages, none, a few, or all except those to and from one process,
which are lost. Equivalent states are visited once, those with the fewest events first, up to a bound. The
invariants are those of `docs/design/control-safety.md`.
"""

import copy
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from random import Random

from msgspec import msgpack

from barleybarrow.agreement import Role
from barleybarrow.agreement_messages import EntryKind
from barleybarrow.consensus.config_node import ConfigNode, NodeOptions, Work
from barleybarrow.consensus.configuration_state import (
    Command,
    Order,
    OrderStatus,
    generation_of,
    read_body,
)
from barleybarrow.consensus.durable_state import decode_state
from barleybarrow.consensus.voter_selection import ControlProcess

ELECTION_WAIT_MS = 2000.0  # longer than any election timeout
STEP_MS = 1.0
MAX_DELIVERIES = 400
PARTIAL_DELIVERIES = (1, 3)  # messages delivered before the next event
MAX_ORDERS = 3


Event = Callable[["SystemState"], None]


class ViolationError(AssertionError):
    """An invariant is violated."""


@dataclass(frozen=True)
class Bounds:
    """Limits on the number of states visited and of events in one sequence."""

    states: int = 2000
    wipes: int = 1
    restarts: int = 1
    election_timeouts: int = 2


@dataclass
class Replica:
    """A process with the contents of its disk."""

    node: ConfigNode
    image: bytes = b""
    records: tuple[bytes, ...] = ()
    incarnation: int = 1
    down: bool = False


@dataclass
class SystemState:
    """State of the whole system. Once a state is complete, its replicas are replaced, never mutated."""

    replicas: dict[str, Replica]
    in_transit: dict[tuple[str, str], tuple[bytes, ...]]
    now: float
    bounds: Bounds
    orders_sent: int = 0
    sent: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # base and body by generation
    generation_by_ticket: dict[tuple[str, int, int], int] = field(
        default_factory=dict
    )  # node, incarnation, ticket
    accepted_order: tuple[int, bytes] | None = None  # the first acknowledged one
    may_resend: bool = True  # whether that one may be sent again
    refused_statuses: tuple[int, ...] = ()
    acknowledged_generations: tuple[int, ...] = ()
    known_leaders: tuple[tuple[int, str], ...] = ()  # term and name
    path: tuple[str, ...] = ()
    committed: dict[int, bytes] = field(default_factory=dict)  # by index


def options_of(name: str, names: list[str], tolerated: int) -> NodeOptions:
    """Options with each node in a zone of its own."""
    return NodeOptions(name, f"zone-{names.index(name)}", True, names[:3], True, tolerated)


class Search:
    """The search; tests pass a `node_class` with an injected bug."""

    def __init__(self, names: list[str], tolerated: int, node_class: type[ConfigNode] = ConfigNode) -> None:
        self.names, self.tolerated, self.node_class = names, tolerated, node_class
        self.visited = self.generated = 0  # expanded states, and all generated ones
        self.max_log_entries = 6

    # Building states

    def initial_state(self, running: list[str], bounds: Bounds) -> SystemState:
        """A bootstrapped group with no messages in transit."""
        replicas = {name: Replica(self.new_node(name, 0.0, 1)) for name in running}
        state = SystemState(replicas, {}, 0.0, bounds)
        for name in running:
            self.connect_all(state, name)
        self.deliver_all(state)
        for _ in range(6):
            state.now += 300.0
            for name in running:
                self.run_on_node(state, name, lambda node, now: node.tick(now))
            self.deliver_all(state)
        return state

    def new_node(self, name: str, now: float, incarnation: int, replica: Replica | None = None) -> ConfigNode:
        persisted = (
            decode_state(replica.image, list(replica.records))
            if replica is not None and replica.image
            else None
        )
        options = options_of(name, self.names, self.tolerated)
        if replica is not None:
            options = NodeOptions(
                options.name, options.zone, True, options.seeds, False, options.tolerated_machines
            )
        node = self.node_class(options, Random(hash((name, incarnation)) & 0xFFFF), now, persisted)
        node.max_log_entries = self.max_log_entries
        return node

    def connect_all(self, state: SystemState, name: str) -> None:
        """Connect a started process to all others that run."""
        for other, replica in state.replicas.items():
            if other != name and not replica.down and not state.replicas[name].down:
                for local_name, remote_name in ((name, other), (other, name)):
                    incarnation = state.replicas[remote_name].incarnation
                    process = ControlProcess(
                        remote_name, f"zone-{self.names.index(remote_name)}", True, incarnation
                    )
                    self.run_on_node(
                        state, local_name, lambda node, now, process=process: node.link_up(now, process)
                    )
                    voters, index = state.replicas[remote_name].node.voters
                    self.run_on_node(
                        state, local_name, lambda node, now, v=voters, i=index: node.learn_voters(list(v), i)
                    )

    def deliver_all(self, state: SystemState, max_deliveries: int = MAX_DELIVERIES) -> None:
        """Deliver messages until none is in transit, the oldest channels first."""
        for _ in range(max_deliveries):
            pairs = [pair for pair, queue in state.in_transit.items() if queue]
            if not pairs:
                return
            self.deliver(state, pairs[0])

    def stop_for_good(self, state: SystemState, name: str) -> None:
        """Stop a process for the rest of the search."""
        self.drop_messages(state, name)
        replica = state.replicas[name]
        state.replicas[name] = Replica(
            replica.node, replica.image, replica.records, replica.incarnation, down=True
        )
        for other in state.replicas:
            self.run_on_node(state, other, lambda node, now: node.link_down(now, name))

    def add_machine(self, state: SystemState, name: str) -> None:
        """Add an empty machine at a new address."""
        node = self.new_node(name, state.now, 1, Replica(None))  # type: ignore[arg-type]
        state.replicas[name] = Replica(node)
        self.run_on_node(state, name, lambda node, now: None)
        self.connect_all(state, name)

    def deliver_all_except(self, state: SystemState, name: str) -> None:
        """Deliver everything except messages to and from one process, which are dropped."""
        for _ in range(MAX_DELIVERIES):
            for pair in [pair for pair in state.in_transit if name in pair]:
                del state.in_transit[pair]
            pairs = [pair for pair, queue in state.in_transit.items() if queue]
            if not pairs:
                return
            self.deliver(state, pairs[0])

    def copy_state(self, state: SystemState, step: str) -> SystemState:
        return SystemState(
            dict(state.replicas),
            dict(state.in_transit),
            state.now + STEP_MS,
            state.bounds,
            state.orders_sent,
            dict(state.sent),
            dict(state.generation_by_ticket),
            state.accepted_order,
            state.may_resend,
            state.refused_statuses,
            state.acknowledged_generations,
            state.known_leaders,
            (*state.path, step),
            dict(state.committed),
        )

    # Events

    def run_on_node(self, state: SystemState, name: str, action: object) -> None:
        """Apply an action to a copy of a node, then complete the resulting work and check the invariants."""
        replica = state.replicas[name]
        if replica.down:
            return
        replica = Replica(copy.deepcopy(replica.node), replica.image, replica.records, replica.incarnation)
        state.replicas[name] = replica
        action(replica.node, state.now)  # type: ignore[operator]
        self.complete_work(state, name, replica)
        self.check_invariants(state, name, replica)

    def complete_work(self, state: SystemState, name: str, replica: Replica) -> None:
        node = replica.node
        while True:
            while (work := node.take_ready()) is not None:
                self.persist(replica, work)
                for to, payload in work.messages:
                    self.send(state, name, to, payload)
                node.on_stored(state.now)
            requests, node.orders.check_requests = node.orders.check_requests, []
            for request in requests:
                node.on_document_checked(state.now, request.digest, "")
            if not requests:
                break
        outcomes, node.orders.outcomes = node.orders.outcomes, []
        for ticket, outcome in outcomes:
            generation = state.generation_by_ticket.get((name, replica.incarnation, ticket))
            if outcome.status == OrderStatus.ACCEPTED and generation is not None:
                state.acknowledged_generations = (*state.acknowledged_generations, generation)
                state.accepted_order = state.accepted_order or state.sent[generation]
            elif 400 <= outcome.status < 500:
                state.refused_statuses = (*state.refused_statuses, int(outcome.status))

    def persist(self, replica: Replica, work: Work) -> None:
        if work.image is not None:
            replica.image, replica.records = work.image, ()
        replica.records = (*replica.records, *work.records)

    def send(self, state: SystemState, name: str, to: str, payload: bytes) -> None:
        other = state.replicas.get(to)
        if other is not None and not other.down:
            state.in_transit[name, to] = (*state.in_transit.get((name, to), ()), payload)

    def deliver(self, state: SystemState, pair: tuple[str, str]) -> None:
        first, *rest = state.in_transit[pair]
        state.in_transit[pair] = tuple(rest)
        self.run_on_node(state, pair[1], lambda node, now: node.receive(now, pair[0], first))

    def drop_messages(self, state: SystemState, name: str) -> None:
        """Drop all messages to and from a process."""
        for pair in list(state.in_transit):
            if name in pair:
                del state.in_transit[pair]

    def restart(self, state: SystemState, name: str, wiped: bool) -> None:
        replica = state.replicas[name]
        self.drop_messages(state, name)
        for other in state.replicas:
            if other != name:
                self.run_on_node(state, other, lambda node, now: node.link_down(now, name))
        old = Replica(replica.node, b"" if wiped else replica.image, () if wiped else replica.records)
        node = self.new_node(name, state.now, replica.incarnation + 1, old)
        state.replicas[name] = Replica(node, old.image, old.records, replica.incarnation + 1)
        self.run_on_node(state, name, lambda node, now: None)
        self.connect_all(state, name)

    # The search

    def successors(self, state: SystemState) -> Iterator[SystemState]:
        """All states reached by one event and one kind of delivery after it."""
        for label, event, bounds in self.events(state):
            for mode, delivery in self.deliveries(state):
                successor = self.copy_state(state, f"{label}, {mode}")
                successor.bounds = bounds
                event(successor)
                delivery(successor)
                yield successor

    def events(self, state: SystemState) -> Iterator[tuple[str, Event, Bounds]]:
        """The possible next events, with the bounds that remain after each."""
        bounds = state.bounds
        for name in [name for name, replica in state.replicas.items() if not replica.down]:
            if bounds.election_timeouts:
                remaining = replace(bounds, election_timeouts=bounds.election_timeouts - 1)
                yield (
                    f"election timeout {name}",
                    lambda next_state, name=name: self.elapse_election_timeout(next_state, name),
                    remaining,
                )
            if bounds.restarts:
                remaining = replace(bounds, restarts=bounds.restarts - 1)
                yield (
                    f"restart {name}",
                    lambda next_state, name=name: self.restart(next_state, name, wiped=False),
                    remaining,
                )
            if bounds.wipes:
                remaining = replace(bounds, wipes=bounds.wipes - 1)
                yield (
                    f"wipe {name}",
                    lambda next_state, name=name: self.restart(next_state, name, wiped=True),
                    remaining,
                )
            if state.replicas[name].node.is_leader:
                if state.orders_sent < MAX_ORDERS:
                    yield (
                        f"order {name}",
                        lambda next_state, name=name: self.submit_new_order(next_state, name),
                        bounds,
                    )
                if state.accepted_order is not None and state.may_resend:
                    yield (
                        f"resend {name}",
                        lambda next_state, name=name: self.resend_accepted_order(next_state, name),
                        bounds,
                    )

    def deliveries(self, state: SystemState) -> Iterator[tuple[str, Event]]:
        """The kinds of delivery: everything, nothing, a few messages, or all but those of one process."""
        yield "all", self.deliver_all
        yield "nothing", lambda next_state: None
        for limit in PARTIAL_DELIVERIES:
            yield f"{limit} messages", lambda next_state, limit=limit: self.deliver_all(next_state, limit)
        for name in state.replicas:
            yield f"without {name}", lambda next_state, name=name: self.deliver_all_except(next_state, name)

    def elapse_election_timeout(self, state: SystemState, name: str) -> None:
        state.now += ELECTION_WAIT_MS
        self.run_on_node(state, name, self.tick_after_silence)

    @staticmethod
    def tick_after_silence(node: ConfigNode, now: float) -> None:
        """Tick after a silence of the others during which this process kept running."""
        node.last_call_at = now
        node.tick(now)

    def submit_new_order(self, state: SystemState, name: str) -> None:
        state.orders_sent += 1
        self.submit_order(state, name)

    def resend_accepted_order(self, state: SystemState, name: str) -> None:
        """Send the order that was acknowledged first once more."""
        state.may_resend = False
        assert state.accepted_order is not None
        base, body = state.accepted_order
        before = len(state.refused_statuses)
        self.run_on_node(state, name, lambda node, now: node.submit(now, "replace", base, body, 0) and None)
        self.deliver_all(state)
        if len(state.refused_statuses) > before:
            raise ViolationError(f"an accepted order is refused: {state.path}")

    def submit_order(self, state: SystemState, name: str) -> None:
        base = state.replicas[name].node.state.version
        generation = base + 1 + state.orders_sent
        body = b'{"Generation": %d}' % generation
        state.sent[generation] = (base, body)
        incarnation = state.replicas[name].incarnation

        def submit(node: ConfigNode, now: float) -> None:
            ticket = node.submit(now, "replace", base, body, 0)
            state.generation_by_ticket[name, incarnation, ticket] = generation

        self.run_on_node(state, name, submit)

    def run(self, start: SystemState) -> int:
        """Search up to the bound and return the number of visited states. Raises ViolationError."""
        seen, queue = {self.fingerprint(start)}, deque([start])
        while queue and self.visited < start.bounds.states:
            state = queue.popleft()
            self.visited += 1
            for successor in self.successors(state):
                self.generated += 1
                key = self.fingerprint(successor)
                if key not in seen:
                    seen.add(key)
                    queue.append(successor)
        return self.visited

    def fingerprint(self, state: SystemState) -> int:
        """Hash of everything that distinguishes states, except times."""
        parts: list[object] = [state.orders_sent, state.acknowledged_generations, state.bounds]
        for name, replica in state.replicas.items():
            raft = replica.node.raft
            progress = tuple(
                (n, p.next_index, p.match_index, p.received_index) for n, p in sorted(raft.progress.items())
            )
            log = tuple((entry.term, entry.kind, hash(entry.data)) for entry in raft.entries)
            parts.append(
                (
                    name,
                    raft.role.value,
                    raft.term,
                    raft.vote,
                    raft.leader,
                    raft.quarantined,
                    raft.snapshot.index,
                    raft.commit_index,
                    tuple(sorted(raft.votes)),
                    progress,
                    log,
                    replica.incarnation,
                )
            )
        parts += [(pair, wire) for pair, wire in sorted(state.in_transit.items()) if wire]
        return hash(tuple(map(repr, parts)))

    # Invariants

    def check_invariants(self, state: SystemState, name: str, replica: Replica) -> None:
        """Check all invariants. Raises ViolationError."""
        raft = replica.node.raft
        if raft.role is Role.LEADER:
            self.check_single_leader_per_term(state, raft.term, name)
            self.check_leader_has_acknowledged_orders(state, replica)
        self.check_committed_entries_agree(state, replica)
        self.check_acknowledged_once(state)

    def check_single_leader_per_term(self, state: SystemState, term: int, name: str) -> None:
        for known_term, leader in state.known_leaders:
            if known_term == term and leader != name:
                raise ViolationError(f"two leaders in term {term}: {leader} and {name}; {state.path}")
        if (term, name) not in state.known_leaders:
            state.known_leaders = (*state.known_leaders, (term, name))

    def check_leader_has_acknowledged_orders(self, state: SystemState, replica: Replica) -> None:
        node = replica.node
        present = {order.version for order in node.state.accepted_orders()}
        for entry in node.raft.entries:
            if entry.kind == EntryKind.DATA and entry.data:
                command = msgpack.decode(entry.data)
                if command[0] == 1:  # the tag of an order, whose compressed body contains the version
                    present.add(generation_of_order(entry.data))
        missing = [generation for generation in state.acknowledged_generations if generation not in present]
        if missing and node.raft.term >= max(term for term, _ in state.known_leaders):
            raise ViolationError(f"a leader without acknowledged versions {missing}: {state.path}")

    def check_committed_entries_agree(self, state: SystemState, replica: Replica) -> None:
        raft = replica.node.raft
        for index in range(raft.snapshot.index + 1, raft.commit_index + 1):
            entry = raft.entries[index - raft.snapshot.index - 1]
            encoded = msgpack.encode(entry)
            if state.committed.setdefault(index, encoded) != encoded:
                raise ViolationError(f"entry {index} was committed twice: {state.path}")

    def check_acknowledged_once(self, state: SystemState) -> None:
        if len(set(state.acknowledged_generations)) != len(state.acknowledged_generations):
            raise ViolationError(f"a version was acknowledged twice: {state.path}")


def generation_of_order(data: bytes) -> int:
    """The version that an order in the log creates."""
    order = msgpack.decode(data, type=Command)
    assert isinstance(order, Order)
    return generation_of(read_body(order))
