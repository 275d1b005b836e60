"""`brackenusher replica`: overrides by administrators, state of the replicas. Its commands may block."""

import time
from collections.abc import Callable
from typing import Any, TextIO

from barleybarrow.overrides import OverrideError, key_of
from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError
from brackenusher.group.policies import CommandRefusedError, wish

ACKNOWLEDGED, DIFFERENT, UNKNOWN = 0, 1, 4  # exit codes
POLL_INTERVAL_S = 0.03  # between two polls of the outcome of a write
ACKNOWLEDGE_TIMEOUT_S = 8.0


def written(address: str, settings: PeersSettings, verb: str, out: TextIO, **facts: Any) -> int:
    """Writes through an acceptor and waits until a majority of them has stored it."""
    token = wish(address, settings, f"replica {verb}", **facts)["token"]
    deadline = time.monotonic() + ACKNOWLEDGE_TIMEOUT_S
    while time.monotonic() < deadline:
        outcome = wish(address, settings, "replica outcome", number=token)["outcome"]
        if outcome == "acknowledged":
            print("acknowledged: a majority of the keepers has it on disk", file=out)
            return ACKNOWLEDGED
        if outcome == "unknown":
            break
        time.sleep(POLL_INTERVAL_S)
    print("unknown: it may come to hold; doing it again does no harm", file=out)
    return UNKNOWN


def describe_entry(entry: dict[str, Any]) -> str:
    if not entry["marked"]:
        return f"cleared, by {entry['origin']}"
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry["at"]))
    span = f" for {entry['for_s']:g} s" if entry["for_s"] else ""
    return f"marked{span} at {at} by {entry['who']}, through {entry['origin']}: {entry['why'] or '-'}"


def show(address: str, settings: PeersSettings, out: TextIO, conflicts: bool) -> int:
    """Prints overrides; returns 1 if only conflicts were requested and there are any."""
    reply = wish(address, settings, "replica show")
    marks = [m for m in reply["marks"] if m["conflict"] or not conflicts]
    print(f"{reply['name']}: {reply['stage']}, {reply['entries']} entries, {len(marks)} shown", file=out)
    for m in marks:
        print(f"{m['key']}{'  CONFLICT: the mark stands' if m['conflict'] else ''}", file=out)
        for facts in m["words"]:
            print(f"    {describe_entry(facts)}", file=out)
    return DIFFERENT if conflicts and marks else 0


def verify(address: str, settings: PeersSettings, out: TextIO) -> int:
    """Prints the state of a replica; returns 1 if it is behind or has diverged."""
    reply = wish(address, settings, "replica verify")
    print(f"{reply['name']}: {reply['stage']}, print {reply['print']}", file=out)
    print(
        f"{reply['entries']} entries, {reply['removed']} of them removals, {reply['bytes']} bytes; "
        f"{len(reply['conflicts'])} in conflict",
        file=out,
    )
    for name, other in reply["others"].items():
        print(f"  {name:<20} {other['stands']}, heard {other['heard_ms']} ms ago", file=out)
    if reply["base"] is not None:
        print(f"limits: warden {reply['warden'] or 'unknown'}, own part {reply['base']}", file=out)
        for key, part in reply["parts"].items():
            print(f"  {key or '(none named)':<20} {part}", file=out)
    if reply["differs"]:
        print("DIFFERS: a copy that has heard the same holds something else", file=out)
    return DIFFERENT if reply["differs"] or reply["stage"] != "caught up" else 0


def diff(one: str, other: str, settings: PeersSettings, out: TextIO) -> int:
    """Prints overrides that only one of two proxies holds; returns 1 if there are any."""
    sides = []
    for address in (one, other):
        reply = wish(address, settings, "replica show")
        sides.append({(m["key"], describe_entry(facts)) for m in reply["marks"] for facts in m["words"]})
    for mark, lines in (("<", sides[0] - sides[1]), (">", sides[1] - sides[0])):
        for key, text in sorted(lines):
            print(f"{mark} {key}: {text}", file=out)
    return DIFFERENT if sides[0] != sides[1] else 0


def run(options: Any, settings: PeersSettings, out: TextIO) -> int:
    """Runs one command of the command line. Raises ConfigError."""
    at = options.address

    def override_key() -> str:
        try:
            return key_of(options.kind, options.name)
        except OverrideError as error:
            raise ConfigError(str(error)) from error

    def mark() -> int:
        facts = {"id": override_key(), "who": options.who, "why": options.why, "at": time.time()}
        return written(at, settings, "mark", out, number=options.for_s, **facts)

    verbs: dict[str, Callable[[], int]] = {
        "mark": mark,
        "clear": lambda: written(at, settings, "clear", out, id=override_key()),
        "resolve": lambda: written(at, settings, "resolve", out, id=override_key()),
        "show": lambda: show(at, settings, out, False),
        "conflicts": lambda: show(at, settings, out, True),
        "verify": lambda: verify(at, settings, out),
        "diff": lambda: diff(at, options.other, settings, out),
    }
    return verbs[options.verb]()


__all__ = ["CommandRefusedError", "run", "written"]
