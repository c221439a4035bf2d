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
# Seconds without a response after which a read is sent once more, over another
# connection, and how often that is done. A write may have been executed.
REPEAT_READ_AFTER_S = 0.3
MAX_READ_REPEATS = 2
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

        A read without a response is repeated; the first response counts. It may take
        longer than the timeout as long as data keeps arriving, because a slow link
        needs more than that for a large one.

        :param method: HTTP method.
        :param target: path and query.
        :param body: request body.
        :param timeout_s: longest time in seconds without data from the store.
        :raises LogUnavailableError: if it isn't answered completely and in time.
        """
        headers = [(b"host", self.address.encode()), (b"connection", b"close")]
        request = encode_request(method, target.encode(), headers, body)
        repeats = MAX_READ_REPEATS if method == b"GET" else 0
        attempts = [_Attempt(self, request, timeout_s)]
        try:
            async with asyncio.timeout(MAX_CALL_S):
                while True:
                    wait_s = REPEAT_READ_AFTER_S if len(attempts) <= repeats else None
                    ended = await _wait_for_first(attempts, wait_s)
                    if ended is not None:
                        return await ended.task
                    if not any(attempt.has_response for attempt in attempts):
                        attempts.append(_Attempt(self, request, timeout_s))
                    else:
                        repeats = 0
        except ExchangeBrokenError as error:
            reason = f"store: {error.reason} after {_count_bytes(attempts)} bytes"
            raise LogUnavailableError(reason) from error
        except TimeoutError as error:
            size = _count_bytes(attempts)
            reason = f"store: no response in time, {size} bytes received"
            raise LogUnavailableError(reason) from error
        finally:
            for attempt in attempts:
                attempt.task.cancel()


class _Attempt:
    """One attempt at a call, over a connection of its own.

    :param connections: the store's address and limits.
    :param request: the encoded request.
    :param timeout_s: longest time in seconds without data from the store.
    """

    def __init__(
        self, connections: StoreConnections, request: bytes, timeout_s: float
    ) -> None:
        self.connections = connections
        self.request = request
        self.timeout_s = timeout_s
        self.exchange = Exchange(max_body_bytes=MAX_BODY_BYTES)
        self.task = asyncio.ensure_future(self._send())

    @property
    def has_response(self) -> bool:
        """Whether the head of the response has arrived."""
        return self.exchange.response is not None

    async def _send(self) -> StoreResponse:
        connection = await connect(
            self.connections.address,
            CONNECT_TIMEOUT_S,
            self.connections.clock,
            self.connections.budget,
        )
        try:
            connection.send(self.request, self.exchange)
            async with asyncio.timeout(self.timeout_s):
                response = await self.exchange.head()
            body = await self.exchange.body(self.timeout_s)
            era = decode_store_era(response.headers)
            return StoreResponse(response.status, body, era)
        finally:
            connection.abort()


async def _wait_for_first(
    attempts: list[_Attempt], wait_s: float | None
) -> _Attempt | None:
    """Return the first attempt that succeeded, or the last one if all failed.

    Return None if neither is so after a time.

    :param attempts: attempts at the same call.
    :param wait_s: seconds to wait at most; None waits until one of both is so.
    """
    deadline = None if wait_s is None else asyncio.get_running_loop().time() + wait_s
    while True:
        ended = [attempt for attempt in attempts if attempt.task.done()]
        successes = [attempt for attempt in ended if attempt.task.exception() is None]
        if successes or len(ended) == len(attempts):
            return (successes or ended)[-1]
        pending = [attempt.task for attempt in attempts if not attempt.task.done()]
        left_s = None
        if deadline is not None:
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                return None
        await asyncio.wait(pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)


def _count_bytes(attempts: list[_Attempt]) -> int:
    return max(attempt.exchange.body_bytes for attempt in attempts)
