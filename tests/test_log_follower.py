import anyio
import pytest

from jasminewalk.clock import SystemClock
from jasminewalk.codec import encode_record
from jasminewalk.fold import LogFold
from jasminewalk.generated_records import ConfigurationRecord
from jasminewalk.generated_settings import LogSettings
from jasminewalk.interfaces import Log, LogPage
from jasminewalk.log_follower import FoldListener, LogFollower

pytestmark = pytest.mark.anyio

HOUR_S = 3600.0
BOUND_S = 10.0


class CountingLog(Log):
    def __init__(self):
        self.reads = 0

    async def append(self, data):
        raise NotImplementedError

    async def read(self, offset, limit, wait_s=0.0):
        self.reads += 1
        await anyio.sleep(0.001)
        return LogPage([], 1, 1)


class Ignore(FoldListener):
    def on_fold_event(self, event):
        pass

    def on_records(self, first_offset, entries):
        pass


async def wait_for_reads(log, count):
    with anyio.fail_after(BOUND_S):
        while log.reads < count:
            await anyio.sleep(0.001)


def make_follower(log, gap_s):
    return LogFollower(
        log=log,
        fold=LogFold(),
        settings=LogSettings(address="127.0.0.1:1", read_gap_s=gap_s),
        clock=SystemClock(),
        listener=Ignore(),
    )


async def test_record_that_a_peer_left_out_is_passed_over():
    follower = make_follower(CountingLog(), 0.0)
    follower.take_page(LogPage([], 1, 1))
    change = ConfigurationRecord(
        record_id="r", subject="fleet/default", base_revision=0, document="{}"
    )
    follower.feed(1, [b"", b"", encode_record(change), b""], 5)
    assert follower.fold.next_offset == 5
    assert follower.fold.ignored_records == 0
    assert follower.fold.subject("fleet/default").revision == 3


@pytest.mark.parametrize(("gap_s", "reads"), [(0.0, 20), (HOUR_S, 1)])
async def test_reads_keep_their_gap_unless_records_are_wanted(gap_s, reads):
    log = CountingLog()
    follower = make_follower(log, gap_s)
    async with anyio.create_task_group() as group:
        group.start_soon(follower.run)
        await wait_for_reads(log, reads)
        await follower.ready.wait()
        for _ in range(3):
            before = log.reads
            follower.want_records()
            await wait_for_reads(log, before + 1)
        assert gap_s == 0.0 or log.reads == reads + 3
        group.cancel_scope.cancel()
