"""Which endpoints probably hold which prompt prefixes in their caches."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """Bounded map from prefix blocks to the endpoints that probably hold them.

    Hashes are chained, so an endpoint that holds a block of a prompt is taken to
    hold all blocks before it.

    :param max_blocks: most blocks remembered; the least recently used go first.
    :param max_holders: most endpoints remembered for one block.
    :param block_tokens: tokens in a block.
    :param sampling: one block in how many is kept, chosen by its hash.
    """

    def __init__(
        self,
        max_blocks: int = 200_000,
        max_holders: int = 8,
        block_tokens: int = 64,
        sampling: int = 4,
    ) -> None:
        self.max_blocks = max_blocks
        self.max_holders = max_holders
        self.block_tokens = block_tokens
        self.sampling = sampling
        self.holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def add(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Remember that an endpoint holds blocks.

        :param endpoint: endpoint name.
        :param blocks: block hashes.
        """
        sampling = self.sampling
        for block in blocks:
            if block % sampling:
                continue
            known = self.holders.get(block, ())
            if endpoint not in known:
                self.holders[block] = (*known, endpoint)[-self.max_holders :]
            self.holders.move_to_end(block)
        while len(self.holders) > self.max_blocks:
            self.holders.popitem(last=False)

    def remove(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Remember that an endpoint no longer holds blocks.

        :param endpoint: endpoint name.
        :param blocks: block hashes.
        """
        sampling = self.sampling
        for block in blocks:
            if block % sampling:
                continue
            known = self.holders.get(block, ())
            if endpoint not in known:
                continue
            left = tuple(name for name in known if name != endpoint)
            if left:
                self.holders[block] = left
            else:
                del self.holders[block]

    def forget(self, endpoint: str) -> None:
        """Drop all blocks of an endpoint.

        :param endpoint: endpoint name.
        """
        held = [block for block, names in self.holders.items() if endpoint in names]
        self.remove(endpoint, held)

    def sampled(self, hashes: Sequence[int]) -> list[tuple[int, int]]:
        """Return the blocks of a prompt that are kept, with their positions.

        :param hashes: hashes of the prompt's leading blocks, first block first.
        """
        sampling = self.sampling
        return [
            (index, block) for index, block in enumerate(hashes) if not block % sampling
        ]

    def cached_tokens(self, endpoint: str, sampled: Sequence[tuple[int, int]]) -> int:
        """Return how many leading tokens of a prompt an endpoint probably holds.

        :param endpoint: endpoint name.
        :param sampled: what ``sampled`` returned for the prompt.
        """
        low = 0
        high = len(sampled)
        while low < high:
            middle = (low + high) // 2
            if endpoint in self.holders.get(sampled[middle][1], ()):
                low = middle + 1
            else:
                high = middle
        if low == 0:
            return 0
        first = sampled[low - 1][0] + 1
        last = sampled[low][0] if low < len(sampled) else first + self.sampling - 1
        return (first + last) // 2 * self.block_tokens

    def endpoints(self, sampled: Sequence[tuple[int, int]], limit: int) -> list[str]:
        """Return endpoints that probably hold the most of a prompt.

        :param sampled: what ``sampled`` returned for the prompt.
        :param limit: most endpoints to return.
        """
        low = 0
        high = len(sampled)
        while low < high:
            middle = (low + high) // 2
            if sampled[middle][1] in self.holders:
                low = middle + 1
            else:
                high = middle
        found: dict[str, None] = {}
        step = max(1, low // 4)
        for index in range(low - 1, -1, -step):
            found.update(dict.fromkeys(self.holders.get(sampled[index][1], ())))
            if len(found) >= limit:
                break
        return list(found)[:limit]
