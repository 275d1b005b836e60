"""Many runs: what to play, on how many cores, and what the difference between two policies is worth."""

import multiprocessing
import os
import re
from collections.abc import Callable, Iterator, Sequence
from math import inf, nan, sqrt
from statistics import NormalDist, fmean, stdev
from typing import Any, NamedTuple

import msgspec

from testbed.policies import POLICIES, PROBING
from testbed.results import Result
from testbed.scenario import Scenario, ScenarioError, load

# Two-sided 95% points of Student's t by degrees of freedom; beyond the table a normal's, widened (Abramowitz
# and Stegun, Handbook of Mathematical Functions, 26.7.5).
T95 = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228]
T95 += [2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086]
RANDOM = "random:"  # before a seed: the scenario that chance draws with it


class Job(NamedTuple):
    """One run."""

    scenario: Scenario
    policy: str
    seed: int
    until: float | None = None


class Difference(NamedTuple):
    """The mean of paired differences, and half the width of its 95% interval by Student's t."""

    mean: float
    half: float  # infinite for a single pair
    pairs: int

    def beyond(self, bound: float = 0.0) -> bool:
        """Whether the whole interval lies above a bound."""
        return self.mean - self.half > bound


def find(name: str) -> Scenario:
    """A scenario by file, by the name of one that comes with the testbed, or `random:SEED`."""
    if not name.startswith(RANDOM):
        return load(name)
    from testbed.chance import random_scenario

    return random_scenario(whole("seed", name.removeprefix(RANDOM)))


def whole(what: str, text: str) -> int:
    """A whole number that is not negative."""
    if not text.isascii() or not text.isdigit():
        raise ScenarioError(f"{what} `{text}`: a whole number is wanted")
    return int(text)


def seeds(text: str) -> list[int]:
    """`A..B` (both are played), or numbers with commas between."""
    first, dots, last = text.partition("..")
    if dots:
        found = list(range(whole("seeds", first), whole("seeds", last) + 1))
    else:
        found = [whole("seeds", part) for part in text.split(",")]
    if not found:
        raise ScenarioError(f"seeds `{text}`: the last is under the first")
    return found


def known(policy: str) -> str:
    """The policy's name, if there is such a one."""
    if policy not in POLICIES:
        raise ScenarioError(f"policy `{policy}`: known are {', '.join(POLICIES)}")
    return policy


def altered(scenario: Scenario, path: str, value: Any) -> Scenario:
    """The scenario with one setting changed; a path is like `load.of_capacity` or `classes.0.aim`.

    Raises ScenarioError with one line where there is no such setting or the value is out of its range.
    """
    tree = msgspec.to_builtins(scenario)
    node, steps = tree, re.split(r"[.\[\]]+", path.strip("]"))
    try:
        for step in steps[:-1]:
            node = node[int(step) if isinstance(node, list) else step]
        key = int(steps[-1]) if isinstance(node, list) else steps[-1]
        node[key]  # a setting that is not there is no setting
        node[key] = value
    except (KeyError, IndexError, ValueError, TypeError):
        raise ScenarioError(f"no setting `{path}`") from None
    try:
        return msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"`{path}` = {value!r}: {error}") from None


def play(job: Job) -> Result:
    """Carry out one run. A policy that cannot work without load reports is given them; the module is not."""
    from testbed.world import run

    scenario = job.scenario
    if job.policy in PROBING and not scenario.rules.probe_reports:
        rules = msgspec.structs.replace(scenario.rules, probing=True, probe_reports=["inflight", "latency"])
        scenario = msgspec.structs.replace(scenario, rules=rules)
    return run(scenario, job.seed, policy=job.policy, until=job.until)


def numbered(job: tuple[int, Job]) -> tuple[int, Result]:
    return job[0], play(job[1])


def play_all(
    jobs: Sequence[Job], cores: int | None = None, done: Callable[[Result], None] | None = None
) -> list[Result]:
    """Play runs on several cores; their results in the order of the jobs, and `done` is told of each."""
    results: dict[int, Result] = {}
    for n, result in in_any_order(list(enumerate(jobs)), cores or os.cpu_count() or 1):
        results[n] = result
        if done is not None:
            done(result)
    return [results[n] for n in range(len(jobs))]


def in_any_order(jobs: list[tuple[int, Job]], cores: int) -> Iterator[tuple[int, Result]]:
    if min(cores, len(jobs)) <= 1:
        yield from map(numbered, jobs)
        return
    # Spawned: a forked child would inherit whatever threads and locks the caller has.
    with multiprocessing.get_context("spawn").Pool(min(cores, len(jobs)), maxtasksperchild=32) as pool:
        yield from pool.imap_unordered(numbered, jobs)


def difference(a: Sequence[float], b: Sequence[float]) -> Difference:
    """Of b from a, pair by pair."""
    gaps = [y - x for x, y in zip(a, b, strict=True)]
    if len(gaps) < 2:
        return Difference(gaps[0] if gaps else nan, inf, len(gaps))
    return Difference(fmean(gaps), t95(len(gaps) - 1) * stdev(gaps) / sqrt(len(gaps)), len(gaps))


def t95(freedom: int) -> float:
    """The two-sided 95% point of Student's t."""
    if freedom <= len(T95):
        return T95[freedom - 1]
    z = NormalDist().inv_cdf(0.975)
    return z + (z**3 + z) / (4 * freedom) + (5 * z**5 + 16 * z**3 + 3 * z) / (96 * freedom**2)


FIGURES: dict[str, Callable[[Result], float]] = {
    "goodput": lambda r: r.goodput(),
    "p99": lambda r: r.percentile(0.99),
    "attempts": lambda r: r.attempts_a_request(),
}


def paired(a: Sequence[Result], b: Sequence[Result]) -> dict[str, list[tuple[Result, Result]]]:
    """By scenario, the runs of both that share a seed, in the order of seeds."""
    first = {(r.scenario, r.seed): r for r in a}
    second = {(r.scenario, r.seed): r for r in b}
    pairs: dict[str, list[tuple[Result, Result]]] = {}
    for scenario, seed in sorted(first.keys() & second.keys()):
        pairs.setdefault(scenario, []).append((first[scenario, seed], second[scenario, seed]))
    return pairs


def aligned(rows: Sequence[Sequence[str]]) -> str:
    """Rows as text in columns; the first is the head, and the first column stands to the left."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
