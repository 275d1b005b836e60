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
from barleybarrow.agreement_messages import Kind
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

SPAN_MS = 2000.0  # longer than any election timeout
STEP_MS = 1.0
SETTLE_STEPS = 400
FEW = (1, 3)  # messages delivered before the next event
ORDERS = 3


Event = Callable[["State"], None]


class ViolationError(AssertionError):
    """An invariant is violated."""


@dataclass(frozen=True)
class Bounds:
    """Limits on the number of states visited and of events in one sequence."""

    states: int = 2000
    wipes: int = 1
    restarts: int = 1
    spans: int = 2


@dataclass
class Member:
    """A process with the contents of its disk."""

    node: ConfigNode
    image: bytes = b""
    records: tuple[bytes, ...] = ()
    life: int = 1
    down: bool = False


@dataclass
class State:
    """State of the whole system. Once a state is complete, its replicas are replaced, never mutated."""

    members: dict[str, Member]
    wires: dict[tuple[str, str], tuple[bytes, ...]]
    now: float
    bounds: Bounds
    orders_sent: int = 0
    sent: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # base and body by generation
    tickets: dict[tuple[str, int, int], int] = field(default_factory=dict)  # to generation
    taken_order: tuple[int, bytes] | None = None  # the first acknowledged one
    again: bool = True  # whether that one may be sent again
    refused: tuple[int, ...] = ()  # statuses
    acknowledged: tuple[int, ...] = ()  # generations
    leaders: tuple[tuple[int, str], ...] = ()  # term and name
    path: tuple[str, ...] = ()
    committed: dict[int, bytes] = field(default_factory=dict)  # by index


def options_of(name: str, names: list[str], tolerated: int) -> NodeOptions:
    """Options with each node in a zone of its own."""
    return NodeOptions(name, f"zone-{names.index(name)}", True, names[:3], True, tolerated)


