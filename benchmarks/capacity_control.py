"""What control costs on real processes: by proxy, by heartbeat, by change of a large configuration.

Three control processes with disks run as they ship. Proxies are hollow: many complete `ProxyProcess` objects
on one event loop, each at an address of its own, with real links and no clients.
"""

import asyncio
import contextlib
import json
import multiprocessing
import os
import tempfile
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from returns.result import Success

from benchmarks.capacity_fit import processor_seconds, resident_bytes, show
from brackenusher.cluster.links import KEEP_ALIVE_FRAME, KEEP_ALIVE_INTERVAL_S
from testbed.fleet import watch
from testbed.fleet.layout import CONTROL, PROXY, FleetLayout, plan_fleet, settings_text
from testbed.fleet.operator import Operator, document, route
from testbed.fleet.processes import FleetProcesses

CONTROLS = 3
HOLLOW = (10, 20, 40, 80)  # proxies
STEP = 10  # proxies that start at once
HOLLOW_A_PROCESS = 40  # more on one event loop hold each other up
SETTLE_S = 4.0  # after the last proxy is ready, for news of members to be told
SPAN_S = 6.0  # of one measurement
WAIT_S = 60.0
END_S = 5.0  # of a hollow process, before it is killed
HEARTBEATS = (400, 800, 1600, 2400)
IDS = 100  # servers that send them
CALLERS = 8
SIZES = (3750, 7500, 15_000)  # tenants
ROUTES = 430
CHANGES = (4, 8, 16)
SENT_BYTES = "brackenusher_link_sent_bytes_total"


@dataclass(slots=True)
class Used:
    """What processes have used so far; for the control processes one item each."""

    control_cpu_s: list[float]
    control_bytes: dict[str, float]  # sent by all of them, by message
    proxy_cpu_s: float = 0.0
    proxy_bytes: float = 0.0
    proxy_resident: float = 0.0


# The process of the hollow proxies


async def run_hollow(texts: list[str], pipe: Connection) -> None:
    """Start proxies as the parent asks, and tell what they use."""
    from brackenusher.assembly.proxy import ProxyProcess
    from brackenusher.settings.reading import parse_settings

    loop = asyncio.get_running_loop()
    proxies: list[ProxyProcess] = []
    while True:
        order = await loop.run_in_executor(None, pipe.recv)
        if order == "end":
            return
        if isinstance(order, int):
            for text in texts[len(proxies) : order]:
                match parse_settings(text):
                    case Success(settings):
                        proxies.append(ProxyProcess(settings))
                        await proxies[-1].start()
        sent = float(sum(proxy.links.counters.bytes_sent for proxy in proxies))
        ready = all(proxy.server.is_ready() for proxy in proxies)
        pipe.send((ready, time.process_time(), sent, float(resident_bytes(os.getpid()))))


def hollow_main(texts: list[str], pipe: Connection) -> None:
    """Start of the process of the hollow proxies."""
    asyncio.run(run_hollow(texts, pipe))


class HollowProcess:
    """One process of hollow proxies, seen from the benchmark."""

    def __init__(self, texts: list[str]) -> None:
        self.size = len(texts)
        self.pipe, theirs = multiprocessing.Pipe()
        context = multiprocessing.get_context("spawn")
        self.process = context.Process(target=hollow_main, args=(texts, theirs))
        self.process.start()

    async def ask(self, order: object) -> Any:
        """Send an order and wait for the answer."""
        self.pipe.send(order)
        return await asyncio.get_running_loop().run_in_executor(None, self.pipe.recv)

    def end(self) -> None:
        """End the process, by force where its loop is too busy to listen."""
        with contextlib.suppress(OSError):
            self.pipe.send("end")
        self.process.join(END_S)
        if self.process.is_alive():
            self.process.kill()
            self.process.join()


