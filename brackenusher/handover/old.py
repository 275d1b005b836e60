"""The old process's side: a Unix socket under a fixed name, and the one successor that came there.

What goes wrong here is logged and ends the handover; the process serves on as if nobody had come.
"""

import logging
import os
import socket
import struct
from collections.abc import Callable, Generator, Iterable, Mapping, Sequence
from pathlib import Path

from brackenusher.handover.messages import LONGEST, MOST_PASSED, HandoverMessageError, Kind, read, word
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop

log = logging.getLogger(__name__)

LONGEST_PATH = 107  # bytes of a Unix socket's name
CALLERS = 2  # that wait to be accepted


def path_for(name: str, environ: Mapping[str, str]) -> Path | None:
    """Where the two meet; None where there is no `$TMPDIR` or its name is too long."""
    folder = environ.get("TMPDIR")
    if not folder:
        return None
    plain = "".join(c if c.isalnum() else "-" for c in name)[:32]
    path = Path(folder) / f"handover-{plain}"
    return path if len(os.fsencode(path)) + len(".new") <= LONGEST_PATH else None


def ours(sock: socket.socket) -> bool:
    """Whether the other end is of this user."""
    peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return struct.unpack("3i", peer)[1] == os.geteuid()


class Old:
    """Waits for a successor, and gives it what it needs."""

    def __init__(
        self, loop: EventLoop, path: Path, give: Callable[[], tuple[list[str], list[int], Iterable[bytes]]]
    ):
        self.loop, self.path, self.give = loop, path, give
        self.link: socket.socket | None = None  # to the successor
        self.given = self.serves = False  # the successor has the listening sockets; it serves
        self.came = lambda: None  # called when a successor serves
        self.went = lambda: None  # and when it has gone, at whatever stage
        self.passed = 0  # clients' connections

    def listen(self) -> None:
        """Take the name, also from a process that has it still."""
        beside = self.path.with_name(self.path.name + ".new")
        sock = socket.socket(
            socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        )
        try:
            beside.unlink(missing_ok=True)
            before = os.umask(0o177)
            try:
                sock.bind(str(beside))
            finally:
                os.umask(before)
            sock.listen(CALLERS)
            beside.rename(self.path)
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
                link, _ = sock.accept()
            except OSError:
                continue
            link.setblocking(False)
            if self.link is not None or not ours(link):
                link.close()  # one at a time, and nobody else's
                continue
            self.link = link
            self.loop.spawn(self.serve(link), link, priority=True)

    def serve(self, link: socket.socket) -> Coroutine:
        try:
            while True:
                yield READ
                data = link.recv(LONGEST)
                if not data:
                    return
                kind, _ = read(data)
                if kind is Kind.HELLO and not self.given:
                    yield from self.welcome(link)
                elif kind is Kind.SERVES and self.given:
                    self.serves = True
                    log_event(log, logging.INFO, "successor_serves", "a new process serves beside this one")
                    self.came()
                else:
                    raise HandoverMessageError(f"{kind.value} is out of turn")
        except (OSError, HandoverMessageError) as error:
            log_event(log, logging.WARNING, "handover_broken", "handover: %(why)s", why=error)
        finally:
            self.link, self.given, self.serves = None, False, False
            if self.loop.running:
                log_event(log, logging.INFO, "successor_gone", "the new process is gone from the handover")
                self.went()

    def welcome(self, link: socket.socket) -> Generator[int, int, None]:
        """Give all in one go; the loop runs on where the socket does not take it."""
        addresses, fds, rest = self.give()
        socket.send_fds(link, [word(Kind.WELCOME, addresses)], fds)
        self.given = True
        for packet in rest:
            while True:
                try:
                    link.send(packet)
                    break
                except BlockingIOError:
                    yield WRITE

    def tell(self, kind: Kind, body: object) -> None:
        """Tell the successor, if there is one and it listens."""
        if self.link is not None and self.given:
            try:
                self.link.send(word(kind, body))
            except OSError:
                pass  # it hears the next one, or its end ends the handover

    def pass_on(self, socks: Sequence[socket.socket]) -> bool:
        """Give clients' connections to the successor, `MOST_PASSED` at most; False if it takes none now."""
        assert len(socks) <= MOST_PASSED
        if self.link is None or not self.serves:
            return False
        try:
            packet = word(Kind.CLIENTS, len(socks))
            socket.send_fds(self.link, [packet], [sock.fileno() for sock in socks])
        except OSError:
            return False
        self.passed += len(socks)
        return True

    def close(self) -> None:
        """The process ends: whoever finds the name finds nobody, unless a successor has it."""
        if not self.given:
            self.path.unlink(missing_ok=True)
