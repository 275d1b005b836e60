"""The driver toward pool members: sockets round the flows. It keeps time limits and decides nothing."""

import logging
import socket
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import partial
from typing import Any

from barleybarrow import interface as face
from barleybarrow.connections import Cause, Held
from barleybarrow.interface import Outcome
from barleybarrow.settings import REPORT_FIELDS
from brackenusher.core.message import Message
from brackenusher.core.pipe import Budget, End, nothing
from brackenusher.core.transaction import Attempt, Served, Transactions
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import SHORTAGE, open_socket, write
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, WRITE, Coroutine, Loop, clock
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.flow import AttemptResult, Flow
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger(__name__)

DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # where the settings name none
RESPONSE_STALL_TIMEOUT_MS = (
    250.0  # an answer that has begun and is to be whole before it is passed on goes on in this time
)
STREAM_AFTER_MS = (
    150.0  # one that does not say how long it is is passed on as it comes, from so long after its begin
)
STREAM_STALL_TIMEOUT_MS = 10_000.0  # an answer that is passed on in pieces goes on in this time
REQUEST_STALL_TIMEOUT_MS = 5_000.0  # a member takes some more of a body in this time


class Upstream:
    """Carries attempts to pool members."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        settings: face.Settings,
        max_connections: int,
        buffers: Buffers,
        budget: Budget | None = None,
    ) -> None:
        self.loop, self.pool, self.settings, self.max_connections, self.buffers = (
            loop,
            pool,
            settings,
            max_connections,
            buffers,
        )
        self.budget = budget  # for answers that are passed on in pieces; none: there are none
        self.connect_timeout_ms = settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_MS
        self.planner = pool.planner
        self.planner.room = max_connections
        self.written = 0  # attempts that were written whole, probes apart
        self.sweep_scheduled = False  # the planner's sweep is due at some time
        self.reported_counts: Counter[tuple[str, str]] = (
            Counter()
        )  # counters as they were told last, by name and cause
        self.owner: Transactions  # set by who makes the transactions, which need this first
        self.watch = lambda: None

    def start(self, attempt: "Attempt | Probe") -> None:
        """Send an attempt on an idle connection, or on a new one."""
        self.assign(attempt, self.pool.members[attempt.backend])

    def assign(self, attempt: "Attempt | Probe", member: Member) -> None:
        idle_link = self.pool.lend(member, attempt.message.method == b"GET")
        link = idle_link if idle_link is not None else self.connect(member)
        if isinstance(link, Outcome):
            attempt.ended(attempt, link, None)
        else:
            link.carry(attempt)

    def connect(self, member: Member, ahead: bool = False) -> "ServerLink | Outcome":
        planner, now = self.planner, clock()
        if member.line.left or not planner.may_open(member.line, now):
            return Outcome.NOT_SENT
        if planner.total >= planner.room and (ahead or not self.pool.evict_idle()):
            return Outcome.NOT_SENT
        try:
            sock, done = open_socket(member.address)
        except OSError as error:
            if error.errno not in SHORTAGE:
                planner.not_opened(member.line, now)
                return Outcome.CONNECT_FAILED
            if not ahead:
                self.pool.evict_idle()
            return Outcome.NOT_SENT
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.deadlines.add(now + planner.every, self.sweep)
        return ServerLink(self, member, sock, done, ahead)

    def sweep(self) -> None:
        """Retire what is due, and open ahead what is wanted, as the planner says."""
        expired, wanted = self.planner.sweep(clock())
        for held, cause in expired:
            held.link.close(cause)
        for line in wanted:
            member = self.pool.members.get(line.name)
            if member is not None and member.line is line:
                self.connect(member, ahead=True)
        self.sweep_scheduled = bool(self.planner.active)
        if self.sweep_scheduled:
            self.loop.deadlines.add(clock() + self.planner.every, self.sweep)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """What came to be counted since the last call, and how many connections are held."""
        planner = self.planner
        counts = {("connections_closed", cause.value): count for cause, count in planner.closes.items()}
        counts["connections_opened", ""] = planner.opened
        counts["connections_opened_ahead", ""] = planner.opened_ahead
        counts["connections_reused", ""] = planner.reused
        counts["connections_not_opened", ""] = planner.full
        counts["requests_moved", ""] = planner.rescued
        changes = [
            (name, count - self.reported_counts[name, cause], "c", [("cause", cause)] if cause else [])
            for (name, cause), count in counts.items()
            if count > self.reported_counts[name, cause]
        ]
        self.reported_counts = Counter(counts)
        idle = sum(len(line.idle) for line in planner.active)
        return [*changes, ("connections_held", planner.total, "g", []), ("connections_idle", idle, "g", [])]

    def cancel(self, attempt: Attempt) -> None:
        if attempt.carriage is not None:
            attempt.carriage.close(Cause.GIVEN_UP)

    def disconnect(self, backend: str) -> None:
        member = self.pool.members.get(backend)
        if member is not None:
            member.hang_up()

    def probe(self, backend: str) -> None:
        """Ask a member for its report, or where there are none whether it lives."""
        reports = bool(self.settings.probe_reports)
        message = Message(b"GET", b"/stats" if reports else b"/health/live")
        now = clock()
        self.start(Probe(backend, message, now, now + self.connect_timeout_ms, self.probe_ended))

    def probe_ended(self, probe: "Probe", outcome: Outcome, served: Served | None) -> None:
        report = read_report(served.content.body) if served and self.settings.probe_reports else None
        self.owner.post(face.Probed(probe.backend, outcome, clock() - probe.sent_at, report))


@dataclass(slots=True)
class Probe:
    """A probe travels like an attempt but belongs to no transaction."""

    backend: str
    message: Message
    sent_at: float
    deadline: float
    ended: Callable[[Any, Outcome, Served | None], None]  # as an attempt's
    carriage: "ServerLink | None" = None
    response_started_at: float = 0.0


def read_report(body: bytes) -> dict[str, float]:
    """Read name=value pairs, leaving aside what is not known."""
    report = {}
    for pair in body.decode("utf-8", "replace").strip().split(","):
        name, _, value = pair.partition("=")
        if name in REPORT_FIELDS:
            try:
                report[REPORT_FIELDS[name]] = float(value)
            except ValueError:
                say(
                    log,
                    logging.WARNING,
                    "report_unreadable",
                    "a report's %(field)s cannot be read",
                    field=name,
                )
    return report


class ServerLink:
    """A connection to a pool member."""

    def __init__(
        self, upstream: Upstream, member: Member, sock: socket.socket, connected: bool, ahead: bool
    ) -> None:
        self.upstream, self.member, self.sock = upstream, member, sock
        self.planner = upstream.planner
        self.held: Held = self.planner.opening(member.line, self, clock(), ahead)
        self.attempt: Attempt | Probe | None = None
        self.connect_timer: Entry | None = None
        self.deadline_timer: Entry | None = None
        self.stall: Entry | None = None
        self.written_at: float | None = None  # when the present request was written whole
        self.rechecked = False  # its time was up, and it was looked once more for an answer
        self.close_cause = Cause.FAULT
        self.flow = Flow(f"{member.address[0]}:{member.address[1]}".encode(), upstream.budget)
        self.progress_at = 0.0  # when the peer last took or gave something
        self.result: AttemptResult | None = None
        if not connected:
            until = clock() + upstream.connect_timeout_ms
            self.connect_timer = upstream.loop.deadlines.add(until, self.connect_timed_out)
        self.task = upstream.loop.spawn(self.run(connected), sock)

    def carry(self, attempt: "Attempt | Probe") -> None:
        """Take on an attempt."""
        self.attempt, self.written_at, self.rechecked, attempt.carriage = attempt, None, False, self
        if attempt.message.rest is None:  # else its time counts from the last byte of its body
            self.deadline_timer = self.upstream.loop.deadlines.add(attempt.deadline, self.expired)
        self.task.wake()

    def run(self, connected: bool) -> Coroutine:
        try:
            if not connected:
                while not (yield WRITE):
                    pass  # an attempt was taken on meanwhile
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.finish_attempt(Outcome.CONNECT_FAILED, cause=Cause.REFUSED)
                    return
            self.upstream.loop.deadlines.remove(self.connect_timer)
            if not self.planner.up(self.held, clock()):
                self.close_cause = Cause.LEFT
                return
            while True:
                while self.attempt is None:
                    if (yield READ) and self.attempt is None and not self.healthy():
                        return  # it has ended, or sent what nobody asked for
                if not (yield from self.exchange()):
                    return
        finally:
            self.clean_up()

    def exchange(self) -> Generator[int, int, bool]:
        """One request and its answer; whether the connection can carry another."""
        if not self.upstream.pool.may_begin(self.member):
            return self.finish_attempt(
                Outcome.CONNECT_FAILED, cause=Cause.LEFT
            )  # queued on the connect past the limit
        if not self.healthy():
            return self.retry_on_another(self.close_cause)
        attempt, self.result = self.attempt, None
        assert attempt is not None
        if isinstance(attempt, Attempt) and not self.upstream.owner.may_start(attempt):
            # it is none of this connection's; where it was cancelled on that account, this one is closed
            return self.attempt is not None and self.finish_attempt(Outcome.NOT_SENT, reusable=True)
        try:
            written = yield from self.send_request(attempt)
        except OSError:
            return self.retry_on_another(Cause.UNWRITTEN)
        if not written:  # it answered or ended before it had the whole request, or the client went
            early_result: AttemptResult | None = self.result
            if early_result is None:
                return self.finish_attempt(Outcome.NOT_SENT, cause=Cause.GIVEN_UP)
            if early_result.outcome is Outcome.RESET:
                return self.retry_on_another(Cause.UNWRITTEN)
            if self.flow.rest is not None:
                return (yield from self.stream_response())
            return self.finish_attempt(early_result.outcome, early_result.served, cause=Cause.TOLD)
        self.written_at = clock()
        if isinstance(attempt, Attempt):
            self.upstream.written += 1
        try:
            while self.result is None:
                yield READ
                self.receive()
                if self.stall is None and self.flow.begun and self.result is None:
                    attempt.response_started_at = clock()
                    self.stall = self.upstream.loop.deadlines.add(
                        attempt.response_started_at + STREAM_AFTER_MS, self.hurry
                    )
        except OSError:
            return self.connection_reset()
        if self.result.outcome is Outcome.RESET:
            return self.connection_reset()
        if self.flow.rest is not None:
            return (yield from self.stream_response())
        result, reusable = self.result, self.finish_response()
        return self.finish_attempt(result.outcome, result.served, reusable, Cause.TOLD)

    def finish_response(self) -> bool:
        """An answer has come whole; whether the connection can carry another."""
        self.planner.answered(self.held, clock())
        reusable = self.flow.renew()
        if self.flow.keep_alive_s is not None:
            self.planner.promised(self.held, self.flow.keep_alive_s * 1000.0)
        return reusable

    def send_request(self, attempt: "Attempt | Probe") -> Generator[int, int, bool]:
        """Write a request with all of its body, however that comes; False if it was not written whole.

        `reply` then says what came instead; without one it is the client that does not go on.
        """
        message, pipe = attempt.message, attempt.message.rest
        unsent = memoryview(self.flow.request(message, attempt.deadline - clock()))
        if pipe is not None:
            pipe.to_reader = self.task.wake
            self.start_stall_timer(REQUEST_STALL_TIMEOUT_MS, self.stream_stalled)
        while True:
            if not unsent and pipe is not None:
                if pipe.closed and pipe.end is not End.WHOLE:
                    return False
                if pipe.parts:
                    message.partly_sent = True
                    unsent = memoryview(self.flow.encode_body(pipe.take()))
                elif pipe.whole:  # its time counts already
                    self.deadline_timer = self.upstream.loop.deadlines.add(attempt.deadline, self.expired)
                    unsent, pipe = memoryview(self.flow.encode_end()), None
                elif pipe.broken:
                    return False
            if unsent:
                size_before, unsent = len(unsent), write(self.sock, unsent)
                if len(unsent) < size_before:
                    self.progress_at = clock()
            elif pipe is not None:
                self.progress_at = clock()  # it is the client that has to go on
            if not unsent and pipe is None:
                if message.rest is not None:
                    self.stop_stall_timer()
                return True
            if unsent or not (pipe and (pipe.parts or pipe.whole or pipe.broken)):
                if (yield READ | (WRITE if unsent else 0)) & READ:
                    self.receive()
                    if self.result is not None:
                        return False

    def stream_response(self) -> Generator[int, int, bool]:
        """Pass the rest of an answer on in pieces, as the client takes them; the attempt has been served."""
        pipe, result, codec = self.flow.rest, self.result, self.flow
        assert pipe is not None and result is not None
        attempt = self.detach_attempt()
        pipe.to_writer = self.task.wake
        try:
            if attempt is not None:
                attempt.ended(attempt, result.outcome, result.served)
            self.start_stall_timer(STREAM_STALL_TIMEOUT_MS, self.stream_stalled)
            while not codec.ended and not pipe.closed:
                full = pipe.full
                if (yield 0 if full else READ) or not full:
                    self.receive()
                if full:
                    self.progress_at = clock()  # it is the client that has to go on
        except OSError:
            pass
        finally:
            self.stop_stall_timer()
            pipe.to_writer = nothing
            if not codec.ended:
                codec.end_stream(complete=False)
        return self.keep_or_close(pipe.whole and self.finish_response(), Cause.TOLD)

    def receive(self) -> None:
        try:
            if self.upstream.buffers.receive(self.sock, self.feed):
                self.progress_at = clock()
        except BlockingIOError:
            pass

    def feed(self, data: memoryview) -> None:
        self.result = self.flow.receive(data)

    def start_stall_timer(self, timeout_ms: float, on_stall: Callable[[], None]) -> None:
        """Have something called once the peer has not moved for a span of milliseconds."""
        self.stop_stall_timer()
        self.progress_at = clock()
        self.schedule_stall_check(timeout_ms, on_stall)

    def schedule_stall_check(self, timeout_ms: float, on_stall: Callable[[], None]) -> None:
        check = partial(self.check_stall, timeout_ms, on_stall, self.progress_at)
        self.stall = self.upstream.loop.deadlines.add(self.progress_at + timeout_ms, check)

    def check_stall(self, timeout_ms: float, on_stall: Callable[[], None], since: float) -> None:
        self.stall = None
        if self.progress_at > since:
            self.schedule_stall_check(timeout_ms, on_stall)
        else:
            on_stall()

    def stop_stall_timer(self) -> None:
        self.upstream.loop.deadlines.remove(self.stall)
        self.stall = None

    def retry_on_another(self, cause: Cause) -> bool:
        """The request has not run, which is proven: the last byte of it was not written.

        On a connection that stood idle this tells nothing of the member, and another is tried at once; each
        such try has one idle connection less, so there is an end to it.
        """
        planner, held, now, attempt = self.planner, self.held, clock(), self.attempt
        assert attempt is not None
        same_process = (
            held.line is self.member.line and not held.line.left
        )  # still the life that the module chose
        same_process = same_process and not attempt.message.partly_sent
        if held.age < 0 or not same_process or not planner.settings.rescue or now >= attempt.deadline:
            return self.finish_attempt(Outcome.CONNECT_FAILED, cause=cause)
        self.detach_attempt()
        self.close_cause = cause
        planner.rescued += 1
        planner.closed(held, now, cause)  # first, as what comes instead needs its room
        self.upstream.assign(attempt, self.member)
        return False

    def connection_reset(self) -> bool:
        """The connection ended under a request that was written whole: it may have run."""
        if self.written_at is not None and not self.flow.begun:
            self.planner.lost(self.held, clock(), self.written_at, reset=True)
        if self.flow.rest is not None:  # it had just been found to take its time, and nobody has it yet
            self.flow.rest.stop()
        return self.finish_attempt(Outcome.RESET, cause=Cause.RESET)

    def detach_attempt(self) -> "Attempt | Probe | None":
        """Let go of the attempt, whatever becomes of it."""
        deadlines, attempt, self.attempt = self.upstream.loop.deadlines, self.attempt, None
        deadlines.remove(self.deadline_timer)
        self.stop_stall_timer()
        if attempt is not None and attempt.message.rest is not None:
            attempt.message.rest.to_reader = nothing
        if attempt is not None:
            attempt.carriage = None
        return attempt

    def finish_attempt(
        self,
        outcome: Outcome,
        served: Served | None = None,
        reusable: bool = False,
        cause: Cause = Cause.FAULT,
    ) -> bool:
        """Tell what the attempt came to; whether the connection was kept, else it ends for a cause.

        It is offered before the outcome is told, as the module may send the next attempt on hearing of it.
        """
        attempt = self.detach_attempt()
        kept = self.keep_or_close(reusable, cause)
        if attempt is not None:  # none was waiting for a connection opened ahead
            attempt.ended(attempt, outcome, served)
        return kept

    def keep_or_close(self, reusable: bool, cause: Cause) -> bool:
        """Offer the connection for another request; whether it was kept, else it ends for a cause."""
        cause_to_close = self.planner.done(self.held, clock()) if reusable else cause
        if cause_to_close is not None:
            self.close_cause = cause_to_close
            self.planner.closed(self.held, clock(), cause_to_close)
        return cause_to_close is None

    def connect_timed_out(self) -> None:
        self.finish_attempt(Outcome.CONNECT_FAILED, cause=Cause.REFUSED)
        self.close(Cause.REFUSED)

    def expired(self) -> None:
        """The attempt's time is up; it has not run unless it was written whole.

        What came in time may be unread: it is read first, and the limit waits for the next sweep. No peek is
        taken here: one that met a reset would have the read after it see a whole end.
        """
        if self.written_at is not None and not self.rechecked:
            self.rechecked, self.deadline_timer = (
                True,
                self.upstream.loop.deadlines.add(clock(), self.expired),
            )
            self.task.wake()
            return
        if self.written_at is not None and not self.flow.begun:
            self.planner.lost(self.held, clock(), self.written_at, reset=False)
        self.finish_attempt(
            Outcome.TIMEOUT if self.written_at is not None else Outcome.NOT_SENT, cause=Cause.GIVEN_UP
        )
        self.close(Cause.GIVEN_UP)

    def hurry(self) -> None:
        """The answer takes its time: it is passed on as it comes, or it is waited for a little more."""
        self.stall, self.result = None, self.flow.stream_if_possible()
        if self.result is None:
            self.start_stall_timer(RESPONSE_STALL_TIMEOUT_MS, self.response_stalled)
        self.task.wake()

    def stream_stalled(self) -> None:
        """The peer does not go on with what is passed on in pieces."""
        if self.attempt is not None:
            self.finish_attempt(
                Outcome.NOT_SENT if self.written_at is None else Outcome.ERROR, cause=Cause.GIVEN_UP
            )
        self.close(Cause.GIVEN_UP)

    def response_stalled(self) -> None:
        """The answer began and does not go on: it may have run, and nothing more will come of it."""
        self.finish_attempt(Outcome.ERROR, cause=Cause.GIVEN_UP)
        self.close(Cause.GIVEN_UP)

    def healthy(self) -> bool:
        """Whether nothing has come on an idle connection, not even its end; else it ends for a cause."""
        try:
            self.close_cause = Cause.STRAY if self.sock.recv(1, socket.MSG_PEEK) else Cause.ENDED
        except BlockingIOError:
            return True
        except OSError:
            self.close_cause = Cause.ENDED
        return False

    def close(self, cause: Cause) -> None:
        """Close the connection; an attempt that is given up tells no outcome from here."""
        self.close_cause = cause
        self.detach_attempt()
        self.planner.closed(self.held, clock(), cause)  # its coroutine may be running, and end a little later
        self.task.stop()

    def clean_up(self) -> None:
        self.upstream.loop.deadlines.remove(self.connect_timer)
        self.planner.closed(self.held, clock(), self.close_cause)
        if self.attempt is not None:  # only a fault leaves it here
            self.finish_attempt(Outcome.CONNECT_FAILED if self.written_at is None else Outcome.RESET)
