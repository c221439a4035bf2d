"""Tests of requests to sidecars that crash, stall or refuse."""

import anyio
import attrs
import pytest

from dispatch_harness import (
    LONG_TIMEOUT_S,
    TOKENS,
    inject_faults_into_first,
    open_harness,
)
from jasminewalk.exceptions import RefusedError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.ingress.jobs import GenerationJob

pytestmark = pytest.mark.anyio


@pytest.fixture
async def harness():
    async with open_harness() as harness:
        yield harness


@pytest.mark.parametrize("token", range(len(TOKENS)))
async def test_response_is_complete_after_a_crash_at_any_token(harness, token):
    inject_faults_into_first(harness, crash_at_token=token)
    response = await harness.generate()
    assert harness.sink.texts == TOKENS
    assert (response.text, response.finish_reason) == ("".join(TOKENS), "length")
    requests = [
        request for sidecar in harness.sidecars.values() for request in sidecar.requests
    ]
    assert sorted((request.attempt, request.resume_from) for request in requests) == [
        (1, 0),
        (2, token),
    ]
    assert {request.resume_text for request in requests} == {
        "",
        "".join(TOKENS[:token]),
    }


@pytest.mark.parametrize("token", [0, 3])
async def test_silent_connection_is_closed_and_the_response_resumed(harness, token):
    inject_faults_into_first(harness, stall_at_token=token)
    await harness.generate()
    assert harness.sink.texts == TOKENS
    stalled = next(
        sidecar
        for sidecar in harness.sidecars.values()
        if sidecar.stall_at_token is not None
    )
    with anyio.fail_after(LONG_TIMEOUT_S):
        await stalled.disconnected.wait()
    assert harness.outcomes[0].startswith("ReadTimeout")
    assert harness.outcomes[1] == "ok"


async def test_response_to_another_request_is_discarded(harness):
    inject_faults_into_first(harness, attempt_header=b"r0/1")
    await harness.generate()
    assert harness.sink.texts == TOKENS
    assert "another request" in harness.outcomes[0]


async def test_idle_connections_are_kept_until_the_peer_closes_them(harness):
    await harness.generate()
    (address,) = harness.connections.idle
    (idle,) = harness.connections.idle[address]
    connection = idle.connection
    await harness.connections.close_expired()
    assert list(harness.connections.idle[address]) == [idle]
    for sidecar in harness.sidecars.values():
        sidecar.server.stop()
    with anyio.fail_after(LONG_TIMEOUT_S):
        while harness.connections.idle:
            await harness.connections.close_expired()
            await anyio.sleep(0.01)
    assert connection.is_closed()


async def test_request_refused_by_every_sidecar_is_reported_as_not_run(harness):
    body = RefusalBody(
        code=Code.OVERLOADED, name="", message="", ran="not_run", retry_after_s=7.0
    )
    for sidecar in harness.sidecars.values():
        sidecar.refusal = body
    with pytest.raises(RefusedError) as raised:
        await harness.generate()
    assert raised.value.code == Code.OVERLOADED
    assert (raised.value.ran, raised.value.retry_after_s) == ("not_run", 7.0)
    assert all(len(fake.requests) == 1 for fake in harness.sidecars.values())


async def test_unreachable_sidecars_are_skipped(harness):
    with anyio.fail_after(LONG_TIMEOUT_S):
        for name in ("e1", "e2"):
            harness.add_endpoint(name, "127.0.0.1:1")
        harness.add_endpoint("e3", harness.sidecars["e1"].server.address)
        response = await harness.generate()
    assert response.finish_reason == "length"
    assert harness.outcomes[-1] == "ok"


async def test_call_is_retried_with_the_same_key_after_a_lost_reply(harness):
    inject_faults_into_first(harness, crash_at_token=0)
    attempt, reply = await harness.call()
    assert (attempt, reply.body) == (2, b"seat")
    calls = [
        request for sidecar in harness.sidecars.values() for request in sidecar.requests
    ]
    assert {call.key for call in calls} == {"k"}


async def test_request_past_its_deadline_is_reported_as_run(harness):
    for sidecar in harness.sidecars.values():
        sidecar.stall_at_token = 2
    harness.dispatcher.progress_timeout_s = LONG_TIMEOUT_S
    profile = harness.make_profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + 0.3)
    job = GenerationJob(profile=profile, prompt="hi")
    with pytest.raises(RefusedError) as raised:
        await harness.dispatcher.generate(job, harness.sink)
    assert (raised.value.code, raised.value.ran) == (Code.DEADLINE_PASSED, "ran")
    assert harness.sink.texts == TOKENS[:2]
    assert harness.router.in_flight_requests == {}


async def test_request_of_a_caller_that_does_not_read_ends_at_the_deadline(
    harness, monkeypatch
):
    async def write(attempt, texts):
        await anyio.sleep_forever()

    monkeypatch.setattr(harness.sink, "write", write)
    profile = harness.make_profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + 0.2)
    with pytest.raises(RefusedError) as raised:
        await harness.dispatcher.generate(
            GenerationJob(profile=profile, prompt="hi"), harness.sink
        )
    assert raised.value.code == Code.DEADLINE_PASSED
    assert harness.router.in_flight_requests == {}


async def test_caller_disconnect_cancels_the_request(harness):
    for sidecar in harness.sidecars.values():
        sidecar.stall_at_token = 1
    harness.dispatcher.progress_timeout_s = LONG_TIMEOUT_S
    async with anyio.create_task_group() as group:
        group.start_soon(harness.generate)
        with anyio.fail_after(LONG_TIMEOUT_S):
            while not harness.sink.texts:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    busy = next(fake for fake in harness.sidecars.values() if fake.requests)
    with anyio.fail_after(LONG_TIMEOUT_S):
        await busy.disconnected.wait()
    assert harness.dispatcher.traces.get("r1").outcome == "caller_gone"
    assert harness.router.in_flight_requests == {}
