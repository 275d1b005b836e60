"""Imports point down only: read from the sources, be they at the top of a module or inside a function."""

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# the reverse proxy, the lowest first; on top of all are cli and daemon, which start and put together
FLOORS = ["runtime", "config", "core", "upstream", "membership", "group", "records", "fronts", "handover"]
TOPS = {"__main__", "cli", "daemon"}
# the router fleet, the lowest first; packages of one row do not import each other
FLEET_FLOORS = [
    {"settings"},
    {"storage"},
    {"cluster"},
    {"control_plane", "data_plane"},
    {"assembly"},
    {"commands"},
]
SHARED = {"runtime", "core", "upstream", "fronts"}  # of the reverse proxy, what the fleet may use too
FLEET = {package: row for row, packages in enumerate(FLEET_FLOORS) for package in packages}
FLEET_MAY_START = {"__main__", "cli"}  # the one binary: a subcommand a role
APART = {"testbed", "benchmarks"}  # may import anything, and nothing imports them
DEMO = ("brackenusher.cli", "testbed.sockets.demo.main")  # but this one command, when it is called
DECISIONS_NEVER = {"socket", "select", "selectors", "ssl", "asyncio", "threading", "time", "datetime"}
PROTOCOLS = {"socket", "select", "selectors", "ssl", "asyncio", "httptools", "h11", "h2", "grpc"}


