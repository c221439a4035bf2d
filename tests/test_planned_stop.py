"""Requests that a server has read, or that arrive, around its planned stop."""

import asyncio
import contextlib

import pytest

from jasminewalk.http1 import CallerServer

SLOW_S = 0.1
REQUEST = b"POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n"


def get_time():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def server(free_address):
    server = CallerServer(
        None, get_time, lambda request, error: None, lambda status: None
    )
    server.handled = []

    async def handler(connection, request):
        server.handled.append(request.path)
        if request.path == "/stream":
            connection.start_stream(200, ())
            await asyncio.sleep(SLOW_S)
            connection.send_chunk(b"part")
            connection.end_stream()
            return
        await asyncio.sleep(SLOW_S)
        connection.send_response(200, (), request.body)

    server.handler = handler
    await server.listen(free_address)
    yield server
    server.stop_listening()


@pytest.fixture
async def connect(free_address, server):
    writers = []

    async def connect():
        host, _, port = free_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writers.append(writer)
        return reader, writer

    yield connect
    for writer in writers:
        writer.close()


async def stop(server):
    """Close what is idle, as the daemon does, until no connection is left."""
    server.draining = True
    server.stop_listening()
    async with asyncio.timeout(2.0):
        while server.connections:
            server.close_idle()
            await asyncio.sleep(0.01)


def split_responses(data):
    return data.split(b"HTTP/1.1 ")[1:]


@pytest.mark.anyio
async def test_requests_behind_the_running_one_are_answered(server, connect):
    reader, writer = await connect()
    for number in range(3):
        writer.write(REQUEST % b"unsafe" + b"%d" % number)
    await asyncio.sleep(SLOW_S / 2)
    await stop(server)
    responses = split_responses(await reader.read())
    assert [response[-1:] for response in responses] == [b"0", b"1", b"2"]
    # A caller must not send more, and may not be told so before the last response.
    closes = [b"connection: close" in response for response in responses]
    assert closes == [False, False, True]


@pytest.mark.anyio
async def test_request_that_is_being_read_behind_another_is_answered(server, connect):
    reader, writer = await connect()
    writer.write(REQUEST % b"a" + b"1" + REQUEST % b"b")
    await asyncio.sleep(SLOW_S / 2)
    stopping = asyncio.create_task(stop(server))
    await asyncio.sleep(SLOW_S)
    writer.write(b"2")
    await stopping
    responses = split_responses(await reader.read())
    assert [response[-1:] for response in responses] == [b"1", b"2"]


@pytest.mark.anyio
async def test_caller_may_send_again_after_a_stream_begun_before_the_stop(
    server, connect
):
    reader, writer = await connect()
    writer.write(REQUEST % b"stream" + b"1")
    await reader.readuntil(b"\r\n\r\n")
    stopping = asyncio.create_task(stop(server))
    await reader.readuntil(b"0\r\n\r\n")
    await asyncio.sleep(0.05)
    writer.write(REQUEST % b"next" + b"2")
    response = await reader.read()
    await stopping
    assert response.startswith(b"HTTP/1.1 200 ")
    assert b"connection: close" in response
    assert server.handled == ["/stream", "/next"]


@pytest.mark.anyio
async def test_request_on_a_connection_that_was_just_accepted_is_answered(
    server, connect
):
    reader, writer = await connect()
    while not server.connections:
        await asyncio.sleep(0.001)
    stopping = asyncio.create_task(stop(server))
    await asyncio.sleep(0.05)
    writer.write(REQUEST % b"first" + b"1")
    response = await reader.read()
    await stopping
    assert response.startswith(b"HTTP/1.1 200 ")


@pytest.mark.anyio
async def test_request_behind_a_response_that_announced_the_end_is_not_run(
    server, connect
):
    # Its caller knows that it did not run, and may send it elsewhere.
    reader, writer = await connect()
    server.draining = True
    writer.write(REQUEST % b"stream" + b"1")
    assert b"connection: close" in await reader.readuntil(b"\r\n\r\n")
    writer.write(REQUEST % b"unsafe" + b"2")
    await reader.read()
    assert server.handled == ["/stream"]


@pytest.mark.anyio
async def test_idle_connections_are_closed_soon(server, connect):
    for _ in range(5):
        await connect()
    while len(server.connections) < 5:
        await asyncio.sleep(0.001)
    started_s = get_time()
    await stop(server)
    assert get_time() - started_s < 0.6


@pytest.mark.anyio
async def test_request_that_arrives_late_behind_another_is_answered(server, connect):
    reader, writer = await connect()
    writer.write(REQUEST % b"a" + b"1")
    await asyncio.sleep(SLOW_S / 2)
    server.draining = True
    server.ends_at = get_time() - 0.01
    writer.write(REQUEST % b"b" + b"2" + REQUEST % b"c" + b"3")
    responses = split_responses(await reader.read())
    assert [response[-1:] for response in responses] == [b"1", b"2", b"3"]
    closes = [b"connection: close" in response for response in responses]
    assert closes == [False, False, True]


@pytest.mark.anyio
async def test_caller_that_never_stops_sending_does_not_keep_the_server(
    server, connect
):
    reader, writer = await connect()
    received = bytearray()

    async def send():
        while True:
            writer.write(REQUEST % b"more" + b"1")
            await asyncio.sleep(SLOW_S / 2)

    async def receive():
        # The connection may be reset, as what crosses its end is not read.
        with contextlib.suppress(ConnectionResetError):
            while data := await reader.read(65536):
                received.extend(data)

    sending, receiving = asyncio.create_task(send()), asyncio.create_task(receive())
    await asyncio.sleep(SLOW_S)
    # Without a limit the wait in it times out.
    await stop(server)
    sending.cancel()
    await receiving
    responses = split_responses(bytes(received))
    assert len(responses) == len(server.handled) > 1
    assert all(response.endswith(b"\r\n\r\n1") for response in responses)
    closes = [b"connection: close" in response for response in responses]
    assert closes == [False] * (len(responses) - 1) + [True]
