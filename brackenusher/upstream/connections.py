"""I/O driver of the connections to pool members: sockets and timeouts around the codec."""

import logging
import socket
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import partial
from typing import Any

from barleybarrow import interface as face
from barleybarrow.connection_records import CloseReason, PooledConnection
from barleybarrow.interface import Outcome
from barleybarrow.settings import REPORT_FIELDS
from brackenusher.core.message import Message
from brackenusher.core.pipe import PipeBudget, PipeEnd, no_op
from brackenusher.core.transaction import Attempt, Served, Transactions
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import RESOURCE_ERRNOS, start_connect, write
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop, clock
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.flow import AttemptResult, UpstreamCodec
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger(__name__)

DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # unless the settings have one
RESPONSE_STALL_TIMEOUT_MS = 250.0  # between bytes of a response that is forwarded once complete
STREAM_AFTER_MS = 150.0  # after its first byte, a response of unknown length is streamed
STREAM_STALL_TIMEOUT_MS = 10_000.0  # between bytes of a streamed response
REQUEST_STALL_TIMEOUT_MS = 5_000.0  # in which a member has to accept some of a streamed request body


class Upstream:
    """Carries out attempts at pool members."""

    def __init__(
        self,
        loop: EventLoop,
        pool: Pool,
        settings: face.Settings,
        max_connections: int,
        buffers: BufferPool,
        budget: PipeBudget | None = None,
    ) -> None:
        self.loop, self.pool, self.settings, self.max_connections, self.buffers = (
            loop,
            pool,
            settings,
            max_connections,
            buffers,
        )
        self.budget = budget  # of streamed responses; None: responses are not streamed
        self.connect_timeout_ms = settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_MS
        self.planner = pool.planner
        self.planner.capacity = max_connections
        self.written_attempts = 0  # attempts written completely, without probes
        self.sweep_scheduled = False  # a sweep of the planner is scheduled
        self.reported_counts: Counter[tuple[str, str]] = Counter()  # by name and cause
        # set by the creator of the transactions, which need this object first
        self.transactions: Transactions
        self.watch = lambda: None

    def start(self, attempt: "Attempt | Probe") -> None:
        """Start an attempt on an idle connection or on a new one."""
        self.assign(attempt, self.pool.members[attempt.backend])

    def assign(self, attempt: "Attempt | Probe", member: Member) -> None:
        idle_link = self.pool.take_idle(member, attempt.message.method == b"GET")
        link = idle_link if idle_link is not None else self.connect(member)
        if isinstance(link, Outcome):
            attempt.on_end(attempt, link, None)
        else:
            link.assign(attempt)

    def connect(self, member: Member, ahead: bool = False) -> "ServerLink | Outcome":
        planner, now = self.planner, clock()
        if member.line.removed or not planner.may_open(member.line, now):
            return Outcome.NOT_SENT
        if planner.connection_count >= planner.capacity and (ahead or not self.pool.evict_idle()):
            return Outcome.NOT_SENT
        try:
            sock, done = start_connect(member.address)
        except OSError as error:
            if error.errno not in RESOURCE_ERRNOS:
                planner.on_connect_refused(member.line, now)
                return Outcome.CONNECT_FAILED
            if not ahead:
                self.pool.evict_idle()
            return Outcome.NOT_SENT
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.timers.add(now + planner.sweep_interval_ms, self.sweep)
        return ServerLink(self, member, sock, done, ahead)

    def sweep(self) -> None:
        """Close and open connections as the planner says."""
        expired, lines_to_open = self.planner.sweep(clock())
        for held, cause in expired:
            held.link.close(cause)
        for line in lines_to_open:
            member = self.pool.members.get(line.name)
            if member is not None and member.line is line:
                self.connect(member, ahead=True)
        self.sweep_scheduled = bool(self.planner.active_servers)
        if self.sweep_scheduled:
            self.loop.timers.add(clock() + self.planner.sweep_interval_ms, self.sweep)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """Counter increments since the last call, and the numbers of open connections."""
        planner = self.planner
        counts = {
            ("connections_closed", cause.value): count for cause, count in planner.closed_by_cause.items()
        }
        counts["connections_opened", ""] = planner.opened
        counts["connections_opened_ahead", ""] = planner.preconnected
        counts["connections_reused", ""] = planner.reused
        counts["connections_not_opened", ""] = planner.blocked_by_cap
        counts["requests_moved", ""] = planner.moved_requests
        changes = [
            (name, count - self.reported_counts[name, cause], "c", [("cause", cause)] if cause else [])
            for (name, cause), count in counts.items()
            if count > self.reported_counts[name, cause]
        ]
        self.reported_counts = Counter(counts)
        idle = sum(len(line.idle) for line in planner.active_servers)
        return [
            *changes,
            ("connections_held", planner.connection_count, "g", []),
            ("connections_idle", idle, "g", []),
        ]

    def cancel(self, attempt: Attempt) -> None:
        if attempt.link is not None:
            attempt.link.close(CloseReason.GIVEN_UP)

    def disconnect(self, backend: str) -> None:
        member = self.pool.members.get(backend)
        if member is not None:
            member.close_idle()

    def probe(self, backend: str) -> None:
        """Request a member's load report, or its health if members do not report."""
        reports = bool(self.settings.probe_reports)
        message = Message(b"GET", b"/stats" if reports else b"/health/live")
        now = clock()
        self.start(Probe(backend, message, now, now + self.connect_timeout_ms, self.probe_ended))

    def probe_ended(self, probe: "Probe", outcome: Outcome, served: Served | None) -> None:
        report = read_report(served.content.body) if served and self.settings.probe_reports else None
        self.transactions.post(face.Probed(probe.backend, outcome, clock() - probe.sent_at, report))


