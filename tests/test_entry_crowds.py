"""An entry process before crowds of callers that nobody controls."""

import asyncio

import pytest

from entry_crowds import LARGE_BYTES, MAX_BODY_BYTES, SERVICE_PATH, CrowdedEntry

# Callers of a crowd, and descriptors that an entry may keep of one that has left.
COUNTS = {
    "small_chunks": 40,
    "large_chunks": 60,
    "pipelined": 100,
    "pipelined_heads": 100,
    "unread_answer": 60,
    "unread_stream": 40,
}
KEPT_DESCRIPTORS = 20
LEAVING_TRIES = 100


@pytest.fixture
async def fleet(tmp_path):
    fleet = CrowdedEntry(tmp_path)
    yield fleet
    fleet.stop()


@pytest.mark.anyio
@pytest.mark.parametrize(
    "crowd",
    [
        "small_chunks",
        "large_chunks",
        "pipelined",
        "pipelined_heads",
        "unread_answer",
        "unread_stream",
        "large_chunks+unread_answer",
        "pipelined_heads+large_chunks",
    ],
)
async def test_entry_outlasts_a_crowd_within_its_memory(fleet, crowd):
    await fleet.start()
    descriptors = fleet.count_descriptors()
    kinds = crowd.split("+")
    await asyncio.gather(*(fleet.send_crowd(kind, COUNTS[kind]) for kind in kinds))
    fleet.check()
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


@pytest.mark.anyio
@pytest.mark.parametrize("size", [MAX_BODY_BYTES, LARGE_BYTES, 1])
async def test_single_request_within_the_limits_is_served(fleet, size):
    await fleet.start()
    reader, writer = await asyncio.open_connection(*fleet.address)
    writer.write(fleet.build_head("GET", f"{SERVICE_PATH}/rooms", b"%d" % size))
    writer.write(b"x" * size)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split()[0])
    assert len(await reader.readexactly(length)) > size
    writer.close()
    fleet.check()
