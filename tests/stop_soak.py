"""Soak test of planned stops, with callers that keep their connections.

Callers send requests over connections that they keep until those end. A seeded
generator stops the gateway processes in turn, in part before the one before is back,
and has them reload their settings. No request may be cut that was passed on to an
engine, or that was sent a while before its connection ended.
"""

import asyncio
import random
import signal
import tempfile
from collections import Counter
from pathlib import Path

import attrs
import fire

from platform_fakes import ROUTES, FakeEngine, FakeStore, build_event, configuration
from ports import allocate_port
from soak_checks import ViolationError
from soak_processes import Gateway

CALLERS = 20
STARTUP_TIMEOUT_S = 15.0
# Grace period of the settings, in seconds.
GRACE_S = 5.0
# Seconds for which a request may have been on its way when its connection ends.
CROSSING_S = 0.2
# Seconds before its deadline from which a request may end without an answer.
DEADLINE_MARGIN_S = 0.1
DEADLINES_S = (0.5, 4.0)
PATHS = ("/book/x", "/look/x", "/help/x", "/verdict/x")
PROMISES = (408, 421, 429, 503)
TIMEOUT_MS = 6000
# Seconds between two stops; some come before the gateway before is back.
STOP_INTERVAL_S = (1.0, 5.0)
HANGUP_INTERVAL_S = (0.2, 1.0)


class PacedEngine(FakeEngine):
    """Engine that takes up to the longest deadline for a response."""

    def __init__(self, engine_id, service, stage, seed):
        super().__init__(engine_id, service, stage)
        self.random = random.Random(seed)
        self.behaviour = "pace"

    async def pace(self, connection, request, headers):
        lasts_s = self.random.uniform(0.02, 1.0) ** 2 * DEADLINES_S[1]
        if self.service != "llm":
            await asyncio.sleep(lasts_s)
            connection.send_response(200, self.build_headers(headers), b"served")
            return
        first = int(headers.get(b"last-event-id", b"0")) + 1
        count = max(first, int(lasts_s / 0.05))
        connection.start_stream(200, self.build_headers(headers))
        for number in range(first, count + 1):
            connection.send_chunk(build_event(headers, number))
            await asyncio.sleep(0.05)
        connection.end_stream()


@attrs.define
class Sent:
    """A request and what became of it.

    :param request_id: its id.
    :param path: its path.
    :param deadline_s: seconds that its caller waits.
    :param sent_at: time at which it was sent, in seconds.
    :param ended_at: time at which its response or its connection ended.
    :param status: status of its response; 0 if there is none.
    :param whole: whether its response is complete.
    """

    request_id: str
    path: str
    deadline_s: float
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False


