"""Both roles as real processes on loopback: configuration, servers, requests, streams, ends, settings."""

import asyncio
import json
import subprocess
import tempfile
import unittest
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

from testbed.engines.engine import EngineFigures
from testbed.fleet import watch
from testbed.fleet.clients import chat, client_call
from testbed.fleet.http_calls import HttpAnswer, HttpCall, call
from testbed.fleet.layout import CONTROL, PROXY, Machine, plan_fleet, settings_text, spare_machine
from testbed.fleet.model_server import EVENT_TEXT, PLAIN_BODY, ModelServer, ServerRequest
from testbed.fleet.operator import SERVICE, TENANTS, Operator, key_of, new_route_patch
from testbed.fleet.processes import run_role
from tests.fleet.process_support import WAIT_S, Fleet


class SteppedServer(ModelServer):
    """A server whose streams give each event when the test lets them."""

    steps: "asyncio.Queue[bool]"  # True: the last event

    async def events(self, request: ServerRequest) -> AsyncIterator[str]:
        last = False
        while not last:
            last = await self.steps.get()
            yield EVENT_TEXT


class SharedFleet:
    """Where the tests find their fleet."""

    fleet: Fleet


def setUpModule() -> None:  # noqa: N802, the library's name
    folder = tempfile.TemporaryDirectory(prefix="fleet-test-")
    unittest.addModuleCleanup(folder.cleanup)
    fleet = SharedFleet.fleet = Fleet(Path(folder.name))
    unittest.addModuleCleanup(fleet.runner.close)
    unittest.addModuleCleanup(fleet.processes.stop)
    fleet.runner.run(fleet.start())


class FleetTest(unittest.TestCase):
    """What the tests share."""

    def setUp(self) -> None:
        fleet = SharedFleet.fleet
        self.layout, self.processes, self.runner = fleet.layout, fleet.processes, fleet.runner
        self.controls, self.proxies, self.operator = fleet.controls, fleet.proxies, fleet.operator

    def play(self, what: Coroutine[Any, Any, None]) -> None:
        self.runner.run(what)

    async def server(self, kind: type[ModelServer] = ModelServer) -> ModelServer:
        """A server that each proxy knows; it is the only one."""
        server = kind(f"server-{self.id()}", SERVICE, self.controls, EngineFigures())
        await server.start()
        self.addCleanup(lambda: self.runner.run(server.stop()))
        self.addCleanup(lambda: self.runner.run(server.leave()))
        for machine in self.proxies:
            await self.served_by(machine, server)
        return server

    async def served_by(self, machine: Machine, server: ModelServer) -> None:
        """Wait until a request through this proxy reaches the server."""

        async def served() -> bool:
            answer = await self.ask(machine, "/lookup/one", key_of(TENANTS[0]))
            return self.is_from(answer, server)

        await watch.wait_until("served by the new server", served, WAIT_S)

    async def in_force(self, version: int) -> None:
        """Wait until each proxy has this version."""
        await watch.wait_until("in force", lambda: watch.all_at(self.proxies, version), WAIT_S)

    async def reads_back(self, machine: Machine, version: int) -> None:
        """Wait until a control process gives this version, confirmed by a majority."""

        async def given() -> bool:
            answer = await watch.look(machine.control, "/-/Config.Get")
            return answer.status == 200 and json.loads(answer.body)["Generation"] == version

        await watch.wait_until("read back", given, WAIT_S)

    async def ask(self, machine: Machine, path: str, key: str) -> HttpAnswer:
        return await call(machine.front, client_call(path, 7, key), WAIT_S)

    def is_from(self, answer: HttpAnswer, server: ModelServer) -> bool:
        stamp = answer.headers.get("x-brackenusher-response-stamp", "")
        return answer.status == 200 and stamp.startswith(f"{server.id}.")


