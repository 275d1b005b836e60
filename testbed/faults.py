"""What goes wrong and when: drawn ahead from the seed, and carried out in the world.

A fault is drawn without a look at how the run goes, so that every policy meets the same ones.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from testbed import scenario as config
from testbed.model.arrivals import Swell
from testbed.model.network import stream

OF_LOAD = ("load", "tenant_flood", "hot_key")
OF_PROXIES = ("proxy_restart",)
OF_DISCOVERY = ("discovery_silent", "discovery_stale", "discovery_whole")


@dataclass(frozen=True, slots=True)
class Occurrence:
    """One time that a fault acts; instants in microseconds."""

    fault: config.Fault
    at: int
    until: int
    servers: tuple[int, ...]
    proxies: tuple[int, ...]

    def targets(self) -> tuple[int, ...]:
        """On what it acts one after the other: servers, proxies, or once on all."""
        if self.fault.kind in OF_PROXIES:
            return self.proxies
        if self.fault.kind in OF_DISCOVERY or self.fault.kind in OF_LOAD:
            return (-1,)
        return self.servers

    def text(self) -> str:
        """On whom, in a few words."""
        kind = self.fault.kind
        if kind == "tenant_flood":
            return self.fault.tenant
        if kind in OF_PROXIES or kind == "partition":
            proxies = "proxies " + " ".join(str(p) for p in self.proxies)
            return proxies if kind != "partition" else f"{proxies} from {len(self.servers)} servers"
        if kind in OF_LOAD or kind in OF_DISCOVERY:
            return ""
        few = " ".join(str(s) for s in self.servers[:8])
        return f"servers {few}" + (f" and {len(self.servers) - 8} more" if len(self.servers) > 8 else "")


def plan(scenario: config.Scenario, seed: int) -> list[Occurrence]:
    """All occurrences of a run, in order of their beginning."""
    rng, found, end = stream(seed, "faults"), [], scenario.seconds * 1000.0
    for fault in scenario.faults:
        at = fault.at
        while at < end:
            happens, order = rng.random() < fault.chance, rng.permutation(scenario.servers)
            if happens:
                count = fault.count or max(1, round(fault.part * scenario.servers))
                servers = tuple(fault.servers) or tuple(sorted(order[:count].tolist()))
                proxies = tuple(fault.proxies) or tuple(range(scenario.proxies))
                until = int((at + fault.lasts) * 1000.0)
                found.append(Occurrence(fault, int(at * 1000.0), until, servers, proxies))
            if not fault.every:
                break
            at += fault.every
    return sorted(found, key=lambda o: o.at)  # stable: those of one instant stay in the scenario's order


def swells(scenario: config.Scenario, occurrences: list[Occurrence]) -> list[Swell]:
    """What the arrivals need to know of it."""
    names = [t.name for t in scenario.tenants]
    return [
        Swell(
            o.at,
            o.until,
            o.fault.kind,
            o.fault.size,
            names.index(o.fault.tenant) if o.fault.tenant else -1,
            o.fault.keys,
        )
        for o in occurrences
        if o.fault.kind in OF_LOAD
    ]


class Stage(Protocol):
    """What a world lets faults do. Servers and proxies go by their number."""

    def slow(self, server: int, factor: float, on: bool) -> None: ...
    def hang(self, server: int, on: bool) -> None: ...
    def quick_errors(self, server: int, share: float, on: bool) -> None: ...
    def crash(self, server: int) -> None: ...
    def restart(self, server: int) -> None: ...
    def drain(self, server: int) -> None: ...
    def undrain(self, server: int) -> None: ...
    def replace(self, server: int, gap: int) -> None: ...
    def partition(self, proxy: int, server: int, on: bool) -> None: ...
    def discovery(self, kind: str, size: float, on: bool) -> None: ...
    def answers(self, server: int, kind: str, size: float, on: bool) -> None: ...
    def stop_proxy(self, proxy: int, at_once: bool) -> None: ...
    def start_proxy(self, proxy: int) -> None: ...


def act(stage: Stage, occurrence: Occurrence, target: int, on: bool) -> None:
    """Begin or end a fault on one of its targets."""
    fault = occurrence.fault
    match fault.kind:
        case "slow":
            stage.slow(target, fault.size, on)
        case "hang":
            stage.hang(target, on)
        case "quick_errors":
            stage.quick_errors(target, fault.size, on)
        case "crash":
            stage.crash(target) if on else stage.restart(target)
        case "drain":
            stage.drain(target) if on else stage.undrain(target)
        case "replace":
            if on:
                stage.replace(target, int(fault.gap_ms * 1000.0))
        case "partition":
            for proxy in occurrence.proxies:
                stage.partition(proxy, target, on)
        case "discovery_silent" | "discovery_stale" | "discovery_whole":
            stage.discovery(fault.kind, fault.size, on)
        case "late_answers" | "lost_answers" | "resets":
            stage.answers(target, fault.kind, fault.size, on)
        case "proxy_restart":
            stage.stop_proxy(target, fault.size == 0.0) if on else stage.start_proxy(target)
        case "load" | "tenant_flood" | "hot_key":
            pass  # the arrivals know


def change(sizes: list[float], size: float, on: bool) -> bool:
    """Add a size to those that act, or take it away; whether there was anything to change."""
    if on:
        sizes.append(size)
    elif size in sizes:
        sizes.remove(size)
    else:
        return False
    return True


class OnHosts:
    """The faults that mean the same to a host in virtual time and to one on sockets."""

    places: Any  # by number, each with the host that stands there now

    def crash_host(self, host: Any) -> None:
        raise NotImplementedError

    def start_host(self, host: Any) -> None:
        raise NotImplementedError

    def begin_drain(self, host: Any, gap: int | None) -> None:
        raise NotImplementedError

    def publish(self, host: Any, health: str) -> None:
        raise NotImplementedError

    def quick_errors(self, server: int, share: float, on: bool) -> None:
        host = self.places[server].host
        if change(host.errors, share, on):
            host.server.quick_errors = max(host.errors, default=0.0)

    def crash(self, server: int) -> None:
        host = self.places[server].host
        if host.server.up:
            self.crash_host(host)

    def restart(self, server: int) -> None:
        host = self.places[server].host
        if not host.server.up:
            self.start_host(host)

    def drain(self, server: int) -> None:
        self.begin_drain(self.places[server].host, None)

    def undrain(self, server: int) -> None:
        host = self.places[server].host
        if not host.server.up:
            self.start_host(host)
        elif host.health == "draining":
            host.leaves += 1
            host.server.draining = False
            self.publish(host, "ready")

    def replace(self, server: int, gap: int) -> None:
        self.begin_drain(self.places[server].host, gap)