def imports(text: str, package: str) -> Iterator[str]:
    """The dotted names that a module in a package imports, each as far as it may be a module."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = package.split(".")[: len(package.split(".")) - node.level + 1] if node.level else []
            name = ".".join([*base, *([node.module] if node.module else [])])
            yield from (f"{name}.{alias.name}" for alias in node.names)


def fleet_breach(own: str, other: str) -> str:
    """Why a package of the router fleet must not import another package; empty where it may."""
    if own == other or other in SHARED:
        return ""
    if other not in FLEET:
        return f"{own} and {other} belong to different programs"
    return "" if FLEET[other] < FLEET[own] else f"{own} does not stand above {other}"


def breach(module: str, name: str) -> str:
    """Why a module must not import a name; empty where it may."""
    top, *parts = name.split(".")
    own = module.split(".")
    if top in APART and own[0] not in APART and (module, name) != DEMO:
        return f"{top} is never imported"
    if own[0] == "barleybarrow":
        if top == "brackenusher" or top in DECISIONS_NEVER:
            return "decisions know neither the daemon nor sockets nor the time"
    if own[0] != "brackenusher" or len(own) < 2 or own[1] in FLEET_MAY_START:
        return ""
    if own[1] in FLEET and top == "brackenusher" and parts not in ([], ["__version__"]):
        return fleet_breach(own[1], parts[0])
    if own[1] in FLEET:
        return ""
    if top == "brackenusher" and parts and parts[0] in FLEET:
        return "the reverse proxy knows nothing of the fleet"
    if own[1] in TOPS:
        return ""
    if own[1] == "core" and top in PROTOCOLS:
        return "the core knows no protocol and no socket"
    if top != "brackenusher" or parts in ([], ["__version__"]):
        return ""
    if parts[0] not in FLOORS or FLOORS.index(parts[0]) > FLOORS.index(own[1]):
        return f"{own[1]} stands below {parts[0]}"
    if own[1] == parts[0] == "fronts" and own[2:3] != parts[1:2]:
        if (ROOT / "brackenusher" / "fronts" / parts[1]).is_dir():
            return "fronts share the modules that stand beside them, not each other's"
    return ""


def breaches(module: str, text: str, package: str) -> list[str]:
    found = ((name, breach(module, name)) for name in imports(text, package))
    return [f"{module} imports {name}: {why}" for name, why in found if why]


def test_no_module_imports_one_from_a_floor_above():
    seen, found = set(), []
    for folder in ("barleybarrow", "brackenusher", "testbed", "benchmarks"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            module = ".".join(parts).removesuffix(".__init__")
            seen.add(".".join(module.split(".")[:2]))
            found += breaches(module, path.read_text(encoding="utf-8"), ".".join(parts[:-1]))
    assert not found, "\n".join(found)
    packages = {*FLOORS, *FLEET}
    assert {f"brackenusher.{floor}" for floor in packages} <= seen  # a floor renamed is no longer looked at
    assert "barleybarrow.brain" in seen


def test_no_two_modules_import_each_other_on_whatever_way():
    # for type hints or inside a function too: a circle is one room with two doors
    paths = {
        ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
        for folder in ("barleybarrow", "brackenusher", "testbed")
        for path in (ROOT / folder).rglob("*.py")
    }
    graph = {}
    for module, path in paths.items():
        package = module if path.name == "__init__.py" else module.rpartition(".")[0]
        names = imports(path.read_text(encoding="utf-8"), package)
        found = {name if name in paths else name.rpartition(".")[0] for name in names}
        graph[module] = {name for name in found & paths.keys() if name != module and (module, name) != DEMO}
    done: set[str] = set()

    def walk(module: str, way: tuple[str, ...]) -> None:
        assert module not in way, " -> ".join((*way[way.index(module) :], module))
        if module not in done:
            for name in graph[module]:
                walk(name, (*way, module))
            done.add(module)

    for module in graph:
        walk(module, ())


def test_serving_imports_nothing_of_the_testbed():
    # guards against the demo's import at the top of the command line: the daemon would need the extra
    text = "import sys, brackenusher.cli; print(sorted({m.split('.')[0] for m in sys.modules}))"
    done = subprocess.run(
        [sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    assert "'brackenusher'" in done.stdout and "'testbed'" not in done.stdout


@pytest.mark.parametrize(
    ("module", "text"),
    [
        ("brackenusher.core.x", "from brackenusher.upstream.pool import Pool"),
        ("brackenusher.core.x", "from brackenusher import daemon"),
        ("brackenusher.core.x", "def f():\n    import socket"),
        ("brackenusher.runtime.x", "import brackenusher.core.deadlines"),
        ("brackenusher.records.x", "from ..fronts.http1 import clients"),
        ("brackenusher.fronts.rpc.x", "from brackenusher.fronts.http1.clients import Http1Listener"),
        ("brackenusher.fronts.x", "import testbed"),
        ("brackenusher.cli", "from testbed.sockets import demo"),
        ("barleybarrow.x", "from time import monotonic"),
        ("barleybarrow.x", "import brackenusher"),
        ("barleybarrow.routing.x", "import brackenusher.settings.local"),
        ("brackenusher.settings.x", "from brackenusher.storage import writer"),
        ("brackenusher.storage.x", "import brackenusher.cluster.links"),
        ("brackenusher.cluster.x", "from brackenusher.control_plane.api import Api"),
        ("brackenusher.control_plane.x", "from brackenusher.data_plane.headers import Header"),
        ("brackenusher.data_plane.x", "from brackenusher.control_plane import config_shard"),
        ("brackenusher.data_plane.x", "def f():\n    from brackenusher.assembly import proxy"),
        ("brackenusher.assembly.x", "import brackenusher.daemon"),
        ("brackenusher.assembly.x", "import brackenusher.commands.roles"),
        ("brackenusher.data_plane.x", "from brackenusher.membership import swim"),
        ("brackenusher.group.x", "from brackenusher.storage import writer"),
        ("brackenusher.daemon", "from brackenusher.assembly import proxy"),
    ],
)
def test_the_checker_notices(module, text):
    # guards against a checker that has gone blind: each of these is a breach
    assert len(breaches(module, text, module.rpartition(".")[0])) == 1


@pytest.mark.parametrize(
    ("module", "text"),
    [
        ("brackenusher.fronts.http1.x", "from brackenusher.fronts.http import RequestClassifier"),
        ("brackenusher.fronts.http1.x", "from . import virtual_server"),
        ("brackenusher.daemon", "from brackenusher.fronts.http1.clients import Http1Listener"),
        ("testbed.x", "import time\nfrom brackenusher.core import transaction"),
        ("brackenusher.cli", "from brackenusher.commands import roles"),
        ("brackenusher.assembly.x", "from brackenusher.data_plane.headers import Header"),
        ("brackenusher.data_plane.x", "from brackenusher.cluster.links import Links"),
        ("brackenusher.data_plane.x", "from brackenusher.runtime.log import log_event"),
        ("brackenusher.storage.x", "from barleybarrow.consensus import configuration_state"),
    ],
)
def test_the_checker_lets_pass(module, text):
    assert breaches(module, text, module.rpartition(".")[0]) == []
