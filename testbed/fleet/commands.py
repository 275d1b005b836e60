"""`python -m testbed fleet`: the whole fleet as processes on loopback, for some seconds."""

import argparse
import asyncio
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from testbed.fleet.demo import Demo, DemoResult

UNUSABLE, BROKEN = 2, 1  # exit codes
LEAST_S, MOST_S = 1.0, 300.0
MOST_PROXIES, MOST_CONTROLS = 20, 9


def register(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command to a parser's."""
    text = "the router fleet as real processes on loopback, with servers, operator and clients"
    command = subparsers.add_parser("fleet", help=text, description=text)
    command.add_argument("--seconds", type=float, default=15.0, help="of traffic (%(default)s)")
    command.add_argument("--proxies", type=int, default=2, help="proxy processes (%(default)s)")
    command.add_argument("--controls", type=int, default=3, help="control processes (%(default)s)")
    command.set_defaults(command=fleet)


def unusable(args: argparse.Namespace) -> str:
    """What is wrong with the arguments; empty: nothing."""
    if not LEAST_S <= args.seconds <= MOST_S:
        return f"--seconds: give {LEAST_S:.0f} to {MOST_S:.0f}"
    if not 1 <= args.proxies <= MOST_PROXIES:
        return f"--proxies: give 1 to {MOST_PROXIES}"
    if not 1 <= args.controls <= MOST_CONTROLS:
        return f"--controls: give 1 to {MOST_CONTROLS}"
    return ""


def fleet(args: argparse.Namespace) -> int:
    """0; 1 where something went wrong; 2 where the arguments can't be used."""
    wrong = unusable(args)
    if wrong:
        print(f"testbed: {wrong}", file=sys.stderr)
        return UNUSABLE
    from testbed.fleet.demo import Demo, DemoSize
    from testbed.fleet.display import shown

    with shown() as show:
        size = DemoSize(args.seconds, args.proxies, args.controls)
        try:
            result = asyncio.run(play(Demo(size, show)))
        except (asyncio.CancelledError, KeyboardInterrupt):
            print("fleet FAILED: ended from outside; all that was started has ended")
            return BROKEN
    print(result.summary())
    return BROKEN if result.problems else 0


async def play(demo: "Demo") -> "DemoResult":
    """Play it; at SIGTERM all that was started is ended first."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await demo.run()
