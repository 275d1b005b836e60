"""A soak on real processes: servers deregister while losses of the core overlap, and clients send on.

In each round one machine of the core misses a deregistration, frozen or without power; one that stored it
loses its disk, and the third goes dark. Other proxies restart and are signalled meanwhile, the configuration
changes, and heartbeats arrive late. One seed decides all draws; the timing of processes is the machine's.
"""

import asyncio
import contextlib
import random
import shutil
import signal
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import h11

from testbed.engines.engine import EngineFigures
from testbed.fleet import watch
from testbed.fleet.http_calls import ANSWER_FAILURES, HttpCall, call
from testbed.fleet.layout import CONTROL, PROXY, Machine, plan_fleet
from testbed.fleet.model_server import ModelServer, ServerRequest, send_whole
from testbed.fleet.operator import SERVICE, TENANTS, Operator, document, key_of, new_route_patch
from testbed.fleet.processes import FleetProcesses, RoleProcess
from tests.fleet.client_soak import CONNECTION_FAILURES, KeptConnection
from tests.fleet.client_soak_oracle import NO_ANSWER, OK, SentRequest, ServerRun
from tests.fleet.core_loss_oracle import RECOVER_S, CoreLossHistory, MachineEvent

START_S = 60.0
CONTROLS, SERVERS, CLIENTS_A_PROXY = 3, 4, 3
HEARTBEAT_S = 1.2
CLIENT_DEADLINE_S = 2.0
CLIENT_PAUSE_S = (0.0, 0.1)
LINKS_END_S = 1.8  # a frozen process has lost its links by then
FROZEN_S = (2.1, 3.5)
ACKNOWLEDGED_S = 4.0
DOWN_S = (0.3, 0.8)  # of the machine that loses its disk
DARK_S = (4.5, 8.0)
CATCH_UP_S = 4.0  # after it a further disk may be lost
LATE_HEARTBEAT_S = (0.5, 5.0)
DISTURBANCE_PAUSE_S = (0.5, 2.0)
CHANGE_PAUSE_S = 0.7
POWER_SHARE = 0.3  # of the machines that miss a deregistration: without power, not frozen
PROCESS_END_S = 5.0


