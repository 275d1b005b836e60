"""The operations page documents exactly the existing metrics, commands, exit codes and settings."""

import dataclasses
import re
import unittest
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import typer.main

from brackenusher.cluster.link_metrics import add_link_metrics
from brackenusher.commands.application import app
from brackenusher.commands.errors import ExitCode
from brackenusher.control_plane.api import Api
from brackenusher.control_plane.control_metrics import add_control_metrics
from brackenusher.control_plane.http_server import HttpBounds
from brackenusher.data_plane.proxy_metrics import add_proxy_metrics
from brackenusher.runtime.metrics import Metrics
from brackenusher.runtime.process_metrics import add_process_metrics
from brackenusher.settings.local import LocalSettings
from brackenusher.settings.reading import settings_key

DOCS = Path(__file__).parents[2] / "docs"
PAGE = (DOCS / "operations-fleet.md").read_text(encoding="utf-8")
ALERTS = (DOCS / "alerts.md").read_text(encoding="utf-8")
# Settings for the placement of roles, documented with the deploy file.
UNDOCUMENTED_SETTINGS = {
    "MachineClass",
    "Serves",
    "Region",
    "HeartbeatMs",
    "Contracts",
    "Zones",
    "FaultTolerance",
}


def page_section(title: str) -> str:
    """Returns the text below a heading, up to the next heading of its level."""
    match = re.search(rf"^## {title}\n(.*?)(?=^## |\Z)", PAGE, re.MULTILINE | re.DOTALL)
    assert match is not None, title
    return match[1]


def code_in_first_column(text: str) -> list[str]:
    """Returns the code spans in the first column of the tables of a text, without labels and arguments."""
    rows = re.findall(r"^\| (.*?) \|", text, re.MULTILINE)
    return [re.split(r"[{\[ ]", span)[0] for row in rows for span in re.findall(r"`([^`]+)`", row)]


def metric_names() -> set[str]:
    """Returns the names of all metrics, registered on stubs whose values are never read."""
    metrics = Metrics(prefix="")
    stub = cast(Any, SimpleNamespace())
    Api(stub, stub, metrics=metrics)
    add_process_metrics(metrics)
    add_link_metrics(metrics, stub)
    add_control_metrics(metrics, stub, stub, stub, stub)
    names = set(metrics.names())
    proxy = Metrics(prefix="")
    lease = cast(Any, SimpleNamespace(remaining_s=float))
    announcer = cast(Any, SimpleNamespace(counts=dict))
    add_proxy_metrics(proxy, stub, stub, lambda: True, dict, lease, announcer)
    return names | set(proxy.names())


class OperationsPageTest(unittest.TestCase):
    """The page agrees with the code."""

    def test_metrics(self) -> None:
        self.assertEqual(set(code_in_first_column(page_section("Figures"))), metric_names())

    def test_alerts_use_existing_metrics(self) -> None:
        rows = re.findall(r"^\| ([^|]*?) \|", ALERTS, re.MULTILINE)
        spans = {re.split(r"[{\[ ]", span)[0] for row in rows for span in re.findall(r"`([^`]+)`", row)}
        named = {name for name in spans if "_" in name or name == "ready"}
        self.assertGreater(len(named), 8)
        self.assertLessEqual(named, metric_names())

    def test_commands(self) -> None:
        group = cast(Any, typer.main.get_command(app))
        names = set(group.commands) - {"config"}
        names |= {f"config {name}" for name in group.commands["config"].commands}
        rows = re.findall(r"^\| `((?:config )?[a-z-]+)", page_section("The command line"), re.MULTILINE)
        self.assertEqual(set(rows), names)

    def test_exit_codes(self) -> None:
        codes = re.findall(r"^\| (\d) \|", page_section("The command line"), re.MULTILINE)
        self.assertEqual([int(code) for code in codes], [int(code) for code in ExitCode])

    def test_settings(self) -> None:
        documented = {key.partition(".")[0] for key in code_in_first_column(page_section("Settings"))} - {
            "..."
        }
        keys = {settings_key(field.name) for field in dataclasses.fields(LocalSettings)}
        self.assertEqual(documented, keys - UNDOCUMENTED_SETTINGS)

    def test_http_server_bounds(self) -> None:
        bounds = HttpBounds()
        text = " ".join(page_section("The Control address").split())
        for expected in (
            f"heads {bounds.head_bytes // 1024} KiB",
            f"bodies {bounds.body_bytes // 1024 // 1024} MiB",
            f"{bounds.connections} connections",
            f"{bounds.head_timeout_s:.0f} s for a head",
            f"{bounds.idle_timeout_s:.0f} s of rest",
            f"{bounds.write_timeout_s:.0f} s for a caller",
        ):
            self.assertIn(expected, text)
