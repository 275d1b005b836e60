"""Keeps drains and ends of servers on disk, so that a restart of all control processes forgets none.

Writes go through the storage writer, one at a time; what comes meanwhile is written together by the next.
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

MAX_LOG_RECORDS = 512  # about 100 KB; then the log is replaced by a snapshot
READ_AGAIN_S = 0.2  # after a disk refused to be read: it comes back within seconds


class FinalRecords:
    """Drains and ends on the disk of this process; without a disk nothing is kept and all calls succeed."""

    def __init__(
        self,
        store: SlotStore | None,
        writer: StorageWriter | None,
        all_records: Callable[[], list[InstanceRecord]],
    ) -> None:
        self._store = store
        self._writer = writer
        self._all_records = all_records
        self._waiting: list[tuple[InstanceRecord, asyncio.Future[bool]]] = []
        self._kept: dict[str, int] = {}  # finality that is on disk, by id
        self._in_log = MAX_LOG_RECORDS  # the first write is a snapshot
        self._task: asyncio.Task[None] | None = None
        self.refused = False  # the disk refused some of what was to be kept: it is to be written again
        self._loaded = asyncio.Event()  # before, a write would replace what was not read

    @property
    def loaded(self) -> bool:
        """Whether what an earlier start has kept is known."""
        return self._loaded.is_set()

    async def load(self) -> list[InstanceRecord]:
        """What an earlier start has kept; tries until the disk can be read. `keep` waits for it."""
        records = await self._read()
        for record in records:
            self._note(record)
        self._loaded.set()
        return records

    async def _read(self) -> list[InstanceRecord]:
        store, writer = self._store, self._writer
        if store is None or writer is None:
            return []
        while True:
            try:
                loaded = await writer.submit(store.load)
                break
            except StorageError as error:
                log.error("drains can't be read from disk yet: error=%s", error)
                await asyncio.sleep(READ_AGAIN_S)
        records: list[InstanceRecord] = []
        if loaded.snapshot is not None:
            records += from_messages(messages.RegistryUpdate().parse(loaded.snapshot).records)
        records += [from_message(messages.InstanceRecord().parse(data)) for data in loaded.records]
        if loaded.snapshot is not None:
            self._in_log = len(loaded.records)
        return records

    def forget(self, known: Container[str]) -> None:
        """Drop what is noted of ids that the registry has forgotten; the next snapshot leaves them out."""
        for instance_id in [i for i in self._kept if i not in known]:
            del self._kept[instance_id]

    async def keep(self, record: InstanceRecord) -> bool:
        """Write a record; False where the disk refused it."""
        if self._store is None or self._writer is None:
            return True
        if self._kept.get(record.id, 0) >= FINALITY[record.state]:
            return True
        kept: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append((record, kept))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write())
        return await kept

    async def keep_all(self) -> None:
        """Write whatever the disk refused before."""
        self.refused = False
        await asyncio.gather(*(self.keep(record) for record in self._all_records()))

    async def _write(self) -> None:
        await self._loaded.wait()
        while self._waiting:
            batch, self._waiting = self._waiting, []
            written = await self._append([bytes(to_message(record)) for record, _ in batch])
            self.refused = self.refused or not written
            for record, kept in batch:
                if written:
                    self._note(record)
                if not kept.done():
                    kept.set_result(written)

    def _note(self, record: InstanceRecord) -> None:
        self._kept[record.id] = max(FINALITY[record.state], self._kept.get(record.id, 0))

    async def _append(self, payloads: list[bytes]) -> bool:
        assert self._store is not None and self._writer is not None
        store = self._store
        try:
            if self._in_log + len(payloads) > MAX_LOG_RECORDS:
                snapshot = bytes(messages.RegistryUpdate(records=to_messages(self._all_records())))
                await self._writer.submit(lambda: store.replace(snapshot))
                self._in_log = 0
            else:
                await self._writer.submit(lambda: store.append(payloads))
                self._in_log += len(payloads)
        except (
            StorageError
        ) as error:  # full, gone or in trouble: not confirmed, and the next try writes again
            log.warning("drains are not kept on disk: error=%s", error)
            return False
        return True
