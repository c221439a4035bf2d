"""Limits on the connections of one server and on the memory behind them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from absl import logging

from jasminewalk.transport.memory_limit import MemoryLimit

if TYPE_CHECKING:
    from jasminewalk.transport._http_protocol import LimitedHttpProtocol

__all__ = ["ConnectionGuard"]

MEGABYTE = 1_000_000
# Memory of an entry or a sidecar that serves nobody, and of an open connection that is
# idle.
BASE_BYTES = 62_000_000
CONNECTION_BYTES = 16 * 1024
# Share of the memory that is planned with; the rest is for what the allocator leaves
# unused between objects, and for what is collected late.
PLANNED_SHARE = 0.85
# Least memory for requests and answers, however small the process shall be.
MIN_BUFFER_BYTES = 8 * 1024 * 1024
# Shares of that for requests, with answers until they are sent, and for what callers
# leave unread.
REQUESTS_SHARE, UNREAD_SHARE = 0.45, 0.25
# Seconds after which a request that is not complete makes room for a new connection.
MIN_ARRIVAL_S = 1.0
# One refusal in so many is logged.
LOGGED_SHARE = 100


@attrs.define(eq=False)
class ConnectionGuard:
    """Keeps what the connections of a server hold within the memory of its process.

    :param max_connections: open connections.
    :param memory: limit on requests, and on answers until they are sent.
    :param max_unsent_bytes: bytes of answers that were sent and not read.
    :param on_refused: function called with the kind of what was given up.
    :param connections: open connections.
    :param refused_count: number of times that something was given up.
    """

    max_connections: int
    memory: MemoryLimit
    max_unsent_bytes: int
    on_refused: Callable[[str], None] = lambda kind: None
    connections: set["LimitedHttpProtocol"] = attrs.field(factory=set)
    refused_count: int = 0

    @classmethod
    def from_limits(
        cls, memory_mb: int, max_connections: int, on_refused: Callable[[str], None]
    ) -> "ConnectionGuard":
        """Divide the memory of a process.

        :param memory_mb: memory in megabytes.
        :param max_connections: maximum number of open connections.
        :param on_refused: function called with the kind of what was given up.
        """
        planned = PLANNED_SHARE * memory_mb * MEGABYTE - BASE_BYTES
        left = max(MIN_BUFFER_BYTES, planned - max_connections * CONNECTION_BYTES)
        guard = cls(
            max_connections,
            MemoryLimit(int(REQUESTS_SHARE * left)),
            int(UNREAD_SHARE * left),
            on_refused,
        )
        guard.memory.on_refused = guard.report
        return guard

    def report(self, kind: str, size: int) -> None:
        """Count and log that something was given up.

        :param kind: what held the memory or the descriptor.
        :param size: bytes that it held.
        """
        self.on_refused(kind)
        if self.refused_count % LOGGED_SHARE == 0:
            logging.warning(
                "[http] Limit reached. kind=%s bytes=%d held=%d connections=%d",
                kind,
                size,
                self.memory.held_bytes,
                len(self.connections),
            )
        self.refused_count += 1

    def add(self, connection: "LimitedHttpProtocol", now: float) -> None:
        """Register a connection; close one if there are too many.

        The one that was idle for longest is closed, else the one whose request has been
        arriving for longest, else the new one.

        :param connection: the new connection.
        :param now: monotonic time in seconds.
        """
        if len(self.connections) >= self.max_connections:
            victim = self._find_least_useful(now) or connection
            self.report("connections", 0)
            self.connections.discard(victim)
            victim.abort()
            if victim is connection:
                return
        self.connections.add(connection)

    def _find_least_useful(self, now: float) -> "LimitedHttpProtocol | None":
        idle = [known for known in self.connections if known.is_idle]
        if idle:
            return min(idle, key=lambda known: known.idle_since)
        arriving = [
            known
            for known in self.connections
            if known.arrival_since is not None
            and now - known.arrival_since > MIN_ARRIVAL_S
        ]
        return min(arriving, key=lambda known: known.arrival_since or 0.0, default=None)

    def limit_unsent(self) -> None:
        """Abort the connections whose callers leave most of their answers unread."""
        sizes = {
            known: known.transport.get_write_buffer_size()
            for known in self.connections
            if known.flow.write_paused and not known.transport.is_closing()
        }
        total = sum(sizes.values())
        while total > self.max_unsent_bytes:
            largest = max(sizes, key=lambda known: sizes[known])
            size = sizes.pop(largest)
            total -= size
            self.report("unread", size)
            largest.abort()
