"""End-to-end tests of an entry with all parts of the system in one process."""

import json
import random
from types import SimpleNamespace

import anyio
import attrs
import openai
import pytest
from hypothesis import given, settings, strategies as st

from fleet import FLEET, ORGANISATION, TEMPLATE
from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.demo.deployment import (
    DeploymentPlan,
    EndpointPlan,
    EntryPlan,
    run_embedded_deployment,
)
from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError
from jasminewalk.generated_messages import Leaving, LoadReport
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.generated_settings import PeerSettings
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.ingress.entry import EntryDaemon
from jasminewalk.ingress.entry_peers import RecordBuffer
from jasminewalk.interfaces import LogEntry
from jasminewalk.transport._http import open_http_pool
from jasminewalk.transport.codec import MessageCodec, encode_record

pytestmark = pytest.mark.anyio

TEST_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.01
DECODE_STEP_S = 0.004
MESSAGES = [{"role": "user", "content": "Is 94 degrees too hot? " * 8}]


def make_plan():
    model = EngineModelSettings(
        models=["tutor"],
        prefill_tokens_per_s=200000,
        decode_step_s=DECODE_STEP_S,
        decode_step_per_stream_s=0.0,
        report_lag_s=0.0,
    )
    endpoints = [
        EndpointPlan(
            name=f"tutor-{index}", pool="tutor", failure_domain="a", engine=model
        )
        for index in range(2)
    ]
    endpoints += [
        EndpointPlan(name=f"desk-{index}", pool="enrolment", failure_domain="a")
        for index in range(2)
    ]
    return DeploymentPlan(
        entries=[
            EntryPlan(name=f"entry-{index}", failure_domain="a") for index in range(2)
        ],
        endpoints=endpoints,
        peers=PeerSettings(shared_key="0123456789abcdef", heartbeat_s=0.2),
        progress_timeout_s=1.0,
    )


async def publish_configuration(deployment, pool):
    log = HttpLog(pool, deployment.log.address, TEST_TIMEOUT_S)
    documents = {
        "fleet/default": FLEET,
        "template/school": TEMPLATE,
        "organisation/school": ORGANISATION,
    }
    for subject, document in documents.items():
        record = ConfigurationRecord(
            record_id=subject,
            subject=subject,
            base_revision=0,
            document=json.dumps(document),
        )
        await log.append(encode_record(record))
    await deployment.wait_for_organisation("school")
    await deployment.wait_until_usable()


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def pool(anyio_backend):
    async with open_http_pool() as connection_pool:
        yield connection_pool


@pytest.fixture(scope="module")
async def shared_deployment(pool):
    async with run_embedded_deployment(make_plan()) as deployment:
        await publish_configuration(deployment, pool)
        yield deployment


@pytest.fixture
async def deployment(shared_deployment):
    """Return the shared deployment without faults, traces or recorded calls."""
    for standin in shared_deployment.back_ends:
        set_faults(standin)
    set_faults(shared_deployment.log)
    with anyio.fail_after(TEST_TIMEOUT_S):
        await shared_deployment.wait_until_usable()
        for entry in shared_deployment.entries.values():
            entry.traces.traces.clear()
            while not entry.follower.is_reachable or entry.router.in_flight_requests:
                await anyio.sleep(POLL_INTERVAL_S)
    for service in shared_deployment.services.values():
        service.runs.clear()
    return shared_deployment


@pytest.fixture
async def private_deployment(pool):
    """Start a deployment whose parts the test may stop."""
    async with run_embedded_deployment(make_plan()) as deployment:
        await publish_configuration(deployment, pool)
        yield deployment


def set_faults(standin, **faults):
    previous = standin.faults
    standin.faults = type(previous)(**faults)
    standin.on_faults_changed(previous)


@pytest.fixture
def entry(deployment):
    return deployment.entries["entry-0"]


@pytest.fixture
async def client(entry):
    async with make_client(entry) as openai_client:
        yield openai_client


