"""Engines that write an earlier refusal once more on a kept connection."""

import asyncio
import random

import pytest

from platform_fakes import ROUTES, FakeEngine, FakeStore, configuration
from ports import allocate_port
from response_faults import REPEATS
from soak_processes import Gateway

CALLERS, REQUESTS_PER_CALLER = 12, 12
PROMISES = (408, 421, 429, 503)
STARTUP_TIMEOUT_S = 10.0
ATTEMPTS = 3


class MoodyEngine(FakeEngine):
    """Engine that refuses a third of the requests, and repeats only refusals."""

    def __init__(self, engine_id, service, stage, way, seed, *, names_requests):
        super().__init__(engine_id, service, stage)
        self.behaviour = "moody"
        self.random = random.Random(seed)
        self.way = way
        self.names_requests = names_requests
        self.refused = set()

    async def moody(self, connection, request, headers):
        request_id = headers[b"x-jasminewalk-request-id"].decode()
        refuses = self.random.random() < 1 / 3
        self.faults.repeats = (self.way,) if refuses else ()
        if refuses:
            # What was counted as run when it arrived has not run.
            self.executed_requests.pop()
            self.refused.add(request_id)
            named = headers if self.names_requests else {}
            refusal = [
                *self.build_headers(named),
                (b"x-jasminewalk-not-executed", b"1"),
            ]
            connection.send_response(503, refusal, b"full")
            return
        await asyncio.sleep(0.02)
        self.faults.repeats = ()
        await self.answer(connection, request, headers)


@pytest.fixture
async def start(tmp_path):
    gateways = []

    async def start(engines):
        store = FakeStore()
        await store.start(allocate_port())
        routes = [route | {"max_attempts": ATTEMPTS} for route in ROUTES]
        store.put("keyed.op", "config", configuration(routes=routes))
        for engine in engines:
            await engine.start(allocate_port())
            store.put("keyed.servers", engine.engine_id, engine.entry())
        gateway = Gateway("front-0", "127.0.0.2", tmp_path, store.address)
        gateways.append(gateway)
        gateway.start()
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while await send(gateway, "/nowhere/", "ready") != 404:
                await asyncio.sleep(0.05)
        return gateway

    yield start
    for gateway in gateways:
        gateway.kill()


async def send(gateway, path, request_id):
    """Send a request and return the status of its answer; 0 if there is none."""
    try:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
    except OSError:
        return 0
    head = (
        f"POST {path} HTTP/1.1\r\nHost: bar.example\r\nConnection: close\r\n"
        f"X-Jasminewalk-Request-Id: {request_id}\r\n"
        "X-Jasminewalk-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    )
    writer.write(head.encode())
    received = await reader.read()
    writer.close()
    return int(received.split()[1]) if received else 0


@pytest.mark.anyio
@pytest.mark.parametrize("names_requests", [True, False])
@pytest.mark.parametrize("way", REPEATS)
@pytest.mark.parametrize(
    ("path", "service", "stage"), [("/book/", "app", ""), ("/help/", "llm", "decode")]
)
async def test_repeated_refusal_is_taken_for_no_other_request(
    start, path, service, stage, way, names_requests
):
    # Guards against "not run" for requests that run, and against a second run of them.
    engines = [
        MoodyEngine(
            f"e-{number}", service, stage, way, number, names_requests=names_requests
        )
        for number in range(2)
    ]
    gateway = await start(engines)
    statuses = {}

    async def call(caller):
        for number in range(REQUESTS_PER_CALLER):
            request_id = f"c{caller}-{number}"
            statuses[request_id] = await send(gateway, path, request_id)

    await asyncio.gather(*(call(caller) for caller in range(CALLERS)))
    await asyncio.sleep(0.1)
    runs = [run[0] for engine in engines for run in engine.executed_requests]
    promised = {name for name, status in statuses.items() if status in PROMISES}
    assert not promised & set(runs)
    assert len(runs) == len(set(runs))
    assert sum(engine.faults.repeated_count for engine in engines) >= 10
    served = sum(status == 200 for status in statuses.values())
    assert served >= len(statuses) / 2
