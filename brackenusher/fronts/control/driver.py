"""The driver of the second address: a listener of its own, whose sockets come first in each turn of the loop.

What goes wrong here costs a caller, never a transaction. It holds `SOCKETS` descriptors at most.
"""

import logging
import socket
from collections.abc import Generator

from brackenusher.fronts.control.machine import Call, Deeds
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import SHORTAGE, Address, open_listener, write
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, WRITE, Coroutine, Loop, clock
from brackenusher.runtime.timers import Entry

log = logging.getLogger(__name__)

MOST_CALLERS = 12  # beyond, the one that came first and has no whole call gives way
SOCKETS = MOST_CALLERS + 2  # with the listener, and one that is accepted while another gives way
CALL_TIME = 5000.0  # ms for a whole call
ANSWER_TIME = 2000.0  # ms in which an answer is to be taken
LINGER = 300.0  # ms: so long what else a caller sends is read away, lest a reset overtake the answer


class Control:
    """Accepts callers and keeps count of them."""

    def __init__(self, loop: Loop, deeds: Deeds, buffers: Buffers) -> None:
        self.loop, self.deeds, self.buffers = loop, deeds, buffers
        self.callers: dict[Caller, None] = {}  # the first to come first
        self.calls = self.dropped = 0  # that were answered; that gave way without a whole call

    def listen(self, address: Address) -> None:
        """Raises OSError where the address cannot be listened on."""
        sock = open_listener(address, backlog=128)
        self.task = self.loop.spawn(self.accept(sock), sock, first=True)

    def accept(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                while True:
                    client, _ = sock.accept()
                    client.setblocking(False)
                    Caller(self, client)
                    if len(self.callers) > MOST_CALLERS:
                        self.make_room()
            except BlockingIOError:
                continue
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno not in SHORTAGE:
                    raise
                say(log, logging.WARNING, "control_accept_failed", "control: accept: %(why)s", why=error)
                self.make_room()

    def make_room(self) -> None:
        """Have the oldest caller go, one without a whole call if there is one."""
        oldest = next((each for each in self.callers if not each.call.done), next(iter(self.callers), None))
        if oldest is not None:
            self.dropped += 1
            oldest.task.stop()


class Caller:
    """One connection, with one call on it."""

    def __init__(self, control: Control, sock: socket.socket) -> None:
        self.control, self.sock, self.call = control, sock, Call(control.deeds)
        self.limit: Entry | None = None
        self.late = False
        control.callers[self] = None
        self.task = control.loop.spawn(self.run(), sock, first=True)

    def run(self) -> Coroutine:
        try:
            self.time(CALL_TIME)
            while not self.call.done:
                yield READ
                answer = self.call.late() if self.late else self.read()
                if not (yield from self.write(answer)):
                    return
            if self.call.ended:
                return
            self.control.calls += 1
            self.sock.shutdown(socket.SHUT_WR)
            self.time(LINGER)
            while not self.late:
                yield READ
                try:
                    if not self.control.buffers.receive(self.sock, len):
                        return
                except BlockingIOError:
                    pass
        except OSError:
            pass  # the caller broke the connection
        finally:
            self.control.loop.deadlines.remove(self.limit)
            self.control.callers.pop(self, None)

    def read(self) -> bytes:
        found: list[bytes] = []
        try:
            self.control.buffers.receive(self.sock, lambda data: found.append(bytes(data)))
        except BlockingIOError:
            return b""
        return self.call.receive(found[0])

    def write(self, data: bytes) -> Generator[int, int, bool]:
        """Write all of it; False if the caller took too long."""
        data = write(self.sock, data) if data else data
        if data:
            self.time(ANSWER_TIME)
        while data:
            yield WRITE
            if self.late:
                return False
            data = write(self.sock, data)
        return True

    def time(self, span: float) -> None:
        self.control.loop.deadlines.remove(self.limit)
        self.late, self.limit = False, self.control.loop.deadlines.add(clock() + span, self.too_late)

    def too_late(self) -> None:
        self.late, self.limit = True, None
        self.task.wake()
