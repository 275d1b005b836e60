"""Detection of silent servers by the owner of a shard. No I/O; times are in milliseconds.

A server is silent after several missed heartbeats. Heartbeats that this process could not have received do
not count as missed: those from before it owned the shard, and those from while the process was stalled.
"""

from collections.abc import Container
from dataclasses import dataclass

from barleybarrow.replication.rendezvous import SHARD_COUNT

MISSED_HEARTBEATS = 3
HEARTBEAT_SLACK_MS = 700.0  # a heartbeat may take a second to arrive, and its renewal is batched
STALL_THRESHOLD_MS = 1500.0  # a longer gap between two ticks means that this process was stalled


def silence_timeout_ms(heartbeat_ms: float) -> float:
    """Time without a heartbeat after which a server is silent."""
    return MISSED_HEARTBEATS * heartbeat_ms + HEARTBEAT_SLACK_MS


@dataclass(slots=True, frozen=True)
class OverdueCriteria:
    """Selects the servers to mark as silent: those of these shards without a heartbeat since a time."""

    shards: Container[int]
    last_heartbeat_before: float


class SilenceDetector:
    """Tracks since when one process could have received the heartbeats of the shards that it owns."""

    def __init__(self, heartbeat_ms: float, now: float) -> None:
        self.owned: set[int] = set()
        self._timeout_ms = silence_timeout_ms(heartbeat_ms)
        self._owned_since = [now] * SHARD_COUNT
        self._ticked_at = now

    def tick(self, now: float) -> None:
        """Detect stalls of this process; called several times a second."""
        if now - self._ticked_at > STALL_THRESHOLD_MS:
            self._owned_since = [now] * SHARD_COUNT
        self._ticked_at = now

    def overdue(self, owned: set[int], now: float) -> OverdueCriteria:
        """Which servers are overdue, given the shards that this process owns now."""
        for shard in owned - self.owned:
            self._owned_since[shard] = now
        self.owned = owned
        observed_shards = {shard for shard in owned if now - self._owned_since[shard] >= self._timeout_ms}
        return OverdueCriteria(observed_shards, now - self._timeout_ms)
