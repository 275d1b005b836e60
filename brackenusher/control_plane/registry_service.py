"""Registration of servers in a control process: takes heartbeats, spreads what changes, notices silence.

Any control process takes any heartbeat. One that changes nothing is acknowledged at once where a majority of
the replica group is in touch, and its renewal goes there together with others. One that changes something
goes to all control processes and is acknowledged once a majority of the replica group holds it.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace

import betterproto

from barleybarrow.replication.records import FINALITY, InstanceRecord, InstanceState, Renewal
from barleybarrow.replication.registry import Registry, RegistryEntry
from barleybarrow.replication.rendezvous import shard_of
from barleybarrow.replication.silence import SilenceDetector
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_request_number
from brackenusher.cluster.records import from_messages, from_renewals, to_message, to_messages, to_renewals
from brackenusher.control_plane.confirmations import Confirmation, Confirmations
from brackenusher.control_plane.final_records import FinalRecords
from brackenusher.control_plane.replica_groups import CONTROL, ReplicaGroups
from brackenusher.settings.local import LocalSettings
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

RENEWALS_MS = 300.0  # between two batches of renewals to a replica group
SILENCE_CHECK_MS = 300.0
COMPARE_MS = (
    15_000.0  # between two pulls, from each peer in turn: they mend what a lost connection took along
)
FORGET_CHECK_MS = 30_000.0
KEEP_AGAIN_MS = 1000.0  # between two tries to write what the disk refused
SETTLED_HEARTBEATS = 2  # in which every server that runs has sent one
SETTLED_SLACK_MS = 500.0
PULL_PAUSE_MS = 1000.0  # between two pulls from one peer because of unknown ids
RECORDS_PER_MESSAGE = 500

ChangeHandler = Callable[[int, list[InstanceRecord]], None]


class RegistryService:
    """The registry of one control process. Times of `now` are milliseconds of a monotonic clock."""

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
        self._settings = settings
        self._links = links
        self._now = now
        self._groups = ReplicaGroups(links, voters, settings.fault_tolerance)
        self._final = FinalRecords(store, writer, self._final_records)
        self._confirmations = Confirmations(first_request_number(links.own))
        self._unconfirmed: set[str] = set()  # ids whose newest change came here and has no majority yet
        self._held: dict[str, int] = {}  # finality that a majority is known to hold, by id
        self._renewals: dict[str, int] = {}  # newest sequences that the replica groups have not been told
        self._started_at = now()
        self._silence = SilenceDetector(settings.heartbeat_ms, self._started_at)
        self._settled = False
        self._renewed_at = self._checked_at = self._forgot_at = self._started_at
        self._compared_at = self._kept_at = self._started_at
        self._pulled_at: dict[str, float] = {}
        self._compared_with = ""
        self._tasks: set[asyncio.Task[None]] = set()
        links.on_message(messages.RegistryUpdate, self._take_update)
        links.on_message(messages.RegistryConfirm, self._take_confirm)
        links.on_message(messages.RegistryPull, self._take_pull)
        links.on_change(self._link_changed)

    async def start(self) -> None:
        """Take up the drains and ends on the disk; returns once they are read, however long that takes."""
        now = self._now()
        for record in await self._final.load():
            if self.registry.merge(record, now):
                self._publish([self.registry.entries[record.id].record(now)])

    @property
    def settled(self) -> bool:
        """Whether this process has had the time, or the help of a peer, to know of every server that runs."""
        return self._settled

    # What the interface for servers calls

    async def heartbeat(self, record: InstanceRecord) -> bool:
        """Take a server's word; True where it may be acknowledged."""
        known = record.id in self.registry.entries
        changed = self.registry.merge(record, self._now())
        entry = self.registry.entries[record.id]
        if not known and entry.state is InstanceState.READY:
            self._take_address(record)
        if changed:
            self._unconfirmed.add(record.id)
            self._publish([entry.record(self._now())])
        if not self._needs_majority(record.id, entry):
            self._renewals[record.id] = entry.last_sequence
            return self._groups.reaches_majority(shard_of(entry.details.service))
        return await self._replicate(record.id, entry)

    async def deregister(self, instance_id: str) -> bool:
        """Take the word that a server ends; True where it may be acknowledged."""
        return await self.heartbeat(self.registry.gone_record(instance_id))

    # What feeds call

    def feed_records(self, shard: int, ids: Iterable[str] | None) -> list[InstanceRecord]:
        """Records of these ids, or of a whole shard; their sequence is that of the newest heartbeat."""
        if ids is None:
            ids = self.registry.ids_in_shard(shard)
        return [self._feed_record(i) for i in ids if i in self.registry.entries]

    def _feed_record(self, instance_id: str) -> InstanceRecord:
        entry = self.registry.entries[instance_id]
        return replace(entry.record(self._now()), sequence=entry.last_sequence)

    # Periodic work

    def tick(self) -> None:
        """Do what is due; call it every 100 ms or more often."""
        now = self._now()
        self._silence.tick(now)
        self._settle(now)
        if now - self._renewed_at >= RENEWALS_MS:
            self._renewed_at = now
            self._send_renewals()
        if now - self._checked_at >= SILENCE_CHECK_MS:
            self._checked_at = now
            self._groups.reach_voters()
            self._mark_silent(now)
        if now - self._compared_at >= COMPARE_MS:
            self._compared_at = now
            self._compare()
        if self._final.refused and now - self._kept_at >= KEEP_AGAIN_MS:
            self._kept_at = now
            self._spawn(self._final.keep_all())
        if now - self._forgot_at >= FORGET_CHECK_MS:
            self._forgot_at = now
            self._forget(now)

    def status(self) -> dict[str, object]:
        """Figures for the operator."""
        states: dict[str, int] = {}
        for entry in self.registry.entries.values():
            states[entry.state.name] = states.get(entry.state.name, 0) + 1
        return {"settled": self._settled, "owned_shards": sorted(self._silence.owned), "states": states}

    def _take_address(self, record: InstanceRecord) -> None:
        """A new server at an address: who was there has ended, or its next heartbeat says otherwise."""
        now = self._now()
        earlier = [i for i in self.registry.ready_at_address(record.address) if i != record.id]
        self._tell_silence([self.registry.mark_silent(instance_id, now) for instance_id in earlier])

    # Changes to a majority

    def _needs_majority(self, instance_id: str, entry: RegistryEntry) -> bool:
        if instance_id in self._unconfirmed:
            return True
        return entry.finality > 0 and self._held.get(instance_id) != entry.finality

    async def _replicate(self, instance_id: str, entry: RegistryEntry) -> bool:
        """Send an entry to all control processes; True once a majority of its replica group holds it."""
        record = entry.record(self._now())
        confirmation = self._confirmations.open(self._groups.group(shard_of(record.service)))
        reached = self._spread(confirmation.number, record, entry.last_sequence)
        self._spawn(self._hold_here(record, confirmation))
        if not await self._confirmations.wait(confirmation, reached | {self._groups.own}):
            return False
        self._confirmed(instance_id, record)
        return True

    def _confirmed(self, instance_id: str, record: InstanceRecord) -> None:
        entry = self.registry.entries.get(instance_id)
        if entry is None:
            return
        finality = FINALITY[record.state]
        self._held[instance_id] = max(finality, self._held.get(instance_id, 0))
        if entry.finality == finality and entry.details.same_details(record):
            self._unconfirmed.discard(instance_id)

    def _spread(self, number: int, record: InstanceRecord, heard: int) -> set[str]:
        """Send a record to every control process in touch; those that it was sent to."""
        update = messages.RegistryUpdate(
            id=number,
            shard=shard_of(record.service),
            records=[to_message(record)],
            renewals=to_renewals([Renewal(record.id, heard)]),
        )
        return {peer for peer in self._groups.peers() if self._links.send(peer, update)}

    async def _hold_here(self, record: InstanceRecord, confirmation: Confirmation) -> None:
        if await self._keep([record]):
            confirmation.confirm(self._groups.own)

    async def _keep(self, records: Iterable[InstanceRecord]) -> bool:
        """Write the drains and ends among these to disk; whether all that had to be written was."""
        final = [record for record in records if FINALITY[record.state] > 0]
        if not final:
            return True
        return all(await asyncio.gather(*(self._final.keep(record) for record in final)))

    # Messages of other control processes

    def _take_update(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.RegistryUpdate)
        now = self._now()
        records = from_messages(message.records)
        changed = [record.id for record in records if self.registry.merge(record, now)]
        changed += self._take_renewals(sender, from_renewals(message.renewals), now)
        fresh = [self.registry.entries[i].record(now) for i in dict.fromkeys(changed)]
        self._publish(fresh)
        self._correct(sender, records)
        if message.id:
            self._relay(sender, fresh)
        if any(FINALITY[record.state] > 0 for record in records):
            self._spawn(self._hold_for(sender, message.id, records))
        elif message.id:
            self._links.send(sender, messages.RegistryConfirm(id=message.id))

    def _take_renewals(self, sender: str, renewals: Iterable[Renewal], now: float) -> list[str]:
        changed = []
        for renewal in renewals:
            result = self.registry.renew(renewal, now)
            if result:
                changed.append(renewal.id)
            elif result is None:
                self._pull(sender, now)
        return changed

    async def _hold_for(self, sender: str, number: int, records: list[InstanceRecord]) -> None:
        kept = await self._keep(records)
        if kept and number:
            self._links.send(sender, messages.RegistryConfirm(id=number))

    def _correct(self, sender: str, records: Iterable[InstanceRecord]) -> None:
        """Tell a peer that says a server is silent of a newer heartbeat that is known here."""
        renewals = []
        for record in records:
            entry = self.registry.entries[record.id]
            if record.state is InstanceState.SILENT and entry.last_sequence > record.sequence:
                renewals.append(Renewal(record.id, entry.last_sequence))
        if renewals:
            self._links.send(sender, messages.RegistryUpdate(renewals=to_renewals(renewals)))

    def _relay(self, sender: str, records: list[InstanceRecord]) -> None:
        """Pass a change on, once, to those that its source may not reach."""
        for record in records:
            update = messages.RegistryUpdate(shard=shard_of(record.service), records=[to_message(record)])
            for peer in self._groups.peers():
                if peer != sender:
                    self._links.send(peer, update)

    def _take_confirm(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.RegistryConfirm)
        if message.id == 0:
            self._now_settled()  # a settled peer has sent all that it knows
            return
        self._confirmations.confirmed(message.id, sender)

    def _take_pull(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.RegistryPull)
        now = self._now()
        for shard, records in enumerate(self.registry.records_by_shard(now)):
            for start in range(0, len(records), RECORDS_PER_MESSAGE):
                piece = records[start : start + RECORDS_PER_MESSAGE]
                renewals = [
                    Renewal(record.id, self.registry.entries[record.id].last_sequence) for record in piece
                ]
                update = messages.RegistryUpdate(
                    shard=shard, records=to_messages(piece), renewals=to_renewals(renewals)
                )
                self._links.send(sender, update)
        if self._settled and self._groups.reaches_most_voters():
            self._links.send(sender, messages.RegistryConfirm(id=0))

    def _link_changed(self, address: str, hello: messages.Hello | None) -> None:
        if hello is not None and hello.role == CONTROL:
            self._links.send(address, messages.RegistryPull())

    def _compare(self) -> None:
        """Ask the next peer for all that it knows."""
        peers = sorted(self._groups.peers())
        if peers:
            following = [peer for peer in peers if peer > self._compared_with]
            self._compared_with = (following or peers)[0]
            self._links.send(self._compared_with, messages.RegistryPull())

    def _pull(self, peer: str, now: float) -> None:
        if now - self._pulled_at.get(peer, -PULL_PAUSE_MS) >= PULL_PAUSE_MS:
            self._pulled_at[peer] = now
            self._links.send(peer, messages.RegistryPull())

    # Settling, renewals, silence

    def _settle(self, now: float) -> None:
        waited = now - self._started_at
        if waited >= SETTLED_HEARTBEATS * self._settings.heartbeat_ms + SETTLED_SLACK_MS:
            self._now_settled()

    def _now_settled(self) -> None:
        if self._settled or not self._final.loaded:
            return
        self._settled = True
        for handler in self.on_settled:
            handler()

    def _send_renewals(self) -> None:
        pending, self._renewals = self._renewals, {}
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
        overdue = self._silence.overdue(self._groups.owned(), now)
        silent = self.registry.overdue(overdue.shards, overdue.last_heartbeat_before)
        self._tell_silence([self.registry.mark_silent(instance_id, now) for instance_id in silent])

    def _tell_silence(self, silent: list[InstanceRecord]) -> None:
        if not silent:
            return
        log.info("servers silent: ids=%s", ",".join(record.id for record in silent))
        self._publish(silent)
        update = messages.RegistryUpdate(records=to_messages(silent))
        for peer in self._groups.peers():
            self._links.send(peer, update)

    def _forget(self, now: float) -> None:
        shards = self.registry.expire(now)
        for instance_id in [i for i in self._held if i not in self.registry.entries]:
            del self._held[instance_id]
        self._unconfirmed.intersection_update(self.registry.entries)
        self._final.forget(self.registry.entries)
        for shard in shards:
            for handler in self.on_change:
                handler(shard, [])

    # Helpers

    def _final_records(self) -> list[InstanceRecord]:
        now = self._now()
        return [entry.record(now) for entry in self.registry.entries.values() if entry.finality > 0]

    def _publish(self, records: list[InstanceRecord]) -> None:
        shards: dict[int, list[InstanceRecord]] = {}
        for record in records:
            shards.setdefault(shard_of(record.service), []).append(record)
        for shard, changed in shards.items():
            for handler in self.on_change:
                handler(shard, changed)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
