"""Runs random schedules of registration and feeds: `python -m tests.fleet.play_feed_days FIRST COUNT`."""

import logging
import sys

from tests.fleet.feed_schedules import run_schedule


def main(first: int, count: int) -> int:
    """Print the seeds with breaches; returns their number."""
    logging.disable(logging.ERROR)
    failed = 0
    for seed in range(first, first + count):
        breaches = run_schedule(seed)
        if breaches:
            failed += 1
            print(seed, *breaches[:5], sep="\n  ", flush=True)
    print(f"{count} days from seed {first}: {failed} with breaches")
    return failed


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
