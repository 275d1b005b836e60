"""Exchange of configurations between proxies, for when control has no majority.

Proxies only apply committed versions, so the newest version in force at any of them is committed. A proxy
that is disconnected from control, and learns from a peer's ping of a newer version than its own, fetches it
from there. Such a version does not count as confirmed: a newer one may exist.
"""

import betterproto

from barleybarrow.documents import Configuration
from brackenusher.cluster import messages
from brackenusher.cluster.config_pieces import encode_update
from brackenusher.cluster.links import Links

FETCH_RETRY_INTERVAL_MS = 500.0  # between requests to a peer
PEER_VERSION_VALIDITY_MS = 5000.0  # after a peer's last ping; they are sent every second


class PeerConfiguration:
    """Serves fetches of peers, and fetches from the one with the newest version. Times are milliseconds."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._configuration: Configuration | None = None  # in force here
        self._piece: messages.ConfigPiece | None = None  # cached encoding, made at a peer's first fetch
        self._peer, self._version, self._reported_at = "", 0, float("-inf")
        self._linked_peer = ""  # peer with a link opened from here
        self._requested_at = float("-inf")
        links.on_message(messages.ConfigFetch, self._handle_fetch)

    @property
    def version(self) -> int:
        """The version in force here; 0 if there is none."""
        return self._configuration.generation if self._configuration is not None else 0

    def configuration_applied(self, configuration: Configuration) -> None:
        """Record that a newer configuration is in force here."""
        self._configuration, self._piece = configuration, None

    def record_version(self, peer: str, version: int, now: float) -> None:
        """Record that a peer has this version in force."""
        if version >= self._version or now - self._reported_at > PEER_VERSION_VALIDITY_MS:
            self._peer, self._version, self._reported_at = peer, version, now

    def newest_version(self, now: float) -> int:
        """The newest version in force at a peer; 0 if no peer has reported one recently."""
        return self._version if now - self._reported_at <= PEER_VERSION_VALIDITY_MS else 0

    def tick(self, now: float, wanted: bool) -> None:
        """Fetch the newest version if one is wanted and newer than the one in force here."""
        if not wanted or self.newest_version(now) <= self.version:
            self._disconnect()
            return
        if self._linked_peer != self._peer:
            self._disconnect()
            self._linked_peer = self._peer
            self._links.connect(self._peer)
        if now - self._requested_at >= FETCH_RETRY_INTERVAL_MS:
            if self._links.send(self._peer, messages.ConfigFetch(have_version=self.version)):
                self._requested_at = now

    def _disconnect(self) -> None:
        if self._linked_peer:
            self._links.disconnect(self._linked_peer)
            self._linked_peer, self._requested_at = "", float("-inf")

    def _handle_fetch(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigFetch)
        if self._configuration is None or message.have_version >= self.version:
            return
        if self._piece is None:
            self._piece = messages.ConfigPiece(0, self.version, encode_update(self._configuration))
        self._links.send(sender, self._piece)
