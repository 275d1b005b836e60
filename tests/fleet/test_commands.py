"""The fleet's command line: requests, output and exit codes of each command, and imports at startup."""

import contextlib
import io
import json
import subprocess
import sys
import tempfile
import threading
import unittest
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from unittest import mock

from brackenusher import __main__ as program
from brackenusher.commands.client import ControlClient, ControlResponse
from brackenusher.commands.difference import differences
from brackenusher.commands.errors import CommandError, ExitCode
from brackenusher.commands.printing import MAX_CELL_CHARS, as_text
from tests.fleet.document_examples import example
from tests.fleet.test_settings import SETTINGS

StubReply = tuple[int, object]
ROOT = Path(__file__).parents[2]


class FakeControl:
    """A stub of a control process with scripted replies, on a loopback port."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, str, str | None, bytes]] = []
        self.replies: dict[str, list[StubReply]] = {}  # by path; the last one repeats
        outer = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                base = self.headers.get("X-Brackenusher-Base-Version")
                outer.requests.append((self.command, self.path, base, body))
                replies = outer.replies.get(self.path, [(404, {"Error": "no such call"})])
                status, document = replies.pop(0) if len(replies) > 1 else replies[0]
                data = document if isinstance(document, bytes) else json.dumps(document).encode()
                self.send_response(status)
                if status == 307:
                    self.send_header("Location", str(document))
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = answer  # noqa: N815, the library's names

            def log_message(self, format: str, *args: Any) -> None:  # noqa: A002, the library's name
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,), daemon=True)
        self.thread.start()

    def stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


class CommandTest(unittest.TestCase):
    """Fixture: a stub control process, a temporary folder, and a way to run a command."""

    def setUp(self) -> None:
        self.control = FakeControl()
        self.addCleanup(self.control.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        environment = {"BRACKENUSHER_CONTROL": self.control.address, "BRACKENUSHER_CONFIG": "/nowhere"}
        patched = mock.patch.dict("os.environ", environment)
        patched.start()
        self.addCleanup(patched.stop)

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Runs a command; returns exit code, standard output and standard error."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = program.main(arguments)
        return code, out.getvalue(), err.getvalue()

    def write_document(self, document: object) -> str:
        path = self.folder / "document.json"
        path.write_bytes(document if isinstance(document, bytes) else json.dumps(document).encode())
        return str(path)

    def assert_fails(self, expected: ExitCode, text: str, *arguments: str) -> None:
        """Checks that a command exits with this code and one line of standard error with the text."""
        code, out, err = self.run_command(*arguments)
        self.assertEqual((code, out), (expected, ""), err)
        self.assertTrue(err.startswith("brackenusher: "), err)
        self.assertEqual(err.count("\n"), 1, err)
        self.assertIn(text, err)


class QueryTest(CommandTest):
    """Commands that show the state of the fleet."""

    def test_each_command_requests_its_topic(self) -> None:
        topics = {
            ("status",): "summary",
            ("members",): "members",
            ("servers",): "servers",
            ("config", "history"): "history",
            ("explain", "a/b c"): "explain/a%2Fb%20c",
        }
        for command, topic in topics.items():
            with self.subTest(command):
                self.control.replies[f"/-/status/{topic}"] = [(200, {"version": 7, "leader": None})]
                code, out, _ = self.run_command(*command)
                self.assertEqual((code, out), (0, "version: 7\nleader: -\n"))
                code, out, _ = self.run_command(*command, "--json")
                self.assertEqual((code, json.loads(out)), (0, {"version": 7, "leader": None}))

    def test_history_shows_dates_and_times(self) -> None:
        versions = [{"version": 7, "digest": "ab", "at_ms": 1_000_000_000_125}]
        self.control.replies["/-/status/history"] = [(200, versions)]
        _, out, _ = self.run_command("config", "history")
        self.assertEqual(out.splitlines()[1].split(), ["2001-09-09", "01:46:40.125+00:00", "7", "ab"])
        _, out, _ = self.run_command("config", "history", "--json")
        self.assertEqual(json.loads(out), versions)

    def test_unknown_request_id(self) -> None:
        self.assert_fails(ExitCode.REFUSED, "no such call", "explain", "r-1")

    def test_response_that_is_not_json(self) -> None:
        self.control.replies["/-/status/summary"] = [(200, b"<html>")]
        self.assert_fails(ExitCode.UNREACHABLE, "is this the Control address", "status")

    def test_order_of_address_sources(self) -> None:
        self.control.replies["/-/status/summary"] = [(200, {"version": 7})]
        with mock.patch.dict("os.environ", {"BRACKENUSHER_CONTROL": "127.0.0.1:1"}):
            self.assertEqual(self.run_command("status", "--control", self.control.address)[0], 0)
        settings = self.folder / "local.toml"
        settings.write_text(SETTINGS.replace("10.1.0.14:8665", self.control.address), encoding="utf-8")
        environment = {"BRACKENUSHER_CONTROL": "", "BRACKENUSHER_CONFIG": str(settings)}
        with mock.patch.dict("os.environ", environment):
            self.assertEqual(self.run_command("status")[0], 0)
            settings.write_text(SETTINGS.replace('"10.1.0.14:8665",', f'"{self.control.address}",'), "utf-8")
            first_calls: list[list[str]] = []
            with mock.patch("brackenusher.commands.application.ControlClient", first_calls.append):
                with self.assertRaises(AttributeError):
                    self.run_command("status")
            own_first = ["10.1.0.14:8665", self.control.address, "10.2.0.32:8665"]
            self.assertEqual(first_calls, [own_first])
        with mock.patch.dict("os.environ", {"BRACKENUSHER_CONTROL": ""}):
            self.assert_fails(ExitCode.USAGE, "--control IP:PORT", "status")


class ConfigurationTest(CommandTest):
    """Commands that read and change the configuration."""

    def setUp(self) -> None:
        super().setUp()
        self.control.replies["/-/Config.Get"] = [(200, example())]

    def test_get(self) -> None:
        code, out, _ = self.run_command("config", "get")
        self.assertEqual((code, json.loads(out)), (0, example()))

    def test_response_that_is_not_a_configuration(self) -> None:
        self.control.replies["/-/Config.Get"] = [(404, {"Error": "no such call"})]
        self.assert_fails(ExitCode.REFUSED, "no such call", "config", "get")
        self.control.replies["/-/Config.Get"] = [(200, [1])]
        self.assert_fails(ExitCode.REFUSED, "[1]", "config", "get")

    def test_put_and_patch_build_on_the_current_version(self) -> None:
        for verb, call in (("put", "/-/Config.Replace"), ("patch", "/-/Config.Patch")):
            with self.subTest(verb):
                self.control.replies[call] = [(200, {})]
                path = self.write_document({"Generation": 9})
                code, out, _ = self.run_command("config", verb, path)
                self.assertEqual((code, out), (0, "taken: 9\nbase: 7\n"))
                self.assertEqual(self.control.requests[-1], ("POST", call, "7", b'{"Generation": 9}'))

    def test_base_option_overrides_the_current_version(self) -> None:
        self.control.replies["/-/Config.Replace"] = [(200, {})]
        self.assertEqual(
            self.run_command("config", "put", "--base", "0", self.write_document(example()))[0], 0
        )
        self.assertEqual([seen[2] for seen in self.control.requests], ["0"])

    def test_exit_codes_of_rejected_orders(self) -> None:
        path = self.write_document({"Generation": 9})
        cases = ((400, ExitCode.REFUSED), (413, ExitCode.REFUSED), (412, ExitCode.CONFLICT))
        for status, code in cases:
            with self.subTest(status):
                self.control.replies["/-/Config.Replace"] = [(status, {"Error": "route r-1: wrong: mend it"})]
                self.assert_fails(code, "route r-1: wrong: mend it", "config", "put", path)

    def test_unreadable_or_invalid_files(self) -> None:
        self.assert_fails(ExitCode.USAGE, "name a readable file", "config", "put", str(self.folder / "none"))
        self.assert_fails(ExitCode.USAGE, "is not JSON", "config", "put", self.write_document(b"{"))
        self.assert_fails(ExitCode.USAGE, "is not JSON", "config", "diff", self.write_document(b"\xff"))
        self.assert_fails(ExitCode.USAGE, "is not a JSON object", "config", "patch", self.write_document([]))
        self.assertEqual(self.control.requests, [])

    def test_diff(self) -> None:
        code, out, _ = self.run_command("config", "diff", self.write_document(example()))
        self.assertEqual((code, out), (0, "no differences\n"))
        changed = example()
        changed["Routes"][0]["TimeoutMs"] = 1
        code, out, _ = self.run_command("config", "diff", self.write_document(changed))
        self.assertEqual((code, out), (ExitCode.REFUSED, "~ Routes r-one (TimeoutMs: 15000 -> 1)\n"))
        code, out, _ = self.run_command("config", "diff", "--json", self.write_document(changed))
        expected = [{"sign": "~", "item": "Routes r-one", "fields": ["TimeoutMs: 15000 -> 1"]}]
        self.assertEqual((code, json.loads(out)), (ExitCode.REFUSED, expected))


class ClientTest(unittest.TestCase):
    """Order of addresses, retries and limits of the client."""

    def make_client(
        self, responses: dict[str, list[ControlResponse | Exception]]
    ) -> tuple[ControlClient, list[str], list[float]]:
        calls: list[str] = []
        delays: list[float] = []

        def send_request(address: str, method: str, path: str, *rest: object) -> tuple[ControlResponse, str]:
            calls.append(address + path)
            scripted = responses[address]
            response = scripted.pop(0) if len(scripted) > 1 else scripted[0]
            if isinstance(response, Exception):
                raise response
            return response, response.body.decode() if response.status == 307 else ""

        patched = mock.patch("brackenusher.commands.client._send_request", send_request)
        patched.start()
        self.addCleanup(patched.stop)
        return ControlClient(list(responses), delays.append), calls, delays

    def test_5xx_408_and_429_are_inconclusive(self) -> None:
        for status in (500, 502, 503, 504, 599, 408, 429):
            client, calls, _ = self.make_client(
                {"a": [ControlResponse(status, b"{}")], "b": [ControlResponse(200, b"3")]}
            )
            self.assertEqual((client.get("/x").status, len(calls)), (200, 2), status)

    def test_failover_to_the_next_address(self) -> None:
        inconclusive: list[ControlResponse | Exception] = [
            OSError("refused"),
            ControlResponse(503, b"{}"),
            ControlResponse(429, b""),
        ]
        client, calls, delays = self.make_client(
            {"a": inconclusive, "b": [TimeoutError()], "c": [ControlResponse(200, b"3")]}
        )
        self.assertEqual(client.get("/x").document(), 3)
        self.assertEqual((calls, delays), (["a/x", "b/x", "c/x"], []))

    def test_rounds_with_exponential_backoff_are_limited(self) -> None:
        client, calls, delays = self.make_client(
            {"a": [OSError("refused")], "b": [ControlResponse(503, b'{"Error":"later"}')]}
        )
        with self.assertRaises(CommandError) as raised:
            client.submit_order("Config.Replace", 1, b"{}")
        self.assertEqual(raised.exception.exit_code, ExitCode.UNREACHABLE)
        self.assertIn("b: later", str(raised.exception))
        self.assertEqual((len(calls), delays), (8, [0.2, 0.4, 0.8]))

    def test_conclusive_responses_are_not_retried(self) -> None:
        for status in (200, 400, 404, 412):
            client, calls, _ = self.make_client({"a": [ControlResponse(status, b"{}")], "b": [OSError()]})
            self.assertEqual(client.get("/x").status, status)
            self.assertEqual(len(calls), 1)

    def test_two_redirects_are_followed(self) -> None:
        client, calls, _ = self.make_client(
            {
                "a": [ControlResponse(307, b"http://b/y"), ControlResponse(307, b"http://b/y")],
                "b": [ControlResponse(307, b"http://c/z")],
                "c": [ControlResponse(200, b"1")],
            }
        )
        self.assertEqual(client.get("/x").document(), 1)
        self.assertEqual(calls, ["a/x", "b/y", "c/z"])


class DifferenceTest(unittest.TestCase):
    """Comparison of two documents."""

    def changes_after(self, modify: Callable[[dict[str, Any]], object]) -> list[str]:
        document = example()
        modify(document)
        return [str(difference) for difference in differences(example(), document)]

    def test_equal_documents(self) -> None:
        self.assertEqual(self.changes_after(lambda d: None), [])

    def test_items_added_removed_and_changed(self) -> None:
        self.assertEqual(self.changes_after(lambda d: d["Routes"].pop(0)), ["- Routes r-one"])
        self.assertEqual(self.changes_after(lambda d: d["Services"].append({"Name": "s"})), ["+ Services s"])
        self.assertEqual(
            self.changes_after(lambda d: d["Routes"][1].pop("Kind")),
            ["~ Routes r-two (Kind: 'safe' -> absent)"],
        )

    def test_order_of_items_does_not_matter(self) -> None:
        self.assertEqual(self.changes_after(lambda d: d["Routes"].reverse()), [])

    def test_version_and_limits(self) -> None:
        self.assertEqual(self.changes_after(lambda d: d.update(Generation=9)), ["~ Generation (7 -> 9)"])
        self.assertEqual(len(self.changes_after(lambda d: d.pop("Limits"))), 1)

    def test_api_keys_are_counted_and_not_shown(self) -> None:
        shown = self.changes_after(lambda d: d["Tenants"][0].update(ApiKeys=["secret"]))
        self.assertEqual(shown, ["~ Tenants t-one (ApiKeys: 2 keys -> 1 keys)"])


class PrintingTest(unittest.TestCase):
    """Text output."""

    def test_lists_of_objects_are_tables(self) -> None:
        rows = [{"id": "i-1", "ready": True}, {"id": "i-22", "slots": [1, 2]}]
        self.assertEqual(as_text(rows), "id    ready  slots\ni-1   yes\ni-22         1,2")

    def test_plain_values(self) -> None:
        self.assertEqual(as_text(["a", 1, None]), "a\n1\n-")
        self.assertEqual(
            (as_text([]), as_text("a"), as_text(True), as_text(False)), ("none", "a", "yes", "no")
        )
        self.assertEqual(as_text([{"a": 1}, 2]), "a=1\n2")
        self.assertEqual(as_text([{"a": {"b": 1, "c": None}}]), "a\nb=1 c=-")

    def test_long_cells_are_truncated_and_non_ascii_is_shown(self) -> None:
        self.assertEqual(as_text("x" * MAX_CELL_CHARS), "x" * MAX_CELL_CHARS)
        self.assertEqual(as_text("x" * (MAX_CELL_CHARS + 1)), "x" * (MAX_CELL_CHARS - 3) + "...")
        self.assertEqual(as_text("törn"), "törn")

    def test_nested_objects_are_indented(self) -> None:
        document = {
            "version": 7,
            "voters": ["a", "b"],
            "shard": {"leader": "a", "rows": [{"x": 1}]},
            "none": [],
        }
        expected = "version: 7\nvoters: a,b\nshard:\n  leader: a\n  rows:\n    x\n    1\nnone: -"
        self.assertEqual(as_text(document), expected)

    def test_control_characters_are_escaped(self) -> None:
        self.assertEqual(as_text({"a": "x\ny\x1b[2J"}), "a: x\\ny\\x1b[2J")


class ProgramTest(CommandTest):
    """Dispatch by the first argument, without slow imports."""

    def test_check_settings(self) -> None:
        path = self.folder / "local.toml"
        path.write_text(SETTINGS, encoding="utf-8")
        code, out, _ = self.run_command("check-settings", str(path), "--json")
        self.assertEqual((code, json.loads(out)["node"]), (0, "front-a-1"))
        path.write_text(SETTINGS.replace("Ip", "Pi"), encoding="utf-8")
        self.assert_fails(ExitCode.USAGE, "Ip = (missing): add this key", "check-settings", str(path))

    def test_invalid_command_lines(self) -> None:
        self.assert_fails(ExitCode.USAGE, "Missing argument", "config", "diff")
        self.assert_fails(ExitCode.USAGE, "--nope", "status", "--nope")
        self.assert_fails(ExitCode.USAGE, "lost", "config", "lost")
        self.assert_fails(ExitCode.USAGE, "--base", "config", "put", "--base", "-1", "file")

    def test_other_commands_go_to_the_older_command_line(self) -> None:
        for arguments in (["version"], ["members", "show", "x"], ["serve"], [], ["-h"], ["members", "-h"]):
            with mock.patch("brackenusher.cli.main", return_value=7) as older_main:
                self.assertEqual(program.main(arguments), 7)
                older_main.assert_called_once_with(arguments)

    def test_roles_are_run(self) -> None:
        with mock.patch("brackenusher.commands.roles.run_role", return_value=5) as run_role:
            self.assertEqual([program.main(["proxy"]), program.main(["control"])], [5, 5])
        self.assertEqual([call.args for call in run_role.call_args_list], [("proxy",), ("control",)])

    def test_roles_import_nothing_slow(self) -> None:
        for role in ("proxy", "control"):
            code = (
                f"import sys, brackenusher.assembly.{role};"
                "heavy = {'typer', 'serde', 'pydantic', 'rich', 'numpy', 'prometheus_client', 'absl'};"
                "print(sorted(heavy & set(sys.modules)))"
            )
            completed = subprocess.run(
                [sys.executable, "-c", code], capture_output=True, text=True, check=True
            )
            self.assertEqual(completed.stdout.strip(), "[]", role)

    def test_roles_exit_with_2_on_invalid_settings(self) -> None:
        path = self.folder / "local.toml"
        path.write_text(SETTINGS.replace("Zone = ", "Place = "), encoding="utf-8")
        environment = {"BRACKENUSHER_CONFIG": str(path), "PYTHONPATH": ":".join(sys.path)}
        for role in ("proxy", "control"):
            command = [sys.executable, "-m", "brackenusher", role]
            completed = subprocess.run(command, capture_output=True, text=True, env=environment, cwd=ROOT)
            self.assertEqual((completed.returncode, completed.stdout), (ExitCode.USAGE, ""), completed.stderr)
            self.assertEqual(completed.stderr, f"brackenusher: {path}: Zone = (missing): add this key\n")

    def test_dispatch_imports_nothing_slow(self) -> None:
        code = (
            "import sys, brackenusher.__main__, brackenusher.commands.roles;"
            "heavy = {'typer', 'serde', 'betterproto', 'asyncio', 'h11', 'brackenusher.cli', 'argparse'};"
            "print(sorted(heavy & set(sys.modules)))"
        )
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(completed.stdout.strip(), "[]")
