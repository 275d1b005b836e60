"""Builds the components of a proxy, runs them, and shuts them down gracefully."""

import gc
import logging
import random
import signal
import socket
import time
from collections.abc import Callable
from functools import partial
from types import FrameType
from typing import TYPE_CHECKING

from barleybarrow.brain import Balancer
from barleybarrow.graceful_shutdown import GracefulShutdown, Phase
from barleybarrow.lifecycle import Lifecycle, Stage
from barleybarrow.rate_limiter import RateLimiter
from brackenusher.config.operators import Operator, doubts, read_subset
from brackenusher.config.platform import ConfigError, PlatformConfig
from brackenusher.core.admission import Admission, Bar
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.pipe import Budget
from brackenusher.core.transaction import RESERVE, Observers, Transactions
from brackenusher.fronts.control import driver as control
from brackenusher.fronts.control.machine import Reply
from brackenusher.fronts.http import Front
from brackenusher.fronts.http1.clients import Clients
from brackenusher.fronts.listener import OVERFLOW, Listener, Room
from brackenusher.handover.new import Taken
from brackenusher.handover.replacement import Replacement
from brackenusher.membership.agent import Agent
from brackenusher.membership.discovery import DiscoveryError, read_listing
from brackenusher.records.capture import Capture
from brackenusher.records.figures import MetricsReporter
from brackenusher.records.insight import BalancerGauges
from brackenusher.records.tally import Tally
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import say
from brackenusher.runtime.loop import READ, Coroutine, Loop, clock
from brackenusher.runtime.outlet import Outlet
from brackenusher.upstream.connections import Upstream
from brackenusher.upstream.pool import Pool

if TYPE_CHECKING:
    from brackenusher.group.node import Node
    from brackenusher.group.replicator import Replicator
    from brackenusher.membership.peers import Peers

log = logging.getLogger(__name__)

SPARE_SOCKETS = 24  # listener, epoll, discovery, standard streams, and some for rejecting clients
PEERS_SOCKETS = 18  # two listeners, eight requests of peers, eight to peers
CLIENT_PART = (
    0.625  # share of the other descriptors: a queued request has a client connection but no upstream one
)
OWN_MB = 25.0  # memory of the process without large bodies
KEPT_PART = 0.2  # of all, for idle clients: clients hold a third at most, and some stay after one request
CHECK = 10.0  # milliseconds between steps of a shutdown or drain
DRAINED_CHECK = 100.0  # the same once drained


def budget_for(memory_mb: float) -> int:
    """The buffer budget in bytes for large request and response bodies, at least 2 MB.

    A third of the memory left beside two processes of about 25 MB each, as a successor runs beside this
    process during a handover.
    """
    return int(max(memory_mb - 2 * OWN_MB, 6.0) / 3 * 1024 * 1024)


