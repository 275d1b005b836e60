"""Membership in virtual time: views under one-way cuts, pauses and loss, joins at scale, deaths, bytes.

    python benchmarks/membership.py [--quick] [--sizes 5,20,50,200] [--seeds 2] [--before REV]

Each fault of the first table stays for 60 periods. With --before the same faults are played on the membership
of that revision, from the repository's history, in the same run. Exit 1 where a bound fails: a view that
changes after a fault has been there for 15 periods (but for those that come back), one view later than 10
periods after a heal, a promise broken, somebody alive removed under loss, a join or a death later than its
aim, more than twice the earlier bytes.
"""

import argparse
import io
import os
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from testbed import oracle_views as oracle
from testbed.group import DEAD, PERIOD, Group
from testbed.processes.several import Several
from testbed.schedule import Act, LinkFault, Schedule, by_chance, halves

ROOT = Path(__file__).resolve().parent.parent
LASTS, SETTLED, HEALED = 60.0, 15.0, 10.0  # periods: of a fault, until nothing changes, until one view
FIRST = 40.0  # periods in which a group must have come together before a fault
JOINS = {(10, 0.3): 15.0, (50, 0.0): 15.0, (50, 0.3): 15.0, (200, 0.0): 30.0, (200, 0.3): 30.0}
DEATHS = {(10, 0.0): 8.0, (10, 0.3): 8.0, (50, 0.3): 12.0, (200, 0.0): 12.0, (200, 0.3): 12.0}
QUIET = 0.005  # of a core
EARLIER = {5: 200.0, 10: 204.0, 20: 250.0, 50: 306.0, 200: 686.0}  # bytes a member a second before views
BEFORE = """
import sys
from testbed.group import ALIVE, DEAD, Group
size, kind, seed = int(sys.argv[1]), sys.argv[2], int(sys.argv[3])
half = size // 2
cuts = {
    "deaf": lambda a, b: b == 0,
    "mute": lambda a, b: a == 0,
    "half to half, one way": lambda a, b: a < half <= b,
    "two apart, one way": lambda a, b: (a, b) == (0, 1),
}
group = Group(size, seed)
group.run(30_000.0)
group.changes.clear()
group.cut = cuts[kind]
group.run(90_000.0)
states = [c.state for c in group.changes]
print(states.count(DEAD), states.count(ALIVE))
"""


