"""Sending of requests to engines over kept connections."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from jasminewalk.gateway.fleet import EngineState, Fleet
from jasminewalk.http1.client import (
    Connection,
    ConnectionPool,
    Exchange,
    ExchangeBrokenError,
    connect,
    encode_request,
)
from jasminewalk.platform.headers import Header

__all__ = ["EngineClients", "NotSentError", "OpenExchange"]

# Seconds that a new connection to an engine may take.
CONNECT_TIMEOUT_S = 0.3
# Longest idle time of a connection that takes a request which may run once only: the
# engine may have closed it, and then nobody knows whether the request arrived.
FRESH_FOR_ONCE_S = 0.4
FRESH_FOR_REPEATABLE_S = 3.0
SWEEP_S = 1.0


class NotSentError(Exception):
    """No connection to the engine could be had; nothing was sent.

    :param reason: what was seen, for logs.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


@attrs.define(eq=False)
class OpenExchange:
    """A request that was sent, and the connection that carries it.

    :param exchange: filled while the answer arrives.
    :param connection: its connection.
    :param pool: where the connection goes back to.
    """

    exchange: Exchange
    connection: Connection
    pool: ConnectionPool

    def close(self) -> None:
        """Keep the connection if the answer is complete, else end it at once."""
        if self.exchange.complete and not self.exchange.failure:
            self.pool.put_back(self.connection)
        else:
            self.connection.abort()


class EngineClients:
    """Connections of one gateway to all engines.

    :param fleet: the engines.
    :param clock: returns the current instant in seconds.
    """

    def __init__(self, fleet: Fleet, clock: Callable[[], float]) -> None:
        self.fleet = fleet
        self.clock = clock
        self.pools: dict[EngineState, ConnectionPool] = {}
        self.opened = 0

    async def send(
        self,
        engine: EngineState,
        method: bytes,
        target: bytes,
        headers: Sequence[Header],
        body: bytes,
        *,
        request_id: str,
        repeatable: bool,
        timeout_s: float,
    ) -> OpenExchange:
        """Send a request to an engine.

        :param engine: the engine.
        :param method: method.
        :param target: path and query.
        :param headers: names and values.
        :param body: whole body.
        :param request_id: id that the answer must bear; empty accepts any.
        :param repeatable: whether the request may run more than once.
        :param timeout_s: longest time to connect, in seconds.
        :raises NotSentError: if no connection could be had.
        """
        pool = self.pool_of(engine)
        fresh_s = FRESH_FOR_REPEATABLE_S if repeatable else FRESH_FOR_ONCE_S
        connection = pool.take_idle(fresh_s)
        if connection is None:
            connection = await self._connect(engine, timeout_s)
        exchange = Exchange(request_id)
        connection.send(encode_request(method, target, headers, body), exchange)
        return OpenExchange(exchange, connection, pool)

    async def call(
        self,
        engine: EngineState,
        method: bytes,
        target: bytes,
        headers: Sequence[Header],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Make a call of the system's own and return status and body.

        :param engine: the engine.
        :param method: method.
        :param target: path and query.
        :param headers: names and values.
        :param body: whole body.
        :param timeout_s: seconds it may take.
        :raises ExchangeBrokenError: if it isn't answered whole.
        :raises NotSentError: if no connection could be had.
        :raises TimeoutError: if it takes too long.
        """
        async with asyncio.timeout(timeout_s):
            sent = await self.send(
                engine,
                method,
                target,
                [(b"host", engine.entry.address.encode()), *headers],
                body,
                request_id="",
                repeatable=False,
                timeout_s=timeout_s,
            )
            try:
                answer = await sent.exchange.head()
                return answer.status, await sent.exchange.body()
            finally:
                sent.close()

    def pool_of(self, engine: EngineState) -> ConnectionPool:
        """Return the connections to an engine.

        :param engine: the engine.
        """
        pool = self.pools.get(engine)
        if pool is None or pool.address != engine.entry.address:
            pool = ConnectionPool(engine.entry.address, self.clock)
            self.pools[engine] = pool
        return pool

    async def sweep_forever(self) -> None:
        """Close connections that idle for too long or lead to engines that left."""
        while True:
            await asyncio.sleep(SWEEP_S)
            known = set(self.fleet.engines.values())
            for engine, pool in list(self.pools.items()):
                if engine in known:
                    pool.sweep()
                else:
                    pool.close()
                    del self.pools[engine]

    async def _connect(self, engine: EngineState, timeout_s: float) -> Connection:
        self.opened += 1
        try:
            return await connect(
                engine.entry.address, min(CONNECT_TIMEOUT_S, timeout_s), self.clock
            )
        except ExchangeBrokenError as error:
            raise NotSentError(error.reason) from error
