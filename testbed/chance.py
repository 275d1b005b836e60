"""Scenarios drawn by chance: small worlds with several troubles at once, for the oracle to watch over.

A seed is the whole bug report: the same seed draws the same scenario.
"""

from typing import Any

import msgspec
import numpy as np

from testbed.scenario import Scenario

SECONDS = (4.0, 9.0)  # long enough for a crash, a cold return and what follows
MOST_SERVERS, MOST_PROXIES = 14, 6
MOST_RATE = 260.0  # requests a second: a run takes some seconds of one core at most
KINDS = (
    "slow",
    "hang",
    "quick_errors",
    "crash",
    "drain",
    "replace",
    "partition",
    "discovery_silent",
    "discovery_stale",
    "discovery_whole",
    "late_answers",
    "lost_answers",
    "resets",
    "proxy_restart",
    "hot_key",
    "tenant_flood",
    "load",
)
OF_CLASSES = ("safe", "keyed", "unsafe")


def random_scenario(seed: int) -> Scenario:
    """The scenario of a seed, checked as one that is read from a file."""
    rng = np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=(1000,))))
    draw = Draw(rng)
    servers, proxies = draw.whole(1, MOST_SERVERS), draw.whole(1, MOST_PROXIES)
    zones = ["a", "b", "c"][: draw.whole(1, 3)]
    aim = draw.log(60.0, 800.0)
    classes = [a_class(draw, aim, i) for i in range(draw.whole(1, 3))]
    kinds = [a_kind(draw, aim, i) for i in range(draw.whole(1, 2))]
    tenants = [
        {"name": f"t{i}", "share": draw.within(0.5, 2.0), "quota": draw.within(0.1, 1.0)}
        for i in range(draw.pick((0, 0, 2, 3)))
    ]
    seconds = draw.within(*SECONDS)
    conf: dict[str, Any] = {
        "name": f"random-{seed}",
        "about": "drawn by chance",
        "seconds": seconds,
        "servers": servers,
        "proxies": proxies,
        "zones": zones,
        "cell_size": draw.whole(1, 5),
        "classes": classes,
        "kinds": kinds,
        "tenants": tenants,
        "keys": {"count": 200, "zipf": draw.within(0.0, 1.2), "affinity_gain": draw.pick((0.0, 0.4))},
        "load": {
            "of_capacity": draw.log(0.1, 1.6),
            "shape": draw.pick(("steady", "bursty", "wave")),
            "swing": draw.within(0.0, 0.6),
            "period_ms": draw.log(500.0, 5000.0),
        },
        "network": {
            "same_ms": draw.within(0.05, 1.0),
            "cross_ms": draw.within(0.3, 4.0),
            "jitter": draw.within(0.0, 0.9),
            "loss": draw.pick((0.0, 0.0, 0.002, 0.02)),
            "idle_ms": draw.pick((300.0, 3000.0, 15000.0)),
            "connect_timeout": draw.within(40.0, 300.0),
        },
        "discovery": {
            "mode": draw.pick(("push", "push", "ask")),
            "period_ms": draw.within(50.0, 600.0),
            "spread_ms": draw.within(0.0, 200.0),
            "add_ms": draw.within(50.0, 2500.0),
            "drain_notice_ms": draw.within(700.0, 4000.0),
            "gone_ms": draw.within(300.0, 4000.0),
            "loss": draw.pick((0.0, 0.0, 0.2)),
            "born_known": draw.pick((True, True, False)),
        },
        "rules": {
            "tick": draw.pick((1.0, 5.0)),
            "max_attempts": draw.whole(1, 4),
            "parallel": draw.pick((True, False)),
            "cancelling": draw.pick((True, False)),
            "max_retry_after": draw.pick((0.0, 600.0)),
            "drain_grace": draw.pick((200.0, 500.0)),
            "hang_up_within": draw.pick((0.0, 1000.0)),
            "tip_multiple": draw.within(2.0, 4.0),
            "tip_after": draw.within(300.0, 1500.0),
        },
        "clients": {
            "retries": draw.whole(0, 2),
            "backoff_ms": draw.within(5.0, 150.0),
            "honour": draw.within(0.0, 1.0),
            "marks_retry": draw.pick((True, False)),
            "impatient": draw.pick((0.0, 0.01, 0.2)),
            "try_share": [0.5, 1.0],
        },
        "clocks": {"offset_ms": draw.pick((0.0, 5000.0)), "drift_ppm": draw.pick((0.0, 200.0))},
    }
    if draw.pick((True, False, False)):
        conf["rules"] |= {"probing": True, "probe_reports": ["inflight"]}
    conf["faults"] = [a_fault(draw, seconds, tenants) for _ in range(draw.whole(0, 5))]
    scenario = msgspec.convert(conf, Scenario)
    if scenario.rate() > MOST_RATE:
        load = msgspec.structs.replace(scenario.load, rate=MOST_RATE)
        scenario = msgspec.structs.replace(scenario, load=load)
    return scenario


