"""Test that responses of the store are taken for their own call only."""

import asyncio

import pytest

from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway.store_connections import StoreConnections
from jasminewalk.http1 import CallerServer
from jasminewalk.platform.store import StoreResponse

pytestmark = pytest.mark.anyio

TIMEOUT_S = 0.5


@pytest.fixture
async def store(free_address):
    """Serve a store that sends its last response again before the next one."""
    targets = []

    async def handle(reader, writer):
        last_response = b""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionResetError):
                writer.close()
                return
            target = head.split()[1]
            targets.append(target)
            writer.write(last_response)
            last_response = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (
                len(target),
                target,
            )
            writer.write(last_response)

    host, _, port = free_address.rpartition(":")
    server = await asyncio.start_server(handle, host, int(port))
    yield targets
    server.close()


async def test_call_never_takes_the_response_to_an_earlier_one(store, free_address):
    connections = StoreConnections(free_address, asyncio.get_running_loop().time)
    for number in range(3):
        target = f"/-/log-read?from={number}"
        response = await connections.call(b"GET", target, b"", TIMEOUT_S)
        assert response == StoreResponse(200, target.encode())
    assert len(store) == 3


async def test_call_fails_if_the_response_names_a_request(free_address):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nx-jasminewalk-request-id: a\r\n"
        writer.write(head + b"content-length: 2\r\n\r\nme")
        writer.close()

    host, _, port = free_address.rpartition(":")
    connections = StoreConnections(free_address, asyncio.get_running_loop().time)
    async with await asyncio.start_server(handle, host, int(port)):
        with pytest.raises(LogUnavailableError, match="names a request"):
            await connections.call(b"GET", "/-/log-newest", b"", TIMEOUT_S)


@pytest.fixture
async def silent_store(free_address):
    """Serve a store that answers no call before the third, and each in two parts."""
    targets = []

    async def handle(connection, request):
        targets.append(request.target)
        if len(targets) < 3:
            await asyncio.sleep(30.0)
        connection.start_stream(200, [])
        connection.send_chunk(b"m")
        await asyncio.sleep(0.4)
        connection.send_chunk(b"e")
        connection.end_stream()

    server = CallerServer(handle, asyncio.get_running_loop().time, print, print)
    await server.listen(free_address)
    yield targets
    server.stop_listening()


async def test_read_without_a_response_is_repeated(silent_store, free_address):
    connections = StoreConnections(free_address, asyncio.get_running_loop().time)
    asked_at = asyncio.get_running_loop().time()
    response = await connections.call(b"GET", "/-/log-read", b"", 0.8)
    assert response == StoreResponse(200, b"me")
    assert 1.0 <= asyncio.get_running_loop().time() - asked_at < 1.3
    assert len(silent_store) == 3


async def test_write_without_a_response_is_not_repeated(silent_store, free_address):
    connections = StoreConnections(free_address, asyncio.get_running_loop().time)
    with pytest.raises(LogUnavailableError, match="no response in time"):
        await connections.call(b"POST", "/-/log-append", b"", 0.8)
    assert len(silent_store) == 1


async def test_repeats_of_a_read_end_with_it(silent_store, free_address):
    connections = StoreConnections(free_address, asyncio.get_running_loop().time)
    with pytest.raises(LogUnavailableError, match="no response in time"):
        await connections.call(b"GET", "/-/log-read", b"", 0.1)
    assert len(silent_store) == 1


async def test_later_calls_go_to_a_changed_address(store, free_address):
    connections = StoreConnections("127.0.0.1:1", asyncio.get_running_loop().time)
    with pytest.raises(LogUnavailableError, match="connect failed"):
        await connections.call(b"GET", "/", b"", TIMEOUT_S)
    connections.use_address(free_address)
    response = await connections.call(b"GET", "/a", b"", TIMEOUT_S)
    assert response == StoreResponse(200, b"/a")
