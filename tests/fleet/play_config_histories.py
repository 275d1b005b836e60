"""Runs more random histories of the configuration shard than the tests do.

Usage: `python -m tests.fleet.play_config_histories FIRST COUNT`
"""

import sys
import traceback

from tests.fleet.config_schedules import SimulationRun


def main(first: int, seed_count: int) -> int:
    """Run the histories, print seeds with problems, and return how many there were."""
    failing_seeds = 0
    for seed in range(first, first + seed_count):
        try:
            problems = SimulationRun(seed).run()
        except Exception:  # a crash of the simulation counts as a finding
            problems = [traceback.format_exc()]
        if problems:
            failing_seeds += 1
            print(seed, *problems[:5], sep="\n  ", flush=True)
    print(f"{seed_count} histories from seed {first}: {failing_seeds} with problems")
    return failing_seeds


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
