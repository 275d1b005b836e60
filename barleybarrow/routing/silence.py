"""Detection of requests whose server has sent nothing for too long.

A server that hangs or is partitioned sends no error, so silence is the only sign. The threshold follows the
present latency of the service, so that no server counts as hung when all are slow. Times are milliseconds.
"""

from heapq import heappop, heappush
from math import inf

from barleybarrow.routing.actions import RequestId
from barleybarrow.routing.exchange import RequestState
from barleybarrow.routing.pool import ServerRecord, ServicePool

# Of the target latency without a first event: the request is late, but another server may still serve it.
SILENCE_TARGET_RATIO = 1.5
SILENCE_EXPECTED_RATIO = 4.0  # of the expected time plus the mean overhead: a busy server is not a hung one
SILENCE_GAP_RATIO = 3.0  # of the permitted gap between events: the stream is late by then
MIN_SILENCE_MS = 100.0  # shorter silences come from the network or from this process


class SilenceDetector:
    """Queue of active requests by the time at which to check for silence."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, RequestId, RequestState]] = []

    def watch(self, state: RequestState, pool: ServicePool) -> None:
        """Schedule the check of a request that was sent."""
        heappush(self._heap, (silence_deadline(state, pool), state.request.id, state))

    def take_due(self, now: float) -> list[RequestState]:
        """Remove and return the active requests that are due; those not silent are to be scheduled again."""
        due = []
        heap = self._heap
        while heap and heap[0][0] <= now:
            state = heappop(heap)[2]
            if state.server is not None:
                due.append(state)
        return due

    def next_check_at(self) -> float:
        """The time of the next check; drops requests that have ended."""
        heap = self._heap
        while heap and heap[0][2].server is None:
            heappop(heap)
        return heap[0][0] if heap else inf


def silence_deadline(state: RequestState, pool: ServicePool) -> float:
    """The time at which the server of a request counts as hung, by the present estimates."""
    server = state.server
    last_event_at = state.last_event_at if server is None else max(state.last_event_at, server.last_event_at)
    return last_event_at + max_silence_ms(state, pool)


def max_silence_ms(state: RequestState, pool: ServicePool) -> float:
    """How long the server of a request may send nothing before it counts as hung."""
    route = state.request.route
    if state.first_event_at is not None:
        gap_ms = route.gap_aim_ms or route.target_latency_ms
        return max(MIN_SILENCE_MS, SILENCE_GAP_RATIO * gap_ms)
    expected_ms = state.expected_first_event_ms + max(0.0, pool.overhead.value)
    return max(
        MIN_SILENCE_MS, SILENCE_TARGET_RATIO * route.target_latency_ms, SILENCE_EXPECTED_RATIO * expected_ms
    )


def is_ejection_allowed(pool: ServicePool, server: ServerRecord, now: float) -> bool:
    """Whether this server may be ejected: at most half of the ready servers may be, but always one."""
    ejected = sum(record.health.ejected_until > now for record in pool.ready if record is not server)
    return ejected < max(1, len(pool.ready) // 2)
