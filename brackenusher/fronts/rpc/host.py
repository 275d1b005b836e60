"""Runs transactions on the caller's asyncio loop: uses the loop's clock and one `call_at` timer, no thread.

It must never block the loop, and must cope with a caller that does: see `LoopDeadlines`.
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
from brackenusher.core.admission import Admission, Denial, Request
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.transaction import (
    RESPONSE_RESERVE_MS,
    Answer,
    Attempt,
    AttemptTransport,
    Failed,
    Refused,
    Served,
    Transaction,
    Transactions,
)
from brackenusher.runtime.log import log_exception
from brackenusher.runtime.timers import Timer

log = logging.getLogger("brackenusher.rpc")

PULSE_INTERVAL_MS = 25.0  # between timers while attempts are in flight: resolution of blocked-loop detection
BLOCK_THRESHOLD_MS = 50.0  # a timer that fires later than this shows that the caller blocked the loop
GRACE_ITERATIONS = 8  # loop iterations after a block: a response needs about four from its socket to here
MAX_BLOCKED_SHARE = 1 / 4  # of a measured latency: above this share of blocked time the sample is discarded
TIMER_MARGIN_S = 1e-6  # added to a timer, so that rounding does not fire it before its deadline


class LoopDeadlines(Deadlines):
    """Deadlines in milliseconds on a loop's clock, with one loop timer at the earliest.

    If the caller blocked the loop, the sweep waits a few iterations, so that data received meanwhile is
    processed first. `late_ms` is the delay in milliseconds during that time, 0 otherwise.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.loop = loop
        self.timer: asyncio.Handle | None = None
        self.armed_for = inf  # when the timer fires; -inf during a sweep, when it must not be set
        self.late_ms, self.iterations_left, self.blocks = 0.0, 0, 0
        self.closed = False

    def clock(self) -> float:
        """The loop's time in milliseconds."""
        return self.loop.time() * 1000.0

    def add(self, when: float, action: Callable[[], None]) -> Timer:
        entry = super().add(when, action)
        if when < self.armed_for:
            self.arm()
        return entry

    def arm(self) -> None:
        """Set the timer to the earliest deadline."""
        if self.timer is not None:
            self.timer.cancel()
        earliest = None if self.closed else self.next_due()
        self.armed_for = inf if earliest is None else earliest
        self.timer = (
            None if earliest is None else self.loop.call_at(earliest / 1000.0 + TIMER_MARGIN_S, self.on_timer)
        )

    def on_timer(self) -> None:
        late_ms, self.armed_for = self.clock() - self.armed_for, -inf
        if late_ms > BLOCK_THRESHOLD_MS:
            self.blocks += 1
            self.late_ms, self.iterations_left = late_ms, GRACE_ITERATIONS
            self.timer = self.loop.call_soon(self.on_iteration)
        else:
            self.run_sweep()

    def on_iteration(self) -> None:
        """One loop iteration after a block."""
        self.iterations_left -= 1
        if self.iterations_left > 0:
            self.timer = self.loop.call_soon(self.on_iteration)
        else:
            self.run_sweep()

    def run_sweep(self) -> None:
        self.run_due(self.clock())
        self.late_ms = 0.0
        if not self.closed:
            self.arm()

    def close(self) -> None:
        """Drop all deadlines."""
        self.closed = True
        self.entries.clear()
        self.arm()


@dataclass(slots=True, eq=False)
class PendingCall:
    """An accepted call, with what is needed to cancel it."""

    klass: int
    reply: Callable[[Answer], None] | None  # None once called or cancelled, as it references the call
    message: Any  # read by the connection
    tenant: int
    is_retry: bool
    deadline: float  # clock time in milliseconds
    transaction: Transaction | None = None
    wait_timer: Timer | None = None