class ConfigurationTest(FleetTest):
    """What one control process acknowledges is in force everywhere; requests follow it."""

    def test_acknowledged_by_one_control_in_force_at_each_proxy(self) -> None:
        async def test() -> None:
            await self.server()
            for control in self.controls:
                self.operator.controls = [control]
                version = self.operator.version + 3
                answer = await self.operator.patch(new_route_patch(version), WAIT_S)
                self.assertEqual(answer.status, 200, answer.body)
                await self.in_force(version)
                for machine in self.proxies:
                    served = await self.ask(machine, f"/added-{version}/x", key_of(TENANTS[1]))
                    self.assertEqual((served.status, served.body), (200, PLAIN_BODY))
            self.operator.controls = self.controls

        self.play(test())

    def test_a_stale_base_and_an_invalid_document_are_refused(self) -> None:
        async def test() -> None:
            version = self.operator.version
            other = Operator(self.controls[1:])
            stale = await other.patch(new_route_patch(version + 5), WAIT_S)
            self.assertEqual(stale.status, 412)
            other.version = version
            invalid = await other.patch(
                {"Generation": version + 5, "Remove": {"Services": [SERVICE]}}, WAIT_S
            )
            self.assertEqual(invalid.status, 400)
            whole = json.loads((await watch.look(self.controls[2], "/-/Config.Get")).body)
            self.assertEqual(whole["Generation"], version)

        self.play(test())

    def test_keys_and_routes(self) -> None:
        async def test() -> None:
            server = await self.server()
            run = server.counters.run
            for machine in self.proxies:
                self.assertEqual((await self.ask(machine, "/lookup/one", "")).status, 401)
                self.assertEqual((await self.ask(machine, "/lookup/one", "no-such-key")).status, 401)
                self.assertEqual((await self.ask(machine, "/no-such/one", key_of(TENANTS[0]))).status, 404)
            self.assertEqual(server.counters.run, run)
            for tenant in TENANTS:
                answer = await self.ask(self.proxies[0], "/lookup/one", key_of(tenant))
                self.assertEqual((answer.status, answer.body), (200, PLAIN_BODY))
                self.assertTrue(self.is_from(answer, server))
            self.assertEqual(server.counters.tenants, set(TENANTS))
            self.assertEqual(server.counters.keys_seen, 0)

        self.play(test())


class ServerTest(FleetTest):
    """Registered servers are used, and those that leave are not."""

    def test_a_server_that_drained_gets_nothing_more(self) -> None:
        async def test() -> None:
            server = await self.server()
            self.assertTrue(await server.leave())
            run = server.counters.run

            async def refused() -> bool:
                answers = [await self.ask(m, "/lookup/one", key_of(TENANTS[0])) for m in self.proxies]
                return all(answer.status == 503 for answer in answers)

            await watch.wait_until("refused", refused, WAIT_S)
            drained = server.counters.run
            for machine in self.proxies:
                answer = await self.ask(machine, "/lookup/one", key_of(TENANTS[0]))
                self.assertEqual(answer.status, 503)
                self.assertIn("retry-after", answer.headers)
            self.assertEqual(server.counters.run, drained)
            self.assertGreaterEqual(drained, run)

        self.play(test())

    def test_a_stream_passes_event_by_event(self) -> None:
        async def test() -> None:
            server = await self.server(SteppedServer)
            assert isinstance(server, SteppedServer)
            server.steps = asyncio.Queue()
            for machine in self.proxies:
                await self.step_through(machine, server)

        self.play(test())

    async def step_through(self, machine: Machine, server: SteppedServer) -> None:
        """Let the next event go only when the client has the one before."""
        came: asyncio.Queue[int] = asyncio.Queue()
        seen = bytearray()

        def take(data: bytes) -> None:
            whole = seen.count(b"\n\n")
            seen.extend(data)
            for number in range(whole + 1, seen.count(b"\n\n") + 1):
                came.put_nowait(number)

        request = chat(11, 1, TENANTS[2])
        stream = HttpCall(request.method, request.target, request.headers, request.body, take)
        answer = asyncio.create_task(call(machine.front, stream, WAIT_S))
        for number in (1, 2, 3, 4):
            self.assertFalse(answer.done())
            server.steps.put_nowait(number == 4)
            self.assertEqual(await asyncio.wait_for(came.get(), WAIT_S), number)
        whole = await asyncio.wait_for(answer, WAIT_S)
        self.assertTrue(self.is_from(whole, server))
        self.assertEqual(whole.headers["x-brackenusher-request-id"], f"{11:016x}")
        events = [f"id: {number}\ndata: {EVENT_TEXT}\n\n" for number in (1, 2, 3, 4)]
        self.assertEqual(whole.body.decode(), "".join(events))

    def test_many_streams_of_emulated_engines_end_whole(self) -> None:
        async def test() -> None:
            await self.server()
            asked = [
                call(machine.front, chat(100 + number, number % 3, TENANTS[0]), WAIT_S)
                for number in range(6)
                for machine in self.proxies
            ]
            for answer in await asyncio.gather(*asked):
                self.assertEqual(answer.status, 200)
                self.assertGreater(answer.body.count(b"\n\n"), 1)

        self.play(test())


