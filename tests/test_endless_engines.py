"""Tests of a gateway whose engines or store send bytes without end, on loopback."""

import asyncio

import pytest

from endless_peers import (
    ENDLESS_BODIES,
    ENDLESS_FOREIGN,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    EndlessEngine,
)
from jasminewalk.http1.client import (
    MAX_DISCARD_REPORTS,
    MAX_RESPONSE_BODY_BYTES,
)
from platform_fakes import FakeEngine
from test_gateway_daemon import GatewayHarness

# Bytes that the kernel and the transports of both sides may hold.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
# Timeout of the routes for plain requests, and seconds allowed on top.
PLAIN_TIMEOUT_S = 0.9
MARGIN_S = 0.6
# Seconds within which callers of other engines get their responses.
USUAL_RESPONSE_S = 0.5
ENDLESS = ENDLESS_HEADS + ENDLESS_FRAMING + ENDLESS_FOREIGN + ENDLESS_BODIES
USAGE = {"x_jasminewalk_token_usage": "380,40"}


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.daemon.stopping.set()
    harness.task.cancel()
    for task in harness.daemon.tasks:
        task.cancel()


async def send_timed(harness, path, **headers):
    """Send a request; return its status and the seconds until its response ended."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    status, _, body = await harness.send_request(path, **headers)
    return status, body, loop.time() - started_at


async def assert_others_are_undisturbed(harness):
    """Send a request to another service; expect its response in the usual time."""
    status, body, elapsed_s = await send_timed(harness, "/help/", **USAGE)
    assert status == 200
    assert body.endswith(b"0\r\n\r\n")
    assert elapsed_s < USUAL_RESPONSE_S


async def assert_closed_by_gateway(engine):
    async with asyncio.timeout(2.0):
        while engine.closed < engine.opened:
            await asyncio.sleep(0.01)


@pytest.mark.anyio
@pytest.mark.parametrize("endless", ENDLESS, ids=str)
async def test_plain_request_fails_after_few_endless_bytes(harness, endless):
    engine = EndlessEngine("app-0", endless)
    await harness.start(engine, FakeEngine("decoder", "llm", "decode"))
    sent = asyncio.create_task(send_timed(harness, "/book/seat"))
    await assert_others_are_undisturbed(harness)
    status, _, elapsed_s = await sent
    assert status == 502
    assert elapsed_s < PLAIN_TIMEOUT_S
    await assert_closed_by_gateway(engine)
    body_bytes = 2 * MAX_RESPONSE_BODY_BYTES if endless in ENDLESS_BODIES else 0
    assert engine.sent_bytes < body_bytes + SOCKET_BUFFER_BYTES
    assert len(harness.read_log_lines("bytes_discarded")) <= MAX_DISCARD_REPORTS


@pytest.mark.anyio
@pytest.mark.parametrize("endless", ENDLESS, ids=str)
async def test_plain_request_fails_in_time_if_endless_bytes_are_slow(harness, endless):
    engine = EndlessEngine("app-0", endless, slow=True)
    await harness.start(engine, FakeEngine("decoder", "llm", "decode"))
    sent = asyncio.create_task(send_timed(harness, "/book/seat"))
    await assert_others_are_undisturbed(harness)
    status, _, elapsed_s = await sent
    assert status in (502, 504)
    assert elapsed_s < PLAIN_TIMEOUT_S + MARGIN_S
    await assert_closed_by_gateway(engine)


@pytest.mark.anyio
@pytest.mark.parametrize("endless", ENDLESS, ids=str)
async def test_safe_request_is_answered_by_another_engine(harness, endless):
    engine = EndlessEngine("app-0", endless)
    await harness.start(engine, FakeEngine("app-1"))
    for _ in range(3):
        status, _, elapsed_s = await send_timed(harness, "/look/seats")
        assert status == 200
        assert elapsed_s < PLAIN_TIMEOUT_S
    await assert_closed_by_gateway(engine)


@pytest.mark.anyio
async def test_endless_bodies_share_a_limit_of_memory(harness):
    engine = EndlessEngine("app-0", ENDLESS_BODIES[1])
    await harness.start(engine, FakeEngine("decoder", "llm", "decode"))
    budget = harness.daemon.clients.budget
    budget.limit_bytes = MAX_RESPONSE_BODY_BYTES // 2
    sent = [asyncio.create_task(send_timed(harness, "/book/seat")) for _ in range(8)]
    most_held = 0
    while not all(task.done() for task in sent):
        await asyncio.sleep(0)
        most_held = max(most_held, budget.held_bytes)
    assert 0 < most_held <= budget.limit_bytes
    assert {(await task)[0] for task in sent} <= {502, 504}
    await assert_others_are_undisturbed(harness)
    assert budget.held_bytes == 0
