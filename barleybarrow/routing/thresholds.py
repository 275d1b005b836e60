"""Adaptive limit of a proxy's requests in flight on a server; below it the server counts as idle.

It increases additively while responses are about as fast as expected and decreases multiplicatively when they
are late.
"""

MIN_LIMIT = 1.0  # one request may always be in flight
LIMIT_INCREASE = 0.5  # added per `limit` fast responses
LIMIT_DECREASE_FACTOR = 0.75  # factor applied after a late response
FAST_RATIO = 1.3  # of the expected latency: up to here a response is fast; requests vary by as much
LATE_RATIO = 2.5  # of the expected latency: above, a response is late
LATE_TARGET_RATIO = 0.5  # and also above this share of the target latency: below, queueing is harmless


class AdaptiveConcurrencyLimit:
    """In-flight limit of one server, adapted by latency (AIMD)."""

    __slots__ = ("limit", "_max_limit", "_decreased_at")

    def __init__(self, initial: float, maximum: float) -> None:
        self._max_limit = max(maximum, MIN_LIMIT)
        self.limit = min(max(initial, MIN_LIMIT), self._max_limit)
        self._decreased_at = float("-inf")

    def observe(
        self,
        now: float,
        sent_at: float,
        in_flight: int,
        latency_ms: float,
        expected_ms: float,
        target_ms: float,
    ) -> None:
        """Adapt to one response; `expected_ms` is its latency without queueing."""
        if latency_ms > LATE_RATIO * expected_ms and latency_ms > LATE_TARGET_RATIO * target_ms:
            # Requests sent before the last decrease say nothing about the new limit.
            if sent_at >= self._decreased_at:
                self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE_FACTOR)
                self._decreased_at = now
        elif in_flight + 1 >= self.limit and latency_ms < max(
            FAST_RATIO * expected_ms, LATE_TARGET_RATIO * target_ms / 2
        ):
            self.limit = min(self._max_limit, self.limit + LIMIT_INCREASE / self.limit)
