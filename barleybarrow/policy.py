"""Policies: numbered documents of rules for the proxies, their validation, and the stricter of two policies.

Each section has a checker and a definition of "stricter" (`SECTIONS`). Nothing here blocks or does I/O. A
policy can only restrict what the platform's settings allow, never extend it.
"""

import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from barleybarrow.budget import ClientRetryLimit
from barleybarrow.rate_limiter import MAX_KEY_LENGTH, RateLimit

MAX_DOCUMENT_BYTES = 64 * 1024
MAX_TENANTS = 1000
MAX_SERVERS = 2000
NAME_PATTERN = re.compile(r"^[A-Za-z0-9._:@\-]{1,128}$")


class PolicyError(ValueError):
    """An invalid policy document; the message is one line that names the key."""


@dataclass(frozen=True)
class Rules:
    """The rules that a proxy enforces: the fields of all sections."""

    # [door] rate limits of tenants, in requests per second, besides those in the operators' file
    tenants: Mapping[str, RateLimit] = field(default_factory=dict)
    # [servers] disabled servers and blocks
    servers: frozenset[str] = frozenset()
    blocks: frozenset[int] = frozenset()
    # [shares] concurrent requests allowed to a tenant per proxy
    shares: Mapping[str, int] = field(default_factory=dict)
    # [repeats] the retry budget of clients
    repeats: ClientRetryLimit | None = None
    # [connections] lifetime of a server connection, in milliseconds and in requests; 0: no limit
    age: float = 0.0
    requests: int = 0


def parse_number(value: Any, key: str, minimum: float, maximum: float, integer: bool = False) -> float:
    """The value as a number within the bounds. Raises PolicyError."""
    valid = isinstance(value, int | float) and not isinstance(value, bool) and minimum <= value <= maximum
    if not valid or (integer and int(value) != value):
        raise PolicyError(
            f"{key}: must be {'a whole number' if integer else 'a number'} from {minimum:g} to {maximum:g}"
        )
    return float(value)


