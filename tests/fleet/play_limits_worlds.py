"""Runs simulations of the limits with faults: `python -m tests.fleet.play_limits_worlds FIRST COUNT`."""

import sys

from tests.fleet.limits_schedules import SIMULATION_MS, random_faults, repeated_restarts, run_and_check


def main(first_seed: int, runs: int) -> int:
    """Run them, every second one with repeated restarts; returns the number of violations."""
    failures = 0
    for seed in range(first_seed, first_seed + runs):
        problem = run_and_check(repeated_restarts(seed) if seed % 2 else random_faults(seed, SIMULATION_MS))
        if problem:
            failures += 1
            print(seed, problem, flush=True)
    print(f"{runs} worlds from seed {first_seed}: {failures} broken")
    return failures


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
