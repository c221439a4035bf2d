"""Whole requests that crash each engine that begins to run them."""

import asyncio
from functools import partial

import pytest

from crash_soak import run_crash_soak
from crashing_engines import (
    BAD_BODY,
    CrashFleet,
    CrashingEngine,
    compute_bad_fingerprint,
)
from jasminewalk.gateway import crash_quarantine
from jasminewalk.operators.quarantines import show_or_release
from test_gateway_daemon import GatewayHarness

# Crashes under the request, and seconds after the last of them, from which at most as
# many more of its repeats may reach engines.
CRASHES = 3
STABLE_WINDOW_S = 3.0
MAX_LATER_REQUESTS = 3
# Seconds between two repeats, and between two sound requests.
BAD_INTERVAL_S = 0.12
SOUND_INTERVAL_S = 0.02
# Seconds before the first request that crashes engines, and in which the repeats count.
CALM_S = 1.5
COUNTED_S = 4.0
# Seconds in which a quarantine is written to the store.
STORED_S = 2.0
# Least share of sound requests that are served, of the share before.
MIN_SOUND_SHARE = 0.5
SERVICES = {"/look/x": "app", "/book/x": "app", "/help/x": "llm", "/verdict/x": "llm"}


@pytest.fixture
async def start_fleet(tmp_path):
    fleets = []

    async def start(**options):
        fleet = CrashFleet(tmp_path, **options)
        fleets.append(fleet)
        await fleet.start()
        return fleet

    yield start
    for fleet in fleets:
        fleet.stop()


async def crash_engines(fleet, path):
    """Send both kinds of requests until three engines have crashed; return when."""
    fleet.spawn(fleet.send_repeatedly(fleet.send_sound, SOUND_INTERVAL_S))
    await asyncio.sleep(CALM_S)
    send_bad = partial(fleet.send_bad_body, path=path)
    bad = fleet.spawn(fleet.send_repeatedly(send_bad, BAD_INTERVAL_S))
    async with asyncio.timeout(2 * STABLE_WINDOW_S):
        while len(fleet.crashes) < CRASHES:
            await asyncio.sleep(0.01)
    return bad, fleet.crashes[CRASHES - 1]


@pytest.mark.anyio
@pytest.mark.parametrize("path", SERVICES)
async def test_repeats_of_a_request_that_crashes_engines_stop_reaching_them(
    start_fleet, path
):
    fleet = await start_fleet(service=SERVICES[path])
    began_at = fleet.now()
    _, last_at = await crash_engines(fleet, path)
    await asyncio.sleep(2 * STABLE_WINDOW_S + COUNTED_S)
    assert fleet.count_bad_requests(last_at + STABLE_WINDOW_S) <= MAX_LATER_REQUESTS
    share_before = fleet.compute_sound_share(began_at, began_at + CALM_S)
    sound_from = last_at + 2 * STABLE_WINDOW_S
    share = fleet.compute_sound_share(sound_from, fleet.now() - 0.5)
    assert share >= MIN_SOUND_SHARE * share_before
    assert fleet.list_blamed_requests() <= {compute_bad_fingerprint(path)}


@pytest.mark.anyio
@pytest.mark.parametrize("path", SERVICES)
async def test_repeats_that_come_at_once_stop_reaching_engines(start_fleet, path):
    fleet = await start_fleet(service=SERVICES[path])
    fleet.spawn(fleet.send_repeatedly(fleet.send_sound, SOUND_INTERVAL_S))
    await asyncio.sleep(CALM_S)
    ends_at = fleet.now() + 3 * STABLE_WINDOW_S
    while fleet.now() < ends_at:
        for gateway in fleet.gateways * 2:
            fleet.spawn(fleet.send_bad_body(gateway, path))
        await asyncio.sleep(4 * BAD_INTERVAL_S)
    last_at = fleet.crashes[CRASHES - 1]
    assert fleet.count_bad_requests(last_at + STABLE_WINDOW_S) <= MAX_LATER_REQUESTS


