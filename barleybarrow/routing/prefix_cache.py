"""Model of the prefix cache of a server, from the prompts sent to it.

Evicts the least recently used segments, as the server does. It uses no feedback from the server.
"""

from collections import OrderedDict

PromptSegments = tuple[tuple[str, int], ...]


ANONYMOUS_KEY_PREFIX = " "  # marks the keys of anonymous segments; ids of segments are hexadecimal


class PrefixCache:
    """Prompt segments that are probably cached on one server, least recently used first."""

    __slots__ = ("_anonymous_count", "_segments", "_tokens", "capacity_tokens")

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._segments: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        self._anonymous_count = 0

    def __contains__(self, segment_id: str) -> bool:
        return segment_id in self._segments

    def __len__(self) -> int:
        return len(self._segments)

    @property
    def tokens(self) -> int:
        """Number of tokens in the cache."""
        return self._tokens

    def cached_tokens(self, segments: PromptSegments) -> int:
        """Tokens that need no prefill: those of the leading segments up to the first one not cached."""
        cached, known_segments = 0, self._segments
        for segment_id, tokens in segments:
            if segment_id not in known_segments:
                break
            cached += tokens
        return cached

    def insert(self, segments: PromptSegments) -> None:
        """Add a prompt; leading segments become the most recent, so a prefix is evicted from its end."""
        known_segments = self._segments
        for segment_id, tokens in reversed(segments):
            previous_tokens = known_segments.pop(segment_id, 0)
            known_segments[segment_id] = tokens
            self._tokens += tokens - previous_tokens
        self._evict()

    def insert_anonymous(self, tokens: int) -> None:
        """Add tokens without a known id: no lookup finds them, but they evict older segments."""
        self._anonymous_count += 1
        self._segments[f"{ANONYMOUS_KEY_PREFIX}{self._anonymous_count}"] = tokens
        self._tokens += tokens
        self._evict()

    def _evict(self) -> None:
        while self._tokens > self.capacity_tokens and self._segments:
            _, tokens = self._segments.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Remove everything, after a restart of the server."""
        self._segments.clear()
        self._tokens = 0
