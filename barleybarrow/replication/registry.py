"""The registry of servers: merges what heartbeats and peers tell of each incarnation.

No I/O; times are milliseconds of a monotonic clock. Each entry is a join of independent parts, so that
records may come in any order, twice, or late:

| part | merged by |
| --- | --- |
| finality: READY or SILENT < DRAINING < GONE | the greatest |
| heard: sequence of the newest heartbeat known of | the greatest |
| silent_at: sequence after which heartbeats were missed | the greatest; holds while `silent_at >= heard` |
| details: address, slots, models | the server's own words before those told with a silence, then the newest |

Nothing may bring a drained or deregistered incarnation back: such entries stay for `FINAL_KEPT_MS`.
"""

from collections.abc import Container
from dataclasses import dataclass, replace

from barleybarrow.replication.records import FINALITY, InstanceRecord, InstanceState, Renewal
from barleybarrow.replication.rendezvous import SHARDS, shard_of

FINAL_KEPT_MS = 900_000.0  # a quarter of an hour: no heartbeat stays under way for so long
SILENT_KEPT_MS = 600_000.0  # a server that comes back later is simply new
MAX_ENTRIES = 20_000  # about 20 MB; beyond it the oldest final or silent entries are forgotten

GONE = FINALITY[InstanceState.GONE]
DRAINING = FINALITY[InstanceState.DRAINING]
NEVER = -1


@dataclass(slots=True)
class Entry:
    """All that is known of one incarnation."""

    details: InstanceRecord
    details_at: tuple[bool, int]  # told by the server itself, sequence
    finality: int
    heard: int
    silent_at: int
    heard_at: float  # local time of the newest heartbeat known of
    changed_at: float
    cold_until: float

    @property
    def state(self) -> InstanceState:
        if self.finality == GONE:
            return InstanceState.GONE
        if self.finality == DRAINING:
            return InstanceState.DRAINING
        return InstanceState.SILENT if self.silent_at >= self.heard else InstanceState.READY

    def record(self, now: float) -> InstanceRecord:
        """The entry as one record. Its sequence is that of its details; of a silence, the last one heard."""
        state = self.state
        sequence = self.heard if state is InstanceState.SILENT else self.details_at[1]
        cold = max(0, int(self.cold_until - now))
        return replace(self.details, state=state, sequence=sequence, cold_remaining_ms=cold)

    def whole(self, now: float) -> list[InstanceRecord]:
        """All that the entry holds: a silence after the server's own words, which it does not replace."""
        record = self.record(now)
        if record.state is not InstanceState.SILENT or not self.details_at[0]:
            return [record]
        return [replace(record, state=InstanceState.READY, sequence=self.details_at[1]), record]


def _split(record: InstanceRecord, now: float) -> Entry:
    """A record as an entry of its own."""
    silent = record.state is InstanceState.SILENT
    return Entry(
        details=record,
        details_at=(not silent and bool(record.service), record.sequence),
        finality=FINALITY[record.state],
        heard=record.sequence,
        silent_at=record.sequence if silent else NEVER,
        heard_at=now,
        changed_at=now,
        cold_until=now + record.cold_remaining_ms,
    )


class Registry:
    """All entries of one process, by id."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    def merge(self, record: InstanceRecord, now: float) -> bool:
        """Take in a record; whether anything changed that others have to be told (beyond a renewal)."""
        entry = self.entries.get(record.id)
        told = _split(record, now)
        if entry is None:
            self.entries[record.id] = told
            return True
        before = entry.state
        changed = self._merge_details(entry, told)
        entry.finality = max(entry.finality, told.finality)
        entry.silent_at = max(entry.silent_at, told.silent_at)
        self._heard(entry, told.heard, now)
        changed = changed or entry.state is not before
        if changed:
            entry.changed_at = now
        return changed

    def renew(self, renewal: Renewal, now: float) -> bool | None:
        """Take in a renewal; whether it brought a silent server back, None where the id is unknown."""
        entry = self.entries.get(renewal.id)
        if entry is None:
            return None
        before = entry.state
        self._heard(entry, renewal.sequence, now)
        if entry.state is before:
            return False
        entry.changed_at = now
        return True

    def gone(self, instance_id: str) -> InstanceRecord:
        """The record that says an incarnation has ended; merge it then."""
        entry = self.entries.get(instance_id)
        if entry is None:
            return InstanceRecord(instance_id, state=InstanceState.GONE)
        return replace(entry.details, state=InstanceState.GONE, sequence=entry.heard, cold_remaining_ms=0)

    def silence(self, instance_id: str, now: float) -> InstanceRecord:
        """Mark a ready server as silent after the newest heartbeat known of; the record to tell others."""
        entry = self.entries[instance_id]
        entry.silent_at = entry.heard
        entry.changed_at = now
        return entry.record(now)

    def overdue(self, shards: Container[int], heard_before: float) -> list[str]:
        """Ids of ready servers of these shards without a heartbeat since then."""
        return [
            instance_id
            for instance_id, entry in self.entries.items()
            if entry.heard_at < heard_before
            and entry.state is InstanceState.READY
            and shard_of(entry.details.service) in shards
        ]

    def at_address(self, address: str) -> list[str]:
        """Ids of ready servers at an address."""
        return [
            instance_id
            for instance_id, entry in self.entries.items()
            if entry.details.address == address and entry.state is InstanceState.READY
        ]

    def forget(self, now: float) -> set[int]:
        """Drop what has been final or silent for very long; the shards that lost something."""
        dropped = [i for i, entry in self.entries.items() if self._is_old(entry, now)]
        excess = len(self.entries) - len(dropped) - MAX_ENTRIES
        if excess > 0:
            dropped += self._oldest_ended(set(dropped), excess)
        return {shard_of(self.entries.pop(i).details.service) for i in dropped}

    def ids(self, shard: int) -> list[str]:
        """The ids of a shard."""
        return [i for i, entry in self.entries.items() if shard_of(entry.details.service) == shard]

    def by_shard(self, now: float) -> list[list[InstanceRecord]]:
        """All that is known, by shard."""
        shards: list[list[InstanceRecord]] = [[] for _ in range(SHARDS)]
        for entry in self.entries.values():
            shards[shard_of(entry.details.service)] += entry.whole(now)
        return shards

    def _merge_details(self, entry: Entry, told: Entry) -> bool:
        if told.details_at <= entry.details_at or not told.details.service:
            return False
        changed = not told.details.same_details(entry.details)
        entry.details, entry.details_at = told.details, told.details_at
        entry.cold_until = told.cold_until
        return changed

    def _heard(self, entry: Entry, sequence: int, now: float) -> None:
        if sequence > entry.heard:
            entry.heard, entry.heard_at = sequence, now

    def _is_old(self, entry: Entry, now: float) -> bool:
        age = now - entry.changed_at
        if entry.finality == GONE:
            return age > FINAL_KEPT_MS
        if entry.finality == DRAINING:
            return age > FINAL_KEPT_MS and now - entry.heard_at > FINAL_KEPT_MS
        return entry.state is InstanceState.SILENT and age > SILENT_KEPT_MS

    def _oldest_ended(self, already: set[str], count: int) -> list[str]:
        ended = [
            (entry.changed_at, i)
            for i, entry in self.entries.items()
            if i not in already and entry.state is not InstanceState.READY
        ]
        return [i for _, i in sorted(ended)[:count]]
