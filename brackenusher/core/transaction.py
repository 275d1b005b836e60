"""Manages all transactions: turns what happens into events of the policy and carries out its actions.

Independent of protocols and sockets. Admission passes an opaque message and a callback for the reply; a
transport carries out attempts, each of which ends with one outcome. Each transaction gets exactly one final
answer.
"""

import logging
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

from barleybarrow import interface as face
from barleybarrow.brain import PROVEN, Balancer
from barleybarrow.interface import Effect, Outcome
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.message import Content, Message
from brackenusher.runtime.log import log_event, log_exception
from brackenusher.runtime.timers import Timer

log = logging.getLogger(__name__)

RESPONSE_RESERVE_MS = 10.0  # milliseconds reserved so that a response arrives before the client gives up


@dataclass(slots=True)
class Served:
    """Final answer: a pool member's response."""

    content: Content


@dataclass(slots=True)
class Refused:
    """Final answer: not executed, safe to retry after so many milliseconds."""

    retry_after: float


@dataclass(slots=True)
class Failed:
    """Final answer: failed; it may have been executed."""


Answer = Served | Refused | Failed


def never_gone() -> bool:
    """Default for a client that does not disconnect while it waits, or where that cannot be known."""
    return False


@dataclass(slots=True, eq=False)
class Transaction:
    """An accepted request, until it is answered and none of its attempts is in flight."""

    id: int
    request_id: bytes
    message: Message
    reply: Callable[[Answer], None]
    class_index: int
    tenant: int
    arrived: float
    deadline: float
    timeout_ms: float = 0.0  # from the last byte of the request
    client_gone: Callable[[], bool] = (
        never_gone  # whether its client has disconnected, even if not yet reported
    )
    deadline_timer: Timer | None = None
    closed: bool = False  # answered, or its client is gone
    attempts: list["Attempt"] = field(default_factory=list)
    attempts_in_flight: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a transaction at a backend; the transport reports its single outcome by the callback."""

    transaction: Transaction
    number: int
    backend: str
    message: Message
    sent_at: float
    timeout_ms: float  # of the policy for this attempt; 0 for the client's own
    deadline: float
    on_end: Callable[[Any, Outcome, Served | None], None]  # the first argument is the attempt
    outcome: Outcome | None = None
    link: Any = None  # the transport's state of the attempt
    response_started_at: float = 0.0  # when a response that is streamed began to arrive


class AttemptTransport(Protocol):
    """Carries out the actions that involve a backend."""

    def start(self, attempt: Attempt) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def disconnect(self, backend: str) -> None: ...
    def watch(self) -> None: ...
    def probe(self, backend: str) -> None: ...


@dataclass(slots=True)
class Observers:
    """Callbacks of observers. Their failures are logged and affect no request."""

    # the policy handled an event and returned actions, which are carried out next
    on_event: tuple[Callable[[float, face.Event, Sequence[face.Action]], None], ...] = ()
    # the final answer is about to be sent; None if the client disconnected without one
    on_answer: tuple[Callable[[Transaction, Answer | None], None], ...] = ()
    # a well-formed request was denied; the text summarizes why
    on_denial: tuple[Callable[[Any, str], None], ...] = ()


class Transactions:
    """All transactions of the process, and the policy that decides on them."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Callable[[], float],
        deadlines: Deadlines,
        transport: AttemptTransport,
    ) -> None:
        self.balancer, self.clock, self.deadlines, self.transport = balancer, clock, deadlines, transport
        self.observers = Observers()
        self.open: dict[int, Transaction] = {}
        self.open_ids: set[bytes] = set()  # pool members identify requests by them
        self.events: deque[face.Event] = deque()
        self.closing: list[Transaction] = []
        self.dispatching, self.accepted_count, self.unanswered_count = False, 0, 0
        self.action_handlers: dict[type, Callable[[Any], object]] = {
            face.Send: self.start_attempt,
            face.Refuse: lambda a: self.answer(a.request, Refused(a.retry_after)),
            face.Fail: lambda a: self.answer(a.request, Failed()),
            face.Cancel: self.cancel_attempt,
            face.SetTimer: lambda a: deadlines.add(a.at, partial(self.post, face.TimerDue(a.token))),
            face.Disconnect: lambda a: transport.disconnect(a.backend),
            face.Watch: lambda a: transport.watch(),
            face.Probe: lambda a: transport.probe(a.backend),
        }

    def start(self) -> None:
        """Carry out the policy's initial actions."""
        self.execute(self.balancer.begin())

    def accept(
        self,
        request_id: bytes,
        class_index: int,
        timeout_ms: float,
        message: Message,
        reply: Callable[[Answer], None],
        tenant: int = 0,
        is_retry: bool = False,
        bound_backend: str | None = None,
        window_end: float = 0.0,
        recorded_content: Content | None = None,
        client_gone: Callable[[], bool] = never_gone,
    ) -> Transaction | None:
        """Accept a request whose client waits for `timeout_ms`; `reply` gets its final answer.

        `recorded_content`, if given, is the final answer. With `bound_backend` the request may only go to
        this backend, which may have executed it already.

        Returns None, and accepts nothing, if a request with the same id is still open.
        """
        if request_id in self.open_ids:
            return None
        now = self.clock()
        self.accepted_count += 1
        self.open_ids.add(request_id)
        deadline = now + max(0.0, timeout_ms - RESPONSE_RESERVE_MS)
        transaction = Transaction(
            self.accepted_count,
            request_id,
            message,
            reply,
            class_index,
            tenant,
            now,
            deadline,
            timeout_ms,
            client_gone,
        )
        transaction.deadline_timer = self.deadlines.add(
            now + timeout_ms, partial(self.deadline_reached, transaction)
        )
        self.open[transaction.id] = transaction
        if recorded_content is not None:
            self.answer(transaction.id, Served(recorded_content))
            return transaction
        self.post(
            face.Arrived(transaction.id, class_index, deadline, tenant, is_retry, bound_backend, window_end)
        )
        return transaction

    def record_denial(self, request: Any, summary: str) -> None:
        """Notify observers that a well-formed request was denied."""
        self.notify(self.observers.on_denial, request, summary)

    def client_left(self, transaction: Transaction) -> None:
        """Handle that the client has disconnected."""
        if not transaction.closed:
            self.close(transaction)
            self.notify(self.observers.on_answer, transaction, None)
            self.post(face.Left(transaction.id))

    def finished(self, attempt: Attempt, outcome: Outcome, served: Served | None = None) -> None:
        """Handle the end of an attempt; only the first call for it counts."""
        if attempt.outcome is not None:
            return
        attempt.outcome, transaction = outcome, attempt.transaction
        transaction.attempts_in_flight -= 1
        if served is not None and not self.answer(transaction.id, served) and served.content.body_pipe:
            served.content.body_pipe.close()  # nobody reads it
        streamed = served is not None and served.content.body_pipe is not None and attempt.response_started_at
        elapsed = (attempt.response_started_at if streamed else self.clock()) - attempt.sent_at
        self.post(face.Finished(transaction.id, attempt.number, outcome, elapsed, transaction.closed))
        self.remove_if_done(transaction)

    def post(self, event: face.Event) -> None:
        """Pass an event to the policy; events raised while another one is handled are queued."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                event, now, actions = self.events.popleft(), self.clock(), None
                try:
                    actions = self.balancer.handle(now, event)
                except Exception:
                    log_exception(
                        log, "module_failed", "the module failed on %(told)s", told=type(event).__name__
                    )
                if self.observers.on_event:
                    self.notify(self.observers.on_event, now, event, actions or ())
                if actions is None:
                    self.fail_request_of(event)
                else:
                    self.execute(actions)
        finally:
            self.dispatching = False
            closing, self.closing = self.closing, []
            for transaction in closing:
                self.remove_if_done(transaction)

    def notify(self, observers: Sequence[Callable[..., None]], *arguments: Any) -> None:
        """Call the observers."""
        for observer in observers:
            try:
                observer(*arguments)
            except Exception:
                log_exception(log, "observer_failed", "an observer failed")

    def execute(self, actions: list[face.Action]) -> None:
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                log_exception(
                    log, "action_failed", "%(action)s could not be carried out", action=type(action).__name__
                )
                self.fail_request_of(action)

    def fail_request_of(self, item: Any) -> None:
        """Fail the transaction that an event or an action refers to, if any."""
        transaction = self.open.get(getattr(item, "request", -1))
        if transaction is not None and not transaction.closed:
            self.answer(transaction.id, Failed())
            self.post(face.Left(transaction.id))

    def start_attempt(self, action: face.Send) -> None:
        transaction, now = self.open[action.request], self.clock()
        deadline = min(now + action.timeout, transaction.deadline) if action.timeout else transaction.deadline
        number, message = len(transaction.attempts), transaction.message
        attempt = Attempt(
            transaction, number, action.backend, message, now, action.timeout, deadline, self.finished
        )
        transaction.attempts.append(attempt)
        transaction.attempts_in_flight += 1
        if transaction.closed or message.partly_sent:  # part of its body was forwarded and is no longer here
            self.finished(attempt, Outcome.NOT_SENT)
            return
        try:
            self.transport.start(attempt)
        except Exception:
            log_exception(log, "attempt_failed", "an attempt could not be started")
            self.finished(attempt, Outcome.NOT_SENT)

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent and its client is still connected.

        The policy checked this when it decided, but the connection may have been established late.
        """
        transaction, now = attempt.transaction, self.clock()
        if not transaction.closed and transaction.client_gone():
            self.client_left(transaction)
        if transaction.closed or transaction.message.body_pipe is None and now >= attempt.deadline:
            return False  # the timeout of a streamed body starts with its last byte
        conf = self.balancer.conf.classes[transaction.class_index]
        earlier = transaction.attempts[: attempt.number] if conf.effect is Effect.KEYED else ()
        sent = (other.sent_at for other in earlier if other.outcome not in PROVEN)
        return now < min(sent, default=math.inf) + conf.window  # the backend drops retries for this time

    def cancel_attempt(self, action: face.Cancel) -> None:
        transaction = self.open.get(action.request)
        if transaction is None or action.attempt >= len(transaction.attempts):
            return
        attempt = transaction.attempts[action.attempt]
        if attempt.outcome is None:
            self.transport.cancel(attempt)
            self.finished(attempt, Outcome.CANCELLED)

    def answer(self, request: int, answer: Answer) -> bool:
        """Give the final answer; False if there already was one."""
        transaction = self.open.get(request)
        if transaction is None or transaction.closed:
            return False
        self.close(transaction)
        if self.observers.on_answer:
            self.notify(self.observers.on_answer, transaction, answer)
        transaction.reply(answer)
        return True

    def body_complete(self, transaction: Transaction) -> None:
        """Handle that a streamed request body is complete: its timeouts start now."""
        if transaction.closed:
            return
        now = self.clock()
        transaction.deadline = answer_by = now + max(0.0, transaction.timeout_ms - RESPONSE_RESERVE_MS)
        for attempt in transaction.attempts:
            if attempt.outcome is None:
                attempt.sent_at = now
                attempt.deadline = (
                    min(now + attempt.timeout_ms, answer_by) if attempt.timeout_ms else answer_by
                )
        self.deadlines.remove(transaction.deadline_timer)
        transaction.deadline_timer = self.deadlines.add(
            now + transaction.timeout_ms, partial(self.deadline_reached, transaction)
        )

    def close(self, transaction: Transaction) -> None:
        transaction.closed = True
        self.deadlines.remove(transaction.deadline_timer)
        transaction.deadline_timer = None  # breaks a reference cycle
        self.remove_if_done(transaction)

    def remove_if_done(self, transaction: Transaction) -> None:
        """Remove a finished transaction; while dispatching later, as the policy may still refer to it."""
        if self.dispatching:
            self.closing.append(transaction)
        elif transaction.closed and not transaction.attempts_in_flight and transaction.id in self.open:
            del self.open[transaction.id]
            self.open_ids.discard(transaction.request_id)
            # Breaks a reference cycle, which would keep a long body until the next garbage collection.
            transaction.attempts.clear()

    def fail_open(self) -> int:
        """Fail all open transactions at the end of the process, and return their number."""
        unanswered = [transaction for transaction in self.open.values() if not transaction.closed]
        for transaction in unanswered:
            self.unanswered_count += 1
            self.answer(transaction.id, Failed())
            self.post(face.Left(transaction.id))
        return len(unanswered)

    def deadline_reached(self, transaction: Transaction) -> None:
        """Fail a transaction that is unanswered at the client's deadline, as a last resort."""
        body_pipe = transaction.message.body_pipe
        # The timeout of a streamed request starts with the last byte of its body.
        if (
            transaction.attempts_in_flight
            and body_pipe is not None
            and not (body_pipe.complete or body_pipe.broken)
        ):
            transaction.deadline_timer = self.deadlines.add(
                self.clock() + transaction.timeout_ms, partial(self.deadline_reached, transaction)
            )
        elif not transaction.closed:
            self.unanswered_count += 1
            log_event(
                log,
                logging.ERROR,
                "unanswered",
                "transaction %(request)d stood unanswered at its deadline",
                request=transaction.id,
            )
            self.answer(transaction.id, Failed())
            self.post(face.Left(transaction.id))
