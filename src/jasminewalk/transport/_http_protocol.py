"""HTTP/1.1 protocol of the server, with limits that uvicorn does not have."""

import asyncio

from absl import logging
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["LimitedHttpProtocol"]

MAX_HEAD_BYTES = 1 << 16
MAX_PIPELINED_REQUESTS = 128
MESSAGE_TIMEOUT_S = 30.0
# Seconds in which a request may arrive on a connection that a caller believes to last,
# and in which one that has begun to arrive must be complete, once the server stops.
ARRIVAL_S = 0.3
BEGUN_ARRIVAL_S = 2.0


class LimitedHttpProtocol(HttpToolsProtocol):
    """Protocol that closes connections on which requests do not end.

    A head, the trailers and the extensions of a chunk have at most ``MAX_HEAD_BYTES``,
    and the bytes of one read more. A head, and the rest of a body whose response has
    been sent, must arrive within ``MESSAGE_TIMEOUT_S``. At most
    ``MAX_PIPELINED_REQUESTS`` wait for the response before theirs.

    A server that stops answers the requests that were read or are on their way, and
    announces the end of each connection in its last response.
    """

    unparsed_bytes = 0
    timeout_task: asyncio.TimerHandle | None = None
    stopped_at: float | None = None
    idle_since = 0.0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start the connection.

        :param transport: its transport.
        """
        super().connection_made(transport)
        self.idle_since = self.loop.time()

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

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and close the connection if a limit is exceeded.

        :param data: the bytes.
        """
        self.unparsed_bytes += len(data)
        super().data_received(data)
        if self.unparsed_bytes > MAX_HEAD_BYTES:
            self.close_incomplete("too many bytes")
        elif len(self.pipeline) > MAX_PIPELINED_REQUESTS:
            self.close_incomplete("too many requests")

    def on_message_begin(self) -> None:
        """Start the timeout of a head."""
        self.start_timeout()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """End the timeout of a head and start the request."""
        self.unparsed_bytes = 0
        self.cancel_timeout()
        super().on_headers_complete()
        if self.stopped_at is not None and self.cycle is not None:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Pass on a part of a body.

        :param body: the part.
        """
        self.unparsed_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the timeout of a body."""
        self.unparsed_bytes = 0
        self.cancel_timeout()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the timeout of a body that is not complete, and the next request."""
        super().on_response_complete()
        self.idle_since = self.loop.time()
        if self.cycle.response_complete and self.cycle.more_body:
            self.start_timeout()
        self.close_when_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the timeout and the request.

        :param exc: reason of the loss, if there is one.
        """
        self.cancel_timeout()
        super().connection_lost(exc)

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
