"""The whole path in one process, seen by callers over loopback."""

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
    embedded_deployment,
)
from jasminewalk.exceptions import BadMessageError, UnauthenticatedPeerError
from jasminewalk.generated_messages import Leaving, LoadReport
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.generated_settings import PeerSettings
from jasminewalk.generated_standins import EngineModelSettings
from jasminewalk.ingress.entry import EntryDaemon
from jasminewalk.ingress.entry_peers import RecordBuffer
from jasminewalk.interfaces import LogEntry
from jasminewalk.transport._http import http_client
from jasminewalk.transport.codec import MessageCodec, encode_record

pytestmark = pytest.mark.anyio

BOUND_S = 60.0
POLL_S = 0.01
DECODE_STEP_S = 0.004
QUESTION = [{"role": "user", "content": "Is 94 degrees too hot? " * 8}]


def plan():
    model = EngineModelSettings(
        models=["tutor"],
        prefill_tokens_per_s=200000,
        decode_step_s=DECODE_STEP_S,
        decode_step_per_stream_s=0.0,
        report_lag_s=0.0,
    )
    endpoints = [
        EndpointPlan(name=f"tutor-{n}", pool="tutor", failure_domain="a", engine=model)
        for n in range(2)
    ]
    endpoints += [
        EndpointPlan(name=f"desk-{n}", pool="enrolment", failure_domain="a")
        for n in range(2)
    ]
    return DeploymentPlan(
        entries=[EntryPlan(name=f"entry-{n}", failure_domain="a") for n in range(2)],
        endpoints=endpoints,
        peers=PeerSettings(shared_key="0123456789abcdef", heartbeat_s=0.2),
        progress_timeout_s=1.0,
    )


async def publish(deployment, pool):
    log = HttpLog(pool, deployment.log.address, BOUND_S)
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
    await deployment.wait_organisation("school")
    await deployment.wait_usable()


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@pytest.fixture(scope="module")
async def pool(anyio_backend):
    async with http_client() as made:
        yield made


@pytest.fixture(scope="module")
async def shared_deployment(pool):
    async with embedded_deployment(plan()) as made:
        await publish(made, pool)
        yield made


@pytest.fixture
async def deployment(shared_deployment):
    """A deployment whose parts all run, without faults or memory."""
    for standin in shared_deployment.back_ends:
        set_faults(standin)
    set_faults(shared_deployment.log)
    with anyio.fail_after(BOUND_S):
        await shared_deployment.wait_usable()
        for entry in shared_deployment.entries.values():
            entry.traces.traces.clear()
            while not entry.follower.reachable or entry.router.flights:
                await anyio.sleep(POLL_S)
    for service in shared_deployment.services.values():
        service.runs.clear()
    return shared_deployment


@pytest.fixture
async def own_deployment(pool):
    """A deployment whose parts a test may stop."""
    async with embedded_deployment(plan()) as made:
        await publish(made, pool)
        yield made


def set_faults(standin, **faults):
    before = standin.faults
    standin.faults = type(before)(**faults)
    standin.on_faults(before)


@pytest.fixture
def entry(deployment):
    return deployment.entries["entry-0"]


@pytest.fixture
async def client(entry):
    async with client_of(entry) as made:
        yield made


def client_of(entry):
    base_url = f"http://{entry.address}/organisations/school/v1"
    return openai.AsyncOpenAI(
        base_url=base_url, api_key="none", max_retries=0, timeout=BOUND_S
    )


async def until(condition):
    with anyio.fail_after(BOUND_S):
        while not condition():
            await anyio.sleep(POLL_S)


def busy_engine(deployment):
    """Return the engine that streams, if any does."""
    for engine in deployment.engines.values():
        if engine.model.state(engine.clock.monotonic()).running:
            return engine
    return None


def streaming(deployment):
    """Return how many answers have begun and not ended at the first entry."""
    traces = deployment.entries["entry-0"].traces.traces.values()
    return sum(
        not trace.outcome and trace.attempts[-1].first_token_s is not None
        for trace in traces
    )


async def stream_text(client, **fields):
    stream = await client.chat.completions.create(
        model="tutor", messages=QUESTION, stream=True, **fields
    )
    return [chunk async for chunk in stream]


def text_of(chunks):
    return "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)


