"""What every front's listener does alike: accept, share the descriptors out, and close the door at the end.

It knows no protocol: a front says how a connection is begun and which one may go.
"""

import logging
import socket
import struct
from array import array
from collections.abc import Callable, Sequence, Sized
from typing import Any

from brackenusher.runtime.driver import SHORTAGE, Address, open_listener
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, Coroutine, Loop, Task, clock

log = logging.getLogger(__name__)

OVERFLOW = 16  # client connections beyond their part that are taken only to be refused
BACKLOG = 1024  # connections that wait to be accepted
ACCEPTS = 64  # connections accepted in a row before the others get their turn
ATTACH_FILTER = 26  # the socket option SO_ATTACH_FILTER, which the standard library does not name
DROP_ALL = 0x06  # a socket filter's instruction BPF_RET: with 0, nothing of a packet is let in
WARN_AGAIN = 1000.0  # ms: a shortage is logged no more often


def keep_out(sock: socket.socket) -> None:
    """Have the kernel drop what comes to a listener from now on, where it can.

    Whoever connects between the last accept and the close would have his request reset unread. So he gets
    no answer, and his kernel tries again after a second, by when somebody else may listen there. A filter on
    the listener does not touch the connections that were let in before. A shorter queue, by listen(2), would
    still let one in.
    """
    program = array("B", struct.pack("HBBI", DROP_ALL, 0, 0, 0))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, struct.pack("HP", 1, program.buffer_info()[0]))
    except OSError as error:  # not every kernel has filters; the gap is some microseconds then
        say(log, logging.INFO, "no_filter", "the listener takes no filter: %(why)s", why=error)


Heir = Callable[[Sequence[socket.socket]], bool]  # takes connections; False where it takes none just now


class Room:
    """The clients' part of the descriptors, counted over all listeners."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.listeners: list[Listener] = []

    @property
    def spent(self) -> bool:
        """Whether not even one more can be taken only to be refused."""
        return self.held >= self.most + OVERFLOW

    def spare(self, first: "Listener") -> bool:
        """Have a connection closed on which nothing is owed, one of the asker's own if it can be."""
        return first.spare() or any(other.spare() for other in self.listeners if other is not first)


class Listener:
    """Accepts the connections of one front."""

    links: Sized  # the front's connections

    def __init__(self, loop: Loop, room: Room) -> None:
        self.loop, self.room = loop, room
        room.listeners.append(self)
        self.shut = False  # the door is closed
        self.shared = False  # another process has the same listening socket
        self.handed = False  # it accepts there in the place of this one
        self.warned_at = -WARN_AGAIN
        self.task: Task  # the listener's

    # what each front brings

    def begin(self, sock: socket.socket, address: str) -> Any:
        """Serve a connection, with `enter` at its start and `leave` at its end."""
        raise NotImplementedError

    def spare(self) -> bool:
        """Close a connection on which nothing is owed; False where there is none."""
        raise NotImplementedError

    def told(self) -> None:
        """The word to stop has come; requests go on being taken."""

    def drain(self, idle: bool) -> None:
        """Have answers end their connections, and with `idle` close those between requests; called again."""
        raise NotImplementedError

    def resume(self) -> None:
        """A drain is over."""
        raise NotImplementedError

    def hurry(self) -> None:
        """All that was taken is answered: turn away who still sends his request. Called again and again."""
        raise NotImplementedError

    # what they share

    def enter(self) -> bool:
        """Count a connection; True where it is beyond the clients' part, and taken only to be refused."""
        self.room.held += 1
        return self.room.held > self.room.most

    def leave(self) -> None:
        self.room.held -= 1

    def listen(self, address: Address, shared: bool = False, sock: socket.socket | None = None) -> None:
        """Listen on an address; `shared` with another process, `sock` being what that one listens on."""
        sock = sock or open_listener(address, BACKLOG, shared)
        sock.setblocking(False)
        self.task = self.loop.spawn(self.accept(sock), sock)

    def accept(self, sock: socket.socket) -> Coroutine:
        pause = False
        while True:
            if pause:
                pause = False
                self.loop.deadlines.add(clock() + 10.0, self.task.wake)
                yield 0
            else:
                yield 0 if self.handed else READ
            pause = not self.handed and not self.take_in(sock)

    def take_in(self, sock: socket.socket) -> bool:
        """Accept what waits; False where there is no room for more just now."""
        for _ in range(ACCEPTS):
            if self.room.spent and not self.room.spare(self):
                return False
            try:
                client, peer = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno not in SHORTAGE:
                    raise
                if clock() >= self.warned_at + WARN_AGAIN:
                    self.warned_at = clock()
                    say(log, logging.WARNING, "accept_failed", "accept: %(why)s", why=error)
                return self.room.spare(self)
            if self.room.held >= self.room.most:
                self.room.spare(self)  # only now: there may have been nobody to make room for
            self.welcome(client, peer[0])
        return True

    def welcome(self, client: socket.socket, address: str) -> None:
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.begin(client, address)

    def take_over(self, client: socket.socket) -> None:
        """Serve a connection that the process before this one accepted, with what is unread on it."""
        try:
            address = client.getpeername()[0]
            if self.room.held >= self.room.most:
                self.room.spare(self)
            self.welcome(client, address)
        except OSError:
            client.close()  # the client has left

    def hand_over(self, heir: Heir) -> None:
        """Another process accepts from now on; `heir` gives it connections, False where it takes none now."""
        self.handed = True
        self.task.wake()

    def take_back(self) -> None:
        """That process has gone: accept again."""
        self.shared = False
        if self.handed and not self.shut:
            self.handed = False
            self.task.wake()

    def pass_idle(self) -> None:
        """Give what stands between requests to the other process; called again and again."""

    def stop_accepting(self) -> None:
        """Let nobody in any more, and close the listener once all are taken in who had been let in.

        Where there is no room for them just now, the listener stays for another call.
        """
        if self.shut:
            return
        if self.shared:  # what shuts the door here would shut it there
            self.shut = True
            return self.task.stop()
        keep_out(self.task.sock)
        before = -1
        while before != len(self.links):
            before = len(self.links)
            if not self.take_in(self.task.sock):
                return
        self.shut = True
        self.task.stop()
