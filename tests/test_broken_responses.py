"""Responses that break off, and those of the next engine, as processes relay them."""

import asyncio

import pytest

from platform_fakes import FakeEngine, FakeStore, build_event, configuration
from ports import allocate_port
from soak_callers import SoakCallers
from soak_processes import Gateway

pytestmark = pytest.mark.anyio

STARTUP_TIMEOUT_S = 10.0
ERROR_HEAD = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\nerror"
CHUNKED = b"transfer-encoding: chunked\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)


# Status, further header lines and body of the response to a stream that goes on.
SECOND_RESPONSES = {
    "error": (500, b"content-length: 14\r\n", b"engine failed\n"),
    "error_event": (500, CHUNKED, chunk(b"id: 2\ndata: boom\n\n")),
    "refusal": (
        503,
        b"x-jasminewalk-not-executed: 1\r\ncontent-length: 6\r\n",
        b"full\n\n",
    ),
    "event_without_id": (200, CHUNKED, chunk(b"event: e\ndata: err\n\n")),
    "text": (200, b"content-length: 15\r\n", b"engine failed\n\n"),
    "json": (200, b"content-length: 13\r\n", b'{"error":1}\n\n'),
    "head_in_the_body": (200, b"", ERROR_HEAD),
    "blank_head_in_the_body": (200, b"", ERROR_HEAD[:-5]),
    "id_that_is_no_number": (200, CHUNKED, chunk(b"id: x\ndata: err\n\n")),
    "event_out_of_order": (200, CHUNKED, chunk(b"id: 9\ndata: err\n\n")),
    "cut_head": (200, b"content-le", None),
}


class BreakingEngine(FakeEngine):
    """Engine that breaks off each stream, and responds as told to one that goes on.

    :param second: key of ``SECOND_RESPONSES``.
    """

    def __init__(self, engine_id, second):
        super().__init__(engine_id, "llm", "decode")
        self.second = SECOND_RESPONSES[second]
        self.resumed = 0
        self.behaviour = "break_off"

    async def break_off(self, connection, request, headers):
        if b"last-event-id" not in headers:
            await self.send_events(connection, headers, 1)
            connection.send_chunk(b"id: 2\nda")
            await asyncio.sleep(0.02)
            connection.abort()
            return
        self.resumed += 1
        status, lines, body = self.second
        send_raw(self, connection, headers, status, lines, body)


class CuttingEngine(FakeEngine):
    """Engine that stops after some bytes of its response.

    :param size: bytes of the response that it sends.
    :param resets: whether it resets the connection.
    """

    def __init__(self, engine_id, service, stage=""):
        super().__init__(engine_id, service, stage)
        self.behaviour = "cut"
        self.size = 0
        self.resets = False

    async def cut(self, connection, request, headers):
        body = b"served"
        if self.service == "llm":
            body = build_event(headers, 1) + build_event(headers, 2)
        lines = b"content-length: %d\r\n" % len(body)
        data = build_raw(self, headers, 200, lines, body)
        connection.response_started = connection.response_ended = True
        connection.transport.write(data[: self.size])
        if self.resets:
            connection.abort()
        else:
            connection.close()


def build_raw(engine, headers, status, lines, body):
    own = b"".join(b"%s: %s\r\n" % header for header in engine.build_headers(headers))
    end = b"" if body is None else b"\r\n" + body
    return b"HTTP/1.1 %d X\r\n" % status + own + lines + end


def send_raw(engine, connection, headers, status, lines, body):
    connection.response_started = connection.response_ended = True
    connection.transport.write(build_raw(engine, headers, status, lines, body))
    connection.close()


class GatewayProcess:
    """A gateway in a process of its own, the store and some engines."""

    def __init__(self, directory):
        self.store = FakeStore()
        self.directory = directory
        self.random = None
        self.gateway = None
        self.callers = SoakCallers(self)

    async def start(self, *engines):
        await self.store.start(allocate_port())
        self.store.put("keyed.op", "config", configuration())
        for engine in engines:
            await engine.start(allocate_port())
            self.store.put("keyed.servers", engine.engine_id, engine.entry())
        self.gateway = Gateway(
            "front-0", "127.0.0.2", self.directory, self.store.address
        )
        self.gateway.start()
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while (await self.send("/nowhere/")).status != 404:
                await asyncio.sleep(0.05)

    async def send(self, path):
        return await self.callers.send(self.gateway, path, b"", 2.5)

    def stop(self):
        if self.gateway is not None:
            self.gateway.kill()
            print((self.directory / "front-0.log").read_text(encoding="utf-8"))


@pytest.fixture
async def process(tmp_path):
    process = GatewayProcess(tmp_path)
    yield process
    process.stop()


@pytest.mark.parametrize("second", SECOND_RESPONSES)
async def test_nothing_of_another_response_gets_into_a_stream_that_has_begun(
    process, second
):
    engines = [BreakingEngine(f"llm-{number}", second) for number in range(2)]
    await process.start(*engines)
    # A gateway has no retries before it knows its peers.
    async with asyncio.timeout(STARTUP_TIMEOUT_S):
        while sum(engine.resumed for engine in engines) < 3:
            answer = await process.send("/verdict/x")
            name = answer.request_id.encode()
            assert answer.status == 200
            assert answer.body == build_event({b"x-jasminewalk-request-id": name}, 1)
            assert not answer.complete


class UnnumberedEngine(FakeEngine):
    """Engine that breaks off a stream whose events have no ids."""

    async def answer(self, connection, request, headers):
        connection.start_stream(200, self.build_headers(headers))
        connection.send_chunk(b": begins\n\ndata: a\n\ndata: b\n\n")
        await asyncio.sleep(0.02)
        connection.abort()


async def test_stream_without_ids_is_not_begun_again_by_another_engine(process):
    await process.start(*(UnnumberedEngine(f"llm-{n}", "llm") for n in range(2)))
    ends_at = asyncio.get_running_loop().time() + 4.0
    while asyncio.get_running_loop().time() < ends_at:
        answer = await process.send("/verdict/x")
        assert answer.body == b": begins\n\ndata: a\n\ndata: b\n\n"
        assert not answer.complete


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize(
    ("path", "service", "stage"),
    [("/book/x", "app", ""), ("/look/x", "app", ""), ("/help/x", "llm", "decode")],
)
async def test_response_cut_anywhere_never_looks_whole(
    process, path, service, stage, resets
):
    engine = CuttingEngine("engine-0", service, stage)
    engine.resets = resets
    await process.start(engine)
    headers = {b"x-jasminewalk-request-id": b"q99"}
    body = b"served" if service == "app" else build_event(headers, 1) * 2
    whole = len(
        build_raw(engine, headers, 200, b"content-length: %d\r\n" % len(body), body)
    )
    for size in range(0, whole - 8, 3):
        engine.size = size
        answer = await process.send(path)
        assert not (answer.status == 200 and answer.complete), size
