"""Engines that crash under one part of a prompt, or under one whole request."""

import asyncio
import json
import random
from contextlib import suppress
from functools import partial

from jasminewalk.gateway.request_fingerprint import compute_request_fingerprint
from jasminewalk.http1 import CallerRequest
from platform_fakes import FakeEngine, FakeStore, build_event, configuration
from ports import allocate_port
from soak_callers import SoakCallers
from soak_processes import Gateway

__all__ = [
    "BAD_BODY",
    "BAD_PART",
    "CRASH_POINTS",
    "CrashFleet",
    "CrashingEngine",
    "compute_bad_fingerprint",
]

BAD_PART = "bad"
BAD_BODY = b"crash"
# How far the response to a request with the bad part gets.
CRASH_POINTS = ("before_head", "after_head", "in_event")
# Seconds that an engine reads a prompt, writes before it crashes, and until it serves
# again at the same address, with another id.
READING_S = 0.02
CRASH_AFTER_S = 0.03
DOWN_S = (0.8, 1.6)
# Seconds after a crash in which the entry of the engine is removed.
ENTRY_EXPIRY_S = 0.6
STARTUP_TIMEOUT_S = 10.0
SETTLING_S = 1.0


class CrashingEngine(FakeEngine):
    """Engine whose process ends with a request that has the bad part or body.

    ``on_crash`` is called with the engine at each crash. All requests that run break
    off, and nothing listens at the address until the engine is back.
    """

    def __init__(self, engine_id, crash_point, stage="decode", service="llm"):
        super().__init__(engine_id, service, stage)
        self.behaviour = "write" if service == "llm" else "work"
        self.crash_point = crash_point
        self.event_count = 5
        self.bad_part = BAD_PART
        self.crashes_reading = False
        self.reading_s = READING_S
        self.bad_arrivals = []
        self.on_crash = lambda engine: None

    async def work(self, connection, request, headers):
        """Answer a plain request; crash if it has the bad body."""
        is_bad = request.body == BAD_BODY
        if is_bad:
            self.bad_arrivals.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.reading_s)
        if is_bad:
            await self.crash_with(connection, headers)
            return
        connection.send_response(200, self.build_headers(headers), b"done")

    async def write(self, connection, request, headers):
        """Read the prompt, then write events; crash if the request is bad."""
        is_bad = self.has_bad_part(headers) or request.body == BAD_BODY
        if is_bad:
            self.bad_arrivals.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.reading_s)
        if headers.get(b"x-jasminewalk-stage") == b"prefill":
            if self.crashes_reading:
                self.on_crash(self)
            await self.answer(connection, request, headers)
            return
        if is_bad:
            await self.crash_with(connection, headers)
            return
        connection.start_stream(200, self.build_headers(headers))
        for number in range(1, self.event_count + 1):
            connection.send_chunk(build_event(headers, number))
            await asyncio.sleep(READING_S / 4)
        connection.end_stream()

    def has_bad_part(self, headers):
        prefix = headers.get(b"x-jasminewalk-prompt-prefix", b"").decode()
        return self.bad_part in [part.split(":")[0] for part in prefix.split(",")[:-1]]

    async def crash_with(self, connection, headers):
        if self.crash_point != "before_head":
            connection.start_stream(200, self.build_headers(headers))
        if self.crash_point == "in_event":
            connection.send_chunk(b"id: 1\nda")
        await asyncio.sleep(CRASH_AFTER_S)
        self.on_crash(self)

    def crash(self):
        """Close all connections and stop listening, as a process that ends."""
        self.server.stop_listening()
        for connection in list(self.server.connections):
            connection.close()


def compute_bad_fingerprint(path):
    """Return the fingerprint of the request that crashes engines as a whole."""
    request = CallerRequest(
        b"POST", path.encode(), [(b"host", b"bar.example")], BAD_BODY, 0.0, False
    )
    return compute_request_fingerprint(request)


