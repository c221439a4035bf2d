"""Requests that a gateway takes, and those that still run, at its planned stop."""

import asyncio

import pytest

from jasminewalk.gateway.planned_stop import GRACE_MARGIN_S, PlannedStop
from platform_fakes import ROUTES, FakeEngine, build_event, configuration
from test_gateway_daemon import GatewayHarness

EVENT_COUNT, EVENT_INTERVAL_S = 26, 0.1
# Long enough for requests that outlast the harness's grace period of 5 s.
TIMEOUT_MS = 9000


class SlowStreamEngine(FakeEngine):
    """Engine whose streams last longer than a stopping gateway listens."""

    async def answer(self, connection, request, headers):
        connection.start_stream(200, self.build_headers(headers))
        for number in range(1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            connection.send_chunk(build_event(headers, number))
        connection.end_stream()


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    routes = [route | {"timeout_ms": TIMEOUT_MS} for route in ROUTES]
    await harness.start(
        FakeEngine("app-0"),
        SlowStreamEngine("decoder-1", "llm", "decode"),
        configuration=configuration(routes=routes),
    )
    yield harness
    harness.stop()


@pytest.fixture
async def stream(harness):
    """Begin a stream on a kept connection, and stop the gateway during it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.front_port)
    writer.write(harness.build_request("/help/x", x_jasminewalk_deadline_ms="5000"))
    await reader.readuntil(b"data: token 1\n")
    harness.daemon.stopping.set()
    await reader.readuntil(b"\r\n0\r\n\r\n")
    yield reader, writer
    writer.close()


async def read_response(reader):
    """Return the head and the body of a response that has a length or chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"transfer-encoding: chunked" in head:
        return head, await reader.readuntil(b"\r\n0\r\n\r\n")
    _, _, length = head.partition(b"content-length: ")
    return head, await reader.readexactly(int(length.split()[0]))


def test_request_may_be_cut_if_its_deadline_is_after_the_end(clock):
    stop = PlannedStop(clock.monotonic)
    assert not stop.may_cut(1e9)
    stop.begin(8.0)
    assert not stop.may_cut(8.0 - GRACE_MARGIN_S)
    assert stop.may_cut(8.0)
    assert not stop.is_over
    clock.advance(8.0)
    assert stop.is_over


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/help/x", "/verdict/x", "/book/x", "/look/x"])
async def test_request_behind_a_stream_that_would_be_cut_by_the_stop_is_refused(
    harness, stream, path
):
    # Guards against requests taken on a kept connection and cut as the process ends.
    reader, writer = stream
    writer.write(harness.build_request(path, x_jasminewalk_deadline_ms="2500"))
    head, _ = await read_response(reader)
    assert head.startswith(b"http/1.1 503 ")
    assert b"retry-after: " in head and b"connection: close" in head
    assert harness.read_log_lines("refused")[0]["reason"] == "stopping"
    assert sum(len(engine.requests) for engine in harness.engines.values()) == 1
    async with asyncio.timeout(2):
        await harness.task


@pytest.mark.anyio
async def test_request_that_can_end_in_time_is_served_behind_a_stream(harness, stream):
    reader, writer = stream
    request = harness.build_request("/book/x", b"1", x_jasminewalk_deadline_ms="1000")
    writer.write(request)
    head, body = await read_response(reader)
    assert head.startswith(b"http/1.1 200 ") and body == b"served by 1"


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/help/x", "/verdict/x", "/book/x", "/look/x"])
async def test_request_that_still_runs_at_the_end_gets_a_response(harness, path):
    for engine in harness.engines.values():
        engine.behaviour = "hang"
    sending = asyncio.create_task(
        harness.send_request(path, timeout_s=8.0, x_jasminewalk_deadline_ms="9000")
    )
    while not any(engine.requests for engine in harness.engines.values()):
        await asyncio.sleep(0.01)
    harness.daemon.stopping.set()
    status, head, _ = await sending
    assert status == 504 and "connection: close" in head
    async with asyncio.timeout(1):
        await harness.task
    assert harness.read_log_lines("stopped")[0]["active"] == 0
