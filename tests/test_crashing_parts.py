"""Parts of prompts that crash each engine that begins to write an answer on them."""

import asyncio
from uuid import uuid4

import pytest

from crash_soak import run_crash_soak
from crashing_engines import BAD_PART, CRASH_POINTS, CrashFleet, CrashingEngine
from jasminewalk.gateway import crash_quarantine
from jasminewalk.operators.quarantines import show_or_release
from test_gateway_daemon import GatewayHarness

# Crashes under one part, and seconds after the last of them, from which at most as many
# more requests with the part may reach engines.
CRASHES = 5
STABLE_WINDOW_S = 3.0
MAX_LATER_REQUESTS = 3
# Seconds between two requests with the part, and between two sound ones.
BAD_INTERVAL_S = 0.12
SOUND_INTERVAL_S = 0.02
# Seconds before the first request with the part, and in which the later ones count.
CALM_S = 1.5
COUNTED_S = 4.0
# Seconds in which a quarantine is written to the store.
STORED_S = 2.0
# Seconds that an engine takes to read a long prompt and write the answer.
LONG_READING_S = 0.35
# Least share of sound requests that are served, of the share before.
MIN_SOUND_SHARE = 0.5


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


async def crash_engines(fleet):
    """Send both kinds of requests until five engines have crashed; return when."""
    fleet.spawn(fleet.send_repeatedly(fleet.send_sound, SOUND_INTERVAL_S))
    await asyncio.sleep(CALM_S)
    bad = fleet.spawn(fleet.send_repeatedly(fleet.send_bad, BAD_INTERVAL_S))
    started_at = fleet.now()
    while len(fleet.crashes) < CRASHES and fleet.now() < started_at + STABLE_WINDOW_S:
        await asyncio.sleep(0.01)
    return bad, fleet.now()


@pytest.mark.anyio
@pytest.mark.parametrize("crash_point", CRASH_POINTS)
async def test_requests_with_a_crashing_part_stop_reaching_engines(
    start_fleet, crash_point
):
    fleet = await start_fleet(crash_point=crash_point)
    began_at = fleet.now()
    _, last_at = await crash_engines(fleet)
    await asyncio.sleep(STABLE_WINDOW_S)
    counted_at = fleet.now()
    await asyncio.sleep(COUNTED_S)
    assert fleet.count_bad_requests(counted_at) <= MAX_LATER_REQUESTS
    share_before = fleet.compute_sound_share(began_at, began_at + CALM_S)
    sound_from = last_at + 2 * STABLE_WINDOW_S
    share = fleet.compute_sound_share(sound_from, fleet.now() - 0.5)
    assert share >= MIN_SOUND_SHARE * share_before


async def count_refused(fleet, gateway, requests=5):
    """Send requests with the part to a gateway; return how many it refused."""
    answers = [await fleet.send_bad(gateway) for _ in range(requests)]
    return sum(
        answer.status == 503 and b"retry-after" in answer.headers for answer in answers
    )


async def quarantine_part(fleet):
    """Send requests with the part until all gateways refuse them."""
    bad, _ = await crash_engines(fleet)
    bad.cancel()
    async with asyncio.timeout(STABLE_WINDOW_S):
        while {await count_refused(fleet, g, 1) for g in fleet.gateways} != {1}:
            await asyncio.sleep(0.05)


@pytest.mark.anyio
async def test_gateway_that_restarts_or_joins_refuses_the_part(start_fleet):
    fleet = await start_fleet()
    await quarantine_part(fleet)
    count = len(fleet.bad_arrivals)
    restarted, joined = fleet.gateways[0], fleet.add_gateway(len(fleet.gateways))
    restarted.kill()
    restarted.start()
    for gateway in (restarted, joined):
        await fleet.wait_until_ready(gateway)
        assert await count_refused(fleet, gateway) == 5
    assert len(fleet.bad_arrivals) == count


