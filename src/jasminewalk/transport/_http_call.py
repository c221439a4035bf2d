"""Whole HTTP requests to the platform and the back ends, with timeouts."""

from collections import deque
from typing import Any, TypeVar

import anyio
import attrs
import httpcore
import msgspec

from jasminewalk.exceptions import JasminewalkError
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.transport._http import build_url, split_address

__all__ = [
    "HttpResponse",
    "HttpClient",
    "NotSentError",
    "call",
    "decode_error",
    "to_os_error",
    "raise_for_status",
    "build_timeouts",
]

HTTP_OK = 200
# Seconds to wait for an response of the platform or of an engine.
CALL_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0

NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.ConnectionNotAvailable,
)
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Decoded = TypeVar("Decoded")

_decode_refusal = msgspec.json.Decoder(RefusalBody).decode


class NotSentError(ConnectionError):
    """A request failed before any of it was sent."""


@attrs.frozen
class HttpResponse:
    """A whole response.

    :param status: HTTP status.
    :param headers: names in lower case and values.
    :param body: body of the response.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def build_timeouts(connect_s: float, read_s: float | None) -> dict[str, Any]:
    """Return the timeouts of a request as httpcore takes them.

    :param connect_s: seconds to connect.
    :param read_s: longest silence in seconds; nothing for no limit.
    """
    return {
        "timeout": {
            "connect": connect_s,
            "pool": connect_s,
            "read": read_s,
            "write": read_s,
        }
    }


def to_os_error(error: Exception) -> OSError:
    """Return a library's transport error as one of the standard library.

    :param error: error of httpcore or anyio.
    """
    if isinstance(error, NOT_SENT_ERRORS):
        return NotSentError(repr(error))
    if isinstance(error, httpcore.TimeoutException):
        return TimeoutError(repr(error))
    return OSError(repr(error))


async def call(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    address: str,
    path: str,
    *,
    body: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
    timeout_s: float,
) -> HttpResponse:
    """Send a request and return its whole response.

    :param pool: pool of HTTP connections.
    :param method: HTTP method.
    :param address: ``host:port``.
    :param path: path with query.
    :param body: body of the request.
    :param headers: further headers.
    :param timeout_s: seconds for the whole call.
    :raises NotSentError: if nothing was sent.
    :raises OSError: if no whole response came.
    """
    try:
        with anyio.fail_after(timeout_s):
            response = await pool.request(
                method,
                build_url(address, path),
                headers=headers,
                content=body,
                extensions=build_timeouts(timeout_s, timeout_s),
            )
    except TimeoutError:
        await close_idle_connections(pool, address)
        raise
    except HTTP_ERRORS as error:
        if isinstance(error, httpcore.ReadTimeout):
            await close_idle_connections(pool, address)
        raise to_os_error(error) from error
    return HttpResponse(
        response.status, decode_headers(response.headers), response.content
    )


def decode_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Return headers as text.

    :param headers: names and values as the library gives them.
    """
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    ]


async def close_idle_connections(
    pool: httpcore.AsyncConnectionPool, address: str
) -> None:
    """Close the idle connections to an address, since one of them went silent.

    :param pool: pool of HTTP connections.
    :param address: ``host:port``.
    """
    host, port = split_address(address)
    origin = httpcore.Origin(b"http", host.encode(), port)
    idle = deque(
        connection
        for connection in pool.connections
        if connection.can_handle_request(origin) and connection.is_idle()
    )
    with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
        while idle:
            await idle.popleft().aclose()


def decode_error(response: HttpResponse) -> JasminewalkError:
    """Return the numbered error that an response holds.

    :param response: response with another status than 200.
    """
    try:
        refusal = _decode_refusal(response.body)
    except msgspec.MsgspecError:
        return JasminewalkError(f"The response has status {response.status}.")
    code = Code(refusal.code) if refusal.code in RESULTS else Code.INTERNAL_ERROR
    return JasminewalkError(
        refusal.message,
        code=code,
        ran=refusal.ran,
        retry_after_s=refusal.retry_after_s,
    )


def raise_for_status(response: HttpResponse) -> None:
    """Raise if an response is not a success.

    :param response: the response.
    :raises OSError: if its status is not 200.
    """
    if response.status != HTTP_OK:
        raise OSError(str(decode_error(response)))


class HttpClient:
    """Client of one HTTP service; its subclasses name the calls.

    :param pool: pool of HTTP connections.
    :param address: ``host:port`` of the service.
    :param timeout_s: seconds to wait for a whole response.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self.pool = pool
        self.address = address
        self.timeout_s = timeout_s

    async def fetch(
        self,
        decoder: msgspec.json.Decoder[Decoded],
        method: str,
        path: str,
        body: bytes = b"",
    ) -> Decoded:
        """Send a request and return the object that its response holds.

        :param decoder: decoder of the object's class.
        :param method: HTTP method.
        :param path: path with query.
        :param body: body of the request.
        :raises OSError: if the service did not response with such an object.
        """
        response = await self.call(method, path, body)
        try:
            return decoder.decode(response.body)
        except msgspec.MsgspecError as error:
            raise OSError(str(error)) from error

    async def call(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Send a request and return its response if it is a success.

        :param method: HTTP method.
        :param path: path with query.
        :param body: body of the request.
        :raises OSError: if the service did not response with a success.
        """
        response = await self.send(method, path, body)
        raise_for_status(response)
        return response

    async def send(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Send a request and return its response.

        :param method: HTTP method.
        :param path: path with query.
        :param body: body of the request.
        :raises OSError: if the service did not response.
        """
        return await call(
            self.pool, method, self.address, path, body=body, timeout_s=self.timeout_s
        )
