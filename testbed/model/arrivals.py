"""Who asks for what, and when: an open loop that waits for nobody, the same for every policy."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from math import exp, log1p, pi, sin, sqrt
from typing import NamedTuple

import numpy as np

from testbed import scenario as config
from testbed.model.network import stream

SLICE = 100_000  # microseconds over which the rate is taken as constant: bursts and faults last much longer


class Asked(NamedTuple):
    """One request of a client, at the proxy that the front deals it to. Times in microseconds."""

    at: int  # when it reaches the proxy
    sent: int
    proxy: int  # a number that the front maps to a proxy that takes requests
    klass: int
    tenant: int
    key: int
    work: float  # of its first attempt, in standard microseconds
    noise: float  # what that attempt's work was multiplied by
    wait: float  # share of its class's deadline that a try waits
    leaves: float  # share of that after which the client leaves; 1 or more for never
    honours: bool  # keeps to Retry-After


@dataclass(frozen=True, slots=True)
class Swell:
    """Something that changes the load for a while: what the faults of load come to here."""

    at: int
    until: int
    kind: str  # load, tenant_flood or hot_key
    size: float
    tenant: int = -1
    keys: int = 1


class Arrivals:
    """Iterates over what is asked, in order of its arrival at the proxies."""

    def __init__(self, scenario: config.Scenario, seed: int, swells: Sequence[Swell] = ()) -> None:
        self.scenario, self.swells = scenario, swells
        self.rng, self.work = stream(seed, "arrivals"), stream(seed, "work")
        self.clients = stream(seed, "clients")
        self.rate = scenario.rate() / 1e6  # a microsecond
        self.end = int(scenario.seconds * 1e6)
        self.classes = np.array([c.share for c in scenario.classes])
        self.tenants = np.array([t.share for t in scenario.tenants] or [1.0])
        self.tenants = self.tenants / self.tenants.sum()
        weights = np.arange(1, scenario.keys.count + 1) ** -scenario.keys.zipf
        self.keys = np.cumsum(weights) / weights.sum()
        self.burst_until, self.burst = 0.0, False

    def shape(self, at: int) -> float:
        """The factor on the rate that the scenario's shape and steps give."""
        load = self.scenario.load
        factor = 1.0
        for begins, step in load.steps:
            if at >= begins * 1000.0:
                factor = step
        if load.shape == "wave":
            factor *= 1.0 + load.swing * sin(2.0 * pi * at / (load.period_ms * 1000.0))
        elif load.shape == "bursty":
            while at >= self.burst_until:  # two states, exponential stays
                self.burst = not self.burst
                self.burst_until += self.rng.exponential(load.period_ms * 1000.0)
            factor *= 1.0 + (load.swing if self.burst else -load.swing)
        return factor

    def __iter__(self) -> Iterator[Asked]:
        """All of the run. What is sent near the end of a slice may arrive in the next: it is kept back."""
        kept: list[Asked] = []
        for begin in range(0, self.end, SLICE):
            end = min(begin + SLICE, self.end)
            rows = sorted(kept + self.slice(begin, end))  # ties are broken by the other fields, all drawn
            bound = next((i for i, row in enumerate(rows) if row.at >= end), len(rows))
            yield from rows[:bound]
            kept = rows[bound:]
        yield from kept

    def slice(self, begin: int, end: int) -> list[Asked]:
        """What is sent within a slice of time."""
        active = [s for s in self.swells if s.at < end and s.until > begin]
        rate, tenants, hot, hot_keys = self.rate * self.shape(begin), self.tenants, 0.0, 1
        for swell in active:
            if swell.kind == "load":
                rate *= swell.size
            elif swell.kind == "tenant_flood":
                tenants = tenants.copy()
                tenants[swell.tenant] *= swell.size
            else:
                hot, hot_keys = swell.size, swell.keys
        rate *= tenants.sum()
        n = int(self.rng.poisson(rate * (end - begin)))
        if not n:
            return []
        rng, conf = self.rng, self.scenario
        sent = (begin + rng.random(n) * (end - begin)).astype(np.int64)
        net = conf.network
        delay = net.client_ms * 1000.0 * (1.0 + net.jitter * (2.0 * rng.random(n) - 1.0))
        proxy = (rng.random(n) * conf.proxies).astype(np.int64)
        klass = np.searchsorted(np.cumsum(self.classes / self.classes.sum()), rng.random(n), side="right")
        klass = np.minimum(klass, len(conf.classes) - 1)
        tenant = np.searchsorted(np.cumsum(tenants / tenants.sum()), rng.random(n), side="right")
        tenant = np.minimum(tenant, len(tenants) - 1)
        key = np.minimum(np.searchsorted(self.keys, rng.random(n), side="right"), conf.keys.count - 1)
        heat = rng.random(n)
        if hot > 0.0:  # hot keys are not among the usual ones: nobody is warm for them
            key = np.where(heat < hot, conf.keys.count + (heat / hot * hot_keys).astype(np.int64), key)
        work, noise = self.draw_work(klass, n)
        low, high = conf.clients.try_share
        wait = low + (high - low) * self.clients.random(n)
        leaves = np.where(self.clients.random(n) < conf.clients.impatient, self.clients.random(n), 2.0)
        honours = self.clients.random(n) < conf.clients.honour
        columns = [sent + delay.astype(np.int64), sent, proxy, klass, tenant, key, work * noise, noise, wait]
        return [Asked(*row) for row in zip(*(c.tolist() for c in [*columns, leaves, honours]), strict=True)]

    def draw_work(self, klass: np.ndarray, n: int) -> tuple[np.ndarray, np.ndarray]:
        """Work of each request in standard microseconds, and the noise of its first attempt."""
        normal, expo, noise = self.work.standard_normal(n), self.work.standard_exponential(n), np.ones(n)
        again = self.work.standard_normal(n)
        work = np.empty(n)
        for k, c in enumerate(self.scenario.classes):
            of_k = klass == k
            mean = c.work_ms * 1000.0
            if c.dist == "fixed":
                work[of_k] = mean
            elif c.dist == "exp":
                work[of_k] = mean * expo[of_k]
            else:
                sigma = sqrt(log1p(c.cv**2))
                work[of_k] = mean * np.exp(sigma * normal[of_k] - sigma**2 / 2.0)
            noise[of_k] = np.exp(spread(c.attempt_noise) * again[of_k] - spread(c.attempt_noise) ** 2 / 2.0)
        return np.maximum(work, 1.0), noise


def spread(cv: float) -> float:
    """The sigma of a lognormal factor with mean 1 and this coefficient of variation."""
    return sqrt(log1p(cv**2))


def attempt_noise(cv: float, normal: float) -> float:
    """The noise of a further attempt, from a standard normal number."""
    sigma = spread(cv)
    return exp(sigma * normal - sigma**2 / 2.0)
