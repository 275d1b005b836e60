"""Many proxies before a large fleet in virtual time: the module before and after, beside simple rivals.

    python benchmarks/fleet.py [--quick] [--seeds 1..6] [--sizes 3x9,40x60,200x300] [--base REV] [--cores N]

Six scenarios (most proxies restarted at once with discovery overbooked; a zone lost and back cold; six in
ten servers replaced within seconds; no fault; planned restarts during a release; a zone out of reach and
answers lost), paired by seed. `before` is the module of REV: it is taken out of git together with
`brackenusher` and the testbed of that revision, which play it. Prints goodput, p99, attempts and connects a
request, the greatest peak of what a cold server was sent (as a multiple of what it could do then; the rule's
is 3), and the seconds until goodput is back at nine tenths of what it was before. Exit 1 where the module
loses to random choice beyond the 95% interval, or a promise was broken by it; 2 where something cannot be
used.
"""

import argparse
import io
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import fmean

import msgspec

sys.path.append(
    str(Path(__file__).resolve().parent.parent)
)  # run as a file, from anywhere; `before` comes first

from testbed import experiments, results, scenario
from testbed.policies import POLICIES
from testbed.results import Result
from testbed.scenario import Scenario, ScenarioError

ROOT = Path(__file__).resolve().parent.parent
NAMES = ["herd", "lost_zone", "mass_replacement", "steady_fleet", "rolling_fleet", "split_fleet"]
BASE = "d2ca9ad"  # the last one before many proxies were looked at
RIVALS = ["random", "peak_ewma"]  # uniform, and the power of two choices
BACK = 0.9  # of the goodput before the trouble, for two seconds in a row


