"""What long bodies and answers cost the daemon: CPU a MB, wake-ups a MB, memory at its highest.

    python benchmarks/transfer.py [--quick] [--base REV]

One connection asks in a closed loop. Short transfers (60 kB) are played on the base revision as well, which
passes nothing longer on; long ones (8 MB) on the working tree alone. Servers and client are this process.
CPU is the daemon's, user and system. Exits 1 where a MB in pieces costs over twice what it costs whole, a
short transfer over 1.25 times what it did, or memory grows by over 8 MB.
"""

import argparse
import asyncio
import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

import psutil

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from testbed.sockets.ports import free_port  # noqa: E402

BASE = "c092ba2"  # the last revision that knew no long bodies
SHORT, LONG, PIECE, MB = 60_000, 8_000_000, 16_000, 1e6
SETTINGS = {
    "classes": [
        {"name": "board-read", "slo": 9e3, "deadline": 1e4, "worth": 2.0, "repeat": "free"},
        {"name": "turn-submit", "slo": 9e3, "deadline": 1e4, "repeat": "guarded", "window": 6000.0},
    ],
    "tick": 5.0,
    "limits": {"attemptsCap": 4, "maxRetryAfter": 600.0, "retryAfter": True},
    "rules": {"stopSendingWithin": 500.0},
}


async def drain(reader: asyncio.StreamReader, head: bytes) -> int:
    """Read a body of either framing; returns its size."""
    size = 0
    if b"transfer-encoding" in head.lower():
        while part := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(part + 2)
            size += part
        await reader.readuntil(b"\r\n")
        return size
    size = left = int(head.lower().partition(b"content-length: ")[2].split()[0] or b"0")
    while left:
        left -= len(await reader.read(min(left, 1 << 18)))
    return size


async def give(writer: asyncio.StreamWriter, first: bytes, size: int, chunked: bool) -> None:
    """Write a head and a body."""
    framing = b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % size
    writer.write(first + framing + b"\r\n\r\n")
    piece = bytes(PIECE)
    for _ in range(size // PIECE):
        writer.write(b"%x\r\n%b\r\n" % (PIECE, piece) if chunked else piece)
        await writer.drain()
    writer.write(bytes(size % PIECE) if not chunked else b"0\r\n\r\n")
    await writer.drain()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A turn server: the target says how long the answer is and how it is framed."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            _, size, framing = head.split(b" ", 2)[1].split(b"/", 3)[1:]
            if head.startswith(b"POST"):
                await drain(reader, head)
            await give(writer, b"HTTP/1.1 200 OK\r\n", int(size), framing == b"chunked")
    except (OSError, asyncio.IncompleteReadError):
        writer.close()


class Program:
    """The daemon of one tree."""

    def __init__(self, tree: str, folder: str, servers: list[int]) -> None:
        self.port = free_port()
        entry = {"site": "a", "class": "m", "block": 1, "health": "ready", "share": 1.0, "born_ms": 0}
        hosts = [{**entry, "host": f"s{n}", "dial": f"127.0.0.1:{port}"} for n, port in enumerate(servers)]
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "known": {"seq": 1, "whole": True, "hosts": hosts},
            "settings": SETTINGS,
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.process = psutil.Popen(
            [sys.executable, "-m", "brackenusher", "serve"],
            cwd=tree,
            env={**os.environ, "GW_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)

    def spent(self) -> tuple[float, float]:
        """CPU in milliseconds, and how often it waited."""
        cpu, switches = self.process.cpu_times(), self.process.num_ctx_switches()
        return (cpu.user + cpu.system) * 1000.0, switches.voluntary


async def measure(tree: str, cases: list[tuple[str, int, int, bool]], amount: int) -> dict[str, list[float]]:
    """By case: ms of CPU a MB, wake-ups a MB, MB of memory over the start."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1 << 18)
    found = {}
    with tempfile.TemporaryDirectory() as folder:
        program = Program(tree, folder, [server.sockets[0].getsockname()[1]])
        try:
            reader, writer = await program.connect()
            number = 0

            async def ask(body: int, answer: int, chunked: bool) -> None:
                nonlocal number
                number += 1
                kind, method = ("turn-submit", "POST") if body else ("board-read", "GET")
                framing = "chunked" if chunked else "length"
                head = f"{method} /{kind}/{answer}/{framing} HTTP/1.1\r\nHost: x\r\nReq-Id: id{number}\r\n"
                head += f"Idempotency-Key: key{number}\r\n" if body else ""
                if body:
                    await give(writer, head.encode(), body, chunked)
                else:
                    writer.write(head.encode() + b"\r\n")
                got = await reader.readuntil(b"\r\n\r\n")
                size = await drain(reader, got)
                assert b" 200 " in got and size == answer, got

            for name, body, answer, chunked in cases:
                await ask(body, answer, chunked)
                before, (cpu, waits) = program.process.memory_info().rss, program.spent()
                size = body + answer
                most = before
                for _ in range(max(1, amount // size)):
                    await ask(body, answer, chunked)
                    most = max(most, program.process.memory_info().rss)
                mb = max(1, amount // size) * size / MB
                now, later = program.spent()
                found[name] = [(now - cpu) / mb, (later - waits) / mb, (most - before) / MB]
        finally:
            program.process.kill()
            program.process.wait()
            server.close()
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="a fifth of the bytes")
    parser.add_argument("--base", default=BASE, metavar="REV", help=f"revision of 'before' (default: {BASE})")
    options = parser.parse_args()
    amount = 80_000_000 if options.quick else 400_000_000
    short = [("answers of 60 kB", 0, SHORT, False), ("bodies of 60 kB", SHORT, 5, False)]
    long = [
        ("answers of 8 MB", 0, LONG, False),
        ("answers of 8 MB in chunks", 0, LONG, True),
        ("bodies of 8 MB", LONG, 5, False),
        ("bodies of 8 MB in chunks", LONG, 0, True),
    ]
    done = subprocess.run(
        ["git", "archive", options.base, "barleybarrow", "brackenusher"], cwd=ROOT, capture_output=True
    )
    if done.returncode:
        print(f"revision {options.base} cannot be used: {done.stderr.decode().strip()}", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as tree:
        with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
            archive.extractall(tree, filter="data")
        before = asyncio.run(measure(tree, short, amount // 4))
    after = asyncio.run(measure(str(ROOT), short + long, amount // 4))
    for title, found in ((f"before ({options.base})", before), ("after", after)):
        for name, (cpu, waits, memory) in found.items():
            print(f"{title}: {name}: {cpu:.2f} ms a MB, {waits:.0f} wake-ups a MB, {memory:+.1f} MB")
    missed = [name for name, _, _, _ in short if after[name][0] > 1.25 * before[name][0]]
    missed += [n for n, *_ in long if after[n][0] > 2 * after[short["bodies" in n][0]][0]]
    missed += [f"memory of {name}" for name, found in after.items() if found[2] > 8]
    print("missed: " + ", ".join(missed) if missed else "aims met")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
