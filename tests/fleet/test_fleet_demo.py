"""The fleet of the testbed: settings, servers, what it shows, and that it leaves no process behind."""

import argparse
import asyncio
import contextlib
import io
import os
import unittest
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from unittest import mock

from returns.result import Success
from rich.console import Console

from brackenusher.settings.reading import parse_settings
from testbed.engines.engine import EngineFigures
from testbed.fleet import commands, demo, display, processes, watch
from testbed.fleet.clients import Clients, chat, client_call
from testbed.fleet.http_calls import HttpAnswer, HttpCall, call
from testbed.fleet.layout import CONTROL, INTERNAL_PORTS, PROXY, plan_fleet, settings_text, spare_machine
from testbed.fleet.model_server import PLAIN_BODY, ModelServer

WAIT_S = 20.0


class LayoutTest(unittest.TestCase):
    """Machines, ports and settings files."""

    def test_ports_are_the_same_on_all_machines_and_addresses_differ(self) -> None:
        layout = plan_fleet(4, 3)
        self.assertEqual(len({machine.ip for machine in layout.machines}), 4)
        self.assertEqual(len({machine.ports for machine in layout.machines}), 1)
        ports = layout.machines[0].ports
        internal = range(ports.internal, ports.internal + INTERNAL_PORTS)
        self.assertEqual(len({ports.front, ports.ready, ports.control, *internal}), 3 + INTERNAL_PORTS)
        self.assertEqual(len(layout.roles()), 7)

    def test_each_settings_file_can_be_used(self) -> None:
        layout = plan_fleet(6, 5, {"GraceS": 1.5})
        for machine, role in layout.roles():
            match parse_settings(settings_text(machine, role, layout, Path("/disks"))):
                case Success(settings):
                    self.assertEqual(settings.ip, machine.ip)
                    self.assertEqual(settings.bounds.grace_s, 1.5)
                    self.assertEqual(settings.fault_tolerance.machines, 1)
                    self.assertEqual(len(settings.seed_nodes), 3)
                    self.assertEqual(bool(settings.data_dir), role == CONTROL and machine.number <= 3)
                    self.assertEqual(bool(settings.listen.control), role == CONTROL)
                    self.assertEqual(bool(settings.listen.front and settings.listen.ready), role == PROXY)
                case failure:
                    self.fail(str(failure))

    def test_one_control_process_can_not_be_lost(self) -> None:
        layout = plan_fleet(1, 1)
        match parse_settings(settings_text(layout.machines[0], CONTROL, layout, Path("/disks"))):
            case Success(settings):
                self.assertEqual(settings.fault_tolerance.machines, 0)
            case failure:
                self.fail(str(failure))

    def test_a_spare_machine_has_an_address_of_its_own(self) -> None:
        layout = plan_fleet(2, 3)
        self.assertNotIn(spare_machine(layout).ip, {machine.ip for machine in layout.machines})

    def test_sizes_that_can_not_be_had(self) -> None:
        for proxies, controls in ((0, 1), (1, 0), (201, 1)):
            with self.subTest(proxies=proxies, controls=controls), self.assertRaises(ValueError):
                plan_fleet(proxies, controls)


class ModelServerTest(unittest.TestCase):
    """The emulated server keeps the protocol."""

    def play(self, test: Coroutine[Any, Any, None]) -> None:
        asyncio.run(test)

    async def serve(self, figures: EngineFigures, *requests: HttpCall) -> list[HttpAnswer]:
        """The answers of one server to requests that come at once."""
        server = ModelServer("server-1", "engines", ["127.0.0.1:1"], figures)
        await server.start()
        try:
            return list(await asyncio.gather(*(call(server.address, asked, WAIT_S) for asked in requests)))
        finally:
            await server.stop()

    def test_a_request_is_served_with_its_id_and_a_stamp(self) -> None:
        async def test() -> None:
            plain, stream = await self.serve(
                EngineFigures(), client_call("/lookup/one", 5, ""), chat(6, 1, "tenant-a")
            )
            self.assertEqual((plain.status, plain.body), (200, PLAIN_BODY))
            self.assertEqual(plain.headers["x-brackenusher-request-id"], f"{5:016x}")
            self.assertTrue(plain.headers["x-brackenusher-response-stamp"].startswith("server-1."))
            ids = [line for line in stream.body.decode().splitlines() if line.startswith("id: ")]
            self.assertEqual(ids, [f"id: {number}" for number in range(1, len(ids) + 1)])
            self.assertGreater(len(ids), 1)

        self.play(test())

    def test_another_instance_is_misdirected_and_not_run(self) -> None:
        async def test() -> None:
            request = client_call("/lookup/one", 5, "", {"X-Brackenusher-Expect-Instance": "server-2"})
            (answer,) = await self.serve(EngineFigures(), request)
            self.assertEqual(answer.status, 421)
            self.assertIn("x-brackenusher-not-executed", answer.headers)
            self.assertNotIn("x-brackenusher-response-stamp", answer.headers)

        self.play(test())

    def test_a_full_server_says_that_it_has_not_run_the_request(self) -> None:
        async def test() -> None:
            full = EngineFigures(batch=1, queue=1)
            answers = await self.serve(full, *(chat(number, number, "tenant-a") for number in range(6)))
            rejected = [answer for answer in answers if answer.status == 503]
            self.assertTrue(rejected)
            self.assertEqual(sum(answer.status == 200 for answer in answers), 6 - len(rejected))
            for answer in rejected:
                self.assertIn("x-brackenusher-not-executed", answer.headers)

        self.play(test())

    def test_health_names_the_instance(self) -> None:
        async def test() -> None:
            (answer,) = await self.serve(EngineFigures(), HttpCall("GET", "/health"))
            self.assertEqual((answer.status, answer.headers["x-brackenusher-instance-id"]), (200, "server-1"))

        self.play(test())


