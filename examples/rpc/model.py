"""How a stand-in turn server behaves: told the time, it says what becomes of a request. No clock, no socket.

The same model stands behind HTTP and gRPC (`standins.py`), and in virtual time in the tests.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heapreplace

SERVED, FAILED, DECLINED, SILENT = "served", "failed", "declined", "silent"


@dataclass(frozen=True)
class Trouble:
    """What is wrong with a server between two times, in milliseconds."""

    begin: float
    end: float
    slow: float = 1.0  # work takes so many times as long
    fail: float = 0.0  # this share of requests fails at once
    silent: bool = False  # takes requests and answers none


@dataclass
class Model:
    """A server of some cores and a short queue; times in milliseconds.

    `work`: from and to, by class, drawn evenly. `queue`: how many may wait beside those at work.
    """

    work: dict[str, tuple[float, float]]
    seed: int = 1
    cores: int = 2
    queue: int = 4
    troubles: Iterable[Trouble] = ()
    asked: int = 0
    free_at: list[float] = field(default_factory=list)  # when each core is done; a heap
    ends: list[float] = field(default_factory=list)  # of what is here

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.free_at = [0.0] * self.cores

    def ask(self, now: float, klass: str) -> tuple[str, float]:
        """What becomes of a request that comes whole at a time, and when that is said."""
        self.asked += 1
        trouble = next((t for t in self.troubles if t.begin <= now < t.end), Trouble(0.0, 0.0))
        low, high = self.work[klass]
        span = low + (high - low) * self.rng.random()
        if trouble.silent:
            return SILENT, float("inf")
        if self.rng.random() < trouble.fail:
            return FAILED, now + 1.0
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= self.cores + self.queue:
            return DECLINED, now + 0.5
        end = max(now, self.free_at[0]) + span * trouble.slow
        heapreplace(self.free_at, end)
        self.ends.append(end)
        return SERVED, end
