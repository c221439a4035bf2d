"""Time to the first token that the request path adds at 200 open streams.

Probes alternate between the engine itself and the entry.
"""

import statistics
import time

import anyio
import httpcore
from _bench import Comparison, print_rows, save_rows
from _single_engine_fleet import build_chat_body, build_generate_body, run_fleet

STREAM_COUNT = 200
TOKEN_INTERVAL_S = 0.2
PROBE_COUNT = 200
PROBE_TOKENS = 1
MAX_TOKENS = 100_000
WARMUP_S = 4.0
PAUSE_S = 0.01
MS_PER_S = 1e3
LIMIT_MS = 5.0


async def read_stream(pool, url, body):
    """Read a stream until cancelled."""
    async with pool.stream("POST", url, content=body) as response:
        assert response.status == 200, await response.aread()
        async for _ in response.aiter_stream():
            pass


async def measure_first_token_ms(pool, url, body, marker):
    """Return the milliseconds until the marker of the first token arrives."""
    start_s = time.perf_counter()
    first_token_s = 0.0
    async with pool.stream("POST", url, content=body) as response:
        assert response.status == 200, await response.aread()
        async for data in response.aiter_stream():
            if not first_token_s and marker in data:
                first_token_s = time.perf_counter()
    return (first_token_s - start_s) * MS_PER_S


async def measure_first_tokens(fleet):
    """Return the times to the first token of direct requests and of the request path.

    All times are in milliseconds.
    """
    direct_ms, path_ms = [], []
    async with (
        httpcore.AsyncConnectionPool(max_connections=1000) as background,
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as group,
    ):
        for number in range(STREAM_COUNT):
            body = build_chat_body(number, MAX_TOKENS)
            group.start_soon(read_stream, background, fleet.chat_url, body)
        await anyio.sleep(WARMUP_S)
        open_streams = fleet.get_counts("tutor-1")["open"]
        assert open_streams == STREAM_COUNT, open_streams
        for number in range(PROBE_COUNT):
            body = build_generate_body(10_000 + number, PROBE_TOKENS)
            elapsed_ms = await measure_first_token_ms(
                pool, fleet.engine_url, body, b'"n":0'
            )
            direct_ms.append(elapsed_ms)
            await anyio.sleep(PAUSE_S)
            body = build_chat_body(20_000 + number, PROBE_TOKENS)
            elapsed_ms = await measure_first_token_ms(
                pool, fleet.chat_url, body, b'"content":" '
            )
            path_ms.append(elapsed_ms)
            await anyio.sleep(PAUSE_S)
        group.cancel_scope.cancel()
    return direct_ms, path_ms


def main() -> list[Comparison]:
    with run_fleet(TOKEN_INTERVAL_S) as fleet:
        direct_ms, path_ms = anyio.run(
            measure_first_tokens, fleet, backend_options={"use_uvloop": True}
        )
    rows = []
    for name, fraction in (("median", 0.5), ("95th percentile", 0.95)):
        bare = statistics.quantiles(direct_ms, n=100)[int(fraction * 100) - 1]
        path = statistics.quantiles(path_ms, n=100)[int(fraction * 100) - 1]
        rows.append(
            Comparison(
                name=f"first token at {STREAM_COUNT} streams, {name}",
                unit="ms",
                bare=bare,
                path=path,
                limit=f"{LIMIT_MS:g} ms more",
                compared=f"{path - bare:.2f} ms more",
            )
        )
    save_rows("first_token", rows)
    return rows


if __name__ == "__main__":
    print_rows(main())