@pytest.mark.anyio
@pytest.mark.parametrize("service", ["app", "llm"])
async def test_sound_requests_that_impatient_callers_repeat_are_not_blamed(
    start_fleet, service
):
    path = {"app": "/look/x", "llm": "/verdict/x"}[service]
    # With few engines, sound requests often run beside the one that crashes them.
    fleet = await start_fleet(service=service, engines=3, sound_repeats=6)
    _, last_at = await crash_engines(fleet, path)
    await asyncio.sleep(2 * STABLE_WINDOW_S)
    assert fleet.list_blamed_requests() <= {compute_bad_fingerprint(path)}
    sound_from = last_at + STABLE_WINDOW_S
    assert fleet.compute_sound_share(sound_from, fleet.now() - 0.5) > 0.9


async def count_refused(fleet, gateway, path, requests=5):
    """Send repeats of the request to a gateway; return how many it refused."""
    answers = [await fleet.send_bad_body(gateway, path) for _ in range(requests)]
    return sum(
        answer.status == 503 and b"retry-after" in answer.headers for answer in answers
    )


async def quarantine_request(fleet, path):
    """Send repeats of the request until it was tried and all gateways refuse it."""
    bad, _ = await crash_engines(fleet, path)
    async with asyncio.timeout(2 * STABLE_WINDOW_S):
        while not fleet.list_blamed_requests():
            await asyncio.sleep(0.05)
    bad.cancel()
    async with asyncio.timeout(STABLE_WINDOW_S):
        while {await count_refused(fleet, g, path, 1) for g in fleet.gateways} != {1}:
            await asyncio.sleep(0.05)


@pytest.mark.anyio
async def test_gateway_that_restarts_or_joins_refuses_the_request(start_fleet):
    fleet = await start_fleet(service="app")
    await quarantine_request(fleet, "/look/x")
    count = len(fleet.bad_arrivals)
    restarted, joined = fleet.gateways[0], fleet.add_gateway(len(fleet.gateways))
    restarted.kill()
    restarted.start()
    for gateway in (restarted, joined):
        await fleet.wait_until_ready(gateway)
        assert await count_refused(fleet, gateway, "/look/x") == 5
    assert len(fleet.bad_arrivals) == count


@pytest.mark.anyio
async def test_request_stays_refused_after_the_end_of_all_gateways(start_fleet):
    fleet = await start_fleet(service="app")
    await quarantine_request(fleet, "/book/x")
    await asyncio.sleep(STORED_S)
    count = len(fleet.bad_arrivals)
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start()
    for gateway in fleet.gateways:
        await fleet.wait_until_ready(gateway)
        assert await count_refused(fleet, gateway, "/book/x") == 5
    assert len(fleet.bad_arrivals) == count


@pytest.mark.anyio
async def test_engines_that_crash_for_other_causes_blame_no_request(start_fleet):
    fleet = await start_fleet(service="app", sound_repeats=3)
    # A crash is noticed only where a request runs.
    for _ in range(3):
        fleet.spawn(fleet.send_repeatedly(fleet.send_sound, SOUND_INTERVAL_S))
    fleet.spawn(fleet.crash_randomly(0.3))
    await asyncio.sleep(COUNTED_S + STABLE_WINDOW_S)
    assert len(fleet.crashes) > 2 * CRASHES
    assert len(fleet.read_log_lines("engine_crashed")) > CRASHES
    assert fleet.read_log_lines("request_quarantined") == []


