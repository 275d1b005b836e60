"""Several daemons as processes, each known by an address of its own, with the links between them in a relay.

`Several` is a run on sockets (fleet, discovery, open-loop load) whose daemons are peers. It does deeds upon
them, plays a schedule, keeps a journal of what was done and seen, and reads the views that they held from
their logs. All processes end with it, whatever way it ends.
"""

import contextlib
import json
import re
import secrets
import shutil
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self

import msgspec

from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError
from brackenusher.membership.frames import Members
from brackenusher.membership.members import who
from testbed import oracle_views as oracle
from testbed import scenario as config
from testbed.processes.links import Links, known_host, own_host
from testbed.schedule import Act, Schedule
from testbed.sockets.daemons import Daemon
from testbed.sockets.ports import free_port
from testbed.sockets.run import Run

PERIOD_MS = 200
SEEDS = 3
LIMIT_S = 40.0  # for a condition to come about; generous, as machines are shared
LOOK_S = 0.05
HELD = re.compile(r"peers: at ([\d.]+) life (\d+) holds view (\d+) of (\d+): (.*)")
OVER = re.compile(r"peers: taken out of the group: life (\d+) is over")

SCENE = """
name = "several"
seconds = 8.0
proxies = 3
servers = 3
[load]
rate = 40.0
[clients]
impatient = 0.0
[[classes]]
name = "read"
work_ms = 5.0
aim = 800.0
deadline = 2000.0
"""


def scene(size: int, **changes: Any) -> config.Scenario:
    """A light scenario for so many proxies."""
    return msgspec.structs.replace(config.parse(SCENE), proxies=size, **changes)


