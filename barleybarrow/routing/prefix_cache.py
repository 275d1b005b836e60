"""What a server is believed to keep of the prompts sent to it.

A bounded model: least recently used parts give way, as at the server. It never learns from the server
itself.
"""

from collections import OrderedDict

PromptParts = tuple[tuple[str, int], ...]


FILLER = " "  # begins the names of tokens without a part's id, which is in hex


class PrefixCache:
    """Parts of prompts believed kept at one server, least recently used first."""

    __slots__ = ("_fillers", "_parts", "_tokens", "capacity_tokens")

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        self._fillers = 0

    def __contains__(self, part_id: str) -> bool:
        return part_id in self._parts

    def __len__(self) -> int:
        return len(self._parts)

    @property
    def tokens(self) -> int:
        """Tokens of all parts believed kept."""
        return self._tokens

    def kept_tokens(self, parts: PromptParts) -> int:
        """Tokens that need not be read again: those of the leading parts that are all kept."""
        kept, known = 0, self._parts
        for part_id, tokens in parts:
            if part_id not in known:
                break
            kept += tokens
        return kept

    def sent(self, parts: PromptParts) -> None:
        """Note a prompt sent there; its first parts are used last, so that a chain loses its end first."""
        known = self._parts
        for part_id, tokens in reversed(parts):
            before = known.pop(part_id, 0)
            known[part_id] = tokens
            self._tokens += tokens - before
        self._drop_oldest()

    def fill(self, tokens: int) -> None:
        """Note tokens sent there that nobody will ask for by name: they push older parts out."""
        self._fillers += 1
        self._parts[f"{FILLER}{self._fillers}"] = tokens
        self._tokens += tokens
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        while self._tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Forget everything: the server has started anew."""
        self._parts.clear()
        self._tokens = 0
