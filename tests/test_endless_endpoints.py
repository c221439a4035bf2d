"""Clients of a peer that sends bytes until the connection is closed."""

import contextlib
import itertools

import anyio
import attrs
import msgspec
import pytest

from dispatch_harness import PROGRESS_TIMEOUT_S, TOKENS, DispatchHarness
from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.generated_requests import Frame
from jasminewalk.ingress.jobs import GenerationJob
from jasminewalk.interfaces import ServiceRequest
from jasminewalk.loads.load import LoadDriver
from jasminewalk.sidecars.engine_client import HttpEngine
from jasminewalk.sidecars.service_client import HttpService
from jasminewalk.transport._http import open_http_pool
from jasminewalk.transport._http_call import call
from raw_server import EndlessServer, RawServer, build_response
from test_load import PLAN
from test_sidecar_streams import make_runner
from test_standins import make_request

pytestmark = pytest.mark.anyio

TIMEOUT_S = 30.0
SHORT_TIMEOUT_S = 0.5
MAX_BYTES = 1 << 20
BLOCK = b"a" * 65536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 102 Processing\r\nx: " + b"a" * 1000 + b"\r\n\r\n"
# Sent bytes may wait in the buffers of both sockets.
SOCKET_BUFFERS_BYTES = 16 << 20
ENDLESS_BODIES = {
    "length": (OK + b"content-length: 999999999999\r\n\r\n", BLOCK),
    "until close": (OK + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
}


@pytest.fixture
async def pool():
    async with open_http_pool() as pool:
        yield pool


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
async def test_body_is_given_up_at_its_limit(pool, kind):
    async with EndlessServer(*ENDLESS_BODIES[kind]).serve() as server:
        with pytest.raises(OSError, match="too large"):
            await call(
                pool,
                "GET",
                server.address,
                "/",
                timeout_s=TIMEOUT_S,
                max_bytes=MAX_BYTES,
            )
        assert server.sent_bytes < MAX_BYTES + SOCKET_BUFFERS_BYTES


async def test_body_of_the_largest_size_is_read(pool):
    async def respond(request, writer):
        writer.write(build_response(b"a" * MAX_BYTES))

    async with RawServer(respond).serve() as server:
        response = await call(
            pool, "GET", server.address, "/", timeout_s=TIMEOUT_S, max_bytes=MAX_BYTES
        )
        assert len(response.body) == MAX_BYTES


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (OK + b"x: ", BLOCK),
        (OK, b"x: a\r\n" * 10_000),
        (CHUNKED + b"1;", BLOCK),
        (CHUNKED + b"0\r\n", b"x: a\r\n" * 10_000),
    ],
    ids=["header line", "headers", "chunk extension", "trailers"],
)
async def test_head_and_framing_are_given_up_at_their_limit(pool, start, piece):
    async with EndlessServer(start, piece).serve() as server:
        with pytest.raises(OSError, match="too long"):
            await call(pool, "GET", server.address, "/", timeout_s=TIMEOUT_S)
        assert server.sent_bytes < SOCKET_BUFFERS_BYTES


async def test_interim_responses_are_given_up_at_the_timeout(pool):
    async with EndlessServer(b"", INTERIM_RESPONSE * 64).serve() as server:
        with pytest.raises(TimeoutError):
            await call(pool, "GET", server.address, "/", timeout_s=SHORT_TIMEOUT_S)


async def test_other_tasks_run_while_many_interim_responses_arrive(pool):
    async def respond(request, writer):
        writer.write(INTERIM_RESPONSE * 1000 + build_response(b""))

    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await anyio.sleep(0)
            turns += 1

    async with RawServer(respond).serve() as server, anyio.create_task_group() as group:
        group.start_soon(count_turns)
        await call(pool, "GET", server.address, "/", timeout_s=TIMEOUT_S)
        group.cancel_scope.cancel()
    assert turns >= 100


async def test_service_response_without_end_is_lost(pool):
    async with EndlessServer(*ENDLESS_BODIES["chunks"]).serve() as server:
        service = HttpService(pool, server.address)
        request = ServiceRequest(method="GET", path="/", headers=[], body=b"", key="k")
        with pytest.raises(OSError, match="too large") as caught:
            await service.call(request)
        assert not isinstance(caught.value, ConnectionError)


async def test_page_of_the_log_without_end_is_unavailable(pool, monkeypatch):
    monkeypatch.setattr("jasminewalk.agreement.log_client.MAX_PAGE_BYTES", MAX_BYTES)
    async with EndlessServer(*ENDLESS_BODIES["chunks"]).serve() as server:
        log = HttpLog(pool, server.address, TIMEOUT_S)
        with pytest.raises(LogUnavailableError, match="too large"):
            await log.read(1, 10)