class Several(Run):
    """Daemons 0 to size - 1. Times are in periods of the group where nothing else is said."""

    def __init__(
        self,
        size: int,
        folder: str | Path | None = None,
        seed: int = 1,
        period_ms: int = PERIOD_MS,
        settings: str = "",
        scenario: config.Scenario | None = None,
        log_level: str = "debug",
        relayed: bool = True,
    ) -> None:
        """`relayed`: faults may be put on links; one thread carries them all, some 20 processes at most."""
        super().__init__(scenario or scene(size), seed, None, folder, log_level)
        self.size, self.period_ms, self.more = size, period_ms, settings
        self.key, self.links_port = secrets.token_hex(16), free_port()
        self.peers = PeersSettings(keys={"k1": bytes.fromhex(self.key)}, sign="k1")
        self.journal: list[dict[str, Any]] = []
        self.paused: set[int] = set()
        self.away: set[int] = set()
        self.planted = ""  # lines of Python that every daemon runs before its own: a bug to be found
        self.links: Links | None = None
        self.relayed = relayed
        self.schedule: Schedule | None = None

    def __exit__(self, *details: object) -> None:
        for number in list(self.paused):
            self.wake(number)
        super().__exit__(*details)
        if self.links is not None:
            self.links.close()

    def __enter__(self) -> Self:
        super().__enter__()
        return self

    def begin(self) -> None:
        assert self.keep is not None
        if self.relayed:
            self.links = Links(self.size, self.links_port, self.period_ms, self.seed)
        if self.planted:
            (self.keep / "sitecustomize.py").write_text(self.planted, encoding="utf-8")
        for number in range(self.size):
            (self.keep / f"p{number}").mkdir(exist_ok=True)
            path = self.keep / f"operator{number}.properties"
            path.write_text(self.operator(number), encoding="utf-8")
        self.options += ["--operator", str((self.keep / "operator{proxy}.properties").resolve())]
        super().begin()

    def operator(self, number: int) -> str:
        """A daemon's operators' file."""
        port = self.links_port
        seeds = ", ".join(f"{known_host(n)}:{port}" for n in range(min(SEEDS, self.size)))
        text = (
            f"peers.enabled = true\npeers.listen = {self.address(number)}\n"
            f"peers.advertise = {known_host(number)}:{port}\npeers.seeds = {seeds}\n"
            f"peers.key.k1 = {self.key}\npeers.period_ms = {self.period_ms}\npeers.warm_ms = 100\n"
        )
        return text + self.more.format(number=number, folder=self.folder(number))

    def folder(self, number: int) -> Path:
        assert self.keep is not None
        return self.keep / f"p{number}"

    # Deeds

    def note(self, what: str, **facts: Any) -> None:
        at = self.links.now() if self.links is not None else time.monotonic()
        self.journal.append({"at": round(at, 3), "what": what, **facts})

    def pause(self, number: int) -> None:
        self.note("pause", who=number)
        self.daemons[number].life.process.send_signal(signal.SIGSTOP)
        self.paused.add(number)

    def wake(self, number: int) -> None:
        if number in self.paused:
            self.paused.discard(number)
            self.note("wake", who=number)
            with contextlib.suppress(ProcessLookupError):
                self.daemons[number].life.process.send_signal(signal.SIGCONT)

    def kill(self, number: int) -> None:
        self.note("kill", who=number)
        self.paused.discard(number)
        self.daemons[number].stop(True)
        self.daemons[number].life.process.wait()
        self.gone(number)

    def gone(self, number: int) -> None:
        """Its process has ended: nobody listens at its address."""
        if self.links is not None and number not in self.away:
            self.away.add(number)
            self.links.down(number)

    def leave(self, number: int) -> None:
        self.note("leave", who=number)
        self.daemons[number].stop(False)
        self.daemons[number].life.process.wait(LIMIT_S)
        self.gone(number)

    def start(self, number: int, disk: str = "kept") -> None:
        """Start one anew that was ended: with its folder as it was, or an empty one."""
        daemon: Daemon = self.daemons[number]
        if daemon.life.stopped_at is None:
            return
        self.note("start", who=number, disk=disk)
        daemon.end()
        self.gone(number)
        if self.links is not None:
            self.away.discard(number)
            self.links.back(number)
        if disk == "empty":
            shutil.rmtree(self.folder(number))
            self.folder(number).mkdir()
        daemon.environ = self.environ.get(number, {})
        daemon.again()

    def do(self, act: Act, number: int) -> None:
        if act.do == "pause":
            self.pause(number)
        elif act.do == "kill":
            self.kill(number)
        elif act.do == "leave":
            self.leave(number)
        else:
            self.start(number, act.disk)

    def steps(self, schedule: Schedule) -> list[tuple[float, Callable[[], object]]]:
        """What is to be done when, in periods."""
        found: list[tuple[float, Callable[[], object]]] = []
        for act in schedule.acts:
            for n, number in enumerate(act.who):
                at = act.at + act.spread * n / len(act.who)
                found.append((at, lambda a=act, i=number: self.do(a, i)))  # type: ignore[misc]
                if act.do == "pause":
                    found.append((at + act.lasts, lambda i=number: self.wake(i)))  # type: ignore[misc]
                elif act.lasts:
                    found.append((at + act.lasts, lambda a=act, i=number: self.start(i, a.disk)))  # type: ignore[misc]
        return sorted(found, key=lambda step: step[0])

    def carry_out(self, schedule: Schedule) -> None:
        """Play a schedule from now to its end, without load; a test or a storm of them."""
        assert self.links is not None
        self.begin_schedule(schedule, time.monotonic())
        steps = self.steps(schedule)
        while (now := self.links.now()) < schedule.periods:
            while steps and steps[0][0] <= now:
                steps.pop(0)[1]()
            time.sleep(LOOK_S / 5)
        for _, step in steps:
            step()
        self.links.mend()

    def begin_schedule(self, schedule: Schedule, origin: float) -> None:
        assert self.links is not None
        self.schedule = schedule
        self.links.begin(origin)
        self.links.put(*schedule.links)
        self.note("begin", seed=schedule.seed)

    def plan(self) -> list[tuple[float, Callable[[], None]]]:
        """With load: what the scenario has, and the schedule's deeds, in seconds."""
        steps = super().plan()
        if self.schedule is not None:
            self.begin_schedule(self.schedule, self.origin)
            part = self.period_ms / 1000.0
            steps += [(at * part, lambda s=step: s() and None) for at, step in self.steps(self.schedule)]  # type: ignore[misc]
        return sorted(steps, key=lambda entry: entry[0])

    def keep_journal(self, path: str | Path) -> None:
        """Write what was done, and the schedule, so that the very same can be played again."""
        whole = {"schedule": msgspec.to_builtins(self.schedule), "size": self.size, "done": self.journal}
        Path(path).write_text(json.dumps(whole, indent=1) + "\n", encoding="utf-8")

    # What is seen

    def address(self, number: int) -> str:
        host = own_host(number) if self.relayed else known_host(number)
        return f"{host}:{self.links_port}"

    def ask(self, number: int) -> Members | None:
        """How one sees the group; None where it does not answer."""
        try:
            return who(self.address(number), self.peers)
        except ConfigError:
            return None

    def running(self) -> list[int]:
        return [
            d.number for d in self.daemons if d.life.process.poll() is None and d.number not in self.paused
        ]

    def holds(
        self, numbers: list[int]
    ) -> dict[oracle.Member, tuple[int, int, frozenset[oracle.Member]] | None]:
        found: dict[oracle.Member, tuple[int, int, frozenset[oracle.Member]] | None] = {}
        for number in numbers:
            told = self.ask(number)
            if told is None:
                found[f"n{number}", -1] = None
            else:
                members = frozenset((line.name, line.life) for line in told.lines if line.belongs)
                held = (told.group, told.number, members) if told.number else None
                found[told.name, told.life] = held
        return found

    def unsettled(self, numbers: list[int] | None = None) -> str:
        """Why those that run do not hold one view of just themselves; empty where they do."""
        holds = self.holds(numbers if numbers is not None else self.running())
        return oracle.settled(holds, set(holds))

    def until(self, condition: Callable[[], Any], what: str, limit_s: float = LIMIT_S) -> Any:
        """Wait for a condition; AssertionError, with the state of the group, where it does not come."""
        end = time.monotonic() + limit_s
        while not (value := condition()):
            if time.monotonic() > end:
                state = [f"n{n}: {self.describe(n)}" for n in range(self.size)]
                raise AssertionError(f"{what} did not come about\n" + "\n".join(state))
            time.sleep(LOOK_S)
        return value

    def describe(self, number: int) -> str:
        told = self.ask(number) if number in self.running() else None
        if told is None:
            return "silent"
        names = " ".join(line.name for line in told.lines if line.belongs)
        return f"view {told.number} of {told.group:08x} [{names}] cut off {told.cut_off}"

    def settle(self, numbers: list[int] | None = None, what: str = "one view") -> None:
        self.until(lambda: not self.unsettled(numbers), what)

    def log(self, number: int) -> str:
        assert self.keep is not None
        return (self.keep / f"proxy{number}.log").read_text(encoding="utf-8", errors="replace")

    def history(self) -> list[oracle.Held]:
        """All views that any of them came to hold, from their logs, in order of time."""
        found = []
        for number in range(self.size):
            last = 0.0
            name = f"n{number}"
            for line in self.log(number).splitlines():
                if held := HELD.search(line):
                    at, life, view, group, lives = held.groups()
                    last = float(at) / self.period_ms
                    members = frozenset((m, int(i)) for m, _, i in (x.partition("@") for x in lives.split()))
                    found.append(oracle.Held(last, (name, int(life)), int(group), int(view), members))
                elif over := OVER.search(line):
                    found.append(oracle.Held(last, (name, int(over[1])), 0, 0, frozenset()))
        return sorted(found, key=lambda h: h.at)

    def breaches(self) -> list[str]:
        found = oracle.breaches(self.history())
        for number in range(self.size):
            if "Traceback" in self.log(number):
                found.append(f"n{number}: a trace in its log")
        return found
