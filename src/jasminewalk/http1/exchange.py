"""One request on a client connection and its response."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from jasminewalk.platform.headers import Header, ResponseHead

__all__ = ["DiscardedBytes", "Exchange", "ExchangeBrokenError", "Response"]

# An exchange with a larger response body is aborted, because bodies are buffered in
# memory.
MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024


class ExchangeBrokenError(Exception):
    """The connection failed or sent invalid HTTP before the response was complete.

    :param reason: description of the failure, for logs and metrics.
    :param refused: whether nothing listened at the address.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        self.reason = reason
        self.refused = refused
        super().__init__(reason)


@attrs.define
class Response:
    """Status and headers of a response.

    :param status: status code.
    :param headers: pairs of a name in lower case and a value, in the order received.
    :param head: decoded headers.
    """

    status: int
    headers: list[Header]
    head: ResponseHead


@attrs.frozen
class DiscardedBytes:
    """Received bytes that are not the response to the current request.

    :param reason: why they were discarded.
    :param request_id: id of the request that the response names; empty if none.
    :param expected_id: id of the current request; empty if none.
    :param exchange_count: exchanges that the connection had completed before.
    """

    reason: str
    request_id: str
    expected_id: str
    exchange_count: int


@attrs.define(eq=False)
class Exchange:
    """One request on a connection and its response.

    A response with the id of another request is skipped, because an engine may send a
    late or additional response before the expected one. One without an id fails the
    exchange, unless it is a failure and the first response on the connection.

    :param request_id: id that the response must carry; empty accepts only a response
        that names no request and is the first on the connection.
    :param has_body: whether the response may have a body; one to HEAD has none.
    :param response: status and headers of the response, once received.
    :param complete: whether the whole response was received.
    :param failure: reason for the failure; empty if there is none.
    :param ended_by_peer: whether the peer ended the connection, whatever of the
        response was received before.
    :param chunks: received bytes of the body that were not read yet.
    :param body_bytes: number of bytes of the body received so far.
    :param skipped_bytes: number of bytes of the bodies of skipped responses.
    :param max_body_bytes: larger bodies fail the exchange.
    :param unread_bytes: number of bytes of ``chunks``.
    :param kept_chunks: bytes of the body that ``body`` has read.
    :param kept_bytes: number of bytes of ``kept_chunks``.
    :param held_bytes: number of bytes that count towards the connection's budget.
    :param waiter: future of the task that waits for data.
    :param on_response: called with the status and headers of the response.
    :param on_read: called when ``kept_bytes`` grew or ``held_bytes`` may shrink.
    """

    request_id: str = ""
    has_body: bool = True
    response: Response | None = None
    complete: bool = False
    failure: str = ""
    ended_by_peer: bool = False
    chunks: deque[bytes] = attrs.field(factory=deque)
    body_bytes: int = 0
    skipped_bytes: int = 0
    max_body_bytes: int = MAX_RESPONSE_BODY_BYTES
    unread_bytes: int = 0
    kept_chunks: list[bytes] = attrs.field(factory=list)
    kept_bytes: int = 0
    held_bytes: int = 0
    waiter: asyncio.Future[None] | None = None
    on_response: Callable[[Response], None] | None = None
    on_read: Callable[[], None] | None = None

    def wake(self) -> None:
        """Wake the task that waits for this exchange."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def drop_body(self) -> None:
        """Drop what was received of the body of a failed exchange."""
        self.chunks.clear()
        self.kept_chunks.clear()
        self.unread_bytes = 0

    async def wait(self) -> None:
        """Wait until data arrives or the exchange ends."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    async def head(self) -> Response:
        """Wait for the status and headers of the response.

        :raises ExchangeBrokenError: if the exchange fails first.
        """
        while self.response is None:
            if self.failure:
                raise ExchangeBrokenError(self.failure)
            await self.wait()
        return self.response

    async def next_chunk(self) -> bytes:
        """Wait for the next bytes of the body; return no bytes at its end.

        :raises ExchangeBrokenError: if the exchange fails first.
        """
        return await self._read_chunks()

    async def body(self, chunk_timeout_s: float | None = None) -> bytes:
        """Wait for the complete body. After a timeout, it can be waited for again.

        :param chunk_timeout_s: longest time in seconds without data; None is unlimited.
        :raises ExchangeBrokenError: if the exchange fails first.
        :raises TimeoutError: if no data arrives in time.
        """
        while True:
            async with asyncio.timeout(chunk_timeout_s):
                part = await self._read_chunks(keep=True)
            if not part:
                # Kept as one, for another call, in place of its pieces.
                self.kept_chunks = [b"".join(self.kept_chunks)]
                return self.kept_chunks[0]
            self.kept_chunks.append(part)

    async def _read_chunks(self, *, keep: bool = False) -> bytes:
        while not self.chunks:
            if self.complete:
                return b""
            if self.failure:
                raise ExchangeBrokenError(self.failure)
            await self.wait()
        chunk = b"".join(self.chunks)
        self.chunks.clear()
        self.unread_bytes = 0
        if keep:
            self.kept_bytes += len(chunk)
        if self.on_read is not None and (keep or self.held_bytes):
            self.on_read()
        return chunk
