"""HTTP server, connection pool and helpers for ASGI applications."""

import socket
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    MutableMapping,
)
from contextlib import asynccontextmanager, contextmanager
from functools import partial
from typing import Any, cast

import anyio
import httpcore
import msgspec
import uvicorn

from jasminewalk.exceptions import BadRequestError, JasminewalkError, RefusedError
from jasminewalk.generated_codes import Code
from jasminewalk.transport._http_protocol import LimitedHttpProtocol
from jasminewalk.transport.connection_guard import ConnectionGuard
from jasminewalk.transport.memory_limit import Holding, MemoryLimit
from jasminewalk.transport.network import NetworkBackend

__all__ = [
    "ATTEMPT_HEADER",
    "AsgiApp",
    "HttpServer",
    "Receive",
    "Scope",
    "Send",
    "bind_socket",
    "give_up_over_limit",
    "hold",
    "open_http_pool",
    "read_body",
    "send_json",
    "split_address",
    "build_url",
]

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

ATTEMPT_HEADER = b"jasminewalk-attempt"
BACKLOG = 2048
TCP_USER_TIMEOUT_MS = 60_000
STARTUP_POLL_INTERVAL_S = 0.005
# Copies of the body of a request: as it was received, as it is passed on, and in the
# transport.
MEMORY_PER_BODY_BYTE = 3
MEMORY_RETRY_AFTER_S = 1.0
UNLIMITED_BYTES = 1 << 62


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)

    :param address: ``host:port``.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def build_url(address: str, path: str) -> str:
    """Build the URL of a path at an address.

    :param address: ``host:port``.
    :param path: path, with a leading slash.
    """
    return f"http://{address}{path}"


def bind_socket(address: str) -> socket.socket:
    """Create a listening, non-blocking TCP socket.

    The kernel closes an accepted connection when its peer does not read or acknowledge
    pending data for ``TCP_USER_TIMEOUT_MS``.

    :param address: ``host:port``; port 0 selects a free port.
    :raises OSError: if the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


class _Server(uvicorn.Server):
    """Uvicorn server that leaves signal handling to the daemon."""

    @contextmanager
    def capture_signals(self) -> Any:
        yield


class HttpServer:
    """HTTP server that runs in a task of the caller.

    The constructor binds the socket, so ``address`` holds the actual port before
    ``serve`` is called.

    :param app: ASGI application.
    :param address: ``host:port`` to listen on; port 0 selects a free port.
    :param guard: limits on what its connections hold; ``None`` for none.
    :raises OSError: if the address cannot be bound.
    """

    def __init__(
        self, app: AsgiApp, address: str, guard: ConnectionGuard | None = None
    ) -> None:
        self.socket = bind_socket(address)
        host, port = self.socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        config = uvicorn.Config(
            app,
            http=cast(Any, partial(LimitedHttpProtocol, guard=guard)),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=75,
        )
        self.server = _Server(config)

    async def serve(self) -> None:
        """Serve until ``stop`` is called and open requests have finished."""
        try:
            await self.server.serve(sockets=[self.socket])
        finally:
            self._close()

    def _close(self) -> None:
        """Close what a cancelled server has open.

        The event loop must not watch a descriptor that is closed: a later socket with
        the same number could then not be used.
        """
        if self.server.started:
            for server in self.server.servers:
                server.close()
            for connection in list(self.server.server_state.connections):
                connection.transport.close()
        self.socket.close()

    async def wait_started(self) -> None:
        """Wait until the server accepts requests."""
        while not self.server.started:
            await anyio.sleep(STARTUP_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop accepting connections and let ``serve`` return after open requests."""
        self.server.should_exit = True


@asynccontextmanager
async def open_http_pool(
    max_connections: int = 4096,
) -> AsyncIterator[httpcore.AsyncConnectionPool]:
    """Open a pool of HTTP connections and close it on exit.

    :param max_connections: maximum number of open connections.
    """
    pool = httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=max_connections,
        keepalive_expiry=30.0,
        network_backend=NetworkBackend(),
    )
    async with pool:
        yield pool


@contextmanager
def give_up_over_limit(holding: Holding) -> Iterator[None]:
    """Cancel the block if the memory that it holds is to be given up.

    :param holding: memory of the block.
    :raises RefusedError: if that happened.
    """
    with anyio.CancelScope() as scope:
        holding.allow_refusal(scope.cancel)
        try:
            yield
        finally:
            holding.forbid_refusal()
    hold(holding, 0)


def hold(holding: Holding, size: int) -> None:
    """Hold more memory, unless what is held was to be given up.

    A task whose data never stops to arrive is not cancelled, so it must look itself.

    :param holding: memory of a request.
    :param size: bytes to add.
    :raises RefusedError: if it was.
    """
    holding.add(size)
    if holding.refused:
        raise RefusedError(
            "The process has no memory for the request.",
            code=Code.OVERLOADED,
            retry_after_s=MEMORY_RETRY_AFTER_S,
        )


async def read_body(
    receive: Receive, max_bytes: int, holding: Holding | None = None
) -> bytes:
    """Read the whole body of a request.

    :param receive: ASGI receive function.
    :param max_bytes: maximum size of the body in bytes.
    :param holding: counts the memory that the body will take; ``None`` for no limit.
    :raises BadRequestError: if the body is larger.
    :raises RefusedError: if there is no memory for it.
    :raises JasminewalkError: if the caller disconnected.
    """
    holding = holding or MemoryLimit(UNLIMITED_BYTES).open("body")
    with give_up_over_limit(holding):
        return await _read_whole_body(receive, max_bytes, holding)
    raise AssertionError("unreachable")


async def _read_whole_body(receive: Receive, max_bytes: int, holding: Holding) -> bytes:
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise JasminewalkError(code=Code.CALLER_GONE)
        chunk = message.get("body", b"")
        body += chunk
        hold(holding, MEMORY_PER_BODY_BYTE * len(chunk))
        if len(body) > max_bytes:
            raise BadRequestError(
                f"The body has more than {max_bytes} bytes.", code=Code.BODY_TOO_LARGE
            )
        if not message.get("more_body", False):
            return bytes(body)


async def send_json(
    send: Send,
    status: int,
    value: Any,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a complete JSON response.

    :param send: ASGI send function.
    :param status: HTTP status.
    :param value: value to encode as JSON; may be an attrs object.
    :param headers: additional headers.
    """
    body = msgspec.json.encode(value)
    all_headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        *(headers or []),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": all_headers}
    )
    await send({"type": "http.response.body", "body": body})
