"""Connects a control process's part in the limits (acceptor or credit server) to links and disk.

An acceptor with a disk stores the roster of proxies, and whom it has promised the lease to, before it says
so: then the limits are whole again at once after all acceptors were killed, with the same credit server.
"""

import asyncio
import logging
from collections.abc import Callable

from barleybarrow.limits.limits import Limits
from brackenusher.cluster.limits_driver import LimitsDriver
from brackenusher.cluster.links import Links
from brackenusher.storage.files import StorageError
from brackenusher.storage.slot_store import SlotStore
from brackenusher.storage.writer import StorageWriter

log = logging.getLogger(__name__)

LIMITS_STORE = "limits"  # name of the store in the data folder
RETRY_PAUSE_S = 1.0  # after a call that the disk refused


class SharesDriver(LimitsDriver):
    """Runs a `Limits` machine with `is_proxy=False`; configurations come by `Limits.configure`."""

    def __init__(
        self,
        limits: Limits,
        links: Links,
        now: Callable[[], float],
        store: SlotStore | None = None,
        writer: StorageWriter | None = None,
    ) -> None:
        super().__init__(limits, links, now)
        self.store, self.writer = store, writer
        self._writing = False
        self._loading: asyncio.Task[None] | None = None

    def start(self) -> None:
        """As `LimitsDriver.start`, once what was stored is loaded; an acceptor that can't read what it has
        promised takes no part.
        """
        if self.store is None or self.writer is None:
            super().start()
        else:
            self._loading = asyncio.get_running_loop().create_task(self._load(self.store, self.writer))

    def stop(self, released: bool = False) -> None:
        """As `LimitsDriver.stop`."""
        if self._loading is not None:
            self._loading.cancel()
        super().stop(released)

    async def _load(self, store: SlotStore, writer: StorageWriter) -> None:
        while True:
            try:
                loaded = await writer.submit(store.load)
                break
            except StorageError as error:
                log.warning("roster of the limits not read yet: error=%s", error)
                await asyncio.sleep(RETRY_PAUSE_S)
        self.limits.restore(self.now(), loaded.snapshot)
        super().start()

    def _process_output(self) -> None:
        super()._process_output()
        self._store()

    def _store(self) -> None:
        """Store what waits to be stored, one write at a time."""
        waiting = self.limits.to_store() if self.store is not None and not self._writing else None
        if waiting is None or self.store is None or self.writer is None or not self._running:
            return
        self._writing = True
        revision, kept = waiting
        store = self.store
        done = self.writer.submit(lambda: store.replace(kept))
        done.add_done_callback(lambda future: self._stored(revision, future))

    def _stored(self, revision: int, done: "asyncio.Future[None]") -> None:
        self._writing = False
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.limits.on_stored(self.now(), revision)
            self._process_output()
        else:
            log.warning("roster of the limits not stored: error=%s", error)
            asyncio.get_running_loop().call_later(RETRY_PAUSE_S, self._store)
