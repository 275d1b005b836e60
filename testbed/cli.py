"""The command line: one run, many runs, what two policies differ by, a page to look at, a storm of chance."""

import argparse
import json
import logging
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from statistics import fmean

import structlog
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from testbed import experiments, result_text, results, scenario
from testbed.experiments import FIGURES, RANDOM, Job, aligned, difference, play_all
from testbed.fleet import commands as fleet
from testbed.policies import POLICIES
from testbed.processes import commands as processes
from testbed.reference import table
from testbed.results import Result
from testbed.scenario import ScenarioError
from testbed.sockets import commands as sockets
from testbed.week import commands as week

UNUSABLE, BROKEN = 2, 1  # exit codes: cannot be played; a promise was broken

log = structlog.get_logger()


def main(argv: Sequence[str] | None = None) -> int:
    """Carry out a command. Returns 0, 1 where a promise was broken, 2 where something cannot be used."""
    args = parser().parse_args(argv)
    level = getattr(logging, args.log_level.upper())
    logging.basicConfig(level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.KeyValueRenderer(key_order=["level", "event"]),
        ],
    )
    try:
        return int(args.command(args))
    except ScenarioError as error:
        print(f"testbed: {error}", file=sys.stderr)
        return UNUSABLE


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="python -m testbed", description=__doc__)
    top.add_argument("--log-level", choices=["debug", "info", "warning", "error"], default="warning")
    commands = top.add_subparsers(required=True, metavar="COMMAND")

    def command(name, does, text):  # type: ignore[no-untyped-def]
        added = commands.add_parser(name, help=text, description=text)
        added.set_defaults(command=does)
        return added

    def several(added, seeds):  # type: ignore[no-untyped-def]
        added.add_argument("--seeds", default=seeds, help="A..B or A,B,C (%(default)s)")
        added.add_argument("--cores", type=int, default=None, help="processes at once (all cores)")
        added.add_argument("--json", metavar="OUT", help="keep the results in a file")

    one = command("simulate", simulate, "one run; its last lines are the figures and the digest")
    one.add_argument("scenario", help="a file, the name of one of the testbed's, or random:SEED")
    one.add_argument("--seed", type=int, required=True)
    one.add_argument("--policy", default="module")
    one.add_argument("--until", type=float, metavar="MS", help="stop just before this time")
    one.add_argument("--json", metavar="OUT", help="keep the result in a file")

    many = command("sweep", sweep, "one setting over values, policies and seeds")
    many.add_argument("scenario")
    many.add_argument(
        "--set",
        required=True,
        metavar="PATH=V,V",
        help="such as load.of_capacity=0.3,0.6 or faults.0.size=2,4",
    )
    many.add_argument("--policy", default="module", help="one or more, with commas between")
    several(many, "1..5")

    two = command("compare", compare, "two policies or result files, paired by seed")
    two.add_argument("a", help="a policy or a file written with --json")
    two.add_argument("b")
    two.add_argument("--scenario", action="append", help="for policies; may be given again (all)")
    several(two, "1..10")

    page = command("report", report, "one self-contained page with plots")
    page.add_argument("out", metavar="OUT.html")
    page.add_argument("--from", dest="files", action="append", metavar="FILE", help="written with --json")
    page.add_argument("--scenario", action="append", help="runs it in place of reading a file")
    page.add_argument("--policy", default="module", help="one or more, with commas between")
    several(page, "1")

    storm_ = command("storm", storm, "scenarios drawn by chance, under the oracle")
    storm_.add_argument("--policy", default="module")
    several(storm_, "1..100")

    sockets.register(commands)
    processes.register(commands)
    week.register(commands)
    fleet.register(commands)

    command("list", list_, "scenarios and policies")
    command("settings", settings, "the settings of a scenario, with defaults and ranges, as a table")
    return top


def simulate(args: argparse.Namespace) -> int:
    """One run; 1 where the oracle found a promise broken."""
    job = Job(experiments.find(args.scenario), experiments.known(args.policy), args.seed, args.until)
    log.info("run", scenario=job.scenario.name, policy=job.policy, seed=job.seed, until=job.until)
    result = experiments.play(job)
    cost = result.cost
    log.info("ran", wall_s=round(cost.wall_s, 2), events=cost.events, memory_mb=round(cost.memory_mb))
    result_text.keep(args.json, [result])
    head = ["class", "tenant", "asked", "in aim", "late", "refused", "failed", "left", "goodput"]
    rows = [head]
    for t in result.tallies:
        counts = (t.asked, t.in_aim, t.late, t.refused, t.failed, t.left)
        share = t.worth_in_aim / t.worth_asked if t.worth_asked else 1.0
        rows.append([t.klass, t.tenant or "-", *map(str, counts), f"{share:.3f}"])
    print(aligned(rows))
    for fault in result.acted:
        print(f"fault {fault.kind}: {fault.at:.0f} to {fault.until:.0f} ms {fault.text}".rstrip())
    for line in result_text.breaches(result):
        print(line)
    attempts, wasted = result.attempts_a_request(), result.wasted()
    print(f"attempts a request {attempts:.3f}, work wasted {wasted:.3f}, virtual {result.seconds:.1f} s")
    print(result_text.figures(result))
    return BROKEN if result.breaches else 0


@contextmanager
def progress(what: str, total: int) -> Iterator[Progress]:
    """A bar on standard error, where that is a terminal."""
    console = Console(stderr=True)
    columns = (TextColumn(what), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, disable=not console.is_terminal) as bar:
        bar.add_task(what, total=total)
        yield bar


def play_shown(what: str, jobs: list[Job], cores: int | None) -> list[Result]:
    """Play runs behind a progress bar."""
    with progress(what, len(jobs)) as bar:
        task = bar.task_ids[0]
        return play_all(jobs, cores, lambda _: bar.advance(task))


