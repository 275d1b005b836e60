"""Encoding of configurations for links: as a snapshot, or as a delta between two versions."""

import zlib

import msgspec

from barleybarrow.documents import Configuration, ConfigurationDelta
from barleybarrow.replication import configuration_delta
from brackenusher.cluster import messages

MAX_DELTAS = 16  # a proxy that is more versions behind gets a snapshot
COMPRESSION_LEVEL = 1  # zlib level: repeated names compress well at any level, higher ones cost time


def encode_update(value: Configuration | ConfigurationDelta) -> bytes:
    """Encodes a configuration or a delta for the wire."""
    return zlib.compress(msgspec.json.encode(value), COMPRESSION_LEVEL)


class ConfigUpdates:
    """Updates to the newest configuration, encoded once per base version."""

    def __init__(self) -> None:
        self._latest: Configuration | None = None
        self._deltas: list[ConfigurationDelta] = []
        self._updates: dict[int, messages.ConfigPiece] = {}  # by base version

    @property
    def version(self) -> int:
        """The newest version; 0 if there is none."""
        return 0 if self._latest is None else self._latest.generation

    def add(self, configuration: Configuration) -> bool:
        """Adds a committed version; returns False if it is not newer."""
        previous = self._latest
        if configuration.generation <= self.version:
            return False
        if previous is not None:
            self._deltas.append(configuration_delta.diff(previous, configuration))
            del self._deltas[:-MAX_DELTAS]
        self._latest = configuration
        self._updates.clear()
        return True

    def update_from(self, have_version: int) -> messages.ConfigPiece | None:
        """Returns the update from a proxy's version to the newest; None if there is nothing newer."""
        if self._latest is None or have_version >= self.version:
            return None
        delta = self._delta_from(have_version)
        base = 0 if delta is None else have_version
        if base not in self._updates:
            document = encode_update(self._latest if delta is None else delta)
            self._updates[base] = messages.ConfigPiece(base, self.version, document)
        return self._updates[base]

    def _delta_from(self, base: int) -> ConfigurationDelta | None:
        """Returns the delta from a version; None if it is unknown or hardly smaller than a snapshot."""
        assert self._latest is not None
        composed: ConfigurationDelta | None = None
        for delta in self._deltas:
            if composed is not None:
                composed = configuration_delta.compose(composed, delta)
            elif delta.base_generation == base:
                composed = delta
        items = len(self._latest.routes) + len(self._latest.services) + len(self._latest.tenants)
        if composed is not None and configuration_delta.item_count(composed) * 2 > items:
            return None
        return composed
