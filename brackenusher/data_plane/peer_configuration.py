"""Configurations between proxies, for when control is out of touch with its majority.

A proxy only ever takes what was committed, so the newest version that any of them has in force is committed.
One that is out of touch, and hears from a peer's ping of a newer version than its own, fetches it there. It
never makes a version count as confirmed: a newer one may exist.
"""

import betterproto

from barleybarrow.documents import Configuration
from brackenusher.cluster import messages
from brackenusher.cluster.config_pieces import encode_piece
from brackenusher.cluster.links import Links

ASK_AGAIN_MS = 500.0  # between two questions to a peer
KEPT_MS = 5000.0  # since a peer's newest ping, which come each second: then it says nothing any more


class PeerConfiguration:
    """Answers peers, and asks the one with the newest version. Times are milliseconds."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._configuration: Configuration | None = None  # in force here
        self._piece: messages.ConfigPiece | None = None  # of it, once a peer has asked
        self._peer, self._version, self._heard_at = "", 0, float("-inf")
        self._linked = ""  # the peer that a link is kept to
        self._asked_at = float("-inf")
        links.on_message(messages.ConfigFetch, self._answer)

    @property
    def version(self) -> int:
        """The version in force here; 0 where there is none."""
        return self._configuration.generation if self._configuration is not None else 0

    def taken(self, configuration: Configuration) -> None:
        """A newer configuration is in force here."""
        self._configuration, self._piece = configuration, None

    def heard(self, peer: str, version: int, now: float) -> None:
        """A peer has this version in force."""
        if version >= self._version or now - self._heard_at > KEPT_MS:
            self._peer, self._version, self._heard_at = peer, version, now

    def newest(self, now: float) -> int:
        """The newest version that a peer is known to have in force; 0 where none was heard of lately."""
        return self._version if now - self._heard_at <= KEPT_MS else 0

    def tick(self, now: float, wanted: bool) -> None:
        """Ask for the newest version where one is wanted and newer than the one here."""
        if not wanted or self.newest(now) <= self.version:
            self._unlink()
            return
        if self._linked != self._peer:
            self._unlink()
            self._linked = self._peer
            self._links.connect(self._peer)
        if now - self._asked_at >= ASK_AGAIN_MS:
            if self._links.send(self._peer, messages.ConfigFetch(have_version=self.version)):
                self._asked_at = now

    def _unlink(self) -> None:
        if self._linked:
            self._links.disconnect(self._linked)
            self._linked, self._asked_at = "", float("-inf")

    def _answer(self, sender: str, message: betterproto.Message) -> None:
        assert isinstance(message, messages.ConfigFetch)
        if self._configuration is None or message.have_version >= self.version:
            return
        if self._piece is None:
            self._piece = messages.ConfigPiece(0, self.version, encode_piece(self._configuration))
        self._links.send(sender, self._piece)
