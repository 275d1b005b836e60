"""Membership in virtual time, against what the SWIM paper expects: time to detect, false alarms, bytes.

    python benchmarks/membership.py [--quick] [--sizes 3,10,50,200,500] [--loss 0,0.1,0.2,0.3] [--seeds 3]

A group joins from three seeds, is left alone for a while, some stand still for 3 s, and one of it dies. Exit
1 where a bound fails: without loss, a death that somebody missed, or of somebody alive; more bytes than
the protocol allows; more failed probes than the paper's formula gives.
"""

import argparse
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import e, sqrt
from pathlib import Path
from statistics import fmean

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from brackenusher.membership.swim import FANOUT, GOSSIP, INDIRECT, LONGEST
from testbed.group import DEAD, PERIOD, SUSPECT, Group

SETTLE, QUIET, PAUSES, WATCH = 30_000.0, 20_000.0, 15_000.0, 60_000.0  # milliseconds of each part
PAUSE = 3_000.0  # milliseconds that a member stands still
PAUSED = 10  # one member of so many, one at least
SLACK = 0.02  # of failed probes, beyond three standard deviations: helpers may not have proved themselves yet
MOST_DATAGRAMS = 2 + 4 * INDIRECT + FANOUT / GOSSIP  # a member and period, by the protocol: none is unbounded


@dataclass
class Outcome:
    """What came of one run; spans in periods."""

    size: int
    loss: float
    joined: float | None
    probes: int  # in the quiet part
    failed: float  # share of them without an answer on any way
    deaths: int  # of members that lived, seen by anybody, in the quiet part
    paused: int  # the same while some stood still
    suspected: float | None  # until somebody suspects the one that died
    first: float | None
    last: float | None  # until all know
    missed: int  # members that do not
    bytes: float  # a member and second, in the quiet part
    wall: float


def play(size: int, loss: float, seed: int) -> Outcome:
    began, group = time.perf_counter(), Group(size, seed, loss)
    joined = None
    for second in range(1, int(SETTLE / 1000.0) + 1):
        group.run(second * 1000.0)
        if joined is None and group.joined():
            joined = group.now / PERIOD
    group.changes.clear()
    probes, failures, sent = count(group), failed(group), sum(group.sent)
    group.run(SETTLE + QUIET)
    probes, failures, sent = count(group) - probes, failed(group) - failures, sum(group.sent) - sent
    deaths = group.alarms(set(), SETTLE)[1]
    still = range(1, size, PAUSED)
    for i in still:
        group.pause(i, PAUSE)
    group.run(SETTLE + QUIET + PAUSES)
    paused = group.alarms(set(), SETTLE + QUIET)[1]
    victim, at = size - 1, group.now
    group.crash(victim)
    group.run(at + WATCH)
    others = set(range(size)) - {victim}
    suspected = group.told(victim, SUSPECT, at, others)
    dead = group.told(victim, DEAD, at, others)
    return Outcome(
        size=size,
        loss=loss,
        joined=joined,
        probes=probes,
        failed=failures / max(probes, 1),
        deaths=deaths,
        paused=paused,
        suspected=(min(suspected) - at) / PERIOD if suspected else None,
        first=(min(dead) - at) / PERIOD if dead else None,
        last=(max(dead) - at) / PERIOD if dead else None,
        missed=sum(1 for i in others if f"p{victim}" in {m.name for m in group.swims[i].alive()}),
        bytes=sent / size / QUIET * 1000.0,
        wall=time.perf_counter() - began,
    )


def count(group: Group) -> int:
    return sum(swim.probes for swim in group.swims)


def failed(group: Group) -> int:
    return sum(swim.failures for swim in group.swims)


def expected(loss: float, size: int) -> float:
    """Share of probes that fail though the other lives: the ping's way and each of k others' (SWIM, 5)."""
    arrives, asked = 1 - loss, min(INDIRECT, size - 2)
    return (1 - arrives**2) * (1 - arrives**4) ** asked


def numbers(text: str) -> list[float]:
    return [float(part) for part in text.split(",")]


def mean(values: Sequence[float | None]) -> str:
    known = [value for value in values if value is not None]
    return f"{fmean(known):.1f}" + ("" if len(known) == len(values) else "*") if known else "-"


def main(argv: Sequence[str] | None = None) -> int:
    top = argparse.ArgumentParser(description="Membership in virtual time, against the SWIM paper's bounds.")
    top.add_argument("--quick", action="store_true", help="3, 10 and 30 members, one seed, within a minute")
    top.add_argument("--sizes", type=numbers, default=None)
    top.add_argument("--loss", type=numbers, default=None)
    top.add_argument("--seeds", type=int, default=None)
    top.add_argument("--cores", type=int, default=None)
    args = top.parse_args(argv)
    sizes = args.sizes or ([3, 10, 30] if args.quick else [3, 10, 50, 200, 500])
    losses = args.loss or ([0.0, 0.3] if args.quick else [0.0, 0.1, 0.2, 0.3])
    seeds = args.seeds or (1 if args.quick else 3)
    jobs = [(int(n), loss, seed) for n in sizes for loss in losses for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(args.cores) as pool:
        outcomes = list(pool.map(play, *zip(*sorted(jobs, reverse=True), strict=True)))
    print(f"{seeds} runs of each; spans in periods of {PERIOD / 1000:.0f} s, * where some have none")
    print(
        "| members | loss | joined | first suspicion (SWIM: mean 1.6, +1) | first knows | all know | missed "
        "| failed probes (SWIM) | false deaths, quiet, pauses | bytes a member a second |"
    )
    print("|" + " --- |" * 10)
    broken = []
    for n, loss in dict.fromkeys((n, loss) for n, loss, _ in jobs):
        of = [o for o in outcomes if (o.size, o.loss) == (n, loss)]
        share = fmean(o.failed for o in of)
        print(
            f"| {n} | {loss:.0%} | {mean([o.joined for o in of])} | {mean([o.suspected for o in of])} "
            f"| {mean([o.first for o in of])} | {mean([o.last for o in of])} | {sum(o.missed for o in of)} "
            f"| {share:.3f} ({expected(loss, n):.3f}) "
            f"| {sum(o.deaths for o in of)}, {sum(o.paused for o in of)} | {fmean(o.bytes for o in of):.0f} |"
        )
        if any(o.missed for o in of) and loss == 0:
            broken.append(f"{n} members: a death that nobody noticed")
        if loss == 0 and any(o.deaths or o.paused for o in of):
            broken.append(f"{n} members: somebody alive was taken for dead without loss")
        chance = expected(loss, n)
        if share > chance + 3 * sqrt(chance * (1 - chance) / sum(o.probes for o in of)) + SLACK:
            broken.append(f"{n} members, loss {loss:.0%}: more probes failed than the formula gives")
        if max(o.bytes for o in of) > MOST_DATAGRAMS * LONGEST / PERIOD * 1000.0:
            broken.append(f"{n} members, loss {loss:.0%}: more bytes than the protocol allows")
    print(f"\nSWIM's mean time to a first suspicion: {e / (e - 1):.2f} periods, and one until it is said.")
    print(f"wall {sum(o.wall for o in outcomes):.0f} s of one core")
    for what in broken:
        print(f"broken: {what}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
