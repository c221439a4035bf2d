"""Soak test of engines that leave while reads of the registry fail.

Gateways run as processes. A seeded generator has engines leave by their entry, one
after the other and overlapping, and lets reads of the registry fail beside it. No
request may reach an engine later than the drain time after its entry said so, and no
other engine may be lost.
"""

import asyncio
import random
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path

import attrs
import fire

from jasminewalk.http1 import CallerServer
from platform_fakes import ROUTES, FakeEngine, FakeStore, configuration
from ports import allocate_port
from soak_callers import SoakCallers
from soak_checks import ViolationError
from soak_processes import Gateway
from stop_soak import find_first

REGISTRY = "keyed.servers"
GATEWAYS = 3
ENGINES = 5
CALLERS = 24
STARTUP_TIMEOUT_S = 15.0
DRAIN_S = 2.0
# Seconds that engines take for a response, and those that leave; a faster one is
# preferred.
RESPONSE_S = 0.04
LEAVING_RESPONSE_S = 0.005
# Seconds between two engines that leave.
LEAVE_INTERVAL_S = (0.6, 2.6)
# Seconds for which an engine that left still serves.
SERVES_ON_S = 4.5
# Seconds until a draining engine removes its entry.
DRAINING_S = (2.2, 3.5)
# Seconds between two writes of an engine's entry.
HEARTBEAT_S = 1.2
# Seconds within which engines whose entries lapsed in an outage are back after it.
RELISTED_S = (0.2, 1.6)
WAYS = ("removed", "draining", "unreadable")
# Entries that say that an engine leaves, or name none to use, and can't be read.
UNREADABLE = (
    {"state": "draining", "slots": "many"},
    {"state": "draining", "zone": 7},
    {"state": "draining", "address": ""},
    {"state": "closing"},
)
TROUBLES = {
    # Kind of failure, and whose reads fail beside each change.
    "none": ("", "none"),
    "refused": ("refuse", "next"),
    "refused_each": ("refuse", "each"),
    "refused_for_long": ("refuse", "window"),
    "unavailable": ("fail", "next"),
    "reset": ("reset", "next"),
    "lost": ("lose", "next"),
    "lost_each": ("lose", "each"),
    "late": ("delay", "always"),
    "cut": ("cut", "next"),
    "cut_each": ("cut", "each"),
    "one_refused": ("refuse", "first_gateway"),
    "one_lost": ("lose", "first_gateway"),
    "outage": ("outage", "none"),
}
# Events of the gateways' logs that are printed if a run fails, by their beginnings.
LOGGED_CHANGES = ("store_", "topic_read", "engine_", "entry_", "refused", "failed")
REFUSED_FOR_S = 0.9
# Seconds between two engines that leave while reads are refused for long.
LONG_LEAVE_INTERVAL_S = (1.6, 2.6)
# Engines that leave while one gateway reads of none that come.
MAX_UNREAD_DEPARTURES = 3
OUTAGE_S = (5.0, 7.0)


class FailingStore(FakeStore):
    """Store that lets reads of the registry fail, told apart by their gateway."""

    def __init__(self, kind, scope):
        super().__init__()
        self.kind = kind
        self.scope = scope
        self.next_fails = False
        self.failing_gateways = set()
        self.fails_until = float("-inf")
        self.failed_reads = 0
        self.addresses = []

    async def start_for(self, gateway):
        """Serve a gateway on an address of its own, which is returned."""
        address = f"127.0.0.1:{allocate_port()}"
        server = CallerServer(
            partial(self.handle_gateway, gateway), self.now, print, print
        )
        await server.listen(address)
        return address

    def now(self):
        return asyncio.get_running_loop().time()

    def fail_reads(self):
        """Let reads fail beside a change that is about to be written."""
        self.next_fails = self.scope == "next"
        if self.scope == "each":
            self.failing_gateways = set(range(GATEWAYS))
        if self.scope == "window":
            self.fails_until = self.now() + REFUSED_FOR_S

    def take_failure(self, gateway):
        if self.scope == "always" or (self.scope == "first_gateway" and not gateway):
            return True
        if self.next_fails or gateway in self.failing_gateways:
            self.next_fails = False
            self.failing_gateways.discard(gateway)
            return True
        return self.now() < self.fails_until

    async def handle_gateway(self, gateway, connection, request):
        reads_registry = b"/-/log-read" in request.target and (
            b"topic=" + REGISTRY.encode() in request.target
        )
        if not reads_registry or self.down or not self.take_failure(gateway):
            await self.handle(connection, request)
            return
        self.failed_reads += 1
        await getattr(self, self.kind)(connection, request)

    async def refuse(self, connection, request):
        self.respond(connection, 429, b"")

    async def fail(self, connection, request):
        self.respond(connection, 503, b"")

    async def reset(self, connection, request):
        connection.abort()

    async def lose(self, connection, request):
        await asyncio.sleep(30.0)

    async def delay(self, connection, request):
        await asyncio.sleep(0.5)
        await self.handle(connection, request)

    async def cut(self, connection, request):
        connection.start_stream(200, self.build_era_headers())
        connection.send_chunk(b"\0" * 10)
        await asyncio.sleep(0.01)
        connection.abort()


