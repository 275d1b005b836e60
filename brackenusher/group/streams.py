"""Streams between the proxies of a group: one each way, sealed, numbered, bound to a number of the taker's.

Whoever wants to send opens a connection and says who it is; the taker answers with a random number, which
each frame after it repeats, with a count: an old recording proves nothing. What waits is bounded, and dropped
beyond; who sends must bear losses. No clock is compared.
"""

import errno
import logging
import os
import random
import socket
from collections import Counter, deque
from collections.abc import Callable
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, ValidationError, msgpack

from brackenusher.config.operators import PeersSettings
from brackenusher.membership.frames import MOST_FRAME, FrameError, Open, Opened, pack, unpack
from brackenusher.membership.seal import SealError, seal, unseal
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import Address, write
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, WRITE, Coroutine, EventLoop, Task, clock

log = logging.getLogger(__name__)

STREAM = b"stream"  # the purpose that frames are sealed for
MOST_WAITING = 4 * 1024 * 1024  # bytes that wait for one peer
MOST_STREAMS = 300  # taken
AGAIN = 200.0  # milliseconds between two tries to connect
PATIENCE = 2000.0  # milliseconds until a connection has to be open


NAMED = b"\xc1"  # before the name of a part: no message of msgpack begins so

Opener = Callable[[str, int, int, Callable[[int | None], None]], None]


class Body(Struct, array_like=True, frozen=True):
    number: bytes  # the taker's
    count: Annotated[int, Meta(ge=0)]
    data: bytes


class Frames:
    """Cuts a stream into frames: four bytes of length, greatest first, and a body."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: memoryview) -> list[bytes]:
        """The bodies that are whole by now. Raises FrameError."""
        if not data:
            raise FrameError("cut short")
        self.buffer += data
        found = []
        while len(self.buffer) >= 4:
            length = int.from_bytes(self.buffer[:4], "big")
            if length > MOST_FRAME:
                raise FrameError(f"a frame of {length} bytes")
            if len(self.buffer) < 4 + length:
                break
            found.append(bytes(self.buffer[4 : 4 + length]))
            del self.buffer[: 4 + length]
        return found


def frame(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + body


class Outgoing:
    """What is to be sent to one peer, and the connection there, where there is one."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self.task: Task | None = None
        self.tried_at = -AGAIN
        self.began = 0.0


