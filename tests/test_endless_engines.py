"""Tests of a gateway whose engines or store send bytes without end, on loopback."""

import asyncio

import pytest

from endless_peers import (
    ENDLESS_BODIES,
    ENDLESS_ERRORS,
    ENDLESS_EVENTS,
    ENDLESS_FOREIGN,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    PART_OF_STREAM,
    EndlessBytes,
    EndlessEngine,
    make_head,
)
from jasminewalk.gateway.stream_run import MAX_EXTRA_EVENTS
from jasminewalk.http1 import ExchangeBrokenError
from jasminewalk.http1.client import MAX_DISCARD_REPORTS
from jasminewalk.http1.exchange import MAX_RESPONSE_BODY_BYTES
from platform_fakes import FakeEngine
from ports import allocate_port
from test_gateway_daemon import LONG_PROMPT_HEADERS, GatewayHarness, make_llm_engines

# Bytes that the kernel and the transports of both sides may hold.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
# Timeouts of the routes for plain requests and for streams, and seconds allowed on top.
PLAIN_TIMEOUT_S = 0.9
STREAM_TIMEOUT_S = 2.0
MARGIN_S = 0.6
# Seconds within which callers of other engines get their responses.
USUAL_RESPONSE_S = 0.5
ENDLESS = ENDLESS_HEADS + ENDLESS_FRAMING + ENDLESS_FOREIGN + ENDLESS_BODIES
USAGE = {"x_jasminewalk_token_usage": "380,40"}


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


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
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize("endless", ENDLESS, ids=str)
async def test_safe_request_is_answered_by_another_engine(harness, endless, slow):
    engine = EndlessEngine("app-0", endless, slow=slow)
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


async def start_decoders(harness, endless, *, slow=False, others=()):
    """Start an engine that streams endlessly, and others that don't."""
    engine = EndlessEngine("decoder-0", endless, slow=slow, service="llm")
    engine.stage = "decode"
    await harness.start(engine, FakeEngine("app-0"), *others)
    return engine


async def assert_lookups_are_undisturbed(harness):
    status, _, elapsed_s = await send_timed(harness, "/look/seats")
    assert status == 200
    assert elapsed_s < USUAL_RESPONSE_S


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize(
    "endless",
    [*ENDLESS_HEADS, *ENDLESS_FRAMING, *ENDLESS_FOREIGN, *ENDLESS_EVENTS[:2]],
    ids=str,
)
async def test_endless_bytes_before_the_first_event_fail_a_stream(
    harness, endless, slow
):
    engine = await start_decoders(harness, endless, slow=slow)
    sent = asyncio.create_task(send_timed(harness, "/help/", **USAGE))
    await assert_lookups_are_undisturbed(harness)
    status, _, elapsed_s = await sent
    assert status in ((502, 504) if slow else (502,))
    assert elapsed_s < STREAM_TIMEOUT_S + MARGIN_S
    await assert_closed_by_gateway(engine)
    assert engine.sent_bytes < SOCKET_BUFFER_BYTES


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize(
    "endless",
    [
        *ENDLESS_EVENTS[2:],
        EndlessBytes("part", PART_OF_STREAM, b"x"),
        EndlessBytes("ids", make_head() + b"\r\nid: 1\ndata: x\n\n", b"id: 1\n\n"),
    ],
    ids=str,
)
async def test_stream_without_end_never_looks_complete(harness, endless, slow):
    engine = await start_decoders(harness, endless, slow=slow)
    sent = asyncio.create_task(send_timed(harness, "/help/", **USAGE))
    await assert_lookups_are_undisturbed(harness)
    try:
        status, body, elapsed_s = await sent
    except ConnectionResetError:
        pass
    else:
        assert status != 200 or not body.endswith(b"0\r\n\r\n")
        assert elapsed_s < STREAM_TIMEOUT_S + MARGIN_S
    await assert_closed_by_gateway(engine)
    assert engine.sent_bytes < 2 * MAX_RESPONSE_BODY_BYTES + SOCKET_BUFFER_BYTES


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize(
    "endless",
    [EndlessBytes("part", PART_OF_STREAM, b"x"), *ENDLESS_ERRORS],
    ids=str,
)
async def test_stream_without_end_is_resumed_on_another_engine(harness, endless, slow):
    engine = await start_decoders(
        harness, endless, slow=slow, others=make_llm_engines()
    )
    for _ in range(3):
        status, body, elapsed_s = await send_timed(harness, "/verdict/", **USAGE)
        assert status == 200
        assert body.count(b"data: ") == 3
        assert body.endswith(b"0\r\n\r\n")
        assert elapsed_s < STREAM_TIMEOUT_S
    assert engine.requests
    await assert_closed_by_gateway(engine)


class LongEventEngine(FakeEngine):
    """Engine that sends 384 events of 32 KiB at once."""

    async def send_events(self, connection, headers, count):
        connection.start_stream(200, self.build_headers(headers))
        for number in range(1, 385):
            data = b"x" * 32 * 1024
            connection.send_chunk(b"id: %d\ndata: %s\n\n" % (number, data))


@pytest.mark.anyio
async def test_stream_to_a_slow_caller_waits_in_the_engine(harness):
    await harness.start(LongEventEngine("decoder", "llm", "decode"), FakeEngine("app"))
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.front_port)
    usage = {"x_jasminewalk_token_usage": "380,400", "connection": "close"}
    writer.write(harness.build_request("/help/", **usage))
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(0.5)
    await assert_lookups_are_undisturbed(harness)
    (connection,) = harness.daemon.caller_server.connections
    assert connection.transport.get_write_buffer_size() < 1024 * 1024
    assert harness.daemon.clients.budget.held_bytes < 1024 * 1024
    async with asyncio.timeout(STREAM_TIMEOUT_S):
        body = await reader.read()
    writer.close()
    assert body.count(b"id: ") == 384
    assert body.endswith(b"0\r\n\r\n")


