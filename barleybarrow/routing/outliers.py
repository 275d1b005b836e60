"""Outlier ejection: when a server is ejected after failures, for how long, and how it returns.

There is one record per server. Times are milliseconds.
"""

from math import inf

BASE_EJECTION_MS = 500.0  # a server restart takes seconds, a burst of connection resets less
MAX_EJECTION_MS = 8_000.0  # a server that is really down is delisted within this time
EJECTION_BACKOFF_FACTOR = 2.0  # each further ejection in a row lasts longer by this factor
BACKOFF_RESET_MS = 10_000.0  # without an ejection after a trial; resets the ejection time to its base
FAILURE_RATE_WEIGHT = 1 / 8  # of one response in the average: some ten responses reveal a change
# Of the ejection time: added wait before a request that cannot be repeated may be the trial.
UNSAFE_TRIAL_DELAY_RATIO = 0.5
GRAY_FAILURE_MIN_RATE = 0.4  # a server above this failure rate may be ejected
GRAY_FAILURE_RATIO = 3.0  # and above this multiple of the failure rate of the service
# A single failure may be the idle timeout of a connection; two without a response between them are not.
CONSECUTIVE_FAILURES_TO_EJECT = 2


class ServerHealth:
    """Failures of one server as seen by this proxy, and its ejection state."""

    __slots__ = (
        "ejected_until",
        "overloaded_until",
        "failure_rate",
        "consecutive_failures",
        "on_trial",
        "_ejection_ms",
        "_healthy_since",
    )

    def __init__(self) -> None:
        self.ejected_until = -inf
        self.overloaded_until = -inf
        self.failure_rate = 0.0
        self.consecutive_failures = 0  # connection failures since the last response
        self.on_trial = False  # ejected and not yet proven healthy: gets one request at a time
        self._ejection_ms = 0.0
        self._healthy_since = inf

    def record_response(self, now: float, failed: bool) -> None:
        """Record a response: its first event, or its error status."""
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate)
        if failed:
            return
        self.consecutive_failures = 0
        if self.on_trial or self.ejected_until > now:
            self.on_trial, self.ejected_until, self._healthy_since = False, -inf, now
        if self._ejection_ms and now - self._healthy_since > BACKOFF_RESET_MS:
            self._ejection_ms = 0.0

    def record_connection_failure(self, now: float) -> bool:
        """Record a failed connection or a silent server; returns whether to eject the server."""
        self.consecutive_failures += 1
        self.failure_rate += FAILURE_RATE_WEIGHT * (1 - self.failure_rate)
        return self.on_trial or self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT

    def eject(self, now: float) -> None:
        """Eject the server, for longer each time if it fails again soon; no effect while ejected."""
        if self.ejected_until > now:
            return
        self._ejection_ms = min(
            max(BASE_EJECTION_MS, self._ejection_ms * EJECTION_BACKOFF_FACTOR), MAX_EJECTION_MS
        )
        self.ejected_until, self.on_trial, self._healthy_since = now + self._ejection_ms, True, inf

    def allows_trial(self, now: float, repeatable: bool) -> bool:
        """Whether a request may be the trial after an ejection; repeatable requests go first."""
        return now >= self.ejected_until + (
            0.0 if repeatable else UNSAFE_TRIAL_DELAY_RATIO * self._ejection_ms
        )

    def has_gray_failure(self, service_failure_rate: float) -> bool:
        """Whether it responds, but with far more failures than the other servers (a gray failure)."""
        return self.failure_rate > max(GRAY_FAILURE_MIN_RATE, GRAY_FAILURE_RATIO * service_failure_rate)
