"""The driver of HTTP/2 toward clients: its listener, and sockets round the connections' machines."""

import socket
from collections.abc import Callable
from functools import partial

from brackenusher.config.operators import Http2Settings
from brackenusher.core.admission import Admission, Bar, Verdict
from brackenusher.core.transaction import Answer, Transaction
from brackenusher.fronts.http import Front, final, worded
from brackenusher.fronts.http2.connection import Connection, Event
from brackenusher.fronts.http2.streams import Asked, Counts, Held
from brackenusher.fronts.listener import Listener, Room
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import write
from brackenusher.runtime.loop import READ, WRITE, Coroutine, Loop, clock
from brackenusher.runtime.timers import Entry

MOST_UNSENT = 64 * 1024  # bytes made for a socket that does not take them yet; more is not read meanwhile
LINGER = (
    500.0  # ms: so long the rest of a stream that ends is read away, so that no reset overtakes the answers
)


class Http2Clients(Listener):
    """Accepts HTTP/2 connections and keeps count of them."""

    def __init__(
        self,
        loop: Loop,
        settings: Http2Settings,
        front: Front,
        admission: Admission,
        ready: Callable[[], bool],
        room: Room,
        buffers: Buffers,
    ) -> None:
        super().__init__(loop, room)
        self.settings, self.front, self.admission, self.ready = settings, front, admission, ready
        self.buffers, self.counts, self.held = buffers, Counts(), Held(settings.held_kb * 1024)
        self.links: set[Http2Link] = set()
        self.resting: dict[Http2Link, None] = {}  # without a stream; the one that rests longest first
        self.lingering: dict[Http2Link, None] = {}  # over, the rest is read away

    def begin(self, sock: socket.socket, address: str) -> "Http2Link":
        return Http2Link(self, sock, address)

    def spare(self) -> bool:
        """Close a connection on which nothing is owed: one that is over, that never asked, or that rests."""
        link = next(iter(self.lingering), None)
        link = link or next(
            (each for each in self.resting if not each.machine.asked and each.unheard()), None
        )
        link = link or next((each for each in self.resting if each.unheard()), None)
        if link is not None:
            link.part()
        return link is not None

    def told(self) -> None:
        """Ask clients to go elsewhere with new streams; those that come all the same are served."""
        for link in self.links:
            link.machine.announce(clock())
            link.task.wake()

    def drain(self, idle: bool) -> None:
        for link in self.links:
            if not link.machine.closing:
                link.machine.close(clock())  # GOAWAY: what was taken is answered, others open a connection
                link.task.wake()

    def resume(self) -> None:
        pass  # who was told to go away goes; newcomers are served as ever

    def hurry(self) -> None:
        for link in self.links:
            if link.machine.coming:
                link.machine.hurry(clock())
                link.task.wake()


