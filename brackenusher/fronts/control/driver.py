"""Server of the control address, whose sockets are handled first in each iteration of the loop.

A fault here affects a control connection, never a transaction. The number of descriptors is bounded.
"""

import logging
import socket
from collections.abc import Generator

from brackenusher.fronts.control.machine import ControlProtocol, Handlers
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import RESOURCE_ERRNOS, Address, open_listener, write
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop, clock
from brackenusher.runtime.timers import Timer

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 12  # above this, the oldest without a complete request is closed
MAX_DESCRIPTORS = MAX_CONNECTIONS + 2  # with the listener, and one accepted before another is closed
REQUEST_TIMEOUT_MS = 5000.0  # to receive a complete request
RESPONSE_WRITE_TIMEOUT_MS = 2000.0  # for the client to read the response
LINGER_MS = 300.0  # input is discarded before the close, so that no TCP reset destroys the response


class ControlServer:
    """Accepts control connections."""

    def __init__(self, loop: EventLoop, handlers: Handlers, buffers: BufferPool) -> None:
        self.loop, self.handlers, self.buffers = loop, handlers, buffers
        self.connections: dict[ControlConnection, None] = {}  # oldest first
        self.answered = self.dropped = 0  # requests answered; connections closed to make room

    def listen(self, address: Address) -> None:
        """Listen on an address. Raises OSError if that fails."""
        sock = open_listener(address, backlog=128)
        self.task = self.loop.spawn(self.accept(sock), sock, priority=True)

    def accept(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                while True:
                    client, _ = sock.accept()
                    client.setblocking(False)
                    ControlConnection(self, client)
                    if len(self.connections) > MAX_CONNECTIONS:
                        self.evict_oldest()
            except BlockingIOError:
                continue
            except ConnectionError:
                continue
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS:
                    raise
                log_event(
                    log,
                    logging.WARNING,
                    "control_accept_failed",
                    "control address: accept failed: %(why)s",
                    why=error,
                )
                self.evict_oldest()

    def evict_oldest(self) -> None:
        """Close the oldest connection, preferably one without a complete request."""
        oldest = next(
            (each for each in self.connections if not each.protocol.done), next(iter(self.connections), None)
        )
        if oldest is not None:
            self.dropped += 1
            oldest.task.stop()


class ControlConnection:
    """One connection, which carries one request."""

    def __init__(self, server: ControlServer, sock: socket.socket) -> None:
        self.server, self.sock, self.protocol = server, sock, ControlProtocol(server.handlers)
        self.timer: Timer | None = None
        self.timed_out = False
        server.connections[self] = None
        self.task = server.loop.spawn(self.run(), sock, priority=True)

    def run(self) -> Coroutine:
        try:
            self.set_timer(REQUEST_TIMEOUT_MS)
            while not self.protocol.done:
                yield READ
                answer = self.protocol.time_out() if self.timed_out else self.read()
                if not (yield from self.write(answer)):
                    return
            if self.protocol.input_ended:
                return
            self.server.answered += 1
            self.sock.shutdown(socket.SHUT_WR)
            self.set_timer(LINGER_MS)
            while not self.timed_out:
                yield READ
                try:
                    if not self.server.buffers.receive(self.sock, len):
                        return
                except BlockingIOError:
                    pass
        except OSError:
            pass  # the client broke the connection
        finally:
            self.server.loop.timers.remove(self.timer)
            self.server.connections.pop(self, None)

    def read(self) -> bytes:
        received: list[bytes] = []
        try:
            self.server.buffers.receive(self.sock, lambda data: received.append(bytes(data)))
        except BlockingIOError:
            return b""
        return self.protocol.receive(received[0])

    def write(self, data: bytes) -> Generator[int, int, bool]:
        """Write all data; False if the client did not read it in time."""
        data = write(self.sock, data) if data else data
        if data:
            self.set_timer(RESPONSE_WRITE_TIMEOUT_MS)
        while data:
            yield WRITE
            if self.timed_out:
                return False
            data = write(self.sock, data)
        return True

    def set_timer(self, timeout_ms: float) -> None:
        self.server.loop.timers.remove(self.timer)
        self.timed_out, self.timer = (
            False,
            self.server.loop.timers.add(clock() + timeout_ms, self.on_timer),
        )

    def on_timer(self) -> None:
        self.timed_out, self.timer = True, None
        self.task.wake()
