"""A run in virtual time: clients, proxies, servers and discovery in one discrete-event loop.

Time is in integer microseconds. Events of one instant come in the order in which they were asked for, by a
serial number, so that nothing hangs on hashes; a request of a client comes before them. The same scenario,
seed and policy give the same run to the byte, which `Result.digest` tells.

Its layers, the lowest first: `world_state`, `world_processes`, `world_attempts`, `world_clients`; the loop,
the faults and the result are here.
"""

import gc
import resource
import time
from collections.abc import Iterator
from contextlib import contextmanager
from heapq import heappop

import numpy as np

from testbed import faults
from testbed import scenario as config
from testbed.counts import FAILED, SECOND
from testbed.observation import Observation
from testbed.oracle import LOOK, SWEEP
from testbed.proxy import RECORD, Proxy
from testbed.results import Acted, Result, encode, histogram
from testbed.world_clients import WorldClients
from testbed.world_processes import LOST_WATCH
from testbed.world_state import FAULT, MOST_BREACHES, NEVER

COLLECT = (50_000, 20, 50)  # a run leaves little that is cyclic: some thousand requests between collections
CHUNK = 1 << 20  # bytes of the trace that are digested at once


class World(WorldClients, faults.OnHosts):
    """Everything of one run."""

    def __init__(
        self, scenario: config.Scenario, seed: int, policy: str = "module", most_breaches: int = MOST_BREACHES
    ) -> None:
        super().__init__(scenario, seed, policy, most_breaches)
        first = self.registry.whole()
        for number in range(scenario.proxies):
            settings = self.settings[number % len(self.settings)]
            self.proxies.append(Proxy(self, number, 0, settings, policy, first))
        for occurrence in self.occurrences:
            step = int(occurrence.fault.stagger_ms * 1000.0)
            for i, target in enumerate(occurrence.targets()):
                self.at(occurrence.at + i * step, self.fault, (occurrence, target, True))
                self.at(occurrence.until + i * step, self.fault, (occurrence, target, False))
        self.at(SECOND, self.second, None)
        self.at(LOOK, self.look, None)
        self.at(SWEEP, self.sweep, None)

    def run(self, until: float | None = None) -> None:
        """Go on to the end, or stop before whatever happens at a time (milliseconds) or after it."""
        stop = NEVER if until is None else int(round(until * 1000.0))
        heap, arrivals, events = self.heap, self.arrivals, 0
        asked = self.coming or next(arrivals, None)
        coming = asked.at if asked is not None else NEVER
        while True:
            if heap and heap[0][0] < coming:
                if heap[0][0] >= stop or coming == NEVER and not self.open_ops and heap[0][0] > self.end:
                    break
                when, _, call, what = heappop(heap)
                self.now = when
                events += 1
                call(what)
            elif asked is not None and coming < stop:
                self.now = coming
                events += 1
                self.ask(asked)
                asked = next(arrivals, None)
                coming = asked.at if asked is not None else NEVER
            else:
                break
            if len(self.trace) > CHUNK:
                self.hash.update(self.trace)
                self.trace.clear()
        self.events += events
        self.coming = asked
        if stop == NEVER:
            self.settle()

    def settle(self) -> None:
        """After the last answer: what servers still hold runs to its end, for what it might do twice."""
        for late in self.oracle.sweep(NEVER):
            self.finish(late.op, late, FAILED, self.now)
        for host in self.all_hosts:
            for job in host.server.settle():
                self.look_at_effect(job)

    def fault(self, what: tuple[faults.Occurrence, int, bool]) -> None:
        occurrence, target, on = what
        kind = sorted(config.FaultKind.__args__).index(occurrence.fault.kind)  # type: ignore[attr-defined]
        self.trace += RECORD.pack(self.now, kind, FAULT, target, on, occurrence.fault.size)
        faults.act(self, occurrence, target, on)

    def slow(self, server: int, factor: float, on: bool) -> None:
        host = self.places[server].host
        if faults.change(host.slows, factor, on):
            product = 1.0
            for each in host.slows:
                product *= each
            host.server.slow_down(self.now, product)
            self.mind(host)

    def hang(self, server: int, on: bool) -> None:
        host = self.places[server].host
        if on:
            if host.server.up:
                host.hangs += 1
                host.server.hang(self.now)
        elif host.hangs:
            host.hangs -= 1
            if not host.hangs:
                for job in host.server.resume(self.now):
                    self.over(host, job)
                if not host.server.up:
                    self.crash_host(host)
                self.mind(host)

    def partition(self, proxy: int, server: int, on: bool) -> None:
        cuts = self.cuts.setdefault(proxy, {})
        if on:
            cuts[server] = cuts.get(server, 0) + 1
            return
        cuts[server] = cuts.get(server, 1) - 1
        if cuts[server] <= 0:
            del cuts[server]
            host = self.places[server].host
            for link in [x for x in host.links if x.proxy.number == proxy]:
                self.at(self.now + self.network.delay(host.zone, link.proxy.zone), link.proxy.reset, link)

    def discovery(self, kind: str, size: float, on: bool) -> None:
        if kind == "discovery_stale":
            faults.change(self.stale, size, on)
        elif kind == "discovery_whole":
            self.wholes += 1 if on else -1
        else:
            self.silent += 1 if on else -1
            if on and self.scenario.discovery.mode == "ask":
                for number, agent in enumerate(self.agents):
                    proxy = self.proxies[number]
                    if agent.watched and proxy.alive:
                        agent.watched = False
                        self.at(self.now + LOST_WATCH, self.watched, (proxy, False))
        for number, agent in enumerate(self.agents):
            if agent.known < self.registry.seq:
                self.will_tell(number, agent)

    def answers(self, server: int, kind: str, size: float, on: bool) -> None:
        place = self.places[server]
        sizes = {"late_answers": place.late, "lost_answers": place.lost, "resets": place.resets}
        faults.change(sizes[kind], size, on)

    def stop_proxy(self, proxy: int, at_once: bool) -> None:
        one = self.proxies[proxy]
        if one.alive and not one.stopping:
            self.down_since[proxy] = self.now
            if at_once:
                self.end_proxy(one)
            else:
                one.stop()

    def end_proxy(self, proxy: Proxy) -> None:
        """Its process ends; the clients that it holds see their connections break."""
        if not proxy.alive:
            return
        proxy.die()
        for t in [t for t in self.oracle.open if t.proxy is proxy]:
            self.oracle.gone(t)
            if not t.over:
                t.over = True
                self.retry(t.op, t, FAILED, self.now + self.network.to_client(), 0.0)

    def start_proxy(self, proxy: int) -> None:
        old = self.proxies[proxy]
        if not old.stopping and old.alive:
            return
        self.end_proxy(old)
        agent = self.agents[proxy]
        agent.watched = self.scenario.discovery.mode == "push"
        listing = self.registry.whole(agent.known)  # as it was last held, which may be old
        settings = self.settings[proxy % len(self.settings)]
        self.proxies[proxy] = Proxy(self, proxy, old.life + 1, settings, self.policy, listing)
        if agent.known < self.registry.seq:
            self.will_tell(proxy, agent)

    def sight(self, proxy: Proxy) -> Observation:
        return Observation(self, proxy)

    def look(self, _: None) -> None:
        self.oracle.look(self.now, self.proxies, [place.host for place in self.places])
        self.at(self.now + LOOK, self.look, None)

    def sweep(self, _: None) -> None:
        for t in self.oracle.sweep(self.now):
            if not t.over:
                self.finish(t.op, t, FAILED, self.now)
        self.at(self.now + SWEEP, self.sweep, None)

    def second(self, _: None) -> None:
        held = sum(1 for t in self.oracle.open if not t.out)
        counts = [float(place.host.server.held()) for place in self.places]
        self.seconds_of.sample(held, counts, [place.host.name for place in self.places])
        self.at(self.now + SECOND, self.second, None)

    def result(self, wall: float = 0.0) -> Result:
        """What the run has come to so far."""
        self.hash.update(self.trace)
        self.trace.clear()
        latencies = {}
        for conf, spans in zip(self.scenario.classes, self.latencies, strict=True):
            filled = histogram()
            values, counts = np.unique(np.frombuffer(spans, dtype=np.int64), return_counts=True)
            for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                filled.record_value(value, count)
            latencies[conf.name] = encode(filled)
        done = sum(host.server.tally.work for host in self.all_hosts) / 1000.0
        return Result(
            scenario=self.scenario.name,
            policy=self.policy,
            seed=self.seed,
            seconds=self.now / SECOND,
            tallies=[tally for of_class in self.tallies for tally in of_class],
            latencies=latencies,
            attempts=self.attempts,
            repeats=self.repeats,
            probes=self.probes,
            connects=sum(host.server.connects for host in self.all_hosts),
            cold_peak=self.oracle.cold_peak,
            work_done=done,
            work_wasted=max(0.0, done - self.useful / 1000.0),
            ran_twice=self.ran_twice,
            series=self.seconds_of.series,
            acted=[
                Acted(kind=o.fault.kind, at=o.at / 1000.0, until=o.until / 1000.0, text=o.text())
                for o in self.occurrences
                if o.at <= self.now
            ],
            breaches=sorted(self.oracle.breaches, key=lambda b: b.at),
            breaches_dropped=self.oracle.dropped,
            digest=self.hash.hexdigest(),
        )


@contextmanager
def few_collections() -> Iterator[None]:
    """Leave the garbage collector little to do: what the set-up has made stays for the whole run."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


def run(
    scenario: config.Scenario,
    seed: int,
    policy: str = "module",
    until: float | None = None,
    most_breaches: int = MOST_BREACHES,
) -> Result:
    """Play a scenario from a seed; `until` (milliseconds) stops just before what happens then.

    Raises KeyError where there is no policy of that name.
    """
    began = time.perf_counter()
    world = World(scenario, seed, policy, most_breaches)
    with few_collections():
        world.run(until)
    result = world.result()
    result.cost.wall_s = time.perf_counter() - began
    result.cost.events = world.events
    result.cost.memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return result
