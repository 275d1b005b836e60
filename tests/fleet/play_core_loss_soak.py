"""Plays soaks with losses of the core: `python -m tests.fleet.play_core_loss_soak FIRST COUNT [PROXIES]
[ROUNDS]`.

The processes' logs of a seed with breaches are kept; the folder is printed.
"""

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from tests.fleet.core_loss_oracle import breaches
from tests.fleet.core_loss_soak import CoreLossSoak

PROXIES, ROUNDS = 4, 1


def main(first: int, count: int, proxies: int = PROXIES, rounds: int = ROUNDS) -> int:
    """Print each seed's figures and breaches; returns the number of seeds with breaches."""
    failed = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"core-loss-{seed}-"))
        history = asyncio.run(CoreLossSoak(seed, folder, proxies, rounds).play())
        found = breaches(history)
        failed += bool(found)
        served = sum(request.status == 200 for request in history.requests)
        recoveries = ", ".join("none" if s is None else f"{s:.1f} s" for s in history.recoveries)
        print(
            f"seed {seed}: {len(history.requests)} requests, {served} served; {len(history.ended)} ends"
            f" acknowledged, {len(history.events)} events of machines; served again after {recoveries}",
            *found[-6:],
            *([f"logs: {folder}"] if found else []),
            sep="\n  ",
            flush=True,
        )
        if not found:
            shutil.rmtree(folder)
    print(f"{count} soaks from seed {first} on {proxies} proxies: {failed} with breaches")
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(*(int(text) for text in sys.argv[1:5]))))
