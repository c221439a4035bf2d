"""HTTP/1.1 server for the connections of callers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus

import attrs
import httptools

from jasminewalk.platform.headers import Header

__all__ = ["CallerConnection", "CallerLimits", "CallerRequest", "CallerServer"]

# Reading pauses while this many parsed requests wait on one connection.
MAX_PIPELINED = 8
# Seconds within which a request with a body must arrive, from its first bytes to its
# last; ample for slow links.
BODY_TIMEOUT_S = 15.0
# Seconds without progress after which a response that its caller doesn't read is
# aborted.
SEND_TIMEOUT_S = 15.0
# A request is refused after more bytes in addition to its headers and its body, such as
# chunk framing and trailers. Each byte of the body allows for some more.
MAX_FRAMING_BYTES = 4 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8
# Bytes of request bodies that all connections of one server may hold in memory. Over
# it, the largest request that is not complete is refused.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Bytes of complete responses that callers have not read. Over it, the connection with
# most of them is aborted.
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# Seconds in which a request may arrive on a connection that a caller believes to last.
ARRIVAL_S = 0.3
# Seconds between two checks for idle connections and slow requests.
SWEEP_INTERVAL_S = 0.25
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
UNAVAILABLE = 503
STATUSES_WITHOUT_BODY = (204, 304)


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    :param header_bytes: maximum size of the target and headers of a request in bytes.
    :param body_bytes: maximum size of a request body in bytes.
    :param header_timeout_s: seconds that a caller may take to send the headers of a
        request.
    :param idle_timeout_s: seconds after which an idle connection is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False)
class CallerRequest:
    """A request that was received completely.

    :param method: method.
    :param target: path and query as they were received.
    :param headers: pairs of a name in lower case and a value.
    :param body: complete body.
    :param arrived_s: monotonic time in seconds at which its first bytes were read.
    :param keep_alive: whether the caller keeps the connection open after the response.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    arrived_s: float
    keep_alive: bool

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Host in lower case, without the port; empty if there is no such header."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").lower().rpartition(":")[0] or (
                    value.decode("latin-1").lower()
                )
        return ""


