"""Connections of callers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus

import attrs
import httptools

from jasminewalk.platform.headers import Header

__all__ = ["CallerConnection", "CallerLimits", "CallerRequest", "CallersServer"]

# Requests parsed ahead on one connection before reading pauses.
MAX_PIPELINED = 8
# Seconds a caller may take to send a body; far above any link's need.
BODY_TIMEOUT_S = 15.0
# Seconds between looks for idle connections and slow request heads.
SWEEP_S = 0.25
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NO_BODY = (204, 304)


@attrs.frozen
class CallerLimits:
    """Bounds on what a caller may send.

    :param header_bytes: largest request head in bytes.
    :param body_bytes: largest request body in bytes.
    :param header_timeout_s: seconds a caller may take for a request head.
    :param idle_timeout_s: seconds a connection may stay idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.define(eq=False)
class CallerRequest:
    """A request that was read whole.

    :param method: method.
    :param target: path and query as they were received.
    :param headers: names in lower case and values.
    :param body: whole body.
    :param arrived_s: instant at which its first bytes were read.
    :param keep_alive: whether the caller keeps the connection.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    arrived_s: float
    keep_alive: bool

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Host in lower case without a port."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").lower().rpartition(":")[0] or (
                    value.decode("latin-1").lower()
                )
        return ""


Handler = Callable[["CallerConnection", CallerRequest], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """One caller's connection; its requests are handled one after the other.

    :param server: server that accepted it.
    """

    def __init__(self, server: "CallersServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[CallerRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self.closed = False
        self.closing = False
        self.answer_started = False
        self.answer_ended = False
        self.cancel_on_close = True
        self.request_started_s: float | None = None
        self.idle_since = server.clock()
        self.head_bytes = 0
        self.head_complete = False
        self.headers: list[Header] = []
        self.target = b""
        self.body: list[bytes] = []
        self.body_bytes = 0

    # Reading.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self.closing:
            return
        if self.request_started_s is None:
            self.request_started_s = self.server.clock()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(BAD_REQUEST)
        except httptools.HttpParserCallbackError as error:
            if not self.closing:
                raise error
        except httptools.HttpParserError:
            self.refuse(BAD_REQUEST)
        if len(self.waiting) >= MAX_PIPELINED and self.transport is not None:
            self.transport.pause_reading()

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

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), value.strip()))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Ask for the body where the caller waits to be asked."""
        self.head_complete = True
        for name, value in self.headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take bytes of the body."""
        self.body_bytes += len(body)
        if self.body_bytes > self.server.limits.body_bytes:
            self.refuse(CONTENT_TOO_LARGE)
            return
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Queue a request that was read whole."""
        if self.closing:
            return
        started = self.request_started_s
        self.request_started_s = None
        request = CallerRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=self.headers,
            body=b"".join(self.body),
            arrived_s=self.server.clock() if started is None else started,
            keep_alive=self.parser.should_keep_alive(),
        )
        self.body = []
        self.waiting.append(request)
        if self.task is None:
            self._next_request()

    def eof_received(self) -> bool:
        """Take a closed sending side for a caller that left."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request of a caller that left."""
        self.closed = True
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.task is not None and self.cancel_on_close:
            self.task.cancel()

    def _count_head(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.server.limits.header_bytes:
            self.refuse(HEADERS_TOO_LARGE)

    def _next_request(self) -> None:
        if not self.waiting or self.closed or self.closing:
            self.idle_since = self.server.clock()
            return
        request = self.waiting.popleft()
        self.answer_started = False
        self.answer_ended = False
        self.cancel_on_close = True
        self.task = asyncio.get_running_loop().create_task(self._handle(request))

    async def _handle(self, request: CallerRequest) -> None:
        self.server.active += 1
        try:
            await self.server.handler(self, request)
        except Exception as error:  # logged by the hook; the caller gets 502 or an end
            self.server.on_error(request, error)
        finally:
            self.server.active -= 1
            self.task = None
            self._after_answer(request)

    def _after_answer(self, request: CallerRequest) -> None:
        if self.closed:
            return
        if self.answer_started and not self.answer_ended:
            self.abort()
            return
        if not self.answer_started:
            self.answer(502, [], b"")
        if not request.keep_alive or self.closing or self.server.draining:
            self.close()
            return
        if self.transport is not None and len(self.waiting) < MAX_PIPELINED:
            self.transport.resume_reading()
        self._next_request()

    # Writing.

    def answer(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a whole answer.

        :param status: status code.
        :param headers: names and values, without a length.
        :param body: whole body.
        """
        head = self._head(status, headers)
        if status not in NO_BODY:
            head += b"content-length: %d\r\n" % len(body)
        self.answer_started = True
        self.answer_ended = True
        self._write(head + b"\r\n" + body)

    def start_stream(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of an answer whose body follows in chunks.

        :param status: status code.
        :param headers: names and values, without a length.
        """
        head = self._head(status, headers)
        self.answer_started = True
        self._write(head + b"transfer-encoding: chunked\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Send bytes of a body in chunks.

        :param data: the bytes; not empty.
        """
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """End a body in chunks as complete."""
        self.answer_ended = True
        self._write(b"0\r\n\r\n")

    def refuse(self, status: int) -> None:
        """Answer a request that can't be read, and close.

        :param status: status code.
        """
        if self.closing:
            return
        self.closing = True
        self.server.on_refused(status)
        if self.task is None:
            self._write(
                self._head(status, []) + b"content-length: 0\r\n\r\n",
            )
            self.close()

    def close(self) -> None:
        """Close after what was written is sent."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that no answer looks complete."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def _head(self, status: int, headers: Iterable[Header]) -> bytes:
        try:
            phrase = HTTPStatus(status).phrase.encode()
        except ValueError:
            phrase = b"Status"
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
        lines.extend(b"%s: %s\r\n" % header for header in headers)
        if self.server.draining or self.closing:
            lines.append(b"connection: close\r\n")
        else:
            idle_s = int(self.server.limits.idle_timeout_s)
            if idle_s > 0:
                lines.append(b"keep-alive: timeout=%d\r\n" % idle_s)
        return b"".join(lines)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.closed:
            self.transport.write(data)


class CallersServer:
    """Accepts callers and hands their requests to a handler.

    :param handler: handles one request.
    :param clock: returns the current instant in seconds.
    :param on_error: called with a request whose handler failed and the error.
    :param on_refused: called with the status of a request that could not be read.
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
        self.limits = CallerLimits()
        self.connections: set[CallerConnection] = set()
        self.active = 0
        self.draining = False
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept connections.

        :param address: ``host:port``.
        """
        host, _, port = address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), host, int(port), backlog=512
        )

    async def sweep_forever(self) -> None:
        """Close idle connections and refuse slow request heads."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.sweep()

    def sweep(self) -> None:
        """Close idle connections and refuse slow request heads, once."""
        now = self.clock()
        for connection in list(self.connections):
            if connection.task is not None or connection.closing:
                continue
            started = connection.request_started_s
            if started is not None:
                allowed_s = self.limits.header_timeout_s
                if connection.head_complete:
                    allowed_s = BODY_TIMEOUT_S
                if now - started > allowed_s:
                    connection.refuse(REQUEST_TIMEOUT)
            elif now - connection.idle_since > self.limits.idle_timeout_s:
                connection.close()

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self.server is not None:
            self.server.close()

    def close_idle(self) -> None:
        """Close connections on which no request waits or is being read."""
        for connection in list(self.connections):
            if connection.task is None and connection.request_started_s is None:
                connection.close()
