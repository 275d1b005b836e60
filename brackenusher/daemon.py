"""Puts the parts together, runs them, and stops them in good order."""

import gc
import logging
import random
import signal
import socket
import time
from collections.abc import Callable

from barleybarrow.brain import Balancer
from barleybarrow.door import Door
from brackenusher.config.operators import Operator, doubts, read_subset
from brackenusher.config.platform import Config, ConfigError
from brackenusher.core.deadlines import Deadlines
from brackenusher.core.transaction import Observers, Transactions
from brackenusher.fronts.http1.clients import OVERFLOW, Clients
from brackenusher.fronts.http1.virtual_server import Front
from brackenusher.membership.agent import Agent
from brackenusher.membership.discovery import Broken, read_listing
from brackenusher.records.capture import Capture
from brackenusher.records.figures import Figures
from brackenusher.runtime.buffers import Buffers
from brackenusher.runtime.loop import READ, Coroutine, Loop, clock
from brackenusher.runtime.outlet import Outlet
from brackenusher.upstream.connections import Upstream
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

SPARE_SOCKETS = 24  # listener, epoll, discovery, standard streams, and some to refuse with
CLIENT_PART = 0.625  # of the other descriptors: a held request has a client connection and no flow
KEPT_PART = 0.2  # of all, between requests: clients hold a third at most, and some ask once and stay
FAREWELL = 450.0  # milliseconds after SIGTERM in which clients still come
GRACE = 700.0  # what comes in later than this after SIGTERM is not waited for
CHECK = 10.0  # how often it is looked whether all is answered


class Daemon:
    """One proxy."""

    def __init__(self, config: Config, load: Callable[[], Config], operator: Operator) -> None:
        self.load = load  # reads the configuration anew
        settings = config.settings
        deadlines, buffers = Deadlines(), Buffers()
        self.config, self.operator, self.loop = config, operator, Loop(deadlines)
        room = config.sockets - SPARE_SOCKETS - OVERFLOW
        for_clients = int(room * CLIENT_PART)
        offset = time.time() * 1000.0 - clock()
        self.pool = Pool(
            settings, clock, offset, operator.connections, config.seed, read_subset(operator, config.worded)
        )
        self.upstream = Upstream(self.loop, self.pool, settings, room - for_clients, buffers)
        began = clock()
        balancer = Balancer(settings, config.seed, began)
        self.transactions = Transactions(balancer, clock, deadlines, self.upstream)
        self.upstream.owner = self.transactions
        most_kept = int(config.sockets * KEPT_PART)
        door = Door(operator.door) if operator.door else None
        front = Front(settings, door, operator.token, clock)
        self.clients = Clients(
            self.loop, front, self.transactions, self.pool, for_clients, most_kept, buffers
        )
        self.agent = Agent(
            self.loop, config.discovery, self.pool, self.transactions, buffers, random.Random(config.seed)
        )
        self.upstream.watch = self.agent.connect
        self.outlet = Outlet(deadlines, clock)
        self.look_on(began)

    def look_on(self, began: float) -> None:
        """Start what observes the transactions, where the operators want it."""
        operator, config = self.operator, self.config
        self.capture = None
        if operator.capture:
            try:
                self.capture = Capture(operator.capture, self.outlet, self.transactions.open, config, began)
            except OSError as error:
                raise ConfigError(f"capture.dir: {error}") from error
        self.figures = None
        if operator.figures:
            self.figures = Figures(
                operator.figures,
                self.outlet,
                self.loop.deadlines,
                clock,
                self.transactions.open,
                config.settings,
            )
            self.figures.also.append(self.upstream.figures)
        looking = [each for each in (self.capture, self.figures) if each]
        self.transactions.observers = Observers(
            handled=(self.capture.handled,) if self.capture else (),
            answered=tuple(each.answered for each in looking),
            turned_away=tuple(each.turned_away for each in looking),
        )
        self.outlet.take_log()

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT and until all is answered then."""
        self.catch_signals()
        self.transactions.begin()
        if self.config.known.get("hosts"):
            try:
                self.transactions.post(self.pool.take(read_listing(self.config.known)))
            except Broken as error:
                log.warning("the known list is left aside: %s", error)
        self.clients.listen(self.config.listen)
        self.agent.connect()
        gc.collect()
        gc.freeze()  # what is here stays: later collections need not look at it
        for doubt in doubts(self.operator, self.config.settings):
            log.warning("operators' file: %s", doubt)
        log.info("%s serves on %s:%d", self.config.name, *self.config.listen)
        self.loop.run()
        log.info(
            "ended: %d taken, %d stood unanswered", self.transactions.taken, self.transactions.unanswered
        )
        log.info("connections to members: %s", self.pool.planner.summary())
        if self.capture:
            self.capture.close()
            log.info("capture: %d records, %d dropped", self.capture.serial, self.capture.dropped)
        if self.figures:
            self.figures.close()
            log.info("figures: %d batches dropped", self.figures.sink.dropped)
        self.outlet.close()
        return 0

    def catch_signals(self) -> None:
        """Have signals wake the loop through a socket of its own."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        signal.set_wakeup_fd(theirs.fileno())
        self.waker = theirs
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        self.loop.spawn(self.listen_to_signals(ours), ours)

    def listen_to_signals(self, sock: socket.socket) -> Coroutine:
        while True:
            yield READ
            try:
                numbers = sock.recv(64)
            except BlockingIOError:
                continue
            if signal.SIGHUP in numbers:
                self.reload()
            if not self.clients.stopping and any(number != signal.SIGHUP for number in numbers):
                log.info("stopping")
                self.clients.stopping = True
                self.later(FAREWELL, self.close_the_door)

    def reload(self) -> None:
        """Take up what the configuration's file says now; one that cannot be used changes nothing."""
        try:
            config = self.load()
        except ConfigError as error:
            log.error("reload: left as it was: %s", error)
            return
        for name in ("listen", "sockets", "settings"):
            if getattr(config, name) != getattr(self.config, name):
                log.warning("reload: %s counts from the next start on", name)
        log.info("reload: discovery is at %s:%d", *config.discovery)
        if config.discovery != self.agent.address:
            self.agent.move(config.discovery)

    def close_the_door(self) -> None:
        """Take no new connections; end those that stand between requests."""
        self.clients.stop_accepting()
        longest = max(c.deadline for c in self.config.settings.classes)
        self.last_call = clock() + GRACE - FAREWELL + longest
        self.leave_when_done()

    def leave_when_done(self) -> None:
        """End once no client is left; connections that fell idle meanwhile are closed."""
        if not self.clients.links or clock() >= self.last_call:
            self.loop.running = False
            return
        self.clients.close_idle()
        self.later(CHECK, self.leave_when_done)

    def later(self, span: float, action: Callable[[], None]) -> None:
        self.loop.deadlines.add(clock() + span, action)
