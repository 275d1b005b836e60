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
from brackenusher.config.operators import OperatorSettings, find_warnings, read_subset
from brackenusher.config.platform import ConfigError, PlatformConfig
from brackenusher.core.admission import Admission, DenialReason
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.pipe import PipeBudget
from brackenusher.core.transaction import RESPONSE_RESERVE_MS, Observers, Transactions
from brackenusher.fronts.control import driver as control
from brackenusher.fronts.control.machine import Response
from brackenusher.fronts.http import RequestClassifier
from brackenusher.fronts.http1.clients import Http1Listener
from brackenusher.fronts.listener import MAX_REFUSED_CONNECTIONS, ConnectionLimit, Listener
from brackenusher.handover.new import Taken
from brackenusher.handover.replacement import Replacement
from brackenusher.membership.agent import Agent
from brackenusher.membership.discovery import DiscoveryError, read_listing
from brackenusher.records.capture import Capture
from brackenusher.records.figures import MetricsReporter
from brackenusher.records.insight import BalancerGauges
from brackenusher.records.tally import RequestCounts
from brackenusher.runtime.buffers import BufferPool
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import READ, Coroutine, EventLoop, clock
from brackenusher.runtime.outlet import LineWriter
from brackenusher.upstream.connections import Upstream
from brackenusher.upstream.pool import Pool

if TYPE_CHECKING:
    from brackenusher.group.node import Node
    from brackenusher.group.replicator import Replicator
    from brackenusher.membership.peers import Peers

log = logging.getLogger(__name__)

RESERVED_SOCKETS = 24  # listener, epoll, discovery, standard streams, and some for rejecting clients
PEER_SOCKETS = 18  # two listeners, eight requests of peers, eight to peers
CLIENT_SOCKET_SHARE = 0.625  # of the others: a queued request has a client connection but no upstream one
PROCESS_MEMORY_MB = 25.0  # without large bodies
# Of all sockets: clients have a third at most, and some stay connected after one request.
IDLE_CLIENT_SHARE = 0.2
STEP_INTERVAL_MS = 10.0  # between steps of a shutdown or drain
DRAINED_STEP_INTERVAL_MS = 100.0  # the same once drained


def buffer_budget_bytes(memory_mb: float) -> int:
    """The buffer budget in bytes for large request and response bodies, at least 2 MB.

    A third of the memory left beside two processes of about 25 MB each, as a successor runs beside this
    process during a handover.
    """
    return int(max(memory_mb - 2 * PROCESS_MEMORY_MB, 6.0) / 3 * 1024 * 1024)


