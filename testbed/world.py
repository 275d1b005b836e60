"""A run in virtual time: clients, proxies, servers and discovery in one discrete-event loop.

Time is in integer microseconds. Events of one instant come in the order in which they were asked for, by a
serial number, so that nothing hangs on hashes; a request of a client comes before them. The same scenario,
seed and policy give the same run to the byte, which `Result.digest` tells.
"""

import gc
import resource
import time
from array import array
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from hashlib import blake2b
from heapq import heappop, heappush
from typing import Any

import numpy as np

from barleybarrow import interface as face
from barleybarrow.connections import Cause
from barleybarrow.interface import Outcome
from brackenusher.core.transaction import Answer, Refused, Served
from brackenusher.upstream.listing import Host as Listed
from testbed import faults
from testbed import scenario as config
from testbed.counts import FAILED, IN_AIM, LATE, LEFT, REFUSED, SECOND, Quota, SecondBySecond, booked
from testbed.model import server as model
from testbed.model.arrivals import Arrivals, Asked, attempt_noise, spread
from testbed.model.discovery import Agent, Desk, Registry
from testbed.model.network import Network, normals, stream, uniforms
from testbed.oracle import LOOK, SWEEP, Oracle
from testbed.parts import Host, Op, Place, Try
from testbed.proxy import LOCAL_START, RECORD, UNIX_START, Carry, Made, Proxy
from testbed.results import Acted, Result, Series, Tally, encode, histogram
from testbed.sight import Sight

NEVER = 1 << 62
RECENT, NEAREST = 64, 9  # answers that a server's report of its latency knows of, and is the median of
MOST_BREACHES = 100  # kept of one run; the rest is counted
FRONT_NOTICE = 2 * SECOND  # until the front knows that a proxy has died
LOST_WATCH = SECOND  # after which a call to a discovery that is silent has failed
WATCH = 5_000  # microseconds that such a call takes otherwise
COLLECT = (50_000, 20, 50)  # a run leaves little that is cyclic: some thousand requests between collections
CHUNK = 1 << 20  # bytes of the trace that are digested at once
OUTCOMES = {
    model.SERVED: Outcome.SERVED,
    model.ERROR: Outcome.ERROR,
    model.DECLINED: Outcome.FULL,
}
CLIENT, ARRIVED, DONE, ANSWER, FAULT = 32, 33, 34, 35, 36  # records of the digest's trace beside the module's


