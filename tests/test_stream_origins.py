"""Origins of streams at the store: what they cost streams, and what is found again."""

import asyncio

import msgspec
import pytest

from jasminewalk.decoding import decode_msgpack
from jasminewalk.exceptions import LogUnavailableError
from jasminewalk.gateway import stream_origins
from jasminewalk.gateway.decision_log import DecisionLog
from jasminewalk.gateway.stream_origins import (
    MAX_STREAMS,
    MAX_UNWRITTEN,
    MAX_WRITE_WAIT_S,
    StreamOrigin,
    StreamOriginLog,
)
from jasminewalk.platform.store import ContentsPage

# Records of 60 bytes in a page of the platform's store.
PAGE_RECORDS = 16_000
ORIGIN = StreamOrigin("v1", "engine-1", 1000)


class MemoryStore:
    """Topic without keys that answers after a delay, or not at all."""

    def __init__(self):
        self.contents = []
        self.delay_s = 0.0
        self.down = False
        self.appends = 0
        self.reads = 0

    async def append(self, topic, contents):
        self.appends += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise LogUnavailableError("down")
        self.contents += contents

    async def read_contents(self, topic, offset):
        self.reads += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise LogUnavailableError("down")
        page = self.contents[offset : offset + PAGE_RECORDS]
        return ContentsPage(tuple(page), offset + len(page), len(self.contents))


@pytest.fixture
async def store():
    return MemoryStore()


@pytest.fixture
async def make_log(store):
    tasks = []

    def make():
        clock = asyncio.get_running_loop().time
        log = StreamOriginLog(store, DecisionLog("front-1", clock), clock)
        tasks.append(asyncio.create_task(log.write_forever()))
        return log

    yield make
    for task in tasks:
        task.cancel()


@pytest.mark.anyio
async def test_origins_written_together_are_one_append_and_found_by_others(
    make_log, store
):
    writer = make_log()
    store.delay_s = 0.005
    await asyncio.gather(*(writer.write(key, ORIGIN) for key in range(50)))
    await asyncio.sleep(0.05)
    assert store.appends <= 2
    reader = make_log()
    assert await reader.find(7) == (ORIGIN, True)
    assert await reader.find(700) == (None, True)
    # Those already read need no further call.
    reads = store.reads
    assert await reader.find(8) == (ORIGIN, True)
    assert store.reads == reads


@pytest.mark.anyio
@pytest.mark.parametrize("down", [False, True])
async def test_first_event_waits_ten_milliseconds_at_most(make_log, store, down):
    log = make_log()
    store.delay_s, store.down = 0.3, down
    started_at = log.clock()
    await log.write(1, ORIGIN)
    assert log.clock() - started_at < 5 * MAX_WRITE_WAIT_S
    await asyncio.sleep(0.35)
    if down:
        # The store is known to fail, so the next one does not wait at all.
        started_at = log.clock()
        await log.write(2, ORIGIN)
        assert log.clock() - started_at < MAX_WRITE_WAIT_S
        store.delay_s, store.down = 0.0, False
        await asyncio.sleep(0.4)
    assert len(store.contents) == (2 if down else 1)


@pytest.mark.anyio
async def test_store_that_lost_records_gets_them_again(make_log, store):
    log = make_log()
    await log.write(1, ORIGIN)
    store.contents.clear()
    log.write_again()
    await asyncio.sleep(0.02)
    assert await make_log().find(1) == (ORIGIN, True)


@pytest.mark.anyio
async def test_store_that_does_not_answer_is_waited_for_a_moment(
    make_log, store, monkeypatch
):
    monkeypatch.setattr(stream_origins, "MAX_READ_WAIT_S", 0.05)
    store.delay_s = 1.0
    log = make_log()
    async with asyncio.timeout(0.5):
        assert await log.find(1) == (None, False)
    store.down = True
    assert await log.find(1) == (None, False)


@pytest.mark.anyio
async def test_made_up_ids_cost_few_reads_and_bounded_memory(make_log, store):
    log = make_log()
    store.delay_s = 0.002
    for batch in range(10):
        keys = range(1000 * batch, 1000 * batch + 1000)
        await asyncio.gather(*(log.find(key) for key in keys))
    assert store.reads <= 12
    assert not log.streams
    store.down = True
    for key in range(MAX_UNWRITTEN + 500):
        log.is_failing = True
        await log.write(key, ORIGIN)
    assert len(log.unwritten) <= MAX_UNWRITTEN


@pytest.mark.anyio
async def test_memory_of_read_origins_is_bounded(make_log, store):
    writer, reader = make_log(), make_log()
    writer.is_failing = True
    await writer.write(0, ORIGIN)
    await asyncio.sleep(0.05)
    store.contents *= 3
    store.contents += [b"\xc1", b"unreadable"]
    assert await reader.find(0) == (ORIGIN, True)
    for key in range(MAX_STREAMS + 10):
        reader._remember(_encode(key))
    assert len(reader.streams) == MAX_STREAMS


@pytest.mark.anyio
async def test_long_topic_is_read_from_near_its_end(make_log, store):
    store.contents = [_encode(key) for key in range(3 * MAX_STREAMS)]
    reader = make_log()
    assert await reader.find(3 * MAX_STREAMS - 5) == (ORIGIN, True)
    assert reader.offset == 3 * MAX_STREAMS
    assert store.reads <= 4


@pytest.mark.anyio
async def test_records_that_are_not_kept_are_not_decoded(make_log, store, monkeypatch):
    # Guards against a read of a long topic that takes longer than a caller waits.
    decoded = []

    def decode(content, *args):
        decoded.append(content)
        return decode_msgpack(content, *args)

    monkeypatch.setattr(stream_origins, "decode_msgpack", decode)
    store.contents = [_encode(key) for key in range(3 * MAX_STREAMS)]
    reader = make_log()
    assert (await reader.find(3 * MAX_STREAMS - 5))[1]
    assert len(decoded) == len(reader.streams) == MAX_STREAMS


def _encode(key):
    return msgspec.msgpack.encode([key, "v1", "engine-1", 1000])
