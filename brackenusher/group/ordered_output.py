"""What machines want done, in their order: stored first, sent then, one after the other.

A driver that hands each `Ready` here cannot send before what it rests on is on disk.
"""

import logging
from collections.abc import Callable
from functools import partial
from typing import Generic, TypeVar

from brackenusher.group.database import Worker
from brackenusher.runtime.log import log_event
from brackenusher.runtime.loop import EventLoop, clock

log = logging.getLogger(__name__)

STORE_AGAIN = 1000.0  # milliseconds after the disk has failed

R = TypeVar("R")


class OrderedOutput(Generic[R]):
    """One at a time: `keep` is called on the store's thread, `after` on the loop's once that is durable.

    While one is being stored its machine collects what comes next, so that a slow disk makes no queue here.
    """

    def __init__(
        self,
        loop: EventLoop,
        worker: Worker | None,
        needs: Callable[[R], bool],
        keep: Callable[[R], None],
        after: Callable[[R], None],
        what: str,
    ) -> None:
        self.loop, self.worker, self.needs, self.keep, self.after = loop, worker, needs, keep, after
        self.what = what
        self.busy: R | None = None
        self.outside = False  # the disk fails

    @property
    def idle(self) -> bool:
        return self.busy is None

    def put(self, ready: R) -> None:
        self.busy = ready
        self.go_on()

    def go_on(self) -> None:
        ready = self.busy
        assert ready is not None
        if self.worker is not None and self.needs(ready):
            self.worker.put(partial(self.keep, ready), self.kept_or_not)
        else:
            self.stored()

    def kept_or_not(self, why: str) -> None:
        if not why:
            if self.outside:
                self.outside = False
                text = "%(what)s: the disk takes what is stored again"
                log_event(log, logging.INFO, "store_back", text, what=self.what)
            self.stored()
            return
        if not self.outside:
            self.outside = True
            text = "%(what)s: the disk fails (%(why)s): no promise through this proxy; it goes on serving"
            log_event(log, logging.ERROR, "store_failed", text, what=self.what, why=why)
        self.loop.timers.add(clock() + STORE_AGAIN, self.go_on)

    def stored(self) -> None:
        ready, self.busy = self.busy, None
        assert ready is not None
        self.after(ready)
