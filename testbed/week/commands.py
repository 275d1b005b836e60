"""`python -m testbed week`: short weeks by chance or from a journal, on processes or in virtual time."""

import argparse
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from testbed.week.plan import Plan

UNUSABLE, BROKEN = 2, 1  # exit codes


def register(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command to a parser's."""
    text = "membership, policy and replicated state together, with failures and staff at work"
    command = subparsers.add_parser("week", help=text, description=text)
    command.add_argument("journal", nargs="?", help="play the plan of this journal again")
    command.add_argument("--seed", metavar="A..B", default="1", help="weeks by chance (%(default)s)")
    command.add_argument("--size", type=int, default=5, help="processes (%(default)s)")
    command.add_argument("--virtual", action="store_true", help="with the machines alone")
    command.add_argument("--shrink", action="store_true", help="find the least of a week that still breaks")
    command.add_argument("--folder", metavar="DIR", help="keep logs, journals and reports there")
    command.set_defaults(command=week)


def wanted(args: argparse.Namespace) -> "list[Plan]":
    """Raises ScheduleError."""
    from testbed.schedule import ScheduleError
    from testbed.week.plan import drawn, kept

    if args.journal:
        return [kept(args.journal)]
    first, _, last = args.seed.partition("..")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise ScheduleError(f"--seed: {args.seed} is not A..B") from None
    if not 3 <= args.size <= 50 and not (args.virtual and 3 <= args.size <= 1024):
        raise ScheduleError(f"--size: {args.size} is not 3 to 50, or to 1024 with --virtual")
    return [drawn(seed, args.size) for seed in seeds]


def week(args: argparse.Namespace) -> int:
    """0; 1 where a promise was broken; 2 where nothing can be played."""
    from testbed.schedule import ScheduleError
    from testbed.week.plan import pieces, shrunk

    try:
        plans = wanted(args)
    except ScheduleError as error:
        print(f"testbed: {error}", file=sys.stderr)
        return UNUSABLE
    broken = 0
    for plan in plans:
        found = play(plan, args)
        broken += bool(found)
        print(f"week {plan.seed}: {'; '.join(found[:3]) or 'no promise broken'}", flush=True)
        if found and args.shrink:
            least, played = shrunk(plan, lambda p: bool(play(p, args)), 60)
            left = pieces(least)
            print(f"the least of it after {played} plays, {len(left)} of {len(pieces(plan))} pieces:")
            for piece in left:
                print(f"  {piece}")
    print(f"{len(plans)} played, {broken} with a breach")
    return BROKEN if broken else 0


def play(plan: "Plan", args: argparse.Namespace) -> list[str]:
    if args.virtual:
        from testbed.week import virtual

        return virtual.play(plan)
    import json

    from testbed.week.processes import Week

    with tempfile.TemporaryDirectory(prefix="week-") as scratch:
        folder = Path(args.folder or scratch) / f"week{plan.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        with Week(folder, plan) as group:
            found = group.play_week()
            group.journal_of_week(folder / "journal.json", found)
        if args.folder:
            from testbed.week.report import page

            journal = json.loads((folder / "journal.json").read_text(encoding="utf-8"))
            (folder / "report.html").write_text(page(journal), encoding="utf-8")
    return found
