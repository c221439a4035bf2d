"""Engines that turn requests away for a time: 503 with ``Retry-After``."""

import asyncio

import pytest

from gateway_fakes import make_engine
from jasminewalk.gateway.engine_backoff import RETURN_S, EngineBackoff
from jasminewalk.gateway.fleet import Fleet
from jasminewalk.gateway.prefilled_prompt import PrefilledPrompt, release_prompt
from jasminewalk.platform.headers import decode_response_head
from platform_fakes import FakeEngine
from test_gateway_daemon import (
    LONG_PROMPT_HEADERS,
    GatewayHarness,
    make_llm_engines,
    make_plain_engines,
)
from test_gateway_leaving import make_entry_record, make_fleet


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


def now():
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize(
    ("status", "value", "seconds", "unreadable"),
    [
        (503, b"2", 2.0, ""),
        (503, b"0.25", 0.25, ""),
        (503, b"0", 0.0, ""),
        (503, b"-1", None, "-1"),
        (503, b"nan", None, "nan"),
        (503, b"inf", None, "inf"),
        (503, b"1_0", None, "1_0"),
        (503, b"9" * 400, None, "9" * 200),
        (503, b"Fri, 04 Dec 2026 10:00:00 GMT", None, "Fri, 04 Dec 2026 10:00:00 GMT"),
        (429, b"2", None, ""),
        (200, b"2", None, ""),
    ],
)
def test_retry_after_of_a_response_is_decoded(status, value, seconds, unreadable):
    head = decode_response_head(status, [(b"retry-after", value)])
    assert (head.retry_after_s, head.unreadable_retry_after) == (seconds, unreadable)


def test_backoff_lasts_until_the_latest_end():
    backoff = EngineBackoff()
    assert backoff.compute_wait_s(0.0, requests=99, slots=16) == 0.0
    assert backoff.extend(10.0, 2.0)
    assert not backoff.extend(10.5, 0.5)
    assert backoff.compute_wait_s(10.5, requests=0, slots=16) == 1.5
    assert backoff.compute_wait_s(12.0, requests=0, slots=16) == 0.0


def test_traffic_returns_gradually_after_a_backoff():
    backoff = EngineBackoff()
    backoff.extend(10.0, 2.0)
    assert backoff.compute_wait_s(12.0, requests=1, slots=16) == RETURN_S / 16
    assert backoff.compute_wait_s(12.0 + RETURN_S / 2, requests=8, slots=16) == 0.0
    wait_s = backoff.compute_wait_s(12.0 + RETURN_S / 2, requests=9, slots=16)
    assert wait_s == pytest.approx(RETURN_S / 16)
    assert backoff.compute_wait_s(12.0 + RETURN_S, requests=99, slots=16) == 0.0


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/book/x", "/look/x"])
@pytest.mark.parametrize("behaviour", ["turn_away", "turn_away_without_not_executed"])
async def test_engine_gets_nothing_until_the_end_of_its_retry_after(
    harness, path, behaviour
):
    engines = make_plain_engines()
    await harness.start(*engines)
    engines[0].behaviour = behaviour
    engines[1].delay_s = 0.02
    while not engines[0].requests:
        await harness.send_request(path)
    turned_away_at = now()
    while now() < turned_away_at + 0.9:
        assert (await harness.send_request(path))[0] == 200
        await asyncio.sleep(0.02)
    assert len(engines[0].requests) == 1
    engines[0].behaviour = "answer"
    harness.daemon.fleet.engines["app-1"].latency_s = 1.0
    while len(engines[0].requests) == 1 and now() < turned_away_at + 2.0:
        await harness.send_request(path)
    assert len(engines[0].requests) > 1
    (line,) = harness.read_log_lines("engine_backoff")
    assert (line["engine"], line["left_s"]) == ("app-0", 1.0)
    # It is counted against nothing else.
    assert harness.daemon.fleet.engines["app-0"].failure_rate == 0.0


@pytest.mark.anyio
async def test_streams_and_prefills_keep_to_the_retry_after(harness):
    engines = make_llm_engines()
    await harness.start(*engines)
    for engine in engines[:2]:
        engine.behaviour, engine.retry_after = "turn_away", "30"
    # The other one is preferred.
    harness.daemon.fleet.engines["decoder-2"].failure_rate = 0.9
    for _ in range(12):
        await harness.send_request("/verdict/x", **LONG_PROMPT_HEADERS)
    assert [len(engine.requests) for engine in engines[:2]] == [1, 1]
    assert engines[2].executed_requests


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/book/x", "/help/x"])
async def test_request_without_another_engine_is_refused_with_the_time_left(
    harness, path
):
    engines = [FakeEngine("app-0"), FakeEngine("decoder-1", "llm", "decode")]
    await harness.start(*engines)
    for engine in engines:
        engine.behaviour, engine.retry_after = "turn_away", "4"
    for number in range(2):
        started_at = now()
        status, head, _ = await harness.send_request(path)
        assert status == 503
        assert now() - started_at < 0.3
        (line,) = [line for line in head.splitlines() if "retry-after" in line]
        assert 3.5 < float(line.split()[1]) <= 4.0, number
    assert len(engines[0].requests) + len(engines[1].requests) == 1
    (line,) = [
        line
        for line in harness.read_log_lines("refused")
        if line["reason"] == "engine backoff"
    ]
    assert 3.5 < line["retry_after_s"] <= 4.0
    assert line["engine"] in ("app-0", "decoder-1")


