"""The old process's side: a Unix socket at a fixed path, which serves one successor at a time.

A failure here is logged and ends the handover; the process continues to serve as before.
"""

import logging
import os
import socket
import struct
from collections.abc import Callable, Generator, Iterable, Mapping, Sequence
from pathlib import Path

from brackenusher.handover.messages import (
    MAX_DESCRIPTORS_PER_PACKET,
    MAX_PACKET_BYTES,
    HandoverMessageError,
    PacketKind,
    decode,
    encode,
)
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop

log = logging.getLogger(__name__)

MAX_SOCKET_PATH_BYTES = 107  # sun_path of a Unix socket, without the terminating zero
LISTEN_BACKLOG = 2


def socket_path(name: str, environ: Mapping[str, str]) -> Path | None:
    """Path of the handover socket; None if `$TMPDIR` is unset or the path would be too long."""
    folder = environ.get("TMPDIR")
    if not folder:
        return None
    safe_name = "".join(c if c.isalnum() else "-" for c in name)[:32]
    path = Path(folder) / f"handover-{safe_name}"
    return path if len(os.fsencode(path)) + len(".new") <= MAX_SOCKET_PATH_BYTES else None


def is_same_user(sock: socket.socket) -> bool:
    """Whether the peer process runs as the same user."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return struct.unpack("3i", credentials)[1] == os.geteuid()


class HandoverServer:
    """Accepts a successor, and sends it the state and the client connections."""

    def __init__(
        self,
        loop: EventLoop,
        path: Path,
        collect_state: Callable[[], tuple[list[str], list[int], Iterable[bytes]]],
    ):
        self.loop, self.path, self.collect_state = loop, path, collect_state
        self.successor: socket.socket | None = None  # connection to the successor
        self.listeners_sent = self.successor_serving = False  # listening sockets sent; successor serves
        self.on_successor_serving = lambda: None  # called when the successor serves
        self.on_successor_gone = lambda: None  # called when the connection to it ends, at any stage
        self.transferred = 0  # client connections transferred

    def listen(self) -> None:
        """Bind the handover socket; renaming replaces the socket of a process that still listens there."""
        temporary = self.path.with_name(self.path.name + ".new")
        sock = socket.socket(
            socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        )
        try:
            temporary.unlink(missing_ok=True)
            previous_umask = os.umask(0o177)
            try:
                sock.bind(str(temporary))
            finally:
                os.umask(previous_umask)
            sock.listen(LISTEN_BACKLOG)
            temporary.rename(self.path)
        except OSError as error:
            sock.close()
            log_event(
                log, logging.WARNING, "handover_off", "no handover to a new process: %(why)s", why=error
            )
            return
        self.task = self.loop.spawn(self.accept(sock), sock, priority=True)

    def accept(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                connection, _ = sock.accept()
            except OSError:
                continue
            connection.setblocking(False)
            if self.successor is not None or not is_same_user(connection):
                connection.close()  # one successor at a time, and only of the same user
                continue
            self.successor = connection
            self.loop.spawn(self.serve_successor(connection), connection, priority=True)

    def serve_successor(self, connection: socket.socket) -> Coroutine:
        try:
            while True:
                yield READ
                data = connection.recv(MAX_PACKET_BYTES)
                if not data:
                    return
                kind, _ = decode(data)
                if kind is PacketKind.HELLO and not self.listeners_sent:
                    yield from self.send_state(connection)
                elif kind is PacketKind.SERVING and self.listeners_sent:
                    self.successor_serving = True
                    log_event(log, logging.INFO, "successor_serves", "a new process serves beside this one")
                    self.on_successor_serving()
                else:
                    raise HandoverMessageError(f"unexpected packet: {kind.value}")
        except (OSError, HandoverMessageError) as error:
            log_event(log, logging.WARNING, "handover_broken", "handover: %(why)s", why=error)
        finally:
            self.successor, self.listeners_sent, self.successor_serving = None, False, False
            if self.loop.running:
                log_event(log, logging.INFO, "successor_gone", "the new process is gone from the handover")
                self.on_successor_gone()

    def send_state(self, connection: socket.socket) -> Generator[int, int, None]:
        """Send the initial state; yields to the event loop while the socket buffer is full."""
        addresses, fds, packets = self.collect_state()
        socket.send_fds(connection, [encode(PacketKind.WELCOME, addresses)], fds)
        self.listeners_sent = True
        for packet in packets:
            while True:
                try:
                    connection.send(packet)
                    break
                except BlockingIOError:
                    yield WRITE

    def notify(self, kind: PacketKind, body: object) -> None:
        """Send a packet to the successor, if it has the listening sockets."""
        if self.successor is not None and self.listeners_sent:
            try:
                self.successor.send(encode(kind, body))
            except OSError:
                pass  # a later packet repeats the state, or the closed connection ends the handover

    def transfer(self, socks: Sequence[socket.socket]) -> bool:
        """Transfer client connections in one packet; False if no successor can take them now."""
        assert len(socks) <= MAX_DESCRIPTORS_PER_PACKET
        if self.successor is None or not self.successor_serving:
            return False
        try:
            packet = encode(PacketKind.CLIENT_CONNECTIONS, len(socks))
            socket.send_fds(self.successor, [packet], [sock.fileno() for sock in socks])
        except OSError:
            return False
        self.transferred += len(socks)
        return True

    def close(self) -> None:
        """Remove the socket path on shutdown, unless a successor has taken it over."""
        if not self.listeners_sent:
            self.path.unlink(missing_ok=True)
