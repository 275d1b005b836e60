"""Admission control between the protocol front ends and the transactions: accepts a request or denies it.

Independent of protocols: a front end passes each request as a value and encodes a denial in its own way. A
denied request reaches neither the policy nor a pool member.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from barleybarrow import interface as face
from barleybarrow import tokens
from barleybarrow.graceful_shutdown import GracefulShutdown
from barleybarrow.interface import Effect
from barleybarrow.rate_limiter import MAX_KEY_LENGTH, RateLimiter
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Answer, Served, Transaction, Transactions, never_gone


@dataclass(slots=True)
class Request:
    """A request to be admitted, as every front end passes it."""

    request_id: bytes  # its id, unique among the open requests
    class_index: int  # index of its class in the settings
    timeout_ms: float  # milliseconds until its client gives up
    tenant: int  # index in the settings, 0 if it names none
    is_retry: bool  # whether the client marks it as a retry
    message: Message
    token: bytes | None = field(default=None, repr=False)
    address: str = ""  # the client's
    # on a connection beyond the descriptor limit, accepted only to be refused
    over_connection_limit: bool = False
    available_connections: int | None = None  # idle client connections, if clients cannot open another
    # when its last byte was read; it may have queued behind others of its connection
    received_at: float = 0.0
    client_gone: Callable[[], bool] = never_gone  # whether its client has disconnected meanwhile


class DenialReason(Enum):
    """Why a request was denied; the values appear in logs."""

    CONNECTION_LIMIT = "room"  # the descriptor limit
    SHUTDOWN = "end"  # the process is shutting down and too little time remains
    TOKEN = "token"
    OVERRIDE = "mark"  # an administrators' override, or overrides that are not known here yet
    POLICY = "policy"  # the group's policy, or a policy that is not known here yet
    RATE_LIMIT = "door"  # of its tenant or address
    DUPLICATE_ID = "id"  # an open request has the same id


@dataclass(slots=True)
class Denial:
    """Why a request was not accepted: it has an error, or may be retried after some milliseconds."""

    reason: DenialReason
    detail: str = ""  # its error: `open`, or one of `barleybarrow.tokens`; empty if it has none
    retry_after: float = 0.0

    @property
    def summary(self) -> str:
        """Summary for observers: reason, detail or Retry-After, and whether rejected or refused."""
        if self.detail:
            return f"{self.reason.value} {self.detail} rejected"
        return f"{self.reason.value} {self.retry_after:.0f} refused"


class Gate(Protocol):
    """A check by state that a group of proxies shares, such as a policy or overrides."""

    def ask(self, key: str, request: Request, now: float) -> float:
        """Return 0 if a request of the tenant `key` is admitted, or else the milliseconds to wait."""


class IdempotencyLookup(Protocol):
    """Looks up recorded outcomes of requests with an idempotency key, at this proxy or another."""

    def ask(self, request: Request) -> "RecordedOutcome | None":
        """Return the answer or the server that may have executed it; None if nothing is recorded."""


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """Recorded outcome of an earlier try: its answer, or the server that may have executed it.

    That server drops retries until the time `until`.
    """

    content: Content | None = None
    server: str = ""
    until: float = 0.0


NO_RECORD = RecordedOutcome()


class Admission:
    """Admits requests to the transactions, subject to tokens, policies, rate limits and capacity."""

    def __init__(
        self,
        transactions: Transactions,
        settings: face.Settings,
        rate_limiter: RateLimiter | None = None,
        token_settings: tokens.TokenSettings | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.transactions, self.rate_limiter, self.token_settings, self.wall_clock = (
            transactions,
            rate_limiter,
            token_settings,
            wall_clock,
        )
        self.required_rights = [
            tokens.READ if c.effect is Effect.SAFE else tokens.SUBMIT for c in settings.classes
        ]
        self.max_retry_after_ms = settings.max_retry_after
        self.gates: list[tuple[DenialReason, Gate]] = []  # in a group of proxies
        self.idempotency: IdempotencyLookup | None = None  # if proxies share idempotency records
        self.shutdown: GracefulShutdown | None = None  # set once the process is to stop
        self.refused_at_shutdown = 0  # requests refused because of the shutdown

    def admit(self, request: Request, reply: Callable[[Answer], None]) -> Transaction | Denial:
        """Accept a request, whose final answer `reply` gets once, maybe before this returns, or deny it."""
        denial = self.check(request)
        if denial is None:
            recorded = self.idempotency.ask(request) if self.idempotency is not None else None
            if recorded is None:
                recorded = NO_RECORD
            transaction = self.transactions.accept(
                request.request_id,
                request.class_index,
                request.timeout_ms,
                request.message,
                reply,
                request.tenant,
                request.is_retry,
                None if recorded is NO_RECORD else recorded.server,
                recorded.until,
                recorded.content,
                request.client_gone,
            )
            if transaction is not None:
                return transaction
            denial = Denial(DenialReason.DUPLICATE_ID, "open")
        self.transactions.record_denial(request, denial.summary)
        return denial

    def answer_sent(self, transaction: Transaction, answer: Answer) -> None:
        """Handle that a front end has the final answer of a request; a shutdown plan records its latency."""
        if self.shutdown is not None and isinstance(answer, Served):
            self.shutdown.record_duration(self.transactions.clock() - transaction.arrived)

    def body_complete(self, transaction: Transaction) -> None:
        """Handle that the body of an accepted request is complete."""
        self.transactions.body_complete(transaction)

    def client_left(self, transaction: Transaction) -> None:
        """Handle that the client of an accepted request has disconnected."""
        self.transactions.client_left(transaction)

    def check(self, request: Request) -> Denial | None:
        """Return why a request is denied, if it is.

        Tokens are checked before the rate limit: a forged owner must not drain a tenant's bucket.
        """
        if request.over_connection_limit:
            return Denial(DenialReason.CONNECTION_LIMIT, retry_after=self.max_retry_after_ms)
        if self.shutdown is not None and not self.fits_shutdown_plan(request, self.shutdown):
            self.refused_at_shutdown += 1
            wait_ms = self.shutdown.retry_after(self.transactions.clock(), self.max_retry_after_ms)
            return Denial(DenialReason.SHUTDOWN, retry_after=wait_ms)
        if self.token_settings is not None:
            token_fault = tokens.rejection_reason(
                self.token_settings,
                request.token,
                self.required_rights[request.class_index],
                self.wall_clock(),
            )
            if token_fault:
                return Denial(DenialReason.TOKEN, token_fault)
        for reason, gate in self.gates:
            wait_ms = gate.ask(rate_limit_key(request.message.owner), request, self.transactions.clock())
            if wait_ms:
                return Denial(reason, retry_after=wait_ms)
        if self.rate_limiter is not None:
            message = request.message
            key = request.address if self.rate_limiter.settings.by_address else rate_limit_key(message.owner)
            message.rate_limit_charge = key, self.transactions.clock()
            wait_ms = self.rate_limiter.acquire(*message.rate_limit_charge)
            if wait_ms:
                return Denial(DenialReason.RATE_LIMIT, retry_after=wait_ms)
        return None

    def fits_shutdown_plan(self, request: Request, plan: GracefulShutdown) -> bool:
        """Whether a request can still be accepted during shutdown; shorten its timeout to the time left."""
        now, open_count = self.transactions.clock(), len(self.transactions.open)
        timeout_ms = plan.time_allowed(now, request.timeout_ms, open_count)
        if request.timeout_ms and not timeout_ms:
            return False
        if request.available_connections is not None and plan.is_short_of_connections(
            now, request.available_connections, open_count
        ):
            return False
        request.timeout_ms = timeout_ms
        return True


def rate_limit_key(owner: bytes | None) -> str:
    """A tenant's key in the rate limiter, truncated to its limit; requests without a tenant share one key."""
    return "" if owner is None else owner[:MAX_KEY_LENGTH].decode("latin-1")