class ClientsTest(unittest.TestCase):
    """Clients come back after a refusal, when the answer says, and not for ever."""

    def send(self, *statuses: int) -> Clients:
        """One request of a client whose tries are answered with these statuses."""
        machines = plan_fleet(1, 1).proxy_machines()
        clients = Clients(machines, 1, seed=1)
        answers = [HttpAnswer(status, {"retry-after": "0"}) for status in statuses]

        async def answered(*_: object) -> HttpAnswer:
            clients.end()
            return answers.pop(0)

        with mock.patch("testbed.fleet.clients.call", answered):
            asyncio.run(clients.run())
        self.assertEqual(answers, [])
        return clients

    def test_a_refused_request_comes_back(self) -> None:
        figures = self.send(503, 429, 200).figures
        self.assertEqual((figures.sent, figures.retried, dict(figures.statuses)), (1, 2, {200: 1}))

    def test_a_failure_without_a_promise_is_not_sent_again(self) -> None:
        for status in (401, 404, 502, 504):
            with self.subTest(status):
                figures = self.send(status).figures
                self.assertEqual((figures.retried, dict(figures.statuses)), (0, {status: 1}))

    def test_tries_are_bounded(self) -> None:
        figures = self.send(503, 503, 503, 503).figures
        self.assertEqual((figures.sent, figures.retried, dict(figures.statuses)), (1, 3, {503: 1}))


class WatchTest(unittest.TestCase):
    """Waiting is bounded, and says for what."""

    def test_a_condition_that_never_holds(self) -> None:
        async def never() -> bool:
            return False

        with self.assertRaisesRegex(TimeoutError, "the moon: not within 0 s"):
            asyncio.run(watch.wait_until("the moon", never, 0.0))

    def test_nobody_answers(self) -> None:
        machine = plan_fleet(1, 1).machines[0]
        self.assertFalse(asyncio.run(watch.is_ready(machine)))
        self.assertEqual(asyncio.run(watch.version_in_force(machine)), 0)
        self.assertIsNone(asyncio.run(watch.status(machine.control, "summary")))


class DisplayTest(unittest.TestCase):
    """The table."""

    def look(self) -> demo.DemoLook:
        server = {"id": "server-1", "state": "ready", "address": "127.0.0.1:9"}
        look = demo.DemoLook(2.0, "serving", 6, {"machine-1": 6, "machine-2": 4}, {"machine-1": 3}, [server])
        look.clients.sent = 9
        look.clients.first_event_ms.extend([10.0, 20.0, 90.0])
        look.clients.statuses.update({200: 7, 503: 2})
        return look

    def test_a_line_tells_the_figures(self) -> None:
        text = display.summary(self.look())
        for part in (
            "requests 9",
            "not served 2",
            "first event 20 ms, p99 90 ms",
            "in force [4, 6]",
            "servers 1",
        ):
            self.assertIn(part, text)

    def test_tables_name_machines_and_servers(self) -> None:
        out = io.StringIO()
        Console(file=out, width=120).print(display.page(self.look()))
        for part in ("machine-1", "machine-2", "server-1", "127.0.0.1:9", "serving"):
            self.assertIn(part, out.getvalue())


class CommandTest(unittest.TestCase):
    """Exit codes, the summary line, and nothing left over."""

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Exit code and what was printed; fails where a process is left."""
        started: list[Any] = []
        real = processes.run_role

        def run_role(*args: Any) -> Any:
            started.append(real(*args))
            return started[-1]

        top = argparse.ArgumentParser()
        commands.register(top.add_subparsers())
        args = top.parse_args(["fleet", *arguments])
        out = io.StringIO()
        with mock.patch.object(processes, "run_role", run_role):
            with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
                code = args.command(args)
        self.started = len(started)
        for popen in started:
            self.assertIsNotNone(popen.returncode)
            with self.assertRaises(ProcessLookupError):
                os.kill(popen.pid, 0)
        return code, out.getvalue()

    def test_a_small_fleet_serves_and_ends(self) -> None:
        code, out = self.run_command("--seconds", "1", "--proxies", "1", "--controls", "1")
        self.assertEqual(code, 0, out)
        self.assertEqual(self.started, 2)
        self.assertRegex(out.splitlines()[-1], r"^fleet ok: [1-9]\d* of \d+ served, .* 1 changes in force")

    def test_a_fleet_that_does_not_come_up_fails_and_ends(self) -> None:
        with mock.patch.object(demo, "START_S", 0.0):
            code, out = self.run_command("--seconds", "1", "--proxies", "1", "--controls", "1")
        self.assertEqual(code, 1, out)
        self.assertEqual(self.started, 2)
        self.assertTrue(out.splitlines()[-1].startswith("fleet FAILED: "), out)

    def test_arguments_out_of_bounds(self) -> None:
        for arguments in (("--seconds", "0"), ("--seconds", "301"), ("--proxies", "21"), ("--controls", "0")):
            with self.subTest(arguments):
                code, out = self.run_command(*arguments)
                self.assertEqual((code, self.started), (2, 0))
                self.assertIn(arguments[0], out)


if __name__ == "__main__":
    unittest.main()
