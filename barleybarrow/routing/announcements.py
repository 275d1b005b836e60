"""What proxies may tell each other of their choices: which prompt went to which server just now.

A choice made without such news is still right; with it, the wait at a server counts what the others sent
there. News may be lost or late and is never answered. Idleness stays judged by the proxy's own requests.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

MOST_KEPT = 256  # news not yet fetched: older ones are of no use by then
PEER_FORGOTTEN_MS = 5_000.0  # a proxy that told nothing for so long no longer counts


@dataclass(slots=True)
class Announcement:
    """One prompt sent to a server; without tokens to read, only the number of streams there is news."""

    service: str
    server_id: str
    subject: str  # the last shared part of the prompt; empty where there is none
    subject_tokens: int
    tokens_to_read: int
    streams: int = 0  # long streams of the sender at this server now


class AnnouncementBox:
    """Own news to be fetched, and which proxies told some of late."""

    def __init__(self) -> None:
        self._outgoing: deque[Announcement] = deque(maxlen=MOST_KEPT)
        self._heard_at: dict[str, float] = {}
        self.on_first: Callable[[], None] | None = None  # called when there is news and was none before

    def tell(self, announcement: Announcement) -> None:
        """Keep news until it is fetched."""
        first = not self._outgoing
        self._outgoing.append(announcement)
        if first and self.on_first is not None:
            self.on_first()

    def take(self) -> list[Announcement]:
        """All own news since the last call."""
        taken = list(self._outgoing)
        self._outgoing.clear()
        return taken

    def heard_from(self, now: float, peer: str) -> None:
        """Note that a proxy told something."""
        self._heard_at[peer] = now

    def proxies(self, now: float) -> int:
        """How many proxies tell something, this one among them."""
        for peer in [peer for peer, at in self._heard_at.items() if now - at > PEER_FORGOTTEN_MS]:
            del self._heard_at[peer]
        return 1 + len(self._heard_at)
