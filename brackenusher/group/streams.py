"""Streams between the proxies of a group: one in each direction, authenticated, numbered, bound to a nonce.

The sender opens a connection and identifies itself; the receiver answers with a random nonce, which each
frame after it repeats along with a sequence number, so that recorded frames cannot be replayed. The queues
are bounded and drop what exceeds them; senders must tolerate losses. No clocks are compared.
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

SEAL_PURPOSE = b"stream"  # purpose that is bound into the seal of the frames
MAX_QUEUED_BYTES = 4 * 1024 * 1024  # per peer
MAX_INCOMING_STREAMS = 300
CONNECT_RETRY_INTERVAL_MS = 200.0
HANDSHAKE_TIMEOUT_MS = 2000.0  # until the handshake is complete


CHANNEL_PREFIX = b"\xc1"  # before the name of a channel: never used by msgpack, so no message begins with it

StreamOpenedCallback = Callable[[str, int, int, Callable[[int | None], None]], None]


class StreamMessage(Struct, array_like=True, frozen=True):
    nonce: bytes  # from the receiver's handshake
    sequence: Annotated[int, Meta(ge=0)]
    data: bytes


class FrameDecoder:
    """Splits a stream into frames: a big-endian length of four bytes and a body."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: memoryview) -> list[bytes]:
        """Returns the bodies that are now complete. Raises FrameError."""
        if not data:
            raise FrameError("closed by the peer")
        self.buffer += data
        found = []
        while len(self.buffer) >= 4:
            length = int.from_bytes(self.buffer[:4], "big")
            if length > MOST_FRAME:
                raise FrameError(f"frame of {length} bytes exceeds the limit")
            if len(self.buffer) < 4 + length:
                break
            found.append(bytes(self.buffer[4 : 4 + length]))
            del self.buffer[: 4 + length]
        return found


