"""The traffic of a scenario: who asks for what and when, the same for every policy played on a seed."""

import random
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate
from math import pi, sin

from testbed.engines.scenario import ChainLink, RequestKind, Scenario

SWING, WAVE_MS = 0.15, 11_000.0  # traffic rises and falls by this share over such a span
TENANTS = (0.4, 0.25, 0.15, 0.1, 0.1)  # shares: a few of them large


@dataclass(slots=True)
class Wanted:
    """One request as its client wants it."""

    kind: RequestKind
    at_ms: float
    client: tuple[str, int]
    tenant: str
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    work_ms: float

    @property
    def size(self) -> float:
        """What its worth is measured by."""
        return sum(tokens for _, tokens in self.parts) + 10 * self.output_tokens


class _Things:
    """The shared parts at one depth, drawn by their popularity."""

    def __init__(self, name: str, link: ChainLink, rng: random.Random) -> None:
        self.ids = [f"{name}{number}" for number in range(link.things)]
        self.tokens = [max(1, int(link.tokens.draw(rng))) for _ in range(link.things)]
        self._sums = list(accumulate((number + 1) ** -link.skew for number in range(link.things)))

    def draw(self, rng: random.Random) -> tuple[str, int]:
        index = bisect(self._sums, rng.random() * self._sums[-1])
        return self.ids[min(index, len(self.ids) - 1)], self.tokens[min(index, len(self.ids) - 1)]


class Generator:
    """Draws all arrivals of a run."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        self._scenario = scenario
        self._rng = rng
        self._serial = 0
        self._things = {
            kind.name: [_Things(f"{kind.name}/{depth}/", link, rng) for depth, link in enumerate(kind.chain)]
            for kind in scenario.kinds
        }
        # A subject belongs to one first part, as a document belongs to one product.
        self._firsts: dict[str, tuple[str, int]] = {}

    def arrivals(self) -> Iterator[tuple[float, Wanted]]:
        """All requests of the run with the time of each, kind by kind."""
        for kind in self._scenario.kinds:
            most = kind.per_s * (1 + SWING) * self._most(kind)
            now = 0.0
            while most > 0:
                now += self._rng.expovariate(most) * 1_000
                if now >= self._scenario.length_ms:
                    break
                if self._rng.random() * most < self._rate(kind, now):
                    yield now, self._draw(kind, now)

    def _most(self, kind: RequestKind) -> float:
        bursts = [f.times for f in self._scenario.faults if f.what == "burst" and f.kind == kind.name]
        return max([1.0, *bursts])

    def _rate(self, kind: RequestKind, now: float) -> float:
        rate = kind.per_s * (1 + SWING * sin(2 * pi * now / WAVE_MS))
        for fault in self._scenario.faults:
            if fault.what == "burst" and fault.kind == kind.name and 0 <= now - fault.at_ms < fault.for_ms:
                rate *= fault.times
        return rate

    def _hot(self, kind: RequestKind, now: float) -> bool:
        for fault in self._scenario.faults:
            if fault.what == "hot_key" and fault.kind == kind.name and 0 <= now - fault.at_ms < fault.for_ms:
                return self._rng.random() < fault.share
        return False

    def _draw(self, kind: RequestKind, now: float) -> Wanted:
        rng, self._serial = self._rng, self._serial + 1
        zone = rng.choice(self._scenario.zones)
        client = (zone, rng.randrange(self._scenario.clients[zone]))
        tenant = f"t{rng.choices(range(len(TENANTS)), TENANTS)[0]}"
        if not kind.chain:
            return Wanted(kind, now, client, tenant, (), 0, kind.work_ms.draw(rng))
        subject = self._things[kind.name][-1].draw(rng)
        if self._hot(kind, now):
            subject = (f"{kind.name}/hot", int(kind.chain[-1].tokens.mean))
        parts = []
        if len(kind.chain) > 1:
            first = self._firsts.setdefault(subject[0], self._things[kind.name][0].draw(rng))
            parts.append(first)
        parts.append(subject)
        parts.append((f"own{self._serial}", max(1, int(kind.prompt.draw(rng)))))
        events = max(1, round(kind.events.draw(rng)))
        stride = self._stride(kind)
        return Wanted(kind, now, client, tenant, tuple(parts), 1 + events * stride, 0.0)

    def _stride(self, kind: RequestKind) -> int:
        for figures in self._scenario.services:
            if figures.name == kind.service and figures.engine is not None:
                return figures.engine.stride
        return 1
