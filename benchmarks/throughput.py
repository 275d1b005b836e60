"""Requests a second at full speed and CPU a request of the daemon on one core, features off and on.

    python benchmarks/throughput.py [--quick] [--profile] [--aim-off US] [--aim-on US] [--json FILE]

Sixteen connections ask in a closed loop, nine servers answer at once; both are processes of their own, and
the daemon has a core to itself where there are three. CPU is the daemon's alone, user and system, over the
requests of the measured stretch. --profile adds a stretch under cProfile and prints where the time goes. The
exit code is 1 where an aim is not reached.
"""

import argparse
import asyncio
import json
import os
import pstats
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import cast

import psutil

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from testbed.results import histogram  # noqa: E402
from testbed.sockets.children import child, die_with_parent, receive  # noqa: E402
from testbed.sockets.ports import free_port  # noqa: E402

SERVERS, CONNECTIONS = 9, 16
BODY = b"board" * 20
SETTINGS = {
    "classes": [
        {"name": "board-read", "slo": 580.0, "deadline": 1400.0, "worth": 2.0, "repeat": "free"},
        {"name": "turn-submit", "slo": 750.0, "deadline": 1900.0, "repeat": "guarded", "window": 6000.0},
    ],
    "tick": 5.0,
    "instances": 1,
    "tenants": [{"name": "kente-wars", "portion": 1.0, "quotaPerS": 1e6}],
    "limits": {"attemptsCap": 4, "cancelling": True, "parallelTries": True, "connIdle": 15000.0,
               "connectTimeout": 200.0, "maxRetryAfter": 600.0, "retryAfter": True},
    "rules": {"stopSendingWithin": 500.0, "cold": 8800.0, "coldFrom": 0.32, "tipAfter": 1000.0},
}  # fmt: skip
ON = "capture.enabled = true\nfigures.enabled = true\n"
PROFILED = (
    "import cProfile, sys; from brackenusher.cli import main; p = cProfile.Profile(); p.enable(); "
    "code = main(); p.disable(); p.dump_stats({path!r}); sys.exit(code)"
)


class Instant(asyncio.Protocol):
    """A server that answers every head at once."""

    ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n\r\n%s" % (
        len(BODY),
        BODY,
    )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.tail = b""

    def data_received(self, data: bytes) -> None:
        text = self.tail + data
        count = text.count(b"\r\n\r\n")
        self.tail = text[-3:] if not text.endswith(b"\r\n\r\n") else b""
        if count:
            self.transport.write(self.ANSWER * count)


class Agent(asyncio.Protocol):
    """Discovery's agent with a list that never changes."""

    listing = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if b"watch=1" in data:
            self.transport.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            self.keep_alive()
        else:
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(self.listing)
            self.transport.write(head + self.listing)

    def keep_alive(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(1.0, self.keep_alive)


async def be_servers(pipe: Connection) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Instant, "127.0.0.1", 0) for _ in range(SERVERS)]
    entries = [
        {
            "host": f"s{n}",
            "dial": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            "health": "ready",
            "born_ms": 0,
        }
        for n, server in enumerate(servers)
    ]
    Agent.listing = json.dumps({"seq": 1, "whole": True, "hosts": entries}).encode()
    agent = await loop.create_server(Agent, "127.0.0.1", 0)
    pipe.send(agent.sockets[0].getsockname()[1])
    await receive(pipe)


class Asker(asyncio.Protocol):
    """A client that asks again as soon as it is answered."""

    count = other = 0
    serial = 0
    spans: list[float] = []
    done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.length, self.got = 0, b""
        self.ask()

    def ask(self) -> None:
        Asker.serial += 1
        self.began = time.perf_counter()
        self.transport.write(
            b"GET /board-read?k=m%d HTTP/1.1\r\nHost: service.internal\r\nReq-Id: %016x\r\n"
            b"Req-Kind: board-read\r\nReq-Owner: kente-wars\r\nReq-Deadline: 1400m\r\n\r\n"
            % (Asker.serial % 500, Asker.serial)
        )

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, end, body = self.got.partition(b"\r\n\r\n")
        if not end:
            return
        size = int(head.rpartition(b"content-length: ")[2].partition(b"\r\n")[0])
        if len(body) < size:
            return
        Asker.count += 1
        Asker.other += not head.startswith(b"HTTP/1.1 200")
        Asker.spans.append(time.perf_counter() - self.began)
        self.got = b""
        if not Asker.done:
            self.ask()


async def be_clients(pipe: Connection, port: int, connections: int, warm: float, span: float) -> None:
    loop = asyncio.get_running_loop()
    for _ in range(connections):
        await loop.create_connection(Asker, "127.0.0.1", port)
    await asyncio.sleep(warm)
    Asker.count = Asker.other = 0
    Asker.spans.clear()
    pipe.send("begin")
    began, cpu = time.perf_counter(), time.process_time()
    await asyncio.sleep(span)
    took = time.perf_counter() - began
    filled = histogram()
    for each in Asker.spans:
        filled.record_value(max(1, int(each * 1e6)))
    ends = [filled.get_value_at_percentile(p) / 1000.0 for p in (50.0, 99.0)]
    pipe.send((Asker.count, Asker.other, took, *ends, (time.process_time() - cpu) / took))
    Asker.done = True
    await asyncio.sleep(0.2)


@dataclass
class Row:
    """One stretch."""

    what: str
    connections: int
    a_second: float
    cpu_us: float  # of the daemon, a request
    core: float  # share of a core that the daemon used
    p50_ms: float
    p99_ms: float
    other: int  # answers that were not 200
    load_core: float
    memory_mb: float


