"""The configuration shard of one control process: drives a `ConfigNode` over links and a disk.

Decides nothing: the machine says what to store, what to send and what was committed, in that order. Any
process takes orders of the operator and passes them on to the leader. An order without a clear answer gets
503.
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
from brackenusher.control_plane.config_checks import Check, ConfigChecks
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
ATTEMPT_S = 1.0  # for one try at the leader; it answers within two round trips
PAUSE_S = 0.05  # between two tries
LEAST_WAIT_S = 0.001  # less than a timer's grain is no time left: waiting for it would only spin
CONFIRM_AGAIN_S = 0.3  # between two questions whether all that was committed is here
HAND_OVER_S = 0.5  # a leader that ends waits for its successor at most so long
HOLD_S = 0.3  # and before that, until enough others hold all that it does
REPLACE_S = 1.5  # a voter that ends waits at most so long until another votes in its place
END_STEP_S = 0.01


class ConfigShard:
    """The interface of the configuration shard to the rest of a control process."""

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
        self._checks: ConfigChecks | None = None
        self._storage: ConfigStorage | None = None
        self._members: ConfigMembers | None = None
        self._node: ConfigNode | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due = inf  # of the timer, on the loop's clock
        self._pumping = False
        # Who waits for an order: by its ticket at this leader, by its id where it was passed on.
        self._waiting: dict[int, Callable[[OrderOutcome], None]] = {}
        self._forwarded: dict[int, asyncio.Future[OrderOutcome]] = {}
        self._ids = count(rng.getrandbits(40) + 1)
        self._voters: list[str] = []
        self._leader = ""
        self._had_leader = False  # in this life
        self._stopped = False

    # The start and the end

    async def start(self) -> None:
        """Load the store, and join or found the shard. Returns once the store is read."""
        settings = self.settings
        store = None
        self._checks = ConfigChecks(self.check, self._make_writer(), self._in_force)
        if settings.data_dir:
            self._writer = self._make_writer()
            store = SlotStore(settings.data_dir, STORE_NAME, self._files)
        self._storage = ConfigStorage(store, self._writer, self._disk_in_trouble)
        kept = await self._storage.load()
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
        self._node = ConfigNode(options, self.rng, self._now(), kept)
        self._node.applied_handlers.append(self._applied)
        self._members = ConfigMembers(self.links, self._node, seeds)
        self.links.on_message(messages.MachineMessage, self._on_machine_message)
        self.links.on_message(messages.Members, self._on_members)
        self.links.on_message(messages.OrderRequest, self._on_order_request)
        self.links.on_message(messages.OrderResult, self._on_order_result)
        self.links.on_change(self._on_link)
        for address, hello in self.links.connected().items():
            self._on_link(address, hello)
        self._members.start()
        self._applied()
        self._tick()

    async def stop(self) -> None:
        """The planned end: give the lead and the vote away, then stop taking part."""
        node = self._node
        if node is not None:
            await self._leave(node)
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

    async def _leave(self, node: ConfigNode) -> None:
        if node.is_leader:
            await self._until(lambda: not node.is_leader or node.is_replicated_elsewhere, HOLD_S)
            if self._hand_over():
                await self._until(lambda: not node.is_leader, HAND_OVER_S)
        if node.has_replacement:
            node.request_replacement(self._now())
            self._pump()
            await self._until(lambda: self.links.own.address not in node.voters[0], REPLACE_S)

    async def _until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait for something, for a limited time."""
        ends = self._loop.time() + seconds
        while not condition() and self._loop.time() < ends:
            await asyncio.sleep(END_STEP_S)

    # What the rest of the process asks

    async def submit(self, kind: str, base_version: int, body: bytes, timeout_s: float) -> OrderOutcome:
        """Have an order of the operator taken, here or at the leader; 503 where there is no clear
        answer in time.
        """
        if len(body) > MAX_BODY_BYTES:
            return OrderOutcome(OrderStatus.TOO_LARGE, f"the body is over {MAX_BODY_BYTES} bytes")
        if kind not in tuple(OrderKind):
            return OrderOutcome(OrderStatus.INVALID, f"{kind}: an unknown kind of order")
        ends = self._loop.time() + timeout_s
        while (left := ends - self._loop.time()) > LEAST_WAIT_S:
            outcome = await self._attempt(kind, base_version, body, min(left, ATTEMPT_S))
            if outcome.status != OrderStatus.INDETERMINATE:
                return outcome
            await asyncio.sleep(min(PAUSE_S, max(0.0, ends - self._loop.time())))
        return OUTCOME_UNKNOWN

    def document(self) -> Document | None:
        """The newest committed document here, as the operator sent it."""
        return self._node.state.document if self._node is not None else None

    async def confirmed_document(self, timeout_s: float) -> Document | None:
        """The newest document that any process has committed by now; None where no majority confirms
        it in time.
        """
        return self.document() if await self.confirm(timeout_s) else None

    def configuration(self) -> Configuration | None:
        """The typed form of the newest committed document."""
        return self._checks.configuration if self._checks is not None else None

    async def confirm(self, timeout_s: float) -> bool:
        """Wait until all that was committed at this moment is applied here; False where that takes too
        long.
        """
        node = self._node
        if node is None:
            return False
        event, tokens = asyncio.Event(), list[int]()
        ends = self._loop.time() + timeout_s
        while not event.is_set() and (left := ends - self._loop.time()) > LEAST_WAIT_S:
            tokens.append(node.confirm_read(self._now(), event.set))
            self._pump()
            try:
                await asyncio.wait_for(event.wait(), min(left, CONFIRM_AGAIN_S))
            except TimeoutError:
                continue
        for token in tokens:
            node.cancel_read(token)
        return event.is_set()

    def voters(self) -> list[str]:
        """The internal addresses of the newest voters known here."""
        return list(self._node.voters[0]) if self._node is not None else []

    def leader(self) -> str:
        """The internal address of the leader; empty where none is known."""
        return self._node.leader if self._node is not None else ""

    @property
    def is_leaderless(self) -> bool:
        """Whether there was a leader since this process started, and none is known now.

        What is committed here is then what it was when contact was lost, not what a disk held at the start.
        """
        return self._had_leader and not self.leader()

    @property
    def is_leader(self) -> bool:
        """Whether this process leads, as far as it knows."""
        return self._node is not None and self._node.is_leader

    def status(self) -> dict[str, object]:
        """Figures for the operator."""
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
            "disk_refuses": self._storage is not None and self._storage.refusing,
            "orders_under_way": len(node.orders.pending_orders),
        }

    def history(self) -> list[dict[str, object]]:
        """The orders that were taken, oldest first; times are Unix milliseconds of the leader's clock."""
        if self._node is None:
            return []
        taken = self._node.state.accepted_orders()
        return [{"version": t.version, "digest": t.digest.hex(), "at_ms": t.at} for t in taken]

    # Orders

    async def _attempt(self, kind: str, base_version: int, body: bytes, timeout_s: float) -> OrderOutcome:
        node, leader = self._node, self.leader()
        if node is not None and node.was_accepted(kind, base_version, body):
            return OrderOutcome(OrderStatus.ACCEPTED)
        if node is None or not leader:
            return OUTCOME_UNKNOWN
        future: asyncio.Future[OrderOutcome] = self._loop.create_future()
        key = next(self._ids)
        if node.is_leader:
            self._take_order(kind, base_version, body, lambda outcome: settle(future, outcome))
        else:
            self._forwarded[key] = future
            if not self.links.send(leader, messages.OrderRequest(key, kind, base_version, body)):
                del self._forwarded[key]
                return OUTCOME_UNKNOWN
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            return OUTCOME_UNKNOWN
        finally:
            self._forwarded.pop(key, None)

    def _take_order(
        self, kind: str, base_version: int, body: bytes, then: Callable[[OrderOutcome], None]
    ) -> None:
        assert self._node is not None
        received_at = int(time.time() * 1000)
        ticket = self._node.submit(self._now(), kind, base_version, body, received_at)
        self._waiting[ticket] = then
        self._pump()

    def _on_order_request(self, sender: str, request: betterproto.Message) -> None:
        assert isinstance(request, messages.OrderRequest)

        def answer(outcome: OrderOutcome) -> None:
            self.links.send(sender, messages.OrderResult(request.id, int(outcome.status), outcome.error))

        if self._stopped or not self.is_leader:
            answer(OUTCOME_UNKNOWN)
        else:
            self._take_order(request.kind, request.base_version, request.body, answer)

    def _on_order_result(self, sender: str, result: betterproto.Message) -> None:
        assert isinstance(result, messages.OrderResult)
        future = self._forwarded.get(result.id)
        if future is not None:
            settle(future, OrderOutcome(result.status, result.error))

    def _start_check(self, request: CheckRequest) -> None:
        assert self._checks is not None

        def checked(digest: bytes, error: str) -> None:
            if self._node is not None:
                self._node.on_document_checked(self._now(), digest, error)
                self._pump()

        self._checks.check_order(request.digest, request.document, checked)

    def _applied(self) -> None:
        if self._node is not None and self._checks is not None:
            self._checks.applied(self._node.state)

    def _in_force(self, configuration: Configuration) -> None:
        for handler in self.on_committed:
            guarded(lambda handler=handler: handler(configuration))  # type: ignore[misc]

    # Links

    def _on_machine_message(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.MachineMessage)
        if message.machine != MACHINE or self._stopped or self._node is None:
            return
        self._node.receive(self._now(), sender, message.payload)
        self._pump()

    def _on_members(self, sender: str, message: betterproto.Message) -> None:
        if self._members is not None and not self._stopped:
            self._members.heard(message)

    def _on_link(self, address: str, hello: messages.Hello | None) -> None:
        node, members = self._node, self._members
        if node is None or members is None or self._stopped:
            return
        if hello is None:
            node.link_down(self._now(), address)
            self._give_up(address)
        else:
            members.greet(address)
            if hello.role == CONTROL_ROLE:
                node.link_up(self._now(), control_process(self.settings, hello))
        self._pump()

    def _give_up(self, address: str) -> None:
        """What was passed on to a leader that is gone gets no answer."""
        if address == self._leader:
            for future in list(self._forwarded.values()):
                settle(future, OUTCOME_UNKNOWN)

    # The machine

    def _now(self) -> float:
        return self._loop.time() * 1000.0

    def _tick(self) -> None:
        assert self._node is not None
        if self._stopped:
            return
        self._due = inf
        try:
            self._node.tick(self._now())
            self._pump()
        finally:
            self._schedule()

    def _schedule(self) -> None:
        assert self._node is not None
        due = self._node.next_wakeup(self._now()) / 1000.0
        if due >= self._due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_at(due, self._tick)

    def _pump(self) -> None:
        """Have done what the machine wants, and tell what came of it."""
        node = self._node
        if node is None or self._storage is None or self._pumping or self._stopped:
            return
        self._pumping = True
        try:
            while (work := node.take_ready()) is not None:
                self._storage.keep(work, lambda work=work: self._kept(work))  # type: ignore[misc]
        finally:
            self._pumping = False
        self._tell()
        self._schedule()

    def _kept(self, work: Work) -> None:
        assert self._node is not None
        self._send(work.messages)
        self._node.on_stored(self._now())
        self._pump()

    def _send(self, outgoing: list[tuple[str, bytes]]) -> None:
        for to, payload in outgoing:
            self.links.send(to, messages.MachineMessage(MACHINE, payload))

    def _hand_over(self) -> bool:
        assert self._node is not None
        outgoing = self._node.transfer_leadership(self._now())
        self._send(outgoing)
        return bool(outgoing)

    def _disk_in_trouble(self) -> None:
        """The disk stalls or refuses: somebody else should lead, and orders here have no clear answer."""
        node = self._node
        if node is None or not node.is_leader:
            return
        self._hand_over()
        node.orders.abandon()
        self._tell()

    def _tell(self) -> None:
        """Tell outcomes, start checks, and tell of new voters and leaders."""
        node, members = self._node, self._members
        assert node is not None and members is not None
        outcomes, node.orders.outcomes = node.orders.outcomes, []
        for ticket, outcome in outcomes:
            then = self._waiting.pop(ticket, None)
            if then is not None:
                then(outcome)
        checks, node.orders.check_requests = node.orders.check_requests, []
        for request in checks:
            self._start_check(request)
        if node.leader != self._leader:
            self._give_up(self._leader)
            self._leader = node.leader
            self._had_leader = self._had_leader or bool(node.leader)
            log.info("configuration shard: leader=%s term=%d", node.leader or "none", node.raft.term)
        voters, index = node.voters
        if voters != self._voters:
            self._voters = list(voters)
            log.info("configuration shard: voters=%s index=%d", " ".join(voters), index)
            for handler in self.on_voters:
                guarded(lambda handler=handler: handler(list(voters), index))  # type: ignore[misc]
        members.tell_changes()


def guarded(call: Callable[[], None]) -> None:
    """Call what another part has registered: its failure must not stop the shard."""
    try:
        call()
    except Exception:
        log.exception("a handler of the configuration shard failed")


def settle(future: "asyncio.Future[OrderOutcome]", outcome: OrderOutcome) -> None:
    """Give a waiting caller its outcome, if it still waits."""
    if not future.done():
        future.set_result(outcome)