def make_client(entry):
    base_url = f"http://{entry.address}/organisations/school/v1"
    return openai.AsyncOpenAI(
        base_url=base_url, api_key="none", max_retries=0, timeout=TEST_TIMEOUT_S
    )


async def wait_until(condition):
    with anyio.fail_after(TEST_TIMEOUT_S):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_S)


def find_busy_engine(deployment):
    """Return an engine that is generating a response, or None."""
    for engine in deployment.engines.values():
        if engine.model.state(engine.clock.monotonic()).running:
            return engine
    return None


def count_streaming(deployment):
    """Return how many responses the first entry is streaming."""
    traces = deployment.entries["entry-0"].traces.traces.values()
    return sum(
        not trace.outcome and trace.attempts[-1].first_token_s is not None
        for trace in traces
    )


async def collect_chunks(client, **options):
    try:
        stream = await client.chat.completions.create(
            model="tutor", messages=MESSAGES, stream=True, **options
        )
        return [chunk async for chunk in stream]
    except openai.APIConnectionError as error:
        # The libraries hide the error of the system.
        cause = error
        while cause := cause.__cause__ or cause.__context__:
            error.add_note(f"from {cause!r}")
        raise


def join_text(chunks):
    return "".join(
        chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
    )


async def test_openai_client_gets_complete_and_streamed_responses(client, entry):
    complete = await client.chat.completions.create(
        model="tutor", messages=MESSAGES, max_tokens=20
    )
    chunks = await collect_chunks(
        client, max_tokens=20, stream_options={"include_usage": True}
    )
    assert join_text(chunks) == complete.choices[0].message.content
    assert chunks[-1].usage.completion_tokens == complete.usage.completion_tokens
    assert chunks[-2].choices[0].finish_reason == complete.choices[0].finish_reason
    text = await client.completions.create(model="tutor", prompt="Hi", max_tokens=4)
    assert text.choices[0].text
    models = await client.models.list()
    assert [model.id for model in models.data] == ["tutor"]
    with pytest.raises(openai.NotFoundError) as raised:
        await client.chat.completions.create(model="other", messages=MESSAGES)
    assert raised.value.code == "unknown_model"
    raw_response = await client.chat.completions.with_raw_response.create(
        model="tutor", messages=MESSAGES, max_tokens=2
    )
    trace = entry.get_trace(raw_response.headers["request-id"])
    assert trace.outcome == "ok"
    assert trace.attempts[0].endpoint in entry.membership.members


async def test_streams_resume_after_an_engine_crash(deployment, client):
    expected = join_text(await collect_chunks(client, max_tokens=300))
    responses = []

    async def collect_response():
        responses.append(join_text(await collect_chunks(client, max_tokens=300)))

    async with anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(collect_response)
        await wait_until(lambda: count_streaming(deployment) == 4)
        set_faults(find_busy_engine(deployment), crashed=True)
    assert responses == [expected] * 4
    traces = deployment.entries["entry-0"].traces.traces.values()
    assert any(attempt.resume_from for trace in traces for attempt in trace.attempts)


async def test_open_stream_finishes_during_entry_shutdown(private_deployment):
    deployment = private_deployment
    entry = deployment.entries["entry-0"]
    responses = []

    async def collect_response():
        responses.append(await collect_chunks(client, max_tokens=300))

    async with make_client(entry) as client, anyio.create_task_group() as group:
        group.start_soon(collect_response)
        await wait_until(lambda: find_busy_engine(deployment))
        entry.stop()
    assert responses[0][-1].choices[0].finish_reason in ("stop", "length")
    await wait_until(deployment.ended_events[id(entry)].is_set)


