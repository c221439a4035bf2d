"""Tests of responses that never end, with sockets on loopback."""

import asyncio

import pytest

from endless_peers import (
    CHUNKED_HEAD,
    ENDLESS_BODIES,
    ENDLESS_FOREIGN,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    EndlessBytes,
    EndlessPeer,
)
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway import store_connections
from jasminewalk.gateway.store_connections import MAX_BODY_BYTES
from jasminewalk.http1 import (
    Exchange,
    ExchangeBrokenError,
    ReceiveBudget,
    connect,
    encode_request,
)
from jasminewalk.http1.exchange import MAX_RESPONSE_BODY_BYTES

# Bytes that the kernel and the transports of both sides may hold.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
FAILURE_TIMEOUT_S = 2.0


def get_time():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def open_endless(free_address):
    """Yield a function that sends a request to an endless peer; return both."""
    peers = []

    async def open_connection(endless, exchange=None, budget=None):
        if not peers:
            peers.append(await EndlessPeer(endless).start(free_address))
        peer = peers[0]
        peer.endless = endless
        connection = await connect(free_address, 1.0, get_time, budget)
        exchange = exchange or Exchange("a")
        connection.send(encode_request(b"GET", b"/", (), b""), exchange)
        return peer, connection, exchange

    yield open_connection
    for peer in peers:
        peer.server.close()


async def receive_whole(exchange):
    async with asyncio.timeout(FAILURE_TIMEOUT_S):
        await exchange.head()
        return await exchange.body()


async def assert_closed_by_client(peer):
    async with asyncio.timeout(FAILURE_TIMEOUT_S):
        while peer.closed < peer.opened:
            await asyncio.sleep(0.01)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "endless", ENDLESS_HEADS + ENDLESS_FRAMING + ENDLESS_FOREIGN, ids=str
)
async def test_endless_bytes_outside_of_the_body_fail_the_exchange(
    open_endless, endless
):
    peer, connection, exchange = await open_endless(endless)
    with pytest.raises(ExchangeBrokenError):
        await receive_whole(exchange)
    await assert_closed_by_client(peer)
    assert connection.closed
    assert peer.sent_bytes < SOCKET_BUFFER_BYTES


@pytest.mark.anyio
async def test_trailers_do_not_count_as_headers(open_endless):
    response = CHUNKED_HEAD + b"1\r\ny\r\n0\r\nx-a: b\r\n\r\n"
    *_, exchange = await open_endless(EndlessBytes("trailers", response, b"\r\n"))
    assert await receive_whole(exchange) == b"y"
    assert b"x-a" not in dict(exchange.response.headers)


@pytest.mark.anyio
@pytest.mark.parametrize("endless", ENDLESS_BODIES, ids=str)
async def test_endless_body_fails_the_exchange(open_endless, endless):
    peer, _, exchange = await open_endless(endless)
    with pytest.raises(ExchangeBrokenError, match=r"too (large|many)"):
        await receive_whole(exchange)
    await assert_closed_by_client(peer)
    assert peer.sent_bytes < 2 * MAX_RESPONSE_BODY_BYTES + SOCKET_BUFFER_BYTES


@pytest.mark.anyio
async def test_body_over_the_limit_fails_even_if_it_ends_at_once(open_endless):
    response = CHUNKED_HEAD + b"3\r\nmax\r\n1\r\n!\r\n0\r\n\r\n"
    exchange = Exchange("a", max_body_bytes=3)
    await open_endless(EndlessBytes("ends", response, b"\r\n"), exchange)
    with pytest.raises(ExchangeBrokenError, match="too large"):
        await receive_whole(exchange)