Handler = Callable[["CallerConnection", CallerRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """Connection of a caller; its requests are handled one after the other.

    :param server: server that accepted the connection.
    """

    def __init__(self, server: "CallerServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending_requests: deque[CallerRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self.closed = False
        self.closing = False
        self.reading_paused = False
        self.end_announced = False
        self.writable: asyncio.Future[None] | None = None
        self.response_started = False
        self.response_ended = False
        self.cancel_on_close = True
        self.request_started_s: float | None = None
        self.idle_since = server.clock()
        self.head_bytes = 0
        self.head_complete = False
        self.continue_expected = False
        self.answers_head = False
        self.headers: list[Header] = []
        self.target = b""
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.unchecked_bytes = 0
        self.checked_body_bytes = 0
        self.held_bytes = 0
        self.unsent_bytes = 0
        self.unsent_since = 0.0

    # Receiving.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and pause reading if too many requests wait."""
        if self.closing:
            return
        if self.request_started_s is None:
            self.request_started_s = self.server.clock()
        self.unchecked_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(BAD_REQUEST)
        except httptools.HttpParserCallbackError as error:
            if not self.closing:
                raise error
        except httptools.HttpParserError:
            self.refuse(BAD_REQUEST)
        if self.unchecked_bytes > MAX_FRAMING_BYTES:
            self._check_framing()
        self._pause_if_due()

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.request_started_s is None:
            self.request_started_s = self.server.clock()
        self.headers = []
        self.target = b""
        self.body = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.head_complete = False
        self.checked_body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self.target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; drop trailers, which follow the body."""
        if not self.head_complete:
            self.headers.append((name.lower(), value.strip()))
        # Counts four more bytes for the colon, the space and the line end.
        self._add_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Reject unknown codings; send 100 Continue if the caller expects it."""
        self.head_complete = True
        for name, value in self.headers:
            if name == b"transfer-encoding" and value.lower() != b"chunked":
                self.refuse(NOT_IMPLEMENTED)
            if name == b"expect" and value.lower() == b"100-continue":
                self.continue_expected = True
        if self.task is None:
            self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Add bytes of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > self.server.limits.body_bytes:
            self.refuse(CONTENT_TOO_LARGE)
        if self.closing:
            return
        self.body.append(body)
        server = self.server
        self.held_bytes += len(body)
        server.held_bytes += len(body)
        if server.held_bytes > server.max_held_bytes:
            server.refuse_largest()

    def on_message_complete(self) -> None:
        """Queue the request that was received completely."""
        if self.closing:
            return
        self.unchecked_bytes = 0
        started_s = self.request_started_s
        self.request_started_s = None
        self.continue_expected = False
        request = CallerRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.headers,
            body=b"".join(self.body),
            arrived_s=self.server.clock() if started_s is None else started_s,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.body = []
        self.pending_requests.append(request)
        if self.task is None:
            self._start_next_request()

    def eof_received(self) -> bool:
        """Treat a caller that closed its sending side as disconnected."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the running request of a caller that disconnected."""
        self.closed = True
        self._free(self.held_bytes)
        self.resume_writing()
        self.server.connections.discard(self)
        self.pending_requests.clear()
        if self.task is not None and self.cancel_on_close:
            self.task.cancel()

    def _add_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes:
            self.refuse(HEADERS_TOO_LARGE)

    def _send_continue(self) -> None:
        if self.continue_expected and not self.closing:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.continue_expected = False

    def _check_framing(self) -> None:
        allowed = FRAMING_BYTES_PER_BODY_BYTE * (
            self.body_bytes - self.checked_body_bytes
        )
        if self.unchecked_bytes <= allowed:
            self.unchecked_bytes = 0
            self.checked_body_bytes = self.body_bytes
        elif (
            self.unchecked_bytes
            > self.server.limits.header_bytes + MAX_FRAMING_BYTES + allowed
        ):
            self.refuse(BAD_REQUEST if self.head_complete else HEADERS_TOO_LARGE)

    def _free(self, size: int) -> None:
        self.held_bytes -= size
        self.server.held_bytes -= size

    @property
    def _too_many_pending(self) -> bool:
        pending = self.pending_requests
        if not pending:
            return False
        body_bytes = sum(len(request.body) for request in pending)
        return (
            len(pending) >= MAX_PIPELINED or body_bytes >= self.server.limits.body_bytes
        )

    def _pause_if_due(self) -> None:
        """Read nothing more if too much waits behind the running request.

        Long after the end of listening any request is too much, so that a caller who
        never stops sending does not keep the server.
        """
        has_ended = self.server.clock() > self.server.ends_at
        if self._too_many_pending or (has_ended and self.pending_requests):
            self.reading_paused = True
            if self.transport is not None:
                self.transport.pause_reading()

    def _resume_if_due(self) -> None:
        """Read on once what was read before is answered, or at least soon will be."""
        has_ended = self.server.clock() > self.server.ends_at
        if not self._too_many_pending and not (has_ended and self.task is not None):
            self.reading_paused = False
            if self.transport is not None:
                self.transport.resume_reading()

    @property
    def _has_further_requests(self) -> bool:
        """Whether a request was received, or began to be, behind the current one.

        One that began long after the end of listening counts once it is complete.
        """
        started_s = self.request_started_s
        return bool(self.pending_requests) or (
            started_s is not None and started_s <= self.server.ends_at
        )

    def _start_next_request(self) -> None:
        if not self.pending_requests or self.closed or self.closing:
            self.idle_since = self.server.clock()
            self._send_continue()
            return
        if self.writable is not None:
            return
        request = self.pending_requests.popleft()
        self.answers_head = request.method == b"HEAD"
        self.response_started = False
        self.response_ended = False
        self.cancel_on_close = True
        self.task = asyncio.get_running_loop().create_task(self._handle(request))

    async def _handle(self, request: CallerRequest) -> None:
        self.server.active += 1
        try:
            await self.server.handler(self, request)
        except Exception as error:  # on_error logs it; the caller gets 502 or a reset
            self.server.on_error(request, error)
        finally:
            self.server.active -= 1
            self.task = None
            if request.body and not self.closed:
                self._free(len(request.body))
            self._finish_request(request)

    def _finish_request(self, request: CallerRequest) -> None:
        if self.closed:
            return
        if self.response_started and not self.response_ended:
            self.abort()
            return
        if not self.response_started:
            self.send_response(502, [], b"")
        if not request.keep_alive or self.closing or self.end_announced:
            self.close()
            return
        self._start_next_request()
        if self.reading_paused:
            self._resume_if_due()

    # Sending.

    def pause_writing(self) -> None:
        """Let ``drain`` wait, because the caller reads more slowly than is written."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` return, and start the next request that waits."""
        if self.writable is not None:
            self.writable.set_result(None)
            self.writable = None
        if self.task is None and self.pending_requests:
            self._start_next_request()

    async def drain(self) -> None:
        """Wait until the caller has read most of what was written."""
        if self.writable is not None:
            await asyncio.shield(self.writable)

    def send_response(
        self, status: int, headers: Iterable[Header], body: bytes
    ) -> None:
        """Send a complete response.

        :param status: status code.
        :param headers: pairs of a name and a value, without ``content-length``.
        :param body: complete body.
        """
        head = self._encode_head(status, headers)
        # The length of the body that a response to HEAD leaves out may be unknown.
        if status not in STATUSES_WITHOUT_BODY and (body or not self.answers_head):
            head += b"content-length: %d\r\n" % len(body)
        self.response_started = True
        self.response_ended = True
        self._write(head + b"\r\n" + (b"" if self.answers_head else body))

    def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Send the status and headers of a response whose body follows in chunks.

        :param status: status code.
        :param headers: pairs of a name and a value, without ``content-length``.
        """
        head = self._encode_head(status, headers)
        self.response_started = True
        self._write(head + b"transfer-encoding: chunked\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk of the body.

        :param data: bytes of the chunk; an empty chunk would end the body.
        """
        if not self.answers_head:
            self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Send the last chunk, which marks the body as complete."""
        self.response_ended = True
        if not self.answers_head:
            self._write(b"0\r\n\r\n")

    def refuse(self, status: int) -> None:
        """Reject a request that can't be read and close the connection.

        The status is sent only if no earlier request is being handled.

        :param status: status code of the response.
        """
        if self.closing:
            return
        self.closing = True
        self.server.on_refused(status)
        if self.body:
            self._free(sum(len(part) for part in self.body))
            self.body = []
        if self.task is None:
            self._write(
                self._encode_head(status, []) + b"content-length: 0\r\n\r\n",
            )
            self.close()

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the response does not look complete."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def check_progress(self, now: float) -> None:
        """Abort the connection if its caller has read nothing for too long.

        :param now: current monotonic time in seconds.
        """
        size = 0 if self.transport is None else self.transport.get_write_buffer_size()
        if not size or size != self.unsent_bytes:
            self.unsent_bytes, self.unsent_since = size, now
        elif now - self.unsent_since > SEND_TIMEOUT_S:
            self.abort_unread()

    def abort_unread(self) -> None:
        """Abort the connection because its caller doesn't read its response."""
        self.server.on_unread(self.unsent_bytes)
        self.unsent_bytes = 0
        self.abort()

    def _encode_head(self, status: int, headers: Iterable[Header]) -> bytes:
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Status"
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
        lines.extend(b"%s: %s\r\n" % header for header in headers)
        # What was received already is answered, so the last response announces the end.
        ends = self.server.draining and not self._has_further_requests
        self.end_announced = ends or self.closing
        if self.end_announced:
            lines.append(b"connection: close\r\n")
        else:
            idle_s = int(self.server.limits.idle_timeout_s)
            if idle_s > 0:
                lines.append(b"keep-alive: timeout=%d\r\n" % idle_s)
        return b"".join(lines)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.closed:
            self.transport.write(data)


class CallerServer:
    """Server that accepts callers and passes their requests to a handler.

    :param handler: coroutine function that handles one request.
    :param clock: function that returns the monotonic time in seconds.
    :param on_error: function called with a request whose handler raised and the error.
    :param on_refused: function called with the status of a request that could not be
        read.
    """

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float],
        on_error: Callable[[CallerRequest, Exception], None],
        on_refused: Callable[[int], None],
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.on_error = on_error
        self.on_refused = on_refused
        self.on_unread: Callable[[int], None] = lambda unsent_bytes: None
        self.limits = CallerLimits()
        self.connections: set[CallerConnection] = set()
        self.active = 0
        self.held_bytes = 0
        self.max_held_bytes = MAX_HELD_BYTES
        self.max_unsent_bytes = MAX_UNSENT_BYTES
        self.draining = False
        self.ends_at = float("inf")
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to accept connections.

        :param address: ``host:port`` to listen on.
        """
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=512
        )

    def refuse_largest(self) -> None:
        """Refuse the largest request that is not complete."""
        connections = [connection for connection in self.connections if connection.body]
        if connections:
            largest = max(connections, key=lambda connection: connection.body_bytes)
            largest.refuse(UNAVAILABLE)

    async def sweep_forever(self) -> None:
        """Close idle connections and reject slow requests periodically."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Close idle connections and reject slow requests once."""
        now = self.clock()
        for connection in list(self.connections):
            if connection.task is not None:
                connection.unsent_bytes = 0
                continue
            connection.check_progress(now)
            if connection.closing:
                continue
            started_s = connection.request_started_s
            if started_s is not None:
                allowed_s = self.limits.header_timeout_s
                if connection.head_complete:
                    allowed_s = BODY_TIMEOUT_S
                if now - started_s > allowed_s:
                    connection.refuse(REQUEST_TIMEOUT)
            elif now - connection.idle_since > self.limits.idle_timeout_s:
                connection.close()
        self._limit_unsent_bytes()

    def _limit_unsent_bytes(self) -> None:
        total = sum(connection.unsent_bytes for connection in self.connections)
        while total > self.max_unsent_bytes:
            largest = max(
                self.connections, key=lambda connection: connection.unsent_bytes
            )
            total -= largest.unsent_bytes
            largest.abort_unread()

    def stop_listening(self) -> None:
        """Stop accepting connections, and soon also further requests on open ones."""
        self.ends_at = self.clock() + ARRIVAL_S
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close connections on which no request is being read or handled.

        A connection that was accepted, or whose last response was sent, within
        ``ARRIVAL_S`` is left open, as a request may be on its way.
        """
        latest_s = self.clock() - ARRIVAL_S
        for connection in list(self.connections):
            is_idle = connection.task is None and connection.request_started_s is None
            if is_idle and connection.idle_since <= latest_s:
                connection.close()
