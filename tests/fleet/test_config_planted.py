"""Mutation tests of the oracle: each class below injects a bug that random histories must reveal."""

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
from brackenusher.storage.slot_store import RECORD, LoadedState, SlotStore, record_checksum
from tests.fleet.config_schedules import SimulationRun

# Messages about safety violations; a mere loss of liveness does not count as having found the bug.
SAFETY_VIOLATION = re.compile(
    r"accepted on top|was known|refused with|is both|no order makes|DurableStateError"
)
MAX_HISTORIES = 60  # within which an injected bug has to be found


class NodeWithBuggyQueue(ConfigNode):
    """Uses an order queue with a bug."""

    queue_class: type[OrderQueue] = OrderQueue

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        correct = self.orders
        self.orders = self.queue_class(correct.raft, correct.state, correct.min_disks, correct.read_tokens)


class AcknowledgeProposedQueue(OrderQueue):
    """Acknowledges orders that are only proposed."""

    def on_document_checked(self, now: float, digest: bytes, error: str) -> None:
        super().on_document_checked(now, digest, error)
        pending = self.pending_orders.get(digest)
        if pending is not None and pending.index:
            self._finish(pending, OrderOutcome(OrderStatus.ACCEPTED))


class AcknowledgeProposedNode(NodeWithBuggyQueue):
    queue_class = AcknowledgeProposedQueue


class UnconfirmedRefusalQueue(OrderQueue):
    """Refuses orders without confirming leadership, and before earlier committed entries are applied."""

    def _confirm_refusal(self, now: float, pending: PendingOrder, refusal: OrderOutcome) -> None:
        self._finish(pending, refusal)

    def _caught_up(self) -> bool:
        return True


class UnconfirmedRefusalNode(NodeWithBuggyQueue):
    queue_class = UnconfirmedRefusalQueue


class NodeWithBuggyState(ConfigNode):
    """Uses a configuration state with a bug."""

    state_class: type[ConfigurationState] = ConfigurationState

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        image = self.state.snapshot()
        self.state = self.orders.state = self.state_class()
        self.state.restore(image)


class AmnesicState(ConfigurationState):
    """Loses the accepted orders when restored from a snapshot."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.accepted.clear()


class AmnesicNode(NodeWithBuggyState):
    state_class = AmnesicState


class UncheckedBaseState(ConfigurationState):
    """Does not check the base version when an order is applied."""

    def apply(self, order: Order) -> OrderOutcome:
        try:
            if generation_of(read_body(order)) <= self.version or order.digest in self.accepted:
                return super().apply(order)
        except OrderError:
            return super().apply(order)
        outcome = super().apply(Order(order.kind, self.version, order.body, order.digest, order.received_at))
        return outcome


class ConcurrentQueue(OrderQueue):
    """Proposes several orders at once, each validated before the others are applied."""

    def _order_in_progress(self) -> bool:
        return False


class UncheckedBaseNode(NodeWithBuggyState):
    state_class = UncheckedBaseState

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        correct = self.orders
        self.orders = ConcurrentQueue(correct.raft, correct.state, correct.min_disks, correct.read_tokens)


class NeverQuarantinedNode(ConfigNode):
    """Votes with an empty store once it learns that it is a voter, instead of staying in quarantine."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.raft.quarantined = False

    def learn_voters(self, voters: list[str], index: int) -> None:
        super().learn_voters(voters, index)
        raft = self.raft
        if raft.last_index == 0 and self.name in voters:
            raft.voters = list(voters)
            raft.update_role()


class ImageWithoutLogNode(ConfigNode):
    """Omits the entries after a snapshot from the persisted image."""

    def take_ready(self) -> Work | None:
        work = super().take_ready()
        if work is not None and work.image is not None:
            image = msgpack.decode(work.image, type=StoredImage)
            image.entries = []
            work.image = msgpack.encode(image)
        return work


