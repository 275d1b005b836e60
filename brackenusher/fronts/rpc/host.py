"""The core on the caller's asyncio loop: its deadlines by one `call_at`, its clock the loop's, no thread.

It must never block the loop, and must survive that the caller does: see `LoopDeadlines`.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

from barleybarrow import interface as face
from barleybarrow.brain import Balancer
from barleybarrow.interface import Outcome
from brackenusher.core.admission import Admission, Request, Verdict
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.transaction import (
    RESERVE,
    Answer,
    Attempt,
    Carrier,
    Failed,
    Refused,
    Served,
    Transaction,
    Transactions,
)
from brackenusher.runtime.log import fault
from brackenusher.runtime.timers import Entry

log = logging.getLogger("brackenusher.rpc")

PULSE = 25.0  # milliseconds between two looks while attempts are out: a block is known to this precision
LATE = 50.0  # milliseconds: a timer that fires later than this shows that the caller blocked the loop
TURNS = 8  # of the loop, after a block: an answer needs some four to get from its socket to us
SHARE = 1 / 4  # of the time measured: where a block takes more of it, it teaches nothing
STEP = 1e-6  # seconds: a timer fires this much after its time, lest rounding bring it before


class LoopDeadlines(Deadlines):
    """Deadlines in milliseconds on a loop's clock, swept by the loop itself when the first falls due.

    A sweep that comes late, as the caller blocked the loop, waits for a few turns of the loop: what came in
    meanwhile is taken first. `late` holds by how many milliseconds while that goes on, 0 otherwise.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.loop = loop
        self.handle: asyncio.Handle | None = None
        self.armed = inf  # when the timer fires; -inf while it must not be set, as a sweep is under way
        self.late, self.turns, self.blocks = 0.0, 0, 0
        self.closed = False

    def clock(self) -> float:
        """The loop's time in milliseconds."""
        return self.loop.time() * 1000.0

    def add(self, when: float, action: Callable[[], None]) -> Entry:
        entry = super().add(when, action)
        if when < self.armed:
            self.arm()
        return entry

    def arm(self) -> None:
        """Set the timer to the earliest deadline."""
        if self.handle is not None:
            self.handle.cancel()
        due = None if self.closed else self.next()
        self.armed = inf if due is None else due
        self.handle = None if due is None else self.loop.call_at(due / 1000.0 + STEP, self.fire)

    def fire(self) -> None:
        late, self.armed = self.clock() - self.armed, -inf
        if late > LATE:
            self.blocks += 1
            self.late, self.turns = late, TURNS
            self.handle = self.loop.call_soon(self.turn)
        else:
            self.finish()

    def turn(self) -> None:
        """One turn of the loop after a block."""
        self.turns -= 1
        if self.turns > 0:
            self.handle = self.loop.call_soon(self.turn)
        else:
            self.finish()

    def finish(self) -> None:
        self.sweep(self.clock())
        self.late = 0.0
        if not self.closed:
            self.arm()

    def close(self) -> None:
        """Forget everything."""
        self.closed = True
        self.entries.clear()
        self.arm()


@dataclass(slots=True, eq=False)
class Ticket:
    """A call that was taken in; what the front needs to give it up."""

    klass: int
    reply: Callable[[Answer], None] | None  # none once it was called or is not wanted: it holds the call
    message: Any  # what the carrier's line reads
    tenant: int
    repeated: bool
    until: float  # clock time in milliseconds
    transaction: Transaction | None = None
    guard: Entry | None = None


