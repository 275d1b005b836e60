"""What is played: services, kinds of request, traffic and faults, read from a site file or written down
here.
"""

import random
import tomllib
from dataclasses import dataclass, field, fields
from math import exp, sqrt
from pathlib import Path
from typing import Any

from testbed.engines.engine import EngineFigures
from testbed.engines.plain import PlainFigures

ENGINE_FIGURES = [field.name for field in fields(EngineFigures) if field.name not in ("batch", "queue")]


@dataclass(slots=True)
class Spread:
    """A distribution by its mean, the spread of its logarithm, and its greatest value."""

    mean: float
    spread: float = 0.0
    most: float = float("inf")

    def draw(self, rng: random.Random) -> float:
        """One value: log-normal, cut off."""
        if not self.spread:
            return min(self.mean, self.most)
        value = self.mean * exp(rng.gauss(0.0, self.spread) - self.spread * self.spread / 2)
        return min(value, self.most)


@dataclass(slots=True)
class ChainLink:
    """Shared parts of prompts at one depth: how long they are and how many there are."""

    tokens: Spread
    things: int
    skew: float = 0.0


@dataclass(slots=True)
class RequestKind:
    """One kind of request. Rates are over the whole fleet."""

    name: str
    service: str
    per_s: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float
    priority: int
    attempts: int = 1
    retries: int = 1
    resumable: bool = False
    gap_aim_ms: float = 0.0
    events: Spread = field(default_factory=lambda: Spread(0.0))
    prompt: Spread = field(default_factory=lambda: Spread(0.0))
    chain: list[ChainLink] = field(default_factory=list)
    work_ms: Spread = field(default_factory=lambda: Spread(0.0))


@dataclass(slots=True)
class ServiceFigures:
    """One service: its servers by zone and how they behave."""

    name: str
    servers: dict[str, int]
    slots: int
    engine: EngineFigures | None = None
    plain: PlainFigures | None = None


@dataclass(slots=True)
class Fault:
    """Something that happens from `at_ms` for `for_ms`.

    `crash`, `dark` and `slow` strike a share of a service's servers, `burst` and `hot_key` a kind of request.
    """

    what: str
    at_ms: float
    for_ms: float
    share: float = 0.0
    times: float = 1.0
    kind: str = ""
    service: str = ""


@dataclass(slots=True)
class Scenario:
    """All that a run needs beside its seed."""

    name: str
    zones: list[str]
    proxies: dict[str, int]
    clients: dict[str, int]
    services: list[ServiceFigures]
    kinds: list[RequestKind]
    faults: list[Fault] = field(default_factory=list)
    length_ms: float = 30_000.0
    in_zone_ms: float = 0.2
    cross_zone_ms: float = 1.2
    client_ms: float = 1.0
    proxy_ms: float = 1.5  # to handle a message, each way
    detect_ms: float = 3_600.0  # until a silent server leaves the list: three heartbeats
    news_ms: float | None = None  # until a proxy's announcements reach its zone; None: there are none
    news_far_ms: float = 0.0  # and so much longer to other zones: relays gather
    again_ms: float = 3_000.0  # a shared part read again within this time is priced; 0: never


def _spread(table: dict[str, Any], most: float = float("inf")) -> Spread:
    return Spread(table["mean"], table.get("spread", 0.0), table.get("max", most))


def _kind(table: dict[str, Any], per_s: float) -> RequestKind:
    stream = table.get("stream", {})
    chain = [
        ChainLink(_spread(link["tokens"]), link["things"], link.get("skew", 0.0))
        for link in stream.get("chain", [])
    ]
    return RequestKind(
        name=table["name"],
        service=table["service"],
        per_s=per_s,
        aim_ms=table["aim_ms"],
        deadline_ms=table["deadline_ms"],
        worth=table["worth"],
        late_worth=table["late_worth"],
        priority=table["priority"],
        attempts=table.get("attempts", 1),
        retries=table.get("retries", 1),
        resumable=stream.get("resume", False),
        gap_aim_ms=stream.get("gap_aim_ms", 0.0),
        events=_spread(stream["pieces"]) if stream else Spread(0.0),
        prompt=_spread(stream["prompt_tokens"]) if stream else Spread(0.0),
        chain=chain,
        work_ms=_spread(table["work_ms"]) if "work_ms" in table else Spread(0.0),
    )


