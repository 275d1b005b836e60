"""The lease on API keys in a proxy: asks control for confirmations, takes those of peers, passes its own on.

See `barleybarrow.replication.revocation_lease`. Where `StrictRevocation` is false nothing is asked, and keys
always hold.
"""

import logging
from collections.abc import Callable, Iterable
from itertools import count
from math import ceil

import betterproto

from barleybarrow.replication.revocation_lease import Confirmation, RevocationLease
from brackenusher.cluster import messages
from brackenusher.cluster.links import Links
from brackenusher.cluster.lives import first_number
from brackenusher.settings.local import Bounds

log = logging.getLogger(__name__)

MOST_QUESTIONS = 16  # whose answers are waited for
LONGEST_AGE_MS = 2**32 - 1  # on the wire


def confirmation_fields(confirmation: Confirmation, now: float) -> tuple[int, int]:
    """Version and age (whole milliseconds, rounded up, 1 at least) of a confirmation on the wire."""
    return confirmation.version, min(LONGEST_AGE_MS, max(1, ceil(confirmation.age(now))))


class KeyLease:
    """The lease of one proxy. `now` gives milliseconds of its monotonic clock."""

    def __init__(self, bounds: Bounds, links: Links, now: Callable[[], float]) -> None:
        self._strict = bounds.strict_revocation
        self._lease = RevocationLease(bounds.revoke_ms)
        self._links = links
        self._now = now
        self._numbers = count(first_number(links.own))
        self._questions: dict[int, float] = {}  # when they were sent, by number
        self._asked = ""  # whom, last
        self._ask_at = float("-inf")
        self._held_before = False
        if self._strict:
            links.on_message(messages.VersionAnswer, self._take_answer)

    @property
    def holds(self) -> bool:
        """Whether a request that was received by now may use its key. Looks at the clock."""
        return not self._strict or self._lease.is_valid(self._now())

    def left_s(self) -> float:
        """For how many seconds keys hold without another confirmation; 0 also where the rule is off."""
        return max(0.0, self._lease.duration_ms - self._lease.current.age(self._now())) / 1000.0

    def took(self, version: int) -> None:
        """A version is in force here."""
        self._lease.on_applied(version)

    def tick(self, sources: Iterable[str]) -> None:
        """Ask one of these linked control processes, where it is time to; call it each 100 ms."""
        if not self._strict:
            return
        self._log_change()
        now = self._now()
        if now < self._ask_at:
            return
        in_turn = sorted(sources)
        later = [source for source in in_turn if source > self._asked]
        for source in later + in_turn:
            if self._ask(source, now):
                return

    def _ask(self, source: str, now: float) -> bool:
        number = next(self._numbers)
        if not self._links.send(source, messages.VersionQuestion(number)):
            return False
        self._asked, self._ask_at = source, now + self._lease.renewal_interval_ms
        self._questions[number] = now
        while len(self._questions) > MOST_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        return True

    def _take_answer(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.VersionAnswer)
        asked_at = self._questions.pop(message.number, None)
        if asked_at is not None:
            self._lease.on_confirmation(message.version, asked_at, float(message.age_ms))

    # Between peers, in the pings of membership

    def fill_answer(self, answer: messages.PingAck) -> None:
        """An answer is about to be sent to a peer's ping."""
        confirmation = self._lease.shareable_confirmation(self._now()) if self._strict else None
        if confirmation is not None:
            fields = confirmation_fields(confirmation, self._now())
            answer.confirmed_version, answer.confirmed_age_ms = fields

    def peer_answered(self, answer: messages.PingAck, asked_at: float) -> None:
        """A peer has answered a ping that was sent at `asked_at`."""
        if self._strict and answer.confirmed_age_ms:
            self._lease.on_confirmation(answer.confirmed_version, asked_at, float(answer.confirmed_age_ms))

    def _log_change(self) -> None:
        holds = self.holds
        if holds != self._held_before:
            self._held_before = holds
            log.info("keys hold: %s version=%d", "yes" if holds else "no", self._lease.current.version)
