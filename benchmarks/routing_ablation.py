"""Takes one mechanism of routing away at a time and plays the rest before emulated engines, paired by seed.

    python -m benchmarks.routing_ablation SITE.toml... [--seeds N] [--load X] [--length MS] [--only a,b]

Prints for each site and mechanism what is lost of the worth without it, with the standard error of the paired
differences. Figures are of the emulator, not of the bench.
"""

import argparse
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest.mock import patch

from barleybarrow.routing import pool, selection
from barleybarrow.routing.outliers import ServerHealth
from barleybarrow.routing.pool import ServerRecord
from barleybarrow.routing.profiles import RouteProfile
from barleybarrow.routing.thresholds import AdaptiveConcurrencyLimit
from testbed.engines.fleet import Fleet
from testbed.engines.policies import shipped
from testbed.engines.scenario import Fault, from_site, standard_error

NEWS_MS, NEWS_FAR_MS = 14.0, 12.0  # gathered by sender and relay; another zone's relay gathers once more
WHOLE = "nothing"
ANNOUNCEMENTS = "announcements"
CRASH_AT_MS, CRASH_FOR_MS, CRASH_SHARE = 5_000.0, 4_500.0, 0.15


@dataclass(slots=True)
class Patch:
    """One attribute that stands differently while a mechanism is away."""

    target: object
    attribute: str
    value: Any


MECHANISMS: dict[str, list[Patch]] = {
    WHOLE: [],
    ANNOUNCEMENTS: [],  # the scenario has none then
    "homes of subjects first": [Patch(selection, "MAX_PREFERRED_COST_RATIO", -1.0)],
    "subjects sent elsewhere count": [Patch(selection, "UNANNOUNCED_CACHED_SHARE", 0.0)],
    "servers kept for streams": [Patch(pool, "servers_for_streams", lambda *_: 0)],
    "routes known to stream": [Patch(RouteProfile, "is_streaming", False)],
    "slots held by streams": [Patch(ServerRecord, "stream_occupancy", 0.0)],
    "reading in one go is bounded": [
        Patch(selection, "STALL_WEIGHT", 0.0),
        Patch(selection, "STREAMS_STALL_WEIGHT", 0.0),
    ],
    "own streams are spared": [Patch(selection, "OWN_STALL_WEIGHT", 0.0)],
    "reading again has a price": [Patch(selection, "RECOMPUTE_PENALTY_RATIO", 0.0)],
    "idle servers first": [
        Patch(AdaptiveConcurrencyLimit, "limit", property(lambda _: 1e9, lambda *_: None))
    ],
    "ejection": [Patch(ServerHealth, "eject", lambda *_: None)],
    "all servers are weighed": [Patch(pool, "MAX_FULL_SCAN_SERVERS", 0)],
}


@dataclass(slots=True)
class Play:
    """One run with one mechanism taken away."""

    site: str
    mechanism: str
    seed: int
    load: float
    length_ms: float


@dataclass(slots=True)
class Earned:
    """Shares of worth that one run earned."""

    whole: float
    kinds: dict[str, float]


def played(play: Play) -> Earned:
    """Play one run; some servers crash halfway, so that ejection has something to do."""
    scenario = from_site(Path(play.site), play.load)
    scenario.length_ms = play.length_ms
    if play.mechanism != ANNOUNCEMENTS:
        scenario.news_ms, scenario.news_far_ms = NEWS_MS, NEWS_FAR_MS
    engines = scenario.services[0].name
    scenario.faults = [Fault("crash", CRASH_AT_MS, CRASH_FOR_MS, share=CRASH_SHARE, service=engines)]
    with ExitStack() as stack:
        for change in MECHANISMS[play.mechanism]:
            stack.enter_context(patch.object(change.target, change.attribute, change.value))
        results = Fleet(scenario, shipped, play.seed).play()
    kinds = {name: kind.worth / max(kind.worth_owed, 1e-9) for name, kind in results.kinds.items()}
    return Earned(results.share, kinds)


def row(mechanism: str, whole: Sequence[Earned], without: Sequence[Earned]) -> str:
    """One line of the table: what is lost without the mechanism, over the seeds."""
    lost = [first.whole - second.whole for first, second in zip(whole, without, strict=True)]
    kinds = "  ".join(
        f"{name} {sum(earned.kinds[name] for earned in without) / len(without):.3f}"
        for name in without[0].kinds
    )
    return f"{mechanism:32s} {sum(lost) / len(lost):+.4f} +-{standard_error(lost):.4f}   {kinds}"


def main() -> None:
    """Read the arguments, play, print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--length", type=float, default=12_000.0, help="ms")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default="", help="names of mechanisms, separated by commas")
    args = parser.parse_args()
    mechanisms = [WHOLE] + [name for name in MECHANISMS if name != WHOLE]
    if args.only:
        mechanisms = [WHOLE, *args.only.split(",")]
    seeds = range(1, args.seeds + 1)
    with ProcessPoolExecutor(args.jobs) as workers:
        for site in args.sites:
            plays = [Play(site, name, seed, args.load, args.length) for name in mechanisms for seed in seeds]
            found = list(workers.map(played, plays))
            by_name = {
                name: found[number * args.seeds : (number + 1) * args.seeds]
                for number, name in enumerate(mechanisms)
            }
            whole = by_name[WHOLE]
            print(
                f"{Path(site).stem}: {sum(e.whole for e in whole) / len(whole):.4f} of the worth", flush=True
            )
            for name in mechanisms:
                print("  " + row(name, whole, by_name[name]), flush=True)


if __name__ == "__main__":
    main()
