"""Estimate of the prompt parts that each engine has cached."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from jasminewalk.platform.headers import PromptPart

__all__ = ["PromptCache"]

# Share of an engine's KV cache that the parts of finished requests can fill.
USABLE_SHARE = 0.95


@attrs.define
class PromptCache:
    """Estimated prefix cache of one engine, with least-recently-used eviction.

    :param capacity_tokens: capacity of the engine's KV cache in tokens.
    :param parts: tokens of each cached part by its id, least recently used first.
    :param used_tokens: sum of the tokens of all cached parts.
    """

    capacity_tokens: int
    parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)
    used_tokens: int = 0

    def count_cached_tokens(self, prompt: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt are cached.

        :param prompt: parts in the order of the prompt.
        """
        cached = 0
        for part in prompt:
            if part.part_id not in self.parts:
                break
            cached += part.tokens
        return cached

    def add(self, prompt: Sequence[PromptPart]) -> None:
        """Record all parts of a prompt as cached; evict others if they do not fit.

        :param prompt: parts in the order of the prompt.
        """
        # A part is of use only with all parts before it, so the first is evicted last.
        for part in reversed(prompt):
            known_tokens = self.parts.pop(part.part_id, None)
            self.used_tokens += part.tokens - (known_tokens or 0)
            self.parts[part.part_id] = part.tokens
        while self.used_tokens > USABLE_SHARE * self.capacity_tokens and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.used_tokens -= tokens

    def remove(self, part_id: str) -> None:
        """Remove a part whose prefill did not complete.

        :param part_id: id of the part.
        """
        self.used_tokens -= self.parts.pop(part_id, 0)

    def clear(self) -> None:
        """Remove all parts."""
        self.parts.clear()
        self.used_tokens = 0
