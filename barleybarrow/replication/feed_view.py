"""Merges the server lists that a proxy receives from several control processes. No I/O; milliseconds.

No single source can bring back or remove a server on its own. A drain or deregistration is final, whichever
source reports it. A server is silent only if every connected source that lists it reports it as silent.
Without a connected, settled source the last known state holds. If all servers of a service fell silent at
about the same time, they are still offered: a fault of the control plane must not empty a service.

While the connected sources may lack drains that were acknowledged (`catch_up`), no server gets new requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf

from barleybarrow.replication.catch_up import Coverage
from barleybarrow.replication.records import FINALITY, InstanceRecord, InstanceState
from barleybarrow.replication.rendezvous import SHARD_COUNT, shard_of

FINAL_RETENTION_MS = 900_000.0  # same as in the registry
SILENT_RETENTION_MS = 600_000.0
# Servers that fall silent within this window may share a cause outside of them.
CORRELATED_SILENCE_WINDOW_MS = 15_000.0
NEVER_HEARD = -inf


@dataclass(slots=True)
class ShardView:
    """One shard as listed by one source."""

    epoch: int
    offset: int
    records: dict[str, InstanceRecord] = field(default_factory=dict)


@dataclass(slots=True)
class SourceView:
    """All shards as listed by one source."""

    connected: bool = False
    settled: bool = False
    coverage: Coverage = Coverage.NOT_STATED
    shards: dict[int, ShardView] = field(default_factory=dict)

    @property
    def is_authoritative(self) -> bool:
        """Whether it is connected and its list complete, so that a missing server means something."""
        return self.connected and self.settled and len(self.shards) == SHARD_COUNT


@dataclass(slots=True)
class KnownInstance:
    """Merged state of one server."""

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
        self.instances: dict[str, KnownInstance] = {}
        self.changed_services: set[str] = set()  # since the owner last cleared it
        self.withheld = False  # ended servers can't be told from running ones: offer none
        self._incomplete = False  # a source said so, and none has said the opposite since
        self._by_service: dict[str, set[str]] = {}

    @property
    def settled(self) -> bool:
        """Whether some connected source has sent a complete, settled list."""
        return any(source.is_authoritative for source in self.sources.values())

    def on_connected(self, name: str, now: float) -> None:
        """Handle a new connection to a source; its old list stays until it sends an update."""
        source = self.sources.setdefault(name, SourceView())
        source.connected, source.settled, source.coverage = True, False, Coverage.NOT_STATED
        self._update_all_silence(now)
        self._update_withheld()

    def on_disconnected(self, name: str, now: float) -> None:
        """Handle a lost connection to a source; its list is kept, to resume from after a reconnect."""
        source = self.sources.get(name)
        if source is not None:
            source.connected = False
            self._update_all_silence(now)
            self._update_withheld()

    def remove_source(self, name: str, now: float) -> None:
        """Remove a source and its list."""
        if self.sources.pop(name, None) is not None:
            self._update_all_silence(now)
            self._update_withheld()

    def position(self, name: str, shard: int) -> tuple[int, int] | None:
        """Epoch and offset from which to resume a shard of a source; None: a snapshot is needed."""
        source = self.sources.get(name)
        view = None if source is None else source.shards.get(shard)
        return None if view is None else (view.epoch, view.offset)

    def apply_update(
        self,
        name: str,
        shard: int,
        position: tuple[int, int],
        records: Iterable[InstanceRecord],
        *,
        snapshot: bool,
        settled: bool,
        now: float,
        coverage: Coverage = Coverage.NOT_STATED,
    ) -> bool:
        """Apply a snapshot or changes of a shard; False if the feed has to be subscribed to anew."""
        source = self.sources.setdefault(name, SourceView(connected=True))
        view = source.shards.get(shard)
        if not snapshot and (view is None or view.epoch != position[0]):
            return False
        was_authoritative = source.is_authoritative
        source.settled = source.settled or settled
        source.coverage = coverage
        affected_ids: set[str] = set()
        if snapshot or view is None:
            affected_ids.update(view.records if view is not None else ())
            view = source.shards[shard] = ShardView(*position)
        view.offset = max(view.offset, position[1])
        for record in records:
            affected_ids.add(record.id)
            self._merge(view, record, now)
        for instance_id in affected_ids & self.instances.keys():
            self._update_silence(instance_id, now)
        if source.is_authoritative != was_authoritative:
            self._update_all_silence(now)
        self._update_withheld()
        return True

    def offered_records(self, service: str, now: float) -> list[InstanceRecord]:
        """Usable servers of a service (as SILENT while withheld), then draining ones, each sorted by id."""
        ids = sorted(self._by_service.get(service, ()))
        not_gone = [instance for instance in map(self.instances.__getitem__, ids) if instance.finality < 2]
        ready = [instance for instance in not_gone if instance.finality == 0 and not instance.silent]
        if not ready:
            ready = self._most_recently_silent(not_gone)
        draining = [instance for instance in not_gone if instance.finality == 1]
        ready_state = InstanceState.SILENT if self.withheld else InstanceState.READY
        return [self._to_record(instance, ready_state, now) for instance in ready] + [
            self._to_record(instance, InstanceState.DRAINING, now) for instance in draining
        ]

    def expire(self, now: float) -> None:
        """Remove servers past their retention period that no source lists any more."""
        for instance_id, instance in list(self.instances.items()):
            age = now - instance.changed_at
            listed = any(self._source_record(source, instance) for source in self.sources.values())
            ended = instance.finality > 0 and age > FINAL_RETENTION_MS
            lost = instance.finality == 0 and instance.silent and age > SILENT_RETENTION_MS
            if (ended or lost) and not listed:
                del self.instances[instance_id]
                self._by_service.get(instance.record.service, set()).discard(instance_id)
                self.changed_services.add(instance.record.service)

    def _merge(self, view: ShardView, record: InstanceRecord, now: float) -> None:
        previous = view.records.get(record.id)
        if previous is None or _precedence(record) >= _precedence(previous):
            view.records[record.id] = record
        finality = FINALITY[record.state]
        instance = self.instances.get(record.id)
        if instance is None:
            cold_until = now + record.cold_remaining_ms
            self.instances[record.id] = KnownInstance(record, finality, cold_until, changed_at=now)
            self._index(record)
            return
        if finality > instance.finality:
            instance.finality, instance.changed_at = finality, now
            self.changed_services.add(instance.record.service)
        if record.sequence >= instance.record.sequence and record.service:
            self._update_details(instance, record, now)

    def _update_details(self, instance: KnownInstance, record: InstanceRecord, now: float) -> None:
        if not record.same_details(instance.record):
            self._index(record)
        instance.record = record
        instance.cold_until = now + record.cold_remaining_ms

    def _index(self, record: InstanceRecord) -> None:
        self._by_service.setdefault(record.service, set()).add(record.id)
        self.changed_services.add(record.service)

    def _update_withheld(self) -> None:
        """One source that knows all drains is enough: each drain is merged from whoever tells it."""
        coverages = {source.coverage for source in self.sources.values() if source.connected}
        if Coverage.COMPLETE in coverages:
            self._incomplete = False
        elif Coverage.INCOMPLETE in coverages:
            self._incomplete = True
        withheld = self._incomplete and bool(coverages)  # without control the last known state holds
        if withheld == self.withheld:
            return
        self.withheld = withheld
        self.changed_services.update(self._by_service)
        for instance in self.instances.values():
            if instance.silent:
                instance.silent_since = NEVER_HEARD  # it may have ended: no reason to offer it all the same

    def _update_all_silence(self, now: float) -> None:
        for instance_id in self.instances:
            self._update_silence(instance_id, now)

    def _update_silence(self, instance_id: str, now: float) -> None:
        """Recompute whether a server is silent; one that no connected source lists is silent too."""
        instance = self.instances[instance_id]
        connected = [source for source in self.sources.values() if source.connected]
        if not any(source.is_authoritative for source in connected):
            return
        listed = [self._source_record(source, instance) for source in connected]
        reported = [record for record in listed if record is not None]
        silent = all(record.state is InstanceState.SILENT for record in reported)
        if silent != instance.silent:
            instance.silent, instance.silent_since, instance.changed_at = silent, now, now
            self.changed_services.add(instance.record.service)

    def _source_record(self, source: SourceView, instance: KnownInstance) -> InstanceRecord | None:
        view = source.shards.get(shard_of(instance.record.service))
        return None if view is None else view.records.get(instance.record.id)

    def _most_recently_silent(self, not_gone: list[KnownInstance]) -> list[KnownInstance]:
        silent = [instance for instance in not_gone if instance.finality == 0]
        latest_silence = max((instance.silent_since for instance in silent), default=0.0)
        earliest = latest_silence - CORRELATED_SILENCE_WINDOW_MS
        return [instance for instance in silent if instance.silent_since >= earliest > NEVER_HEARD]

    def _to_record(self, instance: KnownInstance, state: InstanceState, now: float) -> InstanceRecord:
        cold = max(0, int(instance.cold_until - now))
        return replace(instance.record, state=state, cold_remaining_ms=cold)


def _precedence(record: InstanceRecord) -> tuple[int, int, bool]:
    return FINALITY[record.state], record.sequence, record.state is InstanceState.SILENT