def encode_frame(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + body


class OutgoingStream:
    """Queue of messages to one peer, and the task of its connection if there is one."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.task: Task | None = None
        self.attempted_at = -CONNECT_RETRY_INTERVAL_MS
        self.connect_started_at = 0.0


class Streams:
    """All streams of one proxy, incoming and outgoing."""

    def __init__(
        self,
        loop: EventLoop,
        buffers: BufferPool,
        settings: PeersSettings,
        name: str,
        address_of: Callable[[str], Address | None],
    ) -> None:
        self.loop, self.buffers, self.settings, self.name = loop, buffers, settings, name
        self.address_of = address_of
        self.handlers: dict[bytes, Callable[[str, bytes], None]] = {}  # by channel; the policy's is empty
        self.on_connection_refused: Callable[[str, float], None] = lambda name, began: None
        self.on_stream_opened: StreamOpenedCallback = lambda name, lives, run, then: then(0)
        self.on_recorded_opens: Callable[[str, int], None] = lambda name, lives: None
        self.store_opens, self.run_id = 0, random.SystemRandom().getrandbits(48) | 1
        self.out: dict[str, OutgoingStream] = {}
        self.incoming_count = 0
        self.counts: Counter[str] = Counter()
        self.bytes_sent = 0

    # Outgoing

    def send(self, to: str, data: bytes, channel: bytes = b"") -> None:
        """Queues a message on a channel of a peer; the policy's messages carry no channel name."""
        if channel:
            data = CHANNEL_PREFIX + channel + data
        out = self.out.get(to)
        if out is None:
            out = self.out[to] = OutgoingStream(to)
        if out.queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.counts["room"] += 1
            return
        out.queue.append(data)
        out.queued_bytes += len(data)
        self.flush(out)

    def flush(self, out: OutgoingStream) -> None:
        """Sends what is queued; connects unless that was tried recently."""
        if out.task is not None and not out.task.ended:
            out.task.wake()
            return
        now = clock()
        if now - out.attempted_at < CONNECT_RETRY_INTERVAL_MS:
            if len(out.queue) > 64:  # unreachable peer: old messages are of no use
                out.queued_bytes -= len(out.queue.popleft())
            return
        out.attempted_at = out.connect_started_at = now
        address = self.address_of(out.name)
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
            self.on_connect_failed(out, code)
            return
        out.task = self.loop.spawn(self.run_outgoing(sock, out), sock)

    def on_connect_failed(self, out: OutgoingStream, code: int) -> None:
        self.counts["connect"] += 1
        if code == errno.ECONNREFUSED:
            self.on_connection_refused(out.name, out.connect_started_at)

    def probe(self, name: str) -> None:
        """Checks whether a peer can be reached, with an empty message."""
        self.send(name, b"")

    def on_handshake_timeout(self, out: OutgoingStream) -> None:
        """Ends a connection whose handshake did not complete in time."""
        if out.task is not None:
            out.task.stop()

    def run_outgoing(self, sock: socket.socket, out: OutgoingStream) -> Coroutine:
        settings, decoder = self.settings, FrameDecoder()
        handshake_timer = self.loop.timers.add(
            clock() + HANDSHAKE_TIMEOUT_MS, lambda: self.on_handshake_timeout(out)
        )
        try:
            yield WRITE
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code))
            unsent = pack(
                Open(self.name, self.store_opens, self.run_id), settings.keys[settings.sign], settings.sign
            )
            bodies: list[bytes] = []
            while unsent:
                unsent = write(sock, unsent)
                if unsent:
                    yield WRITE
            while not bodies:
                if (yield READ) & READ:  # otherwise woken by new messages, which are sent after the handshake
                    self.buffers.receive(sock, lambda data: bodies.extend(decoder.feed(data)))
            reply = unpack(settings.keys, bodies[0])
            if not isinstance(reply, Opened):
                raise FrameError("unexpected reply to the handshake")
            self.loop.timers.remove(handshake_timer)
            self.on_recorded_opens(out.name, reply.lives)
            sequence, unsent = 0, b""
            key = settings.keys[settings.sign]
            while True:
                while out.queue or unsent:
                    if not unsent:
                        data = out.queue.popleft()
                        out.queued_bytes -= len(data)
                        sequence += 1
                        body = msgpack.encode(StreamMessage(reply.number, sequence, data))
                        unsent = encode_frame(seal(key, settings.sign, SEAL_PURPOSE, body))
                        self.bytes_sent += len(unsent)
                    unsent = write(sock, unsent)
                    if unsent:
                        yield WRITE
                events = yield READ
                if events & READ and not sock.recv(1):
                    raise FrameError("connection closed by the peer")
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
            self.on_connect_failed(out, code)
        finally:
            self.loop.timers.remove(handshake_timer)
            out.task = None

    # Incoming

    def dispatch(self, sender: str, data: bytes) -> None:
        """Passes a message to the handler of its channel."""
        channel, data = (data[1:2], data[2:]) if data[:1] == CHANNEL_PREFIX else (b"", data)
        handler = self.handlers.get(channel)
        if handler is None:
            self.counts["parts"] += 1
        else:
            handler(sender, data)

    def serve(self, sock: socket.socket, hello: Open) -> Coroutine:
        """Receives a stream that a peer has opened."""
        if self.incoming_count >= MAX_INCOMING_STREAMS:
            self.counts["streams"] += 1
            return
        self.incoming_count += 1
        settings, nonce, sequence, decoder = self.settings, os.urandom(16), 0, FrameDecoder()
        try:
            recorded_opens: list[int | None] = []
            task = self.loop.tasks.get(sock.fileno())

            def then(lives: int | None) -> None:
                recorded_opens.append(lives)
                if (
                    is_waiting and task is not None
                ):  # a call from within on_stream_opened must not cause a later wake-up
                    task.wake()

            is_waiting = False
            self.on_stream_opened(hello.name, hello.lives, hello.run, then)
            is_waiting = True
            while not recorded_opens:  # the peer's count is durable here before the reply
                yield 0
            if recorded_opens[0] is None:
                raise FrameError("the local store failed")
            reply = Opened(nonce, recorded_opens[0])
            unsent = pack(reply, settings.keys[settings.sign], settings.sign)
            while unsent:
                unsent = write(sock, unsent)
                if unsent:
                    yield WRITE
            while True:
                yield READ
                bodies: list[bytes] = []
                self.buffers.receive(sock, lambda data, found=bodies: found.extend(decoder.feed(data)))  # type: ignore[misc]
                for sealed in bodies:
                    body = msgpack.decode(unseal(settings.keys, SEAL_PURPOSE, sealed), type=StreamMessage)
                    if body.nonce != nonce or body.sequence != sequence + 1:
                        raise FrameError("wrong nonce or sequence number")
                    sequence = body.sequence
                    if body.data:
                        self.dispatch(hello.name, body.data)
        except (OSError, FrameError, SealError, DecodeError, ValidationError, BlockingIOError) as error:
            log_event(
                log,
                logging.DEBUG,
                "stream_ended",
                "group: from %(peer)s: %(why)s",
                peer=hello.name,
                why=str(error),
            )
        finally:
            self.incoming_count -= 1
