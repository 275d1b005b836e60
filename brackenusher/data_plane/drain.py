"""The shutdown of the data plane as requests see it: first announced, then closed to what may outlast it.

Decides only; the server of the data plane tells it the times. All times are seconds on the loop's clock.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class Drain:
    """Phases: serving, announced (responses close their connections), intake closed."""

    announced: bool = False
    intake_closed: bool = False
    ends_at: float = float("inf")  # requests still in flight then are ended

    def announce(self) -> None:
        """Begin the shutdown: new requests are taken, since clients don't know of it yet."""
        self.announced = True

    def close_intake(self, ends_at: float) -> None:
        """Take no request from now on that may be in flight at `ends_at`."""
        self.intake_closed = True
        self.ends_at = ends_at

    def may_take(self, deadline_at: float) -> bool:
        """Whether a request with this deadline may be sent to a server: it ends before it could be cut."""
        return not self.intake_closed or deadline_at <= self.ends_at
