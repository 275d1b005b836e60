"""The oracle finds faults that are planted in the configuration shard: each class below plants one."""

import re
import unittest
from typing import Any

from msgspec import msgpack

from barleybarrow.consensus.config_node import ConfigNode, Work
from barleybarrow.consensus.configuration_state import (
    ConfigurationState,
    Order,
    OrderError,
    OrderOutcome,
    OrderStatus,
    generation_of,
    read_body,
)
from barleybarrow.consensus.durable_state import StoredImage
from barleybarrow.consensus.order_queue import OrderQueue, PendingOrder
from barleybarrow.consensus.paced_agreement import PacedRaftNode
from brackenusher.storage.slot_store import RECORD, Loaded, SlotStore, record_checksum
from tests.fleet.config_schedules import Schedule

# A promise is broken; that nothing is taken any more in a calm stretch does not suffice.
PROMISE = re.compile(r"taken on top|was known|refused with|is both|no order makes|DurableStateError")
MOST_HISTORIES = 60  # until a planted fault must have been found


class NodeWithQueue(ConfigNode):
    """Puts a queue of orders with a fault in the place of the proper one."""

    queue_class: type[OrderQueue] = OrderQueue

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        proper = self.orders
        self.orders = self.queue_class(proper.raft, proper.state, proper.min_disks, proper.read_tokens)


class HastyQueue(OrderQueue):
    """Acknowledges what is only proposed."""

    def on_document_checked(self, now: float, digest: bytes, error: str) -> None:
        super().on_document_checked(now, digest, error)
        job = self.jobs.get(digest)
        if job is not None and job.index:
            self._finish(job, OrderOutcome(OrderStatus.TAKEN))


class HastyNode(NodeWithQueue):
    queue_class = HastyQueue


class UnconfirmedQueue(OrderQueue):
    """Refuses by what a leader believes that may be none any more, and has not applied what came
    before it.
    """

    def _confirm_refusal(self, now: float, pending: PendingOrder, refusal: OrderOutcome) -> None:
        self._finish(pending, refusal)

    def _caught_up(self) -> bool:
        return True


class UnconfirmedNode(NodeWithQueue):
    queue_class = UnconfirmedQueue


class NodeWithState(ConfigNode):
    """Puts a state with a fault in the place of the proper one."""

    state_class: type[ConfigurationState] = ConfigurationState

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        image = self.state.snapshot()
        self.state = self.orders.state = self.state_class()
        self.state.restore(image)


class ForgetfulState(ConfigurationState):
    """Forgets which orders were taken when it comes from a snapshot."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.taken.clear()


class ForgetfulNode(NodeWithState):
    state_class = ForgetfulState


class BaselessState(ConfigurationState):
    """Does not compare the base version when an order is applied."""

    def apply(self, order: Order) -> OrderOutcome:
        try:
            if generation_of(read_body(order)) <= self.version or order.digest in self.taken:
                return super().apply(order)
        except OrderError:
            return super().apply(order)
        found = super().apply(Order(order.kind, self.version, order.body, order.digest, order.received_at))
        return found


class ManyAtOnceQueue(OrderQueue):
    """Proposes several orders at once, with checks made before the others are applied."""

    def _order_in_progress(self) -> bool:
        return False


class BaselessNode(NodeWithState):
    state_class = BaselessState

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        proper = self.orders
        self.orders = ManyAtOnceQueue(proper.raft, proper.state, proper.min_disks, proper.read_tokens)


class NeverBarredNode(ConfigNode):
    """Votes by an empty store, as one of the voters it hears of, as if it had never promised anything."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.agreement.barred = False

    def hear_voters(self, voters: list[str], index: int) -> None:
        super().hear_voters(voters, index)
        agreement = self.agreement
        if agreement.last == 0 and self.name in voters:
            agreement.voters = list(voters)
            agreement.update_role()


