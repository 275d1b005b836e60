"""Announcements between proxies: which prompt was just sent to which server.

They only refine the backlog estimates; they may be lost or late and are never acknowledged. Whether a server
counts as idle depends only on the proxy's own requests.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MAX_PENDING_ANNOUNCEMENTS = 256  # older ones are outdated by then
PEER_TTL_MS = 5_000.0  # a proxy that sent nothing for this long is no longer counted


@dataclass(slots=True)
class Announcement:
    """One prompt sent to a server; with 0 tokens to prefill it reports only the number of streams."""

    service: str
    server_id: str
    shared_segment: str  # id of the last shared segment of the prompt; empty if there is none
    shared_segment_tokens: int
    prefill_tokens: int
    streams: int = 0  # long streams that the sender has on this server


class AnnouncementQueue:
    """Announcements to be sent, and the proxies that recently sent some."""

    def __init__(self) -> None:
        self._pending: deque[Announcement] = deque(maxlen=MAX_PENDING_ANNOUNCEMENTS)
        self._last_heard_at: dict[str, float] = {}
        self.on_nonempty: Callable[[], None] | None = None  # called when the first one is added

    def add(self, announcement: Announcement) -> None:
        """Add an announcement; the oldest are dropped beyond the limit."""
        was_empty = not self._pending
        self._pending.append(announcement)
        if was_empty and self.on_nonempty is not None:
            self.on_nonempty()

    def take_all(self) -> list[Announcement]:
        """Remove and return all announcements."""
        taken = list(self._pending)
        self._pending.clear()
        return taken

    def record_sender(self, now: float, peer: str) -> None:
        """Record that a proxy sent announcements."""
        self._last_heard_at[peer] = now

    def count_proxies(self, now: float) -> int:
        """Number of proxies that recently sent announcements, including this one."""
        for peer in [peer for peer, at in self._last_heard_at.items() if now - at > PEER_TTL_MS]:
            del self._last_heard_at[peer]
        return 1 + len(self._last_heard_at)
