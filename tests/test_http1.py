"""Test the HTTP/1.1 client and server on loopback."""

import asyncio
import socket
import struct
import time

import pytest

from jasminewalk.http1 import (
    CallerServer,
    ConnectionPool,
    Exchange,
    ExchangeBrokenError,
    connect,
    encode_request,
    pool as pool_module,
)
from jasminewalk.http1.server import CallerLimits
from jasminewalk.platform.headers import decode_request_head

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nx-jasminewalk-request-id: a\r\n"
OTHER_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nx-jasminewalk-request-id: b\r\n"
LATE_RESPONSE = OTHER_RESPONSE_HEAD + b"content-length: 4\r\n\r\nlate"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
OWN_ID = b"x-jasminewalk-request-id: a\r\n"
OTHER_ID = b"x-jasminewalk-request-id: b\r\n"
TWO_LENGTHS = b"content-length: 2\r\ncontent-length: 3\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
GZIP_CHUNKED = b"transfer-encoding: gzip, chunked\r\n"
GZIP = b"transfer-encoding: gzip\r\n"
CHUNKS = b"2\r\nme\r\n0\r\n\r\n"


def get_time():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def peer(free_address):
    """Yield a function that sends a request and serves raw bytes as its response."""
    servers = []

    async def exchange(
        response, *, reset=False, timeout_s=1.0, request_id="a", **options
    ):
        async def handle(reader, writer):
            await reader.read(100)
            writer.write(response)
            await writer.drain()
            if reset:
                await asyncio.sleep(0.02)
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            else:
                writer.close()

        host, _, port = free_address.rpartition(":")
        servers.append(await asyncio.start_server(handle, host, int(port)))
        connection = await connect(free_address, timeout_s, get_time)
        sent_exchange = Exchange(request_id, **options)
        connection.send(encode_request(b"GET", b"/", (), b""), sent_exchange)
        async with asyncio.timeout(timeout_s):
            head = await sent_exchange.head()
            return head.status, await sent_exchange.body(), connection

    yield exchange
    for server in servers:
        server.close()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("response", "body"),
    [
        (RESPONSE_HEAD + b"content-length: 5\r\n\r\nwhole", b"whole"),
        (
            RESPONSE_HEAD
            + b"transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
            b"whole",
        ),
        (RESPONSE_HEAD + b"\r\nuntil the end", b"until the end"),
        (RESPONSE_HEAD + b"content-length: 0\r\n\r\n", b""),
        (LATE_RESPONSE + RESPONSE_HEAD + b"content-length: 2\r\n\r\nme", b"me"),
        (CONTINUE_RESPONSE + RESPONSE_HEAD + b"content-length: 2\r\n\r\nme", b"me"),
    ],
)
async def test_complete_responses_are_received(peer, response, body):
    status, received_body, _ = await peer(response)
    assert (status, received_body) == (200, body)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("response", "reset"),
    [
        (RESPONSE_HEAD + b"content-length: 9\r\n\r\nhalf", False),
        (RESPONSE_HEAD + b"transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n", False),
        (RESPONSE_HEAD + b"\r\nuntil a reset", True),
        (b"this is no answer", False),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nanon", False),
        (RESPONSE_HEAD + OTHER_ID + b"content-length: 2\r\n\r\nme", False),
        (OTHER_RESPONSE_HEAD + OWN_ID + b"content-length: 2\r\n\r\nme", False),
        (RESPONSE_HEAD + CHUNKED + b"content-length: 2\r\n\r\n" + CHUNKS, False),
        (RESPONSE_HEAD + TWO_LENGTHS + b"\r\nme", False),
        (RESPONSE_HEAD + GZIP_CHUNKED + b"\r\n" + CHUNKS, False),
        (RESPONSE_HEAD + GZIP + CHUNKED + b"\r\n" + CHUNKS, False),
        (RESPONSE_HEAD + GZIP + b"\r\nuntil the end", False),
        (b"HTTP/1.1 101 Switching\r\nupgrade: x\r\n\r\nme", False),
        (OTHER_RESPONSE_HEAD + b"content-length: 4\r\n\r\nlate", False),
        (b"", False),
    ],
)
async def test_incomplete_or_foreign_responses_raise_exchange_broken(
    peer, response, reset
):
    with pytest.raises(ExchangeBrokenError):
        await peer(response, reset=reset)


@pytest.mark.anyio
async def test_connection_with_second_response_is_not_reusable(peer):
    response = RESPONSE_HEAD + b"content-length: 2\r\n\r\nme"
    _, _, connection = await peer(response + response)
    assert not connection.reusable


