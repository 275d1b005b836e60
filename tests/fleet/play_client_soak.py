"""Plays soaks of many seeds: `python -m tests.fleet.play_client_soak FIRST COUNT [PROXIES] [SECONDS] [PLAN]`.

PLAN is `leaving-clients` or `planned-ends`. The processes' logs of a seed with breaches are kept; the folder
is printed.
"""

import asyncio
import shutil
import sys
import tempfile
from pathlib import Path

from tests.fleet.client_soak import LEAVING_CLIENTS, PLANNED_ENDS, ClientSoak
from tests.fleet.client_soak_oracle import breaches, late_after_termination, runs_for_clients_that_left

PROXIES, SECONDS = 3, 10.0
PLANS = {"leaving-clients": LEAVING_CLIENTS, "planned-ends": PLANNED_ENDS}
# Runs that put the rule on clients that left to the test, by plan.
MIN_LASTING = {"leaving-clients": 10, "planned-ends": 0}


def main(
    first: int, count: int, proxies: int = PROXIES, seconds: float = SECONDS, plan: str = "leaving-clients"
) -> int:
    """Print each seed's figures and breaches; returns the number of seeds with breaches."""
    failed = 0
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        history = asyncio.run(ClientSoak(seed, folder, proxies, seconds, PLANS[plan]).play())
        found = breaches(history, MIN_LASTING[plan])
        failed += bool(found)
        if found:
            found.append(f"logs: {folder}")
        else:
            shutil.rmtree(folder)
        lasting, worked_on, late = runs_for_clients_that_left(history)
        signals = sum(map(len, history.signals.values()))
        torn = sum(run.broke_off for run in history.runs)
        print(
            f"seed {seed}: {len(history.requests)} requests, {len(history.runs)} runs, {lasting} would have"
            f" outlasted their clients, {worked_on} did, {late} arrived late; {signals} signals and ends,"
            f" {history.changes} changes; {late_after_termination(history)} requests late after a SIGTERM,"
            f" {torn} torn streams",
            *found[-6:],
            sep="\n  ",
            flush=True,
        )
    print(f"{count} soaks from seed {first} on {proxies} proxies: {failed} with breaches")
    return failed


if __name__ == "__main__":
    numbers = [int(text) for text in sys.argv[1:4]]
    extras = dict(zip(("seconds", "plan"), sys.argv[4:6], strict=False))
    options = {name: float(text) if name == "seconds" else text for name, text in extras.items()}
    sys.exit(bool(main(*numbers, **options)))  # type: ignore[arg-type]
