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
    """

    def __init__(
        self, max_blocks: int = 200_000, max_holders: int = 8, block_tokens: int = 64
    ) -> None:
        self.max_blocks = max_blocks
        self.max_holders = max_holders
        self.block_tokens = block_tokens
        self.holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def add(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Remember that an endpoint holds blocks.

        :param endpoint: endpoint name.
        :param blocks: block hashes.
        """
        for block in blocks:
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
        for block in blocks:
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

    def cached_tokens(self, endpoint: str, hashes: Sequence[int]) -> int:
        """Return how many leading tokens of a prompt an endpoint probably holds.

        :param endpoint: endpoint name.
        :param hashes: hashes of the prompt's leading blocks, first block first.
        """
        low = 0
        high = len(hashes)
        while low < high:
            middle = (low + high) // 2
            if endpoint in self.holders.get(hashes[middle], ()):
                low = middle + 1
            else:
                high = middle
        return low * self.block_tokens

    def endpoints(self, hashes: Sequence[int], limit: int) -> list[str]:
        """Return endpoints that probably hold the most of a prompt.

        :param hashes: hashes of the prompt's leading blocks, first block first.
        :param limit: most endpoints to return.
        """
        low = 0
        high = len(hashes)
        while low < high:
            middle = (low + high) // 2
            if hashes[middle] in self.holders:
                low = middle + 1
            else:
                high = middle
        found: list[str] = []
        step = max(1, low // 4)
        for index in range(low - 1, -1, -step):
            for name in self.holders.get(hashes[index], ()):
                if name not in found:
                    found.append(name)
            if len(found) >= limit:
                break
        return found[:limit]
