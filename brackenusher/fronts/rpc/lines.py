"""Executes attempts over per-server connections, for both libraries. All decisions are the policy's.

A connection leads to one process of one server: a sub-channel of grpcio or a pool of httpx.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from brackenusher.core.transaction import Attempt, Served
from brackenusher.fronts.rpc.host import TransactionRunner
from brackenusher.runtime.log import log_exception
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger("brackenusher.rpc")

DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # if the settings have no connect time-out
HANDSHAKE_SMOOTHING = 1 / 4  # smoothing factor of the handshake time; large, as connects are few


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt in flight."""

    connection: "ServerConnection"
    task: "asyncio.Task[None] | None" = None
    expiry: Timer | None = None
    written: bool = False  # from here on it may have been executed
    finished: bool = False


class ServerConnection(Protocol):
    """A library's connection to one process of one server."""

    def ready(self) -> bool:
        """Whether a call can start without a handshake; True if the library connects by itself."""

    async def connect(self) -> bool:
        """Connect; False if that failed. May be cancelled."""

    async def execute(
        self, attempt: Attempt, flight: InFlightAttempt, remaining_ms: float
    ) -> tuple[Outcome, Served | None]:
        """Execute the attempt in the remaining time; sets `flight.written` once it may have been executed."""

    async def probe(self) -> tuple[Outcome, dict[str, float] | None]:
        """Run a health check, and fetch the load report if there is one."""

    async def close(self) -> None:
        """Close immediately."""


class ManagedConnection:
    """A connection with its usage."""

    def __init__(self, connection: ServerConnection, member: Member) -> None:
        self.connection, self.address, self.born_ms = connection, member.address, member.born_ms
        self.user_count, self.retired = 0, False
        self.received_at = 0.0  # when data was last received over it
        self.connect_task: asyncio.Task[bool] | None = None


