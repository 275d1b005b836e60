"""Plays ways of picking a server side by side before emulated engines, paired by seed.

    python -m benchmarks.routing_policies [SITE.toml] [--policies a,b] [--seeds N] [--load X] [--fault F+F]

Prints what each earned of the worth owed, with the standard error over the seeds.
Without a site file a deployment of our own is played. Figures are of the emulator, not of the bench.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from testbed.engines.fleet import Fleet
from testbed.engines.policies import POLICIES
from testbed.engines.results import Results
from testbed.engines.scenario import Fault, Scenario, example, from_site, standard_error

HEAVY_PROCESSES = 2  # at once: the machine is shared
FAULT_AT_MS, FAULT_FOR_MS = 11_000.0, 4_500.0


@dataclass(slots=True)
class Play:
    """One run to be played."""

    site: str
    load: float
    fault: str
    policy: str
    seed: int
    news_ms: float | None = None
    news_far_ms: float = 0.0


@dataclass(slots=True)
class Row:
    """What one run earned."""

    policy: str
    share: float
    worst_window: float
    worst_kind: float
    kept: float
    busy: float
    read_again: float
    kinds: dict[str, str]
    counters: dict[str, int]


def scenario_of(play: Play) -> Scenario:
    """The scenario of a run, with its fault."""
    scenario = from_site(Path(play.site), play.load) if play.site else example(play.load)
    scenario.news_ms, scenario.news_far_ms = play.news_ms, play.news_far_ms
    engines = scenario.services[0].name
    first = scenario.kinds[0].name
    second = scenario.kinds[1].name
    faults = {
        "none": [],
        "crash": [Fault("crash", FAULT_AT_MS, FAULT_FOR_MS, share=0.2, service=engines)],
        "dark": [Fault("dark", FAULT_AT_MS, FAULT_FOR_MS, share=0.2, service=engines)],
        "slow": [Fault("slow", FAULT_AT_MS, 2 * FAULT_FOR_MS, share=0.2, times=3.0, service=engines)],
        "burst": [Fault("burst", FAULT_AT_MS, FAULT_FOR_MS, times=1.5, kind=first)],
        "burst2": [Fault("burst", FAULT_AT_MS, FAULT_FOR_MS, times=1.6, kind=second)],
        "hot": [Fault("hot_key", FAULT_AT_MS, FAULT_FOR_MS, share=0.3, kind=first)],
    }
    for name in play.fault.split("+"):
        scenario.faults += faults[name]
    return scenario


def played(play: Play) -> Row:
    """Play one run."""
    results = Fleet(scenario_of(play), POLICIES[play.policy], play.seed).play()
    return Row(
        play.policy,
        results.share,
        results.worst_window,
        results.worst_kind,
        results.tokens_kept / max(1, results.tokens_kept + results.tokens_read),
        results.busy_share,
        results.read_again_tokens / 1e6,
        _kinds(results),
        results.counters,
    )


def _kinds(results: Results) -> dict[str, str]:
    rows = {}
    for name, kind in results.kinds.items():
        rows[name] = (
            f"{kind.worth / max(kind.worth_owed, 1e-9):.3f} in time {kind.in_time / max(kind.owed, 1):.3f}"
            f" late {kind.late_first / max(kind.owed, 1):.3f} paused {kind.late_gap / max(kind.owed, 1):.3f}"
            f" refused {kind.refused / max(kind.owed, 1):.3f}"
            f" first p50 {kind.first_ms(0.5):.0f} p90 {kind.first_ms(0.9):.0f} p99 {kind.first_ms(0.99):.0f}"
        )
    return rows


def main() -> None:
    """Read the arguments, play, print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", nargs="?", default="")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--fault", default="none")
    parser.add_argument("--news", type=float, default=None, help="ms until announcements reach the zone")
    parser.add_argument("--news-far", type=float, default=12.0, help="ms that other zones hear them later")
    parser.add_argument("--verbose", action="store_true")
    args = parser.parse_args()
    policies = args.policies.split(",")
    seeds = range(args.first_seed, args.first_seed + args.seeds)
    plays = [
        Play(args.site, args.load, args.fault, policy, seed, args.news, args.news_far)
        for policy in policies
        for seed in seeds
    ]
    with ProcessPoolExecutor(HEAVY_PROCESSES) as pool:
        rows = list(pool.map(played, plays))
    print(f"load {args.load} fault {args.fault} seeds {list(seeds)}")
    for policy in policies:
        own = [row for row in rows if row.policy == policy]
        shares = [row.share for row in own]
        count = len(own)
        print(
            f"{policy:16s} worth {sum(shares) / count:.4f} +-{standard_error(shares):.4f}"
            f" worst window {sum(r.worst_window for r in own) / count:.3f}"
            f" worst kind {sum(r.worst_kind for r in own) / count:.3f}"
            f" kept {sum(r.kept for r in own) / count:.3f} busy {sum(r.busy for r in own) / count:.3f}"
            f" read again M {sum(r.read_again for r in own) / count:.2f}"
        )
        if args.verbose:
            for name, text in own[0].kinds.items():
                print(f"    {name:14s} {text}")
            print(f"    {own[0].counters}")


if __name__ == "__main__":
    main()
