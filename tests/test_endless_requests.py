"""Tests of callers that send requests without end or do not read, on loopback."""

import asyncio

import pytest

from endless_peers import EndlessBytes
from jasminewalk.http1 import CallerServer
from jasminewalk.http1.server import CallerLimits

# Bytes that the kernel and the transports of both sides may hold.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
LIMITS = CallerLimits(
    header_bytes=16384,
    body_bytes=1024 * 1024,
    header_timeout_s=0.5,
    idle_timeout_s=0.5,
)
# Seconds within which a fast caller, a slow one and a sound one get their responses.
FAST_S, SLOW_S, USUAL_S = 2.0, 2.0, 0.5
MIB = 1024 * 1024
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = [
    EndlessBytes("line_ends", b"", b"\r\n"),
    EndlessBytes("method", b"", b"POST"),
    EndlessBytes("target", b"GET /", b"x"),
    EndlessBytes("header_name", b"GET / HTTP/1.1\r\n", b"x"),
    EndlessBytes("header_value", b"GET / HTTP/1.1\r\nx: ", b"x"),
    EndlessBytes("headers", b"GET / HTTP/1.1\r\n", b"x: y\r\n"),
    EndlessBytes("chunk_size", CHUNKED_HEAD, b"0"),
    EndlessBytes("chunk_extension", CHUNKED_HEAD + b"1;", b"x"),
    EndlessBytes("chunk_extensions", CHUNKED_HEAD, b"1;" + b"x" * 999 + b"\r\ny\r\n"),
    EndlessBytes("trailer", CHUNKED_HEAD + b"1\r\ny\r\n0\r\nx: ", b"x"),
    EndlessBytes("trailers", CHUNKED_HEAD + b"1\r\ny\r\n0\r\n", b"x: y\r\n"),
    EndlessBytes("chunks", CHUNKED_HEAD, b"4\r\nbody\r\n"),
    EndlessBytes(
        "length",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n",
        b"x",
    ),
]


@pytest.fixture
async def server(free_address, monkeypatch):
    monkeypatch.setattr("jasminewalk.http1.server.BODY_TIMEOUT_S", 1.0)
    errors = []
    server = CallerServer(
        None,
        asyncio.get_running_loop().time,
        lambda request, error: errors.append(error),
        lambda status: None,
    )
    server.limits = LIMITS
    server.requests = []
    server.unread = []
    server.on_unread = server.unread.append
    server.response = b"answer"

    async def handler(connection, request):
        server.requests.append(request)
        if request.path == "/slow":
            await asyncio.sleep(1.0)
        connection.send_response(200, (), server.response)

    server.handler = handler
    await server.listen(free_address)
    sweep_task = asyncio.create_task(server.sweep_forever())
    yield server
    sweep_task.cancel()
    server.stop_listening()
    assert not errors


