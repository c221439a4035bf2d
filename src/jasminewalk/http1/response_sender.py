"""Sending side of a caller's connection."""

import asyncio
from abc import abstractmethod
from collections.abc import Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING

from jasminewalk.platform.headers import Header

if TYPE_CHECKING:
    from jasminewalk.http1.server import CallerServer

__all__ = ["ResponseSender"]

# Seconds without progress after which a response that its caller doesn't read is
# aborted.
SEND_TIMEOUT_S = 15.0
# Bytes of a body that are handed to the transport at once. The transport copies what it
# can't send, so the rest of the body stays as it is until the caller reads.
PIECE_BYTES = 64 * 1024
STATUSES_WITHOUT_BODY = (204, 304)


class ResponseSender(asyncio.BufferedProtocol):
    """Sends responses to a caller, no faster than it reads them.

    :param server: server that accepted the connection.
    """

    def __init__(self, server: "CallerServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.closed = False
        self.closing = False
        self.end_announced = False
        self.writable: asyncio.Future[None] | None = None
        self.response_started = False
        self.response_ended = False
        self.answers_head = False
        self.unsent_bytes = 0
        self.unsent_since = 0.0
        self.unsent_body = memoryview(b"")
        self.unsent_body_bytes = 0

    @property
    @abstractmethod
    def _has_further_requests(self) -> bool:
        """Whether a request was received, or began to be, behind the current one."""

    @abstractmethod
    def _handle_all_sent(self) -> None:
        """Go on once the transport takes more and no part of a body is left."""

    def pause_writing(self) -> None:
        """Let ``drain`` wait, because the caller reads more slowly than is written."""
        self.writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Send more of the body; then let ``drain`` return and go on."""
        if self.writable is not None:
            self.writable.set_result(None)
            self.writable = None
        self._send_pieces()
        if self.writable is None and not self.unsent_body:
            self._handle_all_sent()

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
        head += b"\r\n"
        self.response_started = True
        self.response_ended = True
        if self.answers_head or self.closed:
            self._write(head)
        elif len(body) <= PIECE_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self.unsent_body = memoryview(body)
            self.unsent_body_bytes = len(body)
            self.server.unsent_body_bytes += len(body)
            self._send_pieces()
            self.server.limit_unsent_bytes()

    def _send_pieces(self) -> None:
        """Hand pieces of the body to the transport until it has enough."""
        while self.unsent_body and self.writable is None and not self.closed:
            piece = self.unsent_body[:PIECE_BYTES]
            self.unsent_body = self.unsent_body[PIECE_BYTES:]
            self._write(piece)
        if not self.unsent_body:
            self._drop_body()

    def _drop_body(self) -> None:
        self.unsent_body = memoryview(b"")
        self.server.unsent_body_bytes -= self.unsent_body_bytes
        self.unsent_body_bytes = 0

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

    def close(self) -> None:
        """Close the connection once all written data is sent."""
        self.closing = True
        if self.transport is not None and not self.unsent_body:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the response does not look complete."""
        self.closing = True
        self._drop_body()
        if self.transport is not None:
            self.transport.abort()

    def count_unsent_bytes(self) -> int:
        """Return the bytes that are held because the caller has not read them."""
        size = 0 if self.transport is None else self.transport.get_write_buffer_size()
        return size + self.unsent_body_bytes

    def check_progress(self, now: float) -> None:
        """Abort the connection if its caller has read nothing for too long.

        :param now: current monotonic time in seconds.
        """
        size = 0 if self.transport is None else self.transport.get_write_buffer_size()
        size += len(self.unsent_body)
        if not size or size != self.unsent_bytes:
            self.unsent_bytes, self.unsent_since = size, now
        elif now - self.unsent_since > SEND_TIMEOUT_S:
            self.abort_unread()

    def abort_unread(self) -> None:
        """Abort the connection because its caller doesn't read its response."""
        self.server.on_unread(self.count_unsent_bytes())
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

    def _write(self, data: bytes | memoryview) -> None:
        if self.transport is not None and not self.closed:
            self.transport.write(data)