class Host:
    """Transactions on a loop, with what the callers' side needs: a bound, and a wait for the first list."""

    def __init__(
        self,
        settings: face.Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        carrier: Carrier,
        most_open: int,
    ) -> None:
        self.settings, self.loop, self.most_open = settings, loop, most_open
        self.deadlines = LoopDeadlines(loop)
        self.clock = self.deadlines.clock
        balancer = Balancer(settings, seed, self.clock())
        self.transactions = Transactions(balancer, self.clock, self.deadlines, carrier)
        self.admission = Admission(self.transactions, settings)
        self.waiting: dict[int, Ticket] = {}  # for the first list, in the order of their arrival
        self.listed = self.closed = False
        self.serial = self.out = self.refused_open = 0
        self.pulse: Entry | None = None
        self.attempted: Callable[[Attempt, Outcome], None] | None = None  # looks on

    # the callers' side

    def arrive(
        self,
        klass: int,
        span: float,
        message: Any,
        reply: Callable[[Answer], None],
        tenant: int = 0,
        repeated: bool = False,
    ) -> Ticket:
        """Take a call whose client waits for `span` milliseconds; `reply` gets its one final answer.

        That may be before this returns: beyond the bound of open calls it is a refusal. Before the first
        list the call waits for it up to its own deadline.
        """
        ticket = Ticket(klass, reply, message, tenant, repeated, self.clock() + span)
        if self.closed or len(self.transactions.open) + len(self.waiting) >= self.most_open:
            self.refused_open += 1
            self.enter(ticket, beyond=True)
        elif self.listed:
            self.enter(ticket)
        elif span <= RESERVE:
            self.refuse_waiting(ticket)
        else:
            self.serial += 1
            number = self.serial
            self.waiting[number] = ticket
            ticket.guard = self.deadlines.add(ticket.until - RESERVE, lambda: self.no_list(number))
        return ticket

    def enter(self, ticket: Ticket, beyond: bool = False) -> None:
        """Through admission into the transactions, or back."""
        self.serial += 1
        request = Request(
            name=b"%d" % self.serial,
            klass=ticket.klass,
            span=ticket.until - self.clock(),
            tenant=ticket.tenant,
            repeated=ticket.repeated,
            message=ticket.message,
            beyond=beyond,
        )
        admitted = self.admission.admit(request, lambda answer: self.give(ticket, answer))
        if isinstance(admitted, Verdict):
            self.give(ticket, Refused(admitted.retry_after))
        else:
            ticket.transaction = admitted

    def give(self, ticket: Ticket, answer: Answer) -> None:
        reply, ticket.reply = ticket.reply, None
        if reply is not None:
            reply(answer)

    def no_list(self, number: int) -> None:
        ticket = self.waiting.pop(number, None)
        if ticket is not None:
            self.refuse_waiting(ticket)

    def refuse_waiting(self, ticket: Ticket) -> None:
        self.transactions.turn_away(ticket.message, f"list {self.settings.max_retry_after:.0f} refused")
        self.give(ticket, Refused(self.settings.max_retry_after))

    def leave(self, ticket: Ticket) -> None:
        """The caller wants no answer any more."""
        if ticket.reply is None:
            return
        ticket.reply = None
        if ticket.transaction is not None:
            self.admission.left(ticket.transaction)
            return
        self.deadlines.remove(ticket.guard)
        for number, waiting in self.waiting.items():
            if waiting is ticket:
                del self.waiting[number]
                break

    # the members' side

    def tell(self, event: face.ListChanged) -> None:
        """Hand a list to the module; with the first one, those that waited for it enter."""
        self.transactions.post(event)
        if not self.listed and event.scope is not face.ListScope.LOST:
            self.listed = True
            waiting, self.waiting = self.waiting, {}
            for ticket in waiting.values():
                self.deadlines.remove(ticket.guard)
                self.enter(ticket)

    # the carrier's side

    def began(self, attempt: Attempt, stream: Any) -> bool:
        """A streamed answer has begun: it is the client's, and nothing is repeated after this.

        False where the client has gone: nobody will read it.
        """
        transaction = attempt.transaction
        if transaction.over:
            return False
        self.transactions.post(face.Began(transaction.id, attempt.number))
        self.transactions.answer(transaction.id, Served(stream))
        return True

    def started(self) -> None:
        """An attempt is out."""
        self.out += 1
        if self.pulse is None:
            self.pulse = self.deadlines.add(self.clock() + PULSE, self.beat)

    def beat(self) -> None:
        """Nothing but a deadline that is always near: how late it is swept shows a block."""
        self.pulse = self.deadlines.add(self.clock() + PULSE, self.beat) if self.out else None

    def ended(self, attempt: Attempt, outcome: Outcome, served: Served | None = None) -> None:
        """An attempt that was started has ended; where a block has spoilt its time, it teaches nothing."""
        self.out -= 1
        self.note(attempt, outcome)
        if outcome in (Outcome.SERVED, Outcome.TIMEOUT):
            if self.deadlines.late > SHARE * (self.clock() - attempt.sent_at):
                outcome = Outcome.CANCELLED
        self.transactions.finished(attempt, outcome, served)

    def not_started(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt came to nothing before it set out."""
        self.note(attempt, outcome)
        attempt.ended(attempt, outcome, None)

    def cancelled(self, attempt: Attempt) -> None:
        """An attempt was given up by the module, which knows."""
        self.out -= 1
        self.note(attempt, Outcome.CANCELLED)

    def note(self, attempt: Attempt, outcome: Outcome) -> None:
        if self.attempted is not None:
            try:
                self.attempted(attempt, outcome)
            except Exception:
                fault(log, "metrics_failed", "metrics failed")

    def close(self) -> None:
        """Answer all that is open, and take nothing more."""
        self.closed = True
        for ticket in self.waiting.values():
            self.give(ticket, Refused(self.settings.max_retry_after))
        self.waiting.clear()
        for transaction in list(self.transactions.open.values()):
            if not transaction.over:
                transaction.reply(Failed())
                self.transactions.left(transaction)
        self.deadlines.close()
