"""What a proxy makes of the lists of servers that several control processes feed to it. No I/O; milliseconds.

Sources are merged so that no single one can bring back or take away a server on its own: a drain or an end
holds whoever told it, for good; a server counts as silent only where every source in touch that knows it says
so. With no settled source in touch the last word holds. Where all servers of a service are silent since about
the same time, they stay offered: trouble of the control plane must not empty a service.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from barleybarrow.replication.records import FINALITY, InstanceRecord, InstanceState
from barleybarrow.replication.rendezvous import SHARDS, shard_of

FINAL_KEPT_MS = 900_000.0  # as long as the registry keeps them
SILENT_KEPT_MS = 600_000.0
COMMON_SILENCE_MS = 15_000.0  # servers that fall silent within it may do so for one cause that is not theirs


@dataclass(slots=True)
class ShardView:
    """One shard as one source told it."""

    epoch: int
    offset: int
    records: dict[str, InstanceRecord] = field(default_factory=dict)


@dataclass(slots=True)
class SourceView:
    """The list as one source told it."""

    connected: bool = False
    settled: bool = False
    shards: dict[int, ShardView] = field(default_factory=dict)

    @property
    def counts(self) -> bool:
        """Whether its silence about a server means something."""
        return self.connected and self.settled and len(self.shards) == SHARDS


@dataclass(slots=True)
class Known:
    """One server after merging."""

    record: InstanceRecord
    finality: int
    cold_until: float
    silent: bool = False
    silent_since: float = 0.0
    changed_at: float = 0.0


class FeedView:
    """The merged list of servers of one proxy."""

    def __init__(self) -> None:
        self.sources: dict[str, SourceView] = {}
        self.known: dict[str, Known] = {}
        self.changed_services: set[str] = set()  # since the owner last cleared it
        self._by_service: dict[str, set[str]] = {}

    @property
    def settled(self) -> bool:
        """Whether some source in touch has told a whole list that it is sure of."""
        return any(source.counts for source in self.sources.values())

    def connected(self, name: str, now: float) -> None:
        """A source is in touch; its list is as it was until it tells more."""
        source = self.sources.setdefault(name, SourceView())
        source.connected, source.settled = True, False
        self._judge_all(now)

    def disconnected(self, name: str, now: float) -> None:
        """A source is out of touch; its list stays for when it comes back."""
        source = self.sources.get(name)
        if source is not None:
            source.connected = False
            self._judge_all(now)

    def drop(self, name: str, now: float) -> None:
        """A source counts no more."""
        if self.sources.pop(name, None) is not None:
            self._judge_all(now)

    def position(self, name: str, shard: int) -> tuple[int, int] | None:
        """Epoch and offset at which a source's shard was left."""
        source = self.sources.get(name)
        view = None if source is None else source.shards.get(shard)
        return None if view is None else (view.epoch, view.offset)

    def take(
        self,
        name: str,
        shard: int,
        position: tuple[int, int],
        records: Iterable[InstanceRecord],
        *,
        snapshot: bool,
        settled: bool,
        now: float,
    ) -> bool:
        """Take a shard's snapshot or changes from a source; False where the source has to be asked anew."""
        source = self.sources.setdefault(name, SourceView(connected=True))
        view = source.shards.get(shard)
        if not snapshot and (view is None or view.epoch != position[0]):
            return False
        counted = source.counts
        source.settled = source.settled or settled
        touched: set[str] = set()
        if snapshot or view is None:
            touched.update(view.records if view is not None else ())
            view = source.shards[shard] = ShardView(*position)
        view.offset = max(view.offset, position[1])
        for record in records:
            touched.add(record.id)
            self._merge(view, record, now)
        for instance_id in touched & self.known.keys():
            self._judge(instance_id, now)
        if source.counts != counted:
            self._judge_all(now)
        return True

    def offered(self, service: str, now: float) -> list[InstanceRecord]:
        """The servers of a service that may be used or are draining, in the order of their ids."""
        ids = sorted(self._by_service.get(service, ()))
        live = [known for known in map(self.known.__getitem__, ids) if known.finality < 2]
        ready = [known for known in live if known.finality == 0 and not known.silent]
        if not ready:
            ready = self._fallen_silent_together(live)
        draining = [known for known in live if known.finality == 1]
        return [self._offer(known, InstanceState.READY, now) for known in ready] + [
            self._offer(known, InstanceState.DRAINING, now) for known in draining
        ]

    def forget(self, now: float) -> None:
        """Drop what has ended or been silent for very long."""
        for instance_id, known in list(self.known.items()):
            age = now - known.changed_at
            listed = any(self._record_of(source, known) for source in self.sources.values())
            ended = known.finality > 0 and age > FINAL_KEPT_MS
            lost = known.finality == 0 and known.silent and age > SILENT_KEPT_MS
            if (ended or lost) and not listed:
                del self.known[instance_id]
                self._by_service.get(known.record.service, set()).discard(instance_id)
                self.changed_services.add(known.record.service)

    def _merge(self, view: ShardView, record: InstanceRecord, now: float) -> None:
        told = view.records.get(record.id)
        if told is None or _order(record) >= _order(told):
            view.records[record.id] = record
        finality = FINALITY[record.state]
        known = self.known.get(record.id)
        if known is None:
            cold_until = now + record.cold_remaining_ms
            self.known[record.id] = Known(record, finality, cold_until, changed_at=now)
            self._index(record)
            return
        if finality > known.finality:
            known.finality, known.changed_at = finality, now
            self.changed_services.add(known.record.service)
        if record.sequence >= known.record.sequence and record.service:
            self._take_details(known, record, now)

    def _take_details(self, known: Known, record: InstanceRecord, now: float) -> None:
        if not record.same_details(known.record):
            self._index(record)
        known.record = record
        known.cold_until = now + record.cold_remaining_ms

    def _index(self, record: InstanceRecord) -> None:
        self._by_service.setdefault(record.service, set()).add(record.id)
        self.changed_services.add(record.service)

    def _judge_all(self, now: float) -> None:
        for instance_id in self.known:
            self._judge(instance_id, now)

    def _judge(self, instance_id: str, now: float) -> None:
        """Decide anew whether a server is silent."""
        known = self.known[instance_id]
        in_touch = [source for source in self.sources.values() if source.connected]
        if not any(source.counts for source in in_touch):
            return
        told = [self._record_of(source, known) for source in in_touch]
        heard = [record for record in told if record is not None]
        silent = all(record.state is InstanceState.SILENT for record in heard)
        if silent != known.silent:
            known.silent, known.silent_since, known.changed_at = silent, now, now
            self.changed_services.add(known.record.service)

    def _record_of(self, source: SourceView, known: Known) -> InstanceRecord | None:
        view = source.shards.get(shard_of(known.record.service))
        return None if view is None else view.records.get(known.record.id)

    def _fallen_silent_together(self, live: list[Known]) -> list[Known]:
        silent = [known for known in live if known.finality == 0]
        newest = max((known.silent_since for known in silent), default=0.0)
        return [known for known in silent if newest - known.silent_since <= COMMON_SILENCE_MS]

    def _offer(self, known: Known, state: InstanceState, now: float) -> InstanceRecord:
        cold = max(0, int(known.cold_until - now))
        return replace(known.record, state=state, cold_remaining_ms=cold)


def _order(record: InstanceRecord) -> tuple[int, int, bool]:
    return FINALITY[record.state], record.sequence, record.state is InstanceState.SILENT
