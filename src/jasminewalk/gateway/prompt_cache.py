"""Estimate of the prompt parts that each engine keeps in memory."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from jasminewalk.platform.headers import PromptPart

__all__ = ["PromptCache"]

# Share of an engine's memory that parts of finished requests can fill.
USABLE_SHARE = 0.95


@attrs.define
class PromptCache:
    """Parts that one engine is believed to keep, least recently used first.

    :param capacity_tokens: tokens that the engine's memory holds.
    """

    capacity_tokens: int
    parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    used_tokens: int = 0

    def count_cached_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt are kept.

        :param prompt: parts in the order of the prompt.
        """
        cached = 0
        for part in prompt:
            if part.part_id not in self.parts:
                break
            cached += part.tokens
        return cached

    def add(self, prompt: Sequence[PromptPart]) -> None:
        """Remember that the engine read a prompt.

        :param prompt: parts in the order of the prompt.
        """
        # The first part is needed by all others, so it is the most recent.
        for part in reversed(prompt):
            known_tokens = self.parts.pop(part.part_id, None)
            self.used_tokens += part.tokens - (known_tokens or 0)
            self.parts[part.part_id] = part.tokens
        while self.used_tokens > USABLE_SHARE * self.capacity_tokens and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.used_tokens -= tokens

    def remove(self, part_id: str) -> None:
        """Forget a part that was not read after all.

        :param part_id: id of the part.
        """
        self.used_tokens -= self.parts.pop(part_id, 0)

    def clear(self) -> None:
        """Forget all parts."""
        self.parts.clear()
        self.used_tokens = 0
