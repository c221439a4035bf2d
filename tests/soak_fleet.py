"""Gateway processes of the soak, and the fakes that they use."""

import asyncio
import json
import random

from platform_fakes import FakeEngine, FakeStore, configuration
from ports import allocate_port
from response_faults import ResponseFaults
from soak_processes import Gateway

__all__ = ["RESPONSE_FAULTS", "SoakFleet"]

ORGANISATIONS, KEYS_EACH = 4, 3

GATEWAYS = 2
# Seconds that an engine takes for a prefill, and for the first token.
GENERATION_DELAY_S = 0.01
# Routes added to configurations in runs with slow links to the store, and the seconds
# that reading one then takes.
ADDED_ROUTES = 400
SLOW_READ_S = (0.85, 1.0)
# Seconds between two checks of the processes.
WATCH_INTERVAL_S = 0.1
# Servers whose responses are repeated or never end.
RESPONSE_FAULTS = ("none", "engines", "all")


class SoakKeys:
    """Keys of organisations: those that hold, and when others were taken away."""

    def __init__(self):
        self.organisations = {}
        self.revoked_at = {}
        self.count = 0
        for number in range(ORGANISATIONS * KEYS_EACH):
            self.add(f"org-{number % ORGANISATIONS}")

    def add(self, organisation):
        self.count += 1
        self.organisations[f"key-{self.count}-of-{organisation}"] = organisation

    @property
    def valid(self):
        return [key for key in self.organisations if key not in self.revoked_at]

    def replace(self, rng, now):
        """Take a key away, and give its organisation another one."""
        key = rng.choice(self.valid)
        self.revoked_at[key] = now
        self.add(self.organisations[key])

    def list_organisations(self):
        keys = {}
        for key in self.valid:
            keys.setdefault(self.organisations[key], []).append(key)
        return [{"name": name, "api_keys": held} for name, held in keys.items()]


class SoakFleet:
    """Gateways, engines and the store of one run.

    With ``slow_links``, large configurations are read over slow links, engines name
    limits, and fewer faults leave versions in peace long enough to be checked.
    ``response_faults`` is one of ``RESPONSE_FAULTS``, and ``endless`` whether some
    responses have no end. With ``notices``, engines also say that they leave or want no
    requests for a time, and the store comes back from older copies. With ``keys``,
    callers need keys of organisations, which are taken away.
    """

    def __init__(
        self,
        seed,
        directory,
        slow_links=False,
        response_faults="none",
        endless=False,
        notices=False,
        keys=False,
    ):
        self.random = random.Random(seed)
        self.slow_links = slow_links
        self.repeats_or_endless = endless or response_faults != "none"
        # Callers draw numbers when they are answered, which differs between runs.
        self.fault_random = (
            random.Random(seed) if self.repeats_or_endless else self.random
        )
        self.response_faults = response_faults
        self.endless = endless
        self.notices = notices
        self.keys = SoakKeys() if keys else None
        self.entry_changes = {}
        self.directory = directory
        self.store = FakeStore()
        self.engines = [FakeEngine(f"app-{n}") for n in range(3)]
        self.engines += [FakeEngine("prefiller", "llm", "prefill")]
        self.engines += [FakeEngine(f"decoder-{n}", "llm", "decode") for n in range(3)]
        for number, server in enumerate(self.servers):
            server.faults = ResponseFaults(seed + number)
        for engine in self.engines:
            engine.delay_s = self.get_delay_s(engine)
        self.gateways = []
        self.version = 1
        self.published_at = {0: float("-inf")}
        self.store_failed_at = float("-inf")
        self.store_outages = 0

    def now(self):
        return asyncio.get_running_loop().time()

    @property
    def prefiller(self):
        return self.engines[3]

    def get_delay_s(self, engine):
        """Return the seconds that an engine without a fault takes."""
        is_slow = self.repeats_or_endless and engine.service == "llm"
        return GENERATION_DELAY_S if is_slow else 0.0

    async def start(self):
        await self.store.start(allocate_port())
        self.publish_configuration()
        for engine in self.engines:
            await engine.start(allocate_port())
            self.put_entry(engine)
        for number in range(GATEWAYS):
            gateway = Gateway(
                f"front-{number}",
                f"127.0.0.{number + 2}",
                self.directory,
                self.store.address,
            )
            gateway.start()
            self.gateways.append(gateway)

    def stop(self):
        for gateway in self.gateways:
            gateway.kill()
        for engine in self.engines:
            engine.server.stop_listening()

    async def watch(self, ends_at):
        """Check the processes until a time."""
        while self.now() < ends_at:
            for gateway in self.gateways:
                gateway.check()
            await asyncio.sleep(WATCH_INTERVAL_S)

    @property
    def servers(self):
        return [self.store, *self.engines]

    def put_entry(self, engine, state="ready", **changes):
        """Write an engine's entry of the registry."""
        self.entry_changes[engine] = (state, changes)
        self.rewrite_entry(engine)

    def rewrite_entry(self, engine):
        state, changes = self.entry_changes[engine]
        entry = engine.entry(state, **changes)
        self.store.put("keyed.servers", engine.engine_id, entry)

    def publish_configuration(self):
        marker = {
            **configuration()["routes"][1],
            "name": f"version-{self.version}",
            "path_prefix": f"/version-{self.version}/",
        }
        added = [
            {**marker, "name": f"added-{number}", "path_prefix": f"/added-{number}/"}
            for number in range(ADDED_ROUTES if self.slow_links else 0)
        ]
        routes = [*configuration()["routes"], marker, *added]
        self.published_at[self.version] = self.now()
        document = configuration(self.version, routes)
        if self.keys is not None:
            document["tenants"] = self.keys.list_organisations()
        self.store.put("keyed.op", "config", document)
        if self.slow_links:
            read_s = self.random.uniform(*SLOW_READ_S)
            self.store.bytes_per_s = len(json.dumps(document)) / read_s
