"""What a run on sockets looks like while it goes on: figures in a terminal, else a plain line a second."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console, Group
from rich.live import Live
from rich.panel import Panel
from rich.table import Table
from rich.text import Text

from testbed.scenario import Scenario
from testbed.sockets.run import Look

SHOWN_EVENTS, SHOWN_SERVERS, BAR = 6, 24, 20
COLOURS = {
    "ready": "green",
    "cold": "cyan",
    "slow": "yellow",
    "draining": "magenta",
    "hung": "red",
    "down": "red",
}


def summary(look: Look) -> str:
    """The figures of a moment in one line."""
    load = look.load
    if not load:
        return "starting"
    over = load["in_aim"] + load["late"] + load["refused"] + load["failed"]
    goodput = load["in_aim"] / over if over else 1.0
    return (
        f"{load['rate']:4d} served/s  in aim {goodput:.3f}  p50 {load['p50']:.0f} ms  "
        f"p99 {load['p99']:.0f} ms  refused {load['refused']}  failed {load['failed']}  open {load['open']}"
    )


def page(scenario: Scenario, look: Look) -> Group:
    """The figures of a moment as a page for a terminal."""
    servers = Table(box=None, padding=(0, 1))
    for title in ("server", "state", "held", "", "capacity"):
        servers.add_column(title, justify="left" if title != "held" else "right")
    for name, state, held, capacity in look.fleet[:SHOWN_SERVERS]:
        bar = "#" * min(BAR, held) + ("+" if held > BAR else "")
        colour = COLOURS.get(state, "white")
        servers.add_row(name, Text(state, style=colour), str(held), bar.ljust(BAR), f"{capacity:.2f}")
    if len(look.fleet) > SHOWN_SERVERS:
        servers.add_row(f"and {len(look.fleet) - SHOWN_SERVERS} more", "", "", "", "")
    proxies = Table(box=None, padding=(0, 1))
    for title in ("proxy", "CPU s", "MB", "descriptors"):
        proxies.add_column(title, justify="right")
    for daemon in look.daemons:
        facts = daemon.facts
        proxies.add_row(
            f"n{daemon.number}", f"{facts.cpu_s:.1f}", f"{facts.memory_mb:.0f}", str(facts.descriptors)
        )
    events = Text("\n".join(f"{at / 1e6:5.1f} s  {what}" for at, what in look.events[-SHOWN_EVENTS:]) or " ")
    head = f"{scenario.name}  {max(0.0, look.second):.0f} of {scenario.seconds:.0f} s"
    below = Table.grid(padding=(0, 4))
    below.add_row(servers, Group(proxies, Text(), events))
    return Group(Panel(summary(look), title=head), below)


@contextmanager
def shown(scenario: Scenario, console: Console | None = None) -> Iterator[Callable[[Look], None]]:
    """Show a run; what is yielded is to be called with each look at it."""
    console = console or Console()
    if not console.is_terminal:
        seen = 0

        def line(look: Look) -> None:
            nonlocal seen
            told = "; ".join(what for _, what in look.events[seen:])
            seen = len(look.events)
            print(
                f"{max(0.0, look.second):5.0f} s  {summary(look)}" + (f"  | {told}" if told else ""),
                flush=True,
            )

        yield line
        return
    with Live(console=console, auto_refresh=False, transient=True) as live:
        yield lambda look: live.update(page(scenario, look), refresh=True)
    sys.stdout.flush()
