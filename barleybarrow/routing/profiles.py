"""What requests of a route are like: how long their prompts take to read and how long their streams last.

A stream that runs beside prompts being read gets its tokens late, so that routes of long streams and routes
of long prompts are better kept on servers of their own. How many servers streams need follows from all
streams that are known of, other proxies' too. Times are milliseconds.
"""

from math import ceil, exp

from barleybarrow.routing.speed import Smoothed

PROFILE_WEIGHT = 1 / 32  # of a new request: kinds differ by orders of magnitude and change rarely
STREAMING_RATIO = (
    8.0  # a stream that lasts so many times the reading of its prompt is held up more than it holds up
)
FEWEST_REQUESTS = 4  # streams that have ended before what was measured counts more than what is declared
DECLARED_RATIO = 1.0  # tokens out for one in: an engine reads some hundred while it makes one
IN_FLIGHT_FADE_MS = 4_000.0  # the mean number of streams is taken over some seconds: a burst lasts as long
FILL_SHARE = 0.75  # of the slots of a server kept for streams: the rest is for chance
FEWEST_STREAMS = 0.5  # of a mean that fades: below, mostly none runs
MOST_SHARE = 0.5  # of the servers are kept for streams at most


class RouteProfile:
    """One route's requests."""

    __slots__ = ("reading", "streaming", "declared")

    def __init__(self) -> None:
        self.reading = Smoothed(PROFILE_WEIGHT)
        self.streaming = Smoothed(PROFILE_WEIGHT)
        self.declared = Smoothed(PROFILE_WEIGHT)  # tokens out for each token in, as its requests declare

    def declare(self, tokens_in: int, tokens_out: int) -> None:
        """Take what a new request says of itself."""
        if tokens_in > 0:
            self.declared.learn(tokens_out / tokens_in)

    @property
    def is_streaming(self) -> bool:
        """Whether its requests stream far longer than their prompts take to read."""
        if self.streaming.samples < FEWEST_REQUESTS:
            return self.declared.value > DECLARED_RATIO
        return self.streaming.value > STREAMING_RATIO * self.reading.value


class StreamCount:
    """Long streams in flight that are known of, and their mean of late."""

    __slots__ = ("_in_flight", "_mean", "_counted_at")

    def __init__(self) -> None:
        self._in_flight = 0
        self._mean = 0.0
        self._counted_at = 0.0

    def observe(self, now: float, in_flight: int) -> None:
        """Take how many there are now."""
        self._mean = self.mean(now)
        self._counted_at = now
        self._in_flight = in_flight

    def mean(self, now: float) -> float:
        """Streams in flight of late."""
        kept = exp((self._counted_at - now) / IN_FLIGHT_FADE_MS)
        return self._in_flight + (self._mean - self._in_flight) * kept


def servers_for_streams(streams: float, slots: int, servers: int) -> int:
    """How many servers to keep for so many streams of all proxies; 0 where none can be spared."""
    if streams < FEWEST_STREAMS or servers < 2:
        return 0
    needed = ceil(streams / max(1.0, slots * FILL_SHARE))
    return min(needed, int(servers * MOST_SHARE))