@attrs.define(eq=False)
class Departure:
    """An engine that left.

    :param engine: the engine.
    :param way: how it left.
    :param at: time from which that was acknowledged, in seconds.
    :param late: seconds after it of each request that arrived too late.
    """

    engine: FakeEngine
    way: str
    at: float
    late: list[float] = attrs.field(factory=list)


class DrainSoak:
    """One seeded run.

    :param seed: seed of the generator.
    :param trouble: key of ``TROUBLES``.
    :param duration: seconds in which engines leave.
    :param directory: directory of the settings and logs.
    :param ways: ways in which engines leave.
    """

    def __init__(self, seed, trouble, duration, directory, ways=WAYS):
        self.random = random.Random(seed)
        self.trouble = trouble
        self.ways = ways
        self.duration = duration
        self.directory = directory
        self.store = FailingStore(*TROUBLES[trouble])
        self.engines = []
        self.started_engines = 0
        self.gateways = []
        self.departures = []
        self.callers = SoakCallers(self)
        self.statuses = Counter()
        self.tasks = []

    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        await self.store.start(allocate_port())
        self.store.put("keyed.op", "config", configuration(routes=ROUTES))
        for _ in range(ENGINES):
            await self.start_engine()
        for number in range(GATEWAYS):
            address = await self.store.start_for(number)
            gateway = Gateway(
                f"front-{number}", f"127.0.0.{number + 2}", self.directory, address
            )
            self.gateways.append(gateway)
        try:
            await self.start_gateways()
            ends_at = self.now() + self.duration
            async with asyncio.TaskGroup() as group:
                for _ in range(CALLERS):
                    group.create_task(self.call(ends_at + DRAIN_S))
                group.create_task(self.write_entries(ends_at + DRAIN_S))
                if self.trouble == "outage":
                    group.create_task(self.interrupt_store())
                else:
                    group.create_task(self.leave_in_turn(ends_at))
        finally:
            for task in self.tasks:
                task.cancel()
            for gateway in self.gateways:
                gateway.kill()
            for engine in self.engines:
                engine.server.stop_listening()
        return self.check()

    async def start_gateways(self):
        for gateway in self.gateways:
            gateway.start()
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            for gateway in self.gateways:
                while (await self.ask(gateway)) != 200:
                    await asyncio.sleep(0.05)

    async def start_engine(self):
        engine = FakeEngine(f"app-{self.started_engines}")
        self.started_engines += 1
        engine.delay_s = RESPONSE_S
        await engine.start(allocate_port())
        self.engines.append(engine)
        self.write_entry(engine)

    def write_entry(self, engine, **changes):
        entry = engine.entry(sequence=len(engine.arrivals) + 1, **changes)
        self.store.put(REGISTRY, engine.engine_id, entry)

    async def write_entries(self, ends_at):
        """Have engines that do not leave write their entries again."""
        while self.now() < ends_at:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if not self.store.down and not self.has_left(engine):
                    self.write_entry(engine)

    def has_left(self, engine):
        return any(departure.engine is engine for departure in self.departures)

    async def ask(self, gateway):
        return (await self.callers.send(gateway, "/look/x", b"", 2.0)).status

    async def call(self, ends_at):
        while self.now() < ends_at:
            gateway = self.random.choice(self.gateways)
            self.statuses[await self.ask(gateway)] += 1
            await asyncio.sleep(self.random.uniform(0.0, 0.06))

    async def leave_in_turn(self, ends_at):
        scope = self.store.scope
        interval_s = LONG_LEAVE_INTERVAL_S if scope == "window" else LEAVE_INTERVAL_S
        most = MAX_UNREAD_DEPARTURES if scope == "first_gateway" else self.duration
        while self.now() < ends_at and len(self.departures) < most:
            await asyncio.sleep(self.random.uniform(*interval_s))
            staying = [e for e in self.engines if not self.has_left(e)]
            engine = self.random.choice(staying)
            await self.start_engine()
            self.store.fail_reads()
            self.leave(engine, self.random.choice(self.ways))

    def leave(self, engine, way):
        engine.delay_s = LEAVING_RESPONSE_S
        self.departures.append(Departure(engine, way, self.now()))
        if way == "removed":
            self.store.put(REGISTRY, engine.engine_id, None)
        else:
            draining = {"state": "draining"}
            unreadable = self.random.choice(UNREADABLE)
            changes = unreadable if way == "unreadable" else draining
            self.write_entry(engine, **changes)
            remove = self.remove_entry(engine, self.random.uniform(*DRAINING_S))
            self.tasks.append(asyncio.create_task(remove))
        self.tasks.append(asyncio.create_task(self.end_engine(engine)))

    async def remove_entry(self, engine, wait_s):
        await asyncio.sleep(wait_s)
        self.store.put(REGISTRY, engine.engine_id, None)

    async def end_engine(self, engine):
        await asyncio.sleep(SERVES_ON_S)
        engine.server.stop_listening()

    async def interrupt_store(self):
        """Interrupt the store until all entries have lapsed; engines live on."""
        await asyncio.sleep(2.0)
        self.store.down = True
        await asyncio.sleep(self.random.uniform(*OUTAGE_S))
        for engine in self.engines:
            self.store.put(REGISTRY, engine.engine_id, None)
        self.store.down = False
        await asyncio.sleep(self.random.uniform(*RELISTED_S))
        for engine in self.engines:
            self.write_entry(engine)

    def check(self):
        """Check where requests arrived, and return the counts of what happened.

        :raises ViolationError: if one arrived too late, or one was not served.
        """
        late = Counter()
        for departure in self.departures:
            departure.late = [
                arrived_at - departure.at
                for arrived_at in departure.engine.arrivals
                if arrived_at > departure.at + DRAIN_S
            ]
            late[departure.way] += len(departure.late)
        counts = Counter(
            requests=sum(self.statuses.values()),
            departures=len(self.departures),
            failed_reads=self.store.failed_reads,
            late=sum(late.values()),
        )
        if counts["late"]:
            latest_s = max(max(d.late, default=0.0) for d in self.departures)
            raise ViolationError(
                f"requests reach engines that left {dict(late)}, "
                f"up to {latest_s:.1f} s after it; {dict(counts)}"
            )
        unserved = counts["requests"] - self.statuses[200]
        if unserved:
            raise ViolationError(f"{unserved} not served: {dict(self.statuses)}")
        return counts