@pytest.fixture
async def reused_connection(free_address):
    """Return a function that completes an exchange, then starts one on the connection.

    The peer sends the given bytes after the second request.
    """
    servers = []

    async def start_exchange(response, request_id="a"):
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OTHER_RESPONSE_HEAD + b"content-length: 4\r\n\r\nlate")
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)

        host, _, port = free_address.rpartition(":")
        servers.append(await asyncio.start_server(handle, host, int(port)))
        connection = await connect(free_address, 1.0, get_time)
        request = encode_request(b"GET", b"/", (), b"")
        first_exchange = Exchange("b")
        connection.send(request, first_exchange)
        assert await first_exchange.body() == b"late"
        connection.release()
        exchange = Exchange(request_id)
        connection.send(request, exchange)
        return exchange, connection

    yield start_exchange
    for server in servers:
        server.close()


@pytest.mark.anyio
@pytest.mark.parametrize("status", [b"503 Unavailable", b"500 Failed", b"200 OK"])
async def test_response_without_an_id_proves_nothing_on_a_reused_connection(
    reused_connection, status
):
    head = b"HTTP/1.1 " + status + b"\r\nx-jasminewalk-not-executed: 1\r\n"
    exchange, connection = await reused_connection(head + b"content-length: 0\r\n\r\n")
    async with asyncio.timeout(1.0):
        with pytest.raises(ExchangeBrokenError, match="names no request"):
            await exchange.head()
    assert connection.closed


@pytest.mark.anyio
async def test_response_without_an_id_after_one_to_another_request_proves_nothing(
    peer,
):
    failure = b"HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n"
    with pytest.raises(ExchangeBrokenError, match="names no request"):
        await peer(LATE_RESPONSE + failure)


@pytest.mark.anyio
async def test_first_failure_on_a_new_connection_may_have_no_id(peer):
    failure = b"HTTP/1.1 503 Unavailable\r\ncontent-length: 4\r\n\r\nfull"
    status, body, connection = await peer(failure)
    assert (status, body) == (503, b"full")
    assert not connection.reusable


@pytest.mark.anyio
async def test_response_to_a_request_is_not_taken_for_that_to_a_call(peer):
    response = RESPONSE_HEAD + b"content-length: 2\r\n\r\nme"
    with pytest.raises(ExchangeBrokenError, match="names a request"):
        await peer(response, request_id="")


@pytest.mark.anyio
async def test_connection_with_response_to_another_request_is_not_reusable(peer):
    response = RESPONSE_HEAD + b"content-length: 2\r\n\r\nme"
    _, _, connection = await peer(LATE_RESPONSE + response)
    assert not connection.reusable


@pytest.mark.anyio
@pytest.mark.parametrize("extra", [b"H", b"HTTP/1.1 200 OK\r\nx-jasmine", b"junk"])
async def test_connection_on_which_another_message_began_is_not_reusable(peer, extra):
    response = RESPONSE_HEAD + b"content-length: 2\r\n\r\nme"
    status, body, connection = await peer(response + extra)
    assert (status, body) == (200, b"me")
    assert not connection.reusable


@pytest.mark.anyio
async def test_message_that_begins_before_the_release_makes_connection_not_reusable(
    free_address,
):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_HEAD + b"content-length: 2\r\n\r\nme")
        await asyncio.sleep(0.05)
        writer.write(b"HTTP/1.1")

    host, _, port = free_address.rpartition(":")
    async with await asyncio.start_server(handle, host, int(port)):
        pool = ConnectionPool(free_address, get_time)
        connection = await connect(free_address, 1.0, get_time)
        exchange = Exchange("a")
        connection.send(encode_request(b"GET", b"/", (), b""), exchange)
        assert await exchange.body() == b"me"
        await asyncio.sleep(0.1)
        pool.release(connection)
        assert connection.closed
        assert pool.take_idle(1.0, "b") is None


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("response", "reusable"),
    [
        (RESPONSE_HEAD + b"content-length: 0\r\n\r\n", True),
        (RESPONSE_HEAD.replace(b"200", b"204") + b"\r\n", True),
        (RESPONSE_HEAD.replace(b"1.1", b"1.0") + b"content-length: 0\r\n\r\n", False),
        (RESPONSE_HEAD + b"connection: close\r\ncontent-length: 0\r\n\r\n", False),
        (RESPONSE_HEAD + b"connection: close\r\nconnection: x\r\n"
         b"content-length: 0\r\n\r\n", False),
    ],
)  # fmt: skip
async def test_connection_that_the_peer_closes_is_not_reusable(
    peer, response, reusable
):
    _, _, connection = await peer(response)
    assert connection.reusable == reusable


@pytest.mark.anyio
async def test_response_above_the_size_limit_never_looks_complete(peer):
    chunks = b"2\r\nme\r\n2\r\nme\r\n0\r\n\r\n"
    with pytest.raises(ExchangeBrokenError, match="too large"):
        await peer(RESPONSE_HEAD + CHUNKED + b"\r\n" + chunks, max_body_bytes=3)


