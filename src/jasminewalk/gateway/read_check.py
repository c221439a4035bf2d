"""Whether this gateway knows all engines and versions that other gateways know.

A gateway that stood still, or was cut off, may have missed a version at which others
began streams since. It must not conclude from what it knows which version that was.
"""

import asyncio

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway.store_follower import TopicFollower
from jasminewalk.gateway.stream_versions import GatewaysAnswer, ReadState

__all__ = ["ReadCheck"]

# Longest time in seconds that a caller who resumes a stream waits for the store.
MAX_READ_WAIT_S = 0.4


class ReadCheck:
    """Reads what may have been missed, or compares it with other gateways.

    :param registry: follower of the registry.
    :param shares: follower of the shares of versions.
    """

    def __init__(self, registry: TopicFollower, shares: TopicFollower) -> None:
        self.registry = registry
        self.shares = shares

    @property
    def announced_state(self) -> ReadState:
        """How far this gateway has read what had an effect, to tell others."""
        return ReadState(
            self.registry.announced_era,
            self.registry.changed_offset,
            self.shares.changed_offset,
        )

    async def read_since(self, asked_at: float) -> bool:
        """Read what the store had at a time; return whether it answered.

        :param asked_at: the monotonic time in seconds.
        """
        try:
            async with asyncio.timeout(MAX_READ_WAIT_S):
                for follower in (self.registry, self.shares):
                    await follower.read_since(asked_at)
        except (LogUnavailableError, OSError, TimeoutError):
            return False
        return True

    def is_in_step(self, answer: GatewaysAnswer) -> bool:
        """Return whether no gateway that answered has read more than this one.

        If none has said how far it has read, this one can't know.

        :param answer: answer to a question that was asked just now.
        """
        if self.registry.offset is None or self.shares.offset is None:
            return False
        own = ReadState(
            self.registry.announced_era, self.registry.offset, self.shares.offset
        )
        return bool(answer.read_states) and all(
            own.includes(state) for state in answer.read_states
        )
