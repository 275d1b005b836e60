"""An emulated application server: slots, a short queue, and rejection once both are full."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from testbed.engines.clock import Clock


@dataclass(slots=True)
class PlainFigures:
    """Places of a server."""

    slots: int = 6
    queue: int = 24


@dataclass(slots=True)
class PlainJob:
    """One request; `on_done` is called when it is answered."""

    work_ms: float
    on_done: Callable[[], None]
    ended: bool = False


class PlainServer:
    """One application server."""

    def __init__(self, clock: Clock, figures: PlainFigures) -> None:
        self.figures = figures
        self.alive = True
        self.rejected = 0
        self._clock = clock
        self._running = 0
        self._waiting: deque[PlainJob] = deque()

    def submit(self, job: PlainJob) -> bool:
        """Take a request; False when it is turned away."""
        if self._running < self.figures.slots:
            self._start(job)
            return True
        if len(self._waiting) >= self.figures.queue:
            self.rejected += 1
            return False
        self._waiting.append(job)
        return True

    def load(self) -> int:
        """Requests at work and waiting."""
        return self._running + len(self._waiting)

    def crash(self) -> None:
        """End without a word."""
        self.alive = False

    def _start(self, job: PlainJob) -> None:
        self._running += 1
        self._clock.after(job.work_ms, lambda: self._done(job))

    def _done(self, job: PlainJob) -> None:
        self._running -= 1
        if not self.alive:
            return
        if not job.ended:
            job.ended = True
            job.on_done()
        while self._waiting and self._running < self.figures.slots:
            waiting = self._waiting.popleft()
            if not waiting.ended:
                self._start(waiting)
