"""Finds requests whose server has kept silent for too long; what follows is decided elsewhere.

A server that hangs or is cut off says nothing, so silence is all there is to see. It is measured against
what the service takes at present: where all are slow, none hangs. Times are milliseconds.
"""

from heapq import heappop, heappush
from math import inf

from barleybarrow.routing.actions import RequestId
from barleybarrow.routing.exchange import Exchange
from barleybarrow.routing.pool import ServerRecord, ServicePool

HUNG_AIMS = 1.5  # aims without a first event: the request is late already, and may still be served elsewhere
HUNG_EXPECTATIONS = 4.0  # times what was expected, with the present mean wait: a busy server is no hung one
HUNG_GAPS = 3.0  # pauses that a stream bears: its answer is late by then
LEAST_MS = 100.0  # below this a silence is a matter of the network and of this process itself


class SilenceWatch:
    """Requests by the time at which their server's silence is looked at."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, RequestId, Exchange]] = []

    def watch(self, exchange: Exchange, pool: ServicePool) -> None:
        """Look at a request that was just sent."""
        heappush(self._heap, (silent_at(exchange, pool), exchange.request.id, exchange))

    def due(self, now: float) -> list[Exchange]:
        """Take out the requests to be looked at; what is still out is to be watched again."""
        found = []
        heap = self._heap
        while heap and heap[0][0] <= now:
            exchange = heappop(heap)[2]
            if exchange.server is not None:
                found.append(exchange)
        return found

    def next(self) -> float:
        """When the next request is to be looked at; requests that have ended are forgotten."""
        heap = self._heap
        while heap and heap[0][2].server is None:
            heappop(heap)
        return heap[0][0] if heap else inf


def silent_at(exchange: Exchange, pool: ServicePool) -> float:
    """When the silence of a request's server has lasted too long, as things are now."""
    route, server = exchange.request.route, exchange.server
    heard_at = exchange.last_event_at if server is None else max(exchange.last_event_at, server.heard_at)
    if exchange.first_event_at is not None:
        gap_ms = route.gap_aim_ms or route.target_latency_ms
        return heard_at + max(LEAST_MS, HUNG_GAPS * gap_ms)
    expected_ms = exchange.expected_ms + max(0.0, pool.excess.value)
    return heard_at + max(LEAST_MS, HUNG_AIMS * route.target_latency_ms, HUNG_EXPECTATIONS * expected_ms)


def may_eject(pool: ServicePool, server: ServerRecord, now: float) -> bool:
    """Whether one more server may be left alone: never more than half of them, but always one."""
    out = sum(record.health.ejected_until > now for record in pool.ready if record is not server)
    return out < max(1, len(pool.ready) // 2)
