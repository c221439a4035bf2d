"""Tests of each client against its stand-in, with injected faults.

A client has to distinguish requests that were not sent, requests whose response was
lost, and requests that were refused.
"""

import contextlib

import anyio
import httpcore
import msgspec
import pytest

from jasminewalk.agreement.log_client import HttpLog
from jasminewalk.exceptions import (
    LogUnavailableError,
    OrderRefusedError,
    StaleFencingNumberError,
)
from jasminewalk.generated_requests import (
    EngineOrder,
    Frame,
    GenerateRequest,
    Instance,
)
from jasminewalk.generated_standins import (
    StandinEngineSettings,
    StandinInstancesSettings,
    StandinLogSettings,
    StandinServiceSettings,
    StandinWeightsSettings,
)
from jasminewalk.interfaces import ServiceRequest
from jasminewalk.sidecars.engine_client import HttpEngine
from jasminewalk.sidecars.service_client import HttpService
from jasminewalk.sidecars.weights_client import HttpWeightStore
from jasminewalk.standins.engine_model import (
    EngineModelSettings,
    compute_output_length,
    compute_token_text,
)
from jasminewalk.standins.standin_engine import StandinEngine
from jasminewalk.standins.standin_instances import StandinInstances
from jasminewalk.standins.standin_log import StandinLog
from jasminewalk.standins.standin_service import StandinService
from jasminewalk.standins.standin_weights import StandinWeights
from jasminewalk.transport._http import open_http_pool
from jasminewalk.transport._http_call import NotSentError, call
from jasminewalk.transport.instances_client import HttpInstanceList

pytestmark = pytest.mark.anyio

LONG_TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 0.2
FAST_ENGINE = EngineModelSettings(
    decode_step_s=0.001,
    role_change_s=0.2,
    model_load_s=0.0,
    report_lag_s=0.0,
    event_lag_s=0.0,
)


@contextlib.asynccontextmanager
async def run_standin(standin):
    async with anyio.create_task_group() as group, open_http_pool() as pool:
        group.start_soon(standin.run)
        await standin.wait_started()
        yield pool
        standin.stop()


async def set_faults(pool, standin, **faults):
    body = msgspec.json.encode(faults)
    response = await call(
        pool, "PUT", standin.address, "/faults", body=body, timeout_s=LONG_TIMEOUT_S
    )
    assert response.status == 200


async def get_counts(pool, standin):
    response = await call(
        pool, "GET", standin.address, "/counts", timeout_s=LONG_TIMEOUT_S
    )
    return msgspec.json.decode(response.body)


def make_request(**changes):
    values = {
        "request_id": "r",
        "attempt": 1,
        "organisation": "o",
        "request_class": "c",
        "model": "m",
        "prompt": "How long?",
        "prompt_tokens": 10,
        "max_tokens": 30,
        "deadline_s": 10.0,
        **changes,
    }
    return GenerateRequest(**values)


async def collect_frames(engine, request):
    data = b"".join([chunk async for chunk in engine.generate(request)])
    return [msgspec.json.decode(line, type=Frame) for line in data.splitlines()]


async def test_log_reads_pages_and_waits_for_new_records():
    standin = StandinLog(StandinLogSettings())
    async with run_standin(standin) as pool:
        log = HttpLog(pool, standin.address, LONG_TIMEOUT_S)
        assert [await log.append(data) for data in (b"a", b"b", b"c")] == [1, 2, 3]
        page = await log.read(2, 1)
        assert [(entry.offset, entry.data) for entry in page.entries] == [(2, b"b")]
        assert (page.first, page.tail) == (1, 4)
        async with anyio.create_task_group() as group:
            group.start_soon(log.append, b"d")
            page = await log.read(4, 10, wait_s=LONG_TIMEOUT_S)
        assert page.entries[0].data == b"d"


async def test_log_drops_expired_records_and_limits_appends(clock):
    settings = StandinLogSettings(retention_s=10, appends_per_s=1, append_burst=2)
    standin = StandinLog(settings, clock=clock)
    async with run_standin(standin) as pool:
        log = HttpLog(pool, standin.address, LONG_TIMEOUT_S)
        await log.append(b"a")
        await log.append(b"b")
        with pytest.raises(LogUnavailableError, match="budget"):
            await log.append(b"c")
        clock.advance(11)
        page = await log.read(1, 10)
        assert (page.entries, page.first, page.tail) == ([], 3, 3)


