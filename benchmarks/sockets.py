"""Virtual time against sockets: the same scenarios and seeds in both, goodput and p50 side by side.

    python benchmarks/sockets.py [--quick] [--scenario S]... [--seeds 1,2]

Exit 1 where goodput differs by more than 0.05 or p50 by more than a factor of 1.3; a run in which a process
did not get its core says so and counts for nothing.
"""

import argparse
import sys
from pathlib import Path

import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from testbed import world  # noqa: E402
from testbed.experiments import aligned, find  # noqa: E402
from testbed.results import Result  # noqa: E402
from testbed.sockets.daemons import RunError  # noqa: E402
from testbed.sockets.run import play  # noqa: E402

GOODPUT, P50 = 0.05, 1.3  # how far the two may be apart
SCENARIOS = ["calm", "slow_quarter", "quick_errors"]
SECONDS, QUICK = 16.0, 8.0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help=f"{QUICK:g} s of each in place of {SECONDS:g}")
    parser.add_argument("--scenario", action="append")
    parser.add_argument("--seeds", default="1")
    options = parser.parse_args()
    rows = [["scenario", "seed", "goodput", "sockets", "p50 ms", "sockets", "p99 ms", "sockets", "attempts",
             "sockets", "breaches", "us CPU", ""]]  # fmt: skip
    apart = False
    for name in options.scenario or SCENARIOS:
        whole = find(name)
        scenario = msgspec.structs.replace(
            whole, seconds=min(whole.seconds, QUICK if options.quick else SECONDS)
        )
        for seed in (int(text) for text in options.seeds.split(",")):
            virtual = world.run(scenario, seed)
            try:
                real = play(scenario, seed)
            except RunError as error:
                print(f"sockets: {name}: {error}", file=sys.stderr)
                return 2
            assert real.live is not None
            gap, ratio = (
                abs(virtual.goodput() - real.goodput()),
                real.percentile(0.5) / virtual.percentile(0.5),
            )
            far = gap > GOODPUT or not 1 / P50 <= ratio <= P50
            busy = [line for line in real.live.behind if "core" in line]
            apart = apart or far and not busy
            cpu = sum(p.cpu_s for p in real.live.processes) / real.total("asked") * 1e6
            word = ("apart" if far else "alike") + (" (the machine was busy)" if busy else "")
            figures = [f(r) for f in (goodput, p50, p99, attempts) for r in (virtual, real)]
            rows.append([name, str(seed), *figures, str(len(real.breaches)), f"{cpu:.0f}", word])
    print(aligned(rows))
    return 1 if apart else 0


def goodput(result: Result) -> str:
    return f"{result.goodput():.3f}"


def p50(result: Result) -> str:
    return f"{result.percentile(0.5):.1f}"


def p99(result: Result) -> str:
    return f"{result.percentile(0.99):.0f}"


def attempts(result: Result) -> str:
    return f"{result.attempts_a_request():.3f}"


if __name__ == "__main__":
    sys.exit(main())
