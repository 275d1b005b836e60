"""When a proxy asks which source for the configuration. No I/O; milliseconds.

The first source that offers a newer version is asked; where nothing comes in time, the next one that does.
The version in force never goes back.
"""

from dataclasses import dataclass

FIRST_PATIENCE_MS = 250.0
LONGEST_PATIENCE_MS = 2000.0  # a large snapshot over a narrow link; asked twice it would only take longer


@dataclass(slots=True)
class Offer:
    """What a source last offered."""

    version: int = 0
    confirmed_version: int = -1  # newest that a majority confirmed after the subscription; -1: none


class ConfigurationFetch:
    """Offers of all sources, and the one fetch that is under way."""

    def __init__(self) -> None:
        self.version = 0  # in force here
        self.confirmed = False  # a version that a majority confirmed has been reached
        self.asked = ""  # the source of the fetch under way; empty: none
        self._asked_at = 0.0
        self._patience = FIRST_PATIENCE_MS
        self._offers: dict[str, Offer] = {}

    def offered(self, source: str, version: int, confirmed: bool) -> None:
        """A source offers a version."""
        offer = self._offers.setdefault(source, Offer())
        offer.version = max(offer.version, version)
        if confirmed:
            offer.confirmed_version = max(offer.confirmed_version, version)
        self._judge()

    def lost(self, source: str) -> None:
        """A source is out of touch."""
        self._offers.pop(source, None)
        if self.asked == source:
            self.asked = ""

    def taken(self, version: int) -> None:
        """A version is in force."""
        self.version = max(self.version, version)
        self.asked, self._patience = "", FIRST_PATIENCE_MS
        self._judge()

    def ask(self, now: float) -> str | None:
        """The source to be asked now, if any."""
        newer = sorted(source for source, offer in self._offers.items() if offer.version > self.version)
        if not newer:
            self.asked = ""
            return None
        if self.asked:
            if now - self._asked_at < self._patience:
                return None
            self._patience = min(self._patience * 2, LONGEST_PATIENCE_MS)
        later = [source for source in newer if source > self.asked]
        self.asked = (later or newer)[0] if self.asked else self._newest(newer)
        self._asked_at = now
        return self.asked

    def _newest(self, sources: list[str]) -> str:
        return max(sources, key=lambda source: self._offers[source].version)

    def _judge(self) -> None:
        for offer in self._offers.values():
            if 0 <= offer.confirmed_version <= self.version:
                self.confirmed = True