class Http2Link:
    """A client's connection."""

    def __init__(self, clients: Http2Clients, sock: socket.socket, address: str) -> None:
        self.clients, self.sock, self.address = clients, sock, address
        self.machine = Connection(
            clients.front, clients.ready, clients.settings, clients.held, clients.counts, clock()
        )
        self.open: dict[int, Transaction] = {}  # by the id of its stream
        self.replies: list[tuple[int, Answer]] = []  # final answers that the machine was not given yet
        self.unsent, self.moved_at = b"", clock()  # made and not written; when the socket last took some
        self.limit: Entry | None = None
        self.gone = False
        clients.links.add(self)
        self.beyond = clients.enter()  # taken only to be refused
        self.task = clients.loop.spawn(self.run(), sock)

    def unheard(self) -> bool:
        """Whether nothing has come that is not read yet."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def part(self) -> None:
        """End a connection without a stream at once; the client learns what never ran, if it still reads."""
        self.machine.close(clock())
        try:
            write(self.sock, self.unsent + self.machine.output(MOST_UNSENT, clock()))
        except OSError:
            pass
        self.task.stop()

    def run(self) -> Coroutine:
        machine = self.machine
        try:
            while True:
                self.deliver()
                blocked = self.flush()
                if machine.over and not self.unsent and not machine.out:
                    break
                self.rest()
                self.time()
                events = yield (WRITE if self.unsent else 0) | (0 if blocked else READ)
                now = clock()
                if self.unsent and now >= self.moved_at + self.clients.settings.answer_ms:
                    self.clients.counts.stuck += len(machine.sending)
                    return
                if events & ~WRITE:
                    self.read()
                if self.gone:
                    return
                self.act(machine.expire(now))
            yield from self.linger()
        except OSError:
            pass  # the client broke the connection
        finally:
            self.clients.loop.deadlines.remove(self.limit)
            self.clients.resting.pop(self, None)
            self.clients.lingering.pop(self, None)
            self.clients.links.discard(self)
            self.clients.leave()
            machine.forget()
            for transaction in self.open.values():
                self.clients.admission.left(transaction)

    def read(self) -> None:
        try:
            if not self.clients.buffers.receive(self.sock, self.receive):
                self.gone = True
        except BlockingIOError:
            pass

    def receive(self, data: memoryview) -> None:
        self.act(self.machine.receive(data, clock()))

    def act(self, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, Asked):
                self.serve(event)
            elif event.stream in self.open:
                self.clients.admission.left(self.open.pop(event.stream))

    def serve(self, asked: Asked) -> None:
        """Have a request answered."""
        number, request = asked.stream, asked.request
        request.address, request.beyond = self.address, self.beyond
        taken = self.clients.admission.admit(request, partial(self.reply, number))
        if not isinstance(taken, Verdict):
            self.open[number] = taken
            return
        rejection, now = worded(taken), clock()
        body = rejection.text.encode() + b"\n"
        self.machine.answer(number, rejection.status, body, rejection.headers, now)
        if taken.bar is Bar.ROOM:  # its descriptor is needed
            self.machine.close(now)

    def reply(self, number: int, answer: Answer) -> None:
        """Take a final answer, maybe while its request is still being admitted."""
        self.replies.append((number, answer))
        self.task.wake()

    def deliver(self) -> None:
        """Hand final answers to the machine."""
        replies, self.replies = self.replies, []
        for number, answer in replies:
            transaction = self.open.pop(number, None)
            if transaction is not None:  # else its stream went while the answer waited for this turn
                self.clients.admission.answered(transaction, answer)
                self.machine.answer(number, *final(answer), clock())

    def flush(self) -> bool:
        """Write what the socket takes; True where so much is left that nothing is to be read meanwhile."""
        machine = self.machine
        while True:
            now, room = clock(), MOST_UNSENT - len(self.unsent)
            before = self.unsent + (machine.output(room, now) if room > 0 else b"")
            self.unsent = write(self.sock, before) if before else b""
            if not before or len(self.unsent) < len(before):
                self.moved_at = now
            if not before or self.unsent:
                return len(self.unsent) + len(machine.out) >= MOST_UNSENT

    def rest(self) -> None:
        """Be counted among those that may make room while there is no stream."""
        if self.machine.streams:
            self.clients.resting.pop(self, None)
        else:
            self.clients.resting.setdefault(self)

    def time(self) -> None:
        """Be woken when something is due. An entry that comes too early is kept: most times only move on."""
        due = self.machine.due()
        if self.unsent:
            due = min(due, self.moved_at + self.clients.settings.answer_ms)
        if self.limit is None or self.limit[0] > due:
            deadlines = self.clients.loop.deadlines
            deadlines.remove(self.limit)
            self.limit = deadlines.add(due, self.wake) if due < float("inf") else None

    def wake(self) -> None:
        self.limit = None
        self.task.wake()

    def linger(self) -> Coroutine:
        """End the stream, and read away the rest of what comes, lest a reset overtake the answers."""
        self.sock.shutdown(socket.SHUT_WR)
        self.clients.resting.pop(self, None)
        self.clients.lingering[self] = None
        end = clock() + LINGER
        self.clients.loop.deadlines.remove(self.limit)
        self.limit = self.clients.loop.deadlines.add(end, self.wake)
        while clock() < end:
            yield READ
            try:
                if not self.clients.buffers.receive(self.sock, len):
                    return
            except BlockingIOError:
                pass
