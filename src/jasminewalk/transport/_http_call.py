"""HTTP client for requests with complete responses, with timeouts."""

from typing import Any, TypeVar

import anyio
import attrs
import httpcore
import msgspec

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import JasminewalkError, RefusedError
from jasminewalk.generated_codes import RESULTS, Code
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.transport._http import (
    build_url,
    give_up_over_limit,
    hold,
)
from jasminewalk.transport.memory_limit import Holding

__all__ = [
    "CLOSE_HEADER",
    "HttpResponse",
    "HttpClient",
    "NotSentError",
    "call",
    "decode_error",
    "read_limited_body",
    "to_os_error",
    "raise_for_status",
    "build_timeouts",
]

HTTP_OK = 200
# Copies of the body of a response: as it was received, and as it is passed on.
MEMORY_PER_REPLY_BYTE = 2
CALL_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 32 << 20
MAX_ERROR_BYTES = 1 << 16
CLOSE_HEADER = (b"connection", b"close")

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
    """Raised when a request failed before any part of it was sent."""


@attrs.frozen
class HttpResponse:
    """A complete HTTP response.

    :param status: HTTP status.
    :param headers: pairs of name, in lower case, and value.
    :param body: response body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def build_timeouts(connect_s: float, read_s: float | None) -> dict[str, Any]:
    """Build the timeout extension of an httpcore request.

    :param connect_s: timeout in seconds for getting a connection from the pool and
        for connecting.
    :param read_s: timeout in seconds for each read and each write; ``None`` for no
        limit.
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
    """Convert a transport error of httpcore or anyio to an ``OSError``.

    :param error: error to convert.
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
    max_duration_s: float | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
    holding: Holding | None = None,
) -> HttpResponse:
    """Send a request on a new connection and return the complete response.

    The connection is not used again, because a response does not name its request: a
    late second response to one request would be taken for the response to the next.

    :param pool: pool of HTTP connections.
    :param method: HTTP method.
    :param address: ``host:port``.
    :param path: path and query string.
    :param body: request body.
    :param headers: additional headers.
    :param timeout_s: longest time in seconds without data.
    :param max_duration_s: timeout in seconds for the whole call; the same if None.
    :param max_bytes: largest body of the response, in bytes.
    :param holding: counts the memory of the response; ``None`` for no limit.
    :raises NotSentError: if no part of the request was sent.
    :raises OSError: if no complete response was received.
    """
    try:
        with anyio.fail_after(timeout_s if max_duration_s is None else max_duration_s):
            async with pool.stream(
                method,
                build_url(address, path),
                headers=[CLOSE_HEADER, *(headers or [])],
                content=body,
                extensions=build_timeouts(timeout_s, timeout_s),
            ) as response:
                content = await read_limited_body(response, max_bytes, holding)
    except HTTP_ERRORS as error:
        raise to_os_error(error) from error
    return HttpResponse(response.status, decode_headers(response.headers), content)


async def read_limited_body(
    response: httpcore.Response, max_bytes: int, holding: Holding | None = None
) -> bytes:
    """Read the body of a response up to a limit.

    :param response: the response.
    :param max_bytes: largest body allowed, in bytes.
    :param holding: counts the memory that the body takes; ``None`` for no limit.
    :raises httpcore.RemoteProtocolError: if the body is larger, or there is no memory
        for it.
    """
    if holding is None:
        return await _read_whole_body(response, max_bytes, None)
    # A reply that is given up must not be taken for the request that it answers.
    reading = holding.limit.open("reply")
    try:
        with give_up_over_limit(reading):
            body = await _read_whole_body(response, max_bytes, reading)
    except RefusedError as error:
        raise httpcore.RemoteProtocolError(str(error)) from error
    finally:
        size = reading.held_bytes
        reading.close()
    holding.add(size)
    return body


async def _read_whole_body(
    response: httpcore.Response, max_bytes: int, holding: Holding | None
) -> bytes:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if holding is not None:
            hold(holding, MEMORY_PER_REPLY_BYTE * len(chunk))
        if len(body) > max_bytes:
            raise httpcore.RemoteProtocolError("The response body is too large.")
    return bytes(body)


def decode_headers(headers: list[tuple[bytes, bytes]]) -> list[tuple[str, str]]:
    """Decode header names and values to text, with names in lower case.

    :param headers: names and values as httpcore returns them.
    """
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    ]


def decode_error(response: HttpResponse) -> JasminewalkError:
    """Decode the error in a response.

    :param response: response with a status other than 200.
    """
    try:
        refusal = _decode_refusal(response.body)
    except DECODE_ERRORS:
        return JasminewalkError(f"The response has status {response.status}.")
    code = Code(refusal.code) if refusal.code in RESULTS else Code.INTERNAL_ERROR
    return JasminewalkError(
        refusal.message,
        code=code,
        ran=refusal.ran,
        retry_after_s=refusal.retry_after_s,
    )


def raise_for_status(response: HttpResponse) -> None:
    """Raise an error unless the status of a response is 200.

    :param response: the response.
    :raises OSError: if its status is not 200.
    """
    if response.status != HTTP_OK:
        raise OSError(str(decode_error(response)))


class HttpClient:
    """Base class for clients of one HTTP service; subclasses add its calls.

    :param pool: pool of HTTP connections.
    :param address: ``host:port`` of the service.
    :param timeout_s: timeout in seconds for a complete response.
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
        """Send a request and return the decoded JSON object of its response.

        :param decoder: JSON decoder for the class of the object.
        :param method: HTTP method.
        :param path: path and query string.
        :param body: request body.
        :raises OSError: if the request failed or the response holds no such object.
        """
        response = await self.call(method, path, body)
        try:
            return decoder.decode(response.body)
        except DECODE_ERRORS as error:
            raise OSError(str(error)) from error

    async def call(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Send a request and return its response, which must have status 200.

        :param method: HTTP method.
        :param path: path and query string.
        :param body: request body.
        :raises OSError: if the request failed or the status is not 200.
        """
        response = await self.send(method, path, body)
        raise_for_status(response)
        return response

    async def send(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Send a request and return its response, whatever its status.

        :param method: HTTP method.
        :param path: path and query string.
        :param body: request body.
        :raises OSError: if no complete response was received.
        """
        return await call(
            self.pool, method, self.address, path, body=body, timeout_s=self.timeout_s
        )
