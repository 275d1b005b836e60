"""Processor time of the data plane on loopback: microseconds for a request, a connection, an event.

The proxy runs in a process of its own, whose processor time is read before and after; the rest runs here.
Usage: python benchmarks/fleet_data_plane.py [REQUESTS]
"""

import asyncio
import multiprocessing
import os
import random
import sys
from multiprocessing.connection import Connection

from barleybarrow.documents import Configuration, Route, RouteKind, Service
from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.limits import Limits
from barleybarrow.routing.actions import DispatchSettings, ServerInfo
from barleybarrow.routing.dispatcher import Dispatcher
from brackenusher.data_plane.proxy import Proxy
from brackenusher.data_plane.server import DataPlaneServer

HOST = "bench.example"
SERVERS = 4
EVENTS = 90
CLIENTS = 8
PROMPT_BYTES = 36_000  # of a long prompt
ROUTES = [
    Route("plain", HOST, "/plain/", RouteKind.UNSAFE, 5000.0, 200.0, service="app"),
    Route("stream", HOST, "/stream/", RouteKind.STREAMING, 15000.0, 200.0, service="app"),
]


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that answers at once: with a body of 800 bytes, or with a stream."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:-2])
            await reader.readexactly(int(fields.get(b"content-length", b"0")))
            start = b"HTTP/1.1 200 OK\r\nX-Brackenusher-Request-Id: " + fields[b"x-brackenusher-request-id"]
            start += b"\r\nX-Brackenusher-Response-Stamp: s\r\n"
            if head.startswith(b"POST /stream"):
                await serve_stream(writer, start)
            else:
                writer.write(start + b"Content-Length: 800\r\n\r\n" + b"x" * 800)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
        writer.close()


async def serve_stream(writer: asyncio.StreamWriter, start: bytes) -> None:
    """A stream of events, each written by itself."""
    writer.write(start + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 150)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(0.001)
    writer.write(b"0\r\n\r\n")


def request(kind: str, number: int, body_size: int) -> bytes:
    """One request."""
    head = (
        f"POST /{kind}/x HTTP/1.1\r\nHost: {HOST}\r\nX-Brackenusher-Request-Id: {number:016x}\r\n"
        f"X-Brackenusher-Model: m\r\nX-Brackenusher-Token-Counts: 1460,80\r\n"
        f"X-Brackenusher-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{number:08x}:250\r\n"
        f"X-Brackenusher-Deadline-Ms: 5000\r\nContent-Length: {body_size}\r\n\r\n"
    )
    return head.encode() + b"p" * body_size


async def run_proxy(addresses: list[str], pipe: Connection) -> None:
    """The measured process."""
    loop = asyncio.get_running_loop()
    rng = random.Random(1)
    limits = Limits("bench", [], rng, loop.time() * 1000.0, LimitBounds())
    dispatcher = Dispatcher(DispatchSettings(), rng, loop.time() * 1000.0)
    proxy = Proxy(loop, dispatcher, limits, memory_mb=256)
    server = DataPlaneServer(proxy, max_fds=1024, feed_ready=lambda: True)
    await server.start("127.0.0.1:0")
    proxy.configure(Configuration(1, ROUTES, [Service("app")]))
    proxy.set_servers("app", [ServerInfo(f"s{n}", address, slots=64) for n, address in enumerate(addresses)])
    pipe.send(server.port)
    await loop.run_in_executor(None, pipe.recv)


def proxy_main(addresses: list[str], pipe: Connection) -> None:
    """Start of the measured process."""
    asyncio.run(run_proxy(addresses, pipe))


def processor_seconds(pid: int) -> float:
    """Processor time of a process so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Client:
    """Sends requests one after the other and reads their answers."""

    def __init__(self, port: int, fresh: bool) -> None:
        self.port, self.fresh = port, fresh
        self.failed = 0

    async def run(self, kind: str, numbers: range, body_size: int) -> None:
        """Send the requests with these numbers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for number in numbers:
            if self.fresh:
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(request(kind, number, body_size))
            head = await reader.readuntil(b"\r\n\r\n")
            self.failed += not head.startswith(b"HTTP/1.1 200")
            if b"chunked" in head.lower():
                await reader.readuntil(b"\r\n0\r\n\r\n")
            else:
                length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
                await reader.readexactly(int(length))
        writer.close()


async def measure(
    port: int, pid: int, kind: str, count: int, body_size: int = 0, fresh: bool = False
) -> float:
    """Microseconds of the proxy's processor time for one request."""
    clients = [Client(port, fresh) for _ in range(CLIENTS)]
    share = count // CLIENTS
    before = processor_seconds(pid)
    await asyncio.gather(
        *(client.run(kind, range(n * share, (n + 1) * share), body_size) for n, client in enumerate(clients))
    )
    used = processor_seconds(pid) - before
    failed = sum(client.failed for client in clients)
    if failed:
        print(f"{failed} of {share * CLIENTS} failed")
    return used / (share * CLIENTS) * 1e6


async def main(count: int) -> None:
    """Measure and print."""
    servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(SERVERS)]
    addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=proxy_main, args=(addresses, theirs))
    process.start()
    loop = asyncio.get_running_loop()
    port = await loop.run_in_executor(None, ours.recv)
    pid = process.pid or 0
    await measure(port, pid, "plain", 200)
    plain = await measure(port, pid, "plain", count)
    print(f"plain request, kept connections: {plain:.0f} us")
    print(f"plain request, new connection: {await measure(port, pid, 'plain', count, fresh=True):.0f} us")
    large = await measure(port, pid, "plain", count, PROMPT_BYTES)
    print(f"plain request, body of {PROMPT_BYTES} bytes: {large:.0f} us")
    stream = await measure(port, pid, "stream", max(CLIENTS, count // 20))
    print(f"event of a stream: {(stream - plain) / EVENTS:.0f} us")
    ours.send("end")
    process.join()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 4000))
