"""Clients, proxies and servers of one scenario, put together and played for a while in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from barleybarrow.documents import Engine as EngineDocument
from barleybarrow.documents import Route, Service
from barleybarrow.routing.actions import (
    Action,
    DispatchRequest,
    DispatchSettings,
    Fail,
    Outcome,
    Refuse,
    Send,
    ServerInfo,
)
from barleybarrow.routing.announcements import Announcement
from barleybarrow.routing.dispatcher import Dispatcher
from testbed.engines.clock import Clock, Timer
from testbed.engines.engine import Engine, Job
from testbed.engines.plain import PlainJob, PlainServer
from testbed.engines.results import Results, Try
from testbed.engines.scenario import Fault, RequestKind, Scenario, ServiceFigures
from testbed.engines.workload import Generator, Wanted

GIVE_UP_MS = 2_000.0  # of silence, at least, before a client leaves
CONNECT_TIMEOUT_MS = 300.0  # of the data plane toward a server that does not answer
RESTATE_MS = 2_000.0  # of the announcer
SILENCE_MS = 1_500.0  # after which the data plane gives a silent server up


@dataclass(slots=True)
class Server:
    """One emulated server and how it is reached."""

    id: str
    zone: str
    service: str
    model: Engine | PlainServer
    refusing: bool = False
    dark_until: float = -1.0


@dataclass(slots=True)
class Attempt:
    """One sending of a request to a server."""

    server: Server
    job: Job | PlainJob | None = None
    cancelled: bool = False
    first: bool = True
    tokens_before: int = 0  # that reached the client from earlier attempts


@dataclass(slots=True)
class Exchange:
    """One try of a client at one proxy."""

    id: int
    wanted: Wanted
    proxy: "Proxy"
    record: Try
    attempt: Attempt | None = None
    tokens_out: int = 0
    closed: bool = False
    silence: Timer | None = None


@dataclass(slots=True)
class Proxy:
    """One proxy: the shipped dispatcher, and the wake-ups it asked for."""

    zone: str
    dispatcher: Dispatcher
    wake_at: float = float("inf")
    out: dict[int, Exchange] = field(default_factory=dict)


Policy = Callable[[DispatchSettings, random.Random, "Fleet"], Dispatcher]


class Fleet:
    """One run."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.clock = Clock()
        self.results = Results(scenario)
        self.servers: dict[str, Server] = {}
        self.routes = {kind.name: _route(kind) for kind in scenario.kinds}
        self._rng = random.Random(seed)
        self._generator = Generator(scenario, random.Random(seed + 1))
        self._serial = 0
        self._read_at: dict[str, float] = {}
        self._listed: dict[str, list[str]] = {figures.name: [] for figures in scenario.services}
        for figures in scenario.services:
            for zone, count in figures.servers.items():
                for number in range(count):
                    self._start_server(figures, zone, f"{figures.name}-{zone}-{number}")
        self.proxies = self._make_proxies(policy, seed)
        self._homes = self._place_clients()
        self._tell_lists()

    def play(self) -> Results:
        """Play the whole length and let the last requests end."""
        for at_ms, wanted in self._generator.arrivals():
            self.clock.at(at_ms, partial(self._arrive, wanted))
        for fault in self.scenario.faults:
            self.clock.at(fault.at_ms, partial(self._strike, fault))
        self.clock.at(0.0, self._restate)
        self.clock.run_until(self.scenario.length_ms + 20_000.0)
        engines = [server.model for server in self.servers.values() if isinstance(server.model, Engine)]
        self.results.close(engines, [proxy.dispatcher.counters for proxy in self.proxies])
        return self.results

    def _make_proxies(self, policy: Policy, seed: int) -> list[Proxy]:
        proxies = []
        total = sum(self.scenario.proxies.values())
        services = {figures.name: _service(figures) for figures in self.scenario.services}
        for zone, count in self.scenario.proxies.items():
            for number in range(count):
                rng = random.Random(f"{seed}/{zone}/{number}")
                dispatcher = policy(DispatchSettings(zone, total), rng, self)
                dispatcher.configure(0.0, services, list(self.routes.values()))
                proxies.append(Proxy(zone, dispatcher))
        return proxies

    def _place_clients(self) -> dict[tuple[str, int], Proxy]:
        homes = {}
        for zone, count in self.scenario.clients.items():
            near = [proxy for proxy in self.proxies if proxy.zone == zone] or self.proxies
            for number in range(count):
                homes[zone, number] = self._rng.choice(near)
        return homes

    def _start_server(self, figures: ServiceFigures, zone: str, name: str) -> None:
        if figures.engine is not None:
            model: Engine | PlainServer = Engine(self.clock, figures.engine)
        else:
            assert figures.plain is not None
            model = PlainServer(self.clock, figures.plain)
        self.servers[name] = Server(name, zone, figures.name, model)
        self._listed[figures.name].append(name)

    def _tell_lists(self) -> None:
        slots = {figures.name: figures.slots for figures in self.scenario.services}
        for service, names in self._listed.items():
            infos = [ServerInfo(n, n, self.servers[n].zone, slots[service]) for n in names]
            for proxy in self.proxies:
                proxy.dispatcher.update_servers(self.clock.now, service, infos)

    def _strike(self, fault: Fault) -> None:
        if fault.what not in ("crash", "dark", "slow"):
            return  # bursts and hot keys are part of the traffic
        names = self._listed[fault.service]
        for name in self._rng.sample(names, max(1, round(fault.share * len(names)))):
            server = self.servers[name]
            if fault.what == "dark":
                server.dark_until = self.clock.now + fault.for_ms
            elif fault.what == "slow" and isinstance(server.model, Engine):
                self._slow_down(server.model, fault)
            else:
                self._crash(server, fault)

    def _slow_down(self, engine: Engine, fault: Fault) -> None:
        usual = engine.figures
        engine.figures = usual.slowed(fault.times)

        def recover() -> None:
            engine.figures = usual

        self.clock.after(fault.for_ms, recover)

    def _crash(self, server: Server, fault: Fault) -> None:
        server.refusing = True
        server.model.crash()
        for proxy in self.proxies:
            for exchange in list(proxy.out.values()):
                if exchange.attempt is not None and exchange.attempt.server is server:
                    self.clock.after(1.0, partial(self._broken, exchange, exchange.attempt))
        self.clock.after(self.scenario.detect_ms, lambda: self._delist(server))
        self.clock.after(fault.for_ms, lambda: self._replace(server))

    def _delist(self, server: Server) -> None:
        self._listed[server.service].remove(server.id)
        self._tell_lists()

    def _replace(self, server: Server) -> None:
        figures = next(f for f in self.scenario.services if f.name == server.service)
        self._start_server(figures, server.zone, f"{server.id}+")
        self._tell_lists()

    def _arrive(self, wanted: Wanted) -> None:
        self.results.owe(wanted)
        self._try(wanted, self._homes[wanted.client], 0)

    def _try(self, wanted: Wanted, proxy: Proxy, number: int) -> None:
        self._serial += 1
        record = Try(wanted, number, self.clock.now)
        exchange = Exchange(self._serial, wanted, proxy, record)
        kind = wanted.kind
        patience = max(GIVE_UP_MS, 4 * kind.aim_ms, 8 * kind.gap_aim_ms)
        left = wanted.at_ms + kind.deadline_ms - self.clock.now
        exchange.silence = self.clock.after(min(patience, left), lambda: self._leave(exchange))
        self.clock.after(self.scenario.client_ms + self.scenario.proxy_ms, lambda: self._dispatch(exchange))

    def _dispatch(self, exchange: Exchange) -> None:
        if exchange.closed:
            return
        wanted, now = exchange.wanted, self.clock.now
        request = DispatchRequest(
            exchange.id,
            self.routes[wanted.kind.name],
            wanted.kind.service,
            wanted.tenant,
            wanted.kind.priority,
            now,
            wanted.at_ms + wanted.kind.deadline_ms,
            sum(tokens for _, tokens in wanted.parts),
            wanted.output_tokens,
            wanted.parts,
            "m",
        )
        exchange.proxy.out[exchange.id] = exchange
        self._act(exchange.proxy, exchange.proxy.dispatcher.request_arrived(now, request))

    def _act(self, proxy: Proxy, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(proxy.out[action.request_id], self.servers[action.server_id], action.priority)
            elif isinstance(action, Refuse):
                self._refuse(proxy.out[action.request_id], action)
            elif isinstance(action, Fail):
                self._close(proxy.out[action.request_id])
        self._spread_news(proxy)
        wake_at = proxy.dispatcher.next_wakeup()
        if wake_at < proxy.wake_at:
            proxy.wake_at = wake_at
            self.clock.at(wake_at, lambda: self._wake(proxy))

    def _spread_news(self, proxy: Proxy) -> None:
        self._tell_others(proxy, proxy.dispatcher.take_announcements())

    def _tell_others(self, proxy: Proxy, news: list[Announcement]) -> None:
        if not news or self.scenario.news_ms is None:
            return
        name = str(self.proxies.index(proxy))

        def arrive(far: bool) -> None:
            for other in self.proxies:
                if other is not proxy and (other.zone != proxy.zone) == far:
                    other.dispatcher.receive_announcements(self.clock.now, name, news)

        self.clock.after(self.scenario.news_ms, lambda: arrive(False))
        self.clock.after(self.scenario.news_ms + self.scenario.news_far_ms, lambda: arrive(True))

    def _restate(self) -> None:
        """All proxies tell again what still holds; those that told nothing say that they are there."""
        if self.scenario.news_ms is None or self.clock.now > self.scenario.length_ms:
            return
        for proxy in self.proxies:
            standing = proxy.dispatcher.restated_announcements()
            for other in self.proxies:
                if other is not proxy:
                    other.dispatcher.receive_announcements(
                        self.clock.now, str(self.proxies.index(proxy)), standing
                    )
        self.clock.after(RESTATE_MS, self._restate)

    def _wake(self, proxy: Proxy) -> None:
        proxy.wake_at = float("inf")
        self._act(proxy, proxy.dispatcher.tick(self.clock.now))

    def _hop_ms(self, proxy: Proxy, server: Server) -> float:
        net = self.scenario
        return net.in_zone_ms if proxy.zone == server.zone else net.cross_zone_ms

    def _send(self, exchange: Exchange, server: Server, priority: int | None) -> None:
        if exchange.attempt is not None:
            self._drop(exchange.attempt)
        attempt = exchange.attempt = Attempt(server, tokens_before=exchange.tokens_out)
        self.results.sent(exchange.wanted.kind, exchange.proxy.zone != server.zone)
        hop = self._hop_ms(exchange.proxy, server)
        if server.refusing or self.clock.now < server.dark_until:
            wait = 2 * hop if server.refusing else CONNECT_TIMEOUT_MS
            self.clock.after(wait, lambda: self._unreached(exchange, attempt))
            return
        self.clock.after(hop, lambda: self._reach(exchange, attempt, priority, hop))

    def _reach(self, exchange: Exchange, attempt: Attempt, priority: int | None, hop: float) -> None:
        if attempt.cancelled:
            return
        wanted, model = exchange.wanted, attempt.server.model
        back = hop + self.scenario.proxy_ms
        if isinstance(model, PlainServer):
            done = PlainJob(wanted.work_ms, lambda: self._back(exchange, attempt, back, 1, True))
            attempt.job = done
            taken = model.submit(done)
        else:
            left = wanted.output_tokens - exchange.tokens_out

            def on_event(tokens: int, last: bool) -> None:
                self._back(exchange, attempt, back, tokens, last)

            job = Job(wanted.parts, left, 5 if priority is None else priority, on_event)
            job.on_admitted = lambda kept: self._note_read(wanted, kept)
            attempt.job = job
            taken = model.submit(job) is None
        if not taken:
            self.clock.after(back, lambda: self._rejected(exchange, attempt))

    def _note_read(self, wanted: Wanted, kept: int) -> None:
        """Count shared parts that are read again soon after their last use anywhere."""
        now, again = self.clock.now, self.scenario.again_ms
        for part_id, tokens in wanted.parts[:-1]:
            if kept <= 0 and now - self._read_at.get(part_id, -1e9) < again:
                self.results.read_again_tokens += tokens
            kept -= tokens
            self._read_at[part_id] = now

    def _back(self, exchange: Exchange, attempt: Attempt, back: float, tokens: int, last: bool) -> None:
        if not attempt.server.model.alive or self.clock.now < attempt.server.dark_until:
            return
        self.clock.after(back, lambda: self._event(exchange, attempt, tokens, last))

    def _event(self, exchange: Exchange, attempt: Attempt, tokens: int, last: bool) -> None:
        if attempt.cancelled or exchange.closed:
            return
        now, proxy, server = self.clock.now, exchange.proxy, attempt.server
        new_tokens = attempt.tokens_before + tokens - exchange.tokens_out
        exchange.tokens_out += new_tokens
        if attempt.first:
            attempt.first = False
            self._act(proxy, proxy.dispatcher.first_event(now, exchange.id, server.id))
        else:
            self._act(proxy, proxy.dispatcher.event(now, exchange.id, server.id, new_tokens))
        exchange.record.event(now + self.scenario.client_ms)
        self._reset_silence(exchange)
        if last:
            proxy.out.pop(exchange.id, None)
            self._act(proxy, proxy.dispatcher.finished(now, exchange.id, server.id, Outcome.SERVED))
            exchange.closed = True
            if exchange.silence is not None:
                exchange.silence.cancel()
            self.results.served(exchange.record, now + self.scenario.client_ms)

    def _reset_silence(self, exchange: Exchange) -> None:
        if exchange.silence is not None:
            exchange.silence.cancel()
        kind = exchange.wanted.kind
        patience = max(GIVE_UP_MS, 4 * kind.aim_ms, 8 * kind.gap_aim_ms)
        left = exchange.wanted.at_ms + kind.deadline_ms - self.clock.now
        exchange.silence = self.clock.after(min(patience, left), lambda: self._leave(exchange))

    def _unreached(self, exchange: Exchange, attempt: Attempt) -> None:
        if attempt.cancelled or exchange.closed:
            return
        attempt.cancelled = True
        proxy = exchange.proxy
        self._act(proxy, proxy.dispatcher.connection_failed(self.clock.now, exchange.id, attempt.server.id))

    def _rejected(self, exchange: Exchange, attempt: Attempt) -> None:
        if attempt.cancelled or exchange.closed:
            return
        attempt.cancelled = True
        proxy = exchange.proxy
        self._act(proxy, proxy.dispatcher.rejected(self.clock.now, exchange.id, attempt.server.id, 503, None))

    def _broken(self, exchange: Exchange, attempt: Attempt) -> None:
        if attempt.cancelled or exchange.closed or exchange.attempt is not attempt:
            return
        attempt.cancelled = True
        proxy = exchange.proxy
        outcome = Outcome.BROKEN if attempt.first else Outcome.BROKEN_STREAM
        self._act(proxy, proxy.dispatcher.finished(self.clock.now, exchange.id, attempt.server.id, outcome))

    def _drop(self, attempt: Attempt) -> None:
        attempt.cancelled = True
        if isinstance(attempt.job, Job) and isinstance(attempt.server.model, Engine):
            attempt.server.model.cancel(attempt.job)
        elif isinstance(attempt.job, PlainJob):
            attempt.job.ended = True

    def _leave(self, exchange: Exchange) -> None:
        """The client's patience or deadline has ended."""
        if exchange.closed:
            return
        proxy = exchange.proxy
        self._close(exchange)
        if exchange.attempt is not None:
            self._drop(exchange.attempt)
        self._act(proxy, proxy.dispatcher.request_cancelled(self.clock.now, exchange.id))

    def _close(self, exchange: Exchange) -> None:
        exchange.closed = True
        exchange.proxy.out.pop(exchange.id, None)
        if exchange.silence is not None:
            exchange.silence.cancel()

    def _refuse(self, exchange: Exchange, action: Refuse) -> None:
        self._close(exchange)
        self.results.refused(exchange.record, action.reason)
        wanted, record = exchange.wanted, exchange.record
        if record.number >= wanted.kind.retries:
            return
        left = wanted.at_ms + wanted.kind.deadline_ms - self.clock.now
        wait = min(action.retry_after_ms, left / 3) + 2 * self.scenario.client_ms
        near = [proxy for proxy in self.proxies if proxy.zone == wanted.client[0]]
        other = self._rng.choice(near or self.proxies)
        self.clock.after(wait, lambda: self._try(wanted, other, record.number + 1))


def _route(kind: RequestKind) -> Route:
    return Route(
        kind.name,
        "host",
        f"/{kind.name}/",
        "streaming" if kind.chain else "unsafe",
        kind.deadline_ms,
        kind.aim_ms,
        kind.priority,
        kind.service,
        [],
        kind.attempts,
        False,
        bool(kind.chain),
        kind.resumable,
        kind.gap_aim_ms,
    )


def _service(figures: ServiceFigures) -> Service:
    engine = None
    if figures.engine is not None:
        engine = EngineDocument(figures.slots, figures.engine.kv_tokens, stride=figures.engine.stride)
    return Service(figures.name, max_connections=figures.slots * 6, engine=engine)
