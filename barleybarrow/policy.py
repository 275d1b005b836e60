"""A policy: a numbered document of rules that proxies act upon, checked whole; and what joins two of them.

Each section has a checker and a meaning of "stricter" (`SECTIONS`). Nothing here waits or sends. What the
platform's settings say stays theirs: a policy only ever refuses more than they do.
"""

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from barleybarrow.budget import ClientRetryLimit
from barleybarrow.rate_limiter import LONGEST_KEY, Limit

LONGEST = 64 * 1024  # bytes of a document
MOST_TENANTS = 1000
MOST_SERVERS = 2000
NAME = re.compile(r"^[A-Za-z0-9._:@\-]{1,128}$")


class PolicyError(ValueError):
    """The document cannot be a policy; one line that names the key."""


@dataclass(frozen=True)
class Rules:
    """What a proxy acts upon; the fields of all sections."""

    # [door] requests a second of a tenant, beside the limits of the operators' file
    tenants: Mapping[str, Limit] = field(default_factory=dict)
    # [servers] out of use
    servers: frozenset[str] = frozenset()
    blocks: frozenset[int] = frozenset()
    # [shares] requests of a tenant that one proxy has in hand at most
    shares: Mapping[str, int] = field(default_factory=dict)
    # [repeats] what clients may ask again
    repeats: ClientRetryLimit | None = None
    # [connections] to a server: milliseconds and requests that one may last, 0 for no end
    age: float = 0.0
    requests: int = 0


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


def tenant(name: str, key: str) -> None:
    if not NAME.match(name) or len(name) > LONGEST_KEY:
        raise PolicyError(f"{key}: the name must be 1 to {LONGEST_KEY} letters, digits, . _ : @ or -")


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
        tenant(name, key)
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


def check_shares(value: Any) -> dict[str, Any]:
    """`[shares.tenants.NAME]` with `open`, the most requests of it that a proxy has in hand at once."""
    section = table(value, "shares")
    only(section, "shares", {"tenants"})
    tenants = table(section.get("tenants", {}), "shares.tenants")
    if len(tenants) > MOST_TENANTS:
        raise PolicyError(f"shares.tenants: {MOST_TENANTS} at most")
    found = {}
    for name, share in tenants.items():
        key = f"shares.tenants.{name}"
        tenant(name, key)
        only(table(share, key), key, {"open"})
        if "open" not in share:
            raise PolicyError(f"{key}.open: is missing")
        found[name] = int(number(share["open"], f"{key}.open", 0, 1e6, whole=True))
    return {"shares": found}


def check_repeats(value: Any) -> dict[str, Any]:
    """`[repeats]` with `part`, repeats earned by a first try, and `burst`, how many may be saved up."""
    section = table(value, "repeats")
    only(section, "repeats", {"part", "burst"})
    if "part" not in section:
        raise PolicyError("repeats.part: is missing")
    part = number(section["part"], "repeats.part", 0.0, 10.0)
    burst = number(section.get("burst", 10), "repeats.burst", 1, 1e6, whole=True)
    return {"repeats": ClientRetryLimit(part, int(burst))}


def check_connections(value: Any) -> dict[str, Any]:
    """`[connections]` with `age_s` and `requests`, how long and for how many one to a server is used."""
    section = table(value, "connections")
    only(section, "connections", {"age_s", "requests"})
    age = number(section.get("age_s", 0), "connections.age_s", 0, 86_400)
    requests = number(section.get("requests", 0), "connections.requests", 0, 1e9, whole=True)
    return {"age": 1000.0 * age, "requests": int(requests)}


def sooner(one: float, other: float) -> float:
    """The lesser of two bounds, where 0 stands for none."""
    return min(one, other) if one and other else one or other


def both(
    one: Mapping[str, Any], other: Mapping[str, Any], lesser: Callable[[Any, Any], Any]
) -> dict[str, Any]:
    """All that either names, and the lesser of what both name."""
    return {**one, **{k: lesser(one[k], v) if k in one else v for k, v in other.items()}}


def least_limit(one: Limit, other: Limit) -> Limit:
    return Limit(min(one.rate, other.rate), min(one.burst, other.burst))


def least_repeats(one: ClientRetryLimit | None, other: ClientRetryLimit | None) -> ClientRetryLimit | None:
    if one is None or other is None:
        return one or other
    return ClientRetryLimit(min(one.ratio, other.ratio), min(one.burst, other.burst))


@dataclass(frozen=True)
class Section:
    """One table of a document: what it may say, and what two of it forbid; both give fields of Rules."""

    check: Callable[[Any], dict[str, Any]]
    stricter: Callable[[Rules, Rules], dict[str, Any]]


SECTIONS: dict[str, Section] = {
    "door": Section(check_door, lambda a, b: {"tenants": both(a.tenants, b.tenants, least_limit)}),
    "servers": Section(
        check_servers, lambda a, b: {"servers": a.servers | b.servers, "blocks": a.blocks | b.blocks}
    ),
    "shares": Section(check_shares, lambda a, b: {"shares": both(a.shares, b.shares, min)}),
    "repeats": Section(check_repeats, lambda a, b: {"repeats": least_repeats(a.repeats, b.repeats)}),
    "connections": Section(
        check_connections,
        lambda a, b: {"age": sooner(a.age, b.age), "requests": int(sooner(a.requests, b.requests))},
    ),
}


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
        found |= SECTIONS[name].check(value)
    return Rules(**found)


def stricter(one: Rules, other: Rules) -> Rules:
    """What neither forbids: for each section the stricter of both."""
    found: dict[str, Any] = {}
    for section in SECTIONS.values():
        found |= section.stricter(one, other)
    return Rules(**found)