@pytest.mark.anyio
@pytest.mark.parametrize("restored", [False, True])
async def test_quarantine_outlives_the_end_of_all_gateways(start_fleet, restored):
    fleet = await start_fleet()
    copy = fleet.store.make_copy()
    await quarantine_part(fleet)
    await asyncio.sleep(STORED_S)
    if restored:
        fleet.store.restore(copy)
        for engine in fleet.engines:
            fleet.put_entry(engine)
        await asyncio.sleep(2 * STORED_S)
    count = len(fleet.bad_arrivals)
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start()
    for gateway in fleet.gateways:
        await fleet.wait_until_ready(gateway)
        assert await count_refused(fleet, gateway) == 5
    assert len(fleet.bad_arrivals) == count


@pytest.mark.anyio
async def test_engines_that_crash_for_other_causes_blame_no_part(start_fleet):
    fleet = await start_fleet()
    began_at = fleet.now()
    fleet.spawn(fleet.send_repeatedly(fleet.send_sound, SOUND_INTERVAL_S))
    fleet.spawn(fleet.crash_randomly(0.3))
    await asyncio.sleep(COUNTED_S + STABLE_WINDOW_S)
    assert len(fleet.crashes) > 2 * CRASHES
    assert len(fleet.read_log_lines("engine_crashed")) > CRASHES
    assert fleet.read_log_lines("part_quarantined") == []
    assert fleet.compute_sound_share(began_at, fleet.now() - 0.5) > MIN_SOUND_SHARE


async def send_long_prompt(fleet):
    """Send a prompt that is read on a separate engine, as its own part is new."""
    fleet.request_count += 1
    prompt = {
        "X-Jasminewalk-Token-Usage": "9000,40",
        "X-Jasminewalk-Prompt-Prefix": f"rules:2000,own-{fleet.request_count}:7000",
    }
    return await fleet.send_prompt(fleet.gateways[0], "/verdict/x", prompt)


@pytest.mark.anyio
async def test_crash_while_the_prompt_is_read_blames_no_part(start_fleet):
    fleet = await start_fleet()
    for engine in fleet.engines:
        # Slow enough that a separate engine reads long prompts.
        engine.reading_s = LONG_READING_S
    for number in range(2):
        reader = fleet.make_engine(90 + number, "prefill")
        reader.bad_part, reader.crashes_reading = "", True
        await fleet.add_engine(reader)
    await asyncio.sleep(STABLE_WINDOW_S)
    async with asyncio.timeout(4 * STABLE_WINDOW_S):
        while len(fleet.crashes) < CRASHES:
            await send_long_prompt(fleet)
            await asyncio.sleep(BAD_INTERVAL_S)
    assert fleet.read_log_lines("part_quarantined") == []
    answer = await send_long_prompt(fleet)
    assert (answer.status, answer.complete) == (200, True)


@pytest.fixture
async def harness(tmp_path):
    harness = GatewayHarness(tmp_path)
    yield harness
    harness.stop()


def build_prompt():
    """Return the headers of another request with the part."""
    return {
        "x_jasminewalk_token_usage": "380,40",
        "x_jasminewalk_prompt_prefix": f"school:80,{BAD_PART}:80,{uuid4().hex}:220",
    }


async def start_with_quarantine(harness):
    """Start a gateway and crash engines until it refuses the part."""
    engines = [CrashingEngine(f"decoder-{n}", "after_head") for n in range(6)]

    def end(engine):
        engine.crash()
        harness.store.put("keyed.servers", engine.engine_id, None)

    for engine in engines:
        engine.on_crash = end
    await harness.start(*engines)
    async with asyncio.timeout(STABLE_WINDOW_S):
        while (await harness.send_request("/help/x", **build_prompt()))[0] != 503:
            await asyncio.sleep(0.05)
    (line,) = harness.read_log_lines("part_quarantined")
    # Nothing else was answered, so the first part may be guilty as well.
    assert line["parts"] == ["bad", "school"]
    for engine in engines:
        engine.bad_part = ""
    return engines