class TransactionRunner:
    """Transactions on a loop, with a limit on open calls and a queue until the first list of servers."""

    def __init__(
        self,
        settings: face.Settings,
        seed: int,
        loop: asyncio.AbstractEventLoop,
        attempt_transport: AttemptTransport,
        max_open_calls: int,
    ) -> None:
        self.settings, self.loop, self.max_open_calls = settings, loop, max_open_calls
        self.deadlines = LoopDeadlines(loop)
        self.clock = self.deadlines.clock
        balancer = Balancer(settings, seed, self.clock())
        self.transactions = Transactions(balancer, self.clock, self.deadlines, attempt_transport)
        self.admission = Admission(self.transactions, settings)
        self.waiting_for_list: dict[int, PendingCall] = {}  # waiting for the first list, in order of arrival
        self.has_list = self.closed = False
        self.last_number = self.in_flight = self.refused_count = 0
        self.pulse_timer: Timer | None = None
        self.on_attempt_ended: Callable[[Attempt, Outcome], None] | None = None  # metrics callback

    # called by channels and transports

    def start_call(
        self,
        klass: int,
        timeout_ms: float,
        message: Any,
        reply: Callable[[Answer], None],
        tenant: int = 0,
        is_retry: bool = False,
    ) -> PendingCall:
        """Start a call; `reply` gets its one final answer.

        `reply` may be called before this returns: with a refusal if too many calls are open. Before the
        first list of servers the call waits for one, up to its deadline.
        """
        pending = PendingCall(klass, reply, message, tenant, is_retry, self.clock() + timeout_ms)
        if self.closed or len(self.transactions.open) + len(self.waiting_for_list) >= self.max_open_calls:
            self.refused_count += 1
            self.admit(pending, over_limit=True)
        elif self.has_list:
            self.admit(pending)
        elif timeout_ms <= RESPONSE_RESERVE_MS:
            self.refuse_without_list(pending)
        else:
            self.last_number += 1
            number = self.last_number
            self.waiting_for_list[number] = pending
            pending.wait_timer = self.deadlines.add(
                pending.deadline - RESPONSE_RESERVE_MS, lambda: self.on_list_timeout(number)
            )
        return pending

    def admit(self, pending: PendingCall, over_limit: bool = False) -> None:
        """Pass a call to admission control; answer it at once if it is rejected."""
        self.last_number += 1
        request = Request(
            request_id=b"%d" % self.last_number,
            class_index=pending.klass,
            timeout_ms=pending.deadline - self.clock(),
            tenant=pending.tenant,
            is_retry=pending.is_retry,
            message=pending.message,
            over_connection_limit=over_limit,
        )
        admitted = self.admission.admit(request, lambda answer: self.deliver(pending, answer))
        if isinstance(admitted, Denial):
            self.deliver(pending, Refused(admitted.retry_after))
        else:
            pending.transaction = admitted

    def deliver(self, pending: PendingCall, answer: Answer) -> None:
        reply, pending.reply = pending.reply, None
        if reply is not None:
            reply(answer)

    def on_list_timeout(self, number: int) -> None:
        pending = self.waiting_for_list.pop(number, None)
        if pending is not None:
            self.refuse_without_list(pending)

    def refuse_without_list(self, pending: PendingCall) -> None:
        self.transactions.record_denial(pending.message, f"list {self.settings.max_retry_after:.0f} refused")
        self.deliver(pending, Refused(self.settings.max_retry_after))

    def cancel_call(self, pending: PendingCall) -> None:
        """The caller has cancelled the call."""
        if pending.reply is None:
            return
        pending.reply = None
        if pending.transaction is not None:
            self.admission.client_left(pending.transaction)
            return
        self.deadlines.remove(pending.wait_timer)
        for number, waiting in self.waiting_for_list.items():
            if waiting is pending:
                del self.waiting_for_list[number]
                break

    # called with updates of the list of servers

    def update_list(self, event: face.ListChanged) -> None:
        """Report a list to the policy; the first one starts the calls that waited for it."""
        self.transactions.post(event)
        if not self.has_list and event.scope is not face.ListScope.LOST:
            self.has_list = True
            waiting, self.waiting_for_list = self.waiting_for_list, {}
            for pending in waiting.values():
                self.deadlines.remove(pending.wait_timer)
                self.admit(pending)

    # called by the attempt transport

    def stream_began(self, attempt: Attempt, stream: Any) -> bool:
        """A streamed response has begun and is handed to the caller; it is not retried after this.

        False if the caller has cancelled, so that nobody will read it.
        """
        transaction = attempt.transaction
        if transaction.closed:
            return False
        self.transactions.post(face.Began(transaction.id, attempt.number))
        self.transactions.answer(transaction.id, Served(stream))
        return True

    def attempt_started(self) -> None:
        """An attempt is in flight."""
        self.in_flight += 1
        if self.pulse_timer is None:
            self.pulse_timer = self.deadlines.add(self.clock() + PULSE_INTERVAL_MS, self.on_pulse)

    def on_pulse(self) -> None:
        """Renew a deadline that is always near: the delay of its sweep shows a blocked loop."""
        self.pulse_timer = (
            self.deadlines.add(self.clock() + PULSE_INTERVAL_MS, self.on_pulse) if self.in_flight else None
        )

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, served: Served | None = None) -> None:
        """A started attempt has ended; if a blocked loop distorted its latency, the policy ignores it."""
        self.in_flight -= 1
        self.report_attempt(attempt, outcome)
        if outcome in (Outcome.SERVED, Outcome.TIMEOUT):
            if self.deadlines.late_ms > MAX_BLOCKED_SHARE * (self.clock() - attempt.sent_at):
                outcome = Outcome.CANCELLED
        self.transactions.finished(attempt, outcome, served)

    def attempt_not_started(self, attempt: Attempt, outcome: Outcome) -> None:
        """An attempt failed before it was started."""
        self.report_attempt(attempt, outcome)
        attempt.on_end(attempt, outcome, None)

    def attempt_cancelled(self, attempt: Attempt) -> None:
        """The policy has cancelled an attempt."""
        self.in_flight -= 1
        self.report_attempt(attempt, Outcome.CANCELLED)

    def report_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        if self.on_attempt_ended is not None:
            try:
                self.on_attempt_ended(attempt, outcome)
            except Exception:
                log_exception(log, "metrics_failed", "metrics collector raised an exception")

    def close(self) -> None:
        """Answer all open calls and reject new ones."""
        self.closed = True
        for pending in self.waiting_for_list.values():
            self.deliver(pending, Refused(self.settings.max_retry_after))
        self.waiting_for_list.clear()
        for transaction in list(self.transactions.open.values()):
            if not transaction.closed:
                transaction.reply(Failed())
                self.transactions.client_left(transaction)
        self.deadlines.close()
