"""Plays troubled worlds of the limits: `python -m tests.fleet.play_limits_worlds FIRST COUNT`."""

import sys

from tests.fleet.limits_schedules import LENGTH, broken, coming_and_going, troubled_world


def main(first: int, worlds: int) -> int:
    """Play them, every second one with keepers that end again and again: how many were broken."""
    found = 0
    for seed in range(first, first + worlds):
        problem = broken(coming_and_going(seed) if seed % 2 else troubled_world(seed, LENGTH))
        if problem:
            found += 1
            print(seed, problem, flush=True)
    print(f"{worlds} worlds from seed {first}: {found} broken")
    return found


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]), int(sys.argv[2]))))
