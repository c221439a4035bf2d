"""Requests to engines over pooled connections."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial

import attrs

from jasminewalk.gateway.fleet import EngineState, Fleet, FleetEvent
from jasminewalk.http1 import (
    Connection,
    ConnectionPool,
    DiscardedBytes,
    Exchange,
    ExchangeBrokenError,
    ReceiveBudget,
    Response,
    connect,
    encode_request,
)
from jasminewalk.platform.headers import MISDIRECTED_REQUEST, Header

__all__ = ["EngineClients", "NotSentError", "OpenExchange"]

# Timeout for opening a connection to an engine, in seconds.
CONNECT_TIMEOUT_S = 0.3
# Longest idle time in seconds after which a connection is reused. It is shorter for a
# request that must not run twice: the engine may have closed the connection, and then
# it is unknown whether the request arrived.
MAX_IDLE_ONCE_S = 0.4
MAX_IDLE_REPEATABLE_S = 3.0
# Largest body of the response to a control request.
MAX_CONTROL_BODY_BYTES = 1024 * 1024
# Seconds between two sweeps for idle connections.
SWEEP_INTERVAL_S = 1.0


class NotSentError(Exception):
    """No connection to the engine could be opened, so nothing was sent.

    :param reason: error for the log.
    :param refused: whether nothing listened at the address.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        self.reason = reason
        self.refused = refused
        super().__init__(reason)


@attrs.define(eq=False)
class OpenExchange:
    """A request that was sent, and its connection.

    :param exchange: exchange that receives the response.
    :param connection: connection of the exchange.
    :param pool: pool to which the connection is returned.
    :param reused: whether the connection carried other requests before.
    """

    exchange: Exchange
    connection: Connection
    pool: ConnectionPool
    reused: bool

    def close(self) -> None:
        """Return the connection to its pool; abort it if the response is incomplete."""
        if self.exchange.complete and not self.exchange.failure:
            self.pool.release(self.connection)
        else:
            self.connection.abort()


