"""Plays soaks of many seeds: `python -m tests.fleet.play_client_soak FIRST COUNT [PROXIES] [SECONDS]`.

The processes' logs of a seed with breaches are kept; the folder is printed.
"""

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from tests.fleet.client_soak import ClientSoak
from tests.fleet.client_soak_oracle import breaches, runs_for_clients_that_left

PROXIES, SECONDS = 3, 10.0
MIN_LASTING = 10  # runs that put the rule on clients that left to the test


def main(first: int, count: int, proxies: int = PROXIES, seconds: float = SECONDS) -> int:
    """Print each seed's figures and breaches; returns the number of seeds with breaches."""
    failed = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        history = asyncio.run(ClientSoak(seed, folder, proxies, seconds).play())
        found = breaches(history, MIN_LASTING)
        failed += bool(found)
        if found:
            found.append(f"logs: {folder}")
        else:
            shutil.rmtree(folder)
        lasting, worked_on, late = runs_for_clients_that_left(history)
        signals = sum(map(len, history.signals.values()))
        print(
            f"seed {seed}: {len(history.requests)} requests, {len(history.runs)} runs, {lasting} would have"
            f" outlasted their clients, {worked_on} did, {late} arrived late; {signals} signals and ends,"
            f" {history.changes} changes",
            *found[-6:],
            sep="\n  ",
            flush=True,
        )
    print(f"{count} soaks from seed {first} on {proxies} proxies: {failed} with breaches")
    return failed


if __name__ == "__main__":
    numbers = [int(text) for text in sys.argv[1:4]]
    sys.exit(bool(main(*numbers, **({"seconds": float(sys.argv[4])} if len(sys.argv) > 4 else {}))))
