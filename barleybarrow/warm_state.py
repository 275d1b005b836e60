"""What one module has learned, as plain values, for the module of the process that takes its place.

Nothing here decides. Both modules go by one clock, that of their machine, and by one set of settings. What
is in flight is not passed on: it ends where it began. Budgets of cold backends begin anew at nothing, as the
old module may still spend its own.
"""

from math import isfinite
from typing import Any

from barleybarrow.brain import Balancer
from barleybarrow.state import Estimate

FAR = 1e15  # ms: stands for a time without end, before or after
ESTIMATE = ("mean", "best", "limit", "cut_at", "seen")
BACKEND = (*ESTIMATE, "warm_from", "busy_until", "breaks", "broke_at", "served", "aged_at")
BY_CLASS = {"lost": 0, "failing": 1, "rests": 0, "answered_at": 0}  # with so many beside those of the classes
CLASS = ("log", "count", "asked", "won")
WHOLE = ("level", "answers", "rate", "breaking")

Entry = dict[str, Any]


def plain(value: float) -> float:
    return min(max(value, -FAR), FAR)


def noted(item: object, names: tuple[str, ...]) -> Entry:
    return {name: plain(getattr(item, name)) for name in names}


def write(balancer: Balancer) -> list[Entry]:
    """All that is worth passing on."""
    entries: list[Entry] = [
        {"of": "all", **noted(balancer, WHOLE), "fleet": noted(balancer.fleet, ESTIMATE)},
        {"of": "classes", "classes": [noted(c, CLASS) for c in balancer.classes]},
    ]
    entries += [{"of": "kind", "kind": k, **noted(e, ESTIMATE)} for k, e in balancer.kinds.items()]
    for b in balancer.live:
        lists = {name: [plain(x) for x in getattr(b, name)] for name in BY_CLASS}
        entries.append({"of": "backend", "backend": b.name, **noted(b, BACKEND), **lists})
    return entries


def number(entry: Entry, name: str) -> float:
    value = entry[name]
    if not isinstance(value, int | float) or isinstance(value, bool) or not isfinite(value):
        raise ValueError(f"{name}: {value!r} is no number")
    return value


def put(item: object, entry: Entry, names: tuple[str, ...]) -> None:
    """Take over values, all or none."""
    values = {name: number(entry, name) for name in names}
    for name, value in values.items():
        setattr(item, name, value)


def take(balancer: Balancer, entries: list[Entry], now: float) -> int:
    """Take over what another module wrote, and say how many entries could be used; others are left aside."""
    taken = 0
    for entry in entries:
        try:
            taken += take_one(balancer, entry, now)
        except (KeyError, ValueError, TypeError, AttributeError):
            continue
    balancer.now = now
    balancer.update_costs()
    balancer.rank_queues()
    balancer.update_capacity()
    for b in balancer.live:
        balancer.update_rank(b)
    return taken


def take_one(balancer: Balancer, entry: Entry, now: float) -> bool:
    of = entry["of"]
    if of == "all":
        fleet = Estimate(0.0)
        put(fleet, entry["fleet"], ESTIMATE)
        put(balancer, entry, WHOLE)
        balancer.fleet = fleet
        return True
    if of == "classes":
        if len(entry["classes"]) != len(balancer.classes):
            return False
        for klass, values in zip(balancer.classes, entry["classes"], strict=True):
            put(klass, values, CLASS)
        return True
    if of == "kind":
        if entry["kind"] >= len(balancer.conf.kinds):
            return False  # a kind that the settings do not name has another number here
        put(balancer.kinds.setdefault(entry["kind"], Estimate(balancer.level)), entry, ESTIMATE)
        return True
    b = balancer.backends.get(entry["backend"]) if of == "backend" else None
    if b is None:
        return False
    lists = {}
    for name, beside in BY_CLASS.items():
        values = entry[name]
        if len(values) != len(balancer.classes) + beside:
            return False
        lists[name] = [number({name: value}, name) for value in values]
    limit, served = number(entry, "limit"), number(entry, "served")
    put(b, entry, tuple(name for name in BACKEND if name not in ("limit", "served")))
    for name, values in lists.items():
        setattr(b, name, values)
    balancer.pool.set_limit(b, limit)
    b.class_backoff, b.opened, b.budget, b.budget_at = max(b.rests) > now, False, 0.0, now
    balancer.update_warmth(b)
    if b.warmth == 1:
        balancer.pool.add_served(b, served)
    return True
