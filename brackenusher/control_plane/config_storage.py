"""Stores the works of a `ConfigNode` on the storage thread, one at a time, and tries again where the
disk refuses.
"""

import asyncio
import logging
from collections.abc import Callable

from barleybarrow.consensus.config_node import Work
from barleybarrow.consensus.durable_state import DurableState, DurableStateError, decode_state
from brackenusher.storage.slot_store import SlotStore, StorageError
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

RETRY_S = 0.2  # after a refusal: a full disk is given room again within seconds
STALL_S = 0.35  # a leader whose disk takes longer gives the lead away; syncs take 1 ms, 25 ms on a slow disk


class ConfigStorage:
    """The store of one replica; `store` is None where the process has no disk: works are done at once."""

    def __init__(
        self, store: SlotStore | None, writer: StorageWriter | None, in_trouble: Callable[[], None]
    ) -> None:
        self._store, self._writer = store, writer
        self._in_trouble = in_trouble
        self._loop = asyncio.get_running_loop()
        self._failures = 0
        self._closed = False

    async def load(self) -> DurableState | None:
        """What was kept; None where there is nothing that can be relied on."""
        store, writer = self._store, self._writer
        if store is None or writer is None:
            return None
        while True:
            try:
                loaded = await writer.submit(store.load)
                break
            except StorageError as error:
                log.warning("configuration store can't be read yet: %s", error)
                await asyncio.sleep(RETRY_S)
        if loaded.snapshot is None:
            if loaded.damaged:
                log.error("configuration store is damaged: starting without it, no vote before it caught up")
            return None
        try:
            return decode_state(loaded.snapshot, loaded.records)
        except DurableStateError as error:
            log.error("configuration store can't be used: %s; no vote before it caught up", error)
            return None

    def keep(self, work: Work, then: Callable[[], None]) -> None:
        """Make a work durable, then call back; tries until it is."""
        store, writer = self._store, self._writer
        if store is None or writer is None or not work.has_writes:
            then()
            return
        image, records = work.image, work.records
        action = (lambda: store.append(records)) if image is None else (lambda: store.replace(image))
        stalled = self._loop.call_later(STALL_S, self._in_trouble)
        future = writer.submit(action)

        def finished(done: "asyncio.Future[None]") -> None:
            stalled.cancel()
            if self._closed or done.cancelled():
                return
            error = done.exception()
            if error is None:
                self._failures = 0
                then()
            else:
                self._refused(error, work, then)

        future.add_done_callback(finished)

    def _refused(self, error: BaseException, work: Work, then: Callable[[], None]) -> None:
        if not self._failures:
            log.error("configuration store refused a write, trying again: %s", error)
        self._failures += 1
        self._in_trouble()
        self._loop.call_later(RETRY_S, self._again, work, then)

    def _again(self, work: Work, then: Callable[[], None]) -> None:
        if not self._closed:
            self.keep(work, then)

    @property
    def refusing(self) -> bool:
        """Whether the last write was refused."""
        return self._failures > 0

    def close(self) -> None:
        """Call nobody back any more."""
        self._closed = True