@pytest.mark.anyio
async def test_request_that_crashes_the_engines_that_prefill_it_is_refused(start_fleet):
    fleet = await start_fleet()
    for engine in fleet.engines:
        # Slow enough that a separate engine reads long prompts.
        engine.reading_s = 0.35
    for number in range(3):
        reader = fleet.make_engine(90 + number, "prefill")
        reader.crashes_reading = True
        await fleet.add_engine(reader)
    await asyncio.sleep(STABLE_WINDOW_S)
    prompt = {
        "X-Jasminewalk-Token-Usage": "9000,40",
        "X-Jasminewalk-Prompt-Prefix": "rules:2000,own:7000",
    }
    answers = []
    for _ in range(20):
        gateway = fleet.random.choice(fleet.gateways)
        send = partial(fleet.callers.send, gateway, "/verdict/x", BAD_BODY, 2.5)
        answers.append(await send(**prompt))
        await asyncio.sleep(BAD_INTERVAL_S)
    assert fleet.read_log_lines("prompt_not_read")
    assert len(fleet.crashes) <= 2 * CRASHES
    assert fleet.read_log_lines("request_quarantined")
    assert answers[-1].status == 503


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


async def start_with_quarantine(harness, path="/look/x"):
    """Start a gateway and crash engines until it refuses the request."""
    engines = [CrashingEngine(f"app-{n}", "after_head", "", "app") for n in range(6)]

    def end(engine):
        engine.crash()
        harness.store.put("keyed.servers", engine.engine_id, None)

    for engine in engines:
        engine.on_crash = end
    await harness.start(*engines)
    async with asyncio.timeout(STABLE_WINDOW_S):
        while (await harness.send_request(path, BAD_BODY))[0] != 503:
            await asyncio.sleep(0.05)
    assert sum(not engine.server.server.is_serving() for engine in engines) == CRASHES
    (line,) = harness.read_log_lines("request_quarantined")
    assert line["parts"] == [compute_bad_fingerprint(path)]
    for engine in engines:
        engine.behaviour = "answer"
    return line["parts"][0]


@pytest.mark.anyio
async def test_quarantine_of_a_request_ends_with_a_trial(harness):
    await start_with_quarantine(harness)
    assert (await harness.send_request("/look/x", b"another"))[0] == 200
    status, head, _ = await harness.send_request("/look/x", BAD_BODY)
    assert (status, "retry-after: 1.00" in head) == (503, True)
    await asyncio.sleep(1.0)
    assert (await harness.send_request("/look/x", BAD_BODY))[0] == 200
    assert harness.read_log_lines("quarantine_trial")
    assert harness.read_log_lines("request_released")
    metrics = harness.daemon.metrics.render().decode()
    assert "jasminewalk_quarantined_parts 0.0" in metrics
    assert "jasminewalk_engine_crashes_total 3.0" in metrics
    assert 'reason="crashing request"' in metrics


@pytest.mark.anyio
@pytest.mark.parametrize("path", ["/look/x", "/book/x"])
async def test_operator_releases_a_request(harness, path, monkeypatch):
    monkeypatch.setattr(crash_quarantine, "FIRST_TRIAL_S", 60.0)
    fingerprint = await start_with_quarantine(harness, path)
    harness.daemon.quarantines.read_interval_s = 0.1
    async with asyncio.timeout(2 * STORED_S):
        while not harness.read_log_lines("quarantine_stored"):
            await asyncio.sleep(0.05)
    lines = []
    await show_or_release(harness.store.address, "", lines.append)
    assert len(lines) == 1
    assert lines[0].startswith(f"{fingerprint}: 3 engines crashed, refused for ")
    await show_or_release(harness.store.address, fingerprint, lines.append)
    harness.daemon.quarantines.forget_offsets()
    async with asyncio.timeout(2 * STORED_S):
        while (await harness.send_request(path, BAD_BODY))[0] != 200:
            await asyncio.sleep(0.05)
    assert harness.read_log_lines("request_released")


@pytest.mark.anyio
async def test_calm_requests_are_not_fingerprinted(harness, monkeypatch):
    def fail(request):
        raise AssertionError("a fingerprint was computed")

    monkeypatch.setattr("jasminewalk.gateway.run.compute_request_fingerprint", fail)
    engine = CrashingEngine("app-0", "after_head", "", "app")
    await harness.start(engine)
    for path in ("/look/x", "/book/x"):
        assert (await harness.send_request(path, b"seat"))[0] == 200


