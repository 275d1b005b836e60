"""An agreement that does not answer the same refusal again at once.

Two replicas whose logs can't be joined (a disk that lost what it had synced) would else exchange messages
as fast as both can, and leave no time for anything else. It must never hold back what a replica that can
follow waits for.
"""

from typing import Any

from barleybarrow.agreement import Agreement, Appended, Role

PAUSE_MS = 90.0  # the next beat, 100 ms after the one before, tries again


class PacedAgreement(Agreement):
    """Answers a follower that refuses at the same index once a beat."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.refusals: dict[str, tuple[int, float]] = {}  # by follower: the index, and when it was answered

    def appended(self, now: float, sender: str, m: Appended) -> None:
        """Take a follower's answer; a refusal just like the one before only corrects what is known of
        its log.
        """
        repeated = self._repeated(now, sender, m)
        progress = self.progress.get(sender)
        if not repeated or progress is None:
            super().appended(now, sender, m)
            return
        progress.heard_at = now
        progress.next = max(1, min(m.index + 1, self.last + 1))

    def _repeated(self, now: float, sender: str, m: Appended) -> bool:
        if m.good or m.term != self.term or self.role is not Role.LEADER:
            return False
        index, answered_at = self.refusals.get(sender, (-1, 0.0))
        if index == m.index and now - answered_at < PAUSE_MS:
            return True
        self.refusals[sender] = (m.index, now)
        return False
