"""Carries what proxies remember of each other's fallback shares in the pings of membership."""

from barleybarrow.limits.limits import Limits
from barleybarrow.limits.predecessors import NO_SHARE, HeldShare, PredecessorShares
from barleybarrow.limits.warden_lease import MAX_CLOCK_RATE_RATIO
from brackenusher.cluster import messages

PING_BACK_INTERVAL_MS = 300.0  # between two pings back to peers that remember what this process may take up


class FallbackShareExchange:
    """The part of one proxy. Times are milliseconds of its monotonic clock."""

    def __init__(self, limits: Limits) -> None:
        self.leaving = False  # this process ends in order, and gives up what it holds
        self._limits = limits
        self._shares = PredecessorShares()
        self._pinged_back_at = float("-inf")

    def is_released(self, now: float) -> bool:
        """Whether no peer remembers the fallback share of this process any more."""
        return self._shares.is_released(now)

    def fill_ping(self, ping: messages.Ping, target: str, now: float) -> None:
        """A ping is about to be sent to a peer."""
        ping.remembers = self._shares.share_of(now, target).fraction > 0.0

    def fill_ping_ack(self, ack: messages.PingAck, ping: messages.Ping, now: float) -> None:
        """An answer is about to be sent to a peer's ping."""
        held = NO_SHARE if self.leaving else HeldShare(*self._limits.fallback_share(now))
        self._shares.record_ping(now, ping.sender, ping.remembers, held)
        sender_share = self._shares.share_of(now, ping.sender)
        ack.base, ack.base_left_ms = held.fraction, int(held.time_ms)
        ack.your_base, ack.your_base_left_ms = sender_share.fraction, int(sender_share.time_ms)
        ack.released = self.leaving

    def should_ping_back(self, ping: messages.Ping, now: float) -> bool:
        """Whether to ping the sender of this ping at once: it remembers what this process may take up."""
        inheritable = ping.remembers and self._limits.can_inherit and not self._limits.fallback_share(now)[0]
        if not inheritable or now - self._pinged_back_at < PING_BACK_INTERVAL_MS:
            return False
        self._pinged_back_at = now
        return True

    def on_ping_ack(self, ack: messages.PingAck, sent_at: float, now: float) -> None:
        """A peer has answered a ping that was sent at `asked_at`."""
        held = HeldShare(ack.base, float(ack.base_left_ms))
        self._shares.record_ping_ack(ack.sender, sent_at, held, ack.released)
        if ack.your_base > 0.0:
            self._limits.inherit_fallback_share(
                now, min(1.0, ack.your_base), sent_at + ack.your_base_left_ms / MAX_CLOCK_RATE_RATIO
            )
