"""HTTP/1.1 client connections to engines and to the platform's store."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

import attrs
import httptools

from jasminewalk.platform.headers import Header, ResponseHead, decode_response_head

__all__ = [
    "Response",
    "Connection",
    "ConnectionPool",
    "DiscardedBytes",
    "Exchange",
    "ExchangeBrokenError",
    "ReceiveBudget",
    "connect",
]

# An exchange is aborted when its received bytes, with heads, chunk framing and
# trailers, exceed this multiple of the bytes of bodies by more than the maximum.
MAX_FRAMING_BYTES = 64 * 1024
RECEIVED_BYTES_PER_BODY_BYTE = 2
# An exchange is aborted after more bytes of bodies of skipped responses.
MAX_SKIPPED_BYTES = 1024 * 1024
# An exchange with a larger response body is aborted, because bodies are buffered in
# memory.
MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024
# Bytes of bodies that all exchanges with one budget may hold. If there are more, the
# exchange that holds most is aborted.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Receiving pauses while more bytes of an exchange were not read.
MAX_UNREAD_BYTES = 64 * 1024
# Discarded bytes of one connection that are each reported.
MAX_DISCARD_REPORTS = 10
# A connection is closed after this many exchanges, as it keeps the ids of all of them.
MAX_EXCHANGES = 1000
MIN_FINAL_STATUS = 200
MIN_FAILURE_STATUS = 300
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
STATUSES_WITHOUT_BODY = (204, 304)


class ExchangeBrokenError(Exception):
    """The connection failed or sent invalid HTTP before the response was complete.

    :param reason: description of the failure, for logs and metrics.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
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
                return b"".join(self.kept_chunks)
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


@attrs.define(eq=False)
class ReceiveBudget:
    """Limit on the bytes of response bodies that several connections hold in memory.

    :param limit_bytes: maximum number of bytes.
    :param held_bytes: number of bytes held now.
    :param connections: open connections that share the budget.
    """

    limit_bytes: int = MAX_HELD_BYTES
    held_bytes: int = 0
    connections: set["Connection"] = attrs.field(factory=set)

    def enforce(self) -> None:
        """Abort the exchanges that hold most until the limit is kept."""
        while self.held_bytes > self.limit_bytes and self.connections:
            largest = max(
                self.connections, key=lambda connection: connection.held_bytes
            )
            if not largest.held_bytes:
                return
            largest.abort("too many bytes of bodies in memory")


