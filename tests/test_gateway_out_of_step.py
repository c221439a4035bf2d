"""Streams taken up at a gateway that has missed a new software version."""

import asyncio
import signal

import pytest

from versioned_engines import EVENT, EVENTS, VersionFleet

STREAMS = 24
HEADERS = {
    "X-Jasminewalk-Token-Usage": f"380,{EVENTS}",
    "X-Jasminewalk-Prompt-Prefix": "own:380",
}


@pytest.fixture
async def fleet(tmp_path):
    fleet = VersionFleet(tmp_path, {"v1": 3})
    await fleet.start()
    await fleet.wait_for_shares(["v1"])
    yield fleet
    for gateway in fleet.gateways:
        gateway.signal(signal.SIGCONT)
    fleet.stop()


async def begin_streams(fleet, gateways):
    """Begin streams that break off; return those of the new version, by their ids."""
    begun = {}
    for number in range(STREAMS):
        request_id = f"s{number}"
        gateway = gateways[number % len(gateways)]
        answer = await fleet.send(gateway, request_id, HEADERS)
        events = EVENT.findall(answer.body)
        if events and events[0][1] == b"v2" and not answer.complete:
            begun[request_id] = len(events)
    return begun


async def take_up(fleet, gateway, begun, named):
    """Take up streams at a gateway; return the versions at which they went on."""
    answers = await asyncio.gather(
        *(
            fleet.send(
                gateway,
                f"again-{request_id}",
                HEADERS
                | {"Last-Event-Id": events}
                | ({"Resumes": request_id} if named else {}),
            )
            for request_id, events in begun.items()
        )
    )
    return [
        {version for _, version in EVENT.findall(answer.body)} for answer in answers
    ]


@pytest.mark.anyio
@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize("trouble", ["stood still", "cut off", "cut off from all"])
async def test_stream_goes_on_at_no_other_version(fleet, named, trouble):
    # Guards against streams of a new version that a gateway which missed it goes on
    # with at the version that it knows.
    late, *others = fleet.gateways
    late.signal(signal.SIGSTOP)
    for number in range(3):
        await fleet.add_engine(f"new-{number}", "v2")
    await fleet.wait_for_shares(["v1", "v2"])
    for engine in fleet.engines:
        engine.breaks = lambda engine=engine: engine.version == "v2"
    begun = await begin_streams(fleet, others)
    assert len(begun) >= STREAMS / 4
    for engine in fleet.engines:
        engine.breaks = lambda: False
    if trouble != "stood still":
        # Nothing that the others say arrives.
        for gateway in others:
            gateway.signal(signal.SIGSTOP)
    if trouble == "cut off from all":
        fleet.store.down = True
    late.signal(signal.SIGCONT)
    versions = await take_up(fleet, late, begun, named)
    assert all(found <= {b"v2"} for found in versions)
    if trouble == "cut off" and named:
        assert versions.count({b"v2"}) >= 0.9 * len(begun)
