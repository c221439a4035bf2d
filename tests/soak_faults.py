"""Faults of the soak, chosen by a seeded generator."""

import asyncio
import signal

from response_faults import ENDLESS_PARTS, REPEATS
from soak_checks import ViolationError

__all__ = ["FaultInjector"]

# Seconds after SIGTERM within which a gateway must exit.
SHUTDOWN_TIMEOUT_S = 6.0
# Configurations published one after the other while the store repeats responses, and
# the seconds between them.
CONFIGURATIONS = 4
CONFIGURATION_INTERVAL_S = 0.4
# Further faults of engines that stream; half of all their faults break a stream midway.
STREAM_BEHAVIOURS = ("full",) + ("break_stream",) * 6
BEHAVIOURS = ("answer", "error", "break_stream", "reset", "hang", "unsigned", "encoded")


class FaultInjector:
    """Starts faults that follow and overlap each other, and ends them.

    :param fleet: the processes and fakes that have the faults.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.random = fleet.fault_random
        self.tasks = []

    def list_faults(self):
        faults = [
            self.kill, self.pause, self.terminate, self.reload, self.interrupt_store,
            self.drain_engine, self.configure, self.change_stage,
            *(self.break_engine,) * 6,
        ]  # fmt: skip
        if self.fleet.slow_links:
            faults.append(self.limit_engine)
        if self.fleet.response_faults != "none":
            faults += [self.repeat_responses] * 12
            faults += [self.change_stage, self.configure, self.configure]
        if self.fleet.endless:
            faults += [self.send_endlessly] * 3
        if self.fleet.keys is not None:
            faults += [self.replace_key] * 4
        if self.fleet.notices:
            faults += [self.restore_store, self.leave_engine, self.leave_engine]
            faults += [self.turn_requests_away] * 3
        return faults

    async def run(self, ends_at):
        """Start faults until a time, and wait for their ends."""
        faults = self.list_faults()
        while self.fleet.now() < ends_at:
            interval_s = 1.5 if self.fleet.slow_links else 0.4
            await asyncio.sleep(self.random.uniform(0.05, interval_s))
            self.start_task(self.random.choice(faults)())
        await asyncio.gather(*self.tasks)

    def start_task(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def replace_key(self):
        self.fleet.version += 1
        self.fleet.keys.replace(self.random, self.fleet.now())
        self.fleet.publish_configuration()

    async def kill(self):
        gateway = self.random.choice(self.fleet.gateways)
        if gateway.stopping:
            return
        gateway.last_fault_at = self.fleet.now()
        gateway.kill()
        gateway.start()

    async def pause(self):
        gateway = self.random.choice(self.fleet.gateways)
        gateway.last_fault_at = self.fleet.now()
        gateway.pauses += 1
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 4.0))
        gateway.signal(signal.SIGCONT)
        gateway.pauses -= 1
        gateway.last_fault_at = self.fleet.now()

    async def terminate(self):
        gateway = self.random.choice(self.fleet.gateways)
        if gateway.stopping or gateway.process.poll() is not None:
            return
        gateway.stopping = True
        gateway.signal(signal.SIGTERM)
        self.start_task(self.restart_after_exit(gateway, gateway.process))

    async def restart_after_exit(self, gateway, process):
        ends_at = self.fleet.now() + SHUTDOWN_TIMEOUT_S
        while process.poll() is None and gateway.process is process:
            paused = self.fleet.now() - gateway.last_fault_at < 4.5
            if self.fleet.now() > ends_at and not paused:
                raise ViolationError(f"{gateway.name} did not exit after SIGTERM")
            await asyncio.sleep(0.05)
        if gateway.process is process:
            # SIGTERM ends a process that has not installed its signal handlers yet.
            startup_codes = () if gateway.served else (-signal.SIGTERM,)
            if process.returncode not in (0, -signal.SIGKILL, *startup_codes):
                raise ViolationError(f"{gateway.name} ended with {process.returncode}")
            gateway.last_fault_at = self.fleet.now()
            gateway.start()

    async def reload(self):
        gateway = self.random.choice(self.fleet.gateways)
        if gateway.process.poll() is None and gateway.handles_hangup():
            gateway.signal(signal.SIGHUP)

    async def break_engine(self):
        engine = self.random.choice(self.fleet.engines)
        behaviours = (
            (*BEHAVIOURS, "full")
            if engine.service == "app"
            else (*BEHAVIOURS, *STREAM_BEHAVIOURS)
        )
        engine.behaviour = self.random.choice(behaviours)
        engine.delay_s = self.random.choice((0.0, 0.0, 0.2))
        if engine.behaviour == "break_stream" and engine.service != "llm":
            engine.behaviour = "answer"
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        engine.behaviour, engine.delay_s = "answer", self.fleet.get_delay_s(engine)

    def choose_server(self):
        servers = [self.fleet.prefiller, self.random.choice(self.fleet.engines)]
        if self.fleet.response_faults == "all":
            servers += [self.fleet.store] * 2
        return self.random.choice(servers)

    async def repeat_responses(self):
        server = self.choose_server()
        faults = server.faults
        faults.repeats = self.random.choice((REPEATS, *((way,) for way in REPEATS)))
        faults.abandoned_share = self.random.choice((0.0, 0.0, 0.1))
        if server is self.fleet.store and not self.fleet.slow_links:
            self.start_task(self.configure_repeatedly())
        await self.keep_fault(server, self.random.uniform(0.3, 2.5))
        faults.repeats, faults.abandoned_share = (), 0.0

    async def send_endlessly(self):
        server = self.choose_server()
        server.faults.endless = self.random.choice(list(ENDLESS_PARTS))
        await self.keep_fault(server, self.random.uniform(0.2, 1.0))
        server.faults.endless = ""

    async def keep_fault(self, server, seconds):
        self.fleet.store_outages += server is self.fleet.store
        await asyncio.sleep(seconds)
        if server is self.fleet.store:
            self.fleet.store_outages -= 1
            self.fleet.store_failed_at = self.fleet.now()

    async def interrupt_store(self):
        self.fleet.store_outages += 1
        self.fleet.store.down = True
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        self.fleet.store.down = False
        self.fleet.store_outages -= 1
        self.fleet.store_failed_at = self.fleet.now()

    async def limit_engine(self):
        engine = self.random.choice(self.fleet.engines)
        engine.request_limit = self.random.choice(("0", "0.5", "3", "20", "many"))
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        engine.request_limit = ""

    async def drain_engine(self):
        engine = self.random.choice(self.fleet.engines)
        self.fleet.put_entry(engine, "draining")
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        engine.born += 1
        self.fleet.put_entry(engine)

    async def leave_engine(self):
        """Let an engine say that it leaves, and start again."""
        engine = self.random.choice(self.fleet.engines)
        engine.leaving = True
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        engine.leaving = False
        engine.born += 1
        self.fleet.put_entry(engine)

    async def turn_requests_away(self):
        engine = self.random.choice(self.fleet.engines)
        engine.behaviour = "turn_away"
        engine.retry_after = self.random.choice(("0.3", "1", "2", "soon"))
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        engine.behaviour = "answer"

    async def restore_store(self):
        """Restore the store from a copy; what was written since is written again."""
        copy = self.fleet.store.make_copy()
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        self.fleet.store_outages += 1
        self.fleet.store.restore(copy)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        self.fleet.publish_configuration()
        for engine in self.fleet.engines:
            self.fleet.rewrite_entry(engine)
        self.fleet.store_outages -= 1
        self.fleet.store_failed_at = self.fleet.now()

    async def change_stage(self):
        self.fleet.put_entry(self.fleet.prefiller, stage="decode")
        await asyncio.sleep(self.random.uniform(2.0, 4.0))
        self.fleet.put_entry(self.fleet.prefiller)

    async def configure(self):
        self.fleet.version += self.random.choice((1, 1, 2))
        self.fleet.publish_configuration()

    async def configure_repeatedly(self):
        """Write records that a page of another topic may be taken for."""
        for _ in range(CONFIGURATIONS):
            self.fleet.version += 1
            self.fleet.publish_configuration()
            await asyncio.sleep(CONFIGURATION_INTERVAL_S)
