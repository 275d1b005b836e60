"""Delays of messages, and the random streams that everything by chance is drawn from.

Each concern has a stream of its own, so that a policy that sends more does not change who asks for what, and
two policies can be compared run by run (common random numbers: Law and Kelton, Simulation Modeling, ch. 11).
"""

from collections.abc import Callable, Iterator

import numpy as np

from testbed import scenario as config

BLOCK = 8192  # numbers drawn at once: the call into numpy then costs next to nothing for each
STREAMS = (
    "arrivals",
    "work",
    "clients",
    "faults",
    "fleet",
    "network",
    "servers",
    "discovery",
    "again",
    "clocks",
    "noise",
)


def stream(seed: int, name: str) -> np.random.Generator:
    """The random numbers of one concern; the same for the same seed, whatever the others draw."""
    return np.random.Generator(
        np.random.PCG64(np.random.SeedSequence(seed, spawn_key=(STREAMS.index(name),)))
    )


def uniforms(source: np.random.Generator) -> Iterator[float]:
    """Numbers in [0, 1) without end, drawn in blocks."""
    while True:
        yield from source.random(BLOCK).tolist()


def normals(source: np.random.Generator) -> Iterator[float]:
    """Standard normal numbers without end."""
    while True:
        yield from source.standard_normal(1024).tolist()


class Network:
    """How long a message takes, in integer microseconds, by where its ends are."""

    def __init__(self, conf: config.Network, seed: int) -> None:
        self.draw: Callable[[], float] = uniforms(stream(seed, "network")).__next__
        self.same, self.cross = conf.same_ms * 1000.0, conf.cross_ms * 1000.0
        self.client = conf.client_ms * 1000.0
        self.jitter, self.loss, self.again = conf.jitter, conf.loss, int(conf.retransmit_ms * 1000.0)

    def delay(self, here: int, there: int) -> int:
        """One way, between two zones."""
        u = self.draw()
        usual = self.same if here == there else self.cross
        span = int(usual * (1.0 + self.jitter * (2.0 * u - 1.0)))
        if self.loss and self.draw() < self.loss:
            span += self.again
        return span

    def to_client(self) -> int:
        return int(self.client * (1.0 + self.jitter * (2.0 * self.draw() - 1.0)))
