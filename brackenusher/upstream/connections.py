"""The driver toward pool members: sockets round the flows. It keeps time limits and decides nothing."""

import logging
import socket
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from barleybarrow.settings import REPORTS
from brackenusher.core.message import Message
from brackenusher.core.transaction import Attempt, Served, Transactions
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import SHORTAGE, open_socket, write
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, WRITE, Coroutine, Loop, clock
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.flow import Flow, Reply
from brackenusher.upstream.pool import Connection, Member, Pool

log = logging.getLogger(__name__)

IDLE_SHARE = 0.6  # of the time after which a pool member closes an idle connection
CONNECT_TIME = 1000.0  # where the settings name none
ANSWER_TIME = 250.0  # an answer that has begun must be whole in this time: it is 64 KiB at most, and near


class Upstream:
    """Carries attempts to pool members."""

    def __init__(self, loop: Loop, pool: Pool, settings: face.Settings, room: int, buffers: Buffers) -> None:
        self.loop, self.pool, self.settings, self.room, self.buffers = loop, pool, settings, room, buffers
        self.connect_time = settings.connect_timeout or CONNECT_TIME
        self.idle_time = settings.conn_idle * IDLE_SHARE if settings.conn_idle else float("inf")
        self.links: set[ServerLink] = set()
        self.owner: Transactions  # set by who makes the transactions, which need this first
        self.watch = lambda: None

    def start(self, attempt: "Attempt | Probe") -> None:
        """Send an attempt on an idle connection, or on a new one."""
        member = self.pool.members[attempt.backend]
        link: Connection | Outcome | None = self.pool.lend(member)
        if link is None:
            link = self.connect(member)
        if isinstance(link, Outcome):
            attempt.ended(attempt, link, None)
        else:
            link.carry(attempt)

    def connect(self, member: Member) -> "ServerLink | Outcome":
        if len(self.links) >= self.room and not self.pool.spare():
            return Outcome.NOT_SENT
        try:
            sock, done = open_socket(member.address)
        except OSError as error:
            if error.errno not in SHORTAGE:
                return Outcome.CONNECT_FAILED
            self.pool.spare()
            return Outcome.NOT_SENT
        return ServerLink(self, member, sock, done)

    def cancel(self, attempt: Attempt) -> None:
        if attempt.carriage is not None:
            attempt.carriage.close()

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


