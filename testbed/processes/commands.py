"""`python -m testbed processes`: faults between several daemons, or in virtual time.

What it needs is imported when it is called.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from testbed.schedule import Schedule

UNUSABLE, BROKEN = 2, 1  # exit codes
CALM = 10.0  # periods until the faults of a schedule by chance, in virtual time: the group comes together


def register(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command to a parser's."""
    text = "several daemons as peers with faults between them, on processes or in virtual time"
    command = subparsers.add_parser("processes", help=text, description=text)
    command.add_argument("schedule", nargs="?", help="a TOML file; or a journal, which plays the same again")
    command.add_argument("--chance", metavar="A..B", help="schedules by chance from these seeds instead")
    command.add_argument("--size", type=int, default=5, help="processes, by chance (%(default)s)")
    command.add_argument("--virtual", action="store_true", help="in virtual time, with the machines alone")
    command.add_argument("--period", type=int, default=200, metavar="MS", help="of pings (%(default)s)")
    command.add_argument("--folder", metavar="DIR", help="keep logs and journals there")
    command.set_defaults(command=processes)


def wanted(args: argparse.Namespace) -> "list[Schedule]":
    """The schedules to be played. Raises ScheduleError."""
    import msgspec

    from testbed.schedule import Schedule, ScheduleError, by_chance, read

    if args.chance:
        first, _, last = args.chance.partition("..")
        try:
            seeds = range(int(first), int(last or first) + 1)
        except ValueError:
            raise ScheduleError(f"--chance: {args.chance} is not A..B") from None
        calm, quiet = (8.0, 25.0) if args.virtual else (3.0, 5.0)
        return [by_chance(seed, args.size, calm, quiet) for seed in seeds]
    if not args.schedule:
        raise ScheduleError("a schedule or --chance is needed")
    if not str(args.schedule).endswith(".json"):
        return [read(args.schedule)]
    try:
        kept = json.loads(Path(args.schedule).read_text(encoding="utf-8"))
        return [msgspec.convert(kept["schedule"], Schedule)]
    except (OSError, ValueError, KeyError, msgspec.ValidationError) as error:
        raise ScheduleError(f"{args.schedule}: {error}") from error


def processes(args: argparse.Namespace) -> int:
    """0; 1 where a promise was broken; 2 where a schedule cannot be played."""
    from testbed.schedule import ScheduleError

    try:
        schedules = wanted(args)
    except ScheduleError as error:
        print(f"testbed: {error}", file=sys.stderr)
        return UNUSABLE
    broken = 0
    for schedule in schedules:
        found = virtually(schedule) if args.virtual else on_processes(schedule, args)
        broken += bool(found)
        print(f"seed {schedule.seed}: {'; '.join(found[:3]) or 'no promise broken'}", flush=True)
    print(f"{len(schedules)} played, {broken} with a breach")
    return BROKEN if broken else 0


def virtually(schedule: "Schedule") -> list[str]:
    from testbed import oracle_views as oracle
    from testbed.group import PERIOD, Group

    group = Group(schedule.size, schedule.seed)
    group.run(CALM * PERIOD)
    group.play(schedule)
    found = oracle.breaches(group.history())
    return found or ([why] if not group.hopeless() and (why := group.unsettled()) else [])


def on_processes(schedule: "Schedule", args: argparse.Namespace) -> list[str]:
    """Play it; those that it killed for good are started again, so that all have to come together."""
    from testbed.processes.several import Several

    folder = Path(args.folder) / f"seed{schedule.seed}" if args.folder else None
    with Several(schedule.size, folder, schedule.seed, args.period) as group:
        try:
            group.settle()
            group.carry_out(schedule)
            for number in range(group.size):
                if number not in group.running():
                    group.start(number)
            group.until(lambda: all(d.ready() for d in group.daemons), "a start of all")
            group.settle()
            found = []
        except AssertionError as error:
            found = ["settles: " + " / ".join(str(error).splitlines())]
        if folder is not None:
            group.keep_journal(folder / "journal.json")
        return group.breaches() + found