async def test_error_of_an_engine_without_end_is_given_up(pool):
    start = CHUNKED.replace(b"200 OK", b"500 Broken")
    async with EndlessServer(start, b"10000\r\n" + BLOCK + b"\r\n").serve() as server:
        engine = HttpEngine(pool, server.address)
        with anyio.fail_after(TIMEOUT_S), pytest.raises(OSError, match="too large"):
            await anext(engine.generate(make_request()))
        assert server.sent_bytes < SOCKET_BUFFERS_BYTES


@pytest.mark.parametrize(
    ("status", "streamed"),
    [(b"200 OK", False), (b"500 Broken", False), (b"200 OK", True)],
    ids=["response", "error", "line of a stream"],
)
async def test_load_generator_gives_a_response_up_at_its_limit(pool, status, streamed):
    start = OK.replace(b"200 OK", status) + b"\r\n"
    driver = LoadDriver(PLAN, pool, print)
    async with EndlessServer(start, BLOCK).serve() as server:
        due = next(driver.schedule.generate_requests())
        request = attrs.evolve(due, address=server.address, streamed=streamed)
        with anyio.fail_after(PLAN.kinds[request.kind].deadline_s):
            await driver.send_request(request)
        assert driver.tally.totals["failed"] == 1
        assert server.sent_bytes < (32 << 20) + SOCKET_BUFFERS_BYTES


STREAM_START = CHUNKED.replace(OK, OK + b"jasminewalk-attempt: r1/1\r\n")
COMPLETE_STREAM = b"".join(
    msgspec.json.encode(
        Frame(n=n, t=text, end="length" if n == len(TOKENS) - 1 else "")
    )
    + b"\n"
    for n, text in enumerate(TOKENS)
)


def build_chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


@contextlib.asynccontextmanager
async def open_entry(server):
    """Dispatcher whose only sidecar is a raw server."""
    harness = DispatchHarness()
    async with anyio.create_task_group() as group, server.serve():
        group.start_soon(harness.connections.run)
        harness.add_endpoint("e1", server.address)
        yield harness
        await harness.connections.aclose()
        group.cancel_scope.cancel()


async def generate(harness, deadline_s):
    profile = harness.make_profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + deadline_s)
    job = GenerationJob(profile=profile, prompt="hi")
    return await harness.dispatcher.generate(job, harness.sink)


@pytest.mark.parametrize("trailing", [b"{}\n", b"\n" * 65536], ids=["frames", "lines"])
async def test_bytes_after_the_last_frame_do_not_hold_up_the_response(trailing):
    server = EndlessServer(
        STREAM_START + build_chunk(COMPLETE_STREAM), build_chunk(trailing)
    )
    async with open_entry(server) as harness:
        assembler = await generate(harness, deadline_s=3.0)
        assert (harness.sink.texts, assembler.finish_reason) == (TOKENS, "length")
        assert harness.outcomes == ["ok"]
        assert not harness.connections.idle


async def test_silence_after_the_last_frame_does_not_fail_the_attempt():
    async def respond(request, writer):
        writer.write(STREAM_START + build_chunk(COMPLETE_STREAM))
        await anyio.sleep(PROGRESS_TIMEOUT_S * 4)

    async with open_entry(RawServer(respond)) as harness:
        await generate(harness, deadline_s=3.0)
        assert harness.sink.texts == TOKENS
        assert harness.outcomes == ["ok"]


async def test_tokens_beyond_the_maximum_are_not_forwarded():
    async def respond(request, writer):
        writer.write(STREAM_START)
        for n in itertools.count():
            frame = msgspec.json.encode(Frame(n=n, t=f" t{n}"))
            writer.write(build_chunk(frame + b"\n"))
            await writer.drain()

    async with open_entry(RawServer(respond)) as harness:
        assembler = await generate(harness, deadline_s=3.0)
        assert (harness.sink.texts, assembler.finish_reason) == (TOKENS, "length")
        assert harness.outcomes == ["ok"]


async def test_engine_that_sends_only_interim_responses_is_stalled(pool):
    async with EndlessServer(b"", INTERIM_RESPONSE).serve() as server:
        runner = make_runner(HttpEngine(pool, server.address), SHORT_TIMEOUT_S)
        sent = []

        async def send(message):
            sent.append(message)

        async def run_ticks():
            while True:
                await runner.tick()
                await anyio.sleep(SHORT_TIMEOUT_S / 10)

        async with anyio.create_task_group() as group:
            group.start_soon(run_ticks)
            with anyio.fail_after(SHORT_TIMEOUT_S * 20):
                await runner.handle(make_request(), anyio.sleep_forever, send)
            group.cancel_scope.cancel()
        assert b'"code":1407' in b"".join(message.get("body", b"") for message in sent)
