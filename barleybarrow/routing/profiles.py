"""What requests of a route are like: how long their prompts take to read and how long their streams last.

A stream that runs beside prompts being read gets its tokens late, so that routes of long streams and routes
of long prompts are better kept on servers of their own. Only this proxy's own requests are counted; times
are milliseconds.
"""

from math import ceil, exp

from barleybarrow.routing.speed import Smoothed

PROFILE_WEIGHT = 1 / 32  # of a new request: kinds differ by orders of magnitude and change rarely
STREAMING_RATIO = (
    8.0  # a stream that lasts so many times the reading of its prompt is held up more than it holds up
)
FEWEST_REQUESTS = 4  # known of a route before it is told apart
IN_FLIGHT_FADE_MS = 4_000.0  # the mean number of streams is taken over some seconds: a burst lasts as long
FILL_SHARE = 0.75  # of the slots of a server kept for streams: the rest is for chance
MOST_SHARE = 0.5  # of the servers are kept for streams at most


class RouteProfile:
    """One route's requests."""

    __slots__ = ("reading", "streaming", "in_flight", "_mean_in_flight", "_counted_at")

    def __init__(self) -> None:
        self.reading = Smoothed(PROFILE_WEIGHT)
        self.streaming = Smoothed(PROFILE_WEIGHT)
        self.in_flight = 0
        self._mean_in_flight = 0.0
        self._counted_at = 0.0

    def count(self, now: float, change: int) -> None:
        """Note that a request was sent (1) or has ended (-1)."""
        self._mean_in_flight = self.mean_in_flight(now)
        self._counted_at = now
        self.in_flight += change

    def mean_in_flight(self, now: float) -> float:
        """Requests in flight of late."""
        kept = exp((self._counted_at - now) / IN_FLIGHT_FADE_MS)
        return self.in_flight + (self._mean_in_flight - self.in_flight) * kept

    @property
    def is_streaming(self) -> bool:
        """Whether its requests stream far longer than their prompts take to read."""
        if self.streaming.samples < FEWEST_REQUESTS:
            return False
        return self.streaming.value > STREAMING_RATIO * self.reading.value


def servers_for_streams(streams: float, slots: int, servers: int) -> int:
    """How many servers to keep for so many streams of all proxies; 0 where none can be spared."""
    if streams <= 0 or servers < 2:
        return 0
    needed = ceil(streams / max(1.0, slots * FILL_SHARE))
    return min(needed, int(servers * MOST_SHARE))
