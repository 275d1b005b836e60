"""The model's servers and discovery's agents behind real listeners on loopback, with the faults of sockets.

Each proxy has listeners of its own for each server, as `dial` may differ from one proxy to the next: so it
is known who asks, and one proxy can be cut off from some servers. What a request takes is drawn from the
scenario's seed, as in virtual time. The oracle's part at this end is here too: drains, cold servers, and
what really ran.

Times are in microseconds from the run's start unless a name says otherwise.
"""

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, cast

from barleybarrow.interface import Outcome
from brackenusher.upstream.listing import Host as Listed
from testbed import faults
from testbed import scenario as config
from testbed.model import server as model
from testbed.model.arrivals import Arrivals, attempt_noise, spread
from testbed.model.discovery import Agent, Registry
from testbed.model.network import normals, stream, uniforms
from testbed.oracle import Pressed
from testbed.results import Breach
from testbed.sockets import http
from testbed.sockets.agents import AgentServer
from testbed.sockets.lag import Lag
from testbed.world_processes import spec_of
from testbed.world_state import NEVER

SECOND = 1_000_000
SLACK = 50_000  # by which the rules on sockets are longer than the simulator's
LATE = 100_000  # by which two processes on a shared machine may see one thing at different times
BACKLOG = 256
ENDLESS_S = 0.02  # between two lines of a head that does not end
MOST_BREACHES = 100
MOST_LOGGED = 2_000_000  # attempts kept for the comparison of both ends
HARD = struct.pack("ii", 1, 0)  # SO_LINGER: close with a reset
PROVEN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
SPOILT = (  # what can be wrong with an answer; %d and %s are its length and body
    b"banana\r\n\r\n",
    b"\x00\x01\x02\x03\x04\x05\x06\x07\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: -5\r\n\r\n%s",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n%s",
    b"HTTP/1.1 200 OK\r\ncontent-length: %d0\r\n\r\n%s",
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n%s",
)


class Place:
    """Where a server runs, and what goes wrong on the way there."""

    def __init__(self, index: int, zone: int, kind: int, cell: int) -> None:
        self.index, self.zone, self.kind, self.cell = index, zone, kind, cell
        self.host: Host
        self.doors: list[Door] = []  # by proxy
        self.late: list[float] = []
        self.lost: list[float] = []
        self.resets: list[float] = []
        self.of_sockets: dict[str, list[float]] = {}


class Host:
    """A server under one id, over all lives of its process."""

    def __init__(self, name: str, place: Place, server: model.Server) -> None:
        self.name, self.place, self.server = name, place, server
        self.life, self.health = 0, "ready"
        self.conns: set[Conn] = set()
        self.listed_at = self.told_born_at = 0
        self.slows: list[float] = []
        self.errors: list[float] = []
        self.hangs = self.leaves = 0
        self.wake: asyncio.TimerHandle | None = None
        self.born_unix_ms = 0.0
        self.pressed: Pressed | None = None

    def group(self, how: str) -> int:
        return -1 if how == "all" else self.place.zone if how == "zone" else self.place.cell


class Reached:
    """One attempt that has come whole to a server."""

    __slots__ = ("conn", "begun", "at", "proxy", "host", "op", "number", "job", "declined", "over_at")

    def __init__(
        self, conn: "Conn", begun: int, at: int, proxy: int, host: str, op: int, number: int
    ) -> None:
        self.conn: Conn | None = conn
        self.begun, self.at, self.proxy, self.host = begun, at, proxy, host
        self.op, self.number = op, number
        self.job: model.Job | None = None
        self.declined, self.over_at = False, -1


class Door:
    """One proxy's listener for one place. Its port stays; it is closed while no process runs there."""

    def __init__(self, fleet: "Fleet", place: Place, proxy: int) -> None:
        self.fleet, self.place, self.proxy = fleet, place, proxy
        self.sock: socket.socket | None = None
        self.port, self.cut, self.full = 0, 0, 0
        self.reading = False
        self.filler: list[socket.socket] = []
        self.open()

    def open(self) -> None:
        """Begin to listen, at the port of before."""
        if self.sock is not None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", self.port))
        sock.listen(BACKLOG)
        self.sock, self.port = sock, sock.getsockname()[1]
        self.regulate()

    def close(self) -> None:
        while self.filler:
            self.filler.pop().close()
        if self.sock is not None:
            self.read(False)
            self.sock.close()
            self.sock = None

    def regulate(self) -> None:
        """Accept, or leave who knocks without a word while it is cut off or its queue is to be full."""
        if self.sock is None:
            return
        shut = bool(self.cut or self.full)
        self.sock.listen(0 if shut else BACKLOG)
        self.read(not shut)
        while self.filler and not shut:
            self.filler.pop().close()
        if shut and not self.filler:  # fill the queue, so that a connect gets no answer
            for _ in range(3):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
                filler.connect_ex(("127.0.0.1", self.port))
                self.filler.append(filler)

    def read(self, wanted: bool) -> None:
        if self.sock is not None and wanted != self.reading:
            self.reading = wanted
            if wanted:
                self.fleet.loop.add_reader(self.sock.fileno(), self.accept)
            else:
                self.fleet.loop.remove_reader(self.sock.fileno())

    def accept(self) -> None:
        for _ in range(64):
            if self.sock is None:
                return
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server = self.place.host.server
            if not server.connect():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, HARD)
                sock.close()
                continue
            conn = Conn(self, self.place.host)
            self.fleet.spawn(self.fleet.loop.connect_accepted_socket(lambda conn=conn: conn, sock))  # type: ignore[misc]


