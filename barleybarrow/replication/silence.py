"""When the owner of a shard may call a server silent. No I/O; times are milliseconds.

A server is silent after a few missed heartbeats. Those that this process could not have heard do not count:
heartbeats from before it owned the shard, and from while it stood still.
"""

from collections.abc import Container
from dataclasses import dataclass

from barleybarrow.replication.rendezvous import SHARDS

MISSED_HEARTBEATS = 3
SLACK_MS = 700.0  # a heartbeat has a second to arrive, and its renewal waits for a batch
FROZEN_MS = 1500.0  # between two ticks: this process stood still


@dataclass(slots=True, frozen=True)
class Overdue:
    """Which servers are to be called silent: those of these shards that were not heard since a moment."""

    shards: Container[int]
    heard_before: float


class SilenceWatch:
    """The patience of one process with the servers of the shards that it owns."""

    def __init__(self, heartbeat_ms: float, now: float) -> None:
        self.owned: set[int] = set()
        self._patience = MISSED_HEARTBEATS * heartbeat_ms + SLACK_MS
        self._owned_since = [now] * SHARDS
        self._ticked_at = now

    def ticked(self, now: float) -> None:
        """Time passes; to be told several times a second."""
        if now - self._ticked_at > FROZEN_MS:
            self._owned_since = [now] * SHARDS
        self._ticked_at = now

    def overdue(self, owned: set[int], now: float) -> Overdue:
        """What is overdue, given the shards that this process owns now."""
        for shard in owned - self.owned:
            self._owned_since[shard] = now
        self.owned = owned
        patient = {shard for shard in owned if now - self._owned_since[shard] >= self._patience}
        return Overdue(patient, now - self._patience)
