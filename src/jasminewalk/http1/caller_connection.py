"""Connection of a caller: reads requests and has them handled one after the other."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from jasminewalk.http1.caller_request import CallerRequest
from jasminewalk.http1.response_sender import ResponseSender
from jasminewalk.platform.headers import Header

if TYPE_CHECKING:
    from jasminewalk.http1.server import CallerServer

__all__ = ["CallerConnection"]

# Parsing and reading pause while this many requests wait on one connection.
MAX_PIPELINED = 8
# Bytes that are parsed at once, so that few requests are in memory when that pauses.
PARSED_BYTES = 4096
# A request is refused after more bytes in addition to its headers and its body, such as
# chunk framing and trailers. Each byte of the body allows for some more.
MAX_FRAMING_BYTES = 4 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8
# Memory of a request besides its body: its objects, and what each byte of its head
# takes in them.
REQUEST_BYTES = 1024
MEMORY_PER_HEAD_BYTE = 3
# Requests that take more than this many bytes grow only while this share of the memory
# is not held, so that the rest is left for ordinary ones.
LARGE_BYTES = 256 * 1024
LARGE_SHARE = 0.75
# ``Retry-After`` in seconds of a request that is refused for want of memory.
MEMORY_RETRY_AFTER_S = 1
BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
BAD_GATEWAY = 502
UNAVAILABLE = 503


class CallerConnection(ResponseSender):
    """Connection of a caller; its requests are handled one after the other.

    :param server: server that accepted the connection.
    """

    def __init__(self, server: "CallerServer") -> None:
        super().__init__(server)
        self.parser = httptools.HttpRequestParser(self)
        self.backlog = b""
        self.pending_requests: deque[CallerRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self.reading_paused = False
        self.cancel_on_close = True
        self.request_started_s: float | None = None
        self.idle_since = server.clock()
        self.head_bytes = 0
        self.head_complete = False
        self.continue_expected = False
        self.headers: list[Header] = []
        self.target = b""
        self.body = bytearray()
        self.unchecked_bytes = 0
        self.checked_body_bytes = 0
        self.held_bytes = 0
        self.incomplete_bytes = 0

    # Receiving.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.server.add_connection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into, which all connections share."""
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were received into the buffer."""
        self.data_received(bytes(self.server.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and pause reading if too many requests wait."""
        if self.closing:
            return
        if self.request_started_s is None:
            self.request_started_s = self.server.clock()
        self._hold(len(data))
        self.backlog += data
        self._parse_backlog()

    def _parse_backlog(self) -> None:
        while self.backlog and not self.closing and not self._must_wait:
            data = self.backlog[:PARSED_BYTES]
            self.backlog = self.backlog[PARSED_BYTES:]
            self._free(len(data))
            self._parse(data)
        if self.closing:
            self._free(len(self.backlog))
            self.backlog = b""
        elif self._must_wait:
            self.reading_paused = True
            if self.transport is not None:
                self.transport.pause_reading()

    def _parse(self, data: bytes) -> None:
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

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.request_started_s is None:
            self.request_started_s = self.server.clock()
        self.headers = []
        self.target = b""
        self.body = bytearray()
        self.head_bytes = 0
        self.head_complete = False
        self.checked_body_bytes = 0
        self.incomplete_bytes = 0

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
        if len(self.body) + len(body) > self.server.limits.body_bytes:
            self.refuse(CONTENT_TOO_LARGE)
        if self.closing:
            return
        # One buffer, as an object for each chunk takes many times the bytes of a small
        # one.
        self.body += body
        self._hold_incomplete(len(body))

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
            body=bytes(self.body),
            arrived_s=self.server.clock() if started_s is None else started_s,
            keep_alive=self.parser.should_keep_alive(),
            held_bytes=self.incomplete_bytes,
        )
        self.body = bytearray()
        self.incomplete_bytes = 0
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
        self._drop_body()
        self.pending_requests.clear()
        self.backlog, self.body = b"", bytearray()
        self.resume_writing()
        self.server.connections.discard(self)
        if self.task is not None and self.cancel_on_close:
            self.task.cancel()

    def _add_head_bytes(self, size: int) -> None:
        if not self.incomplete_bytes:
            self._hold_incomplete(REQUEST_BYTES)
        self.head_bytes += size
        self._hold_incomplete(MEMORY_PER_HEAD_BYTE * size)
        if self.head_bytes > self.server.limits.header_bytes:
            self.refuse(HEADERS_TOO_LARGE)

    def _send_continue(self) -> None:
        if self.continue_expected and not self.closing:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.continue_expected = False

    def _check_framing(self) -> None:
        allowed = FRAMING_BYTES_PER_BODY_BYTE * (
            len(self.body) - self.checked_body_bytes
        )
        if self.unchecked_bytes <= allowed:
            self.unchecked_bytes = 0
            self.checked_body_bytes = len(self.body)
        elif (
            self.unchecked_bytes
            > self.server.limits.header_bytes + MAX_FRAMING_BYTES + allowed
        ):
            self.refuse(BAD_REQUEST if self.head_complete else HEADERS_TOO_LARGE)

    # Memory.

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        self.server.held_bytes += size

    def _hold_incomplete(self, size: int) -> None:
        """Count memory of the request that is being received."""
        if self.closing:
            return
        self.incomplete_bytes += size
        self._hold(size)
        limit = float(self.server.max_held_bytes)
        if self.incomplete_bytes > LARGE_BYTES:
            limit *= LARGE_SHARE
        if self.server.held_bytes > limit:
            self.server.refuse_largest()

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

    @property
    def _must_wait(self) -> bool:
        """Whether nothing more is read, as too much waits behind the running request.

        Long after the end of listening any request is too much, so that a caller who
        never stops sending does not keep the server.
        """
        if self._too_many_pending:
            return True
        has_ended = self.server.clock() > self.server.ends_at
        return has_ended and bool(self.pending_requests)

    def _resume_if_due(self) -> None:
        """Read on once what was read before is answered, or at least soon will be."""
        has_ended = self.server.clock() > self.server.ends_at
        if self._too_many_pending or (has_ended and self.task is not None):
            return
        self._parse_backlog()
        if not self.backlog and not self._must_wait:
            self.reading_paused = False
            if self.transport is not None and not self.closing:
                self.transport.resume_reading()

    @property
    def _has_further_requests(self) -> bool:
        """Whether a request was received, or began to be, behind the current one.

        One that began long after the end of listening counts once it is complete.
        """
        started_s = self.request_started_s
        return bool(self.pending_requests or self.backlog) or (
            started_s is not None and started_s <= self.server.ends_at
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled, and no response sent."""
        return (
            self.task is None
            and self.request_started_s is None
            and not self.unsent_body
        )

    # Handling.

    def _start_next_request(self) -> None:
        if not self.pending_requests or self.closed or self.closing:
            self.idle_since = self.server.clock()
            self._send_continue()
            return
        if self.writable is not None or self.unsent_body:
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
            if not self.closed:
                self._free(request.held_bytes)
            self._finish_request(request)

    def _finish_request(self, request: CallerRequest) -> None:
        if self.closed:
            return
        if self.response_started and not self.response_ended:
            self.abort()
            return
        if not self.response_started:
            self.send_response(BAD_GATEWAY, [], b"")
        if not request.keep_alive or self.closing or self.end_announced:
            self.close()
            return
        self._start_next_request()
        if self.reading_paused:
            self._resume_if_due()

    def _handle_all_sent(self) -> None:
        """Close the connection if that waited, or start the next request."""
        if self.closed:
            return
        if self.closing and self.task is None:
            # The transport may call this in the midst of sending, and would end twice.
            asyncio.get_running_loop().call_soon(self.close)
        elif self.task is None and self.pending_requests:
            self._start_next_request()
            if self.reading_paused:
                self._resume_if_due()

    def refuse(self, status: int) -> None:
        """Reject a request that can't be read and close the connection.

        The status is sent only if no earlier request is being handled.

        :param status: status code of the response.
        """
        if self.closing:
            return
        self.closing = True
        self.server.on_refused(status)
        self._free(self.incomplete_bytes)
        self.incomplete_bytes = 0
        self.body = bytearray()
        if self.task is None:
            headers: list[Header] = []
            if status == UNAVAILABLE:
                headers = [(b"retry-after", b"%d" % MEMORY_RETRY_AFTER_S)]
            self._write(
                self._encode_head(status, headers) + b"content-length: 0\r\n\r\n",
            )
            self.close()
