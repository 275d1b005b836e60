"""Searches further than the tests do: up to STATES states from each start.

Usage: `python -m tests.fleet.play_config_search STATES`
"""

import sys
import time

from tests.fleet.config_search import Bounds, Search, ViolationError
from tests.fleet.test_config_search import FIVE_VOTERS, STARTS, THREE_VOTERS


def main(states: int) -> int:
    """Search with three and five voters, print statistics, and return the number of violations found."""
    violations = 0
    for names, tolerated, wipes in ((THREE_VOTERS, 1, 1), (FIVE_VOTERS, 2, 2)):
        for start in STARTS:
            search, started_at = Search(names, tolerated), time.monotonic()
            try:
                search.run(start(search, len(names) - 1, Bounds(states, wipes)))
            except ViolationError as violation:
                violations += 1
                print(violation)
            elapsed = time.monotonic() - started_at
            statistics = f"{search.visited} states visited, {search.generated} made"
            print(f"{len(names) - 1} voters, {start.__name__}: {statistics}, {elapsed:.1f} s", flush=True)
    return violations


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]))))
