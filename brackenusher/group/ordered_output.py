"""Processes the output of state machines in order: each is stored before it is sent, one at a time.

A driver that passes each `Ready` through here cannot send messages before the state behind them is durable.
"""

import logging
from collections.abc import Callable
from functools import partial
from typing import Generic, TypeVar

from brackenusher.group.database import Worker
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import EventLoop, clock

log = logging.getLogger(__name__)

STORE_RETRY_INTERVAL_MS = 1000.0  # after a failed write

ReadyT = TypeVar("ReadyT")


class OrderedOutput(Generic[ReadyT]):
    """Calls `store` on the store's thread, then `on_stored` on the event loop's thread once that is durable.

    Meanwhile the state machine collects its further output, so that a slow disk causes no queue here.
    """

    def __init__(
        self,
        loop: EventLoop,
        worker: Worker | None,
        needs_storing: Callable[[ReadyT], bool],
        store: Callable[[ReadyT], None],
        on_stored: Callable[[ReadyT], None],
        subsystem: str,
    ) -> None:
        self.loop, self.worker, self.needs_storing, self.store, self.on_stored = (
            loop,
            worker,
            needs_storing,
            store,
            on_stored,
        )
        self.subsystem = subsystem
        self.in_progress: ReadyT | None = None
        self.disk_failing = False

    @property
    def idle(self) -> bool:
        return self.in_progress is None

    def put(self, ready: ReadyT) -> None:
        self.in_progress = ready
        self.start()

    def start(self) -> None:
        ready = self.in_progress
        assert ready is not None
        if self.worker is not None and self.needs_storing(ready):
            self.worker.submit(partial(self.store, ready), self.on_store_result)
        else:
            self.complete()

    def on_store_result(self, why: str) -> None:
        if not why:
            if self.disk_failing:
                self.disk_failing = False
                text = "%(what)s: the disk takes what is stored again"
                log_event(log, logging.INFO, "store_back", text, what=self.subsystem)
            self.complete()
            return
        if not self.disk_failing:
            self.disk_failing = True
            text = "%(what)s: the disk fails (%(why)s): no promise through this proxy; it goes on serving"
            log_event(log, logging.ERROR, "store_failed", text, what=self.subsystem, why=why)
        self.loop.timers.add(clock() + STORE_RETRY_INTERVAL_MS, self.start)

    def complete(self) -> None:
        ready, self.in_progress = self.in_progress, None
        assert ready is not None
        self.on_stored(ready)
