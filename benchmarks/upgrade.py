"""Upgrades in a row under steady load: with the handover, and with SO_REUSEPORT alone (no $TMPDIR).

Half of the clients keep their connections, the others open one for each request. A request is lost if it gets
no answer, or one other than 200 or 503. Moves are counted at the turn servers by their keys. Latencies are
counted from the intended send time; those within a second of an upgrade's begin count as during it. Exits 1
where the handover loses a request, breaks a connection or writes a move twice.
"""

import argparse
import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from testbed.sockets.ports import free_port  # noqa: E402

SERVERS, WORK = 8, 0.02  # turn servers, and seconds that each takes for a move
RATE, KEPT = 200.0, 30  # requests a second; clients that keep their connections
SETTLED = 1.5  # seconds between an old process's end and the next upgrade
SETTINGS = {
    "classes": [
        {
            "name": "turn-submit",
            "slo": 750.0,
            "deadline": 1900.0,
            "worth": 8.0,
            "repeat": "guarded",
            "group": "all",
            "window": 6000.0,
        }
    ],
    "tick": 5.0,
    "limits": {"attemptsCap": 4, "cancelling": True, "maxRetryAfter": 600.0, "retryAfter": True},
    "rules": {"stopSendingWithin": 500.0, "cold": 8800.0, "coldFrom": 0.32, "tipAfter": 1000.0},
}
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class World:
    """Turn servers and discovery's agent, on sockets of this process."""

    def __init__(self) -> None:
        self.keys: Counter[bytes] = Counter()

    async def start(self) -> str:
        """Serve; returns the agent's address."""
        hosts = []
        for number in range(SERVERS):
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            entry = {"host": f"s{number}", "dial": f"127.0.0.1:{port}", "site": "a", "class": "m"}
            hosts.append({**entry, "block": 1, "health": "ready", "share": 1.0, "born_ms": 0})
        self.listing = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
        agent = await asyncio.start_server(self.tell, "127.0.0.1", 0)
        return f"127.0.0.1:{agent.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(4)
                self.keys[head.lower().partition(b"idempotency-key: ")[2].split()[0]] += 1
                await asyncio.sleep(WORK)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nboard")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"watch=1" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    while not writer.is_closing():
                        writer.write(b"1\r\n\n\r\n")
                        await asyncio.sleep(1.0)
                size = b"%d" % len(self.listing)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: " + size + b"\r\n\r\n" + self.listing)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


class Load:
    """Open-loop clients, and what they saw."""

    def __init__(self, port: int) -> None:
        self.port, self.number, self.running = port, 0, True
        self.idle: list[Streams] = []
        self.seen: Counter[str] = Counter()
        self.took: list[tuple[float, float]] = []  # when a request was to be sent, and how long it took

    async def run(self) -> None:
        begun, tasks = time.monotonic(), set()
        while self.running:
            due = begun + self.number / RATE
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.number += 1
            task = asyncio.create_task(self.ask(self.number, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def ask(self, number: int, due: float) -> None:
        keep = number % 2 == 0
        try:
            if keep and len(self.idle) >= KEPT:
                streams = self.idle.pop(0)  # the one that has rested longest
            else:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.seen["refused"] += 1
            return
        reader, writer = streams
        lines = [
            "POST /turn-submit?k=m1 HTTP/1.1",
            "Host: x",
            f"Req-Id: id{number}",
            "Req-Kind: turn-submit",
            "Req-Deadline: 1900m",
            f"Idempotency-Key: key{number}",
            "Content-Length: 4",
        ]
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nmove")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
            size = int(head.lower().partition(b"content-length: ")[2].split()[0])
            await asyncio.wait_for(reader.readexactly(size), 3.0)
        except (OSError, asyncio.IncompleteReadError):
            self.seen["reset"] += 1
            writer.close()
            return
        except TimeoutError:
            self.seen["lost"] += 1
            writer.close()
            return
        status = int(head.split()[1])
        self.seen["served" if status == 200 else "busy" if status == 503 else "lost"] += 1
        self.took.append((due, time.monotonic() - due))
        if keep and b"connection: close" not in head.lower():
            self.idle.append(streams)
        else:
            writer.close()


class Process:
    """One real daemon."""

    def __init__(self, folder: str, port: int, agent: str, tmpdir: str | None) -> None:
        self.control = free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "control": f"127.0.0.1:{self.control}",
            "discovery": agent,
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "settings": SETTINGS,
        }
        path = Path(folder) / f"config-{self.control}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environ = {**os.environ, "GW_CONFIG": str(path)}
        environ.pop("TMPDIR", None)
        if tmpdir:
            environ["TMPDIR"] = tmpdir
        self.process = subprocess.Popen(
            [sys.executable, "-m", "brackenusher", "serve"], cwd=ROOT, env=environ, stderr=subprocess.DEVNULL
        )

    async def ready(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                status = (await reader.readline()).split()[1]
                writer.close()
                if status == b"200":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)

    async def end(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)


def p99(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.99)] * 1000.0 if values else float("nan")


async def play(upgrades: int, handover: bool) -> dict[str, float]:
    """Upgrades in a row; counts, and milliseconds."""
    world = World()
    agent, port = await world.start(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        tmpdir = folder if handover else None
        process = Process(folder, port, agent, tmpdir)
        await process.ready()
        load = Load(port)
        running = asyncio.create_task(load.run())
        spans, starts = [], []
        try:
            await asyncio.sleep(SETTLED)
            for _ in range(upgrades):
                begun = time.monotonic()
                after = Process(folder, port, agent, tmpdir)
                await after.ready()
                starts.append(time.monotonic() - begun)
                await process.end()
                spans.append((begun, time.monotonic() + 0.2))
                process = after
                await asyncio.sleep(SETTLED)
        finally:
            load.running = False
            await running
            process.process.kill()
            process.process.wait()
    during = [took for due, took in load.took if any(a <= due <= b for a, b in spans)]
    outside = [took for due, took in load.took if not any(a <= due <= b for a, b in spans)]
    return {
        "requests": load.number,
        "lost": load.seen["lost"],
        "refused or reset": load.seen["refused"] + load.seen["reset"],
        "busy": load.seen["busy"],
        "moves written twice": sum(count > 1 for count in world.keys.values()),
        "start, s": sum(starts) / len(starts),
        "p99 during, ms": p99(during),
        "p99 outside, ms": p99(outside),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="three upgrades each, not twenty")
    options = parser.parse_args()
    upgrades = 3 if options.quick else 20
    ways: list[tuple[str, Callable[[], Awaitable[dict[str, float]]]]] = [
        ("SO_REUSEPORT", lambda: play(upgrades, False)),
        ("handover", lambda: play(upgrades, True)),
    ]
    found = {}
    for name, way in ways:
        found[name] = asyncio.run(way())
        print(f"{name}, {upgrades} upgrades: ", end="")
        print(", ".join(f"{what} {value:.4g}" for what, value in found[name].items()), flush=True)
    aims = ("lost", "refused or reset", "moves written twice")
    missed = [what for what in aims if found["handover"][what]]
    print("missed: " + ", ".join(missed) if missed else "aims met: 0, 0, 0")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
