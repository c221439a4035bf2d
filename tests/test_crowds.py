"""A gateway process before crowds of callers that nobody controls."""

import asyncio

import pytest

from crowds import CrowdedFleet

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