def resized(base: Scenario, proxies: int, servers: int) -> Scenario:
    """The scenario with other numbers of proxies and servers; whom its faults name follows in proportion."""

    def scaled(numbers: Sequence[int], old: int, new: int) -> list[int]:
        count = max(1, round(len(numbers) * new / old)) if numbers else 0
        first = round(min(numbers, default=0) * new / old)
        if len(numbers) > 1 and numbers[-1] - numbers[0] == len(numbers) - 1:  # a block
            return list(range(min(first, new - count), min(first, new - count) + count))
        return [n for n in range(new) if numbers and round(n * old / new) % old in set(numbers)][:count]

    faults = [
        msgspec.structs.replace(
            fault,
            servers=scaled(fault.servers, base.servers, servers),
            proxies=scaled(fault.proxies, base.proxies, proxies),
            stagger_ms=fault.stagger_ms * base.servers / servers,
        )
        for fault in base.faults
    ]
    discovery = msgspec.structs.replace(
        base.discovery,
        lines_per_s=base.discovery.lines_per_s * proxies * servers / (base.proxies * base.servers),
    )
    return msgspec.structs.replace(
        base,
        name=f"{base.name} {proxies}x{servers}",
        proxies=proxies,
        servers=servers,
        cell_size=max(1, base.cell_size * servers // base.servers),
        faults=faults,
        discovery=discovery,
    )


def extract(revision: str, folder: Path) -> Path:
    """A tree with the packages of a revision: the module, and those that play it."""
    packages = ["barleybarrow", "brackenusher", "testbed"]
    done = subprocess.run(["git", "archive", revision, *packages], cwd=ROOT, capture_output=True)
    if done.returncode:
        raise ScenarioError(f"base `{revision}`: {done.stderr.decode().strip()}")
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def play_one(name: str, proxies: int, servers: int, policy: str, seed: int, out: str) -> None:
    """What the process of one run does."""
    job = experiments.Job(resized(scenario.load(name), proxies, servers), policy, seed)
    results.save([experiments.play(job)], out)


def play(folder: Path, tree: Path, name: str, proxies: int, servers: int, policy: str, seed: int) -> Result:
    """One run in a process of its own, with the module that lies in a tree."""
    out = folder / f"{name}-{proxies}x{servers}-{policy}-{seed}-{tree.name}.json"
    call = f"import fleet; fleet.play_one({name!r}, {proxies}, {servers}, {policy!r}, {seed}, {str(out)!r})"
    paths = os.pathsep.join([str(tree), str(ROOT / "benchmarks")])
    done = subprocess.run(
        [sys.executable, "-c", call],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": paths},
        capture_output=True,
        text=True,
    )
    if done.returncode:
        raise ScenarioError(f"{name}, {policy}, seed {seed}: {done.stderr.strip()[-300:]}")
    return results.read(out)[0]


def recovery(result: Result) -> float:
    """Seconds from the first fault until goodput is back for two seconds in a row; nan where it never is."""
    share = [
        g / w if w else 1.0
        for g, w in zip(result.series.worth_in_aim, result.series.worth_asked, strict=True)
    ]
    began = int(min((fault.at for fault in result.acted), default=0.0) / 1000.0)
    usual, low = fmean(share[1:began] or [1.0]), began
    while low < len(share) and share[low] >= BACK * usual:  # it takes a while to hurt
        low += 1
    for second in range(low, len(share) - 2):
        if min(share[second], share[second + 1]) >= BACK * usual:
            return float(second - began)
    return 0.0 if low >= len(share) - 2 else float("nan")


def row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def table(runs: dict[tuple[str, str], list[Result]]) -> tuple[bool, list[str]]:
    """Whether the module loses to random choice, and the lines of the table."""
    lost, columns = False, ["scenario", "policy", "goodput", "against random", "p99 ms"]
    columns += ["attempts", "connects", "cold peak", "back after s", "breaches"]
    lines = [row(columns), row(["---"] * len(columns))]
    for (name, policy), of in runs.items():
        own = [r.goodput() for r in of]
        other = [r.goodput() for r in runs[name, "random"]]
        lead, behind = experiments.difference(other, own), experiments.difference(own, other)
        if policy == "after" and behind.beyond() and behind.half < 1.0:
            lost = True
        back = [recovery(r) for r in of]
        cells = [name, policy, f"{fmean(own):.3f}", f"{lead.mean:+.3f} +-{lead.half:.3f}"]
        cells += [f"{fmean(map(experiments.FIGURES['p99'], of)):.0f}"]
        cells += [f"{fmean(r.attempts_a_request() for r in of):.2f}"]
        cells += [f"{fmean(r.connects / max(r.total('asked'), 1) for r in of):.2f}"]
        cells += [f"{max(r.cold_peak for r in of):.2f}", f"{fmean(back):.1f}"]
        lines.append(row([*cells, str(sum(len(r.breaches) for r in of))]))
    return lost, lines


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description="Many proxies before a large fleet, paired by seed.")
    parser.add_argument("--quick", action="store_true", help="40 proxies before 60 servers, three seeds")
    parser.add_argument("--seeds", help="A..B or A,B,C (1..6; quick: 1..3)")
    parser.add_argument("--sizes", help="proxies x servers, with commas between (3x9,40x60,200x300)")
    parser.add_argument("--base", default=BASE, help="the revision that is `before`")
    parser.add_argument("--cores", type=int, default=os.cpu_count() or 1)
    args = parser.parse_args(argv)
    try:
        sizes = [tuple(map(int, size.split("x"))) for size in (args.sizes or "3x9,40x60,200x300").split(",")]
        sizes = [(40, 60)] if args.quick and not args.sizes else sizes
        if any(len(size) != 2 or min(size) < 1 for size in sizes):
            raise ValueError
    except ValueError:
        print(f"fleet: sizes `{args.sizes}`: wanted is 40x60, or several with commas", file=sys.stderr)
        return 2
    try:
        return measure(args, experiments.seeds(args.seeds or ("1..3" if args.quick else "1..6")), sizes)
    except ScenarioError as error:
        print(f"fleet: {error}", file=sys.stderr)
        return 2


def measure(args: argparse.Namespace, seeds: list[int], sizes: list[tuple[int, ...]]) -> int:
    assert all(rival in POLICIES for rival in RIVALS)
    with tempfile.TemporaryDirectory() as folder:
        before = Path(folder) / "before"
        before.mkdir()
        extract(args.base, before)
        jobs = []
        for proxies, servers in sizes:
            for name in NAMES:
                title = f"{name} {proxies}x{servers}"
                for policy, tree in (("before", before), ("after", ROOT), *((r, ROOT) for r in RIVALS)):
                    kind = policy if policy in RIVALS else "module"
                    facts = (Path(folder), tree, name, proxies, servers, kind)
                    jobs += [((title, policy), *facts, seed) for seed in seeds]
        with ThreadPoolExecutor(args.cores) as pool:  # each run is a process of its own
            played = list(pool.map(lambda job: play(*job[1:]), jobs))
    runs: dict[tuple[str, str], list[Result]] = {}
    for job, result in zip(jobs, played, strict=True):
        runs.setdefault(job[0], []).append(result)
    lost, lines = table(runs)
    print("\n".join(lines))
    broken = any(r.breaches for (_, policy), of in runs.items() if policy == "after" for r in of)
    return 1 if lost or broken else 0


if __name__ == "__main__":
    sys.exit(main())
