"""The driver toward clients: the listener, and sockets round the virtual server's machines."""

import select
import socket
from collections import Counter
from collections.abc import Callable, Generator
from itertools import islice

from barleybarrow.eviction import Place, choose
from barleybarrow.lifecycle import Lifecycle
from brackenusher.core.admission import Admission, Request, Verdict
from brackenusher.core.message import Content
from brackenusher.core.pipe import Budget, End, Pipe, nothing
from brackenusher.core.transaction import Answer, Served, Transaction
from brackenusher.fronts.http import Front, Rejection, worded
from brackenusher.fronts.http1.virtual_server import VirtualServer
from brackenusher.fronts.listener import Heir, Listener, Room
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import abort, write
from brackenusher.runtime.loop import HANGUP, READ, WRITE, Coroutine, Loop, clock
from brackenusher.runtime.timers import Entry
from brackenusher.upstream.pool import Pool

IDLE_TIME = 2_050.0  # a connection between requests is kept so long: some clients ask once and stay
REQUEST_TIME = 2_500.0  # a request must be whole in this time, the first one counted from the connect
LOOKS = 8  # connections of each place that are looked at for one that gives way
PACE = 48.0  # bytes a millisecond: a body that comes no slower has as much time more as it takes
BODY_TIME = 3_000.0  # a body that is passed on in pieces goes on in this time
ANSWER_TIME = 10_000.0  # an answer must be taken by the client in this time, or some more of it
LINGER = 500.0  # so long the rest of a stream that ends is read away, so that the answer is not reset
PASSED_AT_ONCE = 16  # connections that are given to another process in one go
FIRST_TIME = 20.0  # a connection this young is not closed at the end: its first request is on its way


class Clients(Listener):
    """Accepts client connections and keeps count of them."""

    def __init__(
        self,
        loop: Loop,
        front: Front,
        admission: Admission,
        pool: Pool,
        room: Room,
        most_kept: int,
        buffers: Buffers,
        lifecycle: Lifecycle,
        budget: Budget | None = None,
    ) -> None:
        super().__init__(loop, room)
        self.front, self.admission, self.pool, self.lifecycle = front, admission, pool, lifecycle
        self.most_kept, self.buffers = most_kept, buffers
        self.budget = budget  # for long bodies and answers; none: there are none
        self.links: set[ClientLink] = set()
        self.silent: dict[ClientLink, None] = {}  # between requests, none answered yet; the oldest first
        self.kept: dict[ClientLink, None] = {}  # between requests; the one that was used last stands last
        self.partial: dict[
            ClientLink, None
        ] = {}  # with a request that is not whole; who moved last stands last
        self.spent: dict[ClientLink, None] = {}  # with their last answer written, the rest is read away
        self.places = {
            Place.SPENT: self.spent,
            Place.SILENT: self.silent,
            Place.PARTIAL: self.partial,
            Place.RESTING: self.kept,
        }
        self.evicted: Counter[Place] = Counter()
        self.told_away: Counter[Place] = Counter()  # as it was told last
        self.stopping = False  # each answer ends its connection
        self.heir: Heir | None = None  # who takes connections between requests once this process is to stop
        self.gates: list[Callable[[], bool]] = []  # what else must be so before it is ready
        self.warming = False  # what others know is still awaited, for a fraction of a second

    def ready(self) -> bool:
        """Whether clients that may choose are to come here."""
        open_ = all(gate() for gate in self.gates)
        return self.pool.held and not self.warming and self.lifecycle.ready and open_

    def begin(self, sock: socket.socket, address: str) -> "ClientLink":
        return ClientLink(self, sock, address)

    def spare(self) -> bool:
        """Close a connection on which nothing is owed, as `eviction` says; False where there is none."""
        now, heads = clock(), {}
        for place, links in self.places.items():
            for link in islice(links, LOOKS):
                if place is Place.SPENT or link.unheard():  # else it moves, and this process has not looked
                    heads[place] = link
                    break
        goes = choose({place: now - link.moved_at for place, link in heads.items()})
        if goes is None:
            return False
        self.evicted[goes] += 1
        heads[goes].task.stop()
        return True

    def figures(self) -> list[tuple[str, int, str, list[tuple[str, str]]]]:
        """How many connections were evicted since the last call, by where they stood."""
        news = self.evicted - self.told_away
        self.told_away = self.evicted.copy()
        return [("clients_evicted", count, "c", [("place", place.value)]) for place, count in news.items()]

    def drain(self, idle: bool) -> None:
        self.stopping = True
        if idle:
            self.close_idle()

    def resume(self) -> None:
        self.stopping = False

    def hand_over(self, heir: Heir) -> None:
        super().hand_over(heir)
        self.heir = heir
        self.pass_idle()

    def take_back(self) -> None:
        super().take_back()
        self.heir = None

    def pass_idle(self) -> None:
        idle = [link for link in [*self.silent, *self.kept] if link.machine.between]
        for at in range(0, len(idle), PASSED_AT_ONCE):
            links = idle[at : at + PASSED_AT_ONCE]
            if self.heir is None or not self.heir([link.sock for link in links]):
                return
            for link in links:
                link.task.stop()  # closes this process's descriptor alone

    def close_idle(self) -> None:
        """Close the connections between requests."""
        young = clock() - FIRST_TIME
        for link in [*self.silent, *self.kept]:
            if link.place is self.kept or link.opened_at < young:
                link.part()

    def hurry(self) -> None:
        """Answer those who are still sending their request; it has not been taken."""
        young = clock() - FIRST_TIME
        for link in [link for link in self.partial if link.since < young]:
            link.give_up()