class HollowProxies:
    """All hollow proxies, some in each process."""

    def __init__(self, layout: FleetLayout, folder: Path) -> None:
        texts = [settings_text(machine, PROXY, layout, folder) for machine in layout.proxy_machines()]
        starts = range(0, len(texts), HOLLOW_A_PROCESS)
        self.parts = [HollowProcess(texts[start : start + HOLLOW_A_PROCESS]) for start in starts]

    async def look(self) -> tuple[bool, float, float, float]:
        """Whether all are ready, processor seconds, bytes sent, resident bytes: sums over the processes."""
        looks = await asyncio.gather(*(part.ask("look") for part in self.parts))
        ready, cpu, sent, resident = zip(*looks, strict=True)
        return all(ready), sum(cpu), sum(sent), sum(resident)

    async def grow(self, count: int) -> None:
        """Have so many, all of them ready."""

        async def ready() -> bool:
            return (await self.look())[0]

        left = count
        for part in self.parts:
            await part.ask(min(left, part.size))
            left -= min(left, part.size)
        await watch.wait_until(f"{count} hollow proxies ready", ready, WAIT_S)

    def end(self) -> None:
        """End the processes."""
        for part in self.parts:
            part.end()


# Measurements


def start_of(count: int) -> int:
    """How many proxies there were before they became so many."""
    return max((size for size in HOLLOW if size < count), default=0)


async def told_figures(address: str) -> dict[str, float]:
    """The figures of a control process, however busy it is. Raises TimeoutError."""
    found: dict[str, float] = {}

    async def told() -> bool:
        found.update(await watch.figures(address))
        return bool(found)

    await watch.wait_until(f"figures of {address}", told, WAIT_S)
    return found