class EngineClients:
    """Sends requests of one gateway to all engines.

    :param fleet: the engines.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(self, fleet: Fleet, clock: Callable[[], float]) -> None:
        self.fleet = fleet
        self.clock = clock
        self.pools: dict[EngineState, ConnectionPool] = {}
        self.budget = ReceiveBudget()
        self.connections_opened = 0
        self.on_event: Callable[[FleetEvent], None] = lambda event: None

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
        :param method: HTTP method.
        :param target: path and query.
        :param headers: names and values.
        :param body: whole body.
        :param request_id: id that the response must carry.
        :param repeatable: whether the request may run more than once.
        :param timeout_s: timeout for opening a connection, in seconds.
        :raises NotSentError: if no connection could be opened.
        """
        engine.record_sent(self.clock())
        request = encode_request(method, target, headers, body)
        pool = self.get_pool(engine)
        max_idle_s = MAX_IDLE_REPEATABLE_S if repeatable else MAX_IDLE_ONCE_S
        connection = pool.take_idle(max_idle_s, request_id)
        if connection is None:
            connection = await self._connect(engine, timeout_s)
        exchange = self._build_exchange(engine, method, request_id)
        reused = connection.exchange_count > 0
        connection.send(request, exchange)
        return OpenExchange(exchange, connection, pool, reused)

    async def call(
        self,
        engine: EngineState,
        method: bytes,
        target: bytes,
        headers: Sequence[Header],
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Send a control request and return the status and body of the response.

        The response does not name the call, so the call has a connection of its own.

        :param engine: the engine.
        :param method: HTTP method.
        :param target: path and query.
        :param headers: names and values.
        :param body: whole body.
        :param timeout_s: timeout of the whole call, in seconds.
        :raises ExchangeBrokenError: if the response is incomplete.
        :raises NotSentError: if no connection could be opened.
        :raises TimeoutError: if the timeout has passed.
        """
        async with asyncio.timeout(timeout_s):
            all_headers = [
                (b"host", engine.entry.address.encode()),
                (b"connection", b"close"),
                *headers,
            ]
            request = encode_request(method, target, all_headers, body)
            connection = await self._connect(engine, timeout_s)
            exchange = self._build_exchange(engine, method, "")
            exchange.max_body_bytes = MAX_CONTROL_BODY_BYTES
            try:
                connection.send(request, exchange)
                response = await exchange.head()
                return response.status, await exchange.body()
            finally:
                connection.abort()

    async def is_refused(self, engine: EngineState) -> bool:
        """Return whether nothing listens at an engine's address, so its process ended.

        :param engine: the engine.
        """
        try:
            connection = await self._connect(engine, CONNECT_TIMEOUT_S)
        except NotSentError as error:
            return error.refused
        connection.abort()
        return False

    def get_pool(self, engine: EngineState) -> ConnectionPool:
        """Return the connection pool of an engine; create it if there is none.

        :param engine: the engine.
        """
        pool = self.pools.get(engine)
        if pool is not None and pool.address != engine.entry.address:
            pool.close()
            pool = None
        if pool is None:
            pool = self.pools[engine] = ConnectionPool(engine.entry.address, self.clock)
        return pool

    async def sweep_forever(self) -> None:
        """Close connections that are idle for too long or whose engine is gone."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            known = set(self.fleet.engines.values())
            for engine, pool in list(self.pools.items()):
                if engine in known:
                    pool.sweep()
                else:
                    pool.close()
                    del self.pools[engine]

    def _build_exchange(
        self, engine: EngineState, method: bytes, request_id: str
    ) -> Exchange:
        sent_at = self.clock()
        return Exchange(
            request_id,
            has_body=method != b"HEAD",
            on_response=lambda response: self._record_response(
                engine, response, sent_at
            ),
        )

    def _record_response(
        self, engine: EngineState, response: Response, sent_at: float
    ) -> None:
        named_id = response.head.engine_id
        if response.status == MISDIRECTED_REQUEST and (
            named_id != engine.entry.engine_id
        ):
            # Another engine may have answered.
            return
        if response.head.leaving:
            reason = f"a response with status {response.status} said so"
            event = self.fleet.record_leaving(engine, reason)
            if event is not None:
                self.on_event(event)
        self._record_backoff(engine, response)
        self._record_limit(engine, response, sent_at)

    def _record_backoff(self, engine: EngineState, response: Response) -> None:
        head = response.head
        event = None
        if head.unreadable_retry_after:
            event = FleetEvent(
                "retry_after_unreadable",
                engine.entry.engine_id,
                head.unreadable_retry_after,
            )
        elif head.retry_after_s is not None:
            event = self.fleet.record_backoff(self.clock(), engine, head.retry_after_s)
        if event is not None:
            self.on_event(event)

    def _record_limit(
        self, engine: EngineState, response: Response, sent_at: float
    ) -> None:
        head, now = response.head, self.clock()
        engine_id = engine.entry.engine_id
        event: FleetEvent | None
        if head.unreadable_limit:
            event = FleetEvent("limit_unreadable", engine_id, head.unreadable_limit)
        else:
            # A response without a limit may have been made before the engine named
            # one, but not before its request was sent.
            at = sent_at if head.request_limit_per_s is None else now
            event = self.fleet.record_limit(now, engine, head.request_limit_per_s, at)
        if event is not None:
            self.on_event(event)

    async def _connect(self, engine: EngineState, timeout_s: float) -> Connection:
        self.connections_opened += 1
        try:
            connection = await connect(
                engine.entry.address,
                min(CONNECT_TIMEOUT_S, timeout_s),
                self.clock,
                self.budget,
            )
        except ExchangeBrokenError as error:
            raise NotSentError(error.reason, refused=error.refused) from error
        connection.on_discarded = partial(
            self._record_discarded, engine.entry.engine_id
        )
        return connection

    def _record_discarded(self, engine_id: str, discarded: DiscardedBytes) -> None:
        detail = (
            f"{discarded.reason}; names {discarded.request_id or 'no request'}, "
            f"expected {discarded.expected_id or 'no id'}, "
            f"after {discarded.exchange_count} exchanges of the connection"
        )
        self.on_event(FleetEvent("bytes_discarded", engine_id, detail))