class Daemon:
    """One proxy."""

    def __init__(
        self, config: PlatformConfig, load_config: Callable[[], PlatformConfig], operator: OperatorSettings
    ) -> None:
        self.load_config = load_config  # reads the configuration again, for a reload
        self.stop_requested_at: float | None = None  # time of the first stop signal
        self.shutdown: GracefulShutdown | None = None
        self.lifecycle = Lifecycle()
        settings = config.settings
        deadlines, buffers = Deadlines(), BufferPool()
        self.config, self.operator, self.loop = config, operator, EventLoop(deadlines)
        available_sockets = (
            config.sockets
            - RESERVED_SOCKETS
            - MAX_REFUSED_CONNECTIONS
            - (PEER_SOCKETS if operator.peers else 0)
        )
        available_sockets -= control.MAX_DESCRIPTORS if config.control else 0
        client_sockets = int(available_sockets * CLIENT_SOCKET_SHARE)
        offset = time.time() * 1000.0 - clock()
        self.pool = Pool(
            settings,
            clock,
            offset,
            operator.connections,
            config.seed,
            read_subset(operator, config.raw_settings),
        )
        budget = PipeBudget(buffer_budget_bytes(config.memory_mb))
        self.upstream = Upstream(
            self.loop, self.pool, settings, available_sockets - client_sockets, buffers, budget
        )
        started_at = clock()
        balancer = Balancer(settings, config.seed, started_at)
        self.transactions = Transactions(balancer, clock, deadlines, self.upstream)
        self.upstream.transactions = self.transactions
        max_idle_clients = int(config.sockets * IDLE_CLIENT_SHARE)
        rate_limiter = RateLimiter(operator.door) if operator.door else None
        self.admission = Admission(self.transactions, settings, rate_limiter, operator.token)
        front = RequestClassifier(settings, with_tokens=operator.token is not None)
        client_slots = ConnectionLimit(client_sockets)
        self.http1 = Http1Listener(
            self.loop,
            front,
            self.admission,
            self.pool,
            client_slots,
            max_idle_clients,
            buffers,
            self.lifecycle,
            budget,
        )
        self.listeners: list[tuple[Listener, Address]] = [(self.http1, config.listen)]
        self.http2 = None
        if operator.http2:  # imported only if enabled: h2 and its dependencies take memory
            try:
                from brackenusher.fronts.http2.clients import Http2Listener
            except ImportError as error:
                raise ConfigError(f"http2.enabled: {error}; install brackenusher[http2]") from error
            self.http2 = Http2Listener(
                self.loop, operator.http2, front, self.admission, self.http1.is_ready, client_slots, buffers
            )
            self.listeners.append((self.http2, operator.http2.listen))
        self.discovery_agent = Agent(
            self.loop, config.discovery, self.pool, self.transactions, buffers, random.Random(config.seed)
        )
        self.upstream.watch = self.discovery_agent.connect
        self.outlet = LineWriter(deadlines, clock)
        self.node: Node | None = None
        self.replicator: Replicator | None = None
        self.peers: Peers | None = None
        if operator.peers or operator.snapshot:
            self.set_up_peers(buffers)
        self.request_counts: RequestCounts | None = None
        self.control: control.ControlServer | None = None
        if config.control:
            gauges = BalancerGauges(balancer, clock)
            self.request_counts = RequestCounts(
                settings,
                clock,
                lambda now: gauges.count_servers(self.pool.size, now),
                lambda: self.transactions.accepted_count,
                lambda: self.upstream.written_attempts,
            )
            handlers = {
                b"/-/ready": (b"GET", self.report_readiness),
                b"/-/metrics": (b"GET", self.report_metrics),
                b"/-/drain": (b"POST", self.drain),
                b"/-/resume": (b"POST", self.resume),
            }
            self.control = control.ControlServer(self.loop, handlers, buffers)
        self.replacement: Replacement | None = None
        if config.control:
            self.replacement = Replacement(
                self.loop,
                config.name,
                self.listeners,
                client_slots,
                self.pool,
                self.discovery_agent,
                self.transactions,
                available_sockets - client_sockets,
                RESERVED_SOCKETS + MAX_REFUSED_CONNECTIONS + control.MAX_DESCRIPTORS,
            )
        self.set_up_observers(started_at)

    def notify_predecessor(self) -> None:
        """Once this process is ready, tell its predecessor in a handover."""
        if self.replacement is None:
            return
        if not self.http1.is_ready() and self.lifecycle.stage is Stage.READY:
            self.schedule(STEP_INTERVAL_MS, self.notify_predecessor)
        else:
            self.replacement.serves()

    def set_up_peers(self, buffers: BufferPool) -> None:
        """Set up sharing of knowledge with peers, or with the next start through a snapshot file."""
        try:
            from brackenusher.membership.peers import Peers  # imported only if needed, as it imports msgspec
        except ImportError as error:
            message = "peers and snapshot need the extra knowledge: pip install 'brackenusher[knowledge]'"
            raise ConfigError(f"{message} ({error})") from error
        peers, snapshot = self.operator.peers, self.operator.snapshot
        components = (self.loop, buffers, self.outlet, self.transactions, self.pool)
        try:
            self.peers = Peers(*components, self.config.name, peers, snapshot)
            if self.operator.policy is not None or self.operator.replica is not None:
                self.set_up_group(buffers)
        except (OSError, ValueError) as error:
            raise ConfigError(str(error)) from error

    def set_up_group(self, buffers: BufferPool) -> None:
        """Set up the group's policy and replicated state."""
        from brackenusher.group.group_parts import GroupParts
        from brackenusher.group.streams import Streams

        operator, peers = self.operator, self.peers
        assert operator.peers is not None and peers is not None
        group_parts = GroupParts(Streams(self.loop, buffers, operator.peers, self.config.name, peers.where))
        peers.group = group_parts
        components = (self.loop, self.transactions, self.pool, self.config.name)
        if operator.policy is not None:
            from brackenusher.group.node import Node  # imported only if needed, as it imports sqlite3

            self.node = Node(*components, operator.policy, group_parts)
            self.admission.gates.append((DenialReason.POLICY, self.node))
            self.http1.readiness_checks.append(self.node.ready)
        if operator.replica is not None:
            from barleybarrow.shares import SharedRateLimiter
            from brackenusher.group.replicator import Replicator

            rate_limiter = None
            if operator.door is not None and operator.replica.limits and not operator.door.by_address:
                rate_limiter = self.admission.rate_limiter = SharedRateLimiter(operator.door)
            settings, platform_settings = operator.replica, self.config.settings
            self.replicator = Replicator(
                *components, settings, group_parts, peers, rate_limiter, platform_settings
            )
            self.admission.idempotency = self.replicator.past
            self.pool.exclusions.append(self.replicator.bars)
            self.admission.gates.append((DenialReason.OVERRIDE, self.replicator))
            self.http1.readiness_checks.append(self.replicator.ready)

    def set_up_observers(self, started_at: float) -> None:
        """Set up the observers of transactions that the operators enabled."""
        operator, config = self.operator, self.config
        self.capture = None
        if operator.capture:
            try:
                self.capture = Capture(
                    operator.capture, self.outlet, self.transactions.open, config, started_at
                )
            except OSError as error:
                raise ConfigError(f"capture.dir: {error}") from error
        self.metrics = None
        if operator.figures:
            self.metrics = MetricsReporter(
                operator.figures,
                self.outlet,
                self.loop.timers,
                clock,
                self.transactions.open,
                config.settings,
            )
            self.metrics.sources.append(self.upstream.figures)
            self.metrics.sources.append(self.http1.metrics)
            self.metrics.sources.append(BalancerGauges(self.transactions.balancer, clock).samples)
            if self.peers:
                self.metrics.sources.append(self.peers.figures)
            if self.node:
                self.metrics.sources.append(self.node.figures)
            if self.replicator:
                self.metrics.sources.append(self.replicator.figures)
        idempotency = self.replicator.past if self.replicator else None
        answer_observers = [
            each for each in (self.capture, self.metrics, self.request_counts, idempotency) if each
        ]
        event_observers = [each.on_event for each in (self.capture, self.peers) if each]
        if self.replicator and idempotency:
            event_observers.append(self.replicator.hurry)
        self.transactions.observers = Observers(
            on_event=tuple(event_observers),
            on_answer=tuple(each.on_answer for each in answer_observers),
            on_denial=tuple(
                each.on_denial for each in (self.capture, self.metrics, self.request_counts) if each
            ),
        )
        self.outlet.redirect_log()

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        self.catch_signals()
        self.start()
        self.loop.run()
        return self.finish()

    def start(self) -> None:
        """Load the known server list, listen, and connect to discovery; the event loop does the rest."""
        handover = self.replacement.take() if self.replacement else None
        self.load_known_servers(handover)
        self.transactions.start()
        if self.replacement and handover is not None:
            self.replacement.succeed(handover)
        if self.control and self.config.control:
            self.control.listen(self.config.control)
        inherited = handover.listeners if handover is not None else {}
        for front, address in self.listeners:
            front.listen(
                address, bool(self.config.control), inherited.pop(f"{address[0]}:{address[1]}", None)
            )
        for sock in inherited.values():
            sock.close()
        self.lifecycle.on_serving()
        if self.peers:
            self.http1.awaiting_warm_state = True
            self.peers.start(self.end_warming)
        if self.node:
            self.node.start()
        if self.replicator:
            self.replicator.start()
        self.notify_predecessor()
        self.discovery_agent.connect()
        gc.collect()
        gc.freeze()  # objects created so far stay; later collections skip them
        for warning in find_warnings(self.operator, self.config.settings):
            log_event(log, logging.WARNING, "operators_file_doubt", "operators' file: %(what)s", what=warning)
        for _, (host, port) in self.listeners:
            log_event(
                log,
                logging.INFO,
                "serving",
                "%(name)s serves on %(host)s:%(port)d",
                name=self.config.name,
                host=host,
                port=port,
            )

    def finish(self) -> int:
        """Log a summary and release resources."""
        log_event(
            log,
            logging.INFO,
            "ended",
            "ended: %(taken)d taken, %(unanswered)d stood unanswered, %(refused)d refused at the end, "
            "%(left)d connections left",
            taken=self.transactions.accepted_count,
            unanswered=self.transactions.unanswered_count,
            refused=self.admission.refused_at_shutdown,
            left=self.connection_count,
        )
        if self.node:
            self.node.close()
        if self.replicator:
            self.replicator.close()
        if self.peers:
            self.peers.close()
        summary = self.pool.planner.summary()
        log_event(
            log, logging.INFO, "connections_ended", "connections to members: %(summary)s", summary=summary
        )
        if self.http2:
            counts = self.http2.counters
            log_event(
                log,
                logging.INFO,
                "streams_ended",
                "http2: %(streams)d streams, %(refused)d refused, %(reset)d reset, %(stuck)d stuck, "
                "%(late)d late, %(floods)d floods, %(faults)d faults",
                streams=counts.streams,
                refused=counts.refused,
                reset=counts.reset,
                stuck=counts.stalled,
                late=counts.timed_out,
                floods=counts.floods,
                faults=counts.errors,
            )
        if self.capture:
            self.capture.close()
            log_event(
                log,
                logging.INFO,
                "capture_ended",
                "capture: %(records)d records, %(dropped)d dropped",
                records=self.capture.line_count,
                dropped=self.capture.dropped,
            )
        if self.metrics:
            self.metrics.close()
            dropped = self.metrics.sink.dropped
            log_event(
                log, logging.INFO, "figures_ended", "figures: %(dropped)d batches dropped", dropped=dropped
            )
        evicted = ", ".join(f"{state.value} {count}" for state, count in self.http1.evicted.items())
        if evicted:
            text = "clients' connections evicted: %(evicted)s"
            log_event(log, logging.INFO, "evicted", text, evicted=evicted)
        if self.replacement:
            self.replacement.close()
        self.outlet.close()
        return 0

    def load_known_servers(self, handover: Taken | None = None) -> None:
        """Load the last known server list, so that discovery is asked only for changes since then."""
        known = self.config.known_servers
        if handover is not None and handover.hosts:
            known = {"seq": handover.state["seq"], "whole": True, "hosts": handover.hosts}
        if not known.get("hosts"):
            return
        try:
            listing = read_listing(known)
        except DiscoveryError as error:
            text = "ignoring the known server list: %(why)s"
            log_event(log, logging.WARNING, "known_list_unusable", text, why=error)
            return
        if listing.whole and len(listing.hosts) == len(known["hosts"]):
            self.discovery_agent.seq = listing.seq
        self.transactions.post(self.pool.apply(listing))

    def end_warming(self) -> None:
        """Knowledge of peers has been loaded, or the wait for it is over."""
        self.http1.awaiting_warm_state = False

    @property
    def connection_count(self) -> int:
        """The number of client connections of all listeners."""
        return sum(len(front.connections) for front, _ in self.listeners)

    def catch_signals(self) -> None:
        """Deliver signals to the loop through a socket pair."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.fileno())
        self.signal_writer = writer
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.note_signal)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self.loop.spawn(self.read_signals(reader), reader)

    def note_signal(self, number: int, _frame: FrameType | None) -> None:
        """Record the time of the first stop signal, as the loop handles it only in its next iteration."""
        if number != signal.SIGHUP and self.stop_requested_at is None:
            self.stop_requested_at = clock()

    def read_signals(self, sock: socket.socket) -> Coroutine:
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
            config = self.load_config()
        except ConfigError as error:
            log_event(
                log,
                logging.ERROR,
                "reload_unusable",
                "reload: kept the old configuration: %(why)s",
                why=error,
            )
            return
        for name in ("listen", "sockets", "settings", "control"):
            if getattr(config, name) != getattr(self.config, name):
                log_event(
                    log,
                    logging.WARNING,
                    "reload_waits",
                    "reload: %(entry)s counts from the next start on",
                    entry=name,
                )
        host, port = config.discovery
        log_event(
            log, logging.INFO, "reloaded", "reload: discovery is at %(host)s:%(port)d", host=host, port=port
        )
        if config.discovery != self.discovery_agent.address:
            self.discovery_agent.move(config.discovery)

    def report_readiness(self) -> Response:
        if self.http1.is_ready() and not (self.replacement and self.replacement.awaited):
            return 200, b"ready\n"
        return 503, self.lifecycle.stage.value.encode() + b"\n"

    def report_metrics(self) -> Response:
        assert self.request_counts is not None
        return 200, self.request_counts.to_json()

    def drain(self) -> Response:
        """Direct clients to other proxies; can be undone by resume."""
        before = self.lifecycle.stage
        if not self.lifecycle.drain(clock()):
            return 409, b"the process ends\n"
        if not before.draining_or_drained:
            log_event(
                log,
                logging.INFO,
                "draining",
                "draining: %(connections)d connections, %(in_hand)d open requests",
                connections=self.connection_count,
                in_hand=len(self.transactions.open),
            )
            self.step_drain(self.lifecycle.drain_count)
        return 200, b"draining\n"

    def resume(self) -> Response:
        before = self.lifecycle.stage
        if not self.lifecycle.resume():
            return 409, b"the process ends\n"
        if before.draining_or_drained:
            log_event(log, logging.INFO, "resumed", "resumed: serving normally")
            for front, _ in self.listeners:
                front.resume()
        return 200, b"ready\n"

    def step_drain(self, number: int) -> None:
        """Advance a drain at intervals, until it or the process ends."""
        lifecycle, now = self.lifecycle, clock()
        if not lifecycle.stage.draining_or_drained or number != lifecycle.drain_count:
            return
        before = lifecycle.stage
        if lifecycle.update(now, self.connection_count) is Stage.DRAINED and before is not Stage.DRAINED:
            text = "drained after %(span_ms).0f ms: %(connections)d connections"
            elapsed = now - lifecycle.drain_started_at
            log_event(log, logging.INFO, "drained", text, span_ms=elapsed, connections=self.connection_count)
        if lifecycle.closes_after_answer(now):
            for front, _ in self.listeners:
                front.drain(idle=lifecycle.closes_idle(now))
        wait = STEP_INTERVAL_MS if lifecycle.stage is Stage.DRAINING else DRAINED_STEP_INTERVAL_MS
        self.schedule(wait, partial(self.step_drain, number))

    def stop(self) -> None:
        """Begin a graceful shutdown, serving as long as the deployment allows; further calls do nothing."""
        if self.shutdown is not None:
            log_event(log, logging.INFO, "stopping_already", "stopping already")
            return
        settings = self.config.settings
        handed_over = self.replacement is not None and self.replacement.handed
        longest_deadline, alone = (
            max(c.deadline for c in settings.classes),
            settings.proxies <= 1 and not handed_over,
        )
        # the balancer refuses requests with less time at once
        min_time_ms = self.transactions.balancer.margin + RESPONSE_RESERVE_MS
        plan = GracefulShutdown(
            self.stop_requested_at or clock(), longest_deadline, self.config.cores, min_time_ms, alone
        )
        self.shutdown = self.admission.shutdown = plan
        self.lifecycle.begin_shutdown()
        log_event(
            log,
            logging.INFO,
            "stopping",
            "stopping: killed in %(kill_ms).0f ms at the soonest, "
            "all is to be answered in %(answered_ms).0f ms",
            kill_ms=plan.kill_at - plan.requested_at,
            answered_ms=plan.answered_by - plan.requested_at,
        )
        for front, _ in self.listeners:
            front.announce_shutdown()
        if self.replacement:
            self.replacement.stop()
        self.schedule(STEP_INTERVAL_MS, partial(self.step_shutdown, plan, clock() + STEP_INTERVAL_MS))

    def step_shutdown(self, plan: GracefulShutdown, due: float) -> None:
        """Advance the graceful shutdown."""
        now, before = clock(), plan.phase
        phase = plan.update(
            now, now - due, self.connection_count, all(front.closed for front, _ in self.listeners)
        )
        if phase != before:
            log_event(
                log,
                logging.INFO,
                "stop_phase",
                "%(phase)s %(after_ms).0f ms after the signal: %(taken)d taken, %(in_hand)d in hand, "
                "%(connections)d connections, stalled %(stall_ms).0f ms at most",
                phase=phase.name.lower().replace("_", " "),
                after_ms=now - plan.requested_at,
                taken=self.transactions.accepted_count,
                in_hand=len(self.transactions.open),
                connections=self.connection_count,
                stall_ms=plan.max_stall,
            )
        if phase is Phase.ENDED:
            self.loop.running = False
            return
        for front, _ in self.listeners:
            front.transfer_idle()
        if phase >= Phase.DRAINING:
            for front, _ in self.listeners:
                front.drain(idle=True)
        if phase is Phase.CLOSING:
            given_up = self.transactions.fail_open()
            if given_up:
                log_event(
                    log,
                    logging.WARNING,
                    "given_up",
                    "%(count)d transactions were given up at the end",
                    count=given_up,
                )
            for front, _ in self.listeners:
                front.reject_incomplete()
                front.stop_accepting()
        self.schedule(STEP_INTERVAL_MS, partial(self.step_shutdown, plan, clock() + STEP_INTERVAL_MS))

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        self.loop.timers.add(clock() + delay_ms, action)
