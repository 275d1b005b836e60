"""A whole fleet for some seconds: processes, servers, an operator who changes the configuration, clients."""

import asyncio
import contextlib
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from testbed.engines.engine import EngineFigures
from testbed.fleet import watch
from testbed.fleet.clients import ClientFigures, Clients
from testbed.fleet.layout import Machine, plan_fleet
from testbed.fleet.model_server import ModelServer
from testbed.fleet.operator import SERVICE, Operator, document, new_route_patch
from testbed.fleet.processes import FleetProcesses

START_S = 40.0  # for all processes to be ready, on a busy machine too
CHANGE_S = 20.0  # for a change to be in force at each proxy
LOOK_S = 0.5  # between two rows of figures
CHANGE_PERIOD_S = 3.0  # between two changes of the configuration
SERVERS = 3
CLIENTS_A_PROXY = 3
VERSION_STEP = 2
GRACE_S = 1.2  # of the planned end, while nothing is under way


@dataclass(frozen=True, slots=True)
class DemoSize:
    """How long and how large."""

    seconds: float = 15.0
    proxies: int = 2
    controls: int = 3


@dataclass(slots=True)
class DemoLook:
    """How the fleet stands at one moment."""

    second: float = 0.0
    stage: str = "starting"
    wanted_version: int = 0
    versions: dict[str, int] = field(default_factory=dict)  # in force, by machine
    in_flight: dict[str, int] = field(default_factory=dict)
    servers: list[dict[str, Any]] = field(default_factory=list)
    held: dict[str, int] = field(default_factory=dict)  # requests that a server runs, by its id
    clients: ClientFigures = field(default_factory=ClientFigures)


@dataclass(slots=True)
class DemoResult:
    """What came of it."""

    problems: list[str] = field(default_factory=list)
    clients: ClientFigures = field(default_factory=ClientFigures)
    changes: int = 0
    slowest_change_s: float = 0.0
    ready_after_s: float = 0.0

    def summary(self) -> str:
        """One line."""
        served = self.clients.statuses[200]
        half, most = self.clients.quantiles()
        figures = (
            f"{served} of {self.clients.sent} served, {self.clients.retried} tried again,"
            f" {self.clients.events} events, first event"
            f" {half:.0f} ms (p99 {most:.0f}), {self.changes} changes in force within"
            f" {self.slowest_change_s:.2f} s, ready after {self.ready_after_s:.1f} s"
        )
        return f"fleet {'ok' if not self.problems else 'FAILED'}: " + "; ".join([figures, *self.problems])


class Demo:
    """One run. `show` is called with each look at the fleet."""

    def __init__(self, size: DemoSize, show: Callable[[DemoLook], None]) -> None:
        self.layout = plan_fleet(size.proxies, size.controls, {"GraceS": GRACE_S})
        self.size = size
        self.result = DemoResult()
        self._show = show
        self._look = DemoLook()
        self._controls = [machine.control for machine in self.layout.controls()]
        self._operator = Operator(self._controls)
        self._servers: list[ModelServer] = []
        self._began = time.monotonic()

    async def run(self) -> DemoResult:
        """Play it; everything that was started has ended when this returns or raises."""
        with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
            with FleetProcesses(self.layout, Path(folder)) as processes:
                processes.start_all()
                try:
                    await self._play()
                except TimeoutError as error:
                    self.result.problems.append(str(error) or "no answer in time")
                finally:
                    await asyncio.gather(*(server.stop() for server in self._servers))
                self._note_ended(processes)
                self._tell("ending")
                codes = await asyncio.to_thread(processes.stop)
                self._note_codes(codes)
        return self.result

    def _note_ended(self, processes: FleetProcesses) -> None:
        for process in processes.ended():
            name = f"{process.role} {process.machine.number}"
            self.result.problems.append(f"{name} ended by itself")
            print(process.log_tail())

    def _note_codes(self, codes: list[int]) -> None:
        wrong = sum(code != 0 for code in codes)
        if wrong:
            self.result.problems.append(f"{wrong} of {len(codes)} processes did not end with 0")

    async def _play(self) -> None:
        await self._start()
        clients = Clients(self.layout.proxy_machines(), CLIENTS_A_PROXY * self.size.proxies, seed=1)
        self.result.clients = self._look.clients = clients.figures
        sending = asyncio.create_task(clients.run())
        looking = asyncio.create_task(self._keep_looking())
        try:
            await self._change_until(time.monotonic() + self.size.seconds)
        finally:
            clients.end()
            await sending
            looking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await looking
        self._judge(clients.figures)
        await self._leave()

    async def _start(self) -> None:
        self._tell("starting")
        first = document(VERSION_STEP)
        answer = await self._operator.replace(first, START_S)
        if answer.status != 200:
            raise TimeoutError(f"the first configuration was refused with {answer.status}")
        self._servers = [
            ModelServer(f"server-{number}", SERVICE, self._controls, EngineFigures())
            for number in range(1, SERVERS + 1)
        ]
        for server in self._servers:
            await server.start()
        async with asyncio.timeout(START_S):
            for server in self._servers:
                await server.acknowledged.wait()
        proxies = self.layout.proxy_machines()
        await watch.wait_until("every proxy ready", lambda: watch.all_ready(proxies), START_S)
        self.result.ready_after_s = time.monotonic() - self._began

    async def _change_until(self, end: float) -> None:
        self._tell("serving")
        while (left := end - time.monotonic()) > 0:
            await self._change()
            await asyncio.sleep(min(CHANGE_PERIOD_S, max(0.0, left)))

    async def _change(self) -> None:
        """One change, until it is in force at each proxy."""
        version = self._operator.version + VERSION_STEP
        answer = await self._operator.patch(new_route_patch(version), CHANGE_S)
        if answer.status != 200:
            self.result.problems.append(f"the change to version {version} was refused with {answer.status}")
            return
        self._look.wanted_version = version
        proxies = self.layout.proxy_machines()
        took = await watch.wait_until(
            f"version {version} in force", lambda: watch.all_at(proxies, version), CHANGE_S
        )
        self.result.changes += 1
        self.result.slowest_change_s = max(self.result.slowest_change_s, took)

    async def _leave(self) -> None:
        """All servers drain and are deregistered."""
        self._tell("servers leave")
        left = await asyncio.gather(*(server.leave() for server in self._servers))
        if not all(left):
            self.result.problems.append("a server that left was not acknowledged")

    def _judge(self, figures: ClientFigures) -> None:
        lost = figures.sent - figures.statuses[200]
        if lost or not figures.sent:
            statuses = dict(figures.statuses)
            self.result.problems.append(f"{lost} of {figures.sent} requests not served ({statuses})")
        if any(server.counters.keys_seen for server in self._servers):
            self.result.problems.append("a client's key reached a server")

    # What is shown

    def _tell(self, stage: str) -> None:
        self._look.stage = stage
        self._look.second = time.monotonic() - self._began
        self._show(self._look)

    async def _keep_looking(self) -> None:
        while True:
            await asyncio.gather(*(self._look_at(machine) for machine in self.layout.proxy_machines()))
            servers = await watch.status(self._controls[0], "servers")
            self._look.servers = servers or self._look.servers
            self._look.held = {server.id: server.running for server in self._servers}
            self._tell("serving")
            await asyncio.sleep(LOOK_S)

    async def _look_at(self, machine: Machine) -> None:
        found = await watch.figures(machine.ready)
        name = f"machine-{machine.number}"
        self._look.versions[name] = int(found.get(watch.VERSION_FIGURE, 0.0))
        self._look.in_flight[name] = int(found.get("brackenusher_requests_in_flight", 0.0))
