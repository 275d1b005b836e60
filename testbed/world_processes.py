"""The processes of servers and what discovery tells of them: starts, crashes, drains, lists."""

import numpy as np

from barleybarrow import interface as face
from barleybarrow.connection_records import CloseReason
from brackenusher.upstream.listing import Host as Listed
from testbed import scenario as config
from testbed.counts import SECOND
from testbed.model import jobs
from testbed.model import server as model
from testbed.model.arrivals import spread
from testbed.model.discovery import Agent
from testbed.model.network import stream
from testbed.parts import Host, Place
from testbed.proxy import LOCAL_START, UNIX_START, Proxy
from testbed.world_state import MOST_BREACHES, NEVER, WorldState

LOST_WATCH = SECOND  # after which a call to a discovery that is silent has failed
WATCH = 5_000  # microseconds that such a call takes otherwise


class WorldProcesses(WorldState):
    """Starts and ends servers, and has proxies told of it."""

    def __init__(
        self, scenario: config.Scenario, seed: int, policy: str = "module", most_breaches: int = MOST_BREACHES
    ) -> None:
        super().__init__(scenario, seed, policy, most_breaches)
        for place in self.places:
            self.settle_in(place, f"s{place.index:05d}", cold=False)
        clocks = stream(seed, "clocks").random((scenario.proxies, 2)) * 2.0 - 1.0
        self.clocks = [
            (
                LOCAL_START + scenario.clocks.offset_ms * a,
                (1.0 + scenario.clocks.drift_ppm * b / 1e6) / 1000.0,
            )
            for a, b in clocks.tolist()
        ]
        first = self.registry.whole()
        self.agents = [
            Agent(self.registry, scenario.discovery, self.notice(), first.seq)
            for _ in range(scenario.proxies)
        ]

    def settle_in(self, place: Place, name: str, cold: bool) -> Host:
        """A new process under a new id at a place."""
        kind = self.scenario.kinds[place.kind]
        sigma = spread(kind.speed_cv)
        speed = kind.speed * float(np.exp(sigma * self.fleet.standard_normal() - sigma**2 / 2.0))
        spec = spec_of(self.scenario, kind, speed)
        host = Host(name, place, model.Server(spec, self.chance, self.now, cold))
        place.host = self.addresses[place.address] = host
        self.names[name] = host
        self.indices[name] = len(self.indices)
        self.all_hosts.append(host)
        if cold:
            host.plain, host.listed_at, host.told_born_at = False, NEVER, NEVER
            host.careful_until = self.now + self.longest_cold
            self.at(self.now + self.delay_of_news(), self.news_of_start, (host, host.life))
        else:
            self.registry.note(self.now, self.listed(host, "ready"))
        return host

    def delay_of_news(self) -> int:
        return int(self.scenario.discovery.add_ms * 1000.0 * (0.5 + self.notice()))

    def listed(self, host: Host, health: str) -> Listed:
        """A host as discovery words it."""
        born = 0.0
        if host.server.born and self.scenario.discovery.born_known:
            born = UNIX_START + host.server.born / 1000.0
        place = host.place
        zone, kind = self.scenario.zones[place.zone], self.scenario.kinds[place.kind].name
        return Listed(host.name, place.address, zone, kind, place.cell, health, born)

    def publish(self, host: Host, health: str) -> None:
        """Discovery takes up what has become of a host, and will tell it."""
        seq = self.registry.note(self.now, self.listed(host, health))
        host.health, host.plain = health, False
        self.away.setdefault(host.name, []).append((seq, health))
        if health == "ready":
            host.listed_at = seq
            host.told_born_at = seq if self.scenario.discovery.born_known else NEVER
        for number, agent in enumerate(self.agents):
            self.will_tell(number, agent)

    def will_tell(self, number: int, agent: Agent) -> None:
        if agent.due is None and agent.watched and not self.silent:
            agent.due = agent.next(self.now)
            self.at(agent.due, self.deliver, number)

    def deliver(self, number: int) -> None:
        """It is time for one agent to tell what has changed."""
        agent, proxy = self.agents[number], self.proxies[number]
        agent.due = None
        if self.silent or not agent.watched or not proxy.alive:
            return  # told when it is back
        if self.scenario.discovery.loss and self.notice() < self.scenario.discovery.loss:
            agent.lost = True
            self.will_tell(number, agent)
            return
        seq = self.registry.seq
        if self.stale:
            seq = self.registry.seq_at(self.now - int(max(self.stale) * 1000.0))
        listing = agent.tell(seq, self.wholes > 0)
        if listing is not None:
            proxy.enter()
            proxy.tell(listing)
            proxy.rest()
        if agent.known < self.registry.seq:
            self.will_tell(number, agent)

    def watch(self, proxy: Proxy) -> None:
        """A module asks for the list; its call fails while discovery is silent."""
        if self.scenario.discovery.mode == "ask":
            if self.silent:
                self.at(self.now + LOST_WATCH, self.watched, (proxy, False))
                return
            agent = self.agents[proxy.number]
            lines = 1 + len(self.registry.since(agent.known, self.registry.seq).hosts)
            wait, answered = self.desk.call(self.now, lines)
            self.at(self.now + WATCH + wait, self.watched, (proxy, answered))

    def watched(self, what: tuple[Proxy, bool]) -> None:
        proxy, good = what
        if not proxy.alive:
            return
        proxy.enter()
        agent = self.agents[proxy.number]
        if good and not self.silent:
            agent.watched = True
            seq = max(agent.known, self.registry.seq)
            listing = self.registry.since(agent.known, seq)
            agent.known = seq
            proxy.tell(listing)
        else:
            proxy.transactions.post(face.ListChanged(face.ListScope.LOST, []))
        proxy.rest()

    def news_of_start(self, what: tuple[Host, int]) -> None:
        host, life = what
        if host.life == life and host.server.up and host.place.host is host:
            self.publish(host, "ready")

    def news_of_end(self, what: tuple[Host, int]) -> None:
        host, life = what
        if host.life == life and not host.server.up and host.health != "gone":
            self.publish(host, "gone")

    def crash_host(self, host: Host, gone_after: float | None = None) -> None:
        """A process ends: its connections are reset, and discovery finds out after a while."""
        for job in host.server.crash(self.now):
            job.ticket.job = job
        links, host.links = list(host.links), {}
        for link in links:
            if link.load is None and link.up:
                link.close(CloseReason.ENDED)
            elif not self.cut(link.proxy, host):
                self.at(self.now + self.network.delay(host.zone, link.proxy.zone), link.proxy.reset, link)
        host.wake = None
        after = self.scenario.discovery.gone_ms if gone_after is None else gone_after
        self.at(self.now + int(after * 1000.0), self.news_of_end, (host, host.life))

    def start_host(self, host: Host) -> None:
        """The process is back under its id, cold and without memory."""
        host.life += 1
        host.server.start(self.now)
        host.slows, host.errors, host.hangs = [], [], 0
        host.listed_at = host.told_born_at = NEVER
        host.plain = False
        host.careful_until = self.now + self.longest_cold
        self.oracle.started_anew(host)
        self.at(self.now + self.delay_of_news(), self.news_of_start, (host, host.life))

    def end_of_drain(self, what: tuple[Host, int, int, int | None]) -> None:
        """A process that drains ends; where it is replaced, a new one follows."""
        host, life, leaves, gap = what
        if host.life != life or not host.server.up or host.leaves != leaves:
            return
        self.crash_host(host, gone_after=0.0)
        if gap is not None:
            self.at(self.now + gap, self.take_over, host)

    def take_over(self, old: Host) -> None:
        place = old.place
        if place.host is old and not old.server.up:
            generation = sum(1 for h in self.all_hosts if h.place is place)
            self.settle_in(place, f"s{place.index:05d}.{generation}", cold=True)

    def stops_taking(self, what: tuple[Host, int, int]) -> None:
        host, life, leaves = what
        if host.life == life and host.leaves == leaves:
            host.server.draining = True

    def begin_drain(self, host: Host, gap: int | None) -> None:
        if not host.server.up or host.health != "ready":
            return
        host.leaves += 1
        self.publish(host, "draining")
        notice = int(self.scenario.discovery.drain_notice_ms * 1000.0)
        self.at(self.now + notice // 2, self.stops_taking, (host, host.life, host.leaves))
        self.at(self.now + notice, self.end_of_drain, (host, host.life, host.leaves, gap))


def spec_of(scenario: config.Scenario, kind: config.Kind, speed: float) -> jobs.Spec:
    """What a server of a kind is."""
    keys, rules = scenario.keys, scenario.rules
    return jobs.Spec(
        cores=kind.cores,
        speed=speed,
        slots=max(1, round(kind.slots_per_core * kind.cores)),
        queue=round(kind.queue_per_core * kind.cores),
        thrash=kind.thrash,
        thrash_at=kind.thrash_at,
        cold_from=kind.cold_from,
        cold=int(kind.cold_ms * 1000.0),
        warm_by_work=kind.warm_by == "work",
        error_rate=kind.error_rate,
        cancel="all" if kind.cancel_stops else "none",
        connections=max(1, round(kind.connections_per_core * kind.cores)),
        full_tax=kind.connection_tax,
        idle=int(scenario.network.idle_ms * 1000.0),
        affinity_gain=keys.affinity_gain,
        affinity=int(keys.affinity_ms * 1000.0),
        affinity_keys=round(keys.affinity_keys_per_core * kind.cores) if keys.affinity_gain else 0,
        tip_multiple=rules.tip_multiple,
        tip_after=int(rules.tip_after * 1000.0),
        usual_work=max(c.work_ms for c in scenario.classes) * 1000.0,
    )
