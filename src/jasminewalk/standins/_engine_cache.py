"""Prefix cache of a simulated engine and the events that it publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs

from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.interfaces import CachePage

__all__ = ["PrefixCache"]

RESTART_SEQUENCE_GAP = 1000


@attrs.frozen
class _CacheEvent:
    """One change of the cache.

    :param sequence: sequence number of the event.
    :param at_s: time of the change in seconds.
    :param block: hash of the block.
    :param added: whether the block was stored; otherwise it was evicted.
    """

    sequence: int
    at_s: float
    block: int
    added: bool


class PrefixCache:
    """LRU cache of prefix blocks, in the blocks that running streams leave free.

    :param settings: cache size, and lag and loss of events.
    :param rng: random source for lost events.
    """

    def __init__(self, settings: EngineModelSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.events: deque[_CacheEvent] = deque(maxlen=settings.event_buffer)
        self.next_sequence = 0
        self.reserved_blocks = 0

    def count_cached_tokens(self, hashes: Sequence[int]) -> int:
        """Return how many leading tokens of a prompt are cached, and mark them as used.

        :param hashes: hashes of the prompt's leading blocks, first block first.
        """
        count = 0
        for block in hashes:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            count += 1
        return count * self.settings.block_tokens

    def store(self, now_s: float, hashes: Sequence[int]) -> None:
        """Store the blocks of a prompt.

        :param now_s: current time in seconds.
        :param hashes: hashes of the prompt's leading blocks, first block first.
        """
        for block in hashes:
            if block in self.blocks:
                self.blocks.move_to_end(block)
            else:
                self.blocks[block] = None
                self.record_event(now_s, block, added=True)
        self.evict(now_s)

    def can_reserve(self, blocks: int) -> bool:
        """Return whether this many blocks can be reserved for a stream.

        :param blocks: number of KV cache blocks.
        """
        return self.reserved_blocks + blocks <= self.settings.cache_blocks

    def reserve(self, now_s: float, blocks: int) -> None:
        """Reserve blocks for a running stream, or release them.

        :param now_s: current time in seconds.
        :param blocks: number of KV cache blocks; negative to release them.
        """
        self.reserved_blocks += blocks
        self.evict(now_s)

    def evict(self, now_s: float) -> None:
        """Evict the least recently used blocks that no longer fit.

        :param now_s: current time in seconds.
        """
        capacity = self.settings.cache_blocks - self.reserved_blocks
        while len(self.blocks) > capacity:
            block, _ = self.blocks.popitem(last=False)
            self.record_event(now_s, block, added=False)

    def record_event(self, now_s: float, block: int, *, added: bool) -> None:
        """Record an event under the next sequence number, unless it is lost.

        :param now_s: current time in seconds.
        :param block: hash of the block.
        :param added: whether the block was stored; otherwise it was evicted.
        """
        loss = self.settings.event_loss
        if not loss or self.rng.random() >= loss:
            self.events.append(_CacheEvent(self.next_sequence, now_s, block, added))
        self.next_sequence += 1

    def clear(self) -> None:
        """Empty the cache, as a restart does.

        Sequence numbers continue after a gap, so that readers notice the loss.
        """
        self.blocks.clear()
        self.events.clear()
        self.reserved_blocks = 0
        self.next_sequence += RESTART_SEQUENCE_GAP

    def get_page(self, now_s: float, sequence: int) -> CachePage:
        """Return published events with consecutive sequence numbers.

        Lost events before the first one are skipped. The page ends at the next event
        that is lost or not yet published.

        :param now_s: current time in seconds.
        :param sequence: sequence number of the first event to return.
        """
        published_until_s = now_s - self.settings.event_lag_s
        first = next_sequence = sequence
        added: list[int] = []
        removed: list[int] = []
        for event in self.list_events_from(sequence):
            if event.at_s > published_until_s:
                break
            if not added and not removed:
                first = next_sequence = event.sequence
            if event.sequence != next_sequence:
                break
            (added if event.added else removed).append(event.block)
            next_sequence += 1
        return CachePage(first, next_sequence, added, removed)

    def list_events_from(self, sequence: int) -> list[_CacheEvent]:
        """Return the recorded events, starting at a sequence number.

        :param sequence: sequence number of the first event to return.
        """
        events = []
        for event in reversed(self.events):
            if event.sequence < sequence:
                break
            events.append(event)
        events.reverse()
        return events
