"""The registry of servers: merges heartbeats and records from peers into one entry per incarnation.

No I/O; times are milliseconds of a monotonic clock. Each entry is a join of independent components (a
state-based CRDT), so records may arrive in any order, more than once, or late:

| component | merge rule |
| --- | --- |
| finality: READY or SILENT < DRAINING < GONE | maximum |
| sequence of the newest known heartbeat | maximum |
| sequence after which heartbeats were missed | maximum; silent while it is not below the newest heartbeat's |
| details: address, slots, models | the server's own record before a silence record, then the newest |

A drained or deregistered incarnation must never come back, so its entry is kept for `FINAL_RETENTION_MS`.
"""

from collections.abc import Container
from dataclasses import dataclass, replace

from barleybarrow.replication.records import FINALITY, InstanceRecord, InstanceState, Renewal
from barleybarrow.replication.rendezvous import SHARD_COUNT, shard_of

FINAL_RETENTION_MS = 900_000.0  # no heartbeat is delayed in transit by 15 minutes
SILENT_RETENTION_MS = 600_000.0  # a server that returns later is treated as new
MAX_ENTRIES = 20_000  # about 20 MB; beyond it the oldest final or silent entries are evicted

GONE_FINALITY = FINALITY[InstanceState.GONE]
DRAINING_FINALITY = FINALITY[InstanceState.DRAINING]
NO_SEQUENCE = -1


@dataclass(slots=True)
class RegistryEntry:
    """Merged state of one incarnation."""

    details: InstanceRecord
    details_precedence: tuple[bool, int]  # (sent by the server itself, sequence)
    finality: int
    last_sequence: int
    silent_sequence: int
    last_heartbeat_at: float  # local time at which the newest heartbeat became known
    changed_at: float
    cold_until: float

    @property
    def state(self) -> InstanceState:
        if self.finality == GONE_FINALITY:
            return InstanceState.GONE
        if self.finality == DRAINING_FINALITY:
            return InstanceState.DRAINING
        return InstanceState.SILENT if self.silent_sequence >= self.last_sequence else InstanceState.READY

    def record(self, now: float) -> InstanceRecord:
        """The entry as one record, with the sequence of its details, or of the last heartbeat if silent."""
        state = self.state
        sequence = self.last_sequence if state is InstanceState.SILENT else self.details_precedence[1]
        cold_remaining_ms = max(0, int(self.cold_until - now))
        return replace(self.details, state=state, sequence=sequence, cold_remaining_ms=cold_remaining_ms)

    def all_records(self, now: float) -> list[InstanceRecord]:
        """Records that reproduce the entry: a silence record is added to the server's own record."""
        record = self.record(now)
        if record.state is not InstanceState.SILENT or not self.details_precedence[0]:
            return [record]
        return [replace(record, state=InstanceState.READY, sequence=self.details_precedence[1]), record]


def _entry_from(record: InstanceRecord, now: float) -> RegistryEntry:
    """Convert a single record to an entry, to be merged."""
    silent = record.state is InstanceState.SILENT
    return RegistryEntry(
        details=record,
        details_precedence=(not silent and bool(record.service), record.sequence),
        finality=FINALITY[record.state],
        last_sequence=record.sequence,
        silent_sequence=record.sequence if silent else NO_SEQUENCE,
        last_heartbeat_at=now,
        changed_at=now,
        cold_until=now + record.cold_remaining_ms,
    )


