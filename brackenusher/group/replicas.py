"""`brackenusher replica`: marks of staff, and how copies of the replicated state stand. It may wait."""

import time
from collections.abc import Callable
from typing import Any, TextIO

from barleybarrow.overrides import OverrideError, key_of
from brackenusher.config.operators import PeersSettings
from brackenusher.config.platform import ConfigError
from brackenusher.group.policies import CommandRefusedError, wish

ACKNOWLEDGED, DIFFERENT, UNKNOWN = 0, 1, 4  # exit codes
LOOK_S = 0.03  # seconds between two looks at what became of a write
WAIT_S = 8.0


def written(address: str, settings: PeersSettings, verb: str, out: TextIO, **facts: Any) -> int:
    """Have a keeper write, and wait until a majority of them has it on disk."""
    token = wish(address, settings, f"replica {verb}", **facts)["token"]
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        outcome = wish(address, settings, "replica outcome", number=token)["outcome"]
        if outcome == "acknowledged":
            print("acknowledged: a majority of the keepers has it on disk", file=out)
            return ACKNOWLEDGED
        if outcome == "unknown":
            break
        time.sleep(LOOK_S)
    print("unknown: it may come to hold; doing it again does no harm", file=out)
    return UNKNOWN


def word(facts: dict[str, Any]) -> str:
    if not facts["marked"]:
        return f"cleared, by {facts['origin']}"
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(facts["at"]))
    span = f" for {facts['for_s']:g} s" if facts["for_s"] else ""
    return f"marked{span} at {at} by {facts['who']}, through {facts['origin']}: {facts['why'] or '-'}"


def show(address: str, settings: PeersSettings, out: TextIO, conflicts: bool) -> int:
    """Print marks; 1 where there are conflicts and just these are asked for."""
    told = wish(address, settings, "replica show")
    marks = [m for m in told["marks"] if m["conflict"] or not conflicts]
    print(f"{told['name']}: {told['stage']}, {told['entries']} entries, {len(marks)} shown", file=out)
    for m in marks:
        print(f"{m['key']}{'  CONFLICT: the mark stands' if m['conflict'] else ''}", file=out)
        for facts in m["words"]:
            print(f"    {word(facts)}", file=out)
    return DIFFERENT if conflicts and marks else 0


def verify(address: str, settings: PeersSettings, out: TextIO) -> int:
    """How a copy stands; 1 where it has not caught up, or holds what a like one does not."""
    told = wish(address, settings, "replica verify")
    print(f"{told['name']}: {told['stage']}, print {told['print']}", file=out)
    print(
        f"{told['entries']} entries, {told['removed']} of them removals, {told['bytes']} bytes; "
        f"{len(told['conflicts'])} in conflict",
        file=out,
    )
    for name, other in told["others"].items():
        print(f"  {name:<20} {other['stands']}, heard {other['heard_ms']} ms ago", file=out)
    if told["base"] is not None:
        print(f"limits: warden {told['warden'] or 'unknown'}, own part {told['base']}", file=out)
        for key, part in told["parts"].items():
            print(f"  {key or '(none named)':<20} {part}", file=out)
    if told["differs"]:
        print("DIFFERS: a copy that has heard the same holds something else", file=out)
    return DIFFERENT if told["differs"] or told["stage"] != "caught up" else 0


def diff(one: str, other: str, settings: PeersSettings, out: TextIO) -> int:
    """Print which marks only one of two proxies holds; 1 where there is any."""
    sides = []
    for address in (one, other):
        told = wish(address, settings, "replica show")
        sides.append({(m["key"], word(facts)) for m in told["marks"] for facts in m["words"]})
    for mark, lines in (("<", sides[0] - sides[1]), (">", sides[1] - sides[0])):
        for key, text in sorted(lines):
            print(f"{mark} {key}: {text}", file=out)
    return DIFFERENT if sides[0] != sides[1] else 0


def run(options: Any, settings: PeersSettings, out: TextIO) -> int:
    """Carry out one verb of the command line. Raises ConfigError."""
    at = options.address

    def about() -> str:
        try:
            return key_of(options.kind, options.name)
        except OverrideError as error:
            raise ConfigError(str(error)) from error

    def mark() -> int:
        facts = {"id": about(), "who": options.who, "why": options.why, "at": time.time()}
        return written(at, settings, "mark", out, number=options.for_s, **facts)

    verbs: dict[str, Callable[[], int]] = {
        "mark": mark,
        "clear": lambda: written(at, settings, "clear", out, id=about()),
        "resolve": lambda: written(at, settings, "resolve", out, id=about()),
        "show": lambda: show(at, settings, out, False),
        "conflicts": lambda: show(at, settings, out, True),
        "verify": lambda: verify(at, settings, out),
        "diff": lambda: diff(at, options.other, settings, out),
    }
    return verbs[options.verb]()


__all__ = ["CommandRefusedError", "run", "written"]
