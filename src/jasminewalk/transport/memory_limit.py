"""Limit on what open requests and responses hold in the memory of one process.

The load it answers: callers that nobody controls, many of which send bodies that do not
end, pipeline requests, or ask for long answers, all at once.
"""

from collections.abc import Callable

import attrs

__all__ = ["Holding", "MemoryLimit"]

# What holds more than this many bytes is large. All that is large may take this share
# of the limit, so that the rest is left for ordinary requests.
LARGE_BYTES = 256 * 1024
LARGE_SHARE = 0.9


class Holding:
    """Memory of one request or connection, in bytes.

    While ``on_refused`` is set, the limit may have it given up.

    :param limit: the limit that it counts for.
    :param kind: what holds the memory, for metrics.
    """

    def __init__(self, limit: "MemoryLimit", kind: str) -> None:
        self.limit = limit
        self.kind = kind
        self.held_bytes = 0
        self.refused = False
        self.on_refused: Callable[[], None] | None = None

    def allow_refusal(self, on_refused: Callable[[], None]) -> None:
        """Let the limit have this memory given up.

        :param on_refused: function that is called then, once.
        """
        self.on_refused = on_refused
        self.limit.refusable.add(self)

    def forbid_refusal(self) -> None:
        """Keep the memory from now on, whatever else is held."""
        self.on_refused = None
        self.limit.refusable.discard(self)

    def add(self, size: int) -> None:
        """Hold more.

        :param size: bytes to add.
        """
        self.resize(self.held_bytes + size)

    def resize(self, size: int) -> None:
        """Hold another number of bytes.

        :param size: bytes that are held from now on.
        """
        if not self.refused:
            self.limit.change(self, size)

    def close(self) -> None:
        """Hold nothing any more."""
        self.forbid_refusal()
        self.resize(0)

    def refuse(self) -> None:
        """Have the memory given up; nothing that is added later counts."""
        on_refused = self.on_refused
        self.close()
        self.refused = True
        if on_refused is not None:
            on_refused()


@attrs.define(eq=False)
class MemoryLimit:
    """Limit on the sum of all holdings; over it, the largest that may be is given up.

    :param limit_bytes: maximum number of bytes.
    :param held_bytes: bytes that are held now.
    :param large_bytes: bytes of them that large holdings have.
    :param refusable: holdings that may be given up.
    :param on_refused: function called with the kind and the bytes of one that was.
    """

    limit_bytes: int
    held_bytes: int = 0
    large_bytes: int = 0
    refusable: set[Holding] = attrs.field(factory=set)
    on_refused: Callable[[str, int], None] = lambda kind, size: None

    def open(self, kind: str) -> Holding:
        """Return a holding of nothing.

        :param kind: what holds the memory.
        """
        return Holding(self, kind)

    def change(self, holding: Holding, size: int) -> None:
        """Count a change of a holding, and keep the limit.

        :param holding: the holding.
        :param size: bytes that it holds from now on.
        """
        grows = size > holding.held_bytes
        self.held_bytes += size - holding.held_bytes
        self.large_bytes += _count_large(size) - _count_large(holding.held_bytes)
        holding.held_bytes = size
        if grows:
            self.enforce()

    def enforce(self) -> None:
        """Have holdings given up, the largest first, until the limit is kept."""
        while self.is_exceeded or self.is_exceeded_by_large:
            largest = max(
                self.refusable, key=lambda holding: holding.held_bytes, default=None
            )
            if largest is None or not largest.held_bytes:
                return
            size = largest.held_bytes
            if not (self.is_exceeded or _count_large(size)):
                return
            largest.refuse()
            self.on_refused(largest.kind, size)

    @property
    def max_large_bytes(self) -> int:
        """Bytes that all large holdings may have."""
        return int(LARGE_SHARE * self.limit_bytes)

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the limit is held."""
        return self.held_bytes > self.limit_bytes

    @property
    def is_exceeded_by_large(self) -> bool:
        """Whether large holdings have more than their share."""
        return self.large_bytes > self.max_large_bytes


def _count_large(size: int) -> int:
    return size if size > LARGE_BYTES else 0