class Conn(asyncio.Protocol):
    """A proxy's connection to a server."""

    transport: asyncio.Transport

    def __init__(self, door: Door, host: Host) -> None:
        self.door, self.fleet, self.host, self.life = door, door.fleet, host, host.life
        self.proxy = door.proxy
        self.reader = http.Reader()
        self.fresh, self.begun, self.open = True, -1, False
        self.reached: Reached | None = None
        self.idle_from = 0.0
        self.endless: asyncio.TimerHandle | None = None
        host.conns.add(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.open = cast(asyncio.Transport, transport), True  # uvloop's is of no such class
        self.idle_from = self.fleet.loop.time()
        if self not in self.host.conns:  # its process went meanwhile
            self.reset()
        elif self.door.cut:
            self.transport.pause_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self.open = False
        if self.endless is not None:
            self.endless.cancel()
        if self in self.host.conns:
            self.host.conns.discard(self)
            if self.life == self.host.life:
                self.host.server.disconnect()
                self.fleet.given_up(self)

    def data_received(self, data: bytes) -> None:
        fleet = self.fleet
        if self.begun < 0:
            self.begun = fleet.now()
            if fleet.draws(self.host.place.of_sockets.get("closes_on_write")):
                self.reset()
                return
        try:
            messages = self.reader.feed(data)
        except http.UnreadableMessageError:
            self.reset()
            return
        for first, head, _ in messages:
            begun, self.begun = self.begun, -1
            if self.reached is not None:  # one request at a time goes on a connection
                self.reset()
                return
            fleet.request(self, begun, first, head)

    def write(self, data: bytes) -> None:
        if self.open:
            self.transport.write(data)

    def reset(self) -> None:
        if self.open:
            with contextlib.suppress(OSError):
                self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, HARD)
            self.transport.abort()


