"""Peers remember a proxy's fallback share, so that its next incarnation can use it without a credit server.

A share belongs to a name (an address) until it expires. The next process at that address may use it for the
rest of its lifetime, as the previous one has ended. Proxies ping each other: a ping's reply holds the share
of the replying proxy, and the share that it remembers of the pinging one. Lifetimes count from the sending
of the ping, on the sender's clock, so a late reply only shortens them. The credit server reserves the share
for the name for as long (`members`). No I/O; times are milliseconds.
"""

from dataclasses import dataclass

from barleybarrow.limits.spans import STORED_SHARE_LIFETIME_MS
from barleybarrow.limits.warden_lease import MAX_CLOCK_RATE_RATIO

MAX_REMEMBERED_PEERS = 512  # each peer is pinged by a few proxies only


@dataclass(frozen=True, slots=True)
class HeldShare:
    """A share of each limit, with its lifetime in milliseconds or its expiry on the local clock."""

    fraction: float = 0.0
    time_ms: float = 0.0


NO_SHARE = HeldShare()


class PredecessorShares:
    """The shares that one proxy remembers of its peers, and the peers that may remember its own."""

    def __init__(self) -> None:
        self._peer_shares: dict[str, HeldShare] = {}  # by peer, with expiry
        self._remembered_until: dict[str, float] = {}  # by peer: how long it may remember the own share

    def record_ping_ack(self, peer: str, sent_at: float, held: HeldShare, released: bool) -> None:
        """Record a peer's reply to a ping: the share that it holds, or that it shuts down and releases it."""
        if released:
            self._peer_shares.pop(peer, None)
        elif held.fraction > 0.0:
            self._peer_shares.pop(peer, None)
            self._peer_shares[peer] = HeldShare(held.fraction, sent_at + held.time_ms / MAX_CLOCK_RATE_RATIO)
            while len(self._peer_shares) > MAX_REMEMBERED_PEERS:
                del self._peer_shares[next(iter(self._peer_shares))]

    def share_of(self, now: float, peer: str) -> HeldShare:
        """The share that a process at this address held, with its remaining lifetime."""
        peer_share = self._peer_shares.get(peer)
        if peer_share is None or now >= peer_share.time_ms:
            return NO_SHARE
        return HeldShare(peer_share.fraction, peer_share.time_ms - now)

    def record_ping(self, now: float, peer: str, remembers: bool, held: HeldShare) -> None:
        """Record a ping of a peer, which will learn from the reply that this proxy holds this share."""
        if held.fraction > 0.0:
            self._remembered_until[peer] = now + held.time_ms * MAX_CLOCK_RATE_RATIO
        elif remembers:
            self._remembered_until.setdefault(peer, now + STORED_SHARE_LIFETIME_MS * MAX_CLOCK_RATE_RATIO)
        else:
            self._remembered_until.pop(peer, None)

    def is_released(self, now: float) -> bool:
        """Whether no peer remembers this proxy's share any more."""
        return all(until <= now for until in self._remembered_until.values())