class ImageWithoutLogNode(ConfigNode):
    """Leaves the entries behind a snapshot out of what is stored."""

    def take(self) -> Work | None:
        work = super().take()
        if work is not None and work.image is not None:
            image = msgpack.decode(work.image, type=StoredImage)
            image.entries = []
            work.image = msgpack.encode(image)
        return work


class SendsBeforeStoringNode(ConfigNode):
    """Counts what it stores before the disk has it: the work has nothing to store, and a later one has."""

    def take(self) -> Work | None:
        work = super().take()
        if work is not None and work.records:
            work.records = []
        return work


class UnconfirmedReadsNode(ConfigNode):
    """Takes what is here for the newest."""

    def confirm(self, now: float, callback: Any) -> int:
        callback()
        return 0


class EarlyCommitAgreement(PacedRaftNode):
    """Takes one disk for enough."""

    def advance(self, now: float) -> None:
        if self.stored_to > self.commit and self.term_of(self.stored_to) == self.term:
            self.commit = self.stored_to
            self.beat(now, to_all=True)


class EarlyCommitNode(ConfigNode):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.agreement.__class__ = EarlyCommitAgreement

    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.agreement.__class__ = EarlyCommitAgreement


class EarlyCommitOneDisk(EarlyCommitNode):
    """The same, and acknowledges on one disk."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.orders.min_disks = 1


class UnsyncedStore(SlotStore):
    """Does not sync what it appends."""

    def append(self, records: list[bytes]) -> None:
        files = self.files
        self.files = NoSync(files)  # type: ignore[assignment]
        try:
            super().append(records)
        finally:
            self.files = files


class NoSync:
    """Files whose sync does nothing."""

    def __init__(self, files: Any) -> None:
        self.files = files

    def __getattr__(self, name: str) -> Any:
        return getattr(self.files, name)

    def sync(self, path: str) -> None:
        """Nothing."""


class TrustingStore(SlotStore):
    """Takes the end of the log as it finds it, damaged or not."""

    def load(self) -> Loaded:
        loaded = super().load()
        if self.current is not None:
            data = self.files.read(self.paths[self.current]) or b""
            while self.end + RECORD.size <= len(data):
                length = RECORD.unpack_from(data, self.end)[0]
                record = data[self.end + RECORD.size : self.end + RECORD.size + length]
                loaded.records.append(record)
                self.end += RECORD.size + length
                self.checksum = record_checksum(record, self.checksum)
        return loaded

    def _cut(self) -> None:
        self.dirty = False


class PlantedTest(unittest.TestCase):
    def find(
        self, node_class: type[ConfigNode] = ConfigNode, store_class: type[SlotStore] = SlotStore
    ) -> None:
        """Play histories until one shows the fault."""
        for seed in range(MOST_HISTORIES):
            try:
                problems = Schedule(seed, node_class, store_class).play()
            except Exception as error:  # a store that can't be read is found as well
                problems = [repr(error)]
            if any(PROMISE.search(problem) for problem in problems):
                return
        self.fail(f"{MOST_HISTORIES} histories show nothing of the fault")

    def test_acknowledged_when_proposed(self) -> None:
        self.find(HastyNode)

    def test_refused_without_confirmation(self) -> None:
        self.find(UnconfirmedNode)

    def test_orders_forgotten_with_a_snapshot(self) -> None:
        self.find(ForgetfulNode)

    def test_base_not_compared_when_applied(self) -> None:
        self.find(BaselessNode)

    def test_votes_by_an_empty_store(self) -> None:
        self.find(NeverBarredNode)

    def test_log_lost_with_a_snapshot(self) -> None:
        self.find(ImageWithoutLogNode)

    def test_nothing_stored_between_snapshots(self) -> None:
        self.find(SendsBeforeStoringNode)

    def test_reads_without_confirmation(self) -> None:
        self.find(UnconfirmedReadsNode)

    def test_committed_by_one_disk(self) -> None:
        self.find(EarlyCommitOneDisk)

    def test_append_without_sync(self) -> None:
        self.find(store_class=UnsyncedStore)

    def test_damaged_tail_taken(self) -> None:
        self.find(store_class=TrustingStore)
