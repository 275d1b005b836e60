"""The new process's side: what it gets from the old one at its start, and until that one has ended.

Whatever goes wrong leaves an ordinary start, with one line in the log.
"""

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from brackenusher.handover.messages import LONGEST, MOST_PASSED, HandoverMessageError, Kind, read, word
from brackenusher.handover.old import ours
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, clock

log = logging.getLogger(__name__)

PATIENCE = 1500.0  # ms for all that the old process gives: it may have little of a core, and be busy


@dataclass(slots=True)
class Taken:
    """What the old process gave."""

    link: socket.socket
    listeners: dict[str, socket.socket] = field(default_factory=dict)  # by their addresses
    hosts: list[Any] = field(default_factory=list)
    learned: list[Any] = field(default_factory=list)
    state: dict[str, Any] = field(default_factory=dict)  # of READY

    def drop(self) -> None:
        for sock in (self.link, *self.listeners.values()):
            sock.close()


def take(path: Path | None) -> Taken | None:
    """Ask an old process for what it has; None where there is none, or what it gives cannot be used."""
    if path is None or not path.exists():
        return None
    link = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_CLOEXEC)
    taken = Taken(link)
    try:
        end = clock() + PATIENCE
        link.settimeout(PATIENCE / 1000.0)
        link.connect(str(path))
        if not ours(link):
            raise HandoverMessageError("the old process is another user's")
        link.send(word(Kind.HELLO))
        while True:
            left = end - clock()
            if left <= 0:
                raise TimeoutError("the old process takes too long")
            link.settimeout(left / 1000.0)
            if receive(taken):
                link.setblocking(False)
                return taken
    except (OSError, HandoverMessageError, ValueError, TypeError, KeyError) as error:
        taken.drop()
        log_event(log, logging.WARNING, "no_handover", "no handover, an ordinary start: %(why)s", why=error)
        return None


def receive(taken: Taken) -> bool:
    """Take one packet; whether it was the last of the start."""
    data, fds, flags, _ = socket.recv_fds(taken.link, LONGEST, MOST_PASSED)
    socks = [socket.socket(fileno=fd) for fd in fds]
    try:
        if not data:
            raise HandoverMessageError("the old process has gone")
        if flags & socket.MSG_CTRUNC:
            raise HandoverMessageError("descriptors run short")
        kind, body = read(data)
        if kind is Kind.WELCOME and not taken.listeners:
            if len(body) != len(socks) or not socks:
                raise HandoverMessageError("addresses and sockets differ in number")
            taken.listeners, socks = dict(zip(body, socks, strict=True)), []
        elif kind is Kind.LIST and taken.listeners:
            taken.hosts += body
        elif kind is Kind.LEARNED and taken.listeners:
            taken.learned += body
        elif kind is Kind.READY and taken.listeners:
            taken.state = dict(body)
            return True
        else:
            raise HandoverMessageError(f"{kind.value} is out of turn")
        return False
    finally:
        for sock in socks:
            sock.close()


class New:
    """Stays in touch with the old process until that has ended."""

    def __init__(
        self,
        loop: EventLoop,
        link: socket.socket,
        held: Callable[[dict[str, Any]], None],
        client: Callable[[socket.socket], None],
        ended: Callable[[], None],
    ) -> None:
        self.link, self.held, self.client, self.ended = link, held, client, ended
        self.clients = 0  # connections that were passed on
        self.task = loop.spawn(self.run(), link, priority=True)

    def serves(self) -> None:
        """Tell the old process that this one serves."""
        try:
            self.link.send(word(Kind.SERVES))
        except OSError as error:
            log_event(log, logging.WARNING, "handover_broken", "handover: %(why)s", why=error)

    def run(self) -> Coroutine:
        try:
            while True:
                yield READ
                data, fds, flags, _ = socket.recv_fds(self.link, LONGEST, MOST_PASSED)
                if flags & socket.MSG_CTRUNC:
                    log_event(log, logging.WARNING, "clients_lost", "handover: descriptors run short")
                for fd in fds:
                    self.clients += 1
                    self.client(socket.socket(fileno=fd))
                if not data:
                    return
                kind, body = read(data)
                if kind is Kind.HELD:
                    self.held(body)
                elif kind is not Kind.CLIENTS:
                    raise HandoverMessageError(f"{kind.value} is out of turn")
        except (OSError, HandoverMessageError) as error:
            log_event(log, logging.WARNING, "handover_broken", "handover: %(why)s", why=error)
        finally:
            self.ended()
