"""Connects the limits' acceptor and credit server in a control process to links and disk.

An acceptor with a disk stores the roster of proxies and its promise of the lease before it replies. The
limits thus recover at once after all acceptors were killed, with the same credit server.
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

LIMITS_STORE = "limits"  # name of the store in the data directory
RETRY_INTERVAL_S = 1.0  # after a failed read or write


class SharesDriver(LimitsDriver):
    """Runs a `Limits` protocol with `is_proxy=False`; configurations are passed to `Limits.configure`."""

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
        """As `LimitsDriver.start`, once the store is loaded; an acceptor must not act before that."""
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
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.limits.restore(self.now(), loaded.snapshot)
        super().start()

    def _process_output(self) -> None:
        super()._process_output()
        self._write_pending()

    def _write_pending(self) -> None:
        """Start the pending write, if no other is in progress."""
        pending = self.limits.to_store() if self.store is not None and not self._writing else None
        if pending is None or self.store is None or self.writer is None or not self._running:
            return
        self._writing = True
        revision, snapshot = pending
        store = self.store
        done = self.writer.submit(lambda: store.replace(snapshot))
        done.add_done_callback(lambda future: self._on_stored(revision, future))

    def _on_stored(self, revision: int, done: "asyncio.Future[None]") -> None:
        self._writing = False
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.limits.on_stored(self.now(), revision)
            self._process_output()
        else:
            log.warning("roster of the limits not stored: error=%s", error)
            asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._write_pending)