class ConnectionManager:
    """Executes the policy's actions: the attempt transport of `Transactions`."""

    def __init__(
        self,
        dial: Callable[[Member], ServerConnection],
        settings: face.Settings,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.dial, self.settings, self.loop = dial, settings, loop
        self.connect_timeout_ms = settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_MS
        self.handshake_ms = 0.0  # smoothed connect time in milliseconds
        self.connections: dict[str, ManagedConnection] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.runner: TransactionRunner
        self.pool: Pool
        # called when the policy requests the list of servers
        self.on_list_requested: Callable[[], None] = lambda: None

    # attempt transport interface

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; one that cannot finish before its deadline is not sent."""
        member, remaining_ms = self.pool.members.get(attempt.backend), attempt.deadline - self.runner.clock()
        if member is None or remaining_ms <= 0 or self.closed:
            self.runner.attempt_not_started(attempt, Outcome.NOT_SENT)
            return
        if not self.pool.may_send(member):
            self.runner.attempt_not_started(attempt, Outcome.CONNECT_FAILED)
            return
        managed = self.connection_to(member)
        if not managed.connection.ready():
            self.start_connect(member.name, managed)
            if remaining_ms <= self.handshake_ms:
                self.runner.attempt_not_started(attempt, Outcome.NOT_SENT)
                return
        flight = attempt.link = InFlightAttempt(managed.connection)
        managed.user_count += 1
        self.runner.attempt_started()
        flight.expiry = self.runner.deadlines.add(
            attempt.deadline, lambda: self.on_deadline(attempt, managed)
        )
        flight.task = self.spawn(self.run_attempt(attempt, flight, managed, member))
        # also if the task is cancelled before it runs
        flight.task.add_done_callback(lambda _: self.release(managed))

    def cancel(self, attempt: Attempt) -> None:
        flight: InFlightAttempt | None = attempt.link
        if flight is not None and not flight.finished:
            self.mark_finished(flight, attempt)
            self.runner.attempt_cancelled(attempt)
            self.cancel_task(flight)

    def disconnect(self, backend: str) -> None:
        managed = self.connections.pop(backend, None)
        if managed is not None:
            self.retire(managed)

    def watch(self) -> None:
        self.on_list_requested()

    def probe(self, backend: str) -> None:
        member = self.pool.members.get(backend)
        if member is not None and not self.closed:
            self.spawn(self.run_probe(backend, self.connection_to(member)))

    # connections

    def connection_to(self, member: Member) -> ManagedConnection:
        """The connection to the current process of a member."""
        managed = self.connections.get(member.name)
        if managed is not None and (managed.address, managed.born_ms) != (member.address, member.born_ms):
            self.disconnect(member.name)
            managed = None
        if managed is None:
            managed = self.connections[member.name] = ManagedConnection(self.dial(member), member)
        return managed

    def close_outdated(self) -> None:
        """After a list update: close connections to members that left, moved or restarted."""
        for name, managed in list(self.connections.items()):
            member = self.pool.members.get(name)
            if member is None or member.left_at is not None or managed.address != member.address:
                self.disconnect(name)
            elif managed.born_ms != member.born_ms:
                self.disconnect(name)

    def retire(self, managed: ManagedConnection) -> None:
        """Close a connection once its last user has finished."""
        managed.retired = True
        if not managed.user_count:
            if managed.connect_task is not None:
                managed.connect_task.cancel()
            self.spawn(managed.connection.close())

    def release(self, managed: ManagedConnection) -> None:
        managed.user_count -= 1
        if managed.retired and not managed.user_count:
            self.spawn(managed.connection.close())

    def start_connect(self, name: str, managed: ManagedConnection) -> "asyncio.Task[bool]":
        """Start a connect, shared by all waiting attempts; it continues if they are cancelled."""
        if managed.connect_task is None or managed.connect_task.done():
            managed.connect_task = self.loop.create_task(self.connect(name, managed))
        return managed.connect_task

    async def connect(self, name: str, managed: ManagedConnection) -> bool:
        started_at = self.runner.clock()
        try:
            connected = await asyncio.wait_for(managed.connection.connect(), self.connect_timeout_ms / 1000.0)
        except TimeoutError:
            connected = False
        except Exception:
            log_exception(log, "connect_failed", "unexpected error while connecting")
            connected = False
        if connected:
            duration_ms = self.runner.clock() - started_at
            weight = HANDSHAKE_SMOOTHING if self.handshake_ms else 1.0
            self.handshake_ms += weight * (duration_ms - self.handshake_ms)
        elif self.connections.get(name) is managed:
            self.disconnect(name)  # the next attempt creates a new one, which avoids the library's back-off
        return connected

    # attempts

    async def run_attempt(
        self, attempt: Attempt, flight: InFlightAttempt, managed: ManagedConnection, member: Member
    ) -> None:
        outcome, served = Outcome.RESET, None
        try:
            if not managed.connection.ready() and not await asyncio.shield(
                self.start_connect(member.name, managed)
            ):
                outcome = Outcome.CONNECT_FAILED
            elif (remaining_ms := attempt.deadline - self.runner.clock()) <= 0:
                outcome = Outcome.NOT_SENT
            elif not self.pool.may_send(member):
                outcome = Outcome.CONNECT_FAILED
            else:
                outcome, served = await managed.connection.execute(attempt, flight, remaining_ms)
                if outcome is not Outcome.TIMEOUT:
                    managed.received_at = self.runner.clock()
        except asyncio.CancelledError:
            if not flight.finished:  # not cancelled here: the library closed it
                outcome = Outcome.RESET if flight.written else Outcome.CONNECT_FAILED
        except Exception:
            log_exception(log, "attempt_failed", "unexpected error in an attempt")
            outcome = Outcome.RESET if flight.written else Outcome.NOT_SENT
        self.finish(attempt, flight, managed, outcome, served)

    def finish(
        self,
        attempt: Attempt,
        flight: InFlightAttempt,
        managed: ManagedConnection,
        outcome: Outcome,
        served: Served | None = None,
    ) -> None:
        if not flight.finished:
            self.mark_finished(flight, attempt)
            if outcome is Outcome.TIMEOUT:
                self.drop_if_silent(attempt, managed)
            self.runner.attempt_ended(attempt, outcome, served)

    def mark_finished(self, flight: InFlightAttempt, attempt: Attempt) -> None:
        flight.finished = True
        self.runner.deadlines.remove(flight.expiry)

    def cancel_task(self, flight: InFlightAttempt) -> None:
        if flight.task is not None:
            flight.task.cancel()

    def on_deadline(self, attempt: Attempt, managed: ManagedConnection) -> None:
        """The attempt's deadline has passed; it was executed only if it was written."""
        flight: InFlightAttempt = attempt.link
        self.finish(attempt, flight, managed, Outcome.TIMEOUT if flight.written else Outcome.NOT_SENT)
        self.cancel_task(flight)

    def drop_if_silent(self, attempt: Attempt, managed: ManagedConnection) -> None:
        """Drop a connection that received nothing since the attempt was sent: it may be half-open."""
        name = attempt.backend
        if managed.received_at < attempt.sent_at and self.connections.get(name) is managed:
            self.disconnect(name)

    async def run_probe(self, backend: str, managed: ManagedConnection) -> None:
        started_at, outcome, report = self.runner.clock(), Outcome.TIMEOUT, None
        managed.user_count += 1
        try:
            async with asyncio.timeout(self.connect_timeout_ms / 1000.0):
                if managed.connection.ready() or await asyncio.shield(self.start_connect(backend, managed)):
                    outcome, report = await managed.connection.probe()
                else:
                    outcome = Outcome.CONNECT_FAILED
        except TimeoutError:
            pass
        finally:
            self.release(managed)
        elapsed_ms = self.runner.clock() - started_at
        self.runner.transactions.post(face.Probed(backend, outcome, elapsed_ms, report))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self) -> None:
        """Close all connections and cancel what is in flight."""
        connections = list(self.connections.values())
        self.connections.clear()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for each in connections:
            if each.connect_task is not None:
                each.connect_task.cancel()
            await each.connection.close()
