"""Soak test of gateway processes under a part of prompts, or a request, that crashes.

Requests with the part, or repeats of the request, come all the time, at any gateway. A
seeded generator adds other faults, which follow and overlap each other: engines crash
for other causes, gateways are killed, one or all, and paused, and the store is away or
back from an older copy.
"""

import asyncio
import json
import signal
import tempfile
from pathlib import Path

import fire

from crashing_engines import BAD_PART, CrashFleet, compute_bad_fingerprint
from soak_checks import ViolationError

# Crashes under the part or the request, and seconds after the last of them, from which
# at most as many more may reach engines from gateways that are in touch.
CRASHES, REQUEST_CRASHES = 5, 3
STABLE_WINDOW_S = 3.0
MAX_LATER_REQUESTS = 3
BAD_INTERVAL_S = 0.15
SOUND_INTERVAL_S = 0.03
CALM_S = 1.0
# Seconds between two other faults, and of a pause or an outage.
FAULT_INTERVAL_S = (0.3, 1.2)
FAULT_S = (0.2, 0.8)
# Seconds after the last fault from which sound requests must be served, and the least
# share of them.
RECOVERED_S = 4.0
CHECKED_S = 2.0
MIN_SOUND_SHARE = 0.5


class CrashSoak:
    """One seeded run.

    :param fleet: gateways, and engines that crash.
    :param path: path of the request that crashes engines; empty if a part does.
    """

    def __init__(self, fleet, path=""):
        self.fleet = fleet
        self.path = path
        self.sent = []
        self.last_store_fault_at = float("-inf")
        self.copy = None

    async def run(self, seconds):
        """Run requests and faults, and check what reached engines.

        :param seconds: duration of the faults in seconds.
        :raises ViolationError: if a guarantee was violated.
        """
        fleet = self.fleet
        try:
            await fleet.start()
            fleet.spawn(fleet.send_repeatedly(fleet.send_sound, SOUND_INTERVAL_S))
            await asyncio.sleep(CALM_S)
            self.copy = fleet.store.make_copy()
            fleet.spawn(fleet.send_repeatedly(self.send_bad, BAD_INTERVAL_S))
            ends_at = fleet.now() + seconds
            while fleet.now() < ends_at:
                await asyncio.sleep(fleet.random.uniform(*FAULT_INTERVAL_S))
                await fleet.random.choice(
                    (
                        self.crash_engine,
                        self.crash_engine,
                        self.kill_gateway,
                        self.kill_all_gateways,
                        self.pause_gateway,
                        self.stop_store,
                        self.restore_store,
                    )
                )()
            await asyncio.sleep(RECOVERED_S + CHECKED_S)
            self.check_arrivals()
            self.check_sound()
        finally:
            fleet.stop()

    async def send_bad(self, gateway):
        """Send a request with the part; record whether its gateway was in touch."""
        now, count = self.fleet.now(), len(self.fleet.bad_arrivals)
        in_touch = not gateway.pauses and now - STABLE_WINDOW_S > max(
            gateway.last_fault_at, self.last_store_fault_at
        )
        if self.path:
            answer = await self.fleet.send_bad_body(gateway, self.path)
        else:
            answer = await self.fleet.send_bad(gateway)
        # A refused request reached no engine; the others count, also beside it.
        reached = answer.status not in (0, 503) and len(self.fleet.bad_arrivals) > count
        self.sent.append((now, in_touch and reached))

    # Faults.

    async def crash_engine(self):
        if len(self.fleet.engines) > 2:
            self.fleet.handle_crash(self.fleet.random.choice(self.fleet.engines))

    async def kill_gateway(self):
        gateway = self.fleet.random.choice(self.fleet.gateways)
        gateway.kill()
        gateway.last_fault_at = self.fleet.now()
        gateway.start()

    async def kill_all_gateways(self):
        for gateway in self.fleet.gateways:
            gateway.kill()
        for gateway in self.fleet.gateways:
            gateway.last_fault_at = self.fleet.now()
            gateway.start()

    async def pause_gateway(self):
        self.fleet.spawn(self._pause(self.fleet.random.choice(self.fleet.gateways)))

    async def _pause(self, gateway):
        gateway.pauses += 1
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.fleet.random.uniform(*FAULT_S))
        gateway.signal(signal.SIGCONT)
        gateway.pauses -= 1
        gateway.last_fault_at = self.fleet.now()

    async def stop_store(self):
        self.fleet.store.down = True
        await asyncio.sleep(self.fleet.random.uniform(*FAULT_S))
        self.fleet.store.down = False
        self.last_store_fault_at = self.fleet.now()

    async def restore_store(self):
        self.fleet.store.restore(self.copy)
        for engine in self.fleet.engines:
            self.fleet.put_entry(engine)
        self.last_store_fault_at = self.fleet.now()

    # Checks.

    def check_arrivals(self):
        crashes = REQUEST_CRASHES if self.path else CRASHES
        if len(self.fleet.bad_arrivals) < crashes:
            return
        counted_at = self.fleet.bad_arrivals[crashes - 1] + STABLE_WINDOW_S
        later = sum(reached for at, reached in self.sent if at >= counted_at)
        if later > MAX_LATER_REQUESTS:
            raise ViolationError(
                f"{later} requests that crash engines reached them later"
            )

    def check_sound(self):
        for line in self.fleet.read_log_lines("part_quarantined"):
            parts = json.loads(line)["parts"]
            if BAD_PART not in parts:
                raise ViolationError(f"{parts} are refused")
        blamed = self.fleet.list_blamed_requests()
        if blamed - {compute_bad_fingerprint(self.path)}:
            raise ViolationError(f"{blamed} are refused")
        now = self.fleet.now()
        share = self.fleet.compute_sound_share(now - CHECKED_S - 0.5, now - 0.5)
        if share < MIN_SOUND_SHARE:
            raise ViolationError(f"{share:.0%} of sound requests are served afterwards")

    def summarise(self):
        return {
            "crashes": len(self.fleet.crashes),
            "bad_arrivals": len(self.fleet.bad_arrivals),
            "bad_sent": len(self.sent),
            "sound_sent": len(self.fleet.sound_answers),
        }