class Search:
    """The search; tests pass a `node_class` with an injected bug."""

    def __init__(self, names: list[str], tolerated: int, node_class: type[ConfigNode] = ConfigNode) -> None:
        self.names, self.tolerated, self.node_class = names, tolerated, node_class
        self.visited = self.made = 0  # expanded states, and all generated ones
        self.max_log_entries = 6

    # Building states

    def first(self, running: list[str], bounds: Bounds) -> State:
        """A bootstrapped group with no messages in transit."""
        members = {name: Member(self.fresh(name, 0.0, 1)) for name in running}
        state = State(members, {}, 0.0, bounds)
        for name in running:
            self.link_all(state, name)
        self.settle(state)
        for _ in range(6):
            state.now += 300.0
            for name in running:
                self.act(state, name, lambda node, now: node.tick(now))
            self.settle(state)
        return state

    def fresh(self, name: str, now: float, life: int, member: Member | None = None) -> ConfigNode:
        kept = (
            decode_state(member.image, list(member.records)) if member is not None and member.image else None
        )
        options = options_of(name, self.names, self.tolerated)
        if member is not None:
            options = NodeOptions(
                options.name, options.zone, True, options.seeds, False, options.tolerated_machines
            )
        node = self.node_class(options, Random(hash((name, life)) & 0xFFFF), now, kept)
        node.max_log_entries = self.max_log_entries
        return node

    def link_all(self, state: State, name: str) -> None:
        """Connect a started process to all others that run."""
        for other, member in state.members.items():
            if other != name and not member.down and not state.members[name].down:
                for here, there in ((name, other), (other, name)):
                    life = state.members[there].life
                    process = ControlProcess(there, f"zone-{self.names.index(there)}", True, life)
                    self.act(state, here, lambda node, now, process=process: node.link_up(now, process))
                    voters, index = state.members[there].node.voters
                    self.act(state, here, lambda node, now, v=voters, i=index: node.hear_voters(list(v), i))

    def settle(self, state: State, most: int = SETTLE_STEPS) -> None:
        """Deliver messages until none is in transit, the oldest channels first."""
        for _ in range(most):
            pairs = [pair for pair, wire in state.wires.items() if wire]
            if not pairs:
                return
            self.deliver(state, pairs[0])

    def stop(self, state: State, name: str) -> None:
        """Stop a process for the rest of the search."""
        self.cut_wires(state, name)
        member = state.members[name]
        state.members[name] = Member(member.node, member.image, member.records, member.life, down=True)
        for other in state.members:
            self.act(state, other, lambda node, now: node.link_down(now, name))

    def join(self, state: State, name: str) -> None:
        """Add an empty machine at a new address."""
        node = self.fresh(name, state.now, 1, Member(None))  # type: ignore[arg-type]
        state.members[name] = Member(node)
        self.act(state, name, lambda node, now: None)
        self.link_all(state, name)

    def settle_without(self, state: State, name: str) -> None:
        """Deliver everything except messages to and from one process, which are dropped."""
        for _ in range(SETTLE_STEPS):
            for pair in [pair for pair in state.wires if name in pair]:
                del state.wires[pair]
            pairs = [pair for pair, wire in state.wires.items() if wire]
            if not pairs:
                return
            self.deliver(state, pairs[0])

    def copied(self, state: State, step: str) -> State:
        return State(
            dict(state.members),
            dict(state.wires),
            state.now + STEP_MS,
            state.bounds,
            state.orders_sent,
            dict(state.sent),
            dict(state.tickets),
            state.taken_order,
            state.again,
            state.refused,
            state.acknowledged,
            state.leaders,
            (*state.path, step),
            dict(state.committed),
        )

    # Events

    def act(self, state: State, name: str, action: object) -> None:
        """Apply an action to a copy of a node, then complete the resulting work and check the invariants."""
        member = state.members[name]
        if member.down:
            return
        member = Member(copy.deepcopy(member.node), member.image, member.records, member.life)
        state.members[name] = member
        action(member.node, state.now)  # type: ignore[operator]
        self.pump(state, name, member)
        self.check(state, name, member)

    def pump(self, state: State, name: str, member: Member) -> None:
        node = member.node
        while True:
            while (work := node.take()) is not None:
                self.keep(member, work)
                for to, payload in work.messages:
                    self.send(state, name, to, payload)
                node.stored(state.now)
            checks, node.orders.checks = node.orders.checks, []
            for request in checks:
                node.checked(state.now, request.digest, "")
            if not checks:
                break
        outcomes, node.orders.outcomes = node.orders.outcomes, []
        for ticket, outcome in outcomes:
            generation = state.tickets.get((name, member.life, ticket))
            if outcome.status == OrderStatus.TAKEN and generation is not None:
                state.acknowledged = (*state.acknowledged, generation)
                state.taken_order = state.taken_order or state.sent[generation]
            elif 400 <= outcome.status < 500:
                state.refused = (*state.refused, int(outcome.status))

    def keep(self, member: Member, work: Work) -> None:
        if work.image is not None:
            member.image, member.records = work.image, ()
        member.records = (*member.records, *work.records)

    def send(self, state: State, name: str, to: str, payload: bytes) -> None:
        other = state.members.get(to)
        if other is not None and not other.down:
            state.wires[name, to] = (*state.wires.get((name, to), ()), payload)

    def deliver(self, state: State, pair: tuple[str, str]) -> None:
        first, *rest = state.wires[pair]
        state.wires[pair] = tuple(rest)
        self.act(state, pair[1], lambda node, now: node.receive(now, pair[0], first))

    def cut_wires(self, state: State, name: str) -> None:
        """Drop all messages to and from a process."""
        for pair in list(state.wires):
            if name in pair:
                del state.wires[pair]

    def restart(self, state: State, name: str, wiped: bool) -> None:
        member = state.members[name]
        self.cut_wires(state, name)
        for other in state.members:
            if other != name:
                self.act(state, other, lambda node, now: node.link_down(now, name))
        kept = Member(member.node, b"" if wiped else member.image, () if wiped else member.records)
        node = self.fresh(name, state.now, member.life + 1, kept)
        state.members[name] = Member(node, kept.image, kept.records, member.life + 1)
        self.act(state, name, lambda node, now: None)
        self.link_all(state, name)

    # The search

    def successors(self, state: State) -> Iterator[State]:
        """All states reached by one event and one kind of delivery after it."""
        for label, event, bounds in self.events(state):
            for mode, delivery in self.deliveries(state):
                made = self.copied(state, f"{label}, {mode}")
                made.bounds = bounds
                event(made)
                delivery(made)
                yield made

    def events(self, state: State) -> Iterator[tuple[str, Event, Bounds]]:
        """The possible next events, with the bounds that remain after each."""
        bounds = state.bounds
        for name in [name for name, member in state.members.items() if not member.down]:
            if bounds.spans:
                left = replace(bounds, spans=bounds.spans - 1)
                yield f"span {name}", lambda made, name=name: self.span(made, name), left
            if bounds.restarts:
                left = replace(bounds, restarts=bounds.restarts - 1)
                yield f"restart {name}", lambda made, name=name: self.restart(made, name, wiped=False), left
            if bounds.wipes:
                left = replace(bounds, wipes=bounds.wipes - 1)
                yield f"wipe {name}", lambda made, name=name: self.restart(made, name, wiped=True), left
            if state.members[name].node.is_leader:
                if state.orders_sent < ORDERS:
                    yield f"order {name}", lambda made, name=name: self.new_order(made, name), bounds
                if state.taken_order is not None and state.again:
                    yield f"again {name}", lambda made, name=name: self.order_again(made, name), bounds

    def deliveries(self, state: State) -> Iterator[tuple[str, Event]]:
        """The kinds of delivery: everything, nothing, a few messages, or all but those of one process."""
        yield "all", self.settle
        yield "nothing", lambda made: None
        for few in FEW:
            yield f"{few} messages", lambda made, few=few: self.settle(made, few)
        for name in state.members:
            yield f"without {name}", lambda made, name=name: self.settle_without(made, name)

    def span(self, state: State, name: str) -> None:
        state.now += SPAN_MS
        self.act(state, name, self.wait_out)

    @staticmethod
    def wait_out(node: ConfigNode, now: float) -> None:
        """Tick after a silence of the others during which this process kept running."""
        node.last_call_at = now
        node.tick(now)

    def new_order(self, state: State, name: str) -> None:
        state.orders_sent += 1
        self.order(state, name)

    def order_again(self, state: State, name: str) -> None:
        """Send the order that was acknowledged first once more."""
        state.again = False
        assert state.taken_order is not None
        base, body = state.taken_order
        before = len(state.refused)
        self.act(state, name, lambda node, now: node.submit(now, "replace", base, body, 0) and None)
        self.settle(state)
        if len(state.refused) > before:
            raise ViolationError(f"an accepted order is refused: {state.path}")

    def order(self, state: State, name: str) -> None:
        base = state.members[name].node.state.version
        generation = base + 1 + state.orders_sent
        body = b'{"Generation": %d}' % generation
        state.sent[generation] = (base, body)
        life = state.members[name].life

        def submit(node: ConfigNode, now: float) -> None:
            ticket = node.submit(now, "replace", base, body, 0)
            state.tickets[name, life, ticket] = generation

        self.act(state, name, submit)

    def run(self, start: State) -> int:
        """Search up to the bound and return the number of visited states. Raises ViolationError."""
        seen, waiting = {self.fingerprint(start)}, deque([start])
        while waiting and self.visited < start.bounds.states:
            state = waiting.popleft()
            self.visited += 1
            for made in self.successors(state):
                self.made += 1
                key = self.fingerprint(made)
                if key not in seen:
                    seen.add(key)
                    waiting.append(made)
        return self.visited

    def fingerprint(self, state: State) -> int:
        """Hash of everything that distinguishes states, except times."""
        parts: list[object] = [state.orders_sent, state.acknowledged, state.bounds]
        for name, member in state.members.items():
            agreement = member.node.agreement
            progress = tuple(
                (n, p.next, p.match, p.received_index) for n, p in sorted(agreement.progress.items())
            )
            log = tuple((entry.term, entry.kind, hash(entry.data)) for entry in agreement.entries)
            parts.append(
                (
                    name,
                    agreement.role.value,
                    agreement.term,
                    agreement.vote,
                    agreement.leader,
                    agreement.barred,
                    agreement.snapshot.index,
                    agreement.commit,
                    tuple(sorted(agreement.votes)),
                    progress,
                    log,
                    member.life,
                )
            )
        parts += [(pair, wire) for pair, wire in sorted(state.wires.items()) if wire]
        return hash(tuple(map(repr, parts)))

    # Invariants

    def check(self, state: State, name: str, member: Member) -> None:
        """Check all invariants. Raises ViolationError."""
        agreement = member.node.agreement
        if agreement.role is Role.LEADER:
            self.one_leader_a_term(state, agreement.term, name)
            self.leaders_hold_what_is_acknowledged(state, member)
        self.committed_entries_agree(state, member)
        self.one_order_a_base(state)

    def one_leader_a_term(self, state: State, term: int, name: str) -> None:
        for known, leader in state.leaders:
            if known == term and leader != name:
                raise ViolationError(f"two leaders in term {term}: {leader} and {name}; {state.path}")
        if (term, name) not in state.leaders:
            state.leaders = (*state.leaders, (term, name))

    def leaders_hold_what_is_acknowledged(self, state: State, member: Member) -> None:
        node = member.node
        held = {taken.version for taken in node.state.history()}
        for entry in node.agreement.entries:
            if entry.kind == Kind.DATA and entry.data:
                command = msgpack.decode(entry.data)
                if command[0] == 1:  # the tag of an order, whose compressed body contains the version
                    held.add(generation_of_order(entry.data))
        lost = [generation for generation in state.acknowledged if generation not in held]
        if lost and node.agreement.term >= max(term for term, _ in state.leaders):
            raise ViolationError(f"a leader without acknowledged versions {lost}: {state.path}")

    def committed_entries_agree(self, state: State, member: Member) -> None:
        agreement = member.node.agreement
        for index in range(agreement.snapshot.index + 1, agreement.commit + 1):
            entry = agreement.entries[index - agreement.snapshot.index - 1]
            encoded = msgpack.encode(entry)
            if state.committed.setdefault(index, encoded) != encoded:
                raise ViolationError(f"entry {index} was committed twice: {state.path}")

    def one_order_a_base(self, state: State) -> None:
        if len(set(state.acknowledged)) != len(state.acknowledged):
            raise ViolationError(f"a version was acknowledged twice: {state.path}")


def generation_of_order(data: bytes) -> int:
    """The version that an order in the log creates."""
    order = msgpack.decode(data, type=Command)
    assert isinstance(order, Order)
    return generation_of(read_body(order))
