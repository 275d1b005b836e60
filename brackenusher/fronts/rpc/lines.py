"""Carries attempts over lines, one for each server: the carrier under both libraries. It decides nothing.

A line is a library's way to one process of one server: a sub-channel of grpcio, a pool of httpx.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from brackenusher.core.transaction import Attempt, Served
from brackenusher.fronts.rpc.host import Host
from brackenusher.runtime.log import fault
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger("brackenusher.rpc")

CONNECT_TIME = 1000.0  # milliseconds, where the settings name none
HANDSHAKE_WEIGHT = 1 / 4  # of a new connect in the usual time of one: few are made


@dataclass(slots=True, eq=False)
class Trip:
    """One attempt on its way."""

    line: "Line"
    task: "asyncio.Task[None] | None" = None
    expiry: Entry | None = None
    written: bool = False  # from here on it may have run
    over: bool = False


class Line(Protocol):
    """A library's way to one process of one server."""

    def ready(self) -> bool:
        """Whether a call can start without a handshake; True where the library connects by itself."""

    async def connect(self) -> bool:
        """Make it ready; False where that failed. It is given up by cancelling it."""

    async def exchange(self, attempt: Attempt, trip: Trip, left: float) -> tuple[Outcome, Served | None]:
        """Make the attempt within `left` milliseconds, setting `trip.written` once it may run."""

    async def probe(self) -> tuple[Outcome, dict[str, float] | None]:
        """Ask the server whether it lives, and for its report if there is one."""

    async def close(self) -> None:
        """Close it at once."""


class Held:
    """A line with who uses it."""

    def __init__(self, line: Line, member: Member) -> None:
        self.line, self.address, self.born_ms = line, member.address, member.born_ms
        self.users, self.retired = 0, False
        self.heard_at = 0.0  # when something last came over it
        self.connecting: asyncio.Task[bool] | None = None


