"""HTTP/1.1 server for the connections of callers."""

import asyncio
from collections.abc import Awaitable, Callable

from jasminewalk.http1.caller_connection import UNAVAILABLE, CallerConnection
from jasminewalk.http1.caller_request import CallerLimits, CallerRequest

__all__ = ["CallerConnection", "CallerLimits", "CallerRequest", "CallerServer"]

# Seconds within which a request with a body must arrive, from its first bytes to its
# last; ample for slow links.
BODY_TIMEOUT_S = 15.0
# Bytes that requests of all connections of one server may hold in memory. Over it, the
# largest request that is not complete is refused.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Bytes of responses that callers have not read. Over it, the connection with most of
# them is aborted.
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# Open connections. Over it, one that is idle is closed for a new one.
MAX_CONNECTIONS = 10_000
# Seconds after which a request that is not complete makes room for a new connection.
MIN_ARRIVAL_S = 1.0
# Bytes that are received at once; all connections share the buffer.
BUFFER_BYTES = 32 * 1024
# Seconds in which a request may arrive on a connection that a caller believes to last.
ARRIVAL_S = 0.3
# Seconds between two checks for idle connections and slow requests.
SWEEP_INTERVAL_S = 0.25
REQUEST_TIMEOUT = 408

Handler = Callable[[CallerConnection, CallerRequest], Awaitable[None]]


class CallerServer:
    """Server that accepts callers and passes their requests to a handler.

    :param handler: coroutine function that handles one request.
    :param clock: function that returns the monotonic time in seconds.
    :param on_error: function called with a request whose handler raised and the error.
    :param on_refused: function called with the status of a request that could not be
        read.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        on_error: Callable[[CallerRequest, Exception], None],
        on_refused: Callable[[int], None],
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.on_error = on_error
        self.on_refused = on_refused
        self.on_unread: Callable[[int], None] = lambda unsent_bytes: None
        self.limits = CallerLimits()
        self.connections: set[CallerConnection] = set()
        self.max_connections = MAX_CONNECTIONS
        self.buffer = memoryview(bytearray(BUFFER_BYTES))
        self.active = 0
        self.held_bytes = 0
        self.max_held_bytes = MAX_HELD_BYTES
        self.unsent_body_bytes = 0
        self.max_unsent_bytes = MAX_UNSENT_BYTES
        self.draining = False
        self.ends_at = float("inf")
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to accept connections.

        :param address: ``host:port`` to listen on.
        """
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=512
        )

    def add_connection(self, connection: CallerConnection) -> None:
        """Register a connection; close one if there are too many.

        The one that was idle for longest is closed, or else the one whose request has
        been arriving for longest is refused, or else the new one is closed.

        :param connection: the new connection.
        """
        if len(self.connections) >= self.max_connections:
            idle = [known for known in self.connections if known.is_idle]
            oldest = min(idle, key=lambda known: known.idle_since, default=None)
            slowest = self._find_slowest()
            if oldest is not None:
                self.connections.discard(oldest)
                oldest.close()
            elif slowest is not None:
                self.connections.discard(slowest)
                slowest.refuse(UNAVAILABLE)
            else:
                connection.abort()
                return
        self.connections.add(connection)

    def _find_slowest(self) -> CallerConnection | None:
        """Return the connection whose first request has been arriving for longest."""
        latest_s = self.clock() - MIN_ARRIVAL_S
        arriving = {
            known: known.request_started_s
            for known in self.connections
            if known.task is None
            and not known.closing
            and known.request_started_s is not None
            and known.request_started_s < latest_s
        }
        return min(arriving, key=lambda known: arriving[known], default=None)

    def refuse_largest(self) -> None:
        """Refuse the largest request that is not complete."""
        largest = max(
            (known for known in self.connections if not known.closing),
            key=lambda known: known.incomplete_bytes,
            default=None,
        )
        if largest is not None and largest.incomplete_bytes:
            largest.refuse(UNAVAILABLE)

    async def sweep_forever(self) -> None:
        """Close idle connections and reject slow requests periodically."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Close idle connections and reject slow requests once."""
        now = self.clock()
        for connection in list(self.connections):
            if connection.task is not None:
                connection.unsent_bytes = 0
                continue
            connection.check_progress(now)
            if connection.closing:
                continue
            started_s = connection.request_started_s
            if started_s is not None:
                allowed_s = self.limits.header_timeout_s
                if connection.head_complete:
                    allowed_s = BODY_TIMEOUT_S
                if now - started_s > allowed_s:
                    connection.refuse(REQUEST_TIMEOUT)
            elif now - connection.idle_since > self.limits.idle_timeout_s:
                connection.close()
        self._limit_buffered_bytes()

    def limit_unsent_bytes(self) -> None:
        """Abort the connections whose callers leave most of long responses unread."""
        while self.unsent_body_bytes > self.max_unsent_bytes:
            largest = max(self.connections, key=lambda known: known.unsent_body_bytes)
            if not largest.unsent_body_bytes:
                return
            largest.abort_unread()

    def _limit_buffered_bytes(self) -> None:
        """Abort connections until all that is unsent is within the limit.

        Those of streams that go on count, too.
        """
        sizes = {known: known.count_unsent_bytes() for known in self.connections}
        total = sum(sizes.values())
        while total > self.max_unsent_bytes:
            largest = max(sizes, key=lambda known: sizes[known])
            total -= sizes.pop(largest)
            largest.abort_unread()

    def stop_listening(self) -> None:
        """Stop accepting connections, and soon also further requests on open ones."""
        self.ends_at = self.clock() + ARRIVAL_S
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close connections on which no request is being read or handled.

        A connection that was accepted, or whose last response was sent, within
        ``ARRIVAL_S`` is left open, as a request may be on its way.
        """
        latest_s = self.clock() - ARRIVAL_S
        for connection in list(self.connections):
            if connection.is_idle and connection.idle_since <= latest_s:
                connection.close()
