"""What HTTP/2 toward clients costs beside HTTP/1.1, and what it withstands: the real daemon on one core.

The daemon, what stands in for its servers, and this client are processes of their own. CPU is the daemon's,
from /proc. Requests/s are of a closed loop: each answer is followed by the next request on its stream or
connection.
"""

import argparse
import asyncio
import json
import os
import selectors
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median, quantiles

import hpack

ROOT = Path(__file__).resolve().parent.parent
MEMBERS = 60  # enough that the module holds nothing back at 100 requests at once
ANSWER, LARGE = 500, 60_000  # bytes of answers
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
OPEN_WINDOW = struct.pack(">I", 4)[1:] + b"\x08\0\0\0\0\0" + struct.pack(">I", 2**31 - 1 - 65_535)
CLASSES = [
    {"name": "board-read", "slo": 4000.0, "deadline": 5000.0, "worth": 1.0, "repeat": "free"},
    {
        "name": "turn-submit",
        "slo": 4000.0,
        "deadline": 5000.0,
        "worth": 1.0,
        "repeat": "guarded",
        "group": "all",
        "window": 6000.0,
    },
]


async def stand_in(ports: list[int]) -> None:
    """Turn servers on all ports but the last, discovery's agent on that."""
    hosts = [
        {
            "host": f"s{n}",
            "dial": f"127.0.0.1:{port}",
            "site": "a",
            "class": "m",
            "block": n,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
        for n, port in enumerate(ports[:-1])
    ]
    listing = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
    answers = {
        size: b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (size, b"x" * size)
        for size in (ANSWER, LARGE)
    }

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/registry" in head:
                    if b"watch=1" in head:
                        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    else:
                        writer.write(
                            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(listing) + listing
                        )
                    continue
                if b"content-length: " in head:
                    await reader.readexactly(int(head.partition(b"content-length: ")[2].split()[0]))
                writer.write(answers[LARGE if b"large" in head[:60] else ANSWER])
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    for port in ports:
        await asyncio.start_server(serve, "127.0.0.1", port)
    print("up", flush=True)
    await asyncio.Event().wait()


def free_ports(count: int) -> list[int]:
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Daemon:
    """The daemon on one core, with both fronts."""

    def __init__(self, folder: str, ports: list[int], core: int) -> None:
        self.http1, self.http2 = free_ports(2)
        settings = {
            "classes": CLASSES,
            "tick": 5.0,
            "instances": 1,
            "membershipMode": "automatic",
            "limits": {
                "attemptsCap": 2,
                "cancelling": True,
                "parallelTries": True,
                "connIdle": 15000.0,
                "connectTimeout": 200.0,
                "maxRetryAfter": 600.0,
                "retryAfter": True,
            },
            "rules": {
                "stopSendingWithin": 500.0,
                "cold": 0.0,
                "coldFrom": 1.0,
                "tipAfter": 1000.0,
            },
        }
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.http1}",
            "discovery": f"127.0.0.1:{ports[-1]}",
            "seed": "1",
            "limits": {"cores": 1.0, "sockets": 1024},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": settings,
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        operator = Path(folder) / "operator.properties"
        operator.write_text(
            f"http2.enabled = true\nhttp2.listen = 127.0.0.1:{self.http2}\n", encoding="utf-8"
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brackenusher", "serve", "--operator", str(operator)],
            cwd=ROOT,
            env={**os.environ, "GW_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )
        os.sched_setaffinity(self.process.pid, {core})
        self.wait()

    def wait(self) -> None:
        while True:
            try:
                with socket.create_connection(("127.0.0.1", self.http1)) as sock:
                    sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if b" 200 " in sock.recv(100):
                        return
            except OSError:
                time.sleep(0.02)

    @property
    def cpu(self) -> float:
        """Seconds of CPU so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self, which: str) -> float:
        """MB, by the name in /proc: VmRSS or VmHWM."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(which + ":")[2].split()[0]) / 1024.0

    def forget_peak(self) -> None:
        Path(f"/proc/{self.process.pid}/clear_refs").write_text("5")


@contextmanager
def running(core: int) -> Iterator[Daemon]:
    ports = free_ports(MEMBERS + 1)
    with tempfile.TemporaryDirectory() as folder:
        servers = subprocess.Popen(
            [sys.executable, __file__, "--stand-in", *map(str, ports)], stdout=subprocess.PIPE, text=True
        )
        try:
            assert servers.stdout is not None
            servers.stdout.readline()
            daemon = Daemon(folder, ports, core)
            try:
                yield daemon
            finally:
                daemon.process.kill()
                daemon.process.wait()
        finally:
            servers.send_signal(signal.SIGKILL)
            servers.wait()


# raw frames, made ahead as far as they can be


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def fields(path: str, method: str = "GET") -> bytes:
    """A header block that the tables do not matter to; a Req-Id of eight letters is to follow."""
    pairs = [(":method", method), (":scheme", "http"), (":authority", "x"), (":path", path)]
    pairs += [("idempotency-key", "k")] if method == "POST" else []
    return hpack.Encoder().encode([hpack.NeverIndexedHeaderTuple(*pair) for pair in pairs])


READ, READ_LARGE, SUBMIT = fields("/board-read"), fields("/board-read/large"), fields("/turn-submit", "POST")
serial = 0


def ask(stream: int, block: bytes = READ, flags: int = 5) -> bytes:
    global serial
    serial += 1
    return frame(1, flags, stream, block + b"\0\x06req-id\x08%08d" % serial)


class Load:
    """A closed loop over one connection of HTTP/2, or as many of HTTP/1.1."""

    def __init__(self, daemon: Daemon, at_once: int, http2: bool, stuck: bool = False) -> None:
        self.at_once, self.http2 = at_once, http2
        self.took: list[float] = []
        self.wrong = 0
        self.asked: dict[int, float] = {}
        self.selector = selectors.DefaultSelector()
        port = daemon.http2 if http2 else daemon.http1
        self.socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(1 if http2 else at_once)]
        self.buffers = [bytearray() for _ in self.socks]
        for number, sock in enumerate(self.socks):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(sock, selectors.EVENT_READ, number)
        self.next = 1
        if http2:
            window = b"\0\4" + struct.pack(">I", 0)  # each stream is opened by itself: the stuck one is not
            self.socks[0].sendall(PREFACE + frame(4, 0, 0, window) + OPEN_WINDOW)
            if stuck:
                self.socks[0].sendall(ask(self.take(), READ_LARGE))

    def take(self) -> int:
        self.next += 2
        return self.next - 2

    def request(self, number: int) -> bytes:
        global serial
        if self.http2:
            stream = self.take()
            self.asked[stream] = time.perf_counter()
            return ask(stream) + frame(8, 0, stream, struct.pack(">I", 1 << 20))
        serial += 1
        self.asked[number] = time.perf_counter()
        return b"GET /board-read HTTP/1.1\r\nHost: x\r\nReq-Id: %08d\r\n\r\n" % serial

    def run(self, seconds: float) -> None:
        first = [self.request(n) for n in range(self.at_once)]
        if self.http2:
            self.socks[0].sendall(b"".join(first))
        else:
            for sock, data in zip(self.socks, first, strict=True):
                sock.sendall(data)
        end = time.perf_counter() + seconds
        while time.perf_counter() < end:
            for key, _ in self.selector.select(1.0):
                buffer = self.buffers[key.data]
                buffer += key.fileobj.recv(1 << 18)  # type: ignore[union-attr]
                count = self.frames(buffer) if self.http2 else self.answers(buffer, key.data)
                if count:
                    key.fileobj.sendall(b"".join(self.request(key.data) for _ in range(count)))  # type: ignore[union-attr]
        for sock in self.socks:
            sock.close()

    def frames(self, buffer: bytearray) -> int:
        at = count = 0
        while len(buffer) >= at + 9:
            length, kind, flags, stream = (
                int.from_bytes(buffer[at : at + 3], "big"),
                buffer[at + 3],
                buffer[at + 4],
                int.from_bytes(buffer[at + 5 : at + 9], "big"),
            )
            if len(buffer) < at + 9 + length:
                break
            if kind in (3, 7):
                self.wrong += 1
            if kind == 1 and buffer[at + 9] != 0x88:  # :status 200, by its place in the table
                self.wrong += 1
            if kind == 0 and flags & 1:
                self.took.append(time.perf_counter() - self.asked.pop(stream))
                count += 1
            at += 9 + length
        del buffer[:at]
        return count

    def answers(self, buffer: bytearray, number: int) -> int:
        head = buffer.find(b"\r\n\r\n")
        if head < 0 or len(buffer) < head + 4 + ANSWER and b" 200 " in buffer[:20]:
            return 0
        self.wrong += b" 200 " not in buffer[:20]
        self.took.append(time.perf_counter() - self.asked.pop(number))
        buffer.clear()
        return 1


def p99(times: list[float]) -> float:
    return quantiles(times, n=100)[98] * 1000.0


def costs(daemon: Daemon, seconds: float, rounds: int) -> None:
    print("at once   front      requests/s  CPU ms a request   p50 ms   p99 ms   not 200")
    for at_once in (1, 10, 100):
        rows: dict[bool, list[tuple[float, ...]]] = {False: [], True: []}
        for _ in range(rounds):
            for http2 in (False, True):
                load, before = Load(daemon, at_once, http2), daemon.cpu
                load.run(seconds)
                count = len(load.took)
                cpu = (daemon.cpu - before) / count * 1000.0
                rows[http2].append(
                    (count / seconds, cpu, median(load.took) * 1000.0, p99(load.took), load.wrong)
                )
        for http2, name in ((False, f"1.1 x {at_once}"), (True, "2 x 1")):
            rate, cpu, mid, worst, wrong = (median(column) for column in zip(*rows[http2], strict=True))
            print(f"{at_once:7}   {name:9} {rate:11.0f} {cpu:17.2f} {mid:8.2f} {worst:8.2f} {wrong:9.0f}")


def stuck(daemon: Daemon, seconds: float, rounds: int) -> None:
    found: dict[bool, list[float]] = {False: [], True: []}
    for _ in range(rounds):
        for beside in (False, True):
            load = Load(daemon, 99, True, beside)
            load.run(seconds)
            found[beside].append(p99(load.took))
    without, with_it = median(found[False]), median(found[True])
    share = 100.0 * (with_it / without - 1.0)
    print(f"p99 of 99 streams: {without:.2f} ms, beside a stuck one {with_it:.2f} ms ({share:+.0f}%)")


HELLO = PREFACE + frame(4, 0, 0)
SHUT = PREFACE + frame(4, 0, 0, b"\0\4\0\0\0\0")
UNFINISHED = frame(1, 1, 1, READ)
BOMB = hpack.Encoder().encode([("x", "y" * 4000)]) + b"\xbe" * 9000
ATTACKS: dict[str, tuple[bytes, Callable[[int], bytes]]] = {
    "windows never opened": (SHUT, lambda n: ask(2 * n + 1, READ_LARGE) if n < 100 else b""),
    "windows opened by a byte": (
        SHUT,
        lambda n: ask(2 * n + 1, READ_LARGE) if n < 100 else frame(8, 0, 2 * (n % 100) + 1, b"\0\0\0\1"),
    ),
    "half bodies": (
        HELLO,
        lambda n: ask(2 * n + 1, SUBMIT, 4) + frame(0, 0, 2 * n + 1, bytes(16_000)) if n < 100 else b"",
    ),
    "rapid reset": (HELLO, lambda n: ask(2 * n + 1) + frame(3, 0, 2 * n + 1, b"\0\0\0\x08")),
    "CONTINUATION": (HELLO, lambda n: frame(9, 0, 1, bytes(1000)) if n else UNFINISHED),
    "HPACK bomb": (HELLO, lambda n: frame(1, 5, 2 * n + 1, BOMB)),
    "SETTINGS": (
        HELLO,
        lambda n: frame(4, 0, 0, b"".join(struct.pack(">HI", 1000 + m, n) for m in range(2000))),
    ),
    "PING": (HELLO, lambda n: frame(6, 0, 0, bytes(8)) * 50),
    "empty DATA": (HELLO, lambda n: frame(0, 0, 1) * 50 if n else ask(1, SUBMIT, 4)),
}


def attack(daemon: Daemon, name: str, connections: int, seconds: float) -> tuple[float, float]:
    """Play an attack from many connections that never read; MB at most, and CPU seconds a second."""
    hello, step = ATTACKS[name]
    daemon.forget_peak()
    began, before, socks = time.perf_counter(), daemon.cpu, []
    count = 0
    while time.perf_counter() < began + seconds:
        if not count:
            socks = [socket.create_connection(("127.0.0.1", daemon.http2)) for _ in range(connections)]
            for sock in socks:
                sock.sendall(hello)
                sock.setblocking(False)
        data = step(count)
        count += 1
        if not data:
            time.sleep(0.01)
        alive = 0
        for sock in socks:
            try:
                sock.send(data)
                alive += 1
            except BlockingIOError:
                alive += 1
            except OSError:
                pass
        if not alive:  # all were cut: come again
            for sock in socks:
                sock.close()
            count = 0
    found = daemon.memory("VmHWM"), (daemon.cpu - before) / seconds
    for sock in socks:
        sock.close()
    return found


def attacks(core: int, connections: int, seconds: float) -> None:
    print(f"{connections} attackers                idle MB   most MB   of a core   then a request")
    for name in ATTACKS:
        with running(core) as daemon:
            warm = Load(daemon, 10, True)
            warm.run(0.3)
            idle = daemon.memory("VmRSS")
            most, cpu = attack(daemon, name, connections, seconds)
            after = Load(daemon, 1, True)
            after.run(0.5)
            found = f"{median(after.took) * 1000.0:.1f} ms" if after.took else "over 500 ms"
            print(f"{name:26} {idle:12.1f} {most:9.1f} {cpu:11.2f}   {found}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="some 50 seconds in place of four minutes")
    parser.add_argument("--only", choices=("costs", "stuck", "attacks"))
    parser.add_argument("--stand-in", nargs="+", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.stand_in:
        asyncio.run(stand_in(options.stand_in))
        return
    cores = sorted(os.sched_getaffinity(0))
    core = cores[-1]
    if len(cores) > 2:
        os.sched_setaffinity(0, set(cores[:-1]))
    seconds, rounds = (1.0, 3) if options.quick else (4.0, 5)
    if options.only in (None, "costs", "stuck"):
        with running(core) as daemon:
            Load(daemon, 10, True).run(0.5)  # the module has learned, the connections to servers are open
            if options.only != "stuck":
                costs(daemon, seconds, rounds)
            if options.only != "costs":
                stuck(daemon, seconds, 2 * rounds)
    if options.only in (None, "attacks"):
        attacks(core, 20, 1.0 if options.quick else 5.0)


if __name__ == "__main__":
    main()
