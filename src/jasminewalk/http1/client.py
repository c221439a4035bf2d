"""HTTP/1.1 client connections to engines and to the platform's store."""

import asyncio
from collections.abc import Callable, Iterable

import httptools

from jasminewalk.http1.exchange import (
    DiscardedBytes,
    Exchange,
    ExchangeBrokenError,
    Response,
)
from jasminewalk.http1.receive_budget import ReceiveBudget
from jasminewalk.platform.headers import Header, decode_response_head

__all__ = ["Connection", "connect", "encode_request"]

# An exchange is aborted when its received bytes, with heads, chunk framing and
# trailers, exceed this multiple of the bytes of bodies by more than the maximum.
MAX_FRAMING_BYTES = 64 * 1024
RECEIVED_BYTES_PER_BODY_BYTE = 2
# An exchange is aborted after more bytes of bodies of skipped responses.
MAX_SKIPPED_BYTES = 1024 * 1024
# Receiving pauses while more bytes of an exchange were not read.
MAX_UNREAD_BYTES = 64 * 1024
# Bytes of an exchange that may be unread without counting towards the budget.
MAX_UNCOUNTED_BYTES = 8 * 1024
# Discarded bytes of one connection that are each reported.
MAX_DISCARD_REPORTS = 10
# A timer that fires later than this many seconds tells that the event loop, or the
# whole machine, was held up. Connecting then has this many seconds more.
MAX_TIMER_DELAY_S = 0.05
STALL_GRACE_S = 0.1
MIN_FINAL_STATUS = 200
MIN_FAILURE_STATUS = 300
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
STATUSES_WITHOUT_BODY = (204, 304)


class Connection(asyncio.BufferedProtocol):
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
        self.opened_at = clock()
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into, which connections of a budget share."""
        return self.budget.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were received into the buffer."""
        self.data_received(bytes(self.budget.buffer[:nbytes]))

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
        if exchange.unread_bytes > MAX_UNCOUNTED_BYTES:
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
        self._record_end_by_peer()
        if self.ends_at_close and not self.skipping_response:
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress."""
        if not self.closed:
            self._record_end_by_peer()
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
        if self.exchange is not None and self.exchange.failure:
            # The task that waits for the exchange may run only later.
            self.exchange.drop_body()

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

    def _record_end_by_peer(self) -> None:
        if self.exchange is not None and not self.exchange.complete:
            self.exchange.ended_by_peer = True

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
        async with asyncio.timeout(None) as limit:
            timer = loop.call_later(
                timeout_s, _end_connecting, limit, loop.time() + timeout_s
            )
            try:
                _, connection = await loop.create_connection(
                    lambda: Connection(clock, budget), host, int(port)
                )
            finally:
                timer.cancel()
    except TimeoutError as error:
        raise ExchangeBrokenError("connect timeout") from error
    except (ValueError, OverflowError) as error:
        raise ExchangeBrokenError(f"unusable address: {address[:60]!r}") from error
    except OSError as error:
        reason = f"connect failed: {error.strerror}"
        refused = isinstance(error, ConnectionRefusedError)
        raise ExchangeBrokenError(reason, refused=refused) from error
    return connection


def _end_connecting(limit: asyncio.Timeout, due: float) -> None:
    """End an attempt to connect; later, if the loop has not seen what arrived."""
    now = asyncio.get_running_loop().time()
    was_stalled = now - due > MAX_TIMER_DELAY_S
    limit.reschedule(now + STALL_GRACE_S if was_stalled else now)


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