class ClientLink:
    """A client's connection."""

    def __init__(self, clients: Clients, sock: socket.socket, address: str) -> None:
        self.clients, self.sock, self.address = clients, sock, address
        self.machine = VirtualServer(clients.front, clients.ready, clients.budget)
        self.transaction: Transaction | None = None
        self.answer: Answer | None = None
        self.limit: Entry | None = None
        self.late, self.seen = False, 0  # bytes of a body that had come when it was looked last
        self.opened_at = self.moved_at = clock()
        self.resting, self.since = False, 0.0
        self.parting = False  # it is to end once no request has begun to come in
        self.stands: dict[ClientLink, None] | None = None  # where it is counted just now
        self.place = clients.silent  # among which it counts between requests
        clients.links.add(self)
        self.beyond = clients.enter()  # taken only to be refused
        self.task = clients.loop.spawn(self.run(), sock)

    def part(self) -> None:
        """End it in good order, unless a request has come that is not read yet: that one is served first."""
        self.parting = True
        self.task.wake()

    def gone(self) -> bool:
        """Whether the client has closed, as far as the kernel knows; what it sent before may be unread."""
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        ends = select.poll()  # the end stands behind what is unread
        ends.register(self.sock, select.POLLRDHUP)
        return bool(ends.poll(0))

    def unheard(self) -> bool:
        """Whether nothing has come that is not read yet; asked of one that stands between requests."""
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
                    heir = self.clients.heir
                    if heir is not None and machine.between and heir([self.sock]):
                        return
                    if self.parting and machine.between:
                        if self.place is self.clients.silent:
                            return  # it has had no answer that a reset could take away
                        break
                    self.rest(machine.between)
                    if not (yield from self.write(machine.go_on())):
                        return
                    yield READ
                    self.read()
                    if not self.late or self.resting and not machine.between:
                        continue
                    if self.resting:
                        self.parting = True
                        continue
                    item = Rejection(408, "the request took too long", fatal=True)
                self.rest(None)
                if isinstance(item, Request):
                    data = yield from self.serve(item)
                else:
                    data = machine.reject(item, self.closing)
                if data is None or not (yield from self.write(data)):
                    return
                if not machine.items:
                    machine.forget()
            yield from self.linger()
        except OSError:
            pass  # the client broke the connection
        finally:
            self.rest(None)
            machine.forget()
            if machine.upload is not None:
                machine.upload.fail()
            if isinstance(self.answer, Served) and self.answer.content.rest is not None:
                self.answer.content.rest.stop()  # where it came in the turn in which the client went
            self.clients.links.discard(self)
            self.clients.leave()
            if self.transaction is not None:
                self.clients.admission.left(self.transaction)

    def rest(self, between: bool | None) -> None:
        """Note that it stands between requests or that one comes in, None for neither; each has its time."""
        if between is None:
            self.time()
            self.stand(None)
        elif between and not self.resting:
            self.time(IDLE_TIME)
            self.stand(self.place)
        elif not between and (self.resting or self.limit is None):
            first = self.place is self.clients.silent
            self.time(REQUEST_TIME - (clock() - self.opened_at if first else 0.0))
            self.stand(self.clients.partial)
        self.resting = bool(between)

    def stand(self, where: "dict[ClientLink, None] | None") -> None:
        """Be counted among those that may make room, or among none."""
        if self.stands is not None:
            self.stands.pop(self, None)
        self.stands, self.since = where, clock()
        self.moved_at = self.since
        if where is not None:
            where[self] = None
        if where is self.clients.kept and len(where) > self.clients.most_kept and not self.stays:
            next(iter(where)).part()

    def serve(self, request: Request) -> Generator[int, int, bytes | None]:
        """Have a request answered; None if the connection is to end at once, as the client left."""
        clients = self.clients
        request.address, request.beyond, self.answer = self.address, self.beyond, None
        fresh = self.place is clients.silent  # a first request shows that new connections come still
        request.free = None if fresh else len(clients.kept)
        request.gone = self.gone
        if request.message.rest is None:  # else its time counts from the last byte of its body
            request.span = max(0.0, request.span - (clock() - request.came))
        taken = clients.admission.admit(request, self.reply)
        if isinstance(taken, Verdict):
            return self.machine.reject(worded(taken), self.closing)
        self.transaction, body = taken, request.message.rest
        if body is not None:
            body.to_writer = self.task.wake
            self.time(BODY_TIME)
        timed = body is None  # whether its time counts already
        try:
            while self.answer is None:
                full = self.machine.full
                events = yield HANGUP if full else READ
                if events and self.answer is None:
                    if full:
                        return None
                    self.read()
                    if self.machine.ended:
                        return None
                if body is not None and (body.broken or self.late):
                    return self.break_off(taken)
                if body is not None and body.whole and not timed:
                    timed = True
                    clients.admission.whole(taken)
        finally:
            if body is not None:
                self.time()
                body.to_writer = nothing
                body.stop(End.WHOLE if body.over else End.GIVEN_UP)
        self.transaction, self.place = None, clients.kept
        clients.admission.answered(taken, self.answer)
        if isinstance(self.answer, Served) and self.answer.content.rest is not None:
            return (yield from self.pour(self.answer.content, self.answer.content.rest))
        return self.machine.answer(self.answer, self.closing)

    def break_off(self, taken: Transaction) -> bytes:
        """A body that was being passed on cannot be read, or does not go on: it has run nowhere."""
        self.transaction = None
        self.clients.admission.left(taken)
        item = self.machine.next()
        if not isinstance(item, Rejection):
            item = Rejection(408, "the body took too long", fatal=True)
        return self.machine.reject(item, True)

    def pour(self, content: Content, pipe: Pipe) -> Generator[int, int, bytes | None]:
        """Write an answer that comes in pieces; what is left to be written, None where it cannot be ended."""
        pipe.to_reader = self.task.wake
        try:
            data = self.machine.begin(content, self.closing)
            while True:
                if pipe.parts:
                    data += self.machine.piece(pipe.take())
                over = pipe.over  # as it is now: it may come to be so while this is written
                if over and pipe.whole:
                    data += self.machine.end()
                if not (yield from self.write(data)):
                    return None
                data = b""
                if over:
                    break
                if not pipe.parts and not pipe.over and (yield HANGUP):
                    return None  # the client has gone
            if pipe.whole:
                pipe.stop(End.WHOLE)
                return data
            pipe.stop(End.BROKEN)
            abort(self.sock)  # or a client that reads to the end of the connection would take it for whole
            return None
        finally:
            pipe.to_reader = nothing
            pipe.stop()

    @property
    def closing(self) -> bool:
        """Whether an answer is to end the connection: not while what was sent ahead waits for its own."""
        return self.clients.stopping and self.machine.between

    def reply(self, answer: Answer) -> None:
        self.answer = answer
        self.task.wake()

    def read(self) -> None:
        before = len(self.machine.items)
        try:
            self.clients.buffers.receive(self.sock, self.machine.receive)
        except BlockingIOError:
            return
        for item, *_ in islice(self.machine.items, before, None):
            if isinstance(item, Request):
                item.came = clock()
        if self.stands is self.clients.partial:
            self.moved_at = clock()
            self.stands.pop(self)
            self.stands[self] = None

    def write(self, data: bytes) -> Generator[int, int, bool]:
        """Write all of it; False if the client took too long."""
        rest = write(self.sock, memoryview(data)) if data else memoryview(data)
        while rest:
            self.time(ANSWER_TIME)
            yield WRITE
            if self.late:
                return False
            rest = write(self.sock, rest)
            if not rest:
                self.time()
        return True

    def linger(self) -> Coroutine:
        """End the stream, and read away the rest of what comes, lest a reset overtake the answer."""
        self.sock.shutdown(socket.SHUT_WR)
        self.time(LINGER)
        self.stand(self.clients.spent)
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
        self.limit = None
        due = self.due()
        if due > clock():
            self.limit = self.clients.loop.deadlines.add(due, self.too_late)
            return
        self.late = not (self.resting and self.stays)
        if self.late:
            self.task.wake()

    def give_up(self) -> None:
        """Wait no longer for what it is writing."""
        self.time()
        self.late = True
        self.task.wake()

    def due(self) -> float:
        """When what is waited for is really too late: a body that goes on has more time."""
        machine = self.machine
        if self.transaction is not None:
            seen, self.seen = self.seen, machine.body_come
            goes_on = machine.upload is None or machine.full or machine.body_come > seen
            return clock() + BODY_TIME if goes_on else 0.0
        if self.stands is self.clients.partial and machine.body_come:
            begun = self.opened_at if self.place is self.clients.silent else self.since
            return begun + REQUEST_TIME + machine.body_come / PACE
        return 0.0

    @property
    def stays(self) -> bool:
        """Whether it is kept however long it rests: once the program stops, clients can open no other."""
        return self.clients.admission.shutdown is not None and self.place is self.clients.kept