@pytest.mark.anyio
async def test_stream_to_a_caller_that_never_reads_ends_in_time(harness):
    await harness.start(LongEventEngine("decoder", "llm", "decode"))
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.front_port)
    usage = {"x_jasminewalk_token_usage": "380,400"}
    writer.write(harness.build_request("/help/", **usage))
    await reader.readuntil(b"\r\n\r\n")
    async with asyncio.timeout(STREAM_TIMEOUT_S + MARGIN_S):
        while harness.daemon.caller_server.connections:
            await asyncio.sleep(0.01)
    assert harness.read_log_lines("stream_cut")
    writer.close()


@pytest.mark.anyio
async def test_more_events_than_tokens_are_not_relayed(harness):
    engine = await start_decoders(harness, ENDLESS_EVENTS[0])
    events = [b"id: %d\ndata: x\n\n" % number for number in range(1, 1001)]
    engine.endless = EndlessBytes(
        "events", make_head() + b"\r\n" + b"".join(events), b"\n"
    )
    _, body, elapsed_s = await send_timed(harness, "/help/", **USAGE)
    assert 40 <= body.count(b"data: x") <= 40 + MAX_EXTRA_EVENTS
    assert not body.endswith(b"0\r\n\r\n")
    assert elapsed_s < USUAL_RESPONSE_S
    await assert_closed_by_gateway(engine)


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize(
    "endless",
    ENDLESS,
    ids=str,
)
async def test_prefill_without_end_is_followed_by_another_placement(
    harness, endless, slow
):
    prefiller = EndlessEngine("prefiller", endless, slow=slow, service="llm")
    prefiller.stage = "prefill"
    await harness.start(prefiller, *make_llm_engines()[1:], FakeEngine("app-0"))
    sent = asyncio.create_task(send_timed(harness, "/verdict/", **LONG_PROMPT_HEADERS))
    await assert_lookups_are_undisturbed(harness)
    status, body, elapsed_s = await sent
    assert prefiller.requests
    if slow:
        assert status in (200, 503)
        assert elapsed_s < STREAM_TIMEOUT_S + MARGIN_S
    else:
        assert status == 200
        assert body.count(b"data: token") == 3
    await assert_closed_by_gateway(prefiller)
    assert prefiller.sent_bytes < SOCKET_BUFFER_BYTES


@pytest.mark.anyio
@pytest.mark.parametrize("slow", [False, True])
@pytest.mark.parametrize(
    "endless",
    [
        *ENDLESS_HEADS,
        *ENDLESS_FRAMING,
        ENDLESS_FOREIGN[0],
        *ENDLESS_BODIES,
    ],
    ids=str,
)
async def test_control_call_without_end_fails_in_time(harness, endless, slow):
    engine = EndlessEngine("app-0", endless, slow=slow)
    engine.endless_paths = b"/-/"
    await harness.start(engine, FakeEngine("decoder", "llm", "decode"))
    target = harness.daemon.fleet.engines["app-0"]
    call = asyncio.create_task(
        harness.daemon.clients.call(target, b"GET", b"/-/report", (), b"", 0.5)
    )
    await assert_others_are_undisturbed(harness)
    with pytest.raises((ExchangeBrokenError, TimeoutError)):
        async with asyncio.timeout(0.5 + MARGIN_S):
            await call
    await assert_closed_by_gateway(engine)
    assert engine.sent_bytes < SOCKET_BUFFER_BYTES


@pytest.mark.anyio
@pytest.mark.parametrize("of_gateway", [False, True])
async def test_only_requests_that_no_gateway_sent_are_not_counted(of_gateway):
    engine = EndlessEngine("app-0", ENDLESS_HEADS[0])
    await engine.start(allocate_port())
    host, _, port = engine.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    named = "X-Jasminewalk-Expect-Instance: app-0\r\n" if of_gateway else ""
    writer.write(f"GET /health HTTP/1.1\r\n{named}\r\n".encode())
    await reader.read()
    writer.close()
    if of_gateway:
        with pytest.raises(TimeoutError):
            await assert_closed_by_gateway(engine)
    else:
        await assert_closed_by_gateway(engine)
    engine.server.close()


class TalkativeEngine(FakeEngine):
    """Engine that goes on to send bytes after its response was complete."""

    closed = False

    async def answer(self, connection, request, headers):
        await super().answer(connection, request, headers)
        connection._write = lambda data: None
        self.task = asyncio.create_task(self.send_on(connection))

    async def send_on(self, connection):
        await asyncio.sleep(0.05)
        while not connection.transport.is_closing():
            connection.transport.write(b"x" * 1024)
            await asyncio.sleep(0.01)
        self.closed = True


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/book/seat", "/help/"])
async def test_idle_connection_with_bytes_without_end_is_closed(harness, path):
    engines = [TalkativeEngine("app-0"), TalkativeEngine("decoder", "llm", "decode")]
    await harness.start(*engines)
    for _ in range(2):
        status, _, elapsed_s = await send_timed(harness, path, **USAGE)
        assert status == 200
        assert elapsed_s < USUAL_RESPONSE_S
        await asyncio.sleep(0.2)
    assert any(engine.closed for engine in engines)
