"""The driver: sockets round the machines. It reads, writes and keeps time limits, and decides nothing."""

import errno
import logging
import random
import socket
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import partial

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from barleybarrow.settings import REPORTS
from brackenusher.buffers import Buffers
from brackenusher.config import Address
from brackenusher.discovery import Broken, Discovery
from brackenusher.flow import Flow, Message, Reply
from brackenusher.loop import HANGUP, READ, WRITE, Coroutine, Loop, Task, clock
from brackenusher.pool import Member, Pool
from brackenusher.transaction import Answer, Attempt, Refused, Served, Transaction, Transactions
from brackenusher.virtual_server import Front, Rejection, Request, VirtualServer

log = logging.getLogger(__name__)

SPARE_SOCKETS = 24  # listener, epoll, discovery, standard streams, and some to refuse with
CLIENT_PART = 0.625  # of the other descriptors: a held request has a client connection and no flow
OVERFLOW = 16  # client connections beyond their part that are taken only to be refused
ACCEPTS = 64  # connections accepted in a row before the others get their turn
REQUEST_TIME = 10_000.0  # a request that began to come in must be whole in this time
ANSWER_TIME = 10_000.0  # an answer must be taken by the client in this time
LINGER = 500.0  # so long the rest of a stream that ends is read away, so that the answer is not reset
AHEAD = 16 * 1024  # bytes that a client may send ahead of the answer it waits for
SILENCE = 3500.0  # discovery sends a line every 2 s
BACK_OFF, LONGEST_BACK_OFF = 100.0, 1000.0
IDLE_SHARE = 0.6  # of the time after which a pool member closes an idle connection
CONNECT_TIME = 1000.0  # where the settings name none
WARN_AGAIN = 1000.0  # a shortage is logged no more often
SHORTAGE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def open_socket(address: Address) -> tuple[socket.socket, bool]:
    """Start to connect; True where that was done at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
    except OSError:
        sock.close()
        raise
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(code, "connect failed")
    return sock, code == 0


def write(sock: socket.socket, data: bytes) -> bytes:
    """Write what the socket takes now; return the rest."""
    try:
        return data[sock.send(data) :]
    except BlockingIOError:
        return data


class Upstream:
    """Carries attempts to pool members."""

    def __init__(self, loop: Loop, pool: Pool, settings: face.Settings, room: int, buffers: Buffers) -> None:
        self.loop, self.pool, self.settings, self.room, self.buffers = loop, pool, settings, room, buffers
        self.connect_time = settings.connect_timeout or CONNECT_TIME
        self.idle_time = settings.conn_idle * IDLE_SHARE if settings.conn_idle else float("inf")
        self.links: set[ServerLink] = set()
        self.owner: Transactions | None = None
        self.watch = lambda: None

    def start(self, attempt: "Attempt | Probe") -> None:
        """Send an attempt on an idle connection, or on a new one."""
        member = self.pool.members[attempt.backend]
        link = self.pool.lend(member)
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
    ended: Callable[["Probe", Outcome, Served | None], None]
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
                log.warning("a report's %s cannot be read", name)
    return report


class ServerLink:
    """A connection to a pool member."""

    def __init__(self, upstream: Upstream, member: Member, sock: socket.socket, connected: bool) -> None:
        self.upstream, self.member, self.sock = upstream, member, sock
        self.attempt: Attempt | Probe | None = None
        self.limit = self.expiry = self.idle_limit = None
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
        deadlines.remove(self.expiry)
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


class Clients:
    """Accepts client connections and keeps count of them."""

    def __init__(
        self,
        loop: Loop,
        front: Front,
        owner: Transactions,
        pool: Pool,
        room: int,
        buffers: Buffers,
    ) -> None:
        self.loop, self.front, self.owner, self.pool, self.room = loop, front, owner, pool, room
        self.buffers = buffers
        self.links: dict[ClientLink, None] = {}  # the one that was used last stands last
        self.stopping, self.warned_at = False, -WARN_AGAIN
        self.task: Task | None = None

    def listen(self, address: Address) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(1024)
        self.task = self.loop.spawn(self.accept(sock), sock)

    def accept(self, sock: socket.socket) -> Coroutine:
        pause = False
        while True:
            if pause:
                pause = False
                self.loop.deadlines.add(clock() + 10.0, self.task.wake)
                yield 0
            else:
                yield READ
            pause = not self.take_in(sock)

    def take_in(self, sock: socket.socket) -> bool:
        """Accept what waits; False where there is no room for more just now."""
        for _ in range(ACCEPTS):
            if len(self.links) >= self.room and not self.spare() and len(self.links) >= self.room + OVERFLOW:
                return False
            try:
                client, _ = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno not in SHORTAGE:
                    raise
                if clock() >= self.warned_at + WARN_AGAIN:
                    self.warned_at = clock()
                    log.warning("accept: %s", error)
                return self.spare()
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            ClientLink(self, client)
        return True

    def spare(self) -> bool:
        """Close the connection that has stood between requests for longest; False where none does."""
        link = next((link for link in self.links if link.idle), None)
        if link is not None:
            link.task.stop()
        return link is not None

    def stop_accepting(self) -> None:
        """Take in what waits, then close the listener and the connections between requests."""
        if not self.task.ended:
            self.take_in(self.task.sock)
            self.task.stop()
        for link in list(self.links):
            if link.idle:
                link.task.stop()


class ClientLink:
    """A client's connection."""

    def __init__(self, clients: Clients, sock: socket.socket) -> None:
        self.clients, self.sock = clients, sock
        self.machine = VirtualServer(clients.front, lambda: clients.pool.held)
        self.transaction: Transaction | None = None
        self.answer: Answer | None = None
        self.limit = None
        self.late = False
        clients.links[self] = None
        self.beyond = len(clients.links) > clients.room  # taken only to be refused
        self.task = clients.loop.spawn(self.run(), sock)

    @property
    def idle(self) -> bool:
        """Whether it stands between requests, with none on its way that could be seen."""
        if self.transaction is not None or not self.machine.between:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return True

    def run(self) -> Coroutine:
        machine = self.machine
        try:
            while not machine.last:
                item = machine.next()
                if item is None:
                    if machine.ended or machine.last:
                        return
                    if machine.between:
                        self.time()
                    elif self.limit is None:
                        self.time(REQUEST_TIME)
                    if not (yield from self.write(machine.go_on())):
                        return
                    yield READ
                    self.read()
                    if not self.late:
                        continue
                    item = Rejection(408, "the request took too long", fatal=True)
                self.time()
                if isinstance(item, Request):
                    data = yield from self.serve(item)
                else:
                    data = machine.reject(item, self.clients.stopping)
                if not data or not (yield from self.write(data)):
                    return
            yield from self.linger()
        except OSError:
            pass  # the client broke the connection
        finally:
            self.time()
            self.clients.links.pop(self, None)
            if self.transaction is not None:
                self.clients.owner.left(self.transaction)

    def serve(self, request: Request) -> Generator[int, int, bytes]:
        """Have a request answered; no bytes if the client left before."""
        clients = self.clients
        if self.beyond:
            return self.machine.answer(Refused(clients.owner.balancer.conf.max_retry_after), True)
        self.answer = None
        self.transaction = clients.owner.arrive(
            request.klass, request.span, request.message, self.reply, request.tenant, request.repeated
        )
        while self.answer is None:
            events = yield READ if self.machine.waiting < AHEAD else HANGUP
            if events and self.answer is None:
                if events & HANGUP and self.machine.waiting >= AHEAD:
                    return b""
                self.read()
                if self.machine.ended:
                    return b""
        self.transaction = None
        clients.links[self] = clients.links.pop(self)
        return self.machine.answer(self.answer, clients.stopping)

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.task.wake()

    def read(self) -> None:
        try:
            self.clients.buffers.receive(self.sock, self.machine.receive)
        except BlockingIOError:
            pass

    def write(self, data: bytes) -> Generator[int, int, bool]:
        """Write all of it; False if the client took too long."""
        data = write(self.sock, data) if data else data
        if data:
            self.time(ANSWER_TIME)
        while data:
            yield WRITE
            if self.late:
                return False
            data = write(self.sock, data)
            if not data:
                self.time()
        return True

    def linger(self) -> Coroutine:
        """End the stream, and read away the rest of what comes, lest a reset overtake the answer."""
        self.sock.shutdown(socket.SHUT_WR)
        self.time(LINGER)
        while not self.late:
            yield READ
            try:
                if not self.clients.buffers.receive(self.sock, len):
                    return
            except BlockingIOError:
                pass

    def time(self, span: float | None = None) -> None:
        """Set the time limit anew, or take it away."""
        deadlines = self.clients.loop.deadlines
        deadlines.remove(self.limit)
        self.late, self.limit = False, None
        if span is not None:
            self.limit = deadlines.add(clock() + span, self.too_late)

    def too_late(self) -> None:
        self.late, self.limit = True, None
        self.task.wake()


