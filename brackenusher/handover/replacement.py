"""Coordinates the handover from the predecessor of this process and to its successor.

Applies the decisions of `descriptor_split` and `warm_state`; `old` and `new` hold the socket code.
"""

import logging
import os
from collections.abc import Sequence
from typing import Any

from barleybarrow import warm_state
from barleybarrow.descriptor_split import split_descriptors
from brackenusher.core.transaction import Transactions
from brackenusher.fronts.listener import ConnectionLimit, Listener
from brackenusher.handover.messages import PacketKind, encode, encode_list
from brackenusher.handover.new import PredecessorConnection, Taken, request_state
from brackenusher.handover.old import HandoverServer, socket_path
from brackenusher.membership.agent import Agent
from brackenusher.membership.discovery import word_host
from brackenusher.runtime.driver import Address
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import EventLoop, clock
from brackenusher.runtime.timers import Timer
from brackenusher.upstream.pool import Pool

log = logging.getLogger(__name__)

DESCRIPTOR_SPLIT_INTERVAL_MS = 50.0


class Replacement:
    """Handover state of one process, towards its predecessor and its successor.

    The descriptor limits for client and upstream connections are those of a process that runs alone; the
    reserved descriptors are those that every process needs for other purposes.
    """

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        listeners: Sequence[tuple[Listener, Address]],
        connection_limit: ConnectionLimit,
        pool: Pool,
        agent: Agent,
        transactions: Transactions,
        upstream_limit: int,
        reserved: int,
    ) -> None:
        self.loop, self.listeners, self.connection_limit, self.pool, self.agent = (
            loop,
            listeners,
            connection_limit,
            pool,
            agent,
        )
        self.transactions, self.client_limit, self.upstream_limit, self.reserved = (
            transactions,
            connection_limit.limit,
            upstream_limit,
            reserved,
        )
        # what the predecessor leaves for client and for upstream connections
        self.limits = self.client_limit, self.upstream_limit
        self.stopping = False  # the stop signal has been received
        self.split_timer: Timer | None = None  # timer of the next descriptor split
        self.reported_usage: dict[str, Any] = {}  # usage last reported to the successor
        self.predecessor: PredecessorConnection | None = None  # connection to the predecessor
        self.handover_server: HandoverServer | None = None  # accepts a successor
        self.awaited = False  # the predecessor has not yet been notified that this process serves
        self.path = socket_path(name, os.environ)
        if self.path is None:
            text = "no handover to a new process: no $TMPDIR of a usable length"
            log_event(log, logging.INFO, "handover_off", text)
            return
        self.handover_server = HandoverServer(loop, self.path, self.collect_state)
        self.handover_server.on_successor_serving, self.handover_server.on_successor_gone = (
            self.on_successor_serving,
            self.on_successor_gone,
        )

    # predecessor

    def take(self) -> Taken | None:
        """Request the state of the predecessor; blocks up to the handover timeout."""
        inherited = request_state(self.path)
        self.awaited = inherited is not None
        return inherited

    def succeed(self, inherited: Taken) -> None:
        """Restore the warm state and follow the predecessor; its server list is to be applied before."""
        learned = warm_state.import_entries(self.transactions.balancer, inherited.warm_state, clock())
        self.on_predecessor_usage(inherited.state)
        first_listener = self.listeners[0][0]
        self.predecessor = PredecessorConnection(
            self.loop,
            inherited.connection,
            self.on_predecessor_usage,
            first_listener.adopt_connection,
            self.on_predecessor_ended,
        )
        log_event(
            log,
            logging.INFO,
            "handover",
            "handover: %(hosts)d hosts, %(learned)d of %(all)d entries learned, %(listeners)d listeners",
            hosts=len(inherited.hosts),
            learned=learned,
            all=len(inherited.warm_state),
            listeners=len(inherited.listeners),
        )

    def serves(self) -> None:
        """This process serves: notify the predecessor and take over the handover socket."""
        if self.predecessor is not None:
            self.predecessor.notify_serving()
        self.awaited = False
        if self.handover_server is not None and not self.stopping:
            self.handover_server.listen()

    def on_predecessor_usage(self, usage: dict[str, Any]) -> None:
        """Apply the descriptor limits that the predecessor's usage leaves."""
        clients, upstream, stopping = int(usage["clients"]), int(usage["flows"]), bool(usage["stopping"])
        self.limits = (
            split_descriptors(self.shared_limit(self.client_limit), clients, stopping)[1],
            max(1, split_descriptors(self.shared_limit(self.upstream_limit), upstream, False)[1]),
        )
        self.apply_limits()

    def on_predecessor_ended(self) -> None:
        assert self.predecessor is not None
        self.limits = self.client_limit, self.upstream_limit
        self.apply_limits()
        text = "the old process has ended; %(passed)d clients' connections came"
        log_event(log, logging.INFO, "old_ended", text, passed=self.predecessor.received)
        self.predecessor, self.awaited = None, False

    # successor

    @property
    def handed(self) -> bool:
        """Whether a successor serves."""
        return self.handover_server is not None and self.handover_server.successor_serving

    def collect_state(self) -> tuple[list[str], list[int], list[bytes]]:
        """Initial state for a successor: listening addresses, their descriptors, further packets."""
        addresses = [f"{host}:{port}" for _, (host, port) in self.listeners]
        fds = [listener.task.fd for listener, _ in self.listeners]
        packets = [
            *encode_list(PacketKind.SERVER_LIST, [word_host(host) for host in self.pool.hosts]),
            *encode_list(PacketKind.WARM_STATE, warm_state.export_entries(self.transactions.balancer)),
            encode(PacketKind.STATE_COMPLETE, {"seq": self.agent.seq or 0, **self.descriptor_usage()}),
        ]
        for listener, _ in self.listeners:
            listener.shared = True
        self.split_descriptors()
        return addresses, fds, packets

    def on_successor_serving(self) -> None:
        """A successor serves; the stop signal may have been received before."""
        if self.stopping:
            self.transfer_clients()
        self.split_descriptors()

    def stop(self) -> None:
        """The stop signal has been received."""
        self.stopping = True
        if self.handed:
            self.transfer_clients()
        self.split_descriptors()

    def transfer_clients(self) -> None:
        assert self.handover_server is not None
        for listener, _ in self.listeners:
            listener.hand_over(self.handover_server.transfer)

    def descriptor_usage(self) -> dict[str, Any]:
        return {
            "clients": self.connection_limit.open_count,
            "flows": self.pool.planner.connection_count,
            "stopping": self.stopping,
        }

    def split_descriptors(self) -> None:
        """Apply this process's share while a successor is connected, and report the usage to it."""
        if self.handover_server is None or self.handover_server.successor is None:
            return
        usage = self.descriptor_usage()
        self.apply_limits()
        if usage != self.reported_usage:
            self.reported_usage = usage
            self.handover_server.notify(PacketKind.DESCRIPTOR_USAGE, usage)
        self.loop.timers.remove(self.split_timer)
        self.split_timer = self.loop.timers.add(
            clock() + DESCRIPTOR_SPLIT_INTERVAL_MS, self.split_descriptors
        )

    def apply_limits(self) -> None:
        """Set the limits to what the predecessor leaves, less the share of a connected successor."""
        clients, upstream = self.limits
        if self.handover_server is not None and self.handover_server.successor is not None:
            clients = split_descriptors(
                self.shared_limit(clients), self.connection_limit.open_count, self.stopping
            )[0]
            upstream = split_descriptors(
                self.shared_limit(upstream), self.pool.planner.connection_count, False
            )[0]
        self.connection_limit.limit, self.pool.planner.capacity = clients, max(1, upstream)

    def shared_limit(self, single_limit: int) -> int:
        """Shared limit of two processes for one purpose, given that of a single one.

        Smaller than the single limit, since the second process has reserved descriptors of its own.
        """
        total = self.client_limit + self.upstream_limit
        return max(2, int(single_limit * (1 - self.reserved / total)))

    def on_successor_gone(self) -> None:
        """The successor has gone: serve without it again, also during shutdown."""
        assert self.handover_server is not None
        self.loop.timers.remove(self.split_timer)
        self.apply_limits()
        for listener, _ in self.listeners:
            listener.resume_accepting()
        if not self.stopping:
            self.handover_server.listen()

    def close(self) -> None:
        """Log the transferred connections and remove the handover socket on shutdown."""
        if self.handover_server is not None:
            text = "%(passed)d connections passed on"
            log_event(log, logging.INFO, "passed_on", text, passed=self.handover_server.transferred)
            self.handover_server.close()
