"""What a proxy's peers remember of its base, so that its next life can use it while no warden can be.

A base belongs to a name (an address) until its time is over. The process that runs at the address next may
use it for the rest of that time, as the one before has ended. Proxies ping each other: an answer tells what
the answering one holds, and what it remembers of the asking one. Times count from the question, on the asking
side's clock, so that a late answer only shortens them. The warden keeps what a name held reserved for it for
as long (`members`). No I/O; told the time in milliseconds.
"""

from dataclasses import dataclass

from barleybarrow.limits.spans import STORED_SHARE_LIFETIME_MS
from barleybarrow.limits.warden_lease import DRIFT

MAX_REMEMBERED_PEERS = 512  # peers; each is pinged by a few


@dataclass(frozen=True, slots=True)
class HeldBase:
    """A part of each limit, and how long it may be used: milliseconds, or a moment on the own clock."""

    part: float = 0.0
    time: float = 0.0


NO_BASE = HeldBase()


class PredecessorBases:
    """What one proxy remembers of its peers, and which peers remember something of it."""

    def __init__(self) -> None:
        self._peer_shares: dict[str, HeldBase] = {}  # by peer, until a moment
        self._remembered_until: dict[str, float] = {}  # peers that may remember this one's base: until when

    def told(self, peer: str, sent_at: float, held: HeldBase, released: bool) -> None:
        """A peer has answered a ping sent at `asked_at`: what it holds, or that it ends and gives it up."""
        if released:
            self._peer_shares.pop(peer, None)
        elif held.part > 0.0:
            self._peer_shares.pop(peer, None)
            self._peer_shares[peer] = HeldBase(held.part, sent_at + held.time / DRIFT)
            while len(self._peer_shares) > MAX_REMEMBERED_PEERS:
                del self._peer_shares[next(iter(self._peer_shares))]

    def remembered(self, now: float, peer: str) -> HeldBase:
        """What a process at this address held, and for how many milliseconds more."""
        peer_share = self._peer_shares.get(peer)
        if peer_share is None or now >= peer_share.time:
            return NO_BASE
        return HeldBase(peer_share.part, peer_share.time - now)

    def pinged(self, now: float, peer: str, remembers: bool, held: HeldBase) -> None:
        """A peer pings this proxy, and is about to be told what it holds."""
        if held.part > 0.0:
            self._remembered_until[peer] = now + held.time * DRIFT
        elif remembers:
            self._remembered_until.setdefault(peer, now + STORED_SHARE_LIFETIME_MS * DRIFT)
        else:
            self._remembered_until.pop(peer, None)

    def is_released(self, now: float) -> bool:
        """Whether no peer remembers this proxy's base any more."""
        return all(until <= now for until in self._remembered_until.values())
