"""Exports what a policy has learned as plain values, and imports it in the process that replaces this one.

Both processes use the clock of their machine and the same settings. Requests in flight are not handed over:
they end in the old process. Budgets of cold backends restart at zero, as the old process may still spend its
own.

The names of the fields below are the attribute names of the policy's classes and the keys of the entries.
"""

from math import isfinite
from typing import Any

from barleybarrow.brain import Balancer
from barleybarrow.state import Estimate

MAX_ABS_TIME_MS = 1e15  # infinite times are written as plus or minus this
ESTIMATE_FIELDS = ("mean", "best", "limit", "cut_at", "seen")
BACKEND_FIELDS = (*ESTIMATE_FIELDS, "warm_from", "busy_until", "breaks", "broke_at", "served", "aged_at")
# Lists with an element per class, and how many elements they have besides.
PER_CLASS_LISTS = {"lost": 0, "failing": 1, "rests": 0, "answered_at": 0}
CLASS_FIELDS = ("log", "count", "asked", "won")
BALANCER_FIELDS = ("level", "answers", "rate", "breaking")

Entry = dict[str, Any]


def clamp(value: float) -> float:
    return min(max(value, -MAX_ABS_TIME_MS), MAX_ABS_TIME_MS)


def read_fields(item: object, names: tuple[str, ...]) -> Entry:
    return {name: clamp(getattr(item, name)) for name in names}


def export_entries(balancer: Balancer) -> list[Entry]:
    """Export what the new process can use."""
    entries: list[Entry] = [
        {
            "of": "all",
            **read_fields(balancer, BALANCER_FIELDS),
            "fleet": read_fields(balancer.fleet, ESTIMATE_FIELDS),
        },
        {"of": "classes", "classes": [read_fields(c, CLASS_FIELDS) for c in balancer.classes]},
    ]
    entries += [
        {"of": "kind", "kind": k, **read_fields(e, ESTIMATE_FIELDS)} for k, e in balancer.kinds.items()
    ]
    for b in balancer.live:
        lists = {name: [clamp(x) for x in getattr(b, name)] for name in PER_CLASS_LISTS}
        entries.append({"of": "backend", "backend": b.name, **read_fields(b, BACKEND_FIELDS), **lists})
    return entries


def read_number(entry: Entry, name: str) -> float:
    value = entry[name]
    if not isinstance(value, int | float) or isinstance(value, bool) or not isfinite(value):
        raise ValueError(f"{name}: {value!r} is not a finite number")
    return value


def set_fields(item: object, entry: Entry, names: tuple[str, ...]) -> None:
    """Set the attributes `names` from an entry, all or none."""
    values = {name: read_number(entry, name) for name in names}
    for name, value in values.items():
        setattr(item, name, value)


def import_entries(balancer: Balancer, entries: list[Entry], now: float) -> int:
    """Import the entries of another process; returns how many were usable. Others are skipped."""
    imported = 0
    for entry in entries:
        try:
            imported += import_entry(balancer, entry, now)
        except (KeyError, ValueError, TypeError, AttributeError):
            continue
    balancer.now = now
    balancer.update_costs()
    balancer.rank_queues()
    balancer.update_capacity()
    for b in balancer.live:
        balancer.update_rank(b)
    return imported


def import_entry(balancer: Balancer, entry: Entry, now: float) -> bool:
    entry_type = entry["of"]
    if entry_type == "all":
        fleet = Estimate(0.0)
        set_fields(fleet, entry["fleet"], ESTIMATE_FIELDS)
        set_fields(balancer, entry, BALANCER_FIELDS)
        balancer.fleet = fleet
        return True
    if entry_type == "classes":
        if len(entry["classes"]) != len(balancer.classes):
            return False
        for klass, values in zip(balancer.classes, entry["classes"], strict=True):
            set_fields(klass, values, CLASS_FIELDS)
        return True
    if entry_type == "kind":
        if entry["kind"] >= len(balancer.conf.kinds):
            return False  # numbers of kinds that the settings do not name differ between processes
        set_fields(balancer.kinds.setdefault(entry["kind"], Estimate(balancer.level)), entry, ESTIMATE_FIELDS)
        return True
    b = balancer.backends.get(entry["backend"]) if entry_type == "backend" else None
    if b is None:
        return False
    lists = {}
    for name, extra in PER_CLASS_LISTS.items():
        values = entry[name]
        if len(values) != len(balancer.classes) + extra:
            return False
        lists[name] = [read_number({name: value}, name) for value in values]
    limit, served = read_number(entry, "limit"), read_number(entry, "served")
    set_fields(b, entry, tuple(name for name in BACKEND_FIELDS if name not in ("limit", "served")))
    for name, values in lists.items():
        setattr(b, name, values)
    balancer.pool.set_limit(b, limit)
    b.class_backoff, b.opened, b.budget, b.budget_at = max(b.rests) > now, False, 0.0, now
    balancer.update_warmth(b)
    if b.warmth == 1:
        balancer.pool.add_served(b, served)
    return True