class SendsBeforeStoringNode(ConfigNode):
    """Sends before storing: entries are not persisted until the next image."""

    def take_ready(self) -> Work | None:
        work = super().take_ready()
        if work is not None and work.records:
            work.records = []
        return work


class UnconfirmedReadsNode(ConfigNode):
    """Treats the local state as the newest."""

    def confirm_read(self, now: float, callback: Any) -> int:
        callback()
        return 0


class EarlyCommitRaft(PacedRaftNode):
    """Commits what is on a single disk."""

    def advance_commit(self, now: float) -> None:
        if self.persisted_index > self.commit_index and self.term_at(self.persisted_index) == self.term:
            self.commit_index = self.persisted_index
            self.broadcast_heartbeat(now, to_all=True)


class EarlyCommitNode(ConfigNode):
    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.raft.__class__ = EarlyCommitRaft

    def _bootstrap(self, now: float) -> None:
        super()._bootstrap(now)
        self.raft.__class__ = EarlyCommitRaft


class EarlyAcknowledgeNode(EarlyCommitNode):
    """Commits and acknowledges what is on a single disk."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.orders.min_disks = 1


class UnsyncedStore(SlotStore):
    """Does not sync appended records."""

    def append(self, records: list[bytes]) -> None:
        files = self.files
        self.files = NoSyncFiles(files)  # type: ignore[assignment]
        try:
            super().append(records)
        finally:
            self.files = files


class NoSyncFiles:
    """Files whose sync does nothing."""

    def __init__(self, files: Any) -> None:
        self.files = files

    def __getattr__(self, name: str) -> Any:
        return getattr(self.files, name)

    def sync(self, path: str) -> None:
        """Does nothing."""


class UnverifiedTailStore(SlotStore):
    """Accepts the tail of the log without verifying checksums."""

    def load(self) -> LoadedState:
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

    def _truncate_tail(self) -> None:
        self.tail_dirty = False


class InjectedBugsTest(unittest.TestCase):
    def assert_revealed(
        self, node_class: type[ConfigNode] = ConfigNode, store_class: type[SlotStore] = SlotStore
    ) -> None:
        """Run histories until one reveals the bug."""
        for seed in range(MAX_HISTORIES):
            try:
                problems = SimulationRun(seed, node_class, store_class).run()
            except Exception as error:  # an unreadable store counts as found
                problems = [repr(error)]
            if any(SAFETY_VIOLATION.search(problem) for problem in problems):
                return
        self.fail(f"the bug was not revealed by {MAX_HISTORIES} histories")

    def test_orders_acknowledged_when_proposed(self) -> None:
        self.assert_revealed(AcknowledgeProposedNode)

    def test_orders_refused_without_confirmed_leadership(self) -> None:
        self.assert_revealed(UnconfirmedRefusalNode)

    def test_accepted_orders_lost_with_a_snapshot(self) -> None:
        self.assert_revealed(AmnesicNode)

    def test_base_version_not_checked_when_applied(self) -> None:
        self.assert_revealed(UncheckedBaseNode)

    def test_votes_with_an_empty_store(self) -> None:
        self.assert_revealed(NeverQuarantinedNode)

    def test_log_not_persisted_with_a_snapshot(self) -> None:
        self.assert_revealed(ImageWithoutLogNode)

    def test_log_not_persisted_between_snapshots(self) -> None:
        self.assert_revealed(SendsBeforeStoringNode)

    def test_reads_without_confirmation(self) -> None:
        self.assert_revealed(UnconfirmedReadsNode)

    def test_commit_on_a_single_disk(self) -> None:
        self.assert_revealed(EarlyAcknowledgeNode)

    def test_append_without_sync(self) -> None:
        self.assert_revealed(store_class=UnsyncedStore)

    def test_corrupt_log_tail_accepted(self) -> None:
        self.assert_revealed(store_class=UnverifiedTailStore)