class Connection(asyncio.Protocol):
    """HTTP/1.1 connection that carries one exchange at a time.

    :param clock: function that returns the monotonic time in seconds.
    :param budget: limit on the bytes in memory; by default it is not shared.
    """

    def __init__(
        self, clock: Callable[[], float], budget: ReceiveBudget | None = None
    ) -> None:
        self.clock = clock
        self.budget = budget or ReceiveBudget()
        self.on_discarded: Callable[[DiscardedBytes], None] = lambda discarded: None
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.closed = False
        self.paused = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self.exchange_count = 0
        self.response_count = 0
        self.discard_count = 0
        self.request_ids: set[str] = set()
        self.ends_at_close = False
        self.skipping_response = False
        self.head_complete = False
        self.unchecked_bytes = 0
        self.checked_body_bytes = 0
        self.headers: list[Header] = []
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.budget.connections.add(self)

    def send(self, request: bytes, exchange: Exchange) -> None:
        """Send a request.

        :param request: encoded request, with headers and body.
        :param exchange: exchange that receives the response.
        """
        assert self.transport is not None
        self.exchange = exchange
        self.request_ids.add(exchange.request_id)
        exchange.on_read = self._handle_read
        self.unchecked_bytes = 0
        self.checked_body_bytes = 0
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if no request is outstanding.

        It is also aborted if too many bytes belong to no body.
        """
        exchange = self.exchange
        if exchange is None or exchange.complete:
            self._discard("bytes without a request")
            self.abort("bytes without a request")
            return
        self.unchecked_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.abort(f"no HTTP answer: {type(error).__name__}")
        if self.unchecked_bytes > MAX_FRAMING_BYTES:
            self._check_framing(exchange)

    def on_message_begin(self) -> None:
        """Start a response; do not reuse the connection if none is expected."""
        if self.exchange is None or self.exchange.complete:
            self.reusable = False
        self.headers = []
        self.head_complete = False
        self.ends_at_close = False
        self.skipping_response = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; drop trailers, which follow the body."""
        if not self.head_complete:
            self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Accept the response if it belongs to the current exchange, else skip it."""
        self.head_complete = True
        if self.closed:
            self.skipping_response = True
            return
        status = self.parser.get_status_code()
        exchange = self.exchange
        head = decode_response_head(status, self.headers)
        if exchange is None or exchange.complete:
            self.skipping_response = True
            self._discard("second response", head.request_id)
            return
        if status < MIN_FINAL_STATUS or not self._belongs(
            exchange, status, head.request_id
        ):
            self.skipping_response = True
            return
        lengths = [int(value) for name, value in self.headers if name == CONTENT_LENGTH]
        codings = [value for name, value in self.headers if name == TRANSFER_ENCODING]
        if codings and [coding.lower() for coding in codings] != [b"chunked"]:
            # The body would be relayed with a coding that no header names.
            self.abort("unknown transfer coding")
            return
        self.ends_at_close = (
            not lengths and not codings and status not in STATUSES_WITHOUT_BODY
        )
        if head.closing or self.ends_at_close:
            self.reusable = False
        if exchange.has_body and max(lengths, default=0) > exchange.max_body_bytes:
            self.abort("answer too large")
            return
        self.idle_timeout_s = head.idle_timeout_s
        exchange.response = Response(status, self.headers, head)
        if exchange.on_response is not None:
            exchange.on_response(exchange.response)
        exchange.wake()
        if not exchange.has_body:
            # The parser would take the next bytes for the body.
            self.reusable = False
            self.skipping_response = True
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Add bytes of the body."""
        exchange = self.exchange
        if exchange is None or exchange.failure:
            return
        if self.skipping_response:
            exchange.skipped_bytes += len(body)
            if exchange.skipped_bytes > MAX_SKIPPED_BYTES:
                self.abort("too many bytes of other responses")
            return
        size = len(body)
        exchange.body_bytes += size
        if exchange.body_bytes > exchange.max_body_bytes:
            self.abort("answer too large")
            return
        exchange.chunks.append(body)
        exchange.unread_bytes += size
        if exchange.unread_bytes > MAX_UNREAD_BYTES:
            self._pause_reading()
            self._count_held_bytes(exchange)
        exchange.wake()

    def on_message_complete(self) -> None:
        """Complete the exchange."""
        if not self.parser.should_keep_alive():
            self.reusable = False
        if self.skipping_response:
            self.skipping_response = False
            return
        self._complete()

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        if self.ends_at_close and not self.skipping_response:
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress."""
        self.closed = True
        self.budget.connections.discard(self)
        self._fail("connection reset" if error else "connection closed")

    def abort(self, reason: str = "aborted") -> None:
        """Close the connection immediately.

        :param reason: failure to report to the exchange in progress.
        """
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self._fail(reason)
        self._free_held_bytes()

    def release(self) -> None:
        """Detach the completed exchange and mark the connection as idle."""
        self._free_held_bytes()
        self._resume_reading()
        self.exchange = None
        self.exchange_count += 1
        self.idle_since = self.clock()

    def _belongs(self, exchange: Exchange, status: int, request_id: str) -> bool:
        """Return whether a response belongs to the exchange; discard it if not."""
        self.response_count += 1
        first = self.response_count == 1
        if request_id == exchange.request_id and (request_id or first):
            return True
        self.reusable = False
        if request_id and exchange.request_id:
            self._discard("response to another request", request_id)
            return False
        if not request_id and first and status >= MIN_FAILURE_STATUS:
            return True
        reason = f"response names {'a' if request_id else 'no'} request"
        self._discard(reason, request_id)
        self.abort(reason)
        return False

    @property
    def held_bytes(self) -> int:
        """Number of bytes of the current exchange that count towards the budget."""
        return self.exchange.held_bytes if self.exchange is not None else 0

    def _handle_read(self) -> None:
        if self.exchange is not None:
            self._count_held_bytes(self.exchange)
        self._resume_reading()

    def _count_held_bytes(self, exchange: Exchange) -> None:
        held_bytes = exchange.kept_bytes + exchange.unread_bytes
        self.budget.held_bytes += held_bytes - exchange.held_bytes
        exchange.held_bytes = held_bytes
        self.budget.enforce()

    def _free_held_bytes(self) -> None:
        if self.exchange is not None:
            self.budget.held_bytes -= self.exchange.held_bytes
            self.exchange.held_bytes = 0

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.transport is not None and self.paused:
            self.paused = False
            self.transport.resume_reading()

    def _check_framing(self, exchange: Exchange) -> None:
        body_bytes = exchange.body_bytes + exchange.skipped_bytes
        allowed = RECEIVED_BYTES_PER_BODY_BYTE * (body_bytes - self.checked_body_bytes)
        if self.unchecked_bytes <= allowed:
            self.unchecked_bytes = 0
            self.checked_body_bytes = body_bytes
        elif self.unchecked_bytes > MAX_FRAMING_BYTES + allowed:
            self.abort("too many bytes outside of the body")

    def _discard(self, reason: str, request_id: str = "") -> None:
        self.discard_count += 1
        if self.discard_count > MAX_DISCARD_REPORTS:
            return
        expected_id = self.exchange.request_id if self.exchange else ""
        self.on_discarded(
            DiscardedBytes(reason, request_id, expected_id, self.exchange_count)
        )

    def _complete(self) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.complete and not exchange.failure:
            exchange.complete = True
            exchange.wake()

    def _fail(self, reason: str) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.complete and not exchange.failure:
            exchange.failure = reason
            exchange.wake()


async def connect(
    address: str,
    timeout_s: float,
    clock: Callable[[], float],
    budget: ReceiveBudget | None = None,
) -> Connection:
    """Open a connection.

    :param address: ``host:port``.
    :param timeout_s: maximum time in seconds.
    :param clock: function that returns the monotonic time in seconds.
    :param budget: limit on the bytes in memory; by default it is not shared.
    :raises ExchangeBrokenError: if the connection can't be opened in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(clock, budget), host, int(port)
            )
    except TimeoutError as error:
        raise ExchangeBrokenError("connect timeout") from error
    except OSError as error:
        raise ExchangeBrokenError(f"connect failed: {error.strerror}") from error
    return connection


