"""Client of a plain service."""

import httpcore

from jasminewalk.interfaces import Service, ServiceAnswer, ServiceRequest
from jasminewalk.transport._http_call import call

__all__ = ["HttpService"]

TIMEOUT_S = 30.0

# Headers that belong to one connection, or that the client writes itself.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
KEY_HEADER = "idempotency-key"


class HttpService(Service):
    """Plain service over HTTP.

    A call with a key gets a connection of its own, since a kept one may have
    been closed or gone silent, which would leave the outcome unknown.

    :param pool: pool of HTTP connections, for calls that may be repeated.
    :param address: ``host:port`` of the service.
    :param timeout_s: seconds for a whole call.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        timeout_s: float = TIMEOUT_S,
    ) -> None:
        self.pool = pool
        self.address = address
        self.timeout_s = timeout_s

    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Send one call; it is never sent twice.

        :param request: the call.
        :raises ConnectionError: if nothing was sent.
        :raises OSError: if the call may have run.
        """
        if not request.key:
            return await self.send(self.pool, request)
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            return await self.send(pool, request)

    async def send(
        self, pool: httpcore.AsyncConnectionPool, request: ServiceRequest
    ) -> ServiceAnswer:
        """Send one call over a pool.

        :param pool: pool of HTTP connections.
        :param request: the call.
        """
        response = await call(
            pool,
            request.method,
            self.address,
            request.path,
            body=request.body,
            headers=self.build_headers(request),
            timeout_s=self.timeout_s,
        )
        return ServiceAnswer(
            status=response.status,
            headers=[
                row for row in response.headers if row[0] not in CONNECTION_HEADERS
            ],
            body=response.body,
        )

    def build_headers(self, request: ServiceRequest) -> list[tuple[str, str]]:
        """Return the headers to send.

        :param request: the call.
        """
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in CONNECTION_HEADERS and name != KEY_HEADER
        ]
        if request.key:
            headers.append((KEY_HEADER, request.key))
        return headers
