"""Stores the writes of a `ConfigNode` on the storage thread, one at a time, and retries failed writes."""

import asyncio
import logging
from collections.abc import Callable

from barleybarrow.consensus.config_node import Work
from barleybarrow.consensus.durable_state import DurableState, DurableStateError, decode_state
from brackenusher.storage.slot_store import SlotStore, StorageError
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.2  # after a failed write: a full disk usually has space again within seconds
# A leader with a slower write transfers the leadership; a sync takes 1 ms, 25 ms on a slow disk.
STALL_TIMEOUT_S = 0.35


class ConfigStorage:
    """The store of one replica; `store` is None in a process without a disk: writes complete at once."""

    def __init__(
        self, store: SlotStore | None, writer: StorageWriter | None, on_trouble: Callable[[], None]
    ) -> None:
        self._store, self._writer = store, writer
        self._on_trouble = on_trouble
        self._loop = asyncio.get_running_loop()
        self._failures = 0
        self._closed = False

    async def load(self) -> DurableState | None:
        """The stored state; None if there is none or it is damaged."""
        store, writer = self._store, self._writer
        if store is None or writer is None:
            return None
        while True:
            try:
                loaded = await writer.submit(store.load)
                break
            except StorageError as error:
                log.warning("configuration store can't be read yet: %s", error)
                await asyncio.sleep(RETRY_INTERVAL_S)
        if loaded.snapshot is None:
            if loaded.damaged:
                log.error("configuration store is damaged: starting without it, no vote until caught up")
            return None
        try:
            return decode_state(loaded.snapshot, loaded.records)
        except DurableStateError as error:
            log.error("configuration store can't be used: %s; no vote until caught up", error)
            return None

    def persist(self, work: Work, callback: Callable[[], None]) -> None:
        """Make the writes durable, then call back; retries until they are."""
        store, writer = self._store, self._writer
        if store is None or writer is None or not work.has_writes:
            callback()
            return
        image, records = work.image, work.records
        action = (lambda: store.append(records)) if image is None else (lambda: store.replace(image))
        stall_timer = self._loop.call_later(STALL_TIMEOUT_S, self._on_trouble)
        future = writer.submit(action)

        def on_done(done: "asyncio.Future[None]") -> None:
            stall_timer.cancel()
            if self._closed or done.cancelled():
                return
            error = done.exception()
            if error is None:
                self._failures = 0
                callback()
            else:
                self._on_write_error(error, work, callback)

        future.add_done_callback(on_done)

    def _on_write_error(self, error: BaseException, work: Work, callback: Callable[[], None]) -> None:
        if not self._failures:
            log.error("configuration store refused a write, trying again: %s", error)
        self._failures += 1
        self._on_trouble()
        self._loop.call_later(RETRY_INTERVAL_S, self._retry, work, callback)

    def _retry(self, work: Work, callback: Callable[[], None]) -> None:
        if not self._closed:
            self.persist(work, callback)

    @property
    def is_refusing_writes(self) -> bool:
        """Whether the last write failed."""
        return self._failures > 0

    def close(self) -> None:
        """Make no more callbacks."""
        self._closed = True
