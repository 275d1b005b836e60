"""Where the data plane's processor time goes, by package, under Python's profiler.

The profiler makes calls of Python code dearer than they are: shares are a guide to what to compile first.
"""

import asyncio
import cProfile
import multiprocessing
import pstats
from collections import Counter
from multiprocessing.connection import Connection

from benchmarks import fleet_data_plane as bench

REQUESTS = 2400
STREAMS = 80
EVENTS = 90
PACKAGES = ("h11", "asyncio", "brackenusher", "barleybarrow", "msgspec", "betterproto")


def profiled_main(addresses: list[str], pipe: Connection) -> None:
    """Start of the measured process; sends seconds by package when it ends."""
    profile = cProfile.Profile()
    profile.enable()
    asyncio.run(bench.run_proxy(addresses, pipe))
    profile.disable()
    seconds: Counter[str] = Counter()
    for (path, _, name), (_, _, own, _, _) in pstats.Stats(profile).stats.items():  # type: ignore[attr-defined]
        seconds[package_of(path, name)] += own
    pipe.send(dict(seconds))


def package_of(path: str, name: str) -> str:
    """Whose code a function is."""
    if path == "~":
        waits = "poll" in name
        sockets = "socket" in name
        return "waiting" if waits else "sockets" if sockets else "other built-in functions"
    parts = path.split("/")
    return next((package for package in PACKAGES if package in parts), "other libraries")


async def measure(kind: str, count: int) -> dict[str, float]:
    """Seconds by package for so many requests."""
    servers = [await asyncio.start_server(bench.serve, "127.0.0.1", 0) for _ in range(bench.SERVERS)]
    addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    ours, theirs = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=profiled_main, args=(addresses, theirs))
    process.start()
    loop = asyncio.get_running_loop()
    port = await loop.run_in_executor(None, ours.recv)
    bench.EVENTS = EVENTS
    await bench.measure(port, process.pid or 0, kind, count)
    ours.send("end")
    found: dict[str, float] = await loop.run_in_executor(None, ours.recv)
    process.join()
    return found


def main() -> None:
    """Measure and print."""
    for kind, count in (("plain", REQUESTS), ("stream", STREAMS)):
        found = asyncio.run(measure(kind, count))
        found.pop("waiting", None)
        whole = sum(found.values())
        shares = sorted(((seconds / whole, name) for name, seconds in found.items()), reverse=True)
        text = ", ".join(f"{name} {share:.0%}" for share, name in shares if share >= 0.01)
        print(f"profile of {count} {kind} requests: {text}", flush=True)