@pytest.mark.anyio
async def test_trailers_are_not_headers_of_the_response(free_address):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSE_HEAD + b"transfer-encoding: chunked\r\n\r\n2\r\nme\r\n")
        writer.write(b"0\r\nx-jasminewalk-response-signature: forged\r\n\r\n")

    host, _, port = free_address.rpartition(":")
    async with await asyncio.start_server(handle, host, int(port)):
        connection = await connect(free_address, 1.0, get_time)
        exchange = Exchange("a")
        connection.send(encode_request(b"GET", b"/", (), b""), exchange)
        assert await exchange.body() == b"me"
        assert [name for name, _ in (await exchange.head()).headers] == [
            b"x-jasminewalk-request-id",
            b"transfer-encoding",
        ]
        assert connection.reusable
        connection.abort()


@pytest.mark.anyio
async def test_refused_connection_raises_exchange_broken(free_address):
    with pytest.raises(ExchangeBrokenError, match="connect failed"):
        await connect(free_address, 1.0, get_time)


@pytest.fixture
async def server(free_address):
    server = CallerServer(
        None, get_time, lambda request, error: None, lambda status: None
    )
    server.handled = []
    server.cancelled = []

    async def handler(connection, request):
        server.handled.append(request)
        if request.path == "/slow":
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                server.cancelled.append(request)
                raise
        if request.path == "/fails":
            raise ValueError("handler")
        if request.path == "/stream":
            connection.start_stream(200, ())
            await asyncio.sleep(0.1)
            connection.send_chunk(b"part")
            connection.end_stream()
            return
        if request.path == "/cut":
            connection.start_stream(200, ())
            connection.send_chunk(b"part")
            return
        connection.send_response(200, (), request.method + request.body)

    server.handler = handler
    await server.listen(free_address)
    yield server
    server.stop_listening()


async def send_and_read(address, data, until=None, timeout_s=1.0):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(timeout_s):
            if until is None:
                return await reader.read()
            return await reader.readuntil(until)
    finally:
        writer.close()


@pytest.mark.anyio
async def test_pipelined_requests_are_answered_in_order(server, free_address):
    data = (
        b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1"
        b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\n2\r\n0\r\n\r\n"
        b"GET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    response = await send_and_read(free_address, data)
    bodies = [
        part.partition(b"\r\n\r\n")[2] for part in response.split(b"HTTP/1.1 ")[1:]
    ]
    assert bodies == [b"POST1", b"POST2", b"GET"]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            b"GET /smuggled HTTP/1.1\r\n\r\n",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\nHost: x\r\nBig: " + b"x" * 2000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n" + b"x" * 999,
         b"413"),
        (b"GET / HTTP/1.1\r\nHost: x\r\nSlow: ", b"408"),
    ],
)  # fmt: skip
async def test_invalid_requests_are_rejected_and_not_handled(
    server, free_address, data, status
):
    server.limits = CallerLimits(1000, 500, 0.2, 5.0)
    sweep_task = asyncio.create_task(server.sweep_forever())
    response = await send_and_read(free_address, data)
    sweep_task.cancel()
    assert response.split()[1] == status
    assert not server.handled


@pytest.mark.anyio
@pytest.mark.parametrize(
    "codings",
    [
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    ],
)
async def test_request_with_another_coding_than_chunked_is_rejected(
    server, free_address, codings
):
    data = b"POST / HTTP/1.1\r\nHost: x\r\n" + codings + b"\r\n" + CHUNKS
    response = await send_and_read(free_address, data)
    assert response.split()[1] == b"501"
    assert not server.handled


@pytest.mark.anyio
@pytest.mark.parametrize("path", [b"/a", b"/stream"])
async def test_response_to_head_has_no_body(server, free_address, path):
    data = b"HEAD " + path + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    response = await send_and_read(free_address, data)
    assert response.startswith(b"HTTP/1.1 200 OK\r\n")
    assert response.endswith(b"\r\n\r\n")
    assert response.count(b"\r\n\r\n") == 1


@pytest.mark.anyio
async def test_exchange_for_head_takes_no_bytes_for_a_body(server, free_address):
    connection = await connect(free_address, 1.0, get_time)
    exchange = Exchange(has_body=False)
    connection.send(encode_request(b"HEAD", b"/a", (), b""), exchange)
    async with asyncio.timeout(1.0):
        assert (await exchange.head()).status == 200
        assert await exchange.body() == b""
    assert not connection.reusable
    connection.abort()


