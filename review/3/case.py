"""SIGTERM of a gateway while clients stream on kept connections."""

# ruff: noqa: D103

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import BOUNDS, Client, run_case  # noqa: E402

CLIENTS = 10
# 80 tokens, as in the example of PROTOCOL.md; 50 ms for each.
TOKENS = "120,80"
GAP_S = 0.05
DEADLINE_MS = 5000
# A request sent until then may still run when the grace period is nearly over.
EXCUSED_UNTIL_S = 3.0
ROUTE = {
    "name": "chat",
    "host": "bar.example",
    "path_prefix": "/chat/",
    "kind": "streaming",
    "timeout_ms": DEADLINE_MS,
    "target_latency_ms": 500,
    "gap_aim_ms": 150,
    "service": "llm",
    "max_attempts": 1,
}
SERVICE = {
    "name": "llm",
    "health_path": "/health",
    "max_connections": 100,
    "engine": {"slots": 16, "kv_capacity": 100000, "switch_s": 3.0, "kv_hold_s": 5.0},
}


async def main(world):
    world.configure([ROUTE], [SERVICE])
    await world.add_engine("i-llm-0", "llm", stage="prefill")
    for number in (1, 2):
        await world.add_engine(f"i-llm-{number}", "llm", stage="decode", gap_s=GAP_S)
    await world.add_gateways(2)
    await world.wait_until_ready()
    await asyncio.sleep(2.0)
    record = world.record
    gateway = world.gateways[0]
    results = []

    async def use(number):
        client = Client(gateway.front, record)
        for turn in (1, 2):
            request_id = f"c{number:02}-{turn}"
            headers = {
                "X-Jasminewalk-Model": "m",
                "X-Jasminewalk-Token-Usage": TOKENS,
                "X-Jasminewalk-Prompt-Prefix": f"{number:04x}:120",
            }
            answer = await client.send(
                "POST", "/chat/x", request_id, DEADLINE_MS, headers, b"hello"
            )
            results.append((request_id, client.sent_at, time.monotonic(), answer))
            if not client.is_open:
                return

    users = [world.spawn(use(number)) for number in range(CLIENTS)]
    while sum(len(engine.runs) for engine in world.engines) < CLIENTS:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    stopped_at = time.monotonic()
    if world.trouble:
        record.say("SIGTERM to front-1")
        gateway.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["grace_s"]):
                await gateway.process.wait()
            record.say(f"it ended after {time.monotonic() - stopped_at:.2f} s")
        except TimeoutError:
            record.say("SIGKILL to front-1 after the grace period")
            await gateway.end()
    await asyncio.gather(*users)
    lost = []
    ran = {request_id for engine in world.engines for _, request_id in engine.runs}
    for request_id, sent_at, ended_at, answer in results:
        if answer.complete or request_id not in ran:
            continue
        sent_s, taken_s = sent_at - stopped_at, ended_at - sent_at
        record.say(
            f"{request_id}, sent {sent_s:.2f} s after the SIGTERM, got status "
            f"{answer.status} and is cut {taken_s:.2f} s after it was sent"
        )
        # Not counted: at work late in the grace period, but sent early; or timed out.
        excused = sent_s <= EXCUSED_UNTIL_S or taken_s >= DEADLINE_MS / 1e3
        if not excused:
            lost.append(request_id)
    record.say(f"{len(results)} requests, {len(lost)} of them lost")
    first = [answer for name, _, _, answer in results if name.endswith("-1")]
    if not all(answer.complete for answer in first) or len(results) != 2 * CLIENTS:
        record.say("could not run: not all first streams were whole")
        return 2
    record.say("LOST is broken" if lost else "LOST holds")
    return int(bool(lost))


run_case(FOLDER, main)