def sweep(args: argparse.Namespace) -> int:
    """One setting over values; a line for each value and policy, means over the seeds."""
    base, seeds = experiments.find(args.scenario), experiments.seeds(args.seeds)
    policies = [experiments.known(p) for p in args.policy.split(",")]
    path, equals, texts = args.set.partition("=")
    if not equals or not texts:
        raise ScenarioError(f"`{args.set}`: PATH=VALUE,VALUE is wanted")
    values = [value_of(text) for text in texts.split(",")]
    cases = [(v, experiments.altered(base, path, v), p) for v in values for p in policies]
    jobs = [Job(changed, p, seed) for _, changed, p in cases for seed in seeds]
    found = play_shown("sweep", jobs, args.cores)
    result_text.keep(args.json, found)
    rows = [[path, "policy", *FIGURES, "refused", "breaches"]]
    for n, (value, _, policy) in enumerate(cases):
        runs = found[n * len(seeds) : (n + 1) * len(seeds)]
        means = [f"{fmean(map(figure, runs)):.4g}" for figure in FIGURES.values()]
        refused = fmean(r.total("refused") / max(1.0, r.total("asked")) for r in runs)
        rows.append([str(value), policy, *means, f"{refused:.4f}", str(sum(len(r.breaches) for r in runs))])
    print(aligned(rows))
    return BROKEN if any(r.breaches for r in found) else 0


def value_of(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text


def compare(args: argparse.Namespace) -> int:
    """The difference of B from A, by scenario, with its 95% interval."""
    names = args.scenario or [str(path) for path in scenario.built_in()]
    sides = []
    for side in (args.a, args.b):
        if side in POLICIES:
            found = [experiments.find(name) for name in names]
            jobs = [Job(s, side, seed) for s in found for seed in experiments.seeds(args.seeds)]
            sides.append(play_shown(side, jobs, args.cores))
        else:
            sides.append(read(side))
    result_text.keep(args.json, sides[0] + sides[1])
    pairs = experiments.paired(*sides)
    if not pairs:
        raise ScenarioError(f"{args.a} and {args.b}: no scenario and seed in common")
    rows = [["scenario", "figure", "A", "B", "B - A", "95%", "pairs", ""]]
    for name, runs in pairs.items():
        for title, figure in FIGURES.items():
            a, b = [figure(x) for x, _ in runs], [figure(y) for _, y in runs]
            d = difference(a, b)
            beyond = "beyond noise" if abs(d.mean) > d.half else ""
            cells = [f"{fmean(a):.4g}", f"{fmean(b):.4g}", f"{d.mean:+.4g}", f"+-{d.half:.2g}", str(d.pairs)]
            rows.append([name, title, *cells, beyond])
    print(f"A = {args.a}, B = {args.b}; paired by seed; interval by Student's t")
    print(aligned(rows))
    return 0


def read(path: str) -> list[Result]:
    try:
        return results.read(path)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}, and no policy of that name") from None
    except ValueError as error:  # msgspec's errors are among them
        raise ScenarioError(f"{path}: {' '.join(str(error).split())}") from None


def report(args: argparse.Namespace) -> int:
    """Write the page; the runs come from files, from scenarios played now, or from both."""
    from testbed.report import page

    found = [result for path in args.files or [] for result in read(path)]
    policies = [experiments.known(p) for p in args.policy.split(",")]
    chosen = [experiments.find(name) for name in args.scenario or []]
    jobs = [Job(s, p, n) for s in chosen for p in policies for n in experiments.seeds(args.seeds)]
    found += play_shown("report", jobs, args.cores)
    if not found:
        raise ScenarioError("report: --from FILE or --scenario NAME is wanted")
    result_text.keep(args.json, found)
    try:
        Path(args.out).write_text(page(found), encoding="utf-8")
    except OSError as error:
        raise ScenarioError(f"{args.out}: {error.strerror}") from None
    print(f"{args.out}: {len(found)} runs")
    return 0


def storm(args: argparse.Namespace) -> int:
    """Scenarios drawn by chance; each breach is printed with the command that finds it again."""
    policy, seeds = experiments.known(args.policy), experiments.seeds(args.seeds)
    jobs = [Job(experiments.find(f"{RANDOM}{seed}"), policy, seed) for seed in seeds]
    found = play_shown("storm", jobs, args.cores)
    result_text.keep(args.json, found)
    broken = [r for r in found if r.breaches]
    for r in broken:
        for line in result_text.breaches(r):
            print(line)
        before = min(b.at for b in r.breaches)
        print(f"  simulate {RANDOM}{r.seed} --seed {r.seed} --policy {policy} --until {before:.3f}")
    asked, events = sum(r.total("asked") for r in found), sum(r.cost.events for r in found)
    acted = sum(len(r.acted) for r in found)
    print(f"scenarios {len(found)}, requests {asked:.0f}, events {events}, faults {acted}")
    print(f"goodput {fmean(r.goodput() for r in found):.4f}")
    print(f"broken {len(broken)}")
    return BROKEN if broken else 0


def list_(args: argparse.Namespace) -> int:
    """Scenarios and policies, a line each."""
    print("scenarios")
    for path in scenario.built_in():
        s = scenario.load(path)
        print(f"  {s.name:22} {s.proxies:4} x {s.servers:4}  {s.seconds:g} s  {s.about}")
    print("policies")
    for name, make in POLICIES.items():
        print(f"  {name:22} {(make.__doc__ or '').splitlines()[0]}")
    return 0


def settings(args: argparse.Namespace) -> int:
    """The table of settings, as the documentation holds it."""
    print(table())
    return 0
