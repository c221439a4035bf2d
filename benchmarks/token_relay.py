"""Processor time of a relayed token: entry and sidecar against a bare relay."""

import time

import anyio
import httpcore
from _bench import Ratio, Slope, save, show, slope
from _path import chat_body, cpu_s, generate_body, path_fleet

STREAMS = (8, 24, 48)
PERIOD_S = 0.02
WARM_S = 2.0
RUN_S = 5.0
MAX_TOKENS = 100_000
US = 1e6
LIMIT = 3.0


class Tokens:
    """Counts the chunks that come back."""

    def __init__(self):
        self.chunks = 0


async def read_stream(pool, url, body, tokens):
    """Read a stream until cancelled, counting its chunks."""
    async with pool.stream("POST", url, content=body) as response:
        assert response.status == 200, await response.aread()
        async for data in response.aiter_stream():
            tokens.chunks += data.count(b"\n\n") or data.count(b"\n")


async def load(url, bodies, pids):
    """Return tokens and processor seconds a second of some processes."""
    tokens = Tokens()
    async with (
        httpcore.AsyncConnectionPool(max_connections=1000) as pool,
        anyio.create_task_group() as group,
    ):
        for body in bodies:
            group.start_soon(read_stream, pool, url, body, tokens)
        await anyio.sleep(WARM_S)
        start, start_s = tokens.chunks, [cpu_s(pid) for pid in pids]
        begin_s = time.monotonic()
        await anyio.sleep(RUN_S)
        seconds = time.monotonic() - begin_s
        spent = [cpu_s(pid) - then for pid, then in zip(pids, start_s, strict=True)]
        rate = (tokens.chunks - start) / seconds
        group.cancel_scope.cancel()
    return rate, [value / seconds for value in spent]


def run(url, bodies, pids):
    return anyio.run(load, url, bodies, pids, backend_options={"use_uvloop": True})


def main() -> list[Slope | Ratio]:
    points = {"bare": [], "entry": [], "sidecar": []}
    number = 0
    with path_fleet(PERIOD_S) as path:
        bare_url = path.start_bare_relay()
        pids = [path.pid("entry-1"), path.pid("sidecar-tutor-1")]
        for count in STREAMS:
            numbers = range(number, number + count)
            number += count
            bodies = [generate_body(item, MAX_TOKENS) for item in numbers]
            rate, [bare] = run(bare_url, bodies, [path.pid("bare")])
            points["bare"].append((rate, bare * US))
            bodies = [chat_body(item, MAX_TOKENS) for item in numbers]
            rate, [entry, sidecar] = run(path.chat_url, bodies, pids)
            points["entry"].append((rate, entry * US))
            points["sidecar"].append((rate, sidecar * US))
            time.sleep(1.0)
    names = {
        "bare": "processor time of a bare relay",
        "entry": "processor time of an entry that relays",
        "sidecar": "processor time of a sidecar that relays",
    }
    rows = [
        slope(name, "token a second", "us/s", points[key])
        for key, name in names.items()
    ]
    bare, entry, sidecar = rows
    both = entry.slope + sidecar.slope
    ratio = Ratio(
        name="relaying one token",
        unit="us",
        bare=bare.slope,
        path=both,
        limit=f"{LIMIT:g} times",
        compared=f"{both / bare.slope:.2f} times",
    )
    save("token_relay", [*rows, ratio])
    return [*rows, ratio]


if __name__ == "__main__":
    show(main())
