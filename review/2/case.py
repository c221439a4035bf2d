"""A registry entry that can't be read, then the end of all gateway processes."""

# ruff: noqa: D103

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import BOUNDS, Client, run_case  # noqa: E402

# An entry of another writer: bytes that can't be read.
UNREADABLE = b"[" * 100_000
RATE_PER_S = 20
BEFORE_S = 6.0
DOWN_S = 0.5
AFTER_S = 8.0
ROUTE = {
    "name": "lookup",
    "host": "bar.example",
    "path_prefix": "/look/",
    "kind": "safe",
    "timeout_ms": 1500,
    "target_latency_ms": 150,
    "service": "app",
    "max_attempts": 2,
}
SERVICE = {"name": "app", "health_path": "/health", "max_connections": 100}


async def main(world):
    world.configure([ROUTE], [SERVICE])
    for number in range(3):
        await world.add_engine(f"i-app-{number}", "app")
    await world.add_gateways(2)
    await world.wait_until_ready()
    record, served = world.record, []

    async def request(number):
        # The platform connects a client to a gateway in rotation, or else to any.
        ready = [g for g in world.gateways if g.name in rotation] or world.gateways
        client = Client(ready[number % len(ready)].front, record)
        sent_at = time.monotonic()
        answer = await client.send("GET", "/look/x", f"r{number:06}", 1500)
        client.close()
        served.append((sent_at, answer.status == 200 and answer.complete))

    rotation = {gateway.name for gateway in world.gateways}

    async def watch():
        misses = dict.fromkeys((gateway.name for gateway in world.gateways), 0)
        while True:
            for gateway in world.gateways:
                is_ready = await gateway.is_ready()
                misses[gateway.name] = 0 if is_ready else misses[gateway.name] + 1
                if is_ready:
                    rotation.add(gateway.name)
                elif misses[gateway.name] >= 2:
                    rotation.discard(gateway.name)
            await asyncio.sleep(1.0)

    async def traffic():
        number = 0
        while True:
            number += 1
            world.spawn(request(number))
            await asyncio.sleep(1 / RATE_PER_S)

    world.spawn(watch())
    world.spawn(traffic())
    await asyncio.sleep(BEFORE_S / 2)
    if world.trouble:
        record.say("another writer's entry, which can't be read, is in the registry")
        world.store.put("keyed.servers", "i-other", UNREADABLE)
    await asyncio.sleep(BEFORE_S / 2)
    record.say("all gateway processes are killed")
    killed_at = time.monotonic()
    await asyncio.gather(*(gateway.end() for gateway in world.gateways))
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(gateway.start() for gateway in world.gateways))
    back_at = time.monotonic()
    record.say("they are started again")
    await asyncio.sleep(BOUNDS["recover_s"] + AFTER_S)
    before = [good for sent_at, good in served if sent_at < killed_at]
    later = [
        good for sent_at, good in served if sent_at > back_at + BOUNDS["recover_s"]
    ]
    record.say(f"before the kill: {sum(before)} of {len(before)} requests were served")
    late = f"later than {BOUNDS['recover_s']} s after the start"
    record.say(f"{late}: {sum(later)} of {len(later)}")
    if len(before) < 50 or sum(before) < len(before) / 4 or len(later) < 50:
        record.say("could not run: too few requests, or too few served before")
        return 2
    broken = sum(later) < len(later) / 4
    record.say("RECOVER is broken" if broken else "RECOVER holds")
    return int(broken)


run_case(FOLDER, main)
