"""One run on sockets: a process for the fleet, one for the load, and a daemon a proxy, watched from both
ends.

The parent starts and ends them all; whatever way it ends itself, none of them outlives it. What only both
ends together tell (refused and ran, taken and lost) is found here, after the run.

What a daemon that was killed (SIGKILL) owed is not held against it: its clients see a broken connection, and
what it had taken is excused. Its attempts stay on the servers' record: what ran twice through it is a
breach, if its successor or another proxy repeats what no client asked for again. After SIGTERM the
platform's rule holds: what came within 0.7 s is owed an answer.
"""

import contextlib
import json
import math
import multiprocessing as mp
import subprocess
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from testbed import faults
from testbed import scenario as config
from testbed.counts import SecondBySecond
from testbed.results import Acted, Breach, Live, Result
from testbed.sockets.children import child, run_fleet, run_load
from testbed.sockets.daemons import Daemon, RunError
from testbed.sockets.ports import free_port

START_S = 30.0  # a process that is not ready by then will not be
LEAD_S = 0.3  # between the word to begin and the first instant, so that everybody has heard it
SAMPLE_S = 0.25  # between two looks at the daemons
TERM_GRACE_S = 0.7  # what came so long after SIGTERM is not owed an answer
KILLED_S = 0.5  # a connection that breaks within this time after a kill broke because of it
SOCKETS, MEMORY_MB = 1024, 192  # of a daemon, as the platform limits it
EACH = "{proxy}"  # in the operators' file's name: the proxy's number, where each has a file of its own
TIMED = ("in_time", "drain")  # promises that are broken by the clock alone


@dataclass
class Look:
    """What a run looks like just now, for those who watch it."""

    second: float
    load: dict[str, Any]
    fleet: list[tuple[str, str, int, float]]
    events: list[tuple[int, str]]  # microseconds, what
    daemons: list[Daemon]


def configuration(
    scenario: config.Scenario, number: int, port: int, addresses: dict[str, Any], seed: int
) -> dict[str, Any]:
    """A daemon's configuration, as the platform would write it."""
    return {
        "name": f"n{number}",
        "listen": f"127.0.0.1:{port}",
        "discovery": addresses["agents"][number],
        "seed": f"{(seed * 1_000_003 + number * 1009) % (1 << 64):x}",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": addresses["known"][number],
        "settings": config.settings(scenario, number),
    }


