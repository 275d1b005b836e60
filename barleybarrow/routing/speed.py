"""Latency estimates from completed requests: prefill time per token and overhead beyond prefill.

Times are milliseconds.
"""

from math import exp, inf

REGRESSION_WINDOW_SAMPLES = 64  # the slope needs prompts of many sizes, and engines rarely change
MIN_REGRESSION_SAMPLES = 8  # a slope through fewer points is mostly noise
OVERHEAD_WEIGHT = 1 / 8  # of a new sample: a server that becomes slow is seen within some ten responses
NOISE_DEVIATIONS = 0.5  # of the mean deviation: twice the standard error of some sixteen responses
OVERHEAD_DECAY_MS = 4_000.0  # time constant of the decay to the mean of the service; faults last seconds
TOKEN_TIME_WEIGHT = 1 / 32  # of a new time per token; there are many events
# Of the target latency: initial estimate for the prefill of the longest prompt.
INITIAL_PREFILL_TARGET_RATIO = 1 / 4


class PrefillModel:
    """Linear regression of the time to the first event on the tokens to prefill, per service."""

    __slots__ = ("samples", "_mean_tokens", "_mean_ms", "_variance", "_covariance", "_initial_ms_per_token")

    def __init__(self) -> None:
        self.samples = 0
        self._mean_tokens = self._mean_ms = self._variance = self._covariance = 0.0
        self._initial_ms_per_token = 0.0

    def set_initial(self, target_ms: float, tokens: int) -> None:
        """Set the estimate used before there are enough samples, from the longest prompt seen."""
        if self.samples < MIN_REGRESSION_SAMPLES and tokens > 0:
            self._initial_ms_per_token = min(
                self._initial_ms_per_token or inf, target_ms * INITIAL_PREFILL_TARGET_RATIO / tokens
            )

    def observe(self, tokens: float, first_event_ms: float) -> None:
        """Add a sample: the tokens to prefill and the time to the first event."""
        self.samples += 1
        weight = 1 / min(self.samples, REGRESSION_WINDOW_SAMPLES)
        token_deviation = tokens - self._mean_tokens
        ms_deviation = first_event_ms - self._mean_ms
        self._mean_tokens += weight * token_deviation
        self._mean_ms += weight * ms_deviation
        decay = 1 - weight
        self._variance = decay * (self._variance + weight * token_deviation * token_deviation)
        self._covariance = decay * (self._covariance + weight * token_deviation * ms_deviation)

    @property
    def ms_per_token(self) -> float:
        """Prefill time per token; never negative."""
        if self.samples < MIN_REGRESSION_SAMPLES or self._variance <= 0:
            return self._initial_ms_per_token
        return max(0.0, self._covariance / self._variance)


class ServerOverhead:
    """Average overhead of one server beyond prefill; decays to the mean of its service."""

    __slots__ = ("overhead_ms", "spread_ms", "samples", "_observed_at")

    def __init__(self, overhead_ms: float, now: float) -> None:
        self.overhead_ms = overhead_ms
        self.spread_ms = 0.0  # average absolute deviation of a sample from the mean
        self.samples = 0
        self._observed_at = now

    def observe(self, now: float, overhead_ms: float, mean_ms: float) -> None:
        """Add a sample: the time of one response beyond its expected prefill."""
        previous_ms = self.at(now, mean_ms)
        self.samples += 1
        weight = max(OVERHEAD_WEIGHT, 1 / (self.samples + 1))
        self.overhead_ms = previous_ms + weight * (overhead_ms - previous_ms)
        self.spread_ms += weight * (abs(overhead_ms - previous_ms) - self.spread_ms)
        self._observed_at = now

    def at(self, now: float, mean_ms: float) -> float:
        """The overhead expected now; the mean of the service if there are no samples."""
        if not self.samples:
            return mean_ms
        return mean_ms + (self.overhead_ms - mean_ms) * exp((self._observed_at - now) / OVERHEAD_DECAY_MS)

    def above_mean_ms(self, now: float, mean_ms: float) -> float:
        """Overhead above the mean of the service, less the part that may be noise of few samples."""
        above_ms = self.overhead_ms - mean_ms
        if not self.samples or above_ms <= 0:
            return 0.0
        above_ms *= exp((self._observed_at - now) / OVERHEAD_DECAY_MS)
        return max(0.0, above_ms - NOISE_DEVIATIONS * self.spread_ms)


class MovingAverage:
    """An exponential moving average that starts at its first sample."""

    __slots__ = ("value", "samples", "_weight")

    def __init__(self, weight: float) -> None:
        self.value, self.samples, self._weight = 0.0, 0, weight

    def observe(self, sample: float) -> None:
        """Add a sample."""
        self.samples += 1
        self.value += max(self._weight, 1 / self.samples) * (sample - self.value)