def require_table(value: Any, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise PolicyError(f"{key}: must be a table")
    return value


def reject_unknown_keys(section: Mapping[str, Any], key: str, known: set[str]) -> None:
    for name in section:
        if name not in known:
            raise PolicyError(f"{key}.{name}: is not known")


def check_tenant_name(name: str, key: str) -> None:
    if not NAME_PATTERN.match(name) or len(name) > MAX_KEY_LENGTH:
        raise PolicyError(f"{key}: the name must be 1 to {MAX_KEY_LENGTH} letters, digits, . _ : @ or -")


def check_rate_limits(value: Any) -> dict[str, Any]:
    """`[door.tenants.NAME]` with `rate` (requests per second, 0 blocks the tenant) and `burst`."""
    section = require_table(value, "door")
    reject_unknown_keys(section, "door", {"tenants"})
    tenants = require_table(section.get("tenants", {}), "door.tenants")
    if len(tenants) > MAX_TENANTS:
        raise PolicyError(f"door.tenants: {MAX_TENANTS} at most")
    limits = {}
    for name, limit in tenants.items():
        key = f"door.tenants.{name}"
        check_tenant_name(name, key)
        reject_unknown_keys(require_table(limit, key), key, {"rate", "burst"})
        if "rate" not in limit:
            raise PolicyError(f"{key}.rate: is missing")
        rate = parse_number(limit["rate"], f"{key}.rate", 0.0, 1e6)
        burst = parse_number(limit.get("burst", max(1, int(rate))), f"{key}.burst", 1, 1e6, integer=True)
        limits[name] = RateLimit(rate, int(burst))
    return {"tenants": limits}


def check_servers(value: Any) -> dict[str, Any]:
    """`[servers]` with the names `out` and the numbers `out_blocks` of what receives no new requests."""
    section = require_table(value, "servers")
    reject_unknown_keys(section, "servers", {"out", "out_blocks"})
    out, blocks = section.get("out", []), section.get("out_blocks", [])
    for key, items in (("servers.out", out), ("servers.out_blocks", blocks)):
        if not isinstance(items, list) or len(items) > MAX_SERVERS:
            raise PolicyError(f"{key}: must be a list of {MAX_SERVERS} at most")
    for name in out:
        if not isinstance(name, str) or not NAME_PATTERN.match(name):
            raise PolicyError(f"servers.out: {name!r} is no name of a server")
    numbers = [int(parse_number(b, "servers.out_blocks", 0, 1e9, integer=True)) for b in blocks]
    return {"servers": frozenset(out), "blocks": frozenset(numbers)}


def check_shares(value: Any) -> dict[str, Any]:
    """`[shares.tenants.NAME]` with `open`, the limit of its concurrent requests per proxy."""
    section = require_table(value, "shares")
    reject_unknown_keys(section, "shares", {"tenants"})
    tenants = require_table(section.get("tenants", {}), "shares.tenants")
    if len(tenants) > MAX_TENANTS:
        raise PolicyError(f"shares.tenants: {MAX_TENANTS} at most")
    shares = {}
    for name, share in tenants.items():
        key = f"shares.tenants.{name}"
        check_tenant_name(name, key)
        reject_unknown_keys(require_table(share, key), key, {"open"})
        if "open" not in share:
            raise PolicyError(f"{key}.open: is missing")
        shares[name] = int(parse_number(share["open"], f"{key}.open", 0, 1e6, integer=True))
    return {"shares": shares}


def check_repeats(value: Any) -> dict[str, Any]:
    """`[repeats]` with `part`, retries earned per first attempt, and `burst`, the most that accumulate."""
    section = require_table(value, "repeats")
    reject_unknown_keys(section, "repeats", {"part", "burst"})
    if "part" not in section:
        raise PolicyError("repeats.part: is missing")
    part = parse_number(section["part"], "repeats.part", 0.0, 10.0)
    burst = parse_number(section.get("burst", 10), "repeats.burst", 1, 1e6, integer=True)
    return {"repeats": ClientRetryLimit(part, int(burst))}


def check_connections(value: Any) -> dict[str, Any]:
    """`[connections]` with `age_s` and `requests`, the lifetime of a connection to a server."""
    section = require_table(value, "connections")
    reject_unknown_keys(section, "connections", {"age_s", "requests"})
    age = parse_number(section.get("age_s", 0), "connections.age_s", 0, 86_400)
    requests = parse_number(section.get("requests", 0), "connections.requests", 0, 1e9, integer=True)
    return {"age": 1000.0 * age, "requests": int(requests)}


def stricter_bound(one: float, other: float) -> float:
    """The lower of two limits, where 0 means no limit."""
    return min(one, other) if one and other else one or other


def merge_by_key(
    one: Mapping[str, Any], other: Mapping[str, Any], combine: Callable[[Any, Any], Any]
) -> dict[str, Any]:
    """The union of two mappings; values of keys in both are combined by `combine`."""
    return {**one, **{k: combine(one[k], v) if k in one else v for k, v in other.items()}}


def lower_limit(one: RateLimit, other: RateLimit) -> RateLimit:
    return RateLimit(min(one.rate, other.rate), min(one.burst, other.burst))


def lower_repeats(one: ClientRetryLimit | None, other: ClientRetryLimit | None) -> ClientRetryLimit | None:
    if one is None or other is None:
        return one or other
    return ClientRetryLimit(min(one.ratio, other.ratio), min(one.burst, other.burst))


@dataclass(frozen=True)
class Section:
    """One table of a document: its checker, and the stricter of two; both return fields of `Rules`."""

    check: Callable[[Any], dict[str, Any]]
    stricter: Callable[[Rules, Rules], dict[str, Any]]


SECTIONS: dict[str, Section] = {
    "door": Section(
        check_rate_limits, lambda a, b: {"tenants": merge_by_key(a.tenants, b.tenants, lower_limit)}
    ),
    "servers": Section(
        check_servers, lambda a, b: {"servers": a.servers | b.servers, "blocks": a.blocks | b.blocks}
    ),
    "shares": Section(check_shares, lambda a, b: {"shares": merge_by_key(a.shares, b.shares, min)}),
    "repeats": Section(check_repeats, lambda a, b: {"repeats": lower_repeats(a.repeats, b.repeats)}),
    "connections": Section(
        check_connections,
        lambda a, b: {
            "age": stricter_bound(a.age, b.age),
            "requests": int(stricter_bound(a.requests, b.requests)),
        },
    ),
}


def parse_policy(text: str) -> Rules:
    """Parse a document. Raises PolicyError: a single invalid key rejects the whole document."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise PolicyError(f"the document: {MAX_DOCUMENT_BYTES} bytes at most")
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise PolicyError(f"the document: {error}") from error
    fields: dict[str, Any] = {}
    for name, value in document.items():
        if name not in SECTIONS:
            raise PolicyError(f"{name}: is no section that this release knows")
        fields |= SECTIONS[name].check(value)
    return Rules(**fields)


def stricter(one: Rules, other: Rules) -> Rules:
    """Rules that allow only what both allow: for each section the stricter of the two."""
    fields: dict[str, Any] = {}
    for section in SECTIONS.values():
        fields |= section.stricter(one, other)
    return Rules(**fields)
