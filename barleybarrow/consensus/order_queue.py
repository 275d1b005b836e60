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

from barleybarrow.agreement import Agreement, Role
from barleybarrow.consensus.configuration_state import (
    NO_ANSWER,
    ConfigurationState,
    Document,
    Order,
    OrderError,
    OrderOutcome,
    OrderStatus,
    make_order,
    read_body,
)

MAX_ORDERS = 64  # in progress at once; operators send at most eight
TOO_MANY = OrderOutcome(OrderStatus.UNCLEAR, "too many orders are under way: send the order again")


class Phase(Enum):
    """Progress of an order; see the table above."""

    QUEUED = auto()
    CONFIRMING = auto()
    CHECKING = auto()
    PROPOSED = auto()


@dataclass(slots=True)
class Job:
    """An order in progress, with the tickets of all callers that wait for its outcome."""

    order: Order
    tickets: list[int]
    phase: Phase = Phase.QUEUED
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

    `least_disks`: how many voters must have an order on disk before it is acknowledged.
    """

    agreement: Agreement
    state: ConfigurationState
    least_disks: int
    tokens: Iterator[int]
    jobs: dict[bytes, Job] = field(default_factory=dict)
    outcomes: list[tuple[int, OrderOutcome]] = field(default_factory=list)
    checks: list[CheckRequest] = field(default_factory=list)
    confirming: dict[int, bytes] = field(default_factory=dict)  # order digest by read token
    tickets: Iterator[int] = field(default_factory=lambda: count(1))

    def submit(self, kind: str, base_version: int, body: bytes, received_at: int) -> int:
        """Submit an order: returns a ticket, under which `outcomes` will list the result."""
        ticket = next(self.tickets)
        order = make_order(kind, base_version, body, received_at)
        if order.digest in self.state.taken:
            self.outcomes.append((ticket, OrderOutcome(OrderStatus.TAKEN)))
        elif self.agreement.role is not Role.LEADER:
            self.outcomes.append((ticket, NO_ANSWER))
        elif order.digest in self.jobs:
            self.jobs[order.digest].tickets.append(ticket)
        elif len(self.jobs) >= MAX_ORDERS:
            self.outcomes.append((ticket, TOO_MANY))
        else:
            self.jobs[order.digest] = Job(order, [ticket])
        return ticket

    def advance(self, now: float) -> None:
        """Advance each order as far as possible."""
        if self.agreement.role is not Role.LEADER:
            self.abandon()
            return
        for job in list(self.jobs.values()):
            if job.phase is Phase.PROPOSED:
                self._acknowledge(job)
        if not self._settled():
            return
        for job in list(self.jobs.values()):
            if job.phase is Phase.QUEUED:
                self._examine(now, job)

    def abandon(self) -> None:
        """Leadership is lost: the outcome of all orders in progress is unknown."""
        for job in list(self.jobs.values()):
            self._finish(job, NO_ANSWER)
        self.confirming.clear()

    def checked(self, now: float, digest: bytes, error: str) -> None:
        """The driver has validated a document; `error` is empty if it is valid."""
        job = self.jobs.get(digest)
        if job is None or job.phase is not Phase.CHECKING:
            return
        if error:
            self._finish(job, OrderOutcome(OrderStatus.INVALID, error))
            return
        job.index = self.agreement.propose(now, msgpack.encode(job.order))
        if job.index:
            job.phase = Phase.PROPOSED
        else:
            self._finish(job, NO_ANSWER)

    def applied(self, index: int, order: Order, outcome: OrderOutcome) -> None:
        """An order from the log was applied."""
        job = self.jobs.get(order.digest)
        if job is not None and job.phase is Phase.PROPOSED and job.index == index:
            job.outcome = outcome
            self._acknowledge(job)
        elif job is not None and outcome.status == OrderStatus.TAKEN:
            self._finish(job, outcome)

    def confirmed(self, token: int) -> bool:
        """A majority has confirmed a read; False if the token belongs to no order."""
        digest = self.confirming.pop(token, None)
        if digest is None:
            return False
        job = self.jobs.get(digest)
        if job is not None and job.phase is Phase.CONFIRMING and job.refusal is not None:
            self._finish(job, job.refusal)
        return True

    def again(self, now: float) -> None:
        """Retry confirmations that were not answered."""
        for token, digest in list(self.confirming.items()):
            del self.confirming[token]
            job = self.jobs.get(digest)
            if job is not None and job.phase is Phase.CONFIRMING:
                job.phase = Phase.QUEUED

    def _settled(self) -> bool:
        """Whether everything that previous leaders may have committed is applied."""
        agreement = self.agreement
        return agreement.term_of(agreement.commit) == agreement.term and agreement.applied == agreement.commit

    def _busy(self) -> bool:
        return any(job.phase in (Phase.CHECKING, Phase.PROPOSED) for job in self.jobs.values())

    def _examine(self, now: float, job: Job) -> None:
        order = job.order
        if order.digest in self.state.taken:
            self._finish(job, OrderOutcome(OrderStatus.TAKEN))
            return
        if self._busy():
            return
        try:
            body = read_body(order)
            refusal = self.state.refusal(order.kind, order.base_version, body)
            if refusal is not None and refusal.status == OrderStatus.CONFLICT:
                self._confirm(now, job, refusal)
                return
            document = self.state.document_after(order.kind, body)
        except OrderError as error:
            refusal = OrderOutcome(OrderStatus.INVALID, str(error))
        if refusal is not None:  # invalid for any document of this base, so no leader can have accepted it
            self._finish(job, refusal)
            return
        job.phase = Phase.CHECKING
        self.checks.append(CheckRequest(order.digest, document))

    def _confirm(self, now: float, job: Job, refusal: OrderOutcome) -> None:
        job.phase, job.refusal = Phase.CONFIRMING, refusal
        token = next(self.tokens)
        self.confirming[token] = job.order.digest
        self.agreement.read(now, token)

    def _acknowledge(self, job: Job) -> None:
        if job.outcome is None:
            return
        agreement = self.agreement
        held = sum(
            (agreement.stored_to if name == agreement.name else agreement.match(name)) >= job.index
            for name in agreement.voters
        )
        if held >= min(self.least_disks, len(agreement.voters)):
            self._finish(job, job.outcome)

    def _finish(self, job: Job, outcome: OrderOutcome) -> None:
        self.jobs.pop(job.order.digest, None)
        self.outcomes += [(ticket, outcome) for ticket in job.tickets]
