"""Soak test of gateway processes before engines of two software versions.

Callers take their streams up at any gateway. A seeded generator adds faults, which
follow and overlap each other: engines break off streams, crash and come back with
either version, also under their id, gateways are killed, one or all, and paused, and
the store is away or back from an older copy.
"""

import asyncio
import signal
import tempfile
from pathlib import Path

import fire

from soak_checks import ViolationError
from versioned_engines import VersionedEngine, VersionFleet

VERSIONS = {"v1": 3, "v2": 3}
INTERVAL_S = 0.03
# Seconds between two faults, of a pause or an outage, until an engine is back, and from
# then until its entry.
FAULT_INTERVAL_S = (0.2, 0.8)
FAULT_S = (0.2, 0.8)
DOWN_S = (0.8, 1.6)
ENTRY_DELAY_S = (0.0, 0.4)
# Share of streams that engines break off.
BROKEN_SHARE = 0.1
# Most streams that may hold events of two versions.
MAX_MIXED = 2
# After the faults, all gateways are killed once more. Least streams that are taken up
# then, and the share of them that goes on.
MIN_TAKEN_UP = 24
MIN_RESUMED_SHARE = 0.9
CHECKED_INTERVAL_S = 0.012
CHECKED_S = 2.5
RECOVERED_S = 4.0
PATIENCE_S = 4.0


