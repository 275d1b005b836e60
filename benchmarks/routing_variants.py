"""Plays deployments drawn by seed with and without announcements between proxies, paired by seed.

    python -m benchmarks.routing_variants SITE.toml... [--variants N] [--length MS] [--jobs N]

A mechanism that was fitted to the known deployments loses on some of these. Figures are of the emulator.
"""

import argparse
import tomllib
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from testbed.engines.fleet import Fleet
from testbed.engines.policies import shipped
from testbed.engines.scenario import from_document
from testbed.engines.variants import drawn

NEWS_MS, NEWS_FAR_MS = 14.0, 12.0  # gathered by sender and relay; another zone's relay gathers once more


@dataclass(slots=True)
class Play:
    """One variant, with announcements or without."""

    site: str
    variant: int
    told: bool
    length_ms: float


@dataclass(slots=True)
class Earned:
    """Shares of worth."""

    shape: str
    whole: float
    worst_window: float
    kinds: dict[str, float]


def played(play: Play) -> Earned:
    """Play one variant."""
    scenario = from_document(drawn(tomllib.loads(Path(play.site).read_text()), play.variant))
    scenario.length_ms = play.length_ms
    if play.told:
        scenario.news_ms, scenario.news_far_ms = NEWS_MS, NEWS_FAR_MS
    results = Fleet(scenario, shipped, play.variant).play()
    engines = scenario.services[0]
    shape = (
        f"{len(scenario.zones)} zones, {sum(scenario.proxies.values())} proxies,"
        f" {sum(engines.servers.values())} engines of {engines.slots}"
    )
    kinds = {name: kind.worth / max(kind.worth_owed, 1e-9) for name, kind in results.kinds.items()}
    return Earned(shape, results.share, results.worst_window, kinds)


def line(play: Play, without: Earned, told: Earned) -> str:
    """One variant: what it earned without announcements, and with."""
    kinds = "  ".join(f"{name} {without.kinds[name]:.3f} {share:.3f}" for name, share in told.kinds.items())
    return (
        f"  {play.variant:3d} {told.shape:44s} {without.whole:.4f} {told.whole:.4f}"
        f"  windows {without.worst_window:.3f} {told.worst_window:.3f}  {kinds}"
    )


def main() -> None:
    """Read the arguments, play, print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--variants", type=int, default=6)
    parser.add_argument("--length", type=float, default=8_000.0, help="ms")
    parser.add_argument("--jobs", type=int, default=2)
    args = parser.parse_args()
    with ProcessPoolExecutor(args.jobs) as workers:
        for site in args.sites:
            print(f"{Path(site).stem}: without announcements, with them", flush=True)
            plays = [
                Play(site, variant, told, args.length)
                for variant in range(1, args.variants + 1)
                for told in (False, True)
            ]
            found = list(workers.map(played, plays))
            for number in range(0, len(plays), 2):
                print(line(plays[number], found[number], found[number + 1]), flush=True)


if __name__ == "__main__":
    main()
