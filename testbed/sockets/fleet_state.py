"""What the parts of a fleet on sockets share: time, chance, who takes part, what was found."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from testbed import faults
from testbed import scenario as config
from testbed.model import jobs
from testbed.model.arrivals import Arrivals
from testbed.model.discovery import Registry
from testbed.model.network import normals, stream, uniforms
from testbed.results import Breach
from testbed.sockets.agents import AgentServer
from testbed.sockets.doors import Host, Place, Reached

SECOND = 1_000_000
MOST_BREACHES = 100


class FleetState:
    """The state of one run on sockets."""

    def __init__(self, scenario: config.Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.loop = asyncio.get_running_loop()
        self.origin: float | None = None  # of the run, on the monotonic clock; unknown until it begins
        self.unix_ms = 0.0
        self.tasks: set[asyncio.Future[Any]] = set()
        self.occurrences = faults.plan(scenario, seed)
        self.asked = list(Arrivals(scenario, seed, faults.swells(scenario, self.occurrences)))
        self.chance: Callable[[], float] = uniforms(stream(seed, "servers")).__next__
        self.notice: Callable[[], float] = uniforms(stream(seed, "discovery")).__next__
        self.noise: Callable[[], float] = normals(stream(seed, "noise")).__next__
        self.fleet_rng = stream(seed, "fleet")
        self.ledger = jobs.Ledger()
        self.tries_of: dict[int, int] = {}  # attempts of an operation so far
        self.attempts: dict[tuple[int, int], list[Reached]] = {}
        self.logged = 0
        self.windows = [int(c.window * 1000.0) if c.effect == "keyed" else 0 for c in scenario.classes]
        self.registry = Registry()
        self.away: dict[str, list[tuple[int, str]]] = {}
        self.silent = self.wholes = 0
        self.stale: list[float] = []
        self.breaches: list[Breach] = []
        self.dropped = 0
        self.events: list[tuple[int, str]] = []  # what befell the fleet, for those who look on
        self.attempts_of_second: dict[int, int] = {}
        self.strange = 0  # requests that no client sent so
        self.ran_twice = 0
        self.all_hosts: list[Host] = []
        self.names: dict[str, Host] = {}
        self.places = [
            Place(i, i % len(scenario.zones), kind, i // scenario.cell_size)
            for i, kind in enumerate(scenario.kind_of())
        ]
        self.agents: list[AgentServer] = []

    def now(self) -> int:
        """Microseconds since the run's start; 0 before it."""
        return max(0, int((time.monotonic() - self.origin) * 1e6)) if self.origin is not None else 0

    def after(self, span: int, call: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, span) / 1e6, call, *arguments)

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        assert self.origin is not None
        self.after(when - int((time.monotonic() - self.origin) * 1e6), call, *arguments)

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.forget)

    def forget(self, task: "asyncio.Future[Any]") -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()  # a connection that broke as it was taken is nobody's fault

    def draws(self, sizes: list[float] | None) -> bool:
        return bool(sizes) and self.chance() < max(sizes or ())

    def breach(self, promise: str, at: int, text: str, proxy: int = -1, request: int = -1) -> None:
        if len(self.breaches) >= MOST_BREACHES:
            self.dropped += 1
            return
        self.breaches.append(Breach(promise=promise, at=at / 1000.0, text=text, proxy=proxy, request=request))

    def tell_event(self, text: str) -> None:
        if len(self.events) < 10_000:
            self.events.append((self.now(), text))