class Registry:
    """All entries known to one process, by instance id."""

    def __init__(self) -> None:
        self.entries: dict[str, RegistryEntry] = {}

    def merge(self, record: InstanceRecord, now: float) -> bool:
        """Merge a record; whether anything beyond a renewal changed, which peers have to be sent."""
        entry = self.entries.get(record.id)
        incoming = _entry_from(record, now)
        if entry is None:
            self.entries[record.id] = incoming
            return True
        before = entry.state
        changed = self._merge_details(entry, incoming)
        entry.finality = max(entry.finality, incoming.finality)
        entry.silent_sequence = max(entry.silent_sequence, incoming.silent_sequence)
        self._record_heartbeat(entry, incoming.last_sequence, now)
        changed = changed or entry.state is not before
        if changed:
            entry.changed_at = now
        return changed

    def renew(self, renewal: Renewal, now: float) -> bool | None:
        """Apply a renewal; whether it ended a silence, or None if the id is unknown."""
        entry = self.entries.get(renewal.id)
        if entry is None:
            return None
        before = entry.state
        self._record_heartbeat(entry, renewal.sequence, now)
        if entry.state is before:
            return False
        entry.changed_at = now
        return True

    def gone_record(self, instance_id: str) -> InstanceRecord:
        """Build the record that marks an incarnation as gone; the caller merges it."""
        entry = self.entries.get(instance_id)
        if entry is None:
            return InstanceRecord(instance_id, state=InstanceState.GONE)
        return replace(
            entry.details, state=InstanceState.GONE, sequence=entry.last_sequence, cold_remaining_ms=0
        )

    def mark_silent(self, instance_id: str, now: float) -> InstanceRecord:
        """Mark a ready server as silent since its newest known heartbeat; return the record for peers."""
        entry = self.entries[instance_id]
        entry.silent_sequence = entry.last_sequence
        entry.changed_at = now
        return entry.record(now)

    def overdue(self, shards: Container[int], last_heartbeat_before: float) -> list[str]:
        """Ids of ready servers of these shards without a heartbeat since that time."""
        return [
            instance_id
            for instance_id, entry in self.entries.items()
            if entry.last_heartbeat_at < last_heartbeat_before
            and entry.state is InstanceState.READY
            and shard_of(entry.details.service) in shards
        ]

    def ready_at_address(self, address: str) -> list[str]:
        """Ids of ready servers with this address."""
        return [
            instance_id
            for instance_id, entry in self.entries.items()
            if entry.details.address == address and entry.state is InstanceState.READY
        ]

    def expire(self, now: float) -> set[int]:
        """Remove entries past their retention and any excess; return the shards that lost entries."""
        expired = [i for i, entry in self.entries.items() if self._is_expired(entry, now)]
        excess = len(self.entries) - len(expired) - MAX_ENTRIES
        if excess > 0:
            expired += self._oldest_inactive(set(expired), excess)
        return {shard_of(self.entries.pop(i).details.service) for i in expired}

    def remove_silent(self) -> set[int]:
        """Remove all silent entries; return the shards that lost entries. A server that returns is new."""
        silent = [i for i, entry in self.entries.items() if entry.state is InstanceState.SILENT]
        return {shard_of(self.entries.pop(i).details.service) for i in silent}

    def ids_in_shard(self, shard: int) -> list[str]:
        """Ids of the entries of a shard."""
        return [i for i, entry in self.entries.items() if shard_of(entry.details.service) == shard]

    def records_by_shard(self, now: float) -> list[list[InstanceRecord]]:
        """Records of all entries, one list per shard."""
        shards: list[list[InstanceRecord]] = [[] for _ in range(SHARD_COUNT)]
        for entry in self.entries.values():
            shards[shard_of(entry.details.service)] += entry.all_records(now)
        return shards

    def _merge_details(self, entry: RegistryEntry, incoming: RegistryEntry) -> bool:
        if incoming.details_precedence <= entry.details_precedence or not incoming.details.service:
            return False
        changed = not incoming.details.same_details(entry.details)
        entry.details, entry.details_precedence = incoming.details, incoming.details_precedence
        entry.cold_until = incoming.cold_until
        return changed

    def _record_heartbeat(self, entry: RegistryEntry, sequence: int, now: float) -> None:
        if sequence > entry.last_sequence:
            entry.last_sequence, entry.last_heartbeat_at = sequence, now

    def _is_expired(self, entry: RegistryEntry, now: float) -> bool:
        age = now - entry.changed_at
        if entry.finality == GONE_FINALITY:
            return age > FINAL_RETENTION_MS
        if entry.finality == DRAINING_FINALITY:
            return age > FINAL_RETENTION_MS and now - entry.last_heartbeat_at > FINAL_RETENTION_MS
        return entry.state is InstanceState.SILENT and age > SILENT_RETENTION_MS

    def _oldest_inactive(self, excluded: set[str], count: int) -> list[str]:
        inactive = [
            (entry.changed_at, i)
            for i, entry in self.entries.items()
            if i not in excluded and entry.state is not InstanceState.READY
        ]
        return [i for _, i in sorted(inactive)[:count]]
