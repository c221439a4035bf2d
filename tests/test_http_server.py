"""The HTTP server of entries, sidecars and stand-ins, one of several in a process."""

import asyncio

import pytest

from jasminewalk.transport._http import HttpServer, send_json

ANSWER_TIMEOUT_S = 2.0
SLOW_S = 0.2
REQUEST = b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n"


async def app(scope, receive, send):
    if scope["path"] == "/stream":
        head = {"type": "http.response.start", "status": 200, "headers": []}
        await send(head)
        part = {"type": "http.response.body", "body": b"part", "more_body": True}
        await send(part)
        await asyncio.sleep(SLOW_S)
        await send(part | {"more_body": False})
        return
    await asyncio.sleep(SLOW_S * (scope["path"] == "/slow"))
    await send_json(send, 200, {})


async def start(address="127.0.0.1:0"):
    server = HttpServer(app, address)
    task = asyncio.create_task(server.serve())
    await server.wait_started()
    return server, task


async def cancel(task):
    task.cancel()
    await asyncio.wait([task])


async def get(address):
    """Return the first bytes of a response, on a connection of its own."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST % b"")
        response = await reader.read(12)
    writer.close()
    return response


@pytest.mark.anyio
async def test_connections_are_made_after_a_server_was_cancelled():
    other, other_task = await start()
    _, task = await start()
    await cancel(task)
    for _ in range(3):
        assert await get(other.address) == b"HTTP/1.1 200"
    await cancel(other_task)


@pytest.mark.anyio
async def test_server_that_starts_after_another_was_cancelled_answers():
    _, task = await start()
    await cancel(task)
    server, task = await start()
    assert await get(server.address) == b"HTTP/1.1 200"
    await cancel(task)


@pytest.mark.anyio
async def test_cancelled_server_closes_its_connections():
    server, task = await start()
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(REQUEST % b"")
    await reader.readuntil(b"{}")
    await cancel(task)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        assert await reader.read() == b""
    writer.close()


# Planned stops.


async def converse(before, after):
    """Return the responses on a connection whose server is stopped.

    :param before: request sent before the stop; nothing if empty.
    :param after: what is sent 50 ms after it.
    """
    server, task = await start()
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    if before:
        writer.write(before)
    await asyncio.sleep(0.05)
    server.stop()
    await asyncio.sleep(0.05)
    writer.write(after)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        received = await reader.read()
        await task
    writer.close()
    return received.split(b"HTTP/1.1 ")[1:]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("before", "after", "count"),
    [
        (b"", REQUEST % b"", 1),
        (REQUEST % b"", REQUEST % b"", 2),
        (REQUEST % b"slow" + REQUEST % b"", b"", 2),
        (REQUEST % b"slow" + (REQUEST % b"")[:9], (REQUEST % b"")[9:], 2),
        (REQUEST % b"stream", REQUEST % b"", 2),
        ((REQUEST % b"")[:9], (REQUEST % b"")[9:], 1),
    ],
    ids=["accepted", "answered", "behind", "begun behind", "behind stream", "begun"],
)
async def test_requests_around_a_stop_are_answered(before, after, count):
    responses = await converse(before, after)
    assert len(responses) == count
    assert all(response.startswith(b"200 ") for response in responses)
    closes = [b"connection: close" in response for response in responses]
    assert closes == [False] * (count - 1) + [True]


@pytest.mark.anyio
async def test_stop_does_not_wait_for_idle_connections_or_requests_that_never_end():
    server, task = await start()
    host, _, port = server.address.rpartition(":")
    connections = [await asyncio.open_connection(host, int(port)) for _ in range(3)]
    connections[0][1].write((REQUEST % b"")[:9])
    await asyncio.sleep(0.05)
    server.stop()
    async with asyncio.timeout(4.0):
        await task
    for _, writer in connections:
        writer.close()
