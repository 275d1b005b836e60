"""A soak on real processes: clients that stay, leave or half-close, while proxies end and start in series.

One seed decides all that is drawn; the processes' timing is the machine's. See `soak_server` for the servers.
"""

import asyncio
import contextlib
import random
import signal
import socket
import struct
import time
from pathlib import Path
from typing import Any

import h11

from testbed.engines.engine import EngineFigures
from testbed.fleet import watch
from testbed.fleet.clients import client_call
from testbed.fleet.http_calls import READ_BYTES
from testbed.fleet.layout import CONTROL, PROXY, Machine, plan_fleet
from testbed.fleet.operator import SERVICE, TENANTS, Operator, document, key_of, new_route_patch, route
from testbed.fleet.processes import FleetProcesses, RoleProcess
from tests.fleet.client_soak_oracle import NO_ANSWER, SentRequest, SoakHistory
from tests.fleet.soak_server import PATHS, HoldingServer, SoakPlan, soak_event

START_S = 60.0
CONTROLS, SERVERS, CLIENTS_A_PROXY = 3, 3, 6
CONNECTION_FAILURES = (OSError, EOFError, TimeoutError, h11.ProtocolError)
STAY, CLOSE, RESET, HALF_CLOSE = "stay", "close", "reset", "half_close"
LEAVE_AFTER_S = (0.0, 0.25)
DISTURBANCE_PAUSE_S = (0.2, 1.2)
CHANGE_PAUSE_S = 0.5


LEAVING_CLIENTS = SoakPlan(
    grace_s=3.0,
    client_deadline_s=4.0,
    late_s=(0.8, 2.5),
    late_share=0.35,
    events=3,
    pauses_between_events=False,
    behaviours={STAY: 0.5, CLOSE: 0.3, RESET: 0.1, HALF_CLOSE: 0.1},
    kill_share=0.2,
)
# Long streams and kept connections across ends in order, as long as a deployment gives a process.
PLANNED_ENDS = SoakPlan(
    grace_s=8.0,
    client_deadline_s=15.0,
    late_s=(1.0, 6.0),
    late_share=0.7,
    events=20,
    pauses_between_events=True,
    behaviours={STAY: 0.95, CLOSE: 0.05},
    kill_share=0.1,
)


