"""HTTP/1.1 protocol of the server, with limits that uvicorn does not have."""

import asyncio
from typing import Any

from absl import logging
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from jasminewalk.transport.connection_guard import ConnectionGuard

__all__ = ["LimitedHttpProtocol"]

MAX_HEAD_BYTES = 1 << 16
MAX_PIPELINED_REQUESTS = 128
MESSAGE_TIMEOUT_S = 30.0
# Bytes that are received at once, into a buffer that all connections share, and bytes
# that are parsed at once, so that few requests are in memory when either ends.
RECEIVED_BYTES = 32 * 1024
PARSED_BYTES = 16 * 1024
# Memory of a request besides its body: its objects, and what each byte of its head
# takes in them.
REQUEST_BYTES = 2048
MEMORY_PER_HEAD_BYTE = 3
# Seconds in which a request may arrive on a connection that a caller believes to last,
# and in which one that has begun to arrive must be complete, once the server stops.
ARRIVAL_S = 0.3
BEGUN_ARRIVAL_S = 2.0


class LimitedHttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """Protocol that closes connections on which requests do not end.

    A head, the trailers and the extensions of a chunk have at most ``MAX_HEAD_BYTES``,
    and the bytes of one read more. A head, and the rest of a body whose response has
    been sent, must arrive within ``MESSAGE_TIMEOUT_S``. At most
    ``MAX_PIPELINED_REQUESTS`` wait for the response before theirs.

    A server that stops answers the requests that were read or are on their way, and
    announces the end of each connection in its last response.

    :param args: as for the base class.
    :param guard: limits that the connections of a server share; ``None`` for none.
    :param kwargs: as for the base class.
    """

    buffer = memoryview(bytearray(RECEIVED_BYTES))
    unparsed_bytes = 0
    timeout_task: asyncio.TimerHandle | None = None
    stopped_at: float | None = None
    idle_since = 0.0
    arrival_since: float | None = None

    def __init__(
        self, *args: Any, guard: ConnectionGuard | None = None, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self.guard = guard
        self.holding = None if guard is None else guard.memory.open("connection")
        # Memory of the requests that were not answered, in bytes: their heads, and the
        # bodies of those that wait for the response before theirs.
        self.head_bytes: dict[RequestResponseCycle, int] = {}
        self.waiting_bytes: dict[RequestResponseCycle, int] = {}
        self.running: RequestResponseCycle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the connection.

        :param transport: its transport.
        """
        super().connection_made(transport)
        self.idle_since = self.loop.time()
        if self.guard is not None:
            self.guard.add(self, self.idle_since)
        if self.holding is not None:
            self.holding.allow_refusal(self.refuse_for_memory)

    def shutdown(self) -> None:
        """Close the connection once its requests are answered."""
        self.stopped_at = self.loop.time()
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            self.close_when_idle()
        elif not cycle.response_started and not self.is_request_begun:
            cycle.keep_alive = False

    @property
    def is_request_begun(self) -> bool:
        """Whether a part of the headers of a request was read."""
        return self.timeout_task is not None and (
            self.cycle is None or not self.cycle.more_body
        )

    def close_when_idle(self) -> None:
        """Close the connection, or look again when no request can be on its way."""
        if self.stopped_at is None or self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            return
        closes_at = self.idle_since + ARRIVAL_S
        if self.is_request_begun:
            closes_at = self.stopped_at + BEGUN_ARRIVAL_S
        if self.loop.time() >= closes_at:
            self.transport.close()
        else:
            self.loop.call_at(closes_at, self.close_when_idle)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to receive into.

        :param sizehint: ignored.
        """
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were received into the buffer.

        :param nbytes: their number.
        """
        self.data_received(bytes(self.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and close the connection if a limit is exceeded.

        :param data: the bytes.
        """
        for start in range(0, len(data), PARSED_BYTES):
            if self.transport.is_closing():
                return
            part = data[start : start + PARSED_BYTES]
            self.unparsed_bytes += len(part)
            super().data_received(part)
            self.count_memory()
            if self.unparsed_bytes > MAX_HEAD_BYTES:
                self.close_incomplete("too many bytes")
            elif len(self.pipeline) > MAX_PIPELINED_REQUESTS:
                self.close_incomplete("too many requests")

    def count_memory(self) -> None:
        """Count what the connection holds and the application has not taken yet."""
        if self.holding is None:
            return
        size = MEMORY_PER_HEAD_BYTE * self.unparsed_bytes
        if self.running is not None:
            size += len(self.running.body)
        size += sum(self.head_bytes.values()) + sum(self.waiting_bytes.values())
        self.holding.resize(size)

    def refuse_for_memory(self) -> None:
        """Close the connection because the process has no memory for its requests."""
        if self.transport.is_closing():
            return
        if self.running is None:
            self.transport.write(
                b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
                b"connection: close\r\ncontent-length: 0\r\n\r\n"
            )
            self.transport.close()
        else:
            self.abort()

    def abort(self) -> None:
        """Reset the connection."""
        self.transport.abort()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered, and no answer unread."""
        return (
            self.running is None
            and self.arrival_since is None
            and not self.flow.write_paused
        )

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self.running = cycle
        self.waiting_bytes.pop(cycle, None)
        super()._start_asgi_task(cycle, app)

    def pause_writing(self) -> None:
        """Let the application wait, and keep what is unread within its limit."""
        super().pause_writing()
        if self.guard is not None:
            # The transport may be in the midst of the write that ended in this.
            self.loop.call_soon(self.guard.limit_unsent)

    def on_message_begin(self) -> None:
        """Start the timeout of a head."""
        self.start_timeout()
        self.arrival_since = self.loop.time()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """End the timeout of a head and start the request."""
        self.unparsed_bytes = 0
        self.cancel_timeout()
        super().on_headers_complete()
        if self.stopped_at is not None and self.cycle is not None:
            self.cycle.keep_alive = False
        size = len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        self.head_bytes[self.cycle] = REQUEST_BYTES + MEMORY_PER_HEAD_BYTE * size

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body.

        :param body: the part.
        """
        self.unparsed_bytes = 0
        super().on_body(body)
        if self.cycle is not self.running and self.cycle in self.head_bytes:
            self.waiting_bytes[self.cycle] = len(self.cycle.body)

    def on_message_complete(self) -> None:
        """End the timeout of a body."""
        self.unparsed_bytes = 0
        self.arrival_since = None
        self.cancel_timeout()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the timeout of a body that is not complete, and the next request."""
        if self.running is not None:
            self.head_bytes.pop(self.running, None)
            self.running = None
        super().on_response_complete()
        self.count_memory()
        self.idle_since = self.loop.time()
        if self.cycle.response_complete and self.cycle.more_body:
            self.start_timeout()
        self.close_when_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the timeout and the request.

        :param exc: reason of the loss, if there is one.
        """
        self.cancel_timeout()
        if self.guard is not None:
            self.guard.connections.discard(self)
        if self.holding is not None:
            self.holding.close()
        for cycle, _ in self.pipeline:
            # Waiting requests refer to the connection, which refers to the last one.
            cycle.on_response = _do_nothing
        self.pipeline.clear()
        self.head_bytes.clear()
        self.waiting_bytes.clear()
        super().connection_lost(exc)
        if self.running is not None:
            # The base class tells the last request only, which may wait behind this.
            self.running.disconnected = True
            self.running.message_event.set()

    def start_timeout(self) -> None:
        """Close the connection after ``MESSAGE_TIMEOUT_S``, unless cancelled."""
        self.cancel_timeout()
        self.timeout_task = self.loop.call_later(
            MESSAGE_TIMEOUT_S, self.close_incomplete, "timeout"
        )

    def cancel_timeout(self) -> None:
        """Cancel the timeout."""
        if self.timeout_task is not None:
            self.timeout_task.cancel()
            self.timeout_task = None

    def close_incomplete(self, reason: str) -> None:
        """Close the connection because a limit was exceeded.

        A response says so if no request is in progress.

        :param reason: the limit that was exceeded.
        """
        if self.transport.is_closing():
            return
        logging.warning(
            "[http] Connection closed, its requests do not end. client=%s reason=%s",
            self.client,
            reason,
        )
        cycle = self.cycle
        if cycle is None or (cycle.response_complete and not cycle.more_body):
            self.send_400_response("The request did not end.")
        else:
            self.transport.close()


def _do_nothing() -> None:
    pass
