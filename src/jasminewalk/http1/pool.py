"""Pool of idle client connections."""

from collections.abc import Callable

import attrs

from jasminewalk.http1.client import Connection

__all__ = ["ConnectionPool"]

# A connection is closed after this many exchanges, as it keeps the ids of all of them.
MAX_EXCHANGES = 1000


@attrs.define(eq=False)
class ConnectionPool:
    """Pool of idle connections to one address.

    :param address: ``host:port``.
    :param clock: function that returns the monotonic time in seconds.
    :param max_idle_s: seconds after which a sweep closes an idle connection.
    :param idle: idle connections, the most recently used last.
    :param closed: whether connections are closed when they are returned.
    """

    address: str
    clock: Callable[[], float]
    max_idle_s: float = 4.0
    idle: list[Connection] = attrs.field(factory=list)
    closed: bool = False

    def take_idle(self, idle_limit_s: float, request_id: str) -> Connection | None:
        """Return the most recently used idle connection, or None.

        Connections that were idle for too long are closed. Half of the timeout that the
        peer announced is allowed, so that the peer does not close the connection first.
        One that carried the same request before is left out, because a late response to
        that attempt has the same id.

        :param idle_limit_s: maximum time that the connection was idle, in seconds.
        :param request_id: id of the request that is sent over the connection.
        """
        now = self.clock()
        for connection in reversed(self.idle):
            timeout_s = connection.idle_timeout_s
            allowed_s = idle_limit_s if timeout_s is None else timeout_s / 2
            usable = not connection.closed and now - connection.idle_since <= min(
                allowed_s, idle_limit_s
            )
            if usable and request_id in connection.request_ids:
                continue
            self.idle.remove(connection)
            if usable:
                return connection
            connection.abort()
        return None

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        :param connection: connection whose exchange is complete.
        """
        connection.release()
        exhausted = connection.exchange_count >= MAX_EXCHANGES
        if self.closed or connection.closed or not connection.reusable or exhausted:
            connection.abort()
        else:
            self.idle.append(connection)

    def sweep(self) -> None:
        """Close connections that were idle for longer than ``max_idle_s``."""
        now = self.clock()
        kept = []
        for connection in self.idle:
            if connection.closed:
                continue
            if now - connection.idle_since > self.max_idle_s:
                connection.abort()
            else:
                kept.append(connection)
        self.idle = kept

    def close(self) -> None:
        """Close all idle connections, and those that are returned later."""
        self.closed = True
        for connection in self.idle:
            connection.abort()
        self.idle.clear()