class StopSoak:
    """One seeded run.

    :param seed: seed of the generator.
    :param duration: seconds in which gateways are stopped.
    :param directory: directory of the settings and logs.
    """

    def __init__(self, seed, duration, directory):
        self.random = random.Random(seed)
        self.duration = duration
        self.directory = directory
        self.store = FakeStore()
        self.engines = [
            PacedEngine(f"{service}-{number}", service, stage, seed + number)
            for service, stage in (("app", ""), ("llm", "decode"))
            for number in range(2)
        ]
        self.gateways = []
        # Gateways that were stopped and are not back yet.
        self.starting = set()
        self.requests = []
        self.stops = 0

    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        await self.store.start(allocate_port())
        routes = [route | {"timeout_ms": TIMEOUT_MS} for route in ROUTES]
        self.store.put("keyed.op", "config", configuration(routes=routes))
        for engine in self.engines:
            await engine.start(allocate_port())
            self.store.put("keyed.servers", engine.engine_id, engine.entry())
        self.gateways = [
            Gateway(f"front-{number}", ip, self.directory, self.store.address)
            for number, ip in enumerate(("127.0.0.2", "127.0.0.3", "127.0.0.4"))
        ]
        try:
            for gateway in self.gateways:
                gateway.start()
            for gateway in self.gateways:
                await self.wait_until_ready(gateway)
            ends_at = self.now() + self.duration
            async with asyncio.TaskGroup() as group:
                for number in range(CALLERS):
                    group.create_task(self.call(number, ends_at + GRACE_S))
                group.create_task(self.stop_in_turn(ends_at))
                group.create_task(self.hang_up(ends_at))
        finally:
            for gateway in self.gateways:
                gateway.kill()
            for engine in self.engines:
                engine.server.stop_listening()
        self.check()
        return Counter(
            requests=len(self.requests),
            stops=self.stops,
            refused=sum(sent.status == 503 for sent in self.requests),
            not_whole=sum(not sent.whole for sent in self.requests),
        )

    async def wait_until_ready(self, gateway):
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while True:
                sent = Sent("start", "/nowhere/", 1.0, self.now())
                if connection := await self.connect(gateway):
                    await self.send(connection, sent)
                    connection[1].close()
                if sent.status == 404:
                    return
                await asyncio.sleep(0.05)

    async def stop_in_turn(self, ends_at):
        async with asyncio.TaskGroup() as group:
            number = 0
            while self.now() < ends_at:
                gateway = self.gateways[number % len(self.gateways)]
                number += 1
                if gateway not in self.starting:
                    self.starting.add(gateway)
                    group.create_task(self.restart(gateway))
                await asyncio.sleep(self.random.uniform(*STOP_INTERVAL_S))

    async def restart(self, gateway):
        self.stops += 1
        gateway.signal(signal.SIGTERM)
        stopped_at = self.now()
        while gateway.process.poll() is None:
            if self.now() - stopped_at > GRACE_S:
                raise ViolationError(f"{gateway.name} runs on after its grace period")
            await asyncio.sleep(0.02)
        if gateway.process.returncode:
            raise ViolationError(f"{gateway.name} ended: {gateway.process.returncode}")
        gateway.start()
        await self.wait_until_ready(gateway)
        self.starting.discard(gateway)

    async def hang_up(self, ends_at):
        while self.now() < ends_at:
            await asyncio.sleep(self.random.uniform(*HANGUP_INTERVAL_S))
            gateway = self.random.choice(self.gateways)
            if gateway.process.poll() is None and gateway.handles_hangup():
                gateway.signal(signal.SIGHUP)

    async def connect(self, gateway):
        try:
            return await asyncio.open_connection(gateway.ip, gateway.front)
        except OSError:
            return None

    async def call(self, caller, ends_at):
        connection, number = None, 0
        while self.now() < ends_at:
            if connection is None:
                connection = await self.connect(self.random.choice(self.gateways))
                if connection is None:
                    await asyncio.sleep(0.02)
                    continue
            number += 1
            sent = Sent(
                f"c{caller}-{number}",
                self.random.choice(PATHS),
                self.random.uniform(*DEADLINES_S),
                self.now(),
            )
            self.requests.append(sent)
            if not await self.send(connection, sent):
                connection[1].close()
                connection = None
            await asyncio.sleep(self.random.choice((0.0, 0.0, 0.1, 0.4)))
        if connection is not None:
            connection[1].close()

    async def send(self, connection, sent):
        """Send a request; return whether its connection goes on."""
        reader, writer = connection
        head = (
            f"POST {sent.path} HTTP/1.1\r\nHost: bar.example\r\nContent-Length: 0\r\n"
            f"X-Jasminewalk-Request-Id: {sent.request_id}\r\n"
            f"X-Jasminewalk-Deadline-Ms: {int(sent.deadline_s * 1e3)}\r\n\r\n"
        )
        response = b""
        try:
            writer.write(head.encode())
            async with asyncio.timeout(sent.deadline_s + 1.0):
                response = (await reader.readuntil(b"\r\n\r\n")).lower()
                sent.status = int(response.split()[1])
                if b"transfer-encoding: chunked" in response:
                    await reader.readuntil(b"0\r\n\r\n")
                else:
                    length = response.partition(b"content-length: ")[2].split()[0]
                    await reader.readexactly(int(length))
                sent.whole = True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        sent.ended_at = self.now()
        return sent.whole and b"connection: close" not in response

    def check(self):
        """Check what became of the requests.

        :raises ViolationError: if one was cut, or a promise was broken.
        """
        runs = Counter(
            run[0] for engine in self.engines for run in engine.executed_requests
        )
        for sent in self.requests:
            taken_s = sent.ended_at - sent.sent_at
            run_count = runs[sent.request_id]
            if not sent.whole and taken_s < sent.deadline_s - DEADLINE_MARGIN_S:
                if run_count:
                    raise ViolationError(f"{sent} was cut at an engine")
                if taken_s > CROSSING_S:
                    raise ViolationError(f"{sent} was read and not answered")
            if sent.path in ("/book/x", "/help/x") and (
                run_count > 1 or (run_count and sent.status in PROMISES)
            ):
                raise ViolationError(f"{sent} ran {run_count} times")


def find_first(error):
    """Return the first error in nested groups of errors."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def run_stop_soak(seed, duration=12.0, logs=""):
    """Run one seed and return the counts of what happened.

    :raises ViolationError: if a request was cut, or a gateway outlasts its grace time.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(logs or temporary) / str(seed)
        directory.mkdir(parents=True)
        try:
            return asyncio.run(StopSoak(seed, duration, directory).run())
        except ExceptionGroup as group:
            raise find_first(group) from group


def main(seed=1, seeds=1, duration=12.0, logs=""):
    """Run consecutive seeds.

    :param seed: first seed.
    :param seeds: number of seeds.
    :param duration: seconds of each run in which gateways are stopped.
    :param logs: directory in which the logs of the gateways are kept.
    """
    failures = 0
    for number in range(seed, seed + seeds):
        try:
            counts = run_stop_soak(number, duration, logs)
            text = " ".join(f"{name}={count}" for name, count in counts.items())
            print(f"seed={number} {text}", flush=True)
        except ViolationError as violation:
            failures += 1
            print(f"seed={number} violation={violation}", flush=True)
    print(f"runs={seeds} violations={failures}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: None))
