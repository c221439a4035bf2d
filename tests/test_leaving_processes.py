"""Engines that leave, as gateways in processes of their own see them."""

import asyncio

import pytest

from platform_fakes import FakeEngine, FakeStore, configuration
from ports import allocate_port
from soak_callers import SoakCallers
from soak_processes import Gateway

STARTUP_TIMEOUT_S = 10.0
# Seconds between two requests, and how many are sent after the notice.
REQUEST_INTERVAL_S = 0.05
REQUESTS = 60
# Seconds after the notice from which no request may arrive.
DRAIN_S = 2.0


class LeavingFleet:
    """A gateway in a process of its own, two engines and the store."""

    def __init__(self, directory):
        self.store = FakeStore()
        self.engines = [FakeEngine(f"app-{number}") for number in range(2)]
        self.directory = directory
        self.random = None
        self.gateway = None
        self.callers = SoakCallers(self)

    async def start(self):
        await self.store.start(allocate_port())
        self.store.put("keyed.op", "config", configuration())
        for engine in self.engines:
            await engine.start(allocate_port())
            self.store.put("keyed.servers", engine.engine_id, engine.entry())
        # The other engine is slower, so the one that leaves is preferred.
        self.engines[1].delay_s = 0.02
        self.gateway = Gateway(
            "front-0", "127.0.0.2", self.directory, self.store.address
        )
        self.gateway.start()
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            while await self.ask() != 200:
                await asyncio.sleep(REQUEST_INTERVAL_S)

    def stop(self):
        if self.gateway is not None:
            self.gateway.kill()
            print((self.directory / "front-0.log").read_text(encoding="utf-8"))

    async def ask(self):
        return (await self.callers.send(self.gateway, "/look/x", b"", 1.0)).status

    async def send_notice(self):
        """Send requests until the leaving engine has answered one."""
        leaving = self.engines[0]
        leaving.leaving = True
        count = len(leaving.requests)
        while len(leaving.requests) == count:
            await self.ask()

    async def check_nothing_arrives(self):
        """Send requests once the time to drain is over; none may reach the engine."""
        await asyncio.sleep(DRAIN_S)
        count = len(self.engines[0].requests)
        for _ in range(REQUESTS):
            assert await self.ask() == 200
            await asyncio.sleep(REQUEST_INTERVAL_S)
        assert len(self.engines[0].requests) == count


@pytest.fixture
async def fleet(tmp_path):
    fleet = LeavingFleet(tmp_path)
    yield fleet
    fleet.stop()


@pytest.mark.anyio
async def test_process_sends_nothing_after_the_notice_while_the_store_is_away(fleet):
    await fleet.start()
    fleet.store.down = True
    await fleet.send_notice()
    await fleet.check_nothing_arrives()


@pytest.mark.anyio
@pytest.mark.parametrize("born", [None, "17", True, 0.5])
async def test_entry_without_a_start_does_not_undo_the_notice(fleet, born):
    await fleet.start()
    await fleet.send_notice()
    leaving = fleet.engines[0]
    entry = leaving.entry(born=born, sequence=2)
    if born is None:
        del entry["born"]
    fleet.store.put("keyed.servers", leaving.engine_id, entry)
    await fleet.check_nothing_arrives()


@pytest.mark.anyio
async def test_notice_in_a_refusal_that_names_the_engine_counts(fleet):
    await fleet.start()
    fleet.store.down = True
    leaving = fleet.engines[0]
    leaving.behaviour = "reject_stage"
    await fleet.send_notice()
    leaving.behaviour = "answer"
    await fleet.check_nothing_arrives()
