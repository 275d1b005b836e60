"""Configuration shard of a control process: runs a `ConfigNode` (Raft) over links and a disk.

Makes no decisions: the node says what to store, what to send and what was committed, in that order. Any
process accepts the operator's orders and forwards them to the leader. An order whose outcome is unknown is
answered with 503.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from itertools import count
from math import inf

import betterproto

from barleybarrow.consensus.config_node import ConfigNode, NodeOptions, Work
from barleybarrow.consensus.configuration_state import (
    MAX_BODY_BYTES,
    OUTCOME_UNKNOWN,
    Document,
    OrderKind,
    OrderOutcome,
    OrderStatus,
)
from barleybarrow.consensus.order_queue import CheckRequest
from barleybarrow.documents import Configuration
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.control_plane.config_checks import Check, ConfigChecker
from brackenusher.control_plane.config_members import (
    CONTROL_ROLE,
    ConfigMembers,
    control_process,
    failure_domain,
    seed_names,
)
from brackenusher.control_plane.config_storage import ConfigStorage
from brackenusher.settings.local import LocalSettings
from brackenusher.storage.files import FileSystem
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

MACHINE = "config"
STORE_NAME = "configuration"
ATTEMPT_TIMEOUT_S = 1.0  # for one request to the leader, which takes two round trips
RETRY_INTERVAL_S = 0.05  # between attempts
MIN_WAIT_S = 0.001  # the timer's resolution: waiting for less would be a busy loop
CONFIRM_RETRY_INTERVAL_S = 0.3  # between read-index requests
TRANSFER_TIMEOUT_S = 0.5  # maximum wait for a successor when a leader shuts down
REPLICATION_TIMEOUT_S = 0.3  # maximum wait before that until enough others have stored its log
REPLACEMENT_TIMEOUT_S = 1.5  # maximum wait for a replacement when a voter shuts down
SHUTDOWN_POLL_INTERVAL_S = 0.01


class ConfigShard:
    """The configuration shard as the rest of a control process uses it."""

    def __init__(
        self,
        settings: LocalSettings,
        links: Links,
        check: Check,
        rng: random.Random,
        make_writer: Callable[[], StorageWriter] = StorageWriter,
        files: FileSystem | None = None,
    ) -> None:
        self.settings, self.links, self.check, self.rng = settings, links, check, rng
        self._make_writer, self._files = make_writer, files
        self.on_committed: list[Callable[[Configuration], None]] = []
        self.on_voters: list[Callable[[list[str], int], None]] = []
        self._loop = asyncio.get_running_loop()
        self._writer: StorageWriter | None = None
        self._checks: ConfigChecker | None = None
        self._storage: ConfigStorage | None = None
        self._members: ConfigMembers | None = None
        self._node: ConfigNode | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = inf  # on the event loop's clock, seconds
        self._processing_ready = False
        # Callers that wait for an order: by ticket on the leader, by request id if it was forwarded.
        self._order_callbacks: dict[int, Callable[[OrderOutcome], None]] = {}
        self._forwarded_orders: dict[int, asyncio.Future[OrderOutcome]] = {}
        self._request_ids = count(rng.getrandbits(40) + 1)
        self._voters: list[str] = []
        self._leader = ""
        self._had_leader = False  # since this process started
        self._stopped = False

    # Start and stop

    async def start(self) -> None:
        """Load the store, then join or bootstrap the shard. Returns once the store is read."""
        settings = self.settings
        store = None
        self._checks = ConfigChecker(self.check, self._make_writer(), self._notify_committed)
        if settings.data_dir:
            self._writer = self._make_writer()
            store = SlotStore(settings.data_dir, STORE_NAME, self._files)
        self._storage = ConfigStorage(store, self._writer, self._on_disk_trouble)
        stored_state = await self._storage.load()
        seeds = seed_names(settings)
        options = NodeOptions(
            name=self.links.own.address,
            zone=failure_domain(settings, settings.zone),
            counts_for_quorum=settings.counts_for_quorum and bool(settings.data_dir),
            seeds=seeds,
            bootstrap=settings.bootstrap,
            tolerated_machines=settings.fault_tolerance.machines,
            tolerated_domains=settings.fault_tolerance.regions or settings.fault_tolerance.zones,
        )
        self._node = ConfigNode(options, self.rng, self._now(), stored_state)
        self._node.applied_handlers.append(self._on_applied)
        self._members = ConfigMembers(self.links, self._node, seeds)
        self.links.on_message(messages.MachineMessage, self._on_machine_message)
        self.links.on_message(messages.Members, self._on_members)
        self.links.on_message(messages.OrderRequest, self._on_order_request)
        self.links.on_message(messages.OrderResult, self._on_order_result)
        self.links.on_change(self._on_link_change)
        for address, hello in self.links.connected().items():
            self._on_link_change(address, hello)
        self._members.start()
        self._on_applied()
        self._tick()

    async def stop(self) -> None:
        """Planned shutdown: transfer the leadership and the vote, then stop taking part."""
        node = self._node
        if node is not None:
            await self._resign(node)
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._members is not None:
            self._members.close()
        if self._storage is not None:
            self._storage.close()
        if self._checks is not None:
            self._checks.close()
        if self._writer is not None:
            self._writer.close()

    async def _resign(self, node: ConfigNode) -> None:
        if node.is_leader:
            await self._wait_until(
                lambda: not node.is_leader or node.is_replicated_elsewhere, REPLICATION_TIMEOUT_S
            )
            if self._transfer_leadership():
                await self._wait_until(lambda: not node.is_leader, TRANSFER_TIMEOUT_S)
        if node.has_replacement:
            node.request_replacement(self._now())
            self._process_ready()
            await self._wait_until(
                lambda: self.links.own.address not in node.voters[0], REPLACEMENT_TIMEOUT_S
            )

    async def _wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait until the condition holds or the time is over."""
        deadline = self._loop.time() + seconds
        while not condition() and self._loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    # Calls of the rest of the process

    async def submit(self, kind: str, base_version: int, body: bytes, timeout_s: float) -> OrderOutcome:
        """Submit an operator's order, here or to the leader; 503 if the outcome is unknown at the timeout."""
        if len(body) > MAX_BODY_BYTES:
            return OrderOutcome(OrderStatus.TOO_LARGE, f"the body is over {MAX_BODY_BYTES} bytes")
        if kind not in tuple(OrderKind):
            return OrderOutcome(OrderStatus.INVALID, f"{kind}: an unknown kind of order")
        deadline = self._loop.time() + timeout_s
        while (remaining_s := deadline - self._loop.time()) > MIN_WAIT_S:
            outcome = await self._attempt(kind, base_version, body, min(remaining_s, ATTEMPT_TIMEOUT_S))
            if outcome.status != OrderStatus.INDETERMINATE:
                return outcome
            await asyncio.sleep(min(RETRY_INTERVAL_S, max(0.0, deadline - self._loop.time())))
        return OUTCOME_UNKNOWN

    def document(self) -> Document | None:
        """The newest document applied here, as the operator sent it."""
        return self._node.state.document if self._node is not None else None

    async def confirmed_document(self, timeout_s: float) -> Document | None:
        """The newest committed document (a linearizable read); None if no majority confirms it in time."""
        return self.document() if await self.confirm(timeout_s) else None

    def configuration(self) -> Configuration | None:
        """The newest committed document, parsed."""
        return self._checks.configuration if self._checks is not None else None

    async def confirm(self, timeout_s: float) -> bool:
        """Wait until all that is committed at the time of the call is applied here; False on a timeout."""
        node = self._node
        if node is None:
            return False
        event, tokens = asyncio.Event(), list[int]()
        deadline = self._loop.time() + timeout_s
        while not event.is_set() and (remaining_s := deadline - self._loop.time()) > MIN_WAIT_S:
            tokens.append(node.confirm_read(self._now(), event.set))
            self._process_ready()
            try:
                await asyncio.wait_for(event.wait(), min(remaining_s, CONFIRM_RETRY_INTERVAL_S))
            except TimeoutError:
                continue
        for token in tokens:
            node.cancel_read(token)
        return event.is_set()

    def voters(self) -> list[str]:
        """The internal addresses of the newest known voters."""
        return list(self._node.voters[0]) if self._node is not None else []

    def leader(self) -> str:
        """The internal address of the leader; empty if none is known."""
        return self._node.leader if self._node is not None else ""

    @property
    def is_leaderless(self) -> bool:
        """Whether there was a leader since this process started, and none is known now.

        What is committed here is then as of the loss of contact, not merely what the disk held at the start.
        """
        return self._had_leader and not self.leader()

    @property
    def is_leader(self) -> bool:
        """Whether this process leads, as far as it knows."""
        return self._node is not None and self._node.is_leader

    def status(self) -> dict[str, object]:
        """State for the operator's status call."""
        node = self._node
        if node is None:
            return {"role": "starting"}
        raft = node.raft
        return {
            "role": raft.role.value,
            "term": raft.term,
            "leader": node.leader,
            "voters": self.voters(),
            "version": node.state.version,
            "committed": raft.commit_index,
            "applied": node.applied_index,
            "log_entries": len(raft.entries),
            "catching_up": raft.quarantined,
            "disk_refuses": self._storage is not None and self._storage.is_refusing_writes,
            "orders_under_way": len(node.orders.pending_orders),
        }

    def history(self) -> list[dict[str, object]]:
        """The accepted orders, oldest first; times are Unix milliseconds of the leader's clock."""
        if self._node is None:
            return []
        accepted = self._node.state.accepted_orders()
        return [{"version": t.version, "digest": t.digest.hex(), "at_ms": t.at} for t in accepted]

    # Orders

    async def _attempt(self, kind: str, base_version: int, body: bytes, timeout_s: float) -> OrderOutcome:
        node, leader = self._node, self.leader()
        if node is not None and node.was_accepted(kind, base_version, body):
            return OrderOutcome(OrderStatus.ACCEPTED)
        if node is None or not leader:
            return OUTCOME_UNKNOWN
        future: asyncio.Future[OrderOutcome] = self._loop.create_future()
        request_id = next(self._request_ids)
        if node.is_leader:
            self._propose(kind, base_version, body, lambda outcome: resolve(future, outcome))
        else:
            self._forwarded_orders[request_id] = future
            if not self.links.send(leader, messages.OrderRequest(request_id, kind, base_version, body)):
                del self._forwarded_orders[request_id]
                return OUTCOME_UNKNOWN
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return OUTCOME_UNKNOWN
        finally:
            self._forwarded_orders.pop(request_id, None)

    def _propose(
        self, kind: str, base_version: int, body: bytes, callback: Callable[[OrderOutcome], None]
    ) -> None:
        assert self._node is not None
        received_at = int(time.time() * 1000)
        ticket = self._node.submit(self._now(), kind, base_version, body, received_at)
        self._order_callbacks[ticket] = callback
        self._process_ready()

    def _on_order_request(self, sender: str, request: betterproto.Message) -> None:
        assert isinstance(request, messages.OrderRequest)

        def reply(outcome: OrderOutcome) -> None:
            self.links.send(sender, messages.OrderResult(request.id, int(outcome.status), outcome.error))

        if self._stopped or not self.is_leader:
            reply(OUTCOME_UNKNOWN)
        else:
            self._propose(request.kind, request.base_version, request.body, reply)

    def _on_order_result(self, sender: str, result: betterproto.Message) -> None:
        assert isinstance(result, messages.OrderResult)
        future = self._forwarded_orders.get(result.id)
        if future is not None:
            resolve(future, OrderOutcome(result.status, result.error))

    def _start_check(self, request: CheckRequest) -> None:
        assert self._checks is not None

        def on_checked(digest: bytes, error: str) -> None:
            if self._node is not None:
                self._node.on_document_checked(self._now(), digest, error)
                self._process_ready()

        self._checks.check_order(request.digest, request.document, on_checked)

    def _on_applied(self) -> None:
        if self._node is not None and self._checks is not None:
            self._checks.on_applied(self._node.state)

    def _notify_committed(self, configuration: Configuration) -> None:
        for handler in self.on_committed:
            call_guarded(lambda handler=handler: handler(configuration))  # type: ignore[misc]

    # Links

    def _on_machine_message(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.MachineMessage)
        if message.machine != MACHINE or self._stopped or self._node is None:
            return
        self._node.receive(self._now(), sender, message.payload)
        self._process_ready()

    def _on_members(self, sender: str, message: betterproto.Message) -> None:
        if self._members is not None and not self._stopped:
            self._members.on_members(message)

    def _on_link_change(self, address: str, hello: messages.Hello | None) -> None:
        node, members = self._node, self._members
        if node is None or members is None or self._stopped:
            return
        if hello is None:
            node.link_down(self._now(), address)
            self._fail_forwarded_orders(address)
        else:
            members.on_link_up(address)
            if hello.role == CONTROL_ROLE:
                node.link_up(self._now(), control_process(self.settings, hello))
        self._process_ready()

    def _fail_forwarded_orders(self, address: str) -> None:
        """Resolve the orders forwarded to a lost leader as unknown."""
        if address == self._leader:
            for future in list(self._forwarded_orders.values()):
                resolve(future, OUTCOME_UNKNOWN)

    # The Raft node

    def _now(self) -> float:
        return self._loop.time() * 1000.0

    def _tick(self) -> None:
        assert self._node is not None
        if self._stopped:
            return
        self._timer_due_at = inf
        try:
            self._node.tick(self._now())
            self._process_ready()
        finally:
            self._schedule()

    def _schedule(self) -> None:
        assert self._node is not None
        due = self._node.next_wakeup(self._now()) / 1000.0
        if due >= self._timer_due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = due
        self._timer = self._loop.call_at(due, self._tick)

    def _process_ready(self) -> None:
        """Store and send what the node has ready, then report outcomes and set the timer."""
        node = self._node
        if node is None or self._storage is None or self._processing_ready or self._stopped:
            return
        self._processing_ready = True
        try:
            while (work := node.take_ready()) is not None:
                self._storage.persist(work, lambda work=work: self._on_stored(work))  # type: ignore[misc]
        finally:
            self._processing_ready = False
        self._notify()
        self._schedule()

    def _on_stored(self, work: Work) -> None:
        assert self._node is not None
        self._send(work.messages)
        self._node.on_stored(self._now())
        self._process_ready()

    def _send(self, outgoing: list[tuple[str, bytes]]) -> None:
        for to, payload in outgoing:
            self.links.send(to, messages.MachineMessage(MACHINE, payload))

    def _transfer_leadership(self) -> bool:
        assert self._node is not None
        outgoing = self._node.transfer_leadership(self._now())
        self._send(outgoing)
        return bool(outgoing)

    def _on_disk_trouble(self) -> None:
        """The disk stalls or refuses writes: transfer the leadership; pending orders end as unknown."""
        node = self._node
        if node is None or not node.is_leader:
            return
        self._transfer_leadership()
        node.orders.abandon()
        self._notify()

    def _notify(self) -> None:
        """Report outcomes, start checks, and report new voters and leaders."""
        node, members = self._node, self._members
        assert node is not None and members is not None
        outcomes, node.orders.outcomes = node.orders.outcomes, []
        for ticket, outcome in outcomes:
            callback = self._order_callbacks.pop(ticket, None)
            if callback is not None:
                callback(outcome)
        checks, node.orders.check_requests = node.orders.check_requests, []
        for request in checks:
            self._start_check(request)
        if node.leader != self._leader:
            self._fail_forwarded_orders(self._leader)
            self._leader = node.leader
            self._had_leader = self._had_leader or bool(node.leader)
            log.info("configuration shard: leader=%s term=%d", node.leader or "none", node.raft.term)
        voters, index = node.voters
        if voters != self._voters:
            self._voters = list(voters)
            log.info("configuration shard: voters=%s index=%d", " ".join(voters), index)
            for handler in self.on_voters:
                call_guarded(lambda handler=handler: handler(list(voters), index))  # type: ignore[misc]
        members.send_changes()


def call_guarded(call: Callable[[], None]) -> None:
    """Call a registered handler; its failure must not stop the shard."""
    try:
        call()
    except Exception:
        log.exception("a handler of the configuration shard failed")


def resolve(future: "asyncio.Future[OrderOutcome]", outcome: OrderOutcome) -> None:
    """Set a caller's outcome if it still waits."""
    if not future.done():
        future.set_result(outcome)