async def test_off_the_shelf_client_gets_whole_and_streamed_answers(client, entry):
    whole = await client.chat.completions.create(
        model="tutor", messages=QUESTION, max_tokens=20
    )
    chunks = await stream_text(
        client, max_tokens=20, stream_options={"include_usage": True}
    )
    assert text_of(chunks) == whole.choices[0].message.content
    assert chunks[-1].usage.completion_tokens == whole.usage.completion_tokens
    assert chunks[-2].choices[0].finish_reason == whole.choices[0].finish_reason
    text = await client.completions.create(model="tutor", prompt="Hi", max_tokens=4)
    assert text.choices[0].text
    models = await client.models.list()
    assert [model.id for model in models.data] == ["tutor"]
    with pytest.raises(openai.NotFoundError) as caught:
        await client.chat.completions.create(model="other", messages=QUESTION)
    assert caught.value.code == "unknown_model"
    raw = await client.chat.completions.with_raw_response.create(
        model="tutor", messages=QUESTION, max_tokens=2
    )
    trace = entry.explain(raw.headers["request-id"])
    assert trace.outcome == "ok"
    assert trace.attempts[0].endpoint in entry.membership.members


async def test_streams_survive_the_crash_of_their_engine(deployment, client):
    expected = text_of(await stream_text(client, max_tokens=300))
    answers = []

    async def ask():
        answers.append(text_of(await stream_text(client, max_tokens=300)))

    async with anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(ask)
        await until(lambda: streaming(deployment) == 4)
        set_faults(busy_engine(deployment), crashed=True)
    assert answers == [expected] * 4
    traces = deployment.entries["entry-0"].traces.traces.values()
    assert any(attempt.resume_from for t in traces for attempt in t.attempts)


async def test_stream_goes_on_while_its_entry_shuts_down(own_deployment):
    deployment = own_deployment
    entry = deployment.entries["entry-0"]
    answers = []

    async def ask():
        answers.append(await stream_text(client, max_tokens=300))

    async with client_of(entry) as client, anyio.create_task_group() as group:
        group.start_soon(ask)
        await until(lambda: busy_engine(deployment))
        entry.stop()
    assert answers[0][-1].choices[0].finish_reason in ("stop", "length")
    await until(deployment.ended[id(entry)].is_set)


async def test_drained_endpoint_finishes_and_gets_no_new_work(own_deployment):
    deployment = own_deployment
    answers = []

    async def ask():
        answers.append(text_of(await stream_text(client, max_tokens=300)))

    entry = deployment.entries["entry-0"]
    async with client_of(entry) as client, anyio.create_task_group() as group:
        for _ in range(4):
            group.start_soon(ask)
        await until(lambda: busy_engine(deployment))
        name = next(
            name
            for name, engine in deployment.engines.items()
            if engine is busy_engine(deployment)
        )
        sidecar = deployment.sidecars[name]
        sidecar.stop()
        await until(
            lambda: all(
                name not in e.membership.usable(e.clock.monotonic(), "tutor")
                for e in deployment.entries.values()
            )
        )
        await ask()
    assert len(set(answers)) == 1
    assert len(answers) == 5
    for entry in deployment.entries.values():
        for trace in entry.traces.traces.values():
            assert all(a.outcome == "ok" for a in trace.attempts), trace


