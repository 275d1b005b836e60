"""The demo: emulated turn servers, discovery, real daemons and clients on loopback, in one command.

It needs no file and no variable, takes free ports only, and leaves no process behind, also on Ctrl-C.
"""

import argparse
import os
import signal
import sys
import tempfile
from pathlib import Path

import msgspec

from testbed import report
from testbed.scenario import Scenario, ScenarioError, load, parse
from testbed.sockets.commands import BROKEN, INTERRUPTED, UNUSABLE, end_as_interrupted, print_account
from testbed.sockets.daemons import RunError
from testbed.sockets.run import play
from testbed.sockets.show import shown

LEAST, MOST = 2.0, 3600.0  # seconds of a demo


def scaled(scenario: Scenario, seconds: float) -> Scenario:
    """The scenario with all its instants moved into another length."""
    factor = seconds / scenario.seconds
    moved = [
        msgspec.structs.replace(f, at=f.at * factor, lasts=f.lasts * factor, stagger_ms=f.stagger_ms * factor)
        for f in scenario.faults
    ]
    return msgspec.structs.replace(scenario, seconds=seconds, faults=moved)


def main(options: argparse.Namespace) -> int:
    """0; 1 where a promise was broken; 2 where it cannot be played; 130 on Ctrl-C."""
    signal.signal(signal.SIGTERM, end_as_interrupted)
    try:
        if options.scenario:
            scenario = load(options.scenario)
        else:
            scenario = parse(Path(__file__).with_name("demo.toml").read_bytes())
        if options.seconds is not None:
            if not LEAST <= options.seconds <= MOST:
                raise ScenarioError(f"--seconds must be from {LEAST:g} to {MOST:g}")
            scenario = scaled(scenario, options.seconds)
        print(f"{scenario.name}: {scenario.about}", flush=True)
        where = f"{scenario.proxies} proxies, {scenario.servers} emulated turn servers"
        print(
            f"{where}, {scenario.rate():.0f} requests/s for {scenario.seconds:g} s, on loopback", flush=True
        )
        with shown(scenario) as show:
            result = play(scenario, 1, watch=show)
        print_account(result)
        path = write(report.page([result]), options.report)
    except (ScenarioError, RunError, OSError) as error:
        print(f"brackenusher demo: {error}", file=sys.stderr)
        return UNUSABLE
    except KeyboardInterrupt:
        print("brackenusher demo: stopped", file=sys.stderr)
        return INTERRUPTED
    print(f"report: {path}")
    return BROKEN if result.breaches else 0


def write(text: str, path: str | None) -> str:
    """Write the report; without a path into a file of its own among the temporary ones."""
    if path is None:
        number, path = tempfile.mkstemp(prefix="brackenusher-demo-", suffix=".html")
        os.close(number)
    Path(path).write_text(text, encoding="utf-8")
    return str(Path(path).resolve())
