"""`brackenusher members`: who belongs to a group and which links work, asked of running proxies."""

import secrets
import time
from collections.abc import Callable
from typing import TextIO

from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError
from brackenusher.membership.frames import Line, Members, Who
from brackenusher.membership.show import ask
from brackenusher.membership.swim_messages import STATES

MOST_ASKED = 30  # members whose own word is asked for the matrix: one that is down takes the whole wait
MOST_COLUMNS = 30
WAYS = {"both": "=", "in": "<", "none": ".", "new": " "}
WATCH_S = 1.0  # seconds between two looks


def who(address: str, settings: PeersSettings) -> Members:
    """What one proxy says of its group. Raises ConfigError."""
    told = ask(address, settings, Who(secrets.randbits(64)))
    if not isinstance(told, Members):
        raise ConfigError(f"{address}: not an answer to what was asked")
    return told


def condition(told: Members) -> str:
    """How one that tells stands, in words."""
    if not told.number:
        return "belongs to no group yet"
    if told.dazed:
        return "stood still and has heard nobody since"
    return "cut off" if told.cut_off else "in touch"


def head(address: str, told: Members) -> str:
    belong = sum(line.belongs for line in told.lines)
    view = f"view {told.number} of group {told.group:08x}" if told.number else "no view"
    return f"# {address}: {told.name}, {view}, {belong} members, {condition(told)}, {told.flaps} flaps"


def seconds(line: Line) -> str:
    return f"{line.answered / 1000.0:.1f}" if line.answered >= 0 else "-"


def table(told: Members, others: dict[str, Members | None]) -> list[str]:
    """A line a process: what the asked one thinks of it, and what it says itself."""
    names = [line.name for line in told.lines if line.belongs][:MOST_COLUMNS]
    marks = "".join(str(i % 10) for i in range(len(names)))
    out = [
        f"{'name':<16} {'life':>14} {'address':<22} {'state':<8} {'answered':>8} {'view':>6} links to {marks}"
    ]
    for number, line in enumerate(told.lines):
        own = others.get(line.name)
        state = STATES[line.state] if line.belongs else "waits" if line.state == 0 else STATES[line.state]
        if own is not None and own.cut_off and line.belongs:
            state = "dazed" if own.dazed else "cut off"
        links = {each.name: WAYS.get(each.way, "?") for each in own.lines} if own is not None else {}
        row = "".join("\\" if name == line.name else links.get(name, "?") for name in names)
        view = str(own.number) if own is not None else "?"
        address = f"{line.host}:{line.port}"
        out.append(
            f"{line.name:<16} {line.life:>14} {address:<22} {state:<8} {seconds(line):>8} {view:>6} "
            f"{number if line.belongs else '-':>8} {row}"
        )
    return out


def look(address: str, settings: PeersSettings, out: TextIO) -> bool:
    """Print once; whether all that belong hold one view and are in touch."""
    told = who(address, settings)
    others: dict[str, Members | None] = {told.name: told}
    for line in [line for line in told.lines if line.belongs and line.name != told.name][:MOST_ASKED]:
        try:
            others[line.name] = who(f"{line.host}:{line.port}", settings)
        except ConfigError:
            others[line.name] = None
    print(head(address, told), file=out)
    for text in table(told, others):
        print(text, file=out)
    print("= answers, < is heard but does not answer, . neither, ? was not asked or is silent", file=out)
    views = {(o.group, o.number, o.cut_off) for o in others.values() if o is not None}
    return None not in others.values() and views == {(told.group, told.number, False)}


def show(
    address: str,
    settings: PeersSettings,
    out: TextIO,
    watch: bool = False,
    wait: Callable[[float], None] = time.sleep,
) -> int:
    """Print who belongs; 1 where not all that belong answer, hold one view and are in touch."""
    while True:
        well = look(address, settings, out)
        if not watch:
            return 0 if well else 1
        out.flush()
        wait(WATCH_S)
