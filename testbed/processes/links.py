"""The links between processes: every datagram and stream passes here, and meets the faults of its direction.

A process binds its own address and is known by another, which this relay binds. Who speaks is told by the
address that it speaks from; what it says is delivered from the address by which it is known. So each process
sees as a source just what it knows of the sender. One thread does it all.
"""

import asyncio
import contextlib
import random
import socket
import struct
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from typing import Any

from testbed.schedule import LinkFault

Address = tuple[str, int]

STAFF = -1  # whoever asks and is no process: no fault concerns it
MOST_HELD = 4096  # datagrams on their way; more are dropped, and counted
MOST_STREAMS = 1024
CHUNK = 65_536
TURN = 0.005  # seconds between two looks at whether held bytes may go
START_S = 10.0


def own_host(number: int) -> str:
    """The address that a process binds."""
    return f"127.1.{number >> 8}.{(number & 255) + 1}"


def known_host(number: int) -> str:
    """The address by which the others know it."""
    return f"127.2.{number >> 8}.{(number & 255) + 1}"


class Links:
    """A relay between processes 0 to size - 1, all on one port. Times of faults are in periods."""

    def __init__(self, size: int, port: int, period_ms: float, seed: int) -> None:
        self.size, self.port, self.period = size, port, period_ms / 1000.0
        self.rng = random.Random(seed)
        self.faults: list[LinkFault] = []
        self.origin = time.monotonic()
        self.counts: Counter[tuple[int, int, str]] = Counter()  # by sender, receiver and what became of it
        self.sockets: list[socket.socket] = []
        self.held = 0
        self.streams: set[tuple[int, int, asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.loop = asyncio.new_event_loop()
        self.ready = threading.Event()
        self.failed: OSError | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: dict[int, asyncio.Server] = {}
        self.takes: dict[int, Any] = {}
        self.thread = threading.Thread(target=self.work, daemon=True)
        self.thread.start()
        if not self.ready.wait(START_S) or self.failed is not None:
            raise OSError(f"the links' relay did not start: {self.failed}")

    # What the bench does with it; from any thread

    def begin(self, origin: float) -> None:
        """Count the times of faults from this instant on, in seconds on the monotonic clock."""
        self.origin = origin

    def now(self) -> float:
        """Periods since the beginning."""
        return (time.monotonic() - self.origin) / self.period

    def put(self, *faults: LinkFault) -> None:
        self.faults = [*self.faults, *faults]

    def cut(self, of: list[int], to: list[int]) -> LinkFault:
        """Cut one way from now until it is taken away."""
        fault = LinkFault(at=0.0, lasts=1e6, of=of, to=to, lost=1.0)
        self.put(fault)
        return fault

    def mend(self, *faults: LinkFault) -> None:
        """Take faults away; all of them where none is named."""
        self.faults = [f for f in self.faults if faults and f not in faults]

    def down(self, number: int) -> None:
        """A process has ended: its address refuses connections, as its machine's would."""

        async def end() -> None:
            self.servers[number].close()
            for of, to, near, far in list(self.streams):
                if number in (of, to):
                    reset(near)
                    reset(far)

        asyncio.run_coroutine_threadsafe(end(), self.loop).result(START_S)

    def back(self, number: int) -> None:
        """It is about to listen again."""

        async def begin() -> None:
            host, take = known_host(number), self.takes[number]
            self.servers[number] = await asyncio.start_server(take, host, self.port)

        asyncio.run_coroutine_threadsafe(begin(), self.loop).result(START_S)

    def close(self) -> None:
        if self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.loop.stop)
            self.thread.join(START_S)

    # Its thread

    def work(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self.listen())
        except OSError as error:
            self.failed = error
            self.ready.set()
            return
        self.ready.set()
        try:
            self.loop.run_forever()
        finally:
            for task in self.tasks:
                task.cancel()
            if self.tasks:
                self.loop.run_until_complete(asyncio.gather(*self.tasks, return_exceptions=True))
            for sock in self.sockets:
                sock.close()
            self.loop.run_until_complete(self.loop.shutdown_asyncgens())
            self.loop.close()

    async def listen(self) -> None:
        for number in range(self.size):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.sockets.append(sock)
            sock.setblocking(False)
            sock.bind((known_host(number), self.port))
            self.loop.add_reader(sock, self.take, sock, number)
            take: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]

            async def take(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: int = number
            ) -> None:
                await self.carry(reader, writer, to)

            self.takes[number] = take
            self.servers[number] = await asyncio.start_server(take, known_host(number), self.port)

    def number(self, host: str) -> int | None:
        """Who binds an address; None where nobody does."""
        parts = host.split(".")
        if parts[:2] != ["127", "1"]:
            return None
        found = int(parts[2]) * 256 + int(parts[3]) - 1
        return found if found < self.size else None

    def acting(self, a: int, b: int, kind: str) -> list[LinkFault]:
        now = self.now()
        if STAFF in (a, b):
            return []
        return [f for f in self.faults if f.carries in ("all", kind) and f.concerns(now, a, b)]

    # Datagrams

    def take(self, sock: socket.socket, to: int) -> None:
        for _ in range(64):
            try:
                data, source = sock.recvfrom(65_535)
            except BlockingIOError:
                return
            except OSError:
                continue
            of = self.number(source[0])
            if of is None:
                continue
            times = [0.0]
            for fault in self.acting(of, to, "datagram"):
                if fault.lost and self.rng.random() < fault.lost:
                    times = []
                    break
                if fault.doubled and self.rng.random() < fault.doubled:
                    times.append(self.rng.random() * self.period)
                late = fault.late and self.rng.random() < fault.late
                more = (fault.delay + (fault.late_by if late else 0.0)) * self.period
                times = [t + more for t in times]
            self.counts[of, to, "passed" if times else "lost"] += 1
            self.counts[of, to, "bytes"] += len(data) if times else 0
            for delay in times:
                if delay <= 0.0:
                    self.deliver(data, of, to)
                elif self.held < MOST_HELD:
                    self.held += 1
                    self.loop.call_later(delay, self.later, data, of, to)
                else:
                    self.counts[of, to, "no room"] += 1

    def later(self, data: bytes, of: int, to: int) -> None:
        self.held -= 1
        self.deliver(data, of, to)

    def deliver(self, data: bytes, of: int, to: int) -> None:
        with contextlib.suppress(OSError):
            self.sockets[of].sendto(data, (own_host(to), self.port))

    # Streams

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to: int) -> None:
        found = self.number(writer.get_extra_info("peername")[0])
        of = STAFF if found is None else found
        task = asyncio.current_task()
        if task is None or len(self.streams) >= MOST_STREAMS:
            writer.close()
            return
        self.tasks.add(task)
        far = None
        try:
            if any(f.reset for f in self.acting(of, to, "stream")):
                return reset(writer)
            local = (known_host(of), 0) if of != STAFF else None
            opened = asyncio.open_connection(own_host(to), self.port, local_addr=local)
            back, far = await opened
            mine = (of, to, writer, far)
            self.streams.add(mine)
            self.counts[of, to, "streams"] += 1
            try:
                await asyncio.gather(
                    self.pump(reader, far, of, to, writer), self.pump(back, writer, to, of, far)
                )
            finally:
                self.streams.discard(mine)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for end in (writer, far):
                if end is not None:
                    end.close()

    async def pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        of: int,
        to: int,
        other: asyncio.StreamWriter,
    ) -> None:
        """Pass on one direction, as its faults let it; a cut holds bytes back, as lost segments would."""
        waiting: deque[tuple[float, bytes]] = deque()
        reading = asyncio.ensure_future(source.read(CHUNK))
        ended = False
        try:
            while not ended or waiting:
                timeout = TURN if waiting else 0.05
                if not ended and len(waiting) < 64:
                    done, _ = await asyncio.wait({reading}, timeout=timeout)
                    if done:
                        data = reading.result()
                        ended = not data
                        if data:
                            waiting.append((time.monotonic(), data))
                            reading = asyncio.ensure_future(source.read(CHUNK))
                else:
                    await asyncio.sleep(TURN)
                faults = self.acting(of, to, "stream")
                if any(f.reset for f in faults):
                    reset(sink)
                    reset(other)
                    return
                if any(f.lost >= 1.0 for f in faults):
                    continue
                delay = sum(f.delay for f in faults) * self.period
                while waiting and time.monotonic() - waiting[0][0] >= delay:
                    at, data = waiting.popleft()
                    limits = [f.bytes_per_s for f in faults if f.bytes_per_s]
                    if limits:
                        part = max(1, int(min(limits) * 0.05))
                        if len(data) > part:
                            waiting.appendleft((at, data[part:]))
                            data = data[:part]
                        sink.write(data)
                        self.counts[of, to, "bytes"] += len(data)
                        await asyncio.sleep(0.05)
                        break
                    sink.write(data)
                    self.counts[of, to, "bytes"] += len(data)
                    await sink.drain()
            with contextlib.suppress(OSError, RuntimeError):
                sink.write_eof()
        finally:
            reading.cancel()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection as one that was reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
