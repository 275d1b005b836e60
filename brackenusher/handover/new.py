"""The new process's side: receives the initial state from the old process, then follows it until it exits.

Any failure before the initial state is complete is logged and leads to an ordinary start.
"""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brackenusher.handover.messages import (
    MAX_DESCRIPTORS_PER_PACKET,
    MAX_PACKET_BYTES,
    HandoverMessageError,
    PacketKind,
    decode,
    encode,
)
from brackenusher.handover.old import is_same_user
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, clock

log = logging.getLogger(__name__)

HANDOVER_TIMEOUT_MS = 1500.0  # for the whole initial state; the old process may be busy on a small CPU share


@dataclass(slots=True)
class Taken:
    """Initial state received from the old process."""

    connection: socket.socket
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by address
    hosts: list[Any] = field(default_factory=list)
    warm_state: list[Any] = field(default_factory=list)
    state: dict[str, Any] = field(default_factory=dict)  # body of the final packet

    def close(self) -> None:
        for sock in (self.connection, *self.listeners.values()):
            sock.close()


def request_state(path: Path | None) -> Taken | None:
    """Request the state of the old process; None if there is no such process or the handover fails."""
    if path is None or not path.exists():
        return None
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)
    inherited = Taken(connection)
    try:
        deadline = clock() + HANDOVER_TIMEOUT_MS
        connection.settimeout(HANDOVER_TIMEOUT_MS / 1000.0)
        connection.connect(str(path))
        if not is_same_user(connection):
            raise HandoverMessageError("the old process runs as another user")
        connection.send(encode(PacketKind.HELLO))
        while True:
            remaining_ms = deadline - clock()
            if remaining_ms <= 0:
                raise TimeoutError("the old process did not send its state in time")
            connection.settimeout(remaining_ms / 1000.0)
            if receive_packet(inherited):
                connection.setblocking(False)
                return inherited
    except (OSError, HandoverMessageError, ValueError, TypeError, KeyError) as error:
        inherited.close()
        log_event(log, logging.WARNING, "no_handover", "no handover, an ordinary start: %(why)s", why=error)
        return None


def receive_packet(inherited: Taken) -> bool:
    """Receive one packet; return whether it completes the initial state."""
    data, fds, flags, _ = socket.recv_fds(inherited.connection, MAX_PACKET_BYTES, MAX_DESCRIPTORS_PER_PACKET)
    socks = [socket.socket(fileno=fd) for fd in fds]
    try:
        if not data:
            raise HandoverMessageError("the old process closed the connection")
        if flags & socket.MSG_CTRUNC:
            raise HandoverMessageError("descriptors run short")
        kind, body = decode(data)
        if kind is PacketKind.WELCOME and not inherited.listeners:
            if len(body) != len(socks) or not socks:
                raise HandoverMessageError("number of listening sockets differs from number of addresses")
            inherited.listeners, socks = dict(zip(body, socks, strict=True)), []
        elif kind is PacketKind.SERVER_LIST and inherited.listeners:
            inherited.hosts += body
        elif kind is PacketKind.WARM_STATE and inherited.listeners:
            inherited.warm_state += body
        elif kind is PacketKind.STATE_COMPLETE and inherited.listeners:
            inherited.state = dict(body)
            return True
        else:
            raise HandoverMessageError(f"unexpected packet: {kind.value}")
        return False
    finally:
        for sock in socks:
            sock.close()


class PredecessorConnection:
    """Connection to the old process after the initial state, until the old process exits."""

    def __init__(
        self,
        loop: EventLoop,
        connection: socket.socket,
        on_usage: Callable[[dict[str, Any]], None],
        on_client: Callable[[socket.socket], None],
        on_end: Callable[[], None],
    ) -> None:
        self.connection, self.on_usage, self.on_client, self.on_end = connection, on_usage, on_client, on_end
        self.received = 0  # connections received
        self.task = loop.spawn(self.run(), connection, priority=True)

    def notify_serving(self) -> None:
        """Notify the old process that this one serves."""
        try:
            self.connection.send(encode(PacketKind.SERVING))
        except OSError as error:
            log_event(log, logging.WARNING, "handover_broken", "handover: %(why)s", why=error)

    def run(self) -> Coroutine:
        try:
            while True:
                yield READ
                data, fds, flags, _ = socket.recv_fds(
                    self.connection, MAX_PACKET_BYTES, MAX_DESCRIPTORS_PER_PACKET
                )
                if flags & socket.MSG_CTRUNC:
                    log_event(log, logging.WARNING, "clients_lost", "handover: descriptors run short")
                for fd in fds:
                    self.received += 1
                    self.on_client(socket.socket(fileno=fd))
                if not data:
                    return
                kind, body = decode(data)
                if kind is PacketKind.DESCRIPTOR_USAGE:
                    self.on_usage(body)
                elif kind is not PacketKind.CLIENT_CONNECTIONS:
                    raise HandoverMessageError(f"unexpected packet: {kind.value}")
        except (OSError, HandoverMessageError) as error:
            log_event(log, logging.WARNING, "handover_broken", "handover: %(why)s", why=error)
        finally:
            self.on_end()
