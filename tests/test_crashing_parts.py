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
