"""Memory of a proxy's and a control process's state by its size, each size in a fresh process."""

import multiprocessing
import os
import random
from collections.abc import Callable
from multiprocessing.connection import Connection

from barleybarrow.documents import Configuration, Engine, QuotaUnit, Route, Service, Tenant
from barleybarrow.limits.bounds import LimitBounds
from barleybarrow.limits.limits import Limits
from barleybarrow.replication.records import InstanceRecord
from barleybarrow.replication.registry import Registry
from barleybarrow.routing.actions import DispatchSettings, ServerInfo
from barleybarrow.routing.dispatcher import Dispatcher
from barleybarrow.routing.prefix_cache import PrefixCache
from barleybarrow.routing.route_table import RouteTable
from benchmarks.capacity_fit import resident_bytes, show

TENANTS = (0, 3750, 7500, 15_000, 30_000)
ROUTES = (0, 430, 860, 1720)
SERVERS = (0, 365, 730, 1460)
PARTS = (0, 50_000, 100_000, 200_000)
SERVICE = "engines"
Kept = list[object]


def make_tenants(count: int) -> list[Tenant]:
    """Tenants with two keys each, and a quota of tokens."""
    return [
        Tenant(
            f"tenant-{n}", [f"key-{n:08}-{m}" for m in range(2)], 1, QuotaUnit.TOKENS, 200, 1000.0 + n, 9000.0
        )
        for n in range(count)
    ]


def make_routes(count: int) -> list[Route]:
    """Routes of many hosts to one service."""
    return [
        Route(
            f"r-{n}",
            f"h{n % 40}.example",
            f"/p{n}/",
            "streaming",
            15_000.0,
            150.0,
            1,
            SERVICE,
            max_attempts=2,
        )
        for n in range(count)
    ]


def make_record(number: int) -> InstanceRecord:
    """A server as the registry keeps it."""
    address = f"10.1.{number // 250}.{number % 250}:8080"
    return InstanceRecord(f"i-{number:08x}", SERVICE, address, "zone-a", "v1", 48, sequence=1, stage="dual")


def hold_tenants(count: int) -> Kept:
    """What a proxy keeps of the configuration's tenants."""
    configuration = Configuration(1, tenants=make_tenants(count))
    limits = Limits("proxy", [], random.Random(1), 0.0, LimitBounds())
    limits.configure(0.0, configuration.tenants, configuration.services)
    return [configuration, limits]


def hold_routes(count: int) -> Kept:
    """What a proxy keeps of the configuration's routes."""
    configuration = Configuration(1, make_routes(count), [Service(SERVICE)])
    return [configuration, RouteTable(configuration.routes)]


def hold_servers(count: int) -> Kept:
    """What a proxy's dispatcher keeps of servers that it has not used yet."""
    dispatcher = Dispatcher(DispatchSettings(), random.Random(1), 0.0)
    engine = Engine(slots=48, kv_capacity_tokens=300_000, stride=40)
    dispatcher.configure(0.0, {SERVICE: Service(SERVICE, engine=engine)}, [])
    servers = [ServerInfo(f"i-{n:08x}", f"10.1.{n // 250}.{n % 250}:8080", slots=48) for n in range(count)]
    dispatcher.update_servers(0.0, SERVICE, servers)
    return [dispatcher, servers]


def hold_parts(count: int) -> Kept:
    """Parts of prompts that a proxy believes kept: shared ones and the last one of each session."""
    caches = [PrefixCache(float("inf")) for _ in range(100)]
    for number in range(count):
        caches[number % len(caches)].insert(((f"{number:08x}", 300),))
    return list(caches)


def hold_registry(count: int) -> Kept:
    """The registry of a control process."""
    registry = Registry()
    for number in range(count):
        registry.merge(make_record(number), 0.0)
    return [registry]


def _measured(hold: Callable[[int], Kept], count: int, pipe: Connection) -> None:
    before = resident_bytes(os.getpid())
    kept = hold(count)
    pipe.send(resident_bytes(os.getpid()) - before)
    pipe.recv()
    del kept


def growth_bytes(hold: Callable[[int], Kept], count: int) -> int:
    """Growth of the resident memory of a fresh process that holds so many."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_measured, args=(hold, count, theirs))
    process.start()
    growth = ours.recv()
    ours.send("end")
    process.join()
    assert isinstance(growth, int)
    return growth


def main() -> None:
    """Measure and print."""
    for title, per, sizes, hold in (
        ("proxy memory", "tenant", TENANTS, hold_tenants),
        ("proxy memory", "route", ROUTES, hold_routes),
        ("proxy memory", "listed server", SERVERS, hold_servers),
        ("proxy memory", "prompt part (prefix or session)", PARTS, hold_parts),
        ("control memory", "registered server", SERVERS, hold_registry),
    ):
        show(title, "bytes", per, [(size, growth_bytes(hold, size)) for size in sizes])
