"""What a run earned: worth by kind and by time, answers in time and late, and what was read again."""

from dataclasses import dataclass, field

from barleybarrow.routing.actions import Counters
from testbed.engines.engine import Engine
from testbed.engines.scenario import RequestKind, Scenario
from testbed.engines.workload import Wanted

WINDOW_MS = 3_000.0  # of the worst window
SIZE_BASE, SIZE_SHARE, MOST_WORTH = 0.3, 0.7, 4.0  # worth by size, as the rules have it


@dataclass(slots=True)
class Try:
    """One try of a client: when its events came."""

    wanted: Wanted
    number: int
    began: float
    first_at: float | None = None
    last_at: float = 0.0
    longest_gap: float = 0.0

    def event(self, now: float) -> None:
        """Note an event that has reached the client."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now


@dataclass(slots=True)
class KindResult:
    """Counts of one kind of request."""

    owed: int = 0
    in_time: int = 0
    late_first: int = 0
    late_gap: int = 0
    refused: int = 0
    worth_owed: float = 0.0
    worth: float = 0.0
    firsts: list[float] = field(default_factory=list)

    def first_ms(self, share: float) -> float:
        """A quantile of the time to the first event."""
        ordered = sorted(self.firsts)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


class Results:
    """What one run earned."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.kinds: dict[str, KindResult] = {kind.name: KindResult() for kind in scenario.kinds}
        self.read_again_tokens = 0
        self.sends = self.cross_zone = 0
        self.refusals: dict[str, int] = {}
        self.tokens_read = self.tokens_kept = 0
        self.busy_share = 0.0
        self.counters: dict[str, int] = {}
        self._windows: dict[int, list[float]] = {}
        self._mean_size: dict[str, float] = {}

    def owe(self, wanted: Wanted) -> None:
        """Note a request that is worth something from now on."""
        result = self.kinds[wanted.kind.name]
        result.owed += 1
        worth = self._worth(wanted)
        result.worth_owed += worth
        self._window(wanted.at_ms)[0] += worth

    def served(self, record: Try, now: float) -> None:
        """Note a whole answer."""
        wanted, kind = record.wanted, record.wanted.kind
        result = self.kinds[kind.name]
        assert record.first_at is not None
        first_ms = record.first_at - wanted.at_ms
        result.firsts.append(first_ms)
        late_first = first_ms > kind.aim_ms
        late_gap = bool(kind.gap_aim_ms) and record.longest_gap > kind.gap_aim_ms
        share = 1.0
        if late_first or late_gap:
            share = kind.late_worth / kind.worth
            result.late_first += late_first
            result.late_gap += late_gap and not late_first
        else:
            result.in_time += 1
            share = 0.5 if record.number else 1.0
        worth = self._worth(wanted) * share
        result.worth += worth
        self._window(wanted.at_ms)[1] += worth

    def refused(self, record: Try, reason: str) -> None:
        """Note a refusal."""
        self.kinds[record.wanted.kind.name].refused += 1
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def sent(self, kind: RequestKind, cross_zone: bool) -> None:
        """Note a sending."""
        self.sends += 1
        self.cross_zone += cross_zone

    def close(self, engines: list[Engine], counters: list[Counters]) -> None:
        """Take up what the engines and the proxies counted."""
        self.tokens_read = sum(engine.counters.tokens_read for engine in engines)
        self.tokens_kept = sum(engine.counters.tokens_kept for engine in engines)
        busy = sum(engine.counters.busy_ms for engine in engines)
        self.busy_share = busy / max(1, len(engines)) / self.scenario.length_ms
        for own in counters:
            for name, count in own.counts.items():
                self.counters[name] = self.counters.get(name, 0) + count

    @property
    def share(self) -> float:
        """Worth earned over worth owed."""
        owed = sum(result.worth_owed for result in self.kinds.values())
        return sum(result.worth for result in self.kinds.values()) / owed if owed else 0.0

    @property
    def worst_window(self) -> float:
        """The mean of the two worst windows of arrivals."""
        shares = sorted(earned / owed for owed, earned in self._windows.values() if owed)
        return sum(shares[:2]) / max(1, len(shares[:2]))

    @property
    def worst_kind(self) -> float:
        """The least share of worth over the kinds of request."""
        return min((r.worth / r.worth_owed for r in self.kinds.values() if r.worth_owed), default=0.0)

    def _window(self, at_ms: float) -> list[float]:
        return self._windows.setdefault(int(at_ms / WINDOW_MS), [0.0, 0.0])

    def _worth(self, wanted: Wanted) -> float:
        kind = wanted.kind
        if not kind.chain:
            return kind.worth
        mean = self._mean_size.setdefault(kind.name, self._expected_size(wanted))
        return kind.worth * min(MOST_WORTH, SIZE_BASE + SIZE_SHARE * wanted.size / mean)

    def _expected_size(self, wanted: Wanted) -> float:
        kind = wanted.kind
        stride = 1
        for figures in self.scenario.services:
            if figures.name == kind.service and figures.engine is not None:
                stride = figures.engine.stride
        shared = sum(link.tokens.mean for link in kind.chain)
        return shared + kind.prompt.mean + 10 * kind.events.mean * stride
