"""The stages of the process, and what a call to drain, to resume or to end does in each.

It decides and does no I/O; it is told the time, in milliseconds on one monotonic clock. What comes within the
last stage is planned by `graceful_shutdown`. A stage and a call give the next stage, or no:

    stage       drain      resume   end      in time
    STARTING    DRAINING   READY    ENDING   READY once it serves
    READY       DRAINING   READY    ENDING
    DRAINING    DRAINING   READY    ENDING   DRAINED once no client is connected, or SETTLED after the call
    DRAINED     DRAINED    READY    ENDING
    ENDING      no         no       ENDING

A drain has two parts. Until the door's time is over, new connections come still, and all is served as ever.
From then on each answer is to end its connection; connections that stand between requests are closed when
`IDLE_FROM` is over, so that most end with an answer and no request crosses a close. None is refused for it.
"""

from enum import Enum

from barleybarrow.graceful_shutdown import DOOR

IDLE_FROM = 1500.0  # ms after the call: then connections between requests are closed; at 4 s none may stand
SETTLED = 4000.0  # ms after the call in which the front takes the drain for done


class Stage(Enum):
    """Where the process is in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    ENDING = "ending"

    @property
    def away(self) -> bool:
        """Whether a drain is under way or done."""
        return self in (Stage.DRAINING, Stage.DRAINED)


class Lifecycle:
    """The stage of one process, its first being STARTING."""

    def __init__(self) -> None:
        self.stage = Stage.STARTING
        self.drained_from, self.drains = (
            0.0,
            0,
        )  # when the last drain was asked for; drains so far

    @property
    def ready(self) -> bool:
        """Whether clients that may choose are to come here."""
        return self.stage is Stage.READY

    def serves(self) -> None:
        """The process serves; where it was drained before, it stays so."""
        if self.stage is Stage.STARTING:
            self.stage = Stage.READY

    def drain(self, now: float) -> bool:
        """Take a call to drain; False where the end has begun. A drain that is under way goes on as it is."""
        if self.stage in (Stage.STARTING, Stage.READY):
            self.stage, self.drained_from, self.drains = Stage.DRAINING, now, self.drains + 1
        return self.stage is not Stage.ENDING

    def resume(self) -> bool:
        """Take a call to resume; False where the end has begun."""
        if self.stage is not Stage.ENDING:
            self.stage = Stage.READY
        return self.stage is not Stage.ENDING

    def end(self) -> None:
        """The word to stop has come."""
        self.stage = Stage.ENDING

    def step(self, now: float, clients: int) -> Stage:
        """Say in which stage the process is now, with so many client connections left."""
        if self.stage is Stage.DRAINING:
            span = now - self.drained_from
            if span >= SETTLED or span >= IDLE_FROM and not clients:
                self.stage = Stage.DRAINED
        return self.stage

    def answers_end(self, now: float) -> bool:
        """Whether each answer is to end its client's connection."""
        return self.stage.away and now >= self.drained_from + DOOR

    def idle_end(self, now: float) -> bool:
        """Whether connections between requests are to be closed."""
        return self.stage.away and now >= self.drained_from + IDLE_FROM
