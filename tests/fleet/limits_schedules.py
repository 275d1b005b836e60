"""Fault schedules for simulations of the shared limits, drawn from a seed, and the check of a run."""

import random

from barleybarrow.limits.bounds import LimitBounds
from tests.fleet.limits_world import Demand, LimitsSimulation, token_tenant

SIMULATION_MS = 20_000.0


def random_faults(
    seed: int, length_ms: float, mean_pause_ms: float = 1500.0, lossy: bool = True
) -> LimitsSimulation:
    """A tenant far over its limit and one below it, with random faults until shortly before the end."""
    rng = random.Random(seed)
    proxies = rng.choice([3, 5, 8, 12])
    rate = rng.choice([18_000.0, 100_000.0, 400_000.0])
    burst = rate * rng.choice([0.2, 1.0, 2.0])
    tenants = [token_tenant("hot", rate, burst), token_tenant("under", rate), token_tenant("rare", rate)]
    sim = LimitsSimulation(
        proxies,
        tenants,
        seed=seed,
        bounds=LimitBounds(quota_slack=rng.choice([0.0, 72_000.0])),
        max_drift=0.02,
        loss_rate=rng.choice([0.0, 0.05, 0.3]) if lossy else 0.0,
        duplicate_rate=0.1 if lossy else 0.0,
        delay_rate=rng.choice([0.0, 0.05]) if lossy else 0.0,
    )
    weights = [rng.paretovariate(1.1) for _ in range(proxies)]
    cost = (rate / 100, rate / 10)
    sim.add_demand(Demand("hot", 150.0, cost, weights, starts_at=4000.0, retry_share=0.8))
    sim.add_demand(Demand("under", 20.0, cost, weights, starts_at=4000.0))
    sim.add_demand(Demand("rare", 1.0, cost, weights, starts_at=4000.0))
    at = 4500.0
    while at < length_ms - 4000.0:
        at += rng.expovariate(1.0 / mean_pause_ms)
        name = rng.choice(sim.acceptors + sim.proxies)
        duration_ms = rng.choice([500.0, 2000.0, 6000.0, 25_000.0])
        start_fault, end_fault = rng.choice([("kill", "start"), ("cut_off", "reconnect")])
        sim.schedule(at, "call", start_fault, name)
        sim.schedule(at + duration_ms, "call", end_fault, name)
    sim.schedule(0.0, "check", 20.0)
    return sim


def repeated_restarts(seed: int) -> LimitsSimulation:
    """Random faults; all acceptors are also restarted repeatedly, and then half of the proxies."""
    sim = random_faults(seed, SIMULATION_MS, mean_pause_ms=1500.0, lossy=bool(seed % 2))
    sim.durable = True
    at = 4000.0
    while at < SIMULATION_MS - 3000.0:
        duration_ms = sim.rng.uniform(500.0, 6000.0)
        for name in sim.acceptors:
            sim.schedule(at, "call", "kill", name)
            sim.schedule(at + duration_ms, "call", "start", name)
        for name in sim.rng.sample(sim.proxies, len(sim.proxies) // 2):
            sim.schedule(at + 600.0, "call", "kill", name)
            sim.schedule(at + 1500.0, "call", "start", name)
        at += duration_ms + sim.rng.uniform(1000.0, 4000.0)
    return sim


def run_and_check(sim: LimitsSimulation) -> str:
    """Run a simulation; returns its first violation, or an empty string."""
    try:
        sim.run(SIMULATION_MS)
    except AssertionError as error:
        return str(error)
    for name in sim.tenants:
        if sim.excess_share(name) > 0.0:
            return f"{name}: {sim.excess_share(name)} over the bound"
    if sim.excess_retries() > 0.0:
        return f"retries: {sim.excess_retries()} over the budget"
    return ""
