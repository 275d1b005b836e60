"""Deployments that nobody tuned to, drawn by seed from one that is known.

The load that each engine is given stays what it was, so that a variant is neither idle nor overloaded by
chance alone; what is asked for, by whom and of which engines does not.
"""

import random
from copy import deepcopy
from typing import Any

SPEED_RANGE = (0.6, 1.6)  # of reading and of making tokens
SLOTS_RANGE = (0.5, 2.0)
MIX_RANGE = (0.4, 2.5)  # of one kind of request
WORTH_RANGE = (0.5, 2.0)
PROXIES_RANGE = (0.4, 1.4)
FEWEST_ZONES = 2


def drawn(site: dict[str, Any], seed: int) -> dict[str, Any]:
    """Another deployment of the same shape: mix, slots, engine speeds, zones, proxies and worths differ."""
    rng = random.Random(seed)
    variant = deepcopy(site)
    variant["name"] = f"{site['name']}-drawn-{seed}"
    _drop_zones(variant, rng)
    engine_time = 1.0
    for service in variant["services"]:
        if "llm" in service:
            engine_time = _change_engine(service, rng)
    _change_mix(variant, rng, 1.0 / engine_time)
    for kind in variant["classes"]:
        factor = rng.uniform(*WORTH_RANGE)
        kind["worth"] *= factor
        kind["late_worth"] *= factor
    for machine in variant["machines"]:
        machine["count"] = max(1, round(machine["count"] * rng.uniform(*PROXIES_RANGE)))
    return variant


def _drop_zones(variant: dict[str, Any], rng: random.Random) -> None:
    """Leave some zones out; those that stay take over the servers and the traffic."""
    zones = [zone["name"] for zone in variant["zones"]]
    kept = set(rng.sample(zones, rng.randint(min(FEWEST_ZONES, len(zones)), len(zones))))
    grown = len(zones) / len(kept)
    variant["zones"] = [zone for zone in variant["zones"] if zone["name"] in kept]
    variant["machines"] = [machine for machine in variant["machines"] if machine["zone"] in kept]
    variant["traffic"] = [entry for entry in variant["traffic"] if entry["zone"] in kept]
    for service in variant["services"]:
        service["servers"] = [entry for entry in service["servers"] if entry["zone"] in kept]
        for entry in service["servers"]:
            entry["count"] = max(1, round(entry["count"] * grown))
    for entry in variant["traffic"]:
        entry["per_s"] *= grown


def _change_engine(service: dict[str, Any], rng: random.Random) -> float:
    """Draw speeds and slots of an engine; returns by what a request takes longer there."""
    figures = service["llm"]
    reading, making = rng.uniform(*SPEED_RANGE), rng.uniform(*SPEED_RANGE)
    figures["prefill_tokens_per_ms"] *= reading
    figures["step_ms"] /= making
    figures["batch"] = service["slots"] = max(4, round(service["slots"] * rng.uniform(*SLOTS_RANGE)))
    return float(1.0 / reading)


def _change_mix(variant: dict[str, Any], rng: random.Random, rate: float) -> None:
    """Draw how often each kind is asked for; `rate` goes to all."""
    factors = {kind["name"]: rng.uniform(*MIX_RANGE) for kind in variant["classes"]}
    for entry in variant["traffic"]:
        entry["mix"] = {name: part * factors.get(name, 1.0) for name, part in entry["mix"].items()}
        entry["per_s"] *= rate