class Run:
    """Starts, watches and ends the processes of one run; a context manager, so that none is left."""

    def __init__(
        self,
        scenario: config.Scenario,
        seed: int,
        operator: str | None = None,
        folder: str | Path | None = None,
        log_level: str = "warning",
    ) -> None:
        if scenario.discovery.mode == "ask":
            raise RunError("`discovery.mode`: on sockets the list is pushed")
        self.scenario, self.seed = scenario, seed
        self.options = ["--log-level", log_level]
        self.environ: dict[int, dict[str, str]] = {}  # by process, beside what the parent has
        if operator is not None:
            self.options += ["--operator", str(Path(operator).resolve())]
        self.keep = Path(folder) if folder is not None else None
        self.stack = contextlib.ExitStack()
        self.children: list[tuple[Any, Connection]] = []
        self.daemons: list[Daemon] = []
        self.origin = 0.0
        self.fleet: list[tuple[str, str, int, float]] = []
        self.events: list[tuple[int, str]] = []
        self.load: dict[str, Any] = {}
        self.busy: dict[str, list[float]] = {"fleet": [], "load": []}
        self.by_second = SecondBySecond(scenario)  # what the servers and the proxies hold
        self.sums: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> "Run":
        try:
            if self.keep is None:
                self.keep = Path(self.stack.enter_context(tempfile.TemporaryDirectory(prefix="testbed-")))
            self.keep.mkdir(parents=True, exist_ok=True)
            self.begin()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for daemon in self.daemons:
            if daemon.lives:
                daemon.end()
        for process, pipe in self.children:
            pipe.close()
            if process.is_alive():
                process.kill()
            process.join()
        self.stack.close()

    def spawn(self, work: Callable[..., Any], *arguments: Any) -> Connection:
        context = mp.get_context("spawn")
        ours, theirs = context.Pipe()
        process = context.Process(target=child, args=(work, theirs, *arguments), daemon=True)
        process.start()
        theirs.close()
        self.children.append((process, ours))
        return ours

    def begin(self) -> None:
        """Start the fleet, then the daemons, then the load, and wait until all are ready."""
        assert self.keep is not None
        fleet = self.spawn(run_fleet, self.scenario, self.seed)
        ports = [free_port() for _ in range(self.scenario.proxies)]
        load = self.spawn(run_load, self.scenario, self.seed, ports)
        addresses = self.first_word(fleet, "the fleet")
        for number, port in enumerate(ports):
            path = self.keep / f"proxy{number}.json"
            text = json.dumps(configuration(self.scenario, number, port, addresses, self.seed))
            path.write_text(text, encoding="utf-8")
            options = [option.replace(EACH, str(number)) for option in self.options]
            daemon = Daemon(number, port, addresses["agents"][number], self.keep, options)
            daemon.facts.proxy = number
            daemon.environ = self.environ.get(number, {})
            self.daemons.append(daemon)
            daemon.start()
        limit = time.monotonic() + START_S
        while not all([daemon.ready() for daemon in self.daemons]):
            if time.monotonic() > limit:
                raise RunError("a proxy did not become ready")
            time.sleep(0.02)
        self.first_word(load, "the load")

    def first_word(self, pipe: Connection, who: str) -> Any:
        if not pipe.poll(START_S):
            raise RunError(f"{who} did not start")
        try:
            return pipe.recv()
        except EOFError:
            raise RunError(f"{who} ended at its start") from None

    def play(self, watch: Callable[[Look], None] | None = None) -> Result:
        """Play it to its end; `watch` is called about once a second."""
        (_, fleet), (_, load) = self.children
        self.origin = time.monotonic() + LEAD_S
        fleet.send(self.origin)
        load.send(self.origin)
        plan = self.plan()
        longest = max(c.deadline for c in self.scenario.classes) / 1000.0
        limit = self.origin + self.scenario.seconds + 3.0 * longest + START_S
        for daemon in self.daemons:
            daemon.sample(math.inf)
        sampled = 0.0
        while "load" not in self.sums:
            now = time.monotonic()
            if now > limit:
                raise RunError("the load did not end")
            while plan and plan[0][0] <= now - self.origin:
                plan.pop(0)[1]()
            if now >= sampled + SAMPLE_S:
                sampled = now
                for daemon in self.daemons:
                    daemon.sample(self.origin)
                    self.check(daemon)
            mp.connection.wait([fleet, load], SAMPLE_S / 2)
            if self.hear("fleet", fleet) | self.hear("load", load) and watch is not None:
                watch(Look(now - self.origin, self.load, self.fleet, self.events, self.daemons))
        for daemon in self.daemons:
            daemon.sample(self.origin)
        load.send("end")  # its connections go: a daemon that is to stop waits for nobody then
        fleet.send("end")
        while "fleet" not in self.sums:
            if not fleet.poll(START_S):
                raise RunError("the fleet did not end")
            self.hear("fleet", fleet)
        self.stop_all()
        return self.result()

    def hear(self, who: str, pipe: Connection) -> bool:
        """Take what a process has to tell; whether it was the load's news of a second."""
        news = False
        try:
            while pipe.poll():
                kind, *rest = pipe.recv()
                if kind == "sum":
                    self.sums[who] = rest[0]
                elif kind == "fleet":
                    self.fleet, self.events = rest[0], rest[1]
                    self.busy["fleet"].append(rest[2])
                    held = [float(count) for _, _, count, _ in self.fleet]
                    before = max(0.0, self.load.get("open", 0) - sum(held))
                    self.by_second.sample(int(before), held, [name for name, *_ in self.fleet])
                else:
                    self.load, news = rest[0], True
                    self.busy["load"].append(rest[1])
        except EOFError:
            raise RunError(f"the {who} ended before its time") from None
        return news

    def plan(self) -> list[tuple[float, Callable[[], None]]]:
        """When proxies are stopped and started, in seconds from the run's start."""
        steps: list[tuple[float, Callable[[], None]]] = []
        for o in faults.plan(self.scenario, self.seed):
            if o.fault.kind not in faults.OF_PROXIES:
                continue
            for i, number in enumerate(o.proxies):
                daemon, step = self.daemons[number], i * o.fault.stagger_ms / 1000.0
                at_once = o.fault.size == 0.0
                steps.append((o.at / 1e6 + step, lambda d=daemon, k=at_once: d.stop(k)))  # type: ignore[misc]
                steps.append((o.until / 1e6 + step, daemon.again))
        return sorted(steps, key=lambda entry: entry[0])

    def check(self, daemon: Daemon) -> None:
        """Note a daemon that ended though nobody stopped it."""
        life = daemon.life
        code = life.process.poll()
        if code is not None and life.stopped_at is None and not daemon.facts.ended:
            daemon.facts.ended = f"exit code {code}: {daemon.last_words()}"

    def stop_all(self) -> None:
        """SIGTERM to every daemon that has started; one that does not end in good order has it on record."""
        limit = time.monotonic() + START_S
        while any([daemon.starting() for daemon in self.daemons]) and time.monotonic() < limit:
            time.sleep(0.02)
        for daemon in self.daemons:
            daemon.stop(False)
        limit = time.monotonic() + 5.0 + max(c.deadline for c in self.scenario.classes) / 1000.0
        for daemon in self.daemons:
            try:
                code = daemon.life.process.wait(max(0.1, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                daemon.facts.ended = daemon.facts.ended or "did not end after SIGTERM"
            else:
                if code != 0 and not daemon.life.killed and not daemon.facts.ended:
                    daemon.facts.ended = f"exit code {code}: {daemon.last_words()}"

    # The account

    def result(self) -> Result:
        load, fleet = self.sums["load"], self.sums["fleet"]
        breaches: list[Breach] = load["breaches"] + fleet["breaches"]
        more, excused = self.both_ends(load, fleet)
        breaches += more
        for daemon in self.daemons:
            if daemon.facts.ended:
                breaches.append(Breach(promise="alive", at=0.0, text=daemon.facts.ended, proxy=daemon.number))
            daemon.facts.cpu_worst = max(daemon.of_second.values(), default=0.0)
        lagging = load["lagging"] | fleet["lagging"]
        doubtful = [b for b in breaches if b.promise in TIMED and around(b.at) & lagging]
        breaches = [b for b in breaches if b not in doubtful]
        series = load["series"]
        series.in_flight, series.held = self.by_second.series.in_flight, self.by_second.series.held
        for second, count in fleet["of_second"].items():
            if 0 <= second < len(series.attempts):
                series.attempts[second] = count
        occurrences = faults.plan(self.scenario, self.seed)
        attempts = sum(len(found) for found in fleet["attempts"].values())
        behind = list(load["behind"])
        for who, shares in self.busy.items():
            full = sum(share > 0.9 for share in shares)
            if full:
                behind.append(f"the {who} had its core full in {full} of {len(shares)} seconds")
        if lagging:
            behind.append(f"{len(lagging)} seconds in which a process of the testbed did not get its core")
        if doubtful:
            behind.append(f"{len(doubtful)} breaches of a time limit in such seconds, which prove nothing")
        return Result(
            scenario=self.scenario.name,
            policy="module",
            seed=self.seed,
            seconds=load["seconds"],
            tallies=load["tallies"],
            latencies=load["latencies"],
            attempts=attempts,
            repeats=sum(len(found) - 1 for found in fleet["attempts"].values()),
            work_done=fleet["work_done"],
            ran_twice=fleet["ran_twice"],
            series=series,
            acted=[
                Acted(kind=o.fault.kind, at=o.at / 1000.0, until=o.until / 1000.0, text=o.text())
                for o in occurrences
            ]
            + [
                Acted(kind=f.kind, at=f.at, until=f.at + f.lasts, text="on sockets")
                for f in self.scenario.sockets.faults
            ],
            breaches=sorted(breaches, key=lambda b: b.at),
            breaches_dropped=load["dropped"] + fleet["dropped"],
            live=Live(
                processes=[daemon.facts for daemon in self.daemons],
                by_tenant=load["by_tenant"],
                lateness=load["lateness"],
                behind=behind,
                load_cpu=mean(self.busy["load"]),
                fleet_cpu=mean(self.busy["fleet"]),
                resent=load["resent"],
                rude=load["rude"],
                rude_left=load["rude_left"],
                excused=excused,
            ),
        )

    def both_ends(self, load: dict[str, Any], fleet: dict[str, Any]) -> tuple[list[Breach], int]:
        """What neither end can tell alone; and how much is excused as its proxy was killed."""
        found: list[Breach] = []
        attempts, classes = fleet["attempts"], self.scenario.classes
        retried = [c.effect == "safe" or c.effect == "keyed" and c.group == "all" for c in classes]
        klasses = self.klasses({op for op, *_ in load["refused"]})
        for op, number, proxy, at in load["refused"]:
            ran = [a for a in attempts.get((op, number), ()) if not a[3]]
            if ran and not retried[klasses[op]]:
                text = f"refused though {ran[0][2]} had it whole"
                found.append(
                    Breach(promise="refused_ran", at=at / 1000.0, text=text, proxy=proxy, request=op)
                )
        excused = 0
        for op, number, proxy, sent, at, how in load["unanswered"]:
            if self.excused(proxy, sent, at):
                excused += 1
            elif how == "silent":
                text = "never answered"
                found.append(Breach(promise="in_time", at=at / 1000.0, text=text, proxy=proxy, request=op))
            elif how == "broken" or attempts.get((op, number)):
                text = "its connection ended without an answer"
                found.append(Breach(promise="in_time", at=at / 1000.0, text=text, proxy=proxy, request=op))
        return found, excused

    def klasses(self, ops: set[int]) -> dict[int, int]:
        """The class of each of some operations."""
        if not ops:
            return {}
        from testbed.model.arrivals import Arrivals

        swells = faults.swells(self.scenario, faults.plan(self.scenario, self.seed))
        rows = Arrivals(self.scenario, self.seed, swells)
        return {n: row.klass for n, row in enumerate(rows) if n in ops}

    def excused(self, proxy: int, sent: int, at: int) -> bool:
        """Whether what a proxy left unanswered is not held against it; instants in microseconds of the
        run.
        """
        for life in self.daemons[proxy].lives:
            if life.stopped_at is None:
                continue
            stopped = (life.stopped_at - self.origin) * 1e6
            if life.killed and sent <= stopped + KILLED_S * 1e6 and at >= stopped - 1e4:
                return True
            if not life.killed and sent > stopped + TERM_GRACE_S * 1e6:
                return True
        return False


def around(at: float) -> set[int]:
    """The seconds in or just before which what is seen at a time (milliseconds) has its cause."""
    second = math.floor(at / 1000.0)
    return {second - 2, second - 1, second}


def mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def play(
    scenario: config.Scenario,
    seed: int,
    operator: str | None = None,
    folder: str | Path | None = None,
    watch: Callable[[Look], None] | None = None,
) -> Result:
    """Play a scenario on sockets. Raises RunError in one line where it cannot be played."""
    began = time.perf_counter()
    with Run(scenario, seed, operator, folder) as playing:
        result = playing.play(watch)
    result.cost.wall_s = time.perf_counter() - began
    return result
