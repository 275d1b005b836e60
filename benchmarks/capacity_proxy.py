"""Processor time of the data plane: a request, a new connection, an event; memory of a connection."""

import asyncio
import multiprocessing

from benchmarks import fleet_data_plane as bench
from benchmarks.capacity_fit import processor_seconds, resident_bytes, show

REQUESTS = (800, 1600, 2400, 3200)
EVENTS = (5, 30, 60, 120)  # of one stream
STREAMS = 80  # of each length
CONNECTIONS = (0, 150, 300, 450)
WARM_UP = 200


async def request_runs(
    port: int, pid: int, body_size: int = 0, fresh: bool = False
) -> list[tuple[float, float]]:
    """Processor seconds of runs of so many requests."""
    runs = []
    for count in REQUESTS:
        each = await bench.measure(port, pid, "plain", count, body_size, fresh)
        runs.append((float(count), each * count))
    return runs


async def event_runs(port: int, pid: int) -> list[tuple[float, float]]:
    """Microseconds for one stream of so many events."""
    runs = []
    for events in EVENTS:
        bench.EVENTS = events
        runs.append((float(events), await bench.measure(port, pid, "stream", STREAMS)))
    return runs


async def connection_runs(port: int, pid: int) -> list[tuple[float, float]]:
    """Resident bytes of the proxy with so many open connections that have had a request."""
    opened: list[asyncio.StreamWriter] = []
    runs = []
    for count in CONNECTIONS:
        while len(opened) < count:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(bench.request("plain", len(opened), 0))
            await reader.readuntil(b"x" * 800)
            opened.append(writer)
        runs.append((float(count), float(resident_bytes(pid))))
    for writer in opened:
        writer.close()
    return runs


async def run() -> None:
    """Measure and print."""
    servers = [await asyncio.start_server(bench.serve, "127.0.0.1", 0) for _ in range(bench.SERVERS)]
    addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    ours, theirs = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=bench.proxy_main, args=(addresses, theirs))
    process.start()
    port = await asyncio.get_running_loop().run_in_executor(None, ours.recv)
    pid = process.pid or 0
    try:
        await bench.measure(port, pid, "plain", WARM_UP)
        show("proxy CPU, kept connections", "us", "request", await request_runs(port, pid))
        show("proxy CPU, new connections", "us", "request", await request_runs(port, pid, fresh=True))
        body = await request_runs(port, pid, bench.PROMPT_BYTES)
        show(f"proxy CPU, body of {bench.PROMPT_BYTES} bytes", "us", "request", body)
        show("proxy CPU of a stream", "us", "event", await event_runs(port, pid))
        show("proxy memory", "bytes", "open connection", await connection_runs(port, pid))
        print(f"proxy CPU so far {processor_seconds(pid):.1f} s")
    finally:
        ours.send("end")
        process.join()


def main() -> None:
    """Measure and print."""
    asyncio.run(run())