@pytest.mark.anyio
async def test_quarantine_ends_with_a_trial(harness, monkeypatch):
    monkeypatch.setattr(crash_quarantine, "MIN_QUARANTINE_S", 1.0)
    await start_with_quarantine(harness)
    status, head, _ = await harness.send_request("/help/x", **build_prompt())
    assert (status, "retry-after: 1.00" in head) == (503, True)
    await asyncio.sleep(1.0)
    assert (await harness.send_request("/help/x", **build_prompt()))[0] == 200
    assert harness.read_log_lines("quarantine_trial")
    assert harness.read_log_lines("part_released")
    metrics = harness.daemon.metrics.render().decode()
    assert "jasminewalk_quarantined_parts 0.0" in metrics
    assert "jasminewalk_engine_crashes_total 3.0" in metrics
    assert 'reason="crashing prompt part"' in metrics


@pytest.mark.anyio
async def test_operator_releases_a_part(harness):
    await start_with_quarantine(harness)
    harness.daemon.quarantines.read_interval_s = 0.1
    async with asyncio.timeout(2 * STORED_S):
        while not harness.read_log_lines("quarantine_stored"):
            await asyncio.sleep(0.05)
    lines = []
    await show_or_release(harness.store.address, "", lines.append)
    assert len(lines) == 1
    assert lines[0].startswith("bad and school: 3 engines crashed, refused for ")
    await show_or_release(harness.store.address, f"{BAD_PART},school", lines.append)
    harness.daemon.quarantines.forget_offsets()
    async with asyncio.timeout(2 * STORED_S):
        while (await harness.send_request("/help/x", **build_prompt()))[0] != 200:
            await asyncio.sleep(0.05)
        while harness.store.topics["keyed.quarantine"][-1][1] is not None:
            await asyncio.sleep(0.05)
    assert harness.read_log_lines("part_declared_sound")
    await show_or_release(harness.store.address, "", lines.append)
    assert lines[1:] == ["released: bad, school", "no part is refused"]


@pytest.mark.anyio
async def test_engines_that_reset_connections_blame_no_part(harness):
    engines = [CrashingEngine(f"decoder-{n}", "after_head") for n in range(3)]
    for engine in engines:
        engine.behaviour = "break_stream"
    await harness.start(*engines)
    for _ in range(2 * CRASHES):
        await harness.send_request("/help/x", **build_prompt())
        await asyncio.sleep(0.05)
    assert harness.read_log_lines("engine_not_crashed")
    assert not harness.read_log_lines("engine_crashed")
    for engine in engines:
        engine.behaviour = "answer"
    assert (await harness.send_request("/help/x", **build_prompt()))[0] == 200


@pytest.mark.anyio
async def test_engines_that_were_to_end_blame_no_part(harness):
    engines = [CrashingEngine(f"decoder-{n}", "after_head") for n in range(6)]
    for engine in engines:
        engine.on_crash = CrashingEngine.crash
    await harness.start(*engines)
    for number, engine in enumerate(harness.daemon.fleet.engines.values()):
        engine.said_leaving = number >= 3
        engine.expires_at = harness.daemon.clock() + 60
    for _ in range(3):
        assert (await harness.send_request("/help/x", **build_prompt()))[0] == 502
    assert not any(engine.server.server.is_serving() for engine in engines[:3])
    assert not harness.read_log_lines("engine_crashed")
    assert not harness.daemon.crash_watch.quarantine.crashes


@pytest.mark.anyio
async def test_unreadable_quarantine_is_logged_and_changes_nothing(harness):
    for value in ("x", {"parts": 3}, {"parts": ["a"], "until_ms": "soon"}):
        harness.store.put("keyed.quarantine", str(value), value)
    await harness.start(CrashingEngine("decoder-1", "after_head"))
    assert len(harness.read_log_lines("quarantine_unreadable")) == 3
    assert harness.daemon.crash_watch.quarantine.quarantines == {}


@pytest.mark.parametrize("seed", [1, 2])
def test_crashing_part_is_refused_under_other_faults(seed):
    counts = run_crash_soak(seed, 2 * COUNTED_S)
    assert counts["crashes"] > 0
    assert counts["bad_sent"] > 0
