"""Plays random days of registration and feeds: `python -m tests.fleet.play_feed_days FIRST COUNT`."""

import logging
import sys

from tests.fleet.feed_schedules import play_day


def main(first: int, days: int) -> int:
    """Play them and print the seeds with breaches: how many there were."""
    logging.disable(logging.ERROR)
    found = 0
    for seed in range(first, first + days):
        breaches = play_day(seed)
        if breaches:
            found += 1
            print(seed, *breaches[:5], sep="\n  ", flush=True)
    print(f"{days} days from seed {first}: {found} with breaches")
    return found


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
