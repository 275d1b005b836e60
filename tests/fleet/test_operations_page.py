"""The operations page tells every figure, command, exit code and setting that there is, and no other."""

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
# Settings that concern the roles' placement, told on the pages of the deploy file.
NOT_ON_THE_PAGE = {"MachineClass", "Serves", "Region", "HeartbeatMs", "Contracts", "Zones", "FaultTolerance"}


def section(title: str) -> str:
    """The text below a heading, up to the next of its rank."""
    found = re.search(rf"^## {title}\n(.*?)(?=^## |\Z)", PAGE, re.MULTILINE | re.DOTALL)
    assert found is not None, title
    return found[1]


def first_cells(text: str) -> list[str]:
    """The code spans in the first column of the tables of a text, without labels and arguments."""
    rows = re.findall(r"^\| (.*?) \|", text, re.MULTILINE)
    return [re.split(r"[{\[ ]", span)[0] for row in rows for span in re.findall(r"`([^`]+)`", row)]


def figures() -> set[str]:
    """The names of all figures, by making them on objects that are never read."""
    metrics = Metrics(prefix="")
    nothing = cast(Any, SimpleNamespace())
    Api(nothing, nothing, metrics=metrics)
    add_process_metrics(metrics)
    add_link_metrics(metrics, nothing)
    add_control_metrics(metrics, nothing, nothing, nothing, nothing)
    names = set(metrics.names())
    proxy = Metrics(prefix="")
    lease = cast(Any, SimpleNamespace(left_s=float))
    announcer = cast(Any, SimpleNamespace(counts=dict))
    add_proxy_metrics(proxy, nothing, nothing, lambda: True, dict, lease, announcer)
    return names | set(proxy.names())


class OperationsPageTest(unittest.TestCase):
    """Page and code say the same."""

    def test_figures(self) -> None:
        self.assertEqual(set(first_cells(section("Figures"))), figures())

    def test_alerts_watch_figures_that_exist(self) -> None:
        rows = re.findall(r"^\| ([^|]*?) \|", ALERTS, re.MULTILINE)
        watched = {re.split(r"[{\[ ]", span)[0] for row in rows for span in re.findall(r"`([^`]+)`", row)}
        named = {name for name in watched if "_" in name or name == "ready"}
        self.assertGreater(len(named), 8)
        self.assertLessEqual(named, figures())

    def test_commands(self) -> None:
        group = cast(Any, typer.main.get_command(app))
        names = set(group.commands) - {"config"}
        names |= {f"config {name}" for name in group.commands["config"].commands}
        rows = re.findall(r"^\| `((?:config )?[a-z-]+)", section("The command line"), re.MULTILINE)
        self.assertEqual(set(rows), names)

    def test_exit_codes(self) -> None:
        codes = re.findall(r"^\| (\d) \|", section("The command line"), re.MULTILINE)
        self.assertEqual([int(code) for code in codes], [int(code) for code in ExitCode])

    def test_settings(self) -> None:
        told = {key.partition(".")[0] for key in first_cells(section("Settings"))} - {"..."}
        keys = {settings_key(field.name) for field in dataclasses.fields(LocalSettings)}
        self.assertEqual(told, keys - NOT_ON_THE_PAGE)

    def test_bounds_of_the_server(self) -> None:
        bounds = HttpBounds()
        text = " ".join(section("The Control address").split())
        for expected in (
            f"heads {bounds.head_bytes // 1024} KiB",
            f"bodies {bounds.body_bytes // 1024 // 1024} MiB",
            f"{bounds.connections} connections",
            f"{bounds.head_timeout_s:.0f} s for a head",
            f"{bounds.idle_timeout_s:.0f} s of rest",
            f"{bounds.write_timeout_s:.0f} s for a caller",
        ):
            self.assertIn(expected, text)