async def open_connection(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def send_endlessly(address, endless, *, slow, allowed_s):
    """Send until the server closes; return its response and the bytes sent."""
    reader, writer = await open_connection(address)
    writer.write(endless.start)
    repeated = endless.repeated
    repeated *= 1 if slow else 64 * 1024 // len(repeated)
    sent_bytes = 0
    async with asyncio.timeout(allowed_s):
        try:
            while not reader.at_eof() and not writer.transport.is_closing():
                writer.write(repeated)
                await writer.drain()
                sent_bytes += len(repeated)
                await asyncio.sleep(0.01 if slow else 0)
        except ConnectionError:
            pass
    writer.close()
    return sent_bytes


async def assert_others_are_undisturbed(address):
    async with asyncio.timeout(USUAL_S):
        reader, writer = await open_connection(address)
        writer.write(b"GET /other HTTP/1.1\r\nconnection: close\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
        writer.close()


async def wait_until_closed(server, allowed_s):
    async with asyncio.timeout(allowed_s):
        while server.connections:
            await asyncio.sleep(0.01)


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("endless", ENDLESS_REQUESTS, ids=str)
async def test_request_without_end_is_refused(server, free_address, endless, slow):
    allowed_s = SLOW_S if slow else FAST_S
    sending = asyncio.create_task(
        send_endlessly(free_address, endless, slow=slow, allowed_s=allowed_s)
    )
    await asyncio.sleep(0.1)
    await assert_others_are_undisturbed(free_address)
    assert await sending < SOCKET_BUFFER_BYTES
    await wait_until_closed(server, 1.0)
    assert [request.path for request in server.requests] == ["/other"]


@pytest.mark.anyio
async def test_trailers_of_a_request_do_not_count_as_headers(server, free_address):
    reader, writer = await open_connection(free_address)
    writer.write(CHUNKED_HEAD + b"1\r\ny\r\n0\r\nx-a: b\r\n\r\n")
    await reader.readuntil(b"answer")
    writer.close()
    assert b"x-a" not in dict(server.requests[0].headers)


@pytest.mark.anyio
async def test_pipelined_bodies_wait_in_the_caller(server, free_address):
    reader, writer = await open_connection(free_address)
    body = b"x" * MIB
    request = b"POST /slow HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body) + body
    writer.write(request * 7)
    await asyncio.sleep(0.5)
    assert 0 < server.held_bytes <= 4 * MIB
    await assert_others_are_undisturbed(free_address)
    server.limits = CallerLimits(body_bytes=MIB, idle_timeout_s=9.0)
    async with asyncio.timeout(10):
        for _ in range(7):
            await reader.readuntil(b"answer")
    assert [len(request.body) for request in server.requests] == [MIB, 0] + [MIB] * 6
    writer.close()
    await wait_until_closed(server, 1.0)
    assert server.held_bytes == 0


@pytest.mark.anyio
async def test_bodies_of_all_callers_are_limited_together(server, free_address):
    server.max_held_bytes = 4 * MIB
    head = b"POST / HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % MIB
    callers = [await open_connection(free_address) for _ in range(8)]
    most_held = 0
    for _, writer in callers:
        writer.write(head + b"x" * (MIB - 1))
        for _ in range(20):
            await asyncio.sleep(0.005)
            most_held = max(most_held, server.held_bytes)
    assert most_held <= server.max_held_bytes + MIB
    assert 1 <= len(server.connections) <= 4
    await assert_others_are_undisturbed(free_address)
    await wait_until_closed(server, 2.0)
    assert server.held_bytes == 0
    for _, writer in callers:
        writer.close()


@pytest.mark.anyio
@pytest.mark.parametrize("ending", [b"", b"connection: close\r\n"])
async def test_caller_that_never_reads_its_response_is_disconnected(
    server, free_address, ending, monkeypatch
):
    monkeypatch.setattr("jasminewalk.http1.response_sender.SEND_TIMEOUT_S", 1.0)
    server.response = b"x" * 16 * MIB
    _, writer = await open_connection(free_address)
    writer.write(b"GET / HTTP/1.1\r\n" + ending + b"\r\n")
    await wait_until_opened(server)
    server.response = b"answer"
    await assert_others_are_undisturbed(free_address)
    await wait_until_closed(server, 3.0)
    assert len(server.unread) == 1
    writer.close()


@pytest.mark.anyio
async def test_pipelined_request_waits_until_the_caller_reads(server, free_address):
    server.limits = CallerLimits()
    server.response = b"x" * 8 * MIB
    reader, writer = await open_connection(free_address)
    writer.write(b"GET / HTTP/1.1\r\n\r\n" * 4)
    await asyncio.sleep(0.5)
    assert len(server.requests) == 1
    received = 0
    async with asyncio.timeout(5.0):
        while received < 4 * 8 * MIB:
            received += len(await reader.read(MIB))
    assert len(server.requests) == 4
    writer.close()


@pytest.mark.anyio
async def test_unread_responses_are_limited_together(server, free_address):
    server.max_unsent_bytes = 20 * MIB
    server.response = b"x" * 16 * MIB
    writers = []
    for _ in range(4):
        _, writer = await open_connection(free_address)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        writers.append(writer)
    await asyncio.sleep(1.0)
    sizes = [
        connection.transport.get_write_buffer_size()
        for connection in server.connections
    ]
    assert 0 < sum(sizes) <= server.max_unsent_bytes
    server.response = b"answer"
    await assert_others_are_undisturbed(free_address)
    for writer in writers:
        writer.close()


@pytest.mark.anyio
async def test_caller_that_reads_slowly_gets_its_whole_response(
    server, free_address, monkeypatch
):
    monkeypatch.setattr("jasminewalk.http1.response_sender.SEND_TIMEOUT_S", 1.0)
    server.response = b"x" * 16 * MIB
    reader, writer = await open_connection(free_address)
    writer.write(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
    received = 0
    while data := await reader.read(64 * 1024):
        received += len(data)
        await asyncio.sleep(0.01)
    assert received > 16 * MIB
    writer.close()


async def wait_until_opened(server):
    async with asyncio.timeout(1.0):
        while not server.requests:
            await asyncio.sleep(0.01)
