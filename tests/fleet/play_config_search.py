"""Searches further than the tests do: up to STATES states from each start.

Usage: `python -m tests.fleet.play_config_search STATES`
"""

import sys
import time

from tests.fleet.config_search import Bounds, Search, ViolationError
from tests.fleet.test_config_search import FIVE, STARTS, THREE


def main(states: int) -> int:
    """Search with three and five voters, print statistics, and return the number of violations found."""
    found = 0
    for names, tolerated, wipes in ((THREE, 1, 1), (FIVE, 2, 2)):
        for start in STARTS:
            search, began = Search(names, tolerated), time.monotonic()
            try:
                search.run(start(search, len(names) - 1, Bounds(states, wipes)))
            except ViolationError as violation:
                found += 1
                print(violation)
            took = time.monotonic() - began
            shown = f"{search.visited} states visited, {search.made} made"
            print(f"{len(names) - 1} voters, {start.__name__}: {shown}, {took:.1f} s", flush=True)
    return found


if __name__ == "__main__":
    sys.exit(bool(main(int(sys.argv[1]))))
