"""The module against every rival, in virtual time, paired by seed.

    python benchmarks/policies.py [--quick] [--write docs/testbed.md]

Exit 1 where a rival leads by more than 0.01 of goodput beyond the 95% interval, or the oracle found a breach
of the module's; 2 where something cannot be used.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from statistics import fmean

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # run as a file, from anywhere

from testbed import results, scenario
from testbed.cli import play_shown, read
from testbed.experiments import FIGURES, Difference, Job, difference, find, known, seeds
from testbed.policies import BOUND, POLICIES
from testbed.results import Result
from testbed.scenario import ScenarioError

BEATEN = 0.01  # of goodput, beyond the interval: a smaller lead is of no use to anybody
FAR = 0.10  # the bound this much ahead calls for a look
QUICK = ["calm", "slow_quarter", "quick_errors"]
BEGIN, END = "<!-- policies: begin -->", "<!-- policies: end -->"

Runs = dict[tuple[str, str], list[Result]]  # by scenario and policy, in the order of seeds


def main(argv: Sequence[str] | None = None) -> int:
    args = parser().parse_args(argv)
    try:
        return measure(args)
    except ScenarioError as error:
        print(f"policies: {error}", file=sys.stderr)
        return 2


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(description="The module against every rival, paired by seed.")
    top.add_argument("--quick", action="store_true", help="three seeds of three scenarios, within a minute")
    top.add_argument("--scenario", action="append", help="may be given again (all)")
    top.add_argument("--policies", default=",".join(POLICIES), help="with commas between (all)")
    top.add_argument("--seeds", help="A..B or A,B,C (1..10; quick: 1..3)")
    top.add_argument("--cores", type=int, default=None, help="processes at once (all cores)")
    top.add_argument("--json", metavar="OUT", help="keep the results in a file")
    top.add_argument("--from", dest="kept", action="append", metavar="FILE", help="read, do not play")
    top.add_argument("--write", metavar="PAGE", help="put the tables between the markers of a page")
    return top


def measure(args: argparse.Namespace) -> int:
    policies = list(dict.fromkeys(["module", *map(known, args.policies.split(","))]))
    if args.kept:
        found = [r for path in args.kept for r in read(path)]
    else:
        names = args.scenario or (QUICK if args.quick else [path.stem for path in scenario.built_in()])
        wanted = seeds(args.seeds or ("1..3" if args.quick else "1..10"))
        jobs = [Job(find(name), policy, seed) for name in names for seed in wanted for policy in policies]
        found = play_shown("policies", jobs, args.cores)
    if args.json:
        results.save(found, args.json)
    runs: Runs = {}
    for r in sorted(found, key=lambda r: r.seed):
        runs.setdefault((r.scenario, r.policy), []).append(r)
    lost, text = tables(runs, [p for p in POLICIES if p in {r.policy for r in found}])
    print(text)
    if args.write:
        put(Path(args.write), text)
    return 1 if lost or any(r.breaches for r in found if r.policy == "module") else 0


def tables(runs: Runs, policies: Sequence[str]) -> tuple[bool, str]:
    """Whether the module is beaten, and the tables with what it lost as Markdown."""
    names = list(dict.fromkeys(name for name, _ in runs))
    rivals = [p for p in policies if p != "module"]
    counts = sorted({len(of) for of in runs.values()})
    lines = [f"Runs of each scenario and policy: {' to '.join(map(str, counts))}."]
    titles = {
        "goodput": "Goodput; in brackets by how much a rival leads the module, where beyond its 95% interval",
        "p99": "99th percentile of the latency of what was served, ms",
        "attempts": "Attempts a request",
    }
    for figure, title in titles.items():
        lines += ["", f"{title}:", "", row(["scenario", *policies]), row(["---"] * (len(policies) + 1))]
        for name in names:
            cells = [name]
            for policy in policies:
                cells.append(cell(runs, name, policy, figure))
            lines.append(row(cells))
        if figure == "goodput":
            lines.append(row(["mean", *(f"{mean(runs, names, p):.3f}" for p in policies)]))
    beaten, losses = [], []
    for name in names:
        for rival in rivals:
            lead = ahead(runs, name, rival)
            if rival != BOUND and lead is not None and lead.beyond(BEATEN):
                beaten.append((name, rival))
                losses.append(f"- {name}: {rival} leads by {lead.mean:.3f} +-{lead.half:.3f}: beaten")
            elif rival != BOUND and lead is not None and lead.beyond():
                losses.append(f"- {name}: {rival} leads by {lead.mean:.4f} +-{lead.half:.4f}, beyond noise")
            elif rival == BOUND and lead is not None and lead.mean > FAR:
                losses.append(f"- {name}: the upper bound is {lead.mean:.3f} +-{lead.half:.3f} ahead")
    lines += ["", "What the module loses:", "", *(losses or ["- nothing beyond noise"])]
    broken = {p: sum(len(r.breaches) for (_, q), of in runs.items() if q == p for r in of) for p in policies}
    lines += ["", "Breaches found by the oracle: " + ", ".join(f"{p} {n}" for p, n in broken.items()) + "."]
    return bool(beaten), "\n".join(lines)


def row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def mean(runs: Runs, names: Sequence[str], policy: str) -> float:
    return fmean(fmean(r.goodput() for r in runs[name, policy]) for name in names if (name, policy) in runs)


def cell(runs: Runs, name: str, policy: str, figure: str) -> str:
    of = runs.get((name, policy))
    if not of:
        return "-"
    value = fmean(map(FIGURES[figure], of))
    text = f"{value:.0f}" if figure == "p99" else f"{value:.3f}"
    lead = ahead(runs, name, policy) if figure == "goodput" and policy != "module" else None
    if lead is not None and lead.beyond():
        text += f" (+{lead.mean:.3f} +-{lead.half:.3f})"
    return text


def ahead(runs: Runs, name: str, rival: str) -> Difference | None:
    """By how much goodput a rival leads; None where there are no pairs."""
    own = {r.seed: r.goodput() for r in runs.get((name, "module"), [])}
    other = {r.seed: r.goodput() for r in runs.get((name, rival), [])}
    both = sorted(own.keys() & other.keys())
    return difference([own[s] for s in both], [other[s] for s in both]) if both else None


def put(page: Path, text: str) -> None:
    """Replace what stands between the markers."""
    before, begin, rest = page.read_text(encoding="utf-8").partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise ScenarioError(f"{page}: the markers `{BEGIN}` and `{END}` are missing")
    page.write_text(f"{before}{BEGIN}\n{text}\n{END}{after}", encoding="utf-8")


if __name__ == "__main__":
    sys.exit(main())
