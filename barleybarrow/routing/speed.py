"""How fast servers are, learned from what was served: time to read a token, time beyond reading, pauses.

Only estimates live here; which server is taken is decided elsewhere. Times are milliseconds.
"""

from math import exp, inf

FORGET_AFTER_SAMPLES = 64  # the slope needs prompts of many sizes, and the engines of a service change rarely
FEWEST_SAMPLES = 8  # a slope through fewer points is chance
EXCESS_WEIGHT = 1 / 8  # of a new time beyond reading: a server that turns slow shows within some ten answers
CHANCE_SHARE = 0.5  # of the spread: twice the error of a mean over the last sixteen answers or so
FADE_MS = 4_000.0  # what was learned of a server fades toward the mean so fast: faults last for seconds
PAUSE_WEIGHT = 1 / 32  # of a new time per token: events are many
FIRST_SHARE_OF_AIM = 1 / 4  # that reading a long prompt is thought to take before any was read


class ReadingTime:
    """Time to the first event as a line over the tokens to be read, for all servers of a service together."""

    __slots__ = ("samples", "_mean_tokens", "_mean_ms", "_variance", "_covariance", "_guess")

    def __init__(self) -> None:
        self.samples = 0
        self._mean_tokens = self._mean_ms = self._variance = self._covariance = 0.0
        self._guess = 0.0

    def guess(self, aim_ms: float, tokens: int) -> None:
        """Before enough was served: even the longest prompt seen takes but a share of its aim."""
        if self.samples < FEWEST_SAMPLES and tokens > 0:
            self._guess = min(self._guess or inf, aim_ms * FIRST_SHARE_OF_AIM / tokens)

    def learn(self, tokens: float, first_event_ms: float) -> None:
        """Take one answer: tokens that had to be read, and the time to its first event."""
        self.samples += 1
        weight = 1 / min(self.samples, FORGET_AFTER_SAMPLES)
        tokens_off = tokens - self._mean_tokens
        ms_off = first_event_ms - self._mean_ms
        self._mean_tokens += weight * tokens_off
        self._mean_ms += weight * ms_off
        keep = 1 - weight
        self._variance = keep * (self._variance + weight * tokens_off * tokens_off)
        self._covariance = keep * (self._covariance + weight * tokens_off * ms_off)

    @property
    def ms_per_token(self) -> float:
        """Milliseconds to read one token of a prompt; never negative."""
        if self.samples < FEWEST_SAMPLES or self._variance <= 0:
            return self._guess
        return max(0.0, self._covariance / self._variance)


class ServerSpeed:
    """What one server takes beyond the reading of a prompt, smoothed; fades toward its service's mean."""

    __slots__ = ("excess_ms", "spread_ms", "samples", "_learned_at")

    def __init__(self, excess_ms: float, now: float) -> None:
        self.excess_ms = excess_ms
        self.spread_ms = 0.0  # smoothed distance of a time from the mean
        self.samples = 0
        self._learned_at = now

    def learn(self, now: float, excess_ms: float, mean_ms: float) -> None:
        """Take one answer's time beyond what its reading was expected to take."""
        before = self.at(now, mean_ms)
        self.samples += 1
        weight = max(EXCESS_WEIGHT, 1 / (self.samples + 1))
        self.excess_ms = before + weight * (excess_ms - before)
        self.spread_ms += weight * (abs(excess_ms - before) - self.spread_ms)
        self._learned_at = now

    def at(self, now: float, mean_ms: float) -> float:
        """The time beyond reading to expect now; a server without answers is like the others."""
        if not self.samples:
            return mean_ms
        return mean_ms + (self.excess_ms - mean_ms) * exp((self._learned_at - now) / FADE_MS)

    def slower_ms(self, now: float, mean_ms: float) -> float:
        """By how much it is slower than the mean, beyond what chance makes of so few answers."""
        beyond = self.excess_ms - mean_ms
        if not self.samples or beyond <= 0:
            return 0.0
        beyond *= exp((self._learned_at - now) / FADE_MS)
        return max(0.0, beyond - CHANCE_SHARE * self.spread_ms)


class Smoothed:
    """A smoothed mean that starts at its first sample."""

    __slots__ = ("value", "samples", "_weight")

    def __init__(self, weight: float) -> None:
        self.value, self.samples, self._weight = 0.0, 0, weight

    def learn(self, sample: float) -> None:
        """Take one sample."""
        self.samples += 1
        self.value += max(self._weight, 1 / self.samples) * (sample - self.value)
