"""A group at size, with all its parts on: what each process takes while it is quiet, and while staff work.

    python benchmarks/soak.py [--quick] [--size 50] [--seconds 180]

Exit 1 where memory or descriptors grow from the first third of the work to the last (by 2% and 1 MB, at all),
or where a quiet process that only watches membership takes over 0.5% of a core.
"""

import argparse
import io
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import mean, median
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

import psutil

from brackenusher.group import policies
from testbed.processes.several import Several
from testbed.processes.whole import Whole

QUIET_CORE = 0.005
GROWN, GROWN_MB = 0.02, 1.0
EACH_S = 5.0  # between two looks


class Bare(Several):
    """Peers alone: who belongs, and nothing of what rests on it."""


def of_core(group: Several, span: float) -> list[float]:
    """The part of a core that each process takes over a span."""

    def used() -> list[float]:
        found = []
        for d in group.daemons:
            times = psutil.Process(d.life.process.pid).cpu_times()
            found.append(times.user + times.system)
        return found

    before = used()
    time.sleep(span)
    return [(now - then) / span for then, now in zip(before, used(), strict=True)]


def told() -> int:
    """Bytes over loopback so far, headers and all."""
    lines = Path("/proc/net/dev").read_text(encoding="ascii").splitlines()
    return int(next(line for line in lines if line.strip().startswith("lo:")).split()[1])


def quiet(what: str, group: Several, span: float) -> list[float]:
    before, parts = told(), of_core(group, span)
    sent = (told() - before) / span / group.size
    text = "{}: {:.2%} of a core in the median, {:.2%} at most; {:.0f} bytes/s each"
    print(text.format(what, median(parts), max(parts), sent), flush=True)
    return parts


def looked(group: Several) -> tuple[list[float], list[int]]:
    seen = [psutil.Process(d.life.process.pid) for d in group.daemons]
    return [p.memory_info().rss / 1e6 for p in seen], [p.num_fds() for p in seen]


def worked(group: Whole, seconds: float) -> list[tuple[list[float], list[int]]]:
    """Have staff propose and mark all the time; memory and descriptors of each, every few seconds."""
    found, end, n = [], time.monotonic() + seconds, 0
    look = time.monotonic() + EACH_S
    while time.monotonic() < end:
        n += 1
        facts: dict[str, Any] = {"who": "soak", "why": "", "out": io.StringIO(), "wait": 20.0}
        at = group.address(n % group.size)
        policies.propose(at, group.peers, group.document(n), f"s{n}", **facts)
        group.write(n % 3, "mark" if n % 4 else "clear", "server", f"x{n % 40}")
        if time.monotonic() >= look:
            look += EACH_S
            found.append(looked(group))
    print(f"{n} changes of policy, as many marks and clears in {seconds:.0f} s", flush=True)
    return found


def main(argv: Sequence[str] | None = None) -> int:
    top = argparse.ArgumentParser(description="A group at size: processor time, memory, descriptors, bytes.")
    top.add_argument("--quick", action="store_true", help="within a minute or two")
    top.add_argument("--size", type=int, default=None)
    top.add_argument("--seconds", type=float, default=None, help="of work")
    args = top.parse_args(argv)
    size = args.size or (9 if args.quick else 50)
    seconds = args.seconds or (25.0 if args.quick else 180.0)
    more: dict[str, Any] = {"period_ms": 1000, "log_level": "warning", "relayed": False}
    span, broken = (4.0, []) if args.quick else (20.0, list[str]())
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        with Bare(size, folder, **more) as bare:
            bare.settle()
            parts = quiet(f"{size} quiet, peers alone", bare, span)
    if median(parts) > QUIET_CORE:
        broken.append(f"a quiet process takes {median(parts):.2%} of a core")
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        with Whole(Path(folder), size, voters=5, keepers=5, **more) as group:
            quiet(f"{size} quiet, all parts", group, span)
            before = told()
            seen = worked(group, seconds)
            print(f"{(told() - before) / seconds / size:.0f} bytes/s each meanwhile")
            quiet(f"{size} quiet again", group, span)
    third = max(1, len(seen) // 3)
    for what, place, most in (("MB", 0, GROWN_MB), ("descriptors", 1, 0.0)):
        first = [mean(look[place][i] for look in seen[:third]) for i in range(size)]
        last = [mean(look[place][i] for look in seen[-third:]) for i in range(size)]
        grown = max(b - a for a, b in zip(first, last, strict=True))
        print(f"{what}: {median(first):.1f} at first, {median(last):.1f} at last, {grown:+.1f} at most")
        if any(b > a * (1 + GROWN) + most for a, b in zip(first, last, strict=True)):
            broken.append(f"{what} grow by {grown:.1f}")
    for what in broken:
        print(f"broken: {what}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