def run_crash_soak(seed, seconds, logs="", path=""):
    """Run one seed; return the counts of what it has checked.

    :param seed: seed of the faults.
    :param seconds: duration of the faults in seconds.
    :param logs: directory that keeps the logs of the gateways.
    :param path: path of the request that crashes engines; empty if a part does.
    """
    plain = path.startswith(("/look/", "/book/"))
    options = {"service": "app"} if plain else {}
    if path:
        options["sound_repeats"] = 3
    with tempfile.TemporaryDirectory() as directory:
        directory = Path(logs or directory) / f"seed-{seed}"
        directory.mkdir(parents=True, exist_ok=True)

        async def run():
            soak = CrashSoak(CrashFleet(directory, seed=seed, **options), path)
            await soak.run(seconds)
            return soak.summarise()

        return asyncio.run(run())


def main(seed=1, seeds=1, duration=8.0, logs="", path=""):
    """Run consecutive seeds.

    :param seed: first seed.
    :param seeds: number of seeds.
    :param duration: duration of the faults of each run in seconds.
    :param logs: directory in which the logs of the gateways are kept.
    :param path: path of the request that crashes engines; empty if a part does.
    """
    failures = 0
    for number in range(seed, seed + seeds):
        try:
            counts = run_crash_soak(number, duration, logs, path)
            text = " ".join(f"{name}={count}" for name, count in counts.items())
            print(f"seed={number} {text}", flush=True)
        except ViolationError as violation:
            failures += 1
            print(f"seed={number} violation={violation}", flush=True)
    print(f"runs={seeds} violations={failures}")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: None))