class Streams:
    """All streams of one proxy."""

    def __init__(
        self,
        loop: EventLoop,
        buffers: BufferPool,
        settings: PeersSettings,
        name: str,
        where: Callable[[str], Address | None],
    ) -> None:
        self.loop, self.buffers, self.settings, self.name = loop, buffers, settings, name
        self.where = where
        self.takers: dict[bytes, Callable[[str, bytes], None]] = {}  # by part; the policy's has no name
        self.refused: Callable[[str, float], None] = lambda name, began: None
        self.opened: Opener = lambda name, lives, run, then: then(0)
        self.known: Callable[[str, int], None] = lambda name, lives: None
        self.lives, self.run = 0, random.SystemRandom().getrandbits(48) | 1
        self.out: dict[str, Outgoing] = {}
        self.taken = 0
        self.counts: Counter[str] = Counter()
        self.bytes = 0

    # Outgoing

    def send(self, to: str, data: bytes, part: bytes = b"") -> None:
        """Send one message for a part of whoever it is; the policy's have no name before them."""
        if part:
            data = NAMED + part + data
        out = self.out.get(to)
        if out is None:
            out = self.out[to] = Outgoing(to)
        if out.size + len(data) > MOST_WAITING:
            self.counts["room"] += 1
            return
        out.waiting.append(data)
        out.size += len(data)
        self.go(out)

    def go(self, out: Outgoing) -> None:
        """Have what waits sent; connect where that was not tried lately."""
        if out.task is not None and not out.task.ended:
            out.task.wake()
            return
        now = clock()
        if now - out.tried_at < AGAIN:
            if len(out.waiting) > 64:  # it is not there: what is old is of no use
                out.size -= len(out.waiting.popleft())
            return
        out.tried_at = out.began = now
        address = self.where(out.name)
        if address is None:
            self.counts["unknown"] += 1
            return
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.bind((self.settings.listen[0], 0))
            code = sock.connect_ex(address)
        except OSError as error:
            code = error.errno or errno.EIO
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self.failed(out, code)
            return
        out.task = self.loop.spawn(self.carry(sock, out), sock)

    def failed(self, out: Outgoing, code: int) -> None:
        self.counts["connect"] += 1
        if code == errno.ECONNREFUSED:
            self.refused(out.name, out.began)

    def nudge(self, name: str) -> None:
        """Try whether one is there, though there is nothing to send."""
        self.send(name, b"")

    def late(self, out: Outgoing) -> None:
        """A connection did not open in time."""
        if out.task is not None:
            out.task.stop()

    def carry(self, sock: socket.socket, out: Outgoing) -> Coroutine:
        settings, frames = self.settings, Frames()
        limit = self.loop.timers.add(clock() + PATIENCE, lambda: self.late(out))
        try:
            yield WRITE
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
            rest = pack(Open(self.name, self.lives, self.run), settings.keys[settings.sign], settings.sign)
            bodies: list[bytes] = []
            while rest:
                rest = write(sock, rest)
                if rest:
                    yield WRITE
            while not bodies:
                if (yield READ) & READ:  # else there is more to send, later
                    self.buffers.receive(sock, lambda data: bodies.extend(frames.feed(data)))
            told = unpack(settings.keys, bodies[0])
            if not isinstance(told, Opened):
                raise FrameError("not an answer to what was said")
            self.loop.timers.remove(limit)
            self.known(out.name, told.lives)
            count, rest = 0, b""
            key = settings.keys[settings.sign]
            while True:
                while out.waiting or rest:
                    if not rest:
                        data = out.waiting.popleft()
                        out.size -= len(data)
                        count += 1
                        body = msgpack.encode(Body(told.number, count, data))
                        rest = frame(seal(key, settings.sign, STREAM, body))
                        self.bytes += len(rest)
                    rest = write(sock, rest)
                    if rest:
                        yield WRITE
                events = yield READ
                if events & READ and not sock.recv(1):
                    raise FrameError("closed")
        except (OSError, FrameError) as error:
            code = error.errno or 0 if isinstance(error, OSError) else 0
            log_event(
                log,
                logging.DEBUG,
                "stream_ended",
                "group: to %(peer)s: %(why)s",
                peer=out.name,
                why=str(error),
            )
            self.failed(out, code)
        finally:
            self.loop.timers.remove(limit)
            out.task = None

    # Taken

    def hand(self, sender: str, data: bytes) -> None:
        """Give a message to the part that it is for."""
        part, data = (data[1:2], data[2:]) if data[:1] == NAMED else (b"", data)
        taker = self.takers.get(part)
        if taker is None:
            self.counts["parts"] += 1
        else:
            taker(sender, data)

    def serve(self, sock: socket.socket, said: Open) -> Coroutine:
        """Take a stream that a peer has opened."""
        if self.taken >= MOST_STREAMS:
            self.counts["streams"] += 1
            return
        self.taken += 1
        settings, number, count, frames = self.settings, os.urandom(16), 0, Frames()
        try:
            told: list[int | None] = []
            task = self.loop.tasks.get(sock.fileno())

            def then(lives: int | None) -> None:
                told.append(lives)
                if waits and task is not None:  # one that does not wait must not be woken later
                    task.wake()

            waits = False
            self.opened(said.name, said.lives, said.run, then)
            waits = True
            while not told:  # what it says of itself is on disk here before it hears an answer
                yield 0
            if told[0] is None:
                raise FrameError("the disk fails here")
            opened = Opened(number, told[0])
            rest = pack(opened, settings.keys[settings.sign], settings.sign)
            while rest:
                rest = write(sock, rest)
                if rest:
                    yield WRITE
            while True:
                yield READ
                bodies: list[bytes] = []
                self.buffers.receive(sock, lambda data, found=bodies: found.extend(frames.feed(data)))  # type: ignore[misc]
                for sealed in bodies:
                    body = msgpack.decode(unseal(settings.keys, STREAM, sealed), type=Body)
                    if body.number != number or body.count != count + 1:
                        raise FrameError("another's words")
                    count = body.count
                    if body.data:
                        self.hand(said.name, body.data)
        except (OSError, FrameError, SealError, DecodeError, ValidationError, BlockingIOError) as error:
            log_event(
                log,
                logging.DEBUG,
                "stream_ended",
                "group: from %(peer)s: %(why)s",
                peer=said.name,
                why=str(error),
            )
        finally:
            self.taken -= 1