class Draw:
    """Numbers and choices from one stream."""

    def __init__(self, rng: np.random.Generator) -> None:
        self.rng = rng

    def whole(self, low: int, high: int) -> int:
        """A whole number, both ends included."""
        return int(self.rng.integers(low, high + 1))

    def within(self, low: float, high: float) -> float:
        return round(low + (high - low) * float(self.rng.random()), 3)

    def log(self, low: float, high: float) -> float:
        """As likely to lie between 1 and 2 as between 10 and 20."""
        return round(low * (high / low) ** float(self.rng.random()), 3)

    def pick(self, choices: tuple[Any, ...]) -> Any:
        return choices[int(self.rng.integers(len(choices)))]


def a_class(draw: Draw, aim: float, number: int) -> dict[str, Any]:
    effect = draw.pick(OF_CLASSES)
    aim = round(aim * draw.within(0.7, 1.6), 1)
    deadline = round(aim * draw.within(1.2, 3.0), 1)
    return {
        "name": f"c{number}",
        "share": draw.within(0.3, 1.0),
        "work_ms": round(aim * draw.within(0.03, 0.25), 2),
        "dist": draw.pick(("fixed", "exp", "lognormal")),
        "cv": draw.within(0.3, 1.4),
        "aim": aim,
        "deadline": deadline,
        "worth": draw.within(0.5, 8.0),
        "late_worth": draw.pick((0.0, 0.0, 0.3)),
        "effect": effect,
        "group": draw.pick(("all", "all", "zone", "cell")) if effect == "keyed" else "all",
        "window": round(deadline * draw.within(1.0, 4.0), 1) if effect == "keyed" else 0.0,
    }


def a_kind(draw: Draw, aim: float, number: int) -> dict[str, Any]:
    return {
        "name": f"k{number}",
        "share": draw.within(0.3, 1.0),
        "cores": draw.whole(1, 4),
        "speed": draw.within(0.5, 2.0),
        "speed_cv": draw.within(0.0, 0.3),
        "slots_per_core": draw.within(1.0, 8.0),
        "queue_per_core": draw.within(0.0, 2.0),
        "thrash": draw.within(0.0, 0.8),
        "cold_from": draw.within(0.15, 0.9),
        "cold_ms": round(aim * draw.within(2.0, 14.0), 1),
        "warm_by": draw.pick(("time", "work")),
        "error_rate": draw.pick((0.0, 0.0, 0.01)),
        "cancel_stops": draw.pick((True, False)),
        "connections_per_core": draw.pick((4.0, 20.0, 100.0)),
    }


def a_fault(draw: Draw, seconds: float, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    kind = draw.pick(KINDS if tenants else tuple(k for k in KINDS if k != "tenant_flood"))
    size = 1.0
    if kind in ("quick_errors", "lost_answers", "resets", "hot_key"):
        size = draw.within(0.05, 1.0)
    elif kind == "slow":
        size = draw.log(1.5, 10.0)
    elif kind in ("load", "tenant_flood"):
        size = draw.log(0.5, 5.0)
    elif kind == "late_answers":
        size = draw.log(10.0, 1000.0)
    elif kind == "discovery_stale":
        size = draw.log(200.0, 4000.0)
    elif kind == "proxy_restart":
        size = draw.pick((0.0, 1.0))
    return {
        "kind": kind,
        "at": draw.within(0.0, 700.0 * seconds),
        "lasts": draw.log(200.0, 4000.0),
        "every": draw.pick((0.0, 0.0, 2500.0)),
        "chance": draw.pick((1.0, 0.6)),
        "part": draw.within(0.05, 1.0),
        "size": size,
        "keys": draw.whole(1, 3),
        "tenant": tenants[0]["name"] if kind == "tenant_flood" else "",
        "gap_ms": draw.within(10.0, 1500.0),
        "stagger_ms": draw.pick((0.0, 150.0)),
    }