class RecordingServer(ModelServer):
    """Answers at once and notes each request."""

    heartbeat_s = HEARTBEAT_S
    runs: list[ServerRun]

    async def _run(
        self,
        request: ServerRequest,
        headers: dict[str, str],
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        now = time.monotonic()
        self.runs.append(ServerRun(request.request_id, now, now, now))
        headers["X-Brackenusher-Response-Stamp"] = f"{self.id}.{len(self.runs)}"
        send_whole(connection, writer, 200, headers, b"done")

    async def deregister(self, controls: list[str]) -> bool:
        """Send no more heartbeats, and say that it is gone; whether that was acknowledged."""
        self._stop_beating()
        self.controls, self._next_control = controls, 0
        return await self._insist("Deregister", b"{}")

    async def send_late_heartbeat(self, controls: list[str]) -> None:
        """A heartbeat from before its end arrives now, at one of these."""
        request = HttpCall(
            "POST",
            f"/-/Instances.Heartbeat/{self.id}",
            {"Content-Type": "application/json"},
            self._heartbeat_body(),
        )
        for address in controls:
            with contextlib.suppress(*ANSWER_FAILURES):
                await call(address, request, 1.0)


class CoreLossSoak:
    """One run; `play` returns what was seen."""

    def __init__(self, seed: int, folder: Path, proxies: int, rounds: int) -> None:
        self.rng = random.Random(seed)
        layout = plan_fleet(proxies, CONTROLS)
        self.layout = replace(layout, heartbeat_ms=HEARTBEAT_S * 1000.0)
        self.folder = folder
        self.processes = FleetProcesses(self.layout, folder)
        self.proxies = self.layout.proxy_machines()
        self.core = self.layout.controls()
        self.operator = Operator([machine.control for machine in self.core])
        self.rounds = rounds
        self.history = CoreLossHistory(frozenset(machine.number for machine in self.core))
        self.servers: list[RecordingServer] = []
        self.served_at = 0.0
        self._sent = self._server_count = 0
        self._running = True

    async def play(self) -> CoreLossHistory:
        """Start the fleet, play the rounds, end it."""
        with self.processes:
            try:
                await self._start()
                others = [self._client(machine) for machine in self.proxies for _ in range(CLIENTS_A_PROXY)]
                await asyncio.gather(self._play_rounds(), self._disturb(), self._change(), *others)
            finally:
                await asyncio.gather(*(server.stop() for server in self.servers))
        return self.history

    async def _start(self) -> None:
        self.processes.start_all()
        answer = await self.operator.replace(document(1), START_S)
        assert answer.status == 200, answer.body
        for _ in range(SERVERS):
            await self._start_server()
        async with asyncio.timeout(START_S):
            for server in self.servers:
                await server.acknowledged.wait()
        await watch.wait_until("proxies ready", lambda: watch.all_ready(self.proxies), START_S)

    async def _start_server(self) -> None:
        self._server_count += 1
        controls = self.rng.sample(self.operator.controls, len(self.operator.controls))
        server = RecordingServer(f"server-{self._server_count}", SERVICE, controls, EngineFigures())
        server.runs = self.history.runs.setdefault(server.id, [])
        await server.start()
        self.servers.append(server)

    # Clients

    async def _client(self, machine: Machine) -> None:
        """Send one request after the other to one proxy, on a connection that is kept as long as it holds."""
        host, _, port = machine.front.rpartition(":")
        while self._running:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            connection = KeptConnection(machine, reader, writer, CLIENT_DEADLINE_S)
            while self._running and await self._send(connection):
                await asyncio.sleep(self.rng.uniform(*CLIENT_PAUSE_S))
            writer.close()

    async def _send(self, connection: KeptConnection) -> bool:
        """Whether the connection can be used further."""
        self._sent += 1
        request = SentRequest(f"{self._sent:016x}", "unsafe", connection.machine.number, time.monotonic())
        self.history.requests.append(request)
        try:
            connection.send(request, key_of(self.rng.choice(TENANTS)))
            async with asyncio.timeout(CLIENT_DEADLINE_S + 1.0):
                await connection.read(request)
        except CONNECTION_FAILURES:
            request.status = NO_ANSWER
        request.ended_at = time.monotonic()
        if request.status == OK:
            self.served_at = request.sent_at
        return request.status != NO_ANSWER and connection.may_be_kept()

    # Losses of the core

    async def _play_rounds(self) -> None:
        try:
            for _ in range(self.rounds):
                await self._overlap_losses()
                self.history.recoveries.append(await self._recovery_s())
                await self._start_server()
                await asyncio.sleep(CATCH_UP_S)
        finally:
            self._running = False

    async def _overlap_losses(self) -> None:
        behind, empty, dark = self.rng.sample(self.core, len(self.core))
        has_no_power = self.rng.random() < POWER_SHARE
        if has_no_power:
            self._kill(behind)
        else:
            self._signal_machine(behind, signal.SIGSTOP, is_up=False)
        await asyncio.sleep(max(LINKS_END_S, self.rng.uniform(*FROZEN_S)))
        leaving = self.rng.choice([s for s in self.servers if s.id not in self.history.ended])
        acknowledged = await self._deregister(leaving, [empty.control, dark.control])
        for machine in (empty, dark):
            self._kill(machine)
        self._empty_disk(empty)
        if has_no_power:
            self._start_machine(behind)
        else:
            self._signal_machine(behind, signal.SIGCONT, is_up=True)
        dark_until = time.monotonic() + self.rng.uniform(*DARK_S)
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        self._start_machine(empty)
        if acknowledged:
            await asyncio.sleep(self.rng.uniform(*LATE_HEARTBEAT_S))
            await leaving.send_late_heartbeat([behind.control, empty.control])
        await asyncio.sleep(max(0.0, dark_until - time.monotonic()))
        self._start_machine(dark)

    async def _deregister(self, server: RecordingServer, controls: list[str]) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ACKNOWLEDGED_S):
                if await server.deregister(controls):
                    self.history.ended[server.id] = time.monotonic()
        return server.id in self.history.ended

    async def _recovery_s(self) -> float | None:
        """Seconds until a request is served that was sent from now on; None if that takes too long."""
        began = time.monotonic()
        while time.monotonic() < began + RECOVER_S + CLIENT_DEADLINE_S:
            if self.served_at > began:
                return time.monotonic() - began
            await asyncio.sleep(0.05)
        return None

    def _of_machine(self, machine: Machine) -> Iterator[RoleProcess]:
        return (p for p in self.processes.processes if p.machine.number == machine.number and p.running)

    def _signal_machine(self, machine: Machine, number: signal.Signals, is_up: bool) -> None:
        self.history.events.append(MachineEvent(time.monotonic(), machine.number, is_up))
        for process in self._of_machine(machine):
            process.popen.send_signal(number)

    def _kill(self, machine: Machine) -> None:
        killed = list(self._of_machine(machine))
        self._signal_machine(machine, signal.SIGKILL, is_up=False)
        for process in killed:
            process.wait(PROCESS_END_S)

    def _start_machine(self, machine: Machine) -> None:
        self.history.events.append(MachineEvent(time.monotonic(), machine.number, True))
        self.processes.start(machine, CONTROL)
        self.processes.start(machine, PROXY)

    def _empty_disk(self, machine: Machine) -> None:
        shutil.rmtree(self.folder / f"disk-{machine.number}")

    # Beside them

    async def _change(self) -> None:
        version = self.operator.version
        while self._running:
            version += 2
            with contextlib.suppress(TimeoutError):
                await self.operator.patch(new_route_patch(version), CHANGE_PAUSE_S)
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def _disturb(self) -> None:
        """Signals and restarts of proxies outside of the core, in series."""
        others = [machine for machine in self.proxies if machine.number not in self.history.core]
        while self._running and others:
            await asyncio.sleep(self.rng.uniform(*DISTURBANCE_PAUSE_S))
            machine = self.rng.choice(others)
            if self.rng.random() < 0.5:
                self._signal_machine(machine, signal.SIGHUP, is_up=True)
            else:
                self._kill(machine)
                self.history.events.append(MachineEvent(time.monotonic(), machine.number, True))
                self.processes.start(machine, PROXY)
