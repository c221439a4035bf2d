"""Connections of callers and to engines, on loopback."""

import asyncio
import socket
import struct

import pytest

from jasminewalk.http1 import (
    CallersServer,
    ConnectionPool,
    Exchange,
    ExchangeBrokenError,
    connect,
)
from jasminewalk.http1.client import encode_request
from jasminewalk.http1.server import CallerLimits

HEAD = b"HTTP/1.1 200 OK\r\nx-jasminewalk-request-id: a\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nx-jasminewalk-request-id: b\r\n"
LATE = OTHER + b"content-length: 4\r\n\r\nlate"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def now():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def peer(free_address):
    """Serve raw bytes for each request; yields a function to exchange them."""
    servers = []

    async def exchange(answer, *, reset=False, timeout_s=1.0):
        async def handle(reader, writer):
            await reader.read(100)
            writer.write(answer)
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
        connection = await connect(free_address, timeout_s, now)
        sent = Exchange("a")
        connection.send(encode_request(b"GET", b"/", (), b""), sent)
        async with asyncio.timeout(timeout_s):
            head = await sent.head()
            return head.status, await sent.body(), connection

    yield exchange
    for server in servers:
        server.close()


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("answer", "body"),
    [
        (HEAD + b"content-length: 5\r\n\r\nwhole", b"whole"),
        (HEAD + b"transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", b"whole"),
        (HEAD + b"\r\nuntil the end", b"until the end"),
        (HEAD + b"content-length: 0\r\n\r\n", b""),
        (LATE + HEAD + b"content-length: 2\r\n\r\nme", b"me"),
        (CONTINUE + HEAD + b"content-length: 2\r\n\r\nme", b"me"),
    ],
)
async def test_whole_answers_are_taken(peer, answer, body):
    status, found, _ = await peer(answer)
    assert (status, found) == (200, body)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("answer", "reset"),
    [
        (HEAD + b"content-length: 9\r\n\r\nhalf", False),
        (HEAD + b"transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n", False),
        (HEAD + b"\r\nuntil a reset", True),
        (b"this is no answer", False),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nanon", False),
        (OTHER + b"content-length: 4\r\n\r\nlate", False),
        (b"", False),
    ],
)
async def test_answers_that_are_not_whole_or_not_ours_are_broken(peer, answer, reset):
    with pytest.raises(ExchangeBrokenError):
        await peer(answer, reset=reset)


@pytest.mark.anyio
async def test_connection_with_a_second_answer_is_not_kept(peer):
    one = HEAD + b"content-length: 2\r\n\r\nme"
    _, _, connection = await peer(one + one)
    assert not connection.reusable


@pytest.mark.anyio
async def test_refused_connection_is_broken(free_address):
    with pytest.raises(ExchangeBrokenError, match="connect failed"):
        await connect(free_address, 1.0, now)


@pytest.fixture
async def server(free_address):
    made = CallersServer(None, now, lambda request, error: None, lambda status: None)
    made.handled = []
    made.cancelled = []

    async def handler(connection, request):
        made.handled.append(request)
        if request.path == "/slow":
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                made.cancelled.append(request)
                raise
        if request.path == "/fails":
            raise ValueError("handler")
        if request.path == "/cut":
            connection.start_stream(200, ())
            connection.send_chunk(b"part")
            return
        connection.answer(200, (), request.method + request.body)

    made.handler = handler
    await made.listen(free_address)
    yield made
    made.stop_listening()


async def talk(address, data, until=None, timeout_s=1.0):
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
    answer = await talk(free_address, data)
    bodies = [part.partition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1 ")[1:]]
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
async def test_unreadable_requests_are_refused_and_never_handled(
    server, free_address, data, status
):
    server.limits = CallerLimits(1000, 500, 0.2, 5.0)
    sweeping = asyncio.create_task(server.sweep_forever())
    answer = await talk(free_address, data)
    sweeping.cancel()
    assert answer.split()[1] == status
    assert not server.handled


@pytest.mark.anyio
async def test_body_that_looks_like_a_request_is_a_body(server, free_address):
    body = b"GET /smuggled HTTP/1.1\r\n\r\n"
    data = b"POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    data += b"Content-Length: %d\r\n\r\n" % len(body) + body
    await talk(free_address, data)
    assert [request.path for request in server.handled] == ["/a"]


@pytest.mark.anyio
async def test_handler_of_a_caller_that_left_is_cancelled(server, free_address):
    with pytest.raises(TimeoutError):
        await talk(free_address, b"GET /slow HTTP/1.1\r\n\r\n", timeout_s=0.1)
    await asyncio.sleep(0.05)
    assert len(server.cancelled) == 1


@pytest.mark.anyio
async def test_failed_handler_answers_502(server, free_address):
    answer = await talk(free_address, b"GET /fails HTTP/1.1\r\n\r\n", b"\r\n\r\n")
    assert answer.split()[1] == b"502"


@pytest.mark.anyio
async def test_stream_that_was_not_ended_does_not_look_complete(server, free_address):
    with pytest.raises(ConnectionResetError):
        answer = await talk(free_address, b"GET /cut HTTP/1.1\r\n\r\n")
        assert b"0\r\n\r\n" not in answer
        raise ConnectionResetError  # the reset overtook the bytes


@pytest.mark.anyio
async def test_idle_connections_are_closed_and_the_time_is_told(server, free_address):
    server.limits = CallerLimits(idle_timeout_s=1.2)
    sweeping = asyncio.create_task(server.sweep_forever())
    answer = await talk(free_address, b"GET / HTTP/1.1\r\n\r\n", timeout_s=3.0)
    sweeping.cancel()
    assert b"keep-alive: timeout=1\r\n" in answer


@pytest.mark.anyio
async def test_draining_server_announces_the_close(server, free_address):
    server.draining = True
    answer = await talk(free_address, b"GET / HTTP/1.1\r\n\r\n")
    assert b"connection: close\r\n" in answer


@pytest.mark.anyio
async def test_pool_returns_only_fresh_connections(server, free_address, clock):
    pool = ConnectionPool(free_address, clock.monotonic)
    connection = await connect(free_address, 1.0, clock.monotonic)
    pool.put_back(connection)
    assert pool.take_idle(1.0) is connection
    pool.put_back(connection)
    clock.advance(1.5)
    assert pool.take_idle(1.0) is None
    assert connection.closed