class Agent:
    """Keeps the pool up to date from discovery's agent."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        pool: Pool,
        owner: Transactions,
        buffers: Buffers,
        rng: random.Random,
    ) -> None:
        self.loop, self.address, self.pool, self.owner, self.buffers = loop, address, pool, owner, buffers
        self.rng = rng
        self.seq: int | None = None
        self.back_off, self.task, self.limit = BACK_OFF, None, None

    def connect(self) -> None:
        """Open a connection, unless one is open."""
        if self.task is not None and not self.task.ended:
            return
        try:
            sock, _ = open_socket(self.address)
        except OSError as error:
            self.again(str(error))
            return
        machine = Discovery(f"{self.address[0]}:{self.address[1]}", self.seq)
        self.task = self.loop.spawn(self.run(sock, machine), sock)
        self.limit = self.loop.deadlines.add(clock() + SILENCE, self.silent)

    def run(self, sock: socket.socket, machine: Discovery) -> Coroutine:
        why = "ended"
        try:
            yield WRITE
            rest, self.call = machine.start(), b""
            while True:
                if rest:
                    rest = write(sock, rest)
                yield READ | (WRITE if rest else 0)
                try:
                    self.buffers.receive(sock, partial(self.take, machine))
                except BlockingIOError:
                    continue
                rest += self.call
        except (OSError, Broken) as error:
            why = str(error)
        except GeneratorExit:
            why = "silent"
            raise
        finally:
            self.loop.deadlines.remove(self.limit)
            if self.loop.running:
                self.again(why)

    def take(self, machine: Discovery, data: memoryview) -> None:
        """Feed the machine, and tell the module of each list."""
        self.loop.deadlines.remove(self.limit)
        self.limit = self.loop.deadlines.add(clock() + SILENCE, self.silent)
        listings, self.call = machine.receive(data)
        self.back_off = BACK_OFF
        for listing in listings:
            self.seq = listing.seq
            self.owner.post(self.pool.take(listing))

    def silent(self) -> None:
        self.task.stop()

    def again(self, why: str) -> None:
        """Try again after a while that doubles."""
        log.warning("discovery: %s", why)
        if self.owner.balancer.conf.must_ask:
            self.owner.post(face.ListChanged(face.ListScope.LOST, []))
        wait = self.back_off * (0.5 + self.rng.random())
        self.back_off = min(2 * self.back_off, LONGEST_BACK_OFF)
        self.loop.deadlines.add(clock() + wait, self.connect)