class Bench:
    """Starts what a stretch needs, and ends it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        cores = sorted(os.sched_getaffinity(0))
        self.core = cores[0] if len(cores) >= 3 else None
        self.others = set(cores[1:]) if len(cores) >= 3 else set(cores)
        os.sched_setaffinity(0, self.others)  # children keep off the daemon's core as well
        self.servers, pipe = spawn(be_servers)
        self.agent = pipe.recv()
        self.pipe = pipe

    def close(self) -> None:
        self.pipe.close()
        self.servers.kill()
        self.servers.join()

    def daemon(self, operator: str | None, profile: Path | None) -> tuple["subprocess.Popen[bytes]", int]:
        port = free_port()
        config = self.folder / "config.json"
        text = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{self.agent}",
            "seed": "1",
        }
        config.write_text(
            json.dumps(text | {"limits": {"sockets": 1024}, "settings": SETTINGS}), encoding="utf-8"
        )
        arguments = ["serve", "--log-level", "warning"]
        if operator:
            (self.folder / "operator.properties").write_text(operator, encoding="utf-8")
            arguments += ["--operator", str(self.folder / "operator.properties")]
        command = ["-m", "brackenusher"] if profile is None else ["-c", PROFILED.format(path=str(profile))]

        def prepare() -> None:
            die_with_parent()
            if self.core is not None:
                os.sched_setaffinity(0, {self.core})

        process = subprocess.Popen(
            [sys.executable, *command, *arguments],
            cwd=ROOT,
            env={**os.environ, "GW_CONFIG": str(config)},
            stderr=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            preexec_fn=prepare,
        )
        limit = time.monotonic() + 20.0
        while not ready(port):
            if process.poll() is not None or time.monotonic() > limit:
                raise SystemExit("throughput: the daemon did not become ready")
            time.sleep(0.02)
        return process, port

    def stretch(
        self, what: str, connections: int, span: float, operator: str | None, profile: Path | None = None
    ) -> Row:
        process, port = self.daemon(operator, profile)
        clients, pipe = spawn(be_clients, port, connections, min(2.0, span / 2), span)
        try:
            seen = psutil.Process(process.pid)
            assert pipe.recv() == "begin"
            before = seen.cpu_times()
            count, other, took, p50, p99, load = pipe.recv()
            after = seen.cpu_times()
            memory = seen.memory_info().rss / 1e6
            used = after.user + after.system - before.user - before.system
            process.send_signal(signal.SIGTERM)
            process.wait(20)
        finally:
            process.kill()
            process.wait()
            pipe.close()
            clients.kill()
            clients.join()
        return Row(
            what,
            connections,
            count / took,
            used / max(1, count) * 1e6,
            used / took,
            p50,
            p99,
            other,
            load,
            memory,
        )


def ready(port: int) -> bool:
    import socket

    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def spawn(work, *arguments):  # type: ignore[no-untyped-def]
    import multiprocessing as mp

    context = mp.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=child, args=(work, theirs, *arguments), daemon=True)
    process.start()
    theirs.close()
    return process, ours


def print_profile(path: Path, most: int = 30) -> None:
    """Where the time goes, by function; each line's own time, as a share of all."""
    stats = pstats.Stats(str(path)).stats  # type: ignore[attr-defined]
    rows = [
        (own, calls, where)
        for where, (_, calls, own, _, _) in stats.items()
        if "poll" not in where[2]  # waiting is no work
    ]
    total = sum(own for own, _, _ in rows)
    print(f"{'own':>6} {'calls':>9}  function")
    for own, calls, (file, line, name) in sorted(rows, reverse=True)[:most]:
        place = f"{Path(file).name}:{line} " if line else ""
        print(f"{own / total:6.1%} {calls:9d}  {place}{name}")


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="stretches of 2 s in place of 8 s")
    parser.add_argument(
        "--profile", action="store_true", help="a further stretch under cProfile, features off"
    )
    parser.add_argument(
        "--aim-off", type=float, default=100.0, metavar="US", help="CPU a request, features off"
    )
    parser.add_argument("--aim-on", type=float, default=140.0, metavar="US", help="with capture and figures")
    parser.add_argument("--json", metavar="FILE", help="keep the figures in a file")
    options = parser.parse_args()
    span = 2.0 if options.quick else 8.0
    with tempfile.TemporaryDirectory(prefix="throughput-") as name:
        bench = Bench(Path(name))
        try:
            rows = [
                bench.stretch("features off", CONNECTIONS, span, None),
                bench.stretch("capture and figures", CONNECTIONS, span, ON),
                bench.stretch("features off", 1, span, None),
            ]
            print(f"{'':20} conns  req/s  us CPU  core  p50 ms  p99 ms  not 200  load  MB")
            for row in rows:
                figures = f"{row.a_second:6.0f} {row.cpu_us:7.0f} {row.core:5.2f} {row.p50_ms:7.2f}"
                rest = f"{row.p99_ms:7.2f} {row.other:8d} {row.load_core:5.2f} {row.memory_mb:3.0f}"
                print(f"{row.what:20} {row.connections:5d} {figures} {rest}")
            if options.profile:
                path = Path(name) / "profile"
                bench.stretch("profiled", CONNECTIONS, span, None, path)
                print_profile(path)
        finally:
            bench.close()
    if options.json:
        Path(options.json).write_text(json.dumps([asdict(row) for row in rows], indent=1), encoding="utf-8")
    missed = False
    for what, row, aim in (("off", rows[0], options.aim_off), ("on", rows[1], options.aim_on)):
        kept = row.cpu_us <= aim
        missed = missed or not kept
        print(
            f"aim, features {what}: {aim:.0f} us; {row.cpu_us:.0f} us: {'reached' if kept else 'not reached'}"
        )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
