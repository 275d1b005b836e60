"""Stores DRAINING and GONE records of servers, so that they survive a restart of all control processes.

Writes go through the storage writer, one at a time; records that arrive during a write form the next batch.
A snapshot says whether the process lacked records when it was written: a store that was lost, and is used
again, does not look like one that has everything.
"""

import asyncio
import logging
from collections.abc import Callable, Container

from barleybarrow.replication.records import FINALITY, InstanceRecord
from brackenusher.cluster import messages
from brackenusher.cluster.records import from_message, from_messages, to_message, to_messages
from brackenusher.storage.slot_store import SlotStore, StorageError
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

MAX_LOG_RECORDS = 512  # about 100 KB; a longer log is replaced by a snapshot
READ_RETRY_INTERVAL_S = 0.2  # after a failed read: a disk usually recovers within seconds


class FinalRecords:
    """DRAINING and GONE records on disk; in a process without a disk, calls succeed and nothing is stored."""

    def __init__(
        self,
        store: SlotStore | None,
        writer: StorageWriter | None,
        all_records: Callable[[], list[InstanceRecord]],
    ) -> None:
        self._store = store
        self._writer = writer
        self._all_records = all_records
        self._write_queue: list[tuple[InstanceRecord, asyncio.Future[bool]]] = []
        self._persisted_finality: dict[str, int] = {}  # by id: finality that is on disk
        self._log_record_count = MAX_LOG_RECORDS  # the first write is a snapshot
        self._write_task: asyncio.Task[None] | None = None
        self.write_failed = False  # some records were not written: `persist_all` is to be called again
        self.intact = False  # the store was read, and has all that this process ever confirmed
        self._complete = False  # what the next snapshot says of itself, and the stored one if none is due
        self._snapshot_due = False
        self._loaded = asyncio.Event()  # a write before loading would replace records that were not read

    @property
    def loaded(self) -> bool:
        """Whether the records of earlier runs are loaded."""
        return self._loaded.is_set()

    async def load(self, first_start: bool) -> list[InstanceRecord]:
        """The records of earlier runs; retries until the disk can be read. Writes wait for it.

        `first_start`: an empty store has lost nothing, as the whole fleet starts for the first time.
        """
        records = await self._read(first_start)
        for record in records:
            self._mark_persisted(record)
        self._loaded.set()
        return records

    async def _read(self, first_start: bool) -> list[InstanceRecord]:
        store, writer = self._store, self._writer
        if store is None or writer is None:
            self.intact = first_start
            return []
        while True:
            try:
                loaded = await writer.submit(store.load)
                break
            except StorageError as error:
                log.error("drains can't be read from disk yet: error=%s", error)
                await asyncio.sleep(READ_RETRY_INTERVAL_S)
        records: list[InstanceRecord] = []
        if loaded.snapshot is None:
            self.intact = first_start and not loaded.damaged
        else:
            snapshot = messages.RegistryUpdate().parse(loaded.snapshot)
            self.intact = snapshot.coverage != messages.Coverage.INCOMPLETE
            records += from_messages(snapshot.records)
            self._complete = self._complete or self.intact
        records += [from_message(messages.InstanceRecord().parse(data)) for data in loaded.records]
        if loaded.snapshot is not None:
            self._log_record_count = len(loaded.records)
        return records

    def expire(self, known_ids: Container[str]) -> None:
        """Drop ids that have expired from the registry; the next snapshot omits them."""
        for instance_id in [i for i in self._persisted_finality if i not in known_ids]:
            del self._persisted_finality[instance_id]

    async def persist(self, record: InstanceRecord) -> bool:
        """Write a record to disk; False if the write failed."""
        if self._store is None or self._writer is None:
            return True
        if self._persisted_finality.get(record.id, 0) >= FINALITY[record.state]:
            return True
        persisted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._write_queue.append((record, persisted))
        self._start_writing()
        return await persisted

    def mark_complete(self) -> None:
        """Note on disk that the store lacks no record: from now on an empty one means that it was lost."""
        if self._complete or self._store is None:
            return
        self._complete = self._snapshot_due = True
        self._start_writing()

    def _start_writing(self) -> None:
        if self._write_task is None or self._write_task.done():
            self._write_task = asyncio.create_task(self._write())

    async def persist_all(self) -> None:
        """Write all records that are not on disk, after a failed write."""
        self.write_failed = False
        self._start_writing()
        await asyncio.gather(*(self.persist(record) for record in self._all_records()))

    async def _write(self) -> None:
        await self._loaded.wait()
        while self._write_queue or (self._snapshot_due and not self.write_failed):
            batch, self._write_queue = self._write_queue, []
            written = await self._append([bytes(to_message(record)) for record, _ in batch])
            self.write_failed = self.write_failed or not written
            for record, persisted in batch:
                if written:
                    self._mark_persisted(record)
                if not persisted.done():
                    persisted.set_result(written)

    def _mark_persisted(self, record: InstanceRecord) -> None:
        self._persisted_finality[record.id] = max(
            FINALITY[record.state], self._persisted_finality.get(record.id, 0)
        )

    async def _append(self, payloads: list[bytes]) -> bool:
        assert self._store is not None and self._writer is not None
        store = self._store
        try:
            if self._snapshot_due or self._log_record_count + len(payloads) > MAX_LOG_RECORDS:
                await self._replace(store, self._writer)
            else:
                await self._writer.submit(lambda: store.append(payloads))
                self._log_record_count += len(payloads)
        except StorageError as error:  # the change is not confirmed, and the next attempt writes it again
            log.warning("drains are not kept on disk: error=%s", error)
            return False
        return True

    async def _replace(self, store: SlotStore, writer: StorageWriter) -> None:
        """Write a snapshot of all records. Raises StorageError."""
        coverage = messages.Coverage.COMPLETE if self._complete else messages.Coverage.INCOMPLETE
        snapshot = bytes(messages.RegistryUpdate(records=to_messages(self._all_records()), coverage=coverage))
        self._snapshot_due = False  # `mark_complete` may set it again meanwhile
        try:
            await writer.submit(lambda: store.replace(snapshot))
        except StorageError:
            self._snapshot_due = True
            raise
        self._log_record_count = 0
