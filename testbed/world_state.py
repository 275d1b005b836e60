"""What the parts of a run share: time, the queue of events, chance, what is counted, who takes part."""

from array import array
from collections.abc import Callable
from hashlib import blake2b
from heapq import heappush
from typing import Any

from testbed import faults
from testbed import scenario as config
from testbed.counts import SECOND, Quota, SecondBySecond
from testbed.model.arrivals import Arrivals, Asked
from testbed.model.discovery import Desk, Registry
from testbed.model.network import Network, normals, stream, uniforms
from testbed.oracle import Oracle
from testbed.parts import Host, Place
from testbed.proxy import Proxy
from testbed.results import Series, Tally

NEVER = 1 << 62
MOST_BREACHES = 100  # kept of one run; the rest is counted
CLIENT, ARRIVED, DONE, ANSWER, FAULT = 32, 33, 34, 35, 36  # records of the digest's trace beside the module's


class WorldState:
    """The state of one run; `at` has something called at a time. Instants are in microseconds."""

    def __init__(
        self, scenario: config.Scenario, seed: int, policy: str = "module", most_breaches: int = MOST_BREACHES
    ) -> None:
        self.scenario, self.seed, self.policy = scenario, seed, policy
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.serial = self.events = self.number = self.open_ops = 0
        self.trace = bytearray()
        self.hash = blake2b(digest_size=16)
        self.network = Network(scenario.network, seed)
        self.oracle = Oracle(scenario, seed, most_breaches)
        self.again: Callable[[], float] = uniforms(stream(seed, "again")).__next__
        self.chance: Callable[[], float] = uniforms(stream(seed, "servers")).__next__
        self.notice: Callable[[], float] = uniforms(stream(seed, "discovery")).__next__
        self.noise: Callable[[], float] = normals(stream(seed, "noise")).__next__
        self.fleet = stream(seed, "fleet")
        self.occurrences = faults.plan(scenario, seed)
        self.arrivals = iter(Arrivals(scenario, seed, faults.swells(scenario, self.occurrences)))
        self.coming: Asked | None = None  # the next request, where the run was stopped before it
        self.end = int(scenario.seconds * SECOND)
        self.longest_cold = int(max(k.cold_ms for k in scenario.kinds) * 1000.0)
        self.silent = 0
        self.stale: list[float] = []
        self.wholes = 0
        self.cuts: dict[int, dict[int, int]] = {}  # by proxy: servers that it cannot reach, and how often cut
        self.attempts = self.repeats = self.probes = self.ran_twice = 0
        self.useful = 0.0
        self.quotas = [Quota(t.quota * scenario.capacity()) for t in scenario.tenants]
        self.tallies = [
            [Tally(klass=c.name, tenant=t) for t in [x.name for x in scenario.tenants] or [""]]
            for c in scenario.classes
        ]
        self.latencies = [array("q") for _ in scenario.classes]
        self.aims = [int(c.aim * 1000.0) for c in scenario.classes]
        self.deadlines = [int(c.deadline * 1000.0) for c in scenario.classes]
        self.windows = [int(c.window * 1000.0) if c.effect == "keyed" else 0 for c in scenario.classes]
        self.safe = [c.effect == "safe" for c in scenario.classes]
        self.groups = [c.group for c in scenario.classes]
        self.spreads = [c.attempt_noise for c in scenario.classes]
        self.reports = bool(scenario.rules.probe_reports)
        self.series = Series()
        self.seconds_of = SecondBySecond(scenario)
        self.registry, self.desk = Registry(), Desk(scenario.discovery)
        self.away: dict[str, list[tuple[int, str]]] = {}
        self.names: dict[str, Host] = {}
        self.indices: dict[str, int] = {}
        self.addresses: dict[tuple[str, int], Host] = {}
        self.all_hosts: list[Host] = []
        self.places = [
            Place(i, i % len(scenario.zones), kind, i // scenario.cell_size)
            for i, kind in enumerate(scenario.kind_of())
        ]
        self.proxies: list[Proxy] = []
        self.down_since: dict[int, int] = {}
        zones = len(scenario.zones)
        self.settings = [config.settings(scenario, zone) for zone in range(zones)]  # by zone alone

    def at(self, when: int, call: Callable[[Any], None], what: Any) -> None:
        """Have something called at a time."""
        self.serial += 1
        heappush(self.heap, (when, self.serial, call, what))

    def cut(self, proxy: Proxy, host: Host) -> bool:
        """Whether a partition lies between a proxy and a server."""
        cuts = self.cuts
        return bool(cuts) and host.place.index in cuts.get(proxy.number, ())
