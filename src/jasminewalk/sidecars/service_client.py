"""Client of a plain service."""

import httpcore

from jasminewalk.interfaces import Service, ServiceRequest, ServiceResponse
from jasminewalk.transport._http_call import call
from jasminewalk.transport.memory_limit import MemoryLimit

__all__ = ["HttpService"]

CALL_TIMEOUT_S = 30.0

# Hop-by-hop headers and headers that the HTTP client sets itself.
UNFORWARDED_HEADERS = frozenset(
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
    """HTTP client of a plain service.

    Each call uses a new connection. A connection that was idle may be closed or dead,
    and a failure on it would leave the outcome unknown.

    :param pool: pool of HTTP connections.
    :param address: ``host:port`` of the service.
    :param timeout_s: maximum seconds for a whole call.
    :param memory: limit on what responses hold while they arrive; ``None`` for none.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        timeout_s: float = CALL_TIMEOUT_S,
        memory: MemoryLimit | None = None,
    ) -> None:
        self.pool = pool
        self.address = address
        self.timeout_s = timeout_s
        self.memory = memory

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send one call, without retries.

        :param request: the call.
        :raises ConnectionError: if nothing was sent.
        :raises OSError: if the call may have run.
        """
        holding = None if self.memory is None else self.memory.open("response")
        try:
            response = await call(
                self.pool,
                request.method,
                self.address,
                request.path,
                body=request.body,
                headers=self.build_headers(request),
                timeout_s=self.timeout_s,
                holding=holding,
            )
        finally:
            if holding is not None:
                holding.close()
        return ServiceResponse(
            status=response.status,
            headers=[
                header
                for header in response.headers
                if header[0] not in UNFORWARDED_HEADERS
            ],
            body=response.body,
        )

    def build_headers(self, request: ServiceRequest) -> list[tuple[str, str]]:
        """Build the headers of a call.

        :param request: the call.
        """
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in UNFORWARDED_HEADERS and name != KEY_HEADER
        ]
        if request.key:
            headers.append((KEY_HEADER, request.key))
        return headers
