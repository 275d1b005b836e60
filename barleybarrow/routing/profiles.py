"""Profiles of routes: how long their prompts take to prefill and how long their streams last.

Prefills on a server delay the tokens of its streams, so routes with long streams and routes with long prompts
work better on separate servers. The number of servers for streams follows from all known streams, including
those of other proxies. Times are milliseconds.
"""

from math import ceil, exp

from barleybarrow.routing.speed import MovingAverage

PROFILE_WEIGHT = 1 / 32  # of a new request: routes differ by orders of magnitude and change rarely
# A stream that lasts this many times longer than its own prefill is delayed more than it delays others.
MIN_STREAMING_RATIO = 8.0
MIN_MEASURED_STREAMS = 4  # ended streams needed before measurements replace the declared ratio
# Output per input token; an engine prefills some hundred tokens while it generates one.
MIN_DECLARED_TOKEN_RATIO = 1.0
STREAM_MEAN_DECAY_MS = 4_000.0  # time constant of the mean number of streams, about the length of a burst
TARGET_SLOT_USAGE = 0.75  # planned slot usage of a server reserved for streams; the rest absorbs random peaks
MIN_MEAN_STREAMS = 0.5  # below this mean mostly no stream runs
MAX_STREAM_SERVER_SHARE = 0.5  # of all servers


class RouteProfile:
    """Running averages of the requests of one route."""

    __slots__ = ("prefill_ms", "stream_ms", "declared_token_ratio")

    def __init__(self) -> None:
        self.prefill_ms = MovingAverage(PROFILE_WEIGHT)
        self.stream_ms = MovingAverage(PROFILE_WEIGHT)
        # Output per input token, as declared by requests.
        self.declared_token_ratio = MovingAverage(PROFILE_WEIGHT)

    def record_declared(self, prompt_tokens: int, output_tokens: int) -> None:
        """Record the prompt length and the output limit of a new request."""
        if prompt_tokens > 0:
            self.declared_token_ratio.observe(output_tokens / prompt_tokens)

    @property
    def is_streaming(self) -> bool:
        """Whether its streams last far longer than the prefill of their prompts."""
        if self.stream_ms.samples < MIN_MEASURED_STREAMS:
            return self.declared_token_ratio.value > MIN_DECLARED_TOKEN_RATIO
        return self.stream_ms.value > MIN_STREAMING_RATIO * self.prefill_ms.value


class StreamCount:
    """Number of known long streams in flight and its decaying mean."""

    __slots__ = ("_in_flight", "_mean", "_observed_at")

    def __init__(self) -> None:
        self._in_flight = 0
        self._mean = 0.0
        self._observed_at = 0.0

    def observe(self, now: float, in_flight: int) -> None:
        """Set the present number of streams."""
        self._mean = self.mean(now)
        self._observed_at = now
        self._in_flight = in_flight

    def mean(self, now: float) -> float:
        """Decaying mean of the number of streams in flight."""
        decay = exp((self._observed_at - now) / STREAM_MEAN_DECAY_MS)
        return self._in_flight + (self._mean - self._in_flight) * decay


def servers_for_streams(streams: float, slots: int, servers: int) -> int:
    """Number of servers to reserve for the streams of all proxies; 0 if none can be spared."""
    if streams < MIN_MEAN_STREAMS or servers < 2:
        return 0
    needed = ceil(streams / max(1.0, slots * TARGET_SLOT_USAGE))
    return min(needed, int(servers * MAX_STREAM_SERVER_SHARE))
