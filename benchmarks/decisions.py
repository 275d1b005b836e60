"""What a decision costs by the size of the fleet: the module alone, as it was and as it is, in one run.

The module is fed a day at half load on a clock of its own; only the time inside `handle` counts. The module
of a git revision stands beside the present one under another package name, and the two take turns, round by
round, on one core. Exit code 1 where the aims are missed: 5,000 servers within three times of 10, and 10
servers not slower than before by more than a tenth.
"""

import argparse
import ast
import gc
import importlib
import importlib.abc
import importlib.machinery
import os
import random
import subprocess
import sys
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from pathlib import Path
from statistics import median, quantiles
from time import perf_counter, perf_counter_ns
from types import ModuleType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from barleybarrow import interface as face  # noqa: E402
from barleybarrow.interface import Effect, Entry, ListScope, Outcome, State  # noqa: E402

BASE = "b4a2d9b"  # the last revision whose module looked at every server for each request
PACKAGE = "barleybarrow_before"
LARGE_FACTOR = 3.0  # the aim: so many times the cost at 10 servers may be reached at 5,000
SMALL_FACTOR = 1.1  # and so many times the cost before at 10
SMALL, LARGE = 10, 5_000  # servers
START = 2  # the threshold that the module gives a server at first; half of it is half load
COSTS = (20.0, 34.0)  # milliseconds that the classes take on a server of usual speed
SPREAD = 0.25  # of the log of latencies
SPEEDS = (1.0, 0.5)  # of the two kinds of servers
FILLING = 20.0  # milliseconds in which the first requests come in: most of them end later, and spread out
CLOCK = 1_000_000.0  # milliseconds at the start: every server's life began long before
HELD = 10_000  # requests held when one server comes free
SLICE = 0.08  # seconds that one round of one module at one size is to take
FEWEST, MOST = 20, 1_500  # requests in a round
CHANGES = 4  # list changes in a round