async def test_draining_endpoint_finishes_streams_and_gets_no_new_requests(
    private_deployment,
):
    deployment = private_deployment
    responses = []

    async def collect_response():
        responses.append(join_text(await collect_chunks(client, max_tokens=300)))

    entry = deployment.entries["entry-0"]
    async with make_client(entry) as client, anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(collect_response)
        await wait_until(lambda: find_busy_engine(deployment))
        name = next(
            name
            for name, engine in deployment.engines.items()
            if engine is find_busy_engine(deployment)
        )
        sidecar = deployment.sidecars[name]
        sidecar.stop()
        await wait_until(
            lambda: all(
                name
                not in daemon.membership.list_usable(daemon.clock.monotonic(), "tutor")
                for daemon in deployment.entries.values()
            )
        )
        await collect_response()
    assert len(set(responses)) == 1
    assert len(responses) == 5
    failed = [
        f"{trace.request_id} {attempt}"
        for entry in deployment.entries.values()
        for trace in entry.traces.traces.values()
        for attempt in trace.attempts
        if attempt.outcome != "ok"
    ]
    assert not failed, "attempts that are not ok: " + "; ".join(failed)


async def test_caller_disconnect_frees_the_engine(deployment, entry):
    body = json.dumps(
        {
            "model": "tutor",
            "messages": MESSAGES,
            "max_tokens": 5000,
            "stream": True,
        }
    ).encode()
    head = (
        b"POST /organisations/school/v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        b"deadline-ms: 60000\r\ncontent-length: %d\r\n\r\n" % len(body)
    )
    host, port = entry.address.split(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(head + body)
        await stream.receive()
        assert find_busy_engine(deployment)
    await wait_until(lambda: not find_busy_engine(deployment))
    await wait_until(lambda: not entry.router.in_flight_requests)
    outcomes = {trace.outcome for trace in entry.traces.traces.values()}
    assert outcomes == {"caller_gone"}


@pytest.mark.parametrize("lost_responses", [0, 1])
async def test_call_with_the_same_key_through_two_entries_runs_once(
    deployment, pool, lost_responses
):
    for service in deployment.services.values():
        set_faults(service, lose_answers=lost_responses)
    key = f"seat-{lost_responses}"
    responses = []

    async def book(entry):
        url = f"http://{entry.address}/organisations/school/services/enrolment/seats"
        headers = [("idempotency-key", key)]
        responses.append(await pool.request("POST", url, headers=headers, content=b"x"))

    async with anyio.create_task_group() as group:
        for entry in deployment.entries.values():
            group.start_soon(book, entry)
    await book(deployment.entries["entry-1"])
    runs = [back_end.runs.get(key, 0) for back_end in deployment.services.values()]
    assert sum(runs) == 1
    statuses = {response.status for response in responses}
    bodies = {response.content for response in responses}
    if lost_responses:
        assert statuses == {409}
        assert {json.loads(body)["ran"] for body in bodies} == {"unknown"}
    else:
        assert statuses == {200}, bodies
        assert len(bodies) == 1


async def test_configuration_stays_in_force_during_a_log_outage(
    deployment, client, pool, entry
):
    set_faults(deployment.log, outage=True)
    await wait_until(lambda: not entry.follower.is_reachable)
    await wait_until(lambda: not entry.is_log_reachable())
    assert join_text(await collect_chunks(client, max_tokens=5))
    url = f"http://{entry.address}/organisations/school/services/enrolment"
    lookup = await pool.request("GET", f"{url}/seats")
    assert lookup.status == 200
    booking = await pool.request("POST", f"{url}/seats")
    assert json.loads(booking.content)["code"] == 1306
    assert json.loads(booking.content)["ran"] == "not_run"
    assert booking.headers
    assert (
        sum(sum(service.runs.values()) for service in deployment.services.values()) == 1
    )


async def test_new_entry_gets_configuration_whose_records_expired(pool):
    plan = attrs.evolve(make_plan(), retention_s=3.0)
    async with (
        anyio.create_task_group() as group,
        run_embedded_deployment(plan) as deployment,
    ):
        await publish_configuration(deployment, pool)
        log = HttpLog(pool, deployment.log.address, TEST_TIMEOUT_S)
        revision = deployment.entries["entry-0"].configuration.revision
        with anyio.fail_after(TEST_TIMEOUT_S):
            while (await log.read(1, 1)).first <= revision:
                await anyio.sleep(0.1)
        new_entry_plan = EntryPlan(name="entry-new", failure_domain="a")
        await deployment.start_entry(group, new_entry_plan)
        await deployment.wait_for_organisation("school")
        entry = deployment.entries["entry-new"]
        assert entry.configuration.revision == revision
        await wait_until(lambda: deployment.can_use_all_endpoints(entry))
        async with make_client(entry) as client:
            assert join_text(await collect_chunks(client, max_tokens=3))


async def test_silent_control_channel_is_replaced(deployment, entry):
    silent_channel = entry.sidecar_channels.channels["tutor-0"]
    silent_channel.cancel_scope.cancel()
    await wait_until(
        lambda: (
            entry.sidecar_channels.channels.get("tutor-0") not in (None, silent_channel)
        )
    )
    await wait_until(lambda: deployment.can_use_all_endpoints(entry))


async def test_one_lost_log_response_is_not_an_outage(entry, clock):
    new_entry = EntryDaemon(entry.settings, clock=clock)
    assert not new_entry.is_log_reachable()
    new_entry.follower = SimpleNamespace(
        is_reachable=False, last_read_s=clock.monotonic()
    )
    clock.advance(1.9)
    assert new_entry.is_log_reachable()
    clock.advance(0.2)
    assert not new_entry.is_log_reachable()


async def test_entry_keeps_serving_after_random_bytes_on_its_sockets(
    deployment, client, entry
):
    rng = random.Random(7)
    for address in (entry.address, entry.control_address):
        host, port = address.split(":")
        for size in (1, 100, 70000):
            with anyio.move_on_after(TEST_TIMEOUT_S):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    try:
                        await stream.send(rng.randbytes(size) + b"\r\n\r\n")
                        await stream.send_eof()
                        while True:
                            await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                        pass
    assert join_text(await collect_chunks(client, max_tokens=3))


async def test_operator_paths_respond(entry, pool):
    for path, status in [
        ("/healthz", 200),
        ("/readyz", 200),
        ("/metrics", 200),
        ("/status", 200),
        ("/explain/none", 404),
    ]:
        response = await pool.request("GET", f"http://{entry.control_address}{path}")
        assert response.status == status


async def test_entry_without_configuration_refuses_requests(entry, pool, monkeypatch):
    monkeypatch.setattr(entry.follower, "ready", anyio.Event())
    url = f"http://{entry.address}/organisations/school/v1/models"
    response = await pool.request("GET", url)
    assert (response.status, json.loads(response.content)["code"]) == (503, 1305)


@given(
    st.lists(st.tuples(st.integers(1, 12), st.binary(max_size=4)), max_size=20),
    st.integers(0, 14),
)
@settings(derandomize=True, deadline=None)
def test_record_feed_has_no_gap(entries, offset):
    buffer = RecordBuffer(max_bytes=20)
    for start, data in entries:
        buffer.extend([LogEntry(start, data)])
    feed = buffer.build_feed(offset)
    if feed is not None:
        assert feed.first_offset == offset
        assert offset + len(feed.records) <= feed.tail == buffer.next_offset
    assert sum(map(len, buffer.records)) <= 20


@given(st.binary(max_size=200), st.booleans())
@settings(derandomize=True, deadline=None)
def test_invalid_peer_messages_are_rejected(data, authenticated):
    codec = MessageCodec("0123456789abcdef")
    if authenticated:
        data = codec.compute_tag(data) + data
    with pytest.raises((BadMessageError, UnauthenticatedPeerError)):
        codec.decode(data)


async def test_messages_about_another_endpoint_than_the_sender_are_ignored(entry):
    previous = entry.membership.members["tutor-0"].report
    forged = Leaving(endpoint="tutor-0", incarnation=previous.incarnation, reason="x")
    envelope = type("Envelope", (), {"sender": "tutor-1", "message": forged})
    entry.on_message(envelope, None)
    member = entry.membership.members["tutor-0"]
    assert not entry.membership.is_leaving(entry.clock.monotonic(), member)
    assert isinstance(member.report, LoadReport)
