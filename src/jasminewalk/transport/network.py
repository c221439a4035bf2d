"""Network backend for HTTP clients that adds little to the cost of a read."""

import select
from collections.abc import Iterable

import anyio
import httpcore
from anyio.abc import ByteStream, SocketAttribute

from jasminewalk.clock import Clock

__all__ = ["NetworkBackend", "ReadTimeoutMonitor"]

TIMEOUT_CHECK_INTERVAL_S = 0.1
WRITE_BUFFER_BYTES = 1 << 16


class ReadTimeoutMonitor:
    """Closes connections on which a read has lasted longer than its timeout.

    One task looks at all reads now and then, so that a read needs no timer of its
    own.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.deadlines_by_connection_s: dict[Connection, float] = {}

    def start_read(self, connection: "Connection", timeout_s: float) -> None:
        """Note the start of a read.

        :param connection: the connection.
        :param timeout_s: longest duration of the read in seconds.
        """
        self.deadlines_by_connection_s[connection] = self.clock.monotonic() + timeout_s

    def end_read(self, connection: "Connection") -> None:
        """Note the end of a read.

        :param connection: the connection.
        """
        self.deadlines_by_connection_s.pop(connection, None)

    def find_expired(self, now_s: float) -> list["Connection"]:
        """Return the connections whose read has lasted too long.

        :param now_s: current instant.
        """
        return [
            connection
            for connection, deadline_s in self.deadlines_by_connection_s.items()
            if deadline_s <= now_s
        ]

    async def run(self) -> None:
        """Close connections whose read has lasted too long, until cancelled."""
        while True:
            for connection in self.find_expired(self.clock.monotonic()):
                self.end_read(connection)
                await connection.close_expired()
            await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)


class Connection(httpcore.AsyncNetworkStream):
    """One connection.

    What is written is held back until it fills a buffer or an answer is read, so
    that a request leaves in one piece.

    :param stream: the socket.
    :param monitor: enforces timeouts of reads; without one, each read has a timer.
    """

    def __init__(self, stream: ByteStream, monitor: ReadTimeoutMonitor | None) -> None:
        self.stream = stream
        self.monitor = monitor
        self.has_expired = False
        self.write_buffer: list[bytes] = []
        self.buffered_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes; none at the end.

        :param max_bytes: most bytes to return.
        :param timeout: longest wait in seconds.
        :raises httpcore.ReadTimeout: if nothing came in time.
        :raises httpcore.ReadError: if the connection failed.
        """
        try:
            if timeout is None:
                return await self.receive(max_bytes)
            if self.monitor is None:
                with anyio.fail_after(timeout):
                    return await self.receive(max_bytes)
            self.monitor.start_read(self, timeout)
            try:
                return await self.receive(max_bytes)
            finally:
                self.monitor.end_read(self)
        except anyio.EndOfStream:
            return self.handle_end_of_stream()
        except TimeoutError as error:
            raise httpcore.ReadTimeout(error) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            if self.has_expired:
                raise httpcore.ReadTimeout(error) from error
            raise httpcore.ReadError(error) from error

    async def receive(self, max_bytes: int) -> bytes:
        """Send what was held back, then return received bytes.

        :param max_bytes: most bytes to return.
        """
        if self.write_buffer:
            await self.stream.send(self.take_write_buffer())
        return await self.stream.receive(max_bytes)

    def take_write_buffer(self) -> bytes:
        """Return what was held back and forget it."""
        data = b"".join(self.write_buffer)
        self.write_buffer.clear()
        self.buffered_bytes = 0
        return data

    def handle_end_of_stream(self) -> bytes:
        """Return the end of the stream.

        :raises httpcore.ReadTimeout: if it ended because a read timed out.
        """
        if self.has_expired:
            raise httpcore.ReadTimeout
        return b""

    async def close_expired(self) -> None:
        """Close the connection, since a read has lasted too long."""
        self.has_expired = True
        await self.stream.aclose()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes.

        :param buffer: the bytes.
        :param timeout: longest wait in seconds.
        :raises httpcore.WriteTimeout: if they could not be sent in time.
        :raises httpcore.WriteError: if the connection failed.
        """
        if not buffer:
            return
        self.write_buffer.append(buffer)
        self.buffered_bytes += len(buffer)
        if self.buffered_bytes >= WRITE_BUFFER_BYTES:
            await self.flush(timeout)

    async def flush(self, timeout: float | None) -> None:
        """Send what was held back.

        :param timeout: longest wait in seconds.
        :raises httpcore.WriteTimeout: if it could not be sent in time.
        :raises httpcore.WriteError: if the connection failed.
        """
        try:
            with anyio.fail_after(timeout):
                await self.stream.send(self.take_write_buffer())
        except TimeoutError as error:
            raise httpcore.WriteTimeout(error) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(error) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> object:
        """Return a fact about the connection, or nothing if it is not known.

        :param info: name of the fact.
        """
        if info != "is_readable":
            return None
        raw_socket = self.stream.extra(SocketAttribute.raw_socket, None)
        return raw_socket is None or is_readable(raw_socket.fileno())


def is_readable(descriptor: int) -> bool:
    """Return whether a read would not block, so that an idle peer has left.

    :param descriptor: file descriptor of the socket.
    """
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens connections whose reads cost little.

    :param monitor: enforces timeouts of reads; without one, each read has a timer.
    """

    def __init__(self, monitor: ReadTimeoutMonitor | None = None) -> None:
        self.monitor = monitor

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection.

        :param host: IP number of the peer.
        :param port: port of the peer.
        :param timeout: longest wait in seconds.
        :param local_address: IP number to connect from.
        :param socket_options: not used.
        :raises httpcore.ConnectTimeout: if the peer did not answer in time.
        :raises httpcore.ConnectError: if the connection failed.
        """
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port, local_host=local_address)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(error) from error
        except OSError as error:
            raise httpcore.ConnectError(error) from error
        return Connection(stream, self.monitor)

    async def sleep(self, seconds: float) -> None:
        """Wait.

        :param seconds: how long.
        """
        await anyio.sleep(seconds)
