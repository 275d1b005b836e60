"""The memory of an emulated engine: parts of prompts, shared by running requests and kept until they give
way.
"""

from collections import OrderedDict

PromptParts = tuple[tuple[str, int], ...]


class KvMemory:
    """Parts kept and pinned, and tokens that running requests have generated."""

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.generated = 0
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._pins: dict[str, int] = {}
        self._tokens = 0

    @property
    def used_tokens(self) -> int:
        """Tokens of parts and of what was generated."""
        return self._tokens + self.generated

    def pinned_tokens(self) -> int:
        """Tokens that cannot give way."""
        return sum(self._parts[part] for part in self._pins) + self.generated

    def kept_tokens(self, parts: PromptParts) -> int:
        """Tokens of the leading parts that are all kept."""
        kept = 0
        for part_id, tokens in parts:
            if part_id not in self._parts:
                break
            kept += tokens
        return kept

    def pin(self, parts: PromptParts) -> None:
        """Hold all parts of a prompt that is about to be read."""
        for part_id, tokens in reversed(parts):
            if part_id not in self._parts:
                self._parts[part_id] = tokens
                self._tokens += tokens
            self._parts.move_to_end(part_id)
            self._pins[part_id] = self._pins.get(part_id, 0) + 1

    def unpin(self, parts: PromptParts) -> None:
        """Let the parts of a prompt give way again."""
        for part_id, _ in parts:
            self._pins[part_id] -= 1
            if not self._pins[part_id]:
                del self._pins[part_id]

    def make_room(self) -> bool:
        """Drop the parts unused longest until all fits; whether it does."""
        while self.used_tokens > self.capacity_tokens:
            victim = next((part for part in self._parts if part not in self._pins), None)
            if victim is None:
                return False
            self._tokens -= self._parts.pop(victim)
        return True
