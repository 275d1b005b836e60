"""`python -m testbed relay SCRIPT.toml`: play a script until Ctrl-C, then say what was done."""

import argparse
import asyncio
import contextlib
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

import msgspec

from testbed.relay.driver import Relaying, serve
from testbed.relay.journal import JournalError
from testbed.relay.script import ScriptError, load


def relay(options: argparse.Namespace) -> int:
    """0 where every rule acted (or the replay was exact), 1 where not, 2 where the script cannot be used."""
    try:
        script = load(options.script)
        if not script.hops:
            raise ScriptError(f"{options.script}: hops: one is needed at least")
        if options.seed is not None:
            script = msgspec.structs.replace(script, seed=options.seed)
        played = Path(options.replay).read_bytes() if options.replay else None
        with contextlib.ExitStack() as stack:
            file: BinaryIO | None = None
            if options.journal:
                file = stack.enter_context(open(options.journal, "wb"))
            relaying = Relaying(script, file, played)
            asyncio.run(play(relaying, options.seconds))
    except (ScriptError, JournalError, OSError) as error:
        print(f"relay: {error}", file=sys.stderr)
        return 2
    for line in relaying.report.lines():
        print(line)
    return 1 if relaying.report.never or relaying.report.differs else 0


async def play(relaying: Relaying, seconds: float | None) -> None:
    ends = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, ends.set)

    async def until() -> None:
        for name, server in relaying.servers.items():
            print(f"{name or 'hop'}: 127.0.0.1:{server.port} -> {server.hop.target}", flush=True)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(ends.wait(), seconds)

    await serve(relaying, until)


def register(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the command to a parser's."""
    command = subparsers.add_parser("relay", help="relay TCP links and break them as a script says")
    command.add_argument("script", metavar="SCRIPT.toml")
    command.add_argument("--seed", type=int, help="in place of the script's")
    command.add_argument("--seconds", type=float, help="end after so long; else on Ctrl-C")
    command.add_argument("--journal", metavar="FILE", help="write what was done, to be played again")
    command.add_argument("--replay", metavar="FILE", help="do what this journal says, not the rules")
    command.set_defaults(command=relay)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m testbed.relay")
    register(parser.add_subparsers(required=True))
    options = parser.parse_args(arguments)
    code: int = options.command(options)
    return code
