"""Answers with neither a length nor chunks, which end with their connection."""

import socket
import struct

import msgspec
import pytest

from jasminewalk.generated_requests import Frame
from jasminewalk.interfaces import ServiceRequest
from jasminewalk.scheduling._response_assembler import ResponseAssembler
from jasminewalk.sidecars.engine_client import HttpEngine
from jasminewalk.sidecars.service_client import HttpService
from jasminewalk.transport._http import open_http_pool
from platform_fakes import FakeEngine, build_event
from raw_server import RawServer
from test_gateway_daemon import GatewayHarness
from test_standins import make_request

pytestmark = pytest.mark.anyio

LAST_CHUNK = b"0\r\n\r\n"


class UnframedEngine(FakeEngine):
    """Engine whose answers end with their connection.

    :param rest: bytes of a stream after its events.
    :param events: events of a stream.
    :param ends: whether the engine's process ends with its first answer.
    """

    def __init__(self, engine_id, service, rest=b"", events=3, ends=False):
        super().__init__(engine_id, service, "decode" if service == "llm" else "")
        self.behaviour = "answer_unframed"
        self.rest = rest
        self.events = events
        self.ends = ends

    async def answer_unframed(self, connection, request, headers):
        body = b"served by " + request.body
        if self.service == "llm":
            first = int(headers.get(b"last-event-id", b"0")) + 1
            numbers = range(first, self.events + 1)
            body = b"".join(build_event(headers, number) for number in numbers)
            body += self.rest
        lines = [b"%s: %s\r\n" % header for header in self.build_headers(headers)]
        connection.response_started = connection.response_ended = True
        if self.ends:
            self.server.stop_listening()
        connection.transport.write(
            b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\n" + body
        )
        connection.close()


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


async def test_stream_that_ends_after_an_event_is_whole(harness):
    await harness.start(UnframedEngine("decoder-1", "llm"))
    status, _, body = await harness.send_request("/help/x")
    assert (status, body.count(b"data: token"), body.endswith(LAST_CHUNK)) == (
        200,
        3,
        True,
    )


@pytest.mark.parametrize("rest", [b"id: 4\nda", b"id: 4\ndata: token 4\n"])
async def test_stream_that_ends_inside_an_event_is_broken_off(harness, rest):
    await harness.start(UnframedEngine("decoder-1", "llm", rest))
    status, _, body = await harness.send_request("/help/x")
    assert (status, body.count(b"data: token"), body.endswith(LAST_CHUNK)) == (
        200,
        3,
        False,
    )


async def test_stream_that_ends_inside_an_event_is_resumed(harness):
    broken = UnframedEngine("decoder-1", "llm", b"id: 3\nda", events=2)
    whole = FakeEngine("decoder-2", "llm", "decode")
    await harness.start(broken, whole)
    while not broken.requests:
        status, _, body = await harness.send_request("/verdict/x")
    assert (status, body.count(b"data: token"), body.endswith(LAST_CHUNK)) == (
        200,
        3,
        True,
    )


async def test_stream_without_any_event_is_broken_off(harness):
    await harness.start(UnframedEngine("decoder-1", "llm", events=0))
    assert (await harness.send_request("/help/x"))[0] == 502


async def test_stream_whose_engine_ended_is_broken_off(harness):
    await harness.start(UnframedEngine("decoder-1", "llm", ends=True))
    status, _, body = await harness.send_request("/help/x")
    assert (status, body.endswith(LAST_CHUNK)) == (200, False)


async def test_plain_answer_that_ends_with_its_connection_is_whole(harness):
    await harness.start(UnframedEngine("app-0", "app"))
    status, _, body = await harness.send_request("/book/x", b"a")
    assert (status, body) == (200, b"served by a")


async def test_plain_answer_whose_engine_ended_is_not_relayed(harness):
    await harness.start(UnframedEngine("app-0", "app", ends=True))
    assert (await harness.send_request("/book/x"))[0] == 502


async def test_last_plain_answer_of_an_engine_without_an_entry_is_relayed(harness):
    engine = UnframedEngine("app-0", "app", ends=True)
    await harness.start(engine)
    # The gateway goes on using it for a moment.
    harness.daemon.fleet.engines["app-0"].expires_at = harness.daemon.clock() + 60
    status, _, body = await harness.send_request("/book/x", b"a")
    assert (status, body) == (200, b"served by a")


# The product's own stack.


class UnframedServer(RawServer):
    """Server that sends a body without a length, then ends or resets the connection."""

    def __init__(self, body, reset=False):
        super().__init__(self.send_body)
        self.body = body
        self.reset = reset

    async def send_body(self, request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + self.body)
        await writer.drain()
        if self.reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        raise ConnectionError


def encode_frames(count, end=""):
    frames = [Frame(n=number, t=f"t{number}") for number in range(count)]
    if end:
        frames.append(Frame(n=count, t=f"t{count}", end=end))
    return b"".join(msgspec.json.encode(frame) + b"\n" for frame in frames)


async def read_generation(server):
    """Return what an entry makes of the frames that an engine sends its sidecar."""
    assembler = ResponseAssembler(max_tokens=20)
    assembler.start_attempt(1)
    async with server.serve(), open_http_pool() as pool:
        engine = HttpEngine(pool, server.address)
        async for data in engine.generate(make_request(request_id="r1")):
            assembler.feed_lines(1, data)
    return assembler


async def test_generation_that_ends_with_its_connection_is_whole():
    assembler = await read_generation(UnframedServer(encode_frames(3, end="stop")))
    assert (assembler.texts, assembler.finish_reason) == (
        ["t0", "t1", "t2", "t3"],
        "stop",
    )


@pytest.mark.parametrize("cut_bytes", [1, 5])
async def test_generation_that_ends_inside_a_frame_is_not_finished(cut_bytes):
    frames = encode_frames(3, end="stop")[:-cut_bytes]
    assembler = await read_generation(UnframedServer(frames))
    assert (assembler.texts, assembler.finish_reason) == (["t0", "t1", "t2"], "")


async def test_service_response_that_ends_with_its_connection_is_whole():
    server = UnframedServer(b"booked")
    async with server.serve(), open_http_pool() as pool:
        service = HttpService(pool, server.address)
        response = await service.call(
            ServiceRequest(method="GET", path="/", headers=[], body=b"")
        )
    assert (response.status, response.body) == (200, b"booked")


async def test_service_response_that_is_reset_fails():
    server = UnframedServer(b"boo", reset=True)
    async with server.serve(), open_http_pool() as pool:
        service = HttpService(pool, server.address)
        with pytest.raises(OSError):
            await service.call(
                ServiceRequest(method="GET", path="/", headers=[], body=b"")
            )