@attrs.define(eq=False)
class ConnectionPool:
    """Pool of idle connections to one address.

    :param address: ``host:port``.
    :param clock: function that returns the monotonic time in seconds.
    :param max_idle_s: seconds after which a sweep closes an idle connection.
    :param idle: idle connections, the most recently used last.
    :param closed: whether connections are closed when they are returned.
    """

    address: str
    clock: Callable[[], float]
    max_idle_s: float = 4.0
    idle: list[Connection] = attrs.field(factory=list)
    closed: bool = False

    def take_idle(self, idle_limit_s: float, request_id: str) -> Connection | None:
        """Return the most recently used idle connection, or None.

        Connections that were idle for too long are closed. Half of the timeout that the
        peer announced is allowed, so that the peer does not close the connection first.
        One that carried the same request before is left out, because a late response to
        that attempt has the same id.

        :param idle_limit_s: maximum time that the connection was idle, in seconds.
        :param request_id: id of the request that is sent over the connection.
        """
        now = self.clock()
        for connection in reversed(self.idle):
            timeout_s = connection.idle_timeout_s
            allowed_s = idle_limit_s if timeout_s is None else timeout_s / 2
            usable = not connection.closed and now - connection.idle_since <= min(
                allowed_s, idle_limit_s
            )
            if usable and request_id in connection.request_ids:
                continue
            self.idle.remove(connection)
            if usable:
                return connection
            connection.abort()
        return None

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        :param connection: connection whose exchange is complete.
        """
        connection.release()
        exhausted = connection.exchange_count >= MAX_EXCHANGES
        if self.closed or connection.closed or not connection.reusable or exhausted:
            connection.abort()
        else:
            self.idle.append(connection)

    def sweep(self) -> None:
        """Close connections that were idle for longer than ``max_idle_s``."""
        now = self.clock()
        kept = []
        for connection in self.idle:
            if connection.closed:
                continue
            if now - connection.idle_since > self.max_idle_s:
                connection.abort()
            else:
                kept.append(connection)
        self.idle = kept

    def close(self) -> None:
        """Close all idle connections, and those that are returned later."""
        self.closed = True
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Encode a request.

    :param method: method.
    :param target: path and query as they were received.
    :param headers: pairs of a name and a value, without ``content-length``.
    :param body: complete body.
    """
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
