"""The stages of the process, and the effect of requests to drain, resume and shut down in each.

It is told the time, in milliseconds on one monotonic clock, and does no I/O. The last stage is planned by
`graceful_shutdown`. The next stage, by stage and request ("no": refused):

    stage            drain       resume    shut down        later
    STARTING         DRAINING    READY     SHUTTING_DOWN    READY when it serves
    READY            DRAINING    READY     SHUTTING_DOWN
    DRAINING         DRAINING    READY     SHUTTING_DOWN    DRAINED when complete
    DRAINED          DRAINED     READY     SHUTTING_DOWN
    SHUTTING_DOWN    no          no        SHUTTING_DOWN

A drain has two parts. For `MAX_ACCEPT_MS`, new connections still arrive and all is served as usual. From then
on each answer closes its connection. Idle connections are closed only after `IDLE_CLOSE_DELAY_MS`, so that
most connections end with an answer and no request crosses a close. A drain refuses no request.
"""

from enum import Enum

from barleybarrow.graceful_shutdown import MAX_ACCEPT_MS

IDLE_CLOSE_DELAY_MS = 1500.0  # after the drain request; all must be closed by 4 s
DRAIN_SETTLED_MS = 4000.0  # after the drain request the front proxy considers the drain complete


class Stage(Enum):
    """A stage of the process."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    SHUTTING_DOWN = "ending"

    @property
    def draining_or_drained(self) -> bool:
        """Whether a drain is under way or done."""
        return self in (Stage.DRAINING, Stage.DRAINED)


class Lifecycle:
    """The current stage of the process, initially STARTING."""

    def __init__(self) -> None:
        self.stage = Stage.STARTING
        self.drain_started_at, self.drain_count = (
            0.0,
            0,
        )  # time of the last drain request; number of drains

    @property
    def ready(self) -> bool:
        """Whether the process reports itself ready, so that clients choose it."""
        return self.stage is Stage.READY

    def on_serving(self) -> None:
        """The process has begun to serve; an earlier drain stays in force."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.READY

    def drain(self, now: float) -> bool:
        """Request a drain; False if shutdown has begun. A drain already under way is not restarted."""
        if self.stage in (Stage.STARTING, Stage.READY):
            self.stage, self.drain_started_at, self.drain_count = Stage.DRAINING, now, self.drain_count + 1
        return self.stage is not Stage.SHUTTING_DOWN

    def resume(self) -> bool:
        """Request an end of the drain; False if shutdown has begun."""
        if self.stage is not Stage.SHUTTING_DOWN:
            self.stage = Stage.READY
        return self.stage is not Stage.SHUTTING_DOWN

    def begin_shutdown(self) -> None:
        """The stop signal has arrived."""
        self.stage = Stage.SHUTTING_DOWN

    def update(self, now: float, clients: int) -> Stage:
        """Return the current stage, given the number of client connections left.

        A drain is complete once no client is connected, but not before idle connections are due to be closed,
        or `DRAIN_SETTLED_MS` after its request.
        """
        if self.stage is Stage.DRAINING:
            elapsed = now - self.drain_started_at
            if elapsed >= DRAIN_SETTLED_MS or elapsed >= IDLE_CLOSE_DELAY_MS and not clients:
                self.stage = Stage.DRAINED
        return self.stage

    def closes_after_answer(self, now: float) -> bool:
        """Whether each answer is to close its client's connection."""
        return self.stage.draining_or_drained and now >= self.drain_started_at + MAX_ACCEPT_MS

    def closes_idle(self, now: float) -> bool:
        """Whether idle client connections are to be closed."""
        return self.stage.draining_or_drained and now >= self.drain_started_at + IDLE_CLOSE_DELAY_MS