class CrashFleet:
    """Gateways in processes of their own, and engines that crash and come back.

    :param directory: directory of the settings and logs.
    :param crash_point: how far the response of a crashing request gets.
    :param engines: number of engines.
    :param gateways: number of gateways.
    :param service: service of the engines.
    :param sound_repeats: how often a sound request that fails is sent again at once.
    """

    def __init__(
        self,
        directory,
        crash_point="after_head",
        engines=6,
        gateways=3,
        seed=1,
        service="llm",
        sound_repeats=0,
    ):
        self.service = service
        self.sound_repeats = sound_repeats
        self.directory = directory
        self.random = random.Random(seed)
        self.crashes = []
        self.bad_arrivals = []
        self.store = FakeStore()
        self.crash_point = crash_point
        self.engines = [self.make_engine(number) for number in range(engines)]
        self.engine_count = engines
        self.gateways = []
        self.gateway_count = gateways
        self.callers = SoakCallers(self)
        self.sound_answers = []
        self.request_count = 0
        self.tasks = set()

    def make_engine(self, number, stage="decode"):
        engine = CrashingEngine(
            f"{stage}-{number}", self.crash_point, stage, self.service
        )
        engine.on_crash = self.handle_crash
        engine.bad_arrivals = self.bad_arrivals
        return engine

    def now(self):
        return asyncio.get_running_loop().time()

    async def start(self):
        await self.store.start(allocate_port())
        self.store.put("keyed.op", "config", configuration())
        engines, self.engines = self.engines, []
        for engine in engines:
            await self.add_engine(engine)
        for number in range(self.gateway_count):
            self.add_gateway(number)
        for gateway in self.gateways:
            await self.wait_until_ready(gateway)
        await asyncio.sleep(SETTLING_S)

    async def add_engine(self, engine):
        await engine.start(allocate_port())
        self.engines.append(engine)
        self.put_entry(engine)

    def add_gateway(self, number):
        ip = f"127.0.0.{number + 2}"
        gateway = Gateway(f"front-{number}", ip, self.directory, self.store.address)
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def wait_until_ready(self, gateway):
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while await self.send_sound(gateway, counted=False) != 200:
                await asyncio.sleep(0.02)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.kill()
        for engine in self.engines:
            engine.server.stop_listening()

    def put_entry(self, engine):
        self.store.put("keyed.servers", engine.engine_id, engine.entry())

    def handle_crash(self, engine):
        """Crash an engine, and bring it back after a while under another id."""
        if engine in self.engines:
            self.crashes.append(self.now())
            self.engines.remove(engine)
            engine.crash()
            self.spawn(self.replace(engine))

    async def replace(self, engine):
        await asyncio.sleep(ENTRY_EXPIRY_S)
        self.store.put("keyed.servers", engine.engine_id, None)
        await asyncio.sleep(self.random.uniform(*DOWN_S) - ENTRY_EXPIRY_S)
        self.engine_count += 1
        started = self.make_engine(self.engine_count, engine.stage)
        started.born = self.engine_count
        started.crashes_reading = engine.crashes_reading
        await started.start(int(engine.address.rpartition(":")[2]))
        self.engines.append(started)
        self.put_entry(started)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def crash_randomly(self, interval_s):
        """Crash an engine at each interval, whatever it runs."""
        with suppress(asyncio.CancelledError):
            while True:
                await asyncio.sleep(interval_s)
                if len(self.engines) > 1:
                    self.handle_crash(self.random.choice(self.engines))

    def read_log_lines(self, event):
        """Return the lines of an event in the logs of all gateways."""
        text = "".join(
            path.read_text(encoding="utf-8") for path in self.directory.glob("*.log")
        )
        return [line for line in text.splitlines() if f'"event":"{event}"' in line]

    def list_blamed_requests(self):
        """Return the fingerprints that crashed an engine in a trial."""
        lines = map(json.loads, self.read_log_lines("request_quarantined"))
        return {
            fingerprint
            for line in lines
            if "tried again" in line["detail"]
            for fingerprint in line["parts"]
        }

    # Requests.

    def build_prompt(self, *shared):
        self.request_count += 1
        unit = f"unit-{self.random.randrange(6)}:40"
        parts = ["school:80", unit, *shared, f"own-{self.request_count}:220"]
        return {
            "X-Jasminewalk-Token-Usage": "380,40",
            "X-Jasminewalk-Prompt-Prefix": ",".join(parts),
        }

    async def send_sound(self, gateway, counted=True):
        sent_at = self.now()
        if self.service == "llm":
            prompt = self.build_prompt()
            send = partial(self.send_prompt, path="/help/x", prompt=prompt)
        else:
            self.request_count += 1
            body = b"seat %d" % self.request_count
            send = partial(self.callers.send, path="/look/x", body=body, timeout_s=2.5)
        answer = await send(gateway)
        for _ in range(self.sound_repeats):
            if answer.status == 200:
                break
            answer = await send(self.random.choice(self.gateways))
        if counted:
            served = answer.status == 200 and answer.complete
            self.sound_answers.append((sent_at, served))
        return answer.status

    async def send_bad(self, gateway):
        prompt = self.build_prompt(f"{BAD_PART}:50")
        return await self.send_prompt(gateway, "/help/x", prompt)

    async def send_bad_body(self, gateway, path):
        """Send the request that crashes engines as a whole, under a new id."""
        prompt = {
            "X-Jasminewalk-Token-Usage": "380,40",
            "X-Jasminewalk-Prompt-Prefix": "school:80,unit-1:40,own:260",
        }
        headers = prompt if self.service == "llm" else {}
        return await self.callers.send(gateway, path, BAD_BODY, 2.5, **headers)

    async def send_prompt(self, gateway, path, prompt):
        return await self.callers.send(gateway, path, b"", 2.5, **prompt)

    async def send_repeatedly(self, send, interval_s):
        """Send a request at each interval, to any gateway, without waiting for it."""
        with suppress(asyncio.CancelledError):
            while True:
                self.spawn(send(self.random.choice(self.gateways)))
                await asyncio.sleep(interval_s)

    def count_bad_requests(self, since):
        """Return the requests with the bad part that reached engines since a time."""
        return sum(at >= since for at in self.bad_arrivals)

    def compute_sound_share(self, since, until):
        """Return the share of sound requests of a time that were served."""
        served = [ok for at, ok in self.sound_answers if since <= at < until]
        return sum(served) / len(served)