@pytest.mark.anyio
async def test_bodies_in_memory_are_limited_together(open_endless):
    budget = ReceiveBudget(limit_bytes=1024 * 1024)
    small = EndlessBytes("small", CHUNKED_HEAD + b"5\r\nsmall\r\n0\r\n", b"\r\n")
    endless = EndlessBytes("large", CHUNKED_HEAD, b"400\r\n" + b"x" * 1024 + b"\r\n")
    slow = EndlessBytes("held", CHUNKED_HEAD, b"4\r\nheld\r\n")
    *_, held = await open_endless(slow, Exchange("a"), budget)
    await held.head()
    large = [await open_endless(endless, budget=budget) for _ in range(3)]
    results = await asyncio.gather(
        *(receive_whole(exchange) for _, _, exchange in large),
        return_exceptions=True,
    )
    assert {str(error) for error in results} == {"too many bytes of bodies in memory"}
    assert not held.failure
    *_, exchange = await open_endless(small, budget=budget)
    assert await receive_whole(exchange) == b"small"
    assert 0 <= budget.held_bytes <= budget.limit_bytes


@pytest.mark.anyio
async def test_receiving_pauses_while_the_body_is_not_read(open_endless):
    endless = EndlessBytes("chunks", CHUNKED_HEAD, b"20\r\n" + b"x" * 32 + b"\r\n")
    peer, connection, exchange = await open_endless(endless)
    await asyncio.sleep(0.5)
    assert exchange.body_bytes < 512 * 1024
    assert peer.sent_bytes < SOCKET_BUFFER_BYTES
    assert not connection.closed
    received = 0
    async with asyncio.timeout(FAILURE_TIMEOUT_S):
        while received < 1024 * 1024:
            received += len(await exchange.next_chunk())
    assert connection.budget.held_bytes < 512 * 1024
    connection.abort()
    assert connection.budget.held_bytes == 0


@pytest.fixture
async def store_peer(free_address, monkeypatch):
    """Yield a function that sends a call to a store that responds without end."""
    monkeypatch.setattr(store_connections, "MAX_CALL_S", 1.0)
    peers = []

    async def call(endless, *, slow):
        peers.append(await EndlessPeer(endless, slow=slow).start(free_address))
        connections = store_connections.StoreConnections(free_address, get_time)
        async with asyncio.timeout(FAILURE_TIMEOUT_S):
            try:
                await connections.call(b"GET", "/-/log-read", b"", 0.5)
            finally:
                await assert_closed_by_client(peers[0])
                assert connections.budget.held_bytes == 0
                assert not connections.budget.connections

    yield call, peers
    for peer in peers:
        peer.server.close()


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize(
    "endless",
    [*ENDLESS_HEADS, *ENDLESS_FRAMING, ENDLESS_FOREIGN[0], *ENDLESS_BODIES],
    ids=str,
)
async def test_call_to_the_store_fails_if_the_response_never_ends(
    store_peer, endless, slow
):
    call, peers = store_peer
    with pytest.raises(LogUnavailableError):
        await call(endless, slow=slow)
    body_bytes = MAX_BODY_BYTES if endless in ENDLESS_BODIES else 0
    assert peers[0].sent_bytes < 2 * body_bytes + SOCKET_BUFFER_BYTES


@pytest.mark.anyio
async def test_body_is_whole_if_it_is_waited_for_again_after_a_timeout(free_address):
    ended = asyncio.Event()

    async def handle(reader, writer):
        await reader.read(100)
        writer.write(CHUNKED_HEAD.replace(b"REQUEST-ID", b"a"))
        for part in (b"5\r\nfirst\r\n", b"6\r\nsecond\r\n", b"0\r\n\r\n"):
            writer.write(part)
            await asyncio.sleep(0.15)
        writer.close()
        ended.set()

    host, _, port = free_address.rpartition(":")
    server = await asyncio.start_server(handle, host, int(port))
    connection = await connect(free_address, 1.0, get_time)
    exchange = Exchange("a")
    connection.send(encode_request(b"GET", b"/", (), b""), exchange)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await exchange.body()
    assert await receive_whole(exchange) == b"firstsecond"
    connection.abort()
    await ended.wait()
    server.close()