class Lines:
    """Carries out what the module asks for: `Transactions` calls it as its carrier."""

    def __init__(
        self, dial: Callable[[Member], Line], settings: face.Settings, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.dial, self.settings, self.loop = dial, settings, loop
        self.connect_time = settings.connect_timeout or CONNECT_TIME
        self.handshake = 0.0  # milliseconds that a connect usually takes
        self.held: dict[str, Held] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.host: Host
        self.pool: Pool
        self.asked: Callable[[], None] = lambda: None  # the module asks for the list

    # what `Transactions` calls

    def start(self, attempt: Attempt) -> None:
        """Set out with an attempt; one that cannot come to an end in its time is not sent."""
        member, left = self.pool.members.get(attempt.backend), attempt.deadline - self.host.clock()
        if member is None or left <= 0 or self.closed:
            self.host.not_started(attempt, Outcome.NOT_SENT)
            return
        if not self.pool.may_begin(member):
            self.host.not_started(attempt, Outcome.CONNECT_FAILED)
            return
        held = self.line(member)
        if not held.line.ready():
            self.begin_connect(member.name, held)
            if left <= self.handshake:
                self.host.not_started(attempt, Outcome.NOT_SENT)
                return
        trip = attempt.carriage = Trip(held.line)
        held.users += 1
        self.host.started()
        trip.expiry = self.host.deadlines.add(attempt.deadline, lambda: self.expired(attempt, held))
        trip.task = self.spawn(self.carry(attempt, trip, held, member))
        trip.task.add_done_callback(lambda _: self.let_go(held))  # also where it never came to run

    def cancel(self, attempt: Attempt) -> None:
        trip: Trip | None = attempt.carriage
        if trip is not None and not trip.over:
            self.over(trip, attempt)
            self.host.cancelled(attempt)
            self.stop(trip)

    def disconnect(self, backend: str) -> None:
        held = self.held.pop(backend, None)
        if held is not None:
            self.retire(held)

    def watch(self) -> None:
        self.asked()

    def probe(self, backend: str) -> None:
        member = self.pool.members.get(backend)
        if member is not None and not self.closed:
            self.spawn(self.ask(backend, self.line(member)))

    # lines

    def line(self, member: Member) -> Held:
        """The line to a member's present process."""
        held = self.held.get(member.name)
        if held is not None and (held.address, held.born_ms) != (member.address, member.born_ms):
            self.disconnect(member.name)
            held = None
        if held is None:
            held = self.held[member.name] = Held(self.dial(member), member)
        return held

    def review(self) -> None:
        """After a list: let go of the lines to those that left or were started anew."""
        for name, held in list(self.held.items()):
            member = self.pool.members.get(name)
            if member is None or member.left_at is not None or held.address != member.address:
                self.disconnect(name)
            elif held.born_ms != member.born_ms:
                self.disconnect(name)

    def retire(self, held: Held) -> None:
        """Close a line once the last of its users is through."""
        held.retired = True
        if not held.users:
            if held.connecting is not None:
                held.connecting.cancel()
            self.spawn(held.line.close())

    def let_go(self, held: Held) -> None:
        held.users -= 1
        if held.retired and not held.users:
            self.spawn(held.line.close())

    def begin_connect(self, name: str, held: Held) -> "asyncio.Task[bool]":
        """Connect, once for all who wait; it goes on though they give up, for those who come after."""
        if held.connecting is None or held.connecting.done():
            held.connecting = self.loop.create_task(self.connect(name, held))
        return held.connecting

    async def connect(self, name: str, held: Held) -> bool:
        began = self.host.clock()
        try:
            done = await asyncio.wait_for(held.line.connect(), self.connect_time / 1000.0)
        except TimeoutError:
            done = False
        except Exception:
            fault(log, "connect_failed", "a connect failed in an unforeseen way")
            done = False
        if done:
            took = self.host.clock() - began
            weight = HANDSHAKE_WEIGHT if self.handshake else 1.0
            self.handshake += weight * (took - self.handshake)
        elif self.held.get(name) is held:
            self.disconnect(name)  # the next attempt makes a new one: the library's back-off is not ours
        return done

    # attempts

    async def carry(self, attempt: Attempt, trip: Trip, held: Held, member: Member) -> None:
        outcome, served = Outcome.RESET, None
        try:
            if not held.line.ready() and not await asyncio.shield(self.begin_connect(member.name, held)):
                outcome = Outcome.CONNECT_FAILED
            elif (left := attempt.deadline - self.host.clock()) <= 0:
                outcome = Outcome.NOT_SENT
            elif not self.pool.may_begin(member):
                outcome = Outcome.CONNECT_FAILED
            else:
                outcome, served = await held.line.exchange(attempt, trip, left)
                if outcome is not Outcome.TIMEOUT:
                    held.heard_at = self.host.clock()
        except asyncio.CancelledError:
            if not trip.over:  # not by us: the library closed it
                outcome = Outcome.RESET if trip.written else Outcome.CONNECT_FAILED
        except Exception:
            fault(log, "attempt_failed", "an attempt failed in an unforeseen way")
            outcome = Outcome.RESET if trip.written else Outcome.NOT_SENT
        self.done(attempt, trip, held, outcome, served)

    def done(
        self, attempt: Attempt, trip: Trip, held: Held, outcome: Outcome, served: Served | None = None
    ) -> None:
        if not trip.over:
            self.over(trip, attempt)
            if outcome is Outcome.TIMEOUT:
                self.unheard(attempt, held)
            self.host.ended(attempt, outcome, served)

    def over(self, trip: Trip, attempt: Attempt) -> None:
        trip.over = True
        self.host.deadlines.remove(trip.expiry)

    def stop(self, trip: Trip) -> None:
        if trip.task is not None:
            trip.task.cancel()

    def expired(self, attempt: Attempt, held: Held) -> None:
        """The attempt's time is up; it has not run unless it was written."""
        trip: Trip = attempt.carriage
        self.done(attempt, trip, held, Outcome.TIMEOUT if trip.written else Outcome.NOT_SENT)
        self.stop(trip)

    def unheard(self, attempt: Attempt, held: Held) -> None:
        """A connection over which nothing came since may be dead without a reset: use another next time."""
        name = attempt.backend
        if held.heard_at < attempt.sent_at and self.held.get(name) is held:
            self.disconnect(name)

    async def ask(self, backend: str, held: Held) -> None:
        began, outcome, report = self.host.clock(), Outcome.TIMEOUT, None
        held.users += 1
        try:
            async with asyncio.timeout(self.connect_time / 1000.0):
                if held.line.ready() or await asyncio.shield(self.begin_connect(backend, held)):
                    outcome, report = await held.line.probe()
                else:
                    outcome = Outcome.CONNECT_FAILED
        except TimeoutError:
            pass
        finally:
            self.let_go(held)
        elapsed = self.host.clock() - began
        self.host.transactions.post(face.Probed(backend, outcome, elapsed, report))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self) -> None:
        """Close all lines; whatever is on its way ends here."""
        held = list(self.held.values())
        self.held.clear()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for each in held:
            if each.connecting is not None:
                each.connecting.cancel()
            await each.line.close()
