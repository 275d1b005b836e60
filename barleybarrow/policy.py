"""A policy: a numbered document of rules that proxies act upon, checked whole; and what joins two of them.

Each section has a checker and a meaning of "stricter". Nothing here waits or sends. What the platform's
settings say stays theirs: a policy only ever refuses more than they do.
"""

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from barleybarrow.door import Limit

LONGEST = 64 * 1024  # bytes of a document
MOST_TENANTS = 1000
MOST_SERVERS = 2000
NAME = re.compile(r"^[A-Za-z0-9._:@\-]{1,128}$")


class PolicyError(ValueError):
    """The document cannot be a policy; one line that names the key."""


@dataclass(frozen=True)
class Rules:
    """What a proxy acts upon."""

    tenants: Mapping[str, Limit] = field(
        default_factory=dict
    )  # door limits, beside those of the operators' file
    servers: frozenset[str] = frozenset()  # out of use
    blocks: frozenset[int] = frozenset()


def number(value: Any, key: str, least: float, most: float, whole: bool = False) -> float:
    good = isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most
    if not good or (whole and int(value) != value):
        raise PolicyError(
            f"{key}: must be {'a whole number' if whole else 'a number'} from {least:g} to {most:g}"
        )
    return float(value)


def table(value: Any, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise PolicyError(f"{key}: must be a table")
    return value


def only(found: Mapping[str, Any], key: str, known: set[str]) -> None:
    for name in found:
        if name not in known:
            raise PolicyError(f"{key}.{name}: is not known")


def check_door(value: Any) -> dict[str, Any]:
    """`[door.tenants.NAME]` with `rate` (requests a second, 0 stops it) and `burst`."""
    section = table(value, "door")
    only(section, "door", {"tenants"})
    tenants = table(section.get("tenants", {}), "door.tenants")
    if len(tenants) > MOST_TENANTS:
        raise PolicyError(f"door.tenants: {MOST_TENANTS} at most")
    found = {}
    for name, limit in tenants.items():
        key = f"door.tenants.{name}"
        if not NAME.match(name):
            raise PolicyError(f"{key}: the name must be 1 to 128 letters, digits, . _ : @ or -")
        only(table(limit, key), key, {"rate", "burst"})
        if "rate" not in limit:
            raise PolicyError(f"{key}.rate: is missing")
        rate = number(limit["rate"], f"{key}.rate", 0.0, 1e6)
        burst = number(limit.get("burst", max(1, int(rate))), f"{key}.burst", 1, 1e6, whole=True)
        found[name] = Limit(rate, int(burst))
    return {"tenants": found}


def check_servers(value: Any) -> dict[str, Any]:
    """`[servers]` with `out`, names, and `out_blocks`, numbers, of what gets nothing new."""
    section = table(value, "servers")
    only(section, "servers", {"out", "out_blocks"})
    out, blocks = section.get("out", []), section.get("out_blocks", [])
    for key, found in (("servers.out", out), ("servers.out_blocks", blocks)):
        if not isinstance(found, list) or len(found) > MOST_SERVERS:
            raise PolicyError(f"{key}: must be a list of {MOST_SERVERS} at most")
    for name in out:
        if not isinstance(name, str) or not NAME.match(name):
            raise PolicyError(f"servers.out: {name!r} is no name of a server")
    numbers = [int(number(b, "servers.out_blocks", 0, 1e9, whole=True)) for b in blocks]
    return {"servers": frozenset(out), "blocks": frozenset(numbers)}


SECTIONS: dict[str, Callable[[Any], dict[str, Any]]] = {"door": check_door, "servers": check_servers}


def read(text: str) -> Rules:
    """The rules of a document. Raises PolicyError: one bad key, and nothing of it counts."""
    if len(text.encode()) > LONGEST:
        raise PolicyError(f"the document: {LONGEST} bytes at most")
    try:
        whole = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PolicyError(f"the document: {error}") from error
    found: dict[str, Any] = {}
    for name, value in whole.items():
        if name not in SECTIONS:
            raise PolicyError(f"{name}: is no section that this release knows")
        found |= SECTIONS[name](value)
    return Rules(**found)


def stricter(one: Rules, other: Rules) -> Rules:
    """What neither forbids: for each section the stricter of both."""
    tenants = dict(one.tenants)
    for name, limit in other.tenants.items():
        held = tenants.get(name)
        tenants[name] = (
            limit if held is None else Limit(min(limit.rate, held.rate), min(limit.burst, held.burst))
        )
    return Rules(tenants, one.servers | other.servers, one.blocks | other.blocks)
