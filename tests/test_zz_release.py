from test_streams_outlive_gateways import *
from test_streams_outlive_gateways import start_fleet
@pytest.mark.anyio
@pytest.mark.parametrize("n", range(3))
@pytest.mark.parametrize("down_at", [0.0, 0.4])
@pytest.mark.parametrize("outage", [0.6, 1.5])
async def test_rel(start_fleet, n, down_at, outage):
    fleet = await start_fleet(ONE_VERSION)
    streams = begin_streams(fleet, 4.5 + outage)
    await asyncio.sleep(0.5)
    for number, engine in enumerate(list(fleet.engines)[:5]):
        await fleet.add_engine(f"new-{number}", "v2")
        fleet.store.put("keyed.servers", engine.engine_id, engine.entry("draining"))
        await asyncio.sleep(0.4)
        if number == 2:
            fleet.store.down = True
            await asyncio.sleep(down_at)
            fleet.kill_all_gateways()
            await asyncio.sleep(outage)
            fleet.store.down = False
    await streams
    mixed = fleet.count_mixed()
    taken_up = fleet.list_taken_up(["v1","v2"])
    resumed = sum(bool(s.resumed or s.complete) for s in taken_up)
    import json, collections
    ref = collections.Counter((l.get("reason"), l.get("known_by"), l.get("store_answered")) for l in fleet.list_refusals(but_reason="starting"))
    print(f"REL down_at={down_at} outage={outage} {resumed} of {len(taken_up)} mixed={mixed} streams={len(fleet.streams)}", dict(ref), collections.Counter(s for t in taken_up if not (t.resumed or t.complete) for s in t.statuses))