class EndTest(FleetTest):
    """Planned ends: in order, with exit code 0."""

    def test_a_proxy_answers_what_it_has_and_ends_with_0(self) -> None:
        async def test() -> None:
            server = await self.server(SteppedServer)
            assert isinstance(server, SteppedServer)
            server.steps = asyncio.Queue()
            machine = spare_machine(self.layout)
            process = self.processes.start(machine, PROXY)
            await watch.wait_until("a new proxy ready", lambda: watch.is_ready(machine), WAIT_S)
            await self.served_by(machine, server)
            first = asyncio.Event()
            request = chat(12, 1, TENANTS[0])
            stream = HttpCall(request.method, request.target, request.headers, b"", lambda data: first.set())
            answer = asyncio.create_task(call(machine.front, stream, WAIT_S))
            server.steps.put_nowait(False)
            await asyncio.wait_for(first.wait(), WAIT_S)
            process.terminate()

            async def not_ready() -> bool:
                return not await watch.is_ready(machine)

            await watch.wait_until("not ready", not_ready, WAIT_S)
            server.steps.put_nowait(True)
            whole = await asyncio.wait_for(answer, WAIT_S)
            self.assertEqual((whole.status, whole.body.count(b"\n\n")), (200, 2))
            self.assertEqual(await asyncio.to_thread(process.wait, WAIT_S), 0, process.log_tail())
            self.assertIn("event=ending", process.log_tail())

        self.play(test())

    def test_control_ends_with_0_and_the_others_go_on(self) -> None:
        async def test() -> None:
            for process in list(self.processes.of_role(CONTROL)):
                process.terminate()
                self.assertEqual(await asyncio.to_thread(process.wait, WAIT_S), 0, process.log_tail())
                version = self.operator.version + 1
                answer = await self.operator.patch(new_route_patch(version), WAIT_S)
                self.assertEqual(answer.status, 200, answer.body)
                await self.in_force(version)
                again = self.processes.start(process.machine, CONTROL)
                await self.reads_back(again.machine, version)

        self.play(test())


class SettingsTest(unittest.TestCase):
    """Settings that can't be used: exit code 2 and one line that names the key."""

    def test_one_line_names_the_key(self) -> None:
        layout = plan_fleet(1, 1)
        machine = layout.machines[0]
        with tempfile.TemporaryDirectory(prefix="fleet-test-") as folder:
            for role, right, wrong, key in (
                (PROXY, f'Ready = "{machine.ready}"', 'Ready = "nowhere"', "Listen.Ready"),
                (CONTROL, f'Ip = "{machine.ip}"', "Ip = 7", "Ip"),
                (PROXY, 'NodeName = "machine-1"\n', "", "NodeName"),
            ):
                with self.subTest(role=role, key=key):
                    text = settings_text(machine, role, layout, Path(folder))
                    self.assertIn(right, text)
                    path = Path(folder) / "local.toml"
                    path.write_text(text.replace(right, wrong), encoding="utf-8")
                    process = run_role(role, path, subprocess.PIPE)
                    out, err = process.communicate(timeout=WAIT_S)
                    self.assertEqual((process.returncode, out), (2, b""))
                    self.assertEqual(err.count(b"\n"), 1, err)
                    self.assertIn(f": {key} = ", err.decode())


if __name__ == "__main__":
    unittest.main()
