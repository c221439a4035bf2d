"""The request path of an entry against sidecars that fail in chosen ways."""

import anyio
import attrs
import pytest

from entry_bench import FAR_S, TOKENS, fail_first, open_bench
from jasminewalk.exceptions import RefusedError
from jasminewalk.generated_codes import Code
from jasminewalk.generated_requests import RefusalBody
from jasminewalk.ingress.jobs import GenerationJob

pytestmark = pytest.mark.anyio


@pytest.fixture
async def bench():
    async with open_bench() as made:
        yield made


@pytest.mark.parametrize("token", range(len(TOKENS)))
async def test_answer_is_whole_after_a_crash_at_any_token(bench, token):
    fail_first(bench, cut_after=token)
    answer = await bench.generate()
    assert bench.sink.texts == TOKENS
    assert (answer.text, answer.end) == ("".join(TOKENS), "length")
    requests = [r for s in bench.sidecars.values() for r in s.requests]
    assert sorted((r.attempt, r.resume_from) for r in requests) == [
        (1, 0),
        (2, token),
    ]
    assert {r.resume_text for r in requests} == {"", "".join(TOKENS[:token])}


@pytest.mark.parametrize("token", [0, 3])
async def test_silent_connection_is_dropped_and_the_answer_resumed(bench, token):
    fail_first(bench, silent_after=token)
    await bench.generate()
    assert bench.sink.texts == TOKENS
    silent = next(s for s in bench.sidecars.values() if s.silent_after is not None)
    with anyio.fail_after(FAR_S):
        await silent.left.wait()
    assert bench.outcomes[0].startswith("ReadTimeout")
    assert bench.outcomes[1] == "ok"


async def test_answer_of_another_request_is_not_passed_on(bench):
    fail_first(bench, attempt_header=b"r0/1")
    await bench.generate()
    assert bench.sink.texts == TOKENS
    assert "another request" in bench.outcomes[0]


async def test_connections_are_kept_and_closed_once_the_peer_is_gone(bench):
    await bench.generate()
    (address,) = bench.connections.idle
    (kept,) = bench.connections.idle[address]
    await bench.connections.close_expired()
    assert list(bench.connections.idle[address]) == [kept]
    for sidecar in bench.sidecars.values():
        sidecar.server.stop()
    with anyio.fail_after(FAR_S):
        while bench.connections.idle:
            await bench.connections.close_expired()
            await anyio.sleep(0.01)
    assert kept.is_closed()


async def test_refused_everywhere_did_not_run_and_is_answered_at_once(bench):
    body = RefusalBody(
        code=Code.OVERLOADED, name="", message="", ran="not_run", retry_after_s=7.0
    )
    for sidecar in bench.sidecars.values():
        sidecar.refusal = body
    with pytest.raises(RefusedError) as caught:
        await bench.generate()
    assert caught.value.code == Code.OVERLOADED
    assert (caught.value.ran, caught.value.retry_after_s) == ("not_run", 7.0)
    assert all(len(s.requests) == 1 for s in bench.sidecars.values())


async def test_sidecar_that_is_gone_is_passed_over(bench):
    with anyio.fail_after(FAR_S):
        for name in ("e1", "e2"):
            bench.add(name, "127.0.0.1:1")
        bench.add("e3", bench.sidecars["e1"].server.address)
        answer = await bench.generate()
    assert answer.end == "length"
    assert bench.outcomes[-1] == "ok"


async def test_lost_answer_of_a_call_is_asked_for_again_with_the_same_key(bench):
    fail_first(bench, cut_after=0)
    attempt, reply = await bench.call()
    assert (attempt, reply.body) == (2, b"seat")
    calls = [r for s in bench.sidecars.values() for r in s.requests]
    assert {call.key for call in calls} == {"k"}


async def test_deadline_ends_a_request_honestly(bench):
    for sidecar in bench.sidecars.values():
        sidecar.silent_after = 2
    bench.dispatcher.progress_timeout_s = FAR_S
    profile = bench.profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + 0.3)
    job = GenerationJob(profile=profile, prompt="hi")
    with pytest.raises(RefusedError) as caught:
        await bench.dispatcher.generate(job, bench.sink)
    assert (caught.value.code, caught.value.ran) == (Code.DEADLINE_PASSED, "ran")
    assert bench.sink.texts == TOKENS[:2]
    assert bench.router.flights == {}


async def test_caller_who_does_not_read_is_given_up_at_the_deadline(bench, monkeypatch):
    async def write(attempt, texts):
        await anyio.sleep_forever()

    monkeypatch.setattr(bench.sink, "write", write)
    profile = bench.profile()
    profile = attrs.evolve(profile, deadline_s=profile.arrived_s + 0.2)
    with pytest.raises(RefusedError) as caught:
        await bench.dispatcher.generate(
            GenerationJob(profile=profile, prompt="hi"), bench.sink
        )
    assert caught.value.code == Code.DEADLINE_PASSED
    assert bench.router.flights == {}


async def test_leaving_caller_cancels_the_work(bench):
    for sidecar in bench.sidecars.values():
        sidecar.silent_after = 1
    bench.dispatcher.progress_timeout_s = FAR_S
    async with anyio.create_task_group() as group:
        group.start_soon(bench.generate)
        with anyio.fail_after(FAR_S):
            while not bench.sink.texts:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    busy = next(s for s in bench.sidecars.values() if s.requests)
    with anyio.fail_after(FAR_S):
        await busy.left.wait()
    assert bench.dispatcher.traces.get("r1").outcome == "caller_gone"
    assert bench.router.flights == {}
