"""`brackenusher members`: prints the members of a group and the state of their links."""

import secrets
import time
from collections.abc import Callable
from typing import TextIO

from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError
from brackenusher.membership.frames import Members, MembersRequest, MemberStatus
from brackenusher.membership.show import ask
from brackenusher.membership.swim_messages import STATES

MAX_QUERIED_MEMBERS = 30  # an unreachable one costs the full time-out
MAX_COLUMNS = 30
LINK_SYMBOLS = {"both": "=", "in": "<", "none": ".", "new": " "}
WATCH_INTERVAL_S = 1.0


def who(address: str, settings: PeersSettings) -> Members:
    """Fetch the member list from one proxy. Raises ConfigError."""
    reply = ask(address, settings, MembersRequest(secrets.randbits(64)))
    if not isinstance(reply, Members):
        raise ConfigError(f"{address}: not an answer to what was asked")
    return reply


def describe_state(reply: Members) -> str:
    """Describe the state of the proxy that replied."""
    if not reply.number:
        return "belongs to no group yet"
    if reply.stalled:
        return "stood still and has heard nobody since"
    return "cut off" if reply.cut_off else "in touch"


def format_header(address: str, reply: Members) -> str:
    view_size = sum(line.belongs for line in reply.lines)
    view = f"view {reply.number} of group {reply.group:08x}" if reply.number else "no view"
    return (
        f"# {address}: {reply.name}, {view}, {view_size} members, "
        f"{describe_state(reply)}, {reply.flaps} flaps"
    )


def format_since_answer(line: MemberStatus) -> str:
    return f"{line.since_answer_ms / 1000.0:.1f}" if line.since_answer_ms >= 0 else "-"


def format_table(reply: Members, replies: dict[str, Members | None]) -> list[str]:
    """Format a row per process: the queried proxy's view of it, and the links that it reports itself."""
    names = [line.name for line in reply.lines if line.belongs][:MAX_COLUMNS]
    column_digits = "".join(str(i % 10) for i in range(len(names)))
    rows = [
        f"{'name':<16} {'life':>14} {'address':<22} {'state':<8} {'answered':>8} {'view':>6} "
        f"links to {column_digits}"
    ]
    for number, line in enumerate(reply.lines):
        own = replies.get(line.name)
        state = STATES[line.state] if line.belongs else "waits" if line.state == 0 else STATES[line.state]
        if own is not None and own.cut_off and line.belongs:
            state = "dazed" if own.stalled else "cut off"
        links = {each.name: LINK_SYMBOLS.get(each.link, "?") for each in own.lines} if own is not None else {}
        row = "".join("\\" if name == line.name else links.get(name, "?") for name in names)
        view = str(own.number) if own is not None else "?"
        address = f"{line.host}:{line.port}"
        rows.append(
            f"{line.name:<16} {line.life:>14} {address:<22} {state:<8} "
            f"{format_since_answer(line):>8} {view:>6} "
            f"{number if line.belongs else '-':>8} {row}"
        )
    return rows


def print_members(address: str, settings: PeersSettings, out: TextIO) -> bool:
    """Print the table; return whether all members answer, hold one view and are connected to a majority."""
    reply = who(address, settings)
    replies: dict[str, Members | None] = {reply.name: reply}
    for line in [line for line in reply.lines if line.belongs and line.name != reply.name][
        :MAX_QUERIED_MEMBERS
    ]:
        try:
            replies[line.name] = who(f"{line.host}:{line.port}", settings)
        except ConfigError:
            replies[line.name] = None
    print(format_header(address, reply), file=out)
    for text in format_table(reply, replies):
        print(text, file=out)
    print("= answers, < is heard but does not answer, . neither, ? was not asked or is silent", file=out)
    views = {(o.group, o.number, o.cut_off) for o in replies.values() if o is not None}
    return None not in replies.values() and views == {(reply.group, reply.number, False)}


def show(
    address: str,
    settings: PeersSettings,
    out: TextIO,
    watch: bool = False,
    sleep: Callable[[float], None] = time.sleep,
) -> int:
    """Print the table once or repeatedly; the exit code is 1 unless `print_members` finds all well."""
    while True:
        healthy = print_members(address, settings, out)
        if not watch:
            return 0 if healthy else 1
        out.flush()
        sleep(WATCH_INTERVAL_S)