@pytest.mark.parametrize(
    ("faults", "appended"),
    [({"outage": True}, 0), ({"lose_answers": 1}, 1), ({"late_appends": 1}, 0)],
)
async def test_failed_log_append_may_still_be_stored(faults, appended):
    standin = StandinLog(StandinLogSettings())
    async with run_standin(standin) as pool:
        log = HttpLog(pool, standin.address, LONG_TIMEOUT_S)
        await set_faults(pool, standin, late_s=SHORT_TIMEOUT_S, **faults)
        with pytest.raises(LogUnavailableError):
            await log.append(b"a")
        assert (await get_counts(pool, standin))["appends"] == appended
        await set_faults(pool, standin, outage=False)
        page = await log.read(1, 1, wait_s=0 if "outage" in faults else LONG_TIMEOUT_S)
        assert len(page.entries) == ("outage" not in faults)


async def test_client_does_not_use_silent_connections():
    standin = StandinLog(StandinLogSettings())
    async with run_standin(standin) as pool:
        log = HttpLog(pool, standin.address, SHORT_TIMEOUT_S)
        await log.append(b"a")
        async with open_http_pool() as second_pool:
            await set_faults(second_pool, standin, silent=True)
        assert await log.append(b"b") == 2


@pytest.mark.parametrize(
    ("method", "path", "body", "code"),
    [
        ("PUT", "/faults", b"{", 1101),
        ("PUT", "/faults", b"[]", 1102),
        ("PUT", "/faults", b'{"fire": true}', 1102),
        ("PUT", "/faults", b'{"delay_s": "long"}', 1102),
        ("POST", "/records", b"", 1102),
        ("POST", "/records", b"x" * 2000, 1104),
        ("GET", "/records?offset=x", b"", 1102),
        ("GET", "/records?wait_s=nan", b"", 1102),
        ("GET", "/nothing", b"", 1106),
    ],
)
async def test_invalid_input_returns_a_result_code(method, path, body, code):
    standin = StandinLog(StandinLogSettings(record_bytes=1000))
    async with run_standin(standin) as pool:
        response = await call(
            pool, method, standin.address, path, body=body, timeout_s=LONG_TIMEOUT_S
        )
        assert msgspec.json.decode(response.body)["code"] == code


async def test_engine_streams_a_complete_response():
    standin = StandinEngine(StandinEngineSettings(model=FAST_ENGINE))
    async with run_standin(standin) as pool:
        engine = HttpEngine(pool, standin.address)
        frames = await collect_frames(engine, make_request(prefix_hashes=[-1, 2]))
        length = compute_output_length("How long?", 30)
        assert [frame.n for frame in frames] == list(range(length))
        assert frames[3].t == compute_token_text("How long?", 3)
        assert (await engine.cache_events(0)).added == [-1, 2]


async def test_engine_cancels_a_generation_when_the_client_disconnects():
    standin = StandinEngine(StandinEngineSettings(model=EngineModelSettings()))
    async with run_standin(standin) as pool:
        engine = HttpEngine(pool, standin.address)
        stream = engine.generate(make_request(max_tokens=10_000))
        await anext(stream)
        await stream.aclose()
        with anyio.fail_after(LONG_TIMEOUT_S):
            while (await get_counts(pool, standin))["cancelled"] == 0:
                await anyio.sleep(0.01)


async def test_engine_crash_breaks_streams_and_refuses_connections():
    standin = StandinEngine(StandinEngineSettings(model=EngineModelSettings()))
    async with run_standin(standin) as pool:
        engine = HttpEngine(pool, standin.address)
        stream = engine.generate(make_request(max_tokens=10_000))
        await anext(stream)
        await set_faults(pool, standin, crashed=True)
        with pytest.raises(OSError):
            async for _ in stream:
                pass
        with pytest.raises(OSError):
            await engine.state()
        await set_faults(pool, standin, crashed=False)
        assert (await engine.state()).running == 0


async def test_engine_carries_out_one_order_at_a_time():
    standin = StandinEngine(StandinEngineSettings(model=FAST_ENGINE))
    async with run_standin(standin) as pool:
        engine = HttpEngine(pool, standin.address)
        order = EngineOrder(fencing_number=5, role="decode", models=["m"])
        await engine.order(order)
        with pytest.raises(OrderRefusedError):
            await engine.order(EngineOrder(fencing_number=6, role="mixed", models=[]))
        with pytest.raises(StaleFencingNumberError):
            await engine.order(EngineOrder(fencing_number=4, role="mixed", models=[]))
        with anyio.fail_after(LONG_TIMEOUT_S):
            while (await engine.state()).changing:
                await anyio.sleep(0.01)
        assert (await engine.state()).role == "decode"


