"""Whole requests that crash each engine that begins to run them."""

import asyncio
from functools import partial

import pytest

from crashing_engines import CrashFleet

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
