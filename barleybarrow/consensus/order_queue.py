"""Orders at the leader, from arrival to an outcome that remains valid under any later leader.

An order is examined once everything committed before it is applied. One order at a time is validated and
proposed; its outcome is the state machine's result when the entry is applied. A conflict is reported only
after a majority has confirmed that this process is still the leader: an order that another leader accepted
must never be refused here.

| phase | waiting for | next |
| --- | --- | --- |
| QUEUED | its turn, with all committed entries applied | CONFIRMING, CHECKING, or an outcome |
| CONFIRMING | a read index | the refusal |
| CHECKING | validation of the document by the driver | PROPOSED, or a refusal |
| PROPOSED | its entry to be applied and on enough disks | the outcome |
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import count

from msgspec import msgpack

from barleybarrow.agreement import RaftNode, Role
from barleybarrow.consensus.configuration_state import (
    OUTCOME_UNKNOWN,
    ConfigurationState,
    Document,
    Order,
    OrderError,
    OrderOutcome,
    OrderStatus,
    make_order,
    read_body,
)

MAX_PENDING_ORDERS = 64  # in progress at once; operators send at most eight
TOO_MANY_ORDERS = OrderOutcome(
    OrderStatus.INDETERMINATE, "too many orders are under way: send the order again"
)


class OrderPhase(Enum):
    """Progress of an order; see the table above."""

    QUEUED = auto()
    CONFIRMING = auto()
    CHECKING = auto()
    PROPOSED = auto()


@dataclass(slots=True)
class PendingOrder:
    """An order in progress, with the tickets of all callers that wait for its outcome."""

    order: Order
    tickets: list[int]
    phase: OrderPhase = OrderPhase.QUEUED
    refusal: OrderOutcome | None = None  # reported once the read is confirmed
    index: int = 0  # of its log entry
    outcome: OrderOutcome | None = None  # of its log entry; reported once that is on enough disks


@dataclass(frozen=True, slots=True)
class CheckRequest:
    """A document that the driver has to validate before its order is proposed."""

    digest: bytes
    document: Document


@dataclass(slots=True)
class OrderQueue:
    """All orders in progress at this process.

    `min_disks`: how many voters must have an order on disk before it is acknowledged.
    """

    raft: RaftNode
    state: ConfigurationState
    min_disks: int
    read_tokens: Iterator[int]
    pending_orders: dict[bytes, PendingOrder] = field(default_factory=dict)
    outcomes: list[tuple[int, OrderOutcome]] = field(default_factory=list)
    check_requests: list[CheckRequest] = field(default_factory=list)
    digest_by_token: dict[int, bytes] = field(default_factory=dict)  # order digest by read token
    ticket_numbers: Iterator[int] = field(default_factory=lambda: count(1))

    def submit(self, kind: str, base_version: int, body: bytes, received_at: int) -> int:
        """Submit an order: returns a ticket, under which `outcomes` will list the result."""
        ticket = next(self.ticket_numbers)
        order = make_order(kind, base_version, body, received_at)
        if order.digest in self.state.accepted:
            self.outcomes.append((ticket, OrderOutcome(OrderStatus.ACCEPTED)))
        elif self.raft.role is not Role.LEADER:
            self.outcomes.append((ticket, OUTCOME_UNKNOWN))
        elif order.digest in self.pending_orders:
            self.pending_orders[order.digest].tickets.append(ticket)
        elif len(self.pending_orders) >= MAX_PENDING_ORDERS:
            self.outcomes.append((ticket, TOO_MANY_ORDERS))
        else:
            self.pending_orders[order.digest] = PendingOrder(order, [ticket])
        return ticket

    def advance(self, now: float) -> None:
        """Advance each order as far as possible."""
        if self.raft.role is not Role.LEADER:
            self.abandon()
            return
        for pending in list(self.pending_orders.values()):
            if pending.phase is OrderPhase.PROPOSED:
                self._acknowledge(pending)
        if not self._caught_up():
            return
        for pending in list(self.pending_orders.values()):
            if pending.phase is OrderPhase.QUEUED:
                self._start(now, pending)

    def abandon(self) -> None:
        """Leadership is lost: the outcome of all orders in progress is unknown."""
        for pending in list(self.pending_orders.values()):
            self._finish(pending, OUTCOME_UNKNOWN)
        self.digest_by_token.clear()

    def on_document_checked(self, now: float, digest: bytes, error: str) -> None:
        """The driver has validated a document; `error` is empty if it is valid."""
        pending = self.pending_orders.get(digest)
        if pending is None or pending.phase is not OrderPhase.CHECKING:
            return
        if error:
            self._finish(pending, OrderOutcome(OrderStatus.INVALID, error))
            return
        pending.index = self.raft.propose(now, msgpack.encode(pending.order))
        if pending.index:
            pending.phase = OrderPhase.PROPOSED
        else:
            self._finish(pending, OUTCOME_UNKNOWN)

    def on_order_applied(self, index: int, order: Order, outcome: OrderOutcome) -> None:
        """An order from the log was applied."""
        pending = self.pending_orders.get(order.digest)
        if pending is not None and pending.phase is OrderPhase.PROPOSED and pending.index == index:
            pending.outcome = outcome
            self._acknowledge(pending)
        elif pending is not None and outcome.status == OrderStatus.ACCEPTED:
            self._finish(pending, outcome)

    def on_read_confirmed(self, token: int) -> bool:
        """A majority has confirmed a read; False if the token belongs to no order."""
        digest = self.digest_by_token.pop(token, None)
        if digest is None:
            return False
        pending = self.pending_orders.get(digest)
        if pending is not None and pending.phase is OrderPhase.CONFIRMING and pending.refusal is not None:
            self._finish(pending, pending.refusal)
        return True

    def retry_confirmations(self, now: float) -> None:
        """Retry confirmations that were not answered."""
        for token, digest in list(self.digest_by_token.items()):
            del self.digest_by_token[token]
            pending = self.pending_orders.get(digest)
            if pending is not None and pending.phase is OrderPhase.CONFIRMING:
                pending.phase = OrderPhase.QUEUED

    def _caught_up(self) -> bool:
        """Whether everything that previous leaders may have committed is applied."""
        raft = self.raft
        return raft.term_at(raft.commit_index) == raft.term and raft.applied_index == raft.commit_index

    def _order_in_progress(self) -> bool:
        return any(
            pending.phase in (OrderPhase.CHECKING, OrderPhase.PROPOSED)
            for pending in self.pending_orders.values()
        )

    def _start(self, now: float, pending: PendingOrder) -> None:
        order = pending.order
        if order.digest in self.state.accepted:
            self._finish(pending, OrderOutcome(OrderStatus.ACCEPTED))
            return
        if self._order_in_progress():
            return
        try:
            body = read_body(order)
            refusal = self.state.version_refusal(order.kind, order.base_version, body)
            if refusal is not None and refusal.status == OrderStatus.CONFLICT:
                self._confirm_refusal(now, pending, refusal)
                return
            document = self.state.document_after(order.kind, body)
        except OrderError as error:
            refusal = OrderOutcome(OrderStatus.INVALID, str(error))
        if refusal is not None:  # invalid for any document of this base, so no leader can have accepted it
            self._finish(pending, refusal)
            return
        pending.phase = OrderPhase.CHECKING
        self.check_requests.append(CheckRequest(order.digest, document))

    def _confirm_refusal(self, now: float, pending: PendingOrder, refusal: OrderOutcome) -> None:
        pending.phase, pending.refusal = OrderPhase.CONFIRMING, refusal
        token = next(self.read_tokens)
        self.digest_by_token[token] = pending.order.digest
        self.raft.request_read(now, token)

    def _acknowledge(self, pending: PendingOrder) -> None:
        if pending.outcome is None:
            return
        raft = self.raft
        persisted_count = sum(
            (raft.persisted_index if name == raft.name else raft.match_index_of(name)) >= pending.index
            for name in raft.voters
        )
        if persisted_count >= min(self.min_disks, len(raft.voters)):
            self._finish(pending, pending.outcome)

    def _finish(self, pending: PendingOrder, outcome: OrderOutcome) -> None:
        self.pending_orders.pop(pending.order.digest, None)
        self.outcomes += [(ticket, outcome) for ticket in pending.tickets]
