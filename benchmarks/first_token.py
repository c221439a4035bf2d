"""Added time to the first token at 200 streams, against asking the engine."""

import statistics
import time

import anyio
import httpcore
from _bench import Ratio, save, show
from _path import chat_body, generate_body, path_fleet

STREAMS = 200
PERIOD_S = 0.2
PROBES = 200
PROBE_TOKENS = 1
MAX_TOKENS = 100_000
WARM_S = 4.0
PAUSE_S = 0.01
MS = 1e3
LIMIT_MS = 5.0


async def read_stream(pool, url, body):
    """Read a stream until cancelled."""
    async with pool.stream("POST", url, content=body) as response:
        assert response.status == 200, await response.aread()
        async for _ in response.aiter_stream():
            pass


async def first_token_ms(pool, url, body, mark):
    """Return the milliseconds until the mark of a token comes."""
    start_s = time.perf_counter()
    found_s = 0.0
    async with pool.stream("POST", url, content=body) as response:
        assert response.status == 200, await response.aread()
        async for data in response.aiter_stream():
            if not found_s and mark in data:
                found_s = time.perf_counter()
    return (found_s - start_s) * MS


async def probe(path):
    """Return times to the first token, directly and through the path."""
    direct, through = [], []
    async with (
        httpcore.AsyncConnectionPool(max_connections=1000) as background,
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as group,
    ):
        for number in range(STREAMS):
            body = chat_body(number, MAX_TOKENS)
            group.start_soon(read_stream, background, path.chat_url, body)
        await anyio.sleep(WARM_S)
        running = path.get_counts("tutor-1")["open"]
        assert running == STREAMS, running
        for number in range(PROBES):
            body = generate_body(10_000 + number, PROBE_TOKENS)
            found = await first_token_ms(pool, path.engine_url, body, b'"n":0')
            direct.append(found)
            await anyio.sleep(PAUSE_S)
            body = chat_body(20_000 + number, PROBE_TOKENS)
            found = await first_token_ms(pool, path.chat_url, body, b'"content":" ')
            through.append(found)
            await anyio.sleep(PAUSE_S)
        group.cancel_scope.cancel()
    return direct, through


def main() -> list[Ratio]:
    with path_fleet(PERIOD_S) as path:
        direct, through = anyio.run(probe, path, backend_options={"use_uvloop": True})
    rows = []
    for name, pick in (("median", 0.5), ("95th percentile", 0.95)):
        bare = statistics.quantiles(direct, n=100)[int(pick * 100) - 1]
        path_ms = statistics.quantiles(through, n=100)[int(pick * 100) - 1]
        rows.append(
            Ratio(
                name=f"first token at {STREAMS} streams, {name}",
                unit="ms",
                bare=bare,
                path=path_ms,
                limit=f"{LIMIT_MS:g} ms more",
                compared=f"{path_ms - bare:.2f} ms more",
            )
        )
    save("first_token", rows)
    return rows


if __name__ == "__main__":
    show(main())