class ControlBench:
    """Control processes and an operator."""

    def __init__(self, layout: FleetLayout, processes: FleetProcesses) -> None:
        self.layout, self.processes = layout, processes
        self.controls = [machine.control for machine in layout.controls()]
        self.operator = Operator(self.controls)
        self.hollow: HollowProxies | None = None
        self.refused = 0  # heartbeats that were not acknowledged

    async def start(self, first: dict[str, Any]) -> None:
        """Start the control processes and put a configuration."""
        for machine in self.layout.controls():
            self.processes.start(machine, CONTROL)
        answer = await self.operator.replace(first, WAIT_S)
        assert answer.status == 200, answer.body

    async def used(self) -> Used:
        """What has been used so far."""
        sent: dict[str, float] = {}
        for address in self.controls:
            for name, value in (await told_figures(address)).items():
                if name.startswith(SENT_BYTES):
                    sent[name] = sent.get(name, 0.0) + value
        cpu = [processor_seconds(process.popen.pid) for process in self.processes.of_role(CONTROL)]
        found = Used(cpu, sent)
        if self.hollow is not None:
            _, found.proxy_cpu_s, found.proxy_bytes, found.proxy_resident = await self.hollow.look()
        return found

    async def by_proxy(self) -> None:
        """Cost by the number of proxies, without clients and servers."""
        every, busiest, down, up, own, memory = [], [], [], [], [], []
        assert self.hollow is not None
        for count in HOLLOW:
            began = time.monotonic()
            for step in range((before_count := start_of(count)) + STEP, count + 1, STEP):
                await self.hollow.grow(step)
            joined = time.monotonic() - began
            print(
                f"{count - before_count} proxies, {STEP} at a time, all ready after {joined:.1f} s",
                flush=True,
            )
            await asyncio.sleep(SETTLE_S)
            before = await self.used()
            await asyncio.sleep(SPAN_S)
            after = await self.used()
            cpu = [b - a for a, b in zip(before.control_cpu_s, after.control_cpu_s, strict=True)]
            sent = sum(after.control_bytes.values()) - sum(before.control_bytes.values())
            every.append((count, sum(cpu) / SPAN_S * 100.0))
            busiest.append((count, max(cpu) / SPAN_S * 100.0))
            down.append((count, sent / SPAN_S))
            up.append((count, (after.proxy_bytes - before.proxy_bytes) / SPAN_S))
            own.append((count, (after.proxy_cpu_s - before.proxy_cpu_s) / SPAN_S * 100.0))
            memory.append((count, after.proxy_resident))
        show("control CPU, all three", "% of a core", "proxy", every)
        show("control CPU, the busiest of three", "% of a core", "proxy", busiest)
        show("bytes from control, all three", "B/s", "proxy", down)
        show("bytes from proxies to control", "B/s", "proxy", up)
        show("proxy CPU without traffic", "% of a core", "proxy", own)
        show("proxy memory without traffic beyond the interpreter and libraries", "bytes", "proxy", memory)
        for name, value in sorted(after.control_bytes.items()):
            rate = (value - before.control_bytes.get(name, 0.0)) / SPAN_S
            print(f"  with {HOLLOW[-1]} proxies {name.removeprefix(SENT_BYTES)}: {rate:.0f} B/s")
        keep_alive = 2 * CONTROLS * len(KEEP_ALIVE_FRAME) / KEEP_ALIVE_INTERVAL_S
        print(f"keep-alive frames, not in the counters: {keep_alive:.0f} B/s a proxy, both ways together")

    async def by_heartbeat(self) -> None:
        """Processor time by the number of heartbeats, and memory by the number of servers."""
        for kept in (True, False):
            runs = []
            for count in HEARTBEATS:
                before = (await self.used()).control_cpu_s
                await self._send_heartbeats(count, kept)
                after = (await self.used()).control_cpu_s
                runs.append((float(count), (sum(after) - sum(before)) * 1e6))
            how = "kept connections" if kept else "new connections"
            show(f"control CPU, all three, {how}", "us", "heartbeat", runs)
        memory = []
        for count in HEARTBEATS:
            await self._send_heartbeats(count, True, ids=count)
            pids = [process.popen.pid for process in self.processes.of_role(CONTROL)]
            memory.append((float(count), float(max(resident_bytes(pid) for pid in pids))))
        show("control memory on a real process", "bytes", "registered server", memory)
        print(f"heartbeats that were not acknowledged: {self.refused}")

    async def _send_heartbeats(self, count: int, kept: bool, ids: int = IDS) -> None:
        callers = (self._call(caller, count // CALLERS, kept, ids) for caller in range(CALLERS))
        await asyncio.gather(*callers)

    async def _call(self, caller: int, count: int, kept: bool, ids: int) -> None:
        address = self.controls[caller % len(self.controls)]
        host, _, port = address.rpartition(":")
        writer = None
        for number in range(count):
            if writer is None or not kept:
                if writer is not None:
                    writer.close()
                reader, writer = await asyncio.open_connection(host, int(port))
            instance = (caller + CALLERS * number) % ids
            writer.write(heartbeat(address, instance, time.monotonic_ns() // 1000))
            head = await reader.readuntil(b"\r\n\r\n")
            self.refused += not head.startswith(b"HTTP/1.1 200")
            length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))
        if writer is not None:
            writer.close()

    async def by_change(self, tenants: int) -> None:
        """Cost of small changes on top of a large configuration, with real proxies."""
        proxies = self.layout.proxy_machines()
        version = self.operator.version + 1
        whole = large_document(version, tenants)
        began = time.monotonic()
        answer = await self.operator.replace(whole, WAIT_S)
        assert answer.status == 200, answer.body
        taken = time.monotonic() - began
        behind = await watch.wait_until("in force", lambda: watch.all_at(proxies, version), WAIT_S)
        size = len(json.dumps(whole))
        print(
            f"{tenants} tenants, {ROUTES} routes, {size} bytes: whole configuration acknowledged after"
            f" {taken:.2f} s, in force at all proxies {behind:.2f} s later",
            flush=True,
        )
        await self._make_changes(2)
        runs = {name: [] for name in ("all control", "busiest control", "a proxy", "sent")}  # type: ignore[var-annotated]
        slowest_taken = slowest_behind = 0.0
        pids = [process.popen.pid for process in self.processes.of_role(PROXY)]
        for count in CHANGES:
            before, proxy_before = await self.used(), sum(map(processor_seconds, pids))
            took = await self._make_changes(count)
            after, proxy_after = await self.used(), sum(map(processor_seconds, pids))
            cpu = [b - a for a, b in zip(before.control_cpu_s, after.control_cpu_s, strict=True)]
            pieces = f'{SENT_BYTES}{{message="ConfigPiece"}}'
            sent = after.control_bytes.get(pieces, 0.0) - before.control_bytes.get(pieces, 0.0)
            runs["all control"].append((count, sum(cpu) * 1000.0))
            runs["busiest control"].append((count, max(cpu) * 1000.0))
            runs["a proxy"].append((count, (proxy_after - proxy_before) / len(pids) * 1000.0))
            runs["sent"].append((count, sent / len(pids)))
            slowest_taken, slowest_behind = max(slowest_taken, took[0]), max(slowest_behind, took[1])
        print(
            f"slowest change: acknowledged after {slowest_taken:.3f} s, in force {slowest_behind:.3f} s later"
        )
        for name in ("all control", "busiest control", "a proxy"):
            show(f"CPU of {name}, {tenants} tenants", "ms", "change", runs[name])
        show(f"delta to a proxy, {tenants} tenants", "bytes", "change", runs["sent"])

    async def _make_changes(self, count: int) -> tuple[float, float]:
        """Make changes one after the other; the longest times to the acknowledgement and from there."""
        taken = behind = 0.0
        proxies = self.layout.proxy_machines()
        for _ in range(count):
            version = self.operator.version + 1
            added = route("r-changed", f"/changed-{version}/", "unsafe")
            began = time.monotonic()
            answer = await self.operator.patch({"Generation": version, "Upsert": {"Routes": [added]}}, WAIT_S)
            assert answer.status == 200, answer.body
            taken = max(taken, time.monotonic() - began)
            waited = await watch.wait_until("in force", lambda v=version: watch.all_at(proxies, v), WAIT_S)  # type: ignore[misc]
            behind = max(behind, waited)
        return taken, behind


def heartbeat(address: str, instance: int, sequence: int) -> bytes:
    """A heartbeat as a server sends it."""
    fields = {
        "Service": f"engines-{instance % 10}",
        "Address": f"10.9.{instance // 250}.{instance % 250}:8080",
        "Zone": "zone-a",
        "Generation": "v1",
        "Slots": 48,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Stage": "dual",
        "Models": [{"Name": "m", "Generation": 1, "Adapters": []}],
        "Sequence": sequence,
    }
    body = json.dumps(fields).encode()
    head = (
        f"POST /-/Instances.Heartbeat/i-{instance:06} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def large_document(generation: int, tenants: int) -> dict[str, Any]:
    """A configuration of many tenants and routes."""
    whole = document(generation)
    whole["Routes"] += [route(f"r-{number}", f"/p-{number}/", "streaming") for number in range(ROUTES - 2)]
    whole["Tenants"] += [
        {
            "Name": f"tenant-{number}",
            "ApiKeys": [f"key-{number:08}-{m}" for m in range(2)],
            "Priority": 1,
            "Unit": "token_rate",
            "PlainTokens": 200,
            "RatePerS": 1000 + number,
            "Burst": 9000,
        }
        for number in range(tenants - len(whole["Tenants"]))
    ]
    return whole


async def run_proxies_and_heartbeats() -> None:
    """Cost by proxy and by heartbeat."""
    layout = plan_fleet(max(HOLLOW), CONTROLS)
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        with FleetProcesses(layout, Path(folder)) as processes:
            bench = ControlBench(layout, processes)
            await bench.start(document(1))
            bench.hollow = HollowProxies(layout, Path(folder))
            try:
                await bench.by_proxy()
            finally:
                bench.hollow.end()
                bench.hollow = None
            await bench.by_heartbeat()


async def run_changes() -> None:
    """Cost of changes."""
    layout = plan_fleet(2, CONTROLS)
    with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
        with FleetProcesses(layout, Path(folder)) as processes:
            bench = ControlBench(layout, processes)
            await bench.start(document(1))
            for machine in layout.proxy_machines():
                processes.start(machine, PROXY)
            await watch.wait_until("ready", lambda: watch.all_ready(layout.proxy_machines()), WAIT_S)
            for tenants in SIZES:
                await bench.by_change(tenants)
            for process in processes.processes:
                memory = resident_bytes(process.popen.pid) / 1e6
                name = f"{process.role} {process.machine.number}"
                print(f"{name} with {SIZES[-1]} tenants: {memory:.0f} MB resident")
