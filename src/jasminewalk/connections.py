"""HTTP connections from an entry to the sidecars."""

from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpcore

from jasminewalk._http import split_address
from jasminewalk.clock import Clock
from jasminewalk.network import NetworkBackend, ReadWatch
from jasminewalk.peer_auth import AUTH_HEADER, PeerAuthenticator

__all__ = ["SidecarConnections", "TRANSPORT_ERRORS", "UNSENT_ERRORS"]

KEEP_IDLE_S = 30.0
MAX_IDLE = 256
CLOSE_TIMEOUT_S = 1.0

UNSENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class SidecarConnections:
    """Keeps idle connections per sidecar and opens new ones as needed.

    :param authenticator: signs requests with the peers' shared key.
    :param connect_timeout_s: seconds to connect to a sidecar.
    :param clock: source of time.
    """

    def __init__(
        self,
        *,
        authenticator: PeerAuthenticator,
        connect_timeout_s: float,
        clock: Clock,
    ) -> None:
        self.watch = ReadWatch(clock)
        self.backend = NetworkBackend(self.watch)
        self.authenticator = authenticator
        self.connect_timeout_s = connect_timeout_s
        self.idle: dict[str, deque[httpcore.AsyncHTTPConnection]] = {}

    async def run(self) -> None:
        """Drop silent connections until cancelled."""
        await self.watch.run()

    @asynccontextmanager
    async def post(
        self, address: str, path: str, body: bytes, read_timeout_s: float
    ) -> AsyncIterator[httpcore.Response]:
        """Send a signed request and yield its answer while it streams.

        The connection is closed unless the answer was read to its end, which
        cancels the work at the sidecar.

        :param address: request address of the sidecar.
        :param path: path of the request.
        :param body: body of the request.
        :param read_timeout_s: longest silence while the answer is read.
        """
        connection = self.take(address)
        finished = False
        try:
            request = self.request(address, path, body, read_timeout_s)
            response = await connection.handle_async_request(request)
            yield response
            await response.aclose()
            finished = connection.is_idle()
        except httpcore.ReadTimeout:
            await self.drop_idle(address)
            raise
        finally:
            if finished:
                self.keep(address, connection)
            else:
                with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                    await connection.aclose()

    def request(
        self, address: str, path: str, body: bytes, read_timeout_s: float
    ) -> httpcore.Request:
        """Return a signed request.

        :param address: request address of the sidecar.
        :param path: path of the request.
        :param body: body of the request.
        :param read_timeout_s: longest silence while the answer is read.
        """
        timeouts = {
            "connect": self.connect_timeout_s,
            "read": read_timeout_s,
            "write": read_timeout_s,
        }
        return httpcore.Request(
            b"POST",
            f"http://{address}{path}",
            headers=[
                (b"host", address.encode()),
                (b"content-length", str(len(body)).encode()),
                (AUTH_HEADER, self.authenticator.sign("POST", path, body)),
            ],
            content=body,
            extensions={"timeout": timeouts},
        )

    def take(self, address: str) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection, or a new one.

        :param address: request address of the sidecar.
        """
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
        host, port = split_address(address)
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b"http", host.encode(), port),
            keepalive_expiry=KEEP_IDLE_S,
            network_backend=self.backend,
        )

    def keep(self, address: str, connection: httpcore.AsyncHTTPConnection) -> None:
        """Keep a connection for later requests.

        :param address: request address of the sidecar.
        :param connection: the connection, idle.
        """
        self.idle.setdefault(address, deque(maxlen=MAX_IDLE)).append(connection)

    async def drop_idle(self, address: str) -> None:
        """Close the idle connections to a sidecar, since one has gone silent.

        :param address: request address of the sidecar.
        """
        for connection in self.idle.pop(address, ()):
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            await self.drop_idle(address)