def read_report(body: bytes) -> dict[str, float]:
    """Read name=value pairs, leaving aside what is not known."""
    report = {}
    for pair in body.decode("utf-8", "replace").strip().split(","):
        name, _, value = pair.partition("=")
        if name in REPORTS:
            try:
                report[REPORTS[name]] = float(value)
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

    def __init__(self, upstream: Upstream, member: Member, sock: socket.socket, connected: bool) -> None:
        self.upstream, self.member, self.sock = upstream, member, sock
        self.attempt: Attempt | Probe | None = None
        self.limit: Entry | None = None
        self.expiry: Entry | None = None
        self.idle_limit: Entry | None = None
        self.stall: Entry | None = None
        self.written = False
        self.flow = Flow(f"{member.address[0]}:{member.address[1]}".encode())
        self.reply: Reply | None = None
        deadlines = upstream.loop.deadlines
        if not connected:
            self.limit = deadlines.add(clock() + upstream.connect_time, self.not_connected)
        upstream.links.add(self)
        self.task = upstream.loop.spawn(self.run(connected), sock)

    def carry(self, attempt: "Attempt | Probe") -> None:
        """Take on an attempt."""
        deadlines = self.upstream.loop.deadlines
        deadlines.remove(self.idle_limit)
        self.attempt, self.written, attempt.carriage = attempt, False, self
        self.expiry = deadlines.add(attempt.deadline, self.expired)
        self.task.wake()

    def run(self, connected: bool) -> Coroutine:
        try:
            if not connected:
                while not (yield WRITE):
                    pass  # an attempt was taken on meanwhile
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.done(Outcome.CONNECT_FAILED)
                    return
            self.upstream.loop.deadlines.remove(self.limit)
            while True:
                while self.attempt is None:
                    events = yield READ
                    if events and not self.healthy():
                        return  # it has ended, or sent what nobody asked for
                if not (yield from self.exchange()):
                    return
        finally:
            self.forget()

    def exchange(self) -> Generator[int, int, bool]:
        """One request and its answer; whether the connection can carry another."""
        if not self.upstream.pool.may_begin(self.member):
            self.done(Outcome.CONNECT_FAILED)  # it was queued on the connect past the drain limit
            return False
        attempt, self.reply = self.attempt, None
        assert attempt is not None
        rest = self.flow.request(attempt.message, attempt.deadline - clock())
        try:
            while rest:
                rest = write(self.sock, rest)
                if rest and (yield READ | WRITE) & READ:
                    self.read()
                    if self.reply is not None:
                        break
        except OSError:
            self.done(Outcome.CONNECT_FAILED)
            return False
        if rest:  # it answered or ended before it had the whole request
            early = self.reply.outcome
            self.done(Outcome.CONNECT_FAILED if early is Outcome.RESET else early, self.reply.served)
            return False
        self.written = True
        try:
            while self.reply is None:
                yield READ
                self.read()
                if self.stall is None and self.flow.begun and self.reply is None:
                    self.stall = self.upstream.loop.deadlines.add(clock() + ANSWER_TIME, self.stalled)
        except OSError:
            self.done(Outcome.RESET)
            return False
        reply, keep = self.reply, self.flow.renew()
        return self.done(reply.outcome, reply.served, keep)

    def read(self) -> None:
        try:
            self.upstream.buffers.receive(self.sock, self.take)
        except BlockingIOError:
            pass

    def take(self, data: memoryview) -> None:
        self.reply = self.flow.receive(data)

    def done(self, outcome: Outcome, served: Served | None = None, keep: bool = False) -> bool:
        """Tell what the attempt came to; whether the connection was kept for another.

        It is offered before the outcome is told, as the module may send the next attempt on hearing of it.
        """
        deadlines, attempt, self.attempt = self.upstream.loop.deadlines, self.attempt, None
        assert attempt is not None  # it is told of once, and then gone from here
        deadlines.remove(self.expiry)
        deadlines.remove(self.stall)
        self.stall = None
        attempt.carriage = None
        kept = keep and self.upstream.pool.give_back(self)
        if kept:
            self.idle_limit = deadlines.add(clock() + self.upstream.idle_time, self.close)
        attempt.ended(attempt, outcome, served)
        return kept

    def not_connected(self) -> None:
        if self.attempt is not None:
            self.done(Outcome.CONNECT_FAILED)
        self.close()

    def expired(self) -> None:
        """The attempt's time is up; it has not run unless it was written whole."""
        self.done(Outcome.TIMEOUT if self.written else Outcome.NOT_SENT)
        self.close()

    def stalled(self) -> None:
        """The answer began and does not go on: it may have run, and nothing more will come of it."""
        self.done(Outcome.ERROR)
        self.close()

    def healthy(self) -> bool:
        """Whether nothing has come on an idle connection, not even its end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close(self) -> None:
        """Close the connection; an attempt that is given up tells no outcome from here."""
        if self.attempt is not None:
            self.upstream.loop.deadlines.remove(self.expiry)
            self.upstream.loop.deadlines.remove(self.stall)
            self.attempt.carriage = None
            self.attempt = None
        self.task.stop()

    def forget(self) -> None:
        self.upstream.links.discard(self)
        for limit in (self.limit, self.idle_limit):
            self.upstream.loop.deadlines.remove(limit)
        if self in self.member.idle:
            self.member.idle.remove(self)
        if self.attempt is not None:  # only a fault leaves it here
            self.done(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)