class BaseFinder(importlib.abc.MetaPathFinder, importlib.abc.Loader):
    """Imports the decision package of a git revision under another name; the interface is shared."""

    def __init__(self, revision: str) -> None:
        self.revision = revision

    def source(self, path: str) -> str | None:
        shown = subprocess.run(
            ["git", "show", f"{self.revision}:{path}"], cwd=ROOT, capture_output=True, check=False
        )
        return shown.stdout.decode() if shown.returncode == 0 else None

    def find_spec(
        self, fullname: str, path: Any = None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        if fullname != PACKAGE and not fullname.startswith(PACKAGE + "."):
            return None
        return importlib.machinery.ModuleSpec(fullname, self, is_package=fullname == PACKAGE)

    def exec_module(self, module: ModuleType) -> None:
        if module.__name__ == PACKAGE:
            return
        path = module.__name__.replace(PACKAGE, "barleybarrow", 1).replace(".", "/") + ".py"
        source = self.source(path)
        if source is None:
            raise ImportError(f"revision {self.revision} has no {path}")
        tree = ast.parse(source)
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module and not node.level:
                head, dot, rest = node.module.partition(".")
                if head == "barleybarrow":
                    node.module = PACKAGE + dot + rest
        exec(compile(tree, f"{self.revision}:{path}", "exec"), module.__dict__)


def load_base(revision: str) -> ModuleType:
    """The module `brain` of a revision, with whatever it imports of its own package."""
    sys.meta_path.insert(0, BaseFinder(revision))
    package = importlib.import_module(PACKAGE)
    package.__dict__["interface"] = sys.modules[f"{PACKAGE}.interface"] = face
    return importlib.import_module(f"{PACKAGE}.brain")


def settings(aim_factor: float = 1.0, max_attempts: int = 4) -> face.Settings:
    """Settings like those of the service: one class to read, one to submit."""
    read = face.RequestClass(580.0 * aim_factor, 1400.0 * aim_factor, worth=2.0, effect=Effect.SAFE)
    submit = face.RequestClass(
        750.0 * aim_factor, 1900.0 * aim_factor, worth=8.0, effect=Effect.KEYED, window=6000.0
    )
    return face.Settings(
        classes=[read, submit],
        tick=5.0,
        max_attempts=max_attempts,
        parallel=True,
        cancelling=True,
        max_retry_after=600.0,
        drain_grace=500.0,
        cold_from=0.32,
        cold=8800.0,
        tip_multiple=3.0,
        tip_after=1000.0,
        worst_class_weight=0.2,
        whole_weight=0.8,
    )


class World:
    """A fleet that serves what the module sends it, on a clock of its own."""

    def __init__(self, brain: ModuleType, servers: int, seed: int, conf: face.Settings) -> None:
        self.now, self.random, self.conf, self.count = CLOCK, random.Random(seed), conf, servers
        self.arrivals, self.ended, self.order, self.lives = 0, 0, 0, 0
        self.agenda: list[tuple[float, int, face.Event]] = []
        self.attempts: dict[int, int] = {}
        self.classes: dict[int, int] = {}
        self.out: dict[int, str] = {}
        self.turned_away = 0
        self.speeds = {f"s{n}": SPEEDS[n % len(SPEEDS)] for n in range(servers)}
        self.brain = brain.Balancer(conf, seed, self.now)
        self.brain.begin()
        entries = [Entry(f"s{n}", State.LIVE, kind=n % len(SPEEDS)) for n in range(servers)]
        self.give(face.ListChanged(ListScope.COMPLETE, entries))

    def give(self, event: face.Event) -> int:
        """Hand an event to the module and carry out what it asks for; the nanoseconds that it took."""
        begun = perf_counter_ns()
        actions = self.brain.handle(self.now, event)
        took = perf_counter_ns() - begun
        for action in actions:
            if isinstance(action, face.Send):
                self.sent(action)
            elif isinstance(action, face.SetTimer):
                self.later(max(action.at, self.now), face.TimerDue(action.token))
            elif isinstance(action, face.Refuse | face.Fail):
                self.turned_away += 1
        return took

    def later(self, at: float, event: face.Event) -> None:
        self.order += 1
        heappush(self.agenda, (at, self.order, event))

    def sent(self, action: face.Send) -> None:
        number = self.attempts.get(action.request, 0)
        self.attempts[action.request] = number + 1
        self.out[action.request] = action.backend
        cost = COSTS[self.classes[action.request]] / self.speeds[action.backend]
        took = cost * self.random.lognormvariate(0.0, SPREAD)
        self.later(self.now + took, face.Finished(action.request, number, Outcome.SERVED, took, True))

    def arrive(self) -> int:
        self.arrivals += 1
        klass = self.arrivals % len(COSTS)
        self.classes[self.arrivals] = klass
        return self.give(face.Arrived(self.arrivals, klass, self.now + self.conf.classes[klass].deadline))

    def advance(self) -> int:
        """Let happen what falls due next; the nanoseconds that the module took."""
        at, _, event = heappop(self.agenda)
        self.now = max(self.now, at)
        if isinstance(event, face.Finished):
            self.forget(event.request)
        return self.give(event)

    def forget(self, request: int) -> None:
        self.ended += 1
        for known in (self.out, self.attempts, self.classes):
            known.pop(request, None)

    def finish(self, request: int, outcome: Outcome) -> int:
        """An attempt ends at once, and not as it was to; the nanoseconds that the module took."""
        self.agenda = [
            entry
            for entry in self.agenda
            if not (isinstance(entry[2], face.Finished) and entry[2].request == request)
        ]
        heapify(self.agenda)
        self.forget(request)
        return self.give(face.Finished(request, 0, outcome, 1.0, outcome is Outcome.SERVED))

    def serve(self, requests: int) -> float:
        """One request comes in for each that ends, so many times; microseconds of the module for each."""
        took = 0
        for _ in range(requests):
            ended = self.ended
            while self.ended == ended:
                took += self.advance()
            took += self.arrive()
        return took / requests / 1000.0

    def fill(self, out: int, seconds: float) -> None:
        """Bring so many requests out, as long as the time suffices, and let some more pass."""
        end, gap, passed = perf_counter() + seconds, FILLING / out, 0
        for _ in range(out):
            arrives = self.now + gap
            if perf_counter() > end:
                return
            while self.agenda and self.agenda[0][0] <= arrives:
                self.advance()
            self.now = arrives
            self.arrive()
        for _ in range(out - len(self.out)):
            self.arrive()
        while perf_counter() < end and passed < 3 * out + 2_000:
            self.serve(10)
            passed += 10

    def change(self) -> float:
        """A server is replaced at its address, by one that is warm already; microseconds of the module."""
        self.lives += 1
        number = self.random.randrange(self.count)
        entry = Entry(f"s{number}", State.LIVE, started=float(self.lives), kind=number % len(SPEEDS))
        return self.give(face.ListChanged(ListScope.CHANGES, [entry])) / 1000.0


@dataclass
class Row:
    """One module at one size of the fleet, with what its rounds gave."""

    size: int
    side: str
    world: World
    load: float
    requests: int
    each: list[float] = field(default_factory=list)
    changes: list[float] = field(default_factory=list)

    def round(self) -> None:
        gc.collect()
        gc.disable()
        try:
            self.each.append(self.world.serve(self.requests))
            self.changes += [self.world.change() for _ in range(CHANGES)]
        finally:
            gc.enable()


def prepare(size: int, side: str, brain: ModuleType, seconds: float) -> Row:
    """Bring a fleet to half load, and find out how many requests make a round."""
    world = World(brain, size, 1, settings())
    world.fill(size * START // 2, seconds)
    cost = world.serve(4 * FEWEST if size <= SMALL else FEWEST)
    requests = min(MOST, max(FEWEST, int(SLICE * 1e6 / cost)))
    return Row(size, side, world, len(world.out) / (size * START), requests)


def spread(values: list[float]) -> str:
    """The middle half of some values."""
    low, _, high = quantiles(values, n=4)
    return f"{low:.1f}..{high:.1f}"


def costs(modules: dict[str, ModuleType], sizes: list[int], rounds: int, seconds: float) -> list[Row]:
    """What a request and a list change cost, by size of the fleet."""
    rows = [prepare(size, side, modules[side], seconds) for size in sizes for side in modules]
    for _ in range(rounds):
        for row in rows:
            row.round()
    print(f"\nus of the module, half load, {rounds} rounds taken in turn")
    print("servers  module  load  requests  a request   middle half      a list change   middle half")
    for row in rows:
        print(
            f"{row.size:7,}  {row.side:6}  {row.load:4.2f}  {row.requests:8,}  {median(row.each):9.1f}   "
            f"{spread(row.each):15}  {median(row.changes):13.1f}   {spread(row.changes)}"
        )
    return rows


def backed_off(modules: dict[str, ModuleType], size: int, rounds: int) -> None:
    """What a request costs where all servers but a few are left alone after failures.

    The aims are long here, and with them the back-offs: none ends while it is measured.
    """
    good = {f"s{n}" for n in range(SMALL)}
    worlds: dict[str, World] = {}
    each: dict[str, list[float]] = {side: [] for side in modules}
    strays = dict.fromkeys(modules, 0)
    print(f"\n{size - SMALL:,} of {size:,} servers in back-off, the other {SMALL} half busy: us a request")
    for side, brain in modules.items():
        world = worlds[side] = World(brain, size, 2, settings(aim_factor=10_000.0, max_attempts=1))
        failed: set[str] = set()
        while len(failed) < size - SMALL and world.arrivals < 3 * size:
            world.arrive()
            server = world.out.get(world.arrivals)
            if server is not None and server not in good:
                failed.add(server)
                world.finish(world.arrivals, Outcome.FULL)
        if len(failed) < size - SMALL:
            print(f"{side}: only {len(failed):,} could be brought there")
        while len(world.out) > SMALL:  # the others were sent some on the way
            world.advance()
        world.serve(200)
    for _ in range(rounds):
        for side, world in worlds.items():
            for _ in range(10):
                before = set(world.out)
                each[side].append(world.serve(10))
                strays[side] += sum(world.out[request] not in good for request in set(world.out) - before)
    for side in modules:
        print(f"{side:6}  {median(each[side]):7.1f}   {spread(each[side])}; {strays[side]} sent astray")


def come_free(modules: dict[str, ModuleType], rounds: int) -> None:
    """What the event costs by which one server comes free while many requests are held."""
    worlds: dict[str, World] = {}
    took: dict[str, list[float]] = {side: [] for side in modules}
    for side, brain in modules.items():
        world = worlds[side] = World(brain, SMALL, 3, settings())
        for _ in range(HELD):
            world.arrive()
    for _ in range(rounds):
        for side, world in worlds.items():
            world.now += 0.05  # so little that nothing held runs out of time
            took[side].append(world.finish(next(iter(world.out)), Outcome.SERVED) / 1000.0)
    print(f"\n{HELD:,} requests held before {SMALL} servers, one comes free: us of that event")
    for side, values in took.items():
        print(f"{side:6}  {median(values):7.1f}   {spread(values)}, worst {max(values):.1f}")
        if worlds[side].turned_away:
            print(f"{side}: {worlds[side].turned_away:,} of them were given up before")


def verdict(rows: list[Row]) -> bool:
    """Print whether the aims are reached."""
    found = {(row.size, row.side): row for row in rows}
    small, large, before = found[SMALL, "after"], found[LARGE, "after"], found[SMALL, "before"]
    growth = median(large.each) / median(small.each)
    pairs = [after / was for after, was in zip(small.each, before.each, strict=True)]
    slower = median(pairs)
    print(f"\n{LARGE:,} servers against {SMALL}: {growth:.2f} times (aim: {LARGE_FACTOR} at most)")
    print(
        f"{SMALL} servers against before: {slower:.2f} times (aim: {SMALL_FACTOR} at most), "
        f"middle half of the rounds {spread([100 * pair for pair in pairs])} percent"
    )
    met = growth <= LARGE_FACTOR and slower <= SMALL_FACTOR
    print("the aims are met" if met else "the aims are missed")
    return met


def main() -> int:
    parser = argparse.ArgumentParser(description="What a decision costs by the size of the fleet.")
    parser.add_argument("--base", default=BASE, metavar="REV", help=f"revision of 'before' (default: {BASE})")
    parser.add_argument("--quick", action="store_true", help="fewer sizes and rounds, within a minute")
    arguments = parser.parse_args()
    os.sched_setaffinity(0, {max(os.sched_getaffinity(0))})
    try:
        before = load_base(arguments.base)
    except (ImportError, SyntaxError) as error:
        print(f"revision {arguments.base} cannot be used: {error}", file=sys.stderr)
        return 2
    modules = {"before": before, "after": importlib.import_module("barleybarrow.brain")}
    print(f"before: {arguments.base}; after: the working tree; Python {sys.version.split()[0]}, one core")
    if arguments.quick:
        rows = costs(modules, [SMALL, 1_000, LARGE], 15, 5.0)
        backed_off(modules, 1_000, 3)
        come_free(modules, 15)
    else:
        rows = costs(modules, [SMALL, 100, 1_000, LARGE, 10_000], 41, 45.0)
        backed_off(modules, LARGE, 5)
        come_free(modules, 41)
    return 0 if verdict(rows) else 1


if __name__ == "__main__":
    sys.exit(main())