@pytest.mark.parametrize(("seed", "path"), [(3, "/look/x"), (4, "/verdict/x")])
def test_crashing_request_is_refused_under_other_faults(seed, path):
    counts = run_crash_soak(seed, 2 * COUNTED_S, path=path)
    assert counts["crashes"] > 0
    assert counts["bad_sent"] > 0


@pytest.mark.anyio
async def test_repeats_of_a_suspect_run_one_at_a_time(harness):
    engines = [CrashingEngine(f"app-{n}", "after_head", "", "app") for n in range(4)]
    for engine in engines:
        engine.on_crash = CrashingEngine.crash
    await harness.start(*engines)
    assert (await harness.send_request("/book/x", BAD_BODY))[0] == 502
    most_running = 0

    async def work(connection, request, headers):
        nonlocal most_running
        running = sum(len(engine.running_requests) for engine in engines)
        most_running = max(most_running, running)
        await asyncio.sleep(0.1)
        await engines[0].answer(connection, request, headers)

    for engine in engines:
        engine.work = work
    async with asyncio.timeout(STABLE_WINDOW_S):
        while not harness.read_log_lines("engine_crashed"):
            await asyncio.sleep(0.01)
    repeats = [harness.send_request("/book/x", BAD_BODY) for _ in range(3)]
    answers = await asyncio.gather(*repeats)
    assert [status for status, _, _ in answers] == [200] * 3
    assert most_running < 3
    # The first answer clears the request, and the others need no turn.
    assert not harness.daemon.crash_watch.quarantine.watches_requests


@pytest.mark.anyio
async def test_other_requests_get_engines_that_run_no_suspect(harness):
    engines = [CrashingEngine(f"app-{n}", "after_head", "", "app") for n in range(3)]
    for engine in engines:
        engine.on_crash = CrashingEngine.crash
    await harness.start(*engines)
    assert (await harness.send_request("/book/x", BAD_BODY))[0] == 502
    async with asyncio.timeout(STABLE_WINDOW_S):
        while not harness.read_log_lines("engine_crashed"):
            await asyncio.sleep(0.01)
    alive = [engine for engine in engines if engine.server.server.is_serving()]
    for engine in alive:
        engine.reading_s = 0.3
    suspect = asyncio.create_task(harness.send_request("/book/x", BAD_BODY))
    await asyncio.sleep(0.05)
    sound = [harness.send_request("/book/x", b"seat %d" % n) for n in range(6)]
    assert [status for status, _, _ in await asyncio.gather(*sound)] == [200] * 6
    assert (await suspect)[0] == 502


@pytest.mark.anyio
async def test_gateway_that_found_a_quarantine_writes_and_tells_it_at_once(harness):
    engines = [CrashingEngine(f"app-{n}", "after_head", "", "app") for n in range(6)]
    for engine in engines:
        engine.on_crash = CrashingEngine.crash
    await harness.start(*engines)
    # Another gateway writes what is missing in the store.
    harness.daemon.quarantines.is_writer = lambda: False
    told = []
    harness.daemon.peer_link.send = lambda address, data: told.append(data)
    now = harness.daemon.clock()
    harness.daemon.peers.record_address(now, "front-0", "127.0.0.9:9")
    harness.daemon.peer_link.announce()
    for number in range(CRASHES):
        assert (await harness.send_request("/book/x", BAD_BODY))[0] == 502
        async with asyncio.timeout(STABLE_WINDOW_S):
            while len(harness.read_log_lines("engine_crashed")) == number:
                await asyncio.sleep(0.001)
        crashes = harness.daemon.crash_watch.exchange.crashes
        key = format(next(reversed(crashes)), "x")
        assert any(bytes.fromhex(key.zfill(8)) in data for data in told[-1:])
    async with asyncio.timeout(STORED_S):
        while not harness.read_log_lines("quarantine_stored"):
            await asyncio.sleep(0.01)
