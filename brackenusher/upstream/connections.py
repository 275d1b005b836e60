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
from brackenusher.upstream.flow import Flow, Reply
from brackenusher.upstream.pool import Member, Pool

log = logging.getLogger(__name__)

CONNECT_TIME = 1000.0  # where the settings name none
ANSWER_TIME = 250.0  # an answer that has begun and is to be whole before it is passed on goes on in this time
HASTE = 150.0  # one that does not say how long it is is passed on as it comes, from so long after its begin
PASS_TIME = 10_000.0  # an answer that is passed on in pieces goes on in this time
BODY_TIME = 5_000.0  # a member takes some more of a body in this time


class Upstream:
    """Carries attempts to pool members."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        settings: face.Settings,
        room: int,
        buffers: Buffers,
        budget: Budget | None = None,
    ) -> None:
        self.loop, self.pool, self.settings, self.room, self.buffers = loop, pool, settings, room, buffers
        self.budget = budget  # for answers that are passed on in pieces; none: there are none
        self.connect_time = settings.connect_timeout or CONNECT_TIME
        self.planner = pool.planner
        self.planner.room = room
        self.written = 0  # attempts that were written whole, probes apart
        self.ticking = False  # the planner's sweep is due at some time
        self.told: Counter[tuple[str, str]] = Counter()  # counters as they were told last, by name and cause
        self.owner: Transactions  # set by who makes the transactions, which need this first
        self.watch = lambda: None

    def start(self, attempt: "Attempt | Probe") -> None:
        """Send an attempt on an idle connection, or on a new one."""
        self.place(attempt, self.pool.members[attempt.backend])

    def place(self, attempt: "Attempt | Probe", member: Member) -> None:
        lent = self.pool.lend(member, attempt.message.method == b"GET")
        link = lent if lent is not None else self.connect(member)
        if isinstance(link, Outcome):
            attempt.ended(attempt, link, None)
        else:
            link.carry(attempt)

    def connect(self, member: Member, ahead: bool = False) -> "ServerLink | Outcome":
        planner, now = self.planner, clock()
        if member.line.left or not planner.may_open(member.line, now):
            return Outcome.NOT_SENT
        if planner.total >= planner.room and (ahead or not self.pool.spare()):
            return Outcome.NOT_SENT
        try:
            sock, done = open_socket(member.address)
        except OSError as error:
            if error.errno not in SHORTAGE:
                planner.not_opened(member.line, now)
                return Outcome.CONNECT_FAILED
            if not ahead:
                self.pool.spare()
            return Outcome.NOT_SENT
        if not self.ticking:
            self.ticking = True
            self.loop.deadlines.add(now + planner.every, self.tick)
        return ServerLink(self, member, sock, done, ahead)

    def tick(self) -> None:
        """Retire what is due, and open ahead what is wanted, as the planner says."""
        due, wanted = self.planner.sweep(clock())
        for held, cause in due:
            held.link.close(cause)
        for line in wanted:
            member = self.pool.members.get(line.name)
            if member is not None and member.line is line:
                self.connect(member, ahead=True)
        self.ticking = bool(self.planner.active)
        if self.ticking:
            self.loop.deadlines.add(clock() + self.planner.every, self.tick)

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """What came to be counted since the last call, and how many connections are held."""
        planner = self.planner
        counted = {("connections_closed", cause.value): count for cause, count in planner.closes.items()}
        counted["connections_opened", ""] = planner.opened
        counted["connections_opened_ahead", ""] = planner.opened_ahead
        counted["connections_reused", ""] = planner.reused
        counted["connections_not_opened", ""] = planner.full
        counted["requests_moved", ""] = planner.rescued
        news = [
            (name, count - self.told[name, cause], "c", [("cause", cause)] if cause else [])
            for (name, cause), count in counted.items()
            if count > self.told[name, cause]
        ]
        self.told = Counter(counted)
        idle = sum(len(line.idle) for line in planner.active)
        return [*news, ("connections_held", planner.total, "g", []), ("connections_idle", idle, "g", [])]

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
        self.start(Probe(backend, message, now, now + self.connect_time, self.probed))

    def probed(self, probe: "Probe", outcome: Outcome, served: Served | None) -> None:
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
    began_at: float = 0.0


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
        self.limit: Entry | None = None
        self.expiry: Entry | None = None
        self.stall: Entry | None = None
        self.wrote: float | None = None  # when the present request was written whole
        self.looked = False  # its time was up, and it was looked once more for an answer
        self.cause = Cause.FAULT
        self.flow = Flow(f"{member.address[0]}:{member.address[1]}".encode(), upstream.budget)
        self.moved_at = 0.0  # when the peer last took or gave something
        self.reply: Reply | None = None
        if not connected:
            until = clock() + upstream.connect_time
            self.limit = upstream.loop.deadlines.add(until, self.not_connected)
        self.task = upstream.loop.spawn(self.run(connected), sock)

    def carry(self, attempt: "Attempt | Probe") -> None:
        """Take on an attempt."""
        self.attempt, self.wrote, self.looked, attempt.carriage = attempt, None, False, self
        if attempt.message.rest is None:  # else its time counts from the last byte of its body
            self.expiry = self.upstream.loop.deadlines.add(attempt.deadline, self.expired)
        self.task.wake()

    def run(self, connected: bool) -> Coroutine:
        try:
            if not connected:
                while not (yield WRITE):
                    pass  # an attempt was taken on meanwhile
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.done(Outcome.CONNECT_FAILED, cause=Cause.REFUSED)
                    return
            self.upstream.loop.deadlines.remove(self.limit)
            if not self.planner.up(self.held, clock()):
                self.cause = Cause.LEFT
                return
            while True:
                while self.attempt is None:
                    if (yield READ) and self.attempt is None and not self.healthy():
                        return  # it has ended, or sent what nobody asked for
                if not (yield from self.exchange()):
                    return
        finally:
            self.forget()

    def exchange(self) -> Generator[int, int, bool]:
        """One request and its answer; whether the connection can carry another."""
        if not self.upstream.pool.may_begin(self.member):
            return self.done(Outcome.CONNECT_FAILED, cause=Cause.LEFT)  # queued on the connect past the limit
        if not self.healthy():
            return self.elsewhere(self.cause)
        attempt, self.reply = self.attempt, None
        assert attempt is not None
        if isinstance(attempt, Attempt) and not self.upstream.owner.wanted(attempt):
            # it is none of this connection's; where it was cancelled on that account, this one is closed
            return self.attempt is not None and self.done(Outcome.NOT_SENT, keep=True)
        try:
            whole = yield from self.send(attempt)
        except OSError:
            return self.elsewhere(Cause.UNWRITTEN)
        if not whole:  # it answered or ended before it had the whole request, or the client went
            early: Reply | None = self.reply
            if early is None:
                return self.done(Outcome.NOT_SENT, cause=Cause.GIVEN_UP)
            if early.outcome is Outcome.RESET:
                return self.elsewhere(Cause.UNWRITTEN)
            if self.flow.rest is not None:
                return (yield from self.pass_on())
            return self.done(early.outcome, early.served, cause=Cause.TOLD)
        self.wrote = clock()
        if isinstance(attempt, Attempt):
            self.upstream.written += 1
        try:
            while self.reply is None:
                yield READ
                self.read()
                if self.stall is None and self.flow.begun and self.reply is None:
                    attempt.began_at = clock()
                    self.stall = self.upstream.loop.deadlines.add(attempt.began_at + HASTE, self.hurry)
        except OSError:
            return self.broken()
        if self.reply.outcome is Outcome.RESET:
            return self.broken()
        if self.flow.rest is not None:
            return (yield from self.pass_on())
        reply, keep = self.reply, self.renew()
        return self.done(reply.outcome, reply.served, keep, Cause.TOLD)

    def renew(self) -> bool:
        """An answer has come whole; whether the connection can carry another."""
        self.planner.answered(self.held, clock())
        keep = self.flow.renew()
        if self.flow.promised is not None:
            self.planner.promised(self.held, self.flow.promised * 1000.0)
        return keep

    def send(self, attempt: "Attempt | Probe") -> Generator[int, int, bool]:
        """Write a request with all of its body, however that comes; False if it was not written whole.

        `reply` then says what came instead; without one it is the client that does not go on.
        """
        message, body = attempt.message, attempt.message.rest
        rest = memoryview(self.flow.request(message, attempt.deadline - clock()))
        if body is not None:
            body.to_reader = self.task.wake
            self.watch(BODY_TIME, self.stuck)
        while True:
            if not rest and body is not None:
                if body.stopped and body.end is not End.WHOLE:
                    return False
                if body.parts:
                    message.spent = True
                    rest = memoryview(self.flow.piece(body.take()))
                elif body.whole:  # its time counts already
                    self.expiry = self.upstream.loop.deadlines.add(attempt.deadline, self.expired)
                    rest, body = memoryview(self.flow.last()), None
                elif body.broken:
                    return False
            if rest:
                before, rest = len(rest), write(self.sock, rest)
                if len(rest) < before:
                    self.moved_at = clock()
            elif body is not None:
                self.moved_at = clock()  # it is the client that has to go on
            if not rest and body is None:
                if message.rest is not None:
                    self.unwatch()
                return True
            if rest or not (body and (body.parts or body.whole or body.broken)):
                if (yield READ | (WRITE if rest else 0)) & READ:
                    self.read()
                    if self.reply is not None:
                        return False

    def pass_on(self) -> Generator[int, int, bool]:
        """Pass the rest of an answer on in pieces, as the client takes them; the attempt has been served."""
        pipe, reply, flow = self.flow.rest, self.reply, self.flow
        assert pipe is not None and reply is not None
        attempt = self.release()
        pipe.to_writer = self.task.wake
        try:
            if attempt is not None:
                attempt.ended(attempt, reply.outcome, reply.served)
            self.watch(PASS_TIME, self.stuck)
            while not flow.done and not pipe.stopped:
                full = pipe.full
                if (yield 0 if full else READ) or not full:
                    self.read()
                if full:
                    self.moved_at = clock()  # it is the client that has to go on
        except OSError:
            pass
        finally:
            self.unwatch()
            pipe.to_writer = nothing
            if not flow.done:
                flow.end(whole=False)
        return self.kept(pipe.whole and self.renew(), Cause.TOLD)

    def read(self) -> None:
        try:
            if self.upstream.buffers.receive(self.sock, self.take):
                self.moved_at = clock()
        except BlockingIOError:
            pass

    def take(self, data: memoryview) -> None:
        self.reply = self.flow.receive(data)

    def watch(self, span: float, late: Callable[[], None]) -> None:
        """Have something called once the peer has not moved for a span of milliseconds."""
        self.unwatch()
        self.moved_at = clock()
        self.look_later(span, late)

    def look_later(self, span: float, late: Callable[[], None]) -> None:
        look = partial(self.look, span, late, self.moved_at)
        self.stall = self.upstream.loop.deadlines.add(self.moved_at + span, look)

    def look(self, span: float, late: Callable[[], None], since: float) -> None:
        self.stall = None
        if self.moved_at > since:
            self.look_later(span, late)
        else:
            late()

    def unwatch(self) -> None:
        self.upstream.loop.deadlines.remove(self.stall)
        self.stall = None

    def elsewhere(self, cause: Cause) -> bool:
        """The request has not run, which is proven: the last byte of it was not written.

        On a connection that stood idle this tells nothing of the member, and another is tried at once; each
        such try has one idle connection less, so there is an end to it.
        """
        planner, held, now, attempt = self.planner, self.held, clock(), self.attempt
        assert attempt is not None
        same = held.line is self.member.line and not held.line.left  # still the life that the module chose
        same = same and not attempt.message.spent
        if held.age < 0 or not same or not planner.settings.rescue or now >= attempt.deadline:
            return self.done(Outcome.CONNECT_FAILED, cause=cause)
        self.release()
        self.cause = cause
        planner.rescued += 1
        planner.closed(held, now, cause)  # first, as what comes instead needs its room
        self.upstream.place(attempt, self.member)
        return False

    def broken(self) -> bool:
        """The connection ended under a request that was written whole: it may have run."""
        if self.wrote is not None and not self.flow.begun:
            self.planner.lost(self.held, clock(), self.wrote, reset=True)
        if self.flow.rest is not None:  # it had just been found to take its time, and nobody has it yet
            self.flow.rest.stop()
        return self.done(Outcome.RESET, cause=Cause.RESET)

    def release(self) -> "Attempt | Probe | None":
        """Let go of the attempt, whatever becomes of it."""
        deadlines, attempt, self.attempt = self.upstream.loop.deadlines, self.attempt, None
        deadlines.remove(self.expiry)
        self.unwatch()
        if attempt is not None and attempt.message.rest is not None:
            attempt.message.rest.to_reader = nothing
        if attempt is not None:
            attempt.carriage = None
        return attempt

    def done(
        self,
        outcome: Outcome,
        served: Served | None = None,
        keep: bool = False,
        cause: Cause = Cause.FAULT,
    ) -> bool:
        """Tell what the attempt came to; whether the connection was kept, else it ends for a cause.

        It is offered before the outcome is told, as the module may send the next attempt on hearing of it.
        """
        attempt = self.release()
        kept = self.kept(keep, cause)
        if attempt is not None:  # none was waiting for a connection opened ahead
            attempt.ended(attempt, outcome, served)
        return kept

    def kept(self, keep: bool, cause: Cause) -> bool:
        """Offer the connection for another request; whether it was kept, else it ends for a cause."""
        ends = self.planner.done(self.held, clock()) if keep else cause
        if ends is not None:
            self.cause = ends
            self.planner.closed(self.held, clock(), ends)
        return ends is None

    def not_connected(self) -> None:
        self.done(Outcome.CONNECT_FAILED, cause=Cause.REFUSED)
        self.close(Cause.REFUSED)

    def expired(self) -> None:
        """The attempt's time is up; it has not run unless it was written whole.

        What came in time may be unread: it is read first, and the limit waits for the next sweep. No peek is
        taken here: one that met a reset would have the read after it see a whole end.
        """
        if self.wrote is not None and not self.looked:
            self.looked, self.expiry = True, self.upstream.loop.deadlines.add(clock(), self.expired)
            self.task.wake()
            return
        if self.wrote is not None and not self.flow.begun:
            self.planner.lost(self.held, clock(), self.wrote, reset=False)
        self.done(Outcome.TIMEOUT if self.wrote is not None else Outcome.NOT_SENT, cause=Cause.GIVEN_UP)
        self.close(Cause.GIVEN_UP)

    def hurry(self) -> None:
        """The answer takes its time: it is passed on as it comes, or it is waited for a little more."""
        self.stall, self.reply = None, self.flow.hurry()
        if self.reply is None:
            self.watch(ANSWER_TIME, self.stalled)
        self.task.wake()

    def stuck(self) -> None:
        """The peer does not go on with what is passed on in pieces."""
        if self.attempt is not None:
            self.done(Outcome.NOT_SENT if self.wrote is None else Outcome.ERROR, cause=Cause.GIVEN_UP)
        self.close(Cause.GIVEN_UP)

    def stalled(self) -> None:
        """The answer began and does not go on: it may have run, and nothing more will come of it."""
        self.done(Outcome.ERROR, cause=Cause.GIVEN_UP)
        self.close(Cause.GIVEN_UP)

    def healthy(self) -> bool:
        """Whether nothing has come on an idle connection, not even its end; else it ends for a cause."""
        try:
            self.cause = Cause.STRAY if self.sock.recv(1, socket.MSG_PEEK) else Cause.ENDED
        except BlockingIOError:
            return True
        except OSError:
            self.cause = Cause.ENDED
        return False

    def close(self, cause: Cause) -> None:
        """Close the connection; an attempt that is given up tells no outcome from here."""
        self.cause = cause
        self.release()
        self.planner.closed(self.held, clock(), cause)  # its coroutine may be running, and end a little later
        self.task.stop()

    def forget(self) -> None:
        self.upstream.loop.deadlines.remove(self.limit)
        self.planner.closed(self.held, clock(), self.cause)
        if self.attempt is not None:  # only a fault leaves it here
            self.done(Outcome.CONNECT_FAILED if self.wrote is None else Outcome.RESET)
