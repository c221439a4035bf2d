"""Parts of prompts that crash each engine that begins to write an answer on them."""

import asyncio

import pytest

from crashing_engines import CRASH_POINTS, CrashFleet

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