def faults(size: int) -> dict[str, Schedule]:
    """What goes wrong, by name, in a group of so many."""
    one, other = halves(size)
    third = list(range(max(1, size // 3)))
    ring = [
        LinkFault(
            at=0, lasts=LASTS, of=[i], to=[j for j in range(size) if j not in (i, (i + 1) % size)], lost=1.0
        )
        for i in range(size)
    ]

    def cut(of: list[int], to: list[int], every: float = 0.0) -> list[LinkFault]:
        return [LinkFault(at=0, lasts=LASTS, of=of, to=to, lost=1.0, every=every)]

    def stop(lasts: float) -> list[Act]:
        return [Act(at=0, do="pause", who=third, lasts=lasts)]

    links = {
        "none": [],
        "deaf": cut([], [0]),
        "mute": cut([0], []),
        "half to half, one way": cut(one, other),
        "two apart, one way": cut([0], [1]),
        "changing sides": cut(one, other, 2.0),
        "a ring": ring,
    }
    found = {name: Schedule(size=size, periods=LASTS, links=faults) for name, faults in links.items()}
    found["a third stopped, 3"] = Schedule(size=size, periods=LASTS, acts=stop(3.0))
    found["a third stopped, 30"] = Schedule(size=size, periods=LASTS, acts=stop(30.0))
    return found


@dataclass
class Fault:
    """What came of one fault."""

    size: int
    name: str
    views: int  # that came while it was there
    late: int  # after 15 periods of it
    flaps: int  # names that went and came again in that time
    cut_off: int  # processes that say so at its end
    healed: float | None
    bytes: float
    breaches: list[str]


def together(group: Group, limit: float = FIRST) -> float | None:
    """Periods until all hold one view of all."""
    while group.now < limit * PERIOD:
        group.run(group.now + PERIOD / 4)
        if group.agreed():
            return group.now / PERIOD
    return None


def play_fault(size: int, name: str, seed: int) -> Fault:
    group = Group(size, seed)
    together(group)
    group.run(group.now + 3 * PERIOD)
    began, sent = group.now / PERIOD, sum(group.sent)
    group.play(faults(size)[name])
    used = (sum(group.sent) - sent) / size / LASTS
    history = group.history()
    numbers = {(h.group, h.number): h.at for h in reversed(history) if h.members and h.at > began}
    until = began + (30.0 if name.endswith("30") else LASTS)
    late = sum(began + SETTLED < at < until for at in numbers.values())
    flaps = oracle.flaps(history, began + SETTLED, until)
    cut_off, end, healed = sum(s.agreement.disconnected for s in group.swims), group.now, None
    while group.now < end + 30 * PERIOD and healed is None:
        group.run(group.now + PERIOD / 4)
        healed = (group.now - end) / PERIOD if group.agreed() else None
    found = oracle.breaches(group.history())
    return Fault(size, name, len(numbers), late, flaps, cut_off, healed, used, found)


@dataclass
class Life:
    """A group that joins, is left alone, restarts whole, and loses one; spans in periods."""

    size: int
    loss: float
    joined: float | None
    removed: int  # of those that live, in the quiet part
    dead: float | None  # until all know of the death
    rejoined: float | None  # after all were restarted within 10 periods
    bytes: float


def play_life(size: int, loss: float, seed: int, quiet: float) -> Life:
    group = Group(size, seed, loss)
    joined = together(group, 60.0)
    group.run(group.now + 10 * PERIOD)
    sent, began = sum(group.sent), group.now
    group.changes.clear()
    group.run(group.now + quiet * PERIOD)
    used = (sum(group.sent) - sent) / size / (group.now - began) * 1000.0
    removed = sum(c.state == DEAD for c in group.changes)
    victim, at, dead = size - 1, group.now, None
    group.crash(victim)
    while group.now < at + 60 * PERIOD and dead is None:
        group.run(group.now + PERIOD / 4)
        dead = (group.now - at) / PERIOD if group.agreed() else None
    rejoined = None
    if loss == 0.0:
        at, group.up[victim] = group.now, True
        for i in range(size):
            group.at(at + i / size * 10 * PERIOD, group.restart, i)
        group.run(at + 10 * PERIOD)
        while group.now < at + 60 * PERIOD and rejoined is None:
            group.run(group.now + PERIOD / 4)
            rejoined = (group.now - at) / PERIOD - 10.0 if group.agreed() else None
    return Life(size, loss, joined, removed, dead, rejoined, used)


def storm(seed: int) -> tuple[int, list[str]]:
    """One schedule by chance."""
    size = (3, 4, 5, 7, 9, 12, 20)[seed % 7]
    group = Group(size, seed)
    group.run(8 * PERIOD)
    group.play(by_chance(seed, size))
    found = oracle.breaches(group.history())
    if not found and not group.hopeless() and (why := group.unsettled()):
        found = [why]
    return seed, found


def quiet(size: int, seconds: float) -> float:
    """Share of a core that a process of a group which nobody asks anything takes, the mean of all."""

    def taken(group: Several) -> float:
        ticks = 0
        for daemon in group.daemons:
            with open(f"/proc/{daemon.life.process.pid}/stat", encoding="utf-8") as file:
                ticks += sum(int(n) for n in file.read().rsplit(")", 1)[1].split()[11:13])
        return ticks / os.sysconf("SC_CLK_TCK")

    with tempfile.TemporaryDirectory(prefix="quiet-") as folder:
        with Several(size, folder, period_ms=1000, log_level="warning") as group:
            group.until(lambda: not group.unsettled(), "one view", 120.0)
            before = taken(group)
            time.sleep(seconds)
            return (taken(group) - before) / size / seconds


def before(job: tuple[str, int, str, int]) -> str:
    """Deaths told and revivals under a fault, on an earlier revision."""
    folder, size, kind, seed = job
    line = [sys.executable, "-c", BEFORE, str(size), kind, str(seed)]
    done = subprocess.run(line, cwd=folder, capture_output=True, text=True, check=False)
    return done.stdout.strip().replace(" ", ", ") or done.stderr.strip().splitlines()[-1]


def unpack(revision: str, folder: str) -> None:
    parts = ["brackenusher", "barleybarrow", "testbed"]
    whole = subprocess.run(["git", "archive", revision, *parts], cwd=ROOT, capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(whole.stdout)) as tar:
        tar.extractall(folder, filter="data")


def mean(values: Sequence[float | None]) -> str:
    known = [value for value in values if value is not None]
    return f"{fmean(known):.1f}" + ("" if len(known) == len(values) else "*") if known else "-"


def main(argv: Sequence[str] | None = None) -> int:
    top = argparse.ArgumentParser(description="Membership in virtual time.")
    top.add_argument("--quick", action="store_true", help="5 and 20 members, one seed, within a minute")
    top.add_argument("--sizes", type=lambda text: [int(n) for n in text.split(",")], default=None)
    top.add_argument("--seeds", type=int, default=None)
    top.add_argument("--storms", type=int, default=None, help="schedules by chance")
    top.add_argument("--first", type=int, default=0, help="the first of their seeds")
    top.add_argument("--before", metavar="REV", default=None)
    top.add_argument("--processes", type=int, default=0, help="measure a quiet group of so many processes")
    top.add_argument(
        "--life",
        metavar="SIZE:LOSS",
        action="append",
        default=[],
        help="also a group that is left alone 30 periods",
    )
    top.add_argument("--cores", type=int, default=None)
    args = top.parse_args(argv)
    sizes = args.sizes or ([5, 20] if args.quick else [5, 20, 50, 200])
    seeds = range(1, (args.seeds or (1 if args.quick else 2)) + 1)
    storms = args.storms if args.storms is not None else 200 if args.quick else 2000
    began, broken = time.perf_counter(), list[str]()
    with ProcessPoolExecutor(args.cores) as pool, tempfile.TemporaryDirectory() as folder:
        earlier = {}
        if args.before:
            unpack(args.before, folder)
            kinds = ("deaf", "mute", "half to half, one way", "two apart, one way")
            wanted = [(folder, n, kind, 1) for n in sizes if n <= 50 for kind in kinds]
            earlier = dict(zip([job[1:3] for job in wanted], pool.map(before, wanted), strict=True))
        jobs = [(n, name, seed) for n in reversed(sizes) for name in faults(n) for seed in seeds]
        lives = [
            (n, loss, seed, 600.0 if (n, loss) == (50, 0.3) and not args.quick else 30.0)
            for n in reversed([*sizes, *(() if 10 in sizes else (10,))])
            for loss in (0.0, 0.3)
            for seed in seeds
        ]
        lives += [
            (int(n), float(loss), 1, 30.0) for n, _, loss in (life.partition(":") for life in args.life)
        ]
        chance = pool.map(storm, range(args.first, args.first + storms), chunksize=4)
        outcomes = list(pool.map(play_fault, *zip(*jobs, strict=True)))
        grown = list(pool.map(play_life, *zip(*lives, strict=True)))
        storms_broken = [(seed, found) for seed, found in chance if found]
    print(
        "| members | fault | before: deaths told, revivals | views, late, flaps | say cut off "
        "| one view after | bytes a second |"
    )
    print("|" + " --- |" * 7)
    for n in sizes:
        for name in faults(n):
            of = [o for o in outcomes if (o.size, o.name) == (n, name)]
            was = earlier.get((n, name), "-")
            counts = f"{max(o.views for o in of)}, {max(o.late for o in of)}, {max(o.flaps for o in of)}"
            print(
                f"| {n} | {name} | {was} | {counts} | {max(o.cut_off for o in of)} "
                f"| {mean([o.healed for o in of])} | {fmean(o.bytes for o in of):.0f} |"
            )
            what = f"{n} members, {name}"
            broken += [f"{what}: {o.breaches[0]}" for o in of if o.breaches]
            if any(o.flaps for o in of):
                broken.append(f"{what}: flaps after {SETTLED:.0f} periods")
            if any(o.healed is None or o.healed > HEALED for o in of):
                broken.append(f"{what}: no one view within {HEALED:.0f} periods")
    print(
        "\n| members | loss | joined | removed though alive | a death known to all "
        "| all restarted in 10, one view after | bytes a second |"
    )
    print("|" + " --- |" * 7)
    for n, loss in sorted({(o.size, o.loss) for o in grown}):
        lived = [o for o in grown if (o.size, o.loss) == (n, loss)]
        used = fmean(o.bytes for o in lived)
        print(
            f"| {n} | {loss:.0%} | {mean([o.joined for o in lived])} | {sum(o.removed for o in lived)} "
            f"| {mean([o.dead for o in lived])} | {mean([o.rejoined for o in lived])} | {used:.0f} |"
        )
        what = f"{n} members, loss {loss:.0%}"
        if any(o.removed for o in lived):
            broken.append(f"{what}: somebody alive was removed")
        for values, aims, word in (
            ([o.joined for o in lived], JOINS, "joined"),
            ([o.dead for o in lived], DEATHS, "death known"),
        ):
            late = [v for v in values if v is None or v > aims.get((n, loss), 60.0)]
            if late:
                broken.append(f"{what}: {word} after {late}")
        if loss == 0 and n in EARLIER and used > 2 * EARLIER[n]:
            broken.append(f"{what}: {used:.0f} bytes a second, over twice the earlier {EARLIER[n]:.0f}")
    if args.processes:
        share = quiet(args.processes, 30.0)
        print(f"\na process of a quiet group of {args.processes} takes {share:.2%} of a core (aim 0.50%)")
        if share > QUIET:
            broken.append(f"a quiet process takes {share:.2%} of a core")
    print(f"\n{storms} schedules by chance from {args.first}: {len(storms_broken)} with a breach")
    broken += [f"seed {seed}: {found[0]}" for seed, found in storms_broken[:10]]
    print(f"wall {time.perf_counter() - began:.0f} s")
    for what in broken:
        print(f"broken: {what}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
