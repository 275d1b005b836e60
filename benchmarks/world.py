"""What the world in virtual time costs: events a second, memory and time, by number of servers and proxies.

    python benchmarks/world.py [--quick]

Each size is a process of its own, so that its greatest resident size is its own too. Two requests a second a
server; one policy that costs next to nothing, which shows the world's own price, and the module that ships.
"""

import argparse
import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
QUICK = ((10, 2, 20.0), (100, 10, 10.0), (1000, 40, 4.0))  # servers, proxies, seconds of virtual time
FULL = ((10, 2, 60.0), (100, 10, 60.0), (1000, 40, 60.0), (5000, 200, 60.0))
POLICIES = ("random", "module")
LIMIT = 1800.0  # seconds that one size may take
ONE = """
import json, sys, time
from testbed.scenario import Class, Load, Scenario
from testbed.world import run
servers, proxies, seconds, policy = json.loads(sys.argv[1])
classes = [
    Class(name="read", work_ms=200.0),
    Class(name="submit", work_ms=200.0, effect="keyed", window=6000.0),
]
load = Load(rate=2.0 * servers)
conf = Scenario(name="bench", servers=servers, proxies=proxies, seconds=seconds, load=load, classes=classes)
r = run(conf, 1, policy=policy)
spent = time.process_time()
print(json.dumps([r.total("asked"), r.cost.events, spent, r.cost.memory_mb, r.goodput(), len(r.breaches)]))
"""


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="small sizes and short runs, about a minute")
    parser.add_argument(
        "--size", action="append", metavar="PROXIESxSERVERS", help="of the full sizes, this one"
    )
    args = parser.parse_args()
    sizes = [x for x in FULL if f"{x[1]}x{x[0]}" in args.size] if args.size else QUICK if args.quick else FULL
    names = "proxies x servers, policy, virtual s, requests, events, CPU s, events/s, MB, goodput, breaches"
    print("| " + names.replace(", ", " | ") + " |")
    print("|" + " --- |" * len(names.split(", ")))
    for servers, proxies, seconds in sizes:
        for policy in POLICIES:
            what = json.dumps([servers, proxies, seconds, policy])
            done = subprocess.run(
                [sys.executable, "-c", ONE, what],
                capture_output=True,
                text=True,
                cwd=ROOT,
                timeout=LIMIT,
                check=True,
            )
            asked, events, spent, memory, goodput, breaches = json.loads(done.stdout)
            row = f"| {proxies} x {servers} | {policy} | {seconds:g} | {asked:.0f} | {events} | {spent:.1f} "
            print(row + f"| {events / spent:.0f} | {memory:.0f} | {goodput:.3f} | {breaches} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