def _service(table: dict[str, Any], thin: float) -> ServiceFigures:
    servers = {entry["zone"]: max(1, round(entry["count"] * thin)) for entry in table["servers"]}
    llm = table.get("llm")
    if llm is None:
        servers = {entry["zone"]: entry["count"] for entry in table["servers"]}
        return ServiceFigures(
            table["name"], servers, table["slots"], plain=PlainFigures(table["slots"], table["queue"])
        )
    figures = EngineFigures(llm["batch"], table["queue"], **{name: llm[name] for name in ENGINE_FIGURES})
    return ServiceFigures(table["name"], servers, table["slots"], engine=figures)


def from_site(path: Path, load: float = 1.0) -> Scenario:
    """The figures of a site file, as played; `load` multiplies its usual traffic."""
    return from_document(tomllib.loads(path.read_text()), load)


def from_document(site: dict[str, Any], load: float = 1.0) -> Scenario:
    """The same of a site file that was read."""
    thin = site.get("thin", 1.0)
    rates: dict[str, float] = {}
    for entry in site["traffic"]:
        total = sum(entry["mix"].values())
        for name, part in entry["mix"].items():
            rates[name] = rates.get(name, 0.0) + entry["per_s"] * thin * load * part / total
    proxies: dict[str, int] = {}
    for machine in site["machines"]:
        proxies[machine["zone"]] = proxies.get(machine["zone"], 0) + machine["count"]
    return Scenario(
        name=site["name"],
        zones=[zone["name"] for zone in site["zones"]],
        proxies=proxies,
        clients={entry["zone"]: entry["clients"] for entry in site["traffic"]},
        services=[_service(table, thin) for table in site["services"]],
        kinds=[_kind(table, rates.get(table["name"], 0.0)) for table in site["classes"]],
        in_zone_ms=site["net"]["in_zone_ms"],
        cross_zone_ms=site["net"]["cross_zone_ms"],
        client_ms=site["net"]["client_ms"],
        detect_ms=3 * site["discovery"]["beat_ms"],
        again_ms=site["timing"].get("again_s", 0.0) * 1_000,  # left out where no part read again is priced
    )


def example(load: float = 1.0) -> Scenario:
    """A deployment of our own: long prompts with short answers beside long chats, and one plain service."""
    zones = ["a", "b", "c"]
    long_prompts = RequestKind(
        "verdict", "llm", 90.0 * load, 200.0, 2_000.0, 2.0, 0.5, 1, gap_aim_ms=180.0,
        events=Spread(2.0, 1.2, 6.0), prompt=Spread(2_800.0, 0.9, 16_000.0),
        chain=[
            ChainLink(Spread(2_500.0, 0.4, 6_000.0), 4),
            ChainLink(Spread(3_800.0, 0.7, 11_000.0), 1_000, 0.3),
        ],
    )  # fmt: skip
    chats = RequestKind(
        "chat", "llm", 7.0 * load, 150.0, 15_000.0, 3.0, 0.8, 0, attempts=2, resumable=True, gap_aim_ms=180.0,
        events=Spread(90.0, 0.8, 200.0), prompt=Spread(140.0, 0.8, 1_000.0),
        chain=[ChainLink(Spread(48.0, 0.4, 120.0), 20), ChainLink(Spread(32.0, 0.7, 95.0), 60, 0.3)],
    )  # fmt: skip
    lookups = RequestKind(
        "lookup", "app", 25.0 * load, 125.0, 1_200.0, 1.0, 0.3, 2, work_ms=Spread(25.0, 0.5, 200.0)
    )
    engines = ServiceFigures("llm", dict.fromkeys(zones, 2), 24, engine=EngineFigures(batch=24, queue=72))
    plain = ServiceFigures("app", dict.fromkeys(zones, 1), 6, plain=PlainFigures())
    return Scenario(
        "example",
        zones,
        dict.fromkeys(zones, 3),
        dict.fromkeys(zones, 16),
        [engines, plain],
        [long_prompts, chats, lookups],
    )


def standard_error(values: list[float]) -> float:
    """Of the mean of some values; 0 for fewer than two."""
    if len(values) < 2:
        return 0.0
    mean = sum(values) / len(values)
    return sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1) / len(values))