@pytest.mark.anyio
async def test_interim_response_never_lies_within_another_response(
    server, free_address
):
    data = (
        b"POST /stream HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        b"POST /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Expect: 100-continue\r\nContent-Length: 1\r\n\r\n"
    )
    host, _, port = free_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(1.0):
        stream = await reader.readuntil(b"0\r\n\r\n")
        assert b"100 Continue" not in stream
        assert await reader.readuntil(b"\r\n\r\n") == CONTINUE_RESPONSE
        writer.write(b"1")
        assert (await reader.read()).endswith(b"POST1")
    writer.close()


@pytest.mark.anyio
async def test_body_that_looks_like_a_request_is_not_parsed_as_request(
    server, free_address
):
    body = b"GET /smuggled HTTP/1.1\r\n\r\n"
    data = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    data += b"Content-Length: %d\r\n\r\n" % len(body) + body
    await send_and_read(free_address, data)
    assert [request.path for request in server.handled] == ["/a"]


@pytest.mark.anyio
async def test_trailers_are_not_headers_of_the_request(server, free_address):
    data = b"POST /a HTTP/1.1\r\nHost: x\r\nX-Jasminewalk-Request-Id: a\r\n"
    data += b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"1\r\n2\r\n0\r\nX-Jasminewalk-Request-Id: b\r\n\r\n"
    await send_and_read(free_address, data)
    (request,) = server.handled
    assert decode_request_head(request.headers).request_id == "a"
    assert request.body == b"2"


@pytest.mark.anyio
async def test_handler_is_cancelled_when_caller_disconnects(server, free_address):
    with pytest.raises(TimeoutError):
        await send_and_read(free_address, b"GET /slow HTTP/1.1\r\n\r\n", timeout_s=0.1)
    await asyncio.sleep(0.05)
    assert len(server.cancelled) == 1


@pytest.mark.anyio
async def test_failed_handler_sends_502(server, free_address):
    response = await send_and_read(
        free_address, b"GET /fails HTTP/1.1\r\n\r\n", b"\r\n\r\n"
    )
    assert response.split()[1] == b"502"


@pytest.mark.anyio
async def test_unfinished_stream_does_not_look_complete(server, free_address):
    with pytest.raises(ConnectionResetError):
        response = await send_and_read(free_address, b"GET /cut HTTP/1.1\r\n\r\n")
        assert b"0\r\n\r\n" not in response
        raise ConnectionResetError  # the connection may also close without a reset


@pytest.mark.anyio
async def test_idle_connections_are_closed_after_announced_timeout(
    server, free_address
):
    server.limits = CallerLimits(idle_timeout_s=1.2)
    sweep_task = asyncio.create_task(server.sweep_forever())
    response = await send_and_read(
        free_address, b"GET / HTTP/1.1\r\n\r\n", timeout_s=3.0
    )
    sweep_task.cancel()
    assert b"keep-alive: timeout=1\r\n" in response


@pytest.mark.anyio
async def test_draining_server_sends_connection_close(server, free_address):
    server.draining = True
    response = await send_and_read(free_address, b"GET / HTTP/1.1\r\n\r\n")
    assert b"connection: close\r\n" in response


@pytest.mark.anyio
async def test_pool_closes_connections_idle_for_too_long(server, free_address, clock):
    pool = ConnectionPool(free_address, clock.monotonic)
    connection = await connect(free_address, 1.0, clock.monotonic)
    pool.release(connection)
    assert pool.take_idle(1.0, "b") is connection
    pool.release(connection)
    clock.advance(1.5)
    assert pool.take_idle(1.0, "b") is None
    assert connection.closed


@pytest.mark.anyio
async def test_pool_closes_connections_after_their_last_exchange(
    server, free_address, clock, monkeypatch
):
    monkeypatch.setattr(pool_module, "MAX_EXCHANGES", 2)
    pool = ConnectionPool(free_address, clock.monotonic)
    connection = await connect(free_address, 1.0, clock.monotonic)
    pool.release(connection)
    assert pool.take_idle(1.0, "b") is connection
    pool.release(connection)
    assert connection.closed
    assert pool.take_idle(1.0, "b") is None


@pytest.mark.anyio
@pytest.mark.parametrize("listens", [True, False])
async def test_connecting_outlasts_a_stall_of_the_event_loop(free_address, listens):
    host, _, port = free_address.rpartition(":")
    with (
        socket.create_server((host, int(port)), backlog=64 if listens else 0),
        # Where one may wait to be accepted, the next gets no response.
        socket.create_connection((host, int(port))),
    ):
        started_s = get_time()
        connecting = asyncio.create_task(connect(free_address, 0.2, get_time))
        await asyncio.sleep(0)
        time.sleep(0.4)
        if listens:
            (await connecting).abort()
        else:
            with pytest.raises(ExchangeBrokenError, match="connect timeout"):
                await connecting
            assert get_time() - started_s < 0.8
