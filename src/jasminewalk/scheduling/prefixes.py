"""Index of the prompt prefixes that endpoints probably hold in their caches."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """Bounded map from prefix blocks to the endpoints that probably hold them.

    Each hash covers all blocks up to its own, so an endpoint that holds a block of a
    prompt is assumed to hold all blocks before it.

    :param max_blocks: maximum number of blocks; the least recently used are evicted.
    :param max_endpoints_per_block: maximum number of endpoints kept for one block;
        the newest are kept.
    :param block_tokens: tokens in a block.
    :param sampling_interval: one block in this many is kept, chosen by its hash.
    """

    def __init__(
        self,
        max_blocks: int = 200_000,
        max_endpoints_per_block: int = 8,
        block_tokens: int = 64,
        sampling_interval: int = 4,
    ) -> None:
        self.max_blocks = max_blocks
        self.max_endpoints_per_block = max_endpoints_per_block
        self.block_tokens = block_tokens
        self.sampling_interval = sampling_interval
        self.endpoints_by_block: OrderedDict[int, tuple[str, ...]] = OrderedDict()

    def add(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Record that an endpoint holds blocks.

        :param endpoint: endpoint name.
        :param blocks: block hashes.
        """
        sampling_interval = self.sampling_interval
        for block in blocks:
            if block % sampling_interval:
                continue
            known = self.endpoints_by_block.get(block, ())
            if endpoint not in known:
                self.endpoints_by_block[block] = (*known, endpoint)[
                    -self.max_endpoints_per_block :
                ]
            self.endpoints_by_block.move_to_end(block)
        while len(self.endpoints_by_block) > self.max_blocks:
            self.endpoints_by_block.popitem(last=False)

    def remove(self, endpoint: str, blocks: Iterable[int]) -> None:
        """Record that an endpoint no longer holds blocks.

        :param endpoint: endpoint name.
        :param blocks: block hashes.
        """
        sampling_interval = self.sampling_interval
        for block in blocks:
            if block % sampling_interval:
                continue
            known = self.endpoints_by_block.get(block, ())
            if endpoint not in known:
                continue
            remaining = tuple(name for name in known if name != endpoint)
            if remaining:
                self.endpoints_by_block[block] = remaining
            else:
                del self.endpoints_by_block[block]

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove all blocks of an endpoint.

        :param endpoint: endpoint name.
        """
        held_blocks = [
            block
            for block, names in self.endpoints_by_block.items()
            if endpoint in names
        ]
        self.remove(endpoint, held_blocks)

    def sample_blocks(self, hashes: Sequence[int]) -> list[tuple[int, int]]:
        """Return the positions and hashes of a prompt's blocks that the index keeps.

        :param hashes: hashes of the prompt's leading blocks, first block first.
        """
        sampling_interval = self.sampling_interval
        return [
            (index, block)
            for index, block in enumerate(hashes)
            if not block % sampling_interval
        ]

    def estimate_cached_tokens(
        self, endpoint: str, sampled_blocks: Sequence[tuple[int, int]]
    ) -> int:
        """Estimate how many leading tokens of a prompt an endpoint holds.

        :param endpoint: endpoint name.
        :param sampled_blocks: blocks of the prompt, as returned by
            :meth:`sample_blocks`.
        """
        low = 0
        high = len(sampled_blocks)
        while low < high:
            middle = (low + high) // 2
            if endpoint in self.endpoints_by_block.get(sampled_blocks[middle][1], ()):
                low = middle + 1
            else:
                high = middle
        if low == 0:
            return 0
        min_cached_blocks = sampled_blocks[low - 1][0] + 1
        max_cached_blocks = (
            sampled_blocks[low][0]
            if low < len(sampled_blocks)
            else min_cached_blocks + self.sampling_interval - 1
        )
        return (min_cached_blocks + max_cached_blocks) // 2 * self.block_tokens

    def find_endpoints(
        self, sampled_blocks: Sequence[tuple[int, int]], limit: int
    ) -> list[str]:
        """Find endpoints that probably hold the longest prefix of a prompt.

        :param sampled_blocks: blocks of the prompt, as returned by
            :meth:`sample_blocks`.
        :param limit: maximum number of endpoints to return.
        """
        low = 0
        high = len(sampled_blocks)
        while low < high:
            middle = (low + high) // 2
            if sampled_blocks[middle][1] in self.endpoints_by_block:
                low = middle + 1
            else:
                high = middle
        found: dict[str, None] = {}
        step = max(1, low // 4)
        for index in range(low - 1, -1, -step):
            found.update(
                dict.fromkeys(self.endpoints_by_block.get(sampled_blocks[index][1], ()))
            )
            if len(found) >= limit:
                break
        return list(found)[:limit]