@pytest.mark.anyio
async def test_request_too_late_elsewhere_comes_back_when_the_backoff_ends(harness):
    engines = make_llm_engines()
    await harness.start(*engines)
    fleet = harness.daemon.fleet
    fleet.engines["prefiller"].own_load.prefill_s = 5.0
    fleet.engines["decoder-1"].own_load.prefill_s = 5.0
    fleet.record_backoff(now(), fleet.engines["decoder-2"], 0.6)
    started_at = now()
    status, _, _ = await harness.send_request("/help/x", **LONG_PROMPT_HEADERS)
    assert (status, now() - started_at < 0.3) == (503, True)
    (line,) = harness.read_log_lines("refused")
    assert (line["reason"], 0.4 < line["retry_after_s"] <= 0.6) == ("overloaded", True)
    assert 400 < line["backoff_ms"] <= 600
    assert not any(engine.requests for engine in engines)


@pytest.mark.anyio
async def test_suspected_engine_is_used_while_the_trusted_ones_back_off(harness):
    engines = make_plain_engines()
    await harness.start(*engines)
    fleet = harness.daemon.fleet
    fleet.record_backoff(now(), fleet.engines["app-0"], 5.0)
    fleet.suspect(now(), fleet.engines["app-1"], "x")
    assert (await harness.send_request("/book/x"))[0] == 200
    assert engines[1].requests
    assert not engines[0].requests


@pytest.mark.anyio
async def test_unreadable_retry_after_is_logged_and_the_default_kept(harness):
    engines = make_plain_engines()
    await harness.start(*engines)
    engines[0].behaviour, engines[0].retry_after = "turn_away", "soon"
    engines[1].delay_s = 0.1
    harness.daemon.fleet.engines["app-1"].latency_s = 1.0
    started_at = now()
    while len(engines[0].requests) < 2:
        await harness.send_request("/look/x")
        assert now() < started_at + 2.0
    assert not harness.read_log_lines("engine_backoff")
    line = harness.read_log_lines("retry_after_unreadable")[0]
    assert (line["engine"], line["detail"]) == ("app-0", "soon")


@pytest.mark.anyio
async def test_traffic_returns_to_a_single_engine_without_a_rush(harness):
    engine = FakeEngine("app-0")
    await harness.start(engine)
    engine.behaviour, engine.retry_after = "turn_away", "0.7"
    await harness.send_request("/book/x")
    engine.behaviour, engine.delay_s = "answer", 0.5
    turned_away_at, tasks = now(), []
    while now() < turned_away_at + 0.8:
        tasks.append(asyncio.create_task(harness.send_request("/book/x")))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    returned = [at for at in engine.arrivals[1:] if at < turned_away_at + 0.85]
    assert 1 <= len(returned) <= 4


@pytest.mark.anyio
async def test_orders_and_reports_wait_for_the_end_of_the_retry_after(harness):
    engines = make_llm_engines()[1:]
    await harness.start(*engines)
    fleet = harness.daemon.fleet
    for engine in fleet.engines.values():
        fleet.record_backoff(now(), engine, 3.0)
    started_at = now()
    async with asyncio.timeout(6):
        while not any(engine.orders for engine in engines):
            await asyncio.sleep(0.02)
    assert min(at for e in engines for at in e.control_arrivals) >= started_at + 3.0
    assert harness.read_log_lines("order_deferred")


@pytest.mark.anyio
async def test_handle_is_released_only_after_the_retry_after(harness):
    engines = make_llm_engines()
    await harness.start(*engines)
    fleet, clients = harness.daemon.fleet, harness.daemon.clients
    engine = fleet.engines["prefiller"]
    fleet.record_backoff(now(), engine, 0.5)
    started_at = now()
    await release_prompt(clients, PrefilledPrompt(engine, "h-1"), print)
    assert now() >= started_at + 0.5
    assert engines[0].released_paths == ["/-/kv-handle/h-1"]


def test_new_incarnation_of_an_engine_does_not_back_off():
    fleet = make_fleet(make_engine("app-0", service="app"))
    event = fleet.record_backoff(1.0, fleet.engines["app-0"], 9.0)
    assert (event.event, event.left_s) == ("engine_backoff", 9.0)
    assert not fleet.list_available("app", 2.0)
    list(fleet.apply_changes(2.0, [make_entry_record("app-0", born=1)]))
    assert not fleet.list_available("app", 2.0)
    list(fleet.apply_changes(2.0, [make_entry_record("app-0", born=2)]))
    assert fleet.list_available("app", 2.0)


def test_limit_of_an_engine_that_backs_off_is_no_reason_to_come_back():
    fleet = Fleet()
    engine = fleet.engines["app-0"] = make_engine("app-0", service="app")
    fleet.record_limit(1.0, engine, 2.0, 1.0)
    engine.limit.assign_share(1.0, 2.0)
    fleet.record_backoff(1.0, engine, 9.0)
    assert fleet.compute_limit_wait_s("app", 1.0) is None
    assert fleet.find_shortest_backoff("app", 1.0) is engine