class VersionSoak:
    """One seeded run.

    :param fleet: gateways, engines and callers.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.copy = None
        self.engine_count = 0
        self.down = 0

    async def run(self, seconds):
        """Run streams and faults, and check the streams.

        :param seconds: duration of the faults in seconds.
        :raises ViolationError: if a guarantee was violated.
        """
        fleet = self.fleet
        for engine in fleet.engines:
            self.let_break(engine)
        try:
            await fleet.start()
            self.copy = fleet.store.make_copy()
            total_s = seconds + RECOVERED_S
            streams = fleet.spawn(fleet.stream_repeatedly(INTERVAL_S, total_s))
            ends_at = fleet.now() + seconds
            while fleet.now() < ends_at:
                await asyncio.sleep(fleet.random.uniform(*FAULT_INTERVAL_S))
                await fleet.random.choice(
                    (
                        self.replace_engine,
                        self.replace_engine,
                        self.replace_engine,
                        self.kill_gateway,
                        self.kill_all_gateways,
                        self.pause_gateway,
                        self.stop_store,
                        self.restore_store,
                    )
                )()
            # The share counts where gateways have been in touch for a while.
            await streams
            calm_from = len(fleet.streams)
            streams = fleet.spawn(
                fleet.stream_repeatedly(
                    CHECKED_INTERVAL_S, CHECKED_S, patience_s=PATIENCE_S
                )
            )
            await asyncio.sleep(1.0)
            fleet.kill_all_gateways()
            await streams
            self.check(calm_from)
        finally:
            fleet.stop()

    def let_break(self, engine):
        engine.breaks = lambda: self.fleet.random.random() < BROKEN_SHARE

    # Faults.

    async def replace_engine(self):
        if len(self.fleet.engines) > 4:
            engine = self.fleet.random.choice(self.fleet.engines)
            self.fleet.engines.remove(engine)
            engine.crash()
            self.fleet.spawn(self._bring_back(engine))

    async def _bring_back(self, engine):
        random = self.fleet.random
        await asyncio.sleep(random.uniform(*DOWN_S))
        versions = [held.version for held in self.fleet.engines]
        version = min(VERSIONS, key=versions.count)
        self.engine_count += 1
        keeps_id = random.random() < 0.3
        engine_id = engine.engine_id if keeps_id else f"again-{self.engine_count}"
        started = VersionedEngine(engine_id, version)
        self.let_break(started)
        await started.start(int(engine.address.rpartition(":")[2]))
        self.fleet.engines.append(started)
        await asyncio.sleep(random.uniform(*ENTRY_DELAY_S))
        if not keeps_id:
            self.fleet.store.put("keyed.servers", engine.engine_id, None)
        self.fleet.put_entry(started)

    async def kill_gateway(self):
        gateway = self.fleet.random.choice(self.fleet.gateways)
        gateway.kill()
        gateway.start()

    async def kill_all_gateways(self):
        self.fleet.kill_all_gateways()

    async def pause_gateway(self):
        self.fleet.spawn(self._pause(self.fleet.random.choice(self.fleet.gateways)))

    async def _pause(self, gateway):
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.fleet.random.uniform(*FAULT_S))
        gateway.signal(signal.SIGCONT)

    async def stop_store(self):
        self.fleet.store.down = True
        await asyncio.sleep(self.fleet.random.uniform(*FAULT_S))
        self.fleet.store.down = False

    async def restore_store(self):
        self.fleet.store.restore(self.copy)
        # Engines that are gone are removed from the copy, as the store does.
        listed = {engine.engine_id for engine in self.fleet.engines}
        for key, _ in list(self.fleet.store.topics["keyed.servers"]):
            if key not in listed:
                self.fleet.store.put("keyed.servers", key, None)
        for engine in self.fleet.engines:
            self.fleet.put_entry(engine)

    # Checks.

    def check(self, calm_from):
        for stream in self.fleet.list_mixed():
            print(f"mixed first_id={stream.first_id} versions={stream.versions}")
        mixed = self.fleet.count_mixed()
        if mixed > MAX_MIXED:
            raise ViolationError(f"{mixed} streams hold events of two versions")
        versions = [engine.version for engine in self.fleet.engines]
        serving = {version for version in versions if versions.count(version) > 1}
        taken_up = [
            stream
            for stream in self.fleet.list_taken_up(serving)
            if stream in self.fleet.streams[calm_from:]
        ]
        if len(taken_up) < MIN_TAKEN_UP:
            raise ViolationError(f"only {len(taken_up)} streams are taken up")
        resumed = sum(bool(stream.resumed or stream.complete) for stream in taken_up)
        if resumed < MIN_RESUMED_SHARE * len(taken_up):
            raise ViolationError(f"{resumed} of {len(taken_up)} streams go on")

    def summarise(self):
        return {
            "streams": len(self.fleet.streams),
            "mixed": self.fleet.count_mixed(),
            "broken": sum(bool(stream.broken) for stream in self.fleet.streams),
            "resumed": sum(bool(stream.resumed) for stream in self.fleet.streams),
            "complete": sum(stream.complete for stream in self.fleet.streams),
        }


def run_version_soak(seed, seconds, logs=""):
    """Run one seed; return the counts of what it has checked.

    :param seed: seed of the faults.
    :param seconds: duration of the faults in seconds.
    :param logs: directory that keeps the logs of the gateways.
    """
    with tempfile.TemporaryDirectory() as directory:
        path = Path(logs or directory) / f"seed-{seed}"
        path.mkdir(parents=True, exist_ok=True)

        async def run():
            soak = VersionSoak(VersionFleet(path, VERSIONS, seed=seed))
            await soak.run(seconds)
            return soak.summarise()

        return asyncio.run(run())


def main(seed=1, seeds=1, duration=6.0, logs=""):
    """Run consecutive seeds.

    :param seed: first seed.
    :param seeds: number of seeds.
    :param duration: duration of the faults of each run in seconds.
    :param logs: directory in which the logs of the gateways are kept.
    """
    failures = 0
    for number in range(seed, seed + seeds):
        try:
            counts = run_version_soak(number, duration, logs)
            text = " ".join(f"{name}={count}" for name, count in counts.items())
            print(f"seed={number} {text}", flush=True)
        except ViolationError as violation:
            failures += 1
            print(f"seed={number} violation={violation}", flush=True)
    print(f"runs={seeds} violations={failures}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: None))
