"""Admission: the one step between any front and the transactions. It takes a request in, or says why not.

It knows no protocol: a front brings each request as a value and words the verdict in its own way. What is
turned away here reaches neither the module nor a pool member.
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
from barleybarrow.rate_limiter import LONGEST_KEY, RateLimiter
from brackenusher.core.message import Content, Message
from brackenusher.core.transaction import Answer, Served, Transaction, Transactions, never_gone


@dataclass(slots=True)
class Request:
    """A request that may be taken, as every front brings it."""

    name: bytes  # its id: no two that are open have the same
    klass: int  # position of its class in the settings
    span: float  # milliseconds that its client waits
    tenant: int  # position in the settings, 0 where it names none
    repeated: bool  # whether the client says that it asked before
    message: Message
    token: bytes | None = field(default=None, repr=False)
    address: str = ""  # the client's
    beyond: bool = False  # on a connection beyond the proxy's share of descriptors, taken only to be refused
    free: int | None = None  # connections between requests, where clients need one each and may open no other
    came: float = 0.0  # when its last byte was read: it may have waited behind others of its connection
    gone: Callable[[], bool] = never_gone  # whether its client has closed its connection meanwhile


class Bar(Enum):
    """What turned a request away."""

    ROOM = "room"  # the proxy's share of descriptors
    SHUTDOWN = "end"  # the program stops, and too little time is left
    TOKEN = "token"
    MARK = "mark"  # what staff have marked, or that it is not known here
    POLICY = "policy"  # what the group agreed on, or that it is not known here
    DOOR = "door"  # the limit of its tenant or address
    ID = "id"  # that of an open request


@dataclass(slots=True)
class Verdict:
    """Why a request was not taken: for a fault of its own, or it may come again after some milliseconds."""

    bar: Bar
    why: str = ""  # its fault: `open`, or what `barleybarrow.tokens` says; empty where it has none
    retry_after: float = 0.0

    @property
    def summary(self) -> str:
        """For those who look on: by what, how, and to what end."""
        if self.why:
            return f"{self.bar.value} {self.why} rejected"
        return f"{self.bar.value} {self.retry_after:.0f} refused"


class Gate(Protocol):
    """What a group of proxies has agreed on, or holds together, as admission sees it."""

    def ask(self, key: str, request: Request, now: float) -> float:
        """Whether a request of the tenant `key` may come in: 0, or how many milliseconds to wait."""


class IdempotencyLookup(Protocol):
    """What is known of keyed requests that may have been here before, through this proxy or another."""

    def ask(self, request: Request) -> "Before | None":
        """Where it may have run, or its answer; None where nothing is known."""


@dataclass(frozen=True, slots=True)
class Before:
    """What became of an earlier try: its answer, or where that may have run and until when it is dropped."""

    content: Content | None = None
    server: str = ""
    until: float = 0.0


NO_RECORD = Before()


class Admission:
    """Lets requests in to the transactions: no token, no room or too many of them keep one out."""

    def __init__(
        self,
        transactions: Transactions,
        settings: face.Settings,
        rate_limiter: RateLimiter | None = None,
        token_settings: tokens.TokenSettings | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.transactions, self.door, self.token_settings, self.wall_clock = (
            transactions,
            rate_limiter,
            token_settings,
            wall_clock,
        )
        self.required_rights = [
            tokens.READ if c.effect is Effect.SAFE else tokens.SUBMIT for c in settings.classes
        ]
        self.max_retry_after_ms = settings.max_retry_after
        self.gates: list[tuple[Bar, Gate]] = []  # where proxies agree on a policy, or hold marks of staff
        self.past: IdempotencyLookup | None = (
            None  # where proxies tell each other the fates of keyed requests
        )
        self.shutdown: GracefulShutdown | None = None  # once the program is to stop: the plan of its end
        self.at_the_end = 0  # requests refused because the end was near

    def admit(self, request: Request, reply: Callable[[Answer], None]) -> Transaction | Verdict:
        """Take a request, whose final answer `reply` gets once, maybe before this returns; or say why not."""
        denial = self.check(request)
        if denial is None:
            recorded = self.past.ask(request) if self.past is not None else None
            if recorded is None:
                recorded = NO_RECORD
            transaction = self.transactions.arrive(
                request.name,
                request.klass,
                request.span,
                request.message,
                reply,
                request.tenant,
                request.repeated,
                None if recorded is NO_RECORD else recorded.server,
                recorded.until,
                recorded.content,
                request.gone,
            )
            if transaction is not None:
                return transaction
            denial = Verdict(Bar.ID, "open")
        self.transactions.turn_away(request, denial.summary)
        return denial

    def answered(self, transaction: Transaction, answer: Answer) -> None:
        """A front has the final answer of a request that was taken; at the end it counts how long it took."""
        if self.shutdown is not None and isinstance(answer, Served):
            self.shutdown.answered(self.transactions.clock() - transaction.arrived)

    def whole(self, transaction: Transaction) -> None:
        """The rest of the body of a request that was taken before has come."""
        self.transactions.body_complete(transaction)

    def left(self, transaction: Transaction) -> None:
        """The client of a request that was taken has gone."""
        self.transactions.left(transaction)

    def check(self, request: Request) -> Verdict | None:
        """Say why a request is to be kept out, if it is.

        Tokens come before the door: a forged owner must not drain a tenant's bucket.
        """
        if request.beyond:
            return Verdict(Bar.ROOM, retry_after=self.max_retry_after_ms)
        if self.shutdown is not None and not self.fits_shutdown_plan(request, self.shutdown):
            self.at_the_end += 1
            wait_ms = self.shutdown.come_back(self.transactions.clock(), self.max_retry_after_ms)
            return Verdict(Bar.SHUTDOWN, retry_after=wait_ms)
        if self.token_settings is not None:
            token_fault = tokens.verdict(
                self.token_settings, request.token, self.required_rights[request.klass], self.wall_clock()
            )
            if token_fault:
                return Verdict(Bar.TOKEN, token_fault)
        for reason, gate in self.gates:
            wait_ms = gate.ask(name_of(request.message.owner), request, self.transactions.clock())
            if wait_ms:
                return Verdict(reason, retry_after=wait_ms)
        if self.door is not None:
            message = request.message
            key = request.address if self.door.settings.by_address else name_of(message.owner)
            message.charged = key, self.transactions.clock()
            wait_ms = self.door.ask(*message.charged)
            if wait_ms:
                return Verdict(Bar.DOOR, retry_after=wait_ms)
        return None

    def fits_shutdown_plan(self, request: Request, plan: GracefulShutdown) -> bool:
        """Whether a request can still be taken, with its time cut to what is left."""
        now, open_count = self.transactions.clock(), len(self.transactions.open)
        timeout_ms = plan.cut(now, request.span, open_count)
        if request.span and not timeout_ms:
            return False
        if request.free is not None and plan.crowded(now, request.free, open_count):
            return False
        request.span = timeout_ms
        return True


def name_of(owner: bytes | None) -> str:
    """A tenant's key at the door, as long as it counts; requests that name none share one of their own."""
    return "" if owner is None else owner[:LONGEST_KEY].decode("latin-1")
