"""Carries what proxies remember of each other's fallback shares in the pings of membership."""

from barleybarrow.limits.limits import Limits
from barleybarrow.limits.predecessors import NO_SHARE, HeldShare, PredecessorShares
from barleybarrow.limits.warden_lease import MAX_CLOCK_RATE_RATIO
from brackenusher.cluster import messages

ASK_AGAIN_MS = 300.0  # between two pings back to peers that remember what this process may take up


class BaseExchange:
    """The part of one proxy. Times are milliseconds of its monotonic clock."""

    def __init__(self, limits: Limits) -> None:
        self.leaving = False  # this process ends in order, and gives up what it holds
        self._limits = limits
        self._shares = PredecessorShares()
        self._asked_back_at = float("-inf")

    def is_released(self, now: float) -> bool:
        """Whether no peer remembers the fallback share of this process any more."""
        return self._shares.is_released(now)

    def fill_ping(self, ping: messages.Ping, target: str, now: float) -> None:
        """A ping is about to be sent to a peer."""
        ping.remembers = self._shares.share_of(now, target).fraction > 0.0

    def fill_answer(self, answer: messages.PingAck, ping: messages.Ping, now: float) -> None:
        """An answer is about to be sent to a peer's ping."""
        held = NO_SHARE if self.leaving else HeldShare(*self._limits.fallback_share(now))
        self._shares.record_ping(now, ping.sender, ping.remembers, held)
        sender_share = self._shares.share_of(now, ping.sender)
        answer.base, answer.base_left_ms = held.fraction, int(held.time_ms)
        answer.your_base, answer.your_base_left_ms = sender_share.fraction, int(sender_share.time_ms)
        answer.released = self.leaving

    def wants_answer(self, ping: messages.Ping, now: float) -> bool:
        """Whether to ping the sender of this ping at once: it remembers what this process may take up."""
        wanted = ping.remembers and self._limits.can_inherit and not self._limits.fallback_share(now)[0]
        if not wanted or now - self._asked_back_at < ASK_AGAIN_MS:
            return False
        self._asked_back_at = now
        return True

    def answered(self, answer: messages.PingAck, asked_at: float, now: float) -> None:
        """A peer has answered a ping that was sent at `asked_at`."""
        held = HeldShare(answer.base, float(answer.base_left_ms))
        self._shares.record_ping_ack(answer.sender, asked_at, held, answer.released)
        if answer.your_base > 0.0:
            self._limits.inherit_fallback_share(
                now, min(1.0, answer.your_base), asked_at + answer.your_base_left_ms / MAX_CLOCK_RATE_RATIO
            )
