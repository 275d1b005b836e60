"""Attempts and probes on their way between proxies and servers."""

from collections import deque

from barleybarrow import interface as face
from barleybarrow.interface import Outcome
from testbed.model import jobs
from testbed.model.arrivals import attempt_noise
from testbed.parts import Host, Try
from testbed.proxy import RECORD, Carry, Proxy
from testbed.world_processes import WorldProcesses
from testbed.world_state import DONE

RECENT, NEAREST = 64, 9  # answers that a server's report of its latency knows of, and is the median of
OUTCOMES = {
    jobs.SERVED: Outcome.SERVED,
    jobs.ERROR: Outcome.ERROR,
    jobs.DECLINED: Outcome.FULL,
}


class WorldAttempts(WorldProcesses):
    """Carries requests to servers, and their answers back."""

    def count_attempt(self, t: Try) -> None:
        self.attempts += 1
        self.repeats += len(t.carries) > 1
        self.seconds_of.attempt(self.now)

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
        carry.job = job = jobs.Job(
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

    def over(self, host: Host, job: jobs.Job) -> None:
        """A server is done with a request: its answer sets out."""
        carry, now, place = job.ticket, self.now, host.place
        if job.operation is not None:
            self.look_at_effect(job)
        self.trace += RECORD.pack(
            now, carry.proxy.number, DONE, carry.t.number, place.index, float(job.outcome)
        )
        if self.reports and job.outcome == jobs.SERVED:
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

    def look_at_effect(self, job: jobs.Job) -> None:
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
