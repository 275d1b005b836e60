"""Service registry of a control process: accepts heartbeats, replicates changes, detects silent servers.

Any control process accepts any heartbeat. A heartbeat that changes nothing is acknowledged at once if a
majority of the replica group is connected; its renewal is sent to the group in a batch. A heartbeat that
changes a record is sent to all control processes and acknowledged once a majority of the replica group has
stored it.

A process that has lost its disk may lack records that it confirmed: see `barleybarrow.replication.catch_up`.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

import betterproto

from barleybarrow.replication.catch_up import CatchUp, Coverage
from barleybarrow.replication.records import FINALITY, InstanceRecord, InstanceState, Renewal
from barleybarrow.replication.registry import Registry, RegistryEntry
from barleybarrow.replication.rendezvous import shard_of
from barleybarrow.replication.silence import SilenceDetector
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_request_number
from brackenusher.cluster.records import (
    from_coverage_message,
    from_messages,
    from_renewals,
    to_coverage_message,
    to_message,
    to_messages,
    to_renewals,
)
from brackenusher.control_plane.confirmations import Confirmation, PendingConfirmations
from brackenusher.control_plane.final_records import FinalRecords
from brackenusher.control_plane.replica_groups import CONTROL_ROLE, ReplicaGroups
from brackenusher.settings.local import LocalSettings
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

RENEWAL_INTERVAL_MS = 300.0  # between batches of renewals to a replica group
SILENCE_CHECK_INTERVAL_MS = 300.0
# Between full pulls from the peers in turn; repairs updates lost with a connection.
SYNC_INTERVAL_MS = 15_000.0
EXPIRY_CHECK_INTERVAL_MS = 30_000.0
DISK_RETRY_INTERVAL_MS = 1000.0  # between retries of writes that the disk refused
SETTLED_HEARTBEATS = 2  # heartbeat intervals within which every running server has sent one
SETTLED_SLACK_MS = 500.0
MIN_PULL_INTERVAL_MS = 1000.0  # between pulls from one peer that are caused by unknown ids
MAX_RECORDS_PER_MESSAGE = 500

ChangeHandler = Callable[[int, list[InstanceRecord]], None]


class RegistryService:
    """The registry of one control process. `now` returns milliseconds of a monotonic clock."""

    def __init__(
        self,
        settings: LocalSettings,
        links: Links,
        store: SlotStore | None,
        writer: StorageWriter | None,
        voters: Callable[[], list[str]],
        now: Callable[[], float],
    ) -> None:
        self.registry = Registry()
        self.on_change: list[ChangeHandler] = []
        self.on_settled: list[Callable[[], None]] = []
        self.on_coverage: list[Callable[[], None]] = []
        self.coverage = Coverage.NOT_STATED  # of the list of this process, with the voters it is connected to
        self._settings = settings
        self._links = links
        self._now = now
        self._groups = ReplicaGroups(links, voters, settings.fault_tolerance)
        self._final_store = FinalRecords(store, writer, self._final_records)
        self._confirmations = PendingConfirmations(first_request_number(links.own))
        # Ids with a change accepted here that no majority has confirmed yet.
        self._unconfirmed: set[str] = set()
        self._confirmed_finality: dict[str, int] = {}  # by id: finality that a majority has confirmed
        self._pending_renewals: dict[
            str, int
        ] = {}  # by id: newest sequence not yet sent to the replica group
        self._started_at = now()
        self._silence_detector = SilenceDetector(settings.heartbeat_ms, self._started_at)
        self._catch_up = CatchUp(links.own.address, settings.heartbeat_ms, settings.bounds.contact_ms)
        self._was_incomplete = False  # the list was, and has not been complete since
        self._settled = False
        self._renewals_sent_at = self._silence_checked_at = self._expired_at = self._started_at
        self._synced_at = self._disk_retried_at = self._started_at
        self._pulled_at: dict[str, float] = {}
        self._last_sync_peer = ""
        self._tasks: set[asyncio.Task[None]] = set()
        links.on_message(messages.RegistryUpdate, self._on_update)
        links.on_message(messages.RegistryConfirm, self._on_confirm)
        links.on_message(messages.RegistryPull, self._on_pull)
        links.on_change(self._link_changed)

    async def start(self) -> None:
        """Load the stored DRAINING and GONE records; waits until the disk can be read, without a limit."""
        now = self._now()
        for record in await self._final_store.load(first_start=self._settings.bootstrap):
            if self.registry.merge(record, now):
                self._publish([self.registry.entries[record.id].record(now)])
        if self._final_store.intact:
            self._catch_up.complete = True
            self._final_store.mark_complete()
            self._send_to_all_peers()
        else:
            log.warning("server list: coverage=incomplete reason=empty_store")

    @property
    def settled(self) -> bool:
        """Whether all running servers are known: by the time since the start, or from a settled peer."""
        return self._settled

    # Calls of the servers' API

    async def heartbeat(self, record: InstanceRecord) -> bool:
        """Apply a server's heartbeat; True if it may be acknowledged."""
        known = record.id in self.registry.entries
        changed = self.registry.merge(record, self._now())
        entry = self.registry.entries[record.id]
        if not known and entry.state is InstanceState.READY:
            self._silence_previous_at_address(record)
        if changed:
            self._unconfirmed.add(record.id)
            self._publish([entry.record(self._now())])
        if not self._needs_majority(record.id, entry):
            self._pending_renewals[record.id] = entry.last_sequence
            return self._groups.reaches_majority(shard_of(entry.details.service))
        return await self._replicate(record.id, entry)

    async def deregister(self, instance_id: str) -> bool:
        """Mark a server as gone; True if the call may be acknowledged."""
        return await self.heartbeat(self.registry.gone_record(instance_id))

    # Calls of the feeds

    def feed_records(self, shard: int, ids: Iterable[str] | None) -> list[InstanceRecord]:
        """The records with these ids (None: of the whole shard), with their newest heartbeats' sequences."""
        if ids is None:
            ids = self.registry.ids_in_shard(shard)
        return [self._feed_record(i) for i in ids if i in self.registry.entries]

    def _feed_record(self, instance_id: str) -> InstanceRecord:
        entry = self.registry.entries[instance_id]
        return replace(entry.record(self._now()), sequence=entry.last_sequence)

    # Periodic work

    def tick(self) -> None:
        """Run the periodic work that is due; to be called at least every 100 ms."""
        now = self._now()
        self._silence_detector.tick(now)
        self._check_settled(now)
        self._check_coverage(now)
        if now - self._renewals_sent_at >= RENEWAL_INTERVAL_MS:
            self._renewals_sent_at = now
            self._send_renewals()
        if now - self._silence_checked_at >= SILENCE_CHECK_INTERVAL_MS:
            self._silence_checked_at = now
            self._groups.connect_voters()
            self._mark_silent(now)
        if now - self._synced_at >= SYNC_INTERVAL_MS:
            self._synced_at = now
            self._sync_with_next_peer()
        if self._final_store.write_failed and now - self._disk_retried_at >= DISK_RETRY_INTERVAL_MS:
            self._disk_retried_at = now
            self._spawn(self._final_store.persist_all())
        if now - self._expired_at >= EXPIRY_CHECK_INTERVAL_MS:
            self._expired_at = now
            self._expire(now)

    def status(self) -> dict[str, object]:
        """State for the operator's status call."""
        states: dict[str, int] = {}
        for entry in self.registry.entries.values():
            states[entry.state.name] = states.get(entry.state.name, 0) + 1
        return {
            "settled": self._settled,
            "coverage": self.coverage.name.lower(),
            "owned_shards": sorted(self._silence_detector.owned),
            "states": states,
        }

    def _silence_previous_at_address(self, record: InstanceRecord) -> None:
        """Mark earlier servers at a new server's address silent; if one still runs, a heartbeat undoes it."""
        now = self._now()
        previous_ids = [i for i in self.registry.ready_at_address(record.address) if i != record.id]
        self._tell_silence([self.registry.mark_silent(instance_id, now) for instance_id in previous_ids])

    # Replication to a majority

    def _needs_majority(self, instance_id: str, entry: RegistryEntry) -> bool:
        if instance_id in self._unconfirmed:
            return True
        return entry.finality > 0 and self._confirmed_finality.get(instance_id) != entry.finality

    async def _replicate(self, instance_id: str, entry: RegistryEntry) -> bool:
        """Send an entry to all control processes; True once a majority of its replica group has stored it."""
        record = entry.record(self._now())
        confirmation = self._confirmations.open(self._groups.group(shard_of(record.service)))
        recipients = self._broadcast(confirmation.number, record, entry.last_sequence)
        self._spawn(self._persist_locally(record, confirmation))
        if not await self._confirmations.wait(confirmation, recipients | {self._groups.own}):
            return False
        self._on_majority(instance_id, record)
        return True

    def _on_majority(self, instance_id: str, record: InstanceRecord) -> None:
        entry = self.registry.entries.get(instance_id)
        if entry is None:
            return
        finality = FINALITY[record.state]
        self._confirmed_finality[instance_id] = max(finality, self._confirmed_finality.get(instance_id, 0))
        if entry.finality == finality and entry.details.same_details(record):
            self._unconfirmed.discard(instance_id)

    def _broadcast(self, number: int, record: InstanceRecord, last_sequence: int) -> set[str]:
        """Send a record to every connected control process; returns those it was sent to."""
        update = messages.RegistryUpdate(
            id=number,
            shard=shard_of(record.service),
            records=[to_message(record)],
            renewals=to_renewals([Renewal(record.id, last_sequence)]),
        )
        return {peer for peer in self._groups.peers() if self._links.send(peer, update)}

    async def _persist_locally(self, record: InstanceRecord, confirmation: Confirmation) -> None:
        if await self._persist([record]):
            confirmation.confirm(self._groups.own)

    async def _persist(self, records: Iterable[InstanceRecord]) -> bool:
        """Write the DRAINING and GONE records among these to disk; False if a write failed."""
        final_records = [record for record in records if FINALITY[record.state] > 0]
        if not final_records:
            return True
        return all(await asyncio.gather(*(self._final_store.persist(record) for record in final_records)))

    # Messages of other control processes

    def _on_update(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.RegistryUpdate)
        now = self._now()
        records = from_messages(message.records)
        changed = [record.id for record in records if self.registry.merge(record, now)]
        changed += self._apply_renewals(sender, from_renewals(message.renewals), now)
        updated = [self.registry.entries[i].record(now) for i in dict.fromkeys(changed)]
        self._publish(updated)
        self._refute_silence(sender, records)
        if message.coverage:
            self._catch_up.on_pulled(sender, from_coverage_message(message.coverage))
        if message.id:
            self._relay(sender, updated)
        if any(FINALITY[record.state] > 0 for record in records):
            self._spawn(self._persist_and_confirm(sender, message.id, records))
        elif message.id:
            self._links.send(sender, messages.RegistryConfirm(id=message.id))

    def _apply_renewals(self, sender: str, renewals: Iterable[Renewal], now: float) -> list[str]:
        changed = []
        for renewal in renewals:
            result = self.registry.renew(renewal, now)
            if result:
                changed.append(renewal.id)
            elif result is None:
                self._pull(sender, now)
        return changed

    async def _persist_and_confirm(self, sender: str, number: int, records: list[InstanceRecord]) -> None:
        persisted = await self._persist(records)
        if persisted and number:
            self._links.send(sender, messages.RegistryConfirm(id=number))

    def _refute_silence(self, sender: str, records: Iterable[InstanceRecord]) -> None:
        """If a peer reports a server silent, send it any newer heartbeat that is known here."""
        renewals = []
        for record in records:
            entry = self.registry.entries[record.id]
            if record.state is InstanceState.SILENT and entry.last_sequence > record.sequence:
                renewals.append(Renewal(record.id, entry.last_sequence))
        if renewals:
            self._links.send(sender, messages.RegistryUpdate(renewals=to_renewals(renewals)))

    def _relay(self, sender: str, records: list[InstanceRecord]) -> None:
        """Forward a change once to all other peers, as its source may not be connected to them."""
        for record in records:
            update = messages.RegistryUpdate(shard=shard_of(record.service), records=[to_message(record)])
            for peer in self._groups.peers():
                if peer != sender:
                    self._links.send(peer, update)

    def _on_confirm(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.RegistryConfirm)
        if message.id == 0:
            self._mark_settled()  # a settled peer has sent all its records
            return
        self._confirmations.on_confirm(message.id, sender)

    def _on_pull(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.RegistryPull)
        self._send_all_records(sender)
        if self._settled and self._groups.reaches_voter_majority():
            self._links.send(sender, messages.RegistryConfirm(id=0))

    def _send_to_all_peers(self) -> None:
        for peer in self._groups.peers():
            self._send_all_records(peer)

    def _send_all_records(self, peer: str) -> None:
        """Send all records, and at the end whether final records may be missing from them."""
        now = self._now()
        for shard, records in enumerate(self.registry.records_by_shard(now)):
            for start in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
                chunk = records[start : start + MAX_RECORDS_PER_MESSAGE]
                renewals = [
                    Renewal(record.id, self.registry.entries[record.id].last_sequence) for record in chunk
                ]
                update = messages.RegistryUpdate(
                    shard=shard, records=to_messages(chunk), renewals=to_renewals(renewals)
                )
                self._links.send(peer, update)
        coverage = Coverage.COMPLETE if self._catch_up.complete else Coverage.INCOMPLETE
        self._links.send(peer, messages.RegistryUpdate(coverage=to_coverage_message(coverage)))

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        self._catch_up.on_link_changed(address)
        if hello is not None and hello.role == CONTROL_ROLE:
            self._links.send(address, messages.RegistryPull())

    def _sync_with_next_peer(self) -> None:
        """Pull all records from the next peer in address order."""
        peers = sorted(self._groups.peers())
        if peers:
            later_peers = [peer for peer in peers if peer > self._last_sync_peer]
            self._last_sync_peer = (later_peers or peers)[0]
            self._links.send(self._last_sync_peer, messages.RegistryPull())

    def _pull(self, peer: str, now: float) -> None:
        if now - self._pulled_at.get(peer, -MIN_PULL_INTERVAL_MS) >= MIN_PULL_INTERVAL_MS:
            self._pulled_at[peer] = now
            self._links.send(peer, messages.RegistryPull())

    # Coverage, settling, renewals, silence

    def _check_coverage(self, now: float) -> None:
        """Notice that this process has caught up, and whether the list can be relied on."""
        was_complete = self._catch_up.complete
        coverage = self._catch_up.tick(now, self._groups.all_groups(), self._groups.peers())
        if self._catch_up.complete and not was_complete:
            log.info("server list: coverage=complete reason=caught_up")
            self._final_store.mark_complete()
            self._send_to_all_peers()
        if coverage is self.coverage:
            return
        self.coverage = coverage
        if coverage is Coverage.INCOMPLETE:
            log.warning("server list: coverage=incomplete reason=no_majority_has_all_drains")
            self._was_incomplete = True
        elif coverage is Coverage.COMPLETE and self._was_incomplete:
            log.info("server list: coverage=complete")
            self._was_incomplete = False
            self._publish_removal(self.registry.remove_silent())  # these may have ended: nobody would know
        for handler in self.on_coverage:
            handler()

    def _check_settled(self, now: float) -> None:
        uptime_ms = now - self._started_at
        if uptime_ms >= SETTLED_HEARTBEATS * self._settings.heartbeat_ms + SETTLED_SLACK_MS:
            self._mark_settled()

    def _mark_settled(self) -> None:
        if self._settled or not self._final_store.loaded:
            return
        self._settled = True
        for handler in self.on_settled:
            handler()

    def _send_renewals(self) -> None:
        pending, self._pending_renewals = self._pending_renewals, {}
        shards: dict[int, list[Renewal]] = {}
        for instance_id, sequence in pending.items():
            entry = self.registry.entries.get(instance_id)
            if entry is not None:
                shards.setdefault(shard_of(entry.details.service), []).append(Renewal(instance_id, sequence))
        for shard, renewals in shards.items():
            update = messages.RegistryUpdate(shard=shard, renewals=to_renewals(renewals))
            for member in self._groups.group(shard):
                if member != self._groups.own:
                    self._links.send(member, update)

    def _mark_silent(self, now: float) -> None:
        if not self._settled:
            return
        overdue = self._silence_detector.overdue(self._groups.owned(), now)
        silent = self.registry.overdue(overdue.shards, overdue.last_heartbeat_before)
        self._tell_silence([self.registry.mark_silent(instance_id, now) for instance_id in silent])

    def _tell_silence(self, silent_records: list[InstanceRecord]) -> None:
        if not silent_records:
            return
        log.info("servers silent: ids=%s", ",".join(record.id for record in silent_records))
        self._publish(silent_records)
        update = messages.RegistryUpdate(records=to_messages(silent_records))
        for peer in self._groups.peers():
            self._links.send(peer, update)

    def _expire(self, now: float) -> None:
        shards = self.registry.expire(now)
        for instance_id in [i for i in self._confirmed_finality if i not in self.registry.entries]:
            del self._confirmed_finality[instance_id]
        self._unconfirmed.intersection_update(self.registry.entries)
        self._final_store.expire(self.registry.entries)
        self._publish_removal(shards)

    # Helpers

    def _final_records(self) -> list[InstanceRecord]:
        now = self._now()
        return [entry.record(now) for entry in self.registry.entries.values() if entry.finality > 0]

    def _publish_removal(self, shards: set[int]) -> None:
        for shard in shards:
            for handler in self.on_change:
                handler(shard, [])

    def _publish(self, records: list[InstanceRecord]) -> None:
        shards: dict[int, list[InstanceRecord]] = {}
        for record in records:
            shards.setdefault(shard_of(record.service), []).append(record)
        for shard, changed in shards.items():
            for handler in self.on_change:
                handler(shard, changed)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
