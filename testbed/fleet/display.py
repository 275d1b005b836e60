"""The table of a fleet while it runs: live in a terminal, else a plain line now and then."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console, Group
from rich.live import Live
from rich.panel import Panel
from rich.table import Table

from testbed.fleet.demo import DemoLook

PLAIN_PERIOD_S = 2.0  # between two lines where there is no terminal
MOST_ROWS = 20


def summary(look: DemoLook) -> str:
    """A moment in one line."""
    half, most = look.clients.quantiles()
    lost = sum(count for status, count in look.clients.statuses.items() if status != 200)
    versions = sorted(set(look.versions.values()))
    return (
        f"{look.second:5.1f} s  {look.stage}  requests {look.clients.sent}  events {look.clients.events}"
        f"  not served {lost}  first event {half:.0f} ms, p99 {most:.0f} ms"
        f"  version {look.wanted_version}, in force {versions}  servers {len(look.servers)}"
    )


def page(look: DemoLook) -> Group:
    """A moment as tables."""
    proxies = Table(title="proxies", box=None)
    for title in ("machine", "version in force", "in flight"):
        proxies.add_column(title)
    for name, version in sorted(look.versions.items())[:MOST_ROWS]:
        colour = "green" if version >= look.wanted_version else "yellow"
        proxies.add_row(name, f"[{colour}]{version}[/{colour}]", str(look.in_flight.get(name, 0)))
    servers = Table(title="servers", box=None)
    for title in ("id", "state", "address", "running"):
        servers.add_column(title)
    for row in look.servers[:MOST_ROWS]:
        running = str(look.held.get(row["id"], 0))
        servers.add_row(row["id"], row["state"], row["address"], running)
    return Group(Panel(summary(look), title="fleet"), proxies, servers)


@contextmanager
def shown(console: Console | None = None) -> Iterator[Callable[[DemoLook], None]]:
    """Yields what is to be called with each look."""
    console = console or Console()
    if console.is_terminal:
        with Live(console=console, auto_refresh=False) as live:
            yield lambda look: live.update(page(look), refresh=True)
        return
    told_stage, told_at = "", 0.0

    def line(look: DemoLook) -> None:
        nonlocal told_stage, told_at
        if look.stage != told_stage or look.second - told_at >= PLAIN_PERIOD_S:
            told_stage, told_at = look.stage, look.second
            print(summary(look), flush=True)

    yield line
