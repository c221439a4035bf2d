"""CPU time per relayed token of entry and sidecar, compared with a minimal relay."""

import time

import anyio
import httpcore
from _bench import Comparison, LinearFit, fit_line, print_rows, save_rows
from _single_engine_fleet import (
    build_chat_body,
    build_generate_body,
    read_cpu_s,
    run_fleet,
)

STREAM_COUNTS = (8, 24, 48)
TOKEN_INTERVAL_S = 0.02
WARMUP_S = 2.0
RUN_S = 5.0
MAX_TOKENS = 100_000
US_PER_S = 1e6
MAX_RATIO = 3.0


class TokenCounter:
    """Counts the received tokens."""

    def __init__(self):
        self.tokens = 0


async def read_stream(pool, url, body, counter):
    """Read a stream and count its tokens until cancelled."""
    async with pool.stream("POST", url, content=body) as response:
        assert response.status == 200, await response.aread()
        async for data in response.aiter_stream():
            counter.tokens += data.count(b"\n\n") or data.count(b"\n")


async def measure_load(url, bodies, pids):
    """Return the tokens received per second and the CPU use of each process.

    The CPU use is in CPU seconds per second.

    :param url: URL that the requests are sent to.
    :param bodies: request body of each stream.
    :param pids: process identifiers of the measured processes.
    """
    counter = TokenCounter()
    async with (
        httpcore.AsyncConnectionPool(max_connections=1000) as pool,
        anyio.create_task_group() as group,
    ):
        for body in bodies:
            group.start_soon(read_stream, pool, url, body, counter)
        await anyio.sleep(WARMUP_S)
        start_tokens, start_cpu_s = counter.tokens, [read_cpu_s(pid) for pid in pids]
        start_s = time.monotonic()
        await anyio.sleep(RUN_S)
        elapsed_s = time.monotonic() - start_s
        used_cpu_s = [
            read_cpu_s(pid) - initial_cpu_s
            for pid, initial_cpu_s in zip(pids, start_cpu_s, strict=True)
        ]
        tokens_per_s = (counter.tokens - start_tokens) / elapsed_s
        group.cancel_scope.cancel()
    return tokens_per_s, [cpu_s / elapsed_s for cpu_s in used_cpu_s]


def run_load(url, bodies, pids):
    """Run ``measure_load`` in an event loop and return its result."""
    return anyio.run(
        measure_load, url, bodies, pids, backend_options={"use_uvloop": True}
    )


def main() -> list[LinearFit | Comparison]:
    points = {"bare": [], "entry": [], "sidecar": []}
    first_number = 0
    with run_fleet(TOKEN_INTERVAL_S) as fleet:
        bare_url = fleet.start_bare_relay()
        pids = [fleet.get_pid("entry-1"), fleet.get_pid("sidecar-tutor-1")]
        for count in STREAM_COUNTS:
            numbers = range(first_number, first_number + count)
            first_number += count
            bodies = [build_generate_body(number, MAX_TOKENS) for number in numbers]
            tokens_per_s, [bare_cpu] = run_load(
                bare_url, bodies, [fleet.get_pid("bare")]
            )
            points["bare"].append((tokens_per_s, bare_cpu * US_PER_S))
            bodies = [build_chat_body(number, MAX_TOKENS) for number in numbers]
            tokens_per_s, [entry_cpu, sidecar_cpu] = run_load(
                fleet.chat_url, bodies, pids
            )
            points["entry"].append((tokens_per_s, entry_cpu * US_PER_S))
            points["sidecar"].append((tokens_per_s, sidecar_cpu * US_PER_S))
            time.sleep(1.0)
    names = {
        "bare": "processor time of a bare relay",
        "entry": "processor time of an entry that relays",
        "sidecar": "processor time of a sidecar that relays",
    }
    rows = [
        fit_line(name, "token a second", "us/s", points[key])
        for key, name in names.items()
    ]
    bare, entry, sidecar = rows
    path_slope = entry.slope + sidecar.slope
    comparison = Comparison(
        name="relaying one token",
        unit="us",
        bare=bare.slope,
        path=path_slope,
        limit=f"{MAX_RATIO:g} times",
        compared=f"{path_slope / bare.slope:.2f} times",
    )
    save_rows("token_relay", [*rows, comparison])
    return [*rows, comparison]


if __name__ == "__main__":
    print_rows(main())
