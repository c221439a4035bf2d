"""HTTP client of the platform's append-only log."""

from urllib.parse import quote

import httpcore
import msgspec

from jasminewalk.decoding import DECODE_ERRORS
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.generated_standins import AppendResult
from jasminewalk.interfaces import Log, LogEntry, LogPage
from jasminewalk.transport._http_call import (
    MAX_RESPONSE_BYTES,
    HttpResponse,
    call,
    raise_for_status,
)

__all__ = ["MAIN_STREAM", "HttpLog", "get_claims_stream_name"]

MAIN_STREAM = "main"
# Maximum seconds for which a page of the log may keep arriving.
MAX_TRANSFER_S = 10.0
MAX_PAGE_BYTES = 256 << 20

_decode_append = msgspec.json.Decoder(AppendResult).decode
_decode_page = msgspec.msgpack.Decoder(tuple[int, int, list[tuple[int, bytes]]]).decode


def get_claims_stream_name(pool: str) -> str:
    """Return the name of the stream that holds the claims of a service pool.

    Claims have streams of their own, which only the sidecars of their pool follow,
    because they would be most of what all other processes had to read.

    :param pool: pool name.
    """
    return f"claims-{quote(pool, safe='')}"


class HttpLog(Log):
    """One stream of the log service, accessed over HTTP.

    :param pool: pool of HTTP connections.
    :param address: ``host:port`` of the log service.
    :param timeout_s: maximum seconds to wait for a response, and for more of a page.
    :param stream: name of the stream.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        address: str,
        timeout_s: float,
        stream: str = MAIN_STREAM,
    ) -> None:
        self.pool = pool
        self.path = f"/streams/{stream}/records"
        self.address = address
        self.timeout_s = timeout_s

    async def append(self, data: bytes) -> int:
        """Append a record and return its offset.

        :param data: encoded record.
        :raises LogUnavailableError: if no valid response came; the record may have been
            appended nevertheless.
        """
        response = await self.call("POST", self.path, data, self.timeout_s)
        try:
            return _decode_append(response.body).offset
        except DECODE_ERRORS as error:
            raise LogUnavailableError(str(error)) from error

    async def read(self, offset: int, limit: int, wait_s: float = 0.0) -> LogPage:
        """Read records from an offset on.

        :param offset: offset to start at; if the log no longer retains it, the page
            starts at the oldest retained record.
        :param limit: maximum number of records to return.
        :param wait_s: maximum seconds to wait for a new record.
        :raises LogUnavailableError: if no valid response came.
        """
        path = f"{self.path}?offset={offset}&limit={limit}&wait_s={wait_s:g}"
        timeout_s = self.timeout_s + wait_s
        response = await self.call(
            "GET", path, b"", timeout_s, MAX_TRANSFER_S, MAX_PAGE_BYTES
        )
        try:
            first, tail, rows = _decode_page(response.body)
        except DECODE_ERRORS as error:
            raise LogUnavailableError(str(error)) from error
        entries = [LogEntry(row_offset, data) for row_offset, data in rows]
        return LogPage(entries, first, tail)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        max_transfer_s: float = 0.0,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> HttpResponse:
        """Send a request to the log service.

        :param method: HTTP method.
        :param path: path, including the query string.
        :param body: body of the request.
        :param timeout_s: maximum seconds without data.
        :param max_transfer_s: further seconds in which data may keep arriving.
        :param max_bytes: largest body of the response, in bytes.
        :raises LogUnavailableError: if no response came or it reports an error.
        """
        try:
            response = await call(
                self.pool,
                method,
                self.address,
                path,
                body=body,
                timeout_s=timeout_s,
                max_duration_s=timeout_s + max_transfer_s,
                max_bytes=max_bytes,
            )
            raise_for_status(response)
        except OSError as error:
            raise LogUnavailableError(str(error)) from error
        return response