@dataclass(slots=True)
class Probe:
    """A health probe: sent like an attempt, but without a transaction."""

    backend: str
    message: Message
    sent_at: float
    deadline: float
    on_end: Callable[[Any, Outcome, Served | None], None]  # as of an attempt
    link: "ServerLink | None" = None
    response_started_at: float = 0.0


def read_report(body: bytes) -> dict[str, float]:
    """Parse name=value pairs, ignoring unknown names."""
    report = {}
    for pair in body.decode("utf-8", "replace").strip().split(","):
        name, _, value = pair.partition("=")
        if name in REPORT_FIELDS:
            try:
                report[REPORT_FIELDS[name]] = float(value)
            except ValueError:
                log_event(
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
        self.held: PooledConnection = self.planner.begin_connect(member.line, self, clock(), ahead)
        self.attempt: Attempt | Probe | None = None
        self.connect_timer: Timer | None = None
        self.deadline_timer: Timer | None = None
        self.stall_timer: Timer | None = None
        self.written_at: float | None = None  # when the present request was written completely
        self.rechecked = False  # a last read was made after the deadline
        self.close_cause = CloseReason.FAULT
        self.codec = UpstreamCodec(f"{member.address[0]}:{member.address[1]}".encode(), upstream.budget)
        self.progress_at = 0.0  # when the peer last accepted or sent bytes
        self.result: AttemptResult | None = None
        if not connected:
            until = clock() + upstream.connect_timeout_ms
            self.connect_timer = upstream.loop.timers.add(until, self.connect_timed_out)
        self.task = upstream.loop.spawn(self.run(connected), sock)

    def assign(self, attempt: "Attempt | Probe") -> None:
        """Start an attempt on this connection."""
        self.attempt, self.written_at, self.rechecked, attempt.link = attempt, None, False, self
        if attempt.message.body_pipe is None:  # else its timeout starts with the last byte of its body
            self.deadline_timer = self.upstream.loop.timers.add(attempt.deadline, self.deadline_reached)
        self.task.wake()

    def run(self, connected: bool) -> Coroutine:
        try:
            if not connected:
                while not (yield WRITE):
                    pass  # woken because an attempt was assigned
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.finish_attempt(Outcome.CONNECT_FAILED, cause=CloseReason.REFUSED)
                    return
            self.upstream.loop.timers.remove(self.connect_timer)
            if not self.planner.on_connected(self.held, clock()):
                self.close_cause = CloseReason.LEFT
                return
            while True:
                while self.attempt is None:
                    if (yield READ) and self.attempt is None and not self.healthy():
                        return  # closed by the peer, or unsolicited data
                if not (yield from self.exchange()):
                    return
        finally:
            self.clean_up()

    def exchange(self) -> Generator[int, int, bool]:
        """Carry out one request; return whether the connection can be reused."""
        if not self.upstream.pool.may_send(self.member):
            # it waited for the connect until after the drain limit
            return self.finish_attempt(Outcome.CONNECT_FAILED, cause=CloseReason.LEFT)
        if not self.healthy():
            return self.retry_on_another(self.close_cause)
        attempt, self.result = self.attempt, None
        assert attempt is not None
        if isinstance(attempt, Attempt) and not self.upstream.transactions.may_start(attempt):
            # not this connection's fault; if the attempt was cancelled meanwhile, the connection is closed
            return self.attempt is not None and self.finish_attempt(Outcome.NOT_SENT, reusable=True)
        try:
            written = yield from self.send_request(attempt)
        except OSError:
            return self.retry_on_another(CloseReason.UNWRITTEN)
        if not written:  # the member responded or closed early, or the client is gone
            early_result: AttemptResult | None = self.result
            if early_result is None:
                return self.finish_attempt(Outcome.NOT_SENT, cause=CloseReason.GIVEN_UP)
            if early_result.outcome is Outcome.RESET:
                return self.retry_on_another(CloseReason.UNWRITTEN)
            if self.codec.body_pipe is not None:
                return (yield from self.stream_response())
            return self.finish_attempt(early_result.outcome, early_result.served, cause=CloseReason.TOLD)
        self.written_at = clock()
        if isinstance(attempt, Attempt):
            self.upstream.written_attempts += 1
        try:
            while self.result is None:
                yield READ
                self.receive()
                if self.stall_timer is None and self.codec.response_started and self.result is None:
                    attempt.response_started_at = clock()
                    self.stall_timer = self.upstream.loop.timers.add(
                        attempt.response_started_at + STREAM_AFTER_MS, self.stream_or_wait
                    )
        except OSError:
            return self.connection_reset()
        if self.result.outcome is Outcome.RESET:
            return self.connection_reset()
        if self.codec.body_pipe is not None:
            return (yield from self.stream_response())
        result, reusable = self.result, self.finish_response()
        return self.finish_attempt(result.outcome, result.served, reusable, CloseReason.TOLD)

    def finish_response(self) -> bool:
        """Handle a complete response; return whether the connection can be reused."""
        self.planner.on_answer(self.held, clock())
        reusable = self.codec.prepare_next()
        if self.codec.keep_alive_s is not None:
            self.planner.on_idle_timeout_announced(self.held, self.codec.keep_alive_s * 1000.0)
        return reusable

    def send_request(self, attempt: "Attempt | Probe") -> Generator[int, int, bool]:
        """Write a request with its whole body; False if it could not be written completely.

        `result` is then set if the member responded or closed; otherwise the client did not go on.
        """
        message, pipe = attempt.message, attempt.message.body_pipe
        unsent = memoryview(self.codec.encode_request(message, attempt.deadline - clock()))
        if pipe is not None:
            pipe.wake_reader = self.task.wake
            self.start_stall_timer(REQUEST_STALL_TIMEOUT_MS, self.stream_stalled)
        while True:
            if not unsent and pipe is not None:
                if pipe.closed and pipe.end is not PipeEnd.WHOLE:
                    return False
                if pipe.chunks:
                    message.partly_sent = True
                    unsent = memoryview(self.codec.encode_body(pipe.read()))
                elif pipe.complete:  # its timeout has started
                    self.deadline_timer = self.upstream.loop.timers.add(
                        attempt.deadline, self.deadline_reached
                    )
                    unsent, pipe = memoryview(self.codec.encode_end()), None
                elif pipe.broken:
                    return False
            if unsent:
                size_before, unsent = len(unsent), write(self.sock, unsent)
                if len(unsent) < size_before:
                    self.progress_at = clock()
            elif pipe is not None:
                self.progress_at = clock()  # waits for the client, not for the member
            if not unsent and pipe is None:
                if message.body_pipe is not None:
                    self.stop_stall_timer()
                return True
            if unsent or not (pipe and (pipe.chunks or pipe.complete or pipe.broken)):
                if (yield READ | (WRITE if unsent else 0)) & READ:
                    self.receive()
                    if self.result is not None:
                        return False

    def stream_response(self) -> Generator[int, int, bool]:
        """Stream the rest of a response at the client's pace; the attempt counts as served."""
        pipe, result, codec = self.codec.body_pipe, self.result, self.codec
        assert pipe is not None and result is not None
        attempt = self.detach_attempt()
        pipe.wake_writer = self.task.wake
        try:
            if attempt is not None:
                attempt.on_end(attempt, result.outcome, result.served)
            self.start_stall_timer(STREAM_STALL_TIMEOUT_MS, self.stream_stalled)
            while not codec.ended and not pipe.closed:
                full = pipe.full
                if (yield 0 if full else READ) or not full:
                    self.receive()
                if full:
                    self.progress_at = clock()  # waits for the client, not for the member
        except OSError:
            pass
        finally:
            self.stop_stall_timer()
            pipe.wake_writer = no_op
            if not codec.ended:
                codec.end_stream(complete=False)
        return self.keep_or_close(pipe.complete and self.finish_response(), CloseReason.TOLD)

    def receive(self) -> None:
        try:
            if self.upstream.buffers.receive(self.sock, self.feed):
                self.progress_at = clock()
        except BlockingIOError:
            pass

    def feed(self, data: memoryview) -> None:
        self.result = self.codec.receive(data)

    def start_stall_timer(self, timeout_ms: float, on_stall: Callable[[], None]) -> None:
        """Have `on_stall` called once the peer has made no progress for this time."""
        self.stop_stall_timer()
        self.progress_at = clock()
        self.schedule_stall_check(timeout_ms, on_stall)

    def schedule_stall_check(self, timeout_ms: float, on_stall: Callable[[], None]) -> None:
        check = partial(self.check_stall, timeout_ms, on_stall, self.progress_at)
        self.stall_timer = self.upstream.loop.timers.add(self.progress_at + timeout_ms, check)

    def check_stall(self, timeout_ms: float, on_stall: Callable[[], None], since: float) -> None:
        self.stall_timer = None
        if self.progress_at > since:
            self.schedule_stall_check(timeout_ms, on_stall)
        else:
            on_stall()

    def stop_stall_timer(self) -> None:
        self.upstream.loop.timers.remove(self.stall_timer)
        self.stall_timer = None

    def retry_on_another(self, cause: CloseReason) -> bool:
        """Handle a request that cannot have been executed, as its last byte was not written.

        On a connection that was idle this says nothing about the member, and the request is retried at once
        on another connection. Each such retry uses up one idle connection, so their number is bounded.
        """
        planner, held, now, attempt = self.planner, self.held, clock(), self.attempt
        assert attempt is not None
        # Whether this is still the process that the policy chose.
        same_process = held.server is self.member.line and not held.server.removed
        same_process = same_process and not attempt.message.partly_sent
        if (
            held.idle_before_use < 0
            or not same_process
            or not planner.settings.retry_unsent
            or now >= attempt.deadline
        ):
            return self.finish_attempt(Outcome.CONNECT_FAILED, cause=cause)
        self.detach_attempt()
        self.close_cause = cause
        planner.moved_requests += 1
        planner.on_closed(held, now, cause)  # first, as its replacement counts towards the limit
        self.upstream.assign(attempt, self.member)
        return False

    def connection_reset(self) -> bool:
        """Handle the loss of the connection after a request was written: it may have been executed."""
        if self.written_at is not None and not self.codec.response_started:
            self.planner.on_request_lost(self.held, clock(), self.written_at, reset=True)
        if self.codec.body_pipe is not None:  # streaming had just started, and nobody reads the pipe yet
            self.codec.body_pipe.close()
        return self.finish_attempt(Outcome.RESET, cause=CloseReason.RESET)

    def detach_attempt(self) -> "Attempt | Probe | None":
        """Detach the attempt from this connection, and cancel its timers."""
        deadlines, attempt, self.attempt = self.upstream.loop.timers, self.attempt, None
        deadlines.remove(self.deadline_timer)
        self.stop_stall_timer()
        if attempt is not None and attempt.message.body_pipe is not None:
            attempt.message.body_pipe.wake_reader = no_op
        if attempt is not None:
            attempt.link = None
        return attempt

    def finish_attempt(
        self,
        outcome: Outcome,
        served: Served | None = None,
        reusable: bool = False,
        cause: CloseReason = CloseReason.FAULT,
    ) -> bool:
        """Report the outcome of the attempt; return whether the connection is kept.

        The connection is returned to the pool first, as the policy may react with the next attempt.
        """
        attempt = self.detach_attempt()
        kept = self.keep_or_close(reusable, cause)
        if attempt is not None:  # a connection opened ahead of need has none
            attempt.on_end(attempt, outcome, served)
        return kept

    def keep_or_close(self, reusable: bool, cause: CloseReason) -> bool:
        """Offer the connection for reuse; return whether it was kept, or else closes for a cause."""
        cause_to_close = self.planner.release(self.held, clock()) if reusable else cause
        if cause_to_close is not None:
            self.close_cause = cause_to_close
            self.planner.on_closed(self.held, clock(), cause_to_close)
        return cause_to_close is None

    def connect_timed_out(self) -> None:
        self.finish_attempt(Outcome.CONNECT_FAILED, cause=CloseReason.REFUSED)
        self.close(CloseReason.REFUSED)

    def deadline_reached(self) -> None:
        """Handle the attempt's deadline; it cannot have been executed unless it was written completely.

        A response that arrived in time may be unread: it is read first, and the deadline is checked again at
        the next sweep. There is no MSG_PEEK here: if that met a reset, the next read would see a plain EOF.
        """
        if self.written_at is not None and not self.rechecked:
            self.rechecked, self.deadline_timer = (
                True,
                self.upstream.loop.timers.add(clock(), self.deadline_reached),
            )
            self.task.wake()
            return
        if self.written_at is not None and not self.codec.response_started:
            self.planner.on_request_lost(self.held, clock(), self.written_at, reset=False)
        self.finish_attempt(
            Outcome.TIMEOUT if self.written_at is not None else Outcome.NOT_SENT, cause=CloseReason.GIVEN_UP
        )
        self.close(CloseReason.GIVEN_UP)

    def stream_or_wait(self) -> None:
        """Handle a slow response: stream it if possible, or else wait for it until it stalls."""
        self.stall_timer, self.result = None, self.codec.stream_if_possible()
        if self.result is None:
            self.start_stall_timer(RESPONSE_STALL_TIMEOUT_MS, self.response_stalled)
        self.task.wake()

    def stream_stalled(self) -> None:
        """Handle a peer that makes no progress on a streamed body."""
        if self.attempt is not None:
            self.finish_attempt(
                Outcome.NOT_SENT if self.written_at is None else Outcome.ERROR, cause=CloseReason.GIVEN_UP
            )
        self.close(CloseReason.GIVEN_UP)

    def response_stalled(self) -> None:
        """Handle a response that has stopped halfway: the request may have been executed."""
        self.finish_attempt(Outcome.ERROR, cause=CloseReason.GIVEN_UP)
        self.close(CloseReason.GIVEN_UP)

    def healthy(self) -> bool:
        """Whether an idle connection has neither data nor an end of stream pending; else set the cause."""
        try:
            self.close_cause = CloseReason.STRAY if self.sock.recv(1, socket.MSG_PEEK) else CloseReason.ENDED
        except BlockingIOError:
            return True
        except OSError:
            self.close_cause = CloseReason.ENDED
        return False

    def close(self, cause: CloseReason) -> None:
        """Close the connection; reports no outcome of its attempt."""
        self.close_cause = cause
        self.detach_attempt()
        self.planner.on_closed(self.held, clock(), cause)  # its coroutine may be running and end later
        self.task.stop()

    def clean_up(self) -> None:
        self.upstream.loop.timers.remove(self.connect_timer)
        self.planner.on_closed(self.held, clock(), self.close_cause)
        if self.attempt is not None:  # left here only by an unexpected failure
            self.finish_attempt(Outcome.CONNECT_FAILED if self.written_at is None else Outcome.RESET)
