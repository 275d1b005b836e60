"""The lease on API keys in a proxy: requests confirmations from control, and shares them with peers.

See `barleybarrow.replication.revocation_lease`. With `StrictRevocation` off nothing is requested and keys are
always valid.
"""

import logging
from collections.abc import Callable, Iterable
from itertools import count
from math import ceil

import betterproto

from barleybarrow.replication.revocation_lease import Confirmation, RevocationLease
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_request_number
from brackenusher.settings.local import Bounds

log = logging.getLogger(__name__)

MAX_PENDING_REQUESTS = 16  # unanswered requests that are remembered
MAX_AGE_MS = 2**32 - 1  # the field on the wire has 32 bits


def confirmation_fields(confirmation: Confirmation, now: float) -> tuple[int, int]:
    """Returns version and age of a confirmation for the wire; whole milliseconds, rounded up, at least 1."""
    return confirmation.version, min(MAX_AGE_MS, max(1, ceil(confirmation.age(now))))


class KeyLease:
    """The lease of one proxy. `now` returns milliseconds of its monotonic clock."""

    def __init__(self, bounds: Bounds, links: Links, now: Callable[[], float]) -> None:
        self._strict = bounds.strict_revocation
        self._lease = RevocationLease(bounds.revoke_ms)
        self._links = links
        self._now = now
        self._request_numbers = count(first_request_number(links.own))
        self._pending_requests: dict[int, float] = {}  # send times, by number
        self._last_source = ""  # control process that was asked last
        self._next_request_at = float("-inf")
        self._was_valid = False
        if self._strict:
            links.on_message(messages.VersionAnswer, self._handle_version_answer)

    @property
    def is_valid(self) -> bool:
        """Whether a request received now may use its key. Reads the clock: a timer lags a stall."""
        return not self._strict or self._lease.is_valid(self._now())

    def remaining_s(self) -> float:
        """Returns the seconds until the lease expires unless renewed; also 0 with `StrictRevocation` off."""
        return max(0.0, self._lease.duration_ms - self._lease.current.age(self._now())) / 1000.0

    def on_applied(self, version: int) -> None:
        """Records that a configuration version has been applied here."""
        self._lease.on_applied(version)

    def tick(self, sources: Iterable[str]) -> None:
        """Renews the lease with one of these control processes if it is due; to be called every 100 ms."""
        if not self._strict:
            return
        self._log_change()
        now = self._now()
        if now < self._next_request_at:
            return
        ordered = sorted(sources)
        after_last = [source for source in ordered if source > self._last_source]
        for source in after_last + ordered:
            if self._request_confirmation(source, now):
                return

    def _request_confirmation(self, source: str, now: float) -> bool:
        number = next(self._request_numbers)
        if not self._links.send(source, messages.VersionQuestion(number)):
            return False
        self._last_source, self._next_request_at = source, now + self._lease.renewal_interval_ms
        self._pending_requests[number] = now
        while len(self._pending_requests) > MAX_PENDING_REQUESTS:
            del self._pending_requests[next(iter(self._pending_requests))]
        return True

    def _handle_version_answer(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.VersionAnswer)
        sent_at = self._pending_requests.pop(message.number, None)
        if sent_at is not None:
            self._lease.on_confirmation(message.version, sent_at, float(message.age_ms))

    # Between peers, carried by the membership pings

    def fill_ping_ack(self, ack: messages.PingAck) -> None:
        """Adds the current confirmation to the answer to a peer's ping."""
        confirmation = self._lease.shareable_confirmation(self._now()) if self._strict else None
        if confirmation is not None:
            fields = confirmation_fields(confirmation, self._now())
            ack.confirmed_version, ack.confirmed_age_ms = fields

    def on_ping_ack(self, ack: messages.PingAck, sent_at: float) -> None:
        """Handles a peer's answer to a ping that was sent at `sent_at`."""
        if self._strict and ack.confirmed_age_ms:
            self._lease.on_confirmation(ack.confirmed_version, sent_at, float(ack.confirmed_age_ms))

    def _log_change(self) -> None:
        valid = self.is_valid
        if valid != self._was_valid:
            self._was_valid = valid
            log.info("keys hold: %s version=%d", "yes" if valid else "no", self._lease.current.version)
