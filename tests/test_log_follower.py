"""Minimum time between a follower's reads of the log."""

import anyio
import pytest

from jasminewalk.agreement.fold import LogFold
from jasminewalk.agreement.log_follower import FoldListener, LogFollower
from jasminewalk.clock import SystemClock
from jasminewalk.generated_settings import LogSettings
from jasminewalk.interfaces import Log, LogPage

pytestmark = pytest.mark.anyio

HOUR_S = 3600.0
TEST_TIMEOUT_S = 10.0


class CountingLog(Log):
    def __init__(self):
        self.reads = 0

    async def append(self, data):
        raise NotImplementedError

    async def read(self, offset, limit, wait_s=0.0):
        self.reads += 1
        await anyio.sleep(0.001)
        return LogPage([], 1, 1)


class IgnoringListener(FoldListener):
    def on_fold_event(self, event):
        pass

    def on_records(self, first_offset, entries):
        pass


async def wait_for_reads(log, count):
    with anyio.fail_after(TEST_TIMEOUT_S):
        while log.reads < count:
            await anyio.sleep(0.001)


@pytest.mark.parametrize(("gap_s", "expected_reads"), [(0.0, 20), (HOUR_S, 1)])
async def test_reads_keep_minimum_gap_unless_requested(gap_s, expected_reads):
    log = CountingLog()
    follower = LogFollower(
        log=log,
        fold=LogFold(),
        settings=LogSettings(address="127.0.0.1:1", read_gap_s=gap_s),
        clock=SystemClock(),
        listener=IgnoringListener(),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(follower.run)
        await wait_for_reads(log, expected_reads)
        await follower.ready.wait()
        for _ in range(3):
            reads_before = log.reads
            follower.request_read()
            await wait_for_reads(log, reads_before + 1)
        assert gap_s == 0.0 or log.reads == expected_reads + 3
        group.cancel_scope.cancel()
