"""Pool of HTTP/1.1 connections for streamed responses."""

from collections import deque
from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import anyio
import attrs
import httpcore

from jasminewalk.clock import Clock
from jasminewalk.transport._http import ATTEMPT_HEADER, split_address
from jasminewalk.transport.network import NetworkBackend, ReadTimeoutMonitor
from jasminewalk.transport.peer_auth import AUTH_HEADER, PeerAuthenticator

__all__ = [
    "ConnectionPool",
    "SidecarConnectionPool",
    "TRANSPORT_ERRORS",
    "CONNECT_ERRORS",
]

KEEPALIVE_EXPIRY_S = 30.0
MAX_IDLE_CONNECTIONS = 256
# Idle connections to a peer that are kept until they expire, and seconds after which
# any others, which a burst left, are closed.
KEPT_CONNECTIONS = 16
SURPLUS_IDLE_S = 3.0
EXPIRY_CHECK_INTERVAL_S = 1.0
CLOSE_TIMEOUT_S = 1.0

# After these errors the peer cannot have received the request.
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@attrs.frozen
class _IdleConnection:
    connection: httpcore.AsyncHTTP11Connection
    since_s: float


class ConnectionPool:
    """Keeps idle connections per address and opens new ones as needed.

    :param connect_timeout_s: timeout for opening a connection, in seconds.
    :param clock: source of time.
    """

    def __init__(self, *, connect_timeout_s: float, clock: Clock) -> None:
        self.read_timeout_monitor = ReadTimeoutMonitor(clock)
        self.backend = NetworkBackend(self.read_timeout_monitor)
        self.connect_timeout_s = connect_timeout_s
        self.clock = clock
        self.idle: dict[str, deque[_IdleConnection]] = {}

    async def run(self) -> None:
        """Enforce read timeouts and close expired idle connections until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.read_timeout_monitor.run)
            while True:
                await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
                await self.close_expired()

    async def close_expired(self) -> None:
        """Close idle connections that have expired, oldest first."""
        for address, idle in list(self.idle.items()):
            while idle and self.is_expired(idle):
                await close_connection(idle.popleft().connection)
            if not idle and self.idle.get(address) is idle:
                del self.idle[address]

    def is_expired(self, idle: "deque[_IdleConnection]") -> bool:
        """Return whether the oldest of the idle connections to a peer is to be closed.

        :param idle: the connections, the oldest first.
        """
        if idle[0].connection.has_expired():
            return True
        idle_s = self.clock.monotonic() - idle[0].since_s
        return len(idle) > KEPT_CONNECTIONS and idle_s > SURPLUS_IDLE_S

    @asynccontextmanager
    async def stream(
        self,
        address: str,
        path: str,
        body: bytes,
        read_timeout_s: float | None = None,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> AsyncIterator[httpcore.Response]:
        """Post a request and yield its response while it streams.

        The connection is closed unless the response was read completely. Closing it
        makes the peer cancel the request.

        :param address: ``host:port`` of the peer.
        :param path: path of the request.
        :param body: body of the request.
        :param read_timeout_s: timeout for each read in seconds; enforced only while
            ``run`` is running.
        :param headers: additional headers.
        :raises httpcore.ReadTimeout: if a read timed out.
        """
        connection = self.take_idle(address) or await self.connect(address)
        reusable = False
        try:
            response = await connection.handle_async_request(
                httpcore.Request(
                    b"POST",
                    f"http://{address}{path}",
                    headers=[
                        (b"host", address.encode()),
                        (b"content-length", str(len(body)).encode()),
                        *headers,
                    ],
                    content=body,
                    extensions={"timeout": {"read": read_timeout_s}},
                )
            )
            yield response
            await response.aclose()
            reusable = connection.is_idle()
        except httpcore.ReadTimeout:
            # The other connections to a silent peer may be dead as well.
            await self.close_idle(address)
            raise
        finally:
            if not (reusable and self.keep_idle(address, connection)):
                await close_connection(connection)

    def take_idle(self, address: str) -> httpcore.AsyncHTTP11Connection | None:
        """Take an idle connection out of the pool; return None if there is none.

        :param address: ``host:port`` of the peer.
        """
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop().connection
            if connection.is_idle() and not connection.has_expired():
                return connection
        return None

    async def connect(self, address: str) -> httpcore.AsyncHTTP11Connection:
        """Open a new connection.

        :param address: ``host:port`` of the peer.
        :raises httpcore.ConnectError: if the connection failed.
        :raises httpcore.ConnectTimeout: if the connection timed out.
        """
        host, port = split_address(address)
        stream = await self.backend.connect_tcp(host, port, self.connect_timeout_s)
        return httpcore.AsyncHTTP11Connection(
            httpcore.Origin(b"http", host.encode(), port),
            stream,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )

    def keep_idle(
        self, address: str, connection: httpcore.AsyncHTTP11Connection
    ) -> bool:
        """Put a connection into the pool; return False if the pool is full.

        :param address: ``host:port`` of the peer.
        :param connection: the idle connection.
        """
        idle = self.idle.setdefault(address, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            return False
        idle.append(_IdleConnection(connection, self.clock.monotonic()))
        return True

    async def close_idle(self, address: str) -> None:
        """Close all idle connections to a peer.

        :param address: ``host:port`` of the peer.
        """
        for idle in self.idle.pop(address, ()):
            await close_connection(idle.connection)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            await self.close_idle(address)


async def close_connection(connection: httpcore.AsyncHTTP11Connection) -> None:
    """Close a connection, even while the task is being cancelled.

    :param connection: the connection.
    """
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        await connection.aclose()


class SidecarConnectionPool(ConnectionPool):
    """Pool of connections to sidecars, which require signed requests.

    :param authenticator: signs requests with the peers' shared key.
    :param connect_timeout_s: timeout for opening a connection, in seconds.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        authenticator: PeerAuthenticator,
        connect_timeout_s: float,
        clock: Clock,
    ) -> None:
        super().__init__(connect_timeout_s=connect_timeout_s, clock=clock)
        self.authenticator = authenticator

    def post(
        self,
        address: str,
        path: str,
        body: bytes,
        read_timeout_s: float,
        attempt: bytes,
    ) -> AbstractAsyncContextManager[httpcore.Response]:
        """Post a signed request and yield its response while it streams.

        :param address: request address of the sidecar.
        :param path: path of the request.
        :param body: body of the request.
        :param read_timeout_s: timeout for each read in seconds.
        :param attempt: identifier of the attempt, which the response repeats.
        """
        signature = self.authenticator.sign("POST", path, body)
        headers = [(AUTH_HEADER, signature), (ATTEMPT_HEADER, attempt)]
        return self.stream(address, path, body, read_timeout_s, headers)
