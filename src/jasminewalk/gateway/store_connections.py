"""Connections to the platform's metadata store."""

import asyncio
from collections.abc import Callable

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.http1.client import (
    ConnectionPool,
    Exchange,
    ExchangeBrokenError,
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
# An idle connection is not reused after this many seconds, as the store may have
# dropped it without notice.
MAX_IDLE_S = 2.0


class StoreConnections:
    """Sends calls to the store over persistent connections.

    :param address: ``host:port``.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, address: str, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.pool = ConnectionPool(address, clock, MAX_IDLE_S)

    def use_address(self, address: str) -> None:
        """Send later calls to another address.

        :param address: ``host:port``.
        """
        if address != self.pool.address:
            self.pool.close()
            self.pool.address = address

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
        headers = [(b"host", self.pool.address.encode())]
        request = encode_request(method, target.encode(), headers, body)
        exchange = Exchange()
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
        connection = self.pool.take_idle(MAX_IDLE_S)
        if connection is None:
            connection = await connect(self.pool.address, CONNECT_TIMEOUT_S, self.clock)
        try:
            connection.send(request, exchange)
            async with asyncio.timeout(timeout_s):
                response = await exchange.head()
            parts: list[bytes] = []
            while True:
                async with asyncio.timeout(timeout_s):
                    part = await exchange.next_chunk()
                if not part:
                    era = decode_store_era(response.headers)
                    return StoreResponse(response.status, b"".join(parts), era)
                parts.append(part)
        finally:
            if exchange.complete:
                self.pool.release(connection)
            else:
                connection.abort()
