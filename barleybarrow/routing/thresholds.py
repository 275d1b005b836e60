"""The learned threshold under which a server counts as idle, by this proxy's own requests in flight there.

It grows while answers come near their best and is cut when they come late. It never looks at other servers.
"""

FEWEST = 1.0  # one at a time may always be sent
GROWTH = 0.5  # a threshold's worth of answers near the best adds so much
CUT = 0.75  # an answer that crowding made late leaves this share
NEAR_RATIO = 1.3  # up to this multiple of what was expected an answer is near its best: the spread of work
FAR_RATIO = 2.5  # from this multiple on it is late
FAR_SHARE_OF_AIM = 0.5  # and only once half of the aim is used up: below, crowding does no harm


class IdleThreshold:
    """In-flight limit of one server, as this proxy has learned it."""

    __slots__ = ("limit", "_most", "_cut_at")

    def __init__(self, first: float, most: float) -> None:
        self._most = max(most, FEWEST)
        self.limit = min(max(first, FEWEST), self._most)
        self._cut_at = float("-inf")

    def learn(
        self, now: float, sent_at: float, in_flight: int, latency_ms: float, expected_ms: float, aim_ms: float
    ) -> None:
        """Take one answer: its latency, what was expected without crowding, and how many were in flight."""
        if latency_ms > FAR_RATIO * expected_ms and latency_ms > FAR_SHARE_OF_AIM * aim_ms:
            if sent_at >= self._cut_at:  # what was sent before the last cut says nothing of the new threshold
                self.limit = max(FEWEST, self.limit * CUT)
                self._cut_at = now
        elif in_flight + 1 >= self.limit and latency_ms < max(
            NEAR_RATIO * expected_ms, FAR_SHARE_OF_AIM * aim_ms / 2
        ):
            self.limit = min(self._most, self.limit + GROWTH / self.limit)