class Fleet(faults.OnHosts):
    """All servers and agents, and the faults; a `faults.Stage`."""

    def __init__(self, scenario: config.Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.loop = asyncio.get_running_loop()
        self.origin: float | None = None  # of the run, on the monotonic clock; unknown until it begins
        self.unix_ms = 0.0
        self.tasks: set[asyncio.Future[Any]] = set()
        self.occurrences = faults.plan(scenario, seed)
        self.asked = list(Arrivals(scenario, seed, faults.swells(scenario, self.occurrences)))
        self.chance: Callable[[], float] = uniforms(stream(seed, "servers")).__next__
        self.notice: Callable[[], float] = uniforms(stream(seed, "discovery")).__next__
        self.noise: Callable[[], float] = normals(stream(seed, "noise")).__next__
        self.fleet_rng = stream(seed, "fleet")
        self.ledger = model.Ledger()
        self.tries_of: dict[int, int] = {}  # attempts of an operation so far
        self.attempts: dict[tuple[int, int], list[Reached]] = {}
        self.logged = 0
        self.windows = [int(c.window * 1000.0) if c.effect == "keyed" else 0 for c in scenario.classes]
        self.registry = Registry()
        self.away: dict[str, list[tuple[int, str]]] = {}
        self.silent = self.wholes = 0
        self.stale: list[float] = []
        self.breaches: list[Breach] = []
        self.dropped = 0
        self.events: list[tuple[int, str]] = []  # what befell the fleet, for those who look on
        self.attempts_of_second: dict[int, int] = {}
        self.strange = 0  # requests that no client sent so
        self.ran_twice = 0
        self.all_hosts: list[Host] = []
        self.names: dict[str, Host] = {}
        self.places = [
            Place(i, i % len(scenario.zones), kind, i // scenario.cell_size)
            for i, kind in enumerate(scenario.kind_of())
        ]
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

    # Time

    def now(self) -> int:
        """Microseconds since the run's start; 0 before it."""
        return max(0, int((time.monotonic() - self.origin) * 1e6)) if self.origin is not None else 0

    def after(self, span: int, call: Callable[..., None], *arguments: Any) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, span) / 1e6, call, *arguments)

    def at(self, when: int, call: Callable[..., None], *arguments: Any) -> None:
        assert self.origin is not None
        self.after(when - int((time.monotonic() - self.origin) * 1e6), call, *arguments)

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.forget)

    def forget(self, task: "asyncio.Future[Any]") -> None:
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()  # a connection that broke as it was taken is nobody's fault

    def draws(self, sizes: list[float] | None) -> bool:
        return bool(sizes) and self.chance() < max(sizes or ())

    def breach(self, promise: str, at: int, text: str, proxy: int = -1, request: int = -1) -> None:
        if len(self.breaches) >= MOST_BREACHES:
            self.dropped += 1
            return
        self.breaches.append(Breach(promise=promise, at=at / 1000.0, text=text, proxy=proxy, request=request))

    # Requests

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
        job = model.Job(reached, work, asked.key, operation, window, group, now, NEVER)
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

    def mind(self, host: Host) -> None:
        """See to it that a server is looked at when it next has something to say."""
        if host.wake is not None:
            host.wake.cancel()
            host.wake = None
        if host.server.due is not None:
            host.wake = self.after(host.server.due - self.now(), self.due, host)

    def due(self, host: Host) -> None:
        host.wake = None
        for job in host.server.advance(self.now()):
            self.over(host, job)
        self.mind(host)

    def over(self, host: Host, job: model.Job) -> None:
        """A server is done with a request: its answer sets out."""
        reached: Reached = job.ticket
        reached.over_at, reached.declined = self.now(), job.outcome == model.DECLINED
        operation = job.operation
        if operation is not None and operation.effects > 1 and job.counted:
            self.ran_twice += 1
            text = f"the operation has run {operation.effects} times"
            self.breach("second_effect", reached.over_at, text, reached.proxy, reached.op)
        conn, place = reached.conn, host.place
        if conn is None or not conn.open:
            return
        if self.draws(place.resets):
            conn.reset()
            return
        if self.draws(place.lost):
            return
        if place.late:
            self.after(int(max(place.late) * 1000.0), self.answer, conn, reached, job)
        else:
            self.answer(conn, reached, job)

    def answer(self, conn: Conn, reached: Reached, job: model.Job) -> None:
        if conn.reached is not reached:
            return
        conn.reached, conn.idle_from = None, self.loop.time()
        if job.outcome == model.DECLINED:
            conn.write(http.answer(503, b"", b"Srv-Declined: 1"))
        elif job.outcome == model.ERROR:
            conn.write(http.answer(500))
        else:
            name = b"%d.%d" % (reached.op, reached.number)
            self.serve(conn, b"for %s by %s\n" % (name, conn.host.name.encode()))

    def serve(self, conn: Conn, body: bytes) -> None:
        """A good answer, unless a fault of sockets has it otherwise."""
        wrong = conn.host.place.of_sockets
        if self.draws(wrong.get("endless_head")):
            conn.write(b"HTTP/1.1 200 OK\r\n")
            self.go_on(conn, 0)
        elif self.draws(wrong.get("spoilt")):
            form = SPOILT[int(self.chance() * len(SPOILT))]
            if b"%d" in form:
                conn.write(form % (len(body), body))
            else:
                conn.write(form % body if b"%s" in form else form)
        elif self.draws(wrong.get("surplus")):
            good = http.answer(200, body)
            extra = (good + good, good + b"\x00noise", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 3 + good)
            conn.write(extra[int(self.chance() * len(extra))])
        else:
            conn.write(http.answer(200, body))

    def go_on(self, conn: Conn, count: int) -> None:
        if conn.open:
            conn.write(b"x-%d: without end\r\n" % count)
            conn.endless = self.loop.call_later(ENDLESS_S, self.go_on, conn, count + 1)

    def given_up(self, conn: Conn) -> None:
        """A proxy has closed the connection under an attempt."""
        reached, conn.reached = conn.reached, None
        if reached is not None and reached.job is not None:
            reached.conn = None
            conn.host.server.cancel(self.now(), reached.job)
            self.mind(conn.host)

    # Servers and discovery

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

    def tell_event(self, text: str) -> None:
        if len(self.events) < 10_000:
            self.events.append((self.now(), text))

    # Faults: a `faults.Stage`

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

    # Looking on

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


def ids(name: bytes | None) -> tuple[int, int]:
    """The operation and the try that a request's id names; (-1, -1) where it is none of ours."""
    op, dot, number = (name or b"").partition(b".")
    if dot and op.isdigit() and number.isdigit() and len(op) < 10 and len(number) < 4:
        return int(op), int(number)
    return -1, -1
