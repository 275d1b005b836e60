"""The processes of servers and what discovery tells of them: starts, crashes, drains, lists."""

import json

from brackenusher.upstream.listing import Host as Listed
from testbed.model import server as model
from testbed.model.arrivals import spread
from testbed.sockets.doors import Host, Place
from testbed.sockets.fleet_answers import FleetAnswers
from testbed.world_processes import spec_of
from testbed.world_state import NEVER


class FleetProcesses(FleetAnswers):
    """Starts and ends servers, and has agents tell of it."""

    def settle_in(self, place: Place, name: str, cold: bool) -> Host:
        """A new process under a new id at a place."""
        kind = self.scenario.kinds[place.kind]
        sigma = spread(kind.speed_cv)
        speed = kind.speed * float(
            2.718281828459045 ** (sigma * self.fleet_rng.standard_normal() - sigma**2 / 2)
        )
        spec = spec_of(self.scenario, kind, speed)
        host = Host(name, place, model.Server(spec, self.chance, self.now(), cold))
        place.host = host
        self.names[name] = host
        self.all_hosts.append(host)
        if cold:
            host.born_unix_ms = self.unix_ms + self.now() / 1000.0
            host.listed_at = host.told_born_at = NEVER
            for door in place.doors:
                door.open()
            self.after(self.delay_of_news(), self.news_of_start, host, host.life)
        else:
            self.registry.note(self.now(), self.listed(host, "ready"))
        return host

    def delay_of_news(self) -> int:
        return int(self.scenario.discovery.add_ms * 1000.0 * (0.5 + self.notice()))

    def listed(self, host: Host, health: str) -> Listed:
        """A host as discovery words it; its address differs from proxy to proxy and is filled in there."""
        born = host.born_unix_ms if self.scenario.discovery.born_known else 0.0
        place = host.place
        zone, kind = self.scenario.zones[place.zone], self.scenario.kinds[place.kind].name
        return Listed(host.name, ("", place.index), zone, kind, place.cell, health, born)

    def word(self, seq: int, whole: bool, hosts: list[Listed], proxy: int) -> bytes:
        """A list in discovery's form, as one proxy is told it."""
        entries = [
            {
                "host": host.name,
                "dial": f"127.0.0.1:{self.places[host.address[1]].doors[proxy].port}",
                "site": host.zone,
                "class": host.kind,
                "block": host.cell,
                "health": host.health,
                "share": 1.0,
                "born_ms": host.born_ms,
            }
            for host in hosts
        ]
        return json.dumps({"seq": seq, "whole": whole, "hosts": entries}).encode()

    def publish(self, host: Host, health: str) -> None:
        """Discovery takes up what has become of a host, and will tell it."""
        seq = self.registry.note(self.now(), self.listed(host, health))
        host.health = health
        self.away.setdefault(host.name, []).append((seq, health))
        if health == "ready":
            host.listed_at = seq
        for agent in self.agents:
            agent.will_tell()

    def news_of_start(self, host: Host, life: int) -> None:
        if host.life == life and host.server.up and host.place.host is host:
            self.publish(host, "ready")

    def news_of_end(self, host: Host, life: int) -> None:
        if host.life == life and not host.server.up and host.health != "gone":
            self.publish(host, "gone")

    def crash_host(self, host: Host, gone_after: float | None = None) -> None:
        """A process ends: its connections are reset, its port refuses, discovery finds out after a while."""
        self.tell_event(f"{host.name} ends")
        for job in host.server.crash(self.now()):
            job.ticket.over_at = self.now()
        conns, host.conns = list(host.conns), set()
        for door in host.place.doors:
            door.close()
        for conn in conns:
            if not conn.door.cut:
                conn.reset()
        self.mind(host)
        after = self.scenario.discovery.gone_ms if gone_after is None else gone_after
        self.after(int(after * 1000.0), self.news_of_end, host, host.life)

    def start_host(self, host: Host) -> None:
        """The process is back under its id, cold and without memory."""
        self.tell_event(f"{host.name} starts")
        host.life += 1
        host.server.start(self.now())
        host.born_unix_ms = self.unix_ms + self.now() / 1000.0
        host.slows, host.errors, host.hangs, host.pressed = [], [], 0, None
        host.listed_at = NEVER
        for door in host.place.doors:
            door.open()
        self.after(self.delay_of_news(), self.news_of_start, host, host.life)

    def end_of_drain(self, host: Host, life: int, leaves: int, gap: int | None) -> None:
        if host.life != life or not host.server.up or host.leaves != leaves:
            return
        self.crash_host(host, gone_after=0.0)
        if gap is not None:
            self.after(gap, self.take_over, host)

    def take_over(self, old: Host) -> None:
        place = old.place
        if place.host is old and not old.server.up:
            generation = sum(1 for h in self.all_hosts if h.place is place)
            self.tell_event(f"s{place.index:05d}.{generation} starts")
            self.settle_in(place, f"s{place.index:05d}.{generation}", cold=True)

    def stops_taking(self, host: Host, life: int, leaves: int) -> None:
        if host.life == life and host.leaves == leaves:
            host.server.draining = True

    def begin_drain(self, host: Host, gap: int | None) -> None:
        if not host.server.up or host.health != "ready":
            return
        self.tell_event(f"{host.name} drains")
        host.leaves += 1
        self.publish(host, "draining")
        notice = int(self.scenario.discovery.drain_notice_ms * 1000.0)
        self.after(notice // 2, self.stops_taking, host, host.life, host.leaves)
        self.after(notice, self.end_of_drain, host, host.life, host.leaves, gap)