class World(faults.OnHosts):
    """Everything of one run."""

    def __init__(
        self, scenario: config.Scenario, seed: int, policy: str = "module", most_breaches: int = MOST_BREACHES
    ) -> None:
        self.scenario, self.seed, self.policy = scenario, seed, policy
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.serial = self.events = self.number = self.open_ops = 0
        self.trace = bytearray()
        self.hash = blake2b(digest_size=16)
        self.network = Network(scenario.network, seed)
        self.oracle = Oracle(scenario, seed, most_breaches)
        self.again: Callable[[], float] = uniforms(stream(seed, "again")).__next__
        self.chance: Callable[[], float] = uniforms(stream(seed, "servers")).__next__
        self.notice: Callable[[], float] = uniforms(stream(seed, "discovery")).__next__
        self.noise: Callable[[], float] = normals(stream(seed, "noise")).__next__
        self.fleet = stream(seed, "fleet")
        self.occurrences = faults.plan(scenario, seed)
        self.arrivals = iter(Arrivals(scenario, seed, faults.swells(scenario, self.occurrences)))
        self.coming: Asked | None = None  # the next request, where the run was stopped before it
        self.end = int(scenario.seconds * SECOND)
        self.longest_cold = int(max(k.cold_ms for k in scenario.kinds) * 1000.0)
        self.silent = 0
        self.stale: list[float] = []
        self.wholes = 0
        self.cuts: dict[int, dict[int, int]] = {}  # by proxy: servers that it cannot reach, and how often cut
        self.attempts = self.repeats = self.probes = self.ran_twice = 0
        self.useful = 0.0
        self.quotas = [Quota(t.quota * scenario.capacity()) for t in scenario.tenants]
        self.tallies = [
            [Tally(klass=c.name, tenant=t) for t in [x.name for x in scenario.tenants] or [""]]
            for c in scenario.classes
        ]
        self.latencies = [array("q") for _ in scenario.classes]
        self.aims = [int(c.aim * 1000.0) for c in scenario.classes]
        self.deadlines = [int(c.deadline * 1000.0) for c in scenario.classes]
        self.windows = [int(c.window * 1000.0) if c.effect == "keyed" else 0 for c in scenario.classes]
        self.safe = [c.effect == "safe" for c in scenario.classes]
        self.groups = [c.group for c in scenario.classes]
        self.spreads = [c.attempt_noise for c in scenario.classes]
        self.reports = bool(scenario.rules.probe_reports)
        self.series = Series()
        self.seconds_of = SecondBySecond(scenario)
        self.registry, self.desk = Registry(), Desk(scenario.discovery)
        self.away: dict[str, list[tuple[int, str]]] = {}
        self.names: dict[str, Host] = {}
        self.indices: dict[str, int] = {}
        self.addresses: dict[tuple[str, int], Host] = {}
        self.all_hosts: list[Host] = []
        self.places = [
            Place(i, i % len(scenario.zones), kind, i // scenario.cell_size)
            for i, kind in enumerate(scenario.kind_of())
        ]
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
        self.proxies: list[Proxy] = []
        self.down_since: dict[int, int] = {}
        zones = len(scenario.zones)
        self.settings = [config.settings(scenario, zone) for zone in range(zones)]  # by zone alone
        for number in range(scenario.proxies):
            self.proxies.append(Proxy(self, number, 0, self.settings[number % zones], policy, first))
        for occurrence in self.occurrences:
            step = int(occurrence.fault.stagger_ms * 1000.0)
            for i, target in enumerate(occurrence.targets()):
                self.at(occurrence.at + i * step, self.fault, (occurrence, target, True))
                self.at(occurrence.until + i * step, self.fault, (occurrence, target, False))
        self.at(SECOND, self.second, None)
        self.at(LOOK, self.look, None)
        self.at(SWEEP, self.sweep, None)

    # The loop

    def at(self, when: int, call: Callable[[Any], None], what: Any) -> None:
        """Have something called at a time."""
        self.serial += 1
        heappush(self.heap, (when, self.serial, call, what))

    def run(self, until: float | None = None) -> None:
        """Go on to the end, or stop before whatever happens at a time (milliseconds) or after it."""
        stop = NEVER if until is None else int(round(until * 1000.0))
        heap, arrivals, events = self.heap, self.arrivals, 0
        asked = self.coming or next(arrivals, None)
        coming = asked.at if asked is not None else NEVER
        while True:
            if heap and heap[0][0] < coming:
                if heap[0][0] >= stop or coming == NEVER and not self.open_ops and heap[0][0] > self.end:
                    break
                when, _, call, what = heappop(heap)
                self.now = when
                events += 1
                call(what)
            elif asked is not None and coming < stop:
                self.now = coming
                events += 1
                self.ask(asked)
                asked = next(arrivals, None)
                coming = asked.at if asked is not None else NEVER
            else:
                break
            if len(self.trace) > CHUNK:
                self.hash.update(self.trace)
                self.trace.clear()
        self.events += events
        self.coming = asked
        if stop == NEVER:
            self.settle()

    def settle(self) -> None:
        """After the last answer: what servers still hold runs to its end, for what it might do twice."""
        for late in self.oracle.sweep(NEVER):
            self.finish(late.op, late, FAILED, self.now)
        for host in self.all_hosts:
            for job in host.server.settle():
                self.look_at_effect(job)

    # Clients

    def ask(self, asked: Asked) -> None:
        """A client's request reaches the front of the proxies."""
        klass = asked.klass
        worth = self.scenario.classes[klass].worth
        if self.quotas and not self.quotas[asked.tenant].take(asked.sent):
            worth *= self.scenario.rules.over_quota_worth
        operation = None if self.safe[klass] else model.Operation()
        op = Op(asked, asked.sent + self.deadlines[klass], operation, worth)
        self.open_ops += 1
        tally = self.tallies[klass][asked.tenant]
        tally.asked += 1
        tally.worth_asked += worth
        self.seconds_of.asked(asked.sent, klass, worth)
        self.knock(op, asked.proxy, asked.sent)

    def knock(self, op: Op, number: int, sent: int) -> None:
        """A try of a client is at the front, which deals it to a proxy."""
        proxy = self.front(number)
        if proxy is None:
            op.tries += 1
            self.trace += RECORD.pack(self.now, number, CLIENT, 0, op.tries, 0.0)
            self.retry(op, None, FAILED, self.now + self.network.to_client(), 0.0)
            return
        self.number += 1
        due = min(op.due, sent + int(op.asked.wait * self.deadlines[op.klass]))
        t = Try(op, self.number, proxy, sent, due, self.now)
        op.tries += 1
        if op.asked.leaves < 1.0:
            self.at(max(self.now, sent + int(op.asked.leaves * (due - sent))), self.leave, t)
        self.trace += RECORD.pack(self.now, proxy.number, ARRIVED, t.number, op.klass, float(due))
        proxy.take(t)

    def front(self, number: int) -> Proxy | None:
        """The proxy that a connection is dealt to; None where it finds no process there."""
        proxies = self.proxies
        proxy = proxies[number]
        if proxy.takes:
            return proxy
        if self.now < self.down_since.get(number, 0) + FRONT_NOTICE:
            return None
        for i in range(1, len(proxies)):
            other = proxies[(number + i) % len(proxies)]
            if other.takes:
                return other
        return None

    def leave(self, t: Try) -> None:
        """An impatient client closes its connection."""
        if t.over:
            return
        self.oracle.gone(t)
        self.trace += RECORD.pack(self.now, t.proxy.number, CLIENT, t.number, 1, 0.0)
        self.finish(t.op, t, LEFT, self.now)
        t.proxy.left(t)

    def answered(self, t: Try, answer: Answer) -> None:
        """A proxy has given its final answer."""
        now = self.now
        self.oracle.answered(now, t, answer)
        kind = 0 if isinstance(answer, Served) else 1 if isinstance(answer, Refused) else 2
        self.trace += RECORD.pack(now, t.proxy.number, ANSWER, t.number, kind, 0.0)
        if t.over:
            return
        got = now + self.network.to_client()
        if got > t.due:  # the client has closed its connection at its deadline
            kind = 2
        if kind == 0:
            made = answer.content if isinstance(answer, Served) else None
            if isinstance(made, Made) and made.carry.job is not None:
                self.useful += made.carry.job.work
            self.latencies[t.op.klass].append(got - t.op.sent)
            self.finish(t.op, t, IN_AIM if got - t.op.sent <= self.aims[t.op.klass] else LATE, got)
        elif kind == 1:
            t.over = True
            after = answer.retry_after if isinstance(answer, Refused) and t.op.asked.honours else 0.0
            self.retry(t.op, t, REFUSED, got, after)
        else:
            t.over = True
            self.retry(t.op, t, FAILED, got, 0.0)

    def retry(self, op: Op, t: Try | None, how: int, got: int, after: float) -> None:
        """A client has no answer: it tries again, where that is allowed and there is time, or gives up."""
        conf, klass = self.scenario.clients, op.klass
        wait = conf.backoff_ms * (0.5 + self.again())
        if conf.backoff == "exp":
            wait *= 2.0 ** (op.tries - 1)
        sent = got + int(max(wait, after) * 1000.0)
        may = op.tries <= conf.retries and sent < op.due
        if may and t is not None and how == FAILED and not self.safe[klass]:
            # it may have run: only a key saves it, and only if no attempt can come after the window
            c = self.scenario.classes[klass]
            last = sent + int(op.asked.wait * self.deadlines[klass])
            may = c.effect == "keyed" and c.group == "all" and last < op.sent + self.windows[klass]
        if may:
            self.at(sent + self.network.to_client(), self.try_again, (op, sent))
        else:
            self.finish(op, t, how, got)

    def try_again(self, what: tuple[Op, int]) -> None:
        op, sent = what
        self.knock(op, int(self.again() * len(self.proxies)), sent)

    def finish(self, op: Op, t: Try | None, how: int, got: int) -> None:
        """What came of an operation."""
        if t is not None:
            t.over = True
        self.open_ops -= 1
        booked(self.tallies[op.klass][op.tenant], how, op.worth)
        self.seconds_of.finished(op.sent, op.klass, how, op.worth)

    # Attempts

    def count_attempt(self, t: Try) -> None:
        self.attempts += 1
        self.repeats += len(t.carries) > 1
        self.seconds_of.attempt(self.now)

    def cut(self, proxy: Proxy, host: Host) -> bool:
        """Whether a partition lies between a proxy and a server."""
        cuts = self.cuts
        return bool(cuts) and host.place.index in cuts.get(proxy.number, ())

    def reach(self, carry: Carry) -> None:
        """A request, whole, is at the server."""
        link, now = carry.link, self.now
        host = link.host
        assert host is not None  # it was written to
        server = host.server
        if link.life != host.life or not server.up or host.place.host is not host:
            return  # that process is gone, and its connections with it
        place = host.place
        if not link.fresh and server.spec.idle and now - link.idle_from >= server.spec.idle:
            self.at(now + self.network.delay(host.zone, carry.proxy.zone), carry.proxy.reset, link)
            return
        if place.resets and self.chance() < max(place.resets):
            self.at(now + self.network.delay(host.zone, carry.proxy.zone), carry.proxy.reset, link)
            if self.chance() < 0.5:
                return  # it broke before the server had read it
        op = carry.t.op
        klass = op.klass
        work = op.asked.work
        if op.attempts and self.spreads[klass]:
            work *= attempt_noise(self.spreads[klass], self.noise()) / op.asked.noise
        op.attempts += 1
        if link.fresh:
            work += self.scenario.kinds[place.kind].handshake_ms * 1000.0
        carry.job = job = model.Job(
            carry,
            work,
            op.key,
            op.operation,
            self.windows[klass],
            host.group(self.groups[klass]),
            carry.started,
            carry.t.due,
        )
        if server.cold_until:
            self.oracle.reached(now, carry, host, work)
        if self.reports:
            carry.crowd, carry.reached = server.held(), now
        if not server.arrive(now, job):
            if not server.up:
                self.crash_host(host)  # pushed over: it stays down
                return
            self.over(host, job)
        self.mind(host)

    def mind(self, host: Host) -> None:
        """See to it that the loop looks at a server when it next has something to say."""
        due = host.server.due
        if due is not None and (host.wake is None or due < host.wake):
            host.wake = due
            self.at(due, self.due, host)

    def due(self, host: Host) -> None:
        if self.now != host.wake:
            return  # looked at earlier, and asked for again
        host.wake = None
        for job in host.server.advance(self.now):
            self.over(host, job)
        self.mind(host)

    def over(self, host: Host, job: model.Job) -> None:
        """A server is done with a request: its answer sets out."""
        carry, now, place = job.ticket, self.now, host.place
        if job.operation is not None:
            self.look_at_effect(job)
        self.trace += RECORD.pack(
            now, carry.proxy.number, DONE, carry.t.number, place.index, float(job.outcome)
        )
        if self.reports and job.outcome == model.SERVED:
            if host.recent is None:
                host.recent = deque(maxlen=RECENT)
            host.recent.append((carry.crowd, now - carry.reached))
        if carry.over or carry.link.closed or self.cut(carry.proxy, host):
            return
        if place.lost and self.chance() < max(place.lost):
            return
        delay = self.network.delay(host.zone, carry.proxy.zone)
        if place.late:
            delay += int(max(place.late) * 1000.0)
        self.at(now + delay, carry.proxy.answer, carry)

    def look_at_effect(self, job: model.Job) -> None:
        """Let the oracle see what really ran."""
        carry, operation = job.ticket, job.operation
        if operation is not None:
            if operation.effects > 1 and carry.t.op.effects_seen == 1:
                self.ran_twice += 1
            self.oracle.ran(self.now, carry)

    def outcome_of(self, carry: Carry) -> Outcome:
        return OUTCOMES[carry.job.outcome]  # type: ignore[union-attr]

    def given_up(self, carry: Carry) -> None:
        """A proxy has closed the connection under an attempt."""
        host = carry.link.host
        if host is not None and host.server.spec.cancel != "none":
            self.at(self.now + self.network.delay(carry.proxy.zone, host.zone), self.cancelled, carry)

    def cancelled(self, carry: Carry) -> None:
        host, job = carry.link.host, carry.job
        if job is not None and host is not None and carry.link.life == host.life:
            host.server.cancel(self.now, job)
            self.mind(host)

    def probe(self, proxy: Proxy, backend: str) -> None:
        """A probe sets out on a connection of its own."""
        self.probes += 1
        limit = int(self.scenario.rules.probe_timeout * 1000.0)
        member = proxy.pool.members.get(backend)
        host = self.addresses.get(member.address) if member is not None else None
        if host is None or self.cut(proxy, host) or host.server.hung:
            self.at(self.now + limit, self.probe_back, (proxy, host, backend, Outcome.TIMEOUT, self.now))
            return
        there = self.network.delay(proxy.zone, host.zone)
        self.at(self.now + there, self.probe_there, (proxy, host, backend, Outcome.SERVED, self.now))

    def probe_there(self, what: tuple[Proxy, Host, str, Outcome, int]) -> None:
        proxy, host, backend, outcome, sent = what
        if not host.server.up:
            outcome = Outcome.CONNECT_FAILED
        elif host.server.draining or host.server.quick_errors:
            outcome = Outcome.ERROR
        else:
            host.server.charge(self.now, self.scenario.rules.probe_work_ms * 1000.0)
            self.mind(host)
        back = self.now + self.network.delay(host.zone, proxy.zone)
        self.at(back, self.probe_back, (proxy, host, backend, outcome, sent))

    def usual(self, host: Host) -> float:
        """What a server says of its latency, in milliseconds: the median of late answers to requests that
        found about as many there as one would find now (as Prequal has it, NSDI 2024)."""
        held = host.server.held()
        near = sorted(host.recent or (), key=lambda answer: abs(answer[0] - held))[:NEAREST]
        if not near:
            pace = host.server.one_core(self.now)
            return self.scenario.mean_work() / pace if pace else 0.0
        return sorted(span for _, span in near)[len(near) // 2] / 1000.0

    def probe_back(self, what: tuple[Proxy, Host | None, str, Outcome, int]) -> None:
        proxy, host, backend, outcome, sent = what
        report = None
        if outcome is Outcome.SERVED and host is not None and self.scenario.rules.probe_reports:
            server = host.server
            held, waits = server.held(), len(server.waiting or ())
            figures = {
                "inflight": float(held),
                "queue": float(waits),
                "util": min(1.0, len(server.working) / server.spec.cores),
                "latency": self.usual(host),
                "rate": 0.0,
                "errors": 0.0,
            }
            report = {str(name): figures[name] for name in self.scenario.rules.probe_reports}
        proxy.probed(face.Probed(backend, outcome, (self.now - sent) / 1000.0, report))

    # Servers and discovery

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
                link.close(Cause.ENDED)
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

    # Faults: a `faults.Stage`

    def fault(self, what: tuple[faults.Occurrence, int, bool]) -> None:
        occurrence, target, on = what
        kind = sorted(config.FaultKind.__args__).index(occurrence.fault.kind)  # type: ignore[attr-defined]
        self.trace += RECORD.pack(self.now, kind, FAULT, target, on, occurrence.fault.size)
        faults.act(self, occurrence, target, on)

    def slow(self, server: int, factor: float, on: bool) -> None:
        host = self.places[server].host
        if faults.change(host.slows, factor, on):
            product = 1.0
            for each in host.slows:
                product *= each
            host.server.slow_down(self.now, product)
            self.mind(host)

    def hang(self, server: int, on: bool) -> None:
        host = self.places[server].host
        if on:
            if host.server.up:
                host.hangs += 1
                host.server.hang(self.now)
        elif host.hangs:
            host.hangs -= 1
            if not host.hangs:
                for job in host.server.resume(self.now):
                    self.over(host, job)
                if not host.server.up:
                    self.crash_host(host)
                self.mind(host)

    def partition(self, proxy: int, server: int, on: bool) -> None:
        cuts = self.cuts.setdefault(proxy, {})
        if on:
            cuts[server] = cuts.get(server, 0) + 1
            return
        cuts[server] = cuts.get(server, 1) - 1
        if cuts[server] <= 0:
            del cuts[server]
            host = self.places[server].host
            for link in [x for x in host.links if x.proxy.number == proxy]:
                self.at(self.now + self.network.delay(host.zone, link.proxy.zone), link.proxy.reset, link)

    def discovery(self, kind: str, size: float, on: bool) -> None:
        if kind == "discovery_stale":
            faults.change(self.stale, size, on)
        elif kind == "discovery_whole":
            self.wholes += 1 if on else -1
        else:
            self.silent += 1 if on else -1
            if on and self.scenario.discovery.mode == "ask":
                for number, agent in enumerate(self.agents):
                    proxy = self.proxies[number]
                    if agent.watched and proxy.alive:
                        agent.watched = False
                        self.at(self.now + LOST_WATCH, self.watched, (proxy, False))
        for number, agent in enumerate(self.agents):
            if agent.known < self.registry.seq:
                self.will_tell(number, agent)

    def answers(self, server: int, kind: str, size: float, on: bool) -> None:
        place = self.places[server]
        sizes = {"late_answers": place.late, "lost_answers": place.lost, "resets": place.resets}
        faults.change(sizes[kind], size, on)

    def stop_proxy(self, proxy: int, at_once: bool) -> None:
        one = self.proxies[proxy]
        if one.alive and not one.stopping:
            self.down_since[proxy] = self.now
            if at_once:
                self.end_proxy(one)
            else:
                one.stop()

    def end_proxy(self, proxy: Proxy) -> None:
        """Its process ends; the clients that it holds see their connections break."""
        if not proxy.alive:
            return
        proxy.die()
        for t in [t for t in self.oracle.open if t.proxy is proxy]:
            self.oracle.gone(t)
            if not t.over:
                t.over = True
                self.retry(t.op, t, FAILED, self.now + self.network.to_client(), 0.0)

    def start_proxy(self, proxy: int) -> None:
        old = self.proxies[proxy]
        if not old.stopping and old.alive:
            return
        self.end_proxy(old)
        agent = self.agents[proxy]
        agent.watched = self.scenario.discovery.mode == "push"
        listing = self.registry.whole(agent.known)  # as it was last held, which may be old
        settings = self.settings[proxy % len(self.settings)]
        self.proxies[proxy] = Proxy(self, proxy, old.life + 1, settings, self.policy, listing)
        if agent.known < self.registry.seq:
            self.will_tell(proxy, agent)

    def sight(self, proxy: Proxy) -> Sight:
        return Sight(self, proxy)

    # Looking on

    def look(self, _: None) -> None:
        self.oracle.look(self.now, self.proxies, [place.host for place in self.places])
        self.at(self.now + LOOK, self.look, None)

    def sweep(self, _: None) -> None:
        for t in self.oracle.sweep(self.now):
            if not t.over:
                self.finish(t.op, t, FAILED, self.now)
        self.at(self.now + SWEEP, self.sweep, None)

    def second(self, _: None) -> None:
        held = sum(1 for t in self.oracle.open if not t.out)
        counts = [float(place.host.server.held()) for place in self.places]
        self.seconds_of.sample(held, counts, [place.host.name for place in self.places])
        self.at(self.now + SECOND, self.second, None)

    def result(self, wall: float = 0.0) -> Result:
        """What the run has come to so far."""
        self.hash.update(self.trace)
        self.trace.clear()
        latencies = {}
        for conf, spans in zip(self.scenario.classes, self.latencies, strict=True):
            filled = histogram()
            values, counts = np.unique(np.frombuffer(spans, dtype=np.int64), return_counts=True)
            for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                filled.record_value(value, count)
            latencies[conf.name] = encode(filled)
        done = sum(host.server.tally.work for host in self.all_hosts) / 1000.0
        return Result(
            scenario=self.scenario.name,
            policy=self.policy,
            seed=self.seed,
            seconds=self.now / SECOND,
            tallies=[tally for of_class in self.tallies for tally in of_class],
            latencies=latencies,
            attempts=self.attempts,
            repeats=self.repeats,
            probes=self.probes,
            connects=sum(host.server.connects for host in self.all_hosts),
            cold_peak=self.oracle.cold_peak,
            work_done=done,
            work_wasted=max(0.0, done - self.useful / 1000.0),
            ran_twice=self.ran_twice,
            series=self.seconds_of.series,
            acted=[
                Acted(kind=o.fault.kind, at=o.at / 1000.0, until=o.until / 1000.0, text=o.text())
                for o in self.occurrences
                if o.at <= self.now
            ],
            breaches=sorted(self.oracle.breaches, key=lambda b: b.at),
            breaches_dropped=self.oracle.dropped,
            digest=self.hash.hexdigest(),
        )


def spec_of(scenario: config.Scenario, kind: config.Kind, speed: float) -> model.Spec:
    """What a server of a kind is."""
    keys, rules = scenario.keys, scenario.rules
    return model.Spec(
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


@contextmanager
def few_collections() -> Iterator[None]:
    """Leave the garbage collector little to do: what the set-up has made stays for the whole run."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT)
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
        gc.unfreeze()


def run(
    scenario: config.Scenario,
    seed: int,
    policy: str = "module",
    until: float | None = None,
    most_breaches: int = MOST_BREACHES,
) -> Result:
    """Play a scenario from a seed; `until` (milliseconds) stops just before what happens then.

    Raises KeyError where there is no policy of that name.
    """
    began = time.perf_counter()
    world = World(scenario, seed, policy, most_breaches)
    with few_collections():
        world.run(until)
    result = world.result()
    result.cost.wall_s = time.perf_counter() - began
    result.cost.events = world.events
    result.cost.memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return result
