"""Network backend for HTTP clients with a low overhead for each read."""

import select
from collections.abc import Iterable

import anyio
import httpcore
from anyio.abc import ByteStream, SocketAttribute

from jasminewalk.clock import Clock

__all__ = ["NetworkBackend", "ReadTimeoutMonitor"]

TIMEOUT_CHECK_INTERVAL_S = 0.1
WRITE_BUFFER_BYTES = 1 << 16
# All of a read is parsed before other tasks run, so a read must not be large.
MAX_READ_BYTES = 1 << 13


class ReadTimeoutMonitor:
    """Closes connections on which a read has exceeded its timeout.

    One task checks all pending reads periodically, so that reads need no timers of
    their own. A read may therefore exceed its timeout by the check interval.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.read_deadlines_s: dict[Connection, float] = {}

    def start_read(self, connection: "Connection", timeout_s: float) -> None:
        """Record the start of a read.

        :param connection: the connection.
        :param timeout_s: timeout of the read in seconds.
        """
        self.read_deadlines_s[connection] = self.clock.monotonic() + timeout_s

    def end_read(self, connection: "Connection") -> None:
        """Record the end of a read.

        :param connection: the connection.
        """
        self.read_deadlines_s.pop(connection, None)

    def find_expired(self, now_s: float) -> list["Connection"]:
        """Return the connections whose read has exceeded its timeout.

        :param now_s: current monotonic time in seconds.
        """
        return [
            connection
            for connection, deadline_s in self.read_deadlines_s.items()
            if deadline_s <= now_s
        ]

    async def run(self) -> None:
        """Until cancelled, close connections whose read has exceeded its timeout."""
        while True:
            for connection in self.find_expired(self.clock.monotonic()):
                self.end_read(connection)
                await connection.close_expired()
            await anyio.sleep(TIMEOUT_CHECK_INTERVAL_S)


class Connection(httpcore.AsyncNetworkStream):
    """TCP connection with a write buffer.

    Written data is buffered until the buffer is full or a response is read, so that a
    small request is sent with a single system call.

    :param stream: stream of the socket.
    :param monitor: enforces read timeouts; without it, each read sets a timer.
    """

    def __init__(self, stream: ByteStream, monitor: ReadTimeoutMonitor | None) -> None:
        self.stream = stream
        self.monitor = monitor
        self.read_timed_out = False
        self.write_buffer: list[bytes] = []
        self.buffered_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return received bytes, or no bytes at the end of the stream.

        :param max_bytes: maximum number of bytes to return.
        :param timeout: timeout in seconds.
        :raises httpcore.ReadTimeout: if no bytes were received in time.
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
            if self.read_timed_out:
                raise httpcore.ReadTimeout(error) from error
            raise httpcore.ReadError(error) from error

    async def receive(self, max_bytes: int) -> bytes:
        """Send the buffered bytes, then return received bytes.

        :param max_bytes: maximum number of bytes to return.
        """
        if self.write_buffer:
            await self.stream.send(self.take_write_buffer())
        return await self.stream.receive(min(max_bytes, MAX_READ_BYTES))

    def take_write_buffer(self) -> bytes:
        """Return the buffered bytes and clear the buffer."""
        data = b"".join(self.write_buffer)
        self.write_buffer.clear()
        self.buffered_bytes = 0
        return data

    def handle_end_of_stream(self) -> bytes:
        """Return no bytes, which marks the end of the stream.

        :raises httpcore.ReadTimeout: if the stream ended because a read timed out.
        """
        if self.read_timed_out:
            raise httpcore.ReadTimeout
        return b""

    async def close_expired(self) -> None:
        """Close the connection after a read has exceeded its timeout."""
        self.read_timed_out = True
        await self.stream.aclose()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Buffer bytes, and send the buffer when it is full.

        :param buffer: the bytes.
        :param timeout: timeout in seconds.
        :raises httpcore.WriteTimeout: if the bytes could not be sent in time.
        :raises httpcore.WriteError: if the connection failed.
        """
        if not buffer:
            return
        self.write_buffer.append(buffer)
        self.buffered_bytes += len(buffer)
        if self.buffered_bytes >= WRITE_BUFFER_BYTES:
            await self.flush(timeout)

    async def flush(self, timeout: float | None) -> None:
        """Send the buffered bytes.

        :param timeout: timeout in seconds.
        :raises httpcore.WriteTimeout: if the bytes could not be sent in time.
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
        """Return a property of the connection, or ``None`` if it is not supported.

        :param info: name of the property; only ``is_readable`` is supported.
        """
        if info != "is_readable":
            return None
        raw_socket = self.stream.extra(SocketAttribute.raw_socket, None)
        return raw_socket is None or is_readable(raw_socket.fileno())


def is_readable(descriptor: int) -> bool:
    """Return whether a read from a socket would not block.

    An idle connection becomes readable when the peer closes it.

    :param descriptor: file descriptor of the socket, negative if it is closed.
    """
    if descriptor < 0:
        return True
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


class NetworkBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections with buffered writes and monitored reads.

    :param monitor: enforces read timeouts; without it, each read sets a timer.
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
        """Open a TCP connection.

        :param host: IP address of the peer.
        :param port: port of the peer.
        :param timeout: timeout in seconds.
        :param local_address: IP address to connect from.
        :param socket_options: ignored.
        :raises httpcore.ConnectTimeout: if the connection was not made in time.
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
        """Sleep.

        :param seconds: duration in seconds.
        """
        await anyio.sleep(seconds)
