"""Limit on the response bodies that client connections hold in memory."""

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from jasminewalk.http1.client import Connection

__all__ = ["ReceiveBudget"]

# Bytes of bodies that all exchanges with one budget may hold. If there are more, the
# exchange that holds most is aborted.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Bytes that one connection receives at once.
BUFFER_BYTES = 64 * 1024


@attrs.define(eq=False)
class ReceiveBudget:
    """Limit on the bytes of response bodies that several connections hold in memory.

    :param limit_bytes: maximum number of bytes.
    :param held_bytes: number of bytes held now.
    :param connections: open connections that share the budget.
    :param buffer: buffer into which they receive, one at a time.
    """

    limit_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    connections: set["Connection"] = attrs.field(factory=set)
    buffer: memoryview = attrs.field(
        factory=lambda: memoryview(bytearray(BUFFER_BYTES)), repr=False
    )

    def enforce(self) -> None:
        """Abort the exchanges that hold most until the limit is kept."""
        while self.held_bytes > self.limit_bytes and self.connections:
            largest = max(
                self.connections, key=lambda connection: connection.held_bytes
            )
            if not largest.held_bytes:
                return
            largest.abort("too many bytes of bodies in memory")