class Daemon:
    """One proxy."""

    def __init__(
        self, config: PlatformConfig, load: Callable[[], PlatformConfig], operator: Operator
    ) -> None:
        self.load = load  # reads the configuration again, for a reload
        self.told_at: float | None = None  # when the first stop signal came
        self.shutdown: GracefulShutdown | None = None
        self.lifecycle = Lifecycle()
        settings = config.settings
        deadlines, buffers = Deadlines(), Buffers()
        self.config, self.operator, self.loop = config, operator, Loop(deadlines)
        room = config.sockets - SPARE_SOCKETS - OVERFLOW - (PEERS_SOCKETS if operator.peers else 0)
        room -= control.SOCKETS if config.control else 0
        for_clients = int(room * CLIENT_PART)
        offset = time.time() * 1000.0 - clock()
        self.pool = Pool(
            settings, clock, offset, operator.connections, config.seed, read_subset(operator, config.worded)
        )
        budget = Budget(budget_for(config.memory_mb))
        self.upstream = Upstream(self.loop, self.pool, settings, room - for_clients, buffers, budget)
        began = clock()
        balancer = Balancer(settings, config.seed, began)
        self.transactions = Transactions(balancer, clock, deadlines, self.upstream)
        self.upstream.owner = self.transactions
        most_kept = int(config.sockets * KEPT_PART)
        door = RateLimiter(operator.door) if operator.door else None
        self.admission = Admission(self.transactions, settings, door, operator.token)
        front = Front(settings, with_tokens=operator.token is not None)
        share = Room(for_clients)
        self.clients = Clients(
            self.loop, front, self.admission, self.pool, share, most_kept, buffers, self.lifecycle, budget
        )
        self.fronts: list[tuple[Listener, Address]] = [(self.clients, config.listen)]
        self.http2 = None
        if operator.http2:  # imported only if enabled: h2 and its dependencies take memory
            try:
                from brackenusher.fronts.http2.clients import Http2Clients
            except ImportError as error:
                raise ConfigError(f"http2.enabled: {error}; install brackenusher[http2]") from error
            self.http2 = Http2Clients(
                self.loop, operator.http2, front, self.admission, self.clients.ready, share, buffers
            )
            self.fronts.append((self.http2, operator.http2.listen))
        self.agent = Agent(
            self.loop, config.discovery, self.pool, self.transactions, buffers, random.Random(config.seed)
        )
        self.upstream.watch = self.agent.connect
        self.outlet = Outlet(deadlines, clock)
        self.node: Node | None = None
        self.replicator: Replicator | None = None
        self.peers: Peers | None = None
        if operator.peers or operator.snapshot:
            self.share(buffers)
        self.tally: Tally | None = None
        self.control: control.Control | None = None
        if config.control:
            insight = BalancerGauges(balancer, clock)
            self.tally = Tally(
                settings,
                clock,
                lambda now: insight.count_servers(self.pool.size, now),
                lambda: self.transactions.taken,
                lambda: self.upstream.written,
            )
            deeds = {
                b"/-/ready": (b"GET", self.say_ready),
                b"/-/metrics": (b"GET", self.say_figures),
                b"/-/drain": (b"POST", self.drain),
                b"/-/resume": (b"POST", self.resume),
            }
            self.control = control.Control(self.loop, deeds, buffers)
        self.replacement: Replacement | None = None
        if config.control:
            self.replacement = Replacement(
                self.loop,
                config.name,
                self.fronts,
                share,
                self.pool,
                self.agent,
                self.transactions,
                room - for_clients,
                SPARE_SOCKETS + OVERFLOW + control.SOCKETS,
            )
        self.look_on(began)

    def serve_in_its_place(self) -> None:
        """Once this process is ready, tell its predecessor in a handover."""
        if self.replacement is None:
            return
        if not self.clients.ready() and self.lifecycle.stage is Stage.READY:
            self.later(CHECK, self.serve_in_its_place)
        else:
            self.replacement.serves()

    def share(self, buffers: Buffers) -> None:
        """Set up sharing of knowledge with peers, or with the next start through a snapshot file."""
        try:
            from brackenusher.membership.peers import Peers  # imported only if needed, as it imports msgspec
        except ImportError as error:
            needs = "peers and snapshot need the extra knowledge: pip install 'brackenusher[knowledge]'"
            raise ConfigError(f"{needs} ({error})") from error
        peers, saved = self.operator.peers, self.operator.snapshot
        parts = (self.loop, buffers, self.outlet, self.transactions, self.pool)
        try:
            self.peers = Peers(*parts, self.config.name, peers, saved)
            if self.operator.policy is not None or self.operator.replica is not None:
                self.gather(buffers)
        except (OSError, ValueError) as error:
            raise ConfigError(str(error)) from error

    def gather(self, buffers: Buffers) -> None:
        """Set up the group's policy and replicated state."""
        from brackenusher.group.group_parts import GroupParts
        from brackenusher.group.streams import Streams

        operator, peers = self.operator, self.peers
        assert operator.peers is not None and peers is not None
        house = GroupParts(Streams(self.loop, buffers, operator.peers, self.config.name, peers.where))
        peers.group = house
        parts = (self.loop, self.transactions, self.pool, self.config.name)
        if operator.policy is not None:
            from brackenusher.group.node import Node  # imported only if needed, as it imports sqlite3

            self.node = Node(*parts, operator.policy, house)
            self.admission.gates.append((Bar.POLICY, self.node))
            self.clients.gates.append(self.node.ready)
        if operator.replica is not None:
            from barleybarrow.shares import SharedRateLimiter
            from brackenusher.group.replicator import Replicator

            door = None
            if operator.door is not None and operator.replica.limits and not operator.door.by_address:
                door = self.admission.door = SharedRateLimiter(operator.door)
            settings, wanted = operator.replica, self.config.settings
            self.replicator = Replicator(*parts, settings, house, peers, door, wanted)
            self.admission.past = self.replicator.past
            self.pool.bars.append(self.replicator.bars)
            self.admission.gates.append((Bar.MARK, self.replicator))
            self.clients.gates.append(self.replicator.ready)

    def look_on(self, began: float) -> None:
        """Set up the observers of transactions that the operators enabled."""
        operator, config = self.operator, self.config
        self.capture = None
        if operator.capture:
            try:
                self.capture = Capture(operator.capture, self.outlet, self.transactions.open, config, began)
            except OSError as error:
                raise ConfigError(f"capture.dir: {error}") from error
        self.figures = None
        if operator.figures:
            self.figures = MetricsReporter(
                operator.figures,
                self.outlet,
                self.loop.deadlines,
                clock,
                self.transactions.open,
                config.settings,
            )
            self.figures.sources.append(self.upstream.figures)
            self.figures.sources.append(self.clients.figures)
            self.figures.sources.append(BalancerGauges(self.transactions.balancer, clock).samples)
            if self.peers:
                self.figures.sources.append(self.peers.figures)
            if self.node:
                self.figures.sources.append(self.node.figures)
            if self.replicator:
                self.figures.sources.append(self.replicator.figures)
        past = self.replicator.past if self.replicator else None
        looking = [each for each in (self.capture, self.figures, self.tally, past) if each]
        looked = [each.handled for each in (self.capture, self.peers) if each]
        if self.replicator and past:
            looked.append(self.replicator.hurry)
        self.transactions.observers = Observers(
            handled=tuple(looked),
            answered=tuple(each.answered for each in looking),
            turned_away=tuple(each.turned_away for each in (self.capture, self.figures, self.tally) if each),
        )
        self.outlet.redirect_log()

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        self.catch_signals()
        self.start()
        self.loop.run()
        return self.end()

    def start(self) -> None:
        """Load the known server list, listen, and connect to discovery; the event loop does the rest."""
        taken = self.replacement.take() if self.replacement else None
        self.take_known(taken)
        self.transactions.begin()
        if self.replacement and taken is not None:
            self.replacement.succeed(taken)
        if self.control and self.config.control:
            self.control.listen(self.config.control)
        given = taken.listeners if taken is not None else {}
        for front, address in self.fronts:
            front.listen(address, bool(self.config.control), given.pop(f"{address[0]}:{address[1]}", None))
        for sock in given.values():
            sock.close()
        self.lifecycle.serves()
        if self.peers:
            self.clients.warming = True
            self.peers.start(self.warm)
        if self.node:
            self.node.start()
        if self.replicator:
            self.replicator.start()
        self.serve_in_its_place()
        self.agent.connect()
        gc.collect()
        gc.freeze()  # objects created so far stay; later collections skip them
        for doubt in doubts(self.operator, self.config.settings):
            say(log, logging.WARNING, "operators_file_doubt", "operators' file: %(what)s", what=doubt)
        for _, (host, port) in self.fronts:
            say(
                log,
                logging.INFO,
                "serving",
                "%(name)s serves on %(host)s:%(port)d",
                name=self.config.name,
                host=host,
                port=port,
            )

    def end(self) -> int:
        """Log a summary and release resources."""
        say(
            log,
            logging.INFO,
            "ended",
            "ended: %(taken)d taken, %(unanswered)d stood unanswered, %(refused)d refused at the end, "
            "%(left)d connections left",
            taken=self.transactions.taken,
            unanswered=self.transactions.unanswered,
            refused=self.admission.at_the_end,
            left=self.connections,
        )
        if self.node:
            self.node.close()
        if self.replicator:
            self.replicator.close()
        if self.peers:
            self.peers.close()
        summary = self.pool.planner.summary()
        say(log, logging.INFO, "connections_ended", "connections to members: %(summary)s", summary=summary)
        if self.http2:
            counts = self.http2.counts
            say(
                log,
                logging.INFO,
                "streams_ended",
                "http2: %(streams)d streams, %(refused)d refused, %(reset)d reset, %(stuck)d stuck, "
                "%(late)d late, %(floods)d floods, %(faults)d faults",
                streams=counts.streams,
                refused=counts.refused,
                reset=counts.reset,
                stuck=counts.stuck,
                late=counts.late,
                floods=counts.floods,
                faults=counts.faults,
            )
        if self.capture:
            self.capture.close()
            say(
                log,
                logging.INFO,
                "capture_ended",
                "capture: %(records)d records, %(dropped)d dropped",
                records=self.capture.line_count,
                dropped=self.capture.dropped,
            )
        if self.figures:
            self.figures.close()
            dropped = self.figures.sink.dropped
            say(log, logging.INFO, "figures_ended", "figures: %(dropped)d batches dropped", dropped=dropped)
        evicted = ", ".join(f"{place.value} {count}" for place, count in self.clients.evicted.items())
        if evicted:
            text = "clients' connections evicted: %(evicted)s"
            say(log, logging.INFO, "evicted", text, evicted=evicted)
        if self.replacement:
            self.replacement.close()
        self.outlet.close()
        return 0

    def take_known(self, taken: Taken | None = None) -> None:
        """Load the last known server list, so that discovery is asked only for changes since then."""
        known = self.config.known
        if taken is not None and taken.hosts:
            known = {"seq": taken.state["seq"], "whole": True, "hosts": taken.hosts}
        if not known.get("hosts"):
            return
        try:
            listing = read_listing(known)
        except DiscoveryError as error:
            text = "ignoring the known server list: %(why)s"
            say(log, logging.WARNING, "known_list_unusable", text, why=error)
            return
        if listing.whole and len(listing.hosts) == len(known["hosts"]):
            self.agent.seq = listing.seq
        self.transactions.post(self.pool.take(listing))

    def warm(self) -> None:
        """Knowledge of peers has been loaded, or the wait for it is over."""
        self.clients.warming = False

    @property
    def connections(self) -> int:
        """The number of client connections of all listeners."""
        return sum(len(front.links) for front, _ in self.fronts)

    def catch_signals(self) -> None:
        """Deliver signals to the loop through a socket pair."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        signal.set_wakeup_fd(theirs.fileno())
        self.waker = theirs
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.note)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self.loop.spawn(self.listen_to_signals(ours), ours)

    def note(self, number: int, _frame: FrameType | None) -> None:
        """Record the time of the first stop signal, as the loop handles it only in its next iteration."""
        if number != signal.SIGHUP and self.told_at is None:
            self.told_at = clock()

    def listen_to_signals(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                numbers = sock.recv(64)
            except BlockingIOError:
                continue
            if signal.SIGHUP in numbers:
                self.reload()
            if any(number != signal.SIGHUP for number in numbers):
                self.stop()

    def reload(self) -> None:
        """Reload the configuration file; an invalid one changes nothing."""
        try:
            config = self.load()
        except ConfigError as error:
            say(
                log,
                logging.ERROR,
                "reload_unusable",
                "reload: kept the old configuration: %(why)s",
                why=error,
            )
            return
        for name in ("listen", "sockets", "settings", "control"):
            if getattr(config, name) != getattr(self.config, name):
                say(
                    log,
                    logging.WARNING,
                    "reload_waits",
                    "reload: a change of %(entry)s takes effect at the next start",
                    entry=name,
                )
        host, port = config.discovery
        say(log, logging.INFO, "reloaded", "reload: discovery is at %(host)s:%(port)d", host=host, port=port)
        if config.discovery != self.agent.address:
            self.agent.move(config.discovery)

    def say_ready(self) -> Reply:
        if self.clients.ready() and not (self.replacement and self.replacement.awaited):
            return 200, b"ready\n"
        return 503, self.lifecycle.stage.value.encode() + b"\n"

    def say_figures(self) -> Reply:
        assert self.tally is not None
        return 200, self.tally.to_json()

    def drain(self) -> Reply:
        """Direct clients to other proxies; can be undone by resume."""
        before = self.lifecycle.stage
        if not self.lifecycle.drain(clock()):
            return 409, b"the process ends\n"
        if not before.away:
            say(
                log,
                logging.INFO,
                "draining",
                "draining: %(connections)d connections, %(in_hand)d open requests",
                connections=self.connections,
                in_hand=len(self.transactions.open),
            )
            self.tend_drain(self.lifecycle.drains)
        return 200, b"draining\n"

    def resume(self) -> Reply:
        before = self.lifecycle.stage
        if not self.lifecycle.resume():
            return 409, b"the process ends\n"
        if before.away:
            say(log, logging.INFO, "resumed", "resumed: serving normally")
            for front, _ in self.fronts:
                front.resume()
        return 200, b"ready\n"

    def tend_drain(self, number: int) -> None:
        """Advance a drain at intervals, until it or the process ends."""
        life, now = self.lifecycle, clock()
        if not life.stage.away or number != life.drains:
            return
        before = life.stage
        if life.step(now, self.connections) is Stage.DRAINED and before is not Stage.DRAINED:
            text = "drained after %(span_ms).0f ms: %(connections)d connections"
            span = now - life.drained_from
            say(log, logging.INFO, "drained", text, span_ms=span, connections=self.connections)
        if life.answers_end(now):
            for front, _ in self.fronts:
                front.drain(idle=life.idle_end(now))
        wait = CHECK if life.stage is Stage.DRAINING else DRAINED_CHECK
        self.later(wait, partial(self.tend_drain, number))

    def stop(self) -> None:
        """Begin a graceful shutdown, serving as long as the deployment allows; further calls do nothing."""
        if self.shutdown is not None:
            say(log, logging.INFO, "stopping_already", "stopping already")
            return
        settings = self.config.settings
        handed = self.replacement is not None and self.replacement.handed
        longest, alone = max(c.deadline for c in settings.classes), settings.proxies <= 1 and not handed
        least = (
            self.transactions.balancer.margin + RESERVE
        )  # the balancer refuses requests with less time at once
        plan = GracefulShutdown(self.told_at or clock(), longest, self.config.cores, least, alone)
        self.shutdown = self.admission.shutdown = plan
        self.lifecycle.end()
        say(
            log,
            logging.INFO,
            "stopping",
            "stopping: killed in %(kill_ms).0f ms at the soonest, "
            "all is to be answered in %(answered_ms).0f ms",
            kill_ms=plan.limit - plan.told_at,
            answered_ms=plan.answered_by - plan.told_at,
        )
        for front, _ in self.fronts:
            front.told()
        if self.replacement:
            self.replacement.stop()
        self.later(CHECK, partial(self.attend, plan, clock() + CHECK))

    def attend(self, plan: GracefulShutdown, due: float) -> None:
        """Advance the graceful shutdown."""
        now, before = clock(), plan.phase
        phase = plan.step(now, now - due, self.connections, all(front.shut for front, _ in self.fronts))
        if phase != before:
            say(
                log,
                logging.INFO,
                "stop_phase",
                "%(phase)s %(after_ms).0f ms after the signal: %(taken)d taken, %(in_hand)d open, "
                "%(connections)d connections, stalled %(stall_ms).0f ms at most",
                phase=phase.name.lower().replace("_", " "),
                after_ms=now - plan.told_at,
                taken=self.transactions.taken,
                in_hand=len(self.transactions.open),
                connections=self.connections,
                stall_ms=plan.stall,
            )
        if phase is Phase.ENDED:
            self.loop.running = False
            return
        for front, _ in self.fronts:
            front.pass_idle()
        if phase >= Phase.DRAINING:
            for front, _ in self.fronts:
                front.drain(idle=True)
        if phase is Phase.CLOSING:
            given_up = self.transactions.answer_all()
            if given_up:
                say(
                    log,
                    logging.WARNING,
                    "given_up",
                    "failed %(count)d open transactions at shutdown",
                    count=given_up,
                )
            for front, _ in self.fronts:
                front.hurry()
                front.stop_accepting()
        self.later(CHECK, partial(self.attend, plan, clock() + CHECK))

    def later(self, span: float, action: Callable[[], None]) -> None:
        self.loop.deadlines.add(clock() + span, action)