async def test_engine_crashes_in_the_middle_of_an_order():
    standin = StandinEngine(StandinEngineSettings(model=FAST_ENGINE))
    async with run_standin(standin) as pool:
        engine = HttpEngine(pool, standin.address)
        await set_faults(pool, standin, crash_on_order=True)
        await engine.order(EngineOrder(fencing_number=5, role="decode", models=[]))
        with anyio.fail_after(LONG_TIMEOUT_S):
            while not standin.faults.crashed:
                await anyio.sleep(0.01)
        await set_faults(pool, standin, crashed=False, crash_on_order=False)
        state = await engine.state()
        assert (state.role, state.fencing_number) == ("mixed", 5)


@pytest.mark.parametrize(
    ("faults", "error", "runs"),
    [
        ({"crashed": True}, OSError, 0),
        ({"lose_answers": 1}, OSError, 1),
        ({"silent": True}, TimeoutError, 1),
    ],
)
async def test_service_call_without_a_response_may_have_run(faults, error, runs):
    standin = StandinService(StandinServiceSettings(delay_s=0))
    async with run_standin(standin) as pool:
        client = HttpService(pool, standin.address, timeout_s=SHORT_TIMEOUT_S * 2)
        await set_faults(pool, standin, **faults)
        request = ServiceRequest(
            method="POST", path="/bookings", headers=[], body=b"{}", key="k"
        )
        with pytest.raises(error) as caught:
            await client.call(request)
        assert not isinstance(caught.value, ConnectionError)
        assert (await get_counts(pool, standin)).get("k", 0) == runs


async def test_service_call_that_was_not_sent_raises_connection_error():
    async with open_http_pool() as pool:
        client = HttpService(pool, "127.0.0.1:1")
        request = ServiceRequest(method="GET", path="/", headers=[], body=b"")
        with pytest.raises(ConnectionError):
            await client.call(request)


async def test_service_call_forwards_headers():
    standin = StandinService(StandinServiceSettings(delay_s=0))
    async with run_standin(standin) as pool:
        client = HttpService(pool, standin.address)
        request = ServiceRequest(
            method="PUT",
            path="/seats?day=1",
            headers=[("x-trace", "7"), ("connection", "close"), ("host", "x")],
            body=b"seat",
        )
        response = await client.call(request)
        assert response.status == 200
        assert ("x-trace", "7") in response.headers
        assert msgspec.json.decode(response.body)["body"] == "seat"


async def test_instance_list_shows_changes_late_and_flaps(clock):
    standin = StandinInstances(StandinInstancesSettings(lag_s=2), clock=clock)
    instance = Instance(name="e1", kind="entry", address="127.0.0.1:1", state="live")
    async with run_standin(standin) as pool:
        instances = HttpInstanceList(pool, standin.address)
        body = msgspec.json.encode(instance)
        response = await call(
            pool,
            "PUT",
            standin.address,
            "/instances/e1",
            body=body,
            timeout_s=LONG_TIMEOUT_S,
        )
        assert response.status == 200
        assert await instances.instances() == []
        clock.advance(3)
        assert await instances.instances() == [instance]
        await set_faults(pool, standin, flapping=["e1"])
        lengths = [len(await instances.instances()) for _ in range(4)]
        assert sorted(lengths) == [0, 0, 1, 1]
        await set_faults(pool, standin, outage=True)
        with pytest.raises(OSError):
            await instances.instances()


async def test_weight_store_serves_readers_one_after_another(clock):
    settings = StandinWeightsSettings(bytes_per_s=100)
    standin = StandinWeights(settings, clock=clock)
    async with run_standin(standin) as pool:
        store = HttpWeightStore(pool, standin.address)
        waits_s = [await store.reserve("m", 1000) for _ in range(2)]
        assert waits_s == [10.0, 20.0]


async def test_refused_connection_raises_not_sent_error():
    async with httpcore.AsyncConnectionPool() as pool:
        with pytest.raises(NotSentError):
            await call(pool, "GET", "127.0.0.1:1", "/", timeout_s=LONG_TIMEOUT_S)