class KeptConnection:
    """A client's connection to one proxy, used until the proxy closes it or the client leaves."""

    def __init__(
        self,
        machine: Machine,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        deadline_s: float,
    ) -> None:
        self.machine, self.reader, self.writer = machine, reader, writer
        self.deadline_s = deadline_s
        self.http = h11.Connection(h11.CLIENT)

    def send(self, request: SentRequest, key: str) -> None:
        """Send one request."""
        call = client_call(PATHS[request.route], 0, key)
        headers = {**call.headers, "X-Brackenusher-Request-Id": request.id}
        headers["X-Brackenusher-Deadline-Ms"] = str(int(self.deadline_s * 1000))
        headers["Content-Length"] = "0"
        head = h11.Request(method="POST", target=call.target, headers=list(headers.items()))
        self.writer.write((self.http.send(head) or b"") + (self.http.send(h11.EndOfMessage()) or b""))

    async def read(self, request: SentRequest) -> None:
        """Read a whole answer. Raises one of CONNECTION_FAILURES where it is not whole."""
        status, body = NO_ANSWER, b""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                request.status, request.body = status, body
                return
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError

    def may_be_kept(self) -> bool:
        """Prepare for the next request; False if the connection is to be closed."""
        with contextlib.suppress(h11.LocalProtocolError):
            self.http.start_next_cycle()
            return True
        return False

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ClientSoak:
    """One run; `play` returns what was seen."""

    def __init__(self, seed: int, folder: Path, proxies: int, seconds: float, plan: SoakPlan) -> None:
        self.rng = random.Random(seed)
        self.plan = plan
        self.layout = plan_fleet(proxies, CONTROLS, {"GraceS": plan.grace_s})
        self.processes = FleetProcesses(self.layout, folder)
        self.proxies = self.layout.proxy_machines()
        self.controls = [machine.control for machine in self.layout.controls()]
        self.operator = Operator(self.controls)
        self.seconds = seconds
        events = b"".join(map(soak_event, range(1, plan.events + 1)))
        self.history = SoakHistory(events, plan.grace_s, plan.max_signal_effect_s, plan.client_deadline_s)
        self._sent = 0
        self._terminated: set[int] = set()  # process ids: a second SIGTERM changes nothing
        self._ends_at = 0.0

    async def play(self) -> SoakHistory:
        """Start the fleet, disturb it, end it."""
        with self.processes:
            servers = await self._start()
            self._ends_at = time.monotonic() + self.seconds
            clients = [self._client() for _ in range(CLIENTS_A_PROXY * len(self.proxies))]
            try:
                await asyncio.gather(*clients, self._disturb(), self._change())
            finally:
                await asyncio.gather(*(server.stop() for server in servers))
        return self.history

    async def _start(self) -> list[HoldingServer]:
        self.processes.start_all()
        answer = await self.operator.replace(soak_document(), START_S)
        assert answer.status == 200, answer.body
        servers = []
        for number in range(SERVERS):
            server = HoldingServer(f"server-{number}", SERVICE, self.controls, EngineFigures())
            server.plan, server.history = self.plan, self.history
            server.rng = random.Random(self.rng.getrandbits(32))
            await server.start()
            servers.append(server)
        async with asyncio.timeout(START_S):
            for server in servers:
                await server.acknowledged.wait()
        await watch.wait_until("proxies ready", lambda: watch.all_ready(self.proxies), START_S)
        return servers

    def _running(self) -> bool:
        return time.monotonic() < self._ends_at

    # Clients

    async def _client(self) -> None:
        while self._running():
            machine = self.rng.choice(self.proxies)
            host, _, port = machine.front.rpartition(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.02)
                continue
            try:
                await self._use(KeptConnection(machine, reader, writer, self.plan.client_deadline_s))
            finally:
                writer.close()

    async def _use(self, connection: KeptConnection) -> None:
        """Send one request after the other until the connection ends."""
        while self._running():
            self._sent += 1
            route_kind = self.rng.choice(list(PATHS))
            request = SentRequest(
                f"{self._sent:016x}", route_kind, connection.machine.number, time.monotonic()
            )
            behaviours = self.plan.behaviours
            behaviour = self.rng.choices(list(behaviours), list(behaviours.values()))[0]
            if behaviour == HALF_CLOSE and route_kind != "unsafe":
                behaviour = STAY
            self.history.requests.append(request)
            if not await self._send_and_wait(connection, request, behaviour):
                return

    async def _send_and_wait(self, connection: KeptConnection, request: SentRequest, behaviour: str) -> bool:
        """Whether the connection can be used further."""
        try:
            connection.send(request, key_of(self.rng.choice(TENANTS)))
            if behaviour in (CLOSE, RESET):
                return await self._wait_and_leave(connection, request, behaviour)
            if behaviour == HALF_CLOSE:
                request.half_closed = True
                connection.writer.write_eof()
            async with asyncio.timeout(self.plan.client_deadline_s + 1.0):
                await connection.read(request)
        except TimeoutError:
            request.status, request.held = NO_ANSWER, True
        except CONNECTION_FAILURES:
            request.status = NO_ANSWER
        request.ended_at = time.monotonic()
        return request.status != NO_ANSWER and behaviour == STAY and connection.may_be_kept()

    async def _wait_and_leave(self, connection: KeptConnection, request: SentRequest, behaviour: str) -> bool:
        """Leave after a drawn time, unless the answer is there first."""
        try:
            async with asyncio.timeout(self.rng.uniform(*LEAVE_AFTER_S)):
                await connection.read(request)
        except TimeoutError:
            if behaviour == RESET:
                connection.reset()
            else:
                connection.writer.close()
            request.left_at = request.ended_at = time.monotonic()
            return False
        request.ended_at = time.monotonic()
        return connection.may_be_kept()

    # Disturbances

    async def _change(self) -> None:
        version = self.operator.version
        while self._running():
            version += 2
            with contextlib.suppress(TimeoutError):
                answer = await self.operator.patch(new_route_patch(version), self.seconds)
                self.history.changes += answer.status == 200
            await asyncio.sleep(CHANGE_PAUSE_S)

    async def _disturb(self) -> None:
        """Signals, ends and starts that overlap; one control process at a time is killed."""
        restarts: set[asyncio.Task[None]] = set()
        control_restart: asyncio.Task[None] | None = None
        while self._running():
            await asyncio.sleep(self.rng.uniform(*DISTURBANCE_PAUSE_S))
            luck = self.rng.random()
            running = list(self.processes.of_role(PROXY))
            if luck < 0.2 and (control_restart is None or control_restart.done()):
                process = self.rng.choice(list(self.processes.of_role(CONTROL)))
                control_restart = self._restart(process, signal.SIGKILL)
                restarts.add(control_restart)
            elif luck < 0.4 and running:
                self._signal(self.rng.choice(running), signal.SIGHUP)
            elif len(running) > 1:
                kind = signal.SIGKILL if self.rng.random() < self.plan.kill_share else signal.SIGTERM
                restarts.add(self._restart(self.rng.choice(running), kind))
        await asyncio.gather(*restarts)

    def _restart(self, process: RoleProcess, kind: signal.Signals) -> "asyncio.Task[None]":
        return asyncio.get_running_loop().create_task(self._end_and_start(process, kind))

    async def _end_and_start(self, process: RoleProcess, kind: signal.Signals) -> None:
        self._signal(process, kind)
        while process.running:
            await asyncio.sleep(0.02)
        if process.role == PROXY:
            self._note_signal(process.machine.number)
        if not any(
            other.running and (other.role, other.machine) == (process.role, process.machine)
            for other in self.processes.processes
        ):
            self.processes.start(process.machine, process.role)

    def _signal(self, process: RoleProcess, kind: signal.Signals) -> None:
        if process.role == PROXY:
            self._note_signal(process.machine.number)
            if kind == signal.SIGTERM and process.popen.pid not in self._terminated:
                self._terminated.add(process.popen.pid)
                self.history.terminations.setdefault(process.machine.number, []).append(time.monotonic())
            elif kind == signal.SIGKILL:
                self.history.kills.setdefault(process.machine.number, []).append(time.monotonic())
        if process.running:
            process.popen.send_signal(kind)

    def _note_signal(self, machine: int) -> None:
        self.history.signals.setdefault(machine, []).append(time.monotonic())


def soak_document() -> dict[str, Any]:
    """The first configuration: a route of each kind."""
    whole = document(1)
    whole["Routes"] += [route("safe", "/safe/", "safe"), route("resume", "/resume/", "streaming")]
    whole["Routes"][-1]["Resumable"] = True
    return whole
