"""Chooses the source from which a proxy fetches the configuration. No I/O; times are in milliseconds.

The source that offers the highest version is asked first; if it does not answer in time, the next one with a
newer version is asked. The version in force never decreases.
"""

from dataclasses import dataclass

INITIAL_TIMEOUT_MS = 250.0
MAX_TIMEOUT_MS = 2000.0  # a large snapshot on a slow link takes long; a second request would delay it further


@dataclass(slots=True)
class Offer:
    """The versions that one source has offered."""

    version: int = 0
    confirmed_version: int = -1  # newest confirmed by a majority since the subscription; -1: none


class ConfigurationFetcher:
    """Offers of all sources, and the single fetch in progress."""

    def __init__(self) -> None:
        self.version = 0  # in force in this process
        self.confirmed = False  # the version in force has reached a majority-confirmed one
        self.pending_source = ""  # source of the fetch in progress; empty: none
        self._requested_at = 0.0
        self._timeout_ms = INITIAL_TIMEOUT_MS
        self._offers: dict[str, Offer] = {}

    def on_offer(self, source: str, version: int, confirmed: bool) -> None:
        """Handle an offer of a version by a source."""
        offer = self._offers.setdefault(source, Offer())
        offer.version = max(offer.version, version)
        if confirmed:
            offer.confirmed_version = max(offer.confirmed_version, version)
        self._update_confirmed()

    def on_disconnected(self, source: str) -> None:
        """Forget the offers of a source whose connection was lost."""
        self._offers.pop(source, None)
        if self.pending_source == source:
            self.pending_source = ""

    def on_applied(self, version: int) -> None:
        """Handle that a version has come into force in this process."""
        self.version = max(self.version, version)
        self.pending_source, self._timeout_ms = "", INITIAL_TIMEOUT_MS
        self._update_confirmed()

    def next_source(self, now: float) -> str | None:
        """Return the source to ask now, if any; a source that timed out is followed by the next in order."""
        candidates = sorted(source for source, offer in self._offers.items() if offer.version > self.version)
        if not candidates:
            self.pending_source = ""
            return None
        if self.pending_source:
            if now - self._requested_at < self._timeout_ms:
                return None
            self._timeout_ms = min(self._timeout_ms * 2, MAX_TIMEOUT_MS)
        following = [source for source in candidates if source > self.pending_source]
        self.pending_source = (
            (following or candidates)[0] if self.pending_source else self._highest_offer(candidates)
        )
        self._requested_at = now
        return self.pending_source

    def _highest_offer(self, sources: list[str]) -> str:
        return max(sources, key=lambda source: self._offers[source].version)

    def _update_confirmed(self) -> None:
        for offer in self._offers.values():
            if 0 <= offer.confirmed_version <= self.version:
                self.confirmed = True