async def test_leaving_caller_frees_the_engine(deployment, entry):
    body = json.dumps(
        {
            "model": "tutor",
            "messages": QUESTION,
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
        assert busy_engine(deployment)
    await until(lambda: not busy_engine(deployment))
    await until(lambda: not entry.router.flights)
    outcomes = {trace.outcome for trace in entry.traces.traces.values()}
    assert outcomes == {"caller_gone"}


@pytest.mark.parametrize("lost", [0, 1])
async def test_booking_runs_once_through_both_entries(deployment, pool, lost):
    for service in deployment.services.values():
        set_faults(service, lose_answers=lost)
    key = f"seat-{lost}"
    answers = []

    async def book(entry):
        url = f"http://{entry.address}/organisations/school/services/enrolment/seats"
        headers = [("idempotency-key", key)]
        answers.append(await pool.request("POST", url, headers=headers, content=b"x"))

    async with anyio.create_task_group() as group:
        for entry in deployment.entries.values():
            group.start_soon(book, entry)
    await book(deployment.entries["entry-1"])
    runs = [s.runs.get(key, 0) for s in deployment.services.values()]
    assert sum(runs) == 1
    statuses = {answer.status for answer in answers}
    bodies = {answer.content for answer in answers}
    if lost:
        assert statuses == {409}
        assert {json.loads(body)["ran"] for body in bodies} == {"unknown"}
    else:
        assert statuses == {200}, bodies
        assert len(bodies) == 1


async def test_configuration_stays_in_force_in_an_outage_of_the_log(
    deployment, client, pool, entry
):
    set_faults(deployment.log, outage=True)
    await until(lambda: not entry.follower.reachable)
    await until(lambda: not entry.is_log_reachable())
    assert text_of(await stream_text(client, max_tokens=5))
    url = f"http://{entry.address}/organisations/school/services/enrolment"
    look_up = await pool.request("GET", f"{url}/seats")
    assert look_up.status == 200
    booking = await pool.request("POST", f"{url}/seats")
    assert json.loads(booking.content)["code"] == 1306
    assert json.loads(booking.content)["ran"] == "not_run"
    assert booking.headers
    assert sum(sum(s.runs.values()) for s in deployment.services.values()) == 1


async def test_new_entry_knows_the_configuration_after_its_records_expired(pool):
    short = attrs.evolve(plan(), retention_s=3.0)
    async with (
        anyio.create_task_group() as group,
        embedded_deployment(short) as deployment,
    ):
        await publish(deployment, pool)
        log = HttpLog(pool, deployment.log.address, BOUND_S)
        revision = deployment.entries["entry-0"].configuration.revision
        with anyio.fail_after(BOUND_S):
            while (await log.read(1, 1)).first <= revision:
                await anyio.sleep(0.1)
        newcomer = EntryPlan(name="entry-new", failure_domain="a")
        await deployment.start_entry(group, newcomer)
        await deployment.wait_organisation("school")
        entry = deployment.entries["entry-new"]
        assert entry.configuration.revision == revision
        await until(lambda: deployment.sees_all(entry))
        async with client_of(entry) as client:
            assert text_of(await stream_text(client, max_tokens=3))


async def test_silent_control_channel_is_replaced(deployment, entry):
    silent = entry.links.links["tutor-0"]
    silent.scope.cancel()
    await until(lambda: entry.links.links.get("tutor-0") not in (None, silent))
    await until(lambda: deployment.sees_all(entry))


async def test_one_lost_answer_of_the_log_is_no_outage(entry, clock):
    lone = EntryDaemon(entry.settings, clock=clock)
    assert not lone.is_log_reachable()
    lone.follower = SimpleNamespace(reachable=False, last_read_s=clock.monotonic())
    clock.advance(1.9)
    assert lone.is_log_reachable()
    clock.advance(0.2)
    assert not lone.is_log_reachable()


async def test_garbage_on_the_sockets_leaves_the_entry_serving(
    deployment, client, entry
):
    rng = random.Random(7)
    for address in (entry.address, entry.control_address):
        host, port = address.split(":")
        for size in (1, 100, 70000):
            with anyio.move_on_after(BOUND_S):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    try:
                        await stream.send(rng.randbytes(size) + b"\r\n\r\n")
                        await stream.send_eof()
                        while True:
                            await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                        pass
    assert text_of(await stream_text(client, max_tokens=3))


async def test_operators_pages(entry, pool):
    for path, status in [
        ("/healthz", 200),
        ("/readyz", 200),
        ("/metrics", 200),
        ("/status", 200),
        ("/explain/none", 404),
    ]:
        answer = await pool.request("GET", f"http://{entry.control_address}{path}")
        assert answer.status == status


async def test_entry_that_is_not_ready_refuses_at_once(entry, pool, monkeypatch):
    monkeypatch.setattr(entry.follower, "ready", anyio.Event())
    url = f"http://{entry.address}/organisations/school/v1/models"
    answer = await pool.request("GET", url)
    assert (answer.status, json.loads(answer.content)["code"]) == (503, 1305)


@given(
    st.lists(st.tuples(st.integers(1, 12), st.binary(max_size=4)), max_size=20),
    st.integers(0, 14),
)
@settings(derandomize=True, deadline=None)
def test_record_feed_has_no_gap(entries, offset):
    buffer = RecordBuffer(max_bytes=20)
    for start, data in entries:
        buffer.extend([LogEntry(start, data)])
    feed = buffer.feed(offset)
    if feed is not None:
        assert feed.first_offset == offset
        assert offset + len(feed.records) <= feed.tail == buffer.next_offset
    assert sum(map(len, buffer.records)) <= 20


@given(st.binary(max_size=200), st.booleans())
@settings(derandomize=True, deadline=None)
def test_bytes_of_a_stranger_are_dropped_and_counted(data, seal):
    codec = MessageCodec("0123456789abcdef")
    if seal:
        data = codec.tag(data) + data
    with pytest.raises((BadMessageError, UnauthenticatedPeerError)):
        codec.open(data)


async def test_messages_about_another_endpoint_than_the_sender_are_ignored(entry):
    before = entry.membership.members["tutor-0"].report
    forged = Leaving(endpoint="tutor-0", incarnation=before.incarnation, reason="x")
    envelope = type("Envelope", (), {"sender": "tutor-1", "message": forged})
    entry.on_message(envelope, None)
    member = entry.membership.members["tutor-0"]
    assert not entry.membership.is_leaving(entry.clock.monotonic(), member)
    assert isinstance(member.report, LoadReport)
