"""What a run of the testbed came to: one record, written by the world and read by every experiment."""

from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct, field

LOWEST, HIGHEST, DIGITS = 1, 600_000_000, 3  # microseconds; ten minutes are beyond any deadline
MANY = 32  # servers beyond this are drawn by quantiles
QUANTILES = (0.0, 0.5, 0.9, 0.99, 1.0)


class Tally(Struct, kw_only=True):
    """What became of the requests of one class and tenant; a client's repeats belong to its first try."""

    klass: str
    tenant: str = ""
    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    worth_asked: float = 0.0
    worth_in_aim: float = 0.0


class Breach(Struct, kw_only=True):
    """A promise that was not kept, as seen from outside."""

    promise: str
    at: float  # milliseconds from the start
    text: str
    proxy: int = -1  # -1 where none is to blame alone
    request: int = -1


class Acted(Struct, kw_only=True):
    """A fault that acted, from when to when, in milliseconds."""

    kind: str
    at: float
    until: float
    text: str = ""  # on whom


class Series(Struct, kw_only=True):
    """Figures second by second, by the second of the arrival where they are of requests."""

    asked: dict[str, list[int]] = field(default_factory=dict)  # by class
    in_aim: dict[str, list[int]] = field(default_factory=dict)  # by class
    worth_asked: list[float] = field(default_factory=list)
    worth_in_aim: list[float] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)
    failed: list[int] = field(default_factory=list)
    held: list[float] = field(default_factory=list)  # at the end of the second, over all proxies
    attempts: list[int] = field(default_factory=list)  # by the second in which they were sent
    # held by each server at the end of the second: by its name, or by quantile ("q0.5") where there are many
    in_flight: dict[str, list[float]] = field(default_factory=dict)


class Cost(Struct, kw_only=True):
    """What the run took of the machine. No part of the digest: it is never twice the same."""

    wall_s: float = 0.0
    events: int = 0  # of the loop in virtual time
    memory_mb: float = 0.0  # the process's greatest resident size


class Process(Struct, kw_only=True):
    """One daemon of a run on sockets, over all its lives, sampled from outside."""

    proxy: int
    cpu_s: float = 0.0
    cpu_worst: float = 0.0  # of a core, in the busiest second
    memory_mb: float = 0.0  # the greatest resident size
    descriptors: int = 0  # the most held at once
    lives: int = 1
    ended: str = ""  # how the last life ended, where not in good order


class Live(Struct, kw_only=True):
    """What only a run on sockets has."""

    processes: list[Process] = field(default_factory=list)
    by_tenant: dict[str, str] = field(default_factory=dict)  # histograms by "class/tenant", as `latencies`
    lateness: str = ""  # histogram of how much later than intended requests were written
    behind: list[str] = field(default_factory=list)  # seconds in which the load or the fleet fell behind
    load_cpu: float = 0.0  # of a core, mean
    fleet_cpu: float = 0.0
    resent: int = 0  # requests written anew as the proxy had closed the connection meanwhile
    rude: int = 0  # rude connections, and those that were neither answered nor closed in time
    rude_left: int = 0
    excused: int = 0  # requests that a killed proxy held: nothing is held against it


class Result(Struct, kw_only=True):
    """One run. Works and worths are sums over the whole run."""

    scenario: str
    policy: str
    seed: int
    seconds: float = 0.0  # of virtual time, until the last answer
    tallies: list[Tally] = field(default_factory=list)
    latencies: dict[str, str] = field(default_factory=dict)  # by class, of what was served; microseconds
    attempts: int = 0
    repeats: int = 0  # attempts beyond a request's first
    probes: int = 0
    connects: int = 0  # connections that servers took
    cold_peak: float = 0.0  # the most sent to a cold server in a window, in what it could do then
    work_done: float = 0.0  # milliseconds of a standard core
    work_wasted: float = 0.0  # of it, what came to no answer that a client got
    ran_twice: int = 0
    series: Series = field(default_factory=Series)
    acted: list[Acted] = field(default_factory=list)
    breaches: list[Breach] = field(default_factory=list)
    breaches_dropped: int = 0  # beyond the bound of the list
    digest: str = ""  # over the sequence of all actions and outcomes
    cost: Cost = field(default_factory=Cost)
    live: Live | None = None

    def total(self, name: str, klass: str | None = None, tenant: str | None = None) -> float:
        """Sum of one field of the tallies, of one class or tenant where given."""
        return sum(
            getattr(t, name) for t in self.tallies if klass in (None, t.klass) and tenant in (None, t.tenant)
        )

    def goodput(self, klass: str | None = None, tenant: str | None = None) -> float:
        """Worth answered within the aim, over the worth asked for; 1 where nothing was asked."""
        asked = self.total("worth_asked", klass, tenant)
        return self.total("worth_in_aim", klass, tenant) / asked if asked else 1.0

    def attempts_a_request(self) -> float:
        """Attempts for each request that clients first asked."""
        return self.attempts / max(1.0, self.total("asked"))

    def wasted(self) -> float:
        """Share of the work done that came to nothing."""
        return self.work_wasted / self.work_done if self.work_done else 0.0

    def latency(self, klass: str | None = None) -> HdrHistogram:
        """Latencies in microseconds of what was served, of one class where given."""
        whole = histogram()
        for name, text in self.latencies.items():
            if klass in (None, name):
                whole.add(HdrHistogram.decode(text))
        return whole

    def percentile(self, share: float, klass: str | None = None) -> float:
        """Latency in milliseconds that this share (0 to 1) of what was served stayed under; 0 for none."""
        whole = self.latency(klass)
        return float(whole.get_value_at_percentile(100.0 * share)) / 1000.0 if whole.total_count else 0.0

    def classes(self) -> list[str]:
        return list(dict.fromkeys(t.klass for t in self.tallies))

    def tenants(self) -> list[str]:
        return list(dict.fromkeys(t.tenant for t in self.tallies if t.tenant))


def histogram() -> HdrHistogram:
    """An empty histogram of microseconds, to three digits."""
    return HdrHistogram(LOWEST, HIGHEST, DIGITS)


def encode(filled: HdrHistogram) -> str:
    """A histogram as text, as `Result.latencies` keeps it."""
    return str(filled.encode().decode("ascii"))


def save(results: list[Result], path: str | Path) -> None:
    """Write results as a JSON list."""
    Path(path).write_bytes(msgspec.json.encode(results))


def read(path: str | Path) -> list[Result]:
    """Read what `save` wrote; raises OSError, or ValueError for what is no list of results."""
    return msgspec.json.decode(Path(path).read_bytes(), type=list[Result])
