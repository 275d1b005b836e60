"""Runs more random histories of the configuration shard than the tests do.

Usage: `python -m tests.fleet.play_config_histories FIRST COUNT`
"""

import sys
import traceback

from tests.fleet.config_schedules import Schedule


def main(first: int, histories: int) -> int:
    """Run the histories, print seeds with problems, and return how many there were."""
    found = 0
    for seed in range(first, first + histories):
        try:
            problems = Schedule(seed).play()
        except Exception:  # a crash of the simulation counts as a finding
            problems = [traceback.format_exc()]
        if problems:
            found += 1
            print(seed, *problems[:5], sep="\n  ", flush=True)
    print(f"{histories} histories from seed {first}: {found} with problems")
    return found


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
