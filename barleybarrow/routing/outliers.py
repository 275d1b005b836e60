"""Which servers are left alone after failures, for how long, and how they come back.

One record a server; it never decides where a request goes. Times are milliseconds.
"""

from math import inf

FIRST_EJECTION_MS = 500.0  # a restart takes seconds; a burst of resets takes less
LONGEST_EJECTION_MS = 8_000.0  # a server that is really gone leaves the list within that time
BACKOFF_FACTOR = 2.0  # a server that fails again at once is left alone twice as long
FORGIVEN_AFTER_MS = 10_000.0  # of serving well: then the next ejection starts from the shortest again
FAILURE_WEIGHT = 1 / 8  # of an answer in the share that fails: some ten answers tell it
UNSAFE_TRIAL_SHARE = 0.5  # of the ejection: so much later a request that cannot be repeated may be the trial
GREY_SHARE = 0.4  # a server failing more often than this, and more than the others, is left alone
GREY_OVER_OTHERS = 3.0  # times the share that fails at the others
BREAKS_IN_A_ROW = 2  # one broken connection may be its idle timeout; two without an answer between are not


class ServerHealth:
    """What this proxy saw fail at one server."""

    __slots__ = (
        "ejected_until",
        "full_until",
        "failure_share",
        "breaks",
        "trial",
        "_span_ms",
        "_good_since",
    )

    def __init__(self) -> None:
        self.ejected_until = -inf
        self.full_until = -inf
        self.failure_share = 0.0
        self.breaks = 0  # in a row, no answer between
        self.trial = False  # back from an ejection and not yet proven: one request at a time
        self._span_ms = 0.0
        self._good_since = inf

    def answered(self, now: float, failed: bool) -> None:
        """Take an answer: a first event, or an error status of its own."""
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)
        if failed:
            return
        self.breaks = 0
        if self.trial or self.ejected_until > now:
            self.trial, self.ejected_until, self._good_since = False, -inf, now
        if self._span_ms and now - self._good_since > FORGIVEN_AFTER_MS:
            self._span_ms = 0.0

    def broke(self, now: float) -> bool:
        """Take a broken or refused connection, or a silence; whether the server is to be left alone."""
        self.breaks += 1
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        return self.trial or self.breaks >= BREAKS_IN_A_ROW

    def eject(self, now: float) -> None:
        """Leave it alone; longer each time that it fails again soon."""
        if self.ejected_until > now:
            return
        self._span_ms = min(max(FIRST_EJECTION_MS, self._span_ms * BACKOFF_FACTOR), LONGEST_EJECTION_MS)
        self.ejected_until, self.trial, self._good_since = now + self._span_ms, True, inf

    def open_to_trial(self, now: float, repeatable: bool) -> bool:
        """Whether a request may find out if it is back: one that can be repeated first, any other later."""
        return now >= self.ejected_until + (0.0 if repeatable else UNSAFE_TRIAL_SHARE * self._span_ms)

    def is_grey(self, others_share: float) -> bool:
        """Whether it answers, but fails far more often than the others do."""
        return self.failure_share > max(GREY_SHARE, GREY_OVER_OTHERS * others_share)
