"""Carries in the membership pings what proxies remember of each other's fallback shares."""

from barleybarrow.limits.limits import Limits
from barleybarrow.limits.predecessors import NO_SHARE, HeldShare, PredecessorShares
from barleybarrow.limits.warden_lease import MAX_CLOCK_RATE_RATIO
from brackenusher.cluster import messages

PING_BACK_INTERVAL_MS = 300.0  # between pings to peers that remember a share this process may inherit


class FallbackShareExchange:
    """The exchange of one proxy. Times are milliseconds of its monotonic clock."""

    def __init__(self, limits: Limits) -> None:
        self.shutting_down = False  # an orderly shutdown has begun: the share is given up
        self._limits = limits
        self._shares = PredecessorShares()
        self._pinged_back_at = float("-inf")

    def is_released(self, now: float) -> bool:
        """Whether no peer remembers the fallback share of this process any longer."""
        return self._shares.is_released(now)

    def fill_ping(self, ping: messages.Ping, target: str, now: float) -> None:
        """Adds to a ping whether this process remembers a share of its target."""
        ping.remembers = self._shares.share_of(now, target).fraction > 0.0

    def fill_ping_ack(self, ack: messages.PingAck, ping: messages.Ping, now: float) -> None:
        """Adds to the answer to a ping the own share and the remembered share of the sender."""
        own_share = NO_SHARE if self.shutting_down else HeldShare(*self._limits.fallback_share(now))
        self._shares.record_ping(now, ping.sender, ping.remembers, own_share)
        sender_share = self._shares.share_of(now, ping.sender)
        ack.base, ack.base_left_ms = own_share.fraction, int(own_share.time_ms)
        ack.your_base, ack.your_base_left_ms = sender_share.fraction, int(sender_share.time_ms)
        ack.released = self.shutting_down

    def should_ping_back(self, ping: messages.Ping, now: float) -> bool:
        """Whether to ping the sender at once, because it remembers a share that this process may inherit."""
        inheritable = ping.remembers and self._limits.can_inherit and not self._limits.fallback_share(now)[0]
        if not inheritable or now - self._pinged_back_at < PING_BACK_INTERVAL_MS:
            return False
        self._pinged_back_at = now
        return True

    def on_ping_ack(self, ack: messages.PingAck, sent_at: float, now: float) -> None:
        """Handles a peer's answer to a ping that was sent at `sent_at`."""
        peer_share = HeldShare(ack.base, float(ack.base_left_ms))
        self._shares.record_ping_ack(ack.sender, sent_at, peer_share, ack.released)
        if ack.your_base > 0.0:
            self._limits.inherit_fallback_share(
                now, min(1.0, ack.your_base), sent_at + ack.your_base_left_ms / MAX_CLOCK_RATE_RATIO
            )
