"""Connections to the platform's metadata store."""

import asyncio
from collections.abc import Callable

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.http1 import (
    Exchange,
    ExchangeBrokenError,
    ReceiveBudget,
    connect,
    encode_request,
)
from jasminewalk.platform.headers import decode_store_era
from jasminewalk.platform.store import StoreResponse

__all__ = ["StoreConnections"]

# Timeout in seconds of a new connection to the store.
CONNECT_TIMEOUT_S = 0.5
# Timeout in seconds of a whole call; ample for a configuration of megabytes on the
# slowest link.
MAX_CALL_S = 10.0
# Largest response; the store limits its pages to about 1 MB, or to one record.
MAX_BODY_BYTES = 8 * 1024 * 1024


class StoreConnections:
    """Sends calls to the store, each over a connection of its own.

    Responses do not name their call. On a kept connection, a late response to an
    earlier call could be taken for a page of another topic or for a membership.

    :param address: ``host:port``.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, address: str, clock: Callable[[], float]) -> None:
        self.address = address
        self.clock = clock
        self.budget = ReceiveBudget()

    def use_address(self, address: str) -> None:
        """Send later calls to another address.

        :param address: ``host:port``.
        """
        self.address = address

    async def call(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> StoreResponse:
        """Send one call and return the response.

        A response may take longer than the timeout as long as data keeps arriving,
        because a slow link needs more than that for a large one.

        :param method: HTTP method.
        :param target: path and query.
        :param body: request body.
        :param timeout_s: longest time in seconds without data from the store.
        :raises LogUnavailableError: if it isn't answered completely and in time.
        """
        headers = [(b"host", self.address.encode()), (b"connection", b"close")]
        request = encode_request(method, target.encode(), headers, body)
        exchange = Exchange(max_body_bytes=MAX_BODY_BYTES)
        try:
            async with asyncio.timeout(MAX_CALL_S):
                return await self._send(request, exchange, timeout_s)
        except ExchangeBrokenError as error:
            reason = f"store: {error.reason} after {exchange.body_bytes} bytes"
            raise LogUnavailableError(reason) from error
        except TimeoutError as error:
            reason = f"store: no response in time, {exchange.body_bytes} bytes received"
            raise LogUnavailableError(reason) from error

    async def _send(
        self, request: bytes, exchange: Exchange, timeout_s: float
    ) -> StoreResponse:
        connection = await connect(
            self.address, CONNECT_TIMEOUT_S, self.clock, self.budget
        )
        try:
            connection.send(request, exchange)
            async with asyncio.timeout(timeout_s):
                response = await exchange.head()
            body = await exchange.body(timeout_s)
            era = decode_store_era(response.headers)
            return StoreResponse(response.status, body, era)
        finally:
            connection.abort()
