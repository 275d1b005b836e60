"""Listener base class: accepting connections, the shared descriptor limit, and closing at shutdown.

It is independent of the protocol: subclasses create connections and choose which one to evict.
"""

import logging
import socket
import struct
from array import array
from collections.abc import Callable, Sequence, Sized
from typing import Any

from brackenusher.runtime.driver import RESOURCE_ERRNOS, Address, open_listener
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, Task, clock

log = logging.getLogger(__name__)

MAX_REFUSED_CONNECTIONS = 16  # connections over the limit that are accepted only to be sent a refusal
ACCEPT_BACKLOG = 1024  # length of the kernel's accept queue
MAX_ACCEPTS_PER_WAKEUP = 64  # per wake-up, so that other tasks get to run
SO_ATTACH_FILTER = 26  # the standard library does not define it
BPF_RET = 0x06  # socket filter instruction; returning 0 drops the packet
WARNING_INTERVAL_MS = 1000.0  # minimum time between two log lines on a descriptor shortage


def attach_drop_filter(sock: socket.socket) -> None:
    """Have the kernel drop new packets to a listening socket, if it supports socket filters.

    A client that connects between the last accept and the close would have its request reset unread. With
    the filter its SYN is dropped, and its kernel retransmits after a second, when another process may be
    listening there. The filter does not affect connections that are already established. Shortening the
    queue with listen(2) would still let one connection in.
    """
    program = array("B", struct.pack("HBBI", BPF_RET, 0, 0, 0))
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, program.buffer_info()[0]))
    except OSError as error:  # without filters the race window is some microseconds
        log_event(
            log,
            logging.INFO,
            "no_filter",
            "the listener takes no filter: %(why)s",
            why=error,
        )


# sends sockets to the successor process; False if it takes none now
TransferConnections = Callable[[Sequence[socket.socket]], bool]


class ConnectionLimit:
    """Limit on client connections, derived from the descriptor limit and shared by all listeners."""

    def __init__(self, limit: int) -> None:
        self.limit, self.open_count = limit, 0
        self.listeners: list[Listener] = []

    @property
    def exhausted(self) -> bool:
        """Whether no connection can be accepted any more, not even to be refused."""
        return self.open_count >= self.limit + MAX_REFUSED_CONNECTIONS

    def evict_one(self, preferred: "Listener") -> bool:
        """Close one connection without a pending response, preferably one of the listener `preferred`."""
        return preferred.evict_one() or any(
            other.evict_one() for other in self.listeners if other is not preferred
        )


class Listener:
    """Accepts the connections of one listening address."""

    connections: Sized  # the open connections

    def __init__(self, loop: EventLoop, connection_limit: ConnectionLimit) -> None:
        self.loop, self.connection_limit = loop, connection_limit
        connection_limit.listeners.append(self)
        self.closed = False  # accepts no more connections
        self.shared = False  # another process listens on the same socket
        self.handed_over = False  # that process accepts instead of this one
        self.warned_at = -WARNING_INTERVAL_MS
        self.task: Task  # the accept loop

    # implemented by each protocol

    def open_connection(self, sock: socket.socket, address: str) -> Any:
        """Start serving a connection; it must be counted in the shared limit for as long as it is open."""
        raise NotImplementedError

    def evict_one(self) -> bool:
        """Close a connection without a pending response; False if there is none."""
        raise NotImplementedError

    def announce_shutdown(self) -> None:
        """Shutdown has been requested; requests are still accepted."""

    def drain(self, idle: bool) -> None:
        """Close connections after their response; with `idle`, also those between requests. Repeatable."""
        raise NotImplementedError

    def resume(self) -> None:
        """Draining was cancelled."""
        raise NotImplementedError

    def reject_incomplete(self) -> None:
        """All accepted requests are answered: reject those still being received. Called repeatedly."""
        raise NotImplementedError

    # shared by all protocols

    def register_connection(self) -> bool:
        """Count a new connection; True if it exceeds the limit and was accepted only to be refused."""
        self.connection_limit.open_count += 1
        return self.connection_limit.open_count > self.connection_limit.limit

    def unregister_connection(self) -> None:
        self.connection_limit.open_count -= 1

    def listen(self, address: Address, shared: bool = False, sock: socket.socket | None = None) -> None:
        """Listen on an address. `shared`: another process listens too; `sock`: its socket, if handed over."""
        sock = sock or open_listener(address, ACCEPT_BACKLOG, shared)
        sock.setblocking(False)
        self.task = self.loop.spawn(self.accept(sock), sock)

    def accept(self, sock: socket.socket) -> Coroutine:
        pause = False
        while True:
            if pause:
                pause = False
                self.loop.timers.add(clock() + 10.0, self.task.wake)
                yield 0
            else:
                yield 0 if self.handed_over else READ
            pause = not self.handed_over and not self.accept_pending(sock)

    def accept_pending(self, sock: socket.socket) -> bool:
        """Accept pending connections; False if the limit allows no more for now."""
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            if self.connection_limit.exhausted and not self.connection_limit.evict_one(self):
                return False
            try:
                client, peer = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS:
                    raise
                if clock() >= self.warned_at + WARNING_INTERVAL_MS:
                    self.warned_at = clock()
                    log_event(log, logging.WARNING, "accept_failed", "accept failed: %(why)s", why=error)
                return self.connection_limit.evict_one(self)
            if self.connection_limit.open_count >= self.connection_limit.limit:
                self.connection_limit.evict_one(self)  # evicts only once a client is there to make room for
            self.start_connection(client, peer[0])
        return True

    def start_connection(self, client: socket.socket, address: str) -> None:
        client.setblocking(False)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open_connection(client, address)

    def adopt_connection(self, client: socket.socket) -> None:
        """Serve a connection accepted by the previous process; its unread data is still in the socket."""
        try:
            address = client.getpeername()[0]
            if self.connection_limit.open_count >= self.connection_limit.limit:
                self.connection_limit.evict_one(self)
            self.start_connection(client, address)
        except OSError:
            client.close()  # the client has disconnected

    def hand_over(self, transfer: TransferConnections) -> None:
        """Another process accepts from now on; `transfer` sends it connections, if it takes any now."""
        self.handed_over = True
        self.task.wake()

    def resume_accepting(self) -> None:
        """The successor process is gone: accept again."""
        self.shared = False
        if self.handed_over and not self.closed:
            self.handed_over = False
            self.task.wake()

    def transfer_idle(self) -> None:
        """Transfer connections between requests to the other process; called repeatedly."""

    def stop_accepting(self) -> None:
        """Admit no new connections, accept those already established, then close the listening socket.

        If the connection limit does not allow this yet, the socket stays open until a later call.
        """
        if self.closed:
            return
        if self.shared:  # a filter on the shared socket would affect the other process
            self.closed = True
            return self.task.stop()
        attach_drop_filter(self.task.sock)
        count_before = -1
        while count_before != len(self.connections):
            count_before = len(self.connections)
            if not self.accept_pending(self.task.sock):
                return
        self.closed = True
        self.task.stop()
