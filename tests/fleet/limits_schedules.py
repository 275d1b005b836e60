"""Random troubles for a world of the limits, and what goes wrong in one."""

import random

from barleybarrow.limits.bounds import LimitBounds
from tests.fleet.limits_world import Demand, World, token_tenant

LENGTH = 20_000.0  # milliseconds that a troubled world is played


def troubled_world(seed: int, length: float, pause: float = 1500.0, lossy: bool = True) -> World:
    """One tenant far over its limit and one below it, and random troubles until shortly before the end."""
    rng = random.Random(seed)
    proxies = rng.choice([3, 5, 8, 12])
    rate = rng.choice([18_000.0, 100_000.0, 400_000.0])
    burst = rate * rng.choice([0.2, 1.0, 2.0])
    tenants = [token_tenant("hot", rate, burst), token_tenant("under", rate), token_tenant("rare", rate)]
    world = World(
        proxies,
        tenants,
        seed=seed,
        bounds=LimitBounds(quota_slack=rng.choice([0.0, 72_000.0])),
        drift=0.02,
        loss=rng.choice([0.0, 0.05, 0.3]) if lossy else 0.0,
        doubled=0.1 if lossy else 0.0,
        late=rng.choice([0.0, 0.05]) if lossy else 0.0,
    )
    weights = [rng.paretovariate(1.1) for _ in range(proxies)]
    cost = (rate / 100, rate / 10)
    world.demand(Demand("hot", 150.0, cost, weights, start=4000.0, repeats=0.8))
    world.demand(Demand("under", 20.0, cost, weights, start=4000.0))
    world.demand(Demand("rare", 1.0, cost, weights, start=4000.0))
    at = 4500.0
    while at < length - 4000.0:
        at += rng.expovariate(1.0 / pause)
        name = rng.choice(world.keepers + world.proxies)
        lasts = rng.choice([500.0, 2000.0, 6000.0, 25_000.0])
        do, undo = rng.choice([("kill", "start"), ("cut_off", "join")])
        world.at(at, "call", do, name)
        world.at(at + lasts, "call", undo, name)
    world.at(0.0, "check", 20.0)
    return world


def coming_and_going(seed: int) -> World:
    """A troubled world whose keepers all end again and again, and then half of the proxies."""
    world = troubled_world(seed, LENGTH, pause=1500.0, lossy=bool(seed % 2))
    world.durable = True
    at = 4000.0
    while at < LENGTH - 3000.0:
        lasts = world.rng.uniform(500.0, 6000.0)
        for name in world.keepers:
            world.at(at, "call", "kill", name)
            world.at(at + lasts, "call", "start", name)
        for name in world.rng.sample(world.proxies, len(world.proxies) // 2):
            world.at(at + 600.0, "call", "kill", name)
            world.at(at + 1500.0, "call", "start", name)
        at += lasts + world.rng.uniform(1000.0, 4000.0)
    return world


def broken(world: World) -> str:
    """What goes wrong in a troubled world; empty: nothing."""
    try:
        world.run(LENGTH)
    except AssertionError as error:
        return str(error)
    for name in world.tenants:
        if world.excess(name) > 0.0:
            return f"{name}: {world.excess(name)} over the bound"
    if world.retry_excess() > 0.0:
        return f"retries: {world.retry_excess()} over the budget"
    return ""
