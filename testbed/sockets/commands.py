"""The commands on sockets: `python -m testbed run SCENARIO` and `python -m testbed relay SCRIPT.toml`.

What they need is imported when they are called, as who plays in virtual time needs none of it.
"""

import argparse
import signal
import sys
from typing import TYPE_CHECKING, Any, NoReturn

from testbed.relay import commands as relay

if TYPE_CHECKING:
    from testbed.results import Result

UNUSABLE, BROKEN, INTERRUPTED = 2, 1, 130  # exit codes


def register(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the commands to a parser's."""
    text = "one run on sockets, with real daemons and an oracle at both ends"
    command = subparsers.add_parser("run", help=text, description=text)
    command.add_argument("scenario", help="a file, or the name of one of the testbed's")
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--seconds", type=float, help="in place of the scenario's")
    command.add_argument("--proxies", type=int, help="daemons, in place of the scenario's")
    command.add_argument("--operator", metavar="FILE", help="the daemons' operators' file")
    command.add_argument("--logs", metavar="DIR", help="keep the daemons' logs and configurations there")
    command.add_argument("--json", metavar="OUT", help="keep the result in a file")
    command.set_defaults(command=run)
    relay.register(subparsers)


def end_as_interrupted(*_: Any) -> NoReturn:
    raise KeyboardInterrupt


def run(args: argparse.Namespace) -> int:
    """0; 1 where a promise was broken; 2 where the scenario cannot be played; 130 on Ctrl-C."""
    import msgspec

    from testbed import experiments, result_text
    from testbed.scenario import ScenarioError
    from testbed.sockets.daemons import RunError
    from testbed.sockets.run import play
    from testbed.sockets.show import shown

    scenario = experiments.find(args.scenario)
    changes = {name: getattr(args, name) for name in ("seconds", "proxies") if getattr(args, name)}
    try:
        scenario = msgspec.structs.replace(scenario, **changes)
    except ValueError as error:
        raise ScenarioError(str(error)) from None
    signal.signal(signal.SIGTERM, end_as_interrupted)
    try:
        with shown(scenario) as show:
            result = play(scenario, args.seed, args.operator, args.logs, show)
    except RunError as error:
        print(f"testbed: {error}", file=sys.stderr)
        return UNUSABLE
    except KeyboardInterrupt:
        print("testbed: stopped", file=sys.stderr)
        return INTERRUPTED
    result_text.keep(args.json, [result])
    print_account(result)
    return BROKEN if result.breaches else 0


def print_account(result: "Result") -> None:
    """What a run came to: a table by class and tenant, faults, daemons, and the figures as the last lines."""
    from testbed import result_text
    from testbed.experiments import aligned
    from testbed.results import histogram

    rows = [
        ["class", "tenant", "asked", "in aim", "late", "refused", "failed", "left", "goodput", "p50", "p99"]
    ]
    assert result.live is not None
    for t in result.tallies:
        counts = (t.asked, t.in_aim, t.late, t.refused, t.failed, t.left)
        share = t.worth_in_aim / t.worth_asked if t.worth_asked else 1.0
        spans = type(histogram()).decode(result.live.by_tenant[f"{t.klass}/{t.tenant}"])
        ends = [f"{spans.get_value_at_percentile(p) / 1000.0:.1f}" for p in (50.0, 99.0)]
        rows.append([t.klass, t.tenant or "-", *map(str, counts), f"{share:.3f}", *ends])
    print(aligned(rows))
    for fault in result.acted:
        print(f"fault {fault.kind}: {fault.at:.0f} to {fault.until:.0f} ms {fault.text}".rstrip())
    for line in result_text.breaches(result):
        print(line)
    for p in result.live.processes:
        per = p.cpu_s / max(1.0, result.total("asked") / len(result.live.processes)) * 1e6
        cost = (
            f"{p.cpu_s:.2f} s CPU ({per:.0f} us a request), {p.cpu_worst:.2f} of a core in the worst second"
        )
        print(f"proxy {p.proxy}: {cost}, {p.memory_mb:.0f} MB, {p.descriptors} descriptors, {p.lives} lives")
    live = result.live
    if live.rude:
        print(f"rude clients: {live.rude}, of them neither answered nor closed in time: {live.rude_left}")
    if live.excused:
        print(f"excused: {live.excused} requests that a killed proxy held")
    late = type(histogram()).decode(live.lateness).get_value_at_percentile(99.0) / 1000.0
    written = f"99% written within {late:.1f} ms of their time, resent {live.resent}"
    print(f"load {live.load_cpu:.2f} of a core, fleet {live.fleet_cpu:.2f}; {written}")
    for line in live.behind:
        print(f"behind: {line}")
    print(f"attempts a request {result.attempts_a_request():.3f}, work wasted {result.wasted():.3f}")
    print(result_text.figures(result).rpartition("\n")[0])  # no digest: no two runs are the same
