"""The model's servers and discovery's agents behind real listeners on loopback, with the faults of sockets.

Each proxy has listeners of its own for each server, as `dial` may differ from one proxy to the next: so it
is known who asks, and one proxy can be cut off from some servers. What a request takes is drawn from the
scenario's seed, as in virtual time. The oracle's part at this end is here too: drains, cold servers, and
what really ran.

Times are in microseconds from the run's start unless a name says otherwise.

Its layers, the lowest first: `fleet_state`, `fleet_answers`, `fleet_processes`, `fleet_requests`; the faults
and the summary are here.
"""

import json
import random
import time
from typing import Any

from testbed import faults
from testbed import scenario as config
from testbed.model.discovery import Agent
from testbed.sockets.agents import AgentServer
from testbed.sockets.doors import Door
from testbed.sockets.fleet_requests import FleetRequests
from testbed.sockets.lag import Lag


class Fleet(FleetRequests, faults.OnHosts):
    """All servers and agents, and the faults; a `faults.Stage`."""

    def __init__(self, scenario: config.Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        for place in self.places:
            self.settle_in(place, f"s{place.index:05d}", cold=False)
            place.doors = [Door(self, place, proxy) for proxy in range(scenario.proxies)]
        first = self.registry.seq
        self.agents = [
            AgentServer(self, number, Agent(self.registry, scenario.discovery, self.notice(), first))
            for number in range(scenario.proxies)
        ]

    async def listen(self) -> None:
        for agent in self.agents:
            await agent.listen()

    def addresses(self) -> dict[str, Any]:
        """Where everything is, for the configurations of the proxies."""
        seq = self.registry.seq
        return {
            "agents": [f"127.0.0.1:{agent.port}" for agent in self.agents],
            "known": [
                json.loads(self.word(seq, True, list(self.registry.current.values()), proxy))
                for proxy in range(self.scenario.proxies)
            ],
        }

    def begin(self, origin: float) -> None:
        """The run's first instant, on the monotonic clock in seconds; it may lie ahead."""
        self.origin = origin
        self.lag = Lag(self.loop, origin)
        self.unix_ms = (time.time() - (time.monotonic() - origin)) * 1000.0
        for occurrence in self.occurrences:
            if occurrence.fault.kind in faults.OF_PROXIES:
                continue  # who started the proxies stops them
            step = int(occurrence.fault.stagger_ms * 1000.0)
            for i, target in enumerate(occurrence.targets()):
                self.at(occurrence.at + i * step, self.fault, occurrence, target, True)
                self.at(occurrence.until + i * step, self.fault, occurrence, target, False)
        rng = random.Random(f"{self.seed}/sockets")
        for fault in self.scenario.sockets.faults:
            count = max(1, round(fault.part * len(self.places)))
            chosen = fault.servers or sorted(rng.sample(range(len(self.places)), count))
            for on, when in ((True, fault.at), (False, fault.at + fault.lasts)):
                self.at(int(when * 1000.0), self.socket_fault, fault, tuple(chosen), on)

    def fault(self, occurrence: faults.Occurrence, target: int, on: bool) -> None:
        if occurrence.fault.kind not in ("drain", "crash", "replace"):  # these tell of themselves
            where = f" {occurrence.text()}" if occurrence.text() else ""
            self.tell_event(f"{occurrence.fault.kind}{where} {'begins' if on else 'ends'}")
        faults.act(self, occurrence, target, on)

    def socket_fault(self, fault: config.SocketFault, chosen: tuple[int, ...], on: bool) -> None:
        self.tell_event(f"{fault.kind} {'begins' if on else 'ends'} at {len(chosen)} servers")
        for number in chosen:
            place = self.places[number]
            if fault.kind in ("full_backlog", "silence"):
                for door in place.doors:
                    if fault.kind == "silence":
                        self.hush(door, on)
                    else:
                        door.full += 1 if on else -1
                        door.regulate()
            else:
                faults.change(place.of_sockets.setdefault(fault.kind, []), fault.size, on)

    def hush(self, door: Door, on: bool) -> None:
        """One proxy and one place no longer hear of each other; when they do again, what was open is
        reset.
        """
        door.cut += 1 if on else -1
        door.regulate()
        for conn in [c for c in door.place.host.conns if c.door is door and c.open]:
            if on:
                conn.transport.pause_reading()
                conn.reached = None  # an answer finds no way back
            elif not door.cut:
                conn.reset()

    def slow(self, server: int, factor: float, on: bool) -> None:
        host = self.places[server].host
        if faults.change(host.slows, factor, on):
            product = 1.0
            for each in host.slows:
                product *= each
            host.server.slow_down(self.now(), product)
            self.mind(host)

    def hang(self, server: int, on: bool) -> None:
        host = self.places[server].host
        if on and host.server.up:
            host.hangs += 1
            host.server.hang(self.now())
        elif not on and host.hangs:
            host.hangs -= 1
            if not host.hangs:
                for job in host.server.resume(self.now()):
                    self.over(host, job)
                if not host.server.up:
                    self.crash_host(host)
        self.mind(host)

    def partition(self, proxy: int, server: int, on: bool) -> None:
        self.hush(self.places[server].doors[proxy], on)

    def discovery(self, kind: str, size: float, on: bool) -> None:
        if kind == "discovery_stale":
            faults.change(self.stale, size, on)
        elif kind == "discovery_whole":
            self.wholes += 1 if on else -1
        else:
            self.silent += 1 if on else -1
        for agent in self.agents:
            if agent.agent.known < self.registry.seq:
                agent.will_tell()

    def answers(self, server: int, kind: str, size: float, on: bool) -> None:
        place = self.places[server]
        faults.change(
            {"late_answers": place.late, "lost_answers": place.lost, "resets": place.resets}[kind], size, on
        )

    def stop_proxy(self, proxy: int, at_once: bool) -> None: ...

    def start_proxy(self, proxy: int) -> None: ...

    def tidy(self) -> None:
        """Close what stood idle for too long, as the servers' own time limit has it."""
        limit = self.scenario.network.idle_ms / 1000.0
        now = self.loop.time()
        for place in self.places:
            for conn in list(place.host.conns):
                if conn.open and conn.reached is None and now - conn.idle_from > limit and not conn.door.cut:
                    conn.transport.close()

    def sight(self) -> list[tuple[str, str, int, float]]:
        """Name, state, requests held and capacity share of each place's server, as they are now."""
        found = []
        for place in self.places:
            host, server = place.host, place.host.server
            state = "down" if not server.up else "hung" if server.hung else host.health
            if state == "ready":
                state = "cold" if self.now() < server.cold_until else "slow" if server.slow > 1.0 else "ready"
            found.append((host.name, state, server.held(), server.warm(self.now()) / server.slow))
        return found

    def settle(self) -> None:
        """After the last answer: what servers still hold runs to its end, for what it might do twice."""
        for host in self.all_hosts:
            for job in host.server.settle():
                operation = job.operation
                if operation is not None and operation.effects > 1 and job.counted:
                    self.ran_twice += 1
                    text = f"the operation has run {operation.effects} times"
                    self.breach("second_effect", self.now(), text, -1, job.ticket.op)

    def summary(self) -> dict[str, Any]:
        """All that the other end's account is held against."""
        self.settle()
        reached = {
            key: [(r.at, r.proxy, r.host, r.declined) for r in attempts]
            for key, attempts in self.attempts.items()
        }
        return {
            "breaches": self.breaches,
            "lagging": self.lag.seconds,
            "dropped": self.dropped,
            "attempts": reached,
            "of_second": self.attempts_of_second,
            "work_done": sum(h.server.tally.work for h in self.all_hosts) / 1000.0,
            "ran_twice": self.ran_twice,
            "events": self.events,
            "strange": self.strange,
            "fallen": sum(h.server.tally.fallen for h in self.all_hosts),
        }
