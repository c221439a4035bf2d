"""Tests of responses that never end, with sockets on loopback."""

import asyncio

import pytest

from endless_peers import (
    CHUNKED_HEAD,
    ENDLESS_FOREIGN,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    EndlessBytes,
    EndlessPeer,
)
from jasminewalk.http1 import Exchange, ExchangeBrokenError, connect
from jasminewalk.http1.client import encode_request

# Bytes that the kernel and the transports of both sides may hold.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
FAILURE_TIMEOUT_S = 2.0


def get_time():
    return asyncio.get_running_loop().time()


@pytest.fixture
async def open_endless(free_address):
    """Yield a function that sends a request to an endless peer; return both."""
    peers = []

    async def open_connection(endless, exchange=None):
        peer = await EndlessPeer(endless).start(free_address)
        peers.append(peer)
        connection = await connect(free_address, 1.0, get_time)
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
