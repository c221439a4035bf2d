"""Streams that callers resume after all gateways died, in turn, or in an outage."""

import asyncio

import pytest

from versioned_engines import VersionFleet

# Least streams that are taken up, and the share of them that goes on.
MIN_TAKEN_UP = 40
MIN_RESUMED_SHARE = 0.9
# The share below which the users' rule is broken, if all new streams begin.
MIN_ALLOWED_SHARE = 0.5
INTERVAL_S = 0.007
PATIENCE_S = 4.0
ONE_VERSION = {"v1": 7}
TWO_VERSIONS = {"v1": 3, "v2": 4}


@pytest.fixture
async def start_fleet(tmp_path):
    fleets = []

    async def start(versions, **options):
        fleet = VersionFleet(tmp_path, versions, **options)
        fleets.append(fleet)
        await fleet.start()
        await fleet.wait_for_shares(versions)
        return fleet

    yield start
    for fleet in fleets:
        fleet.stop()


def begin_streams(fleet, seconds):
    streams = fleet.stream_repeatedly(INTERVAL_S, seconds, patience_s=PATIENCE_S)
    return fleet.spawn(streams)


def check_streams(fleet, versions):
    assert fleet.count_mixed() == 0
    taken_up = fleet.list_taken_up(versions)
    # One that had all events but not its end only needs that.
    resumed = sum(bool(stream.resumed or stream.complete) for stream in taken_up)
    print(f"{resumed} of {len(taken_up)} go on")
    assert len(taken_up) >= MIN_TAKEN_UP
    assert resumed >= MIN_ALLOWED_SHARE * len(taken_up)
    assert resumed >= MIN_RESUMED_SHARE * len(taken_up)


@pytest.mark.anyio
@pytest.mark.parametrize("versions", [ONE_VERSION, TWO_VERSIONS])
@pytest.mark.parametrize("outage_s", [None, (1.0, 0.0), (1.0, 1.0), (-0.2, 1.5)])
async def test_streams_go_on_after_all_gateways_died(start_fleet, versions, outage_s):
    fleet = await start_fleet(versions)
    streams = begin_streams(fleet, 3.0)
    await asyncio.sleep(1.0)
    if outage_s is None:
        fleet.kill_all_gateways()
    else:
        begins_s, lasts_s = outage_s
        fleet.store.down = begins_s > 0
        await asyncio.sleep(max(0.0, begins_s))
        fleet.kill_all_gateways()
        fleet.store.down = lasts_s > 0
        await asyncio.sleep(lasts_s)
        fleet.store.down = False
    await streams
    check_streams(fleet, versions)


@pytest.mark.anyio
@pytest.mark.parametrize("versions", [ONE_VERSION, TWO_VERSIONS])
@pytest.mark.parametrize("store_down", [False, True])
async def test_streams_go_on_after_gateways_died_in_turn(
    start_fleet, versions, store_down
):
    fleet = await start_fleet(versions)
    streams = begin_streams(fleet, 5.0)
    for gateway in fleet.gateways:
        await asyncio.sleep(1.0)
        fleet.store.down = store_down
        gateway.kill()
        gateway.start()
    await asyncio.sleep(1.0)
    fleet.store.down = False
    await streams
    check_streams(fleet, versions)


@pytest.mark.anyio
@pytest.mark.parametrize("settled_s", [0.0, 0.3, 1.0])
async def test_streams_go_on_though_a_version_has_just_left(start_fleet, settled_s):
    fleet = await start_fleet(TWO_VERSIONS)
    streams = begin_streams(fleet, 4.0)
    await asyncio.sleep(1.0)
    leaving = [engine for engine in fleet.engines if engine.version == "v1"]
    for engine in leaving:
        fleet.store.put("keyed.servers", engine.engine_id, engine.entry("draining"))
    await asyncio.sleep(1.2)
    for engine in leaving:
        fleet.store.put("keyed.servers", engine.engine_id, None)
        engine.crash()
        fleet.engines.remove(engine)
    await asyncio.sleep(settled_s)
    fleet.kill_all_gateways()
    await streams
    check_streams(fleet, ["v2"])


@pytest.mark.anyio
async def test_streams_go_on_while_a_release_runs(start_fleet):
    fleet = await start_fleet(ONE_VERSION)
    streams = begin_streams(fleet, 4.5)
    await asyncio.sleep(0.5)
    for number, engine in enumerate(list(fleet.engines)[:5]):
        await fleet.add_engine(f"new-{number}", "v2")
        fleet.store.put("keyed.servers", engine.engine_id, engine.entry("draining"))
        await asyncio.sleep(0.4)
        if number in (2, 4):
            fleet.kill_all_gateways()
    await streams
    check_streams(fleet, ["v1", "v2"])


@pytest.mark.anyio
@pytest.mark.parametrize("outage_s", [(0.0, 1.0), (0.4, 0.6), (0.4, 1.5)])
async def test_streams_go_on_though_the_store_fails_in_a_release(start_fleet, outage_s):
    down_s, lasts_s = outage_s
    fleet = await start_fleet(ONE_VERSION)
    streams = begin_streams(fleet, 4.5 + lasts_s)
    await asyncio.sleep(0.5)
    for number, engine in enumerate(list(fleet.engines)[:5]):
        await fleet.add_engine(f"new-{number}", "v2")
        fleet.store.put("keyed.servers", engine.engine_id, engine.entry("draining"))
        await asyncio.sleep(0.4)
        if number == 2:
            fleet.store.down = True
            await asyncio.sleep(down_s)
            fleet.kill_all_gateways()
            await asyncio.sleep(lasts_s)
            fleet.store.down = False
    await streams
    check_streams(fleet, ["v1", "v2"])
