"""A gateway process before crowds of callers that nobody controls."""

import asyncio

import pytest

from crowds import LARGE_BYTES, CrowdedFleet

# Callers of a crowd, and descriptors that a gateway may keep of one that has left.
COUNTS = {
    "small_chunks": 40,
    "large_chunks": 40,
    "pipelined": 150,
    "unread_answer": 40,
    "unread_stream": 40,
}
KEPT_DESCRIPTORS = 20
LEAVING_TRIES = 100


@pytest.fixture
async def fleet(tmp_path):
    fleet = CrowdedFleet(tmp_path)
    yield fleet
    fleet.stop()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "crowd",
    [
        "small_chunks",
        "large_chunks",
        "pipelined",
        "unread_answer",
        "unread_stream",
        "small_chunks+unread_answer",
        "large_chunks+pipelined",
        "pipelined+unread_answer",
        "unread_stream+small_chunks",
    ],
)
async def test_gateway_outlasts_a_crowd_within_its_memory(fleet, crowd):
    await fleet.start()
    descriptors = fleet.count_descriptors()
    kinds = crowd.split("+")
    await asyncio.gather(*(fleet.send_crowd(kind, COUNTS[kind]) for kind in kinds))
    fleet.check()
    await fleet.wait_for_engines()
    await fleet.check_ordinary_caller()
    fleet.check()
    fleet.leave()
    await fleet.check_ordinary_caller()
    for _ in range(LEAVING_TRIES):
        if fleet.count_descriptors() <= descriptors + KEPT_DESCRIPTORS:
            break
        await asyncio.sleep(0.1)
    assert fleet.count_descriptors() <= descriptors + KEPT_DESCRIPTORS
    fleet.check()


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length: ")[1].split()[0])
    return int(head.split()[1]), await reader.readexactly(size)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("chunk_bytes", "body_bytes"), [(65536, 4 * 1024 * 1024), (3, 60_000), (1, 20_000)]
)
async def test_single_body_within_the_limits_is_served(fleet, chunk_bytes, body_bytes):
    await fleet.start()
    reader, writer = await asyncio.open_connection(
        fleet.gateway.ip, fleet.gateway.front
    )
    writer.write(fleet.build_head("/look/x", "large"))
    whole, rest = divmod(body_bytes, chunk_bytes)
    for size in [chunk_bytes] * whole + [rest] * bool(rest):
        writer.write(b"%x\r\n%s\r\n" % (size, b"x" * size))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    status, body = await read_response(reader)
    assert (status, len(body)) == (200, len(b"served by ") + body_bytes)
    writer.close()
    fleet.check()


@pytest.mark.anyio
async def test_single_long_answer_and_pipelined_requests_are_served(fleet):
    await fleet.start()
    reader, writer = await asyncio.open_connection(
        fleet.gateway.ip, fleet.gateway.front
    )
    for number in range(100):
        path = "/look/large" if number == 50 else "/look/x"
        writer.write(fleet.build_head(path, f"p{number}", b"0"))
    for number in range(100):
        status, body = await read_response(reader)
        assert status == 200
        assert (len(body) == LARGE_BYTES) == (number == 50)
    writer.close()
    fleet.check()
