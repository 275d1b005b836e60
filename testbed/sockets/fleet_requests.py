"""Requests that come to servers, and what the oracle finds wrong with them."""

from testbed.model import jobs
from testbed.model import server as model
from testbed.model.arrivals import attempt_noise
from testbed.oracle import Pressed
from testbed.sockets import http
from testbed.sockets.doors import Conn, Host, Reached
from testbed.sockets.fleet_processes import FleetProcesses
from testbed.sockets.fleet_state import SECOND
from testbed.world_state import NEVER

SLACK = 50_000  # by which the rules on sockets are longer than the simulator's
LATE = 100_000  # by which two processes on a shared machine may see one thing at different times
MOST_LOGGED = 2_000_000  # attempts kept for the comparison of both ends


class FleetRequests(FleetProcesses):
    """Takes requests and probes in; a `DoorOwner`."""

    def request(self, conn: Conn, begun: int, first: bytes, head: bytes) -> None:
        """A request has come whole."""
        now, host, place = self.now(), conn.host, conn.host.place
        if self.draws(place.resets):
            early = self.chance() < 0.5
            if early:
                conn.reset()  # it broke before the server had read it
                return
        target = first.split(b" ")[1] if first.endswith(b" HTTP/1.1") else b""
        if target in (b"/health/live", b"/stats"):
            self.probed(conn, target)
            return
        name = http.field(head, b"req-id")
        op, number = ids(name)
        if not 0 <= op < len(self.asked):
            self.strange += 1
            conn.write(http.answer(404 if name is None else 400))
            return
        asked, conf = self.asked[op], self.scenario
        reached = Reached(conn, begun, now, conn.proxy, host.name, op, number)
        conn.reached = reached
        klass = asked.klass
        work = asked.work
        tried = self.tries_of.get(op, 0)
        self.tries_of[op] = tried + 1
        second = now // SECOND
        self.attempts_of_second[second] = self.attempts_of_second.get(second, 0) + 1
        if tried and conf.classes[klass].attempt_noise:
            work *= attempt_noise(conf.classes[klass].attempt_noise, self.noise()) / asked.noise
        if conn.fresh:
            work += conf.kinds[place.kind].handshake_ms * 1000.0
            conn.fresh = False
        safe = conf.classes[klass].effect == "safe"
        operation = None if safe else self.ledger.find(op)
        window, group = self.windows[klass], host.group(conf.classes[klass].group)
        job = jobs.Job(reached, work, asked.key, operation, window, group, now, NEVER)
        reached.job = job
        self.judge(now, reached, host, work)
        if self.logged < MOST_LOGGED:
            self.logged += 1
            self.attempts.setdefault((op, number), []).append(reached)
        if not host.server.arrive(now, job):
            if not host.server.up:
                self.crash_host(host)  # pushed over
                return
            self.over(host, job)
        self.mind(host)

    def judge(self, now: int, reached: Reached, host: Host, work: float) -> None:
        """The oracle's part: what is wrong with an attempt that has come."""
        proxy, told = reached.proxy, self.agents[reached.proxy].told
        conf = self.scenario
        c = conf.classes[self.asked[reached.op].klass]
        history = self.away.get(host.name)
        if history is not None:
            known, left = told.seqs[-1] if told.seqs else 0, None
            for seq, health in history:
                if seq > known:
                    break
                left = None if health == "ready" else left if left is not None else seq
            if left is not None:
                since = reached.begun - told.when(left)
                if since > conf.rules.drain_grace * 1000.0 + SLACK + LATE:
                    text = f"sent to {host.name} {since / 1000.0:.0f} ms after it was told that it leaves"
                    self.breach("drain", now, text, proxy, reached.op)
        before = [r for r in self.attempts.get((reached.op, reached.number), ()) if not r.declined]
        if before and c.effect != "safe":
            if c.effect == "unsafe":
                text = f"{host.name} was sent what {before[0].host} had whole"
                self.breach("second_effect", now, text, proxy, reached.op)
            elif reached.begun > before[0].at + c.window * 1000.0 + LATE:
                self.breach("second_effect", now, "a repeat after the window", proxy, reached.op)
            elif host.group(c.group) != self.names[before[0].host].group(c.group):
                self.breach("second_effect", now, "a repeat outside the group", proxy, reached.op)
        spec = host.server.spec
        if host.server.cold_until > now and spec.tip_multiple:
            p = host.pressed = host.pressed or Pressed()
            informed = told.when(host.listed_at) <= now
            p.arrivals.append((now, work, informed))
            p.total += work
            p.informed += work * informed
            while p.arrivals[0][0] <= now - spec.tip_after:
                _, old, knew = p.arrivals.popleft()
                p.total -= old
                p.informed -= old * knew
            budget = model.tip_budget(spec, host.server.warm(now))
            if p.total > budget and p.informed >= p.total * 2.0 / 3.0 and not p.broken:
                p.broken = True
                text = f"cold {host.name} was sent {p.total / 1000.0:.0f} ms of work in a window that bears "
                self.breach("cold", now, text + f"{budget / 1000.0:.0f}", proxy, reached.op)

    def probed(self, conn: Conn, target: bytes) -> None:
        server, rules = conn.host.server, self.scenario.rules
        if not rules.probing:
            conn.write(http.answer(404))
            return
        if server.hung:
            return
        server.charge(self.now(), rules.probe_work_ms * 1000.0)
        self.mind(conn.host)
        if server.draining or server.quick_errors:
            conn.write(http.answer(503))
            return
        held, waits = server.held(), len(server.waiting or ())
        report = f"busy_reqs={held},pending={waits},cpu_share={min(1.0, held / server.spec.cores):.3f}"
        conn.write(http.answer(200, report.encode() if target == b"/stats" else b"live"))

    def given_up(self, conn: Conn) -> None:
        """A proxy has closed the connection under an attempt."""
        reached, conn.reached = conn.reached, None
        if reached is not None and reached.job is not None:
            reached.conn = None
            conn.host.server.cancel(self.now(), reached.job)
            self.mind(conn.host)


def ids(name: bytes | None) -> tuple[int, int]:
    """The operation and the try that a request's id names; (-1, -1) where it is none of ours."""
    op, dot, number = (name or b"").partition(b".")
    if dot and op.isdigit() and number.isdigit() and len(op) < 10 and len(number) < 4:
        return int(op), int(number)
    return -1, -1