def run_drain_soak(seed, trouble, duration=12.0, logs="", ways=WAYS):
    """Run one seed and return the counts of what happened.

    :raises ViolationError: if a request reached an engine too late after it left.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(logs or temporary) / f"{trouble}-{seed}"
        directory.mkdir(parents=True)
        try:
            soak = DrainSoak(seed, trouble, duration, directory, ways)
            return asyncio.run(soak.run())
        except ExceptionGroup as group:
            raise find_first(group) from group
        except ViolationError:
            print_changes(directory)
            raise


def print_changes(directory):
    """Print what the gateways logged of their reads and of the engines' entries."""
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(encoding="utf-8").splitlines():
            if any(f'"event":"{event}' in line for event in LOGGED_CHANGES):
                print(line)


def main(seed=1, seeds=1, trouble="all", duration=12.0, logs="", ways=WAYS):
    """Run consecutive seeds.

    :param seed: first seed.
    :param seeds: number of seeds.
    :param trouble: what fails beside each departure; all of them in turn by default.
    :param duration: seconds of each run in which engines leave.
    :param logs: directory in which the logs of the gateways are kept.
    :param ways: ways in which engines leave, with commas between them.
    """
    ways = ways.split(",") if isinstance(ways, str) else ways
    runs = violations = 0
    for number in range(seed, seed + seeds):
        for name in TROUBLES if trouble == "all" else (trouble,):
            runs += 1
            try:
                counts = run_drain_soak(number, name, duration, logs, ways)
                text = " ".join(f"{name}={count}" for name, count in counts.items())
                print(f"seed={number} trouble={name} {text}", flush=True)
            except ViolationError as violation:
                violations += 1
                print(f"seed={number} trouble={name} {violation=!s}", flush=True)
    print(f"runs={runs} violations={violations}")
    return 1 if violations else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: None))
