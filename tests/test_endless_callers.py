"""Clients that send bytes to the HTTP server until the connection is closed."""

import asyncio
import contextlib

import anyio
import pytest

from jasminewalk.exceptions import JasminewalkError
from jasminewalk.transport._http import HttpServer, read_body, send_json, split_address

pytestmark = pytest.mark.anyio

TIMEOUT_S = 30.0
SHORT_TIMEOUT_S = 0.2
MAX_BODY_BYTES = 1 << 20
BLOCK = b"a" * 65536
HEADERS = b"x: a\r\n" * 10_000
HEAD = b"POST / HTTP/1.1\r\nhost: x\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"
# Sent bytes may wait in the buffers of both sockets.
SOCKET_BUFFERS_BYTES = 16 << 20


async def serve_length(scope, receive, send):
    """Respond with the length of the body."""
    try:
        body = await read_body(receive, MAX_BODY_BYTES)
    except JasminewalkError as error:
        await send_json(send, error.result.http_status, {})
    else:
        await send_json(send, 200, len(body))


@pytest.fixture
async def server():
    server = HttpServer(serve_length, "127.0.0.1:0")
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        await server.wait_started()
        yield server
        server.stop()


@contextlib.asynccontextmanager
async def connect(server):
    reader, writer = await asyncio.open_connection(*split_address(server.address))
    try:
        yield reader, writer
    finally:
        writer.close()


async def send_without_end(server, start, piece):
    """Send until the server closes the connection; return how many bytes were sent."""
    sent_bytes = 0
    with anyio.fail_after(TIMEOUT_S):
        async with connect(server) as (_, writer):
            writer.write(start)
            with contextlib.suppress(ConnectionError):
                while sent_bytes < SOCKET_BUFFERS_BYTES * 4:
                    writer.write(piece)
                    await writer.drain()
                    sent_bytes += len(piece)
    return sent_bytes


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"GET /", BLOCK),
        (HEAD, BLOCK),
        (HEAD + b"x: ", BLOCK),
        (HEAD, HEADERS),
        (b"", b"\r\n" * 30_000),
        (CHUNKED_HEAD + b"1;", BLOCK),
        (CHUNKED_HEAD + b"0\r\n", HEADERS),
        (b"", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n" * 2000),
    ],
    ids=[
        "path",
        "header name",
        "header value",
        "headers",
        "empty lines",
        "chunk extension",
        "trailers",
        "pipelined requests",
    ],
)
async def test_connection_is_closed_at_the_limit(server, start, piece):
    assert await send_without_end(server, start, piece) < SOCKET_BUFFERS_BYTES


async def test_body_after_its_response_is_read_for_a_limited_time(server, monkeypatch):
    monkeypatch.setattr(
        "jasminewalk.transport._http_protocol.MESSAGE_TIMEOUT_S", SHORT_TIMEOUT_S
    )
    start = HEAD + b"content-length: 999999999999\r\n\r\n"
    async with connect(server) as (reader, writer):
        writer.write(start + BLOCK * 32)
        with anyio.fail_after(TIMEOUT_S):
            assert (await reader.readline()).startswith(b"HTTP/1.1 413")
            with contextlib.suppress(ConnectionError):
                while not reader.at_eof():
                    writer.write(BLOCK)
                    await writer.drain()


async def test_head_must_arrive_in_a_limited_time(server, monkeypatch):
    monkeypatch.setattr(
        "jasminewalk.transport._http_protocol.MESSAGE_TIMEOUT_S", SHORT_TIMEOUT_S
    )

    async def send_slowly(writer):
        while True:
            writer.write(b"x: a\r\n")
            await anyio.sleep(SHORT_TIMEOUT_S / 10)

    async with connect(server) as (reader, writer), anyio.create_task_group() as group:
        writer.write(HEAD)
        group.start_soon(send_slowly, writer)
        with anyio.fail_after(TIMEOUT_S):
            assert (await reader.readline()).startswith(b"HTTP/1.1 400")
        group.cancel_scope.cancel()


async def test_large_heads_and_pipelined_bodies_are_accepted(server):
    body = b"b" * 300_000
    request = HEAD + b"x: %s\r\ncontent-length: %d\r\n\r\n" % (b"a" * 60_000, len(body))
    async with connect(server) as (reader, writer):
        writer.write((request + body) * 4)
        with anyio.fail_after(TIMEOUT_S):
            for _ in range(4):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(6) == b"300000"
