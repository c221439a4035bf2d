"""Connections to engines and to the platform's store."""

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
    "Exchange",
    "ExchangeBrokenError",
    "connect",
]

# Bytes of an answer that is buffered whole; above it the exchange is broken off.
MAX_BODY_BYTES = 64 * 1024 * 1024
INFORMATIONAL = 200
BODILESS = (204, 304)


class ExchangeBrokenError(Exception):
    """The connection ended or spoke no HTTP before the answer was complete.

    :param reason: what was seen, for logs.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


@attrs.define
class Response:
    """Head of an answer.

    :param status: status code.
    :param headers: names in lower case and values, in the order received.
    :param head: what the system reads of the headers.
    """

    status: int
    headers: list[Header]
    head: ResponseHead


@attrs.define(eq=False)
class Exchange:
    """One request on a connection and the answer to it.

    An answer that names another request is skipped: an engine may send a late or extra
    answer where the next one is expected.

    :param request_id: id that the answer must bear; empty accepts any.
    """

    request_id: str = ""
    answer: Response | None = None
    complete: bool = False
    failure: str = ""
    chunks: deque[bytes] = attrs.field(factory=deque)
    size: int = 0
    waiter: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Wake the task that waits for this exchange."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self) -> None:
        """Wait until something new has arrived."""
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            await self.waiter
        finally:
            self.waiter = None

    async def head(self) -> Response:
        """Wait for the head of the answer.

        :raises ExchangeBrokenError: if the connection ended before.
        """
        while self.answer is None:
            if self.failure:
                raise ExchangeBrokenError(self.failure)
            await self.wait()
        return self.answer

    async def next_chunk(self) -> bytes:
        """Wait for the next bytes of the body; empty once it is complete.

        :raises ExchangeBrokenError: if the connection ended before.
        """
        while not self.chunks:
            if self.complete:
                return b""
            if self.failure:
                raise ExchangeBrokenError(self.failure)
            await self.wait()
        chunk = b"".join(self.chunks)
        self.chunks.clear()
        return chunk

    async def body(self) -> bytes:
        """Wait for the whole body.

        :raises ExchangeBrokenError: if the connection ended before.
        """
        parts = []
        while chunk := await self.next_chunk():
            parts.append(chunk)
        return b"".join(parts)


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection that carries one exchange at a time.

    :param clock: returns the current instant in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.closed = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_timeout_s: float | None = None
        self.served = 0
        self.until_close = False
        self.skipping = False
        self.headers: list[Header] = []
        self.parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]

    def send(self, request: bytes, exchange: Exchange) -> None:
        """Send a request.

        :param request: its bytes, head and body.
        :param exchange: filled while the answer arrives.
        """
        assert self.transport is not None
        self.exchange = exchange
        self.transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; bytes that no request awaits end the connection."""
        if self.exchange is None:
            self.abort("bytes without a request")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.abort(f"no HTTP answer: {type(error).__name__}")

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.headers = []
        self.until_close = False
        self.skipping = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self) -> None:
        """Decide whether the answer belongs to the request that waits."""
        status = self.parser.get_status_code()
        exchange = self.exchange
        if exchange is None or exchange.complete:
            self.reusable = False
            self.skipping = True
            return
        head = decode_response_head(status, self.headers)
        named_other = exchange.request_id and head.request_id != exchange.request_id
        unnamed_success = not head.request_id and status < 300
        if status < INFORMATIONAL or (
            named_other and (head.request_id or unnamed_success)
        ):
            self.skipping = True
            return
        names = dict(self.headers)
        self.until_close = (
            b"content-length" not in names
            and b"transfer-encoding" not in names
            and status not in BODILESS
        )
        if head.closing or self.until_close:
            self.reusable = False
        self.idle_timeout_s = head.idle_timeout_s
        exchange.answer = Response(status, self.headers, head)
        exchange.wake()

    def on_body(self, body: bytes) -> None:
        """Take bytes of the body."""
        exchange = self.exchange
        if exchange is None or self.skipping:
            return
        exchange.size += len(body)
        if exchange.size > MAX_BODY_BYTES:
            self.abort("answer too large")
            return
        exchange.chunks.append(body)
        exchange.wake()

    def on_message_complete(self) -> None:
        """Complete the exchange."""
        if self.skipping:
            self.skipping = False
            return
        self._complete()

    def eof_received(self) -> bool:
        """Complete an answer whose end is the connection's."""
        if self.until_close and not self.skipping:
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange that still runs."""
        self.closed = True
        self._fail("connection reset" if error else "connection closed")

    def abort(self, reason: str = "aborted") -> None:
        """End the connection at once.

        :param reason: what happened, for the exchange that still runs.
        """
        self.closed = True
        if self.transport is not None:
            self.transport.abort()
        self._fail(reason)

    def release(self) -> None:
        """Leave a connection whose exchange is complete."""
        self.exchange = None
        self.served += 1
        self.idle_since = self.clock()

    def _complete(self) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.complete:
            exchange.complete = True
            exchange.wake()

    def _fail(self, reason: str) -> None:
        exchange = self.exchange
        if exchange is not None and not exchange.complete and not exchange.failure:
            exchange.failure = reason
            exchange.wake()


async def connect(
    address: str, timeout_s: float, clock: Callable[[], float]
) -> Connection:
    """Open a connection.

    :param address: ``host:port``.
    :param timeout_s: seconds it may take.
    :param clock: returns the current instant in seconds.
    :raises ExchangeBrokenError: if it can't be opened in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(clock), host, int(port)
            )
    except TimeoutError as error:
        raise ExchangeBrokenError("connect timeout") from error
    except OSError as error:
        raise ExchangeBrokenError(f"connect failed: {error.strerror}") from error
    return connection


@attrs.define(eq=False)
class ConnectionPool:
    """Kept connections to one address.

    :param address: ``host:port``.
    :param clock: returns the current instant in seconds.
    :param max_idle_s: longest time a connection is kept idle, in seconds.
    """

    address: str
    clock: Callable[[], float]
    max_idle_s: float = 4.0
    idle: list[Connection] = attrs.field(factory=list)
    open_count: int = 0

    def take_idle(self, fresher_than_s: float) -> Connection | None:
        """Return the most recently used connection, or None.

        :param fresher_than_s: longest time it may have been idle, in seconds.
        """
        now = self.clock()
        while self.idle:
            connection = self.idle.pop()
            timeout_s = connection.idle_timeout_s
            allowed_s = fresher_than_s if timeout_s is None else timeout_s / 2
            if not connection.closed and now - connection.idle_since <= min(
                allowed_s, fresher_than_s
            ):
                return connection
            connection.abort()
        return None

    def put_back(self, connection: Connection) -> None:
        """Keep a connection whose exchange is complete, or close it.

        :param connection: the connection.
        """
        connection.release()
        if connection.closed or not connection.reusable:
            connection.abort()
        else:
            self.idle.append(connection)

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
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
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Return the bytes of a request with a length.

    :param method: method.
    :param target: path and query as they were received.
    :param headers: names and values, without a length.
    :param body: whole body.
    """
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines.extend(b"%s: %s\r\n" % header for header in headers)
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
